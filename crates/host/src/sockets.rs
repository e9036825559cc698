//! Tokio's sockets with two differences: calls interrupted by a signal are retried, and a short read says nothing about
//! what comes next.
//!
//! Tokio's own `poll_read` takes a short read as a sign that the socket is drained, and waits for the next edge of
//! epoll. read(2) allows a short read at any time (a signal, the urgent mark), after which no edge may ever come. Here
//! the readiness to read ends only with `EAGAIN`. A short write is taken as a full buffer, as in tokio: a second try at
//! once would make the system's buffer grow, and with it the data that can't be taken back.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::unix::AsyncFd;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::yield_now;
use tokio::time::Instant;

use crate::accepted::{self, AcceptedConnection, Unregistered};
use crate::interrupted::{self, MAX_TRIES, is_interrupted, poll_retry};
use crate::{Datagrams, Listener, Reading, Stream, tcp_info};

/// The most that is read at once into a buffer that has to be cleared first.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Tries to set `TCP_NODELAY`: it may fail for lack of memory, and the connection works without it.
const MAX_NODELAY_TRIES: usize = 3;

/// A TCP connection of the operating system.
#[derive(Debug)]
pub struct SystemStream(Connection);

/// A connection, by the side that opened it.
#[derive(Debug)]
enum Connection {
    /// Opened by this process.
    Opened(TcpStream),
    /// Opened by the remote end.
    Accepted(AcceptedConnection),
}

#[derive(Debug)]
enum ReadHalf {
    Opened(OwnedReadHalf),
    Accepted(AcceptedConnection),
}

#[derive(Debug)]
enum WriteHalf {
    Opened(OwnedWriteHalf),
    Accepted(AcceptedWriteHalf),
}

/// The half of an accepted connection that is written to.
#[derive(Debug)]
struct AcceptedWriteHalf {
    connection: AcceptedConnection,
    /// Writing has been shut down.
    write_shut_down: bool,
}

impl AcceptedWriteHalf {
    fn shutdown_write(&mut self) -> io::Result<()> {
        self.write_shut_down = true;
        self.connection.shutdown_write()
    }
}

impl Drop for AcceptedWriteHalf {
    fn drop(&mut self) {
        if !self.write_shut_down {
            let _ = self.shutdown_write();
        }
    }
}

/// The half of a TCP connection that is read from.
#[derive(Debug)]
pub struct SystemReadHalf {
    half: ReadHalf,
    /// The last read was interrupted repeatedly: other tasks run before the next.
    interrupted: Cell<bool>,
}

/// The half of a TCP connection that is written to; dropping it shuts down writing.
#[derive(Debug)]
pub struct SystemWriteHalf(WriteHalf);

/// A listening TCP socket of the operating system.
#[derive(Debug)]
pub struct SystemListener {
    socket: AsyncFd<std::net::TcpListener>,
    /// A connection that was accepted and is not registered with the runtime yet.
    unregistered: RefCell<Option<Unregistered>>,
}

/// A UDP socket of the operating system.
#[derive(Debug)]
pub struct SystemDatagrams(UdpSocket);

impl SystemStream {
    /// Opens a connection. A connect that is interrupted continues in the background, on a socket that tokio has closed
    /// by then: it is started again on another one.
    pub(crate) async fn connect(to: SocketAddr) -> io::Result<SystemStream> {
        for _ in 1..MAX_TRIES {
            match TcpStream::connect(to).await {
                Err(error) if is_interrupted(&error) => yield_now().await,
                connected => return connected.map(SystemStream::opened),
            }
        }
        TcpStream::connect(to).await.map(SystemStream::opened)
    }

    fn opened(stream: TcpStream) -> SystemStream {
        set_nodelay(|| stream.set_nodelay(true));
        SystemStream(Connection::Opened(stream))
    }

    fn accepted(connection: AcceptedConnection) -> SystemStream {
        set_nodelay(|| connection.set_nodelay());
        SystemStream(Connection::Accepted(connection))
    }
}

