//! Defects planted in a node, to check that the rules detect each of them.
//!
//! The node itself is unchanged. A mutant runs on a host that alters what it sends or receives, or with wrong
//! settings, so that the stubs observe what a node with that defect would do.

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

use crate::original_time_outs::OriginalTimeOuts;
use crate::rules::Rule;
use crate::scenario::{Effect, Scenario};
use crate::swapped_values::LastValue;
use crate::system_calls::{Failure, SystemCall};

/// One reply in this many is altered.
const ALTERED_EVERY: u64 = 150;

/// A defect planted in the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mutant {
    /// Now and then a reply is sent twice.
    AnswersTwice,
    /// Now and then a request is never answered.
    NeverAnswers,
    /// Now and then a value names another request.
    WrongValue,
    /// Now and then a client gets the value of the previous reply, to another request.
    SwapsValues,
    /// Every class is treated as one that may be retried.
    RepeatsWrites,
    /// Drains of cache servers are ignored.
    IgnoresDrains,
    /// Cold cache servers are treated as warm.
    IgnoresCold,
    /// The gate before the origin does not limit calls.
    OpenGate,
    /// Refusals are delayed.
    HoldsBack,
    /// Client connections are never closed.
    KeepsSockets,
    /// Each node considers itself the only voter.
    VotesAlone,
    /// A zone is used again as soon as any node has reached it.
    ComesBackAtOnce,
    /// Restrictions of classes to zones are ignored.
    IgnoresBounds,
    /// Clients that leave are not noticed.
    DeafToLeaving,
    /// Discovery is asked only once.
    AsksNoMore,
    /// Attempts carry the time with which the request came, without the part that has passed.
    TellsAllTime,
    /// A transient error of a bind is treated as permanent.
    GivesUpBind,
    /// A failing receive is retried without a pause.
    ReceivesAtOnce,
    /// A drained node reports so, but keeps the connections of its clients.
    KeepsDrained,
    /// A failed connect is attributed to the server, whatever the error.
    BlamesServers,
}

impl Mutant {
    /// All mutants that break a rule, with that rule.
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

    /// The settings that the platform gives to its node.
    pub fn node_settings(self, scenario: &Scenario, node: usize) -> serde_json::Value {
        let mut altered = scenario.clone();
        match self {
            Mutant::RepeatsWrites => altered.class.iter_mut().for_each(|c| c.effect = Effect::Pure),
            Mutant::IgnoresBounds => altered.class.iter_mut().for_each(|c| c.only_zones.clear()),
            Mutant::IgnoresCold => (altered.rules.cold_share, altered.rules.warm_ms) = (1.0, 1),
            Mutant::OpenGate => {
                altered.nodes.count = 1;
                altered.tenant.iter_mut().for_each(|t| t.quota *= 1000.0);
            }
            _ => {}
        }
        altered.node_settings(node)
    }
}

impl Mutant {
    /// The operator's file of its node.
    pub fn operator_config(self, text: String, node: usize) -> String {
        let mut table: toml::Table = toml::from_str(&text).unwrap_or_default();
        let Some(accord) = table.get_mut("accord").and_then(toml::Value::as_table_mut) else { return text };
        match self {
            Mutant::VotesAlone => {
                accord.insert("voters".into(), toml::Value::Array(vec![toml::Value::Integer(node as i64)]));
            }
            Mutant::ComesBackAtOnce => {
                // Just above what the third of the nodes that cannot reach a zone contributes by probe
                // traffic.
                let plan = [("hold_ms", 100.0), ("nodes", 0.33), ("lost", 0.33), ("step_ms", 100.0)];
                let whole = |key: &str| key.ends_with("_ms");
                let value = |(key, number): (&str, f64)| {
                    let number = if whole(key) {
                        toml::Value::Integer(number as i64)
                    } else {
                        toml::Value::Float(number)
                    };
                    (key.to_owned(), number)
                };
                accord.insert("plan".into(), toml::Value::Table(plan.into_iter().map(value).collect()));
            }
            _ => return text,
        }
        toml::to_string(&table).unwrap_or(text)
    }
}

