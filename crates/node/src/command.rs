//! A client's command, the final reply to it, and the identifiers of both inside the node.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mothpier_ops::{HeldBytes, RequestEnd};
use mothpier_resp as resp;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::forwarded_ids::IdHash;
use crate::memory::{MemoryPermit, ReceivePermit, ReplyMemory};

/// Maximum size of a chunk of a large value.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Chunks of a large value that may be queued between its server and its client.
const MAX_QUEUED_CHUNKS: usize = 2;
/// Memory for the chunks of a large value: those queued, one being received, one being sent, and one that is partly
/// split off its buffer.
const LARGE_VALUE_MEMORY_BYTES: usize = (MAX_QUEUED_CHUNKS + 3) * MAX_CHUNK_BYTES;
/// Retry hint for a request that is refused by the node itself, not by the decision module.
pub const REFUSED_RETRY_AFTER_MS: u64 = 100;
/// A large value whose transfer stalls for this long, on either side, is cut off.
pub const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of digits by which a rewritten `d` may grow; reserving them avoids a second allocation.
const MAX_TIME_DIGITS: usize = 20;

/// Identifies an attempt or probe of this node.
pub type AttemptId = u64;

/// A client's command as received; the commands to servers are derived from it.
pub struct Command {
    pub name: Bytes,
    pub key: Bytes,
    pub id: Bytes,
    pub extras: Bytes,
    pub value: Option<Bytes>,
    pub write: bool,
    /// Memory reserved for the value.
    pub(crate) value_memory: Option<MemoryPermit>,
    /// Memory reserved for the response, until the reply takes it. Attempts that outlive their request keep the command,
    /// and with it the memory for their responses.
    pub(crate) reply_memory: Cell<Option<ReplyMemory>>,
    /// Counts the value as held.
    pub(crate) _held: HeldBytes,
    /// Released with the command; until then no other request may use the same id.
    pub(crate) id_guard: RequestIdGuard,
}

/// The ids of all unfinished requests.
pub(crate) type RequestIds = Rc<RefCell<HashSet<Bytes>>>;

/// Reserves a request id until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestIdGuard {
    open_ids: RequestIds,
    pub(crate) id: Bytes,
    hash: IdHash,
}

impl RequestIdGuard {
    /// Reserves an id with this hash; `None` while another request has it.
    pub(crate) fn acquire(open_ids: &RequestIds, id: &Bytes, hash: IdHash) -> Option<RequestIdGuard> {
        let is_free = open_ids.borrow_mut().insert(id.clone());
        is_free.then(|| RequestIdGuard { open_ids: open_ids.clone(), id: id.clone(), hash })
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.open_ids.borrow_mut().remove(&self.id);
    }
}

impl Command {
    /// The hash of the id that its client gave it.
    pub fn id_hash(&self) -> IdHash {
        self.id_guard.hash
    }

    /// The extras of an attempt whose reply is awaited until `deadline`.
    pub fn attempt_extras(&self, deadline: Instant) -> AttemptExtras {
        AttemptExtras { as_received: self.extras.clone(), deadline }
    }

    /// Encodes the command for a cache server, unchanged but for these extras.
    pub fn encode_with(&self, extras: Bytes) -> Bytes {
        let words = [self.name.clone(), self.key.clone(), self.id.clone(), extras];
        resp::encode_command(words.into_iter().chain(self.value.clone()))
    }
}

/// The list of extras that is sent with an attempt.
///
/// Everything stays as the client sent it except `d`, the time for which the reply is awaited: an attempt
/// states the time that is left when its first byte is written, which may be long after it was queued.
#[derive(Clone, Debug)]
pub struct AttemptExtras {
    as_received: Bytes,
    deadline: Instant,
}

impl AttemptExtras {
    /// Time until which the reply is awaited, as reported to the cache server.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// The time left now, in whole milliseconds; `None` if there is none.
    pub fn milliseconds_left(&self) -> Option<u128> {
        let left = self.deadline.saturating_duration_since(Instant::now()).as_millis();
        (left > 0).then_some(left)
    }

