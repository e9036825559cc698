//! The rules that a run must keep, checked after each observed event, from the observations of the stubs
//! alone.
//!
//! 1. **One answer.** Each request that a node accepts gets exactly one final reply within its time-out; a
//!    value in it must come from a server that made it for this request.
//! 2. **No effect twice.** An attempt that may have run is retried only as its class allows.
//! 3. **Drains.** No new attempt reaches a cache server later than the grace period after the node was
//!    notified that it drains or is gone. A node counts as notified a few seconds after discovery listed the
//!    change and was reachable, whether or not the node asked.
//! 4. **Cold boxes.** No cold cache server collapses under work of which two thirds came from nodes that knew
//!    of its start.
//! 5. **Caps.** A node's outstanding calls at the origin, and its calls in a window, stay below its limits;
//!    so does the sum over all nodes.
//! 6. **At once.** A request that has no outstanding attempt and waits for nothing gets its reply without
//!    delay.
//! 7. **Bounds.** Open descriptors stay within the node's limit, and no connection without a finished command
//!    is kept.
//! 8. **One plan.** At most one node leads at a time, no plan number stands for two plans, and no running
//!    node goes back to a plan with a lower number.
//! 9. **No swinging.** No zone is given up more than a few times within some seconds.
//! 10. **Bound to zones.** A request of a class that is restricted to zones reaches no cache server outside
//!     them.
//! 11. **Over.** Once a request is answered or its client has left, no further attempt starts.
//! 12. **Time left.** The remaining time that an attempt carries is at most what is left to its client: the
//!     time-out that the client sent, counted from when its last byte was written, plus 50 ms slack and the
//!     network delay from the client to the server. A request that is sent again because the connection closed
//!     underneath it has less time left then: an attempt that was already under way may carry the remaining
//!     time of the first sending.
//! 13. **Ready.** A node whose system calls fail during its start is ready within seconds.
//! 14. **Backoff.** A system call that keeps failing is not retried without a pause.
//! 15. **Retirement.** Four seconds after a drain was requested, the node holds no connection that is idle or
//!     has a request from the last two seconds; a process that was asked to stop has exited by the time at
//!     which it may be killed.
//! 16. **Own key.** Every served value is one that the key of its request had between request and reply;
//!     where each request has a value of its own, it was made for a request for the same key.
//!
//! The limits of rule 5 are those of the policy's origin gate, whose constants are not part of its interface:
//! outstanding calls of all nodes together are the larger of 80 and a tenth of a second of all quotas; each
//! node has an equal share of them, clamped to 2..20. Per window, a node may make its share of all quotas,
//! but at least 30 calls per second.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::agreement::ReportedPlan as Agreed;
use crate::observe::{AttemptOutcome, NodeIndex, Observation, ObservedEvent, Phase, RequestId, ServerIndex};
use crate::scenario::{Effect, Scenario};
use crate::values::{Value, Values};

mod agreement;
mod answers;
mod attempts;
mod lists;
mod origin_caps;
mod values;

/// Added to each limit: two network delays between zones, and the resolution of the clock.
const SLACK: Duration = Duration::from_millis(50);
/// Outstanding origin calls of all nodes together: at least this many.
const ORIGIN_CALLS_MIN: f64 = 80.0;
/// Outstanding origin calls of all nodes together, in seconds of all quotas.
const ORIGIN_CALLS_QUOTA_S: f64 = 0.1;
/// Bounds of a node's share of the outstanding origin calls.
const NODE_ORIGIN_CALLS_MIN: f64 = 2.0;
const NODE_ORIGIN_CALLS_MAX: f64 = 20.0;
/// The window in which calls are counted, as a share of the longest latency target.
const CALL_WINDOW_SHARE: f64 = 0.25;
/// Calls per second that a node may make in a window: at least this many.
const CALLS_PER_S_MIN: f64 = 30.0;
/// A node is ready this long after its start, even if its sockets cannot be opened for half of that time.
const READY_WITHIN: Duration = Duration::from_secs(3);
/// Requests are kept for this long for attempts that arrive late.
const REQUEST_RETENTION: Duration = Duration::from_secs(40);

