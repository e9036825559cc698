//! The network's state: machines, links, connections, and the wire that carries packets.

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
use crate::tally::{Tally, Traffic, TrafficKind};
use crate::{BACKLOG, DATAGRAMS, LONG};

/// Names one run of a program on a machine.
pub type ProcessId = u64;
/// Names a connection.
pub(crate) type ConnId = u64;

/// How long packets take and how many datagrams are lost. Times are drawn evenly from the ranges.
#[derive(Clone, Debug)]
pub struct Links {
    /// One way between machines of the same zone.
    pub within_zone: (Duration, Duration),
    /// One way between zones.
    pub between_zones: (Duration, Duration),
    /// One way for datagrams.
    pub datagrams: (Duration, Duration),
    /// The part of the datagrams that is lost, 0 to 1.
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

/// The network; a clone is the same one.
#[derive(Clone)]
pub struct Net {
    pub(crate) state: Rc<RefCell<State>>,
    earlier: Rc<Notify>,
}

pub(crate) enum Packet {
    Syn(ConnId),
    SynAck(ConnId),
    Refused(ConnId),
    Data(ConnId, usize, Bytes),
    Fin(ConnId, usize),
    Rst(ConnId, usize),
    Datagram { from: SocketAddr, to: SocketAddr, bytes: Bytes },
}

struct Due {
    at: Instant,
    number: u64,
    packet: Packet,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Phase {
    Connecting,
    Up,
    Refused,
}

/// One side of a connection.
pub(crate) struct End {
    pub address: SocketAddr,
    pub process: ProcessId,
    /// What has arrived and was not read.
    pub inbox: BytesMut,
    /// When the last data arrived; with none, when the connection was begun.
    pub arrived: Instant,
    /// The other side sends no more, and all that it sent has arrived.
    pub ended: bool,
    pub error: Option<ErrorKind>,
    pub reader: Option<Waker>,
    pub writer: Option<Waker>,
    /// Sent by this side and not yet read by the other.
    pub unread: usize,
    /// When the last packet of this side arrives: none overtakes it.
    last: Instant,
    pub fin_sent: bool,
    /// Its program has let go of it.
    pub closed: bool,
    /// Halves still in the program's hands.
    pub handles: u8,
}

pub(crate) struct Conn {
    pub ends: [End; 2],
    pub phase: Phase,
    pub connector: Option<Waker>,
}

pub(crate) struct Listening {
    /// The processes that accept from it, each with its waker; never empty.
    pub holders: Vec<(ProcessId, Option<Waker>)>,
    pub queue: VecDeque<ConnId>,
}

impl Listening {
    /// The place of a process among those that accept.
    pub fn place(&self, process: ProcessId) -> Option<usize> {
        self.holders.iter().position(|(p, _)| *p == process)
    }
}

pub(crate) struct Mailbox {
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
    start: Instant,
    unix: Duration,
    /// How far the wall clocks of machines have been stepped, in milliseconds.
    wall_steps: BTreeMap<IpAddr, i64>,
    machines: BTreeMap<IpAddr, Machine>,
    /// Directed pairs between which nothing passes now.
    cuts: BTreeSet<(IpAddr, IpAddr)>,
    /// Directed pairs of zones, likewise.
    zone_cuts: BTreeSet<(u8, u8)>,
    /// TCP packets that wait for their link.
    held: VecDeque<(IpAddr, IpAddr, Packet)>,
    queue: BinaryHeap<Reverse<Due>>,
    number: u64,
    armed: Instant,
    pub conns: BTreeMap<ConnId, Conn>,
    next_conn: ConnId,
    next_port: BTreeMap<IpAddr, u16>,
    pub listeners: BTreeMap<SocketAddr, Listening>,
    pub mailboxes: BTreeMap<SocketAddr, Mailbox>,
    next_process: ProcessId,
    dead: BTreeSet<ProcessId>,
    /// Open sockets of each process.
    pub sockets: BTreeMap<ProcessId, usize>,
    digest: u64,
    packets: u64,
    /// Only where somebody asked for it.
    tally: Option<Tally>,
    /// Who waits for so many packets.
    awaited: Vec<(u64, Rc<Notify>)>,
    log: Option<LogSink>,
}

impl Net {
    /// A network whose delays and losses follow from a seed, at a time of day. Its wire must be run with
    /// [`deliver_packets`](Self::deliver_packets).
    pub fn new(seed: u64, unix: Duration, links: Links) -> Net {
        let now = Instant::now();
        let state = State {
            rng: Pcg64Mcg::seed_from_u64(seed),
            links,
            start: now,
            unix,
            wall_steps: BTreeMap::new(),
            machines: BTreeMap::new(),
            cuts: BTreeSet::new(),
            zone_cuts: BTreeSet::new(),
            held: VecDeque::new(),
            queue: BinaryHeap::new(),
            number: 0,
            armed: now + LONG,
            conns: BTreeMap::new(),
            next_conn: 1,
            next_port: BTreeMap::new(),
            listeners: BTreeMap::new(),
            mailboxes: BTreeMap::new(),
            next_process: 1,
            dead: BTreeSet::new(),
            sockets: BTreeMap::new(),
            digest: seed,
            packets: 0,
            tally: None,
            awaited: Vec::new(),
            log: None,
        };
        Net { state: Rc::new(RefCell::new(state)), earlier: Rc::new(Notify::new()) }
    }

