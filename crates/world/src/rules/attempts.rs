//! Rules on attempts: where and when they may go, which remaining time they carry, and how often a request
//! may run.

use std::time::Duration;

use super::{Attempt, AttemptState, Checker, Rule, SLACK, earliest_known};
use crate::observe::{NodeIndex, RequestId, ServerIndex};
use crate::scenario::Effect;

/// A change that discovery lists counts as known to all nodes after this time, if discovery was reachable.
const LIST_KNOWN_AFTER: Duration = Duration::from_secs(6);
/// No attempt of a request may start later than this after the request has ended.
const SEND_AFTER_END: Duration = Duration::from_millis(100);
/// The remaining time of an attempt may exceed that of its client by this much, beside the network delay: the
/// slack that the protocol allows.
const REMAINING_TIME_SLACK: Duration = Duration::from_millis(50);

impl Checker {
    /// Checks the remaining time that an attempt carried when it was received.
    pub(super) fn check_remaining_time(
        &mut self,
        now: Duration,
        received_at: Duration,
        server: ServerIndex,
        id: RequestId,
        deadline: Duration,
    ) {
        // Packets to an unreachable cache server arrive once it is reachable again.
        let recently_restored =
            self.restored_at.get(&server).is_some_and(|restored_at| now < *restored_at + SLACK);
        if recently_restored || self.unreachable.contains_key(&server) {
            return;
        }
        let (Some(request), Some(max_delay)) = (self.requests.get(&id), self.max_delay) else { return };
        let first_sent = request.attempts.first().map_or(now, |attempt| attempt.arrived_at);
        let known_since = earliest_known(
            request.sent_at,
            Some(first_sent).filter(|_| self.under_pressure(request.sent_at)),
        );
        // For a request that its client sent again: the attempt was written before the node saw the first
        // connection end.
        let under_way_then =
            request.first_time_out_ends.filter(|_| received_at <= request.sent_at + max_delay / 2);
        let remaining_until = under_way_then.map_or(known_since + request.time_out, |first_time_out| {
            first_time_out.max(known_since + request.time_out)
        });
        let excess = deadline.saturating_sub(remaining_until);
        if excess > REMAINING_TIME_SLACK + max_delay {
            let count = request.attempts.len() + 1;
            let what =
                format!("request {id:x}, attempt {count} at {server}: carries {excess:?} more than is left");
            self.add_violation(now, Rule::TimeLeft, what);
        }
    }

    /// Checks that an attempt was not sent for a request that had ended. The server may read it later, behind
    /// a response that is read slowly: the time at which it reached the machine counts, as written bytes
    /// cannot be taken back.
    pub(super) fn check_sent_in_time(
        &mut self,
        received_at: Duration,
        now: Duration,
        server: ServerIndex,
        id: RequestId,
    ) {
        // Packets to an unreachable cache server arrive once it is reachable again.
        let recently_restored =
            self.restored_at.get(&server).is_some_and(|restored_at| now < *restored_at + SLACK);
        let ended = self.requests.get(&id).and_then(|request| request.ended_at);
        let late = ended.map(|end| received_at.saturating_sub(end));
        let tolerance = SEND_AFTER_END + SLACK + self.extra_server_delay;
        if let Some(late) = late
            .filter(|late| *late > tolerance && !recently_restored && !self.unreachable.contains_key(&server))
        {
            let what = format!("request {id:x} was sent {late:?} after it had ended");
            self.add_violation(now, Rule::Over, what);
        }
    }

