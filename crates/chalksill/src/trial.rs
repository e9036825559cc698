//! `chalksill trial`: real nodes as processes, a relay on each link between two endpoints, and scripted faults.

use std::path::PathBuf;

use chalksill_trial::plan::Trial as Plan;
use chalksill_trial::runner::{TrialEnd, run_trial};
use clap::{Args, Subcommand};
use tokio::task::LocalSet;

use crate::{Verdict, files, plot, world};

mod soak;

use soak::Soak;

/// Subcommands of `chalksill trial`.
#[derive(Subcommand)]
pub enum Trial {
    /// Runs a trial and reports whether all of its expectations hold
    Run(Run),
    /// Runs seeds of drains, process ends and upgrades under clients that continue, each seed with processes of its own
    Soak(Soak),
    /// Checks the file of a trial without running it
    Check {
        /// The trial, a TOML file
        trial: PathBuf,
    },
}

/// Arguments of `trial run`.
#[derive(Args)]
pub struct Run {
    /// The trial, a TOML file
    trial: PathBuf,
    /// The seed of the load, the stubs and the links
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The mothpier program; by default the one in the folder of this program
    #[arg(long)]
    mothpier: Option<PathBuf>,
    /// The operator configuration of all nodes, instead of the one in the trial's environment
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Prints the report as JSON, including the logs of the nodes
    #[arg(long)]
    json: bool,
    /// Draws the timeline as SVG
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// Keeps configurations, logs and the report in this folder
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

/// Executes a subcommand.
pub fn execute(trial: Trial) -> Result<Verdict, String> {
    match trial {
        Trial::Check { trial } => {
            let plan = Plan::read(&trial)?;
            let (nodes, boxes) = (plan.scenario.nodes.count, plan.scenario.boxes.count);
            println!("{}: {nodes} nodes, {boxes} cache servers, {} steps", plan.name, plan.steps.len());
            Ok(Verdict::Good)
        }
        Trial::Run(run) => execute_run(&run),
        Trial::Soak(soak) => soak::execute(&soak),
    }
}

fn execute_run(args: &Run) -> Result<Verdict, String> {
    let mut plan = Plan::read(&args.trial)?;
    if let Some(path) = &args.operator {
        plan.scenario.nodes.operator = files::text(path)?;
        plan.scenario.validate().map_err(|e| format!("{}: {e}", path.display()))?;
    }
    let program = world::mothpier_program(args.mothpier.as_ref())?;
    let folder = world::run_folder(args.keep.as_ref());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    let ended = LocalSet::new().block_on(&runtime, run_trial(plan, args.seed, &program, &folder));
    if args.keep.is_none() {
        // Files are kept only with --keep. A failure to remove them does no harm.
        let _ = std::fs::remove_dir_all(&folder);
    }
    let report = match ended? {
        TrialEnd::Completed(report) => report,
        TrialEnd::Interrupted => return Err("interrupted; all processes that were started have ended".into()),
    };
    let json = files::to_json(&report)?;
    if let Some(folder) = &args.keep {
        files::write(&folder.join("report.json"), &json)?;
        let lines: Vec<String> = report
            .log
            .iter()
            .map(|l| format!("{:9.3} n{} {}", l.at_s - report.begin_s, l.node, l.text))
            .collect();
        files::write(&folder.join("all.log"), &(lines.join("\n") + "\n"))?;
    }
    if let Some(path) = &args.svg {
        plot::draw(&report.world, path)?;
    }
    if args.json {
        println!("{json}");
    } else {
        println!("{report}");
    }
    Ok(if report.passed() { Verdict::Good } else { Verdict::Broken })
}
