//! Ids of requests that must not run twice and were forwarded: a request that comes again with such an id, on another
//! connection or at another process of the node, is not forwarded again.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};

use tokio::sync::watch;

/// Ids that are kept. Of more, the oldest are forgotten.
const MAX_IDS: usize = 16 * 1024;

/// The hash of a request's id.
pub type IdHash = u64;

/// The number of an entry, in the order of their arrival.
type Sequence = u64;

/// What is known of one id.
#[derive(Clone, Copy, Debug)]
struct Entry {
    sequence: Sequence,
    /// Attempts that are not known never to have run.
    attempts: u32,
}

#[derive(Debug, Default)]
struct Ids {
    entries: HashMap<IdHash, Entry>,
    /// In the order of their arrival; those without an entry were removed.
    order: VecDeque<(Sequence, IdHash)>,
    last_sequence: Sequence,
}

impl Ids {
    /// Adds an attempt of an id; whether the id is new.
    fn add(&mut self, id: IdHash) -> bool {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.attempts = entry.attempts.saturating_add(1);
            return false;
        }
        self.last_sequence += 1;
        self.entries.insert(id, Entry { sequence: self.last_sequence, attempts: 1 });
        self.order.push_back((self.last_sequence, id));
        if self.order.len() > MAX_IDS {
            self.remove_oldest();
        }
        true
    }

    fn remove_oldest(&mut self) {
        let Some((sequence, id)) = self.order.pop_front() else { return };
        if self.entries.get(&id).is_some_and(|entry| entry.sequence == sequence) {
            self.entries.remove(&id);
        }
    }
}

/// The ids of one process, and those that another process of the node has reported.
#[derive(Debug)]
pub struct ForwardedIds {
    ids: RefCell<Ids>,
    newest: watch::Sender<Sequence>,
}

impl Default for ForwardedIds {
    fn default() -> Self {
        ForwardedIds { ids: RefCell::default(), newest: watch::channel(0).0 }
    }
}

impl ForwardedIds {
    /// Whether a request with this id may have run.
    pub fn contains(&self, id: IdHash) -> bool {
        self.ids.borrow().entries.contains_key(&id)
    }

    /// Records that an attempt of a request with this id is sent.
    pub fn attempt_sent(&self, id: IdHash) {
        self.add(id);
    }

    /// Records that an attempt turned out never to have run.
    pub fn attempt_never_ran(&self, id: IdHash) {
        let mut ids = self.ids.borrow_mut();
        let Some(entry) = ids.entries.get_mut(&id) else { return };
        entry.attempts -= 1;
        if entry.attempts == 0 {
            ids.entries.remove(&id);
        }
    }

    /// Records ids that another process of the node has forwarded.
    pub fn learn(&self, ids: &[IdHash]) {
        ids.iter().filter(|id| !self.contains(**id)).for_each(|id| self.add(*id));
    }

    fn add(&self, id: IdHash) {
        if self.ids.borrow_mut().add(id) {
            self.newest.send_replace(self.ids.borrow().last_sequence);
        }
    }

    /// The ids that were not seen by this reader yet.
    pub fn reader(&self) -> IdReader {
        IdReader { seen: 0, newest: self.newest.subscribe() }
    }
}

/// Reads ids as they are added.
#[derive(Debug)]
pub struct IdReader {
    seen: Sequence,
    newest: watch::Receiver<Sequence>,
}

impl IdReader {
    /// Waits until there are ids that it has not taken. Cancellation safe.
    pub async fn changed(&mut self) {
        let seen = self.seen;
        if self.newest.wait_for(|newest| *newest > seen).await.is_err() {
            // Nothing more is added.
            std::future::pending().await
        }
    }

    /// Takes the ids added since the last call; at first all of them.
    pub fn take(&mut self, ids: &ForwardedIds) -> Vec<IdHash> {
        let ids = ids.ids.borrow();
        let start = ids.order.partition_point(|(sequence, _)| *sequence <= self.seen);
        self.seen = ids.last_sequence;
        let is_current = |(sequence, id): &&(Sequence, IdHash)| {
            ids.entries.get(id).is_some_and(|entry| entry.sequence == *sequence)
        };
        ids.order.range(start..).filter(is_current).map(|(_, id)| *id).collect()
    }
}

#[cfg(test)]
#[path = "../tests/unit/forwarded_ids.rs"]
mod tests;
