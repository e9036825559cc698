//! Owner of the decision module: feeds it events from the other parts of the node and carries out its
//! actions. No routing decision is made here.

mod attempts;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use brassrouter::settings::DeploymentSettings;
use brassrouter::{
    Action, Condition, Effect, Event, InheritedState, ListKind, Micros, Policy, RequestId, ServerId, Status,
};
use mothpier_handover::{PredecessorState, RemainingResources};
use mothpier_host::Host;
use mothpier_ops::{DoubtedAnswers, Gauges, LifecycleEvent, OpsEndpoint, Reason, RefuseReason, RetryReason};
use mothpier_record::{Recorder, entry};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use crate::agreement::{Agreement, AgreementChanges};
use crate::attempt_result::AttemptResult;
use crate::clock::Clock;
use crate::command::{AttemptId, Command, Delivery, REFUSED_RETRY_AFTER_MS, Reply};
use crate::counters::Counters;
use crate::discovery::{ListedServer, ServerIds, ServerList, Subscription};
use crate::event_log::{EventKind, EventLog};
use crate::forwarded_ids::{ForwardedIds, IdHash};
use crate::input::{DiscoveryEvent, Input, InputQueues, NewRequest, NextInput};
use crate::locality::LocalityController;
use crate::memory::ReplyMemory;
use crate::origin::{self, Origins};
use crate::peers::Peers;
use crate::servers::Servers;
use crate::start_times::StartTimes;
use crate::storm_monitor::{CHECK_INTERVAL, StormMonitor};

/// Interval at which exported gauges are refreshed; they may be up to half a second old.
const GAUGE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the activity summary in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum share of fetches among origin calls; must match the decision module.
const MAX_FETCH_SHARE: f64 = 0.7;

/// A request that has not had its final reply.
struct PendingRequest {
    command: Rc<Command>,
    reply: oneshot::Sender<Delivery>,
    deadline: Instant,
    /// Attempts so far (the next attempt gets this number), and how many of them failed on this machine.
    attempts: u16,
    local_failures: u16,
    /// The attempts that have no outcome yet.
    in_flight: Vec<AttemptId>,
    /// Outcome of the attempt that ended last.
    last_status: Option<Status>,
    /// The server whose connection was reset under the last attempt, if it was.
    reset_by: Option<ServerId>,
    /// Fingerprint in the storm detector; 0 without a detector.
    fingerprint: u64,
    /// Whether an attempt that may have been executed may be sent again.
    may_run_twice: bool,
    /// The hash of the id that its client gave it.
    client_id: IdHash,
    /// How often an attempt was written again; for the decision module it stays the same attempt.
    resends: u16,
}

impl PendingRequest {
    /// Number of attempts that count towards the limit: failures on this machine do not.
    fn counted_attempts(&self) -> u16 {
        self.attempts.saturating_sub(self.local_failures).saturating_add(self.resends)
    }
}

