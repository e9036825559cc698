//! Metrics of a run: requests served in time, latencies, load of cache servers, and a time series by second.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::clients::{CompletedRequest, FinalOutcome};
use crate::observe::{AttemptOutcome, Observation, ObservedEvent, Reply};
use crate::rules::Violation;
use crate::rules::origin_call_limit;
use crate::scenario::Scenario;

/// How many requests ended in which way; all tries of a request count once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Counts {
    /// Requests.
    pub offered: u64,
    /// Served within the latency target of their class.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Refused by the last try.
    pub refused: u64,
    /// Failed in the last try.
    pub failed: u64,
    /// Not answered at the end.
    pub unanswered: u64,
}

impl Counts {
    /// The share of requests that were served in time; 1 where there were none.
    pub fn in_time_share(&self) -> f64 {
        if self.offered == 0 { 1.0 } else { self.in_time as f64 / self.offered as f64 }
    }

    fn add(&mut self, completed: &CompletedRequest, target_latency: Duration) {
        self.offered += 1;
        match completed.outcome {
            FinalOutcome::Served if completed.latency <= target_latency => self.in_time += 1,
            FinalOutcome::Served => self.late += 1,
            FinalOutcome::Refused => self.refused += 1,
            FinalOutcome::Failed => self.failed += 1,
            FinalOutcome::Unanswered => self.unanswered += 1,
        }
    }
}

/// Latency percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Second {
    /// Requests that were due in it.
    pub counts: Counts,
    /// Tries that clients made in it.
    pub tries: u64,
    /// Connections that clients made in it.
    #[serde(default)]
    pub connects: u64,
    /// Calls that the origin received in it.
    pub origin: u64,
    /// Attempts that each cache server received in it.
    pub boxes: BTreeMap<usize, u64>,
}

/// Metrics of one run.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// The seed; 0 on real sockets.
    pub seed: u64,
    /// All requests.
    pub all: Counts,
    /// Requests by class.
    pub classes: BTreeMap<String, Counts>,
    /// Requests by tenant.
    pub tenants: BTreeMap<String, Counts>,
    /// Latency of served requests, from when they were due.
    pub latency: Latency,
    /// Tries per request.
    pub tries: f64,
    /// Attempts at cache servers.
    pub attempts: u64,
    /// Attempts that missed.
    pub misses: u64,
    /// Attempts that were rejected.
    pub turned_away: u64,
    /// Requests that clients sent to nodes, retries included.
    #[serde(default)]
    pub requests: u64,
    /// Responses that cache servers sent a second time.
    #[serde(default)]
    pub second_answers: u64,
    /// Those of them that were sent while a later command of the connection waited for its response.
    #[serde(default)]
    pub second_answers_before_others: u64,
    /// Calls at the origin.
    pub origin_calls: u64,
    /// Calls that arrived while the calls of their node, over all its incarnations, were at the limit or
    /// above.
    #[serde(default)]
    pub origin_over: u64,
    /// Writes that the origin carried out.
    pub executed: u64,
    /// Retries of writes with an idempotency key that the origin dropped.
    pub repeats_dropped: u64,
    /// Connections that clients made.
    #[serde(default)]
    pub connects: u64,
    /// Refusals that clients read.
    pub refusals: u64,
    /// Mean retry delay that the refusals carried, in milliseconds.
    pub advice_ms: f64,
    /// Time series by second.
    pub seconds: Vec<Second>,
    /// Begin and end of each fault: milliseconds since the start, and a description.
    pub faults: Vec<(f64, String)>,
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Digest of everything that happened, in hexadecimal; empty on real sockets.
    pub digest: String,
    /// Duration of the run in virtual seconds.
    pub virtual_s: f64,
    /// Packets delivered.
    pub packets: u64,
}

impl Report {
    /// Attempts at cache servers and calls at the origin, per request that clients sent.
    pub fn attempts_per_request(&self) -> f64 {
        (self.attempts + self.origin_calls) as f64 / self.requests.max(1) as f64
    }
}

/// Collects the metrics of a run.
pub struct Collector {
    report: Report,
    target_latencies: Vec<(String, Duration)>,
    tenants: Vec<String>,
    latency: Histogram<u64>,
    tries: u64,
    retry_delays_ms: u64,
    origin: usize,
    call_limit: f64,
}

