//! What values look like: made for a request, the same for every request of a key, or often equal between
//! keys.
//!
//! The bytes of a value tell for what it was made, so that the rules can judge it. The few common values that
//! many keys share tell nothing: they are judged by what the world knows that a key has.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::observe::{RequestId, ServerIndex};

/// The values that keys share where they are often equal; the first is by far the most frequent.
const COMMON: [&str; 5] = ["0", "1", "", "true", "null"];
/// Of so many keys ...
const OF_KEYS: u64 = 16;
/// ... so many have the first of them, one has each other, and the rest have values of their own.
const HAVE_THE_FIRST: u64 = 8;

/// What the values of a scenario look like.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Values {
    /// Each answer has a value of its own, which names the request and who made it.
    #[default]
    PerRequest,
    /// A key has one value wherever it is read, until it is written.
    PerKey,
    /// The same, but three quarters of the keys have one of a few common values such as `0`. These have no
    /// filling.
    OftenEqual,
}

/// A value, by what it tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Value {
    /// It was made for one request.
    OfRequest {
        /// The request.
        of: RequestId,
        /// The box or origin that made it.
        by: ServerIndex,
    },
    /// It is the value of a key.
    OfKey {
        /// The key.
        key: u64,
        /// How often the key had been written.
        version: u64,
    },
    /// It is one that many keys have, by its place among the common values.
    Common(usize),
}

impl Values {
    /// The value that a key has after so many writes, read for a request at a box or at the origin.
    pub fn value(self, key: u64, version: u64, of: RequestId, by: ServerIndex) -> Value {
        self.of_key(key, version).unwrap_or(Value::OfRequest { of, by })
    }

    /// The value that a key has after so many writes; `None` where each request has its own.
    pub fn of_key(self, key: u64, version: u64) -> Option<Value> {
        let own = Value::OfKey { key, version };
        match self {
            Values::PerRequest => None,
            Values::PerKey => Some(own),
            Values::OftenEqual => Some(common(key, version).map_or(own, Value::Common)),
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::OfRequest { of, by } => write!(f, "what {by} made for request {of:x}"),
            Value::OfKey { key, version } => write!(f, "the value of key {key:016x} after {version} writes"),
            Value::Common(place) => write!(f, "{:?}", COMMON[*place]),
        }
    }
}

/// Which of the common values a key has, if it has one.
fn common(key: u64, version: u64) -> Option<usize> {
    let draw = xxh3_64_with_seed(&key.to_le_bytes(), version) % OF_KEYS;
    let place = draw.saturating_sub(HAVE_THE_FIRST - 1) as usize;
    (place < COMMON.len()).then_some(place)
}

impl Value {
    /// Its bytes. What it tells stands before so many bytes of filling.
    pub fn bytes(self, filling: usize) -> Bytes {
        let told = match self {
            Value::OfRequest { of, by } => format!("{of:016x}:{by}:"),
            Value::OfKey { key, version } => format!("k{key:016x}.{version}:"),
            Value::Common(place) => return Bytes::from_static(COMMON[place].as_bytes()),
        };
        let mut text = told.into_bytes();
        text.resize(text.len() + filling, b'.');
        text.into()
    }

    /// Reads what a value tells; `None` for bytes that are none.
    pub fn read(bytes: &[u8]) -> Option<Value> {
        let text = std::str::from_utf8(bytes).ok()?;
        if let Some(place) = COMMON.iter().position(|common| *common == text) {
            return Some(Value::Common(place));
        }
        let (told, rest) = text.split_once(':')?;
        if let Some((key, version)) = told.strip_prefix('k').and_then(|told| told.split_once('.')) {
            let key = u64::from_str_radix(key, 16).ok()?;
            return Some(Value::OfKey { key, version: version.parse().ok()? });
        }
        let (by, _filling) = rest.split_once(':')?;
        Some(Value::OfRequest { of: u64::from_str_radix(told, 16).ok()?, by: by.parse().ok()? })
    }
}
