//! Fits of points generated from known models.
#![allow(missing_docs)]

use chalksill_scale::fit::{Fit, FitError, Verdict, fit, group_by_size};
use chalksill_scale::models::{Model, Point, least_squares};

const SIZES: [f64; 5] = [25.0, 50.0, 100.0, 200.0, 400.0];
/// Factors by which three repetitions deviate from the model: by up to half a percent.
const NOISE: [f64; 3] = [0.995, 1.002, 1.003];

fn points(model: Model, intercept: f64, slope: f64) -> Vec<Point> {
    let value = |size: f64| intercept + slope * model.basis(size);
    let at = |size: f64| NOISE.map(|noise| Point { size, value: value(size) * noise });
    SIZES.into_iter().flat_map(at).collect()
}

fn held_out_changed(points: &[Point], factor: f64) -> Vec<Point> {
    let change = |p: &Point| match p.size == 400.0 {
        true => Point { value: p.value * factor, ..*p },
        false => *p,
    };
    points.iter().map(change).collect()
}

fn curve(fit: &Fit, model: Model) -> (f64, f64, f64) {
    let candidate = fit.candidates.iter().find(|c| c.curve.model == model).unwrap();
    (candidate.curve.intercept, candidate.curve.slope, candidate.curve.slope_error)
}

#[test]
fn each_model_and_its_slope_are_recovered() {
    for (model, intercept, slope) in [
        (Model::Constant, 40.0, 0.0),
        (Model::Linear, 10.0, 2.0),
        (Model::LinearLog, 5.0, 0.7),
        (Model::Quadratic, 300.0, 0.25),
    ] {
        let found = fit(&points(model, intercept, slope)).unwrap();
        let curve = found.chosen.curve;
        assert_eq!(curve.model, model, "{:?}", found.candidates);
        assert!((curve.slope - slope).abs() <= found.slope_spread().max(1e-9), "{model}: {}", curve.slope);
        assert!((curve.slope - slope).abs() <= 0.02 * slope.max(1e-9), "{model}: {}", curve.slope);
        assert_eq!(found.verdict(), Verdict::Understood);
        let expected = intercept + slope * model.basis(6_600.0);
        let prediction = found.extrapolate(6_600.0);
        assert!(
            (prediction.value - expected).abs() <= prediction.spread,
            "{model}: {prediction:?} and not {expected}"
        );
        assert!((found.repetition_spread - 0.005).abs() < 1e-6, "{}", found.repetition_spread);
    }
}

#[test]
fn least_squares_matches_a_textbook_example() {
    // The first set of Anscombe's quartet: y = 3.00 + 0.500 x, standard error of the slope 0.118, residual
    // deviation 1.237.
    let x = [10.0, 8.0, 13.0, 9.0, 11.0, 14.0, 6.0, 4.0, 12.0, 7.0, 5.0];
    let y = [8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68];
    let points: Vec<Point> = x.into_iter().zip(y).map(|(size, value)| Point { size, value }).collect();
    let curve = least_squares(Model::Linear, &points).unwrap();
    assert!((curve.intercept - 3.0001).abs() < 1e-4, "{}", curve.intercept);
    assert!((curve.slope - 0.5001).abs() < 1e-4, "{}", curve.slope);
    assert!((curve.slope_error - 0.1179).abs() < 1e-4, "{}", curve.slope_error);
    assert!((curve.deviation - 1.2366).abs() < 1e-4, "{}", curve.deviation);
}

#[test]
fn the_held_out_size_does_not_affect_the_coefficients() {
    let measured = points(Model::Linear, 10.0, 2.0);
    let (before, after) = (fit(&measured).unwrap(), fit(&held_out_changed(&measured, 1.5)).unwrap());
    for model in Model::ALL {
        assert_eq!(curve(&before, model), curve(&after, model), "{model}");
    }
    assert_ne!(before.chosen.held_out_error, after.chosen.held_out_error);
}

#[test]
fn a_cost_that_jumps_at_the_largest_size_is_not_understood() {
    let jump = held_out_changed(&points(Model::Linear, 10.0, 2.0), 40.0);
    let found = fit(&jump).unwrap();
    assert_eq!(found.verdict(), Verdict::NotUnderstood);
    let prediction = found.extrapolate(6_600.0);
    assert!(prediction.spread >= 0.25 * prediction.value, "the spread reflects the error: {prediction:?}");
}

#[test]
fn too_few_sizes_or_repetitions_give_no_fit() {
    let all = points(Model::Linear, 10.0, 2.0);
    let three: Vec<Point> = all.iter().copied().filter(|p| p.size < 200.0).collect();
    assert_eq!(fit(&three), Err(FitError::TooFewSizes { sizes: 3 }));
    assert_eq!(fit(&[]), Err(FitError::TooFewSizes { sizes: 0 }));
    let missing_one = &all[1..];
    assert_eq!(fit(missing_one), Err(FitError::TooFewRepetitions { size: 25.0, repetitions: 2 }));
    let odd = [all.clone(), vec![Point { size: 25.0, value: f64::NAN }]].concat();
    assert_eq!(fit(&odd), Err(FitError::NotFinite));
}

#[test]
fn a_quantity_that_is_always_0_is_a_constant_without_error() {
    let found = fit(&points(Model::Constant, 0.0, 0.0)).unwrap();
    assert_eq!((found.chosen.curve.model, found.chosen.held_out_error), (Model::Constant, 0.0));
    assert_eq!(found.repetition_spread, 0.0);
}

#[test]
fn a_slope_within_its_spread_is_not_significant() {
    // Repetitions differ by half of a value that grows little; the means are nevertheless on a line.
    let uneven = |size: f64| [0.5, 1.0, 1.5].map(|part| Point { size, value: part * (100.0 + 0.1 * size) });
    let found = fit(&SIZES.map(uneven).concat()).unwrap();
    assert_eq!(found.chosen.curve.model, Model::Linear);
    assert!(!found.slope_is_significant(), "{found:?}");
    assert!(fit(&points(Model::Linear, 10.0, 2.0)).unwrap().slope_is_significant());
}

#[test]
fn rounding_errors_do_not_count_as_spread() {
    let exact = SIZES.map(|size| [0.1 + 0.3 * size; 3].map(|value| Point { size, value })).concat();
    let found = fit(&exact).unwrap();
    assert_eq!((found.slope_spread(), found.chosen.curve.prediction_error(6_600.0)), (0.0, 0.0));
    // The mean of three times 0.011 differs from it in the last bit.
    let equal = group_by_size(&[Point { size: 1.0, value: 0.011 }; 3]);
    assert!(equal[0].mean() != 0.011 && equal[0].spread() == 0.0, "{}", equal[0].spread());
}
