//! Durations that all processes share.

use crate::Millis;

/// Durations of the lease protocol, the same at every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Duration of a lease at its grantor: permits of a dead holder become available after this time and no
    /// sooner.
    pub lease_duration: Millis,
    /// Window of the call limit: in any period of this length no more calls are begun than the permits allow.
    pub window: Millis,
    /// By how many thousandths a clock may run faster or slower than true time; at most 100.
    pub drift_per_mille: u64,
    /// Time without a reply after which a holder turns to the next grantor.
    pub reply_timeout: Millis,
    /// Shortest pause before a holder requests again what it did not get.
    pub min_retry: Millis,
    /// Longest such pause.
    pub max_retry: Millis,
}

/// Clocks show whole milliseconds, so the true time between two values may be longer by up to one.
const CLOCK_RESOLUTION: Millis = 1;

impl Default for Timing {
    /// A lease lasts three times the longest call of 10 s; replies between sites arrive within 400 ms; the
    /// pauses keep a holder that gets nothing below one request per second.
    fn default() -> Self {
        Timing {
            lease_duration: 30_000,
            window: 1_000,
            drift_per_mille: 5,
            reply_timeout: 1_000,
            min_retry: 2_000,
            max_retry: 30_000,
        }
    }
}

impl Timing {
    /// How long a holder may use a lease of this duration, by its own clock, from before it sent the request.
    /// It is shortened so that a slow clock of the holder, a fast clock of the grantor and the resolution of
    /// both do no harm.
    pub fn usable_duration(&self, duration: Millis) -> Millis {
        duration.saturating_sub((2 * duration * self.drift_per_mille).div_ceil(1_000) + 2 * CLOCK_RESOLUTION)
    }

    /// What a clock must show before this much true time has certainly elapsed.
    pub fn certainly_elapsed(&self, duration: Millis) -> Millis {
        duration + (duration * self.drift_per_mille).div_ceil(1_000) + CLOCK_RESOLUTION
    }

    /// How much true time may elapse while a clock shows this duration.
    pub fn max_elapsed(&self, duration: Millis) -> Millis {
        duration
            + (duration * self.drift_per_mille).div_ceil(1_000 - self.drift_per_mille.min(999))
            + CLOCK_RESOLUTION
    }
}
