//! One run: its workers started in order, the state brought about, and what was counted and used between two looks.

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
use super::processes::{Programs, Worker, Workers, unasked};
use super::protocol::{
    DiscoveryPlan, DiscoveryReady, HollowPlan, RealNodesPlan, Reply, Request, StandInCounts, WorkerPlan,
};
use super::usage::Usage;

/// The machine of the command's clients.
const MACHINE: SystemHost = SystemHost { program: "chalksill" };
/// The agreement has a leader within this time.
const LEADER: Duration = Duration::from_secs(30);
/// All watches are open again within this time after discovery's return.
const RETURN: Duration = Duration::from_secs(60);
/// Between two looks for either.
const LOOK: Duration = Duration::from_millis(200);

/// What all parts of a run have counted and used, at one time.
pub(super) struct Look {
    /// When.
    pub at: Instant,
    /// Hollow nodes, by number.
    pub hollow: Vec<HostCounts>,
    /// What discovery has counted.
    pub discovery: StandInCounts,
    /// What cache servers and the origin have counted.
    pub cache_servers: StandInCounts,
    /// What the processes use.
    pub usage: Usages,
}

/// What processes use.
pub(super) struct Usages {
    /// Processes of hollow nodes.
    pub hollow: Vec<Usage>,
    /// The one that idles.
    pub idle: Usage,
    /// Real nodes.
    pub real: Vec<Usage>,
    /// Discovery.
    pub discovery: Usage,
    /// Cache servers and the origin.
    pub cache_servers: Usage,
}

/// How long after discovery's return each hollow node was answered, in seconds; those that were not are missing.
pub(super) type Returned = Vec<f64>;

/// The workers of a run.
pub(super) struct Stage {
    plan: FleetPlan,
    hollow: Vec<Worker>,
    idle: Worker,
    discovery: Worker,
    cache_servers: Worker,
    /// Held, so that its standard input stays open.
    _real: Option<Worker>,
    real_processes: Vec<u32>,
    load: Option<AbortHandle>,
}

impl Drop for Stage {
    fn drop(&mut self) {
        if let Some(load) = &self.load {
            load.abort();
        }
    }
}

impl Stage {
    /// Starts all workers: cache servers, discovery, then nodes.
    ///
    /// # Errors
    /// A worker that fails.
    pub async fn start(
        workers: &Workers,
        programs: &Programs,
        run: &RealSocketsPlan,
        plan: FleetPlan,
        folder: &Path,
    ) -> Result<Stage, RealSocketsError> {
        let start = |plan: WorkerPlan| {
            let (workers, program) = (workers.clone(), programs.chalksill.clone());
            async move { workers.start(&program, &plan).await }
        };
        let mut cache_servers = start(WorkerPlan::CacheServers(plan.clone())).await?;
        let servers = match cache_servers.begun().await? {
            Reply::CacheServersReady(servers) => servers,
            other => return Err(unasked(&other)),
        };
        let mut discovery =
            start(WorkerPlan::Discovery(DiscoveryPlan { fleet: plan.clone(), servers })).await?;
        let lists = match discovery.begun().await? {
            Reply::DiscoveryReady(lists) => lists,
            other => return Err(unasked(&other)),
        };
        let mut hollow = Vec::new();
        for group in groups(plan.size.hollow_nodes, run.nodes_per_process) {
            hollow.push(start(hollow_plan(&plan, group, &lists)).await?);
        }
        let mut idle = start(hollow_plan(&plan, (0, 0), &lists)).await?;
        let mut real = None;
        if plan.size.real_nodes > 0 {
            let real_plan = RealNodesPlan {
                fleet: plan.clone(),
                program: programs.mothpier.clone(),
                folder: folder.into(),
                discovery: lists.real,
                known: lists.known_real.clone(),
            };
            real = Some(start(WorkerPlan::RealNodes(real_plan)).await?);
        }
        for worker in hollow.iter_mut().chain([&mut idle]) {
            match worker.begun().await? {
                Reply::HollowReady => {}
                other => return Err(unasked(&other)),
            }
        }
        let mut real_processes = Vec::new();
        if let Some(real) = &mut real {
            match real.begun().await? {
                Reply::RealNodesReady(processes) => real_processes = processes,
                other => return Err(unasked(&other)),
            }
        }
        Ok(Stage { plan, hollow, idle, discovery, cache_servers, _real: real, real_processes, load: None })
    }

    /// Lets clients ask the real nodes, open loop, for a time.
    ///
    /// # Errors
    /// A plan that makes no world.
    pub fn load_real_nodes(&mut self, span: Duration) -> Result<(), RealSocketsError> {
        let world = self.plan.world()?;
        let fleet = Fleet::new(world, self.plan.seed, Observer::starting_now());
        let nodes = self.plan.real_nodes().map(|node| self.plan.network.client(node)).collect();
        let clients = Clients::new(MACHINE, &fleet, nodes, |_| {});
        self.load = Some(spawn_local(clients.generate_load(span)).abort_handle());
        Ok(())
    }

