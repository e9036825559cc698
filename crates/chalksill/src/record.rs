//! `chalksill record`: questions to what nodes have recorded.

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

/// The subcommands. Where a FILE is asked for, a folder stands for all segments in it, in the order of their names.
#[derive(Subcommand)]
pub enum Record {
    /// What records say of themselves, and how much is in them
    Info(Many),
    /// Reads every entry and checksum; exit code 1 where a record is torn or spoilt
    Verify(Many),
    /// Prints the entries, one on a line
    Cat(Cat),
    /// Cuts out the part round a request, a time or a server, as a record of its own
    Cut(Cut),
    /// Plays the events through the decision module again; exit code 1 where other actions come of them
    Replay(Replay),
    /// Tells the story of one request: what was known of each server, why this one, why refused
    Why(Why),
    /// Compares two records entry by entry; exit code 1 where they differ
    Diff(Two),
    /// Puts the records of several nodes into one timeline, whatever their clocks say
    Merge(Merge),
}

/// Records.
#[derive(Args)]
pub struct Many {
    /// Segments, or folders of them
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Prints JSON, one object a record
    #[arg(long)]
    json: bool,
}

/// Printing.
#[derive(Args)]
pub struct Cat {
    /// A segment, or a folder of them
    file: PathBuf,
    /// Only what has to do with this request: the module's number of it, or the id that its client gave it
    #[arg(long)]
    request: Option<String>,
    /// Timers, too, and what is only said to peers
    #[arg(long)]
    all: bool,
}

/// Cutting.
#[derive(Args)]
pub struct Cut {
    /// The segment
    file: PathBuf,
    /// Round this request: the module's number of it, or the id that its client gave it
    #[arg(long, group = "round", required = true)]
    request: Option<String>,
    /// Round this time, as cat prints it, or in seconds since 1970
    #[arg(long, group = "round", required = true)]
    at: Option<String>,
    /// Round all that has to do with this server
    #[arg(long, group = "round", required = true)]
    server: Option<u32>,
    /// How much of the time before and after comes along, ms
    #[arg(long, default_value_t = 100.0)]
    margin: f64,
    /// Where the part goes
    #[arg(short, long)]
    out: PathBuf,
}

