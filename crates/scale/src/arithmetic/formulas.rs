//! Formulas for the cost of control: each maps a fleet to one value, computed from constants of the
//! protocols.

use mothpier_accord::{Ballot, MAX_MESSAGE_BYTES, Message, PlanNumber, Timing};

use crate::target::{DAY_S, TARGET, Target};

/// Factor by which members of the agreement query the leader more often while a zone is in trouble or its
/// keys move (`mothpier_accord::Member::set_urgent`).
const URGENT_QUERY_FACTOR: f64 = 3.0;
/// Size of an operator's order in a message (`mothpier_plan::OrderMessage`).
pub const ORDER_BYTES: f64 = 7.0;
/// Outstanding origin calls that each node may have even if its share of the fleet's limit is smaller.
const MIN_ORIGIN_CALLS_PER_NODE: f64 = 2.0;
/// Outstanding origin calls that the whole fleet may have if the quotas do not result in more.
const MIN_ORIGIN_CALLS_OF_FLEET: f64 = 80.0;
/// Usual duration of an origin call, in seconds, with which the decision module turns quotas into outstanding
/// calls.
const ORIGIN_CALL_S: f64 = 0.1;
/// Origin calls per second that each node may make even if its share of the quotas is smaller.
const MIN_ORIGIN_CALLS_PER_S_PER_NODE: f64 = 30.0;
/// Time after which discovery answers a watch if the list has not changed, in seconds.
const WATCH_TIMEOUT_S: f64 = 2.0;
/// Calls that discovery can answer in a second: those of the stub of `chalksill sim`, which handles them one
/// after another at 1 ms each. The stub of scale runs answers immediately.
pub(super) const DISCOVERY_CALLS_PER_S: f64 = 1_000.0;
/// A central discovery service fails calls that have been queued for this time, in seconds.
pub(super) const DISCOVERY_QUEUE_TIMEOUT_S: f64 = 2.0;
/// Size of an entry of discovery's list in JSON: id, address, zone, machine type, cell, phase, size and start
/// time.
const LIST_ENTRY_BYTES: f64 = 150.0;
/// Changes of the list caused by the restart of a cache server: draining, gone, ready again.
pub(super) const CHANGES_PER_RESTART: f64 = 3.0;
/// Connections of the whole fleet to one cache server that nodes try not to exceed.
pub(super) const INTENDED_CONNECTIONS_PER_SERVER: f64 = 32.0;
/// Descriptors of a node with the default limit, minus those that the process itself uses.
pub(super) const NODE_DESCRIPTORS: f64 = 1_024.0 - 16.0;
/// Share of these descriptors that connections to cache servers may use: three quarters of one half.
pub(super) const SERVER_DESCRIPTOR_SHARE: f64 = 0.5 * 0.75;
/// Peers to which a node sends a message in one round, and peers whose messages it remembers at a time.
const PEERS_PER_ROUND: f64 = 16.0;
const MAX_REMEMBERED_PEERS: f64 = 32.0;
/// Interval between rounds of messages to peers, as a multiple of the longest target latency: four reviews,
/// each an eighth of that latency.
const PEER_ROUND_INTERVAL: f64 = 4.0 / 8.0;
/// Concurrent calls to a cold cache server that each node may make even if its share is smaller.
const MIN_COLD_CALLS_PER_NODE: f64 = 2.0;
/// Share of its capacity that a cold cache server has, and the multiple of that share that it may be sent.
const COLD_CAPACITY_SHARE: f64 = 0.25;
const COLD_RATE_FACTOR: f64 = 1.5;
/// Time whose calls the token bucket for a cold cache server holds, in seconds: half of the default of
/// `fall_after`.
const COLD_BUCKET_S: f64 = 1.0;
/// The Euler-Mascheroni constant.
const EULER_GAMMA: f64 = 0.577_215_664_901_532_9;

/// Returns the same fleet with another number of nodes.
pub fn with_nodes(target: &Target, nodes: f64) -> Target {
    Target { nodes, ..*target }
}

/// Size of a node's evidence about this many zones, or of a plan for them, without orders.
pub fn zones_bytes(zones: f64) -> f64 {
    2.0 + 2.0 * zones
}