/// Identifies a rule; see the module documentation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// One final reply in time.
    OneAnswer,
    /// No effect twice.
    NoEffectTwice,
    /// Draining cache servers get no new attempts.
    Drains,
    /// No cold cache server collapses.
    ColdBoxes,
    /// Limits of calls at the origin.
    Caps,
    /// A request without outstanding attempts is answered at once.
    AtOnce,
    /// Descriptors and connections are bounded.
    Bounds,
    /// One plan of zones at a time.
    OnePlan,
    /// Plans do not oscillate.
    NoSwinging,
    /// Classes that are restricted to zones stay there.
    BoundToZones,
    /// No attempts for finished requests.
    Over,
    /// An attempt carries no more time than its client has left.
    TimeLeft,
    /// Ready in time after a start.
    Ready,
    /// A pause between failing calls.
    Backoff,
    /// Connections are closed in time after a drain, and processes exit.
    Retirement,
    /// A served value belongs to the key of its request.
    OwnKey,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, in milliseconds since the start of the run.
    pub at_ms: f64,
    /// What was observed.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.0} ms: {}", self.rule, self.at_ms, self.what)
    }
}

/// What is known about an attempt.
#[derive(Clone, Copy, PartialEq, Debug)]
enum AttemptState {
    Outstanding,
    NotRun,
    MayHaveRun,
}

struct Attempt {
    server: ServerIndex,
    arrived_at: Duration,
    state: AttemptState,
    /// The value of its response.
    value: Option<Value>,
    /// Its response may never have reached the node, which then still waits for it.
    response_lost: bool,
    /// The incarnation of its node when it arrived; calls at the origin are counted per incarnation.
    incarnation: u64,
}

struct Request {
    node: NodeIndex,
    class: usize,
    key: u64,
    /// How often the key had been written when the request was sent.
    version: u64,
    sent_at: Duration,
    time_out: Duration,
    /// For a request that was sent again: the end of the client's time-out as of the first sending.
    first_time_out_ends: Option<Duration>,
    incarnation: u64,
    answered: bool,
    closed: bool,
    /// When it was answered, or its client left.
    ended_at: Option<Duration>,
    executions: u32,
    attempts: Vec<Attempt>,
    /// The last time that something about it happened at a cache server or the origin.
    last_activity: Duration,
}

#[derive(Default)]
struct KnownServer {
    /// Since when the cache server is not ready according to the lists sent to this node.
    not_ready_since: Option<Duration>,
    started_ms: u64,
    start_known_since: Duration,
}

#[derive(Default)]
struct NodeState {
    up: bool,
    /// When its process started.
    started_at: Duration,
    incarnation: u64,
    known_servers: BTreeMap<ServerIndex, KnownServer>,
    origin_calls: u32,
    over_limit_since: Option<Duration>,
    recent_calls: VecDeque<Duration>,
    /// The number of the plan that it applies.
    plan: (u32, u32, u16),
}

struct ColdServer {
    started_ms: u64,
    recent_work: VecDeque<(Duration, NodeIndex, f64)>,
}

