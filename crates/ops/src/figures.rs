//! What a node has done since its start. Read from other threads while it is counted.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use crate::reasons::{ByReason, CloseReason, RefuseReason, RetryReason};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Its value or receipt was passed on whole.
    Served,
    /// It was turned away: trying again is harmless.
    Refused,
    /// Anything else.
    Failed,
}

/// Of one class.
#[derive(Debug, Default)]
pub(crate) struct Ends {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
}

/// The figures of one process, from 0.
#[derive(Debug)]
pub struct Metrics {
    pub(crate) classes: Vec<(String, Ends)>,
    pub(crate) in_flight: AtomicU64,
    pub(crate) attempts: AtomicU64,
    pub(crate) known: AtomicU64,
    pub(crate) excluded: AtomicU64,
    pub(crate) origin_out: AtomicU64,
    pub(crate) origin_most: AtomicU64,
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
    /// Connections of clients that have ended.
    pub closed: ByReason<CloseReason>,
    /// Requests that were refused.
    pub refusals: ByReason<RefuseReason>,
    /// Attempts of a request beyond its first.
    pub retries: ByReason<RetryReason>,
}

/// Answers of cache servers that came twice, or may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DoubtedAnswers {
    /// Connections on which something came that nobody had asked for.
    pub unasked: u64,
    /// Answers that were not taken, for they may be repeats.
    pub doubted: u64,
    /// Of these, the ones that were true.
    pub confirmed: u64,
    /// Of these, the ones that were repeats.
    pub refuted: u64,
    /// Answers that were handed on later, for one more might have come behind them.
    pub held_back: u64,
}

impl std::fmt::Display for DoubtedAnswers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let DoubtedAnswers { unasked, doubted, confirmed, refuted, held_back } = self;
        write!(f, "{unasked} unasked, {doubted} doubted ({confirmed} confirmed, {refuted} refuted), ")?;
        write!(f, "{held_back} held back")
    }
}

/// What a node holds at a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Cache servers in the list.
    pub servers_known: usize,
    /// Of these, the ones that it avoids.
    pub servers_excluded: usize,
    /// Calls out at the origin.
    pub origin_calls_out: u32,
    /// As many as it may have out there now.
    pub origin_calls_limit: u32,
    /// Time since discovery last answered, or since the start.
    pub list_age: Duration,
}

impl Metrics {
    /// All figures at 0, each class present.
    pub fn new<S: Into<String>>(classes: impl IntoIterator<Item = S>) -> Self {
        Metrics {
            classes: classes.into_iter().map(|name| (name.into(), Ends::default())).collect(),
            in_flight: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
            known: AtomicU64::new(0),
            excluded: AtomicU64::new(0),
            origin_out: AtomicU64::new(0),
            origin_most: AtomicU64::new(0),
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
            closed: ByReason::default(),
            refusals: ByReason::default(),
            retries: ByReason::default(),
        }
    }

    /// A request of a class, by its place, was taken.
    pub fn request_started(self: &Arc<Self>, class: usize) -> RequestTicket {
        self.in_flight.fetch_add(1, Relaxed);
        RequestTicket { figures: self.clone(), class }
    }

    /// An attempt was written to a cache server or to the origin.
    pub fn attempt_sent(&self) {
        self.attempts.fetch_add(1, Relaxed);
    }

    /// A call to discovery failed.
    pub fn list_call_failed(&self) {
        self.list_calls_failed.fetch_add(1, Relaxed);
    }

    /// A list of discovery, of this revision, was taken in.
    pub fn list_applied(&self, revision: u64) {
        self.list_revision.store(revision, Relaxed);
    }

    /// The revision of the list that was taken in last; 0 before any.
    pub fn list_revision(&self) -> u64 {
        self.list_revision.load(Relaxed)
    }

    /// As many calls as the node may have out at the origin, as it last told.
    pub fn origin_calls_limit(&self) -> u64 {
        self.origin_most.load(Relaxed)
    }

    /// A connection to a cache server was begun.
    pub fn connect_started(&self) {
        self.connects.fetch_add(1, Relaxed);
    }

    /// One of them was refused.
    pub fn connect_refused(&self) {
        self.connects_refused.fetch_add(1, Relaxed);
    }

    /// A cache server sent something while nothing was asked on the connection.
    pub fn unasked_answer(&self) {
        self.unasked_answers.fetch_add(1, Relaxed);
    }

    /// A cache server's answer was not taken, for it may be the repeat of an earlier one; its command is sent again.
    pub fn answer_doubted(&self) {
        self.answers_doubted.fetch_add(1, Relaxed);
    }

    /// What was doubted was true: it came again on a connection of its own.
    pub fn doubt_confirmed(&self) {
        self.doubts_confirmed.fetch_add(1, Relaxed);
    }

    /// What was doubted was a repeat: another value came on a connection of its own.
    pub fn doubt_refuted(&self) {
        self.doubts_refuted.fetch_add(1, Relaxed);
    }

    /// An answer of a cache server was held back, for it may be that of the command before its own.
    pub fn answer_held_back(&self) {
        self.answers_held_back.fetch_add(1, Relaxed);
    }

    /// The answers that came twice, or may have, since the start.
    pub fn doubted_answers(&self) -> DoubtedAnswers {
        DoubtedAnswers {
            unasked: self.unasked_answers.load(Relaxed),
            doubted: self.answers_doubted.load(Relaxed),
            confirmed: self.doubts_confirmed.load(Relaxed),
            refuted: self.doubts_refuted.load(Relaxed),
            held_back: self.answers_held_back.load(Relaxed),
        }
    }

    /// What the node holds now.
    pub fn set_gauges(&self, now: Gauges) {
        self.known.store(now.servers_known as u64, Relaxed);
        self.excluded.store(now.servers_excluded.min(now.servers_known) as u64, Relaxed);
        self.origin_out.store(now.origin_calls_out.into(), Relaxed);
        self.origin_most.store(now.origin_calls_limit.into(), Relaxed);
        self.list_age_ms.store(now.list_age.as_millis() as u64, Relaxed);
    }

    /// Requests taken and not ended.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }
}

/// A request that was taken. It is counted once, by the way it ends; dropped without an end it was abandoned.
#[derive(Debug)]
pub struct RequestTicket {
    figures: Arc<Metrics>,
    class: usize,
}

impl RequestTicket {
    /// It ended.
    pub fn end(self, end: RequestEnd) {
        if let Some((_, ends)) = self.figures.classes.get(self.class) {
            let count = match end {
                RequestEnd::Served => &ends.served,
                RequestEnd::Refused => &ends.refused,
                RequestEnd::Failed => &ends.failed,
            };
            count.fetch_add(1, Relaxed);
        }
    }
}

impl Drop for RequestTicket {
    fn drop(&mut self) {
        self.figures.in_flight.fetch_sub(1, Relaxed);
    }
}
