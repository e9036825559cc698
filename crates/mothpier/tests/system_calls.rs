//! Injects the documented errors of system calls into the daemon, one at a time. Despite transient errors every request
//! must be answered; permanent ones must end the daemon with a clear log line.

mod harness;
mod interpose;
mod load;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use interpose::daemon::{Daemon, DaemonEnvironment};
use interpose::{Control, Failure, Pattern, Sockets, temporary};
use load::{Load, Tally};

const LOOPBACK: &str = "127.0.0.1:0";

/// Time within which the daemon makes each of the calls.
const MAX_CALL_INTERVAL: Duration = Duration::from_secs(4);

/// When the calls of a case fail.
#[derive(Clone, Copy, PartialEq, Eq)]
enum When {
    /// From the start of the daemon on.
    FromTheStart,
    /// From the first request on.
    UnderLoad,
}

/// A test case: a failure and the share of requests that must be served with it.
struct Case {
    failure: Failure,
    when: When,
    /// Of the requests served without failures, the share that must be served with them.
    share: f64,
    /// Buffer size that the library sets for TCP sockets, in bytes; 0 for the system's default.
    buffers: u32,
    /// Whether the daemon records to a folder.
    records: bool,
    /// Whether the test chooses the port for clients, because the daemon can't find out which one it got.
    port_is_fixed: bool,
}

/// Share of requests served if failing calls are retried: every request.
const ALL_SERVED: f64 = 1.0;
/// Share of requests served if one in three connects fails: all three attempts of a request may happen to fail.
const NEARLY_ALL_SERVED: f64 = 0.98;
/// Share of requests served if servers, including the origin, refuse one in three connections. They count as unhealthy
/// and get fewer requests, and a request without another server is refused.
const SERVED_DESPITE_REFUSALS: f64 = 0.9;
/// Share of requests served if failures break connections. Reads on a broken connection are retried; writes, a tenth of
/// the requests, are not. Unanswered requests on a broken connection count against the server, too.
const MOST_SERVED: f64 = 0.85;

fn at_start(calls: &'static str, error: &'static str, skip: u32, fail: u32) -> Case {
    let failure = Failure { calls, error, pattern: Pattern::Range { skip, fail }, sockets: Sockets::All };
    Case {
        failure,
        when: When::FromTheStart,
        share: ALL_SERVED,
        buffers: 0,
        records: false,
        port_is_fixed: false,
    }
}

fn under_load(calls: &'static str, error: &'static str, every: u32, sockets: Sockets, share: f64) -> Case {
    let failure = Failure { calls, error, pattern: Pattern::OneIn(every), sockets };
    Case { failure, when: When::UnderLoad, share, buffers: 0, records: false, port_is_fixed: false }
}

/// Runs the load once without failures and once with those of a case.
fn run_case(group: &str, number: usize, case: &Case, expected: &Tally) -> Result<(), String> {
    let name = format!("{group}-{number}");
    let environment = DaemonEnvironment::start();
    let control = Control::new(&name);
    control.enable(case.when == When::FromTheStart);
    let listen = if case.port_is_fixed { free_address() } else { LOOPBACK.into() };
    let mut command = environment.command(&name, &listen);
    command.env("FAILING_BUFFERS", case.buffers.to_string());
    if case.records {
        command.env("ROUTER_OPERATOR", operator_file(&name));
    }
    let mut daemon = Daemon::failing(command, &case.failure, &control);
    let address = daemon.address()?;
    environment.discovery.wait_for_watch_after(1);
    control.enable(true);
    let tally = load_until_failing(address, &control);
    let failed = control.failed();
    let least = (expected.served as f64 / expected.asked as f64 * tally.asked as f64 * case.share) as usize;
    if !daemon.is_running() {
        return Err(format!("the process ended: {}", daemon.log()));
    }
    if !tally.missing.is_empty() {
        let (missing, first) = (tally.missing.len(), &tally.missing[0]);
        return Err(format!("{missing} unanswered, first {first}; {failed} calls failed; {}", daemon.log()));
    }
    if tally.served < least {
        return Err(format!("{tally:?}, fewer than {least} served; {failed} calls failed; {}", daemon.log()));
    }
    daemon.terminate()?;
    if failed == 0 && case.buffers == 0 {
        return Err(format!("no call has failed: {}", daemon.log()));
    }
    Ok(())
}

