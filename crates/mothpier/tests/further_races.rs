//! Further forced races: a large response and SIGTERM, a reset watch and a drain, a response and the time-out of its call.
//! On real sockets, with the daemon as a process.
#![allow(missing_docs)]

mod harness;

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;
use socket2::SockRef;

/// The node must have received a list change this long after discovery had it and was reachable.
const LIST_CHANGE_BOUND: Duration = Duration::from_secs(6);
/// Time-out of a watch: the time for which discovery holds the call, plus an allowance.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3500);
/// Deadline of writes that the test lets time out.
const WRITE_DEADLINE: Duration = Duration::from_millis(1000);

/// Starts a node with an operations endpoint and some replacements in the text of its settings, without waiting for its
/// server list. Returns the path of the configuration file, too.
fn spawn_configured_node(name: &str, discovery: SocketAddr, replacements: &[(&str, &str)]) -> (Node, String) {
    let path = scratch_path(&format!("{name}-more.json"));
    let mut text = config(name, discovery, 1024);
    for (from, to) in replacements {
        assert!(text.contains(from), "{from} is not in the settings");
        text = text.replace(from, to);
    }
    std::fs::write(&path, text).unwrap();
    let mut command = node_command(name, discovery, 1024, "");
    command.env("ROUTER_CONFIG", &path).env("ROUTER_OPS", "127.0.0.1:0");
    (Node::spawn(command), path)
}

/// Closes a connection with a reset.
fn reset_connection(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Pauses the node's process while `events` runs, so that the node sees all its events at once.
fn while_paused(node: &Node, events: impl FnOnce()) {
    node.signal("STOP");
    events();
    node.signal("CONT");
}

fn list(revision: u64, members: &str) -> Vec<u8> {
    match http("200 OK", &format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#)) {
        Reaction::Answer(bytes) => bytes,
        _ => unreachable!("http returns an answer"),
    }
}

/// A server that passes each connection to the test once a whole request has arrived on it.
fn manual_server(read: Reader) -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (given, streams) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let given = given.clone();
            thread::spawn(move || {
                let mut from = BufReader::new(stream);
                read(&mut from).map(|_| given.send(from.into_inner()))
            });
        }
    });
    (address, streams)
}

/// What happens to the second half of a response after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SecondHalf {
    Arrives,
    IsReset,
    NeverArrives,
}

