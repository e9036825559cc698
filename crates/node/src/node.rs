//! The node: the one owner of the decision module. Events go in, actions become I/O; nothing is decided here.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use brassrouter::settings::DeploymentSettings;
use brassrouter::{
    Action, CacheResult, Condition, Effect, Event, InheritedState, ListKind, LoadField, LoadReport, Micros,
    Outcome, Policy, RequestId, ServerId, Status,
};
use mothpier_handover::{PredecessorState, RemainingResources};
use mothpier_host::Host;
use mothpier_ops::{DoubtedAnswers, Gauges, LifecycleEvent, OpsEndpoint, Reason, RefuseReason, RetryReason};
use mothpier_record::{Recorder, entry};
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use crate::agreement::{Agreement, Wanted as Agreed};
use crate::command::{AttemptId, Command, Reply};
use crate::counters::Counters;
use crate::discovery::{Member, Numbers, ServerList, Subscription};
use crate::event_log::{EventKind, EventLog};
use crate::input::{ClientEvent, Heard, Input};
use crate::locality::LocalityController;
use crate::origin::Origins;
use crate::peers::Peers;
use crate::servers::{AttemptOutcome, InterruptedCommand, RESPONSE_STALL_TIMEOUT, SendError, Servers};
use crate::start_times::StartTimes;
use crate::storm_monitor::{LOOK, StormMonitor};
use crate::{origin, servers};

/// A probe without answer after this time has failed.
const PROBE_WAIT: Duration = Duration::from_millis(250);
/// A probe that this machine could not make is made again after this time: a shortage of descriptors or ports is soon over.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Between two looks at the gauges that staff read: what they tell may be half a second old.
const GAUGES: Duration = Duration::from_millis(200);
/// Between two lines of the log that tell what was done meanwhile.
const REPORT: Duration = Duration::from_secs(5);

/// The largest figures of a load report that can be meant: of cores in use, and of the rest (a minute in
/// milliseconds).
const MOST_LOAD: (f32, f32) = (8.0, 60_000.0);

/// Of the calls at the origin so great a part may be fetches, as the decision module has it.
const FETCHES: f64 = 0.7;
/// A state that is handed over is younger than this when the next process has it: so much of a difference of wall times may
/// be time that passed. More is a step.
const LONGEST_HANDOVER: Micros = 250_000;

/// A monotonic clock that begins at the wall time of the start. A wall clock may be wrong or stepped: what others date by
/// theirs is never compared with it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    pub fn start(host: &impl Host) -> Self {
        Clock { start: Instant::now(), unix: host.unix_time().as_micros() as Micros }
    }

    /// The same clock, going on from what another process of this node told by its own: the wall clock may have been
    /// stepped between the two starts.
    pub fn continued_from(self, told: Micros) -> Self {
        let passed = self.unix.checked_sub(told).filter(|passed| *passed <= LONGEST_HANDOVER);
        Clock { unix: told + passed.unwrap_or_default(), ..self }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }
}

/// A request without its final answer.
struct Open {
    command: Rc<Command>,
    answer: oneshot::Sender<Reply>,
    ends: Instant,
    /// Attempts so far, each with its number, and how many of them this machine could not make.
    attempts: u16,
    local_failures: u16,
    /// Of these, the ones without outcome.
    out: Vec<AttemptId>,
    /// How the last one ended, of those that have.
    last_status: Option<Status>,
    /// Where its last attempt was lost with its connection, if it was.
    reset_by: Option<ServerId>,
    /// What the detector knows it by; 0 without one.
    fingerprint: u64,
    /// Whether an attempt may be sent again that may have run.
    may_run_twice: bool,
    /// Attempts that were written a second time, as the same one to the module.
    sent_again: u16,
}

impl Open {
    /// How many attempts of it have counted: one that this machine could not make is not among them.
    fn made(&self) -> u16 {
        self.attempts.saturating_sub(self.local_failures).saturating_add(self.sent_again)
    }
}

/// An attempt or a probe without outcome; it may outlive its request.
struct Flight {
    /// The request and the attempt's number; `None` for a probe.
    attempt: Option<(RequestId, u16)>,
    server: ServerId,
    sent: Instant,
    /// Of one at the origin.
    call: Option<origin::Call>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u32),
    GiveUp(AttemptId),
    /// An answer that was given up, and behind which others wait, has had its time to come.
    Overdue(ServerId, AttemptId),
    Report,
    Look,
    Gauges,
    Near,
    /// A probe that this machine could not make.
    Probe(ServerId),
}

/// What another process of this node has handed on.
pub struct ResumedState {
    pub policy: Option<Policy>,
    pub inherited: InheritedState,
}

/// The parts that the node drives.
pub struct Components<H: Host> {
    pub servers: Servers<H>,
    pub origins: Origins<H>,
    pub peers: Option<Peers<H>>,
    pub subscription: watch::Sender<Subscription>,
    pub ops_endpoint: Arc<OpsEndpoint>,
    /// Whether anyone can read the gauges.
    pub has_ops_address: bool,
    pub storm_monitor: Option<StormMonitor>,
    /// What keeps traffic near, where it is switched on.
    pub locality: Option<LocalityController>,
    /// What makes nodes agree on zones, where it is switched on.
    pub agreement: Option<Agreement<H>>,
    /// Told where the lifecycle has taken a step that connections are to follow.
    pub lifecycle_changed: Rc<Notify>,
    /// What another process of this node has handed on; the module goes on from it.
    pub predecessor: Option<ResumedState>,
    /// Whether one may ask for what is known.
    pub supports_handover: bool,
    pub recorder: Option<Recorder>,
}

