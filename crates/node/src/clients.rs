//! The listener and RESP2 from clients. Answers go out in the order of the commands on a connection.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use brassrouter::settings::Site;
use brassrouter::{Micros, Request, RequestId};
use bytes::{Bytes, BytesMut};
use mothpier_host::{Host, Listener, Reading, Stream};
use mothpier_ops::{Desk, End, Phase, Ticket};
use mothpier_resp::{self as resp, Extent, MAX_VALUE, Malformed, WHOLE};
use mothpier_storm::{Door, Verdict};
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::AsyncWriteExt;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::command::{Answer, Claim, Command, Ids, STANDSTILL, Stream as LargeValue};
use crate::crowd::{Doing, turn};
use crate::input::{Asked, Input};
use crate::keys::Keys;
use crate::stream::{FAREWELL, READ, part, read};

mod state;

use state::State;

/// Requests of one connection that may be open; those beyond are refused.
const MAX_PIPELINE: usize = 128;
/// Answers of one connection that may wait, refusals and errors too; a client that goes on beyond is cut off.
const MAX_WAITING: usize = 1024;
/// Answers that are ready are put into one write up to about this size.
const WRITE: usize = 64 * 1024;
/// A client that takes none of its answer for this long is cut off.
const SLOW_READER: Duration = Duration::from_secs(10);
/// A first command, and the rest of one that has begun, must come within this time: true clients may take 2 s, bad
/// ones are owed an error or a close within 3 s. A value need only go on.
const HALF: Duration = Duration::from_millis(2600);
/// The longest time that a value may take in all.
const VALUE: Duration = Duration::from_secs(30);
/// A connection that asks nothing for so long is closed: some clients keep theirs for good. The shorter time holds
/// once half of the connections that there may be are open, for clients can hold only so many and those that are
/// kept keep others out.
const IDLE: (Duration, Duration) = (Duration::from_secs(10), Duration::from_millis(2100));
/// How often an idle connection looks whether many have become open meanwhile.
const IDLE_LOOK: Duration = Duration::from_millis(250);
/// Between tries to accept while there is no room.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// When a request that finds the node's memory full may come back, milliseconds.
const FULL_RETRY_MS: u64 = 100;
/// Read from a client while an answer is being written to it: enough to notice that it has gone, and no more than one that
/// takes no answers may make the node hold.
const AHEAD: usize = 16 * 1024;
/// Before a process must have ended, all that is still open fails so long before, that the answers go out; and nothing more is
/// read from this long before, that it can be asked for at all.
const LAST: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(250));
/// Memory that an open request counts for until its answer is written, beside its own value: half of the largest
/// answer that is held whole, for few are large; the pieces of one that passes are no more.
const REQUEST_KB: usize = WHOLE / 2 / 1024;

/// Connections that are being told to come back at once, as a part of all that there may be; while there are so many no
/// other is accepted.
const TURNED_AWAY: usize = 8;

/// What clients may take of the node.
pub struct Bounds {
    /// Connections open.
    pub most: usize,
    /// Bytes of open requests.
    pub memory: usize,
    /// How connections are let in.
    pub door: Door,
}

/// Which connections of clients are to go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Leaving {
    /// None: the node serves.
    #[default]
    None,
    /// Each behind the answer that it was owed: a close that goes out with an answer crosses no request.
    Answered,
    /// Those that rest, too.
    Resting,
}

/// Whether new connections are taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listening {
    #[default]
    Yes,
    /// Not any more, but those that the machine has accepted are: no other process would.
    TakeRest,
    /// Not any more: another process accepts from the same socket.
    LeaveRest,
}

/// How connections retire, for a drain and for the end of the node alike. Those that wait for a change are woken in the
/// order in which they began to wait: a watch channel would wake them in a random one.
#[derive(Default)]
pub struct Retiring {
    leaving: Cell<Leaving>,
    /// Nothing more is accepted.
    listening: Cell<Listening>,
    /// When the process must have ended: all is answered before.
    ends: Cell<Option<Instant>>,
    changed: Notify,
}

impl Retiring {
    /// From now on these connections go.
    pub fn set(&self, leaving: Leaving) {
        self.leaving.set(leaving);
        self.changed.notify_waiters();
    }

    /// Nothing is accepted from now on but, where they are told to be taken, what has arrived by now.
    pub fn end_listening(&self, rest: Listening) {
        self.listening.set(rest);
        self.changed.notify_waiters();
    }

