//! How long inputs of the node wait between their arrival and the decision module.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// Upper bounds of the buckets, in milliseconds; a further bucket has all longer waits.
const BUCKET_BOUNDS_MS: [u64; 8] = [1, 5, 20, 50, 100, 250, 500, 1000];

/// Counts of waits by their length.
#[derive(Debug, Default)]
pub struct WaitHistogram {
    /// The last one has no upper bound.
    buckets: [AtomicU64; BUCKET_BOUNDS_MS.len() + 1],
    total_us: AtomicU64,
}

impl WaitHistogram {
    /// Counts one wait.
    pub fn record(&self, wait: Duration) {
        let bucket = BUCKET_BOUNDS_MS.partition_point(|bound| Duration::from_millis(*bound) < wait);
        self.buckets[bucket].fetch_add(1, Relaxed);
        self.total_us.fetch_add(wait.as_micros() as u64, Relaxed);
    }

    /// Sum of all waits.
    pub(crate) fn total(&self) -> Duration {
        Duration::from_micros(self.total_us.load(Relaxed))
    }

    /// The upper bound of each bucket with the number of waits up to it; the last bound is `None`, for all waits.
    pub(crate) fn cumulative(&self) -> impl Iterator<Item = (Option<Duration>, u64)> {
        let bounds = BUCKET_BOUNDS_MS.iter().map(|bound| Some(Duration::from_millis(*bound))).chain([None]);
        let counts = self.buckets.iter().scan(0, |sum, bucket| {
            *sum += bucket.load(Relaxed);
            Some(*sum)
        });
        bounds.zip(counts)
    }
}

/// Waits of the inputs of the node, by their source.
#[derive(Debug, Default)]
pub struct InputWaits {
    /// Requests, from their arrival at this machine until the decision module has them.
    pub requests: WaitHistogram,
    /// Events of cache servers and responses of the origin, from when they were read.
    pub servers: WaitHistogram,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wait_counts_in_the_first_bucket_that_holds_it_and_in_all_longer_ones() {
        let waits = WaitHistogram::default();
        for ms in [0, 1, 2, 500, 4000] {
            waits.record(Duration::from_millis(ms));
        }
        let counts: Vec<u64> = waits.cumulative().map(|(_, count)| count).collect();
        assert_eq!(counts, [2, 3, 3, 3, 3, 3, 4, 4, 5]);
        assert_eq!(waits.total(), Duration::from_millis(4503));
        assert_eq!(waits.cumulative().last().unwrap().0, None);
    }
}
