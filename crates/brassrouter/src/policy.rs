//! All decisions of a node. Its input and output types (settings, events, actions) are in `interface.rs`.
//!
//! A read goes to the first server in its key's order that is below its load bound. After a miss the value is
//! fetched from the origin; a write goes straight to the origin. Calls to the origin pass a gate that limits
//! the outstanding calls and the calls per window; a call that the gate does not permit is postponed by a
//! random delay. Everything else in this module handles failures and overload.

mod slow_start;
mod succession;
pub mod view;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::estimate::{KeyLoad, LatencyEstimate, Rate, Ratio};
use crate::gate::Gate;
use crate::interface::*;
use crate::random::{Backoff, Random};
use crate::refusal_log::{RefusalLog, RefusalReason, log_crossing};
use crate::state::*;
use crate::zone_routing::ZoneRouter;

/// Load bound of a server, as a multiple of its share of this node's attempts in flight.
const LOAD_BOUND_MULTIPLE: f64 = 1.25;
/// Lowest load bound, in attempts from all nodes together; each node has its part. Without it a node with
/// little traffic would scatter its keys.
const MIN_LOAD_BOUND_ATTEMPTS: f64 = 8.0;
/// A server is full when its backlog takes this share of the time that a request has left.
const FULL_BACKLOG_SHARE: f64 = 0.5;
/// Answers that each server is credited with when its backlog is estimated.
const BACKLOG_CREDIT_ANSWERS: f64 = 2.0;
/// Gate: most outstanding calls of one node, or the calls that its part of the quotas allows in
/// `GATE_CALL_SECONDS` if those are more.
const GATE_NODE_OUTSTANDING: f64 = 20.0;
/// Gate: most outstanding calls of all nodes together, or the calls that all quotas allow in
/// `GATE_CALL_SECONDS` if those are more. Each node has an equal part.
const GATE_FLEET_OUTSTANDING: f64 = 80.0;
/// Gate: usual duration of a call in seconds. At the rate of all quotas, the calls of this time are
/// outstanding at once (Little's law).
const GATE_CALL_SECONDS: f64 = 0.1;
/// Gate: calls per second, as a multiple of the quotas or, without quotas, of the admitted requests.
const GATE_RATE_MULTIPLE: f64 = 1.0;
/// Gate: lowest limit of calls per second.
const GATE_MIN_CALLS_PER_S: f64 = 30.0;
/// Gate: length of the window in which calls are counted, in longest latency targets.
const GATE_WINDOW_TARGETS: f64 = 0.25;
/// Gate: share of both limits that is available to fetches; the rest is reserved for writes.
pub const GATE_FETCH_SHARE: f64 = 0.7;
/// Gate: factor on the limit of outstanding calls at a sign of congestion.
const GATE_CUT_FACTOR: f64 = 0.8;
/// Gate: lowest limit of outstanding calls under congestion, as a share of the highest.
const GATE_MIN_LIMIT_SHARE: f64 = 0.1;
/// Gate: a call that takes longer than this share of the shortest latency target is a sign of congestion.
const GATE_SLOW_CALL_TARGETS: f64 = 0.8;
/// Shortest random delay of a postponed or refused request, in latency targets of its class: 1 s of a limit
/// of 60 s.
const MIN_POSTPONE_TARGETS: f64 = 1.0 / 60.0;
/// Longest random delay of a postponed or refused request, in latency targets of its class: 3 s of a limit of
/// 60 s.
const MAX_POSTPONE_TARGETS: f64 = 3.0 / 60.0;
/// Shortest delay after an attempt that this machine could not make, so that no class retries in a tight
/// loop.
const MIN_LOCAL_FAILURE_DELAY_US: Micros = 2_000;
/// Most doublings of the delay after local failures, so that the delay stays well below a deadline.
const MAX_LOCAL_FAILURE_DOUBLINGS: u32 = 3;
/// An attempt without an answer for this share of its latency target is slow; after twice this it is nearly
/// late.
const SLOW_ATTEMPT_TARGETS: f64 = 0.4;
/// Smallest share of its keys that a server in trouble keeps.
const MIN_KEY_SHARE: f64 = 0.02;
/// Factor of a review on the share of its keys that a server in trouble keeps.
const KEY_SHARE_DECAY: f64 = 0.97;
/// A server that keeps less than this share of its keys is avoided. If the servers keep less on average, the
/// cause of the trouble is shared.
const AVOIDED_KEY_SHARE: f64 = 0.5;
/// Signs of trouble per attempt that a server may show in addition to a multiple of the fleet's.
const TOLERATED_TROUBLE: f64 = 0.3;
/// Multiple of the fleet's signs of overload per attempt that a server may show.
const TOLERATED_FLEET_MULTIPLE: f64 = 1.0;
/// Signs of overload per attempt from which tenants are held to their quotas.
const QUOTA_OVERLOAD: f64 = 0.06;
/// Signs of overload per attempt from which tenants are held below their quotas.
const SEVERE_OVERLOAD: f64 = 0.55;
/// Lowest admission level. A higher one would keep a slow fleet saturated.
const MIN_ADMISSION_LEVEL: f64 = 0.25;
/// Admission level at which tenants are held to their quotas.
const QUOTA_ADMISSION_LEVEL: f64 = 1.0;
/// Highest admission level; here requests are admitted without a limit.
const MAX_ADMISSION_LEVEL: f64 = 4.0;
/// Factor of a review on the admission level under overload.
const ADMISSION_LEVEL_FALL: f64 = 0.92;
/// Factor of a review on the admission level without overload.
const ADMISSION_LEVEL_RISE: f64 = 1.04;
/// Share of the counts that a review keeps: they cover about the last latency target.
const REVIEW_DECAY: f64 = 0.85;
/// Reviews between two messages to peers.
const REVIEWS_PER_MESSAGE: u32 = 4;
/// Number of message intervals for which a peer's metrics are used.
const METRICS_LIFETIME_MESSAGES: u32 = 2;
/// Peers that receive a message at a time, in turn.
const PEERS_PER_MESSAGE: u32 = 16;
/// A key is split so that each part has at most this share of a server's mean load.
const HOT_KEY_SERVER_SHARE: f64 = 1.0;
/// Time constant of the decay of key load and latencies, in longest latency targets.
const KEY_LOAD_DECAY_TARGETS: f64 = 10.0;
/// Retries that each admitted request adds to the retry budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Highest retry budget.
const MAX_RETRY_BUDGET: f64 = 5.0;
/// In a storm: client retries that each first try of a tenant allows.
const STORM_RETRIES_PER_FIRST_TRY: f64 = 0.5;
/// In a storm: client retries that a tenant can save up.
const MAX_STORM_RETRIES: f64 = 10.0;
/// `ADMISSION_LEVEL_RISE` in a storm with limited client retries. It is higher, since fewer retries are there
/// to fill the capacity that it admits.
const STORM_ADMISSION_LEVEL_RISE: f64 = 1.15;
/// In a storm: rate of returning clients, as a share of the requests served at present.
const QUEUE_RATE_SHARE: f64 = 0.5;
/// In a storm: places in the virtual queue that a client retry takes.
const QUEUE_PLACES_PER_RETRY: f64 = 2.0;
/// In a storm: random share by which a retry delay differs from its place in the virtual queue.
const QUEUE_JITTER: f64 = 0.25;
/// Shortest idle time of a connection before it may be closed, in longest latency targets.
const IDLE_TARGETS: f64 = 0.3;
/// Idle connections are kept from this share of attempts whose connection is not established in time.
const KEEP_IDLE_SLOW_CONNECTS: f64 = 0.015;
/// Share of the counts of slow connects that a review keeps.
const SLOW_CONNECTS_DECAY: f64 = 0.99;
/// Shortest idle time of a connection before it may be closed, in usual intervals between its uses.
const IDLE_USE_INTERVALS: f64 = 2.0;
/// Change of a machine type's weight in a review, per unit of difference in CPU utilization.
const WEIGHT_STEP: f64 = 0.03;
/// Smallest weight factor of a machine type; its inverse is the largest.
const MIN_TYPE_WEIGHT: f64 = 0.25;
/// Share of the load reports that a review keeps.
const LOAD_REPORT_DECAY: f64 = 0.98;
/// Longest usual pause between calls to a failing discovery. One and a half pauses and a call then end within
/// 6 s, after which changes that discovery could report count as known.
const MAX_DISCOVERY_PAUSE_US: Micros = 2_000_000;

