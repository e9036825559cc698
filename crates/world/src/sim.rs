//! A run on the virtual clock: nodes, stubs, faults, the checker, and the digest of all that happens.

mod failing;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chalksill_simnet::{Links, Net, SimHost};
use mothpier_handover::{Decoder, Message, PredecessorState, encode};
use mothpier_host::Host;
use mothpier_node::config::{self, Config};
use mothpier_node::handover::{Handover, Link};
use mothpier_node::{Control, StartOptions, operator};
use mothpier_ops::{LifecycleEvent, OpsEndpoint};
use rand::Rng;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::agreement::{self, ReportedPlan};
use crate::cache::CacheServer;
use crate::clients::Clients;
use crate::discovery::Discovery;
use crate::failing_host::FailingHost;
use crate::faults::{self, Fault, Kind, UpgradeEnd, What};
use crate::fleet::{Fleet, Member};
use crate::mutant::{Mutant, MutantHost};
use crate::observe::{NodeIndex, Observation, ObservedEvent, Observer, Phase, ServerIndex};
use crate::origin::Origin;
use crate::process;
use crate::report::{Collector, Report};
use crate::rules::Checker;
use crate::scenario::Scenario;
use crate::system_calls::{FailingCall, FailingCalls};
use crate::tape::{RecordedSegment, RecordingOptions, Recordings};
use crate::users::{PersistentClients, RetainedConnections};
use crate::wall_clock::WallClockStep;

/// Wall clock at the start of each simulated run, as Unix time.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);
/// Time before the first request, in which nodes become ready. Times of faults count from its end, times in
/// reports from its start.
const WARM_UP: Duration = Duration::from_millis(1200);
/// Time after the last deadline before open requests count as never answered.
const REPLY_GRACE: Duration = Duration::from_millis(1500);
/// How often open sockets are counted.
const SOCKET_COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of all random draws.
    pub seed: u64,
    /// The faults; `None` to draw them from the seed.
    pub script: Option<Vec<Fault>>,
    /// A defect planted in the nodes, to check that the rules detect it.
    pub mutant: Option<Mutant>,
}

impl RunPlan {
    /// The faults of the run, in the order of their times.
    pub fn script(&self) -> Vec<Fault> {
        self.script.clone().unwrap_or_else(|| {
            let seed = xxhash_rust::xxh3::xxh3_64_with_seed(b"faults", self.seed);
            faults::draw(&self.scenario, &mut <rand_pcg::Pcg64Mcg as rand::SeedableRng>::seed_from_u64(seed))
        })
    }
}

type Trace = Rc<RefCell<dyn FnMut(&str)>>;

/// Runs a plan to its end on the virtual clock. All observations and log lines go to `trace`.
pub fn run(plan: &RunPlan, trace: Option<Trace>) -> Report {
    chalksill_simnet::run(|| play(plan.clone(), trace, None))
}

/// Like [`run`], with nodes that record; also returns the recorded segments in the order in which they were
/// begun.
pub fn run_recorded(
    plan: &RunPlan,
    trace: Option<Trace>,
    recording: RecordingOptions,
) -> (Report, Vec<RecordedSegment>) {
    chalksill_simnet::run(|| async {
        let recordings = Recordings::new(recording);
        let report = play(plan.clone(), trace, Some(recordings.clone())).await;
        (report, recordings.take())
    })
}

struct NodeRun {
    host: SimHost,
    task: AbortHandle,
    control: mpsc::Sender<Control>,
    exit: JoinHandle<()>,
    incarnation: u64,
    ops_endpoint: Arc<OpsEndpoint>,
    /// Accepts links of successor processes; `None` in runs without upgrades.
    successors: Option<mpsc::Sender<Link>>,
}

struct CacheServerRun {
    host: SimHost,
    task: AbortHandle,
}

struct SimulatedEnvironment {
    net: Net,
    fleet: Rc<Fleet>,
    discovery: Rc<Discovery>,
    discovery_host: SimHost,
    nodes: RefCell<BTreeMap<NodeIndex, NodeRun>>,
    cache_servers: RefCell<BTreeMap<ServerIndex, CacheServerRun>>,
    clients: RefCell<Option<Rc<Clients<SimHost>>>>,
    /// Clients with persistent connections, if the scenario has any.
    persistent_clients: RefCell<Option<Rc<PersistentClients<SimHost>>>>,
    /// When each drained node was drained.
    drained_since: RefCell<BTreeMap<NodeIndex, Instant>>,
    incarnations: Cell<u64>,
    origin: ServerIndex,
    mutant: Option<Mutant>,
    recordings: Option<Recordings>,
    /// Whether the platform holds the nodes' listening sockets.
    platform_holds_sockets: bool,
    /// Controls which system calls of nodes fail, if any may.
    failing_calls: Option<FailingCalls>,
}

fn node_ip(node: NodeIndex) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 1, (node / 250) as u8, (node % 250) as u8 + 1))
}

fn cache_server_ip(index: ServerIndex) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 2, (index / 250) as u8, (index % 250) as u8 + 1))
}

/// A drained node's connections are counted this long after the drain was requested.
const DRAIN_CHECK_AFTER: Duration = Duration::from_secs(4);
/// A request within this time before the count is recent.
const RECENT_REQUEST: Duration = Duration::from_secs(2);
/// New connections may still be made for this long after a drain.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(200);
/// Time until the load balancer in front notices that a node refuses connections, or accepts them again.
const FRONT_NOTICE_DELAY: Duration = Duration::from_millis(300);

