//! A retirement as those who run the node read it: steps, how many connections are open in which state, and which of them are
//! held beyond their time.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use mothpier_host::Host;
use tokio::time::{Instant, sleep_until};

use super::Clients;
use super::retirement::{Cause, Plan};
use super::shown::{ConnectionState, Entry};
use crate::event_log::EventKind;

/// When the connections are counted, from the moment in which the retirement was told.
const COUNTED_AT: [Duration; 6] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_millis(1200),
    Duration::from_secs(2),
    Duration::from_secs(3),
    HELD_AT_MOST,
];
/// A connection that is open so long after a drain is named.
const HELD_AT_MOST: Duration = Duration::from_secs(4);

/// How many connections are open in each state.
struct Counted([usize; ConnectionState::ALL.len()]);

impl fmt::Display for Counted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "open={}", self.0.iter().sum::<usize>())?;
        let states = ConnectionState::ALL.iter().zip(self.0).filter(|(_, count)| *count > 0);
        for (state, count) in states {
            write!(f, " {}={count}", state.name())?;
        }
        Ok(())
    }
}

fn name(cause: Cause) -> &'static str {
    match cause {
        Cause::Drain => "drain",
        Cause::Stop => "stop",
        Cause::HandOver => "hand_over",
    }
}

impl<H: Host> Clients<H> {
    /// Logs how the connections go by a plan, until it is over. Dropped where the plan is taken back.
    pub async fn watch_retirement(self: Rc<Self>, plan: Plan) {
        for after in COUNTED_AT {
            let at = plan.told() + after;
            if at > plan.cut() {
                break;
            }
            sleep_until(at).await;
            self.log_step(&plan, after, false);
        }
        if plan.cause() == Cause::Drain {
            self.log_held(&plan);
        }
    }

    /// Logs what is still open at the end of the process.
    pub fn log_end(&self, plan: &Plan) {
        self.log_step(plan, plan.told().elapsed(), true);
        self.log_held(plan);
    }

    fn log_step(&self, plan: &Plan, after: Duration, end: bool) {
        let (cause, after) = (name(plan.cause()), after.as_millis());
        let step = if end { "end" } else { "count" };
        self.log.write(
            EventKind::Retirement,
            format_args!("cause={cause} step={step} after_ms={after} {}", self.counted()),
        );
    }

    fn counted(&self) -> Counted {
        let mut counts = [0; ConnectionState::ALL.len()];
        for entry in self.open.borrow().values() {
            counts[entry.state as usize] += 1;
        }
        Counted(counts)
    }

    /// Names the connections that are open.
    fn log_held(&self, plan: &Plan) {
        let now = Instant::now();
        let ms = |since: Instant| (now - since).as_millis();
        for (number, entry) in self.open.borrow().iter() {
            let Entry { accepted, state, open, received, answered, .. } = entry;
            let last_out = answered.map_or_else(|| "none".into(), |answered| ms(answered).to_string());
            self.log.write(
                EventKind::ConnectionHeld,
                format_args!(
                    "cause={} connection={number} age_ms={} state={} open={open} last_in_ms={} last_out_ms={last_out}",
                    name(plan.cause()),
                    ms(*accepted),
                    state.name(),
                    ms(*received),
                ),
            );
        }
    }
}
