//! Detects responses that a cache server or the origin sent twice.
//!
//! Responses carry no request id: the next one on a connection belongs to the next command, so a server that answers
//! a command twice shifts all later responses by one. A duplicate is recognized by its value, which equals that of a
//! recent response on the same connection. That alone proves nothing, since two keys may have equal values. The
//! response is therefore doubted, and its command is resent as the first on a new connection, where no response can
//! be a duplicate. The result is remembered for the server, so that later responses need no check. A write can't be
//! resent: a server's second write gets a new connection, which shows whether the responses to writes differ.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use redis_protocol::resp2::types::BytesFrame;
use tokio::time::Instant;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::command::MAX_CHUNK_BYTES;

/// Number of earlier responses on a connection with which the next one is compared. A duplicate arrives some tens of
/// milliseconds late, in which a connection carries fewer responses than this.
const COMPARED_RESPONSES: usize = 128;
/// Number of values remembered for a server as belonging to several keys.
const MAX_COMMON_VALUES: usize = 512;
/// How long a server that sent a duplicate is expected to send more.
const DISTRUST_PERIOD: Duration = Duration::from_secs(10);
/// While a server has sent no duplicate, at most one in this many responses is checked by resending, beside a burst.
/// This bounds the cost of workloads where many keys share few values.
const RESPONSES_PER_CHECK: u32 = 50;
const CHECK_BURST: u32 = 32;
/// The same burst for connections opened to keep a command from meeting a duplicate.
const CONNECTION_BURST: u32 = 8;
/// Longest wait for the result of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// This many refuted values without a confirmed one between them show that a server sends duplicates.
const REFUTATIONS_TO_DISTRUST: u32 = 2;
/// A response without a value may be a duplicate of one that is no older than this: duplicates arrive some tens of
/// milliseconds late at the most.
pub(crate) const MAX_DUPLICATE_DELAY: Duration = Duration::from_millis(50);
/// If a duplicate was taken for a response, the true response arrives within this time, or is no longer waited for.
const MAX_SHIFTED_RESPONSE_DELAY: Duration = Duration::from_secs(1);
/// Bytes at the start of a large value that distinguish it from others of its length.
pub(crate) const LARGE_VALUE_PREFIX_BYTES: usize = MAX_CHUNK_BYTES;

/// A hash by which values are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fingerprint {
    length: usize,
    hash: u64,
}

impl Fingerprint {
    /// The fingerprint of a response's value; `None` for a response without one.
    pub(crate) fn of_response(response: &BytesFrame) -> Option<Fingerprint> {
        let BytesFrame::Array(parts) = response else { return None };
        match parts.first() {
            Some(BytesFrame::BulkString(value)) => Some(Fingerprint::of_value(value)),
            _ => None,
        }
    }

    /// The fingerprint of a value.
    pub(crate) fn of_value(value: &[u8]) -> Fingerprint {
        Fingerprint { length: value.len(), hash: xxh3_64(value) }
    }
}

/// Computes the fingerprint of a large value while it is relayed, from its length and its first bytes.
pub(crate) struct LargeFingerprint {
    length: usize,
    remaining: usize,
    hash: Xxh3,
}

impl LargeFingerprint {
    /// For a value of this length.
    pub(crate) fn new(length: usize) -> Self {
        LargeFingerprint { length, remaining: length.min(LARGE_VALUE_PREFIX_BYTES), hash: Xxh3::new() }
    }

    /// Adds the next bytes of the value. Returns the fingerprint once, when enough bytes were added.
    pub(crate) fn update(&mut self, bytes: &[u8]) -> Option<Fingerprint> {
        if self.remaining == 0 {
            return None;
        }
        let taken = bytes.len().min(self.remaining);
        self.hash.update(&bytes[..taken]);
        self.remaining -= taken;
        (self.remaining == 0).then(|| Fingerprint { length: self.length, hash: self.hash.digest() })
    }
}

/// Why a response is doubted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Doubt {
    value: Fingerprint,
    cause: DoubtCause,
}

impl Doubt {
    /// Whether the value is new on its connection, but responses may be out of sync.
    pub(crate) fn is_sync_doubt(self) -> bool {
        self.cause == DoubtCause::PossiblyOutOfSync
    }
}

