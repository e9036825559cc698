//! Connections to cache servers, told apart from the node that drives them.

use std::io::{ErrorKind, Read};

use mothpier_host::Machine;
use mothpier_ops::Desk;

use super::*;
use crate::command::{Claim, Ids};

/// The connections of one of so many nodes, with so many descriptors for them, and what they tell.
fn servers(balancers: usize, descriptors: usize) -> (Servers<Machine>, mpsc::Receiver<Input>) {
    let (events, inputs) = mpsc::channel(8);
    let limits = Limits {
        balancers,
        multiplex: 32,
        idle_close: Duration::from_secs(60),
        connect_timeout: Duration::from_secs(30),
        descriptors,
    };
    let figures = Desk::new(["read"]).figures.clone();
    (Servers::new(Machine { program: "test" }, limits, figures, events), inputs)
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
            assert!(servers.listed(7, Some(address), true).is_empty());
            for attempt in 1..=20 {
                assert!(servers.send(7, Command { attempt, payload: Payload::Probe }));
            }
            assert_eq!(servers.pools[&7].connections.len(), connections);
            assert_eq!(servers.connects(), Connects { begun: connections as u32, refused: 0 });
            assert_eq!(servers.connects(), Connects::default(), "told once");
        }
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
        let ping = |attempt| Command { attempt, payload: Payload::Probe };
        assert!(servers.listed(7, Some(address), true).is_empty());
        assert!(servers.send(7, ping(1)));
        assert!(matches!(inputs.recv().await, Some(Input::Server { event: Event::Up, .. })));
        // Up, but the node has not been told yet: the attempt still waits.
        assert_eq!(servers.listed(7, Some(address), false), [1]);
        assert!(!servers.send(7, ping(2)), "taken for a server that drains");
        assert!(servers.event(7, 1, Event::Up).is_empty());
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
            assert!(servers.listed(7, Some(address), true).is_empty());
            assert!(servers.send(7, Command { attempt: 1, payload: Payload::Probe }));
            assert!(matches!(inputs.recv().await, Some(Input::Server { event: Event::Up, .. })));
            assert!(servers.event(7, 1, Event::Up).is_empty());
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
fn read_until(attempt: AttemptId, attempt_ends: Instant) -> Command {
    let id = Bytes::from(attempt.to_string());
    let command = ClientCommand {
        name: "CACHE.GET".into(),
        key: "k".into(),
        id: id.clone(),
        extras: "c=read,d=9000".into(),
        value: None,
        write: false,
        _claim: Claim::of(&Ids::default(), &id).unwrap(),
    };
    let extras = command.attempt_extras(attempt_ends);
    Command { attempt, payload: Payload::Request { command: command.into(), extras } }
}

/// Runs a test of a node that may have one connection to the server 7, which the test serves by hand.
fn with_one_connection(
    test: impl AsyncFnOnce(std::net::TcpListener, Servers<Machine>, mpsc::Receiver<Input>),
) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (mut servers, inputs) = servers(64, 64);
        assert!(servers.listed(7, Some(address), true).is_empty());
        test(listener, servers, inputs).await;
    });
}

/// There is no time that it could tell: it stays unwritten until it is given up, and holds up nothing behind it.
#[test]
fn an_attempt_without_time_left_is_not_written() {
    with_one_connection(async |listener, mut servers, mut inputs| {
        assert!(servers.send(7, read_until(1, Instant::now())));
        assert!(servers.send(7, Command { attempt: 2, payload: Payload::Probe }));
        assert!(matches!(inputs.recv().await, Some(Input::Server { event: Event::Up, .. })));
        assert!(servers.event(7, 1, Event::Up).is_empty());
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let probe = resp::command(["INFO".into(), "load".into()]);
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
        assert!(servers.send(7, Command { attempt: 1, payload: Payload::Probe }));
        assert!(matches!(inputs.recv().await, Some(Input::Server { event: Event::Up, .. })));
        assert!(servers.event(7, 1, Event::Up).is_empty());
        let (stream, _) = listener.accept().unwrap();
        let written =
            |servers: &Servers<Machine>| servers.pools[&7].connections[0].shared.line.borrow().sent.len();
        while written(&servers) == 0 {
            tokio::task::yield_now().await;
        }
        assert!(servers.send(7, read_until(2, Instant::now())));
        assert!(!servers.give_up(7, 1).unwritten);
        assert_eq!(servers.pools[&7].connections.len(), 1, "closed under one that waits");
        assert!(servers.give_up(7, 2).unwritten);
        assert!(servers.pools[&7].connections.is_empty());
        drop(stream);
    });
}
