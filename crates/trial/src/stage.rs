//! The stage of a trial: stand-ins in this process, nodes as processes of their own, and a relay on every way between
//! two parties. Everything lies on loopback addresses that no other trial on this machine has.

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

use crate::party::{Kind, Parties, Party};
use crate::plan::{PerRegion, Trial};
use crate::relay::{Relay, Weather};

mod lifecycle;

/// Ports of a node, on an address of its own: below those that machines deal out by themselves.
const CLIENTS: u16 = 6379;
const PEERS: u16 = 7946;
const STAFF: u16 = 9901;
/// Whoever has this port on the first address of a net has the net.
const LOCK: u16 = 6300;
/// The nets of trials are 127.64.0 to 127.95.255.
const NETS: (u8, u8) = (64, 32);
/// On a net: relays, stand-ins, and nodes from here on.
const RELAYS: u8 = 2;
const STAND_INS: u8 = 3;
const NODES: u8 = 10;
/// The ids of all processes that a trial has started, a line each.
const PROCESSES: &str = "processes";
/// The front looks at each node this often, as the platform's does.
const FRONT: Duration = Duration::from_millis(200);
/// So long after a planned end was begun the front sends nothing new.
const TURNS_AWAY: Duration = Duration::from_millis(300);
/// A node answers staff within this time or not at all.
const ORDERED: Duration = Duration::from_secs(2);
/// A node that was told to stop is killed after its longest deadline and this much.
const STOP: Duration = Duration::from_secs(2);
/// Lines of the nodes' logs that are kept; a node that writes more than all trials ever should is told of.
const LINES: usize = 20_000;

/// A way between two parties, and its relay.
pub struct Way {
    /// The side that calls or sends.
    pub from: Party,
    /// The side that is called or sent to.
    pub to: Party,
    /// Whether it carries datagrams.
    pub datagrams: bool,
    /// What stands on it.
    pub relay: Relay,
}

/// What a node's process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doing {
    /// It runs, or is starting.
    Runs,
    /// It was stopped in its midst.
    Stopped,
    /// It was told to end.
    Ending,
    /// It has ended, as it should have.
    Ended,
}

struct NodeRun {
    process: RefCell<Process>,
    doing: Cell<Doing>,
    life: Cell<u64>,
    /// Where the clients of its zone find it.
    front: SocketAddr,
    /// How far its log was read.
    read: Cell<u64>,
    /// Where staff reach it.
    staff: Cell<SocketAddr>,
    /// What its processes inherit, where the platform holds its clients' socket.
    platform: Option<Platform>,
}

struct BoxRun {
    listens: Vec<SocketAddr>,
    task: Option<AbortHandle>,
    life: u64,
}

/// A line of a node's log, and when it was read.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Line {
    /// Seconds since the beginning.
    pub at_s: f64,
    /// The node.
    pub node: NodeIndex,
    /// What it wrote.
    pub text: String,
}

/// Everything that a trial consists of while it runs.
pub struct Stage {
    /// The trial.
    pub trial: Trial,
    /// What stand-ins share.
    pub fleet: Rc<Fleet>,
    /// The clients.
    pub clients: Rc<Clients<SystemHost>>,
    /// All ways.
    pub ways: Vec<Way>,
    /// The logs of all nodes by time.
    pub log: RefCell<Vec<Line>>,
    discoveries: Vec<Rc<Discovery>>,
    nodes: Vec<NodeRun>,
    boxes: RefCell<BTreeMap<ServerIndex, BoxRun>>,
    /// Boxes, and the origin, to which some way is cut.
    away: RefCell<BTreeSet<ServerIndex>>,
    /// Nodes that their clients are cut off from.
    shut: RefCell<BTreeSet<NodeIndex>>,
    folder: PathBuf,
    program: PathBuf,
    peers: Vec<Vec<SocketAddr>>,
    /// As each node sees the members of the accord, where it is switched on.
    accord: Vec<Vec<SocketAddr>>,
    discovery_for: Vec<SocketAddr>,
    _net: StdListener,
}

