//! A simulated fleet: cache servers, the origin, discovery, and nodes that run the daemon's own code.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chalksill_simnet::{Links, Net, SimHost};
use chalksill_world::cache::CacheServer;
use chalksill_world::clients::Clients;
use chalksill_world::discovery::Discovery;
use chalksill_world::fleet::{Fleet, Member};
use chalksill_world::observe::{Observer, Phase};
use chalksill_world::origin::Origin;
use mothpier_host::Host;
use mothpier_node::{Control, StartOptions};
use mothpier_ops::OpsEndpoint;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, LocalSet, spawn_local};

use super::layout::{self, Layout};
use super::settings::{self, Configurations};
use crate::record::FleetSize;
use crate::scenario::Scenario;

/// The time of day at which every simulated fleet starts.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);
/// The share of datagrams between nodes that are lost.
const DATAGRAM_LOSS: f64 = 0.02;

/// A running node.
pub struct Node {
    /// The node's operations endpoint, with its metrics.
    pub ops_endpoint: Arc<OpsEndpoint>,
    /// Sends commands to the node.
    pub control: mpsc::Sender<Control>,
    host: SimHost,
    task: AbortHandle,
}

/// The process of discovery.
struct DiscoveryProcess {
    host: SimHost,
    task: AbortHandle,
}

/// A fleet on a simulated network.
pub struct SimulatedFleet {
    /// The simulated network.
    pub net: Net,
    /// Receives the observations of the stubs.
    pub observer: Observer,
    /// The list that discovery publishes.
    pub discovery: Rc<Discovery>,
    /// The size of the fleet.
    pub size: FleetSize,
    /// Addresses, zones and regions of the machines.
    pub layout: Layout,
    fleet: Rc<Fleet>,
    nodes: RefCell<BTreeMap<usize, Node>>,
    discovery_process: RefCell<Option<DiscoveryProcess>>,
}

impl SimulatedFleet {
    /// Starts everything but the nodes.
    ///
    /// # Errors
    /// No simulated environment can be built from the scenario.
    pub async fn start(scenario: &Scenario, size: FleetSize, seed: u64) -> Result<Rc<Self>, String> {
        let layout = Layout::new(size, scenario.agreement);
        let world_scenario = settings::world_scenario(scenario, size, &layout)?;
        let net = Net::new(seed, EPOCH, Links { datagram_loss: DATAGRAM_LOSS, ..Links::default() });
        spawn_local(net.clone().deliver_packets());
        let observer = Observer::starting_now();
        let fleet = Fleet::new(world_scenario, seed, observer.clone());
        let origin = size.cache_servers as usize;
        let members =
            (0..=origin).map(|number| (number, member(number, number == origin, &layout))).collect();
        let discovery = Discovery::new(&fleet, members);
        let nodes = RefCell::default();
        let discovery_process = RefCell::default();
        let simulated = Rc::new(SimulatedFleet {
            net,
            observer,
            discovery,
            size,
            layout,
            fleet,
            nodes,
            discovery_process,
        });
        for number in 0..origin {
            simulated.start_cache(number).await;
        }
        simulated.fleet.warm_caches(&simulated.discovery.ready_servers());
        simulated.start_origin().await;
        simulated.start_discovery().await;
        Ok(simulated)
    }

    /// The number of the origin, which follows those of the cache servers.
    pub fn origin_number(&self) -> usize {
        self.size.cache_servers as usize
    }

    async fn start_cache(&self, number: usize) {
        let ip = layout::cache_ip(number);
        let zone = self.layout.cache_zone(number) as u8;
        let host = self.net.start_process(ip, zone, &format!("cache server {number}"));
        let cache = CacheServer::new(&self.fleet, number, number as u64, false);
        self.fleet.add_cache_server(number, cache.clone());
        if let Ok(listener) = host.listen(SocketAddr::new(ip, layout::DATA_PORT)).await {
            spawn_local(cache.serve::<SimHost>(listener, layout::node_number));
        }
    }

    async fn start_origin(&self) {
        let ip = layout::cache_ip(self.origin_number());
        let host = self.net.start_process(ip, 0, "origin");
        let origin = Origin::new(&self.fleet, self.origin_number());
        if let Ok(listener) = host.listen(SocketAddr::new(ip, layout::DATA_PORT)).await {
            spawn_local(origin.serve::<SimHost>(listener, layout::node_number));
        }
    }

