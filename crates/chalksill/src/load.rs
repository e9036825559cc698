//! `chalksill load storm`: an outage, thousands of clients that come back, and how the site fares.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use chalksill_world::live::LoopbackEnvironment;
use chalksill_world::report::Report;
use chalksill_world::scenario::Scenario;
use chalksill_world::sim::{RunPlan, run};
use chalksill_world::storm::{Outage, OutageTarget, Recovery};
use clap::{Args, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;

use crate::explore::{cores, play, seeds};
use crate::{Verdict, files, plot, sim, world};

/// The subcommands.
#[derive(Subcommand)]
pub enum Load {
    /// Plays an outage and the storm after it on the virtual clock: when is the site back, at what cost
    Storm(Storm),
}

/// What goes down.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum What {
    /// All boxes; they come back cold and empty
    Boxes,
    /// All nodes; every connection is lost
    Nodes,
    /// Both
    Site,
}

/// A part of what nodes do in a storm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Part {
    /// All but the door: nodes notice nothing
    All,
    /// Advice by a place in line
    Advice,
    /// Repeats held to a part of the first tries
    Repeats,
    /// The bounded rate of new connections
    Door,
}

/// Storms.
#[derive(Args)]
pub struct Storm {
    /// The scenario, a TOML file
    scenario: PathBuf,
    /// So many clients with a connection each, instead of the scenario's
    #[arg(long)]
    clients: Option<usize>,
    /// Requests a second, instead of the scenario's
    #[arg(long)]
    rate: Option<f64>,
    /// What goes down
    #[arg(long, value_enum, default_value = "boxes")]
    hit: What,
    /// When, in milliseconds
    #[arg(long, default_value_t = 8000)]
    at_ms: u64,
    /// For how long, in milliseconds
    #[arg(long, default_value_t = 2000)]
    outage_ms: u64,
    /// On real loopback sockets and real mothpier processes, in real time; the first seed alone
    #[arg(long)]
    real: bool,
    /// With --real, the daemon; the one beside this program by default
    #[arg(long, requires = "real")]
    mothpier: Option<PathBuf>,
    /// With --real, where configurations and logs of the nodes go
    #[arg(long, requires = "real")]
    folder: Option<PathBuf>,
    /// The seeds, from and to (not included), as 0..200
    #[arg(long, value_parser = seeds, default_value = "0..4")]
    seeds: (u64, u64),
    /// Runs side by side; all cores by default
    #[arg(long)]
    jobs: Option<usize>,
    /// Parts of the damping that the nodes go without
    #[arg(long, value_enum, value_delimiter = ',')]
    without: Vec<Part>,
    /// Prints the figures as JSON
    #[arg(long)]
    json: bool,
    /// Draws the first seed's run as SVG
    #[arg(long)]
    svg: Option<PathBuf>,
    /// Writes all that is seen with the first seed, and the logs of the nodes, to this file
    #[arg(long)]
    trace: Option<PathBuf>,
    /// Writes the first seed's figures as JSON, as sim run --json prints them
    #[arg(long)]
    report: Option<PathBuf>,
}

/// A figure over all seeds: the median and the 95th percentile.
#[derive(Clone, Copy, Serialize)]
struct Spread {
    median: f64,
    p95: f64,
}

impl Spread {
    fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let at = |part: f64| values.get(((values.len() as f64 * part) as usize).min(values.len().max(1) - 1));
        Spread { median: at(0.5).copied().unwrap_or(0.0), p95: at(0.95).copied().unwrap_or(0.0) }
    }
}

/// What came of all seeds.
#[derive(Serialize)]
struct Summary {
    scenario: String,
    clients: usize,
    rate: f64,
    outage: Outage,
    without: Vec<Part>,
    seeds: usize,
    /// Seconds until it was back; those that never were count with the time that was left.
    recovered_s: Spread,
    /// Seeds in which it was not back before the load ended.
    never: usize,
    before: Spread,
    after: Spread,
    amplification: Spread,
    worst_tenant: Spread,
    connects_a_second: Spread,
    /// Seeds in which a cold box was pushed over.
    fell: usize,
    /// Seeds that broke a rule.
    broken: usize,
    real_s: f64,
}

/// Carries the subcommand out.
pub fn execute(load: Load) -> Result<Verdict, String> {
    match load {
        Load::Storm(args) => storm(&args),
    }
}

fn scenario(args: &Storm) -> Result<Scenario, String> {
    let mut scenario = files::scenario(&args.scenario)?;
    scenario.load.callers = args.clients.unwrap_or(scenario.load.callers);
    scenario.load.rate = args.rate.unwrap_or(scenario.load.rate);
    scenario.nodes.operator = without(&scenario.nodes.operator, &args.without)?;
    scenario.validate().map_err(|e| e.to_string())?;
    if (args.at_ms + args.outage_ms) as f64 >= scenario.seconds * 1e3 {
        return Err(format!("the outage ends after the load, which lasts {} s", scenario.seconds));
    }
    Ok(scenario)
}

