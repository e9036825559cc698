//! How a new leader recovers its predecessor's last plan from members that have acted on it.
//!
//! A leader that gets a query from a member that knows a newer plan does not reply, but queries the member. The member
//! sends the plan in a [`Message::Reply`](crate::Message::Reply) with no time left on the lease, which no member acts
//! on.

use std::collections::BTreeMap;

use crate::{MemberId, Millis, PlanNumber};

/// The most queries to one member; then it gets its reply, because it may be unable to answer.
const MAX_QUERIES_PER_MEMBER: u8 = 2;

/// The phase of a term in which the predecessor's plan is recovered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PlanRecovery {
    /// When recovery ends.
    ends: Millis,
    /// The highest plan number that this leader knows.
    known_number: PlanNumber,
    /// Queries sent, by member.
    queries_by_member: BTreeMap<MemberId, u8>,
}

impl PlanRecovery {
    /// Starts recovery, with the number of the plan that is known already.
    pub(crate) fn begin(known_number: Option<PlanNumber>, ends: Millis) -> PlanRecovery {
        PlanRecovery {
            ends,
            known_number: known_number.unwrap_or_default(),
            queries_by_member: BTreeMap::new(),
        }
    }

    /// When recovery ends.
    pub(crate) fn ends(&self) -> Millis {
        self.ends
    }

    /// Whether a member that has acted on a plan of another term should be queried for it now; counts the query.
    pub(crate) fn should_query(&mut self, now: Millis, member: MemberId, number: PlanNumber) -> bool {
        if now >= self.ends || number <= self.known_number {
            return false;
        }
        let queries = self.queries_by_member.entry(member).or_default();
        *queries += 1;
        *queries <= MAX_QUERIES_PER_MEMBER
    }

    /// Whether a plan of an earlier term is newer than any known one; remembers its number if so.
    pub(crate) fn record_if_newer(&mut self, now: Millis, number: PlanNumber) -> bool {
        let newer = now < self.ends && number > self.known_number;
        if newer {
            self.known_number = number;
        }
        newer
    }
}
