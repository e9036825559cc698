//! Faults planted in a node, to see that the checker finds each: a rule that catches nothing proves nothing.
//!
//! The node itself stays as it is. A mutant is the node on a machine that garbles what it says or hears, or with
//! settings that lie; what the stand-ins then see is what a node with that fault would show them.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::BytesMut;
use chalksill_simnet::{SimDatagrams, SimHost, SimListener, SimReading, SimStream};
use mothpier_host::{Host, Listener, Reading, Stream};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::rules::Rule;
use crate::scenario::{Effect, Scenario};
use crate::swapped_values::LastValue;
use crate::system_calls::{Failure, SystemCall};
use crate::time_told::TimesAsTheyCame;

/// One answer in so many is touched.
const EVERY: u64 = 150;

/// A fault planted in the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mutant {
    /// Now and then an answer is given twice.
    AnswersTwice,
    /// Now and then a request is never answered.
    NeverAnswers,
    /// Now and then a value is another request's.
    WrongValue,
    /// Now and then a client gets the value that was given before, to another.
    SwapsValues,
    /// Every class is taken for one that may be repeated.
    RepeatsWrites,
    /// It is deaf to drains.
    IgnoresDrains,
    /// It takes every cold box for a warm one.
    IgnoresCold,
    /// The gate before the origin stands open.
    OpenGate,
    /// Refusals are held back.
    HoldsBack,
    /// Connections of clients are never closed.
    KeepsSockets,
    /// Each node is the only voter in its own eyes.
    VotesAlone,
    /// A zone comes back as soon as anybody has reached it.
    ComesBackAtOnce,
    /// It does not know that classes are bound to zones.
    IgnoresBounds,
    /// It does not notice that clients leave.
    DeafToLeaving,
    /// It asks discovery no more once it has begun.
    AsksNoMore,
    /// It tells servers and the origin the time that its client came with, however much of that is over.
    TellsAllTime,
    /// It takes a passing error of a bind for a lasting one.
    GivesUpBind,
    /// A datagram that can't be received is asked for again and again, without a pause.
    ReceivesAtOnce,
    /// It says no once it is drained, and keeps the connections of its clients.
    KeepsDrained,
    /// It takes a failed connect for one that its server refused, whatever the error.
    BlamesServers,
}

impl Mutant {
    /// All of them that break a rule, with that rule.
    pub const ALL: [(Mutant, Rule); 19] = [
        (Mutant::AnswersTwice, Rule::OneAnswer),
        (Mutant::NeverAnswers, Rule::OneAnswer),
        (Mutant::WrongValue, Rule::OneAnswer),
        (Mutant::SwapsValues, Rule::OwnKey),
        (Mutant::RepeatsWrites, Rule::NoEffectTwice),
        (Mutant::IgnoresDrains, Rule::Drains),
        (Mutant::IgnoresCold, Rule::ColdBoxes),
        (Mutant::OpenGate, Rule::Caps),
        (Mutant::HoldsBack, Rule::AtOnce),
        (Mutant::KeepsSockets, Rule::Bounds),
        (Mutant::VotesAlone, Rule::OnePlan),
        (Mutant::ComesBackAtOnce, Rule::NoSwinging),
        (Mutant::IgnoresBounds, Rule::BoundToZones),
        (Mutant::DeafToLeaving, Rule::Over),
        (Mutant::AsksNoMore, Rule::Drains),
        (Mutant::TellsAllTime, Rule::TimeLeft),
        (Mutant::GivesUpBind, Rule::Ready),
        (Mutant::ReceivesAtOnce, Rule::Backoff),
        (Mutant::KeepsDrained, Rule::Retirement),
    ];

    /// The settings that its node is told.
    pub fn settings(self, scenario: &Scenario, me: usize) -> serde_json::Value {
        let mut lying = scenario.clone();
        match self {
            Mutant::RepeatsWrites => lying.class.iter_mut().for_each(|c| c.effect = Effect::Pure),
            Mutant::IgnoresBounds => lying.class.iter_mut().for_each(|c| c.only_zones.clear()),
            Mutant::IgnoresCold => (lying.rules.cold_share, lying.rules.warm_ms) = (1.0, 1),
            Mutant::OpenGate => {
                lying.nodes.count = 1;
                lying.tenant.iter_mut().for_each(|t| t.quota *= 1000.0);
            }
            _ => {}
        }
        lying.settings(me)
    }
}

impl Mutant {
    /// The operator's file that its node is given.
    pub fn operator(self, text: String, me: usize) -> String {
        let mut table: toml::Table = toml::from_str(&text).unwrap_or_default();
        let Some(accord) = table.get_mut("accord").and_then(toml::Value::as_table_mut) else { return text };
        match self {
            Mutant::VotesAlone => {
                accord.insert("voters".into(), toml::Value::Array(vec![toml::Value::Integer(me as i64)]));
            }
            Mutant::ComesBackAtOnce => {
                // Just above what the third that can't reach a zone makes of its scouts.
                let plan = [("hold_ms", 100.0), ("nodes", 0.33), ("lost", 0.33), ("step_ms", 100.0)];
                let whole = |key: &str| key.ends_with("_ms");
                let value = |(key, v): (&str, f64)| {
                    let v = if whole(key) { toml::Value::Integer(v as i64) } else { toml::Value::Float(v) };
                    (key.to_owned(), v)
                };
                accord.insert("plan".into(), toml::Value::Table(plan.into_iter().map(value).collect()));
            }
            _ => return text,
        }
        toml::to_string(&table).unwrap_or(text)
    }
}

