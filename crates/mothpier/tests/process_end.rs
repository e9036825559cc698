//! What a node has read by its end is answered.
#![allow(missing_docs)]

mod world;

use std::thread;
use std::time::Duration;

use world::{Discovery, LONG, Reaction, command, member, node, serve};

/// From SIGTERM on: between the time when the node passes no more requests on (3.35 s) and the one when those that are
/// open fail (3.5 s), for the longest deadline counts as 3 s.
const NEAR_THE_END: Duration = Duration::from_millis(3380);
/// Runs at most: one in which the test was held up beyond that time shows nothing.
const RUNS: usize = 5;

#[test]
fn a_request_behind_one_that_is_open_at_the_end_is_refused_and_not_left_unread() {
    for run in 0..RUNS {
        let silent = serve(command, |_| Reaction::Silence);
        let discovery = Discovery::start(&member("s-1", silent, "m", "ready"));
        let mut node = node(&format!("end-{run}"), &discovery, &LONG);
        let mut client = node.client();
        client.send(&["CACHE.GET", "k", "open", "c=read,t=acme,d=600000"]);
        node.figure_becomes("edge_router_in_flight", 1);
        node.signal("TERM");
        thread::sleep(NEAR_THE_END);
        client.send(&["CACHE.GET", "k", "behind", "c=read,t=acme,d=600000"]);
        if client.has_ended() {
            continue;
        }
        assert_eq!(client.answer(), "-ERR failed");
        assert_eq!(client.answer(), "-BUSY 100");
        assert_eq!(client.answer(), "end");
        drop(client);
        let _ = node.child.kill();
        node.ended();
        return;
    }
    panic!("held up in each of {RUNS} runs");
}
