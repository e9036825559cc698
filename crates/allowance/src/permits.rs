//! What may be called, and its division into a leased part and one that rotates.

use serde::{Deserialize, Serialize};

/// An allowance: both limits hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Permits {
    /// Calls that may be outstanding at once.
    pub outstanding: u32,
    /// Calls that may be begun in any window.
    pub calls: u32,
}

impl Permits {
    /// Nothing.
    pub const NONE: Permits = Permits { outstanding: 0, calls: 0 };

    /// Whether no call can be made with it: one limit is 0.
    pub fn is_useless(self) -> bool {
        self.outstanding == 0 || self.calls == 0
    }

    /// The lower of each limit.
    pub fn min(self, other: Permits) -> Permits {
        Permits { outstanding: self.outstanding.min(other.outstanding), calls: self.calls.min(other.calls) }
    }

    /// The higher of each limit.
    pub fn max(self, other: Permits) -> Permits {
        Permits { outstanding: self.outstanding.max(other.outstanding), calls: self.calls.max(other.calls) }
    }

    /// Both together.
    pub fn plus(self, other: Permits) -> Permits {
        Permits {
            outstanding: self.outstanding.saturating_add(other.outstanding),
            calls: self.calls.saturating_add(other.calls),
        }
    }

    /// What is left without another; never below 0.
    pub fn less(self, other: Permits) -> Permits {
        Permits {
            outstanding: self.outstanding.saturating_sub(other.outstanding),
            calls: self.calls.saturating_sub(other.calls),
        }
    }

    /// Whether both limits are within another's.
    pub fn within(self, other: Permits) -> bool {
        self.outstanding <= other.outstanding && self.calls <= other.calls
    }
}

/// An allowance in its two parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    /// What the root leases.
    pub leased: Permits,
    /// What rotates over all nodes.
    pub rotating: Permits,
}

impl Budget {
    /// Divides an allowance. Of the whole, what nodes without leases (of an older program) may have at most is taken off first; of the rest,
    /// so many thousandths rotate, rounded down.
    pub fn divide(whole: Permits, unleased_nodes: Permits, rotating_thousandths: u32) -> Budget {
        let rest = whole.less(unleased_nodes);
        let part =
            |limit: u32| (u64::from(limit) * u64::from(rotating_thousandths.min(1_000)) / 1_000) as u32;
        let rotating = Permits { outstanding: part(rest.outstanding), calls: part(rest.calls) };
        Budget { leased: rest.less(rotating), rotating }
    }
}