/// What makes a response doubtful.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DoubtCause {
    /// Its value was received before on this connection, for another key.
    OtherKey,
    /// Its value was received before on this connection for the same key, at a server whose values are not known to be
    /// stable from one request to the next.
    SameKey,
    /// Its value is new, but a response without a value arrived twice before it: if the second was a duplicate, this
    /// response belongs to the previous command.
    PossiblyOutOfSync,
}

/// A response with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EarlierResponse {
    key: u64,
    value: Fingerprint,
}

/// The recent responses on a connection.
#[derive(Default)]
pub(crate) struct RecentResponses {
    with_value: VecDeque<EarlierResponse>,
    /// Hashes of responses without a value that may still be duplicated, and when they arrived.
    without_value: VecDeque<(u64, Instant)>,
    /// When the last response of either kind arrived.
    last_received: Option<Instant>,
    /// When a response without a value last arrived that may be a duplicate.
    possible_duplicate_at: Option<Instant>,
}

impl RecentResponses {
    /// Records a response, and drops the oldest beyond [`COMPARED_RESPONSES`].
    pub(crate) fn push(&mut self, key: &Bytes, value: Fingerprint) {
        if self.with_value.len() == COMPARED_RESPONSES {
            self.with_value.pop_front();
        }
        self.last_received = Some(Instant::now());
        self.with_value.push_back(EarlierResponse { key: xxh3_64(key), value });
    }

    /// Records a response without a value; returns whether it may be a duplicate.
    pub(crate) fn push_without_value(&mut self, response: &[u8]) -> bool {
        let (now, hash) = (Instant::now(), xxh3_64(response));
        while self.without_value.front().is_some_and(|(_, at)| now - *at >= MAX_DUPLICATE_DELAY) {
            self.without_value.pop_front();
        }
        let may_be_duplicate = self.without_value.iter().any(|(other, _)| *other == hash);
        if self.without_value.len() == COMPARED_RESPONSES {
            self.without_value.pop_front();
        }
        self.without_value.push_back((hash, now));
        self.last_received = Some(now);
        if may_be_duplicate {
            self.possible_duplicate_at = Some(now);
        }
        may_be_duplicate
    }

    /// Whether the response to a command written at this time may be that of the previous command, because a duplicate
    /// may have been taken for a response shortly before.
    pub(crate) fn may_be_out_of_sync(&self, written_at: Instant) -> bool {
        self.possible_duplicate_at.is_some_and(|since| written_at < since + MAX_SHIFTED_RESPONSE_DELAY)
    }

    /// Records that no unexpected response arrived where one would have: no duplicate was taken for a response.
    pub(crate) fn confirm_in_sync(&mut self) {
        self.possible_duplicate_at = None;
    }

    /// Whether no response has arrived yet: the next one can't be a duplicate.
    pub(crate) fn is_empty(&self) -> bool {
        self.last_received.is_none()
    }

    /// Whether all responses are too old to be duplicated.
    pub(crate) fn duplicates_expired(&self) -> bool {
        self.last_received.is_none_or(|at| at.elapsed() >= MAX_DUPLICATE_DELAY)
    }

    /// Whether a duplicated refusal may still arrive, which would claim that a write never ran.
    pub(crate) fn may_duplicate_refusal(&self) -> bool {
        self.without_value.back().is_some_and(|(_, at)| at.elapsed() < MAX_DUPLICATE_DELAY)
    }

    /// Whether one of them was for this key.
    pub(crate) fn contains_key(&self, key: &[u8]) -> bool {
        let key = xxh3_64(key);
        self.with_value.iter().any(|earlier| earlier.key == key)
    }

    /// Whether one of them has a value of this length.
    pub(crate) fn contains_length(&self, length: usize) -> bool {
        self.with_value.iter().any(|earlier| earlier.value.length == length)
    }

    /// Why a response may not belong to its command; `None` if nothing suggests that.
    pub(crate) fn doubt(&self, key: &Bytes, written_at: Instant, value: Fingerprint) -> Option<Doubt> {
        let key = xxh3_64(key);
        let mut equal = self.with_value.iter().filter(|earlier| earlier.value == value);
        let cause = match equal.next() {
            Some(earlier) if earlier.key != key || equal.any(|earlier| earlier.key != key) => {
                DoubtCause::OtherKey
            }
            Some(_) => DoubtCause::SameKey,
            None if self.may_be_out_of_sync(written_at) => DoubtCause::PossiblyOutOfSync,
            None => return None,
        };
        Some(Doubt { value, cause })
    }
}

