//! Fits of all series of some runs, as a table and as JSON, with the bounds that the design or the target sets them.

use serde::Serialize;

use crate::arithmetic::{BoundKind, list_changes};
use crate::fit::{Fit, NoFit, SizeValues, Verdict, by_size, fit};
use crate::models::{Model, ROUNDING};
use crate::record::{Change, Role, Run};
use crate::series::{self, Axis, Quantity, Series, Subject};
use crate::target::TARGET;
use crate::text::{figure, percent};

/// A series and its fit, or why it has none.
#[derive(Clone, Debug, PartialEq)]
pub struct Fitted {
    /// The series.
    pub series: Series,
    /// The fit.
    pub outcome: Result<Fit, NoFit>,
}

/// A bound of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SeriesBound {
    /// The most that it may be.
    pub most: f64,
    /// Its kind.
    pub kind: BoundKind,
}

/// A size that was measured beyond its bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasuredBeyond {
    /// The size.
    pub size: f64,
    /// The mean there.
    pub value: f64,
    /// The bound there.
    pub bound: f64,
}

/// Fits each series of runs of one kind.
pub fn fit_all(runs: &[&Run]) -> Vec<Fitted> {
    let fitted = |series: Series| Fitted { outcome: fit(&series.points), series };
    series::all(runs).into_iter().map(fitted).collect()
}

/// The size of the target on an axis.
pub fn target_size(axis: Axis) -> f64 {
    match axis {
        Axis::Nodes => TARGET.nodes,
        Axis::CacheServers => TARGET.cache_servers,
        Axis::Changes => list_changes(&TARGET),
    }
}

impl Fitted {
    /// What the series may be at the most at the largest size. Members of the agreement are nodes, for the operator's file takes no others, and have a node's
    /// budget.
    pub fn bound(&self) -> Option<SeriesBound> {
        self.bound_at(f64::INFINITY)
    }

    fn bound_at(&self, size: f64) -> Option<SeriesBound> {
        let budget = TARGET.budget;
        let (most, kind) = match (self.series.key.subject, self.series.key.quantity) {
            (Subject::Sum(_), _) => (self.series.bound_at(size)?, BoundKind::Design),
            (Subject::Spread(Change::Settings), _) => (TARGET.settings_within_s, BoundKind::Design),
            (Subject::Role(role), quantity) if is_node(role) => match quantity {
                Quantity::Bytes => (budget.bytes_per_s, BoundKind::Budget),
                Quantity::Cpu => (budget.cores, BoundKind::Budget),
                Quantity::ResidentMemory => (budget.memory_bytes, BoundKind::Budget),
                _ => return None,
            },
            _ => return None,
        };
        Some(SeriesBound { most, kind })
    }

    /// The smallest size that was measured at which the mean is beyond the bound there.
    pub fn measured_beyond(&self) -> Option<MeasuredBeyond> {
        let beyond = |size: &SizeValues| {
            let value = size.mean();
            let bound = self.bound_at(size.size)?;
            (value > bound.most * (1.0 + ROUNDING)).then_some(MeasuredBeyond {
                size: size.size,
                value,
                bound: bound.most,
            })
        };
        by_size(&self.series.points).iter().find_map(beyond)
    }

    /// The size, beyond those measured and up to the target, from which on the fit is beyond the bound. Only of a fit that is understood and whose
    /// slope is larger than its spread, and of a bound that is the same at all sizes.
    pub fn fitted_beyond(&self) -> Option<f64> {
        if self.series.bound_varies() {
            return None;
        }
        let (bound, fit) = (self.bound()?, self.outcome.as_ref().ok()?);
        let (mut within, mut beyond) = (fit.held_out_size, target_size(self.series.key.axis));
        let exceeds = |size: f64| fit.chosen.curve.predict(size) > bound.most;
        let relied_upon = fit.verdict() == Verdict::Understood && fit.slope_is_told();
        if !relied_upon || beyond <= within || !exceeds(beyond) {
            return None;
        }
        if exceeds(within) {
            return Some(within);
        }
        while beyond - within > 1.0 {
            let middle = f64::midpoint(within, beyond);
            if exceeds(middle) { beyond = middle } else { within = middle }
        }
        Some(beyond.floor())
    }

    /// Whether it is 0 in every run.
    pub fn is_nothing(&self) -> bool {
        self.series.points.iter().all(|point| point.value == 0.0)
    }

    /// What else is to be said of it.
    fn note(&self) -> String {
        let verdict = match &self.outcome {
            Err(none) => none.to_string(),
            Ok(fit) if fit.verdict() == Verdict::NotUnderstood => "not understood".into(),
            Ok(fit) if fit.chosen.curve.model != Model::Constant && !fit.slope_is_told() => {
                "understood, but a slope within its spread".into()
            }
            Ok(_) => "understood".into(),
        };
        match self.series.incomplete {
            0 => verdict,
            some => format!("{verdict}; in {some} of {} runs not all acted", self.series.points.len()),
        }
    }

