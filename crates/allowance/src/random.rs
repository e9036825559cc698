//! Pauses that differ between holders.

use crate::Millis;

/// A xorshift generator: to spread pauses, nothing else.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A span between this one and half as much again.
    pub(crate) fn spread(&mut self, span: Millis) -> Millis {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        span + (self.0 >> 11) % (span / 2 + 1)
    }
}
