//! What a balancer keeps in memory: plain types, the queue of wake-ups and the hash. No decisions.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::attempts::Attempts;
use crate::estimate::{Pace, Rate, Ratio};
use crate::interface::{Action, Key, Micros, RequestId, ServerEntry, ServerId, Settings};
use crate::random::Random;

/// Why an attempt is out.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Call {
    Cache,
    Fetch,
    Write,
}

/// An attempt without outcome yet; it may outlive its request.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct Flight {
    pub server: ServerId,
    pub call: Call,
    pub sent: Micros,
    pub aim: Micros,
    /// It is slow when it has been out for this long.
    pub slow_after: Micros,
    /// Its server has answered what was sent there later.
    pub overtaken: bool,
}

/// A server of the list, and what this balancer has seen of it.
#[derive(Default, Serialize, Deserialize)]
pub struct Server {
    pub line: ServerEntry,
    pub origin: bool,
    pub in_flight: u32,
    /// How many of them were found overtaken: lost or long, and not in a queue.
    pub overtaken: u32,
    pub heard: Micros,
    /// When the newest attempt that it has answered was sent.
    pub newest: Micros,
    /// Its answers within about one aim, as a fading count.
    pub answered: f64,
    /// Signs of trouble in its attempts of late.
    pub signs: Ratio,
    /// The part of its keys that it keeps while in trouble, 1 when well.
    pub part: f64,
    /// When it last had an outcome.
    pub active: Micros,
    /// When it was last sent to, or heard to have started.
    pub used: Micros,
    /// Level at that time of the bucket that holds bursts at it while it is cold.
    pub cold_level: f64,
    /// A connection to it was made and has not been lost or closed since.
    pub connected: bool,
}

impl Server {
    /// Its answers as they count at a time, fading over a span.
    pub fn answered_lately(&self, now: Micros, span: Micros) -> f64 {
        self.answered * (-((now - self.heard) as f64) / span as f64).exp()
    }

    /// Counts an attempt as overtaken once what was sent here later has been answered.
    pub fn overtakes(&mut self, flight: &mut Flight) {
        if self.newest > flight.sent && !flight.overtaken {
            flight.overtaken = true;
            self.overtaken += 1;
        }
    }

    /// Part of its capacity that it has at the least, some time after its start.
    pub fn warmth(&self, now: Micros, settings: &Settings) -> f64 {
        let age = now.saturating_sub(self.line.started_at) as f64 / settings.warm_up_time.max(1) as f64;
        let share = settings.cold_capacity_share;
        if self.line.started_at == 0 { 1.0 } else { (share + (1.0 - share) * age).min(1.0) }
    }

    /// Time until it has answered what this balancer has in flight there, at the pace of its latest answers
    /// (Little's law), with a credit for a server that has had little to answer.
    pub fn backlog(&self, now: Micros, span: Micros, credit: f64) -> f64 {
        f64::from(self.in_flight.saturating_sub(self.overtaken)) * span as f64
            / (self.answered_lately(now, span) + credit)
    }
}

/// A request that is owed a final answer.
#[derive(Default, Serialize, Deserialize)]
pub struct Held {
    pub class: usize,
    pub key: Key,
    /// The key, or the part of a hot one, whose order of servers it follows.
    pub order: Key,
    pub write: bool,
    /// The client said that it had tried before.
    pub repeat: bool,
    pub missed: bool,
    pub aim_at: Micros,
    pub ends: Micros,
    pub sent: Attempts,
    pub out: u16,
    /// How many attempts run or may have run.
    pub may_have_run: u16,
    pub tried: Vec<ServerId>,
    /// Where the last of its connections was lost.
    pub lost_at: Option<ServerId>,
    /// Number of the wait that it is in; a wake-up for an older one finds it changed.
    pub wait: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Wake {
    End(RequestId),
    Go(RequestId, u32),
    Patience(RequestId, u16),
    Subscribe,
    Close(ServerId),
    Review,
    Inherited(Call),
}

/// Keyed writes that may have run, by key: when the earliest attempt was sent. A repeat later than its
/// window would run again.
#[derive(Default, Serialize, Deserialize)]
pub struct Writes(BTreeMap<Key, Micros>);

impl Writes {
    /// So many are remembered at most; of more, the repeats are as unknown as those of another balancer.
    const MOST: usize = 4096;

    /// One is sent, of a class with a window: a first try stands for a new write, a repeat for the one that
    /// is known.
    pub fn sent(&mut self, key: Key, window: Option<Micros>, now: Micros, repeat: bool) {
        if window.is_some() && !(repeat && self.0.contains_key(&key)) && self.0.len() < Self::MOST {
            self.0.insert(key, now);
        }
    }

    /// Whether the window of a key's write is over by a time.
    pub fn over(&self, key: Key, window: Option<Micros>, time: Micros) -> bool {
        self.0.get(&key).zip(window).is_some_and(|(first, window)| time >= first + window)
    }

    /// Takes over those of an earlier life.
    pub fn inherit(&mut self, writes: Vec<(Key, Micros)>) {
        self.0.extend(writes.into_iter().take(Self::MOST));
    }

