//! Origin calls of the whole fleet: what the design permits for all nodes together, what the nodes' own
//! limits add up to, and the highest number observed.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use chalksill_world::observe::{Observation, ObservedEvent};

use super::fleet::SimulatedFleet;
use super::settings;
use crate::record::{FleetSum, Limit};
use crate::scenario::Scenario;

/// Outstanding origin calls that the whole fleet may have even if the quotas result in fewer, as in the decision
/// module.
const MIN_CALLS_OF_FLEET: f64 = 80.0;
/// Time in which the quotas send as many calls as may be outstanding, in seconds, as in the decision module.
const ORIGIN_CALL_S: f64 = 0.1;
/// Origin calls per second that each node may make even if its share of the quotas is smaller.
const MIN_CALLS_PER_S_PER_NODE: f64 = 30.0;
/// Window of the limit of calls per second, as a share of the longest target latency.
const WINDOW_PER_TARGET_LATENCY: f64 = 0.25;

/// Counts origin calls as they arrive and end.
#[derive(Clone)]
pub struct OriginCalls(Rc<RefCell<Counts>>);

struct Counts {
    origin_number: usize,
    window: Duration,
    outstanding: u64,
    max_outstanding: u64,
    /// Arrivals within the window that ends now.
    arrivals: VecDeque<Duration>,
    max_arrivals: usize,
}

impl OriginCalls {
    /// Starts counting the origin calls of this fleet.
    pub fn watch(fleet: &SimulatedFleet) -> OriginCalls {
        let counts = Counts {
            origin_number: fleet.origin_number(),
            window: Duration::from_secs_f64(window_s()),
            outstanding: 0,
            max_outstanding: 0,
            arrivals: VecDeque::new(),
            max_arrivals: 0,
        };
        let calls = OriginCalls(Rc::new(RefCell::new(counts)));
        let counts = calls.0.clone();
        fleet.observer.subscribe(move |observation| counts.borrow_mut().observe(observation));
        calls
    }

    /// Both sums. `allowed_out` is the maximum of the sum of the nodes' own limits of outstanding calls.
    pub fn sums(&self, scenario: &Scenario, nodes: u32, allowed_outstanding: f64) -> Vec<FleetSum> {
        let counts = self.0.borrow();
        let quota = settings::quota(scenario);
        let nodes = f64::from(nodes);
        let outstanding_sum = FleetSum {
            limit: Limit::OriginOutstanding,
            bound: MIN_CALLS_OF_FLEET.max(quota * ORIGIN_CALL_S),
            allowed: allowed_outstanding,
            peak: counts.max_outstanding as f64,
        };
        let window = FleetSum {
            limit: Limit::OriginWindow,
            bound: quota.max(MIN_CALLS_PER_S_PER_NODE) * window_s(),
            allowed: nodes * (quota / nodes).max(MIN_CALLS_PER_S_PER_NODE) * window_s(),
            peak: counts.max_arrivals as f64,
        };
        vec![outstanding_sum, window]
    }
}

/// The window of the limit per window, in seconds.
fn window_s() -> f64 {
    settings::longest_target_latency_s() * WINDOW_PER_TARGET_LATENCY
}

impl Counts {
    fn observe(&mut self, observation: &Observation) {
        match observation.event {
            ObservedEvent::AttemptArrived { server: at, .. } if at == self.origin_number => {
                self.arrived(observation.at)
            }
            ObservedEvent::AttemptEnded { server: at, .. }
            | ObservedEvent::AttemptAbandoned { server: at, .. }
                if at == self.origin_number =>
            {
                self.outstanding = self.outstanding.saturating_sub(1);
            }
            _ => {}
        }
    }

    fn arrived(&mut self, at: Duration) {
        self.outstanding += 1;
        self.max_outstanding = self.max_outstanding.max(self.outstanding);
        self.arrivals.push_back(at);
        while self.arrivals.front().is_some_and(|first| *first + self.window < at) {
            self.arrivals.pop_front();
        }
        self.max_arrivals = self.max_arrivals.max(self.arrivals.len());
    }
}
