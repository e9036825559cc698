//! The answers that a connection is owed: in the order of its commands, written as they become ready.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use brassrouter::RequestId;
use bytes::{Bytes, BytesMut};
use mothpier_host::{Host, Reading};
use mothpier_ops::{End, Ticket};
use mothpier_resp::{self as resp, Malformed};
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::AsyncWriteExt;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::timeout;

use super::ClientWriting;
use super::grammar::Rejected;
use super::reading::Inbox;
use super::session::Session;
use crate::command::{Answer, STANDSTILL, Stream as LargeValue};
use crate::input::{Asked, Input};
use crate::stream::read;

/// Answers that are ready are put into one write up to about this size.
const WRITE: usize = 64 * 1024;
/// A client that takes none of its answer for this long is cut off.
const SLOW_READER: Duration = Duration::from_secs(10);
/// When a request that finds the node's memory full may come back, milliseconds.
const FULL_RETRY_MS: u64 = 100;
/// Read from a client while an answer is being written to it: enough to notice that it has gone, and no more than one that
/// takes no answers may make the node hold.
const AHEAD: usize = 16 * 1024;

/// How far an answer is.
pub(super) enum Wait {
    /// Its bytes are there.
    Ready(Bytes),
    /// A large value, which goes on as it comes.
    Stream(LargeValue),
    /// The node has yet to give it.
    Node(RequestId, oneshot::Receiver<Answer>),
}

/// The place of one answer among those that a connection is owed.
pub(super) struct Slot {
    pub(super) wait: Wait,
    /// Held until the answer is written; only requests that went on have it.
    pub(super) memory: Option<OwnedSemaphorePermit>,
    /// Of a request: it ends, in this way, once its answer is written.
    pub(super) ticket: Option<(Ticket, End)>,
}

impl Slot {
    /// Takes the node's answer, if it waits for one and that has come.
    fn poll_node(&mut self, cx: &mut Context<'_>) {
        let Wait::Node(_, receiver) = &mut self.wait else { return };
        let Poll::Ready(answer) = Pin::new(receiver).poll(cx) else { return };
        // The node gives up a request without an answer only as it ends.
        let answer = answer.unwrap_or(Answer::Failed);
        if let Some((_, end)) = &mut self.ticket {
            *end = end_of(&answer);
        }
        self.wait = match answer {
            Answer::Stream(value) => Wait::Stream(value),
            Answer::Value(value) => Wait::Ready(resp::encode(&BytesFrame::BulkString(value))),
            Answer::Busy(0) => Wait::Ready(resp::error("BUSY")),
            Answer::Busy(ms) => Wait::Ready(resp::error(&format!("BUSY {ms}"))),
            Answer::Failed => Wait::Ready(resp::error("ERR failed")),
        };
    }
}

/// How a request ends that is answered so.
fn end_of(answer: &Answer) -> End {
    match answer {
        Answer::Value(_) | Answer::Stream(_) => End::Served,
        Answer::Busy(_) => End::Refused,
        Answer::Failed => End::Failed,
    }
}

impl<H: Host> Session<H> {
    /// Passes on the large value at the front as it comes; whether all of it has gone. Where it is cut the connection must
    /// end, for nothing else tells the client that it is.
    pub(super) async fn pass_on<R: Reading>(
        &mut self,
        inbox: &mut Inbox<'_, R>,
        writing: &mut ClientWriting<H>,
    ) -> bool {
        let Some(Slot { wait: Wait::Stream(mut value), memory, ticket }) = self.pending.pop_front() else {
            return false;
        };
        self.asked -= usize::from(memory.is_some());
        let mut left = value.length;
        let mut piece = resp::value_header(left);
        let mut taken = true;
        loop {
            taken = taken && self.deliver(&piece, inbox, writing).await;
            if left == 0 || !taken {
                break;
            }
            // Longer than its server may stand still, which ends it there.
            let next = timeout(STANDSTILL * 2, value.pieces.recv());
            match self.read_meanwhile(inbox, next).await {
                Ok(Some(next)) if next.len() <= left => piece = next,
                _ => break,
            }
            left -= piece.len();
        }
        let whole = left == 0 && taken && self.deliver(b"\r\n", inbox, writing).await;
        if let Some((ticket, _)) = ticket
            && (whole || taken)
        {
            // One that the client stopped reading was abandoned.
            ticket.end(if whole { End::Served } else { End::Failed });
        }
        whole
    }

