//! An outage and what follows it: the script of one, and how well a site came back from it.

use serde::{Deserialize, Serialize};

use crate::faults::{Fault, What};
use crate::report::{Counts, Report, Second};
use crate::scenario::Scenario;

/// The part of the goodput before an outage at which a site counts as recovered.
pub const RECOVERED: f64 = 0.95;
/// Seconds at the beginning of a run that count for nothing: connections are made and caches filled up then.
const SETTLE: usize = 3;
/// It must stay recovered for so many seconds, or until the end.
const STAYS: usize = 3;

/// What goes down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageTarget {
    /// All boxes; they come back cold and empty.
    Boxes,
    /// All nodes; they come back with their last list, and every connection is lost.
    Nodes,
    /// Both.
    Site,
}

/// An outage.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Outage {
    /// What goes down.
    pub hit: OutageTarget,
    /// When, in milliseconds.
    pub at_ms: u64,
    /// For how long, in milliseconds.
    pub for_ms: u64,
}

impl Outage {
    /// The faults that make it.
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

    /// How a site came back, by the seconds of its report.
    pub fn measure_recovery(&self, report: &Report) -> Recovery {
        // Its time counts from the beginning of the load, those of the report from that of the world.
        let began_ms = report.faults.first().map_or(self.at_ms, |(at, _)| *at as u64);
        let over_ms = began_ms + self.for_ms;
        let (at, over) = (began_ms as usize / 1000, over_ms.div_ceil(1000) as usize);
        let seconds = &report.seconds;
        let before = share(seconds.get(SETTLE..at).unwrap_or_default());
        // What is due in the last seconds has had no time to fail and come again; seconds without arrivals are after
        // the end of the load.
        let last = seconds.iter().rposition(|s| s.counts.offered > 0).map_or(0, |last| last + 1);
        let good = |i: usize| share(&seconds[i..(i + STAYS).min(last)]) >= before * RECOVERED;
        let recovered =
            (over..last).find(|i| seconds[*i].counts.in_time_share() >= before * RECOVERED && good(*i));
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

/// How a site came back from an outage.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Recovery {
    /// The part of the first tries served in time before.
    pub before: f64,
    /// Seconds from the end of the outage until that much but a twentieth was served again and stayed so; `None` where
    /// that did not come before the load ended.
    pub recovered_s: Option<f64>,
    /// The part served in time from the end of the outage on.
    pub after: f64,
    /// Tries a first try from the end of the outage on.
    pub amplification: f64,
    /// The part served in time of the tenant that fared worst, over the whole run.
    pub worst_tenant: f64,
    /// Connections made in the busiest second since the outage began.
    pub connects_a_second: u64,
    /// Cold boxes that were pushed over.
    pub fell: usize,
    /// Rules broken.
    pub broken: usize,
}
