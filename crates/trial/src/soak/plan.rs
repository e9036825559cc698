//! The events of one seed of a soak test, drawn from that seed alone.

use std::time::Duration;

use chalksill_world::scenario::Scenario;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::flood::FloodKind;
use crate::plan::{DiscoveryPlacement, LinkDelays, Trial};
use crate::topology::Topology;

/// The scenario of a soak test, except for the settings that are drawn.
const SCENARIO: &str = include_str!("world.toml");
/// Number of nodes.
const NODES: usize = 3;
/// Number of cache servers.
const SERVERS: usize = 4;
/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_millis(10_500);
/// Earliest time of a node's first event.
const EARLIEST_EVENT: Duration = Duration::from_millis(800);
/// Delays in milliseconds between a signal or call and another one while the first takes effect.
const OVERLAP_DELAYS_MS: [u64; 6] = [0, 30, 300, 1200, 2500, 3900];
/// Drained nodes are checked 4 s after the call; events that follow the check come after this time.
const AFTER_DRAIN_CHECK: Duration = Duration::from_millis(4300);
/// One-way trips before the first command of a connection arrives: the handshake's round trip, and the command's own.
const TRIPS_BEFORE_FIRST_COMMAND: u32 = 3;
/// Time from a termination to the node's restart: longer than the earliest kill and the exit of the old process take.
const RESTART_DELAY: Duration = Duration::from_millis(4000);

/// An event of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An operator drains it.
    Drain,
    /// An operator ends the drain.
    Undrain,
    /// Its connections are checked 4 s after its drain.
    CheckDrained,
    /// It reloads its configuration (SIGHUP).
    Reload,
    /// It is terminated (SIGTERM), and killed at the earliest time.
    Terminate,
    /// It is killed.
    Kill,
    /// It starts again, after it has exited.
    Start,
    /// A new version takes over.
    Upgrade,
}

/// A fault of other services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Connections to cache servers are reset.
    ServersReset,
    /// A cache server stops responding.
    ServerHangs {
        /// The server, by index.
        server: usize,
        /// Duration of the fault.
        duration: Duration,
    },
    /// Cache servers respond late.
    ServersLate {
        /// Additional delay, each way.
        by: Duration,
        /// Duration of the fault.
        duration: Duration,
    },
    /// Discovery responds with an error.
    DiscoveryDown {
        /// Duration of the fault.
        duration: Duration,
    },
}

/// Clients that send to one node at full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FloodPlan {
    /// When they begin.
    pub at: Duration,
    /// For how long.
    pub duration: Duration,
    /// The node, by index.
    pub node: usize,
    /// What they send.
    pub kind: FloodKind,
    /// On how many connections.
    pub connections: usize,
}

/// All events of one seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Duration of the load.
    pub load_duration: Duration,
    /// Deadlines of reads and of writes, in milliseconds.
    pub deadlines_ms: [u64; 2],
    /// Whether the platform holds the nodes' client sockets, and new versions take over.
    pub upgrades: bool,
    /// Rate of connections that never complete a command, if the seed has any.
    pub stalled_connections_per_s: Option<f64>,
    /// Clients that send at full speed, if the seed has any.
    pub flood: Option<FloodPlan>,
    /// Events of each node, with their times.
    pub nodes: Vec<Vec<(Duration, Event)>>,
    /// Faults, with their times.
    pub faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let upgrades = rng.random_bool(0.4);
        let deadlines_ms =
            *[[300, 400], [1500, 4000], [2500, 6000]].choose(&mut rng).expect("the array is not empty");
        let stalled_connections_per_s = (seed % 4 == 3).then(|| rng.random_range(30.0..120.0));
        let nodes = (0..NODES).map(|_| draw_node_events(upgrades, &mut rng)).collect();
        let count = rng.random_range(1..=4);
        let mut faults: Vec<_> = (0..count).map(|_| draw_fault(&mut rng)).collect();
        faults.sort_by_key(|(at, _)| *at);
        let flood = (seed % 4 == 1).then(|| draw_flood(&mut rng));
        Plan {
            seed,
            flood,
            load_duration: LOAD_DURATION,
            deadlines_ms,
            upgrades,
            stalled_connections_per_s,
            nodes,
            faults,
        }
    }

    /// The longest time by which links delay a command to a cache server: on a new connection, a relay also delays the first
    /// bytes for as long as the handshake takes.
    pub fn max_extra_server_delay(&self) -> Duration {
        let extra_delay = |(_, fault): &(Duration, Fault)| match fault {
            Fault::ServersLate { by, .. } => *by,
            _ => Duration::ZERO,
        };
        // Several may overlap.
        let delay: Duration = self.faults.iter().map(extra_delay).sum();
        (TRIPS_BEFORE_FIRST_COMMAND * delay).mul_f64(1.0 + LinkDelays::default().jitter)
    }

    /// The trial to run it as.
    ///
    /// # Errors
    /// An invalid scenario.
    pub fn trial(&self) -> Result<Trial, String> {
        let mut scenario = Scenario::read(SCENARIO).map_err(|e| e.to_string())?;
        scenario.nodes.count = NODES;
        scenario.boxes.count = SERVERS;
        scenario.seconds = self.load_duration.as_secs_f64();
        for (class, deadline_ms) in scenario.class.iter_mut().zip(self.deadlines_ms) {
            class.deadline_ms = deadline_ms;
            class.aim_ms = class.aim_ms.min(deadline_ms);
        }
        let topology =
            Topology::new(&scenario, &[], None).map_err(|(key, message)| format!("{key}: {message}"))?;
        Ok(Trial {
            name: "soak".into(),
            about: "Drains, terminations and new versions under clients that go on using their connections."
                .into(),
            scenario,
            topology,
            link_delays: LinkDelays::default(),
            discovery: DiscoveryPlacement::One,
            steps: Vec::new(),
            expectations: Vec::new(),
            older_nodes: Vec::new(),
            operations_enabled: true,
            inherited_sockets: self.upgrades,
        })
    }
}

