//! Clients behind a front: open-loop arrivals, classes, tenants, popular keys, patience, retries, kept connections.
//!
//! A request is due at its own time, whatever became of those before it, and its latency counts from then.

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

pub(crate) use crate::cache::read;
use crate::fleet::Fleet;
use crate::observe::{NodeIndex, ObservedEvent, Observer, Reply, RequestId};
use crate::scenario::{Effect, Habit};
use crate::values::Value;

/// How long after its patience a client looks whether the answer came late: the grace of the rule and the way back.
pub(crate) const LATE: Duration = Duration::from_millis(150);
/// A connection is given up when it is not made in this time.
const CONNECT: Duration = Duration::from_millis(1000);
/// A close that comes so soon after a request on a kept connection was on its way before: the way there and back.
pub(crate) const CROSSING: Duration = Duration::from_millis(25);
/// One that finishes no command must meet an error or a close in this time, and the ways there and back.
const HANGING: Duration = Duration::from_millis(3_050);
/// A slow head comes in so many pieces, over this time at most.
const HEAD_PIECES: usize = 9;
const HEAD: Duration = Duration::from_secs(2);
/// Connections kept to one node.
const KEPT: usize = 256;
/// How often each eager caller looks whether its connection is still there.
const WATCH: Duration = Duration::from_millis(50);
/// One that is lost sooner counts as a failed try of those that stay connected: they wait as their habit says.
const BRIEF: Duration = Duration::from_secs(1);
/// Over this time the eager ones connect at the beginning.
const GATHER: Duration = Duration::from_secs(1);

/// How one first try ended, all its tries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// Served.
    Served,
    /// Refused at last.
    Refused,
    /// Failed at last.
    Failed,
    /// Not answered in its time, or no node could be reached.
    Unanswered,
}

/// One first try and what became of it.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest {
    /// When it was due, from the beginning.
    pub due_at: Duration,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Its end.
    pub outcome: FinalOutcome,
    /// From when it was due to that end.
    pub latency: Duration,
    /// How many tries there were.
    pub tries: u32,
}

struct Kept<S: Stream> {
    reading: S::Reading,
    writing: S::Writing,
    buffer: BytesMut,
    /// A request was sent on it.
    used: bool,
    made: Instant,
    /// When it was begun to be made: the machine that it leads to has taken it after that.
    begun: Instant,
}

