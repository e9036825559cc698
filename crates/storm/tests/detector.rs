//! The detector under the loads of a production site: what is a storm, what is not, and that it does not flap.
#![allow(missing_docs)]

use std::time::Duration;

use mothpier_storm::{Detector, LoadState, LoadStateChange, Settings};

const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

struct Site {
    detector: Detector,
    now: Duration,
    number: u64,
    changes: Vec<LoadStateChange>,
}

/// Rates a second: first attempts of each of four tenants, their repeats, and new connections; the share of wasted
/// work, and the capacity of the cache servers.
#[derive(Clone, Copy)]
struct Load {
    first_attempts: [f64; 4],
    repeats: [f64; 4],
    connections: f64,
    wasted: f64,
    capacity: f64,
}

const USUAL: Load = Load {
    first_attempts: [80.0, 80.0, 70.0, 60.0],
    repeats: [2.0; 4],
    connections: 20.0,
    wasted: 0.01,
    capacity: 1.0,
};

impl Site {
    fn new() -> Site {
        let detector = Detector::new(Settings::default(), 4);
        Site { detector, now: Duration::ZERO, number: 0, changes: Vec::new() }
    }

    fn run(&mut self, seconds: f64, load: Load) -> LoadState {
        let mut due = [0.0; 9];
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.now < end {
            self.now += EVALUATION_INTERVAL;
            let rates = load.first_attempts.into_iter().chain(load.repeats).chain([load.connections]);
            for (i, rate) in rates.enumerate() {
                due[i] += rate * EVALUATION_INTERVAL.as_secs_f64();
                while due[i] >= 1.0 {
                    due[i] -= 1.0;
                    self.number += 1;
                    match i {
                        8 => self.detector.connection_opened(),
                        _ => drop(self.detector.request_arrived(self.now, i % 4, self.number, i >= 4)),
                    }
                }
            }
            self.detector.attempt_ended(Duration::from_millis(100), true);
            self.detector.attempt_ended(Duration::from_millis((100.0 * load.wasted) as u64), false);
            self.changes.extend(self.detector.evaluate(self.now, load.capacity));
        }
        self.detector.state()
    }
}

#[test]
fn an_outage_with_retries_is_a_storm_that_is_entered_soon_and_left_once() {
    let mut site = Site::new();
    assert_eq!(site.run(60.0, USUAL), LoadState::Normal);
    let after = Load { repeats: [100.0; 4], connections: 400.0, wasted: 0.3, capacity: 0.3, ..USUAL };
    let begin = site.now;
    assert_eq!(site.run(1.5, after), LoadState::Storm { tenant: None });
    assert_eq!(site.changes.len(), 1, "{:?}", site.changes);
    let line = site.changes[0].to_string();
    assert!(line.starts_with("load state: storm, was normal (") && line.contains("repeats"), "{line}");
    assert!(line.contains("cache capacity at 30%"), "{line}");
    // It declines slowly and unevenly, as storms do: the load state changes once.
    for i in 0..40 {
        let part = if i % 3 == 0 { 0.15 } else { 1.0 } * (1.0 - f64::from(i) / 40.0);
        let load = Load { repeats: [100.0 * part; 4], capacity: 0.3 + f64::from(i) / 60.0, ..USUAL };
        site.run(0.4, load);
    }
    assert_eq!(site.run(10.0, USUAL), LoadState::Normal);
    assert_eq!(site.changes.len(), 2, "{:?}", site.changes);
    assert!(site.now - begin > Duration::from_secs(10));
}

#[test]
fn growth_is_no_storm_and_becomes_the_baseline() {
    let mut site = Site::new();
    site.run(60.0, USUAL);
    let more = Load { first_attempts: USUAL.first_attempts.map(|f| f * 3.0), connections: 80.0, ..USUAL };
    assert_eq!(site.run(3.0, more), LoadState::Growth);
    assert_eq!(site.run(150.0, more), LoadState::Normal, "after minutes it is the baseline");
    assert_eq!(site.changes.len(), 2, "{:?}", site.changes);
}

#[test]
fn more_from_one_tenant_is_its_burst_and_its_retries_are_its_storm() {
    let mut site = Site::new();
    site.run(60.0, USUAL);
    let mut more = USUAL;
    more.first_attempts[2] = 400.0;
    assert_eq!(site.run(3.0, more), LoadState::Burst { tenant: 2 });
    (more.repeats[2], more.wasted) = (600.0, 0.2);
    assert_eq!(site.run(3.0, more), LoadState::Storm { tenant: Some(2) });
}

#[test]
fn cold_cache_servers_alone_or_a_deploy_of_clients_alone_are_no_storm() {
    let mut site = Site::new();
    site.run(60.0, USUAL);
    assert_eq!(
        site.run(10.0, Load { capacity: 0.3, ..USUAL }),
        LoadState::Normal,
        "a rolling deploy of cache servers"
    );
    assert_eq!(
        site.run(10.0, Load { connections: 500.0, ..USUAL }),
        LoadState::Normal,
        "a deploy of clients"
    );
    let both = Load { connections: 500.0, capacity: 0.3, ..USUAL };
    assert!(site.run(3.0, both).is_storm(), "all clients come back to cold cache servers");
}

#[test]
fn a_node_that_starts_in_a_storm_detects_it_without_a_baseline() {
    let mut site = Site::new();
    let state = site.run(1.5, Load { repeats: [100.0; 4], wasted: 0.3, capacity: 0.3, ..USUAL });
    assert!(state.is_storm());
}

#[test]
fn unmarked_repeats_are_recognized_by_unserved_requests() {
    let mut detector = Detector::new(Settings::default(), 1);
    let at = Duration::from_secs(9);
    assert!(!detector.request_arrived(at, 0, 77, false));
    detector.request_unserved(at, 77);
    assert!(!detector.request_arrived(at, 0, 78, false), "another request");
    assert!(detector.request_arrived(at + Duration::from_secs(1), 0, 77, false));
    assert!(
        !detector.request_arrived(at + Duration::from_secs(1), 0, 77, false),
        "one repeat for each attempt that ended"
    );
    detector.request_unserved(at, 77);
    assert!(!detector.request_arrived(at + Duration::from_secs(6), 0, 77, false), "long ago");
}

#[test]
fn reports_of_peers_count_only_while_recent_and_only_with_local_feedback() {
    let mut site = Site::new();
    site.run(60.0, USUAL);
    for peer in 0..3 {
        site.detector.peer_reported(site.now, peer, true);
    }
    assert_eq!(site.run(2.0, USUAL), LoadState::Normal, "reports of peers alone change nothing");
    for peer in 0..3 {
        site.detector.peer_reported(site.now, peer, true);
    }
    assert!(site.run(1.5, Load { repeats: [40.0; 4], ..USUAL }).is_storm(), "with repeats here");
    let mut alone = Site::new();
    alone.run(60.0, USUAL);
    assert_eq!(
        alone.run(1.5, Load { repeats: [40.0; 4], ..USUAL }),
        LoadState::Normal,
        "repeats alone are not enough"
    );
}
