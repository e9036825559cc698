//! Writing replies to a client, and reading from it meanwhile.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::time::Duration;

use bytes::Bytes;
use mothpier_host::{Host, Reading};
use mothpier_ops::{CloseReason, RequestEnd, RequestTicket};
use mothpier_resp::{self as resp, Malformed};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::ClientWriting;
use super::connection_state::ConnectionState;
use super::inbox::{DISCONNECT_POLL_INTERVAL, Inbox};
use super::input_state::InputUse;
use super::parsing::Rejected;
use super::pending_replies::PendingReply;
use super::session::Session;
use crate::input::Input;

/// A client that reads nothing of its reply for this long is disconnected.
const SLOW_CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes read from a client while a reply is written to it: enough to notice that it has gone, and a bound on the
/// memory used for a client that does not read its replies.
const READ_AHEAD_BYTES: usize = 16 * 1024;

/// A client that has closed its side may still read, but a value that stands still for this long is not awaited for it.
const LEFT_CLIENT_PIECE_TIMEOUT: Duration = Duration::from_secs(1);

/// Length of the queue of replies that a connection keeps while it has no request.
const RETAINED_QUEUE_LENGTH: usize = 16;

/// What is being written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteKind {
    /// Complete replies.
    Replies,
    /// A piece of a value that is relayed as it arrives.
    LargeValue,
    /// Nothing until the next piece of such a value arrives.
    AwaitsPiece,
}

impl WriteKind {
    /// Whether it belongs to a value that is relayed as it arrives.
    fn is_large(self) -> bool {
        matches!(self, WriteKind::LargeValue | WriteKind::AwaitsPiece)
    }
}

/// Whether the client has read what was written to it, or why its connection has to end.
pub(super) type WriteResult = Result<(), CloseReason>;

impl<H: Host> Session<H> {
    /// Writes replies that are ready.
    pub(super) async fn write_replies<R: Reading>(
        &mut self,
        ready: usize,
        inbox: &mut Inbox<'_, R>,
        writing: &mut ClientWriting<H>,
    ) -> WriteResult {
        let bytes = self.take_ready_bytes(ready);
        let result = self.write_bytes(&bytes, WriteKind::Replies, inbox, writing).await;
        for reply in self.pending.drain(..ready) {
            // A request whose reply could not be written was abandoned and has no end.
            if result.is_ok() {
                self.replies += reply.count_end();
            }
        }
        // A shorter queue always finds room.
        let _ = self.reserve_queue();
        // An idle connection must not keep the queue that its busiest time needed.
        if self.pending.is_empty() {
            self.pending.shrink_to(RETAINED_QUEUE_LENGTH);
        }
        result
    }

    /// Writes bytes to the client.
    pub(super) async fn write_bytes<R: Reading>(
        &mut self,
        bytes: &[u8],
        kind: WriteKind,
        inbox: &mut Inbox<'_, R>,
        writing: &mut ClientWriting<H>,
    ) -> WriteResult {
        let taken_at = self.taken_at.clone();
        let all = timeout(SLOW_CLIENT_TIMEOUT, write_all(writing, bytes, &taken_at));
        match self.read_while_waiting(inbox, kind, all).await {
            Some(Ok(Ok(()))) => Ok(()),
            Some(Ok(Err(_))) => Err(CloseReason::Client),
            Some(Err(_)) => Err(CloseReason::AnswerNotTaken),
            None => Err(self.interrupted_write_reason()),
        }
    }

    /// Why a reply is not written any further.
    fn interrupted_write_reason(&self) -> CloseReason {
        if self.input.client_has_closed() { CloseReason::Client } else { CloseReason::RetirementOver }
    }

