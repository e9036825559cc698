//! Rare faults of cache servers, the origin and discovery, on real sockets with the daemon as a process: half-open
//! connections, hangs during a shutdown, silently dropped requests, retries and hedges that fail at once, responses in
//! single bytes, small socket buffers, and reloads in quick succession.
#![allow(missing_docs)]

mod harness;

use std::io::{BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;
use socket2::{Domain, SockRef, Socket, Type};

/// Setting for read-through cache servers, to which writes go, too.
const READ_THROUGH: (&str, &str) = (r#""mode":"aside""#, r#""mode":"through""#);

/// Settings with deadlines of 1.5 s for the two classes that have 20 s.
const SHORT_DEADLINES: [(&str, &str); 2] = [
    (r#""deadlineUs":20000000,"goalTimeUs":2000000,"#, r#""deadlineUs":1500000,"goalTimeUs":1500000,"#),
    (r#""deadlineUs":20000000,"goalTimeUs":1000000,"#, r#""deadlineUs":1500000,"goalTimeUs":1000000,"#),
];

/// Minimum time from SIGTERM to SIGKILL: the longest deadline ([`SHORT_DEADLINES`]) plus 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(1500 + 700);

/// Makes the close of a connection a reset.
fn reset_connection(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Serves each connection of a listener on its own thread.
fn each_connection(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// The bytes of a reaction that is an answer.
fn bytes_of(reaction: Reaction) -> Vec<u8> {
    match reaction {
        Reaction::Answer(bytes) => bytes,
        _ => unreachable!("no answer"),
    }
}

/// How a cache server ends a connection after the first answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionEnd {
    Closes,
    Resets,
    /// The connection is half-open: the server has lost it, and resets it when the next command arrives.
    ResetsAtNextRequest,
}

/// A cache server that ends each connection after its first answer.
struct DisconnectingServer {
    address: SocketAddr,
    /// Ids of the commands that were read.
    seen: Receiver<String>,
    /// Makes the server end the connection that answered last.
    end: Sender<()>,
    /// The node's address of a connection that has ended.
    ended: Receiver<SocketAddr>,
}

impl DisconnectingServer {
    fn start(connection_end: ConnectionEnd) -> Self {
        let (sender, seen) = channel::<String>();
        let (end, may_end) = channel::<()>();
        let (has_ended, ended) = channel::<SocketAddr>();
        let shared = Mutex::new((sender, has_ended));
        let may_end = Mutex::new(may_end);
        let address = each_connection(listener(), move |stream| {
            let (sender, has_ended) = shared.lock().unwrap().clone();
            let other_side = stream.peer_addr().unwrap();
            let mut stream = BufReader::new(stream);
            let Some(first) = read_command(&mut stream) else { return };
            sender.send(first[2].clone()).unwrap();
            stream.get_mut().write_all(&bytes_of(hit(&first[2]))).unwrap();
            if connection_end == ConnectionEnd::ResetsAtNextRequest {
                let Some(next) = read_command(&mut stream) else { return };
                sender.send(next[2].clone()).unwrap();
            } else if may_end.lock().unwrap().recv().is_err() {
                return;
            }
            if connection_end == ConnectionEnd::Closes {
                // Wait until the node has closed its side, which shows that it has noticed the close.
                stream.get_ref().shutdown(Shutdown::Write).unwrap();
                let _ = stream.read_to_end(&mut Vec::new());
            } else {
                reset_connection(stream.get_ref());
            }
            drop(stream);
            let _ = has_ended.send(other_side);
        });
        DisconnectingServer { address, seen, end, ended }
    }
}

/// No request may fail because a server closed or reset an idle connection. The test can't see when the node has noticed
/// a reset, and a write before that would fail, so only reads follow a reset. A read before that takes one of the five
/// retries of the node's budget, so no node gets more than five.
#[test]
fn an_idle_connection_that_the_server_has_closed_is_not_reused() {
    let closed = [(ConnectionEnd::Closes, 20)];
    for (connection_end, requests) in closed.into_iter().chain([(ConnectionEnd::Resets, 5); 4]) {
        let server = DisconnectingServer::start(connection_end);
        let discovery = Discovery::start(&member("s-1", server.address, "m", "ready"));
        let node = start_node("forgotten-idle", &discovery, &[READ_THROUGH]);
        let mut client = node.client();
        for i in 0..requests {
            let id = format!("i{i}");
            let answer = match connection_end {
                ConnectionEnd::Closes if i % 2 == 1 => {
                    client.ask(&["CACHE.SET", "k", &id, "c=once,t=acme,d=9000", "value"])
                }
                _ => client.ask(&["CACHE.GET", "k", &id, "c=read,t=acme,d=9000"]),
            };
            assert_eq!(answer, format!("${id}"), "{connection_end:?}");
            assert_eq!(server.seen.recv_timeout(HANG_TIMEOUT).unwrap(), id, "{connection_end:?}");
            server.end.send(()).unwrap();
            server.ended.recv_timeout(HANG_TIMEOUT).unwrap();
        }
        assert!(server.seen.try_recv().is_err(), "{connection_end:?}: sent again");
    }
}

/// Waits until the reset of a connection has reached the other side, when it vanishes from the kernel's connection table.
fn wait_until_reset_arrives(server: SocketAddr, other_side: SocketAddr) {
    let port = |of: SocketAddr| format!(":{:04X}", of.port());
    let is_listed = || {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        table.lines().any(|line| {
            // The fields are a number, the local address, the remote address, and more.
            let mut fields = line.split_whitespace().skip(1);
            let (local, remote) = (fields.next().unwrap(), fields.next().unwrap());
            local.ends_with(&port(other_side)) && remote.ends_with(&port(server))
        })
    };
    while is_listed() {
        thread::yield_now();
    }
}

/// A paused node sees the reset of its idle connection and the next request at the same time. No request may fail, however
/// often this happens in a row at the only server.
#[test]
fn a_reset_seen_together_with_the_next_read_fails_no_request() {
    let server = DisconnectingServer::start(ConnectionEnd::Resets);
    let discovery = Discovery::start(&member("s-1", server.address, "m", "ready"));
    let node = start_node("forgotten-held-up", &discovery, &[READ_THROUGH]);
    let mut client = node.client();
    for i in 0..20 {
        let id = format!("i{i}");
        node.signal("STOP");
        if i > 0 {
            server.end.send(()).unwrap();
            server.ended.recv_timeout(HANG_TIMEOUT).unwrap();
        }
        client.send(&["CACHE.GET", "k", &id, "c=read,t=acme,d=9000"]);
        node.signal("CONT");
        assert_eq!(client.answer(), format!("${id}"));
        assert_eq!(server.seen.recv_timeout(HANG_TIMEOUT).unwrap(), id);
    }
}

/// The same for writes, which may not be sent twice: the node must not write to a connection whose reset has arrived.
#[test]
fn a_reset_seen_together_with_the_next_write_fails_no_write() {
    let server = DisconnectingServer::start(ConnectionEnd::Resets);
    let discovery = Discovery::start(&member("s-1", server.address, "m", "ready"));
    let node = start_node("forgotten-before-write", &discovery, &[READ_THROUGH]);
    let mut client = node.client();
    for i in 0..20 {
        let id = format!("i{i}");
        node.signal("STOP");
        if i > 0 {
            server.end.send(()).unwrap();
            wait_until_reset_arrives(server.address, server.ended.recv_timeout(HANG_TIMEOUT).unwrap());
        }
        client.send(&["CACHE.SET", "k", &id, "c=once,t=acme,d=9000", "value"]);
        node.signal("CONT");
        assert_eq!(client.answer(), format!("${id}"));
        assert_eq!(server.seen.recv_timeout(HANG_TIMEOUT).unwrap(), id);
    }
}

/// The node learns that a connection is half-open only after it has written a request. A read is retried; a write, which
/// may not run twice, fails.
#[test]
fn on_a_half_open_connection_a_read_is_retried_and_a_write_fails() {
    let server = DisconnectingServer::start(ConnectionEnd::ResetsAtNextRequest);
    let discovery = Discovery::start(&member("s-1", server.address, "m", "ready"));
    let node = start_node("forgotten-silently", &discovery, &[READ_THROUGH]);
    let mut client = node.client();
    let mut read = |id: &str| client.ask(&["CACHE.GET", "k", id, "c=read,t=acme,d=9000"]);
    assert_eq!(read("r1"), "$r1");
    assert_eq!(read("r2"), "$r2", "not retried");
    let write = node.client().ask(&["CACHE.SET", "k", "w1", "c=once,t=acme,d=9000", "value"]);
    assert_eq!(write, "-ERR failed");
    assert_eq!(read("r3"), "$r3");
    let seen: Vec<String> = server.seen.try_iter().collect();
    assert_eq!(seen, ["r1", "r2", "r2", "w1", "r3"]);
}

/// All idle connections to a server are half-open. A read that failed on one of them must be retried on a new connection,
/// not on another half-open one.
#[test]
fn a_read_that_failed_on_a_half_open_connection_is_retried_on_a_new_one() {
    let both = Arc::new(Barrier::new(2));
    let address = each_connection(listener(), move |stream| {
        let mut stream = BufReader::new(stream);
        let Some(first) = read_command(&mut stream) else { return };
        if first[2].starts_with("pair") {
            both.wait();
        }
        stream.get_mut().write_all(&bytes_of(hit(&first[2]))).unwrap();
        let _ = read_command(&mut stream);
        reset_connection(stream.get_ref());
    });
    let discovery = Discovery::start(&member("s-1", address, "m", "ready"));
    let node = start_node("forgotten-all", &discovery, &[READ_THROUGH]);
    let mut clients = [node.client(), node.client()];
    for (client, id) in clients.iter_mut().zip(["pair-1", "pair-2"]) {
        client.send(&["CACHE.GET", "k", id, "c=read,t=acme,d=9000"]);
    }
    for (client, id) in clients.iter_mut().zip(["pair-1", "pair-2"]) {
        assert_eq!(client.answer(), format!("${id}"));
    }
    assert_eq!(clients[0].ask(&["CACHE.GET", "k", "alone", "c=read,t=acme,d=9000"]), "$alone");
}

/// Where a large value stalls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stall {
    /// The server writes no more of it.
    AtServer,
    /// The client reads no more of it.
    AtClient,
}

/// A cache server that answers two commands on its first connection with a stalling large value and the response behind
/// it, and commands on other connections at once.
fn large_value_ahead(stall: Stall, value: String) -> SocketAddr {
    let first = Mutex::new(true);
    each_connection(listener(), move |stream| {
        let is_first = std::mem::replace(&mut *first.lock().unwrap(), false);
        let mut stream = BufReader::new(stream);
        while let Some(asked) = read_command(&mut stream) {
            if !is_first {
                stream.get_mut().write_all(&bytes_of(hit(&asked[2]))).unwrap();
                continue;
            }
            let Some(behind) = read_command(&mut stream) else { return };
            let mut answer = bytes_of(hit(&value));
            match stall {
                Stall::AtServer => answer.truncate(value.len() / 2),
                Stall::AtClient => answer.extend(bytes_of(hit(&behind[2]))),
            }
            let _ = stream.get_mut().write_all(&answer);
        }
    })
}

/// A read that was pipelined behind one with a large value must not wait while that value stalls, at the server or at the
/// client.
#[test]
fn a_read_behind_a_stalled_large_value_is_answered() {
    // The maximum length of a value, which is more than the buffers on the way hold.
    let value = pattern(4 << 20);
    for stall in [Stall::AtClient, Stall::AtServer] {
        let server = large_value_ahead(stall, value.clone());
        let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
        // One of 64 nodes makes one connection to the server.
        let node = start_node(
            "behind-large",
            &discovery,
            &[READ_THROUGH, (r#""balancers":1"#, r#""balancers":64"#)],
        );
        let mut slow_reader = small_client(&node);
        slow_reader.send(&["CACHE.GET", "large", "i1", "c=read,t=acme,d=9000"]);
        node.wait_for_metric("edge_router_in_flight", 1);
        let asked = Instant::now();
        let answer = node.client().ask(&["CACHE.GET", "k", "i2", "c=read,t=acme,d=9000"]);
        assert_eq!(answer, "$i2", "{stall:?} after {:?}", asked.elapsed());
        assert!(asked.elapsed() < Duration::from_secs(5), "{stall:?}: {:?}", asked.elapsed());
    }
}

/// A server sends a duplicate response after it has received the next command. The duplicate must not be taken for the
/// response to that command.
#[test]
fn a_late_duplicate_behind_the_next_command_is_not_taken_for_its_response() {
    let address = each_connection(listener(), |stream| {
        let mut stream = BufReader::new(stream);
        let Some(first) = read_command(&mut stream) else { return };
        let first = bytes_of(hit(&first[2]));
        stream.get_mut().write_all(&first).unwrap();
        let Some(next) = read_command(&mut stream) else { return };
        let _ = stream.get_mut().write_all(&[first, bytes_of(hit(&next[2]))].concat());
    });
    let discovery = Discovery::start(&member("s-1", address, "m", "ready"));
    let node = start_node("second-answer", &discovery, &[READ_THROUGH]);
    let mut client = node.client();
    assert_eq!(client.ask(&["CACHE.GET", "k1", "i1", "c=read,t=acme,d=9000"]), "$i1");
    assert_ne!(client.ask(&["CACHE.GET", "k2", "i2", "c=read,t=acme,d=9000"]), "$i1");
}

/// All cache servers and the origin hang throughout a shutdown. Every request that the node reads must have its final answer
/// before the earliest SIGKILL, and the process must have ended by then.
#[test]
fn all_requests_are_answered_before_sigkill_while_all_servers_hang() {
    for connects in [true, false] {
        let silent = || serve(read_command, |_| Reaction::Silence);
        let origin = serve(read_call, |_| Reaction::Silence);
        let full_listener = FullListener::new();
        let cache = if connects { silent() } else { full_listener.address() };
        let members = [
            member("s-1", cache, "m", "ready"),
            member("s-2", cache, "m", "ready"),
            member("o-1", origin, "origin", "ready"),
        ];
        let discovery = Discovery::start(&members.join(","));
        let mut node = start_node("hangs-through", &discovery, &SHORT_DEADLINES);
        let mut clients: Vec<Client> = (0..6).map(|_| node.client()).collect();
        let ask = |client: &mut Client, number: usize, id: &str| match number % 2 {
            0 => client.send(&["CACHE.GET", &format!("k{id}"), id, "c=read,t=acme,d=600000"]),
            _ => client.send(&["CACHE.SET", &format!("k{id}"), id, "c=once,t=acme,d=600000", "value"]),
        };
        for (number, client) in clients.iter_mut().enumerate() {
            ask(client, number, &format!("before-{number}"));
        }
        node.wait_for_metric("edge_router_in_flight", 6);
        let terminated = Instant::now();
        node.signal("TERM");
        // Clients with an open request send another on the same connection.
        for (number, client) in clients.iter_mut().enumerate() {
            ask(client, number, &format!("after-{number}"));
        }
        for client in &mut clients {
            for _ in 0..2 {
                let answer = client.answer();
                assert!(answer.starts_with('-'), "{answer}");
                assert!(terminated.elapsed() < EARLIEST_KILL, "answered after {:?}", terminated.elapsed());
            }
        }
        assert!(node.wait_for_exit().success());
        assert!(terminated.elapsed() < EARLIEST_KILL, "ended after {:?}", terminated.elapsed());
    }
}

/// A cache server that silently drops requests with little time left, and then sends no more responses on that connection,
/// as responses are in order.
fn silently_dropping_server(least: u64) -> SocketAddr {
    each_connection(listener(), move |stream| {
        let mut stream = BufReader::new(stream);
        let mut silent = false;
        while let Some(asked) = read_command(&mut stream) {
            let left = asked[3].split(',').find_map(|extra| extra.strip_prefix("d=")).unwrap();
            silent |= left.parse::<u64>().unwrap() < least;
            if !silent && stream.get_mut().write_all(&bytes_of(hit(&asked[2]))).is_err() {
                return;
            }
        }
    })
}

/// A request with little time left that its server silently drops must get its final answer in time. Requests at the same
/// time and later must get their own answers.
#[test]
fn a_silently_dropped_request_is_answered_in_time_and_affects_no_other() {
    const LITTLE: Duration = Duration::from_millis(80);
    // How late after its deadline an answer may be.
    const SLACK: Duration = Duration::from_millis(150);
    let members: Vec<String> = (0..3)
        .map(|number| member(&format!("s-{number}"), silently_dropping_server(200), "m", "ready"))
        .collect();
    let discovery = Discovery::start(&members.join(","));
    // One of eight nodes makes four connections to each server, so some requests are pipelined.
    let node = start_node("drops", &discovery, &[(r#""balancers":1"#, r#""balancers":8"#)]);
    for round in 0..6 {
        let asked = Instant::now();
        let mut dropped = node.client();
        let extras = format!("c=read,t=acme,d={}", LITTLE.as_millis());
        dropped.send(&["CACHE.GET", "k", &format!("little-{round}"), &extras]);
        let mut others: Vec<Client> = (0..4).map(|_| node.client()).collect();
        for (number, other) in others.iter_mut().enumerate() {
            other.send(&["CACHE.GET", "k", &format!("r{round}-{number}"), "c=read,t=acme,d=9000"]);
        }
        let answer = dropped.answer();
        assert!(answer.starts_with('-'), "{answer}");
        assert!(asked.elapsed() < LITTLE + SLACK, "answered after {:?}", asked.elapsed());
        for (number, other) in others.iter_mut().enumerate() {
            assert_eq!(other.answer(), format!("$r{round}-{number}"));
        }
    }
}

/// A server that silently dropped a request answers nothing more on that connection. A read that was pipelined behind it
/// must move to another connection soon after the dropped request has timed out.
#[test]
fn a_read_behind_a_silently_dropped_request_does_not_wait_for_its_deadline() {
    let server = silently_dropping_server(500);
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    // One of 64 nodes makes one connection to the server.
    let node =
        start_node("behind-dropped", &discovery, &[READ_THROUGH, (r#""balancers":1"#, r#""balancers":64"#)]);
    let mut dropped = node.client();
    dropped.send(&["CACHE.GET", "k", "little", "c=read,t=acme,d=400"]);
    node.wait_for_metric("edge_router_in_flight", 1);
    let asked = Instant::now();
    let answer = node.client().ask(&["CACHE.GET", "k", "behind", "c=read,t=acme,d=9000"]);
    assert_eq!(answer, "$behind", "after {:?}", asked.elapsed());
    assert!(asked.elapsed() < Duration::from_secs(5), "{:?}", asked.elapsed());
}

/// A port that refuses connections. It stays bound until the process ends, because tests in parallel take free ports.
fn closed_port() -> SocketAddr {
    let held = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    held.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
    let address = held.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(held);
    address
}

/// A hedge whose connection is refused at once must not affect the first attempt, which is answered later.
#[test]
fn a_hedge_that_fails_at_once_does_not_affect_the_first_attempt() {
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let (sender, commands) = channel();
    let forward = forward_to(sender);
    let slow = serve(read_command, move |asked| {
        forward(asked);
        if asked[2] == "slow" {
            let _ = wait.lock().unwrap().recv();
        }
        hit(&asked[2])
    });
    let slow_server = member("s-1", slow, "m", "ready");
    let discovery = Discovery::start(&slow_server);
    // A hedge is sent after two fifths of the latency target.
    let node =
        start_node("hedge-fails", &discovery, &[(r#""goalTimeUs":2000000"#, r#""goalTimeUs":500000"#)]);
    let mut client = node.client();
    client.send(&["CACHE.GET", "k", "slow", "c=read,t=acme,d=20000"]);
    assert_eq!(commands.recv_timeout(HANG_TIMEOUT).unwrap()[2], "slow");
    // A later command is answered first: the overtaken request is hedged.
    assert_eq!(node.client().ask(&["CACHE.GET", "k", "quick", "c=read,t=acme,d=20000"]), "$quick");
    discovery.change(2, &[slow_server, member("s-2", closed_port(), "m", "ready")].join(","));
    discovery.wait_for_watch_after(2);
    node.wait_for_metric("edge_router_connects_refused_total", 1);
    release.send(()).unwrap();
    assert_eq!(client.answer(), "$slow");
    node.wait_for_metric("edge_router_in_flight", 0);
}

/// Only one of the servers listens: attempts that are refused at the others are retried there, and each request gets its
/// answer.
#[test]
fn attempts_refused_at_once_are_retried_at_a_server_that_listens() {
    let good = serve(read_command, |asked| hit(&asked[2]));
    let origin = serve(read_call, |asked| http("200 OK", &asked[0]));
    let mut members = vec![member("s-0", good, "m", "ready"), member("o-1", origin, "origin", "ready")];
    members.extend((1..3).map(|number| member(&format!("s-{number}"), closed_port(), "m", "ready")));
    let discovery = Discovery::start(&members.join(","));
    let node = start_node("retries-fail", &discovery, &[]);
    let mut client = node.client();
    for number in 0..60 {
        let (key, id) = (format!("k{number}"), format!("i{number}"));
        let answer = client.ask(&["CACHE.GET", &key, &id, "c=read,t=acme,d=9000"]);
        let from_origin = format!("$GET /{key} HTTP/1.1");
        assert!(answer == format!("${id}") || answer == from_origin, "{answer}");
    }
}

/// A request whose attempts all fail at once must get its final answer long before its deadline.
#[test]
fn if_every_attempt_fails_at_once_the_final_answer_is_fast() {
    let origin = serve(read_call, |_| Reaction::Reset);
    let mut members = vec![member("o-1", origin, "origin", "ready")];
    members.extend((0..3).map(|number| member(&format!("s-{number}"), closed_port(), "m", "ready")));
    let discovery = Discovery::start(&members.join(","));
    let node = start_node("all-fail", &discovery, &[]);
    let mut client = node.client();
    let asked = Instant::now();
    for number in 0..20 {
        let id = format!("i{number}");
        let answer = client.ask(&["CACHE.GET", &id, &id, "c=read,t=acme,d=9000"]);
        assert!(answer.starts_with('-'), "{answer}");
    }
    assert!(asked.elapsed() < Duration::from_secs(9), "{:?} for 20", asked.elapsed());
}

/// An HTTP response without a length ends with its connection. A complete one must be forwarded, whatever pieces it arrives
/// in.
#[test]
fn complete_responses_without_a_length_in_single_bytes_are_forwarded() {
    const HEADS: [&str; 3] = [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n",
    ];
    let answers = Arc::new(Mutex::new(0));
    let count = answers.clone();
    let origin = each_connection(listener(), move |stream| {
        stream.set_nodelay(true).unwrap();
        let mut stream = BufReader::new(stream);
        if read_call(&mut stream).is_none() {
            return;
        }
        let head = {
            let mut count = count.lock().unwrap();
            *count += 1;
            HEADS[*count % HEADS.len()]
        };
        for byte in [head.as_bytes(), b"a whole receipt"].concat() {
            stream.get_mut().write_all(&[byte]).unwrap();
            thread::yield_now();
        }
    });
    let discovery = Discovery::start(&member("o-1", origin, "origin", "ready"));
    let node = start_node("single-bytes", &discovery, &[]);
    let mut client = node.client();
    for number in 0..30 {
        let id = format!("i{number}");
        let answer = client.ask(&["CACHE.SET", &id, &id, "c=once,t=acme,d=9000", "value"]);
        assert_eq!(answer, "$a whole receipt");
    }
    assert_eq!(*answers.lock().unwrap(), 30);
}

/// Gives a socket small buffers in both directions.
fn small_buffers(socket: SockRef<'_>) {
    const SMALL: usize = 4096;
    socket.set_recv_buffer_size(SMALL).unwrap();
    socket.set_send_buffer_size(SMALL).unwrap();
    // Segments on loopback are larger than these buffers: without a smaller MSS the sender would wait for a timer before
    // each of them.
    socket.set_tcp_mss(1000).unwrap();
}

/// A listener whose connections have [`small_buffers`], as accepted sockets inherit the sizes.
fn small_listener() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    small_buffers(SockRef::from(&socket));
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
    socket.listen(128).unwrap();
    TcpListener::from(socket)
}

/// Text whose period is no buffer size, so that a misplaced part shows.
fn pattern(length: usize) -> String {
    (0..length).map(|at| char::from(b'a' + (at * at % 251 % 26) as u8)).collect()
}

/// A client whose socket has [`small_buffers`].
fn small_client(node: &Node) -> Client {
    let client = node.client();
    small_buffers(SockRef::from(&client.sending_side()));
    client
}

/// With short reads and writes, values to and from a cache server must arrive complete.
#[test]
fn large_values_pass_through_small_buffers_in_both_directions() {
    const LENGTH: usize = 150_000;
    let value = pattern(LENGTH);
    let (sender, written) = channel();
    let forward = forward_to(sender);
    let large = value.clone();
    let server = serve_on(small_listener(), read_command, move |asked| match asked[0].as_str() {
        "CACHE.SET" => {
            forward(asked);
            hit("written")
        }
        _ => hit(&large),
    });
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let node = start_node("small-buffers", &discovery, &[READ_THROUGH]);
    let mut client = small_client(&node);
    for id in ["r1", "r2"] {
        let answer = client.ask(&["CACHE.GET", "k", id, "c=read,t=acme,d=19000"]);
        assert!(answer.strip_prefix('$') == Some(&value), "{id}: {} bytes", answer.len());
    }
    assert_eq!(client.ask(&["CACHE.SET", "k", "w", "c=once,t=acme,d=19000", &value]), "$written");
    assert!(written.recv_timeout(HANG_TIMEOUT).unwrap()[4] == value, "the value has changed");
}

/// The same for the origin.
#[test]
fn large_origin_values_pass_through_small_buffers() {
    const LENGTH: usize = 150_000;
    let value = pattern(LENGTH);
    let large = value.clone();
    let (sender, written) = channel();
    let forward = forward_to(sender);
    let origin = serve_on(small_listener(), read_call, move |asked| {
        if asked[0].starts_with("PUT") {
            forward(asked);
            return http("200 OK", "written");
        }
        http("200 OK", &large)
    });
    let server = serve(read_command, |_| miss());
    let members = [member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")];
    let discovery = Discovery::start(&members.join(","));
    let node = start_node("small-origin", &discovery, &[]);
    let mut client = small_client(&node);
    let answer = client.ask(&["CACHE.GET", "k", "r", "c=read,t=acme,d=19000"]);
    assert!(answer.strip_prefix('$') == Some(&value), "{} bytes", answer.len());
    assert_eq!(client.ask(&["CACHE.SET", "k", "w", "c=once,t=acme,d=19000", &value]), "$written");
    assert!(*written.recv_timeout(HANG_TIMEOUT).unwrap().last().unwrap() == value, "the value has changed");
}

/// A half-written command whose client disconnects is never completed, also with small socket buffers at the server.
#[test]
fn a_command_half_written_into_a_small_buffer_is_never_completed() {
    let server = small_listener();
    let discovery = Discovery::start(&member("s-1", server.local_addr().unwrap(), "m", "ready"));
    let node = start_node(
        "half-small",
        &discovery,
        &[LONG_DEADLINES[0], LONG_DEADLINES[1], LONG_DEADLINES[2], READ_THROUGH],
    );
    let value = pattern(4 << 20);
    let mut gone = node.client();
    gone.send(&["CACHE.SET", "k", "gone", "c=once,t=acme,d=600000", &value]);
    let mut stalled = reader(server.accept().unwrap().0);
    let mut begun = [0; 16];
    stalled.read_exact(&mut begun).unwrap();
    node.wait_for_metric("edge_router_in_flight", 1);
    drop(gone);
    node.wait_for_metric("edge_router_in_flight", 0);
    let mut rest = Vec::new();
    let _ = stalled.read_to_end(&mut rest);
    assert!(begun.len() + rest.len() < value.len(), "the command was completed: {} bytes", rest.len());
    assert_eq!(node.metric("edge_router_attempts_total"), Some(0));
}

/// Reloads follow faster than the node can apply them. The last one must take effect, its discovery be watched, and an open
/// request be answered.
#[test]
fn of_rapid_reloads_the_last_one_applies_and_no_request_is_lost() {
    let (held_server, commands, release) = held_server(|asked| asked[2].clone());
    let first = Discovery::start(&member("s-1", held_server, "m", "ready"));
    let path = scratch_path("quick-reloads.json");
    let mut started = node_command("quick-reloads", first.address, 1024, "");
    started.env("ROUTER_DISCOVERY", first.address.to_string());
    let node = Node::run(started, &first);
    let mut open = node.client();
    open.send(&["CACHE.GET", "k", "open", "c=read,t=acme,d=19000"]);
    commands.recv_timeout(HANG_TIMEOUT).unwrap();
    let others: Vec<Discovery> = (0..3)
        .map(|_| Discovery::start(&member("s-1", serve(read_command, |_| hit("passing")), "m", "ready")))
        .collect();
    let last = Discovery::start(&member("s-9", serve(read_command, |_| hit("last")), "m", "ready"));
    // Replaced by a rename, so that no reload reads half a file.
    let configure = |discovery: &Discovery| {
        let beside = format!("{path}.new");
        std::fs::write(&beside, config("quick-reloads", discovery.address, 1024)).unwrap();
        std::fs::rename(&beside, &path).unwrap();
        node.signal("HUP");
    };
    for _ in 0..8 {
        others.iter().for_each(configure);
    }
    configure(&last);
    last.wait_for_watch_after(1);
    let mut client = node.client();
    for number in 0..20 {
        let (key, id) = (format!("k{number}"), format!("i{number}"));
        assert_eq!(client.ask(&["CACHE.GET", &key, &id, "c=read,t=acme,d=9000"]), "$last");
    }
    release.send(()).unwrap();
    assert_eq!(open.answer(), "$open");
    // Reloads of the same configuration change nothing.
    (0..8).for_each(|_| configure(&last));
    assert_eq!(client.ask(&["CACHE.GET", "k", "after", "c=read,t=acme,d=9000"]), "$last");
}

/// Discovery answers slowly, or refuses most calls, throughout the test. Requests must be served from the list that the node
/// has, and a change must be applied with the first response that contains it.
#[test]
fn slow_or_overloaded_discovery_fails_no_request_and_its_changes_are_applied() {
    let [old, new] = ["old", "new"].map(|name| serve(read_command, move |_| hit(name)));
    let calls = Mutex::new(0);
    let (sender, answered) = channel();
    let sender = Mutex::new(sender);
    let discovery = serve(read_call, move |asked| {
        let number = {
            let mut calls = calls.lock().unwrap();
            *calls += 1;
            *calls
        };
        let list = |revision: u64, server| {
            let members = member(&format!("s-{revision}"), server, "m", "ready");
            let text = format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#);
            http("200 OK", &text)
        };
        match number {
            1 => list(1, old),
            // Overloaded: refuses the call or resets the connection.
            _ if number < 12 && number % 3 == 0 => Reaction::Reset,
            _ if number < 12 => http("503 Service Unavailable", "later"),
            // Slow: near the time-out of a watch.
            12 => {
                thread::sleep(Duration::from_millis(1200));
                list(2, new)
            }
            _ => {
                if asked[0].contains("after=2&") {
                    let _ = sender.lock().unwrap().send(());
                }
                Reaction::Silence
            }
        }
    });
    let node = Node::spawn(node_command("crowded", discovery, 1024, ""));
    let mut client = node.client();
    let mut ask = |id: &str| client.ask(&["CACHE.GET", "k", id, "c=read,t=acme,d=9000"]);
    // Before the first list nothing can be served.
    let begun = Instant::now();
    while ask("first") != "$old" {
        assert!(begun.elapsed() < HANG_TIMEOUT, "no list was applied");
        thread::sleep(Duration::from_millis(5));
    }
    let mut number = 0;
    while answered.try_recv().is_err() {
        let answer = ask(&format!("i{number}"));
        assert!(answer == "$old" || answer == "$new", "{answer}");
        assert!(begun.elapsed() < HANG_TIMEOUT, "the new list was never applied");
        number += 1;
    }
    assert_eq!(ask("last"), "$new");
}
