//! A cache server that sends duplicate responses to a share of its commands, some milliseconds late. Its behaviour is
//! determined by a seed and the request ids, and is recorded per connection.
#![allow(dead_code, missing_docs)]

pub mod trace;

use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use self::trace::{ConnectionTrace, Trace};
use crate::harness::{Reaction, hit, miss, read_command};

/// First letter of keys that have their own value.
pub const UNIQUE: char = 'u';
/// First letter of keys that all have the same value.
pub const SAME: char = 's';
/// First letter of keys that the cache server does not have, and the origin does.
pub const MISSING: char = 'l';

/// The value of a key: the key itself, or the value that all [`SAME`] keys have.
pub fn value_of(key: &str) -> &str {
    match key.starts_with(SAME) {
        true => "0",
        false => key,
    }
}

/// How a cache server delays and duplicates its responses.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    pub seed: u64,
    /// Share of the commands with a duplicate response.
    pub duplicated_share: f64,
    /// Maximum delay of a duplicate after the first response.
    pub max_duplicate_delay: Duration,
    /// Maximum time of a first response.
    pub max_response_time: Duration,
}

/// Pseudo-random numbers (SplitMix64).
pub struct SeededRandom(u64);

impl SeededRandom {
    /// Numbers that are determined by a seed and a name.
    pub fn new(seed: u64, name: &str) -> Self {
        // FNV-1a.
        let hash = |h: u64, byte: u8| (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        SeededRandom(name.bytes().fold(seed ^ 0xcbf2_9ce4_8422_2325, hash))
    }

    /// Uniform in [0, 1).
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn up_to(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.next())
    }
}

/// A cache server on a loopback address.
pub struct DuplicatingServer {
    pub address: SocketAddr,
    pub trace: Arc<Trace>,
    /// Number of commands received per request id.
    attempts: Arc<Mutex<HashMap<String, u32>>>,
}

/// A received command and how it will be answered.
struct Pending {
    /// Its index among the commands of the connection.
    number: usize,
    bytes: Vec<u8>,
    due: Instant,
    /// Delay of the duplicate after the first response.
    duplicate_after: Option<Duration>,
}

/// A duplicate response to send. The earliest orders as the greatest, for the max-heap.
#[derive(PartialEq, Eq)]
struct Duplicate {
    due: Instant,
    number: usize,
    bytes: Vec<u8>,
}

impl Ord for Duplicate {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.due, other.number).cmp(&(self.due, self.number))
    }
}

impl PartialOrd for Duplicate {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl DuplicatingServer {
    pub fn start(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let trace = Arc::new(Trace::new());
        let attempts = Arc::<Mutex<HashMap<String, u32>>>::default();
        let (server_trace, counted) = (trace.clone(), attempts.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (record, counted, begun) =
                    (server_trace.connection(), counted.clone(), server_trace.begun);
                thread::spawn(move || read_commands(stream, behaviour, &record, begun, &counted));
            }
        });
        DuplicatingServer { address, trace, attempts }
    }

    /// Number of commands received for some request ids.
    pub fn attempts_of<'a>(&self, ids: impl Iterator<Item = &'a String>) -> u32 {
        let attempts = self.attempts.lock().unwrap();
        ids.map(|id| attempts.get(id).copied().unwrap_or(0)).sum()
    }
}

/// Reads the commands of a connection, which another thread answers.
fn read_commands(
    stream: TcpStream,
    behaviour: Behaviour,
    record: &Arc<Mutex<ConnectionTrace>>,
    begun: Instant,
    attempts: &Mutex<HashMap<String, u32>>,
) {
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let (to, pending) = channel();
    let (answers_to, connection_trace) = (stream.try_clone().unwrap(), record.clone());
    let writer = thread::spawn(move || answer(answers_to, &pending, &connection_trace, begun));
    while let Some(asked) = read_command(&mut reader) {
        accept_command(&asked, behaviour, record, begun, attempts, &to);
    }
    record.lock().unwrap().closed = Some(begun.elapsed());
    drop(to);
    let _ = stream.shutdown(Shutdown::Both);
    writer.join().unwrap();
}

