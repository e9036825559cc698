//! Tokio's sockets as the node uses them: calls that a signal interrupts are made again, and a short read says nothing
//! of what comes next.
//!
//! Tokio's own `poll_read` takes a short read as a sign that the socket is drained, and waits for the next edge of epoll.
//! read(2) allows a short one at any time (a signal, the urgent mark), after which no edge may ever come. Here the
//! readiness to read ends only with `EAGAIN`. A short write is taken for a full buffer, as tokio does: a second try at
//! once would make the system's buffer grow, and with it what can't be taken back.

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

use crate::accepted::{self, Accepted, Unwatched};
use crate::interrupted::{self, TRIES, is_interrupted, poll_retry};
use crate::{Datagrams, Listener, Reading, Stream, tcp_info};

/// The most that is read at once into a buffer which has to be cleared first.
const READ_AT_ONCE: usize = 16 * 1024;
/// Tries to switch off the delay of a connection: it may fail for want of memory, and works without.
const NO_DELAY_TRIES: usize = 3;

/// A TCP connection of this machine.
#[derive(Debug)]
pub struct MachineStream(Connection);

/// A connection by who made it.
#[derive(Debug)]
enum Connection {
    /// This side.
    Opened(TcpStream),
    /// The other side.
    Accepted(Accepted),
}

#[derive(Debug)]
enum ReadingHalf {
    Opened(OwnedReadHalf),
    Accepted(Accepted),
}

#[derive(Debug)]
enum WritingHalf {
    Opened(OwnedWriteHalf),
    Accepted(AcceptedWriting),
}

/// The half of an accepted connection that is written to.
#[derive(Debug)]
struct AcceptedWriting {
    connection: Accepted,
    /// The sending has been ended.
    ended: bool,
}

impl AcceptedWriting {
    fn end_sending(&mut self) -> io::Result<()> {
        self.ended = true;
        self.connection.end_sending()
    }
}

impl Drop for AcceptedWriting {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.end_sending();
        }
    }
}

/// The half of a TCP connection that is read from.
#[derive(Debug)]
pub struct MachineReading {
    half: ReadingHalf,
    /// The last read was interrupted again and again: other tasks run before the next.
    interrupted: Cell<bool>,
}

/// The half of a TCP connection that is written to; dropping it ends the sending.
#[derive(Debug)]
pub struct MachineWriting(WritingHalf);

/// A TCP socket of this machine that waits for connections.
#[derive(Debug)]
pub struct MachineListener {
    socket: AsyncFd<std::net::TcpListener>,
    /// A connection that was accepted and is not watched yet.
    unwatched: RefCell<Option<Unwatched>>,
}

/// A UDP socket of this machine.
#[derive(Debug)]
pub struct MachineDatagrams(UdpSocket);

impl MachineStream {
    /// Opens a connection. A connect that is interrupted goes on in the background, on a socket that tokio has closed
    /// by then: it is begun anew on another.
    pub(crate) async fn connect(to: SocketAddr) -> io::Result<MachineStream> {
        for _ in 1..TRIES {
            match TcpStream::connect(to).await {
                Err(error) if is_interrupted(&error) => yield_now().await,
                connected => return connected.map(MachineStream::opened),
            }
        }
        TcpStream::connect(to).await.map(MachineStream::opened)
    }

    fn opened(stream: TcpStream) -> MachineStream {
        without_delay(|| stream.set_nodelay(true));
        MachineStream(Connection::Opened(stream))
    }

    fn accepted(connection: Accepted) -> MachineStream {
        without_delay(|| connection.set_nodelay());
        MachineStream(Connection::Accepted(connection))
    }
}

/// Switches off the delay of small writes. Where that fails the connection is used all the same: an answer that is late is
/// better than none, and a connection that is broken says so at its first read or write.
fn without_delay(set: impl Fn() -> io::Result<()>) {
    for _ in 0..NO_DELAY_TRIES {
        if set().is_ok() {
            break;
        }
    }
}

impl Stream for MachineStream {
    type Reading = MachineReading;
    type Writing = MachineWriting;

    fn into_halves(self) -> (MachineReading, MachineWriting) {
        let (half, writing) = match self.0 {
            Connection::Opened(stream) => {
                let (reading, writing) = stream.into_split();
                (ReadingHalf::Opened(reading), WritingHalf::Opened(writing))
            }
            Connection::Accepted(connection) => {
                let writing = AcceptedWriting { connection: connection.clone(), ended: false };
                (ReadingHalf::Accepted(connection), WritingHalf::Accepted(writing))
            }
        };
        (MachineReading { half, interrupted: Cell::new(false) }, MachineWriting(writing))
    }
}

