//! The remaining time that an attempt passes on to its server is at most what the client has left when the attempt is
//! written. Stubs delay a connection, a response or the reading of a command; the time passed on after that must be
//! shorter by the delay. On real sockets, with the daemon as a process.
#![allow(missing_docs)]

mod harness;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

/// The time that the client gives a request, in milliseconds: below the class's deadline, and longer than any test takes.
const CLIENT_TIMEOUT_MS: u64 = 18_000;
/// Minimum delay in each test: eight times the slack.
const MIN_DELAY: Duration = Duration::from_millis(400);
/// How much too long the protocol allows the remaining time to be.
const SLACK: Duration = Duration::from_millis(50);
/// Latency targets so long that no hedge is sent during a delay.
const LONG_TARGETS: [(&str, &str); 3] = [
    (r#""goalTimeUs":2000000"#, r#""goalTimeUs":15000000"#),
    (r#""goalTimeUs":1000000"#, r#""goalTimeUs":6000000"#),
    LONG_DEADLINES[2],
];
/// Setting for read-through cache servers, to which writes go, too.
const READ_THROUGH: (&str, &str) = (r#""mode":"aside""#, r#""mode":"through""#);

/// A delay that begins when the node is known to have a request.
struct Delay(Instant);

impl Delay {
    fn begin() -> Self {
        Delay(Instant::now())
    }

    /// Waits until the delay has lasted for at least [`MIN_DELAY`], and returns how long it was.
    fn end(self) -> Duration {
        thread::sleep(MIN_DELAY.saturating_sub(self.0.elapsed()));
        self.0.elapsed()
    }
}

/// The extras of a command that a cache server received.
fn extras(command: &[String]) -> String {
    command[3].clone()
}

/// The extras of a call that the origin received.
fn extras_at_origin(call: &[String]) -> String {
    let header = call.iter().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("X-Extras").then(|| value.trim().to_owned())
    });
    header.expect("no X-Extras")
}

/// The extras of all requests. All but `d` must be passed on unchanged and in order.
fn asked_extras(class: &str) -> String {
    format!("c={class},d={CLIENT_TIMEOUT_MS},t=acme,x=1")
}

/// Checks that an attempt that was written when `delay` of the request's time had passed gives no more than the remaining
/// time, and leaves the other extras unchanged.
fn assert_passes_remaining_time(extras: &str, class: &str, delay: Duration) {
    let remaining = extras.split(',').find_map(|part| part.strip_prefix("d=")).expect("no d");
    let around = asked_extras(class).replace(&format!("d={CLIENT_TIMEOUT_MS}"), &format!("d={remaining}"));
    assert_eq!(extras, around, "another extra has changed");
    let remaining = Duration::from_millis(remaining.parse().expect("d is not an integer"));
    let most = Duration::from_millis(CLIENT_TIMEOUT_MS) - delay + SLACK;
    assert!(remaining <= most, "{remaining:?} remaining after {delay:?}, {most:?} at most");
    assert!(!remaining.is_zero(), "no time remaining");
}

/// An origin that answers its first call with `first` when the test signals it, and later calls at once. Returns its
/// address, the calls it has received, and the sender of the signal.
fn origin(first: fn() -> Reaction) -> (SocketAddr, Receiver<Vec<String>>, Sender<()>) {
    let (sender, calls) = channel();
    let forward = forward_to(sender);
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(Some(wait));
    let address = serve(read_call, move |asked| {
        forward(asked);
        match wait.lock().unwrap().take() {
            Some(wait) => {
                let _ = wait.recv();
                first()
            }
            None => http("200 OK", "receipt"),
        }
    });
    (address, calls, release)
}

#[test]
fn an_attempt_after_a_slow_connect_passes_on_the_remaining_time() {
    let full_listener = FullListener::new();
    let discovery = Discovery::start(&member("s-1", full_listener.address(), "m", "ready"));
    let node = start_node("told-late-cache", &discovery, &LONG_TARGETS);
    let mut client = node.client();
    client.send(&["CACHE.GET", "k", "i", &asked_extras("read")]);
    node.wait_for_metric("edge_router_in_flight", 1);
    let delay = Delay::begin().end();
    let asked = first_request(full_listener.open(), read_command);
    assert_passes_remaining_time(&extras(&asked), "read", delay);
}

/// While the node accepts no connections, requests wait in the kernel.
#[test]
fn an_attempt_after_a_late_accept_passes_on_the_remaining_time() {
    let (sender, commands) = channel();
    let forward = forward_to(sender);
    let server = serve(read_command, move |asked| {
        forward(asked);
        hit("value")
    });
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let node = start_node("told-queued", &discovery, &LONG_TARGETS);
    node.signal("STOP");
    let mut client = Client::connect(node.address);
    client.send(&["CACHE.GET", "k", "i", &asked_extras("read")]);
    let delay = Delay::begin().end();
    node.signal("CONT");
    let asked = commands.recv_timeout(HANG_TIMEOUT).unwrap();
    assert_passes_remaining_time(&extras(&asked), "read", delay);
}

/// The server does not read the rest of the command before it.
#[test]
fn an_attempt_behind_a_half_written_command_passes_on_the_remaining_time() {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = Discovery::start(&member("s-1", server.local_addr().unwrap(), "m", "ready"));
    // With so many nodes, a node makes one connection to each server.
    let one = (r#""balancers":1"#, r#""balancers":32"#);
    let [read_target, write_target, connect] = LONG_TARGETS;
    let node =
        start_node("told-behind", &discovery, &[read_target, write_target, connect, READ_THROUGH, one]);
    let mut writes = node.client();
    writes.send(&["CACHE.SET", "k", "large", &asked_extras("once"), &"v".repeat(4 << 20)]);
    let mut stalled = reader(server.accept().unwrap().0);
    // The write has begun, and stops once the socket buffers are full.
    let mut begun = [0; 4];
    stalled.read_exact(&mut begun).unwrap();
    assert_eq!(&begun, b"*5\r\n");
    let mut reads = node.client();
    reads.send(&["CACHE.GET", "k", "behind", &asked_extras("read")]);
    node.wait_for_metric("edge_router_in_flight", 2);
    let delay = Delay::begin().end();
    let mut whole = std::io::Cursor::new(begun).chain(stalled);
    assert_eq!(read_command(&mut whole).unwrap()[2], "large");
    let asked = read_command(&mut whole).unwrap();
    assert_eq!(asked[2], "behind");
    assert_passes_remaining_time(&extras(&asked), "read", delay);
}

#[test]
fn an_origin_fetch_after_a_late_miss_passes_on_the_remaining_time() {
    let (sender, commands) = channel();
    let forward = forward_to(sender);
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let server = serve(read_command, move |asked| {
        forward(asked);
        let _ = wait.lock().unwrap().recv();
        miss()
    });
    let origin = TcpListener::bind("127.0.0.1:0").unwrap();
    let origin_address = origin.local_addr().unwrap();
    let members = [member("s-1", server, "m", "ready"), member("o-1", origin_address, "origin", "ready")];
    let discovery = Discovery::start(&members.join(","));
    let node = start_node("told-miss", &discovery, &LONG_TARGETS);
    let mut client = node.client();
    client.send(&["CACHE.GET", "k", "i", &asked_extras("read")]);
    commands.recv_timeout(HANG_TIMEOUT).unwrap();
    let delay = Delay::begin().end();
    release.send(()).unwrap();
    let asked = first_request(origin, read_call);
    assert!(asked[0].starts_with("GET /k "), "{}", asked[0]);
    assert_passes_remaining_time(&extras_at_origin(&asked), "read", delay);
}

/// The origin refuses a write late, and the node sends it again.
#[test]
fn a_retried_origin_write_passes_on_the_remaining_time() {
    let refused =
        || Reaction::Answer(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_vec());
    let (address, calls, release) = origin(refused);
    let discovery = Discovery::start(&member("o-1", address, "origin", "ready"));
    let node = start_node("told-postponed", &discovery, &LONG_TARGETS);
    let mut client = node.client();
    client.send(&["CACHE.SET", "k", "i", &asked_extras("once"), "value"]);
    calls.recv_timeout(HANG_TIMEOUT).unwrap();
    let delay = Delay::begin().end();
    release.send(()).unwrap();
    let asked = calls.recv_timeout(HANG_TIMEOUT).unwrap();
    assert!(asked[0].starts_with("PUT /k "), "{}", asked[0]);
    assert_passes_remaining_time(&extras_at_origin(&asked), "once", delay);
    assert_eq!(client.answer(), "$receipt");
}

#[test]
fn an_origin_call_after_a_slow_connect_passes_on_the_remaining_time() {
    let full_listener = FullListener::new();
    let discovery = Discovery::start(&member("o-1", full_listener.address(), "origin", "ready"));
    let node = start_node("told-late-origin", &discovery, &LONG_TARGETS);
    let mut client = node.client();
    client.send(&["CACHE.SET", "k", "i", &asked_extras("once"), "value"]);
    node.wait_for_metric("edge_router_in_flight", 1);
    let delay = Delay::begin().end();
    let asked = first_request(full_listener.open(), read_call);
    assert!(asked[0].starts_with("PUT /k "), "{}", asked[0]);
    assert_passes_remaining_time(&extras_at_origin(&asked), "once", delay);
}