/// An address that is not in use.
fn free_address() -> String {
    TcpListener::bind(LOOPBACK).unwrap().local_addr().unwrap().to_string()
}

/// Writes an operator's file that enables recording to a new folder, with frequent writes and syncs.
fn operator_file(name: &str) -> PathBuf {
    let (folder, path) = (temporary(&format!("{name}-record")), temporary(&format!("{name}.toml")));
    let _ = std::fs::remove_dir_all(&folder);
    let figures = "hand_over_ms = 10.0\nsync_ms = 20.0\nagain_ms = 100.0";
    let text =
        format!("[record]\non = true\nfolder = \"{}\"\n[record.figures]\n{figures}\n", folder.display());
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs the load until a call has failed: some calls, such as those on UDP sockets, are rare.
fn load_until_failing(node: SocketAddr, control: &Control) -> Tally {
    let (begun, load) = (Instant::now(), Load::on(node));
    let mut tally = load.run(0);
    for round in 1.. {
        if control.failed() > 0 || !tally.missing.is_empty() || begun.elapsed() > MAX_CALL_INTERVAL {
            break;
        }
        tally += load.run(round);
    }
    tally
}

/// Runs the load without failures, and checks that every request is served.
fn without_failures(group: &str) -> Tally {
    let environment = DaemonEnvironment::start();
    let mut daemon = Daemon::spawn(environment.command(&format!("{group}-plain"), LOOPBACK));
    let address = daemon.address().unwrap();
    environment.discovery.wait_for_watch_after(1);
    let tally = Load::on(address).run(0);
    assert_eq!(tally.served, tally.asked, "without failures: {tally:?}");
    daemon.terminate().unwrap();
    tally
}

/// Runs all cases, and reports each that fails.
fn run_cases(group: &str, cases: &[Case]) {
    let expected = without_failures(group);
    let mut wrong = Vec::new();
    for (number, case) in cases.iter().enumerate() {
        if let Err(e) = run_case(group, number, case, &expected) {
            wrong.push(format!("{}: {e}", case.failure.name()));
        }
    }
    assert!(wrong.is_empty(), "{} of {} cases failed:\n{}", wrong.len(), cases.len(), wrong.join("\n"));
}

/// At its start the daemon binds three sockets: for the operations endpoint, for peers and for clients.
#[test]
fn transient_errors_of_bind_delay_the_start() {
    let mut cases = Vec::new();
    for error in ["ENOBUFS", "ENOMEM", "ENFILE", "EMFILE", "EADDRNOTAVAIL", "EINTR", "EADDRINUSE"] {
        cases.push(at_start("bind", error, 0, 4));
    }
    for socket in 0..3 {
        cases.push(at_start("bind", "ENOBUFS", socket, 1));
    }
    run_cases("bind", &cases);
}

#[test]
fn transient_errors_of_opening_sockets_delay_the_start() {
    let mut cases = Vec::new();
    for error in ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"] {
        cases.push(at_start("socket", error, 0, 3));
    }
    for socket in 1..4 {
        cases.push(at_start("socket", "ENOBUFS", socket, 1));
    }
    cases.push(at_start("listen", "EADDRINUSE", 0, 3));
    cases.push(at_start("listen", "ENOBUFS", 1, 1));
    for socket in 0..2 {
        cases.push(Case { port_is_fixed: true, ..at_start("getsockname", "ENOBUFS", socket, 1) });
    }
    cases.push(at_start("setsockopt", "ENOMEM", 0, 2));
    run_cases("open", &cases);
}

#[test]
fn errors_of_accept_lose_no_answer() {
    let errors = [
        "ECONNABORTED",
        "EPROTO",
        "EINTR",
        "EMFILE",
        "ENFILE",
        "ENOBUFS",
        "ENOMEM",
        "EPERM",
        "ENETDOWN",
        "ENETUNREACH",
        "EHOSTUNREACH",
        "EHOSTDOWN",
        "ENONET",
        "ENOPROTOOPT",
        "EOPNOTSUPP",
        "ETIMEDOUT",
    ];
    let cases: Vec<_> = errors.map(|error| under_load("accept4", error, 3, Sockets::All, ALL_SERVED)).into();
    run_cases("accept", &cases);
}

