//! Figures of a run: what was served in time, latencies, load on boxes, and how it went second by second.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::clients::{CompletedRequest, FinalOutcome};
use crate::observe::{AttemptOutcome, Observation, ObservedEvent, Reply};
use crate::rules::Violation;
use crate::rules::cap;
use crate::scenario::Scenario;

/// How many first tries ended in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Counts {
    /// First tries.
    pub offered: u64,
    /// Served within the aim.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Refused at last.
    pub refused: u64,
    /// Failed at last.
    pub failed: u64,
    /// Without an answer at last.
    pub unanswered: u64,
}

impl Counts {
    /// The part of those offered that was served in time; 1 where there were none.
    pub fn in_time_share(&self) -> f64 {
        if self.offered == 0 { 1.0 } else { self.in_time as f64 / self.offered as f64 }
    }

    fn count(&mut self, played: &CompletedRequest, aim: Duration) {
        self.offered += 1;
        match played.outcome {
            FinalOutcome::Served if played.latency <= aim => self.in_time += 1,
            FinalOutcome::Served => self.late += 1,
            FinalOutcome::Refused => self.refused += 1,
            FinalOutcome::Failed => self.failed += 1,
            FinalOutcome::Unanswered => self.unanswered += 1,
        }
    }
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Latency {
    /// Half are faster.
    pub p50: f64,
    /// 95 of 100 are.
    pub p95: f64,
    /// 99 of 100 are.
    pub p99: f64,
    /// 999 of 1000 are.
    pub p999: f64,
    /// All are.
    pub max: f64,
}

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Second {
    /// First tries that were due in it.
    pub counts: Counts,
    /// Tries that clients made in it.
    pub tries: u64,
    /// Connections that callers made in it.
    #[serde(default)]
    pub connects: u64,
    /// Calls that the origin got in it.
    pub origin: u64,
    /// Attempts that each box got in it.
    pub boxes: BTreeMap<usize, u64>,
}

/// The figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// The seed; 0 on real sockets.
    pub seed: u64,
    /// Over everything.
    pub all: Counts,
    /// By class.
    pub classes: BTreeMap<String, Counts>,
    /// By tenant.
    pub tenants: BTreeMap<String, Counts>,
    /// Of those served, from when they were due.
    pub latency: Latency,
    /// Tries a first try.
    pub tries: f64,
    /// Attempts at boxes.
    pub attempts: u64,
    /// Of those, misses.
    pub misses: u64,
    /// Of those, turned away.
    pub turned_away: u64,
    /// Requests that clients sent to nodes: first tries and repeats.
    #[serde(default)]
    pub requests: u64,
    /// Answers that boxes gave a second time.
    #[serde(default)]
    pub second_answers: u64,
    /// Those that were given while a later command of their connection waited for its answer.
    #[serde(default)]
    pub second_answers_before_others: u64,
    /// Calls at the origin.
    pub origin_calls: u64,
    /// Those that came while the calls of their node, of all its lives together, were at its cap or over.
    #[serde(default)]
    pub origin_over: u64,
    /// Writes that the origin carried out.
    pub executed: u64,
    /// Repeats of keyed writes that it dropped.
    pub repeats_dropped: u64,
    /// Connections that callers made.
    #[serde(default)]
    pub connects: u64,
    /// Refusals that clients read, and the mean of the milliseconds told with them.
    pub refusals: u64,
    /// See `refusals`.
    pub advice_ms: f64,
    /// Second by second.
    pub seconds: Vec<Second>,
    /// Faults as they began and ended: milliseconds, and what.
    pub faults: Vec<(f64, String)>,
    /// Rules broken.
    pub violations: Vec<Violation>,
    /// A number that stands for everything that happened, in hexadecimal; empty on real sockets.
    pub digest: String,
    /// Virtual seconds that the run took.
    pub virtual_s: f64,
    /// Packets carried.
    pub packets: u64,
}

impl Report {
    /// Attempts at boxes and calls at the origin for each request that clients sent.
    pub fn attempts_per_request(&self) -> f64 {
        (self.attempts + self.origin_calls) as f64 / self.requests.max(1) as f64
    }
}

