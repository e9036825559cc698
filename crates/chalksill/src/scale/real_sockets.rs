//! `chalksill scale real-sockets`: a plan's runs on loopback sockets.

use std::path::{Path, PathBuf};

use chalksill_scale::real_sockets::{self, Programs, RealSocketsPlan};
use chalksill_scale::record::Run;
use clap::Args;

use super::run::{commit, print};
use crate::{Verdict, files, world};

/// Running.
#[derive(Args)]
pub struct RealSockets {
    /// The plan, a TOML file
    plan: PathBuf,
    /// The daemon; the one beside this program by default
    #[arg(long)]
    mothpier: Option<PathBuf>,
    /// Writes the record to this file
    #[arg(short, long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Prints the record as JSON
    #[arg(long)]
    json: bool,
}

/// Plays the runs of a plan's file.
pub fn execute(args: &RealSockets) -> Result<Verdict, String> {
    let text = files::text(&args.plan)?;
    let plan: RealSocketsPlan = toml::from_str(&text).map_err(|e| format!("{}: {e}", args.plan.display()))?;
    execute_plan(&plan, args.mothpier.as_ref(), args.out.as_deref(), args.json)
}

/// Plays the runs of a plan, writes the record where it is to go, and prints it.
pub fn execute_plan(
    plan: &RealSocketsPlan,
    mothpier: Option<&PathBuf>,
    out: Option<&Path>,
    json: bool,
) -> Result<Verdict, String> {
    let chalksill = std::env::current_exe().map_err(|e| format!("where is this program? {e}"))?;
    let programs = Programs { chalksill, mothpier: world::program(mothpier)? };
    let told = |run: &Run| {
        eprintln!("{} nodes, repetition {}: took {:.1} s", run.size.nodes, run.repetition, run.wall_s);
    };
    let record = real_sockets::run(plan, &programs, &commit(), told).map_err(|e| e.to_string())?;
    let text = files::json(&record)?;
    if let Some(path) = out {
        files::write(path, &(text.clone() + "\n"))?;
    }
    if json {
        println!("{text}");
    } else {
        print(&record);
    }
    Ok(Verdict::Good)
}

/// Is a worker process, until the command ends.
pub fn work() -> Result<Verdict, String> {
    real_sockets::run_worker().map(|()| Verdict::Good).map_err(|e| e.to_string())
}
