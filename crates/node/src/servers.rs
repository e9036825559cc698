//! Connections to the cache servers, and which of them carries an attempt. RESP2, answers in order.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use brassrouter::ServerId;
use bytes::Bytes;
use mothpier_host::Host;
use mothpier_ops::Figures;
use mothpier_resp as resp;
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use self::driver::drive;
use crate::command::{AttemptExtras, AttemptId, Command as ClientCommand, Stream as LargeValue};
use crate::counters::Connects;
use crate::input::Input;
use crate::local_failures::LocalFailures;

mod driver;

/// Connections of the whole tier to one server that are aimed at: servers hold few, each takes some of its
/// capacity, and the nodes share them. A node uses its whole part before it puts a command behind another: answers
/// come in order, and a quick one behind a slow or lost one is late.
const TIER_CONNECTIONS: usize = 32;
/// A connection idle for this part of the time after which servers close it is not used again.
const FRESH: f64 = 0.7;
/// A cache server may drop a request without a word when less of its time is left than this, however it counts: as much as
/// the protocol allows its times to differ.
const LITTLE_TIME: Duration = Duration::from_millis(50);
/// After a refused connection none beside those that work is opened for this long.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// An answer that has begun goes on within this time, however small its pieces are, and one that is overdue comes within it.
/// What waits behind one that does not waits in vain.
pub const LONGEST_SILENCE: Duration = Duration::from_millis(250);

/// How an attempt at a cache server ended.
pub enum Ended {
    /// A frame of the agreed form came back for it.
    Answered(BytesFrame),
    /// A large value has begun to come.
    Began(LargeValue),
    /// What came back can't be an answer to it. It has run; the connection is closed.
    Spoilt,
    /// The connection ended after its last byte was written.
    Reset,
    /// Its last byte was never written: it cannot have run.
    NotConnected,
    /// The same, for a reason that lies on this machine and tells nothing of the server.
    LocalFailure,
}

/// Why an attempt was not taken by [`Servers::send`]. It cannot have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The server takes nothing new, or its connections have no room.
    NoConnection,
    /// This machine could not make connections a moment ago, and it is too early to try again.
    LocalFailure,
}

/// How a connection ended.
#[derive(Debug)]
pub enum ConnectionEnd {
    /// The server, or the way to it, turned it down.
    Refused,
    /// It did not come up in time.
    TimedOut,
    /// This machine could not make it.
    LocalFailure(std::io::Error),
    /// It had been made, and was closed by either side or lost.
    Broken,
}

/// What a connection tells the node.
pub enum Event {
    Up,
    Answer(AttemptId, BytesFrame),
    Began(AttemptId, LargeValue),
    /// What came for this attempt can't be its answer; the end of the connection follows.
    Spoilt(AttemptId),
    /// The large value that is passing stands still, at its server or at its client.
    HeldUp,
    /// The connection is no more; the attempts written whole, and those not.
    Down {
        end: ConnectionEnd,
        written: Vec<AttemptId>,
        unwritten: Vec<AttemptId>,
    },
}

/// Limits of the connections.
#[derive(Clone)]
pub struct Limits {
    pub balancers: usize,
    pub multiplex: usize,
    pub idle_close: Duration,
    pub connect_timeout: Duration,
    /// Connections to all servers together.
    pub descriptors: usize,
}

/// A command that is to be written.
pub struct Command {
    pub attempt: AttemptId,
    pub payload: Payload,
}

/// What a command asks for.
pub enum Payload {
    /// What a client asked for. Its bytes are made when they are written, since they tell the time left by then.
    Request { command: Rc<ClientCommand>, extras: AttemptExtras },
    /// The load only, which has another answer.
    Probe,
}

impl Payload {
    /// Until when the command is waited for; `None` for a probe.
    fn ends(&self) -> Option<Instant> {
        match self {
            Payload::Request { extras, .. } => Some(extras.attempt_ends()),
            Payload::Probe => None,
        }
    }

