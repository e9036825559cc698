//! The command pipeline of one connection: commands queued, being written, and in flight.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::fence::Fences;
use super::payload::{AttemptCommand, CommandKind};
use crate::command::AttemptId;
use crate::duplicate_responses::{Doubt, RecentResponses};

/// A cache server may silently drop a request with less than this time left: the protocol allows its time
/// measurements to differ by this much.
const SILENT_DROP_THRESHOLD: Duration = Duration::from_millis(50);

/// A command that was written completely and awaits its response.
pub(super) struct InFlightCommand {
    pub command: AttemptCommand,
    /// When its last byte was written.
    pub written_at: Instant,
    /// The node no longer waits for it.
    pub given_up: bool,
    /// Number of fences written behind it, before the next command.
    pub fences_behind: usize,
}

impl InFlightCommand {
    pub fn attempt(&self) -> AttemptId {
        self.command.attempt
    }

    pub fn kind(&self) -> CommandKind {
        self.command.payload.kind()
    }

    /// Whether the server may have silently dropped it because it has too little time left, or none.
    fn may_be_dropped_silently(&self) -> bool {
        has_little_time_left(self.command.payload.deadline())
    }
}

/// Whether a command with this deadline has so little time left that its server may silently drop it.
fn has_little_time_left(deadline: Option<Instant>) -> bool {
    deadline
        .is_some_and(|deadline| deadline.saturating_duration_since(Instant::now()) < SILENT_DROP_THRESHOLD)
}

/// What a connection is writing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum WriteState {
    #[default]
    Idle,
    /// A command that is partly written.
    Partial(AttemptId),
    /// A partly written command was given up: the rest must not be written, or the command would run. The connection
    /// ends after the commands written before it have been answered.
    Abandoned,
}

/// The commands of one connection, and what is known about its responses.
#[derive(Default)]
pub(super) struct Pipeline {
    pub connected: bool,
    /// The last frame made the connection unusable: it is about to end.
    pub closing: bool,
    /// A large value is being relayed, which may take as long as its client needs.
    pub streaming: bool,
    /// The large value being relayed has stalled.
    pub stream_stalled: bool,
    pub queued: VecDeque<AttemptCommand>,
    pub write_state: WriteState,
    /// In the order of their responses.
    pub in_flight: VecDeque<InFlightCommand>,
    /// The doubt that the first response resolves if it is for this attempt. The first response cannot be a duplicate.
    pub resolves: Option<(AttemptId, Doubt)>,
    /// A response has arrived on the connection.
    pub has_responded: bool,
    /// The responses received recently.
    pub recent_responses: RecentResponses,
    pub fences: Fences,
    /// Number of commands at the front whose responses are known to match.
    pub confirmed_in_order: usize,
}

impl Pipeline {
    pub fn load(&self) -> usize {
        self.queued.len()
            + self.in_flight.len()
            + usize::from(matches!(self.write_state, WriteState::Partial(_)))
    }

    /// Whether no command on it is waited for any more.
    pub fn has_no_waiters(&self) -> bool {
        let has_unwritten = !self.queued.is_empty() || matches!(self.write_state, WriteState::Partial(_));
        !has_unwritten && self.in_flight.iter().all(|s| s.given_up)
    }

    /// Whether a given-up command is ahead: commands written behind it may wait forever.
    pub fn has_given_up_command(&self) -> bool {
        self.in_flight.iter().any(|s| s.given_up)
    }

    /// Whether a command written now would be answered without waiting behind a stalled one.
    pub fn is_progressing(&self) -> bool {
        !self.has_given_up_command() && !self.stream_stalled && self.write_state != WriteState::Abandoned
    }

    /// Whether the response to a command written now could be told from that of the previous command without resending.
    pub fn is_in_sync(&self) -> bool {
        !self.recent_responses.may_be_out_of_sync(Instant::now())
    }

