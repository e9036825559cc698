//! The protocol between the command and its worker processes: one line of JSON per message, the plan first.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::counting::HostCounts;
use super::plan::FleetPlan;

/// The first line that a worker reads: its task.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerPlan {
    /// Run hollow nodes.
    Hollow(HollowPlan),
    /// Run the cache servers and the origin.
    CacheServers(FleetPlan),
    /// Run discovery.
    Discovery(DiscoveryPlan),
    /// Run real nodes: processes of the daemon that end with the worker.
    RealNodes(RealNodesPlan),
}

/// The hollow nodes of a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowPlan {
    /// The fleet.
    pub fleet: FleetPlan,
    /// The first node.
    pub first: u32,
    /// The number of nodes; a worker with none is idle.
    pub count: u32,
    /// The address at which they call discovery.
    pub discovery: SocketAddr,
    /// The list that they start with.
    pub known: serde_json::Value,
}

/// The list of discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryPlan {
    /// The fleet.
    pub fleet: FleetPlan,
    /// The cache servers, followed by the origin.
    pub servers: Vec<ServerAddresses>,
}

/// The real nodes of a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RealNodesPlan {
    /// The fleet.
    pub fleet: FleetPlan,
    /// The daemon's program file.
    pub program: PathBuf,
    /// The folder for configurations and logs.
    pub folder: PathBuf,
    /// The address at which they call discovery.
    pub discovery: SocketAddr,
    /// The list that they start with.
    pub known: serde_json::Value,
}

/// Addresses of a cache server or of the origin. Hollow and real nodes have different ones, so that their
/// traffic is counted separately.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ServerAddresses {
    /// The address for hollow nodes.
    pub hollow: SocketAddr,
    /// The address for real nodes.
    pub real: SocketAddr,
}

/// A later line that a worker reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Report the counts.
    Count,
    /// Restart: only for discovery.
    Restart {
        /// How long to be down, in milliseconds.
        down_ms: u64,
    },
}

/// A line that a worker writes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The hollow nodes are running.
    HollowReady,
    /// The cache servers and the origin are serving.
    CacheServersReady(Vec<ServerAddresses>),
    /// Discovery is serving.
    DiscoveryReady(DiscoveryReady),
    /// The real nodes are running, with these process ids.
    RealNodesReady(Vec<u32>),
    /// The counts of hollow nodes, in their order.
    HollowCounts(Vec<HostCounts>),
    /// The counts of a stub.
    #[serde(rename = "stand-in-counts")]
    StubCounts(StubCounts),
    /// Discovery is serving again.
    Restarted {
        /// When it started again, in milliseconds of Unix time.
        at_ms: u64,
    },
    /// The worker failed.
    Failed(String),
}

/// The addresses and lists of discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryReady {
    /// The address for hollow nodes.
    pub hollow: SocketAddr,
    /// The address for real nodes.
    pub real: SocketAddr,
    /// The list for hollow nodes.
    pub known_hollow: serde_json::Value,
    /// The list for real nodes.
    pub known_real: serde_json::Value,
}

/// The counts of a stub, by kind of node.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StubCounts {
    /// Traffic with hollow nodes.
    pub hollow: HostCounts,
    /// Traffic with real nodes.
    pub real: HostCounts,
}
