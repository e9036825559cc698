//! Clients with various usage patterns, each on one connection, which they use until the node closes it.
#![allow(dead_code)]

use std::collections::{HashSet, VecDeque};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::{self, Discovery, Node, Reaction, hit, member, serve, start_node};

/// So long after the start of a drain no client connection may still be open that is idle, or has a request younger than
/// [`RECENT_REQUEST`].
pub const MAX_HOLD: Duration = Duration::from_secs(4);
/// See [`MAX_HOLD`].
pub const RECENT_REQUEST: Duration = Duration::from_secs(2);
/// A request that reached no server may have crossed the node's close if it was sent this shortly before the client saw the
/// close. The time allows for scheduling delays on a busy machine.
pub const CLOSE_CROSSING: Duration = Duration::from_millis(250);
/// Length of the value that a slow upload sends, in bytes.
const UPLOAD_BYTES: usize = 2 * 1024 * 1024;
/// Minimum time from SIGTERM to SIGKILL: the longest deadline, of which 3 s count at most, plus 0.7 s.
pub const EARLIEST_KILL: Duration = Duration::from_millis(3700);
/// Response time of the cache server for "slow" keys.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(250);
/// Response time for "usual" keys.
const USUAL_RESPONSE_TIME: Duration = Duration::from_millis(20);
/// Polling interval of a client that waits.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The ids of the requests that have reached a cache server.
pub type Forwarded = Arc<Mutex<HashSet<String>>>;

/// A cache server whose response time depends on the kind of the key. Returns its address and the ids that have reached
/// it.
pub fn server() -> (SocketAddr, Forwarded) {
    let forwarded = Forwarded::default();
    let reached = forwarded.clone();
    let address = serve(harness::read_command, move |asked| {
        reached.lock().unwrap().insert(asked[2].clone());
        match asked[1].split('-').next() {
            Some("slow") => thread::sleep(SLOW_RESPONSE_TIME),
            Some("usual") => thread::sleep(USUAL_RESPONSE_TIME),
            Some("silent") => return Reaction::Silence,
            _ => {}
        }
        hit(&asked[2])
    });
    (address, forwarded)
}

/// Waits until `age` has passed since `began`.
pub fn sleep_until(began: Instant, age: Duration) {
    thread::sleep((began + age).saturating_duration_since(Instant::now()));
}

/// A node and clients that use it.
pub struct LoadedNode {
    pub node: Node,
    pub clients: Vec<Client>,
    pub forwarded: Forwarded,
    _discovery: Discovery,
    /// When the node was first asked to drain or to end.
    pub start_of_drain: Arc<Mutex<Option<Instant>>>,
}

