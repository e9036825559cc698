//! Readings of the host's monotonic clock: the only proof of a record's age.
//!
//! The wall clock may be stepped between two incarnations of a node or during one. The monotonic clock is
//! never stepped, but its readings are comparable only within one boot of the host.

use brassrouter::Micros;
use serde::{Deserialize, Serialize};

/// A reading of the monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MonotonicReading {
    /// Identifies the boot of the host.
    pub boot_id: u128,
    /// Microseconds on the monotonic clock of that boot.
    pub at: Micros,
}

impl MonotonicReading {
    /// The reading `by` microseconds later.
    pub fn later(self, by: Micros) -> MonotonicReading {
        MonotonicReading { at: self.at.saturating_add(by), ..self }
    }

    /// Time since `earlier`; `None` if that was in another boot or lies in the future.
    pub fn since(self, earlier: MonotonicReading) -> Option<Micros> {
        if self.boot_id == earlier.boot_id { self.at.checked_sub(earlier.at) } else { None }
    }
}

/// Readings of both clocks at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// The node's clock, which timestamps events: wall time at the node's start plus monotonic time since.
    pub clock: Micros,
    /// The monotonic clock, if it can be read.
    pub monotonic: Option<MonotonicReading>,
}
