//! The cost of each role at the target's number of nodes without faults: measured values if there are any,
//! else predictions of reliable fits.

use std::collections::BTreeMap;

use crate::fit::{Verdict, group_by_size};
use crate::models::Model;
use crate::record::FleetState;
use crate::report::{FittedSeries, SeriesBound};
use crate::run_groups::RunGroup;
use crate::series::{Axis, Quantity, Subject};
use crate::target::TARGET;
use crate::text::{format_number, markdown_table};

/// The origin of a value, the most reliable first.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    /// Runs at the target's number of nodes, with the largest relative deviation of a repetition from the
    /// mean; unknown for a single run.
    Measured { spread: Option<f64> },
    /// A fit, with the largest measured size.
    Slope { spread: f64, up_to: f64 },
}

/// One value of a role at the target.
struct KnownValue {
    value: f64,
    source: Source,
    runs: String,
    bound: Option<SeriesBound>,
}

impl KnownValue {
    /// Whether this value is preferred to another one: measured before fitted, of two fits the one up to the
    /// larger size, of two measured values the larger one.
    fn is_better_than(&self, other: &KnownValue) -> bool {
        match (self.source, other.source) {
            (Source::Measured { .. }, Source::Slope { .. }) => true,
            (Source::Slope { .. }, Source::Measured { .. }) => false,
            (Source::Measured { .. }, Source::Measured { .. }) => self.value > other.value,
            (Source::Slope { up_to, .. }, Source::Slope { up_to: other, .. }) => up_to > other,
        }
    }

    fn from(&self) -> String {
        match self.source {
            Source::Measured { .. } => format!("measured: {}", self.runs),
            Source::Slope { up_to, .. } => {
                format!("slope up to {} nodes: {}", format_number(up_to), self.runs)
            }
        }
    }

    fn value(&self) -> String {
        let spread = match self.source {
            Source::Measured { spread: None } => return format!("{} (one run)", format_number(self.value)),
            Source::Measured { spread: Some(spread) } => spread * self.value.abs(),
            Source::Slope { spread, .. } => spread,
        };
        format!("{} ± {}", format_number(self.value), format_number(spread))
    }
}

fn known_value(fitted: &FittedSeries, runs: &str) -> Option<KnownValue> {
    let (bound, runs) = (fitted.bound(), format!("{runs}, {}", fitted.series.key.others));
    let sizes = group_by_size(&fitted.series.points);
    if let Some(size) = sizes.iter().find(|size| size.size == TARGET.nodes) {
        let spread = (size.values.len() > 1).then(|| size.spread());
        let source = Source::Measured { spread };
        return Some(KnownValue { value: size.mean(), source, runs, bound });
    }
    let fit = fitted.outcome.as_ref().ok()?;
    let significant = fit.chosen.curve.model == Model::Constant || fit.slope_is_significant();
    if fit.verdict() == Verdict::NotUnderstood || !significant {
        return None;
    }
    let target = fit.extrapolate(TARGET.nodes);
    let source = Source::Slope { spread: target.spread, up_to: fit.held_out_size };
    Some(KnownValue { value: target.value, source, runs, bound })
}

/// Formats the table.
pub fn roles_at_target(groups: &[RunGroup<'_>]) -> String {
    let mut best: BTreeMap<(Subject, Quantity), Option<KnownValue>> = BTreeMap::new();
    for group in groups.iter().filter(|group| group.state == FleetState::Calm) {
        for fitted in group.fits.iter().filter(|fitted| fitted.series.key.axis == Axis::Nodes) {
            let key = &fitted.series.key;
            let entry = best.entry((key.subject, key.quantity)).or_default();
            if let Some(new) = known_value(fitted, &group.name)
                && entry.as_ref().is_none_or(|old| new.is_better_than(old))
            {
                *entry = Some(new);
            }
        }
    }
    let heads = ["whose", "what", "at the target's nodes", "bound", "left of it", "from"];
    let rows: Vec<Vec<String>> = best
        .iter()
        .map(|((subject, quantity), known_value)| cells(*subject, *quantity, known_value.as_ref()))
        .collect();
    markdown_table(&heads, &rows)
}

fn cells(subject: Subject, quantity: Quantity, known_value: Option<&KnownValue>) -> Vec<String> {
    let series_cells = [subject.to_string(), quantity.to_string()];
    let dash = || "-".to_string();
    let value_cells = match known_value {
        None => [dash(), dash(), dash(), "not known".into()],
        Some(known_value) => {
            let left = |bound: SeriesBound| match bound.max - known_value.value {
                left if left < 0.0 => {
                    format!("none: {} times it", format_number(known_value.value / bound.max))
                }
                left => format_number(left),
            };
            let bound = known_value.bound.map_or_else(dash, |bound| format_number(bound.max));
            [known_value.value(), bound, known_value.bound.map_or_else(dash, left), known_value.from()]
        }
    };
    series_cells.into_iter().chain(value_cells).collect()
}
