//! The module's own random numbers, and pauses spread by them.

use oorandom::Rand64;
use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// Random numbers that depend on the seed alone.
#[derive(Serialize, Deserialize)]
pub struct Random((u128, u128));

impl Random {
    /// A source with a seed.
    pub fn new(seed: u64) -> Self {
        Random(Rand64::new(seed.into()).state())
    }

    /// A number from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        let mut source = Rand64::from_state(self.0);
        let unit = source.rand_float();
        self.0 = source.state();
        unit
    }

    /// A number between two.
    pub fn between(&mut self, (low, high): (f64, f64)) -> f64 {
        low + (high - low) * self.unit()
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::new(0)
    }
}

/// How often a pause doubles at the most.
const DOUBLINGS: u32 = 3;

/// Failures in a row, and the pause after each.
#[derive(Default, Serialize, Deserialize)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The pause after one more failure: `first` after the first one, doubled with each that follows, never over `most`, and
    /// from half of that to one and a half, so that those who failed together do not come back together.
    pub fn pause(&mut self, first: Micros, most: Micros, random: &mut Random) -> Micros {
        let pause = (first << self.failures.min(DOUBLINGS)).min(most);
        self.failures += 1;
        (pause as f64 * (0.5 + random.unit())) as Micros
    }
}

#[cfg(test)]
#[path = "../tests/unit/random.rs"]
mod tests;