/// Draws the events of one node: one of several sequences, at a random time.
fn draw_node_events(upgrades: bool, rng: &mut Pcg64Mcg) -> Vec<(Duration, Event)> {
    use Event::*;
    let ms = Duration::from_millis;
    let begin = EARLIEST_EVENT + ms(rng.random_range(0..1500));
    let overlap = ms(*OVERLAP_DELAYS_MS.choose(rng).expect("the array is not empty"));
    let second_delay = ms(rng.random_range(0..1500));
    let after_check = begin + AFTER_DRAIN_CHECK;
    let sequences = if upgrades { 9 } else { 7 };
    match rng.random_range(0..sequences) {
        0 => vec![(begin, Drain), (begin, CheckDrained), (after_check, Undrain)],
        1 => vec![
            (begin, Drain),
            (begin + second_delay, Undrain),
            (begin + second_delay + second_delay / 2, Drain),
            (begin + second_delay + second_delay / 2, CheckDrained),
            (after_check + second_delay + second_delay / 2, Undrain),
        ],
        2 => vec![(begin, Drain), (begin + overlap, Terminate), (begin + overlap + RESTART_DELAY, Start)],
        3 => vec![
            (begin, Terminate),
            (begin + overlap, Drain),
            (begin + overlap + second_delay, Undrain),
            (begin + overlap + RESTART_DELAY, Start),
        ],
        4 => vec![(begin, Terminate), (begin + RESTART_DELAY, Start)],
        5 => vec![
            (begin, Reload),
            (begin + second_delay / 3, Drain),
            (begin + second_delay / 2, Reload),
            (begin + second_delay, Drain),
            (begin + second_delay, CheckDrained),
            (after_check + second_delay, Undrain),
        ],
        6 => vec![(begin, Kill), (begin + second_delay, Start), (begin + second_delay + ms(1500), Terminate)],
        7 => vec![(begin, Upgrade), (begin + ms(4500), Drain), (begin + ms(4500), CheckDrained)],
        _ => vec![(begin, Drain), (begin + overlap, Upgrade)],
    }
}

fn draw_flood(rng: &mut Pcg64Mcg) -> FloodPlan {
    let ms = Duration::from_millis;
    FloodPlan {
        at: ms(rng.random_range(200..4000)),
        duration: ms(rng.random_range(1000..4500)),
        node: rng.random_range(0..NODES),
        kind: *FloodKind::ALL.choose(rng).expect("the array is not empty"),
        connections: rng.random_range(1..=8),
    }
}

fn draw_fault(rng: &mut Pcg64Mcg) -> (Duration, Fault) {
    let ms = Duration::from_millis;
    let at = ms(rng.random_range(500..8000));
    let duration = ms(rng.random_range(300..2500));
    let fault = match rng.random_range(0..4) {
        0 => Fault::ServersReset,
        1 => Fault::ServerHangs { server: rng.random_range(0..SERVERS), duration },
        2 => Fault::ServersLate { by: ms(rng.random_range(20..250)), duration },
        _ => Fault::DiscoveryDown { duration },
    };
    (at, fault)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_draws_the_same_plan_again_with_a_valid_scenario() {
        for seed in 0..200 {
            let plan = Plan::draw(seed);
            assert_eq!(plan, Plan::draw(seed));
            plan.trial().expect("the scenario is valid");
            assert!(plan.upgrades || plan.nodes.iter().flatten().all(|(_, event)| *event != Event::Upgrade));
            assert_eq!(plan.stalled_connections_per_s.is_some(), seed % 4 == 3);
            assert_eq!(plan.flood.is_some(), seed % 4 == 1);
            for events in &plan.nodes {
                assert!(events.is_sorted_by_key(|(at, _)| *at), "seed {seed}: {events:?}");
            }
        }
    }

    #[test]
    fn every_event_and_fault_is_drawn_in_few_seeds() {
        let plans: Vec<Plan> = (0..50).map(Plan::draw).collect();
        let happens =
            |wanted: Event| plans.iter().flat_map(|p| p.nodes.iter().flatten()).any(|(_, e)| *e == wanted);
        use Event::*;
        for event in [Drain, Undrain, CheckDrained, Reload, Terminate, Kill, Start, Upgrade] {
            assert!(happens(event), "{event:?}");
        }
        for kind in FloodKind::ALL {
            assert!(plans.iter().any(|plan| plan.flood.is_some_and(|flood| flood.kind == kind)), "{kind:?}");
        }
        let faults: Vec<Fault> =
            plans.iter().flat_map(|p| p.faults.iter().map(|(_, fault)| *fault)).collect();
        assert!(faults.contains(&Fault::ServersReset));
        assert!(faults.iter().any(|f| matches!(f, Fault::ServerHangs { .. })));
        assert!(faults.iter().any(|f| matches!(f, Fault::ServersLate { .. })));
        assert!(faults.iter().any(|f| matches!(f, Fault::DiscoveryDown { .. })));
    }
}
