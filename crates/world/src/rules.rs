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
//!     from when its last byte was written, with a slack of 50 ms and the ways from the client and to the server.
//! 13. **Ready.** A node whose system calls fail at its start is ready within seconds of it.
//! 14. **Backoff.** A system call that goes on failing is not made again and again without a pause.
//!
//! 15. **Retirement.** Four seconds after a drain was told, the node holds no connection that is idle or has a request from the
//!     last two; a process that was told to stop has ended by itself when it may be killed.
//!
//! The caps of rule 5 are those of the decision module's gate (its constants are no part of its interface): a part of
//! 80 calls out, or of a tenth of all quotas a second, for each node, 2 to 20 of them, and in a window the greater of
//! its part of all quotas and 30 a second.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::agreement::Told as Agreed;
use crate::observe::{BoxNo, How, NodeNo, Observation, Phase, Reply, RequestNo, Seen};
use crate::scenario::{Effect, Scenario};

/// On top of each limit: two ways across zones, and the grain of the clock.
const SLACK: Duration = Duration::from_millis(50);
/// What discovery has counts as told so long after it could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// After its end no attempt of a request begins later than this.
const OVER: Duration = Duration::from_millis(100);
/// By so much more than is left to its client an attempt may tell, beside the ways on which its words were under way: the
/// slack of the protocol.
const TELLS_OVER: Duration = Duration::from_millis(50);
/// Calls out of all nodes together, of which each has its part: at least, and in seconds of all quotas.
const CAP: (f64, f64) = (80.0, 0.1);
/// The bounds of a node's part.
const CAP_PART: (f64, f64) = (2.0, 20.0);
/// The window of the tally in longest aims; calls a second at least.
const WINDOW: (f64, f64) = (0.25, 30.0);
/// A request that is parked is looked at again within this part of its aim.
const PARKED: f64 = 3.0 / 60.0;
/// The connections of a crowd are gone so long after it.
const CROWD_GOES: Duration = Duration::from_secs(3);
/// A decider whose lease is over says so when it next looks at its clock.
const LOOKS: Duration = Duration::from_millis(300);
/// A zone may be given up so many times within such a time: its hold doubles with each return that fails.
const SWINGS: (usize, Duration) = (3, Duration::from_secs(10));
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
    at: BoxNo,
    arrived: Duration,
    fate: Fate,
    /// Its answer may never have reached the node, which waits for it then.
    unheard: bool,
    /// The life of its node in which it arrived: its counters are of that life.
    life: u64,
}

struct Request {
    node: NodeNo,
    class: usize,
    asked: Duration,
    patience: Duration,
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
    told: BTreeMap<BoxNo, Told>,
    out: u32,
    over_since: Option<Duration>,
    window: VecDeque<Duration>,
    /// The number of the plan that it acts on.
    plan: (u32, u32, u16),
}

struct Cold {
    start: u64,
    arrived: VecDeque<(Duration, NodeNo, f64)>,
}

/// The checker.
pub struct Checker {
    classes: Vec<(Effect, Duration, Duration)>,
    rules: crate::scenario::Rules,
    origin: BoxNo,
    sockets: usize,
    cap: f64,
    tally: f64,
    window: Duration,
    requests: BTreeMap<RequestNo, Request>,
    order: VecDeque<(Duration, RequestNo)>,
    nodes: Vec<Node>,
    cold: BTreeMap<BoxNo, Cold>,
    /// Crowds that there are now, and when the last one was over.
    crowds: u32,
    crowd_over: Option<Duration>,
    /// When a box last ended or was cut off: what it was writing then is not whole.
    ended: BTreeMap<BoxNo, Duration>,
    /// Boxes that discovery does not have as ready, and since when.
    unlisted: BTreeMap<BoxNo, Duration>,
    /// What hinders discovery now, and since when nothing does.
    hindered: u32,
    sound_since: Duration,
    /// When a box's links were last mended: what comes then may have been sent long before.
    mended: BTreeMap<BoxNo, Duration>,
    /// Boxes that are cut off now, wholly or in one direction.
    away: BTreeMap<BoxNo, u32>,
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
    deciding: BTreeMap<NodeNo, Duration>,
    /// The zones that the newest plan gives up, its number, and when each zone was given up lately.
    away_now: ((u32, u32, u16), Vec<String>),
    given_up: BTreeMap<String, VecDeque<Duration>>,
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
    pub fn with_unbounded_ways(mut self) -> Checker {
        self.ways = None;
        self
    }