    /// Whether a large value of this length may belong to another command than the one that waits for it.
    pub fn may_be_mismatched(&self, length: usize) -> bool {
        let written_at = self.in_flight.front().map(|sent| sent.written_at);
        self.resolves.is_some()
            || self.recent_responses.contains_length(length)
            || written_at.is_some_and(|written_at| self.recent_responses.may_be_out_of_sync(written_at))
    }

    /// Removes the oldest command in flight, which has been answered.
    pub fn pop_answered(&mut self) -> Option<InFlightCommand> {
        let answered = self.in_flight.pop_front()?;
        self.fences.awaited += answered.fences_behind;
        self.confirmed_in_order = self.confirmed_in_order.saturating_sub(1);
        Some(answered)
    }

    /// Records a response without a value; returns whether it may be a duplicate.
    pub fn push_without_value(&mut self, response: &[u8]) -> bool {
        let may_be_duplicate = self.recent_responses.push_without_value(response);
        let is_confirmed = self.confirmed_in_order > 0;
        if is_confirmed {
            self.recent_responses.confirm_in_sync();
        }
        may_be_duplicate && !is_confirmed
    }

    /// Whether a fence is yet to be written or answered behind a command in flight.
    pub fn has_pending_fence(&self) -> bool {
        self.fences.requested > 0 || self.in_flight.iter().any(|sent| sent.fences_behind > 0)
    }

    /// Requests fences to be written before the next command: one more than the fence replies that may still be
    /// duplicated, up to a limit. At least one of the replies is then not a duplicate.
    pub fn request_fences(&mut self, limit: usize) {
        self.fences.requested = limit.min(1 + self.duplicable_fences());
    }

    /// Number of fence replies that may be duplicated while another fence is awaited.
    pub fn duplicable_fences(&self) -> usize {
        let in_flight: usize = self.in_flight.iter().map(|sent| sent.fences_behind).sum();
        self.fences.duplicable() + in_flight
    }

    /// Records that fences were written.
    pub fn record_fences_written(&mut self, fences: usize) {
        self.fences.requested = 0;
        match self.in_flight.back_mut() {
            Some(sent) => sent.fences_behind += fences,
            None => self.fences.awaited += fences,
        }
    }

    /// Whether any command behind the next response is waited for.
    pub fn others_waiting(&self) -> bool {
        let has_unwritten = !self.queued.is_empty() || matches!(self.write_state, WriteState::Partial(_));
        has_unwritten || self.in_flight.iter().skip(1).any(|s| !s.given_up)
    }

    /// Whether the next response is that of this given-up attempt, and other commands wait behind it.
    pub fn is_blocked_by(&self, attempt: AttemptId) -> bool {
        self.in_flight.front().is_some_and(|s| s.attempt() == attempt && s.given_up) && self.others_waiting()
    }

    /// Stops waiting for the reads in flight behind the next response and returns them. Writes keep waiting because they
    /// may run.
    pub fn release_reads(&mut self) -> Vec<AttemptId> {
        let behind =
            self.in_flight.iter_mut().skip(1).filter(|s| s.kind() == CommandKind::Read && !s.given_up);
        behind
            .map(|sent| {
                sent.given_up = true;
                sent.attempt()
            })
            .collect()
    }

    /// Whether the server may silently drop a command ahead: the response to the command behind would be taken for its own.
    pub fn may_miss_a_response(&self) -> bool {
        self.in_flight.iter().any(InFlightCommand::may_be_dropped_silently)
            || self.queued.iter().any(|command| {
                // A command with no time left is never written.
                has_little_time_left(command.payload.deadline()) && command.payload.has_time()
            })
    }

    /// Whether the next response may be that of the second command because the first may have been dropped.
    pub fn next_response_is_ambiguous(&self) -> bool {
        self.in_flight.len() > 1
            && self.in_flight.front().is_some_and(InFlightCommand::may_be_dropped_silently)
    }
}
