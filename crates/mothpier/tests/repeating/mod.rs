//! A cache server that answers a share of its commands a second time, some milliseconds late. Everything that
//! it does is drawn from a seed and the command's request id, and recorded by connection.
#![allow(dead_code, missing_docs)]

pub mod trace;

use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use self::trace::{Record, Trace};
use crate::world::{Reaction, array, command, miss};

/// The kind of a key is its first letter.
pub const UNIQUE: char = 'u';
/// Many keys have this value in common.
pub const SAME: char = 's';
/// The cache lacks it, and the origin has it.
pub const LACKED: char = 'l';

/// The value of a key: the key, but for those that have a value in common.
pub fn value_of(key: &str) -> &str {
    match key.starts_with(SAME) {
        true => "0",
        false => key,
    }
}

/// What a cache server does besides answering.
#[derive(Clone, Copy, Debug)]
pub struct Habits {
    pub seed: u64,
    /// The part of its commands that it answers a second time.
    pub repeated: f64,
    /// A second answer comes up to so much later than the first.
    pub latest_repeat: Duration,
    /// A first answer takes up to so long.
    pub slowest_answer: Duration,
}

/// Numbers from a seed (SplitMix64).
pub struct Draws(u64);

impl Draws {
    /// Numbers that depend on a seed and a name.
    pub fn new(seed: u64, name: &str) -> Self {
        // FNV-1a.
        let hash = |h: u64, byte: u8| (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        Draws(name.bytes().fold(seed ^ 0xcbf2_9ce4_8422_2325, hash))
    }

    /// From 0 up to 1.
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
pub struct Repeater {
    pub address: SocketAddr,
    pub trace: Arc<Trace>,
    /// How often each request id has come.
    attempts: Arc<Mutex<HashMap<String, u32>>>,
}

/// A command that has come, with all that is drawn for it.
struct Pending {
    /// Its place among the commands of its connection.
    number: usize,
    bytes: Vec<u8>,
    due: Instant,
    /// How long after its answer the second one comes.
    repeat_after: Option<Duration>,
}

/// A second answer that is to be sent; the earliest is the greatest.
#[derive(PartialEq, Eq)]
struct Repeat {
    due: Instant,
    number: usize,
    bytes: Vec<u8>,
}

impl Ord for Repeat {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.due, other.number).cmp(&(self.due, self.number))
    }
}

impl PartialOrd for Repeat {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Repeater {
    pub fn start(habits: Habits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let trace = Arc::new(Trace::new());
        let attempts = Arc::<Mutex<HashMap<String, u32>>>::default();
        let (kept, counted) = (trace.clone(), attempts.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (record, counted, begun) = (kept.connection(), counted.clone(), kept.begun);
                thread::spawn(move || read_commands(stream, habits, &record, begun, &counted));
            }
        });
        Repeater { address, trace, attempts }
    }

    /// Commands that have come for some requests.
    pub fn attempts_of<'a>(&self, ids: impl Iterator<Item = &'a String>) -> u32 {
        let attempts = self.attempts.lock().unwrap();
        ids.map(|id| attempts.get(id).copied().unwrap_or(0)).sum()
    }
}

/// Reads the commands of a connection; another thread answers them.
fn read_commands(
    stream: TcpStream,
    habits: Habits,
    record: &Arc<Mutex<Record>>,
    begun: Instant,
    attempts: &Mutex<HashMap<String, u32>>,
) {
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let (to, pending) = channel();
    let (answers_to, kept) = (stream.try_clone().unwrap(), record.clone());
    let writer = thread::spawn(move || answer(answers_to, &pending, &kept, begun));
    while let Some(asked) = command(&mut reader) {
        take(&asked, habits, record, begun, attempts, &to);
    }
    record.lock().unwrap().closed = Some(begun.elapsed());
    drop(to);
    let _ = stream.shutdown(Shutdown::Both);
    writer.join().unwrap();
}

/// Records a command, draws what becomes of it and gives it on to be answered.
fn take(
    asked: &[String],
    habits: Habits,
    record: &Mutex<Record>,
    begun: Instant,
    attempts: &Mutex<HashMap<String, u32>>,
    to: &Sender<Pending>,
) {
    // `PING` has no further word.
    let subject = asked.get(1).unwrap_or(&asked[0]);
    let (number, behind) = {
        let mut record = record.lock().unwrap();
        let behind = record.commands.last().map(|(_, key)| key.clone()).unwrap_or_default();
        (record.command(begun.elapsed(), subject), behind)
    };
    let pending = match asked[0].as_str() {
        "CACHE.GET" => {
            let earlier = {
                let mut attempts = attempts.lock().unwrap();
                let count = attempts.entry(asked[2].clone()).or_default();
                *count += 1;
                *count
            };
            let mut draws = Draws::new(habits.seed, &format!("{} {earlier}", asked[2]));
            let due = Instant::now() + draws.up_to(habits.slowest_answer);
            let repeated = draws.next() < habits.repeated;
            let after = draws.up_to(habits.latest_repeat);
            Pending { number, bytes: bytes_for(&asked[1]), due, repeat_after: repeated.then_some(after) }
        }
        "PING" => {
            let mut draws = Draws::new(habits.seed, &format!("PING {number} behind {behind}"));
            let repeated = draws.next() < habits.repeated;
            let after = draws.up_to(habits.latest_repeat);
            Pending {
                number,
                bytes: b"+PONG\r\n".to_vec(),
                due: Instant::now(),
                repeat_after: repeated.then_some(after),
            }
        }
        // A probe: it is answered with the load alone.
        _ => Pending {
            number,
            bytes: b"$9\r\nbusy=0.10\r\n".to_vec(),
            due: Instant::now(),
            repeat_after: None,
        },
    };
    // The other side may have ended with the connection.
    let _ = to.send(pending);
}

/// The answer to a read.
fn bytes_for(key: &str) -> Vec<u8> {
    let reaction = match key.starts_with(LACKED) {
        true => miss(),
        false => array(value_of(key)),
    };
    match reaction {
        Reaction::Answer(bytes) => bytes,
        _ => unreachable!("no answer"),
    }
}

/// Sends the answers of a connection in the order of its commands, and second answers when they are due,
/// whatever stands before and behind them: each of them whole, since nothing else writes.
fn answer(mut stream: TcpStream, commands: &Receiver<Pending>, record: &Mutex<Record>, begun: Instant) {
    let mut firsts = VecDeque::<Pending>::new();
    let mut repeats = BinaryHeap::<Repeat>::new();
    loop {
        let first_due = firsts.front().map(|f| f.due);
        let repeat_due = repeats.peek().map(|r| r.due);
        let next = first_due.into_iter().chain(repeat_due).min();
        let command = match next {
            None => commands.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(due) => commands.recv_timeout(due.saturating_duration_since(Instant::now())),
        };
        match command {
            Ok(command) => {
                firsts.push_back(command);
                continue;
            }
            Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => {}
        }
        let first = firsts.pop_front_if(|f| Some(f.due) == next);
        let (number, bytes, is_repeat) = match first {
            Some(first) => {
                if let Some(after) = first.repeat_after {
                    let (due, bytes) = (Instant::now() + after, first.bytes.clone());
                    repeats.push(Repeat { due, number: first.number, bytes });
                }
                (first.number, first.bytes, false)
            }
            None => match repeats.pop() {
                Some(repeat) => (repeat.number, repeat.bytes, true),
                None => continue,
            },
        };
        // On record before the node can have it.
        record.lock().unwrap().frame(begun.elapsed(), number, is_repeat);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}
