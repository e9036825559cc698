//! What a machine gives to a program: sockets, the time of day and a log.
//!
//! Everything that the node, and every stand-in round it, does outside its own memory goes through [`Host`]. Two
//! hosts exist: [`Machine`], which is tokio's sockets and the system's clock, and the simulated one in
//! `chalksill-simnet`. The traits are resolved when a program is compiled, so the real one costs nothing.
//!
//! Spans are measured with tokio's clock ([`tokio::time`]), which a simulation pauses; it is no part of the trait.

mod accepted;
pub mod failure;
pub mod inherited;
mod interrupted;
mod machine;
pub mod opening;
pub mod receiving;
pub mod sockets;
mod tcp_info;

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite};

pub use machine::SystemHost;

/// A machine as a program sees it. A clone is the same machine.
pub trait Host: Clone + 'static {
    /// A TCP connection.
    type Stream: Stream;
    /// A TCP socket that waits for connections.
    type Listener: Listener<Stream = Self::Stream>;
    /// A UDP socket.
    type Datagrams: Datagrams;

    /// Opens a connection. It may stay without an answer for ever: the caller sets the limit.
    ///
    /// # Errors
    /// `ConnectionRefused` where nothing listens, or what else the machine says.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Listens for connections. Port 0 takes any that is free.
    ///
    /// # Errors
    /// `AddrInUse` where something listens there already, or what else the machine says.
    fn listen(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Opens a socket for datagrams.
    ///
    /// # Errors
    /// `AddrInUse` where one is open there already, or what else the machine says.
    fn datagrams(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Datagrams>>;

    /// The time of day, since the start of 1970. It may be set back; spans are not measured with it.
    fn unix_time(&self) -> Duration;

    /// Writes a line for the people on call. It never fails and never waits.
    fn log(&self, line: fmt::Arguments<'_>);
}

/// A TCP connection, sent without delay (`TCP_NODELAY`). Dropping it closes it; what was not read then resets it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// The half that is read from.
    type Reading: Reading;
    /// The half that is written to; dropping it ends the sending.
    type Writing: AsyncWrite + Unpin + 'static;

    /// Splits it, so that both directions go on side by side.
    fn into_halves(self) -> (Self::Reading, Self::Writing);
}

/// The half of a connection that is read from. The two steps let a reader wait without holding a buffer.
pub trait Reading: 'static {
    /// Waits until something can be read, the end included. Safe to drop and call again.
    ///
    /// # Errors
    /// What ended the connection.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;

    /// Reads what is there into the room that the buffer has; 0 at the end.
    ///
    /// # Errors
    /// `WouldBlock` where nothing is there, or what ended the connection.
    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize>;

    /// How long ago the last bytes of the other side arrived at this machine, read or not; `None` where it doesn't tell.
    fn since_last_arrival(&self) -> Option<Duration>;

    /// Has what has come acknowledged without delay: the other side may hold back something small until then (`TCP_QUICKACK`,
    /// tcp(7)). Holds for what comes next alone.
    fn acknowledge_at_once(&self) {}

    /// Whether the other side is known to have ended its sending, though there may be something left to read.
    fn remote_end_closed(&self) -> bool;
}

/// A TCP socket that waits for connections.
pub trait Listener: 'static {
    /// What it accepts.
    type Stream;

    /// Takes the next connection, with the address of the other side.
    ///
    /// # Errors
    /// What hindered this one connection, or a lack of descriptors: the listener goes on.
    fn accept(&self) -> impl Future<Output = io::Result<(Self::Stream, SocketAddr)>>;

    /// Takes a connection if one is there.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(Self::Stream, SocketAddr)>>;

    /// Where it listens.
    ///
    /// # Errors
    /// What the machine says.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// A UDP socket.
pub trait Datagrams: 'static {
    /// Takes the next datagram: its length, cut to that of the buffer, and its sender.
    ///
    /// # Errors
    /// That of an earlier datagram which found no receiver.
    fn recv_from(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;

    /// Sends one if it can go at once.
    ///
    /// # Errors
    /// `WouldBlock` where it can't; it is lost then.
    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize>;
}
