//! `chalksill world`: stubs on loopback sockets around real nodes, and load on them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use chalksill_world::clients::Clients;
use chalksill_world::fleet::Fleet;
use chalksill_world::live::{HOST, LoopbackEnvironment};
use chalksill_world::observe::{ObservedEvent, Observer};
use chalksill_world::report::{Collector, Report};
use chalksill_world::rules::Checker;
use chalksill_world::scenario::Scenario;
use clap::{Args, Subcommand};
use indicatif::ProgressBar;
use serde::Serialize;
use std::io::IsTerminal;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use crate::{Verdict, files, plot, sim};

/// Subcommands of `chalksill world`.
#[derive(Subcommand)]
pub enum World {
    /// Starts the stubs and nodes of a scenario on loopback addresses, prints the addresses, and stops everything on Ctrl-C
    Up(Up),
    /// Generates the load of a scenario against real nodes, open loop, and prints the report
    Load(Load),
}

/// Arguments of both subcommands.
#[derive(Args)]
struct Common {
    /// The scenario, a TOML file
    scenario: PathBuf,
    /// The mothpier program; by default the one in the folder of this program
    #[arg(long)]
    mothpier: Option<PathBuf>,
    /// The folder for configurations and logs of the nodes; a new temporary folder by default
    #[arg(long)]
    folder: Option<PathBuf>,
    /// The seed of the load and the stubs
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Arguments of `world up`.
#[derive(Args)]
pub struct Up {
    #[command(flatten)]
    common: Common,
    /// Stops after this time
    #[arg(long = "for", value_name = "SECONDS")]
    seconds: Option<f64>,
}

/// Arguments of `world load`.
#[derive(Args)]
pub struct Load {
    #[command(flatten)]
    common: Common,
    /// Requests per second, instead of the scenario's
    #[arg(long)]
    rate: Option<f64>,
    /// Duration of the load, instead of the scenario's
    #[arg(long = "for", value_name = "SECONDS")]
    seconds: Option<f64>,
    /// Another mothpier program to compare with: alternates rounds of both, and prints the ratios
    #[arg(long, value_name = "PROGRAM")]
    versus: Option<PathBuf>,
    /// Number of rounds of each program
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Uses nodes that already run (such as those of world up) instead of starting any
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS", conflicts_with = "versus")]
    nodes: Vec<SocketAddr>,
    /// Prints the reports as JSON
    #[arg(long)]
    json: bool,
    /// Draws the last round as SVG to this file
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// One round of load, with the resources that the nodes used for it.
#[derive(Serialize)]
struct Round {
    program: String,
    /// CPU time of all nodes per first request, in microseconds; 0 where it is unknown.
    cpu_us: f64,
    /// Maximum resident memory of one node, in KiB; 0 where it is unknown.
    memory_kib: u64,
    report: Report,
}

/// Executes a subcommand.
pub fn execute(world: World) -> Result<Verdict, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        match world {
            World::Up(args) => up(&args).await,
            World::Load(args) => load(&args).await,
        }
    })
}

impl Common {
    fn mothpier_program(&self) -> Result<PathBuf, String> {
        mothpier_program(self.mothpier.as_ref())
    }

    fn run_folder(&self) -> PathBuf {
        run_folder(self.folder.as_ref())
    }
}

/// The mothpier program: the one named, or the one in the folder of this program.
pub fn mothpier_program(named: Option<&PathBuf>) -> Result<PathBuf, String> {
    let program = match named {
        Some(program) => program.clone(),
        None => {
            let this_program = std::env::current_exe()
                .map_err(|e| format!("cannot determine the path of this program: {e}"))?;
            this_program.with_file_name("mothpier")
        }
    };
    if program.is_file() {
        return Ok(program);
    }
    let hint = "build it with cargo build --release, or name another path with --mothpier";
    Err(format!("{}: no such program ({hint})", program.display()))
}

/// The folder for configurations and logs: the one named, or a temporary folder of this process.
pub fn run_folder(named: Option<&PathBuf>) -> PathBuf {
    named.cloned().unwrap_or_else(|| std::env::temp_dir().join(format!("chalksill-{}", std::process::id())))
}

/// Collects the metrics of an environment on real sockets and checks its rules.
pub struct RunMonitor {
    /// Receives the events of the stubs.
    pub observer: Observer,
    /// Counts the events.
    pub collector: Rc<RefCell<Collector>>,
    checker: Rc<RefCell<Checker>>,
}