    /// None of its attempts has run.
    pub fn not_run(&mut self, key: Key) {
        self.0.remove(&key);
    }

    /// Forgets those that were first sent before a time.
    pub fn forget_before(&mut self, time: Micros) {
        self.0.retain(|_, first| *first >= time);
    }

    /// All of them.
    pub fn all(&self) -> Vec<(Key, Micros)> {
        self.0.iter().map(|(key, first)| (*key, *first)).collect()
    }
}

/// What is known of a machine kind: the factor on its weight, how busy its load reports say it is, and how
/// fast it answers.
#[derive(Serialize, Deserialize)]
pub struct Kind {
    pub weight: f64,
    pub busy: Ratio,
    pub pace: Pace,
}

impl Kind {
    /// Moves the weight by a step for how much less busy than the rest its reports say that it is; the step,
    /// the least weight, and what is kept of the reports.
    pub fn weigh(&mut self, rest: f64, (step, least, keep): (f64, f64, f64)) {
        if self.busy.all >= 1.0 {
            self.weight = (self.weight * (1.0 + step * (rest - self.busy.value()))).clamp(least, 1.0 / least);
            self.busy.fade(keep);
        }
    }
}

impl Default for Kind {
    fn default() -> Self {
        Kind { weight: 1.0, busy: Ratio::default(), pace: Pace::default() }
    }
}

/// What a tenant sends to this balancer, and its unspent part of an admission.
#[derive(Default, Clone, Serialize, Deserialize)]
pub struct Sender {
    pub rate: Rate,
    pub credit: f64,
    /// Repeats that its first tries still allow, while repeats are held to a part of these.
    pub repeats: f64,
}

/// Those that were refused in a storm come back one behind the other, at a pace.
#[derive(Default, Serialize, Deserialize)]
pub struct Line(Micros);

impl Line {
    /// Time until the next place, at so many places a second; one takes so many of them.
    fn place(&mut self, now: Micros, per_s: f64, takes: f64) -> Micros {
        self.0 = self.0.max(now) + (takes * 1e6 / per_s.max(1.0)) as Micros;
        self.0 - now
    }

    /// A time to stay away until round the next place. Where the line is longer than clients wait, anywhere
    /// in the later half of that, for all at its end would come in step; what was promised beyond that is
    /// void.
    pub fn advise(
        &mut self,
        now: Micros,
        pace: (f64, f64),
        most: Micros,
        spread: f64,
        rng: &mut Random,
    ) -> Micros {
        let wait = self.place(now, pace.0, pace.1) as f64;
        self.0 = self.0.min(now + most);
        let around =
            if wait < most as f64 { (wait, (1.0 - spread, 1.0 + spread)) } else { (most as f64, (0.5, 1.0)) };
        (around.0 * rng.between(around.1)) as Micros
    }
}

/// What a balancer tells of itself: what each tenant sends there a second, its signs of overload, of trouble
/// at servers, and the usual time of an answer by kind.
#[derive(Default, Serialize, Deserialize)]
pub struct Figures {
    pub rates: Vec<f64>,
    pub strain: Ratio,
    pub signs: Vec<(ServerId, f64)>,
    pub paces: Vec<(u16, f64)>,
}

/// When each peer was last heard, and what it told.
#[derive(Default, Serialize, Deserialize)]
pub struct Peers(BTreeMap<u32, (Micros, Figures)>);

impl Peers {
    /// In a message what stands for a server from here on is a kind: its number, and the usual time of its
    /// answers.
    const KINDS: ServerId = ServerId::MAX - u16::MAX as ServerId;

    /// A message of at most 256 bytes in half-width floats: two figures of strain, a rate for each tenant (up
    /// to 64), then up to 4 kinds and 16 servers with signs of trouble, 6 bytes each, the most troubled
    /// first.
    pub fn message(
        strain: &Ratio,
        senders: &[Sender],
        kinds: &BTreeMap<u16, Kind>,
        servers: &BTreeMap<ServerId, Server>,
    ) -> Vec<u8> {
        let half = |f: f64| (((f as f32).to_bits() >> 16) as u16).to_le_bytes();
        let rates = senders.iter().take(64).map(|s| s.rate.per_s);
        let mut bytes: Vec<u8> = [strain.cases, strain.all].into_iter().chain(rates).flat_map(half).collect();
        let mut troubled: Vec<_> = servers.iter().filter(|(_, s)| s.signs.cases >= 0.25).collect();
        troubled.sort_by(|a, b| b.1.signs.cases.total_cmp(&a.1.signs.cases));
        let paces =
            kinds.iter().filter_map(|(kind, k)| Some((Self::KINDS + u32::from(*kind), k.pace.usual()?)));
        let signs = troubled.into_iter().take(16).map(|(id, s)| (*id, s.signs.cases));
        for (id, figure) in paces.take(4).chain(signs) {
            bytes.extend(id.to_le_bytes());
            bytes.extend(half(figure));
        }
        bytes
    }

