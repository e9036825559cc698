//! A leader whose predecessor may have given a zone up: of two zones that can't both be, the same one is given up.
#![allow(missing_docs)]

use mothpier_plan::{Evidence, Millis, Plan, Planner, Tuning, ZonePlan, ZoneState};

/// Until when a leader that starts at 0 recovers its predecessor's plan.
const RECOVERY_ENDS: Millis = 300;
const SERVING: ZonePlan = ZonePlan { state: ZoneState::Serving, open_percent: 100 };
const SUSPECTED: ZonePlan = ZonePlan { state: ZoneState::Suspected, open_percent: 100 };

fn new_leader(plan: &Plan) -> Planner {
    Planner::for_new_leader(Tuning::default(), 3, plan, (0, RECOVERY_ENDS))
}

/// Zones 0 and 2 of three are cut off from each other: six of nine nodes see the other zone as unanswered.
fn step_with_cut(planner: &mut Planner, now: Millis) -> Plan {
    for node in 0..9 {
        let unanswered = |zone: usize| match (node % 3, zone) {
            (0, 2) | (2, 0) => 12.0,
            _ => 0.0,
        };
        planner.add_evidence(now, node, Evidence::from_counts((0..3).map(|zone| (12.0, unanswered(zone)))));
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
fn a_leader_gives_up_the_zone_that_its_predecessor_announced() {
    for announced in [0, 2] {
        let mut zones = vec![SERVING; 3];
        zones[announced] = SUSPECTED;
        let mut planner = new_leader(&Plan::default());
        let mut chosen = Vec::new();
        for now in (0..2_000).step_by(100) {
            if now == 200 {
                assert!(
                    planner.adopt_predecessor_plan(now, &Plan { zones: zones.clone(), ..Plan::default() })
                );
            }
            let plan = step_with_cut(&mut planner, now);
            planner.plan_published(0, (now / 100) as u32);
            assert!(now >= RECOVERY_ENDS || given_up(&plan).is_empty(), "{now} ms: recovery is not over");
            chosen.extend(given_up(&plan));
        }
        chosen.dedup();
        assert_eq!(chosen, [announced]);
    }
}

#[test]
fn nothing_is_chosen_during_recovery_and_nothing_is_recovered_afterwards() {
    let mut planner = new_leader(&Plan::default());
    for now in (0..RECOVERY_ENDS).step_by(100) {
        assert_eq!(step_with_cut(&mut planner, now).zones, [SERVING; 3], "{now} ms");
    }
    assert_eq!(suspected(&step_with_cut(&mut planner, RECOVERY_ENDS)), [0]);
    let zones = vec![SERVING, SERVING, SUSPECTED];
    assert!(!planner.adopt_predecessor_plan(RECOVERY_ENDS, &Plan { zones, ..Plan::default() }));
    assert_eq!(suspected(&planner.plan(RECOVERY_ENDS)), [0]);
}

#[test]
fn a_zone_is_given_up_when_more_than_half_of_the_nodes_know_of_it() {
    let mut planner = new_leader(&Plan::default());
    let mut now = 0;
    while suspected(&step_with_cut(&mut planner, now)).is_empty() {
        now += 100;
    }
    planner.plan_published(0, 7);
    (1..4).for_each(|node| planner.plan_applied(node, 7));
    // A node that has acted on an earlier plan only does not know.
    planner.plan_applied(4, 6);
    for later in [100, 400, 700] {
        assert!(given_up(&step_with_cut(&mut planner, now + later)).is_empty(), "four of nine know");
    }
    planner.plan_applied(4, 8);
    let plan = step_with_cut(&mut planner, now + 800);
    assert_eq!((given_up(&plan), suspected(&plan)), (vec![0], vec![]));
}

#[test]
fn a_zone_is_given_up_after_a_bounded_time_without_acknowledgements() {
    let mut planner = new_leader(&Plan::default());
    let mut given_up_at = None;
    for now in (0..4_000).step_by(100) {
        if !given_up(&step_with_cut(&mut planner, now)).is_empty() {
            given_up_at = given_up_at.or(Some(now));
        }
        planner.plan_published(0, 1);
    }
    assert!(given_up_at.is_some_and(|given_up_at| (1_000..=2_000).contains(&given_up_at)), "{given_up_at:?}");
}

#[test]
fn a_suspicion_without_evidence_does_not_block_another_zone() {
    let mut planner = new_leader(&Plan::default());
    (0..=400).step_by(100).for_each(|now| drop(step_with_cut(&mut planner, now)));
    assert_eq!(suspected(&planner.plan(400)), [0]);
    let mut chosen = Vec::new();
    for now in (500..6_000).step_by(100) {
        let counts = [(0.0, 0.0), (12.0, 0.0), (12.0, 12.0)];
        (0..9).for_each(|node| planner.add_evidence(now, node, Evidence::from_counts(counts.into_iter())));
        chosen.extend(given_up(&planner.step(now)));
        planner.plan_published(0, (now / 100) as u32);
        (1..9).for_each(|node| planner.plan_applied(node, (now / 100) as u32));
    }
    chosen.dedup();
    assert_eq!(chosen, [2]);
}
