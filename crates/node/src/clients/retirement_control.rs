//! Publishes the retirement plans to all client connections, and whether new connections are accepted.

use std::cell::Cell;

use tokio::sync::Notify;

use super::retirement::{RetirementPlan, RetirementPlans};

/// Whether new connections are accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AcceptMode {
    #[default]
    Accept,
    /// No longer, but those in the accept queue are taken because no other process would.
    DrainQueue,
    /// Not now: another process accepts from the same socket. The listener is kept because that process may end first.
    LeaveQueue,
}

/// Controls the retirement of connections, for a drain and for the end of the process alike. Waiters are woken in the
/// order in which they began to wait; a watch channel would wake them in a random order.
#[derive(Default)]
pub struct RetirementControl {
    plans: Cell<RetirementPlans>,
    /// Whether new connections are accepted now.
    pub(super) accept_mode: Cell<AcceptMode>,
    pub(super) changed: Notify,
}

impl RetirementControl {
    /// Retires connections by this plan, or keeps them if there is none.
    pub fn set_drain_plan(&self, plan: Option<RetirementPlan>) {
        self.set(RetirementPlans { drain: plan, ..self.plans.get() });
    }

    /// Retires connections by this plan for the end of the process.
    pub fn set_end_plan(&self, plan: RetirementPlan) {
        self.set(RetirementPlans { end: Some(plan), ..self.plans.get() });
    }

    fn set(&self, plans: RetirementPlans) {
        self.plans.set(plans);
        self.changed.notify_waiters();
    }

    /// Sets whether new connections are accepted, left to another process, or taken for the last time.
    pub fn set_accept_mode(&self, mode: AcceptMode) {
        self.accept_mode.set(mode);
        self.changed.notify_waiters();
    }

    /// The active plans.
    pub fn plans(&self) -> RetirementPlans {
        self.plans.get()
    }

    /// Waits until accepting stops, for now or for good. Cancellation safe.
    pub(super) async fn accepting_stopped(&self) {
        while self.accept_mode.get() == AcceptMode::Accept {
            self.changed.notified().await;
        }
    }

    /// Waits while new connections are left to another process.
    pub(super) async fn accepting_left_to_other_process(&self) {
        while self.accept_mode.get() == AcceptMode::LeaveQueue {
            self.changed.notified().await;
        }
    }
}
