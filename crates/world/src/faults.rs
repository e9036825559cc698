//! Faults: a script of what goes wrong and when. It is drawn from a seed, stored in replay files and
//! minimized by shrinking.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::observe::{NodeIndex, ServerIndex};
use crate::scenario::Scenario;
use crate::system_calls::{self, Failure, SystemCall};
use crate::wall_clock::WallClockStep;

/// The largest filler of a value; the description of the value is added to it.
pub const MAX_FILLER_BYTES: usize = (4 << 20) - 64;

/// A kind of fault that a scenario may allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Several cache servers die at once and come back cold.
    Crash,
    /// All cache servers are replaced, one batch at a time, by cold successors.
    Deploy,
    /// A node is killed and restarts with its last list.
    NodeKill,
    /// A node is asked to stop and restarts with its last list.
    NodeRestart,
    /// The load rises suddenly.
    Burst,
    /// Messages between nodes are lost.
    PeersLost,
    /// Responses of discovery are seconds late, and out of order.
    ListLate,
    /// Discovery answers with errors.
    ListDown,
    /// Discovery answers with an old revision.
    ListOld,
    /// Discovery's list is empty for a while.
    ListEmpty,
    /// The machine of a cache server is cut off and comes back.
    CutOff,
    /// Packets between a node and a cache server are lost in one direction.
    OneWay,
    /// A cache server resets connections in the middle of responses.
    Resets,
    /// A cache server stalls in the middle of responses.
    Stalls,
    /// Clients read slowly.
    SlowReaders,
    /// Clients leave before their time-out.
    Leavers,
    /// The origin resets calls after they ran.
    OriginResets,
    /// A cache server loses power and comes back cold.
    PowerLoss,
    /// An operator drains a node and brings it back.
    Drain,
    /// An operator drains a node and brings it back several times in a row, then drains it for some seconds.
    DrainSeries,
    /// A new process takes over from the old one of a node.
    Upgrade,
    /// Connections are opened that never finish a command, and some clients write commands slowly.
    Crowd,
    /// Some keys have large values.
    Large,
    /// All cache servers of a zone die at once and come back cold.
    ZoneLost,
    /// All cache servers of a zone are cut off, and come back as they were.
    ZoneSilent,
    /// Two zones are cut off from each other, nodes and cache servers; all others reach both.
    ZonesApart,
    /// Several nodes are killed at once, the voters first.
    NodesKilled,
    /// Wall clocks are stepped by seconds or an hour: of a node, of all nodes, of discovery.
    WallClockStep,
    /// System calls of a node fail.
    SystemCalls,
    /// A cache server sends some of its responses twice.
    SecondAnswers,
}

impl Kind {
    /// All kinds, in the order in which the documentation lists them.
    pub const ALL: [Kind; 30] = [
        Kind::Crash,
        Kind::Deploy,
        Kind::NodeKill,
        Kind::NodeRestart,
        Kind::Burst,
        Kind::PeersLost,
        Kind::ListLate,
        Kind::ListDown,
        Kind::ListOld,
        Kind::ListEmpty,
        Kind::CutOff,
        Kind::OneWay,
        Kind::Resets,
        Kind::Stalls,
        Kind::SlowReaders,
        Kind::Leavers,
        Kind::OriginResets,
        Kind::PowerLoss,
        Kind::Drain,
        Kind::DrainSeries,
        Kind::Upgrade,
        Kind::Crowd,
        Kind::Large,
        Kind::ZoneLost,
        Kind::ZoneSilent,
        Kind::ZonesApart,
        Kind::NodesKilled,
        Kind::WallClockStep,
        Kind::SystemCalls,
        Kind::SecondAnswers,
    ];
}

/// How an upgrade ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpgradeEnd {
    /// The old process is asked to stop once the new one can serve.
    InOrder,
    /// The old process is killed at that moment.
    OldKilled,
    /// The new process is killed soon after it can serve; the old one continues.
    NewKilled,
}

