//! Back-off after connections that this machine could not open, and the rate limit of the log lines about them.

use std::time::Duration;

use tokio::time::Instant;

/// Back-off after the first failure. The resource that is short, a descriptor, a port or a buffer, is usually released
/// within milliseconds as other connections end.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// How often the back-off doubles during consecutive failures: to 160 ms at the most, so that the end of the shortage
/// is noticed soon.
const MAX_DOUBLINGS: u32 = 4;
/// Shortest time between two log lines: operators need to know of the shortage, not of each connection.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Tracks consecutive local failures.
#[derive(Debug, Default)]
pub struct LocalFailures {
    consecutive: u32,
    /// No connection is tried before this time.
    retry_at: Option<Instant>,
    last_logged_at: Option<Instant>,
}

impl LocalFailures {
    /// Whether a connection may be tried now.
    pub fn may_connect(&self) -> bool {
        self.retry_at.is_none_or(|until| Instant::now() >= until)
    }

    /// Records that a connection could not be opened; returns whether to log it. Of several connections tried at the same
    /// time only the first failure extends the back-off.
    pub fn record_failure(&mut self) -> bool {
        let now = Instant::now();
        if self.may_connect() {
            self.retry_at = Some(now + INITIAL_BACKOFF * 2u32.pow(self.consecutive.min(MAX_DOUBLINGS)));
            self.consecutive = self.consecutive.saturating_add(1);
        }
        let should_log = self.last_logged_at.is_none_or(|logged| now.duration_since(logged) >= LOG_INTERVAL);
        if should_log {
            self.last_logged_at = Some(now);
        }
        should_log
    }

    /// Records that a connection was opened: the shortage is over.
    pub fn record_success(&mut self) {
        (self.consecutive, self.retry_at) = (0, None);
    }
}

#[cfg(test)]
#[path = "../tests/unit/local_failures.rs"]
mod tests;