/// An operator's file with parts of the damping switched off.
fn without(text: &str, parts: &[Part]) -> Result<String, String> {
    let mut operator: toml::Table = text.parse().map_err(|e| format!("nodes.operator: {e}"))?;
    let storm = operator.entry("storm").or_insert_with(|| toml::Table::new().into());
    let storm = storm.as_table_mut().ok_or("nodes.operator: storm is no table")?;
    for part in parts {
        let (key, value) = match part {
            Part::All => ("detect", false.into()),
            Part::Advice => ("advice", false.into()),
            Part::Repeats => ("repeats", false.into()),
            Part::Door => {
                let figures = storm.entry("figures").or_insert_with(|| toml::Table::new().into());
                let figures = figures.as_table_mut().ok_or("nodes.operator: storm.figures is no table")?;
                figures.insert("accepts_per_s".into(), 0.0.into());
                continue;
            }
        };
        storm.insert(key.into(), value);
    }
    Ok(operator.to_string())
}

fn storm(args: &Storm) -> Result<Verdict, String> {
    let scenario = scenario(args)?;
    let hit = match args.hit {
        What::Boxes => OutageTarget::Boxes,
        What::Nodes => OutageTarget::Nodes,
        What::Site => OutageTarget::Site,
    };
    let outage = Outage { hit, at_ms: args.at_ms, for_ms: args.outage_ms };
    if args.real {
        return real(args, &scenario, &outage);
    }
    let script = outage.script(&scenario);
    let plan =
        |seed| RunPlan { scenario: scenario.clone(), seed, script: Some(script.clone()), mutant: None };
    let count = args.seeds.1 - args.seeds.0;
    let bar = if std::io::stderr().is_terminal() { ProgressBar::new(count) } else { ProgressBar::hidden() };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} seeds, {eta} left");
    bar.set_style(style.map_err(|e| e.to_string())?);
    let begin = Instant::now();
    let mut all: Vec<Recovery> = Vec::new();
    let mut shown: Option<Report> = None;
    let mut broken = Vec::new();
    play(
        plan,
        args.seeds,
        args.jobs.unwrap_or(cores()),
        |plan| run(plan, None),
        |seed, _, report| {
            bar.inc(1);
            all.push(outage.measure_recovery(&report));
            broken.extend(report.violations.first().map(|v| format!("seed {seed}: BROKEN {v}")));
            if seed == args.seeds.0 {
                shown = Some(report);
            }
            true
        },
    );
    bar.finish_and_clear();
    if let (Some(path), Some(report)) = (&args.svg, &shown) {
        plot::draw(report, path)?;
    }
    if let (Some(path), Some(report)) = (&args.report, &shown) {
        files::write(path, &files::json(report)?)?;
    }
    if args.trace.is_some() {
        sim::traced(&plan(args.seeds.0), args.trace.as_ref())?;
    }
    let left = scenario.seconds - (args.at_ms + args.outage_ms) as f64 / 1e3;
    let spread = |of: fn(&Recovery) -> f64| Spread::of(all.iter().map(of).collect());
    let summary = Summary {
        scenario: scenario.name.clone(),
        clients: scenario.load.callers,
        rate: scenario.load.rate,
        outage,
        without: args.without.clone(),
        seeds: all.len(),
        recovered_s: Spread::of(all.iter().map(|r| r.recovered_s.unwrap_or(left)).collect()),
        never: all.iter().filter(|r| r.recovered_s.is_none()).count(),
        before: spread(|r| r.before),
        after: spread(|r| r.after),
        amplification: spread(|r| r.amplification),
        worst_tenant: spread(|r| r.worst_tenant),
        connects_a_second: spread(|r| r.connects_a_second as f64),
        fell: all.iter().filter(|r| r.fell > 0).count(),
        broken: broken.len(),
        real_s: begin.elapsed().as_secs_f64(),
    };
    if args.json {
        println!("{}", files::json(&summary)?);
    } else {
        if let Some(report) = shown.filter(|_| count == 1) {
            sim::print(&report, begin.elapsed().as_secs_f64());
        }
        broken.iter().for_each(|line| println!("{line}"));
        print(&summary);
    }
    Ok(if broken.is_empty() { Verdict::Good } else { Verdict::Broken })
}

/// What a storm cost real nodes.
#[derive(Serialize)]
struct Cost {
    recovery: Recovery,
    /// CPU of all nodes, in microseconds: for a first try before the outage, for a try in the five seconds after its
    /// beginning, and for a try from then to the end. 0 where it is not known, as when the nodes themselves were hit.
    cpu_us: [f64; 3],
    /// Most memory of one node, in KiB.
    memory_kib: u64,
    /// Most descriptors of one node.
    descriptors: usize,
    report: Report,
}

