//! Clients behind a load balancer: open-loop arrivals, classes, tenants, skewed keys, time-outs, retries,
//! kept connections.
//!
//! Each request is due at its own time, whatever happens to others; its latency counts from then.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mothpier_host::{Host, Reading, Stream};
use mothpier_resp as resp;
use rand::Rng;
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

pub(crate) use crate::cache::read_available;
use crate::fleet::Fleet;
use crate::observe::{NodeIndex, ObservedEvent, Observer, Reply, RequestId};
use crate::scenario::{Effect, RetryPolicy};
use crate::values::Value;

/// How long a client waits after its time-out for a late reply: the grace period of the rule and the network
/// delay back.
pub(crate) const LATE_REPLY_GRACE: Duration = Duration::from_millis(150);
/// Time-out of connects.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// A close this soon after a request on a kept connection was under way before it: one network round trip.
pub(crate) const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(25);
/// A connection without a finished command must be answered or closed within this time, network delay
/// included.
const STALLED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(3_050);
/// A slow writer sends its command in this many pieces, over this time at most.
const SLOW_WRITE_PIECES: usize = 9;
const MAX_SLOW_WRITE: Duration = Duration::from_secs(2);
/// Most idle connections that are kept to one node.
const MAX_IDLE_PER_NODE: usize = 256;
/// How often clients that stay connected check their connection.
const RECONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A connection that is lost sooner counts as a failed try of a client that stays connected: it backs off as
/// its retry policy says.
const BRIEF_CONNECTION: Duration = Duration::from_secs(1);
/// Clients that stay connected make their first connection spread over this time.
const INITIAL_CONNECT_SPREAD: Duration = Duration::from_secs(1);

/// How a request ended, after all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// Served.
    Served,
    /// Refused by the last try.
    Refused,
    /// Failed in the last try.
    Failed,
    /// Not answered in time, or no node was reachable.
    Unanswered,
}

/// A request with all its tries, and how it ended.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest {
    /// When it was due, since the start of the run.
    pub due_at: Duration,
    /// Its class, by index in the scenario.
    pub class: usize,
    /// Its tenant, by index in the scenario.
    pub tenant: usize,
    /// How it ended.
    pub outcome: FinalOutcome,
    /// Time from when it was due to its end.
    pub latency: Duration,
    /// How many tries were made.
    pub tries: u32,
}

struct ClientConnection<S: Stream> {
    reading: S::Reading,
    writing: S::Writing,
    buffer: BytesMut,
    /// A request was sent on it.
    used: bool,
    connected_at: Instant,
    /// When the connect started; the remote machine accepted it later than that.
    connect_started: Instant,
}

impl<S: Stream> ClientConnection<S> {
    /// Whether it is still open and nothing has arrived on it; anything that has is reported as unsolicited.
    /// Only a connection that was never used may be closed with an error line.
    fn is_usable(&mut self, node: NodeIndex, observer: &Observer) -> bool {
        self.buffer.reserve(64);
        match self.reading.try_read_buf(&mut self.buffer) {
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            Ok(read) => {
                if read > 0 && (self.used || self.buffer.first() != Some(&b'-')) {
                    observer.record(ObservedEvent::UnsolicitedReply { node });
                }
                false
            }
        }
    }
}

/// All clients.
pub struct Clients<H: Host> {
    host: H,
    fleet: Rc<Fleet>,
    /// Addresses of the nodes, by node index.
    nodes: Vec<SocketAddr>,
    zones: usize,
    /// Whether the load balancer considers each node reachable.
    reachable: RefCell<Vec<bool>>,
    idle_connections: RefCell<BTreeMap<NodeIndex, Vec<ClientConnection<H::Stream>>>>,
    /// Bounds the connections to each node: clients use at most a third of a node's descriptors.
    connection_permits: Vec<Rc<Semaphore>>,
    dedicated_clients: RefCell<Vec<DedicatedClient<H::Stream>>>,
    next_request: Cell<RequestId>,
    in_flight: Cell<usize>,
    on_completed: Box<dyn Fn(CompletedRequest)>,
}