/// Half of a large value has been forwarded at SIGTERM. The client must get the other half if the server sends it; if not,
/// the connection must end before the value's length, so that the client sees it is incomplete.
#[test]
fn a_large_response_half_forwarded_at_sigterm_is_complete_or_visibly_truncated() {
    const LENGTH: usize = 1 << 20;
    let brief = [
        (r#""deadlineUs":20000000,"goalTimeUs":2000000,"#, r#""deadlineUs":1500000,"goalTimeUs":1500000,"#),
        (r#""deadlineUs":20000000,"goalTimeUs":1000000,"#, r#""deadlineUs":1500000,"goalTimeUs":1000000,"#),
    ];
    let value: Vec<u8> = (0..LENGTH).map(|at| (at * 31 % 251) as u8).collect();
    let (first, second) = value.split_at(LENGTH / 2);
    for second_half in [SecondHalf::Arrives, SecondHalf::IsReset, SecondHalf::NeverArrives] {
        let (server, streams) = manual_server(read_command);
        let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
        let (mut node, _) = spawn_configured_node("half-passed", discovery.address, &brief);
        discovery.wait_for_watch_after(1);
        node.wait_until_ready();
        let mut client = node.client();
        client.send(&["CACHE.GET", "k", "i", "c=read,t=acme,d=1500"]);
        let mut client = BufReader::new(client.into_stream());
        let mut to_node = streams.recv_timeout(HANG_TIMEOUT).unwrap();
        to_node.write_all(format!("*3\r\n${LENGTH}\r\n").as_bytes()).unwrap();
        to_node.write_all(first).unwrap();
        let head = format!("${LENGTH}\r\n");
        let mut received = vec![0; head.len() + first.len()];
        client.read_exact(&mut received).unwrap();
        node.signal("TERM");
        // Wait until the node accepts no new connections: it is shutting down, with the response still open.
        while TcpStream::connect(node.address).is_ok() {
            thread::sleep(Duration::from_millis(5));
        }
        match second_half {
            SecondHalf::Arrives => {
                to_node.write_all(second).unwrap();
                to_node.write_all(b"\r\n$3\r\nhit\r\n$-1\r\n").unwrap();
            }
            SecondHalf::IsReset => reset_connection(to_node.try_clone().unwrap()),
            SecondHalf::NeverArrives => {}
        }
        if second_half == SecondHalf::IsReset {
            drop(to_node);
        }
        // Either a close or a reset tells the client that the value is incomplete.
        let _ = client.read_to_end(&mut received);
        let whole = [head.as_bytes(), &value, b"\r\n"].concat();
        match second_half {
            SecondHalf::Arrives => assert!(received == whole, "{} bytes of {}", received.len(), whole.len()),
            _ => assert!(
                received == whole[..head.len() + first.len()],
                "{second_half:?}: {} bytes",
                received.len()
            ),
        }
        assert!(node.wait_for_exit().success(), "{second_half:?}");
    }
}

/// A discovery whose list the test can change, and whose first watch is passed to the test.
struct HeldWatch {
    address: SocketAddr,
    /// The list and its revision. No call is answered while this is locked.
    now: Arc<Mutex<(u64, String)>>,
    /// The connection of the first watch, once its call has arrived.
    watch: Receiver<TcpStream>,
    calls: Receiver<Vec<String>>,
}

impl HeldWatch {
    fn start(members: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let now = Arc::new(Mutex::new((1, members.to_owned())));
        let (held, watch) = channel();
        let (sender, calls) = channel();
        let (state, held) = (now.clone(), Arc::new(Mutex::new(Some(held))));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (state, held, sender) = (state.clone(), held.clone(), sender.clone());
                thread::spawn(move || HeldWatch::answer(stream, &state, &held, &sender));
            }
        });
        HeldWatch { address, now, watch, calls }
    }

    fn answer(
        stream: TcpStream,
        state: &Mutex<(u64, String)>,
        held: &Mutex<Option<Sender<TcpStream>>>,
        sender: &Sender<Vec<String>>,
    ) {
        let mut from = BufReader::new(stream);
        while let Some(asked) = read_call(&mut from) {
            if asked[0].contains("after=1&")
                && let Some(held) = held.lock().unwrap().take()
            {
                let _ = held.send(from.into_inner());
                return;
            }
            let (revision, members) = state.lock().unwrap().clone();
            let nothing_new = asked[0].contains(&format!("after={revision}&"));
            let _ = sender.send(asked);
            // A watch for changes after the newest revision gets no answer, and times out.
            if !nothing_new && from.get_mut().write_all(&list(revision, &members)).is_err() {
                return;
            }
        }
    }

    /// Waits until the node has received a revision.
    fn wait_for_watch_after(&self, revision: u64) {
        let wanted = format!("after={revision}&");
        while !self.calls.recv_timeout(HANG_TIMEOUT).expect("no call to discovery")[0].contains(&wanted) {}
    }
}

