//! Continuing from the state of another process of the same node. What belongs to that process alone is
//! dropped: its requests, attempts and timers. What it may still have outstanding arrives as
//! [`Event::Inherited`].

use super::*;

impl Policy {
    /// The policy of the successor process: it knows the servers, machine types, tenants and peers of this
    /// one, and has no requests or attempts yet.
    pub fn into_successor(mut self, seed: u64) -> Policy {
        for s in self.servers.values_mut() {
            (s.in_flight, s.overtaken, s.connected) = (0, 0, false);
        }
        (self.gate.outstanding, self.gate.calls_in_window) = ([0, 0], [0, 0]);
        // An allowance belongs to a single process.
        self.gate.allowance = None;
        let mut successor = Policy {
            rng: Random::new(seed),
            last_recipient: seed as u32 >> 1,
            pending: BTreeMap::new(),
            in_flight_attempts: BTreeMap::new(),
            fetching: BTreeMap::new(),
            tasks: ScheduledTasks::default(),
            refusal_log: RefusalLog::default(),
            cache_attempts_in_flight: 0,
            // The detection of storms and the subscription to discovery begin anew.
            storm: false,
            subscribed: false,
            discovery_backoff: Backoff::default(),
            next_subscribe_at: 0,
            process_count: 0,
            ..self
        };
        successor.schedule_after(0, ScheduledTask::Subscribe);
        successor.schedule_after(0, ScheduledTask::Review);
        successor
    }
}
