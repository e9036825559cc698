//! Going on from what another process of the same balancer knew. What belongs to that process alone is left to it: its
//! requests, its attempts, its timers. What it may still have out comes as [`Event::Inherited`].

use super::*;

impl Policy {
    /// The balancer that takes the place of this one: it knows the servers, kinds, tenants and peers as they were, and
    /// has nothing of its own out yet.
    pub fn into_successor(mut self, seed: u64) -> Policy {
        for s in self.servers.values_mut() {
            (s.in_flight, s.overtaken, s.connected) = (0, 0, false);
        }
        (self.gate.out, self.gate.tally) = ([0, 0], [0, 0]);
        // An allowance is that of one process.
        self.gate.allowance = None;
        let mut next = Policy {
            rng: Random::new(seed),
            last_told: seed as u32 >> 1,
            held: BTreeMap::new(),
            flights: BTreeMap::new(),
            fetches: BTreeMap::new(),
            wakes: Wakes::default(),
            unserved: Unserved::default(),
            cache_out: 0,
            // The detector of storms begins anew, and so does the watch on the list.
            storm: false,
            subscribed: false,
            ask_again: Backoff::default(),
            ask_at: 0,
            sharers: 0,
            ..self
        };
        next.wake(0, Wake::Subscribe);
        next.wake(0, Wake::Review);
        next
    }
}
