//! What a process of a node tells the one that takes its place. Frames of known length with a version and a checksum;
//! whatever else comes is told apart and never guessed at. Nothing here does I/O.
//!
//! The new process says [`Message::Hello`]; the old one answers with [`Message::State`], or [`Message::Declined`], and
//! goes on with [`Message::Left`] for as long as both live, and with another [`Message::State`], without the module's, when it
//! is told of a change of the list. The end of the connection is the end of the other process.

use std::fmt;

use brassrouter::InheritedState;
use serde::{Deserialize, Serialize};

/// Begins each frame.
const MAGIC: [u8; 4] = *b"mpho";
/// Changes whenever a message does.
pub const VERSION: u16 = 1;
/// Magic, version, length and checksum.
const HEAD: usize = 4 + 2 + 4 + 4;
/// The longest message: the state of a node with a few thousand servers.
pub const LONGEST: usize = 4 << 20;

/// A message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From the new process: it would take the place of the other.
    Hello {
        /// The name of its node.
        node_name: String,
        /// The layout of the module's state that it can go on from.
        state_layout: u32,
    },
    /// From the old process: what it knows.
    State(PredecessorState),
    /// From the old process: it hands nothing over, and why.
    Declined(String),
    /// From the old process: what it would leave behind if it ended now.
    Remaining(RemainingResources),
}

/// What the old process knows.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PredecessorState {
    /// The version of its list of servers; told to the node itself also where nothing else of this is.
    pub list_revision: u64,
    /// The list, in discovery's form.
    pub list: Vec<u8>,
    /// The decision module's state, in the layout asked for; empty where it has another.
    pub module_state: Vec<u8>,
    /// What it would leave behind.
    pub remaining: RemainingResources,
}

/// What a process would leave behind.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RemainingResources {
    /// Calls at the origin, its tally, and keyed writes in their window.
    pub inherited: InheritedState,
    /// Descriptors that it holds.
    pub descriptors: u32,
}

/// What came is no message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// It does not begin as a frame does.
    Foreign,
    /// A frame of another version.
    Version(u16),
    /// Too long to be a message.
    TooLong(usize),
    /// Its checksum is wrong.
    Checksum,
    /// It can't be read.
    Unreadable,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Foreign => f.write_str("no frame of a handover"),
            DecodeError::Version(version) => write!(f, "a frame of version {version}, not {VERSION}"),
            DecodeError::TooLong(length) => write!(f, "a message of {length} bytes"),
            DecodeError::Checksum => f.write_str("a wrong checksum"),
            DecodeError::Unreadable => f.write_str("a message that can't be read"),
        }
    }
}

/// The frame of a message.
///
/// # Errors
/// It is longer than [`LONGEST`].
pub fn encode(message: &Message) -> Result<Vec<u8>, DecodeError> {
    let body = postcard::to_allocvec(message).map_err(|_| DecodeError::Unreadable)?;
    if body.len() > LONGEST {
        return Err(DecodeError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(HEAD + body.len());
    frame.extend(MAGIC);
    frame.extend(VERSION.to_le_bytes());
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(crc32fast::hash(&body).to_le_bytes());
    frame.extend(body);
    Ok(frame)
}

/// Finds messages in what comes.
#[derive(Debug, Default)]
pub struct Decoder(Vec<u8>);

impl Decoder {
    /// Takes more of what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend(bytes);
    }

    /// The next message; `None` while it has not all come.
    ///
    /// # Errors
    /// What came is none. Nothing behind it can be read either.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        let here = &self.0;
        let begin = MAGIC.len().min(here.len());
        if here[..begin] != MAGIC[..begin] {
            return Err(DecodeError::Foreign);
        }
        if here.len() < HEAD {
            return Ok(None);
        }
        let four = |at: usize| u32::from_le_bytes([here[at], here[at + 1], here[at + 2], here[at + 3]]);
        let version = u16::from_le_bytes([here[4], here[5]]);
        if version != VERSION {
            return Err(DecodeError::Version(version));
        }
        let (length, checksum) = (four(6) as usize, four(10));
        if length > LONGEST {
            return Err(DecodeError::TooLong(length));
        }
        let Some(body) = here.get(HEAD..HEAD + length) else { return Ok(None) };
        if crc32fast::hash(body) != checksum {
            return Err(DecodeError::Checksum);
        }
        let message = match postcard::take_from_bytes(body) {
            Ok((message, [])) => message,
            _ => return Err(DecodeError::Unreadable),
        };
        self.0.drain(..HEAD + length);
        Ok(Some(message))
    }
}
