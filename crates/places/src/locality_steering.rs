//! Decides how much of a node's traffic stays local, from the results of its attempts.

use std::time::Duration;

use brassrouter::ZoneRouting;
use oorandom::Rand64;

use crate::places::Tuning;

/// The number of rings that can spill over: near and next. Behind the far ring there is nothing to spill over to.
const INNER_RINGS: usize = 2;
/// The share of the former counts that each step keeps.
const KEEP: f64 = 0.6;
/// Fewer attempts than this don't suffice to judge a ring with all of its traffic.
const MIN_ATTEMPTS: f64 = 4.0;
/// Successful attempts that a ring with probe traffic only needs before a step back.
const MIN_PROBE_SUCCESSES: f64 = 2.0;
/// Spillover needs a ring beyond with at most this fraction of the trouble.
const MAX_RELATIVE_TROUBLE: f64 = 0.5;
/// The share that goes to a ring beyond of which nothing is known, to find out.
const EXPLORATION_SHARE: f64 = 0.1;
/// The longest hold before a return, as a multiple of the usual one.
const MAX_HOLD_FACTOR: u32 = 16;
/// The largest random deviation of a node's step interval from the setting, as a fraction of it.
const STEP_JITTER: f64 = 0.25;

/// Results of attempts in one zone since the last step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answered in time, whatever the answer.
    pub answered: u32,
    /// Answered in time, but refused or failed.
    pub refused: u32,
    /// Not answered in time, or lost with their connection, or never connected.
    pub unanswered: u32,
    /// Answered late, after they were counted as unanswered.
    pub answered_late: u32,
}

/// The state of a ring as this node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RingState {
    /// It bears its traffic.
    Healthy,
    /// Many attempts are refused or late.
    Overloaded,
    /// Almost no attempt is answered.
    Lost,
    /// It gets less than its share, and bears that.
    Returning,
}

#[derive(Clone, Copy, Debug, Default)]
struct DecayingCounts {
    attempts: f64,
    unanswered: f64,
    trouble: f64,
    /// Successful attempts since the last sign of trouble.
    successes: f64,
}

impl DecayingCounts {
    fn add(&mut self, tallies: impl Iterator<Item = Tally>) {
        let DecayingCounts { attempts, unanswered, trouble, .. } = self;
        [&mut *attempts, &mut *unanswered, &mut *trouble].into_iter().for_each(|count| *count *= KEEP);
        let (mut succeeded, mut failed) = (0u32, 0u32);
        for tally in tallies {
            *attempts += f64::from(tally.answered + tally.unanswered);
            // A late answer was not lost: its server is slow, not unreachable.
            *unanswered =
                (*unanswered + f64::from(tally.unanswered) - f64::from(tally.answered_late)).max(0.0);
            *trouble += f64::from(tally.refused + tally.unanswered);
            succeeded += tally.answered.saturating_sub(tally.refused);
            failed += tally.refused + tally.unanswered;
        }
        // A few failures among many successes are no reason to start again.
        self.successes = if f64::from(failed) > 0.2 * f64::from(succeeded + failed) {
            0.0
        } else {
            self.successes + f64::from(succeeded)
        };
    }

    fn share(part: f64, total: f64) -> f64 {
        if total > 0.0 { (part / total).min(1.0) } else { 0.0 }
    }
}

#[derive(Clone, Debug)]
struct Ring {
    counts: DecayingCounts,
    state: RingState,
    /// The share of its keys that goes to a ring farther out.
    spillover: f64,
    /// The next step away from it, while it is lost.
    lost_step: f64,
    /// When it last showed trouble.
    trouble_at: Duration,
    /// The hold before a return, as a multiple of the setting.
    hold_factor: u32,
    /// Whether a return has begun and is not complete.
    returning: bool,
}

/// Decides how much of one node's traffic stays local.
#[derive(Debug)]
pub struct LocalitySteering {
    tuning: Tuning,
    /// The ring of each zone.
    rings: Vec<u8>,
    inner: [Ring; INNER_RINGS],
    far: DecayingCounts,
    rng: Rand64,
    next_step_at: Duration,
}

impl LocalitySteering {
    /// For a node that sees zones in these rings (0 near, 1 next, 2 far), without attempts yet.
    pub fn new(tuning: Tuning, rings: Vec<u8>, seed: u64) -> LocalitySteering {
        let ring = Ring {
            counts: DecayingCounts::default(),
            state: RingState::Healthy,
            spillover: 0.0,
            lost_step: tuning.first_lost_step,
            trouble_at: Duration::ZERO,
            hold_factor: 1,
            returning: false,
        };
        let rng = Rand64::new(seed.into());
        LocalitySteering {
            tuning,
            rings,
            inner: [ring.clone(), ring],
            far: DecayingCounts::default(),
            rng,
            next_step_at: Duration::ZERO,
        }
    }