/// A plan number as long as they commonly get: timestamps of one day, an incarnation of four bytes.
fn typical_plan_number() -> PlanNumber {
    PlanNumber { term: Ballot { round: 1_000, voter: 6_599, incarnation: u32::MAX }, sequence: 1_000 }
}

const TIMESTAMP_MS: u64 = 86_400_000;

fn encoded_len(message: &Message) -> f64 {
    message.encode().map_or(MAX_MESSAGE_BYTES, |bytes| bytes.len()) as f64
}

/// Bytes that the length field of a payload needs beyond the first.
fn extra_length_bytes(payload: f64) -> f64 {
    f64::from(u8::from(payload >= 128.0))
}

/// Size of a member's query with this much evidence.
pub fn query_bytes(payload: f64) -> f64 {
    let query = Message::Query {
        asked_at: TIMESTAMP_MS,
        incarnation: u32::MAX,
        number: typical_plan_number(),
        evidence: Vec::new(),
    };
    encoded_len(&query) + payload + extra_length_bytes(payload)
}

/// Size of the leader's reply with a plan of this size.
pub fn reply_bytes(payload: f64) -> f64 {
    let lease_left = Timing::default().lease;
    let reply = Message::Reply {
        asked_at: TIMESTAMP_MS,
        incarnation: u32::MAX,
        number: typical_plan_number(),
        lease_left,
        plan: Vec::new(),
    };
    encoded_len(&reply) + payload + extra_length_bytes(payload)
}

fn queries_per_s() -> f64 {
    1_000.0 / Timing::default().query_interval as f64
}

/// Messages per second at the agreement's leader in normal operation, in both directions: one query and one
/// reply for each other member.
pub fn leader_messages(fleet: &Target) -> f64 {
    2.0 * queries_per_s() * (fleet.nodes - 1.0)
}

/// Like [`leader_messages`] while a zone is in trouble or its keys move.
pub fn leader_messages_urgent(fleet: &Target) -> f64 {
    URGENT_QUERY_FACTOR * leader_messages(fleet)
}

fn exchange_bytes(fleet: &Target) -> f64 {
    let payload = zones_bytes(fleet.zones);
    query_bytes(payload) + reply_bytes(payload)
}

/// Bytes per second at the agreement's leader in normal operation, in both directions.
pub fn leader_bytes(fleet: &Target) -> f64 {
    queries_per_s() * exchange_bytes(fleet) * (fleet.nodes - 1.0)
}

/// Like [`leader_bytes`] while a zone is in trouble or its keys move.
pub fn leader_bytes_urgent(fleet: &Target) -> f64 {
    URGENT_QUERY_FACTOR * leader_bytes(fleet)
}

/// Bytes per second at a follower in normal operation, in both directions.
pub fn follower_bytes(fleet: &Target) -> f64 {
    queries_per_s() * exchange_bytes(fleet)
}

/// Like [`follower_bytes`] while a zone is in trouble or its keys move.
pub fn follower_bytes_urgent(fleet: &Target) -> f64 {
    URGENT_QUERY_FACTOR * follower_bytes(fleet)
}

/// Size of a reply whose plan has an operator's order for each zone.
pub fn reply_bytes_with_orders(fleet: &Target) -> f64 {
    reply_bytes(zones_bytes(fleet.zones) + ORDER_BYTES * fleet.zones)
}

/// Zones that the agreement has to distinguish.
pub fn zones(fleet: &Target) -> f64 {
    fleet.zones
}

/// Discovery calls per second in normal operation: one for each node when its watch times out.
pub fn discovery_calls(fleet: &Target) -> f64 {
    fleet.nodes / WATCH_TIMEOUT_S
}

/// Seconds that discovery needs to answer all watches if they are reopened at the same time.
pub fn discovery_restart_s(fleet: &Target) -> f64 {
    fleet.nodes / DISCOVERY_CALLS_PER_S
}

/// Bytes that discovery sends if all watches request the full list.
pub fn discovery_restart_bytes(fleet: &Target) -> f64 {
    fleet.nodes * list_bytes(fleet)
}

/// Size of the full list.
pub fn list_bytes(fleet: &Target) -> f64 {
    fleet.cache_servers * LIST_ENTRY_BYTES
}

