//! Worker processes, from outside: started, asked, and ended by their ids.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::time::timeout;

use super::error::RealSocketsError;
use super::protocol::{Reply, Request, WorkerPlan};

/// A worker has begun within this time.
const BEGIN: Duration = Duration::from_secs(90);
/// A worker has answered within this time, beside that for which it is to be down.
const ANSWER: Duration = Duration::from_secs(20);
/// A worker whose standard input has ended has ended within this time; it is killed then.
const END: Duration = Duration::from_secs(5);

/// The programs that a run starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `chalksill`, whose hidden command `scale worker` is a worker.
    pub chalksill: PathBuf,
    /// The daemon.
    pub mothpier: PathBuf,
}

/// All worker processes of a run. They end by themselves when the command's end of their standard input is closed, as it is when
/// the command ends in any way; this one waits for them.
#[derive(Clone, Default)]
pub(super) struct Workers(Rc<RefCell<Vec<Child>>>);

/// One worker process. Dropping it closes its standard input.
pub(super) struct Worker {
    /// The number by which the machine knows it.
    pub process: u32,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
}

impl Workers {
    /// Starts a worker, which is ready when [`Worker::begun`] says so. Its process group is its own: Ctrl-C at a terminal is told to
    /// the command alone.
    ///
    /// # Errors
    /// A program that can't be started.
    pub async fn start(&self, chalksill: &Path, plan: &WorkerPlan) -> Result<Worker, RealSocketsError> {
        let cannot = |e: std::io::Error| RealSocketsError::Worker(format!("{}: {e}", chalksill.display()));
        let mut child = Command::new(chalksill)
            .args(["scale", "worker"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .process_group(0)
            .spawn()
            .map_err(cannot)?;
        let pipes = (child.stdin.take(), child.stdout.take(), child.id());
        self.0.borrow_mut().push(child);
        let (Some(input), Some(output), Some(process)) = pipes else {
            return Err(RealSocketsError::Worker("a process without pipes".into()));
        };
        let mut worker = Worker { process, input, output: BufReader::new(output).lines() };
        worker.write(plan).await?;
        Ok(worker)
    }

    /// Waits for the end of all workers, whose standard inputs must be closed; kills those that do not end.
    pub async fn end(&self) {
        let children = std::mem::take(&mut *self.0.borrow_mut());
        for mut child in children {
            if timeout(END, child.wait()).await.is_err() {
                let _ = child.kill().await;
            }
        }
    }
}

impl Worker {
    async fn write(&mut self, line: &impl serde::Serialize) -> Result<(), RealSocketsError> {
        let bad = |what: String| RealSocketsError::Worker(what);
        let mut bytes = serde_json::to_vec(line).map_err(|e| bad(e.to_string()))?;
        bytes.push(b'\n');
        let written = timeout(ANSWER, self.input.write_all(&bytes)).await;
        // One that can't be written to has ended: what it said before tells why, and is read next.
        let _ = written.map_err(|_| RealSocketsError::Deadline("a worker's reading of a request"))?;
        Ok(())
    }

    async fn read(&mut self, within: Duration) -> Result<Reply, RealSocketsError> {
        let bad = |what: String| RealSocketsError::Worker(what);
        let line = timeout(within, self.output.next_line()).await;
        let line = line.map_err(|_| RealSocketsError::Deadline("a worker's answer"))?;
        let line = line.map_err(|e| bad(e.to_string()))?;
        let line = line.ok_or_else(|| bad("it has ended without a word".into()))?;
        match serde_json::from_str(&line).map_err(|e| bad(e.to_string()))? {
            Reply::Failed(why) => Err(bad(why)),
            reply => Ok(reply),
        }
    }

    /// Waits until it has begun, which its first line tells.
    ///
    /// # Errors
    /// A worker that fails, or takes too long.
    pub async fn begun(&mut self) -> Result<Reply, RealSocketsError> {
        self.read(BEGIN).await
    }

    /// Asks it something, and waits for the answer; it may take a time beyond the usual one.
    ///
    /// # Errors
    /// A worker that fails, or takes too long.
    pub async fn ask(&mut self, request: Request, beyond: Duration) -> Result<Reply, RealSocketsError> {
        self.write(&request).await?;
        self.read(ANSWER + beyond).await
    }
}

/// An answer of another kind than was asked for.
pub(super) fn unasked(reply: &Reply) -> RealSocketsError {
    let mut text = format!("an answer that was not asked for: {reply:?}");
    text.truncate(text.char_indices().nth(200).map_or(text.len(), |(at, _)| at));
    RealSocketsError::Worker(text)
}
