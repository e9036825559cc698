//! What a run will use of its machine, counted before anything is started.

use procfs::{Current, Meminfo};

use super::error::{Bound, BoundExceeded, RealSocketsError};
use super::plan::{RealSocketsPlan, SizePlan};

/// All processes of a run together, the command's own included.
const MOST_PROCESSES: u64 = 200;
/// Memory that a process is counted with before it has any node: the program's pages and its runtime.
const PROCESS_BYTES: u64 = 24 << 20;
/// Memory that a node is counted with: the budget of its control code.
const NODE_BYTES: u64 = 64 << 20;
/// Memory that a hollow node is counted with: it has no clients' data, and shares the program's pages. One before 100 cache servers
/// was seen to need 0.3 MB; the list that it holds may be ten times as long.
const HOLLOW_NODE_BYTES: u64 = 8 << 20;
/// Memory that a cache server's stand-in is counted with: 500 short keys.
const CACHE_SERVER_BYTES: u64 = 1 << 20;
/// Descriptors of a hollow node: its listener, two sockets for datagrams, the watch, and one that is being opened anew.
const HOLLOW_NODE_DESCRIPTORS: u64 = 6;
/// Connections that a real node under light load may have to one cache server.
const CONNECTIONS_PER_SERVER: u64 = 4;
/// Descriptors of a process beside: standard streams, the runtime, pipes.
const OWN_DESCRIPTORS: u64 = 32;
/// Descriptors of the command for each worker process: two pipes and the process.
const WORKER_DESCRIPTORS: u64 = 4;
/// Connections that the command's clients keep to one real node.
const CLIENT_CONNECTIONS: u64 = 256;
/// Beside processes of nodes: the command, discovery, cache servers, the keeper of real nodes and the one that idles.
const OTHER_PROCESSES: u64 = 5;
/// Nodes that a loopback network of a run has addresses for.
const MOST_NODES: u64 = 250 * 250;

/// What the machine lets a run have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowed {
    /// Bytes of memory: half of the machine's.
    pub memory: u64,
    /// Descriptors of one process: the soft limit.
    pub descriptors: u64,
    /// Local ports.
    pub ports: u64,
}

impl Allowed {
    /// What this machine allows.
    ///
    /// # Errors
    /// A kernel that does not tell.
    pub fn here() -> Result<Allowed, RealSocketsError> {
        let usage = |e: procfs::ProcError| RealSocketsError::Usage(e.to_string());
        let memory = Meminfo::current().map_err(usage)?.mem_total / 2;
        let limits = procfs::process::Process::myself().and_then(|p| p.limits()).map_err(usage)?;
        let descriptors = match limits.max_open_files.soft_limit {
            procfs::process::LimitValue::Value(most) => most,
            procfs::process::LimitValue::Unlimited => u64::MAX,
        };
        let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
        let range = range.map_err(|e| RealSocketsError::Usage(e.to_string()))?;
        let ends: Vec<u64> = range.split_whitespace().filter_map(|port| port.parse().ok()).collect();
        let &[first, last] = ends.as_slice() else {
            return Err(RealSocketsError::Usage(format!("ip_local_port_range: {range:?}")));
        };
        Ok(Allowed { memory, descriptors, ports: (last + 1).saturating_sub(first) })
    }
}

/// What one size needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Needed {
    memory: u64,
    processes: u64,
    descriptors: u64,
    ports: u64,
    addresses: u64,
}

impl Needed {
    fn of(size: &SizePlan, plan: &RealSocketsPlan) -> Needed {
        let (hollow, real) = (u64::from(size.hollow_nodes), u64::from(size.real_nodes));
        let servers = u64::from(size.cache_servers);
        let hollow_processes = u64::from(size.hollow_processes(plan.nodes_per_process));
        let workers = hollow_processes + OTHER_PROCESSES - 1;
        let loaded = if plan.load_per_real_node > 0.0 { real } else { 0 };
        let server_connections = loaded * servers * CONNECTIONS_PER_SERVER;
        let per_process = u64::from(plan.nodes_per_process).min(hollow);
        let descriptors = [
            per_process * HOLLOW_NODE_DESCRIPTORS,
            // A node that opens its watch anew may have two for a moment.
            (hollow + real) * 2,
            servers * 2 + server_connections,
            workers * WORKER_DESCRIPTORS + loaded * CLIENT_CONNECTIONS,
        ];
        Needed {
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

/// Looks whether every size of a plan keeps to the bounds.
///
/// # Errors
/// The first bound that one does not keep to, with the figures.
pub fn check(plan: &RealSocketsPlan, allowed: &Allowed) -> Result<(), RealSocketsError> {
    for size in &plan.sizes {
        let needed = Needed::of(size, plan);
        let pairs = [
            (Bound::Processes, needed.processes, MOST_PROCESSES),
            (Bound::Memory, needed.memory, allowed.memory),
            (Bound::Descriptors, needed.descriptors, allowed.descriptors),
            (Bound::Ports, needed.ports, allowed.ports),
            (Bound::Addresses, needed.addresses, MOST_NODES),
        ];
        for (bound, wanted, allowed) in pairs {
            if wanted > allowed {
                return Err(RealSocketsError::Bound(BoundExceeded { bound, wanted, allowed }));
            }
        }
    }
    Ok(())
}
