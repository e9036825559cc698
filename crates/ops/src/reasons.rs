//! Why connections end, requests are refused and further attempts are made, with the names that log and metrics give
//! the reasons.

use std::marker::PhantomData;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// An enum of reasons.
pub trait Reason: Copy + Eq + 'static {
    /// All reasons of this kind, in declaration order.
    const ALL: &'static [Self];

    /// The reason's name in log and metrics.
    fn name(self) -> &'static str;

    /// The reason's index in [`Reason::ALL`].
    fn index(self) -> usize;
}

/// Defines an enum of reasons with their names.
macro_rules! reasons {
    ($(#[$doc:meta])* $kind:ident { $($(#[$reason_doc:meta])* $reason:ident = $name:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $kind {
            $($(#[$reason_doc])* $reason,)*
        }

        impl Reason for $kind {
            const ALL: &'static [Self] = &[$($kind::$reason,)*];

            fn name(self) -> &'static str {
                match self {
                    $($kind::$reason => $name,)*
                }
            }

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}

pub(crate) use reasons;

reasons! {
    /// Why a client's connection has ended.
    CloseReason {
        /// The client closed it, or it broke.
        Client = "client",
        /// An operator has drained the node.
        Drained = "drained",
        /// The process ends.
        Stopping = "stopping",
        /// The process ends, and another process has taken over.
        HandedOver = "handed_over",
        /// It was still open when the drain or the end of the process was due.
        RetirementOver = "retirement_over",
        /// It was idle for longer than allowed.
        Idle = "idle",
        /// It was idle while the node had many open connections.
        Crowded = "crowded",
        /// Its slot was needed for another connection.
        Evicted = "evicted",
        /// Its first command did not arrive in time.
        FirstCommandLate = "first_command_late",
        /// It sent something that is no command, too many commands, or the rest of a command too late.
        Protocol = "protocol",
        /// The client sent QUIT.
        Quit = "quit",
        /// The client did not read its answer in time.
        AnswerNotTaken = "answer_not_taken",
        /// The rest of a large value did not arrive.
        ValueCut = "value_cut",
        /// Too many new connections arrived.
        TurnedAway = "turned_away",
    }
}

reasons! {
    /// Why a request was refused.
    RefuseReason {
        /// The node has no memory for it.
        Memory = "memory",
        /// Its connection has too many open requests.
        Pipeline = "pipeline",
        /// The node has too many open requests.
        OpenRequests = "open_requests",
        /// Its connection is about to be closed.
        Retiring = "retiring",
        /// The decision module refused it.
        Module = "module",
    }
}

reasons! {
    /// What happened before a further attempt of a request.
    RetryReason {
        /// The previous attempt is still in flight.
        Hedge = "hedge",
        /// The server did not have the key.
        Miss = "miss",
        /// The server answered with an error.
        Error = "error",
        /// The server refused the attempt because it was full.
        Full = "full",
        /// The server did not answer in time.
        TimedOut = "timed_out",
        /// The server could not be reached.
        NotConnected = "not_connected",
        /// The connection to the server broke.
        Reset = "reset",
        /// The attempt was cancelled.
        Cancelled = "cancelled",
        /// The attempt was never sent.
        NotSent = "not_sent",
        /// This machine could not make the attempt.
        LocalFailure = "local_failure",
    }
}

/// A counter for each reason of a kind.
#[derive(Debug)]
pub struct ByReason<R> {
    counts: Vec<AtomicU64>,
    kind: PhantomData<R>,
}

impl<R: Reason> Default for ByReason<R> {
    fn default() -> Self {
        ByReason { counts: R::ALL.iter().map(|_| AtomicU64::new(0)).collect(), kind: PhantomData }
    }
}

impl<R: Reason> ByReason<R> {
    /// Counts one occurrence.
    pub fn increment(&self, reason: R) {
        if let Some(count) = self.counts.get(reason.index()) {
            count.fetch_add(1, Relaxed);
        }
    }

    /// Each reason's name and its count.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        R::ALL.iter().zip(&self.counts).map(|(reason, count)| (reason.name(), count.load(Relaxed)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn check<R: Reason + std::fmt::Debug>() {
        for (index, reason) in R::ALL.iter().enumerate() {
            assert_eq!(reason.index(), index, "{reason:?}");
            assert!(reason.name().bytes().all(|b| b.is_ascii_lowercase() || b == b'_'), "{reason:?}");
        }
    }

    #[test]
    fn every_reason_has_its_index_and_a_valid_label_name() {
        check::<CloseReason>();
        check::<RefuseReason>();
        check::<RetryReason>();
    }

    #[test]
    fn each_reason_has_its_own_counter() {
        let counts = ByReason::default();
        counts.increment(CloseReason::Drained);
        counts.increment(CloseReason::Drained);
        counts.increment(CloseReason::TurnedAway);
        let seen: Vec<_> = counts.iter().filter(|(_, count)| *count > 0).collect();
        assert_eq!(seen, [("drained", 2), ("turned_away", 1)]);
    }
}
