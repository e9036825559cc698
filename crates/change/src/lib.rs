//! A change of a node's settings as a transaction.
//!
//! A set of settings is checked whole and *staged*, then put *on trial*: used from one moment on, and *confirmed* within a time by
//! whoever asked, or undone by the node itself. A confirmed set is stored before the node says so; what is stored is what its next life
//! begins with. [`Change`] decides all of this. It has no clock, no disk and no sockets: asks, clock values and the outcome of storing come
//! in, effects go out.
//!
//! # What each believes, for how long, and what it does when it hears nothing
//!
//! - A **node** keeps a staged set for as long as it was told to, then drops it. It uses a set on trial until the trial's end by its own
//!   clock, then goes back by itself: it may be cut off from whoever asked.
//! - **Whoever asks** knows only what the node has answered in its present life. Each ask names that life ([`Ask::life`]) and a number that
//!   is higher than that of any set before: what comes late, twice or from before a restart is refused.
//! - A node that **dies** comes back with what was stored: wholly the old set or wholly the new one. While a confirmed set is being
//!   stored nobody can know which, so nothing can be taken back then.

mod machine;

pub use machine::{Answer, Ask, Change, Effect, Mutant, Phase, Refused, Set, What};

/// A value of the node's own clock, or a span, in milliseconds.
pub type Millis = u64;
/// The number of a set of settings; each new one is higher.
pub type Number = u64;
/// The longest that a set may be kept staged, or on trial, in milliseconds: an hour. Whoever means longer has forgotten it.
pub const LONGEST: Millis = 3_600_000;
