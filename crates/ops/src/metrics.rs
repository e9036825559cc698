//! Counters and gauges of a node since its start. Other threads read them while they are updated.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use crate::memory::MemoryGauges;
use crate::reasons::{ByReason, CloseReason, RefuseReason, RetryReason};
use crate::waits::InputWaits;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Its value or acknowledgement was passed on in full.
    Served,
    /// It was refused: retrying is harmless.
    Refused,
    /// It ended in any other way.
    Failed,
}

/// Counts of ended requests of one class.
#[derive(Debug, Default)]
pub(crate) struct EndCounts {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
}

/// Counters and gauges of one process, starting from 0.
#[derive(Debug)]
pub struct Metrics {
    pub(crate) classes: Vec<(String, EndCounts)>,
    pub(crate) in_flight: AtomicU64,
    pub(crate) attempts: AtomicU64,
    pub(crate) servers_known: AtomicU64,
    pub(crate) servers_excluded: AtomicU64,
    pub(crate) origin_calls_out: AtomicU64,
    pub(crate) origin_calls_limit: AtomicU64,
    pub(crate) list_age_ms: AtomicU64,
    list_revision: AtomicU64,
    pub(crate) list_calls_failed: AtomicU64,
    pub(crate) connects: AtomicU64,
    pub(crate) connects_refused: AtomicU64,
    pub(crate) unasked_answers: AtomicU64,
    pub(crate) answers_doubted: AtomicU64,
    pub(crate) doubts_confirmed: AtomicU64,
    pub(crate) doubts_refuted: AtomicU64,
    pub(crate) answers_held_back: AtomicU64,
    pub(crate) resident_bytes: AtomicU64,
    pub(crate) client_commands: AtomicU64,
    pub(crate) client_bytes: AtomicU64,
    /// How long inputs wait for the decision module.
    pub input_waits: InputWaits,
    /// Memory held for clients and servers.
    pub memory: Arc<MemoryGauges>,
    /// Ended connections of clients.
    pub closed: ByReason<CloseReason>,
    /// Refused requests.
    pub refusals: ByReason<RefuseReason>,
    /// Attempts of a request beyond its first.
    pub retries: ByReason<RetryReason>,
}

/// Counts of answers from cache servers that were, or may have been, duplicates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DoubtedAnswers {
    /// Connections on which a server sent data that no command had asked for.
    pub unasked: u64,
    /// Answers that were not accepted because they may have been duplicates.
    pub doubted: u64,
    /// Doubted answers that proved to be genuine.
    pub confirmed: u64,
    /// Doubted answers that proved to be duplicates.
    pub refuted: u64,
    /// Answers that were handed on later, because one more might have followed them.
    pub held_back: u64,
}

impl std::fmt::Display for DoubtedAnswers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let DoubtedAnswers { unasked, doubted, confirmed, refuted, held_back } = self;
        write!(f, "{unasked} unasked, {doubted} doubted ({confirmed} confirmed, {refuted} refuted), ")?;
        write!(f, "{held_back} held back")
    }
}

/// The gauges that a node reports at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Cache servers in the list of servers.
    pub servers_known: usize,
    /// Cache servers that the node avoids now.
    pub servers_excluded: usize,
    /// Calls out at the origin.
    pub origin_calls_out: u32,
    /// The most calls that may be out at the origin now.
    pub origin_calls_limit: u32,
    /// Time since discovery last answered, or since the start.
    pub list_age: Duration,
}

impl Metrics {
    /// All values at 0, with every class present.
    pub fn new<S: Into<String>>(classes: impl IntoIterator<Item = S>) -> Self {
        Metrics {
            classes: classes.into_iter().map(|name| (name.into(), EndCounts::default())).collect(),
            in_flight: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
            servers_known: AtomicU64::new(0),
            servers_excluded: AtomicU64::new(0),
            origin_calls_out: AtomicU64::new(0),
            origin_calls_limit: AtomicU64::new(0),
            list_age_ms: AtomicU64::new(0),
            list_revision: AtomicU64::new(0),
            list_calls_failed: AtomicU64::new(0),
            connects: AtomicU64::new(0),
            connects_refused: AtomicU64::new(0),
            unasked_answers: AtomicU64::new(0),
            answers_doubted: AtomicU64::new(0),
            doubts_confirmed: AtomicU64::new(0),
            doubts_refuted: AtomicU64::new(0),
            answers_held_back: AtomicU64::new(0),
            resident_bytes: AtomicU64::new(0),
            client_commands: AtomicU64::new(0),
            client_bytes: AtomicU64::new(0),
            input_waits: InputWaits::default(),
            memory: Arc::default(),
            closed: ByReason::default(),
            refusals: ByReason::default(),
            retries: ByReason::default(),
        }
    }

    /// A request of a class (by its index) was accepted.
    pub fn request_started(self: &Arc<Self>, class: usize) -> RequestTicket {
        self.in_flight.fetch_add(1, Relaxed);
        RequestTicket { metrics: self.clone(), class, requests: 1 }
    }

    /// An attempt was written to a cache server or to the origin.
    pub fn attempt_sent(&self) {
        self.attempts.fetch_add(1, Relaxed);
    }

    /// A command of a client was complete, whatever it asks for.
    pub fn client_command(&self) {
        self.client_commands.fetch_add(1, Relaxed);
    }

