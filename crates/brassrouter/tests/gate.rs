//! The gate in front of the origin under an allowance: its limits hold until it ends, and no call outlives
//! it.
#![allow(missing_docs)]

mod common;

use brassrouter::*;
use common::*;

/// A node whose gate has opened fully: 20 outstanding calls, without an allowance.
fn node() -> Node {
    let tenants = vec![Tenant { quota_per_s: 200.0 }];
    let mut node = Node::new(Settings { tenants, ..settings() }, 3);
    for id in 1_000..1_500 {
        node.request(write(id, 1));
        node.outcome(id, 0, ORIGIN, Status::Served);
        node.pass(20 * MS);
    }
    assert_eq!(node.policy.origin_calls(), (0, 20));
    node
}

fn allow(node: &mut Node, outstanding: u32, calls: u32, duration: Micros) {
    let allowance = OriginAllowance::new(outstanding, calls, node.now + duration);
    node.event(Event::OriginAllowance(Some(allowance)));
}

/// Number of these writes that are sent to the origin at once.
fn writes(node: &mut Node, ids: std::ops::Range<RequestId>) -> usize {
    ids.map(|id| sends(&node.request(write(id, 1)))).sum()
}

/// The time-outs of the attempts among these actions.
fn timeouts(actions: &[Action]) -> Vec<Micros> {
    let timeout = |a: &Action| match a {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    };
    actions.iter().filter_map(timeout).collect()
}

#[test]
fn an_allowance_of_nothing_postpones_calls_and_refuses_what_cannot_wait() {
    let mut node = node();
    allow(&mut node, 0, 0, 60 * SECOND);
    assert_eq!(node.policy.origin_calls(), (0, 0));
    let answers = node.request(write(1, 1));
    assert_eq!((sends(&answers), refused(&answers, 1)), (0, false), "it waits, as at a closed gate");
    assert!(refused(&node.pass(SECOND), 1), "what was never sent is refused, not failed");
    // A retry may be near the end of its deduplication window: it cannot wait.
    let retry = Request { is_retry: true, ..write(2, 1) };
    assert!(refused(&node.request(retry), 2));
    // With a new allowance, waiting calls are sent.
    node.request(write(3, 1));
    allow(&mut node, 1, 1, 60 * SECOND);
    assert_eq!(sends(&node.pass(8 * MS)), 1);
}

#[test]
fn outstanding_calls_stay_within_the_allowance_and_one_that_ends_makes_room() {
    let mut node = node();
    allow(&mut node, 4, 1_000, 60 * SECOND);
    assert_eq!(writes(&mut node, 1..11), 4);
    node.outcome(1, 0, ORIGIN, Status::Served);
    assert_eq!(sends(&node.pass(8 * MS)), 1);
    // With less than is outstanding, nothing is sent until enough calls have ended.
    allow(&mut node, 2, 1_000, 60 * SECOND);
    node.outcome(2, 0, ORIGIN, Status::Served);
    node.outcome(3, 0, ORIGIN, Status::Served);
    assert_eq!(writes(&mut node, 20..25), 0);
}

#[test]
fn wanted_calls_are_those_outstanding_and_those_that_wait() {
    let mut node = node();
    assert_eq!(node.policy.origin_calls_wanted(), 0);
    allow(&mut node, 2, 100, 60 * SECOND);
    assert_eq!(writes(&mut node, 1..6), 2);
    assert_eq!(node.policy.origin_calls_wanted(), 5, "two are outstanding, three wait");
    let first = sent_to(&node.request(read(20, 7))).expect("a cache server");
    assert_eq!(node.policy.origin_calls_wanted(), 5, "a read at a cache server does not count");
    node.outcome(20, 0, first, Status::Miss);
    assert_eq!(node.policy.origin_calls_wanted(), 6);
    node.outcome(1, 0, ORIGIN, Status::Served);
    assert_eq!(node.policy.origin_calls_wanted(), 5);
}

#[test]
fn an_allowance_may_permit_more_calls_than_the_settings() {
    let mut node = node();
    allow(&mut node, 60, 1_000, 60 * SECOND);
    assert_eq!(writes(&mut node, 1..100), 60);
}

#[test]
fn no_more_calls_begin_than_the_allowance_permits_until_the_next_allowance() {
    let mut node = node();
    allow(&mut node, 10, 3, 60 * SECOND);
    let begun = (1..20).map(|id| {
        let sent = sends(&node.request(write(id, 1)));
        node.outcome(id, 0, ORIGIN, Status::Served);
        node.pass(500 * MS);
        sent
    });
    assert_eq!(begun.sum::<usize>(), 3, "although new windows begin meanwhile");
    assert_eq!(node.policy.origin_allowance().map(|left| left.calls_left), Some(0));
    allow(&mut node, 10, 2, 60 * SECOND);
    assert_eq!(writes(&mut node, 30..40), 2);
}

#[test]
fn a_share_of_the_calls_is_reserved_for_writes() {
    let allowance = |calls| OriginAllowance::new(10, calls, 0).reserved_for_writes;
    assert_eq!([0, 1, 2, 3, 4, 10, 100].map(allowance), [0, 0, 0, 0, 1, 3, 30]);
    let mut node = node();
    allow(&mut node, 10, 4, 60 * SECOND);
    let fetched = (1..=6).map(|id| {
        let first = sent_to(&node.request(read(id, 100 + id))).expect("a cache server");
        sends(&node.outcome(id, 0, first, Status::Miss))
    });
    assert_eq!(fetched.sum::<usize>(), 3);
    assert_eq!(writes(&mut node, 20..24), 1);
}

