//! Questions to records of nodes. No I/O: bytes of segments go in, answers come out.
//!
//! - [`describe`]: events and actions as lines for a person.
//! - [`explain`]: the story of one request: what was known of each server when it was decided.
//! - [`cut`]: the part round a request, a time or a server, as a record of its own.
//! - [`diff`]: where two records part.
//! - [`merge`]: the records of several nodes as one timeline, with clocks that disagree.
//! - [`divergence`]: the same events through another module: where its choices part, and by how much.

pub mod cut;
pub mod describe;
pub mod diff;
pub mod divergence;
pub mod explain;
pub mod merge;
