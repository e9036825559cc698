//! The host of real sockets: nodes on loopback addresses in real time.
//!
//! Hollow nodes (the code of a node without clients) share processes, each with its own address. Some real
//! processes of the daemon may run beside them. The cache servers with the origin, and discovery, are stubs
//! in processes of their own, so that their processor time is measured separately. All processes are workers
//! of the command ([`run_worker`]) and end when it ends for any reason.

mod costs;
pub mod counting;
mod error;
mod hollow;
mod plan;
mod processes;
mod protocol;
mod real_nodes;
mod resources;
mod running_fleet;
mod stubs;
mod usage;
mod worker;

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

use crate::record::{FleetState, HostKind, Run, RunRecord, VERSION};
use costs::Measurement;
use plan::{FleetPlan, Network};
use running_fleet::RunningFleet;

pub use error::{RealSocketsError, Resource, ResourceExceeded};
pub use plan::{RealSocketsOptions, RealSocketsPlan, SizePlan};
pub use processes::Programs;
pub use resources::{MachineLimits, check_resources};
pub use worker::run_worker;

/// Time limit of a run beyond its planned phases: for its start, its snapshots and the return of watches.
const EXTRA_RUN_TIME: Duration = Duration::from_secs(240);
/// Time for which clients continue beyond the planned end of the measurement, so that they send until after
/// the second snapshot.
const EXTRA_LOAD_TIME: Duration = Duration::from_secs(5);

/// Executes all runs of a plan, one after another, and ends all processes that it started. `run_finished` is
/// called at the end of each run.
///
/// # Errors
/// The plan exceeds the limits, before anything is started; or a run fails or is interrupted by Ctrl-C.
pub fn run(
    plan: &RealSocketsPlan,
    programs: &Programs,
    commit: &str,
    mut run_finished: impl FnMut(&Run),
) -> Result<RunRecord, RealSocketsError> {
    validate(plan)?;
    check_resources(plan, &MachineLimits::detect()?)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| RealSocketsError::Worker(e.to_string()))?;
    let mut runs = Vec::new();
    for size in &plan.sizes {
        for repetition in 0..plan.repetitions {
            let number = runs.len() as u32;
            let one = run_with_deadline(plan, programs, *size, repetition, number);
            let run = LocalSet::new().block_on(&runtime, one)?;
            run_finished(&run);
            runs.push(run);
        }
    }
    let date = humantime::format_rfc3339(SystemTime::now()).to_string();
    Ok(RunRecord {
        version: VERSION,
        scenario: plan.name.clone(),
        host: HostKind::RealSockets,
        state: plan.state,
        machine: crate::usage::machine(),
        commit: commit.into(),
        date: date.chars().take_while(|c| *c != 'T').collect(),
        runs,
    })
}

/// Checks what the limit checks assume.
fn validate(plan: &RealSocketsPlan) -> Result<(), RealSocketsError> {
    let invalid = |reason: &str| Err(RealSocketsError::Plan(reason.into()));
    if !matches!(plan.state, FleetState::Calm | FleetState::DiscoveryRestart) {
        return invalid("state: real sockets support only calm and discovery-restart");
    }
    let durations = [plan.settle_s, plan.measured_s, plan.discovery_down_s];
    if durations.iter().any(|duration| !(0.0..=600.0).contains(duration)) || plan.measured_s < 0.5 {
        return invalid("durations must be 0 to 600 s, and measured_s at least 0.5 s");
    }
    let mut rates = plan.sizes.iter().map(|size| size.changes_per_s).chain([plan.load_per_real_node]);
    if rates.any(|rate| !(0.0..=1000.0).contains(&rate)) {
        return invalid("rates must be 0 to 1000 per second");
    }
    if plan.nodes_per_process == 0 || plan.sizes.is_empty() || plan.repetitions == 0 {
        return invalid("nodes_per_process, sizes and repetitions must be at least one");
    }
    if plan.sizes.iter().any(|size| size.cache_servers == 0 || size.nodes() == 0) {
        return invalid("sizes must have at least one node and one cache server");
    }
    Ok(())
}

/// Executes one run, which ends at the time limit or with Ctrl-C at the latest. All its processes have ended
/// when this returns.
async fn run_with_deadline(
    plan: &RealSocketsPlan,
    programs: &Programs,
    size: SizePlan,
    repetition: u32,
    number: u32,
) -> Result<Run, RealSocketsError> {
    let folder = run_folder(number);
    let durations = plan.settle_s + plan.measured_s + plan.discovery_down_s;
    let workers = processes::Workers::default();
    let time_limit = Duration::from_secs_f64(durations) + EXTRA_RUN_TIME;
    let result = tokio::select! {
        result = timeout(time_limit, execute(plan, programs, size, repetition, number, &workers, &folder)) => result,
        _ = tokio::signal::ctrl_c() => Ok(Err(RealSocketsError::Interrupted)),
    };
    // The handles of the workers' standard inputs have been dropped by now.
    workers.end().await;
    // Removes temporary files; a failure does no harm.
    let _ = std::fs::remove_dir_all(&folder);
    result.map_err(|_| RealSocketsError::Deadline("the run"))?
}

/// The folder for configurations and logs of real nodes while they run.
fn run_folder(number: u32) -> PathBuf {
    std::env::temp_dir().join(format!("chalksill-scale-{}-{number}", std::process::id()))
}

async fn execute(
    plan: &RealSocketsPlan,
    programs: &Programs,
    size: SizePlan,
    repetition: u32,
    number: u32,
    workers: &processes::Workers,
    folder: &std::path::Path,
) -> Result<Run, RealSocketsError> {
    let begin = Instant::now();
    let seed = plan.seed + u64::from(number);
    let fleet = FleetPlan {
        size,
        network: Network::free(std::process::id(), number)?,
        seed,
        agreement: plan.agreement,
        load: plan.load_per_real_node * f64::from(size.real_nodes),
    };
    let voters = fleet.voters();
    let mut running_fleet = RunningFleet::start(workers, programs, plan, fleet, folder).await?;
    let (settle, duration) =
        (Duration::from_secs_f64(plan.settle_s), Duration::from_secs_f64(plan.measured_s));
    if plan.load_per_real_node > 0.0 && size.real_nodes > 0 {
        running_fleet.start_clients(settle + duration + EXTRA_LOAD_TIME)?;
    }
    running_fleet.wait_for_leader().await?;
    sleep(settle).await;
    let before = running_fleet.snapshot_before().await?;
    let mut spreads = Vec::new();
    if plan.state == FleetState::DiscoveryRestart {
        let down = Duration::from_secs_f64(plan.discovery_down_s);
        let returned = running_fleet.restart_discovery(down).await?;
        spreads.push(costs::propagation(returned, size.hollow_nodes));
    }
    sleep((before.at + duration).saturating_duration_since(Instant::now())).await;
    let after = running_fleet.snapshot_after().await?;
    let measurement = Measurement { size, voters, before: &before, after: &after };
    Ok(Run {
        size: size.recorded(),
        repetition,
        seed,
        measured_s: measurement.seconds(),
        wall_s: begin.elapsed().as_secs_f64(),
        roles: measurement.roles(),
        sums: Vec::new(),
        spreads,
    })
}
