//! Admission of connections: a bound on the rate of accepts, and one on open connections without a command yet.

use std::time::Duration;

use crate::settings::Settings;

/// No connection is told to stay away for longer.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Accept it.
    Accept,
    /// Tell it to come back after this long, and close it.
    Reject(Duration),
}

/// Admission of connections: a token bucket for the rate, and a bound on those that have not sent a command yet.
///
/// Of a wave of reconnects the bucket's rate is accepted and no more, so that the node goes on serving its present
/// clients; the others are told when to come back. They are not left in the kernel's accept queue: requests there wait
/// unread, and are answered after their client has left. Connections without a command are bounded separately, because
/// a client that connects and sends nothing holds a descriptor like any other.
#[derive(Debug)]
pub struct ConnectionAdmission {
    accepts_per_s: f64,
    burst: f64,
    max_awaiting_command: usize,
    tokens: f64,
    refilled_at: Duration,
    /// When the last slot of the virtual queue of rejected connections is due.
    queue_end: Duration,
}

impl ConnectionAdmission {
    /// Admission for a node that may have `max_connections` open client connections.
    pub fn new(settings: &Settings, max_connections: usize) -> ConnectionAdmission {
        ConnectionAdmission {
            accepts_per_s: settings.accepts_per_s,
            burst: settings.accept_burst,
            max_awaiting_command: ((max_connections as f64 * settings.awaiting_command_share) as usize)
                .max(1),
            tokens: settings.accept_burst,
            refilled_at: Duration::ZERO,
            queue_end: Duration::ZERO,
        }
    }

    /// Decides on a new connection while this many others have not sent a complete command yet.
    pub fn admit(&mut self, now: Duration, awaiting_command: usize) -> Verdict {
        if self.accepts_per_s <= 0.0 {
            return Verdict::Accept;
        }
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.accepts_per_s).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens >= 1.0 && awaiting_command < self.max_awaiting_command {
            self.tokens -= 1.0;
            return Verdict::Accept;
        }
        // With slots one behind the other, at the accepted rate, they do not all come back at the same time.
        let end = self.queue_end.max(now) + Duration::from_secs_f64(1.0 / self.accepts_per_s);
        self.queue_end = end.min(now + MAX_RETRY_AFTER);
        Verdict::Reject((self.queue_end.saturating_sub(now)).max(Duration::from_millis(1)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    /// Offers a thousand connections within a second: how many are accepted, and when the others may come back.
    fn wave(admission: &mut ConnectionAdmission, awaiting_command: usize) -> (usize, Vec<Duration>) {
        let (mut accepted, mut come_back) = (0, Vec::new());
        for i in 0..1000 {
            let now = SECOND + Duration::from_millis(i);
            match admission.admit(now, awaiting_command) {
                Verdict::Accept => accepted += 1,
                Verdict::Reject(after) => come_back.push(now + after),
            }
        }
        (accepted, come_back)
    }

    fn admission() -> ConnectionAdmission {
        let settings = Settings { accepts_per_s: 100.0, accept_burst: 10.0, ..Settings::default() };
        ConnectionAdmission::new(&settings, 40)
    }

    #[test]
    fn a_wave_is_accepted_at_the_rate_and_the_rest_comes_back_one_by_one() {
        let (accepted, come_back) = wave(&mut admission(), 0);
        assert!((108..=111).contains(&accepted), "{accepted} in a second: the rate and the burst");
        let gaps: Vec<_> = come_back.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(gaps.iter().all(|gap| *gap >= Duration::from_micros(9_900)), "{gaps:?}");
        assert!(*come_back.last().unwrap() > 9 * SECOND, "over the time that accepting them takes");
    }

    #[test]
    fn connections_without_a_command_cannot_fill_the_node() {
        let (accepted, come_back) = wave(&mut admission(), 20);
        assert_eq!((accepted, come_back.len()), (0, 1000), "half of 40 have not sent a command");
    }

    #[test]
    fn a_clock_that_stands_or_goes_back_gives_no_tokens() {
        let mut admission = admission();
        let accepted = |admission: &mut ConnectionAdmission, now| {
            (0..100).filter(|_| admission.admit(now, 0) == Verdict::Accept).count()
        };
        assert_eq!(accepted(&mut admission, SECOND), 10);
        assert_eq!(accepted(&mut admission, SECOND), 0);
        assert_eq!(accepted(&mut admission, Duration::ZERO), 0);
    }
}
