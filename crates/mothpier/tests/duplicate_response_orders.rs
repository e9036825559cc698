//! Duplicate responses that arrive late, on real sockets with the daemon as a process. A stub sends a duplicate only after
//! the event that it must follow, so that each order of events is forced and does not depend on timing.
//!
//! A node that detects duplicates may never cause that event; then the stub goes on after [`EVENT_TIMEOUT`].
#![allow(missing_docs)]

mod harness;

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

/// How long a stub waits for an event that may not happen.
const EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Setting for read-through cache servers, to which writes go, too.
const READ_THROUGH: (&str, &str) = (r#""mode":"aside""#, r#""mode":"through""#);

/// Setting for one of 64 nodes, which makes one connection to each server and pipelines commands on it.
const ONE_CONNECTION: (&str, &str) = (r#""balancers":1"#, r#""balancers":64"#);

/// Length of a value that the node streams instead of buffering it, in bytes.
const STREAMED_BYTES: usize = 70_000;

/// Makes the response of a stub to a request. `None` if it sends no response.
type Respond = fn(&[String]) -> Option<Vec<u8>>;

/// A connection to a stub, with its open requests and the responses sent on it.
struct StubConnection {
    stream: BufReader<TcpStream>,
    read: Reader,
    respond: Respond,
    seen: Sender<Vec<String>>,
    unanswered: VecDeque<Vec<String>>,
    answers: Vec<Vec<u8>>,
    /// Number of fences (`PING` commands) read.
    fences: usize,
    ended: bool,
}

impl StubConnection {
    /// Reads the next request. Returns false if the connection has ended.
    fn next(&mut self) -> bool {
        loop {
            let Some(asked) = (self.read)(&mut self.stream) else {
                self.ended = true;
                return false;
            };
            let is_keyless = keyless_response(&asked).is_some();
            self.fences += usize::from(asked == ["PING"]);
            let _ = self.seen.send(asked.clone());
            self.unanswered.push_back(asked);
            if !is_keyless {
                return true;
            }
            self.answer_keyless();
        }
    }

    /// As [`next`](Self::next), but waits at most [`EVENT_TIMEOUT`], as the node may be right to send nothing.
    fn next_within(&mut self) -> bool {
        self.stream.get_ref().set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        let has_more = self.stream.fill_buf().map(|bytes| !bytes.is_empty());
        self.stream.get_ref().set_read_timeout(None).unwrap();
        match has_more {
            Ok(true) => return self.next(),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Ok(false) | Err(_) => self.ended = true,
        }
        false
    }

    /// A word of the newest open request. Empty if there is none.
    fn word(&self, at: usize) -> &str {
        self.unanswered.back().map_or("", |asked| &asked[at])
    }

    /// Answers the oldest open request.
    fn answer(&mut self) {
        let response = self.unanswered.front().and_then(|asked| (self.respond)(asked));
        match response {
            Some(bytes) => self.answer_with(bytes),
            None => drop(self.unanswered.pop_front()),
        }
    }

    /// Answers the oldest open request with these bytes.
    fn answer_with(&mut self, bytes: Vec<u8>) {
        if self.unanswered.pop_front().is_some() {
            self.write(&bytes);
            self.answers.push(bytes);
            self.answer_keyless();
        }
    }

    /// Answers commands without a key, as far as all requests before them have been answered.
    fn answer_keyless(&mut self) {
        while let Some(bytes) = self.unanswered.front().and_then(|asked| keyless_response(asked)) {
            self.write(&bytes);
            self.unanswered.pop_front();
        }
    }

    /// Sends a duplicate of the response at an index, if the connection has carried that many.
    fn send_duplicate(&mut self, number: usize) {
        if let Some(bytes) = self.answers.get(number).cloned() {
            self.write(&bytes);
        }
    }

    /// Writes bytes. Ignores errors, as the node may have closed the connection.
    fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.get_mut().write_all(bytes);
    }

    /// Answers all requests until the connection ends.
    fn serve(&mut self) {
        loop {
            while !self.unanswered.is_empty() {
                self.answer();
            }
            if self.ended || !self.next() {
                return;
            }
        }
    }
}

/// The response to a request without a key: other commands of a cache server, and probes of the origin.
fn keyless_response(asked: &[String]) -> Option<Vec<u8>> {
    match asked[0].as_str() {
        word if word.starts_with("CACHE.") => None,
        line if line.starts_with("GET /-/") => Some(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec()),
        line if line.contains(" HTTP/1.1") => None,
        "CLIENT" | "SELECT" => Some(b"+OK\r\n".to_vec()),
        "INFO" => Some(b"$17\r\nlat_ms=5,busy=0.1\r\n".to_vec()),
        _ => Some(b"-ERR unknown command\r\n".to_vec()),
    }
}

/// A stub server that runs a script on each connection, and then answers all requests on it.
struct StubServer {
    address: SocketAddr,
    /// All requests that it has received.
    seen: Receiver<Vec<String>>,
}

impl StubServer {
    /// Starts a stub. The script gets each connection and its number, from 0 on.
    fn start(
        read: Reader,
        respond: Respond,
        script: impl Fn(&mut StubConnection, usize) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, seen) = channel();
        let script = Arc::new(script);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                stream.set_nodelay(true).unwrap();
                let (script, seen) = (script.clone(), sender.clone());
                thread::spawn(move || {
                    let (unanswered, answers) = (VecDeque::new(), Vec::new());
                    let stream = BufReader::new(stream);
                    let mut connection = StubConnection {
                        stream,
                        read,
                        respond,
                        seen,
                        unanswered,
                        answers,
                        fences: 0,
                        ended: false,
                    };
                    script(&mut connection, number);
                    connection.serve();
                });
            }
        });
        StubServer { address, seen }
    }

    /// A cache server that runs the script on its first connection.
    fn cache(script: impl Fn(&mut StubConnection) + Send + Sync + 'static) -> Self {
        StubServer::start(read_command, respond_to_key, move |connection, number| {
            if number == 0 {
                script(connection);
            }
        })
    }

    /// An origin that runs the script on its first connection.
    fn origin(script: impl Fn(&mut StubConnection) + Send + Sync + 'static) -> Self {
        StubServer::start(read_call, origin_response, move |connection, number| {
            if number == 0 {
                script(connection);
            }
        })
    }

    /// How often a request with this id has arrived so far.
    fn runs(&self, id: &str) -> usize {
        let header = format!("x-request-id: {id}");
        let names = |word: &String| word == id || word.eq_ignore_ascii_case(&header);
        self.seen.try_iter().filter(|asked| asked.iter().any(names)).count()
    }

    /// Waits up to [`EVENT_TIMEOUT`] for a request whose first two words contain a text.
    fn wait_for_request(&self, text: &str) -> bool {
        while let Ok(asked) = self.seen.recv_timeout(EVENT_TIMEOUT) {
            if asked.iter().take(2).any(|word| word.contains(text)) {
                return true;
            }
        }
        false
    }
}

/// A cache server's response: the value of the key, or a receipt for a write.
fn respond_to_key(asked: &[String]) -> Option<Vec<u8>> {
    let value = match asked[0].as_str() {
        "CACHE.SET" => format!("receipt-of-{}", asked[2]),
        _ => value_of(&asked[1]),
    };
    Some(bytes_of(hit(&value)))
}

/// The same for a cache server on which keys that begin with `miss` miss.
fn respond_to_key_or_miss(asked: &[String]) -> Option<Vec<u8>> {
    match asked[1].starts_with("miss") {
        true => Some(bytes_of(miss())),
        false => respond_to_key(asked),
    }
}

/// The value of a key. Keys that begin with `large` have values of the length [`STREAMED_BYTES`].
fn value_of(key: &str) -> String {
    let value = format!("value-of-{key};");
    match key.starts_with("large") {
        true => value.chars().cycle().take(STREAMED_BYTES).collect(),
        false => value,
    }
}

/// The origin's response: the value of the key, or a receipt for a write.
fn origin_response(asked: &[String]) -> Option<Vec<u8>> {
    let path = asked[0].split(' ').nth(1).unwrap_or_default();
    let id = asked
        .iter()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("x-request-id: ").map(str::to_owned));
    let body = match asked[0].starts_with("PUT") {
        true => format!("receipt-of-{}", id.unwrap_or_default()),
        false => value_of(path.trim_start_matches('/')),
    };
    Some(bytes_of(http("200 OK", &body)))
}