    /// Whether it may still be written.
    fn has_time(&self) -> bool {
        match self {
            Payload::Request { extras, .. } => extras.milliseconds_left().is_some(),
            Payload::Probe => true,
        }
    }

    fn kind(&self) -> Kind {
        match self {
            Payload::Request { command, .. } if command.write => Kind::Write,
            Payload::Request { .. } => Kind::Read,
            Payload::Probe => Kind::Probe,
        }
    }

    /// The bytes to be written now; `None` where the attempt has no time left.
    fn encode_now(&self) -> Option<Bytes> {
        match self {
            Payload::Request { command, extras } => Some(command.encode_with(extras.to_write_now()?)),
            Payload::Probe => Some(resp::command(["INFO".into(), "load".into()])),
        }
    }
}

/// What may be done with a command that has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Asks for the load only.
    Probe,
    /// May run twice.
    Read,
    /// May not run twice unless the decision module says so.
    Write,
}

/// A command that was written whole.
struct Sent {
    attempt: AttemptId,
    kind: Kind,
    /// The node waits for it no longer.
    given_up: bool,
    /// Until when its server was told to answer; `None` for a probe.
    ends: Option<Instant>,
}

impl Sent {
    /// Whether its server may have dropped it without a word: too little of its time is left, or none.
    fn may_be_dropped(&self) -> bool {
        has_little_time(self.ends)
    }
}

/// Whether a command that ends then has so little time left that its server may drop it without a word.
fn has_little_time(ends: Option<Instant>) -> bool {
    ends.is_some_and(|ends| ends.saturating_duration_since(Instant::now()) < LITTLE_TIME)
}

/// What a connection is writing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Writing {
    #[default]
    Nothing,
    /// A command that has begun and is not whole.
    Begun(AttemptId),
    /// It was given up before it was whole: the rest must never be written, for then it would run. What was written before
    /// it is still answered; then the connection ends.
    Abandoned,
}

#[derive(Default)]
struct Line {
    up: bool,
    /// What came last makes it useless: it is about to end.
    ending: bool,
    /// A large value is passing: how long that takes is up to its client.
    streaming: bool,
    /// The large value that is passing has stood still.
    held_up: bool,
    unsent: VecDeque<Command>,
    writing: Writing,
    /// In order.
    sent: VecDeque<Sent>,
}

impl Line {
    fn load(&self) -> usize {
        self.unsent.len() + self.sent.len() + usize::from(matches!(self.writing, Writing::Begun(_)))
    }

    /// Whether nothing on it is waited for any more, though something was.
    fn in_vain(&self) -> bool {
        let writes = !self.unsent.is_empty() || matches!(self.writing, Writing::Begun(_));
        !writes && self.sent.iter().all(|s| s.given_up)
    }

    /// Whether something given up is ahead: what is written behind it may wait for ever.
    fn stalled(&self) -> bool {
        self.sent.iter().any(|s| s.given_up)
    }

    /// Whether what is written now would be answered without waiting for something that stands still.
    fn moves(&self) -> bool {
        !self.stalled() && !self.held_up && self.writing != Writing::Abandoned
    }

    /// Whether an answer is waited for behind the one that comes now.
    fn others_wait(&self) -> bool {
        let writes = !self.unsent.is_empty() || matches!(self.writing, Writing::Begun(_));
        writes || self.sent.iter().skip(1).any(|s| !s.given_up)
    }

    /// Whether the answer that comes next is that of an attempt that was given up, and others wait behind it.
    fn is_held_up_by(&self, attempt: AttemptId) -> bool {
        self.sent.front().is_some_and(|s| s.attempt == attempt && s.given_up) && self.others_wait()
    }

    /// Stops waiting for the reads that are written behind the answer that comes next, and returns them. Writes wait on,
    /// for they may run.
    fn release_reads(&mut self) -> Vec<AttemptId> {
        let behind = self.sent.iter_mut().skip(1).filter(|s| s.kind == Kind::Read && !s.given_up);
        behind
            .map(|sent| {
                sent.given_up = true;
                sent.attempt
            })
            .collect()
    }