/// An attempt or probe without an outcome. It may outlive its request.
struct InFlightAttempt {
    /// The request and the number of the attempt; `None` for a probe.
    attempt: Option<(RequestId, u16)>,
    server: ServerId,
    sent: Instant,
    /// The HTTP call, if the server is an origin.
    origin_call: Option<origin::Call>,
    /// The id of the request, if that must not run twice.
    runs_once: Option<IdHash>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledTask {
    Timer(u32),
    AttemptTimeout(AttemptId),
    /// The grace period is over for the reply to an abandoned attempt that other attempts wait behind.
    ReleaseBlocked(ServerId, AttemptId),
    LogSummary,
    CheckForStorm,
    UpdateGauges,
    LocalityStep,
    /// Repeats a probe that failed on this machine.
    RetryProbe(ServerId),
}

/// State handed over by the predecessor process of this node.
pub struct ResumedState {
    pub policy: Option<Policy>,
    pub inherited: InheritedState,
}

/// The components that the node drives.
pub struct Components<H: Host> {
    pub servers: Servers<H>,
    pub origins: Origins<H>,
    pub peers: Option<Peers<H>>,
    pub subscription: watch::Sender<Subscription>,
    /// Shared with the connections of clients.
    pub forwarded_ids: Rc<ForwardedIds>,
    pub ops_endpoint: Arc<OpsEndpoint>,
    /// Whether there is an operations address on which gauges can be read.
    pub has_ops_address: bool,
    pub storm_monitor: Option<StormMonitor>,
    /// Prefers nearby zones; `None` if the operator has not enabled it.
    pub locality: Option<LocalityController>,
    /// Agreement among nodes on the zones in service; `None` if the operator has not enabled it.
    pub agreement: Option<Agreement<H>>,
    /// Notified when the lifecycle has taken a step that client connections must follow.
    pub lifecycle_changed: Rc<Notify>,
    /// State of the predecessor process, from which the decision module continues.
    pub predecessor: Option<ResumedState>,
    /// Whether a successor process may ask for this node's state.
    pub supports_handover: bool,
    pub recorder: Option<Recorder>,
}

/// Owns the decision module and the state of all unfinished requests and attempts.
pub struct Node<H: Host> {
    host: H,
    policy: Policy,
    settings: DeploymentSettings,
    clock: Clock,
    components: Components<H>,
    server_ids: ServerIds,
    start_times: StartTimes,
    origin_ids: BTreeSet<ServerId>,
    pending: HashMap<RequestId, PendingRequest>,
    in_flight: HashMap<AttemptId, InFlightAttempt>,
    last_attempt: AttemptId,
    schedule: BinaryHeap<Reverse<(Instant, ScheduledTask)>>,
    /// Events caused by actions; handled after the actions that precede them.
    events: VecDeque<Event>,
    actions: Vec<Action>,
    counters: Counters,
    /// The counts that were logged last.
    logged_doubts: DoubtedAnswers,
    event_log: EventLog<H>,
    /// Number of equal shares that the limits are divided into; one of them belongs to this process.
    process_count: u32,
    /// Time at which origin calls of an ended process that shared the limits are over at the latest.
    ended_process_calls_until: Micros,
    /// Time of the last list from discovery.
    last_list_at: Option<Instant>,
    /// The list as discovery sent it, kept for a successor process.
    list_revision: u64,
    list_members: BTreeMap<String, ListedServer>,
    /// Time at which the agreement has work to do.
    agreement_due: Option<Instant>,
    /// Whether connections to servers are closed as soon as they are idle.
    closes_idle_connections: bool,
}

impl<H: Host> Node<H> {
    pub fn new(
        host: H,
        settings: DeploymentSettings,
        seed: u64,
        clock: Clock,
        mut components: Components<H>,
    ) -> Self {
        let resumed = components.predecessor.as_mut().and_then(|i| i.policy.take());
        let resumed = resumed.filter(|p| *p.settings() == settings.policy).map(|p| p.into_successor(seed));
        Node {
            event_log: EventLog::new(host.clone()),
            host,
            policy: resumed.unwrap_or_else(|| Policy::new(settings.policy.clone(), seed)),
            settings,
            clock,
            components,
            server_ids: ServerIds::default(),
            start_times: StartTimes::default(),
            origin_ids: BTreeSet::new(),
            pending: HashMap::new(),
            in_flight: HashMap::new(),
            last_attempt: 0,
            schedule: BinaryHeap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            counters: Counters::default(),
            logged_doubts: DoubtedAnswers::default(),
            process_count: 1,
            ended_process_calls_until: 0,
            last_list_at: None,
            list_revision: 0,
            list_members: BTreeMap::new(),
            agreement_due: None,
            closes_idle_connections: false,
        }
    }

