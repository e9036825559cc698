//! `chalksill scale run` as a process: its record, and scenarios that are rejected before any run starts.
#![allow(missing_docs)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use chalksill_scale::record::{Role, RunRecord, VERSION};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn chalksill(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_chalksill");
    Command::new(program).args(args).current_dir(root()).output().unwrap()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// A path for a file or folder of a test, unique to this process so that concurrent test runs do not share files.
fn scratch_path(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("process-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder.join(name)
}

#[test]
fn scenario_runs_all_repetitions_and_writes_its_record() {
    let file = scratch_path("scale-small.json");
    let run = chalksill(&["scale", "run", "scale/small.toml", "--out", file.to_str().unwrap(), "--json"]);
    assert_eq!(run.status.code(), Some(0), "{}", stderr_text(&run));
    let record: RunRecord = serde_json::from_slice(&run.stdout).unwrap();
    let written: RunRecord = serde_json::from_str(&std::fs::read_to_string(&file).unwrap()).unwrap();
    assert_eq!(record, written);
    assert_eq!((record.version, record.scenario.as_str()), (VERSION, "small"));
    let repetitions: Vec<_> = record.runs.iter().map(|run| (run.repetition, run.seed)).collect();
    assert_eq!(repetitions, [(0, 1), (1, 2)]);
    for run in &record.runs {
        let node = &run.roles[&Role::HollowNode];
        assert!(node.resident_bytes.unwrap() > 0.0 && node.bytes_in_per_s > 0.0, "{node:?}");
    }
    assert!(stderr_text(&run).contains("run 2 of 2: 50 nodes, 8 cache servers"), "{}", stderr_text(&run));
}

#[test]
fn invalid_scenarios_are_rejected_before_any_run() {
    let file = scratch_path("scale-bad.toml");
    let good = std::fs::read_to_string(root().join("scale/small.toml")).unwrap();
    let too_large = "[bounds]\nmemory_part = 0.01\n[[size]]\nnodes = 10000\ncache_servers = 2000\n";
    for (from, to, expected) in [
        ("nodes = 50", "nodes = 0", "size.0.nodes: 0 is not within 1 to 10000"),
        ("nodes = 50", "nodes = 50\nsoup = 1", "unknown field `soup`"),
        ("\"virtual-clock\"", "\"cloud\"", "line 3: unknown variant `cloud`"),
        ("state = \"calm\"", "state = \"zone-lost\"", "state: zone-lost can't be run"),
        ("[[size]]", too_large, "10000 nodes with 2000 cache servers are expected to need"),
    ] {
        let to = if from == "[[size]]" { format!("{to}\n[[size]]") } else { to.to_owned() };
        let bad = good.replacen(from, &to, 1);
        assert_ne!(bad, good, "{from}");
        std::fs::write(&file, bad).unwrap();
        let output = chalksill(&["scale", "run", file.to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(2), "{expected}: {}", stderr_text(&output));
        assert!(
            stderr_text(&output).contains(expected) && stderr_text(&output).contains("scale-bad.toml"),
            "{}",
            stderr_text(&output)
        );
        assert!(!stderr_text(&output).contains("run 1 of"), "{}", stderr_text(&output));
    }
}

#[test]
fn committed_scenarios_are_valid() {
    let mut read = 0;
    for entry in std::fs::read_dir(root().join("scale")).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|ending| ending == "toml") {
            let text = std::fs::read_to_string(&path).unwrap();
            chalksill_scale::scenario::Scenario::parse(&text).unwrap_or_else(|e| panic!("{path:?}: {e}"));
            read += 1;
        }
    }
    assert!(read >= 8, "{read} scenarios");
}
