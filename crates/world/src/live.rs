//! The same stand-ins on loopback sockets in real time, round real `mothpier` processes.
//!
//! Each node gets addresses of its own for discovery and for every box, as on the platform: that is how a stand-in
//! knows which node asks, for all of them share one machine here.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use mothpier_host::{Host, Listener, SystemHost};
use rand::Rng;
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::sleep;

use crate::cache::CacheServer;
use crate::discovery::Discovery;
use crate::fleet::{Fleet, Member};
use crate::observe::{NodeIndex, ObservedEvent, Observer, Phase, ServerIndex};
use crate::origin::Origin;
use crate::process::{self, Process};
use crate::scenario::Scenario;
use crate::storm::OutageTarget;

/// The machine that stand-ins run on.
pub const HOST: SystemHost = SystemHost { program: "chalksill" };
/// A node that was told to stop is killed after its longest deadline and this much.
const STOP: Duration = Duration::from_secs(2);

/// A box that serves: dropping its tasks closes all that it has open.
struct BoxRun {
    addresses: Vec<SocketAddr>,
    task: AbortHandle,
}

/// A world on loopback sockets.
pub struct LoopbackEnvironment {
    /// What its stand-ins share.
    pub fleet: Rc<Fleet>,
    /// Its discovery.
    pub discovery: Rc<Discovery>,
    /// Its nodes.
    pub nodes: Vec<Process>,
    boxes: RefCell<BTreeMap<ServerIndex, BoxRun>>,
    /// Where the configurations of the nodes are.
    pub folder: PathBuf,
    longest: Duration,
}

