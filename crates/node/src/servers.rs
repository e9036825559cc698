//! Connections to the cache servers, and the choice of the connection that carries an attempt. The protocol is
//! RESP2: responses arrive in the order of the commands.

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

use self::connection::{Connection, Connector, FirstCommand};
use self::payload::CommandKind;
pub use self::payload::{AttemptCommand, Payload};
use self::pipeline::WriteState;
use self::pool::Pool;
use crate::command::{AttemptId, LargeValue};
use crate::counters::ConnectCounts;
use crate::duplicate_responses::Doubt;
use crate::input::Input;
use crate::local_failures::LocalFailures;
use crate::memory::{MemoryBudget, ReceivePermit};

mod connection;
mod driver;
mod fence;
mod payload;
mod pipeline;
mod pool;
mod relaying;
mod verification;

/// Target number of connections to one server from all nodes together. A server accepts few connections and each
/// uses some of its capacity, so the nodes share this number. A node opens its whole share before it queues a
/// command behind another: responses arrive in order, so a fast one is delayed behind a slow or lost one.
const TARGET_CONNECTIONS_PER_SERVER: usize = 32;
/// Share of the server's idle time-out after which an idle connection is no longer reused.
const IDLE_REUSE_SHARE: f64 = 0.7;
/// After a refused connection, no connection is opened beside working ones for this long.
const REFUSED_COOLDOWN: Duration = Duration::from_secs(2);

/// The next bytes of a response that has started must arrive within this time, however small the chunks are, and
/// an overdue response must start within it. Otherwise the commands queued behind it are moved elsewhere.
pub const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// A well-formed response of a cache server.
pub struct Response {
    pub frame: BytesFrame,
    /// Memory that it was received in.
    pub memory: Vec<ReceivePermit>,
}

/// How an attempt at a cache server ended.
pub enum AttemptOutcome {
    /// A well-formed response was received.
    Answered(Response),
    /// A large value has started to arrive.
    StreamStarted(LargeValue),
    /// The received frame cannot be the response to this command. The command has run; the connection is closed.
    InvalidResponse,
    /// The connection ended after the last byte of the command was written.
    Reset,
    /// The last byte of the command was never written: it cannot have run.
    NotConnected,
    /// As `NotConnected`, for a reason on this machine, which says nothing about the server.
    LocalFailure,
    /// The connection has ended, which says nothing about the server. No response was delivered.
    Interrupted(InterruptedCommand),
}

/// A command whose connection has ended although its server is still up: the responses could not be matched to
/// commands, or the connection ended before the command was written.
pub struct InterruptedCommand {
    command: AttemptCommand,
    /// Whether the command was written completely and may have run.
    pub was_written: bool,
    /// Why the command's own response was not accepted, to be resolved by the next one; `None` if none was received.
    doubt: Option<Doubt>,
}

/// Why [`Servers::send`] did not accept an attempt. The attempt cannot have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The server accepts no new requests, or its connections have no room.
    NoConnection,
    /// This machine recently failed to open connections, and it is too early to retry.
    LocalFailure,
}

/// How a connection ended.
#[derive(Debug)]
pub enum ConnectionEnd {
    /// The server or the network refused the connection.
    Refused,
    /// The connection was not established in time.
    TimedOut,
    /// This machine could not open the connection.
    LocalFailure(std::io::Error),
    /// An established connection was closed by either side or lost.
    Broken,
    /// A response arrived on an established connection that may belong to none of the waiting commands. Carries the
    /// doubt if the response was assigned to a command.
    OutOfSync(Option<Doubt>),
}

/// What a connection reports to the node.
pub enum ConnectionEvent {
    Up,
    Response(AttemptId, Response),
    StreamStarted(AttemptId, LargeValue),
    /// The frame received for this attempt cannot be its response; the connection ends next.
    InvalidResponse(AttemptId),
    /// The large value being relayed has stalled, at its server or at its client.
    Stalled,
    /// The connection has ended. Lists the attempts that were written completely, those that were not, and those that
    /// may be sent again.
    Down {
        end: ConnectionEnd,
        written: Vec<AttemptId>,
        unwritten: Vec<AttemptId>,
        interrupted: Vec<InterruptedCommand>,
    },
}

/// Limits of the connections.
#[derive(Clone)]
pub struct Limits {
    pub node_count: usize,
    pub attempts_per_connection: usize,
    pub idle_close: Duration,
    pub connect_timeout: Duration,
    /// Limit of the connections to all servers together.
    pub max_connections: usize,
    /// Memory for responses that are being received.
    pub memory: Rc<MemoryBudget>,
}

