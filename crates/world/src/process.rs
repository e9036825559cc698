//! A node that runs as an operating-system process: its files, its signals, and its usage of resources.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

use crate::observe::NodeIndex;
use crate::scenario::Scenario;

/// A node that does not answer `PING` within this time has failed to start.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Time-out of one readiness check, and the pause before the next one.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What the platform passes to each process of a node whose listening socket it holds.
#[derive(Debug)]
pub struct Platform {
    /// The listening socket, which every process inherits.
    pub listener: TcpListener,
    /// The folder that the processes of the node share.
    pub folder: PathBuf,
}

/// Descriptor number of the inherited socket.
const INHERITED_DESCRIPTOR: &str = "4";

/// A node that runs as a process. Dropping it kills the process.
pub struct Process {
    /// The address for clients.
    pub address: SocketAddr,
    child: Child,
    program: PathBuf,
    /// Path of its configuration, operator's file and log, without extension.
    files: PathBuf,
}

/// Addresses in the configuration of a node.
pub struct NodeAddresses<'a> {
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The addresses of all nodes for messages between them, its own included.
    pub peers: &'a [SocketAddr],
    /// The address of its operations endpoint, if it has one.
    pub operations: Option<SocketAddr>,
}

/// The configuration of a node, in the platform's format.
pub fn node_configuration(
    scenario: &Scenario,
    node: NodeIndex,
    addresses: &NodeAddresses<'_>,
    seed: u64,
    known: serde_json::Value,
) -> serde_json::Value {
    let nodes = &scenario.nodes;
    let mut config = serde_json::json!({
        "name": format!("n{node}"), "listen": addresses.listen.to_string(), "discovery": addresses.discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": nodes.memory_mb, "sockets": nodes.sockets},
        "peer_listen": addresses.peers[node].to_string(),
        "peers": addresses.peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "known": known, "settings": scenario.node_settings(node),
    });
    if let Some(operations) = addresses.operations {
        config["ops"] = operations.to_string().into();
    }
    config
}

/// Writes the configuration and the operator's file of a node.
///
/// # Errors
/// A file that cannot be written, with the reason.
pub fn write_files(files: &Path, config: &serde_json::Value, operator: &str) -> Result<(), String> {
    let write = |ending: &str, text: &str| {
        let path = files.with_extension(ending);
        std::fs::write(&path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))
    };
    write("json", &serde_json::to_string_pretty(config).map_err(|e| e.to_string())?)?;
    write("toml", operator)
}

impl Process {
    /// Starts a node from existing files; its log is appended to.
    ///
    /// # Errors
    /// A program that cannot be started, or a log that cannot be written.
    pub fn start(program: &Path, files: PathBuf, address: SocketAddr) -> Result<Process, String> {
        let child = spawn(program, &files, isolated_command(program))?;
        Ok(Process { address, child, program: program.into(), files })
    }

    /// Starts a process of a node whose listening socket the platform holds, with an operations endpoint of
    /// its own.
    ///
    /// # Errors
    /// As [`start`](Self::start).
    pub fn start_with_socket(
        platform: &Platform,
        operations: SocketAddr,
        program: &Path,
        files: PathBuf,
        address: SocketAddr,
    ) -> Result<Process, String> {
        let socket = platform.listener.try_clone().map_err(|e| format!("cannot hand on a socket: {e}"))?;
        let mut command = Command::new("/bin/sh");
        command.env_clear();
        // The shell moves the socket from its standard input to the expected descriptor, then becomes the
        // node.
        command
            .arg("-c")
            .arg(format!("exec {INHERITED_DESCRIPTOR}<&0 0</dev/null; exec \"$0\""))
            .arg(program);
        command.env("ROUTER_SOCKET_FD", INHERITED_DESCRIPTOR).env("ROUTER_OPS", operations.to_string());
        command.env("TMPDIR", &platform.folder).stdin(Stdio::from(OwnedFd::from(socket)));
        let child = spawn(program, &files, command)?;
        Ok(Process { address, child, program: program.into(), files })
    }

    /// Restarts a node whose process has ended, from the same files.
    ///
    /// # Errors
    /// As [`start`](Self::start).
    pub fn restart(&mut self) -> Result<(), String> {
        self.child = spawn(&self.program, &self.files, isolated_command(&self.program))?;
        Ok(())
    }

    /// Path of its files, without extension.
    pub fn files(&self) -> &Path {
        &self.files
    }

    /// The process id; `None` once the process has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id().and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    /// The error of the operating system.
    pub async fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill().await
    }

    /// How it ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// CPU time since its start; `None` where the kernel does not report it.
    pub fn cpu_time(&self) -> Option<Duration> {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()?)).ok()?;
        text.split(' ').next()?.parse().ok().map(Duration::from_nanos)
    }

    /// Peak resident memory in KiB; `None` where the kernel does not report it.
    pub fn memory_kib(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let line = text.lines().find(|l| l.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Open descriptors; `None` where the kernel does not report them.
    pub fn descriptors(&self) -> Option<usize> {
        Some(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()?)).ok()?.count())
    }
}

/// A command with an empty environment and no input.
fn isolated_command(program: &Path) -> Command {
    let mut command = Command::new(program);
    command.env_clear().stdin(Stdio::null());
    command
}

fn spawn(program: &Path, files: &Path, mut command: Command) -> Result<Child, String> {
    let log = std::fs::File::options().create(true).append(true).open(files.with_extension("log"));
    let log = log.map_err(|e| format!("cannot write {}.log: {e}", files.display()))?;
    command
        .env("ROUTER_CONFIG", files.with_extension("json"))
        .env("ROUTER_OPERATOR", files.with_extension("toml"))
        .stdout(Stdio::null())
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
        .map_err(|e| format!("cannot start {}: {e}", program.display()))
}

/// Asks nodes to stop as the platform would, and kills those that still run after `time_out`.
pub async fn stop_all(nodes: &mut [Process], time_out: Duration) {
    for node in nodes.iter() {
        // A process that a signal has stopped handles no other signal but a kill.
        node.signal(Signal::SIGCONT);
        node.signal(Signal::SIGTERM);
    }
    let until = Instant::now() + time_out;
    for node in nodes {
        if tokio::time::timeout_at(until, node.child.wait()).await.is_err() {
            let _ = node.child.kill().await;
        }
    }
}

/// Whether a node answers `PING` as ready, now.
pub async fn answers_ping(address: SocketAddr) -> bool {
    let pong = timeout(CHECK_TIMEOUT, async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
        let mut answer = [0; 5];
        stream.read_exact(&mut answer).await?;
        std::io::Result::Ok(&answer == b"+PONG")
    });
    matches!(pong.await, Ok(Ok(true)))
}

/// Whether a node reports at its operations endpoint that it can serve, now.
pub async fn reports_ready(operations: SocketAddr) -> bool {
    let yes = timeout(CHECK_TIMEOUT, async {
        let mut stream = TcpStream::connect(operations).await?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: staff\r\n\r\n").await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        std::io::Result::Ok(answer.starts_with("HTTP/1.1 200 "))
    });
    matches!(yes.await, Ok(Ok(true)))
}

/// Waits until a node answers `PING` as ready.
///
/// # Errors
/// A node that does not within 15 seconds.
pub async fn wait_until_ready(address: SocketAddr) -> Result<(), String> {
    let until = Instant::now() + START_TIMEOUT;
    while Instant::now() < until {
        if answers_ping(address).await {
            return Ok(());
        }
        sleep(CHECK_INTERVAL).await;
    }
    Err(format!("the node at {address} does not answer PING within {START_TIMEOUT:?}: see its log"))
}
