//! Formulas: each is a function of the fleet and tells one figure, worked out from the constants of the protocols.

use mothpier_accord::{Ballot, MAX_MESSAGE_BYTES, Message, PlanNumber, Timing};

use crate::target::{DAY_S, TARGET, Target};

/// Times as often as in calm a member of the agreement asks its leader while a zone is in trouble or moves (`Member::hurries`).
const HURRY: f64 = 3.0;
/// Bytes of an order of staff in a message (`mothpier_plan::OrderMessage`).
pub const ORDER_BYTES: f64 = 7.0;
/// Calls out at the origin that each node may have at the least (`Policy::new`).
const LEAST_OUT: f64 = 2.0;
/// Calls out at the origin that all may have together where quotas name no more (`GATE_OUT`).
const ALL_OUT: f64 = 80.0;
/// A call at the origin usually takes this long, in seconds (`GATE_OUT`).
const ORIGIN_CALL_S: f64 = 0.1;
/// Calls a second at the origin that each node may make at the least (`GATE_RATE`).
const LEAST_ORIGIN_RATE: f64 = 30.0;
/// A watch of discovery is answered after this many seconds where nothing changes (`discovery::WAIT`).
const WATCH_S: f64 = 2.0;
/// Calls that discovery can answer in a second: those of the stand-in of `chalksill sim`, which takes them in turn at 1 ms each. The
/// stand-in of scale runs answers at once.
pub(super) const DISCOVERY_CALLS_PER_S: f64 = 1_000.0;
/// A service for all nodes fails a call that has waited for its turn for so many seconds (`discovery::SERVICE_LATE`).
pub(super) const DISCOVERY_TURN_S: f64 = 2.0;
/// A line of discovery's list in JSON, in bytes: an id, an address, a place, a kind, a cell, a phase, a size and a start.
const LINE_BYTES: f64 = 150.0;
/// Changes of the list that the restart of a cache server makes: it drains, goes, and is ready again.
pub(super) const CHANGES_PER_RESTART: f64 = 3.0;
/// Connections of the whole tier to one cache server that are aimed at (`servers::TIER_CONNECTIONS`).
pub(super) const TIER_CONNECTIONS: f64 = 32.0;
/// Descriptors of a node where its file says nothing else, less its own (`config::Limits`, `service::OWN_DESCRIPTORS`).
pub(super) const DESCRIPTORS: f64 = 1_024.0 - 16.0;
/// The part of them that connections to cache servers may have: half, and of that three quarters (`for_servers`, `node::SERVERS`).
pub(super) const SERVER_DESCRIPTORS: f64 = 0.5 * 0.75;
/// Peers that a node tells at a time, and hears at a time in the spans for which a message counts (`TELL`).
const PEERS_TOLD: f64 = 16.0;
const PEERS_HEARD: f64 = 32.0;
/// Reviews between two messages to peers; a review is an eighth of the longest aim (`Policy::review`).
const TELL_AIMS: f64 = 4.0 / 8.0;
/// Calls to a cold cache server that a node may make at once at the least (`COLD_LEAST`).
const COLD_LEAST: f64 = 2.0;
/// The part of its capacity that a cold cache server has, and the multiple of it that it may be sent (`Settings`, `COLD_RATE`).
const COLD_SHARE: f64 = 0.25;
const COLD_MULTIPLE: f64 = 1.5;
/// A bucket for a cold cache server holds what comes in this many seconds: half of `fall_after`'s default.
const COLD_SPAN_S: f64 = 1.0;
/// Euler's constant.
const EULER_GAMMA: f64 = 0.577_215_664_901_532_9;

/// The same fleet with another number of nodes, all else unchanged.
pub fn with_nodes(target: &Target, nodes: f64) -> Target {
    Target { nodes, ..*target }
}

/// Bytes of what a node sees of so many zones, or of a plan of them, without orders.
pub fn zones_bytes(zones: f64) -> f64 {
    2.0 + 2.0 * zones
}

