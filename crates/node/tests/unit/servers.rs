//! Connections to cache servers, told apart from the node that drives them.

use std::io::{ErrorKind, Read};

use bytes::Bytes;
use mothpier_host::SystemHost;
use mothpier_ops::OpsEndpoint;
use mothpier_resp as resp;

use super::*;
use crate::command::{Command as ClientCommand, RequestIdGuard, RequestIds};
use crate::failing_host::{EMFILE, ENETUNREACH, FailingHost, LOCAL_ERRORS, REMOTE_ERRORS};

/// The connections of one of so many nodes, with so many descriptors for them, and what they tell.
fn servers(balancers: usize, descriptors: usize) -> (Servers<SystemHost>, mpsc::Receiver<Input>) {
    servers_on(SystemHost { program: "test" }, balancers, descriptors)
}

/// The same on a host.
fn servers_on<H: Host>(host: H, balancers: usize, descriptors: usize) -> (Servers<H>, mpsc::Receiver<Input>) {
    let (events, inputs) = mpsc::channel(8);
    let limits = Limits {
        node_count: balancers,
        attempts_per_connection: 32,
        idle_close: Duration::from_secs(60),
        connect_timeout: Duration::from_secs(30),
        max_connections: descriptors,
    };
    let figures = OpsEndpoint::new(["read"]).metrics.clone();
    (Servers::new(host, limits, figures, events), inputs)
}

/// Answers come in the order of the commands: one that is slow or lost must not hold up seven others.
#[test]
fn a_node_uses_its_part_of_the_connections_before_it_queues_behind_an_answer() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        for (balancers, descriptors, connections) in [(4, 64, 8), (2, 64, 16), (2, 6, 6), (64, 64, 1)] {
            let (mut servers, _inputs) = servers(balancers, descriptors);
            assert!(servers.update_server(7, Some(address), true).is_empty());
            for attempt in 1..=20 {
                assert!(servers.send(7, AttemptCommand::new(attempt, Payload::Probe)).is_ok());
            }
            assert_eq!(servers.pools[&7].connections.len(), connections);
            assert_eq!(
                servers.take_connect_counts(),
                ConnectCounts { started: connections as u32, refused: 0, local_failures: 0 }
            );
            assert_eq!(servers.take_connect_counts(), ConnectCounts::default(), "told once");
        }
    });
}

/// A connection that is up, and of which the node has not heard yet, belongs to the attempt for which it was made: one that
/// comes now gets a connection of its own, and neither waits behind the other.
#[test]
fn a_later_attempt_does_not_take_the_connection_that_an_earlier_one_waits_for() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (mut servers, mut inputs) = servers(1, 8);
        assert!(servers.update_server(7, Some(address), true).is_empty());
        assert!(servers.send(7, probe(1)).is_ok());
        assert!(matches!(inputs.recv().await, Some(Input::Server { event: ConnectionEvent::Up, .. })));
        assert!(servers.send(7, probe(2)).is_ok());
        assert!(servers.handle_event(7, 1, ConnectionEvent::Up).is_empty());
        assert_eq!(servers.pools[&7].connections.len(), 2, "one behind the other");
        assert!(matches!(
            inputs.recv().await,
            Some(Input::Server { connection: 2, event: ConnectionEvent::Up, .. })
        ));
        assert!(servers.handle_event(7, 2, ConnectionEvent::Up).is_empty());
        let loads: Vec<usize> = servers.pools[&7].connections.iter().map(Connection::load).collect();
        assert_eq!(loads, [1, 1]);
    });
}

/// A rule of drains: what still waits for its connection when the notice comes is never written.
#[test]
fn what_waits_for_a_connection_is_not_sent_after_the_notice_of_a_drain() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (mut servers, mut inputs) = servers(1, 8);
        let ping = |attempt| AttemptCommand::new(attempt, Payload::Probe);
        assert!(servers.update_server(7, Some(address), true).is_empty());
        assert!(servers.send(7, ping(1)).is_ok());
        assert!(matches!(inputs.recv().await, Some(Input::Server { event: ConnectionEvent::Up, .. })));
        // Up, but the node has not been told yet: the attempt still waits.
        assert_eq!(servers.update_server(7, Some(address), false), [1]);
        assert!(servers.send(7, ping(2)).is_err(), "taken for a server that drains");
        assert!(servers.handle_event(7, 1, ConnectionEvent::Up).is_empty());
    });
    let mut written = Vec::new();
    listener.accept().unwrap().0.read_to_end(&mut written).unwrap();
    assert_eq!(written, b"");
}

