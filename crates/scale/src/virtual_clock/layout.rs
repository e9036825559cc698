//! Addresses, zones and regions of the machines of a simulated fleet.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::record::FleetSize;

/// Hosts of one /24 network: their addresses end in 1 to 250.
const HOSTS_PER_NETWORK: usize = 250;
/// Port of nodes for clients, and of cache servers and the origin for nodes.
pub const DATA_PORT: u16 = 6379;
/// Port of nodes for messages of their peers.
pub const PEER_PORT: u16 = 7946;
/// Port of a node's operations endpoint.
const OPS_PORT: u16 = 9000;
/// Address of discovery.
pub const DISCOVERY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 3, 0, 1)), 8500);
/// Address of all clients.
pub const CLIENTS: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 4, 0, 1));

fn address(network: u8, number: usize) -> IpAddr {
    let (high, low) = (number / HOSTS_PER_NETWORK, number % HOSTS_PER_NETWORK + 1);
    IpAddr::V4(Ipv4Addr::new(10, network, high as u8, low as u8))
}

/// The address of a node.
pub fn node_ip(node: usize) -> IpAddr {
    address(1, node)
}

/// The address of a cache server, or of the origin, whose number follows those of the cache servers.
pub fn cache_ip(number: usize) -> IpAddr {
    address(2, number)
}

/// The number of the node with this address.
pub fn node_number(from: SocketAddr) -> usize {
    match from.ip() {
        IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(high) * HOSTS_PER_NETWORK + usize::from(low).saturating_sub(1)
        }
        IpAddr::V6(_) => 0,
    }
}

/// The address at which a node receives messages of its peers.
pub fn peer_address(node: usize) -> SocketAddr {
    SocketAddr::new(node_ip(node), PEER_PORT)
}

/// The address of a node's operations endpoint.
pub fn ops_address(node: usize) -> SocketAddr {
    SocketAddr::new(node_ip(node), OPS_PORT)
}

/// The zone and region of each machine of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    size: FleetSize,
    /// The nodes' settings name regions as their zones.
    by_region: bool,
}

impl Layout {
    /// The layout of a fleet. If the nodes agree on zones and there are more zones than an agreement
    /// supports, the nodes' settings name the regions as their zones.
    pub fn new(size: FleetSize, agreement: bool) -> Layout {
        Layout { size, by_region: agreement && size.zones as usize > mothpier_plan::MOST_ZONES }
    }

    /// The zone of a node, which is the zone of its site.
    pub fn node_zone(&self, node: usize) -> usize {
        node % self.size.sites as usize % self.size.zones as usize
    }

    /// The zone of a cache server.
    pub fn cache_zone(&self, number: usize) -> usize {
        number % self.size.zones as usize
    }

    /// The region of a zone.
    pub fn region(&self, zone: usize) -> usize {
        zone * self.size.regions as usize / self.size.zones as usize
    }

    /// The zones of a region, as numbered by the simulated network.
    pub fn zones_of(&self, region: usize) -> Vec<u8> {
        let zones = 0..self.size.zones as usize;
        zones.filter(|zone| self.region(*zone) == region).map(|zone| zone as u8).collect()
    }

    /// The zones in the nodes' settings.
    pub fn settings_zones(&self) -> Vec<String> {
        match self.by_region {
            true => (0..self.size.regions).map(|region| format!("region-{region}")).collect(),
            false => (0..self.size.zones).map(|zone| format!("zone-{zone}")).collect(),
        }
    }

    /// The index of a zone among those of the nodes' settings.
    pub fn settings_zone(&self, zone: usize) -> usize {
        if self.by_region { self.region(zone) } else { zone }
    }

    /// The voters of the agreement: five nodes, fewer in a small fleet, in zones as far apart as possible.
    pub fn voters(&self) -> Vec<usize> {
        let zones = self.size.zones as usize;
        let voters = match self.size.nodes {
            0..=2 => 1,
            3..=4 => 3,
            _ => 5,
        };
        (0..voters).map(|voter| if zones < voters { voter } else { voter * zones / voters }).collect()
    }
}
