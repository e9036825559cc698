//! How much of a node's traffic stays near, from what became of its attempts.

use std::time::Duration;

use brassrouter::ZoneRouting;
use oorandom::Rand64;

use crate::places::Tuning;

/// Rings that keys can be kept in: near and next. What is far has nothing beyond it to spill to.
const INNER: usize = 2;
/// What a step keeps of the counts before it.
const FADE: f64 = 0.6;
/// Fewer attempts than this tell nothing of a ring that is in full use.
const ENOUGH: f64 = 4.0;
/// Of a ring that only scouts go to, so many must have come back well before a step back.
const SCOUTS: f64 = 2.0;
/// Spilling over helps only where what lies beyond is this much better off.
const BETTER: f64 = 0.5;
/// Where nothing is known of what lies beyond, so much goes there to learn.
const TRY: f64 = 0.1;
/// The longest hold before a return, a multiple of the usual one.
const LONGEST_HOLD: u32 = 16;
/// Each node's steps differ from the figure by up to this part.
const OUT_OF_STEP: f64 = 0.25;

/// What became of attempts in one zone since the last step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answered in time, whatever the answer.
    pub answered: u32,
    /// Turned away or failed, of those that came.
    pub refused: u32,
    /// Not answered within the silent time, or lost with their connection, or never connected.
    pub unanswered: u32,
    /// Of those, answered after all.
    pub answered_late: u32,
}

/// How a ring looks from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RingState {
    /// It bears what it gets.
    Healthy,
    /// Much is turned away or late.
    Overloaded,
    /// Next to nothing comes back.
    Lost,
    /// It gets less than its part, and bears that.
    Returning,
}

#[derive(Clone, Copy, Debug, Default)]
struct Faded {
    all: f64,
    silent: f64,
    trouble: f64,
    /// Answered well since the last sign of trouble.
    well: f64,
}

impl Faded {
    fn add(&mut self, tallies: impl Iterator<Item = Tally>) {
        let Faded { all, silent, trouble, .. } = self;
        [&mut *all, &mut *silent, &mut *trouble].into_iter().for_each(|f| *f *= FADE);
        let (mut came, mut bad) = (0u32, 0u32);
        for t in tallies {
            *all += f64::from(t.answered + t.unanswered);
            // What comes late after all was not lost: its server is slow, and not silent.
            *silent = (*silent + f64::from(t.unanswered) - f64::from(t.answered_late)).max(0.0);
            *trouble += f64::from(t.refused + t.unanswered);
            came += t.answered.saturating_sub(t.refused);
            bad += t.refused + t.unanswered;
        }
        // One that fails among many that come well is no reason to begin again.
        self.well =
            if f64::from(bad) > 0.2 * f64::from(came + bad) { 0.0 } else { self.well + f64::from(came) };
    }

    fn part(of: f64, all: f64) -> f64 {
        if all > 0.0 { (of / all).min(1.0) } else { 0.0 }
    }
}

#[derive(Clone, Debug)]
struct Ring {
    seen: Faded,
    state: RingState,
    /// The part of its keys that goes farther out.
    spilt: f64,
    /// The next step away from it, while it is lost.
    step: f64,
    /// When it last gave a sign of trouble.
    trouble_at: Duration,
    /// The hold before a return, a multiple of the figure.
    hold: u32,
    /// Whether a return has begun that has not come to its end.
    returning: bool,
}

/// One node's machine.
#[derive(Debug)]
pub struct LocalitySteering {
    figures: Tuning,
    /// The ring of each zone.
    rings: Vec<u8>,
    inner: [Ring; INNER],
    far: Faded,
    rng: Rand64,
    next: Duration,
}

impl LocalitySteering {
    /// A node in whose view zones lie in these rings (0 near, 1 next, 2 far), with nothing seen yet.
    pub fn new(figures: Tuning, rings: Vec<u8>, seed: u64) -> LocalitySteering {
        let ring = Ring {
            seen: Faded::default(),
            state: RingState::Healthy,
            spilt: 0.0,
            step: figures.first_step,
            trouble_at: Duration::ZERO,
            hold: 1,
            returning: false,
        };
        let rng = Rand64::new(seed.into());
        LocalitySteering {
            figures,
            rings,
            inner: [ring.clone(), ring],
            far: Faded::default(),
            rng,
            next: Duration::ZERO,
        }
    }