/// Checks the rules against the observations of a run.
pub struct Checker {
    classes: Vec<(Effect, Duration, Duration)>,
    rules: crate::scenario::Rules,
    origin: ServerIndex,
    max_sockets: usize,
    call_limit: f64,
    window_limit: f64,
    window: Duration,
    requests: BTreeMap<RequestId, Request>,
    request_order: VecDeque<(Duration, RequestId)>,
    nodes: Vec<NodeState>,
    cold_servers: BTreeMap<ServerIndex, ColdServer>,
    /// Waves of unfinished connections that are running, and when the last one ended.
    pressure_waves: u32,
    pressure_ended_at: Option<Duration>,
    /// When each cache server last ended or was cut off: a response that it was writing then is truncated.
    server_ended_at: BTreeMap<ServerIndex, Duration>,
    /// Cache servers that discovery does not list as ready, and since when.
    not_ready_since: BTreeMap<ServerIndex, Duration>,
    /// Number of faults that currently affect discovery, and since when there is none.
    discovery_faults: u32,
    discovery_healthy_since: Duration,
    /// When the links of each cache server were last restored: what arrives then may have been sent long
    /// before.
    restored_at: BTreeMap<ServerIndex, Duration>,
    /// Cache servers that are unreachable, wholly or in one direction, with the number of faults that cause
    /// it.
    unreachable: BTreeMap<ServerIndex, u32>,
    /// When the last of them became reachable again: what was sent before was not observed.
    all_reachable_since: Duration,
    /// For each class the zones that it is restricted to; cache servers are assigned to zones in turn.
    class_zones: Vec<Vec<usize>>,
    /// The longest network delay from a client through a node to a cache server; `None` where it is
    /// unbounded.
    max_delay: Option<Duration>,
    /// Delay to a cache server, or to it and back, in addition to that of the scenario.
    extra_server_delay: Duration,
    zone_count: usize,
    initial_servers: usize,
    /// The description of each plan by its number.
    plans: BTreeMap<(u32, u32, u16), String>,
    /// The nodes that lead, and since when.
    leaders: BTreeMap<NodeIndex, Duration>,
    /// The number of the newest plan and the zones that it gives up; when each zone was recently given up.
    given_up_now: ((u32, u32, u16), Vec<String>),
    given_up_at: BTreeMap<String, VecDeque<Duration>>,
    /// What values look like, and how often each key was written.
    values: Values,
    versions: BTreeMap<u64, u64>,
    violations: Vec<Violation>,
    observations: u64,
}

/// Outstanding calls that a node may have at the origin.
pub fn origin_call_limit(scenario: &Scenario) -> f64 {
    let quotas: f64 = scenario.tenant.iter().map(|t| t.quota).sum();
    (ORIGIN_CALLS_MIN.max(quotas * ORIGIN_CALLS_QUOTA_S) / scenario.nodes.count as f64)
        .clamp(NODE_ORIGIN_CALLS_MIN, NODE_ORIGIN_CALLS_MAX)
}

/// The earliest time at which a node can have known of a request. Under connection pressure a connection
/// waits before it is accepted, and the node cannot measure that time; `first_attempt` is when the first
/// attempt arrived in that case.
fn earliest_known(sent_at: Duration, first_attempt: Option<Duration>) -> Duration {
    first_attempt.map_or(sent_at, |arrived| sent_at.max(arrived.saturating_sub(SLACK)))
}

impl Checker {
    /// Disables rule 12, for networks with unbounded delay such as relays that delay or stop: the remaining
    /// time at the moment of writing cannot be derived from the arrival time there.
    pub fn with_unbounded_delay(mut self) -> Checker {
        self.max_delay = None;
        self
    }

    /// Allows for a network that delays packets to and from cache servers by up to `extra`: what arrives late
    /// may have been sent in time, and a response may not have reached the node yet.
    pub fn with_extra_server_delay(self, extra: Duration) -> Checker {
        Checker { extra_server_delay: extra, ..self }
    }

