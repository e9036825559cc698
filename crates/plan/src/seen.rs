//! What a node has seen of each zone of late.

use crate::evidence::Evidence;

/// What a step keeps of what was seen before it: evidence is of about the last half second, and of a zone to which only scouts go, of
/// more than a second. (Nodes with little traffic need no longer memory: in a fleet some have seen enough at any time.)
const KEEP: (f64, f64) = (0.5, 0.8);
/// Only scouts go where no more of the keys do.
const SCOUTS: f64 = 0.05;

/// What became of attempts in a zone during a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Answered in time, whatever the answer.
    pub answered: u32,
    /// Not answered in time.
    pub unanswered: u32,
    /// Answered after all, of those that were silent in this step or in one before.
    pub answered_late: u32,
}

/// Attempts and silent ones among them by zone, fading.
#[derive(Clone, Debug, PartialEq)]
pub struct RecentAttempts {
    zones: Vec<(f64, f64)>,
}

impl RecentAttempts {
    /// Of so many zones, nothing yet.
    pub fn new(zones: usize) -> RecentAttempts {
        RecentAttempts { zones: vec![(0.0, 0.0); zones] }
    }

    /// What became of the attempts of a step, and the part of its keys that goes to each zone; all of them to those beyond it.
    pub fn record(&mut self, steps: &[AttemptCounts], open: &[f64]) {
        for (zone, ((all, silent), step)) in self.zones.iter_mut().zip(steps).enumerate() {
            let now = f64::from(step.answered + step.unanswered);
            // What comes late after all was counted as silent steps ago: its server is far or cold, and not gone. Taken back only
            // from what fell silent in the same step, a zone whose answers take long would look gone for as long as they do.
            let lost = f64::from(step.unanswered) - f64::from(step.answered_late);
            let scouts = open.get(zone).is_some_and(|open| *open <= SCOUTS);
            let keep = if scouts { KEEP.1 } else { KEEP.0 };
            (*all, *silent) = (*all * keep + now, (*silent * keep + lost).max(0.0));
        }
    }

    /// By zone: attempts of late, and the silent ones among them.
    pub fn zones(&self) -> &[(f64, f64)] {
        &self.zones
    }

    /// What the node tells of it.
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
        // Each is late: what is silent in a step came after all in the next.
        let (_, silent) = after(40, AttemptCounts { answered: 0, unanswered: 4, answered_late: 4 }, 1.0);
        assert_eq!(silent, 0.0);
        let one = AttemptCounts { answered: 1, ..AttemptCounts::default() };
        assert!(after(40, one, 0.04).0 > 4.9 && after(40, one, 1.0).0 < 2.1);
    }
}