    /// Where lines of logs go: the time, the machine's name, the line. Without one they are dropped unformatted.
    pub fn set_log_sink(&self, sink: impl FnMut(Instant, &str, fmt::Arguments<'_>) + 'static) {
        self.state.borrow_mut().log = Some(Box::new(sink));
    }

    /// Starts a program on a machine, which is put into a zone the first time that it is named.
    pub fn start_process(&self, ip: IpAddr, zone: u8, name: &str) -> SimHost {
        let mut s = self.state.borrow_mut();
        s.machines.entry(ip).or_insert(Machine { zone, silent: false });
        let process = s.next_process;
        s.next_process += 1;
        SimHost { net: self.clone(), ip, process, name: name.into() }
    }

    /// Kills a program: what it listened on is refused, what it had open is reset. Its tasks are the caller's.
    pub fn kill(&self, process: ProcessId) {
        self.end_process(process, true);
    }

    /// A machine loses power: nothing is said to anybody. [`restore`](Self::restore) brings it back.
    pub fn vanish(&self, ip: IpAddr, process: ProcessId) {
        if let Some(m) = self.state.borrow_mut().machines.get_mut(&ip) {
            m.silent = true;
        }
        self.end_process(process, false);
    }

    /// Cuts a machine off, with its programs going on, or a machine that vanished stays silent.
    pub fn silence(&self, ip: IpAddr) {
        if let Some(m) = self.state.borrow_mut().machines.get_mut(&ip) {
            m.silent = true;
        }
    }

    /// A silent machine can be reached again; what waited for it arrives.
    pub fn restore(&self, ip: IpAddr) {
        let mut s = self.state.borrow_mut();
        if let Some(m) = s.machines.get_mut(&ip) {
            m.silent = false;
        }
        s.release();
        drop(s);
        self.earlier.notify_one();
    }

    /// Cuts a link in one direction.
    pub fn cut(&self, from: IpAddr, to: IpAddr) {
        self.state.borrow_mut().cuts.insert((from, to));
    }

    /// Mends a link in one direction.
    pub fn mend(&self, from: IpAddr, to: IpAddr) {
        let mut s = self.state.borrow_mut();
        s.cuts.remove(&(from, to));
        s.release();
        drop(s);
        self.earlier.notify_one();
    }

    /// Cuts all links between two groups of zones, in both directions.
    pub fn partition_zones(&self, left: &[u8], right: &[u8]) {
        self.state.borrow_mut().zone_cuts.extend(both_ways(left, right));
    }

    /// Mends all links between two groups of zones; what waited for them goes on.
    pub fn heal_zones(&self, left: &[u8], right: &[u8]) {
        let mut s = self.state.borrow_mut();
        both_ways(left, right).for_each(|pair| {
            s.zone_cuts.remove(&pair);
        });
        s.release();
        drop(s);
        self.earlier.notify_one();
    }

    /// Whether a program listens for connections at an address.
    pub fn listens(&self, at: SocketAddr) -> bool {
        self.state.borrow().listeners.contains_key(&at)
    }

    /// Counts traffic from now on, from 0. Without this call none is counted.
    pub fn count_traffic(&self) {
        self.state.borrow_mut().tally = Some(Tally::default());
    }

    /// The traffic of a machine on one way since the tally began; none without a tally.
    pub fn traffic(&self, ip: IpAddr, way: TrafficKind) -> Traffic {
        self.state.borrow().tally.as_ref().map(|tally| tally.traffic(ip, way)).unwrap_or_default()
    }

    /// Connections that are up or on their way up, by the address that they were made to.
    pub fn connections(&self) -> BTreeMap<SocketAddr, usize> {
        let mut counts = BTreeMap::new();
        for connection in self.state.borrow().conns.values().filter(|c| c.phase != Phase::Refused) {
            *counts.entry(connection.ends[1].address).or_default() += 1;
        }
        counts
    }

    /// Changes the part of the datagrams that is lost, 0 to 1.
    pub fn lose_datagrams(&self, part: f64) {
        self.state.borrow_mut().links.datagram_loss = part;
    }

    /// Resets the connections between two machines, with what is on its way.
    pub fn reset_between(&self, a: IpAddr, b: IpAddr) {
        let mut s = self.state.borrow_mut();
        let between = |c: &Conn| {
            let ips = [c.ends[0].address.ip(), c.ends[1].address.ip()];
            ips == [a, b] || ips == [b, a]
        };
        let hit: Vec<ConnId> = s.conns.iter().filter(|(_, c)| between(c)).map(|(id, _)| *id).collect();
        for id in hit {
            for side in 0..2 {
                s.break_end(id, side, ErrorKind::ConnectionReset);
            }
        }
    }

    /// What has been open at a program: sockets of all kinds.
    pub fn sockets(&self, process: ProcessId) -> usize {
        self.state.borrow().sockets.get(&process).copied().unwrap_or(0)
    }

    /// A number that stands for every packet that arrived, when, where and with what in it.
    pub fn digest(&self) -> u64 {
        self.state.borrow().digest
    }

    /// How many packets have arrived.
    pub fn packets(&self) -> u64 {
        self.state.borrow().packets
    }

    /// Waits until so many packets have arrived.
    pub async fn packet(&self, number: u64) {
        let reached = Rc::new(Notify::new());
        {
            let mut s = self.state.borrow_mut();
            if s.packets >= number {
                return;
            }
            s.awaited.push((number, reached.clone()));
        }
        reached.notified().await;
    }

    /// Time since the network was made.
    pub fn elapsed(&self) -> Duration {
        self.state.borrow().start.elapsed()
    }

    /// Carries packets for as long as it is polled.
    pub async fn deliver_packets(self) {
        loop {
            let next = {
                let mut s = self.state.borrow_mut();
                s.deliver(Instant::now());
                s.armed = s.queue.peek().map_or_else(|| Instant::now() + LONG, |Reverse(d)| d.at);
                s.armed
            };
            tokio::select! {
                biased;
                () = self.earlier.notified() => {}
                () = sleep_until(next) => {}
            }
        }
    }

    pub(crate) fn send(&self, from: IpAddr, to: IpAddr, packet: Packet) {
        let mut s = self.state.borrow_mut();
        s.tally_sent(&packet);
        if s.send(from, to, packet) {
            self.earlier.notify_one();
        }
    }

    fn end_process(&self, process: ProcessId, told: bool) {
        let mut s = self.state.borrow_mut();
        s.dead.insert(process);
        let held: Vec<SocketAddr> =
            s.listeners.iter().filter(|(_, l)| l.place(process).is_some()).map(|(at, _)| *at).collect();
        held.into_iter().for_each(|at| drop(s.let_go(at, process)));
        s.mailboxes.retain(|_, m| m.process != process);
        s.sockets.remove(&process);
        let mine = |c: &Conn| (0..2).find(|side| c.ends[*side].process == process && !c.ends[*side].closed);
        let open: Vec<(ConnId, usize)> =
            s.conns.iter().filter_map(|(id, c)| mine(c).map(|side| (*id, side))).collect();
        for (id, side) in open {
            let Some(c) = s.conns.get_mut(&id) else { continue };
            c.ends[side].closed = true;
            let (from, to) = (c.ends[side].address.ip(), c.ends[1 - side].address.ip());
            if told {
                s.send(from, to, Packet::Rst(id, 1 - side));
            }
        }
        drop(s);
        self.earlier.notify_one();
    }

    pub(crate) fn write_log(&self, name: &str, line: fmt::Arguments<'_>) {
        let sink = self.state.borrow_mut().log.take();
        if let Some(mut sink) = sink {
            sink(Instant::now(), name, line);
            self.state.borrow_mut().log = Some(sink);
        }
    }

    /// The wall clock of a machine is stepped, forward or back; its monotonic clock runs on.
    pub fn step_wall_clock(&self, ip: IpAddr, by_ms: i64) {
        *self.state.borrow_mut().wall_steps.entry(ip).or_default() += by_ms;
    }

    pub(crate) fn unix_time(&self, ip: IpAddr) -> Duration {
        let s = self.state.borrow();
        let steps = s.wall_steps.get(&ip).copied().unwrap_or_default();
        let (true_time, stepped) = (s.unix + s.start.elapsed(), Duration::from_millis(steps.unsigned_abs()));
        if steps < 0 { true_time.saturating_sub(stepped) } else { true_time + stepped }
    }
}

impl State {
    pub fn new_conn(&mut self, from: IpAddr, process: ProcessId, to: SocketAddr) -> ConnId {
        let id = self.next_conn;
        self.next_conn += 1;
        let port = self.next_port.entry(from).or_insert(20_000);
        *port = if *port == u16::MAX { 20_000 } else { *port + 1 };
        let from = SocketAddr::new(from, *port);
        let now = Instant::now();
        let end = |address, process| End {
            address,
            process,
            inbox: BytesMut::new(),
            arrived: now,
            ended: false,
            error: None,
            reader: None,
            writer: None,
            unread: 0,
            last: now,
            fin_sent: false,
            closed: false,
            handles: 0,
        };
        let ends = [end(from, process), end(to, 0)];
        self.conns.insert(id, Conn { ends, phase: Phase::Connecting, connector: None });
        *self.sockets.entry(process).or_default() += 1;
        id
    }