/// The watch is reset between two responses, or in the middle of the one with the drain, and the drain begins before the
/// node can reopen the watch. The node must receive the drain in time, and send nothing new to the draining server.
#[test]
fn a_drain_that_begins_as_the_watch_is_reset_is_received_in_time() {
    for (half_sent, mode) in [(false, "push"), (true, "push"), (false, "ask"), (true, "ask")] {
        let (sender, at_draining) = channel();
        let forward = forward_to(sender);
        let draining = serve(read_command, move |asked| {
            forward(asked);
            hit("drains")
        });
        let stays = serve(read_command, |_| hit("stays"));
        let members =
            |phase| [member("s-1", draining, "m", phase), member("s-2", stays, "m", "ready")].join(",");
        let discovery = HeldWatch::start(&members("ready"));
        let mode = format!(r#""discovery":"{mode}""#);
        let (node, _) =
            spawn_configured_node("reset-drain", discovery.address, &[(r#""discovery":"push""#, &mode)]);
        node.wait_until_ready();
        // The server must be in use before the drain, or the test shows nothing.
        let (mut client, mut asked) = (node.client(), 0);
        let mut ask = |asked: &mut u32| {
            *asked += 1;
            let (key, id) = (format!("k-{asked}"), format!("i-{asked}"));
            client.ask(&["CACHE.GET", &key, &id, "c=read,t=acme,d=9000"])
        };
        while ask(&mut asked) != "$drains" {
            assert!(asked < 1000, "{mode}: no request reaches the server that is to drain");
        }
        let mut watch = discovery.watch.recv_timeout(HANG_TIMEOUT).unwrap();
        let begun = {
            let mut now = discovery.now.lock().unwrap();
            let notice = list(2, &members("draining"));
            if half_sent {
                watch.write_all(&notice[..notice.len() / 2]).unwrap();
            }
            reset_connection(watch);
            *now = (2, members("draining"));
            Instant::now()
        };
        discovery.wait_for_watch_after(2);
        assert!(begun.elapsed() < LIST_CHANGE_BOUND, "{mode}, half sent {half_sent}: {:?}", begun.elapsed());
        at_draining.try_iter().for_each(drop);
        for _ in 0..200 {
            assert_eq!(ask(&mut asked), "$stays", "{mode}, half sent {half_sent}");
        }
        assert_eq!(at_draining.try_iter().count(), 0, "{mode}, half sent {half_sent}");
    }
}

/// A discovery that answers all calls but watches for changes after its revision. Returns its address and the calls made.
fn discovery_at(revision: u64, members: String) -> (SocketAddr, Receiver<Vec<String>>) {
    let (sender, calls) = channel();
    let forward = forward_to(sender);
    let newest = format!("after={revision}&");
    let address = serve(read_call, move |asked| {
        forward(asked);
        if asked[0].contains(&newest) {
            Reaction::Silence
        } else {
            Reaction::Answer(list(revision, &members))
        }
    });
    (address, calls)
}

/// The old discovery answers the watch just as a reload moves the node to another one. Neither its list nor its revision
/// may be used with the new discovery.
#[test]
fn a_response_of_the_old_discovery_during_a_reload_is_not_kept() {
    let [old, late, new] = ["old", "late", "new"].map(|name| serve(read_command, move |_| hit(name)));
    let one = |server| member("s-1", server, "m", "ready");
    for answer_first in [false, true] {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = discovery.local_addr().unwrap();
        let (node, path) = spawn_configured_node("left-watch", address, &[]);
        let mut watch = BufReader::new(discovery.accept().unwrap().0);
        read_call(&mut watch).unwrap();
        watch.get_mut().write_all(&list(900, &one(old))).unwrap();
        assert!(read_call(&mut watch).unwrap()[0].contains("after=900&"));
        let mut client = node.client();
        assert_eq!(client.ask(&["CACHE.GET", "k", "before", "c=read,t=acme,d=9000"]), "$old");
        let (next, calls) = discovery_at(1, one(new));
        std::fs::write(&path, config("left-watch", next, 1024)).unwrap();
        while_paused(&node, || {
            let mut answer = || watch.get_mut().write_all(&list(901, &one(late))).unwrap();
            if answer_first {
                answer();
                node.signal("HUP");
            } else {
                node.signal("HUP");
                answer();
            }
        });
        let opened = calls.recv_timeout(HANG_TIMEOUT).unwrap();
        assert!(!opened[0].contains("after="), "the revision of another discovery: {}", opened[0]);
        assert!(calls.recv_timeout(HANG_TIMEOUT).unwrap()[0].contains("after=1&"));
        assert_eq!(client.ask(&["CACHE.GET", "k", "after", "c=read,t=acme,d=9000"]), "$new");
        // The node never calls the old discovery again.
        let _ = watch.get_mut().shutdown(Shutdown::Write);
        while read_call(&mut watch).is_some() {}
        assert!(discovery.set_nonblocking(true).is_ok() && discovery.accept().is_err(), "called again");
    }
}

/// The response to a watch arrives just as the watch times out, or once another watch has been opened. The node must use
/// the newest list, and watch for changes after it.
#[test]
fn a_response_as_the_watch_times_out_replaces_no_newer_list() {
    let [old, late, new] = ["old", "late", "new"].map(|name| serve(read_command, move |_| hit(name)));
    let one = |server| member("s-1", server, "m", "ready");
    for at_timeout in [true, false] {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let (node, _) = spawn_configured_node("silent-watch", discovery.local_addr().unwrap(), &[]);
        let mut watch = BufReader::new(discovery.accept().unwrap().0);
        read_call(&mut watch).unwrap();
        watch.get_mut().write_all(&list(900, &one(old))).unwrap();
        assert!(read_call(&mut watch).unwrap()[0].contains("after=900&"));
        let silent_since = Instant::now();
        let mut client = node.client();
        assert_eq!(client.ask(&["CACHE.GET", "k", "before", "c=read,t=acme,d=9000"]), "$old");
        if at_timeout {
            while_paused(&node, || {
                // A little longer than the time-out: the node sees the time-out and the response at once.
                let over = WATCH_TIMEOUT + Duration::from_millis(200);
                thread::sleep(over.saturating_sub(silent_since.elapsed()));
                watch.get_mut().write_all(&list(901, &one(late))).unwrap();
            });
        }
        // Either the response was accepted and the watch goes on from it, or the watch timed out and is reopened.
        let taken = at_timeout.then(|| read_call(&mut watch)).flatten();
        let mut watch_now = if let Some(asked) = taken {
            assert!(asked[0].contains("after=901&"), "{}", asked[0]);
            watch
        } else {
            let mut opened = BufReader::new(discovery.accept().unwrap().0);
            let asked = read_call(&mut opened).unwrap();
            assert!(asked[0].contains("after=900&"), "{}", asked[0]);
            if !at_timeout {
                // The node may have closed the connection already.
                let _ = watch.get_mut().write_all(&list(901, &one(late)));
            }
            opened
        };
        watch_now.get_mut().write_all(&list(902, &one(new))).unwrap();
        let asked = read_call(&mut watch_now).unwrap();
        assert!(asked[0].contains("after=902&"), "{}", asked[0]);
        assert_eq!(client.ask(&["CACHE.GET", "k", "after", "c=read,t=acme,d=9000"]), "$new");
    }
}

/// A watch has timed out while its response was in flight. The node must use that response as long as the reopened watch
/// has brought nothing newer.
#[test]
fn a_response_of_a_timed_out_watch_applies_until_a_newer_one_arrives() {
    let [old, late, new] = ["old", "late", "new"].map(|name| serve(read_command, move |_| hit(name)));
    let one = |server| member("s-1", server, "m", "ready");
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (node, _) = spawn_configured_node("late-watch", discovery.local_addr().unwrap(), &[]);
    let mut silent = BufReader::new(discovery.accept().unwrap().0);
    read_call(&mut silent).unwrap();
    silent.get_mut().write_all(&list(900, &one(old))).unwrap();
    assert!(read_call(&mut silent).unwrap()[0].contains("after=900&"));
    let mut opened = BufReader::new(discovery.accept().unwrap().0);
    assert!(read_call(&mut opened).unwrap()[0].contains("after=900&"));
    silent.get_mut().write_all(&list(901, &one(late))).unwrap();
    let mut client = node.client();
    let mut asked = 0;
    let answered_by = |name| {
        move |client: &mut Client, asked: &mut u32| {
            *asked += 1;
            client.ask(&["CACHE.GET", "k", &format!("i-{asked}"), "c=read,t=acme,d=9000"]) == name
        }
    };
    let since = Instant::now();
    while !answered_by("$late")(&mut client, &mut asked) {
        assert!(since.elapsed() < HANG_TIMEOUT, "the late response is not used");
    }
    opened.get_mut().write_all(&list(902, &one(new))).unwrap();
    assert!(read_call(&mut opened).unwrap()[0].contains("after=902&"));
    assert!(answered_by("$new")(&mut client, &mut asked));
}

/// The origin answers just as the attempt times out. The client must get one answer, the value or an error; nothing may
/// stay open, and the next call must get its own response.
#[test]
fn an_origin_response_as_its_call_times_out_is_delivered_at_most_once() {
    let (sender, calls) = channel();
    let forward = forward_to(sender);
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let origin = serve(read_call, move |asked| {
        forward(asked);
        let _ = wait.lock().unwrap().recv();
        http("200 OK", &format!("receipt of {}", asked[0].split(' ').nth(1).unwrap_or_default()))
    });
    let discovery = Discovery::start(&member("o-1", origin, "origin", "ready"));
    let (node, _) = spawn_configured_node("origin-given-up", discovery.address, &[]);
    discovery.wait_for_watch_after(1);
    node.wait_until_ready();
    for (round, answer_first) in [false, true, false, true].into_iter().enumerate() {
        let mut client = node.client();
        let (key, id) = (format!("k-{round}"), format!("i-{round}"));
        let asked = Instant::now();
        let extras = format!("c=once,t=acme,d={}", WRITE_DEADLINE.as_millis());
        client.send(&["CACHE.SET", &key, &id, &extras, "value"]);
        calls.recv_timeout(HANG_TIMEOUT).unwrap();
        while_paused(&node, || {
            if answer_first {
                release.send(()).unwrap();
            }
            thread::sleep(WRITE_DEADLINE.saturating_sub(asked.elapsed()) + Duration::from_millis(100));
            if !answer_first {
                release.send(()).unwrap();
            }
        });
        let answer = client.answer();
        assert!(answer == format!("$receipt of /{key}") || answer == "-ERR failed", "{answer}");
        node.wait_for_metric("edge_router_in_flight", 0);
        node.wait_for_metric("edge_router_origin_calls_out", 0);
        // The client gets nothing more but the answer to its next request.
        release.send(()).unwrap();
        let next = format!("next-{round}");
        let answer = client.ask(&["CACHE.SET", &next, &next, "c=once,t=acme,d=9000", "value"]);
        assert_eq!(answer, format!("$receipt of /{next}"));
        calls.recv_timeout(HANG_TIMEOUT).unwrap();
    }
}

/// The origin must notice that nobody waits any more: the node closes the connection of a call that timed out.
#[test]
fn a_timed_out_call_closes_its_connection_to_the_origin() {
    let (origin, calls) = manual_server(read_call);
    let discovery = Discovery::start(&member("o-1", origin, "origin", "ready"));
    let (node, _) = spawn_configured_node("origin-connection-ends", discovery.address, &[]);
    discovery.wait_for_watch_after(1);
    node.wait_until_ready();
    let mut client = node.client();
    let extras = format!("c=once,t=acme,d={}", WRITE_DEADLINE.as_millis());
    client.send(&["CACHE.SET", "k", "i", &extras, "value"]);
    let mut connection = calls.recv_timeout(HANG_TIMEOUT).unwrap();
    assert_eq!(client.answer(), "-ERR failed");
    connection.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    let ended = connection.read(&mut [0]);
    assert!(matches!(ended, Ok(0)) || ended.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
}
