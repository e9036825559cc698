//! What members tell each other: at most 256 bytes each, with a version and a checksum.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{MemberId, Millis};

/// The longest message, in bytes: what a datagram between nodes may hold.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// The version of messages that this program writes and reads.
pub const VERSION: u8 = 1;
/// What stands before each message, so that nothing else is taken for one.
const MARK: u8 = 0xac;

/// A try to become the decider; no two tries ever have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than all that its voter had heard of.
    pub round: u32,
    /// Whose it is.
    pub voter: MemberId,
    /// Which life of that voter: a number that is new with each start.
    pub incarnation: u32,
}

/// The number of a plan: when its decider's tenure began, and the so manyth plan of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlanNumber {
    /// The ballot with which the tenure began.
    pub term: Ballot,
    /// Counts the plans of the tenure, from 0.
    pub sequence: u32,
}

/// What one member tells another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// To voters: grant nothing to lower ballots from now on, and tell what you have granted.
    Prepare {
        /// The ballot.
        ballot: Ballot,
    },
    /// A voter has heard that, and holds this grant, if any.
    Promise {
        /// The ballot that was prepared.
        ballot: Ballot,
        /// The ballot to which it has granted a lease that has not run out.
        held: Option<Ballot>,
    },
    /// To voters: grant a lease to this ballot.
    Propose {
        /// The ballot.
        ballot: Ballot,
    },
    /// A voter has granted it.
    Accepted {
        /// The ballot.
        ballot: Ballot,
    },
    /// A voter has promised not to: a higher ballot is about.
    Refused {
        /// The highest that it has heard of.
        seen: Ballot,
    },
    /// A member asks the decider for the plan, and tells what it sees.
    Query {
        /// Its own clock: an answer must give it back.
        asked_at: Millis,
        /// Its life, likewise.
        incarnation: u32,
        /// The highest number of a plan that it has acted on.
        number: PlanNumber,
        /// What it sees; the accord does not read it.
        evidence: Vec<u8>,
    },
    /// The decider answers.
    Reply {
        /// The question's stamp.
        asked_at: Millis,
        /// The asker's life.
        incarnation: u32,
        /// The plan's number.
        number: PlanNumber,
        /// What the decider's lease had left when it answered, in milliseconds.
        lease_left: Millis,
        /// The plan; the accord does not read it.
        plan: Vec<u8>,
    },
    /// A voter that is not the decider tells who may be.
    Elsewhere {
        /// The voter to which it has granted a lease.
        voter: MemberId,
    },
    /// To a voter: a member that gets no answer asks it to put its question to the decider, to which it may have a way.
    Pass {
        /// The question.
        ask: Question,
    },
    /// To the decider: a question of another member.
    Passed {
        /// Who asks.
        asker: MemberId,
        /// The question.
        ask: Question,
    },
    /// The decider's answer to it, back to the voter: what [`Told`](Self::Told) would have said to the asker.
    Answer {
        /// Who has asked.
        asker: MemberId,
        /// The question's stamp.
        stamp: Millis,
        /// The asker's life.
        life: u32,
        /// The plan's number.
        number: PlanNumber,
        /// What the decider's lease had left when it answered, in milliseconds.
        left: Millis,
        /// The plan.
        plan: Vec<u8>,
    },
}

/// What a member asks the decider; as in [`Message::Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Question {
    /// The asker's own clock: an answer must give it back, whatever way it comes.
    pub stamp: Millis,
    /// Its life, likewise.
    pub life: u32,
    /// The highest number of a plan that it has acted on.
    pub number: PlanNumber,
    /// What it sees.
    pub evidence: Vec<u8>,
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// Longer than any message, or shorter.
    Length(usize),
    /// Not a message of members.
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
                write!(f, "{length} bytes are no message: 7 to {MAX_MESSAGE_BYTES} are allowed")
            }
            Unreadable::Foreign => f.write_str("no message of a member"),
            Unreadable::Version(version) => {
                write!(f, "a message of version {version}; this is version {VERSION}")
            }
            Unreadable::Spoilt => f.write_str("cut or spoilt on its way"),
        }
    }
}

impl std::error::Error for Unreadable {}

/// FNV-1a: against what is cut or spoilt, not against forgery; members know each other by their addresses.
fn checksum(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |sum, byte| (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193))
}

impl Message {
    /// Its bytes. `None` where they would be more than a message may have: evidence or a plan that is too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = vec![MARK, VERSION];
        bytes.extend(postcard::to_allocvec(self).ok()?);
        bytes.extend(checksum(&bytes).to_le_bytes());
        (bytes.len() <= MAX_MESSAGE_BYTES).then_some(bytes)
    }

    /// Reads a message.
    ///
    /// # Errors
    /// Why it is none; nothing of it counts then.
    pub fn decode(bytes: &[u8]) -> Result<Message, Unreadable> {
        if bytes.len() < 7 || bytes.len() > MAX_MESSAGE_BYTES {
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
