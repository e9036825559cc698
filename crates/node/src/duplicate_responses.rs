//! Tells an answer that a cache server or the origin sent a second time from the one that was asked for.
//!
//! Answers bear no name: the next one on a connection belongs to the next command. A server that answers a command twice
//! shifts all answers behind by one. Such a repeat shows by its value, which equals that of an answer that came on the same
//! connection not long before. That alone proves nothing, since two keys may have equal values: the answer is doubted, and
//! its command is sent again as the first one of a new connection, where nothing can be a repeat. What that shows is
//! remembered for the server, so that it is not asked again each time. A write can't be sent again: the second one of a
//! server gets a new connection, which shows whether its receipts differ.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use redis_protocol::resp2::types::BytesFrame;
use tokio::time::Instant;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::command::MAX_CHUNK_BYTES;

/// Answers of a connection with which its next one is compared. A repeat is late by some tens of milliseconds, in which a
/// connection brings fewer answers than this.
const COMPARED_ANSWERS: usize = 128;
/// Values of a server that are known to belong to several keys.
const COMMON_VALUES: usize = 512;
/// After a server has sent an answer twice, it is expected to do so again for this long.
const DISTRUST: Duration = Duration::from_secs(10);
/// Of the answers of a server that has not sent one twice, one in so many may be asked for again, and so many in a row:
/// what many keys with few values would cost otherwise.
const ANSWERS_FOR_A_CHECK: u32 = 50;
const CHECKS_IN_A_ROW: u32 = 32;
/// The same of connections that are made lest a command meets a repeat.
const CONNECTIONS_IN_A_ROW: u32 = 8;
/// What a check shows is waited for no longer than this.
const LONGEST_CHECK: Duration = Duration::from_millis(250);
/// So many values that turned out to be others, and none that turned out to be true, show that a server repeats.
const REFUTED_TO_DISTRUST: u32 = 2;
/// An answer without a value may be the repeat of one that is no older than this: repeats are late by some tens of
/// milliseconds at the most.
pub(crate) const LATEST_REPEAT: Duration = Duration::from_millis(50);
/// Where a repeat was taken for an answer, the true one comes within this time, or is waited for no longer.
const LATEST_TRUE_ANSWER: Duration = Duration::from_secs(1);
/// Bytes at the beginning of a large value by which it is told from others of its length.
pub(crate) const LARGE_PREFIX: usize = MAX_CHUNK_BYTES;

/// What values are compared by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fingerprint {
    length: usize,
    hash: u64,
}

impl Fingerprint {
    /// That of an answer's value; `None` for an answer without one.
    pub(crate) fn of_answer(answer: &BytesFrame) -> Option<Fingerprint> {
        let BytesFrame::Array(parts) = answer else { return None };
        match parts.first() {
            Some(BytesFrame::BulkString(value)) => Some(Fingerprint::of_value(value)),
            _ => None,
        }
    }

    /// That of a value.
    pub(crate) fn of_value(value: &[u8]) -> Fingerprint {
        Fingerprint { length: value.len(), hash: xxh3_64(value) }
    }
}

/// Makes the fingerprint of a large value while it passes: from its length and its first bytes.
pub(crate) struct LargeFingerprint {
    length: usize,
    left: usize,
    hash: Xxh3,
}

impl LargeFingerprint {
    /// For a value of this length.
    pub(crate) fn new(length: usize) -> Self {
        LargeFingerprint { length, left: length.min(LARGE_PREFIX), hash: Xxh3::new() }
    }

    /// Takes in the next bytes of the value; its fingerprint once these are enough, told once.
    pub(crate) fn update(&mut self, bytes: &[u8]) -> Option<Fingerprint> {
        if self.left == 0 {
            return None;
        }
        let taken = bytes.len().min(self.left);
        self.hash.update(&bytes[..taken]);
        self.left -= taken;
        (self.left == 0).then(|| Fingerprint { length: self.length, hash: self.hash.digest() })
    }
}

/// Why an answer is doubted: its value came on this connection before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Doubt {
    value: Fingerprint,
    cause: Cause,
}