impl LoadedNode {
    /// Starts a node and clients with these usage patterns, each with a kind of keys, and lets them run for a moment.
    pub fn new(name: &str, patterns: &[(UsagePattern, &'static str)]) -> LoadedNode {
        let (server, forwarded) = server();
        let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
        let node = start_node(name, &discovery, &[]);
        let start_of_drain = Arc::new(Mutex::new(None));
        let mut loaded_node =
            LoadedNode { node, clients: Vec::new(), forwarded, _discovery: discovery, start_of_drain };
        loaded_node.start(patterns);
        thread::sleep(Duration::from_millis(300));
        loaded_node
    }

    /// Starts more clients.
    pub fn start(&mut self, patterns: &[(UsagePattern, &'static str)]) {
        let first = self.clients.len();
        let start = |(number, (pattern, kind)): (usize, &(UsagePattern, &'static str))| {
            Client::start(self.node.address, first + number, *pattern, kind, self.start_of_drain.clone())
        };
        let started: Vec<Client> = patterns.iter().enumerate().map(start).collect();
        self.clients.extend(started);
    }

    /// Records that the node is asked to drain or to end now, and returns the time.
    pub fn mark_start(&self) -> Instant {
        let began = Instant::now();
        self.start_of_drain.lock().unwrap().get_or_insert(began);
        began
    }

    /// Drains the node, and returns when the drain began.
    pub fn drain(&self) -> Instant {
        let began = self.mark_start();
        assert_eq!(self.node.status("PUT /drain"), 200);
        began
    }

    /// Waits until [`MAX_HOLD`] after the start of a drain, and returns the violations on all connections.
    pub fn violations_after_drain(&self, began: Instant) -> Vec<String> {
        sleep_until(began, MAX_HOLD);
        let held = self.clients.iter().filter_map(|client| client.violation_after_drain(began));
        held.map(|held| format!("held: {held}")).chain(self.close_violations()).collect()
    }

    /// Kills the process at the earliest time after the SIGTERM at `terminated`, and returns the violations.
    pub fn violations_after_kill(&mut self, name: &str, terminated: Instant) -> Vec<String> {
        sleep_until(terminated, EARLIEST_KILL);
        let status = self.node.child.try_wait().unwrap();
        let _ = self.node.child.kill();
        self.node.wait_for_exit();
        // Time for all clients to see their connections closed.
        sleep_until(terminated, EARLIEST_KILL + Duration::from_millis(200));
        let mut violations: Vec<String> = self.close_violations().collect();
        if !status.is_some_and(|status| status.success()) {
            violations.push(format!("{name}: the process has not exited by itself with success: {status:?}"));
        }
        violations
    }

    fn close_violations(&self) -> impl Iterator<Item = String> {
        let violations = self.clients.iter().filter_map(|client| client.close_violation(&self.forwarded));
        violations.map(|violations| format!("ended wrongly: {violations}"))
    }

    /// Prints a summary of each client.
    pub fn print(&self, began: Instant) {
        self.clients.iter().for_each(|client| println!("{}", client.summary(began)));
    }
}

/// The usage pattern of a client on its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UsagePattern {
    /// Sends one request, and is idle afterwards.
    IdleAfterRequest,
    /// Sends nothing.
    Silent,
    /// Sends the next request as soon as the last is answered.
    ClosedLoop,
    /// Keeps this many requests open at all times.
    Overlaps(usize),
    /// Writes this many commands at once, and again once all are answered.
    Bursts(usize),
    /// Begins its first command this long after the start of the drain, and writes a byte every 50 ms.
    StartsLate(Duration),
    /// Writes one command after the other, a byte every 5 ms.
    ByteByByte,
    /// Writes a large value in pieces, and never completes it.
    Uploads,
    /// Sends requests and never reads the answers.
    NeverReads,
}

/// How a connection ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// By an orderly close.
    Closed,
    /// By a reset.
    Reset,
}

/// The outcomes of the requests of one client.
#[derive(Debug, Default)]
pub struct Account {
    /// Ids of the requests without an answer, and when the last byte of each was written.
    pub open: VecDeque<(String, Instant)>,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Answers that match no open request.
    pub unmatched: Vec<String>,
    pub ended: Option<(Instant, End)>,
}

/// A running client.
pub struct Client {
    pub pattern: UsagePattern,
    /// The kind of its keys, which decides the server's response time.
    pub kind: &'static str,
    account: Arc<Mutex<Account>>,
    stop: Arc<AtomicBool>,
}

impl Client {
    /// Connects and begins. `start_of_drain` holds the start of the drain, for usage patterns that wait for it.
    pub fn start(
        node: SocketAddr,
        number: usize,
        pattern: UsagePattern,
        kind: &'static str,
        start_of_drain: Arc<Mutex<Option<Instant>>>,
    ) -> Client {
        let account = Arc::new(Mutex::new(Account::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let stream = TcpStream::connect(node).unwrap();
        stream.set_nodelay(true).unwrap();
        let reading = stream.try_clone().unwrap();
        let writer = Writer {
            stream,
            number,
            kind,
            account: account.clone(),
            stop: stop.clone(),
            start_of_drain,
            asked: 0,
        };
        thread::spawn(move || writer.run(pattern));
        if pattern != UsagePattern::NeverReads {
            let (account, stop) = (account.clone(), stop.clone());
            thread::spawn(move || read_answers(reading, &account, &stop));
        }
        Client { pattern, kind, account, stop }
    }

    /// The outcomes of its requests so far.
    pub fn account(&self) -> MutexGuard<'_, Account> {
        self.account.lock().unwrap()
    }

    /// How its connection violates the rule of [`MAX_HOLD`], at that time after the start of a drain.
    pub fn violation_after_drain(&self, began: Instant) -> Option<String> {
        let account = self.account();
        if account.ended.is_some() {
            return None;
        }
        let recent =
            account.open.iter().filter(|(_, sent)| *sent > began + MAX_HOLD - RECENT_REQUEST).count();
        let state = match (account.open.len(), recent) {
            (0, _) => "idle".to_owned(),
            // Older requests may take their time.
            (_, 0) => return None,
            (open, recent) => format!("{open} open, {recent} of them recent"),
        };
        Some(format!("{:?} of {} keys: {state}, {} served", self.pattern, self.kind, account.served))
    }

    /// A summary of the client in one line.
    pub fn summary(&self, began: Instant) -> String {
        let Account { open, served, refused, failed, ended, .. } = &*self.account();
        let ended = ended.map(|(at, end)| (at.saturating_duration_since(began), end));
        format!(
            "{:?} of {} keys: {served} served, {refused} refused, {failed} failed, {} open, ended {ended:?}",
            self.pattern,
            self.kind,
            open.len()
        )
    }

    /// How the end of its connection violates the rules: a reset, an unmatched answer, or requests that were read and not
    /// answered.
    pub fn close_violation(&self, forwarded: &Forwarded) -> Option<String> {
        if self.pattern == UsagePattern::NeverReads {
            // It does not see its answers.
            return None;
        }
        let account = self.account();
        let (ended, end) = account.ended?;
        let forwarded = forwarded.lock().unwrap();
        let is_lost =
            |(id, sent): &&(String, Instant)| forwarded.contains(id) || *sent + CLOSE_CROSSING < ended;
        let lost: Vec<_> = account.open.iter().filter(is_lost).collect();
        let is_violation = end == End::Reset || !lost.is_empty() || !account.unmatched.is_empty();
        is_violation.then(|| {
            format!(
                "{:?} of {} keys: {end:?}, without an answer {lost:?}, unmatched answers {:?}",
                self.pattern, self.kind, account.unmatched
            )
        })
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// The writing side of a client.
struct Writer {
    stream: TcpStream,
    number: usize,
    kind: &'static str,
    account: Arc<Mutex<Account>>,
    stop: Arc<AtomicBool>,
    start_of_drain: Arc<Mutex<Option<Instant>>>,
    asked: usize,
}

impl Writer {
    fn run(mut self, pattern: UsagePattern) {
        // Writing fails once the node has closed the connection.
        let _ = match pattern {
            UsagePattern::Silent => Ok(()),
            UsagePattern::IdleAfterRequest => self.ask(1),
            UsagePattern::ClosedLoop => self.keep_open(1),
            UsagePattern::Overlaps(depth) => self.keep_open(depth),
            UsagePattern::Bursts(count) => self.burst(count),
            UsagePattern::StartsLate(after) => self.start_late(after),
            UsagePattern::ByteByByte => self.byte_by_byte(),
            UsagePattern::Uploads => self.upload(),
            UsagePattern::NeverReads => self.never_read(),
        };
        // The client's side stays open until the test ends.
        while !self.is_over() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn is_over(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn has_ended(&self) -> bool {
        self.is_over() || self.account.lock().unwrap().ended.is_some()
    }

    fn open(&self) -> usize {
        self.account.lock().unwrap().open.len()
    }

    /// The next request, which counts as open from now on.
    fn next(&mut self) -> Vec<u8> {
        self.asked += 1;
        let id = format!("{}-{}", self.number, self.asked);
        // The node may merge concurrent reads of one key.
        let key = format!("{}-{id}", self.kind);
        self.account.lock().unwrap().open.push_back((id.clone(), Instant::now()));
        command(&["CACHE.GET", &key, &id, "c=read,t=acme,d=20000"])
    }

    /// Records that the last requests have just been written completely.
    fn written(&self, count: usize) {
        let now = Instant::now();
        let mut account = self.account.lock().unwrap();
        account.open.iter_mut().rev().take(count).for_each(|(_, sent)| *sent = now);
    }

    fn ask(&mut self, count: usize) -> io::Result<()> {
        let requests: Vec<u8> = (0..count).flat_map(|_| self.next()).collect();
        self.stream.write_all(&requests)?;
        if count > 1 {
            self.written(count);
        }
        Ok(())
    }

    fn keep_open(&mut self, depth: usize) -> io::Result<()> {
        while !self.has_ended() {
            match depth.saturating_sub(self.open()) {
                0 => thread::sleep(Duration::from_micros(50)),
                missing => self.ask(missing)?,
            }
        }
        Ok(())
    }

    fn burst(&mut self, count: usize) -> io::Result<()> {
        while !self.has_ended() {
            match self.open() {
                0 => self.ask(count)?,
                _ => thread::sleep(Duration::from_micros(50)),
            }
        }
        Ok(())
    }

    fn write_slowly(&mut self, bytes: &[u8], pause: Duration) -> io::Result<()> {
        for byte in bytes {
            if self.has_ended() {
                return Ok(());
            }
            self.stream.write_all(std::slice::from_ref(byte))?;
            thread::sleep(pause);
        }
        Ok(())
    }

    fn start_late(&mut self, after: Duration) -> io::Result<()> {
        let start_of_drain = loop {
            let start_of_drain = *self.start_of_drain.lock().unwrap();
            match start_of_drain {
                Some(start_of_drain) => break start_of_drain,
                None if self.has_ended() => return Ok(()),
                None => thread::sleep(POLL_INTERVAL),
            }
        };
        thread::sleep((start_of_drain + after).saturating_duration_since(Instant::now()));
        let id = format!("late-{}", self.number);
        let bytes = command(&["CACHE.GET", &format!("{}-{id}", self.kind), &id, "c=read,t=acme,d=20000"]);
        let (last, first) = bytes.split_last().expect("a command has bytes");
        self.write_slowly(first, Duration::from_millis(50))?;
        self.account.lock().unwrap().open.push_back((id, Instant::now()));
        self.stream.write_all(std::slice::from_ref(last))
    }

    fn byte_by_byte(&mut self) -> io::Result<()> {
        while !self.has_ended() {
            let id = format!("{}-{}", self.number, self.asked);
            self.asked += 1;
            let bytes = command(&["CACHE.GET", &format!("{}-{id}", self.kind), &id, "c=read,t=acme,d=20000"]);
            let (last, first) = bytes.split_last().expect("a command has bytes");
            self.write_slowly(first, Duration::from_millis(5))?;
            if self.has_ended() {
                return Ok(());
            }
            self.account.lock().unwrap().open.push_back((id, Instant::now()));
            self.stream.write_all(std::slice::from_ref(last))?;
        }
        Ok(())
    }

    fn upload(&mut self) -> io::Result<()> {
        let head = format!(
            "*5\r\n$9\r\nCACHE.SET\r\n$6\r\nupload\r\n$2\r\nu1\r\n$21\r\nc=once,t=acme,d=20000\r\n${UPLOAD_BYTES}\r\n"
        );
        self.stream.write_all(head.as_bytes())?;
        let mut left = UPLOAD_BYTES;
        while left > 1 && !self.has_ended() {
            let piece = left.min(4096) - 1;
            self.stream.write_all(&vec![b'v'; piece])?;
            left -= piece;
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    fn never_read(&mut self) -> io::Result<()> {
        self.stream.set_write_timeout(Some(Duration::from_millis(100)))?;
        while !self.has_ended() {
            let request = self.next();
            match self.stream.write_all(&request) {
                Ok(()) => thread::sleep(Duration::from_millis(1)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => {
                    self.account.lock().unwrap().ended = Some((Instant::now(), End::Reset));
                    return Ok(());
                }
            }
        }
        Ok(())
    }
}

/// The bytes of a command.
pub fn command(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len());
    words.iter().for_each(|word| bytes += &format!("${}\r\n{word}\r\n", word.len()));
    bytes.into_bytes()
}

fn read_answers(stream: TcpStream, account: &Mutex<Account>, stop: &AtomicBool) {
    let mut reader = BufReader::new(stream);
    loop {
        let answer = read_answer(&mut reader);
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let mut account = account.lock().unwrap();
        match answer {
            Ok(Some(answer)) => account.take(&answer),
            Ok(None) => {
                account.ended = Some((Instant::now(), End::Closed));
                return;
            }
            Err(_) => {
                account.ended = Some((Instant::now(), End::Reset));
                return;
            }
        }
    }
}

impl Account {
    fn take(&mut self, answer: &str) {
        // An error about an incomplete command belongs to no request.
        if answer.starts_with("-ERR protocol") {
            return;
        }
        let Some((id, _)) = self.open.pop_front() else {
            return self.unmatched.push(answer.to_owned());
        };
        match answer {
            _ if answer == format!("${id}") => self.served += 1,
            _ if answer.starts_with("-BUSY") => self.refused += 1,
            _ if answer.starts_with("-ERR") => self.failed += 1,
            _ => self.unmatched.push(format!("{id}: {answer}")),
        }
    }
}

/// Reads a line, or a bulk string with a leading `$`. `None` at the end of the connection.
fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let line = line.trim_end().to_owned();
    let Some(length) = line.strip_prefix('$').and_then(|length| length.parse::<usize>().ok()) else {
        return Ok(Some(line));
    };
    let mut value = vec![0; length + 2];
    reader.read_exact(&mut value)?;
    Ok(Some(format!("${}", String::from_utf8_lossy(&value[..length]))))
}
