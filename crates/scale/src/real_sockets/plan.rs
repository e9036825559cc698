//! What a run on real sockets consists of, and what its nodes and stand-ins are told.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};

use chalksill_world::agreement;
use chalksill_world::scenario as world;
use serde::{Deserialize, Serialize};

use super::error::RealSocketsError;
use crate::record::{FleetSize, FleetState};
use crate::scenario::Scenario;

/// The port on which a node listens for clients, at an address of its own.
const CLIENT_PORT: u16 = 7945;
/// The port of messages between decision modules.
const PEER_PORT: u16 = 7946;
/// Nodes on one third byte of an address.
const NODES_PER_BLOCK: u32 = 250;
/// Second bytes of the loopback networks that runs use: trials have those below.
const FIRST_NETWORK: u8 = 96;
/// How many of these there are.
const NETWORKS: u32 = 128;
/// The agreement knows this many zones at most; a fleet of more zones is run with this many.
const MOST_ZONES: u32 = 16;
/// The most voters of the agreement that a run has.
const MOST_VOTERS: u32 = 5;

/// A series of runs of one state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RealSocketsPlan {
    /// Its name.
    pub name: String,
    /// The state in which the fleet is measured.
    pub state: FleetState,
    /// The sizes.
    pub sizes: Vec<SizePlan>,
    /// Runs at each size.
    pub repetitions: u32,
    /// The seed of the first run; each further one has the next.
    pub seed: u64,
    /// For how long nodes run before they are measured, in seconds.
    pub settle_s: f64,
    /// For how long they are measured, in seconds.
    pub measured_s: f64,
    /// Whether nodes agree on which zones serve.
    pub agreement: bool,
    /// Requests a second that clients send to each real node; 0 for none.
    pub load_per_real_node: f64,
    /// Hollow nodes that share a process.
    pub nodes_per_process: u32,
    /// For how long discovery is down where it restarts, in seconds.
    pub discovery_down_s: f64,
}

/// One size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizePlan {
    /// Hollow nodes.
    pub hollow_nodes: u32,
    /// Real nodes beside them.
    pub real_nodes: u32,
    /// Sites that they stand at.
    pub sites: u32,
    /// Zones that the sites form.
    pub zones: u32,
    /// Regions that the zones form.
    pub regions: u32,
    /// Cache servers.
    pub cache_servers: u32,
    /// Changes of discovery's list in a second.
    pub changes_per_s: f64,
}

/// What a scenario does not say, for it is of real sockets alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RealSocketsOptions {
    /// How many of the nodes of each size are real ones.
    pub real_nodes: u32,
    /// Hollow nodes that share a process.
    pub nodes_per_process: u32,
    /// For how long discovery is down where it restarts, in seconds.
    pub discovery_down_s: f64,
}

impl RealSocketsPlan {
    /// The plan of a scenario.
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
    /// All nodes.
    pub fn nodes(&self) -> u32 {
        self.hollow_nodes + self.real_nodes
    }

    /// Zones that the nodes are told: no more than the agreement knows.
    pub fn zones_told(&self) -> u32 {
        self.zones.clamp(1, MOST_ZONES)
    }

    /// Processes of hollow nodes.
    pub fn hollow_processes(&self, nodes_per_process: u32) -> u32 {
        self.hollow_nodes.div_ceil(nodes_per_process.max(1))
    }

    /// The size as the record has it.
    pub fn recorded(&self) -> FleetSize {
        FleetSize {
            nodes: self.nodes(),
            sites: self.sites,
            zones: self.zones_told(),
            regions: self.regions.clamp(1, self.zones_told()),
            cache_servers: self.cache_servers,
            changes_per_s: self.changes_per_s,
        }
    }
}

/// The loopback network of one run, in which each node has an address of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Network(u8);

impl Network {
    /// A network that nobody uses now: each process and each run looks for it from another place on.
    ///
    /// # Errors
    /// All are in use.
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

    /// Where a node listens for clients.
    pub fn client(self, node: u32) -> SocketAddr {
        (self.address(node), CLIENT_PORT).into()
    }

    /// Where a node hears the decision modules of its peers.
    pub fn peer(self, node: u32) -> SocketAddr {
        (self.address(node), PEER_PORT).into()
    }

    /// Where a node hears the agreement.
    pub fn agreement(self, node: u32) -> SocketAddr {
        (self.address(node), agreement::PORT).into()
    }
}

/// What all processes of a run are told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetPlan {
    /// Its size.
    pub size: SizePlan,
    /// Its network.
    pub network: Network,
    /// Its seed.
    pub seed: u64,
    /// Whether nodes agree on which zones serve.
    pub agreement: bool,
    /// Requests a second over all real nodes.
    pub load: f64,
}

impl FleetPlan {
    /// Voters of the agreement: the first nodes, an odd number of hollow ones, so that all they say is counted; none where there is
    /// nothing to agree on.
    pub fn voters(&self) -> u32 {
        let most = self.size.hollow_nodes.min(MOST_VOTERS);
        let odd = most - u32::from(most.is_multiple_of(2) && most > 0);
        if self.agreement && self.size.zones_told() > 1 { odd } else { 0 }
    }

    /// The world of the stand-ins, and of the settings that nodes are told.
    ///
    /// # Errors
    /// A text that is no scenario.
    pub fn world(&self) -> Result<world::Scenario, RealSocketsError> {
        let zones: Vec<String> = (0..self.size.zones_told()).map(zone_name).collect();
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

    /// The operator's file of a node: zones agreed on where there are any to agree on.
    ///
    /// # Errors
    /// A text that is no TOML.
    pub fn operator(&self, node: u32) -> Result<String, RealSocketsError> {
        let voters = self.voters();
        if voters == 0 {
            return Ok(String::new());
        }
        let regions = self.size.regions.clamp(1, self.size.zones_told());
        let mut text = String::from("[places]\non = true\npool = \"all\"\n");
        for region in 0..regions {
            let zones = (0..self.size.zones_told()).filter(|zone| zone % regions == region);
            let zones: Vec<String> = zones.map(zone_name).collect();
            text += &format!("[[places.region]]\nname = \"r{region:02}\"\nzones = {zones:?}\n");
        }
        let voters: Vec<u32> = (0..voters).collect();
        text += &format!("[accord]\non = true\nvoters = {voters:?}\n");
        let members: Vec<SocketAddr> = (0..self.size.nodes()).map(|n| self.network.agreement(n)).collect();
        let operator = agreement::operator_config(&text, self.network.agreement(node), &members);
        operator.map_err(RealSocketsError::Plan)
    }

    /// Where decision modules hear each other, by node.
    pub fn peers(&self) -> Vec<SocketAddr> {
        (0..self.size.nodes()).map(|node| self.network.peer(node)).collect()
    }

    /// The numbers of the real nodes: those after the hollow ones.
    pub fn real_nodes(&self) -> std::ops::Range<u32> {
        self.size.hollow_nodes..self.size.nodes()
    }
}

fn zone_name(zone: u32) -> String {
    format!("z{zone:02}")
}