/// The node.
pub struct Node<H: Host> {
    host: H,
    policy: Policy,
    site: DeploymentSettings,
    clock: Clock,
    parts: Components<H>,
    numbers: Numbers,
    start_times: StartTimes,
    origin_ids: BTreeSet<ServerId>,
    open: HashMap<RequestId, Open>,
    flights: HashMap<AttemptId, Flight>,
    last_attempt: AttemptId,
    due: BinaryHeap<Reverse<(Instant, Due)>>,
    /// Events that actions gave rise to: they come after the actions before them.
    events: VecDeque<Event>,
    actions: Vec<Action>,
    counters: Counters,
    /// As they were told in the log last.
    doubted_answers: DoubtedAnswers,
    log: EventLog<H>,
    /// The caps have so many equal parts; one is this process'.
    sharers: u32,
    /// Until when calls at the origin may run of a process that shared the caps and has ended.
    sharer_calls_until: Micros,
    /// When discovery last answered.
    listed: Option<Instant>,
    /// The list as discovery has it, where another process may ask for it.
    revision: u64,
    members: BTreeMap<String, Member>,
    /// When the accord has something to do by itself.
    accord_at: Option<Instant>,
    /// Connections to servers that carry nothing are not kept.
    closes_idle: bool,
}

impl<H: Host> Node<H> {
    pub fn new(host: H, site: DeploymentSettings, seed: u64, clock: Clock, mut parts: Components<H>) -> Self {
        let warm = parts.predecessor.as_mut().and_then(|i| i.policy.take());
        let warm = warm.filter(|p| *p.settings() == site.policy).map(|p| p.into_successor(seed));
        Node {
            log: EventLog::new(host.clone()),
            host,
            policy: warm.unwrap_or_else(|| Policy::new(site.policy.clone(), seed)),
            site,
            clock,
            parts,
            numbers: Numbers::default(),
            start_times: StartTimes::default(),
            origin_ids: BTreeSet::new(),
            open: HashMap::new(),
            flights: HashMap::new(),
            last_attempt: 0,
            due: BinaryHeap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            counters: Counters::default(),
            doubted_answers: DoubtedAnswers::default(),
            sharers: 1,
            sharer_calls_until: 0,
            listed: None,
            revision: 0,
            members: BTreeMap::new(),
            accord_at: None,
            closes_idle: false,
        }
    }

