//! The script by which CI passes over tests that are known to fail, and over nothing else.
#![allow(missing_docs)]

use std::io::Write;
use std::process::{Command, Stdio};

/// What the script makes of a file: whether it went well, its arguments, and what it says.
fn passes_over(name: &str, text: Option<&str>) -> (bool, Vec<String>, String) {
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
    let first = "first | cargo test -p node first | a server that lies | issue 7";
    let second = "in::a::module | sim run a.toml --seed 5 | a race | issue 12";
    let (good, arguments, said) = passes_over("two", Some(&format!("{first}\n\n{second}")));
    assert!(good, "{said}");
    assert_eq!(arguments, ["--exact", "--skip", "first", "--skip", "in::a::module"]);
    assert!(said.contains(first) && said.contains(second), "{said}");
}

#[test]
fn any_number_of_tests_may_be_named() {
    let names = ["first", "in::a::module", "third", "fourth"];
    let text = names.map(|name| format!("{name} | cargo test {name} | x | issue 1\n")).concat();
    let (good, arguments, said) = passes_over("four", Some(&text));
    assert!(good, "{said}");
    assert_eq!(arguments.iter().filter(|argument| *argument == "--skip").count(), 4);
}

#[test]
fn a_file_with_a_fault_fails_and_says_which_line() {
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
        let (good, arguments, said) = passes_over(name, Some(text));
        assert!(!good && arguments.is_empty(), "{name}: {arguments:?}");
        assert!(said.contains(&format!("line {line}: {what}")), "{name}: {said}");
    }
}
