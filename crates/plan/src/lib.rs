//! What all nodes do about zones.
//!
//! Each node sees what becomes of its attempts by zone ([`Evidence`]) and tells whoever decides. [`Planner`] makes one [`Plan`] of
//! it: for each zone whether it serves, is suspected, given up or returning, and the part of its keys that goes there. A plan
//! moves in steps, so that the places that take over are never sent more at once than a step, and so that half of the nodes
//! acting on the plan before and half on this one differ by one step only. What staff order by hand ([`Orders`]) goes before what nodes
//! see. No I/O, no clock.

mod announcement;
mod evidence;
mod orders;
mod planner;
mod seen;

pub use evidence::{Evidence, PARTS, Plan, Spoilt, Zone, ZoneState};
pub use orders::{LONGEST, OrderKind, OrderMessage, Refused, ZoneOrder, ZoneOrders};
pub use planner::{Planner, Tuning};
pub use seen::{AttemptCounts, RecentAttempts};

/// A clock value or a span, in milliseconds.
pub type Millis = u64;
/// Zones that a plan can have.
pub const MOST_ZONES: usize = 16;
