//! What happens in one seed of a soak, drawn from that seed alone.

use std::time::Duration;

use chalksill_world::scenario::Scenario;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::party::Map;
use crate::plan::{PerRegion, Trial, Ways};

/// The world of a soak, but for what is drawn.
const WORLD: &str = include_str!("world.toml");
/// Nodes of a soak.
const NODES: usize = 3;
/// Cache servers of a soak.
const SERVERS: usize = 4;
/// How long the load lasts.
const SPAN: Duration = Duration::from_millis(10_500);
/// No story begins before.
const FIRST: Duration = Duration::from_millis(800);
/// Between a signal or call and the one that crosses it.
const CROSSINGS_MS: [u64; 6] = [0, 30, 300, 1200, 2500, 3900];
/// A drain is judged four seconds after it was told; what follows comes later.
const JUDGED: Duration = Duration::from_millis(4300);
/// The handshake goes there and back, and the first words go there.
const WAYS_OF_FIRST_WORDS: u32 = 3;
/// After the earliest kill, and what is left of the old process, a node starts again.
const RESTART: Duration = Duration::from_millis(4000);

/// What happens to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Staff tell it to drain.
    Drain,
    /// Staff bring it back.
    Undrain,
    /// What it holds is judged, four seconds after its drain.
    Judge,
    /// It reads its configuration again (SIGHUP).
    Reload,
    /// It is told to end (SIGTERM) and killed at the earliest time.
    End,
    /// It is killed.
    Kill,
    /// It starts again, once it has ended.
    Start,
    /// A new version takes over.
    Upgrade,
}

/// What goes wrong round the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Connections to cache servers are reset.
    ServersReset,
    /// A cache server hangs.
    ServerHangs {
        /// Which.
        server: usize,
        /// For how long.
        span: Duration,
    },
    /// Cache servers are late.
    ServersLate {
        /// By so much, each way.
        by: Duration,
        /// For how long.
        span: Duration,
    },
    /// Discovery answers nothing.
    DiscoveryDown {
        /// For how long.
        span: Duration,
    },
}

/// All that happens in one seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// How long the load lasts.
    pub span: Duration,
    /// The deadlines of reads and of writes, milliseconds.
    pub deadlines_ms: [u64; 2],
    /// Whether the platform holds the nodes' sockets, and new versions come.
    pub upgrades: bool,
    /// Connections a second that finish no command, where there is a crowd.
    pub crowd: Option<f64>,
    /// What happens to each node.
    pub nodes: Vec<Vec<(Duration, Event)>>,
    /// What goes wrong round them.
    pub faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// The plan of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let upgrades = rng.random_bool(0.4);
        let deadlines_ms =
            *[[300, 400], [1500, 4000], [2500, 6000]].choose(&mut rng).expect("there are some");
        let crowd = (seed % 4 == 3).then(|| rng.random_range(30.0..120.0));
        let nodes = (0..NODES).map(|_| story(upgrades, &mut rng)).collect();
        let count = rng.random_range(1..=4);
        let mut faults: Vec<_> = (0..count).map(|_| fault(&mut rng)).collect();
        faults.sort_by_key(|(at, _)| *at);
        Plan { seed, span: SPAN, deadlines_ms, upgrades, crowd, nodes, faults }
    }

    /// The longest that words to a cache server are held back on their way: a relay holds those on a new connection back for as
    /// long as the handshake would have taken, too.
    pub fn latest_words(&self) -> Duration {
        let by = |(_, fault): &(Duration, Fault)| match fault {
            Fault::ServersLate { by, .. } => *by,
            _ => Duration::ZERO,
        };
        // Some may overlap.
        let delay: Duration = self.faults.iter().map(by).sum();
        (WAYS_OF_FIRST_WORDS * delay).mul_f64(1.0 + Ways::default().jitter)
    }

    /// The world in which it is played.
    ///
    /// # Errors
    /// A world that can't be.
    pub fn trial(&self) -> Result<Trial, String> {
        let mut world = Scenario::read(WORLD).map_err(|e| e.to_string())?;
        world.nodes.count = NODES;
        world.boxes.count = SERVERS;
        world.seconds = self.span.as_secs_f64();
        for (class, deadline_ms) in world.class.iter_mut().zip(self.deadlines_ms) {
            class.deadline_ms = deadline_ms;
            class.aim_ms = class.aim_ms.min(deadline_ms);
        }
        let map = Map::new(&world, &[], None).map_err(|(key, what)| format!("{key}: {what}"))?;
        Ok(Trial {
            name: "soak".into(),
            about: "Drains, ends and new versions under clients that go on using their connections.".into(),
            scenario: world,
            map,
            ways: Ways::default(),
            discovery: PerRegion::One,
            steps: Vec::new(),
            musts: Vec::new(),
            before: Vec::new(),
            staffed: true,
            held_sockets: self.upgrades,
        })
    }
}

