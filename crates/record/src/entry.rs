//! Encoding of one entry: an event and the actions that it caused.
//!
//! An entry's body consists of one byte with the kind in its lower half and the number of actions in its
//! upper half (15: the number follows), the time since the previous entry, the event's fields, and the
//! actions. Integers have variable length; request ids are encoded as differences; keys and servers are
//! dictionary-encoded by their order of first occurrence in the segment.

use std::collections::HashMap;
use std::hash::Hash;

use brassrouter::{
    Action, CacheResult, Condition, Event, InheritedState, Key, ListKind, LoadReport, Micros,
    OriginAllowance, Outcome, Request, RequestId, ServerEntry, ServerId, Status, ZoneRouting,
};

use crate::wire::{DecodeError, Reader, put_decimal, put_delta, put_varint};

/// Dictionary entries per segment for keys, and as many for servers; values beyond that are written in full.
const MAX_DICTIONARY_ENTRIES: usize = 1 << 16;

/// An action as it is recorded. Log texts and peer messages are represented by their checksum (CRC-32) only.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordedAction {
    /// See [`Action::Send`].
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time-out of the attempt.
        timeout: Micros,
    },
    /// See [`Action::Refuse`].
    Refuse {
        /// The request.
        request: RequestId,
        /// The advised delay before a retry.
        retry_after: Micros,
    },
    /// See [`Action::Fail`].
    Fail(RequestId),
    /// See [`Action::Cancel`].
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// See [`Action::Timer`].
    Timer {
        /// Delay until the timer fires.
        after: Micros,
        /// Returned with the timer event.
        token: u32,
    },
    /// See [`Action::Subscribe`].
    Subscribe(bool),
    /// See [`Action::FetchList`].
    FetchList,
    /// See [`Action::Probe`].
    Probe(ServerId),
    /// See [`Action::CloseIdle`].
    CloseIdle(ServerId),
    /// See [`Action::SendToPeers`].
    SendToPeers {
        /// The peer; `None` for all.
        to: Option<u32>,
        /// Checksum of the message.
        checksum: u32,
    },
    /// See [`Action::Log`]; the checksum of its text.
    Log(u32),
    /// See [`Action::Fault`]; the checksum of its text.
    Fault(u32),
}

impl From<&Action> for RecordedAction {
    fn from(action: &Action) -> Self {
        match action {
            Action::Send { request, server, timeout } => {
                RecordedAction::Send { request: *request, server: *server, timeout: *timeout }
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
                RecordedAction::SendToPeers { to: *to, checksum: crc32fast::hash(bytes) }
            }
            Action::Log(text) => RecordedAction::Log(crc32fast::hash(text.as_bytes())),
            Action::Fault(text) => RecordedAction::Fault(crc32fast::hash(text.as_bytes())),
        }
    }
}

impl RecordedAction {
    /// The request that the action concerns, if any.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            RecordedAction::Send { request, .. } | RecordedAction::Refuse { request, .. } => Some(*request),
            RecordedAction::Fail(request) | RecordedAction::Cancel { request, .. } => Some(*request),
            _ => None,
        }
    }
}

/// The checksum (CRC-32) that represents a client's request id: ids are long and need not be stored.
pub fn client_id_checksum(id: &[u8]) -> u32 {
    crc32fast::hash(id)
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum Body {
    /// The module's complete state, encoded by postcard.
    State(Vec<u8>),
    /// Events before this entry are missing, for lack of memory or because of a disk failure.
    Gap {
        /// Number of missing events.
        events: u64,
    },
    /// The node shut down in order; nothing follows.
    End,
    /// An event, and the actions that it caused.
    Event {
        /// The event.
        event: Event,
        /// For a request: the checksum of the id that its client assigned ([`client_id_checksum`]).
        client_id_checksum: Option<u32>,
        /// The actions, in order.
        actions: Vec<RecordedAction>,
    },
}

/// One entry of a record.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The clock value that was passed to the module.
    pub at: Micros,
    /// The content.
    pub body: Body,
}

