//! How long a drained or ending node keeps client connections open, for clients of all usage patterns.
#![allow(missing_docs)]

mod harness;
mod usage_patterns;

use std::thread;
use std::time::Duration;

use usage_patterns::{LoadedNode, UsagePattern, sleep_until};

/// Usage patterns with the kind of keys that they ask for. Each group has its own node and cache server, because a slow
/// response delays the ones behind it on the same server connection.
const GROUPS: [&[(UsagePattern, &str)]; 4] = [
    &[
        (UsagePattern::Silent, "fast"),
        (UsagePattern::IdleAfterRequest, "fast"),
        (UsagePattern::ClosedLoop, "fast"),
        (UsagePattern::Overlaps(2), "fast"),
        (UsagePattern::Overlaps(128), "fast"),
        (UsagePattern::Bursts(400), "fast"),
        (UsagePattern::StartsLate(ms(500)), "fast"),
        (UsagePattern::StartsLate(ms(1700)), "fast"),
        (UsagePattern::StartsLate(ms(2300)), "fast"),
        (UsagePattern::ByteByByte, "fast"),
        (UsagePattern::Uploads, "fast"),
        (UsagePattern::NeverReads, "fast"),
    ],
    &[
        (UsagePattern::ClosedLoop, "usual"),
        (UsagePattern::Overlaps(2), "usual"),
        (UsagePattern::Bursts(8), "usual"),
    ],
    &[
        (UsagePattern::ClosedLoop, "slow"),
        (UsagePattern::Overlaps(2), "slow"),
        (UsagePattern::Overlaps(3), "slow"),
    ],
    &[
        (UsagePattern::ClosedLoop, "silent"),
        (UsagePattern::Overlaps(2), "silent"),
        (UsagePattern::Overlaps(8), "silent"),
    ],
];
/// The same for connections that are opened after the drain has begun.
const OPENED_AFTER_DRAIN: &[(UsagePattern, &str)] = &[
    (UsagePattern::Silent, "fast"),
    (UsagePattern::ClosedLoop, "fast"),
    (UsagePattern::Overlaps(2), "fast"),
    (UsagePattern::StartsLate(ms(1000)), "fast"),
    (UsagePattern::StartsLate(ms(2200)), "fast"),
    (UsagePattern::StartsLate(ms(2400)), "fast"),
];

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Drains a node that clients use, and returns what went wrong with their connections.
fn violations_of_drain(
    name: &str,
    patterns: &[(UsagePattern, &'static str)],
    opened_after: &[(UsagePattern, &'static str)],
) -> Vec<String> {
    let mut loaded_node = LoadedNode::new(name, patterns);
    let began = loaded_node.drain();
    // The load balancer in front of the nodes goes on sending new connections for 0.2 s.
    sleep_until(began, ms(150));
    loaded_node.start(opened_after);
    let violations = loaded_node.violations_after_drain(began);
    loaded_node.print(began);
    violations
}

#[test]
fn four_seconds_after_a_drain_no_connection_is_open_idle_or_with_a_recent_request() {
    let groups = GROUPS.into_iter().enumerate().map(|(number, patterns)| {
        let opened_after = if number == 0 { OPENED_AFTER_DRAIN } else { &[] };
        thread::spawn(move || violations_of_drain(&format!("drain-{number}"), patterns, opened_after))
    });
    let groups: Vec<_> = groups.collect();
    let violations: Vec<String> = groups.into_iter().flat_map(|group| group.join().unwrap()).collect();
    assert!(violations.is_empty(), "4 s after the drain:\n{}", violations.join("\n"));
}

/// Ends a node that clients use with SIGTERM and SIGKILL, and returns what went wrong with their connections.
fn violations_of_shutdown(
    name: &str,
    patterns: &[(UsagePattern, &'static str)],
    opened_after: &[(UsagePattern, &'static str)],
) -> Vec<String> {
    let mut loaded_node = LoadedNode::new(name, patterns);
    let began = loaded_node.mark_start();
    loaded_node.node.signal("TERM");
    // New connections arrive for 0.4 s at most.
    sleep_until(began, ms(350));
    loaded_node.start(opened_after);
    let violations = loaded_node.violations_after_kill(name, began);
    loaded_node.print(began);
    violations
}

#[test]
fn at_the_earliest_sigkill_all_that_clients_went_on_asking_is_answered() {
    let groups = GROUPS.into_iter().enumerate().map(|(number, patterns)| {
        let opened_after = if number == 0 { OPENED_AFTER_DRAIN } else { &[] };
        thread::spawn(move || violations_of_shutdown(&format!("end-{number}"), patterns, opened_after))
    });
    let groups: Vec<_> = groups.collect();
    let violations: Vec<String> = groups.into_iter().flat_map(|group| group.join().unwrap()).collect();
    assert!(violations.is_empty(), "at the end of the process:\n{}", violations.join("\n"));
}
