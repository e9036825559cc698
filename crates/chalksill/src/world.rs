//! `chalksill world`: stand-ins on loopback sockets round real nodes, and their load.

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

/// The subcommands.
#[derive(Subcommand)]
pub enum World {
    /// Starts stand-ins and nodes of a scenario on loopback addresses, prints them, and ends all with Ctrl-C
    Up(Up),
    /// Plays a scenario's clients against real nodes, open loop, and prints what became of it
    Load(Load),
}

/// What both need.
#[derive(Args)]
struct Common {
    /// The scenario, a TOML file
    scenario: PathBuf,
    /// The daemon; the one beside this program by default
    #[arg(long)]
    mothpier: Option<PathBuf>,
    /// Where configurations and logs of the nodes go; a folder of its own among the temporary ones by default
    #[arg(long)]
    folder: Option<PathBuf>,
    /// The seed of the load and the stand-ins
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Starting.
#[derive(Args)]
pub struct Up {
    #[command(flatten)]
    common: Common,
    /// Ends by itself after so many seconds
    #[arg(long = "for", value_name = "SECONDS")]
    seconds: Option<f64>,
}

/// Loading.
#[derive(Args)]
pub struct Load {
    #[command(flatten)]
    common: Common,
    /// Requests a second, instead of the scenario's
    #[arg(long)]
    rate: Option<f64>,
    /// For how long, in seconds, instead of the scenario's time
    #[arg(long = "for", value_name = "SECONDS")]
    seconds: Option<f64>,
    /// Another daemon to compare with: rounds of both in turn, and the ratios
    #[arg(long, value_name = "PROGRAM")]
    versus: Option<PathBuf>,
    /// Rounds of each daemon
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Nodes that run already (of world up, say), instead of starting any
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS", conflicts_with = "versus")]
    nodes: Vec<SocketAddr>,
    /// Prints the figures as JSON
    #[arg(long)]
    json: bool,
    /// Draws the (last) round as SVG
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// One round of load, with what the nodes needed for it.
#[derive(Serialize)]
struct Round {
    program: String,
    /// CPU time of all nodes for a first try, in microseconds; 0 where it is not known.
    cpu_us: f64,
    /// Most memory of one node, in KiB; 0 where it is not known.
    memory_kib: u64,
    report: Report,
}

/// Carries a subcommand out.
pub fn execute(world: World) -> Result<Verdict, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        match world {
            World::Up(args) => up(&args).await,
            World::Load(args) => load(&args).await,
        }
    })
}

impl Common {
    fn program(&self) -> Result<PathBuf, String> {
        program(self.mothpier.as_ref())
    }

    fn folder(&self) -> PathBuf {
        folder(self.folder.as_ref())
    }
}

/// The daemon: the one named, or the one beside this program.
pub fn program(named: Option<&PathBuf>) -> Result<PathBuf, String> {
    let program = match named {
        Some(program) => program.clone(),
        None => {
            let here = std::env::current_exe().map_err(|e| format!("where is this program? {e}"))?;
            here.with_file_name("mothpier")
        }
    };
    if program.is_file() {
        return Ok(program);
    }
    let how = "cargo build --release builds it; --mothpier names another place";
    Err(format!("{}: there is no daemon ({how})", program.display()))
}

/// Where configurations and logs go: the folder named, or one of its own among the temporary ones.
pub fn folder(named: Option<&PathBuf>) -> PathBuf {
    named.cloned().unwrap_or_else(|| std::env::temp_dir().join(format!("chalksill-{}", std::process::id())))
}

/// What is counted and judged of a world on real sockets.
pub struct Judged {
    /// Where its stand-ins report.
    pub witness: Observer,
    /// What counts.
    pub collector: Rc<RefCell<Collector>>,
    checker: Rc<RefCell<Checker>>,
}