/// The state machine that makes the decisions of one node.
#[derive(Default, Serialize, Deserialize)]
pub struct Policy {
    settings: Settings,
    rng: Random,
    now: Micros,
    /// The longest latency target of all classes.
    max_target_latency: Micros,
    /// The shortest latency target of all classes.
    min_target_latency: Micros,
    /// The lowest value of all classes.
    min_class_value: f64,
    servers: BTreeMap<ServerId, Server>,
    pending: BTreeMap<RequestId, PendingRequest>,
    in_flight_attempts: BTreeMap<(RequestId, u16), InFlightAttempt>,
    /// The request that is fetching a key from the origin.
    fetching: BTreeMap<Key, RequestId>,
    /// For each class, the total weight of the ready cache servers that it may use.
    class_weights: Vec<f64>,
    /// The same, but falling no faster than servers warm up.
    recent_class_weights: Vec<f64>,
    machine_types: BTreeMap<u16, MachineType>,
    key_load: KeyLoad,
    gate: Gate,
    tenant_states: Vec<TenantState>,
    peers: Peers,
    admission_level: f64,
    overload: Ratio,
    /// Attempts whose connection was lost.
    lost_connections: Ratio,
    /// Attempts whose connection was not established in time.
    slow_connects: Ratio,
    retry_budget: f64,
    cache_attempts_in_flight: u32,
    admitted: Rate,
    /// Requests served: all, and those served by the origin.
    served: [Rate; 2],
    storm: bool,
    /// Requests refused in a storm: for lack of cache servers, and of the origin.
    virtual_queues: [VirtualQueue; 2],
    keyed_writes: KeyedWrites,
    review_count: u32,
    last_recipient: u32,
    tasks: ScheduledTasks,
    subscribed: bool,
    discovery_backoff: Backoff,
    next_subscribe_at: Micros,
    refusal_log: RefusalLog,
    /// Processes that run as this node at present; 0 until the first [`Event::ProcessCount`].
    #[serde(skip)]
    process_count: u32,
    /// Preference among zones; received anew after each start.
    #[serde(skip)]
    zone_router: ZoneRouter,
}

