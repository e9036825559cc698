//! What is to be done with an answer that has come: whether it is believed to be that of the command that has waited longest.

use tokio::time::{Instant, timeout_at};

use mothpier_host::Reading;
use mothpier_resp as resp;

use super::LONGEST_SILENCE;
use super::connection::Shared;
use super::payload::Payload;
use crate::repeats::{Doubt, Fingerprint};
use crate::stream::{READ, more};

/// Bytes behind an answer that is held back: with more than this it is not waited any longer.
const MOST_HELD_BACK: usize = 4 * resp::WHOLE;

/// What is to be done with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is handed on.
    Believe,
    /// It may be the answer to the command before, and may not be asked for again: it is held back until the connection
    /// shows whether one answer more comes than commands were written.
    HoldBack,
    /// It may be a repeat: the connection ends, and it is asked for again.
    AskAgain(Doubt),
}

/// Compares an answer's value, if it has one, with those that came before it on the same connection. One that is believed is to
/// be [kept](keep).
pub(super) fn judge(value: Option<Fingerprint>, shared: &Shared) -> Verdict {
    let line = &mut *shared.line.borrow_mut();
    let settled = line.settles.take();
    let Some(sent) = line.sent.front() else { return Verdict::Believe };
    let Payload::Request { command, .. } = &sent.command.payload else { return Verdict::Believe };
    let mut findings = shared.findings.borrow_mut();
    let mut known_values = shared.known_values.borrow_mut();
    findings.answered();
    let Some(value) = value else { return Verdict::Believe };
    let settled = settled.filter(|(attempt, _)| *attempt == sent.attempt());
    match settled.and_then(|(_, doubt)| findings.settle(doubt, value)) {
        Some(true) => {
            shared.figures.doubt_confirmed();
            known_values.insert(&command.key, value);
        }
        Some(false) => shared.figures.doubt_refuted(),
        None => {}
    }
    let Some(doubt) = line.recent.doubt(&command.key, sent.written, value) else {
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
pub(super) fn keep(value: Option<Fingerprint>, shared: &Shared) {
    let line = &mut *shared.line.borrow_mut();
    let Some(sent) = line.sent.front() else { return };
    let (Payload::Request { command, .. }, Some(value)) = (&sent.command.payload, value) else { return };
    if command.write {
        shared.findings.borrow_mut().receipt(value, line.recent.is_empty());
    }
    line.recent.push(&command.key, value);
}

/// Waits, with an answer held back that has been taken off the buffer, whether one comes more than commands wait, as long as an
/// answer may be overdue. Nothing new is written meanwhile, for its answer could not be told from the one that is too many.
///
/// # Errors
/// What ended the connection.
pub(super) async fn brings_surplus(
    reading: &impl Reading,
    buffer: &mut bytes::BytesMut,
    shared: &Shared,
) -> std::io::Result<bool> {
    shared.figures.answer_held_back();
    shared.line.borrow_mut().is_paused = true;
    let until = Instant::now() + LONGEST_SILENCE;
    let has_surplus = loop {
        let behind = shared.line.borrow().sent.len().saturating_sub(1);
        if resp::whole_frames(buffer, resp::WHOLE) > behind {
            break true;
        }
        if buffer.len() > MOST_HELD_BACK {
            break false;
        }
        match timeout_at(until, more(reading, buffer, READ)).await {
            Ok(read) => read?,
            Err(_) => break false,
        }
    };
    let mut line = shared.line.borrow_mut();
    line.is_paused = false;
    if has_surplus {
        shared.findings.borrow_mut().repeated();
    } else {
        line.recent.found_in_step();
    }
    drop(line);
    shared.wake.notify_one();
    Ok(has_surplus)
}
