//! The common plan of all nodes for the zones of a site.
//!
//! Each node measures its attempts by zone ([`Evidence`]) and reports that to the leader. [`Planner`] turns the
//! evidence into one [`Plan`]: for each zone whether it serves, is suspected, given up or returning, and the share of
//! its keys that goes there. A plan moves in steps, so that the zones that take over never get more additional load at
//! once than one step, and so that half of the nodes acting on the former plan and half on this one differ by one step
//! only. Orders of an operator ([`ZoneOrders`]) take precedence over evidence. No I/O, no clock.

mod announcement;
mod evidence;
mod orders;
mod planner;
mod recent_attempts;

pub use evidence::{DecodeError, Evidence, Plan, UNITS_PER_ATTEMPT, ZonePlan, ZoneState};
pub use orders::{MAX_ORDER_MS, OrderError, OrderKind, OrderMessage, ZoneOrder, ZoneOrders};
pub use planner::{Planner, Tuning};
pub use recent_attempts::{AttemptCounts, RecentAttempts};

/// A clock value or a duration, in milliseconds.
pub type Millis = u64;
/// The most zones that a plan can have.
pub const MOST_ZONES: usize = 16;