    /// Whether a command ahead may be dropped without a word: the answer to one behind it would be taken for its own.
    fn may_skip_an_answer(&self) -> bool {
        self.sent.iter().any(Sent::may_be_dropped)
            || self.unsent.iter().any(|command| {
                // One without any time left is never written.
                has_little_time(command.payload.ends()) && command.payload.has_time()
            })
    }

    /// Whether the answer that comes next may be that of the second command: the first may have been dropped.
    fn next_answer_is_ambiguous(&self) -> bool {
        self.sent.len() > 1 && self.sent.front().is_some_and(Sent::may_be_dropped)
    }
}

struct Shared {
    line: RefCell<Line>,
    wake: Notify,
    /// What is being written is abandoned.
    halt: Notify,
    figures: Arc<Figures>,
}

struct Connection {
    number: u64,
    shared: Rc<Shared>,
    task: AbortHandle,
    used: Instant,
    /// It leads to an address that its server has left: it ends what it carries and gets nothing new.
    retired: bool,
    /// How many connections there are to all servers.
    all: Rc<Cell<usize>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.all.set(self.all.get() - 1);
        self.task.abort();
    }
}

impl Connection {
    fn load(&self) -> usize {
        self.shared.line.borrow().load()
    }

    fn up(&self) -> bool {
        self.shared.line.borrow().up
    }

    /// Whether a command could be answered on it at once.
    fn free(&self) -> bool {
        self.up() && self.load() == 0 && !self.retired && !self.shared.line.borrow().ending
    }

    fn push(&mut self, command: Command) {
        self.used = Instant::now();
        self.shared.line.borrow_mut().unsent.push_back(command);
        self.shared.wake.notify_one();
    }
}

/// A server that takes new requests, or that still owes answers: others are forgotten.
struct Pool {
    address: Option<SocketAddr>,
    /// Whether the list says that it takes new requests.
    ready: bool,
    connections: Vec<Connection>,
    /// Attempts for which a connection is being made.
    waiting: VecDeque<Command>,
    alone_until: Instant,
}

/// What came of taking back an attempt.
#[derive(Default)]
pub struct Withdrawn {
    /// It was not written whole, and won't be: it never ran.
    pub unwritten: bool,
    /// Others that this ends.
    pub ended: Vec<(AttemptId, Ended)>,
}

/// All connections to cache servers.
pub struct Servers<H> {
    host: H,
    pools: BTreeMap<ServerId, Pool>,
    limits: Limits,
    events: mpsc::Sender<Input>,
    numbers: u64,
    /// Connections to all servers, and how many servers take new requests: asked with every attempt.
    all: Rc<Cell<usize>>,
    ready: usize,
    connects: Connects,
    /// A shortage of this machine's concerns the connections to all servers.
    local_failures: LocalFailures,
    figures: Arc<Figures>,
}

impl<H: Host> Servers<H> {
    pub fn new(host: H, limits: Limits, figures: Arc<Figures>, events: mpsc::Sender<Input>) -> Self {
        Servers {
            host,
            pools: BTreeMap::new(),
            limits,
            events,
            numbers: 0,
            all: Rc::default(),
            ready: 0,
            connects: Connects::default(),
            local_failures: LocalFailures::default(),
            figures,
        }
    }

