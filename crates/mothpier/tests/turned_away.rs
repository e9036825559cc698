//! A connection that is rejected on arrival gets `-BUSY` and an orderly close, never a reset.
#![allow(missing_docs)]

mod world;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use world::{Discovery, HUNG, Node, Reaction, command, member, node_command, scratch, serve};

/// Operator's file that admits one connection a second.
const ADMISSION: &str =
    "[storm]\ndetect = true\n[storm.figures]\naccepts_per_s = 1.0\naccepts_at_once = 1.0\n";
/// Number of rejected connections to check.
const REJECTED: usize = 20;
/// Maximum number of connections to try: the ones that happen to be admitted show nothing.
const COMING: usize = 60;
/// The node must go on reading from a rejected connection for at least this long (it does for 200 ms).
const LINGERS: Duration = Duration::from_millis(150);
/// Upper bound of the retry time that a client is given.
const LONGEST: Duration = Duration::from_secs(30);

/// Starts a node that admits few connections.
fn node(name: &str, discovery: &Discovery) -> Node {
    let mut command = node_command(name, discovery.address, 1024, "");
    let file = scratch(&format!("{name}.toml"));
    std::fs::write(&file, ADMISSION).unwrap();
    command.env("ROUTER_OPERATOR", file);
    Node::run(command, discovery)
}

/// Connects and at once sends a PING and a number of requests. Returns what the node sends up to an orderly close, or
/// `None` if the connection was admitted or the test was delayed.
fn ask_at_once(node: &Node, number: usize, requests: usize) -> Option<String> {
    let request = |at| {
        let id = format!("{number:04}-{at:05}");
        format!("*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$10\r\n{id}\r\n$20\r\nc=read,t=acme,d=9000\r\n")
    };
    let all: String =
        std::iter::once("*1\r\n$4\r\nPING\r\n".into()).chain((0..requests).map(request)).collect();
    let begun = Instant::now();
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(HUNG)).unwrap();
    stream.write_all(all.as_bytes()).unwrap();
    let mut told = String::new();
    let mut first = [0];
    stream.read_exact(&mut first).unwrap_or_else(|error| panic!("client {number}: {error}"));
    if first == *b"+" {
        return None;
    }
    told.push(first[0].into());
    stream
        .read_to_string(&mut told)
        .unwrap_or_else(|error| panic!("client {number}: {error} after {told:?}"));
    // This fails if a reset followed the close. The node reads and drops what the client still sends.
    let more = stream.write_all(b"*1\r\n$4\r\nPING\r\n");
    if begun.elapsed() > LINGERS {
        return None;
    }
    more.unwrap_or_else(|error| panic!("client {number}: reset after {told:?}: {error}"));
    Some(told)
}

fn rejects_in_order(name: &str, requests: usize) {
    let server = serve(command, |_| Reaction::Silence);
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let node = node(name, &discovery);
    // Admitted, and must go on being served.
    let mut first = node.client();
    assert_eq!(first.ask(&["PING"]), "+PONG");
    let mut rejected = 0;
    for told in (0..COMING).filter_map(|number| ask_at_once(&node, number, requests)).take(REJECTED) {
        let after = told.strip_prefix("-BUSY ").and_then(|told| told.strip_suffix("\r\n"));
        let after: u128 = after.and_then(|ms| ms.parse().ok()).unwrap_or_else(|| panic!("{told:?}"));
        assert!((1..=LONGEST.as_millis()).contains(&after), "{after} ms");
        rejected += 1;
    }
    assert_eq!(rejected, REJECTED, "the other connections were admitted, or the test was delayed");
    assert_eq!(first.ask(&["PING"]), "+PONG");
}

#[test]
fn a_request_sent_right_with_a_rejected_connection_gets_busy_and_no_reset() {
    rejects_in_order("turned-away-one", 1);
}

#[test]
fn much_that_lies_unread_makes_the_end_of_a_rejected_connection_no_reset() {
    rejects_in_order("turned-away-many", 2000);
}