/// Takes a net of loopback addresses that no other trial has.
fn take_net() -> Result<(StdListener, impl Fn(u8) -> Ipv4Addr + Copy), String> {
    let (first, count) = NETS;
    let all = u32::from(count) * 256;
    let begin = std::process::id() % all;
    for i in 0..all {
        let net = (begin + i) % all;
        let (b, c) = (first + (net / 256) as u8, (net % 256) as u8);
        let at = move |host: u8| Ipv4Addr::new(127, b, c, host);
        if let Ok(lock) = StdListener::bind((at(1), LOCK)) {
            return Ok((lock, at));
        }
    }
    Err("no net of loopback addresses is free".into())
}

impl Stage {
    /// Starts everything; each first try that has ended is given to `played`. Must run inside a `LocalSet`.
    ///
    /// # Errors
    /// What hinders a socket, a file or a process, or a node that does not answer.
    pub async fn set(
        trial: Trial,
        seed: u64,
        program: &Path,
        folder: &Path,
        witness: &Observer,
        played: impl Fn(CompletedRequest) + 'static,
    ) -> Result<Rc<Stage>, String> {
        let (net, at) = take_net()?;
        let fleet = Fleet::new(trial.scenario.clone(), seed, witness.clone());
        let map = trial.map.clone();
        let (nodes, boxes) = (trial.scenario.nodes.count, trial.scenario.boxes.count);
        let any = |host| SocketAddr::from((at(host), 0));
        std::fs::create_dir_all(folder).map_err(|e| format!("cannot make {}: {e}", folder.display()))?;
        let _ = std::fs::remove_file(folder.join(PROCESSES));
        let mut ways: Vec<Way> = Vec::new();
        let mut seeds = fleet.rng("ways", 0);
        let fair = |from: Party, to: Party| {
            let ms =
                if from.kind == Kind::Clients { 0.0 } else { map.distance(&trial.ways, from.zone, to.zone) };
            Weather::fair(Duration::from_secs_f64(ms / 1e3), trial.ways.jitter)
        };
        let mut relay = |from: Party, to: Party, real: SocketAddr| -> Result<SocketAddr, String> {
            let relay = Relay::connections(any(RELAYS), real, fair(from, to), seeds.random());
            let relay = relay.map_err(|e| format!("cannot open a relay: {e}"))?;
            let address = relay.address;
            ways.push(Way { from, to, datagrams: false, relay });
            Ok(address)
        };
        let listen = async || -> Result<(_, SocketAddr), String> {
            let listener = HOST.listen(any(STAND_INS)).await.map_err(|e| format!("cannot listen: {e}"))?;
            let real = Listener::local_addr(&listener).map_err(|e| e.to_string())?;
            Ok((listener, real))
        };

        let (mut members, mut runs) = (BTreeMap::new(), BTreeMap::new());
        for number in 0..=boxes {
            let party = map.server(number);
            let cold = trial.scenario.boxes.start_cold && party.kind == Kind::Box;
            let started = if cold { HOST.unix_time().as_millis() as u64 } else { 0 };
            let (mut listeners, mut listens, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
            for node in 0..nodes {
                let (listener, real) = listen().await?;
                listeners.push(listener);
                listens.push(real);
                addresses.push(relay(map.node(node), party, real)?);
            }
            if party.kind == Kind::Origin {
                let origin = Origin::new(&fleet, number);
                for (node, listener) in listeners.into_iter().enumerate() {
                    spawn_local(origin.clone().serve::<SystemHost>(listener, move |_| node));
                }
            } else {
                let task = live::serve_cache(&fleet, number, 0, cold.then_some(started), listeners);
                runs.insert(number, BoxRun { listens, task: Some(task), life: 0 });
            }
            let member = Member {
                id: format!("s-{number:04}"),
                addresses,
                zone: party.zone,
                is_origin: party.kind == Kind::Origin,
                phase: Phase::Ready,
                started_ms: started,
            };
            members.insert(number, member);
        }
        fleet.warm_caches((0..boxes).collect::<Vec<ServerIndex>>().as_slice());
        let count = if trial.discovery == PerRegion::One { 1 } else { map.regions.len() };
        let discoveries: Vec<_> = (0..count).map(|_| Discovery::new(&fleet, members.clone())).collect();
        let mut discovery_for = Vec::new();
        for node in 0..nodes {
            let party = map.node(node);
            let region = if count == 1 { map.region_of[map.origin] } else { map.region_of[party.zone] };
            let zone = if count == 1 { map.origin } else { map.zone_of_discovery(region) };
            let (listener, real) = listen().await?;
            let discovery = discoveries[if count == 1 { 0 } else { region }].clone();
            spawn_local(discovery.serve::<SystemHost>(listener, move |_| node));
            discovery_for.push(relay(party, Party { kind: Kind::Discovery, number: region, zone }, real)?);
        }
        let mut fronts = Vec::new();
        for node in 0..nodes {
            let party = map.node(node);
            let clients = Party { kind: Kind::Clients, number: party.zone, zone: party.zone };
            fronts.push(relay(clients, party, (at(NODES + node as u8), CLIENTS).into())?);
        }
        let peers = datagrams(&trial, &fleet, &mut ways, &at, &fair, PEERS).await?;
        let accord = match trial.scenario.agreement_enabled() {
            true => datagrams(&trial, &fleet, &mut ways, &at, &fair, agreement::PORT).await?,
            false => Vec::new(),
        };

        let clients = Clients::new(HOST, &fleet, fronts.clone(), played);
        let mut stage = Stage {
            fleet,
            clients,
            ways,
            log: RefCell::default(),
            discoveries,
            nodes: Vec::new(),
            boxes: RefCell::new(runs),
            away: RefCell::default(),
            shut: RefCell::default(),
            folder: folder.into(),
            program: program.into(),
            peers,
            accord,
            discovery_for,
            trial,
            _net: net,
        };
        for (node, front) in fronts.into_iter().enumerate() {
            let address = SocketAddr::from((at(NODES + node as u8), CLIENTS));
            let files = stage.folder.join(format!("n{node}"));
            let _ = std::fs::remove_file(files.with_extension("log"));
            stage.write_files(node, 0, address)?;
            let staff = SocketAddr::new(address.ip(), STAFF);
            let platform = stage.trial.held_sockets.then(|| stage.hold_socket(node, address)).transpose()?;
            let process = match &platform {
                Some(platform) => Process::start_with_socket(platform, staff, program, files, address)?,
                None => Process::start(program, files, address)?,
            };
            stage.note_process(&process)?;
            let (process, staff) = (RefCell::new(process), Cell::new(staff));
            let (doing, life, read) = (Cell::new(Doing::Runs), Cell::new(0), Cell::new(0));
            stage.nodes.push(NodeRun { process, doing, life, front, read, staff, platform });
        }
        for (node, run) in stage.nodes.iter().enumerate() {
            let address = run.process.borrow().address;
            process::wait_until_ready(address).await?;
            witness.record(ObservedEvent::NodeStarted { node });
        }
        let stage = Rc::new(stage);
        for node in 0..nodes {
            spawn_local(stage.clone().front(node));
        }
        Ok(stage)
    }

    /// Writes what a life of a node is started by: a seed of its own, and the list that it last had.
    fn write_files(&self, node: NodeIndex, life: u64, address: SocketAddr) -> Result<(), String> {
        let world = &self.trial.scenario;
        let seed: u64 = self.fleet.rng("node", node as u64 * 1000 + life).random();
        let map = &self.trial.map;
        let place = if self.discoveries.len() == 1 { 0 } else { map.region_of[map.zone_of(node)] };
        let at = process::NodeAddresses {
            listen: address,
            discovery: self.discovery_for[node],
            peers: &self.peers[node],
            operations: self.trial.staffed.then(|| SocketAddr::new(address.ip(), STAFF)),
        };
        let config =
            process::node_configuration(world, node, &at, seed, self.discoveries[place].known_list(node));
        let mut operator = world.nodes.operator.clone();
        if self.trial.before.iter().any(|p| p.number == node) {
            let mut table: toml::Table = toml::from_str(&operator).map_err(|e| e.to_string())?;
            ["places", "accord"].into_iter().for_each(|part| drop(table.remove(part)));
            operator = toml::to_string(&table).map_err(|e| e.to_string())?;
        } else if let Some(members) = self.accord.get(node) {
            // Each node sees the others at addresses of its own.
            operator = agreement::operator_config(&operator, members[node], members)?;
        }
        process::write_files(&self.folder.join(format!("n{node}")), &config, &operator)
    }

    /// Opens a node's clients' socket for its processes, and the folder that they share.
    fn hold_socket(&self, node: NodeIndex, address: SocketAddr) -> Result<Platform, String> {
        let listener = StdListener::bind(address).map_err(|e| format!("cannot listen on {address}: {e}"))?;
        let folder = self.folder.join(format!("n{node}-shared"));
        std::fs::create_dir_all(&folder).map_err(|e| format!("cannot make {}: {e}", folder.display()))?;
        let folder = folder.canonicalize().map_err(|e| format!("no folder {}: {e}", folder.display()))?;
        Ok(Platform { listener, folder })
    }

    /// Adds a process to the list of all that were started: whoever keeps the folder can see that none is left.
    fn note_process(&self, process: &Process) -> Result<(), String> {
        let path = self.folder.join(PROCESSES);
        let file = std::fs::File::options().create(true).append(true).open(&path);
        let id = process.id().map(|id| id.to_string()).unwrap_or_default();
        file.and_then(|mut file| writeln!(file, "{id}"))
            .map_err(|e| format!("cannot write {}: {e}", path.display()))
    }

    /// The front asks a node again and again, and believes what it hears; what it does not hear for a while as well.
    async fn front(self: Rc<Self>, node: NodeIndex) {
        let mut rng = self.fleet.rng("front", node as u64);
        let [least, most] = self.trial.scenario.nodes.front_notices_ms;
        let (mut heard, mut believes) = (Instant::now(), true);
        let mut notices = Duration::from_millis(rng.random_range(least..=most));
        loop {
            sleep(FRONT).await;
            let yes = process::answers_ping(self.nodes[node].front).await;
            if yes {
                heard = Instant::now();
                notices = Duration::from_millis(rng.random_range(least..=most));
            }
            if self.nodes[node].doing.get() == Doing::Ending {
                // It is told that this one ends, and goes on using what is open.
                believes = false;
                continue;
            }
            let there = yes || believes && heard.elapsed() < notices;
            if there != believes {
                believes = there;
                self.clients.set_reachable(node, there);
                let what = if there { "again" } else { "no longer" };
                self.tell(format!("the front sends to node {node} {what}"));
            }
        }
    }

    /// Puts something on the line of time.
    pub fn tell(&self, what: String) {
        self.fleet.observer.record(ObservedEvent::Fault(what));
    }

    /// What a node's process is doing.
    pub fn doing(&self, node: NodeIndex) -> Doing {
        self.nodes[node].doing.get()
    }

    /// Whether a node answers its clients with yes now, whatever the relays do.
    pub async fn ready(&self, node: NodeIndex) -> bool {
        let address = self.nodes[node].process.borrow().address;
        process::answers_ping(address).await
    }

    /// Kills a node, or a box: without a word to anybody.
    ///
    /// # Errors
    /// What the machine says.
    pub async fn kill(&self, party: Party) -> Result<(), String> {
        if party.kind == Kind::Box {
            let mut boxes = self.boxes.borrow_mut();
            let Some(run) = boxes.get_mut(&party.number) else { return Ok(()) };
            if let Some(task) = run.task.take() {
                self.fleet.observer.record(ObservedEvent::CacheServerEnded { server: party.number });
                task.abort();
                self.fleet.remove_cache_server(party.number);
                self.refuse_all(party, true);
            }
            return Ok(());
        }
        let (node, run) = (party.number, &self.nodes[party.number]);
        if run.doing.get() == Doing::Ended {
            return Ok(());
        }
        // Said first: clients see their connections end before the process is gone.
        self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: false });
        run.doing.set(Doing::Ended);
        run.process.borrow().signal(Signal::SIGKILL);
        self.refuse_all(party, true);
        // A moment later it is gone: nothing else can come of this signal.
        while run.process.borrow_mut().exit_status().is_none() {
            sleep(Duration::from_millis(1)).await;
        }
        Ok(())
    }

    /// What is dead refuses connections as its machine would, or takes them again.
    fn refuse_all(&self, party: Party, refused: bool) {
        for way in self.ways.iter().filter(|w| w.to == party && !w.datagrams) {
            way.relay.change(|w| w.refused = refused);
            if refused {
                way.relay.reset();
            }
        }
    }

    /// Starts what was killed from nothing; a node is up when it answers its clients.
    ///
    /// # Errors
    /// What hinders it.
    pub async fn start(self: &Rc<Self>, party: Party) -> Result<(), String> {
        if party.kind == Kind::Box {
            return self.start_box(party).await;
        }
        let (node, run) = (party.number, &self.nodes[party.number]);
        if run.doing.get() != Doing::Ended {
            return Err(format!("node {node} runs already"));
        }
        run.life.set(run.life.get() + 1);
        let address = run.process.borrow().address;
        self.write_files(node, run.life.get(), address)?;
        let started = match &run.platform {
            None => run.process.borrow_mut().restart(),
            Some(platform) => {
                let files = run.process.borrow().files().to_path_buf();
                let process =
                    Process::start_with_socket(platform, run.staff.get(), &self.program, files, address);
                process.map(|process| drop(run.process.replace(process)))
            }
        };
        started?;
        self.note_process(&run.process.borrow())?;
        run.doing.set(Doing::Runs);
        let (stage, life) = (self.clone(), run.life.get());
        spawn_local(async move {
            let up = process::wait_until_ready(address).await.is_ok();
            let run = &stage.nodes[node];
            if up && run.life.get() == life && run.doing.get() == Doing::Runs {
                stage.fleet.observer.record(ObservedEvent::NodeStarted { node });
                stage.refuse_all(party, false);
            }
        });
        Ok(())
    }

    async fn start_box(&self, party: Party) -> Result<(), String> {
        let number = party.number;
        let (listens, life) = {
            let boxes = self.boxes.borrow();
            let Some(run) = boxes.get(&number) else { return Ok(()) };
            if run.task.is_some() {
                return Err(format!("box {number} runs already"));
            }
            (run.listens.clone(), run.life + 1)
        };
        let mut listeners = Vec::new();
        for at in &listens {
            let listener = HOST.listen(*at).await;
            listeners.push(listener.map_err(|e| format!("box {number} cannot listen again: {e}"))?);
        }
        let started = HOST.unix_time().as_millis() as u64;
        let task = live::serve_cache(&self.fleet, number, life, Some(started), listeners);
        self.boxes.borrow_mut().insert(number, BoxRun { listens, task: Some(task), life });
        for discovery in &self.discoveries {
            if let Some(mut member) = discovery.member(number) {
                member.started_ms = started;
                discovery.update(number, member);
            }
        }
        self.refuse_all(party, false);
        Ok(())
    }

    /// Discovery says something of a box from now on, whatever it is.
    pub fn list(&self, number: ServerIndex, phase: Phase) {
        for discovery in &self.discoveries {
            if let Some(mut member) = discovery.member(number) {
                member.phase = phase;
                discovery.update(number, member);
            }
        }
    }

    /// Staff order something of a zone at a node: a call at its second address, and its answer.
    ///
    /// # Errors
    /// What the node says to it, or that it says nothing.
    pub async fn order(&self, node: NodeIndex, target: &str) -> Result<(), String> {
        let address = self.nodes[node].process.borrow().address;
        let call = timeout(ORDERED, async {
            let mut stream = TcpStream::connect(SocketAddr::new(address.ip(), STAFF)).await?;
            stream.write_all(format!("PUT {target} HTTP/1.1\r\nHost: staff\r\n\r\n").as_bytes()).await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            std::io::Result::Ok(answer)
        });
        match call.await {
            Ok(Ok(answer)) if answer.starts_with("HTTP/1.1 202 ") => Ok(()),
            Ok(Ok(answer)) => {
                Err(format!("node {node} says to {target}: {}", answer.lines().last().unwrap_or_default()))
            }
            Ok(Err(e)) => Err(format!("node {node} says nothing to {target}: {e}")),
            Err(_) => Err(format!("node {node} says nothing to {target}")),
        }
    }

    /// Stops a node's process in its midst: it holds all that it has open, and says nothing.
    pub fn stop(&self, node: NodeIndex) {
        let run = &self.nodes[node];
        if run.doing.get() == Doing::Runs {
            self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: false });
            run.doing.set(Doing::Stopped);
            run.process.borrow().signal(Signal::SIGSTOP);
        }
    }

    /// Lets a stopped process go on.
    pub fn go_on(&self, node: NodeIndex) {
        let run = &self.nodes[node];
        if run.doing.get() == Doing::Stopped {
            self.fleet.observer.record(ObservedEvent::NodeStarted { node });
            run.doing.set(Doing::Runs);
            run.process.borrow().signal(Signal::SIGCONT);
        }
    }

    /// Tells a node to end as at a planned restart; it is killed when its time is up.
    pub fn end(self: &Rc<Self>, node: NodeIndex) {
        let run = &self.nodes[node];
        if run.doing.get() != Doing::Runs {
            return;
        }
        self.fleet.observer.record(ObservedEvent::NodeStopping { node });
        run.doing.set(Doing::Ending);
        run.process.borrow().signal(Signal::SIGTERM);
        let stage = self.clone();
        spawn_local(async move {
            let until = Instant::now() + stage.trial.scenario.longest_deadline() + STOP;
            let turns_away = Instant::now() + TURNS_AWAY;
            let run = &stage.nodes[node];
            loop {
                let over = run.process.borrow_mut().exit_status().is_some();
                if over || Instant::now() >= until {
                    break;
                }
                if Instant::now() >= turns_away {
                    stage.clients.stop_new_connections(node);
                }
                sleep(Duration::from_millis(20)).await;
            }
            stage.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: true });
            run.process.borrow().signal(Signal::SIGKILL);
            run.doing.set(Doing::Ended);
            stage.refuse_all(stage.trial.map.node(node), true);
        });
    }

    /// The ways between two groups, and whether each leads from the first to the second. What lies within the smaller
    /// one is not meant, unless the two are the same: a zone that is cut off from everything goes on within itself.
    fn between(&self, a: &Parties, b: &Parties) -> Vec<(&Way, bool)> {
        let inner = if a.len() <= b.len() { a } else { b };
        let within = |w: &Way| inner.contains(&w.from) && inner.contains(&w.to);
        let meant = |w: &&Way| a == b || !within(w);
        let turn = |w: &'_ Way| {
            if a.contains(&w.from) && b.contains(&w.to) {
                Some(true)
            } else {
                (b.contains(&w.from) && a.contains(&w.to)).then_some(false)
            }
        };
        self.ways.iter().filter(meant).filter_map(|w| turn(w).map(|there| (w, there))).collect()
    }

    /// Cuts ways silently; with `one_way` only what goes from the first group to the second.
    pub fn cut(&self, a: &Parties, b: &Parties, one_way: bool) {
        for (way, there) in self.between(a, b) {
            let (out, back) = (!one_way || there, !one_way || !there);
            way.relay.change(|w| {
                w.held_out |= out;
                w.held_back |= back;
            });
        }
        self.look();
    }

    /// Mends ways; what they held is released, or reset.
    pub fn heal(&self, a: &Parties, b: &Parties, reset: bool) {
        for (way, _) in self.between(a, b) {
            if reset {
                way.relay.reset();
            }
            // A dead party goes on refusing.
            let dead = !self.alive(way.to);
            way.relay.change(|w| (w.held_out, w.held_back, w.refused) = (false, false, dead));
        }
        self.look();
    }

    fn alive(&self, party: Party) -> bool {
        match party.kind {
            Kind::Node => self.nodes[party.number].doing.get() != Doing::Ended,
            Kind::Box => self.boxes.borrow().get(&party.number).is_some_and(|run| run.task.is_some()),
            _ => true,
        }
    }

    /// Resets what is open on ways, and refuses new connections on them where told.
    pub fn reset(&self, a: &Parties, b: &Parties, refuse: bool) {
        for (way, _) in self.between(a, b) {
            if way.from.kind == Kind::Clients {
                // What its clients lose is not the node's doing.
                let node = way.to.number;
                self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: false });
                self.fleet.observer.record(ObservedEvent::NodeStarted { node });
            }
            way.relay.change(|w| w.refused |= refuse);
            way.relay.reset();
        }
        self.look();
    }

    /// Changes the weather of ways.
    pub fn weather(&self, a: &Parties, b: &Parties, change: impl Fn(&mut Weather)) {
        for (way, _) in self.between(a, b) {
            way.relay.change(&change);
        }
    }

    /// Tells those who judge what is cut off now: what goes there is seen by nobody.
    fn look(&self) {
        let boxes = self.trial.scenario.boxes.count;
        let shut = |w: &Weather| w.held_out || w.held_back || w.refused;
        let (mut away, mut nodes) = (BTreeSet::new(), BTreeSet::new());
        for way in self.ways.iter().filter(|w| !w.datagrams && shut(&w.relay.weather()) && self.alive(w.to)) {
            match way.to.kind {
                Kind::Box => drop(away.insert(way.to.number)),
                Kind::Origin => drop(away.insert(boxes)),
                Kind::Node => drop(nodes.insert(way.to.number)),
                _ => {}
            }
        }
        let saw = |seen| self.fleet.observer.record(seen);
        let before = self.away.replace(away.clone());
        away.difference(&before)
            .for_each(|at| saw(ObservedEvent::ReachabilityChanged { server: *at, unreachable: true }));
        before
            .difference(&away)
            .for_each(|at| saw(ObservedEvent::ReachabilityChanged { server: *at, unreachable: false }));
        let before = self.shut.replace(nodes.clone());
        nodes
            .difference(&before)
            .for_each(|node| saw(ObservedEvent::NodeEnded { node: *node, planned: false }));
        for node in before.difference(&nodes).filter(|n| self.nodes[**n].doing.get() == Doing::Runs) {
            saw(ObservedEvent::NodeStarted { node: *node });
        }
    }

    /// The version of the list of each discovery.
    pub fn revision(&self) -> u64 {
        self.discoveries.iter().map(|d| d.revision()).min().unwrap_or(0)
    }

    /// Reads what nodes have written since the last look, and says which have ended that should not have.
    pub fn look_at_nodes(&self) -> Vec<String> {
        let at_s = self.fleet.observer.elapsed().as_secs_f64();
        let mut ended = Vec::new();
        for (node, run) in self.nodes.iter().enumerate() {
            let path = run.process.borrow().files().with_extension("log");
            let mut text = String::new();
            if let Ok(mut file) = std::fs::File::open(path)
                && file.seek(SeekFrom::Start(run.read.get())).is_ok()
                && file.read_to_string(&mut text).is_ok()
            {
                // Half a line is left for the next look.
                let whole = text.rfind('\n').map_or(0, |end| end + 1);
                run.read.set(run.read.get() + whole as u64);
                let mut log = self.log.borrow_mut();
                let room = LINES.saturating_sub(log.len());
                let lines = text[..whole].lines().take(room);
                log.extend(lines.map(|line| Line { at_s, node, text: line.to_owned() }));
            }
            if matches!(run.doing.get(), Doing::Runs | Doing::Stopped)
                && let Some(status) = run.process.borrow_mut().exit_status()
            {
                run.doing.set(Doing::Ended);
                self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: false });
                ended.push(format!("node {node} has ended by itself: {status}"));
            }
        }
        ended
    }

    /// CPU time and most memory (KiB) of the nodes that run, where the kernel tells.
    pub fn cost(&self) -> (Duration, u64) {
        let cpu = self.nodes.iter().filter_map(|n| n.process.borrow().cpu_time()).sum();
        let memory = self.nodes.iter().filter_map(|n| n.process.borrow().memory_kib()).max();
        (cpu, memory.unwrap_or(0))
    }

    /// Ends all processes as the platform would, and those that do not end by themselves at once.
    pub async fn strike(&self) {
        for run in &self.nodes {
            if run.doing.get() != Doing::Ended {
                let process = run.process.borrow();
                process.signal(Signal::SIGCONT);
                process.signal(Signal::SIGTERM);
            }
        }
        let until = Instant::now() + self.trial.scenario.longest_deadline() + STOP;
        for run in &self.nodes {
            while run.process.borrow_mut().exit_status().is_none() {
                if Instant::now() >= until {
                    run.process.borrow().signal(Signal::SIGKILL);
                }
                sleep(Duration::from_millis(5)).await;
            }
            run.doing.set(Doing::Ended);
        }
        self.fleet.clear();
    }
}