    /// Takes a line of the list. Returns the attempts that were not begun to be written to a server that now
    /// wants none: after the grace not one byte of a new attempt may go there, so none is left to be sent.
    pub fn listed(&mut self, server: ServerId, address: Option<SocketAddr>, ready: bool) -> Vec<AttemptId> {
        if !ready && !self.pools.contains_key(&server) {
            return Vec::new();
        }
        let pool = self.pools.entry(server).or_insert_with(|| Pool {
            address,
            ready,
            connections: Vec::new(),
            waiting: VecDeque::new(),
            alone_until: Instant::now(),
        });
        let moved = address.is_some() && address != pool.address;
        pool.ready = ready;
        pool.address = address.or(pool.address);
        let mut unsent = Vec::new();
        if !ready || moved {
            unsent.extend(pool.waiting.drain(..).map(|c| c.attempt));
            for c in &mut pool.connections {
                c.retired = true;
                unsent.extend(c.shared.line.borrow_mut().unsent.drain(..).map(|c| c.attempt));
            }
            pool.connections.retain(|c| c.load() > 0);
        }
        self.tidy(server);
        self.ready = self.pools.values().filter(|p| p.ready).count();
        unsent
    }

    /// How many connections to all of them there may be.
    pub fn set_descriptors(&mut self, most: usize) {
        self.limits.descriptors = most;
    }

    /// How many connections there are.
    pub fn open(&self) -> usize {
        self.all.get()
    }

    /// The connects since the last call.
    pub fn connects(&mut self) -> Connects {
        std::mem::take(&mut self.connects)
    }

    /// How many are kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Servers that the whole list no longer names.
    pub fn unlisted(&mut self, named: &dyn Fn(ServerId) -> bool) -> Vec<AttemptId> {
        let gone: Vec<ServerId> =
            self.pools.iter().filter(|(id, p)| p.ready && !named(**id)).map(|(id, _)| *id).collect();
        gone.into_iter().flat_map(|id| self.listed(id, None, false)).collect()
    }

    /// Closes what leads to an address that was left once it is done, and forgets a server that wants nothing more
    /// and owes nothing: ids are ever new, so what is kept for one must go with it.
    fn tidy(&mut self, server: ServerId) {
        let Some(pool) = self.pools.get_mut(&server) else { return };
        pool.connections.retain(|c| !c.retired || c.load() > 0);
        if !pool.ready && pool.connections.is_empty() {
            self.pools.remove(&server);
        }
    }

    /// Sends an attempt on an idle connection, or a new one within this node's part, or behind others on the
    /// one with the fewest.
    ///
    /// # Errors
    /// Where there is none: it was not written.
    pub fn send(&mut self, server: ServerId, command: Command) -> Result<(), SendError> {
        let pool = self.pools.get_mut(&server).filter(|p| p.ready).ok_or(SendError::NoConnection)?;
        let fresh = self.limits.idle_close.mul_f64(FRESH);
        pool.connections.retain(|c| c.load() > 0 || !c.up() || c.used.elapsed() < fresh);
        // One may be up of which the node has not heard yet: it belongs to who waits for it.
        pool.assign_free_connections();
        if let Some(idle) = pool.connections.iter_mut().find(|c| c.free()) {
            idle.push(command);
            return Ok(());
        }
        let part = (TIER_CONNECTIONS / self.limits.balancers.max(1)).max(1);
        let part = part.min((self.limits.descriptors / self.ready.max(1)).max(1));
        let open = pool.connections.iter().filter(|c| !c.retired).count();
        // A connection that is held up by what was given up does not count: it may never move again.
        let moving = pool.connections.iter().filter(|c| c.shared.line.borrow().moves() && !c.retired).count();
        let may_open = (moving == 0 || Instant::now() >= pool.alone_until) && open < 2 * part;
        let wants_new = moving < part && may_open && self.all.get() < self.limits.descriptors;
        let too_early = wants_new && !self.local_failures.may_connect();
        if let Some(address) = pool.address.filter(|_| wants_new && !too_early) {
            self.numbers += 1;
            self.connects.begun = self.connects.begun.saturating_add(1);
            self.figures.connect();
            self.all.set(self.all.get() + 1);
            pool.open(
                &self.host,
                server,
                self.numbers,
                address,
                &self.limits,
                &self.events,
                self.all.clone(),
                self.figures.clone(),
            );
            pool.waiting.push_back(command);
            return Ok(());
        }
        match pool.append(command, self.limits.multiplex) {
            true => Ok(()),
            false if too_early => Err(SendError::LocalFailure),
            false => Err(SendError::NoConnection),
        }
    }

