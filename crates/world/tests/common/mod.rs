//! Helpers of the tests.

use chalksill_world::faults::{Fault, What};
use chalksill_world::mutant::Mutant;
use chalksill_world::report::Report;
use chalksill_world::scenario::Scenario;
use chalksill_world::sim::{RunPlan, run};

/// Reads a scenario of the repository by its name.
pub fn scenario(name: &str) -> Scenario {
    let path = format!("{}/../../scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).expect(&path);
    Scenario::read(&text).unwrap_or_else(|e| panic!("{path}: {e}"))
}

/// Plays a scenario with these faults alone.
#[allow(dead_code)]
pub fn play(scenario: &Scenario, seed: u64, faults: &[(u64, What)]) -> Report {
    let script = faults.iter().map(|(at_ms, what)| Fault { at_ms: *at_ms, what: what.clone() }).collect();
    run(&RunPlan { scenario: scenario.clone(), seed, script: Some(script), mutant: None }, None)
}

/// Plays a scenario with the faults that its seed draws.
#[allow(dead_code)]
pub fn play_seed(scenario: &Scenario, seed: u64, mutant: Option<Mutant>) -> Report {
    run(&RunPlan { scenario: scenario.clone(), seed, script: None, mutant }, None)
}

/// Asserts that no rule was broken, and that every request has ended.
pub fn assert_rules_kept(report: &Report) {
    assert!(report.violations.is_empty(), "seed {}: {}", report.seed, report.violations[0]);
    let c = report.all;
    assert_eq!(c.offered, c.in_time + c.late + c.refused + c.failed + c.unanswered);
}
