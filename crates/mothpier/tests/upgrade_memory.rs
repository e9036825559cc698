//! Two processes of one node stay within its memory limit together while a new version takes over.
#![allow(missing_docs)]

mod harness;
mod memory_watch;
mod shared_listener;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use harness::*;
use memory_watch::MemoryWatch;
use shared_listener::NodeSetup;
use socket2::{Domain, Socket, Type};

const MEMORY_KIB: u64 = 32 * 1024;
const WRITERS: usize = 14;
const WRITE_BYTES: usize = 2 << 20;
/// How long the origin takes for a write.
const WRITE_TIME: Duration = Duration::from_secs(2);
const READERS: usize = 30;
const READS_AT_ONCE: usize = 30;
const READ_BYTES: usize = 65_000;
/// How long a cache server takes for an answer, and for the first one of a client, behind which the others wait.
const ANSWER_DELAY: Duration = Duration::from_millis(5);
const LONG_ANSWER_DELAY: Duration = Duration::from_millis(800);
/// A slow reader takes this many bytes at a time, with a pause behind each.
const PIECE_BYTES: usize = 4000;
const PIECE_PAUSE: Duration = Duration::from_millis(200);
/// A slow reader leaves after this time and connects again.
const READER_STAYS: Duration = Duration::from_secs(6);
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Writers connect later, so that values of reads are held when the first writes come.
const WRITER_PAUSE: Duration = Duration::from_millis(300);
const BUSY_PAUSE: Duration = Duration::from_millis(100);
/// Load before the new version starts: slow readers connect again as it takes over.
const LOAD_BEFORE: Duration = READER_STAYS;
/// Load after the old process has ended.
const LOAD_AFTER: Duration = Duration::from_secs(2);
/// From SIGTERM to the earliest SIGKILL: 3 s of the longest deadline, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

/// What the clients of a load share.
#[derive(Clone)]
struct Load {
    node: SocketAddr,
    stop: Arc<AtomicBool>,
    ids: Arc<AtomicUsize>,
    written: Arc<AtomicUsize>,
}

impl Load {
    fn new(node: SocketAddr) -> Self {
        Load { node, stop: Arc::default(), ids: Arc::default(), written: Arc::default() }
    }

    fn is_over(&self) -> bool {
        self.stop.load(Relaxed)
    }

    fn next_id(&self) -> String {
        format!("id-{}", self.ids.fetch_add(1, Relaxed))
    }

    /// Connects after a pause, with a small buffer for what a slow reader has not taken.
    fn connect(&self, pause: Duration, receive_buffer: Option<usize>) -> Option<TcpStream> {
        thread::sleep(pause);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        if let Some(bytes) = receive_buffer {
            socket.set_recv_buffer_size(bytes).unwrap();
        }
        socket.connect(&self.node.into()).ok()?;
        socket.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        Some(socket.into())
    }

    /// Writes values one after the other.
    fn write(&self) {
        let value = "v".repeat(WRITE_BYTES);
        while !self.is_over() {
            let Some(mut stream) = self.connect(WRITER_PAUSE, None) else { continue };
            while !self.is_over() {
                let id = self.next_id();
                let command = command(&["CACHE.SET", "k", &id, "c=once,t=acme,d=15000", &value]);
                match stream.write_all(&command).and_then(|()| first_byte_of_line(&mut stream)) {
                    Ok(b'$') => {
                        self.written.fetch_add(1, Relaxed);
                        if first_byte_of_line(&mut stream).is_err() {
                            break;
                        }
                    }
                    Ok(_) => thread::sleep(BUSY_PAUSE),
                    Err(_) => break,
                }
            }
        }
    }

