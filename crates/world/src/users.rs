//! Clients that each use one connection until the node closes it, in different ways: back-to-back requests,
//! overlapping ones, pipelines, paced or rare ones, and slow writers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mothpier_host::{Host, Stream};
use mothpier_resp as resp;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::clients::{CLOSE_RACE_WINDOW, Clients, LATE_REPLY_GRACE, key_of, parse_reply, read_available};
use crate::observe::{NodeIndex, ObservedEvent, RequestId};

/// Requests of these clients are numbered from here on.
const FIRST_REQUEST_ID: RequestId = 1 << 40;
/// Time-out of connects.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the next connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Most open requests of a client that does not wait for replies.
const MAX_OPEN_REQUESTS: usize = 100;
/// A slow writer sends its command in this many pieces.
const SLOW_WRITE_PIECES: usize = 6;

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConnectionUse {
    /// Sends the next request as soon as it has its reply.
    ClosedLoop,
    /// Keeps two to eight requests open at all times.
    Overlaps,
    /// Sends a request every few milliseconds, whether or not the previous one is answered.
    Paced,
    /// Writes up to 128 requests at once, and the next ones when all are answered.
    Pipelines,
    /// Sends a request now and then.
    HoldsOn,
    /// Starts each command late, and writes it slowly.
    WritesSlowly,
}

/// Connections of these clients that a node holds for longer than it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetainedConnections {
    /// Connections without open requests.
    pub idle: usize,
    /// Connections with a recent request.
    pub recent: usize,
}

/// A request that is to be written.
struct Request {
    id: RequestId,
    key: u64,
}

/// An open connection.
struct OpenConnection {
    node: NodeIndex,
    connected_at: Instant,
    /// Requests without a reply, and when each was written whole.
    requests: VecDeque<(RequestId, Instant)>,
}

/// All such clients.
pub struct PersistentClients<H: Host> {
    clients: Rc<Clients<H>>,
    /// A request sent within this time before its connection was seen closed was under way when the node
    /// closed it.
    close_race_window: Box<dyn Fn() -> Duration>,
    connections: RefCell<BTreeMap<usize, OpenConnection>>,
    next_request: Cell<RequestId>,
}

impl<H: Host> PersistentClients<H> {
    /// Clients that use the load balancer of `clients`.
    pub fn new(clients: Rc<Clients<H>>) -> Rc<Self> {
        PersistentClients::with_close_race_window(clients, || CLOSE_RACE_WINDOW)
    }

    /// For hosts that may delay packets: `close_race_window` returns how long a request may be under way now.
    pub fn with_close_race_window(
        clients: Rc<Clients<H>>,
        close_race_window: impl Fn() -> Duration + 'static,
    ) -> Rc<Self> {
        let close_race_window = Box::new(close_race_window);
        Rc::new(PersistentClients {
            clients,
            close_race_window,
            connections: RefCell::default(),
            next_request: Cell::new(FIRST_REQUEST_ID),
        })
    }

    /// Lets them send requests until `end`.
    pub fn start(self: &Rc<Self>, end: Instant) {
        let scenario = &self.clients.fleet().scenario;
        let uses = scenario.load.uses.clone();
        for client in 0..if uses.is_empty() { 0 } else { scenario.load.users } {
            let users = self.clone();
            let usage = uses[client % uses.len()];
            spawn_local(async move { users.run_client(client, usage, end).await });
        }
    }

    /// The connections to a node that were made before a drain, or soon after it, and are idle or have a
    /// request from after `recent_after`.
    pub fn retained_connections(
        &self,
        node: NodeIndex,
        connected_before: Instant,
        recent_after: Instant,
    ) -> RetainedConnections {
        let open = self.connections.borrow();
        let of_node = open.values().filter(|c| c.node == node && c.connected_at <= connected_before);
        let mut retained = RetainedConnections { idle: 0, recent: 0 };
        for connection in of_node {
            retained.idle += usize::from(connection.requests.is_empty());
            retained.recent += usize::from(connection.requests.iter().any(|(_, sent)| *sent > recent_after));
        }
        retained
    }