impl Mutant {
    /// Whether it alters errors of system calls.
    pub fn alters_errors(self) -> bool {
        matches!(self, Mutant::GivesUpBind | Mutant::ReceivesAtOnce | Mutant::BlamesServers)
    }

    /// Whether it repeats a failing call without a pause.
    pub fn retries_at_once(self, call: SystemCall) -> bool {
        self == Mutant::ReceivesAtOnce && call == SystemCall::Receive
    }

    /// The error that its node sees in place of the real one, if it differs.
    pub fn altered_error(self, call: SystemCall, failure: Failure) -> Option<io::Error> {
        match self {
            Mutant::GivesUpBind if call.opens_socket() => Some(io::ErrorKind::PermissionDenied.into()),
            Mutant::BlamesServers if call == SystemCall::Connect && failure.is_local() => {
                Some(Failure::Econnrefused.error())
            }
            _ => None,
        }
    }
}

/// Writes other bytes in place of those that the node wrote. A partial write breaks the connection: attempts
/// are small, and a part of the replacement cannot be expressed as a number of the node's own bytes.
fn write_instead(
    writing: Pin<&mut SimStream>,
    cx: &mut Context<'_>,
    original: &[u8],
    replacement: &[u8],
) -> Poll<io::Result<usize>> {
    writing.poll_write(cx, replacement).map(|written| match written? {
        whole if whole == replacement.len() => Ok(original.len()),
        _ => Err(io::ErrorKind::BrokenPipe.into()),
    })
}

/// A host that alters what its node sends or receives.
#[derive(Clone)]
pub struct MutantHost {
    host: SimHost,
    mutant: Mutant,
    replies: Rc<Cell<u64>>,
    last_value: LastValue,
    time_outs: OriginalTimeOuts,
}

impl MutantHost {
    /// The host of one node.
    pub fn new(host: SimHost, mutant: Mutant) -> MutantHost {
        let (last_value, time_outs) = (LastValue::default(), OriginalTimeOuts::default());
        MutantHost { host, mutant, replies: Rc::default(), last_value, time_outs }
    }

    /// The bytes to send to a server or the origin instead of these, if they differ.
    fn altered_attempt(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        (self.mutant == Mutant::TellsAllTime).then(|| self.time_outs.restore(bytes)).flatten()
    }
}

impl MutantHost {
    /// Wraps a listener that the program inherits.
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
        Ok(MutantStream { stream, host: self.clone(), is_client: false })
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

/// A listener of a mutant host.
pub struct MutantListener {
    listener: SimListener,
    host: MutantHost,
}

impl Listener for MutantListener {
    type Stream = MutantStream;

