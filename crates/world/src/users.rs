//! Clients that go on using one connection each until the node ends it, in the ways that the platform leaves them: they ask
//! again at once, overlap requests, write many at once, begin late, or hold on.

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

use crate::clients::{CROSSING, Clients, LATE, key_of, read, reply};
use crate::observe::{NodeIndex, ObservedEvent, RequestId};

/// Requests of these clients have numbers from here on.
const FIRST_REQUEST: RequestId = 1 << 40;
/// A connection that is not up by then is given up.
const CONNECT: Duration = Duration::from_secs(1);
/// Before the next connection.
const RECONNECT: Duration = Duration::from_millis(20);
/// A client that does not wait for answers has so many requests open at most.
const MOST_OPEN: usize = 100;
/// A command that is written slowly comes in so many pieces.
const PIECES: usize = 6;

/// What a client does on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Use {
    /// Asks again as soon as it has its answer.
    ClosedLoop,
    /// Keeps two to eight requests open at all times.
    Overlaps,
    /// Asks every few milliseconds, whether or not it was answered: before one answer comes the next request is under way.
    Paced,
    /// Writes up to 128 requests at once, and again once all are answered.
    Pipelines,
    /// Asks now and then.
    HoldsOn,
    /// Begins each command late, and writes it slowly.
    WritesSlowly,
}

/// Which connections of such clients a node holds beyond their time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetainedConnections {
    /// Those on which nothing is open.
    pub idle: usize,
    /// Those with a request that came of late.
    pub recent: usize,
}

/// A request that is to be written.
struct Request {
    number: RequestId,
    key: u64,
}

/// A connection that is open.
struct Open {
    node: NodeIndex,
    made: Instant,
    /// Requests without an answer, and when each was written whole.
    requests: VecDeque<(RequestId, Instant)>,
}

/// All such clients.
pub struct PersistentClients<H: Host> {
    clients: Rc<Clients<H>>,
    /// What was sent so short a time before the end of its connection was seen crossed that end.
    crossing: Box<dyn Fn() -> Duration>,
    open: RefCell<BTreeMap<usize, Open>>,
    next: Cell<RequestId>,
}

impl<H: Host> PersistentClients<H> {
    /// Beside the clients of the open loop, whose front they ask.
    pub fn new(clients: Rc<Clients<H>>) -> Rc<Self> {
        PersistentClients::with_close_race_window(clients, || CROSSING)
    }

    /// The same where the machine may hold words up: `crossing` tells for how long they may be under way now.
    pub fn with_close_race_window(
        clients: Rc<Clients<H>>,
        crossing: impl Fn() -> Duration + 'static,
    ) -> Rc<Self> {
        let crossing = Box::new(crossing);
        Rc::new(PersistentClients {
            clients,
            crossing,
            open: RefCell::default(),
            next: Cell::new(FIRST_REQUEST),
        })
    }

    /// Lets them ask until then.
    pub fn start(self: &Rc<Self>, until: Instant) {
        let scenario = &self.clients.fleet().scenario;
        let uses = scenario.load.uses.clone();
        for number in 0..if uses.is_empty() { 0 } else { scenario.load.users } {
            let users = self.clone();
            let how = uses[number % uses.len()];
            spawn_local(async move { users.one(number, how, until).await });
        }
    }

    /// Which connections a node holds that were made before a drain was told, or soon after: idle, or with a request from after
    /// `recent`.
    pub fn retained_connections(
        &self,
        node: NodeIndex,
        made_before: Instant,
        recent: Instant,
    ) -> RetainedConnections {
        let open = self.open.borrow();
        let of_node = open.values().filter(|c| c.node == node && c.made <= made_before);
        let mut held = RetainedConnections { idle: 0, recent: 0 };
        for connection in of_node {
            held.idle += usize::from(connection.requests.is_empty());
            held.recent += usize::from(connection.requests.iter().any(|(_, sent)| *sent > recent));
        }
        held
    }

    /// Connections on which requests may be open.
    pub fn open_connections(&self) -> usize {
        self.open.borrow().len()
    }

