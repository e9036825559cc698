//! Counters of the gate in front of the origin: outstanding calls, calls begun, and the limits of both. What
//! the limits are, and whether one more call may be made, is decided in `policy.rs`.

use serde::{Deserialize, Serialize};

use crate::interface::{InheritedState, Micros, OriginAllowance};
use crate::state::AttemptKind;

/// Outstanding calls, and calls begun in the current window. Both are counted for all calls and for fetches.
#[derive(Default, Serialize, Deserialize)]
pub struct Gate {
    /// The present limit of outstanding calls; signs of congestion lower it.
    pub limit: f64,
    /// The highest limit of outstanding calls.
    pub max_outstanding: f64,
    /// Outstanding calls: all, and fetches.
    pub outstanding: [u32; 2],
    /// Calls begun in the current window: all, and fetches.
    pub calls_in_window: [u32; 2],
    /// When the current window began.
    pub window_start: Micros,
    /// When the limit was last lowered.
    pub limit_cut_at: Micros,
    /// This node's equal part of all quotas, in requests per second; 0 if there are none.
    pub node_quota_per_s: f64,
    /// Replaces both limits while it is set; received anew after each start.
    #[serde(skip)]
    pub allowance: Option<OriginAllowance>,
}

impl Gate {
    /// The outstanding calls that an allowance permits, lowered in proportion by signs of congestion, but not
    /// from some to none.
    pub fn outstanding_limit_of(&self, allowance: &OriginAllowance) -> u32 {
        let share = if self.max_outstanding > 0.0 { self.limit / self.max_outstanding } else { 1.0 };
        let limit = (f64::from(allowance.outstanding) * share.clamp(0.0, 1.0)) as u32;
        limit.max(allowance.outstanding.min(1))
    }

    /// How many calls this process alone may have outstanding at present.
    pub fn outstanding_limit(&self, now: Micros, process_count: u32) -> u32 {
        match self.allowance {
            Some(allowance) if now < allowance.expires_at => self.outstanding_limit_of(&allowance),
            Some(_) => 0,
            None => (self.limit / f64::from(process_count.max(1))).max(1.0) as u32,
        }
    }

    /// The time-out of a call that begins now: the end of the allowance, or 0 for the client's own limit.
    pub fn call_timeout(&self, now: Micros) -> Micros {
        self.allowance.map_or(0, |allowance| allowance.expires_at.saturating_sub(now).max(1))
    }

    /// Counts a call that is about to begin.
    pub fn begin_call(&mut self, kind: AttemptKind) {
        self.add_outstanding(kind);
        self.calls_in_window[..=usize::from(kind == AttemptKind::Fetch)]
            .iter_mut()
            .for_each(|calls| *calls += 1);
        if let Some(allowance) = &mut self.allowance {
            allowance.calls_left = allowance.calls_left.saturating_sub(1);
        }
    }

    /// Counts a call as outstanding that another incarnation began.
    pub fn add_outstanding(&mut self, kind: AttemptKind) {
        self.outstanding[..=usize::from(kind == AttemptKind::Fetch)]
            .iter_mut()
            .for_each(|outstanding| *outstanding += 1);
    }

    /// Whether a share of both limits permits one more call. `counter` is 0 for all calls and 1 for fetches,
    /// which have a share of both limits.
    pub fn permits(&self, counter: usize, share: f64, window_limit: f64) -> bool {
        let below = |count: u32, limit: f64| f64::from(count + 1) <= limit.max(1.0);
        // The share of fetches is rounded up, within the limit of all calls: rounded down, fetches would have
        // only one of two calls.
        let limit = if counter == 0 { self.limit * share } else { (self.limit * share).ceil() };
        below(self.outstanding[counter], limit) && below(self.calls_in_window[counter], window_limit * share)
    }

    /// Begins a new window if the current one has ended.
    pub fn roll_window(&mut self, now: Micros, window: Micros) {
        if now >= self.window_start + window {
            (self.window_start, self.calls_in_window) = (now, [0, 0]);
        }
    }

    /// Takes over the window of another incarnation, and its limit if that is lower, since a process that
    /// starts is cautious anyway. The calls of both incarnations count in the window.
    pub fn inherit(&mut self, inherited: &InheritedState, process_count: u32) {
        self.window_start = self.window_start.max(inherited.window_start);
        self.calls_in_window
            .iter_mut()
            .zip(inherited.calls_in_window)
            .for_each(|(own, inherited)| *own += inherited.div_ceil(process_count));
        self.limit = self.limit.min(inherited.outstanding_limit).max(self.max_outstanding * 0.1);
    }

    /// Counts the end of a call, whatever its outcome.
    pub fn end_call(&mut self, kind: AttemptKind) {
        for counter in 0..=usize::from(kind == AttemptKind::Fetch) {
            self.outstanding[counter] -= 1;
        }
    }
}
