//! Connections to the cache servers, and which of them carries an attempt. RESP2, answers in order.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use brassrouter::ServerId;
use mothpier_host::Host;
use mothpier_ops::Metrics;
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::mpsc;
use tokio::time::Instant;

use self::connection::{Connection, Connector, First};
use self::line::Writing;
use self::payload::Kind;
pub use self::payload::{AttemptCommand, Payload};
use self::pool::Pool;
use crate::command::{AttemptId, LargeValue};
use crate::counters::ConnectCounts;
use crate::duplicate_responses::Doubt;
use crate::input::Input;
use crate::local_failures::LocalFailures;

mod connection;
mod driver;
mod fence;
mod judging;
mod line;
mod payload;
mod pool;

/// Connections of the whole tier to one server that are aimed at: servers hold few, each takes some of its
/// capacity, and the nodes share them. A node uses its whole part before it puts a command behind another: answers
/// come in order, and a quick one behind a slow or lost one is late.
const TIER_CONNECTIONS: usize = 32;
/// A connection idle for this part of the time after which servers close it is not used again.
const FRESH: f64 = 0.7;
/// After a refused connection none beside those that work is opened for this long.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// An answer that has begun goes on within this time, however small its pieces are, and one that is overdue comes within it.
/// What waits behind one that does not waits in vain.
pub const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// How an attempt at a cache server ended.
pub enum AttemptOutcome {
    /// A frame of the agreed form came back for it.
    Answered(BytesFrame),
    /// A large value has begun to come.
    StreamStarted(LargeValue),
    /// What came back can't be an answer to it. It has run; the connection is closed.
    InvalidResponse,
    /// The connection ended after its last byte was written.
    Reset,
    /// Its last byte was never written: it cannot have run.
    NotConnected,
    /// The same, for a reason that lies on this machine and tells nothing of the server.
    LocalFailure,
    /// Its connection has ended, which tells nothing of the server. Nothing was handed on.
    Interrupted(InterruptedCommand),
}

/// A command whose connection has ended, though its server goes on: its answers could not be told apart, or it ended
/// before the command was written.
pub struct InterruptedCommand {
    command: AttemptCommand,
    /// Whether it was written whole: it may have run.
    pub was_written: bool,
    /// Why its own answer was not taken, which the next one settles; `None` where it had none.
    doubt: Option<Doubt>,
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
    /// It had been made, and an answer came that may belong to no command that waits. Where it was taken for the answer of
    /// one, why that is doubted.
    OutOfStep(Option<Doubt>),
}

/// What a connection tells the node.
pub enum ConnectionEvent {
    Up,
    Answer(AttemptId, BytesFrame),
    Began(AttemptId, LargeValue),
    /// What came for this attempt can't be its answer; the end of the connection follows.
    Spoilt(AttemptId),
    /// The large value that is passing stands still, at its server or at its client.
    HeldUp,
    /// The connection is no more; the attempts written whole, those not, and those that may be sent again.
    Down {
        end: ConnectionEnd,
        written: Vec<AttemptId>,
        unwritten: Vec<AttemptId>,
        displaced: Vec<InterruptedCommand>,
    },
}

/// Limits of the connections.
#[derive(Clone)]
pub struct Limits {
    pub node_count: usize,
    pub attempts_per_connection: usize,
    pub idle_close: Duration,
    pub connect_timeout: Duration,
    /// Connections to all servers together.
    pub max_connections: usize,
}

/// What came of taking back an attempt.
#[derive(Default)]
pub struct Withdrawn {
    /// It was not written whole, and won't be: it never ran.
    pub unwritten: bool,
    /// Others that this ends.
    pub ended: Vec<(AttemptId, AttemptOutcome)>,
}

/// All connections to cache servers.
pub struct Servers<H> {
    connector: Connector<H>,
    pools: BTreeMap<ServerId, Pool>,
    limits: Limits,
    numbers: u64,
    /// How many servers take new requests: asked with every attempt.
    ready: usize,
    connects: ConnectCounts,
    /// A shortage of this machine's concerns the connections to all servers.
    local_failures: LocalFailures,
}

