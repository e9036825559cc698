//! Large values are passed on unchanged and as a stream, and a slow reader delays nobody else.
#![allow(missing_docs)]

mod harness;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

const LARGE_BYTES: usize = 4 << 20;

/// Pseudo-random bytes from a seed, so that a misplaced part of any size shows.
fn bytes(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed | 1;
    let mut next = || {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (state >> 33) as u8
    };
    (0..length).map(|_| next()).collect()
}

/// Reads a bulk string that the node sends.
fn value(stream: &mut impl BufRead) -> Vec<u8> {
    let mut line = String::new();
    stream.read_line(&mut line).unwrap();
    let length: usize =
        line.trim_end().strip_prefix('$').unwrap_or_else(|| panic!("{line:?}")).parse().unwrap();
    let mut value = vec![0; length + 2];
    stream.read_exact(&mut value).unwrap();
    assert_eq!(value.split_off(length), b"\r\n");
    value
}

/// A cache server whose answers the test writes to the stream.
fn server(answer: impl Fn(&[String], &mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(asked) = read_command(&mut reader) {
                    answer(&asked, &mut stream);
                }
            });
        }
    });
    address
}

fn hit_response(value: &[u8]) -> Vec<u8> {
    [format!("*3\r\n${}\r\n", value.len()).as_bytes(), value, b"\r\n$3\r\nhit\r\n$-1\r\n"].concat()
}

fn get(node: &Node, key: &str, id: &str) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    ask(&mut stream, key, id);
    BufReader::new(stream)
}

fn ask(stream: &mut TcpStream, key: &str, id: &str) {
    let words = ["CACHE.GET", key, id, "c=read,t=acme,d=19000"];
    let command: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    stream.write_all(format!("*4\r\n{command}").as_bytes()).unwrap();
}

/// Peak memory of a process, KiB.
fn peak_memory_kib(node: &Node) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").trim().parse().unwrap()
}

#[test]
fn large_values_arrive_unchanged_and_the_connection_stays_usable() {
    let cached = server(|asked, stream| {
        let bytes = match asked[1].as_str() {
            "missing" => b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec(),
            key => hit_response(&bytes(7, key.parse().unwrap())),
        };
        // Split at arbitrary places, as on a network.
        bytes.chunks(9973).for_each(|part| stream.write_all(part).unwrap_or_default());
    });
    let origin = serve(read_call, |asked| {
        let body = bytes(9, LARGE_BYTES);
        let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        assert!(asked[0].starts_with("GET /missing"));
        answer.extend(body);
        Reaction::Answer(answer)
    });
    let members = [member("s-1", cached, "m", "ready"), member("o-1", origin, "origin", "ready")].join(",");
    let node = Node::start("large", &Discovery::start(&members));
    let mut client = get(&node, "70000", "a0");
    assert_eq!(value(&mut client), bytes(7, 70_000));
    for (i, length) in [65_535, 65_536, 65_537, 65_536 + 16 * 1024, LARGE_BYTES, 5].into_iter().enumerate() {
        ask(client.get_mut(), &length.to_string(), &format!("a{}", i + 1));
        assert!(value(&mut client) == bytes(7, length), "{length} bytes");
    }
    ask(client.get_mut(), "missing", "b1");
    ask(client.get_mut(), "missing", "b2");
    assert!(value(&mut client) == bytes(9, LARGE_BYTES), "from the origin");
    assert!(value(&mut client) == bytes(9, LARGE_BYTES), "the next value on the connection");
    assert!(peak_memory_kib(&node) < 24 * 1024, "{} KiB at the most", peak_memory_kib(&node));
}

#[test]
fn values_are_streamed_and_pauses_of_the_server_tolerated() {
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let slow = server(move |_, stream| {
        let answer = hit_response(&bytes(3, 100_000));
        stream.write_all(&answer[..50]).unwrap();
        wait.lock().unwrap().recv().unwrap();
        stream.write_all(&answer[50..60_000]).unwrap();
        thread::sleep(Duration::from_millis(600));
        // The last bytes one by one.
        stream.write_all(&answer[60_000..answer.len() - 40]).unwrap();
        for byte in &answer[answer.len() - 40..] {
            stream.write_all(&[*byte]).unwrap();
            thread::sleep(Duration::from_millis(2));
        }
    });
    let node = Node::start("pauses", &Discovery::start(&member("s-1", slow, "m", "ready")));
    let mut client = get(&node, "k", "a1");
    let mut first = [0; 30];
    client.read_exact(&mut first).unwrap();
    assert!(first.starts_with(b"$100000\r\n"), "the first bytes are not those of the value");
    release.send(()).unwrap();
    let mut rest = vec![0; 100_000 + 9 + 2 - first.len()];
    client.read_exact(&mut rest).unwrap();
    let all = [&first[9..], &rest[..rest.len() - 2]].concat();
    assert!(all == bytes(3, 100_000));
}