const DISCOVERY_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 3, 0, 1));
/// Ports of discovery: where it answers at first, where it can move to, and one on which nothing ever
/// listens.
const DISCOVERY_PORT: u16 = 8500;
const DISCOVERY_MOVED_PORT: u16 = 8501;
const DISCOVERY_DEAD_PORT: u16 = 8502;
const CLIENTS_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 4, 0, 1));

/// Two ends of a link whose messages are encoded and decoded on their way, as between two processes.
fn linked_pair() -> (Link, Link) {
    let side = || (mpsc::channel::<Message>(4), mpsc::channel::<Message>(4));
    let ((a_outbox, from_a), (to_b, b_inbox)) = side();
    let ((b_outbox, from_b), (to_a, a_inbox)) = side();
    let forward = |mut from: mpsc::Receiver<Message>, to: mpsc::Sender<Message>| {
        spawn_local(async move {
            let mut decoder = Decoder::default();
            loop {
                // Ends when either end is dropped.
                let message = tokio::select! {
                    message = from.recv() => message,
                    () = to.closed() => None,
                };
                let Some(frame) = message.and_then(|m| encode(&m).ok()) else { return };
                decoder.push(&frame);
                while let Ok(Some(message)) = decoder.next_message() {
                    if to.send(message).await.is_err() {
                        return;
                    }
                }
            }
        });
    };
    forward(from_a, to_b);
    forward(from_b, to_a);
    (Link { inbox: a_inbox, outbox: a_outbox }, Link { inbox: b_inbox, outbox: b_outbox })
}

/// The node that has an address.
fn node_of(from: SocketAddr) -> NodeIndex {
    match from.ip() {
        IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(high) * 250 + usize::from(low).saturating_sub(1)
        }
        IpAddr::V6(_) => 0,
    }
}

async fn play(plan: RunPlan, trace: Option<Trace>, recordings: Option<Recordings>) -> Report {
    let scenario = plan.scenario.clone();
    let links = &scenario.network;
    let range =
        |pair: [f64; 2]| (Duration::from_secs_f64(pair[0] / 1e3), Duration::from_secs_f64(pair[1] / 1e3));
    let links = Links {
        within_zone: range(links.within_ms),
        between_zones: range(links.across_ms),
        datagrams: range(links.datagrams_ms),
        datagram_loss: links.datagrams_lost,
    };
    let net = Net::new(plan.seed, EPOCH, links);
    let observer = Observer::starting_now();
    let origin = scenario.boxes.count;
    let checker = Rc::new(RefCell::new(Checker::new(&scenario, origin)));
    let collector = Rc::new(RefCell::new(Collector::new(&scenario, plan.seed, origin)));
    let observed_digest = Rc::new(Cell::new(plan.seed));
    {
        let (checker, collector, observed_digest, trace) =
            (checker.clone(), collector.clone(), observed_digest.clone(), trace.clone());
        observer.subscribe(move |observation: &Observation| {
            let before = checker.borrow().violations().len();
            checker.borrow_mut().observe(observation);
            collector.borrow_mut().observe(observation);
            observed_digest.set(update_digest(observed_digest.get(), observation));
            if let Some(trace) = &trace {
                let mut trace = trace.borrow_mut();
                (*trace)(&observation.to_string());
                for violation in &checker.borrow().violations()[before..] {
                    (*trace)(&format!("{:10.3} ms BROKEN {violation}", observation.at.as_secs_f64() * 1e3));
                }
            }
        });
    }
    let begin = Instant::now();
    let log_observer = scenario.agreement_enabled().then(|| observer.clone());
    if trace.is_some() || log_observer.is_some() {
        net.set_log_sink(move |at, name, line| {
            let line = line.to_string();
            if let Some(trace) = &trace {
                let mut trace = trace.borrow_mut();
                (*trace)(&format!("{:10.3} ms {name}: {line}", (at - begin).as_secs_f64() * 1e3));
            }
            // Only the nodes' logs tell what they have agreed on.
            let node = name.strip_prefix("node ").and_then(|n| n.parse().ok());
            if let (Some(observer), Some(node)) = (&log_observer, node) {
                if let Some(plan) = ReportedPlan::parse(&line) {
                    observer.record(ObservedEvent::PlanAdopted { node, plan });
                } else if let Some(leads) = agreement::leadership_change(&line) {
                    observer.record(ObservedEvent::LeadershipChanged { node, leads });
                }
            }
        });
    }
    let fleet = Fleet::new(scenario.clone(), plan.seed, observer.clone());
    spawn_local(net.clone().deliver_packets());
    let zones = scenario.zones.len();
    let member = |index: ServerIndex| Member {
        id: format!("s-{index:04}"),
        addresses: vec![SocketAddr::new(cache_server_ip(index), 6379)],
        zone: index % zones,
        is_origin: index == origin,
        phase: Phase::Ready,
        started_ms: if scenario.boxes.start_cold && index != origin { EPOCH.as_millis() as u64 } else { 0 },
    };
    let members = (0..=origin).map(|n| (n, member(n))).collect();
    let discovery = Discovery::new(&fleet, members);
    let environment = Rc::new(SimulatedEnvironment {
        net: net.clone(),
        fleet: fleet.clone(),
        discovery: discovery.clone(),
        discovery_host: net.start_process(DISCOVERY_IP, 0, "discovery"),
        nodes: RefCell::default(),
        cache_servers: RefCell::default(),
        clients: RefCell::new(None),
        persistent_clients: RefCell::new(None),
        drained_since: RefCell::default(),
        incarnations: Cell::new(0),
        origin,
        mutant: plan.mutant,
        recordings,
        platform_holds_sockets: scenario.faults.kinds.contains(&Kind::Upgrade)
            || plan.script().iter().any(|f| matches!(f.what, What::Upgrade { .. })),
        failing_calls: failing::failing_calls(&plan, &fleet),
    });
    for index in 0..origin {
        environment.start_cache_server(index, scenario.boxes.start_cold).await;
    }
    fleet.warm_caches(&discovery.ready_servers());
    environment.start_origin().await;
    for port in [DISCOVERY_PORT, DISCOVERY_MOVED_PORT] {
        if let Ok(listener) = environment.discovery_host.listen(SocketAddr::new(DISCOVERY_IP, port)).await {
            spawn_local(discovery.clone().serve::<SimHost>(listener, node_of));
        }
    }
    let mut platform = Vec::new();
    for node in 0..scenario.nodes.count {
        if environment.platform_holds_sockets {
            let host =
                net.start_process(node_ip(node), (node % zones) as u8, &format!("platform of node {node}"));
            platform.extend(host.listen(SocketAddr::new(node_ip(node), 6379)).await);
        }
        environment.start_node(node);
    }
    sleep(WARM_UP).await;
    let addresses = (0..scenario.nodes.count).map(|n| SocketAddr::new(node_ip(n), 6379)).collect();
    let results = collector.clone();
    let clients =
        Clients::new(net.start_process(CLIENTS_IP, 0, "clients"), &fleet, addresses, move |completed| {
            results.borrow_mut().record_result(&completed);
        });
    *environment.clients.borrow_mut() = Some(clients.clone());
    let begin = Instant::now();
    if scenario.load.users > 0 {
        let users = PersistentClients::new(clients.clone());
        users.start(begin + scenario.load_duration());
        *environment.persistent_clients.borrow_mut() = Some(users);
    }
    for fault in plan.script() {
        let environment = environment.clone();
        spawn_local(async move {
            sleep_until(begin + Duration::from_millis(fault.at_ms)).await;
            environment.apply_fault(fault.what).await;
        });
    }
    spawn_local(environment.clone().count_sockets());
    clients.clone().generate_load(scenario.load_duration()).await;
    let end = Instant::now() + scenario.longest_deadline() + REPLY_GRACE;
    let users = environment.persistent_clients.borrow().clone();
    let open_requests = || clients.in_flight() + users.as_ref().map_or(0, |users| users.open_connections());
    while open_requests() > 0 && Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
    }
    checker.borrow_mut().finish(observer.elapsed());
    let mut report = collector.borrow().report();
    report.violations = checker.borrow().violations().to_vec();
    report.digest = format!("{:016x}", net.digest() ^ observed_digest.get());
    report.virtual_s = net.elapsed().as_secs_f64();
    report.packets = net.delivered_packets();
    fleet.clear();
    report
}

