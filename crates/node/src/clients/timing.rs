//! The times of one client's connection: since when it is idle or has left a command unfinished, and how long it may go on.
//! No I/O.

use std::time::Duration;

use tokio::time::Instant;

use crate::eviction_priority::Activity;

/// A first command, and the rest of one that has begun, must come within this time: true clients may take 2 s, bad
/// ones are owed an error or a close within 3 s. A value need only go on.
const COMMAND: Duration = Duration::from_millis(2600);
/// The longest time that a value may take in all.
const VALUE: Duration = Duration::from_secs(30);
/// A connection that asks nothing for so long is closed: some clients keep theirs for good.
const IDLE: Duration = Duration::from_secs(10);
/// The same once half of the connections that there may be are open, for clients can hold only so many and those that are
/// kept keep others out.
const IDLE_CROWDED: Duration = Duration::from_millis(2100);
/// How often an idle connection looks whether many have become open meanwhile.
const IDLE_LOOK: Duration = Duration::from_millis(250);
/// What the limits of a connection are counted from.
pub(super) struct Progress {
    /// When it was accepted.
    connected: Instant,
    /// When the command that has not arrived whole began to.
    begun: Option<Instant>,
    /// In how many pieces that has arrived so far.
    pieces: usize,
    /// When the client was last heard or answered.
    active: Instant,
    /// When it was last answered.
    answered: Option<Instant>,
}

impl Progress {
    /// Of a connection that has only just been accepted.
    pub(super) fn new(connected: Instant) -> Progress {
        Progress { connected, begun: None, pieces: 0, active: connected, answered: None }
    }

    /// Something has arrived.
    pub(super) fn piece_arrived(&mut self) {
        self.active_now();
        self.pieces += 1;
    }

    /// The client was heard or answered.
    pub(super) fn active_now(&mut self) {
        self.active = Instant::now();
    }

    /// The client was answered.
    pub(super) fn answered_now(&mut self) {
        self.active_now();
        self.answered = Some(self.active);
    }

    /// When it was accepted.
    pub(super) fn connected(&self) -> Instant {
        self.connected
    }

    /// When it was last answered.
    pub(super) fn last_answered(&self) -> Option<Instant> {
        self.answered
    }

    /// When the client was last heard or answered.
    pub(super) fn last_active(&self) -> Instant {
        self.active
    }

    /// A command has arrived whole.
    pub(super) fn command_complete(&mut self) {
        (self.begun, self.pieces) = (None, 0);
    }

    /// Part of a command has arrived, and nothing of it is missing for good.
    pub(super) fn command_begun(&mut self) {
        self.begun.get_or_insert_with(Instant::now);
    }

    /// Nothing of a command has arrived, or no more are read.
    pub(super) fn no_command_begun(&mut self) {
        self.begun = None;
    }

    /// Whether part of a command has arrived.
    pub(super) fn has_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// What the connection does, for the choice of the one that gives way.
    pub(super) fn activity(&self, newcomer: bool) -> Activity {
        match self.begun {
            None if !newcomer => Activity::Idle,
            Some(_) if self.pieces > 1 => Activity::Writing,
            _ => Activity::Starting,
        }
    }

    /// Whether the client has been silent for the longest time that a connection may.
    pub(super) fn idle_too_long(&self) -> bool {
        self.active.elapsed() >= IDLE
    }
}

/// What the limits of a connection depend on beside its [`Progress`].
#[derive(Clone, Copy)]
pub(super) struct Situation {
    /// It has not sent a whole command yet.
    pub(super) newcomer: bool,
    /// No answer is owed to it.
    pub(super) idle: bool,
    /// Many connections are open.
    pub(super) crowded: bool,
    /// Of the newest command only the value, or the rest of it, is missing.
    pub(super) misses_value: bool,
}

/// Until when a connection may go on as it is; `None` where nothing limits it.
pub(super) struct Limits {
    /// For the first command of a newcomer.
    first_command: Option<Instant>,
    /// For the rest of a command that has begun.
    rest_of_command: Option<Instant>,
    /// For resting, or until it is looked at again.
    rest: Option<Instant>,
}

impl Limits {
    /// The limits of a connection at this time.
    pub(super) fn of(progress: &Progress, situation: Situation, now: Instant) -> Limits {
        let asks_nothing = situation.idle && !progress.has_begun();
        let awaits_first = situation.newcomer && asks_nothing;
        Limits {
            first_command: awaits_first.then_some(progress.connected + COMMAND),
            rest_of_command: progress.begun.map(|begun| {
                if situation.misses_value {
                    // It need only go on.
                    (progress.active + COMMAND).min(begun + VALUE)
                } else {
                    begun + COMMAND
                }
            }),
            rest: asks_nothing.then(|| rest_until(progress.active, situation, now)),
        }
    }

    /// The next of them.
    pub(super) fn next(&self) -> Option<Instant> {
        [self.first_command, self.rest_of_command, self.rest].into_iter().flatten().min()
    }

    /// Whether the first command has not come in time.
    pub(super) fn first_command_is_late(&self) -> bool {
        passed(self.first_command)
    }

    /// Whether the rest of a command has not come in time.
    pub(super) fn rest_of_command_is_late(&self) -> bool {
        passed(self.rest_of_command)
    }
}

fn passed(limit: Option<Instant>) -> bool {
    limit.is_some_and(|limit| limit <= Instant::now())
}

fn rest_until(active: Instant, situation: Situation, now: Instant) -> Instant {
    if active + IDLE_CROWDED > now || situation.crowded {
        active + IDLE_CROWDED
    } else {
        // Looked at again meanwhile: others may have come.
        (now + IDLE_LOOK).min(active + IDLE)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client_timing.rs"]
mod tests;
