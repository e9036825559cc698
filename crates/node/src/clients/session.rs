//! The state of one client's connection: its pending replies, its input, and why it ends.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use mothpier_ops::CloseReason;
use tokio::time::Instant;

use super::Clients;
use super::connection_state::ConnectionState;
use super::input_state::InputState;
use super::pending_replies::PendingReply;
use super::retirement::ReplyTaking;
use super::turns::WorkAccount;
use super::work::ConnectionWork;
use crate::memory::{OutOfMemory, QueueMemory};

/// Counts a connection that has not sent a complete command yet; uncounted when dropped.
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
    /// Identifies the connection within this process.
    pub(super) number: u64,
    /// In the order of the commands.
    pub(super) pending: VecDeque<PendingReply>,
    /// Memory for those that are not replies of the node.
    pub(super) queue_memory: QueueMemory,
    /// How many of them belong to requests that were forwarded.
    pub(super) forwarded_requests: usize,
    /// Until it has sent a valid command.
    pub(super) newcomer: Option<Newcomer>,
    pub(super) input: InputState,
    /// Why its commands are no longer read.
    pub(super) finish_reason: Option<CloseReason>,
    /// Requests of a known class since the connection began, and those whose replies were written completely; both include
    /// refused requests.
    pub(super) requests: u64,
    pub(super) replies: u64,
    /// When its client last took something that was written to it.
    pub(super) taken_at: Rc<Cell<Option<Instant>>>,
    /// When the last large value ended.
    pub(super) large_value_ended_at: Option<Instant>,
    pub(super) work: ConnectionWork,
    pub(super) account: WorkAccount,
}

impl<H> Session<H> {
    /// For a connection that was just accepted.
    pub(super) fn new(clients: Rc<Clients<H>>, number: u64) -> Self {
        let newcomer = Some(Newcomer::count(&clients.newcomers));
        Session {
            queue_memory: QueueMemory::new(clients.memory.clone()),
            clients,
            number,
            pending: VecDeque::new(),
            forwarded_requests: 0,
            newcomer,
            input: InputState::new(),
            finish_reason: None,
            requests: 0,
            replies: 0,
            taken_at: Rc::default(),
            large_value_ended_at: None,
            work: ConnectionWork::new(Instant::now()),
            account: WorkAccount::new(Instant::now()),
        }
    }

    /// Stops reading commands for this reason, unless there was an earlier one.
    pub(super) fn finish(&mut self, reason: CloseReason) {
        self.finish_reason.get_or_insert(reason);
        self.input.finish();
    }

    /// How far its client takes what is written to it.
    pub(super) fn taking(&self) -> ReplyTaking {
        ReplyTaking { taken_at: self.taken_at.get(), large_value_ended_at: self.large_value_ended_at }
    }

    /// Reserves memory for the queued replies that have no reservation of their own.
    pub(super) fn reserve_queue(&mut self) -> Result<(), OutOfMemory> {
        self.queue_memory.hold(self.pending.len().saturating_sub(self.forwarded_requests))
    }

    /// Publishes the state of the connection.
    pub(super) fn publish_state(&self, state: ConnectionState) {
        if let Some(entry) = self.clients.open_connections.borrow_mut().get_mut(&self.number) {
            entry.state = state;
        }
    }
}