#[test]
fn a_share_of_the_outstanding_calls_is_reserved_for_writes() {
    let mut node = node();
    allow(&mut node, 5, 1_000, 60 * SECOND);
    let fetched = (1..=9).map(|id| {
        let first = sent_to(&node.request(read(id, 100 + id))).expect("a cache server");
        sends(&node.outcome(id, 0, first, Status::Miss))
    });
    assert_eq!(fetched.sum::<usize>(), 4, "0.7 of five, rounded up");
    assert_eq!(writes(&mut node, 20..24), 1);
}

#[test]
fn calls_time_out_at_the_end_of_the_allowance_and_none_begins_that_could_not_be_answered() {
    let mut node = node();
    allow(&mut node, 10, 100, SECOND);
    assert_eq!(timeouts(&node.request(write(1, 1))), [SECOND]);
    node.pass(700 * MS);
    assert_eq!(timeouts(&node.request(write(2, 1))), [300 * MS]);
    // The shortest latency target is 150 ms.
    node.pass(150 * MS);
    assert_eq!(timeouts(&node.request(write(3, 1))), [150 * MS]);
    node.pass(MS);
    assert!(timeouts(&node.request(write(4, 1))).is_empty());
    // After its end no calls are permitted, not even those of the settings.
    node.pass(10 * SECOND);
    assert_eq!(node.policy.origin_calls().1, 0);
    assert_eq!(writes(&mut node, 10..20), 0);
    assert_eq!(timeouts(&node.request(read(30, 7))), [0], "it does not concern cache servers");
}

#[test]
fn after_the_allowance_is_withdrawn_the_limits_of_the_settings_hold() {
    let mut node = node();
    allow(&mut node, 0, 0, 60 * SECOND);
    node.event(Event::OriginAllowance(None));
    assert_eq!(node.policy.origin_calls(), (0, 20));
    assert_eq!(writes(&mut node, 1..30), 20);
}

#[test]
fn signs_of_congestion_lower_the_outstanding_calls_but_never_below_one() {
    let lowered = |outstanding| {
        let mut node = node();
        allow(&mut node, 100, 1_000, 60 * SECOND);
        for id in 1..=30 {
            node.request(write(id, 1));
            node.outcome(id, 0, ORIGIN, Status::Full);
            node.pass(MS);
        }
        node.pass(SECOND);
        allow(&mut node, outstanding, 1_000, 60 * SECOND);
        node.policy.origin_calls().1
    };
    assert_eq!(lowered(100), 10, "the lowest limit is a tenth");
    assert_eq!(lowered(1), 1);
    assert_eq!(lowered(0), 0);
}

/// Two nodes receive the same events; one of them is told before each that there is no allowance.
#[test]
fn an_event_without_an_allowance_changes_nothing() {
    let run = |with_events: bool| {
        let mut node = node();
        for id in 1..600 {
            if with_events {
                assert_eq!(node.event(Event::OriginAllowance(None)), []);
            }
            let first = sent_to(&node.request(read(id, id % 50)));
            if let Some(first) = first {
                let status = if id % 3 == 0 { Status::Served } else { Status::Miss };
                node.outcome(id, 0, first, status);
            }
            node.request(write(10_000 + id, (id % 3) as usize));
            node.pass(id % 7 * MS);
            node.outcome(10_000 + id, 0, ORIGIN, if id % 5 == 0 { Status::Full } else { Status::Served });
        }
        (node.actions, format!("{:?}", node.policy.view(None)))
    };
    assert_eq!(run(true), run(false));
}

/// Over random events, outstanding calls and calls begun stay within the latest allowance, and each call is
/// given up by the end of the allowance under which it began.
#[test]
fn over_random_events_no_allowance_is_exceeded() {
    let mut random = oorandom::Rand32::new(5);
    for _ in 0..40 {
        let mut node = node();
        let (mut out, mut begun, mut all): (Vec<(RequestId, u16, Micros)>, u32, usize) = (vec![], 0, 0);
        let mut allowance = OriginAllowance::default();
        node.event(Event::OriginAllowance(Some(allowance)));
        for id in 1..800 {
            if random.rand_range(0..12) == 0 {
                let (outstanding, calls) = (random.rand_range(0..9), random.rand_range(0..20));
                let duration = Micros::from(random.rand_range(0..900)) * MS;
                allowance = OriginAllowance::new(outstanding, calls, node.now + duration);
                node.event(Event::OriginAllowance(Some(allowance)));
                begun = 0;
            }
            let before = node.actions.len();
            node.request(write(id, random.rand_range(0..3) as usize));
            node.pass(Micros::from(random.rand_range(0..9)) * MS);
            for action in &node.actions[before..] {
                if let Action::Send { request, server: ORIGIN, timeout } = action {
                    let attempt = out.iter().filter(|(of, ..)| of == request).count() as u16;
                    out.push((*request, attempt, node.now + timeout));
                    (begun, all) = (begun + 1, all + 1);
                    assert!(*timeout > 0 && out.len() as u32 <= allowance.outstanding, "{allowance:?}");
                    assert!(begun <= allowance.calls_left, "{allowance:?}");
                }
            }
            // Some calls are answered; the others time out.
            let now = node.now;
            let (over, left) = out.drain(..).partition(|(.., until)| *until <= now + 10 * MS);
            out = left;
            let over: Vec<_> = over;
            for (request, attempt, _) in over {
                node.outcome(request, attempt, ORIGIN, Status::TimedOut);
            }
            if !out.is_empty() && random.rand_range(0..2) == 0 {
                let (request, attempt, _) = out.swap_remove(0);
                node.outcome(request, attempt, ORIGIN, Status::Served);
            }
        }
        assert!(all > 50, "only {all} calls were made");
    }
}
