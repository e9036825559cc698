//! What is served: that it was made for the request, and that it is a value of the request's key.

use super::{Checker, Fate, Request};
use crate::observe::{RequestId, ServerIndex};
use crate::values::Value;

/// Whether a value was made for a request: one of its attempts has been answered with it, and where the value
/// tells for which request and by whom it was made, that is so.
pub(super) fn made_for(request: &Request, id: RequestId, value: Value) -> bool {
    let tells_so = match value {
        Value::OfRequest { of, by } => of == id && request.attempts.iter().any(|a| a.at == by),
        Value::OfKey { .. } | Value::Common(_) => true,
    };
    tells_so && request.attempts.iter().any(|a| a.gave == Some(value))
}

impl Checker {
    /// How often a key has been written.
    pub(super) fn version(&self, key: u64) -> u64 {
        self.versions.get(&key).copied().unwrap_or_default()
    }

    /// A box or the origin gives a value for an attempt that is out there.
    pub(super) fn gave(&mut self, at: ServerIndex, id: RequestId, value: Value) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let Some(a) = r.attempts.iter_mut().find(|a| a.at == at && a.fate == Fate::Out) {
            a.gave = Some(value);
        }
    }

    /// Whether a value is one that a key has now, or has had since it had been written so often.
    pub(super) fn is_of_key(&self, value: Value, key: u64, since: u64) -> bool {
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
