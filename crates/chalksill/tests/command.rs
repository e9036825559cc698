//! The command as a process: exit codes, files that are wrong, and runs that repeat from one process to the next.
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
fn folder(name: &str) -> PathBuf {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("process-{}", std::process::id())).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn a_recorded_run_replays_in_another_process_and_a_changed_one_is_told() {
    let folder = folder("replay");
    let file = folder.join("run.json");
    let (name, picture) = (file.to_str().unwrap(), folder.join("run.svg"));
    let run = chalksill(&["sim", "run", "scenarios/small.toml", "--seed", "3", "--record", name, "--json"]);
    assert_eq!(run.status.code(), Some(0), "{}", said(&run));
    assert_eq!(chalksill(&["sim", "replay", name]).status.code(), Some(0));

    let report = folder.join("report.json");
    std::fs::write(&report, &run.stdout).unwrap();
    let plot = ["sim", "plot", report.to_str().unwrap(), "-o", picture.to_str().unwrap()];
    assert_eq!(chalksill(&plot).status.code(), Some(0));
    assert!(std::fs::read_to_string(&picture).unwrap().starts_with("<svg"));

    let text = std::fs::read_to_string(&file).unwrap();
    let other = text.replacen("\"seed\": 3", "\"seed\": 4", 1);
    assert_ne!(other, text);
    std::fs::write(&file, other).unwrap();
    assert_eq!(chalksill(&["sim", "replay", name]).status.code(), Some(1), "another run, the same digest");
}

#[test]
fn a_broken_seed_leaves_a_file_that_shrinks_and_still_breaks_the_rule() {
    let folder = folder("broken");
    let out = folder.to_str().unwrap();
    let explore = ["sim", "explore", "scenarios/small.toml", "--seeds", "0..3", "--jobs", "2"];
    let planted = [&explore[..], &["--mutant", "wrong-value", "--first", "--out", out]].concat();
    let found = chalksill(&planted);
    assert_eq!(found.status.code(), Some(1), "{}", said(&found));
    let file = std::fs::read_dir(&folder).unwrap().next().unwrap().unwrap().path();
    let small = folder.join("small.json");
    let shrink = ["sim", "shrink", file.to_str().unwrap(), "-o", small.to_str().unwrap()];
    assert_eq!(chalksill(&shrink).status.code(), Some(1));
    let text = std::fs::read_to_string(&small).unwrap();
    assert!(text.contains("\"script\": []"), "no fault is needed to give a wrong value");
    let again = chalksill(&["sim", "replay", small.to_str().unwrap()]);
    assert_eq!(again.status.code(), Some(0), "{}", said(&again));
    assert!(String::from_utf8_lossy(&again.stdout).contains("BROKEN OneAnswer"));
}

#[test]
fn bad_input_is_named_with_its_place_and_exit_code_2() {
    let folder = folder("bad");
    let file = folder.join("bad.json");
    let name = file.to_str().unwrap();
    let good = chalksill(&["sim", "run", "scenarios/small.toml", "--record", name, "--calm"]);
    assert_eq!(good.status.code(), Some(0), "{}", said(&good));
    let text = std::fs::read_to_string(&file).unwrap();
    let edited = |from: &str, to: &str| {
        let bad = text.replacen(from, to, 1);
        assert_ne!(bad, text, "{from}");
        bad
    };
    let gone = "\"script\": [{\"at_ms\": 1, \"kind\": \"cut-off\", \"at\": 99, \"for_ms\": 5}]";
    for (bad, expected) in [
        (text[..text.len() / 2].to_owned(), "EOF while parsing"),
        (edited("\"version\": 1", "\"version\": 7"), "version 7, and this program reads version 1"),
        (edited("\"version\": 1,", ""), "names no version"),
        (edited("\"script\": []", gone), "fault 0: there is no box 99"),
        (
            edited("\"script\": []", "\"script\": [{\"at_ms\": 1, \"kind\": \"quake\"}]"),
            "unknown variant `quake`",
        ),
        (edited("\"rate\": 60.0", "\"rate\": -60.0"), "load.rate: -60 is not within"),
    ] {
        std::fs::write(&file, bad).unwrap();
        let told = chalksill(&["sim", "replay", name]);
        assert_eq!(told.status.code(), Some(2), "{expected}: {}", said(&told));
        assert!(said(&told).contains(expected) && said(&told).contains("bad.json"), "{}", said(&told));
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
