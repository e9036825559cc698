//! Serves a connection from its first byte to its end: what it waits for, and when it is closed.

use std::rc::Rc;

use mothpier_host::{Host, Reading, Stream};
use mothpier_ops::{CloseReason, MemoryUse, Reason};
use mothpier_resp::Malformed;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::ClientWriting;
use super::connection_state::ConnectionState;
use super::inbox::{Inbox, Unread};
use super::input_state::InputUse;
use super::pending_replies::{Writable, next_writable};
use super::retirement::{ConnectionSnapshot, RetirementAction, RetirementCause};
use super::session::Session;
use super::timing::{LimitConditions, Limits, Progress};
use super::turns::{Turn, TurnRequest};
use super::work::Amount;
use crate::discarding::Discarding;
use crate::event_log::EventKind;
use crate::memory_shortage::RetryingStream;
use crate::stream::{CLOSE_TIMEOUT, close_gracefully};

/// How a session ends.
#[derive(Clone, Copy, PartialEq)]
enum Closing {
    /// The other side has gone, or the place of the connection is needed at once.
    Immediate(CloseReason),
    /// Gracefully: bytes on their way must meet the end of the stream, not a reset.
    Graceful(CloseReason),
}

impl Closing {
    fn reason(self) -> CloseReason {
        match self {
            Closing::Immediate(reason) | Closing::Graceful(reason) => reason,
        }
    }
}

impl<H: Host> Session<H> {
    /// Serves a connection until its end. `unread` bounds how long its first bytes may have been waiting.
    pub(super) async fn run(&mut self, stream: H::Stream, unread: Unread, evict: Rc<Notify>) {
        let (reading, writing) = stream.into_halves();
        let mut writing = RetryingStream::new(writing);
        let mut progress = Progress::new(Instant::now());
        let discarding = Discarding::new(&self.clients.discard_rate);
        let held = self.clients.hold(MemoryUse::ClientInput, 0);
        let mut inbox = Inbox::new(&reading, (self.clients.now)(), unread, discarding, held);
        let closing = self.serve(&mut inbox, &mut writing, &mut progress, evict).await;
        self.report_close(closing.reason(), &progress);
        if let Closing::Graceful(_) = closing {
            self.publish_state(ConnectionState::Closing);
            let now = Instant::now();
            // A connection that is served beyond that time is closed like any other.
            let end = self.clients.retirement.plans().disconnect_all_at().filter(|end| *end > now);
            let latest = end.map_or(now + CLOSE_TIMEOUT, |end| end.min(now + CLOSE_TIMEOUT));
            let discarding = Discarding::new(&self.clients.discard_rate);
            let _ = timeout_at(latest, close_gracefully(&reading, &mut writing, discarding)).await;
        }
    }