/// What is known about the responses of a server to writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum WriteResponses {
    /// None was received yet.
    #[default]
    Unknown,
    /// The response to the first write.
    One(Fingerprint),
    /// Two were compared: either they differ, or their value is known to be common.
    Compared,
}

/// A token bucket that refills with the number of responses.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: u32,
    capacity: u32,
    responses: u32,
    responses_per_token: u32,
}

impl TokenBucket {
    fn new(capacity: u32, responses_per_token: u32) -> Self {
        TokenBucket { tokens: capacity, capacity, responses: 0, responses_per_token }
    }

    fn record_response(&mut self) {
        self.responses += 1;
        if self.responses >= self.responses_per_token {
            self.responses = 0;
            self.tokens = self.capacity.min(self.tokens + 1);
        }
    }

    /// Takes a token if there is one.
    fn take(&mut self) -> bool {
        let granted = self.tokens > 0;
        self.tokens = self.tokens.saturating_sub(1);
        granted
    }
}

/// What is known about the responses of one server.
pub(crate) struct VerificationState {
    /// Values confirmed for several keys, the latest last.
    common_values: VecDeque<Fingerprint>,
    /// Repeated requests for one key returned equal values.
    has_stable_values: bool,
    write_responses: WriteResponses,
    /// When the server last sent a duplicate.
    last_duplicate_at: Option<Instant>,
    /// Number of refuted values since the last confirmed one.
    consecutive_refutations: u32,
    /// The value for several keys that is being checked by a resend, and since when.
    under_check: Option<(Fingerprint, Instant)>,
    /// Budgets for checks of values received before, for checks of values behind a possibly duplicated refusal or miss,
    /// and for connections opened to keep a command from meeting a duplicate.
    value_checks: TokenBucket,
    sync_checks: TokenBucket,
    extra_connections: TokenBucket,
}

impl Default for VerificationState {
    fn default() -> Self {
        VerificationState {
            common_values: VecDeque::new(),
            has_stable_values: false,
            write_responses: WriteResponses::Unknown,
            last_duplicate_at: None,
            consecutive_refutations: 0,
            under_check: None,
            value_checks: TokenBucket::new(CHECK_BURST, RESPONSES_PER_CHECK),
            sync_checks: TokenBucket::new(CHECK_BURST, RESPONSES_PER_CHECK),
            extra_connections: TokenBucket::new(CONNECTION_BURST, RESPONSES_PER_CHECK),
        }
    }
}

impl VerificationState {
    /// Whether the server recently sent a duplicate.
    pub(crate) fn is_distrusted(&self) -> bool {
        self.last_duplicate_at.is_some_and(|at| at.elapsed() < DISTRUST_PERIOD)
    }

    /// Records a response that was accepted.
    pub(crate) fn record_response(&mut self) {
        self.value_checks.record_response();
        self.sync_checks.record_response();
        self.extra_connections.record_response();
    }

    /// Whether a new connection may be opened for a command that must not meet a duplicate.
    pub(crate) fn take_connection_token(&mut self) -> bool {
        self.extra_connections.take()
    }

    /// Whether several keys are known to have this value.
    pub(crate) fn is_common_value(&self, value: Fingerprint) -> bool {
        self.common_values.contains(&value)
    }

    /// Whether such doubts usually turn out to be unfounded at this server, or a check in progress will tell soon.
    /// Resending for each of them would be expensive.
    pub(crate) fn is_usually_valid(&self, doubt: Doubt) -> bool {
        match doubt.cause {
            DoubtCause::SameKey => self.has_stable_values,
            DoubtCause::OtherKey => self.is_common_value(doubt.value) || self.is_under_check(doubt),
            DoubtCause::PossiblyOutOfSync => false,
        }
    }

    /// Whether a response has to be checked by resending its command, if nothing else can prove it.
    pub(crate) fn needs_check(&mut self, doubt: Doubt) -> bool {
        let is_accepted = match doubt.cause {
            DoubtCause::SameKey => self.has_stable_values,
            DoubtCause::OtherKey => !self.is_distrusted() && self.is_common_value(doubt.value),
            DoubtCause::PossiblyOutOfSync => false,
        };
        !is_accepted && self.take_check_token(doubt)
    }

