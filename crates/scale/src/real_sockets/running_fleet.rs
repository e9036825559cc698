//! The running fleet of one run: starts its workers in order, restarts discovery, and takes snapshots of
//! counts and resource usage.

use std::path::Path;
use std::time::Duration;

use chalksill_world::clients::Clients;
use chalksill_world::fleet::Fleet;
use chalksill_world::observe::Observer;
use mothpier_host::SystemHost;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

use super::counting::HostCounts;
use super::error::RealSocketsError;
use super::plan::{FleetPlan, RealSocketsPlan};
use super::processes::{Programs, Worker, Workers, unexpected_reply};
use super::protocol::{
    DiscoveryPlan, DiscoveryReady, HollowPlan, RealNodesPlan, Reply, Request, StubCounts, WorkerPlan,
};
use super::usage::Usage;

/// The system host of the command's clients.
const SYSTEM_HOST: SystemHost = SystemHost { program: "chalksill" };
/// Time within which the agreement must have a leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which all watches must be open again after the return of discovery.
const RETURN_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which both are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Counts and resource usage of all parts of a run at one time.
pub(super) struct Snapshot {
    /// The time of the snapshot.
    pub at: Instant,
    /// Counts of hollow nodes, by number.
    pub hollow: Vec<HostCounts>,
    /// Counts of discovery.
    pub discovery: StubCounts,
    /// Counts of the cache servers and the origin.
    pub cache_servers: StubCounts,
    /// Resource usage of the processes.
    pub usage: FleetUsage,
}

/// Resource usage of the processes of a run.
pub(super) struct FleetUsage {
    /// Processes of hollow nodes.
    pub hollow: Vec<Usage>,
    /// The idle worker.
    pub idle: Usage,
    /// Real nodes.
    pub real: Vec<Usage>,
    /// Discovery.
    pub discovery: Usage,
    /// The cache servers and the origin.
    pub cache_servers: Usage,
}

/// Seconds from the return of discovery until each hollow node was answered by it; nodes that were not
/// answered are missing.
pub(super) type ReturnTimes = Vec<f64>;

/// The workers of a run.
pub(super) struct RunningFleet {
    plan: FleetPlan,
    hollow: Vec<Worker>,
    idle: Worker,
    discovery: Worker,
    cache_servers: Worker,
    /// Keeps the worker's standard input open.
    _real: Option<Worker>,
    real_processes: Vec<u32>,
    load: Option<AbortHandle>,
}

impl Drop for RunningFleet {
    fn drop(&mut self) {
        if let Some(load) = &self.load {
            load.abort();
        }
    }
}

impl RunningFleet {
    /// Starts all workers: cache servers, discovery, then nodes.
    ///
    /// # Errors
    /// A worker fails.
    pub async fn start(
        workers: &Workers,
        programs: &Programs,
        run: &RealSocketsPlan,
        plan: FleetPlan,
        folder: &Path,
    ) -> Result<RunningFleet, RealSocketsError> {
        let start = |plan: WorkerPlan| {
            let (workers, program) = (workers.clone(), programs.chalksill.clone());
            async move { workers.start(&program, &plan).await }
        };
        let mut cache_servers = start(WorkerPlan::CacheServers(plan.clone())).await?;
        let servers = match cache_servers.ready().await? {
            Reply::CacheServersReady(servers) => servers,
            other => return Err(unexpected_reply(&other)),
        };
        let mut discovery =
            start(WorkerPlan::Discovery(DiscoveryPlan { fleet: plan.clone(), servers })).await?;
        let discovery_lists = match discovery.ready().await? {
            Reply::DiscoveryReady(discovery_lists) => discovery_lists,
            other => return Err(unexpected_reply(&other)),
        };
        let mut hollow = Vec::new();
        for group in process_groups(plan.size.hollow_nodes, run.nodes_per_process) {
            hollow.push(start(hollow_plan(&plan, group, &discovery_lists)).await?);
        }
        let mut idle = start(hollow_plan(&plan, (0, 0), &discovery_lists)).await?;
        let mut real = None;
        if plan.size.real_nodes > 0 {
            let real_plan = RealNodesPlan {
                fleet: plan.clone(),
                program: programs.mothpier.clone(),
                folder: folder.into(),
                discovery: discovery_lists.real,
                known: discovery_lists.known_real.clone(),
            };
            real = Some(start(WorkerPlan::RealNodes(real_plan)).await?);
        }
        for worker in hollow.iter_mut().chain([&mut idle]) {
            match worker.ready().await? {
                Reply::HollowReady => {}
                other => return Err(unexpected_reply(&other)),
            }
        }
        let mut real_processes = Vec::new();
        if let Some(real) = &mut real {
            match real.ready().await? {
                Reply::RealNodesReady(processes) => real_processes = processes,
                other => return Err(unexpected_reply(&other)),
            }
        }
        Ok(RunningFleet {
            plan,
            hollow,
            idle,
            discovery,
            cache_servers,
            _real: real,
            real_processes,
            load: None,
        })
    }