/// Lets a box serve each node at a listener of its own; it started cold at a time, or long ago. Dropping its task ends
/// the box with all that it has open.
pub fn serve_cache<L>(
    fleet: &Rc<Fleet>,
    number: ServerIndex,
    life: u64,
    started: Option<u64>,
    listeners: Vec<L>,
) -> AbortHandle
where
    SystemHost: Host<Listener = L>,
    L: 'static,
{
    let cold = started.is_some();
    let cache = CacheServer::new(fleet, number, life, cold);
    let start = started.unwrap_or(0);
    fleet.observer.record(ObservedEvent::CacheServerStarted {
        server: number,
        started_ms: start,
        capacity: cache.capacity(),
        cold,
    });
    fleet.add_cache_server(number, cache.clone());
    let local = LocalSet::new();
    for (node, listener) in listeners.into_iter().enumerate() {
        local.spawn_local(cache.clone().serve::<SystemHost>(listener, move |_| node));
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

impl LoopbackEnvironment {
    /// Starts stand-ins and nodes of a scenario; the nodes run `program`. Must run inside a `LocalSet`.
    ///
    /// # Errors
    /// What hinders a socket, a file or a process, or a node that does not answer.
    pub async fn start(
        scenario: &Scenario,
        seed: u64,
        program: &Path,
        folder: &Path,
        witness: Observer,
    ) -> Result<LoopbackEnvironment, String> {
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
                    spawn_local(all.clone().serve::<SystemHost>(listener, move |_| node));
                }
            } else {
                let task = serve_cache(&fleet, number, 0, cold.then_some(started), listeners);
                boxes.insert(number, BoxRun { addresses: addresses.clone(), task });
            }
            let member = Member {
                id: format!("s-{number:04}"),
                addresses,
                zone: number % scenario.zones.len(),
                is_origin: number == origin,
                phase: Phase::Ready,
                started_ms: started,
            };
            members.insert(number, member);
        }
        fleet.warm_caches((0..origin).collect::<Vec<ServerIndex>>().as_slice());
        let discovery = Discovery::new(&fleet, members);
        let mut live = LoopbackEnvironment {
            fleet,
            discovery,
            nodes: Vec::new(),
            boxes: RefCell::new(boxes),
            folder: folder.into(),
            longest: scenario.longest_deadline(),
        };
        std::fs::create_dir_all(folder).map_err(|e| format!("cannot make {}: {e}", folder.display()))?;
        let mut peers = Vec::new();
        for _ in 0..nodes {
            peers.push(free_port(true).await?);
        }
        for node in 0..nodes {
            let listener = HOST.listen(any).await.map_err(|e| format!("cannot listen for discovery: {e}"))?;
            let at = Listener::local_addr(&listener).map_err(|e| e.to_string())?;
            spawn_local(live.discovery.clone().serve::<SystemHost>(listener, move |_| node));
            let process = live.start_node(node, at, &peers, program).await?;
            witness.record(ObservedEvent::NodeStarted { node });
            live.nodes.push(process);
        }
        for node in &live.nodes {
            process::wait_until_ready(node.address).await?;
        }
        Ok(live)
    }

    async fn start_node(
        &self,
        node: NodeIndex,
        discovery: SocketAddr,
        peers: &[SocketAddr],
        program: &Path,
    ) -> Result<Process, String> {
        let scenario = &self.fleet.scenario;
        let address = free_port(false).await?;
        let seed: u64 = self.fleet.rng("node", node as u64).random();
        let at = process::NodeAddresses { listen: address, discovery, peers, operations: None };
        let config = process::node_configuration(scenario, node, &at, seed, self.discovery.known_list(node));
        let files = self.folder.join(format!("n{node}"));
        process::write_files(&files, &config, &scenario.nodes.operator)?;
        let _ = std::fs::remove_file(files.with_extension("log"));
        Process::start(program, files, address)
    }

    /// What is hit goes down at once, and comes back after a time as after a failure: boxes cold and empty, nodes with
    /// the list that they last had.
    ///
    /// # Errors
    /// A node or a box that does not come back.
    pub async fn outage(&mut self, hit: OutageTarget, down: Duration) -> Result<(), String> {
        let fault = |text: String| self.fleet.observer.record(ObservedEvent::Fault(text));
        fault(format!("begins: outage of {hit:?}"));
        let hit_boxes = hit != OutageTarget::Nodes;
        let hit_nodes = hit != OutageTarget::Boxes;
        if hit_boxes {
            for (number, run) in self.boxes.borrow().iter() {
                run.task.abort();
                self.fleet.remove_cache_server(*number);
            }
        }
        if hit_nodes {
            for (node, process) in self.nodes.iter_mut().enumerate() {
                // Said first: clients see their connections end before the process is gone.
                self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: false });
                process.kill().await.map_err(|e| format!("cannot kill node {node}: {e}"))?;
            }
        }
        sleep(down).await;
        if hit_boxes {
            let all: Vec<(ServerIndex, Vec<SocketAddr>)> =
                self.boxes.borrow().iter().map(|(n, run)| (*n, run.addresses.clone())).collect();
            for (number, addresses) in all {
                self.return_box(number, addresses).await?;
            }
        }
        if hit_nodes {
            for (node, process) in self.nodes.iter_mut().enumerate() {
                self.fleet.observer.record(ObservedEvent::NodeStarted { node });
                process.restart()?;
            }
        }
        self.fleet.observer.record(ObservedEvent::Fault(format!("is over: outage of {hit:?}")));
        Ok(())
    }

    async fn return_box(&self, number: ServerIndex, addresses: Vec<SocketAddr>) -> Result<(), String> {
        let mut listeners = Vec::new();
        for at in &addresses {
            listeners
                .push(HOST.listen(*at).await.map_err(|e| format!("box {number} cannot listen again: {e}"))?);
        }
        let started = HOST.unix_time().as_millis() as u64;
        let task = serve_cache(&self.fleet, number, 1, Some(started), listeners);
        self.boxes.borrow_mut().insert(number, BoxRun { addresses, task });
        if let Some(mut member) = self.discovery.member(number) {
            member.started_ms = started;
            self.discovery.update(number, member);
        }
        Ok(())
    }

    /// CPU time of all nodes together since they started, as the kernel has it; `None` where it does not tell.
    pub fn cpu_time(&self) -> Option<Duration> {
        self.nodes.iter().map(Process::cpu_time).sum()
    }

    /// Resident memory of the largest node in KiB; `None` where the kernel does not tell.
    pub fn memory_kib(&self) -> Option<u64> {
        self.nodes.iter().filter_map(Process::memory_kib).max()
    }

    /// Descriptors of the node that has most of them open; `None` where the kernel does not tell.
    pub fn descriptors(&self) -> Option<usize> {
        self.nodes.iter().filter_map(Process::descriptors).max()
    }

    /// A node that has ended by itself, and how.
    pub fn first_exit(&mut self) -> Option<String> {
        self.nodes
            .iter_mut()
            .enumerate()
            .find_map(|(i, p)| p.exit_status().map(|status| format!("node {i} has ended: {status}")))
    }

    /// Tells the nodes to stop as the platform would, and waits for them.
    pub async fn stop(mut self) {
        process::stop_all(&mut self.nodes, self.longest + STOP).await;
    }
}
