//! Connections that this machine could not make: when the next one may be tried, and when the log is told.

use std::time::Duration;

use tokio::time::Instant;

/// After a first failure no connection is tried for this long: what the machine lacks, a descriptor, a port or a buffer,
/// is given back in milliseconds where others end.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// How often the pause doubles while failures go on: 160 ms at the most, so that the end of the shortage is soon noticed.
const DOUBLINGS: u32 = 4;
/// Between two lines of the log: staff need to know of the shortage, not of each connection.
const LOG_PAUSE: Duration = Duration::from_secs(5);

/// What is known of the failures in a row.
#[derive(Debug, Default)]
pub struct LocalFailures {
    in_row: u32,
    /// No connection is tried before.
    until: Option<Instant>,
    logged: Option<Instant>,
}

impl LocalFailures {
    /// Whether a connection may be tried now.
    pub fn may_connect(&self) -> bool {
        self.until.is_none_or(|until| Instant::now() >= until)
    }

    /// A connection could not be made; whether the log is to be told. Of several that were tried together only the first
    /// lengthens the pause.
    pub fn record_failure(&mut self) -> bool {
        let now = Instant::now();
        if self.may_connect() {
            self.until = Some(now + FIRST_PAUSE * 2u32.pow(self.in_row.min(DOUBLINGS)));
            self.in_row = self.in_row.saturating_add(1);
        }
        let logs = self.logged.is_none_or(|logged| now.duration_since(logged) >= LOG_PAUSE);
        if logs {
            self.logged = Some(now);
        }
        logs
    }

    /// A connection was made: the machine lacks nothing.
    pub fn record_success(&mut self) {
        (self.in_row, self.until) = (0, None);
    }
}

#[cfg(test)]
#[path = "../tests/unit/local_failures.rs"]
mod tests;
