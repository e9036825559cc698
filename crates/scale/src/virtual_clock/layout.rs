//! Where the machines of a simulated fleet stand: addresses, zones and regions.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::record::FleetSize;

/// Hosts of one /24 network: its addresses end in 1 to 250.
const HOSTS: usize = 250;
/// Where clients reach a node, and nodes reach a cache server or the origin.
pub const DATA_PORT: u16 = 6379;
/// Where nodes hear their peers.
pub const PEER_PORT: u16 = 7946;
/// Where staff reach a node.
const STAFF_PORT: u16 = 9000;
/// Where discovery is.
pub const DISCOVERY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 3, 0, 1)), 8500);
/// The machine of all clients.
pub const CLIENTS: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 4, 0, 1));

fn address(network: u8, number: usize) -> IpAddr {
    let (high, low) = (number / HOSTS, number % HOSTS + 1);
    IpAddr::V4(Ipv4Addr::new(10, network, high as u8, low as u8))
}

/// The machine of a node.
pub fn node_ip(node: usize) -> IpAddr {
    address(1, node)
}

/// The machine of a cache server, or of the origin, whose number is the next after theirs.
pub fn cache_ip(number: usize) -> IpAddr {
    address(2, number)
}

/// The number of the node that an address belongs to.
pub fn node_of(from: SocketAddr) -> usize {
    match from.ip() {
        IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(high) * HOSTS + usize::from(low).saturating_sub(1)
        }
        IpAddr::V6(_) => 0,
    }
}

/// Where a node's peers reach it.
pub fn peer_address(node: usize) -> SocketAddr {
    SocketAddr::new(node_ip(node), PEER_PORT)
}

/// Where staff reach a node.
pub fn staff_address(node: usize) -> SocketAddr {
    SocketAddr::new(node_ip(node), STAFF_PORT)
}

/// Which zone and region each machine of a fleet is in.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    size: FleetSize,
    /// Nodes know regions, not zones, as their zones.
    by_region: bool,
}

impl Layout {
    /// The layout of a fleet. Where nodes agree on zones and there are more than an agreement can hold, the nodes' settings
    /// name the regions as their zones.
    pub fn new(size: FleetSize, agreement: bool) -> Layout {
        Layout { size, by_region: agreement && size.zones as usize > mothpier_plan::MOST_ZONES }
    }

    /// The zone of a node, which is that of its site.
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

    /// The zones of a region, as the simulated network numbers them.
    pub fn zones_of(&self, region: usize) -> Vec<u8> {
        let zones = 0..self.size.zones as usize;
        zones.filter(|zone| self.region(*zone) == region).map(|zone| zone as u8).collect()
    }

    /// The zones that the nodes' settings name.
    pub fn settings_zones(&self) -> Vec<String> {
        match self.by_region {
            true => (0..self.size.regions).map(|region| format!("region-{region}")).collect(),
            false => (0..self.size.zones).map(|zone| format!("zone-{zone}")).collect(),
        }
    }

    /// The place among the settings' zones of a zone.
    pub fn settings_zone(&self, zone: usize) -> usize {
        if self.by_region { self.region(zone) } else { zone }
    }

    /// Who votes: five nodes, or fewer of a small fleet, in zones that lie as far apart as can be.
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