    /// Counts how a connection ended, and returns what that means for an attempt that was not written on it.
    fn connection_ended(
        &mut self,
        server: ServerId,
        end: ConnectionEnd,
    ) -> fn(AttemptId) -> (AttemptId, Ended) {
        match end {
            ConnectionEnd::LocalFailure(error) if self.is_local(server, &error) => {
                self.connects.local_failures = self.connects.local_failures.saturating_add(1);
                if self.local_failures.failed() {
                    self.host.log(format_args!("this machine can't connect to cache servers: {error}"));
                }
                return |attempt| (attempt, Ended::LocalFailure);
            }
            ConnectionEnd::Refused | ConnectionEnd::LocalFailure(_) => {
                self.connects.refused = self.connects.refused.saturating_add(1);
                self.figures.connect_refused();
                if let Some(pool) = self.pools.get_mut(&server) {
                    pool.alone_until = Instant::now() + REFUSED_PAUSE;
                }
            }
            ConnectionEnd::TimedOut | ConnectionEnd::Broken => {}
        }
        |attempt| (attempt, Ended::NotConnected)
    }

    /// Whether a failure says nothing of the server: where no route leads to it while others are connected, it is the
    /// server that can't be reached.
    fn is_local(&self, server: ServerId, error: &std::io::Error) -> bool {
        let no_route = matches!(error.kind(), ErrorKind::NetworkUnreachable | ErrorKind::NetworkDown);
        let mut others = self.pools.iter().filter(|(id, _)| **id != server).map(|(_, pool)| pool);
        !(no_route && others.any(|pool| pool.connections.iter().any(Connection::up)))
    }

    /// Takes what a connection tells and returns the attempts that this ends.
    pub fn event(&mut self, server: ServerId, number: u64, event: Event) -> Vec<(AttemptId, Ended)> {
        let mut ended = Vec::new();
        let mut unplaced: fn(AttemptId) -> (AttemptId, Ended) = |attempt| (attempt, Ended::NotConnected);
        // Told before the pool is looked for: that of a server which the list no longer names may be gone by now, with
        // the answers of several of its connections still on their way here, and each of them is owed.
        match event {
            Event::Up => self.local_failures.connected(),
            Event::Answer(attempt, frame) => {
                let pool = self.pools.get_mut(&server);
                if let Some(c) = pool.and_then(|p| p.connections.iter_mut().find(|c| c.number == number)) {
                    c.used = Instant::now();
                }
                ended.push((attempt, Ended::Answered(frame)));
            }
            Event::Began(attempt, value) => ended.push((attempt, Ended::Began(value))),
            Event::Spoilt(attempt) => ended.push((attempt, Ended::Spoilt)),
            Event::HeldUp => {
                if let Some(pool) = self.pools.get_mut(&server) {
                    let released = pool.release_behind_large_value(number).into_iter();
                    ended.extend(released.map(|id| (id, Ended::Reset)));
                }
            }
            Event::Down { end, written, unwritten } => {
                unplaced = self.connection_ended(server, end);
                ended.extend(written.into_iter().map(|id| (id, Ended::Reset)));
                ended.extend(unwritten.into_iter().map(unplaced));
                if let Some(pool) = self.pools.get_mut(&server) {
                    pool.connections.retain(|c| c.number != number);
                }
            }
        }
        let Some(pool) = self.pools.get_mut(&server) else { return ended };
        ended.extend(pool.pump(self.limits.multiplex).into_iter().map(unplaced));
        self.tidy(server);
        ended
    }

