//! Connections that this process has accepted.
//!
//! Accepting a connection and registering it with the runtime are two steps here. Tokio's own listener does both at
//! once: where epoll has no room for the connection (`ENOMEM`, `ENOSPC` of epoll_ctl(2)) it is closed before anyone can
//! use it. [`AsyncFd`] returns it, so that registering can be tried again.

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

use crate::tcp_info;

/// Between two tries to register a connection with the runtime.
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// A connection that can't be registered for this long is closed: its client is unlikely to have waited longer.
const MAX_UNREGISTERED: Duration = Duration::from_secs(3);

/// A connection that is registered with the runtime. A clone refers to the same connection.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedConnection(Arc<AsyncFd<TcpStream>>);

impl AcceptedConnection {
    /// Registers a connection with the runtime.
    ///
    /// # Errors
    /// The failure, and the connection.
    fn register(stream: TcpStream) -> Result<AcceptedConnection, (TcpStream, io::Error)> {
        let registered = register(stream, Interest::READABLE | Interest::WRITABLE)?;
        Ok(AcceptedConnection(Arc::new(registered)))
    }

    fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    pub(crate) fn set_nodelay(&self) -> io::Result<()> {
        self.stream().set_nodelay(true)
    }

    /// Waits until something can be read, the end of the stream included.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.0.readable().await?.retain_ready();
        Ok(())
    }

    /// Reads available data into the spare capacity of the buffer.
    #[allow(unsafe_code)]
    pub(crate) fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        let spare = buffer.spare_capacity_mut();
        let count = self.0.try_io(Interest::READABLE, |stream| SockRef::from(stream).recv(spare))?;
        // SAFETY: the call has initialized this many bytes of the spare capacity, which follows the buffer's contents.
        unsafe { buffer.set_len(buffer.len() + count) };
        Ok(count)
    }

    pub(crate) fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            let mut guard = ready!(self.0.poll_read_ready(cx))?;
            if let Ok(read) = guard.try_io(|socket| socket.get_ref().read(buffer)) {
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

    /// Writes; a short write is taken as a full socket buffer.
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

    /// Shuts down writing.
    pub(crate) fn shutdown_write(&self) -> io::Result<()> {
        self.stream().shutdown(Shutdown::Write)
    }

    /// Whether the remote end is known to have shut down writing.
    pub(crate) fn remote_end_closed(&self) -> bool {
        // What epoll has reported may be from before the close.
        tcp_info::remote_end_closed(self.as_fd()).unwrap_or_else(|| {
            let ready = pin!(self.0.ready(Interest::READABLE));
            let mut context = Context::from_waker(Waker::noop());
            matches!(ready.poll(&mut context), Poll::Ready(Ok(guard)) if guard.ready().is_read_closed())
        })
    }
}

impl AsFd for AcceptedConnection {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream().as_fd()
    }
}

/// An accepted connection that could not be registered with the runtime yet.
#[derive(Debug)]
pub(crate) struct Unregistered {
    stream: TcpStream,
    remote: SocketAddr,
    since: Instant,
    retry_delay: Pin<Box<Sleep>>,
}

impl Unregistered {
    /// Tries to register a connection. It is returned where that has to be tried again.
    ///
    /// # Errors
    /// Registering has failed for too long, and the connection is closed.
    pub(crate) fn register(
        stream: TcpStream,
        remote: SocketAddr,
        since: Instant,
    ) -> io::Result<Result<(AcceptedConnection, SocketAddr), Unregistered>> {
        match AcceptedConnection::register(stream) {
            Ok(accepted) => Ok(Ok((accepted, remote))),
            Err((_, error)) if since.elapsed() >= MAX_UNREGISTERED => Err(error),
            Err((stream, _)) => Ok(Err(Unregistered {
                stream,
                remote,
                since,
                retry_delay: Box::pin(sleep(REGISTER_RETRY_INTERVAL)),
            })),
        }
    }

    /// Waits until the next try is due.
    pub(crate) fn poll_retry_delay(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.retry_delay.as_mut().poll(cx)
    }

    /// Tries again to register the connection.
    ///
    /// # Errors
    /// As [`Unregistered::register`].
    pub(crate) fn register_again(self) -> io::Result<Result<(AcceptedConnection, SocketAddr), Unregistered>> {
        Unregistered::register(self.stream, self.remote, self.since)
    }
}

/// Registers a socket with the runtime.
///
/// # Errors
/// The failure, and the socket.
#[allow(unsafe_code)]
pub(crate) fn register<T: AsRawFd + Into<OwnedFd>>(
    socket: T,
    interest: Interest,
) -> Result<AsyncFd<T>, (T, io::Error)> {
    // SAFETY: a type that converts into an owned descriptor owns one: it is open, and the same, until the socket is
    // dropped, which the `AsyncFd` does after it has ended the registration.
    let registered = unsafe { AsyncFd::register_with_interest(socket, interest) };
    registered.map_err(|error| error.into_parts())
}

/// Accepts the next connection in a listener's queue, without blocking.
#[allow(unsafe_code)]
pub(crate) fn accept(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let flags = libc::SOCK_NONBLOCK | libc::SOCK_CLOEXEC;
    // SAFETY: the listener is open for as long as it is borrowed. The kernel writes the address into the storage, no
    // more than the given length, and stores its actual length; where the call fails neither is used.
    let accepted = unsafe {
        SockAddr::try_init(|storage, length| {
            let descriptor = libc::accept4(listener.as_raw_fd(), storage.cast(), length, flags);
            if descriptor == -1 {
                return Err(io::Error::last_os_error());
            }
            // SAFETY: the descriptor has just been opened by this call, and nothing else owns it.
            Ok(OwnedFd::from_raw_fd(descriptor))
        })
    };
    let (descriptor, address) = accepted?;
    let address = address.as_socket().ok_or(ErrorKind::InvalidData)?;
    Ok((descriptor.into(), address))
}
