//! The script by which CI passes over tests that are known to fail, and over nothing else.
#![allow(missing_docs)]

use std::io::Write;
use std::process::{Command, Stdio};

/// What the script makes of a file: whether it went well, its arguments, and what it says.
fn passes_over(name: &str, text: Option<&str>) -> (bool, Vec<String>, String) {
    let file = format!("{}/known-red-{name}.txt", env!("CARGO_TARGET_TMPDIR"));
    let _ = std::fs::remove_file(&file);
    if let Some(text) = text {
        std::fs::write(&file, text).unwrap();
    }
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
    let mut child = Command::new("bash")
        .args([script, &file])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let tests = "first: test\nin::a::module: test\nthird: test\nfourth: test\nslow: benchmark\n\n5 tests, 1 benchmark\n";
    // It may end before it has read all of it.
    let _ = child.stdin.take().unwrap().write_all(tests.as_bytes());
    let output = child.wait_with_output().unwrap();
    let arguments = String::from_utf8(output.stdout).unwrap().lines().map(str::to_owned).collect();
    (output.status.success(), arguments, String::from_utf8(output.stderr).unwrap())
}

#[test]
fn named_tests_are_printed_and_passed_over_and_no_others() {
    assert_eq!(passes_over("none", None), (true, vec![], String::new()));
    assert_eq!(passes_over("empty", Some("\n")), (true, vec![], String::new()));
    let (good, arguments, said) =
        passes_over("two", Some("first | a server that lies | issue 7\nin::a::module | a race | issue 12"));
    assert!(good, "{said}");
    assert_eq!(arguments, ["--exact", "--skip", "first", "--skip", "in::a::module"]);
    assert!(said.contains("first | a server that lies | issue 7"), "{said}");
}

#[test]
fn a_file_with_a_fault_fails_and_says_which_line() {
    let good = "first | a | issue 1\nthird | b | issue 2\nfourth | c | issue 3\n";
    for (name, text, line, what) in [
        ("fourth", format!("{good}in::a::module | d | issue 4\n"), 4, "a fourth test"),
        ("unknown", "first | a | issue 1\nnobody | b | issue 2\n".into(), 2, "no test has this name"),
        ("part", "irst | a | issue 1\n".into(), 1, "no test has this name"),
        ("benchmark", "slow | a | issue 1\n".into(), 1, "no test has this name"),
        ("no-issue", "first | a cause\n".into(), 1, "not of the form"),
        ("no-cause", "first |  | issue 3\n".into(), 1, "not of the form"),
        ("no-number", "first | a | issue seven\n".into(), 1, "not of the form"),
    ] {
        let (good, arguments, said) = passes_over(name, Some(&text));
        assert!(!good && arguments.is_empty(), "{name}: {arguments:?}");
        assert!(said.contains(&format!("line {line}: {what}")), "{name}: {said}");
    }
}
