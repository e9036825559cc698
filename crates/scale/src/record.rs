//! The record of a scale run: what was run, on which machine, and what was measured at each size. Records are kept as
//! JSON files in `scale/runs/`; fits and the capacity page are made from them alone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The version of the record's format that this program writes and reads.
pub const VERSION: u32 = 1;

/// One kept file: all runs of one scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunRecord {
    /// The format's version, [`VERSION`].
    pub version: u32,
    /// The scenario's name.
    pub scenario: String,
    /// Where the nodes ran.
    pub host: HostKind,
    /// The state that the fleet was in.
    pub state: FleetState,
    /// The machine that ran it.
    pub machine: Machine,
    /// The commit of the program that ran, as git names it; `-dirty` follows where the tree had changes.
    pub commit: String,
    /// The day of the run, as `YYYY-MM-DD` in UTC.
    pub date: String,
    /// Every run, by size, then repetition.
    pub runs: Vec<Run>,
}

/// The machine of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Cores that the machine has.
    pub cores: u32,
    /// Its memory, in bytes.
    pub memory_bytes: u64,
    /// The processor's name as the system tells it.
    pub processor: String,
}

/// Where nodes ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostKind {
    /// Loopback sockets, in real time.
    RealSockets,
    /// A simulated network under a virtual clock.
    VirtualClock,
}

/// The state that a fleet is in while it is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetState {
    /// No fault.
    Calm,
    /// Discovery restarts: every watch is opened anew at once.
    DiscoveryRestart,
    /// Regions lose each other, and are joined again.
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
    /// Nodes, hollow and real together.
    pub nodes: u32,
    /// Sites that they stand at.
    pub sites: u32,
    /// Zones that the sites form.
    pub zones: u32,
    /// Regions that the zones form.
    pub regions: u32,
    /// Cache servers.
    pub cache_servers: u32,
    /// Changes of discovery's list in a second.
    pub changes_per_s: f64,
}

/// One repetition at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// The size.
    pub size: FleetSize,
    /// Which repetition at this size, from 0.
    pub repetition: u32,
    /// The seed.
    pub seed: u64,
    /// For how long it was measured, in seconds of the nodes' clock.
    pub measured_s: f64,
    /// How long the run took, in seconds of real time.
    pub wall_s: f64,
    /// What each role cost, by role.
    pub roles: BTreeMap<Role, RoleCost>,
    /// Sums over the fleet that the design sets a limit to.
    pub sums: Vec<FleetSum>,
    /// How long it took until all acted on a change.
    pub spreads: Vec<ChangeSpread>,
}

/// A part that a process plays in the control of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A node's control code without clients' data.
    HollowNode,
    /// A real process of the daemon under light load.
    RealNode,
    /// A cache server's side of control: probes, handshakes.
    CacheServerControl,
    /// The service that tells the list of cache servers.
    Discovery,
    /// The leader of the agreement on zones.
    AgreementLeader,
    /// A voter of the agreement that does not lead.
    AgreementVoter,
    /// A member of the agreement that is no voter.
    AgreementFollower,
    /// Whoever divides the origin's allowance among nodes.
    OriginAllowance,
    /// Whoever spreads settings or purges.
    ChangeSpreader,
}

/// What a member of a role costs, as the mean over the members that were measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleCost {
    /// Members that were measured.
    pub members: u32,
    /// Resident memory, in bytes, less that of a run without members; absent where it can't be told apart.
    pub resident_bytes: Option<f64>,
    /// Processor time in user mode, seconds a second, less that of a run that idles; absent where it can't be told apart.
    pub user_cpu: Option<f64>,
    /// Processor time in the system, likewise.
    pub system_cpu: Option<f64>,
    /// Messages (datagrams, requests or answers of control) received, a second.
    pub messages_in_per_s: f64,
    /// The same, sent.
    pub messages_out_per_s: f64,
    /// Bytes received, a second, without headers of IP, TCP and UDP.
    pub bytes_in_per_s: f64,
    /// The same, sent.
    pub bytes_out_per_s: f64,
    /// Connections open for control, the most at a time.
    pub connections: f64,
}

/// A sum over all processes of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSum {
    /// What is summed.
    pub limit: Limit,
    /// What the design lets all together have.
    pub bound: f64,
    /// The most that the nodes' own limits add up to: what they might have at once.
    pub allowed: f64,
    /// The most that was seen at once.
    pub peak: f64,
}

/// A limit of the design that holds over all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Limit {
    /// Calls outstanding at the origin.
    OriginOutstanding,
    /// Calls at the origin in one window of the tally.
    OriginWindow,
    /// Calls to a cold cache server in the span that the settings name.
    ColdServerCalls,
}

/// How long a change took until nodes acted on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSpread {
    /// What changed.
    pub change: Change,
    /// Nodes that acted on it, of those that should have.
    pub acted: u32,
    /// Those that should have.
    pub expected: u32,
    /// Half of them acted within this time, in seconds.
    pub p50_s: f64,
    /// 99 in 100, in seconds.
    pub p99_s: f64,
    /// All that acted, in seconds.
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
    /// The node's settings.
    Settings,
}