/// Result of withdrawing an attempt.
#[derive(Default)]
pub struct Withdrawal {
    /// The attempt was not written completely and never will be: it did not run.
    pub unwritten: bool,
    /// Other attempts that ended as a consequence.
    pub ended: Vec<(AttemptId, AttemptOutcome)>,
}

/// All connections to cache servers.
pub struct Servers<H> {
    connector: Connector<H>,
    pools: BTreeMap<ServerId, Pool>,
    limits: Limits,
    last_connection_number: u64,
    /// Number of servers that accept new requests, cached because every attempt needs it.
    ready_servers: usize,
    connect_counts: ConnectCounts,
    /// Shared by all servers: a shortage on this machine affects the connections to every one of them.
    local_failures: LocalFailures,
}

impl<H: Host> Servers<H> {
    pub fn new(host: H, limits: Limits, metrics: Arc<Metrics>, events: mpsc::Sender<Input>) -> Self {
        let connector = Connector {
            host,
            connect_timeout: limits.connect_timeout,
            events,
            metrics,
            total_connections: Rc::default(),
            memory: limits.memory.clone(),
        };
        Servers {
            connector,
            pools: BTreeMap::new(),
            limits,
            last_connection_number: 0,
            ready_servers: 0,
            connect_counts: ConnectCounts::default(),
            local_failures: LocalFailures::default(),
        }
    }

