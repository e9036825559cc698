//! The environment of a trial: stubs in this process, nodes as processes of their own, and a relay on every link between
//! two endpoints. Everything uses loopback addresses that no other trial on this host has.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Seek, SeekFrom, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use chalksill_world::agreement;
use chalksill_world::clients::{Clients, CompletedRequest};
use chalksill_world::discovery::Discovery;
use chalksill_world::fleet::{Fleet, Member};
use chalksill_world::live::{self, HOST};
use chalksill_world::observe::{NodeIndex, ObservedEvent, Observer, Phase, ServerIndex};
use chalksill_world::origin::Origin;
use chalksill_world::process::{self, Platform, Process};
use mothpier_host::{Host, Listener, SystemHost};
use nix::sys::signal::Signal;
use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use crate::plan::{DiscoveryPlacement, Trial};
use crate::relay::{LinkConditions, Relay};
use crate::topology::{Endpoint, EndpointKind, Endpoints};

mod lifecycle;

/// Ports of a node, on an address of its own. They lie below the ephemeral ports of usual hosts.
const CLIENT_PORT: u16 = 6379;
const PEER_PORT: u16 = 7946;
const OPERATIONS_PORT: u16 = 9901;
/// A listener on this port of a network's first address marks the network as taken.
const LOCK_PORT: u16 = 6300;
/// Trials use the networks 127.64.0.0/24 to 127.95.255.0/24: the first second byte, and how many of these there are.
const FIRST_NET_SECOND_BYTE: u8 = 64;
const NET_SECOND_BYTES: u8 = 32;
/// Last bytes of addresses in a network: relays, stubs, and the first node; the other nodes follow.
const RELAY_HOST: u8 = 2;
const STUB_HOST: u8 = 3;
const FIRST_NODE_HOST: u8 = 10;
/// File with the ids of all processes that a trial has started, one a line.
const PROCESS_IDS_FILE: &str = "processes";
/// Interval between two probes of a node by the front end (the load balancer between clients and nodes).
const FRONT_END_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// The front end learns of a planned stop after this time, and opens no new connections to the node from then on.
const STOP_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// A node that has not answered an operations call after this time counts as not answering.
const OPERATIONS_TIMEOUT: Duration = Duration::from_secs(2);
/// A node that was told to stop is killed after the longest deadline and this time.
const STOP_GRACE: Duration = Duration::from_secs(2);
/// Limit of the log lines that are kept, of all nodes together; no trial should write more.
const MAX_LOG_LINES: usize = 20_000;

/// A one-way network path between two endpoints, and its relay.
pub struct Link {
    /// The endpoint that connects or sends.
    pub from: Endpoint,
    /// The endpoint that accepts or receives.
    pub to: Endpoint,
    /// Whether it carries datagrams (connections otherwise).
    pub carries_datagrams: bool,
    /// The relay that carries its traffic.
    pub relay: Relay,
}

/// State of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Running, or starting.
    Running,
    /// Stopped by SIGSTOP.
    Paused,
    /// Told to terminate.
    Stopping,
    /// Exited, or killed.
    Exited,
}

struct NodeProcess {
    process: RefCell<Process>,
    state: Cell<ProcessState>,
    incarnation: Cell<u64>,
    /// Address at which the clients of its zone reach it.
    front_end_address: SocketAddr,
    /// Number of bytes of its log that have been read.
    log_offset: Cell<u64>,
    /// Address of its operations endpoint.
    operations_address: Cell<SocketAddr>,
    /// The client socket and folder that its processes inherit, where the platform holds them.
    platform: Option<Platform>,
}

struct CacheServerTask {
    listen_addresses: Vec<SocketAddr>,
    task: Option<AbortHandle>,
    incarnation: u64,
}

/// A line of a node's log, and when it was read.
#[derive(Clone, Debug, serde::Serialize)]
pub struct LogLine {
    /// Seconds since the start of the trial.
    pub at_s: f64,
    /// The node.
    pub node: NodeIndex,
    /// The text of the line.
    pub text: String,
}

