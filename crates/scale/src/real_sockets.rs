//! The host of real sockets: nodes on loopback addresses in real time.
//!
//! Hollow nodes share processes, each node at an address of its own; a few real processes of the daemon run beside them. Cache
//! servers with the origin, and discovery, are stand-ins in processes of their own, so that their processor time is told apart.
//! All processes are workers of the command ([`work`]) and end when it does, in whatever way.

mod bounds;
mod costs;
pub mod counting;
mod error;
mod hollow;
mod plan;
mod processes;
mod protocol;
mod real_nodes;
mod stage;
mod stand_ins;
mod usage;
mod worker;

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

use crate::record::{FleetState, HostKind, Run, RunRecord, VERSION};
use costs::Measured;
use plan::{FleetPlan, Network};
use stage::Stage;

pub use bounds::{Allowed, check};
pub use error::{Bound, BoundExceeded, RealSocketsError};
pub use plan::{RealSocketsOptions, RealSocketsPlan, SizePlan};
pub use processes::Programs;
pub use worker::run_worker;

/// Beside the times that it names, a run has this long: for its start, its looks and the return of watches.
const BESIDE: Duration = Duration::from_secs(240);
/// Between the last request of clients and the second look nothing is waited for: they go on for this much longer.
const LOAD_BEYOND: Duration = Duration::from_secs(5);

/// Plays all runs of a plan, one after another, and ends all that it started; `told` hears of each run's end.
///
/// # Errors
/// A plan that does not keep to the bounds, before anything is started; what fails later, Ctrl-C included.
pub fn run(
    plan: &RealSocketsPlan,
    programs: &Programs,
    commit: &str,
    mut told: impl FnMut(&Run),
) -> Result<RunRecord, RealSocketsError> {
    sane(plan)?;
    check(plan, &Allowed::here()?)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| RealSocketsError::Worker(e.to_string()))?;
    let mut runs = Vec::new();
    for size in &plan.sizes {
        for repetition in 0..plan.repetitions {
            let number = runs.len() as u32;
            let one = one_run(plan, programs, *size, repetition, number);
            let run = LocalSet::new().block_on(&runtime, one)?;
            told(&run);
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

/// What the bounds take for granted.
fn sane(plan: &RealSocketsPlan) -> Result<(), RealSocketsError> {
    let bad = |what: &str| Err(RealSocketsError::Plan(what.into()));
    if !matches!(plan.state, FleetState::Calm | FleetState::DiscoveryRestart) {
        return bad("state: on real sockets only calm and discovery-restart are run");
    }
    let spans = [plan.settle_s, plan.measured_s, plan.discovery_down_s];
    if spans.iter().any(|span| !(0.0..=600.0).contains(span)) || plan.measured_s < 0.5 {
        return bad("spans are 0 to 600 s, and what is measured at least 0.5 s");
    }
    let mut rates = plan.sizes.iter().map(|size| size.changes_per_s).chain([plan.load_per_real_node]);
    if rates.any(|rate| !(0.0..=1000.0).contains(&rate)) {
        return bad("rates are 0 to 1000 a second");
    }
    if plan.nodes_per_process == 0 || plan.sizes.is_empty() || plan.repetitions == 0 {
        return bad("nodes_per_process, sizes and repetitions: at least one");
    }
    if plan.sizes.iter().any(|size| size.cache_servers == 0 || size.nodes() == 0) {
        return bad("sizes: at least one node and one cache server");
    }
    Ok(())
}

/// One run, ended by its deadline or Ctrl-C where it does not end before; its processes have ended when it has.
async fn one_run(
    plan: &RealSocketsPlan,
    programs: &Programs,
    size: SizePlan,
    repetition: u32,
    number: u32,
) -> Result<Run, RealSocketsError> {
    let folder = folder(number);
    let spans = plan.settle_s + plan.measured_s + plan.discovery_down_s;
    let workers = processes::Workers::default();
    let most = Duration::from_secs_f64(spans) + BESIDE;
    let played = tokio::select! {
        played = timeout(most, play(plan, programs, size, repetition, number, &workers, &folder)) => played,
        _ = tokio::signal::ctrl_c() => Ok(Err(RealSocketsError::Interrupted)),
    };
    // Whoever held the workers' standard inputs is dropped by now.
    workers.end().await;
    // What is not asked for is not left behind; nothing is lost where that fails.
    let _ = std::fs::remove_dir_all(&folder);
    played.map_err(|_| RealSocketsError::Deadline("the run"))?
}

/// Where configurations and logs of real nodes go while they run.
fn folder(number: u32) -> PathBuf {
    std::env::temp_dir().join(format!("chalksill-scale-{}-{number}", std::process::id()))
}

async fn play(
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
    let mut stage = Stage::start(workers, programs, plan, fleet, folder).await?;
    let (settle, span) = (Duration::from_secs_f64(plan.settle_s), Duration::from_secs_f64(plan.measured_s));
    if plan.load_per_real_node > 0.0 && size.real_nodes > 0 {
        stage.load_real_nodes(settle + span + LOAD_BEYOND)?;
    }
    stage.agreed().await?;
    sleep(settle).await;
    let before = stage.look_before().await?;
    let mut spreads = Vec::new();
    if plan.state == FleetState::DiscoveryRestart {
        let down = Duration::from_secs_f64(plan.discovery_down_s);
        let returned = stage.restart_discovery(down).await?;
        spreads.push(costs::spread(returned, size.hollow_nodes));
    }
    sleep((before.at + span).saturating_duration_since(Instant::now())).await;
    let after = stage.look_after().await?;
    let measured = Measured { size, voters, before: &before, after: &after };
    Ok(Run {
        size: size.recorded(),
        repetition,
        seed,
        measured_s: measured.seconds(),
        wall_s: begin.elapsed().as_secs_f64(),
        roles: measured.roles(),
        sums: Vec::new(),
        spreads,
    })
}
