//! Messages between a process of a node and its successor: frames with a length, a version and a checksum. Anything
//! else is rejected with its kind of error. Nothing here does I/O.
//!
//! The successor sends [`Message::Hello`]; the predecessor answers with [`Message::State`] or [`Message::Declined`].
//! While both run it goes on to send [`Message::Remaining`] and, when its list of servers changes, another
//! [`Message::State`] without the decision module's state. A connection that ends means that the other process has
//! ended.
//!
//! Behind its first state the predecessor sends a [`Message::Hello`], which older successors ignore. A successor that
//! answers with [`Message::ForwardedIds`] shows that it knows these messages; from then on either process sends the ids
//! that it forwards.
//!
//! A second [`Message::Hello`] behind the first says that the predecessor knows [`Message::Memory`]. A successor that
//! knows it too answers with one; from then on the predecessor goes on to send what memory it may hold.

use std::fmt;

use brassrouter::InheritedState;
use serde::{Deserialize, Serialize};

/// Begins each frame.
const MAGIC: [u8; 4] = *b"mpho";
/// The version of the messages: it changes whenever a message does.
pub const PROTOCOL_VERSION: u16 = 1;
/// Bytes of a frame's header: magic, version, length and checksum.
const HEADER_BYTES: usize = 4 + 2 + 4 + 4;
/// The longest message, in bytes: holds the state of a node with a few thousand servers.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// A message between the two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From the successor: it asks to take over. From the predecessor: it knows [`Message::ForwardedIds`], and with a
    /// second one [`Message::Memory`].
    Hello {
        /// The name of its node.
        node_name: String,
        /// The layout of the decision module's state that it can restore.
        state_layout: u32,
    },
    /// From the predecessor: its state.
    State(PredecessorState),
    /// From the predecessor: it hands nothing over, and why.
    Declined(String),
    /// From the predecessor: what would remain if it ended now.
    Remaining(RemainingResources),
    /// From either: hashes of the ids of requests that must not run twice and that it has forwarded.
    ForwardedIds(Vec<u64>),
    /// From either: the most memory that it may hold.
    Memory {
        /// Its resident memory, and what it may still reserve.
        most_bytes: u64,
    },
}

/// The state of the predecessor.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PredecessorState {
    /// The revision of its list of servers; also sent where nothing else of the state is.
    pub list_revision: u64,
    /// The list, in discovery's format.
    pub list: Vec<u8>,
    /// The decision module's state, in the requested layout; empty where the predecessor has another layout.
    pub module_state: Vec<u8>,
    /// What would remain if the predecessor ended now.
    pub remaining: RemainingResources,
}

/// What remains of a process when it ends: the successor accounts for it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RemainingResources {
    /// Calls in flight at the origin, the origin's tally, and keyed writes in their window.
    pub inherited: InheritedState,
    /// Open descriptors of the process.
    pub descriptors: u32,
}

/// Why bytes could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// They do not begin with the magic bytes of a frame.
    NotAFrame,
    /// A frame of another version.
    Version(u16),
    /// A message longer than allowed, with its length.
    TooLong(usize),
    /// The checksum does not match.
    Checksum,
    /// The message can't be deserialized.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::NotAFrame => f.write_str("not a handover frame"),
            DecodeError::Version(version) => {
                write!(f, "handover frame of version {version}, expected {PROTOCOL_VERSION}")
            }
            DecodeError::TooLong(length) => {
                write!(f, "handover message of {length} bytes is longer than {MAX_MESSAGE_BYTES}")
            }
            DecodeError::Checksum => f.write_str("handover frame with a wrong checksum"),
            DecodeError::Malformed => f.write_str("malformed handover message"),
        }
    }
}

/// Serializes a message into a frame.
///
/// # Errors
/// The message is longer than [`MAX_MESSAGE_BYTES`].
pub fn encode(message: &Message) -> Result<Vec<u8>, DecodeError> {
    let body = postcard::to_allocvec(message).map_err(|_| DecodeError::Malformed)?;
    if body.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend(MAGIC);
    frame.extend(PROTOCOL_VERSION.to_le_bytes());
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(crc32fast::hash(&body).to_le_bytes());
    frame.extend(body);
    Ok(frame)
}

/// Reassembles messages from a byte stream.
#[derive(Debug, Default)]
pub struct Decoder(Vec<u8>);

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend(bytes);
    }

    /// The next message; `None` while it is incomplete.
    ///
    /// # Errors
    /// The bytes are no valid frame. Nothing behind them can be read either.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        let buffer = &self.0;
        let prefix = MAGIC.len().min(buffer.len());
        if buffer[..prefix] != MAGIC[..prefix] {
            return Err(DecodeError::NotAFrame);
        }
        if buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let read_u32 =
            |at: usize| u32::from_le_bytes([buffer[at], buffer[at + 1], buffer[at + 2], buffer[at + 3]]);
        let version = u16::from_le_bytes([buffer[4], buffer[5]]);
        if version != PROTOCOL_VERSION {
            return Err(DecodeError::Version(version));
        }
        let (length, checksum) = (read_u32(6) as usize, read_u32(10));
        if length > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong(length));
        }
        let Some(body) = buffer.get(HEADER_BYTES..HEADER_BYTES + length) else { return Ok(None) };
        if crc32fast::hash(body) != checksum {
            return Err(DecodeError::Checksum);
        }
        let message = match postcard::take_from_bytes(body) {
            Ok((message, [])) => message,
            _ => return Err(DecodeError::Malformed),
        };
        self.0.drain(..HEADER_BYTES + length);
        Ok(Some(message))
    }
}