/// The bytes of a reaction that is an answer.
fn bytes_of(reaction: Reaction) -> Vec<u8> {
    match reaction {
        Reaction::Answer(bytes) => bytes,
        _ => unreachable!("no answer"),
    }
}

/// A node with one cache server.
fn node_of(name: &str, server: &StubServer, replacements: &[(&str, &str)]) -> (Node, Discovery) {
    let discovery = Discovery::start(&member("s-1", server.address, "m", "ready"));
    (start_node(name, &discovery, replacements), discovery)
}

/// A node with one cache server, and an origin that has every key.
fn node_beside_origin(name: &str, server: &StubServer, replacements: &[(&str, &str)]) -> (Node, Discovery) {
    let origin = serve(read_call, |asked| Reaction::Answer(origin_response(asked).unwrap()));
    let members = [member("s-1", server.address, "m", "ready"), member("o-1", origin, "origin", "ready")];
    let discovery = Discovery::start(&members.join(","));
    (start_node(name, &discovery, replacements), discovery)
}

/// A node with an origin, and a cache server on which all keys miss.
fn node_of_origin(name: &str, origin: &StubServer) -> (Node, Discovery) {
    let cache = serve(read_command, |_| miss());
    let members = [member("s-1", cache, "m", "ready"), member("o-1", origin.address, "origin", "ready")];
    let discovery = Discovery::start(&members.join(","));
    (start_node(name, &discovery, &[]), discovery)
}

fn send_read(client: &mut Client, key: &str) {
    client.send(&["CACHE.GET", key, &format!("r-{key}"), "c=read,t=acme,d=9000"]);
}

fn read(client: &mut Client, key: &str) -> String {
    send_read(client, key);
    client.answer()
}

fn write(client: &mut Client, key: &str, id: &str) -> String {
    client.ask(&["CACHE.SET", key, id, "c=once,t=acme,d=9000", "new"])
}

/// The first bytes of an answer.
fn first_characters(answer: &str) -> &str {
    &answer[..answer.len().min(40)]
}

/// Checks that a read got the value of its own key or an error, never the value of another key.
fn assert_own_or_unserved(answer: &str, key: &str) {
    assert!(
        answer == format!("${}", value_of(key)) || answer.starts_with('-'),
        "{key}: {}",
        first_characters(answer)
    );
    if answer.starts_with('-') {
        println!("{key}: not served, {answer}");
    }
}

/// Reads one key after the other, and then checks all answers, so that the output shows a shift as a whole.
fn assert_each_own_or_unserved(client: &mut Client, keys: &[&str]) {
    let answers: Vec<String> = keys.iter().map(|key| read(client, key)).collect();
    let answer_heads: Vec<&str> = answers.iter().map(|answer| first_characters(answer)).collect();
    println!("asked {keys:?}, answered {answer_heads:?}");
    keys.iter().zip(&answers).for_each(|(key, answer)| assert_own_or_unserved(answer, key));
}

fn assert_own(answer: &str, key: &str) {
    assert!(answer == format!("${}", value_of(key)), "{key}: {}", first_characters(answer));
}

/// Checks that a write got its own receipt or an error. A refusal would mean that it never ran.
fn assert_receipt_or_failed(answer: &str, id: &str) {
    assert!(answer == format!("$receipt-of-{id}") || answer.starts_with("-ERR"), "{id}: {answer}");
    if answer.starts_with('-') {
        println!("{id}: not served, {answer}");
    }
}

/// The first value is sent again after `others` further responses and one more command, whose own response follows only
/// after the next command.
fn value_duplicated_behind(name: &str, others: usize) {
    let server = StubServer::cache(move |connection| {
        for _ in 0..=others {
            connection.next();
            connection.answer();
        }
        connection.next();
        connection.send_duplicate(0);
        connection.next_within();
    });
    let (node, _discovery) = node_of(name, &server, &[READ_THROUGH]);
    let mut client = node.client();
    let keys = ["k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"];
    assert_each_own_or_unserved(&mut client, &keys[..others + 4]);
}

/// Guards against a node that compares with the last response only: a duplicate two responses later is taken for the value
/// of another key.
#[test]
fn a_value_duplicated_two_responses_later_reaches_no_other_key() {
    value_duplicated_behind("repeated-2", 2);
}

/// Guards against the same for a duplicate five responses later.
#[test]
fn a_value_duplicated_five_responses_later_reaches_no_other_key() {
    value_duplicated_behind("repeated-5", 5);
}

/// Four commands are pipelined. The duplicate is sent before the response to the command at index `at`.
fn value_duplicated_amid_a_queue(name: &str, at: usize) {
    const QUEUE: usize = 4;
    let server = StubServer::cache(move |connection| {
        connection.next();
        connection.answer();
        connection.next();
        for _ in 1..QUEUE {
            connection.next_within();
        }
        for _ in 0..at {
            connection.answer();
        }
        connection.send_duplicate(0);
    });
    let (node, _discovery) = node_of(name, &server, &[READ_THROUGH, ONE_CONNECTION]);
    assert_own(&read(&mut node.client(), "first"), "first");
    let keys: Vec<String> = (0..QUEUE).map(|number| format!("q{number}")).collect();
    let mut clients: Vec<Client> = keys.iter().map(|_| node.client()).collect();
    for (client, key) in clients.iter_mut().zip(&keys) {
        send_read(client, key);
        server.wait_for_request(key);
    }
    let answers: Vec<String> = clients.iter_mut().map(Client::answer).collect();
    println!("{name}: {answers:?}");
    keys.iter().zip(&answers).for_each(|(key, answer)| assert_own(answer, key));
}

/// Guards against a duplicate before the first response to pipelined commands that shifts all of the responses.
#[test]
fn a_duplicate_before_pipelined_commands_shifts_no_response() {
    value_duplicated_amid_a_queue("queue-0", 0);
}

/// Guards against a duplicate amid the responses to pipelined commands that shifts the later ones.
#[test]
fn a_duplicate_amid_pipelined_commands_shifts_no_response() {
    value_duplicated_amid_a_queue("queue-2", 2);
}

/// The first command gets a response without a value, which is sent again after the second command. Each later response
/// is delayed until the next command has arrived.
fn valueless_response_duplicated(response_bytes: &'static [u8]) -> StubServer {
    StubServer::cache(move |connection| {
        connection.next();
        connection.answer_with(response_bytes.to_vec());
        connection.next();
        connection.send_duplicate(0);
        for _ in 0..3 {
            connection.next_within();
            connection.answer();
        }
    })
}

