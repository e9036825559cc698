//! Messages between holders and grantors: at most 256 bytes each, with a version and a checksum.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{HolderId, Incarnation, Millis, Permits};

/// Longest message, in bytes, chosen to fit a datagram between nodes.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Version of the messages that this program writes and reads.
pub const VERSION: u8 = 1;
/// First byte of each message, which distinguishes it from other datagrams.
const MAGIC: u8 = 0xa1;
/// Magic byte, version, one byte of content and the checksum.
const MIN_MESSAGE_BYTES: usize = 7;

/// Fencing token that identifies the root's term under which a lease was granted; a later term has a higher
/// one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence {
    /// Round of the agreement's ballot.
    pub round: u32,
    /// The member that owns the ballot.
    pub member: u16,
    /// Incarnation of that member.
    pub incarnation: u32,
}

/// Identifies one request of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The holder.
    pub holder: HolderId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Counts the requests and releases of this incarnation, across all grantors.
    pub sequence: u32,
}

/// Why nothing is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// Others hold everything.
    Exhausted,
    /// Others wait, and this holder has held a lease for long.
    Yield,
    /// The table of holders is full.
    TableFull,
    /// A new root waits until everything that its predecessor granted has ended.
    GracePeriod,
    /// The process can't grant: it has no term or no lease of its own.
    NoAuthority,
}

/// A message between processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A holder requests a lease or its renewal.
    Request {
        /// The request.
        from: RequestId,
        /// Upper bound of what is in use until a grant for this or a later request is accepted.
        retained: Permits,
        /// What the holder could use.
        wanted: Permits,
    },
    /// A holder gives back all but what it retains; there is no reply.
    Release {
        /// The release's place in the holder's sequence of requests.
        from: RequestId,
        /// Upper bound of what is in use until a grant for a later request is accepted.
        retained: Permits,
    },
    /// A grantor grants a lease that replaces the previous one.
    Grant {
        /// The request that is answered.
        to: RequestId,
        /// Fencing token of the root's term.
        fence: Fence,
        /// What may be used.
        permits: Permits,
        /// How long the lease lasts, from when the request was sent.
        duration: Millis,
    },
    /// A grantor grants nothing; an existing lease of the holder continues to its end.
    Refused {
        /// The request that is answered.
        to: RequestId,
        /// The reason.
        reason: Refusal,
        /// How long to wait before the next request.
        retry_after: Millis,
    },
}

/// Why bytes can't be decoded as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Too long or too short for any message.
    Length(usize),
    /// Not a message of holders and grantors.
    WrongMagic,
    /// A message of another version.
    Version(u8),
    /// Truncated or corrupted.
    Corrupt,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Length(length) => {
                write!(f, "message of {length} bytes: {MIN_MESSAGE_BYTES} to {MAX_MESSAGE_BYTES} are allowed")
            }
            DecodeError::WrongMagic => f.write_str("not a message of the lease protocol"),
            DecodeError::Version(version) => {
                write!(f, "message of version {version}; this program reads version {VERSION}")
            }
            DecodeError::Corrupt => f.write_str("message truncated or corrupted"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// FNV-1a: detects truncation and corruption, not forgery.
fn checksum(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193))
}

impl Message {
    /// Encodes the message. `None` if it exceeds [`MAX_MESSAGE_BYTES`], which no message of this version
    /// comes near.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = vec![MAGIC, VERSION];
        bytes.extend(postcard::to_allocvec(self).ok()?);
        bytes.extend(checksum(&bytes).to_le_bytes());
        (bytes.len() <= MAX_MESSAGE_BYTES).then_some(bytes)
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// Why the bytes are not a valid message. No part of them may be used then.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        if bytes.len() < MIN_MESSAGE_BYTES || bytes.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::Length(bytes.len()));
        }
        if bytes[0] != MAGIC {
            return Err(DecodeError::WrongMagic);
        }
        if bytes[1] != VERSION {
            return Err(DecodeError::Version(bytes[1]));
        }
        let (body, checksum_bytes) = bytes.split_at(bytes.len() - 4);
        if checksum_bytes != checksum(body).to_le_bytes() {
            return Err(DecodeError::Corrupt);
        }
        match postcard::take_from_bytes(&body[2..]) {
            Ok((message, [])) => Ok(message),
            _ => Err(DecodeError::Corrupt),
        }
    }
}
