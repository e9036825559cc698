//! How long a drained or ending node keeps client connections open, for clients of all usage patterns.
#![allow(missing_docs)]

mod habits;
mod world;

use std::thread;
use std::time::Duration;

use habits::{Habit, Scene, wait_until};

/// Usage patterns with the kind of keys that they ask for. Each group has its own node and cache server, because a slow
/// response delays the ones behind it on the same server connection.
const GROUPS: [&[(Habit, &str)]; 4] = [
    &[
        (Habit::Silent, "fast"),
        (Habit::Rests, "fast"),
        (Habit::ClosedLoop, "fast"),
        (Habit::Overlaps(2), "fast"),
        (Habit::Overlaps(128), "fast"),
        (Habit::Bursts(400), "fast"),
        (Habit::BeginsLate(ms(500)), "fast"),
        (Habit::BeginsLate(ms(1700)), "fast"),
        (Habit::BeginsLate(ms(2300)), "fast"),
        (Habit::ByteByByte, "fast"),
        (Habit::Uploads, "fast"),
        (Habit::NeverReads, "fast"),
    ],
    &[(Habit::ClosedLoop, "usual"), (Habit::Overlaps(2), "usual"), (Habit::Bursts(8), "usual")],
    &[(Habit::ClosedLoop, "slow"), (Habit::Overlaps(2), "slow"), (Habit::Overlaps(3), "slow")],
    &[(Habit::ClosedLoop, "silent"), (Habit::Overlaps(2), "silent"), (Habit::Overlaps(8), "silent")],
];
/// The same for connections that are opened after the drain has begun.
const OPENED_LATE: &[(Habit, &str)] = &[
    (Habit::Silent, "fast"),
    (Habit::ClosedLoop, "fast"),
    (Habit::Overlaps(2), "fast"),
    (Habit::BeginsLate(ms(1000)), "fast"),
    (Habit::BeginsLate(ms(2200)), "fast"),
    (Habit::BeginsLate(ms(2400)), "fast"),
];

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Drains a node that clients use, and returns what went wrong with their connections.
fn drained_under(
    name: &str,
    habits: &[(Habit, &'static str)],
    late: &[(Habit, &'static str)],
) -> Vec<String> {
    let mut scene = Scene::new(name, habits);
    let began = scene.drain();
    // The load balancer in front of the nodes goes on sending new connections for 0.2 s.
    wait_until(began, ms(150));
    scene.start(late);
    let wrong = scene.held(began);
    scene.print(began);
    wrong
}

#[test]
fn four_seconds_after_a_drain_no_connection_is_held_idle_or_with_a_recent_request() {
    let groups = GROUPS.into_iter().enumerate().map(|(number, habits)| {
        let late = if number == 0 { OPENED_LATE } else { &[] };
        thread::spawn(move || drained_under(&format!("drain-{number}"), habits, late))
    });
    let groups: Vec<_> = groups.collect();
    let wrong: Vec<String> = groups.into_iter().flat_map(|group| group.join().unwrap()).collect();
    assert!(wrong.is_empty(), "4 s after the drain:\n{}", wrong.join("\n"));
}

/// Ends a node that clients use with SIGTERM and SIGKILL, and returns what went wrong with their connections.
fn ended_under(name: &str, habits: &[(Habit, &'static str)], late: &[(Habit, &'static str)]) -> Vec<String> {
    let mut scene = Scene::new(name, habits);
    let began = scene.begin();
    scene.node.signal("TERM");
    // New connections arrive for 0.4 s at most.
    wait_until(began, ms(350));
    scene.start(late);
    let wrong = scene.ended(name, began);
    scene.print(began);
    wrong
}

#[test]
fn at_the_earliest_sigkill_all_that_clients_went_on_asking_is_answered() {
    let groups = GROUPS.into_iter().enumerate().map(|(number, habits)| {
        let late = if number == 0 { OPENED_LATE } else { &[] };
        thread::spawn(move || ended_under(&format!("end-{number}"), habits, late))
    });
    let groups: Vec<_> = groups.collect();
    let wrong: Vec<String> = groups.into_iter().flat_map(|group| group.join().unwrap()).collect();
    assert!(wrong.is_empty(), "at the end of the process:\n{}", wrong.join("\n"));
}
