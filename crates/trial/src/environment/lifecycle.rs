//! What operators and the platform do to a node's process while its clients go on: drains, signals, planned stops with
//! SIGKILL at the earliest time that is allowed, and upgrades to a new version.

use std::rc::Rc;
use std::time::Duration;

use chalksill_world::observe::{NodeIndex, ObservedEvent};
use chalksill_world::process::{self, Process};
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::{Environment, OPERATIONS_PORT, OPERATIONS_TIMEOUT, ProcessState, STOP_NOTICE_DELAY};

/// The earliest SIGKILL follows SIGTERM after the longest deadline and [`KILL_DELAY`]; a longer deadline counts as this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// See [`MAX_COUNTED_DEADLINE`].
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Interval between two checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// What a process sent last reaches its clients within this time.
const LAST_REPLIES_DELAY: Duration = Duration::from_millis(150);
/// A new version is ready within this time.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(6);

impl Environment {
    /// Calls a node's operations endpoint and returns the status of the response.
    ///
    /// # Errors
    /// A failed or unanswered call, or a response without a status.
    pub async fn call_operations(&self, node: NodeIndex, call: &str) -> Result<u16, String> {
        let address = self.nodes[node].operations_address.get();
        let call_result = timeout(OPERATIONS_TIMEOUT, async {
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(format!("{call} HTTP/1.1\r\nHost: staff\r\n\r\n").as_bytes()).await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            std::io::Result::Ok(answer)
        });
        match call_result.await {
            Ok(Ok(answer)) => {
                let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
                status.ok_or_else(|| format!("node {node} answers {call} with {answer:?}"))
            }
            Ok(Err(e)) => Err(format!("node {node} does not answer {call}: {e}")),
            Err(_) => Err(format!("node {node} does not answer {call}")),
        }
    }

    /// Sends a signal to a node's process, if that is running.
    pub fn signal(&self, node: NodeIndex, signal: Signal) {
        let node_process = &self.nodes[node];
        if node_process.state.get() == ProcessState::Running {
            node_process.process.borrow().signal(signal);
        }
    }

    /// The incarnation of a node's process; `None` where it has exited or is terminating.
    pub fn incarnation(&self, node: NodeIndex) -> Option<u64> {
        let node_process = &self.nodes[node];
        (node_process.state.get() == ProcessState::Running).then(|| node_process.incarnation.get())
    }

    /// The time from SIGTERM to the earliest SIGKILL.
    pub fn earliest_kill_delay(&self) -> Duration {
        self.trial.scenario.longest_deadline().min(MAX_COUNTED_DEADLINE) + KILL_DELAY
    }

    /// Terminates a node and kills it at the earliest time. Returns whether it exited successfully before that.
    pub async fn terminate_with_earliest_kill(self: &Rc<Self>, node: NodeIndex) -> bool {
        let node_process = &self.nodes[node];
        if node_process.state.get() != ProcessState::Running {
            return true;
        }
        self.fleet.observer.record(ObservedEvent::NodeStopping { node });
        node_process.state.set(ProcessState::Stopping);
        node_process.process.borrow().signal(Signal::SIGTERM);
        let signalled_at = Instant::now();
        let mut exited_in_time = false;
        while signalled_at.elapsed() < self.earliest_kill_delay() {
            if let Some(status) = node_process.process.borrow_mut().exit_status() {
                exited_in_time = status.success();
                break;
            }
            if signalled_at.elapsed() >= STOP_NOTICE_DELAY {
                self.clients.stop_new_connections(node);
            }
            sleep(EXIT_POLL_INTERVAL).await;
        }
        node_process.process.borrow().signal(Signal::SIGKILL);
        // A process that exited by itself is judged by its clients' observations, so its last replies have to arrive first.
        sleep(if exited_in_time { LAST_REPLIES_DELAY } else { Duration::ZERO }).await;
        if !exited_in_time {
            self.fleet.observer.record(ObservedEvent::StopOverdue { node });
        }
        self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: true });
        node_process.state.set(ProcessState::Exited);
        self.set_refusing(self.trial.topology.node(node), true);
        exited_in_time
    }

    /// Starts a new version of a node beside the old one, which is told to terminate once the new one is ready.
    ///
    /// # Errors
    /// A new version that cannot be started or does not become ready, or an old one that cannot be killed.
    pub async fn upgrade(self: &Rc<Self>, node: NodeIndex) -> Result<(), String> {
        let node_process = &self.nodes[node];
        let Some(platform) =
            node_process.platform.as_ref().filter(|_| node_process.state.get() == ProcessState::Running)
        else {
            return Ok(());
        };
        let (old_operations_address, address) =
            (node_process.operations_address.get(), node_process.process.borrow().address);
        let mut operations_address = old_operations_address;
        operations_address.set_port(if old_operations_address.port() == OPERATIONS_PORT {
            OPERATIONS_PORT + 1
        } else {
            OPERATIONS_PORT
        });
        let files = node_process.process.borrow().files().to_path_buf();
        let new = Process::start_with_socket(platform, operations_address, &self.program, files, address)?;
        self.record_process_id(&new)?;
        let started_at = Instant::now();
        while !process::reports_ready(operations_address).await {
            if started_at.elapsed() > TAKEOVER_TIMEOUT {
                return Err(format!("the new version of node {node} does not become ready"));
            }
            sleep(EXIT_POLL_INTERVAL).await;
        }
        if node_process.state.get() != ProcessState::Running {
            // The old process was told to terminate meanwhile; the new one is dropped with it.
            return Ok(());
        }
        let mut old = node_process.process.replace(new);
        node_process.operations_address.set(operations_address);
        node_process.incarnation.set(node_process.incarnation.get() + 1);
        old.signal(Signal::SIGTERM);
        let signalled_at = Instant::now();
        while signalled_at.elapsed() < self.earliest_kill_delay() {
            if old.exit_status().is_some() {
                return Ok(());
            }
            sleep(EXIT_POLL_INTERVAL).await;
        }
        self.fleet.observer.record(ObservedEvent::StopOverdue { node });
        old.kill().await.map_err(|e| format!("cannot kill the old version of node {node}: {e}"))
    }
}