impl Entry {
    /// The request that the event concerns, if any.
    pub fn request(&self) -> Option<RequestId> {
        match &self.body {
            Body::Event { event: Event::Request(request), .. } => Some(request.id),
            Body::Event { event: Event::Outcome(outcome), .. } => Some(outcome.request),
            Body::Event {
                event: Event::ResponseStarted { request, .. } | Event::ClientGone(request),
                ..
            } => Some(*request),
            _ => None,
        }
    }
}

// Kinds of entries.
const STATE: u8 = 0;
const GAP: u8 = 1;
const END: u8 = 2;
const REQUEST: u8 = 3;
const OUTCOME: u8 = 4;
const TIMER: u8 = 5;
const SERVER_LIST: u8 = 6;
const PEER_MESSAGE: u8 = 7;
const CLIENT_GONE: u8 = 8;
const RESPONSE_STARTED: u8 = 9;
const PROBED: u8 = 10;
const STORM: u8 = 11;
const INHERITED: u8 = 12;
const PROCESS_COUNT: u8 = 13;
const ZONE_ROUTING: u8 = 14;
/// The last kind that fits into four bits: a second byte distinguishes the kinds added later.
const EXTENDED: u8 = 15;
/// Second byte of an extended kind.
const EXTENDED_ORIGIN_ALLOWANCE: u8 = 0;

/// State that encoder and decoder of a segment keep from entry to entry.
#[derive(Default)]
pub(crate) struct Context {
    at: Micros,
    request: RequestId,
    keys: Dictionary<Key>,
    servers: Dictionary<ServerId>,
}

/// Values that are written in full at their first occurrence, and by their index after that.
#[derive(Default)]
struct Dictionary<T> {
    indexes: HashMap<T, u32>,
    values: Vec<T>,
}

impl<T: Copy + Eq + Hash> Dictionary<T> {
    fn write<const N: usize>(&mut self, out: &mut Vec<u8>, value: T, bytes: [u8; N]) {
        if let Some(index) = self.indexes.get(&value) {
            return put_varint(out, u64::from(*index) + 1);
        }
        put_varint(out, 0);
        out.extend(bytes);
        if self.indexes.len() < MAX_DICTIONARY_ENTRIES {
            self.indexes.insert(value, self.indexes.len() as u32);
        }
    }

    fn read(
        &mut self,
        reader: &mut Reader,
        full: impl FnOnce(&mut Reader) -> Result<T, DecodeError>,
    ) -> Result<T, DecodeError> {
        let index = reader.varint()?;
        if index > 0 {
            return self.values.get(index as usize - 1).copied().ok_or("unknown index of a key or server");
        }
        let value = full(reader)?;
        if self.values.len() < MAX_DICTIONARY_ENTRIES {
            self.values.push(value);
        }
        Ok(value)
    }
}

impl Context {
    /// Starts at a clock value.
    pub(crate) fn new(at: Micros) -> Self {
        Context { at, ..Context::default() }
    }

    fn write_time(&mut self, out: &mut Vec<u8>, at: Micros) {
        // The clock of an incarnation only advances; a difference of either sign can be encoded nevertheless.
        put_delta(out, at, self.at);
        self.at = at;
    }

    fn write_request_id(&mut self, out: &mut Vec<u8>, request: RequestId) {
        put_delta(out, request, self.request);
        self.request = request;
    }

    fn write_key(&mut self, out: &mut Vec<u8>, key: Key) {
        self.keys.write(out, key, key.to_le_bytes());
    }

    fn write_server(&mut self, out: &mut Vec<u8>, server: ServerId) {
        self.servers.write(out, server, server.to_le_bytes());
    }

    /// Writes a complete entry.
    pub(crate) fn write_entry(&mut self, out: &mut Vec<u8>, at: Micros, body: &Body) {
        match body {
            Body::State(state) => {
                out.push(STATE);
                self.write_time(out, at);
                out.extend(state);
            }
            Body::Gap { events } => {
                out.push(GAP);
                self.write_time(out, at);
                put_varint(out, *events);
            }
            Body::End => {
                out.push(END);
                self.write_time(out, at);
            }
            Body::Event { event, client_id_checksum, actions } => {
                let body_start = out.len();
                self.write_event(out, at, event, *client_id_checksum);
                self.write_actions(out, body_start, actions.iter().cloned());
            }
        }
    }

