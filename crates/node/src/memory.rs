//! The memory that requests, replies and receive buffers may hold: an account against the memory limit of the process.
//!
//! Each open request reserves memory for a reply of the usual size. Once the reply has arrived, the reservation is
//! changed to its actual size: a smaller one makes room for other requests, a larger one has to find room. Responses of
//! servers are received against a share of their own, so that replies waiting for slow clients can't stop them.

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
/// Shares for the commands of open requests and for replies of the usual size.
const REQUEST_SHARES: usize = 8;
/// Shares for what larger replies need beyond the usual size.
const LARGE_REPLY_SHARES: usize = 1;
/// Shares for responses that are being received.
const RECEIVE_SHARES: usize = 2;

/// Size of a reply for which memory is reserved before its actual size is known.
pub const USUAL_REPLY_BYTES: usize = 32 * 1024;
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
pub struct MemoryBudget {
    requests: Arc<Semaphore>,
    receive: ReceiveBudget,
    request_permits: usize,
    receive_permits: usize,
    /// Permits that no new request may take: they are for large replies.
    large_reply_permits: Cell<usize>,
}

impl MemoryBudget {
    /// The budget of a process with this memory limit.
    pub fn new(limit_bytes: usize, gauges: Arc<MemoryGauges>) -> Rc<Self> {
        let share = limit_bytes / SHARES;
        let large_reply_permits = permits(share * LARGE_REPLY_SHARES);
        let request_permits = permits(share * REQUEST_SHARES) + large_reply_permits;
        let receive_permits = permits(share * RECEIVE_SHARES);
        Rc::new(MemoryBudget {
            requests: Arc::new(Semaphore::new(request_permits)),
            receive: ReceiveBudget { permits: Arc::new(Semaphore::new(receive_permits)), gauges },
            request_permits,
            receive_permits,
            large_reply_permits: Cell::new(large_reply_permits),
        })
    }

    /// Reserves memory for a new request or a part of it.
    ///
    /// # Errors
    /// Too little is left beside the share for large replies.
    pub fn reserve_for_request(&self, bytes: usize) -> Result<MemoryPermit, OutOfMemory> {
        let free = self.requests.available_permits().saturating_sub(self.large_reply_permits.get());
        if permits(bytes) > free {
            return Err(OutOfMemory);
        }
        try_acquire(&self.requests, permits(bytes))
    }

    /// The budget of receive buffers.
    pub fn receive_budget(&self) -> ReceiveBudget {
        self.receive.clone()
    }

    /// Sets aside half of the memory, or as much of that half as is free, for another process of this node.
    pub fn share_half(self: &Rc<Self>) -> SharedHalf {
        let half_of = |semaphore: &Arc<Semaphore>, total: usize| {
            try_acquire(semaphore, (total / 2).min(semaphore.available_permits()))
        };
        let half = SharedHalf {
            _requests: half_of(&self.requests, self.request_permits),
            _receive: half_of(&self.receive.permits, self.receive_permits),
            large_reply_permits: self.large_reply_permits.get(),
            budget: self.clone(),
        };
        self.large_reply_permits.set(half.large_reply_permits / 2);
        half
    }
}

fn try_acquire(semaphore: &Arc<Semaphore>, permits: usize) -> Result<MemoryPermit, OutOfMemory> {
    let permits = u32::try_from(permits).map_err(|_| OutOfMemory)?;
    semaphore.clone().try_acquire_many_owned(permits).map_err(|_| OutOfMemory)
}

/// Memory that is set aside for another process of this node, until this is dropped.
pub struct SharedHalf {
    _requests: Result<MemoryPermit, OutOfMemory>,
    _receive: Result<MemoryPermit, OutOfMemory>,
    /// The share for large replies before.
    large_reply_permits: usize,
    budget: Rc<MemoryBudget>,
}

impl Drop for SharedHalf {
    fn drop(&mut self) {
        self.budget.large_reply_permits.set(self.large_reply_permits);
    }
}

