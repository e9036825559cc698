//! Values of a simulated cache: unique per request, the same for all requests of a key, or often equal
//! between keys.
//!
//! The bytes of a value describe what it was made for, so that the rules can check it. The few common values
//! that many keys share describe nothing: they are checked against the known value of the key.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::observe::{RequestId, ServerIndex};

/// The common values; the first one is by far the most frequent.
const COMMON_VALUES: [&str; 5] = ["0", "1", "", "true", "null"];
/// Of this many keys ...
const COMMON_OF_KEYS: u64 = 16;
/// ... so many have the first common value, one has each of the others, and the rest have values of their
/// own.
const KEYS_WITH_FIRST: u64 = 8;

/// What the values of a scenario look like.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Values {
    /// Each response has its own value, which names the request and the server that made it.
    #[default]
    PerRequest,
    /// A key has one value on all servers until it is written.
    PerKey,
    /// Like `PerKey`, but three quarters of the keys have one of a few common values such as `0`, which have
    /// no filler.
    OftenEqual,
}

/// A value, by what it describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Value {
    /// A value made for one request.
    OfRequest {
        /// The request.
        of: RequestId,
        /// The cache server or origin that made it.
        by: ServerIndex,
    },
    /// The value of a key.
    OfKey {
        /// The key.
        key: u64,
        /// How often the key had been written.
        version: u64,
    },
    /// A common value, by its index.
    Common(usize),
}

impl Values {
    /// The value of a key at a version, read for a request at a cache server or the origin.
    pub fn value(self, key: u64, version: u64, of: RequestId, by: ServerIndex) -> Value {
        self.of_key(key, version).unwrap_or(Value::OfRequest { of, by })
    }

    /// The value of a key at a version; `None` where each request has its own.
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
            Value::Common(index) => write!(f, "{:?}", COMMON_VALUES[*index]),
        }
    }
}

/// Index of the common value that a key has, if any.
fn common(key: u64, version: u64) -> Option<usize> {
    let draw = xxh3_64_with_seed(&key.to_le_bytes(), version) % COMMON_OF_KEYS;
    let index = draw.saturating_sub(KEYS_WITH_FIRST - 1) as usize;
    (index < COMMON_VALUES.len()).then_some(index)
}

impl Value {
    /// Its bytes: the description, followed by `filler` bytes.
    pub fn bytes(self, filler: usize) -> Bytes {
        let description = match self {
            Value::OfRequest { of, by } => format!("{of:016x}:{by}:"),
            Value::OfKey { key, version } => format!("k{key:016x}.{version}:"),
            Value::Common(index) => return Bytes::from_static(COMMON_VALUES[index].as_bytes()),
        };
        let mut text = description.into_bytes();
        text.resize(text.len() + filler, b'.');
        text.into()
    }

    /// Parses a value; `None` for bytes that are no value.
    pub fn parse(bytes: &[u8]) -> Option<Value> {
        let text = std::str::from_utf8(bytes).ok()?;
        if let Some(index) = COMMON_VALUES.iter().position(|common| *common == text) {
            return Some(Value::Common(index));
        }
        let (description, rest) = text.split_once(':')?;
        if let Some((key, version)) =
            description.strip_prefix('k').and_then(|description| description.split_once('.'))
        {
            let key = u64::from_str_radix(key, 16).ok()?;
            return Some(Value::OfKey { key, version: version.parse().ok()? });
        }
        let (by, _filling) = rest.split_once(':')?;
        Some(Value::OfRequest { of: u64::from_str_radix(description, 16).ok()?, by: by.parse().ok()? })
    }
}
