//! `chalksill scale real-sockets`: the runs of a plan on loopback sockets.

use std::path::{Path, PathBuf};

use chalksill_scale::real_sockets::{self, Programs, RealSocketsPlan};
use chalksill_scale::record::Run;
use clap::Args;

use super::run::{current_commit, print_record};
use crate::{Verdict, files, world};

/// Arguments of `scale real-sockets`.
#[derive(Args)]
pub struct RealSockets {
    /// The plan, a TOML file
    plan: PathBuf,
    /// The mothpier program; by default the one in the folder of this program
    #[arg(long)]
    mothpier: Option<PathBuf>,
    /// Writes the record to this file
    #[arg(short, long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Prints the record as JSON
    #[arg(long)]
    json: bool,
}

/// Executes the subcommand.
pub fn execute(args: &RealSockets) -> Result<Verdict, String> {
    let text = files::text(&args.plan)?;
    let plan: RealSocketsPlan = toml::from_str(&text).map_err(|e| format!("{}: {e}", args.plan.display()))?;
    execute_plan(&plan, args.mothpier.as_ref(), args.out.as_deref(), args.json)
}

/// Executes the runs of a plan, writes their record to `out` where it is given, and prints it.
pub fn execute_plan(
    plan: &RealSocketsPlan,
    mothpier: Option<&PathBuf>,
    out: Option<&Path>,
    json: bool,
) -> Result<Verdict, String> {
    let chalksill =
        std::env::current_exe().map_err(|e| format!("cannot determine the path of this program: {e}"))?;
    let programs = Programs { chalksill, mothpier: world::mothpier_program(mothpier)? };
    let print_progress = |run: &Run| {
        eprintln!("{} nodes, repetition {}: took {:.1} s", run.size.nodes, run.repetition, run.wall_s);
    };
    let record =
        real_sockets::run(plan, &programs, &current_commit(), print_progress).map_err(|e| e.to_string())?;
    let text = files::to_json(&record)?;
    if let Some(path) = out {
        files::write(path, &(text.clone() + "\n"))?;
    }
    if json {
        println!("{text}");
    } else {
        print_record(&record);
    }
    Ok(Verdict::Good)
}

/// Runs as a worker process until the parent command ends.
pub fn execute_worker() -> Result<Verdict, String> {
    real_sockets::run_worker().map(|()| Verdict::Good).map_err(|e| e.to_string())
}
