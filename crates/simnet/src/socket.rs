//! Sockets of a simulated machine, as its programs hold them.

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

use crate::WINDOW;
use crate::net::{ConnId, Listening, Mailbox, Net, Packet, Phase, ProcessId, wake};

/// A program's view of its simulated machine.
#[derive(Clone)]
pub struct SimHost {
    pub(crate) net: Net,
    pub(crate) ip: IpAddr,
    pub(crate) process: ProcessId,
    pub(crate) name: Rc<str>,
}

impl SimHost {
    /// Which run of a program this is.
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// The machine's address.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// A listener that another process opened on this machine, as one that inherits it has it: each accepts what the
    /// others have not, and it lives for as long as one of them does.
    ///
    /// # Errors
    /// Nothing listens there.
    pub fn inherit(&self, at: SocketAddr) -> io::Result<SimListener> {
        let mut s = self.net.state.borrow_mut();
        let l = s.listeners.get_mut(&at).ok_or(ErrorKind::NotFound)?;
        l.holders.push((self.process, None));
        *s.sockets.entry(self.process).or_default() += 1;
        Ok(SimListener { host: self.clone(), address: at })
    }
}

impl Host for SimHost {
    type Stream = SimStream;
    type Listener = SimListener;
    type Datagrams = SimDatagrams;

    async fn connect(&self, to: SocketAddr) -> io::Result<SimStream> {
        let id = self.net.state.borrow_mut().new_conn(self.ip, self.process, to);
        // Made before the wait: dropping it gives the connection up.
        let socket = Socket::hold(&self.net, id, 0);
        self.net.send(self.ip, to.ip(), Packet::Syn(id));
        poll_fn(|cx| {
            let mut s = self.net.state.borrow_mut();
            let Some(c) = s.conns.get_mut(&id) else {
                return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
            };
            match c.phase {
                Phase::Connecting => {
                    c.connector = Some(cx.waker().clone());
                    Poll::Pending
                }
                Phase::Up => Poll::Ready(Ok(())),
                Phase::Refused => Poll::Ready(Err(io::Error::from(ErrorKind::ConnectionRefused))),
            }
        })
        .await?;
        Ok(SimStream::whole(socket))
    }

    async fn listen(&self, mut at: SocketAddr) -> io::Result<SimListener> {
        let mut s = self.net.state.borrow_mut();
        if at.port() == 0 {
            let free = (10_000..u16::MAX).find(|p| !s.listeners.contains_key(&SocketAddr::new(at.ip(), *p)));
            at.set_port(free.ok_or(ErrorKind::AddrInUse)?);
        }
        if s.listeners.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        s.listeners.insert(at, Listening { holders: vec![(self.process, None)], queue: Default::default() });
        *s.sockets.entry(self.process).or_default() += 1;
        Ok(SimListener { host: self.clone(), address: at })
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<SimDatagrams> {
        let mut s = self.net.state.borrow_mut();
        if s.mailboxes.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        s.mailboxes.insert(at, Mailbox { process: self.process, queue: Default::default(), waker: None });
        *s.sockets.entry(self.process).or_default() += 1;
        Ok(SimDatagrams { host: self.clone(), address: at })
    }

    fn unix_time(&self) -> Duration {
        self.net.unix_time(self.ip)
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        self.net.write_log(&self.name, line);
    }
}

/// One program's hold on one side of a connection.
struct Socket {
    net: Net,
    id: ConnId,
    side: usize,
}

impl Socket {
    fn hold(net: &Net, id: ConnId, side: usize) -> Socket {
        if let Some(c) = net.state.borrow_mut().conns.get_mut(&id) {
            c.ends[side].handles += 1;
        }
        Socket { net: net.clone(), id, side }
    }

