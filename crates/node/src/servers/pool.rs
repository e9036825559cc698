//! The connections to one cache server, and the commands that wait for one.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::time::Instant;

use super::connection::Connection;
use super::payload::AttemptCommand;
use crate::command::AttemptId;
use crate::duplicate_responses::VerificationState;

/// A server that takes new requests, or that still owes answers: others are forgotten.
pub(super) struct Pool {
    pub address: Option<SocketAddr>,
    /// Whether the list says that it takes new requests.
    pub ready: bool,
    pub connections: Vec<Connection>,
    /// Attempts for which a connection is being made.
    pub waiting: VecDeque<AttemptCommand>,
    /// After a refusal no connection is opened beside others until then.
    pub alone_until: Instant,
    /// What is known of the server's answers.
    pub findings: Rc<RefCell<VerificationState>>,
}

impl Pool {
    /// One of a server, without connections.
    pub fn new(address: Option<SocketAddr>, ready: bool) -> Self {
        Pool {
            address,
            ready,
            connections: Vec::new(),
            waiting: VecDeque::new(),
            alone_until: Instant::now(),
            findings: Rc::default(),
        }
    }

    /// Connections that lead to where the server is.
    pub fn open(&self) -> usize {
        self.connections.iter().filter(|connection| !connection.retired).count()
    }

    /// Lets what waits behind a large value that stands still be answered on other connections; see
    /// [`release_behind_first`](Self::release_behind_first).
    pub fn release_behind_large_value(&mut self, number: u64) -> Vec<AttemptId> {
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
    pub fn release_behind_first(&mut self, number: u64) -> Vec<AttemptId> {
        let Some(connection) = self.connections.iter().find(|c| c.number == number) else {
            return Vec::new();
        };
        let mut line = connection.shared.line.borrow_mut();
        while let Some(command) = line.unsent.pop_back() {
            self.waiting.push_front(command);
        }
        line.release_reads()
    }

    /// Closes the connections that carry nothing.
    pub fn close_idle(&mut self) {
        self.connections.retain(|c| !c.up() || c.load() > 0);
    }

    /// Closes one connection that carries nothing, where there is one.
    pub fn close_one_idle(&mut self) {
        let idle = self.connections.iter().position(|c| c.up() && c.load() == 0);
        idle.map(|place| self.connections.remove(place));
    }

    /// Puts an attempt behind others on the connection with the fewest that is not held up.
    pub fn append(&mut self, command: AttemptCommand, multiplex: usize) -> bool {
        let line = |c: &Connection| {
            let line = c.shared.line.borrow();
            (line.up
                && !line.ending
                && !line.streaming
                && !c.retired
                && !line.stalled()
                && !line.may_skip_an_answer()
                && line.load() < multiplex)
                .then(|| (!line.is_in_step(), line.load()))
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

    /// A connection on which a command could be answered at once; one on which the answer to an earlier command may still come
    /// is the last choice.
    pub fn free(&mut self) -> Option<&mut Connection> {
        let in_step = |c: &Connection| c.free() && c.shared.line.borrow().is_in_step();
        let place = self.connections.iter().position(in_step);
        let place = place.or_else(|| self.connections.iter().position(Connection::free));
        place.map(|place| &mut self.connections[place])
    }

    /// The same for what may not run twice: not behind a refusal that may be repeated.
    pub fn free_after_no_refusal(&mut self) -> Option<&mut Connection> {
        self.connections.iter_mut().find(|c| {
            let is_believed = || {
                let line = c.shared.line.borrow();
                line.is_in_step() && !line.recent.may_repeat_refusal()
            };
            c.free() && is_believed()
        })
    }

    /// Whether a command could be answered at once on one of them.
    pub fn has_free(&self) -> bool {
        self.connections.iter().any(Connection::free)
    }

    /// Closes a connection that carries nothing and on which the answer to an earlier command may still come, where nothing else
    /// is free and one more may be made in its place.
    pub fn replace_out_of_step(&mut self) {
        let is_out_of_step = |c: &Connection| c.free() && !c.shared.line.borrow().is_in_step();
        if self.connections.iter().any(|c| c.free() && !is_out_of_step(c)) {
            return;
        }
        let Some(place) = self.connections.iter().position(is_out_of_step) else { return };
        if self.findings.borrow_mut().grants_connection() {
            self.connections.remove(place);
        }
    }

    /// Gives waiting attempts the connections that are free, in the order in which they came.
    pub fn assign_free_connections(&mut self) {
        while let Some(command) = self.waiting.pop_front() {
            match self.free() {
                Some(free) => free.push(command),
                None => return self.waiting.push_front(command),
            }
        }
    }

    /// Gives waiting attempts the connections that have become free; once none is being made any more those
    /// left go behind others. Returns those that have found no connection.
    pub fn pump(&mut self, multiplex: usize) -> Vec<AttemptId> {
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