/// Adds an observation to the digest.
fn update_digest(digest: u64, observation: &Observation) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = xxhash_rust::xxh3::Xxh3::with_seed(digest);
    observation.at.as_micros().hash(&mut hasher);
    std::mem::discriminant(&observation.event).hash(&mut hasher);
    match &observation.event {
        ObservedEvent::ReplyReceived { request, .. }
        | ObservedEvent::ConnectionLost { request, .. }
        | ObservedEvent::ClientLeft { request, .. } => {
            request.hash(&mut hasher);
        }
        ObservedEvent::AttemptArrived { server, node, request, .. } => {
            (server, node, request).hash(&mut hasher)
        }
        ObservedEvent::ListSent { node, revision, .. } => (node, revision).hash(&mut hasher),
        _ => {}
    }
    hasher.finish()
}

impl SimulatedEnvironment {
    fn next_incarnation(&self) -> u64 {
        self.incarnations.set(self.incarnations.get() + 1);
        self.incarnations.get()
    }

    /// Starts a cache server on its machine.
    async fn start_cache_server(self: &Rc<Self>, index: ServerIndex, cold: bool) {
        let zone = index % self.fleet.scenario.zones.len();
        let ip = cache_server_ip(index);
        let host = self.net.start_process(ip, zone as u8, &format!("cache server {index}"));
        let cache = CacheServer::new(&self.fleet, index, self.next_incarnation(), cold);
        self.fleet.add_cache_server(index, cache.clone());
        let started_ms = if cold { self.discovery_unix_ms() } else { 0 };
        self.fleet.observer.record(ObservedEvent::CacheServerStarted {
            server: index,
            started_ms,
            capacity: cache.capacity(),
            cold,
        });
        let Ok(listener) = host.listen(SocketAddr::new(ip, 6379)).await else { return };
        let local = LocalSet::new();
        local.spawn_local(cache.clone().serve::<SimHost>(listener, node_of));
        let task = spawn_local(local).abort_handle();
        self.cache_servers.borrow_mut().insert(index, CacheServerRun { host, task });
        let environment = self.clone();
        spawn_local(async move {
            cache.collapsed.notified().await;
            environment.end_cache_server(index, true);
        });
    }