    /// Runs until every sender of inputs is gone.
    pub async fn run(mut self, known: Option<ServerList>, mut inputs: mpsc::Receiver<Input>) {
        // What an earlier life left behind counts before anything is decided.
        if let Some(left) = self.parts.recorder.as_mut().and_then(Recorder::legacy) {
            self.events.push_back(Event::Inherited(left));
        }
        if let Some(inherited) = self.parts.predecessor.take() {
            self.events.push_back(Event::ProcessCount(2));
            self.events.push_back(Event::Inherited(inherited.inherited));
        }
        let known = known.unwrap_or(ServerList { revision: 0, complete: true, members: Vec::new() });
        self.inherit_start_times(&known);
        self.list(known, ListKind::Cached);
        self.settle();
        self.wake(REPORT, Due::Report);
        if self.parts.storm_monitor.is_some() {
            self.wake(LOOK, Due::Look);
        }
        if self.parts.has_ops_address {
            self.gauges();
        }
        if let Some(near) = &self.parts.locality {
            let (pool, wait) = (near.pool(), near.wait());
            self.events.push_back(Event::ZoneRouting(Some(pool)));
            self.wake(wait, Due::Near);
            self.settle();
        }
        self.agree(|_, _| Agreed::default());
        self.settle();
        loop {
            let next = self.due.peek().map(|Reverse((time, _))| *time);
            // A time of its own, for each message moves it.
            let next = self.accord_at.into_iter().chain(next).min();
            let idle = Instant::now() + Duration::from_secs(3600);
            tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    Some(Input::Shutdown) => return self.recorder_ends(),
                    Some(input) => self.input(input),
                    None => return,
                },
                () = sleep_until(next.unwrap_or(idle)) => {}
            }
            self.fire();
            if self.accord_at.is_some_and(|at| at <= Instant::now()) {
                self.agree(|accord, near| accord.tick(near));
            }
            self.settle();
        }
    }

    fn fire(&mut self) {
        let now = Instant::now();
        while self.due.peek().is_some_and(|Reverse((time, _))| *time <= now) {
            match self.due.pop() {
                Some(Reverse((_, Due::Timer(token)))) => self.events.push_back(Event::Timer(token)),
                Some(Reverse((_, Due::GiveUp(id)))) => self.time_out(id),
                Some(Reverse((_, Due::Overdue(server, id)))) => {
                    let ended = self.parts.servers.release_blocked(server, id);
                    ended.into_iter().for_each(|(other, how)| self.server_ended(other, how));
                }
                Some(Reverse((_, Due::Report))) => {
                    self.counters.connects = self.parts.servers.take_connect_counts();
                    let age = self.listed.map(|at| at.elapsed());
                    if let Some(line) = self.counters.line(self.open.len(), age) {
                        self.host.log(format_args!("{line}"));
                    }
                    self.report_doubted_answers();
                    self.wake(REPORT, Due::Report);
                }
                Some(Reverse((_, Due::Look))) => self.look(),
                Some(Reverse((_, Due::Gauges))) => self.gauges(),
                Some(Reverse((_, Due::Near))) => self.keep_near(),
                Some(Reverse((_, Due::Probe(server)))) => self.probe(server),
                None => {}
            }
            self.settle();
        }
    }

    /// Tells in the log how many answers came twice, or may have, where there are more than at the last line.
    fn report_doubted_answers(&mut self) {
        let answers = self.parts.ops_endpoint.metrics.doubted_answers();
        if answers != self.doubted_answers {
            self.doubted_answers = answers;
            self.host.log(format_args!("answers of cache servers since the start: {answers}"));
        }
    }

    /// Tells staff what the module holds and avoids.
    fn gauges(&mut self) {
        self.wake(GAUGES, Due::Gauges);
        let (known, excluded) = self.policy.known_and_avoided_servers();
        let (origin_out, origin_most) = self.policy.origin_calls();
        let list_age = self.listed.unwrap_or(self.clock.start).elapsed();
        self.parts.ops_endpoint.metrics.set_gauges(Gauges {
            servers_known: known,
            servers_excluded: excluded,
            origin_calls_out: origin_out,
            origin_calls_limit: origin_most,
            list_age,
        });
        self.post();
    }

    /// Tells staff how zones are, where places are on.
    fn post(&self) {
        let (Some(board), Some(near)) = (self.parts.ops_endpoint.zone_status.get(), &self.parts.locality)
        else {
            return;
        };
        let (state, spilt) = near.state();
        let (out, agreed) = self.parts.agreement.as_ref().map(Agreement::status).unzip();
        let zone = self.site.zone.and_then(|zone| self.site.zone_names.get(usize::from(zone)));
        let status = serde_json::json!({
            "node": self.site.policy.node_index, "zone": zone,
            "near": {"state": state, "spilt": spilt}, "accord": agreed,
        });
        board.publish(status.to_string(), out.unwrap_or_default());
    }

    /// Moves how much of the traffic stays near.
    fn keep_near(&mut self) {
        let Some(near) = &mut self.parts.locality else { return };
        let ((pool, line), wait) = (near.step(), near.wait());
        self.events.extend(pool.map(|pool| Event::ZoneRouting(Some(pool))));
        self.wake(wait, Due::Near);
        self.notice(line);
    }

    /// What the accord does, and what comes of it.
    fn agree(&mut self, does: impl FnOnce(&mut Agreement<H>, &mut LocalityController) -> Agreed) {
        let (Some(accord), Some(near)) = (&mut self.parts.agreement, &mut self.parts.locality) else {
            return;
        };
        let (wanted, wait) = (does(accord, near), accord.wait());
        self.events.extend(wanted.pool.map(|pool| Event::ZoneRouting(Some(pool))));
        wanted.lines.into_iter().for_each(|line| self.notice(Some(line)));
        self.accord_at = Some(Instant::now() + wait);
        if let Some(away) = wanted.away {
            self.parts.ops_endpoint.lifecycle.apply(if away {
                LifecycleEvent::Leave
            } else {
                LifecycleEvent::Return
            });
            self.parts.lifecycle_changed.notify_one();
        }
    }

    /// Reads the signs of a storm.
    fn look(&mut self) {
        self.wake(LOOK, Due::Look);
        let Some(weather) = &mut self.parts.storm_monitor else { return };
        if let Some(change) = weather.look(self.clock.now(), self.policy.fleet_capacity_share()) {
            self.host.log(format_args!("{change}"));
            self.events.push_back(Event::Storm(change.to.is_storm()));
        }
    }

    /// Hands all events to the module and carries out what it wants.
    fn settle(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let now = self.clock.now();
            self.record(now, &event);
            self.policy.handle(now, event, &mut actions);
            let notice = self.parts.recorder.as_mut().and_then(|r| r.after(now, &actions));
            self.notice(notice);
            actions.drain(..).for_each(|action| self.act(action));
            self.actions = actions;
        }
    }

    fn record(&mut self, now: Micros, event: &Event) {
        let Some(recorder) = self.parts.recorder.as_mut().filter(|r| r.is_on()) else { return };
        let reference = match event {
            Event::Request(r) => self.open.get(&r.id).map(|open| entry::reference(&open.command.id)),
            _ => None,
        };
        let notice = recorder.before(now, &self.policy, event, reference);
        self.notice(notice);
    }

    fn recorder_ends(&mut self) {
        let now = self.clock.now();
        let notice = self.parts.recorder.as_mut().and_then(|r| r.end(now));
        self.notice(notice);
    }

    fn notice(&self, notice: Option<String>) {
        if let Some(line) = notice {
            self.host.log(format_args!("{line}"));
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::SetRecording(on) => {
                let now = self.clock.now();
                let notice = self.parts.recorder.as_mut().and_then(|r| r.switch(on, now));
                self.notice(notice);
            }
            Input::Joins => self.agree(|accord, near| {
                accord.begin();
                accord.tick(near)
            }),
            Input::ZoneOrder(wish) => self.agree(|accord, near| accord.order(wish, near)),
            // One that it knows already, or a newer one, it has heard from discovery itself.
            Input::ListFromPredecessor(list) if list.revision > self.revision => {
                self.list(list, ListKind::Cached)
            }
            Input::ListFromPredecessor(_) => {}
            Input::ProcessCount(sharers) => {
                self.sharers = sharers;
                self.events.push_back(Event::ProcessCount(sharers));
            }
            Input::ProcessEnded { origin_calls_end_within: calls_over_in } => {
                self.sharer_calls_until =
                    self.clock.now().saturating_add(calls_over_in.as_micros() as Micros);
            }
            Input::Inherited(left) => self.events.push_back(Event::Inherited(left)),
            Input::ServerDescriptorLimit(most) => {
                self.parts.servers.set_max_connections(cache_server_descriptors(most))
            }
            Input::CloseIdleConnections => {
                self.closes_idle = true;
                self.close_idle();
            }
            Input::TakeSnapshot { full: whole, reply } => {
                if self.closes_idle {
                    self.close_idle();
                }
                let _ = reply.send(self.known(whole));
            }
            Input::ReleasePeerAddresses => {
                if let Some(peers) = &mut self.parts.peers {
                    peers.close();
                }
                // The other process waits for the address. What was agreed on last holds for the few seconds that are left.
                self.parts.agreement = None;
                self.accord_at = None;
            }
            Input::Shutdown => {}
            Input::Client(ClientEvent::Request { mut request, connection, command, reply: answer }) => {
                let ends = Instant::now() + Duration::from_micros(request.time_left);
                let now = self.clock.now();
                let weather = self.parts.storm_monitor.as_mut();
                let fingerprint = weather.map_or(0, |w| w.arrived(now, connection, &mut request));
                let class = self.site.policy.classes.get(request.class);
                let open = Open {
                    may_run_twice: class.is_some_and(|class| class.effect == Effect::Idempotent),
                    command: command.into(),
                    answer,
                    ends,
                    attempts: 0,
                    local_failures: 0,
                    out: Vec::new(),
                    last_status: None,
                    reset_by: None,
                    fingerprint,
                    sent_again: 0,
                };
                self.open.insert(request.id, open);
                self.counters.asked += 1;
                self.events.push_back(Event::Request(request));
            }
            Input::Client(ClientEvent::Disconnected(id)) => {
                if let Some(open) = self.open.remove(&id) {
                    self.events.push_back(Event::ClientGone(id));
                    self.withdraw(open.out);
                }
            }
            Input::Server { server, connection: number, event } => {
                for (attempt, ended) in self.parts.servers.handle_event(server, number, event) {
                    self.server_ended(attempt, ended);
                }
            }
            Input::Origin { attempt, ended } => {
                let load = load(&self.site, &ended.load);
                self.end(attempt, ended.status, CacheResult::None, load, ended.value);
            }
            Input::Discovery(Heard::List(list)) => {
                self.parts.ops_endpoint.lifecycle.apply(LifecycleEvent::Ready);
                self.counters.lists += 1;
                self.parts.ops_endpoint.metrics.list_applied(list.revision);
                self.listed = Some(Instant::now());
                let kind = if list.complete { ListKind::Full } else { ListKind::Delta };
                self.list(list, kind);
            }
            Input::Discovery(Heard::Failed) => {
                self.counters.list_failures += 1;
                self.parts.ops_endpoint.metrics.list_call_failed();
                // Only one that asks is told so; what is pushed goes on by itself.
                if self.site.policy.subscribes_to_discovery {
                    self.parts.subscription.send_modify(|w| w.watch = false);
                    self.events.push_back(Event::ServerList { kind: ListKind::Failed, servers: Vec::new() });
                }
            }
            Input::Member { from, message } => self.agree(|accord, near| accord.told(from, message, near)),
            Input::Peer { from, mut bytes } => {
                self.counters.heard += 1;
                if let Some(weather) = &mut self.parts.storm_monitor {
                    bytes = weather.told(self.clock.now(), from, bytes);
                }
                self.events.push_back(Event::PeerMessage { from, bytes });
            }
        }
    }

    /// Closes the connections to a server that carry nothing.
    fn close_idle_of(&mut self, server: ServerId) {
        if self.origin_ids.contains(&server) {
            self.parts.origins.close_idle(server);
        } else {
            self.parts.servers.close_idle(server);
        }
    }

    /// Closes the connections to servers that carry nothing.
    fn close_idle(&mut self) {
        self.parts.servers.close_all_idle();
        self.parts.origins.close_all_idle();
    }

    /// What another process of this node would go on from.
    fn known(&self, whole: bool) -> PredecessorState {
        let (servers, origins) = (self.parts.servers.open_connections(), self.parts.origins.open());
        let mut left = RemainingResources {
            inherited: self.policy.inheritable_state(),
            descriptors: (servers + origins) as u32,
        };
        self.add_calls_of_ended_sharers(&mut left.inherited, whole);
        if !whole {
            return PredecessorState {
                list_revision: self.revision,
                remaining: left,
                ..PredecessorState::default()
            };
        }
        let members: Vec<&Member> = self.members.values().collect();
        PredecessorState {
            list_revision: self.revision,
            list: serde_json::to_vec(&members).unwrap_or_default(),
            module_state: postcard::to_allocvec(&self.policy).unwrap_or_default(),
            remaining: left,
        }
    }

    /// Adds the calls that processes which shared the caps may have left at the origin. Nobody knows them: they had all parts of
    /// the caps but this process' and the next one's. The next one acts on half of the caps beside this one, and then on all: it
    /// is told so many as leave it one part of the half, and as many again at the end of this one. Of what it is told at its
    /// start it counts half.
    fn add_calls_of_ended_sharers(&self, legacy: &mut InheritedState, whole: bool) {
        let until = self.sharer_calls_until;
        if until <= self.clock.now() || self.sharers <= 2 {
            return;
        }
        let part = |of: u32| (legacy.outstanding_limit / f64::from(of)) as usize;
        let calls = part(2).saturating_sub(part(self.sharers));
        // As many fetches among them as there may be among all calls, or the next process could make none.
        let fetches = (calls as f64 * FETCHES) as usize;
        for (fetch, calls) in [(true, fetches), (false, calls - fetches)] {
            let told = if whole { 2 * calls } else { calls };
            legacy.origin_calls.extend(std::iter::repeat_n((fetch, until), told));
        }
    }

    /// Starts that the process before this one knew keep their times, as the module's state has them.
    fn inherit_start_times(&mut self, known: &ServerList) {
        let now = self.clock.now();
        let inherited: HashMap<ServerId, Micros> =
            self.policy.listed_servers().into_iter().map(|line| (line.id, line.started_at)).collect();
        for member in &known.members {
            if let Some(started) = inherited.get(&self.numbers.of(&member.id)) {
                self.start_times.inherit(&member.id, member.up_since_ms, *started, now);
            }
        }
    }

    fn list(&mut self, mut list: ServerList, kind: ListKind) {
        self.start_times.heard(&list, kind, self.clock.now());
        let lines = self.numbers.lines(&self.host, &mut list, &self.site, &self.start_times);
        if self.parts.supports_handover {
            self.remember(list, kind);
        }
        let named: HashSet<ServerId> = lines.iter().map(|(line, _)| line.id).collect();
        let gone = lines.iter().map(|(line, _)| line).filter(|line| line.condition == Condition::Gone);
        let gone: HashSet<ServerId> = gone.map(|line| line.id).collect();
        let mut unsent = Vec::new();
        for (line, address) in &lines {
            let ready = line.condition == Condition::Ready;
            let origin = Some(line.machine_type) == self.site.policy.origin_machine_type;
            if line.condition == Condition::Gone && self.origin_ids.remove(&line.id) {
                self.parts.origins.gone(line.id);
            } else if origin && line.condition != Condition::Gone {
                self.origin_ids.insert(line.id);
                self.parts.origins.listed(line.id, *address, ready);
            } else {
                unsent.extend(self.parts.servers.update_server(line.id, *address, ready));
                if let Some(near) = &mut self.parts.locality {
                    near.listed(line);
                }
            }
        }
        if kind != ListKind::Delta {
            unsent.extend(self.parts.servers.remove_unlisted(&|id| named.contains(&id)));
            for id in self.origin_ids.extract_if(.., |id| !named.contains(id)) {
                self.parts.origins.gone(id);
            }
        }
        // Ids are ever new: what the list has no longer is not kept.
        let left = |id| gone.contains(&id) || kind != ListKind::Delta && !named.contains(&id);
        self.numbers.forget(left);
        if let Some(near) = &mut self.parts.locality {
            near.forget(left);
            let line = near.taken_in();
            self.notice(line);
        }
        let servers = lines.into_iter().map(|(line, _)| line).collect();
        self.events.push_back(Event::ServerList { kind, servers });
        for attempt in unsent {
            self.end(attempt, Status::NotSent, CacheResult::None, LoadReport::default(), None);
        }
    }

    /// Keeps the list in the form in which it came.
    fn remember(&mut self, list: ServerList, kind: ListKind) {
        if kind != ListKind::Delta {
            self.members.clear();
        }
        self.revision = list.revision;
        for member in list.members {
            if member.is_listed() {
                self.members.insert(member.id.clone(), member);
            } else {
                self.members.remove(&member.id);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout: give_up_after } => {
                self.send(request, server, give_up_after)
            }
            Action::Refuse { request, retry_after } => {
                let wait = retry_after.min(self.site.max_retry_after).div_ceil(1000);
                self.tell_refusal(request, wait);
                let out = self.answer(request, Reply::Busy(wait));
                self.withdraw(out);
            }
            Action::Fail(request) => {
                let out = self.answer(request, Reply::Failed);
                self.withdraw(out);
            }
            Action::Cancel { request, attempt } => {
                let wanted = Some((request, attempt));
                if let Some(id) = self.flights.iter().find(|(_, f)| f.attempt == wanted).map(|(id, _)| *id) {
                    self.give_up(id, Status::Cancelled);
                }
            }
            Action::Timer { after, token } => self.wake(Duration::from_micros(after), Due::Timer(token)),
            Action::Subscribe(on) => self.parts.subscription.send_modify(|w| {
                w.watch = on;
                w.requested_calls += u32::from(on);
            }),
            Action::FetchList => self.parts.subscription.send_modify(|w| w.requested_calls += 1),
            Action::Probe(server) => self.probe(server),
            Action::CloseIdle(server) => self.close_idle_of(server),
            Action::SendToPeers { to, mut bytes } => {
                if let Some(weather) = &self.parts.storm_monitor {
                    bytes = weather.tell(bytes);
                }
                if let Some(peers) = &self.parts.peers {
                    self.counters.told += 1;
                    peers.tell(to, &bytes);
                }
            }
            Action::Log(text) => self.host.log(format_args!("{text}")),
            Action::Fault(text) => self.host.log(format_args!("the decision module failed: {text}")),
        }
    }

    /// Counts and logs that the module refuses a request.
    fn tell_refusal(&self, request: RequestId, retry_after_ms: Micros) {
        let reason = RefuseReason::Module;
        self.parts.ops_endpoint.metrics.refusals.increment(reason);
        let attempts = self.open.get(&request).map_or(0, Open::made);
        self.log.write(
            EventKind::RequestRefused,
            format_args!(
                "reason={} request={request} attempts={attempts} retry_after_ms={retry_after_ms}",
                reason.name()
            ),
        );
    }

    /// Counts and logs that a request gets an attempt beyond its first.
    fn tell_retry(&self, request: RequestId, number: u16, server: ServerId, reason: RetryReason) {
        self.parts.ops_endpoint.metrics.retries.increment(reason);
        self.log.write(
            EventKind::FurtherAttempt,
            format_args!("reason={} request={request} attempt={number} server={server}", reason.name()),
        );
    }

    /// Gives a request its final answer and returns its attempts that are out still.
    fn answer(&mut self, request: RequestId, answer: Reply) -> Vec<AttemptId> {
        let Some(open) = self.open.remove(&request) else { return Vec::new() };
        if let Some(weather) = self.parts.storm_monitor.as_mut().filter(|_| !answer.carries_value()) {
            weather.unserved(self.clock.now(), open.fingerprint);
        }
        match answer {
            Reply::Value(_) | Reply::Stream(_) => self.counters.served += 1,
            Reply::Busy(_) => {
                self.counters.refused += 1;
                self.counters.untried += u32::from(open.made() == 0);
            }
            Reply::Failed => self.counters.failed += 1,
        }
        // A client that has just gone needs none.
        let _ = open.answer.send(answer);
        open.out
    }

    /// Takes back the attempts of a request that is over, as far as they have not been written whole: one that waits for its
    /// connection would begin for nobody.
    fn withdraw(&mut self, attempts: Vec<AttemptId>) {
        for id in attempts {
            let Some(flight) = self.flights.get_mut(&id) else { continue };
            let server = flight.server;
            let withdrawn = match flight.call.take() {
                Some(call) if call.written() => {
                    flight.call = Some(call);
                    false
                }
                Some(call) => !call.give_up(),
                None => {
                    let withdrawn = self.parts.servers.withdraw(server, id);
                    withdrawn.ended.into_iter().for_each(|(other, how)| self.server_ended(other, how));
                    withdrawn.unwritten
                }
            };
            if withdrawn {
                self.end(id, Status::NotSent, CacheResult::None, LoadReport::default(), None);
            }
        }
    }

    fn wake(&mut self, after: Duration, due: Due) {
        self.due.push(Reverse((Instant::now() + after, due)));
    }

    fn send(&mut self, request: RequestId, server: ServerId, give_up_after: Micros) {
        self.last_attempt += 1;
        let (id, sent) = (self.last_attempt, Instant::now());
        let Some(open) = self.open.get_mut(&request) else {
            return self.host.log(format_args!("an attempt of request {request}, which is over"));
        };
        let (number, made) = (open.attempts, open.made());
        open.attempts = open.attempts.saturating_add(1);
        let retry =
            if open.out.is_empty() { open.last_status.map(retry_reason) } else { Some(RetryReason::Hedge) };
        open.out.push(id);
        let (command, was_reset) = (open.command.clone(), open.reset_by == Some(server));
        let may_run_twice = open.may_run_twice;
        let attempt_ends = match give_up_after {
            0 => open.ends,
            after => open.ends.min(sent + Duration::from_micros(after)),
        };
        if let Some(reason) = retry {
            self.tell_retry(request, number, server, reason);
        }
        self.flights.insert(id, Flight { attempt: Some((request, number)), server, sent, call: None });
        if u32::from(made) >= self.site.policy.max_attempts || attempt_ends <= sent {
            return self.end(id, Status::NotSent, CacheResult::None, LoadReport::default(), None);
        }
        if was_reset {
            // What reset one may have forgotten the others that were idle beside it: this attempt gets a new one.
            self.close_idle_of(server);
        }
        let extras = command.attempt_extras(attempt_ends);
        let out = if self.origin_ids.contains(&server) {
            let call = self.parts.origins.call(server, id, &command, extras, may_run_twice);
            let out = call.as_ref().map(|_| ()).ok_or(SendError::NoConnection);
            self.flights.entry(id).and_modify(|f| f.call = call);
            out
        } else {
            if let Some(near) = &mut self.parts.locality {
                near.sent(id, server);
            }
            let payload = servers::Payload::Request { command, extras, may_run_twice };
            self.parts.servers.send(server, servers::AttemptCommand::new(id, payload))
        };
        match out {
            Ok(()) => self.due.push(Reverse((attempt_ends, Due::GiveUp(id)))),
            Err(error) => self.end(id, unsent(error), CacheResult::None, LoadReport::default(), None),
        }
    }

    fn probe(&mut self, server: ServerId) {
        self.last_attempt += 1;
        let (id, sent) = (self.last_attempt, Instant::now());
        let origin = self.origin_ids.contains(&server);
        let call = if origin { self.parts.origins.probe(server, id) } else { None };
        let command = servers::AttemptCommand::new(id, servers::Payload::Probe);
        let out = match (origin, &call) {
            (true, Some(_)) => Ok(()),
            (true, None) => Err(SendError::NoConnection),
            (false, _) => self.parts.servers.send(server, command),
        };
        self.flights.insert(id, Flight { attempt: None, server, sent, call });
        match out {
            Ok(()) => self.wake(PROBE_WAIT, Due::GiveUp(id)),
            Err(error) => self.end(id, unsent(error), CacheResult::None, LoadReport::default(), None),
        }
    }

    /// Gives up an attempt of which the time is over. Its server may have dropped it without a word, and others may wait
    /// behind it.
    fn time_out(&mut self, id: AttemptId) {
        let Some(server) = self.flights.get(&id).map(|flight| flight.server) else { return };
        self.give_up(id, Status::TimedOut);
        if self.parts.servers.blocks_others(server, id) {
            self.wake(RESPONSE_STALL_TIMEOUT, Due::Overdue(server, id));
        }
    }

    /// Stops waiting for an attempt. One that was never written whole can't have run.
    fn give_up(&mut self, id: AttemptId, status: Status) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let (server, call) = (flight.server, flight.call.take());
        let written = match call {
            Some(call) => call.give_up(),
            None => {
                let given_up = self.parts.servers.give_up(server, id);
                given_up.ended.into_iter().for_each(|(other, how)| self.server_ended(other, how));
                !given_up.unwritten
            }
        };
        let status = if written { status } else { Status::NotSent };
        self.end(id, status, CacheResult::None, LoadReport::default(), None);
    }

    /// Reads a cache server's answer as the protocol's table of outcomes says.
    fn server_ended(&mut self, attempt: AttemptId, ended: AttemptOutcome) {
        let frame = match ended {
            AttemptOutcome::Reset => {
                return self.end(attempt, Status::Reset, CacheResult::None, LoadReport::default(), None);
            }
            AttemptOutcome::NotConnected => {
                return self.end(
                    attempt,
                    Status::ConnectFailed,
                    CacheResult::None,
                    LoadReport::default(),
                    None,
                );
            }
            AttemptOutcome::LocalFailure => {
                return self.end(
                    attempt,
                    Status::LocalFailure,
                    CacheResult::None,
                    LoadReport::default(),
                    None,
                );
            }
            // It has run, whatever it was that came back.
            AttemptOutcome::InvalidResponse => {
                return self.end(attempt, Status::Error, CacheResult::None, LoadReport::default(), None);
            }
            // For the module it is served: what follows is between the server and the client.
            AttemptOutcome::StreamStarted(value) => {
                let value = Some(Reply::Stream(value));
                return self.end(attempt, Status::Served, CacheResult::None, LoadReport::default(), value);
            }
            AttemptOutcome::Interrupted(displaced) => return self.send_again(attempt, displaced),
            AttemptOutcome::Answered(frame) => frame,
        };
        match frame {
            BytesFrame::Array(parts) => {
                let mut parts = parts.into_iter();
                let value = match parts.next() {
                    Some(BytesFrame::BulkString(value)) => Some(value),
                    _ => None,
                };
                let note = match text(parts.next()).as_deref() {
                    Some("hit") => CacheResult::Hit,
                    Some("miss") => CacheResult::Miss,
                    Some("pending") => CacheResult::MissBeingFetched,
                    _ => CacheResult::None,
                };
                let load = text(parts.next()).map(|l| load(&self.site, &l)).unwrap_or_default();
                let status = if value.is_some() { Status::Served } else { Status::Miss };
                self.end(attempt, status, note, load, value.map(Reply::Value));
            }
            // Only to a probe: servers.rs lets nothing else through.
            BytesFrame::BulkString(report) => {
                let load = load(&self.site, &String::from_utf8_lossy(&report));
                self.end(attempt, Status::Served, CacheResult::None, load, None);
            }
            BytesFrame::Error(line) => {
                let load = line.rsplit(' ').next().map(|l| load(&self.site, l)).unwrap_or_default();
                let busy = line.split(' ').next() == Some("BUSY");
                if !busy && !line.starts_with("ERR failed") {
                    self.host.log(format_args!("a cache server answers {:?}", line));
                }
                self.end(
                    attempt,
                    if busy { Status::Full } else { Status::Error },
                    CacheResult::None,
                    load,
                    None,
                );
            }
            _ => self.end(attempt, Status::Error, CacheResult::None, LoadReport::default(), None),
        }
    }

    /// Sends an attempt once more whose connection has ended, unless it may have run and may not run twice. For the module it
    /// is still the same attempt.
    fn send_again(&mut self, id: AttemptId, displaced: InterruptedCommand) {
        let Some(flight) = self.flights.get(&id) else { return };
        let (server, request) = (flight.server, flight.attempt.map(|(request, _)| request));
        let was_written = displaced.was_written;
        let most = self.site.policy.max_attempts;
        let is_allowed = match request.map(|request| self.open.get_mut(&request)) {
            // A probe.
            None => true,
            Some(None) => false,
            Some(Some(open)) if was_written => {
                let is_allowed = open.may_run_twice && u32::from(open.made()) < most;
                open.sent_again += u16::from(is_allowed);
                is_allowed
            }
            Some(Some(_)) => true,
        };
        let sent = match is_allowed {
            true => self.parts.servers.resend(server, displaced).map_err(unsent),
            false => Err(Status::NotSent),
        };
        if let Err(status) = sent {
            let status = if was_written { Status::Reset } else { status };
            self.end(id, status, CacheResult::None, LoadReport::default(), None);
        }
    }

    /// The end of an attempt or probe, whatever brought it; the first value served is the request's answer.
    fn end(
        &mut self,
        id: AttemptId,
        status: Status,
        note: CacheResult,
        load: LoadReport,
        value: Option<Reply>,
    ) {
        let Some(flight) = self.flights.remove(&id) else { return };
        if let Some(near) = &mut self.parts.locality {
            near.ended(id, status);
        }
        let (server, took) = (flight.server, flight.sent.elapsed().as_micros() as Micros);
        let Some((request, attempt)) = flight.attempt else {
            // A probe that never left this machine tells nothing of the server: it is made later.
            if status == Status::LocalFailure {
                return self.wake(PROBE_PAUSE, Due::Probe(server));
            }
            return self.events.push_back(Event::Probed {
                server,
                succeeded: status == Status::Served,
                duration: took,
                load,
            });
        };
        let was_made = !matches!(status, Status::NotSent | Status::LocalFailure);
        self.counters.ended(flight.call.is_some() || self.origin_ids.contains(&server), status, took);
        if let Some(weather) = self.parts.storm_monitor.as_mut().filter(|_| was_made) {
            weather.worked(took, self.open.contains_key(&request));
        }
        if let Some(open) = self.open.get_mut(&request) {
            open.out.retain(|out| *out != id);
            open.last_status = Some(status);
            open.reset_by = (status == Status::Reset).then_some(server);
            let failures = u16::from(status == Status::LocalFailure);
            open.local_failures = open.local_failures.saturating_add(failures);
        }
        let others = match status {
            Status::Served => self.answer(request, value.unwrap_or(Reply::Failed)),
            _ => Vec::new(),
        };
        let over = !self.open.contains_key(&request);
        self.events.push_back(Event::Outcome(Outcome {
            request,
            attempt,
            server,
            status,
            request_finished: over,
            cache_result: note,
            duration: took,
            load,
        }));
        // Behind the outcome that ended the request.
        self.withdraw(others);
    }
}