    /// Runs until all senders of inputs are dropped or the node is shut down.
    pub async fn run(mut self, known: Option<ServerList>, mut queues: InputQueues) {
        // State left by an earlier incarnation must be known before the first decision.
        if let Some(inherited) = self.components.recorder.as_mut().and_then(Recorder::take_inherited_state) {
            self.events.push_back(Event::Inherited(inherited));
        }
        if let Some(inherited) = self.components.predecessor.take() {
            self.events.push_back(Event::ProcessCount(2));
            self.events.push_back(Event::Inherited(inherited.inherited));
        }
        let known = known.unwrap_or(ServerList { revision: 0, complete: true, members: Vec::new() });
        self.inherit_start_times(&known);
        self.apply_list(known, ListKind::Cached);
        self.process_events();
        self.schedule_after(SUMMARY_INTERVAL, ScheduledTask::LogSummary);
        if self.components.storm_monitor.is_some() {
            self.schedule_after(CHECK_INTERVAL, ScheduledTask::CheckForStorm);
        }
        if self.components.has_ops_address {
            self.update_gauges();
        }
        if let Some(locality) = &self.components.locality {
            let (routing, wait) = (locality.routing(), locality.wait());
            self.events.push_back(Event::ZoneRouting(Some(routing)));
            self.schedule_after(wait, ScheduledTask::LocalityStep);
            self.process_events();
        }
        self.with_agreement(|_, _| AgreementChanges::default());
        self.process_events();
        loop {
            let next = self.schedule.peek().map(|Reverse((time, _))| *time);
            // Kept outside of the schedule because every message changes it.
            let next = self.agreement_due.into_iter().chain(next).min();
            let idle = Instant::now() + Duration::from_secs(3600);
            tokio::select! {
                biased;
                next = queues.next() => match next {
                    Some(NextInput::Input(Input::Shutdown)) => return self.finish_recording(),
                    Some(NextInput::Input(input)) => self.handle_input(input),
                    Some(NextInput::Request(request)) => self.begin_request(request),
                    None => return,
                },
                () = sleep_until(next.unwrap_or(idle)) => {}
            }
            self.run_due_tasks();
            if self.agreement_due.is_some_and(|at| at <= Instant::now()) {
                self.with_agreement(|agreement, locality| agreement.tick(locality));
            }
            self.process_events();
        }
    }

    fn run_due_tasks(&mut self) {
        let now = Instant::now();
        while self.schedule.peek().is_some_and(|Reverse((time, _))| *time <= now) {
            match self.schedule.pop() {
                Some(Reverse((_, ScheduledTask::Timer(token)))) => self.events.push_back(Event::Timer(token)),
                Some(Reverse((_, ScheduledTask::AttemptTimeout(id)))) => self.time_out_attempt(id),
                Some(Reverse((_, ScheduledTask::ReleaseBlocked(server, id)))) => {
                    let ended = self.components.servers.release_blocked(server, id);
                    ended.into_iter().for_each(|(other, outcome)| self.handle_server_outcome(other, outcome));
                }
                Some(Reverse((_, ScheduledTask::LogSummary))) => {
                    self.counters.connects = self.components.servers.take_connect_counts();
                    let age = self.last_list_at.map(|at| at.elapsed());
                    if let Some(line) = self.counters.take_summary(self.pending.len(), age) {
                        self.host.log(format_args!("{line}"));
                    }
                    self.log_doubted_responses();
                    self.schedule_after(SUMMARY_INTERVAL, ScheduledTask::LogSummary);
                }
                Some(Reverse((_, ScheduledTask::CheckForStorm))) => self.check_for_storm(),
                Some(Reverse((_, ScheduledTask::UpdateGauges))) => self.update_gauges(),
                Some(Reverse((_, ScheduledTask::LocalityStep))) => self.step_locality(),
                Some(Reverse((_, ScheduledTask::RetryProbe(server)))) => self.send_probe(server),
                None => {}
            }
            self.process_events();
        }
    }

    /// Logs the numbers of duplicate and doubted responses if they have grown since the last report.
    fn log_doubted_responses(&mut self) {
        let counts = self.components.ops_endpoint.metrics.doubted_answers();
        if counts != self.logged_doubts {
            self.logged_doubts = counts;
            self.host.log(format_args!("responses of cache servers since the start: {counts}"));
        }
    }

    /// Updates the gauges of the operations endpoint.
    fn update_gauges(&mut self) {
        self.schedule_after(GAUGE_INTERVAL, ScheduledTask::UpdateGauges);
        let (servers_known, servers_excluded) = self.policy.known_and_avoided_servers();
        let (origin_calls_out, origin_calls_limit) = self.policy.origin_calls();
        let list_age = self.last_list_at.unwrap_or(self.clock.started_at()).elapsed();
        self.components.ops_endpoint.metrics.set_gauges(Gauges {
            servers_known,
            servers_excluded,
            origin_calls_out,
            origin_calls_limit,
            list_age,
        });
        if let Some(bytes) = self.host.resident_memory() {
            self.components.ops_endpoint.metrics.set_resident_bytes(bytes);
        }
        self.publish_zone_status();
    }

