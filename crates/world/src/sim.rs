//! One run on the virtual clock: nodes, stand-ins, faults, the checker, and the digest of everything.

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
use crate::faults::{self, Ends, Fault, Kind, What};
use crate::fleet::{Fleet, Member};
use crate::mutant::{Mutant, MutantHost};
use crate::observe::{NodeIndex, Observation, ObservedEvent, Observer, Phase, ServerIndex};
use crate::origin::Origin;
use crate::process;
use crate::report::{Collector, Report};
use crate::rules::Checker;
use crate::scenario::Scenario;
use crate::system_calls::{FailingCall, FailingCalls};
use crate::tape::{RecordedSegment, RecordingOptions, Tapes};
use crate::users::{PersistentClients, RetainedConnections};
use crate::wall_clock::WallClockStep;

/// The time of day at which every simulated world begins.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);
/// Before the first request, so that nodes are ready. Times of faults count from its end, those of reports from the
/// beginning.
const WARM_UP: Duration = Duration::from_millis(1200);
/// After the last deadline, before what is open counts as never answered.
const AFTER: Duration = Duration::from_millis(1500);
/// How often sockets are counted.
const LOOK: Duration = Duration::from_millis(100);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of everything.
    pub seed: u64,
    /// The faults; `None` to draw them from the seed.
    pub script: Option<Vec<Fault>>,
    /// A fault planted in the nodes, to see that the checker finds it.
    pub mutant: Option<Mutant>,
}

impl RunPlan {
    /// The faults of the run.
    pub fn script(&self) -> Vec<Fault> {
        self.script.clone().unwrap_or_else(|| {
            let seed = xxhash_rust::xxh3::xxh3_64_with_seed(b"faults", self.seed);
            faults::draw(&self.scenario, &mut <rand_pcg::Pcg64Mcg as rand::SeedableRng>::seed_from_u64(seed))
        })
    }
}

type Trace = Rc<RefCell<dyn FnMut(&str)>>;

/// Runs a plan to its end on the virtual clock. Everything that is seen, and the lines of all logs, go to `trace`.
pub fn run(plan: &RunPlan, trace: Option<Trace>) -> Report {
    chalksill_simnet::run(|| play(plan.clone(), trace, None))
}

/// As [`run`], with nodes that record; what they recorded comes along, in the order in which it was begun.
pub fn run_recorded(
    plan: &RunPlan,
    trace: Option<Trace>,
    recording: RecordingOptions,
) -> (Report, Vec<RecordedSegment>) {
    chalksill_simnet::run(|| async {
        let tapes = Tapes::new(recording);
        let report = play(plan.clone(), trace, Some(tapes.clone())).await;
        (report, tapes.take())
    })
}

struct NodeRun {
    host: SimHost,
    task: AbortHandle,
    control: mpsc::Sender<Control>,
    ended: JoinHandle<()>,
    number: u64,
    desk: Arc<OpsEndpoint>,
    /// To those that would take its place; nobody in a world without upgrades.
    successors: Option<mpsc::Sender<Link>>,
}

struct BoxRun {
    host: SimHost,
    task: AbortHandle,
}

struct World {
    net: Net,
    fleet: Rc<Fleet>,
    discovery: Rc<Discovery>,
    discovery_host: SimHost,
    nodes: RefCell<BTreeMap<NodeIndex, NodeRun>>,
    boxes: RefCell<BTreeMap<ServerIndex, BoxRun>>,
    clients: RefCell<Option<Rc<Clients<SimHost>>>>,
    /// Clients that go on using their connections, where the scenario has any.
    users: RefCell<Option<Rc<PersistentClients<SimHost>>>>,
    /// Since when nodes are drained that are.
    drained_since: RefCell<BTreeMap<NodeIndex, Instant>>,
    lives: Cell<u64>,
    origin: ServerIndex,
    mutant: Option<Mutant>,
    tapes: Option<Tapes>,
    /// The platform holds the nodes' sockets.
    sockets: bool,
    /// Where system calls of nodes may fail.
    failing: Option<FailingCalls>,
}

fn node_ip(node: NodeIndex) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 1, (node / 250) as u8, (node % 250) as u8 + 1))
}

fn box_ip(number: ServerIndex) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 2, (number / 250) as u8, (number % 250) as u8 + 1))
}

/// So long after a drain was told its node's connections are looked at.
const HELD_AT_MOST: Duration = Duration::from_secs(4);
/// What came in so long a time before that is recent.
const RECENT: Duration = Duration::from_secs(2);
/// New connections come for so long after a drain.
const NEW_CONNECTIONS: Duration = Duration::from_millis(200);
/// Until the front has noticed that a node says no, or yes again.
const FRONT_LOOKS: Duration = Duration::from_millis(300);

