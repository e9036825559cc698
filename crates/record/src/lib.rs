//! Records the events that a node's decision module receives, and the actions that it returns.
//!
//! The module is deterministic: the same events at the same clock values, from the same state, produce the
//! same actions. A record of its events is therefore enough to explain a decision later, and to restore after
//! a restart what the previous incarnation left behind.
//!
//! | module | what it does | I/O |
//! | --- | --- | --- |
//! | `wire` | integers of variable length, bounded reading | no |
//! | [`entry`] | encoding of events and actions | no |
//! | [`folder`] | the folder of segments and the names of its files | yes |
//! | [`monotonic`] | readings of the monotonic clock | no |
//! | [`segment`] | segments: header, framing, checksums | no |
//! | [`recorder`] | splits a node's events into segments and chunks, marks gaps | no |
//! | [`replay`] | replays recorded events through the module | no |
//! | [`recover`] | determines what the next incarnation must count | no |
//! | [`store`] | writes chunks to files in a folder, on a separate thread | yes |
//!
//! The format is specified in `docs/design/record.md`.

pub mod entry;
pub mod folder;
pub mod monotonic;
pub mod recorder;
pub mod recover;
pub mod replay;
pub mod segment;
pub mod store;
mod wire;

pub use recorder::{Recorder, Tuning};
pub use segment::{Header, Segment};
