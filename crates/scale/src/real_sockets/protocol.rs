//! What the command and its worker processes say to each other: a line of JSON each, the plan first.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::counting::HostCounts;
use super::plan::FleetPlan;

/// The first line that a worker reads: what it is to be.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerPlan {
    /// Hollow nodes.
    Hollow(HollowPlan),
    /// Cache servers and the origin.
    CacheServers(FleetPlan),
    /// Discovery.
    Discovery(DiscoveryPlan),
    /// Real nodes: processes of the daemon that end with the worker.
    RealNodes(RealNodesPlan),
}

/// Which hollow nodes a worker runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowPlan {
    /// The fleet.
    pub fleet: FleetPlan,
    /// The first of its nodes.
    pub first: u32,
    /// How many; with none it idles.
    pub count: u32,
    /// Where they ask for the list.
    pub discovery: SocketAddr,
    /// The list that they start with.
    pub known: serde_json::Value,
}

/// What discovery lists.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryPlan {
    /// The fleet.
    pub fleet: FleetPlan,
    /// Cache servers, then the origin.
    pub servers: Vec<ServerAddresses>,
}

/// The real nodes that a worker keeps.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RealNodesPlan {
    /// The fleet.
    pub fleet: FleetPlan,
    /// The daemon.
    pub program: PathBuf,
    /// Where its configurations and logs go.
    pub folder: PathBuf,
    /// Where they ask for the list.
    pub discovery: SocketAddr,
    /// The list that they start with.
    pub known: serde_json::Value,
}

/// Where a cache server or the origin is reached. Each kind of nodes has an address of its own, so that their traffic is told
/// apart.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ServerAddresses {
    /// By hollow nodes.
    pub hollow: SocketAddr,
    /// By real nodes.
    pub real: SocketAddr,
}

/// A further line that a worker reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Tell what was counted.
    Count,
    /// Discovery alone: go down for so many milliseconds.
    Restart {
        /// For how long.
        down_ms: u64,
    },
}

/// A line that a worker writes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// Hollow nodes run.
    HollowReady,
    /// Cache servers and the origin serve.
    CacheServersReady(Vec<ServerAddresses>),
    /// Discovery serves.
    DiscoveryReady(DiscoveryReady),
    /// Real nodes run, as these processes.
    RealNodesReady(Vec<u32>),
    /// What hollow nodes counted, in their order.
    HollowCounts(Vec<HostCounts>),
    /// What a stand-in counted.
    StandInCounts(StandInCounts),
    /// Discovery serves again, from this time on (Unix time in milliseconds).
    Restarted {
        /// When.
        at_ms: u64,
    },
    /// It can't go on.
    Failed(String),
}

/// Where discovery is, and what it lists.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryReady {
    /// Where hollow nodes ask.
    pub hollow: SocketAddr,
    /// Where real nodes ask.
    pub real: SocketAddr,
    /// The list for hollow nodes.
    pub known_hollow: serde_json::Value,
    /// The list for real nodes.
    pub known_real: serde_json::Value,
}

/// What a stand-in counted, by the kind of nodes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StandInCounts {
    /// With hollow nodes.
    pub hollow: HostCounts,
    /// With real nodes.
    pub real: HostCounts,
}
