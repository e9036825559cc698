//! Faults that last long, or come after a long time: outages of discovery, an hour without a request.
#![allow(missing_docs)]

#[path = "common/mod.rs"]
mod common;

use std::ops::Range;

use chalksill_world::faults::{Fault, What};
use chalksill_world::mutant::Mutant;
use chalksill_world::report::Report;
use chalksill_world::rules::Rule;
use chalksill_world::scenario::{Scenario, Tenant};
use chalksill_world::sim::{RunPlan, run};
use common::{assert_rules_kept, play, scenario};

/// Cache servers at the start; the origin has the next index, the first successor of a deployment the one
/// after.
const SERVERS: usize = 6;
const FIRST_SUCCESSOR: usize = SERVERS + 1;
/// When discovery fails, in milliseconds.
const FAILS_AT: u64 = 3_000;
/// Every change counts as known this many seconds after discovery's return.
const TOLD_S: usize = 6;
/// How long a run continues after the return, so that a change that no node knows of breaks a rule.
const AFTER_MS: u64 = 16_000;
/// Time from the start of the run to the first request, in milliseconds.
const WARM_UP_MS: u64 = 1_200;

/// Two nodes and six cache servers; nodes watch the list from their start, or ask for it.
fn small_scenario(pushed: bool, seconds: f64) -> Scenario {
    let mut scenario = scenario("small");
    (scenario.seconds, scenario.boxes.count) = (seconds, SERVERS);
    (scenario.discovery.pushed, scenario.discovery.lag_ms) = (pushed, [0, 20]);
    scenario
}

/// Cache servers are replaced, drain and crash, and nodes restart, in the middle of an outage and right at
/// its end.
fn server_and_node_changes(from: u64, for_ms: u64) -> Vec<(u64, What)> {
    let (middle, end) = (from + for_ms / 2, from + for_ms);
    let stays = for_ms + AFTER_MS;
    vec![
        // The successor starts, and the server that drains until the end of the run starts draining, while no
        // node can learn of it.
        (from + 500, What::Deploy { batch: 1, most: 1, drain_ms: 1_500 }),
        (from + 1_000, What::Deploy { batch: 1, most: 1, drain_ms: stays }),
        (middle, What::Crash { boxes: vec![3], down_ms: 1_500 }),
        (middle, What::Node { node: 0, planned: true, down_ms: 500 }),
        (middle + 200, What::Deploy { batch: 1, most: 1, drain_ms: stays }),
        (end - 300, What::Crash { boxes: vec![4], down_ms: 500 }),
        (end - 100, What::Node { node: 1, planned: false, down_ms: 300 }),
    ]
}

/// Plays the changes during a fault of discovery.
fn play_changes_during(pushed: bool, seed: u64, for_ms: u64, fault: What) -> Report {
    let scenario = small_scenario(pushed, (FAILS_AT + for_ms + AFTER_MS) as f64 / 1e3);
    let mut script = vec![(FAILS_AT, fault)];
    script.extend(server_and_node_changes(FAILS_AT, for_ms));
    play(&scenario, seed, &script)
}

/// The seconds of the report within which every change must become known.
fn must_know_within(for_ms: u64) -> Range<usize> {
    let returned = ((WARM_UP_MS + FAILS_AT + for_ms) / 1000) as usize;
    returned..returned + TOLD_S + 1
}

/// The rules hold, so drains are known in time; so is the successor, and requests are served all the time.
fn assert_known_in_time_and_served(report: &Report, for_ms: u64) {
    assert_rules_kept(report);
    let deadline = must_know_within(for_ms);
    let successor_used =
        report.seconds[deadline.clone()].iter().any(|s| s.boxes.contains_key(&FIRST_SUCCESSOR));
    assert!(successor_used, "seed {}, {for_ms} ms: the successor is not known {TOLD_S} s later", report.seed);
    assert!(report.all.in_time_share() > 0.9, "seed {}, {for_ms} ms: {:?}", report.seed, report.all);
    let after = &report.seconds[deadline.end..deadline.end + 5];
    let (served, offered) = after
        .iter()
        .fold((0, 0), |(served, offered), s| (served + s.counts.in_time, offered + s.counts.offered));
    assert!(served * 100 > offered * 95, "seed {}, {for_ms} ms: {served} of {offered} after", report.seed);
}

/// Discovery fails for 10, 30 or 60 s while cache servers are replaced, drain and crash; one node restarts in
/// the middle of it, the other is killed right at its end. Lists are pushed, or asked for.
#[test]
fn changes_in_a_long_discovery_outage_are_known_soon_after_it() {
    for pushed in [false, true] {
        for for_ms in [10_000, 30_000, 60_000] {
            for seed in 0..3 {
                let report = play_changes_during(pushed, seed, for_ms, What::ListDown { for_ms });
                assert_known_in_time_and_served(&report, for_ms);
            }
        }
    }
}

/// A server drains in an outage, and nodes do not ask discovery any more: the rule detects it.
#[test]
fn node_without_updates_after_an_outage_breaks_the_drain_rule() {
    let for_ms = 10_000;
    for pushed in [false, true] {
        let script = [
            (FAILS_AT, What::ListDown { for_ms }),
            (FAILS_AT + 1_000, What::Deploy { batch: 1, most: 1, drain_ms: for_ms + AFTER_MS }),
        ];
        let scenario = small_scenario(pushed, (FAILS_AT + for_ms + AFTER_MS) as f64 / 1e3);
        let script = script.into_iter().map(|(at_ms, what)| Fault { at_ms, what }).collect();
        let mutant = Some(Mutant::AsksNoMore);
        let report = run(&RunPlan { scenario, seed: 1, script: Some(script), mutant }, None);
        let drains = report.violations.iter().any(|v| v.rule == Rule::Drains);
        assert!(drains, "pushed {pushed}: {:?}", report.violations);
    }
}

