//! Answers on their way to a client, and what is read from it meanwhile.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mothpier_host::{Host, Reading};
use mothpier_ops::{CloseReason, RequestEnd, RequestTicket};
use mothpier_resp::{self as resp, Malformed};
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::ClientWriting;
use super::grammar::Rejected;
use super::inbox::Inbox;
use super::owed::{Slot, Wait};
use super::session::Session;
use super::shown::ConnectionState;
use crate::command::STREAM_STALL_TIMEOUT;
use crate::input::{ClientEvent, Input};

/// A client that takes none of its answer for this long is cut off.
const SLOW_READER: Duration = Duration::from_secs(10);
/// Read from a client while an answer is being written to it: enough to notice that it has gone, and no more than one that
/// takes no answers may make the node hold.
const AHEAD: usize = 16 * 1024;

/// While no more is read, so often it is looked whether the client has gone: its attempts may begin for 0.1 s after that.
const LOOK_FOR_END: Duration = Duration::from_millis(40);

/// What is being written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    /// Answers that are there.
    Answers,
    /// A value that is passed on as it comes.
    LargeValue,
}

/// Whether a client has taken what was written to it, or why its connection has to end.
pub(super) type Taken = Result<(), CloseReason>;

impl<H: Host> Session<H> {
    /// Passes on the large value at the front as it comes. Where it is cut the connection must end, for nothing else tells the
    /// client that it is.
    pub(super) async fn pass_on<R: Reading>(
        &mut self,
        inbox: &mut Inbox<'_, R>,
        writing: &mut ClientWriting<H>,
    ) -> Taken {
        let Some(Slot { wait: Wait::Stream(mut value), memory, ticket }) = self.pending.pop_front() else {
            return Err(CloseReason::ValueCut);
        };
        self.asked -= usize::from(memory.is_some());
        let mut left = value.length;
        let mut piece = resp::value_header(left);
        let mut taken = Ok(());
        loop {
            taken = taken.and(self.deliver(&piece, Written::LargeValue, inbox, writing).await);
            if left == 0 || taken.is_err() {
                break;
            }
            // Longer than its server may stand still, which ends it there.
            let next = timeout(STREAM_STALL_TIMEOUT * 2, value.chunks.recv());
            match self.read_meanwhile(inbox, Written::LargeValue, next).await {
                Some(Ok(Some(next))) if next.len() <= left => piece = next,
                _ => break,
            }
            left -= piece.len();
        }
        let whole = match taken {
            Ok(()) if left == 0 => self.deliver(b"\r\n", Written::LargeValue, inbox, writing).await,
            Ok(()) => Err(CloseReason::ValueCut),
            Err(reason) => Err(reason),
        };
        if let Some((ticket, _)) = ticket
            && (whole.is_ok() || taken.is_ok())
        {
            // One that the client stopped reading was abandoned.
            self.answers += u64::from(whole.is_ok());
            ticket.end(if whole.is_ok() { RequestEnd::Served } else { RequestEnd::Failed });
        }
        whole
    }

    /// Writes answers that are ready.
    pub(super) async fn write<R: Reading>(
        &mut self,
        ready: usize,
        inbox: &mut Inbox<'_, R>,
        writing: &mut ClientWriting<H>,
    ) -> Taken {
        let bytes = self.take_answers(ready);
        let taken = self.deliver(&bytes, Written::Answers, inbox, writing).await;
        for slot in self.pending.drain(..ready) {
            // What could not be written was abandoned: that is no end.
            if let Some((ticket, end)) = slot.ticket.filter(|_| taken.is_ok()) {
                self.answers += 1;
                ticket.end(end);
            }
        }
        taken
    }

