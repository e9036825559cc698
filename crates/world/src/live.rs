//! The stubs on loopback sockets in real time, with real `mothpier` processes.
//!
//! Each node gets its own addresses for discovery and for every cache server: as all share one machine here,
//! a stub tells by the address which node connects.

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

/// The host that the stubs run on.
pub const HOST: SystemHost = SystemHost { program: "chalksill" };
/// A node that was asked to stop is killed after its longest deadline and this time.
const STOP_GRACE: Duration = Duration::from_secs(2);

/// A running cache server: dropping its tasks closes all its connections.
struct CacheServerRun {
    addresses: Vec<SocketAddr>,
    task: AbortHandle,
}

/// An environment on loopback sockets.
pub struct LoopbackEnvironment {
    /// State that the stubs share.
    pub fleet: Rc<Fleet>,
    /// The stub of discovery.
    pub discovery: Rc<Discovery>,
    /// Its nodes.
    pub nodes: Vec<Process>,
    cache_servers: RefCell<BTreeMap<ServerIndex, CacheServerRun>>,
    /// The folder of the nodes' configurations.
    pub folder: PathBuf,
    longest_deadline: Duration,
}

/// Serves each node at a listener of its own; with `started`, the cache server starts cold at that time.
/// Dropping the task ends the cache server with all its connections.
pub fn serve_cache<L>(
    fleet: &Rc<Fleet>,
    index: ServerIndex,
    incarnation: u64,
    started: Option<u64>,
    listeners: Vec<L>,
) -> AbortHandle
where
    SystemHost: Host<Listener = L>,
    L: 'static,
{
    let cold = started.is_some();
    let cache = CacheServer::new(fleet, index, incarnation, cold);
    let started_ms = started.unwrap_or(0);
    fleet.observer.record(ObservedEvent::CacheServerStarted {
        server: index,
        started_ms,
        capacity: cache.capacity(),
        cold,
    });
    fleet.add_cache_server(index, cache.clone());
    let local = LocalSet::new();
    for (node, listener) in listeners.into_iter().enumerate() {
        local.spawn_local(cache.clone().serve::<SystemHost>(listener, move |_| node));
    }
    spawn_local(local).abort_handle()
}

