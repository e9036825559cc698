//! Fences: commands with a known reply, which show whether the responses before that reply match their commands.
//!
//! Responses arrive in the order of the commands. If each command before a fence was answered once, the reply to the
//! fence comes next; if one was answered twice, a response of another kind arrives in its place. `PING` serves as
//! the fence: clients send it, too, and its reply differs from any response to a read or a write.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use mothpier_resp as resp;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::Instant;

use super::connection::Shared;
use super::payload::CommandKind;
use super::pipeline::Pipeline;
use crate::duplicate_responses::MAX_DUPLICATE_DELAY;

/// Number of fence replies remembered because they may be duplicated.
const REMEMBERED_FENCE_REPLIES: usize = 8;

/// Encodes this many fences.
fn encode_fences(fences: usize) -> Bytes {
    resp::encode_command(["PING".into()]).repeat(fences).into()
}

/// Whether a frame can be the reply to a fence. Cache servers answer `PING` with a line of its own or an error; reads
/// and writes are answered with an array, `-ERR failed` or `-BUSY`.
fn is_fence_reply(frame: &[u8]) -> bool {
    match frame.first() {
        Some(b'+' | b'$') => true,
        Some(b'-') => !frame.starts_with(b"-ERR failed") && !frame.starts_with(b"-BUSY"),
        _ => false,
    }
}

/// The fences of one connection. Those already written are counted at the command that they follow
/// ([`InFlightCommand::fences_behind`](super::pipeline::InFlightCommand)).
#[derive(Default)]
pub(super) struct Fences {
    /// Number of fences to write before the next command.
    pub requested: usize,
    /// Number of fence replies expected before the response to the next command.
    pub awaited: usize,
    /// When the last replies arrived.
    replied_at: VecDeque<Instant>,
    /// The last reply.
    last_reply: Option<Bytes>,
}

impl Fences {
    /// Number of replies that may still be duplicated: recent ones and those awaited.
    pub fn duplicable(&self) -> usize {
        self.awaited + self.replied_at.iter().filter(|at| at.elapsed() < MAX_DUPLICATE_DELAY).count()
    }

    /// Consumes a frame in the place of a fence reply; returns whether it can be one.
    pub fn accept_reply(&mut self, frame: Bytes) -> bool {
        if !is_fence_reply(&frame) {
            return false;
        }
        self.awaited = self.awaited.saturating_sub(1);
        if self.replied_at.len() == REMEMBERED_FENCE_REPLIES {
            self.replied_at.pop_front();
        }
        self.replied_at.push_back(Instant::now());
        self.last_reply = Some(frame);
        true
    }

    /// If the bytes in the place of a command's response are a duplicate of a fence reply, returns the reply's length.
    pub fn duplicate_length(&self, bytes: &[u8]) -> Option<usize> {
        self.last_reply.as_ref().filter(|reply| bytes.starts_with(reply)).map(Bytes::len)
    }
}

/// What the bytes behind a response prove about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderCheck {
    /// Nothing yet: the reply to the fence has not arrived.
    Unknown,
    /// The response belongs to the first command, and the following ones to the next commands.
    InOrder {
        /// Number of responses between it and the fence reply.
        responses: usize,
    },
    /// A response was duplicated.
    DuplicateFound,
    /// The bytes cannot be parsed.
    Unreadable,
}

/// Checks by the bytes behind it whether the response assigned to the first command of a pipeline is its own.
pub(super) fn check_order(pipeline: &Pipeline, mut behind: &[u8]) -> OrderCheck {
    for (index, sent) in pipeline.in_flight.iter().enumerate() {
        // The response to the first command has been removed from the buffer.
        let responses = usize::from(index > 0);
        let is_theirs = |frame: &[u8]| {
            let can_be_response =
                frame.starts_with(b"-") || !is_fence_reply(frame) || sent.kind() == CommandKind::Probe;
            can_be_response && pipeline.fences.duplicate_length(frame).is_none()
        };
        match skip_frames(&mut behind, responses, is_theirs)
            .and_then(|()| skip_frames(&mut behind, sent.fences_behind, is_fence_reply))
        {
            Ok(()) if sent.fences_behind > 0 => return OrderCheck::InOrder { responses: index },
            Ok(()) => {}
            Err(order) => return order,
        }
    }
    // No fence has been written yet.
    match skip_frames(&mut behind, 1, |_| false) {
        Ok(()) => OrderCheck::DuplicateFound,
        Err(order) => order,
    }
}

/// Skips this many complete frames, all of one kind.
///
/// # Errors
/// The result of the check if that is not possible.
fn skip_frames(
    bytes: &mut &[u8],
    frames: usize,
    is_of_kind: impl Fn(&[u8]) -> bool,
) -> Result<(), OrderCheck> {
    for _ in 0..frames {
        let frame = match resp::first_frame(bytes, resp::MAX_BUFFERED_VALUE_BYTES) {
            Ok(Some(frame)) => frame,
            Ok(None) => return Err(OrderCheck::Unknown),
            Err(_) => return Err(OrderCheck::Unreadable),
        };
        if !is_of_kind(frame) {
            return Err(OrderCheck::DuplicateFound);
        }
        *bytes = &bytes[frame.len()..];
    }
    Ok(())
}

/// A response arrived in the place of a fence reply, or a fence reply in the place of a response.
pub(super) struct UnexpectedReply;

/// Consumes the fence replies that come next, as far as they have arrived, and duplicates of them.
///
/// # Errors
/// Something else arrived in their place: the server is now known to send duplicates.
pub(super) fn take_fence_replies(buffer: &mut BytesMut, shared: &Shared) -> Result<(), UnexpectedReply> {
    let mut pipeline = shared.pipeline.borrow_mut();
    let mut verification = shared.verification.borrow_mut();
    while pipeline.fences.awaited > 0 {
        match resp::take_bytes(buffer, resp::MAX_BUFFERED_VALUE_BYTES) {
            Ok(Some(frame)) if pipeline.fences.accept_reply(frame.clone()) => {}
            Ok(None) if resp::large_value_header(buffer).is_none() => return Ok(()),
            _ => {
                verification.record_duplicate();
                return Err(UnexpectedReply);
            }
        }
    }
    while !pipeline.in_flight.is_empty() {
        let Some(length) = pipeline.fences.duplicate_length(buffer) else { break };
        verification.record_duplicate();
        // It may be the reply to a fence in flight, in which case a command ahead was silently dropped.
        if pipeline.has_pending_fence() {
            return Err(UnexpectedReply);
        }
        let _ = buffer.split_to(length);
    }
    Ok(())
}

/// Writes the requested fences.
///
/// # Errors
/// The error that ended the connection.
pub(super) async fn write_requested_fences(
    writing: &mut (impl AsyncWrite + Unpin),
    shared: &Shared,
) -> std::io::Result<()> {
    let requested = shared.pipeline.borrow().fences.requested;
    if requested == 0 {
        return Ok(());
    }
    writing.write_all(&encode_fences(requested)).await?;
    shared.pipeline.borrow_mut().record_fences_written(requested);
    Ok(())
}

#[cfg(test)]
#[path = "../../tests/unit/fence.rs"]
mod tests;