/// Its answer, or the end of its connection, may be on its way to the node when its deadline fires: nothing says that it
/// never ran then.
#[test]
fn an_attempt_that_is_given_up_as_its_answer_comes_may_have_run() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for answer in [&b"$0\r\n\r\n"[..], b""] {
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (mut servers, mut inputs) = servers(1, 8);
            assert!(servers.update_server(7, Some(address), true).is_empty());
            assert!(servers.send(7, AttemptCommand::new(1, Payload::Probe)).is_ok());
            assert!(matches!(inputs.recv().await, Some(Input::Server { event: ConnectionEvent::Up, .. })));
            assert!(servers.handle_event(7, 1, ConnectionEvent::Up).is_empty());
            let (mut stream, _) = listener.accept().unwrap();
            tokio::task::yield_now().await;
            let mut asked = [0; 4];
            while matches!(stream.set_nonblocking(true).and_then(|()| stream.read(&mut asked)), Err(e) if e.kind() == ErrorKind::WouldBlock)
            {
                tokio::task::yield_now().await;
            }
            stream.set_nonblocking(false).unwrap();
            std::io::Write::write_all(&mut stream, answer).unwrap();
            drop(stream);
            // It has been taken from the connection, and waits to be told to the node.
            while inputs.is_empty() {
                tokio::task::yield_now().await;
            }
            assert!(!servers.give_up(7, 1).unwritten, "said never to have run");
        });
    }
}

/// A read of which the attempt is waited for until `attempt_ends`.
pub(super) fn read_until(attempt: AttemptId, attempt_ends: Instant) -> AttemptCommand {
    let id = Bytes::from(attempt.to_string());
    let command = ClientCommand {
        name: "CACHE.GET".into(),
        key: "k".into(),
        id: id.clone(),
        extras: "c=read,d=9000".into(),
        value: None,
        write: false,
        _id_guard: RequestIdGuard::acquire(&RequestIds::default(), &id).unwrap(),
    };
    let extras = command.attempt_extras(attempt_ends);
    AttemptCommand::new(attempt, Payload::Request { command: command.into(), extras, may_run_twice: true })
}

/// Runs a test of a node that may have one connection to the server 7, which the test serves by hand.
fn with_one_connection(
    test: impl AsyncFnOnce(std::net::TcpListener, Servers<SystemHost>, mpsc::Receiver<Input>),
) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (mut servers, inputs) = servers(64, 64);
        assert!(servers.update_server(7, Some(address), true).is_empty());
        test(listener, servers, inputs).await;
    });
}

