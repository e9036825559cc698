//! Grants leases from a budget, for the root or an aggregator.

use std::collections::BTreeMap;

use crate::message::{Fence, Message, Refusal, RequestId};
use crate::{HolderId, Incarnation, Millis, Mutant, Permits, Timing};

/// Bound of the table of holders: several times the processes of a site or the sites of a region.
pub const MAX_HOLDERS: usize = 1_024;
/// A lease shorter than the regular duration divided by this is not worth a message.
const MIN_LEASE_DIVISOR: Millis = 8;
/// After this many lease durations in a row a holder yields to others, if some wait.
const MAX_CONSECUTIVE_LEASES: Millis = 4;

/// A part of the budget that counts as used until it expires.
#[derive(Clone, Copy, Debug, Default)]
struct Reservation {
    permits: Permits,
    expires_at: Millis,
}

/// State of one incarnation of a holder.
#[derive(Clone, Copy, Debug)]
struct HolderEntry {
    /// Sequence number of the last request that was accepted.
    sequence: u32,
    last_request_at: Millis,
    /// Since when it has held leases without a gap.
    holds_since: Millis,
    /// It has had its share: holders that wait come first until then.
    yields_until: Millis,
    wanted: Permits,
    /// What it may still use of earlier grants.
    carried_over: Reservation,
    /// The latest grant.
    granted: Reservation,
}

/// Divides a budget into leases. The leases that have not ended never add up to more than the budget was when
/// they were granted.
#[derive(Clone, Debug)]
pub struct Grantor {
    timing: Timing,
    budget: Permits,
    entries: BTreeMap<(HolderId, Incarnation), HolderEntry>,
    max_holders: usize,
    mutant: Option<Mutant>,
}

impl Grantor {
    /// Creates a grantor that has granted nothing.
    pub fn new(timing: Timing, budget: Permits) -> Grantor {
        Grantor { timing, budget, entries: BTreeMap::new(), max_holders: MAX_HOLDERS, mutant: None }
    }

    /// Limits the table of holders to a smaller size.
    pub fn with_max_holders(self, max_holders: usize) -> Grantor {
        Grantor { max_holders, ..self }
    }

    /// Leaves out one check, for tests.
    pub fn with_mutant(self, mutant: Option<Mutant>) -> Grantor {
        Grantor { mutant, ..self }
    }

    /// Changes the budget for future grants. Existing grants stay valid.
    pub fn set_budget(&mut self, budget: Permits) {
        self.budget = budget;
    }

    /// Number of known holders.
    pub fn holder_count(&self) -> usize {
        self.entries.len()
    }

    /// What counts as used now.
    pub fn reserved(&self, now: Millis) -> Permits {
        self.entries.values().fold(Permits::NONE, |sum, entry| sum.plus(self.reserved_by(entry, now)))
    }

    /// What all holders together could use.
    pub fn wanted(&self) -> Permits {
        self.entries.values().fold(Permits::NONE, |sum, entry| sum.plus(entry.wanted))
    }

    fn reserved_by(&self, entry: &HolderEntry, now: Millis) -> Permits {
        self.unexpired(entry.carried_over, now).max(self.unexpired(entry.granted, now))
    }

    /// What still counts of a reservation. Its calls were begun before it expired, but possibly just before,
    /// so they count for another window.
    fn unexpired(&self, reservation: Reservation, now: Millis) -> Permits {
        let window_extension = match self.mutant {
            Some(Mutant::FreesCallsImmediately) => 0,
            _ => self.timing.certainly_elapsed(self.timing.window),
        };
        Permits {
            outstanding: if now < reservation.expires_at { reservation.permits.outstanding } else { 0 },
            calls: if now < reservation.expires_at + window_extension {
                reservation.permits.calls
            } else {
                0
            },
        }
    }

    /// Handles a request. The lease carries `fence` and lasts at most `max_duration`, the time for which the
    /// grantor itself may grant. Returns `None` for a request that is not newer than one already received.
    pub fn handle_request(
        &mut self,
        now: Millis,
        from: RequestId,
        (retained, wanted): (Permits, Permits),
        (fence, max_duration): (Fence, Millis),
    ) -> Option<Message> {
        self.remove_idle_holders(now);
        let refuse = |reason, retry_after| Some(Message::Refused { to: from, reason, retry_after });
        let key = (from.holder, from.incarnation);
        if !self.record_usage(now, from, retained)? {
            return refuse(Refusal::TableFull, self.timing.lease_duration);
        }
        self.entries.entry(key).and_modify(|entry| entry.wanted = wanted);
        let duration = max_duration.min(self.timing.lease_duration);
        if duration < self.timing.lease_duration / MIN_LEASE_DIVISOR {
            return refuse(Refusal::NoAuthority, self.timing.min_retry);
        }
        if let Some(yields_until) = self.must_yield_until(key, now) {
            return refuse(Refusal::Yield, yields_until - now);
        }
        let permits = wanted.min(self.available(key, now)).min(self.fair_share(wanted));
        if permits.allows_no_call() {
            return refuse(Refusal::Exhausted, self.time_to_next_expiry(now));
        }
        let entry = self.entries.get_mut(&key)?;
        entry.granted = Reservation { permits, expires_at: now + duration };
        if self.mutant == Some(Mutant::ShrinksImmediately) {
            entry.carried_over = Reservation::default();
        }
        Some(Message::Grant { to: from, fence, permits, duration })
    }

