//! The fleet that the project has to support in about two years, and what its control may cost.

/// A fleet and its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Number of nodes.
    pub nodes: f64,
    /// Number of sites with nodes.
    pub sites: f64,
    /// Number of cache servers.
    pub cache_servers: f64,
    /// Number of regions.
    pub regions: f64,
    /// Number of zones in all regions together.
    pub zones: f64,
    /// Requests per second at the peak.
    pub requests_per_s: f64,
    /// Bits per second at the peak.
    pub bits_per_s: f64,
    /// Number of objects.
    pub objects: f64,
    /// Purges per second.
    pub purges_per_s: f64,
    /// Time within which a purge has to be complete everywhere, in seconds.
    pub purge_within_s: f64,
    /// Changes of configuration per day.
    pub settings_per_day: f64,
    /// Time within which a change has to be in effect everywhere, in seconds.
    pub settings_within_s: f64,
    /// Machines that fail per day.
    pub failures_per_day: f64,
    /// Machines that are restarted or replaced per day.
    pub restarts_per_day: f64,
    /// Machines reserved for control.
    pub control_machines: f64,
    /// What control may cost each node.
    pub budget: Budget,
}

/// What control may cost one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Share of a core.
    pub cores: f64,
    /// Memory, in bytes.
    pub memory_bytes: f64,
    /// Bytes per second in both directions.
    pub bytes_per_s: f64,
}

/// Seconds per day.
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

/// Number of nodes of the largest fleet in the regular tests, used as the current size in the tables.
pub const LARGEST_TESTED_NODES: f64 = 300.0;
