//! Verification of a received response: whether it belongs to the oldest command in flight.

use std::io::ErrorKind;

use bytes::BytesMut;
use mothpier_host::Reading;
use mothpier_resp as resp;
use tokio::time::Instant;

use super::connection::Shared;
use super::fence::{OrderCheck, check_order};
use super::payload::{AttemptCommand, Payload};
use super::pipeline::Pipeline;
use super::{ConnectionEnd, RESPONSE_STALL_TIMEOUT};
use crate::duplicate_responses::{Doubt, Fingerprint};
use crate::memory::ReceiveMemory;
use crate::stream::{READ_SIZE_BYTES, read_more_within};

/// A response is held back only while at most this many bytes have arrived behind it.
const MAX_HELD_BACK_BYTES: usize = 4 * resp::MAX_BUFFERED_VALUE_BYTES;

/// Most fences written for one response that is doubted, and in advance for one that will be.
const MAX_FENCES: usize = 4;
pub(super) const MAX_FENCES_IN_ADVANCE: usize = 2;

/// What to do with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// Deliver it.
    Accept,
    /// It may be a duplicate: hold it back until a fence behind its command proves whether it is.
    AwaitFence(Doubt),
    /// It may be a duplicate: end the connection and resend the command.
    Resend(Doubt),
}

/// Decides whether a response, already removed from the buffer, is accepted, which may take a while. Remembers its
/// value if so.
///
/// # Errors
/// How the connection ends if the response is not accepted.
pub(super) async fn verify(
    (value, response_bytes): (Option<Fingerprint>, usize),
    reading: &impl Reading,
    input: (&mut BytesMut, &mut ReceiveMemory),
    shared: &Shared,
) -> Result<(), ConnectionEnd> {
    resolve_earlier_doubt(value, shared);
    match decide(value, shared) {
        Verdict::Accept => {}
        Verdict::Resend(doubt) => return Err(ConnectionEnd::OutOfSync(Some(doubt))),
        Verdict::AwaitFence(doubt) => {
            await_fence(doubt, reading, input, response_bytes, shared).await?;
            shared.verification.borrow_mut().confirm(doubt);
        }
    }
    remember_value(value, shared);
    Ok(())
}

/// As [`verify`] for a large value, which is relayed in chunks and can't be held back.
pub(super) fn verify_large(value: Option<Fingerprint>, shared: &Shared) -> Result<(), Doubt> {
    resolve_earlier_doubt(value, shared);
    let doubt = current_doubt(value, shared);
    match doubt.filter(|doubt| shared.verification.borrow_mut().needs_check_of_large_value(*doubt)) {
        Some(doubt) => {
            shared.metrics.answer_doubted();
            Err(doubt)
        }
        None => {
            remember_value(value, shared);
            Ok(())
        }
    }
}

/// Whether the response to a command that was just written will be doubted. A fence written behind it at once then
/// saves a round trip.
pub(super) fn will_be_doubted(command: &AttemptCommand, pipeline: &Pipeline, shared: &Shared) -> bool {
    let Payload::Request { command, .. } = &command.payload else { return false };
    shared.verification.borrow().has_stable_values() && pipeline.recent_responses.contains_key(&command.key)
}

/// Resolves the doubt about an earlier response by the first response on a new connection.
fn resolve_earlier_doubt(value: Option<Fingerprint>, shared: &Shared) {
    let pipeline = &mut *shared.pipeline.borrow_mut();
    let resolves = pipeline.resolves.take();
    let Some(sent) = pipeline.in_flight.front() else { return };
    if !matches!(sent.command.payload, Payload::Request { .. }) {
        return;
    }
    let mut verification = shared.verification.borrow_mut();
    verification.record_response();
    let Some(value) = value else { return };
    let own_doubt = resolves.filter(|(attempt, _)| *attempt == sent.attempt());
    match own_doubt.and_then(|(_, doubt)| verification.resolve_doubt(doubt, value)) {
        Some(true) => shared.metrics.doubt_confirmed(),
        Some(false) => shared.metrics.doubt_refuted(),
        None => {}
    }
}

