//! The operations interface of a node: readiness, metrics and draining. Nothing here does I/O: the caller passes in the
//! bytes of an HTTP request and writes the response, from a thread of its own if it likes.
//!
//! [`Lifecycle`] alone knows whether the node serves; [`Metrics`] counts how requests end.

mod call;
mod lifecycle;
mod memory;
mod metrics;
mod reasons;
mod text;
mod waits;
mod zone_status;

use std::sync::{Arc, OnceLock};

pub use call::{CallEffect, CallResult, MAX_HEAD_BYTES};
pub use lifecycle::{Lifecycle, LifecycleEvent, Phase};
pub use memory::{HeldBytes, MemoryGauges, MemoryUse};
pub use metrics::{DoubtedAnswers, Gauges, Metrics, RequestEnd, RequestTicket};
pub use reasons::{ByReason, CloseReason, Reason, RefuseReason, RetryReason};
pub use waits::{InputWaits, WaitHistogram};
pub use zone_status::ZoneStatusBoard;

/// The state that the node shares with its operations endpoint.
#[derive(Debug)]
pub struct OpsEndpoint {
    /// Whether the node serves.
    pub lifecycle: Lifecycle,
    /// The node's counters and gauges.
    pub metrics: Arc<Metrics>,
    /// Status and orders of zones; unset where places are switched off.
    pub zone_status: OnceLock<ZoneStatusBoard>,
}

impl OpsEndpoint {
    /// The state of a node that has just started.
    pub fn new<S: Into<String>>(classes: impl IntoIterator<Item = S>) -> Arc<Self> {
        let metrics = Arc::new(Metrics::new(classes));
        Arc::new(OpsEndpoint { lifecycle: Lifecycle::default(), metrics, zone_status: OnceLock::new() })
    }
}
