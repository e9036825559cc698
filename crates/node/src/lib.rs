//! The node as a library: everything between clients, cache servers, an origin, discovery and other nodes
//! around the decision module of `brassrouter`. It makes no routing decisions itself.
//!
//! [`run`] runs a complete node on any [`Host`](mothpier_host::Host): the daemon supplies the real machine,
//! tests the simulated environment. Dependencies are one-way. `service` assembles the components. `node` owns
//! the decision module and drives `servers`, `origin` and `peers`; these, `clients` and `discovery` report to
//! it through `input`. `start_times` translates the start times from discovery to the node's own clock. The
//! operator's file can enable `storm_monitor`, which feeds the detector of request storms, `locality`, which
//! connects the node to `mothpier-places` and keeps traffic in nearby zones, and `agreement`, by which nodes
//! agree on the zones in service. `node` passes the events of the decision module to a recorder
//! (`mothpier-record`), if there is one.

mod accept_failures;
mod agreement;
mod attempt_result;
mod clients;
mod clock;
mod command;
pub mod config;
mod counters;
mod discarding;
mod discovery;
mod duplicate_responses;
mod event_log;
mod eviction_priority;
#[cfg(test)]
#[path = "../tests/unit/failing_host.rs"]
mod failing_host;
mod forwarded_ids;
pub mod handover;
mod http;
mod input;
pub mod keys;
mod load_report;
mod local_failures;
mod locality;
mod memory;
mod memory_shortage;
mod node;
pub mod operator;
pub mod ops;
mod origin;
mod peers;
mod servers;
mod service;
mod setting_ranges;
mod start_times;
mod storm_monitor;
mod stream;

pub use discovery::{ListedServer, ServerList};
pub use service::{Control, StartOptions, run};
