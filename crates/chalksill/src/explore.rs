//! `chalksill sim explore`: many seeds on all cores.

use std::collections::{BTreeMap, BTreeSet};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Instant;

use brassrouter::{Event, Policy};
use chalksill_world::mutant::Mutant;
use chalksill_world::report::Report;
use chalksill_world::rules::Rule;
use chalksill_world::sim::{RunPlan, run, run_recorded};
use chalksill_world::tape::{RecordedSegment, RecordingOptions};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry};
use mothpier_record::replay::{self, InitialState};
use mothpier_record::store::segment_file_name;
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
    /// Has all nodes record, plays each record through the decision module again, with its state saved and restored
    /// at a random event, and asks that the same actions come of it
    #[arg(long)]
    record: bool,
    /// As --record, and nodes that restart count what their records say
    #[arg(long)]
    recover: bool,
    /// With --record: a folder for the records
    #[arg(long, requires = "record")]
    keep: Option<PathBuf>,
}

/// What came of many runs.
#[derive(Serialize)]
struct Summary {
    scenario: String,
    seeds: u64,
    jobs: usize,
    /// Seeds that broke a rule, with the first rule of each.
    broken: BTreeMap<u64, Rule>,
    /// How many seeds broke each rule.
    rules_broken: BTreeMap<Rule, u64>,
    virtual_s: f64,
    real_s: f64,
    offered: u64,
    tries: f64,
    packets: u64,
    in_time: f64,
    origin_calls: u64,
    /// Of these, those that came while all calls of their node, of all its lives, were at its cap or over.
    origin_over: u64,
    attempts: Attempts,
    /// The digests of all runs, in the order of the seeds, as one number.
    digest: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    records: Option<Taped>,
}

/// What servers had to do for the requests of clients.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Attempts {
    /// Requests that clients sent, repeats included.
    requests: u64,
    /// Attempts at boxes.
    boxes: u64,
    /// Calls at the origin.
    origin: u64,
    /// Answers that boxes gave a second time.
    second_answers: u64,
    /// Those that were given while a later command of their connection waited for its answer.
    second_answers_before_others: u64,
}

impl Attempts {
    fn add(&mut self, report: &Report) {
        self.requests += report.requests;
        self.boxes += report.attempts;
        self.origin += report.origin_calls;
        self.second_answers += report.second_answers;
        self.second_answers_before_others += report.second_answers_before_others;
    }

    fn print(&self) {
        let a_request = |count: u64| count as f64 / self.requests.max(1) as f64;
        println!(
            "{} second answers, {} of them before others were answered; {} requests, {:.3} attempts and \
             {:.3} calls at the origin each",
            self.second_answers,
            self.second_answers_before_others,
            self.requests,
            a_request(self.boxes),
            a_request(self.origin)
        );
    }
}

/// What was recorded and played again.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Taped {
    segments: u64,
    events: u64,
    actions: u64,
    requests: u64,
    bytes: u64,
    /// States saved and restored at random events.
    restored: u64,
    /// Lives of nodes that began with what an earlier life left behind.
    inherited: u64,
}

impl Taped {
    fn add(&mut self, other: &Taped) {
        self.segments += other.segments;
        self.events += other.events;
        self.actions += other.actions;
        self.requests += other.requests;
        self.bytes += other.bytes;
        self.restored += other.restored;
        self.inherited += other.inherited;
    }
}

