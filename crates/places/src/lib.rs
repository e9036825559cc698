//! Where zones lie, and how much of a node's traffic stays near.
//!
//! [`Places`] is what the operator says: regions, the zones in them, and the pool in which a key's order is taken. [`Near`]
//! is one node's machine: it is told what became of attempts by zone ([`Tally`]) and answers with the
//! [`ZoneRouting`](brassrouter::ZoneRouting) that the decision module acts on. It has no clock, no sockets and its own seeded
//! randomness; what it believes, it believes of its own attempts alone.

mod near;
mod places;

pub use near::{LocalitySteering, RingState, Tally};
pub use places::{InvalidSetting, Places, Region, RoutingScope, Tuning};
