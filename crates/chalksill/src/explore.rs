//! `chalksill sim explore`: runs many seeds of a scenario on all cores.

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

/// Arguments of `sim explore`.
#[derive(Args)]
pub struct Explore {
    /// The scenario, a TOML file
    scenario: PathBuf,
    /// The range of seeds, its end excluded, such as 0..1000
    #[arg(long, value_parser = parse_seed_range, default_value = "0..100")]
    seeds: (u64, u64),
    /// Number of concurrent runs; one for each core by default
    #[arg(long)]
    jobs: Option<usize>,
    /// The folder for replay files of seeds that break a rule
    #[arg(long, default_value = "found")]
    out: PathBuf,
    /// Prints the summary as JSON
    #[arg(long)]
    json: bool,
    /// Stops at the first seed that breaks a rule
    #[arg(long)]
    first: bool,
    /// Plants a fault in the nodes, to measure within how many seeds the checker finds it
    #[arg(long, value_parser = crate::sim::parse_mutant)]
    mutant: Option<Mutant>,
    /// Records all nodes and replays each record through the decision module, with the state saved and restored at a
    /// random event; the replay must give the same actions
    #[arg(long)]
    record: bool,
    /// As --record, and nodes that restart recover from their records
    #[arg(long)]
    recover: bool,
    /// With --record, a folder to keep the records in
    #[arg(long, requires = "record")]
    keep: Option<PathBuf>,
}

/// Totals over all runs.
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
    /// Origin calls made while the calls of their node, over all its incarnations, were at its limit or above.
    origin_over: u64,
    attempts: Attempts,
    /// The digests of all runs, combined in the order of the seeds.
    digest: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    records: Option<ReplayTotals>,
}

/// Work of cache servers and the origin for the requests of clients.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Attempts {
    /// Requests that clients sent, retries included.
    requests: u64,
    /// Attempts at cache servers.
    boxes: u64,
    /// Calls to the origin.
    origin: u64,
    /// Duplicate responses of cache servers.
    second_answers: u64,
    /// Duplicate responses sent while a later command on the same connection waited for its response.
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
        let per_request = |count: u64| count as f64 / self.requests.max(1) as f64;
        println!(
            "{} duplicate responses, {} of them while a later command waited; {} requests, {:.3} attempts and \
             {:.3} origin calls per request",
            self.second_answers,
            self.second_answers_before_others,
            self.requests,
            per_request(self.boxes),
            per_request(self.origin)
        );
    }
}

/// Totals of the records that were replayed.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct ReplayTotals {
    segments: u64,
    events: u64,
    actions: u64,
    requests: u64,
    bytes: u64,
    /// States that were saved and restored at a random event.
    restored: u64,
    /// Incarnations that started from the state of an earlier incarnation.
    inherited: u64,
}

impl ReplayTotals {
    fn add(&mut self, other: &ReplayTotals) {
        self.segments += other.segments;
        self.events += other.events;
        self.actions += other.actions;
        self.requests += other.requests;
        self.bytes += other.bytes;
        self.restored += other.restored;
        self.inherited += other.inherited;
    }
}

/// Replays the records of a run, each with the state saved and restored at one random event. The error describes the
/// first difference.
fn verify_records(
    plan: &RunPlan,
    recorded: &[RecordedSegment],
    keep: Option<&Path>,
) -> Result<ReplayTotals, String> {
    let mut totals = ReplayTotals::default();
    for (index, segment) in recorded.iter().enumerate() {
        let segment_error = |e: String| {
            format!(
                "node {}, segment {} of incarnation {}: {e}",
                segment.node, segment.number, segment.incarnation
            )
        };
        if let Some(folder) = keep {
            let name = format!(
                "{}-{}-{}",
                plan.scenario.name,
                plan.seed,
                segment_file_name(&segment.node.to_string(), segment.incarnation, segment.number)
            );
            files::write_bytes(&folder.join(name), &segment.bytes)?;
        }
        let open_segment = || Segment::open(&segment.bytes).map_err(|torn| segment_error(torn.to_string()));
        let mut entries = open_segment()?;
        let count = entries.by_ref().count() as u64;
        // Any event but the first: there the replay restores the recorded state anyway.
        let restore_at = 1 + plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(index as u64 * 7919)
            % count.max(2);
        let (mut event_number, mut restored, mut restore_error) = (0, 0, None);
        let restore_state = |policy: &mut Policy, _: &Entry| {
            event_number += 1;
            if event_number == restore_at {
                let copy = postcard::to_allocvec(policy).and_then(|bytes| postcard::from_bytes(&bytes));
                match copy {
                    Ok(copy) => (*policy, restored) = (copy, 1),
                    Err(e) => restore_error = Some(e.to_string()),
                }
            }
        };
        let mut inherited = 0;
        let (outcome, policy) =
            replay::replay_with(&mut open_segment()?, InitialState::Recorded, restore_state, |step| {
                inherited +=
                    u64::from(matches!(step.entry.body, Body::Event { event: Event::Inherited(_), .. }));
            })
            .map_err(segment_error)?;
        if let Some(e) = restore_error {
            return Err(segment_error(e));
        }
        if let Some(difference) = outcome.first_difference {
            return Err(segment_error(format!(
                "entry {}: {:?} was recorded with {:?} and replays to {:?}",
                difference.entry, difference.event, difference.recorded, difference.replayed
            )));
        }
        if let Some(error) = outcome.read_error {
            return Err(segment_error(error.to_string()));
        }
        // The next segment of the same incarnation must begin with exactly the state at the end of this one.
        if let Some(next) = recorded.iter().find(|other| {
            (other.node, other.incarnation, other.number)
                == (segment.node, segment.incarnation, segment.number + 1)
        }) {
            let first = Segment::open(&next.bytes).map_err(|t| segment_error(t.to_string()))?.next();
            let end_state = postcard::to_allocvec(&policy).map_err(|e| segment_error(e.to_string()))?;
            if !matches!(first.map(|e| e.body), Some(Body::State(start_state)) if start_state == end_state) {
                return Err(segment_error("the next segment begins with a different state".into()));
            }
        }
        totals.add(&ReplayTotals {
            segments: 1,
            events: outcome.events,
            actions: outcome.actions,
            requests: outcome.requests,
            bytes: segment.bytes.len() as u64,
            restored,
            inherited,
        });
    }
    Ok(totals)
}

