//! Seeds in which a node lacked part of the list that it had been sent; each test is named for the failure
//! that it guards against.
#![allow(missing_docs)]

#[path = "common/mod.rs"]
mod common;

use common::{assert_rules_kept, play_seed, scenario};

/// A watch was given up as silent while its response was under way, and the response was lost with the
/// connection: requests kept going to a draining server.
#[test]
fn response_under_way_at_the_end_of_its_watch_is_not_lost() {
    assert_rules_kept(&play_seed(&scenario("wall-clock"), 8821420, None));
}
