//! `chalksill scale real-sockets`: a plan's runs on loopback sockets.

use std::path::PathBuf;
use std::process::Command;

use chalksill_scale::real_sockets::{self, Programs, RealSocketsPlan};
use chalksill_scale::record::Run;
use clap::Args;

use crate::{Verdict, files, world};

/// Running.
#[derive(Args)]
pub struct RealSockets {
    /// The plan, a TOML file
    plan: PathBuf,
    /// The daemon; the one beside this program by default
    #[arg(long)]
    mothpier: Option<PathBuf>,
    /// Where the record goes, as JSON; standard output by default
    #[arg(long, short, value_name = "FILE")]
    out: Option<PathBuf>,
}

/// Plays the runs, and writes the record.
pub fn execute(args: &RealSockets) -> Result<Verdict, String> {
    let text = files::text(&args.plan)?;
    let plan: RealSocketsPlan = toml::from_str(&text).map_err(|e| format!("{}: {e}", args.plan.display()))?;
    let chalksill = std::env::current_exe().map_err(|e| format!("where is this program? {e}"))?;
    let programs = Programs { chalksill, mothpier: world::program(args.mothpier.as_ref())? };
    let record = real_sockets::run(&plan, &programs, &commit(), tell).map_err(|e| e.to_string())?;
    let json = files::json(&record)?;
    match &args.out {
        Some(path) => files::write(path, &(json + "\n"))?,
        None => println!("{json}"),
    }
    Ok(Verdict::Good)
}

/// A line for each run that has ended.
fn tell(run: &Run) {
    eprintln!("{} nodes, repetition {}: {:.1} s", run.size.nodes, run.repetition, run.wall_s);
    for (role, cost) in &run.roles {
        let cpu = cost.user_cpu.zip(cost.system_cpu).map_or(f64::NAN, |(user, system)| user + system);
        eprintln!(
            "  {role:?} x{}: {:.2}+{:.2} messages/s, {:.0}+{:.0} bytes/s in+out, {:.3}% of a core, {:.2} MB, {} connections",
            cost.members,
            cost.messages_in_per_s,
            cost.messages_out_per_s,
            cost.bytes_in_per_s,
            cost.bytes_out_per_s,
            cpu * 100.0,
            cost.resident_bytes.unwrap_or(f64::NAN) / 1e6,
            cost.connections,
        );
    }
    for spread in &run.spreads {
        eprintln!(
            "  {:?}: {} of {}, p50 {:.3} s, p99 {:.3} s, last {:.3} s",
            spread.change, spread.acted, spread.expected, spread.p50_s, spread.p99_s, spread.last_s
        );
    }
}

/// The commit of the tree that this is run in, as git names it.
fn commit() -> String {
    let told =
        Command::new("git").args(["describe", "--always", "--dirty", "--abbrev=12", "--exclude=*"]).output();
    let told = told.ok().filter(|output| output.status.success());
    told.map_or("unknown".into(), |output| String::from_utf8_lossy(&output.stdout).trim().to_owned())
}
