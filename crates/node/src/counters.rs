//! Summary of the last few seconds as one log line: the first thing that an operator looks at.

use std::fmt;
use std::time::Duration;

use brassrouter::{Micros, Status};

/// Outcomes of calls of one kind since the last summary: the number with each status, and their total
/// duration.
#[derive(Default)]
struct CallCounts([(u32, Micros); STATUSES.len()]);

const STATUSES: [(Status, &str); 10] = [
    (Status::Served, "served"),
    (Status::Miss, "missed"),
    (Status::Error, "error"),
    (Status::Full, "full"),
    (Status::TimedOut, "timed out"),
    (Status::ConnectFailed, "not connected"),
    (Status::Reset, "reset"),
    (Status::Cancelled, "cancelled"),
    (Status::NotSent, "not sent"),
    (Status::LocalFailure, "failed on this machine"),
];

impl CallCounts {
    fn record(&mut self, status: Status, duration: Micros) {
        let position = STATUSES.iter().position(|(s, _)| *s == status);
        if let Some((count, total)) = position.and_then(|at| self.0.get_mut(at)) {
            *count = count.saturating_add(1);
            *total = total.saturating_add(duration);
        }
    }
}

impl fmt::Display for CallCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut comma = "";
        for ((_, name), (count, total)) in STATUSES.iter().zip(&self.0).filter(|(_, (count, _))| *count > 0) {
            write!(f, "{comma} {count} {name} ({:.1} ms)", *total as f64 / 1e3 / f64::from(*count))?;
            comma = ",";
        }
        if comma.is_empty() { f.write_str(" none") } else { Ok(()) }
    }
}

/// Recent connection attempts to cache servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectCounts {
    pub started: u32,
    /// The part of them that was refused.
    pub refused: u32,
    /// The part of them that failed on this machine.
    pub local_failures: u32,
}

impl fmt::Display for ConnectCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, {} refused", self.started, self.refused)?;
        match self.local_failures {
            0 => Ok(()),
            failures => write!(f, ", {failures} failed on this machine"),
        }
    }
}

/// Counts since the last summary.
#[derive(Default)]
pub struct Counters {
    pub requests: u32,
    pub served: u32,
    pub refused: u32,
    /// Refused requests for which no attempt was made.
    pub untried: u32,
    pub failed: u32,
    cache_calls: CallCounts,
    origin_calls: CallCounts,
    /// Lists and changes received from discovery, and failed calls to it.
    pub lists: u32,
    pub list_failures: u32,
    /// Messages sent to and received from peers.
    pub messages_sent: u32,
    pub messages_received: u32,
    pub connects: ConnectCounts,
}

impl Counters {
    /// Counts a finished call with its duration.
    pub fn call_ended(&mut self, is_origin: bool, status: Status, duration: Micros) {
        let calls = if is_origin { &mut self.origin_calls } else { &mut self.cache_calls };
        calls.record(status, duration);
    }

    /// The summary since the last one, if there was any activity; `list_age` is the time since the last list
    /// from discovery.
    pub fn take_summary(&mut self, open_requests: usize, list_age: Option<Duration>) -> Option<String> {
        let counts = std::mem::take(self);
        let age =
            list_age.map_or("none yet".into(), |age| format!("the last {:.1} s ago", age.as_secs_f64()));
        let line = format!(
            "{} requests, {} served, {} refused ({} untried), {} failed, {open_requests} open; cache:{}; origin:{}; \
             lists: {}, {age}, {} calls failed; peers: {} sent, {} received; connects: {}",
            counts.requests,
            counts.served,
            counts.refused,
            counts.untried,
            counts.failed,
            counts.cache_calls,
            counts.origin_calls,
            counts.lists,
            counts.list_failures,
            counts.messages_sent,
            counts.messages_received,
            counts.connects
        );
        (counts.requests > 0 || open_requests > 0).then_some(line)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn summary_covers_the_time_since_the_last_one_and_is_empty_without_activity() {
        let mut counters = Counters { requests: 3, served: 2, refused: 1, untried: 1, ..Counters::default() };
        counters.call_ended(false, Status::Served, 2_000);
        counters.call_ended(false, Status::Served, 4_000);
        counters.call_ended(true, Status::Full, 500);
        (counters.lists, counters.list_failures, counters.messages_sent, counters.messages_received) =
            (1, 2, 16, 15);
        counters.connects = ConnectCounts { started: 9, refused: 4, local_failures: 0 };
        assert_eq!(
            counters.take_summary(0, Some(Duration::from_millis(2_140))).as_deref(),
            Some(
                "3 requests, 2 served, 1 refused (1 untried), 0 failed, 0 open; cache: 2 served (3.0 ms); \
                 origin: 1 full (0.5 ms); lists: 1, the last 2.1 s ago, 2 calls failed; \
                 peers: 16 sent, 15 received; connects: 9, 4 refused"
            )
        );
        assert_eq!(counters.take_summary(0, None), None);
        let line = Counters { requests: 1, ..Counters::default() }.take_summary(0, None).unwrap_or_default();
        assert!(line.contains("lists: 0, none yet, 0 calls failed"), "{line}");
    }
}