const DISCOVERY: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 3, 0, 1));
/// Where discovery answers, the port to which it can move, and one at which nothing ever listens.
const DISCOVERY_PORT: u16 = 8500;
const DISCOVERY_MOVED: u16 = 8501;
const DISCOVERY_NOWHERE: u16 = 8502;
const CLIENTS: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 4, 0, 1));

/// Two ends between which messages go through their bytes, as between two processes.
fn linked() -> (Link, Link) {
    let side = || (mpsc::channel::<Message>(4), mpsc::channel::<Message>(4));
    let ((a_says, a_said), (b_hears, b_inbox)) = side();
    let ((b_says, b_said), (a_hears, a_inbox)) = side();
    let carry = |mut said: mpsc::Receiver<Message>, hears: mpsc::Sender<Message>| {
        spawn_local(async move {
            let mut decoder = Decoder::default();
            loop {
                // The end of the one that listens ends it, too.
                let message = tokio::select! {
                    said = said.recv() => said,
                    () = hears.closed() => None,
                };
                let Some(frame) = message.and_then(|m| encode(&m).ok()) else { return };
                decoder.push(&frame);
                while let Ok(Some(message)) = decoder.next_message() {
                    if hears.send(message).await.is_err() {
                        return;
                    }
                }
            }
        });
    };
    carry(a_said, b_hears);
    carry(b_said, a_hears);
    (Link { inbox: a_inbox, outbox: a_says }, Link { inbox: b_inbox, outbox: b_says })
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

async fn play(plan: RunPlan, trace: Option<Trace>, tapes: Option<Tapes>) -> Report {
    let scenario = plan.scenario.clone();
    let links = &scenario.network;
    let ms =
        |pair: [f64; 2]| (Duration::from_secs_f64(pair[0] / 1e3), Duration::from_secs_f64(pair[1] / 1e3));
    let links = Links {
        within_zone: ms(links.within_ms),
        between_zones: ms(links.across_ms),
        datagrams: ms(links.datagrams_ms),
        datagram_loss: links.datagrams_lost,
    };
    let net = Net::new(plan.seed, EPOCH, links);
    let witness = Observer::starting_now();
    let origin = scenario.boxes.count;
    let checker = Rc::new(RefCell::new(Checker::new(&scenario, origin)));
    let collector = Rc::new(RefCell::new(Collector::new(&scenario, plan.seed, origin)));
    let seen = Rc::new(Cell::new(plan.seed));
    {
        let (checker, collector, seen, trace) =
            (checker.clone(), collector.clone(), seen.clone(), trace.clone());
        witness.subscribe(move |o: &Observation| {
            let before = checker.borrow().violations().len();
            checker.borrow_mut().observe(o);
            collector.borrow_mut().observe(o);
            seen.set(mix(seen.get(), o));
            if let Some(trace) = &trace {
                let mut trace = trace.borrow_mut();
                (*trace)(&o.to_string());
                for violation in &checker.borrow().violations()[before..] {
                    (*trace)(&format!("{:10.3} ms BROKEN {violation}", o.at.as_secs_f64() * 1e3));
                }
            }
        });
    }
    let begin = Instant::now();
    let told = scenario.agreement_enabled().then(|| witness.clone());
    if trace.is_some() || told.is_some() {
        net.set_log_sink(move |at, name, line| {
            let line = line.to_string();
            if let Some(trace) = &trace {
                let mut trace = trace.borrow_mut();
                (*trace)(&format!("{:10.3} ms {name}: {line}", (at - begin).as_secs_f64() * 1e3));
            }
            // What nodes agree on is told by nobody but themselves.
            let node = name.strip_prefix("node ").and_then(|n| n.parse().ok());
            if let (Some(witness), Some(node)) = (&told, node) {
                if let Some(plan) = ReportedPlan::parse(&line) {
                    witness.record(ObservedEvent::PlanAdopted { node, plan });
                } else if let Some(decides) = agreement::leadership_change(&line) {
                    witness.record(ObservedEvent::LeadershipChanged { node, leads: decides });
                }
            }
        });
    }
    let fleet = Fleet::new(scenario.clone(), plan.seed, witness.clone());
    spawn_local(net.clone().deliver_packets());
    let zones = scenario.zones.len();
    let member = |number: ServerIndex| Member {
        id: format!("s-{number:04}"),
        addresses: vec![SocketAddr::new(box_ip(number), 6379)],
        zone: number % zones,
        is_origin: number == origin,
        phase: Phase::Ready,
        started_ms: if scenario.boxes.start_cold && number != origin { EPOCH.as_millis() as u64 } else { 0 },
    };
    let members = (0..=origin).map(|n| (n, member(n))).collect();
    let discovery = Discovery::new(&fleet, members);
    let world = Rc::new(World {
        net: net.clone(),
        fleet: fleet.clone(),
        discovery: discovery.clone(),
        discovery_host: net.start_process(DISCOVERY, 0, "discovery"),
        nodes: RefCell::default(),
        boxes: RefCell::default(),
        clients: RefCell::new(None),
        users: RefCell::new(None),
        drained_since: RefCell::default(),
        lives: Cell::new(0),
        origin,
        mutant: plan.mutant,
        tapes,
        sockets: scenario.faults.kinds.contains(&Kind::Upgrade)
            || plan.script().iter().any(|f| matches!(f.what, What::Upgrade { .. })),
        failing: failing::calls(&plan, &fleet),
    });
    for number in 0..origin {
        world.start_box(number, scenario.boxes.start_cold).await;
    }
    fleet.warm_caches(&discovery.ready_servers());
    world.start_origin().await;
    for port in [DISCOVERY_PORT, DISCOVERY_MOVED] {
        if let Ok(listener) = world.discovery_host.listen(SocketAddr::new(DISCOVERY, port)).await {
            spawn_local(discovery.clone().serve::<SimHost>(listener, node_of));
        }
    }
    let mut platform = Vec::new();
    for node in 0..scenario.nodes.count {
        if world.sockets {
            let host =
                net.start_process(node_ip(node), (node % zones) as u8, &format!("platform of node {node}"));
            platform.extend(host.listen(SocketAddr::new(node_ip(node), 6379)).await);
        }
        world.start_node(node);
    }
    sleep(WARM_UP).await;
    let addresses = (0..scenario.nodes.count).map(|n| SocketAddr::new(node_ip(n), 6379)).collect();
    let ended = collector.clone();
    let clients = Clients::new(net.start_process(CLIENTS, 0, "clients"), &fleet, addresses, move |played| {
        ended.borrow_mut().record_result(&played);
    });
    *world.clients.borrow_mut() = Some(clients.clone());
    let begin = Instant::now();
    if scenario.load.users > 0 {
        let users = PersistentClients::new(clients.clone());
        users.start(begin + scenario.load_duration());
        *world.users.borrow_mut() = Some(users);
    }
    for fault in plan.script() {
        let world = world.clone();
        spawn_local(async move {
            sleep_until(begin + Duration::from_millis(fault.at_ms)).await;
            world.strike(fault.what).await;
        });
    }
    spawn_local(world.clone().count_sockets());
    clients.clone().generate_load(scenario.load_duration()).await;
    let end = Instant::now() + scenario.longest_deadline() + AFTER;
    let users = world.users.borrow().clone();
    let under_way = || clients.in_flight() + users.as_ref().map_or(0, |users| users.open_connections());
    while under_way() > 0 && Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
    }
    checker.borrow_mut().finish(witness.elapsed());
    let mut report = collector.borrow().report();
    report.violations = checker.borrow().violations().to_vec();
    report.digest = format!("{:016x}", net.digest() ^ seen.get());
    report.virtual_s = net.elapsed().as_secs_f64();
    report.packets = net.packets();
    fleet.clear();
    report
}

