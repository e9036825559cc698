//! System calls that a signal interrupts (`EINTR`) are made again.
//!
//! Neither tokio nor mio does so: they pass the error on, and whoever reads or writes takes it for the end of the
//! connection. The tries in a row are bounded, so that a call which is always interrupted can't hold the thread: then
//! other tasks run first.

use std::io::{self, ErrorKind};
use std::task::{Context, Poll};

/// Calls in a row before other tasks run. A signal interrupts one call, seldom two.
pub(crate) const TRIES: usize = 16;

/// Whether a signal came before the call had done anything.
pub(crate) fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == ErrorKind::Interrupted
}

/// Makes a call until it is not interrupted, up to [`TRIES`] times; the last error stands.
pub(crate) fn retry<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..TRIES {
        match call() {
            Err(error) if is_interrupted(&error) => {}
            done => return done,
        }
    }
    call()
}

/// Polls until the call is not interrupted; after [`TRIES`] times the task gives way and is woken at once.
pub(crate) fn poll_retry<T>(
    cx: &mut Context<'_>,
    mut poll: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    for _ in 0..TRIES {
        match poll(cx) {
            Poll::Ready(Err(error)) if is_interrupted(&error) => {}
            polled => return polled,
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}
