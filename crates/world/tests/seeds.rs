//! Seeds: runs are reproducible, many seeds keep the rules, and planted defects are detected.
#![allow(missing_docs)]

#[path = "common/mod.rs"]
mod common;

use chalksill_world::faults::{Fault, What};
use chalksill_world::mutant::Mutant;
use chalksill_world::scenario::Scenario;
use chalksill_world::sim::{RunPlan, run};
use chalksill_world::system_calls::{Failure, SystemCall};
use common::{assert_rules_kept, play_seed, scenario};

#[test]
fn runs_are_reproducible_by_seed() {
    for name in ["small", "drought"] {
        let mut scenario = scenario(name);
        scenario.seconds = 6.0;
        for seed in 0..4 {
            let first = play_seed(&scenario, seed, None);
            assert_eq!(first, play_seed(&scenario, seed, None), "{name}, seed {seed}");
            assert_ne!(first.digest, play_seed(&scenario, seed + 100, None).digest);
        }
    }
}

/// On parallel threads, in any order: runs share no state.
#[test]
fn parallel_runs_share_no_state() {
    let mut scenario = scenario("small");
    scenario.seconds = 4.0;
    let alone: Vec<String> = (0..6).map(|seed| play_seed(&scenario, seed, None).digest).collect();
    let together: Vec<_> = (0..6)
        .map(|seed| {
            let scenario = scenario.clone();
            std::thread::spawn(move || play_seed(&scenario, seed, None).digest)
        })
        .collect();
    let together: Vec<String> = together.into_iter().map(|t| t.join().unwrap()).collect();
    assert_eq!(alone, together);
}

#[test]
fn seeds_keep_the_rules() {
    for (name, seeds, seconds) in [("small", 0..40, 15.0), ("site", 0..4, 12.0), ("drought", 0..6, 12.0)] {
        let mut scenario = scenario(name);
        scenario.seconds = seconds;
        for seed in seeds {
            assert_rules_kept(&play_seed(&scenario, seed, None));
        }
    }
}

/// Plays a fault of zones with nodes that agree on plans, alone or with the voters killed during it: the
/// rules hold, and all nodes give up the same one zone.
fn assert_one_zone_is_given_up(seed: u64, what: &What, voters_killed: bool) {
    let mut scenario = scenario("zones");
    scenario.seconds = 14.0;
    let mut script = vec![Fault { at_ms: 3_000, what: what.clone() }];
    if voters_killed {
        let nodes = (0..3).collect();
        script.push(Fault { at_ms: 3_900, what: What::NodesKilled { nodes, down_ms: 300 } });
    }
    let given_up = std::rc::Rc::new(std::cell::RefCell::new(std::collections::BTreeSet::new()));
    let sink = given_up.clone();
    let trace = move |line: &str| {
        if let Some(plan) = chalksill_world::agreement::ReportedPlan::parse(line) {
            sink.borrow_mut().extend(plan.given_up_zones().into_iter().map(str::to_owned));
        }
    };
    let run_plan = RunPlan { scenario, seed, script: Some(script), mutant: None };
    let report = run(&run_plan, Some(std::rc::Rc::new(std::cell::RefCell::new(trace))));
    assert_rules_kept(&report);
    let zones = given_up.borrow();
    assert_eq!(zones.len(), 1, "seed {seed}, {what:?}, voters killed {voters_killed}: {zones:?}");
}

#[test]
fn lost_or_silent_zone_is_given_up_by_all_nodes() {
    for what in [What::ZoneLost { zone: 2, down_ms: 5_000 }, What::ZoneSilent { zone: 1, for_ms: 5_000 }] {
        for voters_killed in [false, true] {
            assert_one_zone_is_given_up(3, &what, voters_killed);
        }
    }
}

/// Each side of a cut sees the other one silent.
const ZONES_APART: What = What::ZonesApart { a: 0, b: 2, for_ms: 5_000 };

#[test]
fn one_of_two_partitioned_zones_is_given_up_by_all_nodes() {
    assert_one_zone_is_given_up(3, &ZONES_APART, false);
}

#[test]
fn one_of_two_partitioned_zones_is_given_up_though_voters_are_killed() {
    // In the first four, two leaders each gave up a different zone. In 1, 8 and 17 no leader could give up a
    // zone while the cut lasted, as a new leader collected reports for longer, or nodes that had left a zone
    // by themselves did not report it. In the last two, such nodes reported it as lost long after the cut,
    // without a new attempt, and it was given up beside the other one.
    for seed in [3, 10, 58, 63, 1, 8, 17, 2013, 2043] {
        assert_one_zone_is_given_up(seed, &ZONES_APART, true);
    }
}

