//! Handles input from a client: complete commands, large values that are still arriving, and requests for the node.

use brassrouter::{Micros, Request};
use bytes::{Bytes, BytesMut};
use mothpier_host::{Host, Reading};
use mothpier_ops::{CloseReason, Lifecycle, Phase, Reason, RefuseReason};
use mothpier_resp::{self as resp, FrameExtent, MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES, Malformed};
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::inbox::Inbox;
use super::parsing::command_arguments;
use super::pending_replies::PendingReply;
use super::session::Session;
use crate::command::{Command, REFUSED_RETRY_AFTER_MS};
use crate::event_log::EventKind;
use crate::input::NewRequest;
use crate::memory::{MemoryPermit, ReplyMemory, UNRESERVED_BUFFER_BYTES, USUAL_RESPONSE_BYTES, permits};
use crate::stream::READ_SIZE_BYTES;

/// Limit of open requests on one connection; further ones are refused.
const MAX_PIPELINE: usize = 128;
/// Limit of a command without its value. Key, id and extras of the greatest length fit into it.
const MAX_HEAD_BYTES: usize = 8 * 1024;
impl<H: Host> Session<H> {
    /// Inspects a command whose value is still arriving. Memory for a value that is more than one read is reserved before it
    /// is read; if there is none, the value will be discarded and the request refused.
    pub(super) fn handle_incomplete_command<R: Reading>(&mut self, inbox: &mut Inbox<'_, R>) {
        let Ok(FrameExtent::InValue { header, end, last }) =
            resp::frame_extent(&inbox.buffer, MAX_VALUE_BYTES)
        else {
            inbox.set_least_complete(inbox.buffer.len() + 1);
            return self.input.expect_head();
        };
        inbox.set_least_complete(end);
        match last {
            true => self.input.expect_value(),
            false => self.input.expect_head(),
        }
        if !last && end > MAX_HEAD_BYTES {
            return self.protocol_error(Malformed("only a value may be so large"));
        }
        if !last || end <= UNRESERVED_BUFFER_BYTES || self.input.has_reservation() {
            return;
        }
        let length = inbox.buffer.len();
        if let Ok(reservation) = self.clients.memory.reserve_for_request(end) {
            self.input.reserve(reservation);
            // With room for one more read, so that the buffer does not grow again at the end of the value.
            return inbox.buffer.reserve(end - length + READ_SIZE_BYTES);
        }
        let mut head = BytesMut::from(&inbox.buffer[..header]);
        head.extend_from_slice(b"$0\r\n\r\n");
        self.input.refuse_value(end - length);
        inbox.clear();
        self.refuse_large_value(head, inbox.received_at());
    }

    /// Refuses a command, given without its value. An invalid command is answered with its error, and a request is
    /// counted in its class.
    fn refuse_large_value(&mut self, mut head: BytesMut, received_at: Micros) {
        let Ok(Some(frame)) = resp::take_frame(&mut head, MAX_BUFFERED_VALUE_BYTES) else { return };
        let class = command_arguments(frame).map(|arguments| {
            self.clients.parse_request(&arguments, received_at).map(|(request, _)| request.class)
        });
        match class {
            Some(Ok(class)) => self.refuse(class, RefuseReason::Memory),
            Some(Err(e)) => self.reject(e),
            None => self.protocol_error(Malformed("a command is an array of bulk strings")),
        }
    }

