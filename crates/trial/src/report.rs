//! The results of a trial: counts of requests, metrics, expectations, and a timeline.

use std::collections::BTreeMap;
use std::fmt;

use chalksill_world::rules::Violation;
use serde::Serialize;

use crate::environment::LogLine;
use crate::plan::{Expectation, Metric};
use crate::relay::RelayTotals;
use crate::request_tracker::RequestTotals;

/// An expectation, and whether it was met.
#[derive(Clone, Debug, Serialize)]
pub struct ExpectationResult {
    /// The expectation.
    #[serde(rename = "must")]
    pub expectation: Expectation,
    /// The value of the metric; `None` if there was nothing to measure, or what it measures the time to has not come.
    pub value: Option<f64>,
    /// Whether the expectation was met.
    pub holds: bool,
}

impl fmt::Display for ExpectationResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let expectation = &self.expectation;
        write!(f, "{} {:?}", if self.holds { "holds " } else { "BROKEN" }, expectation.metric)?;
        if let Some(zone) = &expectation.zone {
            write!(f, " of {zone}")?;
        }
        if let Some(class) = &expectation.class {
            write!(f, " of {class}")?;
        }
        if let Some(from) = &expectation.from {
            write!(f, " from {from}")?;
        }
        match self.value {
            Some(value) => write!(f, " = {value:.3}")?,
            None => write!(f, " has no value")?,
        }
        if let Some(upper) = expectation.at_most {
            write!(f, ", at most {upper}")?;
        }
        if let Some(lower) = expectation.at_least {
            write!(f, ", at least {lower}")?;
        }
        Ok(())
    }
}

/// What all relays have carried.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Traffic {
    /// Connections.
    pub connections: u64,
    /// Their bytes, in both directions.
    pub bytes: u64,
    /// Datagrams between nodes.
    pub datagrams: u64,
}

impl Traffic {
    /// Adds what one relay has carried.
    pub fn add(&mut self, datagrams: bool, carried: RelayTotals) {
        if datagrams {
            self.datagrams += carried.datagrams;
        } else {
            self.connections += carried.connections;
            self.bytes += carried.bytes_forward + carried.bytes_backward;
        }
    }
}

/// The results of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the trial.
    pub trial: String,
    /// Its seed.
    pub seed: u64,
    /// Counts of all requests by their end.
    #[serde(rename = "sums")]
    pub totals: RequestTotals,
    /// Metrics over the whole load.
    #[serde(rename = "figures")]
    pub metrics: BTreeMap<Metric, f64>,
    /// Results of the expectations.
    #[serde(rename = "musts")]
    pub expectations: Vec<ExpectationResult>,
    /// Violated rules.
    pub violations: Vec<Violation>,
    /// Other failures: conditions that did not come true, unexpected exits, requests without an end.
    #[serde(rename = "broken")]
    pub failures: Vec<String>,
    /// When the load began, in seconds since the start of the trial.
    pub begin_s: f64,
    /// The steps, and when they were carried out, in seconds.
    pub steps: Vec<(String, Option<f64>)>,
    /// The timeline: events with their time in seconds.
    #[serde(rename = "line")]
    pub timeline: Vec<(f64, String)>,
    /// Per second: the number of first tries, and the share of them that was served in time.
    #[serde(rename = "seconds")]
    pub per_second: Vec<(u64, f64)>,
    /// Log lines of all nodes in the order in which they were read.
    pub log: Vec<LogLine>,
    /// What the relays have carried.
    #[serde(rename = "carried")]
    pub traffic: Traffic,
    /// CPU time of the nodes' processes that ran at the end, in seconds.
    pub cpu_s: f64,
    /// Largest memory use of one of them, in KiB.
    pub memory_kib: u64,
    /// The report of the simulated environment.
    pub world: chalksill_world::report::Report,
}

impl Report {
    /// Whether all rules and expectations were met, and every request had exactly one end.
    pub fn passed(&self) -> bool {
        self.rules_kept() && self.expectations.iter().all(|m| m.holds)
    }

    /// Whether all rules were met and every request had exactly one end, whatever the expectations say.
    pub fn rules_kept(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "trial {}, seed {}", self.trial, self.seed)?;
        let s = &self.totals;
        writeln!(
            f,
            "requests: {} sent, {} answered, {} abandoned, {} lost, {} raced with close, {} unfinished, {} ended twice",
            s.sent, s.answered, s.abandoned, s.lost, s.raced_with_close, s.unfinished, s.ended_twice
        )?;
        for (metric, value) in &self.metrics {
            writeln!(f, "  {:<14} {value:.3}", format!("{metric:?}"))?;
        }
        writeln!(
            f,
            "links: {} connections, {:.1} MB, {} datagrams; nodes: {:.2} s of CPU, at most {} KiB of memory",
            self.traffic.connections,
            self.traffic.bytes as f64 / 1e6,
            self.traffic.datagrams,
            self.cpu_s,
            self.memory_kib
        )?;
        writeln!(f, "timeline, seconds since the load began:")?;
        for (at, what) in &self.timeline {
            writeln!(f, "  {:8.3} {what}", at - self.begin_s)?;
        }
        write!(f, "served in time, per second:")?;
        for (_, share) in &self.per_second {
            write!(f, " {share:.2}")?;
        }
        writeln!(f)?;
        for result in &self.expectations {
            writeln!(f, "{result}")?;
        }
        for violation in &self.violations {
            writeln!(f, "BROKEN {violation}")?;
        }
        for failure in &self.failures {
            writeln!(f, "BROKEN {failure}")?;
        }
        write!(f, "{}", if self.passed() { "all held" } else { "not all held" })
    }
}
