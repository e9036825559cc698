//! A connection from its first byte to its end: what it waits for, and when it is closed.

use std::rc::Rc;

use bytes::BytesMut;
use mothpier_host::{Host, Reading, Stream};
use mothpier_ops::{CloseReason, Reason};
use mothpier_resp::{self as resp, MAX_VALUE_BYTES, Malformed};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::ClientWriting;
use super::inbox::{Inbox, Unread};
use super::owed::{Ready, ready_answers};
use super::reading::quiet;
use super::retirement::{Act, Cause, Standing};
use super::session::Session;
use super::shown::ConnectionState;
use super::timing::{Limits, Progress, Situation};
use crate::event_log::EventKind;
use crate::memory_shortage::RetryingStream;
use crate::stream::{CLOSE_TIMEOUT, close_gracefully};

/// Answers of one connection that may wait, refusals and errors too; a client that goes on beyond is cut off.
const MAX_WAITING: usize = 1024;

/// How a session ends.
#[derive(Clone, Copy, PartialEq)]
enum Closing {
    /// The other side has gone, or its place is wanted at once.
    AtOnce(CloseReason),
    /// In order: what may be on its way must meet the end of the stream, not a reset.
    InOrder(CloseReason),
}

impl Closing {
    fn reason(self) -> CloseReason {
        match self {
            Closing::AtOnce(reason) | Closing::InOrder(reason) => reason,
        }
    }
}

