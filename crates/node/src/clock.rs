//! The clock of the decision module.

use brassrouter::Micros;
use mothpier_host::Host;
use tokio::time::Instant;

/// Maximum age of a handed-over state when the successor reads it. A larger difference between the wall-clock
/// times is a clock step.
const MAX_HANDOVER_AGE_US: Micros = 250_000;

/// A monotonic clock that starts at the wall-clock time of the process start. Wall clocks can be wrong or
/// stepped, so timestamps taken by other machines are never compared with it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    wall_start: Micros,
}

impl Clock {
    /// Starts at the wall-clock time of this machine.
    pub fn start(host: &impl Host) -> Self {
        Clock::starting_at(host.unix_time().as_micros() as Micros)
    }

    /// Starts now, at this wall-clock time.
    pub fn starting_at(wall_start: Micros) -> Self {
        Clock { start: Instant::now(), wall_start }
    }

    /// Continues the predecessor's clock from its last reading, since the wall clock may have been stepped
    /// between the two process starts.
    pub fn continued_from(self, last_reading: Micros) -> Self {
        let elapsed =
            self.wall_start.checked_sub(last_reading).filter(|elapsed| *elapsed <= MAX_HANDOVER_AGE_US);
        Clock { wall_start: last_reading + elapsed.unwrap_or_default(), ..self }
    }

    /// When it was started.
    pub fn started_at(&self) -> Instant {
        self.start
    }

    pub fn now(&self) -> Micros {
        self.wall_start + self.start.elapsed().as_micros() as Micros
    }
}

#[cfg(test)]
#[path = "../tests/unit/clock.rs"]
mod tests;
