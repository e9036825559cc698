//! Spans that all machines share.

use crate::Millis;

/// Spans of the leases, the same at every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long a lease lasts at its grantor: what a dead holder had comes back after this, and no sooner.
    pub length: Millis,
    /// The window of calls: in any span of this length no more are begun than the permits say.
    pub window: Millis,
    /// By how many thousandths a clock may run faster or slower than true time; at most 100.
    pub drift: u64,
    /// After this long without an answer a holder turns to the next grantor.
    pub reply: Millis,
    /// The shortest pause before a holder asks again for what it did not get.
    pub retry: Millis,
    /// The longest such pause.
    pub retry_most: Millis,
}

/// Clocks show whole milliseconds: the span between two values may be longer by up to one.
const GRAIN: Millis = 1;

impl Default for Timing {
    /// A lease lasts three of the longest calls of 10 s; answers between sites come within 400 ms; the pauses keep a holder that gets
    /// nothing below one question a second.
    fn default() -> Self {
        Timing { length: 30_000, window: 1_000, drift: 5, reply: 1_000, retry: 2_000, retry_most: 30_000 }
    }
}

impl Timing {
    /// How long a holder may use a lease of this length, by its own clock, from before it asked: a holder's slow clock and a grantor's fast
    /// one must not part them, nor that each shows whole milliseconds.
    pub fn usable(&self, length: Millis) -> Millis {
        length.saturating_sub((2 * length * self.drift).div_ceil(1_000) + 2 * GRAIN)
    }

    /// What a clock must show before this span of true time has surely passed.
    pub fn surely_passed(&self, span: Millis) -> Millis {
        span + (span * self.drift).div_ceil(1_000) + GRAIN
    }

    /// How much true time may pass while a clock shows this span.
    pub fn at_most_passed(&self, span: Millis) -> Millis {
        span + (span * self.drift).div_ceil(1_000 - self.drift.min(999)) + GRAIN
    }
}
