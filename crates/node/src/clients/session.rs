//! The connection of one client from its first byte to its end: what it waits for, and when it is closed.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mothpier_host::{Host, Stream};
use mothpier_resp::{self as resp, MAX_VALUE, Malformed};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::Clients;
use super::answers::{Slot, ready_answers};
use super::reading::{Inbox, quiet};
use super::retiring::Leaving;
use super::state::State;
use crate::crowd::Doing;
use crate::stream::{part, read};

/// Answers of one connection that may wait, refusals and errors too; a client that goes on beyond is cut off.
const MAX_WAITING: usize = 1024;
/// A first command, and the rest of one that has begun, must come within this time: true clients may take 2 s, bad
/// ones are owed an error or a close within 3 s. A value need only go on.
const HALF: Duration = Duration::from_millis(2600);
/// The longest time that a value may take in all.
const VALUE: Duration = Duration::from_secs(30);
/// A connection that asks nothing for so long is closed: some clients keep theirs for good. The shorter time holds
/// once half of the connections that there may be are open, for clients can hold only so many and those that are
/// kept keep others out.
const IDLE: (Duration, Duration) = (Duration::from_secs(10), Duration::from_millis(2100));
/// How often an idle connection looks whether many have become open meanwhile.
const IDLE_LOOK: Duration = Duration::from_millis(250);
/// Before a process must have ended, all that is still open fails so long before, that the answers go out; and nothing more is
/// read from this long before, that it can be asked for at all.
const LAST: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(250));

/// How a session ends.
#[derive(Clone, Copy, PartialEq)]
enum Parting {
    /// The other side has gone, or its place is wanted at once.
    Close,
    /// In order: what may be on its way must meet the end of the stream, not a reset.
    HalfClose,
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

pub(super) struct Session<H> {
    pub(super) clients: Rc<Clients<H>>,
    pub(super) number: u64,
    /// In the order of the commands.
    pub(super) pending: VecDeque<Slot>,
    /// How many of them are requests that went on.
    pub(super) asked: usize,
    /// Until it has sent a command in the agreed form.
    pub(super) newcomer: Option<Newcomer>,
    pub(super) state: State,
}

impl<H: Host> Session<H> {
    /// Serves a connection until its end.
    pub(super) async fn run(&mut self, stream: H::Stream, evict: Rc<Notify>) {
        let (reading, mut writing) = stream.into_halves();
        if self.serve(&reading, &mut writing, evict).await == Parting::HalfClose {
            part(&reading, &mut writing).await;
        }
    }