    /// Executes a complete command.
    pub(super) async fn execute(
        &mut self,
        frame: BytesFrame,
        received_at: Micros,
        reserved: Option<MemoryPermit>,
    ) {
        let Some(arguments) = command_arguments(frame) else {
            return self.protocol_error(Malformed("a command is an array of bulk strings"));
        };
        match arguments[0].as_ref() {
            b"CACHE.GET" | b"CACHE.SET" => match self.clients.parse_request(&arguments, received_at) {
                Ok((request, command)) => {
                    self.newcomer = None;
                    self.submit(request, Box::new(command), received_at, reserved).await;
                }
                Err(e) => self.reject(e),
            },
            name if name.eq_ignore_ascii_case(b"PING") => {
                self.newcomer = None;
                self.push_reply(pong(&self.clients.ops_endpoint.lifecycle));
            }
            name if name.eq_ignore_ascii_case(b"QUIT") => {
                self.finish(CloseReason::Quit);
                self.push_reply(Bytes::from_static(b"+OK\r\n"));
            }
            _ => self.push_reply(resp::encode_error("ERR unknown command")),
        }
    }

    /// Acquires memory for one more request, if the limits of the connection and the node allow it.
    fn acquire_memory(&self, bytes: usize) -> Result<MemoryPermit, RefuseReason> {
        let clients = &self.clients;
        if self.forwarded_requests >= MAX_PIPELINE {
            return Err(RefuseReason::Pipeline);
        }
        if clients.open_ids.borrow().len() > clients.settings.max_open_requests {
            return Err(RefuseReason::OpenRequests);
        }
        clients.memory.reserve_for_request(bytes).map_err(|_| RefuseReason::Memory)
    }

    /// Refuses a request.
    fn refuse(&mut self, class: usize, reason: RefuseReason) {
        let clients = &self.clients;
        clients.ops_endpoint.metrics.refusals.increment(reason);
        clients.log.write(
            EventKind::RequestRefused,
            format_args!(
                "reason={} connection={} attempts=0 retry_after_ms={REFUSED_RETRY_AFTER_MS}",
                reason.name(),
                self.number
            ),
        );
        let ticket = self.count_request(class);
        let ticket = match self.pending.back_mut() {
            Some(last) => last.add_refusal(ticket),
            None => Err(ticket),
        };
        if let Err(ticket) = ticket {
            self.pending.push_back(PendingReply::refusal(ticket));
        }
    }

    /// Forwards a request to the node.
    async fn submit(
        &mut self,
        request: Request,
        mut command: Box<Command>,
        received_at: Micros,
        reserved: Option<MemoryPermit>,
    ) {
        if self.clients.retirement.plans().refuses(!self.pending.is_empty(), Instant::now()) {
            return self.refuse(request.class, RefuseReason::Retiring);
        }
        // Memory is bounded by what open requests may hold, and each connection by its own share of them. Requests beyond
        // that are refused instead of being left unread.
        let value = command.value.as_ref().filter(|_| reserved.is_none()).map_or(0, Bytes::len);
        let mut memory = match self.acquire_memory(USUAL_RESPONSE_BYTES + value) {
            Ok(memory) => memory,
            Err(reason) => return self.refuse(request.class, reason),
        };
        let for_value = memory.num_permits().saturating_sub(permits(USUAL_RESPONSE_BYTES));
        command.value_memory = reserved.or_else(|| memory.split(for_value));
        command.reply_memory.set(Some(ReplyMemory::new(self.clients.memory.clone(), memory)));
        let ticket = self.count_request(request.class);
        let (reply, receiver) = oneshot::channel();
        let id = request.id;
        let new = NewRequest { request, connection: self.number, received_at, command, reply };
        if self.clients.requests.send(new).await.is_err() {
            return self.push_reply(resp::encode_error("ERR stopping"));
        }
        self.forwarded_requests += 1;
        self.pending.push_back(PendingReply::forwarded(id, receiver, ticket));
    }
}

/// The reply to a PING.
fn pong(lifecycle: &Lifecycle) -> Bytes {
    match lifecycle.phase() {
        _ if lifecycle.accepts_clients() => Bytes::from_static(b"+PONG\r\n"),
        Phase::Serving | Phase::Starting => resp::encode_error("ERR not ready: no list of servers yet"),
        Phase::Drained => resp::encode_error("ERR drained"),
        Phase::Stopping => resp::encode_error("ERR stopping"),
    }
}
