//! `chalksill trial soak`: seeds of a soak, some side by side, a line each.

use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use chalksill_trial::soak::{Outcome, run_seed};
use clap::Args;
use tokio::task::LocalSet;

use crate::{Verdict, explore, world};

/// Seeds of a soak.
#[derive(Args)]
pub struct Soak {
    /// The seeds, from and to (not included), as 0..50
    #[arg(long, default_value = "0..8", value_parser = explore::seeds)]
    seeds: (u64, u64),
    /// Seeds side by side: each has some processes, and threads of a machine that is too busy judge wrongly
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=32))]
    jobs: u64,
    /// The daemon; the one beside this program by default
    #[arg(long)]
    mothpier: Option<PathBuf>,
    /// Where configurations and logs of seeds that broke something are kept
    #[arg(long, value_name = "FOLDER", default_value = "found")]
    out: PathBuf,
}

/// Plays the seeds.
pub fn execute(args: &Soak) -> Result<Verdict, String> {
    let program = world::program(args.mothpier.as_ref())?;
    let (first, end) = args.seeds;
    let next = AtomicU64::new(first);
    let (failed, hindered) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
    let worker = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= end {
                return;
            }
            let folder = args.out.join(format!("soak-{seed}"));
            match play_one(seed, &program, &folder) {
                Ok(outcome) => {
                    println!("{outcome}");
                    if outcome.passed() {
                        let _ = std::fs::remove_dir_all(&folder);
                    } else if let Ok(mut failed) = failed.lock() {
                        failed.push(seed);
                        let _ = std::fs::write(folder.join("events"), outcome.events.join("\n") + "\n");
                    }
                }
                Err(what) => {
                    println!("seed {seed}: not played: {what}");
                    hindered.lock().map(|mut hindered| hindered.push(seed)).unwrap_or_default();
                }
            }
        }
    };
    thread::scope(|scope| {
        (0..args.jobs).for_each(|_| drop(scope.spawn(worker)));
    });
    let failed = failed.into_inner().unwrap_or_default();
    let hindered = hindered.into_inner().unwrap_or_default();
    let count = end.saturating_sub(first);
    println!(
        "soak: {count} seeds, {} broken {failed:?}, {} not played {hindered:?}",
        failed.len(),
        hindered.len()
    );
    match (hindered.is_empty(), failed.is_empty()) {
        (false, _) => Err("not all seeds could be played".into()),
        (true, true) => Ok(Verdict::Good),
        (true, false) => Ok(Verdict::Broken),
    }
}

/// Plays one seed on a runtime of this thread's own.
fn play_one(seed: u64, program: &Path, folder: &Path) -> Result<Outcome, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run_seed(seed, program, folder))
}
