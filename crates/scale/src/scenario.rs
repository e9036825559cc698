//! Scenarios of scale runs: the fleet that is measured, its state, and the duration. They are read from TOML
//! files and validated before anything is started; errors name the place in the file.

use std::time::Duration;

use chalksill_world::scenario::{ScenarioError, line_of_key, parse};
use serde::Deserialize;

use crate::record::{FleetSize, FleetState, HostKind};

/// Maximum number of nodes: 50% more than the target has.
const MAX_NODES: f64 = 10_000.0;
/// Maximum number of cache servers, limited by the addresses of simulated ones.
const MAX_CACHE_SERVERS: f64 = 2_000.0;
/// Maximum number of zones: the nodes' settings number them with one byte.
const MAX_ZONES: f64 = 250.0;
/// Maximum seed: larger integers cannot be represented exactly by the file's floating-point numbers (2^53).
const MAX_SEED: f64 = 9_007_199_254_740_992.0;

/// A validated scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The name: letters, digits and dashes.
    pub name: String,
    /// The host on which the nodes run.
    pub host: HostKind,
    /// The state in which the fleet is measured.
    pub state: FleetState,
    /// The seed of the first repetition; each further repetition has the next seed.
    pub seed: u64,
    /// Number of repetitions at each size.
    pub repetitions: u32,
    /// Duration of the measurement on the nodes' clock.
    pub measured: Duration,
    /// How long nodes run before the measurement, on the nodes' clock.
    pub warm_up: Duration,
    /// Whether nodes agree on which zones serve.
    pub agreement: bool,
    /// The load of clients.
    pub load: Load,
    /// The sizes, in the order of the file.
    pub sizes: Vec<FleetSize>,
    /// Limits of a run.
    pub bounds: Bounds,
}

/// The load of clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests per second to all nodes together; 0 if all nodes are hollow.
    pub per_s: f64,
    /// Share of reads whose key no cache server has.
    pub misses: f64,
    /// Share of requests that are writes.
    pub writes: f64,
}

/// Limits of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Share of the machine's memory that a run may be expected to need, at most half.
    pub memory_part: f64,
    /// Maximum duration of a run in real time.
    pub max_wall_time: Duration,
}

/// The contents of a scenario file. All numbers are read as floating-point ones, so that those out of range
/// are rejected by the check that names the range.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    host: HostKind,
    #[serde(default = "default_state")]
    state: FleetState,
    #[serde(default = "default_seed")]
    seed: f64,
    #[serde(default = "default_repetitions")]
    repetitions: f64,
    measured_s: f64,
    #[serde(default = "default_warm_up_s")]
    warm_up_s: f64,
    #[serde(default)]
    agreement: bool,
    #[serde(default)]
    load: FileLoad,
    #[serde(default)]
    layout: Layout,
    size: Vec<FileSize>,
    #[serde(default)]
    bounds: FileBounds,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileLoad {
    per_s: f64,
    misses: f64,
    writes: f64,
}

/// How sites, zones and regions grow with the nodes. The defaults are those of the target.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Layout {
    nodes_per_site: f64,
    sites_per_zone: f64,
    zones_per_region: f64,
}