    pub(super) fn attempt_arrived(
        &mut self,
        now: Duration,
        server: ServerIndex,
        node: NodeIndex,
        id: RequestId,
        work: f64,
    ) {
        let grace = Duration::from_millis(self.rules.drain_grace_ms) + SLACK;
        let unreachable = self.unreachable.contains_key(&server);
        let recently_restored =
            self.restored_at.get(&server).is_some_and(|restored_at| now < *restored_at + SLACK);
        let Some(began) = self.nodes.get(node).map(|node_state| node_state.started_at) else { return };
        // A process that has just started has the same time as one that could not reach discovery.
        let must_know_by = self
            .not_ready_since
            .get(&server)
            .filter(|_| self.discovery_faults == 0 && !recently_restored && !unreachable);
        let must_know_by = must_know_by
            .map(|since| LIST_KNOWN_AFTER + (*since).max(self.discovery_healthy_since).max(began));
        if let Some(late) =
            must_know_by.and_then(|must_know_by| now.checked_sub(must_know_by)).filter(|late| *late > grace)
        {
            let what = format!(
                "node {node} sent request {id:x} to cache server {server} {late:?} after the change counted as known"
            );
            self.add_violation(now, Rule::Drains, what);
        }
        let Some(node_state) = self.nodes.get_mut(node) else { return };
        if let Some(since) = node_state
            .known_servers
            .get(&server)
            .and_then(|known| known.not_ready_since)
            .filter(|s| now > *s + grace && !recently_restored && !unreachable)
        {
            let late = now - since;
            self.add_violation(
                now,
                Rule::Drains,
                format!(
                    "node {node} sent request {id:x} to cache server {server} {late:?} after it was notified"
                ),
            );
        }
        if server == self.origin {
            self.origin_call(now, node);
        } else if let Some(cold) = self.cold_servers.get_mut(&server) {
            cold.recent_work.push_back((now, node, work));
            let window = Duration::from_millis(self.rules.fall_ms);
            while cold.recent_work.front().is_some_and(|(arrived_at, ..)| *arrived_at + window < now) {
                cold.recent_work.pop_front();
            }
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.last_activity = now;
        let class = request.class;
        let (effect, window, _) = self.classes[class];
        // Servers that a deployment adds may lie anywhere.
        let outside = server < self.initial_servers
            && !self.class_zones[class].is_empty()
            && !self.class_zones[class].contains(&(server % self.zone_count));
        let may_have_run = request
            .attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NotRun)
            .map(|attempt| (attempt.server, attempt.arrived_at));
        let count = request.attempts.len() + 1;
        let incarnation = self.nodes[node].incarnation;
        request.attempts.push(Attempt {
            server,
            arrived_at: now,
            state: AttemptState::Outstanding,
            value: None,
            response_lost: unreachable,
            incarnation,
        });
        if outside {
            self.add_violation(
                now,
                Rule::BoundToZones,
                format!("request {id:x}, restricted to zones, reached cache server {server}"),
            );
        }
        if count > self.rules.max_attempts as usize {
            self.add_violation(now, Rule::NoEffectTwice, format!("request {id:x}: attempt {count}"));
        }
        match (effect, may_have_run) {
            (Effect::SideEffect, Some((first, _))) => {
                self.add_violation(
                    now,
                    Rule::NoEffectTwice,
                    format!("request {id:x} went to {server} though it may have run at {first}"),
                );
            }
            (Effect::Token, Some((first, when))) if now > when + window + SLACK => {
                let late = now - when;
                self.add_violation(
                    now,
                    Rule::NoEffectTwice,
                    format!("request {id:x} went to {server} {late:?} after it may have run at {first}"),
                );
            }
            _ => {}
        }
    }

    pub(super) fn attempt_settled(
        &mut self,
        now: Duration,
        server: ServerIndex,
        node: NodeIndex,
        id: RequestId,
        state: AttemptState,
        response_lost: bool,
    ) {
        // Calls of an earlier incarnation are not in the counters of this one.
        let incarnation = self.nodes[node].incarnation;
        let is_this =
            |attempt: &Attempt| attempt.server == server && attempt.state == AttemptState::Outstanding;
        let same_incarnation = self.requests.get(&id).is_none_or(|request| {
            request.attempts.iter().any(|attempt| is_this(attempt) && attempt.incarnation == incarnation)
        });
        if server == self.origin && same_incarnation {
            let cap = self.call_limit;
            let node_state = &mut self.nodes[node];
            node_state.origin_calls = node_state.origin_calls.saturating_sub(1);
            if f64::from(node_state.origin_calls) <= cap {
                node_state.over_limit_since = None;
            }
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.last_activity = now;
        if let Some(attempt) = request.attempts.iter_mut().find(|attempt| is_this(attempt)) {
            (attempt.state, attempt.response_lost) = (state, attempt.response_lost || response_lost);
        }
    }
}