    /// Publishes the status of zones if the status page is enabled.
    fn publish_zone_status(&self) {
        let (Some(status_page), Some(locality)) =
            (self.components.ops_endpoint.zone_status.get(), &self.components.locality)
        else {
            return;
        };
        let (state, spillover) = locality.state();
        let (zones_out, agreement_status) = self.components.agreement.as_ref().map(Agreement::status).unzip();
        let zone = self.settings.zone.and_then(|zone| self.settings.zone_names.get(usize::from(zone)));
        let status = serde_json::json!({
            "node": self.settings.policy.node_index, "zone": zone,
            "near": {"state": state, "spilt": spillover}, "accord": agreement_status,
        });
        status_page.publish(status.to_string(), zones_out.unwrap_or_default());
    }

    /// Adjusts the share of traffic that stays in nearby zones.
    fn step_locality(&mut self) {
        let Some(locality) = &mut self.components.locality else { return };
        let ((routing, line), wait) = (locality.step(), locality.wait());
        self.events.extend(routing.map(|routing| Event::ZoneRouting(Some(routing))));
        self.schedule_after(wait, ScheduledTask::LocalityStep);
        self.log_notice(line);
    }

    /// Runs an operation of the agreement and applies its result.
    fn with_agreement(
        &mut self,
        operation: impl FnOnce(&mut Agreement<H>, &mut LocalityController) -> AgreementChanges,
    ) {
        let (Some(agreement), Some(locality)) =
            (&mut self.components.agreement, &mut self.components.locality)
        else {
            return;
        };
        let (changes, wait) = (operation(agreement, locality), agreement.wait());
        self.events.extend(changes.routing.map(|pool| Event::ZoneRouting(Some(pool))));
        changes.log_lines.into_iter().for_each(|line| self.log_notice(Some(line)));
        self.agreement_due = Some(Instant::now() + wait);
        if let Some(clients_leave) = changes.clients_leave {
            self.components.ops_endpoint.lifecycle.apply(if clients_leave {
                LifecycleEvent::Leave
            } else {
                LifecycleEvent::Return
            });
            self.components.lifecycle_changed.notify_one();
        }
    }

    /// Evaluates the indicators of a request storm.
    fn check_for_storm(&mut self) {
        self.schedule_after(CHECK_INTERVAL, ScheduledTask::CheckForStorm);
        let Some(monitor) = &mut self.components.storm_monitor else { return };
        if let Some(change) = monitor.check(self.clock.now(), self.policy.fleet_capacity_share()) {
            self.host.log(format_args!("{change}"));
            self.events.push_back(Event::Storm(change.to.is_storm()));
        }
    }