impl Default for Layout {
    fn default() -> Self {
        Layout { nodes_per_site: 22.0, sites_per_zone: 7.5, zones_per_region: 4.0 }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileSize {
    nodes: f64,
    cache_servers: f64,
    #[serde(default)]
    changes_per_s: f64,
    sites: Option<f64>,
    zones: Option<f64>,
    regions: Option<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileBounds {
    memory_part: f64,
    wall_s: f64,
}

impl Default for FileBounds {
    fn default() -> Self {
        FileBounds { memory_part: 0.5, wall_s: 600.0 }
    }
}

fn default_state() -> FleetState {
    FleetState::Calm
}

fn default_seed() -> f64 {
    1.0
}

fn default_repetitions() -> f64 {
    3.0
}

fn default_warm_up_s() -> f64 {
    5.0
}

/// A key, and why its value is invalid.
type InvalidValue = (String, String);

fn invalid<T>(key: &str, reason: impl Into<String>) -> Result<T, InvalidValue> {
    Err((key.to_owned(), reason.into()))
}

/// Checks that a number is within its range.
fn in_range(key: &str, value: f64, min: f64, max: f64) -> Result<f64, InvalidValue> {
    if value.is_finite() && (min..=max).contains(&value) {
        return Ok(value);
    }
    invalid(key, format!("{value} is not within {min} to {max}"))
}

/// Checks that a number is an integer within its range.
fn integer_in_range(key: &str, value: f64, min: f64, max: f64) -> Result<f64, InvalidValue> {
    if value.fract() != 0.0 {
        return invalid(key, format!("{value} is not an integer within {min} to {max}"));
    }
    in_range(key, value, min, max)
}

impl Scenario {
    /// Parses and validates a scenario.
    ///
    /// # Errors
    /// The first invalid value, with its line, its key and the permitted range.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let file: File = parse(text)?;
        file.check().map_err(|(key, reason)| ScenarioError {
            line: line_of_key(text, &key),
            key,
            message: reason,
        })
    }

    /// The seed of a repetition.
    pub fn seed_of(&self, repetition: u32) -> u64 {
        self.seed.wrapping_add(u64::from(repetition))
    }
}

impl File {
    fn check(self) -> Result<Scenario, InvalidValue> {
        if self.name.is_empty() || !self.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') {
            return invalid("name", "letters, digits and dashes only, and at least one of them");
        }
        let seed = integer_in_range("seed", self.seed, 0.0, MAX_SEED)? as u64;
        let repetitions = integer_in_range("repetitions", self.repetitions, 1.0, 20.0)? as u32;
        let measured = in_range("measured_s", self.measured_s, 0.5, 3600.0)?;
        let warm_up = in_range("warm_up_s", self.warm_up_s, 0.5, 3600.0)?;
        let load = self.load.check()?;
        let bounds = self.bounds.check()?;
        self.layout.check()?;
        if self.size.is_empty() {
            return invalid("size", "0 sizes are not within 1 to 20");
        }
        in_range("size", self.size.len() as f64, 1.0, 20.0)?;
        let sizes = self.size.iter().enumerate().map(|(index, size)| size.check(index, &self.layout));
        let sizes = sizes.collect::<Result<Vec<_>, _>>()?;
        let regions_needed = if self.state == FleetState::RegionsApart { 2 } else { 1 };
        for (index, size) in sizes.iter().enumerate() {
            if size.regions < regions_needed {
                let reason = format!("{} regions: regions-apart needs 2 or more", size.regions);
                return invalid(&format!("size.{index}.nodes"), reason);
            }
            if self.agreement && size.zones < 2 {
                return invalid(&format!("size.{index}.nodes"), "1 zone: an agreement needs 2 or more");
            }
        }
        Ok(Scenario {
            name: self.name,
            host: self.host,
            state: self.state,
            seed,
            repetitions,
            measured: Duration::from_secs_f64(measured),
            warm_up: Duration::from_secs_f64(warm_up),
            agreement: self.agreement,
            load,
            sizes,
            bounds,
        })
    }
}

impl FileLoad {
    fn check(&self) -> Result<Load, InvalidValue> {
        Ok(Load {
            per_s: in_range("load.per_s", self.per_s, 0.0, 100_000.0)?,
            misses: in_range("load.misses", self.misses, 0.0, 1.0)?,
            writes: in_range("load.writes", self.writes, 0.0, 1.0)?,
        })
    }
}

impl FileBounds {
    fn check(&self) -> Result<Bounds, InvalidValue> {
        Ok(Bounds {
            memory_part: in_range("bounds.memory_part", self.memory_part, 0.01, 0.5)?,
            max_wall_time: Duration::from_secs_f64(in_range("bounds.wall_s", self.wall_s, 1.0, 3600.0)?),
        })
    }
}

impl Layout {
    fn check(&self) -> Result<(), InvalidValue> {
        in_range("layout.nodes_per_site", self.nodes_per_site, 1.0, MAX_NODES)?;
        in_range("layout.sites_per_zone", self.sites_per_zone, 1.0, MAX_NODES)?;
        in_range("layout.zones_per_region", self.zones_per_region, 1.0, MAX_ZONES)?;
        Ok(())
    }
}

impl FileSize {
    fn check(&self, index: usize, layout: &Layout) -> Result<FleetSize, InvalidValue> {
        let at = |name: &str| format!("size.{index}.{name}");
        let nodes = integer_in_range(&at("nodes"), self.nodes, 1.0, MAX_NODES)?;
        let cache_servers =
            integer_in_range(&at("cache_servers"), self.cache_servers, 1.0, MAX_CACHE_SERVERS)?;
        let changes_per_s = in_range(&at("changes_per_s"), self.changes_per_s, 0.0, 100.0)?;
        let count = |key: &str, configured: Option<f64>, derived: f64, max: f64| match configured {
            Some(configured) => integer_in_range(&at(key), configured, 1.0, max),
            None => Ok(derived.ceil().clamp(1.0, max)),
        };
        let sites = count("sites", self.sites, nodes / layout.nodes_per_site, nodes)?;
        let zones = count("zones", self.zones, sites / layout.sites_per_zone, sites.min(MAX_ZONES))?;
        let regions = count("regions", self.regions, zones / layout.zones_per_region, zones)?;
        Ok(FleetSize {
            nodes: nodes as u32,
            sites: sites as u32,
            zones: zones as u32,
            regions: regions as u32,
            cache_servers: cache_servers as u32,
            changes_per_s,
        })
    }
}
