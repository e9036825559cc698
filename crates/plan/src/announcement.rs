//! What others know of a decider's plans before it gives a zone up.
//!
//! Whoever decides next learns from them which zone that is, and gives up no other one beside it.

use std::collections::BTreeMap;

use crate::Millis;

/// By what others know that a zone is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Announced {
    /// It is not, or they don't.
    No,
    /// By the plan of a sequence number.
    With(u32),
    /// By the predecessor's plan, of which they have told themselves.
    Earlier,
}

/// What others know.
#[derive(Clone, Debug)]
pub(crate) struct Announcement {
    /// Until then the predecessor's plan is learned, and nothing is chosen.
    learns_until: Millis,
    /// By node, the sequence number of the last plan that it is known to have acted on.
    follows: BTreeMap<u16, u32>,
}

impl Announcement {
    /// Of a decider that has told nothing, and learns until a time.
    pub(crate) fn new(learns_until: Millis) -> Announcement {
        Announcement { learns_until, follows: BTreeMap::new() }
    }

    /// Whether the predecessor's plan is known as far as it will be.
    pub(crate) fn may_choose(&self, now: Millis) -> bool {
        now >= self.learns_until
    }

    /// A node has acted on a plan.
    pub(crate) fn follows(&mut self, node: u16, sequence: u32) {
        let known = self.follows.entry(node).or_default();
        *known = sequence.max(*known);
    }

    /// Whether more than half of these nodes have acted on the plan that tells of a suspicion, or on a later one.
    pub(crate) fn is_known<'a>(&self, announced: Announced, nodes: impl Iterator<Item = &'a u16>) -> bool {
        let sequence = match announced {
            Announced::No => return false,
            Announced::Earlier => return true,
            Announced::With(sequence) => sequence,
        };
        let (mut all, mut known) = (0, 0);
        for node in nodes {
            all += 1;
            known += usize::from(self.follows.get(node).is_some_and(|last| *last >= sequence));
        }
        2 * known > all
    }
}
