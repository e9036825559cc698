//! The capacity page. Its tables are generated from formulas and stored runs, and are inserted between two
//! markers.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

use crate::arithmetic::{BoundKind, CONTROL_ROWS, Exceedance, Failure, LOAD_ROWS, Row, failures, with_nodes};
use crate::fit::group_by_size;
use crate::record::RunRecord;
use crate::report::HEADS;
use crate::run_groups::{RunGroup, group_records};
use crate::series::Axis;
use crate::summary::roles_at_target;
use crate::target::{LARGEST_TESTED_NODES, TARGET};
use crate::text::{format_number, markdown_table};

/// Marker before the tables.
pub const BEGIN: &str = "<!-- begin generated -->";
/// Marker after the tables.
pub const END: &str = "<!-- end generated -->";

/// Why a page cannot be written or checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MarkerError {
    /// A marker is missing.
    Missing(&'static str),
    /// A marker occurs more than once.
    Duplicate(&'static str),
    /// The end marker precedes the begin marker.
    Order,
}

impl fmt::Display for MarkerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MarkerError::Missing(marker) => write!(f, "the marker {marker} is missing"),
            MarkerError::Duplicate(marker) => write!(f, "the marker {marker} occurs more than once"),
            MarkerError::Order => write!(f, "the marker {END} precedes {BEGIN}"),
        }
    }
}

impl std::error::Error for MarkerError {}

/// The first line that differs between a page and its runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The line number, from 1.
    pub line: usize,
    /// The line of the page.
    pub page: String,
    /// The line generated from the runs.
    pub runs: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: the page says {:?}, the runs say {:?}", self.line, self.page, self.runs)
    }
}

fn find_marker(page: &str, marker: &'static str) -> Result<usize, MarkerError> {
    let mut places = page.match_indices(marker).map(|(index, _)| index);
    let first = places.next().ok_or(MarkerError::Missing(marker))?;
    if places.next().is_some() { Err(MarkerError::Duplicate(marker)) } else { Ok(first) }
}

/// Inserts tables between the markers of a page.
///
/// # Errors
/// Markers are missing, duplicated or in the wrong order.
pub fn with_tables(page: &str, tables: &str) -> Result<String, MarkerError> {
    let (begin, end) = (find_marker(page, BEGIN)?, find_marker(page, END)?);
    if end < begin {
        return Err(MarkerError::Order);
    }
    Ok(format!("{}\n\n{}\n{}", &page[..begin + BEGIN.len()], tables, &page[end..]))
}

/// Finds the first line in which a page differs from the expected one.
pub fn difference(page: &str, expected: &str) -> Option<Difference> {
    let (mut page_lines, mut run_lines) = (page.split('\n'), expected.split('\n'));
    let mut line = 0;
    loop {
        line += 1;
        let (page, runs) = (page_lines.next(), run_lines.next());
        if page.is_none() && runs.is_none() {
            return None;
        }
        if page != runs {
            let text = |line: Option<&str>| line.unwrap_or("nothing").to_owned();
            return Some(Difference { line, page: text(page), runs: text(runs) });
        }
    }
}

/// Generates all tables of the page.
pub fn tables(records: &[(PathBuf, RunRecord)]) -> String {
    let groups = group_records(records);
    let sections = [
        section("Control at the target, by arithmetic from the protocols", &formula_table(CONTROL_ROWS)),
        section("Requests, objects and machines at the target, by arithmetic", &formula_table(LOAD_ROWS)),
        section("What failures set off at the target", &failure_table(&failures(&TARGET))),
        section(
            "Roles in calm at the target's number of nodes",
            &or_no_runs(!groups.is_empty(), || roles_at_target(&groups)),
        ),
        section("Runs that are kept", &or_no_runs(!groups.is_empty(), || run_table(&groups))),
        section("Measured", &or_no_runs(!groups.is_empty(), || measurement_table(&groups))),
        section(
            "Slopes, and what they say of the target",
            &or_no_runs(!groups.is_empty(), || fit_table(&groups)),
        ),
        section("Where bounds are passed, up to the target's number of nodes", &exceedance_table(&groups)),
    ];
    sections.concat().trim_end().to_owned() + "\n"
}

fn section(head: &str, text: &str) -> String {
    format!("### {head}\n\n{text}\n")
}

fn or_no_runs(any: bool, text: impl FnOnce() -> String) -> String {
    if any { text() } else { "No run is kept.\n".into() }
}

fn formula_table(rows: &[Row]) -> String {
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
        let (tested, target) = (with_nodes(&TARGET, LARGEST_TESTED_NODES), TARGET);
        let bound = row.bound.map(|bound| ((bound.max)(&target), bound.kind));
        let value = (row.value)(&target);
        let left = |(max, _): (f64, BoundKind)| {
            if value > max {
                format!("none: {} times it", format_number(value / max))
            } else {
                format_number(max - value)
            }
        };
        vec![
            row.role.into(),
            row.quantity.into(),
            format_number((row.value)(&tested)),
            format_number(value),
            bound.map_or("-".into(), |(max, kind)| format!("{} ({})", format_number(max), kind.label())),
            bound.map_or("-".into(), left),
            row.mechanism.into(),
            "arithmetic".into(),
        ]
    };
    markdown_table(&heads, &rows.iter().map(cells).collect::<Vec<_>>())
}

