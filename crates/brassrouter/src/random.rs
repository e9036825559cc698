//! Seeded random numbers, and backoff with random jitter.

use oorandom::Rand64;
use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// Random numbers that depend on the seed alone; holds the state of the generator.
#[derive(Serialize, Deserialize)]
pub struct Random((u128, u128));

impl Random {
    /// A generator with a seed.
    pub fn new(seed: u64) -> Self {
        Random(Rand64::new(seed.into()).state())
    }

    /// A random number in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        let mut source = Rand64::from_state(self.0);
        let unit = source.rand_float();
        self.0 = source.state();
        unit
    }

    /// A random number in `[low, high)`.
    pub fn between(&mut self, (low, high): (f64, f64)) -> f64 {
        low + (high - low) * self.unit()
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::new(0)
    }
}

/// Most doublings of a pause.
const MAX_DOUBLINGS: u32 = 3;

/// Exponential backoff with jitter; counts consecutive failures.
#[derive(Default, Serialize, Deserialize)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and returns the pause after it: `first`, doubled with each further failure up to
    /// `max`, times a random factor from 0.5 to 1.5, so that nodes that failed together do not retry
    /// together.
    pub fn pause(&mut self, first: Micros, max: Micros, random: &mut Random) -> Micros {
        let pause = (first << self.failures.min(MAX_DOUBLINGS)).min(max);
        self.failures += 1;
        (pause as f64 * (0.5 + random.unit())) as Micros
    }
}

#[cfg(test)]
#[path = "../tests/unit/random.rs"]
mod tests;
