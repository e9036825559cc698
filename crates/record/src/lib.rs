//! A record of what a node's decision module was told, and what it answered.
//!
//! The module is deterministic: the same events at the same clock values from the same state bring the same actions.
//! So a record of its events is enough to know, later, why it chose as it did, and to come back after a restart with
//! what an earlier life left behind.
//!
//! | module | what it does | I/O |
//! | --- | --- | --- |
//! | `wire` | whole numbers of variable length, bounded reading | no |
//! | [`entry`] | events and actions as bytes, and back | no |
//! | [`folder`] | the folder of segments and the names of its files | yes |
//! | [`monotonic`] | readings of the monotonic clock | no |
//! | [`segment`] | segments: header, framing, checksums | no |
//! | [`recorder`] | takes events from a node, cuts segments and pieces, marks gaps | no |
//! | [`replay`] | the same events through the module again | no |
//! | [`recover`] | what a next life must count | no |
//! | [`store`] | pieces to files in a folder, on a thread of its own | yes |
//!
//! The format is laid down in `docs/design/record.md`.

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