    /// Bytes that can be read now, the end (`None`), or why not.
    fn poll_ready(&self, cx: Option<&mut Context<'_>>) -> Poll<io::Result<Option<usize>>> {
        let mut s = self.net.state.borrow_mut();
        let Some(c) = s.conns.get_mut(&self.id) else {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        };
        let end = &mut c.ends[self.side];
        if !end.inbox.is_empty() {
            return Poll::Ready(Ok(Some(end.inbox.len())));
        }
        if let Some(error) = end.error {
            return Poll::Ready(Err(error.into()));
        }
        if end.ended {
            return Poll::Ready(Ok(None));
        }
        if let Some(cx) = cx {
            end.reader = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    fn take(&self, most: usize) -> Bytes {
        let mut s = self.net.state.borrow_mut();
        let Some(c) = s.conns.get_mut(&self.id) else { return Bytes::new() };
        let inbox = &mut c.ends[self.side].inbox;
        let taken = inbox.split_to(inbox.len().min(most)).freeze();
        let other = &mut c.ends[1 - self.side];
        other.unread = other.unread.saturating_sub(taken.len());
        wake(&mut other.writer);
        taken
    }

    fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let (from, to, packet, length) = {
            let mut s = self.net.state.borrow_mut();
            let Some(c) = s.conns.get_mut(&self.id) else {
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            };
            let to = c.ends[1 - self.side].address.ip();
            let end = &mut c.ends[self.side];
            if end.error.is_some() || end.fin_sent || end.closed {
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            }
            let length = bytes.len().min(WINDOW - end.unread.min(WINDOW));
            if length == 0 && !bytes.is_empty() {
                end.writer = Some(cx.waker().clone());
                return Poll::Pending;
            }
            end.unread += length;
            let packet = Packet::Data(self.id, 1 - self.side, Bytes::copy_from_slice(&bytes[..length]));
            (end.address.ip(), to, packet, length)
        };
        if length > 0 {
            self.net.send(from, to, packet);
        }
        Poll::Ready(Ok(length))
    }

    /// Ends the sending.
    fn finish(&self) {
        let addresses = {
            let mut s = self.net.state.borrow_mut();
            let Some(c) = s.conns.get_mut(&self.id) else { return };
            let to = c.ends[1 - self.side].address.ip();
            let end = &mut c.ends[self.side];
            if std::mem::replace(&mut end.fin_sent, true) || end.error.is_some() || end.closed {
                return;
            }
            (end.address.ip(), to)
        };
        self.net.send(addresses.0, addresses.1, Packet::Fin(self.id, 1 - self.side));
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        let packet = {
            let mut s = self.net.state.borrow_mut();
            let Some(c) = s.conns.get_mut(&self.id) else { return };
            let (to, connecting) = (c.ends[1 - self.side].address.ip(), c.phase != Phase::Up);
            let end = &mut c.ends[self.side];
            end.handles -= 1;
            if end.handles > 0 || end.closed {
                return;
            }
            end.closed = true;
            let process = end.process;
            // A close with unread bytes resets, as Linux does.
            let reset = !end.inbox.is_empty();
            let silent = end.error.is_some() || (end.fin_sent && !reset) || (self.side == 0 && connecting);
            let from = end.address.ip();
            let packet = (!silent).then(|| {
                let other = 1 - self.side;
                if reset { Packet::Rst(self.id, other) } else { Packet::Fin(self.id, other) }
            });
            if let Some(count) = s.sockets.get_mut(&process) {
                *count = count.saturating_sub(1);
            }
            s.tidy(self.id);
            packet.map(|p| (from, to, p))
        };
        if let Some((from, to, packet)) = packet {
            self.net.send(from, to, packet);
        }
    }
}

/// A TCP connection, or the half of one that is written to.
pub struct SimStream {
    socket: Socket,
    /// The other half is held elsewhere: dropping this one ends the sending.
    half: bool,
}

/// The half of a connection that is read from.
pub struct SimReading(Socket);

impl SimStream {
    fn whole(socket: Socket) -> SimStream {
        SimStream { socket, half: false }
    }
}

impl Stream for SimStream {
    type Reading = SimReading;
    type Writing = SimStream;

