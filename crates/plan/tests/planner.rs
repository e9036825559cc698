//! Plans from evidence: zones lost to all nodes or to some, zones that return or return weak, and all zones at once.
#![allow(missing_docs)]

use mothpier_plan::{
    AttemptCounts, Evidence, MOST_ZONES, Millis, Plan, Planner, RecentAttempts, Tuning, ZonePlan, ZoneState,
};

struct Site {
    planner: Planner,
    now: Millis,
    plans: Vec<(Millis, Plan)>,
}

impl Site {
    fn new() -> Site {
        let planner = Planner::new(Tuning::default(), 3, &Plan::default(), 0);
        Site { planner, now: 0, plans: Vec::new() }
    }

    /// Nine nodes report for a time; `silent` is the share of unanswered attempts by node and zone.
    fn run(&mut self, millis: Millis, silent: impl Fn(u16, usize) -> f64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 100;
            let node = (self.now / 100 % 9) as u16;
            let open = self.planner.plan(self.now);
            // A zone that is given up gets few attempts, but enough for a judgement over all nodes.
            let sees = (0..3).map(|z| (if open.open_share(z) < 0.1 { 0.5 } else { 12.0 }, silent(node, z)));
            let evidence = Evidence::from_counts(sees.map(|(all, part)| (all, all * part)));
            self.planner.add_evidence(self.now, node, Evidence::decode(&evidence.encode()).unwrap());
            let plan = self.planner.step(self.now);
            if self.plans.last().map(|(_, p)| p) != Some(&plan) {
                self.plans.push((self.now, plan));
            }
        }
    }

    fn zone(&self, zone: usize) -> ZonePlan {
        self.planner.plan(self.now).zones[zone]
    }
}

const NOTHING: fn(u16, usize) -> f64 = |_, _| 0.02;

#[test]
fn a_zone_that_all_lose_is_given_up_in_steps_and_taken_back_in_steps() {
    let mut site = Site::new();
    site.run(5_000, NOTHING);
    assert_eq!(site.planner.plan(site.now).describe(&[]), "all zones serve");
    let begin = site.now;
    site.run(3_000, |_, zone| if zone == 2 { 1.0 } else { 0.0 });
    let first = site.plans.iter().find(|(_, p)| p.zones[2].state == ZoneState::GivenUp).unwrap();
    assert!(first.0 - begin <= 1_500, "given up after {} ms", first.0 - begin);
    assert_eq!(first.1.zones[2].open_percent, 40, "in steps");
    assert_eq!(site.zone(2), ZonePlan { state: ZoneState::GivenUp, open_percent: 4 });
    assert_eq!(site.zone(0), ZonePlan { state: ZoneState::Serving, open_percent: 100 });
    site.run(10_000, |_, zone| if zone == 2 { 1.0 } else { 0.0 });
    site.run(12_000, NOTHING);
    assert_eq!(site.zone(2), ZonePlan { state: ZoneState::Serving, open_percent: 100 });
    let opens: Vec<u8> = site.plans.iter().map(|(_, p)| p.zones[2].open_percent).collect();
    assert!(opens.ends_with(&[4, 10, 20, 40, 80, 100]), "{opens:?}");
    let apart = site.plans.windows(2).rev().take(4).map(|w| w[1].0 - w[0].0).min().unwrap();
    assert!(apart >= Tuning::default().step_ms, "{apart} ms between two steps");
}

#[test]
fn what_few_cannot_reach_is_kept_and_what_a_third_cannot_is_given_up_by_all() {
    let mut site = Site::new();
    site.run(8_000, |node, zone| if node == 1 && zone == 2 { 1.0 } else { 0.0 });
    assert_ne!(site.zone(2).state, ZoneState::GivenUp, "one of nine");
    site.run(4_000, |node, zone| if node % 3 == 1 && zone == 2 { 1.0 } else { 0.0 });
    assert_eq!(
        site.zone(2).state,
        ZoneState::GivenUp,
        "three of nine: all or none, and a third is too many to leave waiting"
    );
}

#[test]
fn a_weak_return_is_tried_again_later_each_time_and_bad_weather_moves_nothing() {
    let mut site = Site::new();
    // An hour of losses that are tolerable.
    site.run(3_600_000, |node, zone| if (usize::from(node) + zone) % 4 == 0 { 0.5 } else { 0.1 });
    assert_eq!(site.plans.len(), 1, "no move: {:?}", site.plans.last());
    site.run(3_000, |_, zone| if zone == 1 { 1.0 } else { 0.0 });
    let mut tries = Vec::new();
    for _ in 0..600 {
        let returning = site.zone(1).open_percent > 10;
        site.run(100, |_, zone| if zone == 1 && returning { 1.0 } else { 0.0 });
        if site.zone(1).state == ZoneState::Returning && tries.last().is_none_or(|t| site.now > t + 3_000) {
            tries.push(site.now);
        }
    }
    let apart: Vec<Millis> = tries.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(apart.len() >= 2 && apart.windows(2).all(|w| w[1] > w[0]), "{apart:?}");
}

#[test]
fn where_all_zones_fail_at_most_the_allowed_part_is_given_up_and_where_nobody_tells_nothing_moves() {
    let mut site = Site::new();
    site.run(10_000, |_, _| 1.0);
    let gone = (0..3).filter(|z| site.zone(*z).state == ZoneState::GivenUp).count();
    assert_eq!(gone, 1, "half of three, rounded down");
    let mut quiet = Site::new();
    for _ in 0..100 {
        quiet.now += 100;
        quiet.planner.step(quiet.now);
    }
    assert_eq!(quiet.planner.plan(quiet.now).describe(&[]), "all zones serve");
}