    async fn start_origin(self: &Rc<Self>) {
        let ip = cache_server_ip(self.origin);
        let host = self.net.start_process(ip, 0, "origin");
        let origin = Origin::new(&self.fleet, self.origin);
        if let Ok(listener) = host.listen(SocketAddr::new(ip, 6379)).await {
            spawn_local(origin.serve::<SimHost>(listener, node_of));
        }
    }

    /// Starts a node with the list that it last had, as the platform would.
    fn start_node(self: &Rc<Self>, node: NodeIndex) {
        if let Some(run) = self.run_node(node, None) {
            let incarnation = run.incarnation;
            self.nodes.borrow_mut().insert(node, run);
            self.watch_startup(node, incarnation);
        }
    }

    /// Starts a process of a node; with `predecessor`, beside a running one whose state it takes over.
    fn run_node(
        self: &Rc<Self>,
        node: NodeIndex,
        predecessor: Option<(PredecessorState, Link)>,
    ) -> Option<NodeRun> {
        let scenario = &self.fleet.scenario;
        let incarnation = self.next_incarnation();
        if predecessor.is_none() {
            self.fleet.observer.record(ObservedEvent::NodeStarted { node });
        }
        let zone = node % scenario.zones.len();
        let host = self.net.start_process(node_ip(node), zone as u8, &format!("node {node}"));
        let seed: u64 = self.fleet.rng("node", incarnation).random();
        let peers: Vec<_> = (0..scenario.nodes.count).map(|n| SocketAddr::new(node_ip(n), 7946)).collect();
        let (listen, discovery) =
            (SocketAddr::new(node_ip(node), 6379), SocketAddr::new(DISCOVERY_IP, DISCOVERY_PORT));
        let addresses = process::NodeAddresses { listen, discovery, peers: &peers, operations: None };
        let mut text =
            process::node_configuration(scenario, node, &addresses, seed, self.discovery.known_list(node));
        if let Some(mutant) = self.mutant {
            text["settings"] = mutant.node_settings(scenario, node);
        }
        let environment = config::Environment::default();
        let parsed = config::read(text.to_string().as_bytes(), environment, config::Precedence::Environment);
        let members = |port| (0..scenario.nodes.count).map(move |n| SocketAddr::new(node_ip(n), port));
        let all: Vec<SocketAddr> = members(agreement::PORT).collect();
        let operator = agreement::operator_config(&scenario.nodes.operator, all[node], &all);
        let operator =
            operator.map(|text| self.mutant.map_or(text.clone(), |m| m.operator_config(text, node)));
        let operator = operator.and_then(|text| operator::read(&text));
        let config = match parsed.and_then(|c| operator.map(|operator| Config { operator, ..c })) {
            Ok(config) => config,
            Err(e) => {
                host.log(format_args!("unreadable configuration: {e}"));
                return None;
            }
        };
        let mut recorder = None;
        if let Some(recordings) = &self.recordings {
            let (new_recorder, line) =
                recordings.recorder(node, &config, host.unix_time().as_micros() as u64);
            recorder = Some(new_recorder);
            if let Some(line) = line {
                host.log(format_args!("{line}"));
            }
        }
        let (control, control_receiver) = mpsc::channel(4);
        let ops_endpoint = OpsEndpoint::new(&config.site.class_names);
        let local = LocalSet::new();
        let (node_host, log) = (host.clone(), host.clone());
        // Where nodes are upgraded, the platform holds their sockets and passes them on.
        let listener = self.platform_holds_sockets.then(|| host.inherit(config.listen).ok()).flatten();
        let (successor_sender, successors) = mpsc::channel(1);
        let handover = self.platform_holds_sockets.then_some(Handover { predecessor, successors });
        let node_endpoint = ops_endpoint.clone();
        let failures_apply = self.mutant.is_none_or(Mutant::alters_errors);
        let running = match (self.mutant, self.failing_calls.clone().filter(|_| failures_apply)) {
            (mutant, Some(calls)) => {
                let node_host = FailingHost::new(node_host, node, calls, mutant);
                let listener = listener.map(|l| node_host.listener(l));
                let start = StartOptions { recorder, listener, handover };
                local.spawn_local(mothpier_node::run(
                    node_host,
                    config,
                    node_endpoint,
                    control_receiver,
                    start,
                ))
            }
            (None, None) => {
                let start = StartOptions { recorder, listener, handover };
                local.spawn_local(mothpier_node::run(
                    node_host,
                    config,
                    node_endpoint,
                    control_receiver,
                    start,
                ))
            }
            (Some(mutant), None) => {
                let node_host = MutantHost::new(node_host, mutant);
                let listener = listener.map(|l| node_host.listener(l));
                let start = StartOptions { recorder, listener, handover };
                local.spawn_local(mothpier_node::run(
                    node_host,
                    config,
                    node_endpoint,
                    control_receiver,
                    start,
                ))
            }
        };
        // The task set lives as long as the node; dropping it with its task ends all of the node's tasks.
        let exit = spawn_local(async move {
            let exit = local.run_until(running).await;
            if let Ok(Err(e)) = exit {
                log.log(format_args!("ended: {e}"));
            }
        });
        let task = exit.abort_handle();
        let successors = self.platform_holds_sockets.then_some(successor_sender);
        Some(NodeRun { host, task, control, exit, incarnation, ops_endpoint, successors })
    }

