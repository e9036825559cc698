//! Reactions to failures of accepting connections, with rate-limited logging.

use std::fmt;
use std::io;
use std::time::Duration;

use mothpier_host::Host;
use mothpier_host::failure::AcceptFailure;
use tokio::time::Instant;

/// Delay before accepting is retried if an immediate retry can't succeed. Short enough that clients hardly notice;
/// resources may be free again by then.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Number of consecutive failures that are each followed by an immediate retry. Each removes one connection from the
/// queue, which holds no more than this many at a bad moment; after that the network is down for longer.
const MAX_IMMEDIATE_RETRIES: u32 = 64;
/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What to do after a failure to accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reaction {
    /// Retry immediately: only the connection that was next is lost.
    RetryImmediately,
    /// Wait before the next try.
    Pause,
    /// Close a connection to free its resources, then wait.
    EvictAndPause,
}

/// Tracks the failures of one listener.
#[derive(Default)]
pub(crate) struct AcceptFailureTracker {
    /// Failures since a connection was last accepted.
    consecutive: u32,
    last_logged_at: Option<Instant>,
    /// Failures since the last log line.
    unlogged: u64,
}

impl AcceptFailureTracker {
    /// Records that a connection was accepted.
    pub(crate) fn record_success(&mut self) {
        self.consecutive = 0;
    }

    /// Counts a failure, logs it unless the last log line is too recent, and returns the reaction.
    pub(crate) fn record_failure(
        &mut self,
        host: &impl Host,
        listener: impl fmt::Display,
        error: &io::Error,
    ) -> Reaction {
        self.consecutive = self.consecutive.saturating_add(1);
        self.log(host, listener, error);
        match AcceptFailure::from_error(error) {
            AcceptFailure::ThisConnection if self.consecutive <= MAX_IMMEDIATE_RETRIES => {
                Reaction::RetryImmediately
            }
            AcceptFailure::ThisConnection | AcceptFailure::Other => Reaction::Pause,
            AcceptFailure::OutOfResources => Reaction::EvictAndPause,
        }
    }

    fn log(&mut self, host: &impl Host, listener: impl fmt::Display, error: &io::Error) {
        self.unlogged += 1;
        if self.last_logged_at.is_some_and(|logged| logged.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.last_logged_at = Some(Instant::now());
        match std::mem::take(&mut self.unlogged) {
            1 => host.log(format_args!("{listener}: accepting failed: {error}")),
            times => host.log(format_args!("{listener}: accepting failed {times} times: {error}")),
        }
    }
}
