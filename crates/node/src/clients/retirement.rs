//! Plans by which the connections of clients are closed: for a drain, for the end of the process, and for a handover to
//! another process. All times count from the moment when the retirement was announced, and nothing that a client does
//! moves them. No I/O.

use std::time::Duration;

use tokio::time::Instant;

/// The earliest SIGKILL follows SIGTERM by the longest deadline plus 0.7 s; a longer deadline counts as this one.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// All connections are closed this long after the longest deadline: 0.1 s before the earliest SIGKILL.
const GRACE_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// This long before the end of the process, a request behind an open one is refused.
const REFUSE_BEFORE_END: Duration = Duration::from_millis(250);
/// This long before the end of the process, all open requests fail, so that their replies can be written.
const FAIL_BEFORE_END: Duration = Duration::from_millis(100);
/// A retirement lets a large value be relayed for this long after the last deadline: it may be many times as large as what a
/// slow client reads in a second.
const LARGE_VALUE_GRACE: Duration = Duration::from_secs(10);
/// A client that takes nothing of its replies for this long no longer takes them. A socket accepts more only once a third
/// of its buffer is free, which may take a slow client seconds.
const MAX_TAKING_PAUSE: Duration = Duration::from_secs(3);

/// Delays after a drain was announced. Four seconds after it a client's connection may neither be idle nor have a request
/// from the last two seconds; a delayed process may use up 0.15 s of either limit.
mod drain {
    use super::Duration;

    /// New connections arrive for 0.2 s more; those that have just arrived are not closed.
    pub const CLOSE_AFTER_REPLY: Duration = Duration::from_millis(300);
    /// By now, connections of clients that send requests now and then were closed behind a reply.
    pub const CLOSE_IDLE: Duration = Duration::from_millis(1200);
    /// Later commands would fall into the last two seconds.
    pub const LAST_COMMAND: Duration = Duration::from_millis(1800);
    /// Time for the command of a connection that arrives later than [`LAST_COMMAND`], to ask whether the node serves.
    pub const LATE_ARRIVAL: Duration = Duration::from_millis(500);
    /// If anything arrived after [`LAST_COMMAND`], all open requests fail now, with time left to write the replies.
    pub const FAIL_RECENT: Duration = Duration::from_millis(3600);
    /// If anything arrived after [`LAST_COMMAND`], the connection is closed now.
    pub const DISCONNECT_RECENT: Duration = Duration::from_millis(3750);
}

/// Delays after SIGTERM. New connections arrive for 0.4 s.
mod stop {
    use super::Duration;

    pub const CLOSE_AFTER_REPLY: Duration = Duration::from_millis(300);
    pub const CLOSE_IDLE: Duration = super::GRACE_AFTER_DEADLINE;
}

/// Delays after SIGTERM if another process already accepts new connections.
mod hand_over {
    use super::Duration;

    pub const CLOSE_AFTER_REPLY: Duration = Duration::ZERO;
    pub const CLOSE_IDLE: Duration = Duration::from_millis(650);
}

/// Why connections are retired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetirementCause {
    /// An operator has drained the node.
    Drain,
    /// The process ends.
    Stop,
    /// The process ends, and a successor has taken over.
    HandOver,
}

/// Which open requests fail before the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailScope {
    /// All of them.
    All,
    /// Those on connections that received something after the last command that is served.
    RecentlyUsed,
}

/// When connections are closed, depending on what is open on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetirementPlan {
    cause: RetirementCause,
    announced_at: Instant,
    /// From now on a connection is closed after its last reply.
    close_after_reply: Instant,
    /// From now on an idle connection is closed.
    close_idle: Instant,
    /// From now on a request behind an open one is refused.
    refuse_behind_open: Instant,
    /// A command that is not complete by now is no longer served.
    last_command: Instant,
    /// The same for a connection that arrived late: this long after it was accepted.
    late_arrival: Duration,
    /// Open requests fail, and nothing more is read.
    fail: Instant,
    fail_scope: FailScope,
    /// If a client does not read the replies of failed requests, its connection is closed now.
    disconnect_failed: Instant,
    /// Every connection is closed now, unless its client still takes a large value or replies.
    disconnect_all: Instant,
    /// Nothing is written any more.
    end_of_writing: Instant,
}

/// How far the client of a connection takes what is written to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyTaking {
    /// When it last took something.
    pub taken_at: Option<Instant>,
    /// When the last large value ended. Replies behind it could not be written before.
    pub large_value_ended_at: Option<Instant>,
}

/// The state of a connection that its retirement depends on.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSnapshot {
    /// When it was accepted.
    pub accepted_at: Instant,
    /// It has sent a complete, valid command.
    pub has_sent_command: bool,
    /// A partial command has arrived.
    pub has_partial_command: bool,
    /// It has pending replies.
    pub has_pending_replies: bool,
    /// The node has not provided one of these replies yet.
    pub awaits_node: bool,
    /// Its commands are read.
    pub reads_commands: bool,
    /// When a reply was last written.
    pub last_replied_at: Option<Instant>,
    /// When input was last received.
    pub last_received_at: Instant,
    /// How far its client takes what is written.
    pub taking: ReplyTaking,
}

