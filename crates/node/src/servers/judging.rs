//! What is to be done with an answer that has come: whether it is believed to be that of the command that has waited longest.

use bytes::BytesMut;
use mothpier_host::Reading;
use mothpier_resp as resp;
use tokio::time::timeout;

use super::connection::Shared;
use super::payload::Payload;
use super::{ConnectionEnd, LONGEST_SILENCE};
use crate::repeats::{Doubt, Fingerprint};
use crate::stream::{READ, more};

/// Bytes behind an answer that is held back: with more than this it is not waited any longer.
const MOST_HELD_BACK: usize = 4 * resp::WHOLE;

/// What is to be done with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// It is handed on.
    Believe,
    /// It may be the answer to the command before, and may not be asked for again: it is held back until the connection
    /// shows whether one answer more comes than commands were written.
    HoldBack,
    /// It may be a repeat, and its value is being asked for again for another command: it is held back until that is known.
    AwaitCheck(Doubt),
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
    let mut verdict = weigh(value, shared);
    if let Verdict::AwaitCheck(doubt) = verdict {
        let is_under_check = || shared.findings.borrow().is_under_check(doubt);
        hold_back(reading, buffer, shared, is_under_check).await?;
        verdict = weigh_now(value, shared);
    }
    match verdict {
        Verdict::Believe => {}
        Verdict::AskAgain(doubt) | Verdict::AwaitCheck(doubt) => {
            return Err(ConnectionEnd::OutOfStep(Some(doubt)));
        }
        Verdict::HoldBack => {
            hold_back(reading, buffer, shared, || true).await?;
            shared.line.borrow_mut().recent.found_in_step();
        }
    }
    keep(value, shared);
    Ok(())
}

/// The same of a large value, which passes in pieces and can't be held back.
pub(super) fn believe_large(value: Option<Fingerprint>, shared: &Shared) -> Result<(), Doubt> {
    learn(value, shared);
    match weigh_now(value, shared) {
        Verdict::AskAgain(doubt) | Verdict::AwaitCheck(doubt) => Err(doubt),
        Verdict::Believe | Verdict::HoldBack => {
            keep(value, shared);
            Ok(())
        }
    }
}

/// Learns from an answer what was doubted before, where it is the first on its connection and was asked for again.
fn learn(value: Option<Fingerprint>, shared: &Shared) {
    let line = &mut *shared.line.borrow_mut();
    let settled = line.settles.take();
    let Some(sent) = line.sent.front() else { return };
    let Payload::Request { command, .. } = &sent.command.payload else { return };
    let mut findings = shared.findings.borrow_mut();
    findings.answered();
    let Some(value) = value else { return };
    let settled = settled.filter(|(attempt, _)| *attempt == sent.attempt());
    match settled.and_then(|(_, doubt)| findings.settle(doubt, value)) {
        Some(true) => {
            shared.figures.doubt_confirmed();
            shared.known_values.borrow_mut().insert(&command.key, value);
        }
        Some(false) => shared.figures.doubt_refuted(),
        None => {}
    }
}

/// Compares an answer's value, if it has one, with those that came before it on the same connection.
fn weigh(value: Option<Fingerprint>, shared: &Shared) -> Verdict {
    let doubt = doubt(value, shared);
    match doubt.filter(|doubt| shared.findings.borrow().is_under_check(*doubt)) {
        Some(doubt) => Verdict::AwaitCheck(doubt),
        None => weigh_now(value, shared),
    }
}

/// Why the answer that has come may not be that of the command which has waited longest.
fn doubt(value: Option<Fingerprint>, shared: &Shared) -> Option<Doubt> {
    let line = shared.line.borrow();
    let sent = line.sent.front()?;
    let Payload::Request { command, .. } = &sent.command.payload else { return None };
    line.recent.doubt(&command.key, sent.written, value?)
}

/// As [`weigh`], with what is known now.
fn weigh_now(value: Option<Fingerprint>, shared: &Shared) -> Verdict {
    let doubt = doubt(value, shared);
    let line = shared.line.borrow();
    let (Some(sent), Some(value)) = (line.sent.front(), value) else { return Verdict::Believe };
    let Payload::Request { command, .. } = &sent.command.payload else { return Verdict::Believe };
    let mut findings = shared.findings.borrow_mut();
    let mut known_values = shared.known_values.borrow_mut();
    let Some(doubt) = doubt else {
        if !command.write && findings.is_common(value) {
            known_values.insert(&command.key, value);
        }
        return Verdict::Believe;
    };
    let wants_check = match command.write {
        // A write can't be asked again.
        true => findings.wants_check(doubt),
        false => {
            let is_believed = known_values.contains(&command.key, value) || !line.may_end_for_check();
            let in_flight = u32::try_from(line.sent.len()).unwrap_or(u32::MAX);
            findings.wants_check_of_read(doubt, is_believed, in_flight)
        }
    };
    if wants_check {
        shared.figures.answer_doubted();
        return Verdict::AskAgain(doubt);
    }
    match doubt.is_behind_repeat() {
        true => Verdict::HoldBack,
        false => Verdict::Believe,
    }
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

/// Waits, with an answer held back that has been taken off the buffer, as long as there is a reason to, and no longer than an answer
/// may be overdue. Nothing new is written meanwhile: its answer could not be told from one that is too many.
///
/// # Errors
/// Where one answer more has come than commands wait, or the connection has ended.
async fn hold_back(
    reading: &impl Reading,
    buffer: &mut BytesMut,
    shared: &Shared,
    has_reason: impl Fn() -> bool,
) -> Result<(), ConnectionEnd> {
    shared.figures.answer_held_back();
    shared.line.borrow_mut().is_paused = true;
    let held = timeout(LONGEST_SILENCE, wait_for_surplus(reading, buffer, shared, has_reason)).await;
    shared.line.borrow_mut().is_paused = false;
    shared.wake.notify_one();
    held.unwrap_or(Ok(()))
}

/// Reads on while there is a reason to, until one answer more has come than commands wait.
async fn wait_for_surplus(
    reading: &impl Reading,
    buffer: &mut BytesMut,
    shared: &Shared,
    has_reason: impl Fn() -> bool,
) -> Result<(), ConnectionEnd> {
    let check_ended = shared.findings.borrow().check_ended.clone();
    while has_reason() && buffer.len() <= MOST_HELD_BACK {
        let behind = shared.line.borrow().sent.len().saturating_sub(1);
        if resp::whole_frames(buffer, resp::WHOLE) > behind {
            shared.findings.borrow_mut().repeated();
            return Err(ConnectionEnd::OutOfStep(None));
        }
        tokio::select! {
            biased;
            read = more(reading, buffer, READ) => read.map_err(|_| ConnectionEnd::Broken)?,
            () = check_ended.notified() => {}
        }
    }
    Ok(())
}
