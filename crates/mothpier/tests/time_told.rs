//! The remaining time that an attempt passes on to its server is at most what the client has left when the attempt is
//! written. Stubs delay a connection, a response or the reading of a command; the time passed on after that must be
//! shorter by the delay. On real sockets, with the daemon as a process.
#![allow(missing_docs)]

mod world;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use world::*;

/// The time that the client gives a request, in milliseconds: below the class's deadline, and longer than any test takes.
const ASKED_MS: u64 = 18_000;
/// Minimum delay in each test: eight times the slack.
const HELD: Duration = Duration::from_millis(400);
/// How much too long the protocol allows the remaining time to be.
const SLACK: Duration = Duration::from_millis(50);
/// Latency targets so long that no hedge is sent during a delay.
const LONG_AIMS: [(&str, &str); 3] = [
    (r#""goalTimeUs":2000000"#, r#""goalTimeUs":15000000"#),
    (r#""goalTimeUs":1000000"#, r#""goalTimeUs":6000000"#),
    LONG[2],
];
/// Setting for read-through cache servers, to which writes go, too.
const THROUGH: (&str, &str) = (r#""mode":"aside""#, r#""mode":"through""#);

/// A delay that begins when the node is known to have a request.
struct Hold(Instant);

impl Hold {
    fn begin() -> Self {
        Hold(Instant::now())
    }

    /// Waits until the delay has lasted for at least [`HELD`], and returns how long it was.
    fn end(self) -> Duration {
        thread::sleep(HELD.saturating_sub(self.0.elapsed()));
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
    format!("c={class},d={ASKED_MS},t=acme,x=1")
}

/// Checks that an attempt that was written when `held` of the request's time had passed gives no more than the remaining
/// time, and leaves the other extras unchanged.
fn assert_tells_what_is_left(extras: &str, class: &str, held: Duration) {
    let told = extras.split(',').find_map(|part| part.strip_prefix("d=")).expect("no d");
    let around = asked_extras(class).replace(&format!("d={ASKED_MS}"), &format!("d={told}"));
    assert_eq!(extras, around, "another extra has changed");
    let told = Duration::from_millis(told.parse().expect("d is not an integer"));
    let most = Duration::from_millis(ASKED_MS) - held + SLACK;
    assert!(told <= most, "{told:?} remaining after {held:?}, {most:?} at most");
    assert!(!told.is_zero(), "no time remaining");
}

/// An origin that answers its first call with `first` when the test signals it, and later calls at once. Returns its
/// address, the calls it has received, and the sender of the signal.
fn origin(first: fn() -> Reaction) -> (SocketAddr, Receiver<Vec<String>>, Sender<()>) {
    let (told, calls) = channel();
    let told = report(told);
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(Some(wait));
    let address = serve(call, move |asked| {
        told(asked);
        match wait.lock().unwrap().take() {
            Some(wait) => {
                let _ = wait.recv();
                first()
            }
            None => http("200 OK", "receipt"),
        }
    });
    (address, calls, go)
}

#[test]
fn an_attempt_whose_connection_to_a_cache_server_comes_up_late_tells_what_is_left() {
    let shut = Shut::new();
    let discovery = Discovery::start(&member("s-1", shut.address(), "m", "ready"));
    let node = node("told-late-cache", &discovery, &LONG_AIMS);
    let mut client = node.client();
    client.send(&["CACHE.GET", "k", "i", &asked_extras("read")]);
    node.figure_becomes("edge_router_in_flight", 1);
    let held = Hold::begin().end();
    let asked = first(shut.open(), command);
    assert_tells_what_is_left(&extras(&asked), "read", held);
}

/// While the node accepts no connections, requests wait in the kernel.
#[test]
fn an_attempt_of_a_request_that_waited_to_be_accepted_tells_what_is_left() {
    let (told, commands) = channel();
    let told = report(told);
    let server = serve(command, move |asked| {
        told(asked);
        array("value")
    });
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let node = node("told-queued", &discovery, &LONG_AIMS);
    node.signal("STOP");
    let mut client = Client::connect(node.address);
    client.send(&["CACHE.GET", "k", "i", &asked_extras("read")]);
    let held = Hold::begin().end();
    node.signal("CONT");
    let asked = commands.recv_timeout(HUNG).unwrap();
    assert_tells_what_is_left(&extras(&asked), "read", held);
}

/// The server does not read the rest of the command before it.
#[test]
fn an_attempt_that_waits_behind_a_half_written_one_tells_what_is_left() {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = Discovery::start(&member("s-1", server.local_addr().unwrap(), "m", "ready"));
    // With so many nodes, a node makes one connection to each server.
    let one = (r#""balancers":1"#, r#""balancers":32"#);
    let [read_aim, write_aim, connect] = LONG_AIMS;
    let node = node("told-behind", &discovery, &[read_aim, write_aim, connect, THROUGH, one]);
    let mut writes = node.client();
    writes.send(&["CACHE.SET", "k", "large", &asked_extras("once"), &"v".repeat(4 << 20)]);
    let mut stalled = reader(server.accept().unwrap().0);
    // The write has begun, and stops once the socket buffers are full.
    let mut begun = [0; 4];
    stalled.read_exact(&mut begun).unwrap();
    assert_eq!(&begun, b"*5\r\n");
    let mut reads = node.client();
    reads.send(&["CACHE.GET", "k", "behind", &asked_extras("read")]);
    node.figure_becomes("edge_router_in_flight", 2);
    let held = Hold::begin().end();
    let mut whole = std::io::Cursor::new(begun).chain(stalled);
    assert_eq!(command(&mut whole).unwrap()[2], "large");
    let asked = command(&mut whole).unwrap();
    assert_eq!(asked[2], "behind");
    assert_tells_what_is_left(&extras(&asked), "read", held);
}

#[test]
fn a_fetch_at_the_origin_after_a_late_miss_tells_what_is_left() {
    let (told, commands) = channel();
    let told = report(told);
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let server = serve(command, move |asked| {
        told(asked);
        let _ = wait.lock().unwrap().recv();
        miss()
    });
    let origin = TcpListener::bind("127.0.0.1:0").unwrap();
    let origin_address = origin.local_addr().unwrap();
    let members = [member("s-1", server, "m", "ready"), member("o-1", origin_address, "origin", "ready")];
    let discovery = Discovery::start(&members.join(","));
    let node = node("told-miss", &discovery, &LONG_AIMS);
    let mut client = node.client();
    client.send(&["CACHE.GET", "k", "i", &asked_extras("read")]);
    commands.recv_timeout(HUNG).unwrap();
    let held = Hold::begin().end();
    go.send(()).unwrap();
    let asked = first(origin, call);
    assert!(asked[0].starts_with("GET /k "), "{}", asked[0]);
    assert_tells_what_is_left(&extras_at_origin(&asked), "read", held);
}

/// The origin refuses a write late, and the node sends it again.
#[test]
fn a_postponed_write_at_the_origin_tells_what_is_left() {
    let refused =
        || Reaction::Answer(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_vec());
    let (address, calls, go) = origin(refused);
    let discovery = Discovery::start(&member("o-1", address, "origin", "ready"));
    let node = node("told-postponed", &discovery, &LONG_AIMS);
    let mut client = node.client();
    client.send(&["CACHE.SET", "k", "i", &asked_extras("once"), "value"]);
    calls.recv_timeout(HUNG).unwrap();
    let held = Hold::begin().end();
    go.send(()).unwrap();
    let asked = calls.recv_timeout(HUNG).unwrap();
    assert!(asked[0].starts_with("PUT /k "), "{}", asked[0]);
    assert_tells_what_is_left(&extras_at_origin(&asked), "once", held);
    assert_eq!(client.answer(), "$receipt");
}

#[test]
fn a_call_whose_connection_to_the_origin_comes_up_late_tells_what_is_left() {
    let shut = Shut::new();
    let discovery = Discovery::start(&member("o-1", shut.address(), "origin", "ready"));
    let node = node("told-late-origin", &discovery, &LONG_AIMS);
    let mut client = node.client();
    client.send(&["CACHE.SET", "k", "i", &asked_extras("once"), "value"]);
    node.figure_becomes("edge_router_in_flight", 1);
    let held = Hold::begin().end();
    let asked = first(shut.open(), call);
    assert!(asked[0].starts_with("PUT /k "), "{}", asked[0]);
    assert_tells_what_is_left(&extras_at_origin(&asked), "once", held);
}