    /// Writes the first part of an entry: the event.
    pub(crate) fn write_event(
        &mut self,
        out: &mut Vec<u8>,
        at: Micros,
        event: &Event,
        client_id_checksum: Option<u32>,
    ) {
        let kind = match event {
            Event::Request(_) => REQUEST,
            Event::Outcome(_) => OUTCOME,
            Event::Timer(_) => TIMER,
            Event::ServerList { .. } => SERVER_LIST,
            Event::PeerMessage { .. } => PEER_MESSAGE,
            Event::ClientGone(_) => CLIENT_GONE,
            Event::ResponseStarted { .. } => RESPONSE_STARTED,
            Event::Probed { .. } => PROBED,
            Event::Storm(_) => STORM,
            Event::Inherited(_) => INHERITED,
            Event::ProcessCount(_) => PROCESS_COUNT,
            Event::ZoneRouting(_) => ZONE_ROUTING,
            Event::OriginAllowance(_) => EXTENDED,
        };
        out.push(kind);
        self.write_time(out, at);
        match event {
            Event::Request(request) => {
                self.write_request_id(out, request.id);
                let has_size = request.size != 0.0 || request.size.is_sign_negative();
                let flags = [
                    request.is_write,
                    request.is_retry,
                    request.cost.is_some(),
                    has_size,
                    client_id_checksum.is_some(),
                ];
                out.push(flags.iter().enumerate().fold(0, |bits, (i, on)| bits | u8::from(*on) << i));
                put_varint(out, request.class as u64);
                put_varint(out, request.tenant as u64);
                self.write_key(out, request.key);
                put_varint(out, request.time_left);
                if let Some(cost) = request.cost {
                    put_varint(out, cost);
                }
                if has_size {
                    put_decimal(out, request.size);
                }
                if let Some(client_id_checksum) = client_id_checksum {
                    out.extend(client_id_checksum.to_le_bytes());
                }
            }
            Event::Outcome(outcome) => {
                self.write_request_id(out, outcome.request);
                let cache_result =
                    CACHE_RESULTS.iter().position(|n| *n == outcome.cache_result).unwrap_or(0) as u8;
                let status = STATUSES.iter().position(|s| *s == outcome.status).unwrap_or(0) as u8;
                out.push(status | cache_result << 4 | u8::from(outcome.request_finished) << 6);
                put_varint(out, u64::from(outcome.attempt));
                self.write_server(out, outcome.server);
                put_varint(out, outcome.duration);
                put_load(out, &outcome.load);
            }
            Event::Timer(token) => put_varint(out, u64::from(*token)),
            Event::ServerList { kind, servers } => {
                out.push(LIST_KINDS.iter().position(|k| k == kind).unwrap_or(0) as u8);
                put_varint(out, servers.len() as u64);
                for server in servers {
                    self.write_server(out, server.id);
                    out.push(CONDITIONS.iter().position(|c| *c == server.condition).unwrap_or(0) as u8);
                    out.push(server.zone);
                    put_varint(out, u64::from(server.cell));
                    put_varint(out, u64::from(server.machine_type));
                    put_decimal(out, server.weight);
                    put_varint(out, server.started_at);
                }
            }
            Event::PeerMessage { from, bytes } => {
                put_varint(out, u64::from(*from));
                put_varint(out, bytes.len() as u64);
                out.extend(bytes);
            }
            Event::ClientGone(request) => self.write_request_id(out, *request),
            Event::ResponseStarted { request, attempt } => {
                self.write_request_id(out, *request);
                put_varint(out, u64::from(*attempt));
            }
            Event::Probed { server, succeeded, duration, load } => {
                self.write_server(out, *server);
                out.push(u8::from(*succeeded));
                put_varint(out, *duration);
                put_load(out, load);
            }
            Event::OriginAllowance(allowance) => {
                out.extend([EXTENDED_ORIGIN_ALLOWANCE, u8::from(allowance.is_some())]);
                if let Some(allowance) = allowance {
                    let counts = [allowance.outstanding, allowance.calls_left, allowance.reserved_for_writes];
                    counts.into_iter().for_each(|count| put_varint(out, u64::from(count)));
                    put_varint(out, allowance.expires_at);
                }
            }
            Event::Storm(on) => out.push(u8::from(*on)),
            Event::ProcessCount(processes) => put_varint(out, u64::from(*processes)),
            Event::ZoneRouting(routing) => {
                out.push(u8::from(routing.is_some()));
                if let Some(routing) = routing {
                    put_varint(out, routing.zone_rings.len() as u64);
                    out.extend(&routing.zone_rings);
                    put_varint(out, routing.zone_key_shares.len() as u64);
                    routing
                        .cumulative_key_shares
                        .iter()
                        .chain(&routing.zone_key_shares)
                        .for_each(|part| out.extend(part.to_le_bytes()));
                }
            }
            Event::Inherited(inherited) => {
                put_varint(out, inherited.origin_calls.len() as u64);
                for (fetch, until) in &inherited.origin_calls {
                    out.push(u8::from(*fetch));
                    put_varint(out, *until);
                }
                put_varint(out, inherited.window_start);
                inherited.calls_in_window.iter().for_each(|count| put_varint(out, u64::from(*count)));
                out.extend(inherited.outstanding_limit.to_le_bytes());
                put_varint(out, inherited.keyed_writes.len() as u64);
                for (key, first_sent) in &inherited.keyed_writes {
                    out.extend(key.to_le_bytes());
                    put_varint(out, *first_sent);
                }
            }
        }
    }