/// What to do with a connection, from the mildest to the strictest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetirementAction {
    /// Keep it open.
    Keep,
    /// Close it unless a command has arrived meanwhile.
    CloseIfIdle,
    /// Check once more for received input, then close it. The client will resend later commands elsewhere.
    Close,
    /// Check once more for received input, then answer the incomplete command with an error.
    FailPartialCommand,
    /// Fail all open requests and read nothing more.
    FailOpen,
    /// Close it at once.
    Disconnect,
}

impl RetirementPlan {
    /// For a drain announced at this time, at a node whose requests have at most this deadline.
    pub fn drain(announced_at: Instant, longest_deadline: Duration) -> RetirementPlan {
        let last_command = announced_at + drain::LAST_COMMAND;
        let disconnect_all = last_command + longest_deadline + LARGE_VALUE_GRACE;
        RetirementPlan {
            cause: RetirementCause::Drain,
            announced_at,
            close_after_reply: announced_at + drain::CLOSE_AFTER_REPLY,
            close_idle: announced_at + drain::CLOSE_IDLE,
            refuse_behind_open: last_command,
            last_command,
            late_arrival: drain::LATE_ARRIVAL,
            fail: announced_at + drain::FAIL_RECENT,
            fail_scope: FailScope::RecentlyUsed,
            disconnect_failed: announced_at + drain::DISCONNECT_RECENT,
            disconnect_all,
            end_of_writing: disconnect_all,
        }
    }

    /// For the end of the process, announced at this time.
    pub fn stop(announced_at: Instant, longest_deadline: Duration) -> RetirementPlan {
        RetirementPlan::for_process_end(
            RetirementCause::Stop,
            announced_at,
            longest_deadline,
            (stop::CLOSE_AFTER_REPLY, stop::CLOSE_IDLE),
        )
    }

    /// For the end of a process whose successor has taken over.
    pub fn hand_over(announced_at: Instant, longest_deadline: Duration) -> RetirementPlan {
        let delays = (hand_over::CLOSE_AFTER_REPLY, hand_over::CLOSE_IDLE);
        RetirementPlan::for_process_end(RetirementCause::HandOver, announced_at, longest_deadline, delays)
    }

    fn for_process_end(
        cause: RetirementCause,
        announced_at: Instant,
        longest_deadline: Duration,
        (close_after_reply, close_idle): (Duration, Duration),
    ) -> RetirementPlan {
        let end = announced_at + longest_deadline.min(MAX_COUNTED_DEADLINE) + GRACE_AFTER_DEADLINE;
        let last_command = end - FAIL_BEFORE_END;
        RetirementPlan {
            cause,
            announced_at,
            close_after_reply: announced_at + close_after_reply,
            close_idle: announced_at + close_idle,
            refuse_behind_open: end - REFUSE_BEFORE_END,
            last_command,
            late_arrival: Duration::ZERO,
            fail: last_command,
            fail_scope: FailScope::All,
            disconnect_failed: end,
            disconnect_all: end,
            // The platform may kill the process later than it might: until then what clients take goes on.
            end_of_writing: end + LARGE_VALUE_GRACE,
        }
    }

    /// Why connections are closed.
    pub fn cause(&self) -> RetirementCause {
        self.cause
    }

    /// When the retirement was announced.
    pub fn announced_at(&self) -> Instant {
        self.announced_at
    }

    /// From when on idle connections are closed.
    pub fn close_idle_at(&self) -> Instant {
        self.close_idle
    }

    /// By when every connection is closed whose client takes nothing more.
    pub fn disconnect_all_at(&self) -> Instant {
        self.disconnect_all
    }

    /// Until when large values and replies are written to clients that take them.
    pub fn end_of_writing(&self) -> Instant {
        self.end_of_writing
    }

    /// Whether a request that arrives now is refused, on a connection with or without another one open.
    pub fn refuses(&self, open: bool, now: Instant) -> bool {
        now >= self.last_command || open && now >= self.refuse_behind_open
    }

    /// What to do with a connection now.
    pub fn action(&self, snapshot: &ConnectionSnapshot, now: Instant) -> RetirementAction {
        let last_command = self.connection_last_command_time(snapshot);
        if now >= self.connection_end(snapshot) {
            RetirementAction::Disconnect
        } else if self.will_fail(snapshot) && now >= self.fail {
            RetirementAction::FailOpen
        } else if snapshot.has_partial_command && snapshot.reads_commands && now >= last_command {
            RetirementAction::FailPartialCommand
        } else if snapshot.has_pending_replies
            || snapshot.has_partial_command
            || now < self.connection_close_time(snapshot)
        {
            RetirementAction::Keep
        } else if now >= last_command {
            RetirementAction::Close
        } else {
            RetirementAction::CloseIfIdle
        }
    }

