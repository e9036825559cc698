//! Input from a client, and when it arrived: a client's wait begins when its command reaches this machine, which may be
//! long before the node reads it.

use std::time::Duration;

use brassrouter::Micros;
use bytes::BytesMut;
use mothpier_host::Reading;
use mothpier_ops::HeldBytes;
use mothpier_resp::{self as resp, FrameExtent, MAX_VALUE_BYTES};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};

use super::input_state::InputUse;
use crate::discarding::Discarding;
use crate::memory::UNRESERVED_BUFFER_BYTES;
use crate::stream::{READ_SIZE_BYTES, read_some};

/// The kernel is asked for the arrival time only if bytes may have waited for longer than this.
const NOTICEABLE_WAIT: Duration = Duration::from_millis(5);

/// Bytes of a long command that are read before all other tasks run.
const MAX_READ_WITHOUT_PAUSE: usize = 32 * 1024;

/// While nothing is read, a closed connection is checked for at this interval: attempts of the client's requests may
/// still start for 0.1 s after it has gone.
pub(super) const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Since when bytes from a client may lie unread in the kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unread {
    /// Bytes are read as they arrive.
    Nothing,
    /// Since this time at most.
    Since(Instant),
    /// Possibly since before the node first checked.
    Unknown,
}

impl Unread {
    /// The longest possible wait; `None` if it is unbounded.
    fn longest_wait(self) -> Option<Duration> {
        match self {
            Unread::Nothing => Some(Duration::ZERO),
            Unread::Since(since) => Some(since.elapsed()),
            Unread::Unknown => None,
        }
    }
}

/// The input from a client.
pub(super) struct Inbox<'a, R> {
    pub(super) reading: &'a R,
    pub(super) buffer: BytesMut,
    /// When bytes were last read.
    pub(super) last_read_at: Instant,
    /// When the command at the front of the buffer arrived, on the clock of requests.
    received_at: Micros,
    unread: Unread,
    /// Bytes read that are not counted as work yet.
    read_bytes: usize,
    /// Bytes read since other tasks could run.
    read_without_pause: usize,
    /// The buffer holds no complete command unless it has at least this length.
    least_complete: usize,
    /// Discards what is behind the last command.
    discarding: Discarding,
    /// Counts the buffer as held.
    held: HeldBytes,
}

impl<'a, R: Reading> Inbox<'a, R> {
    /// For a connection from which nothing has been read yet.
    pub(super) fn new(
        reading: &'a R,
        now: Micros,
        unread: Unread,
        discarding: Discarding,
        held: HeldBytes,
    ) -> Self {
        let last_read_at = Instant::now();
        Inbox {
            reading,
            buffer: BytesMut::new(),
            last_read_at,
            received_at: now,
            unread,
            read_bytes: 0,
            read_without_pause: 0,
            least_complete: 0,
            discarding,
            held,
        }
    }

    /// Updates the account of held memory.
    pub(super) fn count_held(&mut self) {
        self.held.set(self.buffer.capacity());
    }

    /// When the command at the front of the buffer arrived, on the clock of requests.
    pub(super) fn received_at(&self) -> Micros {
        self.received_at
    }

    /// Reads what arrives, or discards it; returns whether the client is still connected. Cancellation safe.
    pub(super) async fn receive(&mut self, input_use: InputUse, now: impl Fn() -> Micros) -> bool {
        match input_use {
            InputUse::Read => self.read(now).await,
            InputUse::Discard => self.discard().await,
        }
    }

    /// Reads available bytes; returns whether the client is still connected. Cancellation safe.
    async fn read(&mut self, now: impl Fn() -> Micros) -> bool {
        if self.read_without_pause >= MAX_READ_WITHOUT_PAUSE {
            self.read_without_pause = 0;
            yield_now().await;
        }
        let (holds_command, length_before) = (self.holds_command(), self.buffer.len());
        let more = read_some(self.reading, &mut self.buffer).await;
        let read = self.buffer.len() - length_before;
        self.read_bytes += read;
        self.read_without_pause += read;
        self.count_held();
        if holds_command {
            // Bytes behind the command must not move its arrival time.
            self.last_read_at = Instant::now();
        } else {
            self.record_received(now());
        }
        more
    }

    /// Whether the buffer may hold a complete command.
    pub(super) fn may_hold_command(&self) -> bool {
        !self.buffer.is_empty() && self.buffer.len() >= self.least_complete
    }

    /// Records that the command at the front of the buffer ends here at the earliest; 0 if nothing is known.
    pub(super) fn set_least_complete(&mut self, length: usize) {
        self.least_complete = length;
    }

    /// Records that a command of this length was taken from the front of the buffer. What is behind a large one is copied:
    /// it may have to wait, and must not keep the memory of the command.
    pub(super) fn command_taken(&mut self, length: usize) {
        self.least_complete = 0;
        if length > UNRESERVED_BUFFER_BYTES {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
    }

    /// Drops what was read.
    pub(super) fn clear(&mut self) {
        (self.buffer, self.least_complete) = (BytesMut::new(), 0);
    }

    /// Reads what has arrived, after the runtime has polled the sockets once. Returns whether there was something: a
    /// connection is closed only if not, or a request would be lost with it.
    pub(super) async fn read_late(&mut self, now: impl Fn() -> Micros) -> bool {
        yield_now().await;
        self.buffer.reserve(READ_SIZE_BYTES);
        let Ok(read @ 1..) = self.reading.try_read_buf(&mut self.buffer) else { return false };
        self.read_bytes += read;
        self.record_received(now());
        true
    }

    /// Takes the number of bytes that were read since the last call.
    pub(super) fn take_read_bytes(&mut self) -> usize {
        std::mem::take(&mut self.read_bytes)
    }

    /// Discards what arrives behind the last command, at a bounded rate; returns whether the client is still connected.
    /// Cancellation safe.
    async fn discard(&mut self) -> bool {
        let discarded = loop {
            // Its end may lie behind input that is not read for some time.
            if self.reading.remote_end_closed() {
                return false;
            }
            if let Ok(discarded) = timeout(DISCONNECT_POLL_INTERVAL, self.discarding.next(self.reading)).await
            {
                break discarded;
            }
        };
        self.last_read_at = Instant::now();
        self.read_bytes += discarded.as_ref().copied().unwrap_or_default();
        discarded.is_ok()
    }

    /// Records that bytes were read at this time and no earlier complete command is left in the buffer.
    fn record_received(&mut self, now: Micros) {
        self.last_read_at = Instant::now();
        self.received_at = now.saturating_sub(self.waited().as_micros() as Micros);
    }

    /// Records that nothing is read from now on, whatever arrives.
    pub(super) fn pause_reading(&mut self) {
        if self.unread == Unread::Nothing {
            self.unread = Unread::Since(Instant::now());
        }
    }

    fn holds_command(&self) -> bool {
        !self.buffer.is_empty()
            && matches!(resp::frame_extent(&self.buffer, MAX_VALUE_BYTES), Ok(FrameExtent::Complete(_)))
    }

    /// How long the bytes that were just read had been waiting in the kernel.
    fn waited(&mut self) -> Duration {
        let longest = std::mem::replace(&mut self.unread, Unread::Nothing).longest_wait();
        if longest.is_some_and(|longest| longest < NOTICEABLE_WAIT) {
            return Duration::ZERO;
        }
        let waited = self.reading.since_last_arrival().unwrap_or_default();
        longest.map_or(waited, |longest| waited.min(longest))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client_inbox.rs"]
mod tests;
