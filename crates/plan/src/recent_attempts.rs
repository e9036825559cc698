//! A node's recent attempts by zone.

use crate::evidence::Evidence;

/// The share of former counts that each step keeps: evidence covers about the last half second. (Nodes with little
/// traffic need no longer memory: in a fleet some node has enough attempts at any time.)
const KEEP: f64 = 0.5;
/// The same for a zone that gets only probe traffic: evidence covers more than a second.
const KEEP_WITH_PROBES: f64 = 0.8;
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
    pub fn record(&mut self, counts: &[AttemptCounts], open: &[f64]) {
        for (zone, ((attempts, unanswered), zone_counts)) in self.zones.iter_mut().zip(counts).enumerate() {
            let new_attempts = f64::from(zone_counts.answered + zone_counts.unanswered);
            // A late answer was counted as unanswered steps ago: its server is far or cold, not gone. If it were
            // subtracted only from attempts of the same step, a zone with slow answers would look gone for as long as
            // they are slow.
            let lost = f64::from(zone_counts.unanswered) - f64::from(zone_counts.answered_late);
            let probes_only = open.get(zone).is_some_and(|open| *open <= PROBE_SHARE);
            let keep = if probes_only { KEEP_WITH_PROBES } else { KEEP };
            (*attempts, *unanswered) =
                (*attempts * keep + new_attempts, (*unanswered * keep + lost).max(0.0));
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
        let mut recent = RecentAttempts::new(1);
        (0..steps).for_each(|_| recent.record(&[each], &[open]));
        recent.zones()[0]
    }

    #[test]
    fn a_loss_shows_within_two_steps_and_late_answers_are_subtracted() {
        let share_after_loss = |steps: usize| {
            let mut recent = RecentAttempts::new(1);
            (0..20).for_each(|_| {
                recent.record(&[AttemptCounts { answered: 10, ..AttemptCounts::default() }], &[1.0])
            });
            (0..steps).for_each(|_| {
                recent.record(&[AttemptCounts { unanswered: 10, ..AttemptCounts::default() }], &[1.0])
            });
            let (attempts, unanswered) = recent.zones()[0];
            unanswered / attempts
        };
        assert!(share_after_loss(2) > 0.7 && share_after_loss(1) < 0.6);
        // Each is late: what is unanswered in one step is answered in the next.
        let (_, unanswered) = after(40, AttemptCounts { answered: 0, unanswered: 4, answered_late: 4 }, 1.0);
        assert_eq!(unanswered, 0.0);
        let one_answered = AttemptCounts { answered: 1, ..AttemptCounts::default() };
        assert!(after(40, one_answered, 0.04).0 > 4.9 && after(40, one_answered, 1.0).0 < 2.1);
    }
}
