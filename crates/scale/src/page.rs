//! The capacity page: its tables are generated from the arithmetic and from the runs that are kept, and stand between two markers.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

use crate::arithmetic::{BoundKind, CONTROL, Failure, LOAD, Passed, Row, failures, with_nodes};
use crate::fit::by_size;
use crate::kept::{Kept, group};
use crate::record::RunRecord;
use crate::report::HEADS;
use crate::series::Axis;
use crate::summary::roles_at_target;
use crate::target::{FLEET_TODAY, TARGET};
use crate::text::{figure, percent, table};

/// Before the tables.
pub const BEGIN: &str = "<!-- begin generated -->";
/// After them.
pub const END: &str = "<!-- end generated -->";

/// Why a page can't be written or checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MarkerError {
    /// A marker is missing.
    Missing(&'static str),
    /// A marker stands there more than once.
    Doubled(&'static str),
    /// The end stands before the beginning.
    Order,
}

impl fmt::Display for MarkerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MarkerError::Missing(marker) => write!(f, "the marker {marker} is missing"),
            MarkerError::Doubled(marker) => write!(f, "the marker {marker} stands there more than once"),
            MarkerError::Order => write!(f, "the marker {END} stands before {BEGIN}"),
        }
    }
}

impl std::error::Error for MarkerError {}

/// The first line in which a page differs from what its runs say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The line, from 1.
    pub line: usize,
    /// What the page says there.
    pub page: String,
    /// What the runs say.
    pub runs: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: the page says {:?}, the runs say {:?}", self.line, self.page, self.runs)
    }
}

fn only(page: &str, marker: &'static str) -> Result<usize, MarkerError> {
    let mut places = page.match_indices(marker).map(|(place, _)| place);
    let first = places.next().ok_or(MarkerError::Missing(marker))?;
    if places.next().is_some() { Err(MarkerError::Doubled(marker)) } else { Ok(first) }
}

/// The page with these tables between its markers.
///
/// # Errors
/// Markers that are missing, doubled or in the wrong order.
pub fn with_tables(page: &str, tables: &str) -> Result<String, MarkerError> {
    let (begin, end) = (only(page, BEGIN)?, only(page, END)?);
    if end < begin {
        return Err(MarkerError::Order);
    }
    Ok(format!("{}\n\n{}\n{}", &page[..begin + BEGIN.len()], tables, &page[end..]))
}

/// Where a page differs from what it should be.
pub fn difference(page: &str, expected: &str) -> Option<Difference> {
    let (mut have, mut want) = (page.split('\n'), expected.split('\n'));
    let mut line = 0;
    loop {
        line += 1;
        let (page, runs) = (have.next(), want.next());
        if page.is_none() && runs.is_none() {
            return None;
        }
        if page != runs {
            let text = |line: Option<&str>| line.unwrap_or("nothing").to_owned();
            return Some(Difference { line, page: text(page), runs: text(runs) });
        }
    }
}

/// All tables of the page.
pub fn tables(records: &[(PathBuf, RunRecord)]) -> String {
    let kept = group(records);
    let parts = [
        part("Control at the target, by arithmetic from the protocols", &arithmetic(CONTROL)),
        part("Requests, objects and machines at the target, by arithmetic", &arithmetic(LOAD)),
        part("What failures set off at the target", &failure_table(&failures(&TARGET))),
        part(
            "Roles in calm at the target's number of nodes",
            &or_none(!kept.is_empty(), || roles_at_target(&kept)),
        ),
        part("Runs that are kept", &or_none(!kept.is_empty(), || runs(&kept))),
        part("Measured", &or_none(!kept.is_empty(), || measured(&kept))),
        part("Slopes, and what they say of the target", &or_none(!kept.is_empty(), || fits(&kept))),
        part("Where bounds are passed, up to the target's number of nodes", &passed(&kept)),
    ];
    parts.concat().trim_end().to_owned() + "\n"
}

fn part(head: &str, text: &str) -> String {
    format!("### {head}\n\n{text}\n")
}

fn or_none(some: bool, text: impl FnOnce() -> String) -> String {
    if some { text() } else { "No run is kept.\n".into() }
}

fn arithmetic(rows: &[Row]) -> String {
    let heads = [
        "role",
        "figure",
        "at 300 nodes",
        "at the target",
        "bound",
        "left of it",
        "mechanism that carries it",
        "from",
    ];
    let cells = |row: &Row| {
        let (today, target) = (with_nodes(&TARGET, FLEET_TODAY), TARGET);
        let bound = row.bound.map(|bound| ((bound.most)(&target), bound.kind));
        let value = (row.value)(&target);
        let left = |(most, _): (f64, BoundKind)| {
            if value > most {
                format!("none: {} times it", figure(value / most))
            } else {
                figure(most - value)
            }
        };
        vec![
            row.role.into(),
            row.what.into(),
            figure((row.value)(&today)),
            figure(value),
            bound.map_or("-".into(), |(most, kind)| format!("{} ({})", figure(most), kind.words())),
            bound.map_or("-".into(), left),
            row.mechanism.into(),
            "arithmetic".into(),
        ]
    };
    table(&heads, &rows.iter().map(cells).collect::<Vec<_>>())
}

fn failure_table(failures: &[Failure]) -> String {
    let heads = ["what fails", "how often", "what it sets off", "how long", "what it costs"];
    let cells = |f: &Failure| {
        vec![f.what.into(), f.how_often.into(), f.sets_off.into(), f.lasts.clone(), f.costs.clone()]
    };
    table(&heads, &failures.iter().map(cells).collect::<Vec<_>>())
}

