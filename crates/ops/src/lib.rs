//! What the people who run a node ask of it: whether it can serve, its figures, and that it drains. Nothing here does
//! I/O: a driver hands over the bytes of a call and writes the answer back, from a thread of its own if it likes.
//!
//! [`Lifecycle`] is the one place that knows whether the node serves; [`Figures`] the one that counts how requests end.

mod board;
mod call;
mod figures;
mod lifecycle;
mod reasons;
mod text;

use std::sync::{Arc, OnceLock};

pub use board::ZoneStatusBoard;
pub use call::{CallEffect, CallResult, MAX_HEAD_BYTES};
pub use figures::{DoubtedAnswers, Gauges, Metrics, RequestEnd, RequestTicket};
pub use lifecycle::{Lifecycle, LifecycleEvent, Phase};
pub use reasons::{ByReason, CloseReason, Reason, RefuseReason, RetryReason};

/// What the node shares with those who ask.
#[derive(Debug)]
pub struct OpsEndpoint {
    /// Whether the node serves.
    pub lifecycle: Lifecycle,
    /// What it has done.
    pub metrics: Arc<Metrics>,
    /// What staff read and order of zones; nothing where places are off.
    pub zone_status: OnceLock<ZoneStatusBoard>,
}

impl OpsEndpoint {
    /// The desk of a node that has just begun.
    pub fn new<S: Into<String>>(classes: impl IntoIterator<Item = S>) -> Arc<Self> {
        let figures = Arc::new(Metrics::new(classes));
        Arc::new(OpsEndpoint {
            lifecycle: Lifecycle::default(),
            metrics: figures,
            zone_status: OnceLock::new(),
        })
    }
}
