//! Jitter for pauses, so that holders don't send requests in step.

use crate::Millis;

/// A xorshift generator, used for jitter only.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Adds a random part of up to half the duration.
    pub(crate) fn with_jitter(&mut self, duration: Millis) -> Millis {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        duration + (self.0 >> 11) % (duration / 2 + 1)
    }
}
