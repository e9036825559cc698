//! The connections to one cache server, and the commands that wait for a connection.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::time::Instant;

use super::connection::Connection;
use super::payload::AttemptCommand;
use crate::command::AttemptId;
use crate::duplicate_responses::VerificationState;

/// The pool of a server that accepts new requests or has responses outstanding; others have no pool.
pub(super) struct Pool {
    pub address: Option<SocketAddr>,
    /// Whether the server accepts new requests according to the list.
    pub ready: bool,
    pub connections: Vec<Connection>,
    /// Commands for which a connection is being opened.
    pub waiting: VecDeque<AttemptCommand>,
    /// After a refusal, no connection is opened beside others before this time.
    pub no_parallel_connect_until: Instant,
    /// What is known about the responses of the server.
    pub verification: Rc<RefCell<VerificationState>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(address: Option<SocketAddr>, ready: bool) -> Self {
        Pool {
            address,
            ready,
            connections: Vec::new(),
            waiting: VecDeque::new(),
            no_parallel_connect_until: Instant::now(),
            verification: Rc::default(),
        }
    }

    /// Number of connections to the current address of the server.
    pub fn active_connections(&self) -> usize {
        self.connections.iter().filter(|connection| !connection.retired).count()
    }

    /// Moves the commands that are blocked behind a stalled large value to other connections; see
    /// [`release_blocked`](Self::release_blocked).
    pub fn release_blocked_by_large_value(&mut self, connection_number: u64) -> Vec<AttemptId> {
        let Some(connection) = self.connections.iter().find(|c| c.number == connection_number) else {
            return Vec::new();
        };
        let mut pipeline = connection.shared.pipeline.borrow_mut();
        // It may have progressed since the stall was reported.
        if !pipeline.streaming {
            return Vec::new();
        }
        pipeline.stream_stalled = true;
        drop(pipeline);
        self.release_blocked(connection_number)
    }

    /// Releases the commands of a connection that wait behind its next response: queued ones wait for another connection,
    /// and reads in flight are returned to be sent again.
    pub fn release_blocked(&mut self, connection_number: u64) -> Vec<AttemptId> {
        let Some(connection) = self.connections.iter().find(|c| c.number == connection_number) else {
            return Vec::new();
        };
        let mut pipeline = connection.shared.pipeline.borrow_mut();
        while let Some(command) = pipeline.queued.pop_back() {
            self.waiting.push_front(command);
        }
        pipeline.release_reads()
    }

    /// Closes the idle connections.
    pub fn close_idle(&mut self) {
        self.connections.retain(|c| !c.is_connected() || c.load() > 0);
    }

    /// Closes one idle connection, if there is one.
    pub fn close_one_idle(&mut self) {
        let idle = self.connections.iter().position(|c| c.is_connected() && c.load() == 0);
        idle.map(|index| self.connections.remove(index));
    }

    /// Queues a command on the least loaded connection that is not blocked. Returns whether there was room for it.
    pub fn enqueue(&mut self, command: AttemptCommand, attempts_per_connection: usize) -> bool {
        let load = |c: &Connection| {
            let pipeline = c.shared.pipeline.borrow();
            (pipeline.connected
                && !pipeline.closing
                && !pipeline.streaming
                && !c.retired
                && !pipeline.has_given_up_command()
                && !pipeline.may_miss_a_response()
                && pipeline.load() < attempts_per_connection)
                .then(|| (!pipeline.is_in_sync(), pipeline.load()))
        };
        if let Some(c) = self.connections.iter_mut().filter(|c| load(c).is_some()).min_by_key(|c| load(c)) {
            c.push(command);
            return true;
        }
        let connecting = self.connections.iter().filter(|c| !c.is_connected() && !c.retired).count();
        let has_room = self.waiting.len() < connecting * attempts_per_connection;
        if has_room {
            self.waiting.push_back(command);
        }
        has_room
    }

    /// A connection that would answer a command at once. One on which the response to an earlier command may still
    /// arrive is the last choice.
    pub fn available_connection(&mut self) -> Option<&mut Connection> {
        let in_sync = |c: &Connection| c.is_available() && c.shared.pipeline.borrow().is_in_sync();
        let index = self.connections.iter().position(in_sync);
        let index = index.or_else(|| self.connections.iter().position(Connection::is_available));
        index.map(|index| &mut self.connections[index])
    }

    /// The same for a command that must not run twice: the last response must not be a refusal that may be duplicated.
    pub fn available_without_refusal(&mut self) -> Option<&mut Connection> {
        self.connections.iter_mut().find(|c| {
            let is_trusted = || {
                let pipeline = c.shared.pipeline.borrow();
                pipeline.is_in_sync() && !pipeline.recent_responses.may_duplicate_refusal()
            };
            c.is_available() && is_trusted()
        })
    }

    /// Whether any connection would answer a command at once.
    pub fn has_available(&self) -> bool {
        self.connections.iter().any(Connection::is_available)
    }

    /// Closes an idle connection on which the response to an earlier command may still arrive, if no other connection is
    /// available and a new one may be opened in its place.
    pub fn replace_out_of_sync(&mut self) {
        let is_out_of_sync = |c: &Connection| c.is_available() && !c.shared.pipeline.borrow().is_in_sync();
        if self.connections.iter().any(|c| c.is_available() && !is_out_of_sync(c)) {
            return;
        }
        let Some(index) = self.connections.iter().position(is_out_of_sync) else { return };
        if self.verification.borrow_mut().take_connection_token() {
            self.connections.remove(index);
        }
    }

    /// Assigns available connections to the waiting commands, in order of arrival.
    pub fn assign_waiting(&mut self) {
        while let Some(command) = self.waiting.pop_front() {
            match self.available_connection() {
                Some(connection) => connection.push(command),
                None => return self.waiting.push_front(command),
            }
        }
    }

    /// Assigns available connections to the waiting commands; if no connection is being opened any more, queues the rest
    /// behind other commands. Returns the attempts that found no connection.
    pub fn dispatch_waiting(&mut self, attempts_per_connection: usize) -> Vec<AttemptId> {
        self.assign_waiting();
        let mut unplaced = Vec::new();
        if self.connections.iter().any(|c| !c.is_connected() && !c.retired) {
            return unplaced;
        }
        while let Some(command) = self.waiting.pop_front() {
            let attempt = command.attempt;
            if !self.enqueue(command, attempts_per_connection) {
                unplaced.push(attempt);
            }
        }
        unplaced
    }
}