    /// Writes to the client.
    async fn deliver<R: Reading>(
        &mut self,
        bytes: &[u8],
        written: Written,
        inbox: &mut Inbox<'_, R>,
        writing: &mut ClientWriting<H>,
    ) -> Taken {
        let all = timeout(SLOW_READER, writing.write_all(bytes));
        match self.read_meanwhile(inbox, written, all).await {
            Some(Ok(Ok(()))) => Ok(()),
            Some(Ok(Err(_))) => Err(CloseReason::Client),
            Some(Err(_)) => Err(CloseReason::AnswerNotTaken),
            None => Err(CloseReason::RetirementOver),
        }
    }

    /// Waits for a part of an answer to come or to be written; `None` once the connection must be gone. What the client sends
    /// meanwhile is read, so that it is noticed at once when it goes: it may do so with an answer half read and other requests
    /// open.
    async fn read_meanwhile<R: Reading, W: Future>(
        &mut self,
        inbox: &mut Inbox<'_, R>,
        written: Written,
        wait: W,
    ) -> Option<W::Output> {
        let mut wait = std::pin::pin!(wait);
        let clients = self.clients.clone();
        let mut shown = false;
        loop {
            let full = inbox.buffer.len() >= AHEAD;
            let ahead = self.state.takes_bytes() && !full;
            if !ahead {
                inbox.stops_reading();
            }
            // From one that sends more than is read ahead something may come at any time.
            let received = (!full).then_some(inbox.last_byte);
            let until = clients.retiring.plans().write_until(received, written == Written::LargeValue);
            tokio::select! {
                biased;
                done = &mut wait => return Some(done),
                more = inbox.read(|| (clients.now)()), if ahead => {
                    if !more {
                        self.state.hang_up();
                        self.abandon_requests().await;
                    }
                    if !self.state.reads_commands() {
                        self.state.discard_bytes(inbox.buffer.len());
                        inbox.buffer.clear();
                    }
                }
                () = sleep(LOOK_FOR_END), if full && self.state.awaits_commands() => {
                    if inbox.reading.remote_end_closed() {
                        self.state.hang_up();
                        self.abandon_requests().await;
                    }
                }
                () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => return None,
                () = clients.retiring.changed.notified() => {}
            }
            if !std::mem::replace(&mut shown, true) {
                self.show_state(match written {
                    Written::Answers => ConnectionState::Writing,
                    Written::LargeValue => ConnectionState::LargeValue,
                });
            }
        }
    }

    /// Fails what is open: nothing is left of the time in which it could be answered otherwise.
    pub(super) async fn fail_open(&mut self) {
        self.abandon_requests().await;
        for slot in self.pending.iter_mut().filter(|slot| slot.waits()) {
            slot.wait = Wait::Ready(resp::encode_error("ERR failed"));
        }
    }

    /// Nobody waits any more for what is open.
    pub(super) async fn abandon_requests(&self) {
        for slot in &self.pending {
            if let Wait::Node(id, _) = slot.wait {
                let _ = self.clients.events.send(Input::Client(ClientEvent::Disconnected(id))).await;
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

    /// Counts a request of a class, whatever becomes of it.
    pub(super) fn take_request(&mut self, class: usize) -> RequestTicket {
        self.requests += 1;
        self.clients.desk.metrics.request_started(class)
    }

    /// Answers a command with an error.
    pub(super) fn reject(&mut self, rejected: Rejected) {
        let ticket = rejected.class.map(|class| (self.take_request(class), RequestEnd::Failed));
        let wait = Wait::Ready(resp::encode_error(&format!("ERR {}", rejected.told)));
        self.pending.push_back(Slot { wait, memory: None, ticket });
    }

    /// Says what is wrong, behind the answers that are owed, and reads no more.
    pub(super) fn protocol_error(&mut self, error: Malformed) {
        self.finish(CloseReason::Protocol);
        self.answer(resp::encode_error(&format!("ERR protocol: {error}")));
    }

    /// Answers a command that is no request.
    pub(super) fn answer(&mut self, bytes: Bytes) {
        self.pending.push_back(Slot { wait: Wait::Ready(bytes), memory: None, ticket: None });
    }
}
