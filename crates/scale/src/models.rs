//! Candidate models of a cost as a function of a size, and least-squares fits.

use std::fmt;

/// Deviations below this share of the largest value are rounding errors.
pub(crate) const ROUNDING_TOLERANCE: f64 = 1e-12;

/// One measured value at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size: nodes, cache servers, or changes per second.
    pub size: f64,
    /// The measured value.
    pub value: f64,
}

/// How a cost grows with a size `n`: `intercept + slope * basis(n)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Model {
    /// Does not depend on `n`.
    Constant,
    /// Grows with `n`.
    Linear,
    /// Grows with `n ln n`.
    LinearLog,
    /// Grows with `n²`.
    Quadratic,
}

impl Model {
    /// All candidates, the simplest first.
    pub const ALL: [Model; 4] = [Model::Constant, Model::Linear, Model::LinearLog, Model::Quadratic];

    /// The function of the size that the slope is multiplied with.
    pub fn basis(self, size: f64) -> f64 {
        match self {
            Model::Constant => 0.0,
            Model::Linear => size,
            Model::LinearLog if size > 0.0 => size * size.ln(),
            Model::LinearLog => 0.0,
            Model::Quadratic => size * size,
        }
    }

    /// Number of coefficients to fit.
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

/// A fitted model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Curve {
    /// The model.
    pub model: Model,
    /// The value where the basis is 0.
    pub intercept: f64,
    /// The increase per unit of the basis; 0 for a constant.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The residual standard deviation, with the degrees of freedom taken into account.
    pub deviation: f64,
    points: f64,
    basis_mean: f64,
    /// Sum of squared deviations of the points' bases from their mean.
    basis_squares: f64,
}

impl Curve {
    /// The predicted value at a size.
    pub fn predict(&self, size: f64) -> f64 {
        self.intercept + self.slope * self.model.basis(size)
    }

    /// The standard error of [`predict`](Self::predict) at a size, assuming that the model is correct.
    pub fn prediction_error(&self, size: f64) -> f64 {
        let mean = 1.0 / self.points;
        let distance = self.model.basis(size) - self.basis_mean;
        let slope = if self.basis_squares > 0.0 { distance * distance / self.basis_squares } else { 0.0 };
        self.deviation * (mean + slope).sqrt()
    }
}

/// Fits a model to points by least squares. Returns `None` if the points do not determine the coefficients
/// (no degree of freedom, or all points at one size) or values are not finite.
pub fn least_squares(model: Model, points: &[Point]) -> Option<Curve> {
    let degrees_of_freedom =
        points.len().checked_sub(model.coefficients()).filter(|degrees_of_freedom| *degrees_of_freedom > 0)?
            as f64;
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
    let deviation = match (residuals / degrees_of_freedom).sqrt() {
        rounded if rounded <= ROUNDING_TOLERANCE * largest => 0.0,
        deviation => deviation,
    };
    let slope_error = if model == Model::Constant { 0.0 } else { deviation / basis_squares.sqrt() };
    let curve =
        Curve { model, intercept, slope, slope_error, deviation, points: count, basis_mean, basis_squares };
    (slope.is_finite() && intercept.is_finite() && deviation.is_finite()).then_some(curve)
}
