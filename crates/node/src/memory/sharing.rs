//! The memory of a node that two of its processes share: what both may hold together stays within its limit.
//!
//! The predecessor brings what it holds down to half of the memory, as requests end, and says what it may hold at most by
//! then. The successor holds no more than the rest.

use std::rc::Rc;

use super::{MemoryBudget, OtherProcess, PERMIT_BYTES, RESERVED_SHARES, SHARES};

/// Shares that a process may reserve from even if the other one holds nearly all: they come out of what is left to the
/// allocator.
const MIN_SHARES: usize = 1;
/// Shares left to what a second process holds beside its reservations, such as connections and the state of the decision
/// module.
const SECOND_PROCESS_SHARES: usize = 2;

/// The share of one process in the memory of its node, beside another process; it is the whole node again once this is
/// dropped.
pub struct SharedMemory {
    pub(super) budget: Rc<MemoryBudget>,
    pub(super) other: OtherProcess,
}

impl SharedMemory {
    /// Limits this process to half of the memory.
    pub fn limit_to_half(&self) {
        self.budget.set_limit(self.other, self.half());
    }

    /// Limits this process to the least that it may hold beside any other.
    pub fn limit_to_minimum(&self) {
        self.budget.set_limit(self.other, self.minimum());
    }

    /// Limits this process to half of the memory, or to less if it can't reserve so much beside what it has resident
    /// already. `resident` is its resident memory, if that is known.
    pub fn limit_to_resident_half(&self, resident: Option<u64>) {
        self.limit_to_bytes(self.budget.node_bytes / 2, resident);
    }

    /// Limits this process to the memory that another one leaves, which may hold this many bytes, and to half at most.
    pub fn limit_beside(&self, other_bytes: u64, resident: Option<u64>) {
        let node_bytes = self.budget.node_bytes;
        let beside_reservations = node_bytes * SECOND_PROCESS_SHARES as u64 / SHARES as u64;
        let left = node_bytes.saturating_sub(other_bytes).saturating_sub(beside_reservations);
        self.limit_to_bytes(left, resident);
    }

    /// The most bytes that this process may hold: resident memory, and what is reserved or may be reserved and is not
    /// resident yet.
    pub fn most_bytes(&self, resident: Option<u64>) -> u64 {
        let budget = &self.budget;
        budget.withhold();
        let reservable = ((budget.total_permits - budget.withheld_permits()) * PERMIT_BYTES) as u64;
        let held = budget.gauges.total();
        resident.unwrap_or(held) + reservable.saturating_sub(held)
    }

    /// Limits this process to what it can reserve within so much memory.
    fn limit_to_bytes(&self, bytes: u64, resident: Option<u64>) {
        let held = self.budget.gauges.total();
        let beside_reservations = resident.unwrap_or(held).saturating_sub(held);
        let usual = bytes * RESERVED_SHARES as u64 / SHARES as u64;
        let reservable = usual.min(bytes.saturating_sub(beside_reservations));
        let permits = (reservable / PERMIT_BYTES as u64) as usize;
        self.budget.set_limit(self.other, permits.clamp(self.minimum(), self.half()));
    }

    fn half(&self) -> usize {
        self.budget.total_permits / 2
    }

    fn minimum(&self) -> usize {
        self.budget.total_permits * MIN_SHARES / RESERVED_SHARES
    }
}

impl Drop for SharedMemory {
    fn drop(&mut self) {
        self.budget.set_limit(self.other, self.budget.total_permits);
    }
}
