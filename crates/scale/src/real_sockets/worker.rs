//! A worker process, from within: it reads its plan from standard input, answers requests, and ends when standard input does.

use std::io::{BufRead, Write};

use tokio::sync::mpsc;
use tokio::task::LocalSet;

use super::error::RealSocketsError;
use super::protocol::{Reply, Request, WorkerPlan};
use super::{hollow, real_nodes, stand_ins};

/// Requests that wait; the command sends one at a time.
const REQUESTS: usize = 4;

/// What a worker does as the last thing before it ends.
pub(super) type AtEnd = Box<dyn FnOnce() + Send>;

/// The command's side, as a worker sees it.
pub(super) struct Command {
    requests: mpsc::Receiver<Request>,
}

impl Command {
    /// The next request. None comes after the end of standard input, for the process ends with it.
    pub async fn next(&mut self) -> Request {
        match self.requests.recv().await {
            Some(request) => request,
            None => std::future::pending().await,
        }
    }
}

/// Writes a line to the command. One that is no more needs no answer: standard input ends then, and the process with it.
pub(super) fn reply(reply: &Reply) {
    let mut line = serde_json::to_vec(reply).unwrap_or_default();
    line.push(b'\n');
    let mut output = std::io::stdout().lock();
    let _ = output.write_all(&line).and_then(|()| output.flush());
}

/// Runs a worker until standard input ends.
///
/// # Errors
/// Why it can't go on, which the command is told, too.
pub fn run_worker() -> Result<(), RealSocketsError> {
    let ended = begin();
    if let Err(e) = &ended {
        reply(&Reply::Failed(e.to_string()));
    }
    ended
}

fn begin() -> Result<(), RealSocketsError> {
    let bad = |what: String| RealSocketsError::Worker(what);
    let mut first = String::new();
    std::io::stdin().lock().read_line(&mut first).map_err(|e| bad(e.to_string()))?;
    let plan: WorkerPlan = serde_json::from_str(&first).map_err(|e| bad(e.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| bad(e.to_string()))?;
    let (sender, requests) = mpsc::channel(REQUESTS);
    let command = Command { requests };
    let local = LocalSet::new();
    let guarded = |at_end: AtEnd| follow_standard_input(sender, at_end);
    match plan {
        WorkerPlan::Hollow(plan) => {
            guarded(Box::new(|| {}))?;
            local.block_on(&runtime, hollow::serve(plan, command))
        }
        WorkerPlan::CacheServers(plan) => {
            guarded(Box::new(|| {}))?;
            local.block_on(&runtime, stand_ins::serve_cache_servers(plan, command))
        }
        WorkerPlan::Discovery(plan) => {
            guarded(Box::new(|| {}))?;
            local.block_on(&runtime, stand_ins::serve_discovery(plan, command))
        }
        WorkerPlan::RealNodes(plan) => {
            let nodes = real_nodes::Nodes::default();
            guarded(nodes.killer())?;
            local.block_on(&runtime, real_nodes::serve(plan, &nodes, command))
        }
    }
}

/// Passes requests on from a thread of its own, which ends the process at the end of standard input whatever its main thread is
/// at.
fn follow_standard_input(requests: mpsc::Sender<Request>, at_end: AtEnd) -> Result<(), RealSocketsError> {
    let follow = move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(request) = serde_json::from_str(&line) else { break };
            if requests.blocking_send(request).is_err() {
                break;
            }
        }
        at_end();
        std::process::exit(0);
    };
    let thread = std::thread::Builder::new().name("standard-input".into()).spawn(follow);
    thread.map(drop).map_err(|e| RealSocketsError::Worker(e.to_string()))
}