/// Sets `TCP_NODELAY`. Where that fails the connection is used nevertheless: a delayed answer is better than none, and
/// a broken connection reports so at its first read or write.
fn set_nodelay(set: impl Fn() -> io::Result<()>) {
    for _ in 0..MAX_NODELAY_TRIES {
        if set().is_ok() {
            break;
        }
    }
}

impl Stream for SystemStream {
    type Reading = SystemReadHalf;
    type Writing = SystemWriteHalf;

    fn into_halves(self) -> (SystemReadHalf, SystemWriteHalf) {
        let (half, writing) = match self.0 {
            Connection::Opened(stream) => {
                let (reading, writing) = stream.into_split();
                (ReadHalf::Opened(reading), WriteHalf::Opened(writing))
            }
            Connection::Accepted(connection) => {
                let writing = AcceptedWriteHalf { connection: connection.clone(), write_shut_down: false };
                (ReadHalf::Accepted(connection), WriteHalf::Accepted(writing))
            }
        };
        (SystemReadHalf { half, interrupted: Cell::new(false) }, SystemWriteHalf(writing))
    }
}

impl Reading for SystemReadHalf {
    async fn readable(&self) -> io::Result<()> {
        if self.interrupted.take() {
            yield_now().await;
        }
        match &self.half {
            ReadHalf::Opened(half) => half.readable().await,
            ReadHalf::Accepted(connection) => connection.readable().await,
        }
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        let read = interrupted::retry(|| match &self.half {
            ReadHalf::Opened(half) => half.try_read_buf(buffer),
            ReadHalf::Accepted(connection) => connection.try_read_buf(buffer),
        });
        match read {
            Err(error) if is_interrupted(&error) => {
                self.interrupted.set(true);
                Err(ErrorKind::WouldBlock.into())
            }
            read => read,
        }
    }

    fn since_last_arrival(&self) -> Option<Duration> {
        match &self.half {
            ReadHalf::Opened(half) => {
                let stream: &TcpStream = half.as_ref();
                tcp_info::since_last_data(stream.as_fd())
            }
            ReadHalf::Accepted(connection) => tcp_info::since_last_data(connection.as_fd()),
        }
    }

    fn acknowledge_at_once(&self) {
        if let ReadHalf::Opened(half) = &self.half {
            let stream: &TcpStream = half.as_ref();
            // Where that fails, the kernel acknowledges some 40 ms later.
            let _ = stream.set_quickack(true);
        }
    }

    fn remote_end_closed(&self) -> bool {
        let half = match &self.half {
            ReadHalf::Opened(half) => half,
            ReadHalf::Accepted(connection) => return connection.remote_end_closed(),
        };
        let stream: &TcpStream = half.as_ref();
        // What epoll has reported may be from before the close.
        tcp_info::remote_end_closed(stream.as_fd()).unwrap_or_else(|| {
            let ready = pin!(half.ready(Interest::READABLE));
            let mut context = Context::from_waker(Waker::noop());
            matches!(ready.poll(&mut context), Poll::Ready(Ok(ready)) if ready.is_read_closed())
        })
    }
}

impl AsyncRead for SystemStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let space = buffer.initialize_unfilled_to(buffer.remaining().min(MAX_READ_BYTES));
        let read = poll_retry(cx, |cx| match &self.0 {
            Connection::Opened(stream) => loop {
                ready!(stream.poll_read_ready(cx))?;
                match stream.try_read(space) {
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    read => return Poll::Ready(read),
                }
            },
            Connection::Accepted(connection) => connection.poll_read(cx, space),
        });
        let length = ready!(read)?;
        buffer.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SystemStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_retry(cx, |cx| match &mut self.0 {
            Connection::Opened(stream) => Pin::new(stream).poll_write(cx, bytes),
            Connection::Accepted(connection) => connection.poll_write(cx, bytes),
        })
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_retry(cx, |cx| match &mut self.0 {
            Connection::Opened(stream) => Pin::new(stream).poll_write_vectored(cx, slices),
            Connection::Accepted(connection) => connection.poll_write_vectored(cx, slices),
        })
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Writes are not buffered here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_retry(cx, |cx| match &mut self.0 {
            Connection::Opened(stream) => Pin::new(stream).poll_shutdown(cx),
            Connection::Accepted(connection) => Poll::Ready(connection.shutdown_write()),
        })
    }
}

