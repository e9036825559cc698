//! `chalksill record`: reads, verifies, replays and compares what nodes have recorded.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::Instant;

use brassrouter::Micros;
use chalksill_inquest::cut::{Selection, cut};
use chalksill_inquest::describe;
use chalksill_inquest::diff::compare;
use chalksill_inquest::divergence::{Divergence, find_divergence};
use chalksill_inquest::explain::{RequestSelector, describe_view, explain_request};
use chalksill_inquest::merge::{NodeRecord, merge};
use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use mothpier_record::Segment;
use mothpier_record::entry::{Body, Entry};
use mothpier_record::replay::{Difference, Outcome, replay};
use mothpier_record::store::FILE_EXTENSION;
use serde::Serialize;

use crate::{Verdict, explore, files};

/// Subcommands of `chalksill record`. A folder given as FILE stands for all segments in it, in the order of their names.
#[derive(Subcommand)]
pub enum Record {
    /// Prints the header of each record, and how much it holds
    Info(RecordFiles),
    /// Reads every entry and checksum; exit code 1 where a record is torn or corrupt
    Verify(RecordFiles),
    /// Prints the entries, one per line
    Cat(Cat),
    /// Extracts the part around a request, a time or a server as a record of its own
    Cut(Cut),
    /// Replays the events through the decision module; exit code 1 where the actions differ from those recorded
    Replay(Replay),
    /// Explains the decisions about one request: what was known of each server, why one was chosen, why it was refused
    Why(Why),
    /// Compares two records entry by entry; exit code 1 where they differ
    Diff(Diff),
    /// Merges the records of several nodes into one timeline, with their clock offsets corrected
    Merge(Merge),
}

/// Arguments of `record info` and `record verify`.
#[derive(Args)]
pub struct RecordFiles {
    /// Segments, or folders of them
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Prints JSON, one object per record
    #[arg(long)]
    json: bool,
}

/// Arguments of `record cat`.
#[derive(Args)]
pub struct Cat {
    /// A segment, or a folder of them
    file: PathBuf,
    /// Only entries that concern this request: its number in the decision module, or the id that its client gave it
    #[arg(long)]
    request: Option<String>,
    /// Includes timers and messages of peers that led to no decision
    #[arg(long)]
    all: bool,
}

/// Arguments of `record cut`.
#[derive(Args)]
pub struct Cut {
    /// The segment
    file: PathBuf,
    /// The part around this request: its number in the decision module, or the id that its client gave it
    #[arg(long, group = "selection", required = true)]
    request: Option<String>,
    /// The part around this time, as cat prints it, or in seconds since 1970
    #[arg(long, group = "selection", required = true)]
    at: Option<String>,
    /// The part around everything that concerns this server
    #[arg(long, group = "selection", required = true)]
    server: Option<u32>,
    /// How much of the time before and after to include, ms
    #[arg(long, default_value_t = 100.0)]
    margin: f64,
    /// Where the extracted record is written
    #[arg(short, long)]
    out: PathBuf,
}

