//! The rules, judged from what the stand-ins see and nothing else, after each thing seen.
//!
//! 1. **One answer.** What a node has taken gets one final answer in its time; never two, never none, and no value
//!    that no box made for this request.
//! 2. **No effect twice.** An attempt that may have run is repeated only as its class allows.
//! 3. **Drains.** Nothing new to a box later than the grace after the node was told that it drains or is gone. It counts as
//!    told some seconds after discovery had it and could be reached, whether or not the node asked.
//! 4. **Cold boxes.** None is pushed over with work of which two thirds came from nodes that knew of its start.
//! 5. **Caps.** The calls of a node that are out at the origin, and those of a window, stay under its caps; so does
//!    their sum.
//! 6. **At once.** A request for which nothing is out and nothing is waited for gets its answer without delay.
//! 7. **Bounds.** Descriptors stay within what the node was given, and no connection is kept that finishes no command.
//! 8. **One plan.** At most one node decides at a time, no number stands for two plans, and no node goes back to a lower one while
//!    it lives.
//! 9. **No swinging.** No zone is given up more than a few times within some seconds.
//! 10. **Bound to zones.** A request of a class that is bound to zones reaches no box outside them.
//! 11. **Over.** What has been answered, or whose client has gone, is not sent on: no attempt begins later.
//! 12. **Time left.** The time that an attempt tells is at most what is left to its client: what the client told, counted
//!     from when its last byte was written, with a slack of 50 ms and the ways from the client and to the server. A request that
//!     is sent once more because a close crossed it has less left the second time: an attempt that was under way then tells
//!     what it had the first time.
//! 13. **Ready.** A node whose system calls fail at its start is ready within seconds of it.
//! 14. **Backoff.** A system call that goes on failing is not made again and again without a pause.
//!
//! 15. **Retirement.** Four seconds after a drain was told, the node holds no connection that is idle or has a request from the
//!     last two; a process that was told to stop has ended by itself when it may be killed.
//! 16. **Own key.** Every value that is served is one that the key of its request had between the request and the
//!     answer; where each request has a value of its own, it was made for a request of the same key.
//!
//! The caps of rule 5 are those of the decision module's gate (its constants are no part of its interface): a part of
//! 80 calls out, or of a tenth of all quotas a second, for each node, 2 to 20 of them, and in a window the greater of
//! its part of all quotas and 30 a second.

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

/// On top of each limit: two ways across zones, and the grain of the clock.
const SLACK: Duration = Duration::from_millis(50);
/// Calls out of all nodes together, of which each has its part: at least, and in seconds of all quotas.
const CAP: (f64, f64) = (80.0, 0.1);
/// The bounds of a node's part.
const CAP_PART: (f64, f64) = (2.0, 20.0);
/// The window of the tally in longest aims; calls a second at least.
const WINDOW: (f64, f64) = (0.25, 30.0);
/// A node is ready so long after its start, though its sockets can't be opened for half of that.
const READY: Duration = Duration::from_secs(3);
/// Requests that ended are remembered for attempts that come late.
const REMEMBERED: Duration = Duration::from_secs(40);

/// Which rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// One final answer in time.
    OneAnswer,
    /// No effect twice.
    NoEffectTwice,
    /// Drains kept.
    Drains,
    /// No cold box pushed over.
    ColdBoxes,
    /// The origin's caps.
    Caps,
    /// Given up is answered at once.
    AtOnce,
    /// Descriptors bounded.
    Bounds,
    /// One plan of zones.
    OnePlan,
    /// Plans do not swing.
    NoSwinging,
    /// Bound to zones.
    BoundToZones,
    /// Nothing is sent on for what is over.
    Over,
    /// An attempt tells no more time than is left.
    TimeLeft,
    /// Ready in time after a start.
    Ready,
    /// A pause between calls that fail.
    Backoff,
    /// Connections go in time after a drain, and processes end.
    Retirement,
    /// A value that is served is one of its request's key.
    OwnKey,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// When, in milliseconds from the beginning.
    pub at_ms: f64,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.0} ms: {}", self.rule, self.at_ms, self.what)
    }
}

/// What became of an attempt.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fate {
    Out,
    NotRun,
    MayHaveRun,
}