/// Replaying.
#[derive(Args)]
pub struct Replay {
    /// Segments, or folders of them
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// The module has changed since: tell where its choices part from those recorded, and by how much
    #[arg(long)]
    policy_changed: bool,
    /// Segments side by side; all cores by default
    #[arg(long)]
    jobs: Option<usize>,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

/// The story of a request.
#[derive(Args)]
pub struct Why {
    /// Segments, or folders of them
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// The module's number of it, or the id that its client gave it
    #[arg(long)]
    request: String,
    /// How many servers of its order are told of at each step
    #[arg(long, default_value_t = 4)]
    servers: usize,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

/// Two records.
#[derive(Args)]
pub struct Two {
    /// One segment
    a: PathBuf,
    /// The other
    b: PathBuf,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

/// Several records.
#[derive(Args)]
pub struct Merge {
    /// One file or folder for each node; the first one's clock counts
    #[arg(required = true, num_args = 1.., value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Everything, not only what tells of failures and of the whole
    #[arg(long)]
    all: bool,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

/// Carries a subcommand out.
pub fn execute(record: Record) -> Result<Verdict, String> {
    match record {
        Record::Info(args) => info(&args),
        Record::Verify(args) => verify(&args),
        Record::Cat(args) => cat(&args),
        Record::Cut(args) => cut_out(&args),
        Record::Replay(args) if args.policy_changed => changed(&args),
        Record::Replay(args) => again(&args),
        Record::Why(args) => story(&args),
        Record::Diff(args) => diff(&args),
        Record::Merge(args) => merged(&args),
    }
}

/// The segments that paths stand for, in order.
fn segments(paths: &[PathBuf]) -> Result<Vec<PathBuf>, String> {
    let mut all = Vec::new();
    for path in paths {
        if !path.is_dir() {
            all.push(path.clone());
            continue;
        }
        let unread = |e: std::io::Error| format!("cannot read {}: {e}", path.display());
        let mut inside = Vec::new();
        for entry in std::fs::read_dir(path).map_err(unread)? {
            let file = entry.map_err(unread)?.path();
            if file.extension().is_some_and(|e| e == FILE_EXTENSION) {
                inside.push(file);
            }
        }
        if inside.is_empty() {
            return Err(format!("{}: no segment (*.{FILE_EXTENSION}) in this folder", path.display()));
        }
        inside.sort();
        all.extend(inside);
    }
    Ok(all)
}

fn bytes(path: &Path) -> Result<Vec<u8>, String> {
    std::fs::read(path).map_err(|e| format!("cannot read {}: {e}", path.display()))
}

fn open<'a>(path: &Path, bytes: &'a [u8]) -> Result<Segment<'a>, String> {
    Segment::open(bytes).map_err(|torn| format!("{}: {torn}", path.display()))
}

fn which(text: &str) -> RequestSelector {
    text.parse().map_or_else(|_| RequestSelector::ClientId(text.into()), RequestSelector::Number)
}

/// What a record says of itself.
#[derive(Serialize)]
struct About {
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

fn about(path: &Path) -> Result<About, String> {
    let bytes = bytes(path)?;
    let mut segment = open(path, &bytes)?;
    let (mut events, mut actions, mut requests, mut missing) = (0, 0, 0, 0);
    let (mut last, mut ended, mut state_bytes) = (segment.header.started_at, false, 0);
    for entry in segment.by_ref() {
        last = entry.at;
        match entry.body {
            Body::State(state) => state_bytes = state.len(),
            Body::Gap { events } => missing += events,
            Body::End => ended = true,
            Body::Event { event, actions: after, .. } => {
                events += 1;
                actions += after.len() as u64;
                requests += u64::from(matches!(event, brassrouter::Event::Request(_)));
            }
        }
    }
    let h = &segment.header;
    Ok(About {
        file: path.display().to_string(),
        node: h.node.clone(),
        life: describe::utc_time(h.incarnation),
        number: h.number,
        program: h.program.clone(),
        state: h.state_version,
        seed: format!("{:016x}", h.seed),
        secret_keys: h.secret_keys,
        servers: h.servers.len(),
        begins: describe::utc_time(h.started_at),
        ends: describe::utc_time(last),
        seconds: (last - h.started_at) as f64 / 1e6,
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

fn info(args: &Many) -> Result<Verdict, String> {
    for path in segments(&args.files)? {
        let a = about(&path)?;
        if args.json {
            println!("{}", files::json(&a)?);
            continue;
        }
        println!("{}: node {}, segment {} of the life that began {}", a.file, a.node, a.number, a.life);
        println!("  {} to {}, {:.1} s", a.begins, a.ends, a.seconds);
        println!("  by {}, state layout {}, seed {}, {} servers", a.program, a.state, a.seed, a.servers);
        println!(
            "  {} events, {} actions, {} requests; {} bytes, {} of them state, {:.1} a request",
            a.events, a.actions, a.requests, a.bytes, a.state_bytes, a.bytes_a_request
        );
        let end = if a.ended { "the node ended in order" } else { "it does not end in order" };
        let missing = if a.missing > 0 {
            format!("{} events are missing before it; ", a.missing)
        } else {
            String::new()
        };
        println!("  {missing}{end}{}", a.torn.map_or(String::new(), |t| format!("; torn at {t}")));
    }
    Ok(Verdict::Good)
}

fn verify(args: &Many) -> Result<Verdict, String> {
    let mut verdict = Verdict::Good;
    for path in segments(&args.files)? {
        let bytes = bytes(&path)?;
        let (entries, why) = match Segment::open(&bytes) {
            Ok(mut segment) => (segment.by_ref().count(), segment.read_error().map(ToString::to_string)),
            Err(torn) => (0, Some(torn.to_string())),
        };
        if args.json {
            let line = serde_json::json!({ "file": path, "entries": entries, "torn": why });
            println!("{line}");
        } else {
            let told = why.as_ref().map_or("whole".to_owned(), |why| format!("TORN at {why}"));
            println!("{}: {entries} entries, {told}", path.display());
        }
        if why.is_some() {
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}

fn cat(args: &Cat) -> Result<Verdict, String> {
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    let wanted = args.request.as_deref().map(which);
    for path in segments(std::slice::from_ref(&args.file))? {
        let bytes = bytes(&path)?;
        let mut segment = open(&path, &bytes)?;
        let header = segment.header.clone();
        let mut request = None;
        for entry in segment.by_ref() {
            if let Some(which) = &wanted {
                request = which.arrival(&entry).or(request);
                if !request.is_some_and(|id| concerned(&entry, id)) {
                    continue;
                }
            } else if !args.all && dull(&entry) {
                continue;
            }
            // A reader that has seen enough closes the pipe.
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

fn concerned(entry: &Entry, request: u64) -> bool {
    matches!(&entry.body, Body::Event { actions, .. } if mothpier_record::replay::concerns(entry, actions, request))
}

/// A timer or a message of a peer of which nothing came but another timer or message.
fn dull(entry: &Entry) -> bool {
    use brassrouter::Event;
    use mothpier_record::entry::RecordedAction;
    let Body::Event { event, actions, .. } = &entry.body else { return false };
    matches!(event, Event::Timer(_) | Event::PeerMessage { .. })
        && actions
            .iter()
            .all(|a| matches!(a, RecordedAction::Timer { .. } | RecordedAction::SendToPeers { .. }))
}

/// Reads a time: as `cat` prints it (the date may be left out only with seconds), or seconds since 1970.
fn time(text: &str) -> Result<Micros, String> {
    if let Ok(seconds) = text.parse::<f64>() {
        return Ok((seconds * 1e6) as Micros);
    }
    let wrong = || format!("{text:?} is no time: 2026-01-31 12:00:00.000, or seconds since 1970");
    let (date, clock) = text.trim().split_once([' ', 'T']).ok_or_else(wrong)?;
    let numbers =
        |text: &str, by| text.split(by).map(|n| n.parse::<f64>().ok()).collect::<Option<Vec<f64>>>();
    let date = numbers(date, '-').filter(|d| d.len() == 3).ok_or_else(wrong)?;
    let clock = numbers(clock, ':').filter(|c| c.len() == 3).ok_or_else(wrong)?;
    // The inverse of what `tell::clock` does.
    let (year, month, day) = (date[0], date[1], date[2]);
    if !(1970.0..2200.0).contains(&year) || !(1.0..=12.0).contains(&month) || !(1.0..=31.0).contains(&day) {
        return Err(wrong());
    }
    let year = if month <= 2.0 { year - 1.0 } else { year };
    let from_march = (month + 9.0) % 12.0;
    let era = (year / 400.0).floor();
    let of_era = year - era * 400.0;
    let of_year = ((153.0 * from_march + 2.0) / 5.0).floor() + day - 1.0;
    let days = era * 146_097.0 + of_era * 365.0 + (of_era / 4.0).floor() - (of_era / 100.0).floor() + of_year
        - 719_468.0;
    let seconds = days * 86_400.0 + clock[0] * 3600.0 + clock[1] * 60.0;
    Ok((seconds as Micros) * 1_000_000 + (clock[2] * 1e6).round() as Micros)
}

fn cut_out(args: &Cut) -> Result<Verdict, String> {
    let bytes = bytes(&args.file)?;
    let round = match (&args.request, &args.at, args.server) {
        (Some(request), ..) => Selection::Request(which(request)),
        (_, Some(at), _) => Selection::Time(time(at)?),
        (.., Some(server)) => Selection::Server(server),
        _ => return Err("round what? --request, --at or --server".into()),
    };
    let margin = (args.margin.max(0.0) * 1000.0) as Micros;
    let part = cut(&bytes, &round, margin).map_err(|e| format!("{}: {e}", args.file.display()))?;
    std::fs::write(&args.out, &part.bytes)
        .map_err(|e| format!("cannot write {}: {e}", args.out.display()))?;
    println!(
        "{}: {} events, {} to {}, {} bytes",
        args.out.display(),
        part.events,
        describe::utc_time(part.time_range.0),
        describe::utc_time(part.time_range.1),
        part.bytes.len()
    );
    Ok(Verdict::Good)
}

/// Does something with each segment, on several threads; what came of it in the order of the segments.
fn each<T: Send>(
    paths: &[PathBuf],
    jobs: Option<usize>,
    work: impl Fn(&Path, &[u8]) -> Result<T, String> + Sync,
) -> Result<Vec<T>, String> {
    let jobs = jobs.unwrap_or_else(explore::cores).clamp(1, 256).min(paths.len().max(1));
    let shown = std::io::stderr().is_terminal() && paths.len() > 1;
    let bar = if shown { ProgressBar::new(paths.len() as u64) } else { ProgressBar::hidden() };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} segments, {eta} left");
    bar.set_style(style.map_err(|e| e.to_string())?);
    let next = AtomicUsize::new(0);
    let mut all: Vec<Option<Result<T, String>>> = paths.iter().map(|_| None).collect();
    std::thread::scope(|scope| {
        let (done, results) = mpsc::sync_channel(jobs);
        for _ in 0..jobs {
            let (done, next, work) = (done.clone(), &next, &work);
            scope.spawn(move || {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(path) = paths.get(at) else { return };
                    let result = bytes(path).and_then(|b| work(path, &b));
                    if done.send((at, result)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(done);
        for (at, result) in results {
            bar.inc(1);
            all[at] = Some(result);
        }
    });
    bar.finish_and_clear();
    all.into_iter().flatten().collect()
}

/// What replays came to.
#[derive(Serialize)]
struct Replayed {
    segments: usize,
    events: u64,
    actions: u64,
    requests: u64,
    missing: u64,
    seconds: f64,
    real_s: f64,
    events_a_second: f64,
    /// Of the time recorded to the time taken.
    times_real_time: f64,
    identical: bool,
    torn: Vec<String>,
}

fn again(args: &Replay) -> Result<Verdict, String> {
    let paths = segments(&args.files)?;
    let begin = Instant::now();
    let played: Vec<Outcome> = each(&paths, args.jobs, |path, bytes| {
        let mut segment = open(path, bytes)?;
        replay(&mut segment).map(|(outcome, _)| outcome).map_err(|e| format!("{}: {e}", path.display()))
    })?;
    let real_s = begin.elapsed().as_secs_f64();
    let span = |o: &Outcome| o.time_range.map_or(0, |(first, last)| last - first);
    let seconds = played.iter().map(span).sum::<u64>() as f64 / 1e6;
    let events = played.iter().map(|o| o.events).sum();
    let torn = paths
        .iter()
        .zip(&played)
        .filter_map(|(path, o)| o.read_error.as_ref().map(|torn| format!("{}: {torn}", path.display())));
    let sum = Replayed {
        segments: paths.len(),
        events,
        actions: played.iter().map(|o| o.actions).sum(),
        requests: played.iter().map(|o| o.requests).sum(),
        missing: played.iter().map(|o| o.missing_events).sum(),
        seconds,
        real_s,
        events_a_second: events as f64 / real_s,
        times_real_time: seconds / real_s,
        identical: played.iter().all(|o| o.first_difference.is_none()),
        torn: torn.collect(),
    };
    if args.json {
        println!("{}", files::json(&sum)?);
    } else {
        for line in &sum.torn {
            println!("torn, played up to there: {line}");
        }
        if sum.missing > 0 {
            println!("{} events are missing between segments", sum.missing);
        }
        let told = if sum.identical { "identical" } else { "NOT identical" };
        println!("{} events, {} actions, {told}", sum.events, sum.actions);
        println!(
            "{} segments, {:.1} s recorded, played in {:.2} s: {:.0} events a second, {:.0} times real time",
            sum.segments, sum.seconds, real_s, sum.events_a_second, sum.times_real_time
        );
    }
    if let Some((path, difference)) =
        paths.iter().zip(&played).find_map(|(p, o)| o.first_difference.as_ref().map(|d| (p, d)))
        && !args.json
    {
        around(path, difference)?;
    }
    Ok(if sum.identical { Verdict::Good } else { Verdict::Broken })
}

/// Prints a difference, with the events round it.
fn around(path: &Path, difference: &Difference) -> Result<(), String> {
    const ROUND: u64 = 4;
    let bytes = bytes(path)?;
    let segment = open(path, &bytes)?;
    let header = segment.header.clone();
    println!("{}: the first difference is at entry {}", path.display(), difference.entry);
    for (number, entry) in (0..).zip(segment) {
        if number + ROUND < difference.entry {
            continue;
        }
        if number > difference.entry + ROUND {
            break;
        }
        let mark = if number == difference.entry { "then" } else { "" };
        println!("  {mark:>4} {} {}", describe::utc_time(entry.at), describe::entry(&header, &entry));
        if number == difference.entry {
            let now: Vec<_> = difference.replayed.iter().map(describe::action).collect();
            println!("   now {} -> {}", describe::utc_time(entry.at), now.join("; "));
        }
    }
    Ok(())
}

fn changed(args: &Replay) -> Result<Verdict, String> {
    let paths = segments(&args.files)?;
    let parted: Vec<(Divergence, Option<Difference>)> = each(&paths, args.jobs, |path, bytes| {
        find_divergence(&mut open(path, bytes)?).map_err(|e| format!("{}: {e}", path.display()))
    })?;
    let mut sum = Divergence::default();
    for (one, _) in &parted {
        sum.events += one.events;
        sum.requests += one.requests;
        sum.diverged_events += one.diverged_events;
        sum.retry_after_difference += one.retry_after_difference;
        sum.first_divergence_at = sum.first_divergence_at.or(one.first_divergence_at);
        for (kind, count) in &one.changes {
            *sum.changes.entry(kind.clone()).or_default() += count;
        }
    }
    if args.json {
        println!("{}", files::json(&sum)?);
    } else {
        println!(
            "{} of {} events come to other decisions now, of {} requests",
            sum.diverged_events, sum.events, sum.requests
        );
        sum.changes.iter().for_each(|(kind, count)| println!("  {count:>8}  {kind}"));
        if let Some(at) = sum.first_divergence_at {
            println!("they part at {}; what follows is told of the old choices", describe::utc_time(at));
        }
        if let Some((path, d)) = paths.iter().zip(&parted).find_map(|(p, (_, d))| d.as_ref().map(|d| (p, d)))
        {
            around(path, d)?;
        }
    }
    Ok(if sum.diverged_events == 0 { Verdict::Good } else { Verdict::Broken })
}

fn story(args: &Why) -> Result<Verdict, String> {
    let wanted = which(&args.request);
    let mut told = false;
    for path in segments(&args.files)? {
        let bytes = bytes(&path)?;
        // Only a segment in which it arrives is worth playing.
        if !open(&path, &bytes)?.any(|entry| wanted.arrival(&entry).is_some()) {
            continue;
        }
        let moments = explain_request(&mut open(&path, &bytes)?, &wanted)
            .map_err(|e| format!("{}: {e}", path.display()))?;
        told = true;
        if args.json {
            println!("{}", files::json(&moments)?);
            continue;
        }
        println!("{}", path.display());
        for m in &moments {
            println!(
                "{} (+{}) {}",
                describe::utc_time(m.at),
                describe::milliseconds(m.since_arrival),
                m.event
            );
            m.decisions.iter().for_each(|line| println!("    -> {line}"));
            m.reasons.iter().for_each(|line| println!("       {line}"));
            if !m.decisions.is_empty() {
                println!("       known then: {}", describe_view(&m.view));
                for s in m.view.servers.iter().filter(|s| !s.origin).take(args.servers) {
                    println!(
                        "       server {:>4}: {:?}, {} in flight of {:.1}, {:.0}% of its keys, {:.0}% warm, backlog {}",
                        s.id,
                        s.condition,
                        s.in_flight,
                        s.load_bound,
                        s.key_share * 100.0,
                        s.capacity_share * 100.0,
                        describe::milliseconds(s.backlog)
                    );
                }
            }
        }
    }
    if told {
        Ok(Verdict::Good)
    } else {
        Err(format!("no request {} arrives in these records", args.request))
    }
}

fn diff(args: &Two) -> Result<Verdict, String> {
    let (a, b) = (bytes(&args.a)?, bytes(&args.b)?);
    let found = compare(open(&args.a, &a)?, open(&args.b, &b)?);
    let same = found.first_difference.is_none();
    if args.json {
        println!("{}", files::json(&found)?);
    } else {
        if !found.differing_headers.is_empty() {
            println!("their headers differ in: {}", found.differing_headers.join(", "));
        }
        println!("the first {} entries are the same", found.common_entries);
        if let Some((one, other)) = &found.first_difference {
            println!("  {}: {}", args.a.display(), one.as_deref().unwrap_or("(its end)"));
            println!("  {}: {}", args.b.display(), other.as_deref().unwrap_or("(its end)"));
            println!(
                "{} events differ, {} have other actions",
                found.differing_events, found.differing_actions
            );
        }
    }
    Ok(if same { Verdict::Good } else { Verdict::Broken })
}

fn merged(args: &Merge) -> Result<Verdict, String> {
    let mut read = Vec::new();
    for path in &args.files {
        let all: Vec<Vec<u8>> =
            segments(std::slice::from_ref(path))?.iter().map(|p| bytes(p)).collect::<Result<_, _>>()?;
        read.push((path.display().to_string(), all));
    }
    let named: Vec<NodeRecord> = read
        .iter()
        .map(|(name, all)| NodeRecord {
            name: name.clone(),
            segments: all.iter().map(Vec::as_slice).collect(),
        })
        .collect();
    let (offsets, lines) = merge(&named, args.all)?;
    if args.json {
        println!("{}", files::json(&serde_json::json!({ "offsets": offsets, "lines": lines }))?);
        return Ok(Verdict::Good);
    }
    for o in &offsets {
        match o.uncertainty_us {
            Some(within) => {
                println!(
                    "{}: clock {:+.3} ms, to within {}",
                    o.name,
                    o.offset_us as f64 / 1000.0,
                    describe::milliseconds(within)
                )
            }
            None => println!("{}: no messages went both ways; its clock is taken as it is", o.name),
        }
    }
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    for l in lines {
        if writeln!(out, "{} {}: {}", describe::utc_time(l.at), l.name, l.text).is_err() {
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
    fn a_time_is_read_as_it_is_printed() {
        for at in [0, 951_782_400_000_001, 1_700_000_000_123_456, 4_102_444_799_999_999] {
            assert_eq!(time(&describe::utc_time(at)), Ok(at), "{}", describe::utc_time(at));
        }
        assert_eq!(time("12.5"), Ok(12_500_000));
        assert!(time("yesterday").is_err() && time("2026-13-01 00:00:00").is_err());
    }
}