impl<H: Host> Session<H> {
    /// Serves a connection until its end. What it has sent may lie unread for so long.
    pub(super) async fn run(&mut self, stream: H::Stream, unread: Unread, evict: Rc<Notify>) {
        let (reading, writing) = stream.into_halves();
        let mut writing = RetryingStream::new(writing);
        let mut progress = Progress::new(Instant::now());
        let mut inbox = Inbox::new(&reading, (self.clients.now)(), unread);
        let closing = self.serve(&mut inbox, &mut writing, &mut progress, evict).await;
        self.tell_closing(closing.reason(), &progress);
        if let Closing::InOrder(_) = closing {
            self.show_state(ConnectionState::Closing);
            let latest = Instant::now() + CLOSE_TIMEOUT;
            let latest = self.clients.retiring.plans().cut().map_or(latest, |cut| cut.min(latest));
            let _ = timeout_at(latest, close_gracefully(&reading, &mut writing)).await;
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
        let reading = inbox.reading;
        // Whether it was looked once more for what has arrived, since nothing that arrives can put the end off any more. Where
        // this process was held up, that may be a whole command.
        let mut looked = false;
        loop {
            self.take_commands(inbox, progress).await;
            let idle = self.pending.is_empty();
            let now = Instant::now();
            self.show(progress, inbox);
            // Behind what was written meanwhile, which the client may still read.
            if self.state.client_has_closed() {
                return Closing::AtOnce(CloseReason::Client);
            }
            if idle && !self.state.reads_commands() {
                return Closing::InOrder(self.finished_by.unwrap_or(CloseReason::Protocol));
            }
            let plans = clients.retiring.plans();
            // Most of the time there is no plan, and nothing to find out for it.
            let standing = plans.are_in_force().then(|| self.standing(progress, inbox));
            match standing.map_or((Act::Keep, None), |standing| plans.act(&standing, now)) {
                (Act::Keep, _) => {}
                (Act::CloseUnlessAsked, cause) => {
                    if quiet(reading, &mut inbox.buffer).await {
                        return Closing::InOrder(close_reason(cause));
                    }
                    inbox.has_received((clients.now)());
                    progress.active_now();
                    continue;
                }
                (Act::Close | Act::EndCommand, _) if !std::mem::replace(&mut looked, true) => {
                    if !quiet(reading, &mut inbox.buffer).await {
                        inbox.has_received((clients.now)());
                        progress.active_now();
                    }
                    continue;
                }
                (Act::Close, cause) => return Closing::InOrder(close_reason(cause)),
                (Act::EndCommand, _) => {
                    self.protocol_error(Malformed("the rest of the command has not come"));
                    continue;
                }
                (Act::FailOpen, cause) => {
                    self.finish(close_reason(cause));
                    self.fail_open().await;
                    continue;
                }
                (Act::Cut, _) => return Closing::AtOnce(CloseReason::RetirementOver),
            }
            let limits = Limits::of(progress, self.situation(), now);
            let limit = limits.next();
            let retires = standing.and_then(|standing| plans.next(&standing, now));
            let next = limit.into_iter().chain(retires).min();
            tokio::select! {
                biased;
                ready = ready_answers(&mut self.pending), if !idle => {
                    let taken = match ready {
                        Ready::LargeValue => self.pass_on(inbox, writing).await,
                        Ready::Answers(ready) => self.write(ready, inbox, writing).await,
                    };
                    progress.answered_now();
                    if let Err(reason) = taken {
                        return Closing::AtOnce(reason);
                    }
                }
                more = inbox.read(|| (clients.now)()), if self.state.takes_bytes() => {
                    // A client that closes has gone away: what it asked for is not wanted any more.
                    if !more {
                        return Closing::AtOnce(CloseReason::Client);
                    }
                    if self.state.reads_commands() {
                        progress.piece_arrived();
                    }
                }
                () = evict.notified(), if idle => {
                    if quiet(reading, &mut inbox.buffer).await {
                        return Closing::AtOnce(CloseReason::Evicted);
                    }
                    inbox.has_received((clients.now)());
                    progress.active_now();
                }
                () = sleep_until(next.unwrap_or(now)), if next.is_some() => {
                    if limit.is_none_or(|limit| limit > Instant::now()) {
                        // The retirement has come further.
                        continue;
                    }
                    if !quiet(reading, &mut inbox.buffer).await {
                        inbox.has_received((clients.now)());
                        progress.active_now();
                    } else if let Some(reason) = self.limit_reached(&limits, progress) {
                        return Closing::InOrder(reason);
                    }
                }
                () = clients.retiring.changed.notified() => {}
            }
        }
    }

    /// Carries out the commands that have arrived whole.
    async fn take_commands<R: Reading>(&mut self, inbox: &mut Inbox<'_, R>, progress: &mut Progress) {
        // Wherever it was read: none of it is a command.
        self.state.discard_refused(&mut inbox.buffer);
        while self.state.reads_commands() && !inbox.buffer.is_empty() {
            match resp::take_frame(&mut inbox.buffer, MAX_VALUE_BYTES) {
                Ok(Some(frame)) => {
                    progress.command_complete();
                    let reserved = self.state.command_complete();
                    self.command(frame, inbox.received(), reserved).await;
                }
                Ok(None) => {
                    let received = inbox.received();
                    self.large(&mut inbox.buffer, received);
                    break;
                }
                Err(e) => self.protocol_error(e),
            }
            if self.pending.len() > MAX_WAITING {
                self.protocol_error(Malformed("too many commands at once"));
            }
        }
        self.state.discard_bytes(inbox.buffer.len());
        let between_commands = inbox.buffer.is_empty() && !self.state.misses_value();
        if between_commands || !self.state.reads_commands() {
            // An idle connection must not keep the room that its largest command took.
            inbox.buffer = BytesMut::new();
            progress.no_command_begun();
        } else {
            progress.command_begun();
        }
    }

    /// Shows what the connection does, for the choice of the one that gives way and for those who watch.
    fn show<R>(&self, progress: &Progress, inbox: &Inbox<'_, R>) {
        if let Some(entry) = self.clients.open.borrow_mut().get_mut(&self.number) {
            entry.idle = self.pending.is_empty().then_some(progress.last_active());
            entry.activity = progress.activity(self.newcomer.is_some());
            entry.state = self.connection_state(progress);
            entry.open = self.pending.len();
            entry.received = inbox.last_byte;
            entry.answered = progress.last_answered();
        }
    }

    fn connection_state(&self, progress: &Progress) -> ConnectionState {
        match (self.pending.is_empty(), progress.has_begun(), self.newcomer.is_some()) {
            _ if !self.state.reads_commands() => ConnectionState::Finishing,
            (false, _, _) => ConnectionState::Waiting,
            (true, true, _) => ConnectionState::CommandBegun,
            (true, false, true) => ConnectionState::Unasked,
            (true, false, false) => ConnectionState::Resting,
        }
    }

    /// What its retirement depends on.
    fn standing<R>(&self, progress: &Progress, inbox: &Inbox<'_, R>) -> Standing {
        Standing {
            accepted: progress.connected(),
            has_asked: self.newcomer.is_none(),
            command_begun: progress.has_begun(),
            open: !self.pending.is_empty(),
            waits: self.pending.iter().any(|slot| slot.waits()),
            reads_commands: self.state.reads_commands(),
            answered: progress.last_answered(),
            received: inbox.last_byte,
        }
    }

    /// What its limits depend on.
    fn situation(&self) -> Situation {
        Situation {
            newcomer: self.newcomer.is_some(),
            idle: self.pending.is_empty(),
            crowded: self.clients.crowded(),
            misses_value: self.state.misses_value(),
        }
    }

    /// The next of its limits was reached, and nothing has arrived: why it closes, if it does.
    fn limit_reached(&mut self, limits: &Limits, progress: &Progress) -> Option<CloseReason> {
        if limits.rest_of_command_is_late() {
            self.protocol_error(Malformed("the rest of the command has not come"));
            return None;
        }
        if limits.first_command_is_late() {
            Some(CloseReason::FirstCommandLate)
        } else if progress.idle_too_long() {
            Some(CloseReason::Idle)
        } else {
            self.clients.crowded().then_some(CloseReason::Crowded)
        }
    }

    /// Counts the end of the connection, and logs it where it is the node that ends it.
    fn tell_closing(&self, reason: CloseReason, progress: &Progress) {
        self.clients.desk.metrics.closed.increment(reason);
        if reason == CloseReason::Client {
            return;
        }
        let ms = |since: Instant| since.elapsed().as_millis();
        self.clients.log.write(
            EventKind::ConnectionClosed,
            format_args!(
                "reason={} connection={} age_ms={} requests={} answers={} open={}",
                reason.name(),
                self.number,
                ms(progress.connected()),
                self.requests,
                self.answers,
                self.pending.len()
            ),
        );
    }
}

/// Why a connection ends that a plan closes.
fn close_reason(cause: Option<Cause>) -> CloseReason {
    match cause {
        Some(Cause::Drain) => CloseReason::Drained,
        Some(Cause::HandOver) => CloseReason::HandedOver,
        Some(Cause::Stop) | None => CloseReason::Stopping,
    }
}