/// Seeds that once broke a rule because of a defect of the node; the figures are in the changes that fixed
/// them.
#[test]
fn seeds_that_once_broke_a_rule_keep_it() {
    // Responses of a cache server that had just left the list were dropped when two of its connections ended
    // together.
    for seed in [170, 185] {
        assert_rules_kept(&play_seed(&scenario("site"), seed, None));
    }
    // The old of two processes was sent a list that the new one did not get, which then sent requests to a
    // draining server.
    assert_rules_kept(&play_seed(&scenario("operate"), 1151, None));
    // Clients sent requests on a connection of a process that was killed a moment before, before its end
    // reached them: a defect of the checker.
    for (name, seed) in [("operate", 714), ("operate", 7_700_312), ("crowded", 7_700_399)] {
        assert_rules_kept(&play_seed(&scenario(name), seed, None));
    }
    // A killed new process left calls at the origin, and the old one used the node's whole limit beside them.
    for seed in [112, 178, 222] {
        assert_rules_kept(&play_seed(&scenario("retire"), seed, None));
    }
    // A node that was asked to stop did not accept from a shared listener, although no other process accepted
    // from it.
    for seed in [98, 115, 160] {
        assert_rules_kept(&play_seed(&scenario("crowded"), seed, None));
    }
}

/// The conditions under which each planted defect becomes visible.
fn conditions(mutant: Mutant) -> (Scenario, Option<Vec<Fault>>) {
    let mut scenario = match mutant {
        Mutant::OpenGate => scenario("drought"),
        Mutant::KeepsDrained => scenario("retire"),
        Mutant::VotesAlone | Mutant::ComesBackAtOnce | Mutant::IgnoresBounds => scenario("zones"),
        _ => scenario("small"),
    };
    scenario.seconds = 10.0;
    if mutant == Mutant::ComesBackAtOnce {
        // A third of the nodes cannot reach a zone for the whole time.
        scenario.seconds = 16.0;
        let what = What::ZonesApart { a: 0, b: 2, for_ms: 13_000 };
        return (scenario, Some(vec![Fault { at_ms: 2000, what }]));
    }
    if mutant == Mutant::KeepsDrained {
        let what = What::Drain { node: 0, for_ms: 5_000 };
        return (scenario, Some(vec![Fault { at_ms: 1000, what }]));
    }
    if mutant == Mutant::OpenGate {
        // An origin that is fast enough not to be throttled, and so many misses that the limit holds them
        // back.
        (scenario.origin.slots, scenario.origin.time_ms, scenario.load.rate) = (400, [380.0, 440.0], 500.0);
        (scenario.boxes.cores, scenario.load.keys, scenario.boxes.start_cold) = (16, 100_000, false);
        scenario.faults.count = [0, 0];
    }
    if mutant == Mutant::KeepsSockets {
        // Each client that leaves early takes a connection with it.
        (scenario.load.rate, scenario.nodes.sockets) = (200.0, 34);
        let what = What::Clients { leavers: 1.0, slow: 0.0, for_ms: 9_000 };
        return (scenario, Some(vec![Fault { at_ms: 0, what }]));
    }
    if mutant == Mutant::AsksNoMore {
        // A cache server drains for a long time, and nothing affects discovery.
        scenario.seconds = 16.0;
        let what = What::Deploy { batch: 1, most: 1, drain_ms: 12_000 };
        return (scenario, Some(vec![Fault { at_ms: 1000, what }]));
    }
    if mutant == Mutant::DeafToLeaving {
        // Most reads miss and wait for a full gate: their clients leave meanwhile.
        (scenario.load.keys, scenario.load.rate) = (100_000, 200.0);
        (scenario.origin.slots, scenario.origin.time_ms) = (4, [200.0, 300.0]);
        let what = What::Clients { leavers: 0.5, slow: 0.0, for_ms: 9_000 };
        return (scenario, Some(vec![Fault { at_ms: 0, what }]));
    }
    if matches!(mutant, Mutant::GivesUpBind | Mutant::ReceivesAtOnce) {
        // Nodes exchange messages every few seconds.
        let (call, failure, for_ms) = match mutant {
            Mutant::GivesUpBind => (SystemCall::Listen, Failure::Enobufs, 500),
            _ => (SystemCall::Receive, Failure::Enomem, 6_000),
        };
        let what = What::SystemCalls { node: 0, call, failure, part: 1.0, for_ms };
        return (scenario, Some(vec![Fault { at_ms: 1000, what }]));
    }
    if mutant == Mutant::IgnoresCold {
        // A cache server comes back cold under high load, and all nodes are notified at once.
        (scenario.load.rate, scenario.load.keys, scenario.boxes.keys) = (520.0, 400, 600);
        (scenario.boxes.miss_work, scenario.origin.slots) = (1.0, 60);
        (scenario.rules.fall_multiple, scenario.rules.fall_ms, scenario.rules.warm_ms) = (1.0, 1500, 30_000);
        scenario.discovery.lag_ms = [0, 20];
        let what = What::Crash { boxes: vec![1], down_ms: 1000 };
        return (scenario, Some(vec![Fault { at_ms: 2000, what }]));
    }
    (scenario, None)
}

/// Each rule must detect at least one planted defect.
#[test]
fn every_mutant_is_detected() {
    for (mutant, rule) in Mutant::ALL {
        let (scenario, script) = conditions(mutant);
        let breaks = |seed, mutant| {
            let plan = RunPlan { scenario: scenario.clone(), seed, script: script.clone(), mutant };
            run(&plan, None).violations.iter().any(|v| v.rule == rule)
        };
        let found = (0..16).find(|seed| breaks(*seed, Some(mutant)));
        assert!(found.is_some(), "{mutant:?} was not found to break {rule:?}");
        assert!(!breaks(found.unwrap(), None), "{mutant:?}: {rule:?} is broken without it, too");
    }
}
