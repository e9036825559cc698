//! Sockets of a simulated machine.

use std::fmt;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use mothpier_host::{Datagrams, Host, Listener, Reading, Stream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::WINDOW_BYTES;
use crate::net::{ConnectionId, DatagramSocket, ListenerState, Net, Packet, Phase, ProcessId, wake};

/// A process's interface to its simulated machine.
#[derive(Clone)]
pub struct SimHost {
    pub(crate) net: Net,
    pub(crate) ip: IpAddr,
    pub(crate) process: ProcessId,
    pub(crate) name: Rc<str>,
}

impl SimHost {
    /// Its process id.
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// The machine's address.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// A listener that another process opened on this machine, as inherited by this one: each connection is
    /// accepted by one of them, and the listener exists as long as one of them does.
    ///
    /// # Errors
    /// Nothing listens at the address.
    pub fn inherit(&self, at: SocketAddr) -> io::Result<SimListener> {
        let mut state = self.net.state.borrow_mut();
        let listener = state.listeners.get_mut(&at).ok_or(ErrorKind::NotFound)?;
        listener.acceptors.push((self.process, None));
        *state.socket_counts.entry(self.process).or_default() += 1;
        Ok(SimListener { host: self.clone(), address: at })
    }
}

impl Host for SimHost {
    type Stream = SimStream;
    type Listener = SimListener;
    type Datagrams = SimDatagrams;

    async fn connect(&self, to: SocketAddr) -> io::Result<SimStream> {
        let id = self.net.state.borrow_mut().open_connection(self.ip, self.process, to);
        // Created before the wait, so that dropping the future closes the connection.
        let socket = Socket::open_handle(&self.net, id, 0);
        self.net.send(self.ip, to.ip(), Packet::Syn(id));
        poll_fn(|cx| {
            let mut state = self.net.state.borrow_mut();
            let Some(connection) = state.connections.get_mut(&id) else {
                return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
            };
            match connection.phase {
                Phase::Connecting => {
                    connection.connect_waker = Some(cx.waker().clone());
                    Poll::Pending
                }
                Phase::Up => Poll::Ready(Ok(())),
                Phase::Refused => Poll::Ready(Err(io::Error::from(ErrorKind::ConnectionRefused))),
            }
        })
        .await?;
        Ok(SimStream::unsplit(socket))
    }

    async fn listen(&self, mut at: SocketAddr) -> io::Result<SimListener> {
        let mut state = self.net.state.borrow_mut();
        if at.port() == 0 {
            let free =
                (10_000..u16::MAX).find(|p| !state.listeners.contains_key(&SocketAddr::new(at.ip(), *p)));
            at.set_port(free.ok_or(ErrorKind::AddrInUse)?);
        }
        if state.listeners.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        state
            .listeners
            .insert(at, ListenerState { acceptors: vec![(self.process, None)], queue: Default::default() });
        *state.socket_counts.entry(self.process).or_default() += 1;
        Ok(SimListener { host: self.clone(), address: at })
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<SimDatagrams> {
        let mut state = self.net.state.borrow_mut();
        if state.datagram_sockets.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        state
            .datagram_sockets
            .insert(at, DatagramSocket { process: self.process, queue: Default::default(), waker: None });
        *state.socket_counts.entry(self.process).or_default() += 1;
        Ok(SimDatagrams { host: self.clone(), address: at })
    }

    fn unix_time(&self) -> Duration {
        self.net.unix_time(self.ip)
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        self.net.write_log(&self.name, line);
    }
}

/// A handle of one side of a connection.
struct Socket {
    net: Net,
    id: ConnectionId,
    side: usize,
}

impl Socket {
    fn open_handle(net: &Net, id: ConnectionId, side: usize) -> Socket {
        if let Some(connection) = net.state.borrow_mut().connections.get_mut(&id) {
            connection.endpoints[side].handles += 1;
        }
        Socket { net: net.clone(), id, side }
    }

    /// The number of readable bytes, `None` at the end of the stream, or the error.
    fn poll_readable(&self, cx: Option<&mut Context<'_>>) -> Poll<io::Result<Option<usize>>> {
        let mut state = self.net.state.borrow_mut();
        let Some(connection) = state.connections.get_mut(&self.id) else {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        };
        let end = &mut connection.endpoints[self.side];
        if !end.received.is_empty() {
            return Poll::Ready(Ok(Some(end.received.len())));
        }
        if let Some(error) = end.error {
            return Poll::Ready(Err(error.into()));
        }
        if end.remote_closed {
            return Poll::Ready(Ok(None));
        }
        if let Some(cx) = cx {
            end.read_waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    fn read(&self, limit: usize) -> Bytes {
        let mut state = self.net.state.borrow_mut();
        let Some(connection) = state.connections.get_mut(&self.id) else { return Bytes::new() };
        let inbox = &mut connection.endpoints[self.side].received;
        let taken = inbox.split_to(inbox.len().min(limit)).freeze();
        let other = &mut connection.endpoints[1 - self.side];
        other.unread_by_remote = other.unread_by_remote.saturating_sub(taken.len());
        wake(&mut other.write_waker);
        taken
    }

    fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let (from, to, packet, length) = {
            let mut state = self.net.state.borrow_mut();
            let Some(connection) = state.connections.get_mut(&self.id) else {
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            };
            let to = connection.endpoints[1 - self.side].address.ip();
            let endpoint = &mut connection.endpoints[self.side];
            if endpoint.error.is_some() || endpoint.fin_sent || endpoint.closed {
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            }
            let length = bytes.len().min(WINDOW_BYTES - endpoint.unread_by_remote.min(WINDOW_BYTES));
            if length == 0 && !bytes.is_empty() {
                endpoint.write_waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
            endpoint.unread_by_remote += length;
            let packet = Packet::Data(self.id, 1 - self.side, Bytes::copy_from_slice(&bytes[..length]));
            (endpoint.address.ip(), to, packet, length)
        };
        if length > 0 {
            self.net.send(from, to, packet);
        }
        Poll::Ready(Ok(length))
    }

    /// Closes the sending direction.
    fn shut_down_writing(&self) {
        let addresses = {
            let mut state = self.net.state.borrow_mut();
            let Some(connection) = state.connections.get_mut(&self.id) else { return };
            let to = connection.endpoints[1 - self.side].address.ip();
            let endpoint = &mut connection.endpoints[self.side];
            if std::mem::replace(&mut endpoint.fin_sent, true) || endpoint.error.is_some() || endpoint.closed
            {
                return;
            }
            (endpoint.address.ip(), to)
        };
        self.net.send(addresses.0, addresses.1, Packet::Fin(self.id, 1 - self.side));
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        let packet = {
            let mut state = self.net.state.borrow_mut();
            let Some(connection) = state.connections.get_mut(&self.id) else { return };
            let (to, connecting) =
                (connection.endpoints[1 - self.side].address.ip(), connection.phase != Phase::Up);
            let endpoint = &mut connection.endpoints[self.side];
            endpoint.handles -= 1;
            if endpoint.handles > 0 || endpoint.closed {
                return;
            }
            endpoint.closed = true;
            let process = endpoint.process;
            // A close with unread data resets, as on Linux.
            let reset = !endpoint.received.is_empty();
            let silent =
                endpoint.error.is_some() || (endpoint.fin_sent && !reset) || (self.side == 0 && connecting);
            let from = endpoint.address.ip();
            let packet = (!silent).then(|| {
                let other = 1 - self.side;
                if reset { Packet::Rst(self.id, other) } else { Packet::Fin(self.id, other) }
            });
            if let Some(count) = state.socket_counts.get_mut(&process) {
                *count = count.saturating_sub(1);
            }
            state.remove_if_done(self.id);
            packet.map(|p| (from, to, p))
        };
        if let Some((from, to, packet)) = packet {
            self.net.send(from, to, packet);
        }
    }
}

/// A TCP connection, or its write half.
pub struct SimStream {
    socket: Socket,
    /// The read half is held elsewhere: dropping this one closes the sending direction.
    read_half_taken: bool,
}

/// The read half of a connection.
pub struct SimReading(Socket);

impl SimStream {
    fn unsplit(socket: Socket) -> SimStream {
        SimStream { socket, read_half_taken: false }
    }
}

impl Stream for SimStream {
    type Reading = SimReading;
    type Writing = SimStream;

    fn into_halves(mut self) -> (SimReading, SimStream) {
        let reading = Socket::open_handle(&self.socket.net, self.socket.id, self.socket.side);
        self.read_half_taken = true;
        (SimReading(reading), self)
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        if self.read_half_taken {
            self.socket.shut_down_writing();
        }
    }
}

impl AsyncRead for SimStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.socket.poll_readable(Some(cx)).map_ok(|ready| {
            if ready.is_some() {
                buffer.put_slice(&self.socket.read(buffer.remaining()));
            }
        })
    }
}

impl AsyncWrite for SimStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.socket.poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.shut_down_writing();
        Poll::Ready(Ok(()))
    }
}

