//! Accepts connections of clients, and turns them away if too many are new.

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
use super::connection_state::ConnectionEntry;
use super::inbox::Unread;
use super::retirement_control::AcceptMode;
use super::session::Session;
use crate::accept_failures::{self, AcceptFailureTracker, Reaction};
use crate::discarding::Discarding;
use crate::event_log::EventKind;
use crate::memory_shortage::RetryingStream;
use crate::stream::{CLOSE_TIMEOUT, close_gracefully};

/// Most consecutive pauses while the accept queue is drained: its connections must be answered before the process ends.
const MAX_FINAL_PAUSES: usize = 3;

/// The listener's queue of connections that the kernel has accepted.
struct AcceptQueue<L> {
    listener: L,
    /// When it was last empty: queued connections arrived later.
    seen_empty: Option<Instant>,
}

impl<L: Listener> AcceptQueue<L> {
    fn new(listener: L) -> Self {
        AcceptQueue { listener, seen_empty: None }
    }

    /// Waits for the next connection and takes it.
    async fn next(&mut self) -> io::Result<(L::Stream, SocketAddr)> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Takes the next connection, if there is one.
    async fn try_next(&mut self) -> Option<io::Result<(L::Stream, SocketAddr)>> {
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

    /// Since when bytes sent on the last connection may have waited.
    fn unread(&self) -> Unread {
        self.seen_empty.map_or(Unread::Unknown, Unread::Since)
    }
}

impl<H: Host> Clients<H> {
    /// Accepts connections until this stops; connections already in the accept queue are then still taken. While another
    /// process accepts from the same socket none is taken, and the listener is kept open.
    pub async fn accept(self: Rc<Self>, listener: H::Listener) {
        let mut queue = AcceptQueue::new(listener);
        let mut number = 0u64;
        while self.retirement.accept_mode.get() != AcceptMode::DrainQueue {
            number = self.accept_until_stopped(&mut queue, number).await;
            self.retirement.accepting_left_to_other_process().await;
        }
        self.drain_queue(&mut queue, number).await;
    }

    /// Accepts until accepting stops, for now or for good. Returns the number of the last connection.
    async fn accept_until_stopped(
        self: &Rc<Self>,
        queue: &mut AcceptQueue<H::Listener>,
        mut number: u64,
    ) -> u64 {
        let mut failures = AcceptFailureTracker::default();
        loop {
            if self.open_count() >= self.max_connections.get() {
                if !self.wait_for_room().await {
                    return number;
                }
                continue;
            }
            let accepted = tokio::select! {
                biased;
                () = self.retirement.accepting_stopped(), if self.retirement.accept_mode.get() != AcceptMode::DrainQueue => return number,
                accepted = queue.next() => accepted,
                () = self.retirement.accepting_stopped() => return number,
            };
            number += 1;
            match accepted {
                Ok((stream, _)) => {
                    failures.record_success();
                    self.admit(stream, queue.unread(), number).await;
                }
                Err(error) => {
                    self.handle_accept_failure(&error, &mut failures).await;
                }
            }
        }
    }

    /// Reacts to a failure so that the next try can succeed: the listener must survive every failure.
    async fn handle_accept_failure(
        &self,
        error: &io::Error,
        failures: &mut AcceptFailureTracker,
    ) -> Reaction {
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

    /// At the limit, evicts one connection; if none can be, new ones wait. Returns whether connections are still accepted.
    async fn wait_for_room(&self) -> bool {
        self.evict(true);
        tokio::select! {
            biased;
            () = self.connection_closed.notified() => true,
            () = sleep(accept_failures::RETRY_DELAY) => true,
            () = self.retirement.accepting_stopped() => false,
        }
    }

    /// Admits a new connection or turns it away.
    async fn admit(self: &Rc<Self>, stream: H::Stream, unread: Unread, number: u64) {
        let verdict = self.admission.borrow_mut().admit(self.started_at.elapsed(), self.newcomers.get());
        if let Verdict::Reject(retry_after) = verdict {
            // A permit is released once the connection has been turned away.
            let permit = self.turn_away_permits.clone().acquire_owned().await.ok();
            return self.clone().turn_away(stream, retry_after, permit);
        }
        self.clone().spawn_session(stream, unread, number);
        // While many connections are open, each new one evicts the one that was idle longest, and another so that their
        // number falls: clients may hold fewer connections than the node could, and a client whose connections are all
        // held open by others can't even send a request.
        if self.is_crowded() {
            self.evict(false);
            self.evict(false);
        }
    }

    /// Takes the connections left in the accept queue, which no other process would accept. A connection that was aborted,
    /// or a short lack of descriptors, does not keep those behind it from being served.
    async fn drain_queue(self: &Rc<Self>, queue: &mut AcceptQueue<H::Listener>, mut number: u64) {
        let (mut failures, mut pauses) = (AcceptFailureTracker::default(), 0);
        // Yield to the runtime once, so that it polls the sockets.
        yield_now().await;
        while self.retirement.accept_mode.get() == AcceptMode::DrainQueue && pauses < MAX_FINAL_PAUSES {
            match queue.try_next().await {
                None => return,
                Some(Ok((stream, _))) => {
                    failures.record_success();
                    pauses = 0;
                    number += 1;
                    self.clone().spawn_session(stream, queue.unread(), number);
                }
                Some(Err(error)) => {
                    let reaction = self.handle_accept_failure(&error, &mut failures).await;
                    pauses += usize::from(reaction != Reaction::RetryImmediately);
                }
            }
        }
    }

    /// Replies to a connection to come back later, and closes it gracefully: closing with unread bytes would cause a reset,
    /// which could overtake the reply.
    fn turn_away(
        self: Rc<Self>,
        stream: H::Stream,
        retry_after: Duration,
        permit: Option<OwnedSemaphorePermit>,
    ) {
        self.total_connections.set(self.total_connections.get() + 1);
        let reason = CloseReason::TurnedAway;
        self.ops_endpoint.metrics.closed.increment(reason);
        let after_ms = retry_after.as_millis().max(1);
        self.log.write(
            EventKind::ConnectionClosed,
            format_args!("reason={} requests=0 answers=0 retry_after_ms={after_ms}", reason.name()),
        );
        tokio::task::spawn_local(async move {
            let (reading, writing) = stream.into_halves();
            let mut writing = RetryingStream::new(writing);
            let reply = resp::encode_error(&format!("BUSY {after_ms}"));
            if let Ok(Ok(())) = timeout(CLOSE_TIMEOUT, writing.write_all(&reply)).await {
                close_gracefully(&reading, &mut writing, Discarding::new(&self.discard_rate)).await;
            }
            drop(permit);
        });
    }

    /// Serves a connection in a task of its own.
    fn spawn_session(self: Rc<Self>, stream: H::Stream, unread: Unread, number: u64) {
        self.total_connections.set(self.total_connections.get() + 1);
        let evict = Rc::new(Notify::new());
        self.open_connections.borrow_mut().insert(number, ConnectionEntry::new(evict.clone()));
        tokio::task::spawn_local(async move {
            let mut session = Session::new(self.clone(), number);
            session.run(stream, unread, evict).await;
            session.abandon_requests().await;
            drop(session);
            self.open_connections.borrow_mut().remove(&number);
            self.connection_closed.notify_waiters();
            self.connection_closed.notify_one();
        });
    }
}