#[test]
fn a_truncated_value_closes_the_connection_and_counts_as_failed() {
    let cut = server(|asked, stream| {
        let answer = hit_response(&bytes(3, 100_000));
        match asked[1].as_str() {
            "cut" => {
                stream.write_all(&answer[..80_000]).unwrap();
                stream.shutdown(Shutdown::Both).unwrap();
            }
            _ => stream.write_all(&hit_response(b"v")).unwrap(),
        }
    });
    let discovery = Discovery::start(&member("s-1", cut, "m", "ready"));
    let mut command = node_command("cut", discovery.address, 1024, "");
    command.env("ROUTER_OPS", "127.0.0.1:0");
    let node = Node::run(command, &discovery);
    node.wait_until_ready();
    let mut client = get(&node, "cut", "a1");
    let mut all = Vec::new();
    // A reset or a close: in either case fewer bytes than the header announced.
    let _ = client.read_to_end(&mut all);
    assert!(all.starts_with(b"$100000\r\n") && all.len() < 100_000, "{} bytes", all.len());
    node.wait_for_metric("edge_router_failed_total{class=\"read\"}", 1);
    assert_eq!(value(&mut get(&node, "k", "a2")), b"v");
    node.wait_for_metric("edge_router_served_total{class=\"read\"}", 1);
    node.wait_for_metric("edge_router_in_flight", 0);
}

/// Reads what the node sends for one read, until it closes the connection.
fn read_until_closed(node: &Node, key: &str) -> Vec<u8> {
    let mut all = Vec::new();
    // A reset or a close: what came before it counts.
    let _ = get(node, key, key).read_to_end(&mut all);
    all
}

/// Guards against a value that is served as whole although the response of its cache server can't be read to its end.
#[test]
fn a_value_whose_response_is_unreadable_is_not_served_as_whole() {
    const STATED_BYTES: usize = 90_000;
    let head = format!("*3\r\n${STATED_BYTES}\r\n").into_bytes();
    let value = bytes(3, STATED_BYTES);
    let endings: [(&str, &[u8]); 4] = [
        ("a longer value", b"more of the value\r\n$3\r\nhit\r\n$-1\r\n"),
        ("no end of the value", b""),
        ("no cache result", b"\r\n"),
        ("an unreadable cache result", b"\r\n:1\r\n$-1\r\n"),
    ];
    for (number, (name, ending)) in endings.into_iter().enumerate() {
        let response = [&head, &value, ending].concat();
        let spoilt = server(move |_, stream| {
            stream.write_all(&response).unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
        });
        let node = start_node(
            &format!("spoilt-{number}"),
            &Discovery::start(&member("s-1", spoilt, "m", "ready")),
            &[],
        );
        let whole = [format!("${STATED_BYTES}\r\n").as_bytes(), &value, b"\r\n"].concat();
        let received = read_until_closed(&node, "k");
        assert!(received.len() < whole.len(), "{name}: the client can't tell that it is not whole");
        assert!(whole.starts_with(&received), "{name}: {} other bytes", received.len());
        node.wait_for_metric("edge_router_failed_total{class=\"read\"}", 1);
    }
}

