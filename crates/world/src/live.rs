//! The same stand-ins on loopback sockets in real time, round real `mothpier` processes.
//!
//! Each node gets addresses of its own for discovery and for every box, as on the platform: that is how a stand-in
//! knows which node asks, for all of them share one machine here.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use mothpier_host::{Host, Listener, Machine};
use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use crate::cache::Cache;
use crate::discovery::Discovery;
use crate::fleet::{Fleet, Member};
use crate::observe::{BoxNo, NodeNo, Phase, Seen, Witness};
use crate::origin::Origin;
use crate::scenario::Scenario;
use crate::storm::Hit;

/// The machine that stand-ins run on.
pub const HOST: Machine = Machine { program: "chalksill" };
/// A node that does not answer `PING` within this time has not started.
const READY: Duration = Duration::from_secs(15);
/// A node that was told to stop is killed after its longest deadline and this much.
const STOP: Duration = Duration::from_secs(2);

/// A node that runs as a process.
pub struct Process {
    /// Where clients reach it.
    pub address: SocketAddr,
    child: Child,
    program: PathBuf,
    /// What its configuration, operator's file and log are called, but for their endings.
    files: PathBuf,
}

impl Process {
    /// Starts a node by files that are there.
    fn start(program: &Path, files: PathBuf, address: SocketAddr) -> Result<Process, String> {
        let log = files.with_extension("log");
        let log = std::fs::File::options().create(true).append(true).open(&log);
        let log = log.map_err(|e| format!("cannot write {}.log: {e}", files.display()))?;
        let child = Command::new(program)
            .env_clear()
            .env("ROUTER_CONFIG", files.with_extension("json"))
            .env("ROUTER_OPERATOR", files.with_extension("toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("cannot start {}: {e}", program.display()))?;
        Ok(Process { address, child, program: program.into(), files })
    }
}

/// A box that serves: dropping its tasks closes all that it has open.
struct BoxRun {
    addresses: Vec<SocketAddr>,
    task: AbortHandle,
}

/// A world on loopback sockets.
pub struct Live {
    /// What its stand-ins share.
    pub fleet: Rc<Fleet>,
    /// Its discovery.
    pub discovery: Rc<Discovery>,
    /// Its nodes.
    pub nodes: Vec<Process>,
    boxes: RefCell<BTreeMap<BoxNo, BoxRun>>,
    /// Where the configurations of the nodes are.
    pub folder: PathBuf,
    longest: Duration,
}

/// Lets a box serve each node at a listener of its own; it started cold at a time, or long ago.
fn serve<L>(
    fleet: &Rc<Fleet>,
    number: BoxNo,
    life: u64,
    started: Option<u64>,
    listeners: Vec<L>,
) -> AbortHandle
where
    Machine: Host<Listener = L>,
    L: 'static,
{
    let cold = started.is_some();
    let cache = Cache::new(fleet, number, life, cold);
    let start = started.unwrap_or(0);
    fleet.witness.saw(Seen::BoxUp { at: number, start, power: cache.power(), cold });
    fleet.add(number, cache.clone());
    let local = LocalSet::new();
    for (node, listener) in listeners.into_iter().enumerate() {
        local.spawn_local(cache.clone().serve::<Machine>(listener, move |_| node));
    }
    spawn_local(local).abort_handle()
}

/// A port that was free a moment ago; whoever takes it meanwhile makes the start of a node fail, with a message.
async fn free_port(datagrams: bool) -> Result<SocketAddr, String> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let found = if datagrams {
        HOST.datagrams(any).await.and_then(|s| s.local_addr())
    } else {
        HOST.listen(any).await.and_then(|s| s.local_addr())
    };
    found.map_err(|e| format!("no free port: {e}"))
}

impl Live {
    /// Starts stand-ins and nodes of a scenario; the nodes run `program`. Must run inside a `LocalSet`.
    ///
    /// # Errors
    /// What hinders a socket, a file or a process, or a node that does not answer.
    pub async fn start(
        scenario: &Scenario,
        seed: u64,
        program: &Path,
        folder: &Path,
        witness: Witness,
    ) -> Result<Live, String> {
        let fleet = Fleet::new(scenario.clone(), seed, witness.clone());
        let nodes = scenario.nodes.count;
        let origin = scenario.boxes.count;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut members = BTreeMap::new();
        let mut boxes = BTreeMap::new();
        for number in 0..=origin {
            let cold = scenario.boxes.start_cold && number != origin;
            let started = if cold { HOST.unix_time().as_millis() as u64 } else { 0 };
            let mut listeners = Vec::new();
            for _ in 0..nodes {
                listeners.push(
                    HOST.listen(any).await.map_err(|e| format!("cannot listen for box {number}: {e}"))?,
                );
            }
            let addresses = listeners.iter().map(|l| Listener::local_addr(l).map_err(|e| e.to_string()));
            let addresses = addresses.collect::<Result<Vec<_>, String>>()?;
            if number == origin {
                let all = Origin::new(&fleet, number);
                for (node, listener) in listeners.into_iter().enumerate() {
                    spawn_local(all.clone().serve::<Machine>(listener, move |_| node));
                }
            } else {
                let task = serve(&fleet, number, 0, cold.then_some(started), listeners);
                boxes.insert(number, BoxRun { addresses: addresses.clone(), task });
            }
            let member = Member {
                id: format!("s-{number:04}"),
                addresses,
                zone: number % scenario.zones.len(),
                origin: number == origin,
                phase: Phase::Ready,
                started,
            };
            members.insert(number, member);
        }
        fleet.fill((0..origin).collect::<Vec<BoxNo>>().as_slice());
        let discovery = Discovery::new(&fleet, members);
        let mut live = Live {
            fleet,
            discovery,
            nodes: Vec::new(),
            boxes: RefCell::new(boxes),
            folder: folder.into(),
            longest: scenario.longest(),
        };
        std::fs::create_dir_all(folder).map_err(|e| format!("cannot make {}: {e}", folder.display()))?;
        let mut peers = Vec::new();
        for _ in 0..nodes {
            peers.push(free_port(true).await?);
        }
        for node in 0..nodes {
            let listener = HOST.listen(any).await.map_err(|e| format!("cannot listen for discovery: {e}"))?;
            let at = Listener::local_addr(&listener).map_err(|e| e.to_string())?;
            spawn_local(live.discovery.clone().serve::<Machine>(listener, move |_| node));
            let process = live.start_node(node, at, &peers, program).await?;
            witness.saw(Seen::NodeUp { node });
            live.nodes.push(process);
        }
        for node in &live.nodes {
            ready(node.address).await?;
        }
        Ok(live)
    }

