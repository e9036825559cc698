//! `chalksill scale run`: runs each size of a scenario with all its repetitions, one run at a time.

use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime};

use chalksill_scale::real_sockets::{RealSocketsOptions, RealSocketsPlan};
use chalksill_scale::record::{self, HostKind, RunRecord};
use chalksill_scale::scenario::Scenario;
use chalksill_scale::{usage, virtual_clock};
use clap::Args;

use super::real_sockets;
use crate::{Verdict, files};

/// Interval between checks whether a run has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Length of the date in an RFC 3339 timestamp.
const DATE_LENGTH: usize = 10;

/// How a scenario's nodes run on real sockets: two are real, the others are hollow and share processes. A plan for
/// `scale real-sockets` can set other values.
const REAL_SOCKETS_OPTIONS: RealSocketsOptions =
    RealSocketsOptions { real_nodes: 2, nodes_per_process: 50, discovery_down_s: 3.0 };

/// Arguments of `scale run`.
#[derive(Args)]
pub struct Run {
    /// The scenario, a TOML file
    scenario: PathBuf,
    /// Prints the record as JSON
    #[arg(long)]
    json: bool,
    /// Writes the record to this file
    #[arg(short, long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Runs one size once in this process, and prints that run as JSON: the index of the size and the repetition, from 0
    #[arg(long, hide = true, num_args = 2, value_names = ["SIZE", "REPETITION"])]
    one: Option<Vec<u32>>,
}

/// Executes the subcommand.
pub fn execute(args: &Run) -> Result<Verdict, String> {
    let scenario = Scenario::parse(&files::text(&args.scenario)?)
        .map_err(|e| format!("{}: {e}", args.scenario.display()))?;
    if scenario.host == HostKind::RealSockets {
        let plan = RealSocketsPlan::from_scenario(&scenario, &REAL_SOCKETS_OPTIONS);
        return real_sockets::execute_plan(&plan, None, args.out.as_deref(), args.json);
    }
    let machine = usage::machine();
    virtual_clock::check(&scenario, machine.memory_bytes)
        .map_err(|e| format!("{}: {e}", args.scenario.display()))?;
    if let Some(one) = &args.one {
        return execute_one(&scenario, one[0], one[1]);
    }
    let record = RunRecord {
        version: record::VERSION,
        scenario: scenario.name.clone(),
        host: scenario.host,
        state: scenario.state,
        machine,
        commit: current_commit(),
        date: humantime::format_rfc3339(SystemTime::now()).to_string()[..DATE_LENGTH].to_owned(),
        runs: run_all(&scenario, &args.scenario)?,
    };
    let json = files::to_json(&record)?;
    if let Some(path) = &args.out {
        files::write(path, &(json.clone() + "\n"))?;
    }
    if args.json {
        println!("{json}");
    } else {
        print_record(&record);
    }
    Ok(Verdict::Good)
}

/// Runs one size once in this process.
fn execute_one(scenario: &Scenario, size: u32, repetition: u32) -> Result<Verdict, String> {
    let chosen = scenario.sizes.get(size as usize).ok_or("--one: the scenario has no such size")?;
    let run = virtual_clock::run(scenario, *chosen, repetition)?;
    println!("{}", serde_json::to_string(&run).map_err(|e| e.to_string())?);
    Ok(Verdict::Good)
}

/// Executes all repetitions of each size, each run in a process of its own so that its memory is measured alone.
fn run_all(scenario: &Scenario, path: &Path) -> Result<Vec<record::Run>, String> {
    let mut runs = Vec::new();
    let total = scenario.sizes.len() as u32 * scenario.repetitions;
    for (index, size) in scenario.sizes.iter().enumerate() {
        for repetition in 0..scenario.repetitions {
            eprintln!(
                "run {} of {total}: {} nodes, {} cache servers, {} changes per second, repetition {repetition}",
                runs.len() + 1,
                size.nodes,
                size.cache_servers,
                size.changes_per_s
            );
            let run = run_in_child(path, index, repetition, scenario.bounds.max_wall_time)?;
            eprintln!("  took {:.1} s", run.wall_s);
            runs.push(run);
        }
    }
    Ok(runs)
}