    async fn serve(
        &mut self,
        inbox: &mut Inbox<'_, <H::Stream as Stream>::Reading>,
        writing: &mut ClientWriting<H>,
        progress: &mut Progress,
        evict: Rc<Notify>,
    ) -> Closing {
        let clients = self.clients.clone();
        // Whether input was checked for once more after its arrival could no longer put the end off. If this process was
        // delayed, a complete command may be waiting.
        let mut checked_for_late_data = false;
        let mut turn_request: Option<TurnRequest> = None;
        loop {
            self.settle_input(inbox, progress);
            let has_input = self.has_unexecuted_input(inbox);
            if !has_input {
                turn_request = None;
            } else if turn_request.is_none() {
                // Until it is executed nothing more is read.
                inbox.pause_reading();
                turn_request = Some(clients.turns.request(self.account.load(Instant::now())));
            }
            let has_replies = !self.pending.is_empty();
            let idle = !has_replies && !has_input;
            let now = Instant::now();
            self.publish(progress, inbox);
            // Checked after writing what is ready, because the client may still read it.
            if self.input.client_has_closed() {
                return Closing::Immediate(CloseReason::Client);
            }
            if idle && !self.input.reads_commands() {
                return Closing::Graceful(self.finish_reason.unwrap_or(CloseReason::Protocol));
            }
            let plans = clients.retirement.plans();
            // Usually there is no plan, and no need for a snapshot.
            let snapshot = plans.any_active().then(|| self.snapshot(progress, inbox));
            match snapshot.map_or((RetirementAction::Keep, None), |snapshot| plans.action(&snapshot, now)) {
                (RetirementAction::Keep, _) => {}
                (RetirementAction::CloseIfIdle, cause) => {
                    if !inbox.read_late(|| (clients.now)()).await {
                        return Closing::Graceful(close_reason(cause));
                    }
                    progress.record_activity();
                    continue;
                }
                (RetirementAction::Close | RetirementAction::FailPartialCommand, _)
                    if !std::mem::replace(&mut checked_for_late_data, true) =>
                {
                    if inbox.read_late(|| (clients.now)()).await {
                        progress.record_activity();
                    }
                    continue;
                }
                (RetirementAction::Close, cause) => return Closing::Graceful(close_reason(cause)),
                (RetirementAction::FailPartialCommand, _) => {
                    self.protocol_error(Malformed("the rest of the command has not come"));
                    continue;
                }
                (RetirementAction::FailOpen, cause) => {
                    // Each of them is refused by now.
                    self.execute_all(inbox, progress).await;
                    self.execute_unread(inbox, progress).await;
                    self.finish(close_reason(cause));
                    self.fail_open_requests().await;
                    continue;
                }
                (RetirementAction::Disconnect, _) => return Closing::Immediate(CloseReason::RetirementOver),
            }
            let limits = Limits::of(progress, self.limit_conditions(), now);
            let limit = limits.earliest().filter(|_| !has_input);
            let plan_change = snapshot.and_then(|snapshot| plans.next_change(&snapshot, now));
            let next = limit.into_iter().chain(plan_change).min();
            let input_use = self.input.input_use().filter(|_| !has_input);
            let (receives, input_use) = (input_use.is_some(), input_use.unwrap_or(InputUse::Discard));
            tokio::select! {
                biased;
                ready = next_writable(&mut self.pending), if has_replies => {
                    // A client that takes its time must not hold up the turns of others.
                    turn_request = None;
                    let written = match ready {
                        Writable::LargeValue => self.stream_large_value(inbox, writing).await,
                        Writable::Replies(ready) => self.write_replies(ready, inbox, writing).await,
                    };
                    progress.record_reply();
                    if let Err(reason) = written {
                        return Closing::Immediate(reason);
                    }
                }
                turn = granted_turn(&mut turn_request), if has_input => {
                    // Nothing begins for a client that has gone, though its commands are here.
                    if inbox.reading.remote_end_closed() {
                        return Closing::Immediate(CloseReason::Client);
                    }
                    self.execute_in_turn(inbox, progress).await;
                    turn.end().await;
                }
                () = evict.notified(), if idle => {
                    if !inbox.read_late(|| (clients.now)()).await {
                        return Closing::Immediate(CloseReason::Evicted);
                    }
                    progress.record_activity();
                }
                () = sleep_until(next.unwrap_or(now)), if next.is_some() => {
                    if limit.is_none_or(|limit| limit > Instant::now()) {
                        // The retirement plan has reached its next step.
                        continue;
                    }
                    if inbox.read_late(|| (clients.now)()).await {
                        progress.record_activity();
                    } else if let Some(reason) = self.close_reason_at_limit(&limits, progress) {
                        return Closing::Graceful(reason);
                    }
                }
                () = clients.retirement.changed.notified() => {}
                is_connected = inbox.receive(input_use, || (clients.now)()), if receives => {
                    // A client that closes its side has gone: its requests are abandoned.
                    if !is_connected {
                        return Closing::Immediate(CloseReason::Client);
                    }
                    if input_use == InputUse::Read {
                        progress.record_read();
                    }
                }
            }
        }
    }

