//! Admission over connections: how many are taken a second, and how many may be open that nobody knows yet.

use std::time::Duration;

use crate::settings::Settings;

/// No connection is told to stay away for longer.
const LONGEST: Duration = Duration::from_secs(30);

/// What becomes of a connection that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is taken.
    Take,
    /// It is told to come back after this long, and closed.
    Reject(Duration),
}

/// Decides about connections: a token bucket for the rate, and a bound on those that have not sent a command yet.
///
/// A wave of reconnects takes the bucket's rate and no more, so that the node goes on serving those it has; the others
/// are told when to come back. They are not left in the machine's queue: what is asked there is asked of nobody, and
/// answered after its client has left. Those that are half known are bounded apart, for a client that connects and says
/// nothing holds a descriptor like one that asks.
#[derive(Debug)]
pub struct ConnectionAdmission {
    per_s: f64,
    at_once: f64,
    half_known: usize,
    tokens: f64,
    last: Duration,
    /// Where the line of those that were turned away ends.
    line: Duration,
}

impl ConnectionAdmission {
    /// A door for a node that may have `most` connections of clients open.
    pub fn new(settings: &Settings, most: usize) -> ConnectionAdmission {
        ConnectionAdmission {
            per_s: settings.accepts_per_s,
            at_once: settings.accepts_at_once,
            half_known: ((most as f64 * settings.half_known) as usize).max(1),
            tokens: settings.accepts_at_once,
            last: Duration::ZERO,
            line: Duration::ZERO,
        }
    }

    /// Judges a connection that has come while `half_known` others have not sent a whole command yet.
    pub fn admit(&mut self, now: Duration, half_known: usize) -> Verdict {
        if self.per_s <= 0.0 {
            return Verdict::Take;
        }
        let passed = now.saturating_sub(self.last).as_secs_f64();
        self.tokens = (self.tokens + passed * self.per_s).min(self.at_once);
        self.last = self.last.max(now);
        if self.tokens >= 1.0 && half_known < self.half_known {
            self.tokens -= 1.0;
            return Verdict::Take;
        }
        // Given places one behind the other, at the rate of the door, they do not come back together.
        let end = self.line.max(now) + Duration::from_secs_f64(1.0 / self.per_s);
        self.line = end.min(now + LONGEST);
        Verdict::Reject((self.line.saturating_sub(now)).max(Duration::from_millis(1)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    /// What a wave of a thousand connections in a second meets: how many are taken, and when the others may come back.
    fn wave(door: &mut ConnectionAdmission, half_known: usize) -> (usize, Vec<Duration>) {
        let (mut taken, mut back) = (0, Vec::new());
        for i in 0..1000 {
            let now = SECOND + Duration::from_millis(i);
            match door.admit(now, half_known) {
                Verdict::Take => taken += 1,
                Verdict::Reject(after) => back.push(now + after),
            }
        }
        (taken, back)
    }

    fn door() -> ConnectionAdmission {
        let settings = Settings { accepts_per_s: 100.0, accepts_at_once: 10.0, ..Settings::default() };
        ConnectionAdmission::new(&settings, 40)
    }

    #[test]
    fn a_wave_takes_the_rate_and_a_burst_and_the_rest_comes_back_one_by_one() {
        let (taken, back) = wave(&mut door(), 0);
        assert!((108..=111).contains(&taken), "{taken} in a second: the rate and the burst");
        let gaps: Vec<_> = back.windows(2).map(|two| two[1] - two[0]).collect();
        assert!(gaps.iter().all(|gap| *gap >= Duration::from_micros(9_900)), "{gaps:?}");
        assert!(*back.last().unwrap() > 9 * SECOND, "over the time in which the door can take them");
    }

    #[test]
    fn those_that_say_nothing_cannot_fill_the_node() {
        let (taken, back) = wave(&mut door(), 20);
        assert_eq!((taken, back.len()), (0, 1000), "half of 40 are half known already");
    }

    #[test]
    fn a_clock_that_stands_or_goes_back_gives_no_tokens() {
        let mut door = door();
        let taken = |door: &mut ConnectionAdmission, now| {
            (0..100).filter(|_| door.admit(now, 0) == Verdict::Take).count()
        };
        assert_eq!(taken(&mut door, SECOND), 10);
        assert_eq!(taken(&mut door, SECOND), 0);
        assert_eq!(taken(&mut door, Duration::ZERO), 0);
    }
}
