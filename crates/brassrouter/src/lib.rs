//! Decision module of a router in front of a fleet of cache servers: a pure, deterministic state machine.
//!
//! A [`Policy`] makes the decisions of one node. It receives events ([`Event`]) with the time at which they
//! happened and returns actions ([`Action`]). It has no clock, no threads and no I/O: the embedding node owns
//! the sockets.
//!
//! ```
//! use brassrouter::{Action, Condition, Event, ListKind, Policy, Request, ServerEntry, Settings};
//!
//! let settings = Settings::default();
//! let mut policy = Policy::new(settings, 42);
//! let mut actions = Vec::new();
//!
//! // The node starts at some clock value (microseconds) with the last server list that it knew.
//! let servers = vec![
//!     ServerEntry { id: 7, condition: Condition::Ready, ..ServerEntry::default() },
//!     ServerEntry { id: 9, condition: Condition::Ready, ..ServerEntry::default() },
//! ];
//! policy.handle(1_000_000, Event::ServerList { kind: ListKind::Cached, servers }, &mut actions);
//!
//! // A client requests a key; the policy chooses the cache server to try first.
//! let request = Request { id: 1, key: 0xfeed, time_left: 500_000, ..Request::default() };
//! policy.handle(1_000_100, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 1, server: 7 | 9, .. })));
//! ```

mod attempts;
mod estimate;
mod gate;
pub mod interface;
mod policy;
mod random;
mod refusal_log;
pub mod settings;
mod state;
pub mod zone_routing;

pub use interface::*;
pub use policy::Policy;
pub use policy::view::{ServerView, View};
pub use zone_routing::ZoneRouting;

/// Version of the saved state; changes with the layout of [`Policy`] through serde or of the types of its
/// events.
pub const STATE_VERSION: u32 = 2;

/// Tests the example in the README.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
pub struct Readme;
