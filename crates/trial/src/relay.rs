//! Relays: one on every link between two endpoints, which injects the faults of a network.
//!
//! A link is one endpoint's view of the address of another. Bytes of TCP connections, or datagrams, pass through a socket
//! of this process, and [`LinkConditions`] says what happens to them. As on a real network, a blocked link gives no sign
//! of it: open connections stay open and carry nothing, new ones are never established.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream as StdStream};
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Connections that may wait to be accepted while the link is open.
const BACKLOG: i32 = 1024;
/// Bytes of a connection that are read and delayed as one chunk.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks of one direction in transit; what a sender has beyond them stays in the buffers of its own host.
const MAX_CHUNKS_IN_TRANSIT: usize = 32;
/// Datagrams of one link in transit; more are dropped, as by a full router queue.
const MAX_DATAGRAMS_IN_TRANSIT: usize = 512;
/// The longest datagram that is carried whole. Nodes may send 256 bytes; a longer datagram has to arrive at its real
/// length, so that the receiver can refuse it.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Delay between two attempts to open a listener again.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Connections that fill the queue of a listener that accepts none: the queue holds one, the second one finds it full.
const BACKLOG_FILLERS: usize = 2;

/// What a link does to its traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkConditions {
    /// Minimum delay, one way.
    pub delay: Duration,
    /// Share of the delay by which it grows at most, at random for each chunk; chunks of a connection keep their order.
    pub jitter: f64,
    /// Bytes per second of each direction of a connection; 0 for no limit.
    pub bytes_per_s: f64,
    /// Blocks traffic from the connecting side.
    pub blocked_forward: bool,
    /// Blocks traffic to the connecting side.
    pub blocked_backward: bool,
    /// Refuses new connections.
    pub refusing: bool,
    /// Share of the datagrams that is lost.
    pub lost_share: f64,
    /// Share of the datagrams that is duplicated.
    pub duplicated_share: f64,
    /// Share of the datagrams that is delayed by a further `late_by`, and so reordered.
    pub late_share: f64,
    /// Additional delay of late datagrams.
    pub late_by: Duration,
}

impl LinkConditions {
    /// Conditions without faults, of this delay and jitter.
    pub fn healthy(delay: Duration, jitter: f64) -> LinkConditions {
        LinkConditions {
            delay,
            jitter,
            bytes_per_s: 0.0,
            blocked_forward: false,
            blocked_backward: false,
            refusing: false,
            lost_share: 0.0,
            duplicated_share: 0.0,
            late_share: 0.0,
            late_by: Duration::ZERO,
        }
    }
}

/// Traffic of one relay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RelayTotals {
    /// Accepted connections.
    pub connections: u64,
    /// Bytes from the connecting side.
    pub bytes_forward: u64,
    /// Bytes to the connecting side.
    pub bytes_backward: u64,
    /// Received datagrams.
    pub datagrams: u64,
}

/// State that a relay's tasks share with its handle.
struct RelayState {
    conditions: RefCell<LinkConditions>,
    /// Notifies tasks that wait for other conditions or a reset.
    changed: Notify,
    /// Number of resets so far. A connection ends when it differs from the number at its start.
    resets: Cell<u64>,
    totals: Cell<RelayTotals>,
    rng: RefCell<Pcg64Mcg>,
}

impl RelayState {
    fn new(conditions: LinkConditions, seed: u64) -> Rc<RelayState> {
        Rc::new(RelayState {
            conditions: RefCell::new(conditions),
            changed: Notify::new(),
            resets: Cell::new(0),
            totals: Cell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        })
    }

    fn count(&self, add: impl FnOnce(&mut RelayTotals)) {
        let mut totals = self.totals.get();
        add(&mut totals);
        self.totals.set(totals);
    }

    /// The time that one chunk takes, drawn at random.
    fn transit_time(&self) -> Duration {
        let conditions = self.conditions.borrow();
        conditions.delay.mul_f64(1.0 + conditions.jitter * self.rng.borrow_mut().random::<f64>())
    }

    /// Waits until the conditions satisfy a predicate.
    async fn wait_until(&self, predicate: impl Fn(&LinkConditions) -> bool) {
        loop {
            let changed = self.changed.notified();
            if predicate(&self.conditions.borrow()) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the number of resets differs from `seen`.
    async fn reset_after(&self, seen: u64) {
        loop {
            let changed = self.changed.notified();
            if self.resets.get() != seen {
                return;
            }
            changed.await;
        }
    }
}

/// The relay of one link. Dropping it closes the link with all its connections.
pub struct Relay {
    /// Address for the connecting or sending side.
    pub address: SocketAddr,
    state: Rc<RelayState>,
    task: AbortHandle,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
        self.reset();
    }
}

impl Relay {
    /// Opens a relay that accepts connections at one address and connects them to another. Must run inside a `LocalSet`.
    ///
    /// # Errors
    /// A listener that cannot be opened.
    pub fn connections(
        at: SocketAddr,
        to: SocketAddr,
        conditions: LinkConditions,
        seed: u64,
    ) -> io::Result<Relay> {
        let listener = listen(at)?;
        let address = listener.local_addr()?;
        let state = RelayState::new(conditions, seed);
        let task = spawn_local(accept_connections(state.clone(), listener, address, to)).abort_handle();
        Ok(Relay { address, state, task })
    }