/// Takes something seen into the digest.
fn mix(digest: u64, o: &Observation) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = xxhash_rust::xxh3::Xxh3::with_seed(digest);
    o.at.as_micros().hash(&mut hasher);
    std::mem::discriminant(&o.event).hash(&mut hasher);
    match &o.event {
        ObservedEvent::ReplyReceived { request, .. }
        | ObservedEvent::ConnectionLost { request, .. }
        | ObservedEvent::ClientLeft { request, .. } => {
            request.hash(&mut hasher);
        }
        ObservedEvent::AttemptArrived { server: at, node, request, .. } => {
            (at, node, request).hash(&mut hasher)
        }
        ObservedEvent::ListSent { node, revision, .. } => (node, revision).hash(&mut hasher),
        _ => {}
    }
    hasher.finish()
}

impl World {
    fn life(&self) -> u64 {
        self.lives.set(self.lives.get() + 1);
        self.lives.get()
    }

    /// A box starts, on its machine.
    async fn start_box(self: &Rc<Self>, number: ServerIndex, cold: bool) {
        let zone = number % self.fleet.scenario.zones.len();
        let ip = box_ip(number);
        let host = self.net.start_process(ip, zone as u8, &format!("box {number}"));
        let cache = CacheServer::new(&self.fleet, number, self.life(), cold);
        self.fleet.add_cache_server(number, cache.clone());
        let start = if cold { self.discovery_unix_ms() } else { 0 };
        self.fleet.observer.record(ObservedEvent::CacheServerStarted {
            server: number,
            started_ms: start,
            capacity: cache.capacity(),
            cold,
        });
        let Ok(listener) = host.listen(SocketAddr::new(ip, 6379)).await else { return };
        let local = LocalSet::new();
        local.spawn_local(cache.clone().serve::<SimHost>(listener, node_of));
        let task = spawn_local(local).abort_handle();
        self.boxes.borrow_mut().insert(number, BoxRun { host, task });
        let world = self.clone();
        spawn_local(async move {
            cache.fell.notified().await;
            world.end_box(number, true);
        });
    }

