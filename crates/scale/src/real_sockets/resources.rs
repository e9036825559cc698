//! Resources that a run will need, checked against the machine's limits before anything is started.

use procfs::{Current, Meminfo};

use super::error::{RealSocketsError, Resource, ResourceExceeded};
use super::plan::{RealSocketsPlan, SizePlan};

/// Maximum number of processes of a run, including the command itself.
const MAX_PROCESSES: u64 = 200;
/// Memory of a process without nodes: the program's pages and its runtime.
const PROCESS_BYTES: u64 = 24 << 20;
/// Memory of a real node: the budget of its control code.
const NODE_BYTES: u64 = 64 << 20;
/// Memory of a hollow node, which has no client data and shares the program's pages. With 100 cache servers
/// one needed 0.3 MB; the list may be ten times as long.
const HOLLOW_NODE_BYTES: u64 = 8 << 20;
/// Memory of a stub cache server: 500 short keys.
const CACHE_SERVER_BYTES: u64 = 1 << 20;
/// Descriptors of a hollow node: its listener, two datagram sockets, the watch, and a new watch that is being
/// opened.
const HOLLOW_NODE_DESCRIPTORS: u64 = 6;
/// Connections that a real node under light load may have to one cache server.
const CONNECTIONS_PER_SERVER: u64 = 4;
/// Other descriptors of a process: standard streams, the runtime, pipes.
const OWN_DESCRIPTORS: u64 = 32;
/// Descriptors of the command for each worker: two pipes and the process.
const WORKER_DESCRIPTORS: u64 = 4;
/// Connections of the command's clients to one real node.
const CLIENT_CONNECTIONS: u64 = 256;
/// Processes without hollow or real nodes: the command, discovery, the cache servers, the supervisor of real
/// nodes and the idle worker.
const OTHER_PROCESSES: u64 = 5;
/// Nodes for which a run's loopback network has addresses.
const MAX_NODES: u64 = 250 * 250;

/// Limits of the machine for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory in bytes: half of the machine's.
    pub memory: u64,
    /// Descriptors of one process: the soft limit.
    pub descriptors: u64,
    /// Local ports.
    pub ports: u64,
}

impl MachineLimits {
    /// Reads the limits of this machine.
    ///
    /// # Errors
    /// The kernel does not report them.
    pub fn detect() -> Result<MachineLimits, RealSocketsError> {
        let usage = |e: procfs::ProcError| RealSocketsError::Usage(e.to_string());
        let memory = Meminfo::current().map_err(usage)?.mem_total / 2;
        let limits = procfs::process::Process::myself().and_then(|p| p.limits()).map_err(usage)?;
        let descriptors = match limits.max_open_files.soft_limit {
            procfs::process::LimitValue::Value(limit) => limit,
            procfs::process::LimitValue::Unlimited => u64::MAX,
        };
        let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
        let range = range.map_err(|e| RealSocketsError::Usage(e.to_string()))?;
        let ends: Vec<u64> = range.split_whitespace().filter_map(|port| port.parse().ok()).collect();
        let &[first, last] = ends.as_slice() else {
            return Err(RealSocketsError::Usage(format!("ip_local_port_range: {range:?}")));
        };
        Ok(MachineLimits { memory, descriptors, ports: (last + 1).saturating_sub(first) })
    }
}

/// What one size needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Requirements {
    memory: u64,
    processes: u64,
    descriptors: u64,
    ports: u64,
    addresses: u64,
}

impl Requirements {
    fn of(size: &SizePlan, plan: &RealSocketsPlan) -> Requirements {
        let (hollow, real) = (u64::from(size.hollow_nodes), u64::from(size.real_nodes));
        let servers = u64::from(size.cache_servers);
        let hollow_processes = u64::from(size.hollow_processes(plan.nodes_per_process));
        let workers = hollow_processes + OTHER_PROCESSES - 1;
        let loaded = if plan.load_per_real_node > 0.0 { real } else { 0 };
        let server_connections = loaded * servers * CONNECTIONS_PER_SERVER;
        let per_process = u64::from(plan.nodes_per_process).min(hollow);
        let descriptors = [
            per_process * HOLLOW_NODE_DESCRIPTORS,
            // A node that reopens its watch may briefly have two.
            (hollow + real) * 2,
            servers * 2 + server_connections,
            workers * WORKER_DESCRIPTORS + loaded * CLIENT_CONNECTIONS,
        ];
        Requirements {
            memory: (workers + 1) * PROCESS_BYTES
                + hollow * HOLLOW_NODE_BYTES
                + real * NODE_BYTES
                + servers * CACHE_SERVER_BYTES,
            processes: workers + 1 + real,
            descriptors: descriptors.into_iter().max().unwrap_or(0) + OWN_DESCRIPTORS,
            ports: (hollow + real) * 2 + servers * 2 + server_connections + loaded * CLIENT_CONNECTIONS,
            addresses: hollow + real,
        }
    }
}

/// Checks whether every size of a plan stays within the limits.
///
/// # Errors
/// The first limit that is exceeded, with the needed and the permitted value.
pub fn check_resources(plan: &RealSocketsPlan, allowed: &MachineLimits) -> Result<(), RealSocketsError> {
    for size in &plan.sizes {
        let requirements = Requirements::of(size, plan);
        let pairs = [
            (Resource::Processes, requirements.processes, MAX_PROCESSES),
            (Resource::Memory, requirements.memory, allowed.memory),
            (Resource::Descriptors, requirements.descriptors, allowed.descriptors),
            (Resource::Ports, requirements.ports, allowed.ports),
            (Resource::Addresses, requirements.addresses, MAX_NODES),
        ];
        for (resource, needed, allowed) in pairs {
            if needed > allowed {
                return Err(RealSocketsError::Resource(ResourceExceeded { resource, needed, allowed }));
            }
        }
    }
    Ok(())
}