/// Changes of the list per second, caused by restarts and replacements of cache servers, whose share of all
/// restarts is their share of the target's machines.
pub fn list_changes(fleet: &Target) -> f64 {
    let share = TARGET.cache_servers / (TARGET.cache_servers + TARGET.nodes);
    CHANGES_PER_RESTART * share * fleet.restarts_per_day / DAY_S
}

/// Discovery replies per second caused by these changes: each change ends every watch.
pub fn discovery_change_answers(fleet: &Target) -> f64 {
    list_changes(fleet) * fleet.nodes
}

/// Outstanding origin calls that the per-node minimums add up to.
pub fn origin_outstanding(fleet: &Target) -> f64 {
    (MIN_ORIGIN_CALLS_PER_NODE * fleet.nodes).max(MIN_ORIGIN_CALLS_OF_FLEET)
}

/// Outstanding origin calls that the fleet may have if the quotas are below 800 requests per second.
pub fn origin_outstanding_bound(_: &Target) -> f64 {
    MIN_ORIGIN_CALLS_OF_FLEET
}

/// Total quota, in requests per second, below which the nodes' limits add up to more than the fleet may have.
pub fn quotas_for_outstanding(fleet: &Target) -> f64 {
    MIN_ORIGIN_CALLS_PER_NODE * fleet.nodes / ORIGIN_CALL_S
}

/// Outstanding origin calls that the fleet may have if the quotas equal the peak load.
pub fn origin_outstanding_at_peak(fleet: &Target) -> f64 {
    fleet.requests_per_s * ORIGIN_CALL_S
}

/// Origin calls per second that the per-node minimums add up to. The nodes do not enforce quotas below this
/// rate.
pub fn origin_rate(fleet: &Target) -> f64 {
    MIN_ORIGIN_CALLS_PER_S_PER_NODE * fleet.nodes
}

/// Concurrent calls to a cold cache server that the per-node minimums add up to.
pub fn cold_calls(fleet: &Target) -> f64 {
    MIN_COLD_CALLS_PER_NODE * fleet.nodes
}

/// Calls that a cold cache server may be sent within the time of a token bucket, at the peak.
pub fn cold_calls_bound(fleet: &Target) -> f64 {
    COLD_RATE_FACTOR * COLD_CAPACITY_SHARE * requests_per_server(fleet) * COLD_BUCKET_S
}

/// Connections to a cache server if every node has one.
pub fn connections_per_server(fleet: &Target) -> f64 {
    fleet.nodes
}

/// Connections to a cache server if only nodes of its region have one.
pub fn connections_per_server_of_region(fleet: &Target) -> f64 {
    fleet.nodes / fleet.regions
}

/// Connections of a node if it has one to each cache server.
pub fn connections_per_node(fleet: &Target) -> f64 {
    fleet.cache_servers
}

/// Connections between all nodes and all cache servers.
pub fn connections(fleet: &Target) -> f64 {
    fleet.nodes * fleet.cache_servers
}

/// Requests per second of a node.
pub fn requests_per_node(fleet: &Target) -> f64 {
    fleet.requests_per_s / fleet.nodes
}

/// Requests per second of a cache server.
pub fn requests_per_server(fleet: &Target) -> f64 {
    fleet.requests_per_s / fleet.cache_servers
}

/// Bits per second that a node sends to clients; it receives as many from cache servers.
pub fn bits_per_node(fleet: &Target) -> f64 {
    fleet.bits_per_s / fleet.nodes
}

/// Bits per second of a cache server.
pub fn bits_per_server(fleet: &Target) -> f64 {
    fleet.bits_per_s / fleet.cache_servers
}

/// Mean size of a response.
pub fn answer_bytes(fleet: &Target) -> f64 {
    fleet.bits_per_s / 8.0 / fleet.requests_per_s
}

/// Objects stored on each cache server if each region has its own copy of all objects.
pub fn objects_per_server(fleet: &Target) -> f64 {
    fleet.objects * fleet.regions / fleet.cache_servers
}

