//! How much traffic stays local: zones that do not answer, that are overloaded, that return cold, and no oscillation.
#![allow(missing_docs)]

use std::time::Duration;

use mothpier_places::{LocalitySteering, Places, Region, RingState, RoutingScope, Tally, Tuning};

fn places() -> Places {
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
fn rings_follow_the_pool_and_nonsense_is_refused_with_its_key() {
    let mut p = places();
    assert_eq!(p.rings(&zones(), Some(0)).unwrap(), [0, 0, 2, 2]);
    assert_eq!(p.rings(&zones(), Some(3)).unwrap(), [2, 2, 2, 0], "a zone that no region names is alone");
    p.scope = RoutingScope::Zone;
    assert_eq!(p.rings(&zones(), Some(1)).unwrap(), [1, 0, 2, 2]);
    p.scope = RoutingScope::All;
    assert_eq!(p.rings(&zones(), Some(1)).unwrap(), [0, 0, 0, 0]);
    let bad = |p: &Places| p.validate().unwrap_err().to_string();
    assert!(p.validate().is_ok());
    p.regions[1].zones.push("east".into());
    assert_eq!(bad(&p), "region: zone \"east\" is named twice");
    p.regions[1] = Region { name: "north".into(), zones: vec!["south".into()] };
    assert_eq!(bad(&p), "region: two regions are called \"north\"");
    p.regions[1] = Region { name: "low".into(), zones: vec!["nowhere".into()] };
    let told = p.rings(&zones(), Some(0)).unwrap_err().to_string();
    assert_eq!(told, "region: there is no zone \"nowhere\"; the settings have east, west, south, alone");
    assert!(places().rings(&zones(), None).unwrap_err().to_string().starts_with("on: "));
    p.tuning.probe_share = f64::NAN;
    assert_eq!(bad(&p), "figures.scouts: NaN is not between 0.001 and 0.2");
}

/// A node in zone 0 of two, the other one far, with this many attempts a step.
struct Site {
    near: LocalitySteering,
    now: Duration,
    rate: f64,
    sent: [f64; 2],
}

impl Site {
    fn new(seed: u64) -> Site {
        let near = LocalitySteering::new(Tuning::default(), vec![0, 2], seed);
        Site { near, now: Duration::from_secs(1000), rate: 8.0, sent: [0.0; 2] }
    }

    /// One step; `how` gives for each zone and its attempts the share that is unanswered and the share that is refused.
    fn step(&mut self, how: impl Fn(usize, f64) -> (f64, f64)) -> f64 {
        let spilt = self.near.state().1;
        let mut tallies = [Tally::default(); 2];
        for (zone, part) in [1.0 - spilt, spilt].into_iter().enumerate() {
            // Fractions of attempts add up to whole ones over several steps.
            self.sent[zone] += self.rate * part;
            let all = self.sent[zone].floor();
            self.sent[zone] -= all;
            let (silent, refused) = how(zone, all);
            let silent = (all * silent).round();
            let t = &mut tallies[zone];
            (t.unanswered, t.answered) = (silent as u32, (all - silent) as u32);
            t.refused = ((all - silent) * refused).round() as u32;
        }
        self.now = self.near.next_due().max(self.now + Duration::from_millis(1));
        self.near.step(self.now, &tallies);
        self.near.state().1
    }

    fn run(&mut self, seconds: f64, how: impl Fn(usize, f64) -> (f64, f64)) -> Vec<f64> {
        let end = self.now + Duration::from_secs_f64(seconds);
        let mut spilt = Vec::new();
        while self.now < end {
            spilt.push(self.step(&how));
        }
        spilt
    }
}

const WELL: fn(usize, f64) -> (f64, f64) = |_, _| (0.0, 0.0);
const LOST: fn(usize, f64) -> (f64, f64) = |zone, _| (if zone == 0 { 1.0 } else { 0.0 }, 0.0);

#[test]
fn a_silent_ring_is_left_within_two_seconds_but_for_scouts_and_taken_back_in_steps() {
    let mut site = Site::new(1);
    assert!(site.run(10.0, WELL).iter().all(|s| *s == 0.0));
    let begin = site.now;
    while site.near.state().1 < 0.97 {
        site.step(LOST);
        assert!(site.now - begin < Duration::from_secs(2), "{:?}", site.near.state());
    }
    let pool = site.near.routing();
    assert!(
        pool.cumulative_key_shares[0] < 0.03 && pool.cumulative_key_shares[1] < 0.03,
        "no zone is next: {pool:?}"
    );
    let spilt = site.run(20.0, LOST);
    assert!(spilt.iter().all(|s| *s > 0.97 && *s < 1.0), "scouts go on, and nothing swings: {spilt:?}");
    let back = site.run(30.0, WELL);
    assert_eq!(*back.last().unwrap(), 0.0, "{back:?}");
    let largest = back.windows(2).map(|w| w[0] - w[1]).fold(0.0, f64::max);
    assert!(largest <= Tuning::default().return_step + 1e-9, "{largest}");
}

#[test]
fn a_ring_that_bears_only_half_is_relieved_of_the_rest_without_swinging() {
    let mut site = Site::new(2);
    site.rate = 40.0;
    // The near zone refuses what exceeds half of the total.
    let half = |zone: usize, all: f64| (0.0, if zone == 0 && all > 20.0 { (all - 20.0) / all } else { 0.0 });
    let spilt = site.run(120.0, half);
    let late = &spilt[spilt.len() / 2..];
    let (least, most) = late.iter().fold((1.0f64, 0.0f64), |(a, b), s| (a.min(*s), b.max(*s)));
    assert!(least > 0.2 && most < 0.7, "between {least} and {most}");
    let turns = late.windows(3).filter(|w| (w[1] - w[0]) * (w[2] - w[1]) < 0.0).count();
    assert!(turns <= 12, "{turns} turns in a minute: {late:?}");
}

#[test]
fn where_there_is_no_room_beyond_nothing_is_spilt_there() {
    let mut site = Site::new(3);
    let spilt = site.run(20.0, |_, _| (0.0, 0.5));
    assert!(spilt.iter().all(|s| *s <= 0.1 + 1e-9), "{spilt:?}");
    let mut alone = LocalitySteering::new(Tuning::default(), vec![0], 3);
    let lost = [Tally { unanswered: 30, ..Tally::default() }];
    for step in 1..100 {
        assert_eq!(
            alone.step(Duration::from_millis(250 * step), &lost),
            None,
            "there is no other place at all"
        );
    }
}

#[test]
fn a_return_that_fails_is_tried_again_later_each_time() {
    let mut site = Site::new(4);
    site.run(5.0, WELL);
    site.run(3.0, LOST);
    // It answers probe traffic, and stops answering when more arrives.
    let weak = |zone: usize, all: f64| (if zone == 0 && all > 1.0 { 1.0 } else { 0.0 }, 0.0);
    let (mut tries, mut before) = (Vec::new(), 1.0);
    let begin = site.now;
    while site.now - begin < Duration::from_secs(120) {
        let spilt = site.step(weak);
        if spilt < before && before > 0.97 {
            tries.push((site.now - begin).as_secs_f64());
        }
        before = spilt;
    }
    assert!(tries.len() >= 2 && tries.len() <= 8, "{tries:?}");
    let apart: Vec<f64> = tries.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(apart.last().unwrap() > &(apart[0] * 1.5), "{tries:?}");
}

#[test]
fn what_comes_late_is_slow_and_not_silent() {
    let mut near = LocalitySteering::new(Tuning::default(), vec![0, 2], 5);
    for step in 1..20 {
        let tallies = [
            Tally { unanswered: 10, answered_late: 10, ..Tally::default() },
            Tally { answered: 2, ..Tally::default() },
        ];
        near.step(Duration::from_millis(250 * step), &tallies);
        assert_ne!(near.state().0, RingState::Lost);
    }
    assert_eq!(near.state().0, RingState::Overloaded);
}

#[test]
fn nodes_of_other_seeds_are_out_of_step() {
    let due = |seed| {
        let mut near = LocalitySteering::new(Tuning::default(), vec![0, 2], seed);
        near.step(Duration::from_secs(1), &[]);
        near.next_due()
    };
    assert!((1..50).map(due).collect::<std::collections::BTreeSet<_>>().len() > 40);
    assert_eq!(due(7), due(7));
}
