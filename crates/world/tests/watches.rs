//! Seeds in which a node did not hold what it had been told of the list, each named for the failure that it guards against.
#![allow(missing_docs)]

#[path = "common/mod.rs"]
mod common;

use common::{drawn, kept, scenario};

/// The answer of a watch was under way as the watch was given up for its silence, and was lost with its connection: requests
/// went on to a server that drained.
#[test]
fn an_answer_that_crosses_the_end_of_its_watch_is_taken() {
    kept(&drawn(&scenario("wall-clock"), 8821420, None));
}