#[test]
fn interrupted_calls_are_retried() {
    let mut cases = Vec::new();
    for sockets in [Sockets::Incoming, Sockets::Outgoing] {
        cases.push(under_load("recv", "EINTR", 5, sockets, ALL_SERVED));
        cases.push(under_load("send", "EINTR", 5, sockets, ALL_SERVED));
    }
    cases.push(under_load("writev", "EINTR", 5, Sockets::Outgoing, ALL_SERVED));
    cases.push(under_load("recv,send,writev,accept4", "EINTR", 2, Sockets::Tcp, ALL_SERVED));
    cases.push(under_load("recvfrom,sendto", "EINTR", 2, Sockets::Udp, ALL_SERVED));
    cases.push(under_load("epoll_wait", "EINTR", 3, Sockets::All, ALL_SERVED));
    cases.push(under_load("connect", "EINTR", 2, Sockets::All, ALL_SERVED));
    run_cases("interrupted", &cases);
}

#[test]
fn a_transient_lack_of_memory_for_a_transfer_loses_no_answer() {
    let mut cases = Vec::new();
    for sockets in [Sockets::Incoming, Sockets::Outgoing] {
        cases.push(under_load("recv", "ENOMEM", 7, sockets, ALL_SERVED));
        cases.push(under_load("send,writev", "ENOBUFS", 7, sockets, ALL_SERVED));
        cases.push(under_load("send,writev", "ENOMEM", 7, sockets, ALL_SERVED));
    }
    run_cases("memory", &cases);
}

#[test]
fn a_transient_lack_of_memory_for_epoll_loses_no_answer() {
    let cases =
        ["ENOMEM", "ENOSPC"].map(|error| under_load("epoll_ctl", error, 5, Sockets::Incoming, ALL_SERVED));
    run_cases("watching", &cases);
}

#[test]
fn errors_of_connect_are_retried() {
    let mut cases = Vec::new();
    // Local errors.
    for error in ["EADDRNOTAVAIL", "ENOBUFS", "ENOMEM", "EADDRINUSE"] {
        cases.push(under_load("connect", error, 3, Sockets::All, NEARLY_ALL_SERVED));
    }
    for error in ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"] {
        cases.push(under_load("socket", error, 3, Sockets::Tcp, NEARLY_ALL_SERVED));
    }
    // Errors of the other side, returned by `connect` or later as a socket option.
    for error in ["ECONNREFUSED", "ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"] {
        cases.push(under_load("connect", error, 3, Sockets::All, SERVED_DESPITE_REFUSALS));
        cases.push(under_load("getsockopt", error, 3, Sockets::Outgoing, SERVED_DESPITE_REFUSALS));
    }
    cases.push(under_load("setsockopt", "ENOBUFS", 3, Sockets::Outgoing, NEARLY_ALL_SERVED));
    run_cases("connect", &cases);
}

/// A missing route is an error of this machine, too, unless connections to other servers are open.
#[test]
fn connects_without_a_route_are_retried() {
    run_cases("route", &[under_load("connect", "ENETUNREACH", 3, Sockets::All, NEARLY_ALL_SERVED)]);
}

#[test]
fn connections_to_servers_that_break_are_replaced() {
    let mut cases = Vec::new();
    for error in ["ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENETDOWN"] {
        cases.push(under_load("recv", error, 40, Sockets::Outgoing, MOST_SERVED));
    }
    for error in ["EPIPE", "ECONNRESET"] {
        cases.push(under_load("send,writev", error, 40, Sockets::Outgoing, MOST_SERVED));
    }
    run_cases("break", &cases);
}

#[test]
fn other_errors_of_sockets_lose_no_answer() {
    let mut cases = vec![
        under_load("shutdown", "ENOTCONN", 1, Sockets::All, ALL_SERVED),
        under_load("setsockopt", "ENOBUFS", 2, Sockets::Incoming, ALL_SERVED),
        under_load("epoll_ctl", "ENOSPC", 5, Sockets::Outgoing, NEARLY_ALL_SERVED),
    ];
    for error in ["ECONNREFUSED", "ENOMEM"] {
        cases.push(under_load("recvfrom", error, 2, Sockets::Udp, ALL_SERVED));
    }
    for error in ["ENOBUFS", "EPERM", "ENETUNREACH", "ECONNREFUSED"] {
        cases.push(under_load("sendto", error, 2, Sockets::Udp, ALL_SERVED));
    }
    run_cases("other", &cases);
}