    /// Waits until the agreement has a leader, where there is one.
    ///
    /// # Errors
    /// None in time.
    pub async fn agreed(&mut self) -> Result<(), RealSocketsError> {
        if self.plan.voters() == 0 {
            return Ok(());
        }
        let until = Instant::now() + LEADER;
        while !self.hollow_counts().await?.iter().any(|node| node.leads) {
            if Instant::now() > until {
                return Err(RealSocketsError::Deadline("a leader of the agreement"));
            }
            sleep(LOOK).await;
        }
        Ok(())
    }

    async fn hollow_counts(&mut self) -> Result<Vec<HostCounts>, RealSocketsError> {
        let mut all = Vec::new();
        for worker in &mut self.hollow {
            match worker.ask(Request::Count, Duration::ZERO).await? {
                Reply::HollowCounts(counts) => all.extend(counts),
                other => return Err(unasked(&other)),
            }
        }
        Ok(all)
    }

    /// The look before the measured time: counts first, so that counting is no part of what processes use in it.
    ///
    /// # Errors
    /// A worker that fails, or a process that is no more.
    pub async fn look_before(&mut self) -> Result<Look, RealSocketsError> {
        let at = Instant::now();
        let hollow = self.hollow_counts().await?;
        let discovery = stand_in_counts(&mut self.discovery).await?;
        let cache_servers = stand_in_counts(&mut self.cache_servers).await?;
        Ok(Look { at, hollow, discovery, cache_servers, usage: self.usage()? })
    }

    /// The look after the measured time: counts last.
    ///
    /// # Errors
    /// As [`look_before`](Self::look_before).
    pub async fn look_after(&mut self) -> Result<Look, RealSocketsError> {
        let usage = self.usage()?;
        let at = Instant::now();
        let hollow = self.hollow_counts().await?;
        let discovery = stand_in_counts(&mut self.discovery).await?;
        let cache_servers = stand_in_counts(&mut self.cache_servers).await?;
        Ok(Look { at, hollow, discovery, cache_servers, usage })
    }

    fn usage(&self) -> Result<Usages, RealSocketsError> {
        let hollow: Result<Vec<Usage>, _> = self.hollow.iter().map(|w| Usage::of(w.process)).collect();
        let real: Result<Vec<Usage>, _> = self.real_processes.iter().map(|p| Usage::of(*p)).collect();
        Ok(Usages {
            hollow: hollow?,
            idle: Usage::of(self.idle.process)?,
            real: real?,
            discovery: Usage::of(self.discovery.process)?,
            cache_servers: Usage::of(self.cache_servers.process)?,
        })
    }

    /// Restarts discovery, and waits until all hollow nodes have been answered by it again, or for as long as that may take.
    ///
    /// # Errors
    /// A worker that fails.
    pub async fn restart_discovery(&mut self, down: Duration) -> Result<Returned, RealSocketsError> {
        let request = Request::Restart { down_ms: down.as_millis() as u64 };
        let back_ms = match self.discovery.ask(request, down).await? {
            Reply::Restarted { at_ms } => at_ms,
            other => return Err(unasked(&other)),
        };
        let until = Instant::now() + RETURN;
        loop {
            let counts = self.hollow_counts().await?;
            let returned: Returned = counts
                .iter()
                .filter_map(|node| node.watch_answered_ms.and_then(|at| at.checked_sub(back_ms)))
                .map(|after_ms| after_ms as f64 / 1e3)
                .collect();
            if returned.len() == counts.len() || Instant::now() > until {
                return Ok(returned);
            }
            sleep(LOOK).await;
        }
    }
}

/// Hollow nodes in groups of a process each: the first, and how many.
fn groups(nodes: u32, per_process: u32) -> impl Iterator<Item = (u32, u32)> {
    let per_process = per_process.max(1);
    (0..nodes).step_by(per_process as usize).map(move |first| (first, per_process.min(nodes - first)))
}

fn hollow_plan(plan: &FleetPlan, (first, count): (u32, u32), lists: &DiscoveryReady) -> WorkerPlan {
    WorkerPlan::Hollow(HollowPlan {
        fleet: plan.clone(),
        first,
        count,
        discovery: lists.hollow,
        known: lists.known_hollow.clone(),
    })
}

async fn stand_in_counts(worker: &mut Worker) -> Result<StandInCounts, RealSocketsError> {
    match worker.ask(Request::Count, Duration::ZERO).await? {
        Reply::StandInCounts(counts) => Ok(counts),
        other => Err(unasked(&other)),
    }
}
