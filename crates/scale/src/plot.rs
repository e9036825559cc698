//! Fits as SVG charts: the points, the curve up to the target with its spread, and the bound.

use std::error::Error;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::fit::Fit;
use crate::report::{FittedSeries, target_size};

/// Width of the picture and height of a row of charts, in pixels.
const WIDTH: u32 = 1_100;
const ROW_HEIGHT: u32 = 300;
const COLUMNS: usize = 2;
/// Number of steps in which a curve is drawn.
const CURVE_STEPS: u32 = 60;
const FONT: &str = "sans-serif";
const SPREAD_COLOR: RGBColor = RGBColor(90, 130, 200);
const BOUND_COLOR: RGBColor = RGBColor(200, 80, 70);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws all series that have a fit.
///
/// # Errors
/// No series has a fit, or drawing fails.
pub fn svg(fits: &[FittedSeries]) -> Result<String, Box<dyn Error>> {
    let fitted = |fitted| -> Option<(&FittedSeries, &Fit)> {
        let fitted: &FittedSeries = fitted;
        Some((fitted, fitted.outcome.as_ref().ok()?))
    };
    let drawn: Vec<(&FittedSeries, &Fit)> = fits.iter().filter_map(fitted).collect();
    if drawn.is_empty() {
        return Err("no series has a fit to draw".into());
    }
    let rows = drawn.len().div_ceil(COLUMNS);
    let mut text = String::new();
    {
        let size = (WIDTH, ROW_HEIGHT * rows as u32);
        let root = SVGBackend::with_string(&mut text, size).into_drawing_area();
        root.fill(&WHITE)?;
        for (area, (fitted, fit)) in root.split_evenly((rows, COLUMNS)).iter().zip(&drawn) {
            chart(area, fitted, fit)?;
        }
        root.present()?;
    }
    Ok(text)
}

fn chart(area: &Area<'_>, fitted: &FittedSeries, fit: &Fit) -> Result<(), Box<dyn Error>> {
    let key = &fitted.series.key;
    let last = target_size(key.axis).max(fit.held_out_size);
    let sizes: Vec<f64> =
        (0..=CURVE_STEPS).map(|step| last * f64::from(step) / f64::from(CURVE_STEPS)).collect();
    let curve = |of: fn(f64, f64) -> f64| -> Vec<(f64, f64)> {
        let at = |size: &f64| {
            let prediction = fit.extrapolate(*size);
            (*size, of(prediction.value, prediction.spread))
        };
        sizes.iter().map(at).collect()
    };
    let (middle, low, high) = (curve(|v, _| v), curve(|v, s| v - s), curve(|v, s| v + s));
    let bound = fitted.bound().map(|bound| bound.max);
    let points = || fitted.series.points.iter().map(|p| (p.size, p.value));
    let values = points().chain(high.iter().copied()).map(|(_, value)| value).chain(bound);
    let max = values.fold(0.0, f64::max);
    let max = if max > 0.0 { max * 1.1 } else { 1.0 };
    let caption = format!("{}: {} over {}, {}", key.subject, key.quantity, key.axis, fit.chosen.curve.model);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, (FONT, 14))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..last * 1.02, 0.0..max)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    let band: Vec<(f64, f64)> = low.into_iter().chain(high.into_iter().rev()).collect();
    let within: Vec<(f64, f64)> = band.into_iter().map(|(x, y)| (x, y.max(0.0))).collect();
    chart.draw_series([Polygon::new(within, SPREAD_COLOR.mix(0.2).filled())])?;
    chart.draw_series(LineSeries::new(middle, SPREAD_COLOR.stroke_width(2)))?;
    if let Some(bound) = bound {
        chart.draw_series(LineSeries::new([(0.0, bound), (last, bound)], BOUND_COLOR.stroke_width(2)))?;
    }
    chart.draw_series(points().map(|point| Circle::new(point, 3, BLACK.filled())))?;
    Ok(())
}