/// Parses a range of seeds.
pub fn parse_seed_range(text: &str) -> Result<(u64, u64), String> {
    let (from, to) = text.split_once("..").ok_or("expected two numbers, such as 0..1000")?;
    let number = |t: &str| t.trim().parse::<u64>().map_err(|e| format!("{t:?}: {e}"));
    let range = (number(from)?, number(to)?);
    if range.0 >= range.1 { Err("the range is empty".into()) } else { Ok(range) }
}

/// Number of threads that this machine can run at the same time.
pub fn available_cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// Runs the seeds of a range on several threads and passes each result to `on_result` as it completes. Stops early when
/// `on_result` returns `false`.
pub fn run_seeds<T: Send>(
    plan_of: impl Fn(u64) -> RunPlan + Sync,
    (from, to): (u64, u64),
    jobs: usize,
    run: impl Fn(&RunPlan) -> T + Sync,
    mut on_result: impl FnMut(u64, RunPlan, T) -> bool,
) {
    let next = AtomicU64::new(from);
    std::thread::scope(|scope| {
        let (sender, results) = mpsc::sync_channel(jobs);
        for _ in 0..jobs.clamp(1, 256) {
            let (sender, next, plan_of, run) = (sender.clone(), &next, &plan_of, &run);
            scope.spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= to {
                        return;
                    }
                    let plan = plan_of(seed);
                    let result = run(&plan);
                    if sender.send((seed, plan, result)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        for (seed, plan, result) in results {
            if !on_result(seed, plan, result) {
                next.store(to, Ordering::Relaxed);
                return;
            }
        }
    });
}

/// Executes the subcommand.
pub fn execute(args: &Explore) -> Result<Verdict, String> {
    let scenario = files::read_scenario(&args.scenario)?;
    let jobs = args.jobs.unwrap_or(available_cores()).clamp(1, 256);
    let plan_of = |seed| RunPlan { scenario: scenario.clone(), seed, script: None, mutant: args.mutant };
    let count = args.seeds.1 - args.seeds.0;
    let bar = if std::io::stderr().is_terminal() { ProgressBar::new(count) } else { ProgressBar::hidden() };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} seeds, {msg} broken, {eta} left");
    bar.set_style(style.map_err(|e| e.to_string())?);
    bar.set_message("0");
    let begin = Instant::now();
    let (mut broken, mut rules_broken) = (BTreeMap::new(), BTreeMap::new());
    let mut attempts = Attempts::default();
    let mut error = None;
    let mut digests = BTreeMap::new();
    let (mut origin_calls, mut origin_over) = (0, 0);
    let (mut virtual_s, mut offered, mut tries, mut packets, mut in_time) = (0.0, 0, 0.0, 0, 0);
    let mut replay_totals = ReplayTotals::default();
    let execute_plan = |plan: &RunPlan| {
        if !args.record && !args.recover {
            return (run(plan, None), Ok(ReplayTotals::default()));
        }
        let recording = RecordingOptions { recover: args.recover, ..RecordingOptions::default() };
        let (report, recorded) = run_recorded(plan, None, recording);
        (report, verify_records(plan, &recorded, args.keep.as_deref()))
    };
    run_seeds(plan_of, args.seeds, jobs, execute_plan, |seed, plan, (report, replayed)| {
        bar.inc(1);
        match replayed {
            Ok(totals) => replay_totals.add(&totals),
            Err(e) => {
                error = Some(format!("seed {seed}: {e}"));
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
            let written = files::to_json(&Replay::from_run(&plan, &plan.script(), &report))
                .and_then(|text| files::write(&path, &text));
            if !args.json {
                bar.suspend(|| println!("seed {seed}: BROKEN {first} ({})", path.display()));
            }
            if let Err(e) = written {
                error = Some(e);
                return false;
            }
            return !args.first;
        }
        true
    });
    bar.finish_and_clear();
    if let Some(e) = error {
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
        records: (args.record || args.recover).then_some(replay_totals),
        broken,
        rules_broken,
    };
    if args.json {
        println!("{}", files::to_json(&summary)?);
    } else {
        println!(
            "{}: {} seeds on {} threads, {} broken; {:.0} virtual s in {:.1} s ({:.0} per second and thread), \
             {:.0} client requests per second, {:.1}% in time, digest {}",
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
                "{origin_over} of {origin_calls} origin calls were over the limit of their node, all its incarnations together"
            );
        }
        if let Some(totals) = summary.records {
            println!(
                "records: {} segments, {} events, {} actions, {} requests, replayed identically; {} states restored \
                 at a random event; {:.1} bytes per event; {} incarnations started from inherited state",
                totals.segments,
                totals.events,
                totals.actions,
                totals.requests,
                totals.restored,
                totals.bytes as f64 / totals.events.max(1) as f64,
                totals.inherited
            );
        }
    }
    Ok(if summary.broken.is_empty() { Verdict::Good } else { Verdict::Broken })
}
