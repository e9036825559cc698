//! Simulated environment of a node: stubs for its neighbours, seeded faults, and rules that are checked after
//! each event.
//!
//! The stubs ([`cache`], [`origin`], [`discovery`], [`clients`]) are written against
//! [`Host`](mothpier_host::Host), as the node is: they run on the simulated network under a virtual clock
//! ([`sim`]) and on loopback sockets ([`live`]). They report to an [`Observer`](observe::Observer); [`rules`]
//! checks these observations and nothing else, [`report`] aggregates them. A [`scenario`] configures an
//! environment, [`faults`] describe what goes wrong in it, and [`storm`] an outage and the recovery from it.

pub mod agreement;
pub mod cache;
pub mod clients;
pub mod discovery;
pub mod failing_host;
pub mod faults;
pub mod fleet;
pub mod live;
pub mod mutant;
pub mod observe;
pub mod origin;
mod original_time_outs;
pub mod process;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod sim;
pub mod storm;
mod swapped_values;
pub mod system_calls;
pub mod tape;
pub mod users;
pub mod values;
pub mod wall_clock;
