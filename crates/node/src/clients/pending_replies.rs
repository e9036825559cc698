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

use crate::command::{Delivery, EncodedReply, LargeValue};
use crate::memory::ReplyMemory;

/// Replies that are ready are combined into one write of at most this size; a larger one is written alone.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// State of a reply.
pub(super) enum ReplyState {
    /// It can be written.
    Ready(Bytes),
    /// A large value that is relayed as it arrives.
    Stream(LargeValue),
    /// The node has not provided it yet.
    Pending(RequestId, oneshot::Receiver<Delivery>),
}

/// One of the pending replies of a connection.
pub(super) struct PendingReply {
    pub(super) state: ReplyState,
    /// Whether it is the reply to a request that was forwarded to the node.
    pub(super) forwarded: bool,
    /// Memory of the node's reply, released once it is written.
    pub(super) memory: Option<ReplyMemory>,
    /// For a request: ended in this way once the reply is written.
    pub(super) ticket: Option<(RequestTicket, RequestEnd)>,
}

impl PendingReply {
    /// Whether the node has not provided the reply yet.
    pub(super) fn is_pending(&self) -> bool {
        matches!(self.state, ReplyState::Pending(..))
    }

    /// Takes the node's reply if it has arrived.
    fn poll_reply(&mut self, cx: &mut Context<'_>) {
        let ReplyState::Pending(_, receiver) = &mut self.state else { return };
        let Poll::Ready(delivery) = Pin::new(receiver).poll(cx) else { return };
        let Ok(Delivery { reply, end, memory }) = delivery else {
            // The node drops a request without a reply only at shutdown.
            self.state = ReplyState::Ready(resp::encode_error("ERR failed"));
            return;
        };
        self.memory = Some(memory);
        if let Some((_, ticket_end)) = &mut self.ticket {
            *ticket_end = end;
        }
        self.state = match reply {
            EncodedReply::Complete(bytes) => ReplyState::Ready(bytes),
            EncodedReply::Stream(value) => ReplyState::Stream(value),
        };
    }
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
            let ReplyState::Ready(bytes) = &reply.state else { break };
            size += bytes.len();
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
