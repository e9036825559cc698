//! Hollow nodes: the whole code of a node without clients, many in one process, each at an address of its own.

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
use super::worker::{Command, reply};

/// The machine of a hollow node.
const MACHINE: SystemHost = SystemHost { program: "mothpier" };
/// All nodes have heard of discovery within this time.
const READY: Duration = Duration::from_secs(60);
/// Between two looks whether they have.
const LOOK: Duration = Duration::from_millis(20);
/// Words to a node that wait; it is told none.
const WORDS: usize = 1;
/// Ends of nodes that wait to be told: one is enough to end the worker.
const ENDS: usize = 1;

/// Runs hollow nodes until the process ends.
///
/// # Errors
/// A node that can't start, or ends.
pub(super) async fn serve(plan: HollowPlan, mut command: Command) -> Result<(), RealSocketsError> {
    let real_nodes: Rc<[IpAddr]> =
        plan.fleet.real_nodes().map(|node| plan.fleet.network.address(node)).collect();
    let map = ChannelMap { discovery: Some(plan.discovery), agreement_port: agreement::PORT, real_nodes };
    let (ends, mut ended) = mpsc::channel(ENDS);
    let mut hosts = Vec::new();
    for node in plan.first..plan.first + plan.count {
        let config = configuration(&plan, node)?;
        let host = CountingHost::new(MACHINE, map.clone());
        hosts.push(host.clone());
        start(node, host, config, ends.clone());
    }
    let answers = async {
        ready(&hosts).await?;
        reply(&Reply::HollowReady);
        loop {
            match command.next().await {
                Request::Count => reply(&Reply::HollowCounts(counts(&hosts))),
                Request::Restart { .. } => {
                    return Err(RealSocketsError::Worker("hollow nodes are not restarted".into()));
                }
            }
        }
    };
    tokio::select! {
        failed = answers => failed,
        Some(why) = ended.recv() => Err(RealSocketsError::Worker(why)),
    }
}

/// Starts a node on a set of tasks of its own.
fn start(node: u32, host: CountingHost<SystemHost>, config: Config, ends: mpsc::Sender<String>) {
    let local = LocalSet::new();
    local.spawn_local(async move {
        let desk = OpsEndpoint::new(&config.site.class_names);
        // Kept until the node ends: one that nobody can tell anything any more would end.
        let (words, told): (mpsc::Sender<Control>, _) = mpsc::channel(WORDS);
        let end = run(host, config, desk, told, StartOptions::default()).await;
        drop(words);
        let why = end.err().unwrap_or_else(|| "ended by itself".into());
        let _ = ends.send(format!("hollow node {node}: {why}")).await;
        pending::<()>().await;
    });
    spawn_local(local);
}

/// What a node is told, read as the daemon would read it.
fn configuration(plan: &HollowPlan, node: u32) -> Result<Config, RealSocketsError> {
    let bad = |what: String| RealSocketsError::Plan(format!("node {node}: {what}"));
    let peers = plan.fleet.peers();
    let at = process::NodeAddresses {
        listen: plan.fleet.network.client(node),
        discovery: plan.discovery,
        peers: &peers,
        operations: None,
    };
    let seed = plan.fleet.seed.wrapping_add(u64::from(node));
    let world = plan.fleet.world()?;
    let file = process::node_configuration(&world, node as usize, &at, seed, plan.known.clone());
    let text = serde_json::to_vec(&file).map_err(|e| bad(e.to_string()))?;
    let mut config = config::read(&text, Environment::default(), Precedence::File).map_err(bad)?;
    let text = plan.fleet.operator(node)?;
    config.operator = operator::read(&text).map_err(bad)?;
    config.operator.check_against(&text, &config.site).map_err(bad)?;
    Ok(config)
}

/// Waits until discovery has answered every node.
async fn ready(hosts: &[CountingHost<SystemHost>]) -> Result<(), RealSocketsError> {
    let until = Instant::now() + READY;
    while hosts.iter().any(|host| host.counts().watch_answered_ms.is_none()) {
        if Instant::now() > until {
            return Err(RealSocketsError::Deadline("discovery's first answers to hollow nodes"));
        }
        sleep(LOOK).await;
    }
    Ok(())
}

fn counts(hosts: &[CountingHost<SystemHost>]) -> Vec<HostCounts> {
    hosts.iter().map(CountingHost::counts).collect()
}