/// The same on loopback sockets round real nodes.
fn real(args: &Storm, scenario: &Scenario, outage: &Outage) -> Result<Verdict, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    let program = world::program(args.mothpier.as_ref())?;
    let folder = world::folder(args.folder.as_ref());
    let cost = tokio::task::LocalSet::new().block_on(&runtime, async {
        let seen = world::Judged::begin(scenario, args.seeds.0);
        let mut live =
            LoopbackEnvironment::start(scenario, args.seeds.0, &program, &folder, seen.witness.clone())
                .await?;
        let nodes = live.nodes.iter().map(|n| n.address).collect();
        let mut marks = vec![(live.cpu_time(), 0)];
        let mut descriptors = 0;
        let (fleet, collector) = (live.fleet.clone(), seen.collector.clone());
        let tries = || seen.collector.borrow().report().seconds.iter().map(|s| s.tries).sum::<u64>();
        let playing = world::play(scenario, &fleet, nodes, &collector);
        let mut playing = std::pin::pin!(playing);
        let begin = tokio::time::Instant::now();
        let strike = begin + Duration::from_millis(outage.at_ms);
        let settled = strike + Duration::from_secs(5);
        tokio::select! {
            done = &mut playing => return done.and(Err("the load ended before the outage".into())),
            () = tokio::time::sleep_until(strike) => {}
        }
        marks.push((live.cpu_time(), tries()));
        let mut end = None;
        {
            let striking = live.outage(outage.hit, Duration::from_millis(outage.for_ms));
            let mut striking = std::pin::pin!(striking);
            tokio::select! {
                done = &mut playing => end = Some(done),
                done = &mut striking => done?,
            }
        }
        while end.is_none() {
            tokio::select! {
                done = &mut playing => end = Some(done),
                () = tokio::time::sleep(Duration::from_millis(250)) => {
                    descriptors = descriptors.max(live.descriptors().unwrap_or(0));
                    if marks.len() == 2 && tokio::time::Instant::now() >= settled {
                        marks.push((live.cpu_time(), tries()));
                    }
                }
            }
        }
        end.unwrap_or(Ok(()))?;
        marks.push((live.cpu_time(), tries()));
        let memory_kib = live.memory_kib().unwrap_or(0);
        live.stop().await;
        let report = seen.end();
        let spent = |pair: &[(Option<Duration>, u64)]| {
            let cpu = pair[1].0.zip(pair[0].0).map_or(0.0, |(b, a)| b.saturating_sub(a).as_secs_f64());
            cpu * 1e6 / (pair[1].1 - pair[0].1).max(1) as f64
        };
        let mut cpu_us = [0.0; 3];
        if outage.hit == OutageTarget::Boxes {
            cpu_us.iter_mut().zip(marks.windows(2)).for_each(|(of, pair)| *of = spent(pair));
        }
        let recovery = outage.measure_recovery(&report);
        Ok::<Cost, String>(Cost { recovery, cpu_us, memory_kib, descriptors, report })
    })?;
    if let Some(path) = &args.svg {
        plot::draw(&cost.report, path)?;
    }
    if let Some(path) = &args.report {
        files::write(path, &files::json(&cost.report)?)?;
    }
    if args.json {
        println!("{}", files::json(&cost)?);
    } else {
        sim::print(&cost.report, cost.report.virtual_s);
        let r = &cost.recovery;
        println!(
            "in time {:.2} before, {:.2} after; back after {} s; {:.2} tries a first try; {} connections in the busiest second",
            r.before,
            r.after,
            r.recovered_s.map_or("never".into(), |s| format!("{s:.1}")),
            r.amplification,
            r.connects_a_second
        );
        println!(
            "CPU a try: {:.0} us before, {:.0} us in the storm, {:.0} us after; most of one node: {} KiB, {} descriptors",
            cost.cpu_us[0], cost.cpu_us[1], cost.cpu_us[2], cost.memory_kib, cost.descriptors
        );
    }
    Ok(if cost.report.violations.is_empty() { Verdict::Good } else { Verdict::Broken })
}

fn print(s: &Summary) {
    println!(
        "{}: {} clients, {} requests a second, {:?} away for {} ms; {} seeds in {:.1} s",
        s.scenario, s.clients, s.rate, s.outage.hit, s.outage.for_ms, s.seeds, s.real_s
    );
    println!("{:<34}{:>10}{:>10}", "", "median", "p95");
    let line = |name, of: Spread| println!("{name:<34}{:>10.2}{:>10.2}", of.median, of.p95);
    line("seconds until it is back", s.recovered_s);
    line("in time before", s.before);
    line("in time after the outage", s.after);
    line("tries a first try after it", s.amplification);
    line("in time of the worst tenant", s.worst_tenant);
    line("connections in the busiest second", s.connects_a_second);
    println!("not back: {}, a box fell over: {}, a rule broken: {}", s.never, s.fell, s.broken);
}
