//! A worker process as seen from inside: reads its plan from standard input, replies to requests, and ends
//! when standard input is closed.

use std::io::{BufRead, Write};

use tokio::sync::mpsc;
use tokio::task::LocalSet;

use super::error::RealSocketsError;
use super::protocol::{Reply, Request, WorkerPlan};
use super::{hollow, real_nodes, stubs};

/// Capacity of the queue of requests; the command sends one at a time.
const REQUEST_CAPACITY: usize = 4;

/// Called by a worker right before it exits.
pub(super) type ExitHook = Box<dyn FnOnce() + Send>;

/// The requests of the command.
pub(super) struct RequestReceiver {
    requests: mpsc::Receiver<Request>,
}

impl RequestReceiver {
    /// Returns the next request. Never returns after the end of standard input, for the process exits then.
    pub async fn next(&mut self) -> Request {
        match self.requests.recv().await {
            Some(request) => request,
            None => std::future::pending().await,
        }
    }
}

/// Writes a line to the command. Errors are ignored: if the command has ended, standard input is closed, too,
/// and the process exits.
pub(super) fn reply(reply: &Reply) {
    let mut line = serde_json::to_vec(reply).unwrap_or_default();
    line.push(b'\n');
    let mut output = std::io::stdout().lock();
    let _ = output.write_all(&line).and_then(|()| output.flush());
}

/// Runs a worker until standard input is closed.
///
/// # Errors
/// The reason why it failed, which is also sent to the command.
pub fn run_worker() -> Result<(), RealSocketsError> {
    let result = run();
    if let Err(e) = &result {
        reply(&Reply::Failed(e.to_string()));
    }
    result
}

fn run() -> Result<(), RealSocketsError> {
    let failed = |reason: String| RealSocketsError::Worker(reason);
    let mut first = String::new();
    std::io::stdin().lock().read_line(&mut first).map_err(|e| failed(e.to_string()))?;
    let plan: WorkerPlan = serde_json::from_str(&first).map_err(|e| failed(e.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| failed(e.to_string()))?;
    let (sender, requests) = mpsc::channel(REQUEST_CAPACITY);
    let requests = RequestReceiver { requests };
    let local = LocalSet::new();
    let forward = |exit_hook: ExitHook| forward_requests(sender, exit_hook);
    match plan {
        WorkerPlan::Hollow(plan) => {
            forward(Box::new(|| {}))?;
            local.block_on(&runtime, hollow::serve(plan, requests))
        }
        WorkerPlan::CacheServers(plan) => {
            forward(Box::new(|| {}))?;
            local.block_on(&runtime, stubs::serve_cache_servers(plan, requests))
        }
        WorkerPlan::Discovery(plan) => {
            forward(Box::new(|| {}))?;
            local.block_on(&runtime, stubs::serve_discovery(plan, requests))
        }
        WorkerPlan::RealNodes(plan) => {
            let nodes = real_nodes::NodeProcesses::default();
            forward(nodes.kill_hook())?;
            local.block_on(&runtime, real_nodes::serve(plan, &nodes, requests))
        }
    }
}

/// Forwards requests from a separate thread, which exits the process at the end of standard input whatever
/// the main thread is doing.
fn forward_requests(requests: mpsc::Sender<Request>, exit_hook: ExitHook) -> Result<(), RealSocketsError> {
    let follow = move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(request) = serde_json::from_str(&line) else { break };
            if requests.blocking_send(request).is_err() {
                break;
            }
        }
        exit_hook();
        std::process::exit(0);
    };
    let thread = std::thread::Builder::new().name("standard-input".into()).spawn(follow);
    thread.map(drop).map_err(|e| RealSocketsError::Worker(e.to_string()))
}