impl Collector {
    /// A collector for one run; `origin` is the index of the origin.
    pub fn new(scenario: &Scenario, seed: u64, origin: usize) -> Collector {
        let report = Report { scenario: scenario.name.clone(), seed, ..Report::default() };
        let target_latencies =
            scenario.class.iter().map(|c| (c.name.clone(), Duration::from_millis(c.aim_ms))).collect();
        let tenants = scenario.tenant.iter().map(|t| t.name.clone()).collect();
        // Microseconds up to 15 minutes with three significant digits; these bounds are valid.
        let latency = Histogram::new_with_bounds(1, 900_000_000, 3).expect("bounds that fit");
        Collector {
            report,
            target_latencies,
            tenants,
            latency,
            tries: 0,
            retry_delays_ms: 0,
            origin,
            call_limit: origin_call_limit(scenario),
        }
    }

    fn second_at(&mut self, at: Duration) -> &mut Second {
        let index = (at.as_secs() as usize).min(3600);
        if self.report.seconds.len() <= index {
            self.report.seconds.resize_with(index + 1, Second::default);
        }
        &mut self.report.seconds[index]
    }

    /// Adds a finished request.
    pub fn record_result(&mut self, completed: &CompletedRequest) {
        let (name, target_latency) = self.target_latencies[completed.class].clone();
        self.report.all.add(completed, target_latency);
        self.report.classes.entry(name).or_default().add(completed, target_latency);
        if let Some(tenant) = self.tenants.get(completed.tenant).cloned() {
            self.report.tenants.entry(tenant).or_default().add(completed, target_latency);
        }
        self.second_at(completed.due_at).counts.add(completed, target_latency);
        self.tries += u64::from(completed.tries);
        if completed.outcome == FinalOutcome::Served {
            self.latency.saturating_record(completed.latency.as_micros().max(1) as u64);
        }
    }

    /// Adds an observation.
    pub fn observe(&mut self, observation: &Observation) {
        match &observation.event {
            ObservedEvent::RequestSent { .. } => {
                self.report.requests += 1;
                self.second_at(observation.at).tries += 1;
            }
            ObservedEvent::DuplicateResponse { pending, .. } => {
                self.report.second_answers += 1;
                self.report.second_answers_before_others += u64::from(*pending > 0);
            }
            ObservedEvent::ClientConnected { .. } => {
                self.report.connects += 1;
                self.second_at(observation.at).connects += 1;
            }
            ObservedEvent::WriteExecuted { .. } => self.report.executed += 1,
            ObservedEvent::DuplicateWriteDropped { .. } => self.report.repeats_dropped += 1,
            ObservedEvent::AttemptArrived { server, running, .. } if *server == self.origin => {
                self.report.origin_calls += 1;
                self.report.origin_over += u64::from(f64::from(*running) >= self.call_limit);
                self.second_at(observation.at).origin += 1;
            }
            ObservedEvent::AttemptArrived { server, .. } => {
                self.report.attempts += 1;
                *self.second_at(observation.at).boxes.entry(*server).or_default() += 1;
            }
            ObservedEvent::AttemptEnded { server, outcome, .. } if *server != self.origin => match outcome {
                AttemptOutcome::Miss => self.report.misses += 1,
                AttemptOutcome::Busy => self.report.turned_away += 1,
                _ => {}
            },
            ObservedEvent::ReplyReceived { reply: Reply::Busy(ms), .. } => {
                self.report.refusals += 1;
                self.retry_delays_ms += ms;
            }
            ObservedEvent::Fault(what) => {
                self.report.faults.push((observation.at.as_secs_f64() * 1e3, what.clone()))
            }
            ObservedEvent::CacheServerCollapsed { server } => {
                self.report
                    .faults
                    .push((observation.at.as_secs_f64() * 1e3, format!("box {server} fell over")));
            }
            _ => {}
        }
    }

    /// The metrics so far.
    pub fn report(&self) -> Report {
        let mut report = self.report.clone();
        let ms = |part: f64| self.latency.value_at_quantile(part) as f64 / 1e3;
        report.latency = Latency {
            p50: ms(0.5),
            p95: ms(0.95),
            p99: ms(0.99),
            p999: ms(0.999),
            max: self.latency.max() as f64 / 1e3,
        };
        report.tries = self.tries as f64 / (report.all.offered.max(1)) as f64;
        report.advice_ms = self.retry_delays_ms as f64 / report.refusals.max(1) as f64;
        report
    }
}