    /// Starts clients that send requests to the real nodes in an open loop for this time.
    ///
    /// # Errors
    /// No simulated environment can be built from the plan.
    pub fn start_clients(&mut self, duration: Duration) -> Result<(), RealSocketsError> {
        let world_scenario = self.plan.world_scenario()?;
        let fleet = Fleet::new(world_scenario, self.plan.seed, Observer::starting_now());
        let nodes = self.plan.real_nodes().map(|node| self.plan.network.client(node)).collect();
        let clients = Clients::new(SYSTEM_HOST, &fleet, nodes, |_| {});
        self.load = Some(spawn_local(clients.generate_load(duration)).abort_handle());
        Ok(())
    }

    /// Waits until the agreement has a leader, if there is an agreement.
    ///
    /// # Errors
    /// There is no leader in time.
    pub async fn wait_for_leader(&mut self) -> Result<(), RealSocketsError> {
        if self.plan.voters() == 0 {
            return Ok(());
        }
        let deadline = Instant::now() + LEADER_TIMEOUT;
        while !self.hollow_counts().await?.iter().any(|node| node.leads) {
            if Instant::now() > deadline {
                return Err(RealSocketsError::Deadline("waiting for a leader of the agreement"));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn hollow_counts(&mut self) -> Result<Vec<HostCounts>, RealSocketsError> {
        let mut all = Vec::new();
        for worker in &mut self.hollow {
            match worker.request(Request::Count, Duration::ZERO).await? {
                Reply::HollowCounts(counts) => all.extend(counts),
                other => return Err(unexpected_reply(&other)),
            }
        }
        Ok(all)
    }

    /// Takes the snapshot before the measurement. Counts are collected first, so that collecting them does
    /// not add to the measured resource usage.
    ///
    /// # Errors
    /// A worker fails, or a process has ended.
    pub async fn snapshot_before(&mut self) -> Result<Snapshot, RealSocketsError> {
        let at = Instant::now();
        let hollow = self.hollow_counts().await?;
        let discovery = stub_counts(&mut self.discovery).await?;
        let cache_servers = stub_counts(&mut self.cache_servers).await?;
        Ok(Snapshot { at, hollow, discovery, cache_servers, usage: self.usage()? })
    }

    /// Takes the snapshot after the measurement. Counts are collected last.
    ///
    /// # Errors
    /// As for [`snapshot_before`](Self::snapshot_before).
    pub async fn snapshot_after(&mut self) -> Result<Snapshot, RealSocketsError> {
        let usage = self.usage()?;
        let at = Instant::now();
        let hollow = self.hollow_counts().await?;
        let discovery = stub_counts(&mut self.discovery).await?;
        let cache_servers = stub_counts(&mut self.cache_servers).await?;
        Ok(Snapshot { at, hollow, discovery, cache_servers, usage })
    }

    fn usage(&self) -> Result<FleetUsage, RealSocketsError> {
        let hollow: Result<Vec<Usage>, _> = self.hollow.iter().map(|w| Usage::of(w.process)).collect();
        let real: Result<Vec<Usage>, _> = self.real_processes.iter().map(|p| Usage::of(*p)).collect();
        Ok(FleetUsage {
            hollow: hollow?,
            idle: Usage::of(self.idle.process)?,
            real: real?,
            discovery: Usage::of(self.discovery.process)?,
            cache_servers: Usage::of(self.cache_servers.process)?,
        })
    }

    /// Restarts discovery, and waits until it has answered all hollow nodes again or the time limit is
    /// reached.
    ///
    /// # Errors
    /// A worker fails.
    pub async fn restart_discovery(&mut self, down: Duration) -> Result<ReturnTimes, RealSocketsError> {
        let request = Request::Restart { down_ms: down.as_millis() as u64 };
        let back_ms = match self.discovery.request(request, down).await? {
            Reply::Restarted { at_ms } => at_ms,
            other => return Err(unexpected_reply(&other)),
        };
        let deadline = Instant::now() + RETURN_TIMEOUT;
        loop {
            let counts = self.hollow_counts().await?;
            let returned: ReturnTimes = counts
                .iter()
                .filter_map(|node| node.watch_answered_ms.and_then(|at| at.checked_sub(back_ms)))
                .map(|after_ms| after_ms as f64 / 1e3)
                .collect();
            if returned.len() == counts.len() || Instant::now() > deadline {
                return Ok(returned);
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Splits hollow nodes into groups of one process each; returns the first node and the size of each group.
fn process_groups(nodes: u32, per_process: u32) -> impl Iterator<Item = (u32, u32)> {
    let per_process = per_process.max(1);
    (0..nodes).step_by(per_process as usize).map(move |first| (first, per_process.min(nodes - first)))
}

fn hollow_plan(plan: &FleetPlan, (first, count): (u32, u32), discovery_lists: &DiscoveryReady) -> WorkerPlan {
    WorkerPlan::Hollow(HollowPlan {
        fleet: plan.clone(),
        first,
        count,
        discovery: discovery_lists.hollow,
        known: discovery_lists.known_hollow.clone(),
    })
}

async fn stub_counts(worker: &mut Worker) -> Result<StubCounts, RealSocketsError> {
    match worker.request(Request::Count, Duration::ZERO).await? {
        Reply::StubCounts(counts) => Ok(counts),
        other => Err(unexpected_reply(&other)),
    }
}