    async fn one(&self, number: usize, how: Use, until: Instant) {
        let mut rng = self.clients.fleet().rng("user", number as u64);
        while Instant::now() < until {
            if let Some(node) = self.clients.choose_any(&mut rng) {
                let connected = timeout(CONNECT, self.clients.open(node)).await;
                if let Ok(Some(stream)) = connected {
                    let made = Instant::now();
                    self.open.borrow_mut().insert(number, Open { node, made, requests: VecDeque::new() });
                    self.use_connection(number, node, stream, how, &mut rng, until).await;
                    self.open.borrow_mut().remove(&number);
                }
            }
            sleep(RECONNECT).await;
        }
    }

    async fn use_connection(
        &self,
        number: usize,
        node: NodeIndex,
        stream: H::Stream,
        how: Use,
        rng: &mut Pcg64Mcg,
        until: Instant,
    ) {
        let begun = Instant::now();
        let (reading, mut writing) = stream.into_halves();
        let mut buffer = BytesMut::new();
        let depth = match how {
            Use::ClosedLoop | Use::HoldsOn | Use::WritesSlowly => 1,
            Use::Overlaps => rng.random_range(2..=8),
            Use::Pipelines => rng.random_range(2..=128),
            Use::Paced => MOST_OPEN,
        };
        let mut next = Instant::now() + self.pause(how, rng);
        loop {
            let open = self.requests_open(number);
            let may_ask = match how {
                Use::Pipelines => open == 0,
                _ => open < depth,
            };
            let ends = Instant::now() >= until;
            if ends && open == 0 {
                return;
            }
            if may_ask && !ends && Instant::now() >= next {
                let written = match how {
                    Use::WritesSlowly => self.ask_slowly(number, node, &mut writing, rng).await,
                    Use::Paced => self.ask(number, node, 1, &mut writing, rng).await,
                    _ => self.ask(number, node, depth - open, &mut writing, rng).await,
                };
                if !written {
                    return self.ended(number, node, begun);
                }
                next = Instant::now() + self.pause(how, rng);
            }
            let patience = self.patience_ends(number);
            let wakes = if may_ask && !ends { next.min(patience) } else { patience };
            let come = tokio::select! {
                biased;
                come = read(&reading, &mut buffer) => Some(come),
                () = sleep_until(wakes) => None,
            };
            match come {
                Some(true) if !self.take_answers(number, node, &mut buffer) => return,
                Some(true) => {}
                Some(false) => return self.ended(number, node, begun),
                None if Instant::now() >= patience => return self.leave(number),
                None => {}
            }
        }
    }

    /// Between two commands.
    fn pause(&self, how: Use, rng: &mut Pcg64Mcg) -> Duration {
        match how {
            Use::ClosedLoop | Use::Overlaps | Use::Pipelines => Duration::ZERO,
            Use::Paced => Duration::from_millis(rng.random_range(2..=4)),
            Use::HoldsOn => Duration::from_millis(rng.random_range(300..6_000)),
            Use::WritesSlowly => Duration::from_millis(rng.random_range(0..2_000)),
        }
    }

    fn requests_open(&self, number: usize) -> usize {
        self.open.borrow().get(&number).map_or(0, |c| c.requests.len())
    }

    /// The deadline of these requests.
    fn patience(&self) -> Duration {
        let class = self.clients.fleet().scenario.class.first();
        Duration::from_millis(class.map_or(1000, |class| class.deadline_ms))
    }

    /// When the client gives up the oldest of its requests.
    fn patience_ends(&self, number: usize) -> Instant {
        let open = self.open.borrow();
        let oldest = open.get(&number).and_then(|c| c.requests.front()).map(|(_, sent)| *sent);
        oldest.unwrap_or_else(Instant::now) + self.patience() + LATE
    }

    /// A request, which has its number from now on, with its key and its bytes.
    fn next_command(&self, rng: &mut Pcg64Mcg) -> (Request, bytes::Bytes) {
        let scenario = &self.clients.fleet().scenario;
        let request = self.next.replace(self.next.get() + 1);
        let key = key_of(rng.random_range(1..=scenario.load.keys.max(1)));
        let mut extras = format!("c={}", scenario.class[0].name);
        if let Some(tenant) = scenario.tenant.first() {
            extras += &format!(",t={}", tenant.name);
        }
        extras += &format!(",d={}", self.patience().as_millis());
        let words = ["CACHE.GET".to_owned(), format!("{key:016x}"), format!("{request:016x}"), extras];
        (Request { number: request, key }, resp::encode_command(words.into_iter().map(Into::into)))
    }