    fn into_halves(mut self) -> (SimReading, SimStream) {
        let reading = Socket::hold(&self.socket.net, self.socket.id, self.socket.side);
        self.half = true;
        (SimReading(reading), self)
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        if self.half {
            self.socket.finish();
        }
    }
}

impl AsyncRead for SimStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.socket.poll_ready(Some(cx)).map_ok(|ready| {
            if ready.is_some() {
                buffer.put_slice(&self.socket.take(buffer.remaining()));
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
        self.socket.finish();
        Poll::Ready(Ok(()))
    }
}

impl Reading for SimReading {
    async fn readable(&self) -> io::Result<()> {
        // An error is readable too: the read that follows gives it.
        poll_fn(|cx| self.0.poll_ready(Some(cx)).map(|_| ())).await;
        Ok(())
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        match self.0.poll_ready(None) {
            Poll::Pending => Err(ErrorKind::WouldBlock.into()),
            Poll::Ready(Err(e)) => Err(e),
            Poll::Ready(Ok(None)) => Ok(0),
            Poll::Ready(Ok(Some(_))) => {
                let room = buffer.capacity() - buffer.len();
                let mut bytes = self.0.take(room);
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
        Some(state.conns.get(&self.0.id)?.ends[self.0.side].arrived.elapsed())
    }

    fn remote_end_closed(&self) -> bool {
        let state = self.0.net.state.borrow();
        let end = state.conns.get(&self.0.id).map(|connection| &connection.ends[self.0.side]);
        end.is_none_or(|end| end.ended || end.error.is_some())
    }
}

/// A TCP socket that waits for connections.
pub struct SimListener {
    host: SimHost,
    address: SocketAddr,
}

impl SimListener {
    /// Waits until a connection can be accepted, and leaves it in the queue.
    pub fn poll_waiting(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut s = self.host.net.state.borrow_mut();
        let Some(l) = s.listeners.get_mut(&self.address) else { return Poll::Pending };
        let Some(place) = l.place(self.host.process) else { return Poll::Pending };
        if l.queue.is_empty() {
            l.holders[place].1 = Some(cx.waker().clone());
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
            let mut s = self.host.net.state.borrow_mut();
            let mine = self.host.process;
            let Some(l) = s.listeners.get_mut(&self.address) else { return Poll::Pending };
            // Without a place it was killed: its tasks are about to end.
            let Some(place) = l.place(mine) else { return Poll::Pending };
            let Some(id) = l.queue.pop_front() else {
                l.holders[place].1 = Some(cx.waker().clone());
                return Poll::Pending;
            };
            let (conns, sockets) = s.conns_and_sockets();
            match conns.get_mut(&id) {
                Some(c) => {
                    let before = std::mem::replace(&mut c.ends[1].process, mine);
                    if before != mine {
                        *sockets.entry(mine).or_default() += 1;
                        sockets.entry(before).and_modify(|count| *count = count.saturating_sub(1));
                    }
                    (id, c.ends[0].address)
                }
                None => return Poll::Ready(Err(ErrorKind::ConnectionAborted.into())),
            }
        };
        Poll::Ready(Ok((SimStream::whole(Socket::hold(&self.host.net, id, 1)), from)))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }
}

impl Drop for SimListener {
    /// What was not accepted is reset, new connections are refused.
    fn drop(&mut self) {
        let waiting = {
            let mut s = self.host.net.state.borrow_mut();
            let mine = self.host.process;
            if s.listeners.get(&self.address).is_none_or(|l| l.place(mine).is_none()) {
                return;
            }
            if let Some(count) = s.sockets.get_mut(&mine) {
                *count = count.saturating_sub(1);
            }
            s.let_go(self.address, mine)
        };
        for id in waiting {
            let to = self.host.net.state.borrow_mut().conns.get_mut(&id).map(|c| {
                c.ends[1].closed = true;
                c.ends[0].address.ip()
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
            let mut s = self.host.net.state.borrow_mut();
            let Some(m) = s.mailboxes.get_mut(&self.address) else { return Poll::Pending };
            match m.queue.pop_front() {
                Some((from, bytes)) => {
                    let length = bytes.len().min(buffer.len());
                    buffer[..length].copy_from_slice(&bytes[..length]);
                    Poll::Ready(Ok((length, from)))
                }
                None => {
                    m.waker = Some(cx.waker().clone());
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
        let mut s = self.host.net.state.borrow_mut();
        if s.mailboxes.get(&self.address).is_some_and(|m| m.process == self.host.process) {
            s.mailboxes.remove(&self.address);
            if let Some(count) = s.sockets.get_mut(&self.host.process) {
                *count = count.saturating_sub(1);
            }
        }
    }
}
