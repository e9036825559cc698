//! The pending replies of a connection, in the order of its commands.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use brassrouter::RequestId;
use bytes::Bytes;
use mothpier_ops::{HeldBytes, RequestEnd, RequestTicket};
use mothpier_resp as resp;
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::{OwnedSemaphorePermit, oneshot};

use crate::command::{Delivery, LargeValue, Reply};

/// Replies that are ready are combined into one write up to about this size.
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
    /// Held until the reply is written; only for requests that were forwarded.
    pub(super) memory_permit: Option<OwnedSemaphorePermit>,
    /// Counts the reply as held once it has arrived.
    pub(super) held: Option<HeldBytes>,
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
        // The node drops a request without a reply only at shutdown.
        let reply = match delivery {
            Ok(Delivery { reply, held }) => {
                self.held = Some(held);
                reply
            }
            Err(_) => Reply::Failed,
        };
        if let Some((_, end)) = &mut self.ticket {
            *end = ticket_end(&reply);
        }
        self.state = match reply {
            Reply::Stream(value) => ReplyState::Stream(value),
            Reply::Value(value) => ReplyState::Ready(resp::encode(&BytesFrame::BulkString(value))),
            Reply::Busy(0) => ReplyState::Ready(resp::encode_error("BUSY")),
            Reply::Busy(ms) => ReplyState::Ready(resp::encode_error(&format!("BUSY {ms}"))),
            Reply::Failed => ReplyState::Ready(resp::encode_error("ERR failed")),
        };
    }
}

/// How a request with this reply ends.
fn ticket_end(reply: &Reply) -> RequestEnd {
    match reply {
        Reply::Value(_) | Reply::Stream(_) => RequestEnd::Served,
        Reply::Busy(_) => RequestEnd::Refused,
        Reply::Failed => RequestEnd::Failed,
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
            (ready, size) = (ready + 1, size + bytes.len());
            if size >= MAX_BATCH_BYTES {
                break;
            }
        }
        match pending.front() {
            _ if ready > 0 => Poll::Ready(Writable::Replies(ready)),
            Some(PendingReply { state: ReplyState::Stream(_), .. }) => Poll::Ready(Writable::LargeValue),
            _ => Poll::Pending,
        }
    })
    .await
}
