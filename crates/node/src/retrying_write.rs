//! A connection whose writes outlast a shortage of buffers on this machine.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

/// A write that found no buffer is made again after this time.
const PAUSE: Duration = Duration::from_millis(5);
/// A shortage that lasts longer ends the connection: a request on it would be late anyway.
const LONGEST: Duration = Duration::from_secs(1);
/// The number of `ENOBUFS`, the one error of a shortage that [`ErrorKind`] has no name for.
const ENOBUFS: i32 = 105;

/// Whether a write failed because this machine has no memory for it: nothing of it was taken, and the connection stands.
fn is_shortage(error: &io::Error) -> bool {
    error.kind() == ErrorKind::OutOfMemory || error.raw_os_error() == Some(ENOBUFS)
}

/// A stream, or the half of one that is written to.
pub struct RetryingWrite<S> {
    inner: S,
    pause: Option<Pin<Box<Sleep>>>,
    /// Since when every write has failed.
    failing_since: Option<Instant>,
}

impl<S> RetryingWrite<S> {
    /// Wraps a stream.
    pub fn new(inner: S) -> Self {
        RetryingWrite { inner, pause: None, failing_since: None }
    }
}

impl<S: AsyncWrite + Unpin> RetryingWrite<S> {
    /// Makes a write, and makes it again after a pause where this machine is short of buffers.
    fn poll_retry(
        &mut self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(Pin<&mut S>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(cx));
                self.pause = None;
            }
            let written = ready!(write(Pin::new(&mut self.inner), cx));
            let Err(error) = &written else {
                self.failing_since = None;
                return Poll::Ready(written);
            };
            let since = *self.failing_since.get_or_insert_with(Instant::now);
            if !is_shortage(error) || since.elapsed() >= LONGEST {
                return Poll::Ready(written);
            }
            self.pause = Some(Box::pin(sleep(PAUSE)));
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RetryingWrite<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_retry(cx, |inner, cx| inner.poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_retry(cx, |inner, cx| inner.poll_write_vectored(cx, slices))
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

impl<S: AsyncRead + Unpin> AsyncRead for RetryingWrite<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

#[cfg(test)]
#[path = "../tests/unit/retrying_write.rs"]
mod tests;