    async fn start_origin(self: &Rc<Self>) {
        let ip = box_ip(self.origin);
        let host = self.net.start_process(ip, 0, "origin");
        let origin = Origin::new(&self.fleet, self.origin);
        if let Ok(listener) = host.listen(SocketAddr::new(ip, 6379)).await {
            spawn_local(origin.serve::<SimHost>(listener, node_of));
        }
    }

    /// A node starts with the list that it last held, as the platform would start it.
    fn start_node(self: &Rc<Self>, node: NodeIndex) {
        if let Some(run) = self.run_node(node, None) {
            let life = run.number;
            self.nodes.borrow_mut().insert(node, run);
            self.watch_start(node, life);
        }
    }

    /// A process of a node begins, beside another where it is given what that one knows.
    fn run_node(
        self: &Rc<Self>,
        node: NodeIndex,
        before: Option<(PredecessorState, Link)>,
    ) -> Option<NodeRun> {
        let scenario = &self.fleet.scenario;
        let life = self.life();
        if before.is_none() {
            self.fleet.observer.record(ObservedEvent::NodeStarted { node });
        }
        let zone = node % scenario.zones.len();
        let host = self.net.start_process(node_ip(node), zone as u8, &format!("node {node}"));
        let seed: u64 = self.fleet.rng("node", life).random();
        let peers: Vec<_> = (0..scenario.nodes.count).map(|n| SocketAddr::new(node_ip(n), 7946)).collect();
        let (listen, discovery) =
            (SocketAddr::new(node_ip(node), 6379), SocketAddr::new(DISCOVERY, DISCOVERY_PORT));
        let at = process::NodeAddresses { listen, discovery, peers: &peers, operations: None };
        let mut text =
            process::node_configuration(scenario, node, &at, seed, self.discovery.known_list(node));
        if let Some(mutant) = self.mutant {
            text["settings"] = mutant.settings(scenario, node);
        }
        let environment = config::Environment::default();
        let read = config::read(text.to_string().as_bytes(), environment, config::Precedence::Environment);
        let members = |port| (0..scenario.nodes.count).map(move |n| SocketAddr::new(node_ip(n), port));
        let all: Vec<SocketAddr> = members(agreement::PORT).collect();
        let operator = agreement::operator_config(&scenario.nodes.operator, all[node], &all);
        let operator = operator.map(|text| self.mutant.map_or(text.clone(), |m| m.operator(text, node)));
        let operator = operator.and_then(|text| operator::read(&text));
        let config = match read.and_then(|c| operator.map(|operator| Config { operator, ..c })) {
            Ok(config) => config,
            Err(e) => {
                host.log(format_args!("unreadable configuration: {e}"));
                return None;
            }
        };
        let mut recorder = None;
        if let Some(tapes) = &self.tapes {
            let (made, line) = tapes.recorder(node, &config, host.unix_time().as_micros() as u64);
            recorder = Some(made);
            if let Some(line) = line {
                host.log(format_args!("{line}"));
            }
        }
        let (control, told) = mpsc::channel(4);
        let desk = OpsEndpoint::new(&config.site.class_names);
        let local = LocalSet::new();
        let (runs, log) = (host.clone(), host.clone());
        // Where nodes are upgraded the platform holds their sockets, and they are handed over.
        let listener = self.sockets.then(|| host.inherit(config.listen).ok()).flatten();
        let (found, successors) = mpsc::channel(1);
        let handover = self.sockets.then_some(Handover { predecessor: before, successors });
        let lives = desk.clone();
        let garbles_errors = self.mutant.is_none_or(Mutant::garbles_errors);
        let running = match (self.mutant, self.failing.clone().filter(|_| garbles_errors)) {
            (mutant, Some(calls)) => {
                let runs = FailingHost::new(runs, node, calls, mutant);
                let listener = listener.map(|l| runs.listener(l));
                let start = StartOptions { recorder, listener, handover };
                local.spawn_local(mothpier_node::run(runs, config, lives, told, start))
            }
            (None, None) => {
                let start = StartOptions { recorder, listener, handover };
                local.spawn_local(mothpier_node::run(runs, config, lives, told, start))
            }
            (Some(mutant), None) => {
                let runs = MutantHost::new(runs, mutant);
                let listener = listener.map(|l| runs.listener(l));
                let start = StartOptions { recorder, listener, handover };
                local.spawn_local(mothpier_node::run(runs, config, lives, told, start))
            }
        };
        // The set lives as long as the node does; dropping it with its task ends all of the node's tasks.
        let ended = spawn_local(async move {
            let ended = local.run_until(running).await;
            if let Ok(Err(e)) = ended {
                log.log(format_args!("ended: {e}"));
            }
        });
        let task = ended.abort_handle();
        let successors = self.sockets.then_some(found);
        Some(NodeRun { host, task, control, ended, number: life, desk, successors })
    }