    /// Applies a lifecycle event to a node, as an operator does over HTTP.
    fn apply_lifecycle_event(&self, node: NodeIndex, event: LifecycleEvent) {
        match event {
            LifecycleEvent::Drain => {
                *self.drained_since.borrow_mut().entry(node).or_insert_with(Instant::now)
            }
            _ => self.drained_since.borrow_mut().remove(&node).unwrap_or_else(Instant::now),
        };
        if let Some(run) = self.nodes.borrow().get(&node) {
            run.ops_endpoint.lifecycle.apply(event);
            if self.mutant != Some(Mutant::KeepsDrained) {
                let _ = run.control.try_send(Control::LifecycleChanged);
            }
        }
    }

    /// Drains a node and reverts it several times, then drains it for `duration`.
    async fn drain_series(self: &Rc<Self>, node: NodeIndex, times: u32, apart: Duration, duration: Duration) {
        for _ in 0..times {
            self.apply_lifecycle_event(node, LifecycleEvent::Drain);
            sleep(apart).await;
            self.apply_lifecycle_event(node, LifecycleEvent::Undrain);
            sleep(apart).await;
        }
        self.drain_node(node, duration).await;
    }

    /// Checks which client connections a node still holds 4 s after its drain, if it has been drained since.
    async fn check_drain(self: Rc<Self>, node: NodeIndex, requested_at: Instant) {
        let Some(incarnation) = self.nodes.borrow().get(&node).map(|run| run.incarnation) else { return };
        sleep_until(requested_at + DRAIN_CHECK_AFTER).await;
        let same_incarnation =
            self.nodes.borrow().get(&node).is_some_and(|run| run.incarnation == incarnation);
        let drained = same_incarnation && self.drained_since.borrow().get(&node) == Some(&requested_at);
        let Some(users) = self.persistent_clients.borrow().clone().filter(|_| drained) else { return };
        let retained = users.retained_connections(
            node,
            requested_at + NEW_CONNECTION_GRACE,
            requested_at + DRAIN_CHECK_AFTER - RECENT_REQUEST,
        );
        if retained.idle + retained.recent > 0 {
            let RetainedConnections { idle, recent } = retained;
            self.fleet.observer.record(ObservedEvent::ConnectionsAfterDrain { node, idle, recent });
        }
    }

    /// Drains a node and brings it back; the load balancer in front notices within moments.
    async fn drain_node(self: &Rc<Self>, node: NodeIndex, duration: Duration) {
        let apply = |step: LifecycleEvent| self.apply_lifecycle_event(node, step);
        apply(LifecycleEvent::Drain);
        let requested_at = Instant::now();
        if self.persistent_clients.borrow().is_some()
            && self.drained_since.borrow().get(&node) == Some(&requested_at)
        {
            spawn_local(self.clone().check_drain(node, requested_at));
        }
        sleep(FRONT_NOTICE_DELAY).await;
        if let Some(clients) = &*self.clients.borrow() {
            clients.stop_new_connections(node);
        }
        sleep(duration).await;
        apply(LifecycleEvent::Undrain);
        sleep(FRONT_NOTICE_DELAY).await;
        let running = self.nodes.borrow().contains_key(&node);
        if let Some(clients) = self.clients.borrow().as_ref().filter(|_| running) {
            clients.set_reachable(node, true);
        }
    }

