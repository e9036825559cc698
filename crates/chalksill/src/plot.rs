//! One page of SVG about a run: requests by outcome, the in-time share, load on boxes, and the faults over time.

use std::path::Path;

use chalksill_world::report::Report;
use plotters::coord::Shift;
use plotters::prelude::*;

const SIZE: (u32, u32) = (1100, 1000);
const FONT: &str = "sans-serif";

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Part = (&'static str, RGBColor, fn(&chalksill_world::report::Counts) -> u64);

/// The outcomes, from the bottom of the stack to its top.
const PARTS: [Part; 5] = [
    ("in time", RGBColor(70, 140, 90), |c| c.in_time),
    ("late", RGBColor(225, 180, 60), |c| c.late),
    ("refused", RGBColor(90, 130, 200), |c| c.refused),
    ("failed", RGBColor(200, 80, 70), |c| c.failed),
    ("unanswered", RGBColor(120, 120, 120), |c| c.unanswered),
];

/// Draws a report.
pub fn draw(report: &Report, path: &Path) -> Result<(), String> {
    if report.seconds.is_empty() {
        return Err("the report has no seconds to draw".into());
    }
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    page(report, &root).map_err(|e| format!("cannot draw {}: {e}", path.display()))
}

fn page(report: &Report, root: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let title = format!(
        "{}, seed {}: {:.1}% of {} in time, {} rules broken",
        report.scenario,
        report.seed,
        100.0 * report.all.in_time_share(),
        report.all.offered,
        report.violations.len()
    );
    let root = root.titled(&title, (FONT, 22))?;
    let parts = root.split_evenly((4, 1));
    outcomes(report, &parts[0])?;
    share(report, &parts[1])?;
    boxes(report, &parts[2])?;
    faults(report, &parts[3])?;
    root.present()?;
    Ok(())
}

fn end(report: &Report) -> f64 {
    report.seconds.len() as f64
}

fn outcomes(report: &Report, area: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
    let most = report.seconds.iter().map(|s| s.counts.offered).max().unwrap_or(1).max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption("First tries a second, by how they ended", (FONT, 16))
        .margin(8)
        .x_label_area_size(22)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end(report), 0.0..most * 1.1)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (at, (name, color, _)) in PARTS.iter().enumerate() {
        let bars = report.seconds.iter().enumerate().map(|(i, second)| {
            let below: u64 = PARTS[..at].iter().map(|(.., of)| of(&second.counts)).sum();
            let top = below + (PARTS[at].2)(&second.counts);
            let x = i as f64;
            Rectangle::new([(x + 0.05, below as f64), (x + 0.95, top as f64)], color.filled())
        });
        let color = *color;
        chart
            .draw_series(bars)?
            .label(*name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 10, y + 4)], color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    Ok(())
}

fn share(report: &Report, area: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
    let mut chart = ChartBuilder::on(area)
        .caption("Part of them in time, and tries a first try (tenths)", (FONT, 16))
        .margin(8)
        .x_label_area_size(22)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end(report), 0.0..1.05)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    let middle = |i: usize| i as f64 + 0.5;
    let offered = || report.seconds.iter().enumerate().filter(|(_, s)| s.counts.offered > 0);
    chart.draw_series(LineSeries::new(
        offered().map(|(i, s)| (middle(i), s.counts.in_time_share())),
        PARTS[0].1.stroke_width(2),
    ))?;
    chart.draw_series(LineSeries::new(
        offered().map(|(i, s)| (middle(i), (s.tries as f64 / s.counts.offered as f64 / 10.0).min(1.05))),
        RGBColor(150, 90, 160).stroke_width(1),
    ))?;
    Ok(())
}

fn boxes(report: &Report, area: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
    let each = report.seconds.iter().flat_map(|s| s.boxes.values());
    let most = each.chain(report.seconds.iter().map(|s| &s.origin)).max().copied().unwrap_or(1).max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption("Attempts a second at each box, and at the origin (black)", (FONT, 16))
        .margin(8)
        .x_label_area_size(22)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end(report), 0.0..most * 1.1)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    let all: std::collections::BTreeSet<usize> =
        report.seconds.iter().flat_map(|s| s.boxes.keys().copied()).collect();
    for (i, number) in all.iter().enumerate() {
        let line = report.seconds.iter().enumerate();
        let line = line.map(|(at, s)| (at as f64 + 0.5, s.boxes.get(number).copied().unwrap_or(0) as f64));
        chart.draw_series(LineSeries::new(line, Palette99::pick(i).stroke_width(1)))?;
    }
    let origin = report.seconds.iter().enumerate().map(|(at, s)| (at as f64 + 0.5, s.origin as f64));
    chart.draw_series(LineSeries::new(origin, BLACK.stroke_width(2)))?;
    Ok(())
}

fn faults(report: &Report, area: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
    // A beginning with its end, where the run saw one.
    let mut spans: Vec<(f64, f64, &str)> = Vec::new();
    for (at, what) in &report.faults {
        if let Some(what) = what.strip_prefix("begins: ") {
            spans.push((at / 1e3, end(report), what));
        } else if let Some(what) = what.strip_prefix("is over: ") {
            if let Some(span) = spans.iter_mut().find(|(_, to, w)| *w == what && *to == end(report)) {
                span.1 = at / 1e3;
            }
        } else {
            spans.push((at / 1e3, at / 1e3 + 0.1, what));
        }
    }
    let rows = (spans.len() + report.violations.len().min(5)).max(1);
    let mut chart = ChartBuilder::on(area)
        .caption("Faults, and rules broken (red)", (FONT, 16))
        .margin(8)
        .x_label_area_size(22)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end(report), 0.0..rows as f64)?;
    chart.configure_mesh().disable_mesh().y_labels(0).x_desc("seconds").draw()?;
    let color = RGBColor(190, 170, 120);
    for (row, (from, to, what)) in spans.iter().enumerate() {
        let y = (rows - 1 - row) as f64;
        chart.draw_series([Rectangle::new([(*from, y + 0.1), (*to, y + 0.9)], color.mix(0.5).filled())])?;
        let short: String = what.chars().take(90).collect();
        chart.draw_series([Text::new(short, (*from, y + 0.75), (FONT, 12).into_font())])?;
    }
    for (row, violation) in report.violations.iter().take(5).enumerate() {
        let y = (report.violations.len().min(5) - 1 - row) as f64;
        let at = violation.at_ms / 1e3;
        chart.draw_series([Rectangle::new([(at, y + 0.1), (at + 0.1, y + 0.9)], RED.filled())])?;
        let text: String = violation.to_string().chars().take(100).collect();
        chart.draw_series([Text::new(text, (at, y + 0.75), (FONT, 12).into_font().color(&RED))])?;
    }
    Ok(())
}
