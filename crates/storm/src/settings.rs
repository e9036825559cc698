//! The settings of an operator, and their valid ranges.

use std::fmt;

use serde::Deserialize;

/// Settings of the detector and of connection admission. Shares are fractions of 1, times are milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The share of repeats in all arrivals from which they are a sign of a storm.
    #[serde(rename = "repeats")]
    pub repeat_share: f64,
    /// New connections as a multiple of the baseline from which they are a sign.
    #[serde(rename = "connections")]
    pub connection_factor: f64,
    /// New connections a second below which they are no sign, whatever the baseline is.
    #[serde(rename = "least_connections")]
    pub min_connections_per_s: f64,
    /// The share of work for requests that were over in all work from which it is a sign.
    #[serde(rename = "wasted")]
    pub wasted_share: f64,
    /// Capacity of the cache servers relative to when they are warm, below which it is a sign.
    #[serde(rename = "capacity")]
    pub min_capacity: f64,
    /// Requests that end unserved, relative to arrivals, from which they are a sign.
    #[serde(rename = "unserved")]
    pub unserved_share: f64,
    /// Arrivals as a multiple of the baseline from which there is growth, or a burst.
    #[serde(rename = "growth")]
    pub arrival_factor: f64,
    /// The share of excess arrivals that makes a burst one tenant's, and of repeats that makes a storm one tenant's.
    #[serde(rename = "one_tenant")]
    pub dominant_tenant_share: f64,
    /// A sign disappears below this fraction of its threshold.
    #[serde(rename = "gone_below")]
    pub clear_factor: f64,
    /// How long signs must last before the load state changes for the worse, in milliseconds.
    pub enter_ms: u64,
    /// How long signs must be gone before the load state changes for the better, in milliseconds.
    pub leave_ms: u64,
    /// The time constant of the baselines, in milliseconds, while the load is normal or grows.
    #[serde(rename = "usual_ms")]
    pub baseline_ms: u64,
    /// The most connections accepted a second; 0 for no bound.
    pub accepts_per_s: f64,
    /// The most connections accepted at once, where there is a bound.
    #[serde(rename = "accepts_at_once")]
    pub accept_burst: f64,
    /// The share of all allowed connections that may be open without having sent a complete command.
    #[serde(rename = "half_known")]
    pub awaiting_command_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            repeat_share: 0.2,
            connection_factor: 4.0,
            min_connections_per_s: 50.0,
            wasted_share: 0.1,
            min_capacity: 0.7,
            unserved_share: 0.3,
            arrival_factor: 1.5,
            dominant_tenant_share: 0.7,
            clear_factor: 0.5,
            enter_ms: 500,
            leave_ms: 3_000,
            baseline_ms: 60_000,
            accepts_per_s: 0.0,
            accept_burst: 64.0,
            awaiting_command_share: 0.5,
        }
    }
}

/// A setting outside its valid range.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidSetting {
    /// The key.
    pub key: &'static str,
    /// The value.
    pub value: f64,
    /// The least and the greatest valid value.
    pub allowed: (f64, f64),
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} is not between {} and {}", self.key, self.value, self.allowed.0, self.allowed.1)
    }
}

impl std::error::Error for InvalidSetting {}

impl Settings {
    /// Checks that every setting is in its valid range.
    ///
    /// # Errors
    /// The first setting that is not, with its value and its range.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        let check_range = |key, value: f64, min: f64, max: f64| {
            let allowed = (min, max);
            if (min..=max).contains(&value) { Ok(()) } else { Err(InvalidSetting { key, value, allowed }) }
        };
        check_range("repeats", self.repeat_share, 0.01, 1.0)?;
        check_range("connections", self.connection_factor, 1.1, 1000.0)?;
        check_range("least_connections", self.min_connections_per_s, 1.0, 1e6)?;
        check_range("wasted", self.wasted_share, 0.01, 1.0)?;
        check_range("capacity", self.min_capacity, 0.01, 1.0)?;
        check_range("unserved", self.unserved_share, 0.01, 1.0)?;
        check_range("growth", self.arrival_factor, 1.05, 1000.0)?;
        check_range("one_tenant", self.dominant_tenant_share, 0.5, 1.0)?;
        check_range("gone_below", self.clear_factor, 0.05, 0.95)?;
        check_range("enter_ms", self.enter_ms as f64, 100.0, 60_000.0)?;
        check_range("leave_ms", self.leave_ms as f64, self.enter_ms as f64, 600_000.0)?;
        check_range("usual_ms", self.baseline_ms as f64, 5_000.0, 3_600_000.0)?;
        if self.accepts_per_s != 0.0 {
            check_range("accepts_per_s", self.accepts_per_s, 1.0, 1e6)?;
        }
        check_range("accepts_at_once", self.accept_burst, 1.0, 65_536.0)?;
        check_range("half_known", self.awaiting_command_share, 0.05, 1.0)
    }
}
