//! The pending replies of a connection, in the order of its commands.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use brassrouter::RequestId;
use bytes::Bytes;
use mothpier_ops::{RequestEnd, RequestTicket};
use mothpier_resp as resp;
use tokio::sync::oneshot;

#[cfg(doc)]
use crate::command::REFUSED_RETRY_AFTER_MS;
use crate::command::{Delivery, EncodedReply, LargeValue};
use crate::memory::ReplyMemory;

/// Replies that are ready are combined into one write of at most this size; a larger one is written alone.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Refusals in a row that share one entry, so that a client that sends many commands at once costs little memory.
const MAX_REFUSALS_PER_ENTRY: usize = 1024;

/// The reply to a request that the node refuses for a reason of its own: `BUSY` and [`REFUSED_RETRY_AFTER_MS`].
const REFUSAL: &[u8] = b"-BUSY 100\r\n";

/// State of a reply.
pub(super) enum ReplyState {
    /// It can be written.
    Ready(Bytes),
    /// Consecutive requests that were refused for a reason of the node's own, with a ticket for each class; one reply for
    /// each request.
    Refusals(Vec<RequestTicket>),
    /// A large value that is relayed as it arrives.
    Stream(LargeValue),
    /// The node has not provided it yet.
    Pending(RequestId, oneshot::Receiver<Delivery>),
}

/// One of the pending replies of a connection, or several refusals in a row.
pub(super) struct PendingReply {
    pub(super) state: ReplyState,
    /// Whether it is the reply to a request that was forwarded to the node.
    pub(super) forwarded: bool,
    /// Memory of the node's reply, released once it is written.
    pub(super) memory: Option<ReplyMemory>,
    /// For a request that was not refused here: ended in this way once the reply is written.
    pub(super) ticket: Option<(RequestTicket, RequestEnd)>,
}

impl PendingReply {
    /// A reply that can be written, for a request if there is a ticket.
    pub(super) fn ready(bytes: Bytes, ticket: Option<(RequestTicket, RequestEnd)>) -> Self {
        PendingReply { state: ReplyState::Ready(bytes), forwarded: false, memory: None, ticket }
    }

    /// The refusal of a request.
    pub(super) fn refusal(ticket: RequestTicket) -> Self {
        let state = ReplyState::Refusals(vec![ticket]);
        PendingReply { state, forwarded: false, memory: None, ticket: None }
    }

    /// The reply to a request that is forwarded to the node.
    pub(super) fn forwarded(
        request: RequestId,
        receiver: oneshot::Receiver<Delivery>,
        ticket: RequestTicket,
    ) -> Self {
        let state = ReplyState::Pending(request, receiver);
        PendingReply { state, forwarded: true, memory: None, ticket: Some((ticket, RequestEnd::Failed)) }
    }

    /// Refuses one more request with this entry, if it holds refusals and has room.
    ///
    /// # Errors
    /// Returns the ticket of a request that needs an entry of its own.
    pub(super) fn add_refusal(&mut self, ticket: RequestTicket) -> Result<(), RequestTicket> {
        match &mut self.state {
            ReplyState::Refusals(tickets) if count_requests(tickets) < MAX_REFUSALS_PER_ENTRY => {
                match tickets.iter_mut().find(|same| same.class() == ticket.class()) {
                    Some(same) => same.absorb(ticket),
                    None => tickets.push(ticket),
                }
                Ok(())
            }
            _ => Err(ticket),
        }
    }

    /// Counts the end of its requests, whose replies were written; returns their number.
    pub(super) fn count_end(self) -> u64 {
        let refused = match self.state {
            ReplyState::Refusals(tickets) => tickets,
            ReplyState::Ready(_) | ReplyState::Stream(_) | ReplyState::Pending(..) => Vec::new(),
        };
        let ends = refused.into_iter().map(|ticket| (ticket, RequestEnd::Refused)).chain(self.ticket);
        ends.map(|(ticket, end)| {
            let requests = ticket.requests();
            ticket.end(end);
            requests
        })
        .sum()
    }

