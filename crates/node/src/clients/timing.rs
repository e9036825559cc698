//! Time limits of one client's connection: for how long it may stay idle or leave a command incomplete. No I/O.

use std::time::Duration;

use tokio::time::Instant;

use crate::eviction_priority::Activity;

/// Time-out of a first command and of the rest of a partial one. Valid clients may take 2 s; invalid ones must get an
/// error or a close within 3 s. For a value, this limits the time between two reads.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2600);
/// Longest time for a complete value.
const VALUE_TIMEOUT: Duration = Duration::from_secs(30);
/// A connection idle for this long is closed, because some clients never close theirs.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The same while at least half of the permitted connections are open: clients can hold only so many, and idle ones keep
/// others out.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// How often an idle connection checks whether many connections are open.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The progress of a connection, from which its limits are counted.
pub(super) struct Progress {
    /// When it was accepted.
    connected_at: Instant,
    /// When the first bytes of the incomplete command arrived.
    command_started_at: Option<Instant>,
    /// Number of reads since then.
    command_reads: usize,
    /// When the client was last read from or replied to.
    last_active_at: Instant,
    /// When a reply was last written.
    last_replied_at: Option<Instant>,
}

impl Progress {
    /// For a connection that was just accepted.
    pub(super) fn new(connected_at: Instant) -> Progress {
        Progress {
            connected_at,
            command_started_at: None,
            command_reads: 0,
            last_active_at: connected_at,
            last_replied_at: None,
        }
    }

    /// Records that bytes were read.
    pub(super) fn record_read(&mut self) {
        self.record_activity();
        self.command_reads += 1;
    }

    /// Records that the client was read from or replied to.
    pub(super) fn record_activity(&mut self) {
        self.last_active_at = Instant::now();
    }

    /// Records that a reply was written.
    pub(super) fn record_reply(&mut self) {
        self.record_activity();
        self.last_replied_at = Some(self.last_active_at);
    }

    /// When it was accepted.
    pub(super) fn connected_at(&self) -> Instant {
        self.connected_at
    }

    /// When a reply was last written.
    pub(super) fn last_replied_at(&self) -> Option<Instant> {
        self.last_replied_at
    }

    /// When the client was last read from or replied to.
    pub(super) fn last_active_at(&self) -> Instant {
        self.last_active_at
    }

    /// Records that a command is complete.
    pub(super) fn command_complete(&mut self) {
        (self.command_started_at, self.command_reads) = (None, 0);
    }

    /// Records that a partial command has arrived, and its rest may follow.
    pub(super) fn record_partial_command(&mut self) {
        self.command_started_at.get_or_insert_with(Instant::now);
    }

    /// Records that no partial command has arrived, or no more commands are read.
    pub(super) fn clear_partial_command(&mut self) {
        self.command_started_at = None;
    }

    /// Whether a partial command has arrived.
    pub(super) fn has_partial_command(&self) -> bool {
        self.command_started_at.is_some()
    }

    /// The activity that the eviction priority depends on.
    pub(super) fn activity(&self, newcomer: bool) -> Activity {
        match self.command_started_at {
            None if !newcomer => Activity::Idle,
            Some(_) if self.command_reads > 1 => Activity::Writing,
            _ => Activity::Starting,
        }
    }

    /// Whether the client has been idle for the longest permitted time.
    pub(super) fn is_idle_too_long(&self) -> bool {
        self.last_active_at.elapsed() >= IDLE_TIMEOUT
    }
}

/// What the limits of a connection depend on beside its [`Progress`].
#[derive(Clone, Copy)]
pub(super) struct LimitConditions {
    /// It has not sent a complete command yet.
    pub(super) newcomer: bool,
    /// It has no pending replies.
    pub(super) idle: bool,
    /// Many connections are open.
    pub(super) crowded: bool,
    /// Only the value of the newest command, or the rest of it, is missing.
    pub(super) awaits_value: bool,
}

/// The time limits of a connection; `None` where there is no limit.
pub(super) struct Limits {
    /// For the first command of a new connection.
    first_command: Option<Instant>,
    /// For the rest of a partial command.
    rest_of_command: Option<Instant>,
    /// For being idle, or until the next check.
    idle: Option<Instant>,
}

impl Limits {
    /// The limits of a connection at this time.
    pub(super) fn of(progress: &Progress, conditions: LimitConditions, now: Instant) -> Limits {
        let is_idle = conditions.idle && !progress.has_partial_command();
        let awaits_first = conditions.newcomer && is_idle;
        Limits {
            first_command: awaits_first.then_some(progress.connected_at + COMMAND_TIMEOUT),
            rest_of_command: progress.command_started_at.map(|started_at| {
                if conditions.awaits_value {
                    // Limits each gap between two reads, and the value as a whole.
                    (progress.last_active_at + COMMAND_TIMEOUT).min(started_at + VALUE_TIMEOUT)
                } else {
                    started_at + COMMAND_TIMEOUT
                }
            }),
            idle: is_idle.then(|| idle_limit(progress.last_active_at, conditions, now)),
        }
    }

    /// The earliest limit.
    pub(super) fn earliest(&self) -> Option<Instant> {
        [self.first_command, self.rest_of_command, self.idle].into_iter().flatten().min()
    }

    /// Whether the first command is overdue.
    pub(super) fn first_command_is_late(&self) -> bool {
        has_passed(self.first_command)
    }

    /// Whether the rest of a command is overdue.
    pub(super) fn rest_of_command_is_late(&self) -> bool {
        has_passed(self.rest_of_command)
    }
}

fn has_passed(limit: Option<Instant>) -> bool {
    limit.is_some_and(|limit| limit <= Instant::now())
}

fn idle_limit(last_active_at: Instant, conditions: LimitConditions, now: Instant) -> Instant {
    if last_active_at + CROWDED_IDLE_TIMEOUT > now || conditions.crowded {
        last_active_at + CROWDED_IDLE_TIMEOUT
    } else {
        // Check again before the limit, because many connections may have opened meanwhile.
        (now + IDLE_CHECK_INTERVAL).min(last_active_at + IDLE_TIMEOUT)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client_timing.rs"]
mod tests;
