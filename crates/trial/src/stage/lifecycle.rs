//! What operators and the platform do to a node's process while its clients go on: drains, signals, planned ends with the kill
//! at the page's earliest, and new versions that take over.

use std::rc::Rc;
use std::time::Duration;

use chalksill_world::observe::{NodeIndex, ObservedEvent};
use chalksill_world::process::{self, Process};
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::{Doing, ORDERED, STAFF, Stage, TURNS_AWAY};

/// SIGKILL comes no sooner after SIGTERM than the longest deadline, which counts as this at most, and [`KILL_AFTER`].
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// See [`LONGEST_COUNTED`].
const KILL_AFTER: Duration = Duration::from_millis(700);
/// How often a process is looked at that is to end.
const LOOK: Duration = Duration::from_millis(5);
/// What a process sent last reaches its clients within this time.
const SETTLES: Duration = Duration::from_millis(150);
/// A new version says yes within this time.
const TAKES_OVER: Duration = Duration::from_secs(6);

impl Stage {
    /// Calls a node at its second address: the status of its answer.
    ///
    /// # Errors
    /// That it says nothing.
    pub async fn staff(&self, node: NodeIndex, call: &str) -> Result<u16, String> {
        let address = self.nodes[node].staff.get();
        let asked = timeout(ORDERED, async {
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(format!("{call} HTTP/1.1\r\nHost: staff\r\n\r\n").as_bytes()).await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            std::io::Result::Ok(answer)
        });
        match asked.await {
            Ok(Ok(answer)) => {
                let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
                status.ok_or_else(|| format!("node {node} answers {call} with {answer:?}"))
            }
            Ok(Err(e)) => Err(format!("node {node} says nothing to {call}: {e}")),
            Err(_) => Err(format!("node {node} says nothing to {call}")),
        }
    }

    /// Sends a signal to a node's process, where that runs.
    pub fn signal(&self, node: NodeIndex, signal: Signal) {
        let run = &self.nodes[node];
        if run.doing.get() == Doing::Runs {
            run.process.borrow().signal(signal);
        }
    }

    /// Which life of a node's process this is; `None` where it has ended or is to.
    pub fn life(&self, node: NodeIndex) -> Option<u64> {
        let run = &self.nodes[node];
        (run.doing.get() == Doing::Runs).then(|| run.life.get())
    }

    /// The span from SIGTERM to the earliest SIGKILL.
    pub fn earliest_kill(&self) -> Duration {
        self.trial.scenario.longest_deadline().min(LONGEST_COUNTED) + KILL_AFTER
    }

    /// Tells a node to end and kills it at the earliest time; whether it had ended by itself by then.
    pub async fn end_early(self: &Rc<Self>, node: NodeIndex) -> bool {
        let run = &self.nodes[node];
        if run.doing.get() != Doing::Runs {
            return true;
        }
        self.fleet.observer.record(ObservedEvent::NodeStopping { node });
        run.doing.set(Doing::Ending);
        run.process.borrow().signal(Signal::SIGTERM);
        let told = Instant::now();
        let mut in_order = false;
        while told.elapsed() < self.earliest_kill() {
            if let Some(status) = run.process.borrow_mut().exit_status() {
                in_order = status.success();
                break;
            }
            if told.elapsed() >= TURNS_AWAY {
                self.clients.stop_new_connections(node);
            }
            sleep(LOOK).await;
        }
        run.process.borrow().signal(Signal::SIGKILL);
        // What has ended by itself is judged by what its clients saw, which has to reach them first.
        sleep(if in_order { SETTLES } else { Duration::ZERO }).await;
        if !in_order {
            self.fleet.observer.record(ObservedEvent::StopOverdue { node });
        }
        self.fleet.observer.record(ObservedEvent::NodeEnded { node, planned: true });
        run.doing.set(Doing::Ended);
        self.refuse_all(self.trial.map.node(node), true);
        in_order
    }

    /// Starts a new version of a node beside the old one, which is told to end once the new one says yes.
    ///
    /// # Errors
    /// A new version that does not come up.
    pub async fn upgrade(self: &Rc<Self>, node: NodeIndex) -> Result<(), String> {
        let run = &self.nodes[node];
        let Some(platform) = run.platform.as_ref().filter(|_| run.doing.get() == Doing::Runs) else {
            return Ok(());
        };
        let (before, address) = (run.staff.get(), run.process.borrow().address);
        let mut staff = before;
        staff.set_port(if before.port() == STAFF { STAFF + 1 } else { STAFF });
        let files = run.process.borrow().files().to_path_buf();
        let new = Process::start_with_socket(platform, staff, &self.program, files, address)?;
        self.note_process(&new)?;
        let begun = Instant::now();
        while !process::reports_ready(staff).await {
            if begun.elapsed() > TAKES_OVER {
                return Err(format!("the new version of node {node} does not say yes"));
            }
            sleep(LOOK).await;
        }
        if run.doing.get() != Doing::Runs {
            // It was ended meanwhile; the new one goes with it.
            return Ok(());
        }
        let mut old = run.process.replace(new);
        run.staff.set(staff);
        run.life.set(run.life.get() + 1);
        old.signal(Signal::SIGTERM);
        let told = Instant::now();
        while told.elapsed() < self.earliest_kill() {
            if old.exit_status().is_some() {
                return Ok(());
            }
            sleep(LOOK).await;
        }
        self.fleet.observer.record(ObservedEvent::StopOverdue { node });
        old.kill().await.map_err(|e| format!("cannot kill the old version of node {node}: {e}"))
    }
}
