//! Shutdown of a node: accepted requests are answered and connections are closed, within a fixed time.

use std::time::Duration;

use mothpier_host::Host;
use mothpier_ops::LifecycleEvent;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::ACCEPT_AFTER_STOP;
use super::assembly::RunningNode;
use crate::clients::{AcceptMode, RetirementPlan};
use crate::input::Input;

/// A process that accepts connections again stops so this long before it ends, to leave clients time for a request.
const ACCEPTING_ENDS_BEFORE: Duration = Duration::from_millis(600);
/// Time for the final steps after the last connection was closed: the earliest SIGKILL is near.
const FINAL_STEPS_TIMEOUT: Duration = Duration::from_millis(60);

impl<H: Host> RunningNode<H> {
    /// Shuts the node down.
    pub(super) async fn end(mut self) {
        self.ops_endpoint.lifecycle.apply(LifecycleEvent::Stop);
        self.host.log(format_args!("stopping"));
        let now = Instant::now();
        // With a shared listener another process accepts new connections, but only if there is one: otherwise nobody would
        // take the connections left in the accept queue.
        let has_successor = self.shares_listener && self.handover.has_successor();
        let plan = match has_successor {
            true => RetirementPlan::hand_over(now, self.longest_deadline),
            false => RetirementPlan::stop(now, self.longest_deadline),
        };
        self.retirement.set_end_plan(plan);
        let log_task = tokio::task::spawn_local(self.clients.clone().log_retirement(plan));
        let closed_in_time = match has_successor {
            true => self.end_beside_successor(&plan).await,
            false => {
                sleep_until(now + ACCEPT_AFTER_STOP).await;
                self.drain_accept_queue(&plan).await
            }
        };
        if !closed_in_time {
            // Connections are still open whose clients take a large value or replies, which the end of the process would cut.
            let _ = timeout_at(plan.end_of_writing(), self.wait_until_all_closed()).await;
            self.clients.log_end(&plan);
        }
        log_task.abort();
        let final_steps_end = plan.disconnect_all_at().max(Instant::now()) + FINAL_STEPS_TIMEOUT;
        let _ = timeout_at(final_steps_end, self.run_final_steps()).await;
    }

    /// Leaves new connections to the successor, and accepts them again if that ends first because nobody else would. Returns
    /// whether all connections have closed in time.
    async fn end_beside_successor(&mut self, plan: &RetirementPlan) -> bool {
        self.retirement.set_accept_mode(AcceptMode::LeaveQueue);
        let _ = self.events.send(Input::ReleasePeerAddresses).await;
        let closes = async {
            sleep_until(plan.close_idle_at()).await;
            let _ = self.events.send(Input::CloseIdleConnections).await;
            self.wait_until_all_closed().await;
        };
        tokio::select! {
            biased;
            () = self.handover.wait_for_successor_end() => {}
            closed = timeout_at(plan.disconnect_all_at(), closes) => return closed.is_ok(),
        }
        self.host.log(format_args!("the successor has ended: accepting new connections again"));
        self.retirement.set_accept_mode(AcceptMode::Accept);
        sleep_until(plan.disconnect_all_at() - ACCEPTING_ENDS_BEFORE).await;
        self.drain_accept_queue(plan).await
    }

    /// Takes the connections in the accept queue and no more. Returns whether all connections have closed in time.
    async fn drain_accept_queue(&mut self, plan: &RetirementPlan) -> bool {
        self.retirement.set_accept_mode(AcceptMode::DrainQueue);
        let _ = timeout_at(plan.disconnect_all_at(), &mut self.accepting).await;
        timeout_at(plan.disconnect_all_at(), self.wait_until_all_closed()).await.is_ok()
    }

    /// Waits until no connection of a client is open.
    async fn wait_until_all_closed(&self) {
        while self.clients.open_count() > 0 {
            self.clients.wait_for_close().await;
        }
    }

    /// Sends the final state to the successor, and lets the recorder write its last entry.
    async fn run_final_steps(&mut self) {
        self.handover.send_final_state().await;
        if self.has_recorder && self.events.send(Input::Shutdown).await.is_ok() {
            let _ = (&mut self.node).await;
        }
    }
}
