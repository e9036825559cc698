//! The work that a client's connection has caused. No I/O.

use std::time::Duration;

use tokio::time::Instant;

/// The work of a connection is summed up over this time.
const PERIOD: Duration = Duration::from_secs(1);
/// A connection with more commands in a [`PERIOD`] is logged as busy.
const BUSY_COMMANDS: u64 = 1000;

/// Commands and bytes of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Amount {
    /// Complete commands, whatever they ask for.
    pub(super) commands: u64,
    /// Bytes read.
    pub(super) bytes: u64,
}

/// The work that a connection has caused since it began.
#[derive(Debug)]
pub(super) struct ConnectionWork {
    total: Amount,
    /// The total when the current period began.
    before: Amount,
    period_began: Instant,
}

impl ConnectionWork {
    /// For a connection that has done nothing yet.
    pub(super) fn new(now: Instant) -> Self {
        ConnectionWork { total: Amount::default(), before: Amount::default(), period_began: now }
    }

    /// Since the connection began.
    pub(super) fn total(&self) -> Amount {
        self.total
    }

    /// Counts a complete command.
    pub(super) fn count_command(&mut self) {
        self.total.commands += 1;
    }

    /// Counts bytes read.
    pub(super) fn count_bytes(&mut self, bytes: usize) {
        self.total.bytes += bytes as u64;
    }

    /// Ends the current period if it is over; returns its work if the connection was busy in it.
    pub(super) fn take_busy_period(&mut self, now: Instant) -> Option<Amount> {
        if now - self.period_began < PERIOD {
            return None;
        }
        let work = Amount {
            commands: self.total.commands - self.before.commands,
            bytes: self.total.bytes - self.before.bytes,
        };
        (self.before, self.period_began) = (self.total, now);
        (work.commands > BUSY_COMMANDS).then_some(work)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client_work.rs"]
mod tests;
