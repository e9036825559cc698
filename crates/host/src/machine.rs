//! The machine that the program runs on: tokio's sockets, the system's clock and standard error.

use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::BytesMut;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::{Datagrams, Host, Listener, Reading, Stream};

/// The machine that the program runs on.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Stands before each line of the log.
    pub program: &'static str,
}

impl Machine {
    /// Goes on with a listener that was made elsewhere. Must run inside the runtime that will drive it.
    ///
    /// # Errors
    /// What the machine says.
    pub fn adopt(&self, listener: std::net::TcpListener) -> io::Result<TcpListener> {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    }
}

impl Host for Machine {
    type Stream = TcpStream;
    type Listener = TcpListener;
    type Datagrams = UdpSocket;

    async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(at).await
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<UdpSocket> {
        UdpSocket::bind(at).await
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }

    /// A log that can't be written must not end the program.
    fn log(&self, line: fmt::Arguments<'_>) {
        let _ = writeln!(io::stderr(), "{}: {line}", self.program);
    }
}

impl Stream for TcpStream {
    type Reading = OwnedReadHalf;
    type Writing = OwnedWriteHalf;

    fn into_halves(self) -> (OwnedReadHalf, OwnedWriteHalf) {
        self.into_split()
    }
}

impl Reading for OwnedReadHalf {
    async fn readable(&self) -> io::Result<()> {
        OwnedReadHalf::readable(self).await
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        OwnedReadHalf::try_read_buf(self, buffer)
    }
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        let (stream, from) = TcpListener::accept(self).await?;
        let _ = stream.set_nodelay(true);
        Ok((stream, from))
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(TcpStream, SocketAddr)>> {
        TcpListener::poll_accept(self, cx).map_ok(|(stream, from)| {
            let _ = stream.set_nodelay(true);
            (stream, from)
        })
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        TcpListener::local_addr(self)
    }
}

impl Datagrams for UdpSocket {
    async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        UdpSocket::recv_from(self, buffer).await
    }

    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        UdpSocket::try_send_to(self, bytes, to)
    }
}