/// Arguments of `record replay`.
#[derive(Args)]
pub struct Replay {
    /// Segments, or folders of them
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// The decision module has changed since: reports where and how far its decisions diverge from those recorded
    #[arg(long)]
    policy_changed: bool,
    /// Number of segments to replay at the same time; one for each core by default
    #[arg(long)]
    jobs: Option<usize>,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

/// Arguments of `record why`.
#[derive(Args)]
pub struct Why {
    /// Segments, or folders of them
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// The request: its number in the decision module, or the id that its client gave it
    #[arg(long)]
    request: String,
    /// How many servers of the request's order of preference to describe at each step
    #[arg(long, default_value_t = 4)]
    servers: usize,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

/// Arguments of `record diff`.
#[derive(Args)]
pub struct Diff {
    /// The first segment
    a: PathBuf,
    /// The second segment
    b: PathBuf,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

/// Arguments of `record merge`.
#[derive(Args)]
pub struct Merge {
    /// One file or folder for each node; times are shown by the clock of the first
    #[arg(required = true, num_args = 1.., value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Includes everything, not only refusals, failures and events that concern the whole node
    #[arg(long)]
    all: bool,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

/// Executes a subcommand.
pub fn execute(record: Record) -> Result<Verdict, String> {
    match record {
        Record::Info(args) => info(&args),
        Record::Verify(args) => verify(&args),
        Record::Cat(args) => cat(&args),
        Record::Cut(args) => cut_segment(&args),
        Record::Replay(args) if args.policy_changed => replay_with_changed_policy(&args),
        Record::Replay(args) => replay_segments(&args),
        Record::Why(args) => explain(&args),
        Record::Diff(args) => diff(&args),
        Record::Merge(args) => merge_records(&args),
    }
}

/// The segment files that paths stand for: a folder stands for all its segments, in the order of their names.
fn segment_paths(paths: &[PathBuf]) -> Result<Vec<PathBuf>, String> {
    let mut all = Vec::new();
    for path in paths {
        if !path.is_dir() {
            all.push(path.clone());
            continue;
        }
        let read_error = |e: std::io::Error| format!("cannot read {}: {e}", path.display());
        let mut in_folder = Vec::new();
        for entry in std::fs::read_dir(path).map_err(read_error)? {
            let file = entry.map_err(read_error)?.path();
            if file.extension().is_some_and(|e| e == FILE_EXTENSION) {
                in_folder.push(file);
            }
        }
        if in_folder.is_empty() {
            return Err(format!("{}: no segment (*.{FILE_EXTENSION}) in this folder", path.display()));
        }
        in_folder.sort();
        all.extend(in_folder);
    }
    Ok(all)
}

/// Reads a file; the error names it.
fn read_bytes(path: &Path) -> Result<Vec<u8>, String> {
    std::fs::read(path).map_err(|e| format!("cannot read {}: {e}", path.display()))
}

/// Opens a segment; the error names its file.
fn open_segment<'a>(path: &Path, bytes: &'a [u8]) -> Result<Segment<'a>, String> {
    Segment::open(bytes).map_err(|torn| format!("{}: {torn}", path.display()))
}

/// A number selects by the number in the decision module, other text by the id of the client.
fn parse_selector(text: &str) -> RequestSelector {
    text.parse().map_or_else(|_| RequestSelector::ClientId(text.into()), RequestSelector::Number)
}

/// The header of a record, and counts of its entries.
#[derive(Serialize)]
struct SegmentInfo {
    file: String,
    node: String,
    life: String,
    number: u32,
    program: String,
    state: u32,
    seed: String,
    secret_keys: bool,
    servers: usize,
    begins: String,
    ends: String,
    seconds: f64,
    bytes: usize,
    state_bytes: usize,
    events: u64,
    actions: u64,
    requests: u64,
    bytes_a_request: f64,
    missing: u64,
    ended: bool,
    torn: Option<String>,
}

fn segment_info(path: &Path) -> Result<SegmentInfo, String> {
    let bytes = read_bytes(path)?;
    let mut segment = open_segment(path, &bytes)?;
    let (mut events, mut actions, mut requests, mut missing) = (0, 0, 0, 0);
    let (mut last, mut ended, mut state_bytes) = (segment.header.started_at, false, 0);
    for entry in segment.by_ref() {
        last = entry.at;
        match entry.body {
            Body::State(state) => state_bytes = state.len(),
            Body::Gap { events } => missing += events,
            Body::End => ended = true,
            Body::Event { event, actions: event_actions, .. } => {
                events += 1;
                actions += event_actions.len() as u64;
                requests += u64::from(matches!(event, brassrouter::Event::Request(_)));
            }
        }
    }
    let header = &segment.header;
    Ok(SegmentInfo {
        file: path.display().to_string(),
        node: header.node.clone(),
        life: describe::utc_time(header.incarnation),
        number: header.number,
        program: header.program.clone(),
        state: header.state_version,
        seed: format!("{:016x}", header.seed),
        secret_keys: header.secret_keys,
        servers: header.servers.len(),
        begins: describe::utc_time(header.started_at),
        ends: describe::utc_time(last),
        seconds: (last - header.started_at) as f64 / 1e6,
        bytes: bytes.len(),
        state_bytes,
        events,
        actions,
        requests,
        bytes_a_request: (bytes.len() - state_bytes) as f64 / requests.max(1) as f64,
        missing,
        ended,
        torn: segment.read_error().map(ToString::to_string),
    })
}

fn info(args: &RecordFiles) -> Result<Verdict, String> {
    for path in segment_paths(&args.files)? {
        let info = segment_info(&path)?;
        if args.json {
            println!("{}", files::to_json(&info)?);
            continue;
        }
        println!(
            "{}: node {}, segment {} of the incarnation started {}",
            info.file, info.node, info.number, info.life
        );
        println!("  {} to {}, {:.1} s", info.begins, info.ends, info.seconds);
        println!(
            "  by {}, state layout {}, seed {}, {} servers",
            info.program, info.state, info.seed, info.servers
        );
        println!(
            "  {} events, {} actions, {} requests; {} bytes, {} of them state, {:.1} per request",
            info.events, info.actions, info.requests, info.bytes, info.state_bytes, info.bytes_a_request
        );
        let end = if info.ended { "the node shut down in order" } else { "no orderly shutdown" };
        let missing = if info.missing > 0 {
            format!("{} events are missing before it; ", info.missing)
        } else {
            String::new()
        };
        println!("  {missing}{end}{}", info.torn.map_or(String::new(), |t| format!("; torn at {t}")));
    }
    Ok(Verdict::Good)
}

fn verify(args: &RecordFiles) -> Result<Verdict, String> {
    let mut verdict = Verdict::Good;
    for path in segment_paths(&args.files)? {
        let bytes = read_bytes(&path)?;
        let (entries, read_error) = match Segment::open(&bytes) {
            Ok(mut segment) => (segment.by_ref().count(), segment.read_error().map(ToString::to_string)),
            Err(torn) => (0, Some(torn.to_string())),
        };
        if args.json {
            let line = serde_json::json!({ "file": path, "entries": entries, "torn": read_error });
            println!("{line}");
        } else {
            let status =
                read_error.as_ref().map_or("complete".to_owned(), |error| format!("TORN at {error}"));
            println!("{}: {entries} entries, {status}", path.display());
        }
        if read_error.is_some() {
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}

fn cat(args: &Cat) -> Result<Verdict, String> {
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    let wanted = args.request.as_deref().map(parse_selector);
    for path in segment_paths(std::slice::from_ref(&args.file))? {
        let bytes = read_bytes(&path)?;
        let mut segment = open_segment(&path, &bytes)?;
        let header = segment.header.clone();
        let mut request = None;
        for entry in segment.by_ref() {
            if let Some(selector) = &wanted {
                request = selector.arrival(&entry).or(request);
                if !request.is_some_and(|id| concerns_request(&entry, id)) {
                    continue;
                }
            } else if !args.all && is_routine(&entry) {
                continue;
            }
            // Writing fails once the reader has closed the pipe: it wants no more output.
            if writeln!(out, "{} {}", describe::utc_time(entry.at), describe::entry(&header, &entry)).is_err()
            {
                return Ok(Verdict::Good);
            }
        }
        if let Some(torn) = segment.read_error() {
            out.flush().map_err(|e| e.to_string())?;
            eprintln!("{}: torn at {torn}", path.display());
            return Ok(Verdict::Broken);
        }
    }
    out.flush().map_err(|e| e.to_string())?;
    Ok(Verdict::Good)
}

/// Whether an entry or its actions concern a request.
fn concerns_request(entry: &Entry, request: u64) -> bool {
    matches!(&entry.body, Body::Event { actions, .. } if mothpier_record::replay::concerns(entry, actions, request))
}

/// Whether an entry is a timer or a message of a peer that led to nothing but another timer or message.
fn is_routine(entry: &Entry) -> bool {
    use brassrouter::Event;
    use mothpier_record::entry::RecordedAction;
    let Body::Event { event, actions, .. } = &entry.body else { return false };
    matches!(event, Event::Timer(_) | Event::PeerMessage { .. })
        && actions
            .iter()
            .all(|a| matches!(a, RecordedAction::Timer { .. } | RecordedAction::SendToPeers { .. }))
}

/// Parses a time: date and time as `cat` prints them, or seconds since 1970.
fn parse_time(text: &str) -> Result<Micros, String> {
    if let Ok(seconds) = text.parse::<f64>() {
        return Ok((seconds * 1e6) as Micros);
    }
    let invalid =
        || format!("invalid time {text:?}: expected 2026-01-31 12:00:00.000, or seconds since 1970");
    let (date, clock) = text.trim().split_once([' ', 'T']).ok_or_else(invalid)?;
    let numbers =
        |text: &str, by| text.split(by).map(|n| n.parse::<f64>().ok()).collect::<Option<Vec<f64>>>();
    let date = numbers(date, '-').filter(|d| d.len() == 3).ok_or_else(invalid)?;
    let clock = numbers(clock, ':').filter(|c| c.len() == 3).ok_or_else(invalid)?;
    // Days since 1970 of a civil date: the inverse of what `describe::utc_time` computes.
    let (year, month, day) = (date[0], date[1], date[2]);
    if !(1970.0..2200.0).contains(&year) || !(1.0..=12.0).contains(&month) || !(1.0..=31.0).contains(&day) {
        return Err(invalid());
    }
    let year = if month <= 2.0 { year - 1.0 } else { year };
    let from_march = (month + 9.0) % 12.0;
    let era = (year / 400.0).floor();
    let year_of_era = year - era * 400.0;
    let day_of_year = ((153.0 * from_march + 2.0) / 5.0).floor() + day - 1.0;
    let days = era * 146_097.0 + year_of_era * 365.0 + (year_of_era / 4.0).floor()
        - (year_of_era / 100.0).floor()
        + day_of_year
        - 719_468.0;
    let seconds = days * 86_400.0 + clock[0] * 3600.0 + clock[1] * 60.0;
    Ok((seconds as Micros) * 1_000_000 + (clock[2] * 1e6).round() as Micros)
}

fn cut_segment(args: &Cut) -> Result<Verdict, String> {
    let bytes = read_bytes(&args.file)?;
    let selection = match (&args.request, &args.at, args.server) {
        (Some(request), ..) => Selection::Request(parse_selector(request)),
        (_, Some(at), _) => Selection::Time(parse_time(at)?),
        (.., Some(server)) => Selection::Server(server),
        _ => return Err("one of --request, --at and --server is required".into()),
    };
    let margin = (args.margin.max(0.0) * 1000.0) as Micros;
    let excerpt = cut(&bytes, &selection, margin).map_err(|e| format!("{}: {e}", args.file.display()))?;
    std::fs::write(&args.out, &excerpt.bytes)
        .map_err(|e| format!("cannot write {}: {e}", args.out.display()))?;
    println!(
        "{}: {} events, {} to {}, {} bytes",
        args.out.display(),
        excerpt.events,
        describe::utc_time(excerpt.time_range.0),
        describe::utc_time(excerpt.time_range.1),
        excerpt.bytes.len()
    );
    Ok(Verdict::Good)
}

/// Processes each segment on several threads; gives the results in the order of the segments.
fn process_segments<T: Send>(
    paths: &[PathBuf],
    jobs: Option<usize>,
    work: impl Fn(&Path, &[u8]) -> Result<T, String> + Sync,
) -> Result<Vec<T>, String> {
    let jobs = jobs.unwrap_or_else(explore::available_cores).clamp(1, 256).min(paths.len().max(1));
    let show_progress = std::io::stderr().is_terminal() && paths.len() > 1;
    let bar = if show_progress { ProgressBar::new(paths.len() as u64) } else { ProgressBar::hidden() };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} segments, {eta} left");
    bar.set_style(style.map_err(|e| e.to_string())?);
    let next = AtomicUsize::new(0);
    let mut all: Vec<Option<Result<T, String>>> = paths.iter().map(|_| None).collect();
    std::thread::scope(|scope| {
        let (sender, results) = mpsc::sync_channel(jobs);
        for _ in 0..jobs {
            let (sender, next, work) = (sender.clone(), &next, &work);
            scope.spawn(move || {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(path) = paths.get(index) else { return };
                    let result = read_bytes(path).and_then(|b| work(path, &b));
                    if sender.send((index, result)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        for (index, result) in results {
            bar.inc(1);
            all[index] = Some(result);
        }
    });
    bar.finish_and_clear();
    all.into_iter().flatten().collect()
}

/// Totals over all replayed segments.
#[derive(Serialize)]
struct ReplaySummary {
    segments: usize,
    events: u64,
    actions: u64,
    requests: u64,
    missing: u64,
    seconds: f64,
    real_s: f64,
    events_a_second: f64,
    /// Recorded time divided by the time that the replay took.
    times_real_time: f64,
    identical: bool,
    torn: Vec<String>,
}

fn replay_segments(args: &Replay) -> Result<Verdict, String> {
    let paths = segment_paths(&args.files)?;
    let begin = Instant::now();
    let outcomes: Vec<Outcome> = process_segments(&paths, args.jobs, |path, bytes| {
        let mut segment = open_segment(path, bytes)?;
        replay(&mut segment).map(|(outcome, _)| outcome).map_err(|e| format!("{}: {e}", path.display()))
    })?;
    let real_s = begin.elapsed().as_secs_f64();
    let duration = |outcome: &Outcome| outcome.time_range.map_or(0, |(first, last)| last - first);
    let seconds = outcomes.iter().map(duration).sum::<u64>() as f64 / 1e6;
    let events = outcomes.iter().map(|o| o.events).sum();
    let torn = paths
        .iter()
        .zip(&outcomes)
        .filter_map(|(path, o)| o.read_error.as_ref().map(|torn| format!("{}: {torn}", path.display())));
    let summary = ReplaySummary {
        segments: paths.len(),
        events,
        actions: outcomes.iter().map(|o| o.actions).sum(),
        requests: outcomes.iter().map(|o| o.requests).sum(),
        missing: outcomes.iter().map(|o| o.missing_events).sum(),
        seconds,
        real_s,
        events_a_second: events as f64 / real_s,
        times_real_time: seconds / real_s,
        identical: outcomes.iter().all(|o| o.first_difference.is_none()),
        torn: torn.collect(),
    };
    if args.json {
        println!("{}", files::to_json(&summary)?);
    } else {
        for line in &summary.torn {
            println!("torn, replayed up to there: {line}");
        }
        if summary.missing > 0 {
            println!("{} events are missing between segments", summary.missing);
        }
        let result = if summary.identical { "identical" } else { "NOT identical" };
        println!("{} events, {} actions, {result}", summary.events, summary.actions);
        println!(
            "{} segments, {:.1} s recorded, replayed in {:.2} s: {:.0} events per second, {:.0} times real time",
            summary.segments, summary.seconds, real_s, summary.events_a_second, summary.times_real_time
        );
    }
    if let Some((path, difference)) =
        paths.iter().zip(&outcomes).find_map(|(p, o)| o.first_difference.as_ref().map(|d| (p, d)))
        && !args.json
    {
        print_difference(path, difference)?;
    }
    Ok(if summary.identical { Verdict::Good } else { Verdict::Broken })
}

/// Prints a difference with the entries before and after it.
fn print_difference(path: &Path, difference: &Difference) -> Result<(), String> {
    /// Entries shown before and after the difference.
    const CONTEXT_ENTRIES: u64 = 4;
    let bytes = read_bytes(path)?;
    let segment = open_segment(path, &bytes)?;
    let header = segment.header.clone();
    println!("{}: the first difference is at entry {}", path.display(), difference.entry);
    for (number, entry) in (0..).zip(segment) {
        if number + CONTEXT_ENTRIES < difference.entry {
            continue;
        }
        if number > difference.entry + CONTEXT_ENTRIES {
            break;
        }
        let label = if number == difference.entry { "then" } else { "" };
        println!("  {label:>4} {} {}", describe::utc_time(entry.at), describe::entry(&header, &entry));
        if number == difference.entry {
            let now: Vec<_> = difference.replayed.iter().map(describe::action).collect();
            println!("   now {} -> {}", describe::utc_time(entry.at), now.join("; "));
        }
    }
    Ok(())
}

fn replay_with_changed_policy(args: &Replay) -> Result<Verdict, String> {
    let paths = segment_paths(&args.files)?;
    let divergences: Vec<(Divergence, Option<Difference>)> =
        process_segments(&paths, args.jobs, |path, bytes| {
            find_divergence(&mut open_segment(path, bytes)?).map_err(|e| format!("{}: {e}", path.display()))
        })?;
    let mut summary = Divergence::default();
    for (one, _) in &divergences {
        summary.events += one.events;
        summary.requests += one.requests;
        summary.diverged_events += one.diverged_events;
        summary.retry_after_difference += one.retry_after_difference;
        summary.first_divergence_at = summary.first_divergence_at.or(one.first_divergence_at);
        for (kind, count) in &one.changes {
            *summary.changes.entry(kind.clone()).or_default() += count;
        }
    }
    if args.json {
        println!("{}", files::to_json(&summary)?);
    } else {
        println!(
            "{} of {} events lead to different decisions, over {} requests",
            summary.diverged_events, summary.events, summary.requests
        );
        summary.changes.iter().for_each(|(kind, count)| println!("  {count:>8}  {kind}"));
        if let Some(at) = summary.first_divergence_at {
            println!(
                "first divergence at {}; events after it are replayed with the recorded outcomes",
                describe::utc_time(at)
            );
        }
        if let Some((path, d)) =
            paths.iter().zip(&divergences).find_map(|(p, (_, d))| d.as_ref().map(|d| (p, d)))
        {
            print_difference(path, d)?;
        }
    }
    Ok(if summary.diverged_events == 0 { Verdict::Good } else { Verdict::Broken })
}

fn explain(args: &Why) -> Result<Verdict, String> {
    let wanted = parse_selector(&args.request);
    let mut found = false;
    for path in segment_paths(&args.files)? {
        let bytes = read_bytes(&path)?;
        // Only the segment in which the request arrives can explain it.
        if !open_segment(&path, &bytes)?.any(|entry| wanted.arrival(&entry).is_some()) {
            continue;
        }
        let moments = explain_request(&mut open_segment(&path, &bytes)?, &wanted)
            .map_err(|e| format!("{}: {e}", path.display()))?;
        found = true;
        if args.json {
            println!("{}", files::to_json(&moments)?);
            continue;
        }
        println!("{}", path.display());
        for moment in &moments {
            println!(
                "{} (+{}) {}",
                describe::utc_time(moment.at),
                describe::milliseconds(moment.since_arrival),
                moment.event
            );
            moment.decisions.iter().for_each(|line| println!("    -> {line}"));
            moment.reasons.iter().for_each(|line| println!("       {line}"));
            if !moment.decisions.is_empty() {
                println!("       known at that time: {}", describe_view(&moment.view));
                for server in moment.view.servers.iter().filter(|s| !s.origin).take(args.servers) {
                    println!(
                        "       server {:>4}: {:?}, {} in flight of {:.1}, {:.0}% of its keys, {:.0}% warm, backlog {}",
                        server.id,
                        server.condition,
                        server.in_flight,
                        server.load_bound,
                        server.key_share * 100.0,
                        server.capacity_share * 100.0,
                        describe::milliseconds(server.backlog)
                    );
                }
            }
        }
    }
    if found {
        Ok(Verdict::Good)
    } else {
        Err(format!("request {} does not arrive in these records", args.request))
    }
}

fn diff(args: &Diff) -> Result<Verdict, String> {
    let (a, b) = (read_bytes(&args.a)?, read_bytes(&args.b)?);
    let comparison = compare(open_segment(&args.a, &a)?, open_segment(&args.b, &b)?);
    let same = comparison.first_difference.is_none();
    if args.json {
        println!("{}", files::to_json(&comparison)?);
    } else {
        if !comparison.differing_headers.is_empty() {
            println!("the headers differ in: {}", comparison.differing_headers.join(", "));
        }
        println!("the first {} entries are the same", comparison.common_entries);
        if let Some((one, other)) = &comparison.first_difference {
            println!("  {}: {}", args.a.display(), one.as_deref().unwrap_or("(end of record)"));
            println!("  {}: {}", args.b.display(), other.as_deref().unwrap_or("(end of record)"));
            println!(
                "{} events differ, {} have different actions",
                comparison.differing_events, comparison.differing_actions
            );
        }
    }
    Ok(if same { Verdict::Good } else { Verdict::Broken })
}

fn merge_records(args: &Merge) -> Result<Verdict, String> {
    let mut nodes = Vec::new();
    for path in &args.files {
        let all: Vec<Vec<u8>> = segment_paths(std::slice::from_ref(path))?
            .iter()
            .map(|p| read_bytes(p))
            .collect::<Result<_, _>>()?;
        nodes.push((path.display().to_string(), all));
    }
    let records: Vec<NodeRecord> = nodes
        .iter()
        .map(|(name, all)| NodeRecord {
            name: name.clone(),
            segments: all.iter().map(Vec::as_slice).collect(),
        })
        .collect();
    let (offsets, lines) = merge(&records, args.all)?;
    if args.json {
        println!("{}", files::to_json(&serde_json::json!({ "offsets": offsets, "lines": lines }))?);
        return Ok(Verdict::Good);
    }
    for offset in &offsets {
        match offset.uncertainty_us {
            Some(uncertainty) => {
                println!(
                    "{}: clock {:+.3} ms, within {}",
                    offset.name,
                    offset.offset_us as f64 / 1000.0,
                    describe::milliseconds(uncertainty)
                )
            }
            None => println!("{}: no messages in both directions; its clock is not corrected", offset.name),
        }
    }
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    for line in lines {
        if writeln!(out, "{} {}: {}", describe::utc_time(line.at), line.name, line.text).is_err() {
            return Ok(Verdict::Good);
        }
    }
    out.flush().map_err(|e| e.to_string())?;
    Ok(Verdict::Good)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn printed_times_parse_to_the_same_value() {
        for at in [0, 951_782_400_000_001, 1_700_000_000_123_456, 4_102_444_799_999_999] {
            assert_eq!(parse_time(&describe::utc_time(at)), Ok(at), "{}", describe::utc_time(at));
        }
        assert_eq!(parse_time("12.5"), Ok(12_500_000));
        assert!(parse_time("yesterday").is_err() && parse_time("2026-13-01 00:00:00").is_err());
    }
}