    /// Starts a new process of a node beside the old one, which stops once the new one can serve.
    async fn upgrade_node(self: &Rc<Self>, node: NodeIndex, outcome: UpgradeEnd) {
        let successors = self.nodes.borrow().get(&node).and_then(|run| run.successors.clone());
        let Some(successors) = successors else { return };
        let (own_link, peer_link) = linked_pair();
        let mut own_link = own_link;
        let hello =
            Message::Hello { node_name: format!("n{node}"), state_layout: brassrouter::STATE_VERSION };
        if successors.try_send(peer_link).is_err() || own_link.outbox.send(hello).await.is_err() {
            return;
        }
        let reply = tokio::time::timeout(Duration::from_secs(1), own_link.inbox.recv()).await;
        let Ok(Some(Message::State(state))) = reply else { return };
        let Some(new) = self.run_node(node, Some((state, own_link))) else { return };
        while new.ops_endpoint.lifecycle.phase() == mothpier_ops::Phase::Starting {
            sleep(Duration::from_millis(10)).await;
        }
        // Requests of a killed process are lost, as with any kill.
        let end = |run: &NodeRun, killed: bool| {
            if killed {
                self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: false });
            }
            self.net.kill(run.host.process());
            run.task.abort();
            // Unless the other process was killed meanwhile.
            if killed && self.nodes.borrow().contains_key(&node) {
                self.fleet.observer.record(ObservedEvent::NodeStarted { node });
            }
        };
        if outcome == UpgradeEnd::NewKilled {
            sleep(Duration::from_millis(50)).await;
            return end(&new, true);
        }
        // The old process may have been killed or stopped meanwhile; the new one becomes the node in any
        // case.
        let Some(mut old) = self.nodes.borrow_mut().insert(node, new) else { return };
        if outcome == UpgradeEnd::InOrder {
            let _ = old.control.try_send(Control::Stop);
            let time_out = self.fleet.scenario.longest_deadline().min(Duration::from_secs(3))
                + Duration::from_millis(700);
            if tokio::time::timeout(time_out, &mut old.exit).await.is_err() {
                self.fleet.observer.record(ObservedEvent::StopOverdue { node });
            }
        }
        end(&old, outcome == UpgradeEnd::OldKilled);
    }

    async fn count_sockets(self: Rc<Self>) {
        loop {
            sleep(SOCKET_COUNT_INTERVAL).await;
            let counts: Vec<(NodeIndex, usize)> = self
                .nodes
                .borrow()
                .iter()
                .map(|(node, run)| (*node, self.net.socket_count(run.host.process())))
                .collect();
            for (node, count) in counts {
                self.fleet.observer.record(ObservedEvent::OpenSockets { node, count });
            }
        }
    }

    /// The load balancer in front takes a while to notice that a node is gone.
    fn notice_node_down(self: &Rc<Self>, node: NodeIndex, incarnation: u64) {
        let [least, most] = self.fleet.scenario.nodes.front_notices_ms;
        let mut rng = self.fleet.rng("front", incarnation);
        let delay = Duration::from_millis(rng.random_range(least..=most));
        let environment = self.clone();
        spawn_local(async move {
            sleep(delay).await;
            if !environment.nodes.borrow().contains_key(&node)
                && let Some(clients) = &*environment.clients.borrow()
            {
                clients.set_reachable(node, false);
            }
        });
    }

    async fn restart_node(self: &Rc<Self>, node: NodeIndex, planned: bool, down: Duration) {
        let Some(run) = self.nodes.borrow_mut().remove(&node) else { return };
        if planned {
            self.fleet.observer.record(ObservedEvent::NodeStopping { node });
            let _ = run.control.try_send(Control::Stop);
            // New connections stop soon, and the platform kills the process no sooner than this.
            let time_out = self.fleet.scenario.longest_deadline().min(Duration::from_secs(3))
                + Duration::from_millis(700);
            if let Some(clients) = &*self.clients.borrow() {
                let (clients, environment) = (clients.clone(), self.clone());
                spawn_local(async move {
                    sleep(Duration::from_millis(300)).await;
                    if !environment.nodes.borrow().contains_key(&node) {
                        clients.stop_new_connections(node);
                    }
                });
            }
            let mut exit = run.exit;
            if tokio::time::timeout(time_out, &mut exit).await.is_err() {
                self.fleet.observer.record(ObservedEvent::StopOverdue { node });
            }
        }
        self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned });
        self.net.kill(run.host.process());
        run.task.abort();
        if !planned {
            self.notice_node_down(node, run.incarnation);
        }
        sleep(down).await;
        self.start_node(node);
        sleep(Duration::from_millis(300)).await;
        if let Some(clients) = &*self.clients.borrow() {
            clients.set_reachable(node, true);
        }
    }

    /// Ends a cache server. With `reset`, its connections are reset as when a process ends; without, it falls
    /// silent.
    fn end_cache_server(&self, index: ServerIndex, reset: bool) {
        let Some(run) = self.cache_servers.borrow_mut().remove(&index) else { return };
        self.fleet.remove_cache_server(index);
        self.fleet.observer.record(ObservedEvent::CacheServerEnded { server: index });
        if reset {
            self.net.kill(run.host.process());
        } else {
            self.net.lose_power(run.host.ip(), run.host.process());
        }
        run.task.abort();
    }

    /// Starts a cache server that is down, with a cold cache; the list tells its new start time later.
    async fn restart_cache_server(self: &Rc<Self>, index: ServerIndex) {
        if self.cache_servers.borrow().contains_key(&index) {
            return;
        }
        let Some(mut member) = self.discovery.member(index).filter(|m| m.phase == Phase::Ready) else {
            return;
        };
        self.start_cache_server(index, true).await;
        member.started_ms = self.discovery_unix_ms();
        self.discovery.update(index, member);
    }

    /// Discovery's wall clock, by which start times are listed.
    fn discovery_unix_ms(&self) -> u64 {
        self.discovery_host.unix_time().as_millis() as u64
    }

    /// Gives every node a configuration that names this port of discovery's machine.
    async fn move_discovery(&self, port: u16) {
        let controls: Vec<_> = self.nodes.borrow().values().map(|run| run.control.clone()).collect();
        for control in controls {
            let _ = control.send(Control::SetDiscoveryAddress(SocketAddr::new(DISCOVERY_IP, port))).await;
        }
    }

    /// Steps wall clocks of machines; programs are not notified.
    fn step_wall_clocks(&self, step: &WallClockStep) {
        step.nodes.iter().for_each(|node| self.net.step_wall_clock(node_ip(*node), step.by_ms));
        if step.discovery {
            self.net.step_wall_clock(DISCOVERY_IP, step.by_ms);
        }
    }

    fn set_phase(&self, index: ServerIndex, phase: Phase) {
        if let Some(mut member) = self.discovery.member(index) {
            member.phase = phase;
            self.discovery.update(index, member);
        }
    }

    /// Replaces a cache server by a cold successor with a new name.
    async fn replace_cache_server(self: Rc<Self>, index: ServerIndex, drain: Duration) {
        let Some(cache) = self.fleet.cache_server(index) else { return };
        self.set_phase(index, Phase::Draining);
        let [_, most] = self.fleet.scenario.discovery.lag_ms;
        // It rejects new requests once every node must know of the drain.
        sleep(drain + Duration::from_millis(most)).await;
        cache.drain();
        sleep(Duration::from_millis(500)).await;
        self.set_phase(index, Phase::Gone);
        self.end_cache_server(index, true);
        let next = self.discovery.next_index();
        let old = self.discovery.member(index);
        self.start_cache_server(next, true).await;
        let member = Member {
            id: format!("s-{next:04}"),
            addresses: vec![SocketAddr::new(cache_server_ip(next), 6379)],
            zone: old.map_or(0, |m| m.zone),
            is_origin: false,
            phase: Phase::Ready,
            started_ms: self.discovery_unix_ms(),
        };
        self.discovery.update(next, member);
    }

    fn zone_count(&self) -> usize {
        self.fleet.scenario.zones.len()
    }

    /// The initial cache servers of a zone.
    fn cache_servers_of_zone(&self, zone: usize) -> Vec<ServerIndex> {
        (0..self.fleet.scenario.boxes.count).filter(|b| b % self.zone_count() == zone).collect()
    }

    /// Reports whether discovery is reachable and up to date.
    fn report_discovery_health(&self, healthy: bool) {
        self.fleet.observer.record(ObservedEvent::DiscoveryHealth { healthy });
    }

    fn report_reachability(&self, server: ServerIndex, unreachable: bool) {
        self.fleet.observer.record(ObservedEvent::ReachabilityChanged { server, unreachable });
    }

    /// Applies a fault, and reverts it when its time is over.
    async fn apply_fault(self: Rc<Self>, what: What) {
        let fault = |text: String| self.fleet.observer.record(ObservedEvent::Fault(text));
        fault(format!("begins: {what:?}"));
        let wait = |ms: u64| sleep(Duration::from_millis(ms));
        let fault_settings = &self.fleet.fault_settings;
        match what.clone() {
            What::Crash { boxes, down_ms } => {
                boxes.iter().for_each(|b| self.end_cache_server(*b, true));
                wait(down_ms).await;
                for index in boxes {
                    self.restart_cache_server(index).await;
                }
            }
            What::PowerLoss { at, down_ms } => {
                let ip = cache_server_ip(at);
                self.report_reachability(at, true);
                self.end_cache_server(at, false);
                wait(down_ms).await;
                self.net.restore(ip);
                self.report_reachability(at, false);
                self.restart_cache_server(at).await;
            }
            What::Deploy { batch, most, drain_ms } => {
                let mut boxes = self.discovery.ready_servers();
                boxes.truncate(most);
                for group in boxes.chunks(batch.max(1)) {
                    let all: Vec<_> = group
                        .iter()
                        .map(|n| {
                            spawn_local(
                                self.clone().replace_cache_server(*n, Duration::from_millis(drain_ms)),
                            )
                        })
                        .collect();
                    for one in all {
                        let _ = one.await;
                    }
                }
            }
            What::Node { node, planned, down_ms } => {
                self.restart_node(node, planned, Duration::from_millis(down_ms)).await;
            }
            What::DrainSeries { node, times, apart_ms, for_ms } => {
                let ms = Duration::from_millis;
                self.drain_series(node, times, ms(apart_ms), ms(for_ms)).await
            }
            What::Drain { node, for_ms } => self.drain_node(node, Duration::from_millis(for_ms)).await,
            What::Upgrade { node, ends } => self.upgrade_node(node, ends).await,
            What::Burst { factor, for_ms } => {
                fault_settings.load_factor.set(factor);
                wait(for_ms).await;
                fault_settings.load_factor.set(1.0);
            }
            What::Quiet { for_ms } => {
                fault_settings.quiet_until.set(Some(Instant::now() + Duration::from_millis(for_ms)));
                wait(for_ms).await;
                fault_settings.quiet_until.set(None);
            }
            What::PeersLost { part, for_ms } => {
                self.net.set_datagram_loss(part);
                wait(for_ms).await;
                self.net.set_datagram_loss(self.fleet.scenario.network.datagrams_lost);
            }
            What::ListLate { late_ms, for_ms } => {
                self.report_discovery_health(false);
                fault_settings.list_delay_ms.set(late_ms);
                wait(for_ms).await;
                fault_settings.list_delay_ms.set(0);
                self.report_discovery_health(true);
            }
            What::ListDown { for_ms } => {
                self.report_discovery_health(false);
                fault_settings.discovery_down.set(true);
                wait(for_ms).await;
                fault_settings.discovery_down.set(false);
                self.report_discovery_health(true);
            }
            What::ListOld { back, for_ms } => {
                self.report_discovery_health(false);
                let least = self.fleet.scenario.boxes.count as u64 + 1;
                fault_settings
                    .pinned_revision
                    .set(Some(self.discovery.revision().saturating_sub(back).max(least)));
                self.discovery.invalidate_watches();
                wait(for_ms).await;
                fault_settings.pinned_revision.set(None);
                self.discovery.invalidate_watches();
                self.report_discovery_health(true);
            }
            What::ListEmpty { for_ms } => {
                self.report_discovery_health(false);
                fault_settings.empty_list.set(true);
                self.discovery.invalidate_watches();
                wait(for_ms).await;
                fault_settings.empty_list.set(false);
                self.discovery.invalidate_watches();
                self.report_discovery_health(true);
            }
            What::CutOff { at, for_ms } => {
                self.report_reachability(at, true);
                self.net.cut_off(cache_server_ip(at));
                wait(for_ms).await;
                self.net.restore(cache_server_ip(at));
                self.report_reachability(at, false);
            }
            What::OneWay { node, at, to_box, for_ms } => {
                let (from, to) = if to_box {
                    (node_ip(node), cache_server_ip(at))
                } else {
                    (cache_server_ip(at), node_ip(node))
                };
                self.report_reachability(at, true);
                self.net.block_link(from, to);
                wait(for_ms).await;
                self.net.unblock_link(from, to);
                self.report_reachability(at, false);
            }
            What::Spoil { at, resets, stalls, for_ms } => {
                if let Some(cache) = self.fleet.cache_server(at) {
                    cache.response_faults.reset_share.set(resets);
                    cache.response_faults.stall_share.set(stalls);
                    wait(for_ms).await;
                    cache.response_faults.reset_share.set(0.0);
                    cache.response_faults.stall_share.set(0.0);
                }
            }
            What::SecondAnswers { at, part, most_ms, for_ms } => {
                if let Some(cache) = self.fleet.cache_server(at) {
                    let duplicates = &cache.response_faults.duplicates;
                    duplicates.share.set(part);
                    duplicates.max_delay_ms.set(most_ms);
                    wait(for_ms).await;
                    duplicates.share.set(0.0);
                }
            }
            What::Clients { leavers, slow, for_ms } => {
                fault_settings.early_leaver_share.set(leavers);
                fault_settings.slow_reader_share.set(slow);
                wait(for_ms).await;
                fault_settings.early_leaver_share.set(0.0);
                fault_settings.slow_reader_share.set(0.0);
            }
            What::Crowd { per_s, slow, for_ms } => {
                fault_settings.slow_writer_share.set(slow);
                self.fleet.observer.record(ObservedEvent::ConnectionPressure { begins: true });
                let clients = self.clients.borrow().clone();
                if let Some(clients) = clients {
                    clients.open_stalled_connections(per_s, Duration::from_millis(for_ms)).await;
                }
                fault_settings.slow_writer_share.set(0.0);
                self.fleet.observer.record(ObservedEvent::ConnectionPressure { begins: false });
            }
            What::Large { part, bytes, for_ms } => {
                fault_settings.large_values.set((part, bytes));
                wait(for_ms).await;
                fault_settings.large_values.set((0.0, 0));
            }
            What::OriginResets { part, for_ms } => {
                fault_settings.origin_reset_share.set(part);
                wait(for_ms).await;
                fault_settings.origin_reset_share.set(0.0);
            }
            What::ZoneLost { zone, down_ms } => {
                let boxes = self.cache_servers_of_zone(zone);
                boxes.iter().for_each(|b| self.end_cache_server(*b, true));
                wait(down_ms).await;
                for index in boxes {
                    self.restart_cache_server(index).await;
                }
            }
            What::ZoneSilent { zone, for_ms } => {
                let boxes = self.cache_servers_of_zone(zone);
                boxes.iter().for_each(|b| {
                    self.report_reachability(*b, true);
                    self.net.cut_off(cache_server_ip(*b));
                });
                wait(for_ms).await;
                boxes.iter().for_each(|b| {
                    self.net.restore(cache_server_ip(*b));
                    self.report_reachability(*b, false);
                });
            }
            What::ZonesApart { a, b, for_ms } => {
                let machines = |zone| -> Vec<IpAddr> {
                    let nodes =
                        (0..self.fleet.scenario.nodes.count).filter(|n| n % self.zone_count() == zone);
                    nodes
                        .map(node_ip)
                        .chain(self.cache_servers_of_zone(zone).into_iter().map(cache_server_ip))
                        .collect()
                };
                let (left, right) = (machines(a), machines(b));
                let boxes: Vec<ServerIndex> =
                    [a, b].into_iter().flat_map(|z| self.cache_servers_of_zone(z)).collect();
                let links = || left.iter().flat_map(|l| right.iter().flat_map(move |r| [(*l, *r), (*r, *l)]));
                boxes.iter().for_each(|at| self.report_reachability(*at, true));
                links().for_each(|(from, to)| self.net.block_link(from, to));
                wait(for_ms).await;
                links().for_each(|(from, to)| self.net.unblock_link(from, to));
                boxes.iter().for_each(|at| self.report_reachability(*at, false));
            }
            What::NodesKilled { nodes, down_ms } => {
                let down = Duration::from_millis(down_ms);
                let killed = nodes.into_iter().map(|node| {
                    let environment = self.clone();
                    spawn_local(async move { environment.restart_node(node, false, down).await })
                });
                for one in killed.collect::<Vec<_>>() {
                    let _ = one.await;
                }
            }
            What::DiscoveryMoves { configurations, apart_ms } => {
                self.report_discovery_health(false);
                for index in 1..=configurations {
                    let last = index == configurations;
                    self.move_discovery(if last { DISCOVERY_MOVED_PORT } else { DISCOVERY_DEAD_PORT }).await;
                    wait(apart_ms).await;
                }
                self.report_discovery_health(true);
            }
            What::WallClockStep(step) => self.step_wall_clocks(&step),
            What::SystemCalls { node, call, failure, part, for_ms } => {
                let failing = FailingCall { node, call, failure, share: part };
                self.fail_calls(failing, Duration::from_millis(for_ms)).await;
            }
            What::GoneAtPacket { at, packet, drains } => {
                self.net.wait_for_packets(packet).await;
                if let Some(mut member) = self.discovery.member(at) {
                    member.phase = if drains { Phase::Draining } else { Phase::Gone };
                    self.discovery.update_after(at, member, Duration::ZERO);
                }
            }
        }
        fault(format!("is over: {what:?}"));
    }
}
