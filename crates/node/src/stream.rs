//! Reading from a connection, and closing one gracefully.

use std::io::{self, ErrorKind};
use std::time::Duration;

use bytes::BytesMut;
use mothpier_host::Reading;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout};

use crate::discarding::Discarding;
use crate::memory_shortage::{MAX_SHORTAGE, RETRY_DELAY, is_shortage};

/// Bytes read from a connection at once.
pub const READ_SIZE_BYTES: usize = 4096;
/// Time for the other side to read the last reply and to close.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Reads available bytes, up to `room`, which is allocated only once something has arrived. Cancellation safe. If
/// this machine is short of memory, the read is retried for a while.
///
/// # Errors
/// `UnexpectedEof` at the end of the connection, or the error that ended it.
pub async fn read_more(reading: &impl Reading, buffer: &mut BytesMut, room: usize) -> io::Result<()> {
    let mut failing_since: Option<Instant> = None;
    loop {
        reading.readable().await?;
        buffer.reserve(room);
        match reading.try_read_buf(buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => return Ok(()),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) if is_shortage(&e) => {
                if failing_since.get_or_insert_with(Instant::now).elapsed() >= MAX_SHORTAGE {
                    return Err(e);
                }
                sleep(RETRY_DELAY).await;
            }
            Err(e) => return Err(e),
        }
    }
}

/// As [`read_more`], with a time-out.
///
/// # Errors
/// `TimedOut` if nothing has arrived in time.
pub async fn read_more_within(
    reading: &impl Reading,
    buffer: &mut BytesMut,
    room: usize,
    within: Duration,
) -> io::Result<()> {
    timeout(within, read_more(reading, buffer, room))
        .await
        .unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

/// Reads available bytes; returns whether the other side is still connected. Cancellation safe.
pub async fn read_some(reading: &impl Reading, buffer: &mut BytesMut) -> bool {
    read_more(reading, buffer, READ_SIZE_BYTES).await.is_ok()
}

/// Closes a connection gracefully: sends the end of the stream, then reads and discards what still arrives for a
/// short time. Closing with unread bytes would cause a reset, which can overtake a reply and which a client that has
/// just sent a request takes for a failure.
pub async fn close_gracefully(
    reading: &impl Reading,
    writing: &mut (impl AsyncWrite + Unpin),
    mut discarding: Discarding,
) {
    let finish = async {
        // If this fails, either the other side has gone, which the next read reports, or it may still be reading.
        let _ = writing.shutdown().await;
        while discarding.next(reading).await.is_ok() {}
    };
    let _ = timeout(CLOSE_TIMEOUT, finish).await;
}
