//! Rows of the capacity page that are computed: a formula, its bound, and the size from which on the bound is
//! exceeded.

use mothpier_accord::MAX_MESSAGE_BYTES;
use mothpier_plan::MOST_ZONES;

use super::formulas::*;
use crate::target::{TARGET, Target};

fn budget_bytes_per_s(fleet: &Target) -> f64 {
    fleet.budget.bytes_per_s
}

fn max_zones(_: &Target) -> f64 {
    MOST_ZONES as f64
}

fn max_message_bytes(_: &Target) -> f64 {
    MAX_MESSAGE_BYTES as f64
}

fn discovery_capacity(_: &Target) -> f64 {
    DISCOVERY_CALLS_PER_S
}

fn discovery_queue_timeout_s(_: &Target) -> f64 {
    DISCOVERY_QUEUE_TIMEOUT_S
}

fn intended_connections_per_server(_: &Target) -> f64 {
    INTENDED_CONNECTIONS_PER_SERVER
}

fn server_descriptors(_: &Target) -> f64 {
    NODE_DESCRIPTORS * SERVER_DESCRIPTOR_SHARE
}

/// What defines a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BoundKind {
    /// A rule or limit of the design. If it is exceeded, something does not work or a guarantee is broken.
    Design,
    /// What control may cost a node.
    Budget,
    /// A limit of a stub; the limit of the real service is unknown.
    Stub,
}

impl BoundKind {
    /// The name of this kind on the capacity page.
    pub fn label(self) -> &'static str {
        match self {
            BoundKind::Design => "design",
            BoundKind::Budget => "budget",
            BoundKind::Stub => "stand-in",
        }
    }
}

/// The maximum of a value.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// The maximum in a given fleet.
    pub max: fn(&Target) -> f64,
    /// What defines it.
    pub kind: BoundKind,
}

/// One computed row of the capacity page.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The role that bears the cost.
    pub role: &'static str,
    /// The quantity, with its unit.
    pub quantity: &'static str,
    /// The value in a given fleet.
    pub value: fn(&Target) -> f64,
    /// The maximum, if there is one.
    pub bound: Option<Bound>,
    /// The type of the code that implements it.
    pub mechanism: &'static str,
}

/// The number of nodes from which on a row's bound is exceeded, everything else being at the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Exceedance {
    /// Not up to the target.
    Never,
    /// With any number of nodes.
    Always,
    /// From this number of nodes on.
    From(f64),
}

impl Row {
    fn exceeds(&self, nodes: f64) -> bool {
        let fleet = with_nodes(&TARGET, nodes);
        self.bound.is_some_and(|bound| (self.value)(&fleet) > (bound.max)(&fleet))
    }

    /// Finds the number of nodes from which on the bound is exceeded, by bisection. The value must not fall
    /// as the number of nodes grows.
    pub fn exceedance(&self) -> Exceedance {
        let (mut within, mut beyond) = (1, TARGET.nodes as u32);
        if self.exceeds(f64::from(within)) {
            return Exceedance::Always;
        }
        if !self.exceeds(f64::from(beyond)) {
            return Exceedance::Never;
        }
        while beyond - within > 1 {
            let middle = u32::midpoint(within, beyond);
            if self.exceeds(f64::from(middle)) { beyond = middle } else { within = middle }
        }
        Exceedance::From(f64::from(beyond))
    }
}

const fn bound(max: fn(&Target) -> f64, kind: BoundKind) -> Option<Bound> {
    Some(Bound { max, kind })
}

const fn row(
    role: &'static str,
    quantity: &'static str,
    value: fn(&Target) -> f64,
    bound: Option<Bound>,
    mechanism: &'static str,
) -> Row {
    Row { role, quantity, value, bound, mechanism }
}

const MEMBER: &str = "`mothpier_accord::Member`";
const WATCH: &str = "`node::discovery::run`";
const GATE: &str = "`brassrouter::state::Gate`";
const PEERS: &str = "`brassrouter::state::Peers`, `node::peers::Peers`";
const SERVERS: &str = "`node::servers::Servers`";
const NONE: &str = "none";

