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

    /// Nine nodes report for a time; `unanswered` is the share of unanswered attempts by node and zone.
    fn run(&mut self, millis: Millis, unanswered: impl Fn(u16, usize) -> f64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 100;
            let node = (self.now / 100 % 9) as u16;
            let plan = self.planner.plan(self.now);
            // A zone that is given up gets few attempts, but enough for a judgement over all nodes.
            let counts =
                (0..3).map(|z| (if plan.open_share(z) < 0.1 { 0.5 } else { 12.0 }, unanswered(node, z)));
            let evidence =
                Evidence::from_counts(counts.map(|(attempts, share)| (attempts, attempts * share)));
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

const ALL_ANSWER: fn(u16, usize) -> f64 = |_, _| 0.02;

#[test]
fn a_zone_lost_to_all_is_given_up_and_returns_in_steps() {
    let mut site = Site::new();
    site.run(5_000, ALL_ANSWER);
    assert_eq!(site.planner.plan(site.now).describe(&[]), "all zones serve");
    let begin = site.now;
    site.run(3_000, |_, zone| if zone == 2 { 1.0 } else { 0.0 });
    let first = site.plans.iter().find(|(_, p)| p.zones[2].state == ZoneState::GivenUp).unwrap();
    assert!(first.0 - begin <= 1_500, "given up after {} ms", first.0 - begin);
    assert_eq!(first.1.zones[2].open_percent, 40, "in steps");
    assert_eq!(site.zone(2), ZonePlan { state: ZoneState::GivenUp, open_percent: 4 });
    assert_eq!(site.zone(0), ZonePlan { state: ZoneState::Serving, open_percent: 100 });
    site.run(10_000, |_, zone| if zone == 2 { 1.0 } else { 0.0 });
    site.run(12_000, ALL_ANSWER);
    assert_eq!(site.zone(2), ZonePlan { state: ZoneState::Serving, open_percent: 100 });
    let open_percents: Vec<u8> = site.plans.iter().map(|(_, p)| p.zones[2].open_percent).collect();
    assert!(open_percents.ends_with(&[4, 10, 20, 40, 80, 100]), "{open_percents:?}");
    let shortest_interval = site.plans.windows(2).rev().take(4).map(|w| w[1].0 - w[0].0).min().unwrap();
    assert!(shortest_interval >= Tuning::default().step_ms, "{shortest_interval} ms between two steps");
}

#[test]
fn a_zone_lost_to_few_is_kept_and_one_lost_to_a_third_is_given_up() {
    let mut site = Site::new();
    site.run(8_000, |node, zone| if node == 1 && zone == 2 { 1.0 } else { 0.0 });
    assert_ne!(site.zone(2).state, ZoneState::GivenUp, "one of nine");
    site.run(4_000, |node, zone| if node % 3 == 1 && zone == 2 { 1.0 } else { 0.0 });
    assert_eq!(site.zone(2).state, ZoneState::GivenUp, "three of nine: a third is too many to leave waiting");
}

#[test]
fn a_failed_return_is_retried_later_each_time_and_tolerable_loss_moves_nothing() {
    let mut site = Site::new();
    // An hour of losses that are tolerable.
    site.run(3_600_000, |node, zone| if (usize::from(node) + zone) % 4 == 0 { 0.5 } else { 0.1 });
    assert_eq!(site.plans.len(), 1, "no move: {:?}", site.plans.last());
    site.run(3_000, |_, zone| if zone == 1 { 1.0 } else { 0.0 });
    let mut attempts = Vec::new();
    for _ in 0..600 {
        let returning = site.zone(1).open_percent > 10;
        site.run(100, |_, zone| if zone == 1 && returning { 1.0 } else { 0.0 });
        if site.zone(1).state == ZoneState::Returning && attempts.last().is_none_or(|t| site.now > t + 3_000)
        {
            attempts.push(site.now);
        }
    }
    let intervals: Vec<Millis> = attempts.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(intervals.len() >= 2 && intervals.windows(2).all(|w| w[1] > w[0]), "{intervals:?}");
}

#[test]
fn at_most_the_allowed_share_is_given_up_and_without_evidence_nothing_moves() {
    let mut site = Site::new();
    site.run(10_000, |_, _| 1.0);
    let given_up = (0..3).filter(|z| site.zone(*z).state == ZoneState::GivenUp).count();
    assert_eq!(given_up, 1, "half of three, rounded down");
    let mut without_evidence = Site::new();
    for _ in 0..100 {
        without_evidence.now += 100;
        without_evidence.planner.step(without_evidence.now);
    }
    assert_eq!(without_evidence.planner.plan(without_evidence.now).describe(&[]), "all zones serve");
}

#[test]
fn a_new_leader_continues_the_plan_that_it_has_acted_on() {
    let zones = vec![
        ZonePlan { state: ZoneState::Serving, open_percent: 100 },
        ZonePlan { state: ZoneState::GivenUp, open_percent: 4 },
    ];
    let plan = Plan { zones, ..Plan::default() };
    let mut planner = Planner::new(Tuning::default(), 2, &plan, 50_000);
    assert_eq!(planner.step(50_100), plan, "without evidence nothing moves");
}

#[test]
fn encodings_are_bounded_and_invalid_bytes_are_rejected() {
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
    for invalid in [&[3, 0][..], &[1, 1, 4, 5], &[1, 1, 0, 101], &[1, 17], &[1, 1, 0, 5, 0]] {
        assert!(Plan::decode(invalid).is_err(), "{invalid:?}");
        assert!(Evidence::decode(&invalid[..1]).is_err());
    }
    assert!(Tuning { max_zone_share: 2.0, ..Tuning::default() }.validate().is_err());
}

#[test]
fn a_single_node_leaves_a_lost_zone_after_a_plan_would_have_and_returns() {
    let mut planner = Planner::for_single_node(&Tuning::default(), 3, 0);
    let mut open = Vec::new();
    for now in (0..30_000).step_by(100) {
        let plan = planner.plan(now);
        // Lost from 2 s to 12 s: 10 attempts go there in normal operation, less than one as probe traffic.
        let is_lost = (2_000..12_000).contains(&now);
        let counts = (0..3).map(|z| {
            let attempts = 10.0 * plan.open_share(z).max(0.05);
            (attempts, if z == 2 && is_lost { attempts } else { 0.0 })
        });
        planner.add_evidence(now, 0, Evidence::from_counts(counts));
        open.push((now, planner.step(now).zones[2].open_percent));
    }
    let open_at = |now: Millis| open.iter().find(|(open_at, _)| *open_at == now).unwrap().1;
    assert_eq!((open_at(3_400), open_at(4_300)), (100, 5), "not before a plan could have");
    assert_eq!((open_at(11_900), open_at(13_900)), (5, 5));
    assert_eq!(open_at(20_000), 100, "back in steps once it answers");
    // Without another zone to go to it stays.
    let mut planner = Planner::for_single_node(&Tuning::default(), 3, 0);
    for now in (0..20_000).step_by(100) {
        planner.add_evidence(now, 0, Evidence::from_counts([(10.0, 10.0); 3].into_iter()));
        planner.step(now);
    }
    let keeping = planner.plan(20_000).zones.iter().filter(|z| z.open_percent == 100).count();
    assert_eq!(keeping, 1);
}

/// The evidence that a node reports of zone 2, which it has left by itself, after steps of a quarter of a second
/// in each of which this many attempts there were unanswered.
fn report_after_leaving(steps: usize, unanswered: impl Fn(usize) -> u32, common: &Plan) -> (u8, u8) {
    const STEP: Millis = 250;
    let mut planner = Planner::for_single_node(&Tuning::default(), 3, 0);
    let mut recent = RecentAttempts::new(3);
    let mut now = 0;
    let mut step = |planner: &mut Planner, unanswered_in_zone_2: u32| {
        now += STEP;
        let answered = AttemptCounts { answered: 10, ..AttemptCounts::default() };
        let open: Vec<f64> = (0..3).map(|zone| planner.plan(now).open_share(zone)).collect();
        recent.record(
            &[
                answered,
                answered,
                AttemptCounts { unanswered: unanswered_in_zone_2, ..AttemptCounts::default() },
            ],
            &open,
        );
        planner.add_evidence(now, 0, recent.evidence());
        planner.step(now);
        recent.evidence()
    };
    let mut counts = Evidence::default();
    // As few as a node with little traffic sends, until it leaves.
    while planner.plan(0).zones[2].state != ZoneState::GivenUp || planner.plan(0).open_share(2) > 0.05 {
        counts = step(&mut planner, 2);
    }
    for at in 0..steps {
        counts = step(&mut planner, unanswered(at));
    }
    planner.evidence_to_report(&counts, common).zones[2]
}

#[test]
fn a_node_reports_a_zone_that_it_left_as_lost_only_while_attempts_are_unanswered() {
    let all_serving = Plan::default();
    // One attempt a second, all unanswered: too few for others to judge, but the zone is still lost.
    for steps in 0..60 {
        let report = report_after_leaving(steps, |at| u32::from(at % 4 == 3), &all_serving);
        assert_eq!(report, Evidence::LOST, "after {steps} steps");
    }
    // No more attempts: the rest of earlier ones reports the zone as lost for some steps, and then nothing, though its
    // share of unanswered ones stays and some eighths of an attempt remain for long.
    assert_eq!(report_after_leaving(4, |_| 0, &all_serving), Evidence::LOST);
    for steps in 12..40 {
        let report = report_after_leaving(steps, |_| 0, &all_serving);
        assert!(report.0 < 4, "after {steps} steps: {report:?}");
    }
    // Where the common plan has given the zone up, the node reports what it measures.
    let zones = [100, 100, 4].map(|open| ZonePlan { state: ZoneState::Serving, open_percent: open }).to_vec();
    let given_up = Plan { zones, ..Plan::default() };
    assert_ne!(report_after_leaving(30, |at| u32::from(at % 4 == 3), &given_up), Evidence::LOST);
}