/// What happens to one node: one story, at a time of its own.
fn story(upgrades: bool, rng: &mut Pcg64Mcg) -> Vec<(Duration, Event)> {
    use Event::*;
    let ms = Duration::from_millis;
    let begin = FIRST + ms(rng.random_range(0..1500));
    let crossing = ms(*CROSSINGS_MS.choose(rng).expect("there are some"));
    let again = ms(rng.random_range(0..1500));
    let after_judged = begin + JUDGED;
    let kinds = if upgrades { 9 } else { 7 };
    match rng.random_range(0..kinds) {
        0 => vec![(begin, Drain), (begin, Judge), (after_judged, Undrain)],
        1 => vec![
            (begin, Drain),
            (begin + again, Undrain),
            (begin + again + again / 2, Drain),
            (begin + again + again / 2, Judge),
            (after_judged + again + again / 2, Undrain),
        ],
        2 => vec![(begin, Drain), (begin + crossing, End), (begin + crossing + RESTART, Start)],
        3 => vec![
            (begin, End),
            (begin + crossing, Drain),
            (begin + crossing + again, Undrain),
            (begin + crossing + RESTART, Start),
        ],
        4 => vec![(begin, End), (begin + RESTART, Start)],
        5 => vec![
            (begin, Reload),
            (begin + again / 3, Drain),
            (begin + again / 2, Reload),
            (begin + again, Drain),
            (begin + again, Judge),
            (after_judged + again, Undrain),
        ],
        6 => vec![(begin, Kill), (begin + again, Start), (begin + again + ms(1500), End)],
        7 => vec![(begin, Upgrade), (begin + ms(4500), Drain), (begin + ms(4500), Judge)],
        _ => vec![(begin, Drain), (begin + crossing, Upgrade)],
    }
}

fn fault(rng: &mut Pcg64Mcg) -> (Duration, Fault) {
    let ms = Duration::from_millis;
    let at = ms(rng.random_range(500..8000));
    let span = ms(rng.random_range(300..2500));
    let fault = match rng.random_range(0..4) {
        0 => Fault::ServersReset,
        1 => Fault::ServerHangs { server: rng.random_range(0..SERVERS), span },
        2 => Fault::ServersLate { by: ms(rng.random_range(20..250)), span },
        _ => Fault::DiscoveryDown { span },
    };
    (at, fault)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_draws_the_same_plan_again_and_its_world_can_be() {
        for seed in 0..200 {
            let plan = Plan::draw(seed);
            assert_eq!(plan, Plan::draw(seed));
            plan.trial().expect("its world can be");
            assert!(plan.upgrades || plan.nodes.iter().flatten().all(|(_, event)| *event != Event::Upgrade));
            assert_eq!(plan.crowd.is_some(), seed % 4 == 3);
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
        for event in [Drain, Undrain, Judge, Reload, End, Kill, Start, Upgrade] {
            assert!(happens(event), "{event:?}");
        }
        let faults: Vec<Fault> =
            plans.iter().flat_map(|p| p.faults.iter().map(|(_, fault)| *fault)).collect();
        assert!(faults.contains(&Fault::ServersReset));
        assert!(faults.iter().any(|f| matches!(f, Fault::ServerHangs { .. })));
        assert!(faults.iter().any(|f| matches!(f, Fault::ServersLate { .. })));
        assert!(faults.iter().any(|f| matches!(f, Fault::DiscoveryDown { .. })));
    }
}
