//! The locality of zones, and how much of a node's traffic stays local.
//!
//! [`Places`] holds the operator's settings: regions, their zones, and the zones among which a key's server is chosen.
//! [`LocalitySteering`] is one node's state machine: it is given the counts of attempts by zone ([`Tally`]) and returns
//! the [`ZoneRouting`](brassrouter::ZoneRouting) that the decision module acts on. It has no clock, no sockets and its
//! own seeded randomness; it judges by the node's own attempts alone.

mod locality_steering;
mod places;

pub use locality_steering::{LocalitySteering, RingState, Tally};
pub use places::{InvalidSetting, Places, Region, RoutingScope, Tuning};
