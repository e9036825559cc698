//! How long a change takes until all nodes act on it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use chalksill_world::agreement::{self, ReportedPlan};
use mothpier_node::Control;
use mothpier_plan::{OrderKind, ZoneOrder};
use tokio::time::{Instant, sleep};

use super::fleet::SimulatedFleet;
use crate::record::{Change, ChangeSpread};

/// Between two looks at what nodes act on: the grain of the simulated clock.
const LOOK: Duration = Duration::from_millis(1);
/// A change that some node does not act on within this time counts as not acted on there.
const LONGEST: Duration = Duration::from_secs(15);
/// For how long the order stands that makes the plan change.
const ORDER: Duration = Duration::from_secs(60);

/// What the nodes' logs tell of the agreement: who leads, and when each acted on the latest plan.
#[derive(Clone, Default)]
pub struct AgreementLog(Rc<RefCell<Agreed>>);

#[derive(Default)]
struct Agreed {
    leader: Option<usize>,
    acted: BTreeMap<usize, Instant>,
}

impl AgreementLog {
    /// Reads the logs of all nodes of a fleet from now on.
    pub fn watch(fleet: &SimulatedFleet) -> AgreementLog {
        let log = AgreementLog::default();
        let told = log.0.clone();
        fleet.net.set_log_sink(move |at, name, line| {
            let Some(node) = name.strip_prefix("node ").and_then(|number| number.parse().ok()) else {
                return;
            };
            told.borrow_mut().read(at, node, &line.to_string());
        });
        log
    }

    /// The node that leads, as far as logs tell.
    pub fn leader(&self) -> Option<usize> {
        self.0.borrow().leader
    }

    fn forget_plans(&self) {
        self.0.borrow_mut().acted.clear();
    }

    /// When each node that acted on a plan since then did so first.
    fn acted(&self) -> Vec<Instant> {
        self.0.borrow().acted.values().copied().collect()
    }
}

impl Agreed {
    fn read(&mut self, at: Instant, node: usize, line: &str) {
        if ReportedPlan::parse(line).is_some() {
            self.acted.entry(node).or_insert(at);
        }
        match agreement::leadership_change(line) {
            Some(true) => self.leader = Some(node),
            Some(false) if self.leader == Some(node) => self.leader = None,
            _ => {}
        }
    }
}

/// One more server is listed now: how long until each node has taken in a list with it.
pub async fn of_list(fleet: &SimulatedFleet) -> ChangeSpread {
    let revision = fleet.list_one_more();
    until_list(fleet, revision).await
}

/// How long from now until each node has taken in a list of this revision or a later one.
pub async fn until_list(fleet: &SimulatedFleet, revision: u64) -> ChangeSpread {
    let begin = Instant::now();
    let mut acted: BTreeMap<usize, Duration> = BTreeMap::new();
    while begin.elapsed() < LONGEST && acted.len() < fleet.size.nodes as usize {
        sleep(LOOK).await;
        fleet.each_node(|number, node| {
            if node.desk.metrics.list_revision() >= revision {
                acted.entry(number).or_insert_with(|| begin.elapsed());
            }
        });
    }
    summary(Change::List, fleet.size.nodes, acted.into_values().collect())
}

/// Staff order a zone out at one node: how long until each node acts on a plan that says so.
pub async fn of_plan(fleet: &SimulatedFleet, log: &AgreementLog) -> ChangeSpread {
    let zone = fleet.layout.settings_zones().len() - 1;
    let begin = Instant::now();
    log.forget_plans();
    let order = Control::ZoneOrder(ZoneOrder {
        zone,
        kind: OrderKind::KeepOut,
        duration_ms: ORDER.as_millis() as u64,
    });
    fleet.each_node(|number, node| {
        if number == 0 {
            let _ = node.control.try_send(order);
        }
    });
    while begin.elapsed() < LONGEST && log.acted().len() < fleet.size.nodes as usize {
        sleep(LOOK).await;
    }
    let acted = log.acted().into_iter().map(|at| at - begin).collect();
    summary(Change::Plan, fleet.size.nodes, acted)
}

fn summary(change: Change, expected: u32, mut acted: Vec<Duration>) -> ChangeSpread {
    acted.sort();
    let at = |part: f64| {
        let place = (part * acted.len() as f64).ceil() as usize;
        acted.get(place.saturating_sub(1)).map_or(0.0, Duration::as_secs_f64)
    };
    ChangeSpread {
        change,
        acted: acted.len() as u32,
        expected,
        p50_s: at(0.5),
        p99_s: at(0.99),
        last_s: at(1.0),
    }
}
