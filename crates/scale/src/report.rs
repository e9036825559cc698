//! Fits of all series of some runs, as table and as JSON, together with the bounds set by the design or the
//! target.

use serde::Serialize;

use crate::arithmetic::{BoundKind, list_changes};
use crate::fit::{Fit, FitError, SizeValues, Verdict, fit, group_by_size};
use crate::models::{Model, ROUNDING_TOLERANCE};
use crate::record::{Change, Role, Run};
use crate::series::{self, Axis, Quantity, Series, Subject};
use crate::target::TARGET;
use crate::text::{format_number, format_percent};

/// A series with its fit, or the reason why there is none.
#[derive(Clone, Debug, PartialEq)]
pub struct FittedSeries {
    /// The series.
    pub series: Series,
    /// The fit.
    pub outcome: Result<Fit, FitError>,
}

/// A bound of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SeriesBound {
    /// The maximum value.
    pub max: f64,
    /// What defines the bound.
    pub kind: BoundKind,
}

/// A measured size at which the bound is exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasuredExceedance {
    /// The size.
    pub size: f64,
    /// The mean at this size.
    pub value: f64,
    /// The bound at this size.
    pub bound: f64,
}

/// Fits each series of runs of one kind.
pub fn fit_all(runs: &[&Run]) -> Vec<FittedSeries> {
    let fitted = |series: Series| FittedSeries { outcome: fit(&series.points), series };
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

impl FittedSeries {
    /// The bound at the largest size. Members of the agreement have a node's budget, since the operator's
    /// file permits only nodes as members.
    pub fn bound(&self) -> Option<SeriesBound> {
        self.bound_at(f64::INFINITY)
    }

    fn bound_at(&self, size: f64) -> Option<SeriesBound> {
        let budget = TARGET.budget;
        let (max, kind) = match (self.series.key.subject, self.series.key.quantity) {
            (Subject::Sum(_), _) => (self.series.bound_at(size)?, BoundKind::Design),
            (Subject::Propagation(Change::Settings), _) => (TARGET.settings_within_s, BoundKind::Design),
            (Subject::Role(role), quantity) if is_node(role) => match quantity {
                Quantity::Bytes => (budget.bytes_per_s, BoundKind::Budget),
                Quantity::Cpu => (budget.cores, BoundKind::Budget),
                Quantity::ResidentMemory => (budget.memory_bytes, BoundKind::Budget),
                _ => return None,
            },
            _ => return None,
        };
        Some(SeriesBound { max, kind })
    }

    /// The smallest measured size at which the mean exceeds the bound.
    pub fn measured_exceedance(&self) -> Option<MeasuredExceedance> {
        let beyond = |size: &SizeValues| {
            let value = size.mean();
            let bound = self.bound_at(size.size)?;
            (value > bound.max * (1.0 + ROUNDING_TOLERANCE)).then_some(MeasuredExceedance {
                size: size.size,
                value,
                bound: bound.max,
            })
        };
        group_by_size(&self.series.points).iter().find_map(beyond)
    }

    /// The smallest size between the measured ones and the target at which the fit exceeds the bound. Only if
    /// the fit is reliable, its slope is larger than its spread, and the bound is the same at all sizes.
    pub fn fitted_exceedance(&self) -> Option<f64> {
        if self.series.bound_varies() {
            return None;
        }
        let (bound, fit) = (self.bound()?, self.outcome.as_ref().ok()?);
        let (mut within, mut beyond) = (fit.held_out_size, target_size(self.series.key.axis));
        let exceeds = |size: f64| fit.chosen.curve.predict(size) > bound.max;
        let reliable = fit.verdict() == Verdict::Understood && fit.slope_is_significant();
        if !reliable || beyond <= within || !exceeds(beyond) {
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

    /// Whether the value is 0 in every run.
    pub fn is_zero(&self) -> bool {
        self.series.points.iter().all(|point| point.value == 0.0)
    }

    /// The verdict, and what else limits the reliability of the values.
    fn verdict_text(&self) -> String {
        let verdict = match &self.outcome {
            Err(error) => error.to_string(),
            Ok(fit) if fit.verdict() == Verdict::NotUnderstood => "not understood".into(),
            Ok(fit) if fit.chosen.curve.model != Model::Constant && !fit.slope_is_significant() => {
                "understood, but a slope within its spread".into()
            }
            Ok(_) => "understood".into(),
        };
        match self.series.incomplete {
            0 => verdict,
            count => format!("{verdict}; in {count} of {} runs not all acted", self.series.points.len()),
        }
    }

    /// The cells below [`HEADS`].
    pub fn cells(&self) -> Vec<String> {
        let key = &self.series.key;
        let series_cells =
            vec![key.subject.to_string(), key.quantity.to_string(), format!("{} ({})", key.axis, key.others)];
        let dash = || "-".to_string();
        let bound = self.bound().map_or_else(dash, |bound| format_number(bound.max));
        let fit_cells = match &self.outcome {
            Err(_) => vec![dash(), dash(), dash(), dash(), dash()],
            Ok(fit) => {
                let target = fit.extrapolate(target_size(key.axis));
                vec![
                    fit.chosen.curve.model.to_string(),
                    format!(
                        "{} ± {}",
                        format_number(fit.chosen.curve.slope),
                        format_number(fit.slope_spread())
                    ),
                    format_percent(fit.repetition_spread),
                    format_percent(fit.chosen.held_out_error),
                    format!("{} ± {}", format_number(target.value), format_number(target.spread)),
                ]
            }
        };
        [series_cells, fit_cells, vec![bound, self.verdict_text()]].concat()
    }
}

fn is_node(role: Role) -> bool {
    use Role::{AgreementFollower, AgreementLeader, AgreementVoter, HollowNode};
    matches!(role, HollowNode | AgreementLeader | AgreementVoter | AgreementFollower)
}

/// Heads of a table of fits. Slopes and values at the target are followed by two standard errors in either
/// direction, or by the held-out error if that is more; repetitions are given as the largest relative
/// deviation from the mean of their size.
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

/// Formats a table for a terminal.
pub fn terminal_table(fits: &[FittedSeries]) -> String {
    let heads: Vec<String> = HEADS.iter().map(|head| (*head).into()).collect();
    let rows: Vec<Vec<String>> = std::iter::once(heads).chain(fits.iter().map(FittedSeries::cells)).collect();
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
    /// What the series describes.
    pub subject: String,
    /// The measured quantity.
    pub quantity: String,
    /// The size that varies.
    pub axis: String,
    /// The other axes.
    pub others: String,
    /// The sizes and the values measured there.
    pub points: Vec<(f64, Vec<f64>)>,
    /// The bound.
    pub bound: Option<f64>,
    /// Number of runs in which not all expected nodes acted.
    pub incomplete: usize,
    /// The fit.
    pub fit: Option<ModelJson>,
    /// The verdict, or why there is no fit.
    pub verdict: String,
}

/// A fit as JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ModelJson {
    /// The model.
    pub model: String,
    /// The value where the basis is 0.
    pub intercept: f64,
    /// The increase per unit of the basis.
    pub slope: f64,
    /// The spread of the slope, in either direction.
    pub slope_spread: f64,
    /// The spread of repetitions, as a share of the mean.
    pub repetition_spread: f64,
    /// The size that was held out.
    pub held_out_size: f64,
    /// The error at the held-out size, as a share of the mean.
    pub held_out_error: f64,
    /// The size of the target.
    pub target_size: f64,
    /// The predicted value at the target.
    pub target_value: f64,
    /// The spread of the predicted value, in either direction.
    pub target_spread: f64,
}

impl From<&FittedSeries> for FitJson {
    fn from(fitted: &FittedSeries) -> FitJson {
        let key = &fitted.series.key;
        let sizes = group_by_size(&fitted.series.points);
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
            bound: fitted.bound().map(|bound| bound.max),
            incomplete: fitted.series.incomplete,
            fit: fitted.outcome.as_ref().ok().map(model),
            verdict: fitted.verdict_text(),
        }
    }
}
