use tokio::io::AsyncWriteExt;

use super::*;

/// A socket that accepts two bytes at a time, each after this many failures.
struct FailingSocket {
    error: i32,
    failures: u32,
    remaining: u32,
    taken: Vec<u8>,
}

impl FailingSocket {
    fn new(error: i32, failures: u32) -> Self {
        FailingSocket { error, failures, remaining: failures, taken: Vec::new() }
    }
}

impl AsyncWrite for FailingSocket {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.remaining > 0 {
            self.remaining -= 1;
            return Poll::Ready(Err(io::Error::from_raw_os_error(self.error)));
        }
        self.remaining = self.failures;
        let taken = bytes.len().min(2);
        self.taken.extend_from_slice(&bytes[..taken]);
        Poll::Ready(Ok(taken))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Linux error numbers.
const ENOMEM: i32 = 12;
const EPIPE: i32 = 32;

#[tokio::test(start_paused = true)]
async fn write_without_buffer_is_retried_and_no_byte_written_twice() {
    for error in [ENOBUFS, ENOMEM] {
        let mut writing = RetryingStream::new(FailingSocket::new(error, 3));
        writing.write_all(b"a command").await.unwrap();
        assert_eq!(writing.inner.taken, b"a command");
    }
}

#[tokio::test(start_paused = true)]
async fn lasting_shortage_ends_connection_and_other_errors_end_it_at_once() {
    let started = Instant::now();
    let broken = RetryingStream::new(FailingSocket::new(EPIPE, 1)).write_all(b"bytes").await;
    assert_eq!(broken.unwrap_err().kind(), ErrorKind::BrokenPipe);
    assert_eq!(started.elapsed(), Duration::ZERO);
    let short = RetryingStream::new(FailingSocket::new(ENOBUFS, u32::MAX)).write_all(b"bytes").await;
    assert_eq!(short.unwrap_err().raw_os_error(), Some(ENOBUFS));
    assert!(
        (MAX_SHORTAGE..MAX_SHORTAGE + RETRY_DELAY * 2).contains(&started.elapsed()),
        "{:?}",
        started.elapsed()
    );
}
