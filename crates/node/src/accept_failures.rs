//! What a listener does when it can't accept: each failure has its own reaction, and the log stays short.

use std::fmt;
use std::io;
use std::time::Duration;

use mothpier_host::Host;
use mothpier_host::failure::AcceptFailure;
use tokio::time::Instant;

/// Before the next try to accept, where that can't succeed at once: what is short may be free again by then, and a client
/// hardly notices.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Failures in a row that are each followed by another try at once. Each takes one connection out of the queue, which
/// holds no more of them in a bad moment; after so many it is the network that is down, and lasts.
const AT_ONCE: u32 = 64;
/// Between two lines of the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What follows a failure to accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reaction {
    /// Another try: only the connection that was next is lost.
    RetryImmediately,
    /// A pause.
    Pause,
    /// A connection is to be closed, and a pause.
    EvictAndPause,
}

/// The failures of one listener.
#[derive(Default)]
pub(crate) struct AcceptFailureTracker {
    /// Since a connection was last accepted.
    in_a_row: u32,
    logged: Option<Instant>,
    /// Since the last line of the log.
    unlogged: u64,
}

impl AcceptFailureTracker {
    /// A connection was accepted.
    pub(crate) fn record_success(&mut self) {
        self.in_a_row = 0;
    }

    /// Counts a failure, logs it where the last line is not too young, and tells what follows.
    pub(crate) fn record_failure(
        &mut self,
        host: &impl Host,
        listener: impl fmt::Display,
        error: &io::Error,
    ) -> Reaction {
        self.in_a_row = self.in_a_row.saturating_add(1);
        self.log(host, listener, error);
        match AcceptFailure::from_error(error) {
            AcceptFailure::ThisConnection if self.in_a_row <= AT_ONCE => Reaction::RetryImmediately,
            AcceptFailure::ThisConnection | AcceptFailure::Other => Reaction::Pause,
            AcceptFailure::OutOfResources => Reaction::EvictAndPause,
        }
    }

    fn log(&mut self, host: &impl Host, listener: impl fmt::Display, error: &io::Error) {
        self.unlogged += 1;
        if self.logged.is_some_and(|logged| logged.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.logged = Some(Instant::now());
        match std::mem::take(&mut self.unlogged) {
            1 => host.log(format_args!("{listener}: accepting failed: {error}")),
            times => host.log(format_args!("{listener}: accepting failed {times} times: {error}")),
        }
    }
}
