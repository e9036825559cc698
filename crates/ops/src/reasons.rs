//! Why connections end, requests are refused and further attempts are made, each with the name that the log and the figures
//! give it.

use std::marker::PhantomData;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// A reason of one kind.
pub trait Reason: Copy + Eq + 'static {
    /// All reasons of this kind, in the order of their numbers.
    const ALL: &'static [Self];

    /// Its name in the log and in the figures.
    fn name(self) -> &'static str;

    /// Its place in [`Reason::ALL`].
    fn number(self) -> usize;
}

/// An enum of reasons with their names.
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

            fn number(self) -> usize {
                self as usize
            }
        }
    };
}

reasons! {
    /// Why the connection of a client has ended.
    CloseReason {
        /// The client has closed it, or it broke.
        Client = "client",
        /// Staff have told the node to drain.
        Drained = "drained",
        /// The process ends.
        Stopping = "stopping",
        /// The process ends, and another one has taken its place.
        HandedOver = "handed_over",
        /// It was still held when the drain or the end of the process had to be over.
        RetirementOver = "retirement_over",
        /// It asked nothing for the longest time that it may.
        Idle = "idle",
        /// It rested while many were open.
        Crowded = "crowded",
        /// Its place was wanted for another.
        Evicted = "evicted",
        /// Its first command did not come in time.
        FirstCommandLate = "first_command_late",
        /// It sent what is no command, too many of them, or the rest of one too late.
        Protocol = "protocol",
        /// It asked to be closed.
        Quit = "quit",
        /// The client did not take its answer in time.
        AnswerNotTaken = "answer_not_taken",
        /// The rest of a large value did not come.
        ValueCut = "value_cut",
        /// Too many new connections came.
        TurnedAway = "turned_away",
    }
}

reasons! {
    /// Why a request was refused.
    RefuseReason {
        /// The node has no memory for it.
        Memory = "memory",
        /// Too many requests of its connection are open.
        Pipeline = "pipeline",
        /// Too many requests of the node are open.
        OpenRequests = "open_requests",
        /// Its connection is to go.
        Retiring = "retiring",
        /// The decision module refused it.
        Module = "module",
    }
}

reasons! {
    /// What came before a further attempt of a request.
    RetryReason {
        /// The attempt before is still out.
        Hedge = "hedge",
        /// The server lacked the key.
        Miss = "miss",
        /// It answered with an error.
        Error = "error",
        /// It turned the attempt away.
        Full = "full",
        /// It did not answer in time.
        TimedOut = "timed_out",
        /// It could not be reached.
        NotConnected = "not_connected",
        /// Its connection broke.
        Reset = "reset",
        /// The attempt was taken back.
        Cancelled = "cancelled",
        /// The attempt was never sent.
        NotSent = "not_sent",
        /// This machine could not make the attempt.
        LocalFailure = "local_failure",
    }
}

/// How often each reason of a kind occurred.
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
    /// It occurred once more.
    pub fn increment(&self, reason: R) {
        if let Some(count) = self.counts.get(reason.number()) {
            count.fetch_add(1, Relaxed);
        }
    }

    /// Each reason's name and how often it occurred.
    pub fn all(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        R::ALL.iter().zip(&self.counts).map(|(reason, count)| (reason.name(), count.load(Relaxed)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn check<R: Reason + std::fmt::Debug>() {
        for (place, reason) in R::ALL.iter().enumerate() {
            assert_eq!(reason.number(), place, "{reason:?}");
            assert!(reason.name().bytes().all(|b| b.is_ascii_lowercase() || b == b'_'), "{reason:?}");
        }
    }

    #[test]
    fn every_reason_has_its_place_and_a_name_that_labels_may_have() {
        check::<CloseReason>();
        check::<RefuseReason>();
        check::<RetryReason>();
    }

    #[test]
    fn each_reason_is_counted_by_itself() {
        let counts = ByReason::default();
        counts.increment(CloseReason::Drained);
        counts.increment(CloseReason::Drained);
        counts.increment(CloseReason::TurnedAway);
        let seen: Vec<_> = counts.all().filter(|(_, count)| *count > 0).collect();
        assert_eq!(seen, [("drained", 2), ("turned_away", 1)]);
    }
}
