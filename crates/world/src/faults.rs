//! Faults: a script of what goes wrong and when, drawn from a seed, kept in replay files and cut down by shrinking.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::observe::{NodeIndex, ServerIndex};
use crate::scenario::Scenario;
use crate::system_calls::{self, Failure, SystemCall};
use crate::wall_clock::WallClockStep;

/// The largest filling of a value: what it says of itself comes on top.
pub const LARGEST: usize = (4 << 20) - 64;

/// A kind of fault that a scenario may allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A group of boxes dies at once and comes back cold.
    Crash,
    /// All boxes are replaced, a batch at a time, by cold successors.
    Deploy,
    /// A node is killed and comes back with its last list.
    NodeKill,
    /// A node is told to stop and comes back with its last list.
    NodeRestart,
    /// The load jumps.
    Burst,
    /// Messages between nodes are lost.
    PeersLost,
    /// Answers of discovery are seconds late, and out of order.
    ListLate,
    /// Discovery answers nothing.
    ListDown,
    /// Discovery answers with an older revision.
    ListOld,
    /// Discovery's list is empty for a while.
    ListEmpty,
    /// A box's machine is cut off and comes back.
    CutOff,
    /// Nothing goes from a node to a box, or back.
    OneWay,
    /// A box resets connections in the middle of answers.
    Resets,
    /// A box begins answers and stalls.
    Stalls,
    /// Clients read slowly.
    SlowReaders,
    /// Clients leave before their time.
    Leavers,
    /// The origin resets calls after they ran.
    OriginResets,
    /// A box's power goes and it comes back cold.
    PowerLoss,
    /// Staff drain a node and bring it back.
    Drain,
    /// Staff drain a node and bring it back several times in a row, and drain it for good for some seconds.
    DrainSeries,
    /// A new process takes over a node beside the old one.
    Upgrade,
    /// Connections come that never finish a command, and clients write their heads slowly.
    Crowd,
    /// Part of the keys have large values.
    Large,
    /// All boxes of a zone die at once and come back cold.
    ZoneLost,
    /// All boxes of a zone are cut off from everybody, and come back as they were.
    ZoneSilent,
    /// Two zones are cut from each other, nodes and boxes; all others see both.
    ZonesApart,
    /// Several nodes are killed at once, those that vote among them.
    NodesKilled,
    /// Wall clocks are stepped by seconds or an hour: of a node, of all, of discovery.
    WallClockStep,
    /// System calls of a node fail.
    SystemCalls,
    /// A box answers part of its commands a second time.
    SecondAnswers,
}

