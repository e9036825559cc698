//! The node as a library: what stands between clients, cache servers, an origin, discovery and other nodes, round
//! the decision module of `brassrouter`. It decides nothing itself.
//!
//! [`run`] is a whole node on any [`Host`](mothpier_host::Host): the daemon gives it the machine that it runs on, the
//! simulated world a simulated one. Dependencies run one way: `service` puts the parts together; `node` owns the
//! module and drives `servers`, `origin` and `peers`; these and `clients` and `discovery` tell it what happened
//! through `input`. `start_times` puts discovery's dates on the node's own clock. `weather` feeds the detector of storms, which the operator's file switches on, and `near` the machine that keeps traffic near
//! (`mothpier-places`), which it switches on as well, as it does `accord`, by which nodes agree on zones; `node` hands what the
//! module is told to a recorder (`mothpier-record`), where there is one.

mod accept_failures;
mod agreement;
mod clamped;
mod clients;
mod command;
pub mod config;
mod counters;
mod discovery;
mod duplicate_responses;
mod event_log;
mod eviction_priority;
#[cfg(test)]
#[path = "../tests/unit/failing_host.rs"]
mod failing_host;
pub mod handover;
mod http;
mod input;
pub mod keys;
mod local_failures;
mod locality;
mod memory_shortage;
mod node;
pub mod operator;
pub mod ops;
mod origin;
mod peers;
mod servers;
mod service;
mod start_times;
mod storm_monitor;
mod stream;

pub use discovery::{Member, ServerList};
pub use service::{Control, StartOptions, run};