fn runs(kept: &[Kept<'_>]) -> String {
    let heads =
        ["runs", "sizes (nodes / cache servers / changes a second)", "number", "machine", "commit", "day"];
    let mut rows = Vec::new();
    for kept in kept {
        for record in &kept.records {
            let mut sizes: Vec<String> = Vec::new();
            for run in &record.runs {
                let size = &run.size;
                let text = format!("{} / {} / {}", size.nodes, size.cache_servers, size.changes_per_s);
                if !sizes.contains(&text) {
                    sizes.push(text);
                }
            }
            let machine = &record.machine;
            rows.push(vec![
                kept.name.clone(),
                sizes.join("; "),
                record.runs.len().to_string(),
                format!(
                    "{}, {} cores, {} bytes",
                    machine.processor,
                    machine.cores,
                    figure(machine.memory_bytes as f64)
                ),
                record.commit.clone(),
                record.date.clone(),
            ]);
        }
    }
    table(&heads, &rows)
}

fn measured(kept: &[Kept<'_>]) -> String {
    let heads = [
        "runs",
        "whose",
        "what",
        "over",
        "mean at each size, and by how much repetitions differ from it",
        "bound",
    ];
    let mut rows = Vec::new();
    for kept in kept {
        for fitted in &kept.fits {
            let key = &fitted.series.key;
            let size = |s: &crate::fit::SizeValues| {
                format!(
                    "{}: {} (± {}, {})",
                    figure(s.size),
                    figure(s.mean()),
                    percent(s.spread()),
                    s.values.len()
                )
            };
            let sizes: Vec<String> = by_size(&fitted.series.points).iter().map(size).collect();
            rows.push(vec![
                kept.name.clone(),
                key.subject.to_string(),
                key.quantity.to_string(),
                format!("{} ({})", key.axis, key.others),
                sizes.join("; "),
                fitted.bound().map_or("-".into(), |bound| figure(bound.most)),
            ]);
        }
    }
    table(&heads, &rows) + "\nWhat is 0 in every run is left out.\n"
}

fn fits(kept: &[Kept<'_>]) -> String {
    let heads = [&["runs"][..], &HEADS[..]].concat();
    let mut rows = Vec::new();
    let mut without: BTreeMap<(&str, String), usize> = BTreeMap::new();
    for kept in kept {
        for fitted in &kept.fits {
            match &fitted.outcome {
                Ok(_) => rows.push([vec![kept.name.clone()], fitted.cells()].concat()),
                Err(none) => *without.entry((&kept.name, none.to_string())).or_default() += 1,
            }
        }
    }
    let mut text = if rows.is_empty() { "No series has a fit.\n".into() } else { table(&heads, &rows) };
    for (place, ((kind, why), series)) in without.into_iter().enumerate() {
        let gap = if place == 0 { "\n" } else { "" };
        text.push_str(&format!("{gap}- {kind}: {series} series have {why}.\n"));
    }
    text
}

/// One bound that is passed.
struct Crossing {
    kind: BoundKind,
    nodes: f64,
    at: String,
    whose: String,
    what: String,
    from: String,
}

fn arithmetic_crossings() -> Vec<Crossing> {
    let crossing = |row: &Row| {
        let (nodes, at) = match row.passed() {
            Passed::Never => return None,
            Passed::Always => (0.0, "any number".into()),
            Passed::From(nodes) => (nodes, figure_whole(nodes)),
        };
        let kind = row.bound?.kind;
        let from = "arithmetic, all else at the target".into();
        Some(Crossing { kind, nodes, at, whose: row.role.into(), what: row.what.into(), from })
    };
    CONTROL.iter().filter_map(crossing).collect()
}

fn measured_crossings(kept: &[Kept<'_>]) -> Vec<Crossing> {
    let mut crossings = Vec::new();
    for kept in kept {
        for fitted in kept.fits.iter().filter(|fitted| fitted.series.key.axis == Axis::Nodes) {
            let Some(bound) = fitted.bound() else { continue };
            let (nodes, most, from) = match (fitted.measured_beyond(), fitted.fitted_beyond()) {
                (Some(m), _) => (m.size, m.bound, format!("measured: {} there", figure(m.value))),
                (None, Some(nodes)) => (nodes, bound.most, "the slope".into()),
                (None, None) => continue,
            };
            let key = &fitted.series.key;
            crossings.push(Crossing {
                kind: bound.kind,
                nodes,
                at: figure_whole(nodes),
                whose: format!("{}, {}", key.subject, kept.name),
                what: format!("{} over {}", key.quantity, figure(most)),
                from,
            });
        }
    }
    crossings
}

fn figure_whole(value: f64) -> String {
    format!("{value:.0}")
}

fn passed(kept: &[Kept<'_>]) -> String {
    let mut crossings = measured_crossings(kept);
    crossings.extend(arithmetic_crossings());
    crossings.sort_by(|a, b| a.kind.cmp(&b.kind).then(a.nodes.total_cmp(&b.nodes)));
    let cells = |c: &Crossing| {
        vec![c.kind.words().into(), c.at.clone(), c.whose.clone(), c.what.clone(), c.from.clone()]
    };
    let rows: Vec<Vec<String>> = crossings.iter().map(cells).collect();
    table(&["bound of", "passed from, nodes", "whose", "what", "from"], &rows)
}
