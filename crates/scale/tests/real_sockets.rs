//! Runs on real sockets: they complete, count the traffic, stay within their limits, and leave no processes
//! behind however the command ends.
#![allow(missing_docs)]

mod commands;

use std::process::Output;
use std::time::Instant;

use chalksill_scale::real_sockets::{
    MachineLimits, Programs, RealSocketsError, RealSocketsPlan, Resource, ResourceExceeded, check_resources,
    run,
};
use chalksill_scale::record::{FleetState, Role, RoleCost, Run, RunRecord};
use commands::{FoundProcess, HANG_TIMEOUT, PROCESSES, StartedCommand, plan, processes, start, wait_until};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

fn run_command(plan: &RealSocketsPlan) -> (Output, Option<RunRecord>, Vec<FoundProcess>) {
    let StartedCommand { child, record } = start(plan);
    let command = child.id();
    let output = child.wait_with_output().unwrap();
    let record = std::fs::read(record).ok().map(|text| serde_json::from_slice(&text).unwrap());
    (output, record, processes(command, &plan.name))
}

fn run_successfully(plan: &RealSocketsPlan) -> Run {
    let begin = Instant::now();
    let (output, record, left) = run_command(plan);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(left.is_empty(), "processes are left: {left:?}");
    assert!(begin.elapsed() < HANG_TIMEOUT, "the run did not complete in time");
    let mut record = record.expect("a record");
    assert_eq!(record.runs.len(), 1);
    record.runs.remove(0)
}

fn assert_within(value: f64, min: f64, max: f64, what: &str) {
    assert!((min..=max).contains(&value), "{what}: {value} is not within {min} to {max}");
}

fn assert_traffic_both_ways(cost: &RoleCost, what: &str) {
    assert_within(cost.messages_in_per_s, 0.5, 200.0, what);
    assert_within(cost.messages_out_per_s, 0.5, 200.0, what);
    assert_within(cost.bytes_in_per_s, 10.0, 20_000.0, what);
    assert_within(cost.bytes_out_per_s, 10.0, 20_000.0, what);
}

#[test]
fn a_tiny_run_completes_without_leftover_processes_and_counts_both_kinds_of_nodes() {
    let run = run_successfully(&plan("tiny", FleetState::Calm, 2.0));
    assert_within(run.measured_s, 2.0, 4.0, "measured seconds");
    assert_eq!((run.size.nodes, run.size.cache_servers), (5, 3));
    let (hollow, real) = (&run.roles[&Role::HollowNode], &run.roles[&Role::RealNode]);
    assert_eq!((hollow.members, real.members), (4, 1));
    assert_traffic_both_ways(hollow, "hollow node");
    assert_traffic_both_ways(real, "real node");
    assert_within(hollow.connections, 1.0, 2.0, "connections of a hollow node");
    assert_within(hollow.resident_bytes.unwrap(), 1e5, 32e6, "memory of a hollow node");
    assert_within(real.resident_bytes.unwrap(), 1e6, 64e6, "memory of a real node");
    let cpu = |cost: &RoleCost| cost.user_cpu.unwrap() + cost.system_cpu.unwrap();
    assert_within(cpu(hollow), 1e-5, 0.2, "processor time of a hollow node");
    assert_within(cpu(real), 1e-5, 0.5, "processor time of a real node");
    let discovery = &run.roles[&Role::Discovery];
    assert_within(discovery.connections, 5.0, 10.0, "connections of discovery");
    // Both ends of the same connections: discovery has sent what the nodes receive from it.
    assert_within(discovery.bytes_out_per_s, 100.0, 5.0 * hollow.bytes_in_per_s, "discovery's bytes");
    let leaders = run.roles[&Role::AgreementLeader].members;
    assert_eq!((leaders, run.roles[&Role::AgreementVoter].members), (1, 2));
    let (leader, follower) = (&run.roles[&Role::AgreementLeader], &run.roles[&Role::AgreementFollower]);
    assert!(leader.messages_out_per_s > follower.messages_out_per_s, "{leader:?} {follower:?}");
}

#[test]
fn all_watches_return_after_a_discovery_restart_and_the_time_is_recorded() {
    let run = run_successfully(&plan("restart", FleetState::DiscoveryRestart, 2.0));
    let [spread] = run.spreads.as_slice() else { panic!("{:?}", run.spreads) };
    assert_eq!((spread.acted, spread.expected), (4, 4));
    assert!(spread.p50_s <= spread.p99_s && spread.p99_s <= spread.last_s, "{spread:?}");
    assert_within(spread.last_s, 0.0, 10.0, "seconds until all were back");
}

#[test]
fn a_killed_command_leaves_no_processes() {
    let mut long = plan("killed", FleetState::Calm, 60.0);
    long.settle_s = 60.0;
    let mut started = start(&long);
    let command = started.child.id();
    wait_until("all processes run", || processes(command, &long.name).len() == PROCESSES);
    started.child.kill().unwrap();
    started.child.wait().unwrap();
    wait_until("all processes have ended", || processes(command, &long.name).is_empty());
}

