//! Rules on attempts: where and when they go, what they tell, how often a request runs.

use std::time::Duration;

use super::{Attempt, Checker, Fate, Rule, SLACK, known_since};
use crate::observe::{NodeIndex, RequestId, ServerIndex};
use crate::scenario::Effect;

/// What discovery has counts as told so long after it could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// After its end no attempt of a request begins later than this.
const OVER: Duration = Duration::from_millis(100);
/// By so much more than is left to its client an attempt may tell, beside the ways on which its words were under way: the
/// slack of the protocol.
const TELLS_OVER: Duration = Duration::from_millis(50);

impl Checker {
    /// Judges what an attempt that came then tells of the time that is left.
    pub(super) fn tells(
        &mut self,
        now: Duration,
        came: Duration,
        at: ServerIndex,
        id: RequestId,
        until: Duration,
    ) {
        // What was written to a cache server that could not be reached comes when it can.
        let mended = self.mended.get(&at).is_some_and(|m| now < *m + SLACK);
        if mended || self.away.contains_key(&at) {
            return;
        }
        let (Some(r), Some(ways)) = (self.requests.get(&id), self.ways) else { return };
        let sent = r.attempts.first().map_or(now, |a| a.arrived);
        let known = known_since(r.asked, Some(sent).filter(|_| self.crowded(r.asked)));
        // Of a request that its client sent once more: written for it before the end of its first connection was seen.
        let under_way_then = r.said_before.filter(|_| came <= r.asked + ways / 2);
        let left_until = under_way_then.map_or(known + r.patience, |said| said.max(known + r.patience));
        let over = until.saturating_sub(left_until);
        if over > TELLS_OVER + ways {
            let count = r.attempts.len() + 1;
            let what = format!("request {id:x}, attempt {count} at {at}: told {over:?} more than is left");
            self.broken(now, Rule::TimeLeft, what);
        }
    }

    /// Judges whether an attempt that came then was written for a request that was over. Its server may read it later, behind an
    /// answer that is taken slowly: what has been written whole can't be taken back.
    pub(super) fn sent_on(&mut self, came: Duration, now: Duration, at: ServerIndex, id: RequestId) {
        // What was written to a cache server that could not be reached comes when it can.
        let mended = self.mended.get(&at).is_some_and(|m| now < *m + SLACK);
        let ended = self.requests.get(&id).and_then(|r| r.ended);
        let late = ended.map(|end| came.saturating_sub(end));
        let most = OVER + SLACK + self.late_ways;
        if let Some(late) = late.filter(|late| *late > most && !mended && !self.away.contains_key(&at)) {
            let what = format!("request {id:x} was sent on {late:?} after it was over");
            self.broken(now, Rule::Over, what);
        }
    }

    pub(super) fn arrived(
        &mut self,
        now: Duration,
        at: ServerIndex,
        node: NodeIndex,
        id: RequestId,
        work: f64,
    ) {
        let grace = Duration::from_millis(self.rules.drain_grace_ms) + SLACK;
        let away = self.away.contains_key(&at);
        let mended = self.mended.get(&at).is_some_and(|m| now < *m + SLACK);
        let Some(began) = self.nodes.get(node).map(|n| n.began) else { return };
        // A process that has just begun has the same time as one that could not reach discovery.
        let counts = self.unlisted.get(&at).filter(|_| self.hindered == 0 && !mended && !away);
        let counts = counts.map(|since| TOLD + (*since).max(self.sound_since).max(began));
        if let Some(late) = counts.and_then(|counts| now.checked_sub(counts)).filter(|late| *late > grace) {
            let what =
                format!("node {node} sent request {id:x} to box {at} {late:?} after that counts as told");
            self.broken(now, Rule::Drains, what);
        }
        let Some(n) = self.nodes.get_mut(node) else { return };
        if let Some(since) =
            n.told.get(&at).and_then(|t| t.unready).filter(|s| now > *s + grace && !mended && !away)
        {
            let late = now - since;
            self.broken(
                now,
                Rule::Drains,
                format!("node {node} sent request {id:x} to box {at} {late:?} after it was told"),
            );
        }
        if at == self.origin {
            self.origin_call(now, node);
        } else if let Some(cold) = self.cold.get_mut(&at) {
            cold.arrived.push_back((now, node, work));
            let span = Duration::from_millis(self.rules.fall_ms);
            while cold.arrived.front().is_some_and(|(t, ..)| *t + span < now) {
                cold.arrived.pop_front();
            }
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.stirred = now;
        let class = r.class;
        let (effect, window, _) = self.classes[class];
        // Those that a deployment adds may lie anywhere.
        let outside = at < self.boxes
            && !self.bound[class].is_empty()
            && !self.bound[class].contains(&(at % self.zones));
        let ran = r.attempts.iter().find(|a| a.fate != Fate::NotRun).map(|a| (a.at, a.arrived));
        let count = r.attempts.len() + 1;
        let life = self.nodes[node].life;
        r.attempts.push(Attempt { at, arrived: now, fate: Fate::Out, gave: None, unheard: away, life });
        if outside {
            self.broken(now, Rule::BoundToZones, format!("request {id:x}, bound to zones, reached box {at}"));
        }
        if count > self.rules.max_attempts as usize {
            self.broken(now, Rule::NoEffectTwice, format!("request {id:x}: attempt {count}"));
        }
        match (effect, ran) {
            (Effect::SideEffect, Some((first, _))) => {
                self.broken(
                    now,
                    Rule::NoEffectTwice,
                    format!("request {id:x} went to {at} though it may have run at {first}"),
                );
            }
            (Effect::Token, Some((first, when))) if now > when + window + SLACK => {
                let late = now - when;
                self.broken(
                    now,
                    Rule::NoEffectTwice,
                    format!("request {id:x} went to {at} {late:?} after it may have run at {first}"),
                );
            }
            _ => {}
        }
    }

    pub(super) fn settle(
        &mut self,
        now: Duration,
        at: ServerIndex,
        node: NodeIndex,
        id: RequestId,
        fate: Fate,
        unheard: bool,
    ) {
        // Calls that arrived in an earlier life of a node went with its counters.
        let life = self.nodes[node].life;
        let is_it = |a: &Attempt| a.at == at && a.fate == Fate::Out;
        let same =
            self.requests.get(&id).is_none_or(|r| r.attempts.iter().any(|a| is_it(a) && a.life == life));
        if at == self.origin && same {
            let cap = self.cap;
            let n = &mut self.nodes[node];
            n.out = n.out.saturating_sub(1);
            if f64::from(n.out) <= cap {
                n.over_since = None;
            }
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.stirred = now;
        if let Some(a) = r.attempts.iter_mut().find(|a| is_it(a)) {
            (a.fate, a.unheard) = (fate, a.unheard || unheard);
        }
    }
}
