//! A stub cache server: in-order RESP2 connections, cores with a waiting queue, an LRU memory, a cold start,
//! and the collapse of a cold server under too much load.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mothpier_host::{Host, Listener, Reading, Stream};
use mothpier_resp as resp;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::fleet::Fleet;
use crate::observe::{AttemptOutcome, NodeIndex, ObservedEvent, RequestId, ServerIndex};

pub mod duplicate_responses;

/// Most commands of one connection that are processed at once.
const MAX_PIPELINED_COMMANDS: usize = 32;
/// A connection without commands is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A large response is written in pieces of this size, with this pause between two.
const CHUNK_BYTES: usize = 64 * 1024;
const CHUNK_PAUSE: Duration = Duration::from_millis(2);

/// Faults that apply to the responses of a cache server.
#[derive(Debug, Default)]
pub struct ResponseFaults {
    /// Share of responses that end in a reset halfway.
    pub reset_share: Cell<f64>,
    /// Share of responses that stop halfway without a reset.
    pub stall_share: Cell<f64>,
    /// Responses that are sent a second time.
    pub duplicates: duplicate_responses::DuplicateSettings,
}

/// Keys in the order of their last use.
#[derive(Default)]
struct LruKeys {
    last_used: BTreeMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    clock: u64,
}

impl LruKeys {
    fn touch(&mut self, key: u64) -> bool {
        let Some(stamp) = self.last_used.get_mut(&key) else { return false };
        self.by_last_use.remove(stamp);
        self.clock += 1;
        *stamp = self.clock;
        self.by_last_use.insert(self.clock, key);
        true
    }

    fn insert(&mut self, key: u64, capacity: usize) {
        if self.touch(key) {
            return;
        }
        self.clock += 1;
        self.last_used.insert(key, self.clock);
        self.by_last_use.insert(self.clock, key);
        if self.last_used.len() > capacity
            && let Some((_, evicted)) = self.by_last_use.pop_first()
        {
            self.last_used.remove(&evicted);
        }
    }

    fn remove(&mut self, key: u64) {
        if let Some(stamp) = self.last_used.remove(&key) {
            self.by_last_use.remove(&stamp);
        }
    }
}

/// One incarnation of a cache server.
pub struct CacheServer {
    /// Its index.
    pub index: ServerIndex,
    fleet: Rc<Fleet>,
    speed: f64,
    cold_since: Option<Instant>,
    cores: Semaphore,
    queued: Cell<usize>,
    open_connections: Cell<usize>,
    keys: RefCell<LruKeys>,
    /// Keys whose reads missed and are being fetched: another miss of them is answered with `pending`.
    fetching: RefCell<BTreeMap<u64, Instant>>,
    /// Recent work, while the server is cold.
    recent_work: RefCell<VecDeque<(Instant, f64)>>,
    has_collapsed: Cell<bool>,
    /// Notified when the server collapses.
    pub collapsed: Notify,
    /// Faults that apply to its responses.
    pub response_faults: ResponseFaults,
    draining: Cell<bool>,
    rng: RefCell<Pcg64Mcg>,
    duplicates_rng: RefCell<Pcg64Mcg>,
}

/// An attempt, as parsed from its command.
struct ParsedAttempt {
    request: RequestId,
    key: u64,
    class: usize,
    is_write: bool,
    time_out: Duration,
}

/// A parsed command.
enum Command {
    Attempt(ParsedAttempt),
    /// A command that is answered with a fixed line, in its turn.
    Other(&'static [u8]),
}

/// A response that is due on a connection, in the order of the commands.
enum DueResponse {
    Attempt(RequestId, oneshot::Receiver<(Bytes, AttemptOutcome)>),
    Line(&'static [u8]),
}

/// The next response to write.
struct NextResponse {
    bytes: Bytes,
    /// The attempt that it answers with its outcome; `None` for other commands.
    attempt: Option<(RequestId, AttemptOutcome)>,
}

/// The connection that waits for a response.
struct ResponseChannel {
    sender: oneshot::Sender<(Bytes, AttemptOutcome)>,
    /// Closed together with the connection.
    closed: Rc<Semaphore>,
}

impl CacheServer {
    /// A cache server that starts now; a cold one is empty.
    pub fn new(fleet: &Rc<Fleet>, index: ServerIndex, incarnation: u64, cold: bool) -> Rc<CacheServer> {
        let boxes = &fleet.scenario.boxes;
        Rc::new(CacheServer {
            index,
            fleet: fleet.clone(),
            speed: boxes.speeds[index % boxes.speeds.len()],
            cold_since: cold.then(Instant::now),
            cores: Semaphore::new(boxes.cores),
            queued: Cell::new(0),
            open_connections: Cell::new(0),
            keys: RefCell::default(),
            fetching: RefCell::default(),
            recent_work: RefCell::default(),
            has_collapsed: Cell::new(false),
            collapsed: Notify::new(),
            response_faults: ResponseFaults::default(),
            draining: Cell::new(false),
            rng: RefCell::new(fleet.rng("box", index as u64 * 1000 + incarnation)),
            duplicates_rng: RefCell::new(fleet.rng("second answers", index as u64 * 1000 + incarnation)),
        })
    }

