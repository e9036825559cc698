//! The memory that requests, replies and receive buffers may hold: an account against the memory limit of the process.
//!
//! Each open request reserves memory for a response of the usual size, which serves for receiving it and then for the
//! reply. What a larger response needs beyond that is reserved as soon as its size is known, and again for the reply once
//! it is complete. A smaller reply makes room for other requests.
//!
//! New requests leave room for large replies, and replies leave room for responses that are being received: replies that
//! wait for their turn can't keep the response from arriving that they wait for.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use mothpier_ops::MemoryGauges;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::stream::READ_SIZE_BYTES;

mod receiving;
mod replies;
mod sharing;

pub use receiving::{ReceiveMemory, ReceivePermit};
pub use replies::{QueueMemory, ReplyMemory};
pub use sharing::SharedMemory;

/// Bytes for which one semaphore permit stands.
const PERMIT_BYTES: usize = 1024;

/// The memory limit is divided into this many equal shares. Those not named below are left to the process itself, to
/// buffers too small to be accounted for, and to the allocator.
const SHARES: usize = 16;
/// Shares for open requests: their values, and responses of the usual size.
const REQUEST_SHARES: usize = 8;
/// Shares that new requests leave to replies larger than usual.
const LARGE_REPLY_SHARES: usize = 1;
/// Shares that new requests and replies leave to responses that are being received.
const RECEIVE_SHARES: usize = 1;
/// All shares that are reserved from.
const RESERVED_SHARES: usize = REQUEST_SHARES + LARGE_REPLY_SHARES + RECEIVE_SHARES;

/// Size of a response for which memory is reserved before its actual size is known.
pub const USUAL_RESPONSE_BYTES: usize = 32 * 1024;
/// A buffer of up to this size, that of one read, needs no reservation.
pub const UNRESERVED_BUFFER_BYTES: usize = READ_SIZE_BYTES;

/// Reserved memory, released when it is dropped.
pub type MemoryPermit = OwnedSemaphorePermit;

/// There is not enough memory left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// Number of permits that stand for this many bytes.
pub fn permits(bytes: usize) -> usize {
    bytes.div_ceil(PERMIT_BYTES)
}

/// The other process of this node, beside which this one may hold less than all memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherProcess {
    Predecessor,
    Successor,
}

/// Memory of one process for requests, replies and receive buffers.
#[derive(Debug)]
pub struct MemoryBudget {
    semaphore: Arc<Semaphore>,
    /// Memory limit of the node, in bytes.
    node_bytes: u64,
    total_permits: usize,
    /// Permits that this process may hold beside its predecessor and beside its successor.
    limits: [Cell<usize>; 2],
    /// Permits that are not to be used because of these limits, as far as they have become free.
    withheld: RefCell<Option<MemoryPermit>>,
    /// Permits that receive buffers hold.
    received_permits: Cell<usize>,
    gauges: Arc<MemoryGauges>,
}

impl MemoryBudget {
    /// The budget of a process of a node with this memory limit.
    pub fn new(limit_bytes: usize, gauges: Arc<MemoryGauges>) -> Rc<Self> {
        let total_permits = permits(limit_bytes / SHARES * RESERVED_SHARES);
        let budget = Rc::new(MemoryBudget {
            semaphore: Arc::new(Semaphore::new(total_permits)),
            node_bytes: limit_bytes as u64,
            total_permits,
            limits: [Cell::new(total_permits), Cell::new(total_permits)],
            withheld: RefCell::default(),
            received_permits: Cell::new(0),
            gauges,
        });
        budget.publish_limit();
        budget
    }

    /// Reserves memory for a new request or a part of it.
    ///
    /// # Errors
    /// Too little is left.
    pub fn reserve_for_request(&self, bytes: usize) -> Result<MemoryPermit, OutOfMemory> {
        self.withhold();
        let large_replies = self.limit() * LARGE_REPLY_SHARES / RESERVED_SHARES;
        self.try_acquire(permits(bytes), self.left_to_receive() + large_replies + self.missing())
    }

    /// Shares the memory of the node with another process, at first half of it.
    pub fn share_with(self: &Rc<Self>, other: OtherProcess) -> SharedMemory {
        let shared = SharedMemory { budget: self.clone(), other };
        shared.limit_to_half();
        shared
    }

    /// Permits that this process may hold now.
    fn limit(&self) -> usize {
        self.limits.iter().map(Cell::get).min().unwrap_or(self.total_permits)
    }

    fn set_limit(&self, other: OtherProcess, permits: usize) {
        self.limits[other as usize].set(permits);
        self.withhold();
        self.publish_limit();
    }

    fn publish_limit(&self) {
        self.gauges.set_limit((self.limit() * PERMIT_BYTES) as u64);
    }

    /// Permits that must not be used and are still held by requests, replies or buffers.
    fn missing(&self) -> usize {
        (self.total_permits - self.limit()).saturating_sub(self.withheld_permits())
    }

    fn withheld_permits(&self) -> usize {
        self.withheld.borrow().as_ref().map_or(0, MemoryPermit::num_permits)
    }

    /// Withholds free permits beyond the limit, or releases those that may be used again.
    fn withhold(&self) {
        let free = self.semaphore.available_permits().saturating_sub(self.left_to_receive());
        let more = self.try_acquire(self.missing().min(free), 0).ok();
        let mut withheld = self.withheld.borrow_mut();
        match (&mut *withheld, more) {
            (Some(permit), Some(more)) => permit.merge(more),
            (None, more) => *withheld = more,
            (Some(_), None) => {}
        }
        if let Some(permit) = &mut *withheld {
            shrink_to(permit, self.total_permits - self.limit());
        }
    }

    /// Permits that must be left to receive buffers.
    fn left_to_receive(&self) -> usize {
        let receive = self.limit() * RECEIVE_SHARES / RESERVED_SHARES;
        receive.saturating_sub(self.received_permits.get())
    }

    /// Acquires permits if this many others are left.
    fn try_acquire(&self, permits: usize, left: usize) -> Result<MemoryPermit, OutOfMemory> {
        if permits + left > self.semaphore.available_permits() {
            return Err(OutOfMemory);
        }
        let permits = u32::try_from(permits).map_err(|_| OutOfMemory)?;
        self.semaphore.clone().try_acquire_many_owned(permits).map_err(|_| OutOfMemory)
    }
}

/// Releases what a reservation has beyond the permits needed.
fn shrink_to(permit: &mut MemoryPermit, needed: usize) {
    let surplus = permit.num_permits().saturating_sub(needed);
    drop(permit.split(surplus));
}

#[cfg(test)]
#[path = "../tests/unit/memory.rs"]
mod tests;