    /// The size of what can be written now, in bytes; `None` while there is nothing.
    fn ready_bytes(&self) -> Option<usize> {
        match &self.state {
            ReplyState::Ready(bytes) => Some(bytes.len()),
            ReplyState::Refusals(tickets) => Some(count_requests(tickets) * REFUSAL.len()),
            ReplyState::Stream(_) | ReplyState::Pending(..) => None,
        }
    }

    /// Takes what can be written now.
    pub(super) fn take_bytes(&mut self) -> Bytes {
        match &mut self.state {
            ReplyState::Ready(bytes) => std::mem::take(bytes),
            ReplyState::Refusals(tickets) => REFUSAL.repeat(count_requests(tickets)).into(),
            ReplyState::Stream(_) | ReplyState::Pending(..) => Bytes::new(),
        }
    }

    /// Whether the node has not provided the reply yet.
    pub(super) fn is_pending(&self) -> bool {
        matches!(self.state, ReplyState::Pending(..))
    }

    /// Takes the node's reply if it has arrived.
    fn poll_reply(&mut self, cx: &mut Context<'_>) {
        let ReplyState::Pending(_, receiver) = &mut self.state else { return };
        match Pin::new(receiver).poll(cx) {
            Poll::Ready(Ok(delivery)) => self.deliver(delivery),
            // The node drops a request without a reply only at shutdown.
            Poll::Ready(Err(_)) => self.fail(),
            Poll::Pending => {}
        }
    }

    /// Takes the node's reply if it has arrived, for a request that is given up otherwise. Returns the request if there is
    /// none: the node is told that nobody waits for it.
    pub(super) fn give_up(&mut self) -> Option<RequestId> {
        let ReplyState::Pending(request, receiver) = &mut self.state else { return None };
        // The request may still wait in its queue, behind which the node is notified.
        receiver.close();
        match receiver.try_recv() {
            Ok(delivery) => {
                self.deliver(delivery);
                None
            }
            Err(_) => Some(*request),
        }
    }

    /// Replaces the reply by an error.
    pub(super) fn fail(&mut self) {
        self.state = ReplyState::Ready(resp::encode_error("ERR failed"));
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Delivery { reply, end, memory } = delivery;
        self.memory = memory;
        if let Some((_, ticket_end)) = &mut self.ticket {
            *ticket_end = end;
        }
        self.state = match reply {
            EncodedReply::Complete(bytes) => ReplyState::Ready(bytes),
            EncodedReply::Stream(value) => ReplyState::Stream(value),
        };
    }
}

/// Number of requests that these tickets stand for.
fn count_requests(tickets: &[RequestTicket]) -> usize {
    tickets.iter().map(RequestTicket::requests).sum::<u64>() as usize
}

/// What can be written to a client now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Writable {
    /// This many replies at the front, at least one.
    Replies(usize),
    /// The start of the large value at the front.
    LargeValue,
}

/// Waits until something can be written. Cancellation safe.
pub(super) async fn next_writable(pending: &mut VecDeque<PendingReply>) -> Writable {
    poll_fn(|cx| {
        let (mut ready, mut size) = (0, 0);
        for reply in pending.iter_mut() {
            reply.poll_reply(cx);
            let Some(bytes) = reply.ready_bytes() else { break };
            size += bytes;
            if ready > 0 && size > MAX_BATCH_BYTES {
                break;
            }
            ready += 1;
        }
        match pending.front() {
            _ if ready > 0 => Poll::Ready(Writable::Replies(ready)),
            Some(PendingReply { state: ReplyState::Stream(_), .. }) => Poll::Ready(Writable::LargeValue),
            _ => Poll::Pending,
        }
    })
    .await
}

#[cfg(test)]
#[path = "../../tests/unit/pending_replies.rs"]
mod tests;
