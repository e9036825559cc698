//! The endpoints of a trial, their zones and regions, and the selectors by which a trial file names them.

use chalksill_world::scenario::Scenario;

use crate::plan::{LinkDelays, Region};

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointKind {
    /// The clients of a zone.
    Clients,
    /// A node.
    Node,
    /// A cache server.
    CacheServer,
    /// The origin service.
    Origin,
    /// A discovery service.
    Discovery,
}

/// One endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoint {
    /// Its kind.
    pub kind: EndpointKind,
    /// Its index among the endpoints of its kind.
    pub number: usize,
    /// The index of its zone.
    pub zone: usize,
}

/// The endpoints that a selector names, in order.
pub type Endpoints = Vec<Endpoint>;

/// Zones and regions, and which endpoints are in them.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the regions.
    pub regions: Vec<String>,
    /// The region of each zone, by index.
    pub region_of: Vec<usize>,
    /// The zone of the origin, by index.
    pub origin_zone: usize,
    nodes: usize,
    cache_servers: usize,
}

impl Topology {
    /// Assigns the endpoints of a scenario to zones. Without regions, all zones are in one region.
    ///
    /// # Errors
    /// The invalid key, and what is wrong with it.
    pub fn new(
        scenario: &Scenario,
        regions: &[Region],
        origin: Option<&str>,
    ) -> Result<Topology, (String, String)> {
        let zones = scenario.zones.clone();
        let zone_index = |name: &str| zones.iter().position(|z| z == name);
        let mut region_of = vec![None; zones.len()];
        for (i, region) in regions.iter().enumerate() {
            let key = format!("region.{i}.zones");
            if regions[..i].iter().any(|r| r.name == region.name) {
                return Err((format!("region.{i}.name"), "two regions of this name".into()));
            }
            for name in &region.zones {
                let Some(zone) = zone_index(name) else {
                    return Err((key, format!("there is no zone {name:?}")));
                };
                if region_of[zone].replace(i).is_some() {
                    return Err((key, format!("{name:?} is in two regions")));
                }
            }
        }
        let single_region = regions.is_empty();
        let mut region_of_zone = Vec::new();
        for (zone, region) in region_of.into_iter().enumerate() {
            let region = region.or(single_region.then_some(0));
            let unassigned = || ("region".to_owned(), format!("no region has the zone {:?}", zones[zone]));
            region_of_zone.push(region.ok_or_else(unassigned)?);
        }
        let region_names = if single_region {
            vec!["all".to_owned()]
        } else {
            regions.iter().map(|r| r.name.clone()).collect()
        };
        if scenario.boxes.count < zones.len() || scenario.nodes.count < zones.len() {
            return Err(("world".into(), "there are fewer boxes or nodes than zones".into()));
        }
        let origin_zone = match origin {
            Some(name) => {
                zone_index(name).ok_or_else(|| ("origin".into(), format!("there is no zone {name:?}")))?
            }
            None => 0,
        };
        let (nodes, cache_servers) = (scenario.nodes.count, scenario.boxes.count);
        Ok(Topology {
            zones,
            regions: region_names,
            region_of: region_of_zone,
            origin_zone,
            nodes,
            cache_servers,
        })
    }

    /// The zone of a node or a cache server: these are assigned to the zones in turn.
    pub fn zone_of(&self, number: usize) -> usize {
        number % self.zones.len()
    }

    /// The zone of a region's discovery service.
    pub fn zone_of_discovery(&self, region: usize) -> usize {
        self.region_of.iter().position(|r| *r == region).unwrap_or(0)
    }

    /// The node of an index.
    pub fn node(&self, number: usize) -> Endpoint {
        Endpoint { kind: EndpointKind::Node, number, zone: self.zone_of(number) }
    }

    /// The cache server of an index; the index behind the last one stands for the origin.
    pub fn server(&self, number: usize) -> Endpoint {
        if number >= self.cache_servers {
            return Endpoint { kind: EndpointKind::Origin, number: 0, zone: self.origin_zone };
        }
        Endpoint { kind: EndpointKind::CacheServer, number, zone: self.zone_of(number) }
    }

    /// All endpoints. The index of a discovery service is that of its region; a single one for all regions has index 0.
    fn all_endpoints(&self) -> Endpoints {
        let endpoint = |kind, number, zone| Endpoint { kind, number, zone };
        let clients = (0..self.zones.len()).map(|z| endpoint(EndpointKind::Clients, z, z));
        let nodes = (0..self.nodes).map(|n| self.node(n));
        let servers = (0..=self.cache_servers).map(|b| self.server(b));
        let discoveries =
            (0..self.regions.len()).map(|r| endpoint(EndpointKind::Discovery, r, self.zone_of_discovery(r)));
        clients.chain(nodes).chain(servers).chain(discoveries).collect()
    }

    /// The endpoints that a selector names: `*`, `node:3`, `box:7` (a cache server), `clients`, `nodes`, `boxes`, `origin`,
    /// `discovery`, a zone or region for all endpoints in it, or a kind in a zone or region: `boxes@ZONE`.
    ///
    /// # Errors
    /// What is wrong with the selector.
    pub fn endpoints(&self, selector: &str) -> Result<Endpoints, String> {
        let kind = |word: &str| match word {
            "clients" => Some(EndpointKind::Clients),
            "nodes" => Some(EndpointKind::Node),
            "boxes" => Some(EndpointKind::CacheServer),
            "origin" => Some(EndpointKind::Origin),
            "discovery" => Some(EndpointKind::Discovery),
            _ => None,
        };
        let (kind_name, place) = match selector.split_once('@') {
            Some((kind_name, place)) => (kind_name, Some(place)),
            None if self.zones.iter().chain(&self.regions).any(|n| n == selector) => ("*", Some(selector)),
            None => (selector, None),
        };
        let is_there = |endpoint: &Endpoint| match place {
            None => true,
            Some(name) => {
                self.zones[endpoint.zone] == name || self.regions[self.region_of[endpoint.zone]] == name
            }
        };
        let numbered = |kind: EndpointKind, number: &str| -> Result<Endpoints, String> {
            let number: usize = number.parse().map_err(|_| format!("{selector:?}: no number"))?;
            let found = self.all_endpoints().into_iter().find(|p| p.kind == kind && p.number == number);
            found.map(|p| vec![p]).ok_or(format!("there is no {selector}"))
        };
        if place.is_some_and(|p| !self.zones.iter().chain(&self.regions).any(|n| n == p)) {
            return Err(format!("{selector:?}: there is no zone or region {:?}", place.unwrap_or_default()));
        }
        match kind_name.split_once(':') {
            Some(("node", number)) => numbered(EndpointKind::Node, number),
            Some(("box", number)) => numbered(EndpointKind::CacheServer, number),
            None if kind_name == "*" => Ok(self.all_endpoints().into_iter().filter(is_there).collect()),
            None if kind(kind_name).is_some() => {
                let matches = |p: &Endpoint| Some(p.kind) == kind(kind_name) && is_there(p);
                Ok(self.all_endpoints().into_iter().filter(matches).collect())
            }
            _ => Err(format!(
                "{selector:?} names no endpoint: *, a zone, a region, nodes, boxes, clients, origin, discovery, each \
                with @PLACE, node:N or box:N"
            )),
        }
    }

    /// The delay between two zones, one way, in milliseconds.
    pub fn delay_ms(&self, delays: &LinkDelays, a: usize, b: usize) -> f64 {
        if a == b {
            delays.zone_ms
        } else if self.region_of[a] == self.region_of[b] {
            delays.region_ms
        } else {
            delays.across_ms
        }
    }
}
