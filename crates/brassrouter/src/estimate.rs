//! Estimators: what a balancer makes of what it counts. They tell, and decide nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::interface::{Key, Micros};

/// How often each key was asked for here of late; fades.
#[derive(Default, Serialize, Deserialize)]
pub struct Heat {
    counts: BTreeMap<Key, f64>,
    all: f64,
}

impl Heat {
    /// Counts a request for a key and gives the key's part of those before it.
    pub fn seen(&mut self, key: Key) -> f64 {
        let count = self.counts.entry(key).or_default();
        let share = *count / self.all.max(1.0);
        *count += 1.0;
        self.all += 1.0;
        share
    }

    /// Lets the past count for less and forgets what is long past.
    pub fn fade(&mut self, keep: f64) {
        self.all *= keep;
        self.counts.retain(|_, count| {
            *count *= keep;
            *count > 0.1
        });
    }
}

/// How many cases among all of late; both fade.
#[derive(Default, Clone, Copy, Serialize, Deserialize)]
pub struct Ratio {
    pub cases: f64,
    pub all: f64,
}

impl Ratio {
    /// Counts cases, and among how many.
    pub fn add(&mut self, cases: f64, all: f64) {
        self.cases += cases;
        self.all += all;
    }

    /// The cases as a part of all.
    pub fn value(&self) -> f64 {
        self.cases / self.all.max(1.0)
    }

    /// Lets the past count for less.
    pub fn fade(&mut self, keep: f64) {
        self.cases *= keep;
        self.all *= keep;
    }
}

/// Events a second, smoothed over about a second.
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

    /// Takes what was counted in a period into the rate.
    pub fn roll(&mut self, period: Micros) {
        let seconds = period as f64 / 1e6;
        self.per_s += (self.counted / seconds - self.per_s) * seconds.min(1.0);
        self.counted = 0.0;
    }
}

/// How long answers take, as the mean of their logarithms: work is spread over orders of magnitude, and a mean of times
/// would tell of the few longest. Fades.
#[derive(Default, Clone, Copy, Serialize, Deserialize)]
pub struct Pace {
    logs: f64,
    answers: f64,
}

impl Pace {
    /// As many answers as a pace that a peer tells counts for: fewer are not told.
    const TOLD: f64 = 8.0;
    /// Of so many answers half the difference is believed: one answer's logarithm differs by more than 1 from the next.
    const DOUBT: f64 = 20.0;

    /// Counts an answer.
    pub fn took(&mut self, time: Micros) {
        self.logs += (time.max(1) as f64).ln();
        self.answers += 1.0;
    }

    /// Counts what a peer tells of its answers.
    pub fn hear(&mut self, time: f64) {
        if time >= 1.0 {
            self.logs += time.ln() * Self::TOLD;
            self.answers += Self::TOLD;
        }
    }

    /// Counts another's answers, too.
    pub fn join(&mut self, other: &Pace) {
        self.logs += other.logs;
        self.answers += other.answers;
    }

    /// The usual time of an answer, for peers, once there are enough.
    pub fn usual(&self) -> Option<f64> {
        (self.answers >= Self::TOLD).then(|| (self.logs / self.answers).exp())
    }

    /// How many times as fast as all these are, as far as can be told.
    pub fn against(&self, all: &Pace) -> f64 {
        if self.answers < 1.0 || all.answers < 1.0 {
            return 1.0;
        }
        let faster = all.logs / all.answers - self.logs / self.answers;
        (faster * self.answers / (self.answers + Self::DOUBT)).exp()
    }

    /// Lets the past count for less.
    pub fn fade(&mut self, keep: f64) {
        self.logs *= keep;
        self.answers *= keep;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Times of `count` answers round a usual one, a third of it and three times as long.
    fn pace(usual: Micros, count: usize) -> Pace {
        let mut pace = Pace::default();
        [usual, usual / 3, usual * 3].into_iter().cycle().take(count).for_each(|time| pace.took(time));
        pace
    }

    #[test]
    fn a_pace_is_told_from_enough_answers_and_believed_by_their_number() {
        let (fast, slow) = (pace(60_000, 300), pace(100_000, 300));
        let mut all = fast;
        all.join(&slow);
        let ratio = |a: &Pace, b: &Pace| a.against(&all) / b.against(&all);
        assert!((1.5..1.7).contains(&ratio(&fast, &slow)), "{}", ratio(&fast, &slow));
        assert!(ratio(&pace(60_000, 3), &pace(100_000, 3)) < 1.1, "three answers tell next to nothing");
        assert_eq!(pace(60_000, 7).usual(), None);
        assert!((55_000.0..65_000.0).contains(&pace(60_000, 9).usual().unwrap()));
        assert_eq!(Pace::default().against(&all), 1.0);
        assert_eq!(fast.against(&Pace::default()), 1.0);
    }

    #[test]
    fn what_peers_tell_counts_and_nonsense_does_not() {
        let mut heard = Pace::default();
        [f64::NAN, -5.0, 0.0].into_iter().for_each(|time| heard.hear(time));
        assert_eq!(heard.usual(), None);
        (0..10).for_each(|_| heard.hear(70_000.0));
        assert!((69_000.0..71_000.0).contains(&heard.usual().unwrap()));
        heard.fade(0.05);
        assert_eq!(heard.usual(), None, "what is long past is not told");
    }
}