    /// Passes all queued events to the decision module and executes the resulting actions.
    fn process_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let now = self.clock.now();
            self.record_event(now, &event);
            self.policy.handle(now, event, &mut actions);
            let notice = self.components.recorder.as_mut().and_then(|r| r.record_actions(now, &actions));
            self.log_notice(notice);
            actions.drain(..).for_each(|action| self.execute(action));
            self.actions = actions;
        }
    }

    fn record_event(&mut self, now: Micros, event: &Event) {
        let Some(recorder) = self.components.recorder.as_mut().filter(|r| r.is_enabled()) else { return };
        let reference = match event {
            Event::Request(r) => {
                self.pending.get(&r.id).map(|pending| entry::client_id_checksum(&pending.command.id))
            }
            _ => None,
        };
        let notice = recorder.record_event(now, &self.policy, event, reference);
        self.log_notice(notice);
    }

    fn finish_recording(&mut self) {
        let now = self.clock.now();
        let notice = self.components.recorder.as_mut().and_then(|r| r.finish(now));
        self.log_notice(notice);
    }

    fn log_notice(&self, notice: Option<String>) {
        if let Some(line) = notice {
            self.host.log(format_args!("{line}"));
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::SetRecording(on) => {
                let now = self.clock.now();
                let notice = self.components.recorder.as_mut().and_then(|r| r.set_enabled(on, now));
                self.log_notice(notice);
            }
            Input::JoinAgreement => self.with_agreement(|agreement, locality| {
                agreement.join();
                agreement.tick(locality)
            }),
            Input::ZoneOrder(order) => {
                self.with_agreement(|agreement, locality| agreement.give_order(order, locality))
            }
            // A list of the same or an older revision adds nothing to what discovery itself has sent.
            Input::ListFromPredecessor(list) if list.revision > self.list_revision => {
                self.apply_list(list, ListKind::Cached)
            }
            Input::ListFromPredecessor(_) => {}
            Input::ProcessCount(count) => {
                self.process_count = count;
                self.events.push_back(Event::ProcessCount(count));
            }
            Input::ProcessEnded { origin_calls_end_within: remaining } => {
                self.ended_process_calls_until =
                    self.clock.now().saturating_add(remaining.as_micros() as Micros);
            }
            Input::Inherited(state) => self.events.push_back(Event::Inherited(state)),
            Input::ServerDescriptorLimit(limit) => {
                self.components.servers.set_max_connections(cache_server_descriptors(limit))
            }
            Input::CloseIdleConnections => {
                self.closes_idle_connections = true;
                self.close_idle();
            }
            Input::TakeSnapshot { full, reply } => {
                if self.closes_idle_connections {
                    self.close_idle();
                }
                let _ = reply.send(self.state_for_successor(full));
            }
            Input::ReleasePeerAddresses => {
                if let Some(peers) = &mut self.components.peers {
                    peers.close();
                }
                // The successor waits for the address. The plan last agreed on stays in effect for the few
                // seconds that this process has left.
                self.components.agreement = None;
                self.agreement_due = None;
            }
            Input::Shutdown => {}
            Input::ClientGone(id) => {
                if let Some(pending) = self.pending.remove(&id) {
                    self.events.push_back(Event::ClientGone(id));
                    self.withdraw_attempts(pending.in_flight);
                }
            }
            Input::Server { server, connection, event, read_at } => {
                self.components.ops_endpoint.metrics.input_waits.servers.record(read_at.elapsed());
                for (attempt, result) in self.components.servers.handle_event(server, connection, event) {
                    self.handle_server_outcome(attempt, result);
                }
            }
            Input::Origin { attempt, result, read_at } => {
                self.components.ops_endpoint.metrics.input_waits.servers.record(read_at.elapsed());
                self.finish_attempt(attempt, AttemptResult::of_origin_call(result, &self.settings));
            }
            Input::Discovery(DiscoveryEvent::List(list)) => {
                self.components.ops_endpoint.lifecycle.apply(LifecycleEvent::Ready);
                self.counters.lists += 1;
                self.components.ops_endpoint.metrics.list_applied(list.revision);
                self.last_list_at = Some(Instant::now());
                let kind = if list.complete { ListKind::Full } else { ListKind::Delta };
                self.apply_list(list, kind);
            }
            Input::Discovery(DiscoveryEvent::Failed) => {
                self.counters.list_failures += 1;
                self.components.ops_endpoint.metrics.list_call_failed();
                // Reported only to a module that subscribes by itself; pushed updates resume without it.
                if self.settings.policy.subscribes_to_discovery {
                    self.components.subscription.send_modify(|w| w.watch = false);
                    self.events.push_back(Event::ServerList { kind: ListKind::Failed, servers: Vec::new() });
                }
            }
            Input::AgreementMessage { from, message } => {
                self.with_agreement(|agreement, locality| agreement.handle_message(from, message, locality))
            }
            Input::Peer { from, mut bytes } => {
                self.counters.messages_received += 1;
                if let Some(monitor) = &mut self.components.storm_monitor {
                    bytes = monitor.take_peer_state(self.clock.now(), from, bytes);
                }
                self.events.push_back(Event::PeerMessage { from, bytes });
            }
        }
    }

    /// Passes a new request to the decision module.
    fn begin_request(&mut self, new: NewRequest) {
        let NewRequest { mut request, connection, received_at, command, reply } = new;
        // Its client has left meanwhile.
        if reply.is_closed() {
            return;
        }
        let deadline = Instant::now() + Duration::from_micros(request.time_left);
        let now = self.clock.now();
        let wait = Duration::from_micros(now.saturating_sub(received_at));
        self.components.ops_endpoint.metrics.input_waits.requests.record(wait);
        let monitor = self.components.storm_monitor.as_mut();
        let fingerprint = monitor.map_or(0, |w| w.request_arrived(now, connection, &mut request));
        let class = self.settings.policy.classes.get(request.class);
        let pending = PendingRequest {
            may_run_twice: class.is_some_and(|class| class.effect == Effect::Idempotent),
            client_id: command.id_hash(),
            command: command.into(),
            reply,
            deadline,
            attempts: 0,
            local_failures: 0,
            in_flight: Vec::new(),
            last_status: None,
            reset_by: None,
            fingerprint,
            resends: 0,
        };
        self.pending.insert(request.id, pending);
        self.counters.requests += 1;
        self.events.push_back(Event::Request(request));
    }

    /// Closes the idle connections to a server.
    fn close_idle_of(&mut self, server: ServerId) {
        if self.origin_ids.contains(&server) {
            self.components.origins.close_idle(server);
        } else {
            self.components.servers.close_idle(server);
        }
    }

    /// Closes the idle connections to all servers.
    fn close_idle(&mut self) {
        self.components.servers.close_all_idle();
        self.components.origins.close_all_idle();
    }

    /// Returns the state from which a successor process would continue.
    fn state_for_successor(&self, full: bool) -> PredecessorState {
        let (servers, origins) =
            (self.components.servers.open_connections(), self.components.origins.open_connections());
        let mut remaining = RemainingResources {
            inherited: self.policy.inheritable_state(),
            descriptors: (servers + origins) as u32,
        };
        self.add_calls_of_ended_processes(&mut remaining.inherited, full);
        if !full {
            return PredecessorState {
                list_revision: self.list_revision,
                remaining,
                ..PredecessorState::default()
            };
        }
        let members: Vec<&ListedServer> = self.list_members.values().collect();
        PredecessorState {
            list_revision: self.list_revision,
            list: serde_json::to_vec(&members).unwrap_or_default(),
            module_state: postcard::to_allocvec(&self.policy).unwrap_or_default(),
            remaining,
        }
    }

    /// Adds the origin calls that ended processes may have left in flight. Their number is unknown; it is
    /// taken as the share of the limits that belongs neither to this process nor to its successor. The
    /// successor works with half of the limits while this process runs and with all of them afterwards: it is
    /// given as many calls as leave it one share of that half, and as many again when this process ends. It
    /// counts half of the calls that are reported at its start, hence the factor of two there.
    fn add_calls_of_ended_processes(&self, inherited: &mut InheritedState, full: bool) {
        let until = self.ended_process_calls_until;
        if until <= self.clock.now() || self.process_count <= 2 {
            return;
        }
        let share_of = |of: u32| (inherited.outstanding_limit / f64::from(of)) as usize;
        let calls = share_of(2).saturating_sub(share_of(self.process_count));
        // Includes as many fetches as the limit for fetches allows; more would leave the successor none.
        let fetches = (calls as f64 * MAX_FETCH_SHARE) as usize;
        for (fetch, calls) in [(true, fetches), (false, calls - fetches)] {
            let count = if full { 2 * calls } else { calls };
            inherited.origin_calls.extend(std::iter::repeat_n((fetch, until), count));
        }
    }

    /// Keeps the start times that the predecessor recorded for servers, as the module's state has them.
    fn inherit_start_times(&mut self, known: &ServerList) {
        let now = self.clock.now();
        let inherited: HashMap<ServerId, Micros> =
            self.policy.listed_servers().into_iter().map(|entry| (entry.id, entry.started_at)).collect();
        for server in &known.members {
            if let Some(started_at) = inherited.get(&self.server_ids.id_of(&server.id)) {
                self.start_times.inherit(&server.id, server.up_since_ms, *started_at, now);
            }
        }
    }

    fn apply_list(&mut self, mut list: ServerList, kind: ListKind) {
        self.start_times.apply_list(&list, kind, self.clock.now());
        let entries =
            self.server_ids.resolve_entries(&self.host, &mut list, &self.settings, &self.start_times);
        if self.components.supports_handover {
            self.store_list(list, kind);
        }
        let listed: HashSet<ServerId> = entries.iter().map(|(entry, _)| entry.id).collect();
        let gone = entries.iter().map(|(entry, _)| entry).filter(|entry| entry.condition == Condition::Gone);
        let gone: HashSet<ServerId> = gone.map(|entry| entry.id).collect();
        let mut unsent = Vec::new();
        for (entry, address) in &entries {
            let ready = entry.condition == Condition::Ready;
            let is_origin = Some(entry.machine_type) == self.settings.policy.origin_machine_type;
            if entry.condition == Condition::Gone && self.origin_ids.remove(&entry.id) {
                self.components.origins.remove(entry.id);
            } else if is_origin && entry.condition != Condition::Gone {
                self.origin_ids.insert(entry.id);
                self.components.origins.update_origin(entry.id, *address, ready);
            } else {
                unsent.extend(self.components.servers.update_server(entry.id, *address, ready));
                if let Some(locality) = &mut self.components.locality {
                    locality.record_server(entry);
                }
            }
        }
        if kind != ListKind::Delta {
            unsent.extend(self.components.servers.remove_unlisted(&|id| listed.contains(&id)));
            for id in self.origin_ids.extract_if(.., |id| !listed.contains(id)) {
                self.components.origins.remove(id);
            }
        }
        // Server ids are never reused, so entries of servers that have left the list must be dropped.
        let has_left = |id| gone.contains(&id) || kind != ListKind::Delta && !listed.contains(&id);
        self.server_ids.forget(has_left);
        if let Some(locality) = &mut self.components.locality {
            locality.forget(has_left);
            let entry = locality.list_applied();
            self.log_notice(entry);
        }
        let servers = entries.into_iter().map(|(entry, _)| entry).collect();
        self.events.push_back(Event::ServerList { kind, servers });
        for attempt in unsent {
            self.finish_attempt(attempt, Status::NotSent.into());
        }
    }

    /// Stores the list in the form in which discovery sends it.
    fn store_list(&mut self, list: ServerList, kind: ListKind) {
        if kind != ListKind::Delta {
            self.list_members.clear();
        }
        self.list_revision = list.revision;
        for server in list.members {
            if server.is_in_service() {
                self.list_members.insert(server.id.clone(), server);
            } else {
                self.list_members.remove(&server.id);
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send_attempt(request, server, timeout),
            Action::Refuse { request, retry_after } => {
                let wait = retry_after.min(self.settings.max_retry_after).div_ceil(1000);
                let attempts = self.pending.get(&request).map_or(0, PendingRequest::counted_attempts);
                self.report_refusal(request, attempts, RefuseReason::Module, wait);
                let attempts = self.send_reply(request, Reply::Busy(wait));
                self.withdraw_attempts(attempts);
            }
            Action::Fail(request) => {
                let attempts = self.send_reply(request, Reply::Failed);
                self.withdraw_attempts(attempts);
            }
            Action::Cancel { request, attempt } => {
                let wanted = Some((request, attempt));
                if let Some(id) = self.in_flight.iter().find(|(_, f)| f.attempt == wanted).map(|(id, _)| *id)
                {
                    self.abandon_attempt(id, Status::Cancelled);
                }
            }
            Action::Timer { after, token } => {
                self.schedule_after(Duration::from_micros(after), ScheduledTask::Timer(token))
            }
            Action::Subscribe(on) => self.components.subscription.send_modify(|subscription| {
                subscription.watch = on;
                subscription.requested_calls += u32::from(on);
            }),
            Action::FetchList => {
                self.components.subscription.send_modify(|subscription| subscription.requested_calls += 1)
            }
            Action::Probe(server) => self.send_probe(server),
            Action::CloseIdle(server) => self.close_idle_of(server),
            Action::SendToPeers { to, mut bytes } => {
                if let Some(monitor) = &self.components.storm_monitor {
                    bytes = monitor.append_state(bytes);
                }
                if let Some(peers) = &self.components.peers {
                    self.counters.messages_sent += 1;
                    peers.send(to, &bytes);
                }
            }
            Action::Log(text) => self.host.log(format_args!("{text}")),
            Action::Fault(text) => self.host.log(format_args!("fault in the decision module: {text}")),
        }
    }

    /// Counts and logs that a request is refused.
    fn report_refusal(&self, request: RequestId, attempts: u16, reason: RefuseReason, retry_after_ms: u64) {
        self.components.ops_endpoint.metrics.refusals.increment(reason);
        self.event_log.write(
            EventKind::RequestRefused,
            format_args!(
                "reason={} request={request} attempts={attempts} retry_after_ms={retry_after_ms}",
                reason.name()
            ),
        );
    }

    /// Counts and logs an attempt beyond the first of a request.
    fn report_retry(&self, request: RequestId, number: u16, server: ServerId, reason: RetryReason) {
        self.components.ops_endpoint.metrics.retries.increment(reason);
        self.event_log.write(
            EventKind::FurtherAttempt,
            format_args!("reason={} request={request} attempt={number} server={server}", reason.name()),
        );
    }

    /// Reserves the memory for a reply of this size. Where there is none, a request that may run twice is refused, and any
    /// other fails, because it has run.
    fn fit_reply(
        &self,
        request: RequestId,
        mut reply: Reply,
        pending: &PendingRequest,
        memory: &mut Option<ReplyMemory>,
    ) -> Reply {
        let received = reply.take_memory();
        let held = memory.as_mut().map_or(Ok(()), |memory| memory.hold(reply.held_bytes(), received));
        if held.is_ok() {
            return reply;
        }
        if !pending.may_run_twice {
            return Reply::Failed;
        }
        self.report_refusal(
            request,
            pending.counted_attempts(),
            RefuseReason::Memory,
            REFUSED_RETRY_AFTER_MS,
        );
        Reply::Busy(REFUSED_RETRY_AFTER_MS)
    }

    /// Sends the final reply to a request and returns its attempts that are still in flight.
    fn send_reply(&mut self, request: RequestId, reply: Reply) -> Vec<AttemptId> {
        let Some(pending) = self.pending.remove(&request) else { return Vec::new() };
        let mut memory = pending.command.reply_memory.take();
        let reply = self.fit_reply(request, reply, &pending, &mut memory);
        if let Some(monitor) = self.components.storm_monitor.as_mut().filter(|_| !reply.carries_value()) {
            monitor.request_unserved(self.clock.now(), pending.fingerprint);
        }
        match reply {
            Reply::Value(_) | Reply::Stream(_) => self.counters.served += 1,
            Reply::Busy(_) => {
                self.counters.refused += 1;
                self.counters.untried += u32::from(pending.counted_attempts() == 0);
            }
            Reply::Failed => self.counters.failed += 1,
        }
        // The client may have disconnected meanwhile.
        let end = reply.request_end();
        let _ = pending.reply.send(Delivery { reply: reply.into(), end, memory });
        pending.in_flight
    }

    /// Withdraws those attempts of a finished request that have not been fully written: one that waits for a
    /// connection would otherwise be sent for nobody.
    fn withdraw_attempts(&mut self, attempts: Vec<AttemptId>) {
        for id in attempts {
            let Some(attempt) = self.in_flight.get_mut(&id) else { continue };
            let server = attempt.server;
            let withdrawn = match attempt.origin_call.take() {
                Some(call) if call.is_written() => {
                    attempt.origin_call = Some(call);
                    false
                }
                Some(call) => !call.cancel(),
                None => {
                    let withdrawn = self.components.servers.withdraw(server, id);
                    withdrawn
                        .ended
                        .into_iter()
                        .for_each(|(other, outcome)| self.handle_server_outcome(other, outcome));
                    withdrawn.unwritten
                }
            };
            if withdrawn {
                self.finish_attempt(id, Status::NotSent.into());
            }
        }
    }

    fn schedule_after(&mut self, delay: Duration, task: ScheduledTask) {
        self.schedule.push(Reverse((Instant::now() + delay, task)));
    }
}

/// Share of the server descriptors that is for cache servers; the others are for origins.
pub fn cache_server_descriptors(server_descriptors: usize) -> usize {
    server_descriptors * 3 / 4
}

#[cfg(test)]
#[path = "../tests/unit/node.rs"]
mod tests;
