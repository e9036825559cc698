//! The record of a scale run: what was run, on which machine, and what was measured at each size. Records are
//! stored as JSON files in `scale/runs/`, from which fits and the capacity page are generated.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The version of the record format that this program writes and reads.
pub const VERSION: u32 = 1;

/// A record file: all runs of one scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunRecord {
    /// The version of the format, [`VERSION`].
    pub version: u32,
    /// The scenario's name.
    pub scenario: String,
    /// The host on which the nodes ran.
    pub host: HostKind,
    /// The state in which the fleet was measured.
    pub state: FleetState,
    /// The machine that executed the runs.
    pub machine: Machine,
    /// The commit of the program, as named by git; `-dirty` is appended if the tree had changes.
    pub commit: String,
    /// The date of the runs in UTC, as `YYYY-MM-DD`.
    pub date: String,
    /// All runs, ordered by size, then repetition.
    pub runs: Vec<Run>,
}

/// The machine of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Number of cores.
    pub cores: u32,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// The name of the processor as reported by the system.
    pub processor: String,
}

/// The host on which nodes run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostKind {
    /// Loopback sockets, in real time.
    RealSockets,
    /// A simulated network with a virtual clock.
    VirtualClock,
}

/// The state of a fleet while it is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetState {
    /// No faults.
    Calm,
    /// Discovery is restarted: all watches are reopened at the same time.
    DiscoveryRestart,
    /// Regions are partitioned, and connected again.
    RegionsApart,
    /// One node in ten is restarted.
    NodesRestarted,
    /// A zone is lost.
    ZoneLost,
}

/// The size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Number of nodes, hollow and real ones together.
    pub nodes: u32,
    /// Number of sites with nodes.
    pub sites: u32,
    /// Number of zones, which consist of sites.
    pub zones: u32,
    /// Number of regions, which consist of zones.
    pub regions: u32,
    /// Number of cache servers.
    pub cache_servers: u32,
    /// Changes of discovery's list per second.
    pub changes_per_s: f64,
}

/// One repetition at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// The size of the fleet.
    pub size: FleetSize,
    /// The repetition at this size, from 0.
    pub repetition: u32,
    /// The seed.
    pub seed: u64,
    /// Duration of the measurement, in seconds on the nodes' clock.
    pub measured_s: f64,
    /// Duration of the run, in seconds of real time.
    pub wall_s: f64,
    /// The cost of each role.
    pub roles: BTreeMap<Role, RoleCost>,
    /// Sums over the fleet that are limited by the design.
    pub sums: Vec<FleetSum>,
    /// How long changes took until all nodes acted on them.
    pub spreads: Vec<ChangePropagation>,
}

/// The role of a process in the control of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A node's control code without client data.
    HollowNode,
    /// A real process of the daemon under light load.
    RealNode,
    /// A cache server's part in control: probes and handshakes.
    CacheServerControl,
    /// The service that publishes the list of cache servers.
    Discovery,
    /// The leader of the agreement on zones.
    AgreementLeader,
    /// A voter of the agreement that is not its leader.
    AgreementVoter,
    /// A member of the agreement that is not a voter.
    AgreementFollower,
    /// The process that divides the origin's allowance among nodes.
    OriginAllowance,
    /// The process that distributes settings or purges.
    ChangeSpreader,
}

/// The cost of a role, as mean over its measured members.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleCost {
    /// Number of measured members.
    pub members: u32,
    /// Resident memory in bytes minus that of a run without members; absent if it cannot be separated from
    /// that of other roles.
    pub resident_bytes: Option<f64>,
    /// Processor time in user mode, in seconds per second, minus that of an idle run; absent if it cannot be
    /// separated from that of other roles.
    pub user_cpu: Option<f64>,
    /// Processor time in the system, likewise.
    pub system_cpu: Option<f64>,
    /// Control messages received per second: datagrams, requests or responses.
    pub messages_in_per_s: f64,
    /// Control messages sent per second.
    pub messages_out_per_s: f64,
    /// Bytes received per second, without headers of IP, TCP and UDP.
    pub bytes_in_per_s: f64,
    /// Bytes sent per second, likewise.
    pub bytes_out_per_s: f64,
    /// Maximum number of concurrent control connections.
    pub connections: f64,
}

/// A sum over all processes of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSum {
    /// The limited quantity.
    pub limit: Limit,
    /// What the design permits for the whole fleet.
    pub bound: f64,
    /// What the nodes' own limits add up to at most.
    pub allowed: f64,
    /// The highest value observed.
    pub peak: f64,
}

/// A limit of the design on the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Limit {
    /// Outstanding calls at the origin.
    OriginOutstanding,
    /// Calls at the origin per window of the gate's limit.
    OriginWindow,
    /// Calls to a cold cache server within the time that the settings define.
    ColdServerCalls,
}

/// How long a change took until nodes acted on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangePropagation {
    /// The kind of change.
    pub change: Change,
    /// Number of nodes that acted on it.
    pub acted: u32,
    /// Number of nodes that should have acted on it.
    pub expected: u32,
    /// Time within which half of them acted, in seconds.
    pub p50_s: f64,
    /// Time within which 99% of them acted, in seconds.
    pub p99_s: f64,
    /// Time within which all nodes acted that did so at all, in seconds.
    pub last_s: f64,
}

/// A kind of change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// An entry of discovery's list.
    List,
    /// The agreement's plan of zones.
    Plan,
    /// The settings of the nodes.
    Settings,
}