    async fn start_node(
        &self,
        node: NodeNo,
        discovery: SocketAddr,
        peers: &[SocketAddr],
        program: &Path,
    ) -> Result<Process, String> {
        let scenario = &self.fleet.scenario;
        let address = free_port(false).await?;
        let seed: u64 = self.fleet.random("node", node as u64).random();
        let name = format!("n{node}");
        let config = serde_json::json!({
            "name": name, "listen": address.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": scenario.nodes.memory_mb, "sockets": scenario.nodes.sockets},
            "peer_listen": peers[node].to_string(),
            "peers": peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
            "known": self.discovery.known(node), "settings": scenario.settings(node),
        });
        let path = self.folder.join(format!("{name}.json"));
        let text = serde_json::to_string_pretty(&config).map_err(|e| e.to_string())?;
        std::fs::write(&path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))?;
        let operator = self.folder.join(format!("{name}.toml"));
        std::fs::write(&operator, &scenario.nodes.operator)
            .map_err(|e| format!("cannot write {}: {e}", operator.display()))?;
        let files = self.folder.join(name);
        let _ = std::fs::remove_file(files.with_extension("log"));
        Process::start(program, files, address)
    }

    /// What is hit goes down at once, and comes back after a time as after a failure: boxes cold and empty, nodes with
    /// the list that they last had.
    ///
    /// # Errors
    /// A node or a box that does not come back.
    pub async fn outage(&mut self, hit: Hit, down: Duration) -> Result<(), String> {
        let fault = |text: String| self.fleet.witness.saw(Seen::Fault(text));
        fault(format!("begins: outage of {hit:?}"));
        let hit_boxes = hit != Hit::Nodes;
        let hit_nodes = hit != Hit::Boxes;
        if hit_boxes {
            for (number, run) in self.boxes.borrow().iter() {
                run.task.abort();
                self.fleet.remove(*number);
            }
        }
        if hit_nodes {
            for (node, process) in self.nodes.iter_mut().enumerate() {
                // Said first: clients see their connections end before the process is gone.
                self.fleet.witness.saw(Seen::NodeDown { node, planned: false });
                process.child.kill().await.map_err(|e| format!("cannot kill node {node}: {e}"))?;
            }
        }
        sleep(down).await;
        if hit_boxes {
            let all: Vec<(BoxNo, Vec<SocketAddr>)> =
                self.boxes.borrow().iter().map(|(n, run)| (*n, run.addresses.clone())).collect();
            for (number, addresses) in all {
                self.return_box(number, addresses).await?;
            }
        }
        if hit_nodes {
            for (node, process) in self.nodes.iter_mut().enumerate() {
                self.fleet.witness.saw(Seen::NodeUp { node });
                *process = Process::start(&process.program, process.files.clone(), process.address)?;
            }
        }
        self.fleet.witness.saw(Seen::Fault(format!("is over: outage of {hit:?}")));
        Ok(())
    }