    /// Applies one entry of the server list. Returns the attempts that were not yet being written to a server that no
    /// longer accepts any: after the grace period not a single byte of a new attempt may be sent there.
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
        let address_changed = address.is_some() && address != pool.address;
        pool.ready = ready;
        pool.address = address.or(pool.address);
        let mut unsent = Vec::new();
        if !ready || address_changed {
            unsent.extend(pool.waiting.drain(..).map(|c| c.attempt));
            for c in &mut pool.connections {
                c.retired = true;
                unsent.extend(c.shared.pipeline.borrow_mut().queued.drain(..).map(|c| c.attempt));
            }
            pool.connections.retain(|c| c.load() > 0);
        }
        self.remove_unused(server);
        self.ready_servers = self.pools.values().filter(|p| p.ready).count();
        unsent
    }

    /// Sets the limit of the connections to all servers together.
    pub fn set_max_connections(&mut self, limit: usize) {
        self.limits.max_connections = limit;
    }

    /// Number of connections.
    pub fn open_connections(&self) -> usize {
        self.connector.total_connections.get()
    }

    /// Returns the connect counts since the last call.
    pub fn take_connect_counts(&mut self) -> ConnectCounts {
        std::mem::take(&mut self.connect_counts)
    }

    /// Number of servers with a pool.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Drains the servers that a complete list no longer contains.
    pub fn remove_unlisted(&mut self, is_listed: &dyn Fn(ServerId) -> bool) -> Vec<AttemptId> {
        let removed: Vec<ServerId> =
            self.pools.iter().filter(|(id, p)| p.ready && !is_listed(**id)).map(|(id, _)| *id).collect();
        removed.into_iter().flat_map(|id| self.update_server(id, None, false)).collect()
    }

    /// Closes finished connections to a former address, and removes the pool of a server that accepts nothing new and
    /// has nothing outstanding. Server ids are never reused, so stale pools would accumulate.
    fn remove_unused(&mut self, server: ServerId) {
        let Some(pool) = self.pools.get_mut(&server) else { return };
        pool.connections.retain(|c| !c.retired || c.load() > 0);
        if !pool.ready && pool.connections.is_empty() {
            self.pools.remove(&server);
        }
    }

    /// Sends an attempt on an idle connection, else on a new one within this node's share, else behind other commands
    /// on the least loaded connection.
    ///
    /// # Errors
    /// No connection could take it: it was not written.
    pub fn send(&mut self, server: ServerId, command: AttemptCommand) -> Result<(), SendError> {
        let pool = self.pools.get_mut(&server).filter(|p| p.ready).ok_or(SendError::NoConnection)?;
        let reuse_limit = self.limits.idle_close.mul_f64(IDLE_REUSE_SHARE);
        pool.connections.retain(|c| c.load() > 0 || !c.is_connected() || c.last_used.elapsed() < reuse_limit);
        if !command.payload.may_run_twice() {
            let wants_new = command.payload.kind() == CommandKind::Write
                && pool.verification.borrow().needs_fresh_connection_for_write();
            if let Some(idle) = pool.available_without_refusal().filter(|_| !wants_new) {
                idle.push(command);
                return Ok(());
            }
            let wants_new = wants_new || pool.has_available();
            if wants_new
                && pool.verification.borrow_mut().take_connection_token()
                && self.has_room_for_fresh_connection(server)
            {
                return self.send_on_fresh_connection(server, FirstCommand { command, resolves: None });
            }
        }
        let pool = self.pools.get_mut(&server).ok_or(SendError::NoConnection)?;
        // A connection may be up although the node has not been notified yet: it belongs to the attempt that waits for it.
        pool.assign_waiting();
        if self.local_failures.may_connect() && Instant::now() >= pool.no_parallel_connect_until {
            pool.replace_out_of_sync();
        }
        if let Some(idle) = pool.available_connection() {
            idle.push(command);
            return Ok(());
        }
        let share = self.connection_share();
        let pool = self.pools.get_mut(&server).ok_or(SendError::NoConnection)?;
        // A connection blocked by a command that was given up does not count: it may never progress again.
        let progressing = pool
            .connections
            .iter()
            .filter(|c| c.shared.pipeline.borrow().is_progressing() && !c.retired)
            .count();
        let may_open = (progressing == 0 || Instant::now() >= pool.no_parallel_connect_until)
            && pool.active_connections() < 2 * share;
        let wants_new =
            progressing < share && may_open && self.open_connections() < self.limits.max_connections;
        let too_early = wants_new && !self.local_failures.may_connect();
        if wants_new && !too_early && self.open_connection(server, None) {
            let pool = self.pools.get_mut(&server).ok_or(SendError::NoConnection)?;
            pool.waiting.push_back(command);
            return Ok(());
        }
        let pool = self.pools.get_mut(&server).ok_or(SendError::NoConnection)?;
        match pool.enqueue(command, self.limits.attempts_per_connection) {
            true => Ok(()),
            false if too_early => Err(SendError::LocalFailure),
            false => Err(SendError::NoConnection),
        }
    }

    /// This node's target number of connections to one server.
    fn connection_share(&self) -> usize {
        let share = (TARGET_CONNECTIONS_PER_SERVER / self.limits.node_count.max(1)).max(1);
        share.min((self.limits.max_connections / self.ready_servers.max(1)).max(1))
    }

    /// Opens a connection, with its first command if given. Returns whether the server's address is known.
    fn open_connection(&mut self, server: ServerId, first: Option<FirstCommand>) -> bool {
        let Some(pool) = self.pools.get_mut(&server) else { return false };
        let Some(address) = pool.address else { return false };
        self.last_connection_number += 1;
        self.connect_counts.started = self.connect_counts.started.saturating_add(1);
        let verification = pool.verification.clone();
        let connection =
            self.connector.open(server, self.last_connection_number, address, verification, first);
        pool.connections.push(connection);
        true
    }

    /// Whether one more connection to a server may be opened. Beyond this node's share, it replaces an idle one.
    fn has_room_for_fresh_connection(&mut self, server: ServerId) -> bool {
        let share = self.connection_share();
        let may_connect = self.local_failures.may_connect();
        let Some(pool) = self.pools.get_mut(&server) else { return false };
        if !may_connect || Instant::now() < pool.no_parallel_connect_until {
            return false;
        }
        if pool.active_connections() >= share
            || self.connector.total_connections.get() >= self.limits.max_connections
        {
            pool.close_one_idle();
        }
        pool.active_connections() < 2 * share
            && self.connector.total_connections.get() < self.limits.max_connections
    }

    /// Sends a command as the first on a new connection, where its response cannot be a duplicate.
    fn send_on_fresh_connection(&mut self, server: ServerId, first: FirstCommand) -> Result<(), SendError> {
        match self.open_connection(server, Some(first)) {
            true => Ok(()),
            false => Err(SendError::NoConnection),
        }
    }

    /// Resends a command whose connection has ended. If its own response was doubted, it is sent as the first command on
    /// a new connection.
    ///
    /// # Errors
    /// There is no connection for it: it was not written again.
    pub fn resend(&mut self, server: ServerId, interrupted: InterruptedCommand) -> Result<(), SendError> {
        let InterruptedCommand { command, doubt, .. } = interrupted;
        let Some(doubt) = doubt else { return self.send(server, command) };
        let is_ready = self.pools.get(&server).is_some_and(|pool| pool.ready);
        if !is_ready || !self.has_room_for_fresh_connection(server) {
            return Err(SendError::NoConnection);
        }
        self.send_on_fresh_connection(server, FirstCommand { command, resolves: Some(doubt) })
    }

    /// Counts how a connection ended, and returns the outcome for attempts that were not written on it.
    fn record_connection_end(
        &mut self,
        server: ServerId,
        end: ConnectionEnd,
    ) -> fn(AttemptId) -> (AttemptId, AttemptOutcome) {
        match end {
            ConnectionEnd::LocalFailure(error) if self.is_local_failure(server, &error) => {
                self.connect_counts.local_failures = self.connect_counts.local_failures.saturating_add(1);
                if self.local_failures.record_failure() {
                    self.connector
                        .host
                        .log(format_args!("this machine can't connect to cache servers: {error}"));
                }
                return |attempt| (attempt, AttemptOutcome::LocalFailure);
            }
            ConnectionEnd::Refused | ConnectionEnd::LocalFailure(_) => {
                self.connect_counts.refused = self.connect_counts.refused.saturating_add(1);
                self.connector.metrics.connect_refused();
                if let Some(pool) = self.pools.get_mut(&server) {
                    pool.no_parallel_connect_until = Instant::now() + REFUSED_COOLDOWN;
                }
            }
            ConnectionEnd::TimedOut | ConnectionEnd::Broken | ConnectionEnd::OutOfSync(_) => {}
        }
        |attempt| (attempt, AttemptOutcome::NotConnected)
    }

    /// Whether a failure says nothing about the server. If there is no route to this server while others are connected,
    /// the server itself is unreachable.
    fn is_local_failure(&self, server: ServerId, error: &std::io::Error) -> bool {
        let no_route = matches!(error.kind(), ErrorKind::NetworkUnreachable | ErrorKind::NetworkDown);
        let mut others = self.pools.iter().filter(|(id, _)| **id != server).map(|(_, pool)| pool);
        !(no_route && others.any(|pool| pool.connections.iter().any(Connection::is_connected)))
    }

    /// Handles an event of a connection and returns the attempts that it ends.
    pub fn handle_event(
        &mut self,
        server: ServerId,
        connection_number: u64,
        event: ConnectionEvent,
    ) -> Vec<(AttemptId, AttemptOutcome)> {
        let mut ended = Vec::new();
        let mut unplaced: fn(AttemptId) -> (AttemptId, AttemptOutcome) =
            |attempt| (attempt, AttemptOutcome::NotConnected);
        // Handled before the pool is looked up: the pool of an unlisted server may be gone already, while events with its
        // responses are still queued, and each of them must be delivered.
        match event {
            ConnectionEvent::Up => self.local_failures.record_success(),
            ConnectionEvent::Response(attempt, response) => {
                let pool = self.pools.get_mut(&server);
                if let Some(c) =
                    pool.and_then(|p| p.connections.iter_mut().find(|c| c.number == connection_number))
                {
                    c.last_used = Instant::now();
                }
                ended.push((attempt, AttemptOutcome::Answered(response)));
            }
            ConnectionEvent::StreamStarted(attempt, value) => {
                ended.push((attempt, AttemptOutcome::StreamStarted(value)))
            }
            ConnectionEvent::InvalidResponse(attempt) => {
                ended.push((attempt, AttemptOutcome::InvalidResponse))
            }
            ConnectionEvent::Stalled => {
                if let Some(pool) = self.pools.get_mut(&server) {
                    let released = pool.release_blocked_by_large_value(connection_number).into_iter();
                    ended.extend(released.map(|id| (id, AttemptOutcome::Reset)));
                }
            }
            ConnectionEvent::Down { end, written, unwritten, interrupted } => {
                unplaced = self.record_connection_end(server, end);
                ended.extend(written.into_iter().map(|id| (id, AttemptOutcome::Reset)));
                ended.extend(unwritten.into_iter().map(unplaced));
                ended.extend(
                    interrupted.into_iter().map(|d| (d.command.attempt, AttemptOutcome::Interrupted(d))),
                );
                if let Some(pool) = self.pools.get_mut(&server) {
                    pool.connections.retain(|c| c.number != connection_number);
                }
            }
        }
        let Some(pool) = self.pools.get_mut(&server) else { return ended };
        ended.extend(pool.dispatch_waiting(self.limits.attempts_per_connection).into_iter().map(unplaced));
        self.remove_unused(server);
        ended
    }

    /// Withdraws an attempt unless it has been written completely; it then never runs. Other commands on its connection
    /// continue there or on another one; a connection on which no command is waited for any more is closed.
    pub fn withdraw(&mut self, server: ServerId, attempt: AttemptId) -> Withdrawal {
        let Some(pool) = self.pools.get_mut(&server) else { return Withdrawal::default() };
        let mut withdrawn = Withdrawal::default();
        let waiting = pool.waiting.len();
        pool.waiting.retain(|c| c.attempt != attempt);
        withdrawn.unwritten = pool.waiting.len() < waiting;
        pool.connections.retain(|c| {
            let mut pipeline = c.shared.pipeline.borrow_mut();
            let unsent = pipeline.queued.len();
            pipeline.queued.retain(|c| c.attempt != attempt);
            let was_queued = pipeline.queued.len() < unsent;
            withdrawn.unwritten |= was_queued;
            if pipeline.write_state != WriteState::Partial(attempt) {
                return !was_queued || pipeline.in_flight.is_empty() || !pipeline.has_no_waiters();
            }
            withdrawn.unwritten = true;
            (pipeline.write_state, pipeline.closing) = (WriteState::Abandoned, true);
            c.shared.abort_write.notify_one();
            while let Some(command) = pipeline.queued.pop_back() {
                pool.waiting.push_front(command);
            }
            !pipeline.has_no_waiters()
        });
        let unplaced = pool.dispatch_waiting(self.limits.attempts_per_connection).into_iter();
        withdrawn.ended.extend(unplaced.map(|id| (id, AttemptOutcome::NotConnected)));
        self.remove_unused(server);
        withdrawn
    }

    /// Stops waiting for an attempt. Its connection is closed only when no other command is left on it.
    pub fn give_up(&mut self, server: ServerId, attempt: AttemptId) -> Withdrawal {
        let withdrawn = self.withdraw(server, attempt);
        if let Some(pool) = self.pools.get_mut(&server).filter(|_| !withdrawn.unwritten) {
            pool.connections.retain(|c| {
                let mut pipeline = c.shared.pipeline.borrow_mut();
                let found = pipeline.in_flight.iter_mut().find(|s| s.attempt() == attempt);
                let was_sent = found.map(|s| s.given_up = true).is_some();
                !(was_sent && pipeline.has_no_waiters())
            });
            self.remove_unused(server);
        }
        withdrawn
    }

    /// Whether the next response on a connection is that of a given-up attempt, and other commands wait behind it.
    pub fn blocks_others(&self, server: ServerId, attempt: AttemptId) -> bool {
        let connections = self.pools.get(&server).map_or(&[][..], |pool| &pool.connections);
        connections.iter().any(|c| c.shared.pipeline.borrow().is_blocked_by(attempt))
    }

    /// Moves the commands that are blocked behind a given-up attempt to other connections, if its own connection has
    /// delivered no response since. Returns the attempts that this ends.
    pub fn release_blocked(
        &mut self,
        server: ServerId,
        attempt: AttemptId,
    ) -> Vec<(AttemptId, AttemptOutcome)> {
        let Some(pool) = self.pools.get_mut(&server) else { return Vec::new() };
        let is_blocked = |c: &&Connection| c.shared.pipeline.borrow().is_blocked_by(attempt);
        let Some(connection_number) = pool.connections.iter().find(is_blocked).map(|c| c.number) else {
            return Vec::new();
        };
        let released = pool.release_blocked(connection_number);
        pool.connections
            .retain(|c| c.number != connection_number || !c.shared.pipeline.borrow().has_no_waiters());
        let mut ended: Vec<_> = released.into_iter().map(|id| (id, AttemptOutcome::Reset)).collect();
        ended.extend(
            pool.dispatch_waiting(self.limits.attempts_per_connection)
                .into_iter()
                .map(|id| (id, AttemptOutcome::NotConnected)),
        );
        self.remove_unused(server);
        ended
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, server: ServerId) {
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.close_idle();
        }
    }

    /// Closes the idle connections to all servers.
    pub fn close_all_idle(&mut self) {
        self.pools.values_mut().for_each(Pool::close_idle);
    }
}

#[cfg(test)]
#[path = "../tests/unit/servers.rs"]
mod tests;
