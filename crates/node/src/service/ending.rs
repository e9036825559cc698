//! The end of a node: what it took is answered, its connections go, and nothing that they do holds it up.

use std::time::Duration;

use mothpier_host::Host;
use mothpier_ops::LifecycleEvent;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::KEEP_ACCEPTING;
use super::assembly::Running;
use crate::clients::{Listening, Plan};
use crate::input::Input;

/// A process that takes new connections again ends that so long before it ends: who has connected has time to ask.
const LAST_TO_ASK: Duration = Duration::from_millis(600);
/// What is left to do once the last connection has been cut has this time: the earliest SIGKILL is not far.
const LAST_WORDS: Duration = Duration::from_millis(60);

impl<H: Host> Running<H> {
    /// Ends the node.
    pub(super) async fn end(mut self) {
        self.desk.lifecycle.apply(LifecycleEvent::Stop);
        self.host.log(format_args!("stopping"));
        let now = Instant::now();
        // On a shared listener another process takes what comes, but only where there is one: a node that is simply told to
        // stop would leave in the queue what nobody comes for.
        let succeeded = self.shared && self.side.succeeded();
        let plan = match succeeded {
            true => Plan::hand_over(now, self.longest_deadline),
            false => Plan::stop(now, self.longest_deadline),
        };
        self.retiring.end(plan);
        let watching = tokio::task::spawn_local(self.clients.clone().watch_retirement(plan));
        let in_time = match succeeded {
            true => self.end_beside_successor(&plan).await,
            false => {
                sleep_until(now + KEEP_ACCEPTING).await;
                self.take_rest(&plan).await
            }
        };
        if !in_time {
            self.clients.log_end(&plan);
        }
        watching.abort();
        let _ = timeout_at(plan.cut() + LAST_WORDS, self.last_words()).await;
    }

    /// Leaves what comes to the process that takes over, and takes it again should that one end first: nobody else would.
    /// Whether all connections have closed in time.
    async fn end_beside_successor(&mut self, plan: &Plan) -> bool {
        self.retiring.listen(Listening::LeaveRest);
        let _ = self.events.send(Input::ReleasePeerAddresses).await;
        let closes = async {
            sleep_until(plan.close_resting()).await;
            let _ = self.events.send(Input::CloseIdleConnections).await;
            self.all_closed().await;
        };
        tokio::select! {
            biased;
            () = self.side.no_longer_succeeded() => {}
            closed = timeout_at(plan.cut(), closes) => return closed.is_ok(),
        }
        self.host.log(format_args!("the process that took over has ended: new connections are taken again"));
        self.retiring.listen(Listening::Yes);
        sleep_until(plan.cut() - LAST_TO_ASK).await;
        self.take_rest(plan).await
    }

    /// Takes what the machine has accepted, and nothing more. Whether all connections have closed in time.
    async fn take_rest(&mut self, plan: &Plan) -> bool {
        self.retiring.listen(Listening::TakeRest);
        let _ = timeout_at(plan.cut(), &mut self.accepting).await;
        timeout_at(plan.cut(), self.all_closed()).await.is_ok()
    }

    /// Waits until no connection of a client is open.
    async fn all_closed(&self) {
        while self.clients.count() > 0 {
            self.clients.one_closed().await;
        }
    }

    /// Tells the process that takes over what is left, and lets the recorder write its last entry.
    async fn last_words(&mut self) {
        self.side.last_word().await;
        if self.recorded && self.events.send(Input::Shutdown).await.is_ok() {
            let _ = (&mut self.node).await;
        }
    }
}
