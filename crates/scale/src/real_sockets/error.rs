//! Errors of runs on real sockets.

use std::fmt;

/// Why a run on real sockets failed.
#[derive(Clone, Debug, PartialEq)]
pub enum RealSocketsError {
    /// The plan is invalid.
    Plan(String),
    /// The plan needs more than this machine may provide. Nothing was started.
    Resource(ResourceExceeded),
    /// A worker process could not be started, ended early, or sent an unexpected reply.
    Worker(String),
    /// Something did not happen in time.
    Deadline(&'static str),
    /// The kernel does not report the resource usage of a process.
    Usage(String),
    /// The run was interrupted with Ctrl-C.
    Interrupted,
}

/// A limit that a plan exceeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceExceeded {
    /// The limit.
    pub resource: Resource,
    /// What the plan needs.
    pub needed: u64,
    /// What is permitted.
    pub allowed: u64,
}

/// A limit on the resources of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Bytes of memory of all processes together.
    Memory,
    /// Number of processes.
    Processes,
    /// Descriptors of the process that has the most.
    Descriptors,
    /// Local ports of outgoing connections.
    Ports,
    /// Nodes for which there are addresses.
    Addresses,
}

impl fmt::Display for ResourceExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unit = match self.resource {
            Resource::Memory => "bytes of memory",
            Resource::Processes => "processes",
            Resource::Descriptors => "descriptors in one process",
            Resource::Ports => "local ports",
            Resource::Addresses => "nodes with an address each",
        };
        write!(f, "the run needs {} {unit}, and {} are allowed", self.needed, self.allowed)
    }
}

impl fmt::Display for RealSocketsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RealSocketsError::Plan(reason) => write!(f, "plan: {reason}"),
            RealSocketsError::Resource(exceeded) => write!(f, "{exceeded}"),
            RealSocketsError::Worker(reason) => write!(f, "worker process: {reason}"),
            RealSocketsError::Deadline(reason) => write!(f, "timed out: {reason}"),
            RealSocketsError::Usage(reason) => write!(f, "/proc: {reason}"),
            RealSocketsError::Interrupted => f.write_str("interrupted; all started processes have ended"),
        }
    }
}

impl std::error::Error for RealSocketsError {}
