//! A daemon with all of its sockets in use: clients, the operations endpoint, peers, two cache servers, an origin and
//! discovery.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

use super::{Control, Failure, temporary};
use crate::harness::{Discovery, Reaction, config, hit, http, member, miss, read_call, read_command, serve};

/// A restarted node must be ready within this time.
pub const READY_BOUND: Duration = Duration::from_secs(6);
/// Minimum time from SIGTERM to SIGKILL: the longest deadline, of which 3 s count at most, plus 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);
/// Polling interval when waiting for a process to end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A cache server closes the connection after one in this many answers, so that new connections are made all the time.
const ANSWERS_PER_CLOSE: usize = 10;
/// The other node answers each message with this many invalid ones.
const ECHOES: usize = 3;

/// The test environment of the daemon.
pub struct DaemonEnvironment {
    pub discovery: Discovery,
    /// Address at which the other node receives messages.
    peer: SocketAddr,
}

impl DaemonEnvironment {
    pub fn start() -> Self {
        let [first, second] = [0; 2].map(|_| {
            let answers = AtomicUsize::new(0);
            serve(read_command, move |asked| cache(asked, answers.fetch_add(1, Ordering::Relaxed)))
        });
        let origin = serve(read_call, origin);
        let members = [
            member("s-1", first, "m", "ready"),
            member("s-2", second, "m", "ready"),
            member("s-0", origin, "origin", "ready"),
        ];
        DaemonEnvironment { discovery: Discovery::start(&members.join(",")), peer: other_node() }
    }

    /// Writes a configuration file with peers and an address for clients.
    fn configuration(&self, name: &str, listen: &str) -> PathBuf {
        let peers = format!(r#""peer_listen":"127.0.0.1:0","peers":["127.0.0.1:1","{}"],"#, self.peer);
        let text = config(name, self.discovery.address, 1024)
            .replace("\"balancers\":1", "\"balancers\":2")
            .replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{listen}""#))
            .replacen('{', &format!("{{{peers}"), 1);
        let path = temporary(&format!("{name}.json"));
        std::fs::write(&path, text).unwrap();
        path
    }

    /// A command that starts a daemon in this environment.
    pub fn command(&self, name: &str, listen: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mothpier"));
        command.env("ROUTER_CONFIG", self.configuration(name, listen)).env("ROUTER_OPS", "127.0.0.1:0");
        for variable in ["ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_OPERATOR"] {
            command.env_remove(variable);
        }
        command
    }
}

/// A stub of another node, which answers each message.
fn other_node() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut message = [0; 512];
        while let Ok((length, sender)) = socket.recv_from(&mut message) {
            for _ in 0..ECHOES {
                let _ = socket.send_to(&vec![0xff; length], sender);
            }
        }
    });
    address
}

/// A cache server's reaction. The value is the id of the request, so that a client can recognize its own.
fn cache(asked: &[String], number: usize) -> Reaction {
    let answer = match asked {
        [name, key, id, ..] if name == "CACHE.GET" && key.starts_with("hit") => hit(id),
        [name, ..] if name.starts_with("CACHE.") => miss(),
        _ => Reaction::Answer(b"+OK\r\n".to_vec()),
    };
    match answer {
        Reaction::Answer(bytes) if number % ANSWERS_PER_CLOSE == ANSWERS_PER_CLOSE - 1 => {
            Reaction::AnswerAndClose(bytes, Mutex::new(channel().0))
        }
        answer => answer,
    }
}

fn origin(asked: &[String]) -> Reaction {
    let id = asked.iter().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("x-request-id").then(|| value.trim())
    });
    http("200 OK", id.unwrap_or_default())
}

/// A running daemon; killed at the end of the test.
pub struct Daemon {
    child: Child,
    /// Log lines, up to the end of the process.
    lines: Receiver<String>,
    logged: Mutex<Vec<String>>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    pub fn spawn(mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let (logged, lines) = channel();
        thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| logged.send(line)));
        Daemon { child, lines, logged: Mutex::default() }
    }

    /// Starts a daemon in which system calls fail.
    pub fn failing(mut command: Command, failure: &Failure, control: &Control) -> Self {
        failure.load_into(&mut command, control);
        Daemon::spawn(command)
    }

    /// Waits, for up to [`READY_BOUND`], until the daemon listens for clients.
    pub fn address(&self) -> Result<SocketAddr, String> {
        let until = Instant::now() + READY_BOUND;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).map_err(|e| match e {
                RecvTimeoutError::Timeout => format!("not ready in {READY_BOUND:?}: {}", self.log()),
                RecvTimeoutError::Disconnected => format!("ended during its start: {}", self.log()),
            })?;
            self.logged.lock().unwrap().push(line.clone());
            if let Some((_, address)) = line.split_once(" listens on ") {
                return address.parse().map_err(|_| format!("{address} is not an address"));
            }
        }
    }

    /// The log so far.
    pub fn log(&self) -> String {
        let mut logged = self.logged.lock().unwrap();
        logged.extend(self.lines.try_iter());
        logged.join(" | ")
    }

    /// The whole log. Waits for the end of the process.
    pub fn log_to_its_end(&self) -> String {
        let mut logged = self.logged.lock().unwrap();
        logged.extend(self.lines.iter());
        logged.join(" | ")
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for the end of the process, for up to `bound`.
    pub fn ended_within(&mut self, bound: Duration) -> Result<ExitStatus, String> {
        let begun = Instant::now();
        loop {
            match self.child.try_wait().unwrap() {
                Some(status) => return Ok(status),
                None if begun.elapsed() > bound => {
                    return Err(format!("not ended in {bound:?}: {}", self.log()));
                }
                None => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// Ends the process with SIGTERM, and checks that it exits with success before SIGKILL would follow.
    pub fn terminate(&mut self) -> Result<(), String> {
        self.signal("TERM");
        let status = self.ended_within(EARLIEST_KILL)?;
        if status.success() { Ok(()) } else { Err(format!("SIGTERM ended it with {status}: {}", self.log())) }
    }
}