    /// Opens a relay for datagrams: what `inlet` receives from `from` is sent to `to` by `outlet`; datagrams of other
    /// senders are dropped. Several links share a socket, which stands for one endpoint as another one sees it.
    ///
    /// # Errors
    /// An inlet without a local address.
    pub fn datagrams(
        inlet: Rc<UdpSocket>,
        outlet: Rc<UdpSocket>,
        from: SocketAddr,
        to: SocketAddr,
        conditions: LinkConditions,
        seed: u64,
    ) -> io::Result<Relay> {
        let address = inlet.local_addr()?;
        let state = RelayState::new(conditions, seed);
        let task = spawn_local(relay_datagrams(state.clone(), inlet, outlet, from, to)).abort_handle();
        Ok(Relay { address, state, task })
    }

    /// The present conditions.
    pub fn conditions(&self) -> LinkConditions {
        self.state.conditions.borrow().clone()
    }

    /// Changes the conditions; traffic that is no longer blocked is released.
    pub fn update(&self, change: impl FnOnce(&mut LinkConditions)) {
        change(&mut self.state.conditions.borrow_mut());
        self.state.changed.notify_waiters();
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        self.state.resets.set(self.state.resets.get() + 1);
        self.state.changed.notify_waiters();
    }

    /// Traffic so far.
    pub fn totals(&self) -> RelayTotals {
        self.state.totals.get()
    }
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG as u32)
}

/// Opens connections that are never accepted. They fill the listener's queue, so that the kernel drops further SYNs.
async fn fill_backlog(at: SocketAddr) -> Vec<StdStream> {
    let mut fillers = Vec::new();
    for _ in 0..BACKLOG_FILLERS {
        let Ok(socket) = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None) else {
            break;
        };
        if socket.set_nonblocking(true).is_err() {
            break;
        }
        // Not awaited: the connection that finds the queue full is never established.
        let _ = socket.connect(&at.into());
        fillers.push(StdStream::from(socket));
    }
    fillers
}

async fn accept_connections(state: Rc<RelayState>, listener: TcpListener, at: SocketAddr, to: SocketAddr) {
    let mut listener = Some(listener);
    loop {
        let conditions = state.conditions.borrow().clone();
        if conditions.refusing {
            // Without a listener the kernel refuses connections.
            listener = None;
            state.wait_until(|c| !c.refusing).await;
            continue;
        }
        let Some(open) = listener.as_ref() else {
            match listen(at) {
                Ok(open) => listener = Some(open),
                Err(_) => sleep(LISTEN_RETRY_DELAY).await,
            }
            continue;
        };
        if conditions.blocked_forward || conditions.blocked_backward {
            let _ = SockRef::from(open).listen(0);
            let fillers = fill_backlog(at).await;
            let filler_addresses: Vec<SocketAddr> =
                fillers.iter().filter_map(|f| f.local_addr().ok()).collect();
            state.wait_until(|c| c.refusing || !(c.blocked_forward || c.blocked_backward)).await;
            drop(fillers);
            // Connections in the queue were established before the cut, except for the fillers.
            let _ = SockRef::from(open).listen(BACKLOG);
            while let Some(Ok((stream, from))) = accept_if_waiting(open).await {
                if !filler_addresses.contains(&from) {
                    spawn_local(relay_connection(state.clone(), stream, to));
                }
            }
            continue;
        }
        let changed = state.wait_until(|c| c.refusing || c.blocked_forward || c.blocked_backward);
        tokio::select! {
            biased;
            () = changed => {}
            taken = open.accept() => if let Ok((stream, _)) = taken {
                spawn_local(relay_connection(state.clone(), stream, to));
            },
        }
    }
}

/// A connection that waits to be accepted, if any.
async fn accept_if_waiting(listener: &TcpListener) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    tokio::select! {
        biased;
        taken = listener.accept() => Some(taken),
        () = tokio::task::yield_now() => None,
    }
}

