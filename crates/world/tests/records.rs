//! Nodes that record under faults: replays make the same decisions, and a restart recovers state.

mod common;

use chalksill_world::faults::{Fault, What};
use chalksill_world::scenario::Scenario;
use chalksill_world::sim::{RunPlan, run, run_recorded};
use chalksill_world::tape::{RecordedSegment, RecordingOptions};
use common::{assert_rules_kept, scenario};
use mothpier_record::entry::Body;
use mothpier_record::replay::replay;
use mothpier_record::{Segment, Tuning};

fn short_scenario(name: &str, seconds: f64) -> Scenario {
    Scenario { seconds, ..scenario(name) }
}

/// Replays a segment, which must be complete and give identical decisions; returns the number of events.
fn replay_segment(segment: &RecordedSegment) -> u64 {
    let (outcome, _) = replay(&mut Segment::open(&segment.bytes).expect("a header")).expect("a record");
    assert_eq!(
        (outcome.first_difference, outcome.read_error),
        (None, None),
        "node {}, segment {}",
        segment.node,
        segment.number
    );
    outcome.events
}

#[test]
fn records_of_overlapping_faults_replay_identically() {
    for seed in 0..12 {
        let plan = RunPlan { scenario: short_scenario("small", 4.0), seed, script: None, mutant: None };
        let tuning = Tuning { segment_mib: 0.05, most_mib: 1.0, ..Tuning::default() };
        let (report, segments) = run_recorded(&plan, None, RecordingOptions { tuning, recover: true });
        assert_rules_kept(&report);
        let events: u64 = segments.iter().map(replay_segment).sum();
        assert!(events > 300, "seed {seed}: {events} events");
    }
}

#[test]
fn recording_does_not_change_the_digest() {
    let plan =
        RunPlan { scenario: short_scenario("small", 3.0), seed: 5, script: Some(Vec::new()), mutant: None };
    let (recorded, _) = run_recorded(&plan, None, RecordingOptions::default());
    assert_eq!(recorded.digest, run(&plan, None).digest);
}

/// All nodes are killed and restarted while their calls still run at an origin that takes a second or two.
#[test]
fn recovered_node_counts_calls_from_before_its_restart() {
    let mut over = [0, 0];
    for seed in 0..SEEDS {
        let mut scenario = short_scenario("restarts", 6.0);
        scenario.nodes.count = 2;
        let kill = |at_ms, node| Fault { at_ms, what: What::Node { node, planned: false, down_ms: 100 } };
        let script = (0..2).flat_map(|n| [kill(2500, n), kill(3500, n), kill(4500, n)]).collect();
        let plan = RunPlan { scenario, seed, script: Some(script), mutant: None };
        for (recover, over) in [false, true].into_iter().zip(&mut over) {
            let (report, segments) =
                run_recorded(&plan, None, RecordingOptions { recover, ..RecordingOptions::default() });
            assert_rules_kept(&report);
            let taken_over = segments.iter().filter(|segment| {
                Segment::open(&segment.bytes)
                    .expect("a header")
                    .any(|e| matches!(e.body, Body::Event { event: brassrouter::Event::Inherited(_), .. }))
            });
            assert_eq!(taken_over.count(), if recover { 6 } else { 0 }, "seed {seed}");
            *over += report.origin_over;
        }
    }
    assert!(over[0] > 0, "without a record nothing goes over: the test shows nothing");
    assert_eq!(over[1], 0, "{over:?}");
}

const SEEDS: u64 = 4;