    /// Puts a packet on its way; whether the wire must look at its queue again.
    pub fn send(&mut self, from: IpAddr, to: IpAddr, packet: Packet) -> bool {
        let silent = |ip: &IpAddr| self.machines.get(ip).is_none_or(|m| m.silent);
        if silent(&from) || silent(&to) || self.cuts.contains(&(from, to)) || self.zones_cut(&from, &to) {
            if !matches!(packet, Packet::Datagram { .. }) {
                self.held.push_back((from, to, packet));
            }
            return false;
        }
        let datagram = matches!(packet, Packet::Datagram { .. });
        if datagram && self.links.datagram_loss > 0.0 && self.rng.random::<f64>() < self.links.datagram_loss {
            return false;
        }
        let zone = |ip: &IpAddr| self.machines.get(ip).map(|m| m.zone);
        let range = match (datagram, zone(&from) == zone(&to)) {
            (true, _) => self.links.datagrams,
            (false, true) => self.links.within_zone,
            (false, false) => self.links.between_zones,
        };
        let mut at = Instant::now() + range.0 + (range.1 - range.0).mul_f64(self.rng.random::<f64>());
        // TCP keeps the order of what one side sends.
        let side = match &packet {
            Packet::Data(id, to, _) | Packet::Fin(id, to) | Packet::Rst(id, to) => Some((*id, 1 - to)),
            Packet::SynAck(id) => Some((*id, 1)),
            _ => None,
        };
        if let Some(end) = side.and_then(|(id, side)| Some(&mut self.conns.get_mut(&id)?.ends[side])) {
            at = at.max(end.last);
            end.last = at;
        }
        self.number += 1;
        self.queue.push(Reverse(Due { at, number: self.number, packet }));
        let earlier = at < self.armed;
        if earlier {
            self.armed = at;
        }
        earlier
    }