impl Doubt {
    /// Whether its value came only once.
    pub(crate) fn is_sync_doubt(self) -> bool {
        self.cause == Cause::BehindRepeat
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// For another key.
    OtherKey,
    /// For this key, at a server whose values are not known to stay the same from one request to the next.
    SameKey,
    /// For none, but an answer without a value came twice before it: if the second was a repeat, this one belongs to the
    /// command before.
    BehindRepeat,
}

/// An answer with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Earlier {
    key: u64,
    value: Fingerprint,
}

/// The last answers of a connection.
#[derive(Default)]
pub(crate) struct RecentResponses {
    with_value: VecDeque<Earlier>,
    /// Those without a value that may still be repeated, and when they came.
    without_value: VecDeque<(u64, Instant)>,
    /// When the last one of either kind came.
    last: Option<Instant>,
    /// When one without a value came that may be the repeat of the one before.
    doubtful_since: Option<Instant>,
}

impl RecentResponses {
    /// Keeps an answer, and forgets the oldest beyond [`COMPARED_ANSWERS`].
    pub(crate) fn push(&mut self, key: &Bytes, value: Fingerprint) {
        if self.with_value.len() == COMPARED_ANSWERS {
            self.with_value.pop_front();
        }
        self.last = Some(Instant::now());
        self.with_value.push_back(Earlier { key: xxh3_64(key), value });
    }

    /// Keeps an answer without a value; whether it may be the repeat of another.
    pub(crate) fn push_without_value(&mut self, answer: &[u8]) -> bool {
        let (now, hash) = (Instant::now(), xxh3_64(answer));
        while self.without_value.front().is_some_and(|(_, at)| now - *at >= LATEST_REPEAT) {
            self.without_value.pop_front();
        }
        let may_repeat = self.without_value.iter().any(|(other, _)| *other == hash);
        if self.without_value.len() == COMPARED_ANSWERS {
            self.without_value.pop_front();
        }
        self.without_value.push_back((hash, now));
        self.last = Some(now);
        if may_repeat {
            self.doubtful_since = Some(now);
        }
        may_repeat
    }

    /// Whether the answer to a command that was written then may be that of the command before: a repeat was taken for an
    /// answer not long before, if it was one.
    pub(crate) fn may_be_out_of_step(&self, written: Instant) -> bool {
        self.doubtful_since.is_some_and(|since| written < since + LATEST_TRUE_ANSWER)
    }

    /// It was waited for an answer that nobody asked for, and none came: no repeat was taken for an answer.
    pub(crate) fn found_in_step(&mut self) {
        self.doubtful_since = None;
    }

    /// Whether none has come yet: the next one can't be a repeat.
    pub(crate) fn is_empty(&self) -> bool {
        self.last.is_none()
    }

    /// Whether no repeat is to come any more: all of them are older than that.
    pub(crate) fn duplicates_expired(&self) -> bool {
        self.last.is_none_or(|at| at.elapsed() >= LATEST_REPEAT)
    }

    /// Whether one without a value may still be repeated, which would say of a write that it never ran.
    pub(crate) fn may_repeat_refusal(&self) -> bool {
        self.without_value.back().is_some_and(|(_, at)| at.elapsed() < LATEST_REPEAT)
    }

    /// Whether one of them was for this key.
    pub(crate) fn have_key(&self, key: &[u8]) -> bool {
        let key = xxh3_64(key);
        self.with_value.iter().any(|earlier| earlier.key == key)
    }

    /// Whether one of them has a value of this length.
    pub(crate) fn have_length(&self, length: usize) -> bool {
        self.with_value.iter().any(|earlier| earlier.value.length == length)
    }

    /// Why an answer may not be its command's own; `None` where nothing speaks for that.
    pub(crate) fn doubt(&self, key: &Bytes, written: Instant, value: Fingerprint) -> Option<Doubt> {
        let key = xxh3_64(key);
        let mut equal = self.with_value.iter().filter(|earlier| earlier.value == value);
        let cause = match equal.next() {
            Some(earlier) if earlier.key != key || equal.any(|earlier| earlier.key != key) => Cause::OtherKey,
            Some(_) => Cause::SameKey,
            None if self.may_be_out_of_step(written) => Cause::BehindRepeat,
            None => return None,
        };
        Some(Doubt { value, cause })
    }
}