impl Reading for SimReading {
    async fn readable(&self) -> io::Result<()> {
        // An error counts as readable: the following read returns it.
        poll_fn(|cx| self.0.poll_readable(Some(cx)).map(|_| ())).await;
        Ok(())
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        match self.0.poll_readable(None) {
            Poll::Pending => Err(ErrorKind::WouldBlock.into()),
            Poll::Ready(Err(e)) => Err(e),
            Poll::Ready(Ok(None)) => Ok(0),
            Poll::Ready(Ok(Some(_))) => {
                let room = buffer.capacity() - buffer.len();
                let mut bytes = self.0.read(room);
                let length = bytes.len();
                while bytes.has_remaining() {
                    buffer.extend_from_slice(bytes.chunk());
                    bytes.advance(bytes.chunk().len());
                }
                Ok(length)
            }
        }
    }

    fn since_last_arrival(&self) -> Option<Duration> {
        let state = self.0.net.state.borrow();
        Some(state.connections.get(&self.0.id)?.endpoints[self.0.side].last_arrival.elapsed())
    }

    fn remote_end_closed(&self) -> bool {
        let state = self.0.net.state.borrow();
        let end = state.connections.get(&self.0.id).map(|connection| &connection.endpoints[self.0.side]);
        end.is_none_or(|end| end.remote_closed || end.error.is_some())
    }
}