    /// When the action for a connection changes next if its state stays the same.
    pub fn next_change(&self, snapshot: &ConnectionSnapshot, now: Instant) -> Instant {
        let idle_close = (!snapshot.has_pending_replies && !snapshot.has_partial_command)
            .then(|| self.connection_close_time(snapshot));
        let partial_command = (snapshot.has_partial_command && snapshot.reads_commands)
            .then(|| self.connection_last_command_time(snapshot));
        let failure = self.will_fail(snapshot).then_some(self.fail);
        let next = [idle_close, partial_command, failure].into_iter().flatten().filter(|at| *at > now).min();
        let end = self.connection_end(snapshot);
        next.unwrap_or(end).min(end)
    }

    /// Until when a reply may be written to a slow client. `received` is when input last arrived, or `None` if it may arrive
    /// at any time; `large` is for a relayed value, for which the client may take its time.
    pub fn write_until(&self, received: Option<Instant>, large: bool, taking: ReplyTaking) -> Instant {
        let is_recent = received.is_none_or(|received| received >= self.last_command);
        let is_short = self.fail_scope == FailScope::All || is_recent;
        match large {
            true => self.end_of_writing,
            false if is_short => self.extended(self.disconnect_failed, taking),
            false => self.extended(self.disconnect_all, taking),
        }
    }

    /// The time by which replies must have been written, put off while the client takes them: at the end of a process, and
    /// on a connection that a large value has held up until after that time.
    fn extended(&self, until: Instant, taking: ReplyTaking) -> Instant {
        let is_held_up = taking.large_value_ended_at.is_some_and(|ended_at| ended_at >= until);
        match taking.taken_at {
            Some(taken_at) if self.fail_scope == FailScope::All || is_held_up => {
                (taken_at + MAX_TAKING_PAUSE).min(self.end_of_writing).max(until)
            }
            _ => until,
        }
    }

    /// When a connection is closed whatever its state.
    fn connection_end(&self, snapshot: &ConnectionSnapshot) -> Instant {
        self.extended(self.disconnect_all, snapshot.taking)
    }

    /// Whether the open requests of a connection fail before it is closed, and have not failed yet.
    fn will_fail(&self, snapshot: &ConnectionSnapshot) -> bool {
        let is_in_scope = self.fail_scope == FailScope::All || snapshot.last_received_at >= self.last_command;
        is_in_scope && snapshot.has_pending_replies && (snapshot.awaits_node || snapshot.reads_commands)
    }

    /// When a command on a connection must be complete.
    fn connection_last_command_time(&self, snapshot: &ConnectionSnapshot) -> Instant {
        self.last_command.max(snapshot.accepted_at + self.late_arrival)
    }

    /// When a connection with nothing open is closed.
    fn connection_close_time(&self, snapshot: &ConnectionSnapshot) -> Instant {
        if snapshot.last_replied_at.is_some_and(|replied_at| replied_at >= self.close_after_reply) {
            self.close_after_reply
        } else if snapshot.has_sent_command {
            self.close_idle
        } else {
            // It may have just arrived.
            self.connection_last_command_time(snapshot)
        }
    }
}

/// The active plans.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetirementPlans {
    /// While the node is drained.
    pub drain: Option<RetirementPlan>,
    /// Once the process is to end; never taken back.
    pub end: Option<RetirementPlan>,
}

impl RetirementPlans {
    /// Whether any plan is active.
    pub fn any_active(&self) -> bool {
        self.drain.is_some() || self.end.is_some()
    }

    fn active(&self) -> impl Iterator<Item = RetirementPlan> {
        [self.drain, self.end].into_iter().flatten()
    }

    /// What to do with a connection now, and the cause.
    pub fn action(
        &self,
        snapshot: &ConnectionSnapshot,
        now: Instant,
    ) -> (RetirementAction, Option<RetirementCause>) {
        let actions = self.active().map(|plan| (plan.action(snapshot, now), Some(plan.cause)));
        actions.max_by_key(|(action, _)| *action).unwrap_or((RetirementAction::Keep, None))
    }

    /// When the action for a connection changes next if its state stays the same.
    pub fn next_change(&self, snapshot: &ConnectionSnapshot, now: Instant) -> Option<Instant> {
        self.active().map(|plan| plan.next_change(snapshot, now)).min()
    }

    /// Whether a request that arrives now is refused.
    pub fn refuses(&self, open: bool, now: Instant) -> bool {
        self.active().any(|plan| plan.refuses(open, now))
    }

    /// Until when a reply may be written.
    pub fn write_until(
        &self,
        received: Option<Instant>,
        large: bool,
        taking: ReplyTaking,
    ) -> Option<Instant> {
        self.active().map(|plan| plan.write_until(received, large, taking)).min()
    }

    /// When the last connection is closed whose client takes nothing more.
    pub fn disconnect_all_at(&self) -> Option<Instant> {
        self.active().map(|plan| plan.disconnect_all).min()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/retirement.rs"]
mod tests;
