//! `chalksill sim`: one run, many, shrinking, replaying, plotting.

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

/// The subcommands.
#[derive(Subcommand)]
pub enum Sim {
    /// Plays one run and prints its figures; exit code 1 where a rule was broken
    Run(Run),
    /// Plays many seeds on all cores; exit code 1 where a rule was broken, and a replay file for each such seed
    Explore(explore::Explore),
    /// Cuts the faults of a replay file down to what is needed to break the same rule
    Shrink(Shrink),
    /// Plays a replay file again; exit code 0 where it ends in the same digest, 1 where it does not
    Replay(Again),
    /// Draws a report (of run --json) as one page of SVG
    Plot(Plot),
}

/// One run.
#[derive(Args)]
pub struct Run {
    /// The scenario, a TOML file
    scenario: PathBuf,
    /// The seed of everything that is left to chance
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Writes all that is seen, and the logs of the nodes, to this file
    #[arg(long)]
    trace: Option<PathBuf>,
    /// Prints the figures as JSON
    #[arg(long)]
    json: bool,
    /// Leaves out all faults
    #[arg(long)]
    calm: bool,
    /// Writes a replay file of the run
    #[arg(long)]
    record: Option<PathBuf>,
    /// Plants a fault in the nodes, to see the checker find it
    #[arg(long, value_parser = mutant)]
    mutant: Option<Mutant>,
}

/// Shrinking.
#[derive(Args)]
pub struct Shrink {
    /// The replay file; it must break a rule
    file: PathBuf,
    /// Where the smaller one goes; beside the file, ending in .small.json, by default
    #[arg(short, long)]
    out: Option<PathBuf>,
}

/// Replaying.
#[derive(Args)]
pub struct Again {
    /// The replay file
    file: PathBuf,
    /// Writes all that is seen, and the logs of the nodes, to this file
    #[arg(long)]
    trace: Option<PathBuf>,
    /// Prints the figures as JSON
    #[arg(long)]
    json: bool,
}

/// Plotting.
#[derive(Args)]
pub struct Plot {
    /// The report, as run --json prints it
    report: PathBuf,
    /// Where the page goes
    #[arg(short, long, default_value = "out.svg")]
    out: PathBuf,
}

/// Reads the name of a mutant.
pub fn mutant(name: &str) -> Result<Mutant, String> {
    let quoted = serde_json::Value::String(name.into());
    let names = || {
        let all = Mutant::ALL.iter().filter_map(|(m, _)| serde_json::to_value(m).ok());
        all.filter_map(|v| v.as_str().map(str::to_owned)).collect::<Vec<_>>().join(", ")
    };
    serde_json::from_value(quoted).map_err(|_| format!("no mutant; there are {}", names()))
}

/// Carries a subcommand out.
pub fn execute(sim: Sim) -> Result<Verdict, String> {
    match sim {
        Sim::Run(args) => one(&args),
        Sim::Explore(args) => explore::execute(&args),
        Sim::Shrink(args) => shrink(&args),
        Sim::Replay(args) => again(&args),
        Sim::Plot(args) => {
            plot::draw(&files::report(&args.report)?, &args.out)?;
            println!("{}", args.out.display());
            Ok(Verdict::Good)
        }
    }
}

/// Plays a plan, with all that is seen written to a file where one is named.
pub fn traced(plan: &RunPlan, trace: Option<&PathBuf>) -> Result<Report, String> {
    let Some(path) = trace else { return Ok(run(plan, None)) };
    let failed = |e: std::io::Error| format!("cannot write {}: {e}", path.display());
    let file = Rc::new(RefCell::new(BufWriter::new(std::fs::File::create(path).map_err(failed)?)));
    let broken = Rc::new(RefCell::new(None));
    let report = {
        let (file, broken) = (file.clone(), broken.clone());
        let sink = move |line: &str| {
            if let Err(e) = writeln!(file.borrow_mut(), "{line}") {
                broken.borrow_mut().get_or_insert(e);
            }
        };
        run(plan, Some(Rc::new(RefCell::new(sink))))
    };
    if let Some(e) = broken.borrow_mut().take() {
        return Err(failed(e));
    }
    file.borrow_mut().flush().map_err(failed)?;
    Ok(report)
}

fn one(args: &Run) -> Result<Verdict, String> {
    let scenario = files::scenario(&args.scenario)?;
    let script = args.calm.then(Vec::new);
    let plan = RunPlan { scenario, seed: args.seed, script, mutant: args.mutant };
    let begin = Instant::now();
    let report = traced(&plan, args.trace.as_ref())?;
    if let Some(path) = &args.record {
        files::write(path, &files::json(&Replay::of(&plan, &plan.script(), &report))?)?;
    }
    if args.json {
        println!("{}", files::json(&report)?);
    } else {
        print(&report, begin.elapsed().as_secs_f64());
    }
    Ok(if report.violations.is_empty() { Verdict::Good } else { Verdict::Broken })
}

