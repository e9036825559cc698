//! Each role at the target's number of nodes, in calm: what was measured there, else what a fit that may be relied upon says of it.

use std::collections::BTreeMap;

use crate::fit::{Verdict, by_size};
use crate::kept::Kept;
use crate::models::Model;
use crate::record::FleetState;
use crate::report::{Fitted, SeriesBound};
use crate::series::{Axis, Quantity, Subject};
use crate::target::TARGET;
use crate::text::{figure, table};

/// Where a figure comes from, the most trustworthy first.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    /// Runs at the target's number of nodes, and the largest part by which a repetition differs from their mean.
    Measured { spread: f64 },
    /// A fit, with the largest size that was measured.
    Slope { spread: f64, up_to: f64 },
}

/// One figure of a role at the target.
struct Known {
    value: f64,
    source: Source,
    runs: String,
    bound: Option<SeriesBound>,
}

impl Known {
    /// Whether it is to be shown rather than another: measured before fitted, of two fits that of the larger sizes, of two measured ones
    /// the larger figure.
    fn is_better_than(&self, other: &Known) -> bool {
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
            Source::Slope { up_to, .. } => format!("slope up to {} nodes: {}", figure(up_to), self.runs),
        }
    }

    fn value(&self) -> String {
        let spread = match self.source {
            Source::Measured { spread } => spread * self.value.abs(),
            Source::Slope { spread, .. } => spread,
        };
        format!("{} ± {}", figure(self.value), figure(spread))
    }
}

fn known(fitted: &Fitted, runs: &str) -> Option<Known> {
    let (bound, runs) = (fitted.bound(), format!("{runs}, {}", fitted.series.key.others));
    let sizes = by_size(&fitted.series.points);
    if let Some(size) = sizes.iter().find(|size| size.size == TARGET.nodes) {
        let source = Source::Measured { spread: size.spread() };
        return Some(Known { value: size.mean(), source, runs, bound });
    }
    let fit = fitted.outcome.as_ref().ok()?;
    let told = fit.chosen.curve.model == Model::Constant || fit.slope_is_told();
    if fit.verdict() == Verdict::NotUnderstood || !told {
        return None;
    }
    let target = fit.extrapolate(TARGET.nodes);
    let source = Source::Slope { spread: target.spread, up_to: fit.held_out_size };
    Some(Known { value: target.value, source, runs, bound })
}

/// The table.
pub fn roles_at_target(kept: &[Kept<'_>]) -> String {
    let mut best: BTreeMap<(Subject, Quantity), Option<Known>> = BTreeMap::new();
    for kept in kept.iter().filter(|kept| kept.state == FleetState::Calm) {
        for fitted in kept.fits.iter().filter(|fitted| fitted.series.key.axis == Axis::Nodes) {
            let key = &fitted.series.key;
            let entry = best.entry((key.subject, key.quantity)).or_default();
            if let Some(new) = known(fitted, &kept.name)
                && entry.as_ref().is_none_or(|old| new.is_better_than(old))
            {
                *entry = Some(new);
            }
        }
    }
    let heads = ["whose", "what", "at the target's nodes", "bound", "left of it", "from"];
    let rows: Vec<Vec<String>> =
        best.iter().map(|((subject, quantity), known)| cells(*subject, *quantity, known.as_ref())).collect();
    table(&heads, &rows)
}

fn cells(subject: Subject, quantity: Quantity, known: Option<&Known>) -> Vec<String> {
    let what = [subject.to_string(), quantity.to_string()];
    let dash = || "-".to_string();
    let figures = match known {
        None => [dash(), dash(), dash(), "not known".into()],
        Some(known) => {
            let left = |bound: SeriesBound| match bound.most - known.value {
                left if left < 0.0 => format!("none: {} times it", figure(known.value / bound.most)),
                left => figure(left),
            };
            let bound = known.bound.map_or_else(dash, |bound| figure(bound.most));
            [known.value(), bound, known.bound.map_or_else(dash, left), known.from()]
        }
    };
    what.into_iter().chain(figures).collect()
}