impl RunMonitor {
    /// Starts to collect metrics and to check rules.
    pub fn start(scenario: &Scenario, seed: u64) -> RunMonitor {
        let observer = Observer::starting_now();
        let origin = scenario.boxes.count;
        let collector = Rc::new(RefCell::new(Collector::new(scenario, seed, origin)));
        let checker = Rc::new(RefCell::new(Checker::new(scenario, origin)));
        let (event_collector, event_checker) = (collector.clone(), checker.clone());
        observer.subscribe(move |o| {
            event_collector.borrow_mut().observe(o);
            event_checker.borrow_mut().observe(o);
        });
        RunMonitor { observer, collector, checker }
    }

    /// Completes the checks and gives the report.
    pub fn finish(&self) -> Report {
        self.checker.borrow_mut().finish(self.observer.elapsed());
        let mut report = self.collector.borrow().report();
        report.violations = self.checker.borrow().violations().to_vec();
        report.virtual_s = self.observer.elapsed().as_secs_f64();
        report
    }
}

/// Waits for Ctrl-C.
async fn interrupted() -> Result<(), String> {
    tokio::signal::ctrl_c().await.map_err(|e| format!("cannot wait for a signal: {e}"))
}

async fn up(args: &Up) -> Result<Verdict, String> {
    let scenario = files::read_scenario(&args.common.scenario)?;
    let (program, folder) = (args.common.mothpier_program()?, args.common.run_folder());
    let start =
        LoopbackEnvironment::start(&scenario, args.common.seed, &program, &folder, Observer::starting_now());
    let mut environment = tokio::select! {
        environment = start => environment?,
        signal = interrupted() => return signal.map(|()| Verdict::Good),
    };
    for (i, node) in environment.nodes.iter().enumerate() {
        println!("node {i}: {}", node.address);
    }
    println!(
        "{} cache servers and an origin behind them; configurations and logs in {}",
        scenario.boxes.count,
        folder.display()
    );
    println!(
        "to generate load: chalksill world load {} --nodes {}",
        args.common.scenario.display(),
        addresses(&environment)
    );
    println!("Ctrl-C stops it");
    let end = args.seconds.map(Duration::from_secs_f64).unwrap_or(Duration::from_secs(u32::MAX.into()));
    let end = Instant::now() + end;
    let verdict = loop {
        tokio::select! {
            signal = interrupted() => break signal.map(|()| Verdict::Good),
            () = tokio::time::sleep_until(end) => break Ok(Verdict::Good),
            () = sleep(Duration::from_millis(500)) => {
                if let Some(exited) = environment.first_exit() {
                    break Err(format!("{exited}: see its log in {}", folder.display()));
                }
            }
        }
    };
    environment.stop().await;
    verdict
}

/// The addresses of all nodes, separated by commas.
fn addresses(environment: &LoopbackEnvironment) -> String {
    environment.nodes.iter().map(|n| n.address.to_string()).collect::<Vec<_>>().join(",")
}

async fn load(args: &Load) -> Result<Verdict, String> {
    let mut scenario = files::read_scenario(&args.common.scenario)?;
    scenario.load.rate = args.rate.unwrap_or(scenario.load.rate);
    scenario.seconds = args.seconds.unwrap_or(scenario.seconds);
    scenario.validate().map_err(|e| e.to_string())?;
    let mut rounds = Vec::new();
    if args.nodes.is_empty() {
        let programs: Vec<PathBuf> =
            [Some(args.common.mothpier_program()?), args.versus.clone()].into_iter().flatten().collect();
        let round_count = if programs.len() > 1 { args.rounds.clamp(1, 100) } else { 1 };
        for round in 0..round_count {
            for program in &programs {
                // Both programs get the same load in a round.
                rounds.push(run_round(&scenario, args, program, round as u64).await?);
            }
        }
    } else {
        scenario.nodes.count = args.nodes.len();
        rounds.push(load_running_nodes(&scenario, args).await?);
    }
    if let (Some(path), Some(last)) = (&args.svg, rounds.last()) {
        plot::draw(&last.report, path)?;
    }
    if args.json {
        println!("{}", files::to_json(&rounds)?);
    } else {
        for round in &rounds {
            sim::print_report(&round.report, round.report.virtual_s);
            println!(
                "{}: CPU per first request {:.1} us, maximum memory {} KiB",
                round.program, round.cpu_us, round.memory_kib
            );
        }
        if args.versus.is_some() {
            print_comparison(&rounds);
        }
    }
    let good = rounds.iter().all(|r| r.report.violations.is_empty());
    Ok(if good { Verdict::Good } else { Verdict::Broken })
}