    /// Staff tell a node something of its lifecycle.
    fn staff_tell(&self, node: NodeIndex, step: LifecycleEvent) {
        match step {
            LifecycleEvent::Drain => {
                *self.drained_since.borrow_mut().entry(node).or_insert_with(Instant::now)
            }
            _ => self.drained_since.borrow_mut().remove(&node).unwrap_or_else(Instant::now),
        };
        if let Some(run) = self.nodes.borrow().get(&node) {
            run.desk.lifecycle.apply(step);
            if self.mutant != Some(Mutant::KeepsDrained) {
                let _ = run.control.try_send(Control::LifecycleChanged);
            }
        }
    }

    /// Staff drain a node and bring it back so often, and drain it then.
    async fn drain_series(self: &Rc<Self>, node: NodeIndex, times: u32, apart: Duration, span: Duration) {
        for _ in 0..times {
            self.staff_tell(node, LifecycleEvent::Drain);
            sleep(apart).await;
            self.staff_tell(node, LifecycleEvent::Undrain);
            sleep(apart).await;
        }
        self.drain_node(node, span).await;
    }

    /// Looks what a node holds of its clients' connections 4 s after it was told to drain, if it has been drained since.
    async fn judge_drain(self: Rc<Self>, node: NodeIndex, told: Instant) {
        let Some(life) = self.nodes.borrow().get(&node).map(|run| run.number) else { return };
        sleep_until(told + HELD_AT_MOST).await;
        let same = self.nodes.borrow().get(&node).is_some_and(|run| run.number == life);
        let drained = same && self.drained_since.borrow().get(&node) == Some(&told);
        let Some(users) = self.users.borrow().clone().filter(|_| drained) else { return };
        let held = users.retained_connections(node, told + NEW_CONNECTIONS, told + HELD_AT_MOST - RECENT);
        if held.idle + held.recent > 0 {
            let RetainedConnections { idle, recent } = held;
            self.fleet.observer.record(ObservedEvent::ConnectionsAfterDrain { node, idle, recent });
        }
    }

    /// Staff drain a node and bring it back: the front sees it within moments.
    async fn drain_node(self: &Rc<Self>, node: NodeIndex, span: Duration) {
        let tell = |step: LifecycleEvent| self.staff_tell(node, step);
        tell(LifecycleEvent::Drain);
        let told = Instant::now();
        if self.users.borrow().is_some() && self.drained_since.borrow().get(&node) == Some(&told) {
            spawn_local(self.clone().judge_drain(node, told));
        }
        sleep(FRONT_LOOKS).await;
        if let Some(clients) = &*self.clients.borrow() {
            clients.stop_new_connections(node);
        }
        sleep(span).await;
        tell(LifecycleEvent::Undrain);
        sleep(FRONT_LOOKS).await;
        let there = self.nodes.borrow().contains_key(&node);
        if let Some(clients) = self.clients.borrow().as_ref().filter(|_| there) {
            clients.set_reachable(node, true);
        }
    }

