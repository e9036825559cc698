//! The fleet that the project is to bear in about two years, and what its control may cost.

/// A fleet and its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Nodes.
    pub nodes: f64,
    /// Sites that they stand at.
    pub sites: f64,
    /// Cache servers behind them.
    pub cache_servers: f64,
    /// Regions.
    pub regions: f64,
    /// Zones of all regions together.
    pub zones: f64,
    /// Requests a second at the peak.
    pub requests_per_s: f64,
    /// Bits a second at the peak.
    pub bits_per_s: f64,
    /// Objects.
    pub objects: f64,
    /// Purges a second.
    pub purges_per_s: f64,
    /// A purge is done everywhere within this time, in seconds.
    pub purge_within_s: f64,
    /// Changes of configuration a day.
    pub settings_per_day: f64,
    /// A change is in force everywhere within this time, in seconds.
    pub settings_within_s: f64,
    /// Machines that fail in a day.
    pub failures_per_day: f64,
    /// Machines that are restarted or replaced in a day.
    pub restarts_per_day: f64,
    /// Machines set aside for control.
    pub control_machines: f64,
    /// What control may cost each node.
    pub budget: Budget,
}

/// What control may cost one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Of a core.
    pub cores: f64,
    /// Memory, in bytes.
    pub memory_bytes: f64,
    /// Bytes a second, both ways together.
    pub bytes_per_s: f64,
}

/// Seconds in a day.
pub const DAY_S: f64 = 86_400.0;

/// The target.
pub const TARGET: Target = Target {
    nodes: 6_600.0,
    sites: 300.0,
    cache_servers: 980.0,
    regions: 10.0,
    zones: 40.0,
    requests_per_s: 4.4e6,
    bits_per_s: 16e12,
    objects: 2.5e9,
    purges_per_s: 37.0,
    purge_within_s: 2.5,
    settings_per_day: 30_000.0,
    settings_within_s: 17.0,
    failures_per_day: 12.0,
    restarts_per_day: 910.0,
    control_machines: 9.0,
    budget: Budget { cores: 0.017, memory_bytes: 64e6, bytes_per_s: 19e3 },
};

/// The nodes of the largest fleet that the standing test plays: where the search for what breaks first begins.
pub const FLEET_TODAY: f64 = 300.0;
