//! Long answers that a server writes slowly arrive whole, and long requests that it reads slowly are answered in time.
#![allow(missing_docs)]

mod harness;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use harness::*;
use socket2::SockRef;

const VALUE_BYTES: usize = 1 << 20;
/// The largest value of a write.
const WRITE_BYTES: usize = 4 << 20;
/// A server writes an answer in this many pieces.
const PIECES: usize = 30;
/// Pause of a server between two pieces: an answer takes 6 s.
const PIECE_PAUSE: Duration = Duration::from_millis(200);
/// Deadline of the requests, long before their answers end.
const DEADLINE_MS: u64 = 1500;
/// Behind the announcement of a drain, a connection that is used after this time is closed with a request from its last two
/// seconds.
const LATE_USE: Duration = Duration::from_millis(2500);
/// A final answer that comes later after its deadline than this is lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// A server that reads slowly takes this many bytes at a time, with pauses of [`READ_PAUSE`].
const READ_BYTES: usize = 16 * 1024;
const READ_PAUSE: Duration = Duration::from_millis(50);
/// The writes of nodes without an origin go to cache servers.
const NO_ORIGIN: (&str, &str) =
    (r#""specifics":{"mode":"aside","originKind":1}"#, r#""specifics":{"mode":"through"}"#);

/// Accepts connections and serves each on a thread of its own.
fn listen(serve: impl Fn(TcpStream) + Send + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn write_slowly(stream: &mut TcpStream, answer: &[u8]) {
    for piece in answer.chunks(answer.len().div_ceil(PIECES)) {
        if stream.write_all(piece).is_err() {
            return;
        }
        thread::sleep(PIECE_PAUSE);
    }
}

/// A cache server that writes the value of "long" slowly, and answers other commands at once.
fn slowly_writing_server() -> SocketAddr {
    listen(|mut stream| {
        let Reaction::Answer(long) = hit(&"v".repeat(VALUE_BYTES)) else { return };
        let mut commands = BufReader::new(stream.try_clone().unwrap());
        while let Some(command) = read_command(&mut commands) {
            match command.get(1).map(String::as_str) {
                Some("long") => write_slowly(&mut stream, &long),
                None => stream.write_all(b"+PONG\r\n").unwrap_or_default(),
                Some(_) => {
                    let Reaction::Answer(short) = hit("v") else { return };
                    stream.write_all(&short).unwrap_or_default();
                }
            }
        }
    })
}

/// Asks for the long value, and reads its header.
fn ask_long_value(node: SocketAddr) -> BufReader<TcpStream> {
    let mut client = TcpStream::connect(node).unwrap();
    client.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    let extras = format!("c=read,t=acme,d={DEADLINE_MS}");
    let words = ["CACHE.GET", "long", "long-1", &extras];
    let command: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    client.write_all(format!("*4\r\n{command}").as_bytes()).unwrap();
    let mut answer = BufReader::new(client);
    let mut header = String::new();
    answer.read_line(&mut header).unwrap();
    assert_eq!(header.trim_end(), format!("${VALUE_BYTES}"));
    answer
}

/// Reads the long value; returns how many of its bytes came.
fn read_long_value(node: SocketAddr) -> JoinHandle<usize> {
    let answer = ask_long_value(node);
    thread::spawn(move || {
        let mut value = Vec::new();
        let _ = answer.take(VALUE_BYTES as u64).read_to_end(&mut value);
        value.len()
    })
}

/// Something happens while a long answer arrives, which nevertheless arrives whole.
fn check_long_answer(name: &str, happens: impl FnOnce(&Discovery, &Node, &str)) {
    let server = slowly_writing_server();
    let other = serve(read_command, |_| hit("v"));
    let members = [member("s-1", server, "m", "ready"), member("s-2", other, "m", "gone")];
    let discovery = Discovery::start(&members[0]);
    let node = start_node(name, &discovery, &[]);
    let value = read_long_value(node.address);
    thread::sleep(PIECE_PAUSE * 2);
    happens(&discovery, &node, &member("s-1", server, "m", "draining"));
    assert_eq!(value.join().unwrap(), VALUE_BYTES);
}

#[test]
fn a_long_answer_outlasts_its_deadline() {
    check_long_answer("alone", |_, _, _| {});
}

/// Requests that wait behind the answer are answered elsewhere.
#[test]
fn a_long_answer_is_not_cut_for_requests_behind_it() {
    check_long_answer("behind", |_, node, _| {
        for number in 0..20 {
            let id = format!("short-{number}");
            let answer = node.client().ask(&["CACHE.GET", &id, &id, "c=read,t=acme,d=1000"]);
            assert!(answer == "$v" || answer.starts_with("-BUSY"), "{answer}");
        }
    });
}

#[test]
fn a_long_answer_of_a_draining_server_is_not_cut() {
    check_long_answer("draining", |discovery, _, draining| discovery.change(2, draining));
}

#[test]
fn a_long_answer_of_a_server_that_leaves_the_list_is_not_cut() {
    check_long_answer("unlisted", |discovery, _, _| discovery.change(2, ""));
}

#[test]
fn a_long_answer_is_not_cut_by_a_drain_of_the_node() {
    check_long_answer("drained", |_, node, _| assert_eq!(node.status("PUT /drain"), 200));
}

/// The platform kills the process no sooner than its longest deadline (3 s at most) and 0.7 s after SIGTERM, but it may
/// kill it later: a process that ends by itself loses the answer.
#[test]
fn a_long_answer_is_not_cut_by_the_end_of_the_process() {
    check_long_answer("terminated", |_, node, _| node.signal("TERM"));
}

/// An origin that runs each write at once, and reports it.
fn origin() -> (SocketAddr, Receiver<()>) {
    let (sender, has_run) = channel();
    let sender = Mutex::new(sender);
    let address = serve(read_call, move |_| {
        let _ = sender.lock().unwrap().send(());
        http("200 OK", "receipt")
    });
    (address, has_run)
}

/// Guards against ready replies that are dropped because a large value before them outlasts the end of the process.
#[test]
fn replies_behind_a_long_answer_are_written_before_the_process_ends() {
    let (origin, has_run) = origin();
    let members =
        [member("s-1", slowly_writing_server(), "m", "ready"), member("o-1", origin, "origin", "ready")];
    let mut node = start_node("replies-behind", &Discovery::start(&members.join(",")), &[]);
    let mut client = node.client();
    client.send(&["CACHE.GET", "long", "long-1", "c=read,t=acme,d=9000"]);
    client.send(&["CACHE.GET", "short", "short-1", "c=read,t=acme,d=9000"]);
    client.send(&["CACHE.SET", "other", "write-1", "c=once,t=acme,d=9000", "v"]);
    has_run.recv_timeout(HANG_TIMEOUT).unwrap();
    node.signal("TERM");
    let mut sending = client.sending_side();
    let sent_later = thread::spawn(move || {
        // After the time by which the process would have ended without the value.
        thread::sleep(EARLIEST_KILL + PIECE_PAUSE);
        sending
            .write_all(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$4\r\nlate\r\n$21\r\nc=read,t=acme,d=09000\r\n")
    });
    assert_eq!(client.answer().len(), VALUE_BYTES + 1);
    assert_eq!(client.answer(), "$v");
    assert_eq!(client.answer(), "$receipt");
    assert_eq!(client.answer(), "-BUSY 100");
    assert_eq!(client.answer(), "end");
    sent_later.join().unwrap().unwrap();
    assert!(node.wait_for_exit().success());
}

/// Guards against the same at the limit of a drain for connections that were used of late.
#[test]
fn replies_behind_a_long_answer_are_written_in_a_drain() {
    let members = member("s-1", slowly_writing_server(), "m", "ready");
    let node = start_node("drained-behind", &Discovery::start(&members), &[]);
    let mut client = node.client();
    client.send(&["CACHE.GET", "long", "long-1", "c=read,t=acme,d=9000"]);
    client.send(&["CACHE.GET", "short", "short-1", "c=read,t=acme,d=9000"]);
    assert_eq!(node.status("PUT /drain"), 200);
    thread::sleep(LATE_USE);
    client.send(&["CACHE.GET", "late", "late-1", "c=read,t=acme,d=9000"]);
    assert_eq!(client.answer().len(), VALUE_BYTES + 1);
    assert_eq!(client.answer(), "$v");
    assert_eq!(client.answer(), "-BUSY 100");
    assert_eq!(client.answer(), "end");
}

/// Guards against ready replies that are dropped at the end of a process although their client takes them.
#[test]
fn replies_to_a_slow_client_are_written_before_the_process_ends() {
    const REPLIES: usize = 128;
    const REPLY_BYTES: usize = 65_000;
    const TRANSFER_TIME: Duration = Duration::from_secs(11);
    let value = "v".repeat(REPLY_BYTES);
    let (sender, answered) = channel();
    let sender = Mutex::new(sender);
    let server = serve(read_command, move |_| {
        let _ = sender.lock().unwrap().send(());
        hit(&value)
    });
    let mut node = start_node("slow-client", &Discovery::start(&member("s-1", server, "m", "ready")), &[]);
    let mut client = node.client();
    SockRef::from(&client.sending_side()).set_recv_buffer_size(REPLY_BYTES).unwrap();
    for number in 0..REPLIES {
        let id = format!("r-{number}");
        client.send(&["CACHE.GET", &id, &id, "c=read,t=acme,d=9000"]);
    }
    // More than the buffers of the connection hold.
    for _ in 0..REPLIES / 2 {
        answered.recv_timeout(HANG_TIMEOUT).unwrap();
    }
    node.signal("TERM");
    for number in 0..REPLIES {
        // A node that has just started may refuse some.
        let answer = client.answer();
        assert!(answer.starts_with('$') || answer.starts_with("-BUSY"), "{number}: {answer:.20}");
        thread::sleep(TRANSFER_TIME / REPLIES as u32);
    }
    assert_eq!(client.answer(), "end");
    assert!(node.wait_for_exit().success());
}

/// A cache server that stops within a value, and leaves its connection open.
fn stalling_server() -> SocketAddr {
    listen(|mut stream| {
        let Reaction::Answer(long) = hit(&"v".repeat(VALUE_BYTES)) else { return };
        let mut commands = BufReader::new(stream.try_clone().unwrap());
        while let Some(command) = read_command(&mut commands) {
            let answer = if command.len() > 1 { &long[..STALLED_BYTES] } else { b"+PONG\r\n".as_slice() };
            stream.write_all(answer).unwrap_or_default();
        }
    })
}

/// A server that stalls writes so much of its answer: all of it is with the client before that leaves.
const STALLED_BYTES: usize = 1024;
/// Shorter than the time after which the node gives up a value that stands still.
const LEAVE_NOTICED: Duration = Duration::from_secs(5);
/// From SIGTERM to the earliest SIGKILL: 3 s of the longest deadline, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

/// Starts a node, and a client that leaves within a value that has come to a stop.
fn leave_within_value(name: &str) -> Node {
    let node = start_node(name, &Discovery::start(&member("s-1", stalling_server(), "m", "ready")), &[]);
    drop(ask_long_value(node.address));
    node
}

#[test]
fn a_value_that_stands_still_does_not_keep_the_connection_of_a_client_that_left() {
    let node = leave_within_value("left");
    let left = Instant::now();
    node.wait_for_metric("edge_router_connections_closed_total{reason=\"client\"}", 1);
    assert!(left.elapsed() < LEAVE_NOTICED, "after {:?}", left.elapsed());
}

/// It may have shut down its sending side only.
#[test]
fn a_value_that_arrives_goes_on_for_a_client_that_has_closed_its_side() {
    let server = slowly_writing_server();
    let node = start_node("closed-side", &Discovery::start(&member("s-1", server, "m", "ready")), &[]);
    let mut answer = ask_long_value(node.address);
    answer.get_ref().shutdown(Shutdown::Write).unwrap();
    let mut value = vec![0; VALUE_BYTES];
    answer.read_exact(&mut value).unwrap();
}

#[test]
fn a_value_whose_client_left_does_not_keep_the_process() {
    let mut node = leave_within_value("left-end");
    node.signal("TERM");
    let signalled = Instant::now();
    assert!(node.wait_for_exit().success());
    assert!(signalled.elapsed() < EARLIEST_KILL, "after {:?}", signalled.elapsed());
}

/// A server that reads slowly, and never answers.
fn slowly_reading_server() -> SocketAddr {
    listen(|mut stream| {
        let mut buffer = [0; READ_BYTES];
        while stream.read(&mut buffer).is_ok_and(|read| read > 0) {
            thread::sleep(READ_PAUSE);
        }
    })
}

fn check_long_write(name: &str, kind: &str, class: &str, replacements: &[(&str, &str)]) {
    let servers = [slowly_reading_server(), slowly_reading_server()];
    let mut members = vec![member("s-1", servers[0], kind, "ready")];
    if kind == "m" {
        members.push(member("s-2", servers[1], kind, "ready"));
    }
    let node = start_node(name, &Discovery::start(&members.join(",")), replacements);
    let mut client = node.client();
    let extras = format!("c={class},t=acme,d={DEADLINE_MS}");
    client.send(&["CACHE.SET", "key", "w-1", &extras, &"v".repeat(WRITE_BYTES)]);
    let sent = Instant::now();
    let answer = client.answer();
    let took = sent.elapsed();
    assert!(took <= Duration::from_millis(DEADLINE_MS) + ANSWER_GRACE, "{answer} after {took:?}");
    assert!(answer.starts_with('-'), "{answer}");
}

#[test]
fn a_long_write_that_its_origin_reads_slowly_is_answered_in_time() {
    check_long_write("slow-origin", "origin", "once", &[]);
}

#[test]
fn a_long_write_that_its_cache_server_reads_slowly_is_answered_in_time() {
    check_long_write("slow-server", "m", "once", &[NO_ORIGIN]);
}

#[test]
fn a_long_idempotent_write_that_all_servers_read_slowly_is_answered_in_time() {
    check_long_write("slow-servers", "m", "read", &[NO_ORIGIN]);
}
