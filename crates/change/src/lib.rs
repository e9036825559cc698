//! Changes a node's settings transactionally.
//!
//! A version of the settings is validated and *staged*, then put *on trial*: it applies from one moment on,
//! and is either *confirmed* by the operator within a time limit or rolled back by the node itself. A
//! confirmed version is stored before the node reports success, and the stored version is the one that the
//! next incarnation starts with. [`SettingsChange`] makes all these decisions without a clock, a disk or
//! sockets: requests, clock values and the result of storing come in, effects go out.
//!
//! # What each side assumes, for how long, and what happens without messages
//!
//! - A **node** keeps a staged version for the requested time, then drops it. It uses a version on trial
//!   until the trial ends by its own clock, then rolls back on its own, because it may be partitioned from
//!   the operator.
//! - The **operator** relies only on replies of the node's current incarnation. Each request names that
//!   incarnation ([`Request::incarnation`]) and a number higher than that of any earlier version, so requests
//!   that are late, duplicated or from before a restart are rejected.
//! - A node that **crashes** restarts with the stored version: entirely the old one or entirely the new one.
//!   While a confirmed version is being stored nobody can know which, so nothing can be reverted then.

mod state_machine;

pub use state_machine::{
    Command, Effect, Mutant, Phase, Rejection, Reply, Request, SettingsChange, SettingsVersion,
};

/// A value of the node's own clock, or a duration, in milliseconds.
pub type Millis = u64;
/// The number of a version of the settings; each new version has a higher one.
pub type VersionNumber = u64;
/// The longest time that a version may stay staged or on trial, in milliseconds: one hour. A longer time is
/// most likely a mistake.
pub const MAX_DURATION_MS: Millis = 3_600_000;