    /// Writes the second part of an entry: the actions. The entry's body starts at `body_start`.
    pub(crate) fn write_actions(
        &mut self,
        out: &mut Vec<u8>,
        body_start: usize,
        actions: impl ExactSizeIterator<Item = RecordedAction>,
    ) {
        let count = actions.len();
        out[body_start] |= (count.min(15) as u8) << 4;
        if count >= 15 {
            put_varint(out, count as u64);
        }
        for action in actions {
            match action {
                RecordedAction::Send { request, server, timeout } => {
                    out.push(0);
                    self.write_request_id(out, request);
                    self.write_server(out, server);
                    put_varint(out, timeout);
                }
                RecordedAction::Refuse { request, retry_after } => {
                    out.push(1);
                    self.write_request_id(out, request);
                    put_varint(out, retry_after);
                }
                RecordedAction::Fail(request) => {
                    out.push(2);
                    self.write_request_id(out, request);
                }
                RecordedAction::Cancel { request, attempt } => {
                    out.push(3);
                    self.write_request_id(out, request);
                    put_varint(out, u64::from(attempt));
                }
                RecordedAction::Timer { after, token } => {
                    out.push(4);
                    put_varint(out, after);
                    put_varint(out, u64::from(token));
                }
                RecordedAction::Subscribe(on) => out.extend([5, u8::from(on)]),
                RecordedAction::FetchList => out.push(6),
                RecordedAction::Probe(server) => {
                    out.push(7);
                    self.write_server(out, server);
                }
                RecordedAction::CloseIdle(server) => {
                    out.push(8);
                    self.write_server(out, server);
                }
                RecordedAction::SendToPeers { to, checksum } => {
                    out.push(9);
                    put_varint(out, to.map_or(0, |to| u64::from(to) + 1));
                    out.extend(checksum.to_le_bytes());
                }
                RecordedAction::Log(checksum) => {
                    out.push(10);
                    out.extend(checksum.to_le_bytes());
                }
                RecordedAction::Fault(checksum) => {
                    out.push(11);
                    out.extend(checksum.to_le_bytes());
                }
            }
        }
    }

    /// Decodes an entry's body, which must be used completely.
    pub(crate) fn read(&mut self, body: &[u8]) -> Result<Entry, DecodeError> {
        let mut reader = Reader(body);
        let header_byte = reader.byte()?;
        self.at = reader.delta(self.at)?;
        let at = self.at;
        let body = match header_byte & 15 {
            STATE => Body::State(std::mem::take(&mut reader.0).to_vec()),
            GAP => Body::Gap { events: reader.varint()? },
            END => Body::End,
            kind => {
                let (event, client_id_checksum) = self.read_event(kind, &mut reader)?;
                let count =
                    if header_byte >> 4 == 15 { reader.count()? } else { usize::from(header_byte >> 4) };
                let mut actions = Vec::with_capacity(count.min(64));
                for _ in 0..count {
                    actions.push(self.read_action(&mut reader)?);
                }
                Body::Event { event, client_id_checksum, actions }
            }
        };
        if reader.0.is_empty() { Ok(Entry { at, body }) } else { Err("trailing bytes after the fields") }
    }

