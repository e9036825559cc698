//! What the node did in the last few seconds, as one line of the log: the first thing that on-call staff look at.

use std::fmt;
use std::time::Duration;

use brassrouter::{Micros, Status};

/// How calls of one kind ended since the last line: how many with each status, and how long those took in all.
#[derive(Default)]
struct Calls([(u32, Micros); STATUSES.len()]);

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

impl Calls {
    fn ended(&mut self, status: Status, took: Micros) {
        let place = STATUSES.iter().position(|(s, _)| *s == status);
        if let Some((count, all)) = place.and_then(|at| self.0.get_mut(at)) {
            *count = count.saturating_add(1);
            *all = all.saturating_add(took);
        }
    }
}

impl fmt::Display for Calls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut comma = "";
        for ((_, name), (count, all)) in STATUSES.iter().zip(&self.0).filter(|(_, (count, _))| *count > 0) {
            write!(f, "{comma} {count} {name} ({:.1} ms)", *all as f64 / 1e3 / f64::from(*count))?;
            comma = ",";
        }
        if comma.is_empty() { f.write_str(" none") } else { Ok(()) }
    }
}

/// How many connections to cache servers were made of late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectCounts {
    pub started: u32,
    /// Of these, the ones that were refused.
    pub refused: u32,
    /// Of these, the ones that this machine could not make.
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

/// The counts since the last line.
#[derive(Default)]
pub struct Counters {
    pub asked: u32,
    pub served: u32,
    pub refused: u32,
    /// Of those refused, the ones for which no attempt was made.
    pub untried: u32,
    pub failed: u32,
    cache: Calls,
    origin: Calls,
    /// Lists and changes of the list that discovery gave, and calls to it that failed.
    pub lists: u32,
    pub list_failures: u32,
    /// Messages to peers, and of peers.
    pub told: u32,
    pub heard: u32,
    pub connects: ConnectCounts,
}

impl Counters {
    /// Counts the end of a call, and how long it was out.
    pub fn ended(&mut self, origin: bool, status: Status, took: Micros) {
        let calls = if origin { &mut self.origin } else { &mut self.cache };
        calls.ended(status, took);
    }

    /// The line since the last one, if anything happened at all; `list_age` is the time since discovery last answered.
    pub fn line(&mut self, open: usize, list_age: Option<Duration>) -> Option<String> {
        let c = std::mem::take(self);
        let age =
            list_age.map_or("none yet".into(), |age| format!("the last {:.1} s ago", age.as_secs_f64()));
        let line = format!(
            "{} asked, {} served, {} refused ({} untried), {} failed, {open} open; cache:{}; origin:{}; \
             lists: {}, {age}, {} calls failed; peers: {} told, {} heard; connects: {}",
            c.asked,
            c.served,
            c.refused,
            c.untried,
            c.failed,
            c.cache,
            c.origin,
            c.lists,
            c.list_failures,
            c.told,
            c.heard,
            c.connects
        );
        (c.asked > 0 || open > 0).then_some(line)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_tells_what_happened_since_the_last_and_nothing_tells_nothing() {
        let mut counters = Counters { asked: 3, served: 2, refused: 1, untried: 1, ..Counters::default() };
        counters.ended(false, Status::Served, 2_000);
        counters.ended(false, Status::Served, 4_000);
        counters.ended(true, Status::Full, 500);
        (counters.lists, counters.list_failures, counters.told, counters.heard) = (1, 2, 16, 15);
        counters.connects = ConnectCounts { started: 9, refused: 4, local_failures: 0 };
        assert_eq!(
            counters.line(0, Some(Duration::from_millis(2_140))).as_deref(),
            Some(
                "3 asked, 2 served, 1 refused (1 untried), 0 failed, 0 open; cache: 2 served (3.0 ms); \
                 origin: 1 full (0.5 ms); lists: 1, the last 2.1 s ago, 2 calls failed; \
                 peers: 16 told, 15 heard; connects: 9, 4 refused"
            )
        );
        assert_eq!(counters.line(0, None), None);
        let line = Counters { asked: 1, ..Counters::default() }.line(0, None).unwrap_or_default();
        assert!(line.contains("lists: 0, none yet, 0 calls failed"), "{line}");
    }
}
