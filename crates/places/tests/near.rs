//! How much traffic stays local: zones that do not answer, that are overloaded, that return cold, and no oscillation.
#![allow(missing_docs)]

use std::time::Duration;

use mothpier_places::{LocalitySteering, Places, Region, RingState, RoutingScope, Tally, Tuning};

fn two_regions() -> Places {
    let region = |name: &str, zones: &[&str]| Region {
        name: name.into(),
        zones: zones.iter().map(|z| (*z).to_owned()).collect(),
    };
    Places {
        on: true,
        regions: vec![region("north", &["east", "west"]), region("low", &["south"])],
        ..Places::default()
    }
}

fn zones() -> Vec<String> {
    ["east", "west", "south", "alone"].map(String::from).to_vec()
}

#[test]
fn rings_follow_the_scope_and_invalid_settings_are_rejected_with_their_key() {
    let mut places = two_regions();
    assert_eq!(places.rings(&zones(), Some(0)).unwrap(), [0, 0, 2, 2]);
    assert_eq!(
        places.rings(&zones(), Some(3)).unwrap(),
        [2, 2, 2, 0],
        "a zone in no region is a region by itself"
    );
    places.scope = RoutingScope::Zone;
    assert_eq!(places.rings(&zones(), Some(1)).unwrap(), [1, 0, 2, 2]);
    places.scope = RoutingScope::All;
    assert_eq!(places.rings(&zones(), Some(1)).unwrap(), [0, 0, 0, 0]);
    let error_of = |places: &Places| places.validate().unwrap_err().to_string();
    assert!(places.validate().is_ok());
    places.regions[1].zones.push("east".into());
    assert_eq!(error_of(&places), "region: zone \"east\" is named twice");
    places.regions[1] = Region { name: "north".into(), zones: vec!["south".into()] };
    assert_eq!(error_of(&places), "region: two regions are called \"north\"");
    places.regions[1] = Region { name: "low".into(), zones: vec!["nowhere".into()] };
    let error = places.rings(&zones(), Some(0)).unwrap_err().to_string();
    assert_eq!(error, "region: there is no zone \"nowhere\"; the settings have east, west, south, alone");
    assert!(two_regions().rings(&zones(), None).unwrap_err().to_string().starts_with("on: "));
    places.tuning.probe_share = f64::NAN;
    assert_eq!(error_of(&places), "figures.scouts: NaN is not between 0.001 and 0.2");
}

/// A node in zone 0 of two, the other one far, with this many attempts a step.
struct Site {
    steering: LocalitySteering,
    now: Duration,
    rate: f64,
    sent: [f64; 2],
}

impl Site {
    fn new(seed: u64) -> Site {
        let steering = LocalitySteering::new(Tuning::default(), vec![0, 2], seed);
        Site { steering, now: Duration::from_secs(1000), rate: 8.0, sent: [0.0; 2] }
    }

    /// One step; `outcome` gives for each zone and its attempts the share that is unanswered and the share that is
    /// refused.
    fn step(&mut self, outcome: impl Fn(usize, f64) -> (f64, f64)) -> f64 {
        let spillover = self.steering.state().1;
        let mut tallies = [Tally::default(); 2];
        for (zone, part) in [1.0 - spillover, spillover].into_iter().enumerate() {
            // Fractions of attempts add up to whole ones over several steps.
            self.sent[zone] += self.rate * part;
            let all = self.sent[zone].floor();
            self.sent[zone] -= all;
            let (unanswered, refused) = outcome(zone, all);
            let unanswered = (all * unanswered).round();
            let tally = &mut tallies[zone];
            (tally.unanswered, tally.answered) = (unanswered as u32, (all - unanswered) as u32);
            tally.refused = ((all - unanswered) * refused).round() as u32;
        }
        self.now = self.steering.next_due().max(self.now + Duration::from_millis(1));
        self.steering.step(self.now, &tallies);
        self.steering.state().1
    }

    fn run(&mut self, seconds: f64, outcome: impl Fn(usize, f64) -> (f64, f64)) -> Vec<f64> {
        let end = self.now + Duration::from_secs_f64(seconds);
        let mut spillover = Vec::new();
        while self.now < end {
            spillover.push(self.step(&outcome));
        }
        spillover
    }
}

const ALL_HEALTHY: fn(usize, f64) -> (f64, f64) = |_, _| (0.0, 0.0);
const NEAR_LOST: fn(usize, f64) -> (f64, f64) = |zone, _| (if zone == 0 { 1.0 } else { 0.0 }, 0.0);