    /// Handles a release: the holder gives back all but `retained`.
    pub fn handle_release(&mut self, now: Millis, from: RequestId, retained: Permits) {
        self.remove_idle_holders(now);
        if self.entries.contains_key(&(from.holder, from.incarnation))
            && self.record_usage(now, from, retained).is_some()
        {
            self.entries.entry((from.holder, from.incarnation)).and_modify(|entry| entry.wanted = retained);
        }
    }

    /// Records what a holder retains. `None` if a newer request has been received; `false` if the table is
    /// full.
    fn record_usage(&mut self, now: Millis, from: RequestId, retained: Permits) -> Option<bool> {
        let key = (from.holder, from.incarnation);
        if self.mutant == Some(Mutant::ForgetsPreviousIncarnation) {
            self.entries.retain(|known, _| known.0 != from.holder || *known == key);
        }
        let Some(entry) = self.entries.get(&key).copied() else {
            if self.entries.len() >= self.max_holders && !self.evict_idle_holder(now) {
                return Some(false);
            }
            let (carried_over, granted) = (Reservation::default(), Reservation::default());
            let sequence = from.sequence;
            let wanted = Permits::NONE;
            let yields_until = 0;
            let entry = HolderEntry {
                sequence,
                last_request_at: now,
                holds_since: now,
                yields_until,
                wanted,
                carried_over,
                granted,
            };
            self.entries.insert(key, entry);
            return Some(true);
        };
        if from.sequence <= entry.sequence && self.mutant != Some(Mutant::AcceptsStaleRequest) {
            return None;
        }
        let reserved = self.reserved_by(&entry, now);
        let expires_at = entry.carried_over.expires_at.max(entry.granted.expires_at);
        // From now on the holder accepts no grant for an earlier request, so `retained` is all that is left
        // of them.
        let carried_over = Reservation { permits: retained.min(reserved), expires_at };
        let holds_since = if reserved == Permits::NONE { now } else { entry.holds_since };
        let updated = HolderEntry {
            sequence: from.sequence,
            last_request_at: now,
            holds_since,
            carried_over,
            granted: Reservation::default(),
            ..entry
        };
        self.entries.insert(key, updated);
        Some(true)
    }

    /// Removes holders that neither hold anything nor have sent a request within one lease duration.
    pub(crate) fn remove_idle_holders(&mut self, now: Millis) {
        let duration = self.timing.lease_duration;
        let mut entries = std::mem::take(&mut self.entries);
        entries.retain(|_, entry| {
            now < entry.last_request_at + duration || self.reserved_by(entry, now) != Permits::NONE
        });
        self.entries = entries;
    }

    /// Removes the holder without a reservation whose last request is the oldest.
    fn evict_idle_holder(&mut self, now: Millis) -> bool {
        let empty = self.entries.iter().filter(|(_, entry)| self.reserved_by(entry, now) == Permits::NONE);
        let oldest = empty.min_by_key(|(_, entry)| entry.last_request_at).map(|(key, _)| *key);
        oldest.is_some_and(|key| self.entries.remove(&key).is_some())
    }

    /// What is left beside all other holders. What the holder itself retains is not counted in addition to
    /// its new grant.
    fn available(&self, key: (HolderId, Incarnation), now: Millis) -> Permits {
        if self.mutant == Some(Mutant::IgnoresOtherLeases) {
            return self.budget;
        }
        let own = self.entries.get(&key).map_or(Permits::NONE, |entry| self.reserved_by(entry, now));
        self.budget.minus(self.reserved(now).minus(own))
    }

    /// A holder's share of the budget, proportional to its demand; at least one of each limit.
    fn fair_share(&self, wanted: Permits) -> Permits {
        let all = self.wanted();
        let proportion = |budget: u32, wanted: u32, all: u32| {
            let proportion = u64::from(budget) * u64::from(wanted) / u64::from(all.max(1));
            proportion.clamp(1, u64::from(u32::MAX)) as u32
        };
        Permits {
            outstanding: proportion(self.budget.outstanding, wanted.outstanding, all.outstanding),
            calls: proportion(self.budget.calls, wanted.calls, all.calls),
        }
    }

    /// Whether the budget is too small to give each holder that wants permits at least one of each.
    fn is_oversubscribed(&self) -> bool {
        let demanding = self.entries.values().filter(|entry| !entry.wanted.allows_no_call()).count();
        (self.budget.outstanding.min(self.budget.calls) as usize) < demanding
    }

    fn another_holder_waits(&self, key: (HolderId, Incarnation), now: Millis) -> bool {
        self.entries.iter().any(|(other, entry)| {
            *other != key && !entry.wanted.allows_no_call() && self.reserved_by(entry, now).allows_no_call()
        })
    }

    /// Until when a holder must leave the budget to others that wait, because it has held its share for long
    /// and there is not enough for all.
    fn must_yield_until(&mut self, key: (HolderId, Incarnation), now: Millis) -> Option<Millis> {
        if !self.is_oversubscribed() || !self.another_holder_waits(key, now) {
            return None;
        }
        let duration = self.timing.lease_duration;
        let entry = self.entries.get_mut(&key)?;
        if now >= entry.yields_until && now >= entry.holds_since + MAX_CONSECUTIVE_LEASES * duration {
            entry.yields_until = now + duration;
        }
        (now < entry.yields_until).then_some(entry.yields_until)
    }

    /// Time until the next lease ends, when others may get some of it.
    fn time_to_next_expiry(&self, now: Millis) -> Millis {
        let ends =
            self.entries.values().flat_map(|entry| [entry.carried_over.expires_at, entry.granted.expires_at]);
        let next = ends.filter(|end| *end > now).min().unwrap_or(now);
        (next - now).clamp(self.timing.min_retry, self.timing.lease_duration)
    }
}