struct Attempt {
    at: ServerIndex,
    arrived: Duration,
    fate: Fate,
    /// The value that it was answered with.
    gave: Option<Value>,
    /// Its answer may never have reached the node, which waits for it then.
    unheard: bool,
    /// The life of its node in which it arrived: its counters are of that life.
    life: u64,
}

struct Request {
    node: NodeIndex,
    class: usize,
    key: u64,
    /// How often the key had been written when it was asked.
    version: u64,
    asked: Duration,
    patience: Duration,
    /// Of one that was sent once more: until when its client said, the time before, that it would wait.
    said_before: Option<Duration>,
    life: u64,
    answered: bool,
    over: bool,
    /// When it was answered, or its client left.
    ended: Option<Duration>,
    executed: u32,
    attempts: Vec<Attempt>,
    /// When something about it last happened at a box or the origin.
    stirred: Duration,
}

#[derive(Default)]
struct Told {
    /// Since when the box is not ready as far as this node was told, and the start that the node knows.
    unready: Option<Duration>,
    start: u64,
    known_since: Duration,
}

#[derive(Default)]
struct Node {
    up: bool,
    /// When its process began.
    began: Duration,
    life: u64,
    told: BTreeMap<ServerIndex, Told>,
    out: u32,
    over_since: Option<Duration>,
    window: VecDeque<Duration>,
    /// The number of the plan that it acts on.
    plan: (u32, u32, u16),
}

struct Cold {
    start: u64,
    arrived: VecDeque<(Duration, NodeIndex, f64)>,
}

/// The checker.
pub struct Checker {
    classes: Vec<(Effect, Duration, Duration)>,
    rules: crate::scenario::Rules,
    origin: ServerIndex,
    sockets: usize,
    cap: f64,
    tally: f64,
    window: Duration,
    requests: BTreeMap<RequestId, Request>,
    order: VecDeque<(Duration, RequestId)>,
    nodes: Vec<Node>,
    cold: BTreeMap<ServerIndex, Cold>,
    /// Crowds that there are now, and when the last one was over.
    crowds: u32,
    crowd_over: Option<Duration>,
    /// When a box last ended or was cut off: what it was writing then is not whole.
    ended: BTreeMap<ServerIndex, Duration>,
    /// Boxes that discovery does not have as ready, and since when.
    unlisted: BTreeMap<ServerIndex, Duration>,
    /// What hinders discovery now, and since when nothing does.
    hindered: u32,
    sound_since: Duration,
    /// When a box's links were last mended: what comes then may have been sent long before.
    mended: BTreeMap<ServerIndex, Duration>,
    /// Boxes that are cut off now, wholly or in one direction.
    away: BTreeMap<ServerIndex, u32>,
    /// When the last of them could be reached again: until then words were under way that nobody here saw.
    clear_since: Duration,
    /// By class, the zones it is bound to; by zone of a box, how they are dealt out.
    bound: Vec<Vec<usize>>,
    /// The longest that words are under way from a client to a node and on to a cache server; `None` where nothing bounds it.
    ways: Option<Duration>,
    /// By so much more words may be under way to a cache server, or to it and back, than the scenario says.
    late_ways: Duration,
    zones: usize,
    boxes: usize,
    /// What each plan's number stands for.
    plans: BTreeMap<(u32, u32, u16), String>,
    /// Who decides, and since when.
    deciding: BTreeMap<NodeIndex, Duration>,
    /// The zones that the newest plan gives up, its number, and when each zone was given up lately.
    away_now: ((u32, u32, u16), Vec<String>),
    given_up: BTreeMap<String, VecDeque<Duration>>,
    /// What values look like, and how often each key was written.
    values: Values,
    versions: BTreeMap<u64, u64>,
    violations: Vec<Violation>,
    seen: u64,
}

/// Calls that a node may have out at the origin.
pub fn cap(scenario: &Scenario) -> f64 {
    let quotas: f64 = scenario.tenant.iter().map(|t| t.quota).sum();
    (CAP.0.max(quotas * CAP.1) / scenario.nodes.count as f64).clamp(CAP_PART.0, CAP_PART.1)
}

/// Since when a node can have known of a request: in a crowd a connection waits before it is accepted, and the node can't
/// count that time. `crowded` is when the first attempt of a request in a crowd arrived.
fn known_since(asked: Duration, crowded: Option<Duration>) -> Duration {
    crowded.map_or(asked, |arrived| asked.max(arrived.saturating_sub(SLACK)))
}

