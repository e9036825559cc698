//! Accepting the connections of clients, and turning them away where too many are new.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use mothpier_host::{Host, Listener, Stream};
use mothpier_ops::{CloseReason, Reason};
use mothpier_resp as resp;
use mothpier_storm::Verdict;
use tokio::io::AsyncWriteExt;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout};

use super::Clients;
use super::inbox::Unread;
use super::retiring::Listening;
use super::session::Session;
use super::shown::Entry;
use crate::accept_failures::{self, AcceptFailureTracker, Reaction};
use crate::event_log::EventKind;
use crate::memory_shortage::RetryingStream;
use crate::stream::{CLOSE_TIMEOUT, close_gracefully};

/// Pauses in a row at the end of the listening, at most: what is in the queue then is to be answered before the process
/// ends.
const REST_PAUSES: usize = 3;

/// The connections that the machine has accepted and nobody has taken.
struct Queue<L> {
    listener: L,
    /// When it was last seen empty: what is in it has come since.
    seen_empty: Option<Instant>,
}

impl<L: Listener> Queue<L> {
    fn new(listener: L) -> Self {
        Queue { listener, seen_empty: None }
    }

    /// Takes the next connection, once there is one.
    async fn next(&mut self) -> io::Result<(L::Stream, SocketAddr)> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Takes the next connection, if there is one.
    async fn next_by_now(&mut self) -> Option<io::Result<(L::Stream, SocketAddr)>> {
        poll_fn(|cx| match self.poll_next(cx) {
            Poll::Ready(accepted) => Poll::Ready(Some(accepted)),
            Poll::Pending => Poll::Ready(None),
        })
        .await
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<(L::Stream, SocketAddr)>> {
        let accepted = self.listener.poll_accept(cx);
        if accepted.is_pending() {
            self.seen_empty = Some(Instant::now());
        }
        accepted
    }

    /// Since when the connection that was taken last may have waited with what was sent on it.
    fn unread(&self) -> Unread {
        self.seen_empty.map_or(Unread::Unknown, Unread::Since)
    }
}

impl<H: Host> Clients<H> {
    /// Accepts until the listening ends; what the machine has accepted by then is still taken. While another process accepts
    /// from the same socket nothing is taken, and the listener is kept.
    pub async fn accept(self: Rc<Self>, listener: H::Listener) {
        let mut queue = Queue::new(listener);
        let mut number = 0u64;
        while self.retiring.listening.get() != Listening::TakeRest {
            number = self.accept_until_ended(&mut queue, number).await;
            self.retiring.left_to_another().await;
        }
        self.take_rest(&mut queue, number).await;
    }

    /// Accepts until nothing is to be accepted, for now or any more. Gives the number of the last connection.
    async fn accept_until_ended(self: &Rc<Self>, queue: &mut Queue<H::Listener>, mut number: u64) -> u64 {
        let mut failures = AcceptFailureTracker::default();
        loop {
            if self.count() >= self.most.get() {
                if !self.wait_for_room().await {
                    return number;
                }
                continue;
            }
            let accepted = tokio::select! {
                biased;
                () = self.retiring.listening_ended(), if self.retiring.listening.get() != Listening::TakeRest => return number,
                accepted = queue.next() => accepted,
                () = self.retiring.listening_ended() => return number,
            };
            number += 1;
            match accepted {
                Ok((stream, _)) => {
                    failures.record_success();
                    self.admit(stream, queue.unread(), number).await;
                }
                Err(error) => {
                    self.outlive(&error, &mut failures).await;
                }
            }
        }
    }

    /// Does what lets the next try succeed: the listener must outlive every failure.
    async fn outlive(&self, error: &io::Error, failures: &mut AcceptFailureTracker) -> Reaction {
        let reaction = failures.record_failure(&self.host, "clients", error);
        match reaction {
            Reaction::RetryImmediately => yield_now().await,
            Reaction::Pause => sleep(accept_failures::RETRY_DELAY).await,
            Reaction::EvictAndPause => {
                self.evict(true);
                sleep(accept_failures::RETRY_DELAY).await;
            }
        }
        reaction
    }

