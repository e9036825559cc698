//! Clients that send at full speed, on threads of their own: they must not take the time of those that are measured.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

/// Bytes written at once.
const WRITE_BYTES: usize = 16 * 1024;
/// A write that takes longer is given up, to see whether the flood is over.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause before the next connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);

/// What the clients of a flood send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodKind {
    /// Lines without a command.
    EmptyLines,
    /// A command that is answered at once.
    Pings,
    /// Reads of tenants that are not configured, each with a new name.
    NewTenants,
}

impl FloodKind {
    /// All kinds.
    pub const ALL: [FloodKind; 3] = [FloodKind::EmptyLines, FloodKind::Pings, FloodKind::NewTenants];

    /// The next bytes to be written, with names from this number on.
    fn batch(self, first_name: usize) -> Vec<u8> {
        let mut batch = String::with_capacity(WRITE_BYTES * 2);
        for name in first_name.. {
            batch += &match self {
                FloodKind::EmptyLines => "\r\n".to_owned(),
                FloodKind::Pings => command(&["PING"]),
                FloodKind::NewTenants => {
                    let name = format!("flood-{name}");
                    command(&["CACHE.GET", &name, &name, &format!("c=read,t={name},d=400")])
                }
            };
            if batch.len() >= WRITE_BYTES {
                break;
            }
        }
        batch.into_bytes()
    }
}

fn command(words: &[&str]) -> String {
    let words: Vec<String> = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*{}\r\n{}", words.len(), words.concat())
}

/// A running flood; it ends soon after this is dropped.
#[derive(Debug)]
pub struct Flood {
    stop: Arc<AtomicBool>,
}

impl Flood {
    /// Starts a flood on so many connections.
    pub fn start(node: SocketAddr, kind: FloodKind, connections: usize) -> Flood {
        let stop = Arc::new(AtomicBool::new(false));
        for _ in 0..connections {
            let stop = stop.clone();
            thread::spawn(move || send_until_stopped(node, kind, &stop));
        }
        Flood { stop }
    }
}

impl Drop for Flood {
    /// Does not wait for the threads: those that are measured run on.
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
    }
}

/// Sends on one connection after the other; the node may end or refuse any of them.
fn send_until_stopped(node: SocketAddr, kind: FloodKind, stop: &AtomicBool) {
    let mut names = 0;
    while !stop.load(Relaxed) {
        if let Ok(stream) = TcpStream::connect_timeout(&node, WRITE_TIMEOUT) {
            // The connection has ended.
            let _ = send_on(stream, kind, stop, &mut names);
        }
        thread::sleep(RECONNECT_PAUSE);
    }
}

fn send_on(
    mut stream: TcpStream,
    kind: FloodKind,
    stop: &AtomicBool,
    names: &mut usize,
) -> std::io::Result<()> {
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let mut answers = stream.try_clone()?;
    let reader = thread::spawn(move || while answers.read(&mut [0; WRITE_BYTES]).is_ok_and(|n| n > 0) {});
    while !stop.load(Relaxed) {
        let batch = kind.batch(*names);
        *names += batch.len();
        if write_until_stopped(&mut stream, &batch, stop).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    // As above.
    drop(reader.join());
    Ok(())
}

/// Writes all bytes, however long the node does not read them.
fn write_until_stopped(stream: &mut TcpStream, mut bytes: &[u8], stop: &AtomicBool) -> std::io::Result<()> {
    while !bytes.is_empty() && !stop.load(Relaxed) {
        match stream.write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