impl Checker {
    /// The same for a network that holds words for as long as it likes, as relays do that delay or stop: what an attempt told
    /// when it was written can't be worked out from when it came, so that rule 12 is not judged.
    pub fn with_unbounded_delay(mut self) -> Checker {
        self.ways = None;
        self
    }

    /// The same for a network that holds words to cache servers back, there and back for so long at most: what arrives late may
    /// have been sent in time, and what a server has long answered may not have reached the node.
    pub fn with_extra_server_delay(self, late: Duration) -> Checker {
        Checker { late_ways: late, ..self }
    }

    /// A checker of a scenario in which the origin has this number.
    pub fn new(scenario: &Scenario, origin: ServerIndex) -> Checker {
        let ms = Duration::from_millis;
        let nodes = scenario.nodes.count as f64;
        let aim = scenario.class.iter().map(|c| c.aim_ms).max().unwrap_or(1000);
        let window = Duration::from_millis(aim).mul_f64(WINDOW.0);
        let quotas: f64 = scenario.tenant.iter().map(|t| t.quota).sum();
        let network = &scenario.network;
        let rate = if quotas > 0.0 { quotas / nodes } else { f64::INFINITY };
        Checker {
            classes: scenario.class.iter().map(|c| (c.effect, ms(c.window_ms), ms(c.aim_ms))).collect(),
            rules: scenario.rules.clone(),
            origin,
            sockets: scenario.nodes.sockets,
            cap: cap(scenario),
            tally: rate.max(WINDOW.1) * window.as_secs_f64(),
            window,
            requests: BTreeMap::new(),
            order: VecDeque::new(),
            nodes: (0..scenario.nodes.count).map(|_| Node::default()).collect(),
            cold: BTreeMap::new(),
            crowds: 0,
            crowd_over: None,
            ended: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            hindered: 0,
            sound_since: Duration::ZERO,
            mended: BTreeMap::new(),
            away: BTreeMap::new(),
            clear_since: Duration::ZERO,
            bound: scenario
                .class
                .iter()
                .map(|c| {
                    let place = |name: &String| scenario.zones.iter().position(|z| z == name);
                    c.only_zones.iter().filter_map(place).collect()
                })
                .collect(),
            ways: Some(Duration::from_secs_f64(2.0 * network.across_ms[1].max(network.within_ms[1]) / 1e3)),
            late_ways: Duration::ZERO,
            zones: scenario.zones.len(),
            boxes: scenario.boxes.count,
            plans: BTreeMap::new(),
            deciding: BTreeMap::new(),
            away_now: Default::default(),
            given_up: BTreeMap::new(),
            values: scenario.load.values,
            versions: BTreeMap::new(),
            violations: Vec::new(),
            seen: 0,
        }
    }

