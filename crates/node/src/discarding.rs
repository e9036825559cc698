//! Discards unwanted input at a bounded rate, which all connections of a thread share.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mothpier_host::Reading;
use tokio::time::{Instant, sleep_until};

use crate::memory_shortage::is_shortage;

/// Bytes of unwanted input read from a connection at once.
const READ_BYTES: usize = 64 * 1024;
/// Bytes of unwanted input read from all connections in each [`INTERVAL`].
const INTERVAL_BYTES: usize = 256 * 1024;
const INTERVAL: Duration = Duration::from_millis(5);
/// What new connections discard at first may exceed the rate; the others do not wait for longer than this for it.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The rate at which connections discard input. A clone refers to the same rate.
#[derive(Clone, Debug, Default)]
pub struct DiscardRate {
    /// By then what was discarded is within the rate.
    settled_at: Rc<Cell<Option<Instant>>>,
}

impl DiscardRate {
    /// Counts discarded bytes; returns when they and all before them are within the rate.
    fn count(&self, bytes: usize, now: Instant) -> Instant {
        let settled_at = self.settled_at.get().map_or(now, |settled_at| settled_at.max(now));
        let share = bytes as f64 / INTERVAL_BYTES as f64;
        let settled_at = (settled_at + INTERVAL.mul_f64(share)).min(now + MAX_WAIT);
        self.settled_at.set(Some(settled_at));
        settled_at
    }
}

/// Discards the input of one connection. What has arrived at first is discarded at once.
#[derive(Debug, Default)]
pub struct Discarding {
    rate: DiscardRate,
    /// Nothing is read before this time.
    next_at: Option<Instant>,
}

impl Discarding {
    /// For a connection that shares this rate.
    pub fn new(rate: &DiscardRate) -> Self {
        Discarding { rate: rate.clone(), next_at: None }
    }

    /// Waits for unwanted input and discards it; returns its length. Cancellation safe.
    ///
    /// # Errors
    /// `UnexpectedEof` at the end of the connection, or the error that ended it.
    pub async fn next(&mut self, reading: &impl Reading) -> io::Result<usize> {
        if let Some(next_at) = self.next_at {
            sleep_until(next_at).await;
        }
        reading.readable().await?;
        let discarded = discard_available(reading)?;
        let now = Instant::now();
        self.next_at = Some(self.rate.count(discarded, now).max(now + INTERVAL));
        Ok(discarded)
    }
}

/// Discards what has arrived, up to [`INTERVAL_BYTES`].
fn discard_available(reading: &impl Reading) -> io::Result<usize> {
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    let mut discarded = 0;
    while discarded < INTERVAL_BYTES {
        buffer.clear();
        match reading.try_read_buf(&mut buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(read) => discarded += read,
            Err(e) if e.kind() == ErrorKind::WouldBlock || is_shortage(&e) => break,
            Err(e) => return Err(e),
        }
    }
    Ok(discarded)
}

#[cfg(test)]
#[path = "../tests/unit/discarding.rs"]
mod tests;
