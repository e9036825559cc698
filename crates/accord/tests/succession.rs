//! How a new leader recovers its predecessor's plan from members that have acted on it, and what it does meanwhile.
#![allow(missing_docs)]

use mothpier_accord::{Ballot, Config, Effect, Member, MemberId, Message, Millis, PlanNumber, Timing};

const FOLLOWER: MemberId = 5;
/// A plan that the followers of the former leader act on.
const FORMER: &[u8] = &[7, 7];

fn timing() -> Timing {
    Timing::default()
}

fn member(me: MemberId, life: u32, now: Millis) -> Member {
    Member::start(Config { me, voters: vec![0], timing: timing() }, life, now)
}

/// The only voter, as the leader.
fn decider(life: u32, began: Millis) -> (Member, Millis) {
    let mut member = member(0, life, began);
    let now = began + timing().grant;
    member.start_campaign(now, &mut Vec::new());
    assert!(member.leader_ballot().is_some());
    (member, now)
}

/// Delivers all messages between both until none is left; returns the other effects of each.
fn talk(now: Millis, decider: &mut Member, follower: &mut Member) -> (Vec<Effect>, Vec<Effect>) {
    let mut asks = Vec::new();
    follower.send_query(now, 0, &mut asks);
    let (mut decider_did, mut follower_did, mut turns) = (Vec::new(), Vec::new(), 0);
    let mut to_decider = asks;
    while !to_decider.is_empty() && turns < 10 {
        let (mut answers, mut next) = (Vec::new(), Vec::new());
        for effect in to_decider {
            match effect {
                Effect::Send(_, message) => decider.handle(now, FOLLOWER, message, &mut answers),
                other => follower_did.push(other),
            }
        }
        for effect in answers {
            match effect {
                Effect::Send(_, message) => follower.handle(now, 0, message, &mut next),
                other => decider_did.push(other),
            }
        }
        to_decider = next;
        turns += 1;
    }
    (decider_did, follower_did)
}

/// A follower that acts on the plan of a leader that is gone, and its successor, which starts without state.
fn succession() -> (Member, Member, Millis) {
    let (mut former, now) = decider(1, 0);
    former.set_plan(now, FORMER.to_vec(), &mut Vec::new());
    let mut follower = member(FOLLOWER, 9, 0);
    talk(now, &mut former, &mut follower);
    assert_eq!(follower.applied_plan().unwrap().1, FORMER);
    // It learns the former round from the follower's queries while it abstains.
    let began = now + 300;
    let mut next = member(0, 2, began);
    let mut asks = Vec::new();
    follower.send_query(began + 1, 0, &mut asks);
    for effect in asks {
        if let Effect::Send(_, message) = effect {
            next.handle(began + 1, FOLLOWER, message, &mut Vec::new());
        }
    }
    let now = began + timing().grant;
    next.start_campaign(now, &mut Vec::new());
    assert!(next.leader_ballot().is_some_and(|began| began.round > 1));
    (next, follower, now)
}

#[test]
fn a_new_decider_learns_what_its_predecessor_had_decided_before_a_follower_is_told_otherwise() {
    let (mut next, mut follower, now) = succession();
    let (did, acted) = talk(now + 10, &mut next, &mut follower);
    assert!(did.contains(&Effect::RecoveredPlan(FORMER.to_vec())), "{did:?}");
    assert!(acted.is_empty(), "it goes on with what it acts on: {acted:?}");
    assert_eq!(follower.applied_plan().unwrap().1, FORMER);
    // Once it knows the plan, it sets the same one, and replies.
    next.set_plan(now + 20, FORMER.to_vec(), &mut Vec::new());
    let (did, acted) = talk(now + 30, &mut next, &mut follower);
    assert!(!did.iter().any(|e| matches!(e, Effect::RecoveredPlan(_))), "once: {did:?}");
    assert!(matches!(&acted[..], [Effect::ApplyPlan(_, plan)] if plan == FORMER), "{acted:?}");
    // The next query tells the leader that its plan is acted on.
    let (did, _) = talk(now + 40, &mut next, &mut follower);
    assert!(did.contains(&Effect::PlanApplied(FOLLOWER, 1)), "{did:?}");
}

#[test]
fn one_that_does_not_say_what_it_acts_on_is_answered_in_the_end() {
    let (mut next, mut follower, now) = succession();
    let told = |next: &mut Member, now: Millis, follower: &mut Member| {
        let (mut asks, mut out) = (Vec::new(), Vec::new());
        follower.send_query(now, 0, &mut asks);
        for effect in asks {
            if let Effect::Send(_, message) = effect {
                next.handle(now, FOLLOWER, message, &mut out);
            }
        }
        out.iter().any(|e| matches!(e, Effect::Send(FOLLOWER, Message::Reply { .. })))
    };
    let answers: Vec<bool> = (1..5).map(|i| told(&mut next, now + i, &mut follower)).collect();
    assert_eq!(answers, [false, false, true, true]);
    // A member that is first heard when recovery is over is answered at once.
    let (mut next, mut follower, now) = succession();
    let over = next.recovery_ends().unwrap();
    assert!(over > now && over <= now + timing().query_interval);
    assert!(told(&mut next, over, &mut follower));
}

#[test]
fn a_question_that_was_passed_on_is_not_answered_before_the_decider_has_learned_either() {
    let (next, follower, now) = succession();
    let mut next = Member::clone(&next);
    let mut out = Vec::new();
    let mut asks = Vec::new();
    follower.clone().send_query_through(now, 0, &mut asks);
    let [Effect::Send(_, Message::Relay { query: ask })] = &asks[..] else { panic!("{asks:?}") };
    next.handle(now, 0, Message::RelayedQuery { requester: FOLLOWER, query: ask.clone() }, &mut out);
    let sent: Vec<&Effect> = out.iter().filter(|e| matches!(e, Effect::Send(..))).collect();
    assert!(matches!(sent[..], [Effect::Send(FOLLOWER, Message::Query { .. })]), "{out:?}");
}

#[test]
fn what_has_no_time_left_is_acted_on_by_nobody_and_learned_only_by_a_decider_and_of_earlier_tenures() {
    let earlier = PlanNumber { term: Ballot { round: 1, voter: 0, incarnation: 1 }, sequence: 3 };
    let told = |number, life, stamp| Message::Reply {
        asked_at: stamp,
        incarnation: life,
        number,
        lease_left: 0,
        plan: FORMER.to_vec(),
    };
    // A follower that receives it.
    let mut follower = member(FOLLOWER, 9, 0);
    let mut out = Vec::new();
    follower.handle(5, 0, told(earlier, 9, 5), &mut out);
    assert_eq!((out, follower.applied_plan()), (vec![], None));
    // A leader: the plan must be of an earlier term, meant for this incarnation, and newer than the known one.
    let (mut next, _, now) = succession();
    let own = PlanNumber { term: next.leader_ballot().unwrap(), sequence: 9 };
    for (number, life, learns) in
        [(own, 2, false), (earlier, 1, false), (earlier, 2, true), (earlier, 2, false)]
    {
        let mut out = Vec::new();
        next.handle(now, FOLLOWER, told(number, life, now), &mut out);
        assert_eq!(
            out == [Effect::RecoveredPlan(FORMER.to_vec())],
            learns,
            "{number:?} for life {life}: {out:?}"
        );
    }
    let over = next.recovery_ends().unwrap();
    let mut out = Vec::new();
    let later = PlanNumber { sequence: 4, ..earlier };
    next.handle(over, FOLLOWER, told(later, 2, over), &mut out);
    assert_eq!(out, []);
}