/// One of many clients that each have a connection of their own.
struct DedicatedClient<S: Stream> {
    connection: Option<(NodeIndex, ClientConnection<S>)>,
    /// Tries in progress, one of which may use the connection.
    tries_in_progress: usize,
    zone: usize,
    tenant: usize,
    /// Index of its retry policy, where there are any.
    retry_policy: usize,
    stays_connected: bool,
}

/// A request: when it is due, and what it asks for.
struct DueRequest {
    due_at: Instant,
    class: usize,
    tenant: usize,
    key: u64,
    zone: usize,
    seed: u64,
    client: Option<usize>,
}

enum TryOutcome {
    Served,
    Refused(u64),
    Failed,
    Unanswered,
}

impl<H: Host> Clients<H> {
    /// Clients on a host for nodes at these addresses; `completed` is called for each finished request.
    pub fn new(
        host: H,
        fleet: &Rc<Fleet>,
        nodes: Vec<SocketAddr>,
        on_completed: impl Fn(CompletedRequest) + 'static,
    ) -> Rc<Self> {
        let zones = fleet.scenario.zones.len().min(nodes.len());
        let load_settings = &fleet.scenario.load;
        let client = |index: usize| {
            let mut rng = fleet.rng("caller", index as u64);
            DedicatedClient {
                connection: None,
                tries_in_progress: 0,
                zone: index % zones,
                tenant: draw_index(&mut rng, fleet.scenario.tenant.iter().map(|t| t.share)),
                retry_policy: draw_index(&mut rng, load_settings.habits.iter().map(|h| h.share)),
                stays_connected: rng.random::<f64>() < load_settings.eager,
            }
        };
        Rc::new(Clients {
            host,
            fleet: fleet.clone(),
            zones,
            dedicated_clients: RefCell::new((0..load_settings.callers).map(client).collect()),
            reachable: RefCell::new(vec![true; nodes.len()]),
            idle_connections: RefCell::default(),
            connection_permits: (0..nodes.len())
                .map(|_| Rc::new(Semaphore::new((fleet.scenario.nodes.sockets / 3).max(1))))
                .collect(),
            nodes,
            next_request: Cell::new(1),
            in_flight: Cell::new(0),
            on_completed: Box::new(on_completed),
        })
    }

    /// Sets whether the load balancer considers a node reachable; connections to a node that is not are
    /// closed.
    pub fn set_reachable(&self, node: NodeIndex, reachable: bool) {
        self.reachable.borrow_mut()[node] = reachable;
        if !reachable {
            self.idle_connections.borrow_mut().remove(&node);
            for client in self.dedicated_clients.borrow_mut().iter_mut() {
                client.connection.take_if(|(at, _)| *at == node);
            }
        }
    }

    /// A node is stopping: makes no new connections to it; kept ones stay in use while they are open.
    pub fn stop_new_connections(&self, node: NodeIndex) {
        self.reachable.borrow_mut()[node] = false;
    }

    /// The state that is shared by all stubs.
    pub(crate) fn fleet(&self) -> &Rc<Fleet> {
        &self.fleet
    }

    /// Opens a new connection to a node.
    pub(crate) async fn open_connection(&self, node: NodeIndex) -> Option<H::Stream> {
        self.host.connect(self.nodes[node]).await.ok()
    }

    /// A reachable node for a client of any zone.
    pub(crate) fn choose_any(&self, rng: &mut Pcg64Mcg) -> Option<NodeIndex> {
        self.choose_node(rng.random_range(0..self.zones), rng)
    }