    /// At the limit one connection gives way; if none can, new ones wait. Whether any are still accepted.
    async fn wait_for_room(&self) -> bool {
        self.evict(true);
        tokio::select! {
            biased;
            () = self.closed.notified() => true,
            () = sleep(accept_failures::RETRY_DELAY) => true,
            () = self.retiring.listening_ended() => false,
        }
    }

    /// Lets a new connection in, or turns it away.
    async fn admit(self: &Rc<Self>, stream: H::Stream, unread: Unread, number: u64) {
        let verdict = self.admission.borrow_mut().admit(self.began.elapsed(), self.newcomers.get());
        if let Verdict::Reject(after) = verdict {
            // Each place is free again after a farewell at the latest.
            let place = self.turning_away.clone().acquire_owned().await.ok();
            return self.clone().turn_away(stream, after, place);
        }
        self.clone().start(stream, unread, number);
        // For each that comes while many are open one that rested longest goes, and another until they are fewer:
        // clients may hold fewer than the node could, and those who find all theirs kept by others can't even ask.
        if self.crowded() {
            self.evict(false);
            self.evict(false);
        }
    }

    /// Takes what the machine has accepted, where no other process would. One that was aborted before, or a moment without
    /// a descriptor, leaves those behind it no less to be answered.
    async fn take_rest(self: &Rc<Self>, queue: &mut Queue<H::Listener>, mut number: u64) {
        let (mut failures, mut pauses) = (AcceptFailureTracker::default(), 0);
        // Once round the runtime, which looks at the sockets then.
        yield_now().await;
        while self.retiring.listening.get() == Listening::TakeRest && pauses < REST_PAUSES {
            match queue.next_by_now().await {
                None => return,
                Some(Ok((stream, _))) => {
                    failures.record_success();
                    pauses = 0;
                    number += 1;
                    self.clone().start(stream, queue.unread(), number);
                }
                Some(Err(error)) => {
                    let reaction = self.outlive(&error, &mut failures).await;
                    pauses += usize::from(reaction != Reaction::RetryImmediately);
                }
            }
        }
    }

    /// Tells a connection to come back later and closes it, in that order: what it has sent already must not make the
    /// close a reset, which could overtake the answer.
    fn turn_away(self: Rc<Self>, stream: H::Stream, after: Duration, place: Option<OwnedSemaphorePermit>) {
        self.connections.set(self.connections.get() + 1);
        let reason = CloseReason::TurnedAway;
        self.desk.metrics.closed.increment(reason);
        let after_ms = after.as_millis().max(1);
        self.log.write(
            EventKind::ConnectionClosed,
            format_args!("reason={} requests=0 answers=0 retry_after_ms={after_ms}", reason.name()),
        );
        tokio::task::spawn_local(async move {
            let (reading, writing) = stream.into_halves();
            let mut writing = RetryingStream::new(writing);
            let line = resp::encode_error(&format!("BUSY {after_ms}"));
            if let Ok(Ok(())) = timeout(CLOSE_TIMEOUT, writing.write_all(&line)).await {
                close_gracefully(&reading, &mut writing).await;
            }
            drop(place);
        });
    }

    /// Serves a connection in a task of its own.
    fn start(self: Rc<Self>, stream: H::Stream, unread: Unread, number: u64) {
        self.connections.set(self.connections.get() + 1);
        let evict = Rc::new(Notify::new());
        self.open.borrow_mut().insert(number, Entry::new(evict.clone()));
        tokio::task::spawn_local(async move {
            let mut session = Session::new(self.clone(), number);
            session.run(stream, unread, evict).await;
            session.abandon_requests().await;
            drop(session);
            self.open.borrow_mut().remove(&number);
            self.closed.notify_waiters();
            self.closed.notify_one();
        });
    }
}