#[test]
fn an_interrupted_command_ends_all_processes_before_it_exits() {
    let mut long = plan("interrupted", FleetState::Calm, 60.0);
    long.settle_s = 60.0;
    let started = start(&long);
    let command = started.child.id();
    wait_until("all processes run", || processes(command, &long.name).len() == PROCESSES);
    kill(Pid::from_raw(command as i32), Signal::SIGINT).unwrap();
    let output = started.child.wait_with_output().unwrap();
    let left = processes(command, &long.name);
    assert!(left.is_empty(), "processes are left: {left:?}");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("interrupted; all started processes have ended"), "{stderr}");
}

/// The real node of a supervisor that did not end in time was left behind, for good, when that was killed.
#[test]
fn the_nodes_of_a_supervisor_that_does_not_end_are_ended_with_it() {
    let mut long = plan("stopped", FleetState::Calm, 60.0);
    long.settle_s = 60.0;
    let started = start(&long);
    let command = started.child.id();
    let real_node = || {
        let found = processes(command, &long.name);
        found.into_iter().find(|process| process.description.starts_with("mothpier"))
    };
    wait_until("the real node runs", || real_node().is_some());
    let supervisor = real_node().unwrap().parent;
    kill(Pid::from_raw(supervisor as i32), Signal::SIGSTOP).unwrap();
    kill(Pid::from_raw(command as i32), Signal::SIGINT).unwrap();
    let output = started.child.wait_with_output().unwrap();
    let left = processes(command, &long.name);
    assert!(left.is_empty(), "processes are left: {left:?}");
    assert_eq!(output.status.code(), Some(2));
}

const UNLIMITED: MachineLimits = MachineLimits { memory: u64::MAX, descriptors: u64::MAX, ports: u64::MAX };

fn plan_with_nodes(hollow_nodes: u32, real_nodes: u32) -> RealSocketsPlan {
    let mut plan = plan("bounds", FleetState::Calm, 1.0);
    plan.sizes[0].hollow_nodes = hollow_nodes;
    plan.sizes[0].real_nodes = real_nodes;
    plan
}

fn exceeded_resource(plan: &RealSocketsPlan, allowed: &MachineLimits) -> ResourceExceeded {
    match check_resources(plan, allowed) {
        Err(RealSocketsError::Resource(exceeded)) => exceeded,
        other => panic!("{other:?}"),
    }
}

#[test]
fn exceeded_limits_are_reported_with_needed_and_allowed_values() {
    assert_eq!(check_resources(&plan_with_nodes(4, 1), &UNLIMITED), Ok(()));
    // The limit is 200: 194 real nodes, one worker of hollow nodes, and five other processes.
    assert_eq!(check_resources(&plan_with_nodes(2, 194), &UNLIMITED), Ok(()));
    let processes = exceeded_resource(&plan_with_nodes(2, 195), &UNLIMITED);
    assert_eq!(processes, ResourceExceeded { resource: Resource::Processes, needed: 201, allowed: 200 });
    let message = "the run needs 201 processes, and 200 are allowed";
    assert_eq!(RealSocketsError::Resource(processes).to_string(), message);

    let memory =
        exceeded_resource(&plan_with_nodes(100, 2), &MachineLimits { memory: 500 << 20, ..UNLIMITED });
    assert_eq!((memory.resource, memory.allowed), (Resource::Memory, 500 << 20));
    assert!(memory.needed > 100 << 20, "{memory:?}");

    let mut one_process = plan_with_nodes(200, 0);
    one_process.nodes_per_process = 200;
    let descriptors = exceeded_resource(&one_process, &MachineLimits { descriptors: 1024, ..UNLIMITED });
    assert_eq!(
        descriptors,
        ResourceExceeded { resource: Resource::Descriptors, needed: 200 * 6 + 32, allowed: 1024 }
    );

    let ports = exceeded_resource(&plan_with_nodes(200, 0), &MachineLimits { ports: 300, ..UNLIMITED });
    assert_eq!((ports.resource, ports.allowed), (Resource::Ports, 300));
    assert!(ports.needed >= 400, "{ports:?}");
}

#[test]
fn limits_are_checked_before_anything_is_started() {
    // These programs cannot be started; trying to start them would be another error.
    let programs = Programs { chalksill: "/none/chalksill".into(), mothpier: "/none/mothpier".into() };
    let result = run(&plan_with_nodes(2, 195), &programs, "none", |_| {});
    let exceeded = ResourceExceeded { resource: Resource::Processes, needed: 201, allowed: 200 };
    assert_eq!(result, Err(RealSocketsError::Resource(exceeded)));
    let result = run(&plan_with_nodes(2, 1), &programs, "none", |_| {});
    assert!(matches!(result, Err(RealSocketsError::Worker(_))), "{result:?}");
}

#[test]
fn an_invalid_plan_is_rejected_with_its_reason() {
    let (output, record, left) =
        run_command(&RealSocketsPlan { name: "senseless".into(), ..plan("", FleetState::ZoneLost, 1.0) });
    assert_eq!((output.status.code(), record, left), (Some(2), None, Vec::new()));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("only calm and discovery-restart"), "{stderr}");
}
