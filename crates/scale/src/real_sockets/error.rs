//! Why a run on real sockets did not come to its end.

use std::fmt;

/// Why a run on real sockets did not come to its end.
#[derive(Clone, Debug, PartialEq)]
pub enum RealSocketsError {
    /// A plan that makes no sense.
    Plan(String),
    /// A plan that needs more than this machine may give it; nothing was started.
    Bound(BoundExceeded),
    /// A process that can't be started, ended too early, or said something else than was asked.
    Worker(String),
    /// Something did not come to pass within its time.
    Deadline(&'static str),
    /// The kernel does not tell what a process uses.
    Usage(String),
    /// Ctrl-C.
    Interrupted,
}

/// A bound, with what was wanted of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundExceeded {
    /// Which.
    pub bound: Bound,
    /// What the plan needs.
    pub wanted: u64,
    /// What it may have.
    pub allowed: u64,
}

/// What a run may use of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// Bytes of memory over all processes.
    Memory,
    /// Processes.
    Processes,
    /// Descriptors of the process that has most of them.
    Descriptors,
    /// Local ports of outgoing connections.
    Ports,
    /// Nodes for which there are addresses.
    Addresses,
}

impl fmt::Display for BoundExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.bound {
            Bound::Memory => "bytes of memory",
            Bound::Processes => "processes",
            Bound::Descriptors => "descriptors in one process",
            Bound::Ports => "local ports",
            Bound::Addresses => "nodes with an address each",
        };
        write!(f, "the run needs {} {what}, and {} are allowed", self.wanted, self.allowed)
    }
}

impl fmt::Display for RealSocketsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RealSocketsError::Plan(what) => write!(f, "plan: {what}"),
            RealSocketsError::Bound(exceeded) => write!(f, "{exceeded}"),
            RealSocketsError::Worker(what) => write!(f, "worker process: {what}"),
            RealSocketsError::Deadline(what) => write!(f, "not within its time: {what}"),
            RealSocketsError::Usage(what) => write!(f, "/proc: {what}"),
            RealSocketsError::Interrupted => f.write_str("interrupted; all that was started has ended"),
        }
    }
}

impl std::error::Error for RealSocketsError {}
