//! A [`Host`] that counts bytes and messages of TCP connections and datagrams, by channel.
//!
//! A datagram is one message. On a TCP connection a new message begins when the direction of the bytes
//! changes. This is exact where requests and responses alternate, as in the watch on discovery; requests that
//! are sent before the response to an earlier one count as one message with it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::BytesMut;
use chalksill_world::agreement;
use mothpier_host::{Datagrams, Host, Listener, Reading, Stream};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The purpose of a connection or datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Channel {
    /// The watch on the list of cache servers.
    Discovery,
    /// Messages between the decision modules of nodes.
    Peer,
    /// Messages of the agreement on zones.
    Agreement,
    /// Connections to cache servers and to the origin.
    Server,
    /// Accepted connections: of clients at a node, or of nodes at a stub.
    Accepted,
}

/// Bytes and messages in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Messages received.
    pub messages_in: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes received, without headers.
    pub bytes_in: u64,
    /// Bytes sent, without headers.
    pub bytes_out: u64,
}

impl Traffic {
    /// Adds the counts of another traffic.
    pub fn add(&mut self, other: &Traffic) {
        self.messages_in += other.messages_in;
        self.messages_out += other.messages_out;
        self.bytes_in += other.bytes_in;
        self.bytes_out += other.bytes_out;
    }

    /// The traffic since an earlier count.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        Traffic {
            messages_in: self.messages_in.saturating_sub(earlier.messages_in),
            messages_out: self.messages_out.saturating_sub(earlier.messages_out),
            bytes_in: self.bytes_in.saturating_sub(earlier.bytes_in),
            bytes_out: self.bytes_out.saturating_sub(earlier.bytes_out),
        }
    }

    /// The same traffic as seen by the remote end.
    pub fn mirrored(&self) -> Traffic {
        Traffic {
            messages_in: self.messages_out,
            messages_out: self.messages_in,
            bytes_in: self.bytes_out,
            bytes_out: self.bytes_in,
        }
    }
}

/// The counts of one channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChannelTraffic {
    /// The channel.
    pub channel: Channel,
    /// Whether the remote end is a real node.
    pub with_real_node: bool,
    /// The counts.
    pub traffic: Traffic,
}

/// The counts of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCounts {
    /// Counts by channel.
    pub channels: Vec<ChannelTraffic>,
    /// The maximum number of concurrent TCP connections.
    pub connections: u32,
    /// Whether the host leads the agreement according to its log.
    pub leads: bool,
    /// When discovery first answered on the most recent connection to it, in milliseconds of Unix time.
    pub watch_answered_ms: Option<u64>,
}

impl HostCounts {
    /// The sum over the channels that match.
    pub fn sum(&self, matches: impl Fn(&ChannelTraffic) -> bool) -> Traffic {
        let mut sum = Traffic::default();
        self.channels.iter().filter(|c| matches(c)).for_each(|c| sum.add(&c.traffic));
        sum
    }
}

/// How a host assigns traffic to channels.
#[derive(Clone, Debug)]
pub struct ChannelMap {
    /// The address of discovery; `None` on hosts that do not call it.
    pub discovery: Option<SocketAddr>,
    /// The local port of the agreement's datagrams. All other ports are for messages between peers.
    pub agreement_port: u16,
    /// The addresses of real nodes.
    pub real_nodes: Rc<[IpAddr]>,
}

impl ChannelMap {
    fn channel_of_connection(&self, to: SocketAddr) -> Channel {
        if self.discovery == Some(to) { Channel::Discovery } else { Channel::Server }
    }

    fn channel_of_socket(&self, at: SocketAddr) -> Channel {
        if at.port() == self.agreement_port { Channel::Agreement } else { Channel::Peer }
    }
}

/// The counters of one host.
#[derive(Default)]
struct Counters {
    channels: RefCell<BTreeMap<(Channel, bool), Traffic>>,
    open: Cell<u32>,
    most_open: Cell<u32>,
    leads: Cell<bool>,
    watch_answered_ms: Cell<Option<u64>>,
}

