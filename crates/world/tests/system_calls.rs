//! Nodes with failing system calls: the rules hold, and clients are served as without the failures.
#![allow(missing_docs)]

#[path = "common/mod.rs"]
mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use chalksill_simnet::{Links, Net, SimHost};
use chalksill_world::failing_host::FailingHost;
use chalksill_world::faults::{Fault, What};
use chalksill_world::observe::Observer;
use chalksill_world::report::Report;
use chalksill_world::scenario::Scenario;
use chalksill_world::system_calls::{FailingCall, FailingCalls, Failure, SystemCall};
use common::{assert_rules_kept, play, play_seed, scenario};
use mothpier_host::{Datagrams, Host, Listener, Reading, Stream};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Failing calls of node 0, from the third second on.
fn failing(call: SystemCall, failure: Failure, part: f64, for_ms: u64) -> (u64, What) {
    (3_000, What::SystemCalls { node: 0, call, failure, part, for_ms })
}

/// The scenario, shortened so that it can be played many times.
fn short_scenario(seconds: f64) -> Scenario {
    let mut scenario = scenario("system-calls");
    scenario.seconds = seconds;
    scenario
}

/// The share of requests that were served.
fn served_share(report: &Report) -> f64 {
    (report.all.in_time + report.all.late) as f64 / report.all.offered as f64
}

#[test]
fn seeds_of_failing_calls_keep_the_rules() {
    let scenario = scenario("system-calls");
    for seed in 0..20 {
        assert_rules_kept(&play_seed(&scenario, seed, None));
    }
}

/// One call in twenty fails for two seconds: only the node notices.
#[test]
fn occasional_failures_lose_no_reply() {
    let scenario = short_scenario(7.0);
    let usual = served_share(&play(&scenario, 5, &[]));
    for call in SystemCall::ALL.into_iter().filter(|call| !call.opens_socket()) {
        for failure in call.failures() {
            let report = play(&scenario, 5, &[failing(call, *failure, 0.05, 2_000)]);
            assert_rules_kept(&report);
            let share = served_share(&report);
            assert!(share >= usual - 0.01, "{call:?} {failure:?}: {share} are served, {usual} without");
        }
    }
}

#[test]
fn node_starts_though_its_sockets_cannot_be_opened_for_a_second() {
    for call in SystemCall::ALL.into_iter().filter(|call| call.opens_socket()) {
        for failure in call.failures() {
            assert_rules_kept(&play(&short_scenario(8.0), 6, &[failing(call, *failure, 1.0, 1_200)]));
        }
    }
}

/// Errors of connections that are gone precede clients in the accept queue, up to the last moment.
#[test]
fn aborted_connections_hide_no_client_from_a_stopping_node() {
    let mut scenario = short_scenario(8.0);
    // Each client has a connection of its own, and reconnects as soon as it is lost.
    (scenario.load.callers, scenario.load.eager, scenario.nodes.sockets) = (200, 1.0, 1024);
    for (seed, failure) in
        (0..8).flat_map(|s| [(s, Failure::Econnaborted), (s, Failure::Eproto), (s, Failure::Eintr)])
    {
        let stop = (3_000 + seed * 37, What::Node { node: 0, planned: true, down_ms: 300 });
        assert_rules_kept(&play(&scenario, seed, &[failing(SystemCall::Accept, failure, 0.9, 3_000), stop]));
    }
}