    /// Waits for a part of a reply to arrive or to be written; `None` once the connection must end. Bytes from the client
    /// are read meanwhile so that a disconnect is noticed at once: the client may leave with a reply half read and other
    /// requests open. A large value that stands still ends then.
    pub(super) async fn read_while_waiting<R: Reading, W: Future>(
        &mut self,
        inbox: &mut Inbox<'_, R>,
        kind: WriteKind,
        wait: W,
    ) -> Option<W::Output> {
        let mut wait = std::pin::pin!(wait);
        let clients = self.clients.clone();
        let mut published = false;
        // A client that has closed its side before counts from the beginning of this wait.
        let mut left_at = Instant::now();
        loop {
            let buffer_full = inbox.buffer.len() >= READ_AHEAD_BYTES;
            let input_use = self.input.input_use().filter(|_| !(buffer_full && self.input.reads_commands()));
            if input_use != Some(InputUse::Read) {
                inbox.pause_reading();
            }
            // More bytes may arrive at any time from a client that sends more than is read ahead.
            let received = (!buffer_full).then_some(inbox.last_read_at);
            let has_large_value_grace = self.relays_to_client(kind);
            let write_until =
                |taking| clients.retirement.plans().write_until(received, has_large_value_grace, taking);
            let until = write_until(self.taking());
            let awaits_piece_for_left_client =
                kind == WriteKind::AwaitsPiece && self.input.client_has_closed();
            let mut has_left = false;
            tokio::select! {
                biased;
                done = &mut wait => return Some(done),
                more = inbox.receive(input_use.unwrap_or(InputUse::Discard), || (clients.now)()),
                    if input_use.is_some() =>
                {
                    has_left = !more;
                }
                () = sleep(DISCONNECT_POLL_INTERVAL), if buffer_full && self.input.awaits_commands() => {
                    has_left = inbox.reading.remote_end_closed();
                }
                () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => {
                    // Unless the client has taken something meanwhile.
                    if write_until(self.taking()) <= until {
                        return None;
                    }
                }
                () = sleep_until(left_at + LEFT_CLIENT_PIECE_TIMEOUT), if awaits_piece_for_left_client => return None,
                () = clients.retirement.changed.notified() => {}
            }
            if has_left {
                self.input.hang_up();
                self.abandon_requests().await;
                (left_at, published) = (Instant::now(), false);
            }
            if !std::mem::replace(&mut published, true) {
                self.publish_state(match self.relays_to_client(kind) {
                    false => ConnectionState::Writing,
                    true => ConnectionState::LargeValue,
                });
            }
        }
    }

    /// Whether a large value is written to a client that is still there: the end of a process waits for no other.
    fn relays_to_client(&self, kind: WriteKind) -> bool {
        kind.is_large() && !self.input.client_has_closed()
    }

    /// Fails all open requests: there is no time left to answer them otherwise.
    pub(super) async fn fail_open_requests(&mut self) {
        self.abandon_requests().await;
        self.pending.iter_mut().filter(|reply| reply.is_pending()).for_each(PendingReply::fail);
    }

    /// Notifies the node that nobody waits any more for the open requests that it has not replied to.
    pub(super) async fn abandon_requests(&mut self) {
        for reply in &mut self.pending {
            if let Some(request) = reply.give_up() {
                let _ = self.clients.events.send(Input::ClientGone(request)).await;
            }
        }
    }

    /// Marks the replies as written and returns their bytes, which no longer stand in the replies themselves.
    fn take_ready_bytes(&mut self, ready: usize) -> Bytes {
        let mut taken = Vec::with_capacity(ready);
        for reply in self.pending.iter_mut().take(ready) {
            self.forwarded_requests -= usize::from(reply.forwarded);
            taken.push(reply.take_bytes());
        }
        match taken.len() {
            1 => taken.swap_remove(0),
            _ => taken.concat().into(),
        }
    }

    /// Counts a request of a class, whatever its outcome.
    pub(super) fn count_request(&mut self, class: usize) -> RequestTicket {
        self.requests += 1;
        self.clients.ops_endpoint.metrics.request_started(class)
    }

    /// Replies to a command with an error.
    pub(super) fn reject(&mut self, rejected: Rejected) {
        let ticket = rejected.class.map(|class| (self.count_request(class), RequestEnd::Failed));
        let reply = resp::encode_error(&format!("ERR {}", rejected.message));
        self.pending.push_back(PendingReply::ready(reply, ticket));
    }

    /// Reports a protocol error behind the pending replies, and stops reading commands.
    pub(super) fn protocol_error(&mut self, error: Malformed) {
        self.finish(CloseReason::Protocol);
        self.push_reply(resp::encode_error(&format!("ERR protocol: {error}")));
    }

    /// Queues a reply to a command that is not a request.
    pub(super) fn push_reply(&mut self, bytes: Bytes) {
        self.pending.push_back(PendingReply::ready(bytes, None));
    }
}

/// Writes all bytes, and records when the client last took some.
async fn write_all(
    writing: &mut (impl AsyncWrite + Unpin),
    mut bytes: &[u8],
    taken_at: &Cell<Option<Instant>>,
) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = writing.write(bytes).await?;
        if written == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        taken_at.set(Some(Instant::now()));
        bytes = &bytes[written..];
    }
    Ok(())
}
