//! Events and the actions that they called for, as the bytes of one entry, and back.
//!
//! An entry's body: one byte with the kind in its lower half and the number of actions in the upper (15: the number
//! follows), the time since the entry before, the event's fields, the actions. Whole numbers are of variable length;
//! request ids are told as differences, keys and
//! servers by their place among those met in the segment.

use std::collections::HashMap;
use std::hash::Hash;

use brassrouter::{
    Action, CacheResult, Condition, Event, InheritedState, Key, ListKind, LoadReport, Micros,
    OriginAllowance, Outcome, Request, RequestId, ServerEntry, ServerId, Status, ZoneRouting,
};

use crate::wire::{Bad, Input, put, put_delta, put_figure};

/// Keys, and servers, that a segment knows by their place; later ones are written out.
const MOST_MET: usize = 1 << 16;

/// An action as it is recorded: what is said to people and peers only by its checksum (CRC-32).
#[derive(Debug, Clone, PartialEq)]
pub enum RecordedAction {
    /// As [`Action::Send`].
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// As there.
        give_up_after: Micros,
    },
    /// As [`Action::Refuse`].
    Refuse {
        /// The request.
        request: RequestId,
        /// The time told.
        retry_after: Micros,
    },
    /// As [`Action::Fail`].
    Fail(RequestId),
    /// As [`Action::Cancel`].
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// As [`Action::Timer`].
    Timer {
        /// The time from now.
        after: Micros,
        /// Given back with the event.
        token: u32,
    },
    /// As [`Action::Subscribe`].
    Subscribe(bool),
    /// As [`Action::FetchList`].
    FetchList,
    /// As [`Action::Probe`].
    Probe(ServerId),
    /// As [`Action::CloseIdle`].
    CloseIdle(ServerId),
    /// As [`Action::SendToPeers`].
    SendToPeers {
        /// The peer; `None` for all.
        to: Option<u32>,
        /// Checksum of the bytes.
        sum: u32,
    },
    /// As [`Action::Log`], by its checksum.
    Log(u32),
    /// As [`Action::Fault`], by its checksum.
    Fault(u32),
}

impl From<&Action> for RecordedAction {
    fn from(action: &Action) -> Self {
        match action {
            Action::Send { request, server, timeout: give_up_after } => {
                RecordedAction::Send { request: *request, server: *server, give_up_after: *give_up_after }
            }
            Action::Refuse { request, retry_after } => {
                RecordedAction::Refuse { request: *request, retry_after: *retry_after }
            }
            Action::Fail(request) => RecordedAction::Fail(*request),
            Action::Cancel { request, attempt } => {
                RecordedAction::Cancel { request: *request, attempt: *attempt }
            }
            Action::Timer { after, token } => RecordedAction::Timer { after: *after, token: *token },
            Action::Subscribe(on) => RecordedAction::Subscribe(*on),
            Action::FetchList => RecordedAction::FetchList,
            Action::Probe(server) => RecordedAction::Probe(*server),
            Action::CloseIdle(server) => RecordedAction::CloseIdle(*server),
            Action::SendToPeers { to, bytes } => {
                RecordedAction::SendToPeers { to: *to, sum: crc32fast::hash(bytes) }
            }
            Action::Log(text) => RecordedAction::Log(crc32fast::hash(text.as_bytes())),
            Action::Fault(text) => RecordedAction::Fault(crc32fast::hash(text.as_bytes())),
        }
    }
}

impl RecordedAction {
    /// The request that it is about, where it is about one.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            RecordedAction::Send { request, .. } | RecordedAction::Refuse { request, .. } => Some(*request),
            RecordedAction::Fail(request) | RecordedAction::Cancel { request, .. } => Some(*request),
            _ => None,
        }
    }
}

/// What stands for a client's id of a request: its checksum (CRC-32), for ids are long and need not be kept.
pub fn client_id_checksum(id: &[u8]) -> u32 {
    crc32fast::hash(id)
}