/// Why a response may not belong to the oldest command in flight, found by comparing its value, if any, with
/// earlier values on the same connection.
fn current_doubt(value: Option<Fingerprint>, shared: &Shared) -> Option<Doubt> {
    let pipeline = shared.pipeline.borrow();
    let sent = pipeline.in_flight.front().filter(|_| pipeline.confirmed_in_order == 0)?;
    let Payload::Request { command, .. } = &sent.command.payload else { return None };
    pipeline.recent_responses.doubt(&command.key, sent.written_at, value?)
}

/// Decides what to do with a response.
fn decide(value: Option<Fingerprint>, shared: &Shared) -> Verdict {
    let Some(doubt) = current_doubt(value, shared) else { return Verdict::Accept };
    let mut verification = shared.verification.borrow_mut();
    let duplicable = shared.pipeline.borrow().duplicable_fences();
    let proves_nothing = verification.is_distrusted() && duplicable >= MAX_FENCES;
    if !proves_nothing && (verification.is_usually_valid(doubt) || !verification.take_check_token(doubt)) {
        return Verdict::AwaitFence(doubt);
    }
    shared.metrics.answer_doubted();
    Verdict::Resend(doubt)
}

/// Remembers an accepted value for comparison with later ones.
fn remember_value(value: Option<Fingerprint>, shared: &Shared) {
    let pipeline = &mut *shared.pipeline.borrow_mut();
    let Some(sent) = pipeline.in_flight.front() else { return };
    let (Payload::Request { command, .. }, Some(value)) = (&sent.command.payload, value) else { return };
    if command.write {
        shared.verification.borrow_mut().record_write_response(value, pipeline.recent_responses.is_empty());
    }
    pipeline.recent_responses.push(&command.key, value);
}

/// Waits, while a response is held back, for the reply to a fence behind its command: until the deadline of its
/// attempt, and for commands that may be resent no longer than the stall time-out.
///
/// # Errors
/// The fence shows a duplicate or nothing, or the connection has ended.
async fn await_fence(
    doubt: Doubt,
    reading: &impl Reading,
    (buffer, memory): (&mut BytesMut, &mut ReceiveMemory),
    held_back_bytes: usize,
    shared: &Shared,
) -> Result<(), ConnectionEnd> {
    shared.metrics.answer_held_back();
    let (deadline, stall_timeout) = {
        let mut pipeline = shared.pipeline.borrow_mut();
        if !pipeline.has_pending_fence() {
            pipeline.request_fences(MAX_FENCES);
            shared.work_available.notify_one();
        }
        let payload = pipeline.in_flight.front().map(|sent| &sent.command.payload);
        let deadline = payload.and_then(Payload::deadline).unwrap_or_else(Instant::now);
        let may_run_twice = payload.is_some_and(Payload::may_run_twice);
        (deadline, may_run_twice.then_some(RESPONSE_STALL_TIMEOUT))
    };
    let unresolved = || Err(ConnectionEnd::OutOfSync(Some(doubt)));
    loop {
        let order = check_order(&shared.pipeline.borrow(), buffer);
        match order {
            OrderCheck::InOrder { responses } => {
                let mut pipeline = shared.pipeline.borrow_mut();
                pipeline.confirmed_in_order = 1 + responses;
                pipeline.recent_responses.confirm_in_sync();
                return Ok(());
            }
            OrderCheck::DuplicateFound => {
                shared.verification.borrow_mut().record_duplicate();
                return unresolved();
            }
            OrderCheck::Unreadable => return unresolved(),
            OrderCheck::Unknown => {}
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() || buffer.len() > MAX_HELD_BACK_BYTES {
            return unresolved();
        }
        let within = stall_timeout.map_or(remaining, |stall_timeout| stall_timeout.min(remaining));
        // The response that is held back has left the buffer.
        let needed = held_back_bytes + buffer.len() + READ_SIZE_BYTES;
        if memory.reserve(needed, within).await.is_err() {
            return unresolved();
        }
        // A server that delays small writes sends the fence reply only after this acknowledgement.
        reading.acknowledge_at_once();
        match read_more_within(reading, buffer, READ_SIZE_BYTES, within).await {
            Ok(()) => {}
            Err(e) if e.kind() == ErrorKind::TimedOut => return unresolved(),
            Err(_) => return Err(ConnectionEnd::Broken),
        }
    }
}
