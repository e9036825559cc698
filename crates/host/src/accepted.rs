//! Connections that this machine has accepted.
//!
//! Accepting one and having the runtime watch it are two steps here. Tokio's own listener takes both at once: where epoll has no
//! place for the connection (`ENOMEM`, `ENOSPC` of epoll_ctl(2)) it is closed before anybody has it. [`AsyncFd`] gives it back,
//! so that it can be tried again.

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, FromRawFd, OwnedFd};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::BytesMut;
use socket2::{SockAddr, SockRef};
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;
use tokio::time::{Instant, Sleep, sleep};

/// Before the runtime is asked again to watch a connection.
const PAUSE: Duration = Duration::from_millis(10);
/// A connection that can't be watched for so long is closed: its client has hardly waited longer.
const LONGEST: Duration = Duration::from_secs(3);

/// A connection that is watched by the runtime. A clone is the same connection.
#[derive(Clone, Debug)]
pub(crate) struct Accepted(Arc<AsyncFd<TcpStream>>);

impl Accepted {
    /// Has the runtime watch a connection.
    ///
    /// # Errors
    /// Why it can't, and the connection.
    fn watch(stream: TcpStream) -> Result<Accepted, (TcpStream, io::Error)> {
        let watched = watch(stream, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Accepted(Arc::new(watched)))
    }

    fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    pub(crate) fn set_nodelay(&self) -> io::Result<()> {
        self.stream().set_nodelay(true)
    }

    /// Waits until something can be read, the end included.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.0.readable().await?.retain_ready();
        Ok(())
    }

    /// Reads what is there into the room that the buffer has.
    #[allow(unsafe_code)]
    pub(crate) fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        let room = buffer.spare_capacity_mut();
        let length = self.0.try_io(Interest::READABLE, |stream| SockRef::from(stream).recv(room))?;
        // SAFETY: the call has written so many bytes into the room behind those that there were.
        unsafe { buffer.set_len(buffer.len() + length) };
        Ok(length)
    }

    pub(crate) fn poll_read(&self, cx: &mut Context<'_>, room: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            let mut guard = ready!(self.0.poll_read_ready(cx))?;
            if let Ok(read) = guard.try_io(|watched| watched.get_ref().read(room)) {
                return Poll::Ready(read);
            }
        }
    }

    pub(crate) fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, bytes.len(), |mut stream| stream.write(bytes))
    }

    pub(crate) fn poll_write_vectored(
        &self,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = slices.iter().map(|slice| slice.len()).sum();
        self.poll_write_with(cx, length, |mut stream| stream.write_vectored(slices))
    }

    /// Writes; a short write is taken for a full buffer.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        length: usize,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let mut guard = ready!(self.0.poll_write_ready(cx))?;
            match write(self.stream()) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => guard.clear_ready(),
                Ok(written) => {
                    if written > 0 && written < length {
                        guard.clear_ready();
                    }
                    return Poll::Ready(Ok(written));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Ends the sending.
    pub(crate) fn end_sending(&self) -> io::Result<()> {
        self.stream().shutdown(Shutdown::Write)
    }

    /// Whether the other side is known to have ended its sending.
    pub(crate) fn other_side_has_ended(&self) -> bool {
        let ready = pin!(self.0.ready(Interest::READABLE));
        let mut context = Context::from_waker(Waker::noop());
        matches!(ready.poll(&mut context), Poll::Ready(Ok(guard)) if guard.ready().is_read_closed())
    }
}

impl AsFd for Accepted {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream().as_fd()
    }
}

/// A connection that was accepted and that the runtime could not watch yet.
#[derive(Debug)]
pub(crate) struct Unwatched {
    stream: TcpStream,
    from: SocketAddr,
    since: Instant,
    pause: Pin<Box<Sleep>>,
}

impl Unwatched {
    /// Tries to have a connection watched. It comes back where that is to be tried again.
    ///
    /// # Errors
    /// It could not be watched for too long, and is closed.
    pub(crate) fn watch(
        stream: TcpStream,
        from: SocketAddr,
        since: Instant,
    ) -> io::Result<Result<(Accepted, SocketAddr), Unwatched>> {
        match Accepted::watch(stream) {
            Ok(accepted) => Ok(Ok((accepted, from))),
            Err((_, error)) if since.elapsed() >= LONGEST => Err(error),
            Err((stream, _)) => Ok(Err(Unwatched { stream, from, since, pause: Box::pin(sleep(PAUSE)) })),
        }
    }

    /// Waits until it may be tried again.
    pub(crate) fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.pause.as_mut().poll(cx)
    }

    /// Tries again.
    ///
    /// # Errors
    /// As [`Unwatched::watch`].
    pub(crate) fn watch_again(self) -> io::Result<Result<(Accepted, SocketAddr), Unwatched>> {
        Unwatched::watch(self.stream, self.from, self.since)
    }
}

/// Has the runtime watch a socket.
///
/// # Errors
/// Why it can't, and the socket.
#[allow(unsafe_code)]
pub(crate) fn watch<T: AsRawFd + Into<OwnedFd>>(
    socket: T,
    interest: Interest,
) -> Result<AsyncFd<T>, (T, io::Error)> {
    // SAFETY: what becomes an owned descriptor owns one: it is open, and the same, until the socket is dropped, which the
    // `AsyncFd` does after it has ended the watch.
    let watched = unsafe { AsyncFd::register_with_interest(socket, interest) };
    watched.map_err(|error| error.into_parts())
}

/// Takes the next connection off a listener's queue, without blocking.
#[allow(unsafe_code)]
pub(crate) fn accept(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let flags = libc::SOCK_NONBLOCK | libc::SOCK_CLOEXEC;
    // SAFETY: the listener is open for as long as it is borrowed. The kernel writes the address into the storage, no more than
    // the length that it is given, and stores how long that is; where it fails nothing of it is used.
    let accepted = unsafe {
        SockAddr::try_init(|storage, length| {
            let number = libc::accept4(listener.as_raw_fd(), storage.cast(), length, flags);
            if number == -1 {
                return Err(io::Error::last_os_error());
            }
            // SAFETY: the descriptor has just been opened for this call, and nothing else owns it.
            Ok(OwnedFd::from_raw_fd(number))
        })
    };
    let (descriptor, address) = accepted?;
    let address = address.as_socket().ok_or(ErrorKind::InvalidData)?;
    Ok((descriptor.into(), address))
}
