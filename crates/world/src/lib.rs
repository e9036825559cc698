//! Stand-ins for everything round a node, faults from a seed, and the rules checked after each step.
//!
//! The stand-ins ([`cache`], [`origin`], [`discovery`], [`clients`]) are written against
//! [`Host`](mothpier_host::Host), as the node is: they run on the simulated network under a virtual clock ([`sim`])
//! and on loopback sockets ([`live`]). What they see goes to a [`Observer`](observe::Observer); [`rules`] judges by
//! that alone, [`report`] counts it. [`scenario`] says what a world consists of, [`faults`] what goes wrong in it, [`storm`] an outage and the way back.

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
pub mod process;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod sim;
pub mod storm;
mod swapped_values;
pub mod system_calls;
pub mod tape;
mod time_told;
pub mod users;
pub mod values;
pub mod wall_clock;
