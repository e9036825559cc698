//! `chalksill sim explore`: many seeds on all cores.

use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Instant;

use chalksill_world::mutant::Mutant;
use chalksill_world::report::Report;
use chalksill_world::rules::Rule;
use chalksill_world::sim::{Plan, run};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;

use crate::Verdict;
use crate::files::{self, Replay};

/// Many runs.
#[derive(Args)]
pub struct Explore {
    /// The scenario, a TOML file
    scenario: PathBuf,
    /// The seeds, from and to (not included), as 0..1000
    #[arg(long, value_parser = seeds, default_value = "0..100")]
    seeds: (u64, u64),
    /// Runs side by side; all cores by default
    #[arg(long)]
    jobs: Option<usize>,
    /// Where replay files of broken seeds go
    #[arg(long, default_value = "found")]
    out: PathBuf,
    /// Prints the figures as JSON
    #[arg(long)]
    json: bool,
    /// Ends at the first seed that breaks a rule
    #[arg(long)]
    first: bool,
    /// Plants a fault in the nodes, to see within how many seeds the checker finds it
    #[arg(long, value_parser = crate::sim::mutant)]
    mutant: Option<Mutant>,
}

/// What came of many runs.
#[derive(Serialize)]
struct Summary {
    scenario: String,
    seeds: u64,
    jobs: usize,
    /// Seeds that broke a rule, with the first rule of each.
    broken: BTreeMap<u64, Rule>,
    virtual_s: f64,
    real_s: f64,
    offered: u64,
    tries: f64,
    packets: u64,
    in_time: f64,
    /// The digests of all runs, in the order of the seeds, as one number.
    digest: String,
}

/// Reads a range of seeds.
pub fn seeds(text: &str) -> Result<(u64, u64), String> {
    let (from, to) = text.split_once("..").ok_or("two numbers, as 0..1000")?;
    let number = |t: &str| t.trim().parse::<u64>().map_err(|e| format!("{t:?}: {e}"));
    let range = (number(from)?, number(to)?);
    if range.0 >= range.1 { Err("the range is empty".into()) } else { Ok(range) }
}

/// Threads that this machine runs at once.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// Plays the seeds of a range on several threads and gives each report as it comes; ends early when told `false`.
pub fn play(
    plan_of: impl Fn(u64) -> Plan + Sync,
    (from, to): (u64, u64),
    jobs: usize,
    mut each: impl FnMut(u64, Plan, Report) -> bool,
) {
    let next = AtomicU64::new(from);
    std::thread::scope(|scope| {
        let (done, reports) = mpsc::sync_channel(jobs);
        for _ in 0..jobs.clamp(1, 256) {
            let (done, next, plan_of) = (done.clone(), &next, &plan_of);
            scope.spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= to {
                        return;
                    }
                    let plan = plan_of(seed);
                    let report = run(&plan, None);
                    if done.send((seed, plan, report)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(done);
        for (seed, plan, report) in reports {
            if !each(seed, plan, report) {
                next.store(to, Ordering::Relaxed);
                return;
            }
        }
    });
}

/// Carries the subcommand out.
pub fn execute(args: &Explore) -> Result<Verdict, String> {
    let scenario = files::scenario(&args.scenario)?;
    let jobs = args.jobs.unwrap_or(cores()).clamp(1, 256);
    let plan = |seed| Plan { scenario: scenario.clone(), seed, script: None, mutant: args.mutant };
    let count = args.seeds.1 - args.seeds.0;
    let bar = if std::io::stderr().is_terminal() { ProgressBar::new(count) } else { ProgressBar::hidden() };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} seeds, {msg} broken, {eta} left");
    bar.set_style(style.map_err(|e| e.to_string())?);
    bar.set_message("0");
    let begin = Instant::now();
    let mut broken = BTreeMap::new();
    let mut failed = None;
    let mut digests = BTreeMap::new();
    let (mut virtual_s, mut offered, mut tries, mut packets, mut in_time) = (0.0, 0, 0.0, 0, 0);
    play(plan, args.seeds, jobs, |seed, plan, report| {
        bar.inc(1);
        virtual_s += report.virtual_s;
        offered += report.all.offered;
        in_time += report.all.in_time;
        tries += report.tries * report.all.offered as f64;
        packets += report.packets;
        digests.insert(seed, report.digest.clone());
        if let Some(first) = report.violations.first() {
            broken.insert(seed, first.rule);
            bar.set_message(broken.len().to_string());
            let path = args.out.join(format!("{}-{seed}.json", scenario.name));
            let written = files::json(&Replay::of(&plan, &plan.script(), &report))
                .and_then(|text| files::write(&path, &text));
            if !args.json {
                bar.suspend(|| println!("seed {seed}: BROKEN {first} ({})", path.display()));
            }
            if let Err(e) = written {
                failed = Some(e);
                return false;
            }
            return !args.first;
        }
        true
    });
    bar.finish_and_clear();
    if let Some(e) = failed {
        return Err(e);
    }
    let digest = digests
        .values()
        .fold(0u64, |all, one| all.rotate_left(7) ^ u64::from_str_radix(one, 16).unwrap_or(0));
    let summary = Summary {
        scenario: scenario.name.clone(),
        seeds: digests.len() as u64,
        jobs,
        virtual_s,
        real_s: begin.elapsed().as_secs_f64(),
        offered,
        tries,
        packets,
        in_time: in_time as f64 / offered.max(1) as f64,
        digest: format!("{digest:016x}"),
        broken,
    };
    if args.json {
        println!("{}", files::json(&summary)?);
    } else {
        println!(
            "{}: {} seeds on {} threads, {} broken; {:.0} virtual s in {:.1} s ({:.0} a second and thread), \
             {:.0} tries a second, {:.1}% in time, digest {}",
            summary.scenario,
            summary.seeds,
            jobs,
            summary.broken.len(),
            virtual_s,
            summary.real_s,
            virtual_s / summary.real_s / jobs as f64,
            tries / summary.real_s,
            100.0 * summary.in_time,
            summary.digest
        );
    }
    Ok(if summary.broken.is_empty() { Verdict::Good } else { Verdict::Broken })
}
