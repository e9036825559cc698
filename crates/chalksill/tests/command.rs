//! `chalksill` as a process: exit codes, invalid files, and runs that repeat across processes.
#![allow(missing_docs)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn chalksill(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_chalksill");
    Command::new(program).args(args).current_dir(root()).output().unwrap()
}

/// A folder of one test, empty at its start.
fn test_folder(name: &str) -> PathBuf {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("process-{}", std::process::id())).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn recorded_run_repeats_and_changed_run_is_detected() {
    let folder = test_folder("replay");
    let file = folder.join("run.json");
    let (name, drawing) = (file.to_str().unwrap(), folder.join("run.svg"));
    let run = chalksill(&["sim", "run", "scenarios/small.toml", "--seed", "3", "--record", name, "--json"]);
    assert_eq!(run.status.code(), Some(0), "{}", stderr_text(&run));
    assert_eq!(chalksill(&["sim", "replay", name]).status.code(), Some(0));

    let report = folder.join("report.json");
    std::fs::write(&report, &run.stdout).unwrap();
    let plot = ["sim", "plot", report.to_str().unwrap(), "-o", drawing.to_str().unwrap()];
    assert_eq!(chalksill(&plot).status.code(), Some(0));
    assert!(std::fs::read_to_string(&drawing).unwrap().starts_with("<svg"));

    let text = std::fs::read_to_string(&file).unwrap();
    let changed = text.replacen("\"seed\": 3", "\"seed\": 4", 1);
    assert_ne!(changed, text);
    std::fs::write(&file, changed).unwrap();
    assert_eq!(
        chalksill(&["sim", "replay", name]).status.code(),
        Some(1),
        "a different run must not give the same digest"
    );
}

#[test]
fn replay_file_of_broken_seed_shrinks_and_still_breaks_the_rule() {
    let folder = test_folder("broken");
    let out = folder.to_str().unwrap();
    let explore = ["sim", "explore", "scenarios/small.toml", "--seeds", "0..3", "--jobs", "2"];
    let args = [&explore[..], &["--mutant", "wrong-value", "--first", "--out", out]].concat();
    let explored = chalksill(&args);
    assert_eq!(explored.status.code(), Some(1), "{}", stderr_text(&explored));
    let file = std::fs::read_dir(&folder).unwrap().next().unwrap().unwrap().path();
    let small = folder.join("small.json");
    let shrink = ["sim", "shrink", file.to_str().unwrap(), "-o", small.to_str().unwrap()];
    assert_eq!(chalksill(&shrink).status.code(), Some(1));
    let text = std::fs::read_to_string(&small).unwrap();
    assert!(text.contains("\"script\": []"), "no fault is needed to give a wrong value");
    let replayed = chalksill(&["sim", "replay", small.to_str().unwrap()]);
    assert_eq!(replayed.status.code(), Some(0), "{}", stderr_text(&replayed));
    assert!(String::from_utf8_lossy(&replayed.stdout).contains("BROKEN OneAnswer"));
}

#[test]
fn invalid_input_is_reported_with_position() {
    let folder = test_folder("bad");
    let file = folder.join("bad.json");
    let name = file.to_str().unwrap();
    let good = chalksill(&["sim", "run", "scenarios/small.toml", "--record", name, "--calm"]);
    assert_eq!(good.status.code(), Some(0), "{}", stderr_text(&good));
    let text = std::fs::read_to_string(&file).unwrap();
    let replaced = |from: &str, to: &str| {
        let invalid = text.replacen(from, to, 1);
        assert_ne!(invalid, text, "{from}");
        invalid
    };
    let cut_off_fault = "\"script\": [{\"at_ms\": 1, \"kind\": \"cut-off\", \"at\": 99, \"for_ms\": 5}]";
    for (invalid, expected) in [
        (text[..text.len() / 2].to_owned(), "EOF while parsing"),
        (replaced("\"version\": 1", "\"version\": 7"), "version 7, and this program reads version 1"),
        (replaced("\"version\": 1,", ""), "names no version"),
        (replaced("\"script\": []", cut_off_fault), "fault 0: there is no box 99"),
        (
            replaced("\"script\": []", "\"script\": [{\"at_ms\": 1, \"kind\": \"quake\"}]"),
            "unknown variant `quake`",
        ),
        (replaced("\"rate\": 60.0", "\"rate\": -60.0"), "load.rate: -60 is not within"),
    ] {
        std::fs::write(&file, invalid).unwrap();
        let output = chalksill(&["sim", "replay", name]);
        assert_eq!(output.status.code(), Some(2), "{expected}: {}", stderr_text(&output));
        assert!(
            stderr_text(&output).contains(expected) && stderr_text(&output).contains("bad.json"),
            "{}",
            stderr_text(&output)
        );
    }
    for args in [
        &["sim", "run", "scenarios/none.toml"][..],
        &["sim", "explore", "scenarios/small.toml", "--seeds", "9..3"],
        &["sim", "run", "scenarios/small.toml", "--mutant", "shy"],
        &["world", "load", "scenarios/small.toml", "--mothpier", "/none/mothpier"],
    ] {
        assert_eq!(chalksill(args).status.code(), Some(2), "{args:?}");
    }
}
