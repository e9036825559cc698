use tokio::io::AsyncWriteExt;

use super::*;

/// A socket that takes two bytes at a time, and fails first so many times before each.
struct Failing {
    error: i32,
    failures: u32,
    left: u32,
    taken: Vec<u8>,
}

impl Failing {
    fn new(error: i32, failures: u32) -> Self {
        Failing { error, failures, left: failures, taken: Vec::new() }
    }
}

impl AsyncWrite for Failing {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.left > 0 {
            self.left -= 1;
            return Poll::Ready(Err(io::Error::from_raw_os_error(self.error)));
        }
        self.left = self.failures;
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

/// Numbers of Linux's errors.
const ENOMEM: i32 = 12;
const EPIPE: i32 = 32;

#[tokio::test(start_paused = true)]
async fn a_write_without_a_buffer_is_made_again_and_no_byte_twice() {
    for error in [ENOBUFS, ENOMEM] {
        let mut writing = RetryingStream::new(Failing::new(error, 3));
        writing.write_all(b"a command").await.unwrap();
        assert_eq!(writing.inner.taken, b"a command");
    }
}

#[tokio::test(start_paused = true)]
async fn a_shortage_that_lasts_ends_the_connection_and_other_errors_end_it_at_once() {
    let begun = Instant::now();
    let broken = RetryingStream::new(Failing::new(EPIPE, 1)).write_all(b"bytes").await;
    assert_eq!(broken.unwrap_err().kind(), ErrorKind::BrokenPipe);
    assert_eq!(begun.elapsed(), Duration::ZERO);
    let short = RetryingStream::new(Failing::new(ENOBUFS, u32::MAX)).write_all(b"bytes").await;
    assert_eq!(short.unwrap_err().raw_os_error(), Some(ENOBUFS));
    assert!((LONGEST..LONGEST + PAUSE * 2).contains(&begun.elapsed()), "{:?}", begun.elapsed());
}