/// The longest numbers that a message of the agreement commonly has: a day's clock, a life of four bytes.
fn number() -> PlanNumber {
    PlanNumber { term: Ballot { round: 1_000, voter: 6_599, incarnation: u32::MAX }, sequence: 1_000 }
}

const STAMP_MS: u64 = 86_400_000;

fn encoded(message: &Message) -> f64 {
    message.encode().map_or(MAX_MESSAGE_BYTES, |bytes| bytes.len()) as f64
}

/// Bytes of what the length of a payload takes beyond one byte.
fn longer_length(payload: f64) -> f64 {
    f64::from(u8::from(payload >= 128.0))
}

/// Bytes of a member's question with so many bytes of evidence.
pub fn ask_bytes(payload: f64) -> f64 {
    let ask =
        Message::Query { asked_at: STAMP_MS, incarnation: u32::MAX, number: number(), evidence: Vec::new() };
    encoded(&ask) + payload + longer_length(payload)
}

/// Bytes of the leader's answer with so many bytes of a plan.
pub fn told_bytes(payload: f64) -> f64 {
    let left = Timing::default().lease;
    let told = Message::Reply {
        asked_at: STAMP_MS,
        incarnation: u32::MAX,
        number: number(),
        lease_left: left,
        plan: Vec::new(),
    };
    encoded(&told) + payload + longer_length(payload)
}

fn asks_per_s() -> f64 {
    1_000.0 / Timing::default().query_interval as f64
}

/// Messages of the leader of the agreement a second, both ways, in calm: each other member asks and is told.
pub fn leader_messages(fleet: &Target) -> f64 {
    2.0 * asks_per_s() * (fleet.nodes - 1.0)
}

/// The same while a zone is in trouble or moves.
pub fn leader_messages_hurried(fleet: &Target) -> f64 {
    HURRY * leader_messages(fleet)
}

fn exchange_bytes(fleet: &Target) -> f64 {
    let payload = zones_bytes(fleet.zones);
    ask_bytes(payload) + told_bytes(payload)
}

/// Bytes of the leader a second, both ways, in calm.
pub fn leader_bytes(fleet: &Target) -> f64 {
    asks_per_s() * exchange_bytes(fleet) * (fleet.nodes - 1.0)
}

/// The same while a zone is in trouble or moves.
pub fn leader_bytes_hurried(fleet: &Target) -> f64 {
    HURRY * leader_bytes(fleet)
}

/// Bytes of a follower a second, both ways, in calm.
pub fn follower_bytes(fleet: &Target) -> f64 {
    asks_per_s() * exchange_bytes(fleet)
}

/// The same while a zone is in trouble or moves.
pub fn follower_bytes_hurried(fleet: &Target) -> f64 {
    HURRY * follower_bytes(fleet)
}

/// Bytes of an answer that tells a plan with an order of staff for each zone.
pub fn told_bytes_with_orders(fleet: &Target) -> f64 {
    told_bytes(zones_bytes(fleet.zones) + ORDER_BYTES * fleet.zones)
}

/// Zones that the agreement has to tell apart.
pub fn zones(fleet: &Target) -> f64 {
    fleet.zones
}

/// Calls of discovery a second in calm: one for each node when its watch ends.
pub fn discovery_calls(fleet: &Target) -> f64 {
    fleet.nodes / WATCH_S
}

/// Seconds that discovery takes for all watches that are opened anew at once.
pub fn discovery_restart_s(fleet: &Target) -> f64 {
    fleet.nodes / DISCOVERY_CALLS_PER_S
}

/// Bytes that discovery sends when all watches ask for the whole list.
pub fn discovery_restart_bytes(fleet: &Target) -> f64 {
    fleet.nodes * list_bytes(fleet)
}

/// Bytes of the whole list.
pub fn list_bytes(fleet: &Target) -> f64 {
    fleet.cache_servers * LINE_BYTES
}

