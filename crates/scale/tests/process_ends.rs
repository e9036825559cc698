//! A run on real sockets ends only once each of its processes has ended, those of its workers included.
#![allow(missing_docs)]

mod commands;

use std::process::Output;

use chalksill_scale::record::FleetState;
use commands::{PROCESSES, StartedCommand, children, plan, processes, start, wait_until};
use nix::sys::prctl::set_child_subreaper;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Waits for the end of a command. What its processes have left to the nearest subreaper, which is this test,
/// stays visible here, for nobody collects it.
fn end_of(command: StartedCommand) -> Output {
    let output = command.child.wait_with_output().unwrap();
    let left = children();
    assert!(left.is_empty(), "not waited for: {left:?}");
    output
}

/// A real node was killed as its supervisor exited, and nobody waited for its end: on a busy machine it still
/// ran when the command had ended.
#[test]
fn a_command_waits_for_the_end_of_each_process_that_it_or_its_workers_started() {
    set_child_subreaper(true).unwrap();
    let output = end_of(start(&plan("waits-completed", FleetState::Calm, 0.5)));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));

    let mut long = plan("waits-interrupted", FleetState::Calm, 60.0);
    long.settle_s = 60.0;
    let command = start(&long);
    let id = command.child.id();
    wait_until("all processes run", || processes(id, &long.name).len() == PROCESSES);
    kill(Pid::from_raw(id as i32), Signal::SIGINT).unwrap();
    let output = end_of(command);
    assert_eq!(output.status.code(), Some(2), "{}", String::from_utf8_lossy(&output.stderr));
}
