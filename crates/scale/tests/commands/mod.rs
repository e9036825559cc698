//! The command `chalksill scale real-sockets` as tests run it, and the processes that it starts.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use chalksill_scale::real_sockets::{RealSocketsPlan, SizePlan};
use chalksill_scale::record::FleetState;

/// Time after which something that should take a few seconds is considered hung.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Processes that the command starts for [`plan`]: two workers of hollow nodes, the idle one, discovery, the cache servers,
/// the supervisor of the real node, and that node.
pub const PROCESSES: usize = 7;
/// Environment variable that marks all processes of one command except the daemons, which have their own
/// environment.
const MARK_VARIABLE: &str = "SCALE_TEST_MARK";

/// The mark of a plan's command, which differs from that of the same test in another run of the tests.
fn mark(plan: &str) -> String {
    format!("{plan}-{}", std::process::id())
}

/// A plan of the smallest fleet that has all kinds of processes.
pub fn plan(name: &str, state: FleetState, measured_s: f64) -> RealSocketsPlan {
    RealSocketsPlan {
        name: name.into(),
        state,
        sizes: vec![SizePlan {
            hollow_nodes: 4,
            real_nodes: 1,
            sites: 2,
            zones: 2,
            regions: 1,
            cache_servers: 3,
            changes_per_s: 2.0,
        }],
        repetitions: 1,
        seed: 1,
        settle_s: 0.2,
        measured_s,
        agreement: true,
        load_per_real_node: 5.0,
        nodes_per_process: 2,
        discovery_down_s: 0.5,
    }
}

/// A program of this workspace, in the parent of the tests' own folder.
fn program(name: &str) -> PathBuf {
    let current = std::env::current_exe().unwrap();
    let program = current.parent().and_then(Path::parent).unwrap().join(name);
    assert!(program.is_file(), "{name} is not built: cargo build -p {name}");
    program
}

/// A running command.
pub struct StartedCommand {
    /// Its process.
    pub child: Child,
    /// Where it writes its record.
    pub record: PathBuf,
}

/// Starts the command with a plan.
pub fn start(plan: &RealSocketsPlan) -> StartedCommand {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let own = |ending| folder.join(format!("{}-{}.{ending}", plan.name, std::process::id()));
    let (file, record) = (own("toml"), own("json"));
    let _ = std::fs::remove_file(&record);
    std::fs::write(&file, toml::to_string(plan).unwrap()).unwrap();
    program("mothpier");
    let child = Command::new(program("chalksill"))
        .args(["scale", "real-sockets"])
        .arg(file)
        .arg("--out")
        .arg(&record)
        .env(MARK_VARIABLE, mark(&plan.name))
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    StartedCommand { child, record }
}

/// A process as the kernel described it when it was found.
#[derive(Debug, PartialEq, Eq)]
pub struct FoundProcess {
    /// Its process id.
    pub id: u32,
    /// The process id of its parent.
    pub parent: u32,
    /// Its name and state, for messages.
    pub description: String,
}

impl FoundProcess {
    /// Reads `/proc/<id>/stat`: id, name in parentheses, state, parent. `None` if the process is gone.
    fn read(id: u32) -> Option<FoundProcess> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let (name, fields) = stat.split_once('(')?.1.rsplit_once(')')?;
        let mut fields = fields.split_whitespace();
        let state = fields.next()?;
        let parent = fields.next()?.parse().ok()?;
        Some(FoundProcess { id, parent, description: format!("{name}, state {state}") })
    }
}

/// All processes of the machine.
fn all_processes() -> impl Iterator<Item = u32> {
    let entries = std::fs::read_dir("/proc").unwrap();
    entries.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok())
}

/// Running processes that a command has started, without the command itself.
pub fn processes(command: u32, plan: &str) -> Vec<FoundProcess> {
    let mark = format!("{MARK_VARIABLE}={}", mark(plan));
    let daemon = format!("/chalksill-scale-{command}-");
    let is_ours = |process: &u32| {
        let environment = std::fs::read(format!("/proc/{process}/environ")).unwrap_or_default();
        let mut variables = environment.split(|byte| *byte == 0).map(String::from_utf8_lossy);
        variables.any(|v| v == mark || (v.starts_with("ROUTER_CONFIG=") && v.contains(&daemon)))
    };
    let gone = |id| FoundProcess { id, parent: 0, description: "gone since".into() };
    let found = all_processes().filter(|p| *p != command).filter(is_ours);
    found.map(|id| FoundProcess::read(id).unwrap_or_else(|| gone(id))).collect()
}

/// Child processes of this test, whether they run or have ended and wait to be collected.
pub fn children() -> Vec<FoundProcess> {
    let own = std::process::id();
    all_processes().filter_map(FoundProcess::read).filter(|process| process.parent == own).collect()
}

/// Waits for a condition.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + HANG_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "not within {HANG_TIMEOUT:?}: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
