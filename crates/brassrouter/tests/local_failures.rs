//! Attempts that this machine could not make: no sign of the server, retried with backoff, answered in time.
#![allow(missing_docs)]

mod common;

use brassrouter::*;
use common::*;

const KEY: Key = 9;

/// The requests of these actions that are sent, with the time at which each was.
fn sent_times(node: &mut Node, request: RequestId, span: Micros) -> Vec<Micros> {
    let (end, mut times) = (node.now + span, Vec::new());
    let mut attempt = 0;
    while node.now < end {
        let sent = sent_to(&node.pass(MS));
        if let Some(server) = sent {
            times.push(node.now);
            attempt += 1;
            node.outcome(request, attempt, server, Status::LocalFailure);
        }
    }
    times
}

#[test]
fn many_local_failures_are_no_sign_against_the_server_and_no_strain() {
    let mut node = Node::new(settings(), 3);
    let first = sent_to(&node.request(read(1, KEY))).expect("a server");
    node.outcome(1, 0, first, Status::Served);
    let before = node.policy.view(None);
    for id in 100..400 {
        let server = sent_to(&node.request(read(id, id))).expect("a server");
        node.outcome(id, 0, server, Status::LocalFailure);
        node.event(Event::ClientGone(id));
        node.pass(5 * MS);
    }
    let after = node.policy.view(None);
    assert_eq!((after.overload, after.admission_level), (before.overload, before.admission_level));
    assert_eq!(after.retry_budget, before.retry_budget, "no retry was paid for");
    assert!(after.servers.iter().all(|s| s.key_share == 1.0 && s.in_flight == 0), "{:?}", after.servers);
    assert_eq!(sent_to(&node.request(read(2, KEY))), Some(first), "it keeps its keys");
}

#[test]
fn a_failed_connect_of_the_same_number_is_a_sign() {
    let mut node = Node::new(settings(), 3);
    for id in 100..200 {
        if let Some(server) = sent_to(&node.request(read(id, id))) {
            node.outcome(id, 0, server, Status::ConnectFailed);
        }
        node.event(Event::ClientGone(id));
        node.pass(5 * MS);
    }
    assert!(node.policy.view(None).overload > 0.1, "the test above would see nothing");
}

#[test]
fn a_read_is_sent_again_only_after_a_pause_that_grows_and_to_the_same_server() {
    let mut node = Node::new(settings(), 3);
    let first = sent_to(&node.request(read(1, KEY))).expect("a server");
    let budget = node.policy.view(None).retry_budget;
    let answer = node.outcome(1, 0, first, Status::LocalFailure);
    assert_eq!((sends(&answer), refused(&answer, 1)), (0, false), "it waits");
    let again = node.pass(50 * MS);
    assert_eq!(sent_to(&again), Some(first), "its server may be asked again");
    assert_eq!(node.policy.view(None).retry_budget, budget);
    // Longest pauses: three sixtieths of the aim and 2 ms, doubled three times.
    let mut node = Node::new(settings(), 3);
    let first = sent_to(&node.request(read(1, KEY))).expect("a server");
    let begun = node.now;
    node.outcome(1, 0, first, Status::LocalFailure);
    let times = sent_times(&mut node, 1, 1500 * MS);
    let pauses: Vec<Micros> =
        std::iter::once(begun).chain(times.iter().copied()).zip(&times).map(|(a, b)| b - a).collect();
    assert!(pauses.len() >= 4, "{pauses:?}");
    for (doublings, pause) in pauses.iter().enumerate() {
        let factor = 1 << doublings.min(3);
        let bounds = (14 * MS * factor, (40 * MS * factor) + 2 * MS);
        assert!((bounds.0..=bounds.1).contains(pause), "pause {doublings} of {pauses:?}");
    }
}

#[test]
fn attempts_that_this_machine_could_not_make_are_none_of_those_a_request_may_make() {
    let mut node = Node::new(settings(), 4);
    let first = sent_to(&node.request(read(1, KEY))).expect("a server");
    node.outcome(1, 0, first, Status::LocalFailure);
    // Three local failures in all, then the four attempts of the settings.
    for attempt in 1..3 {
        let next = node.pass(160 * MS);
        assert_eq!(sent_to(&next), Some(first), "{next:?}");
        node.outcome(1, attempt, first, Status::LocalFailure);
    }
    let mut server = sent_to(&node.pass(160 * MS)).expect("a fourth try");
    for attempt in 3..6 {
        server = sent_to(&node.outcome(1, attempt, server, Status::Full)).expect("attempts are left");
    }
    let last = node.outcome(1, 6, server, Status::Full);
    assert!(refused(&last, 1) && sends(&last) == 0, "four attempts were made: {last:?}");
}

