//! A leader whose predecessor may have given a zone up: of two zones that can't both be, the same one is given up.
#![allow(missing_docs)]

use mothpier_plan::{Evidence, Millis, Plan, Planner, Tuning, ZonePlan, ZoneState};

/// Until when a leader that starts at 0 recovers its predecessor's plan.
const LEARNS_UNTIL: Millis = 300;
const SERVING: ZonePlan = ZonePlan { state: ZoneState::Serving, open_percent: 100 };
const SUSPECTED: ZonePlan = ZonePlan { state: ZoneState::Suspected, open_percent: 100 };

fn decider(plan: &Plan) -> Planner {
    Planner::for_new_leader(Tuning::default(), 3, plan, (0, LEARNS_UNTIL))
}

/// Zones 0 and 2 of three are cut off from each other: six of nine nodes see the other zone as unanswered.
fn cut(planner: &mut Planner, now: Millis) -> Plan {
    for node in 0..9 {
        let silent = |zone: usize| match (node % 3, zone) {
            (0, 2) | (2, 0) => 12.0,
            _ => 0.0,
        };
        planner.add_evidence(now, node, Evidence::from_counts((0..3).map(|zone| (12.0, silent(zone)))));
    }
    planner.step(now)
}

fn given_up(plan: &Plan) -> Vec<usize> {
    (0..plan.zones.len()).filter(|zone| plan.zones[*zone].state == ZoneState::GivenUp).collect()
}

fn suspected(plan: &Plan) -> Vec<usize> {
    (0..plan.zones.len()).filter(|zone| plan.zones[*zone].state == ZoneState::Suspected).collect()
}

#[test]
fn a_decider_gives_up_the_zone_that_its_predecessor_had_announced() {
    for announced in [0, 2] {
        let mut zones = vec![SERVING; 3];
        zones[announced] = SUSPECTED;
        let mut planner = decider(&Plan::default());
        let mut chosen = Vec::new();
        for now in (0..2_000).step_by(100) {
            if now == 200 {
                assert!(
                    planner.adopt_predecessor_plan(now, &Plan { zones: zones.clone(), ..Plan::default() })
                );
            }
            let plan = cut(&mut planner, now);
            planner.plan_published(0, (now / 100) as u32);
            assert!(now >= LEARNS_UNTIL || given_up(&plan).is_empty(), "{now} ms: it has yet to learn");
            chosen.extend(given_up(&plan));
        }
        chosen.dedup();
        assert_eq!(chosen, [announced]);
    }
}

#[test]
fn nothing_is_chosen_while_a_decider_learns_and_nothing_is_learned_afterwards() {
    let mut planner = decider(&Plan::default());
    for now in (0..LEARNS_UNTIL).step_by(100) {
        assert_eq!(cut(&mut planner, now).zones, [SERVING; 3], "{now} ms");
    }
    assert_eq!(suspected(&cut(&mut planner, LEARNS_UNTIL)), [0]);
    let zones = vec![SERVING, SERVING, SUSPECTED];
    assert!(!planner.adopt_predecessor_plan(LEARNS_UNTIL, &Plan { zones, ..Plan::default() }));
    assert_eq!(suspected(&planner.plan(LEARNS_UNTIL)), [0]);
}

#[test]
fn a_zone_is_given_up_when_more_than_half_of_the_nodes_know_that_it_is_the_one() {
    let mut planner = decider(&Plan::default());
    let mut now = 0;
    while suspected(&cut(&mut planner, now)).is_empty() {
        now += 100;
    }
    planner.plan_published(0, 7);
    (1..4).for_each(|node| planner.plan_applied(node, 7));
    // A node that has acted on an earlier plan only does not know.
    planner.plan_applied(4, 6);
    for later in [100, 400, 700] {
        assert!(given_up(&cut(&mut planner, now + later)).is_empty(), "four of nine know");
    }
    planner.plan_applied(4, 8);
    let plan = cut(&mut planner, now + 800);
    assert_eq!((given_up(&plan), suspected(&plan)), (vec![0], vec![]));
}

#[test]
fn a_zone_is_given_up_after_a_bounded_time_though_nobody_tells_that_it_knows() {
    let mut planner = decider(&Plan::default());
    let mut at = None;
    for now in (0..4_000).step_by(100) {
        if !given_up(&cut(&mut planner, now)).is_empty() {
            at = at.or(Some(now));
        }
        planner.plan_published(0, 1);
    }
    assert!(at.is_some_and(|at| (1_000..=2_000).contains(&at)), "{at:?}");
}

#[test]
fn a_suspicion_of_which_nobody_can_tell_any_more_does_not_keep_another_zone_from_being_given_up() {
    let mut planner = decider(&Plan::default());
    (0..=400).step_by(100).for_each(|now| drop(cut(&mut planner, now)));
    assert_eq!(suspected(&planner.plan(400)), [0]);
    let mut chosen = Vec::new();
    for now in (500..6_000).step_by(100) {
        let sees = [(0.0, 0.0), (12.0, 0.0), (12.0, 12.0)];
        (0..9).for_each(|node| planner.add_evidence(now, node, Evidence::from_counts(sees.into_iter())));
        chosen.extend(given_up(&planner.step(now)));
        planner.plan_published(0, (now / 100) as u32);
        (1..9).for_each(|node| planner.plan_applied(node, (now / 100) as u32));
    }
    chosen.dedup();
    assert_eq!(chosen, [2]);
}
