//! Sums over the fleet of calls at the origin: what the design lets all nodes together have, what their own limits add up
//! to, and the most that came.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use chalksill_world::observe::{Observation, ObservedEvent};

use super::fleet::SimulatedFleet;
use super::settings;
use crate::record::{FleetSum, Limit};
use crate::scenario::Scenario;

/// Calls that are out of all balancers together: at least so many, or what the quotas send in a tenth of a second, as the
/// decision module has it (`GATE_OUT` in its policy).
const ALL_OUT: (f64, f64) = (80.0, 0.1);
/// Calls a second of a balancer, at least, and the window of the tally as a part of the longest aim (`GATE_RATE`).
const RATE: (f64, f64) = (30.0, 0.25);

/// Counts calls at the origin as they come and end.
#[derive(Clone)]
pub struct OriginCalls(Rc<RefCell<Counts>>);

struct Counts {
    origin: usize,
    window: Duration,
    out: u64,
    most_out: u64,
    /// Arrivals within the window that ends now.
    arrivals: VecDeque<Duration>,
    most_arrivals: usize,
}

impl OriginCalls {
    /// Counts from now on, in this fleet.
    pub fn watch(fleet: &SimulatedFleet) -> OriginCalls {
        let counts = Counts {
            origin: fleet.origin(),
            window: Duration::from_secs_f64(window_s()),
            out: 0,
            most_out: 0,
            arrivals: VecDeque::new(),
            most_arrivals: 0,
        };
        let calls = OriginCalls(Rc::new(RefCell::new(counts)));
        let counts = calls.0.clone();
        fleet.witness.subscribe(move |observation| counts.borrow_mut().saw(observation));
        calls
    }

    /// Both sums; `allowed_out` is the most that the nodes' own limits of calls out added up to.
    pub fn sums(&self, scenario: &Scenario, nodes: u32, allowed_out: f64) -> Vec<FleetSum> {
        let counts = self.0.borrow();
        let quota = settings::quota(scenario);
        let nodes = f64::from(nodes);
        let outstanding = FleetSum {
            limit: Limit::OriginOutstanding,
            bound: ALL_OUT.0.max(quota * ALL_OUT.1),
            allowed: allowed_out,
            peak: counts.most_out as f64,
        };
        let window = FleetSum {
            limit: Limit::OriginWindow,
            bound: quota.max(RATE.0) * window_s(),
            allowed: nodes * (quota / nodes).max(RATE.0) * window_s(),
            peak: counts.most_arrivals as f64,
        };
        vec![outstanding, window]
    }
}

/// The window of the tally in seconds.
fn window_s() -> f64 {
    settings::longest_aim_s() * RATE.1
}

impl Counts {
    fn saw(&mut self, observation: &Observation) {
        match observation.event {
            ObservedEvent::AttemptArrived { server: at, .. } if at == self.origin => {
                self.arrived(observation.at)
            }
            ObservedEvent::AttemptEnded { server: at, .. }
            | ObservedEvent::AttemptAbandoned { server: at, .. }
                if at == self.origin =>
            {
                self.out = self.out.saturating_sub(1);
            }
            _ => {}
        }
    }

    fn arrived(&mut self, at: Duration) {
        self.out += 1;
        self.most_out = self.most_out.max(self.out);
        self.arrivals.push_back(at);
        while self.arrivals.front().is_some_and(|first| *first + self.window < at) {
            self.arrivals.pop_front();
        }
        self.most_arrivals = self.most_arrivals.max(self.arrivals.len());
    }
}