#[test]
fn fault_must_name_a_possible_failure() {
    let fault = |call, failure, part| {
        let (at_ms, what) = failing(call, failure, part, 100);
        Fault { at_ms, what }.validate(3, 2)
    };
    assert_eq!(fault(SystemCall::Accept, Failure::Emfile, 0.5), Ok(()));
    assert!(fault(SystemCall::Accept, Failure::Short, 0.5).is_err());
    assert!(fault(SystemCall::Accept, Failure::Emfile, 1.5).is_err());
    let (at_ms, what) = failing(SystemCall::BindDatagrams, Failure::Eaddrinuse, 1.0, 100);
    let fault = Fault { at_ms, what };
    assert!(fault.validate(3, 0).is_err(), "there is no node 0");
    let text = serde_json::to_string(&fault).unwrap();
    assert!(text.contains(r#""call":"bind-datagrams","failure":"EADDRINUSE""#), "{text}");
    assert_eq!(serde_json::from_str::<Fault>(&text).unwrap(), fault);
}

/// A machine whose calls can be made to fail, and a normal one.
struct Machines {
    calls: FailingCalls,
    failing: FailingHost,
    plain: SimHost,
    /// The address of the failing one.
    address: SocketAddr,
}

impl Machines {
    fn new() -> Machines {
        let ms = |ms| (Duration::from_millis(ms), Duration::from_millis(ms));
        let links = Links { within_zone: ms(1), between_zones: ms(1), datagrams: ms(1), datagram_loss: 0.0 };
        let net = Net::new(1, Duration::ZERO, links);
        tokio::task::spawn_local(net.clone().deliver_packets());
        let calls = FailingCalls::new(Observer::starting_now(), Pcg64Mcg::seed_from_u64(1));
        let machine = |last: u8| net.start_process([10, 0, 0, last].into(), 0, "test");
        let failing = FailingHost::new(machine(1), 0, calls.clone(), None);
        Machines { calls, failing, plain: machine(2), address: ([10, 0, 0, 1], 80).into() }
    }

    /// Makes all calls of a kind fail from now on.
    fn fail(&self, call: SystemCall, failure: Failure) -> FailingCall {
        let failing = FailingCall { node: 0, call, failure, share: 1.0 };
        self.calls.begin(failing);
        failing
    }
}

fn os_error<T>(result: std::io::Result<T>) -> Option<i32> {
    result.err().and_then(|e| e.raw_os_error())
}

#[test]
fn calls_return_the_configured_errors_and_succeed_afterwards() {
    chalksill_simnet::run(|| async {
        let m = Machines::new();
        let listening = m.fail(SystemCall::Listen, Failure::Enobufs);
        assert_eq!(os_error(m.failing.listen(m.address).await), Failure::Enobufs.error().raw_os_error());
        m.calls.end(listening);
        let listener = m.failing.listen(m.address).await.unwrap();
        let binding = m.fail(SystemCall::BindDatagrams, Failure::Eaddrinuse);
        assert_eq!(
            os_error(m.failing.datagrams(m.address).await),
            Failure::Eaddrinuse.error().raw_os_error()
        );
        m.calls.end(binding);
        let datagrams = m.failing.datagrams(m.address).await.unwrap();
        m.fail(SystemCall::Receive, Failure::Enomem);
        let received = datagrams.recv_from(&mut [0; 8]).await;
        assert_eq!(os_error(received), Failure::Enomem.error().raw_os_error());
        m.fail(SystemCall::Connect, Failure::Emfile);
        assert_eq!(os_error(m.failing.connect(m.address).await), Failure::Emfile.error().raw_os_error());
        // The connection is still queued when accepts succeed again.
        let accepting = m.fail(SystemCall::Accept, Failure::Econnaborted);
        let _client = m.plain.connect(m.address).await.unwrap();
        for _ in 0..3 {
            assert_eq!(os_error(listener.accept().await), Failure::Econnaborted.error().raw_os_error());
        }
        m.calls.end(accepting);
        listener.accept().await.unwrap();
    });
}

#[test]
fn short_reads_and_writes_keep_all_bytes_in_order() {
    chalksill_simnet::run(|| async {
        let m = Machines::new();
        let listener = m.failing.listen(m.address).await.unwrap();
        m.fail(SystemCall::Read, Failure::Short);
        m.fail(SystemCall::Write, Failure::Short);
        let mut client = m.plain.connect(m.address).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (reading, mut writing) = stream.into_halves();
        client.write_all(b"question").await.unwrap();
        let mut come = BytesMut::with_capacity(64);
        while come.len() < 8 {
            reading.readable().await.unwrap();
            match reading.try_read_buf(&mut come) {
                Ok(read) => assert_eq!(read, 1),
                Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::WouldBlock),
            }
        }
        assert_eq!(&come[..], b"question");
        let answer: Vec<u8> = (0..100).collect();
        assert!(writing.write(&answer).await.unwrap() <= 8);
        // The next write waits until the socket takes bytes again.
        let begin = tokio::time::Instant::now();
        writing.write_all(&answer).await.unwrap();
        assert!(begin.elapsed() >= Duration::from_millis(1));
        drop(writing);
        let mut got = Vec::new();
        client.read_to_end(&mut got).await.unwrap();
        assert!(got.ends_with(&answer) && got.len() <= answer.len() + 8, "{got:?}");
    });
}