/// Collects the figures of a run while it goes on.
pub struct Collector {
    report: Report,
    aims: Vec<(String, Duration)>,
    tenants: Vec<String>,
    latency: Histogram<u64>,
    tries: u64,
    advice: u64,
    origin: usize,
    cap: f64,
}

impl Collector {
    /// For one run; the origin has this number among the boxes.
    pub fn new(scenario: &Scenario, seed: u64, origin: usize) -> Collector {
        let report = Report { scenario: scenario.name.clone(), seed, ..Report::default() };
        let aims = scenario.class.iter().map(|c| (c.name.clone(), Duration::from_millis(c.aim_ms))).collect();
        let tenants = scenario.tenant.iter().map(|t| t.name.clone()).collect();
        // Microseconds up to a quarter of an hour with three digits: bounded, and made for these values.
        let latency = Histogram::new_with_bounds(1, 900_000_000, 3).expect("bounds that fit");
        Collector { report, aims, tenants, latency, tries: 0, advice: 0, origin, cap: cap(scenario) }
    }

    fn second(&mut self, at: Duration) -> &mut Second {
        let place = (at.as_secs() as usize).min(3600);
        if self.report.seconds.len() <= place {
            self.report.seconds.resize_with(place + 1, Second::default);
        }
        &mut self.report.seconds[place]
    }

    /// Takes one first try that has ended.
    pub fn record_result(&mut self, played: &CompletedRequest) {
        let (name, aim) = self.aims[played.class].clone();
        self.report.all.count(played, aim);
        self.report.classes.entry(name).or_default().count(played, aim);
        if let Some(tenant) = self.tenants.get(played.tenant).cloned() {
            self.report.tenants.entry(tenant).or_default().count(played, aim);
        }
        self.second(played.due_at).counts.count(played, aim);
        self.tries += u64::from(played.tries);
        if played.outcome == FinalOutcome::Served {
            self.latency.saturating_record(played.latency.as_micros().max(1) as u64);
        }
    }

    /// Takes something that was seen.
    pub fn observe(&mut self, o: &Observation) {
        match &o.event {
            ObservedEvent::RequestSent { .. } => {
                self.report.requests += 1;
                self.second(o.at).tries += 1;
            }
            ObservedEvent::DuplicateResponse { pending: waiting, .. } => {
                self.report.second_answers += 1;
                self.report.second_answers_before_others += u64::from(*waiting > 0);
            }
            ObservedEvent::ClientConnected { .. } => {
                self.report.connects += 1;
                self.second(o.at).connects += 1;
            }
            ObservedEvent::WriteExecuted { .. } => self.report.executed += 1,
            ObservedEvent::DuplicateWriteDropped { .. } => self.report.repeats_dropped += 1,
            ObservedEvent::AttemptArrived { server: at, running, .. } if *at == self.origin => {
                self.report.origin_calls += 1;
                self.report.origin_over += u64::from(f64::from(*running) >= self.cap);
                self.second(o.at).origin += 1;
            }
            ObservedEvent::AttemptArrived { server: at, .. } => {
                self.report.attempts += 1;
                *self.second(o.at).boxes.entry(*at).or_default() += 1;
            }
            ObservedEvent::AttemptEnded { server: at, outcome: how, .. } if *at != self.origin => match how {
                AttemptOutcome::Miss => self.report.misses += 1,
                AttemptOutcome::Busy => self.report.turned_away += 1,
                _ => {}
            },
            ObservedEvent::ReplyReceived { reply: Reply::Busy(ms), .. } => {
                self.report.refusals += 1;
                self.advice += ms;
            }
            ObservedEvent::Fault(what) => self.report.faults.push((o.at.as_secs_f64() * 1e3, what.clone())),
            ObservedEvent::CacheServerCollapsed { server: at } => {
                self.report.faults.push((o.at.as_secs_f64() * 1e3, format!("box {at} fell over")));
            }
            _ => {}
        }
    }

    /// The figures so far.
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
        report.advice_ms = self.advice as f64 / report.refusals.max(1) as f64;
        report
    }
}