    /// Requests that have not ended yet.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Generates requests in an open loop for a time.
    pub async fn generate_load(self: Rc<Self>, duration: Duration) {
        let scenario = self.fleet.scenario.clone();
        let mut rng = self.fleet.rng("arrivals", 0);
        let begin = Instant::now();
        let mut due_at = begin;
        let popularity = Zipf::new(scenario.load.keys as f64, scenario.load.zipf).ok();
        let client_count = scenario.load.callers;
        for index in (0..client_count).filter(|n| self.dedicated_clients.borrow()[*n].stays_connected) {
            let delay = INITIAL_CONNECT_SPREAD.mul_f64(index as f64 / client_count as f64);
            spawn_local(self.clone().stay_connected(index, delay, begin + duration));
        }
        loop {
            let rate = scenario.load.rate * self.fleet.fault_settings.load_factor.get();
            let pause: f64 = Exp::new(rate).map_or(1.0, |e| e.sample(&mut rng));
            due_at += Duration::from_secs_f64(pause);
            if let Some(quiet_until) = self.fleet.fault_settings.quiet_until.get() {
                due_at = due_at.max(quiet_until);
            }
            if due_at - begin >= duration {
                return;
            }
            sleep_until(due_at).await;
            let class = draw_index(&mut rng, scenario.class.iter().map(|c| c.share));
            let tenant = draw_index(&mut rng, scenario.tenant.iter().map(|t| t.share));
            let rank = popularity.as_ref().map_or(1.0, |z| z.sample(&mut rng)) as u64;
            let key = key_of(rank);
            let (clients, zone) = (self.clone(), rng.random_range(0..self.zones));
            let mut request =
                DueRequest { due_at, class, tenant, key, zone, seed: rng.random(), client: None };
            if client_count > 0 {
                let index = rng.random_range(0..client_count);
                let client = &self.dedicated_clients.borrow()[index];
                (request.client, request.tenant, request.zone) = (Some(index), client.tenant, client.zone);
            }
            self.in_flight.set(self.in_flight.get() + 1);
            spawn_local(async move {
                let completed = clients.run_request(request).await;
                clients.in_flight.set(clients.in_flight.get() - 1);
                (clients.on_completed)(completed);
            });
        }
    }

    /// A client that reconnects whenever its connection is lost, as client libraries do that keep one open.
    async fn stay_connected(self: Rc<Self>, index: usize, delay: Duration, until: Instant) {
        let mut rng = self.fleet.rng("eager", index as u64);
        sleep(delay).await;
        let (mut tries, mut failed) = (0, false);
        while Instant::now() < until {
            let brief;
            let zone = {
                let client = &mut self.dedicated_clients.borrow_mut()[index];
                let observer = &self.fleet.observer;
                let lost =
                    client.connection.take_if(|(node, connection)| !connection.is_usable(*node, observer));
                brief =
                    lost.is_some_and(|(_, connection)| connection.connected_at.elapsed() < BRIEF_CONNECTION);
                (client.connection.is_none() && client.tries_in_progress == 0).then_some(client.zone)
            };
            if let Some(node) = zone.and_then(|zone| self.choose_node(zone, &mut rng)) {
                tries = if brief || failed { tries + 1 } else { 0 };
                if tries > 0 {
                    let wait = self.retry_policy(Some(index)).map_or(0, |h| h.wait(tries, rng.random()));
                    sleep(Duration::from_millis(wait)).await;
                }
                let connected = self.connect(node, CONNECT_TIMEOUT).await;
                failed = connected.is_none();
                if let Some(connection) = connected {
                    self.keep_idle(node, Some(index), connection);
                }
            }
            sleep(RECONNECT_CHECK_INTERVAL).await;
        }
    }

    /// Opens connections that never finish a command, so many per second for a time: half of them send
    /// nothing, the others part of a command.
    pub async fn open_stalled_connections(self: Rc<Self>, per_s: f64, duration: Duration) {
        let begin = Instant::now();
        let mut rng = self
            .fleet
            .rng("crowd", begin.duration_since(self.fleet.observer.started_at()).as_millis() as u64);
        let apart = Duration::from_secs_f64(1.0 / per_s);
        while begin.elapsed() < duration {
            let node = rng.random_range(0..self.nodes.len());
            let writes_part = rng.random::<bool>();
            let clients = self.clone();
            spawn_local(async move { clients.hold_stalled_connection(node, writes_part).await });
            sleep(apart).await;
        }
    }