/// What is known of the receipts that one server gives for writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Receipts {
    /// Nothing.
    #[default]
    Unknown,
    /// That of the first write.
    One(Fingerprint),
    /// Two: either they differ, or their value is known to be common.
    Compared,
}

/// What may be spent on one cause: so many at once, and one more with so many answers.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    left: u32,
    most: u32,
    answers: u32,
    answers_for_one: u32,
}

impl Allowance {
    fn of(most: u32, answers_for_one: u32) -> Self {
        Allowance { left: most, most, answers: 0, answers_for_one }
    }

    fn answered(&mut self) {
        self.answers += 1;
        if self.answers >= self.answers_for_one {
            self.answers = 0;
            self.left = self.most.min(self.left + 1);
        }
    }

    /// Takes one, where there is one.
    fn take(&mut self) -> bool {
        let is_granted = self.left > 0;
        self.left = self.left.saturating_sub(1);
        is_granted
    }
}

/// What is known of one server's answers.
pub(crate) struct VerificationState {
    /// Values that were true for several keys, the latest last.
    common: VecDeque<Fingerprint>,
    /// Requests of one key were given equal values.
    has_stable_values: bool,
    receipts: Receipts,
    /// When it last sent an answer twice.
    repeated_at: Option<Instant>,
    /// Values that turned out to be others since one turned out to be true.
    refuted: u32,
    /// The value that is being asked for again now for another key's, and since when.
    under_check: Option<(Fingerprint, Instant)>,
    /// Checks of values that came before; checks of values behind a refusal or a miss that came before; and connections for
    /// commands that must not meet a repeat.
    value_checks: Allowance,
    step_checks: Allowance,
    connections: Allowance,
}

impl Default for VerificationState {
    fn default() -> Self {
        VerificationState {
            common: VecDeque::new(),
            has_stable_values: false,
            receipts: Receipts::Unknown,
            repeated_at: None,
            refuted: 0,
            under_check: None,
            value_checks: Allowance::of(CHECKS_IN_A_ROW, ANSWERS_FOR_A_CHECK),
            step_checks: Allowance::of(CHECKS_IN_A_ROW, ANSWERS_FOR_A_CHECK),
            connections: Allowance::of(CONNECTIONS_IN_A_ROW, ANSWERS_FOR_A_CHECK),
        }
    }
}

impl VerificationState {
    /// Whether it has sent an answer twice of late.
    pub(crate) fn is_distrusted(&self) -> bool {
        self.repeated_at.is_some_and(|at| at.elapsed() < DISTRUST)
    }

    /// An answer was taken.
    pub(crate) fn record_response(&mut self) {
        self.value_checks.answered();
        self.step_checks.answered();
        self.connections.answered();
    }

    /// Whether a new connection may be made for a command that must not meet a repeat.
    pub(crate) fn grants_connection(&mut self) -> bool {
        self.connections.take()
    }

    /// Whether several keys are known to have a value.
    pub(crate) fn is_common(&self, value: Fingerprint) -> bool {
        self.common.contains(&value)
    }

    /// Whether answers with this doubt are often true at this server, or will soon be known to be: to ask again for each of
    /// them would cost much.
    pub(crate) fn is_often_true(&self, doubt: Doubt) -> bool {
        match doubt.cause {
            Cause::SameKey => self.has_stable_values,
            Cause::OtherKey => self.is_common(doubt.value) || self.is_under_check(doubt),
            Cause::BehindRepeat => false,
        }
    }

    /// Whether an answer has to be asked for again, where nothing else can show that it is true.
    pub(crate) fn needs_check(&mut self, doubt: Doubt) -> bool {
        let is_believed = match doubt.cause {
            Cause::SameKey => self.has_stable_values,
            Cause::OtherKey => !self.is_distrusted() && self.is_common(doubt.value),
            Cause::BehindRepeat => false,
        };
        !is_believed && self.grants_check(doubt)
    }