    /// What was broken so far, in order.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// How much was looked at.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    fn broken(&mut self, at: Duration, rule: Rule, what: String) {
        // One run needs few examples of each.
        if self.violations.iter().filter(|v| v.rule == rule).count() < 5 {
            self.violations.push(Violation { rule, at_ms: at.as_secs_f64() * 1e3, what });
        }
    }

    /// Judges one thing that was seen. They come in the order of their times.
    pub fn observe(&mut self, o: &Observation) {
        self.seen += 1;
        let now = o.at;
        if self.deciding.len() > 1 {
            self.deciders(now);
        }
        match &o.event {
            ObservedEvent::RequestSent { request, node, class, key, timeout: patience, .. } => {
                let (node, class) = (*node, *class);
                let life = self.nodes[node].life;
                let before = self.requests.get(request);
                let entry = Request {
                    node,
                    class,
                    key: *key,
                    version: self.version(*key),
                    asked: now,
                    patience: *patience,
                    said_before: before.map(|before| before.asked + before.patience),
                    life,
                    answered: false,
                    over: false,
                    ended: None,
                    executed: 0,
                    attempts: Vec::new(),
                    stirred: now,
                };
                // Sent once more after a close that crossed it: the same request.
                if let Some(old) = self.requests.insert(*request, entry)
                    && old.answered
                {
                    self.broken(
                        now,
                        Rule::OneAnswer,
                        format!("request {request:x} was answered and asked again"),
                    );
                }
                self.order.push_back((now, *request));
                self.forget(now);
            }
            ObservedEvent::ReplyReceived { request, reply, slow_reader: slow } => {
                self.answered(now, *request, *reply, *slow)
            }
            ObservedEvent::UnsolicitedReply { node } => {
                self.broken(
                    now,
                    Rule::OneAnswer,
                    format!("node {node} sent something that nobody asked for"),
                );
            }
            ObservedEvent::MalformedReply { request } => {
                self.broken(now, Rule::OneAnswer, format!("request {request:x}: what came is no answer"));
            }
            ObservedEvent::RacedWithClose { request } => {
                if self.requests.get(request).is_some_and(|r| !r.attempts.is_empty()) {
                    self.unanswered(now, *request, "it had been taken when its connection was closed");
                } else if let Some(r) = self.requests.get_mut(request) {
                    r.over = true;
                }
            }
            ObservedEvent::ConnectionLost { request, connect_started: begun } => {
                // Asked on a connection that the process before had taken, whose end had not reached the client yet: the process
                // that serves now has never seen it.
                let before = self.requests.get(request).is_some_and(|r| *begun < self.nodes[r.node].began);
                if before && let Some(r) = self.requests.get_mut(request) {
                    r.over = true;
                } else {
                    self.unanswered(now, *request, "its connection ended without an answer");
                }
            }
            ObservedEvent::TruncatedReply { request } => self.cut(now, *request),
            ObservedEvent::ConnectionsAfterDrain { node, idle, recent } => {
                let what = format!(
                    "node {node} holds {idle} idle connections and {recent} with recent requests 4 s after its drain"
                );
                self.broken(now, Rule::Retirement, what);
            }
            ObservedEvent::StopOverdue { node } => {
                let what = format!("node {node} has not ended by itself when it may be killed");
                self.broken(now, Rule::Retirement, what);
            }
            ObservedEvent::StalledConnectionKept { node, connected_at: made } => {
                // One that was made before the process began has waited in the queue of the machine meanwhile.
                if self.nodes[*node].up && self.nodes[*node].began <= *made {
                    let what = format!("node {node} keeps a connection on which no command is finished");
                    self.broken(now, Rule::Bounds, what);
                }
            }
            ObservedEvent::ClientLeft { request, early } => {
                self.requests.entry(*request).and_modify(|r| r.ended = Some(now));
                if *early {
                    if let Some(r) = self.requests.get_mut(request) {
                        r.over = true;
                    }
                } else {
                    self.unanswered(now, *request, "no answer before its client left");
                }
            }
            ObservedEvent::AttemptArrived {
                server: at,
                node,
                request,
                work,
                received_at: came,
                deadline: until,
                ..
            } => {
                self.tells(now, *came, *at, *request, *until);
                self.sent_on(*came, now, *at, *request);
                self.arrived(now, *at, *node, *request, *work);
            }
            ObservedEvent::AttemptEnded { server: at, node, request, outcome: how } => {
                let fate = match how {
                    AttemptOutcome::Value(_)
                    | AttemptOutcome::Failed
                    | AttemptOutcome::Dropped { started: true } => Fate::MayHaveRun,
                    AttemptOutcome::Miss
                    | AttemptOutcome::Busy
                    | AttemptOutcome::Dropped { started: false } => Fate::NotRun,
                };
                let unheard = matches!(how, AttemptOutcome::Dropped { .. }) || self.away.contains_key(at);
                if let AttemptOutcome::Value(value) = how {
                    self.gave(*at, *request, *value);
                }
                self.settle(now, *at, *node, *request, fate, unheard);
            }
            ObservedEvent::AttemptAbandoned { server: at, node, request } => {
                self.settle(now, *at, *node, *request, Fate::MayHaveRun, false);
            }
            ObservedEvent::WriteExecuted { request, key, .. } => {
                *self.versions.entry(*key).or_default() += 1;
                let Some(r) = self.requests.get_mut(request) else { return };
                r.executed += 1;
                if r.executed > 1 {
                    self.broken(now, Rule::NoEffectTwice, format!("request {request:x} ran twice"));
                }
            }
            ObservedEvent::StartupChecked { node, elapsed: after, ready } if !ready || *after > READY => {
                let what = format!("node {node} is ready {ready} {after:?} after its start");
                self.broken(now, Rule::Ready, what);
            }
            ObservedEvent::BusyLoop { node, call } => {
                let what = format!("node {node} makes {call:?} again and again while it fails");
                self.broken(now, Rule::Backoff, what);
            }
            ObservedEvent::StartupChecked { .. } => {}
            ObservedEvent::PlanAdopted { node, plan } => self.acts(now, *node, plan),
            ObservedEvent::LeadershipChanged { node, leads: false } => drop(self.deciding.remove(node)),
            ObservedEvent::LeadershipChanged { node, leads: true } => {
                self.deciding.insert(*node, now);
            }
            ObservedEvent::Listed { server: at, phase: Phase::Ready } => drop(self.unlisted.remove(at)),
            ObservedEvent::Listed { server: at, .. } => {
                self.unlisted.entry(*at).or_insert(now);
            }
            ObservedEvent::DiscoveryHealth { healthy: false } => self.hindered += 1,
            ObservedEvent::DiscoveryHealth { healthy: true } => {
                self.hindered = self.hindered.saturating_sub(1);
                self.sound_since = now;
            }
            ObservedEvent::Fault(_)
            | ObservedEvent::DuplicateWriteDropped { .. }
            | ObservedEvent::ClientConnected { .. }
            | ObservedEvent::DuplicateResponse { .. } => {}
            ObservedEvent::ListSent { node, full: whole, servers: boxes, .. } => {
                self.told(now, *node, *whole, boxes)
            }
            ObservedEvent::CacheServerStarted { server: at, started_ms: start, cold, .. } => {
                self.cold.remove(at);
                if *cold {
                    self.cold.insert(*at, Cold { start: *start, arrived: VecDeque::new() });
                }
            }
            ObservedEvent::ReachabilityChanged { server: at, unreachable: away } => {
                if *away {
                    self.ended.insert(*at, now);
                    *self.away.entry(*at).or_default() += 1;
                    for r in self.requests.values_mut().filter(|r| !r.answered) {
                        r.attempts.iter_mut().filter(|a| a.at == *at).for_each(|a| a.unheard = true);
                    }
                } else {
                    let cuts = self.away.entry(*at).or_default();
                    *cuts = cuts.saturating_sub(1);
                    if *cuts == 0 {
                        self.away.remove(at);
                    }
                    self.mended.insert(*at, now);
                    self.clear_since = now;
                }
            }
            ObservedEvent::ConnectionPressure { begins: true } => self.crowds += 1,
            ObservedEvent::ConnectionPressure { begins: false } => {
                self.crowds = self.crowds.saturating_sub(1);
                self.crowd_over = Some(now);
            }
            ObservedEvent::CacheServerEnded { server: at } => drop(self.ended.insert(*at, now)),
            ObservedEvent::CacheServerCollapsed { server: at } => self.fell(now, *at),
            ObservedEvent::NodeStarted { node } => {
                let life = self.nodes[*node].life + 1;
                self.nodes[*node] = Node { up: true, began: now, life, ..Node::default() };
            }
            ObservedEvent::NodeStopping { .. } => {}
            ObservedEvent::NodeEnded { node, .. } => {
                let life = self.nodes[*node].life;
                self.deciding.remove(node);
                self.nodes[*node] = Node { up: false, life: life + 1, ..Node::default() };
            }
            ObservedEvent::OpenSockets { node, count: open } => {
                if *open > self.sockets {
                    let what = format!("node {node} holds {open} sockets of {}", self.sockets);
                    self.broken(now, Rule::Bounds, what);
                }
            }
        }
    }

    /// The end of the run: nothing may be left open.
    pub fn finish(&mut self, at: Duration) {
        let open: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| !r.answered && !r.over).map(|(id, _)| *id).collect();
        for id in open {
            self.unanswered(at, id, "no answer at the end of the run");
        }
    }

    fn forget(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(at, _)| *at + REMEMBERED < now) {
            let Some((at, id)) = self.order.pop_front() else { return };
            if self.requests.get(&id).is_some_and(|r| r.asked == at) {
                self.requests.remove(&id);
            }
        }
    }
}
