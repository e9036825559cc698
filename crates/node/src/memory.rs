//! The memory that requests, replies and receive buffers may hold: an account against the memory limit of the process.
//!
//! Each open request reserves memory for a response of the usual size, which serves for receiving it and then for the
//! reply. What a larger response needs beyond that is reserved as soon as its size is known, and again for the reply once
//! it is complete. A smaller reply makes room for other requests.
//!
//! New requests leave room for large replies, and replies leave room for responses that are being received: replies that
//! wait for their turn can't keep the response from arriving that they wait for.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use mothpier_ops::MemoryGauges;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::stream::READ_SIZE_BYTES;

mod receiving;
mod replies;

pub use receiving::{ReceiveMemory, ReceivePermit};
pub use replies::{QueueMemory, ReplyMemory};

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

/// Memory of one process for requests, replies and receive buffers.
#[derive(Debug)]
pub struct MemoryBudget {
    semaphore: Arc<Semaphore>,
    total_permits: usize,
    /// Permits that new requests and replies leave to receive buffers, those that the buffers hold among them.
    receive_permits: Cell<usize>,
    /// Permits that receive buffers hold.
    received_permits: Cell<usize>,
    /// Permits that new requests leave to large replies, beside those.
    large_reply_permits: Cell<usize>,
    gauges: Arc<MemoryGauges>,
}

impl MemoryBudget {
    /// The budget of a process with this memory limit.
    pub fn new(limit_bytes: usize, gauges: Arc<MemoryGauges>) -> Rc<Self> {
        let permits_of = |shares: usize| permits(limit_bytes / SHARES * shares);
        let total_permits = permits_of(REQUEST_SHARES + LARGE_REPLY_SHARES + RECEIVE_SHARES);
        Rc::new(MemoryBudget {
            semaphore: Arc::new(Semaphore::new(total_permits)),
            total_permits,
            receive_permits: Cell::new(permits_of(RECEIVE_SHARES)),
            received_permits: Cell::new(0),
            large_reply_permits: Cell::new(permits_of(LARGE_REPLY_SHARES)),
            gauges,
        })
    }

    /// Reserves memory for a new request or a part of it.
    ///
    /// # Errors
    /// Too little is left.
    pub fn reserve_for_request(&self, bytes: usize) -> Result<MemoryPermit, OutOfMemory> {
        self.try_acquire(permits(bytes), self.left_to_receive() + self.large_reply_permits.get())
    }

    /// Sets aside half of the memory, or as much of that half as is free, for another process of this node.
    pub fn share_half(self: &Rc<Self>) -> SharedHalf {
        let half = (self.total_permits / 2).min(self.semaphore.available_permits());
        let (receive, large_reply) = (self.receive_permits.get(), self.large_reply_permits.get());
        let shared = SharedHalf {
            _permit: self.try_acquire(half, 0),
            receive_permits: receive,
            large_reply_permits: large_reply,
            budget: self.clone(),
        };
        self.receive_permits.set(receive / 2);
        self.large_reply_permits.set(large_reply / 2);
        shared
    }

    /// Permits that must be left to receive buffers.
    fn left_to_receive(&self) -> usize {
        self.receive_permits.get().saturating_sub(self.received_permits.get())
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

/// Memory that is set aside for another process of this node, until this is dropped.
pub struct SharedHalf {
    _permit: Result<MemoryPermit, OutOfMemory>,
    /// What was left to receive buffers and large replies before.
    receive_permits: usize,
    large_reply_permits: usize,
    budget: Rc<MemoryBudget>,
}

impl Drop for SharedHalf {
    fn drop(&mut self) {
        self.budget.receive_permits.set(self.receive_permits);
        self.budget.large_reply_permits.set(self.large_reply_permits);
    }
}

#[cfg(test)]
#[path = "../tests/unit/memory.rs"]
mod tests;
