//! Worker processes as seen by the command: starts them, sends requests to them, and ends them.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::{Signal, killpg};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::time::{sleep, timeout};

use super::error::RealSocketsError;
use super::protocol::{Reply, Request, WorkerPlan};

/// Time within which a worker must have started.
const START_TIMEOUT: Duration = Duration::from_secs(90);
/// Time within which a worker must have replied, in addition to the time for which it is to be down.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a worker is killed if it has not ended although its standard input was closed; and within
/// which the processes that it leaves must have ended once they are killed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which it is checked whether the processes of a killed worker have ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The programs that a run starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `chalksill`, whose hidden command `scale worker` runs a worker.
    pub chalksill: PathBuf,
    /// The daemon.
    pub mothpier: PathBuf,
}

/// All worker processes of a run. They end by themselves when their standard input is closed, which also
/// happens when the command ends for any reason. [`Workers::end`] waits for them.
#[derive(Clone, Default)]
pub(super) struct Workers(Rc<RefCell<Vec<Child>>>);

/// One worker process. Dropping it closes the standard input of the process.
pub(super) struct Worker {
    /// The process id.
    pub process: u32,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
}

impl Workers {
    /// Starts a worker, which is ready when [`Worker::ready`] returns. It has its own process group, so that
    /// Ctrl-C in a terminal interrupts only the command.
    ///
    /// # Errors
    /// The program cannot be started.
    pub async fn start(&self, chalksill: &Path, plan: &WorkerPlan) -> Result<Worker, RealSocketsError> {
        let failed = |e: std::io::Error| RealSocketsError::Worker(format!("{}: {e}", chalksill.display()));
        let mut child = Command::new(chalksill)
            .args(["scale", "worker"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .process_group(0)
            .spawn()
            .map_err(failed)?;
        let pipes = (child.stdin.take(), child.stdout.take(), child.id());
        self.0.borrow_mut().push(child);
        let (Some(input), Some(output), Some(process)) = pipes else {
            return Err(RealSocketsError::Worker("started without pipes".into()));
        };
        let mut worker = Worker { process, input, output: BufReader::new(output).lines() };
        worker.write(plan).await?;
        Ok(worker)
    }

    /// Waits for the end of all workers, whose standard inputs must be closed; kills those that do not end in
    /// time, with the processes that they have started.
    pub async fn end(&self) {
        let children = std::mem::take(&mut *self.0.borrow_mut());
        for mut child in children {
            if timeout(EXIT_TIMEOUT, child.wait()).await.is_err() {
                kill_group(&mut child).await;
            }
        }
    }
}

/// Kills a worker and the processes of its group, which it has started, and waits for their end.
async fn kill_group(worker: &mut Child) {
    let Some(group) = worker.id().and_then(|id| i32::try_from(id).ok()).map(Pid::from_raw) else { return };
    // Fails only where no process of the group is left.
    let _ = killpg(group, Signal::SIGKILL);
    let _ = worker.wait().await;
    let all_ended = async {
        while killpg(group, None).is_ok() {
            sleep(EXIT_POLL_INTERVAL).await;
        }
    };
    // They are no children of this process: nothing more can be done about one that does not end.
    let _ = timeout(EXIT_TIMEOUT, all_ended).await;
}

impl Worker {
    async fn write(&mut self, line: &impl serde::Serialize) -> Result<(), RealSocketsError> {
        let failed = |reason: String| RealSocketsError::Worker(reason);
        let mut bytes = serde_json::to_vec(line).map_err(|e| failed(e.to_string()))?;
        bytes.push(b'\n');
        let written = timeout(REPLY_TIMEOUT, self.input.write_all(&bytes)).await;
        // A worker that cannot be written to has ended. Its last line has the reason, and is read next.
        let _ = written.map_err(|_| RealSocketsError::Deadline("sending a request to a worker"))?;
        Ok(())
    }

    async fn read(&mut self, within: Duration) -> Result<Reply, RealSocketsError> {
        let failed = |reason: String| RealSocketsError::Worker(reason);
        let line = timeout(within, self.output.next_line()).await;
        let line = line.map_err(|_| RealSocketsError::Deadline("waiting for a worker's reply"))?;
        let line = line.map_err(|e| failed(e.to_string()))?;
        let line = line.ok_or_else(|| failed("ended without a reply".into()))?;
        match serde_json::from_str(&line).map_err(|e| failed(e.to_string()))? {
            Reply::Failed(reason) => Err(failed(reason)),
            reply => Ok(reply),
        }
    }

    /// Waits until the worker has started, which it reports in its first line.
    ///
    /// # Errors
    /// The worker fails, or takes too long.
    pub async fn ready(&mut self) -> Result<Reply, RealSocketsError> {
        self.read(START_TIMEOUT).await
    }

    /// Sends a request and waits for the reply, for up to `extra` beyond the usual time.
    ///
    /// # Errors
    /// The worker fails, or takes too long.
    pub async fn request(&mut self, request: Request, extra: Duration) -> Result<Reply, RealSocketsError> {
        self.write(&request).await?;
        self.read(REPLY_TIMEOUT + extra).await
    }
}

/// The error for a reply that does not belong to the request.
pub(super) fn unexpected_reply(reply: &Reply) -> RealSocketsError {
    let mut text = format!("unexpected reply: {reply:?}");
    text.truncate(text.char_indices().nth(200).map_or(text.len(), |(at, _)| at));
    RealSocketsError::Worker(text)
}
