//! The figures that an operator may set, and the ranges in which they make sense.

use std::fmt;

use serde::Deserialize;

/// Figures of the detector and of the door. Shares are parts of 1, times are milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Repeats as a part of all arrivals from which they are a sign of a storm.
    pub repeats: f64,
    /// New connections as a multiple of the usual rate from which they are a sign.
    pub connections: f64,
    /// New connections a second below which they are none, whatever the usual rate is.
    pub least_connections: f64,
    /// Work for requests that were over, as a part of all work, from which it is a sign.
    pub wasted: f64,
    /// Present capacity of the fleet, as a part of what it has when warm, below which it is a sign.
    pub capacity: f64,
    /// Requests that end unserved, as a part of all arrivals, from which they are a sign.
    pub unserved: f64,
    /// Arrivals as a multiple of the usual rate from which there is growth, or a burst.
    pub growth: f64,
    /// The part of what is more than usual that makes it one tenant's burst, and of repeats one tenant's storm.
    pub one_tenant: f64,
    /// A sign that is there is gone below this part of its mark.
    pub gone_below: f64,
    /// Signs must last this long before the weather changes for the worse, in milliseconds.
    pub enter_ms: u64,
    /// ... and be gone this long before it changes for the better, in milliseconds.
    pub leave_ms: u64,
    /// The usual rates follow over this time, in milliseconds, while the weather is calm.
    pub usual_ms: u64,
    /// Connections accepted a second at most; 0 for no bound.
    pub accepts_per_s: f64,
    /// Connections accepted at once at most, where there is a bound.
    pub accepts_at_once: f64,
    /// Connections that have not sent a whole command yet, as a part of all that there may be.
    pub half_known: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            repeats: 0.2,
            connections: 4.0,
            least_connections: 50.0,
            wasted: 0.1,
            capacity: 0.7,
            unserved: 0.3,
            growth: 1.5,
            one_tenant: 0.7,
            gone_below: 0.5,
            enter_ms: 500,
            leave_ms: 3_000,
            usual_ms: 60_000,
            accepts_per_s: 0.0,
            accepts_at_once: 64.0,
            half_known: 0.5,
        }
    }
}

/// A figure outside the range in which it makes sense.
#[derive(Clone, Debug, PartialEq)]
pub struct Unusable {
    /// Its key.
    pub key: &'static str,
    /// Its value.
    pub value: f64,
    /// The least and the greatest value allowed.
    pub allowed: (f64, f64),
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} is not between {} and {}", self.key, self.value, self.allowed.0, self.allowed.1)
    }
}

impl std::error::Error for Unusable {}

impl Settings {
    /// Looks whether every figure makes sense.
    ///
    /// # Errors
    /// The first one that does not, with its value and its range.
    pub fn validate(&self) -> Result<(), Unusable> {
        let within = |key, value: f64, least: f64, most: f64| {
            let allowed = (least, most);
            if (least..=most).contains(&value) { Ok(()) } else { Err(Unusable { key, value, allowed }) }
        };
        within("repeats", self.repeats, 0.01, 1.0)?;
        within("connections", self.connections, 1.1, 1000.0)?;
        within("least_connections", self.least_connections, 1.0, 1e6)?;
        within("wasted", self.wasted, 0.01, 1.0)?;
        within("capacity", self.capacity, 0.01, 1.0)?;
        within("unserved", self.unserved, 0.01, 1.0)?;
        within("growth", self.growth, 1.05, 1000.0)?;
        within("one_tenant", self.one_tenant, 0.5, 1.0)?;
        within("gone_below", self.gone_below, 0.05, 0.95)?;
        within("enter_ms", self.enter_ms as f64, 100.0, 60_000.0)?;
        within("leave_ms", self.leave_ms as f64, self.enter_ms as f64, 600_000.0)?;
        within("usual_ms", self.usual_ms as f64, 5_000.0, 3_600_000.0)?;
        if self.accepts_per_s != 0.0 {
            within("accepts_per_s", self.accepts_per_s, 1.0, 1e6)?;
        }
        within("accepts_at_once", self.accepts_at_once, 1.0, 65_536.0)?;
        within("half_known", self.half_known, 0.05, 1.0)
    }
}