/// Guards against a value of the origin that is served as whole although its body ends early, in either coding.
#[test]
fn a_body_of_the_origin_that_ends_early_is_not_served_as_whole() {
    const STATED_BYTES: usize = 90_000;
    let by_length = [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {STATED_BYTES}\r\n\r\n").into_bytes(),
        bytes(3, STATED_BYTES - 1),
    ];
    let chunk = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n", 1000);
    let chunked = [chunk.into_bytes(), bytes(3, 1000)];
    for (number, response) in [by_length.concat(), chunked.concat()].into_iter().enumerate() {
        let cached = server(|_, stream| stream.write_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n").unwrap());
        let origin =
            serve(read_call, move |_| Reaction::AnswerAndClose(response.clone(), Mutex::new(channel().0)));
        let members =
            [member("s-1", cached, "m", "ready"), member("o-1", origin, "origin", "ready")].join(",");
        let node = start_node(&format!("cut-body-{number}"), &Discovery::start(&members), &[]);
        let mut client = get(&node, "k", "a1");
        let mut line = String::new();
        client.read_line(&mut line).unwrap();
        let mut rest = Vec::new();
        match line.strip_prefix('$') {
            // Its beginning was passed on, and the connection is closed within it.
            Some(_) => {
                let _ = client.read_to_end(&mut rest);
                assert!(rest.len() < STATED_BYTES, "{} bytes of {line}", rest.len());
            }
            None => assert!(line.starts_with('-'), "{line}"),
        }
    }
}

#[test]
fn many_slow_readers_use_little_memory_and_delay_nobody_else() {
    let large = server(|asked, stream| {
        let value = if asked[1].starts_with("large") { bytes(5, LARGE_BYTES) } else { b"v".to_vec() };
        let _ = stream.write_all(&hit_response(&value));
    });
    let node = Node::start("readers", &Discovery::start(&member("s-1", large, "m", "ready")));
    // Each stops reading after the first line. A node that has just started refuses some at first.
    let mut readers = Vec::new();
    for try_no in 0..400 {
        let mut reader = get(&node, &format!("large{try_no}"), &format!("a{try_no}"));
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        match line.starts_with('$') {
            true => readers.push(reader),
            false => thread::sleep(Duration::from_millis(20)),
        }
        if readers.len() == 24 {
            break;
        }
    }
    assert_eq!(readers.len(), 24, "too few responses have begun");
    let asked = Instant::now();
    assert_eq!(value(&mut get(&node, "small", "b1")), b"v");
    // As fast as without the slow readers.
    assert!(asked.elapsed() < Duration::from_secs(2), "{:?}", asked.elapsed());
    assert!(peak_memory_kib(&node) < 24 * 1024, "{} KiB at the most", peak_memory_kib(&node));
}

fn set(node: &Node, id: &str, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    let words = ["CACHE.SET", "k", id, "c=once,t=acme,d=19000"];
    let head: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    stream.write_all(format!("*5\r\n{head}${length}\r\n").as_bytes()).unwrap();
    stream
}

/// An origin that reports each write: the length of its body, and whether the bytes are correct.
fn writes() -> (SocketAddr, Receiver<(usize, bool)>) {
    let (sender, seen): (Sender<(usize, bool)>, _) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let sender = sender.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                loop {
                    let (mut length, mut line) = (0, String::new());
                    while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                        if let Some(n) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                            length = n.trim().parse().unwrap();
                        }
                        line.clear();
                    }
                    let mut body = vec![0; length];
                    if length == 0 || reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    sender.send((length, body == bytes(11, length))).unwrap();
                    reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
                }
            });
        }
    });
    (address, seen)
}

#[test]
fn large_writes_arrive_unchanged_and_are_refused_beyond_the_memory_limit() {
    let (origin, seen) = writes();
    let node = Node::start("writes", &Discovery::start(&member("o-1", origin, "origin", "ready")));
    let mut stream = set(&node, "w1", LARGE_BYTES);
    for part in bytes(11, LARGE_BYTES).chunks(70_001) {
        stream.write_all(part).unwrap();
    }
    stream.write_all(b"\r\n").unwrap();
    let mut reader = BufReader::new(stream);
    assert_eq!(value(&mut reader), b"ok");
    assert_eq!(seen.recv_timeout(HANG_TIMEOUT).unwrap(), (LARGE_BYTES, true));
    // Requests may use half of the 192 MB: 23 values of this size and no more. These 23 never end.
    let held: Vec<TcpStream> = (0..23).map(|i| set(&node, &format!("h{i}"), LARGE_BYTES)).collect();
    thread::sleep(Duration::from_millis(300));
    let mut refused = set(&node, "w2", LARGE_BYTES);
    let mut replies = BufReader::new(refused.try_clone().unwrap());
    bytes(11, LARGE_BYTES).chunks(70_001).for_each(|part| refused.write_all(part).unwrap());
    refused.write_all(b"\r\n*1\r\n$4\r\nPING\r\n").unwrap();
    let mut line = String::new();
    replies.read_line(&mut line).unwrap();
    assert!(line.starts_with("-BUSY"), "{line:?}");
    line.clear();
    replies.read_line(&mut line).unwrap();
    assert_eq!(line, "+PONG\r\n", "the command behind a dropped value");
    drop(held);
    let mut again = set(&node, "w3", LARGE_BYTES);
    again.write_all(&bytes(11, LARGE_BYTES)).unwrap();
    again.write_all(b"\r\n").unwrap();
    assert_eq!(value(&mut BufReader::new(again)), b"ok");
    assert_eq!(seen.recv_timeout(HANG_TIMEOUT).unwrap(), (LARGE_BYTES, true));
    assert!(seen.try_recv().is_err(), "a refused write reached the origin");
}

#[test]
fn a_command_sent_byte_by_byte_over_two_seconds_is_served() {
    let small = server(|_, stream| stream.write_all(&hit_response(b"v")).unwrap());
    let node = Node::start("pieces", &Discovery::start(&member("s-1", small, "m", "ready")));
    let words = ["CACHE.GET", "k", "slow", "c=read,t=acme,d=19000"];
    let command: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    let command = format!("*4\r\n{command}");
    let pause = Duration::from_secs(2) / command.len() as u32;
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    for byte in command.as_bytes() {
        stream.write_all(&[*byte]).unwrap();
        thread::sleep(pause);
    }
    assert_eq!(value(&mut BufReader::new(stream)), b"v");
}