impl Judged {
    /// Begins to count and to judge.
    pub fn begin(scenario: &Scenario, seed: u64) -> Judged {
        let witness = Observer::starting_now();
        let origin = scenario.boxes.count;
        let collector = Rc::new(RefCell::new(Collector::new(scenario, seed, origin)));
        let checker = Rc::new(RefCell::new(Checker::new(scenario, origin)));
        let (counts, judges) = (collector.clone(), checker.clone());
        witness.subscribe(move |o| {
            counts.borrow_mut().observe(o);
            judges.borrow_mut().observe(o);
        });
        Judged { witness, collector, checker }
    }

    /// The figures at the end.
    pub fn end(&self) -> Report {
        self.checker.borrow_mut().finish(self.witness.elapsed());
        let mut report = self.collector.borrow().report();
        report.violations = self.checker.borrow().violations().to_vec();
        report.virtual_s = self.witness.elapsed().as_secs_f64();
        report
    }
}

async fn interrupted() -> Result<(), String> {
    tokio::signal::ctrl_c().await.map_err(|e| format!("no signals: {e}"))
}

async fn up(args: &Up) -> Result<Verdict, String> {
    let scenario = files::scenario(&args.common.scenario)?;
    let (program, folder) = (args.common.program()?, args.common.folder());
    let start =
        LoopbackEnvironment::start(&scenario, args.common.seed, &program, &folder, Observer::starting_now());
    let mut live = tokio::select! {
        live = start => live?,
        told = interrupted() => return told.map(|()| Verdict::Good),
    };
    for (i, node) in live.nodes.iter().enumerate() {
        println!("node {i}: {}", node.address);
    }
    println!(
        "{} boxes and an origin behind them; configurations and logs in {}",
        scenario.boxes.count,
        folder.display()
    );
    println!("load: chalksill world load {} --nodes {}", args.common.scenario.display(), addresses(&live));
    println!("Ctrl-C ends it");
    let end = args.seconds.map(Duration::from_secs_f64).unwrap_or(Duration::from_secs(u32::MAX.into()));
    let end = Instant::now() + end;
    let verdict = loop {
        tokio::select! {
            told = interrupted() => break told.map(|()| Verdict::Good),
            () = tokio::time::sleep_until(end) => break Ok(Verdict::Good),
            () = sleep(Duration::from_millis(500)) => {
                if let Some(what) = live.first_exit() {
                    break Err(format!("{what}: see its log in {}", folder.display()));
                }
            }
        }
    };
    live.stop().await;
    verdict
}

fn addresses(live: &LoopbackEnvironment) -> String {
    live.nodes.iter().map(|n| n.address.to_string()).collect::<Vec<_>>().join(",")
}

async fn load(args: &Load) -> Result<Verdict, String> {
    let mut scenario = files::scenario(&args.common.scenario)?;
    scenario.load.rate = args.rate.unwrap_or(scenario.load.rate);
    scenario.seconds = args.seconds.unwrap_or(scenario.seconds);
    scenario.validate().map_err(|e| e.to_string())?;
    let mut rounds = Vec::new();
    if args.nodes.is_empty() {
        let programs: Vec<PathBuf> =
            [Some(args.common.program()?), args.versus.clone()].into_iter().flatten().collect();
        let count = if programs.len() > 1 { args.rounds.clamp(1, 100) } else { 1 };
        for round in 0..count {
            for program in &programs {
                // Both daemons get the same load in a round.
                rounds.push(one(&scenario, args, program, round as u64).await?);
            }
        }
    } else {
        scenario.nodes.count = args.nodes.len();
        rounds.push(against(&scenario, args).await?);
    }
    if let (Some(path), Some(last)) = (&args.svg, rounds.last()) {
        plot::draw(&last.report, path)?;
    }
    if args.json {
        println!("{}", files::json(&rounds)?);
    } else {
        for round in &rounds {
            sim::print(&round.report, round.report.virtual_s);
            println!(
                "{}: CPU a first try {:.1} us, most memory {} KiB",
                round.program, round.cpu_us, round.memory_kib
            );
        }
        if args.versus.is_some() {
            compare(&rounds);
        }
    }
    let good = rounds.iter().all(|r| r.report.violations.is_empty());
    Ok(if good { Verdict::Good } else { Verdict::Broken })
}

