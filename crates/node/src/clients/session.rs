//! The connection of one client from its first byte to its end: what it waits for, and when it is closed.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::BytesMut;
use mothpier_host::{Host, Stream};
use mothpier_resp::{self as resp, MAX_VALUE, Malformed};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::answers::{Ready, Slot, ready_answers};
use super::reading::{Inbox, quiet};
use super::retiring::Leaving;
use super::state::State;
use super::timing::{Limits, Progress, Situation, last_before};
use super::{ClientWriting, Clients};
use crate::shortage::Outlasting;
use crate::stream::{close_in_order, read};

/// Answers of one connection that may wait, refusals and errors too; a client that goes on beyond is cut off.
const MAX_WAITING: usize = 1024;

/// How a session ends.
#[derive(Clone, Copy, PartialEq)]
enum Closing {
    /// The other side has gone, or its place is wanted at once.
    AtOnce,
    /// In order: what may be on its way must meet the end of the stream, not a reset.
    InOrder,
}

/// Counts a connection among those that have not sent a whole command yet, for as long as this lives.
pub(super) struct Newcomer(Rc<Cell<usize>>);

impl Newcomer {
    pub(super) fn count(newcomers: &Rc<Cell<usize>>) -> Newcomer {
        newcomers.set(newcomers.get() + 1);
        Newcomer(newcomers.clone())
    }
}

impl Drop for Newcomer {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// One connection of a client.
pub(super) struct Session<H> {
    pub(super) clients: Rc<Clients<H>>,
    /// Names the connection inside this process.
    pub(super) number: u64,
    /// In the order of the commands.
    pub(super) pending: VecDeque<Slot>,
    /// How many of them are requests that went on.
    pub(super) asked: usize,
    /// Until it has sent a command in the agreed form.
    pub(super) newcomer: Option<Newcomer>,
    /// The process ends too soon for more requests than are open: those that come are refused at once. Left unread they
    /// would be lost with the connection.
    pub(super) refuses: bool,
    pub(super) state: State,
}

impl<H: Host> Session<H> {
    /// Serves a connection until its end.
    pub(super) async fn run(&mut self, stream: H::Stream, evict: Rc<Notify>) {
        let (reading, writing) = stream.into_halves();
        let mut writing = Outlasting::new(writing);
        if self.serve(&reading, &mut writing, evict).await == Closing::InOrder {
            close_in_order(&reading, &mut writing).await;
        }
    }

    async fn serve(
        &mut self,
        reading: &<H::Stream as Stream>::Reading,
        writing: &mut ClientWriting<H>,
        evict: Rc<Notify>,
    ) -> Closing {
        let clients = self.clients.clone();
        let mut inbox = Inbox { reading, buffer: BytesMut::new(), received: (clients.now)() };
        let mut progress = Progress::new(Instant::now());
        loop {
            self.take_commands(&mut inbox, &mut progress).await;
            let idle = self.pending.is_empty();
            let now = Instant::now();
            self.show(&progress);
            // Behind what was written meanwhile, which the client may still read.
            if self.state.client_has_closed() {
                return Closing::AtOnce;
            }
            if idle && !self.state.reads_commands() {
                return Closing::InOrder;
            }
            self.refuses &= !idle;
            let situation = self.situation(&progress);
            if situation.last.is_some_and(|last| last <= now) && self.process_ends().await {
                continue;
            }
            let limits = Limits::of(&progress, situation, now);
            let limit = limits.next();
            tokio::select! {
                biased;
                ready = ready_answers(&mut self.pending), if !idle => {
                    let whole = match ready {
                        Ready::LargeValue => self.pass_on(&mut inbox, writing).await,
                        Ready::Answers(ready) => self.write(ready, &mut inbox, writing).await,
                    };
                    progress.active_now();
                    progress.answered_while_leaving = clients.retiring.leaving() >= Leaving::Answered;
                    if !whole {
                        return Closing::AtOnce;
                    }
                }
                more = read(reading, &mut inbox.buffer), if self.state.takes_bytes() => {
                    // A client that closes has gone away: what it asked for is not wanted any more.
                    if !more {
                        return Closing::AtOnce;
                    }
                    if self.state.reads_commands() {
                        inbox.received = (clients.now)();
                        progress.piece_arrived();
                    }
                }
                () = evict.notified(), if idle => {
                    if quiet(reading, &mut inbox.buffer).await {
                        return Closing::AtOnce;
                    }
                    inbox.received = (clients.now)();
                    progress.active_now();
                }
                () = sleep_until(limit.unwrap_or(now)), if limit.is_some() => {
                    if !quiet(reading, &mut inbox.buffer).await {
                        inbox.received = (clients.now)();
                        progress.active_now();
                    } else if let Some(closing) = self.limit_reached(&limits, &progress, situation.leaving) {
                        return closing;
                    }
                }
                () = clients.retiring.changed.notified() => {}
            }
        }
    }