    /// A checker for a scenario; `origin` is the index of the origin.
    pub fn new(scenario: &Scenario, origin: ServerIndex) -> Checker {
        let ms = Duration::from_millis;
        let nodes = scenario.nodes.count as f64;
        let longest_target = scenario.class.iter().map(|c| c.aim_ms).max().unwrap_or(1000);
        let window = Duration::from_millis(longest_target).mul_f64(CALL_WINDOW_SHARE);
        let quotas: f64 = scenario.tenant.iter().map(|t| t.quota).sum();
        let network = &scenario.network;
        let node_quota = if quotas > 0.0 { quotas / nodes } else { f64::INFINITY };
        Checker {
            classes: scenario.class.iter().map(|c| (c.effect, ms(c.window_ms), ms(c.aim_ms))).collect(),
            rules: scenario.rules.clone(),
            origin,
            max_sockets: scenario.nodes.sockets,
            call_limit: origin_call_limit(scenario),
            window_limit: node_quota.max(CALLS_PER_S_MIN) * window.as_secs_f64(),
            window,
            requests: BTreeMap::new(),
            request_order: VecDeque::new(),
            nodes: (0..scenario.nodes.count).map(|_| NodeState::default()).collect(),
            cold_servers: BTreeMap::new(),
            pressure_waves: 0,
            pressure_ended_at: None,
            server_ended_at: BTreeMap::new(),
            not_ready_since: BTreeMap::new(),
            discovery_faults: 0,
            discovery_healthy_since: Duration::ZERO,
            restored_at: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            all_reachable_since: Duration::ZERO,
            class_zones: scenario
                .class
                .iter()
                .map(|c| {
                    let place = |name: &String| scenario.zones.iter().position(|z| z == name);
                    c.only_zones.iter().filter_map(place).collect()
                })
                .collect(),
            max_delay: Some(Duration::from_secs_f64(
                2.0 * network.across_ms[1].max(network.within_ms[1]) / 1e3,
            )),
            extra_server_delay: Duration::ZERO,
            zone_count: scenario.zones.len(),
            initial_servers: scenario.boxes.count,
            plans: BTreeMap::new(),
            leaders: BTreeMap::new(),
            given_up_now: Default::default(),
            given_up_at: BTreeMap::new(),
            values: scenario.load.values,
            versions: BTreeMap::new(),
            violations: Vec::new(),
            observations: 0,
        }
    }

    /// The violations so far, in order.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// The number of observations so far.
    pub fn observation_count(&self) -> u64 {
        self.observations
    }

    fn add_violation(&mut self, at: Duration, rule: Rule, what: String) {
        // A few examples of each rule suffice.
        if self.violations.iter().filter(|v| v.rule == rule).count() < 5 {
            self.violations.push(Violation { rule, at_ms: at.as_secs_f64() * 1e3, what });
        }
    }

