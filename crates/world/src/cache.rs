//! A cache box: RESP2 in order on each connection, cores and a waiting room, memory with eviction, a cold start, and
//! the rule by which a cold one falls over.

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

pub mod second_answers;

/// Commands of one connection that are begun at once.
const PIPELINE: usize = 32;
/// A connection that asks nothing for this long is closed.
const IDLE: Duration = Duration::from_secs(60);
/// A large answer is written in pieces of so many bytes, with this time between two.
const PIECE: usize = 64 * 1024;
const BETWEEN_PIECES: Duration = Duration::from_millis(2);

/// What faults do to the answers of one box.
#[derive(Debug, Default)]
pub struct Spoil {
    /// Part of the answers that end in a reset in their middle.
    pub resets: Cell<f64>,
    /// Part of the answers that begin and then stall.
    pub stalls: Cell<f64>,
    /// Answers that are given a second time.
    pub second_answers: second_answers::Figures,
}

/// Keys, the least lately used going first.
#[derive(Default)]
struct Memory {
    used: BTreeMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    tick: u64,
}

impl Memory {
    fn touch(&mut self, key: u64) -> bool {
        let Some(at) = self.used.get_mut(&key) else { return false };
        self.order.remove(at);
        self.tick += 1;
        *at = self.tick;
        self.order.insert(self.tick, key);
        true
    }

    fn insert(&mut self, key: u64, most: usize) {
        if self.touch(key) {
            return;
        }
        self.tick += 1;
        self.used.insert(key, self.tick);
        self.order.insert(self.tick, key);
        if self.used.len() > most
            && let Some((_, old)) = self.order.pop_first()
        {
            self.used.remove(&old);
        }
    }

    fn remove(&mut self, key: u64) {
        if let Some(at) = self.used.remove(&key) {
            self.order.remove(&at);
        }
    }
}

/// One life of a box.
pub struct CacheServer {
    /// Its number.
    pub number: ServerIndex,
    fleet: Rc<Fleet>,
    speed: f64,
    cold_since: Option<Instant>,
    cores: Semaphore,
    waiting: Cell<usize>,
    connections: Cell<usize>,
    memory: RefCell<Memory>,
    /// Reads that were told to fetch, by key: a second miss of it is `pending`.
    fetching: RefCell<BTreeMap<u64, Instant>>,
    /// Work sent lately, while it is cold.
    sent: RefCell<VecDeque<(Instant, f64)>>,
    fallen: Cell<bool>,
    /// Told when it falls.
    pub fell: Notify,
    /// What faults do to its answers.
    pub spoil: Spoil,
    draining: Cell<bool>,
    rng: RefCell<Pcg64Mcg>,
    second_answers_rng: RefCell<Pcg64Mcg>,
}

/// The figures of an attempt, read off its command.
struct Asked {
    request: RequestId,
    key: u64,
    class: usize,
    write: bool,
    wait: Duration,
}

/// A command, as it was read.
enum Command {
    Attempt(Asked),
    /// One that is answered with a line, in its turn.
    Other(&'static [u8]),
}

/// An answer that is due on a connection, in the order of the commands.
enum Due {
    Attempt(RequestId, oneshot::Receiver<(Bytes, AttemptOutcome)>),
    Line(&'static [u8]),
}

/// What goes out as the next answer.
struct Answer {
    bytes: Bytes,
    /// The attempt that it answers and what became of that; `None` for a command that is no attempt.
    of: Option<(RequestId, AttemptOutcome)>,
}

/// The connection that waits for an attempt's answer.
struct Waiter {
    done: oneshot::Sender<(Bytes, AttemptOutcome)>,
    /// Closed when the connection is.
    closed: Rc<Semaphore>,
}

impl CacheServer {
    /// A box that starts now; a cold one holds nothing.
    pub fn new(fleet: &Rc<Fleet>, number: ServerIndex, life: u64, cold: bool) -> Rc<CacheServer> {
        let boxes = &fleet.scenario.boxes;
        Rc::new(CacheServer {
            number,
            fleet: fleet.clone(),
            speed: boxes.speeds[number % boxes.speeds.len()],
            cold_since: cold.then(Instant::now),
            cores: Semaphore::new(boxes.cores),
            waiting: Cell::new(0),
            connections: Cell::new(0),
            memory: RefCell::default(),
            fetching: RefCell::default(),
            sent: RefCell::default(),
            fallen: Cell::new(false),
            fell: Notify::new(),
            spoil: Spoil::default(),
            draining: Cell::new(false),
            rng: RefCell::new(fleet.rng("box", number as u64 * 1000 + life)),
            second_answers_rng: RefCell::new(fleet.rng("second answers", number as u64 * 1000 + life)),
        })
    }

