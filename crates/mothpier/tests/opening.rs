//! A node retries to open its addresses while that fails, and reports an error if it fails permanently.
#![allow(missing_docs)]

mod harness;

#[path = "../../host/tests/interposed/mod.rs"]
mod interposed;

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use harness::{Discovery, Node, config, hit, member, node_command, read_command, scratch_path, serve};
use interposed::let_calls_fail;

/// Nine of ten starts must be ready within this time.
const READY_BOUND: Duration = Duration::from_secs(6);
/// A start that can't succeed must end within this time, the longest that any node may take to be ready.
const FAILED_START_BOUND: Duration = Duration::from_secs(30);

/// A TCP address that is not in use.
fn free_address() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap()
}

fn free_datagram_address() -> SocketAddr {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap()
}

/// A command that starts a node which opens all four addresses: for clients, for the operations endpoint, for peers and
/// for the agreement.
fn command_with_four_addresses(name: &str, discovery: &Discovery, listen: SocketAddr) -> Command {
    let (peers, agreement) = (free_datagram_address(), free_datagram_address());
    let operator = scratch_path(&format!("{name}-opening.toml"));
    let text = format!(
        "[places]\non = true\n[accord]\non = true\nvoters = [0]\nlisten = \"{agreement}\"\nmembers = [\"{agreement}\"]\n"
    );
    std::fs::write(&operator, text).unwrap();
    let path = scratch_path(&format!("{name}-opening.json"));
    let addresses = format!(r#""peer_listen":"{peers}","peers":["{peers}"],"limits""#);
    let text = config(name, discovery.address, 1024);
    let text = text.replacen(r#""limits""#, &addresses, 1).replace("127.0.0.1:0", &listen.to_string());
    // The agreement requires that the node is in a zone.
    let text = text.replace(r#""zones":["a"],"#, r#""zones":["a"],"zone":0,"#);
    std::fs::write(&path, text).unwrap();
    let mut command = node_command(name, discovery.address, 1024, "");
    command
        .env("ROUTER_CONFIG", path)
        .env("ROUTER_OPERATOR", operator)
        .env("ROUTER_OPS", free_address().to_string());
    command
}

fn discovery() -> Discovery {
    let server = serve(read_command, |_| hit("v"));
    Discovery::start(&member("s-1", server, "m", "ready"))
}

/// Runs a start that must fail, and returns its log and how long it took.
fn run_failing_start(mut command: Command) -> (String, Duration) {
    let began = Instant::now();
    let Output { status, stderr, .. } = command.stderr(Stdio::piped()).output().unwrap();
    let log = String::from_utf8(stderr).unwrap();
    assert_eq!(status.code(), Some(1), "{log}");
    (log, began.elapsed())
}

#[test]
fn transient_failures_at_any_address_are_retried() {
    let discovery = discovery();
    let rules = [
        // With `:1:3` the first three calls fail; with `:2` every second call does, so one for each address.
        ("bind", libc::ENOBUFS, ":1:3"),
        ("bind", libc::ENOBUFS, ":2"),
        ("bind", libc::ENOMEM, ":2"),
        ("bind", libc::ENFILE, ":2"),
        ("bind", libc::EMFILE, ":2"),
        ("bind", libc::EADDRNOTAVAIL, ":2"),
        ("bind", libc::EADDRINUSE, ":2"),
        ("bind", libc::EINTR, ":1:3"),
        ("listen", libc::EADDRINUSE, ":1:2"),
        ("socket", libc::ENOBUFS, ":1:3"),
        ("socket", libc::EMFILE, ":1:3"),
        ("getsockname", libc::ENOBUFS, ":1"),
    ];
    for (call, number, when) in rules {
        let rule = format!("{call}:{number}{when}");
        let listen = free_address();
        let mut command = command_with_four_addresses("passing", &discovery, listen);
        let_calls_fail(&mut command, &rule);
        let began = Instant::now();
        let node = Node::spawn(command);
        node.wait_until_ready();
        assert!(began.elapsed() < READY_BOUND, "{rule}: ready after {:?}", began.elapsed());
        assert_eq!(node.address, listen, "{rule}");
    }
}

#[test]
fn an_address_is_taken_once_another_process_releases_it() {
    let discovery = discovery();
    let before = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let listen = before.local_addr().unwrap();
    let command = command_with_four_addresses("restart", &discovery, listen);
    let ends = thread::spawn(move || {
        thread::sleep(Duration::from_millis(700));
        drop(before);
    });
    let node = Node::spawn(command);
    assert_eq!(node.address, listen);
    ends.join().unwrap();
}

#[test]
fn an_address_in_use_ends_the_start_with_a_clear_line() {
    let discovery = discovery();
    let taken = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let listen = taken.local_addr().unwrap();
    let (log, took) = run_failing_start(command_with_four_addresses("kept", &discovery, listen));
    assert!(log.contains(&format!("cannot listen on {listen}: Address already in use")), "{log}");
    assert!(took < FAILED_START_BOUND, "{took:?}");
}

#[test]
fn an_address_of_another_machine_ends_the_start_with_a_clear_line() {
    let discovery = discovery();
    // An address reserved for documentation (TEST-NET-1), which no machine has.
    let listen = SocketAddr::from((Ipv4Addr::new(192, 0, 2, 1), 6379));
    let (log, took) = run_failing_start(command_with_four_addresses("elsewhere", &discovery, listen));
    assert!(log.contains(&format!("cannot listen on {listen}: Cannot assign requested address")), "{log}");
    assert!(took < READY_BOUND, "{took:?}");
}

#[test]
fn a_forbidden_address_ends_the_start_at_once() {
    let discovery = discovery();
    let listen = free_address();
    let mut command = command_with_four_addresses("forbidden", &discovery, listen);
    let_calls_fail(&mut command, &format!("bind:{}:1", libc::EACCES));
    let (log, took) = run_failing_start(command);
    assert!(log.contains("for the operations endpoint: Permission denied"), "{log}");
    assert!(!log.contains("yet"), "retried: {log}");
    assert!(took < READY_BOUND, "{took:?}");
}