/// Prints the figures of a run for a person.
pub fn print(report: &Report, real_s: f64) {
    let row = |name: &str, c: &Counts| {
        println!(
            "{name:<16} {:>8} {:>8.1}% {:>7.1}% {:>8.1}% {:>7.1}% {:>10.1}%",
            c.offered,
            100.0 * c.in_time_share(),
            part(c.late, c.offered),
            part(c.refused, c.offered),
            part(c.failed, c.offered),
            part(c.unanswered, c.offered)
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
    report.classes.iter().for_each(|(name, c)| row(name, c));
    report.tenants.iter().for_each(|(name, c)| row(name, c));
    let l = report.latency;
    println!(
        "latency of those served, ms: p50 {:.1}, p95 {:.1}, p99 {:.1}, p99.9 {:.1}, max {:.1}",
        l.p50, l.p95, l.p99, l.p999, l.max
    );
    println!(
        "boxes: {} attempts, {} misses, {} turned away; origin: {} calls; tries a first try {:.2}",
        report.attempts, report.misses, report.turned_away, report.origin_calls, report.tries
    );
    println!(
        "second answers: {}, {} of them before others were answered; {} requests, {:.3} attempts and calls each",
        report.second_answers,
        report.second_answers_before_others,
        report.requests,
        report.attempts_per_request()
    );
    println!("refusals: {} with {:.0} ms advice in the mean", report.refusals, report.advice_ms);
    println!(
        "{:.1} virtual seconds in {real_s:.2} s, {} packets, digest {}",
        report.virtual_s, report.packets, report.digest
    );
    match report.violations.as_slice() {
        [] => println!("rules kept"),
        broken => broken.iter().for_each(|v| println!("BROKEN {v}")),
    }
}

fn part(of: u64, all: u64) -> f64 {
    100.0 * of as f64 / all.max(1) as f64
}

fn again(args: &Again) -> Result<Verdict, String> {
    let replay = files::replay(&args.file)?;
    let begin = Instant::now();
    let report = traced(&replay.plan(), args.trace.as_ref())?;
    if args.json {
        println!("{}", files::json(&report)?);
    } else {
        print(&report, begin.elapsed().as_secs_f64());
    }
    if report.digest == replay.digest {
        eprintln!("the same digest as in the file");
        return Ok(Verdict::Good);
    }
    eprintln!(
        "another digest than the file's {}: the program has changed, or is not deterministic",
        replay.digest
    );
    Ok(Verdict::Broken)
}

/// Cuts faults away for as long as the same rule breaks: halves first, then one by one.
fn shrink(args: &Shrink) -> Result<Verdict, String> {
    let replay = files::replay(&args.file)?;
    let mut plan = replay.plan();
    let first = run(&plan, None);
    let Some(rule) = first.violations.first().map(|v| v.rule) else {
        return Err(format!(
            "{}: it breaks no rule now, so there is nothing to cut down to",
            args.file.display()
        ));
    };
    let mut script: Vec<Fault> = replay.script.clone();
    let (whole, mut runs) = (script.len(), 0);
    let mut breaks = |plan: &mut RunPlan, script: &[Fault]| {
        runs += 1;
        plan.script = Some(script.to_vec());
        run(plan, None).violations.iter().any(|v| v.rule == rule)
    };
    let mut size = script.len().div_ceil(2);
    while size > 0 && !script.is_empty() {
        let (mut at, mut cut) = (0, false);
        while at < script.len() {
            let mut fewer = script.clone();
            fewer.drain(at..(at + size).min(fewer.len()));
            if breaks(&mut plan, &fewer) {
                (script, cut) = (fewer, true);
            } else {
                at += size;
            }
        }
        if !cut || size > 1 {
            size /= 2;
        }
    }
    plan.script = Some(script.clone());
    // No longer than needed: the end of the arrivals goes to just after the break.
    let report = run(&plan, None);
    let last = report.violations.iter().find(|v| v.rule == rule).map_or(0.0, |v| v.at_ms);
    let shorter = (last / 1e3 + 0.5).min(plan.scenario.seconds);
    let mut short = plan.clone();
    short.scenario.seconds = shorter.max(0.1);
    let cut = run(&short, None);
    let (plan, report) =
        if cut.violations.iter().any(|v| v.rule == rule) { (short, cut) } else { (plan, report) };
    let out = args.out.clone().unwrap_or_else(|| args.file.with_extension("small.json"));
    files::write(&out, &files::json(&Replay::of(&plan, &script, &report))?)?;
    println!(
        "{}: {} of {whole} faults, {:.1} of {:.1} s, after {runs} runs",
        out.display(),
        script.len(),
        plan.scenario.seconds,
        replay.scenario.seconds
    );
    script.iter().for_each(|f| println!("  {:>8} ms  {:?}", f.at_ms, f.what));
    report.violations.iter().take(3).for_each(|v| println!("BROKEN {v}"));
    Ok(Verdict::Broken)
}
