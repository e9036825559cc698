//! Tracks what a node uses of its permits.

use std::collections::{BTreeMap, VecDeque};

use crate::{Millis, Permits};

/// Identifies a call; no two calls of one incarnation of a node have the same number.
pub type CallId = u64;

/// Counts running calls and those begun in the last window. Its size is bounded by the permits that are
/// checked against.
#[derive(Clone, Debug)]
pub struct Meter {
    /// Duration by the node's own clock, which may be fast.
    window: Millis,
    /// Deadline of each running call.
    running: BTreeMap<CallId, Millis>,
    started: VecDeque<Millis>,
    fixed_window: Option<Millis>,
}

impl Meter {
    /// Creates a meter without calls. The window is by the node's own clock: see
    /// [`Timing::certainly_elapsed`](crate::Timing::certainly_elapsed).
    pub fn new(window: Millis) -> Meter {
        Meter { window, running: BTreeMap::new(), started: VecDeque::new(), fixed_window: None }
    }

    /// Counts calls in fixed windows instead of a sliding one, for tests.
    pub(crate) fn with_fixed_windows(mut self) -> Meter {
        self.fixed_window = Some(0);
        self
    }

    /// Begins a call if the permits allow one more.
    pub fn try_begin(&mut self, now: Millis, call: CallId, deadline: Millis, permits: Permits) -> bool {
        let usage = self.usage(now);
        if usage.outstanding >= permits.outstanding || usage.calls >= permits.calls {
            return false;
        }
        self.record(now, call, deadline);
        true
    }

    /// Counts a call that was begun.
    pub(crate) fn record(&mut self, now: Millis, call: CallId, deadline: Millis) {
        self.running.insert(call, deadline);
        self.started.push_back(now);
    }

    /// Removes a call that has ended with the origin's knowledge.
    pub fn end(&mut self, call: CallId) {
        self.running.remove(&call);
    }

    /// Current usage. A call whose deadline has passed is no longer running.
    pub fn usage(&mut self, now: Millis) -> Permits {
        self.running.retain(|_, deadline| now < *deadline);
        match &mut self.fixed_window {
            Some(window) if *window != now / self.window => {
                *window = now / self.window;
                self.started.clear();
            }
            Some(_) => {}
            None => self.drop_before_window(now),
        }
        Permits { outstanding: self.running.len() as u32, calls: self.started.len() as u32 }
    }

    fn drop_before_window(&mut self, now: Millis) {
        while self.started.front().is_some_and(|started| now >= started + self.window) {
            self.started.pop_front();
        }
    }
}