/// A fault with its parameters. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// These cache servers die at once and come back cold.
    Crash {
        /// The cache servers.
        boxes: Vec<ServerIndex>,
        /// How long each is down.
        down_ms: u64,
    },
    /// The cache servers that are ready at the beginning are replaced, one batch at a time.
    Deploy {
        /// Size of a batch.
        batch: usize,
        /// How many are replaced in all.
        most: usize,
        /// How long a cache server drains.
        drain_ms: u64,
    },
    /// A node ends and starts again.
    Node {
        /// The node.
        node: NodeIndex,
        /// Whether it is asked to stop first; otherwise it is killed.
        planned: bool,
        /// How long it is down.
        down_ms: u64,
    },
    /// The load is multiplied.
    Burst {
        /// The factor.
        factor: f64,
        /// Duration.
        for_ms: u64,
    },
    /// Clients send no requests.
    Quiet {
        /// Duration.
        for_ms: u64,
    },
    /// Messages between nodes are lost.
    PeersLost {
        /// Share of lost messages.
        part: f64,
        /// Duration.
        for_ms: u64,
    },
    /// Responses of discovery are late.
    ListLate {
        /// Mean delay.
        late_ms: u64,
        /// Duration.
        for_ms: u64,
    },
    /// Discovery answers with errors.
    ListDown {
        /// Duration.
        for_ms: u64,
    },
    /// Discovery answers with an old revision of the list.
    ListOld {
        /// How many revisions back.
        back: u64,
        /// Duration.
        for_ms: u64,
    },
    /// Discovery's list has no cache servers.
    ListEmpty {
        /// Duration.
        for_ms: u64,
    },
    /// The machine of a cache server is cut off.
    CutOff {
        /// The cache server.
        at: ServerIndex,
        /// Duration.
        for_ms: u64,
    },
    /// A link is cut in one direction.
    OneWay {
        /// The node.
        node: NodeIndex,
        /// The cache server.
        at: ServerIndex,
        /// The direction: from the node to the cache server, or back.
        to_box: bool,
        /// Duration.
        for_ms: u64,
    },
    /// A cache server breaks off responses.
    Spoil {
        /// The cache server.
        at: ServerIndex,
        /// Share of responses that end in a reset.
        resets: f64,
        /// Share of responses that stall.
        stalls: f64,
        /// Duration.
        for_ms: u64,
    },
    /// A cache server sends responses a second time, byte for byte, between other responses but never within
    /// one.
    SecondAnswers {
        /// The cache server.
        at: ServerIndex,
        /// Share of the commands.
        part: f64,
        /// Longest delay after the first response.
        most_ms: u64,
        /// Duration.
        for_ms: u64,
    },
    /// Clients misbehave.
    Clients {
        /// Share of clients that leave early.
        leavers: f64,
        /// Share of clients that read slowly.
        slow: f64,
        /// Duration.
        for_ms: u64,
    },
    /// The origin resets calls after they ran.
    OriginResets {
        /// Share of the calls.
        part: f64,
        /// Duration.
        for_ms: u64,
    },
    /// A cache server loses power and comes back cold.
    PowerLoss {
        /// The cache server.
        at: ServerIndex,
        /// How long it is down.
        down_ms: u64,
    },
    /// An operator drains a node.
    Drain {
        /// The node.
        node: NodeIndex,
        /// Duration.
        for_ms: u64,
    },
    /// An operator drains a node and brings it back several times; after the last drain it stays drained for
    /// a while.
    DrainSeries {
        /// The node.
        node: NodeIndex,
        /// How often it is brought back before the last drain.
        times: u32,
        /// Pause between two calls.
        apart_ms: u64,
        /// How long it is drained in the end.
        for_ms: u64,
    },
    /// A new process takes over from the running one.
    Upgrade {
        /// The node.
        node: NodeIndex,
        /// How the upgrade ends.
        ends: UpgradeEnd,
    },
    /// Connections are opened that never finish a command.
    Crowd {
        /// Connections per second.
        per_s: f64,
        /// Share of the regular clients that write a command in pieces, over up to 2 s.
        slow: f64,
        /// Duration.
        for_ms: u64,
    },
    /// Some keys have large values, which are written in pieces.
    Large {
        /// Share of the keys.
        part: f64,
        /// Size of such a value in bytes.
        bytes: usize,
        /// Duration.
        for_ms: u64,
    },
    /// All cache servers of a zone die and come back cold.
    ZoneLost {
        /// The zone, by index in the scenario.
        zone: usize,
        /// How long they are down.
        down_ms: u64,
    },
    /// All cache servers of a zone are cut off.
    ZoneSilent {
        /// The zone, by index in the scenario.
        zone: usize,
        /// Duration.
        for_ms: u64,
    },
    /// Nodes and cache servers of two zones are cut off from each other.
    ZonesApart {
        /// One zone.
        a: usize,
        /// The other zone.
        b: usize,
        /// Duration.
        for_ms: u64,
    },
    /// Several nodes are killed at once and start without state.
    NodesKilled {
        /// The nodes.
        nodes: Vec<NodeIndex>,
        /// How long they are down.
        down_ms: u64,
    },
    /// Some of the system calls of a node fail.
    SystemCalls {
        /// The node.
        node: NodeIndex,
        /// The call. For calls that open a socket, the node is killed and starts while they fail.
        call: SystemCall,
        /// How it fails.
        failure: Failure,
        /// Share of the calls.
        part: f64,
        /// Duration.
        for_ms: u64,
    },
    /// A cache server is declared gone, and listed so at once, when a number of packets has been delivered.
    GoneAtPacket {
        /// The cache server.
        at: ServerIndex,
        /// The number of packets.
        packet: u64,
        /// Whether it only drains.
        drains: bool,
    },
    /// Discovery moves: nodes get several new configurations in a row, of which only the last names an
    /// address that answers.
    DiscoveryMoves {
        /// Number of configurations.
        configurations: usize,
        /// Pause between two.
        apart_ms: u64,
    },
    /// Wall clocks are stepped and stay so; monotonic clocks are unaffected.
    WallClockStep(WallClockStep),
}

