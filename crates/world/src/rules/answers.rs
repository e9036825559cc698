//! Rules on the reply to a request: that there is one, in time, and without needless delay.

use std::time::Duration;

use super::values::made_for;
use super::{AttemptState, Checker, Rule, SLACK, earliest_known};
use crate::observe::{Reply, RequestId};
use crate::scenario::Effect;

/// A pending request is reconsidered at least once in this share of its latency target.
const RECHECK_SHARE: f64 = 3.0 / 60.0;
/// Connections of a wave of unfinished ones are closed this long after its end.
const PRESSURE_AFTERMATH: Duration = Duration::from_secs(3);

impl Checker {
    /// Whether the connection of a request sent at `sent_at` may have waited under connection pressure before
    /// it was accepted.
    pub(super) fn under_pressure(&self, sent_at: Duration) -> bool {
        self.pressure_waves > 0
            || self.pressure_ended_at.is_some_and(|over| over + PRESSURE_AFTERMATH >= sent_at)
    }

    pub(super) fn reply_received(&mut self, now: Duration, id: RequestId, reply: Reply, slow_reader: bool) {
        let under_pressure =
            self.requests.get(&id).is_some_and(|request| self.under_pressure(request.sent_at));
        let Some(request) = self.requests.get_mut(&id) else { return };
        let twice = std::mem::replace(&mut request.answered, true);
        request.ended_at.get_or_insert(now);
        let late = now.saturating_sub(request.sent_at + request.time_out);
        let (effect, _, target_latency) = self.classes[request.class];
        let asked = request.sent_at;
        let sent = request.attempts.first().map(|attempt| attempt.arrived_at);
        let target_at =
            earliest_known(asked, sent.filter(|_| under_pressure)) + target_latency.min(request.time_out);
        let idle_for = now.saturating_sub(request.last_activity);
        let outstanding = request
            .attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::Outstanding || attempt.response_lost);
        let may_have_run = request.attempts.iter().any(|attempt| attempt.state != AttemptState::NotRun);
        let (node, incarnation) = (request.node, request.incarnation);
        let made_for_request = match reply {
            Reply::Value(value) => made_for(request, id, value),
            _ => true,
        };
        let (key, versions) = (request.key, request.version);
        let never_sent = request.attempts.is_empty();
        if twice {
            self.add_violation(now, Rule::OneAnswer, format!("request {id:x} was answered twice"));
        }
        // A process that was stopped meanwhile goes on without knowing it, so its deadline could not be kept.
        let stopped = self.nodes[node].incarnation != incarnation;
        let grace = Duration::from_millis(self.rules.answer_grace_ms);
        if late > grace + SLACK && !stopped {
            self.add_violation(
                now,
                Rule::OneAnswer,
                format!("request {id:x} was answered {late:?} after its deadline"),
            );
        }
        if !made_for_request {
            self.add_violation(
                now,
                Rule::OneAnswer,
                format!("request {id:x} got a value that was not made for it"),
            );
        }
        if let Reply::Value(value) = reply
            && !self.belongs_to_key(value, key, versions)
        {
            let what = format!("request {id:x} for key {key:016x} got {value}");
            self.add_violation(now, Rule::OwnKey, what);
        }
        if matches!(reply, Reply::Busy(_)) && effect == Effect::SideEffect && may_have_run {
            self.add_violation(
                now,
                Rule::NoEffectTwice,
                format!("request {id:x} was refused though it may have run"),
            );
        }
        // Pending requests are reconsidered until their latency target. A request that is refused after that,
        // or fails with nothing outstandingstanding and no reconsideration due, was held back.
        //
        // What goes to an unreachable cache server is not observed, yet the node waits for it.
        let unobserved =
            slow_reader || !self.unreachable.is_empty() || self.all_reachable_since + SLACK >= asked;
        let pending_until = target_at + target_latency.mul_f64(RECHECK_SHARE) + SLACK;
        if !matches!(reply, Reply::Value(_))
            && !outstanding
            && !unobserved
            && !stopped
            && now > pending_until
            && idle_for > target_latency.mul_f64(RECHECK_SHARE) + SLACK + self.extra_server_delay
        {
            let sent = if never_sent { "never sent" } else { "nothing outstanding" };
            self.add_violation(
                now,
                Rule::AtOnce,
                format!("request {id:x}: {sent}, idle for {idle_for:?}, given up too late"),
            );
        }
    }

    /// A value that its cache server truncates counts as failed; one that the node truncates by itself counts
    /// as lost.
    pub(super) fn reply_truncated(&mut self, now: Duration, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let server_ended = request.attempts.iter().any(|attempt| {
            attempt.response_lost
                || self.server_ended_at.get(&attempt.server).is_some_and(|end| *end >= attempt.arrived_at)
        });
        if server_ended {
            request.answered = true;
        } else {
            self.request_unanswered(now, id, "its value was truncated, and by no server");
        }
    }

    pub(super) fn request_unanswered(&mut self, now: Duration, id: RequestId, what: &str) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.closed = true;
        // The pending requests of a killed node end with it.
        let node = &self.nodes[request.node];
        if request.answered || !node.up || node.incarnation != request.incarnation {
            return;
        }
        let (node, sent_at) = (request.node, request.sent_at);
        self.add_violation(
            now,
            Rule::OneAnswer,
            format!("request {id:x} at node {node}, sent at {sent_at:?}: {what}"),
        );
    }
}