    /// Publishes the state of the connection, for eviction and for the log.
    fn publish<R: Reading>(&self, progress: &Progress, inbox: &Inbox<'_, R>) {
        if let Some(entry) = self.clients.open_connections.borrow_mut().get_mut(&self.number) {
            let is_idle = self.pending.is_empty() && !self.has_unexecuted_input(inbox);
            entry.idle_since = is_idle.then_some(progress.last_active_at());
            entry.activity = progress.activity(self.newcomer.is_some());
            entry.state = self.connection_state(is_idle, progress);
            entry.pending_replies = self.pending.len();
            entry.last_received_at = inbox.last_read_at;
            entry.last_replied_at = progress.last_replied_at();
        }
    }

    fn connection_state(&self, is_idle: bool, progress: &Progress) -> ConnectionState {
        match (is_idle, progress.has_partial_command(), self.newcomer.is_some()) {
            _ if !self.input.reads_commands() => ConnectionState::Finishing,
            (false, _, _) => ConnectionState::Waiting,
            (true, true, _) => ConnectionState::CommandBegun,
            (true, false, true) => ConnectionState::Unasked,
            (true, false, false) => ConnectionState::Resting,
        }
    }

    /// The state that its retirement depends on.
    fn snapshot<R: Reading>(&self, progress: &Progress, inbox: &Inbox<'_, R>) -> ConnectionSnapshot {
        // Commands that wait for their turn count as those that wait for their replies.
        let has_input = self.has_unexecuted_input(inbox);
        ConnectionSnapshot {
            accepted_at: progress.connected_at(),
            has_sent_command: self.newcomer.is_none(),
            has_partial_command: progress.has_partial_command() && !has_input,
            has_pending_replies: has_input || !self.pending.is_empty(),
            awaits_node: has_input || self.pending.iter().any(|reply| reply.is_pending()),
            reads_commands: self.input.reads_commands(),
            last_replied_at: progress.last_replied_at(),
            last_received_at: inbox.last_read_at,
            taking: self.taking(),
        }
    }

    /// The state that its time limits depend on.
    fn limit_conditions(&self) -> LimitConditions {
        LimitConditions {
            newcomer: self.newcomer.is_some(),
            idle: self.pending.is_empty(),
            crowded: self.clients.is_crowded(),
            awaits_value: self.input.awaits_value(),
        }
    }

    /// Called when the earliest limit was reached and no input has arrived; returns why the connection closes, if it does.
    fn close_reason_at_limit(&mut self, limits: &Limits, progress: &Progress) -> Option<CloseReason> {
        if limits.rest_of_command_is_late() {
            self.protocol_error(Malformed("the rest of the command has not come"));
            return None;
        }
        if limits.first_command_is_late() {
            Some(CloseReason::FirstCommandLate)
        } else if progress.is_idle_too_long() {
            Some(CloseReason::Idle)
        } else {
            self.clients.is_crowded().then_some(CloseReason::Crowded)
        }
    }

    /// Counts the end of the connection, and logs it if the node closes it.
    fn report_close(&self, reason: CloseReason, progress: &Progress) {
        self.clients.ops_endpoint.metrics.closed.increment(reason);
        if reason == CloseReason::Client {
            return;
        }
        let ms = |since: Instant| since.elapsed().as_millis();
        let Amount { commands, bytes } = self.work.total();
        self.clients.log.write(
            EventKind::ConnectionClosed,
            format_args!(
                "reason={} connection={} age_ms={} requests={} answers={} open={} commands={commands} bytes={bytes}",
                reason.name(),
                self.number,
                ms(progress.connected_at()),
                self.requests,
                self.replies,
                self.pending.len()
            ),
        );
    }
}

/// Waits for the requested turn. Cancellation safe: the connection keeps its place among those that wait.
async fn granted_turn(request: &mut Option<TurnRequest>) -> Turn {
    let turn = match request {
        Some(waiting) => waiting.granted().await,
        None => None,
    };
    *request = None;
    match turn {
        Some(turn) => turn,
        None => std::future::pending().await,
    }
}

/// Why a connection ends that is closed by a retirement plan.
fn close_reason(cause: Option<RetirementCause>) -> CloseReason {
    match cause {
        Some(RetirementCause::Drain) => CloseReason::Drained,
        Some(RetirementCause::HandOver) => CloseReason::HandedOver,
        Some(RetirementCause::Stop) | None => CloseReason::Stopping,
    }
}
