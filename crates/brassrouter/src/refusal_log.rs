//! Log lines about requests that were refused or failed, and about values that cross a threshold.

use serde::{Deserialize, Serialize};

use crate::interface::{Action, Micros};

/// Why a request was refused or failed.
#[derive(Clone, Copy)]
pub enum RefusalReason {
    OverQuota,
    TooManyRetries,
    NoServerLeft,
    GateClosed,
    BehindFetch,
    OriginFull,
    NoRetryLeft,
    TimeUp,
}

/// Requests refused or failed since the last log line, by reason, and the time of that line.
#[derive(Default, Serialize, Deserialize)]
pub struct RefusalLog(pub [u32; 8], Micros);

impl RefusalLog {
    pub const REASON_NAMES: [&str; 8] = [
        "over quota",
        "too many repeats",
        "no server left",
        "gate shut",
        "behind another's fetch",
        "origin full",
        "no retry left",
        "time up",
    ];
    const LOG_INTERVAL_US: Micros = 5_000_000;

    /// Counts a refused or failed request.
    pub fn count(&mut self, reason: RefusalReason) {
        self.0[reason as usize] += 1;
    }

    /// Logs the counts at most once per interval, if there are any, with the admission level and the gate's
    /// limit.
    pub fn report(&mut self, now: Micros, level: f64, limit: f64, out: &mut Vec<Action>) {
        if now < self.1 + Self::LOG_INTERVAL_US {
            return;
        }
        self.1 = now;
        let counts =
            std::mem::take(&mut self.0).into_iter().zip(Self::REASON_NAMES).filter(|(count, _)| *count > 0);
        let counts: Vec<_> = counts.map(|(count, name)| format!("{count} {name}")).collect();
        if !counts.is_empty() {
            let counts = counts.join(", ");
            out.push(Action::Log(format!("unserved: {counts}; level {level:.2}, gate {limit:.1}")));
        }
    }
}

/// Logs when a value falls below a threshold or reaches it again.
pub fn log_crossing(
    out: &mut Vec<Action>,
    before: f64,
    after: f64,
    threshold: f64,
    fallen: &str,
    risen: &str,
) {
    if (before < threshold) != (after < threshold) {
        out.push(Action::Log(if after < threshold { fallen } else { risen }.into()));
    }
}
