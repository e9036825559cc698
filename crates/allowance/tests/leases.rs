//! Single rules of leases: when what a dead holder had comes back, who is refused and until when, what bounds the tables.

use mothpier_allowance::{
    Aggregator, Asker, Fence, Grantor, Holder, Message, Node, Permit, Permits, Refusal, Root, Source, Tenure,
    Timing, Usage,
};

const TIMING: Timing =
    Timing { length: 30_000, window: 1_000, drift: 5, reply: 1_000, retry: 2_000, retry_most: 30_000 };
const FENCE: Fence = Fence { round: 1, member: 0, life: 0 };

fn permits(outstanding: u32) -> Permits {
    Permits { outstanding, calls: outstanding * 2 }
}

fn asker(holder: u32, life: u64, sequence: u32) -> Asker {
    Asker { holder, life, sequence }
}

fn ask(grantor: &mut Grantor, now: u64, from: Asker, keeps: u32, wanted: u32) -> Option<Message> {
    grantor.ask(now, from, (permits(keeps), permits(wanted)), (FENCE, TIMING.length))
}

fn granted(message: Option<Message>) -> u32 {
    match message {
        Some(Message::Grant { permits, .. }) => permits.outstanding,
        other => panic!("no grant: {other:?}"),
    }
}

fn refused(message: Option<Message>) -> (Refusal, u64) {
    match message {
        Some(Message::Refused { why, retry_after, .. }) => (why, retry_after),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn what_a_dead_holder_had_comes_back_after_the_length_of_a_lease_and_no_sooner() {
    let mut grantor = Grantor::new(TIMING, permits(10));
    assert_eq!(granted(ask(&mut grantor, 1_000, asker(1, 1, 1), 0, 10)), 10);
    // It dies; its next life is another holder.
    assert_eq!(refused(ask(&mut grantor, 2_000, asker(1, 2, 1), 0, 10)), (Refusal::Spent, 29_000));
    assert_eq!(refused(ask(&mut grantor, 30_999, asker(1, 2, 2), 0, 10)).0, Refusal::Spent);
    // Its calls in a window count for one window longer, its outstanding ones do not.
    assert_eq!(refused(ask(&mut grantor, 31_000, asker(1, 2, 3), 0, 10)).0, Refusal::Spent);
    assert_eq!(grantor.counted(31_000), Permits { outstanding: 0, calls: 20 });
    assert_eq!(granted(ask(&mut grantor, 32_006, asker(1, 2, 4), 0, 10)), 10);
}

#[test]
fn a_smaller_lease_counts_when_the_holder_says_that_it_keeps_less_or_the_old_one_has_ended() {
    let mut grantor = Grantor::new(TIMING, permits(10));
    assert_eq!(granted(ask(&mut grantor, 0, asker(1, 1, 1), 0, 10)), 10);
    assert_eq!(refused(ask(&mut grantor, 0, asker(2, 1, 1), 0, 10)).0, Refusal::Spent);
    // The holder's part is half now that another waits; yet it may not hear of that.
    assert_eq!(granted(ask(&mut grantor, 10_000, asker(1, 1, 2), 10, 10)), 5);
    assert_eq!(grantor.counted(10_000), permits(10));
    assert_eq!(refused(ask(&mut grantor, 10_000, asker(2, 1, 2), 0, 10)).0, Refusal::Spent);
    grantor.give_back(11_000, asker(1, 1, 3), permits(5));
    assert_eq!(grantor.counted(11_000), permits(5));
    assert_eq!(granted(ask(&mut grantor, 11_000, asker(2, 1, 3), 0, 10)), 5);
}

#[test]
fn what_is_returned_late_or_twice_or_by_nobody_takes_nothing_from_a_later_lease() {
    let mut grantor = Grantor::new(TIMING, permits(10));
    assert_eq!(granted(ask(&mut grantor, 0, asker(1, 1, 3), 0, 4)), 4);
    grantor.give_back(1, asker(1, 1, 2), Permits::NONE);
    grantor.give_back(1, asker(1, 1, 3), Permits::NONE);
    grantor.give_back(1, asker(1, 2, 9), Permits::NONE);
    grantor.give_back(1, asker(7, 1, 9), Permits::NONE);
    assert_eq!(grantor.counted(1), permits(4));
    assert_eq!(grantor.holders(), 1);
    assert_eq!(ask(&mut grantor, 2, asker(1, 1, 3), 0, 9), None, "heard before");
}

#[test]
fn the_table_is_bounded_and_a_holder_without_a_lease_gives_way() {
    let mut grantor = Grantor::new(TIMING, permits(2)).with_most_holders(3);
    assert_eq!(granted(ask(&mut grantor, 0, asker(1, 1, 1), 0, 1)), 1);
    assert_eq!(granted(ask(&mut grantor, 1, asker(2, 1, 1), 0, 1)), 1);
    assert_eq!(refused(ask(&mut grantor, 2, asker(3, 1, 1), 0, 1)).0, Refusal::Spent);
    for life in 0..1_000 {
        ask(&mut grantor, 3, asker(4, life, 1), 0, 1);
        assert!(grantor.holders() <= 3);
    }
    assert_eq!(grantor.counted(3), permits(2));
    let mut full = Grantor::new(TIMING, permits(9)).with_most_holders(2);
    ask(&mut full, 0, asker(1, 1, 1), 0, 1);
    ask(&mut full, 0, asker(2, 1, 1), 0, 1);
    assert_eq!(refused(ask(&mut full, 0, asker(3, 1, 1), 0, 1)), (Refusal::Full, TIMING.length));
}

#[test]
fn where_there_is_less_than_one_for_each_they_take_turns() {
    let mut grantor = Grantor::new(TIMING, permits(1));
    let mut nodes: Vec<_> = (0..3).map(|i| Node::start(i, 1, TIMING, (1, None), (0, 0))).collect();
    let mut had = [0u32; 3];
    for now in (0..7_200_000).step_by(500) {
        for (node, had) in nodes.iter_mut().zip(&mut had) {
            if let Some((_, Message::Ask { from, keeps, wanted })) = node.tick(now, permits(1)) {
                let answer = grantor.ask(now, from, (keeps, wanted), (FENCE, TIMING.length));
                node.handle(now, &answer.expect("an answer"));
            }
            *had += u32::from(node.lease(now).is_some());
        }
        assert!(nodes.iter().filter(|node| node.lease(now).is_some()).count() <= 1);
        assert!(grantor.counted(now).within(permits(1)));
    }
    println!("of 14400 looks they had the lease in {had:?}");
    assert!(had.iter().all(|had| *had > 2_000), "{had:?}");
    assert!(had.iter().sum::<u32>() > 10_000, "{had:?}");
}

#[test]
fn a_new_root_grants_nothing_until_all_that_its_predecessor_granted_has_ended() {
    let mut root = Root::new(TIMING, permits(10));
    let question =
        |sequence| Message::Ask { from: asker(1, 1, sequence), keeps: Permits::NONE, wanted: permits(1) };
    assert_eq!(refused(root.handle(0, &question(1))).0, Refusal::NoGrantor);
    let tenure = |until| Some(Tenure { fence: FENCE, until });
    root.tenure(1_000, tenure(3_000));
    let (why, retry_after) = refused(root.handle(1_000, &question(2)));
    assert_eq!((why, retry_after), (Refusal::Quiet, 31_156), "30 s, a window of 1 s, and 5 in a thousand");
    root.tenure(32_155, tenure(34_000));
    assert_eq!(refused(root.handle(32_155, &question(3))), (Refusal::Quiet, 1));
    assert_eq!(granted(root.handle(32_156, &question(4))), 1);
    // Its tenure has not been prolonged.
    assert_eq!(refused(root.handle(34_000, &question(5))).0, Refusal::NoGrantor);
    root.tenure(34_000, Some(Tenure { fence: Fence { round: 2, ..FENCE }, until: 99_000 }));
    assert_eq!(refused(root.handle(34_000, &question(6))).0, Refusal::Quiet);
}

#[test]
fn a_holder_that_gets_no_answer_turns_to_the_next_after_longer_and_longer_pauses() {
    let mut holder = Holder::start(1, 1, TIMING, 2, 0);
    let usage = Usage { wanted: permits(1), in_use: Permits::NONE };
    let mut asked = Vec::new();
    for now in 0..300_000 {
        asked.extend(holder.tick(now, usage).map(|(grantor, _)| (now, grantor)));
    }
    assert!(asked.windows(2).all(|two| two[0].1 != two[1].1), "{asked:?}");
    let pauses: Vec<u64> = asked.windows(2).map(|two| two[1].0 - two[0].0).collect();
    assert!(pauses[0] >= 5_000 && pauses[0] < 8_000, "{pauses:?}");
    assert!(pauses[3..].iter().all(|pause| (31_000..47_000).contains(pause)), "{pauses:?}");
}

#[test]
fn a_holder_takes_no_more_than_it_asked_for_and_only_once() {
    let mut node = Node::start(1, 1, TIMING, (1, None), (0, 0));
    let (_, message) = (0..3_000).find_map(|now| node.tick(now, permits(2))).expect("it asks");
    let Message::Ask { from, .. } = message else { panic!("{message:?}") };
    let grant = Message::Grant { to: from, fence: FENCE, permits: permits(9), length: u64::MAX };
    node.handle(3_000, &grant);
    let lease = node.lease(3_000).expect("granted");
    assert_eq!(lease.permits, permits(2));
    assert!(lease.until < 33_000, "no lease is longer than the length");
    assert!(node.begin((3_000, 0), 1, 10_000).is_some());
    assert_eq!(node.begin((3_000, 0), 2, 30_000), None, "it might last longer than the lease");
    assert!(node.begin((3_000, 0), 3, 10_000).is_some());
    assert_eq!(node.begin((3_000, 0), 4, 10_000), None, "two run");
    // It wants nothing any more, and gives back all but what runs.
    let (_, message) = (3_000..9_000).find_map(|now| node.tick(now, Permits::NONE)).expect("it returns");
    let Message::Return { keeps, .. } = message else { panic!("{message:?}") };
    assert_eq!(keeps.outstanding, 2);
    node.handle(9_000, &grant);
    assert_eq!(node.lease(9_000), None, "a grant from before the return is void");
}

#[test]
fn an_aggregator_grants_for_no_longer_than_its_own_lease_lasts() {
    let mut aggregator = Aggregator::start(100, 1, TIMING, 1, 0);
    let question = |sequence, holder| Message::Ask {
        from: asker(holder, 1, sequence),
        keeps: Permits::NONE,
        wanted: permits(1),
    };
    assert_eq!(refused(aggregator.handle(0, &question(1, 1))), (Refusal::NoGrantor, TIMING.retry));
    let (_, message) = (0..3_000).find_map(|now| aggregator.tick(now)).expect("it asks for those below");
    let Message::Ask { from, wanted, .. } = message else { panic!("{message:?}") };
    assert_eq!(wanted, permits(1));
    let grant = Message::Grant { to: from, fence: FENCE, permits: permits(1), length: TIMING.length };
    aggregator.handle(3_000, &grant);
    let until = aggregator.lease(3_000).expect("granted").until;
    match aggregator.handle(20_000, &question(2, 1)) {
        Some(Message::Grant { permits: one, length, fence, .. }) => {
            assert_eq!((one, length, fence), (permits(1), until - 20_000, FENCE));
        }
        other => panic!("no grant: {other:?}"),
    }
    assert_eq!(refused(aggregator.handle(20_000, &question(1, 2))).0, Refusal::Spent);
    assert_eq!(refused(aggregator.handle(until - 1, &question(2, 2))).0, Refusal::NoGrantor);
}

#[test]
fn what_is_offered_ends_with_the_lease_and_has_what_is_left_of_its_calls() {
    let mut node = Node::start(1, 1, TIMING, (1, None), (0, 0));
    assert_eq!(node.offer(0, 0), None, "without a lease, and without a rotation");
    let (_, message) = (0..3_000).find_map(|now| node.tick(now, permits(3))).expect("it asks");
    let Message::Ask { from, .. } = message else { panic!("{message:?}") };
    let grant = Message::Grant { to: from, fence: FENCE, permits: permits(3), length: TIMING.length };
    node.handle(3_000, &grant);
    let until = node.lease(3_000).expect("granted").until;
    let offered = |node: &mut Node, now| {
        node.offer(now, 0).map(|offer| (offer.permits.outstanding, offer.permits.calls, offer.until))
    };
    assert_eq!(offered(&mut node, 3_000), Some((3, 6, until)));
    for call in 0..2 {
        node.began(3_000, call, Permit { source: Source::Lease, gives_up_at: 4_000 });
    }
    assert_eq!(offered(&mut node, 3_000), Some((3, 4, until)));
    // A window later both may be begun again.
    assert_eq!(offered(&mut node, 3_000 + TIMING.window), Some((3, 4, until)), "by a clock that may be fast");
    assert_eq!(offered(&mut node, 3_010 + TIMING.window), Some((3, 6, until)));
    assert_eq!(offered(&mut node, until), None);
}
