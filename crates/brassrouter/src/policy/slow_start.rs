//! Slow start: limits the load of a server that has just started, while its capacity grows.
//!
//! A cold server collapses when it receives more than a multiple of its capacity for the length of a window.
//! The capacity of a server is not known, so the budget of a window is derived from the traffic: the server's
//! share of the admitted requests, times its present share of capacity, times that multiple. There may be one
//! node or hundreds, so two limits enforce the budget:
//!
//! - The share of its keys that the server gets, the same keys from every node. This limits the sum over all
//!   nodes, each of which sends too little to judge it, but not the requests that servers over their load
//!   bound pass on.
//! - A token bucket at each node. This limits those too, but not the sum over many nodes that send little.
//!
//! Both use the capacity that the server had one window ago, because a window that ends now began then.

use super::*;

/// Average share of the budget of a window that a server is sent. The rest is for random variation and for
/// traffic beyond the capacity of the fleet, up to one and a half times that capacity.
const AVERAGE_BUDGET_SHARE: f64 = 0.65;
/// Share of the budget of a window that a bucket lets through in a window, including its burst.
const BUCKET_BUDGET_SHARE: f64 = 0.7;
/// Share of that amount that a bucket holds as its burst.
const BUCKET_BURST_SHARE: f64 = 0.2;
/// Highest fill rate of a bucket, as a multiple of the attempts due to the server at its present capacity.
const MAX_FILL_RATE: f64 = 1.5;
/// Highest fill rate of a bucket, as a share of the multiple at which the server collapses.
const MAX_FILL_RATE_COLLAPSE_SHARE: f64 = 0.5;
/// Smallest depth of a bucket, in attempts. A bucket of one attempt rejects one of any two attempts that
/// arrive together, and with a hundred nodes nearly half of the attempts due arrive so.
pub(super) const MIN_BUCKET_DEPTH: f64 = 2.0;

impl Policy {
    /// Whether slow start permits an attempt at a server. A cold server gets a growing share of its keys, the
    /// same keys from every node, within its budget, and no requests that other servers have rejected.
    pub(super) fn slow_start_permits(&self, key: Key, first: bool, server: &Server, class: usize) -> bool {
        let capacity_share = server.capacity_share(self.now, &self.settings);
        if capacity_share >= 1.0 {
            return true;
        }
        let (level, depth) = self.slow_start_bucket(server, class);
        let key_share = capacity_share.min(AVERAGE_BUDGET_SHARE * self.window_budget(server));
        first && unit_hash(key, server.entry.id, 1) < key_share && level + 1.0 <= depth
    }

    /// Budget of the window that ends now, as a multiple of the attempts due to the server when it is warm.
    fn window_budget(&self, server: &Server) -> f64 {
        let window_start =
            self.now.saturating_sub(self.settings.collapse_window).max(server.entry.started_at);
        self.settings.collapse_multiple.max(1.0) * server.capacity_share(window_start, &self.settings)
    }

    /// Level and depth of a server's bucket. The server's share is that of the recent fleet: if the list
    /// shrinks to a few cold servers, a large share of all requests would be due to each.
    pub(super) fn slow_start_bucket(&self, server: &Server, class: usize) -> (f64, f64) {
        let (due, total) = self.due_share(server, class, true);
        let due_per_us = due / total * self.admitted.per_s / 1e6 / f64::from(self.process_count.max(1));
        let collapse_multiple = self.settings.collapse_multiple.max(1.0);
        let max_fill_rate = MAX_FILL_RATE.min(collapse_multiple * MAX_FILL_RATE_COLLAPSE_SHARE)
            * server.capacity_share(self.now, &self.settings);
        let budget = BUCKET_BUDGET_SHARE * self.window_budget(server);
        let depth = due_per_us * self.settings.collapse_window as f64 * budget * BUCKET_BURST_SHARE;
        // Below the smallest depth a node sends too little for its bucket to limit the sum over all nodes.
        let fill_rate = if depth < MIN_BUCKET_DEPTH {
            max_fill_rate
        } else {
            max_fill_rate.min(budget * (1.0 - BUCKET_BURST_SHARE))
        };
        let tokens_per_us = due_per_us * fill_rate;
        let level = server.slow_start_level - tokens_per_us * (self.now - server.last_used_at) as f64;
        (level.max(0.0), depth.max(MIN_BUCKET_DEPTH))
    }
}