    /// Keeps one connection without a finished command until it is closed or its time is up.
    async fn hold_stalled_connection(&self, node: NodeIndex, writes_part: bool) {
        let Some(mut connection) = self.connect(node, CONNECT_TIMEOUT).await else { return };
        if writes_part && connection.writing.write_all(b"*4\r\n$9\r\nCAC").await.is_err() {
            return;
        }
        let closed =
            timeout(STALLED_CONNECTION_TIMEOUT, read_available(&connection.reading, &mut connection.buffer))
                .await;
        if closed.is_err() && self.reachable.borrow()[node] {
            let connected_at = connection.connected_at.duration_since(self.fleet.observer.started_at());
            self.fleet.observer.record(ObservedEvent::StalledConnectionKept { node, connected_at });
        }
    }

    /// The retry policy of a client.
    fn retry_policy(&self, client: Option<usize>) -> Option<&RetryPolicy> {
        let index = client.map_or(0, |index| self.dedicated_clients.borrow()[index].retry_policy);
        self.fleet.scenario.load.habits.get(index)
    }

    async fn connect(&self, node: NodeIndex, time_out: Duration) -> Option<ClientConnection<H::Stream>> {
        let connect_started = Instant::now();
        let stream = timeout(time_out, self.host.connect(self.nodes[node])).await.ok()?.ok()?;
        if self.fleet.scenario.load.callers > 0 {
            self.fleet.observer.record(ObservedEvent::ClientConnected { node });
        }
        let (reading, writing) = stream.into_halves();
        Some(ClientConnection {
            reading,
            writing,
            buffer: BytesMut::new(),
            used: false,
            connected_at: Instant::now(),
            connect_started,
        })
    }

    /// A request with its retries.
    async fn run_request(&self, request: DueRequest) -> CompletedRequest {
        let DueRequest { due_at: due, class, tenant, key, zone, seed, client } = request;
        let scenario = &self.fleet.scenario;
        let mut rng = <Pcg64Mcg as rand::SeedableRng>::seed_from_u64(seed);
        let class_settings = &scenario.class[class];
        let deadline = due + Duration::from_millis(class_settings.deadline_ms);
        let [least, most] = scenario.load.patience;
        let respects_delay = rng.random::<f64>() < scenario.load.heeds_advice;
        let idempotency_key: u64 = rng.random();
        let first = self.next_request.get();
        let (mut tries, mut outcome) = (0, FinalOutcome::Unanswered);
        while tries <= scenario.load.retries {
            let left = deadline.saturating_duration_since(Instant::now());
            let share = least + (most - least) * rng.random::<f64>();
            let time_out = Duration::from_millis(class_settings.deadline_ms).mul_f64(share).min(left);
            if time_out < Duration::from_millis(5) {
                break;
            }
            let own_node = client
                .and_then(|n| self.dedicated_clients.borrow()[n].connection.as_ref().map(|(node, _)| *node));
            let own_node = own_node.filter(|node| self.reachable.borrow()[*node]);
            let Some(node) = own_node.or_else(|| self.choose_node(zone, &mut rng)) else {
                outcome = FinalOutcome::Unanswered;
                break;
            };
            tries += 1;
            let single_try = Try {
                first_try: first,
                class,
                tenant,
                key,
                node,
                time_out,
                idempotency_key,
                is_retry: tries > 1,
                client,
            };
            let mut wait = match self.retry_policy(client) {
                Some(policy) => policy.wait(tries, rng.random()),
                None => scenario.load.retry_ms,
            };
            match self.try_once(&single_try, &mut rng).await {
                TryOutcome::Served => {
                    outcome = FinalOutcome::Served;
                    break;
                }
                TryOutcome::Refused(ms) => {
                    outcome = FinalOutcome::Refused;
                    if respects_delay && ms > 0 {
                        wait = ms.min(scenario.rules.max_retry_after_ms);
                    }
                }
                TryOutcome::Failed if class_settings.effect == Effect::SideEffect => {
                    outcome = FinalOutcome::Failed;
                    break;
                }
                TryOutcome::Failed => outcome = FinalOutcome::Failed,
                TryOutcome::Unanswered if class_settings.effect == Effect::SideEffect => {
                    outcome = FinalOutcome::Unanswered;
                    break;
                }
                TryOutcome::Unanswered => outcome = FinalOutcome::Unanswered,
            }
            // A write with an idempotency key is retried within its deduplication window only.
            if class_settings.effect == Effect::Token
                && due.elapsed() + Duration::from_millis(wait)
                    >= Duration::from_millis(class_settings.window_ms)
            {
                break;
            }
            if wait > 0 {
                sleep(Duration::from_millis(wait)).await;
            }
        }
        let due_at = due.saturating_duration_since(self.fleet.observer.started_at());
        CompletedRequest { due_at, class, tenant, outcome, latency: due.elapsed(), tries }
    }

