//! Candidate models of a cost over a size, and least squares of one model to points.

use std::fmt;

/// Deviations below this part of the largest value are what rounding leaves of none.
pub(crate) const ROUNDING: f64 = 1e-12;

/// One measured value at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size: nodes, cache servers, or changes a second.
    pub size: f64,
    /// What was measured there.
    pub value: f64,
}

/// How a cost may grow with a size `n`: `intercept + slope * basis(n)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Model {
    /// Not at all.
    Constant,
    /// With `n`.
    Linear,
    /// With `n ln n`.
    LinearLog,
    /// With `n` squared.
    Quadratic,
}

impl Model {
    /// All candidates, the simplest first.
    pub const ALL: [Model; 4] = [Model::Constant, Model::Linear, Model::LinearLog, Model::Quadratic];

    /// What the slope is multiplied with at a size.
    pub fn basis(self, size: f64) -> f64 {
        match self {
            Model::Constant => 0.0,
            Model::Linear => size,
            Model::LinearLog if size > 0.0 => size * size.ln(),
            Model::LinearLog => 0.0,
            Model::Quadratic => size * size,
        }
    }

    /// Coefficients that least squares finds.
    fn coefficients(self) -> usize {
        if self == Model::Constant { 1 } else { 2 }
    }
}

impl fmt::Display for Model {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Model::Constant => "constant",
            Model::Linear => "linear",
            Model::LinearLog => "n log n",
            Model::Quadratic => "quadratic",
        })
    }
}

/// A model with the coefficients that least squares gave it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Curve {
    /// The model.
    pub model: Model,
    /// Its value where the basis is 0.
    pub intercept: f64,
    /// What one unit of the basis adds; 0 for a constant.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The standard deviation of the points round the curve, by their degrees of freedom.
    pub deviation: f64,
    points: f64,
    basis_mean: f64,
    /// Sum of squared distances of the points' bases from their mean.
    basis_squares: f64,
}

impl Curve {
    /// The value at a size.
    pub fn predict(&self, size: f64) -> f64 {
        self.intercept + self.slope * self.model.basis(size)
    }

    /// The standard error of [`predict`](Self::predict) at a size, where the model is the right one.
    pub fn prediction_error(&self, size: f64) -> f64 {
        let mean = 1.0 / self.points;
        let distance = self.model.basis(size) - self.basis_mean;
        let slope = if self.basis_squares > 0.0 { distance * distance / self.basis_squares } else { 0.0 };
        self.deviation * (mean + slope).sqrt()
    }
}

/// Fits a model to points by least squares. `None` where the points can't tell its coefficients: fewer than one more than there are
/// coefficients, all of one size, or values that are no numbers.
pub fn least_squares(model: Model, points: &[Point]) -> Option<Curve> {
    let freedom = points.len().checked_sub(model.coefficients()).filter(|freedom| *freedom > 0)? as f64;
    let count = points.len() as f64;
    let basis = |point: &Point| model.basis(point.size);
    let basis_mean = points.iter().map(basis).sum::<f64>() / count;
    let value_mean = points.iter().map(|p| p.value).sum::<f64>() / count;
    let basis_squares: f64 = points.iter().map(|p| (basis(p) - basis_mean).powi(2)).sum();
    let products: f64 = points.iter().map(|p| (basis(p) - basis_mean) * (p.value - value_mean)).sum();
    if model != Model::Constant && basis_squares <= 0.0 {
        return None;
    }
    let slope = if model == Model::Constant { 0.0 } else { products / basis_squares };
    let intercept = value_mean - slope * basis_mean;
    let residuals: f64 = points.iter().map(|p| (p.value - intercept - slope * basis(p)).powi(2)).sum();
    let largest = points.iter().map(|p| p.value.abs()).fold(0.0, f64::max);
    let deviation = match (residuals / freedom).sqrt() {
        rounded if rounded <= ROUNDING * largest => 0.0,
        deviation => deviation,
    };
    let slope_error = if model == Model::Constant { 0.0 } else { deviation / basis_squares.sqrt() };
    let curve =
        Curve { model, intercept, slope, slope_error, deviation, points: count, basis_mean, basis_squares };
    (slope.is_finite() && intercept.is_finite() && deviation.is_finite()).then_some(curve)
}
