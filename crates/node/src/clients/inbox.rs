//! What comes from a client, and when it came: a client's wait begins when its command reaches this machine, which may be
//! long before the node reads it.

use std::time::Duration;

use brassrouter::Micros;
use bytes::BytesMut;
use mothpier_host::Reading;
use mothpier_resp::{self as resp, FrameExtent, MAX_VALUE_BYTES};
use tokio::time::Instant;

use crate::stream::read_some;

/// The machine is asked when bytes arrived only where they may have waited for longer than this.
const NOTICEABLE_WAIT: Duration = Duration::from_millis(5);

/// Since when bytes of a client may lie in the machine, unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unread {
    /// Each is read as it arrives.
    Nothing,
    /// At most since then.
    Since(Instant),
    /// Possibly from before the node looked for the first time.
    Unknown,
}

impl Unread {
    /// The longest time that they may have waited; `None` where nothing bounds it.
    fn longest_wait(self) -> Option<Duration> {
        match self {
            Unread::Nothing => Some(Duration::ZERO),
            Unread::Since(since) => Some(since.elapsed()),
            Unread::Unknown => None,
        }
    }
}

/// What comes from a client.
pub(super) struct Inbox<'a, R> {
    pub(super) reading: &'a R,
    pub(super) buffer: BytesMut,
    /// When the last of it was read.
    pub(super) last_byte: Instant,
    /// When the command at the front of the buffer arrived, on the clock of requests.
    received: Micros,
    unread: Unread,
}

impl<'a, R: Reading> Inbox<'a, R> {
    /// Of a connection from which nothing has been read yet.
    pub(super) fn new(reading: &'a R, now: Micros, unread: Unread) -> Self {
        Inbox { reading, buffer: BytesMut::new(), last_byte: Instant::now(), received: now, unread }
    }

    /// When the command at the front of the buffer arrived, on the clock of requests.
    pub(super) fn received(&self) -> Micros {
        self.received
    }

    /// Reads what has come; whether the client is still there. Safe to drop and call again.
    pub(super) async fn read(&mut self, now: impl Fn() -> Micros) -> bool {
        let holds_command = self.holds_command();
        let more = read_some(self.reading, &mut self.buffer).await;
        if holds_command {
            // What came behind it must not make it younger.
            self.last_byte = Instant::now();
        } else {
            self.has_received(now());
        }
        more
    }

    /// Something has been read at this time, and no whole command before it is left in the buffer.
    pub(super) fn has_received(&mut self, now: Micros) {
        self.last_byte = Instant::now();
        self.received = now.saturating_sub(self.waited().as_micros() as Micros);
    }

    /// Nothing is read from now on, whatever comes.
    pub(super) fn stops_reading(&mut self) {
        if self.unread == Unread::Nothing {
            self.unread = Unread::Since(Instant::now());
        }
    }

    fn holds_command(&self) -> bool {
        !self.buffer.is_empty()
            && matches!(resp::frame_extent(&self.buffer, MAX_VALUE_BYTES), Ok(FrameExtent::Complete(_)))
    }

    /// How long the bytes that were read just now had been waiting in the machine.
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