/// What stands in an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum Body {
    /// The module's whole state, as postcard writes it.
    State(Vec<u8>),
    /// Events are missing before this place, for want of room or of a disk.
    Gap {
        /// How many.
        events: u64,
    },
    /// The node ended in order; nothing follows.
    End,
    /// An event, and the actions that it called for.
    Event {
        /// The event.
        event: Event,
        /// Of a request: the checksum of the id that its client gave it ([`client_id_checksum`]).
        reference: Option<u32>,
        /// The actions, in order.
        actions: Vec<RecordedAction>,
    },
}

/// One entry of a record.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The clock value that the module was told.
    pub at: Micros,
    /// What stands in it.
    pub body: Body,
}

impl Entry {
    /// The request that its event is about, where it is about one.
    pub fn request(&self) -> Option<RequestId> {
        match &self.body {
            Body::Event { event: Event::Request(r), .. } => Some(r.id),
            Body::Event { event: Event::Outcome(o), .. } => Some(o.request),
            Body::Event {
                event: Event::ResponseStarted { request, .. } | Event::ClientGone(request),
                ..
            } => Some(*request),
            _ => None,
        }
    }
}

const STATE: u8 = 0;
const GAP: u8 = 1;
const END: u8 = 2;
const REQUEST: u8 = 3;
const OUTCOME: u8 = 4;
const TIMER: u8 = 5;
const LIST: u8 = 6;
const PEER: u8 = 7;
const GONE: u8 = 8;
const BEGAN: u8 = 9;
const PROBED: u8 = 10;
const STORM: u8 = 11;
const LEGACY: u8 = 12;
const SHARING: u8 = 13;
const POOL: u8 = 14;
/// The last kind that fits: what comes later has a byte of its own behind it, which says what it is.
const LATER: u8 = 15;
/// Of the later kinds.
const ALLOWANCE: u8 = 0;

/// What both sides remember from entry to entry of a segment.
#[derive(Default)]
pub(crate) struct Context {
    at: Micros,
    request: RequestId,
    keys: Met<Key>,
    servers: Met<ServerId>,
}

/// Things that are told in full when they are first met, and by their place from then on.
#[derive(Default)]
struct Met<T> {
    places: HashMap<T, u32>,
    all: Vec<T>,
}

impl<T: Copy + Eq + Hash> Met<T> {
    fn put<const N: usize>(&mut self, out: &mut Vec<u8>, thing: T, bytes: [u8; N]) {
        if let Some(place) = self.places.get(&thing) {
            return put(out, u64::from(*place) + 1);
        }
        put(out, 0);
        out.extend(bytes);
        if self.places.len() < MOST_MET {
            self.places.insert(thing, self.places.len() as u32);
        }
    }

    fn read(&mut self, input: &mut Input, full: impl FnOnce(&mut Input) -> Result<T, Bad>) -> Result<T, Bad> {
        let place = input.number()?;
        if place > 0 {
            return self
                .all
                .get(place as usize - 1)
                .copied()
                .ok_or("a key or a server that was not met before");
        }
        let thing = full(input)?;
        if self.all.len() < MOST_MET {
            self.all.push(thing);
        }
        Ok(thing)
    }
}

impl Context {
    /// Begins at a clock value.
    pub(crate) fn new(at: Micros) -> Self {
        Context { at, ..Context::default() }
    }

    fn time(&mut self, out: &mut Vec<u8>, at: Micros) {
        // The clock of a life only advances; should it not, nothing may be lost for that.
        put_delta(out, at, self.at);
        self.at = at;
    }

    fn request(&mut self, out: &mut Vec<u8>, request: RequestId) {
        put_delta(out, request, self.request);
        self.request = request;
    }

    fn key(&mut self, out: &mut Vec<u8>, key: Key) {
        self.keys.put(out, key, key.to_le_bytes());
    }

    fn server(&mut self, out: &mut Vec<u8>, server: ServerId) {
        self.servers.put(out, server, server.to_le_bytes());
    }

