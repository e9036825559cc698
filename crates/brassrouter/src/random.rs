//! The module's own random numbers.

use oorandom::Rand64;
use serde::{Deserialize, Serialize};

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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_same_seed_gives_the_same_numbers_and_another_others() {
        let draw = |seed| {
            let mut random = Random::new(seed);
            [0; 8].map(|_| random.between((2.0, 3.0)))
        };
        assert_eq!(draw(7), draw(7));
        assert_ne!(draw(7), draw(8));
        assert!(draw(7).iter().all(|n| (2.0..3.0).contains(n)));
    }
}