    /// Takes back an attempt, unless it has been written whole: it never runs then. Others on its connection go on or find
    /// another; a connection on which nothing is waited for any more is closed.
    pub fn withdraw(&mut self, server: ServerId, attempt: AttemptId) -> Withdrawn {
        let Some(pool) = self.pools.get_mut(&server) else { return Withdrawn::default() };
        let mut withdrawn = Withdrawn::default();
        let waiting = pool.waiting.len();
        pool.waiting.retain(|c| c.attempt != attempt);
        withdrawn.unwritten = pool.waiting.len() < waiting;
        pool.connections.retain(|c| {
            let mut line = c.shared.line.borrow_mut();
            let unsent = line.unsent.len();
            line.unsent.retain(|c| c.attempt != attempt);
            let was_queued = line.unsent.len() < unsent;
            withdrawn.unwritten |= was_queued;
            if line.writing != Writing::Begun(attempt) {
                return !was_queued || line.sent.is_empty() || !line.in_vain();
            }
            withdrawn.unwritten = true;
            (line.writing, line.ending) = (Writing::Abandoned, true);
            c.shared.halt.notify_one();
            while let Some(command) = line.unsent.pop_back() {
                pool.waiting.push_front(command);
            }
            !line.in_vain()
        });
        let unplaced = pool.pump(self.limits.multiplex).into_iter();
        withdrawn.ended.extend(unplaced.map(|id| (id, Ended::NotConnected)));
        self.tidy(server);
        withdrawn
    }

    /// Stops waiting for an attempt. Others on its connection go on: it is closed only when nothing else is left on it.
    pub fn give_up(&mut self, server: ServerId, attempt: AttemptId) -> Withdrawn {
        let withdrawn = self.withdraw(server, attempt);
        if let Some(pool) = self.pools.get_mut(&server).filter(|_| !withdrawn.unwritten) {
            pool.connections.retain(|c| {
                let mut line = c.shared.line.borrow_mut();
                let here = line.sent.iter_mut().find(|s| s.attempt == attempt);
                let was_sent = here.map(|s| s.given_up = true).is_some();
                !(was_sent && line.in_vain())
            });
            self.tidy(server);
        }
        withdrawn
    }

    /// Whether a connection has no answer for an attempt that was given up, and others wait behind it.
    pub fn holds_up_others(&self, server: ServerId, attempt: AttemptId) -> bool {
        let connections = self.pools.get(&server).map_or(&[][..], |pool| &pool.connections);
        connections.iter().any(|c| c.shared.line.borrow().is_held_up_by(attempt))
    }

    /// Lets what waits behind an attempt that was given up be answered on other connections, where its own has brought no
    /// answer since. Returns the attempts that this ends.
    pub fn release_behind(&mut self, server: ServerId, attempt: AttemptId) -> Vec<(AttemptId, Ended)> {
        let Some(pool) = self.pools.get_mut(&server) else { return Vec::new() };
        let held_up = |c: &&Connection| c.shared.line.borrow().is_held_up_by(attempt);
        let Some(number) = pool.connections.iter().find(held_up).map(|c| c.number) else { return Vec::new() };
        let released = pool.release_behind_first(number);
        pool.connections.retain(|c| c.number != number || !c.shared.line.borrow().in_vain());
        let mut ended: Vec<_> = released.into_iter().map(|id| (id, Ended::Reset)).collect();
        ended.extend(pool.pump(self.limits.multiplex).into_iter().map(|id| (id, Ended::NotConnected)));
        self.tidy(server);
        ended
    }

    /// Closes the connections to a server that carry nothing.
    pub fn close_idle(&mut self, server: ServerId) {
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.close_idle();
        }
    }

    /// Closes the connections to all servers that carry nothing.
    pub fn close_all_idle(&mut self) {
        self.pools.values_mut().for_each(Pool::close_idle);
    }
}