/// Share of requests for the most popular `share` of a region's objects if popularity follows Zipf's law with
/// exponent 1. The harmonic sums are approximated by `ln n` plus the Euler-Mascheroni constant.
pub fn zipf_share(objects: f64, share: f64) -> f64 {
    ((share * objects).ln() + EULER_GAMMA) / (objects.ln() + EULER_GAMMA)
}

/// Share of requests for the most popular tenth of the objects.
pub fn hit_share_of_top_tenth(fleet: &Target) -> f64 {
    zipf_share(fleet.objects, 0.1)
}

/// Hit share from which on misses stay within the nodes' minimum limits of origin calls per second.
pub fn hit_share_within_origin_limits(fleet: &Target) -> f64 {
    1.0 - origin_rate(fleet) / fleet.requests_per_s
}

/// Messages per second if each cache server is notified of each purge.
pub fn purge_messages(fleet: &Target) -> f64 {
    fleet.purges_per_s * fleet.cache_servers
}

/// Purges in progress at a time if each takes the whole permitted time.
pub fn purges_in_progress(fleet: &Target) -> f64 {
    fleet.purges_per_s * fleet.purge_within_s
}

/// Messages per second if every node is notified of each change of settings.
pub fn settings_change_messages(fleet: &Target) -> f64 {
    fleet.settings_per_day / DAY_S * fleet.nodes
}

/// Seconds between two changes of settings.
pub fn settings_change_interval_s(fleet: &Target) -> f64 {
    DAY_S / fleet.settings_per_day
}

/// Changes of settings in progress at a time if each takes the whole permitted time.
pub fn settings_changes_in_progress(fleet: &Target) -> f64 {
    fleet.settings_per_day / DAY_S * fleet.settings_within_s
}

/// Peers of which a node remembers recent messages.
pub fn remembered_peers(fleet: &Target) -> f64 {
    MAX_REMEMBERED_PEERS.min(fleet.nodes - 1.0)
}

/// Bytes per second of messages between peers, in both directions, if they have the maximum size and the
/// longest target latency is one second.
pub fn peer_bytes(fleet: &Target) -> f64 {
    2.0 * PEERS_PER_ROUND.min(fleet.nodes - 1.0) / PEER_ROUND_INTERVAL * MAX_MESSAGE_BYTES as f64
}

/// Seconds between two restarts of machines.
pub fn restart_interval_s(fleet: &Target) -> f64 {
    DAY_S / fleet.restarts_per_day
}

/// Nodes per zone.
pub fn nodes_per_zone(fleet: &Target) -> f64 {
    fleet.nodes / fleet.zones
}

/// Nodes per site.
pub fn nodes_per_site(fleet: &Target) -> f64 {
    fleet.nodes / fleet.sites
}

/// Cache servers per zone.
pub fn servers_per_zone(fleet: &Target) -> f64 {
    fleet.cache_servers / fleet.zones
}

/// Messages per second sent by the nodes of a region that cannot reach the leader: each queries a voter with
/// the urgent rate, and asks another voter to relay its query.
pub fn partitioned_region_messages(fleet: &Target) -> f64 {
    2.0 * URGENT_QUERY_FACTOR * queries_per_s() * fleet.nodes / fleet.regions
}

/// Messages per second at a voter that relays all queries of a region that cannot reach the leader: a query
/// and a reply, each received and sent.
pub fn relay_messages(fleet: &Target) -> f64 {
    4.0 * URGENT_QUERY_FACTOR * queries_per_s() * fleet.nodes / fleet.regions
}

/// Seconds until a new leader is elected after the leader has died: voters keep their grant until it expires,
/// and the slowest checks again after that.
pub fn leader_change_s() -> f64 {
    let timing = Timing::default();
    (timing.grant + timing.grant / 2 + 2 * timing.query_interval) as f64 / 1_000.0
}

/// Seconds for which a follower that receives no messages continues to use its plan.
pub fn plan_validity_s() -> f64 {
    Timing::default().plan_validity as f64 / 1_000.0
}

/// Bytes of full lists that nodes fetch per day after their restarts.
pub fn restart_bytes_per_day(fleet: &Target) -> f64 {
    let nodes = TARGET.nodes / (TARGET.cache_servers + TARGET.nodes);
    fleet.restarts_per_day * nodes * list_bytes(fleet)
}
