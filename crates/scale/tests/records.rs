//! Invalid records are reported with the file and the place in it.
#![allow(missing_docs)]

mod common;

use std::path::{Path, PathBuf};

use chalksill_scale::record::FleetState;
use chalksill_scale::records::{check_one_kind, read, read_folder};

fn folder(name: &str) -> PathBuf {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("process-{}", std::process::id())).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn each_error_in_a_record_is_reported() {
    let file = folder("bad-records").join("bad.json");
    let text = serde_json::to_string_pretty(&common::record(&[50])).unwrap();
    let edited = |from: &str, to: &str| {
        let bad = text.replacen(from, to, 1);
        assert_ne!(bad, text, "{from}");
        bad
    };
    for (bad, expected) in [
        (text[..text.len() / 2].to_owned(), "EOF while parsing"),
        (edited("\"version\": 1", "\"version\": 7"), "version 7, and this program reads version 1"),
        (edited("\"version\": 1,", ""), "it has no version"),
        (edited("\"scenario\"", "\"extra\": 1, \"scenario\""), "line 3, column 9: unknown field `extra`"),
        (edited("\"nodes\": 50", "\"nodes\": -50"), "line 16, column 20: invalid value: integer `-50`"),
        (edited("\"calm\"", "\"stormy\""), "unknown variant `stormy`"),
        (
            edited("\"bytes_in_per_s\": 2", "\"bytes_in_per_s\": -2"),
            "run 0, HollowNode, bytes_in_per_s is below 0",
        ),
        (edited("\"allowed\": 100", "\"allowed\": -100"), "run 0, a sum is below 0"),
        (edited("\"last_s\": 1", "\"last_s\": -1"), "run 0, a spread is below 0"),
    ] {
        std::fs::write(&file, bad).unwrap();
        let message = read(&file).unwrap_err().to_string();
        assert!(message.contains(expected) && message.contains("bad.json"), "{expected}: {message}");
    }
    let gone = read(Path::new("none.json")).unwrap_err().to_string();
    assert!(gone.starts_with("cannot read none.json"), "{gone}");
}

#[test]
fn a_folder_is_read_in_order_of_names_and_a_missing_one_is_empty() {
    let folder = folder("folder");
    let text = serde_json::to_string(&common::record(&[50])).unwrap();
    for name in ["b.json", "a.json", "notes.txt"] {
        std::fs::write(folder.join(name), &text).unwrap();
    }
    let read = read_folder(&folder).unwrap();
    let names: Vec<_> = read.iter().map(|(path, _)| path.file_name().unwrap().to_owned()).collect();
    assert_eq!(names, ["a.json", "b.json"]);
    assert!(read_folder(&folder.join("none")).unwrap().is_empty());
}

#[test]
fn records_of_different_kinds_are_not_fitted_together() {
    let (one, mut other) = (common::record(&[50]), common::record(&[100]));
    let named = |record: &chalksill_scale::record::RunRecord| {
        vec![("one.json".into(), one.clone()), ("other.json".into(), record.clone())]
    };
    assert!(check_one_kind(&named(&other)).is_ok());
    other.state = FleetState::ZoneLost;
    let message = check_one_kind(&named(&other)).unwrap_err().to_string();
    assert!(
        message.contains("other.json holds scenario made-up, host virtual-clock, state zone-lost"),
        "{message}"
    );
    other = common::record(&[100]);
    other.scenario = "another".into();
    assert!(check_one_kind(&named(&other)).unwrap_err().to_string().contains("scenario another"));
}
