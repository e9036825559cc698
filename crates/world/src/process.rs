//! A node that runs as a process of its own: its files, its signals, what the kernel tells of it.

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

/// A node that does not answer `PING` within this time has not started.
const READY: Duration = Duration::from_secs(15);
/// One look whether it answers takes this long at most; the next comes after a pause.
const LOOK: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(20);

/// What the platform hands to each process of a node, where it holds the clients' socket itself.
#[derive(Debug)]
pub struct Platform {
    /// The clients' socket, which every process inherits.
    pub listener: TcpListener,
    /// The folder that the processes of the node share.
    pub folder: PathBuf,
}

/// The number under which a process has the inherited socket.
const INHERITED: &str = "4";

/// A node that runs as a process. Dropping it kills the process.
pub struct Process {
    /// Where clients reach it.
    pub address: SocketAddr,
    child: Child,
    program: PathBuf,
    /// What its configuration, operator's file and log are called, but for their endings.
    files: PathBuf,
}

/// Where a node is and whom it sees, as its configuration tells it.
pub struct NodeAddresses<'a> {
    /// Where clients reach it.
    pub listen: SocketAddr,
    /// Where it finds discovery.
    pub discovery: SocketAddr,
    /// Where it finds each node, itself included.
    pub peers: &'a [SocketAddr],
    /// Where staff reach it, if they do.
    pub operations: Option<SocketAddr>,
}

/// The configuration of a node, in the platform's words.
pub fn node_configuration(
    scenario: &Scenario,
    node: NodeIndex,
    at: &NodeAddresses<'_>,
    seed: u64,
    known: serde_json::Value,
) -> serde_json::Value {
    let nodes = &scenario.nodes;
    let mut config = serde_json::json!({
        "name": format!("n{node}"), "listen": at.listen.to_string(), "discovery": at.discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": nodes.memory_mb, "sockets": nodes.sockets},
        "peer_listen": at.peers[node].to_string(),
        "peers": at.peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "known": known, "settings": scenario.settings(node),
    });
    if let Some(staff) = at.operations {
        config["ops"] = staff.to_string().into();
    }
    config
}

/// Writes the configuration and the operator's file that a node will be started by.
///
/// # Errors
/// The file that can't be written, and why.
pub fn write_files(files: &Path, config: &serde_json::Value, operator: &str) -> Result<(), String> {
    let write = |ending: &str, text: &str| {
        let path = files.with_extension(ending);
        std::fs::write(&path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))
    };
    write("json", &serde_json::to_string_pretty(config).map_err(|e| e.to_string())?)?;
    write("toml", operator)
}

impl Process {
    /// Starts a node by files that are there; its log is added to.
    ///
    /// # Errors
    /// A program that can't be started, or a log that can't be written.
    pub fn start(program: &Path, files: PathBuf, address: SocketAddr) -> Result<Process, String> {
        let child = spawn(program, &files, alone(program))?;
        Ok(Process { address, child, program: program.into(), files })
    }

    /// Starts a process of a node whose clients' socket the platform holds; staff reach it at an address of its own.
    ///
    /// # Errors
    /// As [`start`](Self::start).
    pub fn start_with_socket(
        platform: &Platform,
        staff: SocketAddr,
        program: &Path,
        files: PathBuf,
        address: SocketAddr,
    ) -> Result<Process, String> {
        let socket = platform.listener.try_clone().map_err(|e| format!("cannot hand on a socket: {e}"))?;
        let mut command = Command::new("/bin/sh");
        command.env_clear();
        // Its standard input is the socket: the shell moves it to the number that is told, and becomes the node.
        command.arg("-c").arg(format!("exec {INHERITED}<&0 0</dev/null; exec \"$0\"")).arg(program);
        command.env("ROUTER_SOCKET_FD", INHERITED).env("ROUTER_OPS", staff.to_string());
        command.env("TMPDIR", &platform.folder).stdin(Stdio::from(OwnedFd::from(socket)));
        let child = spawn(program, &files, command)?;
        Ok(Process { address, child, program: program.into(), files })
    }

    /// Starts the next life of a node whose process has ended, by the same files.
    ///
    /// # Errors
    /// As [`start`](Self::start).
    pub fn restart(&mut self) -> Result<(), String> {
        self.child = spawn(&self.program, &self.files, alone(&self.program))?;
        Ok(())
    }

    /// What its files are called, but for their endings.
    pub fn files(&self) -> &Path {
        &self.files
    }

    /// The number by which the machine knows it; `None` once it has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal; one that has ended gets none.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id().and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills it, and waits for its end.
    ///
    /// # Errors
    /// What the machine says.
    pub async fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill().await
    }

    /// How it ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// CPU time since it started; `None` where the kernel does not tell.
    pub fn cpu_time(&self) -> Option<Duration> {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()?)).ok()?;
        text.split(' ').next()?.parse().ok().map(Duration::from_nanos)
    }

    /// Most resident memory in KiB; `None` where the kernel does not tell.
    pub fn memory_kib(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let line = text.lines().find(|l| l.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Open descriptors; `None` where the kernel does not tell.
    pub fn descriptors(&self) -> Option<usize> {
        Some(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()?)).ok()?.count())
    }
}

/// A program that inherits nothing.
fn alone(program: &Path) -> Command {
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

/// Tells nodes to stop as the platform would, and kills those that still run after a time.
pub async fn stop_all(nodes: &mut [Process], patience: Duration) {
    for node in nodes.iter() {
        // One that was stopped by a signal can end by none but this and a kill.
        node.signal(Signal::SIGCONT);
        node.signal(Signal::SIGTERM);
    }
    let until = Instant::now() + patience;
    for node in nodes {
        if tokio::time::timeout_at(until, node.child.wait()).await.is_err() {
            let _ = node.child.kill().await;
        }
    }
}

/// Whether a node answers `PING` as one that is ready, now.
pub async fn answers_ping(address: SocketAddr) -> bool {
    let pong = timeout(LOOK, async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
        let mut answer = [0; 5];
        stream.read_exact(&mut answer).await?;
        std::io::Result::Ok(&answer == b"+PONG")
    });
    matches!(pong.await, Ok(Ok(true)))
}

/// Whether a node says at its second address that it can serve, now.
pub async fn reports_ready(staff: SocketAddr) -> bool {
    let yes = timeout(LOOK, async {
        let mut stream = TcpStream::connect(staff).await?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: staff\r\n\r\n").await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        std::io::Result::Ok(answer.starts_with("HTTP/1.1 200 "))
    });
    matches!(yes.await, Ok(Ok(true)))
}

/// Waits until a node answers `PING` as one that is ready.
///
/// # Errors
/// One that does not within fifteen seconds.
pub async fn wait_until_ready(address: SocketAddr) -> Result<(), String> {
    let until = Instant::now() + READY;
    while Instant::now() < until {
        if answers_ping(address).await {
            return Ok(());
        }
        sleep(PAUSE).await;
    }
    Err(format!("the node at {address} does not answer PING within {READY:?}: see its log"))
}