    fn zones_cut(&self, from: &IpAddr, to: &IpAddr) -> bool {
        let zone = |ip| self.machines.get(ip).map(|machine| machine.zone);
        let pair = zone(from).zip(zone(to));
        !self.zone_cuts.is_empty() && pair.is_some_and(|pair| self.zone_cuts.contains(&pair))
    }

    /// The way of a connection's side.
    fn way(ends: &[End; 2], side: usize) -> TrafficKind {
        let port = ends[1].address.port();
        if side == 0 { TrafficKind::Opened(port) } else { TrafficKind::Accepted(port) }
    }

    fn tally_sent(&mut self, packet: &Packet) {
        let Some(tally) = &mut self.tally else { return };
        match packet {
            Packet::Data(id, to, bytes) => {
                let Some(connection) = self.conns.get(id) else { return };
                let from = connection.ends[1 - to].address.ip();
                tally.sent(from, Self::way(&connection.ends, 1 - to), bytes.len());
            }
            Packet::Datagram { from, to, bytes } => {
                tally.sent(from.ip(), TrafficKind::Datagrams(to.port()), bytes.len());
            }
            _ => {}
        }
    }

    /// What waited for a link that is there again goes on, in its order.
    fn release(&mut self) {
        for (from, to, packet) in std::mem::take(&mut self.held) {
            self.send(from, to, packet);
        }
    }

