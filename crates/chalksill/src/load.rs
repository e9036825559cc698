//! `chalksill load storm`: an outage, the retry storm of thousands of returning clients, and how the site recovers.

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

use crate::explore::{available_cores, parse_seed_range, run_seeds};
use crate::{Verdict, files, plot, sim, world};

/// Subcommands of `chalksill load`.
#[derive(Subcommand)]
pub enum Load {
    /// Runs an outage and the retry storm after it on the virtual clock: when has the site recovered, and at what cost
    Storm(Storm),
}

/// The part of the site that fails.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum StormTarget {
    /// All cache servers; they come back cold and empty
    Boxes,
    /// All nodes; every connection is lost
    Nodes,
    /// Both
    Site,
}

/// A protection of the nodes against retry storms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
enum StormProtection {
    /// All protections but the limit of new connections: nodes detect no storm
    All,
    /// Retry-after advice by the place in the virtual queue
    Advice,
    /// The limit of retries to a share of the first requests
    Repeats,
    /// The limit of the rate of new connections
    Door,
}

/// Arguments of `load storm`.
#[derive(Args)]
pub struct Storm {
    /// The scenario, a TOML file
    scenario: PathBuf,
    /// Number of clients, with a connection each, instead of the scenario's
    #[arg(long)]
    clients: Option<usize>,
    /// Requests per second, instead of the scenario's
    #[arg(long)]
    rate: Option<f64>,
    /// What fails
    #[arg(long, value_enum, default_value = "boxes")]
    hit: StormTarget,
    /// When the outage begins, in milliseconds
    #[arg(long, default_value_t = 8000)]
    at_ms: u64,
    /// How long the outage lasts, in milliseconds
    #[arg(long, default_value_t = 2000)]
    outage_ms: u64,
    /// Runs on loopback sockets with real mothpier processes, in real time; only the first seed
    #[arg(long)]
    real: bool,
    /// With --real, the mothpier program; by default the one in the folder of this program
    #[arg(long, requires = "real")]
    mothpier: Option<PathBuf>,
    /// With --real, the folder for configurations and logs of the nodes
    #[arg(long, requires = "real")]
    folder: Option<PathBuf>,
    /// The range of seeds, its end excluded, such as 0..200
    #[arg(long, value_parser = parse_seed_range, default_value = "0..4")]
    seeds: (u64, u64),
    /// Number of concurrent runs; one for each core by default
    #[arg(long)]
    jobs: Option<usize>,
    /// Protections against retry storms to switch off
    #[arg(long, value_enum, value_delimiter = ',')]
    without: Vec<StormProtection>,
    /// Prints the summary as JSON
    #[arg(long)]
    json: bool,
    /// Draws the first seed's run as SVG
    #[arg(long)]
    svg: Option<PathBuf>,
    /// Writes a trace of all observed events of the first seed, and the logs of the nodes, to this file
    #[arg(long)]
    trace: Option<PathBuf>,
    /// Writes the report of the first seed as JSON to this file, as sim run --json prints it
    #[arg(long)]
    report: Option<PathBuf>,
}

/// A measured value over all seeds: the median and the 95th percentile.
#[derive(Clone, Copy, Serialize)]
struct Spread {
    median: f64,
    p95: f64,
}

impl Spread {
    fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let at = |quantile: f64| {
            values.get(((values.len() as f64 * quantile) as usize).min(values.len().max(1) - 1))
        };
        Spread { median: at(0.5).copied().unwrap_or(0.0), p95: at(0.95).copied().unwrap_or(0.0) }
    }
}