    /// The process must have ended by then: nothing may be open any more.
    pub fn end_by(&self, time: Instant) {
        self.ends.set(Some(time));
        self.changed.notify_waiters();
    }

    /// Which connections go now.
    pub fn leaving(&self) -> Leaving {
        self.leaving.get()
    }

    /// Waits until nothing is accepted any more. Safe to drop and call again.
    async fn listening_ended(&self) {
        while self.listening.get() == Listening::Yes {
            self.changed.notified().await;
        }
    }
}

/// By what commands are read.
pub struct Grammar {
    pub site: Site,
    pub keys: Keys,
}

/// What all client connections share.
pub struct Clients<H> {
    host: H,
    site: Site,
    now: Box<dyn Fn() -> Micros>,
    desk: Arc<Desk>,
    next_request: Cell<RequestId>,
    ids: Ids,
    /// Permits of a KB.
    memory: Arc<Semaphore>,
    memory_kb: usize,
    most: Cell<usize>,
    keys: Keys,
    door: RefCell<Door>,
    /// Open connections that have not sent a whole command yet.
    half_known: Rc<Cell<usize>>,
    farewells: Arc<Semaphore>,
    began: Instant,
    retiring: Rc<Retiring>,
    /// Connections since the start.
    connections: Rc<Cell<u64>>,
    events: mpsc::Sender<Input>,
    open: RefCell<BTreeMap<u64, Entry>>,
    closed: Notify,
}

struct Entry {
    /// When it last sent something or was answered; `None` while an answer is owed to it.
    idle: Option<Instant>,
    doing: Doing,
    evict: Rc<Notify>,
}

impl<H: Host> Clients<H> {
    pub fn new(
        host: H,
        grammar: Grammar,
        now: Box<dyn Fn() -> Micros>,
        desk: Arc<Desk>,
        bounds: Bounds,
        retiring: Rc<Retiring>,
        events: mpsc::Sender<Input>,
    ) -> Rc<Self> {
        Rc::new(Clients {
            host,
            site: grammar.site,
            keys: grammar.keys,
            now,
            desk,
            next_request: Cell::new(1),
            ids: Ids::default(),
            memory: Arc::new(Semaphore::new(bounds.memory / 1024)),
            memory_kb: bounds.memory / 1024,
            most: Cell::new(bounds.most),
            door: RefCell::new(bounds.door),
            half_known: Rc::default(),
            farewells: Arc::new(Semaphore::new((bounds.most / TURNED_AWAY).max(1))),
            began: Instant::now(),
            retiring,
            connections: Rc::default(),
            events,
            open: RefCell::default(),
            closed: Notify::new(),
        })
    }

    /// How many connections there have been since the start, as it goes on counting.
    pub fn connections(&self) -> Rc<Cell<u64>> {
        self.connections.clone()
    }

    /// How many connections are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether half of the connections that there may be are open.
    fn crowded(&self) -> bool {
        self.count() * 2 >= self.most.get()
    }

    /// So many connections may be open from now on. Those beyond stay, and none is accepted until they are fewer.
    pub fn set_most(&self, most: usize) {
        self.most.set(most);
    }

    /// Holds half of the memory for requests, or what is left of that half, for another process of this node.
    pub fn reserve_half(&self) -> Option<OwnedSemaphorePermit> {
        let half = (self.memory_kb / 2).min(self.memory.available_permits());
        self.memory.clone().try_acquire_many_owned(half as u32).ok()
    }

    /// Waits until a connection has closed.
    pub async fn one_closed(&self) {
        self.closed.notified().await;
    }