/// A port that was free a moment ago; if it is taken meanwhile, the start of the node fails with a message.
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
    /// Starts the stubs and nodes of a scenario; the nodes run `program`. Must be called inside a `LocalSet`.
    ///
    /// # Errors
    /// A socket, file or process that cannot be created, or a node that does not become ready.
    pub async fn start(
        scenario: &Scenario,
        seed: u64,
        program: &Path,
        folder: &Path,
        observer: Observer,
    ) -> Result<LoopbackEnvironment, String> {
        let fleet = Fleet::new(scenario.clone(), seed, observer.clone());
        let nodes = scenario.nodes.count;
        let origin = scenario.boxes.count;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut members = BTreeMap::new();
        let mut cache_servers = BTreeMap::new();
        for index in 0..=origin {
            let cold = scenario.boxes.start_cold && index != origin;
            let started_ms = if cold { HOST.unix_time().as_millis() as u64 } else { 0 };
            let mut listeners = Vec::new();
            for _ in 0..nodes {
                listeners.push(
                    HOST.listen(any)
                        .await
                        .map_err(|e| format!("cannot listen for cache server {index}: {e}"))?,
                );
            }
            let addresses = listeners.iter().map(|l| Listener::local_addr(l).map_err(|e| e.to_string()));
            let addresses = addresses.collect::<Result<Vec<_>, String>>()?;
            if index == origin {
                let all = Origin::new(&fleet, index);
                for (node, listener) in listeners.into_iter().enumerate() {
                    spawn_local(all.clone().serve::<SystemHost>(listener, move |_| node));
                }
            } else {
                let task = serve_cache(&fleet, index, 0, cold.then_some(started_ms), listeners);
                cache_servers.insert(index, CacheServerRun { addresses: addresses.clone(), task });
            }
            let member = Member {
                id: format!("s-{index:04}"),
                addresses,
                zone: index % scenario.zones.len(),
                is_origin: index == origin,
                phase: Phase::Ready,
                started_ms,
            };
            members.insert(index, member);
        }
        fleet.warm_caches((0..origin).collect::<Vec<ServerIndex>>().as_slice());
        let discovery = Discovery::new(&fleet, members);
        let mut environment = LoopbackEnvironment {
            fleet,
            discovery,
            nodes: Vec::new(),
            cache_servers: RefCell::new(cache_servers),
            folder: folder.into(),
            longest_deadline: scenario.longest_deadline(),
        };
        std::fs::create_dir_all(folder).map_err(|e| format!("cannot make {}: {e}", folder.display()))?;
        let mut peers = Vec::new();
        for _ in 0..nodes {
            peers.push(free_port(true).await?);
        }
        for node in 0..nodes {
            let listener = HOST.listen(any).await.map_err(|e| format!("cannot listen for discovery: {e}"))?;
            let at = Listener::local_addr(&listener).map_err(|e| e.to_string())?;
            spawn_local(environment.discovery.clone().serve::<SystemHost>(listener, move |_| node));
            let process = environment.start_node(node, at, &peers, program).await?;
            observer.record(ObservedEvent::NodeStarted { node });
            environment.nodes.push(process);
        }
        for node in &environment.nodes {
            process::wait_until_ready(node.address).await?;
        }
        Ok(environment)
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

    /// Takes the target down at once and brings it back after `down` as after a failure: cache servers cold
    /// and empty, nodes with their last list.
    ///
    /// # Errors
    /// A node or a cache server that does not come back.
    pub async fn outage(&mut self, target: OutageTarget, down: Duration) -> Result<(), String> {
        let fault = |text: String| self.fleet.observer.record(ObservedEvent::Fault(text));
        fault(format!("begins: outage of {target:?}"));
        let hits_servers = target != OutageTarget::Nodes;
        let hits_nodes = target != OutageTarget::Boxes;
        if hits_servers {
            for (index, run) in self.cache_servers.borrow().iter() {
                run.task.abort();
                self.fleet.remove_cache_server(*index);
            }
        }
        if hits_nodes {
            for (node, process) in self.nodes.iter_mut().enumerate() {
                // Recorded first, as clients see their connections end before the process is gone.
                self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: false });
                process.kill().await.map_err(|e| format!("cannot kill node {node}: {e}"))?;
            }
        }
        sleep(down).await;
        if hits_servers {
            let all: Vec<(ServerIndex, Vec<SocketAddr>)> =
                self.cache_servers.borrow().iter().map(|(n, run)| (*n, run.addresses.clone())).collect();
            for (index, addresses) in all {
                self.restart_cache_server(index, addresses).await?;
            }
        }
        if hits_nodes {
            for (node, process) in self.nodes.iter_mut().enumerate() {
                self.fleet.observer.record(ObservedEvent::NodeStarted { node });
                process.restart()?;
            }
        }
        self.fleet.observer.record(ObservedEvent::Fault(format!("is over: outage of {target:?}")));
        Ok(())
    }

    async fn restart_cache_server(
        &self,
        index: ServerIndex,
        addresses: Vec<SocketAddr>,
    ) -> Result<(), String> {
        let mut listeners = Vec::new();
        for at in &addresses {
            listeners.push(
                HOST.listen(*at)
                    .await
                    .map_err(|e| format!("cache server {index} cannot listen again: {e}"))?,
            );
        }
        let started_ms = HOST.unix_time().as_millis() as u64;
        let task = serve_cache(&self.fleet, index, 1, Some(started_ms), listeners);
        self.cache_servers.borrow_mut().insert(index, CacheServerRun { addresses, task });
        if let Some(mut member) = self.discovery.member(index) {
            member.started_ms = started_ms;
            self.discovery.update(index, member);
        }
        Ok(())
    }

    /// CPU time of all nodes since their start; `None` where the kernel does not report it.
    pub fn cpu_time(&self) -> Option<Duration> {
        self.nodes.iter().map(Process::cpu_time).sum()
    }

    /// Resident memory of the largest node in KiB; `None` where the kernel does not report it.
    pub fn memory_kib(&self) -> Option<u64> {
        self.nodes.iter().filter_map(Process::memory_kib).max()
    }

    /// Most open descriptors of a node; `None` where the kernel does not report them.
    pub fn descriptors(&self) -> Option<usize> {
        self.nodes.iter().filter_map(Process::descriptors).max()
    }

    /// The first node that has exited, with its status.
    pub fn first_exit(&mut self) -> Option<String> {
        self.nodes
            .iter_mut()
            .enumerate()
            .find_map(|(i, p)| p.exit_status().map(|status| format!("node {i} has ended: {status}")))
    }

    /// Asks the nodes to stop as the platform would, and waits for them.
    pub async fn stop(mut self) {
        process::stop_all(&mut self.nodes, self.longest_deadline + STOP_GRACE).await;
    }
}
