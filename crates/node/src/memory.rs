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
use std::time::Duration;

use mothpier_ops::{HeldBytes, MemoryGauges, MemoryUse};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::stream::READ_SIZE_BYTES;

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
/// Memory held for each open request and each reply beside its bytes.
const REPLY_OVERHEAD_BYTES: usize = 1024;
/// Memory for a short reply in the queue of a connection.
const QUEUED_REPLY_BYTES: usize = 256;
/// A queue of up to this many short replies needs no reservation.
const UNRESERVED_REPLIES: usize = 16;
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

/// Memory reserved for the response to a request, from its arrival until the reply is written.
#[derive(Debug)]
pub struct ReplyMemory {
    budget: Rc<MemoryBudget>,
    permit: MemoryPermit,
    held: HeldBytes,
}

impl ReplyMemory {
    /// Memory for a response that has not arrived yet.
    pub fn new(budget: Rc<MemoryBudget>, permit: MemoryPermit) -> Self {
        let held = HeldBytes::new(&budget.gauges, MemoryUse::Replies, 0);
        ReplyMemory { budget, permit, held }
    }

    /// Changes the reservation to that of a reply of this size. `received` is what its response was received in; passing it
    /// on keeps others that wait for memory from taking it in between.
    ///
    /// # Errors
    /// A reply larger than usual finds no room: only the reservation of a reply without a value is kept.
    pub fn hold(&mut self, bytes: usize, received: Vec<ReceivePermit>) -> Result<(), OutOfMemory> {
        received
            .into_iter()
            .filter_map(ReceivePermit::into_inner)
            .for_each(|permit| self.permit.merge(permit));
        let needed = permits(bytes + REPLY_OVERHEAD_BYTES);
        let left = if needed > permits(USUAL_RESPONSE_BYTES) { self.budget.left_to_receive() } else { 0 };
        let reserved = self.permit.num_permits();
        if needed + left > reserved + self.budget.semaphore.available_permits() {
            self.shrink_to(permits(REPLY_OVERHEAD_BYTES));
            return Err(OutOfMemory);
        }
        if needed > reserved {
            let more = self.budget.try_acquire(needed - reserved, 0)?;
            self.permit.merge(more);
        }
        self.shrink_to(needed);
        self.held.set(bytes);
        Ok(())
    }

    fn shrink_to(&mut self, needed: usize) {
        let surplus = self.permit.num_permits().saturating_sub(needed);
        drop(self.permit.split(surplus));
    }
}

/// Memory reserved for the short replies that wait for their turn on one connection.
pub struct QueueMemory {
    budget: Rc<MemoryBudget>,
    permit: Option<MemoryPermit>,
}

impl QueueMemory {
    /// Memory for an empty queue.
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        QueueMemory { budget, permit: None }
    }

    /// Changes the reservation to that of a queue of this length; a short queue needs none.
    ///
    /// # Errors
    /// A longer queue finds no room; the reservation is left as it is.
    pub fn hold(&mut self, replies: usize) -> Result<(), OutOfMemory> {
        let needed = if replies <= UNRESERVED_REPLIES { 0 } else { permits(replies * QUEUED_REPLY_BYTES) };
        let reserved = self.permit.as_ref().map_or(0, MemoryPermit::num_permits);
        if needed > reserved {
            let more = self.budget.reserve_for_request((needed - reserved) * PERMIT_BYTES)?;
            match &mut self.permit {
                Some(permit) => permit.merge(more),
                None => self.permit = Some(more),
            }
        } else if let Some(permit) = &mut self.permit {
            drop(permit.split(reserved - needed));
        }
        Ok(())
    }
}

/// Memory that a receive buffer holds, or a complete response on its way to its request.
#[derive(Debug)]
pub struct ReceivePermit {
    budget: Rc<MemoryBudget>,
    permit: MemoryPermit,
}

impl ReceivePermit {
    fn new(budget: Rc<MemoryBudget>, permit: MemoryPermit) -> Self {
        budget.received_permits.set(budget.received_permits.get() + permit.num_permits());
        ReceivePermit { budget, permit }
    }

    /// Takes the memory for another use.
    fn into_inner(mut self) -> Option<MemoryPermit> {
        self.count_as_free();
        self.permit.split(self.permit.num_permits())
    }

    /// Counts it no longer as held for receiving.
    fn count_as_free(&self) {
        let received = &self.budget.received_permits;
        received.set(received.get().saturating_sub(self.permit.num_permits()));
    }
}

impl Drop for ReceivePermit {
    fn drop(&mut self) {
        self.count_as_free();
    }
}

/// Memory reserved for one buffer in which responses are received, beyond that of a response of the usual size, which is
/// reserved with its request.
pub struct ReceiveMemory {
    budget: Rc<MemoryBudget>,
    permits: Vec<ReceivePermit>,
    held: HeldBytes,
}

impl ReceiveMemory {
    /// Memory for an empty buffer.
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        let held = HeldBytes::new(&budget.gauges, MemoryUse::ServerInput, 0);
        ReceiveMemory { budget, permits: Vec::new(), held }
    }

    /// Reserves memory for a buffer of this size, unless as much is reserved already. Waits while there is too little, for
    /// other buffers free theirs as soon as their responses are complete.
    ///
    /// # Errors
    /// There was too little for this long.
    pub async fn reserve(&mut self, bytes: usize, within: Duration) -> Result<(), OutOfMemory> {
        let needed = permits(bytes.saturating_sub(USUAL_RESPONSE_BYTES));
        let reserved: usize = self.permits.iter().map(|held| held.permit.num_permits()).sum();
        if needed > reserved {
            let missing = u32::try_from(needed - reserved).map_err(|_| OutOfMemory)?;
            let acquired = self.budget.semaphore.clone().acquire_many_owned(missing);
            let permit =
                timeout(within, acquired).await.map_err(|_| OutOfMemory)?.map_err(|_| OutOfMemory)?;
            self.permits.push(ReceivePermit::new(self.budget.clone(), permit));
        }
        self.held.set(bytes);
        Ok(())
    }

    /// Takes the reservation, for a complete response that leaves the buffer, or because the buffer is empty. What stays
    /// in the buffer is reserved for with the next read.
    pub fn take(&mut self) -> Vec<ReceivePermit> {
        self.held.set(0);
        std::mem::take(&mut self.permits)
    }
}

#[cfg(test)]
#[path = "../tests/unit/memory.rs"]
mod tests;
