//! The operating system as a program sees it: sockets, the time of day and a log.
//!
//! Everything that the node, and every stub around it, does outside its own memory goes through [`Host`]. It has two
//! implementations: [`SystemHost`] with tokio's sockets and the system's clock, and the simulated one in
//! `chalksill-simnet`. The traits are resolved at compile time, so the real one costs nothing.
//!
//! Durations are measured with tokio's clock ([`tokio::time`]), which a simulation pauses; it is no part of the trait.

mod accepted;
pub mod failure;
pub mod inherited;
mod interrupted;
pub mod opening;
pub mod receiving;
pub mod sockets;
mod system_host;
mod tcp_info;

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite};

pub use system_host::SystemHost;

/// The operating system as a program sees it. A clone refers to the same system.
pub trait Host: Clone + 'static {
    /// A TCP connection.
    type Stream: Stream;
    /// A listening TCP socket.
    type Listener: Listener<Stream = Self::Stream>;
    /// A UDP socket.
    type Datagrams: Datagrams;

    /// Opens a connection. It may never complete: the caller sets the time-out.
    ///
    /// # Errors
    /// `ConnectionRefused` where nothing listens, or any other error of the system.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Listens for connections. Port 0 takes any free port.
    ///
    /// # Errors
    /// `AddrInUse` where a socket listens there already, or any other error of the system.
    fn listen(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Opens a UDP socket.
    ///
    /// # Errors
    /// `AddrInUse` where a socket is open there already, or any other error of the system.
    fn datagrams(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Datagrams>>;

    /// The time of day, since the start of 1970. It may be set back; durations are not measured with it.
    fn unix_time(&self) -> Duration;

    /// Resident memory of this process in bytes, without its program and files; `None` where it is not known.
    fn resident_memory(&self) -> Option<u64> {
        None
    }

    /// Writes a line to the operators' log. It never fails and never blocks.
    fn log(&self, line: fmt::Arguments<'_>);
}

/// A TCP connection without delay of small writes (`TCP_NODELAY`). Dropping it closes it; unread data then resets it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// The half that is read from.
    type Reading: Reading;
    /// The half that is written to; dropping it shuts down writing.
    type Writing: AsyncWrite + Unpin + 'static;

    /// Splits the connection, so that both directions proceed concurrently.
    fn into_halves(self) -> (Self::Reading, Self::Writing);
}

/// The half of a connection that is read from. The two steps let a reader wait without holding a buffer.
pub trait Reading: 'static {
    /// Waits until something can be read, the end included. Safe to drop and call again.
    ///
    /// # Errors
    /// What ended the connection.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;

    /// Reads available data into the spare capacity of the buffer; 0 at the end of the stream.
    ///
    /// # Errors
    /// `WouldBlock` where no data is available, or the error that ended the connection.
    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize>;

    /// How long ago the last bytes from the remote end arrived at this machine, read or not; `None` where the system
    /// doesn't tell.
    fn since_last_arrival(&self) -> Option<Duration>;

    /// Acknowledges received data without delay: the remote end may hold back a small write until then (`TCP_QUICKACK`,
    /// tcp(7)). Applies to the next data only.
    fn acknowledge_at_once(&self) {}

    /// Whether the remote end is known to have shut down writing, though there may be data left to read.
    fn remote_end_closed(&self) -> bool;
}

/// A listening TCP socket.
pub trait Listener: 'static {
    /// What it accepts.
    type Stream;

    /// Accepts the next connection, with the address of the remote end.
    ///
    /// # Errors
    /// A failure of this one connection, or a lack of descriptors: the listener stays usable.
    fn accept(&self) -> impl Future<Output = io::Result<(Self::Stream, SocketAddr)>>;

    /// Accepts a connection if one is waiting.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(Self::Stream, SocketAddr)>>;

    /// The address at which it listens.
    ///
    /// # Errors
    /// An error of the system.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// A UDP socket.
pub trait Datagrams: 'static {
    /// Receives the next datagram: its length, cut to that of the buffer, and its sender.
    ///
    /// # Errors
    /// An error that an earlier datagram caused because it reached no receiver.
    fn recv_from(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;

    /// Sends a datagram if that is possible at once.
    ///
    /// # Errors
    /// `WouldBlock` where it is not; the datagram is lost then.
    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize>;
}