    /// The load balancer spreads connections over the reachable nodes of the zone, or over all where it has
    /// none.
    fn choose_node(&self, zone: usize, rng: &mut Pcg64Mcg) -> Option<NodeIndex> {
        let believed = self.reachable.borrow();
        let is_reachable = |n: &NodeIndex| believed[*n];
        let in_zone: Vec<NodeIndex> =
            (0..self.nodes.len()).filter(|n| n % self.zones == zone).filter(is_reachable).collect();
        let all: Vec<NodeIndex> = (0..self.nodes.len()).filter(is_reachable).collect();
        let candidates = if in_zone.is_empty() { all } else { in_zone };
        (!candidates.is_empty()).then(|| candidates[rng.random_range(0..candidates.len())])
    }

    /// One try; it is sent again if the node closed the kept connection underneath it.
    async fn try_once(&self, single_try: &Try, rng: &mut Pcg64Mcg) -> TryOutcome {
        let request = self.next_request.replace(self.next_request.get() + 1);
        let started = Instant::now();
        // The permit is released at the end of the try, whether or not the connection is kept, as kept ones
        // are used first. Clients with connections of their own may be more than the node has room for.
        let permit = async {
            match single_try.client {
                None => self.connection_permits[single_try.node].acquire().await.map(Some),
                Some(_) => Ok(None),
            }
        };
        let Ok(Ok(_permit)) = timeout(single_try.time_out, permit).await else {
            return TryOutcome::Unanswered;
        };
        let _busy = single_try.client.map(|index| TryInProgress::begin(&self.dedicated_clients, index));
        for again in [false, true] {
            // The load balancer makes no new connection to a node that stops.
            if again && !self.reachable.borrow()[single_try.node] {
                return TryOutcome::Unanswered;
            }
            let connection = if again { None } else { self.take_idle(single_try.node, single_try.client) };
            let is_new = connection.is_none();
            let mut connection = match connection {
                Some(connection) => connection,
                None => match self.connect(single_try.node, CONNECT_TIMEOUT.min(single_try.time_out)).await {
                    Some(connection) => connection,
                    None => return TryOutcome::Unanswered,
                },
            };
            connection.used = true;
            let time_out = single_try.time_out.saturating_sub(started.elapsed());
            let command = self.command(single_try, request, time_out);
            let share = self.fleet.fault_settings.slow_writer_share.get();
            let slow_writer = share > 0.0 && rng.random::<f64>() < share;
            let written = match slow_writer {
                true => write_slowly(&mut connection.writing, &command, rng).await,
                false => connection.writing.write_all(&command).await.is_ok(),
            };
            if !written {
                if is_new {
                    return TryOutcome::Unanswered;
                }
                continue;
            }
            let record = |event| self.fleet.observer.record(event);
            let &Try { first_try, node, class, tenant, key, .. } = single_try;
            record(ObservedEvent::RequestSent {
                request,
                first_try,
                node,
                class,
                tenant,
                key,
                timeout: time_out,
            });
            let sent = Instant::now();
            let fault_settings = &self.fleet.fault_settings;
            let leaves_early = rng.random::<f64>() < fault_settings.early_leaver_share.get();
            let wait = if leaves_early {
                time_out.mul_f64(rng.random::<f64>())
            } else {
                time_out + LATE_REPLY_GRACE
            };
            let slow_reader = rng.random::<f64>() < fault_settings.slow_reader_share.get();
            if slow_reader {
                sleep(time_out.mul_f64(rng.random::<f64>() * 0.8)).await;
            }
            let frame = loop {
                match resp::take_frame(&mut connection.buffer, resp::MAX_VALUE_BYTES) {
                    Ok(Some(frame)) => break Some(frame),
                    Ok(None) => {}
                    Err(_) => {
                        record(ObservedEvent::MalformedReply { request });
                        return TryOutcome::Failed;
                    }
                }
                match timeout_at(sent + wait, read_available(&connection.reading, &mut connection.buffer))
                    .await
                {
                    Ok(true) => {}
                    Ok(false) => break None,
                    Err(_) => {
                        // A value whose transfer has begun was in time; the rest depends on the cache server.
                        let leaves_early = leaves_early || is_streamed_value(&connection.buffer);
                        record(ObservedEvent::ClientLeft { request, early: leaves_early });
                        return TryOutcome::Unanswered;
                    }
                }
            };
            let Some(frame) = frame else {
                if is_streamed_value(&connection.buffer) {
                    record(ObservedEvent::TruncatedReply { request });
                    return TryOutcome::Failed;
                }
                // A client that was not reading cannot know when the close arrived.
                let raced = slow_reader || slow_writer || sent.elapsed() <= CLOSE_RACE_WINDOW;
                if !is_new && connection.buffer.is_empty() && raced {
                    record(ObservedEvent::RacedWithClose { request });
                    continue;
                }
                // The first request on a connection that is closed without a reply has failed.
                if slow_writer && connection.buffer.is_empty() {
                    record(ObservedEvent::RacedWithClose { request });
                    return TryOutcome::Unanswered;
                }
                let connect_started =
                    connection.connect_started.duration_since(self.fleet.observer.started_at());
                record(ObservedEvent::ConnectionLost { request, connect_started });
                return TryOutcome::Unanswered;
            };
            let reply = parse_reply(&frame);
            let Some(reply) = reply else {
                record(ObservedEvent::MalformedReply { request });
                return TryOutcome::Failed;
            };
            record(ObservedEvent::ReplyReceived { request, reply, slow_reader });
            if !connection.buffer.is_empty() {
                record(ObservedEvent::UnsolicitedReply { node });
            } else {
                self.keep_idle(node, single_try.client, connection);
            }
            return match reply {
                Reply::Value(_) => TryOutcome::Served,
                Reply::Busy(ms) => TryOutcome::Refused(ms),
                Reply::Failed => TryOutcome::Failed,
            };
        }
        TryOutcome::Unanswered
    }

