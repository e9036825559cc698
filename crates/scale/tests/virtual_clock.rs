//! Runs of small fleets with the virtual clock: reproducible counts, plausible values, and the memory bound.

use chalksill_scale::record::{Change, FleetSum, Limit, Role, RoleCost, Run};
use chalksill_scale::scenario::Scenario;
use chalksill_scale::virtual_clock;

const TINY: &str = r#"name = "tiny"
host = "virtual-clock"
measured_s = 5
warm_up_s = 3

[[size]]
nodes = 3
cache_servers = 4
changes_per_s = 1
sites = 3
zones = 2
regions = 2
"#;

fn scenario(head: &str, tail: &str) -> Scenario {
    Scenario::parse(&format!("{head}\n{}{tail}", TINY)).unwrap()
}

fn run(scenario: &Scenario, repetition: u32) -> Run {
    virtual_clock::run(scenario, scenario.sizes[0], repetition).unwrap()
}

/// A run without the values that depend on the machine: time and memory.
fn counters(run: Run) -> Run {
    let counted =
        |cost: RoleCost| RoleCost { resident_bytes: None, user_cpu: None, system_cpu: None, ..cost };
    let roles = run.roles.into_iter().map(|(role, cost)| (role, counted(cost))).collect();
    Run { roles, wall_s: 0.0, ..run }
}

fn sum(run: &Run, limit: Limit) -> &FleetSum {
    run.sums.iter().find(|sum| sum.limit == limit).unwrap()
}

#[test]
fn a_tiny_fleet_is_counted_and_the_same_seed_gives_the_same_counts() {
    let scenario = scenario("agreement = true", "");
    let first = run(&scenario, 0);
    let node = &first.roles[&Role::HollowNode];
    assert_eq!(node.members, 3);
    for figure in [
        node.messages_in_per_s,
        node.messages_out_per_s,
        node.bytes_in_per_s,
        node.bytes_out_per_s,
        first.roles[&Role::Discovery].bytes_out_per_s,
        first.roles[&Role::AgreementLeader].messages_out_per_s,
    ] {
        assert!(figure > 0.0, "{first:?}");
    }
    let acted = first.spreads.iter().map(|spread| (spread.change, spread.acted, spread.expected));
    assert_eq!(acted.collect::<Vec<_>>(), [(Change::List, 3, 3), (Change::Plan, 3, 3)]);
    assert_eq!(counters(first), counters(run(&scenario, 0)));
}

#[test]
fn another_seed_gives_other_counts() {
    let scenario = scenario("agreement = true", "");
    assert_ne!(counters(run(&scenario, 0)).roles, counters(run(&scenario, 1)).roles);
}

#[test]
fn few_nodes_respect_the_limits_of_origin_calls_under_a_load_of_misses() {
    let run = run(&scenario("", "[load]\nper_s = 400\nmisses = 1.0\n"), 0);
    let outstanding = sum(&run, Limit::OriginOutstanding);
    assert!(outstanding.peak > 0.0 && outstanding.peak <= outstanding.bound, "{outstanding:?}");
    assert!(outstanding.allowed > 0.0 && outstanding.allowed <= outstanding.bound, "{outstanding:?}");
    let window = sum(&run, Limit::OriginWindow);
    assert!(window.peak > 0.0 && window.peak <= window.bound, "{window:?}");
    assert_eq!(run.roles[&Role::HollowNode].user_cpu, None);
}

#[test]
fn all_watches_return_after_a_discovery_restart() {
    let run = run(&scenario("state = \"discovery-restart\"", ""), 0);
    let spread = &run.spreads[0];
    assert_eq!((spread.change, spread.acted), (Change::List, 3));
    assert_eq!(run.roles[&Role::Discovery].connections, 3.0);
}

#[test]
fn partitioned_regions_receive_fewer_messages() {
    let calm = run(&scenario("agreement = true", ""), 0);
    let partitioned = run(&scenario("agreement = true\nstate = \"regions-apart\"", ""), 0);
    let received = |run: &Run| run.roles[&Role::HollowNode].messages_in_per_s;
    assert!(received(&partitioned) < received(&calm), "{} and {}", received(&partitioned), received(&calm));
}

#[test]
fn a_scenario_beyond_the_memory_bound_is_rejected_with_the_expected_memory() {
    let scenario = scenario("", "[bounds]\nmemory_part = 0.01\n");
    let message = virtual_clock::check(&scenario, 1_000_000_000).unwrap_err();
    assert!(message.contains("3 nodes with 4 cache servers are expected to need 0.1 GB"), "{message}");
    virtual_clock::check(&scenario, 24_000_000_000).unwrap();
}

#[test]
fn the_target_size_fits_into_half_of_16_gb_and_not_into_half_of_8() {
    let size = "[[size]]\nnodes = 6600\ncache_servers = 980\n";
    let scenario =
        Scenario::parse(&format!("name = \"target\"\nhost = \"virtual-clock\"\nmeasured_s = 5\n{size}"));
    let scenario = scenario.unwrap();
    virtual_clock::check(&scenario, 16_000_000_000).unwrap();
    let message = virtual_clock::check(&scenario, 8_000_000_000).unwrap_err();
    assert!(message.contains("6600 nodes with 980 cache servers are expected to need 6.3 GB"), "{message}");
}
