//! Concurrent clients, and the outcomes of their requests.
#![allow(dead_code)]

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::AddAssign;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Number of concurrent clients.
const CLIENTS: usize = 6;
/// Requests of each client in a round.
const REQUESTS: usize = 40;
/// A client opens a new connection after this many requests.
const REQUESTS_PER_CONNECTION: usize = 8;
/// Deadline longer than any delay that a test injects, in milliseconds.
const LONG_DEADLINE_MS: u64 = 3000;
/// A final answer may come this long after its deadline.
pub const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Of this many requests, one is a read that misses at the cache servers, and one is a write.
const REQUEST_CYCLE: usize = 10;

/// The outcomes of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub asked: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// What the client saw instead of a final answer.
    pub missing: Vec<String>,
}

impl Tally {
    fn count(&mut self, id: &str, answer: io::Result<String>) {
        self.asked += 1;
        match answer {
            Ok(answer) if answer == id => self.served += 1,
            Ok(answer) if answer.starts_with("-BUSY") => self.refused += 1,
            Ok(answer) if answer.starts_with('-') => self.failed += 1,
            Ok(answer) => self.missing.push(format!("{id}: the answer {answer:?}")),
            Err(e) => self.missing.push(format!("{id}: {e}")),
        }
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Tally) {
        self.asked += other.asked;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.missing.extend(other.missing);
    }
}

/// The requests of the clients.
#[derive(Clone)]
pub struct Load {
    /// The node's address, which a test may replace by another node's.
    pub node: Arc<Mutex<SocketAddr>>,
    /// The deadlines that each client gives its requests in turn, in milliseconds.
    pub deadlines_ms: &'static [u64],
    /// Whether a request that crosses the close of a connection that was used before is sent again on a new one.
    pub resends: bool,
}

impl Load {
    /// Clients with long deadlines that do not resend.
    pub fn on(node: SocketAddr) -> Self {
        Load { node: Arc::new(Mutex::new(node)), deadlines_ms: &[LONG_DEADLINE_MS], resends: false }
    }

    /// Sends all requests of a round and waits for their answers. `round` makes the ids unique.
    pub fn run(&self, round: usize) -> Tally {
        let begin = |client| {
            let load = self.clone();
            thread::spawn(move || load.run_client(round, client))
        };
        let clients: Vec<_> = (0..CLIENTS).map(begin).collect();
        let mut all = Tally::default();
        clients.into_iter().for_each(|client| all += client.join().unwrap());
        all
    }

    /// Runs rounds until `stop` is set.
    pub fn run_until(&self, stop: &AtomicBool) -> Tally {
        let mut all = Tally::default();
        for round in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            all += self.run(round);
        }
        all
    }

    fn run_client(&self, round: usize, client: usize) -> Tally {
        let mut tally = Tally::default();
        let mut connection = None;
        for number in 0..REQUESTS {
            if number % REQUESTS_PER_CONNECTION == 0 {
                connection = None;
            }
            let id = format!("request-{round}-{client}-{number}");
            let deadline_ms = self.deadlines_ms[number % self.deadlines_ms.len()];
            let reused = connection.is_some();
            let mut answer = self.ask(&mut connection, number, &id, deadline_ms);
            if self.resends && reused && answer.as_ref().is_err_and(has_ended) {
                connection = None;
                answer = self.ask(&mut connection, number, &id, deadline_ms);
            }
            if answer.is_err() {
                connection = None;
            }
            tally.count(&id, answer);
        }
        tally
    }

    fn ask(
        &self,
        connection: &mut Option<BufReader<TcpStream>>,
        number: usize,
        id: &str,
        deadline_ms: u64,
    ) -> io::Result<String> {
        if connection.is_none() {
            let stream = TcpStream::connect(*self.node.lock().unwrap())?;
            stream.set_nodelay(true)?;
            *connection = Some(BufReader::new(stream));
        }
        let Some(reader) = connection else { return Err(io::ErrorKind::NotConnected.into()) };
        reader.get_ref().set_read_timeout(Some(Duration::from_millis(deadline_ms) + ANSWER_GRACE))?;
        reader.get_mut().write_all(&request(number, id, deadline_ms))?;
        answer(reader)
    }
}

fn has_ended(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionReset | UnexpectedEof)
}

/// A read that hits, or now and then a read that misses or a write.
fn request(number: usize, id: &str, deadline_ms: u64) -> Vec<u8> {
    let extras = |class: &str| format!("c={class},t=acme,d={deadline_ms}");
    let words = match number % REQUEST_CYCLE {
        3 => vec!["CACHE.GET".into(), format!("lacking-{id}"), id.into(), extras("read")],
        7 => vec!["CACHE.SET".into(), format!("written-{id}"), id.into(), extras("once"), "value".into()],
        _ => vec!["CACHE.GET".into(), format!("hit-{id}"), id.into(), extras("read")],
    };
    let mut bytes = format!("*{}\r\n", words.len());
    words.iter().for_each(|word| bytes += &format!("${}\r\n{word}\r\n", word.len()));
    bytes.into_bytes()
}

/// Reads a value, or the line of an error.
fn answer(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let Some(length) = line.strip_prefix('$') else { return Ok(line.trim_end().to_owned()) };
    let length = length.trim_end().parse::<usize>().map_err(io::Error::other)?;
    let mut value = vec![0; length + 2];
    reader.read_exact(&mut value)?;
    value.truncate(length);
    String::from_utf8(value).map_err(io::Error::other)
}