    fn read_request_id(&mut self, reader: &mut Reader) -> Result<RequestId, DecodeError> {
        self.request = reader.delta(self.request)?;
        Ok(self.request)
    }

    fn read_key(&mut self, reader: &mut Reader) -> Result<Key, DecodeError> {
        self.keys.read(reader, read_u64)
    }

    fn read_server(&mut self, reader: &mut Reader) -> Result<ServerId, DecodeError> {
        self.servers.read(reader, |reader| Ok(u32::from_le_bytes(reader.word()?)))
    }

    fn read_event(&mut self, kind: u8, reader: &mut Reader) -> Result<(Event, Option<u32>), DecodeError> {
        let mut client_id_checksum = None;
        let event = match kind {
            REQUEST => {
                let id = self.read_request_id(reader)?;
                let flags = reader.byte()?;
                let request = Request {
                    id,
                    class: reader.integer()?,
                    tenant: reader.integer()?,
                    key: self.read_key(reader)?,
                    is_write: flags & 1 != 0,
                    is_retry: flags & 2 != 0,
                    time_left: reader.varint()?,
                    cost: if flags & 4 != 0 { Some(reader.varint()?) } else { None },
                    size: if flags & 8 != 0 { reader.decimal()? } else { 0.0 },
                };
                if flags & 16 != 0 {
                    client_id_checksum = Some(u32::from_le_bytes(reader.word()?));
                }
                Event::Request(request)
            }
            OUTCOME => {
                let request = self.read_request_id(reader)?;
                let flags = reader.byte()?;
                Event::Outcome(Outcome {
                    request,
                    status: decode_variant(&STATUSES, flags & 15)?,
                    cache_result: decode_variant(&CACHE_RESULTS, flags >> 4 & 3)?,
                    request_finished: flags & 64 != 0,
                    attempt: reader.integer()?,
                    server: self.read_server(reader)?,
                    duration: reader.varint()?,
                    load: read_load(reader)?,
                })
            }
            TIMER => Event::Timer(reader.integer()?),
            SERVER_LIST => {
                let kind = decode_variant(&LIST_KINDS, reader.byte()?)?;
                let count = reader.count()?;
                let mut servers = Vec::with_capacity(count.min(1024));
                for _ in 0..count {
                    servers.push(ServerEntry {
                        id: self.read_server(reader)?,
                        condition: decode_variant(&CONDITIONS, reader.byte()?)?,
                        zone: reader.byte()?,
                        cell: reader.integer()?,
                        machine_type: reader.integer()?,
                        weight: reader.decimal()?,
                        started_at: reader.varint()?,
                    });
                }
                Event::ServerList { kind, servers }
            }
            PEER_MESSAGE => {
                let from = reader.integer()?;
                let count = reader.count()?;
                Event::PeerMessage { from, bytes: reader.bytes(count)?.to_vec() }
            }
            CLIENT_GONE => Event::ClientGone(self.read_request_id(reader)?),
            RESPONSE_STARTED => {
                Event::ResponseStarted { request: self.read_request_id(reader)?, attempt: reader.integer()? }
            }
            PROBED => Event::Probed {
                server: self.read_server(reader)?,
                succeeded: reader.byte()? != 0,
                duration: reader.varint()?,
                load: read_load(reader)?,
            },
            STORM => Event::Storm(reader.byte()? != 0),
            PROCESS_COUNT => Event::ProcessCount(reader.integer()?),
            ZONE_ROUTING if reader.byte()? == 0 => Event::ZoneRouting(None),
            ZONE_ROUTING => {
                let count = reader.count()?;
                let zone_rings = reader.bytes(count)?.to_vec();
                let share_count = reader.count()?;
                let cumulative_key_shares =
                    [f64::from_bits(read_u64(reader)?), f64::from_bits(read_u64(reader)?)];
                let zone_key_shares = (0..share_count)
                    .map(|_| read_u64(reader).map(f64::from_bits))
                    .collect::<Result<_, _>>()?;
                Event::ZoneRouting(Some(ZoneRouting { zone_rings, cumulative_key_shares, zone_key_shares }))
            }
            INHERITED => {
                let mut inherited = InheritedState::default();
                for _ in 0..reader.count()? {
                    inherited.origin_calls.push((reader.byte()? != 0, reader.varint()?));
                }
                inherited.window_start = reader.varint()?;
                inherited.calls_in_window = [reader.integer()?, reader.integer()?];
                inherited.outstanding_limit = f64::from_bits(read_u64(reader)?);
                for _ in 0..reader.count()? {
                    inherited.keyed_writes.push((read_u64(reader)?, reader.varint()?));
                }
                Event::Inherited(inherited)
            }
            EXTENDED if reader.byte()? == EXTENDED_ORIGIN_ALLOWANCE => {
                let is_limited = reader.byte()? != 0;
                Event::OriginAllowance(if is_limited { Some(read_allowance(reader)?) } else { None })
            }
            _ => return Err("unknown kind of entry"),
        };
        Ok((event, client_id_checksum))
    }