/// There is no time that it could tell: it stays unwritten until it is given up, and holds up nothing behind it.
#[test]
fn an_attempt_without_time_left_is_not_written() {
    with_one_connection(async |listener, mut servers, mut inputs| {
        assert!(servers.send(7, read_until(1, Instant::now())).is_ok());
        assert!(servers.send(7, AttemptCommand::new(2, Payload::Probe)).is_ok());
        assert!(matches!(inputs.recv().await, Some(Input::Server { event: ConnectionEvent::Up, .. })));
        assert!(servers.handle_event(7, 1, ConnectionEvent::Up).is_empty());
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let probe = resp::encode_command(["INFO".into(), "load".into()]);
        let (mut asked, mut buffer) = (Vec::new(), [0; 1024]);
        while asked.len() < probe.len() {
            match stream.read(&mut buffer) {
                Ok(read) => asked.extend_from_slice(&buffer[..read]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => tokio::task::yield_now().await,
                Err(e) => panic!("{e}"),
            }
        }
        assert_eq!(asked, probe);
        assert!(servers.give_up(7, 1).unwritten, "said to have run");
    });
}

/// What was sent before it has been given up already: nothing would ever end this connection.
#[test]
fn a_connection_is_closed_when_the_last_that_waits_on_it_is_taken_back_unwritten() {
    with_one_connection(async |listener, mut servers, mut inputs| {
        assert!(servers.send(7, AttemptCommand::new(1, Payload::Probe)).is_ok());
        assert!(matches!(inputs.recv().await, Some(Input::Server { event: ConnectionEvent::Up, .. })));
        assert!(servers.handle_event(7, 1, ConnectionEvent::Up).is_empty());
        let (stream, _) = listener.accept().unwrap();
        let written =
            |servers: &Servers<SystemHost>| servers.pools[&7].connections[0].shared.line.borrow().sent.len();
        while written(&servers) == 0 {
            tokio::task::yield_now().await;
        }
        assert!(servers.send(7, read_until(2, Instant::now())).is_ok());
        assert!(!servers.give_up(7, 1).unwritten);
        assert_eq!(servers.pools[&7].connections.len(), 1, "closed under one that waits");
        assert!(servers.give_up(7, 2).unwritten);
        assert!(servers.pools[&7].connections.is_empty());
        drop(stream);
    });
}

/// The server may end a connection in the moment in which a command is given to it: it was never written, and the server
/// takes new connections. To call that a failure to connect would have the request refused.
#[test]
fn a_command_for_a_connection_that_has_just_ended_goes_to_another() {
    with_one_connection(async |listener, mut servers, mut inputs| {
        assert!(servers.send(7, read_until(1, Instant::now() + Duration::from_secs(9))).is_ok());
        assert!(next_event(&mut servers, &mut inputs).await.is_empty());
        let (mut stream, _) = listener.accept().unwrap();
        std::io::Write::write_all(&mut stream, b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n").unwrap();
        let ended = next_event(&mut servers, &mut inputs).await;
        assert!(matches!(ended[..], [(1, AttemptOutcome::Answered(_))]));
        drop(stream);
        assert!(servers.send(7, read_until(2, Instant::now() + Duration::from_secs(9))).is_ok());
        let mut ended = next_event(&mut servers, &mut inputs).await;
        let Some((2, AttemptOutcome::Interrupted(displaced))) = ended.pop() else { panic!("not sent again") };
        assert!(!displaced.was_written);
        assert_eq!(servers.resend(7, displaced), Ok(()));
        assert!(next_event(&mut servers, &mut inputs).await.is_empty());
        let (mut stream, _) = listener.accept().unwrap();
        std::io::Write::write_all(&mut stream, b"*3\r\n$1\r\nw\r\n$-1\r\n$-1\r\n").unwrap();
        let ended = next_event(&mut servers, &mut inputs).await;
        assert!(matches!(ended[..], [(2, AttemptOutcome::Answered(_))]));
    });
}

/// A server that is ready, at an address at which a [`FailingHost`] may fail.
fn failing_server(host: &FailingHost) -> (Servers<FailingHost>, mpsc::Receiver<Input>) {
    let (mut servers, inputs) = servers_on(host.clone(), 1, 64);
    assert!(servers.update_server(7, Some("127.0.0.1:1".parse().unwrap()), true).is_empty());
    (servers, inputs)
}

fn probe(attempt: AttemptId) -> AttemptCommand {
    AttemptCommand::new(attempt, Payload::Probe)
}

/// Takes the next event of a connection to a server, and returns the attempts that it ends.
async fn next_event<H: Host>(
    servers: &mut Servers<H>,
    inputs: &mut mpsc::Receiver<Input>,
) -> Vec<(AttemptId, AttemptOutcome)> {
    match inputs.recv().await {
        Some(Input::Server { server, connection: number, event }) => {
            servers.handle_event(server, number, event)
        }
        _ => panic!("something else"),
    }
}

/// Runs a test on one thread with a clock that stands still unless it is moved.
fn with_paused_clock(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// What this machine lacks tells nothing of the server: its attempts never ran, it counts as refused nowhere, and the next
/// connection is tried as soon as the pause is over.
#[test]
fn a_connection_that_this_machine_cannot_make_is_no_refusal_of_the_server() {
    with_paused_clock(async {
        for error in LOCAL_ERRORS {
            let host = FailingHost::failing_with(error);
            let (mut servers, mut inputs) = failing_server(&host);
            assert_eq!(servers.send(7, probe(1)), Ok(()));
            let ended = next_event(&mut servers, &mut inputs).await;
            assert!(matches!(ended[..], [(1, AttemptOutcome::LocalFailure)]), "error {error}");
            let connects = servers.take_connect_counts();
            assert_eq!((connects.refused, connects.local_failures), (0, 1), "error {error}");
            assert_eq!(servers.send(7, probe(2)), Err(SendError::LocalFailure), "tried again at once");
            tokio::time::advance(Duration::from_millis(10)).await;
            assert_eq!(servers.send(7, probe(3)), Ok(()), "error {error}");
            assert_eq!(host.log.borrow().len(), 1);
        }
    });
}

#[test]
fn a_connection_that_fails_at_the_server_or_on_the_way_to_it_is_a_refusal() {
    with_paused_clock(async {
        for error in REMOTE_ERRORS {
            let host = FailingHost::failing_with(error);
            let (mut servers, mut inputs) = failing_server(&host);
            assert_eq!(servers.send(7, probe(1)), Ok(()));
            let ended = next_event(&mut servers, &mut inputs).await;
            assert!(matches!(ended[..], [(1, AttemptOutcome::NotConnected)]), "error {error}");
            let connects = servers.take_connect_counts();
            assert_eq!((connects.refused, connects.local_failures), (1, 0), "error {error}");
        }
    });
}

/// Where no route leads to one server and another is connected, it is that server that can't be reached.
#[test]
fn a_route_that_only_one_server_lacks_is_a_refusal_of_its() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let host = FailingHost::new();
        let (mut servers, mut inputs) = failing_server(&host);
        assert!(servers.update_server(8, Some(address), true).is_empty());
        assert_eq!(servers.send(8, probe(1)), Ok(()));
        assert!(next_event(&mut servers, &mut inputs).await.is_empty());
        host.error.set(Some(ENETUNREACH));
        assert_eq!(servers.send(7, probe(2)), Ok(()));
        let ended = next_event(&mut servers, &mut inputs).await;
        assert!(matches!(ended[..], [(2, AttemptOutcome::NotConnected)]));
        assert_eq!(servers.take_connect_counts().refused, 1);
    });
}

