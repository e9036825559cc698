//! A command of which the answer is known beforehand: it shows whether the answers ahead of it are those of the commands ahead
//! of it.
//!
//! Answers come in the order of the commands. Where each command ahead of a fence has been answered once, the answer to the
//! fence comes next; where one was answered twice, an answer of another kind is left in its place. `PING` serves as one: it is
//! a command that clients send, and its answer is never that of a read or a write.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use mothpier_resp as resp;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::Instant;

use super::connection::Shared;
use super::line::Line;
use super::payload::Kind;
use crate::duplicate_responses::LATEST_REPEAT;

/// Answers to fences that are remembered, for they may be repeated.
const REMEMBERED: usize = 8;

/// The bytes of so many fences.
fn encode(fences: usize) -> Bytes {
    resp::encode_command(["PING".into()]).repeat(fences).into()
}

/// Whether the bytes of a frame can be the answer to a fence. Cache servers answer `PING` with a line of their own or an error;
/// reads and writes are answered with an array, `-ERR failed` or `-BUSY`.
fn is_answer(frame: &[u8]) -> bool {
    match frame.first() {
        Some(b'+' | b'$') => true,
        Some(b'-') => !frame.starts_with(b"-ERR failed") && !frame.starts_with(b"-BUSY"),
        _ => false,
    }
}

/// The fences of one connection. Those that have been written stand with the command that they follow
/// ([`Sent::fences`](super::line::Sent)).
#[derive(Default)]
pub(super) struct Fences {
    /// So many are to be written before the next command.
    pub wanted: usize,
    /// So many answers to fences come before that of the next command.
    pub due: usize,
    /// When the last ones were answered.
    answered: VecDeque<Instant>,
    /// What the last one was answered with.
    answer: Option<Bytes>,
}

impl Fences {
    /// Answers that may still be repeated: those that came not long ago, and those that are due.
    pub fn repeatable(&self) -> usize {
        self.due + self.answered.iter().filter(|at| at.elapsed() < LATEST_REPEAT).count()
    }

    /// Takes a frame in the place of a fence's answer; whether it can be that.
    pub fn take(&mut self, frame: Bytes) -> bool {
        if !is_answer(&frame) {
            return false;
        }
        self.due = self.due.saturating_sub(1);
        if self.answered.len() == REMEMBERED {
            self.answered.pop_front();
        }
        self.answered.push_back(Instant::now());
        self.answer = Some(frame);
        true
    }

    /// Whether what comes next, in the place of a command's answer, is the repeat of a fence's; its length.
    pub fn repeated(&self, bytes: &[u8]) -> Option<usize> {
        self.answer.as_ref().filter(|answer| bytes.starts_with(answer)).map(Bytes::len)
    }
}

/// What the bytes behind an answer show of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Order {
    /// Nothing yet: the answer to the fence has not come.
    Unknown,
    /// The answer is that of the first command, and so many that follow are those of the next ones.
    Kept {
        /// The answers between it and the fence.
        answers: usize,
    },
    /// An answer was repeated.
    Broken,
    /// What has come can't be told apart.
    Unreadable,
}

/// Whether the answer that has been taken for the first command of a line is its own, by what has come behind it.
pub(super) fn order(line: &Line, mut behind: &[u8]) -> Order {
    for (place, sent) in line.sent.iter().enumerate() {
        // The first one's is not among them any more.
        let answers = usize::from(place > 0);
        let is_theirs = |frame: &[u8]| {
            let can_be = frame.starts_with(b"-") || !is_answer(frame) || sent.kind() == Kind::Probe;
            can_be && line.fences.repeated(frame).is_none()
        };
        match skip(&mut behind, answers, is_theirs).and_then(|()| skip(&mut behind, sent.fences, is_answer)) {
            Ok(()) if sent.fences > 0 => return Order::Kept { answers: place },
            Ok(()) => {}
            Err(order) => return order,
        }
    }
    // No fence has been written yet.
    match skip(&mut behind, 1, |_| false) {
        Ok(()) => Order::Broken,
        Err(order) => order,
    }
}

/// Takes so many whole frames off some bytes, all of one kind.
///
/// # Errors
/// What is known where that can't be done.
fn skip(bytes: &mut &[u8], frames: usize, is_of_kind: impl Fn(&[u8]) -> bool) -> Result<(), Order> {
    for _ in 0..frames {
        let frame = match resp::first_frame(bytes, resp::MAX_BUFFERED_VALUE_BYTES) {
            Ok(Some(frame)) => frame,
            Ok(None) => return Err(Order::Unknown),
            Err(_) => return Err(Order::Unreadable),
        };
        if !is_of_kind(frame) {
            return Err(Order::Broken);
        }
        *bytes = &bytes[frame.len()..];
    }
    Ok(())
}

/// An answer has come in the place of a fence's, or that of a fence in another's place.
pub(super) struct OutOfOrder;

/// Takes the answers to fences that come next, as far as they are there, and repeats of such answers.
///
/// # Errors
/// Where something else has come in their place: the server counts as one that repeats.
pub(super) fn take_answers(buffer: &mut BytesMut, shared: &Shared) -> Result<(), OutOfOrder> {
    let mut line = shared.line.borrow_mut();
    let mut findings = shared.findings.borrow_mut();
    while line.fences.due > 0 {
        match resp::take_bytes(buffer, resp::MAX_BUFFERED_VALUE_BYTES) {
            Ok(Some(frame)) if line.fences.take(frame.clone()) => {}
            Ok(None) if resp::large_value_header(buffer).is_none() => return Ok(()),
            _ => {
                findings.repeated();
                return Err(OutOfOrder);
            }
        }
    }
    while !line.sent.is_empty() {
        let Some(length) = line.fences.repeated(buffer) else { break };
        findings.repeated();
        // It may be the answer to a fence that is out: a command ahead was dropped without a word, then.
        if line.has_fence() {
            return Err(OutOfOrder);
        }
        let _ = buffer.split_to(length);
    }
    Ok(())
}

/// Writes the fences that are wanted.
///
/// # Errors
/// What ended the connection.
pub(super) async fn write_wanted(
    writing: &mut (impl AsyncWrite + Unpin),
    shared: &Shared,
) -> std::io::Result<()> {
    let wanted = shared.line.borrow().fences.wanted;
    if wanted == 0 {
        return Ok(());
    }
    writing.write_all(&encode(wanted)).await?;
    shared.line.borrow_mut().fences_written(wanted);
    Ok(())
}

#[cfg(test)]
#[path = "../../tests/unit/fence.rs"]
mod tests;
