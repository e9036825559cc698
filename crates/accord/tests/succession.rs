//! How a new leader recovers its predecessor's plan from members that have acted on it, and what it does meanwhile.
#![allow(missing_docs)]

use mothpier_accord::{Ballot, Config, Effect, Member, MemberId, Message, Millis, PlanNumber, Timing};

const FOLLOWER: MemberId = 5;
/// A plan that the followers of the former leader act on.
const FORMER_PLAN: &[u8] = &[7, 7];

fn timing() -> Timing {
    Timing::default()
}

fn member(me: MemberId, incarnation: u32, now: Millis) -> Member {
    Member::start(Config { me, voters: vec![0], timing: timing() }, incarnation, now)
}

/// The only voter, as the leader.
fn leader(incarnation: u32, started_at: Millis) -> (Member, Millis) {
    let mut member = member(0, incarnation, started_at);
    let now = started_at + timing().grant;
    member.start_campaign(now, &mut Vec::new());
    assert!(member.leader_ballot().is_some());
    (member, now)
}

/// Delivers all messages between both until none is left; returns the other effects of each.
fn exchange(now: Millis, leader: &mut Member, follower: &mut Member) -> (Vec<Effect>, Vec<Effect>) {
    let mut queries = Vec::new();
    follower.send_query(now, 0, &mut queries);
    let (mut leader_effects, mut follower_effects, mut turns) = (Vec::new(), Vec::new(), 0);
    let mut to_decider = queries;
    while !to_decider.is_empty() && turns < 10 {
        let (mut answers, mut replies) = (Vec::new(), Vec::new());
        for effect in to_decider {
            match effect {
                Effect::Send(_, message) => leader.handle(now, FOLLOWER, message, &mut answers),
                other => follower_effects.push(other),
            }
        }
        for effect in answers {
            match effect {
                Effect::Send(_, message) => follower.handle(now, 0, message, &mut replies),
                other => leader_effects.push(other),
            }
        }
        to_decider = replies;
        turns += 1;
    }
    (leader_effects, follower_effects)
}

/// A follower that acts on the plan of a leader that is gone, and its successor, which starts without state.
fn succession() -> (Member, Member, Millis) {
    let (mut former_leader, now) = leader(1, 0);
    former_leader.set_plan(now, FORMER_PLAN.to_vec(), &mut Vec::new());
    let mut follower = member(FOLLOWER, 9, 0);
    exchange(now, &mut former_leader, &mut follower);
    assert_eq!(follower.applied_plan().unwrap().1, FORMER_PLAN);
    // It learns the former round from the follower's queries while it abstains.
    let started_at = now + 300;
    let mut new_leader = member(0, 2, started_at);
    let mut queries = Vec::new();
    follower.send_query(started_at + 1, 0, &mut queries);
    for effect in queries {
        if let Effect::Send(_, message) = effect {
            new_leader.handle(started_at + 1, FOLLOWER, message, &mut Vec::new());
        }
    }
    let now = started_at + timing().grant;
    new_leader.start_campaign(now, &mut Vec::new());
    assert!(new_leader.leader_ballot().is_some_and(|ballot| ballot.round > 1));
    (new_leader, follower, now)
}

#[test]
fn a_new_leader_recovers_its_predecessors_plan_before_it_replies() {
    let (mut new_leader, mut follower, now) = succession();
    let (leader_effects, follower_effects) = exchange(now + 10, &mut new_leader, &mut follower);
    assert!(leader_effects.contains(&Effect::RecoveredPlan(FORMER_PLAN.to_vec())), "{leader_effects:?}");
    assert!(follower_effects.is_empty(), "the follower keeps its plan: {follower_effects:?}");
    assert_eq!(follower.applied_plan().unwrap().1, FORMER_PLAN);
    // Once it knows the plan, it sets the same one, and replies.
    new_leader.set_plan(now + 20, FORMER_PLAN.to_vec(), &mut Vec::new());
    let (leader_effects, follower_effects) = exchange(now + 30, &mut new_leader, &mut follower);
    assert!(
        !leader_effects.iter().any(|e| matches!(e, Effect::RecoveredPlan(_))),
        "recovered only once: {leader_effects:?}"
    );
    assert!(
        matches!(&follower_effects[..], [Effect::ApplyPlan(_, plan)] if plan == FORMER_PLAN),
        "{follower_effects:?}"
    );
    // The next query tells the leader that its plan is acted on.
    let (leader_effects, _) = exchange(now + 40, &mut new_leader, &mut follower);
    assert!(leader_effects.contains(&Effect::PlanApplied(FOLLOWER, 1)), "{leader_effects:?}");
}

