//! Hollow nodes: the complete code of a node without clients. Many run in one process, each with its own
//! address.

use std::future::pending;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use chalksill_world::{agreement, process};
use mothpier_host::SystemHost;
use mothpier_node::config::{self, Config, Environment, Precedence};
use mothpier_node::{Control, StartOptions, operator, run};
use mothpier_ops::OpsEndpoint;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use super::counting::{ChannelMap, CountingHost, HostCounts};
use super::error::RealSocketsError;
use super::protocol::{HollowPlan, Reply, Request};
use super::worker::{RequestReceiver, reply};

/// The system host of hollow nodes.
const SYSTEM_HOST: SystemHost = SystemHost { program: "mothpier" };
/// Time within which all nodes must have been answered by discovery.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which this is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of the control channel of a node; nothing is sent on it.
const CONTROL_CAPACITY: usize = 1;
/// Capacity of the channel that reports ended nodes: one is enough to end the worker.
const ENDED_CAPACITY: usize = 1;

/// Runs hollow nodes until the process ends.
///
/// # Errors
/// A node cannot start, or ends.
pub(super) async fn serve(plan: HollowPlan, mut requests: RequestReceiver) -> Result<(), RealSocketsError> {
    let real_nodes: Rc<[IpAddr]> =
        plan.fleet.real_nodes().map(|node| plan.fleet.network.address(node)).collect();
    let map = ChannelMap { discovery: Some(plan.discovery), agreement_port: agreement::PORT, real_nodes };
    let (ended_sender, mut ended) = mpsc::channel(ENDED_CAPACITY);
    let mut hosts = Vec::new();
    for node in plan.first..plan.first + plan.count {
        let config = configuration(&plan, node)?;
        let host = CountingHost::new(SYSTEM_HOST, map.clone());
        hosts.push(host.clone());
        start(node, host, config, ended_sender.clone());
    }
    let serve_requests = async {
        wait_until_ready(&hosts).await?;
        reply(&Reply::HollowReady);
        loop {
            match requests.next().await {
                Request::Count => reply(&Reply::HollowCounts(counts(&hosts))),
                Request::Restart { .. } => {
                    return Err(RealSocketsError::Worker("hollow nodes cannot be restarted".into()));
                }
            }
        }
    };
    tokio::select! {
        result = serve_requests => result,
        Some(reason) = ended.recv() => Err(RealSocketsError::Worker(reason)),
    }
}

/// Starts a node with its own task set.
fn start(node: u32, host: CountingHost<SystemHost>, config: Config, ended_sender: mpsc::Sender<String>) {
    let local = LocalSet::new();
    local.spawn_local(async move {
        let ops_endpoint = OpsEndpoint::new(&config.site.class_names);
        // Kept until the node ends: a node ends when its control channel is closed.
        let (control, commands): (mpsc::Sender<Control>, _) = mpsc::channel(CONTROL_CAPACITY);
        let end = run(host, config, ops_endpoint, commands, StartOptions::default()).await;
        drop(control);
        let reason = end.err().unwrap_or_else(|| "exited unexpectedly".into());
        let _ = ended_sender.send(format!("hollow node {node}: {reason}")).await;
        pending::<()>().await;
    });
    spawn_local(local);
}

/// The configuration of a node, read in the same way as by the daemon.
fn configuration(plan: &HollowPlan, node: u32) -> Result<Config, RealSocketsError> {
    let invalid = |reason: String| RealSocketsError::Plan(format!("node {node}: {reason}"));
    let peers = plan.fleet.peers();
    let addresses = process::NodeAddresses {
        listen: plan.fleet.network.client(node),
        discovery: plan.discovery,
        peers: &peers,
        operations: None,
    };
    let seed = plan.fleet.seed.wrapping_add(u64::from(node));
    let world_scenario = plan.fleet.world_scenario()?;
    let file =
        process::node_configuration(&world_scenario, node as usize, &addresses, seed, plan.known.clone());
    let text = serde_json::to_vec(&file).map_err(|e| invalid(e.to_string()))?;
    let mut config = config::read(&text, Environment::default(), Precedence::File).map_err(invalid)?;
    let text = plan.fleet.operator(node)?;
    config.operator = operator::read(&text).map_err(invalid)?;
    config.operator.check_against(&text, &config.site).map_err(invalid)?;
    Ok(config)
}

/// Waits until discovery has answered every node.
async fn wait_until_ready(hosts: &[CountingHost<SystemHost>]) -> Result<(), RealSocketsError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while hosts.iter().any(|host| host.counts().watch_answered_ms.is_none()) {
        if Instant::now() > deadline {
            return Err(RealSocketsError::Deadline("waiting for discovery's first answers to hollow nodes"));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn counts(hosts: &[CountingHost<SystemHost>]) -> Vec<HostCounts> {
    hosts.iter().map(CountingHost::counts).collect()
}