    /// Bytes were read from a client.
    pub fn client_bytes_read(&self, bytes: usize) {
        self.client_bytes.fetch_add(bytes as u64, Relaxed);
    }

    /// A call to discovery failed.
    pub fn list_call_failed(&self) {
        self.list_calls_failed.fetch_add(1, Relaxed);
    }

    /// A list from discovery with this revision was applied.
    pub fn list_applied(&self, revision: u64) {
        self.list_revision.store(revision, Relaxed);
    }

    /// The revision of the last applied list; 0 before any.
    pub fn list_revision(&self) -> u64 {
        self.list_revision.load(Relaxed)
    }

    /// The most calls that the node may have out at the origin, as last reported.
    pub fn origin_calls_limit(&self) -> u64 {
        self.origin_calls_limit.load(Relaxed)
    }

    /// A connection to a cache server was started.
    pub fn connect_started(&self) {
        self.connects.fetch_add(1, Relaxed);
    }

    /// A cache server refused a connection.
    pub fn connect_refused(&self) {
        self.connects_refused.fetch_add(1, Relaxed);
    }

    /// A cache server sent data on a connection with no command outstanding.
    pub fn unasked_answer(&self) {
        self.unasked_answers.fetch_add(1, Relaxed);
    }

    /// An answer of a cache server was not accepted because it may be a duplicate; its command is sent again.
    pub fn answer_doubted(&self) {
        self.answers_doubted.fetch_add(1, Relaxed);
    }

    /// A doubted answer was genuine: the same value came again on a separate connection.
    pub fn doubt_confirmed(&self) {
        self.doubts_confirmed.fetch_add(1, Relaxed);
    }

    /// A doubted answer was a duplicate: another value came on a separate connection.
    pub fn doubt_refuted(&self) {
        self.doubts_refuted.fetch_add(1, Relaxed);
    }

    /// An answer of a cache server was held back because it may belong to the previous command.
    pub fn answer_held_back(&self) {
        self.answers_held_back.fetch_add(1, Relaxed);
    }

    /// Counts of duplicate and possibly duplicate answers since the start.
    pub fn doubted_answers(&self) -> DoubtedAnswers {
        DoubtedAnswers {
            unasked: self.unasked_answers.load(Relaxed),
            doubted: self.answers_doubted.load(Relaxed),
            confirmed: self.doubts_confirmed.load(Relaxed),
            refuted: self.doubts_refuted.load(Relaxed),
            held_back: self.answers_held_back.load(Relaxed),
        }
    }

    /// Sets the resident memory of the process, without its program and files.
    pub fn set_resident_bytes(&self, bytes: u64) {
        self.resident_bytes.store(bytes, Relaxed);
    }

    /// Sets all gauges.
    pub fn set_gauges(&self, gauges: Gauges) {
        self.servers_known.store(gauges.servers_known as u64, Relaxed);
        self.servers_excluded.store(gauges.servers_excluded.min(gauges.servers_known) as u64, Relaxed);
        self.origin_calls_out.store(gauges.origin_calls_out.into(), Relaxed);
        self.origin_calls_limit.store(gauges.origin_calls_limit.into(), Relaxed);
        self.list_age_ms.store(gauges.list_age.as_millis() as u64, Relaxed);
    }

    /// Requests that were accepted and have not ended.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }
}

/// Accepted requests of one class, counted once when they end. Dropped without an outcome, they count as abandoned.
#[derive(Debug)]
pub struct RequestTicket {
    metrics: Arc<Metrics>,
    class: usize,
    requests: u64,
}

impl RequestTicket {
    /// Adds the requests of another ticket of the same class, which will end in the same way.
    pub fn absorb(&mut self, mut other: RequestTicket) {
        debug_assert_eq!(self.class, other.class, "tickets of different classes");
        self.requests += std::mem::take(&mut other.requests);
    }

    /// Index of the class.
    pub fn class(&self) -> usize {
        self.class
    }

    /// Number of requests.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Counts how the requests ended.
    pub fn end(self, end: RequestEnd) {
        if let Some((_, ends)) = self.metrics.classes.get(self.class) {
            let count = match end {
                RequestEnd::Served => &ends.served,
                RequestEnd::Refused => &ends.refused,
                RequestEnd::Failed => &ends.failed,
            };
            count.fetch_add(self.requests, Relaxed);
        }
    }
}

impl Drop for RequestTicket {
    fn drop(&mut self) {
        self.metrics.in_flight.fetch_sub(self.requests, Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_of_one_class_end_together_and_each_is_counted() {
        let metrics = Arc::new(Metrics::new(["read", "write"]));
        let mut reads = metrics.request_started(0);
        reads.absorb(metrics.request_started(0));
        let write = metrics.request_started(1);
        assert_eq!((reads.requests(), write.requests(), metrics.in_flight()), (2, 1, 3));
        reads.end(RequestEnd::Refused);
        assert_eq!(metrics.in_flight(), 1);
        drop(write);
        assert_eq!(metrics.in_flight(), 0);
        let refused: Vec<_> = metrics.classes.iter().map(|(_, ends)| ends.refused.load(Relaxed)).collect();
        assert_eq!(refused, [2, 0]);
    }
}
