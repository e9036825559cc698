//! Drains and shutdowns that coincide with each other, with a reload, with a paused process or with a full node.
#![allow(missing_docs)]

mod habits;
mod world;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use habits::{Client, HELD_AT_MOST, Habit, Scene, server, wait_until};
use world::*;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Time between a drain and the SIGTERM that follows it.
const APART: [Duration; 4] = [ms(0), ms(300), ms(1200), ms(3900)];
/// How long the node's process is paused at each step.
const HELD_UP: Duration = ms(150);
/// Clients that together cover every connection state that a drain can find.
const HABITS: [(Habit, &str); 8] = [
    (Habit::Silent, "fast"),
    (Habit::Rests, "fast"),
    (Habit::ClosedLoop, "fast"),
    (Habit::Overlaps(3), "slow"),
    (Habit::Overlaps(16), "fast"),
    (Habit::BeginsLate(ms(1700)), "fast"),
    (Habit::ByteByByte, "fast"),
    (Habit::Uploads, "fast"),
];

/// Joins cases that run in parallel; none may report a violation.
fn none_is_wrong(cases: Vec<thread::JoinHandle<Vec<String>>>) {
    let wrong: Vec<String> = cases.into_iter().flat_map(|case| case.join().unwrap()).collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn sigterm_within_a_drain_ends_the_process_in_its_time() {
    none_is_wrong(
        APART
            .into_iter()
            .map(|apart| {
                thread::spawn(move || {
                    let name = format!("sigterm-in-drain-{}", apart.as_millis());
                    let mut scene = Scene::new(&name, &HABITS);
                    let drained = scene.drain();
                    wait_until(drained, apart);
                    let terminated = Instant::now();
                    scene.node.signal("TERM");
                    scene.ended(&name, terminated)
                })
            })
            .collect(),
    );
}

#[test]
fn a_drain_within_sigterm_changes_nothing_but_the_answer_to_ping() {
    none_is_wrong(
        [ms(0), ms(300), ms(1200), ms(2900)]
            .into_iter()
            .map(|apart| {
                thread::spawn(move || {
                    let name = format!("drain-in-sigterm-{}", apart.as_millis());
                    let mut scene = Scene::new(&name, &HABITS);
                    let terminated = Instant::now();
                    scene.told.lock().unwrap().get_or_insert(terminated);
                    scene.node.signal("TERM");
                    scene.node.logged("stopping");
                    wait_until(terminated, apart);
                    // The call succeeds as long as the process exists.
                    if scene.node.child.try_wait().unwrap().is_none() {
                        assert_eq!(scene.node.status("PUT /drain"), 200);
                    }
                    scene.ended(&name, terminated)
                })
            })
            .collect(),
    );
}

#[test]
fn of_drains_and_undrains_in_quick_succession_the_last_one_holds() {
    none_is_wrong(
        [ms(0), ms(40), ms(350), ms(1000)]
            .into_iter()
            .map(|apart| {
                thread::spawn(move || {
                    let scene = Scene::new(&format!("series-{}", apart.as_millis()), &HABITS);
                    for _ in 0..2 {
                        scene.drain();
                        thread::sleep(apart);
                        assert_eq!(scene.node.status("PUT /undrain"), 200);
                        assert_eq!(scene.node.client().ask(&["PING"]), "+PONG");
                    }
                    let began = scene.drain();
                    assert!(scene.node.client().ask(&["PING"]).starts_with("-ERR"));
                    scene.held(began)
                })
            })
            .collect(),
    );
}

#[test]
fn an_undrain_keeps_what_has_not_been_told_to_go() {
    let scene = Scene::new("undrain-keeps", &HABITS);
    let mut resting = scene.node.client();
    assert_eq!(resting.ask(&["PING"]), "+PONG");
    scene.drain();
    // After the drain's first closes, and before it closes idle connections.
    thread::sleep(ms(800));
    assert_eq!(scene.node.status("PUT /undrain"), 200);
    thread::sleep(ms(1500));
    assert_eq!(resting.ask(&["PING"]), "+PONG", "a client that was idle during the drain");
    assert_eq!(resting.ask(&["CACHE.GET", "fast-k", "id", "c=read,t=acme,d=9000"]), "$id");
    // A later drain starts its own schedule: no connection closes at once because of an answer in the first drain.
    scene.drain();
    thread::sleep(ms(100));
    assert!(!resting.has_ended());
}

#[test]
fn a_reload_within_a_drain_leaves_it_as_it_is() {
    let scene = Scene::new("reload-in-drain", &HABITS);
    let began = scene.drain();
    for age in [ms(100), ms(900), ms(1900)] {
        wait_until(began, age);
        scene.node.signal("HUP");
        scene.node.logged("configuration read again");
    }
    none_is_wrong(vec![thread::spawn(move || scene.held(began))]);
}

#[test]
fn a_node_that_is_held_up_at_every_step_lets_go_in_time() {
    none_is_wrong(
        [[100, 1150, 1750, 3550], [250, 1100, 1700, 3600], [0, 700, 1790, 3720]]
            .into_iter()
            .enumerate()
            .map(|(number, steps)| {
                thread::spawn(move || {
                    let scene = Scene::new(&format!("held-up-{number}"), &HABITS);
                    let began = scene.drain();
                    for step in steps {
                        wait_until(began, ms(step));
                        scene.node.signal("STOP");
                        thread::sleep(HELD_UP);
                        scene.node.signal("CONT");
                    }
                    scene.held(began)
                })
            })
            .collect(),
    );
}

#[test]
fn a_node_that_is_drained_before_its_first_list_holds_nothing_either() {
    // Discovery never answers: this listener accepts connections, and nobody reads from them.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut command = node_command("drained-early", silent.local_addr().unwrap(), 1024, "");
    command.env("ROUTER_OPS", "127.0.0.1:0");
    let node = Node::spawn(command);
    let told = Arc::new(Mutex::new(None));
    let start = |(number, (habit, kind)): (usize, &(Habit, &'static str))| {
        Client::start(node.address, number, *habit, kind, told.clone())
    };
    let clients: Vec<Client> = HABITS.iter().enumerate().map(start).collect();
    thread::sleep(ms(200));
    let began = Instant::now();
    *told.lock().unwrap() = Some(began);
    assert_eq!(node.status("PUT /drain"), 200);
    wait_until(began, HELD_AT_MOST);
    let held: Vec<_> = clients.iter().filter_map(|client| client.held(began)).collect();
    assert!(held.is_empty(), "{}", held.join("\n"));
    assert!(node.client().ask(&["PING"]).starts_with("-ERR"));
}

#[test]
fn connections_that_wait_in_the_queue_of_a_full_node_go_in_time_as_well() {
    let discovery = Discovery::start(&member("s-1", server().0, "m", "ready"));
    let path = scratch("full-drain.json");
    std::fs::write(&path, config("full-drain", discovery.address, 64)).unwrap();
    let mut command = node_command("full-drain", discovery.address, 64, "");
    command.env("ROUTER_OPS", "127.0.0.1:0").env("ROUTER_CONFIG", path);
    let node = Node::run(command, &discovery);
    node.ready();
    let told = Arc::new(Mutex::new(None));
    let clients: Vec<Client> = (0..200)
        .map(|number| Client::start(node.address, number, Habit::Silent, "fast", told.clone()))
        .collect();
    let began = Instant::now();
    assert_eq!(node.status("PUT /drain"), 200);
    wait_until(began, HELD_AT_MOST);
    let held = clients.iter().filter(|client| client.held(began).is_some()).count();
    assert_eq!(held, 0, "of {}", clients.len());
}

#[test]
fn a_drain_can_be_read_in_the_log_and_in_the_figures() {
    let scene = Scene::new("drain-log", &HABITS);
    let began = scene.drain();
    let held = scene.held(began);
    assert!(held.is_empty(), "{held:?}");
    for step in ["after_ms=0 ", "after_ms=300 ", "after_ms=1200 ", "after_ms=2000 ", "after_ms=4000 "] {
        let line = scene.node.logged(step);
        assert!(
            line.contains("event=retirement cause=drain step=count ") && line.contains(" open="),
            "{line}"
        );
    }
    let closed = scene.node.figure("edge_router_connections_closed_total{reason=\"drained\"}");
    assert!(closed.is_some_and(|closed| closed >= 4), "{closed:?}");
    assert_eq!(
        scene.node.figure("edge_router_connections_closed_total{reason=\"retirement_over\"}"),
        Some(0)
    );
}