    /// The state of the near ring, and the share of its keys that goes farther out.
    pub fn state(&self) -> (RingState, f64) {
        (self.inner[0].state, self.inner[0].spillover)
    }

    /// The zones among which servers are chosen now.
    pub fn routing(&self) -> ZoneRouting {
        let [near, next] = [0, 1].map(|ring: usize| 1.0 - self.inner[ring].spillover);
        // Where no zone lies in the next ring, what leaves the near ring goes to the far one.
        let next = if self.rings.contains(&1) { next } else { 0.0 };
        ZoneRouting {
            zone_rings: self.rings.clone(),
            cumulative_key_shares: [near, near + (1.0 - near) * next],
            ..ZoneRouting::default()
        }
    }

    /// When the next step is due.
    pub fn next_due(&self) -> Duration {
        self.next_step_at
    }

    /// Makes one step with the results of attempts in each zone since the last one. Returns the routing where it has
    /// changed.
    pub fn step(&mut self, now: Duration, tallies: &[Tally]) -> Option<ZoneRouting> {
        let jitter = 1.0 + STEP_JITTER * (2.0 * self.rng.rand_float() - 1.0);
        self.next_step_at = now + Duration::from_millis(self.tuning.step_ms).mul_f64(jitter);
        let before = self.routing();
        for ring in 0..=INNER_RINGS {
            let in_ring = |zone: &usize| usize::from(self.rings[*zone].min(INNER_RINGS as u8)) == ring;
            let ring_tallies =
                (0..self.rings.len().min(tallies.len())).filter(in_ring).map(|zone| tallies[zone]);
            let counts = if ring < INNER_RINGS { &mut self.inner[ring].counts } else { &mut self.far };
            counts.add(ring_tallies.collect::<Vec<_>>().into_iter());
        }
        for ring in 0..INNER_RINGS {
            // The ring beyond: the first one farther out that has zones.
            let beyond = (ring + 1..=INNER_RINGS).find(|r| self.rings.iter().any(|z| usize::from(*z) == *r));
            let beyond = beyond.map(|r| if r < INNER_RINGS { self.inner[r].counts } else { self.far });
            self.inner[ring].step(&self.tuning, now, beyond);
        }
        Some(self.routing()).filter(|routing| *routing != before)
    }
}

impl Ring {
    fn step(&mut self, tuning: &Tuning, now: Duration, beyond: Option<DecayingCounts>) {
        let counts = &self.counts;
        let (unanswered, trouble) = (
            DecayingCounts::share(counts.unanswered, counts.attempts),
            DecayingCounts::share(counts.trouble, counts.attempts),
        );
        // While its keys go elsewhere few attempts come here: few must suffice.
        let enough = counts.attempts >= MIN_ATTEMPTS * (1.0 - self.spillover).max(0.25);
        let lost = enough && unanswered >= tuning.lost_share;
        let overloaded = enough && trouble >= tuning.overloaded_share;
        if lost || overloaded {
            self.trouble_at = now;
            if std::mem::take(&mut self.returning) {
                // It did not bear the traffic that came back: wait longer before the next try.
                self.hold_factor = (self.hold_factor * 2).min(MAX_HOLD_FACTOR);
            }
        }
        // Without capacity beyond, spilled traffic would be lost there, and the path is longer.
        let max_spillover = match beyond {
            None => 0.0,
            Some(beyond) if beyond.attempts < 1.0 => EXPLORATION_SHARE.max(self.spillover),
            Some(beyond) => {
                let trouble_beyond = DecayingCounts::share(beyond.trouble, beyond.attempts);
                if trouble_beyond <= MAX_RELATIVE_TROUBLE * trouble {
                    1.0 - tuning.probe_share
                } else {
                    self.spillover
                }
            }
        };
        if lost {
            self.state = RingState::Lost;
            self.spillover = (self.spillover + self.lost_step).min(max_spillover.max(self.spillover));
            self.lost_step = (self.lost_step * 2.0).min(1.0);
        } else if overloaded {
            self.state = RingState::Overloaded;
            self.spillover = (self.spillover + tuning.overloaded_step).min(max_spillover.max(self.spillover));
        } else if self.spillover > 0.0 {
            let hold = Duration::from_millis(tuning.hold_ms) * self.hold_factor;
            if now >= self.trouble_at + hold && self.counts.successes >= MIN_PROBE_SUCCESSES {
                self.state = RingState::Returning;
                self.returning = true;
                self.spillover = (self.spillover - tuning.return_step).max(0.0);
            }
        } else {
            self.state = RingState::Healthy;
            self.lost_step = tuning.first_lost_step;
            if now >= self.trouble_at + Duration::from_millis(tuning.hold_ms) * MAX_HOLD_FACTOR {
                self.hold_factor = 1;
            }
            self.returning = false;
        }
    }
}