/// Requests go on to come, and each wants a connection: this machine is asked for one at a bounded rate, and so is the log.
#[test]
fn a_shortage_of_descriptors_is_not_met_with_a_storm_of_connections() {
    with_paused_clock(async {
        let host = FailingHost::failing_with(EMFILE);
        let (mut servers, mut inputs) = failing_server(&host);
        for attempt in 0..10_000 {
            if servers.send(7, probe(attempt)).is_ok() {
                let ended = next_event(&mut servers, &mut inputs).await;
                assert!(matches!(ended[..], [(_, AttemptOutcome::LocalFailure)]));
            }
            tokio::time::advance(Duration::from_millis(1)).await;
        }
        let tries = host.connects.get();
        assert!((50..=80).contains(&tries), "{tries} connections tried in 10 s");
        assert!(host.log.borrow().len() <= 3, "{:?}", host.log.borrow());
    });
}

/// Connections that there are serve on: nothing waits for the pause.
#[test]
fn a_connection_that_is_up_is_used_while_this_machine_can_make_no_other() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let host = FailingHost::new();
        let (mut servers, mut inputs) = servers_on(host.clone(), 1, 64);
        assert!(servers.update_server(7, Some(address), true).is_empty());
        assert_eq!(servers.send(7, probe(1)), Ok(()));
        assert!(next_event(&mut servers, &mut inputs).await.is_empty());
        host.error.set(Some(EMFILE));
        // The second waits for a connection of its own, which fails: it goes behind the first.
        assert_eq!(servers.send(7, probe(2)), Ok(()));
        assert!(next_event(&mut servers, &mut inputs).await.is_empty());
        assert_eq!(servers.send(7, probe(3)), Ok(()));
        assert_eq!(servers.pools[&7].connections[0].load(), 3);
    });
}

