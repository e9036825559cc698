//! Two processes that run as one node: what the successor knows, and what both may do together.
#![allow(missing_docs)]

mod common;

use brassrouter::*;
use common::*;

/// A node that may have many calls outstanding.
fn node_with_high_quota() -> Node {
    let settings = Settings { tenants: vec![Tenant { quota_per_s: 1000.0 }], node_count: 2, ..settings() };
    Node::new(settings, 4)
}

/// The state as it is handed over from one process to the other.
fn handed_over(old: &Node) -> Policy {
    let state = postcard::to_allocvec(&old.policy).expect("a state");
    postcard::from_bytes(&state).expect("the same state")
}

/// A second process that continues from the state of the first while that still runs.
fn successor(old: &mut Node) -> Node {
    let policy = handed_over(old).into_successor(99);
    let mut new = Node { policy, now: old.now, actions: Vec::new(), timers: Vec::new() };
    old.event(Event::ProcessCount(2));
    new.event(Event::ProcessCount(2));
    new.event(Event::Inherited(old.policy.inheritable_state()));
    new
}

/// Requests `count` different keys that are not cached and returns how many calls reach the origin.
fn fetches(node: &mut Node, first: RequestId, count: u64) -> usize {
    let mut calls = 0;
    for id in first..first + count {
        let server = sent_to(&node.request(read(id, 1_000_000 + id)));
        let Some(server) = server.filter(|s| *s != ORIGIN) else { continue };
        calls += usize::from(sent_to(&node.outcome(id, 0, server, Status::Miss)) == Some(ORIGIN));
    }
    calls
}

#[test]
fn a_successor_knows_the_servers_and_has_nothing_in_flight() {
    let mut old = Node::overloaded(settings(), 4);
    old.request(read(1, 17));
    let view = old.policy.view(None);
    let new = successor(&mut old);
    let new_view = new.policy.view(None);
    assert_eq!(new_view.admission_level, view.admission_level, "the admission level is kept");
    assert!(new_view.admission_level < Node::just_started(settings(), 4).policy.view(None).admission_level);
    assert_eq!(new.policy.listed_servers(), old.policy.listed_servers());
    assert_eq!((view.open_requests, new_view.open_requests), (1, 0));
    assert_eq!(view.servers.iter().map(|s| s.in_flight).sum::<u32>(), 1);
    assert_eq!(new_view.servers.iter().map(|s| s.in_flight).sum::<u32>(), 0);
}

#[test]
fn a_successor_serves_at_once_and_ignores_outcomes_of_the_other_process() {
    let mut old = Node::new(settings(), 4);
    old.request(read(1, 17));
    let mut new = successor(&mut old);
    let server = sent_to(&new.request(read(1, 17))).expect("a server");
    assert_eq!(Some(server), sent_to(&old.request(read(2, 17))), "the same order of servers");
    new.outcome(1, 0, server, Status::Served);
    assert!(new.pass(10 * SECOND).iter().all(|a| !matches!(a, Action::Fault(_))));
}

#[test]
fn calls_of_both_processes_at_the_origin_stay_within_the_limits_of_one() {
    let mut alone = node_with_high_quota();
    let max_calls = fetches(&mut alone, 1, 400);
    assert!(max_calls >= 4, "{max_calls} calls permitted: too few to share");
    // For any number of calls outstanding when the second process starts, and either order of the following
    // calls.
    for before in 0..=max_calls as u64 {
        for old_first in [true, false] {
            let mut old = node_with_high_quota();
            let out = fetches(&mut old, 1, before);
            let mut new = successor(&mut old);
            let mut more = 0;
            for turn in 0..2 {
                let node = if (turn == 0) == old_first { &mut old } else { &mut new };
                more += fetches(node, 10_000 * (turn + 1), 400);
            }
            assert!(out + more <= max_calls, "{out} and {more} of {max_calls}, old first: {old_first}");
        }
    }
}

#[test]
fn the_remaining_process_gets_all_calls_and_counts_those_of_the_other() {
    let mut alone = node_with_high_quota();
    let max_calls = fetches(&mut alone, 1, 400);
    for later in [0, 10 * SECOND] {
        let mut old = node_with_high_quota();
        let mut new = successor(&mut old);
        let out = fetches(&mut old, 1, 400);
        assert!(out > 0);
        // The first process is killed: its calls may still run until their time is up.
        new.event(Event::ProcessCount(1));
        new.event(Event::Inherited(old.policy.inheritable_state()));
        new.pass(later);
        let more = fetches(&mut new, 10_000, 400);
        if later == 0 {
            assert!(out + more <= max_calls, "{out} and {more} of {max_calls}");
        } else {
            assert!(more + 1 >= max_calls, "{more} of {max_calls}");
        }
    }
}

#[test]
fn a_deduplicated_write_of_the_other_process_is_not_retried_after_its_window() {
    let mut old = Node::new(settings(), 4);
    let first = write(1, 1);
    assert_eq!(sent_to(&old.request(first.clone())), Some(ORIGIN));
    let mut new = successor(&mut old);
    new.pass(150 * MS);
    let retry = Request { id: 2, is_retry: true, ..first };
    let actions = new.request(retry.clone());
    assert!(sends(&actions) == 0 && failed(&actions, 2), "sent again after its window: {actions:?}");
    // A process without the handed-over state sends it.
    let mut plain = Node::new(settings(), 4);
    assert_eq!(sent_to(&plain.request(retry)), Some(ORIGIN));
}