/// Discovery's responses are seconds late and out of order, or show an old list, for a long time.
#[test]
fn changes_while_discovery_is_slow_or_old_are_known_soon_after() {
    let for_ms = 30_000;
    for pushed in [false, true] {
        for fault in [What::ListLate { late_ms: 3_000, for_ms }, What::ListOld { back: 3, for_ms }] {
            for seed in 0..3 {
                let report = play_changes_during(pushed, seed, for_ms, fault.clone());
                assert_known_in_time_and_served(&report, for_ms);
            }
        }
    }
}

/// Forty nodes share a discovery that takes 40 ms for each call, one after another: when it comes back all of
/// them call at once.
#[test]
fn changes_are_known_soon_after_an_overloaded_discovery_returns() {
    let for_ms = 10_000;
    for pushed in [false, true] {
        let mut scenario = small_scenario(pushed, (FAILS_AT + for_ms + AFTER_MS) as f64 / 1e3);
        (scenario.nodes.count, scenario.discovery.call_ms) = (40, 40.0);
        let mut script = vec![(FAILS_AT, What::ListDown { for_ms })];
        script.extend(server_and_node_changes(FAILS_AT, for_ms));
        assert_known_in_time_and_served(&play(&scenario, 2, &script), for_ms);
    }
}

/// Discovery moves, by six configurations in a row of which only the last names an address that answers,
/// while cache servers change.
#[test]
fn last_of_several_quick_configurations_applies() {
    for pushed in [false, true] {
        for apart_ms in [0, 5, 300] {
            let moves = What::DiscoveryMoves { configurations: 6, apart_ms };
            let for_ms = 6 * apart_ms;
            let scenario = small_scenario(pushed, (FAILS_AT + for_ms + AFTER_MS) as f64 / 1e3);
            let stays = What::Deploy { batch: 1, most: 1, drain_ms: AFTER_MS };
            let goes = What::Deploy { batch: 1, most: 1, drain_ms: 1_500 };
            let script = [(FAILS_AT, moves), (FAILS_AT + for_ms, goes), (FAILS_AT + for_ms + 50, stays)];
            assert_known_in_time_and_served(&play(&scenario, 4, &script), for_ms + 2_000);
        }
    }
}

/// A time without requests that is long enough for either side to close idle connections.
const HOUR_MS: u64 = 3_600_000;
/// How long requests come before and after it.
const BUSY_MS: u64 = 4_000;

/// Plays a fault after some seconds of requests, with a quiet time in between.
fn play_after_quiet(quiet_ms: u64, pushed: bool, seed: u64, fault: &What) -> Report {
    let (before, after) = (BUSY_MS, 4 * BUSY_MS);
    let scenario = small_scenario(pushed, (before + quiet_ms + after) as f64 / 1e3);
    let mut script = vec![(before + quiet_ms, fault.clone())];
    if quiet_ms > 0 {
        script.push((before, What::Quiet { for_ms: quiet_ms }));
    }
    play(&scenario, seed, &script)
}

/// After an hour without a request a zone or a third of the cache servers dies, servers drain, or the load
/// rises: as many requests are served as without the hour.
#[test]
fn faults_after_a_quiet_hour_cost_no_more_than_without_it() {
    let faults = [
        What::ZoneLost { zone: 0, down_ms: 4_000 },
        What::Crash { boxes: vec![0, 3], down_ms: 4_000 },
        What::Deploy { batch: 2, most: 2, drain_ms: 10_000 },
        What::Burst { factor: 4.0, for_ms: 5_000 },
    ];
    for pushed in [false, true] {
        for fault in &faults {
            let [quiet, without] = [HOUR_MS, 0].map(|quiet_ms| play_after_quiet(quiet_ms, pushed, 3, fault));
            assert_rules_kept(&quiet);
            assert_rules_kept(&without);
            assert!(quiet.virtual_s > without.virtual_s + 3_590.0, "{} s", quiet.virtual_s);
            let (share, usual) = (quiet.all.in_time_share(), without.all.in_time_share());
            assert!(share > usual - 0.02 && share > 0.9, "{fault:?}: {share} after an hour, {usual} without");
        }
    }
}

/// Caches start cold and empty without other faults: misses are fetched from the origin, and no read is
/// refused.
#[test]
fn misses_of_cold_caches_are_fetched_from_the_origin() {
    for seed in 0..3 {
        let mut scenario = small_scenario(false, 30.0);
        (scenario.boxes.start_cold, scenario.origin.fails) = (true, 0.0);
        (scenario.origin.slots, scenario.origin.room) = (40, 200);
        // Empty, but at full capacity: slow start is not the subject here.
        (scenario.rules.cold_share, scenario.rules.warm_ms) = (1.0, 1);
        scenario.class.retain(|class| class.name == "read");
        // Low load relative to the quota, too, by which the origin's gate is sized.
        scenario.tenant = vec![Tenant { name: "calm".into(), share: 1.0, quota: 400.0 }];
        let report = play(&scenario, seed, &[]);
        assert_rules_kept(&report);
        let c = report.all;
        assert_eq!((c.refused, c.failed, c.unanswered), (0, 0, 0), "seed {seed}: {c:?}");
        assert!(c.in_time_share() > 0.99, "seed {seed}: {c:?}");
        assert!(report.misses > 100 && report.origin_calls > 100, "seed {seed}: {report:?}");
        // Fetched keys are cached: later fewer calls go to the origin.
        let calls = |seconds: Range<usize>| report.seconds[seconds].iter().map(|s| s.origin).sum::<u64>();
        assert!(calls(25..30) * 2 < calls(2..7), "seed {seed}: {} then {}", calls(2..7), calls(25..30));
    }
}
