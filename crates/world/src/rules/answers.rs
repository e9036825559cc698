//! Rules on the one answer of a request: its time, that it is given at once, and that it is never missing.

use std::time::Duration;

use super::values::made_for;
use super::{Checker, Fate, Rule, SLACK, known_since};
use crate::observe::{Reply, RequestId};
use crate::scenario::Effect;

/// A request that is parked is looked at again within this part of its aim.
const PARKED: f64 = 3.0 / 60.0;
/// The connections of a crowd are gone so long after it.
const CROWD_GOES: Duration = Duration::from_secs(3);

impl Checker {
    /// Whether a connection on which something was asked then may have waited in a crowd before it was accepted.
    pub(super) fn crowded(&self, asked: Duration) -> bool {
        self.crowds > 0 || self.crowd_over.is_some_and(|over| over + CROWD_GOES >= asked)
    }

    pub(super) fn answered(&mut self, now: Duration, id: RequestId, reply: Reply, slow: bool) {
        let crowded = self.requests.get(&id).is_some_and(|r| self.crowded(r.asked));
        let Some(r) = self.requests.get_mut(&id) else { return };
        let twice = std::mem::replace(&mut r.answered, true);
        r.ended.get_or_insert(now);
        let late = now.saturating_sub(r.asked + r.patience);
        let (effect, _, aim) = self.classes[r.class];
        let asked = r.asked;
        let sent = r.attempts.first().map(|a| a.arrived);
        let aim_at = known_since(asked, sent.filter(|_| crowded)) + aim.min(r.patience);
        let still = now.saturating_sub(r.stirred);
        let out = r.attempts.iter().any(|a| a.fate == Fate::Out || a.unheard);
        let may_have_run = r.attempts.iter().any(|a| a.fate != Fate::NotRun);
        let (node, life) = (r.node, r.life);
        let made = match reply {
            Reply::Value(value) => made_for(r, id, value),
            _ => true,
        };
        let (key, versions) = (r.key, r.version);
        let never_sent = r.attempts.is_empty();
        if twice {
            self.broken(now, Rule::OneAnswer, format!("request {id:x} was answered twice"));
        }
        // A process that was stopped meanwhile goes on without knowing it: it had no time to keep.
        let stopped = self.nodes[node].life != life;
        let grace = Duration::from_millis(self.rules.answer_grace_ms);
        if late > grace + SLACK && !stopped {
            self.broken(
                now,
                Rule::OneAnswer,
                format!("request {id:x} was answered {late:?} after its deadline"),
            );
        }
        if !made {
            self.broken(now, Rule::OneAnswer, format!("request {id:x} got a value that was not made for it"));
        }
        if let Reply::Value(value) = reply
            && !self.is_of_key(value, key, versions)
        {
            let what = format!("request {id:x} for key {key:016x} got {value}");
            self.broken(now, Rule::OwnKey, what);
        }
        if matches!(reply, Reply::Busy(_)) && effect == Effect::SideEffect && may_have_run {
            self.broken(
                now,
                Rule::NoEffectTwice,
                format!("request {id:x} was refused though it may have run"),
            );
        }
        // Parked requests are looked at again and again until their aim: what is refused later, or fails with nothing
        // out and not even a look due, was held back.
        // What goes to a box that is cut off is seen by nobody, and waited for all the same.
        let blind = slow || !self.away.is_empty() || self.clear_since + SLACK >= asked;
        let useful = aim_at + aim.mul_f64(PARKED) + SLACK;
        if !matches!(reply, Reply::Value(_))
            && !out
            && !blind
            && !stopped
            && now > useful
            && still > aim.mul_f64(PARKED) + SLACK + self.late_ways
        {
            let sent = if never_sent { "never sent" } else { "nothing out" };
            self.broken(
                now,
                Rule::AtOnce,
                format!("request {id:x}: {sent}, still for {still:?}, and given up only now"),
            );
        }
    }

    /// A value that its server cut has failed; one that the node cuts by itself is lost.
    pub(super) fn cut(&mut self, now: Duration, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let by_server = r
            .attempts
            .iter()
            .any(|a| a.unheard || self.ended.get(&a.at).is_some_and(|end| *end >= a.arrived));
        if by_server {
            r.answered = true;
        } else {
            self.unanswered(now, id, "its value was cut, and by no server");
        }
    }

    pub(super) fn unanswered(&mut self, now: Duration, id: RequestId, what: &str) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.over = true;
        // A node that was killed meanwhile takes with it what it had taken.
        let node = &self.nodes[r.node];
        if r.answered || !node.up || node.life != r.life {
            return;
        }
        let (node, asked) = (r.node, r.asked);
        self.broken(
            now,
            Rule::OneAnswer,
            format!("request {id:x} at node {node}, asked at {asked:?}: {what}"),
        );
    }
}
