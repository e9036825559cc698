//! What a node has done since its start. Read from other threads while it is counted.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
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
pub struct Figures {
    pub(crate) classes: Vec<(String, Ends)>,
    pub(crate) in_flight: AtomicU64,
    pub(crate) attempts: AtomicU64,
    pub(crate) known: AtomicU64,
    pub(crate) excluded: AtomicU64,
}

impl Figures {
    /// All figures at 0, each class present.
    pub fn new<S: Into<String>>(classes: impl IntoIterator<Item = S>) -> Self {
        Figures {
            classes: classes.into_iter().map(|name| (name.into(), Ends::default())).collect(),
            in_flight: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
            known: AtomicU64::new(0),
            excluded: AtomicU64::new(0),
        }
    }

    /// A request of a class, by its place, was taken.
    pub fn taken(self: &Arc<Self>, class: usize) -> Ticket {
        self.in_flight.fetch_add(1, Relaxed);
        Ticket { figures: self.clone(), class }
    }

    /// An attempt was written to a cache server or to the origin.
    pub fn attempt(&self) {
        self.attempts.fetch_add(1, Relaxed);
    }

    /// How many cache servers the list has, and how many of them the node avoids.
    pub fn servers(&self, known: usize, excluded: usize) {
        self.known.store(known as u64, Relaxed);
        self.excluded.store(excluded.min(known) as u64, Relaxed);
    }

    /// Requests taken and not ended.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }
}

/// A request that was taken. It is counted once, by the way it ends; dropped without an end it was abandoned.
#[derive(Debug)]
pub struct Ticket {
    figures: Arc<Figures>,
    class: usize,
}

impl Ticket {
    /// It ended.
    pub fn end(self, end: End) {
        if let Some((_, ends)) = self.figures.classes.get(self.class) {
            let count = match end {
                End::Served => &ends.served,
                End::Refused => &ends.refused,
                End::Failed => &ends.failed,
            };
            count.fetch_add(1, Relaxed);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.figures.in_flight.fetch_sub(1, Relaxed);
    }
}