/// Totals over all seeds.
#[derive(Serialize)]
struct Summary {
    scenario: String,
    clients: usize,
    rate: f64,
    outage: Outage,
    without: Vec<StormProtection>,
    seeds: usize,
    /// Seconds until the site had recovered; a run without recovery counts with the time from the outage to the end of the
    /// load.
    recovered_s: Spread,
    /// Seeds in which the site had not recovered when the load ended.
    never: usize,
    before: Spread,
    after: Spread,
    amplification: Spread,
    worst_tenant: Spread,
    connects_a_second: Spread,
    /// Seeds in which a cold cache server failed under load.
    fell: usize,
    /// Seeds that broke a rule.
    broken: usize,
    real_s: f64,
}

/// Executes a subcommand.
pub fn execute(load: Load) -> Result<Verdict, String> {
    match load {
        Load::Storm(args) => run_storm(&args),
    }
}

/// The scenario with the changes that the arguments ask for.
fn read_scenario(args: &Storm) -> Result<Scenario, String> {
    let mut scenario = files::read_scenario(&args.scenario)?;
    scenario.load.callers = args.clients.unwrap_or(scenario.load.callers);
    scenario.load.rate = args.rate.unwrap_or(scenario.load.rate);
    scenario.nodes.operator = disable_protections(&scenario.nodes.operator, &args.without)?;
    scenario.validate().map_err(|e| e.to_string())?;
    if (args.at_ms + args.outage_ms) as f64 >= scenario.seconds * 1e3 {
        return Err(format!("the outage ends after the load, which lasts {} s", scenario.seconds));
    }
    Ok(scenario)
}

/// An operator configuration with some protections against retry storms switched off.
fn disable_protections(text: &str, protections: &[StormProtection]) -> Result<String, String> {
    let mut operator: toml::Table = text.parse().map_err(|e| format!("nodes.operator: {e}"))?;
    let storm = operator.entry("storm").or_insert_with(|| toml::Table::new().into());
    let storm = storm.as_table_mut().ok_or("nodes.operator: storm is not a table")?;
    for protection in protections {
        let (key, value) = match protection {
            StormProtection::All => ("detect", false.into()),
            StormProtection::Advice => ("advice", false.into()),
            StormProtection::Repeats => ("repeats", false.into()),
            StormProtection::Door => {
                let tuning = storm.entry("figures").or_insert_with(|| toml::Table::new().into());
                let tuning = tuning.as_table_mut().ok_or("nodes.operator: storm.figures is not a table")?;
                tuning.insert("accepts_per_s".into(), 0.0.into());
                continue;
            }
        };
        storm.insert(key.into(), value);
    }
    Ok(operator.to_string())
}

