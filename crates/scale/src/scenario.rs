//! Scenarios of scale runs: which fleet is measured, in which state and for how long, as a TOML file that is checked with
//! the place at fault before anything starts.

use std::time::Duration;

use chalksill_world::scenario::{ScenarioError, line_of_key, parse};
use serde::Deserialize;

use crate::record::{FleetSize, FleetState, HostKind};

/// The largest fleet that a scenario may ask for: half as many nodes again as the target size has.
const MOST_NODES: f64 = 10_000.0;
/// The most cache servers, likewise: addresses of simulated cache servers end there.
const MOST_CACHE_SERVERS: f64 = 2_000.0;
/// Zones are numbered with a byte in the nodes' settings.
const MOST_ZONES: f64 = 250.0;
/// Whole numbers beyond this one can't be told apart from their neighbours in a file's figures (2^53).
const MOST_SEED: f64 = 9_007_199_254_740_992.0;

/// A scenario, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name: letters, digits and dashes.
    pub name: String,
    /// Where the nodes run.
    pub host: HostKind,
    /// The state that the fleet is in while it is measured.
    pub state: FleetState,
    /// The seed of the first repetition; each further one has the next.
    pub seed: u64,
    /// How often each size is run.
    pub repetitions: u32,
    /// How long is measured, on the nodes' clock.
    pub measured: Duration,
    /// How long nodes run before, on the nodes' clock.
    pub warm_up: Duration,
    /// Whether nodes agree on which zones serve.
    pub agreement: bool,
    /// The load of clients.
    pub load: Load,
    /// The sizes, in the order of the file.
    pub sizes: Vec<FleetSize>,
    /// What a run may take.
    pub bounds: Bounds,
}

/// The load of clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests a second over all nodes; 0 where all nodes are hollow.
    pub per_s: f64,
    /// The part of the reads whose key no cache server holds.
    pub misses: f64,
    /// The part of the requests that write.
    pub writes: f64,
}

/// What a run may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The part of the machine's memory that a run may be expected to need, at most half.
    pub memory_part: f64,
    /// The longest real time of one run.
    pub max_wall_time: Duration,
}

/// The file as it is written. Figures are read as floating point numbers, so that one which is out of its range is met by
/// the check that names the range.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    host: HostKind,
    #[serde(default = "calm")]
    state: FleetState,
    #[serde(default = "one")]
    seed: f64,
    #[serde(default = "three")]
    repetitions: f64,
    measured_s: f64,
    #[serde(default = "warm_up")]
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

/// How sites, zones and regions grow with the nodes; the defaults are those of the target size.
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

fn calm() -> FleetState {
    FleetState::Calm
}

fn one() -> f64 {
    1.0
}

fn three() -> f64 {
    3.0
}

fn warm_up() -> f64 {
    5.0
}

/// A key, and what is wrong with its value.
type Wrong = (String, String);

fn wrong<T>(key: &str, what: impl Into<String>) -> Result<T, Wrong> {
    Err((key.to_owned(), what.into()))
}

/// A figure within its range.
fn figure(key: &str, value: f64, least: f64, most: f64) -> Result<f64, Wrong> {
    if value.is_finite() && (least..=most).contains(&value) {
        return Ok(value);
    }
    wrong(key, format!("{value} is not within {least} to {most}"))
}

/// A whole number within its range.
fn whole(key: &str, value: f64, least: f64, most: f64) -> Result<f64, Wrong> {
    if value.fract() != 0.0 {
        return wrong(key, format!("{value} is no whole number within {least} to {most}"));
    }
    figure(key, value, least, most)
}

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// The first thing that is wrong, with its line, its key and what is allowed.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let file: File = parse(text)?;
        file.check().map_err(|(key, what)| ScenarioError {
            line: line_of_key(text, &key),
            key,
            message: what,
        })
    }

    /// The seed of a repetition.
    pub fn seed_of(&self, repetition: u32) -> u64 {
        self.seed.wrapping_add(u64::from(repetition))
    }
}

impl File {
    fn check(self) -> Result<Scenario, Wrong> {
        if self.name.is_empty() || !self.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') {
            return wrong("name", "letters, digits and dashes only, and at least one of them");
        }
        let seed = whole("seed", self.seed, 0.0, MOST_SEED)? as u64;
        let repetitions = whole("repetitions", self.repetitions, 1.0, 20.0)? as u32;
        let measured = figure("measured_s", self.measured_s, 0.5, 3600.0)?;
        let warm_up = figure("warm_up_s", self.warm_up_s, 0.5, 3600.0)?;
        let load = self.load.check()?;
        let bounds = self.bounds.check()?;
        self.layout.check()?;
        if self.size.is_empty() {
            return wrong("size", "0 sizes are not within 1 to 20");
        }
        figure("size", self.size.len() as f64, 1.0, 20.0)?;
        let sizes = self.size.iter().enumerate().map(|(place, size)| size.check(place, &self.layout));
        let sizes = sizes.collect::<Result<Vec<_>, _>>()?;
        let regions_needed = if self.state == FleetState::RegionsApart { 2 } else { 1 };
        for (place, size) in sizes.iter().enumerate() {
            if size.regions < regions_needed {
                let what = format!("{} regions: regions-apart needs 2 or more", size.regions);
                return wrong(&format!("size.{place}.nodes"), what);
            }
            if self.agreement && size.zones < 2 {
                return wrong(&format!("size.{place}.nodes"), "1 zone: an agreement needs 2 or more");
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
    fn check(&self) -> Result<Load, Wrong> {
        Ok(Load {
            per_s: figure("load.per_s", self.per_s, 0.0, 100_000.0)?,
            misses: figure("load.misses", self.misses, 0.0, 1.0)?,
            writes: figure("load.writes", self.writes, 0.0, 1.0)?,
        })
    }
}

impl FileBounds {
    fn check(&self) -> Result<Bounds, Wrong> {
        Ok(Bounds {
            memory_part: figure("bounds.memory_part", self.memory_part, 0.01, 0.5)?,
            max_wall_time: Duration::from_secs_f64(figure("bounds.wall_s", self.wall_s, 1.0, 3600.0)?),
        })
    }
}

impl Layout {
    fn check(&self) -> Result<(), Wrong> {
        figure("layout.nodes_per_site", self.nodes_per_site, 1.0, MOST_NODES)?;
        figure("layout.sites_per_zone", self.sites_per_zone, 1.0, MOST_NODES)?;
        figure("layout.zones_per_region", self.zones_per_region, 1.0, MOST_ZONES)?;
        Ok(())
    }
}

impl FileSize {
    fn check(&self, place: usize, layout: &Layout) -> Result<FleetSize, Wrong> {
        let at = |name: &str| format!("size.{place}.{name}");
        let nodes = whole(&at("nodes"), self.nodes, 1.0, MOST_NODES)?;
        let cache_servers = whole(&at("cache_servers"), self.cache_servers, 1.0, MOST_CACHE_SERVERS)?;
        let changes_per_s = figure(&at("changes_per_s"), self.changes_per_s, 0.0, 100.0)?;
        let part = |key: &str, named: Option<f64>, grown: f64, most: f64| match named {
            Some(named) => whole(&at(key), named, 1.0, most),
            None => Ok(grown.ceil().clamp(1.0, most)),
        };
        let sites = part("sites", self.sites, nodes / layout.nodes_per_site, nodes)?;
        let zones = part("zones", self.zones, sites / layout.sites_per_zone, sites.min(MOST_ZONES))?;
        let regions = part("regions", self.regions, zones / layout.zones_per_region, zones)?;
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
