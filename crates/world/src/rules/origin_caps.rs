//! The rule on calls at the origin.

use std::time::Duration;

use super::{Checker, Rule, SLACK};
use crate::observe::NodeIndex;

impl Checker {
    /// A call has come to the origin. Being over a cap counts once it has lasted longer than a close needs to arrive.
    pub(super) fn origin_call(&mut self, now: Duration, node: NodeIndex) {
        let (cap, tally, window) = (self.cap, self.tally, self.window);
        let n = &mut self.nodes[node];
        n.out += 1;
        if f64::from(n.out) > cap {
            n.over_since.get_or_insert(now);
        }
        n.window.push_back(now);
        while n.window.front().is_some_and(|t| *t + window < now) {
            n.window.pop_front();
        }
        let (out, lately) = (n.out, n.window.len());
        let over = n.over_since.is_some_and(|since| now > since + SLACK);
        if over {
            self.broken(
                now,
                Rule::Caps,
                format!("node {node} has {out} calls out at the origin, over {cap}"),
            );
        }
        // The tally is of fixed windows: one of any begin may hold the end of one and the beginning of the next.
        if lately as f64 > 2.0 * tally + 2.0 {
            self.broken(
                now,
                Rule::Caps,
                format!("node {node} called the origin {lately} times in {window:?}, over twice {tally:.1}"),
            );
        }
        let all: u32 = self.nodes.iter().map(|n| n.out).sum();
        let most = cap * self.nodes.len() as f64;
        if f64::from(all) > most + 2.0 && over {
            self.broken(
                now,
                Rule::Caps,
                format!("all nodes have {all} calls out at the origin, over {most}"),
            );
        }
    }
}