    /// Encodes the list as of now; `None` if less than a millisecond is left, the least that can be stated.
    pub fn encode_now(&self) -> Option<Bytes> {
        let left = self.milliseconds_left()?;
        let as_received = String::from_utf8_lossy(&self.as_received);
        let mut list = String::with_capacity(self.as_received.len() + MAX_TIME_DIGITS);
        for part in as_received.split(',') {
            if !list.is_empty() {
                list.push(',');
            }
            match part.split_once('=') {
                Some(("d", _)) => list += &format!("d={left}"),
                _ => list += part,
            }
        }
        Some(list.into())
    }
}

/// A part of a large value on its way to the client.
#[derive(Debug)]
pub enum LargeValuePart {
    /// At most [`MAX_CHUNK_BYTES`] of the value.
    Chunk(Bytes),
    /// All of the value has been sent, and its whole response was readable.
    End,
}

/// A large value whose transfer has begun. It is truncated if its channel ends before `length` bytes and
/// [`LargeValuePart::End`] have arrived.
#[derive(Debug)]
pub struct LargeValue {
    pub length: usize,
    pub parts: mpsc::Receiver<LargeValuePart>,
}

impl LargeValue {
    /// Creates a value and the sender for its parts.
    pub fn new(length: usize) -> (mpsc::Sender<LargeValuePart>, LargeValue) {
        let (sender, parts) = mpsc::channel(MAX_QUEUED_CHUNKS);
        (sender, LargeValue { length, parts })
    }
}

/// A complete value as it was received.
#[derive(Debug)]
pub struct ReceivedValue {
    pub bytes: Bytes,
    /// Memory that it was received in.
    pub memory: Vec<ReceivePermit>,
}

/// The final reply to a command.
#[derive(Debug)]
pub enum Reply {
    Value(ReceivedValue),
    /// A value that is passed on while it arrives.
    Stream(LargeValue),
    /// Refused; the client should retry after this many milliseconds.
    Busy(u64),
    Failed,
}

impl Reply {
    /// Whether the reply carries a value.
    pub fn carries_value(&self) -> bool {
        matches!(self, Reply::Value(_) | Reply::Stream(_))
    }

    /// How a request with this reply ends.
    pub fn request_end(&self) -> RequestEnd {
        match self {
            Reply::Value(_) | Reply::Stream(_) => RequestEnd::Served,
            Reply::Busy(_) => RequestEnd::Refused,
            Reply::Failed => RequestEnd::Failed,
        }
    }

    /// Takes the memory that it was received in.
    pub fn take_memory(&mut self) -> Vec<ReceivePermit> {
        match self {
            Reply::Value(value) => std::mem::take(&mut value.memory),
            Reply::Stream(_) | Reply::Busy(_) | Reply::Failed => Vec::new(),
        }
    }

    /// Memory held for it until it is written, in bytes.
    pub fn held_bytes(&self) -> usize {
        match self {
            Reply::Value(value) => value.bytes.len(),
            Reply::Stream(_) => LARGE_VALUE_MEMORY_BYTES,
            Reply::Busy(_) | Reply::Failed => 0,
        }
    }
}

/// What is written to a client for its request.
#[derive(Debug)]
pub enum EncodedReply {
    /// A complete reply. Its buffer holds nothing else.
    Complete(Bytes),
    /// A value that is passed on while it arrives.
    Stream(LargeValue),
}

impl From<Reply> for EncodedReply {
    /// Copies a value: a slice would keep the whole buffer alive in which it was received.
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Value(value) => EncodedReply::Complete(resp::encode_value(&value.bytes)),
            Reply::Stream(value) => EncodedReply::Stream(value),
            Reply::Busy(0) => EncodedReply::Complete(resp::encode_error("BUSY")),
            Reply::Busy(ms) => EncodedReply::Complete(resp::encode_error(&format!("BUSY {ms}"))),
            Reply::Failed => EncodedReply::Complete(resp::encode_error("ERR failed")),
        }
    }
}

/// The final reply to a request on its way to the client's connection.
#[derive(Debug)]
pub struct Delivery {
    pub reply: EncodedReply,
    pub end: RequestEnd,
    /// Released once the reply is written.
    pub memory: Option<ReplyMemory>,
}
