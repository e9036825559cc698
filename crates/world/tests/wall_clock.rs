//! Stepped wall clocks: neither time budgets nor replies may depend on two clocks that differ.
#![allow(missing_docs)]

#[path = "common/mod.rs"]
mod common;

use chalksill_world::faults::{UpgradeEnd, What};
use chalksill_world::report::Report;
use chalksill_world::scenario::Scenario;
use chalksill_world::wall_clock::{STEPS_MS, WallClockStep};
use common::{assert_rules_kept, play, play_seed, scenario};

/// Whose clocks are stepped: those of these nodes, and of discovery or not.
const STEPPED: [(&[usize], bool); 4] = [(&[0], false), (&[0, 1], false), (&[], true), (&[0, 1], true)];

/// When the clocks are stepped, in milliseconds; a kill makes nodes start before or after the step.
const STEP_AT: u64 = 500;
const KILLED_BEFORE: u64 = 50;
const KILLED_AFTER: u64 = 600;
/// When a cache server crashes that comes back cold.
const CRASH_AT: u64 = 2500;

/// Cache servers that collapse easily while cold, under high load; all nodes are notified at once.
fn loaded_scenario() -> Scenario {
    let mut scenario = scenario("small");
    scenario.seconds = 8.0;
    (scenario.load.rate, scenario.load.keys, scenario.boxes.keys) = (520.0, 400, 600);
    (scenario.boxes.miss_work, scenario.origin.slots) = (1.0, 60);
    (scenario.rules.fall_multiple, scenario.rules.fall_ms, scenario.rules.warm_ms) = (1.0, 1500, 30_000);
    scenario.discovery.lag_ms = [0, 20];
    scenario
}

fn step(nodes: &[usize], discovery: bool, by_ms: i64) -> What {
    What::WallClockStep(WallClockStep { nodes: nodes.to_vec(), discovery, by_ms })
}

/// Both nodes start at a time, the clocks are stepped, and a cache server comes back cold.
fn play_step(seed: u64, starts_at: u64, (nodes, discovery): (&[usize], bool), by_ms: i64) -> Report {
    let starts = What::NodesKilled { nodes: vec![0, 1], down_ms: 50 };
    let crash = What::Crash { boxes: vec![1], down_ms: 1000 };
    let script = [(starts_at, starts), (STEP_AT, step(nodes, discovery, by_ms)), (CRASH_AT, crash)];
    play(&loaded_scenario(), seed, &script)
}

/// Every rule holds, and the run serves as many requests as with clocks that agree.
fn assert_steps_have_no_effect(starts_at: u64) {
    // Some of these seeds broke the slow-start rule, by a step of nodes and by one of discovery.
    for seed in [1, 2, 8] {
        let agreeing = play_step(seed, starts_at, (&[], false), 0);
        assert_rules_kept(&agreeing);
        for by_ms in STEPS_MS {
            for whose in STEPPED {
                let report = play_step(seed, starts_at, whose, by_ms);
                assert_rules_kept(&report);
                let (all, without) = (report.all, agreeing.all);
                assert!(
                    (all.in_time_share() - without.in_time_share()).abs() < 0.02,
                    "seed {seed}, {whose:?} by {by_ms} ms: {all:?}, without {without:?}"
                );
            }
        }
    }
}

#[test]
fn a_step_before_nodes_start_breaks_no_rule() {
    assert_steps_have_no_effect(KILLED_AFTER);
}

#[test]
fn a_step_while_nodes_run_breaks_no_rule() {
    assert_steps_have_no_effect(KILLED_BEFORE);
}

/// Nodes start beside a cache server that has just come back cold: only the list tells its age.
#[test]
fn nodes_started_after_a_cold_server_keep_its_slow_start() {
    for seed in 0..2 {
        for by_ms in STEPS_MS {
            let crash = What::Crash { boxes: vec![1], down_ms: 500 };
            let starts = What::NodesKilled { nodes: vec![0, 1], down_ms: 50 };
            let script = [(0, step(&[0, 1], false, by_ms)), (1_000, crash), (2_000, starts)];
            assert_rules_kept(&play(&loaded_scenario(), seed, &script));
        }
    }
}

/// The new process of a node continues by the clock of its predecessor, whatever the wall clock says then.
#[test]
fn a_step_between_two_processes_of_a_node_breaks_no_rule() {
    let mut scenario = loaded_scenario();
    // Enough that neither process leaves connections unaccepted for lack of descriptors.
    scenario.nodes.sockets = 384;
    for ends in [UpgradeEnd::InOrder, UpgradeEnd::OldKilled] {
        for by_ms in STEPS_MS {
            let crash = What::Crash { boxes: vec![1], down_ms: 500 };
            let upgrade = |node| What::Upgrade { node, ends };
            let script = [
                (1_000, crash),
                (2_000, step(&[0, 1], false, by_ms)),
                (2_100, upgrade(0)),
                (2_200, upgrade(1)),
            ];
            assert_rules_kept(&play(&scenario, 1, &script));
        }
    }
}

/// Random steps of a node, of all nodes or of discovery, with all other faults.
#[test]
fn seeds_with_stepped_clocks_keep_the_rules() {
    let mut scenario = scenario("wall-clock");
    scenario.seconds = 10.0;
    for seed in 0..12 {
        assert_rules_kept(&play_seed(&scenario, seed, None));
    }
}
