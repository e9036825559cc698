//! What a new decider learns of its predecessor's last plan, from members that have acted on it.
//!
//! A decider that knows less than a member that asks it does not answer, but asks back. The member tells what it acts on in a
//! [`Message::Told`](crate::Message::Told) with no time left on the lease, which no member acts on.

use std::collections::BTreeMap;

use crate::{MemberId, Millis, PlanNumber};

/// One member is asked so often at most, then it is answered: it may not know how to tell.
const MOST_QUERIES: u8 = 2;

/// The part of a tenure in which the predecessor's plan is learned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Succession {
    /// When learning ends.
    until: Millis,
    /// The highest number of a plan that this decider knows.
    known: PlanNumber,
    /// Queries by member.
    queries: BTreeMap<MemberId, u8>,
}

impl Succession {
    /// Begins to learn, knowing the plan of a number.
    pub(crate) fn begin(known: Option<PlanNumber>, until: Millis) -> Succession {
        Succession { until, known: known.unwrap_or_default(), queries: BTreeMap::new() }
    }

    /// When learning ends.
    pub(crate) fn until(&self) -> Millis {
        self.until
    }

    /// Whether a member that has acted on a plan of another tenure is to be asked for it now; counts the query.
    pub(crate) fn queries(&mut self, now: Millis, member: MemberId, number: PlanNumber) -> bool {
        if now >= self.until || number <= self.known {
            return false;
        }
        let queries = self.queries.entry(member).or_default();
        *queries += 1;
        *queries <= MOST_QUERIES
    }

    /// Whether a plan of an earlier tenure is newer than all that is known; it is known from now on.
    pub(crate) fn learns(&mut self, now: Millis, number: PlanNumber) -> bool {
        let learns = now < self.until && number > self.known;
        if learns {
            self.known = number;
        }
        learns
    }
}
