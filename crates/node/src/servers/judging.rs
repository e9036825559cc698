//! What is to be done with an answer that has come: whether it is believed to be that of the command that has waited longest.

use std::io::ErrorKind;

use bytes::BytesMut;
use mothpier_host::Reading;
use mothpier_resp as resp;
use tokio::time::Instant;

use super::connection::Shared;
use super::fence::{Order, order};
use super::line::Line;
use super::payload::{AttemptCommand, Payload};
use super::{ConnectionEnd, RESPONSE_STALL_TIMEOUT};
use crate::duplicate_responses::{Doubt, Fingerprint};
use crate::stream::{READ, more_within};

/// Bytes behind an answer that is held back: with more than this it is not waited any longer.
const MOST_HELD_BACK: usize = 4 * resp::MAX_BUFFERED_VALUE_BYTES;

/// Fences that are written at most for one answer that is doubted, and for one that will be.
const MOST_FENCES: usize = 4;
pub(super) const MOST_FENCES_AHEAD: usize = 2;

/// What is to be done with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// It is handed on.
    Believe,
    /// It may be a repeat: it is held back until a fence behind its command shows whether it is.
    AwaitFence(Doubt),
    /// It may be a repeat: the connection ends, and it is asked for again.
    AskAgain(Doubt),
}

/// Decides whether the answer that has been taken off the buffer is believed, which may take a while, and keeps its value then.
///
/// # Errors
/// How the connection ends, where it is not.
pub(super) async fn believe(
    value: Option<Fingerprint>,
    reading: &impl Reading,
    buffer: &mut BytesMut,
    shared: &Shared,
) -> Result<(), ConnectionEnd> {
    learn(value, shared);
    match weigh(value, shared) {
        Verdict::Believe => {}
        Verdict::AskAgain(doubt) => return Err(ConnectionEnd::OutOfStep(Some(doubt))),
        Verdict::AwaitFence(doubt) => {
            await_fence(doubt, reading, buffer, shared).await?;
            shared.findings.borrow_mut().confirmed(doubt);
        }
    }
    keep(value, shared);
    Ok(())
}

/// The same of a large value, which passes in pieces and can't be held back.
pub(super) fn believe_large(value: Option<Fingerprint>, shared: &Shared) -> Result<(), Doubt> {
    learn(value, shared);
    let doubt = doubt(value, shared);
    match doubt.filter(|doubt| shared.findings.borrow_mut().wants_check_of_large(*doubt)) {
        Some(doubt) => {
            shared.figures.answer_doubted();
            Err(doubt)
        }
        None => {
            keep(value, shared);
            Ok(())
        }
    }
}

/// Whether the answer to a command that has just been written will be doubted: a fence that is written behind it at once costs
/// no time.
pub(super) fn expects_doubt(command: &AttemptCommand, line: &Line, shared: &Shared) -> bool {
    let Payload::Request { command, .. } = &command.payload else { return false };
    shared.findings.borrow().has_stable_values() && line.recent.have_key(&command.key)
}

/// Learns from an answer what was doubted before, where it is the first on its connection and was asked for again.
fn learn(value: Option<Fingerprint>, shared: &Shared) {
    let line = &mut *shared.line.borrow_mut();
    let settled = line.settles.take();
    let Some(sent) = line.sent.front() else { return };
    if !matches!(sent.command.payload, Payload::Request { .. }) {
        return;
    }
    let mut findings = shared.findings.borrow_mut();
    findings.record_response();
    let Some(value) = value else { return };
    let settled = settled.filter(|(attempt, _)| *attempt == sent.attempt());
    match settled.and_then(|(_, doubt)| findings.resolve_doubt(doubt, value)) {
        Some(true) => shared.figures.doubt_confirmed(),
        Some(false) => shared.figures.doubt_refuted(),
        None => {}
    }
}

/// Why the answer that has come may not be that of the command which has waited longest: its value, if it has one, is compared
/// with those that came before it on the same connection.
fn doubt(value: Option<Fingerprint>, shared: &Shared) -> Option<Doubt> {
    let line = shared.line.borrow();
    let sent = line.sent.front().filter(|_| line.in_order == 0)?;
    let Payload::Request { command, .. } = &sent.command.payload else { return None };
    line.recent.doubt(&command.key, sent.written, value?)
}

/// Decides what is to be done with an answer that is doubted, if it is.
fn weigh(value: Option<Fingerprint>, shared: &Shared) -> Verdict {
    let Some(doubt) = doubt(value, shared) else { return Verdict::Believe };
    let mut findings = shared.findings.borrow_mut();
    let repeatable = shared.line.borrow().repeatable_fences();
    let shows_nothing = findings.is_distrusted() && repeatable >= MOST_FENCES;
    if !shows_nothing && (findings.is_often_true(doubt) || !findings.grants_check(doubt)) {
        return Verdict::AwaitFence(doubt);
    }
    shared.figures.answer_doubted();
    Verdict::AskAgain(doubt)
}

/// Keeps a value that is believed, to compare others with it.
fn keep(value: Option<Fingerprint>, shared: &Shared) {
    let line = &mut *shared.line.borrow_mut();
    let Some(sent) = line.sent.front() else { return };
    let (Payload::Request { command, .. }, Some(value)) = (&sent.command.payload, value) else { return };
    if command.write {
        shared.findings.borrow_mut().receipt(value, line.recent.is_empty());
    }
    line.recent.push(&command.key, value);
}

/// Waits, with an answer held back that has been taken off the buffer, for the answer to a fence behind its command, no longer
/// than its attempt is waited for; where it may be asked for again, no longer than answers may be silent.
///
/// # Errors
/// Where that shows a repeat, or nothing; or the connection has ended.
async fn await_fence(
    doubt: Doubt,
    reading: &impl Reading,
    buffer: &mut BytesMut,
    shared: &Shared,
) -> Result<(), ConnectionEnd> {
    shared.figures.answer_held_back();
    let (ends, silence) = {
        let mut line = shared.line.borrow_mut();
        if !line.has_fence() {
            line.want_fence(MOST_FENCES);
            shared.wake.notify_one();
        }
        let payload = line.sent.front().map(|sent| &sent.command.payload);
        let ends = payload.and_then(Payload::ends).unwrap_or_else(Instant::now);
        let may_run_twice = payload.is_some_and(Payload::may_run_twice);
        (ends, may_run_twice.then_some(RESPONSE_STALL_TIMEOUT))
    };
    let unknown = || Err(ConnectionEnd::OutOfStep(Some(doubt)));
    loop {
        let order = order(&shared.line.borrow(), buffer);
        match order {
            Order::Kept { answers } => {
                let mut line = shared.line.borrow_mut();
                line.in_order = 1 + answers;
                line.recent.found_in_step();
                return Ok(());
            }
            Order::Broken => {
                shared.findings.borrow_mut().repeated();
                return unknown();
            }
            Order::Unreadable => return unknown(),
            Order::Unknown => {}
        }
        let left = ends.saturating_duration_since(Instant::now());
        if left.is_zero() || buffer.len() > MOST_HELD_BACK {
            return unknown();
        }
        let within = silence.map_or(left, |silence| silence.min(left));
        // A server that delays small writes sends the answer to the fence only then.
        reading.acknowledge_at_once();
        match more_within(reading, buffer, READ, within).await {
            Ok(()) => {}
            Err(e) if e.kind() == ErrorKind::TimedOut => return unknown(),
            Err(_) => return Err(ConnectionEnd::Broken),
        }
    }
}