/// Everything that a running trial consists of.
pub struct Environment {
    /// The trial's definition.
    pub trial: Trial,
    /// State that stubs share.
    pub fleet: Rc<Fleet>,
    /// The clients.
    pub clients: Rc<Clients<SystemHost>>,
    /// All links.
    pub links: Vec<Link>,
    /// Log lines of all nodes in the order in which they were read.
    pub log: RefCell<Vec<LogLine>>,
    discoveries: Vec<Rc<Discovery>>,
    nodes: Vec<NodeProcess>,
    cache_servers: RefCell<BTreeMap<ServerIndex, CacheServerTask>>,
    /// Cache servers, and the origin, to which some link is blocked.
    unreachable_servers: RefCell<BTreeSet<ServerIndex>>,
    /// Nodes that their clients cannot reach.
    unreachable_nodes: RefCell<BTreeSet<NodeIndex>>,
    folder: PathBuf,
    program: PathBuf,
    peer_addresses: Vec<Vec<SocketAddr>>,
    /// Address of each agreement member as each node sees it; empty where agreement is switched off.
    agreement_addresses: Vec<Vec<SocketAddr>>,
    discovery_addresses: Vec<SocketAddr>,
    /// Where the nodes accept clients.
    node_addresses: Vec<SocketAddr>,
    _net_lock: StdListener,
}

/// Reserves a /24 network of loopback addresses that no other trial has.
fn reserve_net() -> Result<(StdListener, impl Fn(u8) -> Ipv4Addr + Copy), String> {
    let all = u32::from(NET_SECOND_BYTES) * 256;
    let begin = std::process::id() % all;
    for i in 0..all {
        let net = (begin + i) % all;
        let (b, c) = (FIRST_NET_SECOND_BYTE + (net / 256) as u8, (net % 256) as u8);
        let host_address = move |host: u8| Ipv4Addr::new(127, b, c, host);
        if let Ok(lock) = StdListener::bind((host_address(1), LOCK_PORT)) {
            return Ok((lock, host_address));
        }
    }
    Err("all loopback networks for trials are in use".into())
}

impl Environment {
    /// Where a node accepts clients, past all relays.
    pub fn node_address(&self, node: NodeIndex) -> SocketAddr {
        self.node_addresses[node]
    }

