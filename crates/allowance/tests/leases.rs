//! Single rules of leases: when permits of a dead holder become available, who is refused and until when,
//! what bounds the tables.

use mothpier_allowance::{
    Aggregator, Fence, Grantor, Holder, Message, Node, Permit, Permits, Refusal, RequestId, Root, Source,
    Term, Timing, Usage,
};

const TIMING: Timing = Timing {
    lease_duration: 30_000,
    window: 1_000,
    drift_per_mille: 5,
    reply_timeout: 1_000,
    min_retry: 2_000,
    max_retry: 30_000,
};
const FENCE: Fence = Fence { round: 1, member: 0, incarnation: 0 };

fn permits(outstanding: u32) -> Permits {
    Permits { outstanding, calls: outstanding * 2 }
}

fn request_id(holder: u32, incarnation: u64, sequence: u32) -> RequestId {
    RequestId { holder, incarnation, sequence }
}

fn request(grantor: &mut Grantor, now: u64, from: RequestId, retained: u32, wanted: u32) -> Option<Message> {
    grantor.handle_request(now, from, (permits(retained), permits(wanted)), (FENCE, TIMING.lease_duration))
}

fn granted(message: Option<Message>) -> u32 {
    match message {
        Some(Message::Grant { permits, .. }) => permits.outstanding,
        other => panic!("no grant: {other:?}"),
    }
}