    /// Its capacity when warm: milliseconds of a core of speed 1 per millisecond.
    pub fn capacity(&self) -> f64 {
        self.speed * self.fleet.scenario.boxes.cores as f64
    }

    /// The share of its capacity that it has now.
    fn capacity_share(&self) -> f64 {
        let rules = &self.fleet.scenario.rules;
        self.cold_since.map_or(1.0, |since| {
            let age = since.elapsed().as_secs_f64() * 1e3 / rules.warm_ms as f64;
            (rules.cold_share + (1.0 - rules.cold_share) * age).min(1.0)
        })
    }

    /// Stores a key.
    pub fn store(&self, key: u64) {
        self.keys.borrow_mut().insert(key, self.fleet.scenario.boxes.keys);
        self.fetching.borrow_mut().remove(&key);
    }

    /// Drops a key.
    pub fn drop_key(&self, key: u64) {
        self.keys.borrow_mut().remove(key);
    }

    /// Rejects new requests from now on.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Serves connections until its tasks are dropped. `node` maps a remote address to the node that
    /// connects.
    pub async fn serve<H: Host>(
        self: Rc<Self>,
        listener: H::Listener,
        node: impl Fn(SocketAddr) -> NodeIndex,
    ) {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            let (cache, node) = (self.clone(), node(from));
            spawn_local(async move {
                cache.open_connections.set(cache.open_connections.get() + 1);
                cache.clone().serve_connection(stream, node).await;
                cache.open_connections.set(cache.open_connections.get() - 1);
            });
        }
    }

    async fn serve_connection<S: Stream>(self: Rc<Self>, stream: S, node: NodeIndex) {
        let (reading, mut writing) = stream.into_halves();
        let over_connection_limit = self.open_connections.get() > self.fleet.scenario.boxes.connections;
        let handshake = self.fleet.scenario.boxes.handshake_ms;
        // Closed with the connection, so that queued work is dropped with it.
        let closed = Rc::new(Semaphore::new(0));
        let mut pending: VecDeque<DueResponse> = VecDeque::new();
        let mut duplicates = duplicate_responses::DuplicateQueue::default();
        let mut buffer = BytesMut::new();
        let mut first_command = true;
        // When the bytes that were read last reached this machine.
        let mut received_at = Instant::now();
        let abandon = |pending: &mut VecDeque<DueResponse>| {
            closed.close();
            for due in pending.drain(..) {
                if let DueResponse::Attempt(request, _) = due {
                    self.fleet.observer.record(ObservedEvent::AttemptAbandoned {
                        server: self.index,
                        node,
                        request,
                    });
                }
            }
        };
        loop {
            while pending.len() < MAX_PIPELINED_COMMANDS {
                match resp::take_frame(&mut buffer, resp::MAX_VALUE_BYTES) {
                    Ok(None) => break,
                    Ok(Some(frame)) => match self.parse_command(frame) {
                        Ok(Command::Attempt(attempt)) => {
                            let (sender, response) = oneshot::channel();
                            let channel = ResponseChannel { sender, closed: closed.clone() };
                            pending.push_back(DueResponse::Attempt(attempt.request, response));
                            let handshake_work =
                                if std::mem::take(&mut first_command) { handshake } else { 0.0 };
                            let received_at = self.fleet.observer.since_start(received_at);
                            self.clone().start_attempt(
                                attempt,
                                node,
                                received_at,
                                handshake_work,
                                over_connection_limit,
                                channel,
                            );
                        }
                        Ok(Command::Other(line)) => pending.push_back(DueResponse::Line(line)),
                        Err(text) => {
                            let _ = writing.write_all(&resp::encode_error(text)).await;
                            return abandon(&mut pending);
                        }
                    },
                    Err(_) => {
                        let _ = writing.write_all(&resp::encode_error("SYNTAX")).await;
                        return abandon(&mut pending);
                    }
                }
            }
            let (pending_commands, room) = (pending.len(), pending.len() < MAX_PIPELINED_COMMANDS);
            tokio::select! {
                biased;
                duplicate = duplicates.next() => {
                    let duplicate_responses::Duplicate { request, bytes } = duplicate;
                    self.fleet.observer.record(ObservedEvent::DuplicateResponse {
                        server: self.index, node, request, pending: pending_commands,
                    });
                    if !write_chunked(&mut writing, &bytes).await {
                        return abandon(&mut pending);
                    }
                }
                response = next_response(&mut pending) => {
                    pending.pop_front();
                    let Some(NextResponse { bytes, attempt }) = response else { return abandon(&mut pending) };
                    if let Some((request, outcome)) = attempt {
                        let draw: f64 = self.rng.borrow_mut().random();
                        let (resets, stalls) =
                            (self.response_faults.reset_share.get(), self.response_faults.stall_share.get());
                        let broken_off = draw < resets + stalls;
                        self.fleet.observer.record(ObservedEvent::AttemptEnded {
                            server: self.index, node, request,
                            outcome: if broken_off { AttemptOutcome::Dropped { started: true } } else { outcome },
                        });
                        if broken_off {
                            let _ = writing.write_all(&bytes[..bytes.len() / 2]).await;
                            if draw >= resets {
                                sleep(Duration::from_secs(5)).await;
                            }
                            return abandon(&mut pending);
                        }
                    }
                    if !write_chunked(&mut writing, &bytes).await {
                        return abandon(&mut pending);
                    }
                    let rng = &mut self.duplicates_rng.borrow_mut();
                    let request = attempt.map(|(request, _)| request);
                    duplicates.schedule(&self.response_faults.duplicates, rng, request, &bytes);
                }
                open = read_available(&reading, &mut buffer), if room => {
                    // A node that ends its sending has given up its requests.
                    if !open {
                        return abandon(&mut pending);
                    }
                    received_at = Instant::now() - reading.since_last_arrival().unwrap_or_default();
                }
                () = sleep(IDLE_TIMEOUT), if pending_commands == 0 => return,
            }
        }
    }