    async fn return_box(&self, number: BoxNo, addresses: Vec<SocketAddr>) -> Result<(), String> {
        let mut listeners = Vec::new();
        for at in &addresses {
            listeners
                .push(HOST.listen(*at).await.map_err(|e| format!("box {number} cannot listen again: {e}"))?);
        }
        let started = HOST.unix_time().as_millis() as u64;
        let task = serve(&self.fleet, number, 1, Some(started), listeners);
        self.boxes.borrow_mut().insert(number, BoxRun { addresses, task });
        if let Some(mut member) = self.discovery.member(number) {
            member.started = started;
            self.discovery.set(number, member);
        }
        Ok(())
    }

    /// CPU time of all nodes together since they started, as the kernel has it; `None` where it does not tell.
    pub fn cpu(&self) -> Option<Duration> {
        let one = |p: &Process| {
            let text = std::fs::read_to_string(format!("/proc/{}/schedstat", p.child.id()?)).ok()?;
            text.split(' ').next()?.parse().ok().map(Duration::from_nanos)
        };
        self.nodes.iter().map(one).sum()
    }

    /// Resident memory of the largest node in KiB; `None` where the kernel does not tell.
    pub fn memory_kib(&self) -> Option<u64> {
        let one = |p: &Process| {
            let text = std::fs::read_to_string(format!("/proc/{}/status", p.child.id()?)).ok()?;
            let line = text.lines().find(|l| l.starts_with("VmHWM:"))?;
            line.split_whitespace().nth(1)?.parse().ok()
        };
        self.nodes.iter().filter_map(one).max()
    }

    /// Descriptors of the node that has most of them open; `None` where the kernel does not tell.
    pub fn descriptors(&self) -> Option<usize> {
        let one = |p: &Process| Some(std::fs::read_dir(format!("/proc/{}/fd", p.child.id()?)).ok()?.count());
        self.nodes.iter().filter_map(one).max()
    }

    /// A node that has ended by itself, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.nodes.iter_mut().enumerate().find_map(|(i, p)| match p.child.try_wait() {
            Ok(Some(status)) => Some(format!("node {i} has ended: {status}")),
            _ => None,
        })
    }

    /// Tells the nodes to stop as the platform would, and waits for them.
    pub async fn stop(mut self) {
        for node in &self.nodes {
            if let Some(id) = node.child.id().and_then(|id| i32::try_from(id).ok()) {
                let _ =
                    nix::sys::signal::kill(nix::unistd::Pid::from_raw(id), nix::sys::signal::Signal::SIGTERM);
            }
        }
        let until = Instant::now() + self.longest + STOP;
        for node in &mut self.nodes {
            if tokio::time::timeout_at(until, node.child.wait()).await.is_err() {
                let _ = node.child.kill().await;
            }
        }
    }
}

/// Waits until a node answers `PING` as one that is ready.
async fn ready(address: SocketAddr) -> Result<(), String> {
    let until = Instant::now() + READY;
    while Instant::now() < until {
        let pong = timeout(Duration::from_secs(1), async {
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
            let mut answer = [0; 5];
            stream.read_exact(&mut answer).await?;
            std::io::Result::Ok(&answer == b"+PONG")
        });
        if let Ok(Ok(true)) = pong.await {
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    Err(format!("the node at {address} does not answer PING within {READY:?}: see its log"))
}
