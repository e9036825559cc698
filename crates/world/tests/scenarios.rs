//! Scenario files: those of the repository are valid, and errors are reported with their place.
#![allow(missing_docs)]

#[path = "common/mod.rs"]
mod common;

use chalksill_world::scenario::Scenario;

#[test]
fn every_scenario_of_the_repository_is_valid() {
    let folder = format!("{}/../../scenarios", env!("CARGO_MANIFEST_DIR"));
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        assert_eq!(common::scenario(&name).name, name);
        common::assert_rules_kept(&{
            let mut short = common::scenario(&name);
            (short.seconds, short.load.rate) = (0.5, short.load.rate.min(100.0));
            common::play(&short, 1, &[])
        });
        count += 1;
    }
    assert!(count >= 4);
}

#[test]
fn errors_name_line_and_key() {
    let path = format!("{}/../../scenarios/small.toml", env!("CARGO_MANIFEST_DIR"));
    let good = std::fs::read_to_string(path).unwrap();
    for (from, to, line_of, said) in [
        ("rate = 60", "rate = 0", "rate = 0", "load.rate: 0 is not within"),
        ("rate = 60", "rat = 60", "rat = 60", "unknown field `rat`"),
        ("rate = 60", "rate = \"fast\"", "rate = \"fast\"", "invalid type"),
        ("aim_ms = 400", "aim_ms = 9000", "aim_ms = 9000", "class.0.aim_ms: 9000 is not within 1 to 1500"),
        (
            "patience = [0.5, 0.6]",
            "patience = [0.6, 0.5]",
            "patience = [0.6, 0.5]",
            "load.patience: 0.6 is more",
        ),
        ("count = 3", "count = 0", "count = 0", "boxes.count: 0 is not within"),
        ("speeds = [1.0, 0.7]", "speeds = [1.0, nan]", "speeds = [1.0, nan]", "boxes.speeds.1"),
        ("\"crash\", ", "\"quake\", ", "kinds = ", "unknown variant `quake`"),
    ] {
        let bad = good.replace(from, to);
        assert_ne!(bad, good, "{from}");
        let fault = Scenario::read(&bad).expect_err(to);
        let line = bad.lines().position(|l| l.contains(line_of)).unwrap() + 1;
        assert_eq!(fault.line, Some(line), "{fault}");
        assert!(fault.to_string().contains(said), "{fault}");
    }
    for cut in (0..good.len()).step_by(37) {
        // A truncated file is refused or, if cut between two complete parts, still lacks something.
        let _ = Scenario::read(&good[..cut]);
    }
    assert!(Scenario::read("").is_err());
}
