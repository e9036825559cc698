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
use crate::record::{Change, ChangePropagation};

/// Interval at which the nodes' state is polled: the resolution of the simulated clock.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// A node that has not acted on a change within this time counts as not having acted.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Validity of the operator's order that changes the plan.
const ORDER_VALIDITY: Duration = Duration::from_secs(60);

/// What the nodes log about the agreement: which node leads, and when each first acted on the latest plan.
#[derive(Clone, Default)]
pub struct AgreementLog(Rc<RefCell<AgreementState>>);

#[derive(Default)]
struct AgreementState {
    leader: Option<usize>,
    acted: BTreeMap<usize, Instant>,
}

impl AgreementLog {
    /// Starts reading the logs of all nodes of a fleet.
    pub fn watch(fleet: &SimulatedFleet) -> AgreementLog {
        let log = AgreementLog::default();
        let state = log.0.clone();
        fleet.net.set_log_sink(move |at, name, line| {
            let Some(node) = name.strip_prefix("node ").and_then(|number| number.parse().ok()) else {
                return;
            };
            state.borrow_mut().read(at, node, &line.to_string());
        });
        log
    }

    /// The leader according to the logs.
    pub fn leader(&self) -> Option<usize> {
        self.0.borrow().leader
    }

    fn forget_plans(&self) {
        self.0.borrow_mut().acted.clear();
    }

    /// When each node first acted on a plan since [`forget_plans`](Self::forget_plans).
    fn acted(&self) -> Vec<Instant> {
        self.0.borrow().acted.values().copied().collect()
    }
}

impl AgreementState {
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

/// Adds a server to the list, and measures how long each node takes to apply a list with it.
pub async fn of_list_change(fleet: &SimulatedFleet) -> ChangePropagation {
    let revision = fleet.add_listed_server();
    until_listed(fleet, revision).await
}

/// Measures how long from now each node takes to apply a list with at least this revision.
pub async fn until_listed(fleet: &SimulatedFleet, revision: u64) -> ChangePropagation {
    let begin = Instant::now();
    let mut acted: BTreeMap<usize, Duration> = BTreeMap::new();
    while begin.elapsed() < TIMEOUT && acted.len() < fleet.size.nodes as usize {
        sleep(POLL_INTERVAL).await;
        fleet.for_each_node(|number, node| {
            if node.ops_endpoint.metrics.list_revision() >= revision {
                acted.entry(number).or_insert_with(|| begin.elapsed());
            }
        });
    }
    summary(Change::List, fleet.size.nodes, acted.into_values().collect())
}

/// Sends an operator's order to keep a zone out to one node, and measures how long each node takes to act on
/// a plan with that order.
pub async fn of_plan_change(fleet: &SimulatedFleet, log: &AgreementLog) -> ChangePropagation {
    let zone = fleet.layout.settings_zones().len() - 1;
    let begin = Instant::now();
    log.forget_plans();
    let order = Control::ZoneOrder(ZoneOrder {
        zone,
        kind: OrderKind::KeepOut,
        duration_ms: ORDER_VALIDITY.as_millis() as u64,
    });
    fleet.for_each_node(|number, node| {
        if number == 0 {
            let _ = node.control.try_send(order);
        }
    });
    while begin.elapsed() < TIMEOUT && log.acted().len() < fleet.size.nodes as usize {
        sleep(POLL_INTERVAL).await;
    }
    let acted = log.acted().into_iter().map(|at| at - begin).collect();
    summary(Change::Plan, fleet.size.nodes, acted)
}

fn summary(change: Change, expected: u32, mut acted: Vec<Duration>) -> ChangePropagation {
    acted.sort();
    let at = |share: f64| {
        let index = (share * acted.len() as f64).ceil() as usize;
        acted.get(index.saturating_sub(1)).map_or(0.0, Duration::as_secs_f64)
    };
    ChangePropagation {
        change,
        acted: acted.len() as u32,
        expected,
        p50_s: at(0.5),
        p99_s: at(0.99),
        last_s: at(1.0),
    }
}