/// Cost of control, by role.
pub const CONTROL_ROWS: &[Row] = &[
    row(
        "node",
        "bytes/s of the agreement, calm",
        follower_bytes,
        bound(budget_bytes_per_s, BoundKind::Budget),
        MEMBER,
    ),
    row(
        "node",
        "bytes/s of the agreement, a zone moves",
        follower_bytes_urgent,
        bound(budget_bytes_per_s, BoundKind::Budget),
        MEMBER,
    ),
    row(
        "node",
        "bytes/s between peers, longest messages, aim of 1 s",
        peer_bytes,
        bound(budget_bytes_per_s, BoundKind::Budget),
        PEERS,
    ),
    row("node", "peers heard of lately, of all others", remembered_peers, None, PEERS),
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
        bound(intended_connections_per_server, BoundKind::Design),
        SERVERS,
    ),
    row(
        "cache server",
        "connections, nodes of its region alone",
        connections_per_server_of_region,
        bound(intended_connections_per_server, BoundKind::Design),
        "`mothpier_places::LocalitySteering`",
    ),
    row(
        "cache server",
        "calls at once while cold, as nodes' buckets allow",
        cold_calls,
        bound(cold_calls_bound, BoundKind::Design),
        "`Policy::slow_start_bucket`",
    ),
    row("discovery", "calls/s, calm", discovery_calls, bound(discovery_capacity, BoundKind::Stub), WATCH),
    row(
        "discovery",
        "answers/s because cache servers restart",
        discovery_change_answers,
        bound(discovery_capacity, BoundKind::Stub),
        WATCH,
    ),
    row(
        "discovery",
        "seconds of waiting after its restart",
        discovery_restart_s,
        bound(discovery_queue_timeout_s, BoundKind::Stub),
        WATCH,
    ),
    row("discovery", "bytes after its restart, whole lists", discovery_restart_bytes, None, WATCH),
    row("leader", "messages/s, calm", leader_messages, None, MEMBER),
    row("leader", "messages/s, a zone moves", leader_messages_urgent, None, MEMBER),
    row("leader", "bytes/s, calm", leader_bytes, bound(budget_bytes_per_s, BoundKind::Budget), MEMBER),
    row(
        "leader",
        "bytes/s, a zone moves",
        leader_bytes_urgent,
        bound(budget_bytes_per_s, BoundKind::Budget),
        MEMBER,
    ),
    row(
        "leader",
        "zones to tell apart",
        zones,
        bound(max_zones, BoundKind::Design),
        "`mothpier_plan::MOST_ZONES`",
    ),
    row(
        "leader",
        "bytes of an answer, an order for each zone",
        reply_bytes_with_orders,
        bound(max_message_bytes, BoundKind::Design),
        "`mothpier_accord::Message`",
    ),
    row(
        "voter",
        "messages/s to pass on while one region has no way to the leader",
        relay_messages,
        None,
        "`Member::handle_relay`",
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
    row("settings", "messages/s, one to each node for each change", settings_change_messages, None, NONE),
    row(
        "settings",
        "seconds between two changes, each a restart of every node",
        settings_change_interval_s,
        None,
        "`mothpier::handover`",
    ),
    row("settings", "changes under way at a time", settings_changes_in_progress, None, NONE),
    row("purges", "messages/s, one to each cache server for each purge", purge_messages, None, NONE),
    row("purges", "purges under way at a time", purges_in_progress, None, NONE),
];

/// Requests, bytes, objects, and what the failures of a day affect.
pub const LOAD_ROWS: &[Row] = &[
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
    row(
        "keys",
        "objects of a cache server, each region a copy",
        objects_per_server,
        None,
        "`Policy::pick_server`",
    ),
    row(
        "keys",
        "hit share of the tenth most asked for, Zipf's exponent 1",
        hit_share_of_top_tenth,
        None,
        "`Policy::pick_server`",
    ),
    row("keys", "hit share from which misses fit the tallies", hit_share_within_origin_limits, None, GATE),
    row("failures", "seconds between two restarts of machines", restart_interval_s, None, WATCH),
    row("failures", "changes/s of the list that restarts make", list_changes, None, WATCH),
    row("failures", "nodes of a site", nodes_per_site, None, NONE),
    row("failures", "nodes of a zone", nodes_per_zone, None, MEMBER),
    row("failures", "cache servers of a zone", servers_per_zone, None, MEMBER),
    row(
        "failures",
        "messages/s of a region that has no way to the leader",
        partitioned_region_messages,
        None,
        MEMBER,
    ),
];
