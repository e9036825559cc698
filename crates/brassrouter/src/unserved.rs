//! Lines of the log on requests that end unserved, and on figures that cross a mark.

use serde::{Deserialize, Serialize};

use crate::interface::{Action, Micros};

/// Why a request ended without being served.
#[derive(Clone, Copy)]
pub enum Why {
    OverQuota,
    Repeated,
    NoServer,
    GateShut,
    FetchOut,
    OriginFull,
    NoRetry,
    TimeUp,
}

/// How many requests ended unserved since the last line of the log, by the reason.
#[derive(Default, Serialize, Deserialize)]
pub struct Unserved(pub [u32; 8], Micros);

impl Unserved {
    pub const NAMES: [&str; 8] = [
        "over quota",
        "too many repeats",
        "no server left",
        "gate shut",
        "behind another's fetch",
        "origin full",
        "no retry left",
        "time up",
    ];
    const EVERY: Micros = 5_000_000;

    /// Counts one.
    pub fn count(&mut self, why: Why) {
        self.0[why as usize] += 1;
    }

    /// Logs the counts now and then, where there are any, with what tenants are held to and the gate's limit.
    pub fn report(&mut self, now: Micros, level: f64, limit: f64, out: &mut Vec<Action>) {
        if now < self.1 + Self::EVERY {
            return;
        }
        self.1 = now;
        let counts = std::mem::take(&mut self.0).into_iter().zip(Self::NAMES).filter(|(count, _)| *count > 0);
        let counts: Vec<_> = counts.map(|(count, name)| format!("{count} {name}")).collect();
        if !counts.is_empty() {
            let counts = counts.join(", ");
            out.push(Action::Log(format!("unserved: {counts}; level {level:.2}, gate {limit:.1}")));
        }
    }
}

/// Logs when a figure falls below a mark or rises to it again.
pub fn log_crossing(out: &mut Vec<Action>, was: f64, is: f64, mark: f64, fallen: &str, risen: &str) {
    if (was < mark) != (is < mark) {
        out.push(Action::Log(if is < mark { fallen } else { risen }.into()));
    }
}
