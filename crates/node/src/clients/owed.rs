//! The answers that a connection is owed, in the order of its commands.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use brassrouter::RequestId;
use bytes::Bytes;
use mothpier_ops::{RequestEnd, RequestTicket};
use mothpier_resp as resp;
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::{OwnedSemaphorePermit, oneshot};

use crate::command::{LargeValue, Reply};

/// Answers that are ready are put into one write up to about this size.
const WRITE: usize = 64 * 1024;

/// How far an answer is.
pub(super) enum Wait {
    /// Its bytes are there.
    Ready(Bytes),
    /// A large value, which goes on as it comes.
    Stream(LargeValue),
    /// The node has yet to give it.
    Node(RequestId, oneshot::Receiver<Reply>),
}

/// The place of one answer among those that a connection is owed.
pub(super) struct Slot {
    pub(super) wait: Wait,
    /// Held until the answer is written; only requests that went on have it.
    pub(super) memory: Option<OwnedSemaphorePermit>,
    /// Of a request: it ends, in this way, once its answer is written.
    pub(super) ticket: Option<(RequestTicket, RequestEnd)>,
}

impl Slot {
    /// Whether the node has yet to give the answer.
    pub(super) fn waits(&self) -> bool {
        matches!(self.wait, Wait::Node(..))
    }

    /// Takes the node's answer, if it waits for one and that has come.
    fn poll_node(&mut self, cx: &mut Context<'_>) {
        let Wait::Node(_, receiver) = &mut self.wait else { return };
        let Poll::Ready(answer) = Pin::new(receiver).poll(cx) else { return };
        // The node gives up a request without an answer only as it ends.
        let answer = answer.unwrap_or(Reply::Failed);
        if let Some((_, end)) = &mut self.ticket {
            *end = end_of(&answer);
        }
        self.wait = match answer {
            Reply::Stream(value) => Wait::Stream(value),
            Reply::Value(value) => Wait::Ready(resp::encode(&BytesFrame::BulkString(value))),
            Reply::Busy(0) => Wait::Ready(resp::encode_error("BUSY")),
            Reply::Busy(ms) => Wait::Ready(resp::encode_error(&format!("BUSY {ms}"))),
            Reply::Failed => Wait::Ready(resp::encode_error("ERR failed")),
        };
    }
}

/// How a request ends that is answered so.
fn end_of(answer: &Reply) -> RequestEnd {
    match answer {
        Reply::Value(_) | Reply::Stream(_) => RequestEnd::Served,
        Reply::Busy(_) => RequestEnd::Refused,
        Reply::Failed => RequestEnd::Failed,
    }
}

/// What can be written to a client now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ready {
    /// So many answers at the front, at least one.
    Answers(usize),
    /// The beginning of a large value, which is at the front.
    LargeValue,
}

/// Waits until something can be written. Safe to drop and call again.
pub(super) async fn ready_answers(pending: &mut VecDeque<Slot>) -> Ready {
    poll_fn(|cx| {
        let (mut ready, mut size) = (0, 0);
        for slot in pending.iter_mut() {
            slot.poll_node(cx);
            let Wait::Ready(bytes) = &slot.wait else { break };
            (ready, size) = (ready + 1, size + bytes.len());
            if size >= WRITE {
                break;
            }
        }
        match pending.front() {
            _ if ready > 0 => Poll::Ready(Ready::Answers(ready)),
            Some(Slot { wait: Wait::Stream(_), .. }) => Poll::Ready(Ready::LargeValue),
            _ => Poll::Pending,
        }
    })
    .await
}
