//! Scenario files: defaults, the derived layout of the fleet, and errors with their place.

use chalksill_scale::record::{FleetState, HostKind};
use chalksill_scale::scenario::Scenario;

const VALID: &str = r#"name = "good"
host = "virtual-clock"
measured_s = 10

[[size]]
nodes = 6600
cache_servers = 980
changes_per_s = 0.5
"#;

#[test]
fn the_target_layout_is_derived_from_its_nodes() {
    let scenario = Scenario::parse(VALID).unwrap();
    assert_eq!((scenario.host, scenario.state), (HostKind::VirtualClock, FleetState::Calm));
    assert_eq!(scenario.repetitions, 3);
    let size = scenario.sizes[0];
    assert_eq!((size.sites, size.zones, size.regions), (300, 40, 10));
}

#[test]
fn each_repetition_has_its_own_seed() {
    let scenario = Scenario::parse(&format!("seed = 7\n{VALID}")).unwrap();
    assert_eq!([scenario.seed_of(0), scenario.seed_of(2)], [7, 9]);
}

/// What is replaced in the valid file, the replacement, and the beginning of the message.
const INVALID: [(&str, &str, &str); 18] = [
    ("nodes = 6600", "nodes = 0", "line 6: size.0.nodes: 0 is not within 1 to 10000"),
    ("nodes = 6600", "nodes = -3", "line 6: size.0.nodes: -3 is not within 1 to 10000"),
    ("nodes = 6600", "nodes = 2.5", "line 6: size.0.nodes: 2.5 is not an integer within 1 to 10000"),
    ("nodes = 6600", "nodes = 70000", "line 6: size.0.nodes: 70000 is not within 1 to 10000"),
    ("nodes = 6600", "nodes = nan", "line 6: size.0.nodes: NaN is not an integer within 1 to 10000"),
    ("nodes = 6600", "nodes = 5\nsites = 6", "line 7: size.0.sites: 6 is not within 1 to 5"),
    ("nodes = 6600", "nodes = 5\nzones = 9", "line 7: size.0.zones: 9 is not within 1 to 1"),
    ("nodes = 6600", "nodes = 5\nregions = 2", "line 7: size.0.regions: 2 is not within 1 to 1"),
    ("servers = 980", "servers = 0", "line 7: size.0.cache_servers: 0 is not within 1 to 2000"),
    ("changes_per_s = 0.5", "changes_per_s = -1", "line 8: size.0.changes_per_s: -1 is not within 0 to 100"),
    ("measured_s = 10", "measured_s = -1", "line 3: measured_s: -1 is not within 0.5 to 3600"),
    ("measured_s = 10", "measured_s = 10\nrepetitions = 0", "line 4: repetitions: 0 is not within 1 to 20"),
    (
        "measured_s = 10",
        "measured_s = 10\n[load]\nper_s = -5",
        "line 5: load.per_s: -5 is not within 0 to 100000",
    ),
    ("measured_s = 10", "measured_s = 10\n[load]\nmisses = 2", "line 5: load.misses: 2 is not within 0 to 1"),
    (
        "measured_s = 10",
        "measured_s = 10\n[bounds]\nmemory_part = 0.9",
        "line 5: bounds.memory_part: 0.9 is not within",
    ),
    ("measured_s = 10", "measured_s = 10\nnoodles = 3", "line 4: unknown field `noodles`"),
    (
        "\"virtual-clock\"",
        "\"moon\"",
        "line 2: unknown variant `moon`, expected `real-sockets` or `virtual-clock`",
    ),
    ("\"good\"", "\"no good\"", "line 1: name: letters, digits and dashes only"),
];

#[test]
fn invalid_files_are_rejected_with_line_key_and_range() {
    for (from, to, expected) in INVALID {
        let text = VALID.replacen(from, to, 1);
        assert_ne!(text, VALID, "{from} is not in the valid file");
        let message = Scenario::parse(&text).unwrap_err().to_string();
        assert!(message.starts_with(expected), "{to:?}: {message:?} does not begin with {expected:?}");
    }
}

#[test]
fn partitions_and_agreements_need_enough_regions_and_zones() {
    let small = VALID.replace("nodes = 6600", "nodes = 20");
    let partitioned = format!("state = \"regions-apart\"\n{small}");
    assert!(Scenario::parse(&partitioned).unwrap_err().to_string().contains("regions-apart needs 2 or more"));
    let agreement = format!("agreement = true\n{small}");
    assert!(Scenario::parse(&agreement).unwrap_err().to_string().contains("an agreement needs 2 or more"));
}
