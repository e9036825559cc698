//! The gate before the origin where the node tells an allowance: what it says holds, to its end, and no call outlives it.
#![allow(missing_docs)]

mod common;

use brassrouter::*;
use common::*;

/// A node whose gate has opened wholly: 20 calls out, without an allowance.
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

fn allow(node: &mut Node, outstanding: u32, calls: u32, span: Micros) {
    let allowance = OriginAllowance::new(outstanding, calls, node.now + span);
    node.event(Event::OriginAllowance(Some(allowance)));
}

/// So many of these writes go to the origin at once.
fn writes(node: &mut Node, ids: std::ops::Range<RequestId>) -> usize {
    ids.map(|id| sends(&node.request(write(id, 1)))).sum()
}

/// For how long each attempt of these actions may be waited for.
fn waits(actions: &[Action]) -> Vec<Micros> {
    let wait = |a: &Action| match a {
        Action::Send { timeout: give_up_after, .. } => Some(*give_up_after),
        _ => None,
    };
    actions.iter().filter_map(wait).collect()
}

#[test]
fn an_allowance_of_nothing_postpones_calls_and_refuses_what_cannot_wait() {
    let mut node = node();
    allow(&mut node, 0, 0, 60 * SECOND);
    assert_eq!(node.policy.origin_calls(), (0, 0));
    let answers = node.request(write(1, 1));
    assert_eq!((sends(&answers), refused(&answers, 1)), (0, false), "it waits, as at a shut gate");
    assert!(refused(&node.pass(SECOND), 1), "what was never sent is refused, not failed");
    // A keyed repeat may be near the end of its window: it cannot wait.
    let repeat = Request { is_retry: true, ..write(2, 1) };
    assert!(refused(&node.request(repeat), 2));
    // With an allowance again, what waits goes.
    node.request(write(3, 1));
    allow(&mut node, 1, 1, 60 * SECOND);
    assert_eq!(sends(&node.pass(8 * MS)), 1);
}

#[test]
fn no_more_calls_are_out_than_it_says_and_one_that_ends_makes_room() {
    let mut node = node();
    allow(&mut node, 4, 1_000, 60 * SECOND);
    assert_eq!(writes(&mut node, 1..11), 4);
    node.outcome(1, 0, ORIGIN, Status::Served);
    assert_eq!(sends(&node.pass(8 * MS)), 1);
    // Less than is out: nothing goes until enough have ended.
    allow(&mut node, 2, 1_000, 60 * SECOND);
    node.outcome(2, 0, ORIGIN, Status::Served);
    node.outcome(3, 0, ORIGIN, Status::Served);
    assert_eq!(writes(&mut node, 20..25), 0);
}

#[test]
fn it_tells_how_many_calls_it_could_use() {
    let mut node = node();
    assert_eq!(node.policy.origin_calls_wanted(), 0);
    allow(&mut node, 2, 100, 60 * SECOND);
    assert_eq!(writes(&mut node, 1..6), 2);
    assert_eq!(node.policy.origin_calls_wanted(), 5, "two are out, three wait");
    let first = sent_to(&node.request(read(20, 7))).expect("a cache server");
    assert_eq!(node.policy.origin_calls_wanted(), 5, "what a cache server has been asked for is none");
    node.outcome(20, 0, first, Status::Miss);
    assert_eq!(node.policy.origin_calls_wanted(), 6);
    node.outcome(1, 0, ORIGIN, Status::Served);
    assert_eq!(node.policy.origin_calls_wanted(), 5);
}

#[test]
fn more_calls_than_the_settings_part_are_let_out_where_it_says_so() {
    let mut node = node();
    allow(&mut node, 60, 1_000, 60 * SECOND);
    assert_eq!(writes(&mut node, 1..100), 60);
}

