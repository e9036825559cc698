//! Readings of the machine's monotonic clock: the only proof of how old a record is.
//!
//! The wall clock may be stepped between two incarnations of a node, or in the middle of one. The monotonic clock can't,
//! but its readings compare within one boot of the machine only.

use brassrouter::Micros;
use serde::{Deserialize, Serialize};

/// A reading of the monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MonotonicReading {
    /// Identifies the boot of the machine.
    pub boot_id: u128,
    /// Microseconds on the monotonic clock of that boot.
    pub at: Micros,
}

impl MonotonicReading {
    /// The reading so many microseconds later.
    pub fn later(self, by: Micros) -> MonotonicReading {
        MonotonicReading { at: self.at.saturating_add(by), ..self }
    }

    /// How long ago `earlier` was; `None` for another boot, or one that lies ahead.
    pub fn since(self, earlier: MonotonicReading) -> Option<Micros> {
        if self.boot_id == earlier.boot_id { self.at.checked_sub(earlier.at) } else { None }
    }
}

/// Both clocks at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// The node's clock, in which events are told: wall time at its start and monotonic time from there.
    pub clock: Micros,
    /// The monotonic clock, where it can be read.
    pub monotonic: Option<MonotonicReading>,
}