/// What a further attempt follows on, where the one before ended so.
fn retry_reason(status: Status) -> RetryReason {
    match status {
        // A request that was served gets no other attempt.
        Status::Served | Status::Miss => RetryReason::Miss,
        Status::Error => RetryReason::Error,
        Status::Full => RetryReason::Full,
        Status::TimedOut => RetryReason::TimedOut,
        Status::ConnectFailed => RetryReason::NotConnected,
        Status::Reset => RetryReason::Reset,
        Status::Cancelled => RetryReason::Cancelled,
        Status::NotSent => RetryReason::NotSent,
        Status::LocalFailure => RetryReason::LocalFailure,
    }
}

/// Of the descriptors for servers, those for cache servers: the rest is for the origin.
pub fn cache_server_descriptors(servers: usize) -> usize {
    servers * 3 / 4
}

/// How an attempt ended that was not taken.
fn unsent(error: SendError) -> Status {
    match error {
        SendError::NoConnection => Status::ConnectFailed,
        SendError::LocalFailure => Status::LocalFailure,
    }
}

/// A load report: names and values, in the order that the settings give.
fn load(site: &DeploymentSettings, report: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, field) in site.load_field_names.iter().zip(&site.policy.load_fields).take(load.values.len()) {
        let most = if *field == LoadField::Busy { MOST_LOAD.0 } else { MOST_LOAD.1 };
        let value = report.split(',').filter_map(|p| p.trim().split_once('=')).find(|(n, _)| n == name);
        // Reports come spoilt, too: a figure that no load can have must not reach the module's averages.
        let value = value.and_then(|(_, v)| v.parse::<f32>().ok()).filter(|v| (0.0..=most).contains(v));
        let Some(value) = value else { return LoadReport::default() };
        load.values[usize::from(load.count)] = value;
        load.count += 1;
    }
    load
}

fn text(frame: Option<BytesFrame>) -> Option<String> {
    match frame {
        Some(BytesFrame::BulkString(b) | BytesFrame::SimpleString(b)) => {
            Some(String::from_utf8_lossy(&b).into_owned())
        }
        _ => None,
    }
}

#[cfg(test)]
#[path = "../tests/unit/node.rs"]
mod tests;
