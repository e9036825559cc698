//! A client's command, its final answer, and the names under which both are known inside the node.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mothpier_resp as resp;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The largest piece of a large value, and how many of them may wait between its server and its client.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;
const PIECES: usize = 2;
/// A large value that does not go on for this long, on either side, is cut.
pub const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Digits by which `d` may grow when it is told anew; room for them saves a second allocation.
const MOST_DIGITS: usize = 20;

/// Names one attempt or probe of this node.
pub type AttemptId = u64;

/// A client's command as it came; what goes on to servers is made of it.
#[derive(Debug)]
pub struct Command {
    pub name: Bytes,
    pub key: Bytes,
    pub id: Bytes,
    pub extras: Bytes,
    pub value: Option<Bytes>,
    pub write: bool,
    /// Given back with the command: no other request may bear its id meanwhile.
    pub(crate) _id_guard: RequestIdGuard,
}

/// The ids of all open requests.
pub(crate) type RequestIds = Rc<RefCell<HashSet<Bytes>>>;

/// An id in use.
#[derive(Debug)]
pub(crate) struct RequestIdGuard(RequestIds, pub(crate) Bytes);

impl RequestIdGuard {
    pub(crate) fn acquire(ids: &RequestIds, id: &Bytes) -> Option<RequestIdGuard> {
        ids.borrow_mut().insert(id.clone()).then(|| RequestIdGuard(ids.clone(), id.clone()))
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

impl Command {
    /// The extras of an attempt that is waited for until `attempt_ends`.
    pub fn attempt_extras(&self, attempt_ends: Instant) -> AttemptExtras {
        AttemptExtras { as_received: self.extras.clone(), attempt_ends }
    }

    /// The bytes for a cache server: the command as it came, with these extras.
    pub fn encode_with(&self, extras: Bytes) -> Bytes {
        let words = [self.name.clone(), self.key.clone(), self.id.clone(), extras];
        resp::encode_command(words.into_iter().chain(self.value.clone()))
    }
}

/// The list of extras that goes out with an attempt.
///
/// All of it stays as the client sent it but for `d`, how long the answer is waited for: an attempt tells what is left to
/// it when its first byte is written, which may be long after it was queued.
#[derive(Clone, Debug)]
pub struct AttemptExtras {
    as_received: Bytes,
    attempt_ends: Instant,
}

impl AttemptExtras {
    /// Until when the attempt is waited for, which is what a cache server is told.
    pub fn deadline(&self) -> Instant {
        self.attempt_ends
    }

    /// The time that can be told now, in whole milliseconds; `None` where there is none left.
    pub fn milliseconds_left(&self) -> Option<u128> {
        let left = self.attempt_ends.saturating_duration_since(Instant::now()).as_millis();
        (left > 0).then_some(left)
    }

    /// The list to be written now; `None` where not one whole millisecond is left, the least that can be told.
    pub fn encode_now(&self) -> Option<Bytes> {
        let left = self.milliseconds_left()?;
        let as_received = String::from_utf8_lossy(&self.as_received);
        let mut list = String::with_capacity(self.as_received.len() + MOST_DIGITS);
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

/// A large value that has begun to come. One whose channel ends before its length has come is cut.
#[derive(Debug)]
pub struct LargeValue {
    pub length: usize,
    pub chunks: mpsc::Receiver<Bytes>,
}

impl LargeValue {
    /// A stream, and the end into which its pieces go.
    pub fn new(length: usize) -> (mpsc::Sender<Bytes>, LargeValue) {
        let (into, pieces) = mpsc::channel(PIECES);
        (into, LargeValue { length, chunks: pieces })
    }
}

/// A final answer.
#[derive(Debug)]
pub enum Reply {
    Value(Bytes),
    /// A value that is passed on as it comes.
    Stream(LargeValue),
    /// Refused; come back after so many milliseconds.
    Busy(u64),
    Failed,
}

impl Reply {
    /// Whether it brings the value.
    pub fn carries_value(&self) -> bool {
        matches!(self, Reply::Value(_) | Reply::Stream(_))
    }
}
