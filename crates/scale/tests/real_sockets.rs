//! Runs on real sockets: they end by themselves, count what there is to count, keep to their bounds, and leave no process behind
//! whatever becomes of the command.
#![allow(missing_docs)]

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use chalksill_scale::real_sockets::{
    Allowed, Bound, BoundExceeded, Programs, RealSocketsError, RealSocketsPlan, SizePlan, check, run,
};
use chalksill_scale::record::{FleetState, Role, RoleCost, Run, RunRecord};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Only what has hung waits for so long.
const HUNG: Duration = Duration::from_secs(60);
/// Between two looks for a fact.
const LOOK: Duration = Duration::from_millis(50);
/// Marks all processes of one command but the daemons, whose environment is their own.
const MARK: &str = "SCALE_TEST_MARK";

fn plan(name: &str, state: FleetState, measured_s: f64) -> RealSocketsPlan {
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

/// A program of this workspace, beside the tests' own folder.
fn program(name: &str) -> PathBuf {
    let here = std::env::current_exe().unwrap();
    let program = here.parent().and_then(Path::parent).unwrap().join(name);
    assert!(program.is_file(), "{name} is not built: cargo build -p {name}");
    program
}

struct Started {
    child: Child,
    record: PathBuf,
}

/// Starts the command on a plan.
fn start(plan: &RealSocketsPlan) -> Started {
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
        .env(MARK, &plan.name)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    Started { child, record }
}

fn play(plan: &RealSocketsPlan) -> (Output, Option<RunRecord>, Vec<u32>) {
    let Started { child, record } = start(plan);
    let command = child.id();
    let output = child.wait_with_output().unwrap();
    let record = std::fs::read(record).ok().map(|text| serde_json::from_slice(&text).unwrap());
    (output, record, processes(command, &plan.name))
}

fn played(plan: &RealSocketsPlan) -> Run {
    let begin = Instant::now();
    let (output, record, left) = play(plan);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(left.is_empty(), "processes are left: {left:?}");
    assert!(begin.elapsed() < HUNG, "it did not end by its own time");
    let mut record = record.expect("a record");
    assert_eq!(record.runs.len(), 1);
    record.runs.remove(0)
}

/// Processes that a command started and that still run, itself not counted.
fn processes(command: u32, mark: &str) -> Vec<u32> {
    let mark = format!("{MARK}={mark}");
    let daemon = format!("/chalksill-scale-{command}-");
    let of_ours = |process: &u32| {
        let environment = std::fs::read(format!("/proc/{process}/environ")).unwrap_or_default();
        let mut variables = environment.split(|byte| *byte == 0).map(String::from_utf8_lossy);
        variables.any(|v| v == mark || (v.starts_with("ROUTER_CONFIG=") && v.contains(&daemon)))
    };
    let names =
        std::fs::read_dir("/proc").unwrap().filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    names.filter_map(|name| name.parse().ok()).filter(|p| *p != command).filter(of_ours).collect()
}

fn until(what: &str, fact: impl Fn() -> bool) {
    let end = Instant::now() + HUNG;
    while !fact() {
        assert!(Instant::now() < end, "not within {HUNG:?}: {what}");
        std::thread::sleep(LOOK);
    }
}

fn within(figure: f64, least: f64, most: f64, what: &str) {
    assert!((least..=most).contains(&figure), "{what}: {figure} is not within {least} to {most}");
}

fn both_ways(cost: &RoleCost, what: &str) {
    within(cost.messages_in_per_s, 0.5, 200.0, what);
    within(cost.messages_out_per_s, 0.5, 200.0, what);
    within(cost.bytes_in_per_s, 10.0, 20_000.0, what);
    within(cost.bytes_out_per_s, 10.0, 20_000.0, what);
}

#[test]
fn a_tiny_run_ends_by_itself_leaves_no_process_and_counts_both_kinds_of_nodes() {
    let run = played(&plan("tiny", FleetState::Calm, 2.0));
    within(run.measured_s, 2.0, 4.0, "measured seconds");
    assert_eq!((run.size.nodes, run.size.cache_servers), (5, 3));
    let (hollow, real) = (&run.roles[&Role::HollowNode], &run.roles[&Role::RealNode]);
    assert_eq!((hollow.members, real.members), (4, 1));
    both_ways(hollow, "hollow node");
    both_ways(real, "real node");
    within(hollow.connections, 1.0, 2.0, "connections of a hollow node");
    within(hollow.resident_bytes.unwrap(), 1e5, 32e6, "memory of a hollow node");
    within(real.resident_bytes.unwrap(), 1e6, 64e6, "memory of a real node");
    let cpu = |cost: &RoleCost| cost.user_cpu.unwrap() + cost.system_cpu.unwrap();
    within(cpu(hollow), 1e-5, 0.2, "processor time of a hollow node");
    within(cpu(real), 1e-5, 0.5, "processor time of a real node");
    let discovery = &run.roles[&Role::Discovery];
    within(discovery.connections, 5.0, 10.0, "connections of discovery");
    // Both sides of the same connections: what nodes hear of discovery, it has said.
    within(discovery.bytes_out_per_s, 100.0, 5.0 * hollow.bytes_in_per_s, "discovery's bytes");
    let leaders = run.roles[&Role::AgreementLeader].members;
    assert_eq!((leaders, run.roles[&Role::AgreementVoter].members), (1, 2));
    let (leader, follower) = (&run.roles[&Role::AgreementLeader], &run.roles[&Role::AgreementFollower]);
    assert!(leader.messages_out_per_s > follower.messages_out_per_s, "{leader:?} {follower:?}");
}

#[test]
fn after_a_restart_of_discovery_all_watches_are_open_again_and_the_time_is_told() {
    let run = played(&plan("restart", FleetState::DiscoveryRestart, 2.0));
    let [spread] = run.spreads.as_slice() else { panic!("{:?}", run.spreads) };
    assert_eq!((spread.acted, spread.expected), (4, 4));
    assert!(spread.p50_s <= spread.p99_s && spread.p99_s <= spread.last_s, "{spread:?}");
    within(spread.last_s, 0.0, 10.0, "seconds until all were back");
}

#[test]
fn a_killed_command_leaves_no_process() {
    let mut long = plan("killed", FleetState::Calm, 60.0);
    long.settle_s = 60.0;
    let mut started = start(&long);
    let command = started.child.id();
    // Two of hollow nodes, one that idles, discovery, cache servers, the keeper of the real node, and that node.
    until("all processes run", || processes(command, &long.name).len() == 7);
    started.child.kill().unwrap();
    started.child.wait().unwrap();
    until("all processes have ended", || processes(command, &long.name).is_empty());
}

#[test]
fn an_interrupted_command_has_ended_all_processes_when_it_ends() {
    let mut long = plan("interrupted", FleetState::Calm, 60.0);
    long.settle_s = 60.0;
    let started = start(&long);
    let command = started.child.id();
    until("all processes run", || processes(command, &long.name).len() == 7);
    kill(Pid::from_raw(command as i32), Signal::SIGINT).unwrap();
    let output = started.child.wait_with_output().unwrap();
    let left = processes(command, &long.name);
    assert!(left.is_empty(), "processes are left: {left:?}");
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains("interrupted; all that was started has ended"), "{said}");
}