fn run_storm(args: &Storm) -> Result<Verdict, String> {
    let scenario = read_scenario(args)?;
    let hit = match args.hit {
        StormTarget::Boxes => OutageTarget::Boxes,
        StormTarget::Nodes => OutageTarget::Nodes,
        StormTarget::Site => OutageTarget::Site,
    };
    let outage = Outage { hit, at_ms: args.at_ms, for_ms: args.outage_ms };
    if args.real {
        return run_on_real_nodes(args, &scenario, &outage);
    }
    let script = outage.script(&scenario);
    let plan_of =
        |seed| RunPlan { scenario: scenario.clone(), seed, script: Some(script.clone()), mutant: None };
    let count = args.seeds.1 - args.seeds.0;
    let bar = if std::io::stderr().is_terminal() { ProgressBar::new(count) } else { ProgressBar::hidden() };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} seeds, {eta} left");
    bar.set_style(style.map_err(|e| e.to_string())?);
    let begin = Instant::now();
    let mut recoveries: Vec<Recovery> = Vec::new();
    let mut first_report: Option<Report> = None;
    let mut broken = Vec::new();
    run_seeds(
        plan_of,
        args.seeds,
        args.jobs.unwrap_or(available_cores()),
        |plan| run(plan, None),
        |seed, _, report| {
            bar.inc(1);
            recoveries.push(outage.measure_recovery(&report));
            broken.extend(report.violations.first().map(|v| format!("seed {seed}: BROKEN {v}")));
            if seed == args.seeds.0 {
                first_report = Some(report);
            }
            true
        },
    );
    bar.finish_and_clear();
    if let (Some(path), Some(report)) = (&args.svg, &first_report) {
        plot::draw(report, path)?;
    }
    if let (Some(path), Some(report)) = (&args.report, &first_report) {
        files::write(path, &files::to_json(report)?)?;
    }
    if args.trace.is_some() {
        sim::run_with_trace(&plan_of(args.seeds.0), args.trace.as_ref())?;
    }
    let time_after_outage_s = scenario.seconds - (args.at_ms + args.outage_ms) as f64 / 1e3;
    let spread = |value: fn(&Recovery) -> f64| Spread::of(recoveries.iter().map(value).collect());
    let summary = Summary {
        scenario: scenario.name.clone(),
        clients: scenario.load.callers,
        rate: scenario.load.rate,
        outage,
        without: args.without.clone(),
        seeds: recoveries.len(),
        recovered_s: Spread::of(
            recoveries.iter().map(|r| r.recovered_s.unwrap_or(time_after_outage_s)).collect(),
        ),
        never: recoveries.iter().filter(|r| r.recovered_s.is_none()).count(),
        before: spread(|r| r.before),
        after: spread(|r| r.after),
        amplification: spread(|r| r.amplification),
        worst_tenant: spread(|r| r.worst_tenant),
        connects_a_second: spread(|r| r.connects_a_second as f64),
        fell: recoveries.iter().filter(|r| r.fell > 0).count(),
        broken: broken.len(),
        real_s: begin.elapsed().as_secs_f64(),
    };
    if args.json {
        println!("{}", files::to_json(&summary)?);
    } else {
        if let Some(report) = first_report.filter(|_| count == 1) {
            sim::print_report(&report, begin.elapsed().as_secs_f64());
        }
        broken.iter().for_each(|line| println!("{line}"));
        print_summary(&summary);
    }
    Ok(if broken.is_empty() { Verdict::Good } else { Verdict::Broken })
}

/// Resources that a retry storm cost real nodes.
#[derive(Serialize)]
struct Cost {
    recovery: Recovery,
    /// CPU time of all nodes per client request, retries included, in microseconds: before the outage, in the five
    /// seconds after its beginning, and from then to the end. 0 where it is unknown, as in an outage of the nodes.
    cpu_us: [f64; 3],
    /// Maximum resident memory of one node, in KiB.
    memory_kib: u64,
    /// Maximum number of descriptors of one node.
    descriptors: usize,
    report: Report,
}