    /// The request was written whole.
    fn asked(&self, number: usize, node: NodeIndex, request: Request) {
        let Request { number: request, key } = request;
        let patience = self.patience();
        let seen = ObservedEvent::RequestSent {
            request,
            first_try: request,
            node,
            class: 0,
            tenant: 0,
            key,
            timeout: patience,
        };
        self.clients.fleet().observer.record(seen);
        if let Some(connection) = self.open.borrow_mut().get_mut(&number) {
            connection.requests.push_back((request, Instant::now()));
        }
    }

    async fn ask(
        &self,
        number: usize,
        node: NodeIndex,
        count: usize,
        writing: &mut (impl AsyncWriteExt + Unpin),
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let (requests, commands): (Vec<_>, Vec<_>) = (0..count).map(|_| self.next_command(rng)).unzip();
        let written = writing.write_all(&commands.concat()).await.is_ok();
        if written {
            requests.into_iter().for_each(|request| self.asked(number, node, request));
        }
        written
    }

    async fn ask_slowly(
        &self,
        number: usize,
        node: NodeIndex,
        writing: &mut (impl AsyncWriteExt + Unpin),
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let (request, command) = self.next_command(rng);
        let pause = Duration::from_millis(rng.random_range(10..380));
        for (piece, bytes) in command.chunks(command.len().div_ceil(PIECES)).enumerate() {
            if piece > 0 {
                sleep(pause).await;
            }
            if writing.write_all(bytes).await.is_err() {
                return false;
            }
        }
        self.asked(number, node, request);
        true
    }

    /// Takes the answers that have come whole; whether the connection goes on.
    fn take_answers(&self, number: usize, node: NodeIndex, buffer: &mut BytesMut) -> bool {
        let witness = &self.clients.fleet().observer;
        loop {
            let frame = match resp::take_frame(buffer, resp::MAX_VALUE_BYTES) {
                Ok(Some(frame)) => frame,
                Ok(None) => return true,
                Err(_) => return false,
            };
            let front = self.open.borrow_mut().get_mut(&number).and_then(|c| c.requests.pop_front());
            let Some((request, _)) = front else {
                // Of a command that has not come whole the node says what is wrong.
                if !matches!(reply(&frame), Some(crate::observe::Reply::Failed)) {
                    witness.record(ObservedEvent::UnsolicitedReply { node });
                }
                continue;
            };
            match reply(&frame) {
                Some(reply) => {
                    witness.record(ObservedEvent::ReplyReceived { request, reply, slow_reader: true })
                }
                None => {
                    witness.record(ObservedEvent::MalformedReply { request });
                    return false;
                }
            }
        }
    }

    /// The connection has ended: what was sent a moment ago crossed the end, the rest is lost.
    fn ended(&self, number: usize, _node: NodeIndex, begun: Instant) {
        let witness = &self.clients.fleet().observer;
        let requests = self.open.borrow_mut().get_mut(&number).map(|c| std::mem::take(&mut c.requests));
        let begun = begun.duration_since(witness.started_at());
        for (request, sent) in requests.unwrap_or_default() {
            witness.record(match sent.elapsed() <= (self.crossing)() {
                true => ObservedEvent::RacedWithClose { request },
                false => ObservedEvent::ConnectionLost { request, connect_started: begun },
            });
        }
    }

    /// No answer has come in time.
    fn leave(&self, number: usize) {
        let witness = &self.clients.fleet().observer;
        let requests = self.open.borrow_mut().get_mut(&number).map(|c| std::mem::take(&mut c.requests));
        let mut early = false;
        for (request, _) in requests.unwrap_or_default() {
            witness.record(ObservedEvent::ClientLeft { request, early });
            // Those behind it have time left.
            early = true;
        }
    }
}
