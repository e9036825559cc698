//! Exchange of the ids of requests that must not run twice between two processes of one node.

use std::rc::Rc;

use mothpier_handover::Message;
use mothpier_host::Host;
use tokio::sync::mpsc;

use crate::clients::Clients;
use crate::forwarded_ids::{IdHash, IdReader};

/// Exchanges with the other process the ids of requests that must not run twice.
pub(super) struct IdExchange<H: Host> {
    clients: Rc<Clients<H>>,
    reader: IdReader,
    /// Whether the other process is known to take them.
    is_begun: bool,
    /// Whether any were sent. The first message is sent even without ids, and tells the other process to begin.
    has_sent: bool,
}

impl<H: Host> IdExchange<H> {
    /// With another process that is not known to take them.
    pub(super) fn new(clients: Rc<Clients<H>>) -> Self {
        IdExchange { reader: clients.forwarded_ids().reader(), clients, is_begun: false, has_sent: false }
    }

    /// Called when the other process is known to take them.
    pub(super) fn begin(&mut self) {
        self.is_begun = true;
    }

    /// Called with ids of the other process, which therefore takes those of this one.
    pub(super) fn learn(&mut self, ids: &[IdHash]) {
        self.clients.forwarded_ids().learn(ids);
        self.begin();
    }

    /// Waits until there are ids to send, and sends them. Cancellation safe: they are taken only once there is room for
    /// them.
    pub(super) async fn send_next(&mut self, outbox: &mpsc::Sender<Message>) {
        if !self.is_begun {
            return std::future::pending().await;
        }
        if self.has_sent {
            self.reader.changed().await;
        }
        match outbox.reserve().await {
            Ok(place) => {
                self.has_sent = true;
                place.send(Message::ForwardedIds(self.reader.take(self.clients.forwarded_ids())));
            }
            // The other process has ended, which its inbox reports.
            Err(_) => std::future::pending().await,
        }
    }
}