/// Runs the storm on loopback sockets around real nodes.
fn run_on_real_nodes(args: &Storm, scenario: &Scenario, outage: &Outage) -> Result<Verdict, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    let program = world::mothpier_program(args.mothpier.as_ref())?;
    let folder = world::run_folder(args.folder.as_ref());
    let cost = tokio::task::LocalSet::new().block_on(&runtime, async {
        let monitor = world::RunMonitor::start(scenario, args.seeds.0);
        let mut environment =
            LoopbackEnvironment::start(scenario, args.seeds.0, &program, &folder, monitor.observer.clone())
                .await?;
        let nodes = environment.nodes.iter().map(|n| n.address).collect();
        let mut marks = vec![(environment.cpu_time(), 0)];
        let mut descriptors = 0;
        let (fleet, collector) = (environment.fleet.clone(), monitor.collector.clone());
        let requests = || monitor.collector.borrow().report().seconds.iter().map(|s| s.tries).sum::<u64>();
        let load = world::generate_load(scenario, &fleet, nodes, &collector);
        let mut load = std::pin::pin!(load);
        let begin = tokio::time::Instant::now();
        let outage_start = begin + Duration::from_millis(outage.at_ms);
        let peak_end = outage_start + Duration::from_secs(5);
        tokio::select! {
            done = &mut load => return done.and(Err("the load ended before the outage began".into())),
            () = tokio::time::sleep_until(outage_start) => {}
        }
        marks.push((environment.cpu_time(), requests()));
        let mut end = None;
        {
            let outage_over = environment.outage(outage.hit, Duration::from_millis(outage.for_ms));
            let mut outage_over = std::pin::pin!(outage_over);
            tokio::select! {
                done = &mut load => end = Some(done),
                done = &mut outage_over => done?,
            }
        }
        while end.is_none() {
            tokio::select! {
                done = &mut load => end = Some(done),
                () = tokio::time::sleep(Duration::from_millis(250)) => {
                    descriptors = descriptors.max(environment.descriptors().unwrap_or(0));
                    if marks.len() == 2 && tokio::time::Instant::now() >= peak_end {
                        marks.push((environment.cpu_time(), requests()));
                    }
                }
            }
        }
        end.unwrap_or(Ok(()))?;
        marks.push((environment.cpu_time(), requests()));
        let memory_kib = environment.memory_kib().unwrap_or(0);
        environment.stop().await;
        let report = monitor.finish();
        let cpu_per_request_us = |pair: &[(Option<Duration>, u64)]| {
            let cpu = pair[1].0.zip(pair[0].0).map_or(0.0, |(b, a)| b.saturating_sub(a).as_secs_f64());
            cpu * 1e6 / (pair[1].1 - pair[0].1).max(1) as f64
        };
        let mut cpu_us = [0.0; 3];
        if outage.hit == OutageTarget::Boxes {
            cpu_us
                .iter_mut()
                .zip(marks.windows(2))
                .for_each(|(value, pair)| *value = cpu_per_request_us(pair));
        }
        let recovery = outage.measure_recovery(&report);
        Ok::<Cost, String>(Cost { recovery, cpu_us, memory_kib, descriptors, report })
    })?;
    if let Some(path) = &args.svg {
        plot::draw(&cost.report, path)?;
    }
    if let Some(path) = &args.report {
        files::write(path, &files::to_json(&cost.report)?)?;
    }
    if args.json {
        println!("{}", files::to_json(&cost)?);
    } else {
        sim::print_report(&cost.report, cost.report.virtual_s);
        let recovery = &cost.recovery;
        println!(
            "in time {:.2} before, {:.2} after; recovered after {} s; {:.2} client requests per first request; {} connections in the busiest second",
            recovery.before,
            recovery.after,
            recovery.recovered_s.map_or("never".into(), |s| format!("{s:.1}")),
            recovery.amplification,
            recovery.connects_a_second
        );
        println!(
            "CPU per client request: {:.0} us before, {:.0} us in the storm, {:.0} us after; maximum of one node: {} KiB, {} descriptors",
            cost.cpu_us[0], cost.cpu_us[1], cost.cpu_us[2], cost.memory_kib, cost.descriptors
        );
    }
    Ok(if cost.report.violations.is_empty() { Verdict::Good } else { Verdict::Broken })
}

fn print_summary(summary: &Summary) {
    println!(
        "{}: {} clients, {} requests per second, {:?} down for {} ms; {} seeds in {:.1} s",
        summary.scenario,
        summary.clients,
        summary.rate,
        summary.outage.hit,
        summary.outage.for_ms,
        summary.seeds,
        summary.real_s
    );
    println!("{:<34}{:>10}{:>10}", "", "median", "p95");
    let line = |name, spread: Spread| println!("{name:<34}{:>10.2}{:>10.2}", spread.median, spread.p95);
    line("seconds until recovered", summary.recovered_s);
    line("in time before the outage", summary.before);
    line("in time after the outage", summary.after);
    line("retry amplification after outage", summary.amplification);
    line("in time, worst tenant", summary.worst_tenant);
    line("connections in the busiest second", summary.connects_a_second);
    println!(
        "not recovered: {}, cache server failed: {}, rule broken: {}",
        summary.never, summary.fell, summary.broken
    );
}
