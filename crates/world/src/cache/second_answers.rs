//! The fault of a cache server that answers a command a second time, somewhat late: while its connection is
//! idle, behind the next command, or behind several.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep_until};

use crate::observe::RequestId;

/// The part of the second answers that follow the first ones at once.
const AT_ONCE: f64 = 0.2;

/// How often a box answers a second time, and how late.
#[derive(Debug, Default)]
pub struct Figures {
    /// The part of the commands that are answered twice.
    pub part: Cell<f64>,
    /// The second answer comes so long after the first at most, in milliseconds.
    pub most_ms: Cell<u64>,
}

impl Figures {
    /// Draws after how long an answer that has just been given is given again, if it is.
    fn draw(&self, rng: &mut Pcg64Mcg) -> Option<Duration> {
        if self.part.get() <= 0.0 || rng.random::<f64>() >= self.part.get() {
            return None;
        }
        let late = Duration::from_millis(self.most_ms.get()).mul_f64(rng.random());
        Some(if rng.random::<f64>() < AT_ONCE { Duration::ZERO } else { late })
    }
}

/// An answer that is to be given again, byte by byte the same.
pub struct Repeat {
    /// What it answered; `None` for a command that is no attempt.
    pub request: Option<RequestId>,
    /// The answer.
    pub bytes: Bytes,
}

/// The second answers that one connection still has to give, in the order of their times.
#[derive(Default)]
pub struct Queue {
    repeats: BTreeMap<(Instant, u64), Repeat>,
    planned: u64,
}

impl Queue {
    /// Plans a second answer, where one is drawn, for an answer that was given just now.
    pub fn plan(&mut self, figures: &Figures, rng: &mut Pcg64Mcg, request: Option<RequestId>, bytes: &Bytes) {
        let Some(late) = figures.draw(rng) else { return };
        self.planned += 1;
        let repeat = Repeat { request, bytes: bytes.clone() };
        self.repeats.insert((Instant::now() + late, self.planned), repeat);
    }

    /// Waits until the next one is due and takes it; for ever where there is none. Safe to drop and call
    /// again.
    pub async fn next(&mut self) -> Repeat {
        let due = self.repeats.first_key_value().map(|((due, _), _)| *due);
        match due {
            Some(due) => sleep_until(due).await,
            None => std::future::pending().await,
        }
        self.repeats.pop_first().expect("one was due").1
    }
}