    /// The same of a large value: one that several keys have is not believed for any key.
    pub(crate) fn wants_check_of_large(&mut self, doubt: Doubt) -> bool {
        let is_believed = doubt.cause == Cause::SameKey && self.has_stable_values;
        !is_believed && self.grants_check(doubt)
    }

    /// Whether an answer may be asked for again.
    pub(crate) fn grants_check(&mut self, doubt: Doubt) -> bool {
        if self.is_distrusted() {
            return true;
        }
        match doubt.cause {
            Cause::BehindRepeat => self.step_checks.take(),
            Cause::SameKey => self.value_checks.take(),
            Cause::OtherKey => {
                let is_granted = self.value_checks.take();
                if is_granted {
                    self.under_check = Some((doubt.value, Instant::now()));
                }
                is_granted
            }
        }
    }

    /// Whether another command's check will tell of a doubt soon.
    fn is_under_check(&self, doubt: Doubt) -> bool {
        let is_recent =
            |(value, since): (Fingerprint, Instant)| value == doubt.value && since.elapsed() < LONGEST_CHECK;
        doubt.cause == Cause::OtherKey && !self.is_distrusted() && self.under_check.is_some_and(is_recent)
    }

    /// A value has come, as the first on its connection, for a command of which the last was doubted; whether that was true.
    /// `None` where it tells nothing.
    pub(crate) fn resolve_doubt(&mut self, doubt: Doubt, value: Fingerprint) -> Option<bool> {
        if doubt.cause == Cause::BehindRepeat {
            return None;
        }
        if self.under_check.is_some_and(|(checked, _)| checked == doubt.value) {
            self.under_check = None;
        }
        let is_true = doubt.value == value;
        // One that several keys have may change for all of them at once.
        let proves_nothing =
            doubt.cause == Cause::OtherKey && self.is_common(doubt.value) && !self.is_distrusted();
        if is_true {
            self.refuted = 0;
            self.confirmed(doubt);
        } else if !proves_nothing {
            // One alone may be a value that has changed since.
            self.refuted += 1;
            if self.refuted >= REFUTED_TO_DISTRUST {
                self.repeated();
            }
        }
        Some(is_true)
    }

    /// Whether values are known to stay the same from one request of a key to the next.
    pub(crate) fn has_stable_values(&self) -> bool {
        self.has_stable_values
    }

    /// What was doubted came again on a connection where it can't be a repeat, or answers were shown to be in order: it is
    /// true.
    pub(crate) fn confirmed(&mut self, doubt: Doubt) {
        match doubt.cause {
            Cause::SameKey => self.has_stable_values = true,
            Cause::BehindRepeat => {}
            Cause::OtherKey => self.add_common(doubt.value),
        }
    }

    fn add_common(&mut self, value: Fingerprint) {
        if self.is_common(value) {
            return;
        }
        if self.common.len() == COMMON_VALUES {
            self.common.pop_front();
        }
        self.common.push_back(value);
    }

    /// Whether a write gets a new connection, on which its receipt is true.
    pub(crate) fn wants_write_alone(&self) -> bool {
        matches!(self.receipts, Receipts::One(_)) || self.is_distrusted()
    }

    /// A write was given this receipt, which was not doubted. Where it was the first on its connection, it is true.
    pub(crate) fn receipt(&mut self, value: Fingerprint, is_first: bool) {
        match self.receipts {
            Receipts::Unknown => self.receipts = Receipts::One(value),
            Receipts::One(other) if is_first => {
                if other == value {
                    self.add_common(value);
                }
                self.receipts = Receipts::Compared;
            }
            Receipts::One(_) | Receipts::Compared => {}
        }
    }

    /// It has sent an answer twice.
    pub(crate) fn repeated(&mut self) {
        self.repeated_at = Some(Instant::now());
    }
}

#[cfg(test)]
#[path = "../tests/unit/duplicate_responses.rs"]
mod tests;
