//! The cost of each role over a measurement, from the traffic counted by the network and the processor time
//! and memory of the process.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use chalksill_simnet::{Traffic, TrafficKind};
use chalksill_world::agreement;

use super::fleet::SimulatedFleet;
use super::layout;
use crate::record::{Role, RoleCost};
use crate::usage::ProcessorTime;

/// Maximum numbers of concurrent control connections, by destination.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connections {
    /// Connections to discovery.
    pub discovery: usize,
    /// Connections to all cache servers together.
    pub cache_servers: usize,
}

impl Connections {
    /// Samples the network and updates the maximums.
    pub fn sample(&mut self, fleet: &SimulatedFleet) {
        let all = fleet.net.connections();
        let discovery = all.get(&layout::DISCOVERY).copied().unwrap_or(0);
        let servers = 0..fleet.origin_number();
        let addresses = servers.map(|n| SocketAddr::new(layout::cache_ip(n), layout::DATA_PORT));
        let cache_servers = addresses.filter_map(|at| all.get(&at)).sum();
        self.discovery = self.discovery.max(discovery);
        self.cache_servers = self.cache_servers.max(cache_servers);
    }
}

/// What was measured besides the traffic.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Duration of the measurement on the nodes' clock.
    pub duration: Duration,
    /// Whether no client sent requests.
    pub hollow: bool,
    /// Resident memory of the process minus that of the same fleet without nodes.
    pub resident_bytes: Option<u64>,
    /// Processor time of the process over the measurement minus that of the same fleet without nodes.
    pub processor: ProcessorTime,
    /// Control connections.
    pub connections: Connections,
    /// The node that leads the agreement.
    pub leader: Option<usize>,
}

/// Computes the cost of each role of the fleet. Processor time and memory are reported for hollow nodes only.
/// They include costs of the simulation itself (packet delivery, timers, the stubs' side of each call), which
/// cannot be separated from those of the nodes, and are therefore an upper bound. They are not reported for
/// runs with clients, whose costs arise in the same process. The roles of the agreement have only its own
/// traffic, which is also part of the traffic of the nodes.
pub fn role_costs(fleet: &SimulatedFleet, measurement: &Measurement) -> BTreeMap<Role, RoleCost> {
    let mut roles = BTreeMap::new();
    roles.insert(Role::HollowNode, hollow_nodes(fleet, measurement));
    roles.insert(Role::Discovery, discovery(fleet, measurement));
    if measurement.hollow {
        roles.insert(Role::CacheServerControl, cache_servers(fleet, measurement));
    }
    if measurement.leader.is_some() {
        agreement_roles(fleet, measurement, &mut roles);
    }
    roles
}

fn hollow_nodes(fleet: &SimulatedFleet, measurement: &Measurement) -> RoleCost {
    let mut kinds = vec![
        TrafficKind::Datagrams(layout::PEER_PORT),
        TrafficKind::Datagrams(agreement::PORT),
        TrafficKind::Opened(layout::DISCOVERY.port()),
    ];
    if measurement.hollow {
        kinds.push(TrafficKind::Opened(layout::DATA_PORT));
    }
    let nodes = fleet.size.nodes as usize;
    let mut cost =
        mean_traffic(fleet, (0..nodes).map(layout::node_ip).collect(), &kinds, measurement.duration);
    let each = |total: f64| total / nodes as f64;
    let duration = measurement.duration.as_secs_f64();
    if measurement.hollow {
        cost.resident_bytes = measurement.resident_bytes.map(|bytes| each(bytes as f64));
        cost.user_cpu = Some(each(measurement.processor.user.as_secs_f64() / duration));
        cost.system_cpu = Some(each(measurement.processor.system.as_secs_f64() / duration));
    }
    let to_servers = if measurement.hollow { measurement.connections.cache_servers } else { 0 };
    cost.connections = each((measurement.connections.discovery + to_servers) as f64);
    cost
}

fn discovery(fleet: &SimulatedFleet, measurement: &Measurement) -> RoleCost {
    let kinds = [TrafficKind::Accepted(layout::DISCOVERY.port())];
    let cost = mean_traffic(fleet, vec![layout::DISCOVERY.ip()], &kinds, measurement.duration);
    RoleCost { connections: measurement.connections.discovery as f64, ..cost }
}

fn cache_servers(fleet: &SimulatedFleet, measurement: &Measurement) -> RoleCost {
    let servers = fleet.origin_number();
    let kinds = [TrafficKind::Accepted(layout::DATA_PORT)];
    let cost =
        mean_traffic(fleet, (0..servers).map(layout::cache_ip).collect(), &kinds, measurement.duration);
    RoleCost { connections: measurement.connections.cache_servers as f64 / servers as f64, ..cost }
}

fn agreement_roles(fleet: &SimulatedFleet, measurement: &Measurement, roles: &mut BTreeMap<Role, RoleCost>) {
    let voters = fleet.layout.voters();
    let leads = |node: &usize| measurement.leader == Some(*node);
    let leader = (0..fleet.size.nodes as usize).filter(leads);
    let others = voters.iter().copied().filter(|node| !leads(node));
    let followers = (0..fleet.size.nodes as usize).filter(|node| !voters.contains(node));
    let kinds = [TrafficKind::Datagrams(agreement::PORT)];
    let mut insert = |role, members: Vec<usize>| {
        if !members.is_empty() {
            let machines = members.into_iter().map(layout::node_ip).collect();
            roles.insert(role, mean_traffic(fleet, machines, &kinds, measurement.duration));
        }
    };
    insert(Role::AgreementLeader, leader.collect());
    insert(Role::AgreementVoter, others.collect());
    insert(Role::AgreementFollower, followers.collect());
}

/// The mean traffic of these kinds at these machines.
fn mean_traffic(
    fleet: &SimulatedFleet,
    machines: Vec<IpAddr>,
    kinds: &[TrafficKind],
    duration: Duration,
) -> RoleCost {
    let of_machine = |ip: &IpAddr| {
        let traffic = kinds.iter().map(|kind| fleet.net.traffic(*ip, *kind));
        traffic.fold(Traffic::default(), Traffic::plus)
    };
    let all = machines.iter().map(of_machine).fold(Traffic::default(), Traffic::plus);
    let per_s = |count: u64| count as f64 / machines.len() as f64 / duration.as_secs_f64();
    RoleCost {
        members: machines.len() as u32,
        messages_in_per_s: per_s(all.messages_in),
        messages_out_per_s: per_s(all.messages_out),
        bytes_in_per_s: per_s(all.bytes_in),
        bytes_out_per_s: per_s(all.bytes_out),
        ..RoleCost::default()
    }
}
