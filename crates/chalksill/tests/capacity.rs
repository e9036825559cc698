//! `chalksill scale fit` and `chalksill scale page` as processes: exit codes, written files and the committed page.
#![allow(missing_docs)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::{Value, json};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn scale(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_chalksill");
    Command::new(program).arg("scale").args(args).current_dir(root()).output().unwrap()
}

/// A folder of one test with a subfolder `runs`, empty at its start.
fn test_folder(name: &str) -> PathBuf {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("process-{}", std::process::id())).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("runs")).unwrap();
    folder
}

/// What a process printed: standard error, then standard output.
fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned() + &String::from_utf8_lossy(&output.stdout)
}

fn run_record(nodes: u32, repetition: u32) -> Value {
    let size = json!({
        "nodes": nodes, "sites": 1, "zones": 3, "regions": 1, "cache_servers": 20, "changes_per_s": 0.1
    });
    let bytes = f64::from(nodes) * (2.0 + 0.01 * f64::from(repetition));
    let cost = json!({
        "members": nodes, "resident_bytes": null, "user_cpu": null, "system_cpu": null, "messages_in_per_s": 1.0,
        "messages_out_per_s": 1.0, "bytes_in_per_s": bytes, "bytes_out_per_s": bytes, "connections": 1.0
    });
    json!({
        "size": size, "repetition": repetition, "seed": 1, "measured_s": 10.0, "wall_s": 1.0,
        "roles": {"hollow-node": cost}, "sums": [], "spreads": []
    })
}

fn record(state: &str, sizes: &[u32]) -> Value {
    let runs: Vec<Value> = sizes.iter().flat_map(|nodes| (0..3).map(|r| run_record(*nodes, r))).collect();
    json!({
        "version": 1, "scenario": "made-up", "host": "virtual-clock", "state": state, "commit": "0123abc",
        "machine": {"cores": 8, "memory_bytes": 1000, "processor": "some"}, "date": "2026-12-02", "runs": runs
    })
}

fn write(path: &Path, record: &Value) -> String {
    std::fs::write(path, serde_json::to_string_pretty(record).unwrap()).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn fit_prints_and_writes_json_and_svg() {
    let folder = test_folder("fit");
    let runs = write(&folder.join("runs/calm.json"), &record("calm", &[10, 20, 40, 80]));
    let (json_file, svg) = (folder.join("fit.json"), folder.join("fit.svg"));
    let output_args = ["--json", json_file.to_str().unwrap(), "--svg", svg.to_str().unwrap()];
    let output = scale(&[&["fit", &runs][..], &output_args].concat());
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    assert!(
        output_text(&output).contains("hollow-node") && output_text(&output).contains("linear"),
        "{}",
        output_text(&output)
    );
    let fits: Value = serde_json::from_str(&std::fs::read_to_string(&json_file).unwrap()).unwrap();
    let bytes = fits.as_array().unwrap().iter().find(|fit| fit["quantity"] == "bytes/s").unwrap();
    assert_eq!(bytes["fit"]["model"], "linear");
    assert!((bytes["fit"]["slope"].as_f64().unwrap() - 4.02).abs() < 1e-6, "{bytes}");
    assert!(std::fs::read_to_string(&svg).unwrap().starts_with("<svg"));
}

#[test]
fn invalid_and_mixed_records_are_rejected() {
    let folder = test_folder("bad-fit");
    let calm = write(&folder.join("calm.json"), &record("calm", &[10]));
    let lost = write(&folder.join("lost.json"), &record("zone-lost", &[10]));
    let mut unknown = record("calm", &[10]);
    unknown["extra"] = json!(1);
    let unknown = write(&folder.join("unknown.json"), &unknown);
    let mut other = record("calm", &[10]);
    other["version"] = json!(2);
    let other = write(&folder.join("other.json"), &other);
    let none = write(&folder.join("none.json"), &record("calm", &[]));
    for (files, expected) in [
        (vec![&calm, &lost], "lost.json holds scenario made-up, host virtual-clock, state zone-lost"),
        (vec![&unknown], "unknown.json, line 4, column 9: unknown field `extra`"),
        (vec![&other], "other.json: version 2, and this program reads version 1"),
        (vec![&none], "none.json: no run with a measured value in it"),
    ] {
        let files: Vec<&str> = files.into_iter().map(String::as_str).collect();
        let output = scale(&[&["fit"][..], &files].concat());
        assert_eq!(output.status.code(), Some(2), "{expected}: {}", output_text(&output));
        assert!(output_text(&output).contains(expected), "{}", output_text(&output));
    }
}

#[test]
fn page_check_fails_until_changed_values_are_written() {
    let folder = test_folder("page");
    let file = folder.join("runs/calm.json");
    write(&file, &record("calm", &[10, 20, 40, 80]));
    let page = folder.join("page.md");
    std::fs::write(&page, "# Page\n<!-- begin generated -->\n<!-- end generated -->\n").unwrap();
    let (runs, name) = (folder.join("runs"), page.to_str().unwrap().to_owned());
    let page_args = ["--runs", runs.to_str().unwrap(), "--page", &name];
    let check = || scale(&[&["page", "--check"][..], &page_args].concat());
    let write_page = || scale(&[&["page"][..], &page_args].concat()).status.code();
    let stale = check();
    assert_eq!(stale.status.code(), Some(1), "{}", output_text(&stale));
    assert!(output_text(&stale).contains("page.md, line 3: the page says"), "{}", output_text(&stale));
    assert_eq!(write_page(), Some(0));
    assert_eq!(check().status.code(), Some(0));
    let mut changed = record("calm", &[10, 20, 40, 80]);
    changed["runs"][11]["roles"]["hollow-node"]["connections"] = json!(2.0);
    write(&file, &changed);
    assert_eq!(check().status.code(), Some(1));
    assert_eq!(write_page(), Some(0));
    assert_eq!(check().status.code(), Some(0));
    std::fs::write(&page, "# Page\n").unwrap();
    let output = check();
    assert_eq!(output.status.code(), Some(2), "{}", output_text(&output));
    assert!(
        output_text(&output).contains("the marker <!-- begin generated --> is missing"),
        "{}",
        output_text(&output)
    );
}

#[test]
fn committed_page_matches_committed_runs() {
    let output = scale(&["page", "--check"]);
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
}