impl<H: Host> Servers<H> {
    pub fn new(host: H, limits: Limits, figures: Arc<Metrics>, events: mpsc::Sender<Input>) -> Self {
        let connect_timeout = limits.connect_timeout;
        let connector = Connector { host, connect_timeout, events, figures, all: Rc::default() };
        Servers {
            connector,
            pools: BTreeMap::new(),
            limits,
            numbers: 0,
            ready: 0,
            connects: ConnectCounts::default(),
            local_failures: LocalFailures::default(),
        }
    }

    /// Takes a line of the list. Returns the attempts that were not begun to be written to a server that now
    /// wants none: after the grace not one byte of a new attempt may go there, so none is left to be sent.
    pub fn update_server(
        &mut self,
        server: ServerId,
        address: Option<SocketAddr>,
        ready: bool,
    ) -> Vec<AttemptId> {
        if !ready && !self.pools.contains_key(&server) {
            return Vec::new();
        }
        let pool = self.pools.entry(server).or_insert_with(|| Pool::new(address, ready));
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
    pub fn set_max_connections(&mut self, most: usize) {
        self.limits.max_connections = most;
    }

    /// How many connections there are.
    pub fn open_connections(&self) -> usize {
        self.connector.all.get()
    }

    /// The connects since the last call.
    pub fn take_connect_counts(&mut self) -> ConnectCounts {
        std::mem::take(&mut self.connects)
    }

    /// How many are kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Servers that the whole list no longer names.
    pub fn remove_unlisted(&mut self, named: &dyn Fn(ServerId) -> bool) -> Vec<AttemptId> {
        let gone: Vec<ServerId> =
            self.pools.iter().filter(|(id, p)| p.ready && !named(**id)).map(|(id, _)| *id).collect();
        gone.into_iter().flat_map(|id| self.update_server(id, None, false)).collect()
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
    pub fn send(&mut self, server: ServerId, command: AttemptCommand) -> Result<(), SendError> {
        let pool = self.pools.get_mut(&server).filter(|p| p.ready).ok_or(SendError::NoConnection)?;
        let fresh = self.limits.idle_close.mul_f64(FRESH);
        pool.connections.retain(|c| c.load() > 0 || !c.up() || c.used.elapsed() < fresh);
        if !command.payload.may_run_twice() {
            let wants_new =
                command.payload.kind() == Kind::Write && pool.findings.borrow().wants_write_alone();
            if let Some(idle) = pool.free_after_no_refusal().filter(|_| !wants_new) {
                idle.push(command);
                return Ok(());
            }
            let wants_new = wants_new || pool.has_free();
            if wants_new && pool.findings.borrow_mut().grants_connection() && self.has_room_for_first(server)
            {
                return self.begin_with(server, First { command, settles: None });
            }
        }
        let pool = self.pools.get_mut(&server).ok_or(SendError::NoConnection)?;
        // One may be up of which the node has not heard yet: it belongs to who waits for it.
        pool.assign_free_connections();
        if self.local_failures.may_connect() && Instant::now() >= pool.alone_until {
            pool.replace_out_of_step();
        }
        if let Some(idle) = pool.free() {
            idle.push(command);
            return Ok(());
        }
        let part = self.part();
        let pool = self.pools.get_mut(&server).ok_or(SendError::NoConnection)?;
        // A connection that is held up by what was given up does not count: it may never move again.
        let moving = pool.connections.iter().filter(|c| c.shared.line.borrow().moves() && !c.retired).count();
        let may_open = (moving == 0 || Instant::now() >= pool.alone_until) && pool.open() < 2 * part;
        let wants_new = moving < part && may_open && self.open_connections() < self.limits.max_connections;
        let too_early = wants_new && !self.local_failures.may_connect();
        if wants_new && !too_early && self.begin_connection(server, None) {
            let pool = self.pools.get_mut(&server).ok_or(SendError::NoConnection)?;
            pool.waiting.push_back(command);
            return Ok(());
        }
        let pool = self.pools.get_mut(&server).ok_or(SendError::NoConnection)?;
        match pool.append(command, self.limits.attempts_per_connection) {
            true => Ok(()),
            false if too_early => Err(SendError::LocalFailure),
            false => Err(SendError::NoConnection),
        }
    }

    /// Connections to one server that this node aims at.
    fn part(&self) -> usize {
        let part = (TIER_CONNECTIONS / self.limits.node_count.max(1)).max(1);
        part.min((self.limits.max_connections / self.ready.max(1)).max(1))
    }

    /// Begins a connection, with its first command where that is settled; whether the server's address is known.
    fn begin_connection(&mut self, server: ServerId, first: Option<First>) -> bool {
        let Some(pool) = self.pools.get_mut(&server) else { return false };
        let Some(address) = pool.address else { return false };
        self.numbers += 1;
        self.connects.started = self.connects.started.saturating_add(1);
        let findings = pool.findings.clone();
        let connection = self.connector.begin(server, self.numbers, address, findings, first);
        pool.connections.push(connection);
        true
    }

    /// Whether there is room for one more connection to a server, which takes the place of an idle one beyond this node's part.
    fn has_room_for_first(&mut self, server: ServerId) -> bool {
        let part = self.part();
        let may_connect = self.local_failures.may_connect();
        let Some(pool) = self.pools.get_mut(&server) else { return false };
        if !may_connect || Instant::now() < pool.alone_until {
            return false;
        }
        if pool.open() >= part || self.connector.all.get() >= self.limits.max_connections {
            pool.close_one_idle();
        }
        pool.open() < 2 * part && self.connector.all.get() < self.limits.max_connections
    }

    /// Sends a command as the first on a new connection: what comes there can't be a repeat.
    fn begin_with(&mut self, server: ServerId, first: First) -> Result<(), SendError> {
        match self.begin_connection(server, Some(first)) {
            true => Ok(()),
            false => Err(SendError::NoConnection),
        }
    }

    /// Sends a command once more whose connection has ended. One whose own answer was doubted goes out as the first on a new
    /// connection.
    ///
    /// # Errors
    /// Where there is no connection for it: it was not written again.
    pub fn resend(&mut self, server: ServerId, displaced: InterruptedCommand) -> Result<(), SendError> {
        let InterruptedCommand { command, doubt, .. } = displaced;
        let Some(doubt) = doubt else { return self.send(server, command) };
        let is_ready = self.pools.get(&server).is_some_and(|pool| pool.ready);
        if !is_ready || !self.has_room_for_first(server) {
            return Err(SendError::NoConnection);
        }
        self.begin_with(server, First { command, settles: Some(doubt) })
    }

    /// Counts how a connection ended, and returns what that means for an attempt that was not written on it.
    fn connection_ended(
        &mut self,
        server: ServerId,
        end: ConnectionEnd,
    ) -> fn(AttemptId) -> (AttemptId, AttemptOutcome) {
        match end {
            ConnectionEnd::LocalFailure(error) if self.is_local(server, &error) => {
                self.connects.local_failures = self.connects.local_failures.saturating_add(1);
                if self.local_failures.record_failure() {
                    self.connector
                        .host
                        .log(format_args!("this machine can't connect to cache servers: {error}"));
                }
                return |attempt| (attempt, AttemptOutcome::LocalFailure);
            }
            ConnectionEnd::Refused | ConnectionEnd::LocalFailure(_) => {
                self.connects.refused = self.connects.refused.saturating_add(1);
                self.connector.figures.connect_refused();
                if let Some(pool) = self.pools.get_mut(&server) {
                    pool.alone_until = Instant::now() + REFUSED_PAUSE;
                }
            }
            ConnectionEnd::TimedOut | ConnectionEnd::Broken | ConnectionEnd::OutOfStep(_) => {}
        }
        |attempt| (attempt, AttemptOutcome::NotConnected)
    }

    /// Whether a failure says nothing of the server: where no route leads to it while others are connected, it is the
    /// server that can't be reached.
    fn is_local(&self, server: ServerId, error: &std::io::Error) -> bool {
        let no_route = matches!(error.kind(), ErrorKind::NetworkUnreachable | ErrorKind::NetworkDown);
        let mut others = self.pools.iter().filter(|(id, _)| **id != server).map(|(_, pool)| pool);
        !(no_route && others.any(|pool| pool.connections.iter().any(Connection::up)))
    }

    /// Takes what a connection tells and returns the attempts that this ends.
    pub fn handle_event(
        &mut self,
        server: ServerId,
        number: u64,
        event: ConnectionEvent,
    ) -> Vec<(AttemptId, AttemptOutcome)> {
        let mut ended = Vec::new();
        let mut unplaced: fn(AttemptId) -> (AttemptId, AttemptOutcome) =
            |attempt| (attempt, AttemptOutcome::NotConnected);
        // Told before the pool is looked for: that of a server which the list no longer names may be gone by now, with
        // the answers of several of its connections still on their way here, and each of them is owed.
        match event {
            ConnectionEvent::Up => self.local_failures.record_success(),
            ConnectionEvent::Answer(attempt, frame) => {
                let pool = self.pools.get_mut(&server);
                if let Some(c) = pool.and_then(|p| p.connections.iter_mut().find(|c| c.number == number)) {
                    c.used = Instant::now();
                }
                ended.push((attempt, AttemptOutcome::Answered(frame)));
            }
            ConnectionEvent::Began(attempt, value) => {
                ended.push((attempt, AttemptOutcome::StreamStarted(value)))
            }
            ConnectionEvent::Spoilt(attempt) => ended.push((attempt, AttemptOutcome::InvalidResponse)),
            ConnectionEvent::HeldUp => {
                if let Some(pool) = self.pools.get_mut(&server) {
                    let released = pool.release_behind_large_value(number).into_iter();
                    ended.extend(released.map(|id| (id, AttemptOutcome::Reset)));
                }
            }
            ConnectionEvent::Down { end, written, unwritten, displaced } => {
                unplaced = self.connection_ended(server, end);
                ended.extend(written.into_iter().map(|id| (id, AttemptOutcome::Reset)));
                ended.extend(unwritten.into_iter().map(unplaced));
                ended.extend(
                    displaced.into_iter().map(|d| (d.command.attempt, AttemptOutcome::Interrupted(d))),
                );
                if let Some(pool) = self.pools.get_mut(&server) {
                    pool.connections.retain(|c| c.number != number);
                }
            }
        }
        let Some(pool) = self.pools.get_mut(&server) else { return ended };
        ended.extend(pool.pump(self.limits.attempts_per_connection).into_iter().map(unplaced));
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
        let unplaced = pool.pump(self.limits.attempts_per_connection).into_iter();
        withdrawn.ended.extend(unplaced.map(|id| (id, AttemptOutcome::NotConnected)));
        self.tidy(server);
        withdrawn
    }

    /// Stops waiting for an attempt. Others on its connection go on: it is closed only when nothing else is left on it.
    pub fn give_up(&mut self, server: ServerId, attempt: AttemptId) -> Withdrawn {
        let withdrawn = self.withdraw(server, attempt);
        if let Some(pool) = self.pools.get_mut(&server).filter(|_| !withdrawn.unwritten) {
            pool.connections.retain(|c| {
                let mut line = c.shared.line.borrow_mut();
                let here = line.sent.iter_mut().find(|s| s.attempt() == attempt);
                let was_sent = here.map(|s| s.given_up = true).is_some();
                !(was_sent && line.in_vain())
            });
            self.tidy(server);
        }
        withdrawn
    }

    /// Whether a connection has no answer for an attempt that was given up, and others wait behind it.
    pub fn blocks_others(&self, server: ServerId, attempt: AttemptId) -> bool {
        let connections = self.pools.get(&server).map_or(&[][..], |pool| &pool.connections);
        connections.iter().any(|c| c.shared.line.borrow().is_held_up_by(attempt))
    }

    /// Lets what waits behind an attempt that was given up be answered on other connections, where its own has brought no
    /// answer since. Returns the attempts that this ends.
    pub fn release_blocked(
        &mut self,
        server: ServerId,
        attempt: AttemptId,
    ) -> Vec<(AttemptId, AttemptOutcome)> {
        let Some(pool) = self.pools.get_mut(&server) else { return Vec::new() };
        let held_up = |c: &&Connection| c.shared.line.borrow().is_held_up_by(attempt);
        let Some(number) = pool.connections.iter().find(held_up).map(|c| c.number) else { return Vec::new() };
        let released = pool.release_behind_first(number);
        pool.connections.retain(|c| c.number != number || !c.shared.line.borrow().in_vain());
        let mut ended: Vec<_> = released.into_iter().map(|id| (id, AttemptOutcome::Reset)).collect();
        ended.extend(
            pool.pump(self.limits.attempts_per_connection)
                .into_iter()
                .map(|id| (id, AttemptOutcome::NotConnected)),
        );
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

#[cfg(test)]
#[path = "../tests/unit/servers.rs"]
mod tests;