/// A figure of a round.
type Figure = fn(&Round) -> f64;

/// The first daemon against the second, pair by pair.
fn compare(rounds: &[Round]) {
    let median = |of: Figure| {
        let mut ratios: Vec<f64> =
            rounds.chunks_exact(2).map(|pair| of(&pair[0]) / of(&pair[1]).max(1e-9)).collect();
        ratios.sort_by(f64::total_cmp);
        let half = ratios.len() / 2;
        let middle = if ratios.len().is_multiple_of(2) {
            (ratios[half - 1] + ratios[half]) / 2.0
        } else {
            ratios[half]
        };
        (ratios[0], middle, ratios[ratios.len() - 1])
    };
    println!("the first to the second, least, median and most of {} pairs:", rounds.len() / 2);
    let figures: [(&str, Figure); 4] = [
        ("CPU a first try", |r| r.cpu_us),
        ("p50", |r| r.report.latency.p50),
        ("p99", |r| r.report.latency.p99),
        ("p99.9", |r| r.report.latency.p999),
    ];
    for (name, of) in figures {
        let (least, middle, most) = median(of);
        println!("  {name:<16} {least:.3} {middle:.3} {most:.3}");
    }
}

async fn one(scenario: &Scenario, args: &Load, program: &Path, round: u64) -> Result<Round, String> {
    let seed = args.common.seed + round;
    let seen = Judged::begin(scenario, seed);
    let folder = args.common.folder();
    let live = LoopbackEnvironment::start(scenario, seed, program, &folder, seen.witness.clone()).await?;
    let nodes = live.nodes.iter().map(|n| n.address).collect();
    let before = live.cpu_time();
    play(scenario, &live.fleet, nodes, &seen.collector).await?;
    let after = live.cpu_time();
    let memory_kib = live.memory_kib().unwrap_or(0);
    live.stop().await;
    let report = seen.end();
    let cpu = after.zip(before).map_or(Duration::ZERO, |(a, b)| a.saturating_sub(b));
    let cpu_us = cpu.as_secs_f64() * 1e6 / report.all.offered.max(1) as f64;
    Ok(Round { program: program.display().to_string(), cpu_us, memory_kib, report })
}

/// Load on nodes that somebody else has started: only what clients see is known.
async fn against(scenario: &Scenario, args: &Load) -> Result<Round, String> {
    let witness = Observer::starting_now();
    let collector = Rc::new(RefCell::new(Collector::new(scenario, args.common.seed, usize::MAX)));
    let to = collector.clone();
    witness.subscribe(move |o| to.borrow_mut().observe(o));
    let fleet = Fleet::new(scenario.clone(), args.common.seed, witness.clone());
    for node in 0..args.nodes.len() {
        witness.record(ObservedEvent::NodeStarted { node });
    }
    play(scenario, &fleet, args.nodes.clone(), &collector).await?;
    let mut report = collector.borrow().report();
    report.virtual_s = witness.elapsed().as_secs_f64();
    Ok(Round { program: "nodes that ran already".into(), cpu_us: 0.0, memory_kib: 0, report })
}

/// Plays a scenario's clients against nodes.
pub async fn play(
    scenario: &Scenario,
    fleet: &Rc<Fleet>,
    nodes: Vec<SocketAddr>,
    collector: &Rc<RefCell<Collector>>,
) -> Result<(), String> {
    let ended = collector.clone();
    let clients = Clients::new(HOST, fleet, nodes, move |played| ended.borrow_mut().record_result(&played));
    let shown = std::io::stderr().is_terminal();
    let bar =
        if shown { ProgressBar::new(scenario.load_duration().as_secs()) } else { ProgressBar::hidden() };
    let playing = clients.clone().generate_load(scenario.load_duration());
    let mut playing = std::pin::pin!(playing);
    loop {
        tokio::select! {
            biased;
            told = interrupted() => return Err(told.err().unwrap_or("interrupted".into())),
            () = &mut playing => break,
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
