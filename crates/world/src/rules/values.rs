//! Checks that a served value was made for the request and belongs to its key.

use super::{AttemptState, Checker, Request};
use crate::observe::{RequestId, ServerIndex};
use crate::values::Value;

/// Whether a value was made for a request: one of its attempts returned it, and where the value names its
/// request and server, these match.
pub(super) fn made_for(request: &Request, id: RequestId, value: Value) -> bool {
    let description_matches = match value {
        Value::OfRequest { of, by } => {
            of == id && request.attempts.iter().any(|attempt| attempt.server == by)
        }
        Value::OfKey { .. } | Value::Common(_) => true,
    };
    description_matches && request.attempts.iter().any(|attempt| attempt.value == Some(value))
}

impl Checker {
    /// How often a key has been written.
    pub(super) fn version(&self, key: u64) -> u64 {
        self.versions.get(&key).copied().unwrap_or_default()
    }

    /// Records the value that a cache server or the origin returned for an outstanding attempt.
    pub(super) fn value_returned(&mut self, server: ServerIndex, id: RequestId, value: Value) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(attempt) = request
            .attempts
            .iter_mut()
            .find(|attempt| attempt.server == server && attempt.state == AttemptState::Outstanding)
        {
            attempt.value = Some(value);
        }
    }

    /// Whether a key has this value, or has had it since its version `since`.
    pub(super) fn belongs_to_key(&self, value: Value, key: u64, since: u64) -> bool {
        match value {
            Value::OfRequest { of, by } => {
                let of_it = self.values.value(key, since, of, by) == value;
                of_it && self.requests.get(&of).is_some_and(|other| other.key == key)
            }
            Value::OfKey { .. } | Value::Common(_) => {
                (since..=self.version(key)).any(|version| self.values.of_key(key, version) == Some(value))
            }
        }
    }
}
