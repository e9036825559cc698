//! What a node uses of its permits.

use std::collections::{BTreeMap, VecDeque};

use crate::{Millis, Permits};

/// A number that its node gives a call; no two calls of one life have the same.
pub type CallId = u64;

/// Counts calls that run, and those begun in the last window. Bounded by the permits that it is asked with.
#[derive(Clone, Debug)]
pub struct Meter {
    /// By the node's own clock, which may be fast.
    window: Millis,
    /// For each call that runs, when it is given up.
    running: BTreeMap<CallId, Millis>,
    begun: VecDeque<Millis>,
    fixed_window: Option<Millis>,
}

impl Meter {
    /// One that has seen no call. The window is by its own clock: see [`Timing::surely_passed`](crate::Timing::surely_passed).
    pub fn new(window: Millis) -> Meter {
        Meter { window, running: BTreeMap::new(), begun: VecDeque::new(), fixed_window: None }
    }

    /// One that counts from fixed windows' beginnings: for tests.
    pub(crate) fn with_fixed_windows(mut self) -> Meter {
        self.fixed_window = Some(0);
        self
    }

    /// Begins a call if the permits allow one more.
    pub fn begin(&mut self, now: Millis, call: CallId, gives_up_at: Millis, permits: Permits) -> bool {
        let used = self.used(now);
        if used.outstanding >= permits.outstanding || used.calls >= permits.calls {
            return false;
        }
        self.note(now, call, gives_up_at);
        true
    }

    /// Counts a call that has been begun.
    pub(crate) fn note(&mut self, now: Millis, call: CallId, gives_up_at: Millis) {
        self.running.insert(call, gives_up_at);
        self.begun.push_back(now);
    }

    /// A call has ended, and the origin knows.
    pub fn end(&mut self, call: CallId) {
        self.running.remove(&call);
    }

    /// What is used at a time: a call that was to be given up by then has been.
    pub fn used(&mut self, now: Millis) -> Permits {
        self.running.retain(|_, gives_up_at| now < *gives_up_at);
        match &mut self.fixed_window {
            Some(window) if *window != now / self.window => {
                *window = now / self.window;
                self.begun.clear();
            }
            Some(_) => {}
            None => self.forget_before_window(now),
        }
        Permits { outstanding: self.running.len() as u32, calls: self.begun.len() as u32 }
    }

    fn forget_before_window(&mut self, now: Millis) {
        while self.begun.front().is_some_and(|begun| now >= begun + self.window) {
            self.begun.pop_front();
        }
    }
}
