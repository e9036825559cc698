//! What each role cost over a measurement, from the traffic that the network counted and the time and memory that the
//! process used.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use chalksill_simnet::{Traffic, TrafficKind};
use chalksill_world::agreement;

use super::fleet::SimulatedFleet;
use super::layout;
use crate::record::{Role, RoleCost};
use crate::usage::ProcessorTime;

/// Connections of control by whom they lead to, the most at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connections {
    /// To discovery.
    pub discovery: usize,
    /// To all cache servers together.
    pub cache_servers: usize,
}

impl Connections {
    /// Looks at the network, and keeps the larger figures.
    pub fn look(&mut self, fleet: &SimulatedFleet) {
        let all = fleet.net.connections();
        let discovery = all.get(&layout::DISCOVERY).copied().unwrap_or(0);
        let servers = 0..fleet.origin();
        let addresses = servers.map(|n| SocketAddr::new(layout::cache_ip(n), layout::DATA_PORT));
        let cache_servers = addresses.filter_map(|at| all.get(&at)).sum();
        self.discovery = self.discovery.max(discovery);
        self.cache_servers = self.cache_servers.max(cache_servers);
    }
}

/// What was measured beside the traffic.
#[derive(Clone, Copy, Debug)]
pub struct Measured {
    /// How long, on the nodes' clock.
    pub span: Duration,
    /// Whether no client sent anything.
    pub hollow: bool,
    /// Resident memory that came with the nodes: that of the process less that of the same fleet without nodes.
    pub resident_bytes: Option<u64>,
    /// Processor time of the process over the measurement less that of the same fleet without nodes.
    pub processor: ProcessorTime,
    /// Connections.
    pub connections: Connections,
    /// Who leads the agreement.
    pub leader: Option<usize>,
}

/// The cost of each role that the fleet has. Processor time and memory are told of hollow nodes alone: they hold the
/// simulation's own costs (carrying packets, timers, the stand-ins' side of each call), which can't be told apart from the
/// nodes' and are therefore an upper bound. Where clients send requests their costs are in the process, too, and none is
/// told. The roles of the agreement have its own traffic only, which is in that of the nodes as well.
pub fn of_roles(fleet: &SimulatedFleet, measured: &Measured) -> BTreeMap<Role, RoleCost> {
    let mut roles = BTreeMap::new();
    roles.insert(Role::HollowNode, hollow_nodes(fleet, measured));
    roles.insert(Role::Discovery, discovery(fleet, measured));
    if measured.hollow {
        roles.insert(Role::CacheServerControl, cache_servers(fleet, measured));
    }
    if measured.leader.is_some() {
        agreement_roles(fleet, measured, &mut roles);
    }
    roles
}

fn hollow_nodes(fleet: &SimulatedFleet, measured: &Measured) -> RoleCost {
    let mut ways = vec![
        TrafficKind::Datagrams(layout::PEER_PORT),
        TrafficKind::Datagrams(agreement::PORT),
        TrafficKind::Opened(layout::DISCOVERY.port()),
    ];
    if measured.hollow {
        ways.push(TrafficKind::Opened(layout::DATA_PORT));
    }
    let nodes = fleet.size.nodes as usize;
    let mut cost = mean(fleet, (0..nodes).map(layout::node_ip).collect(), &ways, measured.span);
    let each = |total: f64| total / nodes as f64;
    let span = measured.span.as_secs_f64();
    if measured.hollow {
        cost.resident_bytes = measured.resident_bytes.map(|bytes| each(bytes as f64));
        cost.user_cpu = Some(each(measured.processor.user.as_secs_f64() / span));
        cost.system_cpu = Some(each(measured.processor.system.as_secs_f64() / span));
    }
    let to_servers = if measured.hollow { measured.connections.cache_servers } else { 0 };
    cost.connections = each((measured.connections.discovery + to_servers) as f64);
    cost
}

fn discovery(fleet: &SimulatedFleet, measured: &Measured) -> RoleCost {
    let ways = [TrafficKind::Accepted(layout::DISCOVERY.port())];
    let cost = mean(fleet, vec![layout::DISCOVERY.ip()], &ways, measured.span);
    RoleCost { connections: measured.connections.discovery as f64, ..cost }
}

fn cache_servers(fleet: &SimulatedFleet, measured: &Measured) -> RoleCost {
    let servers = fleet.origin();
    let ways = [TrafficKind::Accepted(layout::DATA_PORT)];
    let cost = mean(fleet, (0..servers).map(layout::cache_ip).collect(), &ways, measured.span);
    RoleCost { connections: measured.connections.cache_servers as f64 / servers as f64, ..cost }
}

fn agreement_roles(fleet: &SimulatedFleet, measured: &Measured, roles: &mut BTreeMap<Role, RoleCost>) {
    let voters = fleet.layout.voters();
    let leads = |node: &usize| measured.leader == Some(*node);
    let leader = (0..fleet.size.nodes as usize).filter(leads);
    let others = voters.iter().copied().filter(|node| !leads(node));
    let followers = (0..fleet.size.nodes as usize).filter(|node| !voters.contains(node));
    let ways = [TrafficKind::Datagrams(agreement::PORT)];
    let mut insert = |role, members: Vec<usize>| {
        if !members.is_empty() {
            let machines = members.into_iter().map(layout::node_ip).collect();
            roles.insert(role, mean(fleet, machines, &ways, measured.span));
        }
    };
    insert(Role::AgreementLeader, leader.collect());
    insert(Role::AgreementVoter, others.collect());
    insert(Role::AgreementFollower, followers.collect());
}

/// The mean traffic of machines on some ways.
fn mean(fleet: &SimulatedFleet, machines: Vec<IpAddr>, ways: &[TrafficKind], span: Duration) -> RoleCost {
    let of_machine = |ip: &IpAddr| {
        let traffic = ways.iter().map(|way| fleet.net.traffic(*ip, *way));
        traffic.fold(Traffic::default(), Traffic::plus)
    };
    let all = machines.iter().map(of_machine).fold(Traffic::default(), Traffic::plus);
    let per_s = |count: u64| count as f64 / machines.len() as f64 / span.as_secs_f64();
    RoleCost {
        members: machines.len() as u32,
        messages_in_per_s: per_s(all.messages_in),
        messages_out_per_s: per_s(all.messages_out),
        bytes_in_per_s: per_s(all.bytes_in),
        bytes_out_per_s: per_s(all.bytes_out),
        ..RoleCost::default()
    }
}