    fn command(&self, single_try: &Try, request: RequestId, time_out: Duration) -> bytes::Bytes {
        let scenario = &self.fleet.scenario;
        let class = &scenario.class[single_try.class];
        let mut extras = format!("c={}", class.name);
        if let Some(tenant) = scenario.tenant.get(single_try.tenant) {
            extras += &format!(",t={}", tenant.name);
        }
        extras += &format!(",d={}", time_out.as_millis());
        if class.effect == Effect::Token {
            extras += &format!(",k={:016x}", single_try.idempotency_key);
        }
        if single_try.is_retry {
            extras += ",r=1";
        }
        let write = class.effect != Effect::Pure;
        let name = if write { "CACHE.SET" } else { "CACHE.GET" };
        let words = [name.to_owned(), format!("{:016x}", single_try.key), format!("{request:016x}"), extras];
        let value = write.then(|| "new".to_owned());
        resp::encode_command(words.into_iter().chain(value).map(Into::into))
    }

    /// A kept connection that is still usable; the most recently used one first.
    fn take_idle(&self, node: NodeIndex, client: Option<usize>) -> Option<ClientConnection<H::Stream>> {
        if let Some(index) = client {
            let (connected_to, mut idle) = self.dedicated_clients.borrow_mut()[index].connection.take()?;
            return (connected_to == node && idle.is_usable(node, &self.fleet.observer)).then_some(idle);
        }
        let mut all = self.idle_connections.borrow_mut();
        let idle = all.get_mut(&node)?;
        while let Some(mut connection) = idle.pop() {
            if connection.is_usable(node, &self.fleet.observer) {
                return Some(connection);
            }
        }
        None
    }

