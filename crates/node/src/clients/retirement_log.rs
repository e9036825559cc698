//! Logs the progress of a retirement for operators: its steps, the number of open connections in each state, and the
//! connections that stay open for too long.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use mothpier_host::Host;
use tokio::time::{Instant, sleep_until};

use super::Clients;
use super::connection_state::{ConnectionEntry, ConnectionState};
use super::retirement::{RetirementCause, RetirementPlan};
use crate::event_log::EventKind;

/// When connections are counted after the retirement was announced.
const COUNT_TIMES: [Duration; 6] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_millis(1200),
    Duration::from_secs(2),
    Duration::from_secs(3),
    HELD_THRESHOLD,
];
/// A connection still open this long after a drain is logged.
const HELD_THRESHOLD: Duration = Duration::from_secs(4);

/// Number of open connections in each state.
struct StateCounts([usize; ConnectionState::ALL.len()]);

impl fmt::Display for StateCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "open={}", self.0.iter().sum::<usize>())?;
        let states = ConnectionState::ALL.iter().zip(self.0).filter(|(_, count)| *count > 0);
        for (state, count) in states {
            write!(f, " {}={count}", state.name())?;
        }
        Ok(())
    }
}

fn cause_name(cause: RetirementCause) -> &'static str {
    match cause {
        RetirementCause::Drain => "drain",
        RetirementCause::Stop => "stop",
        RetirementCause::HandOver => "hand_over",
    }
}

impl<H: Host> Clients<H> {
    /// Logs the state of the connections at each step of a plan until it is over. The future is dropped if the plan is taken
    /// back.
    pub async fn log_retirement(self: Rc<Self>, plan: RetirementPlan) {
        for after in COUNT_TIMES {
            let at = plan.announced_at() + after;
            if at > plan.disconnect_all_at() {
                break;
            }
            sleep_until(at).await;
            self.log_step(&plan, after, false);
        }
        if plan.cause() == RetirementCause::Drain {
            self.log_held(&plan);
        }
    }

    /// Logs what is still open at the end of the process.
    pub fn log_end(&self, plan: &RetirementPlan) {
        self.log_step(plan, plan.announced_at().elapsed(), true);
        self.log_held(plan);
    }

    fn log_step(&self, plan: &RetirementPlan, after: Duration, end: bool) {
        let (cause, after) = (cause_name(plan.cause()), after.as_millis());
        let step = if end { "end" } else { "count" };
        self.log.write(
            EventKind::Retirement,
            format_args!("cause={cause} step={step} after_ms={after} {}", self.count_states()),
        );
    }

    fn count_states(&self) -> StateCounts {
        let mut counts = [0; ConnectionState::ALL.len()];
        for entry in self.open_connections.borrow().values() {
            counts[entry.state as usize] += 1;
        }
        StateCounts(counts)
    }

    /// Logs each open connection.
    fn log_held(&self, plan: &RetirementPlan) {
        let now = Instant::now();
        let ms = |since: Instant| (now - since).as_millis();
        for (number, entry) in self.open_connections.borrow().iter() {
            let ConnectionEntry {
                accepted_at,
                state,
                pending_replies,
                last_received_at,
                last_replied_at,
                ..
            } = entry;
            let last_out = last_replied_at
                .map_or_else(|| "none".into(), |last_replied_at| ms(last_replied_at).to_string());
            self.log.write(
                EventKind::ConnectionHeld,
                format_args!(
                    "cause={} connection={number} age_ms={} state={} open={pending_replies} last_in_ms={} last_out_ms={last_out}",
                    cause_name(plan.cause()),
                    ms(*accepted_at),
                    state.name(),
                    ms(*last_received_at),
                ),
            );
        }
    }
}
