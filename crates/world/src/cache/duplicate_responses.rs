//! Duplicate responses: the fault of a cache server that sends a response a second time, somewhat later, on
//! an idle connection or between later responses.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep_until};

use crate::observe::RequestId;

/// The share of duplicates that follow the first response at once.
const IMMEDIATE_SHARE: f64 = 0.2;

/// How often a cache server sends duplicates, and how late.
#[derive(Debug, Default)]
pub struct DuplicateSettings {
    /// Share of the commands that are answered twice.
    pub share: Cell<f64>,
    /// Longest delay of the duplicate after the first response, in milliseconds.
    pub max_delay_ms: Cell<u64>,
}

impl DuplicateSettings {
    /// Draws whether a response that was just sent is duplicated, and its delay.
    fn draw(&self, rng: &mut Pcg64Mcg) -> Option<Duration> {
        if self.share.get() <= 0.0 || rng.random::<f64>() >= self.share.get() {
            return None;
        }
        let delay = Duration::from_millis(self.max_delay_ms.get()).mul_f64(rng.random());
        Some(if rng.random::<f64>() < IMMEDIATE_SHARE { Duration::ZERO } else { delay })
    }
}

/// A duplicate, byte for byte equal to the first response.
pub struct Duplicate {
    /// The request that it answered; `None` for a command that is no attempt.
    pub request: Option<RequestId>,
    /// The response.
    pub bytes: Bytes,
}

/// The duplicates that are due on one connection, in the order of their times.
#[derive(Default)]
pub struct DuplicateQueue {
    due: BTreeMap<(Instant, u64), Duplicate>,
    scheduled: u64,
}

impl DuplicateQueue {
    /// Draws whether a response that was just sent is duplicated, and schedules the duplicate.
    pub fn schedule(
        &mut self,
        settings: &DuplicateSettings,
        rng: &mut Pcg64Mcg,
        request: Option<RequestId>,
        bytes: &Bytes,
    ) {
        let Some(delay) = settings.draw(rng) else { return };
        self.scheduled += 1;
        let duplicate = Duplicate { request, bytes: bytes.clone() };
        self.due.insert((Instant::now() + delay, self.scheduled), duplicate);
    }

    /// Waits until the next duplicate is due and takes it; forever where there is none. Cancel safe.
    pub async fn next(&mut self) -> Duplicate {
        let due = self.due.first_key_value().map(|((due, _), _)| *due);
        match due {
            Some(due) => sleep_until(due).await,
            None => std::future::pending().await,
        }
        self.due.pop_first().expect("one was due").1
    }
}
