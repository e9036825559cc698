//! Selects the model of a cost that best predicts the largest measured size.
//!
//! Each candidate is fitted to all sizes except the largest, which is held out. The candidate with the
//! smallest error at the held-out size is selected. This makes the reported error optimistic: the held-out
//! size does not affect the coefficients, but it does affect the selection among four candidates, so the
//! error at an unmeasured size is likely to be larger. A small error also says nothing about changes of
//! behaviour beyond the held-out size, such as a queue that fills up or a limit that is reached.

use std::fmt;

use crate::models::{Curve, Model, Point, ROUNDING_TOLERANCE, least_squares};
use crate::text::format_percent;

/// Minimum number of sizes: three, so that a fit of two coefficients has a degree of freedom left, and the
/// one that is held out.
pub const MIN_SIZES: usize = 4;
/// Minimum number of repetitions at each size, so that their spread is known.
pub const MIN_REPETITIONS: usize = 3;
/// Maximum relative error at the held-out size of a cost that is considered understood.
pub const MAX_HELD_OUT_ERROR: f64 = 0.25;
/// Held-out errors that differ by less than this share of the measured value are considered equal, and the
/// simpler model is selected. Repetitions at one size usually differ by this much.
pub const HELD_OUT_ERROR_TOLERANCE: f64 = 0.01;
/// Number of standard errors in a reported spread: covers about 95% if residuals are independent and normally
/// distributed.
pub const SPREAD_STANDARD_ERRORS: f64 = 2.0;

/// Why no model can be fitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FitError {
    /// There are fewer than [`MIN_SIZES`].
    TooFewSizes {
        /// Number of sizes.
        sizes: usize,
    },
    /// A size has fewer than [`MIN_REPETITIONS`].
    TooFewRepetitions {
        /// The size.
        size: f64,
        /// Number of its repetitions.
        repetitions: usize,
    },
    /// Values are not finite.
    NotFinite,
}

impl fmt::Display for FitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FitError::TooFewSizes { sizes } => {
                write!(f, "no fit: {sizes} of at least {MIN_SIZES} sizes")
            }
            FitError::TooFewRepetitions { size, repetitions } => {
                write!(f, "no fit: {repetitions} of at least {MIN_REPETITIONS} runs at size {size}")
            }
            FitError::NotFinite => f.write_str("no fit: values that are no numbers"),
        }
    }
}

impl std::error::Error for FitError {}

/// Whether a fit is reliable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The error at the held-out size is at most [`MAX_HELD_OUT_ERROR`].
    Understood,
    /// The error is larger.
    NotUnderstood,
}

/// A candidate model and its error at the held-out size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The model, fitted without the held-out size.
    pub curve: Curve,
    /// The error at the held-out size, as a share of the measured mean.
    pub held_out_error: f64,
}

/// The selected model of a cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The selected model, fitted without the held-out size.
    pub chosen: Candidate,
    /// All candidates, the simplest first.
    pub candidates: Vec<Candidate>,
    /// The size that was held out.
    pub held_out_size: f64,
    /// The mean measured at the held-out size.
    pub held_out_value: f64,
    /// The largest relative deviation of a repetition from the mean of its size.
    pub repetition_spread: f64,
}

/// A predicted value at an unmeasured size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Extrapolation {
    /// The predicted value.
    pub value: f64,
    /// Possible error in either direction: [`SPREAD_STANDARD_ERRORS`] standard errors of the prediction, or
    /// the relative held-out error if that is more.
    pub spread: f64,
}

impl Fit {
    /// Whether the fit is reliable.
    pub fn verdict(&self) -> Verdict {
        if self.chosen.held_out_error <= MAX_HELD_OUT_ERROR {
            Verdict::Understood
        } else {
            Verdict::NotUnderstood
        }
    }

    /// The spread of the slope, in either direction.
    pub fn slope_spread(&self) -> f64 {
        SPREAD_STANDARD_ERRORS * self.chosen.curve.slope_error
    }

