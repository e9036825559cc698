//! Two processes that are one balancer: what the second knows, and what both may do together.
#![allow(missing_docs)]

mod common;

use brassrouter::*;
use common::*;

/// A balancer that may have a good many calls out.
fn busy() -> Node {
    let settings = Settings { tenants: vec![Tenant { quota_per_s: 1000.0 }], node_count: 2, ..settings() };
    Node::new(settings, 4)
}

/// The state as it goes from one process to the other.
fn handed_over(old: &Node) -> Policy {
    let state = postcard::to_allocvec(&old.policy).expect("a state");
    postcard::from_bytes(&state).expect("the same state")
}

/// A second process that goes on from the first, beside it.
fn successor(old: &mut Node) -> Node {
    let policy = handed_over(old).into_successor(99);
    let mut new = Node { policy, now: old.now, actions: Vec::new(), timers: Vec::new() };
    old.event(Event::ProcessCount(2));
    new.event(Event::ProcessCount(2));
    new.event(Event::Inherited(old.policy.inheritable_state()));
    new
}

/// Asks for so many different keys that are cached nowhere; how many calls reach the origin.
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
fn a_successor_knows_the_servers_and_has_nothing_out() {
    let mut old = Node::strained(settings(), 4);
    old.request(read(1, 17));
    let view = old.policy.view(None);
    let new = successor(&mut old);
    let seen = new.policy.view(None);
    assert_eq!(seen.admission_level, view.admission_level, "what was learned goes on");
    assert!(seen.admission_level < Node::just_started(settings(), 4).policy.view(None).admission_level);
    assert_eq!(new.policy.listed_servers(), old.policy.listed_servers());
    assert_eq!((view.open_requests, seen.open_requests), (1, 0));
    assert_eq!(view.servers.iter().map(|s| s.in_flight).sum::<u32>(), 1);
    assert_eq!(seen.servers.iter().map(|s| s.in_flight).sum::<u32>(), 0);
}

#[test]
fn a_successor_serves_at_once_and_outcomes_of_the_other_process_mean_nothing_to_it() {
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
    let mut alone = busy();
    let most = fetches(&mut alone, 1, 400);
    assert!(most >= 4, "{most} calls let through: too few to share");
    // However many the first has out when the second comes, and whichever asks first then.
    for before in 0..=most as u64 {
        for old_first in [true, false] {
            let mut old = busy();
            let out = fetches(&mut old, 1, before);
            let mut new = successor(&mut old);
            let mut more = 0;
            for turn in 0..2 {
                let node = if (turn == 0) == old_first { &mut old } else { &mut new };
                more += fetches(node, 10_000 * (turn + 1), 400);
            }
            assert!(out + more <= most, "{out} and {more} of {most}, old first: {old_first}");
        }
    }
}

#[test]
fn the_whole_belongs_to_the_one_that_is_left_and_what_the_other_had_out_counts() {
    let mut alone = busy();
    let most = fetches(&mut alone, 1, 400);
    for later in [0, 10 * SECOND] {
        let mut old = busy();
        let mut new = successor(&mut old);
        let out = fetches(&mut old, 1, 400);
        assert!(out > 0);
        // Killed: what was last heard of it may still run, until its time is over.
        new.event(Event::ProcessCount(1));
        new.event(Event::Inherited(old.policy.inheritable_state()));
        new.pass(later);
        let more = fetches(&mut new, 10_000, 400);
        if later == 0 {
            assert!(out + more <= most, "{out} and {more} of {most}");
        } else {
            assert!(more + 1 >= most, "{more} of {most}");
        }
    }
}

#[test]
fn a_keyed_write_of_the_other_process_is_not_repeated_past_its_window() {
    let mut old = Node::new(settings(), 4);
    let first = write(1, 1);
    assert_eq!(sent_to(&old.request(first.clone())), Some(ORIGIN));
    let mut new = successor(&mut old);
    new.pass(150 * MS);
    let repeat = Request { id: 2, is_retry: true, ..first };
    let told = new.request(repeat.clone());
    assert!(sends(&told) == 0 && failed(&told, 2), "sent again past its window: {told:?}");
    // A process that was told nothing sends it: that is what the handover is for.
    let mut plain = Node::new(settings(), 4);
    assert_eq!(sent_to(&plain.request(repeat)), Some(ORIGIN));
}