    /// What it can do when warm: core-milliseconds of speed 1 in a millisecond.
    pub fn capacity(&self) -> f64 {
        self.speed * self.fleet.scenario.boxes.cores as f64
    }

    /// The part of that which it can do now.
    fn warmth(&self) -> f64 {
        let rules = &self.fleet.scenario.rules;
        self.cold_since.map_or(1.0, |since| {
            let age = since.elapsed().as_secs_f64() * 1e3 / rules.warm_ms as f64;
            (rules.cold_share + (1.0 - rules.cold_share) * age).min(1.0)
        })
    }

    /// Keeps a key.
    pub fn store(&self, key: u64) {
        self.memory.borrow_mut().insert(key, self.fleet.scenario.boxes.keys);
        self.fetching.borrow_mut().remove(&key);
    }

    /// Drops a key.
    pub fn drop_key(&self, key: u64) {
        self.memory.borrow_mut().remove(key);
    }

    /// From now on it turns away what is new.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Serves connections until its tasks are dropped. `node` tells who asks, by the address of the other side.
    pub async fn serve<H: Host>(
        self: Rc<Self>,
        listener: H::Listener,
        node: impl Fn(SocketAddr) -> NodeIndex,
    ) {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            let (cache, node) = (self.clone(), node(from));
            spawn_local(async move {
                cache.connections.set(cache.connections.get() + 1);
                cache.clone().connection(stream, node).await;
                cache.connections.set(cache.connections.get() - 1);
            });
        }
    }

