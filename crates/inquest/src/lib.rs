//! Analysis of nodes' records. No I/O: the bytes of segments go in, results come out.
//!
//! - [`describe`]: events and actions as readable lines.
//! - [`explain`]: the steps of one request, with what was known of each server at each decision.
//! - [`cut`]: extracts the part around a request, a time or a server as a separate record.
//! - [`diff`]: compares two records.
//! - [`merge`]: merges the records of several nodes into one timeline, although their clocks differ.
//! - [`divergence`]: replays the events through another version of the module, and counts different
//!   decisions.

pub mod cut;
pub mod describe;
pub mod diff;
pub mod divergence;
pub mod explain;
pub mod merge;