    /// Parses a command.
    fn parse_command(&self, frame: BytesFrame) -> Result<Command, &'static str> {
        let BytesFrame::Array(parts) = frame else { return Err("SYNTAX") };
        let word = |p: &BytesFrame| match p {
            BytesFrame::BulkString(b) => std::str::from_utf8(b).ok().map(str::to_owned),
            _ => None,
        };
        let words: Option<Vec<String>> = parts.iter().map(word).collect();
        let words = words.ok_or("SYNTAX")?;
        let is_write = match words.first().map(String::as_str) {
            Some("CACHE.GET") if words.len() == 4 => false,
            Some("CACHE.SET") if words.len() == 5 => true,
            Some("CLIENT" | "SELECT") => return Ok(Command::Other(b"+OK\r\n")),
            Some(name) if !name.starts_with("CACHE.") => {
                return Ok(Command::Other(b"-ERR unknown command\r\n"));
            }
            _ => return Err("SYNTAX"),
        };
        let number = |text: &str| u64::from_str_radix(text, 16).map_err(|_| "SYNTAX");
        let extra = |name| words[3].split(',').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        let class = extra("c").and_then(|(_, c)| self.fleet.scenario.class.iter().position(|k| k.name == c));
        let time_out = extra("d").and_then(|(_, d)| d.parse().ok());
        Ok(Command::Attempt(ParsedAttempt {
            request: number(&words[2])?,
            key: number(&words[1])?,
            class: class.ok_or("SYNTAX")?,
            is_write,
            time_out: Duration::from_millis(time_out.ok_or("SYNTAX")?),
        }))
    }

    /// Starts an attempt whose last byte was received.
    fn start_attempt(
        self: Rc<Self>,
        attempt: ParsedAttempt,
        node: NodeIndex,
        received_at: Duration,
        handshake_work: f64,
        over_connection_limit: bool,
        channel: ResponseChannel,
    ) {
        let ResponseChannel { sender, closed } = channel;
        let settings = &self.fleet.scenario.boxes;
        let [least, most] = self.fleet.scenario.class[attempt.class].work_ms;
        let full_work = least + (most - least) * self.rng.borrow_mut().random::<f64>();
        let hit = self.keys.borrow_mut().touch(attempt.key);
        let work = handshake_work + if hit { full_work } else { full_work * settings.miss_work };
        let ParsedAttempt { request, is_write, .. } = attempt;
        let deadline = received_at + attempt.time_out;
        let arrived = ObservedEvent::AttemptArrived {
            server: self.index,
            node,
            request,
            is_write,
            work,
            running: 0,
            received_at,
            deadline,
        };
        self.fleet.observer.record(arrived);
        self.add_load(work);
        let busy = || (resp::encode_error("BUSY"), AttemptOutcome::Busy);
        let full = self.queued.get() >= settings.room && self.cores.available_permits() == 0;
        if over_connection_limit || full || self.draining.get() || self.has_collapsed.get() {
            let _ = sender.send(busy());
            return;
        }
        spawn_local(async move {
            self.queued.set(self.queued.get() + 1);
            let core = tokio::select! {
                biased;
                _ = closed.acquire() => None,
                core = timeout(attempt.time_out, self.cores.acquire()) => core.ok().and_then(Result::ok),
            };
            self.queued.set(self.queued.get() - 1);
            let Some(_core) = core else {
                let _ = sender.send(busy());
                return;
            };
            sleep(Duration::from_secs_f64(work / 1e3 / (self.speed * self.capacity_share()))).await;
            let _ = sender.send(self.look_up(&attempt));
        });
    }