    /// Starts everything; `on_completed` gets each first try that has ended. Must run inside a `LocalSet`.
    ///
    /// # Errors
    /// A socket, file or process that cannot be created, or a node that does not become ready.
    pub async fn launch(
        trial: Trial,
        seed: u64,
        program: &Path,
        folder: &Path,
        observer: &Observer,
        on_completed: impl Fn(CompletedRequest) + 'static,
    ) -> Result<Rc<Environment>, String> {
        let (net_lock, host_address) = reserve_net()?;
        let fleet = Fleet::new(trial.scenario.clone(), seed, observer.clone());
        let topology = trial.topology.clone();
        let (nodes, cache_servers) = (trial.scenario.nodes.count, trial.scenario.boxes.count);
        let any = |host| SocketAddr::from((host_address(host), 0));
        std::fs::create_dir_all(folder).map_err(|e| format!("cannot make {}: {e}", folder.display()))?;
        let _ = std::fs::remove_file(folder.join(PROCESS_IDS_FILE));
        let mut links: Vec<Link> = Vec::new();
        let mut seeds = fleet.rng("ways", 0);
        let healthy_link = |from: Endpoint, to: Endpoint| {
            let ms = if from.kind == EndpointKind::Clients {
                0.0
            } else {
                topology.delay_ms(&trial.link_delays, from.zone, to.zone)
            };
            LinkConditions::healthy(Duration::from_secs_f64(ms / 1e3), trial.link_delays.jitter)
        };
        let mut relay = |from: Endpoint, to: Endpoint, real: SocketAddr| -> Result<SocketAddr, String> {
            let relay = Relay::connections(any(RELAY_HOST), real, healthy_link(from, to), seeds.random());
            let relay = relay.map_err(|e| format!("cannot open a relay: {e}"))?;
            let address = relay.address;
            links.push(Link { from, to, carries_datagrams: false, relay });
            Ok(address)
        };
        let listen = async || -> Result<(_, SocketAddr), String> {
            let listener = HOST.listen(any(STUB_HOST)).await.map_err(|e| format!("cannot listen: {e}"))?;
            let real = Listener::local_addr(&listener).map_err(|e| e.to_string())?;
            Ok((listener, real))
        };

        let (mut members, mut cache_server_tasks) = (BTreeMap::new(), BTreeMap::new());
        for number in 0..=cache_servers {
            let endpoint = topology.server(number);
            let cold = trial.scenario.boxes.start_cold && endpoint.kind == EndpointKind::CacheServer;
            let started = if cold { HOST.unix_time().as_millis() as u64 } else { 0 };
            let (mut listeners, mut listen_addresses, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
            for node in 0..nodes {
                let (listener, real) = listen().await?;
                listeners.push(listener);
                listen_addresses.push(real);
                addresses.push(relay(topology.node(node), endpoint, real)?);
            }
            if endpoint.kind == EndpointKind::Origin {
                let origin = Origin::new(&fleet, number);
                for (node, listener) in listeners.into_iter().enumerate() {
                    spawn_local(origin.clone().serve::<SystemHost>(listener, move |_| node));
                }
            } else {
                let task = live::serve_cache(&fleet, number, 0, cold.then_some(started), listeners);
                cache_server_tasks
                    .insert(number, CacheServerTask { listen_addresses, task: Some(task), incarnation: 0 });
            }
            let member = Member {
                id: format!("s-{number:04}"),
                addresses,
                zone: endpoint.zone,
                is_origin: endpoint.kind == EndpointKind::Origin,
                phase: Phase::Ready,
                started_ms: started,
            };
            members.insert(number, member);
        }
        fleet.warm_caches((0..cache_servers).collect::<Vec<ServerIndex>>().as_slice());
        let count = if trial.discovery == DiscoveryPlacement::One { 1 } else { topology.regions.len() };
        let discoveries: Vec<_> = (0..count).map(|_| Discovery::new(&fleet, members.clone())).collect();
        let mut discovery_addresses = Vec::new();
        for node in 0..nodes {
            let endpoint = topology.node(node);
            let region = if count == 1 {
                topology.region_of[topology.origin_zone]
            } else {
                topology.region_of[endpoint.zone]
            };
            let zone = if count == 1 { topology.origin_zone } else { topology.zone_of_discovery(region) };
            let (listener, real) = listen().await?;
            let discovery = discoveries[if count == 1 { 0 } else { region }].clone();
            spawn_local(discovery.serve::<SystemHost>(listener, move |_| node));
            discovery_addresses.push(relay(
                endpoint,
                Endpoint { kind: EndpointKind::Discovery, number: region, zone },
                real,
            )?);
        }
        let mut front_end_addresses = Vec::new();
        for node in 0..nodes {
            let endpoint = topology.node(node);
            let clients =
                Endpoint { kind: EndpointKind::Clients, number: endpoint.zone, zone: endpoint.zone };
            front_end_addresses.push(relay(
                clients,
                endpoint,
                (host_address(FIRST_NODE_HOST + node as u8), CLIENT_PORT).into(),
            )?);
        }
        let peer_addresses =
            open_datagram_links(&trial, &fleet, &mut links, &host_address, &healthy_link, PEER_PORT).await?;
        let agreement_addresses = match trial.scenario.agreement_enabled() {
            true => {
                open_datagram_links(&trial, &fleet, &mut links, &host_address, &healthy_link, agreement::PORT)
                    .await?
            }
            false => Vec::new(),
        };

        let clients = Clients::new(HOST, &fleet, front_end_addresses.clone(), on_completed);
        let mut environment = Environment {
            fleet,
            clients,
            links,
            log: RefCell::default(),
            discoveries,
            nodes: Vec::new(),
            cache_servers: RefCell::new(cache_server_tasks),
            unreachable_servers: RefCell::default(),
            unreachable_nodes: RefCell::default(),
            folder: folder.into(),
            program: program.into(),
            peer_addresses,
            agreement_addresses,
            discovery_addresses,
            node_addresses: (0..nodes)
                .map(|node| (host_address(FIRST_NODE_HOST + node as u8), CLIENT_PORT).into())
                .collect(),
            trial,
            _net_lock: net_lock,
        };
        for (node, front_end_address) in front_end_addresses.into_iter().enumerate() {
            let address = SocketAddr::from((host_address(FIRST_NODE_HOST + node as u8), CLIENT_PORT));
            let files = environment.folder.join(format!("n{node}"));
            let _ = std::fs::remove_file(files.with_extension("log"));
            environment.write_node_files(node, 0, address)?;
            let operations_address = SocketAddr::new(address.ip(), OPERATIONS_PORT);
            let platform = environment
                .trial
                .inherited_sockets
                .then(|| environment.open_client_socket(node, address))
                .transpose()?;
            let process = match &platform {
                Some(platform) => {
                    Process::start_with_socket(platform, operations_address, program, files, address)?
                }
                None => Process::start(program, files, address)?,
            };
            environment.record_process_id(&process)?;
            let (process, operations_address) = (RefCell::new(process), Cell::new(operations_address));
            let (state, incarnation, log_offset) =
                (Cell::new(ProcessState::Running), Cell::new(0), Cell::new(0));
            environment.nodes.push(NodeProcess {
                process,
                state,
                incarnation,
                front_end_address,
                log_offset,
                operations_address,
                platform,
            });
        }
        for (node, node_process) in environment.nodes.iter().enumerate() {
            let address = node_process.process.borrow().address;
            process::wait_until_ready(address).await?;
            observer.record(ObservedEvent::NodeStarted { node });
        }
        let environment = Rc::new(environment);
        for node in 0..nodes {
            spawn_local(environment.clone().probe_as_front_end(node));
        }
        Ok(environment)
    }

    /// Writes the files that an incarnation of a node starts with: a seed of its own, and the last server list known to it.
    fn write_node_files(&self, node: NodeIndex, incarnation: u64, address: SocketAddr) -> Result<(), String> {
        let scenario = &self.trial.scenario;
        let seed: u64 = self.fleet.rng("node", node as u64 * 1000 + incarnation).random();
        let topology = &self.trial.topology;
        let discovery =
            if self.discoveries.len() == 1 { 0 } else { topology.region_of[topology.zone_of(node)] };
        let addresses = process::NodeAddresses {
            listen: address,
            discovery: self.discovery_addresses[node],
            peers: &self.peer_addresses[node],
            operations: self.trial.operations_enabled.then(|| SocketAddr::new(address.ip(), OPERATIONS_PORT)),
        };
        let config = process::node_configuration(
            scenario,
            node,
            &addresses,
            seed,
            self.discoveries[discovery].known_list(node),
        );
        let mut operator = scenario.nodes.operator.clone();
        if self.trial.older_nodes.iter().any(|p| p.number == node) {
            let mut table: toml::Table = toml::from_str(&operator).map_err(|e| e.to_string())?;
            ["places", "accord"].into_iter().for_each(|part| drop(table.remove(part)));
            operator = toml::to_string(&table).map_err(|e| e.to_string())?;
        } else if let Some(members) = self.agreement_addresses.get(node) {
            // Each node sees the others at addresses of its own.
            operator = agreement::operator_config(&operator, members[node], members)?;
        }
        process::write_files(&self.folder.join(format!("n{node}")), &config, &operator)
    }

    /// Opens a node's client socket for its processes to inherit, and creates the folder that they share.
    fn open_client_socket(&self, node: NodeIndex, address: SocketAddr) -> Result<Platform, String> {
        let listener = StdListener::bind(address).map_err(|e| format!("cannot listen on {address}: {e}"))?;
        let folder = self.folder.join(format!("n{node}-shared"));
        std::fs::create_dir_all(&folder).map_err(|e| format!("cannot make {}: {e}", folder.display()))?;
        let folder = folder.canonicalize().map_err(|e| format!("no folder {}: {e}", folder.display()))?;
        Ok(Platform { listener, folder })
    }

    /// Adds a process to the list of all that were started, by which a caller can check that none is left running.
    fn record_process_id(&self, process: &Process) -> Result<(), String> {
        let path = self.folder.join(PROCESS_IDS_FILE);
        let file = std::fs::File::options().create(true).append(true).open(&path);
        let id = process.id().map(|id| id.to_string()).unwrap_or_default();
        file.and_then(|mut file| writeln!(file, "{id}"))
            .map_err(|e| format!("cannot write {}: {e}", path.display()))
    }

    /// Probes a node as the front end does: it routes clients to a node until no probe has succeeded for the notice delay.
    async fn probe_as_front_end(self: Rc<Self>, node: NodeIndex) {
        let mut rng = self.fleet.rng("front", node as u64);
        let [least, most] = self.trial.scenario.nodes.front_notices_ms;
        let (mut last_answer, mut believed_reachable) = (Instant::now(), true);
        let mut notice_delay = Duration::from_millis(rng.random_range(least..=most));
        loop {
            sleep(FRONT_END_PROBE_INTERVAL).await;
            let answered = process::answers_ping(self.nodes[node].front_end_address).await;
            if answered {
                last_answer = Instant::now();
                notice_delay = Duration::from_millis(rng.random_range(least..=most));
            }
            if self.nodes[node].state.get() == ProcessState::Stopping {
                // The front end is told of the stop, and goes on using open connections.
                believed_reachable = false;
                continue;
            }
            let reachable = answered || believed_reachable && last_answer.elapsed() < notice_delay;
            if reachable != believed_reachable {
                believed_reachable = reachable;
                self.clients.set_reachable(node, reachable);
                let what = if reachable { "routes to" } else { "no longer routes to" };
                self.record_event(format!("front end {what} node {node}"));
            }
        }
    }

    /// Adds an event to the timeline.
    pub fn record_event(&self, description: String) {
        self.fleet.observer.record(ObservedEvent::Fault(description));
    }

    /// The state of a node's process.
    pub fn process_state(&self, node: NodeIndex) -> ProcessState {
        self.nodes[node].state.get()
    }

    /// Whether a node answers `PING` on its own address, past the relays.
    pub async fn is_ready(&self, node: NodeIndex) -> bool {
        let address = self.nodes[node].process.borrow().address;
        process::answers_ping(address).await
    }

    /// Kills a node or a cache server, without notice to anybody.
    ///
    /// # Errors
    /// The error of the cache server or process that cannot be killed.
    pub async fn kill(&self, endpoint: Endpoint) -> Result<(), String> {
        if endpoint.kind == EndpointKind::CacheServer {
            let mut cache_servers = self.cache_servers.borrow_mut();
            let Some(server) = cache_servers.get_mut(&endpoint.number) else { return Ok(()) };
            if let Some(task) = server.task.take() {
                self.fleet.observer.record(ObservedEvent::CacheServerEnded { server: endpoint.number });
                task.abort();
                self.fleet.remove_cache_server(endpoint.number);
                self.set_refusing(endpoint, true);
            }
            return Ok(());
        }
        let (node, node_process) = (endpoint.number, &self.nodes[endpoint.number]);
        if node_process.state.get() == ProcessState::Exited {
            return Ok(());
        }
        // Recorded first, for clients may see their connections end before the process has exited.
        self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: false });
        node_process.state.set(ProcessState::Exited);
        node_process.process.borrow().signal(Signal::SIGKILL);
        self.set_refusing(endpoint, true);
        // Always ends: SIGKILL cannot be caught or ignored.
        while node_process.process.borrow_mut().exit_status().is_none() {
            sleep(Duration::from_millis(1)).await;
        }
        Ok(())
    }

    /// Sets whether the links to an endpoint refuse connections, as the host of an exited process does. Refusing also
    /// resets open connections.
    fn set_refusing(&self, endpoint: Endpoint, refusing: bool) {
        for link in self.links.iter().filter(|link| link.to == endpoint && !link.carries_datagrams) {
            link.relay.update(|conditions| conditions.refusing = refusing);
            if refusing {
                link.relay.reset();
            }
        }
    }

    /// Starts a killed endpoint without any of its former state. A node counts as started when it answers `PING`.
    ///
    /// # Errors
    /// A process that is running, or cannot be started.
    pub async fn start_endpoint(self: &Rc<Self>, endpoint: Endpoint) -> Result<(), String> {
        if endpoint.kind == EndpointKind::CacheServer {
            return self.start_cache_server(endpoint).await;
        }
        let (node, node_process) = (endpoint.number, &self.nodes[endpoint.number]);
        if node_process.state.get() != ProcessState::Exited {
            return Err(format!("node {node} is already running"));
        }
        node_process.incarnation.set(node_process.incarnation.get() + 1);
        let address = node_process.process.borrow().address;
        self.write_node_files(node, node_process.incarnation.get(), address)?;
        let started = match &node_process.platform {
            None => node_process.process.borrow_mut().restart(),
            Some(platform) => {
                let files = node_process.process.borrow().files().to_path_buf();
                let process = Process::start_with_socket(
                    platform,
                    node_process.operations_address.get(),
                    &self.program,
                    files,
                    address,
                );
                process.map(|process| drop(node_process.process.replace(process)))
            }
        };
        started?;
        self.record_process_id(&node_process.process.borrow())?;
        node_process.state.set(ProcessState::Running);
        let (environment, incarnation) = (self.clone(), node_process.incarnation.get());
        spawn_local(async move {
            let is_ready = process::wait_until_ready(address).await.is_ok();
            let node_process = &environment.nodes[node];
            if is_ready
                && node_process.incarnation.get() == incarnation
                && node_process.state.get() == ProcessState::Running
            {
                environment.fleet.observer.record(ObservedEvent::NodeStarted { node });
                environment.set_refusing(endpoint, false);
            }
        });
        Ok(())
    }

    async fn start_cache_server(&self, endpoint: Endpoint) -> Result<(), String> {
        let number = endpoint.number;
        let (listen_addresses, incarnation) = {
            let cache_servers = self.cache_servers.borrow();
            let Some(server) = cache_servers.get(&number) else { return Ok(()) };
            if server.task.is_some() {
                return Err(format!("cache server {number} is already running"));
            }
            (server.listen_addresses.clone(), server.incarnation + 1)
        };
        let mut listeners = Vec::new();
        for at in &listen_addresses {
            let listener = HOST.listen(*at).await;
            listeners.push(listener.map_err(|e| format!("cache server {number} cannot listen again: {e}"))?);
        }
        let started = HOST.unix_time().as_millis() as u64;
        let task = live::serve_cache(&self.fleet, number, incarnation, Some(started), listeners);
        self.cache_servers
            .borrow_mut()
            .insert(number, CacheServerTask { listen_addresses, task: Some(task), incarnation });
        for discovery in &self.discoveries {
            if let Some(mut member) = discovery.member(number) {
                member.started_ms = started;
                discovery.update(number, member);
            }
        }
        self.set_refusing(endpoint, false);
        Ok(())
    }

    /// Sets the phase of a cache server in discovery's list, whatever state the server is in.
    pub fn set_listed_phase(&self, number: ServerIndex, phase: Phase) {
        for discovery in &self.discoveries {
            if let Some(mut member) = discovery.member(number) {
                member.phase = phase;
                discovery.update(number, member);
            }
        }
    }

    /// Sends an operator's order about a zone to a node's operations endpoint.
    ///
    /// # Errors
    /// The node's refusal, or a failed or unanswered call.
    pub async fn send_zone_order(&self, node: NodeIndex, path: &str) -> Result<(), String> {
        let address = self.nodes[node].process.borrow().address;
        let call_result = timeout(OPERATIONS_TIMEOUT, async {
            let mut stream = TcpStream::connect(SocketAddr::new(address.ip(), OPERATIONS_PORT)).await?;
            stream.write_all(format!("PUT {path} HTTP/1.1\r\nHost: staff\r\n\r\n").as_bytes()).await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            std::io::Result::Ok(answer)
        });
        match call_result.await {
            Ok(Ok(answer)) if answer.starts_with("HTTP/1.1 202 ") => Ok(()),
            Ok(Ok(answer)) => {
                Err(format!("node {node} answers {path} with {}", answer.lines().last().unwrap_or_default()))
            }
            Ok(Err(e)) => Err(format!("node {node} does not answer {path}: {e}")),
            Err(_) => Err(format!("node {node} does not answer {path}")),
        }
    }

    /// Stops a node's process by SIGSTOP: it keeps its sockets open and sends nothing.
    pub fn pause(&self, node: NodeIndex) {
        let node_process = &self.nodes[node];
        if node_process.state.get() == ProcessState::Running {
            self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: false });
            node_process.state.set(ProcessState::Paused);
            node_process.process.borrow().signal(Signal::SIGSTOP);
        }
    }

    /// Lets a process that was stopped by SIGSTOP continue.
    pub fn resume(&self, node: NodeIndex) {
        let node_process = &self.nodes[node];
        if node_process.state.get() == ProcessState::Paused {
            self.fleet.observer.record(ObservedEvent::NodeStarted { node });
            node_process.state.set(ProcessState::Running);
            node_process.process.borrow().signal(Signal::SIGCONT);
        }
    }

    /// Tells a node to terminate as at a planned restart, and kills it after the longest deadline and [`STOP_GRACE`].
    pub fn terminate(self: &Rc<Self>, node: NodeIndex) {
        let node_process = &self.nodes[node];
        if node_process.state.get() != ProcessState::Running {
            return;
        }
        self.fleet.observer.record(ObservedEvent::NodeStopping { node });
        node_process.state.set(ProcessState::Stopping);
        node_process.process.borrow().signal(Signal::SIGTERM);
        let environment = self.clone();
        spawn_local(async move {
            let until = Instant::now() + environment.trial.scenario.longest_deadline() + STOP_GRACE;
            let notice_at = Instant::now() + STOP_NOTICE_DELAY;
            let node_process = &environment.nodes[node];
            loop {
                let has_exited = node_process.process.borrow_mut().exit_status().is_some();
                if has_exited || Instant::now() >= until {
                    break;
                }
                if Instant::now() >= notice_at {
                    environment.clients.stop_new_connections(node);
                }
                sleep(Duration::from_millis(20)).await;
            }
            environment.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: true });
            node_process.process.borrow().signal(Signal::SIGKILL);
            node_process.state.set(ProcessState::Exited);
            environment.set_refusing(environment.trial.topology.node(node), true);
        });
    }

    /// The links between two groups, and whether each leads from the first to the second. Links within the smaller group
    /// are left out, unless the groups are equal: a zone that is cut off from everything keeps its inner links.
    fn links_between(&self, a: &Endpoints, b: &Endpoints) -> Vec<(&Link, bool)> {
        let inner = if a.len() <= b.len() { a } else { b };
        let within = |link: &Link| inner.contains(&link.from) && inner.contains(&link.to);
        let is_included = |link: &&Link| a == b || !within(link);
        let is_forward = |link: &'_ Link| {
            if a.contains(&link.from) && b.contains(&link.to) {
                Some(true)
            } else {
                (b.contains(&link.from) && a.contains(&link.to)).then_some(false)
            }
        };
        self.links
            .iter()
            .filter(is_included)
            .filter_map(|link| is_forward(link).map(|forward| (link, forward)))
            .collect()
    }

    /// Blocks links silently; with `one_way` only traffic from the first group to the second.
    pub fn cut(&self, a: &Endpoints, b: &Endpoints, one_way: bool) {
        for (link, is_forward) in self.links_between(a, b) {
            let (forward, backward) = (!one_way || is_forward, !one_way || !is_forward);
            link.relay.update(|conditions| {
                conditions.blocked_forward |= forward;
                conditions.blocked_backward |= backward;
            });
        }
        self.update_reachability();
    }

    /// Unblocks links; the traffic that they held is released, or the connections are reset.
    pub fn heal(&self, a: &Endpoints, b: &Endpoints, reset: bool) {
        for (link, _) in self.links_between(a, b) {
            if reset {
                link.relay.reset();
            }
            // An endpoint that has exited goes on refusing.
            let has_exited = !self.is_alive(link.to);
            link.relay
                .update(|c| (c.blocked_forward, c.blocked_backward, c.refusing) = (false, false, has_exited));
        }
        self.update_reachability();
    }

    fn is_alive(&self, endpoint: Endpoint) -> bool {
        match endpoint.kind {
            EndpointKind::Node => self.nodes[endpoint.number].state.get() != ProcessState::Exited,
            EndpointKind::CacheServer => {
                self.cache_servers.borrow().get(&endpoint.number).is_some_and(|server| server.task.is_some())
            }
            _ => true,
        }
    }

    /// Resets open connections of links, and with `refuse` makes them refuse new ones.
    pub fn reset_links(&self, a: &Endpoints, b: &Endpoints, refuse: bool) {
        for (link, _) in self.links_between(a, b) {
            if link.from.kind == EndpointKind::Clients {
                // The node isn't to blame for what its clients lose here.
                let node = link.to.number;
                self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: false });
                self.fleet.observer.record(ObservedEvent::NodeStarted { node });
            }
            link.relay.update(|conditions| conditions.refusing |= refuse);
            link.relay.reset();
        }
        self.update_reachability();
    }

    /// Changes the conditions of links.
    pub fn change_links(&self, a: &Endpoints, b: &Endpoints, change: impl Fn(&mut LinkConditions)) {
        for (link, _) in self.links_between(a, b) {
            link.relay.update(&change);
        }
    }

    /// Records which servers and nodes have become unreachable or reachable again, for the rules don't hold a node
    /// responsible for traffic that a cut keeps from it.
    fn update_reachability(&self) {
        let cache_servers = self.trial.scenario.boxes.count;
        let is_blocked = |c: &LinkConditions| c.blocked_forward || c.blocked_backward || c.refusing;
        let (mut unreachable_servers, mut nodes) = (BTreeSet::new(), BTreeSet::new());
        for link in self.links.iter().filter(|link| {
            !link.carries_datagrams && is_blocked(&link.relay.conditions()) && self.is_alive(link.to)
        }) {
            match link.to.kind {
                EndpointKind::CacheServer => drop(unreachable_servers.insert(link.to.number)),
                EndpointKind::Origin => drop(unreachable_servers.insert(cache_servers)),
                EndpointKind::Node => drop(nodes.insert(link.to.number)),
                _ => {}
            }
        }
        let record = |event| self.fleet.observer.record(event);
        let before = self.unreachable_servers.replace(unreachable_servers.clone());
        unreachable_servers
            .difference(&before)
            .for_each(|at| record(ObservedEvent::ReachabilityChanged { server: *at, unreachable: true }));
        before
            .difference(&unreachable_servers)
            .for_each(|at| record(ObservedEvent::ReachabilityChanged { server: *at, unreachable: false }));
        let before = self.unreachable_nodes.replace(nodes.clone());
        nodes
            .difference(&before)
            .for_each(|node| record(ObservedEvent::NodeEnded { node: *node, planned: false }));
        for node in before.difference(&nodes).filter(|n| self.nodes[**n].state.get() == ProcessState::Running)
        {
            record(ObservedEvent::NodeStarted { node: *node });
        }
    }

    /// The lowest list revision of all discovery services.
    pub fn oldest_list_revision(&self) -> u64 {
        self.discoveries.iter().map(|d| d.revision()).min().unwrap_or(0)
    }

    /// Reads new log lines of all nodes, and returns a message for each process that has exited unexpectedly.
    pub fn poll_nodes(&self) -> Vec<String> {
        let at_s = self.fleet.observer.elapsed().as_secs_f64();
        let mut unexpected_exits = Vec::new();
        for (node, node_process) in self.nodes.iter().enumerate() {
            let path = node_process.process.borrow().files().with_extension("log");
            let mut text = String::new();
            if let Ok(mut file) = std::fs::File::open(path)
                && file.seek(SeekFrom::Start(node_process.log_offset.get())).is_ok()
                && file.read_to_string(&mut text).is_ok()
            {
                // An incomplete last line is left for the next call.
                let complete = text.rfind('\n').map_or(0, |end| end + 1);
                node_process.log_offset.set(node_process.log_offset.get() + complete as u64);
                let mut log = self.log.borrow_mut();
                let remaining = MAX_LOG_LINES.saturating_sub(log.len());
                let lines = text[..complete].lines().take(remaining);
                log.extend(lines.map(|line| LogLine { at_s, node, text: line.to_owned() }));
            }
            if matches!(node_process.state.get(), ProcessState::Running | ProcessState::Paused)
                && let Some(status) = node_process.process.borrow_mut().exit_status()
            {
                node_process.state.set(ProcessState::Exited);
                self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: false });
                unexpected_exits.push(format!("node {node} exited unexpectedly: {status}"));
            }
        }
        unexpected_exits
    }

    /// Total CPU time, and the largest memory use in KiB, of the running nodes, as far as the kernel reports them.
    pub fn resource_usage(&self) -> (Duration, u64) {
        let cpu = self.nodes.iter().filter_map(|n| n.process.borrow().cpu_time()).sum();
        let memory = self.nodes.iter().filter_map(|n| n.process.borrow().memory_kib()).max();
        (cpu, memory.unwrap_or(0))
    }

    /// Terminates all processes as the platform does, and kills those that have not exited in time.
    pub async fn shut_down(&self) {
        for node_process in &self.nodes {
            if node_process.state.get() != ProcessState::Exited {
                let process = node_process.process.borrow();
                process.signal(Signal::SIGCONT);
                process.signal(Signal::SIGTERM);
            }
        }
        let until = Instant::now() + self.trial.scenario.longest_deadline() + STOP_GRACE;
        for node_process in &self.nodes {
            while node_process.process.borrow_mut().exit_status().is_none() {
                if Instant::now() >= until {
                    node_process.process.borrow().signal(Signal::SIGKILL);
                }
                sleep(Duration::from_millis(5)).await;
            }
            node_process.state.set(ProcessState::Exited);
        }
        self.fleet.clear();
    }
}

