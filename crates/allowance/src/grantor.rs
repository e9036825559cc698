//! One that grants leases from a budget: the root, or an aggregator.

use std::collections::BTreeMap;

use crate::message::{Asker, Fence, Message, Refusal};
use crate::{HolderId, Life, Millis, Mutant, Permits, Timing};

/// So many holders are known at most: a site's processes, or a region's sites, several times over.
pub const MOST_HOLDERS: usize = 1_024;
/// A lease with less than this part of the usual length left to give is not worth a message.
const SHORTEST_PART: Millis = 8;
/// After so many lengths in a row a holder must let others have their turn, if some wait.
const LENGTHS_IN_A_ROW: Millis = 4;

/// A part of the budget that counts as used until a time.
#[derive(Clone, Copy, Debug, Default)]
struct Claim {
    permits: Permits,
    expires: Millis,
}

/// What is known of one life of a holder.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Of the last of its messages that counted.
    sequence: u32,
    asked: Millis,
    /// Since when it has had leases without a gap.
    holds_since: Millis,
    /// It has had its turn: others that wait come first until then.
    rests_until: Millis,
    wanted: Permits,
    /// What it may still use of earlier grants.
    kept: Claim,
    /// What it was granted last.
    granted: Claim,
}

/// Divides a budget into leases, of which those that have not ended never sum up to more than the budget was when they were granted.
#[derive(Clone, Debug)]
pub struct Grantor {
    timing: Timing,
    budget: Permits,
    entries: BTreeMap<(HolderId, Life), Entry>,
    most_holders: usize,
    mutant: Option<Mutant>,
}

impl Grantor {
    /// One that has granted nothing.
    pub fn new(timing: Timing, budget: Permits) -> Grantor {
        Grantor { timing, budget, entries: BTreeMap::new(), most_holders: MOST_HOLDERS, mutant: None }
    }

    /// The same with a smaller table.
    pub fn with_most_holders(self, most_holders: usize) -> Grantor {
        Grantor { most_holders, ..self }
    }

    /// The same with a guard left out: for tests.
    pub fn with_mutant(self, mutant: Option<Mutant>) -> Grantor {
        Grantor { mutant, ..self }
    }

    /// What may be granted in all from now on. What has been granted stays granted.
    pub fn set_budget(&mut self, budget: Permits) {
        self.budget = budget;
    }

    /// How many holders are known.
    pub fn holders(&self) -> usize {
        self.entries.len()
    }

    /// What counts as used at a time.
    pub fn counted(&self, now: Millis) -> Permits {
        self.entries.values().fold(Permits::NONE, |sum, entry| sum.plus(self.counted_of(entry, now)))
    }

    /// What all holders together could use.
    pub fn wanted(&self) -> Permits {
        self.entries.values().fold(Permits::NONE, |sum, entry| sum.plus(entry.wanted))
    }

    fn counted_of(&self, entry: &Entry, now: Millis) -> Permits {
        self.unexpired(entry.kept, now).max(self.unexpired(entry.granted, now))
    }

    /// What a claim counts for: its calls were begun before it ended, but perhaps just before.
    fn unexpired(&self, claim: Claim, now: Millis) -> Permits {
        let lingers = match self.mutant {
            Some(Mutant::ReturnsCallsAtOnce) => 0,
            _ => self.timing.surely_passed(self.timing.window),
        };
        Permits {
            outstanding: if now < claim.expires { claim.permits.outstanding } else { 0 },
            calls: if now < claim.expires + lingers { claim.permits.calls } else { 0 },
        }
    }

    /// A holder asks. The lease goes back to a fence and lasts no longer than a span, for which the grantor may grant. `None` for a question
    /// that is not newer than one that was heard.
    pub fn ask(
        &mut self,
        now: Millis,
        from: Asker,
        (keeps, wanted): (Permits, Permits),
        (fence, longest): (Fence, Millis),
    ) -> Option<Message> {
        self.forget(now);
        let refuse = |why, retry_after| Some(Message::Refused { to: from, why, retry_after });
        let key = (from.holder, from.life);
        if !self.hear(now, from, keeps)? {
            return refuse(Refusal::Full, self.timing.length);
        }
        self.entries.entry(key).and_modify(|entry| entry.wanted = wanted);
        let length = longest.min(self.timing.length);
        if length < self.timing.length / SHORTEST_PART {
            return refuse(Refusal::NoGrantor, self.timing.retry);
        }
        if let Some(rests_until) = self.gives_way(key, now) {
            return refuse(Refusal::Waiting, rests_until - now);
        }
        let permits = wanted.min(self.free(key, now)).min(self.share(wanted));
        if permits.is_useless() {
            return refuse(Refusal::Spent, self.next_end(now));
        }
        let entry = self.entries.get_mut(&key)?;
        entry.granted = Claim { permits, expires: now + length };
        if self.mutant == Some(Mutant::ShrinksAtOnce) {
            entry.kept = Claim::default();
        }
        Some(Message::Grant { to: from, fence, permits, length })
    }

