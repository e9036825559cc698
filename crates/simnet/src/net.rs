//! State of the network: machines, links, connections, and the delivery of packets.

use std::cell::RefCell;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::fmt;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::socket::SimHost;
use crate::traffic::{Traffic, TrafficCounters, TrafficKind};
use crate::{BACKLOG, DATAGRAM_QUEUE_LENGTH, IDLE_WAIT};

/// Identifies a process of a machine.
pub type ProcessId = u64;
/// Identifies a connection.
pub(crate) type ConnectionId = u64;

/// Delays of packets and loss of datagrams. Delays are drawn uniformly from the ranges.
#[derive(Clone, Debug)]
pub struct Links {
    /// One-way delay between machines of the same zone.
    pub within_zone: (Duration, Duration),
    /// One-way delay between zones.
    pub between_zones: (Duration, Duration),
    /// One-way delay of datagrams.
    pub datagrams: (Duration, Duration),
    /// Share of datagrams that is lost, 0 to 1.
    pub datagram_loss: f64,
}

impl Default for Links {
    fn default() -> Self {
        let us = Duration::from_micros;
        Links {
            within_zone: (us(150), us(600)),
            between_zones: (us(5_600), us(10_000)),
            datagrams: (us(2_600), us(18_000)),
            datagram_loss: 0.0,
        }
    }
}

/// The network; clones share the same state.
#[derive(Clone)]
pub struct Net {
    pub(crate) state: Rc<RefCell<State>>,
    rescheduled: Rc<Notify>,
}

pub(crate) enum Packet {
    Syn(ConnectionId),
    SynAck(ConnectionId),
    Refused(ConnectionId),
    Data(ConnectionId, usize, Bytes),
    Fin(ConnectionId, usize),
    Rst(ConnectionId, usize),
    Datagram { from: SocketAddr, to: SocketAddr, bytes: Bytes },
}

struct QueuedPacket {
    arrives_at: Instant,
    sequence: u64,
    packet: Packet,
}