    fn keep_idle(&self, node: NodeIndex, client: Option<usize>, connection: ClientConnection<H::Stream>) {
        if let Some(index) = client {
            self.dedicated_clients.borrow_mut()[index].connection.get_or_insert((node, connection));
            return;
        }
        let mut all = self.idle_connections.borrow_mut();
        let idle = all.entry(node).or_default();
        if idle.len() < MAX_IDLE_PER_NODE && self.reachable.borrow()[node] {
            idle.push(connection);
        }
    }
}

/// Whether the received bytes begin a value that nodes stream through; a smaller one is sent whole or not at
/// all.
fn is_streamed_value(received: &[u8]) -> bool {
    let head = received.strip_prefix(b"$").and_then(|rest| rest.split(|b| *b == b'\r').next());
    let length = head.and_then(|digits| std::str::from_utf8(digits).ok()?.parse::<usize>().ok());
    length.is_some_and(|length| length > resp::MAX_BUFFERED_VALUE_BYTES)
}

/// Writes a command in pieces with pauses; returns whether all of it was written.
async fn write_slowly(
    writing: &mut (impl tokio::io::AsyncWrite + Unpin),
    command: &[u8],
    rng: &mut Pcg64Mcg,
) -> bool {
    let pause = MAX_SLOW_WRITE.mul_f64(rng.random::<f64>()) / SLOW_WRITE_PIECES as u32;
    for (index, piece) in command.chunks(command.len().div_ceil(SLOW_WRITE_PIECES)).enumerate() {
        if index > 0 {
            sleep(pause).await;
        }
        if writing.write_all(piece).await.is_err() {
            return false;
        }
    }
    true
}

type DedicatedClients<S> = RefCell<Vec<DedicatedClient<S>>>;

/// Counts a try of a client while it is in progress.
struct TryInProgress<'a, S: Stream>(&'a DedicatedClients<S>, usize);

impl<'a, S: Stream> TryInProgress<'a, S> {
    fn begin(clients: &'a DedicatedClients<S>, index: usize) -> Self {
        clients.borrow_mut()[index].tries_in_progress += 1;
        TryInProgress(clients, index)
    }
}

impl<S: Stream> Drop for TryInProgress<'_, S> {
    fn drop(&mut self) {
        self.0.borrow_mut()[self.1].tries_in_progress -= 1;
    }
}

struct Try {
    first_try: RequestId,
    class: usize,
    tenant: usize,
    key: u64,
    node: NodeIndex,
    time_out: Duration,
    idempotency_key: u64,
    is_retry: bool,
    client: Option<usize>,
}

/// The key of a popularity rank, from 1; hashing spreads popular keys evenly.
pub fn key_of(rank: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&rank.to_le_bytes()) | 1
}

/// Draws an index by its share; 0 where there are none.
fn draw_index(rng: &mut Pcg64Mcg, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let mut at = rng.random::<f64>() * shares.clone().sum::<f64>();
    for (i, share) in shares.enumerate() {
        at -= share;
        if at < 0.0 {
            return i;
        }
    }
    0
}

/// Parses a node's reply; `None` if it is no valid one.
pub(crate) fn parse_reply(frame: &BytesFrame) -> Option<Reply> {
    match frame {
        BytesFrame::BulkString(value) => Value::parse(value).map(Reply::Value),
        BytesFrame::Error(text) => {
            let mut words = text.split(' ');
            let busy = words.next() == Some("BUSY");
            let ms = words.next().and_then(|ms| ms.parse().ok()).unwrap_or(0);
            Some(if busy { Reply::Busy(ms) } else { Reply::Failed })
        }
        _ => None,
    }
}