    /// Carries out the commands that have arrived whole.
    async fn take_commands<R>(&mut self, inbox: &mut Inbox<'_, R>, progress: &mut Progress) {
        // Wherever it was read: none of it is a command.
        self.state.discard_refused(&mut inbox.buffer);
        while self.state.reads_commands() && !inbox.buffer.is_empty() {
            match resp::take_frame(&mut inbox.buffer, MAX_VALUE) {
                Ok(Some(frame)) => {
                    progress.command_complete();
                    let reserved = self.state.command_complete();
                    self.command(frame, inbox.received, reserved).await;
                }
                Ok(None) => {
                    self.large(&mut inbox.buffer, inbox.received);
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

    /// Shows what the connection does, for the choice of the one that gives way.
    fn show(&self, progress: &Progress) {
        if let Some(entry) = self.clients.open.borrow_mut().get_mut(&self.number) {
            entry.idle = self.pending.is_empty().then_some(progress.last_active());
            entry.activity = progress.activity(self.newcomer.is_some());
        }
    }

    /// What its limits depend on.
    fn situation(&self, progress: &Progress) -> Situation {
        let idle = self.pending.is_empty();
        // Whoever always has a request open would be read from to the end, and not answered.
        let end = self.clients.retiring.ends.get().filter(|_| !idle);
        Situation {
            newcomer: self.newcomer.is_some(),
            idle,
            leaving: self.is_leaving(progress),
            crowded: self.clients.crowded(),
            misses_value: self.state.misses_value(),
            last: end.map(|end| last_before(end, self.is_ending())),
        }
    }

    /// Whether what is open is all that may still be served.
    fn is_ending(&self) -> bool {
        self.refuses || !self.state.reads_commands()
    }

    /// The end of the process is near: first no more requests are passed on, then those that are open fail and nothing
    /// more is read. Whether that changed anything.
    async fn process_ends(&mut self) -> bool {
        if !self.is_ending() {
            self.refuses = true;
            return true;
        }
        self.state.finish();
        self.fail_open().await
    }

    /// Whether it is to go as soon as it asks nothing.
    fn is_leaving(&self, progress: &Progress) -> bool {
        match self.clients.retiring.leaving() {
            Leaving::None => false,
            Leaving::Answered => progress.answered_while_leaving,
            // One that has asked nothing yet may only just have come, to ask whether the node serves.
            Leaving::Resting => self.newcomer.is_none(),
        }
    }

    /// The next of its limits was reached, and nothing has arrived: how it ends, if it does.
    fn limit_reached(&mut self, limits: &Limits, progress: &Progress, leaving: bool) -> Option<Closing> {
        if limits.process_ends() {
            return None;
        }
        if limits.rest_of_command_is_late() {
            self.protocol_error(Malformed("the rest of the command has not come"));
            return None;
        }
        let close =
            limits.first_command_is_late() || leaving || self.clients.crowded() || progress.idle_too_long();
        close.then_some(Closing::InOrder)
    }
}