impl PartialEq for QueuedPacket {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for QueuedPacket {}

impl PartialOrd for QueuedPacket {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedPacket {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.arrives_at, self.sequence).cmp(&(other.arrives_at, other.sequence))
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Phase {
    Connecting,
    Up,
    Refused,
}

/// One side of a connection.
pub(crate) struct Endpoint {
    pub address: SocketAddr,
    pub process: ProcessId,
    /// Bytes that have arrived and were not read.
    pub received: BytesMut,
    /// When the last data arrived; before that, when the connect started.
    pub last_arrival: Instant,
    /// The remote side has closed its sending direction, and all of its data has arrived.
    pub remote_closed: bool,
    pub error: Option<ErrorKind>,
    pub read_waker: Option<Waker>,
    pub write_waker: Option<Waker>,
    /// Bytes sent by this side that the other one has not read.
    pub unread_by_remote: usize,
    /// Arrival time of this side's last packet: later packets do not overtake it.
    last_packet_at: Instant,
    pub fin_sent: bool,
    /// Closed by its program.
    pub closed: bool,
    /// Number of halves that the program still holds.
    pub handles: u8,
}

pub(crate) struct Connection {
    pub endpoints: [Endpoint; 2],
    pub phase: Phase,
    pub connect_waker: Option<Waker>,
}

pub(crate) struct ListenerState {
    /// The processes that accept from it, each with its waker; never empty.
    pub acceptors: Vec<(ProcessId, Option<Waker>)>,
    pub queue: VecDeque<ConnectionId>,
}

impl ListenerState {
    /// Index of a process among those that accept.
    pub fn acceptor_index(&self, process: ProcessId) -> Option<usize> {
        self.acceptors.iter().position(|(p, _)| *p == process)
    }
}

pub(crate) struct DatagramSocket {
    pub process: ProcessId,
    pub queue: VecDeque<(SocketAddr, Bytes)>,
    pub waker: Option<Waker>,
}

struct Machine {
    zone: u8,
    silent: bool,
}

type LogSink = Box<dyn FnMut(Instant, &str, fmt::Arguments<'_>)>;

pub(crate) struct State {
    rng: Pcg64Mcg,
    links: Links,
    started_at: Instant,
    unix_time_at_start: Duration,
    /// Steps of the machines' wall clocks, in milliseconds.
    wall_clock_steps_ms: BTreeMap<IpAddr, i64>,
    machines: BTreeMap<IpAddr, Machine>,
    /// Blocked links, as pairs of source and destination.
    blocked_links: BTreeSet<(IpAddr, IpAddr)>,
    /// Blocked links between zones.
    blocked_zone_links: BTreeSet<(u8, u8)>,
    /// TCP packets that wait for a blocked link.
    waiting_packets: VecDeque<(IpAddr, IpAddr, Packet)>,
    in_flight: BinaryHeap<Reverse<QueuedPacket>>,
    last_sequence: u64,
    next_delivery: Instant,
    pub connections: BTreeMap<ConnectionId, Connection>,
    next_connection: ConnectionId,
    next_port: BTreeMap<IpAddr, u16>,
    pub listeners: BTreeMap<SocketAddr, ListenerState>,
    pub datagram_sockets: BTreeMap<SocketAddr, DatagramSocket>,
    next_process: ProcessId,
    killed: BTreeSet<ProcessId>,
    /// Number of open sockets by process.
    pub socket_counts: BTreeMap<ProcessId, usize>,
    digest: u64,
    delivered: u64,
    /// Set once counting was requested.
    traffic: Option<TrafficCounters>,
    /// Waiters for a number of delivered packets.
    waiters: Vec<(u64, Rc<Notify>)>,
    log_sink: Option<LogSink>,
}

impl Net {
    /// A network whose delays and losses follow from a seed; `unix` is the wall clock at its start. Packets are
    /// delivered while [`deliver_packets`](Self::deliver_packets) runs.
    pub fn new(seed: u64, unix: Duration, links: Links) -> Net {
        let now = Instant::now();
        let state = State {
            rng: Pcg64Mcg::seed_from_u64(seed),
            links,
            started_at: now,
            unix_time_at_start: unix,
            wall_clock_steps_ms: BTreeMap::new(),
            machines: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            blocked_zone_links: BTreeSet::new(),
            waiting_packets: VecDeque::new(),
            in_flight: BinaryHeap::new(),
            last_sequence: 0,
            next_delivery: now + IDLE_WAIT,
            connections: BTreeMap::new(),
            next_connection: 1,
            next_port: BTreeMap::new(),
            listeners: BTreeMap::new(),
            datagram_sockets: BTreeMap::new(),
            next_process: 1,
            killed: BTreeSet::new(),
            socket_counts: BTreeMap::new(),
            digest: seed,
            delivered: 0,
            traffic: None,
            waiters: Vec::new(),
            log_sink: None,
        };
        Net { state: Rc::new(RefCell::new(state)), rescheduled: Rc::new(Notify::new()) }
    }

    /// Sets the sink of log lines: time, process name, line. Without one, lines are dropped unformatted.
    pub fn set_log_sink(&self, sink: impl FnMut(Instant, &str, fmt::Arguments<'_>) + 'static) {
        self.state.borrow_mut().log_sink = Some(Box::new(sink));
    }

    /// Starts a process on a machine; the first process of a machine sets its zone.
    pub fn start_process(&self, ip: IpAddr, zone: u8, name: &str) -> SimHost {
        let mut state = self.state.borrow_mut();
        state.machines.entry(ip).or_insert(Machine { zone, silent: false });
        let process = state.next_process;
        state.next_process += 1;
        SimHost { net: self.clone(), ip, process, name: name.into() }
    }

    /// Kills a process: its listeners are removed and its connections reset. Its tasks are up to the caller.
    pub fn kill(&self, process: ProcessId) {
        self.end_process(process, true);
    }

    /// A machine loses power and sends nothing any more; [`restore`](Self::restore) brings it back.
    pub fn lose_power(&self, ip: IpAddr, process: ProcessId) {
        if let Some(machine) = self.state.borrow_mut().machines.get_mut(&ip) {
            machine.silent = true;
        }
        self.end_process(process, false);
    }

    /// Cuts a machine off while its programs go on.
    pub fn cut_off(&self, ip: IpAddr) {
        if let Some(machine) = self.state.borrow_mut().machines.get_mut(&ip) {
            machine.silent = true;
        }
    }

    /// Makes a silent machine reachable again; packets that waited for it are delivered.
    pub fn restore(&self, ip: IpAddr) {
        let mut state = self.state.borrow_mut();
        if let Some(machine) = state.machines.get_mut(&ip) {
            machine.silent = false;
        }
        state.send_waiting();
        drop(state);
        self.rescheduled.notify_one();
    }

    /// Blocks a link in one direction.
    pub fn block_link(&self, from: IpAddr, to: IpAddr) {
        self.state.borrow_mut().blocked_links.insert((from, to));
    }

    /// Unblocks a link in one direction; packets that waited for it are delivered.
    pub fn unblock_link(&self, from: IpAddr, to: IpAddr) {
        let mut state = self.state.borrow_mut();
        state.blocked_links.remove(&(from, to));
        state.send_waiting();
        drop(state);
        self.rescheduled.notify_one();
    }

    /// Blocks all links between two groups of zones, in both directions.
    pub fn partition_zones(&self, left: &[u8], right: &[u8]) {
        self.state.borrow_mut().blocked_zone_links.extend(directed_pairs(left, right));
    }

    /// Unblocks all links between two groups of zones; packets that waited for them are delivered.
    pub fn heal_zones(&self, left: &[u8], right: &[u8]) {
        let mut state = self.state.borrow_mut();
        directed_pairs(left, right).for_each(|pair| {
            state.blocked_zone_links.remove(&pair);
        });
        state.send_waiting();
        drop(state);
        self.rescheduled.notify_one();
    }

    /// Whether a process listens for connections at an address.
    pub fn listens(&self, at: SocketAddr) -> bool {
        self.state.borrow().listeners.contains_key(&at)
    }

    /// Starts to count traffic, from 0; none is counted before.
    pub fn count_traffic(&self) {
        self.state.borrow_mut().traffic = Some(TrafficCounters::default());
    }

    /// The traffic of a kind of a machine since counting started; zero if it was not started.
    pub fn traffic(&self, ip: IpAddr, way: TrafficKind) -> Traffic {
        self.state.borrow().traffic.as_ref().map(|tally| tally.traffic(ip, way)).unwrap_or_default()
    }

    /// Established connections and those in progress, by destination address.
    pub fn connections(&self) -> BTreeMap<SocketAddr, usize> {
        let mut counts = BTreeMap::new();
        for connection in self.state.borrow().connections.values().filter(|c| c.phase != Phase::Refused) {
            *counts.entry(connection.endpoints[1].address).or_default() += 1;
        }
        counts
    }

    /// Sets the share of datagrams that is lost, 0 to 1.
    pub fn set_datagram_loss(&self, share: f64) {
        self.state.borrow_mut().links.datagram_loss = share;
    }

    /// Resets the connections between two machines, including packets in flight.
    pub fn reset_connections(&self, a: IpAddr, b: IpAddr) {
        let mut state = self.state.borrow_mut();
        let between = |connection: &Connection| {
            let ips = [connection.endpoints[0].address.ip(), connection.endpoints[1].address.ip()];
            ips == [a, b] || ips == [b, a]
        };
        let affected: Vec<ConnectionId> = state
            .connections
            .iter()
            .filter(|(_, connection)| between(connection))
            .map(|(id, _)| *id)
            .collect();
        for id in affected {
            for side in 0..2 {
                state.reset_endpoint(id, side, ErrorKind::ConnectionReset);
            }
        }
    }

    /// Number of open sockets of a process, of all kinds.
    pub fn socket_count(&self, process: ProcessId) -> usize {
        self.state.borrow().socket_counts.get(&process).copied().unwrap_or(0)
    }

    /// Digest of all delivered packets with their times, destinations and contents.
    pub fn digest(&self) -> u64 {
        self.state.borrow().digest
    }

    /// Number of delivered packets.
    pub fn delivered_packets(&self) -> u64 {
        self.state.borrow().delivered
    }

    /// Waits until a number of packets has been delivered.
    pub async fn wait_for_packets(&self, number: u64) {
        let reached = Rc::new(Notify::new());
        {
            let mut state = self.state.borrow_mut();
            if state.delivered >= number {
                return;
            }
            state.waiters.push((number, reached.clone()));
        }
        reached.notified().await;
    }

    /// Time since the network was created.
    pub fn elapsed(&self) -> Duration {
        self.state.borrow().started_at.elapsed()
    }

    /// Delivers packets for as long as it is polled.
    pub async fn deliver_packets(self) {
        loop {
            let next = {
                let mut state = self.state.borrow_mut();
                state.deliver_due(Instant::now());
                state.next_delivery = state
                    .in_flight
                    .peek()
                    .map_or_else(|| Instant::now() + IDLE_WAIT, |Reverse(packet)| packet.arrives_at);
                state.next_delivery
            };
            tokio::select! {
                biased;
                () = self.rescheduled.notified() => {}
                () = sleep_until(next) => {}
            }
        }
    }

    pub(crate) fn send(&self, from: IpAddr, to: IpAddr, packet: Packet) {
        let mut state = self.state.borrow_mut();
        state.count_sent(&packet);
        if state.send(from, to, packet) {
            self.rescheduled.notify_one();
        }
    }

    fn end_process(&self, process: ProcessId, reset: bool) {
        let mut state = self.state.borrow_mut();
        state.killed.insert(process);
        let addresses: Vec<SocketAddr> = state
            .listeners
            .iter()
            .filter(|(_, l)| l.acceptor_index(process).is_some())
            .map(|(at, _)| *at)
            .collect();
        addresses.into_iter().for_each(|at| drop(state.remove_acceptor(at, process)));
        state.datagram_sockets.retain(|_, m| m.process != process);
        state.socket_counts.remove(&process);
        let open_side = |connection: &Connection| {
            (0..2).find(|side| {
                connection.endpoints[*side].process == process && !connection.endpoints[*side].closed
            })
        };
        let open: Vec<(ConnectionId, usize)> = state
            .connections
            .iter()
            .filter_map(|(id, connection)| open_side(connection).map(|side| (*id, side)))
            .collect();
        for (id, side) in open {
            let Some(connection) = state.connections.get_mut(&id) else { continue };
            connection.endpoints[side].closed = true;
            let (from, to) =
                (connection.endpoints[side].address.ip(), connection.endpoints[1 - side].address.ip());
            if reset {
                state.send(from, to, Packet::Rst(id, 1 - side));
            }
        }
        drop(state);
        self.rescheduled.notify_one();
    }

    pub(crate) fn write_log(&self, name: &str, line: fmt::Arguments<'_>) {
        let sink = self.state.borrow_mut().log_sink.take();
        if let Some(mut sink) = sink {
            sink(Instant::now(), name, line);
            self.state.borrow_mut().log_sink = Some(sink);
        }
    }

    /// Steps the wall clock of a machine, forwards or backwards; its monotonic clock is unaffected.
    pub fn step_wall_clock(&self, ip: IpAddr, by_ms: i64) {
        *self.state.borrow_mut().wall_clock_steps_ms.entry(ip).or_default() += by_ms;
    }

    pub(crate) fn unix_time(&self, ip: IpAddr) -> Duration {
        let state = self.state.borrow();
        let steps = state.wall_clock_steps_ms.get(&ip).copied().unwrap_or_default();
        let (true_time, stepped) = (
            state.unix_time_at_start + state.started_at.elapsed(),
            Duration::from_millis(steps.unsigned_abs()),
        );
        if steps < 0 { true_time.saturating_sub(stepped) } else { true_time + stepped }
    }
}

impl State {
    pub fn open_connection(&mut self, from: IpAddr, process: ProcessId, to: SocketAddr) -> ConnectionId {
        let id = self.next_connection;
        self.next_connection += 1;
        let port = self.next_port.entry(from).or_insert(20_000);
        *port = if *port == u16::MAX { 20_000 } else { *port + 1 };
        let from = SocketAddr::new(from, *port);
        let now = Instant::now();
        let end = |address, process| Endpoint {
            address,
            process,
            received: BytesMut::new(),
            last_arrival: now,
            remote_closed: false,
            error: None,
            read_waker: None,
            write_waker: None,
            unread_by_remote: 0,
            last_packet_at: now,
            fin_sent: false,
            closed: false,
            handles: 0,
        };
        let ends = [end(from, process), end(to, 0)];
        self.connections
            .insert(id, Connection { endpoints: ends, phase: Phase::Connecting, connect_waker: None });
        *self.socket_counts.entry(process).or_default() += 1;
        id
    }

    /// Sends a packet; returns whether the delivery task must look at its queue earlier.
    pub fn send(&mut self, from: IpAddr, to: IpAddr, packet: Packet) -> bool {
        let silent = |ip: &IpAddr| self.machines.get(ip).is_none_or(|m| m.silent);
        if silent(&from)
            || silent(&to)
            || self.blocked_links.contains(&(from, to))
            || self.zones_blocked(&from, &to)
        {
            if !matches!(packet, Packet::Datagram { .. }) {
                self.waiting_packets.push_back((from, to, packet));
            }
            return false;
        }
        let datagram = matches!(packet, Packet::Datagram { .. });
        if datagram && self.links.datagram_loss > 0.0 && self.rng.random::<f64>() < self.links.datagram_loss {
            return false;
        }
        let zone = |ip: &IpAddr| self.machines.get(ip).map(|m| m.zone);
        let delay = match (datagram, zone(&from) == zone(&to)) {
            (true, _) => self.links.datagrams,
            (false, true) => self.links.within_zone,
            (false, false) => self.links.between_zones,
        };
        let mut arrives_at = Instant::now() + delay.0 + (delay.1 - delay.0).mul_f64(self.rng.random::<f64>());
        // TCP keeps the order of packets from one side.
        let side = match &packet {
            Packet::Data(id, to, _) | Packet::Fin(id, to) | Packet::Rst(id, to) => Some((*id, 1 - to)),
            Packet::SynAck(id) => Some((*id, 1)),
            _ => None,
        };
        if let Some(end) =
            side.and_then(|(id, side)| Some(&mut self.connections.get_mut(&id)?.endpoints[side]))
        {
            arrives_at = arrives_at.max(end.last_packet_at);
            end.last_packet_at = arrives_at;
        }
        self.last_sequence += 1;
        self.in_flight.push(Reverse(QueuedPacket { arrives_at, sequence: self.last_sequence, packet }));
        let earlier = arrives_at < self.next_delivery;
        if earlier {
            self.next_delivery = arrives_at;
        }
        earlier
    }

    fn zones_blocked(&self, from: &IpAddr, to: &IpAddr) -> bool {
        let zone = |ip| self.machines.get(ip).map(|machine| machine.zone);
        let pair = zone(from).zip(zone(to));
        !self.blocked_zone_links.is_empty()
            && pair.is_some_and(|pair| self.blocked_zone_links.contains(&pair))
    }

    /// The kind of traffic of one side of a connection.
    fn traffic_kind(ends: &[Endpoint; 2], side: usize) -> TrafficKind {
        let port = ends[1].address.port();
        if side == 0 { TrafficKind::Opened(port) } else { TrafficKind::Accepted(port) }
    }

    fn count_sent(&mut self, packet: &Packet) {
        let Some(tally) = &mut self.traffic else { return };
        match packet {
            Packet::Data(id, to, bytes) => {
                let Some(connection) = self.connections.get(id) else { return };
                let from = connection.endpoints[1 - to].address.ip();
                tally.count_sent(from, Self::traffic_kind(&connection.endpoints, 1 - to), bytes.len());
            }
            Packet::Datagram { from, to, bytes } => {
                tally.count_sent(from.ip(), TrafficKind::Datagrams(to.port()), bytes.len());
            }
            _ => {}
        }
    }

    /// Sends the packets whose link is not blocked any more, in their order.
    fn send_waiting(&mut self) {
        for (from, to, packet) in std::mem::take(&mut self.waiting_packets) {
            self.send(from, to, packet);
        }
    }

    fn deliver_due(&mut self, now: Instant) {
        while self.in_flight.peek().is_some_and(|Reverse(packet)| packet.arrives_at <= now) {
            let Some(Reverse(due)) = self.in_flight.pop() else { return };
            self.delivered += 1;
            self.receive(due.arrives_at, due.packet);
            let packets = self.delivered;
            self.waiters.retain(|(number, reached)| {
                let due = packets >= *number;
                if due {
                    reached.notify_one();
                }
                !due
            });
        }
    }

    fn update_digest(&mut self, at: Instant, kind: u64, id: u64, bytes: &[u8]) {
        let time = (at - self.started_at).as_micros() as u64;
        let here = self.digest ^ time.rotate_left(20) ^ (kind << 56) ^ id;
        self.digest = xxh3_64_with_seed(bytes, here);
    }

    fn receive(&mut self, at: Instant, packet: Packet) {
        match packet {
            Packet::Syn(id) => {
                self.update_digest(at, 1, id, &[]);
                let Some(connection) = self.connections.get_mut(&id) else { return };
                let (from, to) = (connection.endpoints[0].address, connection.endpoints[1].address);
                match self.listeners.get_mut(&to) {
                    Some(listener) if listener.queue.len() < BACKLOG => {
                        let first = listener.acceptors[0].0;
                        connection.endpoints[1].process = first;
                        listener.queue.push_back(id);
                        *self.socket_counts.entry(first).or_default() += 1;
                        listener.acceptors.iter_mut().for_each(|(_, waker)| wake(waker));
                        self.send(to.ip(), from.ip(), Packet::SynAck(id));
                    }
                    Some(_) => {}
                    None => {
                        self.send(to.ip(), from.ip(), Packet::Refused(id));
                    }
                }
            }
            Packet::SynAck(id) => {
                self.update_digest(at, 2, id, &[]);
                let Some(connection) = self.connections.get_mut(&id) else { return };
                if connection.endpoints[0].closed {
                    // The connecting side has closed meanwhile.
                    let (from, to) =
                        (connection.endpoints[0].address.ip(), connection.endpoints[1].address.ip());
                    self.send(from, to, Packet::Rst(id, 1));
                } else {
                    connection.phase = Phase::Up;
                    if let Some(waker) = connection.connect_waker.take() {
                        waker.wake();
                    }
                }
            }
            Packet::Refused(id) => {
                self.update_digest(at, 3, id, &[]);
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.phase = Phase::Refused;
                    if let Some(waker) = connection.connect_waker.take() {
                        waker.wake();
                    }
                }
            }
            Packet::Data(id, side, bytes) => {
                self.update_digest(at, 4, id * 2 + side as u64, &bytes);
                let Some(connection) = self.connections.get_mut(&id) else { return };
                let end = &mut connection.endpoints[side];
                if end.closed {
                    let (from, to) = (end.address.ip(), connection.endpoints[1 - side].address.ip());
                    self.send(from, to, Packet::Rst(id, 1 - side));
                } else if end.error.is_none() {
                    end.received.extend_from_slice(&bytes);
                    end.last_arrival = at;
                    wake(&mut end.read_waker);
                    if let Some(tally) = &mut self.traffic {
                        tally.count_received(
                            connection.endpoints[side].address.ip(),
                            Self::traffic_kind(&connection.endpoints, side),
                            bytes.len(),
                        );
                    }
                }
            }
            Packet::Fin(id, side) => {
                self.update_digest(at, 5, id * 2 + side as u64, &[]);
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.endpoints[side].remote_closed = true;
                    wake(&mut connection.endpoints[side].read_waker);
                    self.remove_if_done(id);
                }
            }
            Packet::Rst(id, side) => {
                self.update_digest(at, 6, id * 2 + side as u64, &[]);
                self.reset_endpoint(id, side, ErrorKind::ConnectionReset);
            }
            Packet::Datagram { from, to, bytes } => {
                self.update_digest(at, 7, 0, &bytes);
                if let Some(socket) = self
                    .datagram_sockets
                    .get_mut(&to)
                    .filter(|socket| socket.queue.len() < DATAGRAM_QUEUE_LENGTH)
                {
                    if let Some(tally) = &mut self.traffic {
                        tally.count_received(to.ip(), TrafficKind::Datagrams(to.port()), bytes.len());
                    }
                    socket.queue.push_back((from, bytes));
                    wake(&mut socket.waker);
                }
            }
        }
    }

    /// The connections, and the number of sockets by process.
    pub fn connections_and_socket_counts(
        &mut self,
    ) -> (&mut BTreeMap<ConnectionId, Connection>, &mut BTreeMap<ProcessId, usize>) {
        (&mut self.connections, &mut self.socket_counts)
    }

    /// Removes a process from a listener. Queued connections go to the other processes that accept from it,
    /// or are returned where there is none.
    pub fn remove_acceptor(&mut self, at: SocketAddr, process: ProcessId) -> VecDeque<ConnectionId> {
        let Some(listener) = self.listeners.get_mut(&at) else { return VecDeque::new() };
        listener.acceptors.retain(|(p, _)| *p != process);
        let Some((next, waker)) = listener.acceptors.first_mut() else {
            return self.listeners.remove(&at).map(|listener| listener.queue).unwrap_or_default();
        };
        wake(waker);
        let next = *next;
        for id in &listener.queue {
            if let Some(connection) =
                self.connections.get_mut(id).filter(|connection| connection.endpoints[1].process == process)
            {
                connection.endpoints[1].process = next;
                *self.socket_counts.entry(next).or_default() += 1;
                if let Some(count) = self.socket_counts.get_mut(&process) {
                    *count = count.saturating_sub(1);
                }
            }
        }
        VecDeque::new()
    }

    fn reset_endpoint(&mut self, id: ConnectionId, side: usize, error: ErrorKind) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.endpoints[side].error.get_or_insert(error);
        wake(&mut connection.endpoints[side].read_waker);
        wake(&mut connection.endpoints[side].write_waker);
        if connection.phase == Phase::Connecting && side == 0 {
            connection.phase = Phase::Refused;
            wake(&mut connection.connect_waker);
        }
        self.remove_if_done(id);
    }

    /// Drops a connection that no process holds any more and on which nothing more can arrive.
    pub fn remove_if_done(&mut self, id: ConnectionId) {
        let done = |endpoint: &Endpoint, other: &Endpoint| {
            endpoint.closed
                && (endpoint.error.is_some()
                    || endpoint.remote_closed
                    || other.closed
                    || other.error.is_some())
        };
        if self
            .connections
            .get(&id)
            .is_some_and(|c| done(&c.endpoints[0], &c.endpoints[1]) && done(&c.endpoints[1], &c.endpoints[0]))
        {
            self.connections.remove(&id);
        }
    }
}

/// All directed pairs between two groups of zones.
fn directed_pairs(left: &[u8], right: &[u8]) -> impl Iterator<Item = (u8, u8)> {
    left.iter().flat_map(move |l| right.iter().flat_map(move |r| [(*l, *r), (*r, *l)]))
}

pub(crate) fn wake(waker: &mut Option<Waker>) {
    if let Some(w) = waker.take() {
        w.wake();
    }
}