    fn look_up(&self, attempt: &ParsedAttempt) -> (Bytes, AttemptOutcome) {
        let word = |w: &str| BytesFrame::BulkString(Bytes::copy_from_slice(w.as_bytes()));
        let response =
            |value, how: &str| resp::encode(&BytesFrame::Array(vec![value, word(how), BytesFrame::Null]));
        if !attempt.is_write && self.keys.borrow_mut().touch(attempt.key) {
            let value = self.fleet.value(attempt.key, attempt.request, self.index);
            let bytes = value.bytes(self.fleet.filler_bytes(attempt.key));
            return (response(BytesFrame::BulkString(bytes), "hit"), AttemptOutcome::Value(value));
        }
        self.fleet.record_miss(attempt.request, self.index);
        let now = Instant::now();
        let mut fetching = self.fetching.borrow_mut();
        let pending = fetching.get(&attempt.key).is_some_and(|until| *until > now);
        if !pending {
            fetching.retain(|_, until| *until > now);
            fetching.insert(attempt.key, now + Duration::from_millis(300));
        }
        (response(BytesFrame::Null, if pending { "pending" } else { "miss" }), AttemptOutcome::Miss)
    }

    /// Counts work against a cold server, rejected requests included. More than the configured multiple of
    /// its current capacity over the configured time, with a slack of a few requests, makes it collapse for
    /// good.
    fn add_load(&self, work: f64) {
        let warmth = self.capacity_share();
        if warmth >= 1.0 || self.has_collapsed.get() {
            return;
        }
        let rules = &self.fleet.scenario.rules;
        let window = Duration::from_millis(rules.fall_ms);
        let now = Instant::now();
        let mut recent_work = self.recent_work.borrow_mut();
        recent_work.push_back((now, work));
        while recent_work.front().is_some_and(|(sent_at, _)| now - *sent_at > window) {
            recent_work.pop_front();
        }
        let total: f64 = recent_work.iter().map(|(_, work)| work).sum();
        if total > rules.fall_multiple * warmth * self.capacity() * rules.fall_ms as f64 + 4.0 * work {
            self.has_collapsed.set(true);
            self.fleet.observer.record(ObservedEvent::CacheServerCollapsed { server: self.index });
            self.collapsed.notify_one();
        }
    }
}

/// Waits for the next response and leaves it at the front of the queue; `None` where its attempt was dropped.
/// Cancel safe.
async fn next_response(pending: &mut VecDeque<DueResponse>) -> Option<NextResponse> {
    match pending.front_mut() {
        Some(DueResponse::Attempt(request, response)) => {
            let (request, response) = (*request, response.await);
            response.ok().map(|(bytes, outcome)| NextResponse { bytes, attempt: Some((request, outcome)) })
        }
        Some(DueResponse::Line(line)) => {
            Some(NextResponse { bytes: Bytes::from_static(line), attempt: None })
        }
        None => std::future::pending().await,
    }
}

/// Writes a response, a large one in pieces; returns whether all of it was written.
async fn write_chunked(writing: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> bool {
    for (index, chunk) in bytes.chunks(CHUNK_BYTES).enumerate() {
        if index > 0 {
            sleep(CHUNK_PAUSE).await;
        }
        if writing.write_all(chunk).await.is_err() {
            return false;
        }
    }
    true
}

/// Reads available bytes; returns whether the connection is still open. Cancel safe.
pub(crate) async fn read_available(reading: &impl Reading, buffer: &mut BytesMut) -> bool {
    loop {
        if reading.readable().await.is_err() {
            return false;
        }
        buffer.reserve(4096);
        match reading.try_read_buf(buffer) {
            Ok(read) => return read > 0,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
}
