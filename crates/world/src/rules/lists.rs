//! Lists of servers as sent to nodes, and the rule on cold cache servers.

use std::time::Duration;

use super::{Checker, Rule};
use crate::observe::{NodeIndex, Phase, ServerIndex};

impl Checker {
    pub(super) fn list_sent(
        &mut self,
        now: Duration,
        node: NodeIndex,
        full: bool,
        servers: &[(ServerIndex, Phase, u64)],
    ) {
        let known_servers = &mut self.nodes[node].known_servers;
        if full {
            for (server, known) in known_servers.iter_mut() {
                if !servers.iter().any(|(other, ..)| other == server) {
                    known.not_ready_since.get_or_insert(now);
                }
            }
        }
        for (server, phase, start) in servers {
            let known = known_servers.entry(*server).or_default();
            if known.started_ms != *start {
                (known.started_ms, known.start_known_since) = (*start, now);
            }
            match phase {
                Phase::Ready => known.not_ready_since = None,
                _ => {
                    known.not_ready_since.get_or_insert(now);
                }
            }
        }
    }

    pub(super) fn server_collapsed(&mut self, now: Duration, server: ServerIndex) {
        let Some(cold) = self.cold_servers.get(&server) else { return };
        let node_knew = |node: NodeIndex, when: Duration| {
            let known = self.nodes[node].known_servers.get(&server);
            known.is_some_and(|server_state| {
                server_state.started_ms == cold.started_ms && server_state.start_known_since <= when
            })
        };
        let total: f64 = cold.recent_work.iter().map(|(.., work)| work).sum();
        let from_informed: f64 = cold
            .recent_work
            .iter()
            .filter(|(arrived_at, node, _)| node_knew(*node, *arrived_at))
            .map(|(.., work)| work)
            .sum();
        if from_informed * 3.0 >= total * 2.0 {
            let what = format!(
                "cache server {server} collapsed, {:.0}% of its work from nodes that knew",
                from_informed / total * 100.0
            );
            self.add_violation(now, Rule::ColdBoxes, what);
        }
    }
}
