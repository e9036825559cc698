//! Outages and the recovery from them: the faults of an outage, and metrics of the recovery.

use serde::{Deserialize, Serialize};

use crate::faults::{Fault, What};
use crate::report::{Counts, Report, Second};
use crate::scenario::Scenario;

/// Share of the goodput before the outage from which a deployment counts as recovered.
pub const RECOVERED_SHARE: f64 = 0.95;
/// Seconds at the start of a run that are ignored: connections are made and caches filled then.
const SETTLING_SECONDS: usize = 3;
/// It must stay recovered for this many seconds, or until the end.
const STABLE_SECONDS: usize = 3;

/// The target of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageTarget {
    /// All cache servers; they come back cold and empty.
    Boxes,
    /// All nodes; they come back with their last list, and all connections are lost.
    Nodes,
    /// Both.
    Site,
}

/// An outage.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Outage {
    /// The target.
    pub hit: OutageTarget,
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// Its duration in milliseconds.
    pub for_ms: u64,
}

impl Outage {
    /// The faults that cause it.
    pub fn script(&self, scenario: &Scenario) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut add = |what| faults.push(Fault { at_ms: self.at_ms, what });
        if self.hit != OutageTarget::Nodes {
            add(What::Crash { boxes: (0..scenario.boxes.count).collect(), down_ms: self.for_ms });
        }
        if self.hit != OutageTarget::Boxes {
            for node in 0..scenario.nodes.count {
                add(What::Node { node, planned: false, down_ms: self.for_ms });
            }
        }
        faults
    }

    /// Computes recovery metrics from the time series of a report.
    pub fn measure_recovery(&self, report: &Report) -> Recovery {
        // Its start counts from the first request, times of the report from the start of the run.
        let began_ms = report.faults.first().map_or(self.at_ms, |(at, _)| *at as u64);
        let over_ms = began_ms + self.for_ms;
        let (at, over) = (began_ms as usize / 1000, over_ms.div_ceil(1000) as usize);
        let seconds = &report.seconds;
        let before = share(seconds.get(SETTLING_SECONDS..at).unwrap_or_default());
        // Requests that are due in the last seconds have had no time to fail and be retried; seconds without
        // arrivals come after the end of the load.
        let last = seconds.iter().rposition(|s| s.counts.offered > 0).map_or(0, |last| last + 1);
        let stable =
            |i: usize| share(&seconds[i..(i + STABLE_SECONDS).min(last)]) >= before * RECOVERED_SHARE;
        let recovered = (over..last)
            .find(|i| seconds[*i].counts.in_time_share() >= before * RECOVERED_SHARE && stable(*i));
        let after = seconds.get(over.min(last)..last).unwrap_or_default();
        let sum = |of: fn(&Second) -> u64| after.iter().map(of).sum::<u64>();
        let peak = seconds.iter().skip(at).map(|s| s.connects).max().unwrap_or(0);
        Recovery {
            before,
            recovered_s: recovered.map(|i| i as f64 - over_ms as f64 / 1e3),
            after: share(after),
            amplification: sum(|s| s.tries) as f64 / sum(|s| s.counts.offered).max(1) as f64,
            worst_tenant: report.tenants.values().map(Counts::in_time_share).fold(1.0, f64::min),
            connects_a_second: peak,
            fell: report.faults.iter().filter(|(_, what)| what.ends_with("fell over")).count(),
            broken: report.violations.len(),
        }
    }
}

fn share(seconds: &[Second]) -> f64 {
    let offered: u64 = seconds.iter().map(|s| s.counts.offered).sum();
    let in_time: u64 = seconds.iter().map(|s| s.counts.in_time).sum();
    in_time as f64 / offered.max(1) as f64
}

/// Recovery after an outage.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Recovery {
    /// The share of requests served in time before.
    pub before: f64,
    /// Seconds from the end of the outage until 95% of that was reached again and kept; `None` where this did
    /// not happen before the load ended.
    pub recovered_s: Option<f64>,
    /// The share served in time from the end of the outage.
    pub after: f64,
    /// Tries per request from the end of the outage.
    pub amplification: f64,
    /// The share served in time of the worst tenant, over the whole run.
    pub worst_tenant: f64,
    /// Connections made in the busiest second from the start of the outage.
    pub connects_a_second: u64,
    /// Cold cache servers that collapsed.
    pub fell: usize,
    /// Broken rules.
    pub broken: usize,
}