/// Changes of the list a second, from cache servers that are restarted or replaced: their part of all machines of the target.
pub fn list_changes(fleet: &Target) -> f64 {
    let part = TARGET.cache_servers / (TARGET.cache_servers + TARGET.nodes);
    CHANGES_PER_RESTART * part * fleet.restarts_per_day / DAY_S
}

/// Answers of discovery a second because of those changes: each ends every watch.
pub fn discovery_change_answers(fleet: &Target) -> f64 {
    list_changes(fleet) * fleet.nodes
}

/// Calls out at the origin that the nodes' own limits add up to at the least.
pub fn origin_outstanding(fleet: &Target) -> f64 {
    (LEAST_OUT * fleet.nodes).max(ALL_OUT)
}

/// Calls out at the origin that all may have together where quotas are below 800 a second.
pub fn origin_outstanding_bound(_: &Target) -> f64 {
    ALL_OUT
}

/// Quotas, in requests a second, below which the nodes' limits add up to more than all may have together.
pub fn quotas_for_outstanding(fleet: &Target) -> f64 {
    LEAST_OUT * fleet.nodes / ORIGIN_CALL_S
}

/// Calls out at the origin that all may have together where quotas are as high as the peak.
pub fn origin_outstanding_at_peak(fleet: &Target) -> f64 {
    fleet.requests_per_s * ORIGIN_CALL_S
}

/// Calls a second at the origin that the nodes' own tallies add up to at the least: quotas below this are not held by them.
pub fn origin_rate(fleet: &Target) -> f64 {
    LEAST_ORIGIN_RATE * fleet.nodes
}

/// Calls at once to a cold cache server that the nodes' own buckets add up to at the least.
pub fn cold_calls(fleet: &Target) -> f64 {
    COLD_LEAST * fleet.nodes
}

/// Calls that a cold cache server may be sent in the span of a bucket, at the peak.
pub fn cold_calls_bound(fleet: &Target) -> f64 {
    COLD_MULTIPLE * COLD_SHARE * requests_per_server(fleet) * COLD_SPAN_S
}

/// Connections to one cache server where every node has one.
pub fn connections_per_server(fleet: &Target) -> f64 {
    fleet.nodes
}

/// The same where nodes of one region have them.
pub fn connections_per_server_of_region(fleet: &Target) -> f64 {
    fleet.nodes / fleet.regions
}

/// Connections of a node to all cache servers, one each.
pub fn connections_per_node(fleet: &Target) -> f64 {
    fleet.cache_servers
}

/// Connections between all nodes and all cache servers.
pub fn connections(fleet: &Target) -> f64 {
    fleet.nodes * fleet.cache_servers
}

/// Requests a second of a node.
pub fn requests_per_node(fleet: &Target) -> f64 {
    fleet.requests_per_s / fleet.nodes
}

/// Requests a second of a cache server.
pub fn requests_per_server(fleet: &Target) -> f64 {
    fleet.requests_per_s / fleet.cache_servers
}

/// Bits a second of a node to clients; as many come to it from cache servers.
pub fn bits_per_node(fleet: &Target) -> f64 {
    fleet.bits_per_s / fleet.nodes
}

/// Bits a second of a cache server.
pub fn bits_per_server(fleet: &Target) -> f64 {
    fleet.bits_per_s / fleet.cache_servers
}

/// Bytes of an answer in the mean.
pub fn answer_bytes(fleet: &Target) -> f64 {
    fleet.bits_per_s / 8.0 / fleet.requests_per_s
}

/// Objects whose place is one cache server, where each region has its own copy of all.
pub fn objects_per_server(fleet: &Target) -> f64 {
    fleet.objects * fleet.regions / fleet.cache_servers
}