/// Records a command, determines its responses and passes it to the thread that answers.
fn accept_command(
    asked: &[String],
    behaviour: Behaviour,
    record: &Mutex<ConnectionTrace>,
    begun: Instant,
    attempts: &Mutex<HashMap<String, u32>>,
    to: &Sender<Pending>,
) {
    // `PING` has no argument.
    let subject = asked.get(1).unwrap_or(&asked[0]);
    let (number, behind) = {
        let mut record = record.lock().unwrap();
        let behind = record.commands.last().map(|(_, key)| key.clone()).unwrap_or_default();
        (record.record_command(begun.elapsed(), subject), behind)
    };
    let pending = match asked[0].as_str() {
        "CACHE.GET" => {
            let earlier = {
                let mut attempts = attempts.lock().unwrap();
                let count = attempts.entry(asked[2].clone()).or_default();
                *count += 1;
                *count
            };
            let mut random = SeededRandom::new(behaviour.seed, &format!("{} {earlier}", asked[2]));
            let due = Instant::now() + random.up_to(behaviour.max_response_time);
            let is_duplicated = random.next() < behaviour.duplicated_share;
            let after = random.up_to(behaviour.max_duplicate_delay);
            Pending {
                number,
                bytes: bytes_for(&asked[1]),
                due,
                duplicate_after: is_duplicated.then_some(after),
            }
        }
        "PING" => {
            let mut random = SeededRandom::new(behaviour.seed, &format!("PING {number} behind {behind}"));
            let is_duplicated = random.next() < behaviour.duplicated_share;
            let after = random.up_to(behaviour.max_duplicate_delay);
            Pending {
                number,
                bytes: b"+PONG\r\n".to_vec(),
                due: Instant::now(),
                duplicate_after: is_duplicated.then_some(after),
            }
        }
        // A probe is answered with the load only.
        _ => Pending {
            number,
            bytes: b"$9\r\nbusy=0.10\r\n".to_vec(),
            due: Instant::now(),
            duplicate_after: None,
        },
    };
    // The answering thread may have ended with the connection.
    let _ = to.send(pending);
}

/// The bytes of the response to a read.
fn bytes_for(key: &str) -> Vec<u8> {
    let reaction = match key.starts_with(MISSING) {
        true => miss(),
        false => hit(value_of(key)),
    };
    match reaction {
        Reaction::Answer(bytes) => bytes,
        _ => unreachable!("no answer"),
    }
}

/// Sends first responses in the order of the commands, and duplicates when they are due, at any place in between. No
/// other thread writes to the connection, so each response is whole.
fn answer(
    mut stream: TcpStream,
    commands: &Receiver<Pending>,
    record: &Mutex<ConnectionTrace>,
    begun: Instant,
) {
    let mut first_responses = VecDeque::<Pending>::new();
    let mut duplicates = BinaryHeap::<Duplicate>::new();
    loop {
        let first_due = first_responses.front().map(|f| f.due);
        let duplicate_due = duplicates.peek().map(|r| r.due);
        let next = first_due.into_iter().chain(duplicate_due).min();
        let command = match next {
            None => commands.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(due) => commands.recv_timeout(due.saturating_duration_since(Instant::now())),
        };
        match command {
            Ok(command) => {
                first_responses.push_back(command);
                continue;
            }
            Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => {}
        }
        let first = first_responses.pop_front_if(|f| Some(f.due) == next);
        let (number, bytes, is_duplicate) = match first {
            Some(first) => {
                if let Some(after) = first.duplicate_after {
                    let (due, bytes) = (Instant::now() + after, first.bytes.clone());
                    duplicates.push(Duplicate { due, number: first.number, bytes });
                }
                (first.number, first.bytes, false)
            }
            None => match duplicates.pop() {
                Some(duplicate) => (duplicate.number, duplicate.bytes, true),
                None => continue,
            },
        };
        // Recorded before the node can receive it.
        record.lock().unwrap().record_response(begun.elapsed(), number, is_duplicate);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}