impl Counters {
    fn update(&self, channel: Channel, with_real_node: bool, update: impl FnOnce(&mut Traffic)) {
        update(self.channels.borrow_mut().entry((channel, with_real_node)).or_default());
    }
}

/// A host that counts its traffic.
#[derive(Clone)]
pub struct CountingHost<H: Host> {
    host: H,
    map: Rc<ChannelMap>,
    counters: Rc<Counters>,
}

impl<H: Host> CountingHost<H> {
    /// Wraps a host whose traffic is to be counted.
    pub fn new(host: H, map: ChannelMap) -> CountingHost<H> {
        CountingHost { host, map: Rc::new(map), counters: Rc::default() }
    }

    /// The counts since the start.
    pub fn counts(&self) -> HostCounts {
        let counters = &self.counters;
        let channels = counters.channels.borrow();
        let channels = channels.iter().map(|((channel, with_real_node), traffic)| ChannelTraffic {
            channel: *channel,
            with_real_node: *with_real_node,
            traffic: *traffic,
        });
        HostCounts {
            channels: channels.collect(),
            connections: counters.most_open.get(),
            leads: counters.leads.get(),
            watch_answered_ms: counters.watch_answered_ms.get(),
        }
    }

    fn connection(&self, channel: Channel) -> Rc<Connection<H>> {
        let counters = &self.counters;
        counters.open.set(counters.open.get() + 1);
        counters.most_open.set(counters.most_open.get().max(counters.open.get()));
        if channel == Channel::Discovery {
            counters.watch_answered_ms.set(None);
        }
        Rc::new(Connection { host: self.clone(), channel, direction: Cell::new(None) })
    }
}

impl<H: Host> Host for CountingHost<H> {
    type Stream = CountingStream<H>;
    type Listener = CountingListener<H>;
    type Datagrams = CountingDatagrams<H>;

    async fn connect(&self, to: SocketAddr) -> io::Result<CountingStream<H>> {
        let stream = self.host.connect(to).await?;
        Ok(CountingStream { stream, connection: self.connection(self.map.channel_of_connection(to)) })
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<CountingListener<H>> {
        Ok(CountingListener { listener: self.host.listen(at).await?, host: self.clone() })
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<CountingDatagrams<H>> {
        let socket = self.host.datagrams(at).await?;
        Ok(CountingDatagrams { socket, channel: self.map.channel_of_socket(at), host: self.clone() })
    }

    fn unix_time(&self) -> Duration {
        self.host.unix_time()
    }

    /// Does not write the lines, which would fill a disk with hundreds of nodes. Only records from them
    /// whether the node leads the agreement.
    fn log(&self, line: fmt::Arguments<'_>) {
        if let Some(leads) = agreement::leadership_change(&line.to_string()) {
            self.counters.leads.set(leads);
        }
    }
}

/// The direction in which bytes were last sent on a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    In,
    Out,
}

/// One TCP connection. It is open until both halves are dropped.
struct Connection<H: Host> {
    host: CountingHost<H>,
    channel: Channel,
    direction: Cell<Option<Direction>>,
}

impl<H: Host> Connection<H> {
    fn new_messages(&self, to: Direction) -> u64 {
        u64::from(self.direction.replace(Some(to)) != Some(to))
    }

    fn received(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        let messages = self.new_messages(Direction::In);
        let counters = &self.host.counters;
        counters.update(self.channel, false, |traffic| {
            traffic.messages_in += messages;
            traffic.bytes_in += bytes as u64;
        });
        if self.channel == Channel::Discovery && counters.watch_answered_ms.get().is_none() {
            counters.watch_answered_ms.set(Some(self.host.unix_time().as_millis() as u64));
        }
    }