#[test]
fn while_it_lasts_every_request_is_refused_in_time_and_what_may_not_run_twice_too() {
    for request in [read(1, KEY), write(1, 1), Request { time_left: SECOND, ..write(1, 2) }] {
        let mut node = Node::new(settings(), 3);
        let ends = node.now + request.time_left;
        let mut server = sent_to(&node.request(request.clone())).expect("an attempt");
        let mut attempt = 0;
        let mut answer = node.outcome(1, attempt, server, Status::LocalFailure);
        while !refused(&answer, 1) && node.now < ends {
            assert!(!failed(&answer, 1), "it never ran: {answer:?}");
            answer = node.pass(MS);
            if let Some(next) = sent_to(&answer) {
                (server, attempt) = (next, attempt + 1);
                answer = node.outcome(1, attempt, server, Status::LocalFailure);
            }
        }
        assert!(refused(&answer, 1), "{request:?} has no final answer");
        assert!((1..40).contains(&attempt), "{attempt} further attempts of {request:?}");
    }
}

#[test]
fn a_write_goes_again_after_a_pause_since_it_never_ran() {
    for class in [1, 2] {
        let mut node = Node::new(settings(), 3);
        node.request(Request { time_left: 300 * MS, ..write(1, class) });
        let answer = node.outcome(1, 0, ORIGIN, Status::LocalFailure);
        assert_eq!((sends(&answer), failed(&answer, 1), refused(&answer, 1)), (0, false, false));
        assert_eq!(sent_to(&node.pass(60 * MS)), Some(ORIGIN), "class {class}");
        let lost = node.outcome(1, 1, ORIGIN, Status::Reset);
        assert!(failed(&lost, 1) && sends(&lost) == 0, "that one may have run: {lost:?}");
    }
}

#[test]
fn a_keyed_repeat_that_this_machine_could_not_send_is_refused_at_once() {
    // A keyed repeat is not parked: its window may end meanwhile.
    let mut node = Node::new(settings(), 3);
    node.request(Request { is_retry: true, ..write(1, 1) });
    let answer = node.outcome(1, 0, ORIGIN, Status::LocalFailure);
    assert!(refused(&answer, 1) && sends(&answer) == 0, "{answer:?}");
}

#[test]
fn the_limit_of_the_gate_before_the_origin_stays_as_it_is() {
    let tenants = vec![Tenant { quota_per_s: 200.0 }];
    let mut node = Node::new(Settings { tenants, ..settings() }, 3);
    let before = node.policy.view(None);
    for id in 1..=40 {
        let sent = sent_to(&node.request(write(id, 1)));
        assert_eq!(sent, Some(ORIGIN));
        node.outcome(id, 0, ORIGIN, Status::LocalFailure);
        node.event(Event::ClientGone(id));
        node.pass(200 * MS);
    }
    let after = node.policy.view(None);
    assert_eq!((after.gate_limit, after.gate_outstanding), (before.gate_limit, [0, 0]));
}

#[test]
fn a_fetch_goes_again_after_a_pause_and_those_behind_it_too() {
    let mut node = Node::new(settings(), 3);
    let first = sent_to(&node.request(read(1, KEY))).expect("a server");
    assert_eq!(sent_to(&node.outcome(1, 0, first, Status::Miss)), Some(ORIGIN));
    node.request(read(2, KEY));
    let answer = node.outcome(1, 1, ORIGIN, Status::LocalFailure);
    assert_eq!(sends(&answer), 0, "{answer:?}");
    let later = node.pass(100 * MS);
    assert!(later.iter().any(|a| matches!(a, Action::Send { request: 1, server: ORIGIN, .. })), "{later:?}");
    let served = node.outcome(1, 2, ORIGIN, Status::Served);
    assert_eq!(refusals(&served), 0);
}

#[test]
fn a_state_saved_while_a_request_waits_for_this_machine_goes_on_alike() {
    let mut node = Node::new(settings(), 3);
    let first = sent_to(&node.request(read(1, KEY))).expect("a server");
    node.outcome(1, 0, first, Status::LocalFailure);
    assert!(node.policy.view(None).servers.iter().all(|s| s.in_flight == 0));
    let saved = postcard::to_allocvec(&node.policy).expect("a state can be written");
    let restored: Policy = postcard::from_bytes(&saved).expect("a state can be read");
    let mut other =
        Node { policy: restored, now: node.now, actions: Vec::new(), timers: node.timers.clone() };
    for _ in 0..3 {
        assert_eq!(node.pass(200 * MS), other.pass(200 * MS));
        let attempt = node.actions.iter().filter(|a| matches!(a, Action::Send { request: 1, .. })).count();
        let last = attempt as u16 - 1;
        let ended = |node: &mut Node| node.outcome(1, last, first, Status::LocalFailure);
        assert_eq!(ended(&mut node), ended(&mut other));
    }
    assert_eq!(
        postcard::to_allocvec(&node.policy).expect("written"),
        postcard::to_allocvec(&other.policy).expect("written")
    );
}