impl Policy {
    /// A node that knows its settings and nothing else yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let targets = settings.classes.iter().map(|c| c.target_latency);
        let quotas: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let node_quota_per_s = quotas / f64::from(settings.node_count.max(1));
        let fleet_outstanding = GATE_FLEET_OUTSTANDING.max(quotas * GATE_CALL_SECONDS);
        // The limit of one node is meant for calls that take seconds. Where the quotas alone keep more calls
        // outstanding, it would hold the node below what both limits are meant to admit.
        let node_outstanding = GATE_NODE_OUTSTANDING.max(node_quota_per_s * GATE_CALL_SECONDS);
        let max_outstanding =
            (fleet_outstanding / f64::from(settings.node_count.max(1))).clamp(2.0, node_outstanding);
        let mut policy = Policy {
            max_target_latency: targets.clone().max().unwrap_or(1_000_000).max(1),
            min_target_latency: targets.min().unwrap_or(1_000_000),
            min_class_value: settings.classes.iter().map(|c| c.value).fold(f64::INFINITY, f64::min).max(1e-9),
            tenant_states: vec![TenantState::default(); settings.tenants.len().max(1)],
            class_weights: vec![0.0; settings.classes.len()],
            recent_class_weights: vec![0.0; settings.classes.len()],
            rng: Random::new(seed),
            last_recipient: seed as u32 >> 1,
            admission_level: MAX_ADMISSION_LEVEL,
            retry_budget: MAX_RETRY_BUDGET,
            // Calls of an earlier incarnation of this node may still run: the gate opens gradually.
            gate: Gate { limit: max_outstanding / 2.0, max_outstanding, node_quota_per_s, ..Gate::default() },
            settings,
            ..Policy::default()
        };
        policy.schedule_after(0, ScheduledTask::Subscribe);
        policy.schedule_after(0, ScheduledTask::Review);
        policy
    }

    /// Handles one event at a clock value and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::ServerList { kind: ListKind::Failed, .. } => self.handle_discovery_failure(out),
            Event::ServerList { kind, servers } => self.handle_server_list(kind, servers, out),
            Event::Request(request) => self.handle_request(request, out),
            Event::Outcome(outcome) => self.handle_outcome(outcome, out),
            // A streamed response belongs to the client: no final answer is needed any more.
            Event::ResponseStarted { request, .. } | Event::ClientGone(request) => self.forget(request),
            Event::Timer(_) => self.tasks.timer_fired(now),
            Event::PeerMessage { from, bytes } => {
                self.peers.receive(now, from, &bytes, self.tenant_states.len())
            }
            Event::Storm(on) => self.storm = on,
            Event::Inherited(inherited) => self.inherit(inherited),
            Event::ProcessCount(processes) => self.process_count = processes,
            Event::OriginAllowance(allowance) => self.gate.allowance = allowance,
            Event::ZoneRouting(routing) => {
                self.zone_router.set(routing);
                self.sum_weights();
            }
            Event::Probed { .. } => {}
        }
        while let Some(task) = self.tasks.next_due(now, out) {
            match task {
                ScheduledTask::Expire(id) => self.end_unserved(id, RefusalReason::TimeUp, out),
                ScheduledTask::Resume(id, postponement)
                    if self.pending.get(&id).map(|p| p.postponement) == Some(postponement) =>
                {
                    self.advance(id, out)
                }
                ScheduledTask::CheckSlow(id, attempt) => self.check_slow_attempt(id, attempt, out),
                ScheduledTask::Subscribe => self.subscribe(out),
                ScheduledTask::CloseDrained(server) => self.close_drained(server, false, out),
                ScheduledTask::Resume(..) => {}
                ScheduledTask::Review => self.review(out),
                ScheduledTask::EndInheritedCall(kind) => self.gate.end_call(kind),
            }
        }
    }

    /// Takes over the state of another incarnation. Its calls count until they must have ended; its keyed
    /// writes stay known. If that process still runs, it counts its calls against its half of the limits:
    /// half of them counted here keep the sum within the limits, however many they are.
    fn inherit(&mut self, inherited: InheritedState) {
        let process_count = self.process_count.max(1);
        self.gate.inherit(&inherited, process_count);
        let running = inherited.origin_calls.into_iter().filter(|(_, until)| *until > self.now);
        for (fetch, until) in running.step_by(process_count as usize) {
            let kind = if fetch { AttemptKind::Fetch } else { AttemptKind::Write };
            self.gate.add_outstanding(kind);
            self.tasks.schedule(until, ScheduledTask::EndInheritedCall(kind));
        }
        self.keyed_writes.inherit(inherited.keyed_writes);
    }

    fn schedule_after(&mut self, delay: Micros, task: ScheduledTask) {
        self.tasks.schedule(self.now + delay, task);
    }

    fn handle_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let share = self.key_load.record(request.key);
        let parts = (share * self.ready_servers(false).count() as f64 / HOT_KEY_SERVER_SHARE).max(1.0);
        let part = (parts * self.rng.unit()) as u64;
        // A retry at or after the end of its deduplication window may run again: it is not sent, and fails.
        let class = &self.settings.classes[request.class];
        let window_over = request.is_retry
            && request.is_write
            && self.keyed_writes.window_over(
                request.key,
                class.dedup_window(),
                self.now + class.target_latency,
            );
        // Expires some ticks before the client's limit, so that the answer is in time when a timer is late.
        let pending = PendingRequest {
            class: request.class,
            key: request.key,
            order_key: if request.key == 0 {
                request.id
            } else {
                request.key ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15)
            },
            is_write: request.is_write,
            is_retry: request.is_retry,
            may_have_run: u16::from(window_over),
            target_at: self.now + class.target_latency,
            expires_at: self.now + request.time_left.saturating_sub(2 * self.settings.tick),
            ..PendingRequest::default()
        };
        let expires_at = pending.expires_at;
        let allowed = self.allow_client_retry(request.tenant, request.is_retry);
        let admitted = allowed && self.admit(request.class, request.tenant) && self.now < expires_at;
        self.pending.insert(request.id, pending);
        if !admitted {
            return self.end_unserved(
                request.id,
                if allowed { RefusalReason::OverQuota } else { RefusalReason::TooManyRetries },
                out,
            );
        }
        self.admitted.count();
        self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
        self.schedule_after(expires_at - self.now, ScheduledTask::Expire(request.id));
        self.advance(request.id, out);
    }

    /// In a storm, limits client retries to a share of the first tries of their tenant, since retries sustain
    /// the storm. Runs before `admit`, so that retries refused here do not count as load of the tenant.
    fn allow_client_retry(&mut self, tenant: usize, is_retry: bool) -> bool {
        let Some(state) = self.tenant_states.get_mut(tenant) else { return true };
        if !is_retry {
            state.retries_left = (state.retries_left + STORM_RETRIES_PER_FIRST_TRY).min(MAX_STORM_RETRIES);
        }
        if !is_retry || !self.storm || !self.settings.storm_mitigation.limit_retries {
            return true;
        }
        let allowed = state.retries_left >= 1.0;
        state.retries_left -= f64::from(u8::from(allowed));
        allowed
    }

    /// Under overload, holds all tenants to the same multiple of their quotas, so that those furthest over
    /// their quota are refused first. When every tenant must be limited, classes of a higher value go first.
    fn admit(&mut self, class: usize, tenant: usize) -> bool {
        let Some(state) = self.tenant_states.get_mut(tenant) else { return true };
        state.rate.count();
        let value = (self.settings.classes[class].value / self.min_class_value).max(1.0);
        let mut share = 1.0;
        if let Some(quota) = self.settings.tenants.get(tenant) {
            let total_rate = self.peers.total_rate(
                tenant,
                state.rate.per_s,
                self.settings.node_count,
                METRICS_LIFETIME_MESSAGES * PEERS_PER_MESSAGE,
            );
            share = quota.quota_per_s / total_rate.max(1.0);
        }
        // Below 1 the level applies at once, also to tenants that are far below their quotas.
        let admitted_share =
            (self.admission_level.max(1.0) * share).min(1.0) * self.admission_level.min(1.0) * value;
        state.credit +=
            if self.admission_level >= MAX_ADMISSION_LEVEL { 1.0 } else { admitted_share.min(1.0) };
        let admitted = state.credit >= 0.5; // Half of slack, so that a tenant's first request is admitted.
        state.credit -= f64::from(u8::from(admitted));
        admitted
    }

    /// Chooses and sends the next attempt of a request that has none in flight.
    fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else { return };
        if self.now >= self.useful_until(pending)
            || !pending.attempts.may_make_another(self.settings.max_attempts)
        {
            return self.end_unserved(id, RefusalReason::TimeUp, out);
        }
        // While one request fetches a key, the others for it are postponed and then ask the cache again.
        if !pending.is_write && self.fetching.contains_key(&pending.key) {
            self.pending.entry(id).and_modify(|p| p.missed = false);
            return self.postpone(id, RefusalReason::BehindFetch, out);
        }
        if pending.is_write || pending.missed {
            return self.call_origin(id, out);
        }
        if !self.pick_server(id).is_some_and(|server| self.send_attempt(id, server, AttemptKind::Cache, out))
        {
            self.end_unserved(id, RefusalReason::NoServerLeft, out);
        }
    }

    /// The time until which an answer to a request has any value.
    fn useful_until(&self, pending: &PendingRequest) -> Micros {
        if self.settings.classes[pending.class].late_value > 0.0 {
            pending.expires_at
        } else {
            pending.target_at.min(pending.expires_at)
        }
    }

    /// The first server in the key's order below its load bound, or else the first; none if that one is full
    /// under overload. An overtaken attempt is lost or long-running and no load: skipping its server would
    /// scatter its keys.
    fn pick_server(&self, id: RequestId) -> Option<ServerId> {
        let pending = &self.pending[&id];
        let time_left = self.useful_until(pending).saturating_sub(self.now) as f64;
        // Answers are counted over about this time.
        let target_latency = self.settings.classes[pending.class].target_latency;
        let full = |server: &Server| {
            server.backlog(self.now, target_latency, BACKLOG_CREDIT_ANSWERS) > time_left * FULL_BACKLOG_SHARE
        };
        let min_bound = (MIN_LOAD_BOUND_ATTEMPTS / f64::from(self.settings.node_count.max(2))).max(2.0);
        let mut best = None;
        for server in self
            .ready_servers(false)
            .filter(|server| self.may_use(pending.class, server) && !pending.tried.contains(&server.entry.id))
        {
            if !self.slow_start_permits(pending.order_key, pending.tried.is_empty(), server, pending.class) {
                continue;
            }
            let (due, total) = self.due_share(server, pending.class, false);
            let bound = LOAD_BOUND_MULTIPLE * f64::from(self.cache_attempts_in_flight + 1) * due / total;
            let over_bound = f64::from(server.in_flight - server.overtaken) >= bound.max(min_bound);
            let avoided = unit_hash(id, server.entry.id, 1) >= server.key_share;
            let zone_rank = self.zone_router.rank(
                (pending.order_key, id),
                server.entry.zone,
                !pending.tried.is_empty(),
                || over_bound || full(server),
            );
            let rank = (
                zone_rank,
                avoided,
                over_bound,
                self.key_order_rank(pending.order_key, server),
                server.entry.id,
            );
            if best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
        }
        // A full server is not skipped for the next one, which would scatter its keys.
        best.map(|(.., id)| id)
            .filter(|id| self.admission_level >= MAX_ADMISSION_LEVEL || !full(&self.servers[id]))
    }

    fn ready_servers(&self, origin: bool) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(move |s| s.entry.condition == Condition::Ready && s.is_origin == origin)
    }

    /// Whether requests of a class may be sent to a server. The origin is open to all classes.
    fn may_use(&self, class: usize, server: &Server) -> bool {
        let class = &self.settings.classes[class];
        let zone_allowed =
            |zones: &Option<Vec<u8>>| zones.as_ref().is_none_or(|z| z.contains(&server.entry.zone));
        let type_allowed =
            |types: &Option<Vec<u16>>| types.as_ref().is_none_or(|t| t.contains(&server.entry.machine_type));
        server.is_origin || (zone_allowed(&class.allowed_zones) && type_allowed(&class.allowed_machine_types))
    }

    fn weight(&self, server: &Server) -> f64 {
        let capacity =
            if self.settings.weights_are_capacities { f64::from(server.entry.weight).max(0.01) } else { 1.0 };
        capacity * self.machine_types.get(&server.entry.machine_type).map_or(1.0, |t| t.weight)
    }

    /// The share of the attempts of a class that is due to a server, as numerator and denominator.
    fn due_share(&self, server: &Server, class: usize, recent: bool) -> (f64, f64) {
        let total =
            if recent { self.recent_class_weights[class].max(0.01) } else { self.class_weights[class] };
        self.zone_router.due_share(class, server.entry.zone, self.weight(server), (total, recent))
    }

    /// A server's position in a key's order, lowest first (weighted rendezvous hashing).
    fn key_order_rank(&self, key: Key, server: &Server) -> f64 {
        -unit_hash(key, server.entry.id, 0).ln() / self.weight(server)
    }

    fn call_origin(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let (key, kind) = (
            self.pending[&id].key,
            if self.pending[&id].is_write { AttemptKind::Write } else { AttemptKind::Fetch },
        );
        let order =
            |a: &&Server, b: &&Server| self.key_order_rank(id, a).total_cmp(&self.key_order_rank(id, b));
        let origin = self.ready_servers(true).min_by(order).map(|s| s.entry.id);
        let server = if self.settings.origin_machine_type.is_some() { origin } else { self.pick_server(id) };
        let server = server.filter(|_| self.gate_permits(kind));
        let Some(server) = server else { return self.postpone(id, RefusalReason::GateClosed, out) };
        if !self.send_attempt(id, server, kind, out) {
            self.end_unserved(id, RefusalReason::NoServerLeft, out);
        } else if kind == AttemptKind::Fetch && key != 0 {
            self.fetching.insert(key, id);
        }
    }

    /// Whether the limits of outstanding calls and of calls per window permit one more call.
    fn gate_permits(&mut self, kind: AttemptKind) -> bool {
        let calls_per_s =
            if self.gate.node_quota_per_s > 0.0 { self.gate.node_quota_per_s } else { self.admitted.per_s };
        let window = self.max_target_latency as f64 * GATE_WINDOW_TARGETS;
        let window_limit = (calls_per_s * GATE_RATE_MULTIPLE).max(GATE_MIN_CALLS_PER_S) * window / 1e6;
        self.gate.roll_window(self.now, window as Micros);
        if let Some(allowance) = self.gate.allowance {
            return self.allowance_permits(&allowance, kind);
        }
        // Two processes that run as one node must not make twice its calls: each has an equal part.
        let share = 1.0 / f64::from(self.process_count.max(1));
        self.gate.permits(0, share, window_limit)
            && (kind == AttemptKind::Write || self.gate.permits(1, share * GATE_FETCH_SHARE, window_limit))
    }

    /// Whether an allowance permits one more call. An allowance belongs to this process alone. No call begins
    /// that would be given up before the shortest latency target has passed.
    fn allowance_permits(&self, allowance: &OriginAllowance, kind: AttemptKind) -> bool {
        let reserved = if kind == AttemptKind::Write { 0 } else { allowance.reserved_for_writes };
        let max_outstanding = self.gate.outstanding_limit_of(allowance);
        let max_fetches = (f64::from(max_outstanding) * GATE_FETCH_SHARE).ceil() as u32;
        self.now + self.min_target_latency <= allowance.expires_at
            && allowance.calls_left > reserved
            && self.gate.outstanding[0] < max_outstanding
            && (kind == AttemptKind::Write || self.gate.outstanding[1] < max_fetches)
    }

    /// Postpones a request by a random delay, or ends it if its answer would then have no value.
    fn postpone(&mut self, id: RequestId, reason: RefusalReason, out: &mut Vec<Action>) {
        let target_latency = self.settings.classes[self.pending[&id].class].target_latency;
        let delay = (target_latency as f64 * self.rng.between((MIN_POSTPONE_TARGETS, MAX_POSTPONE_TARGETS)))
            as Micros
            + 1;
        self.postpone_for(delay, id, reason, out);
    }

    /// Postpones a request for which this machine could not open a connection: an immediate attempt would
    /// fail as well. The delay grows with each such failure; the request may then be sent to the same server.
    fn postpone_after_local_failure(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let pending = &self.pending[&id];
        let doublings =
            u32::from(pending.attempts.local_failures.saturating_sub(1)).min(MAX_LOCAL_FAILURE_DOUBLINGS);
        let first = (self.settings.classes[pending.class].target_latency as f64
            * self.rng.between((MIN_POSTPONE_TARGETS, MAX_POSTPONE_TARGETS))) as Micros;
        self.postpone_for((first + MIN_LOCAL_FAILURE_DELAY_US) << doublings, id, RefusalReason::TimeUp, out);
    }

    /// Postpones a request by `delay`, or ends it if its answer would then have no value.
    fn postpone_for(&mut self, delay: Micros, id: RequestId, reason: RefusalReason, out: &mut Vec<Action>) {
        let pending = &self.pending[&id];
        let class = &self.settings.classes[pending.class];
        // The deduplication window of a retry may be about to end, and only the client knows when: the retry
        // is sent now or not at all.
        let near_window_end = pending.is_retry && pending.is_write && class.dedup_window().is_some();
        if near_window_end || self.now + delay >= self.useful_until(pending) {
            return self.end_unserved(id, reason, out);
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.postponement += 1;
            self.tasks.schedule(self.now + delay, ScheduledTask::Resume(id, pending.postponement));
        }
    }

    /// Sends an attempt unless a rule forbids it. All attempts are sent here.
    fn send_attempt(
        &mut self,
        id: RequestId,
        server: ServerId,
        kind: AttemptKind,
        out: &mut Vec<Action>,
    ) -> bool {
        let (Some(pending), Some(s)) = (self.pending.get(&id), self.servers.get(&server)) else {
            return false;
        };
        let allowed = self.now < pending.expires_at
            && pending.attempts.may_make_another(self.settings.max_attempts)
            && s.entry.condition == Condition::Ready
            && self.may_use(pending.class, s)
            && (pending.in_flight == 0 || self.settings.may_duplicate)
            // Only idempotent requests are sent again once an attempt may have run.
            && (pending.may_have_run == 0
                || self.settings.classes[pending.class].effect == Effect::Idempotent);
        if !allowed {
            return false;
        }
        let slow_start_level = self.slow_start_bucket(s, pending.class).0 + 1.0;
        let (attempt, sent_at, target_latency) =
            (pending.attempts.begun, self.now, self.settings.classes[pending.class].target_latency);
        let slow_after = (target_latency as f64 * SLOW_ATTEMPT_TARGETS) as Micros;
        if let (Some(pending), Some(s)) = (self.pending.get_mut(&id), self.servers.get_mut(&server)) {
            (pending.attempts.begun, pending.in_flight, pending.may_have_run) =
                (pending.attempts.begun + 1, pending.in_flight + 1, pending.may_have_run + 1);
            (s.in_flight, s.slow_start_level, s.last_used_at) = (s.in_flight + 1, slow_start_level, self.now);
        }
        if kind == AttemptKind::Cache {
            self.cache_attempts_in_flight += 1;
            self.schedule_after(slow_after, ScheduledTask::CheckSlow(id, attempt));
        } else {
            self.gate.begin_call(kind);
            if let Some(pending) = self.pending.get(&id).filter(|p| p.is_write) {
                self.keyed_writes.record_sent(
                    pending.key,
                    self.settings.classes[pending.class].dedup_window(),
                    self.now,
                    pending.is_retry,
                );
            }
        }
        self.in_flight_attempts.insert(
            (id, attempt),
            InFlightAttempt { server, kind, sent_at, target_latency, slow_after, overtaken: false },
        );
        let timeout = if kind == AttemptKind::Cache { 0 } else { self.gate.call_timeout(self.now) };
        out.push(Action::Send { request: id, server, timeout });
        true
    }

    fn handle_outcome(&mut self, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(attempt) = self.in_flight_attempts.remove(&(outcome.request, outcome.attempt)) else {
            return;
        };
        self.record_outcome(&attempt, &outcome, out);
        self.close_drained(attempt.server, true, out);
        let Some(pending) = self.pending.get_mut(&outcome.request) else { return };
        pending.in_flight -= 1;
        pending.may_have_run -= u16::from(outcome.status.proves_not_run());
        pending.attempts.local_failures += u16::from(outcome.status == Status::LocalFailure);
        pending.missed |= outcome.status == Status::Miss;
        if pending.is_write && !pending.is_retry && pending.may_have_run == 0 {
            self.keyed_writes.forget(pending.key);
        }
        // A connection may be lost while its server is healthy and holds the key, so the server is asked once
        // more. This costs little if the server is down, since it then refuses the new connection.
        let ask_again = outcome.status == Status::Reset
            && pending.connection_lost_at.replace(attempt.server) != Some(attempt.server);
        let asked = !matches!(outcome.status, Status::Miss | Status::LocalFailure) && !ask_again;
        if attempt.kind == AttemptKind::Cache && asked {
            pending.tried.push(attempt.server);
        }
        let (key, others_in_flight, class) = (pending.key, pending.in_flight > 0, pending.class);
        if attempt.kind == AttemptKind::Fetch {
            self.fetching.remove(&key);
        }
        if outcome.status == Status::Served {
            let by_origin = usize::from(attempt.kind != AttemptKind::Cache);
            self.served[..=by_origin].iter_mut().for_each(Rate::count);
        }
        if outcome.request_finished || outcome.status == Status::Served {
            return self.forget(outcome.request);
        }
        if others_in_flight && outcome.status != Status::Miss {
            return; // The other attempts decide, but a miss leads to a fetch at once.
        }
        if attempt.kind != AttemptKind::Cache && outcome.status == Status::Full {
            return self.postpone(outcome.request, RefusalReason::OriginFull, out);
        }
        if outcome.status == Status::LocalFailure {
            return self.postpone_after_local_failure(outcome.request, out);
        }
        // Misses and failed connects cost a server no work; a cancelled attempt has used the budget already.
        let free = matches!(
            outcome.status,
            Status::Miss | Status::ConnectFailed | Status::NotSent | Status::Cancelled
        );
        if !free && !self.take_retry(class, outcome.status == Status::Full) {
            return self.end_unserved(outcome.request, RefusalReason::NoRetryLeft, out);
        }
        self.advance(outcome.request, out);
    }

    /// Takes a retry from the budget if the class allows one: an attempt that may have run is retried only
    /// for idempotent requests.
    fn take_retry(&mut self, class: usize, not_run: bool) -> bool {
        let allowed = not_run || self.settings.classes[class].effect == Effect::Idempotent;
        let granted = allowed && self.retry_budget >= 1.0;
        self.retry_budget -= f64::from(u8::from(granted));
        granted
    }

    /// Records what an outcome shows about its server and the overload of the fleet, or about the origin.
    fn record_outcome(&mut self, attempt: &InFlightAttempt, outcome: &Outcome, out: &mut Vec<Action>) {
        self.release(attempt.kind);
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        server.overtaken -= u32::from(attempt.overtaken);
        server.last_outcome_at = self.now;
        if outcome.status == Status::LocalFailure {
            return; // Shows nothing about the server or the origin.
        }
        server.connected |= !matches!(outcome.status, Status::Reset | Status::ConnectFailed);
        let slow_connect =
            outcome.status == Status::ConnectFailed && outcome.duration >= self.settings.connect_timeout;
        self.slow_connects.add(f64::from(u8::from(slow_connect)), 1.0);
        if attempt.kind != AttemptKind::Cache {
            return self.record_origin_outcome(attempt, outcome, out);
        }
        if outcome.status == Status::Served {
            self.machine_types.entry(server.entry.machine_type).or_default().latency.record(outcome.duration);
        }
        if let Some(busy) = outcome.load.value_of(&self.settings.load_fields, LoadField::Busy) {
            self.machine_types.entry(server.entry.machine_type).or_default().busy.add(busy, 1.0);
        }
        if matches!(outcome.status, Status::Served | Status::Miss | Status::Full) {
            server.recent_answers = 1.0 + server.recent_answers_at(self.now, attempt.target_latency);
            (server.last_answer_at, server.newest_answered_sent_at) =
                (self.now, server.newest_answered_sent_at.max(attempt.sent_at));
        }
        // A slow attempt was counted when it became slow: counting it at its end would detect overload late.
        if self.now - attempt.sent_at < attempt.slow_after {
            let trouble =
                !matches!(outcome.status, Status::Served | Status::Miss | Status::NotSent | Status::TimedOut);
            // A lost connection indicates a fault of the network or a crash, not overload.
            let lost = outcome.status == Status::Reset;
            self.lost_connections.add(f64::from(u8::from(lost)), 1.0);
            self.count_trouble(attempt.server, f64::from(u8::from(trouble)), 1.0, !lost);
        }
    }

    /// Decrements the count of attempts in flight, at cache servers or at the origin.
    fn release(&mut self, kind: AttemptKind) {
        match kind {
            AttemptKind::Cache => self.cache_attempts_in_flight -= 1,
            AttemptKind::Fetch | AttemptKind::Write => self.gate.end_call(kind),
        }
    }

    /// Counts signs of trouble at a server. They count as overload only by the share of its keys that the
    /// server keeps, since known trouble of one server is no overload of the fleet.
    fn count_trouble(&mut self, server: ServerId, cases: f64, total: f64, overload: bool) {
        let Some(server) = self.servers.get_mut(&server) else { return };
        self.overload.add(if overload { cases * server.key_share } else { 0.0 }, total * server.key_share);
        server.trouble.add(cases, total);
    }

    /// Lowers the gate's limit, down to a minimum, when the origin is slow, fails or refuses; good answers
    /// raise it. A lost connection says nothing about load: if the origin is down, further connections are
    /// refused.
    fn record_origin_outcome(&mut self, attempt: &InFlightAttempt, outcome: &Outcome, out: &mut Vec<Action>) {
        let slow =
            self.now - attempt.sent_at > (self.min_target_latency as f64 * GATE_SLOW_CALL_TARGETS) as Micros;
        let gate = &mut self.gate;
        let before = gate.limit;
        if outcome.status == Status::Served && !slow {
            gate.limit = (gate.limit + 1.0 / gate.limit).min(gate.max_outstanding);
        } else if !matches!(outcome.status, Status::NotSent | Status::Reset)
            && attempt.sent_at >= gate.limit_cut_at
        {
            gate.limit_cut_at = self.now; // One cut for all calls that were outstanding together.
            gate.limit = (gate.limit * GATE_CUT_FACTOR).max(gate.max_outstanding * GATE_MIN_LIMIT_SHARE);
        }
        log_crossing(
            out,
            before,
            gate.limit,
            gate.max_outstanding / 4.0,
            "gate lowered: origin in trouble",
            "gate restored",
        );
    }

    /// Slowly moves keys away from servers that show more signs of trouble than most, here and at peers.
    /// Peers count because in a large fleet one node sends a server a request only every few seconds.
    fn review_servers(&mut self, overload: Ratio, period: Micros) {
        let tolerated = TOLERATED_TROUBLE + TOLERATED_FLEET_MULTIPLE * overload.value();
        // When most servers look bad, the cause is shared: moving their keys would overload the rest.
        let shared_cause =
            self.ready_servers(false).map(|server| server.key_share - AVOIDED_KEY_SHARE).sum::<f64>() < 0.0;
        let peer_trouble = self.peers.trouble();
        let step = period as f64 / self.settings.warm_up_time.max(1) as f64;
        let attempts_per_server = overload.total / self.ready_servers(false).count().max(1) as f64;
        for (id, server) in &mut self.servers {
            let mut trouble = server.trouble;
            trouble.add(peer_trouble.get(id).copied().unwrap_or(0.0), 0.0);
            let bad =
                trouble.cases > tolerated * (attempts_per_server * server.key_share).max(trouble.total) + 1.0;
            server.key_share = if bad && !shared_cause {
                (server.key_share * KEY_SHARE_DECAY).max(MIN_KEY_SHARE)
            } else {
                (server.key_share + step).min(1.0)
            };
            server.trouble.decay(REVIEW_DECAY);
        }
    }

    /// Adjusts the weights of machine types. A type whose load reports show it busier than the rest gets less
    /// weight, slowly, since reports are late. All nodes see similar reports, so their key orders stay alike.
    /// The rule is wrong for a type that is busy for another reason than its requests.
    ///
    /// Without load reports and capacities, the weight follows from how fast each type answers: at equal
    /// weights the slow type is saturated at little more than half of the fleet's capacity, and one of many
    /// nodes never has enough attempts in flight at a server to reach the load bound.
    fn weigh_machine_types(&mut self) {
        let (mut busy, mut fleet_latency) = (Ratio::default(), LatencyEstimate::default());
        self.machine_types.values().for_each(|t| busy.add(t.busy.cases, t.busy.total));
        self.machine_types
            .values_mut()
            .for_each(|t| t.weigh(busy.value(), (WEIGHT_STEP, MIN_TYPE_WEIGHT, LOAD_REPORT_DECAY)));
        if busy.total == 0.0 && !self.settings.weights_are_capacities {
            let latencies = self
                .machine_types
                .iter()
                .map(|(id, t)| self.peers.latency(*id, &t.latency))
                .collect::<Vec<_>>();
            latencies.iter().for_each(|l| fleet_latency.merge(l));
            for (t, latency) in self.machine_types.values_mut().zip(&latencies) {
                t.weight =
                    latency.speed_relative_to(&fleet_latency).clamp(MIN_TYPE_WEIGHT, 1.0 / MIN_TYPE_WEIGHT);
            }
        }
        self.sum_weights();
    }

    /// Updates the total weights of the servers that each class may use.
    fn sum_weights(&mut self) {
        let (mut zone_router, this) = (std::mem::take(&mut self.zone_router), &*self);
        let weight = move |class, s| if this.may_use(class, s) { this.weight(s) } else { 0.0 };
        let weights = |class| this.ready_servers(false).map(move |s| (s.entry.zone, weight(class, s)));
        let class_weights = (0..this.settings.classes.len()).map(|class| {
            zone_router.count_servers(class, weights(class));
            weights(class).map(|(_, weight)| weight).sum()
        });
        self.class_weights = class_weights.collect();
        self.zone_router = zone_router;
        for (recent, now) in self.recent_class_weights.iter_mut().zip(&self.class_weights) {
            *recent = recent.max(*now);
        }
    }

    /// Handles an attempt that has been without an answer for long: counts it as a sign of overload and tries
    /// another server.
    fn check_slow_attempt(&mut self, id: RequestId, number: u16, out: &mut Vec<Action>) {
        let Some(attempt) = self.in_flight_attempts.get_mut(&(id, number)) else { return };
        self.servers.entry(attempt.server).and_modify(|s| s.mark_overtaken(attempt));
        let attempt = *attempt;
        let (age, threshold) = (self.now - attempt.sent_at, attempt.slow_after + 1);
        if age >= attempt.target_latency {
            return;
        }
        // An overtaken attempt is no sign of overload: its server answers everything else in time.
        // Half a sign, and the attempt itself, counts when it becomes slow, and half a sign when it is nearly
        // late: a slow attempt is not yet lost.
        let first = age < threshold * 3 / 2;
        self.count_trouble(attempt.server, 0.5, f64::from(u8::from(first)), !attempt.overtaken);
        self.schedule_after(threshold, ScheduledTask::CheckSlow(id, number));
        if first {
            self.hedge(id, number, attempt, out);
        }
    }

    /// Hedges an attempt that has long been without an answer at the next server, or cancels it and sends it
    /// there. This helps with lost answers, dead connections, and hung, degrading or full servers that a node
    /// contacts too seldom to have noticed. It costs duplicate work, limited by the retry budget; under
    /// overload only overtaken attempts are hedged, since the others may be slow because of the overload.
    fn hedge(&mut self, id: RequestId, number: u16, attempt: InFlightAttempt, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id).filter(|p| p.in_flight == 1) else { return };
        let duplicate = self.settings.may_duplicate;
        let possible = if duplicate {
            attempt.overtaken || self.admission_level >= MAX_ADMISSION_LEVEL
        } else {
            self.settings.may_cancel
        };
        if !possible || self.now >= self.useful_until(pending) || !self.take_retry(pending.class, false) {
            return;
        }
        if !duplicate {
            return out.push(Action::Cancel { request: id, attempt: number });
        }
        self.pending.entry(id).and_modify(|p| p.tried.push(attempt.server));
        if let Some(next) = self.pick_server(id) {
            self.send_attempt(id, next, AttemptKind::Cache, out);
        }
    }

    /// Ends a request unserved: with a refusal and a retry delay if a retry is harmless, else with a failure.
    /// All final answers of the module are given here.
    fn end_unserved(&mut self, id: RequestId, reason: RefusalReason, out: &mut Vec<Action>) {
        let Some(is_retry) = self.pending.get(&id).map(|p| p.is_retry) else { return };
        self.refusal_log.count(reason);
        let queued = self.storm && self.settings.storm_mitigation.virtual_queue;
        let queue_delay = if queued { self.queue_delay(reason, is_retry) } else { 0 };
        let pending = &self.pending[&id];
        let class = &self.settings.classes[pending.class];
        let retry_after = (class.target_latency as f64
            * self.rng.between((MIN_POSTPONE_TARGETS, MAX_POSTPONE_TARGETS)))
            as Micros
            + 1
            + queue_delay;
        let harmless = class.effect == Effect::Idempotent || pending.may_have_run == 0;
        out.push(if harmless { Action::Refuse { request: id, retry_after } } else { Action::Fail(id) });
        self.forget(id);
    }

    /// Retry delay of a request refused in a storm. Clients return evenly, at a share of the rate at which
    /// requests are served now (by the origin, if that was too busy); client retries take more places.
    fn queue_delay(&mut self, reason: RefusalReason, is_retry: bool) -> Micros {
        let origin = usize::from(matches!(
            reason,
            RefusalReason::GateClosed | RefusalReason::BehindFetch | RefusalReason::OriginFull
        ));
        let rate_and_places = (
            self.served[origin].per_s * QUEUE_RATE_SHARE,
            if is_retry { QUEUE_PLACES_PER_RETRY } else { 1.0 },
        );
        let max = if self.settings.max_retry_after == 0 {
            self.max_target_latency
        } else {
            self.settings.max_retry_after
        };
        self.virtual_queues[origin].retry_delay(self.now, rate_and_places, max, QUEUE_JITTER, &mut self.rng)
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(pending) = self.pending.remove(&id).filter(|p| self.fetching.get(&p.key) == Some(&id)) {
            self.fetching.remove(&pending.key);
        }
    }

    fn handle_server_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>, out: &mut Vec<Action>) {
        if kind != ListKind::Cached {
            (self.subscribed, self.discovery_backoff) = (true, Backoff::default());
        }
        if kind != ListKind::Delta {
            self.servers.values_mut().for_each(|server| server.entry.condition = Condition::Gone);
        }
        for entry in entries {
            let server = self
                .servers
                .entry(entry.id)
                .or_insert_with(|| Server { key_share: 1.0, ..Server::default() });
            server.is_origin = self.settings.origin_machine_type == Some(entry.machine_type);
            // A restarted server begins without a history of trouble.
            if entry.started_at > server.entry.started_at {
                server.key_share = 1.0;
                // If many nodes could each send one attempt at once, the server would get a burst: a random
                // level at each node prevents that.
                (server.slow_start_level, server.last_used_at) =
                    (slow_start::MIN_BUCKET_DEPTH - self.rng.unit(), self.now);
            }
            let id = entry.id;
            if !server.is_origin {
                // Peers may report the latency of a type before this node knows it.
                self.machine_types.entry(entry.machine_type).or_default();
            }
            server.entry = entry;
            self.close_drained(id, true, out);
        }
        self.sum_weights();
    }

    /// Closes idle connections to a server that is not ready: at the notice, after each outcome there, and
    /// once more later for a connection that was being opened at that time.
    fn close_drained(&mut self, server: ServerId, repeat: bool, out: &mut Vec<Action>) {
        let Some(time) = self.settings.drain_close_within else { return };
        if self.servers.get(&server).is_some_and(|s| s.entry.condition != Condition::Ready) {
            out.push(Action::CloseIdle(server));
            if repeat {
                self.schedule_after(time / 2, ScheduledTask::CloseDrained(server));
            }
        }
    }

    /// Subscribes to changes of the server list, and again while there is no answer: a node that has not
    /// asked counts as informed after `resubscribe_within`.
    fn subscribe(&mut self, out: &mut Vec<Action>) {
        if self.settings.subscribes_to_discovery && !self.subscribed && self.now >= self.next_subscribe_at {
            out.push(Action::Subscribe(true));
            // Never without a pause.
            self.next_subscribe_at =
                self.now + self.settings.resubscribe_within.max(MAX_DISCOVERY_PAUSE_US / 16);
            self.tasks.schedule(self.next_subscribe_at, ScheduledTask::Subscribe);
        }
    }

    /// Subscribes again after a growing, random delay: discovery has little capacity for retries.
    fn handle_discovery_failure(&mut self, out: &mut Vec<Action>) {
        let delay = self.discovery_backoff.pause(
            self.settings.resubscribe_within / 16,
            MAX_DISCOVERY_PAUSE_US,
            &mut self.rng,
        );
        (self.subscribed, self.next_subscribe_at) = (false, self.now + delay);
        self.schedule_after(delay, ScheduledTask::Subscribe);
        out.push(Action::Log("discovery call failed or subscription lost: asking again".into()));
    }

    /// Adjusts the admission level to the recent overload, updates all estimates, and sends metrics to peers.
    fn review(&mut self, out: &mut Vec<Action>) {
        let period = (self.max_target_latency / 8).max(self.settings.tick).max(1);
        let before = self.admission_level;
        let overload = self.peers.overload(&self.overload);
        self.review_servers(overload, period);
        let warm_up_decay = (-(period as f64) / self.settings.warm_up_time.max(1) as f64).exp();
        self.recent_class_weights.iter_mut().for_each(|w| *w *= warm_up_decay);
        self.zone_router.decay(warm_up_decay);
        self.weigh_machine_types();
        let overload = overload.value();
        let (floor, hold) = if overload > SEVERE_OVERLOAD {
            (MIN_ADMISSION_LEVEL, false)
        } else {
            (QUOTA_ADMISSION_LEVEL, overload > QUOTA_OVERLOAD)
        };
        let rise = if self.storm && self.settings.storm_mitigation.limit_retries {
            STORM_ADMISSION_LEVEL_RISE
        } else {
            ADMISSION_LEVEL_RISE
        };
        self.admission_level = match overload > SEVERE_OVERLOAD || (hold && before > QUOTA_ADMISSION_LEVEL) {
            true => (before * ADMISSION_LEVEL_FALL).max(floor),
            false => (before * rise).min(if hold { QUOTA_ADMISSION_LEVEL } else { MAX_ADMISSION_LEVEL }),
        };
        log_crossing(
            out,
            before,
            self.admission_level,
            MAX_ADMISSION_LEVEL,
            "shedding over quota has begun",
            "shedding has ended",
        );
        self.overload.decay(REVIEW_DECAY);
        let key_load_decay = 1.0 - period as f64 / (KEY_LOAD_DECAY_TARGETS * self.max_target_latency as f64);
        self.key_load.decay(key_load_decay);
        self.machine_types.values_mut().for_each(|t| t.latency.decay(key_load_decay));
        self.admitted.roll(period);
        self.served.iter_mut().for_each(|s| s.roll(period));
        self.tenant_states.iter_mut().for_each(|t| t.rate.roll(period));
        self.review_count += 1;
        self.peers.forget_silent_since(
            self.now.saturating_sub(period * Micros::from(REVIEWS_PER_MESSAGE * METRICS_LIFETIME_MESSAGES)),
        );
        if self.settings.may_send_to_peers && self.review_count.is_multiple_of(REVIEWS_PER_MESSAGE) {
            self.send_metrics_to_peers(out);
        }
        self.close_idle_connections(overload, out);
        let max_window = self.settings.classes.iter().filter_map(Class::dedup_window).max().unwrap_or(0);
        self.keyed_writes.forget_before(self.now.saturating_sub(2 * max_window));
        self.refusal_log.report(self.now, self.admission_level, self.gate.limit, out);
        self.servers.retain(|_, s| s.entry.condition != Condition::Gone || s.in_flight > 0);
        self.schedule_after(period, ScheduledTask::Review);
    }

    /// Closes idle connections under overload: a request sent on one may be lost unnoticed, and full
    /// connection tables take capacity and shut others out. Otherwise idle connections are kept, since new
    /// ones cost time, work and money. None are closed while new ones are not established in time, nor those
    /// that one of many nodes needs only now and then: all nodes would reopen what all had closed. Under
    /// overload of another cause the rule makes many requests wait for a new connection.
    fn close_idle_connections(&mut self, overload: f64, out: &mut Vec<Action>) {
        if overload.max(self.lost_connections.value()) > QUOTA_OVERLOAD
            && self.slow_connects.value() < KEEP_IDLE_SLOW_CONNECTS
        {
            let use_interval = self.ready_servers(false).count() as f64 * 1e6 / self.admitted.per_s.max(0.01);
            let idle_time = (self.max_target_latency as f64 * IDLE_TARGETS)
                .max(use_interval * IDLE_USE_INTERVALS) as Micros;
            let since = self.now.saturating_sub(idle_time);
            let idle = |server: &&mut Server| {
                server.connected
                    && server.in_flight == 0
                    && server.last_outcome_at.max(server.last_used_at) <= since
            };
            for server in self.servers.values_mut().filter(idle) {
                server.connected = false;
                out.push(Action::CloseIdle(server.entry.id));
            }
        }
        self.slow_connects.decay(SLOW_CONNECTS_DECAY);
        self.lost_connections.decay(REVIEW_DECAY);
    }

    /// Sends the metrics of this node to the next few peers.
    fn send_metrics_to_peers(&mut self, out: &mut Vec<Action>) {
        let bytes = Peers::message(&self.overload, &self.tenant_states, &self.machine_types, &self.servers);
        let recipients = Peers::next_recipients(
            &mut self.last_recipient,
            self.settings.node_index,
            self.settings.node_count,
            PEERS_PER_MESSAGE,
        );
        out.extend(
            recipients.into_iter().map(|to| Action::SendToPeers { to: Some(to), bytes: bytes.clone() }),
        );
    }
}
