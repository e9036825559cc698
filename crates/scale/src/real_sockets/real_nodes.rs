//! Real nodes: processes of the daemon, supervised by a worker that ends them when its own standard input is
//! closed.

use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use chalksill_world::process::{self, Process};
use nix::sys::signal::Signal;
use tokio::time::sleep;

use super::error::RealSocketsError;
use super::protocol::{RealNodesPlan, Reply};
use super::worker::{ExitHook, RequestReceiver, reply};

/// Interval at which it is checked whether a node has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which it is checked whether a killed node has ended.
const END_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time within which killed nodes must have ended; less than what the command waits for this worker.
const END_TIMEOUT: Duration = Duration::from_secs(4);

/// The started processes. The lock is held while processes are started or ended, so that none is started once
/// the end has begun.
#[derive(Default)]
pub(super) struct NodeProcesses(Arc<Mutex<Vec<Process>>>);

impl NodeProcesses {
    fn lock(&self) -> MutexGuard<'_, Vec<Process>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A hook that kills all processes, waits for their end, and prevents further starts.
    pub fn kill_hook(&self) -> ExitHook {
        let nodes = self.0.clone();
        Box::new(move || {
            let mut nodes = nodes.lock().unwrap_or_else(PoisonError::into_inner);
            end_all(&mut nodes);
            // Keeps the lock until the process exits.
            std::mem::forget(nodes);
        })
    }
}

/// Kills all processes and waits for their end: a killed process goes on to exist for as long as the machine
/// takes to end it, and once this worker has exited nobody could wait for it.
fn end_all(nodes: &mut [Process]) {
    nodes.iter().for_each(|node| node.signal(Signal::SIGKILL));
    let until = Instant::now() + END_TIMEOUT;
    for node in nodes {
        while node.exit_status().is_none() && Instant::now() < until {
            std::thread::sleep(END_POLL_INTERVAL);
        }
    }
}

/// Runs real nodes until the process ends.
///
/// # Errors
/// A node cannot be started, does not answer, or ends.
pub(super) async fn serve(
    plan: RealNodesPlan,
    nodes: &NodeProcesses,
    mut requests: RequestReceiver,
) -> Result<(), RealSocketsError> {
    let worker = RealSocketsError::Worker;
    let started = start_all(&plan, nodes).await;
    let supervised = async {
        started?;
        reply(&Reply::RealNodesReady(nodes.lock().iter().filter_map(Process::id).collect()));
        loop {
            tokio::select! {
                _ = requests.next() => return Err(worker("real nodes have no counts".into())),
                () = sleep(POLL_INTERVAL) => {
                    if let Some(status) = nodes.lock().iter_mut().find_map(Process::exit_status) {
                        return Err(worker(format!("a real node exited: {status}")));
                    }
                }
            }
        }
    };
    let failed: Result<(), _> = supervised.await;
    end_all(&mut nodes.lock());
    if let Err(e) = failed {
        reply(&Reply::Failed(e.to_string()));
    }
    pending().await
}

async fn start_all(plan: &RealNodesPlan, nodes: &NodeProcesses) -> Result<(), RealSocketsError> {
    let world_scenario = plan.fleet.world_scenario()?;
    let peers = plan.fleet.peers();
    let worker = RealSocketsError::Worker;
    std::fs::create_dir_all(&plan.folder).map_err(|e| worker(e.to_string()))?;
    for node in plan.fleet.real_nodes() {
        let listen = plan.fleet.network.client(node);
        let addresses =
            process::NodeAddresses { listen, discovery: plan.discovery, peers: &peers, operations: None };
        let seed = plan.fleet.seed.wrapping_add(u64::from(node));
        let config =
            process::node_configuration(&world_scenario, node as usize, &addresses, seed, plan.known.clone());
        let files = plan.folder.join(format!("n{node}"));
        process::write_files(&files, &config, &plan.fleet.operator(node)?).map_err(worker)?;
        let mut started = nodes.lock();
        started.push(Process::start(&plan.program, files, listen).map_err(worker)?);
    }
    for node in plan.fleet.real_nodes() {
        process::wait_until_ready(plan.fleet.network.client(node)).await.map_err(worker)?;
    }
    Ok(())
}