    async fn connection<S: Stream>(self: Rc<Self>, stream: S, node: NodeIndex) {
        let (reading, mut writing) = stream.into_halves();
        let crowded = self.connections.get() > self.fleet.scenario.boxes.connections;
        let handshake = self.fleet.scenario.boxes.handshake_ms;
        // Closed with the connection: work that waits is dropped with it.
        let closed = Rc::new(Semaphore::new(0));
        let mut pending: VecDeque<Due> = VecDeque::new();
        let mut second_answers = second_answers::Queue::default();
        let mut buffer = BytesMut::new();
        let mut first = true;
        // When what was read last reached this machine.
        let mut came = Instant::now();
        let lost = |pending: &mut VecDeque<Due>| {
            closed.close();
            for due in pending.drain(..) {
                if let Due::Attempt(request, _) = due {
                    self.fleet.observer.record(ObservedEvent::AttemptAbandoned {
                        server: self.number,
                        node,
                        request,
                    });
                }
            }
        };
        loop {
            while pending.len() < PIPELINE {
                match resp::take_frame(&mut buffer, resp::MAX_VALUE_BYTES) {
                    Ok(None) => break,
                    Ok(Some(frame)) => match self.command(frame) {
                        Ok(Command::Attempt(asked)) => {
                            let (done, answer) = oneshot::channel();
                            let waiter = Waiter { done, closed: closed.clone() };
                            pending.push_back(Due::Attempt(asked.request, answer));
                            let extra = if std::mem::take(&mut first) { handshake } else { 0.0 };
                            let came = self.fleet.observer.since_start(came);
                            self.clone().begin(asked, node, came, extra, crowded, waiter);
                        }
                        Ok(Command::Other(line)) => pending.push_back(Due::Line(line)),
                        Err(text) => {
                            let _ = writing.write_all(&resp::encode_error(text)).await;
                            return lost(&mut pending);
                        }
                    },
                    Err(_) => {
                        let _ = writing.write_all(&resp::encode_error("SYNTAX")).await;
                        return lost(&mut pending);
                    }
                }
            }
            let (waiting, room) = (pending.len(), pending.len() < PIPELINE);
            tokio::select! {
                biased;
                repeat = second_answers.next() => {
                    let second_answers::Repeat { request, bytes } = repeat;
                    self.fleet.observer.record(ObservedEvent::DuplicateResponse { server: self.number, node, request, pending: waiting });
                    if !write_in_pieces(&mut writing, &bytes).await {
                        return lost(&mut pending);
                    }
                }
                answer = next_answer(&mut pending) => {
                    pending.pop_front();
                    let Some(Answer { bytes, of }) = answer else { return lost(&mut pending) };
                    if let Some((request, how)) = of {
                        let draw: f64 = self.rng.borrow_mut().random();
                        let (resets, stalls) = (self.spoil.resets.get(), self.spoil.stalls.get());
                        let spoilt = draw < resets + stalls;
                        self.fleet.observer.record(ObservedEvent::AttemptEnded {
                            server: self.number, node, request,
                            outcome: if spoilt { AttemptOutcome::Dropped { started: true } } else { how },
                        });
                        if spoilt {
                            let _ = writing.write_all(&bytes[..bytes.len() / 2]).await;
                            if draw >= resets {
                                sleep(Duration::from_secs(5)).await;
                            }
                            return lost(&mut pending);
                        }
                    }
                    if !write_in_pieces(&mut writing, &bytes).await {
                        return lost(&mut pending);
                    }
                    let rng = &mut self.second_answers_rng.borrow_mut();
                    let request = of.map(|(request, _)| request);
                    second_answers.plan(&self.spoil.second_answers, rng, request, &bytes);
                }
                more = read(&reading, &mut buffer), if room => {
                    // What ends its sending has given up what it asked for.
                    if !more {
                        return lost(&mut pending);
                    }
                    came = Instant::now() - reading.since_last_arrival().unwrap_or_default();
                }
                () = sleep(IDLE), if waiting == 0 => return,
            }
        }
    }

    /// Reads a command.
    fn command(&self, frame: BytesFrame) -> Result<Command, &'static str> {
        let BytesFrame::Array(parts) = frame else { return Err("SYNTAX") };
        let word = |p: &BytesFrame| match p {
            BytesFrame::BulkString(b) => std::str::from_utf8(b).ok().map(str::to_owned),
            _ => None,
        };
        let words: Option<Vec<String>> = parts.iter().map(word).collect();
        let words = words.ok_or("SYNTAX")?;
        let write = match words.first().map(String::as_str) {
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
        let wait = extra("d").and_then(|(_, d)| d.parse().ok());
        Ok(Command::Attempt(Asked {
            request: number(&words[2])?,
            key: number(&words[1])?,
            class: class.ok_or("SYNTAX")?,
            write,
            wait: Duration::from_millis(wait.ok_or("SYNTAX")?),
        }))
    }

    /// Starts on an attempt whose last byte has come.
    fn begin(
        self: Rc<Self>,
        asked: Asked,
        node: NodeIndex,
        came: Duration,
        extra: f64,
        crowded: bool,
        waiter: Waiter,
    ) {
        let Waiter { done, closed } = waiter;
        let boxes = &self.fleet.scenario.boxes;
        let [least, most] = self.fleet.scenario.class[asked.class].work_ms;
        let whole = least + (most - least) * self.rng.borrow_mut().random::<f64>();
        let held = self.memory.borrow_mut().touch(asked.key);
        let work = extra + if held { whole } else { whole * boxes.miss_work };
        let Asked { request, write, .. } = asked;
        let until = came + asked.wait;
        let arrived = ObservedEvent::AttemptArrived {
            server: self.number,
            node,
            request,
            is_write: write,
            work,
            running: 0,
            received_at: came,
            deadline: until,
        };
        self.fleet.observer.record(arrived);
        self.press(work);
        let busy = || (resp::encode_error("BUSY"), AttemptOutcome::Busy);
        let full = self.waiting.get() >= boxes.room && self.cores.available_permits() == 0;
        if crowded || full || self.draining.get() || self.fallen.get() {
            let _ = done.send(busy());
            return;
        }
        spawn_local(async move {
            self.waiting.set(self.waiting.get() + 1);
            let core = tokio::select! {
                biased;
                _ = closed.acquire() => None,
                core = timeout(asked.wait, self.cores.acquire()) => core.ok().and_then(Result::ok),
            };
            self.waiting.set(self.waiting.get() - 1);
            let Some(_core) = core else {
                let _ = done.send(busy());
                return;
            };
            sleep(Duration::from_secs_f64(work / 1e3 / (self.speed * self.warmth()))).await;
            let _ = done.send(self.look(&asked));
        });
    }