impl Kind {
    /// All kinds, in the order in which the documents name them.
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
pub enum Ends {
    /// The old process is told to stop once the new one can serve.
    InOrder,
    /// The old one is killed at that moment.
    OldKilled,
    /// The new one is killed soon after it can serve; the old one goes on.
    NewKilled,
}

/// What goes wrong. Times are milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// These boxes die at once and come back cold.
    Crash {
        /// Which.
        boxes: Vec<ServerIndex>,
        /// After how long each is back.
        down_ms: u64,
    },
    /// Boxes that are ready when it begins are replaced, a batch at a time.
    Deploy {
        /// How many at a time.
        batch: usize,
        /// How many in all.
        most: usize,
        /// How long a box drains.
        drain_ms: u64,
    },
    /// A node ends and starts again.
    Node {
        /// Which.
        node: NodeIndex,
        /// Told to stop first, or killed.
        planned: bool,
        /// How long it is away.
        down_ms: u64,
    },
    /// The load is a multiple of the usual.
    Burst {
        /// The multiple.
        factor: f64,
        /// For how long.
        for_ms: u64,
    },
    /// No client asks anything.
    Quiet {
        /// For how long.
        for_ms: u64,
    },
    /// Messages between nodes are lost.
    PeersLost {
        /// The part that is lost.
        part: f64,
        /// For how long.
        for_ms: u64,
    },
    /// Answers of discovery are late.
    ListLate {
        /// By about how much.
        late_ms: u64,
        /// For how long.
        for_ms: u64,
    },
    /// Discovery answers nothing.
    ListDown {
        /// For how long.
        for_ms: u64,
    },
    /// Discovery answers with the list of so many revisions ago.
    ListOld {
        /// How many.
        back: u64,
        /// For how long.
        for_ms: u64,
    },
    /// Discovery's list holds no box.
    ListEmpty {
        /// For how long.
        for_ms: u64,
    },
    /// A box's machine is cut off.
    CutOff {
        /// Which.
        at: ServerIndex,
        /// For how long.
        for_ms: u64,
    },
    /// A link is cut in one direction.
    OneWay {
        /// The node.
        node: NodeIndex,
        /// The box.
        at: ServerIndex,
        /// From the node to the box, or back.
        to_box: bool,
        /// For how long.
        for_ms: u64,
    },
    /// A box spoils answers.
    Spoil {
        /// Which.
        at: ServerIndex,
        /// The part that ends in a reset.
        resets: f64,
        /// The part that stalls.
        stalls: f64,
        /// For how long.
        for_ms: u64,
    },
    /// A box answers commands a second time, byte by byte the same: between other answers, never within one.
    SecondAnswers {
        /// Which.
        at: ServerIndex,
        /// The part of the commands.
        part: f64,
        /// So long after the first answer at most.
        most_ms: u64,
        /// For how long.
        for_ms: u64,
    },
    /// Clients misbehave.
    Clients {
        /// The part that leaves early.
        leavers: f64,
        /// The part that reads slowly.
        slow: f64,
        /// For how long.
        for_ms: u64,
    },
    /// The origin resets calls after they ran.
    OriginResets {
        /// The part.
        part: f64,
        /// For how long.
        for_ms: u64,
    },
    /// A box loses power and comes back cold.
    PowerLoss {
        /// Which.
        at: ServerIndex,
        /// After how long.
        down_ms: u64,
    },
    /// Staff drain a node.
    Drain {
        /// Which.
        node: NodeIndex,
        /// For how long.
        for_ms: u64,
    },
    /// Staff drain a node and bring it back in a row; it stays drained behind the last.
    DrainSeries {
        /// Which.
        node: NodeIndex,
        /// How often it is brought back before.
        times: u32,
        /// Between two calls.
        apart_ms: u64,
        /// For how long it is drained in the end.
        for_ms: u64,
    },
    /// A new process takes over from the one that runs.
    Upgrade {
        /// Which node.
        node: NodeIndex,
        /// What happens to the two.
        ends: Ends,
    },
    /// Connections come that never finish a command.
    Crowd {
        /// How many a second.
        per_s: f64,
        /// The part of the true clients that write a head in pieces, over up to 2 s.
        slow: f64,
        /// For how long.
        for_ms: u64,
    },
    /// Part of the keys have large values, which come in pieces.
    Large {
        /// The part.
        part: f64,
        /// Bytes of such a value.
        bytes: usize,
        /// For how long.
        for_ms: u64,
    },
    /// All boxes of a zone die and come back cold.
    ZoneLost {
        /// The zone, by its place in the scenario.
        zone: usize,
        /// After how long.
        down_ms: u64,
    },
    /// All boxes of a zone are cut off.
    ZoneSilent {
        /// The zone.
        zone: usize,
        /// For how long.
        for_ms: u64,
    },
    /// Nodes and boxes of two zones are cut from each other.
    ZonesApart {
        /// The one.
        a: usize,
        /// The other.
        b: usize,
        /// For how long.
        for_ms: u64,
    },
    /// These nodes are killed at once and start from nothing.
    NodesKilled {
        /// Which.
        nodes: Vec<NodeIndex>,
        /// After how long.
        down_ms: u64,
    },
    /// A part of the system calls of a node fails.
    SystemCalls {
        /// Which node.
        node: NodeIndex,
        /// Which call. Where it opens a socket the node is killed, and starts while it fails.
        call: SystemCall,
        /// How it fails.
        failure: Failure,
        /// The part of the calls.
        part: f64,
        /// For how long.
        for_ms: u64,
    },
    /// A box is declared gone, and listed so at once, when so many packets have been carried.
    GoneAtPacket {
        /// Which.
        at: ServerIndex,
        /// The number of the packet.
        packet: u64,
        /// Whether it drains only.
        drains: bool,
    },
    /// Discovery moves: nodes are given new configurations in a row, of which only the last names an address that
    /// answers.
    DiscoveryMoves {
        /// How many.
        configurations: usize,
        /// The time between two.
        apart_ms: u64,
    },
    /// Wall clocks are stepped, and stay so; monotonic clocks run on.
    WallClockStep(WallClockStep),
}