    /// Writes an entry that is no event.
    pub(crate) fn special(&mut self, out: &mut Vec<u8>, at: Micros, body: &Body) {
        match body {
            Body::State(state) => {
                out.push(STATE);
                self.time(out, at);
                out.extend(state);
            }
            Body::Gap { events } => {
                out.push(GAP);
                self.time(out, at);
                put(out, *events);
            }
            Body::End => {
                out.push(END);
                self.time(out, at);
            }
            Body::Event { event, reference, actions } => {
                let begin = out.len();
                self.event(out, at, event, *reference);
                self.actions(out, begin, actions.iter().cloned());
            }
        }
    }

    /// Writes the first part of an entry: the event.
    pub(crate) fn event(&mut self, out: &mut Vec<u8>, at: Micros, event: &Event, reference: Option<u32>) {
        let kind = match event {
            Event::Request(_) => REQUEST,
            Event::Outcome(_) => OUTCOME,
            Event::Timer(_) => TIMER,
            Event::ServerList { .. } => LIST,
            Event::PeerMessage { .. } => PEER,
            Event::ClientGone(_) => GONE,
            Event::ResponseStarted { .. } => BEGAN,
            Event::Probed { .. } => PROBED,
            Event::Storm(_) => STORM,
            Event::Inherited(_) => LEGACY,
            Event::ProcessCount(_) => SHARING,
            Event::ZoneRouting(_) => POOL,
            Event::OriginAllowance(_) => LATER,
        };
        out.push(kind);
        self.time(out, at);
        match event {
            Event::Request(r) => {
                self.request(out, r.id);
                let sized = r.size != 0.0 || r.size.is_sign_negative();
                let flags = [r.is_write, r.is_retry, r.cost.is_some(), sized, reference.is_some()];
                out.push(flags.iter().enumerate().fold(0, |all, (i, on)| all | u8::from(*on) << i));
                put(out, r.class as u64);
                put(out, r.tenant as u64);
                self.key(out, r.key);
                put(out, r.time_left);
                if let Some(cost) = r.cost {
                    put(out, cost);
                }
                if sized {
                    put_figure(out, r.size);
                }
                if let Some(reference) = reference {
                    out.extend(reference.to_le_bytes());
                }
            }
            Event::Outcome(o) => {
                self.request(out, o.request);
                let note = NOTES.iter().position(|n| *n == o.cache_result).unwrap_or(0) as u8;
                let status = STATUSES.iter().position(|s| *s == o.status).unwrap_or(0) as u8;
                out.push(status | note << 4 | u8::from(o.request_finished) << 6);
                put(out, u64::from(o.attempt));
                self.server(out, o.server);
                put(out, o.duration);
                load(out, &o.load);
            }
            Event::Timer(token) => put(out, u64::from(*token)),
            Event::ServerList { kind, servers } => {
                out.push(LISTS.iter().position(|k| k == kind).unwrap_or(0) as u8);
                put(out, servers.len() as u64);
                for line in servers {
                    self.server(out, line.id);
                    out.push(CONDITIONS.iter().position(|c| *c == line.condition).unwrap_or(0) as u8);
                    out.push(line.zone);
                    put(out, u64::from(line.cell));
                    put(out, u64::from(line.machine_type));
                    put_figure(out, line.weight);
                    put(out, line.started_at);
                }
            }
            Event::PeerMessage { from, bytes } => {
                put(out, u64::from(*from));
                put(out, bytes.len() as u64);
                out.extend(bytes);
            }
            Event::ClientGone(request) => self.request(out, *request),
            Event::ResponseStarted { request, attempt } => {
                self.request(out, *request);
                put(out, u64::from(*attempt));
            }
            Event::Probed { server, succeeded: ok, duration: took, load: report } => {
                self.server(out, *server);
                out.push(u8::from(*ok));
                put(out, *took);
                load(out, report);
            }
            Event::OriginAllowance(allowance) => {
                out.extend([ALLOWANCE, u8::from(allowance.is_some())]);
                if let Some(a) = allowance {
                    let counts = [a.outstanding, a.calls_left, a.reserved_for_writes];
                    counts.into_iter().for_each(|count| put(out, u64::from(count)));
                    put(out, a.expires_at);
                }
            }
            Event::Storm(on) => out.push(u8::from(*on)),
            Event::ProcessCount(processes) => put(out, u64::from(*processes)),
            Event::ZoneRouting(pool) => {
                out.push(u8::from(pool.is_some()));
                if let Some(pool) = pool {
                    put(out, pool.zone_rings.len() as u64);
                    out.extend(&pool.zone_rings);
                    put(out, pool.zone_key_shares.len() as u64);
                    pool.cumulative_key_shares
                        .iter()
                        .chain(&pool.zone_key_shares)
                        .for_each(|part| out.extend(part.to_le_bytes()));
                }
            }
            Event::Inherited(left) => {
                put(out, left.origin_calls.len() as u64);
                for (fetch, until) in &left.origin_calls {
                    out.push(u8::from(*fetch));
                    put(out, *until);
                }
                put(out, left.window_start);
                left.calls_in_window.iter().for_each(|count| put(out, u64::from(*count)));
                out.extend(left.outstanding_limit.to_le_bytes());
                put(out, left.keyed_writes.len() as u64);
                for (key, first) in &left.keyed_writes {
                    out.extend(key.to_le_bytes());
                    put(out, *first);
                }
            }
        }
    }