/// Executes one run in a process of its own.
fn run_in_child(
    path: &Path,
    size: usize,
    repetition: u32,
    max_wall_time: Duration,
) -> Result<record::Run, String> {
    let program =
        std::env::current_exe().map_err(|e| format!("cannot determine the path of this program: {e}"))?;
    let mut child = Command::new(program)
        .args(["scale", "run", "--one", &size.to_string(), &repetition.to_string(), "--"])
        .arg(path)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|e| format!("cannot start a run: {e}"))?;
    // The one line of output fits into the pipe, so the run can end before its output is read.
    wait_for_exit(&mut child, max_wall_time)?;
    let mut line = String::new();
    let mut output = child.stdout.take().ok_or("cannot read the output of a run")?;
    output.read_to_string(&mut line).map_err(|e| format!("invalid output of a run: {e}"))?;
    serde_json::from_str(&line).map_err(|e| format!("invalid output of a run: {e}"))
}

/// Waits until a run has ended, and kills it where it takes longer than `max_wall_time`.
fn wait_for_exit(child: &mut Child, max_wall_time: Duration) -> Result<(), String> {
    let begin = Instant::now();
    loop {
        match child.try_wait().map_err(|e| format!("cannot wait for a run: {e}"))? {
            Some(status) if status.success() => return Ok(()),
            Some(status) => return Err(format!("a run failed: {status}")),
            None if begin.elapsed() > max_wall_time => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(format!("a run took more than {max_wall_time:?} and was killed (bounds.wall_s)"));
            }
            None => std::thread::sleep(POLL_INTERVAL),
        }
    }
}

/// The commit of the working directory as `git describe` names it, or "unknown".
pub(super) fn current_commit() -> String {
    let output =
        Command::new("git").args(["describe", "--always", "--dirty", "--abbrev=12", "--exclude=*"]).output();
    let output = output.ok().filter(|output| output.status.success());
    output.map_or("unknown".into(), |output| String::from_utf8_lossy(&output.stdout).trim().to_owned())
}

/// Prints a record as text.
pub(super) fn print_record(record: &RunRecord) {
    println!("{}, {:?}, {:?}, commit {}", record.scenario, record.host, record.state, record.commit);
    for run in &record.runs {
        let size = &run.size;
        println!(
            "{} nodes at {} sites in {} zones of {} regions, {} cache servers, {} changes per second; repetition {}, \
             {:.0} s measured in {:.1} s",
            size.nodes,
            size.sites,
            size.zones,
            size.regions,
            size.cache_servers,
            size.changes_per_s,
            run.repetition,
            run.measured_s,
            run.wall_s
        );
        print_roles(run);
        for sum in &run.sums {
            println!(
                "  {:<22} bound {:>9.0}  allowed {:>9.0}  peak {:>9.0}",
                format!("{:?}", sum.limit),
                sum.bound,
                sum.allowed,
                sum.peak
            );
        }
        for spread in &run.spreads {
            println!(
                "  {:<22} {} of {} acted: p50 {:.3} s, p99 {:.3} s, last {:.3} s",
                format!("{:?}", spread.change),
                spread.acted,
                spread.expected,
                spread.p50_s,
                spread.p99_s,
                spread.last_s
            );
        }
    }
}

fn print_roles(run: &record::Run) {
    println!(
        "  {:<22} {:>7} {:>9} {:>9} {:>10} {:>10} {:>8} {:>8} {:>7}",
        "role", "members", "msg/s in", "msg/s out", "B/s in", "B/s out", "core %", "MB", "conns"
    );
    let optional = |value: Option<f64>, digits| value.map_or("-".to_owned(), |v| format!("{v:.digits$}"));
    for (role, cost) in &run.roles {
        let cpu = cost.user_cpu.zip(cost.system_cpu).map(|(user, system)| 100.0 * (user + system));
        println!(
            "  {:<22} {:>7} {:>9.2} {:>9.2} {:>10.1} {:>10.1} {:>8} {:>8} {:>7.1}",
            format!("{role:?}"),
            cost.members,
            cost.messages_in_per_s,
            cost.messages_out_per_s,
            cost.bytes_in_per_s,
            cost.bytes_out_per_s,
            optional(cpu, 4),
            optional(cost.resident_bytes.map(|b| b / 1e6), 3),
            cost.connections
        );
    }
}
