//! Reads and writes that outlast a shortage of memory on this machine.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

/// A transfer that found no buffer is made again after this time.
pub(crate) const PAUSE: Duration = Duration::from_millis(5);
/// A shortage that lasts longer ends the connection: a request on it would be late anyway.
pub(crate) const LONGEST: Duration = Duration::from_secs(1);
/// The number of `ENOBUFS`, the one error of a shortage that [`ErrorKind`] has no name for.
const ENOBUFS: i32 = 105;

/// Whether a transfer failed because this machine has no memory for it: nothing of it was taken, and the connection stands.
pub(crate) fn is_shortage(error: &io::Error) -> bool {
    error.kind() == ErrorKind::OutOfMemory || error.raw_os_error() == Some(ENOBUFS)
}

/// Transfers in one direction that are made again while this machine is short of memory for them.
#[derive(Default)]
struct Retries {
    pause: Option<Pin<Box<Sleep>>>,
    /// Since when every transfer has failed.
    failing_since: Option<Instant>,
}

impl Retries {
    /// Makes a transfer, and makes it again after a pause where it fails for want of memory.
    fn poll<T>(
        &mut self,
        cx: &mut Context<'_>,
        mut transfer: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(cx));
                self.pause = None;
            }
            let done = ready!(transfer(cx));
            let Err(error) = &done else {
                self.failing_since = None;
                return Poll::Ready(done);
            };
            let since = *self.failing_since.get_or_insert_with(Instant::now);
            if !is_shortage(error) || since.elapsed() >= LONGEST {
                return Poll::Ready(done);
            }
            self.pause = Some(Box::pin(sleep(PAUSE)));
        }
    }
}

/// A stream, or a half of one, whose transfers outlast a shortage of memory.
pub struct RetryingStream<S> {
    inner: S,
    reads: Retries,
    writes: Retries,
}

impl<S> RetryingStream<S> {
    /// Wraps a stream.
    pub fn new(inner: S) -> Self {
        RetryingStream { inner, reads: Retries::default(), writes: Retries::default() }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RetryingStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let RetryingStream { inner, writes, .. } = &mut *self;
        writes.poll(cx, |cx| Pin::new(&mut *inner).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let RetryingStream { inner, writes, .. } = &mut *self;
        writes.poll(cx, |cx| Pin::new(&mut *inner).poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RetryingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let RetryingStream { inner, reads, .. } = &mut *self;
        reads.poll(cx, |cx| Pin::new(&mut *inner).poll_read(cx, buffer))
    }
}

#[cfg(test)]
#[path = "../tests/unit/memory_shortage.rs"]
mod tests;