    /// Checks one observation. Observations must come in the order of their times.
    pub fn observe(&mut self, observation: &Observation) {
        self.observations += 1;
        let now = observation.at;
        if self.leaders.len() > 1 {
            self.check_single_leader(now);
        }
        match &observation.event {
            ObservedEvent::RequestSent { request, node, class, key, timeout, .. } => {
                let (node, class) = (*node, *class);
                let incarnation = self.nodes[node].incarnation;
                let before = self.requests.get(request);
                let entry = Request {
                    node,
                    class,
                    key: *key,
                    version: self.version(*key),
                    sent_at: now,
                    time_out: *timeout,
                    first_time_out_ends: before.map(|before| before.sent_at + before.time_out),
                    incarnation,
                    answered: false,
                    closed: false,
                    ended_at: None,
                    executions: 0,
                    attempts: Vec::new(),
                    last_activity: now,
                };
                // Sent again after a close of its connection: the same request.
                if let Some(old) = self.requests.insert(*request, entry)
                    && old.answered
                {
                    self.add_violation(
                        now,
                        Rule::OneAnswer,
                        format!("request {request:x} was sent again after its reply"),
                    );
                }
                self.request_order.push_back((now, *request));
                self.drop_old_requests(now);
            }
            ObservedEvent::ReplyReceived { request, reply, slow_reader } => {
                self.reply_received(now, *request, *reply, *slow_reader)
            }
            ObservedEvent::UnsolicitedReply { node } => {
                self.add_violation(now, Rule::OneAnswer, format!("node {node} sent an unsolicited reply"));
            }
            ObservedEvent::MalformedReply { request } => {
                self.add_violation(now, Rule::OneAnswer, format!("request {request:x}: malformed reply"));
            }
            ObservedEvent::RacedWithClose { request } => {
                if self.requests.get(request).is_some_and(|r| !r.attempts.is_empty()) {
                    self.request_unanswered(
                        now,
                        *request,
                        "its connection was closed although an attempt had started",
                    );
                } else if let Some(r) = self.requests.get_mut(request) {
                    r.closed = true;
                }
            }
            ObservedEvent::ConnectionLost { request, connect_started } => {
                // Sent on a connection that the predecessor process had accepted, before its end reached the
                // client: the current process has never seen the request.
                let before = self
                    .requests
                    .get(request)
                    .is_some_and(|r| *connect_started < self.nodes[r.node].started_at);
                if before && let Some(r) = self.requests.get_mut(request) {
                    r.closed = true;
                } else {
                    self.request_unanswered(now, *request, "its connection ended without a reply");
                }
            }
            ObservedEvent::TruncatedReply { request } => self.reply_truncated(now, *request),
            ObservedEvent::ConnectionsAfterDrain { node, idle, recent } => {
                let what = format!(
                    "node {node} holds {idle} idle connections and {recent} with recent requests 4 s after its drain"
                );
                self.add_violation(now, Rule::Retirement, what);
            }
            ObservedEvent::StopOverdue { node } => {
                let what = format!("node {node} had not exited when it could be killed");
                self.add_violation(now, Rule::Retirement, what);
            }
            ObservedEvent::StalledConnectionKept { node, connected_at } => {
                // A connection from before the start of the process waited in the accept queue meanwhile.
                if self.nodes[*node].up && self.nodes[*node].started_at <= *connected_at {
                    let what = format!("node {node} keeps a connection without a finished command");
                    self.add_violation(now, Rule::Bounds, what);
                }
            }
            ObservedEvent::ClientLeft { request, early } => {
                self.requests.entry(*request).and_modify(|r| r.ended_at = Some(now));
                if *early {
                    if let Some(r) = self.requests.get_mut(request) {
                        r.closed = true;
                    }
                } else {
                    self.request_unanswered(now, *request, "no reply before its client left");
                }
            }
            ObservedEvent::AttemptArrived { server, node, request, work, received_at, deadline, .. } => {
                self.check_remaining_time(now, *received_at, *server, *request, *deadline);
                self.check_sent_in_time(*received_at, now, *server, *request);
                self.attempt_arrived(now, *server, *node, *request, *work);
            }
            ObservedEvent::AttemptEnded { server, node, request, outcome } => {
                let state = match outcome {
                    AttemptOutcome::Value(_)
                    | AttemptOutcome::Failed
                    | AttemptOutcome::Dropped { started: true } => AttemptState::MayHaveRun,
                    AttemptOutcome::Miss
                    | AttemptOutcome::Busy
                    | AttemptOutcome::Dropped { started: false } => AttemptState::NotRun,
                };
                let response_lost = matches!(outcome, AttemptOutcome::Dropped { .. })
                    || self.unreachable.contains_key(server);
                if let AttemptOutcome::Value(value) = outcome {
                    self.value_returned(*server, *request, *value);
                }
                self.attempt_settled(now, *server, *node, *request, state, response_lost);
            }
            ObservedEvent::AttemptAbandoned { server, node, request } => {
                self.attempt_settled(now, *server, *node, *request, AttemptState::MayHaveRun, false);
            }
            ObservedEvent::WriteExecuted { request, key, .. } => {
                *self.versions.entry(*key).or_default() += 1;
                let Some(r) = self.requests.get_mut(request) else { return };
                r.executions += 1;
                if r.executions > 1 {
                    self.add_violation(now, Rule::NoEffectTwice, format!("request {request:x} ran twice"));
                }
            }
            ObservedEvent::StartupChecked { node, elapsed, ready } if !ready || *elapsed > READY_WITHIN => {
                let what = format!("node {node} is ready {ready} {elapsed:?} after its start");
                self.add_violation(now, Rule::Ready, what);
            }
            ObservedEvent::BusyLoop { node, call } => {
                let what = format!("node {node} retries {call:?} without a pause while it fails");
                self.add_violation(now, Rule::Backoff, what);
            }
            ObservedEvent::StartupChecked { .. } => {}
            ObservedEvent::PlanAdopted { node, plan } => self.plan_adopted(now, *node, plan),
            ObservedEvent::LeadershipChanged { node, leads: false } => drop(self.leaders.remove(node)),
            ObservedEvent::LeadershipChanged { node, leads: true } => {
                self.leaders.insert(*node, now);
            }
            ObservedEvent::Listed { server, phase: Phase::Ready } => {
                self.not_ready_since.remove(server);
            }
            ObservedEvent::Listed { server, .. } => {
                self.not_ready_since.entry(*server).or_insert(now);
            }
            ObservedEvent::DiscoveryHealth { healthy: false } => self.discovery_faults += 1,
            ObservedEvent::DiscoveryHealth { healthy: true } => {
                self.discovery_faults = self.discovery_faults.saturating_sub(1);
                self.discovery_healthy_since = now;
            }
            ObservedEvent::Fault(_)
            | ObservedEvent::DuplicateWriteDropped { .. }
            | ObservedEvent::ClientConnected { .. }
            | ObservedEvent::DuplicateResponse { .. } => {}
            ObservedEvent::ListSent { node, full, servers, .. } => self.list_sent(now, *node, *full, servers),
            ObservedEvent::CacheServerStarted { server, started_ms, cold, .. } => {
                self.cold_servers.remove(server);
                if *cold {
                    self.cold_servers.insert(
                        *server,
                        ColdServer { started_ms: *started_ms, recent_work: VecDeque::new() },
                    );
                }
            }
            ObservedEvent::ReachabilityChanged { server, unreachable } => {
                if *unreachable {
                    self.server_ended_at.insert(*server, now);
                    *self.unreachable.entry(*server).or_default() += 1;
                    for r in self.requests.values_mut().filter(|r| !r.answered) {
                        r.attempts
                            .iter_mut()
                            .filter(|a| a.server == *server)
                            .for_each(|a| a.response_lost = true);
                    }
                } else {
                    let cuts = self.unreachable.entry(*server).or_default();
                    *cuts = cuts.saturating_sub(1);
                    if *cuts == 0 {
                        self.unreachable.remove(server);
                    }
                    self.restored_at.insert(*server, now);
                    self.all_reachable_since = now;
                }
            }
            ObservedEvent::ConnectionPressure { begins: true } => self.pressure_waves += 1,
            ObservedEvent::ConnectionPressure { begins: false } => {
                self.pressure_waves = self.pressure_waves.saturating_sub(1);
                self.pressure_ended_at = Some(now);
            }
            ObservedEvent::CacheServerEnded { server } => drop(self.server_ended_at.insert(*server, now)),
            ObservedEvent::CacheServerCollapsed { server } => self.server_collapsed(now, *server),
            ObservedEvent::NodeStarted { node } => {
                let incarnation = self.nodes[*node].incarnation + 1;
                self.nodes[*node] =
                    NodeState { up: true, started_at: now, incarnation, ..NodeState::default() };
            }
            ObservedEvent::NodeStopping { .. } => {}
            ObservedEvent::NodeEnded { node, .. } => {
                let incarnation = self.nodes[*node].incarnation;
                self.leaders.remove(node);
                self.nodes[*node] =
                    NodeState { up: false, incarnation: incarnation + 1, ..NodeState::default() };
            }
            ObservedEvent::OpenSockets { node, count } => {
                if *count > self.max_sockets {
                    let what = format!("node {node} holds {count} sockets of {}", self.max_sockets);
                    self.add_violation(now, Rule::Bounds, what);
                }
            }
        }
    }

    /// Ends the run: each request must have been answered.
    pub fn finish(&mut self, at: Duration) {
        let open: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| !r.answered && !r.closed).map(|(id, _)| *id).collect();
        for id in open {
            self.request_unanswered(at, id, "no reply at the end of the run");
        }
    }

    fn drop_old_requests(&mut self, now: Duration) {
        while self.request_order.front().is_some_and(|(sent_at, _)| *sent_at + REQUEST_RETENTION < now) {
            let Some((sent_at, id)) = self.request_order.pop_front() else { return };
            if self.requests.get(&id).is_some_and(|r| r.sent_at == sent_at) {
                self.requests.remove(&id);
            }
        }
    }
}