    /// The same for a large value: one that several keys have is not trusted for any key.
    pub(crate) fn needs_check_of_large_value(&mut self, doubt: Doubt) -> bool {
        let is_accepted = doubt.cause == DoubtCause::SameKey && self.has_stable_values;
        !is_accepted && self.take_check_token(doubt)
    }

    /// Whether a response may be checked by resending its command.
    pub(crate) fn take_check_token(&mut self, doubt: Doubt) -> bool {
        if self.is_distrusted() {
            return true;
        }
        match doubt.cause {
            DoubtCause::PossiblyOutOfSync => self.sync_checks.take(),
            DoubtCause::SameKey => self.value_checks.take(),
            DoubtCause::OtherKey => {
                let granted = self.value_checks.take();
                if granted {
                    self.under_check = Some((doubt.value, Instant::now()));
                }
                granted
            }
        }
    }

    /// Whether the check of another command will resolve this doubt soon.
    fn is_under_check(&self, doubt: Doubt) -> bool {
        let is_recent =
            |(value, since): (Fingerprint, Instant)| value == doubt.value && since.elapsed() < CHECK_TIMEOUT;
        doubt.cause == DoubtCause::OtherKey
            && !self.is_distrusted()
            && self.under_check.is_some_and(is_recent)
    }

    /// Resolves a doubt by the value that a resent command received as the first on its connection; returns whether the
    /// doubted value was confirmed. `None` if it proves nothing.
    pub(crate) fn resolve_doubt(&mut self, doubt: Doubt, value: Fingerprint) -> Option<bool> {
        if doubt.cause == DoubtCause::PossiblyOutOfSync {
            return None;
        }
        if self.under_check.is_some_and(|(checked, _)| checked == doubt.value) {
            self.under_check = None;
        }
        let is_confirmed = doubt.value == value;
        // A value common to several keys may change for all of them at once.
        let proves_nothing =
            doubt.cause == DoubtCause::OtherKey && self.is_common_value(doubt.value) && !self.is_distrusted();
        if is_confirmed {
            self.consecutive_refutations = 0;
            self.confirm(doubt);
        } else if !proves_nothing {
            // A single refuted value may have changed since.
            self.consecutive_refutations += 1;
            if self.consecutive_refutations >= REFUTATIONS_TO_DISTRUST {
                self.record_duplicate();
            }
        }
        Some(is_confirmed)
    }

    /// Whether values are known to be stable from one request of a key to the next.
    pub(crate) fn has_stable_values(&self) -> bool {
        self.has_stable_values
    }

    /// Records that a doubted value was confirmed: it arrived again where it can't be a duplicate, or the responses were
    /// proved to be in order.
    pub(crate) fn confirm(&mut self, doubt: Doubt) {
        match doubt.cause {
            DoubtCause::SameKey => self.has_stable_values = true,
            DoubtCause::PossiblyOutOfSync => {}
            DoubtCause::OtherKey => self.add_common_value(doubt.value),
        }
    }

    fn add_common_value(&mut self, value: Fingerprint) {
        if self.is_common_value(value) {
            return;
        }
        if self.common_values.len() == MAX_COMMON_VALUES {
            self.common_values.pop_front();
        }
        self.common_values.push_back(value);
    }

    /// Whether a write needs a new connection, on which its response can't be a duplicate.
    pub(crate) fn needs_fresh_connection_for_write(&self) -> bool {
        matches!(self.write_responses, WriteResponses::One(_)) || self.is_distrusted()
    }

    /// Records the response to a write, which was not doubted. The first one on a connection is certain to be true.
    pub(crate) fn record_write_response(&mut self, value: Fingerprint, is_first: bool) {
        match self.write_responses {
            WriteResponses::Unknown => self.write_responses = WriteResponses::One(value),
            WriteResponses::One(other) if is_first => {
                if other == value {
                    self.add_common_value(value);
                }
                self.write_responses = WriteResponses::Compared;
            }
            WriteResponses::One(_) | WriteResponses::Compared => {}
        }
    }

    /// Records that the server sent a duplicate.
    pub(crate) fn record_duplicate(&mut self) {
        self.last_duplicate_at = Some(Instant::now());
    }
}

#[cfg(test)]
#[path = "../tests/unit/duplicate_responses.rs"]
mod tests;