    /// The same for a network that holds words to cache servers back, there and back for so long at most: what arrives late may
    /// have been sent in time, and what a server has long answered may not have reached the node.
    pub fn with_late_ways(self, late: Duration) -> Checker {
        Checker { late_ways: late, ..self }
    }

    /// A checker of a scenario in which the origin has this number.
    pub fn new(scenario: &Scenario, origin: BoxNo) -> Checker {
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
    pub fn saw(&mut self, o: &Observation) {
        self.seen += 1;
        let now = o.at;
        if self.deciding.len() > 1 {
            self.deciders(now);
        }
        match &o.seen {
            Seen::Asked { request, node, class, patience, .. } => {
                let (node, class) = (*node, *class);
                let life = self.nodes[node].life;
                let entry = Request {
                    node,
                    class,
                    asked: now,
                    patience: *patience,
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
            Seen::Answered { request, reply, slow } => self.answered(now, *request, *reply, *slow),
            Seen::Unasked { node } => {
                self.broken(
                    now,
                    Rule::OneAnswer,
                    format!("node {node} sent something that nobody asked for"),
                );
            }
            Seen::Garbled { request } => {
                self.broken(now, Rule::OneAnswer, format!("request {request:x}: what came is no answer"));
            }
            Seen::Crossed { request } => {
                if self.requests.get(request).is_some_and(|r| !r.attempts.is_empty()) {
                    self.unanswered(now, *request, "it had been taken when its connection was closed");
                } else if let Some(r) = self.requests.get_mut(request) {
                    r.over = true;
                }
            }
            Seen::Lost { request, begun } => {
                // Asked on a connection that the process before had taken, whose end had not reached the client yet: the process
                // that serves now has never seen it.
                let before = self.requests.get(request).is_some_and(|r| *begun < self.nodes[r.node].began);
                if before && let Some(r) = self.requests.get_mut(request) {
                    r.over = true;
                } else {
                    self.unanswered(now, *request, "its connection ended without an answer");
                }
            }
            Seen::Cut { request } => self.cut(now, *request),
            Seen::HeldAfterDrain { node, idle, recent } => {
                let what = format!(
                    "node {node} holds {idle} idle connections and {recent} with recent requests 4 s after its drain"
                );
                self.broken(now, Rule::Retirement, what);
            }
            Seen::EndOverdue { node } => {
                let what = format!("node {node} has not ended by itself when it may be killed");
                self.broken(now, Rule::Retirement, what);
            }
            Seen::Hanging { node, made } => {
                // One that was made before the process began has waited in the queue of the machine meanwhile.
                if self.nodes[*node].up && self.nodes[*node].began <= *made {
                    let what = format!("node {node} keeps a connection on which no command is finished");
                    self.broken(now, Rule::Bounds, what);
                }
            }
            Seen::Left { request, early } => {
                self.requests.entry(*request).and_modify(|r| r.ended = Some(now));
                if *early {
                    if let Some(r) = self.requests.get_mut(request) {
                        r.over = true;
                    }
                } else {
                    self.unanswered(now, *request, "no answer before its client left");
                }
            }
            Seen::Arrived { at, node, request, work, came, until, .. } => {
                self.tells(now, *at, *request, *until);
                self.sent_on(*came, now, *at, *request);
                self.arrived(now, *at, *node, *request, *work);
            }
            Seen::Ended { at, node, request, how } => {
                let fate = match how {
                    How::Value | How::Failed | How::Silent { begun: true } => Fate::MayHaveRun,
                    How::Miss | How::Busy | How::Silent { begun: false } => Fate::NotRun,
                };
                let unheard = matches!(how, How::Silent { .. }) || self.away.contains_key(at);
                self.settle(now, *at, *node, *request, fate, unheard);
            }
            Seen::Abandoned { at, node, request } => {
                self.settle(now, *at, *node, *request, Fate::MayHaveRun, false);
            }
            Seen::Executed { request, .. } => {
                let Some(r) = self.requests.get_mut(request) else { return };
                r.executed += 1;
                if r.executed > 1 {
                    self.broken(now, Rule::NoEffectTwice, format!("request {request:x} ran twice"));
                }
            }
            Seen::Started { node, after, ready } if !ready || *after > READY => {
                let what = format!("node {node} is ready {ready} {after:?} after its start");
                self.broken(now, Rule::Ready, what);
            }
            Seen::BusyLoop { node, call } => {
                let what = format!("node {node} makes {call:?} again and again while it fails");
                self.broken(now, Rule::Backoff, what);
            }
            Seen::Started { .. } => {}
            Seen::Acts { node, plan } => self.acts(now, *node, plan),
            Seen::Decides { node, decides: false } => drop(self.deciding.remove(node)),
            Seen::Decides { node, decides: true } => {
                self.deciding.insert(*node, now);
            }
            Seen::Listed { at, phase: Phase::Ready } => drop(self.unlisted.remove(at)),
            Seen::Listed { at, .. } => {
                self.unlisted.entry(*at).or_insert(now);
            }
            Seen::Sound { sound: false } => self.hindered += 1,
            Seen::Sound { sound: true } => {
                self.hindered = self.hindered.saturating_sub(1);
                self.sound_since = now;
            }
            Seen::Fault(_) | Seen::Repeated { .. } | Seen::Connected { .. } => {}
            Seen::Told { node, whole, boxes, .. } => self.told(now, *node, *whole, boxes),
            Seen::BoxUp { at, start, cold, .. } => {
                self.cold.remove(at);
                if *cold {
                    self.cold.insert(*at, Cold { start: *start, arrived: VecDeque::new() });
                }
            }
            Seen::BoxAway { at, away } => {
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
            Seen::Crowd { begins: true } => self.crowds += 1,
            Seen::Crowd { begins: false } => {
                self.crowds = self.crowds.saturating_sub(1);
                self.crowd_over = Some(now);
            }
            Seen::BoxDown { at } => drop(self.ended.insert(*at, now)),
            Seen::BoxFell { at } => self.fell(now, *at),
            Seen::NodeUp { node } => {
                let life = self.nodes[*node].life + 1;
                self.nodes[*node] = Node { up: true, began: now, life, ..Node::default() };
            }
            Seen::NodeStopping { .. } => {}
            Seen::NodeDown { node, .. } => {
                let life = self.nodes[*node].life;
                self.deciding.remove(node);
                self.nodes[*node] = Node { up: false, life: life + 1, ..Node::default() };
            }
            Seen::Sockets { node, open } => {
                if *open > self.sockets {
                    let what = format!("node {node} holds {open} sockets of {}", self.sockets);
                    self.broken(now, Rule::Bounds, what);
                }
            }
        }
    }

    /// The end of the run: nothing may be left open.
    pub fn finish(&mut self, at: Duration) {
        let open: Vec<RequestNo> =
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

    /// Whether a connection on which something was asked then may have waited in a crowd before it was accepted.
    fn crowded(&self, asked: Duration) -> bool {
        self.crowds > 0 || self.crowd_over.is_some_and(|over| over + CROWD_GOES >= asked)
    }

    fn answered(&mut self, now: Duration, id: RequestNo, reply: Reply, slow: bool) {
        let crowded = self.requests.get(&id).is_some_and(|r| self.crowded(r.asked));
        let Some(r) = self.requests.get_mut(&id) else { return };
        let twice = std::mem::replace(&mut r.answered, true);
        r.ended.get_or_insert(now);
        let late = now.saturating_sub(r.asked + r.patience);
        let (effect, _, aim) = self.classes[r.class];
        let asked = r.asked;
        let sent = r.attempts.first().map(|a| a.arrived);
        let aim_at = known_since(asked, sent.filter(|_| crowded)) + aim.min(r.patience);
        let still = now.saturating_sub(r.stirred);
        let out = r.attempts.iter().any(|a| a.fate == Fate::Out || a.unheard);
        let may_have_run = r.attempts.iter().any(|a| a.fate != Fate::NotRun);
        let (node, life) = (r.node, r.life);
        let made = match reply {
            Reply::Value { of, by } => of == id && r.attempts.iter().any(|a| a.at == by),
            _ => true,
        };
        let never_sent = r.attempts.is_empty();
        if twice {
            self.broken(now, Rule::OneAnswer, format!("request {id:x} was answered twice"));
        }
        // A process that was stopped meanwhile goes on without knowing it: it had no time to keep.
        let stopped = self.nodes[node].life != life;
        let grace = Duration::from_millis(self.rules.answer_grace_ms);
        if late > grace + SLACK && !stopped {
            self.broken(
                now,
                Rule::OneAnswer,
                format!("request {id:x} was answered {late:?} after its deadline"),
            );
        }
        if !made {
            self.broken(now, Rule::OneAnswer, format!("request {id:x} got a value that was not made for it"));
        }
        if matches!(reply, Reply::Busy(_)) && effect == Effect::SideEffect && may_have_run {
            self.broken(
                now,
                Rule::NoEffectTwice,
                format!("request {id:x} was refused though it may have run"),
            );
        }
        // Parked requests are looked at again and again until their aim: what is refused later, or fails with nothing
        // out and not even a look due, was held back.
        // What goes to a box that is cut off is seen by nobody, and waited for all the same.
        let blind = slow || !self.away.is_empty() || self.clear_since + SLACK >= asked;
        let useful = aim_at + aim.mul_f64(PARKED) + SLACK;
        if !matches!(reply, Reply::Value { .. })
            && !out
            && !blind
            && !stopped
            && now > useful
            && still > aim.mul_f64(PARKED) + SLACK + self.late_ways
        {
            let sent = if never_sent { "never sent" } else { "nothing out" };
            self.broken(
                now,
                Rule::AtOnce,
                format!("request {id:x}: {sent}, still for {still:?}, and given up only now"),
            );
        }
    }

    /// A value that its server cut has failed; one that the node cuts by itself is lost.
    fn cut(&mut self, now: Duration, id: RequestNo) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let by_server = r
            .attempts
            .iter()
            .any(|a| a.unheard || self.ended.get(&a.at).is_some_and(|end| *end >= a.arrived));
        if by_server {
            r.answered = true;
        } else {
            self.unanswered(now, id, "its value was cut, and by no server");
        }
    }

    fn unanswered(&mut self, now: Duration, id: RequestNo, what: &str) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.over = true;
        // A node that was killed meanwhile takes with it what it had taken.
        let node = &self.nodes[r.node];
        if r.answered || !node.up || node.life != r.life {
            return;
        }
        let (node, asked) = (r.node, r.asked);
        self.broken(
            now,
            Rule::OneAnswer,
            format!("request {id:x} at node {node}, asked at {asked:?}: {what}"),
        );
    }

    /// One decides: the one before may not have looked at its clock yet.
    fn deciders(&mut self, now: Duration) {
        let mut since: Vec<(Duration, NodeNo)> =
            self.deciding.iter().map(|(node, at)| (*at, *node)).collect();
        since.sort_unstable();
        if let [.., (_, a), (last, b)] = since[..]
            && now > last + LOOKS
        {
            self.deciding.remove(&a);
            self.broken(now, Rule::OnePlan, format!("nodes {a} and {b} decide at once"));
        }
    }

    fn acts(&mut self, now: Duration, node: NodeNo, plan: &Agreed) {
        let known = self.plans.entry(plan.number).or_insert_with(|| plan.says.clone());
        if *known != plan.says {
            let what = format!(
                "plan {:?} says {known:?} at one node and {:?} at node {node}",
                plan.number, plan.says
            );
            self.broken(now, Rule::OnePlan, what);
        }
        // Rounds first, then the voter, then the plan within its tenure.
        let order = |(round, sequence, voter): (u32, u32, u16)| (round, voter, sequence);
        let before = std::mem::replace(&mut self.nodes[node].plan, plan.number);
        if order(plan.number) < order(before) {
            let what = format!("node {node} went back from plan {before:?} to {:?}", plan.number);
            self.broken(now, Rule::OnePlan, what);
        }
        if order(plan.number) <= order(self.away_now.0) {
            return;
        }
        let away: Vec<String> = plan.away().into_iter().map(str::to_owned).collect();
        let (_, before) = std::mem::replace(&mut self.away_now, (plan.number, away.clone()));
        for zone in away.into_iter().filter(|zone| !before.contains(zone)) {
            let times = self.given_up.entry(zone.clone()).or_default();
            times.retain(|at| *at + SWINGS.1 > now);
            times.push_back(now);
            if times.len() > SWINGS.0 {
                let what = format!("{zone} was given up {} times within {:?}", times.len(), SWINGS.1);
                self.broken(now, Rule::NoSwinging, what);
            }
        }
    }

    /// Judges what an attempt tells of the time that is left.
    fn tells(&mut self, now: Duration, at: BoxNo, id: RequestNo, until: Duration) {
        // What was written to a cache server that could not be reached comes when it can.
        let mended = self.mended.get(&at).is_some_and(|m| now < *m + SLACK);
        if mended || self.away.contains_key(&at) {
            return;
        }
        let (Some(r), Some(ways)) = (self.requests.get(&id), self.ways) else { return };
        let sent = r.attempts.first().map_or(now, |a| a.arrived);
        let known = known_since(r.asked, Some(sent).filter(|_| self.crowded(r.asked)));
        let over = until.saturating_sub(known + r.patience);
        if over > TELLS_OVER + ways {
            let count = r.attempts.len() + 1;
            let what = format!("request {id:x}, attempt {count} at {at}: told {over:?} more than is left");
            self.broken(now, Rule::TimeLeft, what);
        }
    }

    /// Judges whether an attempt that came then was written for a request that was over. Its server may read it later, behind an
    /// answer that is taken slowly: what has been written whole can't be taken back.
    fn sent_on(&mut self, came: Duration, now: Duration, at: BoxNo, id: RequestNo) {
        // What was written to a cache server that could not be reached comes when it can.
        let mended = self.mended.get(&at).is_some_and(|m| now < *m + SLACK);
        let ended = self.requests.get(&id).and_then(|r| r.ended);
        let late = ended.map(|end| came.saturating_sub(end));
        let most = OVER + SLACK + self.late_ways;
        if let Some(late) = late.filter(|late| *late > most && !mended && !self.away.contains_key(&at)) {
            let what = format!("request {id:x} was sent on {late:?} after it was over");
            self.broken(now, Rule::Over, what);
        }
    }

    fn arrived(&mut self, now: Duration, at: BoxNo, node: NodeNo, id: RequestNo, work: f64) {
        let grace = Duration::from_millis(self.rules.drain_grace_ms) + SLACK;
        let away = self.away.contains_key(&at);
        let mended = self.mended.get(&at).is_some_and(|m| now < *m + SLACK);
        let Some(began) = self.nodes.get(node).map(|n| n.began) else { return };
        // A process that has just begun has the same time as one that could not reach discovery.
        let counts = self.unlisted.get(&at).filter(|_| self.hindered == 0 && !mended && !away);
        let counts = counts.map(|since| TOLD + (*since).max(self.sound_since).max(began));
        if let Some(late) = counts.and_then(|counts| now.checked_sub(counts)).filter(|late| *late > grace) {
            let what =
                format!("node {node} sent request {id:x} to box {at} {late:?} after that counts as told");
            self.broken(now, Rule::Drains, what);
        }
        let Some(n) = self.nodes.get_mut(node) else { return };
        if let Some(since) =
            n.told.get(&at).and_then(|t| t.unready).filter(|s| now > *s + grace && !mended && !away)
        {
            let late = now - since;
            self.broken(
                now,
                Rule::Drains,
                format!("node {node} sent request {id:x} to box {at} {late:?} after it was told"),
            );
        }
        if at == self.origin {
            self.origin_call(now, node);
        } else if let Some(cold) = self.cold.get_mut(&at) {
            cold.arrived.push_back((now, node, work));
            let span = Duration::from_millis(self.rules.fall_ms);
            while cold.arrived.front().is_some_and(|(t, ..)| *t + span < now) {
                cold.arrived.pop_front();
            }
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.stirred = now;
        let class = r.class;
        let (effect, window, _) = self.classes[class];
        // Those that a deployment adds may lie anywhere.
        let outside = at < self.boxes
            && !self.bound[class].is_empty()
            && !self.bound[class].contains(&(at % self.zones));
        let ran = r.attempts.iter().find(|a| a.fate != Fate::NotRun).map(|a| (a.at, a.arrived));
        let count = r.attempts.len() + 1;
        let life = self.nodes[node].life;
        r.attempts.push(Attempt { at, arrived: now, fate: Fate::Out, unheard: away, life });
        if outside {
            self.broken(now, Rule::BoundToZones, format!("request {id:x}, bound to zones, reached box {at}"));
        }
        if count > self.rules.max_attempts as usize {
            self.broken(now, Rule::NoEffectTwice, format!("request {id:x}: attempt {count}"));
        }
        match (effect, ran) {
            (Effect::SideEffect, Some((first, _))) => {
                self.broken(
                    now,
                    Rule::NoEffectTwice,
                    format!("request {id:x} went to {at} though it may have run at {first}"),
                );
            }
            (Effect::Token, Some((first, when))) if now > when + window + SLACK => {
                let late = now - when;
                self.broken(
                    now,
                    Rule::NoEffectTwice,
                    format!("request {id:x} went to {at} {late:?} after it may have run at {first}"),
                );
            }
            _ => {}
        }
    }

    /// A call has come to the origin. Being over a cap counts once it has lasted longer than a close needs to arrive.
    fn origin_call(&mut self, now: Duration, node: NodeNo) {
        let (cap, tally, window) = (self.cap, self.tally, self.window);
        let n = &mut self.nodes[node];
        n.out += 1;
        if f64::from(n.out) > cap {
            n.over_since.get_or_insert(now);
        }
        n.window.push_back(now);
        while n.window.front().is_some_and(|t| *t + window < now) {
            n.window.pop_front();
        }
        let (out, lately) = (n.out, n.window.len());
        let over = n.over_since.is_some_and(|since| now > since + SLACK);
        if over {
            self.broken(
                now,
                Rule::Caps,
                format!("node {node} has {out} calls out at the origin, over {cap}"),
            );
        }
        // The tally is of fixed windows: one of any begin may hold the end of one and the beginning of the next.
        if lately as f64 > 2.0 * tally + 2.0 {
            self.broken(
                now,
                Rule::Caps,
                format!("node {node} called the origin {lately} times in {window:?}, over twice {tally:.1}"),
            );
        }
        let all: u32 = self.nodes.iter().map(|n| n.out).sum();
        let most = cap * self.nodes.len() as f64;
        if f64::from(all) > most + 2.0 && over {
            self.broken(
                now,
                Rule::Caps,
                format!("all nodes have {all} calls out at the origin, over {most}"),
            );
        }
    }

    fn settle(&mut self, now: Duration, at: BoxNo, node: NodeNo, id: RequestNo, fate: Fate, unheard: bool) {
        // Calls that arrived in an earlier life of a node went with its counters.
        let life = self.nodes[node].life;
        let is_it = |a: &Attempt| a.at == at && a.fate == Fate::Out;
        let same =
            self.requests.get(&id).is_none_or(|r| r.attempts.iter().any(|a| is_it(a) && a.life == life));
        if at == self.origin && same {
            let cap = self.cap;
            let n = &mut self.nodes[node];
            n.out = n.out.saturating_sub(1);
            if f64::from(n.out) <= cap {
                n.over_since = None;
            }
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.stirred = now;
        if let Some(a) = r.attempts.iter_mut().find(|a| is_it(a)) {
            (a.fate, a.unheard) = (fate, a.unheard || unheard);
        }
    }

    fn told(&mut self, now: Duration, node: NodeNo, whole: bool, boxes: &[(BoxNo, Phase, u64)]) {
        let told = &mut self.nodes[node].told;
        if whole {
            for (number, t) in told.iter_mut() {
                if !boxes.iter().any(|(n, ..)| n == number) {
                    t.unready.get_or_insert(now);
                }
            }
        }
        for (number, phase, start) in boxes {
            let t = told.entry(*number).or_default();
            if t.start != *start {
                (t.start, t.known_since) = (*start, now);
            }
            match phase {
                Phase::Ready => t.unready = None,
                _ => {
                    t.unready.get_or_insert(now);
                }
            }
        }
    }

    fn fell(&mut self, now: Duration, at: BoxNo) {
        let Some(cold) = self.cold.get(&at) else { return };
        let knew = |node: NodeNo, when: Duration| {
            let told = self.nodes[node].told.get(&at);
            told.is_some_and(|t| t.start == cold.start && t.known_since <= when)
        };
        let all: f64 = cold.arrived.iter().map(|(.., w)| w).sum();
        let known: f64 = cold.arrived.iter().filter(|(t, n, _)| knew(*n, *t)).map(|(.., w)| w).sum();
        if known * 3.0 >= all * 2.0 {
            let what =
                format!("box {at} fell over, {:.0}% of its work from nodes that knew", known / all * 100.0);
            self.broken(now, Rule::ColdBoxes, what);
        }
    }
}
