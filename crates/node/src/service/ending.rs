//! The end of a node: what it took is answered, its connections go, and nothing that they do holds it up.

use std::time::Duration;

use mothpier_host::Host;
use mothpier_ops::Step;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::KEEP_ACCEPTING;
use super::assembly::Running;
use crate::clients::{Listening, Plan};
use crate::input::Input;

/// What is left to do once the last connection has been cut has this time: the earliest SIGKILL is not far.
const LAST_WORDS: Duration = Duration::from_millis(60);

impl<H: Host> Running<H> {
    /// Ends the node.
    pub(super) async fn end(mut self) {
        self.desk.lifecycle.step(Step::Stop);
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
        if succeeded {
            self.retiring.end_listening(Listening::LeaveRest);
            let _ = self.events.send(Input::LeavePeers).await;
            sleep_until(plan.close_resting()).await;
            let _ = self.events.send(Input::CloseIdle).await;
        } else {
            sleep_until(now + KEEP_ACCEPTING).await;
            self.retiring.end_listening(Listening::TakeRest);
        }
        let _ = timeout_at(plan.cut(), &mut self.accepting).await;
        if timeout_at(plan.cut(), self.all_closed()).await.is_err() {
            self.clients.log_end(&plan);
        }
        watching.abort();
        let _ = timeout_at(plan.cut() + LAST_WORDS, self.last_words()).await;
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
        if self.recorded && self.events.send(Input::End).await.is_ok() {
            let _ = (&mut self.node).await;
        }
    }
}