    async fn accept(&self) -> io::Result<(MutantStream, SocketAddr)> {
        let (stream, from) = self.listener.accept().await?;
        Ok((MutantStream { stream, host: self.host.clone(), is_client: true }, from))
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(MutantStream, SocketAddr)>> {
        let accepted = self.listener.poll_accept(cx);
        accepted.map_ok(|(stream, from)| {
            (MutantStream { stream, host: self.host.clone(), is_client: true }, from)
        })
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// A connection of a mutant host.
pub struct MutantStream {
    stream: SimStream,
    host: MutantHost,
    is_client: bool,
}

/// The read half of a connection.
pub struct MutantReading {
    reading: Option<SimReading>,
    keep_open: bool,
    /// Does not report the end of the stream.
    ignores_close: bool,
    ended: Cell<bool>,
    /// Where client commands are watched: the times seen so far, and the bytes of a partial command.
    time_outs: Option<(OriginalTimeOuts, RefCell<BytesMut>)>,
}

/// The write half of a connection.
pub struct MutantWriting {
    target: Writing,
    host: MutantHost,
    is_client: bool,
}

enum Writing {
    Plain(SimStream),
    /// Written by a separate task, which can delay.
    Delayed(mpsc::UnboundedSender<Vec<u8>>),
}

impl Stream for MutantStream {
    type Reading = MutantReading;
    type Writing = MutantWriting;

    fn into_halves(self) -> (MutantReading, MutantWriting) {
        let (reading, mut writing) = self.stream.into_halves();
        let mutant = self.host.mutant;
        let keep_open = self.is_client && mutant == Mutant::KeepsSockets;
        let delayed = self.is_client && matches!(mutant, Mutant::HoldsBack | Mutant::KeepsSockets);
        let target = if delayed {
            let (sender, mut received) = mpsc::unbounded_channel::<Vec<u8>>();
            spawn_local(async move {
                while let Some(bytes) = received.recv().await {
                    if mutant == Mutant::HoldsBack && bytes.starts_with(b"-BUSY") {
                        sleep(Duration::from_millis(600)).await;
                    }
                    let _ = writing.write_all(&bytes).await;
                }
                if keep_open {
                    std::future::pending::<()>().await;
                }
            });
            Writing::Delayed(sender)
        } else {
            Writing::Plain(writing)
        };
        let ignores_close = self.is_client && mutant == Mutant::DeafToLeaving;
        let time_outs = self.is_client && mutant == Mutant::TellsAllTime;
        let time_outs = time_outs.then(|| (self.host.time_outs.clone(), RefCell::default()));
        let reading = MutantReading {
            reading: Some(reading),
            keep_open,
            ignores_close,
            ended: Cell::new(false),
            time_outs,
        };
        (reading, MutantWriting { target, host: self.host, is_client: self.is_client })
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
        let start = buffer.len();
        let read = match &self.reading {
            Some(reading) => match reading.try_read_buf(buffer) {
                Ok(0) if self.ignores_close => {
                    self.ended.set(true);
                    Err(io::ErrorKind::WouldBlock.into())
                }
                read => read,
            },
            None => Err(io::ErrorKind::WouldBlock.into()),
        };
        if let Some((time_outs, received)) = &self.time_outs {
            let mut received = received.borrow_mut();
            received.extend_from_slice(&buffer[start..]);
            time_outs.record_commands(&mut received);
        }
        read
    }

    fn since_last_arrival(&self) -> Option<Duration> {
        self.reading.as_ref()?.since_last_arrival()
    }

    fn remote_end_closed(&self) -> bool {
        !self.ignores_close && self.reading.as_ref().is_some_and(Reading::remote_end_closed)
    }
}

impl Drop for MutantReading {
    fn drop(&mut self) {
        if self.keep_open
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
            self.host.replies.set(self.host.replies.get() + 1);
        }
        let hit = value && self.host.replies.get().is_multiple_of(ALTERED_EVERY);
        let mutant = self.host.mutant;
        let attempt = if self.is_client { None } else { self.host.altered_attempt(bytes) };
        let swaps = self.is_client && mutant == Mutant::SwapsValues;
        let before = if swaps { self.host.last_value.replace(bytes) } else { None };
        let writing = match &mut self.target {
            Writing::Plain(writing) => writing,
            Writing::Delayed(send) => {
                let sent = send.send(bytes.to_vec());
                return Poll::Ready(sent.map(|()| bytes.len()).map_err(|_| io::ErrorKind::BrokenPipe.into()));
            }
        };
        if let Some(attempt) = attempt {
            return write_instead(Pin::new(writing), cx, bytes, &attempt);
        }
        if let Some(before) = before.filter(|_| hit) {
            return write_instead(Pin::new(writing), cx, bytes, &before);
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
        match &mut self.target {
            Writing::Plain(writing) => Pin::new(writing).poll_shutdown(cx),
            Writing::Delayed(_) => Poll::Ready(Ok(())),
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
            // Of the same length, and valid JSON.
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
        if let Some(attempt) = self.host.altered_attempt(bytes) {
            return write_instead(Pin::new(&mut self.stream), cx, bytes, &attempt);
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