#[test]
fn a_new_decider_goes_on_from_the_plan_that_it_has_acted_on() {
    let zones = vec![
        ZonePlan { state: ZoneState::Serving, open_percent: 100 },
        ZonePlan { state: ZoneState::GivenUp, open_percent: 4 },
    ];
    let plan = Plan { zones, ..Plan::default() };
    let mut planner = Planner::new(Tuning::default(), 2, &plan, 50_000);
    assert_eq!(planner.step(50_100), plan, "without evidence nothing moves");
}

#[test]
fn bytes_are_bounded_and_what_is_no_plan_is_not_taken_for_one() {
    let full = Plan {
        zones: vec![ZonePlan { state: ZoneState::Returning, open_percent: 100 }; MOST_ZONES],
        ..Plan::default()
    };
    let bytes = full.encode();
    assert!(bytes.len() <= 40);
    assert_eq!(Plan::decode(&bytes), Ok(full));
    assert_eq!(Plan::decode(&[]), Ok(Plan::default()));
    for length in 1..bytes.len() {
        assert!(Plan::decode(&bytes[..length]).is_err());
    }
    for spoilt in [&[3, 0][..], &[1, 1, 4, 5], &[1, 1, 0, 101], &[1, 17], &[1, 1, 0, 5, 0]] {
        assert!(Plan::decode(spoilt).is_err(), "{spoilt:?}");
        assert!(Evidence::decode(&spoilt[..1]).is_err());
    }
    assert!(Tuning { max_zone_share: 2.0, ..Tuning::default() }.validate().is_err());
}

#[test]
fn one_node_leaves_by_itself_what_it_alone_cannot_reach_after_a_plan_would_have_and_comes_back() {
    let mut own = Planner::for_single_node(&Tuning::default(), 3, 0);
    let mut open = Vec::new();
    for now in (0..30_000).step_by(100) {
        let plan = own.plan(now);
        // Lost from 2 s to 12 s: 10 attempts go there in normal operation, less than one as probe traffic.
        let lost = (2_000..12_000).contains(&now);
        let sees = (0..3).map(|z| {
            let all = 10.0 * plan.open_share(z).max(0.05);
            (all, if z == 2 && lost { all } else { 0.0 })
        });
        own.add_evidence(now, 0, Evidence::from_counts(sees));
        open.push((now, own.step(now).zones[2].open_percent));
    }
    let at = |now: Millis| open.iter().find(|(at, _)| *at == now).unwrap().1;
    assert_eq!((at(3_400), at(4_300)), (100, 5), "not before a plan could have");
    assert_eq!((at(11_900), at(13_900)), (5, 5));
    assert_eq!(at(20_000), 100, "back in steps once it answers");
    // Without another zone to go to it stays.
    let mut own = Planner::for_single_node(&Tuning::default(), 3, 0);
    for now in (0..20_000).step_by(100) {
        own.add_evidence(now, 0, Evidence::from_counts([(10.0, 10.0); 3].into_iter()));
        own.step(now);
    }
    let left = own.plan(20_000).zones.iter().filter(|z| z.open_percent == 100).count();
    assert_eq!(left, 1);
}

/// The evidence that a node reports of zone 2, which it has left by itself, after steps of a quarter of a second
/// in each of which this many attempts there were unanswered.
fn told_after_leaving(steps: usize, silent: impl Fn(usize) -> u32, common: &Plan) -> (u8, u8) {
    const STEP: Millis = 250;
    let mut own = Planner::for_single_node(&Tuning::default(), 3, 0);
    let mut seen = RecentAttempts::new(3);
    let mut now = 0;
    let mut step = |own: &mut Planner, zone_2: u32| {
        now += STEP;
        let well = AttemptCounts { answered: 10, ..AttemptCounts::default() };
        let open: Vec<f64> = (0..3).map(|zone| own.plan(now).open_share(zone)).collect();
        seen.record(&[well, well, AttemptCounts { unanswered: zone_2, ..AttemptCounts::default() }], &open);
        own.add_evidence(now, 0, seen.evidence());
        own.step(now);
        seen.evidence()
    };
    let mut sees = Evidence::default();
    // As few as a node with little traffic sends, until it leaves.
    while own.plan(0).zones[2].state != ZoneState::GivenUp || own.plan(0).open_share(2) > 0.05 {
        sees = step(&mut own, 2);
    }
    for at in 0..steps {
        sees = step(&mut own, silent(at));
    }
    own.evidence_to_report(&sees, common).zones[2]
}

#[test]
fn a_node_tells_a_zone_that_it_left_by_itself_as_lost_only_while_attempts_there_are_silent() {
    let keeps = Plan::default();
    // One attempt a second, all unanswered: too few for others to judge, but the zone is still lost.
    for steps in 0..60 {
        let told = told_after_leaving(steps, |at| u32::from(at % 4 == 3), &keeps);
        assert_eq!(told, Evidence::LOST, "after {steps} steps");
    }
    // No more attempts: the rest of earlier ones reports the zone as lost for some steps, and then nothing, though its
    // share of unanswered ones stays and some eighths of an attempt remain for long.
    assert_eq!(told_after_leaving(4, |_| 0, &keeps), Evidence::LOST);
    for steps in 12..40 {
        let told = told_after_leaving(steps, |_| 0, &keeps);
        assert!(told.0 < 4, "after {steps} steps: {told:?}");
    }
    // Where the common plan has given the zone up, the node reports what it measures.
    let zones = [100, 100, 4].map(|open| ZonePlan { state: ZoneState::Serving, open_percent: open }).to_vec();
    let given_up = Plan { zones, ..Plan::default() };
    assert_ne!(told_after_leaving(30, |at| u32::from(at % 4 == 3), &given_up), Evidence::LOST);
}
