//! Trials of real node processes with injected faults.
//!
//! A trial is a TOML file ([`plan`]): regions and zones, a scenario of the simulated environment of `chalksill-world`,
//! steps and expectations. [`environment`] starts it: nodes as processes, stubs in this process, and a [`relay`] on every
//! link between two endpoints of the [`topology`]. [`runner`] carries out the steps and waits for their conditions;
//! [`request_tracker`] follows every request by what clients and stubs observe, and [`report`] says which expectations
//! were met. [`soak`] runs random faults, drawn from a seed, instead of a trial file.

pub mod environment;
pub mod plan;
pub mod relay;
pub mod report;
pub mod request_tracker;
pub mod runner;
pub mod soak;
pub mod topology;
