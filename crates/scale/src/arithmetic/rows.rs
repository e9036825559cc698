//! The rows of the capacity page by arithmetic: a formula, its bound, and where the bound is passed.

use mothpier_accord::MAX_MESSAGE_BYTES;
use mothpier_plan::MOST_ZONES;

use super::formulas::*;
use crate::target::{TARGET, Target};

fn budget_bytes(fleet: &Target) -> f64 {
    fleet.budget.bytes_per_s
}

fn most_zones(_: &Target) -> f64 {
    MOST_ZONES as f64
}

fn most_message(_: &Target) -> f64 {
    MAX_MESSAGE_BYTES as f64
}

fn discovery_capacity(_: &Target) -> f64 {
    DISCOVERY_CALLS_PER_S
}

fn discovery_turn(_: &Target) -> f64 {
    DISCOVERY_TURN_S
}

fn tier_connections(_: &Target) -> f64 {
    TIER_CONNECTIONS
}

fn server_descriptors(_: &Target) -> f64 {
    DESCRIPTORS * SERVER_DESCRIPTORS
}

/// The kind of a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BoundKind {
    /// A rule or limit of the design: passed, something does not work or a promise is not kept.
    Design,
    /// What control may cost a node.
    Budget,
    /// A figure of a stand-in: of the real service none is known.
    StandIn,
}

impl BoundKind {
    /// A few words.
    pub fn words(self) -> &'static str {
        match self {
            BoundKind::Design => "design",
            BoundKind::Budget => "budget",
            BoundKind::StandIn => "stand-in",
        }
    }
}

/// What a figure may be at the most.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// The limit.
    pub most: fn(&Target) -> f64,
    /// Its kind.
    pub kind: BoundKind,
}

/// One figure of the page by arithmetic.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Whose.
    pub role: &'static str,
    /// What, with its unit.
    pub what: &'static str,
    /// The figure of a fleet.
    pub value: fn(&Target) -> f64,
    /// Its bound, where it has one.
    pub bound: Option<Bound>,
    /// The type in the code that carries it.
    pub mechanism: &'static str,
}

/// The nodes from which on a row's bound is passed while all else is at the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Passed {
    /// Not up to the target.
    Never,
    /// Whatever the number of nodes.
    Always,
    /// From so many nodes on.
    From(f64),
}

impl Row {
    fn exceeds(&self, nodes: f64) -> bool {
        let fleet = with_nodes(&TARGET, nodes);
        self.bound.is_some_and(|bound| (self.value)(&fleet) > (bound.most)(&fleet))
    }

    /// Where its bound is passed; its figure must not fall with the nodes.
    pub fn passed(&self) -> Passed {
        let (mut within, mut beyond) = (1, TARGET.nodes as u32);
        if self.exceeds(f64::from(within)) {
            return Passed::Always;
        }
        if !self.exceeds(f64::from(beyond)) {
            return Passed::Never;
        }
        while beyond - within > 1 {
            let middle = u32::midpoint(within, beyond);
            if self.exceeds(f64::from(middle)) { beyond = middle } else { within = middle }
        }
        Passed::From(f64::from(beyond))
    }
}

const fn bound(most: fn(&Target) -> f64, kind: BoundKind) -> Option<Bound> {
    Some(Bound { most, kind })
}

const fn row(
    role: &'static str,
    what: &'static str,
    value: fn(&Target) -> f64,
    bound: Option<Bound>,
    mechanism: &'static str,
) -> Row {
    Row { role, what, value, bound, mechanism }
}

const MEMBER: &str = "`mothpier_accord::Member`";
const WATCH: &str = "`node::discovery::run`";
const GATE: &str = "`brassrouter::state::Gate`";
const PEERS: &str = "`brassrouter::state::Peers`, `node::peers::Peers`";
const SERVERS: &str = "`node::servers::Servers`";
const NONE: &str = "none";