impl AsyncWrite for SystemWriteHalf {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_retry(cx, |cx| match &mut self.0 {
            WriteHalf::Opened(half) => Pin::new(half).poll_write(cx, bytes),
            WriteHalf::Accepted(half) => half.connection.poll_write(cx, bytes),
        })
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_retry(cx, |cx| match &mut self.0 {
            WriteHalf::Opened(half) => Pin::new(half).poll_write_vectored(cx, slices),
            WriteHalf::Accepted(half) => half.connection.poll_write_vectored(cx, slices),
        })
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Writes are not buffered here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_retry(cx, |cx| match &mut self.0 {
            WriteHalf::Opened(half) => Pin::new(half).poll_shutdown(cx),
            WriteHalf::Accepted(half) => Poll::Ready(half.shutdown_write()),
        })
    }
}

impl SystemListener {
    /// Listens at an address.
    pub(crate) async fn bind(at: SocketAddr) -> io::Result<SystemListener> {
        SystemListener::register(TcpListener::bind(at).await?.into_std()?)
    }

    /// Uses a listener that was opened elsewhere.
    pub(crate) fn adopt(listener: std::net::TcpListener) -> io::Result<SystemListener> {
        listener.set_nonblocking(true)?;
        SystemListener::register(listener)
    }

    fn register(listener: std::net::TcpListener) -> io::Result<SystemListener> {
        let socket = accepted::register(listener, Interest::READABLE).map_err(|(_, error)| error)?;
        Ok(SystemListener { socket, unregistered: RefCell::new(None) })
    }

    /// The next connection in the queue, whether or not it can be registered with the runtime.
    fn poll_accept_unregistered(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<(std::net::TcpStream, SocketAddr)>> {
        loop {
            let mut guard = ready!(self.socket.poll_read_ready(cx))?;
            if let Ok(accepted) = guard.try_io(|socket| accepted::accept(socket.get_ref())) {
                return Poll::Ready(accepted);
            }
        }
    }
}

impl Listener for SystemListener {
    type Stream = SystemStream;

    async fn accept(&self) -> io::Result<(SystemStream, SocketAddr)> {
        poll_fn(|cx| self.poll_accept(cx)).await
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(SystemStream, SocketAddr)>> {
        let mut unregistered = self.unregistered.borrow_mut();
        loop {
            if let Some(waiting) = unregistered.as_mut() {
                ready!(waiting.poll_retry_delay(cx));
            }
            let registered = match unregistered.take() {
                Some(waiting) => waiting.register_again()?,
                None => {
                    let (stream, remote) = ready!(poll_retry(cx, |cx| self.poll_accept_unregistered(cx)))?;
                    Unregistered::register(stream, remote, Instant::now())?
                }
            };
            match registered {
                Ok((connection, remote)) => {
                    return Poll::Ready(Ok((SystemStream::accepted(connection), remote)));
                }
                Err(waiting) => *unregistered = Some(waiting),
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        interrupted::retry(|| self.socket.get_ref().local_addr())
    }
}

impl SystemDatagrams {
    /// Opens a socket at an address.
    pub(crate) async fn bind(at: SocketAddr) -> io::Result<SystemDatagrams> {
        UdpSocket::bind(at).await.map(SystemDatagrams)
    }

    /// The address at which it is open.
    ///
    /// # Errors
    /// An error of the system.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        interrupted::retry(|| self.0.local_addr())
    }
}

impl Datagrams for SystemDatagrams {
    async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        for _ in 1..MAX_TRIES {
            match self.0.recv_from(buffer).await {
                Err(error) if is_interrupted(&error) => yield_now().await,
                received => return received,
            }
        }
        self.0.recv_from(buffer).await
    }

    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        interrupted::retry(|| self.0.try_send_to(bytes, to))
    }
}
