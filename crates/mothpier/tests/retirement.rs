//! Drains and shutdowns that coincide with each other, with a reload, with a paused process or with a full node.
#![allow(missing_docs)]

mod harness;
mod usage_patterns;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;
use usage_patterns::{Client, LoadedNode, MAX_HOLD, UsagePattern, server, sleep_until};

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Time between a drain and the SIGTERM that follows it.
const DELAYS: [Duration; 4] = [ms(0), ms(300), ms(1200), ms(3900)];
/// How long the node's process is paused at each step: at most this long may pass between its reading the clock and its
/// writing to a socket.
const PAUSE: Duration = ms(150);
/// Clients that together cover every connection state that a drain can find.
const PATTERNS: [(UsagePattern, &str); 8] = [
    (UsagePattern::Silent, "fast"),
    (UsagePattern::IdleAfterRequest, "fast"),
    (UsagePattern::ClosedLoop, "fast"),
    (UsagePattern::Overlaps(3), "slow"),
    (UsagePattern::Overlaps(16), "fast"),
    (UsagePattern::StartsLate(ms(1700)), "fast"),
    (UsagePattern::ByteByByte, "fast"),
    (UsagePattern::Uploads, "fast"),
];

/// Joins cases that run in parallel; none may report a violation.
fn assert_no_violations(cases: Vec<thread::JoinHandle<Vec<String>>>) {
    let violations: Vec<String> = cases.into_iter().flat_map(|case| case.join().unwrap()).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn sigterm_during_a_drain_ends_the_process_in_time() {
    assert_no_violations(
        DELAYS
            .into_iter()
            .map(|delay| {
                thread::spawn(move || {
                    let name = format!("sigterm-in-drain-{}", delay.as_millis());
                    let mut loaded_node = LoadedNode::new(&name, &PATTERNS);
                    let drained = loaded_node.drain();
                    sleep_until(drained, delay);
                    let terminated = Instant::now();
                    loaded_node.node.signal("TERM");
                    loaded_node.violations_after_kill(&name, terminated)
                })
            })
            .collect(),
    );
}

#[test]
fn a_drain_during_shutdown_does_not_change_the_shutdown() {
    assert_no_violations(
        [ms(0), ms(300), ms(1200), ms(2900)]
            .into_iter()
            .map(|delay| {
                thread::spawn(move || {
                    let name = format!("drain-in-sigterm-{}", delay.as_millis());
                    let mut loaded_node = LoadedNode::new(&name, &PATTERNS);
                    let terminated = Instant::now();
                    loaded_node.start_of_drain.lock().unwrap().get_or_insert(terminated);
                    loaded_node.node.signal("TERM");
                    loaded_node.node.wait_for_log("stopping");
                    sleep_until(terminated, delay);
                    // The call succeeds as long as the process exists.
                    if loaded_node.node.child.try_wait().unwrap().is_none() {
                        assert_eq!(loaded_node.node.status("PUT /drain"), 200);
                    }
                    loaded_node.violations_after_kill(&name, terminated)
                })
            })
            .collect(),
    );
}

#[test]
fn of_rapid_drains_and_undrains_the_last_one_applies() {
    assert_no_violations(
        [ms(0), ms(40), ms(350), ms(1000)]
            .into_iter()
            .map(|delay| {
                thread::spawn(move || {
                    let loaded_node = LoadedNode::new(&format!("series-{}", delay.as_millis()), &PATTERNS);
                    for _ in 0..2 {
                        loaded_node.drain();
                        thread::sleep(delay);
                        assert_eq!(loaded_node.node.status("PUT /undrain"), 200);
                        assert_eq!(loaded_node.node.client().ask(&["PING"]), "+PONG");
                    }
                    let began = loaded_node.drain();
                    assert!(loaded_node.node.client().ask(&["PING"]).starts_with("-ERR"));
                    loaded_node.violations_after_drain(began)
                })
            })
            .collect(),
    );
}

#[test]
fn an_undrain_keeps_the_connections_that_are_still_open() {
    let loaded_node = LoadedNode::new("undrain-keeps", &PATTERNS);
    let mut idle_client = loaded_node.node.client();
    assert_eq!(idle_client.ask(&["PING"]), "+PONG");
    loaded_node.drain();
    // After the drain's first closes, and before it closes idle connections.
    thread::sleep(ms(800));
    assert_eq!(loaded_node.node.status("PUT /undrain"), 200);
    thread::sleep(ms(1500));
    assert_eq!(idle_client.ask(&["PING"]), "+PONG", "a client that was idle during the drain");
    assert_eq!(idle_client.ask(&["CACHE.GET", "fast-k", "id", "c=read,t=acme,d=9000"]), "$id");
    // A later drain starts its own schedule: no connection closes at once because of an answer in the first drain.
    loaded_node.drain();
    thread::sleep(ms(100));
    assert!(!idle_client.has_ended());
}

#[test]
fn a_reload_does_not_affect_a_drain() {
    let loaded_node = LoadedNode::new("reload-in-drain", &PATTERNS);
    let began = loaded_node.drain();
    for age in [ms(100), ms(900), ms(1900)] {
        sleep_until(began, age);
        loaded_node.node.signal("HUP");
        loaded_node.node.wait_for_log("configuration read again");
    }
    assert_no_violations(vec![thread::spawn(move || loaded_node.violations_after_drain(began))]);
}

#[test]
fn a_node_paused_at_every_step_of_a_drain_closes_connections_in_time() {
    assert_no_violations(
        [[100, 1150, 1750, 3550], [250, 1100, 1700, 3600], [0, 700, 1790, 3720]]
            .into_iter()
            .enumerate()
            .map(|(number, steps)| {
                thread::spawn(move || {
                    let loaded_node = LoadedNode::new(&format!("held-up-{number}"), &PATTERNS);
                    let began = loaded_node.drain();
                    for step in steps {
                        sleep_until(began, ms(step));
                        loaded_node.node.signal("STOP");
                        thread::sleep(PAUSE);
                        loaded_node.node.signal("CONT");
                    }
                    loaded_node.violations_after_drain(began)
                })
            })
            .collect(),
    );
}

#[test]
fn a_drain_before_the_first_list_closes_connections_in_time() {
    // Discovery never answers: this listener accepts connections, and nobody reads from them.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut command = node_command("drained-early", silent.local_addr().unwrap(), 1024, "");
    command.env("ROUTER_OPS", "127.0.0.1:0");
    let node = Node::spawn(command);
    let start_of_drain = Arc::new(Mutex::new(None));
    let start = |(number, (pattern, kind)): (usize, &(UsagePattern, &'static str))| {
        Client::start(node.address, number, *pattern, kind, start_of_drain.clone())
    };
    let clients: Vec<Client> = PATTERNS.iter().enumerate().map(start).collect();
    thread::sleep(ms(200));
    let began = Instant::now();
    *start_of_drain.lock().unwrap() = Some(began);
    assert_eq!(node.status("PUT /drain"), 200);
    sleep_until(began, MAX_HOLD);
    let held: Vec<_> = clients.iter().filter_map(|client| client.violation_after_drain(began)).collect();
    assert!(held.is_empty(), "{}", held.join("\n"));
    assert!(node.client().ask(&["PING"]).starts_with("-ERR"));
}

#[test]
fn connections_queued_at_a_full_node_are_closed_in_time() {
    let discovery = Discovery::start(&member("s-1", server().0, "m", "ready"));
    let path = scratch_path("full-drain.json");
    std::fs::write(&path, config("full-drain", discovery.address, 64)).unwrap();
    let mut command = node_command("full-drain", discovery.address, 64, "");
    command.env("ROUTER_OPS", "127.0.0.1:0").env("ROUTER_CONFIG", path);
    let node = Node::run(command, &discovery);
    node.wait_until_ready();
    let start_of_drain = Arc::new(Mutex::new(None));
    let clients: Vec<Client> = (0..200)
        .map(|number| {
            Client::start(node.address, number, UsagePattern::Silent, "fast", start_of_drain.clone())
        })
        .collect();
    let began = Instant::now();
    assert_eq!(node.status("PUT /drain"), 200);
    sleep_until(began, MAX_HOLD);
    let held = clients.iter().filter(|client| client.violation_after_drain(began).is_some()).count();
    assert_eq!(held, 0, "of {}", clients.len());
}

#[test]
fn a_drain_shows_in_the_log_and_in_the_metrics() {
    let loaded_node = LoadedNode::new("drain-log", &PATTERNS);
    let began = loaded_node.drain();
    let held = loaded_node.violations_after_drain(began);
    assert!(held.is_empty(), "{held:?}");
    for step in ["after_ms=0 ", "after_ms=300 ", "after_ms=1200 ", "after_ms=2000 ", "after_ms=4000 "] {
        let line = loaded_node.node.wait_for_log(step);
        assert!(
            line.contains("event=retirement cause=drain step=count ") && line.contains(" open="),
            "{line}"
        );
    }
    let closed = loaded_node.node.metric("edge_router_connections_closed_total{reason=\"drained\"}");
    assert!(closed.is_some_and(|closed| closed >= 4), "{closed:?}");
    assert_eq!(
        loaded_node.node.metric("edge_router_connections_closed_total{reason=\"retirement_over\"}"),
        Some(0)
    );
}
