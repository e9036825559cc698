//! A connection that is rejected on arrival gets `-BUSY` and an orderly close, never a reset.
#![allow(missing_docs)]

mod harness;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use harness::{
    Discovery, HANG_TIMEOUT, Node, Reaction, member, node_command, read_command, scratch_path, serve,
};

/// Operator's file that admits one connection a second.
const ADMISSION_FILE: &str =
    "[storm]\ndetect = true\n[storm.figures]\naccepts_per_s = 1.0\naccepts_at_once = 1.0\n";
/// Number of rejected connections to check.
const REJECTIONS: usize = 20;
/// Maximum number of connections to try: the ones that happen to be admitted show nothing.
const MAX_CONNECTIONS: usize = 60;
/// The node must go on reading from a rejected connection for at least this long (it does for 200 ms).
const MIN_LINGER: Duration = Duration::from_millis(150);
/// Upper bound of the retry time that a client is given.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Starts a node that admits few connections.
fn start_node(name: &str, discovery: &Discovery) -> Node {
    let mut command = node_command(name, discovery.address, 1024, "");
    let file = scratch_path(&format!("{name}.toml"));
    std::fs::write(&file, ADMISSION_FILE).unwrap();
    command.env("ROUTER_OPERATOR", file);
    Node::run(command, discovery)
}

/// Connects and at once sends a PING and a number of requests. Returns what the node sends up to an orderly close, or
/// `None` if the connection was admitted or the test was delayed.
fn ask_on_connect(node: &Node, number: usize, requests: usize) -> Option<String> {
    let request = |at| {
        let id = format!("{number:04}-{at:05}");
        format!("*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$10\r\n{id}\r\n$20\r\nc=read,t=acme,d=9000\r\n")
    };
    let all: String =
        std::iter::once("*1\r\n$4\r\nPING\r\n".into()).chain((0..requests).map(request)).collect();
    let begun = Instant::now();
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream.write_all(all.as_bytes()).unwrap();
    let mut received = String::new();
    let mut first = [0];
    stream.read_exact(&mut first).unwrap_or_else(|error| panic!("client {number}: {error}"));
    if first == *b"+" {
        return None;
    }
    received.push(first[0].into());
    stream
        .read_to_string(&mut received)
        .unwrap_or_else(|error| panic!("client {number}: {error} after {received:?}"));
    // This fails if a reset followed the close. The node reads and drops what the client still sends.
    let more = stream.write_all(b"*1\r\n$4\r\nPING\r\n");
    if begun.elapsed() > MIN_LINGER {
        return None;
    }
    more.unwrap_or_else(|error| panic!("client {number}: reset after {received:?}: {error}"));
    Some(received)
}

fn check_orderly_rejections(name: &str, requests: usize) {
    let server = serve(read_command, |_| Reaction::Silence);
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let node = start_node(name, &discovery);
    // Admitted, and must go on being served.
    let mut first = node.client();
    assert_eq!(first.ask(&["PING"]), "+PONG");
    let mut rejected = 0;
    for received in
        (0..MAX_CONNECTIONS).filter_map(|number| ask_on_connect(&node, number, requests)).take(REJECTIONS)
    {
        let after = received.strip_prefix("-BUSY ").and_then(|received| received.strip_suffix("\r\n"));
        let after: u128 = after.and_then(|ms| ms.parse().ok()).unwrap_or_else(|| panic!("{received:?}"));
        assert!((1..=MAX_RETRY_AFTER.as_millis()).contains(&after), "{after} ms");
        rejected += 1;
    }
    assert_eq!(rejected, REJECTIONS, "the other connections were admitted, or the test was delayed");
    assert_eq!(first.ask(&["PING"]), "+PONG");
}

#[test]
fn a_request_on_a_rejected_connection_gets_busy_and_no_reset() {
    check_orderly_rejections("turned-away-one", 1);
}

#[test]
fn unread_data_on_a_rejected_connection_causes_no_reset() {
    check_orderly_rejections("turned-away-many", 2000);
}