/// Opens the links for datagrams. Each node sees every other node at an address of its own, and a datagram arrives from
/// the address at which its receiver sees the sender. Returns for each node the addresses at which it sees all nodes.
async fn open_datagram_links(
    trial: &Trial,
    fleet: &Rc<Fleet>,
    links: &mut Vec<Link>,
    host_address: &impl Fn(u8) -> Ipv4Addr,
    healthy_link: &impl Fn(Endpoint, Endpoint) -> LinkConditions,
    port: u16,
) -> Result<Vec<Vec<SocketAddr>>, String> {
    let nodes = trial.scenario.nodes.count;
    let node_address = |node: usize| SocketAddr::from((host_address(FIRST_NODE_HOST + node as u8), port));
    let mut views: Vec<Vec<Rc<UdpSocket>>> = Vec::new();
    for _ in 0..nodes {
        let mut seen = Vec::new();
        for _ in 0..nodes {
            let socket = UdpSocket::bind((host_address(RELAY_HOST), 0)).await;
            seen.push(Rc::new(socket.map_err(|e| format!("cannot open a datagram link: {e}"))?));
        }
        views.push(seen);
    }
    let mut seeds = fleet.rng("datagrams", port.into());
    let mut addresses_by_node = Vec::new();
    for (i, seen_by_i) in views.iter().enumerate() {
        let mut seen = Vec::new();
        for (j, inlet) in seen_by_i.iter().enumerate() {
            if i == j {
                seen.push(node_address(i));
                continue;
            }
            let (from, to) = (trial.topology.node(i), trial.topology.node(j));
            let outlet = views[j][i].clone();
            let mut conditions = healthy_link(from, to);
            conditions.lost_share = trial.scenario.network.datagrams_lost;
            let relay = Relay::datagrams(
                inlet.clone(),
                outlet,
                node_address(i),
                node_address(j),
                conditions,
                seeds.random(),
            );
            let relay = relay.map_err(|e| format!("cannot open a datagram link: {e}"))?;
            seen.push(relay.address);
            links.push(Link { from, to, carries_datagrams: true, relay });
        }
        addresses_by_node.push(seen);
    }
    Ok(addresses_by_node)
}