/// A fault and when it begins, in milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Fault {
    /// When.
    pub at_ms: u64,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

impl Fault {
    /// Whether it can happen in a world of so many boxes and nodes; boxes that a deployment adds are not counted.
    ///
    /// # Errors
    /// What names something that is not there, or is no possible figure.
    pub fn validate(&self, boxes: usize, nodes: usize) -> Result<(), String> {
        let is_box = |at: ServerIndex| if at < boxes { Ok(()) } else { Err(format!("there is no box {at}")) };
        let is_node = |at: NodeIndex| if at < nodes { Ok(()) } else { Err(format!("there is no node {at}")) };
        let part = |p: f64| if (0.0..=1.0).contains(&p) { Ok(()) } else { Err(format!("{p} is no part")) };
        match &self.what {
            What::Crash { boxes, .. } => boxes.iter().try_for_each(|b| is_box(*b)),
            What::Node { node, .. }
            | What::Drain { node, .. }
            | What::DrainSeries { node, .. }
            | What::Upgrade { node, .. } => is_node(*node),
            What::WallClockStep(step) => step.nodes.iter().try_for_each(|n| is_node(*n)),
            What::NodesKilled { nodes, .. } => nodes.iter().try_for_each(|n| is_node(*n)),
            // Zones are dealt out over the boxes: one beyond them all has none.
            What::ZoneLost { zone, .. } | What::ZoneSilent { zone, .. } => is_box(*zone),
            What::ZonesApart { a, b, .. } => is_box(*a).and_then(|()| is_box(*b)),
            What::Burst { factor, .. } if !(0.01..=1000.0).contains(factor) => {
                Err(format!("a burst of {factor} times the load"))
            }
            What::PeersLost { part: p, .. } | What::OriginResets { part: p, .. } => part(*p),
            What::CutOff { at, .. } | What::PowerLoss { at, .. } | What::GoneAtPacket { at, .. } => {
                is_box(*at)
            }
            What::OneWay { node, at, .. } => is_node(*node).and_then(|()| is_box(*at)),
            What::Spoil { at, resets, stalls, .. } => {
                is_box(*at).and_then(|()| part(*resets)).and_then(|()| part(*stalls))
            }
            What::SecondAnswers { at, part: p, .. } => is_box(*at).and_then(|()| part(*p)),
            What::Clients { leavers, slow, .. } => part(*leavers).and_then(|()| part(*slow)),
            What::Crowd { per_s, .. } if !(0.1..=10_000.0).contains(per_s) => {
                Err(format!("a crowd of {per_s} connections a second"))
            }
            What::Crowd { slow, .. } => part(*slow),
            What::Large { bytes, .. } if *bytes > LARGEST => {
                Err(format!("a value of {bytes} bytes, {LARGEST} at most"))
            }
            What::Large { part: p, .. } => part(*p),
            What::SystemCalls { call, failure, .. } if !call.failures().contains(failure) => {
                Err(format!("{call:?} does not fail with {failure:?}"))
            }
            What::SystemCalls { node, part: p, .. } => is_node(*node).and_then(|()| part(*p)),
            _ => Ok(()),
        }
    }
}

/// Draws the script of one run. Faults overlap as chance has it.
pub fn draw(scenario: &Scenario, rng: &mut Pcg64Mcg) -> Vec<Fault> {
    let [least, most] = scenario.faults.count;
    let span = (scenario.seconds * 1e3) as u64;
    let mut script = Vec::new();
    for _ in 0..rng.random_range(least..=most.max(least)) {
        let Some(kind) = scenario.faults.kinds.choose(rng) else { break };
        let at_ms = rng.random_range(0..(span * 4 / 5).max(1));
        script.push(Fault { at_ms, what: one(*kind, scenario, rng) });
    }
    script.sort_by_key(|f| f.at_ms);
    script
}

fn one(kind: Kind, scenario: &Scenario, rng: &mut Pcg64Mcg) -> What {
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
            ends: [Ends::InOrder, Ends::InOrder, Ends::OldKilled, Ends::NewKilled][rng.random_range(0..4)],
        },
    }
}
