//! What the protocols cost at a size, by arithmetic from their constants, without a run. Each formula is a function of the
//! fleet, so that the page and the search for the size at which a limit is passed use the same one.

mod failures;
mod formulas;
mod rows;

pub use failures::{Failure, failures};
pub use formulas::*;
pub use rows::{Bound, BoundKind, CONTROL, LOAD, Passed, Row};
