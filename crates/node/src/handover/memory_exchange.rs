//! Agreement of two processes of one node on the memory that each may hold.

use mothpier_handover::Message;
use mothpier_host::Host;
use tokio::sync::mpsc;

use crate::memory::SharedMemory;

/// Number of [`Message::Hello`] behind its state by which a predecessor shows that it tells what memory it may hold.
const HELLOS_OF_TELLING_PREDECESSOR: usize = 2;

/// The share of the successor, which depends on what the predecessor tells.
pub(super) struct SuccessorMemory<H> {
    host: H,
    shared: SharedMemory,
    hellos: usize,
}

impl<H: Host> SuccessorMemory<H> {
    /// Until the predecessor has told what it holds, this process holds the least possible.
    pub(super) fn new(host: H, shared: SharedMemory) -> Self {
        shared.limit_to_minimum();
        SuccessorMemory { host, shared, hellos: 0 }
    }

    /// Called with a hello of the predecessor: if it knows of memory, it is told that this process does, too.
    pub(super) async fn receive_hello(&mut self, outbox: &mpsc::Sender<Message>) {
        self.hellos += 1;
        if self.hellos == HELLOS_OF_TELLING_PREDECESSOR {
            let most_bytes = self.shared.most_bytes(self.host.resident_memory());
            let _ = outbox.send(Message::Memory { most_bytes }).await;
        }
    }

    /// Called with what the predecessor may hold.
    pub(super) fn receive_predecessor_memory(&self, most_bytes: u64) {
        self.shared.limit_beside(most_bytes, self.host.resident_memory());
    }

    /// Called with any later message: a predecessor of an older version does not tell what it holds, which is taken for
    /// half of the memory.
    pub(super) fn assume_half_if_untold(&self) {
        if self.hellos < HELLOS_OF_TELLING_PREDECESSOR {
            self.shared.limit_to_half();
        }
    }
}

/// The share of the predecessor, which comes down to half of the memory as requests end.
pub(super) struct PredecessorMemory<H> {
    host: H,
    shared: SharedMemory,
    is_asked: bool,
}

impl<H: Host> PredecessorMemory<H> {
    pub(super) fn new(host: H, shared: SharedMemory) -> Self {
        shared.limit_to_resident_half(host.resident_memory());
        PredecessorMemory { host, shared, is_asked: false }
    }

    /// Called when the successor is known to take messages about memory.
    pub(super) fn begin(&mut self) {
        self.is_asked = true;
    }

    /// Updates the limit of this process, and the message for the successor; `None` if it takes none.
    pub(super) fn update(&self) -> Option<Message> {
        let resident = self.host.resident_memory();
        self.shared.limit_to_resident_half(resident);
        let most_bytes = self.shared.most_bytes(resident);
        self.is_asked.then_some(Message::Memory { most_bytes })
    }
}