impl<S: Stream> Kept<S> {
    /// Whether it is still open and nothing has come on it; what has come is told of, for nothing was owed. Only a
    /// connection that was never used may be told why it is closed.
    fn good(&mut self, node: NodeIndex, witness: &Observer) -> bool {
        self.buffer.reserve(64);
        match self.reading.try_read_buf(&mut self.buffer) {
            Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
            Ok(read) => {
                if read > 0 && (self.used || self.buffer.first() != Some(&b'-')) {
                    witness.record(ObservedEvent::UnsolicitedReply { node });
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
    /// Where the nodes are, by their numbers.
    nodes: Vec<SocketAddr>,
    zones: usize,
    /// Whether the front believes that a node is there.
    believed: RefCell<Vec<bool>>,
    kept: RefCell<BTreeMap<NodeIndex, Vec<Kept<H::Stream>>>>,
    /// What may be open to each node: clients use a third of a node's descriptors at most.
    places: Vec<Rc<Semaphore>>,
    callers: RefCell<Vec<Caller<H::Stream>>>,
    next: Cell<RequestId>,
    under_way: Cell<usize>,
    played: Box<dyn Fn(CompletedRequest)>,
}

/// One of many clients that have a connection of their own each.
struct Caller<S: Stream> {
    own: Option<(NodeIndex, Kept<S>)>,
    /// Tries of it that are under way, one of which may have its connection.
    busy: usize,
    zone: usize,
    tenant: usize,
    /// Its place among the habits, where there are any.
    habit: usize,
    eager: bool,
}

/// A first try: when it is due, and what it asks.
struct First {
    due: Instant,
    class: usize,
    tenant: usize,
    key: u64,
    zone: usize,
    seed: u64,
    caller: Option<usize>,
}

enum Outcome {
    Served,
    Refused(u64),
    Failed,
    None,
}

impl<H: Host> Clients<H> {
    /// Clients on a machine, of nodes at these addresses; each first try is given to `played` when it has ended.
    pub fn new(
        host: H,
        fleet: &Rc<Fleet>,
        nodes: Vec<SocketAddr>,
        played: impl Fn(CompletedRequest) + 'static,
    ) -> Rc<Self> {
        let zones = fleet.scenario.zones.len().min(nodes.len());
        let load = &fleet.scenario.load;
        let caller = |number: usize| {
            let mut rng = fleet.rng("caller", number as u64);
            Caller {
                own: None,
                busy: 0,
                zone: number % zones,
                tenant: pick(&mut rng, fleet.scenario.tenant.iter().map(|t| t.share)),
                habit: pick(&mut rng, load.habits.iter().map(|h| h.share)),
                eager: rng.random::<f64>() < load.eager,
            }
        };
        Rc::new(Clients {
            host,
            fleet: fleet.clone(),
            zones,
            callers: RefCell::new((0..load.callers).map(caller).collect()),
            believed: RefCell::new(vec![true; nodes.len()]),
            kept: RefCell::default(),
            places: (0..nodes.len())
                .map(|_| Rc::new(Semaphore::new((fleet.scenario.nodes.sockets / 3).max(1))))
                .collect(),
            nodes,
            next: Cell::new(1),
            under_way: Cell::new(0),
            played: Box::new(played),
        })
    }

    /// The front notices that a node is gone or there again.
    pub fn set_reachable(&self, node: NodeIndex, there: bool) {
        self.believed.borrow_mut()[node] = there;
        if !there {
            self.kept.borrow_mut().remove(&node);
            for caller in self.callers.borrow_mut().iter_mut() {
                caller.own.take_if(|(at, _)| *at == node);
            }
        }
    }

    /// A node is stopping: no new connections to it, those that are kept stay in use for as long as they are open.
    pub fn stop_new_connections(&self, node: NodeIndex) {
        self.believed.borrow_mut()[node] = false;
    }

    /// What they share with all stand-ins.
    pub(crate) fn fleet(&self) -> &Rc<Fleet> {
        &self.fleet
    }

    /// A new connection to a node.
    pub(crate) async fn open(&self, node: NodeIndex) -> Option<H::Stream> {
        self.host.connect(self.nodes[node]).await.ok()
    }

    /// A node that the front believes in, for a client of any zone.
    pub(crate) fn choose_any(&self, rng: &mut Pcg64Mcg) -> Option<NodeIndex> {
        self.choose(rng.random_range(0..self.zones), rng)
    }

    /// Requests without an end yet.
    pub fn in_flight(&self) -> usize {
        self.under_way.get()
    }

    /// Lets requests arrive for a time, open loop.
    pub async fn generate_load(self: Rc<Self>, span: Duration) {
        let scenario = self.fleet.scenario.clone();
        let mut rng = self.fleet.rng("arrivals", 0);
        let begin = Instant::now();
        let mut due = begin;
        let popular = Zipf::new(scenario.load.keys as f64, scenario.load.zipf).ok();
        let callers = scenario.load.callers;
        for number in (0..callers).filter(|n| self.callers.borrow()[*n].eager) {
            let after = GATHER.mul_f64(number as f64 / callers as f64);
            spawn_local(self.clone().stay_connected(number, after, begin + span));
        }
        loop {
            let rate = scenario.load.rate * self.fleet.fault_settings.load_factor.get();
            let pause: f64 = Exp::new(rate).map_or(1.0, |e| e.sample(&mut rng));
            due += Duration::from_secs_f64(pause);
            if let Some(quiet_until) = self.fleet.fault_settings.quiet_until.get() {
                due = due.max(quiet_until);
            }
            if due - begin >= span {
                return;
            }
            sleep_until(due).await;
            let class = pick(&mut rng, scenario.class.iter().map(|c| c.share));
            let tenant = pick(&mut rng, scenario.tenant.iter().map(|t| t.share));
            let rank = popular.as_ref().map_or(1.0, |z| z.sample(&mut rng)) as u64;
            let key = key_of(rank);
            let (clients, zone) = (self.clone(), rng.random_range(0..self.zones));
            let mut first = First { due, class, tenant, key, zone, seed: rng.random(), caller: None };
            if callers > 0 {
                let number = rng.random_range(0..callers);
                let caller = &self.callers.borrow()[number];
                (first.caller, first.tenant, first.zone) = (Some(number), caller.tenant, caller.zone);
            }
            self.under_way.set(self.under_way.get() + 1);
            spawn_local(async move {
                let played = clients.one(first).await;
                clients.under_way.set(clients.under_way.get() - 1);
                (clients.played)(played);
            });
        }
    }

    /// A caller that connects again when its connection is lost, as libraries do that keep one open.
    async fn stay_connected(self: Rc<Self>, number: usize, after: Duration, until: Instant) {
        let mut rng = self.fleet.rng("eager", number as u64);
        sleep(after).await;
        let (mut tries, mut failed) = (0, false);
        while Instant::now() < until {
            let brief;
            let zone = {
                let caller = &mut self.callers.borrow_mut()[number];
                let witness = &self.fleet.observer;
                let lost = caller.own.take_if(|(node, kept)| !kept.good(*node, witness));
                brief = lost.is_some_and(|(_, kept)| kept.made.elapsed() < BRIEF);
                (caller.own.is_none() && caller.busy == 0).then_some(caller.zone)
            };
            if let Some(node) = zone.and_then(|zone| self.choose(zone, &mut rng)) {
                tries = if brief || failed { tries + 1 } else { 0 };
                if tries > 0 {
                    let wait = self.habit(Some(number)).map_or(0, |h| h.wait(tries, rng.random()));
                    sleep(Duration::from_millis(wait)).await;
                }
                let made = self.connect(node, CONNECT).await;
                failed = made.is_none();
                if let Some(kept) = made {
                    self.keep(node, Some(number), kept);
                }
            }
            sleep(WATCH).await;
        }
    }

    /// Connections that never finish a command, so many a second, for a time: half send nothing, half a first piece.
    pub async fn open_stalled_connections(self: Rc<Self>, per_s: f64, span: Duration) {
        let begin = Instant::now();
        let mut rng = self
            .fleet
            .rng("crowd", begin.duration_since(self.fleet.observer.started_at()).as_millis() as u64);
        let apart = Duration::from_secs_f64(1.0 / per_s);
        while begin.elapsed() < span {
            let node = rng.random_range(0..self.nodes.len());
            let says = rng.random::<bool>();
            let clients = self.clone();
            spawn_local(async move { clients.hang(node, says).await });
            sleep(apart).await;
        }
    }

    /// A connection that finishes no command, until it is closed or its time is up.
    async fn hang(&self, node: NodeIndex, says: bool) {
        let Some(mut kept) = self.connect(node, CONNECT).await else { return };
        if says && kept.writing.write_all(b"*4\r\n$9\r\nCAC").await.is_err() {
            return;
        }
        let told = timeout(HANGING, read(&kept.reading, &mut kept.buffer)).await;
        if told.is_err() && self.believed.borrow()[node] {
            let made = kept.made.duration_since(self.fleet.observer.started_at());
            self.fleet.observer.record(ObservedEvent::StalledConnectionKept { node, connected_at: made });
        }
    }

    /// How a caller repeats what failed.
    fn habit(&self, caller: Option<usize>) -> Option<&Habit> {
        let place = caller.map_or(0, |number| self.callers.borrow()[number].habit);
        self.fleet.scenario.load.habits.get(place)
    }

    async fn connect(&self, node: NodeIndex, within: Duration) -> Option<Kept<H::Stream>> {
        let begun = Instant::now();
        let stream = timeout(within, self.host.connect(self.nodes[node])).await.ok()?.ok()?;
        if self.fleet.scenario.load.callers > 0 {
            self.fleet.observer.record(ObservedEvent::ClientConnected { node });
        }
        let (reading, writing) = stream.into_halves();
        Some(Kept { reading, writing, buffer: BytesMut::new(), used: false, made: Instant::now(), begun })
    }

    /// One first try with its retries.
    async fn one(&self, first: First) -> CompletedRequest {
        let First { due, class, tenant, key, zone, seed, caller } = first;
        let scenario = &self.fleet.scenario;
        let mut rng = <Pcg64Mcg as rand::SeedableRng>::seed_from_u64(seed);
        let c = &scenario.class[class];
        let ends = due + Duration::from_millis(c.deadline_ms);
        let [least, most] = scenario.load.patience;
        let heeds = rng.random::<f64>() < scenario.load.heeds_advice;
        let token: u64 = rng.random();
        let first = self.next.get();
        let (mut tries, mut end) = (0, FinalOutcome::Unanswered);
        while tries <= scenario.load.retries {
            let left = ends.saturating_duration_since(Instant::now());
            let part = least + (most - least) * rng.random::<f64>();
            let patience = Duration::from_millis(c.deadline_ms).mul_f64(part).min(left);
            if patience < Duration::from_millis(5) {
                break;
            }
            let own = caller.and_then(|n| self.callers.borrow()[n].own.as_ref().map(|(node, _)| *node));
            let own = own.filter(|node| self.believed.borrow()[*node]);
            let Some(node) = own.or_else(|| self.choose(zone, &mut rng)) else {
                end = FinalOutcome::Unanswered;
                break;
            };
            tries += 1;
            let ask = Ask { first, class, tenant, key, node, patience, token, repeat: tries > 1, caller };
            let mut wait = match self.habit(caller) {
                Some(habit) => habit.wait(tries, rng.random()),
                None => scenario.load.retry_ms,
            };
            match self.ask(&ask, &mut rng).await {
                Outcome::Served => {
                    end = FinalOutcome::Served;
                    break;
                }
                Outcome::Refused(ms) => {
                    end = FinalOutcome::Refused;
                    if heeds && ms > 0 {
                        wait = ms.min(scenario.rules.max_retry_after_ms);
                    }
                }
                Outcome::Failed if c.effect == Effect::SideEffect => {
                    end = FinalOutcome::Failed;
                    break;
                }
                Outcome::Failed => end = FinalOutcome::Failed,
                Outcome::None if c.effect == Effect::SideEffect => {
                    end = FinalOutcome::Unanswered;
                    break;
                }
                Outcome::None => end = FinalOutcome::Unanswered,
            }
            // A keyed write is repeated within its window only.
            if c.effect == Effect::Token
                && due.elapsed() + Duration::from_millis(wait) >= Duration::from_millis(c.window_ms)
            {
                break;
            }
            if wait > 0 {
                sleep(Duration::from_millis(wait)).await;
            }
        }
        let due_at = due.saturating_duration_since(self.fleet.observer.started_at());
        CompletedRequest { due_at, class, tenant, outcome: end, latency: due.elapsed(), tries }
    }

    /// The front deals connections out over the nodes of the zone, or of all when none there is believed alive.
    fn choose(&self, zone: usize, rng: &mut Pcg64Mcg) -> Option<NodeIndex> {
        let believed = self.believed.borrow();
        let there = |n: &NodeIndex| believed[*n];
        let near: Vec<NodeIndex> =
            (0..self.nodes.len()).filter(|n| n % self.zones == zone).filter(there).collect();
        let all: Vec<NodeIndex> = (0..self.nodes.len()).filter(there).collect();
        let from = if near.is_empty() { all } else { near };
        (!from.is_empty()).then(|| from[rng.random_range(0..from.len())])
    }

    /// One try, sent once more where the close of a kept connection crossed it.
    async fn ask(&self, ask: &Ask, rng: &mut Pcg64Mcg) -> Outcome {
        let request = self.next.replace(self.next.get() + 1);
        let begin = Instant::now();
        // Its place is free again at its end, whether or not the connection is kept: those kept are used first.
        // Callers have each their own, and may be more than the node has places for.
        let place = async {
            match ask.caller {
                None => self.places[ask.node].acquire().await.map(Some),
                Some(_) => Ok(None),
            }
        };
        let Ok(Ok(_place)) = timeout(ask.patience, place).await else {
            return Outcome::None;
        };
        let _busy = ask.caller.map(|number| Busy::begin(&self.callers, number));
        for again in [false, true] {
            // The front deals nothing new to a node that stops.
            if again && !self.believed.borrow()[ask.node] {
                return Outcome::None;
            }
            let kept = if again { None } else { self.take(ask.node, ask.caller) };
            let fresh = kept.is_none();
            let mut kept = match kept {
                Some(kept) => kept,
                None => match self.connect(ask.node, CONNECT.min(ask.patience)).await {
                    Some(kept) => kept,
                    None => return Outcome::None,
                },
            };
            kept.used = true;
            let patience = ask.patience.saturating_sub(begin.elapsed());
            let command = self.command(ask, request, patience);
            let part = self.fleet.fault_settings.slow_heads.get();
            let in_pieces = part > 0.0 && rng.random::<f64>() < part;
            let written = match in_pieces {
                true => write_slowly(&mut kept.writing, &command, rng).await,
                false => kept.writing.write_all(&command).await.is_ok(),
            };
            if !written {
                if fresh {
                    return Outcome::None;
                }
                continue;
            }
            let saw = |seen| self.fleet.observer.record(seen);
            let &Ask { first, node, class, tenant, key, .. } = ask;
            saw(ObservedEvent::RequestSent {
                request,
                first_try: first,
                node,
                class,
                tenant,
                key,
                timeout: patience,
            });
            let sent = Instant::now();
            let knobs = &self.fleet.fault_settings;
            let early = rng.random::<f64>() < knobs.leavers.get();
            let wait = if early { patience.mul_f64(rng.random::<f64>()) } else { patience + LATE };
            let slow = rng.random::<f64>() < knobs.slow_readers.get();
            if slow {
                sleep(patience.mul_f64(rng.random::<f64>() * 0.8)).await;
            }
            let frame = loop {
                match resp::take_frame(&mut kept.buffer, resp::MAX_VALUE_BYTES) {
                    Ok(Some(frame)) => break Some(frame),
                    Ok(None) => {}
                    Err(_) => {
                        saw(ObservedEvent::MalformedReply { request });
                        return Outcome::Failed;
                    }
                }
                match timeout_at(sent + wait, read(&kept.reading, &mut kept.buffer)).await {
                    Ok(true) => {}
                    Ok(false) => break None,
                    Err(_) => {
                        // A value that has begun was in time; how long the rest takes is its server's affair.
                        let early = early || passed_on(&kept.buffer);
                        saw(ObservedEvent::ClientLeft { request, early });
                        return Outcome::None;
                    }
                }
            };
            let Some(frame) = frame else {
                if passed_on(&kept.buffer) {
                    saw(ObservedEvent::TruncatedReply { request });
                    return Outcome::Failed;
                }
                // One that was not looking can't know when the close came.
                let crossed = slow || in_pieces || sent.elapsed() <= CROSSING;
                if !fresh && kept.buffer.is_empty() && crossed {
                    saw(ObservedEvent::RacedWithClose { request });
                    continue;
                }
                // The first request of a connection that is closed without a word has failed.
                if in_pieces && kept.buffer.is_empty() {
                    saw(ObservedEvent::RacedWithClose { request });
                    return Outcome::None;
                }
                let begun = kept.begun.duration_since(self.fleet.observer.started_at());
                saw(ObservedEvent::ConnectionLost { request, connect_started: begun });
                return Outcome::None;
            };
            let reply = reply(&frame);
            let Some(reply) = reply else {
                saw(ObservedEvent::MalformedReply { request });
                return Outcome::Failed;
            };
            saw(ObservedEvent::ReplyReceived { request, reply, slow_reader: slow });
            if !kept.buffer.is_empty() {
                saw(ObservedEvent::UnsolicitedReply { node });
            } else {
                self.keep(node, ask.caller, kept);
            }
            return match reply {
                Reply::Value(_) => Outcome::Served,
                Reply::Busy(ms) => Outcome::Refused(ms),
                Reply::Failed => Outcome::Failed,
            };
        }
        Outcome::None
    }

    fn command(&self, ask: &Ask, request: RequestId, patience: Duration) -> bytes::Bytes {
        let scenario = &self.fleet.scenario;
        let class = &scenario.class[ask.class];
        let mut extras = format!("c={}", class.name);
        if let Some(tenant) = scenario.tenant.get(ask.tenant) {
            extras += &format!(",t={}", tenant.name);
        }
        extras += &format!(",d={}", patience.as_millis());
        if class.effect == Effect::Token {
            extras += &format!(",k={:016x}", ask.token);
        }
        if ask.repeat {
            extras += ",r=1";
        }
        let write = class.effect != Effect::Pure;
        let name = if write { "CACHE.SET" } else { "CACHE.GET" };
        let words = [name.to_owned(), format!("{:016x}", ask.key), format!("{request:016x}"), extras];
        let value = write.then(|| "new".to_owned());
        resp::encode_command(words.into_iter().chain(value).map(Into::into))
    }

    /// A kept connection that is still good; the one used last first.
    fn take(&self, node: NodeIndex, caller: Option<usize>) -> Option<Kept<H::Stream>> {
        if let Some(number) = caller {
            let (at, mut kept) = self.callers.borrow_mut()[number].own.take()?;
            return (at == node && kept.good(node, &self.fleet.observer)).then_some(kept);
        }
        let mut all = self.kept.borrow_mut();
        let kept = all.get_mut(&node)?;
        while let Some(mut connection) = kept.pop() {
            if connection.good(node, &self.fleet.observer) {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, node: NodeIndex, caller: Option<usize>, connection: Kept<H::Stream>) {
        if let Some(number) = caller {
            self.callers.borrow_mut()[number].own.get_or_insert((node, connection));
            return;
        }
        let mut all = self.kept.borrow_mut();
        let kept = all.entry(node).or_default();
        if kept.len() < KEPT && self.believed.borrow()[node] {
            kept.push(connection);
        }
    }
}

/// Whether what has come begins a value that nodes pass on as it comes; a smaller one is sent whole or not at all.
fn passed_on(come: &[u8]) -> bool {
    let head = come.strip_prefix(b"$").and_then(|rest| rest.split(|b| *b == b'\r').next());
    let length = head.and_then(|digits| std::str::from_utf8(digits).ok()?.parse::<usize>().ok());
    length.is_some_and(|length| length > resp::MAX_BUFFERED_VALUE_BYTES)
}

/// Writes a command in pieces, with pauses; whether the other side took all of it.
async fn write_slowly(
    writing: &mut (impl tokio::io::AsyncWrite + Unpin),
    command: &[u8],
    rng: &mut Pcg64Mcg,
) -> bool {
    let pause = HEAD.mul_f64(rng.random::<f64>()) / HEAD_PIECES as u32;
    for (number, piece) in command.chunks(command.len().div_ceil(HEAD_PIECES)).enumerate() {
        if number > 0 {
            sleep(pause).await;
        }
        if writing.write_all(piece).await.is_err() {
            return false;
        }
    }
    true
}

type Callers<S> = RefCell<Vec<Caller<S>>>;

/// A try of a caller, for as long as it is under way.
struct Busy<'a, S: Stream>(&'a Callers<S>, usize);

impl<'a, S: Stream> Busy<'a, S> {
    fn begin(callers: &'a Callers<S>, number: usize) -> Self {
        callers.borrow_mut()[number].busy += 1;
        Busy(callers, number)
    }
}

impl<S: Stream> Drop for Busy<'_, S> {
    fn drop(&mut self) {
        self.0.borrow_mut()[self.1].busy -= 1;
    }
}

struct Ask {
    first: RequestId,
    class: usize,
    tenant: usize,
    key: u64,
    node: NodeIndex,
    patience: Duration,
    token: u64,
    repeat: bool,
    caller: Option<usize>,
}

/// The key that is the so manyth in popularity, from 1: popular ones lie anywhere.
pub fn key_of(rank: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&rank.to_le_bytes()) | 1
}

/// Draws a place by its share; 0 where there are none.
fn pick(rng: &mut Pcg64Mcg, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let mut at = rng.random::<f64>() * shares.clone().sum::<f64>();
    for (i, share) in shares.enumerate() {
        at -= share;
        if at < 0.0 {
            return i;
        }
    }
    0
}

/// Reads a node's answer; `None` for what can be none.
pub(crate) fn reply(frame: &BytesFrame) -> Option<Reply> {
    match frame {
        BytesFrame::BulkString(value) => Value::read(value).map(Reply::Value),
        BytesFrame::Error(text) => {
            let mut words = text.split(' ');
            let busy = words.next() == Some("BUSY");
            let ms = words.next().and_then(|ms| ms.parse().ok()).unwrap_or(0);
            Some(if busy { Reply::Busy(ms) } else { Reply::Failed })
        }
        _ => None,
    }
}
