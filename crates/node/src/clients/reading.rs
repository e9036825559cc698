//! What comes from a client: whole commands, the beginning of a large value, and requests for the node.

use brassrouter::{Micros, Request};
use bytes::{Bytes, BytesMut};
use mothpier_host::{Host, Reading};
use mothpier_ops::{CloseReason, Lifecycle, Phase, Reason, RefuseReason, RequestEnd};
use mothpier_resp::{self as resp, FrameExtent, MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES, Malformed};
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::Instant;

use super::grammar::words;
use super::owed::{Slot, Wait};
use super::session::Session;
use crate::command::Command;
use crate::event_log::EventKind;
use crate::input::{ClientEvent, Input};
use crate::stream::READ;

/// Requests of one connection that may be open; those beyond are refused.
const MAX_PIPELINE: usize = 128;
/// Memory that an open request counts for until its answer is written, beside its own value: half of the largest
/// answer that is held whole, for few are large; the pieces of one that passes are no more.
const REQUEST_KB: usize = MAX_BUFFERED_VALUE_BYTES / 2 / 1024;
/// When a request that finds no room here may come back, milliseconds.
const RETRY_MS: u64 = 100;

impl<H: Host> Session<H> {
    /// Looks at a command of which a value is still coming. Room for a large one is reserved before it is read; where there
    /// is none it will be dropped and refused.
    pub(super) fn large(&mut self, buffer: &mut BytesMut, received: Micros) {
        let Ok(FrameExtent::InValue { header, end, last }) = resp::frame_extent(buffer, MAX_VALUE_BYTES)
        else {
            return self.state.expect_head();
        };
        match last {
            true => self.state.expect_value(),
            false => self.state.expect_head(),
        }
        if end - header <= MAX_BUFFERED_VALUE_BYTES || self.state.has_reservation() {
            return;
        }
        if !last {
            return self.protocol_error(Malformed("only a value may be so large"));
        }
        if let Ok(reservation) = self.clients.memory.clone().try_acquire_many_owned((end / 1024) as u32) {
            self.state.reserve(reservation);
            return buffer.reserve(end - buffer.len());
        }
        let mut head = BytesMut::from(&buffer[..header]);
        head.extend_from_slice(b"$0\r\n\r\n");
        self.state.refuse_value(end - buffer.len());
        *buffer = BytesMut::new();
        self.refuse_large(head, received);
    }

    /// Refuses a command, given as it would be without its value: what is wrong with it is said, and a request has its class.
    fn refuse_large(&mut self, mut head: BytesMut, received: Micros) {
        let Ok(Some(frame)) = resp::take_frame(&mut head, MAX_BUFFERED_VALUE_BYTES) else { return };
        let class =
            words(frame).map(|words| self.clients.parse(&words, received).map(|(request, _)| request.class));
        match class {
            Some(Ok(class)) => self.refuse(class, RefuseReason::Memory),
            Some(Err(e)) => self.reject(e),
            None => self.protocol_error(Malformed("a command is an array of bulk strings")),
        }
    }

    /// Carries out a command that has arrived whole.
    pub(super) async fn command(
        &mut self,
        frame: BytesFrame,
        received: Micros,
        reserved: Option<OwnedSemaphorePermit>,
    ) {
        let Some(words) = words(frame) else {
            return self.protocol_error(Malformed("a command is an array of bulk strings"));
        };
        match words[0].as_ref() {
            b"CACHE.GET" | b"CACHE.SET" => match self.clients.parse(&words, received) {
                Ok((request, command)) => {
                    self.newcomer = None;
                    self.ask(request, Box::new(command), reserved).await;
                }
                Err(e) => self.reject(e),
            },
            name if name.eq_ignore_ascii_case(b"PING") => {
                self.newcomer = None;
                self.answer(pong(&self.clients.desk.lifecycle));
            }
            name if name.eq_ignore_ascii_case(b"QUIT") => {
                self.finish(CloseReason::Quit);
                self.answer(Bytes::from_static(b"+OK\r\n"));
            }
            _ => self.answer(resp::encode_error("ERR unknown command")),
        }
    }

    /// Memory of so many KB for one more request, where the connection and the node may have one.
    fn acquire_memory(&self, kilobytes: usize) -> Result<OwnedSemaphorePermit, RefuseReason> {
        let clients = &self.clients;
        if self.asked >= MAX_PIPELINE {
            return Err(RefuseReason::Pipeline);
        }
        if clients.ids.borrow().len() > clients.site.max_open_requests {
            return Err(RefuseReason::OpenRequests);
        }
        let memory = clients.memory.clone().try_acquire_many_owned(kilobytes as u32);
        memory.map_err(|_| RefuseReason::Memory)
    }

    /// Refuses a request.
    fn refuse(&mut self, class: usize, reason: RefuseReason) {
        let clients = &self.clients;
        clients.desk.metrics.refusals.increment(reason);
        clients.log.write(
            EventKind::RequestRefused,
            format_args!(
                "reason={} connection={} attempts=0 retry_after_ms={RETRY_MS}",
                reason.name(),
                self.number
            ),
        );
        let wait = Wait::Ready(resp::encode_error(&format!("BUSY {RETRY_MS}")));
        let ticket = Some((self.take_request(class), RequestEnd::Refused));
        self.pending.push_back(Slot { wait, memory: None, ticket });
    }

    /// Passes a request on to the node.
    async fn ask(&mut self, request: Request, command: Box<Command>, reserved: Option<OwnedSemaphorePermit>) {
        if self.clients.retiring.plans().refuses(!self.pending.is_empty(), Instant::now()) {
            return self.refuse(request.class, RefuseReason::Retiring);
        }
        // Memory is bounded by what open requests may hold, and one connection by its own part of them; what is
        // beyond never runs, and is told so instead of being left unread.
        let value = command.value.as_ref().filter(|_| reserved.is_none()).map_or(0, Bytes::len);
        let mut memory = match self.acquire_memory(REQUEST_KB + value.div_ceil(1024)) {
            Ok(memory) => memory,
            Err(reason) => return self.refuse(request.class, reason),
        };
        if let Some(reserved) = reserved {
            memory.merge(reserved);
        }
        let ticket = self.take_request(request.class);
        let (answer, receiver) = oneshot::channel();
        let id = request.id;
        let asked = ClientEvent::Request { request, connection: self.number, command, reply: answer };
        if self.clients.events.send(Input::Client(asked)).await.is_err() {
            return self.answer(resp::encode_error("ERR stopping"));
        }
        self.asked += 1;
        let ticket = Some((ticket, RequestEnd::Failed));
        self.pending.push_back(Slot { wait: Wait::Node(id, receiver), memory: Some(memory), ticket });
    }
}

/// The answer to a PING.
fn pong(lifecycle: &Lifecycle) -> Bytes {
    match lifecycle.phase() {
        _ if lifecycle.accepts_clients() => Bytes::from_static(b"+PONG\r\n"),
        Phase::Serving | Phase::Starting => resp::encode_error("ERR not ready: no list of servers yet"),
        Phase::Drained => resp::encode_error("ERR drained"),
        Phase::Stopping => resp::encode_error("ERR stopping"),
    }
}

/// Whether nothing has come in that is not read yet: a connection is closed only then, or a request would be lost
/// with it.
pub(super) async fn quiet(reading: &impl Reading, buffer: &mut BytesMut) -> bool {
    // Once round the runtime, which looks at the sockets then.
    tokio::task::yield_now().await;
    buffer.reserve(READ);
    !matches!(reading.try_read_buf(buffer), Ok(read) if read > 0)
}