    /// A holder gives back all but what it keeps.
    pub fn give_back(&mut self, now: Millis, from: Asker, keeps: Permits) {
        self.forget(now);
        if self.entries.contains_key(&(from.holder, from.life)) && self.hear(now, from, keeps).is_some() {
            self.entries.entry((from.holder, from.life)).and_modify(|entry| entry.wanted = keeps);
        }
    }

    /// Takes note of what a holder keeps. `None` if it has been heard since; `false` if there is no place for it.
    fn hear(&mut self, now: Millis, from: Asker, keeps: Permits) -> Option<bool> {
        let key = (from.holder, from.life);
        if self.mutant == Some(Mutant::ForgetsFormerLife) {
            self.entries.retain(|known, _| known.0 != from.holder || *known == key);
        }
        let Some(entry) = self.entries.get(&key).copied() else {
            if self.entries.len() >= self.most_holders && !self.make_place(now) {
                return Some(false);
            }
            let (kept, granted) = (Claim::default(), Claim::default());
            let sequence = from.sequence;
            let wanted = Permits::NONE;
            let rests_until = 0;
            let entry = Entry { sequence, asked: now, holds_since: now, rests_until, wanted, kept, granted };
            self.entries.insert(key, entry);
            return Some(true);
        };
        if from.sequence <= entry.sequence && self.mutant != Some(Mutant::GoesByOldMessage) {
            return None;
        }
        let counted = self.counted_of(&entry, now);
        let expires = entry.kept.expires.max(entry.granted.expires);
        // From here on it takes no grant for an earlier question: what it keeps is all that is left of them.
        let kept = Claim { permits: keeps.min(counted), expires };
        let holds_since = if counted == Permits::NONE { now } else { entry.holds_since };
        let heard = Entry {
            sequence: from.sequence,
            asked: now,
            holds_since,
            kept,
            granted: Claim::default(),
            ..entry
        };
        self.entries.insert(key, heard);
        Some(true)
    }

    /// Drops whoever neither holds anything nor has asked lately.
    pub(crate) fn forget(&mut self, now: Millis) {
        let length = self.timing.length;
        let mut entries = std::mem::take(&mut self.entries);
        entries.retain(|_, entry| now < entry.asked + length || self.counted_of(entry, now) != Permits::NONE);
        self.entries = entries;
    }

    /// Drops the one of those that hold nothing that asked first.
    fn make_place(&mut self, now: Millis) -> bool {
        let empty = self.entries.iter().filter(|(_, entry)| self.counted_of(entry, now) == Permits::NONE);
        let first = empty.min_by_key(|(_, entry)| entry.asked).map(|(key, _)| *key);
        first.is_some_and(|key| self.entries.remove(&key).is_some())
    }

    /// What is left beside all others. What the holder itself keeps counts once, with what it is granted.
    fn free(&self, key: (HolderId, Life), now: Millis) -> Permits {
        if self.mutant == Some(Mutant::GrantsOver) {
            return self.budget;
        }
        let own = self.entries.get(&key).map_or(Permits::NONE, |entry| self.counted_of(entry, now));
        self.budget.less(self.counted(now).less(own))
    }

    /// A holder's part of the budget by what each wants; one of each where that is less.
    fn share(&self, wanted: Permits) -> Permits {
        let all = self.wanted();
        let part = |budget: u32, wanted: u32, all: u32| {
            let part = u64::from(budget) * u64::from(wanted) / u64::from(all.max(1));
            part.clamp(1, u64::from(u32::MAX)) as u32
        };
        Permits {
            outstanding: part(self.budget.outstanding, wanted.outstanding, all.outstanding),
            calls: part(self.budget.calls, wanted.calls, all.calls),
        }
    }

    /// Whether not even one of each limit is there for each holder that wants some.
    fn is_crowded(&self) -> bool {
        let wanting = self.entries.values().filter(|entry| !entry.wanted.is_useless()).count();
        (self.budget.outstanding.min(self.budget.calls) as usize) < wanting
    }

    fn somebody_waits(&self, key: (HolderId, Life), now: Millis) -> bool {
        self.entries.iter().any(|(other, entry)| {
            *other != key && !entry.wanted.is_useless() && self.counted_of(entry, now).is_useless()
        })
    }

    /// Until when a holder must leave the budget to others that wait: it has had its part for long, where there is not enough for all.
    fn gives_way(&mut self, key: (HolderId, Life), now: Millis) -> Option<Millis> {
        if !self.is_crowded() || !self.somebody_waits(key, now) {
            return None;
        }
        let length = self.timing.length;
        let entry = self.entries.get_mut(&key)?;
        if now >= entry.rests_until && now >= entry.holds_since + LENGTHS_IN_A_ROW * length {
            entry.rests_until = now + length;
        }
        (now < entry.rests_until).then_some(entry.rests_until)
    }

    /// When the next lease ends, at which others may have some of it.
    fn next_end(&self, now: Millis) -> Millis {
        let ends = self.entries.values().flat_map(|entry| [entry.kept.expires, entry.granted.expires]);
        let next = ends.filter(|end| *end > now).min().unwrap_or(now);
        (next - now).clamp(self.timing.retry, self.timing.length)
    }
}