    /// Connections that may have open requests.
    pub fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }

    async fn run_client(&self, client: usize, usage: ConnectionUse, until: Instant) {
        let mut rng = self.clients.fleet().rng("user", client as u64);
        while Instant::now() < until {
            if let Some(node) = self.clients.choose_any(&mut rng) {
                let connected = timeout(CONNECT_TIMEOUT, self.clients.open_connection(node)).await;
                if let Ok(Some(stream)) = connected {
                    let connected_at = Instant::now();
                    self.connections
                        .borrow_mut()
                        .insert(client, OpenConnection { node, connected_at, requests: VecDeque::new() });
                    self.use_connection(client, node, stream, usage, &mut rng, until).await;
                    self.connections.borrow_mut().remove(&client);
                }
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn use_connection(
        &self,
        client: usize,
        node: NodeIndex,
        stream: H::Stream,
        usage: ConnectionUse,
        rng: &mut Pcg64Mcg,
        until: Instant,
    ) {
        let connect_started = Instant::now();
        let (reading, mut writing) = stream.into_halves();
        let mut buffer = BytesMut::new();
        let depth = match usage {
            ConnectionUse::ClosedLoop | ConnectionUse::HoldsOn | ConnectionUse::WritesSlowly => 1,
            ConnectionUse::Overlaps => rng.random_range(2..=8),
            ConnectionUse::Pipelines => rng.random_range(2..=128),
            ConnectionUse::Paced => MAX_OPEN_REQUESTS,
        };
        let mut next = Instant::now() + self.pause(usage, rng);
        loop {
            let open = self.open_requests(client);
            let may_ask = match usage {
                ConnectionUse::Pipelines => open == 0,
                _ => open < depth,
            };
            let stopping = Instant::now() >= until;
            if stopping && open == 0 {
                return;
            }
            if may_ask && !stopping && Instant::now() >= next {
                let written = match usage {
                    ConnectionUse::WritesSlowly => self.send_slowly(client, node, &mut writing, rng).await,
                    ConnectionUse::Paced => self.send_requests(client, node, 1, &mut writing, rng).await,
                    _ => self.send_requests(client, node, depth - open, &mut writing, rng).await,
                };
                if !written {
                    return self.connection_ended(client, node, connect_started);
                }
                next = Instant::now() + self.pause(usage, rng);
            }
            let oldest_ends = self.oldest_request_ends(client);
            let wake_at = if may_ask && !stopping { next.min(oldest_ends) } else { oldest_ends };
            let received = tokio::select! {
                biased;
                received = read_available(&reading, &mut buffer) => Some(received),
                () = sleep_until(wake_at) => None,
            };
            match received {
                Some(true) if !self.take_replies(client, node, &mut buffer) => return,
                Some(true) => {}
                Some(false) => return self.connection_ended(client, node, connect_started),
                None if Instant::now() >= oldest_ends => return self.give_up(client),
                None => {}
            }
        }
    }

    /// Pause between two commands.
    fn pause(&self, usage: ConnectionUse, rng: &mut Pcg64Mcg) -> Duration {
        match usage {
            ConnectionUse::ClosedLoop | ConnectionUse::Overlaps | ConnectionUse::Pipelines => Duration::ZERO,
            ConnectionUse::Paced => Duration::from_millis(rng.random_range(2..=4)),
            ConnectionUse::HoldsOn => Duration::from_millis(rng.random_range(300..6_000)),
            ConnectionUse::WritesSlowly => Duration::from_millis(rng.random_range(0..2_000)),
        }
    }

    fn open_requests(&self, client: usize) -> usize {
        self.connections.borrow().get(&client).map_or(0, |c| c.requests.len())
    }

    /// How long a client waits for a reply: the deadline of the class.
    fn time_out(&self) -> Duration {
        let class = self.clients.fleet().scenario.class.first();
        Duration::from_millis(class.map_or(1000, |class| class.deadline_ms))
    }

    /// When the client gives up its oldest request.
    fn oldest_request_ends(&self, client: usize) -> Instant {
        let open = self.connections.borrow();
        let oldest = open.get(&client).and_then(|c| c.requests.front()).map(|(_, sent)| *sent);
        oldest.unwrap_or_else(Instant::now) + self.time_out() + LATE_REPLY_GRACE
    }

    /// The next request, with its bytes.
    fn next_command(&self, rng: &mut Pcg64Mcg) -> (Request, bytes::Bytes) {
        let scenario = &self.clients.fleet().scenario;
        let id = self.next_request.replace(self.next_request.get() + 1);
        let key = key_of(rng.random_range(1..=scenario.load.keys.max(1)));
        let mut extras = format!("c={}", scenario.class[0].name);
        if let Some(tenant) = scenario.tenant.first() {
            extras += &format!(",t={}", tenant.name);
        }
        extras += &format!(",d={}", self.time_out().as_millis());
        let words = ["CACHE.GET".to_owned(), format!("{key:016x}"), format!("{id:016x}"), extras];
        (Request { id, key }, resp::encode_command(words.into_iter().map(Into::into)))
    }

    /// Records that a request was written whole.
    fn request_sent(&self, client: usize, node: NodeIndex, request: Request) {
        let Request { id: request, key } = request;
        let time_out = self.time_out();
        let event = ObservedEvent::RequestSent {
            request,
            first_try: request,
            node,
            class: 0,
            tenant: 0,
            key,
            timeout: time_out,
        };
        self.clients.fleet().observer.record(event);
        if let Some(connection) = self.connections.borrow_mut().get_mut(&client) {
            connection.requests.push_back((request, Instant::now()));
        }
    }

    async fn send_requests(
        &self,
        client: usize,
        node: NodeIndex,
        count: usize,
        writing: &mut (impl AsyncWriteExt + Unpin),
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let (requests, commands): (Vec<_>, Vec<_>) = (0..count).map(|_| self.next_command(rng)).unzip();
        let written = writing.write_all(&commands.concat()).await.is_ok();
        if written {
            requests.into_iter().for_each(|request| self.request_sent(client, node, request));
        }
        written
    }

    async fn send_slowly(
        &self,
        client: usize,
        node: NodeIndex,
        writing: &mut (impl AsyncWriteExt + Unpin),
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let (request, command) = self.next_command(rng);
        let pause = Duration::from_millis(rng.random_range(10..380));
        for (piece, bytes) in command.chunks(command.len().div_ceil(SLOW_WRITE_PIECES)).enumerate() {
            if piece > 0 {
                sleep(pause).await;
            }
            if writing.write_all(bytes).await.is_err() {
                return false;
            }
        }
        self.request_sent(client, node, request);
        true
    }

    /// Takes the complete replies from the buffer; returns whether the connection can be used further.
    fn take_replies(&self, client: usize, node: NodeIndex, buffer: &mut BytesMut) -> bool {
        let observer = &self.clients.fleet().observer;
        loop {
            let frame = match resp::take_frame(buffer, resp::MAX_VALUE_BYTES) {
                Ok(Some(frame)) => frame,
                Ok(None) => return true,
                Err(_) => return false,
            };
            let oldest = self.connections.borrow_mut().get_mut(&client).and_then(|c| c.requests.pop_front());
            let Some((request, _)) = oldest else {
                // The node answers an incomplete command with an error.
                if !matches!(parse_reply(&frame), Some(crate::observe::Reply::Failed)) {
                    observer.record(ObservedEvent::UnsolicitedReply { node });
                }
                continue;
            };
            match parse_reply(&frame) {
                Some(reply) => {
                    observer.record(ObservedEvent::ReplyReceived { request, reply, slow_reader: true })
                }
                None => {
                    observer.record(ObservedEvent::MalformedReply { request });
                    return false;
                }
            }
        }
    }

    /// The connection was closed: requests sent a moment ago were under way then, the others are lost.
    fn connection_ended(&self, client: usize, _node: NodeIndex, connect_started: Instant) {
        let observer = &self.clients.fleet().observer;
        let requests =
            self.connections.borrow_mut().get_mut(&client).map(|c| std::mem::take(&mut c.requests));
        let connect_started = connect_started.duration_since(observer.started_at());
        for (request, sent) in requests.unwrap_or_default() {
            observer.record(match sent.elapsed() <= (self.close_race_window)() {
                true => ObservedEvent::RacedWithClose { request },
                false => ObservedEvent::ConnectionLost { request, connect_started },
            });
        }
    }

    /// Gives up, as no reply came in time.
    fn give_up(&self, client: usize) {
        let observer = &self.clients.fleet().observer;
        let requests =
            self.connections.borrow_mut().get_mut(&client).map(|c| std::mem::take(&mut c.requests));
        let mut early = false;
        for (request, _) in requests.unwrap_or_default() {
            observer.record(ObservedEvent::ClientLeft { request, early });
            // The requests behind it have time left.
            early = true;
        }
    }
}