    /// Writes the second part of an entry: the actions. `begin` is where the entry's body began.
    pub(crate) fn actions(
        &mut self,
        out: &mut Vec<u8>,
        begin: usize,
        actions: impl ExactSizeIterator<Item = RecordedAction>,
    ) {
        let count = actions.len();
        out[begin] |= (count.min(15) as u8) << 4;
        if count >= 15 {
            put(out, count as u64);
        }
        for action in actions {
            match action {
                RecordedAction::Send { request, server, give_up_after } => {
                    out.push(0);
                    self.request(out, request);
                    self.server(out, server);
                    put(out, give_up_after);
                }
                RecordedAction::Refuse { request, retry_after } => {
                    out.push(1);
                    self.request(out, request);
                    put(out, retry_after);
                }
                RecordedAction::Fail(request) => {
                    out.push(2);
                    self.request(out, request);
                }
                RecordedAction::Cancel { request, attempt } => {
                    out.push(3);
                    self.request(out, request);
                    put(out, u64::from(attempt));
                }
                RecordedAction::Timer { after, token } => {
                    out.push(4);
                    put(out, after);
                    put(out, u64::from(token));
                }
                RecordedAction::Subscribe(on) => out.extend([5, u8::from(on)]),
                RecordedAction::FetchList => out.push(6),
                RecordedAction::Probe(server) => {
                    out.push(7);
                    self.server(out, server);
                }
                RecordedAction::CloseIdle(server) => {
                    out.push(8);
                    self.server(out, server);
                }
                RecordedAction::SendToPeers { to, sum } => {
                    out.push(9);
                    put(out, to.map_or(0, |to| u64::from(to) + 1));
                    out.extend(sum.to_le_bytes());
                }
                RecordedAction::Log(sum) => {
                    out.push(10);
                    out.extend(sum.to_le_bytes());
                }
                RecordedAction::Fault(sum) => {
                    out.push(11);
                    out.extend(sum.to_le_bytes());
                }
            }
        }
    }

    /// Reads an entry's body. All of it must be used.
    pub(crate) fn read(&mut self, body: &[u8]) -> Result<Entry, Bad> {
        let mut input = Input(body);
        let first = input.byte()?;
        self.at = input.delta(self.at)?;
        let at = self.at;
        let body = match first & 15 {
            STATE => Body::State(std::mem::take(&mut input.0).to_vec()),
            GAP => Body::Gap { events: input.number()? },
            END => Body::End,
            kind => {
                let (event, reference) = self.read_event(kind, &mut input)?;
                let count = if first >> 4 == 15 { input.count()? } else { usize::from(first >> 4) };
                let mut actions = Vec::with_capacity(count.min(64));
                for _ in 0..count {
                    actions.push(self.read_action(&mut input)?);
                }
                Body::Event { event, reference, actions }
            }
        };
        if input.0.is_empty() { Ok(Entry { at, body }) } else { Err("there is more than its fields") }
    }

