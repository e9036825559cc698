//! Real nodes: processes of the daemon, kept by a worker that ends them when its own standard input ends.

use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalksill_world::process::{self, Process};
use nix::sys::signal::Signal;
use tokio::time::sleep;

use super::error::RealSocketsError;
use super::protocol::{RealNodesPlan, Reply};
use super::worker::{AtEnd, Command, reply};

/// Between two looks whether a node has ended by itself.
const LOOK: Duration = Duration::from_millis(200);

/// The processes that were started. Who holds the lock starts or ends some: none is started after the end has begun.
#[derive(Default)]
pub(super) struct Nodes(Arc<Mutex<Vec<Process>>>);

impl Nodes {
    fn lock(&self) -> MutexGuard<'_, Vec<Process>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Kills all of them, and lets none be started after that.
    pub fn killer(&self) -> AtEnd {
        let nodes = self.0.clone();
        Box::new(move || {
            let nodes = nodes.lock().unwrap_or_else(PoisonError::into_inner);
            nodes.iter().for_each(|node| node.signal(Signal::SIGKILL));
            // The process ends with the lock held.
            std::mem::forget(nodes);
        })
    }
}

/// Runs real nodes until the process ends.
///
/// # Errors
/// A node that can't be started, does not answer, or ends by itself.
pub(super) async fn serve(
    plan: RealNodesPlan,
    nodes: &Nodes,
    mut command: Command,
) -> Result<(), RealSocketsError> {
    let worker = RealSocketsError::Worker;
    let started = start_all(&plan, nodes).await;
    let watched = async {
        started?;
        reply(&Reply::RealNodesReady(nodes.lock().iter().filter_map(Process::id).collect()));
        loop {
            tokio::select! {
                _ = command.next() => return Err(worker("real nodes count nothing".into())),
                () = sleep(LOOK) => {
                    if let Some(status) = nodes.lock().iter_mut().find_map(Process::exit_status) {
                        return Err(worker(format!("a real node has ended: {status}")));
                    }
                }
            }
        }
    };
    let failed: Result<(), _> = watched.await;
    nodes.lock().iter().for_each(|node| node.signal(Signal::SIGKILL));
    if let Err(e) = failed {
        reply(&Reply::Failed(e.to_string()));
    }
    pending().await
}

async fn start_all(plan: &RealNodesPlan, nodes: &Nodes) -> Result<(), RealSocketsError> {
    let world = plan.fleet.world()?;
    let peers = plan.fleet.peers();
    let worker = RealSocketsError::Worker;
    std::fs::create_dir_all(&plan.folder).map_err(|e| worker(e.to_string()))?;
    for node in plan.fleet.real_nodes() {
        let listen = plan.fleet.network.client(node);
        let at =
            process::NodeAddresses { listen, discovery: plan.discovery, peers: &peers, operations: None };
        let seed = plan.fleet.seed.wrapping_add(u64::from(node));
        let config = process::node_configuration(&world, node as usize, &at, seed, plan.known.clone());
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