    async fn serve(
        &mut self,
        reading: &<H::Stream as Stream>::Reading,
        writing: &mut <H::Stream as Stream>::Writing,
        evict: Rc<Notify>,
    ) -> Parting {
        let clients = self.clients.clone();
        let mut inbox = Inbox { reading, buffer: BytesMut::new(), came: (clients.now)() };
        let connected = Instant::now();
        // When the command that has not all come yet began to.
        let mut begun = None;
        // In how many pieces it has come so far.
        let mut pieces = 0;
        // Since when nothing was asked and nothing owed.
        let mut rests = connected;
        // Its last answer went out while connections were leaving behind theirs.
        let mut answered = false;
        loop {
            // Wherever it was read: none of it is a command.
            self.state.discard_refused(&mut inbox.buffer);
            while self.state.reads_commands() && !inbox.buffer.is_empty() {
                match resp::take_frame(&mut inbox.buffer, MAX_VALUE) {
                    Ok(Some(frame)) => {
                        (begun, pieces) = (None, 0);
                        let reserved = self.state.command_complete();
                        self.command(frame, inbox.came, reserved).await;
                    }
                    Ok(None) => {
                        self.large(&mut inbox.buffer, inbox.came);
                        break;
                    }
                    Err(e) => self.protocol_error(e),
                }
                if self.pending.len() > MAX_WAITING {
                    self.protocol_error(Malformed("too many commands at once"));
                }
            }
            let finishing = !self.state.reads_commands();
            self.state.discard_bytes(inbox.buffer.len());
            if finishing || (inbox.buffer.is_empty() && !self.state.misses_value()) {
                // An idle connection must not keep the room that its largest command took.
                (inbox.buffer, begun) = (BytesMut::new(), None);
            } else {
                begun.get_or_insert_with(Instant::now);
            }
            let doing = match begun {
                None if self.newcomer.is_none() => Doing::Rests,
                Some(_) if pieces > 1 => Doing::Writes,
                _ => Doing::Begins,
            };
            let idle = self.pending.is_empty();
            let now = Instant::now();
            if let Some(entry) = clients.open.borrow_mut().get_mut(&self.number) {
                (entry.idle, entry.doing) = (idle.then_some(rests), doing);
            }
            // Behind what was written meanwhile, which the client may still read.
            if self.state.client_has_closed() {
                return Parting::Close;
            }
            if finishing && idle {
                return Parting::HalfClose;
            }
            // Whoever always has a request open would be read from to the end, and not answered.
            let last = clients.retiring.ends.get().filter(|_| !idle);
            let last = last.map(|end| end - if finishing { LAST.0 } else { LAST.1 });
            if last.is_some_and(|last| last <= now) {
                self.state.finish();
                if !finishing || self.fail_open().await {
                    continue;
                }
            }
            let leaving = match clients.retiring.leaving() {
                Leaving::None => false,
                Leaving::Answered => answered,
                // One that has asked nothing yet may only just have come, to ask whether the node serves.
                Leaving::Resting => self.newcomer.is_none(),
            };
            let asks_nothing = idle && begun.is_none();
            let first = (self.newcomer.is_some() && asks_nothing).then_some(connected + HALF);
            let half = begun.map(|begun| match self.state.misses_value() {
                false => begun + HALF,
                // It need only go on.
                true => (rests + HALF).min(begun + VALUE),
            });
            let rest = asks_nothing.then_some(if leaving {
                now
            } else if rests + IDLE.1 > now || clients.crowded() {
                rests + IDLE.1
            } else {
                // Looked at again meanwhile: others may have come.
                (now + IDLE_LOOK).min(rests + IDLE.0)
            });
            let limit = [first, half, rest, last].into_iter().flatten().min();
            tokio::select! {
                biased;
                ready = ready_answers(&mut self.pending), if !idle => {
                    let whole = match ready {
                        0 => self.pass_on(&mut inbox, writing).await,
                        ready => self.write(ready, &mut inbox, writing).await,
                    };
                    rests = Instant::now();
                    answered = clients.retiring.leaving() >= Leaving::Answered;
                    if !whole {
                        return Parting::Close;
                    }
                }
                more = read(reading, &mut inbox.buffer), if self.state.takes_bytes() => {
                    // A client that closes has gone away: what it asked for is not wanted any more.
                    if !more {
                        return Parting::Close;
                    }
                    if self.state.reads_commands() {
                        (inbox.came, rests) = ((clients.now)(), Instant::now());
                        pieces += 1;
                    }
                }
                () = evict.notified(), if idle => {
                    if quiet(reading, &mut inbox.buffer).await {
                        return Parting::Close;
                    }
                    (inbox.came, rests) = ((clients.now)(), Instant::now());
                }
                () = sleep_until(limit.unwrap_or(now)), if limit.is_some() => {
                    if !quiet(reading, &mut inbox.buffer).await {
                        (inbox.came, rests) = ((clients.now)(), Instant::now());
                    } else if last.is_some_and(|last| last <= Instant::now()) {
                        continue;
                    } else if half.is_some_and(|half| half <= Instant::now()) {
                        self.protocol_error(Malformed("the rest of the command has not come"));
                    } else if first.is_some_and(|first| first <= Instant::now())
                        || leaving
                        || clients.crowded()
                        || rests.elapsed() >= IDLE.0
                    {
                        return Parting::HalfClose;
                    }
                }
                () = clients.retiring.changed.notified() => {}
            }
        }
    }
}
