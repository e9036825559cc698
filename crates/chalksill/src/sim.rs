//! `chalksill sim`: single runs, seed exploration, shrinking, replaying and plotting.

use std::cell::RefCell;
use std::io::{BufWriter, Write};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;

use chalksill_world::faults::Fault;
use chalksill_world::mutant::Mutant;
use chalksill_world::report::{Counts, Report};
use chalksill_world::sim::{RunPlan, run};
use clap::{Args, Subcommand};

use crate::files::{self, Replay};
use crate::{Verdict, explore, plot};

/// Subcommands of `chalksill sim`.
#[derive(Subcommand)]
pub enum Sim {
    /// Executes one run and prints its report; exit code 1 where a rule was broken
    Run(Run),
    /// Runs many seeds on all cores; exit code 1 where a rule was broken, and a replay file for each such seed
    Explore(explore::Explore),
    /// Reduces the faults of a replay file to those needed to break the same rule
    Shrink(Shrink),
    /// Repeats the run of a replay file; exit code 0 where it gives the same digest, 1 where it does not
    Replay(ReplayArgs),
    /// Draws a report (of run --json) as a one-page SVG
    Plot(Plot),
}

/// Arguments of `sim run`.
#[derive(Args)]
pub struct Run {
    /// The scenario, a TOML file
    scenario: PathBuf,
    /// The seed of everything that is random
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Writes a trace of all observed events, and the logs of the nodes, to this file
    #[arg(long)]
    trace: Option<PathBuf>,
    /// Prints the report as JSON
    #[arg(long)]
    json: bool,
    /// Leaves out all faults
    #[arg(long)]
    calm: bool,
    /// Writes a replay file of the run
    #[arg(long)]
    record: Option<PathBuf>,
    /// Plants a fault in the nodes, to test that the checker finds it
    #[arg(long, value_parser = parse_mutant)]
    mutant: Option<Mutant>,
}

/// Arguments of `sim shrink`.
#[derive(Args)]
pub struct Shrink {
    /// The replay file; it must break a rule
    file: PathBuf,
    /// Where the reduced replay file is written; by default beside the file, ending in .small.json
    #[arg(short, long)]
    out: Option<PathBuf>,
}

/// Arguments of `sim replay`.
#[derive(Args)]
pub struct ReplayArgs {
    /// The replay file
    file: PathBuf,
    /// Writes a trace of all observed events, and the logs of the nodes, to this file
    #[arg(long)]
    trace: Option<PathBuf>,
    /// Prints the report as JSON
    #[arg(long)]
    json: bool,
}

/// Arguments of `sim plot`.
#[derive(Args)]
pub struct Plot {
    /// The report, as run --json prints it
    report: PathBuf,
    /// Where the page is written
    #[arg(short, long, default_value = "out.svg")]
    out: PathBuf,
}

/// Parses the name of a mutant.
pub fn parse_mutant(name: &str) -> Result<Mutant, String> {
    let quoted = serde_json::Value::String(name.into());
    let names = || {
        let all = Mutant::ALL.iter().filter_map(|(m, _)| serde_json::to_value(m).ok());
        all.filter_map(|v| v.as_str().map(str::to_owned)).collect::<Vec<_>>().join(", ")
    };
    serde_json::from_value(quoted).map_err(|_| format!("unknown mutant; the mutants are {}", names()))
}

/// Executes a subcommand.
pub fn execute(sim: Sim) -> Result<Verdict, String> {
    match sim {
        Sim::Run(args) => run_one(&args),
        Sim::Explore(args) => explore::execute(&args),
        Sim::Shrink(args) => shrink(&args),
        Sim::Replay(args) => replay_file(&args),
        Sim::Plot(args) => {
            plot::draw(&files::read_report(&args.report)?, &args.out)?;
            println!("{}", args.out.display());
            Ok(Verdict::Good)
        }
    }
}

/// Executes a run, and writes every observed event to a trace file where one is named.
pub fn run_with_trace(plan: &RunPlan, trace: Option<&PathBuf>) -> Result<Report, String> {
    let Some(path) = trace else { return Ok(run(plan, None)) };
    let trace_error = |e: std::io::Error| format!("cannot write {}: {e}", path.display());
    let file = Rc::new(RefCell::new(BufWriter::new(std::fs::File::create(path).map_err(trace_error)?)));
    let write_error = Rc::new(RefCell::new(None));
    let report = {
        let (file, write_error) = (file.clone(), write_error.clone());
        let sink = move |line: &str| {
            if let Err(e) = writeln!(file.borrow_mut(), "{line}") {
                write_error.borrow_mut().get_or_insert(e);
            }
        };
        run(plan, Some(Rc::new(RefCell::new(sink))))
    };
    if let Some(e) = write_error.borrow_mut().take() {
        return Err(trace_error(e));
    }
    file.borrow_mut().flush().map_err(trace_error)?;
    Ok(report)
}

fn run_one(args: &Run) -> Result<Verdict, String> {
    let scenario = files::read_scenario(&args.scenario)?;
    let script = args.calm.then(Vec::new);
    let plan = RunPlan { scenario, seed: args.seed, script, mutant: args.mutant };
    let begin = Instant::now();
    let report = run_with_trace(&plan, args.trace.as_ref())?;
    if let Some(path) = &args.record {
        files::write(path, &files::to_json(&Replay::from_run(&plan, &plan.script(), &report))?)?;
    }
    if args.json {
        println!("{}", files::to_json(&report)?);
    } else {
        print_report(&report, begin.elapsed().as_secs_f64());
    }
    Ok(if report.violations.is_empty() { Verdict::Good } else { Verdict::Broken })
}

