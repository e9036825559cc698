//! Nodes that record, in worlds where things go wrong: the same decisions from the record, and what a restart takes over.

mod common;

use chalksill_world::faults::{Fault, What};
use chalksill_world::scenario::Scenario;
use chalksill_world::sim::{RunPlan, run, run_recorded};
use chalksill_world::tape::{RecordedSegment, RecordingOptions};
use common::{kept, scenario};
use mothpier_record::entry::Body;
use mothpier_record::replay::replay;
use mothpier_record::{Segment, Tuning};

fn shortened(name: &str, seconds: f64) -> Scenario {
    Scenario { seconds, ..scenario(name) }
}

/// What a replay of a tape came to; it is identical and whole.
fn played(tape: &RecordedSegment) -> u64 {
    let (outcome, _) = replay(&mut Segment::open(&tape.bytes).expect("a header")).expect("a record");
    assert_eq!(
        (outcome.first_difference, outcome.read_error),
        (None, None),
        "node {}, segment {}",
        tape.node,
        tape.number
    );
    outcome.events
}

#[test]
fn faults_that_overlap_are_recorded_and_played_again_identically() {
    for seed in 0..12 {
        let plan = RunPlan { scenario: shortened("small", 4.0), seed, script: None, mutant: None };
        let figures = Tuning { segment_mib: 0.05, most_mib: 1.0, ..Tuning::default() };
        let (report, tapes) = run_recorded(&plan, None, RecordingOptions { tuning: figures, recover: true });
        kept(&report);
        let events: u64 = tapes.iter().map(played).sum();
        assert!(events > 300, "seed {seed}: {events} events");
    }
}

#[test]
fn a_world_goes_its_way_whether_or_not_it_is_recorded() {
    let plan = RunPlan { scenario: shortened("small", 3.0), seed: 5, script: Some(Vec::new()), mutant: None };
    let (recorded, _) = run_recorded(&plan, None, RecordingOptions::default());
    assert_eq!(recorded.digest, run(&plan, None).digest);
}

/// All nodes are killed and back while their calls still run at an origin that takes a second or two.
#[test]
fn over_a_restart_old_and_new_calls_together_stay_under_the_cap_with_a_record() {
    let mut over = [0, 0];
    for seed in 0..SEEDS {
        let mut scenario = shortened("restarts", 6.0);
        scenario.nodes.count = 2;
        let kill = |at_ms, node| Fault { at_ms, what: What::Node { node, planned: false, down_ms: 100 } };
        let script = (0..2).flat_map(|n| [kill(2500, n), kill(3500, n), kill(4500, n)]).collect();
        let plan = RunPlan { scenario, seed, script: Some(script), mutant: None };
        for (recover, over) in [false, true].into_iter().zip(&mut over) {
            let (report, tapes) =
                run_recorded(&plan, None, RecordingOptions { recover, ..RecordingOptions::default() });
            kept(&report);
            let taken_over = tapes.iter().filter(|tape| {
                Segment::open(&tape.bytes)
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
