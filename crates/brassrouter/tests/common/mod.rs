//! Test node: drives a policy event by event and keeps its actions.
#![allow(dead_code, missing_docs)]

use brassrouter::*;

pub const ORIGIN_TYPE: u16 = 1;
pub const ORIGIN: ServerId = 1000;
pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub struct Node {
    pub policy: Policy,
    pub now: Micros,
    pub actions: Vec<Action>,
    pub timers: Vec<Micros>,
}

pub fn settings() -> Settings {
    let read = Class { target_latency: 750 * MS, deadline: 1500 * MS, ..Class::default() };
    let deduplicated = Effect::Deduplicated { scope: DedupScope::All, window: 200 * MS };
    let write =
        Class { target_latency: 150 * MS, deadline: 300 * MS, effect: deduplicated, ..Class::default() };
    let once = Class {
        target_latency: 300 * MS,
        deadline: SECOND,
        effect: Effect::NonIdempotent,
        value: 8.0,
        ..Class::default()
    };
    Settings {
        classes: vec![read, write, once],
        origin_machine_type: Some(ORIGIN_TYPE),
        max_attempts: 4,
        ..Settings::default()
    }
}

pub fn server(id: ServerId) -> ServerEntry {
    ServerEntry { id, ..ServerEntry::default() }
}

pub fn origin() -> ServerEntry {
    ServerEntry { id: ORIGIN, machine_type: ORIGIN_TYPE, ..ServerEntry::default() }
}

pub fn read(id: RequestId, key: Key) -> Request {
    Request { id, key, time_left: 1500 * MS, ..Request::default() }
}

pub fn write(id: RequestId, class: usize) -> Request {
    Request { id, key: 5, class, is_write: true, time_left: 300 * MS, ..Request::default() }
}

impl Node {
    /// A node that has run for some time without overload.
    pub fn new(settings: Settings, servers: u32) -> Self {
        let mut node = Node::just_started(settings, servers);
        node.pass(10 * SECOND);
        node
    }

    /// A node with cache servers 1 to `servers` and an origin, a minute after their start.
    pub fn just_started(settings: Settings, servers: u32) -> Self {
        let seed = 7 + u64::from(settings.node_index);
        let policy = Policy::new(settings, seed);
        let mut node = Node { policy, now: 60 * SECOND, actions: Vec::new(), timers: Vec::new() };
        let mut entries: Vec<_> = (1..=servers).map(server).collect();
        entries.push(origin());
        node.list(ListKind::Cached, entries);
        node
    }

    /// A node without outcomes of its own that receives reports of overload from a peer until it holds
    /// tenants to their quotas.
    pub fn overloaded(settings: Settings, servers: u32) -> Self {
        let bytes = message_of_overloaded_peer();
        let mut node = Node::just_started(settings, servers);
        for _ in 0..20 {
            node.event(Event::PeerMessage { from: 1, bytes: bytes.clone() });
            node.pass(95 * MS);
        }
        let admission_level = node.policy.view(None).admission_level;
        assert!(admission_level <= 1.0, "no overload at an admission level of {admission_level}");
        node.actions.clear();
        node
    }

    /// Handles an event and returns the resulting actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { after, .. } = action {
                self.timers.push(self.now + after.max(&1));
            }
        }
        self.actions.extend(out.iter().cloned());
        out
    }

    pub fn list(&mut self, kind: ListKind, servers: Vec<ServerEntry>) -> Vec<Action> {
        self.event(Event::ServerList { kind, servers })
    }

    pub fn request(&mut self, request: Request) -> Vec<Action> {
        self.event(Event::Request(request))
    }

    pub fn outcome(
        &mut self,
        request: RequestId,
        attempt: u16,
        server: ServerId,
        status: Status,
    ) -> Vec<Action> {
        self.outcome_after(request, attempt, server, status, MS)
    }

    pub fn outcome_after(
        &mut self,
        request: RequestId,
        attempt: u16,
        server: ServerId,
        status: Status,
        duration: Micros,
    ) -> Vec<Action> {
        let request_finished = status == Status::Served;
        let (cache_result, load) = (CacheResult::None, LoadReport::default());
        self.event(Event::Outcome(Outcome {
            request,
            attempt,
            server,
            status,
            request_finished,
            cache_result,
            duration,
            load,
        }))
    }

    /// Advances the time, fires the timers that are due, and returns the actions of that time.
    pub fn pass(&mut self, time: Micros) -> Vec<Action> {
        let end = self.now + time;
        let from = self.actions.len();
        while let Some(due) = take_due(&mut self.timers, end) {
            self.now = due;
            self.event(Event::Timer(0));
        }
        self.now = end;
        self.actions[from..].to_vec()
    }
}

/// A message of a peer at which every fourth attempt is rejected.
fn message_of_overloaded_peer() -> Vec<u8> {
    let settings = Settings { node_count: 2, node_index: 1, may_send_to_peers: true, ..settings() };
    let mut peer = Node::just_started(settings, 2);
    for id in 1..=200 {
        if let Some(server) = sent_to(&peer.request(read(id, id))) {
            let status = if id % 4 == 0 { Status::Full } else { Status::Served };
            peer.outcome(id, 0, server, status);
        }
        peer.pass(5 * MS);
    }
    let message = peer.actions.iter().rev().find_map(|a| match a {
        Action::SendToPeers { bytes, .. } => Some(bytes.clone()),
        _ => None,
    });
    message.expect("a message")
}

/// The server of the first attempt among these actions.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if *request == id))
}

/// Number of refusals among these actions.
pub fn refusals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count()
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}

/// Removes and returns the first timer that is due by a time.
pub fn take_due(timers: &mut Vec<Micros>, end: Micros) -> Option<Micros> {
    let (at, due) = timers.iter().copied().enumerate().min_by_key(|(_, due)| *due)?;
    (due <= end).then(|| timers.swap_remove(at))
}