    /// Starts the process of discovery.
    pub async fn start_discovery(&self) {
        let host = self.net.start_process(layout::DISCOVERY.ip(), 0, "discovery");
        let Ok(listener) = host.listen(layout::DISCOVERY).await else { return };
        let serving = self.discovery.clone().serve::<SimHost>(listener, layout::node_number);
        let local = LocalSet::new();
        local.spawn_local(serving);
        let task = spawn_local(local).abort_handle();
        *self.discovery_process.borrow_mut() = Some(DiscoveryProcess { host, task });
    }

    /// Ends the process of discovery: all watches are reset, and new ones are refused.
    pub fn stop_discovery(&self) {
        if let Some(discovery_process) = self.discovery_process.borrow_mut().take() {
            self.net.kill(discovery_process.host.process());
            discovery_process.task.abort();
        }
    }

    /// Starts all nodes.
    ///
    /// # Errors
    /// The nodes reject their configuration.
    pub fn start_nodes(&self) -> Result<(), String> {
        let configurations = self.configurations()?;
        (0..self.size.nodes as usize).for_each(|node| self.start_node(node, 0, &configurations));
        Ok(())
    }

    /// The configurations of the nodes.
    ///
    /// # Errors
    /// The nodes reject their configuration.
    pub fn configurations(&self) -> Result<Configurations, String> {
        Configurations::new(&self.fleet.scenario, self.layout, &self.discovery)
    }

    /// Starts a node. Each incarnation of it has another seed.
    pub fn start_node(&self, node: usize, incarnation: u64, configurations: &Configurations) {
        let zone = self.layout.node_zone(node) as u8;
        let host = self.net.start_process(layout::node_ip(node), zone, &format!("node {node}"));
        let incarnation_number = u64::from(self.size.nodes) * incarnation + node as u64;
        let seed: u64 = self.fleet.rng("node", incarnation_number).random();
        let config = configurations.for_node(node, seed);
        let ops_endpoint = OpsEndpoint::new(&config.site.class_names);
        let (control, commands) = mpsc::channel(4);
        let (log, local) = (host.clone(), LocalSet::new());
        let running = local.spawn_local(mothpier_node::run(
            host.clone(),
            config,
            ops_endpoint.clone(),
            commands,
            StartOptions::default(),
        ));
        // The task set lives as long as the node; dropping it together with its task ends all tasks of the
        // node.
        let task = spawn_local(async move {
            if let Ok(Err(e)) = local.run_until(running).await {
                log.log(format_args!("ended: {e}"));
            }
        });
        let node_runs = Node { ops_endpoint, control, host, task: task.abort_handle() };
        self.nodes.borrow_mut().insert(node, node_runs);
    }

    /// Kills a node.
    pub fn kill_node(&self, node: usize) {
        if let Some(killed) = self.nodes.borrow_mut().remove(&node) {
            self.net.kill(killed.host.process());
            killed.task.abort();
        }
    }

    /// Starts clients, which send requests until the measured time of the scenario has passed.
    pub fn start_clients(&self) {
        let host = self.net.start_process(layout::CLIENTS, 0, "clients");
        let addresses = (0..self.size.nodes as usize)
            .map(|node| SocketAddr::new(layout::node_ip(node), layout::DATA_PORT))
            .collect();
        let clients = Clients::new(host, &self.fleet, addresses, |_| {});
        spawn_local(clients.generate_load(self.fleet.scenario.load_duration()));
    }

    /// Calls a function with each running node.
    pub fn for_each_node(&self, mut visit: impl FnMut(usize, &Node)) {
        self.nodes.borrow().iter().for_each(|(number, node)| visit(*number, node));
    }

    /// Adds a cache server to the list, and returns the revision of the list that contains it.
    pub fn add_listed_server(&self) -> u64 {
        let number = self.discovery.next_index();
        self.discovery.update_after(number, member(number, false, &self.layout), Duration::ZERO);
        self.discovery.revision()
    }

    /// Sets a listed cache server from ready to draining or back.
    pub fn toggle_draining(&self, number: usize) {
        if let Some(mut member) = self.discovery.member(number) {
            member.phase = if member.phase == Phase::Ready { Phase::Draining } else { Phase::Ready };
            self.discovery.update_after(number, member, Duration::ZERO);
        }
    }

    /// Ends the fleet. Breaks the reference cycles between the cache servers and the fleet, which would leak
    /// otherwise.
    pub fn end(&self) {
        self.fleet.clear();
    }
}

fn member(number: usize, origin: bool, layout: &Layout) -> Member {
    Member {
        id: format!("s-{number:04}"),
        addresses: vec![SocketAddr::new(layout::cache_ip(number), layout::DATA_PORT)],
        zone: layout.settings_zone(layout.cache_zone(number)),
        is_origin: origin,
        phase: Phase::Ready,
        started_ms: 0,
    }
}
