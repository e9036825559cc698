//! Second answers that come late, on real sockets with the daemon as a process. A stand-in writes an answer
//! again only once the event has happened that it must follow, so that each order of events is forced and no
//! time decides it.
//!
//! Where a node that guards against repeats may never bring the event, the stand-in goes on after [`GRACE`].
#![allow(missing_docs)]

mod world;

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::*;

/// How long a stand-in waits for an event that may not come.
const GRACE: Duration = Duration::from_secs(2);

/// Writes go to cache servers where these fetch what they lack by themselves.
const THROUGH: (&str, &str) = (r#""mode":"aside""#, r#""mode":"through""#);

/// As one of 64 nodes a node has one connection to each server: commands are written behind each other.
const ONE_CONNECTION: (&str, &str) = (r#""balancers":1"#, r#""balancers":64"#);

/// More than a value that is taken whole.
const LARGE: usize = 70_000;

/// What a stand-in makes for a request; `None` where it says nothing.
type Makes = fn(&[String]) -> Option<Vec<u8>>;

/// One connection to a stand-in: what it was asked and has not answered, and what it has answered.
struct Line {
    stream: BufReader<TcpStream>,
    read: Reader,
    makes: Makes,
    seen: Sender<Vec<String>>,
    unanswered: VecDeque<Vec<String>>,
    answers: Vec<Vec<u8>>,
    /// Commands that only show whether answers are in order, as far as they have been read.
    fences: usize,
    ended: bool,
}

impl Line {
    /// Reads the next request; whether one has come.
    fn next(&mut self) -> bool {
        loop {
            let Some(asked) = (self.read)(&mut self.stream) else {
                self.ended = true;
                return false;
            };
            let is_side = side_answer(&asked).is_some();
            self.fences += usize::from(asked == ["PING"]);
            let _ = self.seen.send(asked.clone());
            self.unanswered.push_back(asked);
            if !is_side {
                return true;
            }
            self.answer_sides();
        }
    }

    /// As [`next`](Self::next), where a node may rightly send nothing.
    fn next_within(&mut self) -> bool {
        self.stream.get_ref().set_read_timeout(Some(GRACE)).unwrap();
        let comes = self.stream.fill_buf().map(|bytes| !bytes.is_empty());
        self.stream.get_ref().set_read_timeout(None).unwrap();
        match comes {
            Ok(true) => return self.next(),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Ok(false) | Err(_) => self.ended = true,
        }
        false
    }

    /// A word of the request that came last; empty where all is answered.
    fn word(&self, at: usize) -> &str {
        self.unanswered.back().map_or("", |asked| &asked[at])
    }

    /// Answers the oldest request with what was made for it.
    fn answer(&mut self) {
        let made = self.unanswered.front().and_then(|asked| (self.makes)(asked));
        match made {
            Some(bytes) => self.answer_with(bytes),
            None => drop(self.unanswered.pop_front()),
        }
    }

    /// Answers the oldest request with these bytes.
    fn answer_with(&mut self, bytes: Vec<u8>) {
        if self.unanswered.pop_front().is_some() {
            self.write(&bytes);
            self.answers.push(bytes);
            self.answer_sides();
        }
    }

    /// Answers commands that ask for no key, as far as all before them has been answered.
    fn answer_sides(&mut self) {
        while let Some(bytes) = self.unanswered.front().and_then(|asked| side_answer(asked)) {
            self.write(&bytes);
            self.unanswered.pop_front();
        }
    }

    /// Writes an answer again, which nobody asked for; nothing where the connection has not carried so many.
    fn repeat(&mut self, number: usize) {
        if let Some(bytes) = self.answers.get(number).cloned() {
            self.write(&bytes);
        }
    }

    /// A connection that the node has ended takes nothing more.
    fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.get_mut().write_all(bytes);
    }

    /// Answers all that is asked until the connection ends.
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

/// The answer to what asks for no key: other commands of a cache server, and probes of the origin.
fn side_answer(asked: &[String]) -> Option<Vec<u8>> {
    match asked[0].as_str() {
        word if word.starts_with("CACHE.") => None,
        line if line.starts_with("GET /-/") => Some(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec()),
        line if line.contains(" HTTP/1.1") => None,
        "CLIENT" | "SELECT" => Some(b"+OK\r\n".to_vec()),
        "INFO" => Some(b"$17\r\nlat_ms=5,busy=0.1\r\n".to_vec()),
        _ => Some(b"-ERR unknown command\r\n".to_vec()),
    }
}

/// A stand-in whose connections are played by a script, and after that serve what they are asked.
struct StandIn {
    address: SocketAddr,
    /// All that was asked of it.
    seen: Receiver<Vec<String>>,
}

impl StandIn {
    /// The script is given each connection and its number, counted from 0.
    fn start(read: Reader, makes: Makes, script: impl Fn(&mut Line, usize) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (told, seen) = channel();
        let script = Arc::new(script);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                stream.set_nodelay(true).unwrap();
                let (script, seen) = (script.clone(), told.clone());
                thread::spawn(move || {
                    let (unanswered, answers) = (VecDeque::new(), Vec::new());
                    let stream = BufReader::new(stream);
                    let mut line =
                        Line { stream, read, makes, seen, unanswered, answers, fences: 0, ended: false };
                    script(&mut line, number);
                    line.serve();
                });
            }
        });
        StandIn { address, seen }
    }

    /// A cache server of which the script plays the first connection.
    fn cache(script: impl Fn(&mut Line) + Send + Sync + 'static) -> Self {
        StandIn::start(command, makes_for_key, move |line, number| {
            if number == 0 {
                script(line);
            }
        })
    }

    /// An origin of which the script plays the first connection.
    fn origin(script: impl Fn(&mut Line) + Send + Sync + 'static) -> Self {
        StandIn::start(call, origin_makes, move |line, number| {
            if number == 0 {
                script(line);
            }
        })
    }

    /// How often a request with this id has come by now.
    fn runs(&self, id: &str) -> usize {
        let header = format!("x-request-id: {id}");
        let names = |word: &String| word == id || word.eq_ignore_ascii_case(&header);
        self.seen.try_iter().filter(|asked| asked.iter().any(names)).count()
    }

    /// Waits until a request that holds a text in its first words has come, or for [`GRACE`].
    fn saw(&self, text: &str) -> bool {
        while let Ok(asked) = self.seen.recv_timeout(GRACE) {
            if asked.iter().take(2).any(|word| word.contains(text)) {
                return true;
            }
        }
        false
    }
}

/// What a cache server has for a key, or its receipt for a write.
fn makes_for_key(asked: &[String]) -> Option<Vec<u8>> {
    let value = match asked[0].as_str() {
        "CACHE.SET" => format!("receipt-of-{}", asked[2]),
        _ => value_of(&asked[1]),
    };
    Some(bytes_of(array(&value)))
}

/// The same of a cache server that lacks the keys whose names begin with `miss`.
fn makes_but_misses(asked: &[String]) -> Option<Vec<u8>> {
    match asked[1].starts_with("miss") {
        true => Some(bytes_of(miss())),
        false => makes_for_key(asked),
    }
}