impl Reading for MachineReading {
    async fn readable(&self) -> io::Result<()> {
        if self.interrupted.take() {
            yield_now().await;
        }
        match &self.half {
            ReadingHalf::Opened(half) => half.readable().await,
            ReadingHalf::Accepted(connection) => connection.readable().await,
        }
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        let read = interrupted::retry(|| match &self.half {
            ReadingHalf::Opened(half) => half.try_read_buf(buffer),
            ReadingHalf::Accepted(connection) => connection.try_read_buf(buffer),
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
            ReadingHalf::Opened(half) => {
                let stream: &TcpStream = half.as_ref();
                tcp_info::since_last_data(stream.as_fd())
            }
            ReadingHalf::Accepted(connection) => tcp_info::since_last_data(connection.as_fd()),
        }
    }

    fn acknowledge_at_once(&self) {
        if let ReadingHalf::Opened(half) = &self.half {
            let stream: &TcpStream = half.as_ref();
            // Where that fails it is acknowledged some 40 ms later.
            let _ = stream.set_quickack(true);
        }
    }

    fn remote_end_closed(&self) -> bool {
        let half = match &self.half {
            ReadingHalf::Opened(half) => half,
            ReadingHalf::Accepted(connection) => return connection.other_side_has_ended(),
        };
        let ready = pin!(half.ready(Interest::READABLE));
        let mut context = Context::from_waker(Waker::noop());
        matches!(ready.poll(&mut context), Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}

impl AsyncRead for MachineStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let room = buffer.initialize_unfilled_to(buffer.remaining().min(READ_AT_ONCE));
        let read = poll_retry(cx, |cx| match &self.0 {
            Connection::Opened(stream) => loop {
                ready!(stream.poll_read_ready(cx))?;
                match stream.try_read(room) {
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    read => return Poll::Ready(read),
                }
            },
            Connection::Accepted(connection) => connection.poll_read(cx, room),
        });
        let length = ready!(read)?;
        buffer.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MachineStream {
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
        // Nothing is held back.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_retry(cx, |cx| match &mut self.0 {
            Connection::Opened(stream) => Pin::new(stream).poll_shutdown(cx),
            Connection::Accepted(connection) => Poll::Ready(connection.end_sending()),
        })
    }
}

impl AsyncWrite for MachineWriting {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_retry(cx, |cx| match &mut self.0 {
            WritingHalf::Opened(half) => Pin::new(half).poll_write(cx, bytes),
            WritingHalf::Accepted(half) => half.connection.poll_write(cx, bytes),
        })
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_retry(cx, |cx| match &mut self.0 {
            WritingHalf::Opened(half) => Pin::new(half).poll_write_vectored(cx, slices),
            WritingHalf::Accepted(half) => half.connection.poll_write_vectored(cx, slices),
        })
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is held back.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_retry(cx, |cx| match &mut self.0 {
            WritingHalf::Opened(half) => Pin::new(half).poll_shutdown(cx),
            WritingHalf::Accepted(half) => Poll::Ready(half.end_sending()),
        })
    }
}

impl MachineListener {
    /// Listens at an address.
    pub(crate) async fn bind(at: SocketAddr) -> io::Result<MachineListener> {
        MachineListener::watch(TcpListener::bind(at).await?.into_std()?)
    }

    /// Goes on with a listener that was made elsewhere.
    pub(crate) fn adopt(listener: std::net::TcpListener) -> io::Result<MachineListener> {
        listener.set_nonblocking(true)?;
        MachineListener::watch(listener)
    }

    fn watch(listener: std::net::TcpListener) -> io::Result<MachineListener> {
        let socket = accepted::watch(listener, Interest::READABLE).map_err(|(_, error)| error)?;
        Ok(MachineListener { socket, unwatched: RefCell::new(None) })
    }

    /// The next connection off the queue, whether or not it can be watched.
    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<io::Result<(std::net::TcpStream, SocketAddr)>> {
        loop {
            let mut guard = ready!(self.socket.poll_read_ready(cx))?;
            if let Ok(accepted) = guard.try_io(|socket| accepted::accept(socket.get_ref())) {
                return Poll::Ready(accepted);
            }
        }
    }
}

impl Listener for MachineListener {
    type Stream = MachineStream;

    async fn accept(&self) -> io::Result<(MachineStream, SocketAddr)> {
        poll_fn(|cx| self.poll_accept(cx)).await
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(MachineStream, SocketAddr)>> {
        let mut unwatched = self.unwatched.borrow_mut();
        loop {
            if let Some(waiting) = unwatched.as_mut() {
                ready!(waiting.poll_pause(cx));
            }
            let watched = match unwatched.take() {
                Some(waiting) => waiting.watch_again()?,
                None => {
                    let (stream, from) = ready!(poll_retry(cx, |cx| self.poll_next(cx)))?;
                    Unwatched::watch(stream, from, Instant::now())?
                }
            };
            match watched {
                Ok((connection, from)) => {
                    return Poll::Ready(Ok((MachineStream::accepted(connection), from)));
                }
                Err(waiting) => *unwatched = Some(waiting),
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        interrupted::retry(|| self.socket.get_ref().local_addr())
    }
}

impl MachineDatagrams {
    /// Opens a socket at an address.
    pub(crate) async fn bind(at: SocketAddr) -> io::Result<MachineDatagrams> {
        UdpSocket::bind(at).await.map(MachineDatagrams)
    }

    /// Where it is open.
    ///
    /// # Errors
    /// What the machine says.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        interrupted::retry(|| self.0.local_addr())
    }
}

impl Datagrams for MachineDatagrams {
    async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        for _ in 1..TRIES {
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