#[test]
fn an_unanswering_ring_is_left_within_two_seconds_and_returns_in_steps() {
    let mut site = Site::new(1);
    assert!(site.run(10.0, ALL_HEALTHY).iter().all(|s| *s == 0.0));
    let begin = site.now;
    while site.steering.state().1 < 0.97 {
        site.step(NEAR_LOST);
        assert!(site.now - begin < Duration::from_secs(2), "{:?}", site.steering.state());
    }
    let pool = site.steering.routing();
    assert!(
        pool.cumulative_key_shares[0] < 0.03 && pool.cumulative_key_shares[1] < 0.03,
        "no zone lies in the next ring: {pool:?}"
    );
    let spillover = site.run(20.0, NEAR_LOST);
    assert!(
        spillover.iter().all(|s| *s > 0.97 && *s < 1.0),
        "probe traffic goes on, without oscillation: {spillover:?}"
    );
    let back = site.run(30.0, ALL_HEALTHY);
    assert_eq!(*back.last().unwrap(), 0.0, "{back:?}");
    let largest = back.windows(2).map(|w| w[0] - w[1]).fold(0.0, f64::max);
    assert!(largest <= Tuning::default().return_step + 1e-9, "{largest}");
}

#[test]
fn a_ring_with_half_the_capacity_is_relieved_without_oscillation() {
    let mut site = Site::new(2);
    site.rate = 40.0;
    // The near zone refuses what exceeds half of the total.
    let half_capacity =
        |zone: usize, all: f64| (0.0, if zone == 0 && all > 20.0 { (all - 20.0) / all } else { 0.0 });
    let spillover = site.run(120.0, half_capacity);
    let late = &spillover[spillover.len() / 2..];
    let (least, most) = late.iter().fold((1.0f64, 0.0f64), |(a, b), s| (a.min(*s), b.max(*s)));
    assert!(least > 0.2 && most < 0.7, "between {least} and {most}");
    let turns = late.windows(3).filter(|w| (w[1] - w[0]) * (w[2] - w[1]) < 0.0).count();
    assert!(turns <= 12, "{turns} turns in a minute: {late:?}");
}

#[test]
fn nothing_spills_over_to_a_ring_without_capacity() {
    let mut site = Site::new(3);
    let spillover = site.run(20.0, |_, _| (0.0, 0.5));
    assert!(spillover.iter().all(|s| *s <= 0.1 + 1e-9), "{spillover:?}");
    let mut single_zone = LocalitySteering::new(Tuning::default(), vec![0], 3);
    let lost = [Tally { unanswered: 30, ..Tally::default() }];
    for step in 1..100 {
        assert_eq!(
            single_zone.step(Duration::from_millis(250 * step), &lost),
            None,
            "there is no other ring"
        );
    }
}

#[test]
fn a_failed_return_is_retried_later_each_time() {
    let mut site = Site::new(4);
    site.run(5.0, ALL_HEALTHY);
    site.run(3.0, NEAR_LOST);
    // It answers probe traffic, and stops answering when more arrives.
    let fails_under_load = |zone: usize, all: f64| (if zone == 0 && all > 1.0 { 1.0 } else { 0.0 }, 0.0);
    let (mut attempts, mut before) = (Vec::new(), 1.0);
    let begin = site.now;
    while site.now - begin < Duration::from_secs(120) {
        let spillover = site.step(fails_under_load);
        if spillover < before && before > 0.97 {
            attempts.push((site.now - begin).as_secs_f64());
        }
        before = spillover;
    }
    assert!(attempts.len() >= 2 && attempts.len() <= 8, "{attempts:?}");
    let intervals: Vec<f64> = attempts.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(intervals.last().unwrap() > &(intervals[0] * 1.5), "{attempts:?}");
}

#[test]
fn late_answers_show_a_slow_ring_and_not_a_lost_one() {
    let mut steering = LocalitySteering::new(Tuning::default(), vec![0, 2], 5);
    for step in 1..20 {
        let tallies = [
            Tally { unanswered: 10, answered_late: 10, ..Tally::default() },
            Tally { answered: 2, ..Tally::default() },
        ];
        steering.step(Duration::from_millis(250 * step), &tallies);
        assert_ne!(steering.state().0, RingState::Lost);
    }
    assert_eq!(steering.state().0, RingState::Overloaded);
}

#[test]
fn nodes_with_different_seeds_step_at_different_times() {
    let due = |seed| {
        let mut steering = LocalitySteering::new(Tuning::default(), vec![0, 2], seed);
        steering.step(Duration::from_secs(1), &[]);
        steering.next_due()
    };
    assert!((1..50).map(due).collect::<std::collections::BTreeSet<_>>().len() > 40);
    assert_eq!(due(7), due(7));
}