/// A fault and when it begins.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Fault {
    /// When it begins, in milliseconds after the first request.
    pub at_ms: u64,
    /// The fault.
    #[serde(flatten)]
    pub what: What,
}

impl Fault {
    /// Checks a fault against the number of cache servers and nodes; those that a deployment adds are not
    /// counted.
    ///
    /// # Errors
    /// A fault that names something that does not exist, or has an impossible parameter.
    pub fn validate(&self, boxes: usize, nodes: usize) -> Result<(), String> {
        let server_exists =
            |at: ServerIndex| if at < boxes { Ok(()) } else { Err(format!("there is no box {at}")) };
        let node_exists =
            |at: NodeIndex| if at < nodes { Ok(()) } else { Err(format!("there is no node {at}")) };
        let is_share = |share: f64| {
            if (0.0..=1.0).contains(&share) { Ok(()) } else { Err(format!("{share} is not between 0 and 1")) }
        };
        match &self.what {
            What::Crash { boxes, .. } => boxes.iter().try_for_each(|b| server_exists(*b)),
            What::Node { node, .. }
            | What::Drain { node, .. }
            | What::DrainSeries { node, .. }
            | What::Upgrade { node, .. } => node_exists(*node),
            What::WallClockStep(step) => step.nodes.iter().try_for_each(|n| node_exists(*n)),
            What::NodesKilled { nodes, .. } => nodes.iter().try_for_each(|n| node_exists(*n)),
            // Cache servers are assigned to zones in turn: an index beyond their number is a zone without
            // any.
            What::ZoneLost { zone, .. } | What::ZoneSilent { zone, .. } => server_exists(*zone),
            What::ZonesApart { a, b, .. } => server_exists(*a).and_then(|()| server_exists(*b)),
            What::Burst { factor, .. } if !(0.01..=1000.0).contains(factor) => {
                Err(format!("a burst of {factor} times the load"))
            }
            What::PeersLost { part: share, .. } | What::OriginResets { part: share, .. } => is_share(*share),
            What::CutOff { at, .. } | What::PowerLoss { at, .. } | What::GoneAtPacket { at, .. } => {
                server_exists(*at)
            }
            What::OneWay { node, at, .. } => node_exists(*node).and_then(|()| server_exists(*at)),
            What::Spoil { at, resets, stalls, .. } => {
                server_exists(*at).and_then(|()| is_share(*resets)).and_then(|()| is_share(*stalls))
            }
            What::SecondAnswers { at, part: share, .. } => server_exists(*at).and_then(|()| is_share(*share)),
            What::Clients { leavers, slow, .. } => is_share(*leavers).and_then(|()| is_share(*slow)),
            What::Crowd { per_s, .. } if !(0.1..=10_000.0).contains(per_s) => {
                Err(format!("a crowd of {per_s} connections a second"))
            }
            What::Crowd { slow, .. } => is_share(*slow),
            What::Large { bytes, .. } if *bytes > MAX_FILLER_BYTES => {
                Err(format!("a value of {bytes} bytes, {MAX_FILLER_BYTES} at most"))
            }
            What::Large { part: share, .. } => is_share(*share),
            What::SystemCalls { call, failure, .. } if !call.failures().contains(failure) => {
                Err(format!("{call:?} does not fail with {failure:?}"))
            }
            What::SystemCalls { node, part: share, .. } => node_exists(*node).and_then(|()| is_share(*share)),
            _ => Ok(()),
        }
    }
}

/// Draws the script of one run. Faults overlap as chance has it.
pub fn draw(scenario: &Scenario, rng: &mut Pcg64Mcg) -> Vec<Fault> {
    let [least, most] = scenario.faults.count;
    let duration_ms = (scenario.seconds * 1e3) as u64;
    let mut script = Vec::new();
    for _ in 0..rng.random_range(least..=most.max(least)) {
        let Some(kind) = scenario.faults.kinds.choose(rng) else { break };
        let at_ms = rng.random_range(0..(duration_ms * 4 / 5).max(1));
        script.push(Fault { at_ms, what: draw_fault(*kind, scenario, rng) });
    }
    script.sort_by_key(|f| f.at_ms);
    script
}