    fn read_request(&mut self, input: &mut Input) -> Result<RequestId, Bad> {
        self.request = input.delta(self.request)?;
        Ok(self.request)
    }

    fn read_key(&mut self, input: &mut Input) -> Result<Key, Bad> {
        self.keys.read(input, read_u64)
    }

    fn read_server(&mut self, input: &mut Input) -> Result<ServerId, Bad> {
        self.servers.read(input, |input| Ok(u32::from_le_bytes(input.word()?)))
    }

    fn read_event(&mut self, kind: u8, input: &mut Input) -> Result<(Event, Option<u32>), Bad> {
        let mut reference = None;
        let event = match kind {
            REQUEST => {
                let id = self.read_request(input)?;
                let flags = input.byte()?;
                let request = Request {
                    id,
                    class: input.below()?,
                    tenant: input.below()?,
                    key: self.read_key(input)?,
                    is_write: flags & 1 != 0,
                    is_retry: flags & 2 != 0,
                    time_left: input.number()?,
                    cost: if flags & 4 != 0 { Some(input.number()?) } else { None },
                    size: if flags & 8 != 0 { input.figure()? } else { 0.0 },
                };
                if flags & 16 != 0 {
                    reference = Some(u32::from_le_bytes(input.word()?));
                }
                Event::Request(request)
            }
            OUTCOME => {
                let request = self.read_request(input)?;
                let ends = input.byte()?;
                Event::Outcome(Outcome {
                    request,
                    status: pick(&STATUSES, ends & 15)?,
                    cache_result: pick(&NOTES, ends >> 4 & 3)?,
                    request_finished: ends & 64 != 0,
                    attempt: input.below()?,
                    server: self.read_server(input)?,
                    duration: input.number()?,
                    load: read_load(input)?,
                })
            }
            TIMER => Event::Timer(input.below()?),
            LIST => {
                let kind = pick(&LISTS, input.byte()?)?;
                let count = input.count()?;
                let mut servers = Vec::with_capacity(count.min(1024));
                for _ in 0..count {
                    servers.push(ServerEntry {
                        id: self.read_server(input)?,
                        condition: pick(&CONDITIONS, input.byte()?)?,
                        zone: input.byte()?,
                        cell: input.below()?,
                        machine_type: input.below()?,
                        weight: input.figure()?,
                        started_at: input.number()?,
                    });
                }
                Event::ServerList { kind, servers }
            }
            PEER => {
                let from = input.below()?;
                let count = input.count()?;
                Event::PeerMessage { from, bytes: input.bytes(count)?.to_vec() }
            }
            GONE => Event::ClientGone(self.read_request(input)?),
            BEGAN => Event::ResponseStarted { request: self.read_request(input)?, attempt: input.below()? },
            PROBED => Event::Probed {
                server: self.read_server(input)?,
                succeeded: input.byte()? != 0,
                duration: input.number()?,
                load: read_load(input)?,
            },
            STORM => Event::Storm(input.byte()? != 0),
            SHARING => Event::ProcessCount(input.below()?),
            POOL if input.byte()? == 0 => Event::ZoneRouting(None),
            POOL => {
                let count = input.count()?;
                let rings = input.bytes(count)?.to_vec();
                let open = input.count()?;
                let keep = [f64::from_bits(read_u64(input)?), f64::from_bits(read_u64(input)?)];
                let open =
                    (0..open).map(|_| read_u64(input).map(f64::from_bits)).collect::<Result<_, _>>()?;
                Event::ZoneRouting(Some(ZoneRouting {
                    zone_rings: rings,
                    cumulative_key_shares: keep,
                    zone_key_shares: open,
                }))
            }
            LEGACY => {
                let mut left = InheritedState::default();
                for _ in 0..input.count()? {
                    left.origin_calls.push((input.byte()? != 0, input.number()?));
                }
                left.window_start = input.number()?;
                left.calls_in_window = [input.below()?, input.below()?];
                left.outstanding_limit = f64::from_bits(read_u64(input)?);
                for _ in 0..input.count()? {
                    left.keyed_writes.push((read_u64(input)?, input.number()?));
                }
                Event::Inherited(left)
            }
            LATER if input.byte()? == ALLOWANCE => {
                let told = input.byte()? != 0;
                Event::OriginAllowance(if told { Some(read_allowance(input)?) } else { None })
            }
            _ => return Err("an entry of an unknown kind"),
        };
        Ok((event, reference))
    }