/// Makes the close of a connection send a reset.
fn close_with_reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn relay_connection(state: Rc<RelayState>, caller: TcpStream, to: SocketAddr) {
    let resets = state.resets.get();
    state.count(|c| c.connections += 1);
    let _ = caller.set_nodelay(true);
    let target = tokio::select! {
        target = TcpStream::connect(to) => target,
        () = state.reset_after(resets) => Err(ErrorKind::ConnectionReset.into()),
    };
    let Ok(target) = target else { return close_with_reset(&caller) };
    let _ = target.set_nodelay(true);
    // The round trip that a handshake over this link takes, before the first bytes of the connecting side.
    let handshake = Instant::now() + state.transit_time() + state.transit_time();
    let (mut caller, mut target) = (caller, target);
    let ended_cleanly = {
        let ((from_caller, to_caller), (from_target, to_target)) = (caller.split(), target.split());
        let forward = relay_direction(&state, from_caller, to_target, true, handshake);
        let backward = relay_direction(&state, from_target, to_caller, false, Instant::now());
        tokio::select! {
            biased;
            () = state.reset_after(resets) => false,
            end = async { tokio::try_join!(forward, backward) } => end.is_ok(),
        }
    };
    if !ended_cleanly {
        close_with_reset(&caller);
        close_with_reset(&target);
    }
}

/// What a direction of a connection carries.
enum Chunk {
    Bytes(Vec<u8>),
    /// The sender has shut down its sending side.
    End,
    /// The sender's connection was reset.
    Reset,
}

/// A direction ended otherwise than by a shutdown: the whole connection is reset.
struct ConnectionBroken;

/// Relays one direction of a connection to its end.
async fn relay_direction(
    state: &RelayState,
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    forward: bool,
    not_before: Instant,
) -> Result<(), ConnectionBroken> {
    let (sender, mut chunks) = mpsc::channel::<(Instant, Chunk)>(MAX_CHUNKS_IN_TRANSIT);
    let reading = async {
        let mut due = Instant::now();
        loop {
            let mut bytes = vec![0; CHUNK_BYTES];
            let chunk = match from.read(&mut bytes).await {
                Ok(0) => Chunk::End,
                Ok(read) => {
                    bytes.truncate(read);
                    state.count(|c| {
                        *(if forward { &mut c.bytes_forward } else { &mut c.bytes_backward }) += read as u64
                    });
                    Chunk::Bytes(bytes)
                }
                Err(_) => Chunk::Reset,
            };
            let last = !matches!(chunk, Chunk::Bytes(_));
            // In order: no chunk is due before the one ahead of it, and a rate limit adds the transmission time of its bytes.
            due = due.max(Instant::now().max(not_before) + state.transit_time());
            let rate = state.conditions.borrow().bytes_per_s;
            if let (Chunk::Bytes(bytes), true) = (&chunk, rate > 0.0) {
                due += Duration::from_secs_f64(bytes.len() as f64 / rate);
            }
            if sender.send((due, chunk)).await.is_err() || last {
                return std::future::pending().await;
            }
        }
    };
    let writing = async {
        while let Some((due, chunk)) = chunks.recv().await {
            if due > Instant::now() {
                sleep_until(due).await;
            }
            state.wait_until(|c| if forward { !c.blocked_forward } else { !c.blocked_backward }).await;
            match chunk {
                Chunk::Bytes(bytes) => to.write_all(&bytes).await.map_err(|_| ConnectionBroken)?,
                Chunk::Reset => return Err(ConnectionBroken),
                Chunk::End => return to.shutdown().await.map_err(|_| ConnectionBroken),
            }
        }
        Err(ConnectionBroken)
    };
    tokio::select! {
        end = writing => end,
        end = reading => end,
    }
}

async fn relay_datagrams(
    state: Rc<RelayState>,
    inlet: Rc<UdpSocket>,
    outlet: Rc<UdpSocket>,
    from: SocketAddr,
    to: SocketAddr,
) {
    let in_transit = Rc::new(Cell::new(0));
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // The error is that of an earlier datagram, which found no receiver.
        let Ok((length, sender)) = inlet.recv_from(&mut buffer).await else { continue };
        if sender != from {
            continue;
        }
        state.count(|c| c.datagrams += 1);
        let conditions = state.conditions.borrow().clone();
        let draw = || state.rng.borrow_mut().random::<f64>();
        let copies = if conditions.blocked_forward || draw() < conditions.lost_share {
            0
        } else {
            1 + usize::from(draw() < conditions.duplicated_share)
        };
        for _ in 0..copies {
            if in_transit.get() >= MAX_DATAGRAMS_IN_TRANSIT {
                break;
            }
            in_transit.set(in_transit.get() + 1);
            let late = if draw() < conditions.late_share { conditions.late_by } else { Duration::ZERO };
            let (transit_time, bytes) = (state.transit_time() + late, buffer[..length].to_vec());
            let (outlet, in_transit) = (outlet.clone(), in_transit.clone());
            spawn_local(async move {
                sleep(transit_time).await;
                let _ = outlet.try_send_to(&bytes, to);
                in_transit.set(in_transit.get() - 1);
            });
        }
    }
}