#[test]
fn a_member_that_does_not_report_its_plan_is_answered_in_the_end() {
    let (mut new_leader, mut follower, now) = succession();
    let is_answered = |new_leader: &mut Member, now: Millis, follower: &mut Member| {
        let (mut queries, mut out) = (Vec::new(), Vec::new());
        follower.send_query(now, 0, &mut queries);
        for effect in queries {
            if let Effect::Send(_, message) = effect {
                new_leader.handle(now, FOLLOWER, message, &mut out);
            }
        }
        out.iter().any(|e| matches!(e, Effect::Send(FOLLOWER, Message::Reply { .. })))
    };
    let answers: Vec<bool> = (1..5).map(|i| is_answered(&mut new_leader, now + i, &mut follower)).collect();
    assert_eq!(answers, [false, false, true, true]);
    // A member that is first heard when recovery is over is answered at once.
    let (mut new_leader, mut follower, now) = succession();
    let recovery_ends = new_leader.recovery_ends().unwrap();
    assert!(recovery_ends > now && recovery_ends <= now + timing().query_interval);
    assert!(is_answered(&mut new_leader, recovery_ends, &mut follower));
}

#[test]
fn a_relayed_query_is_not_answered_before_recovery_either() {
    let (new_leader, follower, now) = succession();
    let mut new_leader = Member::clone(&new_leader);
    let mut out = Vec::new();
    let mut queries = Vec::new();
    follower.clone().send_query_through(now, 0, &mut queries);
    let [Effect::Send(_, Message::Relay { query })] = &queries[..] else { panic!("{queries:?}") };
    new_leader.handle(now, 0, Message::RelayedQuery { requester: FOLLOWER, query: query.clone() }, &mut out);
    let sent: Vec<&Effect> = out.iter().filter(|e| matches!(e, Effect::Send(..))).collect();
    assert!(matches!(sent[..], [Effect::Send(FOLLOWER, Message::Query { .. })]), "{out:?}");
}

#[test]
fn a_reply_without_lease_time_is_recovered_by_leaders_only_and_from_earlier_terms_only() {
    let earlier = PlanNumber { term: Ballot { round: 1, voter: 0, incarnation: 1 }, sequence: 3 };
    let reply = |number, incarnation, asked_at| Message::Reply {
        asked_at,
        incarnation,
        number,
        lease_left: 0,
        plan: FORMER_PLAN.to_vec(),
    };
    // A follower that receives it.
    let mut follower = member(FOLLOWER, 9, 0);
    let mut out = Vec::new();
    follower.handle(5, 0, reply(earlier, 9, 5), &mut out);
    assert_eq!((out, follower.applied_plan()), (vec![], None));
    // A leader: the plan must be of an earlier term, meant for this incarnation, and newer than the known one.
    let (mut new_leader, _, now) = succession();
    let own = PlanNumber { term: new_leader.leader_ballot().unwrap(), sequence: 9 };
    for (number, incarnation, recovers) in
        [(own, 2, false), (earlier, 1, false), (earlier, 2, true), (earlier, 2, false)]
    {
        let mut out = Vec::new();
        new_leader.handle(now, FOLLOWER, reply(number, incarnation, now), &mut out);
        assert_eq!(
            out == [Effect::RecoveredPlan(FORMER_PLAN.to_vec())],
            recovers,
            "{number:?} for incarnation {incarnation}: {out:?}"
        );
    }
    let recovery_ends = new_leader.recovery_ends().unwrap();
    let mut out = Vec::new();
    let later = PlanNumber { sequence: 4, ..earlier };
    new_leader.handle(recovery_ends, FOLLOWER, reply(later, 2, recovery_ends), &mut out);
    assert_eq!(out, []);
}