/// The ways of datagrams: each node has a view of its own of every other, and a datagram comes from the address at
/// which its receiver sees the sender. Returns the addresses by the node that is told them.
async fn datagrams(
    trial: &Trial,
    fleet: &Rc<Fleet>,
    ways: &mut Vec<Way>,
    at: &impl Fn(u8) -> Ipv4Addr,
    fair: &impl Fn(Party, Party) -> Weather,
    port: u16,
) -> Result<Vec<Vec<SocketAddr>>, String> {
    let nodes = trial.scenario.nodes.count;
    let own = |node: usize| SocketAddr::from((at(NODES + node as u8), port));
    let mut views: Vec<Vec<Rc<UdpSocket>>> = Vec::new();
    for _ in 0..nodes {
        let mut seen = Vec::new();
        for _ in 0..nodes {
            let socket = UdpSocket::bind((at(RELAYS), 0)).await;
            seen.push(Rc::new(socket.map_err(|e| format!("cannot open a way for datagrams: {e}"))?));
        }
        views.push(seen);
    }
    let mut seeds = fleet.rng("datagrams", port.into());
    let mut told = Vec::new();
    for (i, seen_by_i) in views.iter().enumerate() {
        let mut seen = Vec::new();
        for (j, inlet) in seen_by_i.iter().enumerate() {
            if i == j {
                seen.push(own(i));
                continue;
            }
            let (from, to) = (trial.map.node(i), trial.map.node(j));
            let outlet = views[j][i].clone();
            let mut weather = fair(from, to);
            weather.lost = trial.scenario.network.datagrams_lost;
            let relay = Relay::datagrams(inlet.clone(), outlet, own(i), own(j), weather, seeds.random());
            let relay = relay.map_err(|e| format!("cannot open a way for datagrams: {e}"))?;
            seen.push(relay.address);
            ways.push(Way { from, to, datagrams: true, relay });
        }
        told.push(seen);
    }
    Ok(told)
}