fn failure_table(failures: &[Failure]) -> String {
    let heads = ["what fails", "how often", "what it sets off", "how long", "what it costs"];
    let cells = |f: &Failure| {
        vec![f.component.into(), f.frequency.into(), f.effect.into(), f.duration.clone(), f.cost.clone()]
    };
    markdown_table(&heads, &failures.iter().map(cells).collect::<Vec<_>>())
}

fn run_table(groups: &[RunGroup<'_>]) -> String {
    let heads =
        ["runs", "sizes (nodes / cache servers / changes a second)", "number", "machine", "commit", "day"];
    let mut rows = Vec::new();
    for group in groups {
        for record in &group.records {
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
                group.name.clone(),
                sizes.join("; "),
                record.runs.len().to_string(),
                format!(
                    "{}, {} cores, {} bytes",
                    machine.processor,
                    machine.cores,
                    format_number(machine.memory_bytes as f64)
                ),
                record.commit.clone(),
                record.date.clone(),
            ]);
        }
    }
    markdown_table(&heads, &rows)
}

fn measurement_table(groups: &[RunGroup<'_>]) -> String {
    let heads = [
        "runs",
        "whose",
        "what",
        "over",
        "mean at each size, and by how much repetitions differ from it",
        "bound",
    ];
    let mut rows = Vec::new();
    for group in groups {
        for fitted in &group.fits {
            let key = &fitted.series.key;
            let size = |s: &crate::fit::SizeValues| {
                format!("{}: {} ({})", format_number(s.size), format_number(s.mean()), s.spread_text())
            };
            let sizes: Vec<String> = group_by_size(&fitted.series.points).iter().map(size).collect();
            rows.push(vec![
                group.name.clone(),
                key.subject.to_string(),
                key.quantity.to_string(),
                format!("{} ({})", key.axis, key.others),
                sizes.join("; "),
                fitted.bound().map_or("-".into(), |bound| format_number(bound.max)),
            ]);
        }
    }
    markdown_table(&heads, &rows) + "\nWhat is 0 in every run is left out.\n"
}

fn fit_table(groups: &[RunGroup<'_>]) -> String {
    let heads = [&["runs"][..], &HEADS[..]].concat();
    let mut rows = Vec::new();
    let mut errors_by_group: BTreeMap<(&str, String), usize> = BTreeMap::new();
    for group in groups {
        for fitted in &group.fits {
            match &fitted.outcome {
                Ok(_) => rows.push([vec![group.name.clone()], fitted.cells()].concat()),
                Err(error) => *errors_by_group.entry((&group.name, error.to_string())).or_default() += 1,
            }
        }
    }
    let mut text =
        if rows.is_empty() { "No series has a fit.\n".into() } else { markdown_table(&heads, &rows) };
    for (index, ((kind, error), series)) in errors_by_group.into_iter().enumerate() {
        let gap = if index == 0 { "\n" } else { "" };
        text.push_str(&format!("{gap}- {kind}: {series} series have {error}.\n"));
    }
    text
}

/// One bound that is exceeded.
struct ExceededBound {
    kind: BoundKind,
    nodes: f64,
    nodes_text: String,
    subject: String,
    quantity: String,
    from: String,
}

fn computed_exceedances() -> Vec<ExceededBound> {
    let exceeded = |row: &Row| {
        let (nodes, nodes_text) = match row.exceedance() {
            Exceedance::Never => return None,
            Exceedance::Always => (0.0, "any number".into()),
            Exceedance::From(nodes) => (nodes, format_whole(nodes)),
        };
        let kind = row.bound?.kind;
        let from = "arithmetic, all else at the target".into();
        Some(ExceededBound {
            kind,
            nodes,
            nodes_text,
            subject: row.role.into(),
            quantity: row.quantity.into(),
            from,
        })
    };
    CONTROL_ROWS.iter().filter_map(exceeded).collect()
}

fn measured_exceedances(groups: &[RunGroup<'_>]) -> Vec<ExceededBound> {
    let mut exceeded = Vec::new();
    for group in groups {
        for fitted in group.fits.iter().filter(|fitted| fitted.series.key.axis == Axis::Nodes) {
            let Some(bound) = fitted.bound() else { continue };
            let (nodes, max, from) = match (fitted.measured_exceedance(), fitted.fitted_exceedance()) {
                (Some(m), _) => (m.size, m.bound, format!("measured: {} there", format_number(m.value))),
                (None, Some(nodes)) => (nodes, bound.max, "the slope".into()),
                (None, None) => continue,
            };
            let key = &fitted.series.key;
            exceeded.push(ExceededBound {
                kind: bound.kind,
                nodes,
                nodes_text: format_whole(nodes),
                subject: format!("{}, {}", key.subject, group.name),
                quantity: format!("{} over {}", key.quantity, format_number(max)),
                from,
            });
        }
    }
    exceeded
}

fn format_whole(value: f64) -> String {
    format!("{value:.0}")
}

fn exceedance_table(groups: &[RunGroup<'_>]) -> String {
    let mut exceeded = measured_exceedances(groups);
    exceeded.extend(computed_exceedances());
    exceeded.sort_by(|a, b| a.kind.cmp(&b.kind).then(a.nodes.total_cmp(&b.nodes)));
    let cells = |c: &ExceededBound| {
        vec![
            c.kind.label().into(),
            c.nodes_text.clone(),
            c.subject.clone(),
            c.quantity.clone(),
            c.from.clone(),
        ]
    };
    let rows: Vec<Vec<String>> = exceeded.iter().map(cells).collect();
    markdown_table(&["bound of", "passed from, nodes", "whose", "what", "from"], &rows)
}
