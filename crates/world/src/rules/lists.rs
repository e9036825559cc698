//! What nodes have been told of servers, and the rule on servers whose cache is cold.

use std::time::Duration;

use super::{Checker, Rule};
use crate::observe::{NodeIndex, Phase, ServerIndex};

impl Checker {
    pub(super) fn told(
        &mut self,
        now: Duration,
        node: NodeIndex,
        whole: bool,
        boxes: &[(ServerIndex, Phase, u64)],
    ) {
        let told = &mut self.nodes[node].told;
        if whole {
            for (number, t) in told.iter_mut() {
                if !boxes.iter().any(|(n, ..)| n == number) {
                    t.unready.get_or_insert(now);
                }
            }
        }
        for (number, phase, start) in boxes {
            let t = told.entry(*number).or_default();
            if t.start != *start {
                (t.start, t.known_since) = (*start, now);
            }
            match phase {
                Phase::Ready => t.unready = None,
                _ => {
                    t.unready.get_or_insert(now);
                }
            }
        }
    }

    pub(super) fn fell(&mut self, now: Duration, at: ServerIndex) {
        let Some(cold) = self.cold.get(&at) else { return };
        let knew = |node: NodeIndex, when: Duration| {
            let told = self.nodes[node].told.get(&at);
            told.is_some_and(|t| t.start == cold.start && t.known_since <= when)
        };
        let all: f64 = cold.arrived.iter().map(|(.., w)| w).sum();
        let known: f64 = cold.arrived.iter().filter(|(t, n, _)| knew(*n, *t)).map(|(.., w)| w).sum();
        if known * 3.0 >= all * 2.0 {
            let what =
                format!("box {at} fell over, {:.0}% of its work from nodes that knew", known / all * 100.0);
            self.broken(now, Rule::ColdBoxes, what);
        }
    }
}