    /// How the near ring looks, and the part of its keys that goes farther out.
    pub fn state(&self) -> (RingState, f64) {
        (self.inner[0].state, self.inner[0].spilt)
    }

    /// Where keys' orders are taken now.
    pub fn routing(&self) -> ZoneRouting {
        let [near, next] = [0, 1].map(|ring: usize| 1.0 - self.inner[ring].spilt);
        // Where no zone lies in the next ring, what leaves the near one goes to what is far.
        let next = if self.rings.contains(&1) { next } else { 0.0 };
        ZoneRouting {
            zone_rings: self.rings.clone(),
            cumulative_key_shares: [near, near + (1.0 - near) * next],
            ..ZoneRouting::default()
        }
    }

    /// When the next step is due.
    pub fn next_due(&self) -> Duration {
        self.next
    }

    /// One step: what became of the attempts in each zone since the last. A pool, where it has changed.
    pub fn step(&mut self, now: Duration, tallies: &[Tally]) -> Option<ZoneRouting> {
        let apart = 1.0 + OUT_OF_STEP * (2.0 * self.rng.rand_float() - 1.0);
        self.next = now + Duration::from_millis(self.figures.step_ms).mul_f64(apart);
        let before = self.routing();
        for ring in 0..=INNER {
            let of = |zone: &usize| usize::from(self.rings[*zone].min(INNER as u8)) == ring;
            let counted = (0..self.rings.len().min(tallies.len())).filter(of).map(|zone| tallies[zone]);
            let seen = if ring < INNER { &mut self.inner[ring].seen } else { &mut self.far };
            seen.add(counted.collect::<Vec<_>>().into_iter());
        }
        for ring in 0..INNER {
            // What lies beyond: the first ring farther out that has zones.
            let beyond = (ring + 1..=INNER).find(|r| self.rings.iter().any(|z| usize::from(*z) == *r));
            let beyond = beyond.map(|r| if r < INNER { self.inner[r].seen } else { self.far });
            self.inner[ring].step(&self.figures, now, beyond);
        }
        Some(self.routing()).filter(|pool| *pool != before)
    }
}

impl Ring {
    fn step(&mut self, figures: &Tuning, now: Duration, beyond: Option<Faded>) {
        let seen = &self.seen;
        let (silent, trouble) = (Faded::part(seen.silent, seen.all), Faded::part(seen.trouble, seen.all));
        // While it is spilt little comes here: few attempts must do.
        let enough = seen.all >= ENOUGH * (1.0 - self.spilt).max(0.25);
        let lost = enough && silent >= figures.lost;
        let strained = enough && trouble >= figures.strained;
        if lost || strained {
            self.trouble_at = now;
            if std::mem::take(&mut self.returning) {
                // It did not bear what came back: longer until the next try.
                self.hold = (self.hold * 2).min(LONGEST_HOLD);
            }
        }
        // Without room beyond, what is spilt would be lost there, and the way is longer.
        let most = match beyond {
            None => 0.0,
            Some(beyond) if beyond.all < 1.0 => TRY.max(self.spilt),
            Some(beyond) => {
                let there = Faded::part(beyond.trouble, beyond.all);
                if there <= BETTER * trouble { 1.0 - figures.scouts } else { self.spilt }
            }
        };
        if lost {
            self.state = RingState::Lost;
            self.spilt = (self.spilt + self.step).min(most.max(self.spilt));
            self.step = (self.step * 2.0).min(1.0);
        } else if strained {
            self.state = RingState::Overloaded;
            self.spilt = (self.spilt + figures.strained_step).min(most.max(self.spilt));
        } else if self.spilt > 0.0 {
            let hold = Duration::from_millis(figures.hold_ms) * self.hold;
            if now >= self.trouble_at + hold && self.seen.well >= SCOUTS {
                self.state = RingState::Returning;
                self.returning = true;
                self.spilt = (self.spilt - figures.back_step).max(0.0);
            }
        } else {
            self.state = RingState::Healthy;
            self.step = figures.first_step;
            if now >= self.trouble_at + Duration::from_millis(figures.hold_ms) * LONGEST_HOLD {
                self.hold = 1;
            }
            self.returning = false;
        }
    }
}