/// Prints the report of a run as text.
pub fn print_report(report: &Report, real_s: f64) {
    let row = |name: &str, counts: &Counts| {
        println!(
            "{name:<16} {:>8} {:>8.1}% {:>7.1}% {:>8.1}% {:>7.1}% {:>10.1}%",
            counts.offered,
            100.0 * counts.in_time_share(),
            percentage(counts.late, counts.offered),
            percentage(counts.refused, counts.offered),
            percentage(counts.failed, counts.offered),
            percentage(counts.unanswered, counts.offered)
        );
    };
    println!("{}, seed {}", report.scenario, report.seed);
    for (at, what) in &report.faults {
        println!("  {:>8.0} ms  {what}", at);
    }
    println!(
        "{:<16} {:>8} {:>9} {:>8} {:>9} {:>8} {:>11}",
        "", "offered", "in time", "late", "refused", "failed", "unanswered"
    );
    row("all", &report.all);
    report.classes.iter().for_each(|(name, counts)| row(name, counts));
    report.tenants.iter().for_each(|(name, counts)| row(name, counts));
    let latency = report.latency;
    println!(
        "latency of served requests, ms: p50 {:.1}, p95 {:.1}, p99 {:.1}, p99.9 {:.1}, max {:.1}",
        latency.p50, latency.p95, latency.p99, latency.p999, latency.max
    );
    println!(
        "cache servers: {} attempts, {} misses, {} refused as busy; origin: {} calls; client requests per first request {:.2}",
        report.attempts, report.misses, report.turned_away, report.origin_calls, report.tries
    );
    println!(
        "duplicate responses: {}, {} of them while a later command waited; {} requests, {:.3} attempts and calls each",
        report.second_answers,
        report.second_answers_before_others,
        report.requests,
        report.attempts_per_request()
    );
    println!("refusals: {}, with a mean retry-after of {:.0} ms", report.refusals, report.advice_ms);
    println!(
        "{:.1} virtual seconds in {real_s:.2} s, {} packets, digest {}",
        report.virtual_s, report.packets, report.digest
    );
    match report.violations.as_slice() {
        [] => println!("all rules hold"),
        broken => broken.iter().for_each(|v| println!("BROKEN {v}")),
    }
}

/// `part` in percent of `whole`; 0 where both are.
fn percentage(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

fn replay_file(args: &ReplayArgs) -> Result<Verdict, String> {
    let replay = files::read_replay(&args.file)?;
    let begin = Instant::now();
    let report = run_with_trace(&replay.run_plan(), args.trace.as_ref())?;
    if args.json {
        println!("{}", files::to_json(&report)?);
    } else {
        print_report(&report, begin.elapsed().as_secs_f64());
    }
    if report.digest == replay.digest {
        eprintln!("the digest is the same as in the file");
        return Ok(Verdict::Good);
    }
    eprintln!(
        "the digest differs from the {} of the file: the program has changed, or is not deterministic",
        replay.digest
    );
    Ok(Verdict::Broken)
}

/// Removes faults for as long as the run still breaks the same rule: first half of them at a time, then smaller groups
/// down to single faults.
fn shrink(args: &Shrink) -> Result<Verdict, String> {
    let replay = files::read_replay(&args.file)?;
    let mut plan = replay.run_plan();
    let original = run(&plan, None);
    let Some(rule) = original.violations.first().map(|v| v.rule) else {
        return Err(format!(
            "{}: the run breaks no rule with this program, so there is nothing to shrink",
            args.file.display()
        ));
    };
    let mut script: Vec<Fault> = replay.script.clone();
    let (original_count, mut runs) = (script.len(), 0);
    let mut breaks = |plan: &mut RunPlan, script: &[Fault]| {
        runs += 1;
        plan.script = Some(script.to_vec());
        run(plan, None).violations.iter().any(|v| v.rule == rule)
    };
    let mut size = script.len().div_ceil(2);
    while size > 0 && !script.is_empty() {
        let (mut start, mut reduced) = (0, false);
        while start < script.len() {
            let mut fewer = script.clone();
            fewer.drain(start..(start + size).min(fewer.len()));
            if breaks(&mut plan, &fewer) {
                (script, reduced) = (fewer, true);
            } else {
                start += size;
            }
        }
        if !reduced || size > 1 {
            size /= 2;
        }
    }
    plan.script = Some(script.clone());
    // Shorten the load to end just after the violation, if the shortened run still breaks the rule.
    let report = run(&plan, None);
    let broken_at_ms = report.violations.iter().find(|v| v.rule == rule).map_or(0.0, |v| v.at_ms);
    let short_seconds = (broken_at_ms / 1e3 + 0.5).min(plan.scenario.seconds);
    let mut shortened = plan.clone();
    shortened.scenario.seconds = short_seconds.max(0.1);
    let short_report = run(&shortened, None);
    let (plan, report) = if short_report.violations.iter().any(|v| v.rule == rule) {
        (shortened, short_report)
    } else {
        (plan, report)
    };
    let out = args.out.clone().unwrap_or_else(|| args.file.with_extension("small.json"));
    files::write(&out, &files::to_json(&Replay::from_run(&plan, &script, &report))?)?;
    println!(
        "{}: {} of {original_count} faults, {:.1} of {:.1} s, after {runs} runs",
        out.display(),
        script.len(),
        plan.scenario.seconds,
        replay.scenario.seconds
    );
    script.iter().for_each(|f| println!("  {:>8} ms  {:?}", f.at_ms, f.what));
    report.violations.iter().take(3).for_each(|v| println!("BROKEN {v}"));
    Ok(Verdict::Broken)
}