    /// Writes answers that are ready; whether all of them have gone.
    pub(super) async fn write<R: Reading>(
        &mut self,
        ready: usize,
        inbox: &mut Inbox<'_, R>,
        writing: &mut ClientWriting<H>,
    ) -> bool {
        let bytes = self.take_answers(ready);
        let whole = self.deliver(&bytes, inbox, writing).await;
        for slot in self.pending.drain(..ready) {
            // What could not be written was abandoned: that is no end.
            if let Some((ticket, end)) = slot.ticket.filter(|_| whole) {
                ticket.end(end);
            }
        }
        whole
    }

    /// Writes to the client; whether it has taken all of it.
    async fn deliver<R: Reading>(
        &mut self,
        bytes: &[u8],
        inbox: &mut Inbox<'_, R>,
        writing: &mut ClientWriting<H>,
    ) -> bool {
        let written = timeout(SLOW_READER, writing.write_all(bytes));
        matches!(self.read_meanwhile(inbox, written).await, Ok(Ok(())))
    }

    /// Waits for a part of an answer to come or to be written. What the client sends meanwhile is read, so that
    /// it is noticed at once when it goes: it may do so with an answer half read and other requests open.
    async fn read_meanwhile<R: Reading, W: Future>(
        &mut self,
        inbox: &mut Inbox<'_, R>,
        wait: W,
    ) -> W::Output {
        let mut wait = std::pin::pin!(wait);
        loop {
            let ahead = self.state.awaits_commands() && inbox.buffer.len() < AHEAD;
            tokio::select! {
                biased;
                done = &mut wait => return done,
                more = read(inbox.reading, &mut inbox.buffer), if ahead => {
                    inbox.received = (self.clients.now)();
                    if !more {
                        self.state.hang_up();
                        self.abandon_requests().await;
                    }
                }
            }
        }
    }

    /// Fails what is open: nothing is left of the time in which it could be answered otherwise. Whether there was any.
    pub(super) async fn fail_open(&mut self) -> bool {
        self.abandon_requests().await;
        let open = self.pending.iter_mut().filter(|slot| matches!(slot.wait, Wait::Node(..)));
        open.map(|slot| slot.wait = Wait::Ready(resp::error("ERR failed"))).count() > 0
    }

    /// Nobody waits any more for what is open.
    pub(super) async fn abandon_requests(&self) {
        for slot in &self.pending {
            if let Wait::Node(id, _) = slot.wait {
                let _ = self.clients.events.send(Input::Client(Asked::Gone(id))).await;
            }
        }
    }

    /// Marks the answers as taken and gives their bytes.
    fn take_answers(&mut self, ready: usize) -> Bytes {
        let mut all = BytesMut::new();
        for slot in self.pending.iter().take(ready) {
            self.asked -= usize::from(slot.memory.is_some());
            match &slot.wait {
                Wait::Ready(bytes) if ready == 1 => return bytes.clone(),
                Wait::Ready(bytes) => all.extend_from_slice(bytes),
                Wait::Node(..) | Wait::Stream(_) => {}
            }
        }
        all.freeze()
    }

    /// Refuses a request for want of memory.
    pub(super) fn refuse(&mut self, class: usize) {
        let wait = Wait::Ready(resp::error(&format!("BUSY {FULL_RETRY_MS}")));
        let ticket = Some((self.clients.desk.figures.taken(class), End::Refused));
        self.pending.push_back(Slot { wait, memory: None, ticket });
    }

    /// Answers a command with an error.
    pub(super) fn reject(&mut self, rejected: Rejected) {
        let ticket = rejected.class.map(|class| (self.clients.desk.figures.taken(class), End::Failed));
        let wait = Wait::Ready(resp::error(&format!("ERR {}", rejected.told)));
        self.pending.push_back(Slot { wait, memory: None, ticket });
    }

    /// Says what is wrong, behind the answers that are owed, and reads no more.
    pub(super) fn protocol_error(&mut self, error: Malformed) {
        self.state.finish();
        self.answer(resp::error(&format!("ERR protocol: {error}")));
    }

    /// Answers a command that is no request.
    pub(super) fn answer(&mut self, bytes: Bytes) {
        self.pending.push_back(Slot { wait: Wait::Ready(bytes), memory: None, ticket: None });
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