    /// Whether the slope is larger than its spread, so that the cost is known to grow or fall.
    pub fn slope_is_significant(&self) -> bool {
        self.chosen.curve.slope.abs() > self.slope_spread()
    }

    /// Predicts the value at an unmeasured size.
    pub fn extrapolate(&self, size: f64) -> Extrapolation {
        let curve = &self.chosen.curve;
        let value = curve.predict(size);
        let statistical = SPREAD_STANDARD_ERRORS * curve.prediction_error(size);
        Extrapolation { value, spread: statistical.max(self.chosen.held_out_error * value.abs()) }
    }
}

/// All values measured at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct SizeValues {
    /// The size.
    pub size: f64,
    /// One value for each repetition.
    pub values: Vec<f64>,
}

impl SizeValues {
    /// The mean of the repetitions.
    pub fn mean(&self) -> f64 {
        self.values.iter().sum::<f64>() / self.values.len().max(1) as f64
    }

    /// The spread as text. It is unknown for a single run.
    pub fn spread_text(&self) -> String {
        match self.values.len() {
            0 | 1 => "one run".into(),
            runs => format!("± {}, {runs}", format_percent(self.spread())),
        }
    }

    /// The largest relative deviation of a repetition from the mean.
    pub fn spread(&self) -> f64 {
        let mean = self.mean();
        self.values.iter().map(|value| relative_error(*value, mean)).fold(0.0, f64::max)
    }
}

/// Groups points by size, the smallest size first.
pub fn group_by_size(points: &[Point]) -> Vec<SizeValues> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|a, b| a.size.total_cmp(&b.size));
    let mut sizes: Vec<SizeValues> = Vec::new();
    for point in sorted {
        match sizes.last_mut() {
            Some(last) if last.size == point.size => last.values.push(point.value),
            _ => sizes.push(SizeValues { size: point.size, values: vec![point.value] }),
        }
    }
    sizes
}

/// The relative error of a value.
fn relative_error(value: f64, of: f64) -> f64 {
    let distance = (value - of).abs();
    if distance <= ROUNDING_TOLERANCE * of.abs() { 0.0 } else { distance / of.abs() }
}

/// Fits all candidates without the largest size, and selects the one with the smallest error at it.
///
/// # Errors
/// There are too few sizes or repetitions, or values are not finite.
pub fn fit(points: &[Point]) -> Result<Fit, FitError> {
    if points.iter().any(|p| !p.size.is_finite() || !p.value.is_finite()) {
        return Err(FitError::NotFinite);
    }
    let sizes = group_by_size(points);
    let Some(held_out) = sizes.last() else { return Err(FitError::TooFewSizes { sizes: 0 }) };
    if sizes.len() < MIN_SIZES {
        return Err(FitError::TooFewSizes { sizes: sizes.len() });
    }
    if let Some(short) = sizes.iter().find(|s| s.values.len() < MIN_REPETITIONS) {
        return Err(FitError::TooFewRepetitions { size: short.size, repetitions: short.values.len() });
    }
    let held_out_value = held_out.mean();
    let known: Vec<Point> = points.iter().copied().filter(|p| p.size < held_out.size).collect();
    let candidate = |model: &Model| {
        let curve = least_squares(*model, &known)?;
        let held_out_error = relative_error(curve.predict(held_out.size), held_out_value);
        Some(Candidate { curve, held_out_error })
    };
    let candidates: Vec<Candidate> = Model::ALL.iter().filter_map(candidate).collect();
    let smallest_error = candidates.iter().map(|c| c.held_out_error).fold(f64::INFINITY, f64::min);
    let simplest_of_best =
        candidates.iter().find(|c| c.held_out_error <= smallest_error + HELD_OUT_ERROR_TOLERANCE);
    let chosen = *simplest_of_best.ok_or(FitError::NotFinite)?;
    let repetition_spread = sizes.iter().map(SizeValues::spread).fold(0.0, f64::max);
    Ok(Fit { chosen, candidates, held_out_size: held_out.size, held_out_value, repetition_spread })
}