    fn look(&self, asked: &Asked) -> (Bytes, AttemptOutcome) {
        let word = |w: &str| BytesFrame::BulkString(Bytes::copy_from_slice(w.as_bytes()));
        let answer =
            |value, how: &str| resp::encode(&BytesFrame::Array(vec![value, word(how), BytesFrame::Null]));
        if !asked.write && self.memory.borrow_mut().touch(asked.key) {
            let value = self.fleet.value(asked.key, asked.request, self.number);
            let bytes = value.bytes(self.fleet.filling(asked.key));
            return (answer(BytesFrame::BulkString(bytes), "hit"), AttemptOutcome::Value(value));
        }
        self.fleet.missed(asked.request, self.number);
        let now = Instant::now();
        let mut fetching = self.fetching.borrow_mut();
        let pending = fetching.get(&asked.key).is_some_and(|until| *until > now);
        if !pending {
            fetching.retain(|_, until| *until > now);
            fetching.insert(asked.key, now + Duration::from_millis(300));
        }
        (answer(BytesFrame::Null, if pending { "pending" } else { "miss" }), AttemptOutcome::Miss)
    }

    /// All work that reaches a cold box presses on it, also what it turns away. Sent more than the stated multiple of
    /// what it can do over the stated time, with a slack of a few requests, it falls over and stays down.
    fn press(&self, work: f64) {
        let warmth = self.warmth();
        if warmth >= 1.0 || self.fallen.get() {
            return;
        }
        let rules = &self.fleet.scenario.rules;
        let span = Duration::from_millis(rules.fall_ms);
        let now = Instant::now();
        let mut sent = self.sent.borrow_mut();
        sent.push_back((now, work));
        while sent.front().is_some_and(|(at, _)| now - *at > span) {
            sent.pop_front();
        }
        let all: f64 = sent.iter().map(|(_, w)| w).sum();
        if all > rules.fall_multiple * warmth * self.capacity() * rules.fall_ms as f64 + 4.0 * work {
            self.fallen.set(true);
            self.fleet.observer.record(ObservedEvent::CacheServerCollapsed { server: self.number });
            self.fell.notify_one();
        }
    }
}

/// Waits for the answer that comes next and leaves its place in front; `None` where its attempt was dropped.
/// Safe to drop and call again.
async fn next_answer(pending: &mut VecDeque<Due>) -> Option<Answer> {
    match pending.front_mut() {
        Some(Due::Attempt(request, answer)) => {
            let (request, answer) = (*request, answer.await);
            answer.ok().map(|(bytes, how)| Answer { bytes, of: Some((request, how)) })
        }
        Some(Due::Line(line)) => Some(Answer { bytes: Bytes::from_static(line), of: None }),
        None => std::future::pending().await,
    }
}

/// Writes an answer, a large one in pieces; whether the other side took it.
async fn write_in_pieces(writing: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> bool {
    for (number, piece) in bytes.chunks(PIECE).enumerate() {
        if number > 0 {
            sleep(BETWEEN_PIECES).await;
        }
        if writing.write_all(piece).await.is_err() {
            return false;
        }
    }
    true
}

/// Reads what has come; whether the other side is still there. Safe to drop and call again.
pub(crate) async fn read(reading: &impl Reading, buffer: &mut BytesMut) -> bool {
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
