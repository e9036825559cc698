//! `chalksill trial soak`: runs seeds of the soak test, some at the same time, and prints a line for each.

use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use chalksill_trial::soak::{Outcome, run_seed};
use clap::Args;
use tokio::task::LocalSet;

use crate::{Verdict, explore, world};

/// Arguments of `trial soak`.
#[derive(Args)]
pub struct Soak {
    /// The range of seeds, its end excluded, such as 0..50
    #[arg(long, default_value = "0..8", value_parser = explore::parse_seed_range)]
    seeds: (u64, u64),
    /// Number of seeds at the same time: each starts several processes, and an overloaded machine gives wrong verdicts
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=32))]
    jobs: u64,
    /// The mothpier program; by default the one in the folder of this program
    #[arg(long)]
    mothpier: Option<PathBuf>,
    /// The folder for configurations and logs of seeds that break a rule
    #[arg(long, value_name = "FOLDER", default_value = "found")]
    out: PathBuf,
}

/// Executes the subcommand.
pub fn execute(args: &Soak) -> Result<Verdict, String> {
    let program = world::mothpier_program(args.mothpier.as_ref())?;
    let (first, end) = args.seeds;
    let next = AtomicU64::new(first);
    let (failed, not_run) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
    let worker = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= end {
                return;
            }
            let folder = args.out.join(format!("soak-{seed}"));
            match run_seed_on_runtime(seed, &program, &folder) {
                Ok(outcome) => {
                    println!("{outcome}");
                    if outcome.passed() {
                        let _ = std::fs::remove_dir_all(&folder);
                    } else if let Ok(mut failed) = failed.lock() {
                        failed.push(seed);
                        let _ = std::fs::write(folder.join("events"), outcome.events.join("\n") + "\n");
                    }
                }
                Err(error) => {
                    println!("seed {seed}: not run: {error}");
                    not_run.lock().map(|mut not_run| not_run.push(seed)).unwrap_or_default();
                }
            }
        }
    };
    thread::scope(|scope| {
        (0..args.jobs).for_each(|_| drop(scope.spawn(worker)));
    });
    let failed = failed.into_inner().unwrap_or_default();
    let not_run = not_run.into_inner().unwrap_or_default();
    let count = end.saturating_sub(first);
    println!(
        "soak: {count} seeds, {} broken {failed:?}, {} not run {not_run:?}",
        failed.len(),
        not_run.len()
    );
    match (not_run.is_empty(), failed.is_empty()) {
        (false, _) => Err("not all seeds could be run".into()),
        (true, true) => Ok(Verdict::Good),
        (true, false) => Ok(Verdict::Broken),
    }
}

/// Runs one seed on a runtime of the calling thread.
fn run_seed_on_runtime(seed: u64, program: &Path, folder: &Path) -> Result<Outcome, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run_seed(seed, program, folder))
}
