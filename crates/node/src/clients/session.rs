//! The connection of one client: what it is owed, how far its commands have come, and why it ends.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use mothpier_ops::CloseReason;

use super::Clients;
use super::owed::Slot;
use super::shown::ConnectionState;
use super::state::State;

/// Counts a connection among those that have not sent a whole command yet, for as long as this lives.
pub(super) struct Newcomer(Rc<Cell<usize>>);

impl Newcomer {
    pub(super) fn count(newcomers: &Rc<Cell<usize>>) -> Newcomer {
        newcomers.set(newcomers.get() + 1);
        Newcomer(newcomers.clone())
    }
}

impl Drop for Newcomer {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// One connection of a client.
pub(super) struct Session<H> {
    pub(super) clients: Rc<Clients<H>>,
    /// Names the connection inside this process.
    pub(super) number: u64,
    /// In the order of the commands.
    pub(super) pending: VecDeque<Slot>,
    /// How many of them are requests that went on.
    pub(super) asked: usize,
    /// Until it has sent a command in the agreed form.
    pub(super) newcomer: Option<Newcomer>,
    pub(super) state: State,
    /// Why its commands are read no more, once they are not.
    pub(super) finished_by: Option<CloseReason>,
    /// Requests of a known class, and those of them whose answers were written whole, since it began. Refused ones are among both.
    pub(super) requests: u64,
    pub(super) answers: u64,
}

impl<H> Session<H> {
    /// Of a connection that has only just been accepted.
    pub(super) fn new(clients: Rc<Clients<H>>, number: u64) -> Self {
        let newcomer = Some(Newcomer::count(&clients.newcomers));
        Session {
            clients,
            number,
            pending: VecDeque::new(),
            asked: 0,
            newcomer,
            state: State::new(),
            finished_by: None,
            requests: 0,
            answers: 0,
        }
    }

    /// Commands are read no more, for this reason where there was none before.
    pub(super) fn finish(&mut self, reason: CloseReason) {
        self.finished_by.get_or_insert(reason);
        self.state.finish();
    }

    /// Shows others what the connection does.
    pub(super) fn show_state(&self, state: ConnectionState) {
        if let Some(entry) = self.clients.open.borrow_mut().get_mut(&self.number) {
            entry.state = state;
        }
    }
}