/// Guards against a duplicate miss that is taken for the response to the next command, whose value then goes to the
/// command after it.
#[test]
fn after_a_duplicate_miss_no_value_goes_to_the_next_command() {
    let server = valueless_response_duplicated(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    let (node, _discovery) = node_beside_origin("repeated-miss", &server, &[]);
    let mut client = node.client();
    assert_each_own_or_unserved(&mut client, &["k0", "k1", "k2", "k3", "k4", "k5"]);
}

/// Guards against the same for a duplicate error.
#[test]
fn after_a_duplicate_error_no_value_goes_to_the_next_command() {
    let server = valueless_response_duplicated(b"-ERR failed\r\n");
    let (node, _discovery) = node_of("repeated-error", &server, &[READ_THROUGH]);
    let mut client = node.client();
    assert_each_own_or_unserved(&mut client, &["k0", "k1", "k2", "k3", "k4", "k5"]);
}

/// The first command is a read whose response says that nothing ran. A duplicate of it follows a write, which does run.
fn refusal_duplicated_behind_a_write(name: &str, never_ran: &'static [u8]) {
    let server = StubServer::cache(move |connection| {
        connection.next();
        connection.answer_with(never_ran.to_vec());
        connection.next();
        // The node may have retried the read.
        while connection.word(0) == "CACHE.GET" {
            connection.answer_with(never_ran.to_vec());
            if !connection.next() {
                return;
            }
        }
        connection.send_duplicate(0);
        connection.next_within();
    });
    let (node, _discovery) = node_of(name, &server, &[READ_THROUGH]);
    let mut client = node.client();
    println!("read: {}", read(&mut client, "k0"));
    let answer = write(&mut client, "k1", "w1");
    let runs = server.runs("w1");
    println!("write: {answer}, {runs} runs");
    assert_eq!(runs, 1, "answered {answer}");
    assert_receipt_or_failed(&answer, "w1");
}

/// Guards against a duplicate `-BUSY` that is taken for the response to a write that ran: the write would run twice, or be
/// refused as if it had never run.
#[test]
fn a_write_followed_by_a_duplicate_refusal_runs_once_and_is_not_refused() {
    refusal_duplicated_behind_a_write("repeated-busy", b"-BUSY\r\n");
}

/// Guards against the same for a duplicate miss, which means that nothing ran, too.
#[test]
fn a_write_followed_by_a_duplicate_miss_runs_once_and_is_not_refused() {
    refusal_duplicated_behind_a_write("miss-for-write", b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
}

/// Guards against a write that gets the receipt of the write before it.
#[test]
fn a_duplicate_receipt_is_not_taken_for_that_of_the_next_write() {
    let server = StubServer::cache(|connection| {
        connection.next();
        connection.answer();
        connection.next();
        connection.send_duplicate(0);
        connection.next_within();
    });
    let (node, _discovery) = node_of("repeated-receipt", &server, &[READ_THROUGH]);
    let mut client = node.client();
    let answers: Vec<String> =
        (0..4).map(|n| write(&mut client, &format!("k{n}"), &format!("w{n}"))).collect();
    let ids: Vec<String> = server.seen.try_iter().map(|asked| asked[2].clone()).collect();
    println!("{answers:?}, runs {ids:?}");
    answers.iter().enumerate().for_each(|(n, answer)| assert_receipt_or_failed(answer, &format!("w{n}")));
    assert_eq!(ids, ["w0", "w1", "w2", "w3"], "runs");
}

/// Guards against receipts that are shifted among pipelined writes: each must get its own, and run once.
#[test]
fn a_duplicate_receipt_before_pipelined_writes_shifts_no_receipt() {
    // The gate of one of 64 nodes lets at most two writes out at the same time.
    const QUEUE: usize = 2;
    let server = StubServer::cache(|connection| {
        connection.next();
        connection.answer();
        connection.next();
        for _ in 1..QUEUE {
            connection.next_within();
        }
        connection.send_duplicate(0);
    });
    let (node, _discovery) = node_of("queued-writes", &server, &[READ_THROUGH, ONE_CONNECTION]);
    assert_eq!(write(&mut node.client(), "k", "w"), "$receipt-of-w");
    let ids = ["w0", "w1"];
    let mut clients: Vec<Client> = ids.iter().map(|_| node.client()).collect();
    let mut runs = Vec::new();
    for (client, id) in clients.iter_mut().zip(ids) {
        client.send(&["CACHE.SET", &format!("key-{id}"), id, "c=once,t=acme,d=9000", "new"]);
        runs.extend(server.seen.recv_timeout(EVENT_TIMEOUT));
    }
    let answers: Vec<String> = clients.iter_mut().map(Client::answer).collect();
    println!("{answers:?}");
    ids.iter().zip(&answers).for_each(|(id, answer)| assert_receipt_or_failed(answer, id));
    runs.extend(server.seen.try_iter());
    for id in ids {
        assert_eq!(
            runs.iter().filter(|asked| asked.iter().any(|word| word == id)).count(),
            1,
            "runs of {id}"
        );
    }
}

/// Guards against a write that gets the value of the read before it as its receipt.
#[test]
fn a_duplicate_value_is_not_taken_for_the_receipt_of_a_write() {
    let server = StubServer::cache(|connection| {
        connection.next();
        connection.answer();
        connection.next();
        connection.send_duplicate(0);
        connection.next_within();
    });
    let (node, _discovery) = node_of("value-for-receipt", &server, &[READ_THROUGH]);
    let mut client = node.client();
    assert_own(&read(&mut client, "k0"), "k0");
    let answer = write(&mut client, "k1", "w1");
    assert_receipt_or_failed(&answer, "w1");
    assert_own_or_unserved(&read(&mut client, "k2"), "k2");
    assert_eq!(server.runs("w1"), 1, "runs");
}

/// The value of the first key is sent again after the command for the second.
fn first_value_duplicated_behind_second(name: &str, keys: [&str; 2]) {
    let server = StubServer::cache(|connection| {
        connection.next();
        connection.answer();
        connection.next();
        connection.send_duplicate(0);
        connection.next_within();
    });
    let (node, _discovery) = node_of(name, &server, &[READ_THROUGH]);
    let mut client = node.client();
    assert_own(&read(&mut client, keys[0]), keys[0]);
    assert_each_own_or_unserved(&mut client, &[keys[1], "k2", "large-3"]);
}

/// Guards against a duplicate of a large value that is streamed as the value of another key with the same length.
#[test]
fn a_duplicate_large_value_is_not_streamed_for_another_of_its_length() {
    first_value_duplicated_behind_second("large-for-large", ["large-0", "large-1"]);
}

/// Guards against a duplicate of a large value that is streamed instead of a small one.
#[test]
fn a_duplicate_large_value_is_not_streamed_for_a_small_one() {
    first_value_duplicated_behind_second("large-for-small", ["large-0", "k1"]);
}

/// Guards against a duplicate of a small value that is taken for a large one, whose parts then go to the next command.
#[test]
fn a_duplicate_small_value_is_not_taken_for_a_large_one() {
    first_value_duplicated_behind_second("small-for-large", ["k0", "large-1"]);
}

/// Guards against the losing attempt of a hedged request that is answered late and twice: the duplicate must not answer
/// the command behind it.
#[test]
fn a_duplicate_of_the_losing_attempt_of_a_hedge_answers_no_other_command() {
    let is_held = Arc::new(AtomicBool::new(false));
    let server = || {
        let is_held = is_held.clone();
        StubServer::cache(move |connection| {
            while connection.next() {
                if connection.word(1) == "slow" && !is_held.swap(true, Ordering::SeqCst) {
                    // The other server answers the hedge; then another command is pipelined behind this one.
                    connection.next_within();
                    connection.answer();
                    connection.send_duplicate(connection.answers.len() - 1);
                    connection.next_within();
                    return;
                }
                connection.answer();
            }
        })
    };
    let servers = [server(), server()];
    let members =
        [member("s-1", servers[0].address, "m", "ready"), member("s-2", servers[1].address, "m", "ready")];
    let discovery = Discovery::start(&members.join(","));
    // A hedge is sent after two fifths of the latency target.
    let soon = (r#""goalTimeUs":2000000"#, r#""goalTimeUs":500000"#);
    let node = start_node("hedge-twice", &discovery, &[READ_THROUGH, ONE_CONNECTION, soon]);
    let mut client = node.client();
    assert_own(&read(&mut client, "slow"), "slow");
    let hedged: usize = servers.iter().map(|server| server.runs("r-slow")).sum();
    assert_eq!(hedged, 2, "not hedged");
    let keys: Vec<String> = (0..16).map(|number| format!("k{number}")).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    assert_each_own_or_unserved(&mut client, &keys);
}

/// Guards against a duplicate of the value before a change that is taken for the response to a read after the change.
#[test]
fn a_duplicate_value_from_before_a_change_does_not_answer_the_next_read() {
    let server = StubServer::cache(|connection| {
        connection.next();
        connection.answer_with(bytes_of(hit("old")));
        connection.next();
        connection.answer();
        connection.next();
        connection.send_duplicate(0);
        connection.next_within();
        connection.answer_with(bytes_of(hit("new")));
    });
    let (node, _discovery) = node_of("stale", &server, &[READ_THROUGH]);
    let mut client = node.client();
    let mut read = |id: &str| client.ask(&["CACHE.GET", "k", id, "c=read,t=acme,d=9000"]);
    assert_eq!(read("r1"), "$old");
    assert_eq!(write(&mut node.client(), "k", "w1"), "$receipt-of-w1");
    let answer = read("r2");
    assert!(
        answer == "$new" || answer == "$value-of-k;" || answer.starts_with('-'),
        "after the change: {answer}"
    );
}

/// Different keys have equal responses, read one at a time and concurrently, without duplicates. Returns the requests
/// that the server received.
fn read_equal_values(
    name: &str,
    respond: Respond,
    origin: Option<SocketAddr>,
    replacements: &[(&str, &str)],
) -> Vec<Vec<String>> {
    const ALONE: usize = 40;
    let server = StubServer::start(read_command, respond, |_, _| {});
    let members = [
        Some(member("s-1", server.address, "m", "ready")),
        origin.map(|origin| member("o-1", origin, "origin", "ready")),
    ];
    let members: Vec<String> = members.into_iter().flatten().collect();
    let discovery = Discovery::start(&members.join(","));
    let node = start_node(name, &discovery, replacements);
    let mut client = node.client();
    for number in 0..ALONE {
        assert_eq!(read(&mut client, &format!("a{number}")), "$equal");
    }
    let mut clients: Vec<Client> = (0..8).map(|_| node.client()).collect();
    for round in 0..5 {
        for (number, client) in clients.iter_mut().enumerate() {
            send_read(client, &format!("b{round}-{number}"));
        }
        clients.iter_mut().for_each(|client| assert_eq!(client.answer(), "$equal"));
    }
    server.seen.try_iter().collect()
}

/// Guards against equal values of different keys being taken for duplicates: each must be served, with few further
/// commands.
#[test]
fn equal_values_of_different_keys_are_served_with_few_further_commands() {
    const REQUESTS: usize = 80;
    let respond: Respond = |_| Some(bytes_of(hit("equal")));
    let seen = read_equal_values("equal-values", respond, None, &[READ_THROUGH, ONE_CONNECTION]);
    let reads = seen.iter().filter(|asked| asked[0] == "CACHE.GET").count();
    println!("{REQUESTS} requests: {reads} reads and {} other commands at the server", seen.len() - reads);
    assert!(reads <= 2 * REQUESTS, "{reads} reads for {REQUESTS} requests");
}

/// Guards against the same for misses, which are all equal, and for their values at the origin: at most one origin call in
/// fifty may be repeated to check equal values.
#[test]
fn equal_misses_of_different_keys_are_fetched_with_few_further_commands() {
    const REQUESTS: usize = 80;
    let calls = Arc::new(AtomicUsize::new(0));
    let count = calls.clone();
    let origin = serve(read_call, move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        http("200 OK", "equal")
    });
    let respond: Respond = |_| Some(bytes_of(miss()));
    let seen = read_equal_values("equal-misses", respond, Some(origin), &[]);
    let reads = seen.iter().filter(|asked| asked[0] == "CACHE.GET").count();
    let (other, calls) = (seen.len() - reads, calls.load(Ordering::SeqCst));
    println!("{REQUESTS} requests: {reads} reads, {other} other commands, {calls} calls at the origin");
    assert!(reads <= 2 * REQUESTS, "{reads} reads for {REQUESTS} requests");
    assert!((REQUESTS..=REQUESTS + REQUESTS / 50).contains(&calls), "{calls} calls at the origin");
}

/// The node is paused while a duplicate and the next request arrive, so that it sees both at once.
fn duplicate_seen_with_the_next_request(name: &str, source: DuplicateSource) {
    let (release, wait) = channel::<()>();
    let (has_duplicated, duplicated) = channel::<()>();
    let shared = Mutex::new((wait, has_duplicated));
    let script = move |connection: &mut StubConnection, _: usize| {
        if !connection.next() {
            return;
        }
        connection.answer();
        let shared = shared.lock().unwrap();
        if shared.0.recv().is_ok() {
            connection.send_duplicate(0);
            let _ = shared.1.send(());
        }
    };
    let stub = match source {
        DuplicateSource::Cache => StubServer::start(read_command, respond_to_key, script),
        DuplicateSource::Origin => StubServer::start(read_call, origin_response, script),
    };
    let (node, _discovery) = match source {
        DuplicateSource::Cache => node_of(name, &stub, &[READ_THROUGH]),
        DuplicateSource::Origin => node_of_origin(name, &stub),
    };
    let mut client = node.client();
    for number in 0..10 {
        let (key, id) = (format!("k{number}"), format!("w{number}"));
        if number > 0 {
            node.signal("STOP");
            release.send(()).unwrap();
            duplicated.recv_timeout(HANG_TIMEOUT).unwrap();
        }
        client.send(&["CACHE.SET", &key, &id, "c=once,t=acme,d=9000", "new"]);
        node.signal("CONT");
        assert_eq!(client.answer(), format!("$receipt-of-{id}"));
        assert_eq!(stub.runs(&id), 1);
    }
}

/// Which stub sends the duplicate.
#[derive(Clone, Copy)]
enum DuplicateSource {
    Cache,
    Origin,
}

/// Guards against a write to a cache server on a connection on which a duplicate has arrived already.
#[test]
fn a_duplicate_seen_together_with_the_next_write_does_not_fail_it() {
    duplicate_seen_with_the_next_request("found-with-write", DuplicateSource::Cache);
}

/// Guards against the same at the origin.
#[test]
fn an_origin_duplicate_seen_together_with_the_next_write_does_not_fail_it() {
    duplicate_seen_with_the_next_request("found-with-put", DuplicateSource::Origin);
}

/// The origin sends an unasked response on an idle connection. The next write is sent once the node has closed that
/// connection.
fn unasked_response_while_idle(name: &str, unasked: Option<&'static [u8]>) {
    let (sender, ended) = channel::<bool>();
    let sender = Mutex::new(sender);
    let origin = StubServer::origin(move |connection| {
        connection.next();
        connection.answer();
        match unasked {
            Some(bytes) => connection.write(bytes),
            None => connection.send_duplicate(0),
        }
        connection.next_within();
        let _ = sender.lock().unwrap().send(connection.ended);
    });
    let (node, _discovery) = node_of_origin(name, &origin);
    let mut client = node.client();
    assert_eq!(write(&mut client, "k0", "w0"), "$receipt-of-w0");
    assert!(ended.recv_timeout(HANG_TIMEOUT).unwrap(), "the connection stayed open");
    for number in 1..4 {
        let (key, id) = (format!("k{number}"), format!("w{number}"));
        assert_eq!(write(&mut client, &key, &id), format!("$receipt-of-{id}"));
        assert_eq!(origin.runs(&id), 1);
    }
}

/// Guards against a duplicate of the origin on an idle connection that is kept for the next call.
#[test]
fn an_origin_duplicate_on_an_idle_connection_closes_it() {
    unasked_response_while_idle("origin-idle", None);
}

/// Guards against an interim response on an idle connection that is kept for the next call.
#[test]
fn an_interim_response_on_an_idle_origin_connection_fails_no_call() {
    unasked_response_while_idle("interim-idle", Some(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"));
}

/// Guards against a duplicate that arrives in one piece with the first response and is kept for the next call.
#[test]
fn an_origin_duplicate_together_with_the_first_response_fails_no_call() {
    let origin = StubServer::start(read_call, origin_response, |connection, _| {
        if connection.next() {
            let bytes = origin_response(&connection.unanswered[0]).unwrap();
            connection.answer_with(bytes.repeat(2));
        }
    });
    let (node, _discovery) = node_of_origin("origin-together", &origin);
    let mut client = node.client();
    for number in 0..10 {
        let (key, id) = (format!("k{number}"), format!("w{number}"));
        assert_eq!(write(&mut client, &key, &id), format!("$receipt-of-{id}"));
        assert_eq!(origin.runs(&id), 1);
    }
}

/// Guards against a duplicate of the origin that is taken for the receipt of the next write.
#[test]
fn an_origin_duplicate_is_not_taken_for_the_receipt_of_the_next_write() {
    let origin = StubServer::origin(|connection| {
        connection.next();
        connection.answer();
        connection.next();
        connection.send_duplicate(0);
        connection.next_within();
    });
    let (node, _discovery) = node_of_origin("origin-behind-write", &origin);
    let mut client = node.client();
    let answers: Vec<String> =
        (0..4).map(|n| write(&mut client, &format!("k{n}"), &format!("w{n}"))).collect();
    println!("{answers:?}");
    answers.iter().enumerate().for_each(|(n, answer)| assert_receipt_or_failed(answer, &format!("w{n}")));
    assert_eq!(origin.seen.try_iter().count(), 4, "runs");
}

/// Guards against a duplicate 503 of the origin (the call never ran) that is taken for the response to a write that ran: the
/// write would run twice, or be refused as if it had never run.
#[test]
fn an_origin_write_followed_by_a_duplicate_refusal_runs_once_and_is_not_refused() {
    let origin = StubServer::origin(|connection| {
        connection.next();
        connection.answer_with(b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_vec());
        connection.next();
        connection.answer();
        connection.next();
        connection.send_duplicate(0);
        connection.next_within();
    });
    let (node, _discovery) = node_of_origin("origin-refusal", &origin);
    let mut client = node.client();
    // The first write is refused and retried, and then it runs.
    assert_eq!(write(&mut client, "k0", "w0"), "$receipt-of-w0");
    assert_eq!(origin.runs("w0"), 2, "not retried");
    let answer = write(&mut client, "k1", "w1");
    let runs = origin.runs("w1");
    println!("write: {answer}, {runs} runs");
    assert_eq!(runs, 1, "answered {answer}");
    assert_receipt_or_failed(&answer, "w1");
}

/// Guards against a duplicate of the origin that is taken for the value of the next key.
#[test]
fn an_origin_duplicate_is_not_taken_for_the_value_of_the_next_fetch() {
    let origin = StubServer::origin(|connection| {
        connection.next();
        connection.answer();
        connection.next();
        connection.send_duplicate(0);
        connection.next_within();
    });
    let (node, _discovery) = node_of_origin("origin-behind-fetch", &origin);
    let mut client = node.client();
    assert_each_own_or_unserved(&mut client, &["k0", "k1", "k2", "k3"]);
}

/// Guards against an interim response that is taken for the final response to its call.
#[test]
fn interim_origin_responses_are_not_taken_for_final_ones() {
    let origin = StubServer::origin(|connection| {
        for interim in ["100 Continue", "103 Early Hints"] {
            connection.next();
            connection.answer();
            connection.next();
            connection.write(format!("HTTP/1.1 {interim}\r\nLink: </a>\r\n\r\n").as_bytes());
            connection.answer();
        }
    });
    let (node, _discovery) = node_of_origin("interim-behind", &origin);
    let mut client = node.client();
    for number in 0..6 {
        let (key, id) = (format!("k{number}"), format!("w{number}"));
        assert_eq!(write(&mut client, &key, &id), format!("$receipt-of-{id}"));
        assert_own(&read(&mut client, &format!("r{number}")), &format!("r{number}"));
    }
}

/// The bytes of a list.
fn list(revision: u64, complete: bool, members: &str) -> Vec<u8> {
    let text = format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#);
    bytes_of(http("200 OK", &text))
}

/// A discovery that sends four lists, one for each call, and a duplicate of the second after the call for the fourth. The
/// fourth is delayed until the test signals it, and sent as a whole list on another connection.
fn duplicates_second_list(
    lists: [Vec<u8>; 4],
    fourth_whole: Vec<u8>,
) -> (StubServer, Receiver<()>, Sender<()>) {
    let (sender, duplicated) = channel::<()>();
    let (release, wait) = channel::<()>();
    let shared = Mutex::new((sender, wait));
    let discovery = StubServer::start(
        read_call,
        |_| None,
        move |connection, number| {
            if number > 0 {
                while connection.next() {
                    if !connection.word(0).contains("after=4&") {
                        connection.answer_with(fourth_whole.clone());
                    }
                }
                return;
            }
            for list in &lists[..3] {
                connection.next();
                connection.answer_with(list.clone());
            }
            connection.next();
            connection.send_duplicate(1);
            connection.next_within();
            let (sender, wait) = &*shared.lock().unwrap();
            let _ = sender.send(());
            let _ = wait.recv_timeout(HANG_TIMEOUT);
            connection.answer_with(lists[3].clone());
            while connection.next() {}
        },
    );
    (discovery, duplicated, release)
}

/// Guards against a list that is lost behind one that arrives twice in one piece: each must be applied.
#[test]
fn a_list_that_arrives_twice_in_one_piece_does_not_lose_later_ones() {
    const LISTS: u64 = 6;
    let servers: Vec<String> = (0..=LISTS)
        .map(|number| {
            member("s-1", serve(read_command, move |_| hit(&format!("list-{number}"))), "m", "ready")
        })
        .collect();
    let discovery = StubServer::start(
        read_call,
        |_| None,
        move |connection, _| {
            while connection.next() {
                let after = connection.word(0).split("after=").nth(1).and_then(|rest| rest.split('&').next());
                let revision = after.map_or(1, |after| after.parse::<u64>().unwrap() + 1);
                if revision <= LISTS {
                    let bytes = list(revision, true, &servers[revision as usize]);
                    connection.answer_with(bytes.repeat(2));
                }
            }
        },
    );
    let node = Node::spawn(node_command("list-twice", discovery.address, 1024, ""));
    assert!(discovery.wait_for_request(&format!("after={LISTS}&")), "the newest list was not applied");
    assert_eq!(read(&mut node.client(), "k"), format!("$list-{LISTS}"));
}

/// Guards against a duplicate of an older whole list that replaces a newer one, and against the loss of the list that
/// follows.
#[test]
fn a_duplicate_list_replaces_no_newer_one() {
    let server = |name: &'static str| serve(read_command, move |_| hit(name));
    let members = ["one", "two", "three", "four"].map(|name| member(name, server(name), "m", "ready"));
    let whole = |number: usize| list(number as u64, true, &members[number - 1]);
    let (discovery, duplicated, release) =
        duplicates_second_list([whole(1), whole(2), whole(3), whole(4)], whole(4));
    let node = Node::spawn(node_command("list-repeated", discovery.address, 1024, ""));
    duplicated.recv_timeout(HANG_TIMEOUT).unwrap();
    let mut client = node.client();
    let answer = read(&mut client, "k0");
    println!("with the older list repeated: {answer}");
    release.send(()).unwrap();
    assert!(discovery.wait_for_request("after=4&"), "the newest list was not applied");
    assert_eq!(read(&mut client, "k1"), "$four");
    assert!(answer == "$three" || answer == "$four", "served by the older list: {answer}");
}

/// Guards against a duplicate of an older change that undoes a newer one: a draining server would get requests again.
#[test]
fn a_duplicate_change_undoes_no_newer_one() {
    let server = |name: &'static str| serve(read_command, move |_| hit(name));
    let (one, two, four) = (server("one"), server("two"), server("four"));
    let first = member("one", one, "m", "ready");
    let (ready, draining) = (member("two", two, "m", "ready"), member("two", two, "m", "draining"));
    let last = member("four", four, "m", "ready");
    let lists =
        [list(1, true, &first), list(2, false, &ready), list(3, false, &draining), list(4, false, &last)];
    let (discovery, duplicated, release) =
        duplicates_second_list(lists, list(4, true, &[first, draining, last].join(",")));
    let node = Node::spawn(node_command("change-repeated", discovery.address, 1024, ""));
    duplicated.recv_timeout(HANG_TIMEOUT).unwrap();
    release.send(()).unwrap();
    assert!(discovery.wait_for_request("after=4&"), "the newest list was not applied");
    let mut client = node.client();
    let answers: Vec<String> = (0..30).map(|number| read(&mut client, &format!("k{number}"))).collect();
    let drained = answers.iter().filter(|answer| *answer == "$two").count();
    assert_eq!(drained, 0, "of 30 requests went to a draining server");
    assert!(answers.iter().any(|answer| answer == "$four"), "the newest change was lost");
}

/// Guards against a duplicate `-BUSY` that is taken for the response to a read whose class may not run twice: that is
/// decided by the settings, not by the name of the command.
#[test]
fn a_read_that_may_not_run_twice_runs_once_after_a_duplicate_refusal() {
    let server = StubServer::cache(|connection| {
        connection.next();
        connection.answer_with(b"-BUSY\r\n".to_vec());
        connection.next();
        while connection.word(2) == "r-k0" {
            connection.answer_with(b"-BUSY\r\n".to_vec());
            if !connection.next() {
                return;
            }
        }
        connection.send_duplicate(0);
        connection.next_within();
    });
    let (node, _discovery) = node_of("busy-once-read", &server, &[READ_THROUGH]);
    let mut client = node.client();
    println!("read: {}", read(&mut client, "k0"));
    let answer = client.ask(&["CACHE.GET", "k1", "once-1", "c=once,t=acme,d=9000"]);
    let runs = server.runs("once-1");
    println!("answered {answer}, {runs} runs");
    assert_eq!(runs, 1, "answered {answer}");
    assert!(!answer.starts_with("-BUSY"), "refused though it ran");
}

/// Guards against a duplicate refusal that is compared with the last refusal only, which had another load.
#[test]
fn a_write_followed_by_a_duplicate_of_an_earlier_refusal_runs_once_and_is_not_refused() {
    const FIRST: &[u8] = b"-BUSY lat_ms=5,busy=0.1\r\n";
    let respond: Respond = |asked| match asked[1].as_str() {
        "busy1" => Some(FIRST.to_vec()),
        "busy2" => Some(b"-BUSY lat_ms=5,busy=0.2\r\n".to_vec()),
        _ => respond_to_key(asked),
    };
    let server = StubServer::start(read_command, respond, |connection, _| {
        while connection.next() {
            let first = connection.answers.iter().position(|answer| answer == FIRST);
            if let Some(number) = first.filter(|_| connection.word(0) == "CACHE.SET") {
                connection.send_duplicate(number);
                connection.next_within();
                return;
            }
            connection.answer();
        }
    });
    let (node, _discovery) = node_of("busy-before-last", &server, &[READ_THROUGH]);
    let mut client = node.client();
    // These receipts differ, so the next write may use any connection.
    for id in ["w0", "w1"] {
        assert_eq!(write(&mut client, id, id), format!("$receipt-of-{id}"));
    }
    println!("{}, {}", read(&mut client, "busy1"), read(&mut client, "busy2"));
    let answer = write(&mut client, "k", "w2");
    let runs = server.runs("w2");
    println!("write: {answer}, {runs} runs");
    assert!(runs <= 1, "{runs} runs, answered {answer}");
    assert!(runs == 0 || !answer.starts_with("-BUSY"), "refused though it ran");
}

/// Guards against more attempts than the settings allow: an attempt that is sent again must count as a further one.
#[test]
fn an_attempt_that_is_sent_again_counts_as_a_further_attempt() {
    let respond: Respond = |asked| match asked[1].as_str() {
        "hot" => Some(b"-ERR failed\r\n".to_vec()),
        _ => respond_to_key(asked),
    };
    let servers: Vec<StubServer> = (0..3)
        .map(|_| {
            StubServer::start(read_command, respond, |connection, _| {
                while connection.next() {
                    if connection.word(1) == "hot" && !connection.answers.is_empty() {
                        connection.send_duplicate(0);
                        return;
                    }
                    connection.answer();
                }
            })
        })
        .collect();
    let members: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(number, server)| member(&format!("s-{number}"), server.address, "m", "ready"))
        .collect();
    let discovery = Discovery::start(&members.join(","));
    let node = start_node("sent-again-counts", &discovery, &[READ_THROUGH, ONE_CONNECTION]);
    let mut client = node.client();
    for number in 0..24 {
        let key = format!("k{number}");
        assert_own(&read(&mut client, &key), &key);
    }
    let answer = read(&mut client, "hot");
    let runs: usize = servers.iter().map(|server| server.runs("r-hot")).sum();
    println!("answered {answer}, {runs} sends");
    assert!(runs <= 3, "{runs} sends where the settings allow 3 attempts");
}

/// A cache server that counts its connections.
fn counting_server(respond: Respond) -> (StubServer, Arc<AtomicUsize>) {
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    let server = StubServer::start(read_command, respond, move |_, _| {
        count.fetch_add(1, Ordering::SeqCst);
    });
    (server, connections)
}

/// Guards against a new connection for each write of one key, which costs the server work.
#[test]
fn writes_of_one_key_do_not_each_need_a_new_connection() {
    let (server, connections) = counting_server(respond_to_key);
    let (node, _discovery) = node_of("hot-write", &server, &[READ_THROUGH]);
    let mut client = node.client();
    for number in 0..50 {
        let id = format!("w{number}");
        assert_receipt_or_failed(&write(&mut client, "hot", &id), &id);
    }
    let connections = connections.load(Ordering::SeqCst);
    println!("{connections} connections for 50 writes");
    assert!(connections <= 12, "{connections} connections for 50 writes");
}

/// Guards against a new connection for each write to a server that refuses writes because it is overloaded.
#[test]
fn refused_writes_do_not_each_need_a_new_connection() {
    let (server, connections) = counting_server(|_| Some(b"-BUSY\r\n".to_vec()));
    let (node, _discovery) = node_of("busy-writes", &server, &[READ_THROUGH]);
    let mut client = node.client();
    for number in 0..50 {
        let answer = write(&mut client, &format!("k{number}"), &format!("w{number}"));
        assert!(answer.starts_with("-BUSY"), "{answer}");
    }
    let runs = server.seen.try_iter().filter(|asked| asked[0] == "CACHE.SET").count();
    let connections = connections.load(Ordering::SeqCst);
    println!("{connections} connections for {runs} commands");
    assert!(connections <= 12, "{connections} connections for {runs} commands");
}

/// Guards against writes that are reported as failed, and connections that are closed, where a server refuses all writes and
/// sends no duplicates.
#[test]
fn writes_that_a_server_refuses_are_refused_and_not_failed() {
    let busy = Arc::new(AtomicBool::new(false));
    let connections = Arc::new(AtomicUsize::new(0));
    let (is_busy, count) = (busy.clone(), connections.clone());
    let server = StubServer::start(read_command, respond_to_key, move |connection, _| {
        count.fetch_add(1, Ordering::SeqCst);
        while connection.next() {
            match is_busy.load(Ordering::SeqCst) {
                true => connection.answer_with(b"-BUSY\r\n".to_vec()),
                false => connection.answer(),
            }
        }
    });
    let (node, _discovery) = node_of("all-busy", &server, &[READ_THROUGH]);
    let mut client = node.client();
    for number in 0..4 {
        let id = format!("first{number}");
        assert_eq!(write(&mut client, &format!("k{number}"), &id), format!("$receipt-of-{id}"));
    }
    busy.store(true, Ordering::SeqCst);
    let before = connections.load(Ordering::SeqCst);
    let answers: Vec<String> =
        (0..50).map(|number| write(&mut client, &format!("k{number}"), &format!("w{number}"))).collect();
    let failed = answers.iter().filter(|answer| !answer.starts_with("-BUSY")).count();
    let made = connections.load(Ordering::SeqCst) - before;
    println!("{failed} of 50 failed, {made} connections made");
    assert_eq!(failed, 0, "of 50 writes that never ran were reported as failed; {made} connections made");
}

/// Guards against a new connection for every few misses of a cold server that sends no duplicates.
#[test]
fn misses_of_a_cold_server_need_few_connections() {
    let (server, connections) = counting_server(|_| Some(bytes_of(miss())));
    let (node, _discovery) = node_beside_origin("cold-misses", &server, &[]);
    let mut client = node.client();
    for number in 0..100 {
        let key = format!("k{number}");
        assert_own(&read(&mut client, &key), &key);
    }
    let connections = connections.load(Ordering::SeqCst);
    println!("{connections} connections for 100 reads");
    assert!(connections <= 12, "{connections} connections for 100 reads");
}

/// Guards against values that are accepted unchecked because misses have exhausted the budget for checks.
#[test]
fn a_duplicate_after_many_misses_reaches_no_other_key() {
    let server = StubServer::start(read_command, respond_to_key_or_miss, |connection, _| {
        while connection.next() {
            if connection.word(1) == "last" && !connection.answers.is_empty() {
                connection.send_duplicate(connection.answers.len() - 1);
                connection.next_within();
                return;
            }
            connection.answer();
        }
    });
    let (node, _discovery) = node_beside_origin("misses-use-up", &server, &[ONE_CONNECTION]);
    let mut clients: Vec<Client> = (0..3).map(|_| node.client()).collect();
    exhaust_checks_with_misses(&mut clients);
    thread::sleep(Duration::from_millis(400));
    assert_own(&read(&mut clients[0], "before"), "before");
    let answer = read(&mut clients[0], "last");
    assert_own_or_unserved(&answer, "last");
}

/// Reads two keys that miss and one with a value, repeatedly on one connection without duplicates. Each value might be the
/// response to the command before it, and is checked until the budget for checks is exhausted.
fn exhaust_checks_with_misses(clients: &mut [Client]) {
    const ROUNDS: usize = 60;
    for round in 0..ROUNDS {
        let keys = [format!("miss-a{round}"), format!("miss-b{round}"), format!("value{round}")];
        clients.iter_mut().zip(&keys).for_each(|(client, key)| send_read(client, key));
        clients.iter_mut().zip(&keys).for_each(|(client, key)| assert_own(&client.answer(), key));
    }
}

/// Guards against a duplicate miss that is accepted because the budget for checks is exhausted, while the true response
/// follows after the next command.
#[test]
fn a_value_behind_a_duplicate_miss_reaches_no_other_key_without_checks_left() {
    let server = StubServer::start(read_command, respond_to_key_or_miss, |connection, _| {
        while connection.next() {
            if connection.word(1) != "miss-last" {
                connection.answer();
                continue;
            }
            // Both arrive in one piece, so that no time passes between the miss and its duplicate.
            connection.next();
            connection.answer_with(bytes_of(miss()).repeat(2));
            // The true response to the second command follows after the third command.
            connection.next_within();
            return;
        }
    });
    let (node, _discovery) = node_beside_origin("checks-used-up", &server, &[ONE_CONNECTION]);
    let mut clients: Vec<Client> = (0..3).map(|_| node.client()).collect();
    exhaust_checks_with_misses(&mut clients);
    let keys = ["miss-last", "value-x", "value-y"];
    for (client, key) in clients.iter_mut().zip(keys).take(2) {
        send_read(client, key);
        server.wait_for_request(key);
    }
    assert_own(&clients[1].answer(), "value-x");
    send_read(&mut clients[2], "value-y");
    assert_own(&clients[0].answer(), "miss-last");
    assert_own(&clients[2].answer(), "value-y");
    assert_each_own_or_unserved(&mut clients[0], &["k1", "k2"]);
}

/// Guards against a request that gets no connection because a response is held back on the only one.
#[test]
fn while_a_value_is_held_back_another_request_is_served() {
    let server = StubServer::start(read_command, respond_to_key_or_miss, |_, _| {});
    let (node, _discovery) = node_beside_origin("held-back-beside", &server, &[ONE_CONNECTION]);
    let mut clients: Vec<Client> = (0..3).map(|_| node.client()).collect();
    exhaust_checks_with_misses(&mut clients);
    for round in 0..5 {
        let keys = [format!("miss-c{round}"), format!("miss-d{round}"), format!("held{round}")];
        clients.iter_mut().zip(&keys).for_each(|(client, key)| send_read(client, key));
        let others = keys.iter().zip(&mut clients).take(2);
        others.for_each(|(key, client)| assert_own(&client.answer(), key));
        // The misses have been answered, and the node holds back the value behind them.
        let key = format!("beside{round}");
        assert_own(&read(&mut clients[0], &key), &key);
        assert_own(&clients[2].answer(), &keys[2]);
    }
}

/// Guards against changing values of several keys being taken for duplicates: a different value on a second read proves
/// nothing.
#[test]
fn values_that_several_keys_share_for_a_while_are_served_with_few_further_commands() {
    const REQUESTS: usize = 300;
    let connections = Arc::new(AtomicUsize::new(0));
    let (count, asked) = (connections.clone(), AtomicUsize::new(0));
    let server = StubServer::start(
        read_command,
        |_| None,
        move |connection, _| {
            count.fetch_add(1, Ordering::SeqCst);
            while connection.next() {
                // The value changes with every fourth command.
                let value = format!("tick-{}", asked.fetch_add(1, Ordering::SeqCst) / 4);
                connection.answer_with(bytes_of(hit(&value)));
            }
        },
    );
    let (node, _discovery) = node_of("ticks", &server, &[READ_THROUGH]);
    let mut client = node.client();
    for number in 0..REQUESTS {
        let answer = read(&mut client, &format!("k{number}"));
        assert!(answer.starts_with("$tick-"), "{answer}");
    }
    let reads = server.seen.try_iter().filter(|asked| asked[0] == "CACHE.GET").count();
    let connections = connections.load(Ordering::SeqCst);
    println!("{REQUESTS} requests: {reads} reads, {connections} connections");
    assert!(reads <= REQUESTS + 32 + REQUESTS / 50, "{reads} reads for {REQUESTS} requests");
}

/// Guards against a duplicate of a large origin response that is streamed as the value of another key.
#[test]
fn a_duplicate_large_origin_response_is_not_the_value_of_the_next_fetch() {
    let origin = StubServer::origin(|connection| {
        connection.next();
        connection.answer();
        connection.next();
        connection.send_duplicate(0);
        connection.next_within();
    });
    let (node, _discovery) = node_of_origin("large-origin-repeat", &origin);
    let mut client = node.client();
    assert_each_own_or_unserved(&mut client, &["large0", "large1", "k2"]);
}

/// Guards against a duplicate error of the origin that is taken for the response to the next call, whose value then goes to
/// the call after it.
#[test]
fn after_a_duplicate_origin_error_no_value_goes_to_the_next_call() {
    let origin = StubServer::origin(|connection| {
        connection.next();
        connection.answer_with(bytes_of(http("500 Internal Server Error", "")));
        connection.next();
        connection.send_duplicate(0);
        for _ in 0..3 {
            connection.next_within();
            connection.answer();
        }
    });
    let (node, _discovery) = node_of_origin("failure-origin-repeat", &origin);
    let mut client = node.client();
    assert_each_own_or_unserved(&mut client, &["k0", "k1", "k2", "k3", "k4", "k5"]);
}

/// Guards against the late response of a slow server, long after a duplicate was taken for it, that goes to another key.
#[test]
fn a_response_long_after_its_command_was_answered_by_a_duplicate_reaches_no_other_key() {
    let server = StubServer::cache(|connection| {
        connection.next();
        connection.answer_with(bytes_of(miss()));
        connection.next();
        connection.send_duplicate(0);
        // The response is delayed until the next command arrives.
        connection.next_within();
        connection.answer();
        connection.next_within();
    });
    let (node, _discovery) = node_beside_origin("slow-behind-repeat", &server, &[]);
    let mut client = node.client();
    assert_own(&read(&mut client, "k0"), "k0");
    assert_own(&read(&mut client, "k1"), "k1");
    thread::sleep(Duration::from_millis(400));
    assert_own_or_unserved(&read(&mut client, "k2"), "k2");
}

/// Guards against writes that are reported as failed where the origin refuses all and sends no duplicates.
#[test]
fn writes_that_the_origin_refuses_are_refused_and_not_failed() {
    let busy = Arc::new(AtomicBool::new(false));
    let is_busy = busy.clone();
    let origin = StubServer::start(read_call, origin_response, move |connection, _| {
        while connection.next() {
            let bytes = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            match is_busy.load(Ordering::SeqCst) {
                true => connection.answer_with(bytes.to_vec()),
                false => connection.answer(),
            }
        }
    });
    let (node, _discovery) = node_of_origin("origin-all-busy", &origin);
    let mut client = node.client();
    for number in 0..4 {
        let id = format!("first{number}");
        assert_eq!(write(&mut client, &format!("k{number}"), &id), format!("$receipt-of-{id}"));
    }
    busy.store(true, Ordering::SeqCst);
    let answers: Vec<String> =
        (0..50).map(|number| write(&mut client, &format!("k{number}"), &format!("w{number}"))).collect();
    let failed = answers.iter().filter(|answer| !answer.starts_with("-BUSY")).count();
    let calls = origin.seen.try_iter().filter(|asked| asked[0].starts_with("PUT")).count() - 4;
    println!("{failed} of 50 failed, {calls} calls");
    assert_eq!(failed, 0, "of 50 writes that never ran were reported as failed");
}

/// Guards against a node that makes more connections to a server than its share of the server's limit.
#[test]
fn writes_of_one_client_open_no_more_connections_than_the_nodes_share() {
    let open = Arc::new(AtomicUsize::new(0));
    let count = open.clone();
    let server = StubServer::start(read_command, respond_to_key, move |connection, _| {
        count.fetch_add(1, Ordering::SeqCst);
        connection.serve();
        count.fetch_sub(1, Ordering::SeqCst);
    });
    let (node, _discovery) =
        node_of("writes-open", &server, &[READ_THROUGH, (r#""balancers":1"#, r#""balancers":8"#)]);
    let mut client = node.client();
    for number in 0..30 {
        let id = format!("w{number}");
        assert_receipt_or_failed(&write(&mut client, "hot", &id), &id);
    }
    thread::sleep(Duration::from_millis(50));
    let open = open.load(Ordering::SeqCst);
    println!("{open} connections open, the node's share is 4, one client");
    assert!(open <= 4, "{open} connections");
}

/// A cache server that has one value for all keys that begin with `same`, and sends a duplicate of its last response after
/// the command for `k1`.
fn duplicates_common_value() -> StubServer {
    let respond: Respond = |asked| match asked[1].as_str() {
        key if key.starts_with("same") => Some(bytes_of(hit("equal"))),
        _ => respond_to_key(asked),
    };
    StubServer::start(read_command, respond, |connection, _| {
        while connection.next() {
            if connection.word(1) == "k1" && !connection.answers.is_empty() {
                connection.send_duplicate(connection.answers.len() - 1);
                connection.next_within();
                return;
            }
            connection.answer();
        }
    })
}

/// Guards against a duplicate of a value that several keys have, at a server that has sent no duplicate before.
#[test]
fn a_first_duplicate_of_a_common_value_reaches_no_key_with_another_value() {
    let server = duplicates_common_value();
    let (node, _discovery) = node_of("common-repeated", &server, &[READ_THROUGH]);
    let mut client = node.client();
    for number in 0..6 {
        assert_eq!(read(&mut client, &format!("same{number}")), "$equal");
    }
    assert_each_own_or_unserved(&mut client, &["k1", "k2", "k3", "k4"]);
}

/// Guards against a duplicate of a key's old value after the next read of that key, on a connection where another key has
/// kept its value: the true response would go to the next command.
#[test]
fn after_a_duplicate_for_the_same_key_the_true_response_reaches_no_other_key() {
    let server = StubServer::start(read_command, respond_to_key, |connection, _| {
        while connection.next() {
            if connection.word(1) == "changes" && !connection.answers.is_empty() {
                connection.answer_with(bytes_of(hit("old")));
                if !connection.next() {
                    return;
                }
                // After the second read of the key the old value is sent again, and the new one only after the next command.
                let last = connection.answers.len() - 1;
                connection.send_duplicate(last);
                connection.next_within();
                connection.answer_with(bytes_of(hit("new")));
                return;
            }
            connection.answer();
        }
    });
    let (node, _discovery) = node_of("old-repeated", &server, &[READ_THROUGH]);
    let mut client = node.client();
    // This key is read often and keeps its value.
    for _ in 0..4 {
        assert_own(&read(&mut client, "stays"), "stays");
    }
    assert_eq!(read(&mut client, "changes"), "$old");
    let answer = read(&mut client, "changes");
    println!("changed: {answer}");
    let answers: Vec<String> = ["k1", "k2"].iter().map(|key| read(&mut client, key)).collect();
    println!("{answers:?}");
    assert_own_or_unserved(&answers[0], "k1");
    assert_own_or_unserved(&answers[1], "k2");
    assert!(answer != "$old", "an answer that was not made for this request");
}

/// Counts the reads and the fences that a server received.
fn reads_and_fences(server: &StubServer) -> (usize, usize) {
    let seen: Vec<Vec<String>> = server.seen.try_iter().collect();
    let count = |name: &str| seen.iter().filter(|asked| asked[0] == name).count();
    (count("CACHE.GET"), count("PING"))
}

/// Guards against further attempts and connections for a key that is read often and keeps its value: a fence behind the
/// command shows whether a response is a duplicate.
#[test]
fn a_hot_key_with_a_constant_value_needs_no_further_attempt_or_connection() {
    const REQUESTS: usize = 100;
    let (server, connections) = counting_server(respond_to_key);
    let (node, _discovery) = node_of("read-often", &server, &[READ_THROUGH]);
    let mut client = node.client();
    for _ in 0..REQUESTS {
        assert_own(&read(&mut client, "hot"), "hot");
    }
    let (reads, fences) = reads_and_fences(&server);
    let connections = connections.load(Ordering::SeqCst);
    println!("{REQUESTS} requests: {reads} reads, {fences} fences, {connections} connections");
    assert!(reads <= REQUESTS + REQUESTS / 50, "{reads} reads for {REQUESTS} requests");
    assert!(connections <= 2, "{connections} connections");
    assert!(fences > 0, "no fence was sent");
}

/// Guards against a duplicate of a fence's response, sent as an error, that is taken for the response to the next read.
#[test]
fn a_duplicate_response_to_a_fence_is_not_taken_for_that_of_the_next_command() {
    let duplicated = Arc::new(AtomicUsize::new(0));
    let count = duplicated.clone();
    let server = StubServer::start(read_command, respond_to_key, move |connection, _| {
        while connection.next() {
            if connection.word(1).starts_with('k') && connection.fences > 0 {
                connection.write(b"-ERR unknown command\r\n");
                count.fetch_add(1, Ordering::SeqCst);
            }
            connection.answer();
        }
    });
    let (node, _discovery) = node_of("fence-repeated", &server, &[READ_THROUGH, ONE_CONNECTION]);
    let mut client = node.client();
    for round in 0..10 {
        assert_own(&read(&mut client, "stays"), "stays");
        let key = format!("k{round}");
        assert_own(&read(&mut client, &key), &key);
    }
    assert!(duplicated.load(Ordering::SeqCst) > 0, "no duplicate was sent");
}

/// Guards against a value of several keys that is accepted for any key once the budget for checks is exhausted.
#[test]
fn a_duplicate_common_value_reaches_no_key_with_another_value_without_checks_left() {
    const NEW_KEYS: usize = 60;
    let server = duplicates_common_value();
    let (node, _discovery) = node_of("common-used-up", &server, &[READ_THROUGH]);
    let mut client = node.client();
    for number in 0..NEW_KEYS {
        assert_eq!(read(&mut client, &format!("same{number}")), "$equal");
    }
    let (reads, _) = reads_and_fences(&server);
    println!("{NEW_KEYS} requests: {reads} reads");
    assert_each_own_or_unserved(&mut client, &["k1", "k2", "k3", "k4"]);
}

/// Guards against late responses at a server with Nagle's algorithm, which delays a small write (the response to a fence)
/// until the one before is acknowledged.
#[test]
fn responses_that_await_a_fence_are_not_delayed_by_nagles_algorithm() {
    const REQUESTS: usize = 100;
    /// Bound of the mean response time. Delayed acknowledgements take at least 40 ms.
    const MEAN_RESPONSE_BOUND: Duration = Duration::from_millis(10);
    // The stub's sockets use Nagle's algorithm, and it writes each response separately.
    let server = serve(read_command, |_| hit("equal"));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let node = start_node("delayed-writes", &discovery, &[READ_THROUGH, ONE_CONNECTION]);
    let mut client = node.client();
    let begun = Instant::now();
    for number in 0..REQUESTS {
        // Every other one is for a key that was read before.
        assert_eq!(read(&mut client, &format!("k{}", number / 2)), "$equal");
    }
    let took = begun.elapsed();
    println!("{REQUESTS} reads in {took:?}");
    assert!(took < REQUESTS as u32 * MEAN_RESPONSE_BOUND, "{REQUESTS} reads took {took:?}");
}

/// Guards against a write that is reported as failed because its receipt equals others, and slow commands precede the fence
/// that confirms it.
#[test]
fn a_write_with_a_common_receipt_before_slow_commands_is_not_reported_as_failed() {
    /// Longer than the node waits for a response without hearing from the server.
    const SLOW: Duration = Duration::from_millis(600);
    let respond: Respond = |asked| match asked[0].as_str() {
        "CACHE.SET" => Some(bytes_of(hit("OK"))),
        _ => respond_to_key(asked),
    };
    let server = StubServer::start(read_command, respond, |connection, _| {
        while connection.next() {
            if connection.word(1) == "last" {
                // The read is pipelined behind the write before the write is answered.
                connection.next();
                connection.answer();
                thread::sleep(SLOW);
            }
            while !connection.unanswered.is_empty() {
                connection.answer();
            }
        }
    });
    let (node, _discovery) = node_of("slow-behind-write", &server, &[READ_THROUGH, ONE_CONNECTION]);
    let mut clients: Vec<Client> = (0..2).map(|_| node.client()).collect();
    for id in ["w0", "w1", "w2", "w3"] {
        assert_eq!(write(&mut clients[0], id, id), "$OK");
    }
    clients[0].send(&["CACHE.SET", "last", "w4", "c=once,t=acme,d=9000", "new"]);
    assert!(server.wait_for_request("last"));
    send_read(&mut clients[1], "behind");
    assert_eq!(clients[0].answer(), "$OK");
    assert_own(&clients[1].answer(), "behind");
}
