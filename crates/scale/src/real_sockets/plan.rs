//! The plan of runs on real sockets, and the configuration of their nodes and stubs.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};

use chalksill_world::agreement;
use chalksill_world::scenario as world;
use serde::{Deserialize, Serialize};

use super::error::RealSocketsError;
use crate::record::{FleetSize, FleetState};
use crate::scenario::Scenario;

/// The port on which a node listens for clients, at its own address.
const CLIENT_PORT: u16 = 7945;
/// The port of messages between decision modules.
const PEER_PORT: u16 = 7946;
/// Nodes whose addresses have the same third byte.
const NODES_PER_BLOCK: u32 = 250;
/// The first of the second bytes of the loopback networks for runs; those below are used by trials.
const FIRST_NETWORK: u8 = 96;
/// Number of these networks.
const NETWORKS: u32 = 128;
/// Maximum number of zones of the agreement; a fleet of more zones is run with this many.
const MAX_ZONES: u32 = 16;
/// Maximum number of voters of the agreement.
const MAX_VOTERS: u32 = 5;

/// A series of runs in one state of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RealSocketsPlan {
    /// The plan's name.
    pub name: String,
    /// The state in which the fleet is measured.
    pub state: FleetState,
    /// The sizes of the fleet.
    pub sizes: Vec<SizePlan>,
    /// The number of runs at each size.
    pub repetitions: u32,
    /// The seed of the first run; each further run has the next seed.
    pub seed: u64,
    /// How long nodes run before they are measured, in seconds.
    pub settle_s: f64,
    /// How long nodes are measured, in seconds.
    pub measured_s: f64,
    /// Whether nodes agree on which zones serve.
    pub agreement: bool,
    /// Requests per second that clients send to each real node; 0 for none.
    pub load_per_real_node: f64,
    /// Number of hollow nodes that share a process.
    pub nodes_per_process: u32,
    /// How long discovery is down when it is restarted, in seconds.
    pub discovery_down_s: f64,
}

/// One size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizePlan {
    /// Number of hollow nodes.
    pub hollow_nodes: u32,
    /// Number of real nodes.
    pub real_nodes: u32,
    /// Number of sites with nodes.
    pub sites: u32,
    /// Number of zones, which consist of sites.
    pub zones: u32,
    /// Number of regions, which consist of zones.
    pub regions: u32,
    /// Number of cache servers.
    pub cache_servers: u32,
    /// Changes of discovery's list per second.
    pub changes_per_s: f64,
}

/// Options that only real sockets have, and which scenarios therefore lack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RealSocketsOptions {
    /// How many of the nodes of each size are real ones.
    pub real_nodes: u32,
    /// Number of hollow nodes that share a process.
    pub nodes_per_process: u32,
    /// How long discovery is down when it is restarted, in seconds.
    pub discovery_down_s: f64,
}

impl RealSocketsPlan {
    /// Converts a scenario to a plan.
    pub fn from_scenario(scenario: &Scenario, options: &RealSocketsOptions) -> RealSocketsPlan {
        let real = |size: &FleetSize| options.real_nodes.min(size.nodes);
        let plan = |size: &FleetSize| SizePlan {
            hollow_nodes: size.nodes - real(size),
            real_nodes: real(size),
            sites: size.sites,
            zones: size.zones,
            regions: size.regions,
            cache_servers: size.cache_servers,
            changes_per_s: size.changes_per_s,
        };
        RealSocketsPlan {
            name: scenario.name.clone(),
            state: scenario.state,
            sizes: scenario.sizes.iter().map(plan).collect(),
            repetitions: scenario.repetitions,
            seed: scenario.seed,
            settle_s: scenario.warm_up.as_secs_f64(),
            measured_s: scenario.measured.as_secs_f64(),
            agreement: scenario.agreement,
            load_per_real_node: scenario.load.per_s / f64::from(options.real_nodes.max(1)),
            nodes_per_process: options.nodes_per_process,
            discovery_down_s: options.discovery_down_s,
        }
    }
}

impl SizePlan {
    /// The number of all nodes.
    pub fn nodes(&self) -> u32 {
        self.hollow_nodes + self.real_nodes
    }

    /// The number of zones in the nodes' configuration: at most as many as the agreement supports.
    pub fn configured_zones(&self) -> u32 {
        self.zones.clamp(1, MAX_ZONES)
    }

    /// The number of processes of hollow nodes.
    pub fn hollow_processes(&self, nodes_per_process: u32) -> u32 {
        self.hollow_nodes.div_ceil(nodes_per_process.max(1))
    }

    /// The size as written to the run's record.
    pub fn recorded(&self) -> FleetSize {
        FleetSize {
            nodes: self.nodes(),
            sites: self.sites,
            zones: self.configured_zones(),
            regions: self.regions.clamp(1, self.configured_zones()),
            cache_servers: self.cache_servers,
            changes_per_s: self.changes_per_s,
        }
    }
}

/// The loopback network of one run, in which each node has its own address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Network(u8);

