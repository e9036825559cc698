//! Retries of system calls that a signal interrupts (`EINTR`).
//!
//! Neither tokio nor mio retries them: they return the error, and a reader or writer takes it for the end of the
//! connection. The tries in a row are bounded, so that a call that is interrupted every time can't hold the thread:
//! other tasks run first.

use std::io::{self, ErrorKind};
use std::task::{Context, Poll};

/// Calls in a row before other tasks run. A signal interrupts one call, rarely two.
pub(crate) const MAX_TRIES: usize = 16;

/// Whether a signal interrupted the call before it had done anything.
pub(crate) fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == ErrorKind::Interrupted
}

/// Makes a call until it is not interrupted, up to [`MAX_TRIES`] times; returns the last error otherwise.
pub(crate) fn retry<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_TRIES {
        match call() {
            Err(error) if is_interrupted(&error) => {}
            done => return done,
        }
    }
    call()
}

/// Polls until the call is not interrupted; after [`MAX_TRIES`] times the task yields and is woken at once.
pub(crate) fn poll_retry<T>(
    cx: &mut Context<'_>,
    mut poll: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    for _ in 0..MAX_TRIES {
        match poll(cx) {
            Poll::Ready(Err(error)) if is_interrupted(&error) => {}
            polled => return polled,
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}
