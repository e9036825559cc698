//! Reading from a connection, and ending one in order.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::BytesMut;
use mothpier_host::Reading;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Read from a connection at once.
pub const READ: usize = 4096;
/// The other side gets this long to read what it was told last and to close.
pub const FAREWELL: Duration = Duration::from_millis(200);

/// Reads what has come; whether the other side is still there. Room is made only once something is there. Safe to drop
/// and call again.
pub async fn read(reading: &impl Reading, buffer: &mut BytesMut) -> bool {
    loop {
        if reading.readable().await.is_err() {
            return false;
        }
        buffer.reserve(READ);
        match reading.try_read_buf(buffer) {
            Ok(read) => return read > 0,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
}

/// Ends a connection in order: the end of the stream goes out, and what still comes is read and dropped for a little
/// while. A close over bytes that were not read would be a reset, which can overtake an answer, and which a client that
/// has just asked takes for a failure.
pub async fn part(reading: &impl Reading, writing: &mut (impl AsyncWrite + Unpin)) {
    let said = async {
        writing.shutdown().await.ok()?;
        let mut buffer = BytesMut::new();
        while read(reading, &mut buffer).await {
            buffer.clear();
        }
        Some(())
    };
    let _ = timeout(FAREWELL, said).await;
}
