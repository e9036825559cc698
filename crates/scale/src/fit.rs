//! The model of a cost that predicts the largest measured size best.
//!
//! Each candidate is fitted to all sizes but the largest, which is held out; the candidate whose prediction there is nearest to what was
//! measured is chosen. Choosing so makes the reported error optimistic: the largest size took part in the choice among four candidates,
//! though not in their coefficients, so the error at a size that nobody has measured is likely to be larger than the one that is told.
//! Nor does a small error there say anything of a change of behaviour beyond that size, such as a queue that fills or a limit that is met.

use std::fmt;

use crate::models::{Curve, Model, Point, ROUNDING, least_squares};

/// Sizes that a fit needs: three to fit two coefficients with something to spare, and the one that is held out.
pub const LEAST_SIZES: usize = 4;
/// Repetitions that each size needs, so that their spread is known.
pub const LEAST_REPETITIONS: usize = 3;
/// A relative error at the held-out size above this means that the cost is not understood.
pub const UNDERSTOOD: f64 = 0.25;
/// Held-out errors that differ by less than this, as a part of the measured value, are the same: the simpler model is chosen. It is what
/// repetitions of one size commonly differ by.
pub const SAME_ERROR: f64 = 0.01;
/// Standard errors that a spread stands for: about 95 in 100 where residuals are independent and normal.
pub const SPREAD_ERRORS: f64 = 2.0;

/// Why there is no fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoFit {
    /// Fewer than [`LEAST_SIZES`].
    TooFewSizes {
        /// Sizes that there are.
        sizes: usize,
    },
    /// Fewer than [`LEAST_REPETITIONS`] at a size.
    TooFewRepetitions {
        /// The size.
        size: f64,
        /// Repetitions that it has.
        repetitions: usize,
    },
    /// Values that are no numbers.
    NotFinite,
}

impl fmt::Display for NoFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NoFit::TooFewSizes { sizes } => {
                write!(f, "no fit: {sizes} of at least {LEAST_SIZES} sizes")
            }
            NoFit::TooFewRepetitions { size, repetitions } => {
                write!(f, "no fit: {repetitions} of at least {LEAST_REPETITIONS} runs at size {size}")
            }
            NoFit::NotFinite => f.write_str("no fit: values that are no numbers"),
        }
    }
}

impl std::error::Error for NoFit {}

/// Whether a fit may be relied upon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The held-out size was predicted within [`UNDERSTOOD`].
    Understood,
    /// It was not.
    NotUnderstood,
}

/// A candidate and how far from the held-out size its prediction was.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The model, fitted without the held-out size.
    pub curve: Curve,
    /// Its error there, as a part of the measured mean.
    pub held_out_error: f64,
}

/// The chosen model of a cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The model that was chosen, fitted without the held-out size.
    pub chosen: Candidate,
    /// All candidates, the simplest first.
    pub candidates: Vec<Candidate>,
    /// The size that was held out.
    pub held_out_size: f64,
    /// The mean that was measured there.
    pub held_out_value: f64,
    /// The largest part by which a repetition differs from the mean of its size.
    pub repetition_spread: f64,
}

/// A value that was not measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Extrapolation {
    /// The value.
    pub value: f64,
    /// It may be off by this much either way: [`SPREAD_ERRORS`] standard errors of the prediction, or the held-out error's part of it where
    /// that is more.
    pub spread: f64,
}

impl Fit {
    /// Whether the fit may be relied upon.
    pub fn verdict(&self) -> Verdict {
        if self.chosen.held_out_error <= UNDERSTOOD { Verdict::Understood } else { Verdict::NotUnderstood }
    }

    /// The spread of the slope, either way.
    pub fn slope_spread(&self) -> f64 {
        SPREAD_ERRORS * self.chosen.curve.slope_error
    }

    /// Whether the cost is seen to grow or fall: the slope is larger than its spread.
    pub fn slope_is_told(&self) -> bool {
        self.chosen.curve.slope.abs() > self.slope_spread()
    }

    /// The value at a size that was not measured.
    pub fn extrapolate(&self, size: f64) -> Extrapolation {
        let curve = &self.chosen.curve;
        let value = curve.predict(size);
        let statistical = SPREAD_ERRORS * curve.prediction_error(size);
        Extrapolation { value, spread: statistical.max(self.chosen.held_out_error * value.abs()) }
    }
}

/// All values of one size.
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

    /// The largest part by which a repetition differs from the mean.
    pub fn spread(&self) -> f64 {
        let mean = self.mean();
        self.values.iter().map(|value| relative_error(*value, mean)).fold(0.0, f64::max)
    }
}

/// Points by size, the smallest size first.
pub fn by_size(points: &[Point]) -> Vec<SizeValues> {
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

/// The distance of a value from another, as a part of that one.
fn relative_error(value: f64, of: f64) -> f64 {
    let distance = (value - of).abs();
    if distance <= ROUNDING * of.abs() { 0.0 } else { distance / of.abs() }
}

/// Fits all candidates without the largest size, and chooses by the error there.
///
/// # Errors
/// Too few sizes or repetitions, or values that are no numbers.
pub fn fit(points: &[Point]) -> Result<Fit, NoFit> {
    if points.iter().any(|p| !p.size.is_finite() || !p.value.is_finite()) {
        return Err(NoFit::NotFinite);
    }
    let sizes = by_size(points);
    let Some(held_out) = sizes.last() else { return Err(NoFit::TooFewSizes { sizes: 0 }) };
    if sizes.len() < LEAST_SIZES {
        return Err(NoFit::TooFewSizes { sizes: sizes.len() });
    }
    if let Some(short) = sizes.iter().find(|s| s.values.len() < LEAST_REPETITIONS) {
        return Err(NoFit::TooFewRepetitions { size: short.size, repetitions: short.values.len() });
    }
    let held_out_value = held_out.mean();
    let known: Vec<Point> = points.iter().copied().filter(|p| p.size < held_out.size).collect();
    let candidate = |model: &Model| {
        let curve = least_squares(*model, &known)?;
        let held_out_error = relative_error(curve.predict(held_out.size), held_out_value);
        Some(Candidate { curve, held_out_error })
    };
    let candidates: Vec<Candidate> = Model::ALL.iter().filter_map(candidate).collect();
    let least = candidates.iter().map(|c| c.held_out_error).fold(f64::INFINITY, f64::min);
    let simplest_of_best = candidates.iter().find(|c| c.held_out_error <= least + SAME_ERROR);
    let chosen = *simplest_of_best.ok_or(NoFit::NotFinite)?;
    let repetition_spread = sizes.iter().map(SizeValues::spread).fold(0.0, f64::max);
    Ok(Fit { chosen, candidates, held_out_size: held_out.size, held_out_value, repetition_spread })
}