impl Mutant {
    /// Whether it garbles the errors of system calls.
    pub fn garbles_errors(self) -> bool {
        matches!(self, Mutant::GivesUpBind | Mutant::ReceivesAtOnce | Mutant::BlamesServers)
    }

    /// Whether it makes a call that fails again and again, without a pause.
    pub fn retries_at_once(self, call: SystemCall) -> bool {
        self == Mutant::ReceivesAtOnce && call == SystemCall::Receive
    }

    /// What its node is told in place of an error, where that is something else.
    pub fn disguised(self, call: SystemCall, failure: Failure) -> Option<io::Error> {
        match self {
            Mutant::GivesUpBind if call.opens() => Some(io::ErrorKind::PermissionDenied.into()),
            Mutant::BlamesServers if call == SystemCall::Connect && failure.is_local() => {
                Some(Failure::Econnrefused.error())
            }
            _ => None,
        }
    }
}

/// Writes other bytes in place of those that the node gave. Where they do not fit all at once the connection is broken: an
/// attempt is small, and half of one can't be named in the node's own bytes.
fn write_for(
    writing: Pin<&mut SimStream>,
    cx: &mut Context<'_>,
    given: &[u8],
    other: &[u8],
) -> Poll<io::Result<usize>> {
    writing.poll_write(cx, other).map(|written| match written? {
        whole if whole == other.len() => Ok(given.len()),
        _ => Err(io::ErrorKind::BrokenPipe.into()),
    })
}

/// A machine that garbles what its node says or hears.
#[derive(Clone)]
pub struct MutantHost {
    host: SimHost,
    mutant: Mutant,
    answers: Rc<Cell<u64>>,
    last_value: LastValue,
    times: TimesAsTheyCame,
}

impl MutantHost {
    /// The machine of one node.
    pub fn new(host: SimHost, mutant: Mutant) -> MutantHost {
        let (last_value, times) = (LastValue::default(), TimesAsTheyCame::default());
        MutantHost { host, mutant, answers: Rc::default(), last_value, times }
    }

    /// What goes out in place of these bytes to a server or the origin, where that is something else.
    fn garbled_attempt(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        (self.mutant == Mutant::TellsAllTime).then(|| self.times.put_back(bytes)).flatten()
    }
}

impl MutantHost {
    /// A listener that this machine's program inherits.
    pub fn listener(&self, listener: SimListener) -> MutantListener {
        MutantListener { listener, host: self.clone() }
    }
}

impl Host for MutantHost {
    type Stream = MutantStream;
    type Listener = MutantListener;
    type Datagrams = SimDatagrams;