    fn deliver(&mut self, now: Instant) {
        while self.queue.peek().is_some_and(|Reverse(d)| d.at <= now) {
            let Some(Reverse(due)) = self.queue.pop() else { return };
            self.packets += 1;
            self.arrive(due.at, due.packet);
            let packets = self.packets;
            self.awaited.retain(|(number, reached)| {
                let due = packets >= *number;
                if due {
                    reached.notify_one();
                }
                !due
            });
        }
    }

    fn mix(&mut self, at: Instant, kind: u64, id: u64, bytes: &[u8]) {
        let time = (at - self.start).as_micros() as u64;
        let here = self.digest ^ time.rotate_left(20) ^ (kind << 56) ^ id;
        self.digest = xxh3_64_with_seed(bytes, here);
    }

    fn arrive(&mut self, at: Instant, packet: Packet) {
        match packet {
            Packet::Syn(id) => {
                self.mix(at, 1, id, &[]);
                let Some(c) = self.conns.get_mut(&id) else { return };
                let (from, to) = (c.ends[0].address, c.ends[1].address);
                match self.listeners.get_mut(&to) {
                    Some(l) if l.queue.len() < BACKLOG => {
                        let first = l.holders[0].0;
                        c.ends[1].process = first;
                        l.queue.push_back(id);
                        *self.sockets.entry(first).or_default() += 1;
                        l.holders.iter_mut().for_each(|(_, waker)| wake(waker));
                        self.send(to.ip(), from.ip(), Packet::SynAck(id));
                    }
                    Some(_) => {}
                    None => {
                        self.send(to.ip(), from.ip(), Packet::Refused(id));
                    }
                }
            }
            Packet::SynAck(id) => {
                self.mix(at, 2, id, &[]);
                let Some(c) = self.conns.get_mut(&id) else { return };
                if c.ends[0].closed {
                    // The one that wanted it has given up meanwhile.
                    let (from, to) = (c.ends[0].address.ip(), c.ends[1].address.ip());
                    self.send(from, to, Packet::Rst(id, 1));
                } else {
                    c.phase = Phase::Up;
                    if let Some(w) = c.connector.take() {
                        w.wake();
                    }
                }
            }
            Packet::Refused(id) => {
                self.mix(at, 3, id, &[]);
                if let Some(c) = self.conns.get_mut(&id) {
                    c.phase = Phase::Refused;
                    if let Some(w) = c.connector.take() {
                        w.wake();
                    }
                }
            }
            Packet::Data(id, side, bytes) => {
                self.mix(at, 4, id * 2 + side as u64, &bytes);
                let Some(c) = self.conns.get_mut(&id) else { return };
                let end = &mut c.ends[side];
                if end.closed {
                    let (from, to) = (end.address.ip(), c.ends[1 - side].address.ip());
                    self.send(from, to, Packet::Rst(id, 1 - side));
                } else if end.error.is_none() {
                    end.inbox.extend_from_slice(&bytes);
                    end.arrived = at;
                    wake(&mut end.reader);
                    if let Some(tally) = &mut self.tally {
                        tally.received(c.ends[side].address.ip(), Self::way(&c.ends, side), bytes.len());
                    }
                }
            }
            Packet::Fin(id, side) => {
                self.mix(at, 5, id * 2 + side as u64, &[]);
                if let Some(c) = self.conns.get_mut(&id) {
                    c.ends[side].ended = true;
                    wake(&mut c.ends[side].reader);
                    self.tidy(id);
                }
            }
            Packet::Rst(id, side) => {
                self.mix(at, 6, id * 2 + side as u64, &[]);
                self.break_end(id, side, ErrorKind::ConnectionReset);
            }
            Packet::Datagram { from, to, bytes } => {
                self.mix(at, 7, 0, &bytes);
                if let Some(m) = self.mailboxes.get_mut(&to).filter(|m| m.queue.len() < DATAGRAMS) {
                    if let Some(tally) = &mut self.tally {
                        tally.received(to.ip(), TrafficKind::Datagrams(to.port()), bytes.len());
                    }
                    m.queue.push_back((from, bytes));
                    wake(&mut m.waker);
                }
            }
        }
    }

