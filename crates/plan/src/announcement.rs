//! What other nodes know of a leader's plans before it gives a zone up.
//!
//! The next leader learns from them which zone that is, and gives up no other zone beside it.

use std::collections::BTreeMap;

use crate::Millis;

/// How other nodes know that a zone is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Announced {
    /// The zone is not suspected, or they don't know.
    No,
    /// From the plan with this sequence number.
    InPlan(u32),
    /// From the predecessor's plan, which they have reported themselves.
    ByPredecessor,
}

/// What other nodes know.
#[derive(Clone, Debug)]
pub(crate) struct Announcement {
    /// Until then the predecessor's plan is recovered, and nothing is chosen.
    recovery_ends: Millis,
    /// By node, the sequence number of the last plan that it is known to have acted on.
    applied: BTreeMap<u16, u32>,
}

impl Announcement {
    /// For a leader that has sent no plan yet, and recovers its predecessor's until a time.
    pub(crate) fn new(recovery_ends: Millis) -> Announcement {
        Announcement { recovery_ends, applied: BTreeMap::new() }
    }

    /// Whether recovery of the predecessor's plan is over.
    pub(crate) fn recovery_is_over(&self, now: Millis) -> bool {
        now >= self.recovery_ends
    }

    /// A node has acted on a plan.
    pub(crate) fn plan_applied(&mut self, node: u16, sequence: u32) {
        let known = self.applied.entry(node).or_default();
        *known = sequence.max(*known);
    }

    /// Whether more than half of these nodes have acted on the plan that announces a suspicion, or on a later one.
    pub(crate) fn is_known<'a>(&self, announced: Announced, nodes: impl Iterator<Item = &'a u16>) -> bool {
        let sequence = match announced {
            Announced::No => return false,
            Announced::ByPredecessor => return true,
            Announced::InPlan(sequence) => sequence,
        };
        let (mut node_count, mut knowing) = (0, 0);
        for node in nodes {
            node_count += 1;
            knowing += usize::from(self.applied.get(node).is_some_and(|last| *last >= sequence));
        }
        2 * knowing > node_count
    }
}