/// The part of requests that the most asked-for part of a region's objects takes, where the chance of an object falls with its rank
/// (Zipf's law with exponent 1): sums of the harmonic series, `ln n` and Euler's constant.
pub fn zipf_share(objects: f64, part: f64) -> f64 {
    ((part * objects).ln() + EULER_GAMMA) / (objects.ln() + EULER_GAMMA)
}

/// That share for a tenth of the objects.
pub fn hit_share_of_tenth(fleet: &Target) -> f64 {
    zipf_share(fleet.objects, 0.1)
}

/// The hit share from which misses fit what the nodes' tallies let through at the least.
pub fn hit_share_for_origin(fleet: &Target) -> f64 {
    1.0 - origin_rate(fleet) / fleet.requests_per_s
}

/// Messages a second of whoever tells each cache server of each purge.
pub fn purge_messages(fleet: &Target) -> f64 {
    fleet.purges_per_s * fleet.cache_servers
}

/// Purges that are under way at a time where each takes all of its time.
pub fn purges_under_way(fleet: &Target) -> f64 {
    fleet.purges_per_s * fleet.purge_within_s
}

/// Changes of settings a second that have to be told to every node.
pub fn settings_messages(fleet: &Target) -> f64 {
    fleet.settings_per_day / DAY_S * fleet.nodes
}

/// Seconds between two changes of settings.
pub fn settings_every_s(fleet: &Target) -> f64 {
    DAY_S / fleet.settings_per_day
}

/// Changes of settings that are under way at a time where each takes all of its time.
pub fn settings_under_way(fleet: &Target) -> f64 {
    fleet.settings_per_day / DAY_S * fleet.settings_within_s
}

/// Peers that a node has heard of lately.
pub fn peers_heard(fleet: &Target) -> f64 {
    PEERS_HEARD.min(fleet.nodes - 1.0)
}

/// Bytes a second of messages between peers, both ways, where they are as long as they may be and the longest aim is a second.
pub fn peer_bytes(fleet: &Target) -> f64 {
    2.0 * PEERS_TOLD.min(fleet.nodes - 1.0) / TELL_AIMS * MAX_MESSAGE_BYTES as f64
}

/// Seconds between two restarts of machines.
pub fn restart_every_s(fleet: &Target) -> f64 {
    DAY_S / fleet.restarts_per_day
}

/// Nodes of a zone.
pub fn nodes_per_zone(fleet: &Target) -> f64 {
    fleet.nodes / fleet.zones
}

/// Nodes of a site.
pub fn nodes_per_site(fleet: &Target) -> f64 {
    fleet.nodes / fleet.sites
}

/// Cache servers of a zone.
pub fn servers_per_zone(fleet: &Target) -> f64 {
    fleet.cache_servers / fleet.zones
}

/// Messages a second that nodes without a way to the leader send, each asking a voter and having another pass it on, while they hurry.
pub fn apart_messages(fleet: &Target) -> f64 {
    2.0 * HURRY * asks_per_s() * fleet.nodes / fleet.regions
}

/// Messages a second of a voter that passes on what a region without a way to the leader asks: a question and an answer, each in and out.
pub fn pass_messages(fleet: &Target) -> f64 {
    4.0 * HURRY * asks_per_s() * fleet.nodes / fleet.regions
}

/// Seconds until another member leads after the leader has died: voters hold their grant, and the slowest looks again after that.
pub fn leader_change_s() -> f64 {
    let timing = Timing::default();
    (timing.grant + timing.grant / 2 + 2 * timing.query_interval) as f64 / 1_000.0
}

/// Seconds for which a follower that hears nothing acts on its plan.
pub fn plan_life_s() -> f64 {
    Timing::default().plan_validity as f64 / 1_000.0
}

/// Bytes that a node that starts asks of discovery: the whole list.
pub fn restart_bytes_per_day(fleet: &Target) -> f64 {
    let nodes = TARGET.nodes / (TARGET.cache_servers + TARGET.nodes);
    fleet.restarts_per_day * nodes * list_bytes(fleet)
}
