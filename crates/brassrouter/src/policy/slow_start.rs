//! Slow start: what a server that has just started is sent while its capacity grows.
//!
//! It fails when it gets more than a multiple of what it can do for the length of a window. Nothing tells
//! what a server can do, so the budget of a window is taken from the traffic: a server's part of what is
//! admitted, times its present part of capacity, times that multiple. Two limits hold it, for there may be
//! one balancer or hundreds:
//!
//! - the part of its keys that it gets, the same keys from every balancer. This holds the sum over balancers,
//!   each of which sends too little to judge it, but not what servers over their load bound pass on to it;
//! - a token bucket at each balancer, which holds that too, but not the sum of many that send little.
//!
//! Both count with the capacity that the server had a window ago: a window that ends now began then.

use super::*;

/// The part of its budget of a window that a server is sent on the average. The rest is for chance, and for
/// traffic beyond what the fleet can do: half as much again fits.
const AVERAGE: f64 = 0.65;
/// A bucket lets this part of the budget of a window through in a window, what it holds included.
const BUCKET: f64 = 0.7;
/// Of that a bucket holds this part.
const DEPTH: f64 = 0.2;
/// A bucket fills no faster than this multiple of the attempts that are due to the server at its present
/// part of capacity, and than this part of the multiple at which it falls over.
const FASTEST: (f64, f64) = (1.5, 0.5);
/// What a bucket holds at the least, in attempts. One that holds a single attempt turns away whatever comes
/// two at a time, and of what is due from a hundred balancers nearly half comes so.
pub(super) const LEAST_DEPTH: f64 = 2.0;

impl Policy {
    /// Against pushing a cold server over: it gets a part of its keys that grows as it warms, the same keys
    /// from every balancer, no more than its budget allows, and nothing turned away elsewhere.
    pub(super) fn warm_enough(&self, key: Key, first: bool, s: &Server, class: usize) -> bool {
        let warmth = s.warmth(self.now, &self.settings);
        if warmth >= 1.0 {
            return true;
        }
        let (level, depth) = self.cold_bucket(s, class);
        let part = warmth.min(AVERAGE * self.window_budget(s));
        first && unit_hash(key, s.line.id, 1) < part && level + 1.0 <= depth
    }

    /// Budget of the window that ends now, as a multiple of what is due to the server when it is warm.
    fn window_budget(&self, s: &Server) -> f64 {
        let began = self.now.saturating_sub(self.settings.collapse_window).max(s.line.started_at);
        self.settings.collapse_multiple.max(1.0) * s.warmth(began, &self.settings)
    }

    /// Level and depth of the bucket of attempts at a server, as cold as it is. Its part is one of the fleet
    /// as it was lately: of a list that shrinks to a few cold servers each would be due a great part of all.
    pub(super) fn cold_bucket(&self, s: &Server, class: usize) -> (f64, f64) {
        let (due, of) = self.due(s, class, true);
        let due_per_us = due / of * self.admitted.per_s / 1e6 / f64::from(self.sharers.max(1));
        let fall_multiple = self.settings.collapse_multiple.max(1.0);
        let fastest = FASTEST.0.min(fall_multiple * FASTEST.1) * s.warmth(self.now, &self.settings);
        let budget = BUCKET * self.window_budget(s);
        let held = due_per_us * self.settings.collapse_window as f64 * budget * DEPTH;
        // Below the least depth a balancer sends too little for its bucket to hold the sum.
        let fills = if held < LEAST_DEPTH { fastest } else { fastest.min(budget * (1.0 - DEPTH)) };
        let rate = due_per_us * fills;
        let level = s.cold_level - rate * (self.now - s.used) as f64;
        (level.max(0.0), held.max(LEAST_DEPTH))
    }
}