    fn read_action(&mut self, input: &mut Input) -> Result<RecordedAction, Bad> {
        Ok(match input.byte()? {
            0 => RecordedAction::Send {
                request: self.read_request(input)?,
                server: self.read_server(input)?,
                give_up_after: input.number()?,
            },
            1 => RecordedAction::Refuse { request: self.read_request(input)?, retry_after: input.number()? },
            2 => RecordedAction::Fail(self.read_request(input)?),
            3 => RecordedAction::Cancel { request: self.read_request(input)?, attempt: input.below()? },
            4 => RecordedAction::Timer { after: input.number()?, token: input.below()? },
            5 => RecordedAction::Subscribe(input.byte()? != 0),
            6 => RecordedAction::FetchList,
            7 => RecordedAction::Probe(self.read_server(input)?),
            8 => RecordedAction::CloseIdle(self.read_server(input)?),
            9 => {
                let to = match input.number()? {
                    0 => None,
                    to => Some(u32::try_from(to - 1).map_err(|_| "a peer's number is too large")?),
                };
                RecordedAction::SendToPeers { to, sum: u32::from_le_bytes(input.word()?) }
            }
            10 => RecordedAction::Log(u32::from_le_bytes(input.word()?)),
            11 => RecordedAction::Fault(u32::from_le_bytes(input.word()?)),
            _ => return Err("an action of an unknown kind"),
        })
    }
}

const STATUSES: [Status; 10] = [
    Status::Served,
    Status::Miss,
    Status::Error,
    Status::Full,
    Status::TimedOut,
    Status::ConnectFailed,
    Status::Reset,
    Status::Cancelled,
    Status::NotSent,
    Status::LocalFailure,
];
const NOTES: [CacheResult; 4] =
    [CacheResult::None, CacheResult::Hit, CacheResult::Miss, CacheResult::MissBeingFetched];
const LISTS: [ListKind; 4] = [ListKind::Full, ListKind::Cached, ListKind::Delta, ListKind::Failed];
const CONDITIONS: [Condition; 3] = [Condition::Ready, Condition::Draining, Condition::Gone];

fn pick<T: Copy>(all: &[T], place: u8) -> Result<T, Bad> {
    all.get(usize::from(place)).copied().ok_or("a value of an unknown kind")
}

fn load(out: &mut Vec<u8>, load: &LoadReport) {
    let count = load.count.min(4);
    out.push(count);
    load.values.iter().take(usize::from(count)).for_each(|v| put_figure(out, *v));
}

fn read_load(input: &mut Input) -> Result<LoadReport, Bad> {
    let mut load = LoadReport { count: input.byte()?, ..LoadReport::default() };
    if load.count > 4 {
        return Err("a load report of too many figures");
    }
    for value in load.values.iter_mut().take(usize::from(load.count)) {
        *value = input.figure()?;
    }
    Ok(load)
}

fn read_allowance(input: &mut Input) -> Result<OriginAllowance, Bad> {
    Ok(OriginAllowance {
        outstanding: input.below()?,
        calls_left: input.below()?,
        reserved_for_writes: input.below()?,
        expires_at: input.number()?,
    })
}

fn read_u64(input: &mut Input) -> Result<u64, Bad> {
    let (low, high) = (input.word()?, input.word()?);
    Ok(u64::from(u32::from_le_bytes(low)) | u64::from(u32::from_le_bytes(high)) << 32)
}