#[test]
fn no_more_calls_are_begun_than_it_says_until_the_next_one() {
    let mut node = node();
    allow(&mut node, 10, 3, 60 * SECOND);
    let begun = (1..20).map(|id| {
        let sent = sends(&node.request(write(id, 1)));
        node.outcome(id, 0, ORIGIN, Status::Served);
        node.pass(500 * MS);
        sent
    });
    assert_eq!(begun.sum::<usize>(), 3, "though windows of the tally begin anew meanwhile");
    assert_eq!(node.policy.origin_allowance().map(|left| left.calls_left), Some(0));
    allow(&mut node, 10, 2, 60 * SECOND);
    assert_eq!(writes(&mut node, 30..40), 2);
}

#[test]
fn a_part_of_the_calls_is_kept_for_writes() {
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
fn of_the_calls_out_a_part_is_kept_for_writes_as_well() {
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
fn a_call_is_given_up_by_the_end_and_none_begins_that_could_not_be_answered_before() {
    let mut node = node();
    allow(&mut node, 10, 100, SECOND);
    assert_eq!(waits(&node.request(write(1, 1))), [SECOND]);
    node.pass(700 * MS);
    assert_eq!(waits(&node.request(write(2, 1))), [300 * MS]);
    // The shortest aim is 150 ms.
    node.pass(150 * MS);
    assert_eq!(waits(&node.request(write(3, 1))), [150 * MS]);
    node.pass(MS);
    assert!(waits(&node.request(write(4, 1))).is_empty());
    // After its end there is nothing, not what the settings say.
    node.pass(10 * SECOND);
    assert_eq!(node.policy.origin_calls().1, 0);
    assert_eq!(writes(&mut node, 10..20), 0);
    assert_eq!(waits(&node.request(read(30, 7))), [0], "cache servers are no matter of it");
}

#[test]
fn without_one_again_the_gate_is_that_of_the_settings() {
    let mut node = node();
    allow(&mut node, 0, 0, 60 * SECOND);
    node.event(Event::OriginAllowance(None));
    assert_eq!(node.policy.origin_calls(), (0, 20));
    assert_eq!(writes(&mut node, 1..30), 20);
}

#[test]
fn signs_of_congestion_lower_its_calls_out_but_never_below_one() {
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
    assert_eq!(lowered(100), 10, "the floor of a tenth");
    assert_eq!(lowered(1), 1);
    assert_eq!(lowered(0), 0);
}

/// Two nodes see the same; one is told at every turn that there is no allowance.
#[test]
fn being_told_of_none_changes_nothing_byte_for_byte() {
    let day = |told: bool| {
        let mut node = node();
        for id in 1..600 {
            if told {
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
    assert_eq!(day(true), day(false));
}

/// Whatever comes, calls out and calls begun are within what was told last, and each has been given up by the end of the one under which
/// it was begun.
#[test]
fn on_random_days_no_allowance_is_ever_exceeded() {
    let mut random = oorandom::Rand32::new(5);
    for _ in 0..40 {
        let mut node = node();
        let (mut out, mut begun, mut all): (Vec<(RequestId, u16, Micros)>, u32, usize) = (vec![], 0, 0);
        let mut told = OriginAllowance::default();
        node.event(Event::OriginAllowance(Some(told)));
        for id in 1..800 {
            if random.rand_range(0..12) == 0 {
                let (outstanding, calls) = (random.rand_range(0..9), random.rand_range(0..20));
                let span = Micros::from(random.rand_range(0..900)) * MS;
                told = OriginAllowance::new(outstanding, calls, node.now + span);
                node.event(Event::OriginAllowance(Some(told)));
                begun = 0;
            }
            let before = node.actions.len();
            node.request(write(id, random.rand_range(0..3) as usize));
            node.pass(Micros::from(random.rand_range(0..9)) * MS);
            for action in &node.actions[before..] {
                if let Action::Send { request, server: ORIGIN, timeout: give_up_after } = action {
                    let attempt = out.iter().filter(|(of, ..)| of == request).count() as u16;
                    out.push((*request, attempt, node.now + give_up_after));
                    (begun, all) = (begun + 1, all + 1);
                    assert!(*give_up_after > 0 && out.len() as u32 <= told.outstanding, "{told:?}");
                    assert!(begun <= told.calls_left, "{told:?}");
                }
            }
            // Some are answered; what is not is given up in time.
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
        assert!(all > 50, "{all} calls show little");
    }
}