    /// The peers whose turn it is to be told, at most so many; `last` is how far beyond `me` the turn has
    /// come.
    pub fn next(last: &mut u32, me: u32, balancers: u32, most: u32) -> Vec<u32> {
        let others = balancers.saturating_sub(1);
        let mut next = || {
            *last = *last % others + 1;
            (me + *last) % balancers
        };
        (0..others.min(most)).map(|_| next()).collect()
    }

    /// Takes a peer's message; figures that no peer would send count as 0.
    pub fn told(&mut self, now: Micros, from: u32, bytes: &[u8], tenants: usize) {
        let wide = |c: &[u8]| f64::from(f32::from_bits(u32::from(u16::from_le_bytes([c[0], c[1]])) << 16));
        let figure = |c: &[u8]| Some(wide(c)).filter(|f| f.is_finite() && *f >= 0.0).unwrap_or(0.0);
        let (figures, servers) = bytes.split_at((4 + 2 * tenants.min(64)).min(bytes.len()));
        let mut figures = figures.chunks_exact(2).map(figure);
        let mut next = || figures.next().unwrap_or(0.0);
        let strain = Ratio { cases: next(), all: next() };
        let server = |c: &[u8]| (ServerId::from_le_bytes([c[0], c[1], c[2], c[3]]), figure(&c[4..]));
        let (kinds, signs): (Vec<_>, Vec<_>) =
            servers.chunks_exact(6).map(server).partition(|(id, _)| *id >= Self::KINDS);
        let paces = kinds.into_iter().map(|(id, usual)| ((id - Self::KINDS) as u16, usual)).collect();
        self.0.insert(from, (now, Figures { rates: figures.collect(), strain, signs, paces }));
    }

    /// The signs of trouble that the peers heard lately saw at each server.
    pub fn signs(&self) -> BTreeMap<ServerId, f64> {
        let mut sums = BTreeMap::new();
        for (server, cases) in self.0.values().flat_map(|(_, f)| &f.signs) {
            *sums.entry(*server).or_default() += cases;
        }
        sums
    }

    /// The pace of a kind's answers here and at the peers heard lately.
    pub fn pace(&self, kind: u16, here: &Pace) -> Pace {
        let mut pace = *here;
        let told = self.0.values().flat_map(|(_, f)| &f.paces).filter(|(of, _)| *of == kind);
        told.for_each(|(_, usual)| pace.hear(*usual));
        pace
    }

    /// What a tenant sends to all balancers: peers that tell of their traffic show the whole of it, those of
    /// them heard standing for the rest; without them all are taken as alike.
    pub fn whole(&self, tenant: usize, here: f64, balancers: u32, heard_at_most: u32) -> f64 {
        let others = balancers.max(2) - 1;
        let unheard = f64::from(others) / f64::from(others.min(heard_at_most));
        self.sum(tenant).map_or(here * f64::from(balancers.max(1)), |told| here + told * unheard)
    }

    /// What a tenant sends to the peers heard lately; `None` where none was.
    fn sum(&self, tenant: usize) -> Option<f64> {
        (!self.0.is_empty()).then(|| self.0.values().filter_map(|(_, f)| f.rates.get(tenant)).sum())
    }

    /// The signs of overload here and at the peers heard lately.
    pub fn strain(&self, own: &Ratio) -> Ratio {
        let mut all = *own;
        self.0.values().for_each(|(_, f)| all.add(f.strain.cases, f.strain.all));
        all
    }

    /// Forgets the peers that were last heard before a time.
    pub fn forget_silent_since(&mut self, time: Micros) {
        self.0.retain(|_, (heard, _)| *heard >= time);
    }
}

/// Wake-ups in the order of their times; one timer of the node stands for all of them.
#[derive(Default, Serialize, Deserialize)]
pub struct Wakes {
    queue: BinaryHeap<Reverse<(Micros, Wake)>>,
    /// When timers come that are set; more than one where a later was overtaken.
    armed: BTreeSet<Micros>,
}

impl Wakes {
    /// Asks to be woken at a time.
    pub fn at(&mut self, time: Micros, wake: Wake) {
        self.queue.push(Reverse((time, wake)));
    }

    /// The timers up to now have come.
    pub fn timer_came(&mut self, now: Micros) {
        self.armed = self.armed.split_off(&(now + 1));
    }

    /// The next wake-up that is due; when none is, sees that a timer is set for the first to come.
    pub fn due(&mut self, now: Micros, out: &mut Vec<Action>) -> Option<Wake> {
        let &Reverse((time, wake)) = self.queue.peek()?;
        if time <= now {
            self.queue.pop();
            return Some(wake);
        }
        if self.armed.first().is_none_or(|first| time < *first) {
            self.armed.insert(time);
            out.push(Action::Timer { after: time - now, token: 0 });
        }
        None
    }
}

/// A number between 0 and 1, fixed for a key, a server and a purpose.
pub fn unit_hash(key: Key, server: ServerId, purpose: u64) -> f64 {
    let mut bytes = [0u8; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    ((xxh3_64_with_seed(&bytes, purpose) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
