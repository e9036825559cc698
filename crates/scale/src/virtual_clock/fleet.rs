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

/// The time of day at which every simulated fleet begins.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);
/// The part of the datagrams between nodes that is lost.
const LOST: f64 = 0.02;

/// A node that runs.
pub struct Node {
    /// What staff read of it.
    pub desk: Arc<OpsEndpoint>,
    /// Orders to it.
    pub control: mpsc::Sender<Control>,
    host: SimHost,
    task: AbortHandle,
}

/// Discovery's process.
struct Service {
    host: SimHost,
    task: AbortHandle,
}

/// The fleet.
pub struct SimulatedFleet {
    /// The network.
    pub net: Net,
    /// Where stand-ins report.
    pub witness: Observer,
    /// What discovery lists.
    pub discovery: Rc<Discovery>,
    /// How large the fleet is.
    pub size: FleetSize,
    /// Where everything stands.
    pub layout: Layout,
    fleet: Rc<Fleet>,
    nodes: RefCell<BTreeMap<usize, Node>>,
    service: RefCell<Option<Service>>,
}

impl SimulatedFleet {
    /// Everything but the nodes.
    ///
    /// # Errors
    /// A scenario that makes no world.
    pub async fn start(scenario: &Scenario, size: FleetSize, seed: u64) -> Result<Rc<Self>, String> {
        let layout = Layout::new(size, scenario.agreement);
        let world = settings::world(scenario, size, &layout)?;
        let net = Net::new(seed, EPOCH, Links { datagram_loss: LOST, ..Links::default() });
        spawn_local(net.clone().deliver_packets());
        let witness = Observer::starting_now();
        let fleet = Fleet::new(world, seed, witness.clone());
        let origin = size.cache_servers as usize;
        let members =
            (0..=origin).map(|number| (number, member(number, number == origin, &layout))).collect();
        let discovery = Discovery::new(&fleet, members);
        let nodes = RefCell::default();
        let service = RefCell::default();
        let simulated =
            Rc::new(SimulatedFleet { net, witness, discovery, size, layout, fleet, nodes, service });
        for number in 0..origin {
            simulated.start_cache(number).await;
        }
        simulated.fleet.warm_caches(&simulated.discovery.ready_servers());
        simulated.start_origin().await;
        simulated.start_discovery().await;
        Ok(simulated)
    }

    /// The number that the origin has among the cache servers.
    pub fn origin(&self) -> usize {
        self.size.cache_servers as usize
    }

    async fn start_cache(&self, number: usize) {
        let ip = layout::cache_ip(number);
        let zone = self.layout.cache_zone(number) as u8;
        let host = self.net.start_process(ip, zone, &format!("cache server {number}"));
        let cache = CacheServer::new(&self.fleet, number, number as u64, false);
        self.fleet.add_cache_server(number, cache.clone());
        if let Ok(listener) = host.listen(SocketAddr::new(ip, layout::DATA_PORT)).await {
            spawn_local(cache.serve::<SimHost>(listener, layout::node_of));
        }
    }

    async fn start_origin(&self) {
        let ip = layout::cache_ip(self.origin());
        let host = self.net.start_process(ip, 0, "origin");
        let origin = Origin::new(&self.fleet, self.origin());
        if let Ok(listener) = host.listen(SocketAddr::new(ip, layout::DATA_PORT)).await {
            spawn_local(origin.serve::<SimHost>(listener, layout::node_of));
        }
    }

    /// Discovery begins to answer.
    pub async fn start_discovery(&self) {
        let host = self.net.start_process(layout::DISCOVERY.ip(), 0, "discovery");
        let Ok(listener) = host.listen(layout::DISCOVERY).await else { return };
        let serving = self.discovery.clone().serve::<SimHost>(listener, layout::node_of);
        let local = LocalSet::new();
        local.spawn_local(serving);
        let task = spawn_local(local).abort_handle();
        *self.service.borrow_mut() = Some(Service { host, task });
    }

    /// Discovery's process ends: all watches are reset, and new ones refused.
    pub fn stop_discovery(&self) {
        if let Some(service) = self.service.borrow_mut().take() {
            self.net.kill(service.host.process());
            service.task.abort();
        }
    }

    /// Starts all nodes.
    ///
    /// # Errors
    /// A configuration that nodes can't read.
    pub fn start_nodes(&self) -> Result<(), String> {
        let configurations = self.configurations()?;
        (0..self.size.nodes as usize).for_each(|node| self.start_node(node, 0, &configurations));
        Ok(())
    }

    /// What nodes are started by.
    ///
    /// # Errors
    /// A configuration that nodes can't read.
    pub fn configurations(&self) -> Result<Configurations, String> {
        Configurations::new(&self.fleet.scenario, self.layout, &self.discovery)
    }

    /// Starts a node; a life later than its first draws other random numbers.
    pub fn start_node(&self, node: usize, life: u64, configurations: &Configurations) {
        let zone = self.layout.node_zone(node) as u8;
        let host = self.net.start_process(layout::node_ip(node), zone, &format!("node {node}"));
        let lives = u64::from(self.size.nodes) * life + node as u64;
        let seed: u64 = self.fleet.rng("node", lives).random();
        let config = configurations.of(node, seed);
        let desk = OpsEndpoint::new(&config.site.class_names);
        let (control, told) = mpsc::channel(4);
        let (log, local) = (host.clone(), LocalSet::new());
        let running = local.spawn_local(mothpier_node::run(
            host.clone(),
            config,
            desk.clone(),
            told,
            StartOptions::default(),
        ));
        // The set lives as long as the node does; dropping it with its task ends all of the node's tasks.
        let task = spawn_local(async move {
            if let Ok(Err(e)) = local.run_until(running).await {
                log.log(format_args!("ended: {e}"));
            }
        });
        let node_runs = Node { desk, control, host, task: task.abort_handle() };
        self.nodes.borrow_mut().insert(node, node_runs);
    }

    /// Kills a node.
    pub fn kill_node(&self, node: usize) {
        if let Some(killed) = self.nodes.borrow_mut().remove(&node) {
            self.net.kill(killed.host.process());
            killed.task.abort();
        }
    }

    /// Lets clients send requests until the span of the scenario's measurement is over.
    pub fn start_clients(&self) {
        let host = self.net.start_process(layout::CLIENTS, 0, "clients");
        let addresses = (0..self.size.nodes as usize)
            .map(|node| SocketAddr::new(layout::node_ip(node), layout::DATA_PORT))
            .collect();
        let clients = Clients::new(host, &self.fleet, addresses, |_| {});
        spawn_local(clients.generate_load(self.fleet.scenario.load_duration()));
    }

    /// Looks at each node that runs.
    pub fn each_node(&self, mut look: impl FnMut(usize, &Node)) {
        self.nodes.borrow().iter().for_each(|(number, node)| look(*number, node));
    }

    /// Lists one more cache server, and tells the revision of the list that has it.
    pub fn list_one_more(&self) -> u64 {
        let number = self.discovery.next_index();
        self.discovery.update_after(number, member(number, false, &self.layout), Duration::ZERO);
        self.discovery.revision()
    }

    /// A listed cache server begins to drain, or ends doing so.
    pub fn toggle(&self, number: usize) {
        if let Some(mut member) = self.discovery.member(number) {
            member.phase = if member.phase == Phase::Ready { Phase::Draining } else { Phase::Ready };
            self.discovery.update_after(number, member, Duration::ZERO);
        }
    }

    /// The end of the fleet: cache servers and fleet know each other, and would keep each other for good.
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