    async fn connect(&self, to: SocketAddr) -> io::Result<MutantStream> {
        let stream = self.host.connect(to).await?;
        Ok(MutantStream { stream, host: self.clone(), client: false })
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<MutantListener> {
        Ok(MutantListener { listener: self.host.listen(at).await?, host: self.clone() })
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<SimDatagrams> {
        self.host.datagrams(at).await
    }

    fn unix_time(&self) -> Duration {
        self.host.unix_time()
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        self.host.log(line);
    }
}

/// A listener on such a machine.
pub struct MutantListener {
    listener: SimListener,
    host: MutantHost,
}

impl Listener for MutantListener {
    type Stream = MutantStream;

    async fn accept(&self) -> io::Result<(MutantStream, SocketAddr)> {
        let (stream, from) = self.listener.accept().await?;
        Ok((MutantStream { stream, host: self.host.clone(), client: true }, from))
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(MutantStream, SocketAddr)>> {
        let accepted = self.listener.poll_accept(cx);
        accepted
            .map_ok(|(stream, from)| (MutantStream { stream, host: self.host.clone(), client: true }, from))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// A connection of such a machine.
pub struct MutantStream {
    stream: SimStream,
    host: MutantHost,
    client: bool,
}

/// Its half that is read from.
pub struct MutantReading {
    reading: Option<SimReading>,
    keep: bool,
    /// It does not tell the end.
    deaf: bool,
    ended: Cell<bool>,
    /// Where it is told what its client asks, with what has come of that and is not whole.
    times: Option<(TimesAsTheyCame, RefCell<BytesMut>)>,
}

/// Its half that is written to.
pub struct MutantWriting {
    to: Writing,
    host: MutantHost,
    client: bool,
}

enum Writing {
    Plain(SimStream),
    /// Through a task that can wait.
    Late(mpsc::UnboundedSender<Vec<u8>>),
}

impl Stream for MutantStream {
    type Reading = MutantReading;
    type Writing = MutantWriting;

    fn into_halves(self) -> (MutantReading, MutantWriting) {
        let (reading, mut writing) = self.stream.into_halves();
        let mutant = self.host.mutant;
        let keep = self.client && mutant == Mutant::KeepsSockets;
        let late = self.client && matches!(mutant, Mutant::HoldsBack | Mutant::KeepsSockets);
        let to = if late {
            let (send, mut come) = mpsc::unbounded_channel::<Vec<u8>>();
            spawn_local(async move {
                while let Some(bytes) = come.recv().await {
                    if mutant == Mutant::HoldsBack && bytes.starts_with(b"-BUSY") {
                        sleep(Duration::from_millis(600)).await;
                    }
                    let _ = writing.write_all(&bytes).await;
                }
                if keep {
                    std::future::pending::<()>().await;
                }
            });
            Writing::Late(send)
        } else {
            Writing::Plain(writing)
        };
        let deaf = self.client && mutant == Mutant::DeafToLeaving;
        let times = self.client && mutant == Mutant::TellsAllTime;
        let times = times.then(|| (self.host.times.clone(), RefCell::default()));
        let reading = MutantReading { reading: Some(reading), keep, deaf, ended: Cell::new(false), times };
        (reading, MutantWriting { to, host: self.host, client: self.client })
    }
}

impl Reading for MutantReading {
    async fn readable(&self) -> io::Result<()> {
        match &self.reading {
            Some(reading) if !self.ended.get() => reading.readable().await,
            _ => std::future::pending().await,
        }
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        let before = buffer.len();
        let read = match &self.reading {
            Some(reading) => match reading.try_read_buf(buffer) {
                Ok(0) if self.deaf => {
                    self.ended.set(true);
                    Err(io::ErrorKind::WouldBlock.into())
                }
                read => read,
            },
            None => Err(io::ErrorKind::WouldBlock.into()),
        };
        if let Some((times, come)) = &self.times {
            let mut come = come.borrow_mut();
            come.extend_from_slice(&buffer[before..]);
            times.heard(&mut come);
        }
        read
    }

    fn since_last_arrival(&self) -> Option<Duration> {
        self.reading.as_ref()?.since_last_arrival()
    }

    fn remote_end_closed(&self) -> bool {
        !self.deaf && self.reading.as_ref().is_some_and(Reading::remote_end_closed)
    }
}

impl Drop for MutantReading {
    fn drop(&mut self) {
        if self.keep
            && let Some(reading) = self.reading.take()
        {
            spawn_local(async move {
                std::future::pending::<()>().await;
                drop(reading);
            });
        }
    }
}

impl AsyncWrite for MutantWriting {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let value = bytes.starts_with(b"$");
        if value {
            self.host.answers.set(self.host.answers.get() + 1);
        }
        let hit = value && self.host.answers.get().is_multiple_of(EVERY);
        let mutant = self.host.mutant;
        let attempt = if self.client { None } else { self.host.garbled_attempt(bytes) };
        let swaps = self.client && mutant == Mutant::SwapsValues;
        let before = if swaps { self.host.last_value.replace(bytes) } else { None };
        let writing = match &mut self.to {
            Writing::Plain(writing) => writing,
            Writing::Late(send) => {
                let sent = send.send(bytes.to_vec());
                return Poll::Ready(sent.map(|()| bytes.len()).map_err(|_| io::ErrorKind::BrokenPipe.into()));
            }
        };
        if let Some(attempt) = attempt {
            return write_for(Pin::new(writing), cx, bytes, &attempt);
        }
        if let Some(before) = before.filter(|_| hit) {
            return write_for(Pin::new(writing), cx, bytes, &before);
        }
        match mutant {
            Mutant::AnswersTwice if hit => {
                let twice = [bytes, bytes].concat();
                Pin::new(writing).poll_write(cx, &twice).map_ok(|written| written.min(bytes.len()))
            }
            Mutant::NeverAnswers if hit => Poll::Ready(Ok(bytes.len())),
            Mutant::WrongValue if hit => {
                let mut wrong = bytes.to_vec();
                let at = wrong.iter().position(|b| *b == b':').unwrap_or(1) - 1;
                wrong[at] = if wrong[at] == b'0' { b'1' } else { b'0' };
                Pin::new(writing).poll_write(cx, &wrong)
            }
            _ => Pin::new(writing).poll_write(cx, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.to {
            Writing::Plain(writing) => Pin::new(writing).poll_shutdown(cx),
            Writing::Late(_) => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncRead for MutantStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if self.host.mutant == Mutant::IgnoresDrains {
            // As long as before, and good JSON.
            let (from, to) = (br#""draining""#, br#""ready"   "#);
            let come = &mut buffer.filled_mut()[before..];
            for at in 0..come.len().saturating_sub(from.len() - 1) {
                if come[at..].starts_with(from) {
                    come[at..at + to.len()].copy_from_slice(to);
                }
            }
        }
        read
    }
}

impl AsyncWrite for MutantStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.host.mutant == Mutant::AsksNoMore && bytes.starts_with(b"GET /api/targets") {
            return Poll::Ready(Ok(bytes.len()));
        }
        if let Some(attempt) = self.host.garbled_attempt(bytes) {
            return write_for(Pin::new(&mut self.stream), cx, bytes, &attempt);
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