/// The value of a key: that of one whose name begins with `large` is larger than what is taken whole, all of
/// one length.
fn value_of(key: &str) -> String {
    let value = format!("value-of-{key};");
    match key.starts_with("large") {
        true => value.chars().cycle().take(LARGE).collect(),
        false => value,
    }
}

/// What the origin has for a key, or its receipt for a write.
fn origin_makes(asked: &[String]) -> Option<Vec<u8>> {
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

/// The bytes of a reaction that answers.
fn bytes_of(reaction: Reaction) -> Vec<u8> {
    match reaction {
        Reaction::Answer(bytes) => bytes,
        _ => unreachable!("no answer"),
    }
}

/// A node with one cache server.
fn node_of(name: &str, server: &StandIn, changed: &[(&str, &str)]) -> (Node, Discovery) {
    let discovery = Discovery::start(&member("s-1", server.address, "m", "ready"));
    (node(name, &discovery, changed), discovery)
}

/// A node with one cache server, and an origin that has every key.
fn node_beside_origin(name: &str, server: &StandIn, changed: &[(&str, &str)]) -> (Node, Discovery) {
    let origin = serve(call, |asked| Reaction::Answer(origin_makes(asked).unwrap()));
    let members = [member("s-1", server.address, "m", "ready"), member("o-1", origin, "origin", "ready")];
    let discovery = Discovery::start(&members.join(","));
    (node(name, &discovery, changed), discovery)
}

/// A node with the origin, and a cache server that has nothing.
fn node_of_origin(name: &str, origin: &StandIn) -> (Node, Discovery) {
    let cache = serve(command, |_| miss());
    let members = [member("s-1", cache, "m", "ready"), member("o-1", origin.address, "origin", "ready")];
    let discovery = Discovery::start(&members.join(","));
    (node(name, &discovery, &[]), discovery)
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
fn short(answer: &str) -> &str {
    &answer[..answer.len().min(40)]
}

/// A read is owed the value of its key; a failure is not foreign to it, but no more than that.
fn assert_own_or_unserved(answer: &str, key: &str) {
    assert!(answer == format!("${}", value_of(key)) || answer.starts_with('-'), "{key}: {}", short(answer));
    if answer.starts_with('-') {
        println!("{key}: not served, {answer}");
    }
}

/// Reads one key after the other, and only then says whether all got what they are owed: a shift shows as a
/// whole.
fn assert_each_own_or_unserved(client: &mut Client, keys: &[&str]) {
    let answers: Vec<String> = keys.iter().map(|key| read(client, key)).collect();
    let told: Vec<&str> = answers.iter().map(|answer| short(answer)).collect();
    println!("asked {keys:?}, answered {told:?}");
    keys.iter().zip(&answers).for_each(|(key, answer)| assert_own_or_unserved(answer, key));
}

fn assert_own(answer: &str, key: &str) {
    assert!(answer == format!("${}", value_of(key)), "{key}: {}", short(answer));
}

/// A write is owed its own receipt or an error. A refusal would say that it never ran.
fn assert_receipt_or_failed(answer: &str, id: &str) {
    assert!(answer == format!("$receipt-of-{id}") || answer.starts_with("-ERR"), "{id}: {answer}");
    if answer.starts_with('-') {
        println!("{id}: not served, {answer}");
    }
}

/// The first value comes again so many answers later, behind one more command, of which the answer follows
/// only behind the next command.
fn repeated_behind(name: &str, others: usize) {
    let server = StandIn::cache(move |line| {
        for _ in 0..=others {
            line.next();
            line.answer();
        }
        line.next();
        line.repeat(0);
        line.next_within();
    });
    let (node, _discovery) = node_of(name, &server, &[THROUGH]);
    let mut client = node.client();
    let keys = ["k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"];
    assert_each_own_or_unserved(&mut client, &keys[..others + 4]);
}

/// Guards against a guard that knows the last answer only: a value repeated two answers later, taken for
/// another key's.
#[test]
fn a_value_repeated_two_answers_later_reaches_no_other_key() {
    repeated_behind("repeated-2", 2);
}

/// Guards against the same for a value repeated five answers later.
#[test]
fn a_value_repeated_five_answers_later_reaches_no_other_key() {
    repeated_behind("repeated-5", 5);
}

/// Four commands are written behind each other; the repeat stands before the answers of those from `at` on.
fn repeated_amid_a_queue(name: &str, at: usize) {
    const QUEUE: usize = 4;
    let server = StandIn::cache(move |line| {
        line.next();
        line.answer();
        line.next();
        for _ in 1..QUEUE {
            line.next_within();
        }
        for _ in 0..at {
            line.answer();
        }
        line.repeat(0);
    });
    let (node, _discovery) = node_of(name, &server, &[THROUGH, ONE_CONNECTION]);
    assert_own(&read(&mut node.client(), "first"), "first");
    let keys: Vec<String> = (0..QUEUE).map(|number| format!("q{number}")).collect();
    let mut clients: Vec<Client> = keys.iter().map(|_| node.client()).collect();
    for (client, key) in clients.iter_mut().zip(&keys) {
        send_read(client, key);
        server.saw(key);
    }
    let answers: Vec<String> = clients.iter_mut().map(Client::answer).collect();
    println!("{name}: {answers:?}");
    keys.iter().zip(&answers).for_each(|(key, answer)| assert_own(answer, key));
}

/// Guards against a queue of pipelined commands shifted whole by a repeat before its first answer.
#[test]
fn a_repeat_before_pipelined_commands_shifts_none_of_their_answers() {
    repeated_amid_a_queue("queue-0", 0);
}

/// Guards against the tail of such a queue shifted by a repeat in its middle.
#[test]
fn a_repeat_amid_pipelined_commands_shifts_none_of_their_answers() {
    repeated_amid_a_queue("queue-2", 2);
}

/// The first command is answered by a line without a value, which comes again behind the second; the answer
/// of each later one is held until the next has come.
fn line_repeated(line_bytes: &'static [u8]) -> StandIn {
    StandIn::cache(move |line| {
        line.next();
        line.answer_with(line_bytes.to_vec());
        line.next();
        line.repeat(0);
        for _ in 0..3 {
            line.next_within();
            line.answer();
        }
    })
}

/// Guards against a repeated miss, after which the value of its command goes to the command after.
#[test]
fn after_a_repeated_miss_no_value_goes_to_the_command_after() {
    let server = line_repeated(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    let (node, _discovery) = node_beside_origin("repeated-miss", &server, &[]);
    let mut client = node.client();
    assert_each_own_or_unserved(&mut client, &["k0", "k1", "k2", "k3", "k4", "k5"]);
}

/// Guards against a repeated error, after which the value of its command goes to the command after.
#[test]
fn after_a_repeated_error_no_value_goes_to_the_command_after() {
    let server = line_repeated(b"-ERR failed\r\n");
    let (node, _discovery) = node_of("repeated-error", &server, &[THROUGH]);
    let mut client = node.client();
    assert_each_own_or_unserved(&mut client, &["k0", "k1", "k2", "k3", "k4", "k5"]);
}

/// The first command is a read that is answered by a line which says that nothing ran; it comes again behind
/// a write, which does run.
fn never_ran_repeated_behind_a_write(name: &str, never_ran: &'static [u8]) {
    let server = StandIn::cache(move |line| {
        line.next();
        line.answer_with(never_ran.to_vec());
        line.next();
        // A read that was answered so may have been sent again.
        while line.word(0) == "CACHE.GET" {
            line.answer_with(never_ran.to_vec());
            if !line.next() {
                return;
            }
        }
        line.repeat(0);
        line.next_within();
    });
    let (node, _discovery) = node_of(name, &server, &[THROUGH]);
    let mut client = node.client();
    println!("read: {}", read(&mut client, "k0"));
    let answer = write(&mut client, "k1", "w1");
    let runs = server.runs("w1");
    println!("write: {answer}, {runs} runs");
    assert_eq!(runs, 1, "answered {answer}");
    assert_receipt_or_failed(&answer, "w1");
}

/// Guards against a repeated `-BUSY` taken for the answer of a write that ran: it would run twice, or its
/// client would be told that it never ran.
#[test]
fn a_write_behind_which_a_refusal_is_repeated_runs_once_and_is_not_refused() {
    never_ran_repeated_behind_a_write("repeated-busy", b"-BUSY\r\n");
}

/// Guards against the same of a repeated miss, which has no effect either.
#[test]
fn a_write_behind_which_a_miss_is_repeated_runs_once_and_is_not_refused() {
    never_ran_repeated_behind_a_write("miss-for-write", b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
}

/// Guards against a write that gets the receipt of the write before it.
#[test]
fn a_receipt_repeated_behind_the_next_write_is_not_taken_for_its_own() {
    let server = StandIn::cache(|line| {
        line.next();
        line.answer();
        line.next();
        line.repeat(0);
        line.next_within();
    });
    let (node, _discovery) = node_of("repeated-receipt", &server, &[THROUGH]);
    let mut client = node.client();
    let answers: Vec<String> =
        (0..4).map(|n| write(&mut client, &format!("k{n}"), &format!("w{n}"))).collect();
    let ids: Vec<String> = server.seen.try_iter().map(|asked| asked[2].clone()).collect();
    println!("{answers:?}, runs {ids:?}");
    answers.iter().enumerate().for_each(|(n, answer)| assert_receipt_or_failed(answer, &format!("w{n}")));
    assert_eq!(ids, ["w0", "w1", "w2", "w3"], "runs");
}

/// Guards against receipts shifted along a queue of writes: none gets another's, and each runs once.
#[test]
fn a_receipt_repeated_before_pipelined_writes_shifts_none_of_theirs() {
    // The gate lets no more writes of one of 64 nodes out at once.
    const QUEUE: usize = 2;
    let server = StandIn::cache(|line| {
        line.next();
        line.answer();
        line.next();
        for _ in 1..QUEUE {
            line.next_within();
        }
        line.repeat(0);
    });
    let (node, _discovery) = node_of("queued-writes", &server, &[THROUGH, ONE_CONNECTION]);
    assert_eq!(write(&mut node.client(), "k", "w"), "$receipt-of-w");
    let ids = ["w0", "w1"];
    let mut clients: Vec<Client> = ids.iter().map(|_| node.client()).collect();
    let mut runs = Vec::new();
    for (client, id) in clients.iter_mut().zip(ids) {
        client.send(&["CACHE.SET", &format!("key-{id}"), id, "c=once,t=acme,d=9000", "new"]);
        runs.extend(server.seen.recv_timeout(GRACE));
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
fn a_value_repeated_behind_a_write_is_not_taken_for_its_receipt() {
    let server = StandIn::cache(|line| {
        line.next();
        line.answer();
        line.next();
        line.repeat(0);
        line.next_within();
    });
    let (node, _discovery) = node_of("value-for-receipt", &server, &[THROUGH]);
    let mut client = node.client();
    assert_own(&read(&mut client, "k0"), "k0");
    let answer = write(&mut client, "k1", "w1");
    assert_receipt_or_failed(&answer, "w1");
    assert_own_or_unserved(&read(&mut client, "k2"), "k2");
    assert_eq!(server.runs("w1"), 1, "runs");
}

/// The value of the first key comes again behind the command for the second.
fn first_repeated_behind_second(name: &str, keys: [&str; 2]) {
    let server = StandIn::cache(|line| {
        line.next();
        line.answer();
        line.next();
        line.repeat(0);
        line.next_within();
    });
    let (node, _discovery) = node_of(name, &server, &[THROUGH]);
    let mut client = node.client();
    assert_own(&read(&mut client, keys[0]), keys[0]);
    assert_each_own_or_unserved(&mut client, &[keys[1], "k2", "large-3"]);
}

/// Guards against a large value passed on in pieces to a command for another of the same length.
#[test]
fn a_large_value_repeated_is_not_passed_on_for_another_of_its_length() {
    first_repeated_behind_second("large-for-large", ["large-0", "large-1"]);
}

/// Guards against a large value passed on for a small one.
#[test]
fn a_large_value_repeated_is_not_passed_on_for_a_small_one() {
    first_repeated_behind_second("large-for-small", ["large-0", "k1"]);
}

/// Guards against a small value taken for a large one, of which the pieces then go to the command after.
#[test]
fn a_small_value_repeated_is_not_taken_for_a_large_one() {
    first_repeated_behind_second("small-for-large", ["k0", "large-1"]);
}

/// Guards against the loser of a hedge that answers late and twice, the second time for the command behind
/// it.
#[test]
fn a_loser_of_a_hedge_that_answers_twice_answers_no_other_command() {
    let is_held = Arc::new(AtomicBool::new(false));
    let server = || {
        let is_held = is_held.clone();
        StandIn::cache(move |line| {
            while line.next() {
                if line.word(1) == "slow" && !is_held.swap(true, Ordering::SeqCst) {
                    // The other server answers the hedge; then something is written behind this.
                    line.next_within();
                    line.answer();
                    line.repeat(line.answers.len() - 1);
                    line.next_within();
                    return;
                }
                line.answer();
            }
        })
    };
    let servers = [server(), server()];
    let members =
        [member("s-1", servers[0].address, "m", "ready"), member("s-2", servers[1].address, "m", "ready")];
    let discovery = Discovery::start(&members.join(","));
    // A hedge goes out after two fifths of the aim.
    let soon = (r#""goalTimeUs":2000000"#, r#""goalTimeUs":500000"#);
    let node = node("hedge-twice", &discovery, &[THROUGH, ONE_CONNECTION, soon]);
    let mut client = node.client();
    assert_own(&read(&mut client, "slow"), "slow");
    let hedged: usize = servers.iter().map(|server| server.runs("r-slow")).sum();
    assert_eq!(hedged, 2, "not hedged");
    let keys: Vec<String> = (0..16).map(|number| format!("k{number}")).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    assert_each_own_or_unserved(&mut client, &keys);
}

/// Guards against a value from before a change, repeated for a read of the same key after it.
#[test]
fn a_value_from_before_a_change_repeated_behind_the_next_read_is_not_its_answer() {
    let server = StandIn::cache(|line| {
        line.next();
        line.answer_with(bytes_of(array("old")));
        line.next();
        line.answer();
        line.next();
        line.repeat(0);
        line.next_within();
        line.answer_with(bytes_of(array("new")));
    });
    let (node, _discovery) = node_of("stale", &server, &[THROUGH]);
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

/// Answers that are equal for different keys, one at a time and behind each other; no repeats. Returns what
/// the server saw.
fn all_equal(
    name: &str,
    makes: Makes,
    origin: Option<SocketAddr>,
    changed: &[(&str, &str)],
) -> Vec<Vec<String>> {
    const ALONE: usize = 40;
    let server = StandIn::start(command, makes, |_, _| {});
    let members = [
        Some(member("s-1", server.address, "m", "ready")),
        origin.map(|origin| member("o-1", origin, "origin", "ready")),
    ];
    let members: Vec<String> = members.into_iter().flatten().collect();
    let discovery = Discovery::start(&members.join(","));
    let node = node(name, &discovery, changed);
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

/// Guards against a defence that takes equal values of different keys for repeats: each is served, at little
/// more cost.
#[test]
fn equal_values_of_different_keys_are_served_with_few_commands_more() {
    const REQUESTS: usize = 80;
    let makes: Makes = |_| Some(bytes_of(array("equal")));
    let seen = all_equal("equal-values", makes, None, &[THROUGH, ONE_CONNECTION]);
    let reads = seen.iter().filter(|asked| asked[0] == "CACHE.GET").count();
    println!("{REQUESTS} requests: {reads} reads and {} other commands at the server", seen.len() - reads);
    assert!(reads <= 2 * REQUESTS, "{reads} reads for {REQUESTS} requests");
}

/// Guards against the same for misses, which are all equal, and for what the origin has for them: at most one call in fifty
/// may be made again to see whether equal values are true.
#[test]
fn equal_misses_of_different_keys_are_fetched_with_few_commands_more() {
    const REQUESTS: usize = 80;
    let calls = Arc::new(AtomicUsize::new(0));
    let count = calls.clone();
    let origin = serve(call, move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        http("200 OK", "equal")
    });
    let makes: Makes = |_| Some(bytes_of(miss()));
    let seen = all_equal("equal-misses", makes, Some(origin), &[]);
    let reads = seen.iter().filter(|asked| asked[0] == "CACHE.GET").count();
    let (other, calls) = (seen.len() - reads, calls.load(Ordering::SeqCst));
    println!("{REQUESTS} requests: {reads} reads, {other} other commands, {calls} calls at the origin");
    assert!(reads <= 2 * REQUESTS, "{reads} reads for {REQUESTS} requests");
    assert!((REQUESTS..=REQUESTS + REQUESTS / 50).contains(&calls), "{calls} calls at the origin");
}

/// The node is stopped while a repeat and the next request come: it finds both at once.
fn found_with_the_next_request(name: &str, kind: Kind) {
    let (go, wait) = channel::<()>();
    let (has_repeated, repeated) = channel::<()>();
    let shared = Mutex::new((wait, has_repeated));
    let script = move |line: &mut Line, _: usize| {
        if !line.next() {
            return;
        }
        line.answer();
        let shared = shared.lock().unwrap();
        if shared.0.recv().is_ok() {
            line.repeat(0);
            let _ = shared.1.send(());
        }
    };
    let stand_in = match kind {
        Kind::Cache => StandIn::start(command, makes_for_key, script),
        Kind::Origin => StandIn::start(call, origin_makes, script),
    };
    let (node, _discovery) = match kind {
        Kind::Cache => node_of(name, &stand_in, &[THROUGH]),
        Kind::Origin => node_of_origin(name, &stand_in),
    };
    let mut client = node.client();
    for number in 0..10 {
        let (key, id) = (format!("k{number}"), format!("w{number}"));
        if number > 0 {
            node.signal("STOP");
            go.send(()).unwrap();
            repeated.recv_timeout(HUNG).unwrap();
        }
        client.send(&["CACHE.SET", &key, &id, "c=once,t=acme,d=9000", "new"]);
        node.signal("CONT");
        assert_eq!(client.answer(), format!("$receipt-of-{id}"));
        assert_eq!(stand_in.runs(&id), 1);
    }
}

/// Who answers twice.
#[derive(Clone, Copy)]
enum Kind {
    Cache,
    Origin,
}

/// Guards against a write on a connection of which a second answer has come already, at a cache server.
#[test]
fn a_second_answer_found_together_with_the_next_write_costs_it_nothing() {
    found_with_the_next_request("found-with-write", Kind::Cache);
}

/// Guards against the same at the origin.
#[test]
fn a_second_response_found_together_with_the_next_write_costs_it_nothing() {
    found_with_the_next_request("found-with-put", Kind::Origin);
}

/// What the origin writes unasked comes on its idle connection, and the next write is sent once the node has
/// ended that.
fn unasked_while_idle(name: &str, unasked: Option<&'static [u8]>) {
    let (told, ended) = channel::<bool>();
    let told = Mutex::new(told);
    let origin = StandIn::origin(move |line| {
        line.next();
        line.answer();
        match unasked {
            Some(bytes) => line.write(bytes),
            None => line.repeat(0),
        }
        line.next_within();
        let _ = told.lock().unwrap().send(line.ended);
    });
    let (node, _discovery) = node_of_origin(name, &origin);
    let mut client = node.client();
    assert_eq!(write(&mut client, "k0", "w0"), "$receipt-of-w0");
    assert!(ended.recv_timeout(HUNG).unwrap(), "the connection stays open");
    for number in 1..4 {
        let (key, id) = (format!("k{number}"), format!("w{number}"));
        assert_eq!(write(&mut client, &key, &id), format!("$receipt-of-{id}"));
        assert_eq!(origin.runs(&id), 1);
    }
}

/// Guards against a second response of the origin on an idle connection, kept for the next call.
#[test]
fn a_second_response_on_an_idle_connection_of_the_origin_ends_it() {
    unasked_while_idle("origin-idle", None);
}

/// Guards against an interim response on an idle connection, kept for the next call.
#[test]
fn an_interim_response_on_an_idle_connection_of_the_origin_costs_no_call() {
    unasked_while_idle("interim-idle", Some(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"));
}

/// Guards against a second response that comes in one piece with the first and is kept for the next call.
#[test]
fn a_second_response_of_the_origin_together_with_the_first_costs_no_call() {
    let origin = StandIn::start(call, origin_makes, |line, _| {
        if line.next() {
            let bytes = origin_makes(&line.unanswered[0]).unwrap();
            line.answer_with(bytes.repeat(2));
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

/// Guards against a second response of the origin taken for the receipt of the next write.
#[test]
fn a_second_response_of_the_origin_behind_the_next_write_is_not_its_receipt() {
    let origin = StandIn::origin(|line| {
        line.next();
        line.answer();
        line.next();
        line.repeat(0);
        line.next_within();
    });
    let (node, _discovery) = node_of_origin("origin-behind-write", &origin);
    let mut client = node.client();
    let answers: Vec<String> =
        (0..4).map(|n| write(&mut client, &format!("k{n}"), &format!("w{n}"))).collect();
    println!("{answers:?}");
    answers.iter().enumerate().for_each(|(n, answer)| assert_receipt_or_failed(answer, &format!("w{n}")));
    assert_eq!(origin.seen.try_iter().count(), 4, "runs");
}

/// Guards against a 503 of the origin that never ran a call, repeated behind a write that did: it would run
/// twice, or its client would be told that it never ran.
#[test]
fn a_write_of_the_origin_behind_which_a_refusal_is_repeated_runs_once_and_is_not_refused() {
    let origin = StandIn::origin(|line| {
        line.next();
        line.answer_with(b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_vec());
        line.next();
        line.answer();
        line.next();
        line.repeat(0);
        line.next_within();
    });
    let (node, _discovery) = node_of_origin("origin-refusal", &origin);
    let mut client = node.client();
    // The first is refused and sent again: then it runs.
    assert_eq!(write(&mut client, "k0", "w0"), "$receipt-of-w0");
    assert_eq!(origin.runs("w0"), 2, "not sent again");
    let answer = write(&mut client, "k1", "w1");
    let runs = origin.runs("w1");
    println!("write: {answer}, {runs} runs");
    assert_eq!(runs, 1, "answered {answer}");
    assert_receipt_or_failed(&answer, "w1");
}

/// Guards against a second response of the origin taken for the value of the next key.
#[test]
fn a_second_response_of_the_origin_behind_the_next_fetch_is_not_its_value() {
    let origin = StandIn::origin(|line| {
        line.next();
        line.answer();
        line.next();
        line.repeat(0);
        line.next_within();
    });
    let (node, _discovery) = node_of_origin("origin-behind-fetch", &origin);
    let mut client = node.client();
    assert_each_own_or_unserved(&mut client, &["k0", "k1", "k2", "k3"]);
}

/// Guards against an interim response taken for the answer of the call that it stands before.
#[test]
fn interim_responses_behind_the_next_call_of_the_origin_are_no_answers() {
    let origin = StandIn::origin(|line| {
        for interim in ["100 Continue", "103 Early Hints"] {
            line.next();
            line.answer();
            line.next();
            line.write(format!("HTTP/1.1 {interim}\r\nLink: </a>\r\n\r\n").as_bytes());
            line.answer();
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

/// Discovery that tells four lists, one for each call, and says the second again behind the call for the
/// fourth. That one is held until the test lets it go, and told whole on another connection.
fn repeats_second_list(lists: [Vec<u8>; 4], fourth_whole: Vec<u8>) -> (StandIn, Receiver<()>, Sender<()>) {
    let (told, repeated) = channel::<()>();
    let (go, wait) = channel::<()>();
    let shared = Mutex::new((told, wait));
    let discovery = StandIn::start(
        call,
        |_| None,
        move |line, number| {
            if number > 0 {
                while line.next() {
                    if !line.word(0).contains("after=4&") {
                        line.answer_with(fourth_whole.clone());
                    }
                }
                return;
            }
            for list in &lists[..3] {
                line.next();
                line.answer_with(list.clone());
            }
            line.next();
            line.repeat(1);
            line.next_within();
            let (told, wait) = &*shared.lock().unwrap();
            let _ = told.send(());
            let _ = wait.recv_timeout(HUNG);
            line.answer_with(lists[3].clone());
            while line.next() {}
        },
    );
    (discovery, repeated, go)
}

/// Guards against a list lost behind one that comes twice in one piece: each is taken in.
#[test]
fn a_list_that_comes_twice_in_one_piece_costs_no_later_one() {
    const LISTS: u64 = 6;
    let servers: Vec<String> = (0..=LISTS)
        .map(|number| member("s-1", serve(command, move |_| array(&format!("list-{number}"))), "m", "ready"))
        .collect();
    let discovery = StandIn::start(
        call,
        |_| None,
        move |line, _| {
            while line.next() {
                let after = line.word(0).split("after=").nth(1).and_then(|rest| rest.split('&').next());
                let revision = after.map_or(1, |after| after.parse::<u64>().unwrap() + 1);
                if revision <= LISTS {
                    let bytes = list(revision, true, &servers[revision as usize]);
                    line.answer_with(bytes.repeat(2));
                }
            }
        },
    );
    let node = Node::spawn(node_command("list-twice", discovery.address, 1024, ""));
    assert!(discovery.saw(&format!("after={LISTS}&")), "the newest list was not taken in");
    assert_eq!(read(&mut node.client(), "k"), format!("$list-{LISTS}"));
}

/// Guards against an older whole list that replaces a newer one, and against the list that it pushes back.
#[test]
fn a_list_repeated_behind_the_next_watch_replaces_no_newer_one() {
    let server = |name: &'static str| serve(command, move |_| array(name));
    let members = ["one", "two", "three", "four"].map(|name| member(name, server(name), "m", "ready"));
    let whole = |number: usize| list(number as u64, true, &members[number - 1]);
    let (discovery, repeated, go) = repeats_second_list([whole(1), whole(2), whole(3), whole(4)], whole(4));
    let node = Node::spawn(node_command("list-repeated", discovery.address, 1024, ""));
    repeated.recv_timeout(HUNG).unwrap();
    let mut client = node.client();
    let answer = read(&mut client, "k0");
    println!("with the older list repeated: {answer}");
    go.send(()).unwrap();
    assert!(discovery.saw("after=4&"), "the newest list was not taken in");
    assert_eq!(read(&mut client, "k1"), "$four");
    assert!(answer == "$three" || answer == "$four", "served by the older list: {answer}");
}

/// Guards against a change that is undone by an older one repeated: a server that drains would be sent
/// requests again.
#[test]
fn a_change_repeated_behind_the_next_watch_undoes_no_newer_one() {
    let server = |name: &'static str| serve(command, move |_| array(name));
    let (one, two, four) = (server("one"), server("two"), server("four"));
    let first = member("one", one, "m", "ready");
    let (ready, draining) = (member("two", two, "m", "ready"), member("two", two, "m", "draining"));
    let last = member("four", four, "m", "ready");
    let lists =
        [list(1, true, &first), list(2, false, &ready), list(3, false, &draining), list(4, false, &last)];
    let (discovery, repeated, go) =
        repeats_second_list(lists, list(4, true, &[first, draining, last].join(",")));
    let node = Node::spawn(node_command("change-repeated", discovery.address, 1024, ""));
    repeated.recv_timeout(HUNG).unwrap();
    go.send(()).unwrap();
    assert!(discovery.saw("after=4&"), "the newest list was not taken in");
    let mut client = node.client();
    let answers: Vec<String> = (0..30).map(|number| read(&mut client, &format!("k{number}"))).collect();
    let drained = answers.iter().filter(|answer| *answer == "$two").count();
    assert_eq!(drained, 0, "of 30 requests went to a server that drains");
    assert!(answers.iter().any(|answer| answer == "$four"), "the newest change was lost");
}

/// Guards against a repeated `-BUSY` taken for the answer of a read whose class may not run twice: the
/// settings, not the name of the command, tell what may.
#[test]
fn a_read_that_may_not_run_twice_behind_a_repeated_refusal_runs_once() {
    let server = StandIn::cache(|line| {
        line.next();
        line.answer_with(b"-BUSY\r\n".to_vec());
        line.next();
        while line.word(2) == "r-k0" {
            line.answer_with(b"-BUSY\r\n".to_vec());
            if !line.next() {
                return;
            }
        }
        line.repeat(0);
        line.next_within();
    });
    let (node, _discovery) = node_of("busy-once-read", &server, &[THROUGH]);
    let mut client = node.client();
    println!("read: {}", read(&mut client, "k0"));
    let answer = client.ask(&["CACHE.GET", "k1", "once-1", "c=once,t=acme,d=9000"]);
    let runs = server.runs("once-1");
    println!("answered {answer}, {runs} runs");
    assert_eq!(runs, 1, "answered {answer}");
    assert!(!answer.starts_with("-BUSY"), "refused though it ran");
}

/// Guards against a refusal that is repeated behind another one, of another load: it is compared with
/// more than the last.
#[test]
fn a_write_behind_which_the_refusal_before_the_last_is_repeated_runs_once_and_is_not_refused() {
    const FIRST: &[u8] = b"-BUSY lat_ms=5,busy=0.1\r\n";
    let makes: Makes = |asked| match asked[1].as_str() {
        "busy1" => Some(FIRST.to_vec()),
        "busy2" => Some(b"-BUSY lat_ms=5,busy=0.2\r\n".to_vec()),
        _ => makes_for_key(asked),
    };
    let server = StandIn::start(command, makes, |line, _| {
        while line.next() {
            let first = line.answers.iter().position(|answer| answer == FIRST);
            if let Some(number) = first.filter(|_| line.word(0) == "CACHE.SET") {
                line.repeat(number);
                line.next_within();
                return;
            }
            line.answer();
        }
    });
    let (node, _discovery) = node_of("busy-before-last", &server, &[THROUGH]);
    let mut client = node.client();
    // Their receipts differ: the next write goes out on any connection.
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

/// Guards against more attempts than the settings allow: one that is sent again counts at its server like
/// any other.
#[test]
fn an_attempt_that_is_sent_again_counts_among_the_attempts_of_its_request() {
    let makes: Makes = |asked| match asked[1].as_str() {
        "hot" => Some(b"-ERR failed\r\n".to_vec()),
        _ => makes_for_key(asked),
    };
    let servers: Vec<StandIn> = (0..3)
        .map(|_| {
            StandIn::start(command, makes, |line, _| {
                while line.next() {
                    if line.word(1) == "hot" && !line.answers.is_empty() {
                        line.repeat(0);
                        return;
                    }
                    line.answer();
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
    let node = node("sent-again-counts", &discovery, &[THROUGH, ONE_CONNECTION]);
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

/// Counts the connections that a server gets.
fn counting(makes: Makes) -> (StandIn, Arc<AtomicUsize>) {
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    let server = StandIn::start(command, makes, move |_, _| {
        count.fetch_add(1, Ordering::SeqCst);
    });
    (server, connections)
}

/// Guards against a new connection for each write of one key: it costs a server work.
#[test]
fn writes_of_one_key_do_not_each_cost_a_connection() {
    let (server, connections) = counting(makes_for_key);
    let (node, _discovery) = node_of("hot-write", &server, &[THROUGH]);
    let mut client = node.client();
    for number in 0..50 {
        let id = format!("w{number}");
        assert_receipt_or_failed(&write(&mut client, "hot", &id), &id);
    }
    let connections = connections.load(Ordering::SeqCst);
    println!("{connections} connections for 50 writes");
    assert!(connections <= 12, "{connections} connections for 50 writes");
}

/// Guards against a new connection for each write at a server that turns writes away: it has too much to
/// do already.
#[test]
fn writes_that_are_turned_away_do_not_each_cost_a_connection() {
    let (server, connections) = counting(|_| Some(b"-BUSY\r\n".to_vec()));
    let (node, _discovery) = node_of("busy-writes", &server, &[THROUGH]);
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

/// Guards against writes told as failed, and against connections ended, where a server turns all away and
/// repeats nothing.
#[test]
fn writes_of_a_server_that_turns_all_away_are_refused_and_not_failed() {
    let busy = Arc::new(AtomicBool::new(false));
    let connections = Arc::new(AtomicUsize::new(0));
    let (is_busy, count) = (busy.clone(), connections.clone());
    let server = StandIn::start(command, makes_for_key, move |line, _| {
        count.fetch_add(1, Ordering::SeqCst);
        while line.next() {
            match is_busy.load(Ordering::SeqCst) {
                true => line.answer_with(b"-BUSY\r\n".to_vec()),
                false => line.answer(),
            }
        }
    });
    let (node, _discovery) = node_of("all-busy", &server, &[THROUGH]);
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
    assert_eq!(failed, 0, "of 50 writes that never ran were told as failed; {made} connections made");
}

/// Guards against a new connection for each few misses of a server that has nothing yet and repeats
/// nothing.
#[test]
fn misses_of_a_cold_server_cost_few_connections() {
    let (server, connections) = counting(|_| Some(bytes_of(miss())));
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

/// Guards against values that are taken unchecked because misses have used up the checks.
#[test]
fn a_repeat_behind_many_misses_reaches_no_other_key() {
    let server = StandIn::start(command, makes_but_misses, |line, _| {
        while line.next() {
            if line.word(1) == "last" && !line.answers.is_empty() {
                line.repeat(line.answers.len() - 1);
                line.next_within();
                return;
            }
            line.answer();
        }
    });
    let (node, _discovery) = node_beside_origin("misses-use-up", &server, &[ONE_CONNECTION]);
    let mut clients: Vec<Client> = (0..3).map(|_| node.client()).collect();
    use_up_checks_behind_misses(&mut clients);
    thread::sleep(Duration::from_millis(400));
    assert_own(&read(&mut clients[0], "before"), "before");
    let answer = read(&mut clients[0], "last");
    assert_own_or_unserved(&answer, "last");
}

/// Misses of two keys and a value behind them, again and again on one connection that brings nothing twice: each such value
/// may be the answer to the command before, until all that may be asked again for that has been.
fn use_up_checks_behind_misses(clients: &mut [Client]) {
    const ROUNDS: usize = 60;
    for round in 0..ROUNDS {
        let keys = [format!("miss-a{round}"), format!("miss-b{round}"), format!("value{round}")];
        clients.iter_mut().zip(&keys).for_each(|(client, key)| send_read(client, key));
        clients.iter_mut().zip(&keys).for_each(|(client, key)| assert_own(&client.answer(), key));
    }
}

/// Guards against a repeated miss that is taken for an answer where nothing may be asked again any more: the true answer comes
/// behind the next command.
#[test]
fn a_value_behind_a_repeated_miss_reaches_no_other_key_where_all_checks_are_used_up() {
    let server = StandIn::start(command, makes_but_misses, |line, _| {
        while line.next() {
            if line.word(1) != "miss-last" {
                line.answer();
                continue;
            }
            // Both come in one piece, so that no time passes between the miss and its repeat.
            line.next();
            line.answer_with(bytes_of(miss()).repeat(2));
            // The true answer to the second command comes behind the third.
            line.next_within();
            return;
        }
    });
    let (node, _discovery) = node_beside_origin("checks-used-up", &server, &[ONE_CONNECTION]);
    let mut clients: Vec<Client> = (0..3).map(|_| node.client()).collect();
    use_up_checks_behind_misses(&mut clients);
    let keys = ["miss-last", "value-x", "value-y"];
    for (client, key) in clients.iter_mut().zip(keys).take(2) {
        send_read(client, key);
        server.saw(key);
    }
    assert_own(&clients[1].answer(), "value-x");
    send_read(&mut clients[2], "value-y");
    assert_own(&clients[0].answer(), "miss-last");
    assert_own(&clients[2].answer(), "value-y");
    assert_each_own_or_unserved(&mut clients[0], &["k1", "k2"]);
}

/// Guards against a request that finds no connection because an answer is held back on the only one.
#[test]
fn while_a_value_is_held_back_another_request_is_served() {
    let server = StandIn::start(command, makes_but_misses, |_, _| {});
    let (node, _discovery) = node_beside_origin("held-back-beside", &server, &[ONE_CONNECTION]);
    let mut clients: Vec<Client> = (0..3).map(|_| node.client()).collect();
    use_up_checks_behind_misses(&mut clients);
    for round in 0..5 {
        let keys = [format!("miss-c{round}"), format!("miss-d{round}"), format!("held{round}")];
        clients.iter_mut().zip(&keys).for_each(|(client, key)| send_read(client, key));
        let others = keys.iter().zip(&mut clients).take(2);
        others.for_each(|(key, client)| assert_own(&client.answer(), key));
        // The misses have been answered, and the value behind them is held back.
        let key = format!("beside{round}");
        assert_own(&read(&mut clients[0], &key), &key);
        assert_own(&clients[2].answer(), &keys[2]);
    }
}

/// Guards against values of several keys that change with time: that another comes when one is asked for
/// again proves no repeat.
#[test]
fn values_that_several_keys_share_for_a_while_are_served_with_few_commands_more() {
    const REQUESTS: usize = 300;
    let connections = Arc::new(AtomicUsize::new(0));
    let (count, asked) = (connections.clone(), AtomicUsize::new(0));
    let server = StandIn::start(
        command,
        |_| None,
        move |line, _| {
            count.fetch_add(1, Ordering::SeqCst);
            while line.next() {
                // Another value with each fourth command.
                let value = format!("tick-{}", asked.fetch_add(1, Ordering::SeqCst) / 4);
                line.answer_with(bytes_of(array(&value)));
            }
        },
    );
    let (node, _discovery) = node_of("ticks", &server, &[THROUGH]);
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

/// Guards against a large response of the origin that is passed on for another key's.
#[test]
fn a_large_response_of_the_origin_repeated_behind_the_next_fetch_is_not_its_value() {
    let origin = StandIn::origin(|line| {
        line.next();
        line.answer();
        line.next();
        line.repeat(0);
        line.next_within();
    });
    let (node, _discovery) = node_of_origin("large-origin-repeat", &origin);
    let mut client = node.client();
    assert_each_own_or_unserved(&mut client, &["large0", "large1", "k2"]);
}

/// Guards against a repeated failure of the origin, after which the value of its call goes to the call
/// after.
#[test]
fn after_a_repeated_failure_of_the_origin_no_value_goes_to_the_call_after() {
    let origin = StandIn::origin(|line| {
        line.next();
        line.answer_with(bytes_of(http("500 Internal Server Error", "")));
        line.next();
        line.repeat(0);
        for _ in 0..3 {
            line.next_within();
            line.answer();
        }
    });
    let (node, _discovery) = node_of_origin("failure-origin-repeat", &origin);
    let mut client = node.client();
    assert_each_own_or_unserved(&mut client, &["k0", "k1", "k2", "k3", "k4", "k5"]);
}

/// Guards against an answer that a slow server owes still: behind a repeat that was taken for it, however
/// long after.
#[test]
fn an_answer_that_comes_long_after_a_repeat_was_taken_for_it_goes_to_no_other_key() {
    let server = StandIn::cache(|line| {
        line.next();
        line.answer_with(bytes_of(miss()));
        line.next();
        line.repeat(0);
        // Slow: the next command comes meanwhile.
        line.next_within();
        line.answer();
        line.next_within();
    });
    let (node, _discovery) = node_beside_origin("slow-behind-repeat", &server, &[]);
    let mut client = node.client();
    assert_own(&read(&mut client, "k0"), "k0");
    assert_own(&read(&mut client, "k1"), "k1");
    thread::sleep(Duration::from_millis(400));
    assert_own_or_unserved(&read(&mut client, "k2"), "k2");
}

/// Guards against writes told as failed where the origin turns all away and repeats nothing.
#[test]
fn writes_of_an_origin_that_turns_all_away_are_refused_and_not_failed() {
    let busy = Arc::new(AtomicBool::new(false));
    let is_busy = busy.clone();
    let origin = StandIn::start(call, origin_makes, move |line, _| {
        while line.next() {
            let bytes = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            match is_busy.load(Ordering::SeqCst) {
                true => line.answer_with(bytes.to_vec()),
                false => line.answer(),
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
    assert_eq!(failed, 0, "of 50 writes that never ran were told as failed");
}

/// Guards against more connections to a server than the node's part of them: it holds only so many.
#[test]
fn writes_of_one_client_leave_no_more_connections_than_the_part_of_the_node() {
    let open = Arc::new(AtomicUsize::new(0));
    let count = open.clone();
    let server = StandIn::start(command, makes_for_key, move |line, _| {
        count.fetch_add(1, Ordering::SeqCst);
        line.serve();
        count.fetch_sub(1, Ordering::SeqCst);
    });
    let (node, _discovery) =
        node_of("writes-open", &server, &[THROUGH, (r#""balancers":1"#, r#""balancers":8"#)]);
    let mut client = node.client();
    for number in 0..30 {
        let id = format!("w{number}");
        assert_receipt_or_failed(&write(&mut client, "hot", &id), &id);
    }
    thread::sleep(Duration::from_millis(50));
    let open = open.load(Ordering::SeqCst);
    println!("{open} connections open, a part is 4, one client");
    assert!(open <= 4, "{open} connections");
}

/// Guards against a repeat of a value that several keys have, at a server that has sent none twice
/// before.
#[test]
fn a_common_value_that_is_repeated_for_the_first_time_reaches_no_key_with_another() {
    let makes: Makes = |asked| match asked[1].as_str() {
        key if key.starts_with("same") => Some(bytes_of(array("equal"))),
        _ => makes_for_key(asked),
    };
    let server = StandIn::start(command, makes, |line, _| {
        while line.next() {
            if line.word(1) == "k1" && !line.answers.is_empty() {
                line.repeat(line.answers.len() - 1);
                line.next_within();
                return;
            }
            line.answer();
        }
    });
    let (node, _discovery) = node_of("common-repeated", &server, &[THROUGH]);
    let mut client = node.client();
    for number in 0..6 {
        assert_eq!(read(&mut client, &format!("same{number}")), "$equal");
    }
    assert_each_own_or_unserved(&mut client, &["k1", "k2", "k3", "k4"]);
}

/// Guards against an old value of a key that is repeated behind its next read, where values were seen to
/// stay: the true answer goes to the command after.
#[test]
fn after_a_repeat_for_its_own_key_the_true_answer_goes_to_no_other_key() {
    let server = StandIn::start(command, makes_for_key, |line, _| {
        while line.next() {
            if line.word(1) == "changes" && !line.answers.is_empty() {
                line.answer_with(bytes_of(array("old")));
                if !line.next() {
                    return;
                }
                // The second read of it: the old value comes again, and the new one behind the next command.
                let last = line.answers.len() - 1;
                line.repeat(last);
                line.next_within();
                line.answer_with(bytes_of(array("new")));
                return;
            }
            line.answer();
        }
    });
    let (node, _discovery) = node_of("old-repeated", &server, &[THROUGH]);
    let mut client = node.client();
    // Read often, its value stays.
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

/// Counts what was asked of a server: reads, and commands that only show whether answers are in order.
fn reads_and_fences(server: &StandIn) -> (usize, usize) {
    let seen: Vec<Vec<String>> = server.seen.try_iter().collect();
    let count = |name: &str| seen.iter().filter(|asked| asked[0] == name).count();
    (count("CACHE.GET"), count("PING"))
}

/// Guards against attempts and connections that a key costs which is read often and keeps its value: whether an answer is a
/// repeat is seen from a command that stands behind its own.
#[test]
fn a_key_that_is_read_often_and_keeps_its_value_costs_no_further_attempt_or_connection() {
    const REQUESTS: usize = 100;
    let (server, connections) = counting(makes_for_key);
    let (node, _discovery) = node_of("read-often", &server, &[THROUGH]);
    let mut client = node.client();
    for _ in 0..REQUESTS {
        assert_own(&read(&mut client, "hot"), "hot");
    }
    let (reads, fences) = reads_and_fences(&server);
    let connections = connections.load(Ordering::SeqCst);
    println!("{REQUESTS} requests: {reads} reads, {fences} fences, {connections} connections");
    assert!(reads <= REQUESTS + REQUESTS / 50, "{reads} reads for {REQUESTS} requests");
    assert!(connections <= 2, "{connections} connections");
    assert!(fences > 0, "nothing was tried");
}

/// Guards against the answer to a fence that comes a second time, and as an error, taken for the answer of the next read.
#[test]
fn an_answer_to_a_fence_that_is_repeated_is_not_taken_for_the_next_commands() {
    let repeated = Arc::new(AtomicUsize::new(0));
    let count = repeated.clone();
    let server = StandIn::start(command, makes_for_key, move |line, _| {
        while line.next() {
            if line.word(1).starts_with('k') && line.fences > 0 {
                line.write(b"-ERR unknown command\r\n");
                count.fetch_add(1, Ordering::SeqCst);
            }
            line.answer();
        }
    });
    let (node, _discovery) = node_of("fence-repeated", &server, &[THROUGH, ONE_CONNECTION]);
    let mut client = node.client();
    for round in 0..10 {
        assert_own(&read(&mut client, "stays"), "stays");
        let key = format!("k{round}");
        assert_own(&read(&mut client, &key), &key);
    }
    assert!(repeated.load(Ordering::SeqCst) > 0, "nothing was tried");
}

/// Guards against a value that several keys have, believed for any key once all that may be asked again has been.
#[test]
fn a_common_value_that_is_repeated_reaches_no_key_with_another_where_all_checks_are_used_up() {
    const NEW_KEYS: usize = 60;
    let makes: Makes = |asked| match asked[1].as_str() {
        key if key.starts_with("same") => Some(bytes_of(array("equal"))),
        _ => makes_for_key(asked),
    };
    let server = StandIn::start(command, makes, |line, _| {
        while line.next() {
            if line.word(1) == "k1" && !line.answers.is_empty() {
                line.repeat(line.answers.len() - 1);
                line.next_within();
                return;
            }
            line.answer();
        }
    });
    let (node, _discovery) = node_of("common-used-up", &server, &[THROUGH]);
    let mut client = node.client();
    for number in 0..NEW_KEYS {
        assert_eq!(read(&mut client, &format!("same{number}")), "$equal");
    }
    let (reads, _) = reads_and_fences(&server);
    println!("{NEW_KEYS} requests: {reads} reads");
    assert_each_own_or_unserved(&mut client, &["k1", "k2", "k3", "k4"]);
}

/// Guards against answers that are late where a server delays small writes until the one before is acknowledged: that of a fence
/// is one.
#[test]
fn answers_that_await_a_fence_are_not_late_at_a_server_that_delays_small_writes() {
    const REQUESTS: usize = 100;
    /// An acknowledgement that is delayed is so by 40 ms at least.
    const IN_THE_MEAN: Duration = Duration::from_millis(10);
    // The stand-in's sockets delay them, and it writes each answer by itself.
    let server = serve(command, |_| array("equal"));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let node = node("delayed-writes", &discovery, &[THROUGH, ONE_CONNECTION]);
    let mut client = node.client();
    let begun = Instant::now();
    for number in 0..REQUESTS {
        // Every other one is for a key that was read before.
        assert_eq!(read(&mut client, &format!("k{}", number / 2)), "$equal");
    }
    let took = begun.elapsed();
    println!("{REQUESTS} reads in {took:?}");
    assert!(took < REQUESTS as u32 * IN_THE_MEAN, "{REQUESTS} reads took {took:?}");
}

/// Guards against a write that is told as failed because its receipt is like others and slow commands stand between it and the
/// fence that shows it to be true.
#[test]
fn a_write_with_a_common_receipt_before_slow_commands_is_not_told_as_failed() {
    /// More than an answer may be silent.
    const SLOW: Duration = Duration::from_millis(600);
    let makes: Makes = |asked| match asked[0].as_str() {
        "CACHE.SET" => Some(bytes_of(array("OK"))),
        _ => makes_for_key(asked),
    };
    let server = StandIn::start(command, makes, |line, _| {
        while line.next() {
            if line.word(1) == "last" {
                // The read is written behind the write before that is answered.
                line.next();
                line.answer();
                thread::sleep(SLOW);
            }
            while !line.unanswered.is_empty() {
                line.answer();
            }
        }
    });
    let (node, _discovery) = node_of("slow-behind-write", &server, &[THROUGH, ONE_CONNECTION]);
    let mut clients: Vec<Client> = (0..2).map(|_| node.client()).collect();
    for id in ["w0", "w1", "w2", "w3"] {
        assert_eq!(write(&mut clients[0], id, id), "$OK");
    }
    clients[0].send(&["CACHE.SET", "last", "w4", "c=once,t=acme,d=9000", "new"]);
    assert!(server.saw("last"));
    send_read(&mut clients[1], "behind");
    assert_eq!(clients[0].answer(), "$OK");
    assert_own(&clients[1].answer(), "behind");
}