    /// The cells of [`HEADS`].
    pub fn cells(&self) -> Vec<String> {
        let key = &self.series.key;
        let what =
            vec![key.subject.to_string(), key.quantity.to_string(), format!("{} ({})", key.axis, key.others)];
        let dash = || "-".to_string();
        let bound = self.bound().map_or_else(dash, |bound| figure(bound.most));
        let figures = match &self.outcome {
            Err(_) => vec![dash(), dash(), dash(), dash(), dash()],
            Ok(fit) => {
                let target = fit.extrapolate(target_size(key.axis));
                vec![
                    fit.chosen.curve.model.to_string(),
                    format!("{} ± {}", figure(fit.chosen.curve.slope), figure(fit.slope_spread())),
                    percent(fit.repetition_spread),
                    percent(fit.chosen.held_out_error),
                    format!("{} ± {}", figure(target.value), figure(target.spread)),
                ]
            }
        };
        [what, figures, vec![bound, self.note()]].concat()
    }
}

fn is_node(role: Role) -> bool {
    use Role::{AgreementFollower, AgreementLeader, AgreementVoter, HollowNode};
    matches!(role, HollowNode | AgreementLeader | AgreementVoter | AgreementFollower)
}

/// Heads of a table of fits. Slopes and values at the target are given with two standard errors either way, or with the held-out error
/// where that is more; repetitions with the largest part by which one differs from its size's mean.
pub const HEADS: [&str; 10] = [
    "whose",
    "what",
    "over",
    "model",
    "slope",
    "repetitions",
    "held-out error",
    "at the target",
    "bound",
    "verdict",
];

/// A table for a terminal.
pub fn terminal_table(fits: &[Fitted]) -> String {
    let heads: Vec<String> = HEADS.iter().map(|head| (*head).into()).collect();
    let rows: Vec<Vec<String>> = std::iter::once(heads).chain(fits.iter().map(Fitted::cells)).collect();
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..HEADS.len()).map(width).collect();
    let mut text = String::new();
    for row in &rows {
        let pad = |(cell, width): (&String, &usize)| format!("{cell:width$}", width = *width);
        let cells: Vec<String> = row.iter().zip(&widths).map(pad).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// One series as JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FitJson {
    /// Whose.
    pub subject: String,
    /// What.
    pub quantity: String,
    /// Over what.
    pub axis: String,
    /// The other axes.
    pub others: String,
    /// Sizes and the values there.
    pub points: Vec<(f64, Vec<f64>)>,
    /// The bound.
    pub bound: Option<f64>,
    /// Runs in which not all acted that should have.
    pub incomplete: usize,
    /// The fit.
    pub fit: Option<ModelJson>,
    /// Why there is none, or whether it is understood.
    pub verdict: String,
}

/// A fit as JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ModelJson {
    /// The model.
    pub model: String,
    /// Its value where the basis is 0.
    pub intercept: f64,
    /// What one unit of its basis adds.
    pub slope: f64,
    /// The slope's spread, either way.
    pub slope_spread: f64,
    /// That of repetitions, a part of the mean.
    pub repetition_spread: f64,
    /// The size that was held out.
    pub held_out_size: f64,
    /// The error there, a part of the mean.
    pub held_out_error: f64,
    /// The size of the target.
    pub target_size: f64,
    /// The value there.
    pub target_value: f64,
    /// Its spread, either way.
    pub target_spread: f64,
}

impl From<&Fitted> for FitJson {
    fn from(fitted: &Fitted) -> FitJson {
        let key = &fitted.series.key;
        let sizes = by_size(&fitted.series.points);
        let model = |fit: &Fit| {
            let target_size = target_size(key.axis);
            let target = fit.extrapolate(target_size);
            ModelJson {
                model: fit.chosen.curve.model.to_string(),
                intercept: fit.chosen.curve.intercept,
                slope: fit.chosen.curve.slope,
                slope_spread: fit.slope_spread(),
                repetition_spread: fit.repetition_spread,
                held_out_size: fit.held_out_size,
                held_out_error: fit.chosen.held_out_error,
                target_size,
                target_value: target.value,
                target_spread: target.spread,
            }
        };
        FitJson {
            subject: key.subject.to_string(),
            quantity: key.quantity.to_string(),
            axis: key.axis.to_string(),
            others: key.others.clone(),
            points: sizes.into_iter().map(|size| (size.size, size.values)).collect(),
            bound: fitted.bound().map(|bound| bound.most),
            incomplete: fitted.series.incomplete,
            fit: fitted.outcome.as_ref().ok().map(model),
            verdict: fitted.note(),
        }
    }
}
