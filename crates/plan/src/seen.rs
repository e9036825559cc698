//! A node's recent attempts by zone.

use crate::evidence::Evidence;

/// What a step keeps of what was seen before it: evidence is of about the last half second, and of a zone to which only scouts go, of
/// more than a second. (Nodes with little traffic need no longer memory: in a fleet some have seen enough at any time.)
const KEEP: (f64, f64) = (0.5, 0.8);
/// A zone gets only probe traffic at this share of its keys or less.
const PROBE_SHARE: f64 = 0.05;

/// Attempts in a zone during one step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Answered in time, whatever the answer.
    pub answered: u32,
    /// Not answered in time.
    pub unanswered: u32,
    /// Answered late: attempts that counted as unanswered in this step or an earlier one.
    pub answered_late: u32,
}

/// Attempts by zone and the unanswered ones among them, with exponential decay.
#[derive(Clone, Debug, PartialEq)]
pub struct RecentAttempts {
    zones: Vec<(f64, f64)>,
}

impl RecentAttempts {
    /// For this many zones, without attempts yet.
    pub fn new(zones: usize) -> RecentAttempts {
        RecentAttempts { zones: vec![(0.0, 0.0); zones] }
    }

    /// Adds the attempts of one step. `open` is the share of its keys that goes to each zone, 1 for zones beyond it.
    pub fn record(&mut self, steps: &[AttemptCounts], open: &[f64]) {
        for (zone, ((all, silent), step)) in self.zones.iter_mut().zip(steps).enumerate() {
            let now = f64::from(step.answered + step.unanswered);
            // A late answer was counted as unanswered steps ago: its server is far or cold, not gone. If it were subtracted only from
            // attempts of the same step, a zone with slow answers would look gone for as long as they are slow.
            let lost = f64::from(step.unanswered) - f64::from(step.answered_late);
            let scouts = open.get(zone).is_some_and(|open| *open <= PROBE_SHARE);
            let keep = if scouts { KEEP.1 } else { KEEP.0 };
            (*all, *silent) = (*all * keep + now, (*silent * keep + lost).max(0.0));
        }
    }

    /// By zone: recent attempts, and the unanswered ones among them.
    pub fn zones(&self) -> &[(f64, f64)] {
        &self.zones
    }

    /// The evidence that the node reports.
    pub fn evidence(&self) -> Evidence {
        Evidence::from_counts(self.zones.iter().copied())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn after(steps: usize, each: AttemptCounts, open: f64) -> (f64, f64) {
        let mut seen = RecentAttempts::new(1);
        (0..steps).for_each(|_| seen.record(&[each], &[open]));
        seen.zones()[0]
    }

    #[test]
    fn a_loss_is_seen_within_two_steps_and_by_scouts_while_there_are_few_and_late_answers_are_taken_back() {
        let lost = |steps: usize| {
            let mut seen = RecentAttempts::new(1);
            (0..20).for_each(|_| {
                seen.record(&[AttemptCounts { answered: 10, ..AttemptCounts::default() }], &[1.0])
            });
            (0..steps).for_each(|_| {
                seen.record(&[AttemptCounts { unanswered: 10, ..AttemptCounts::default() }], &[1.0])
            });
            let (all, silent) = seen.zones()[0];
            silent / all
        };
        assert!(lost(2) > 0.7 && lost(1) < 0.6);
        // Each is late: what is unanswered in one step is answered in the next.
        let (_, silent) = after(40, AttemptCounts { answered: 0, unanswered: 4, answered_late: 4 }, 1.0);
        assert_eq!(silent, 0.0);
        let one = AttemptCounts { answered: 1, ..AttemptCounts::default() };
        assert!(after(40, one, 0.04).0 > 4.9 && after(40, one, 1.0).0 < 2.1);
    }
}