/// A TCP listener.
pub struct SimListener {
    host: SimHost,
    address: SocketAddr,
}

impl SimListener {
    /// Waits until a connection can be accepted, and leaves it in the queue.
    pub fn poll_pending_connection(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.host.net.state.borrow_mut();
        let Some(listener) = state.listeners.get_mut(&self.address) else { return Poll::Pending };
        let Some(acceptor) = listener.acceptor_index(self.host.process) else { return Poll::Pending };
        if listener.queue.is_empty() {
            listener.acceptors[acceptor].1 = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(())
    }
}

impl Listener for SimListener {
    type Stream = SimStream;

    async fn accept(&self) -> io::Result<(SimStream, SocketAddr)> {
        poll_fn(|cx| self.poll_accept(cx)).await
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(SimStream, SocketAddr)>> {
        let (id, from) = {
            let mut state = self.host.net.state.borrow_mut();
            let process = self.host.process;
            let Some(listener) = state.listeners.get_mut(&self.address) else { return Poll::Pending };
            // The process was killed and its tasks are about to end.
            let Some(acceptor) = listener.acceptor_index(process) else { return Poll::Pending };
            let Some(id) = listener.queue.pop_front() else {
                listener.acceptors[acceptor].1 = Some(cx.waker().clone());
                return Poll::Pending;
            };
            let (conns, sockets) = state.connections_and_socket_counts();
            match conns.get_mut(&id) {
                Some(connection) => {
                    let before = std::mem::replace(&mut connection.endpoints[1].process, process);
                    if before != process {
                        *sockets.entry(process).or_default() += 1;
                        sockets.entry(before).and_modify(|count| *count = count.saturating_sub(1));
                    }
                    (id, connection.endpoints[0].address)
                }
                None => return Poll::Ready(Err(ErrorKind::ConnectionAborted.into())),
            }
        };
        Poll::Ready(Ok((SimStream::unsplit(Socket::open_handle(&self.host.net, id, 1)), from)))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }
}

impl Drop for SimListener {
    /// Resets connections that were not accepted; new ones are refused.
    fn drop(&mut self) {
        let queued = {
            let mut state = self.host.net.state.borrow_mut();
            let process = self.host.process;
            if state
                .listeners
                .get(&self.address)
                .is_none_or(|listener| listener.acceptor_index(process).is_none())
            {
                return;
            }
            if let Some(count) = state.socket_counts.get_mut(&process) {
                *count = count.saturating_sub(1);
            }
            state.remove_acceptor(self.address, process)
        };
        for id in queued {
            let to = self.host.net.state.borrow_mut().connections.get_mut(&id).map(|connection| {
                connection.endpoints[1].closed = true;
                connection.endpoints[0].address.ip()
            });
            if let Some(to) = to {
                self.host.net.send(self.address.ip(), to, Packet::Rst(id, 0));
            }
        }
    }
}

/// A UDP socket.
pub struct SimDatagrams {
    host: SimHost,
    address: SocketAddr,
}

impl Datagrams for SimDatagrams {
    async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        poll_fn(|cx| {
            let mut state = self.host.net.state.borrow_mut();
            let Some(socket) = state.datagram_sockets.get_mut(&self.address) else { return Poll::Pending };
            match socket.queue.pop_front() {
                Some((from, bytes)) => {
                    let length = bytes.len().min(buffer.len());
                    buffer[..length].copy_from_slice(&bytes[..length]);
                    Poll::Ready(Ok((length, from)))
                }
                None => {
                    socket.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        let packet = Packet::Datagram { from: self.address, to, bytes: Bytes::copy_from_slice(bytes) };
        self.host.net.send(self.address.ip(), to.ip(), packet);
        Ok(bytes.len())
    }
}

impl Drop for SimDatagrams {
    fn drop(&mut self) {
        let mut state = self.host.net.state.borrow_mut();
        if state.datagram_sockets.get(&self.address).is_some_and(|socket| socket.process == self.host.process)
        {
            state.datagram_sockets.remove(&self.address);
            if let Some(count) = state.socket_counts.get_mut(&self.host.process) {
                *count = count.saturating_sub(1);
            }
        }
    }
}
