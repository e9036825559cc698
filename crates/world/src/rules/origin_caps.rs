//! The rule on calls at the origin.

use std::time::Duration;

use super::{Checker, Rule, SLACK};
use crate::observe::NodeIndex;

impl Checker {
    /// Counts a call that reached the origin. Exceeding a limit counts once it has lasted longer than a close
    /// needs to arrive.
    pub(super) fn origin_call(&mut self, now: Duration, node: NodeIndex) {
        let (call_limit, window_limit, window) = (self.call_limit, self.window_limit, self.window);
        let state = &mut self.nodes[node];
        state.origin_calls += 1;
        if f64::from(state.origin_calls) > call_limit {
            state.over_limit_since.get_or_insert(now);
        }
        state.recent_calls.push_back(now);
        while state.recent_calls.front().is_some_and(|t| *t + window < now) {
            state.recent_calls.pop_front();
        }
        let (outstanding, in_window) = (state.origin_calls, state.recent_calls.len());
        let over_limit = state.over_limit_since.is_some_and(|since| now > since + SLACK);
        if over_limit {
            self.add_violation(
                now,
                Rule::Caps,
                format!("node {node} has {outstanding} outstanding calls at the origin, over {call_limit}"),
            );
        }
        // The node counts in fixed windows: a sliding window may contain the end of one and the start of the
        // next.
        if in_window as f64 > 2.0 * window_limit + 2.0 {
            self.add_violation(
                now,
                Rule::Caps,
                format!("node {node} called the origin {in_window} times in {window:?}, over twice {window_limit:.1}"),
            );
        }
        let total: u32 = self.nodes.iter().map(|state| state.origin_calls).sum();
        let total_limit = call_limit * self.nodes.len() as f64;
        if f64::from(total) > total_limit + 2.0 && over_limit {
            self.add_violation(
                now,
                Rule::Caps,
                format!("all nodes have {total} outstanding calls at the origin, over {total_limit}"),
            );
        }
    }
}