const PLENTY: Allowed = Allowed { memory: u64::MAX, descriptors: u64::MAX, ports: u64::MAX };

fn sized(hollow_nodes: u32, real_nodes: u32) -> RealSocketsPlan {
    let mut plan = plan("bounds", FleetState::Calm, 1.0);
    plan.sizes[0].hollow_nodes = hollow_nodes;
    plan.sizes[0].real_nodes = real_nodes;
    plan
}

fn refused(plan: &RealSocketsPlan, allowed: &Allowed) -> BoundExceeded {
    match check(plan, allowed) {
        Err(RealSocketsError::Bound(exceeded)) => exceeded,
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_bound_is_refused_with_what_is_needed_and_what_is_allowed() {
    assert_eq!(check(&sized(4, 1), &PLENTY), Ok(()));
    // One more than 200: 195 real ones, a process of hollow ones, and five beside.
    assert_eq!(check(&sized(2, 194), &PLENTY), Ok(()));
    let processes = refused(&sized(2, 195), &PLENTY);
    assert_eq!(processes, BoundExceeded { bound: Bound::Processes, wanted: 201, allowed: 200 });
    let told = "the run needs 201 processes, and 200 are allowed";
    assert_eq!(RealSocketsError::Bound(processes).to_string(), told);

    let little = refused(&sized(100, 2), &Allowed { memory: 500 << 20, ..PLENTY });
    assert_eq!((little.bound, little.allowed), (Bound::Memory, 500 << 20));
    assert!(little.wanted > 100 << 20, "{little:?}");

    let mut crowded = sized(200, 0);
    crowded.nodes_per_process = 200;
    let few = refused(&crowded, &Allowed { descriptors: 1024, ..PLENTY });
    assert_eq!(few, BoundExceeded { bound: Bound::Descriptors, wanted: 200 * 6 + 32, allowed: 1024 });

    let ports = refused(&sized(200, 0), &Allowed { ports: 300, ..PLENTY });
    assert_eq!((ports.bound, ports.allowed), (Bound::Ports, 300));
    assert!(ports.wanted >= 400, "{ports:?}");
}

#[test]
fn bounds_are_checked_before_anything_is_started() {
    // Programs that can't be started: to come to them would be another error.
    let programs = Programs { chalksill: "/none/chalksill".into(), mothpier: "/none/mothpier".into() };
    let refused = run(&sized(2, 195), &programs, "none", |_| {});
    let exceeded = BoundExceeded { bound: Bound::Processes, wanted: 201, allowed: 200 };
    assert_eq!(refused, Err(RealSocketsError::Bound(exceeded)));
    let within = run(&sized(2, 1), &programs, "none", |_| {});
    assert!(matches!(within, Err(RealSocketsError::Worker(_))), "{within:?}");
}

#[test]
fn a_plan_that_makes_no_sense_is_refused_with_its_reason() {
    let (output, record, left) =
        play(&RealSocketsPlan { name: "senseless".into(), ..plan("", FleetState::ZoneLost, 1.0) });
    assert_eq!((output.status.code(), record, left), (Some(2), None, Vec::new()));
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains("only calm and discovery-restart"), "{said}");
}
