//! What the protocols cost at a given fleet size, computed from their constants without a run. Each formula
//! is a function of the fleet, so that the capacity page and the search for the size at which a limit is
//! exceeded use the same one.

mod failures;
mod formulas;
mod rows;

pub use failures::{Failure, failures};
pub use formulas::*;
pub use rows::{Bound, BoundKind, CONTROL_ROWS, Exceedance, LOAD_ROWS, Row};