    fn sent(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        let messages = self.new_messages(Direction::Out);
        self.host.counters.update(self.channel, false, |traffic| {
            traffic.messages_out += messages;
            traffic.bytes_out += bytes as u64;
        });
    }
}

impl<H: Host> Drop for Connection<H> {
    fn drop(&mut self) {
        let open = &self.host.counters.open;
        open.set(open.get().saturating_sub(1));
    }
}

/// A listener whose connections are counted.
pub struct CountingListener<H: Host> {
    listener: H::Listener,
    host: CountingHost<H>,
}

impl<H: Host> CountingListener<H> {
    fn wrap(&self, stream: H::Stream) -> CountingStream<H> {
        CountingStream { stream, connection: self.host.connection(Channel::Accepted) }
    }
}

impl<H: Host> Listener for CountingListener<H> {
    type Stream = CountingStream<H>;

    async fn accept(&self) -> io::Result<(CountingStream<H>, SocketAddr)> {
        let (stream, from) = self.listener.accept().await?;
        Ok((self.wrap(stream), from))
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(CountingStream<H>, SocketAddr)>> {
        self.listener.poll_accept(cx).map_ok(|(stream, from)| (self.wrap(stream), from))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// A connection that is counted.
pub struct CountingStream<H: Host> {
    stream: H::Stream,
    connection: Rc<Connection<H>>,
}

/// The read half of a counted connection.
pub struct CountingReading<H: Host> {
    reading: <H::Stream as Stream>::Reading,
    connection: Rc<Connection<H>>,
}

/// The write half of a counted connection.
pub struct CountingWriting<H: Host> {
    writing: <H::Stream as Stream>::Writing,
    connection: Rc<Connection<H>>,
}

impl<H: Host> Stream for CountingStream<H> {
    type Reading = CountingReading<H>;
    type Writing = CountingWriting<H>;

    fn into_halves(self) -> (CountingReading<H>, CountingWriting<H>) {
        let (reading, writing) = self.stream.into_halves();
        let reading = CountingReading { reading, connection: self.connection.clone() };
        (reading, CountingWriting { writing, connection: self.connection })
    }
}

impl<H: Host> Reading for CountingReading<H> {
    async fn readable(&self) -> io::Result<()> {
        self.reading.readable().await
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        let read = self.reading.try_read_buf(buffer)?;
        self.connection.received(read);
        Ok(read)
    }

    fn since_last_arrival(&self) -> Option<Duration> {
        self.reading.since_last_arrival()
    }

    fn acknowledge_at_once(&self) {
        self.reading.acknowledge_at_once();
    }

    fn remote_end_closed(&self) -> bool {
        self.reading.remote_end_closed()
    }
}

impl<H: Host> AsyncRead for CountingStream<H> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.connection.received(buffer.filled().len() - before);
        read
    }
}

impl<H: Host> AsyncWrite for CountingStream<H> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written)) = written {
            self.connection.sent(written);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl<H: Host> AsyncWrite for CountingWriting<H> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.writing).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written)) = written {
            self.connection.sent(written);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writing).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writing).poll_shutdown(cx)
    }
}

/// A socket whose datagrams are counted.
pub struct CountingDatagrams<H: Host> {
    socket: H::Datagrams,
    channel: Channel,
    host: CountingHost<H>,
}

impl<H: Host> CountingDatagrams<H> {
    fn count(&self, other: SocketAddr, update: impl FnOnce(&mut Traffic)) {
        let with_real_node = self.host.map.real_nodes.contains(&other.ip());
        self.host.counters.update(self.channel, with_real_node, update);
    }
}

impl<H: Host> Datagrams for CountingDatagrams<H> {
    async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let (length, from) = self.socket.recv_from(buffer).await?;
        self.count(from, |traffic| {
            traffic.messages_in += 1;
            traffic.bytes_in += length as u64;
        });
        Ok((length, from))
    }

    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        let sent = self.socket.try_send_to(bytes, to)?;
        self.count(to, |traffic| {
            traffic.messages_out += 1;
            traffic.bytes_out += sent as u64;
        });
        Ok(sent)
    }
}
