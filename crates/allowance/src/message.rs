//! What holders and grantors tell each other: at most 256 bytes each, with a version and a checksum.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{HolderId, Life, Millis, Permits};

/// The longest message, in bytes: what a datagram between nodes may hold.
pub const MOST: usize = 256;
/// The version of messages that this program writes and reads.
pub const VERSION: u8 = 1;
/// What stands before each message, so that nothing else is taken for one.
const MARK: u8 = 0xa1;
/// Mark, version, one byte of content and the checksum.
const LEAST: usize = 7;

/// Which tenure of which root a lease goes back to; a later tenure has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence {
    /// The round of the agreement's ballot.
    pub round: u32,
    /// Whose ballot it is.
    pub member: u16,
    /// In which life of that member.
    pub life: u32,
}

/// Who asks, and the how manyth question of its life it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Asker {
    /// The holder.
    pub holder: HolderId,
    /// Its life.
    pub life: Life,
    /// Counts its questions and returns, to whichever grantor they go.
    pub sequence: u32,
}

/// Why nothing is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// All is counted as held by others.
    Spent,
    /// Another's turn: some wait, and this one has held a lease for long.
    Waiting,
    /// The table of holders is full.
    Full,
    /// A new root, which waits until what its predecessor granted has ended.
    Quiet,
    /// No grantor: no tenure, or no lease of its own.
    NoGrantor,
}

/// What one process tells another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A holder asks for a lease, or for its renewal.
    Ask {
        /// Who asks.
        from: Asker,
        /// No more than this is in use, or will be before a grant for this question or a later one is taken.
        keeps: Permits,
        /// What it could use.
        wanted: Permits,
    },
    /// A holder gives back all but what it keeps; no answer.
    Return {
        /// Who does.
        from: Asker,
        /// No more than this is in use, or will be before a grant for a later question is taken.
        keeps: Permits,
    },
    /// A grantor grants a lease, in place of the one before.
    Grant {
        /// The question that is answered.
        to: Asker,
        /// The root's tenure that it goes back to.
        fence: Fence,
        /// What may be used.
        permits: Permits,
        /// For how long, from when the question was asked.
        length: Millis,
    },
    /// A grantor grants nothing; a lease that the holder has goes on to its end.
    Refused {
        /// The question that is answered.
        to: Asker,
        /// Why.
        why: Refusal,
        /// When to come back, from now.
        retry_after: Millis,
    },
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// Longer than any message, or shorter.
    Length(usize),
    /// Not a message of holders and grantors.
    Foreign,
    /// A message of another version.
    Version(u8),
    /// Cut or spoilt on its way.
    Spoilt,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unreadable::Length(length) => {
                write!(f, "{length} bytes are no message: {LEAST} to {MOST} are allowed")
            }
            Unreadable::Foreign => f.write_str("no message about leases"),
            Unreadable::Version(version) => {
                write!(f, "a message of version {version}; this is version {VERSION}")
            }
            Unreadable::Spoilt => f.write_str("cut or spoilt on its way"),
        }
    }
}

impl std::error::Error for Unreadable {}

/// FNV-1a: against what is cut or spoilt, not against forgery.
fn checksum(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |sum, byte| (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193))
}

impl Message {
    /// Its bytes. No message of this version comes near [`MOST`]; `None` if one did.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = vec![MARK, VERSION];
        bytes.extend(postcard::to_allocvec(self).ok()?);
        bytes.extend(checksum(&bytes).to_le_bytes());
        (bytes.len() <= MOST).then_some(bytes)
    }

    /// Reads a message.
    ///
    /// # Errors
    /// Why it is none; nothing of it counts then.
    pub fn decode(bytes: &[u8]) -> Result<Message, Unreadable> {
        if bytes.len() < LEAST || bytes.len() > MOST {
            return Err(Unreadable::Length(bytes.len()));
        }
        if bytes[0] != MARK {
            return Err(Unreadable::Foreign);
        }
        if bytes[1] != VERSION {
            return Err(Unreadable::Version(bytes[1]));
        }
        let (body, sum) = bytes.split_at(bytes.len() - 4);
        if sum != checksum(body).to_le_bytes() {
            return Err(Unreadable::Spoilt);
        }
        match postcard::take_from_bytes(&body[2..]) {
            Ok((message, [])) => Ok(message),
            _ => Err(Unreadable::Spoilt),
        }
    }
}
