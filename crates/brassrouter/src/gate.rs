//! The books of the gate before the origin: calls out, calls begun, and the limits of both. What the limits
//! are, and whether one more call may be made, is decided in `policy.rs`.

use serde::{Deserialize, Serialize};

use crate::interface::{InheritedState, Micros, OriginAllowance};
use crate::state::Call;

/// Calls out and calls in the present window, of all kinds and fetches alone.
#[derive(Default, Serialize, Deserialize)]
pub struct Gate {
    /// What signs of congestion have left of the highest limit.
    pub limit: f64,
    /// The highest limit of calls out.
    pub most_out: f64,
    /// Calls out.
    pub out: [u32; 2],
    /// Calls begun in the present window.
    pub tally: [u32; 2],
    /// When that window began.
    pub window: Micros,
    /// When the limit was last lowered.
    pub cut_at: Micros,
    /// This balancer's equal part of all quotas, 0 where there are none.
    pub quota_share: f64,
    /// What may be called in place of both limits; told again after each start.
    #[serde(skip)]
    pub allowance: Option<OriginAllowance>,
}

impl Gate {
    /// What signs of congestion leave of an allowance's outstanding calls: one, where it has any.
    pub fn outstanding_of(&self, allowance: &OriginAllowance) -> u32 {
        let part = if self.most_out > 0.0 { self.limit / self.most_out } else { 1.0 };
        let left = (f64::from(allowance.outstanding) * part.clamp(0.0, 1.0)) as u32;
        left.max(allowance.outstanding.min(1))
    }

    /// How many calls may be out at present, of this process alone.
    pub fn most_outstanding(&self, now: Micros, sharers: u32) -> u32 {
        match self.allowance {
            Some(allowance) if now < allowance.expires_at => self.outstanding_of(&allowance),
            Some(_) => 0,
            None => (self.limit / f64::from(sharers.max(1))).max(1.0) as u32,
        }
    }

    /// For how long a call that is begun now is waited for at most: to the end of the allowance; 0 for the
    /// client's own limit.
    pub fn give_up_after(&self, now: Micros) -> Micros {
        self.allowance.map_or(0, |allowance| allowance.expires_at.saturating_sub(now).max(1))
    }

    /// Raises the counters just before a call.
    pub fn enter(&mut self, call: Call) {
        self.carry(call);
        self.tally[..=usize::from(call == Call::Fetch)].iter_mut().for_each(|tally| *tally += 1);
        if let Some(allowance) = &mut self.allowance {
            allowance.calls_left = allowance.calls_left.saturating_sub(1);
        }
    }

    /// Counts a call as out that was not made now.
    pub fn carry(&mut self, call: Call) {
        self.out[..=usize::from(call == Call::Fetch)].iter_mut().for_each(|out| *out += 1);
    }

    /// Whether both limits let one more call through: of all kinds, or of fetches, which have a part of both.
    pub fn open(&self, kind: usize, part: f64, tally: f64) -> bool {
        let room = |count: u32, limit: f64| f64::from(count + 1) <= limit.max(1.0);
        // The fetches' part is rounded up, within the limit of all kinds: of two calls they would have one.
        let out = if kind == 0 { self.limit * part } else { (self.limit * part).ceil() };
        room(self.out[kind], out) && room(self.tally[kind], tally * part)
    }

    /// Begins a new tally when the window of the present one is over.
    pub fn roll(&mut self, now: Micros, window: Micros) {
        if now >= self.window + window {
            (self.window, self.tally) = (now, [0, 0]);
        }
    }

    /// Goes on from another life's window and limit, a lower one only: a start is careful anyhow. The calls
    /// of both lives count in it.
    pub fn inherit(&mut self, left: &InheritedState, sharers: u32) {
        self.window = self.window.max(left.window_start);
        self.tally
            .iter_mut()
            .zip(left.calls_in_window)
            .for_each(|(own, left)| *own += left.div_ceil(sharers));
        self.limit = self.limit.min(left.outstanding_limit).max(self.most_out * 0.1);
    }

    /// Lowers the counters after any outcome of a call.
    pub fn leave(&mut self, call: Call) {
        for i in 0..=usize::from(call == Call::Fetch) {
            self.out[i] -= 1;
        }
    }
}
