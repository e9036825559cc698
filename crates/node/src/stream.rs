//! Reading from a connection, and ending one in order.

use std::io::{self, ErrorKind};
use std::time::Duration;

use bytes::BytesMut;
use mothpier_host::Reading;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout};

use crate::memory_shortage::{LONGEST, PAUSE, is_shortage};

/// Read from a connection at once.
pub const READ: usize = 4096;
/// The other side gets this long to read what it was told last and to close.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Reads what has come, up to the room made for it; that is made only once something is there. Safe to drop and call
/// again. Where this machine is short of memory for it, it is tried again for a while.
///
/// # Errors
/// `UnexpectedEof` at the end of the connection, or what ended it.
pub async fn more(reading: &impl Reading, buffer: &mut BytesMut, room: usize) -> io::Result<()> {
    let mut failing_since: Option<Instant> = None;
    loop {
        reading.readable().await?;
        buffer.reserve(room);
        match reading.try_read_buf(buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => return Ok(()),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) if is_shortage(&e) => {
                if failing_since.get_or_insert_with(Instant::now).elapsed() >= LONGEST {
                    return Err(e);
                }
                sleep(PAUSE).await;
            }
            Err(e) => return Err(e),
        }
    }
}

/// As [`more`], no longer than a time.
///
/// # Errors
/// `TimedOut` where nothing has come within it.
pub async fn more_within(
    reading: &impl Reading,
    buffer: &mut BytesMut,
    room: usize,
    within: Duration,
) -> io::Result<()> {
    timeout(within, more(reading, buffer, room)).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

/// Reads what has come; whether the other side is still there. Safe to drop and call again.
pub async fn read_some(reading: &impl Reading, buffer: &mut BytesMut) -> bool {
    more(reading, buffer, READ).await.is_ok()
}

/// Ends a connection in order: the end of the stream goes out, and what still comes is read and dropped for a little
/// while. A close over bytes that were not read would be a reset, which can overtake an answer, and which a client that
/// has just asked takes for a failure.
pub async fn close_gracefully(reading: &impl Reading, writing: &mut (impl AsyncWrite + Unpin)) {
    let said = async {
        // Where that fails the other side has gone, which the next read tells, or it may still be reading.
        let _ = writing.shutdown().await;
        let mut buffer = BytesMut::new();
        while read_some(reading, &mut buffer).await {
            buffer.clear();
        }
    };
    let _ = timeout(CLOSE_TIMEOUT, said).await;
}