fn refused(message: Option<Message>) -> (Refusal, u64) {
    match message {
        Some(Message::Refused { reason, retry_after, .. }) => (reason, retry_after),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn permits_of_a_dead_holder_return_after_one_lease_duration_and_no_sooner() {
    let mut grantor = Grantor::new(TIMING, permits(10));
    assert_eq!(granted(request(&mut grantor, 1_000, request_id(1, 1, 1), 0, 10)), 10);
    // It dies; its next incarnation counts as another holder.
    assert_eq!(
        refused(request(&mut grantor, 2_000, request_id(1, 2, 1), 0, 10)),
        (Refusal::Exhausted, 29_000)
    );
    assert_eq!(refused(request(&mut grantor, 30_999, request_id(1, 2, 2), 0, 10)).0, Refusal::Exhausted);
    // Its calls in a window count for one window longer, its outstanding ones do not.
    assert_eq!(refused(request(&mut grantor, 31_000, request_id(1, 2, 3), 0, 10)).0, Refusal::Exhausted);
    assert_eq!(grantor.reserved(31_000), Permits { outstanding: 0, calls: 20 });
    assert_eq!(granted(request(&mut grantor, 32_006, request_id(1, 2, 4), 0, 10)), 10);
}

#[test]
fn a_smaller_lease_counts_once_the_holder_confirms_it_or_the_old_one_has_ended() {
    let mut grantor = Grantor::new(TIMING, permits(10));
    assert_eq!(granted(request(&mut grantor, 0, request_id(1, 1, 1), 0, 10)), 10);
    assert_eq!(refused(request(&mut grantor, 0, request_id(2, 1, 1), 0, 10)).0, Refusal::Exhausted);
    // The holder's share is half now that another waits; but it may not receive that grant.
    assert_eq!(granted(request(&mut grantor, 10_000, request_id(1, 1, 2), 10, 10)), 5);
    assert_eq!(grantor.reserved(10_000), permits(10));
    assert_eq!(refused(request(&mut grantor, 10_000, request_id(2, 1, 2), 0, 10)).0, Refusal::Exhausted);
    grantor.handle_release(11_000, request_id(1, 1, 3), permits(5));
    assert_eq!(grantor.reserved(11_000), permits(5));
    assert_eq!(granted(request(&mut grantor, 11_000, request_id(2, 1, 3), 0, 10)), 5);
}

#[test]
fn late_duplicated_or_unknown_releases_do_not_affect_a_later_lease() {
    let mut grantor = Grantor::new(TIMING, permits(10));
    assert_eq!(granted(request(&mut grantor, 0, request_id(1, 1, 3), 0, 4)), 4);
    grantor.handle_release(1, request_id(1, 1, 2), Permits::NONE);
    grantor.handle_release(1, request_id(1, 1, 3), Permits::NONE);
    grantor.handle_release(1, request_id(1, 2, 9), Permits::NONE);
    grantor.handle_release(1, request_id(7, 1, 9), Permits::NONE);
    assert_eq!(grantor.reserved(1), permits(4));
    assert_eq!(grantor.holder_count(), 1);
    assert_eq!(request(&mut grantor, 2, request_id(1, 1, 3), 0, 9), None, "already received");
}

#[test]
fn the_table_is_bounded_and_evicts_a_holder_without_a_lease() {
    let mut grantor = Grantor::new(TIMING, permits(2)).with_max_holders(3);
    assert_eq!(granted(request(&mut grantor, 0, request_id(1, 1, 1), 0, 1)), 1);
    assert_eq!(granted(request(&mut grantor, 1, request_id(2, 1, 1), 0, 1)), 1);
    assert_eq!(refused(request(&mut grantor, 2, request_id(3, 1, 1), 0, 1)).0, Refusal::Exhausted);
    for incarnation in 0..1_000 {
        request(&mut grantor, 3, request_id(4, incarnation, 1), 0, 1);
        assert!(grantor.holder_count() <= 3);
    }
    assert_eq!(grantor.reserved(3), permits(2));
    let mut full = Grantor::new(TIMING, permits(9)).with_max_holders(2);
    request(&mut full, 0, request_id(1, 1, 1), 0, 1);
    request(&mut full, 0, request_id(2, 1, 1), 0, 1);
    assert_eq!(
        refused(request(&mut full, 0, request_id(3, 1, 1), 0, 1)),
        (Refusal::TableFull, TIMING.lease_duration)
    );
}

#[test]
fn holders_take_turns_when_there_is_not_one_permit_for_each() {
    let mut grantor = Grantor::new(TIMING, permits(1));
    let mut nodes: Vec<_> = (0..3).map(|i| Node::start(i, 1, TIMING, (1, None), (0, 0))).collect();
    let mut leased_steps = [0u32; 3];
    for now in (0..7_200_000).step_by(500) {
        for (node, leased_steps) in nodes.iter_mut().zip(&mut leased_steps) {
            if let Some((_, Message::Request { from, retained, wanted })) = node.tick(now, permits(1)) {
                let reply =
                    grantor.handle_request(now, from, (retained, wanted), (FENCE, TIMING.lease_duration));
                node.handle(now, &reply.expect("a reply"));
            }
            *leased_steps += u32::from(node.lease(now).is_some());
        }
        assert!(nodes.iter().filter(|node| node.lease(now).is_some()).count() <= 1);
        assert!(grantor.reserved(now).is_within(permits(1)));
    }
    println!("of 14400 steps the nodes held the lease in {leased_steps:?}");
    assert!(leased_steps.iter().all(|steps| *steps > 2_000), "{leased_steps:?}");
    assert!(leased_steps.iter().sum::<u32>() > 10_000, "{leased_steps:?}");
}

#[test]
fn a_new_root_grants_nothing_until_all_earlier_leases_have_ended() {
    let mut root = Root::new(TIMING, permits(10));
    let request = |sequence| Message::Request {
        from: request_id(1, 1, sequence),
        retained: Permits::NONE,
        wanted: permits(1),
    };
    assert_eq!(refused(root.handle(0, &request(1))).0, Refusal::NoAuthority);
    let term = |until| Some(Term { fence: FENCE, until });
    root.set_term(1_000, term(3_000));
    let (reason, retry_after) = refused(root.handle(1_000, &request(2)));
    assert_eq!(
        (reason, retry_after),
        (Refusal::GracePeriod, 31_156),
        "30 s, a window of 1 s, and 5 in a thousand"
    );
    root.set_term(32_155, term(34_000));
    assert_eq!(refused(root.handle(32_155, &request(3))), (Refusal::GracePeriod, 1));
    assert_eq!(granted(root.handle(32_156, &request(4))), 1);
    // Its term has not been extended.
    assert_eq!(refused(root.handle(34_000, &request(5))).0, Refusal::NoAuthority);
    root.set_term(34_000, Some(Term { fence: Fence { round: 2, ..FENCE }, until: 99_000 }));
    assert_eq!(refused(root.handle(34_000, &request(6))).0, Refusal::GracePeriod);
}

#[test]
fn a_holder_without_a_reply_tries_the_next_grantor_with_growing_pauses() {
    let mut holder = Holder::start(1, 1, TIMING, 2, 0);
    let usage = Usage { wanted: permits(1), in_use: Permits::NONE };
    let mut requests = Vec::new();
    for now in 0..300_000 {
        requests.extend(holder.tick(now, usage).map(|(grantor, _)| (now, grantor)));
    }
    assert!(requests.windows(2).all(|two| two[0].1 != two[1].1), "{requests:?}");
    let pauses: Vec<u64> = requests.windows(2).map(|two| two[1].0 - two[0].0).collect();
    assert!(pauses[0] >= 5_000 && pauses[0] < 8_000, "{pauses:?}");
    assert!(pauses[3..].iter().all(|pause| (31_000..47_000).contains(pause)), "{pauses:?}");
}

#[test]
fn a_holder_accepts_no_more_than_it_requested_and_only_once() {
    let mut node = Node::start(1, 1, TIMING, (1, None), (0, 0));
    let (_, message) = (0..3_000).find_map(|now| node.tick(now, permits(2))).expect("it sends a request");
    let Message::Request { from, .. } = message else { panic!("{message:?}") };
    let grant = Message::Grant { to: from, fence: FENCE, permits: permits(9), duration: u64::MAX };
    node.handle(3_000, &grant);
    let lease = node.lease(3_000).expect("granted");
    assert_eq!(lease.permits, permits(2));
    assert!(lease.until < 33_000, "no lease is longer than the lease duration");
    assert!(node.begin_call((3_000, 0), 1, 10_000).is_some());
    assert_eq!(node.begin_call((3_000, 0), 2, 30_000), None, "it might last longer than the lease");
    assert!(node.begin_call((3_000, 0), 3, 10_000).is_some());
    assert_eq!(node.begin_call((3_000, 0), 4, 10_000), None, "two are running");
    // It wants nothing any more, and releases all but what is running.
    let (_, message) =
        (3_000..9_000).find_map(|now| node.tick(now, Permits::NONE)).expect("it releases permits");
    let Message::Release { retained, .. } = message else { panic!("{message:?}") };
    assert_eq!(retained.outstanding, 2);
    node.handle(9_000, &grant);
    assert_eq!(node.lease(9_000), None, "a grant from before the release is void");
}

#[test]
fn an_aggregator_grants_for_no_longer_than_its_own_lease_lasts() {
    let mut aggregator = Aggregator::start(100, 1, TIMING, 1, 0);
    let request = |sequence, holder| Message::Request {
        from: request_id(holder, 1, sequence),
        retained: Permits::NONE,
        wanted: permits(1),
    };
    assert_eq!(refused(aggregator.handle(0, &request(1, 1))), (Refusal::NoAuthority, TIMING.min_retry));
    let (_, message) =
        (0..3_000).find_map(|now| aggregator.tick(now)).expect("it sends a request for its holders");
    let Message::Request { from, wanted, .. } = message else { panic!("{message:?}") };
    assert_eq!(wanted, permits(1));
    let grant =
        Message::Grant { to: from, fence: FENCE, permits: permits(1), duration: TIMING.lease_duration };
    aggregator.handle(3_000, &grant);
    let until = aggregator.lease(3_000).expect("granted").until;
    match aggregator.handle(20_000, &request(2, 1)) {
        Some(Message::Grant { permits: one, duration, fence, .. }) => {
            assert_eq!((one, duration, fence), (permits(1), until - 20_000, FENCE));
        }
        other => panic!("no grant: {other:?}"),
    }
    assert_eq!(refused(aggregator.handle(20_000, &request(1, 2))).0, Refusal::Exhausted);
    assert_eq!(refused(aggregator.handle(until - 1, &request(2, 2))).0, Refusal::NoAuthority);
}

#[test]
fn an_offer_ends_with_the_lease_and_has_its_remaining_calls() {
    let mut node = Node::start(1, 1, TIMING, (1, None), (0, 0));
    assert_eq!(node.offer(0, 0), None, "without a lease, and without a rotation");
    let (_, message) = (0..3_000).find_map(|now| node.tick(now, permits(3))).expect("it sends a request");
    let Message::Request { from, .. } = message else { panic!("{message:?}") };
    let grant =
        Message::Grant { to: from, fence: FENCE, permits: permits(3), duration: TIMING.lease_duration };
    node.handle(3_000, &grant);
    let until = node.lease(3_000).expect("granted").until;
    let offered = |node: &mut Node, now| {
        node.offer(now, 0).map(|offer| (offer.permits.outstanding, offer.permits.calls, offer.until))
    };
    assert_eq!(offered(&mut node, 3_000), Some((3, 6, until)));
    for call in 0..2 {
        node.record_call(3_000, call, Permit { source: Source::Lease, deadline: 4_000 });
    }
    assert_eq!(offered(&mut node, 3_000), Some((3, 4, until)));
    // A window later both may be begun again.
    assert_eq!(offered(&mut node, 3_000 + TIMING.window), Some((3, 4, until)), "by a clock that may be fast");
    assert_eq!(offered(&mut node, 3_010 + TIMING.window), Some((3, 6, until)));
    assert_eq!(offered(&mut node, until), None);
}