    fn read_action(&mut self, reader: &mut Reader) -> Result<RecordedAction, DecodeError> {
        Ok(match reader.byte()? {
            0 => RecordedAction::Send {
                request: self.read_request_id(reader)?,
                server: self.read_server(reader)?,
                timeout: reader.varint()?,
            },
            1 => RecordedAction::Refuse {
                request: self.read_request_id(reader)?,
                retry_after: reader.varint()?,
            },
            2 => RecordedAction::Fail(self.read_request_id(reader)?),
            3 => {
                RecordedAction::Cancel { request: self.read_request_id(reader)?, attempt: reader.integer()? }
            }
            4 => RecordedAction::Timer { after: reader.varint()?, token: reader.integer()? },
            5 => RecordedAction::Subscribe(reader.byte()? != 0),
            6 => RecordedAction::FetchList,
            7 => RecordedAction::Probe(self.read_server(reader)?),
            8 => RecordedAction::CloseIdle(self.read_server(reader)?),
            9 => {
                let to = match reader.varint()? {
                    0 => None,
                    to => Some(u32::try_from(to - 1).map_err(|_| "peer number is too large")?),
                };
                RecordedAction::SendToPeers { to, checksum: u32::from_le_bytes(reader.word()?) }
            }
            10 => RecordedAction::Log(u32::from_le_bytes(reader.word()?)),
            11 => RecordedAction::Fault(u32::from_le_bytes(reader.word()?)),
            _ => return Err("unknown kind of action"),
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
const CACHE_RESULTS: [CacheResult; 4] =
    [CacheResult::None, CacheResult::Hit, CacheResult::Miss, CacheResult::MissBeingFetched];
const LIST_KINDS: [ListKind; 4] = [ListKind::Full, ListKind::Cached, ListKind::Delta, ListKind::Failed];
const CONDITIONS: [Condition; 3] = [Condition::Ready, Condition::Draining, Condition::Gone];

fn decode_variant<T: Copy>(values: &[T], index: u8) -> Result<T, DecodeError> {
    values.get(usize::from(index)).copied().ok_or("unknown enum value")
}

fn put_load(out: &mut Vec<u8>, load: &LoadReport) {
    let count = load.count.min(4);
    out.push(count);
    load.values.iter().take(usize::from(count)).for_each(|v| put_decimal(out, *v));
}

fn read_load(reader: &mut Reader) -> Result<LoadReport, DecodeError> {
    let mut load = LoadReport { count: reader.byte()?, ..LoadReport::default() };
    if load.count > 4 {
        return Err("load report has too many values");
    }
    for value in load.values.iter_mut().take(usize::from(load.count)) {
        *value = reader.decimal()?;
    }
    Ok(load)
}

fn read_allowance(reader: &mut Reader) -> Result<OriginAllowance, DecodeError> {
    Ok(OriginAllowance {
        outstanding: reader.integer()?,
        calls_left: reader.integer()?,
        reserved_for_writes: reader.integer()?,
        expires_at: reader.varint()?,
    })
}

fn read_u64(reader: &mut Reader) -> Result<u64, DecodeError> {
    let (low, high) = (reader.word()?, reader.word()?);
    Ok(u64::from(u32::from_le_bytes(low)) | u64::from(u32::from_le_bytes(high)) << 32)
}
