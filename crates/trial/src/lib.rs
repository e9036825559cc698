//! Trials of real nodes.
//!
//! A trial is a TOML file ([`plan`]): regions and zones, a world of the stand-ins that `chalksill-world` has, steps
//! and what must hold. [`stage`] starts it: nodes as processes, stand-ins in this one, and a [`relay`] on every way
//! between two of them. [`runner`] carries the steps out, waiting for facts; [`account`] follows every request from the
//! clients' and the stand-ins' side, and [`report`] says what held.

pub mod account;
pub mod party;
pub mod plan;
pub mod relay;
pub mod report;
pub mod runner;
pub mod soak;
pub mod stage;