#[test]
fn short_transfers_lose_no_answer() {
    let mut cases = Vec::new();
    for sockets in [Sockets::Incoming, Sockets::Outgoing] {
        for calls in ["recv", "send,writev"] {
            cases.push(under_load(calls, "SHORT", 1, sockets, ALL_SERVED));
        }
    }
    cases.push(under_load("recv,send,writev", "SHORT", 3, Sockets::Tcp, ALL_SERVED));
    // Linux raises this to its minimum buffer size.
    let small = Case { buffers: 1, ..under_load("none", "EINTR", 1, Sockets::Tcp, ALL_SERVED) };
    cases.push(small);
    run_cases("short", &cases);
}

/// The folder of records fails for a while, or now and then.
#[test]
fn errors_of_files_lose_no_answer() {
    let mut cases = Vec::new();
    for error in ["ENOSPC", "EIO"] {
        cases.push(under_load("write", error, 2, Sockets::All, ALL_SERVED));
        cases.push(under_load("fdatasync", error, 2, Sockets::All, ALL_SERVED));
        cases.push(under_load("write,fsync,fdatasync,open64", error, 1, Sockets::All, ALL_SERVED));
        cases.push(at_start("fsync", error, 0, 1));
        cases.push(at_start("open64", error, 0, 1));
        cases.push(at_start("write", error, 0, 2));
    }
    cases.push(under_load("write,fsync,fdatasync", "EINTR", 2, Sockets::All, ALL_SERVED));
    cases.push(under_load("write", "SHORT", 1, Sockets::All, ALL_SERVED));
    let cases = cases.into_iter().map(|case| Case { records: true, ..case }).collect::<Vec<_>>();
    run_cases("files", &cases);
}

/// Starts a daemon that can't open its address, and checks that it ends with a log line that contains the address.
fn assert_start_fails(name: &str, listen: &str, failure: &Failure) {
    let environment = DaemonEnvironment::start();
    let control = Control::new(name);
    control.enable(true);
    let begun = Instant::now();
    let mut daemon = Daemon::failing(environment.command(name, listen), failure, &control);
    let status = daemon.ended_within(FAILED_START_BOUND).unwrap();
    let log = daemon.log_to_its_end();
    assert!(!status.success(), "{name}: {status}");
    assert!(log.contains("cannot") && log.contains(listen.split(':').next().unwrap()), "{name}: {log}");
    assert!(begun.elapsed() < FAILED_START_BOUND, "{name}: {:?}", begun.elapsed());
}

/// Maximum number of failed calls in a second: one every millisecond is a low load.
const MAX_FAILED_CALLS: u64 = 1000;
/// Time within which a daemon that can't start must end: well below the time that a node may take to be ready.
const FAILED_START_BOUND: Duration = Duration::from_secs(8);

#[test]
fn permanent_errors_of_bind_end_the_daemon_with_a_clear_line() {
    let denied = |sockets| Failure { calls: "bind", error: "EACCES", pattern: Pattern::All, sockets };
    assert_start_fails("denied-all", LOOPBACK, &denied(Sockets::All));
    assert_start_fails("denied-udp", LOOPBACK, &denied(Sockets::Udp));
    let none = Failure { calls: "none", ..denied(Sockets::All) };
    // An address reserved for documentation, which no machine has.
    assert_start_fails("elsewhere", "192.0.2.1:7000", &none);
}

/// A permanent receive error must not cause a busy loop.
#[test]
fn a_permanent_receive_error_does_not_spin() {
    let environment = DaemonEnvironment::start();
    let control = Control::new("receiving");
    let failure =
        Failure { calls: "recvfrom", error: "ENOMEM", pattern: Pattern::All, sockets: Sockets::Udp };
    let mut daemon = Daemon::failing(environment.command("receiving", LOOPBACK), &failure, &control);
    let address = daemon.address().unwrap();
    environment.discovery.wait_for_watch_after(1);
    control.enable(true);
    let tally = load_until_failing(address, &control);
    assert_eq!(tally.served, tally.asked, "{tally:?}");
    let before = control.failed();
    assert!(before > 0, "nothing was received");
    std::thread::sleep(Duration::from_secs(1));
    let tries = control.failed() - before;
    assert!(tries < MAX_FAILED_CALLS, "{tries} calls failed in a second");
    daemon.terminate().unwrap();
}