/// Memory reserved for the reply to a request, from its arrival until the reply is written.
#[derive(Debug)]
pub struct ReplyMemory {
    permit: MemoryPermit,
    held: HeldBytes,
}

impl ReplyMemory {
    /// Memory for a reply that has not arrived yet.
    pub fn new(permit: MemoryPermit, gauges: &Arc<MemoryGauges>) -> Self {
        ReplyMemory { permit, held: HeldBytes::new(gauges, MemoryUse::Replies, 0) }
    }

    /// Changes the reservation to that of a reply of this size.
    ///
    /// # Errors
    /// A larger reservation finds no room: only that of a reply without a value is kept.
    pub fn hold(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let (needed, reserved) = (permits(bytes + REPLY_OVERHEAD_BYTES), self.permit.num_permits());
        if needed > reserved {
            match try_acquire(self.permit.semaphore(), needed - reserved) {
                Ok(more) => self.permit.merge(more),
                Err(OutOfMemory) => {
                    self.shrink_to(permits(REPLY_OVERHEAD_BYTES));
                    return Err(OutOfMemory);
                }
            }
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
            merge(&mut self.permit, more);
        } else if let Some(permit) = &mut self.permit {
            drop(permit.split(reserved - needed));
        }
        Ok(())
    }
}

/// Adds a permit to a reservation.
fn merge(reservation: &mut Option<MemoryPermit>, more: MemoryPermit) {
    match reservation {
        Some(permit) => permit.merge(more),
        None => *reservation = Some(more),
    }
}

/// The budget of the buffers in which responses are received.
#[derive(Clone)]
pub struct ReceiveBudget {
    permits: Arc<Semaphore>,
    gauges: Arc<MemoryGauges>,
}

impl ReceiveBudget {
    /// Memory for one buffer, none of it reserved yet.
    pub fn buffer(&self) -> ReceiveMemory {
        ReceiveMemory {
            budget: self.permits.clone(),
            permit: None,
            held: HeldBytes::new(&self.gauges, MemoryUse::ServerInput, 0),
        }
    }
}

/// Memory reserved for one receive buffer.
pub struct ReceiveMemory {
    budget: Arc<Semaphore>,
    permit: Option<MemoryPermit>,
    held: HeldBytes,
}

impl ReceiveMemory {
    /// Changes the reservation to that of a buffer of this size. Waits while there is too little memory, which other
    /// buffers free as soon as their responses are complete.
    ///
    /// # Errors
    /// There was too little for this long.
    pub async fn reserve(&mut self, bytes: usize, within: Duration) -> Result<(), OutOfMemory> {
        let needed = if bytes <= UNRESERVED_BUFFER_BYTES { 0 } else { permits(bytes) };
        let reserved = self.permit.as_ref().map_or(0, MemoryPermit::num_permits);
        if needed > reserved {
            self.acquire(needed - reserved, within).await?;
        } else if let Some(permit) = &mut self.permit {
            drop(permit.split(reserved - needed));
        }
        self.held.set(bytes);
        Ok(())
    }

    async fn acquire(&mut self, missing: usize, within: Duration) -> Result<(), OutOfMemory> {
        let missing = u32::try_from(missing).map_err(|_| OutOfMemory)?;
        let acquired = timeout(within, self.budget.clone().acquire_many_owned(missing)).await;
        let more = acquired.map_err(|_| OutOfMemory)?.map_err(|_| OutOfMemory)?;
        merge(&mut self.permit, more);
        Ok(())
    }

    /// Releases the reservation of an empty buffer.
    pub fn release(&mut self) {
        self.permit = None;
        self.held.set(0);
    }

    /// Bytes reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.permit.as_ref().map_or(0, MemoryPermit::num_permits) * PERMIT_BYTES
    }

    /// Takes the reservation, for a complete response that leaves the buffer. What stays in the buffer is reserved for
    /// with the next read.
    pub fn take(&mut self) -> Option<MemoryPermit> {
        self.permit.take()
    }
}

#[cfg(test)]
#[path = "../tests/unit/memory.rs"]
mod tests;
