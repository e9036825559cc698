//! Failure injection into the daemon's system calls: the preloaded library that makes calls fail, and the file that it
//! shares with the test.

pub mod daemon;

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

const SOURCE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/interpose/failing_calls.c");

/// Offset of the word that enables failures in the shared file, in bytes.
const ENABLED_AT: u64 = 0;
/// Offset of the word that counts failed calls in the shared file, in bytes.
const FAILED_AT: u64 = 8;

/// The library, built once per process with the system's compiler.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let path = temporary(&format!("failing_calls-{}.so", std::process::id()));
        let mut compiler = Command::new("cc");
        compiler.args(["-O2", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC", "-o"]);
        let status = compiler.arg(&path).arg(SOURCE).arg("-ldl").status().expect("cc can't be started");
        assert!(status.success(), "the library can't be built");
        path
    })
}

/// Path for a temporary file. It contains the process id, because the same tests may run in parallel.
pub fn temporary(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("process-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder.join(name)
}

/// Which sockets a failure affects.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Sockets {
    All,
    Tcp,
    Udp,
    /// TCP connections that the daemon made.
    Outgoing,
    /// TCP connections that the daemon accepted.
    Incoming,
}

impl Sockets {
    fn name(self) -> &'static str {
        match self {
            Sockets::All => "",
            Sockets::Tcp => "tcp",
            Sockets::Udp => "udp",
            Sockets::Outgoing => "outgoing",
            Sockets::Incoming => "incoming",
        }
    }
}

/// Which of the matching calls fail.
#[derive(Clone, Copy)]
pub enum Pattern {
    /// The first `skip` calls succeed, the next `fail` calls fail.
    Range {
        skip: u32,
        fail: u32,
    },
    /// One in this many calls fails.
    OneIn(u32),
    All,
}

/// A kind of failure of system calls.
#[derive(Clone, Copy)]
pub struct Failure {
    /// Names of the calls, comma-separated.
    pub calls: &'static str,
    /// Name of the error, or `SHORT` for transfers of one byte.
    pub error: &'static str,
    pub pattern: Pattern,
    pub sockets: Sockets,
}

impl Failure {
    pub fn name(&self) -> String {
        let pattern = match self.pattern {
            Pattern::Range { skip, fail } => format!("{fail} after {skip}"),
            Pattern::OneIn(count) => format!("one in {count}"),
            Pattern::All => "all".into(),
        };
        format!("{} {} {pattern} {}", self.calls, self.error, self.sockets.name()).trim_end().to_owned()
    }

    /// Preloads the library into the process that the command starts.
    pub fn load_into(&self, command: &mut Command, control: &Control) {
        let (skip, first, every) = match self.pattern {
            Pattern::Range { skip, fail } => (skip, fail, 1),
            Pattern::OneIn(count) => (0, 0, count),
            Pattern::All => (0, 0, 1),
        };
        command
            .env("LD_PRELOAD", library())
            .env("FAILING_CONTROL", &control.path)
            .env("FAILING_CALLS", self.calls)
            .env("FAILING_ERROR", self.error)
            .env("FAILING_SOCKETS", self.sockets.name())
            .env("FAILING_SKIP", skip.to_string())
            .env("FAILING_FIRST", first.to_string())
            .env("FAILING_EVERY", every.to_string());
    }
}

/// The file through which a test enables and counts failures. Removed on drop.
pub struct Control {
    path: PathBuf,
    file: File,
}

impl Control {
    pub fn new(name: &str) -> Self {
        let path = temporary(&format!("{name}-{}.control", std::process::id()));
        let file = File::options().read(true).write(true).create(true).truncate(true).open(&path).unwrap();
        file.write_all_at(&[0; 16], 0).unwrap();
        Control { path, file }
    }

    /// Enables or disables failures.
    pub fn enable(&self, on: bool) {
        self.file.write_all_at(&u64::from(on).to_ne_bytes(), ENABLED_AT).unwrap();
    }

    /// Number of calls that have failed so far.
    pub fn failed(&self) -> u64 {
        let mut word = [0; 8];
        self.file.read_exact_at(&mut word, FAILED_AT).unwrap();
        u64::from_ne_bytes(word)
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
