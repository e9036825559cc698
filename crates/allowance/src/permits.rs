//! Limits on calls, and their division into a leased and a rotating part.

use serde::{Deserialize, Serialize};

/// Two limits that both apply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Permits {
    /// Calls that may be outstanding at once.
    pub outstanding: u32,
    /// Calls that may be begun in any window.
    pub calls: u32,
}

impl Permits {
    /// No calls.
    pub const NONE: Permits = Permits { outstanding: 0, calls: 0 };

    /// Whether no call can be made: one limit is 0.
    pub fn allows_no_call(self) -> bool {
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

    /// The sum of each limit.
    pub fn plus(self, other: Permits) -> Permits {
        Permits {
            outstanding: self.outstanding.saturating_add(other.outstanding),
            calls: self.calls.saturating_add(other.calls),
        }
    }

    /// The difference of each limit, at least 0.
    pub fn minus(self, other: Permits) -> Permits {
        Permits {
            outstanding: self.outstanding.saturating_sub(other.outstanding),
            calls: self.calls.saturating_sub(other.calls),
        }
    }

    /// Whether both limits are at most those of `other`.
    pub fn is_within(self, other: Permits) -> bool {
        self.outstanding <= other.outstanding && self.calls <= other.calls
    }
}

/// The two parts of an allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    /// What the root leases.
    pub leased: Permits,
    /// What rotates over all nodes.
    pub rotating: Permits,
}

impl Budget {
    /// Divides an allowance. The maximum that nodes without leases (of an older program) may use is
    /// subtracted first; of the remainder, the given number of thousandths rotates, rounded down.
    pub fn split(allowance: Permits, unleased_nodes: Permits, rotating_thousandths: u32) -> Budget {
        let leasable = allowance.minus(unleased_nodes);
        let rotating_part =
            |limit: u32| (u64::from(limit) * u64::from(rotating_thousandths.min(1_000)) / 1_000) as u32;
        let rotating = Permits {
            outstanding: rotating_part(leasable.outstanding),
            calls: rotating_part(leasable.calls),
        };
        Budget { leased: leasable.minus(rotating), rotating }
    }
}
