//! Which keys are known to have which value, for values that several keys have.
//!
//! That a value is common says little of one key: it is believed for a key only once it was true for that very key. Kept for
//! all cache servers of a node together, for they store what the origin has.

use std::collections::{HashSet, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::repeats::Fingerprint;

/// Pairs of a key and a value that are remembered: some 100 KiB.
const MOST_PAIRS: usize = 4096;

/// Pairs of a key and its value, the latest [`MOST_PAIRS`].
#[derive(Default)]
pub(crate) struct KnownValues {
    pairs: HashSet<u64>,
    /// The same, the oldest first.
    order: VecDeque<u64>,
}

impl KnownValues {
    /// A key was given this value, in a way that leaves no doubt.
    pub(crate) fn insert(&mut self, key: &[u8], value: Fingerprint) {
        let pair = pair(key, value);
        if !self.pairs.insert(pair) {
            return;
        }
        if self.order.len() == MOST_PAIRS
            && let Some(oldest) = self.order.pop_front()
        {
            self.pairs.remove(&oldest);
        }
        self.order.push_back(pair);
    }

    /// Whether a key is known to have had this value.
    pub(crate) fn contains(&self, key: &[u8], value: Fingerprint) -> bool {
        self.pairs.contains(&pair(key, value))
    }
}

/// What a pair is kept as.
fn pair(key: &[u8], value: Fingerprint) -> u64 {
    xxh3_64_with_seed(key, value.as_seed())
}

#[cfg(test)]
#[path = "../tests/unit/known_values.rs"]
mod tests;