impl Pool {
    #[expect(clippy::too_many_arguments, reason = "all of them go on to the one task")]
    fn open<H: Host>(
        &mut self,
        host: &H,
        server: ServerId,
        number: u64,
        address: SocketAddr,
        limits: &Limits,
        events: &mpsc::Sender<Input>,
        all: Rc<Cell<usize>>,
        figures: Arc<Figures>,
    ) {
        let shared =
            Rc::new(Shared { line: RefCell::default(), wake: Notify::new(), halt: Notify::new(), figures });
        let (host, line, events, within) =
            (host.clone(), shared.clone(), events.clone(), limits.connect_timeout);
        let task = tokio::task::spawn_local(async move {
            let end = drive(&host, server, number, address, within, &line, &events).await;
            let mut state = std::mem::take(&mut *line.line.borrow_mut());
            let written = state.sent.drain(..).map(|s| s.attempt).collect();
            let begun = match state.writing {
                Writing::Begun(attempt) => Some(attempt),
                Writing::Nothing | Writing::Abandoned => None,
            };
            let unwritten = begun.into_iter().chain(state.unsent.drain(..).map(|c| c.attempt)).collect();
            let event = Event::Down { end, written, unwritten };
            let _ = events.send(Input::Server { server, number, event }).await;
        });
        let (task, used) = (task.abort_handle(), Instant::now());
        self.connections.push(Connection { number, shared, task, used, retired: false, all });
    }

    /// Lets what waits behind a large value that stands still be answered on other connections; see
    /// [`release_behind_first`](Self::release_behind_first).
    fn release_behind_large_value(&mut self, number: u64) -> Vec<AttemptId> {
        let Some(connection) = self.connections.iter().find(|c| c.number == number) else {
            return Vec::new();
        };
        let mut line = connection.shared.line.borrow_mut();
        // It may have gone on since this was told.
        if !line.streaming {
            return Vec::new();
        }
        line.held_up = true;
        drop(line);
        self.release_behind_first(number)
    }

    /// Takes from a connection what waits behind the answer that comes next: what has not been written waits for another
    /// connection, and reads that have been written are returned, to be sent again.
    fn release_behind_first(&mut self, number: u64) -> Vec<AttemptId> {
        let Some(connection) = self.connections.iter().find(|c| c.number == number) else {
            return Vec::new();
        };
        let mut line = connection.shared.line.borrow_mut();
        while let Some(command) = line.unsent.pop_back() {
            self.waiting.push_front(command);
        }
        line.release_reads()
    }

    fn close_idle(&mut self) {
        self.connections.retain(|c| !c.up() || c.load() > 0);
    }

    /// Puts an attempt behind others on the connection with the fewest that is not held up.
    fn append(&mut self, command: Command, multiplex: usize) -> bool {
        let line = |c: &Connection| {
            let line = c.shared.line.borrow();
            (line.up
                && !line.ending
                && !line.streaming
                && !c.retired
                && !line.stalled()
                && !line.may_skip_an_answer()
                && line.load() < multiplex)
                .then(|| line.load())
        };
        if let Some(c) = self.connections.iter_mut().filter(|c| line(c).is_some()).min_by_key(|c| line(c)) {
            c.push(command);
            return true;
        }
        let coming = self.connections.iter().filter(|c| !c.up() && !c.retired).count();
        let room = self.waiting.len() < coming * multiplex;
        if room {
            self.waiting.push_back(command);
        }
        room
    }

    /// Gives waiting attempts the connections that are free, in the order in which they came.
    fn assign_free_connections(&mut self) {
        while !self.waiting.is_empty() {
            let Some(free) = self.connections.iter_mut().find(|c| c.free()) else { return };
            let Some(command) = self.waiting.pop_front() else { return };
            free.push(command);
        }
    }

    /// Gives waiting attempts the connections that have become free; once none is being made any more those
    /// left go behind others. Returns those that have found no connection.
    fn pump(&mut self, multiplex: usize) -> Vec<AttemptId> {
        self.assign_free_connections();
        let mut unplaced = Vec::new();
        if self.connections.iter().any(|c| !c.up() && !c.retired) {
            return unplaced;
        }
        while let Some(command) = self.waiting.pop_front() {
            let attempt = command.attempt;
            if !self.append(command, multiplex) {
                unplaced.push(attempt);
            }
        }
        unplaced
    }
}

#[cfg(test)]
#[path = "../tests/unit/servers.rs"]
mod tests;