/// A measured value of a round.
type RoundMetric = fn(&Round) -> f64;

/// Prints the ratios of the first program to the second, over pairs of rounds.
fn print_comparison(rounds: &[Round]) {
    let ratio_range = |metric: RoundMetric| {
        let mut ratios: Vec<f64> =
            rounds.chunks_exact(2).map(|pair| metric(&pair[0]) / metric(&pair[1]).max(1e-9)).collect();
        ratios.sort_by(f64::total_cmp);
        let half = ratios.len() / 2;
        let median = if ratios.len().is_multiple_of(2) {
            (ratios[half - 1] + ratios[half]) / 2.0
        } else {
            ratios[half]
        };
        (ratios[0], median, ratios[ratios.len() - 1])
    };
    println!("the first to the second program, minimum, median and maximum of {} pairs:", rounds.len() / 2);
    let metrics: [(&str, RoundMetric); 4] = [
        ("CPU per request", |r| r.cpu_us),
        ("p50", |r| r.report.latency.p50),
        ("p99", |r| r.report.latency.p99),
        ("p99.9", |r| r.report.latency.p999),
    ];
    for (name, metric) in metrics {
        let (min, median, max) = ratio_range(metric);
        println!("  {name:<16} {min:.3} {median:.3} {max:.3}");
    }
}

/// Starts the nodes of a program, generates the load and stops the nodes.
async fn run_round(scenario: &Scenario, args: &Load, program: &Path, round: u64) -> Result<Round, String> {
    let seed = args.common.seed + round;
    let monitor = RunMonitor::start(scenario, seed);
    let folder = args.common.run_folder();
    let environment =
        LoopbackEnvironment::start(scenario, seed, program, &folder, monitor.observer.clone()).await?;
    let nodes = environment.nodes.iter().map(|n| n.address).collect();
    let before = environment.cpu_time();
    generate_load(scenario, &environment.fleet, nodes, &monitor.collector).await?;
    let after = environment.cpu_time();
    let memory_kib = environment.memory_kib().unwrap_or(0);
    environment.stop().await;
    let report = monitor.finish();
    let cpu_time = after.zip(before).map_or(Duration::ZERO, |(a, b)| a.saturating_sub(b));
    let cpu_us = cpu_time.as_secs_f64() * 1e6 / report.all.offered.max(1) as f64;
    Ok(Round { program: program.display().to_string(), cpu_us, memory_kib, report })
}

/// Generates load on nodes that were started elsewhere; only what clients observe is known of them.
async fn load_running_nodes(scenario: &Scenario, args: &Load) -> Result<Round, String> {
    let observer = Observer::starting_now();
    let collector = Rc::new(RefCell::new(Collector::new(scenario, args.common.seed, usize::MAX)));
    let event_collector = collector.clone();
    observer.subscribe(move |o| event_collector.borrow_mut().observe(o));
    let fleet = Fleet::new(scenario.clone(), args.common.seed, observer.clone());
    for node in 0..args.nodes.len() {
        observer.record(ObservedEvent::NodeStarted { node });
    }
    generate_load(scenario, &fleet, args.nodes.clone(), &collector).await?;
    let mut report = collector.borrow().report();
    report.virtual_s = observer.elapsed().as_secs_f64();
    Ok(Round { program: "nodes that ran already".into(), cpu_us: 0.0, memory_kib: 0, report })
}

/// Generates the load of a scenario on nodes, and waits for the last results.
pub async fn generate_load(
    scenario: &Scenario,
    fleet: &Rc<Fleet>,
    nodes: Vec<SocketAddr>,
    collector: &Rc<RefCell<Collector>>,
) -> Result<(), String> {
    let result_collector = collector.clone();
    let clients =
        Clients::new(HOST, fleet, nodes, move |result| result_collector.borrow_mut().record_result(&result));
    let show_progress = std::io::stderr().is_terminal();
    let bar = if show_progress {
        ProgressBar::new(scenario.load_duration().as_secs())
    } else {
        ProgressBar::hidden()
    };
    let load = clients.clone().generate_load(scenario.load_duration());
    let mut load = std::pin::pin!(load);
    loop {
        tokio::select! {
            biased;
            signal = interrupted() => return Err(signal.err().unwrap_or("interrupted".into())),
            () = &mut load => break,
            () = sleep(Duration::from_secs(1)) => bar.inc(1),
        }
    }
    bar.finish_and_clear();
    let end = Instant::now() + scenario.longest_deadline() + Duration::from_secs(2);
    while clients.in_flight() > 0 && Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
