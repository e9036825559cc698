//! Memory of the buffers in which responses are received.

use std::rc::Rc;
use std::time::Duration;

use mothpier_ops::{HeldBytes, MemoryUse};
use tokio::time::timeout;

use super::{MemoryBudget, MemoryPermit, OutOfMemory, USUAL_RESPONSE_BYTES, permits};

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
    pub(super) fn into_inner(mut self) -> Option<MemoryPermit> {
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
