//! The operations endpoint of a node: metrics compared with the requests that were made, drains, and callers that hang.
#![allow(missing_docs)]

mod harness;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use harness::*;

/// Starts a node with an operations endpoint.
fn node_with_ops(name: &str, discovery: &Discovery) -> Node {
    let node = Node::run(command_with_ops(name, discovery, "127.0.0.1:0"), discovery);
    // The node has asked for the next revision of the list, and may not have applied this one yet.
    node.wait_until_ready();
    node
}

fn command_with_ops(name: &str, discovery: &Discovery, ops: &str) -> std::process::Command {
    let mut command = node_command(name, discovery.address, 1024, "");
    command.env("ROUTER_OPS", ops);
    command
}

#[test]
fn every_way_a_request_ends_is_counted_once() {
    let (arrived, commands) = channel();
    let arrived = Mutex::new(arrived);
    // The key decides the outcome: served, failing, silent, or missing at the server with a busy origin.
    let server = serve(read_command, move |asked| {
        let _ = arrived.lock().unwrap().send(asked[1].clone());
        match asked[1].as_str() {
            "fails" => Reaction::Answer(b"-ERR failed\r\n".to_vec()),
            "silent" => Reaction::Silence,
            "missing" => miss(),
            _ => hit("value"),
        }
    });
    let origin = serve(read_call, |asked| match asked[0].starts_with("PUT /reset") {
        true => Reaction::Reset,
        false => Reaction::Answer(b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_vec()),
    });
    let members = [member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")].join(",");
    let node = node_with_ops("ends", &Discovery::start(&members));
    for class in ["read", "once", "brief"] {
        for end in ["served", "refused", "failed"] {
            let name = format!("edge_router_{end}_total{{class=\"{class}\"}}");
            assert_eq!(node.metric(&name), Some(0), "{name} at the start");
        }
    }
    node.wait_for_metric("edge_router_cache_servers_known", 1);
    assert_eq!(node.metric("edge_router_cache_servers_excluded"), Some(0));
    let mut client = node.client();
    let mut account = [0u64; 3];
    let mut ask = |key: &str, id: &str, extras: &str, write: bool| {
        let mut words = vec![if write { "CACHE.SET" } else { "CACHE.GET" }, key, id, extras];
        words.extend(write.then_some("v"));
        let answer = client.ask(&words);
        account[match answer.as_bytes()[0] {
            b'$' => 0,
            _ if answer.starts_with("-BUSY") => 1,
            _ => 2,
        }] += 1;
        answer
    };
    assert_eq!(ask("good", "a1", "c=read,t=acme,d=9000", false), "$value");
    assert_eq!(ask("good", "a2", "c=read,t=acme,d=9000", false), "$value");
    // A write that the origin proves not to have run is refused; one whose connection is lost has failed.
    assert!(ask("busy", "b1", "c=once,t=acme,d=9000", true).starts_with("-BUSY"));
    assert_eq!(ask("reset", "b2", "c=once,t=acme,d=9000", true), "-ERR failed");
    // Its time runs out before any answer.
    assert_eq!(ask("silent", "c1", "c=brief,t=acme,d=150", false).as_bytes()[0], b'-');
    assert_eq!(ask("good", "d1", "c=read,t=nobody,d=9000", false), "-ERR unknown tenant");
    let sum = |end: &str| -> u64 {
        let classes = ["read", "once", "brief"];
        let names = classes.map(|class| format!("edge_router_{end}_total{{class=\"{class}\"}}"));
        names.iter().filter_map(|name| node.metric(name)).sum()
    };
    node.wait_for_metric("edge_router_in_flight", 0);
    assert_eq!(["served", "refused", "failed"].map(sum), account);
    assert_eq!(node.metric("edge_router_served_total{class=\"read\"}"), Some(2));
    assert_eq!(node.metric("edge_router_failed_total{class=\"read\"}"), Some(1));
    // A request that its client abandons is in flight until then, and counts as none of the three.
    while commands.try_recv().is_ok() {}
    let mut gone = node.client();
    gone.send(&["CACHE.GET", "silent", "e1", "c=read,t=acme,d=9000"]);
    assert_eq!(commands.recv_timeout(HANG_TIMEOUT).unwrap(), "silent");
    assert_eq!(node.metric("edge_router_in_flight"), Some(1));
    drop(gone);
    node.wait_for_metric("edge_router_in_flight", 0);
    assert_eq!(["served", "refused", "failed"].map(sum), account);
    assert!(node.metric("edge_router_attempts_total").unwrap() >= 6);
    assert!(node.metric("edge_router_connects_total").unwrap() >= 1);
    node.wait_for_metric("edge_router_origin_calls_out", 0);
    assert!(node.metric("edge_router_origin_calls_limit").unwrap() >= 1);
    assert_eq!(node.metric("edge_router_list_calls_failed_total"), Some(0));
}

#[test]
fn a_drained_node_answers_open_requests_closes_connections_and_can_be_undrained() {
    let (server, commands, release) = held_server(|asked| asked[2].clone());
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let node = node_with_ops("drain", &discovery);
    assert_eq!(node.status("GET /ready"), 200);
    let (mut busy, mut idle, mut pings) = (node.client(), node.client(), node.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    busy.send(&["CACHE.GET", "k", "id1", "c=read,t=acme,d=9000"]);
    commands.recv_timeout(HANG_TIMEOUT).unwrap();
    assert_eq!(node.status("PUT /drain"), 200);
    assert_eq!(node.status("PUT /drain"), 200, "a second time");
    assert_eq!(node.status("GET /ready"), 503);
    assert_eq!(pings.ask(&["PING"]), "-ERR drained");
    // Idle connections are closed well before 4 s; one with an open request stays until it is answered.
    let begun = Instant::now();
    assert_eq!(idle.answer(), "end");
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
    assert_eq!(node.client().ask(&["PING"]), "-ERR drained", "a drained node still accepts connections");
    // A reload does not undo a drain.
    node.signal("HUP");
    node.wait_for_log("configuration read again");
    assert_eq!(node.client().ask(&["PING"]), "-ERR drained");
    release.send(()).unwrap();
    assert_eq!(busy.answer(), "$id1");
    assert_eq!(busy.answer(), "end");
    assert_eq!(node.status("PUT /undrain"), 200);
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
    let mut again = node.client();
    release.send(()).unwrap();
    assert_eq!(again.ask(&["CACHE.GET", "k", "id2", "c=read,t=acme,d=9000"]), "$id2");
    assert_eq!(again.ask(&["PING"]), "+PONG", "closed after the undrain");
    // A drained node shuts down in order, and can't be undrained while it does.
    assert_eq!(node.status("PUT /drain"), 200);
    node.signal("TERM");
    node.wait_for_log("stopping");
    assert_eq!(node.status("PUT /undrain"), 409);
    let mut node = node;
    assert!(node.wait_for_exit().success());
}

#[test]
fn an_undrain_during_a_drain_keeps_connections() {
    let server = serve(read_command, |asked| hit(&asked[2]));
    let node = node_with_ops("undrain", &Discovery::start(&member("s-1", server, "m", "ready")));
    let mut client = node.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    assert_eq!(node.status("PUT /drain"), 200);
    assert_eq!(node.status("PUT /undrain"), 200);
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(client.ask(&["CACHE.GET", "k", "id", "c=read,t=acme,d=9000"]), "$id");
    assert_eq!(client.ask(&["PING"]), "+PONG");
}

#[test]
fn a_request_that_crosses_the_close_of_a_drain_gets_no_reset() {
    let server = serve(read_command, |asked| hit(&asked[2]));
    let node = node_with_ops("crossing", &Discovery::start(&member("s-1", server, "m", "ready")));
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    let mut buffer = [0; 64];
    assert_eq!(stream.read(&mut buffer).unwrap(), 7);
    assert_eq!(node.status("PUT /drain"), 200);
    // The node has closed the connection, and the client has not read that yet.
    std::thread::sleep(Duration::from_millis(1300));
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(stream.read(&mut buffer).expect("the connection was reset"), 0);
}

#[test]
fn callers_that_hang_do_not_block_others() {
    let server = serve(read_command, |_| hit("v"));
    let node = node_with_ops("hangers", &Discovery::start(&member("s-1", server, "m", "ready")));
    let ops_address = node.ops_address.unwrap();
    let hanging_call = |_| {
        let mut stream = TcpStream::connect(ops_address).unwrap();
        stream.write_all(b"GET /ready HTT").unwrap();
        stream
    };
    let mut held: Vec<TcpStream> = (0..200).map(hanging_call).collect();
    for _ in 0..5 {
        let begun = Instant::now();
        assert_eq!(node.status("GET /ready"), 200);
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    }
    // The last connection was accepted, and gets a request time-out.
    let mut last = held.pop().unwrap();
    last.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    let mut response = String::new();
    last.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 408 "), "{response:?}");
}

#[test]
fn a_saturated_node_answers_operators_in_time() {
    let server = serve(read_command, |_| hit("v"));
    let node = node_with_ops("saturated", &Discovery::start(&member("s-1", server, "m", "ready")));
    let flood: Vec<_> = (0..3)
        .map(|_| {
            let stream = TcpStream::connect(node.address).unwrap();
            let mut answers = stream.try_clone().unwrap();
            std::thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
            let mut writing = stream.try_clone().unwrap();
            let asks = "*1\r\n$4\r\nPING\r\n".repeat(500);
            std::thread::spawn(move || while writing.write_all(asks.as_bytes()).is_ok() {});
            stream
        })
        .collect();
    for _ in 0..20 {
        let begun = Instant::now();
        assert_eq!(node.status("GET /ready"), 200);
        assert!(node.metric("edge_router_in_flight").is_some());
        assert!(begun.elapsed() < Duration::from_secs(2), "two calls took {:?}", begun.elapsed());
    }
    flood.iter().for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
}

#[test]
fn the_operations_endpoint_is_optional_and_an_address_in_use_ends_the_start() {
    let server = serve(read_command, |_| hit("v"));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    assert_eq!(Node::start("unstaffed", &discovery).ops_address, None);
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let mut command = command_with_ops("taken", &discovery, &address);
    let ended = command.stderr(Stdio::piped()).output().unwrap();
    let log = String::from_utf8(ended.stderr).unwrap();
    assert!(
        !ended.status.success()
            && log.contains(&format!("cannot listen on {address} for the operations endpoint")),
        "{log}"
    );
}