/// Plays the records of a run again, each with the state saved and restored at one random event. The error says what
/// came out otherwise.
fn check(plan: &RunPlan, tapes: &[RecordedSegment], keep: Option<&Path>) -> Result<Taped, String> {
    let mut taped = Taped::default();
    for (i, tape) in tapes.iter().enumerate() {
        let named = |e: String| {
            format!("node {}, segment {} of life {}: {e}", tape.node, tape.number, tape.incarnation)
        };
        if let Some(folder) = keep {
            let name = format!(
                "{}-{}-{}",
                plan.scenario.name,
                plan.seed,
                segment_file_name(&tape.node.to_string(), tape.incarnation, tape.number)
            );
            files::write_bytes(&folder.join(name), &tape.bytes)?;
        }
        let open = || Segment::open(&tape.bytes).map_err(|torn| named(torn.to_string()));
        let mut reading = open()?;
        let count = reading.by_ref().count() as u64;
        // Any event but the first, whose state is restored anyhow.
        let at =
            1 + plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(i as u64 * 7919) % count.max(2);
        let (mut number, mut restored, mut unreadable) = (0, 0, None);
        let swap = |policy: &mut Policy, _: &Entry| {
            number += 1;
            if number == at {
                let again = postcard::to_allocvec(policy).and_then(|bytes| postcard::from_bytes(&bytes));
                match again {
                    Ok(again) => (*policy, restored) = (again, 1),
                    Err(e) => unreadable = Some(e.to_string()),
                }
            }
        };
        let mut inherited = 0;
        let (outcome, policy) = replay::replay_with(&mut open()?, InitialState::Recorded, swap, |step| {
            inherited += u64::from(matches!(step.entry.body, Body::Event { event: Event::Inherited(_), .. }));
        })
        .map_err(named)?;
        if let Some(e) = unreadable {
            return Err(named(e));
        }
        if let Some(d) = outcome.first_difference {
            return Err(named(format!(
                "entry {}: {:?} brought {:?} then and {:?} now",
                d.entry, d.event, d.recorded, d.replayed
            )));
        }
        if let Some(torn) = outcome.read_error {
            return Err(named(torn.to_string()));
        }
        // The next segment of the same life begins where this one has come to, bit by bit.
        if let Some(next) = tapes
            .iter()
            .find(|t| (t.node, t.incarnation, t.number) == (tape.node, tape.incarnation, tape.number + 1))
        {
            let first = Segment::open(&next.bytes).map_err(|t| named(t.to_string()))?.next();
            let here = postcard::to_allocvec(&policy).map_err(|e| named(e.to_string()))?;
            if !matches!(first.map(|e| e.body), Some(Body::State(there)) if there == here) {
                return Err(named("the next segment begins with another state".into()));
            }
        }
        taped.add(&Taped {
            segments: 1,
            events: outcome.events,
            actions: outcome.actions,
            requests: outcome.requests,
            bytes: tape.bytes.len() as u64,
            restored,
            inherited,
        });
    }
    Ok(taped)
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

/// Plays the seeds of a range on several threads and gives what came of each as it comes; ends early when told
/// `false`.
pub fn play<T: Send>(
    plan_of: impl Fn(u64) -> RunPlan + Sync,
    (from, to): (u64, u64),
    jobs: usize,
    run: impl Fn(&RunPlan) -> T + Sync,
    mut each: impl FnMut(u64, RunPlan, T) -> bool,
) {
    let next = AtomicU64::new(from);
    std::thread::scope(|scope| {
        let (done, reports) = mpsc::sync_channel(jobs);
        for _ in 0..jobs.clamp(1, 256) {
            let (done, next, plan_of, run) = (done.clone(), &next, &plan_of, &run);
            scope.spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= to {
                        return;
                    }
                    let plan = plan_of(seed);
                    let ran = run(&plan);
                    if done.send((seed, plan, ran)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(done);
        for (seed, plan, ran) in reports {
            if !each(seed, plan, ran) {
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
    let plan = |seed| RunPlan { scenario: scenario.clone(), seed, script: None, mutant: args.mutant };
    let count = args.seeds.1 - args.seeds.0;
    let bar = if std::io::stderr().is_terminal() { ProgressBar::new(count) } else { ProgressBar::hidden() };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} seeds, {msg} broken, {eta} left");
    bar.set_style(style.map_err(|e| e.to_string())?);
    bar.set_message("0");
    let begin = Instant::now();
    let (mut broken, mut rules_broken) = (BTreeMap::new(), BTreeMap::new());
    let mut attempts = Attempts::default();
    let mut failed = None;
    let mut digests = BTreeMap::new();
    let (mut origin_calls, mut origin_over) = (0, 0);
    let (mut virtual_s, mut offered, mut tries, mut packets, mut in_time) = (0.0, 0, 0.0, 0, 0);
    let mut taped = Taped::default();
    let ran = |plan: &RunPlan| {
        if !args.record && !args.recover {
            return (run(plan, None), Ok(Taped::default()));
        }
        let recording = RecordingOptions { recover: args.recover, ..RecordingOptions::default() };
        let (report, tapes) = run_recorded(plan, None, recording);
        (report, check(plan, &tapes, args.keep.as_deref()))
    };
    play(plan, args.seeds, jobs, ran, |seed, plan, (report, tapes)| {
        bar.inc(1);
        match tapes {
            Ok(one) => taped.add(&one),
            Err(e) => {
                failed = Some(format!("seed {seed}: {e}"));
                return false;
            }
        }
        virtual_s += report.virtual_s;
        offered += report.all.offered;
        in_time += report.all.in_time;
        origin_calls += report.origin_calls;
        origin_over += report.origin_over;
        tries += report.tries * report.all.offered as f64;
        packets += report.packets;
        attempts.add(&report);
        for rule in report.violations.iter().map(|v| v.rule).collect::<BTreeSet<_>>() {
            *rules_broken.entry(rule).or_default() += 1;
        }
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
        origin_calls,
        origin_over,
        attempts,
        digest: format!("{digest:016x}"),
        records: (args.record || args.recover).then_some(taped),
        broken,
        rules_broken,
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
        for (rule, seeds) in &summary.rules_broken {
            println!("{rule:?} was broken by {seeds} seeds");
        }
        if attempts.second_answers > 0 {
            attempts.print();
        }
        if origin_over > 0 {
            println!(
                "{origin_over} of {origin_calls} calls at the origin were over the cap of their node, all its lives together"
            );
        }
        if let Some(t) = summary.records {
            println!(
                "records: {} segments, {} events, {} actions, {} requests, played again identically; {} states \
                 restored in the middle; {:.1} bytes an event; {} lives began with what was left behind",
                t.segments,
                t.events,
                t.actions,
                t.requests,
                t.restored,
                t.bytes as f64 / t.events.max(1) as f64,
                t.inherited
            );
        }
    }
    Ok(if summary.broken.is_empty() { Verdict::Good } else { Verdict::Broken })
}
