//! Turns of client connections at having their commands executed.
//!
//! One connection has a turn at a time, and executes a bounded amount of work in it (deficit round robin). Between two turns
//! all other tasks of the process run once: what a connection sends never keeps the answers of others waiting for longer
//! than a turn. A connection that asks for little has its turn before those that ask for much. No I/O.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

/// Work that a connection may have executed in one turn, in commands that cost nothing beyond parsing.
const TURN_WORK: u32 = 20;
/// Work of a request that is forwarded, beside that of its command.
const FORWARDED_WORK: u32 = 3;
/// So many bytes of a command cost as much as a command.
const BYTES_PER_WORK: usize = 1024;
/// Time in which a connection may use up the work of one turn and still counts as light.
const LIGHT_PERIOD: Duration = Duration::from_millis(100);
/// The recent work of a connection counts up to this many turns: it is light again soon after it has stopped.
const MAX_COUNTED_TURNS: u32 = 10;
/// So many turns of light connections in a row are followed by one of a heavy connection.
const MAX_LIGHT_TURNS_IN_A_ROW: u32 = 8;

/// Whether a connection has had much work done lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Load {
    Light,
    Heavy,
}

/// The work that a connection has had done lately, and what it may still have done in its turn.
#[derive(Debug)]
pub(super) struct WorkAccount {
    /// Recent work, which is forgotten at the rate of one turn's work in each [`LIGHT_PERIOD`].
    recent: f64,
    counted_at: Instant,
    /// Work done beyond that of the last turn.
    overdraft: u32,
    /// Work left in the current turn.
    left: u32,
}

impl WorkAccount {
    /// For a connection that has had nothing done.
    pub(super) fn new(now: Instant) -> Self {
        WorkAccount { recent: 0.0, counted_at: now, overdraft: 0, left: 0 }
    }

    /// Forgets earlier work by the time that has passed.
    pub(super) fn load(&mut self, now: Instant) -> Load {
        let forgotten = (now - self.counted_at).div_duration_f64(LIGHT_PERIOD) * f64::from(TURN_WORK);
        (self.recent, self.counted_at) = ((self.recent - forgotten).max(0.0), now);
        if self.recent < f64::from(TURN_WORK) { Load::Light } else { Load::Heavy }
    }

    /// Begins a turn.
    pub(super) fn begin_turn(&mut self) {
        self.left = TURN_WORK.saturating_sub(self.overdraft);
        self.overdraft = self.overdraft.saturating_sub(TURN_WORK);
    }

    /// Whether more may be done in this turn.
    pub(super) fn has_work_left(&self) -> bool {
        self.left > 0
    }

    /// Counts a command of this length, and whether it was a request that was forwarded.
    pub(super) fn count_command(&mut self, bytes: usize, forwarded: bool) {
        let for_bytes = u32::try_from(bytes / BYTES_PER_WORK).unwrap_or(u32::MAX);
        let work = (1 + u32::from(forwarded) * FORWARDED_WORK).saturating_add(for_bytes);
        self.overdraft = self.overdraft.saturating_add(work.saturating_sub(self.left));
        self.left = self.left.saturating_sub(work);
        self.recent = (self.recent + f64::from(work)).min(f64::from(TURN_WORK * MAX_COUNTED_TURNS));
    }
}

#[derive(Debug, Default)]
struct Queues {
    /// Whether a connection has its turn.
    in_use: bool,
    light: VecDeque<oneshot::Sender<Turn>>,
    heavy: VecDeque<oneshot::Sender<Turn>>,
    light_turns_in_a_row: u32,
}

impl Queues {
    /// Takes the connection whose turn is next.
    fn next(&mut self) -> Option<oneshot::Sender<Turn>> {
        let light_first = self.light_turns_in_a_row < MAX_LIGHT_TURNS_IN_A_ROW;
        let next = if light_first { take_first(&mut self.light) } else { None };
        if next.is_some() {
            self.light_turns_in_a_row += 1;
            return next;
        }
        self.light_turns_in_a_row = 0;
        take_first(&mut self.heavy).or_else(|| take_first(&mut self.light))
    }
}

/// Takes the first connection that still waits.
fn take_first(queue: &mut VecDeque<oneshot::Sender<Turn>>) -> Option<oneshot::Sender<Turn>> {
    loop {
        let waiting = queue.pop_front()?;
        if !waiting.is_closed() {
            return Some(waiting);
        }
    }
}

/// The connections that wait for their turn.
#[derive(Clone, Debug, Default)]
pub(super) struct TurnQueue(Rc<RefCell<Queues>>);

impl TurnQueue {
    /// Requests a turn. It is lost if the result is dropped.
    pub(super) fn request(&self, load: Load) -> TurnRequest {
        let (waiting, granted) = oneshot::channel();
        let mut queues = self.0.borrow_mut();
        match load {
            Load::Light => queues.light.push_back(waiting),
            Load::Heavy => queues.heavy.push_back(waiting),
        }
        let is_free = !queues.in_use;
        drop(queues);
        if is_free {
            self.grant_next();
        }
        TurnRequest(granted)
    }

    fn grant_next(&self) {
        let next = {
            let mut queues = self.0.borrow_mut();
            let next = queues.next();
            queues.in_use = next.is_some();
            next
        };
        if let Some(waiting) = next {
            // Where the connection ends at this moment, the turn is dropped, and goes to the next one.
            let _ = waiting.send(Turn(self.clone()));
        }
    }
}

/// The turn of a connection. The next one has its turn once this is dropped.
#[derive(Debug)]
pub(super) struct Turn(TurnQueue);

impl Turn {
    /// Ends the turn after all other tasks that are ready have run.
    pub(super) async fn end(self) {
        tokio::task::yield_now().await;
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.grant_next();
    }
}

/// A requested turn.
#[derive(Debug)]
pub(super) struct TurnRequest(oneshot::Receiver<Turn>);

impl TurnRequest {
    /// Waits for the turn; `None` only if there is no queue any more. Cancellation safe until it is granted.
    pub(super) async fn granted(&mut self) -> Option<Turn> {
        (&mut self.0).await.ok()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client_turns.rs"]
mod tests;
