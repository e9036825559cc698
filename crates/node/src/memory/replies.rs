//! Memory of replies: those of the node, and short ones that wait for their turn on a connection.

use std::rc::Rc;

use mothpier_ops::{HeldBytes, MemoryUse};

use super::{
    MemoryBudget, MemoryPermit, OutOfMemory, PERMIT_BYTES, ReceivePermit, USUAL_RESPONSE_BYTES, permits,
    shrink_to,
};

/// Memory held for each open request and each reply beside its bytes.
const REPLY_OVERHEAD_BYTES: usize = 1024;
/// Memory for a short reply in the queue of a connection.
const QUEUED_REPLY_BYTES: usize = 256;
/// A queue of up to this many short replies needs no reservation.
pub(super) const UNRESERVED_REPLIES: usize = 16;

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
            shrink_to(&mut self.permit, permits(REPLY_OVERHEAD_BYTES));
            return Err(OutOfMemory);
        }
        if needed > reserved {
            let more = self.budget.try_acquire(needed - reserved, 0)?;
            self.permit.merge(more);
        }
        shrink_to(&mut self.permit, needed);
        self.held.set(bytes);
        Ok(())
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
            shrink_to(permit, needed);
        }
        Ok(())
    }
}
