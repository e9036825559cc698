//! Messages between members: at most 256 bytes each, with a version and a checksum.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{MemberId, Millis};

/// The longest message, in bytes: what a datagram between nodes may hold.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// The version of the messages that this program writes and reads.
pub const MESSAGE_VERSION: u8 = 1;
/// The first byte of each message, which tells it from other datagrams.
const MAGIC: u8 = 0xac;

/// An attempt to become the leader. No two attempts ever have equal ballots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than all rounds that its voter had seen.
    pub round: u32,
    /// The voter that made the attempt.
    pub voter: MemberId,
    /// The incarnation of that voter: a number that is new with each start.
    pub incarnation: u32,
}

/// The number of a plan: the term of its leader, and the plan's position in the term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlanNumber {
    /// The ballot with which the term began.
    pub term: Ballot,
    /// Counts the plans of the term, from 0.
    pub sequence: u32,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// To voters: grant nothing to lower ballots from now on, and report your grant.
    Prepare {
        /// The ballot.
        ballot: Ballot,
    },
    /// A voter promises that, and reports its present grant, if any.
    Promise {
        /// The ballot that was prepared.
        ballot: Ballot,
        /// The ballot that holds an unexpired lease from this voter.
        granted: Option<Ballot>,
    },
    /// To voters: grant a lease to this ballot.
    Propose {
        /// The ballot.
        ballot: Ballot,
    },
    /// A voter has granted the lease.
    Accepted {
        /// The ballot.
        ballot: Ballot,
    },
    /// A voter rejects a ballot because it has promised a higher one.
    Rejected {
        /// The highest ballot that it has seen.
        highest_seen: Ballot,
    },
    /// A member queries the leader for the plan, and reports its evidence.
    Query {
        /// The time of the query by the member's own clock: a reply must return it.
        asked_at: Millis,
        /// The member's incarnation, which a reply must return as well.
        incarnation: u32,
        /// The highest number of a plan that the member has acted on.
        number: PlanNumber,
        /// The member's evidence; this crate does not interpret it.
        evidence: Vec<u8>,
    },
    /// The leader's reply.
    Reply {
        /// The time of the query.
        asked_at: Millis,
        /// The incarnation of the member that sent the query.
        incarnation: u32,
        /// The plan's number.
        number: PlanNumber,
        /// How long the leader's lease still had to run when it replied, in milliseconds.
        lease_left: Millis,
        /// The plan; this crate does not interpret it.
        plan: Vec<u8>,
    },
    /// A voter that is not the leader names the likely leader.
    Redirect {
        /// The voter to which it has granted a lease.
        voter: MemberId,
    },
    /// To a voter: a member without a reply asks it to relay its query to the leader, which the voter may be able to
    /// reach.
    Relay {
        /// The query.
        query: Query,
    },
    /// To the leader: a query of another member.
    RelayedQuery {
        /// The member that sent the query.
        requester: MemberId,
        /// The query.
        query: Query,
    },
    /// The leader's reply to a relayed query, back to the voter: the contents of a [`Reply`](Self::Reply) to the
    /// member.
    RelayedReply {
        /// The member that sent the query.
        requester: MemberId,
        /// The time of the query.
        asked_at: Millis,
        /// The incarnation of the member that sent the query.
        incarnation: u32,
        /// The plan's number.
        number: PlanNumber,
        /// How long the leader's lease still had to run when it replied, in milliseconds.
        lease_left: Millis,
        /// The plan.
        plan: Vec<u8>,
    },
}

/// A member's query to the leader, as in [`Message::Query`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Query {
    /// The time of the query by the member's own clock: a reply must return it, whatever path it takes.
    pub asked_at: Millis,
    /// The member's incarnation, which a reply must return as well.
    pub incarnation: u32,
    /// The highest number of a plan that the member has acted on.
    pub number: PlanNumber,
    /// The member's evidence.
    pub evidence: Vec<u8>,
}

/// Why bytes could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Shorter or longer than any message.
    Length(usize),
    /// Not a message between members.
    NotAMessage,
    /// A message of another version.
    Version(u8),
    /// Truncated or corrupted.
    Corrupt,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Length(length) => {
                write!(f, "message of {length} bytes, expected 7 to {MAX_MESSAGE_BYTES}")
            }
            DecodeError::NotAMessage => f.write_str("not a message between members"),
            DecodeError::Version(version) => {
                write!(f, "message of version {version}, expected version {MESSAGE_VERSION}")
            }
            DecodeError::Corrupt => f.write_str("truncated or corrupted message"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// FNV-1a: detects truncation and corruption, not forgery; members identify each other by their addresses.
fn checksum(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |sum, byte| (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193))
}

impl Message {
    /// Serializes the message. `None` where it would be too long, because of its evidence or its plan.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = vec![MAGIC, MESSAGE_VERSION];
        bytes.extend(postcard::to_allocvec(self).ok()?);
        bytes.extend(checksum(&bytes).to_le_bytes());
        (bytes.len() <= MAX_MESSAGE_BYTES).then_some(bytes)
    }

    /// Deserializes a message.
    ///
    /// # Errors
    /// Why the bytes are no message; nothing in them is used then.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        if bytes.len() < 7 || bytes.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::Length(bytes.len()));
        }
        if bytes[0] != MAGIC {
            return Err(DecodeError::NotAMessage);
        }
        if bytes[1] != MESSAGE_VERSION {
            return Err(DecodeError::Version(bytes[1]));
        }
        let (body, sum) = bytes.split_at(bytes.len() - 4);
        if sum != checksum(body).to_le_bytes() {
            return Err(DecodeError::Corrupt);
        }
        match postcard::take_from_bytes(&body[2..]) {
            Ok((message, [])) => Ok(message),
            _ => Err(DecodeError::Corrupt),
        }
    }
}