    /// The connections, and how many sockets each process has.
    pub fn conns_and_sockets(&mut self) -> (&mut BTreeMap<ConnId, Conn>, &mut BTreeMap<ProcessId, usize>) {
        (&mut self.conns, &mut self.sockets)
    }

    /// A process accepts from an address no more. What waits there goes to the others that do, or is given back where
    /// there is none.
    pub fn let_go(&mut self, at: SocketAddr, process: ProcessId) -> VecDeque<ConnId> {
        let Some(l) = self.listeners.get_mut(&at) else { return VecDeque::new() };
        l.holders.retain(|(p, _)| *p != process);
        let Some((next, waker)) = l.holders.first_mut() else {
            return self.listeners.remove(&at).map(|l| l.queue).unwrap_or_default();
        };
        wake(waker);
        let next = *next;
        for id in &l.queue {
            if let Some(c) = self.conns.get_mut(id).filter(|c| c.ends[1].process == process) {
                c.ends[1].process = next;
                *self.sockets.entry(next).or_default() += 1;
                if let Some(count) = self.sockets.get_mut(&process) {
                    *count = count.saturating_sub(1);
                }
            }
        }
        VecDeque::new()
    }

    fn break_end(&mut self, id: ConnId, side: usize, error: ErrorKind) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        c.ends[side].error.get_or_insert(error);
        wake(&mut c.ends[side].reader);
        wake(&mut c.ends[side].writer);
        if c.phase == Phase::Connecting && side == 0 {
            c.phase = Phase::Refused;
            wake(&mut c.connector);
        }
        self.tidy(id);
    }

    /// Forgets a connection that nobody holds any more and over which nothing more can come.
    pub fn tidy(&mut self, id: ConnId) {
        let done = |e: &End, other: &End| {
            e.closed && (e.error.is_some() || e.ended || other.closed || other.error.is_some())
        };
        if self.conns.get(&id).is_some_and(|c| done(&c.ends[0], &c.ends[1]) && done(&c.ends[1], &c.ends[0])) {
            self.conns.remove(&id);
        }
    }
}

/// All directed pairs between two groups of zones.
fn both_ways(left: &[u8], right: &[u8]) -> impl Iterator<Item = (u8, u8)> {
    left.iter().flat_map(move |l| right.iter().flat_map(move |r| [(*l, *r), (*r, *l)]))
}

pub(crate) fn wake(waker: &mut Option<Waker>) {
    if let Some(w) = waker.take() {
        w.wake();
    }
}