/// Control, by role.
pub const CONTROL: &[Row] = &[
    row(
        "node",
        "bytes/s of the agreement, calm",
        follower_bytes,
        bound(budget_bytes, BoundKind::Budget),
        MEMBER,
    ),
    row(
        "node",
        "bytes/s of the agreement, a zone moves",
        follower_bytes_hurried,
        bound(budget_bytes, BoundKind::Budget),
        MEMBER,
    ),
    row(
        "node",
        "bytes/s between peers, longest messages, aim of 1 s",
        peer_bytes,
        bound(budget_bytes, BoundKind::Budget),
        PEERS,
    ),
    row("node", "peers heard of lately, of all others", peers_heard, None, PEERS),
    row(
        "node",
        "connections to cache servers, one each, where the node may have 1,024 sockets",
        connections_per_node,
        bound(server_descriptors, BoundKind::Design),
        SERVERS,
    ),
    row("node", "bytes of the whole list", list_bytes, None, WATCH),
    row(
        "cache server",
        "connections, one of each node (32 of the whole tier are aimed at)",
        connections_per_server,
        bound(tier_connections, BoundKind::Design),
        SERVERS,
    ),
    row(
        "cache server",
        "connections, nodes of its region alone",
        connections_per_server_of_region,
        bound(tier_connections, BoundKind::Design),
        "`mothpier_places::Near`",
    ),
    row(
        "cache server",
        "calls at once while cold, as nodes' buckets allow",
        cold_calls,
        bound(cold_calls_bound, BoundKind::Design),
        "`Policy::cold_bucket`",
    ),
    row("discovery", "calls/s, calm", discovery_calls, bound(discovery_capacity, BoundKind::StandIn), WATCH),
    row(
        "discovery",
        "answers/s because cache servers restart",
        discovery_change_answers,
        bound(discovery_capacity, BoundKind::StandIn),
        WATCH,
    ),
    row(
        "discovery",
        "seconds of waiting after its restart",
        discovery_restart_s,
        bound(discovery_turn, BoundKind::StandIn),
        WATCH,
    ),
    row("discovery", "bytes after its restart, whole lists", discovery_restart_bytes, None, WATCH),
    row("leader", "messages/s, calm", leader_messages, None, MEMBER),
    row("leader", "messages/s, a zone moves", leader_messages_hurried, None, MEMBER),
    row("leader", "bytes/s, calm", leader_bytes, bound(budget_bytes, BoundKind::Budget), MEMBER),
    row(
        "leader",
        "bytes/s, a zone moves",
        leader_bytes_hurried,
        bound(budget_bytes, BoundKind::Budget),
        MEMBER,
    ),
    row(
        "leader",
        "zones to tell apart",
        zones,
        bound(most_zones, BoundKind::Design),
        "`mothpier_plan::MOST_ZONES`",
    ),
    row(
        "leader",
        "bytes of an answer, an order for each zone",
        told_bytes_with_orders,
        bound(most_message, BoundKind::Design),
        "`mothpier_accord::Message`",
    ),
    row(
        "voter",
        "messages/s to pass on while one region has no way to the leader",
        pass_messages,
        None,
        "`Member::pass`",
    ),
    row(
        "origin's allowance",
        "calls out that nodes' limits add up to",
        origin_outstanding,
        bound(origin_outstanding_bound, BoundKind::Design),
        GATE,
    ),
    row(
        "origin's allowance",
        "quotas, requests/s, below which that is more than all may have",
        quotas_for_outstanding,
        None,
        GATE,
    ),
    row(
        "origin's allowance",
        "calls out that all may have, quotas as high as the peak",
        origin_outstanding_at_peak,
        None,
        GATE,
    ),
    row("origin's allowance", "calls/s that nodes' tallies add up to", origin_rate, None, GATE),
    row("settings", "messages/s, one to each node for each change", settings_messages, None, NONE),
    row(
        "settings",
        "seconds between two changes, each a restart of every node",
        settings_every_s,
        None,
        "`mothpier::handover`",
    ),
    row("settings", "changes under way at a time", settings_under_way, None, NONE),
    row("purges", "messages/s, one to each cache server for each purge", purge_messages, None, NONE),
    row("purges", "purges under way at a time", purges_under_way, None, NONE),
];

/// Requests, bytes and objects, and what a day's failures touch.
pub const LOAD: &[Row] = &[
    row("requests", "requests/s of a node", requests_per_node, None, "`node::clients`"),
    row(
        "requests",
        "requests/s of a cache server, all of them asked there",
        requests_per_server,
        None,
        SERVERS,
    ),
    row("requests", "bits/s of a node to clients", bits_per_node, None, "`node::clients`"),
    row("requests", "bits/s of a cache server", bits_per_server, None, SERVERS),
    row("requests", "bytes of an answer in the mean", answer_bytes, None, SERVERS),
    row("requests", "connections of all nodes to all cache servers", connections, None, SERVERS),
    row("keys", "objects of a cache server, each region a copy", objects_per_server, None, "`Policy::pick`"),
    row(
        "keys",
        "hit share of the tenth most asked for, Zipf's exponent 1",
        hit_share_of_tenth,
        None,
        "`Policy::pick`",
    ),
    row("keys", "hit share from which misses fit the tallies", hit_share_for_origin, None, GATE),
    row("failures", "seconds between two restarts of machines", restart_every_s, None, WATCH),
    row("failures", "changes/s of the list that restarts make", list_changes, None, WATCH),
    row("failures", "nodes of a site", nodes_per_site, None, NONE),
    row("failures", "nodes of a zone", nodes_per_zone, None, MEMBER),
    row("failures", "cache servers of a zone", servers_per_zone, None, MEMBER),
    row("failures", "messages/s of a region that has no way to the leader", apart_messages, None, MEMBER),
];
