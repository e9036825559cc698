//! `.ci/known-red`: the script that makes CI skip tests that are known to fail, and only those.
#![allow(missing_docs)]

use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the script on a file with this text: whether it succeeded, the arguments it printed and its standard error.
fn run_script(name: &str, text: Option<&str>) -> (bool, Vec<String>, String) {
    let file = format!("{}/known-red-{name}-{}.txt", env!("CARGO_TARGET_TMPDIR"), std::process::id());
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
    let tests = "first: test\nin::a::module: test\nthird: test\nfourth: test\ntwin: test\ntwin: test\nslow: benchmark\n\n7 tests, 1 benchmark\n";
    // The script may end before it has read all input; the write fails then.
    let _ = child.stdin.take().unwrap().write_all(tests.as_bytes());
    let output = child.wait_with_output().unwrap();
    let arguments = String::from_utf8(output.stdout).unwrap().lines().map(str::to_owned).collect();
    (output.status.success(), arguments, String::from_utf8(output.stderr).unwrap())
}

#[test]
fn only_named_tests_are_printed_and_skipped() {
    assert_eq!(run_script("none", None), (true, vec![], String::new()));
    assert_eq!(run_script("empty", Some("\n")), (true, vec![], String::new()));
    let first = "first | cargo test -p node first | a server that lies | issue 7";
    let second = "in::a::module | sim run a.toml --seed 5 | a race | issue 12";
    let (success, arguments, errors) = run_script("two", Some(&format!("{first}\n\n{second}")));
    assert!(success, "{errors}");
    assert_eq!(arguments, ["--exact", "--skip", "first", "--skip", "in::a::module"]);
    assert!(errors.contains(first) && errors.contains(second), "{errors}");
}

#[test]
fn several_tests_may_be_named() {
    let names = ["first", "in::a::module", "third", "fourth"];
    let text = names.map(|name| format!("{name} | cargo test {name} | x | issue 1\n")).concat();
    let (success, arguments, errors) = run_script("four", Some(&text));
    assert!(success, "{errors}");
    assert_eq!(arguments.iter().filter(|argument| *argument == "--skip").count(), 4);
}

#[test]
fn invalid_file_fails_with_line_number() {
    for (name, text, line, what) in [
        ("unknown", "first | c | a | issue 1\nnobody | c | b | issue 2\n", 2, "no test has this name"),
        ("part", "irst | c | a | issue 1\n", 1, "no test has this name"),
        ("benchmark", "slow | c | a | issue 1\n", 1, "no test has this name"),
        ("twin", "twin | c | a | issue 1\n", 1, "2 tests have this name"),
        (
            "doubled",
            "first | c | a | issue 1\nthird | c | a | issue 1\nfirst | c | b | issue 2\n",
            3,
            "named a second time",
        ),
        ("no-test", " | c | a | issue 3\n", 1, "not of the form"),
        ("no-command", "first |  | a | issue 3\n", 1, "not of the form"),
        ("no-cause", "first | c |  | issue 3\n", 1, "not of the form"),
        ("no-issue", "first | c | a cause\n", 1, "not of the form"),
        ("no-number", "first | c | a | issue seven\n", 1, "not of the form"),
        ("three-fields", "first | a | issue 3\n", 1, "not of the form"),
        ("five-fields", "first | c | a | b | issue 3\n", 1, "not of the form"),
    ] {
        let (success, arguments, errors) = run_script(name, Some(text));
        assert!(!success && arguments.is_empty(), "{name}: {arguments:?}");
        assert!(errors.contains(&format!("line {line}: {what}")), "{name}: {errors}");
    }
}