    /// A new process of a node begins beside the old one, which stops once the new one can serve.
    async fn upgrade_node(self: &Rc<Self>, node: NodeIndex, ends: Ends) {
        let found = self.nodes.borrow().get(&node).and_then(|run| run.successors.clone());
        let Some(found) = found else { return };
        let (mine, others) = linked();
        let mut mine = mine;
        let hello =
            Message::Hello { node_name: format!("n{node}"), state_layout: brassrouter::STATE_VERSION };
        if found.try_send(others).is_err() || mine.outbox.send(hello).await.is_err() {
            return;
        }
        let answer = tokio::time::timeout(Duration::from_secs(1), mine.inbox.recv()).await;
        let Ok(Some(Message::State(state))) = answer else { return };
        let Some(new) = self.run_node(node, Some((state, mine))) else { return };
        while new.desk.lifecycle.phase() == mothpier_ops::Phase::Starting {
            sleep(Duration::from_millis(10)).await;
        }
        // What a killed process had taken is lost with it, as at any kill.
        let end = |run: &NodeRun, killed: bool| {
            if killed {
                self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: false });
            }
            self.net.kill(run.host.process());
            run.task.abort();
            // Unless the other one has been killed meanwhile.
            if killed && self.nodes.borrow().contains_key(&node) {
                self.fleet.observer.record(ObservedEvent::NodeStarted { node });
            }
        };
        if ends == Ends::NewKilled {
            sleep(Duration::from_millis(50)).await;
            return end(&new, true);
        }
        // It may have been killed or stopped meanwhile; the new one is the node then as well.
        let Some(mut old) = self.nodes.borrow_mut().insert(node, new) else { return };
        if ends == Ends::InOrder {
            let _ = old.control.try_send(Control::Stop);
            let patience = self.fleet.scenario.longest_deadline().min(Duration::from_secs(3))
                + Duration::from_millis(700);
            if tokio::time::timeout(patience, &mut old.ended).await.is_err() {
                self.fleet.observer.record(ObservedEvent::StopOverdue { node });
            }
        }
        end(&old, ends == Ends::OldKilled);
    }

    async fn count_sockets(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            let open: Vec<(NodeIndex, usize)> =
                self.nodes.borrow().iter().map(|(n, r)| (*n, self.net.sockets(r.host.process()))).collect();
            for (node, open) in open {
                self.fleet.observer.record(ObservedEvent::OpenSockets { node, count: open });
            }
        }
    }

    /// The front goes on for a while before it notices that a node is gone.
    fn front_notices(self: &Rc<Self>, node: NodeIndex, life: u64) {
        let [least, most] = self.fleet.scenario.nodes.front_notices_ms;
        let mut rng = self.fleet.rng("front", life);
        let after = Duration::from_millis(rng.random_range(least..=most));
        let world = self.clone();
        spawn_local(async move {
            sleep(after).await;
            if !world.nodes.borrow().contains_key(&node)
                && let Some(clients) = &*world.clients.borrow()
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
            // The front stops giving it new connections soon, and the platform kills it no sooner than this.
            let patience = self.fleet.scenario.longest_deadline().min(Duration::from_secs(3))
                + Duration::from_millis(700);
            if let Some(clients) = &*self.clients.borrow() {
                let (clients, world) = (clients.clone(), self.clone());
                spawn_local(async move {
                    sleep(Duration::from_millis(300)).await;
                    if !world.nodes.borrow().contains_key(&node) {
                        clients.stop_new_connections(node);
                    }
                });
            }
            let mut ended = run.ended;
            if tokio::time::timeout(patience, &mut ended).await.is_err() {
                self.fleet.observer.record(ObservedEvent::StopOverdue { node });
            }
        }
        self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned });
        self.net.kill(run.host.process());
        run.task.abort();
        if !planned {
            self.front_notices(node, run.number);
        }
        sleep(down).await;
        self.start_node(node);
        sleep(Duration::from_millis(300)).await;
        if let Some(clients) = &*self.clients.borrow() {
            clients.set_reachable(node, true);
        }
    }

    /// A box's process ends: what it had open is reset.
    fn end_box(&self, number: ServerIndex, told: bool) {
        let Some(run) = self.boxes.borrow_mut().remove(&number) else { return };
        self.fleet.remove_cache_server(number);
        self.fleet.observer.record(ObservedEvent::CacheServerEnded { server: number });
        if told {
            self.net.kill(run.host.process());
        } else {
            self.net.vanish(run.host.ip(), run.host.process());
        }
        run.task.abort();
    }

    /// A box that is away comes back cold; its list line tells of the new start, later.
    async fn return_box(self: &Rc<Self>, number: ServerIndex) {
        if self.boxes.borrow().contains_key(&number) {
            return;
        }
        let Some(mut member) = self.discovery.member(number).filter(|m| m.phase == Phase::Ready) else {
            return;
        };
        self.start_box(number, true).await;
        member.started_ms = self.discovery_unix_ms();
        self.discovery.update(number, member);
    }

    /// The time of discovery's wall clock, by which starts are listed.
    fn discovery_unix_ms(&self) -> u64 {
        self.discovery_host.unix_time().as_millis() as u64
    }

    /// Every node is given a configuration that names this port of discovery's machine.
    async fn move_discovery(&self, port: u16) {
        let controls: Vec<_> = self.nodes.borrow().values().map(|run| run.control.clone()).collect();
        for control in controls {
            let _ = control.send(Control::SetDiscoveryAddress(SocketAddr::new(DISCOVERY, port))).await;
        }
    }

    /// Steps the wall clocks of machines; what runs there is not told.
    fn step_wall_clocks(&self, step: &WallClockStep) {
        step.nodes.iter().for_each(|node| self.net.step_wall_clock(node_ip(*node), step.by_ms));
        if step.discovery {
            self.net.step_wall_clock(DISCOVERY, step.by_ms);
        }
    }

    fn set_phase(&self, number: ServerIndex, phase: Phase) {
        if let Some(mut member) = self.discovery.member(number) {
            member.phase = phase;
            self.discovery.update(number, member);
        }
    }

    /// One box is replaced by a cold successor with a new name.
    async fn replace(self: Rc<Self>, number: ServerIndex, drain: Duration) {
        let Some(cache) = self.fleet.cache_server(number) else { return };
        self.set_phase(number, Phase::Draining);
        let [_, most] = self.fleet.scenario.discovery.lag_ms;
        // It turns away what is new once everybody must know.
        sleep(drain + Duration::from_millis(most)).await;
        cache.drain();
        sleep(Duration::from_millis(500)).await;
        self.set_phase(number, Phase::Gone);
        self.end_box(number, true);
        let next = self.discovery.next_index();
        let old = self.discovery.member(number);
        self.start_box(next, true).await;
        let member = Member {
            id: format!("s-{next:04}"),
            addresses: vec![SocketAddr::new(box_ip(next), 6379)],
            zone: old.map_or(0, |m| m.zone),
            is_origin: false,
            phase: Phase::Ready,
            started_ms: self.discovery_unix_ms(),
        };
        self.discovery.update(next, member);
    }

    fn zones(&self) -> usize {
        self.fleet.scenario.zones.len()
    }

    /// The boxes of a zone that the scenario begins with.
    fn boxes_of(&self, zone: usize) -> Vec<ServerIndex> {
        (0..self.fleet.scenario.boxes.count).filter(|b| b % self.zones() == zone).collect()
    }

    /// Whether discovery tells what it has.
    fn sound(&self, sound: bool) {
        self.fleet.observer.record(ObservedEvent::DiscoveryHealth { healthy: sound });
    }

    fn away(&self, at: ServerIndex, away: bool) {
        self.fleet.observer.record(ObservedEvent::ReachabilityChanged { server: at, unreachable: away });
    }

    /// Lets a fault happen, and undoes it when its time is over.
    async fn strike(self: Rc<Self>, what: What) {
        let fault = |text: String| self.fleet.observer.record(ObservedEvent::Fault(text));
        fault(format!("begins: {what:?}"));
        let wait = |ms: u64| sleep(Duration::from_millis(ms));
        let knobs = &self.fleet.fault_settings;
        match what.clone() {
            What::Crash { boxes, down_ms } => {
                boxes.iter().for_each(|b| self.end_box(*b, true));
                wait(down_ms).await;
                for number in boxes {
                    self.return_box(number).await;
                }
            }
            What::PowerLoss { at, down_ms } => {
                let ip = box_ip(at);
                self.away(at, true);
                self.end_box(at, false);
                wait(down_ms).await;
                self.net.restore(ip);
                self.away(at, false);
                self.return_box(at).await;
            }
            What::Deploy { batch, most, drain_ms } => {
                let mut boxes = self.discovery.ready_servers();
                boxes.truncate(most);
                for group in boxes.chunks(batch.max(1)) {
                    let all: Vec<_> = group
                        .iter()
                        .map(|n| spawn_local(self.clone().replace(*n, Duration::from_millis(drain_ms))))
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
                knobs.load_factor.set(factor);
                wait(for_ms).await;
                knobs.load_factor.set(1.0);
            }
            What::Quiet { for_ms } => {
                knobs.quiet_until.set(Some(Instant::now() + Duration::from_millis(for_ms)));
                wait(for_ms).await;
                knobs.quiet_until.set(None);
            }
            What::PeersLost { part, for_ms } => {
                self.net.lose_datagrams(part);
                wait(for_ms).await;
                self.net.lose_datagrams(self.fleet.scenario.network.datagrams_lost);
            }
            What::ListLate { late_ms, for_ms } => {
                self.sound(false);
                knobs.list_delay_ms.set(late_ms);
                wait(for_ms).await;
                knobs.list_delay_ms.set(0);
                self.sound(true);
            }
            What::ListDown { for_ms } => {
                self.sound(false);
                knobs.discovery_down.set(true);
                wait(for_ms).await;
                knobs.discovery_down.set(false);
                self.sound(true);
            }
            What::ListOld { back, for_ms } => {
                self.sound(false);
                let least = self.fleet.scenario.boxes.count as u64 + 1;
                knobs.pinned_revision.set(Some(self.discovery.revision().saturating_sub(back).max(least)));
                self.discovery.invalidate_watches();
                wait(for_ms).await;
                knobs.pinned_revision.set(None);
                self.discovery.invalidate_watches();
                self.sound(true);
            }
            What::ListEmpty { for_ms } => {
                self.sound(false);
                knobs.empty_list.set(true);
                self.discovery.invalidate_watches();
                wait(for_ms).await;
                knobs.empty_list.set(false);
                self.discovery.invalidate_watches();
                self.sound(true);
            }
            What::CutOff { at, for_ms } => {
                self.away(at, true);
                self.net.silence(box_ip(at));
                wait(for_ms).await;
                self.net.restore(box_ip(at));
                self.away(at, false);
            }
            What::OneWay { node, at, to_box, for_ms } => {
                let (from, to) =
                    if to_box { (node_ip(node), box_ip(at)) } else { (box_ip(at), node_ip(node)) };
                self.away(at, true);
                self.net.cut(from, to);
                wait(for_ms).await;
                self.net.mend(from, to);
                self.away(at, false);
            }
            What::Spoil { at, resets, stalls, for_ms } => {
                if let Some(cache) = self.fleet.cache_server(at) {
                    cache.spoil.resets.set(resets);
                    cache.spoil.stalls.set(stalls);
                    wait(for_ms).await;
                    cache.spoil.resets.set(0.0);
                    cache.spoil.stalls.set(0.0);
                }
            }
            What::SecondAnswers { at, part, most_ms, for_ms } => {
                if let Some(cache) = self.fleet.cache_server(at) {
                    let figures = &cache.spoil.second_answers;
                    figures.part.set(part);
                    figures.most_ms.set(most_ms);
                    wait(for_ms).await;
                    figures.part.set(0.0);
                }
            }
            What::Clients { leavers, slow, for_ms } => {
                knobs.leavers.set(leavers);
                knobs.slow_readers.set(slow);
                wait(for_ms).await;
                knobs.leavers.set(0.0);
                knobs.slow_readers.set(0.0);
            }
            What::Crowd { per_s, slow, for_ms } => {
                knobs.slow_heads.set(slow);
                self.fleet.observer.record(ObservedEvent::ConnectionPressure { begins: true });
                let clients = self.clients.borrow().clone();
                if let Some(clients) = clients {
                    clients.open_stalled_connections(per_s, Duration::from_millis(for_ms)).await;
                }
                knobs.slow_heads.set(0.0);
                self.fleet.observer.record(ObservedEvent::ConnectionPressure { begins: false });
            }
            What::Large { part, bytes, for_ms } => {
                knobs.large.set((part, bytes));
                wait(for_ms).await;
                knobs.large.set((0.0, 0));
            }
            What::OriginResets { part, for_ms } => {
                knobs.origin_resets.set(part);
                wait(for_ms).await;
                knobs.origin_resets.set(0.0);
            }
            What::ZoneLost { zone, down_ms } => {
                let boxes = self.boxes_of(zone);
                boxes.iter().for_each(|b| self.end_box(*b, true));
                wait(down_ms).await;
                for number in boxes {
                    self.return_box(number).await;
                }
            }
            What::ZoneSilent { zone, for_ms } => {
                let boxes = self.boxes_of(zone);
                boxes.iter().for_each(|b| {
                    self.away(*b, true);
                    self.net.silence(box_ip(*b));
                });
                wait(for_ms).await;
                boxes.iter().for_each(|b| {
                    self.net.restore(box_ip(*b));
                    self.away(*b, false);
                });
            }
            What::ZonesApart { a, b, for_ms } => {
                let machines = |zone| -> Vec<IpAddr> {
                    let nodes = (0..self.fleet.scenario.nodes.count).filter(|n| n % self.zones() == zone);
                    nodes.map(node_ip).chain(self.boxes_of(zone).into_iter().map(box_ip)).collect()
                };
                let (left, right) = (machines(a), machines(b));
                let boxes: Vec<ServerIndex> = [a, b].into_iter().flat_map(|z| self.boxes_of(z)).collect();
                let ways = || left.iter().flat_map(|l| right.iter().flat_map(move |r| [(*l, *r), (*r, *l)]));
                boxes.iter().for_each(|at| self.away(*at, true));
                ways().for_each(|(from, to)| self.net.cut(from, to));
                wait(for_ms).await;
                ways().for_each(|(from, to)| self.net.mend(from, to));
                boxes.iter().for_each(|at| self.away(*at, false));
            }
            What::NodesKilled { nodes, down_ms } => {
                let down = Duration::from_millis(down_ms);
                let killed = nodes.into_iter().map(|node| {
                    let world = self.clone();
                    spawn_local(async move { world.restart_node(node, false, down).await })
                });
                for one in killed.collect::<Vec<_>>() {
                    let _ = one.await;
                }
            }
            What::DiscoveryMoves { configurations, apart_ms } => {
                self.sound(false);
                for number in 1..=configurations {
                    let last = number == configurations;
                    self.move_discovery(if last { DISCOVERY_MOVED } else { DISCOVERY_NOWHERE }).await;
                    wait(apart_ms).await;
                }
                self.sound(true);
            }
            What::WallClockStep(step) => self.step_wall_clocks(&step),
            What::SystemCalls { node, call, failure, part, for_ms } => {
                let failing = FailingCall { node, call, failure, part };
                self.fail_calls(failing, Duration::from_millis(for_ms)).await;
            }
            What::GoneAtPacket { at, packet, drains } => {
                self.net.packet(packet).await;
                if let Some(mut member) = self.discovery.member(at) {
                    member.phase = if drains { Phase::Draining } else { Phase::Gone };
                    self.discovery.update_after(at, member, Duration::ZERO);
                }
            }
        }
        fault(format!("is over: {what:?}"));
    }
}
