//! A shared library that makes calls on sockets fail (`failing_calls.c`), built with the system's compiler and
//! preloaded into a process under test. The syntax of its rules is described in that file.
#![allow(dead_code)]

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// Builds the library, once per process.
fn library() -> &'static PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/../host/tests/interposed/failing_calls.c");
        let built = folder.join(format!("failing_calls-{}.so", std::process::id()));
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"]).arg(&built).arg(source);
        assert!(compiler.arg("-ldl").status().unwrap().success(), "the library failed to build");
        // Other test programs may build and load it at the same time.
        let library = folder.join("failing_calls.so");
        std::fs::rename(&built, &library).unwrap();
        library
    })
}

/// Makes calls of a command's process fail according to these rules.
pub fn let_calls_fail(command: &mut Command, rules: &str) {
    command.env("LD_PRELOAD", library()).env("FAILING_CALLS", rules);
}

/// Runs an ignored test of this program in a separate process whose calls fail according to these rules.
pub fn run_with_failing_calls(test: &str, rules: &str) {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", test, "--ignored", "--nocapture"]);
    let_calls_fail(&mut command, rules);
    let output = command.output().unwrap();
    let (out, err) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success() && out.contains("1 passed"), "{rules}:\n{out}\n{err}");
}
