//! `chalksill trial`: real nodes as processes, a relay on every way between two parties, faults by a script.

use std::path::PathBuf;

use chalksill_trial::plan::Trial as Plan;
use chalksill_trial::runner::{TrialEnd, run_trial};
use clap::{Args, Subcommand};
use tokio::task::LocalSet;

use crate::{Verdict, files, plot, world};

mod soak;

use soak::Soak;

/// The subcommands.
#[derive(Subcommand)]
pub enum Trial {
    /// Plays a trial and says whether all held that must
    Run(Run),
    /// Plays seeds of drains, ends and new versions under clients that go on, each with processes of its own
    Soak(Soak),
    /// Reads a trial and says what is wrong with it, without playing it
    Check {
        /// The trial, a TOML file
        trial: PathBuf,
    },
}

/// Playing.
#[derive(Args)]
pub struct Run {
    /// The trial, a TOML file
    trial: PathBuf,
    /// The seed of the load, the stand-ins and the ways
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The daemon; the one beside this program by default
    #[arg(long)]
    mothpier: Option<PathBuf>,
    /// An operator's file for all nodes, instead of the world's
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Prints the report as JSON, the nodes' logs included
    #[arg(long)]
    json: bool,
    /// Draws the line of time as SVG
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// Keeps configurations, logs and the report in this folder
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

/// Carries a subcommand out.
pub fn execute(trial: Trial) -> Result<Verdict, String> {
    match trial {
        Trial::Check { trial } => {
            let plan = Plan::read(&trial)?;
            let (nodes, boxes) = (plan.scenario.nodes.count, plan.scenario.boxes.count);
            println!("{}: {nodes} nodes, {boxes} boxes, {} steps", plan.name, plan.steps.len());
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
    let program = world::program(args.mothpier.as_ref())?;
    let folder = world::folder(args.keep.as_ref());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    let ended = LocalSet::new().block_on(&runtime, run_trial(plan, args.seed, &program, &folder));
    if args.keep.is_none() {
        // What is not asked for is not left behind; nothing is lost where that fails.
        let _ = std::fs::remove_dir_all(&folder);
    }
    let report = match ended? {
        TrialEnd::Completed(report) => report,
        TrialEnd::Interrupted => return Err("interrupted; all that was started has ended".into()),
    };
    let json = files::json(&report)?;
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