impl Network {
    /// Finds a network that is not in use. Each process and each run starts the search at a different place.
    ///
    /// # Errors
    /// All networks are in use.
    pub fn free(process: u32, run: u32) -> Result<Network, RealSocketsError> {
        let first = process.wrapping_mul(7).wrapping_add(run);
        let network = |offset: u32| Network(FIRST_NETWORK + (first.wrapping_add(offset) % NETWORKS) as u8);
        let unused = |network: &Network| UdpSocket::bind(network.peer(0)).is_ok();
        let found = (0..NETWORKS).map(network).find(unused);
        found.ok_or_else(|| RealSocketsError::Plan("all loopback networks for runs are in use".into()))
    }

    /// The address of a node.
    pub fn address(self, node: u32) -> IpAddr {
        let (block, host) = (node / NODES_PER_BLOCK, node % NODES_PER_BLOCK);
        Ipv4Addr::new(127, self.0, 1 + block as u8, 1 + host as u8).into()
    }

    /// The address at which a node listens for clients.
    pub fn client(self, node: u32) -> SocketAddr {
        (self.address(node), CLIENT_PORT).into()
    }

    /// The address at which a node receives messages of its peers' decision modules.
    pub fn peer(self, node: u32) -> SocketAddr {
        (self.address(node), PEER_PORT).into()
    }

    /// The address at which a node receives messages of the agreement.
    pub fn agreement(self, node: u32) -> SocketAddr {
        (self.address(node), agreement::PORT).into()
    }
}

/// What all processes of a run know about its fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetPlan {
    /// The size of the fleet.
    pub size: SizePlan,
    /// The network of the run.
    pub network: Network,
    /// The seed of the run.
    pub seed: u64,
    /// Whether nodes agree on which zones serve.
    pub agreement: bool,
    /// Requests per second to all real nodes together.
    pub load: f64,
}

impl FleetPlan {
    /// The number of voters of the agreement, which are the first nodes: an odd number of hollow ones, so
    /// that all their messages are counted. There are none if there is nothing to agree on.
    pub fn voters(&self) -> u32 {
        let max = self.size.hollow_nodes.min(MAX_VOTERS);
        let odd = max - u32::from(max.is_multiple_of(2) && max > 0);
        if self.agreement && self.size.configured_zones() > 1 { odd } else { 0 }
    }

    /// The scenario of the stubs, and of the settings of the nodes.
    ///
    /// # Errors
    /// The generated text is not a valid scenario.
    pub fn world_scenario(&self) -> Result<world::Scenario, RealSocketsError> {
        let zones: Vec<String> = (0..self.size.configured_zones()).map(zone_name).collect();
        let text = format!(
            r#"
            name = "scale"
            seconds = 1.0
            zones = {zones:?}
            [load]
            rate = {load:?}
            keys = 1000
            [[class]]
            name = "read"
            share = 1
            aim_ms = 500
            deadline_ms = 1500
            effect = "pure"
            work_ms = [2, 6]
            [[tenant]]
            name = "all"
            share = 1
            quota = 100000.0
            [nodes]
            count = {nodes}
            sockets = 1024
            memory_mb = 64.0
            [boxes]
            count = {servers}
            cores = 2
            speeds = [1.0]
            room = 40
            keys = 500
            [origin]
            slots = 24
            room = 80
            time_ms = [20, 60]
            [discovery]
            lag_ms = [0, 0]
            call_ms = 0.0
            "#,
            load = self.load.max(0.1),
            nodes = self.size.nodes(),
            servers = self.size.cache_servers,
        );
        world::parse(&text).map_err(|fault| RealSocketsError::Plan(fault.to_string()))
    }

    /// The operator's file of a node, with the agreement on zones if there is more than one.
    ///
    /// # Errors
    /// The generated text is not valid TOML.
    pub fn operator(&self, node: u32) -> Result<String, RealSocketsError> {
        let voters = self.voters();
        if voters == 0 {
            return Ok(String::new());
        }
        let regions = self.size.regions.clamp(1, self.size.configured_zones());
        let mut text = String::from("[places]\non = true\npool = \"all\"\n");
        for region in 0..regions {
            let zones = (0..self.size.configured_zones()).filter(|zone| zone % regions == region);
            let zones: Vec<String> = zones.map(zone_name).collect();
            text += &format!("[[places.region]]\nname = \"r{region:02}\"\nzones = {zones:?}\n");
        }
        let voters: Vec<u32> = (0..voters).collect();
        text += &format!("[accord]\non = true\nvoters = {voters:?}\n");
        let members: Vec<SocketAddr> = (0..self.size.nodes()).map(|n| self.network.agreement(n)).collect();
        let operator = agreement::operator_config(&text, self.network.agreement(node), &members);
        operator.map_err(RealSocketsError::Plan)
    }

    /// The addresses of the decision modules, by node.
    pub fn peers(&self) -> Vec<SocketAddr> {
        (0..self.size.nodes()).map(|node| self.network.peer(node)).collect()
    }

    /// The numbers of the real nodes, which follow those of the hollow ones.
    pub fn real_nodes(&self) -> std::ops::Range<u32> {
        self.size.hollow_nodes..self.size.nodes()
    }
}

fn zone_name(zone: u32) -> String {
    format!("z{zone:02}")
}