/// What waits to be sent again is taken back unwritten when its client leaves, or its server drains.
#[test]
fn what_waits_to_be_sent_again_is_taken_back_unwritten() {
    for drains in [false, true] {
        with_one_connection(async |listener, mut servers, mut inputs| {
            let ends = Instant::now() + Duration::from_secs(9);
            assert!(servers.send(7, read_until(1, ends)).is_ok());
            assert!(next_event(&mut servers, &mut inputs).await.is_empty());
            let (mut stream, _) = listener.accept().unwrap();
            let value = b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
            std::io::Write::write_all(&mut stream, value).unwrap();
            assert!(matches!(
                next_event(&mut servers, &mut inputs).await[..],
                [(1, AttemptOutcome::Answered(_))]
            ));
            assert!(servers.send(7, read_until(2, ends)).is_ok());
            while servers.pools[&7].connections[0].shared.line.borrow().sent.is_empty() {
                tokio::task::yield_now().await;
            }
            std::io::Write::write_all(&mut stream, value).unwrap();
            let mut ended = next_event(&mut servers, &mut inputs).await;
            let Some((2, AttemptOutcome::Interrupted(displaced))) = ended.pop() else {
                panic!("not doubted")
            };
            assert!(displaced.was_written);
            assert_eq!(servers.resend(7, displaced), Ok(()));
            if drains {
                assert_eq!(servers.update_server(7, Some(listener.local_addr().unwrap()), false), [2]);
            } else {
                assert!(servers.withdraw(7, 2).unwritten);
            }
            // Time for what must not be written.
            tokio::time::sleep(Duration::from_millis(50)).await;
            listener.set_nonblocking(true).unwrap();
            if let Ok((mut again, _)) = listener.accept() {
                again.set_nonblocking(false).unwrap();
                let mut written = Vec::new();
                again.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
                let _ = again.read_to_end(&mut written);
                assert_eq!(written, b"");
            }
        });
    }
}

/// A doubt is settled by the answer to the same command alone: once that is taken back, the value of another
/// key proves no repeat.
#[test]
fn the_value_of_another_key_settles_no_doubt() {
    with_one_connection(async |listener, mut servers, mut inputs| {
        let ends = Instant::now() + Duration::from_secs(9);
        assert!(servers.send(7, read_until(1, ends)).is_ok());
        assert!(next_event(&mut servers, &mut inputs).await.is_empty());
        let (mut stream, _) = listener.accept().unwrap();
        let value = b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
        std::io::Write::write_all(&mut stream, value).unwrap();
        assert!(matches!(
            next_event(&mut servers, &mut inputs).await[..],
            [(1, AttemptOutcome::Answered(_))]
        ));
        assert!(servers.send(7, read_until(2, ends)).is_ok());
        while servers.pools[&7].connections[0].shared.line.borrow().sent.is_empty() {
            tokio::task::yield_now().await;
        }
        std::io::Write::write_all(&mut stream, value).unwrap();
        let mut ended = next_event(&mut servers, &mut inputs).await;
        let Some((2, AttemptOutcome::Interrupted(displaced))) = ended.pop() else { panic!("not doubted") };
        assert_eq!(servers.resend(7, displaced), Ok(()));
        // Its client leaves while the new connection is made, and another command is the first on it.
        assert!(servers.withdraw(7, 2).unwritten);
        assert!(next_event(&mut servers, &mut inputs).await.is_empty());
        assert!(servers.send(7, read_until(3, ends)).is_ok());
        let (mut stream, _) = listener.accept().unwrap();
        std::io::Write::write_all(&mut stream, b"*3\r\n$1\r\nw\r\n$-1\r\n$-1\r\n").unwrap();
        assert!(matches!(
            next_event(&mut servers, &mut inputs).await[..],
            [(3, AttemptOutcome::Answered(_))]
        ));
        assert!(!servers.pools[&7].findings.borrow().is_distrusted(), "said to have repeated");
    });
}