    /// Asks for many values at once and reads them slowly.
    fn read_slowly(&self) {
        while !self.is_over() {
            let Some(mut stream) = self.connect(RECONNECT_PAUSE, Some(PIECE_BYTES)) else { continue };
            let reads = (0..READS_AT_ONCE).flat_map(|number| {
                let id = self.next_id();
                command(&["CACHE.GET", &format!("{id}-{number}"), &id, "c=read,t=acme,d=9000"])
            });
            let began = Instant::now();
            let mut piece = [0; PIECE_BYTES];
            let mut is_open = stream.write_all(&reads.collect::<Vec<u8>>()).is_ok();
            while is_open && !self.is_over() && began.elapsed() < READER_STAYS {
                thread::sleep(PIECE_PAUSE);
                is_open = stream.read(&mut piece).is_ok_and(|read| read > 0);
            }
        }
    }

    fn start(&self) -> Vec<JoinHandle<()>> {
        let writers = (0..WRITERS).map(|_| self.clone()).map(|load| thread::spawn(move || load.write()));
        let readers =
            (0..READERS).map(|_| self.clone()).map(|load| thread::spawn(move || load.read_slowly()));
        writers.chain(readers).collect()
    }
}

fn command(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len());
    words.iter().for_each(|word| bytes += &format!("${}\r\n{word}\r\n", word.len()));
    bytes.into_bytes()
}

/// Reads a line; returns its first byte.
fn first_byte_of_line(stream: &mut TcpStream) -> std::io::Result<u8> {
    let (mut first, mut byte) = ([0], [0]);
    stream.read_exact(&mut first)?;
    while byte != *b"\n" {
        stream.read_exact(&mut byte)?;
    }
    Ok(first[0])
}

/// Plays takeovers in a row under load; returns the most memory that the processes held together, in KiB.
fn peak_of_takeovers(name: &'static str, takeovers: usize) -> u64 {
    let value = "v".repeat(READ_BYTES);
    let cache_server = |number| {
        let value = value.clone();
        let address = serve(read_command, move |asked| match asked.get(1) {
            Some(key) => {
                thread::sleep(if key.ends_with("-0") { LONG_ANSWER_DELAY } else { ANSWER_DELAY });
                hit(&value)
            }
            None => pong(),
        });
        member(&format!("s-{number}"), address, "m", "ready")
    };
    let origin = serve(read_call, |_| {
        thread::sleep(WRITE_TIME);
        http("200 OK", "ok")
    });
    let mut members: Vec<String> = (0..9).map(cache_server).collect();
    members.push(member("o-1", origin, "origin", "ready"));
    let discovery = Discovery::start(&members.join(","));
    let setup = NodeSetup {
        sockets: 256,
        replacements: &[
            (r#""memory_mb":192"#, r#""memory_mb":32"#),
            (r#""maxOpen":1000"#, r#""maxOpen":20000"#),
            (r#""quotaPerS":1000"#, r#""quotaPerS":5000"#),
        ],
        ..NodeSetup::new(name)
    };
    let mut old = setup.start(&discovery);
    let memory = MemoryWatch::start(&old);
    let load = Load::new(setup.address());
    let clients = load.start();
    for _ in 0..takeovers {
        thread::sleep(LOAD_BEFORE);
        let new = Node::spawn(setup.command(&discovery));
        memory.add(&new);
        new.wait_until_ready();
        memory.let_end(&old);
        old.signal("TERM");
        thread::sleep(EARLIEST_KILL);
        let _ = old.child.kill();
        old.wait_for_exit();
        old = new;
    }
    thread::sleep(LOAD_AFTER);
    load.stop.store(true, Relaxed);
    let peak = memory.peak_kib();
    drop(old);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let written = load.written.load(Relaxed);
    println!("{name}: {peak} KiB at the most, {written} writes");
    assert!(written > 0, "no write was served");
    peak
}

/// Guards against a new process that takes its share of the memory before the old one has given it back.
#[test]
fn processes_of_an_upgrade_stay_within_the_memory_limit_together() {
    let peak = peak_of_takeovers("upgrade-memory", 2);
    assert!(peak <= MEMORY_KIB, "{peak} KiB of {MEMORY_KIB}");
}
