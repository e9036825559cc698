//! Estimators that a node derives from what it counts. No decisions are made here.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::interface::{Key, Micros};

/// Recent requests by key, as decaying counts.
#[derive(Default, Serialize, Deserialize)]
pub struct KeyLoad {
    counts: BTreeMap<Key, f64>,
    total: f64,
}

impl KeyLoad {
    /// Counts a request for a key and returns the key's share of the requests before it.
    pub fn record(&mut self, key: Key) -> f64 {
        let count = self.counts.entry(key).or_default();
        let share = *count / self.total.max(1.0);
        *count += 1.0;
        self.total += 1.0;
        share
    }

    /// Multiplies all counts by a factor and forgets keys with a negligible count.
    pub fn decay(&mut self, factor: f64) {
        self.total *= factor;
        self.counts.retain(|_, count| {
            *count *= factor;
            *count > 0.1
        });
    }
}

/// Recent cases among all observations, as decaying counts.
#[derive(Default, Clone, Copy, Serialize, Deserialize)]
pub struct Ratio {
    pub cases: f64,
    pub total: f64,
}

impl Ratio {
    /// Adds cases and the number of observations that they were among.
    pub fn add(&mut self, cases: f64, total: f64) {
        self.cases += cases;
        self.total += total;
    }

    /// The cases as a share of all observations.
    pub fn value(&self) -> f64 {
        self.cases / self.total.max(1.0)
    }

    /// Multiplies both counts by a factor.
    pub fn decay(&mut self, factor: f64) {
        self.cases *= factor;
        self.total *= factor;
    }
}

/// Events per second, smoothed over about a second.
#[derive(Default, Clone, Serialize, Deserialize)]
pub struct Rate {
    counted: f64,
    pub per_s: f64,
}

impl Rate {
    /// Counts an event.
    pub fn count(&mut self) {
        self.counted += 1.0;
    }

    /// Updates the rate with the events counted in a period and resets the count.
    pub fn roll(&mut self, period: Micros) {
        let seconds = period as f64 / 1e6;
        self.per_s += (self.counted / seconds - self.per_s) * seconds.min(1.0);
        self.counted = 0.0;
    }
}

/// Typical time of an answer: a decaying mean of logarithms. The work of requests spreads over orders of
/// magnitude, so an arithmetic mean would mostly reflect the few longest answers.
#[derive(Default, Clone, Copy, Serialize, Deserialize)]
pub struct LatencyEstimate {
    log_sum: f64,
    answers: f64,
}

impl LatencyEstimate {
    /// Answers that a peer's reported latency counts for. A node with fewer answers does not report any.
    const REPORT_ANSWERS: f64 = 8.0;
    /// Answers at which half of a difference is taken as real: the logarithms of two answer times differ by
    /// more than 1.
    const HALF_CONFIDENCE_ANSWERS: f64 = 20.0;

    /// Counts an answer.
    pub fn record(&mut self, time: Micros) {
        self.log_sum += (time.max(1) as f64).ln();
        self.answers += 1.0;
    }

    /// Counts the typical time that a peer reports; invalid times are ignored.
    pub fn record_reported(&mut self, time: f64) {
        if time >= 1.0 {
            self.log_sum += time.ln() * Self::REPORT_ANSWERS;
            self.answers += Self::REPORT_ANSWERS;
        }
    }

    /// Adds the answers of another estimate.
    pub fn merge(&mut self, other: &LatencyEstimate) {
        self.log_sum += other.log_sum;
        self.answers += other.answers;
    }

    /// The typical time of an answer, to be reported to peers; `None` with too few answers.
    pub fn typical(&self) -> Option<f64> {
        (self.answers >= Self::REPORT_ANSWERS).then(|| (self.log_sum / self.answers).exp())
    }

    /// How many times as fast as `all` this is; close to 1 with few answers.
    pub fn speed_relative_to(&self, all: &LatencyEstimate) -> f64 {
        if self.answers < 1.0 || all.answers < 1.0 {
            return 1.0;
        }
        let log_difference = all.log_sum / all.answers - self.log_sum / self.answers;
        (log_difference * self.answers / (self.answers + Self::HALF_CONFIDENCE_ANSWERS)).exp()
    }

    /// Multiplies the weight of past answers by a factor.
    pub fn decay(&mut self, factor: f64) {
        self.log_sum *= factor;
        self.answers *= factor;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// An estimate of `count` answers that take the typical time, a third of it, or three times as long.
    fn estimate(typical: Micros, count: usize) -> LatencyEstimate {
        let mut estimate = LatencyEstimate::default();
        [typical, typical / 3, typical * 3]
            .into_iter()
            .cycle()
            .take(count)
            .for_each(|time| estimate.record(time));
        estimate
    }

    #[test]
    fn a_latency_is_reported_from_enough_answers_and_trusted_by_their_number() {
        let (fast, slow) = (estimate(60_000, 300), estimate(100_000, 300));
        let mut all = fast;
        all.merge(&slow);
        let ratio =
            |a: &LatencyEstimate, b: &LatencyEstimate| a.speed_relative_to(&all) / b.speed_relative_to(&all);
        assert!((1.5..1.7).contains(&ratio(&fast, &slow)), "{}", ratio(&fast, &slow));
        assert!(
            ratio(&estimate(60_000, 3), &estimate(100_000, 3)) < 1.1,
            "three answers show next to nothing"
        );
        assert_eq!(estimate(60_000, 7).typical(), None);
        assert!((55_000.0..65_000.0).contains(&estimate(60_000, 9).typical().unwrap()));
        assert_eq!(LatencyEstimate::default().speed_relative_to(&all), 1.0);
        assert_eq!(fast.speed_relative_to(&LatencyEstimate::default()), 1.0);
    }

    #[test]
    fn latencies_reported_by_peers_count_and_invalid_ones_do_not() {
        let mut reported = LatencyEstimate::default();
        [f64::NAN, -5.0, 0.0].into_iter().for_each(|time| reported.record_reported(time));
        assert_eq!(reported.typical(), None);
        (0..10).for_each(|_| reported.record_reported(70_000.0));
        assert!((69_000.0..71_000.0).contains(&reported.typical().unwrap()));
        reported.decay(0.05);
        assert_eq!(reported.typical(), None, "old answers are not reported");
    }
}