fn draw_fault(kind: Kind, scenario: &Scenario, rng: &mut Pcg64Mcg) -> What {
    let boxes = scenario.boxes.count;
    let at = rng.random_range(0..boxes);
    let node = rng.random_range(0..scenario.nodes.count);
    let for_ms = rng.random_range(300..6_000);
    let down_ms = rng.random_range(200..8_000);
    match kind {
        Kind::Crash => {
            let many = rng.random_range(1..=(boxes / 4).max(1));
            let all: Vec<ServerIndex> = (0..boxes).collect();
            let mut hit: Vec<ServerIndex> = all.choose_multiple(rng, many).copied().collect();
            hit.sort_unstable();
            What::Crash { boxes: hit, down_ms }
        }
        Kind::Deploy => What::Deploy {
            batch: rng.random_range(1..=(boxes / 5).max(1)),
            most: rng.random_range(1..=boxes),
            drain_ms: rng.random_range(1_500..4_000),
        },
        Kind::NodeKill => What::Node { node, planned: false, down_ms: rng.random_range(100..3_000) },
        Kind::NodeRestart => What::Node { node, planned: true, down_ms: rng.random_range(100..2_000) },
        Kind::Burst => What::Burst { factor: rng.random_range(1.4..2.3), for_ms },
        Kind::PeersLost => What::PeersLost { part: rng.random_range(0.3..=1.0), for_ms },
        Kind::ListLate => What::ListLate { late_ms: rng.random_range(300..3_000), for_ms },
        Kind::ListDown => What::ListDown { for_ms },
        Kind::ListOld => What::ListOld { back: rng.random_range(1..6), for_ms },
        Kind::ListEmpty => What::ListEmpty { for_ms: rng.random_range(300..2_500) },
        Kind::CutOff => What::CutOff { at, for_ms },
        Kind::OneWay => What::OneWay { node, at, to_box: rng.random(), for_ms },
        Kind::Resets => What::Spoil { at, resets: rng.random_range(0.02..0.4), stalls: 0.0, for_ms },
        Kind::Stalls => What::Spoil { at, resets: 0.0, stalls: rng.random_range(0.02..0.4), for_ms },
        Kind::SecondAnswers => What::SecondAnswers {
            at,
            part: rng.random_range(0.01..0.3),
            most_ms: rng.random_range(1..=40),
            for_ms,
        },
        Kind::SlowReaders => What::Clients { leavers: 0.0, slow: rng.random_range(0.05..0.5), for_ms },
        Kind::Leavers => What::Clients { leavers: rng.random_range(0.05..0.5), slow: 0.0, for_ms },
        Kind::OriginResets => What::OriginResets { part: rng.random_range(0.05..0.6), for_ms },
        Kind::PowerLoss => What::PowerLoss { at, down_ms },
        Kind::Crowd => {
            What::Crowd { per_s: rng.random_range(10.0..120.0), slow: rng.random_range(0.0..0.2), for_ms }
        }
        Kind::Large => What::Large {
            part: rng.random_range(0.02..0.3),
            bytes: rng.random_range(65_000..1_500_000),
            for_ms,
        },
        Kind::ZoneLost => What::ZoneLost { zone: at % scenario.zones.len(), down_ms },
        Kind::ZoneSilent => What::ZoneSilent { zone: at % scenario.zones.len(), for_ms },
        Kind::ZonesApart => {
            let zones = scenario.zones.len();
            let a = at % zones;
            What::ZonesApart { a, b: (a + 1 + node % (zones - 1).max(1)) % zones, for_ms }
        }
        Kind::NodesKilled => {
            let many = rng.random_range(1..=scenario.nodes.count.div_ceil(2));
            // Those that vote have the lowest numbers.
            What::NodesKilled { nodes: (0..many).collect(), down_ms: rng.random_range(100..3_000) }
        }
        Kind::WallClockStep => What::WallClockStep(WallClockStep::draw(scenario.nodes.count, rng)),
        Kind::SystemCalls => system_calls::draw(node, rng),
        Kind::Drain => What::Drain { node, for_ms },
        Kind::DrainSeries => What::DrainSeries {
            node,
            times: rng.random_range(1..4),
            apart_ms: rng.random_range(0..1_500),
            for_ms: rng.random_range(3_000..6_000),
        },
        Kind::Upgrade => What::Upgrade {
            node,
            ends: [UpgradeEnd::InOrder, UpgradeEnd::InOrder, UpgradeEnd::OldKilled, UpgradeEnd::NewKilled]
                [rng.random_range(0..4)],
        },
    }
}