    /// Accepts until the phase ends; what the machine has accepted by then is still taken.
    pub async fn accept(self: Rc<Self>, listener: H::Listener) {
        let mut number = 0u64;
        loop {
            if self.count() >= self.most.get() {
                // At the limit one connection gives way; if none can, new ones wait.
                self.evict(true);
                tokio::select! {
                    biased;
                    () = self.closed.notified() => {}
                    () = sleep(ACCEPT_PAUSE) => {}
                    () = self.retiring.listening_ended() => break,
                }
                continue;
            }
            let accepted = tokio::select! {
                biased;
                () = self.retiring.listening_ended(), if self.retiring.listening.get() != Listening::TakeRest => break,
                accepted = listener.accept() => accepted,
                () = self.retiring.listening_ended() => break,
            };
            number += 1;
            match accepted {
                Ok((stream, _)) => {
                    let verdict = self.door.borrow_mut().came(self.began.elapsed(), self.half_known.get());
                    if let Verdict::TurnAway(after) = verdict {
                        // Each place is free again after a farewell at the latest.
                        let place = self.farewells.clone().acquire_owned().await.ok();
                        self.clone().turn_away(stream, after, place);
                        continue;
                    }
                    self.clone().start(stream, number);
                    // For each that comes while many are open one that rested longest goes, and another until they
                    // are fewer: clients may hold fewer than the node could, and those who find all theirs kept by
                    // others can't even ask.
                    if self.crowded() {
                        self.evict(false);
                        self.evict(false);
                    }
                }
                Err(e) => {
                    // Out of descriptors (EMFILE) or the like: it passes, and the listener must outlive it.
                    self.host.log(format_args!("accepting failed: {e}"));
                    self.evict(true);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        while self.retiring.listening.get() == Listening::TakeRest
            && let Some((stream, _)) = poll_fn(|cx| match listener.poll_accept(cx) {
                Poll::Ready(accepted) => Poll::Ready(accepted.ok()),
                Poll::Pending => Poll::Ready(None),
            })
            .await
        {
            number += 1;
            self.clone().start(stream, number);
        }
    }

    /// Lets the connection give way whose turn it is, if there is one.
    fn evict(&self, no_room: bool) {
        let mut open = self.open.borrow_mut();
        let place = |e: &Entry| Some((turn(e.doing, e.idle?.elapsed(), no_room)?, e.idle));
        let turns = open.values_mut().filter_map(|e| place(e).map(|at| (at, e)));
        if let Some((_, entry)) = turns.min_by_key(|(at, _)| *at) {
            // Not chosen again while it closes: the next one that comes needs another's place.
            entry.idle = None;
            entry.evict.notify_one();
        }
    }

    /// Tells a connection to come back later and closes it, in that order: what it has sent already must not make the
    /// close a reset, which could overtake the answer.
    fn turn_away(self: Rc<Self>, stream: H::Stream, after: Duration, place: Option<OwnedSemaphorePermit>) {
        self.connections.set(self.connections.get() + 1);
        tokio::task::spawn_local(async move {
            let (reading, mut writing) = stream.into_halves();
            let line = resp::error(&format!("BUSY {}", after.as_millis().max(1)));
            if let Ok(Ok(())) = timeout(FAREWELL, writing.write_all(&line)).await {
                part(&reading, &mut writing).await;
            }
            drop(place);
        });
    }

    fn start(self: Rc<Self>, stream: H::Stream, number: u64) {
        self.connections.set(self.connections.get() + 1);
        let newcomer = Newcomer::count(&self.half_known);
        let evict = Rc::new(Notify::new());
        let entry = Entry { idle: Some(Instant::now()), doing: Doing::Begins, evict: evict.clone() };
        self.open.borrow_mut().insert(number, entry);
        tokio::task::spawn_local(async move {
            let pending = VecDeque::new();
            let mut session = Session {
                clients: self.clone(),
                number,
                pending,
                asked: 0,
                newcomer: Some(newcomer),
                state: State::new(),
            };
            session.run(stream, evict).await;
            session.gone().await;
            drop(session);
            self.open.borrow_mut().remove(&number);
            self.closed.notify_waiters();
            self.closed.notify_one();
        });
    }

    /// Reads a command's words; the error is answered to the client.
    fn parse(&self, words: &[Bytes], came: Micros) -> Result<(Request, Command), Rejected> {
        let [name, key, id, extras, value @ ..] = words else {
            return Err("wrong number of arguments".into());
        };
        let write = name.as_ref() == b"CACHE.SET";
        if value.len() != usize::from(write) {
            return Err("wrong number of arguments".into());
        }
        if key.is_empty() || id.is_empty() || key.len() > 1024 || id.len() > 1024 || extras.len() > 4096 {
            return Err("key, id or extras of a wrong length".into());
        }
        // They go into headers at the origin, and what a cache server can't read costs all that wait there.
        if !id.iter().chain(extras.iter()).all(|b| b.is_ascii_graphic()) {
            return Err("id and extras must be printable".into());
        }
        let text = String::from_utf8_lossy(extras);
        let mut names = Vec::new();
        for part in text.split(',') {
            // A name that comes twice would mean one thing here and another at a server.
            match part.split_once('=') {
                Some((name, value)) if !name.is_empty() && !names.iter().any(|(n, _)| *n == name) => {
                    names.push((name, value));
                }
                _ => return Err("extras are names and values, each name once".into()),
            }
        }
        let extra = |name: &str| names.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        let digits = |v: &str| v.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let figure = |name: &str| match extra(name).map(|v| v.parse::<f64>().ok().filter(|_| digits(v))) {
            None => Ok(None),
            Some(Some(f)) if f.is_finite() => Ok(Some(f)),
            Some(_) => Err(format!("{name} is no figure")),
        };
        let class = extra("c").and_then(|c| self.site.classes.iter().position(|n| n == c));
        let class = class.ok_or("unknown class")?;
        let rejected = |told: String| Rejected { told, class: Some(class) };
        let tenant = match extra("t") {
            _ if self.site.tenants.is_empty() => Some(0),
            tenant => tenant.and_then(|t| self.site.tenants.iter().position(|n| n == t)),
        };
        let asked_for = figure("d").and_then(|d| d.ok_or("no d: how long the answer is waited for".into()));
        let asked_for = asked_for.map_err(rejected)?;
        // No longer than the class allows: what is kept for a request must not stay for as long as anyone says.
        let deadline = self.site.decisions.classes[class].deadline;
        let time_left = ((asked_for * 1000.0) as Micros).min(deadline);
        let request = Request {
            id: self.next_request.replace(self.next_request.get() + 1),
            class,
            tenant: tenant.ok_or("unknown tenant".into()).map_err(rejected)?,
            key: self.keys.number(key),
            write,
            repeat: extra("r") == Some("1"),
            // The client's wait began before its command was read whole.
            time_left: time_left.saturating_sub((self.now)() - came),
            cost: figure("h").map_err(rejected)?.map(|us| us as Micros),
            size: figure("size").map_err(rejected)?.unwrap_or_default() as f32,
        };
        // Two open requests of one id could not be told apart by servers; the first one stays as it is.
        let claim = Claim::of(&self.ids, &Bytes::copy_from_slice(id));
        let claim = claim.ok_or("a request of this id is open".into()).map_err(rejected)?;
        // Copies: a slice would keep all that was read at once for as long as the request is open.
        let command = Command {
            name: Bytes::from_static(if write { b"CACHE.SET" } else { b"CACHE.GET" }),
            key: Bytes::copy_from_slice(key),
            id: claim.1.clone(),
            extras: Bytes::copy_from_slice(extras),
            // Read alone, and too large to be copied.
            value: value.first().map(|v| if v.len() > WHOLE { v.clone() } else { Bytes::copy_from_slice(v) }),
            write,
            _claim: claim,
        };
        Ok((request, command))
    }
}

/// A command that is answered with an error.
struct Rejected {
    told: String,
    /// Where it is a request of a class that can be told.
    class: Option<usize>,
}

impl From<&str> for Rejected {
    fn from(told: &str) -> Self {
        Rejected { told: told.into(), class: None }
    }
}

/// How a session ends.
#[derive(Clone, Copy, PartialEq)]
enum Parting {
    /// The other side has gone, or its place is wanted at once.
    Close,
    /// In order: what may be on its way must meet the end of the stream, not a reset.
    HalfClose,
}

enum Wait {
    Ready(Bytes),
    /// A large value, which goes on as it comes.
    Stream(LargeValue),
    Node(RequestId, oneshot::Receiver<Answer>),
}

struct Slot {
    wait: Wait,
    /// Held until the answer is written; only requests that went on have it.
    memory: Option<OwnedSemaphorePermit>,
    /// Of a request: it ends, in this way, once its answer is written.
    ticket: Option<(Ticket, End)>,
}

/// Counts a connection among those that have not sent a whole command yet, for as long as this lives.
struct Newcomer(Rc<Cell<usize>>);

impl Newcomer {
    fn count(newcomers: &Rc<Cell<usize>>) -> Newcomer {
        newcomers.set(newcomers.get() + 1);
        Newcomer(newcomers.clone())
    }
}

impl Drop for Newcomer {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Session<H> {
    clients: Rc<Clients<H>>,
    number: u64,
    /// In the order of the commands.
    pending: VecDeque<Slot>,
    /// How many of them are requests that went on.
    asked: usize,
    /// Until it has sent a command in the agreed form.
    newcomer: Option<Newcomer>,
    state: State,
}

/// What comes from a client.
struct Inbox<'a, R> {
    reading: &'a R,
    buffer: BytesMut,
    /// When the last of it was read.
    came: Micros,
}

impl<H: Host> Session<H> {
    /// Serves a connection until its end.
    async fn run(&mut self, stream: H::Stream, evict: Rc<Notify>) {
        let (reading, mut writing) = stream.into_halves();
        if self.serve(&reading, &mut writing, evict).await == Parting::HalfClose {
            part(&reading, &mut writing).await;
        }
    }

    async fn serve(
        &mut self,
        reading: &<H::Stream as Stream>::Reading,
        writing: &mut <H::Stream as Stream>::Writing,
        evict: Rc<Notify>,
    ) -> Parting {
        let clients = self.clients.clone();
        let mut inbox = Inbox { reading, buffer: BytesMut::new(), came: (clients.now)() };
        let connected = Instant::now();
        // When the command that has not all come yet began to.
        let mut begun = None;
        // In how many pieces it has come so far.
        let mut pieces = 0;
        // Since when nothing was asked and nothing owed.
        let mut rests = connected;
        // Its last answer went out while connections were leaving behind theirs.
        let mut answered = false;
        loop {
            // Wherever it was read: none of it is a command.
            self.state.discard_refused(&mut inbox.buffer);
            while self.state.reads_commands() && !inbox.buffer.is_empty() {
                match resp::take_frame(&mut inbox.buffer, MAX_VALUE) {
                    Ok(Some(frame)) => {
                        (begun, pieces) = (None, 0);
                        let reserved = self.state.command_complete();
                        self.command(frame, inbox.came, reserved).await;
                    }
                    Ok(None) => {
                        self.large(&mut inbox.buffer, inbox.came);
                        break;
                    }
                    Err(e) => self.protocol_error(e),
                }
                if self.pending.len() > MAX_WAITING {
                    self.protocol_error(Malformed("too many commands at once"));
                }
            }
            let finishing = !self.state.reads_commands();
            self.state.discard_bytes(inbox.buffer.len());
            if finishing || (inbox.buffer.is_empty() && !self.state.misses_value()) {
                // An idle connection must not keep the room that its largest command took.
                (inbox.buffer, begun) = (BytesMut::new(), None);
            } else {
                begun.get_or_insert_with(Instant::now);
            }
            let doing = match begun {
                None if self.newcomer.is_none() => Doing::Rests,
                Some(_) if pieces > 1 => Doing::Writes,
                _ => Doing::Begins,
            };
            let idle = self.pending.is_empty();
            let now = Instant::now();
            if let Some(entry) = clients.open.borrow_mut().get_mut(&self.number) {
                (entry.idle, entry.doing) = (idle.then_some(rests), doing);
            }
            // Behind what was written meanwhile, which the client may still read.
            if self.state.client_has_closed() {
                return Parting::Close;
            }
            if finishing && idle {
                return Parting::HalfClose;
            }
            // Whoever always has a request open would be read from to the end, and not answered.
            let last = clients.retiring.ends.get().filter(|_| !idle);
            let last = last.map(|end| end - if finishing { LAST.0 } else { LAST.1 });
            if last.is_some_and(|last| last <= now) {
                self.state.finish();
                if !finishing || self.fail_open().await {
                    continue;
                }
            }
            let leaving = match clients.retiring.leaving() {
                Leaving::None => false,
                Leaving::Answered => answered,
                // One that has asked nothing yet may only just have come, to ask whether the node serves.
                Leaving::Resting => self.newcomer.is_none(),
            };
            let asks_nothing = idle && begun.is_none();
            let first = (self.newcomer.is_some() && asks_nothing).then_some(connected + HALF);
            let half = begun.map(|begun| match self.state.misses_value() {
                false => begun + HALF,
                // It need only go on.
                true => (rests + HALF).min(begun + VALUE),
            });
            let rest = asks_nothing.then_some(if leaving {
                now
            } else if rests + IDLE.1 > now || clients.crowded() {
                rests + IDLE.1
            } else {
                // Looked at again meanwhile: others may have come.
                (now + IDLE_LOOK).min(rests + IDLE.0)
            });
            let limit = [first, half, rest, last].into_iter().flatten().min();
            tokio::select! {
                biased;
                ready = ready_answers(&mut self.pending), if !idle => {
                    let whole = match ready {
                        0 => self.pass_on(&mut inbox, writing).await,
                        ready => self.write(ready, &mut inbox, writing).await,
                    };
                    rests = Instant::now();
                    answered = clients.retiring.leaving() >= Leaving::Answered;
                    if !whole {
                        return Parting::Close;
                    }
                }
                more = read(reading, &mut inbox.buffer), if self.state.takes_bytes() => {
                    // A client that closes has gone away: what it asked for is not wanted any more.
                    if !more {
                        return Parting::Close;
                    }
                    if self.state.reads_commands() {
                        (inbox.came, rests) = ((clients.now)(), Instant::now());
                        pieces += 1;
                    }
                }
                () = evict.notified(), if idle => {
                    if quiet(reading, &mut inbox.buffer).await {
                        return Parting::Close;
                    }
                    (inbox.came, rests) = ((clients.now)(), Instant::now());
                }
                () = sleep_until(limit.unwrap_or(now)), if limit.is_some() => {
                    if !quiet(reading, &mut inbox.buffer).await {
                        (inbox.came, rests) = ((clients.now)(), Instant::now());
                    } else if last.is_some_and(|last| last <= Instant::now()) {
                        continue;
                    } else if half.is_some_and(|half| half <= Instant::now()) {
                        self.protocol_error(Malformed("the rest of the command has not come"));
                    } else if first.is_some_and(|first| first <= Instant::now())
                        || leaving
                        || clients.crowded()
                        || rests.elapsed() >= IDLE.0
                    {
                        return Parting::HalfClose;
                    }
                }
                () = clients.retiring.changed.notified() => {}
            }
        }
    }

    /// Passes on the large value at the front as it comes; whether all of it has gone. Where it is cut the connection must
    /// end, for nothing else tells the client that it is.
    async fn pass_on<R: Reading>(
        &mut self,
        inbox: &mut Inbox<'_, R>,
        writing: &mut <H::Stream as Stream>::Writing,
    ) -> bool {
        let Some(Slot { wait: Wait::Stream(mut value), memory, ticket }) = self.pending.pop_front() else {
            return false;
        };
        self.asked -= usize::from(memory.is_some());
        let mut left = value.length;
        let mut piece = resp::value_header(left);
        let mut taken = true;
        loop {
            taken = taken && self.deliver(&piece, inbox, writing).await;
            if left == 0 || !taken {
                break;
            }
            // Longer than its server may stand still, which ends it there.
            match timeout(STANDSTILL * 2, value.pieces.recv()).await {
                Ok(Some(next)) if next.len() <= left => piece = next,
                _ => break,
            }
            left -= piece.len();
        }
        let whole = left == 0 && taken && self.deliver(b"\r\n", inbox, writing).await;
        if let Some((ticket, _)) = ticket
            && (whole || taken)
        {
            // One that the client stopped reading was abandoned.
            ticket.end(if whole { End::Served } else { End::Failed });
        }
        whole
    }

    /// Writes answers that are ready; whether all of them have gone.
    async fn write<R: Reading>(
        &mut self,
        ready: usize,
        inbox: &mut Inbox<'_, R>,
        writing: &mut <H::Stream as Stream>::Writing,
    ) -> bool {
        let bytes = self.take_answers(ready);
        let whole = self.deliver(&bytes, inbox, writing).await;
        for slot in self.pending.drain(..ready) {
            // What could not be written was abandoned: that is no end.
            if let Some((ticket, end)) = slot.ticket.filter(|_| whole) {
                ticket.end(end);
            }
        }
        whole
    }

    /// Writes to the client; whether it has taken all of it. What it sends meanwhile is read, so that it is noticed at once
    /// when it goes: it may do so with an answer half read and other requests open.
    async fn deliver<R: Reading>(
        &mut self,
        bytes: &[u8],
        inbox: &mut Inbox<'_, R>,
        writing: &mut <H::Stream as Stream>::Writing,
    ) -> bool {
        let mut written = std::pin::pin!(timeout(SLOW_READER, writing.write_all(bytes)));
        loop {
            let ahead = self.state.awaits_commands() && inbox.buffer.len() < AHEAD;
            tokio::select! {
                biased;
                written = &mut written => return matches!(written, Ok(Ok(()))),
                more = read(inbox.reading, &mut inbox.buffer), if ahead => {
                    inbox.came = (self.clients.now)();
                    if !more {
                        self.state.hang_up();
                        self.gone().await;
                    }
                }
            }
        }
    }

    /// Fails what is open: nothing is left of the time in which it could be answered otherwise. Whether there was any.
    async fn fail_open(&mut self) -> bool {
        self.gone().await;
        let open = self.pending.iter_mut().filter(|slot| matches!(slot.wait, Wait::Node(..)));
        open.map(|slot| slot.wait = Wait::Ready(resp::error("ERR failed"))).count() > 0
    }

    /// Nobody waits any more for what is open.
    async fn gone(&self) {
        for slot in &self.pending {
            if let Wait::Node(id, _) = slot.wait {
                let _ = self.clients.events.send(Input::Client(Asked::Gone(id))).await;
            }
        }
    }

    /// Marks the answers as taken and gives their bytes.
    fn take_answers(&mut self, ready: usize) -> Bytes {
        let mut all = BytesMut::new();
        for slot in self.pending.iter().take(ready) {
            self.asked -= usize::from(slot.memory.is_some());
            match &slot.wait {
                Wait::Ready(bytes) if ready == 1 => return bytes.clone(),
                Wait::Ready(bytes) => all.extend_from_slice(bytes),
                Wait::Node(..) | Wait::Stream(_) => {}
            }
        }
        all.freeze()
    }

    /// Looks at a command of which a value is still coming. Room for a large one is reserved before it is read; where there
    /// is none it will be dropped and refused.
    fn large(&mut self, buffer: &mut BytesMut, came: Micros) {
        let Ok(Extent::InValue { header, end, last }) = resp::extent(buffer, MAX_VALUE) else {
            return self.state.expect_head();
        };
        match last {
            true => self.state.expect_value(),
            false => self.state.expect_head(),
        }
        if end - header <= WHOLE || self.state.has_reservation() {
            return;
        }
        if !last {
            return self.protocol_error(Malformed("only a value may be so large"));
        }
        if let Ok(reservation) = self.clients.memory.clone().try_acquire_many_owned((end / 1024) as u32) {
            self.state.reserve(reservation);
            return buffer.reserve(end - buffer.len());
        }
        let mut head = BytesMut::from(&buffer[..header]);
        head.extend_from_slice(b"$0\r\n\r\n");
        self.state.refuse_value(end - buffer.len());
        *buffer = BytesMut::new();
        // As it would be without its value: what is wrong with it is said, and a request has its class.
        let Ok(Some(frame)) = resp::take_frame(&mut head, WHOLE) else { return };
        let class =
            words(frame).map(|words| self.clients.parse(&words, came).map(|(request, _)| request.class));
        match class {
            Some(Ok(class)) => self.refuse(class),
            Some(Err(e)) => self.reject(e),
            None => self.protocol_error(Malformed("a command is an array of bulk strings")),
        }
    }

    /// Refuses a request for want of memory.
    fn refuse(&mut self, class: usize) {
        let wait = Wait::Ready(resp::error(&format!("BUSY {FULL_RETRY_MS}")));
        let ticket = Some((self.clients.desk.figures.taken(class), End::Refused));
        self.pending.push_back(Slot { wait, memory: None, ticket });
    }

    /// Answers a command with an error.
    fn reject(&mut self, rejected: Rejected) {
        let ticket = rejected.class.map(|class| (self.clients.desk.figures.taken(class), End::Failed));
        let wait = Wait::Ready(resp::error(&format!("ERR {}", rejected.told)));
        self.pending.push_back(Slot { wait, memory: None, ticket });
    }

    /// Says what is wrong, behind the answers that are owed, and reads no more.
    fn protocol_error(&mut self, error: Malformed) {
        self.state.finish();
        self.answer(resp::error(&format!("ERR protocol: {error}")));
    }

    fn answer(&mut self, bytes: Bytes) {
        self.pending.push_back(Slot { wait: Wait::Ready(bytes), memory: None, ticket: None });
    }

    async fn command(&mut self, frame: BytesFrame, came: Micros, reserved: Option<OwnedSemaphorePermit>) {
        let Some(words) = words(frame) else {
            return self.protocol_error(Malformed("a command is an array of bulk strings"));
        };
        match words[0].as_ref() {
            b"CACHE.GET" | b"CACHE.SET" => match self.clients.parse(&words, came) {
                Ok((request, command)) => {
                    self.newcomer = None;
                    self.ask(request, Box::new(command), reserved).await;
                }
                Err(e) => self.reject(e),
            },
            name if name.eq_ignore_ascii_case(b"PING") => {
                self.newcomer = None;
                let life = &self.clients.desk.lifecycle;
                self.answer(match life.phase() {
                    _ if life.serves() => Bytes::from_static(b"+PONG\r\n"),
                    Phase::Serving | Phase::Starting => resp::error("ERR not ready: no list of servers yet"),
                    Phase::Drained => resp::error("ERR drained"),
                    Phase::Stopping => resp::error("ERR stopping"),
                });
            }
            name if name.eq_ignore_ascii_case(b"QUIT") => {
                self.state.finish();
                self.answer(Bytes::from_static(b"+OK\r\n"));
            }
            _ => self.answer(resp::error("ERR unknown command")),
        }
    }

    async fn ask(&mut self, request: Request, command: Box<Command>, reserved: Option<OwnedSemaphorePermit>) {
        // Memory is bounded by what open requests may hold, and one connection by its own part of them; what is
        // beyond never runs, and is told so instead of being left unread.
        let value = command.value.as_ref().filter(|_| reserved.is_none()).map_or(0, Bytes::len);
        let holds = REQUEST_KB + value.div_ceil(1024);
        let memory = match self.asked < MAX_PIPELINE
            && self.clients.ids.borrow().len() <= self.clients.site.max_open
        {
            true => self.clients.memory.clone().try_acquire_many_owned(holds as u32).ok(),
            false => None,
        };
        let Some(mut memory) = memory else {
            return self.refuse(request.class);
        };
        if let Some(reserved) = reserved {
            memory.merge(reserved);
        }
        let ticket = self.clients.desk.figures.taken(request.class);
        let (answer, receiver) = oneshot::channel();
        let id = request.id;
        let asked = Asked::Request { request, connection: self.number, command, answer };
        if self.clients.events.send(Input::Client(asked)).await.is_err() {
            return self.answer(resp::error("ERR stopping"));
        }
        self.asked += 1;
        let ticket = Some((ticket, End::Failed));
        self.pending.push_back(Slot { wait: Wait::Node(id, receiver), memory: Some(memory), ticket });
    }
}

/// The words of a command.
fn words(frame: BytesFrame) -> Option<Vec<Bytes>> {
    let BytesFrame::Array(frames) = frame else { return None };
    let word = |f| match f {
        BytesFrame::BulkString(b) => Some(b),
        _ => None,
    };
    frames.into_iter().map(word).collect::<Option<Vec<_>>>().filter(|words| !words.is_empty())
}

/// Whether nothing has come in that is not read yet: a connection is closed only then, or a request would be lost
/// with it.
async fn quiet(reading: &impl Reading, buffer: &mut BytesMut) -> bool {
    // Once round the runtime, which looks at the sockets then.
    tokio::task::yield_now().await;
    buffer.reserve(READ);
    !matches!(reading.try_read_buf(buffer), Ok(read) if read > 0)
}

/// How many answers are ready at the front, once one is; 0 where a large value is. Safe to drop and call again.
async fn ready_answers(pending: &mut VecDeque<Slot>) -> usize {
    poll_fn(|cx| {
        let (mut ready, mut size) = (0, 0);
        for slot in pending.iter_mut() {
            if let Wait::Node(_, receiver) = &mut slot.wait {
                let Poll::Ready(answer) = Pin::new(receiver).poll(cx) else { break };
                if let Some((_, end)) = &mut slot.ticket {
                    *end = match &answer {
                        Ok(answer) if answer.serves() => End::Served,
                        Ok(Answer::Busy(_)) => End::Refused,
                        _ => End::Failed,
                    };
                }
                if let Ok(Answer::Stream(value)) = answer {
                    slot.wait = Wait::Stream(value);
                    break;
                }
                slot.wait = Wait::Ready(match answer {
                    Ok(Answer::Value(value)) => resp::encode(&BytesFrame::BulkString(value)),
                    Ok(Answer::Busy(0)) => resp::error("BUSY"),
                    Ok(Answer::Busy(ms)) => resp::error(&format!("BUSY {ms}")),
                    _ => resp::error("ERR failed"),
                });
            }
            let Wait::Ready(bytes) = &slot.wait else { break };
            (ready, size) = (ready + 1, size + bytes.len());
            if size >= WRITE {
                break;
            }
        }
        let large = matches!(pending.front(), Some(Slot { wait: Wait::Stream(_), .. }));
        if ready > 0 || large { Poll::Ready(ready) } else { Poll::Pending }
    })
    .await
}
