//! Draws a report as one SVG page: requests by outcome, the in-time share, load on cache servers, and faults over time.

use std::path::Path;

use chalksill_world::report::Report;
use plotters::coord::Shift;
use plotters::prelude::*;

const WIDTH_PIXELS: u32 = 1100;
const HEIGHT_PIXELS: u32 = 1000;
const FONT: &str = "sans-serif";

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
/// Name, colour and count of an outcome.
type OutcomeSeries = (&'static str, RGBColor, fn(&chalksill_world::report::Counts) -> u64);

/// The outcomes, from the bottom of the stacked bars to the top.
const OUTCOMES: [OutcomeSeries; 5] = [
    ("in time", RGBColor(70, 140, 90), |c| c.in_time),
    ("late", RGBColor(225, 180, 60), |c| c.late),
    ("refused", RGBColor(90, 130, 200), |c| c.refused),
    ("failed", RGBColor(200, 80, 70), |c| c.failed),
    ("unanswered", RGBColor(120, 120, 120), |c| c.unanswered),
];

/// Draws a report as SVG to a file.
pub fn draw(report: &Report, path: &Path) -> Result<(), String> {
    if report.seconds.is_empty() {
        return Err("the report has no seconds to draw".into());
    }
    let root = SVGBackend::new(path, (WIDTH_PIXELS, HEIGHT_PIXELS)).into_drawing_area();
    draw_page(report, &root).map_err(|e| format!("cannot draw {}: {e}", path.display()))
}

fn draw_page(report: &Report, root: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
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
    let panels = root.split_evenly((4, 1));
    draw_outcomes(report, &panels[0])?;
    draw_in_time_share(report, &panels[1])?;
    draw_server_load(report, &panels[2])?;
    draw_faults(report, &panels[3])?;
    root.present()?;
    Ok(())
}

/// Length of the run in seconds.
fn duration_s(report: &Report) -> f64 {
    report.seconds.len() as f64
}

fn draw_outcomes(report: &Report, area: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
    let max_offered = report.seconds.iter().map(|s| s.counts.offered).max().unwrap_or(1).max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption("First requests per second by outcome", (FONT, 16))
        .margin(8)
        .x_label_area_size(22)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..duration_s(report), 0.0..max_offered * 1.1)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (index, (name, color, _)) in OUTCOMES.iter().enumerate() {
        let bars = report.seconds.iter().enumerate().map(|(i, second)| {
            let below: u64 = OUTCOMES[..index].iter().map(|(.., of)| of(&second.counts)).sum();
            let top = below + (OUTCOMES[index].2)(&second.counts);
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

fn draw_in_time_share(report: &Report, area: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
    let mut chart = ChartBuilder::on(area)
        .caption("In-time share, and client requests per first request (tenths)", (FONT, 16))
        .margin(8)
        .x_label_area_size(22)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..duration_s(report), 0.0..1.05)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    let middle = |i: usize| i as f64 + 0.5;
    let offered = || report.seconds.iter().enumerate().filter(|(_, s)| s.counts.offered > 0);
    chart.draw_series(LineSeries::new(
        offered().map(|(i, s)| (middle(i), s.counts.in_time_share())),
        OUTCOMES[0].1.stroke_width(2),
    ))?;
    chart.draw_series(LineSeries::new(
        offered().map(|(i, s)| (middle(i), (s.tries as f64 / s.counts.offered as f64 / 10.0).min(1.05))),
        RGBColor(150, 90, 160).stroke_width(1),
    ))?;
    Ok(())
}

fn draw_server_load(report: &Report, area: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
    let server_loads = report.seconds.iter().flat_map(|s| s.boxes.values());
    let max_load =
        server_loads.chain(report.seconds.iter().map(|s| &s.origin)).max().copied().unwrap_or(1).max(1)
            as f64;
    let mut chart = ChartBuilder::on(area)
        .caption("Attempts per second at each cache server, and at the origin (black)", (FONT, 16))
        .margin(8)
        .x_label_area_size(22)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..duration_s(report), 0.0..max_load * 1.1)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    let servers: std::collections::BTreeSet<usize> =
        report.seconds.iter().flat_map(|s| s.boxes.keys().copied()).collect();
    for (i, server) in servers.iter().enumerate() {
        let line = report.seconds.iter().enumerate();
        let line = line.map(|(at, s)| (at as f64 + 0.5, s.boxes.get(server).copied().unwrap_or(0) as f64));
        chart.draw_series(LineSeries::new(line, Palette99::pick(i).stroke_width(1)))?;
    }
    let origin = report.seconds.iter().enumerate().map(|(at, s)| (at as f64 + 0.5, s.origin as f64));
    chart.draw_series(LineSeries::new(origin, BLACK.stroke_width(2)))?;
    Ok(())
}

fn draw_faults(report: &Report, area: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
    // Pairs the begin and the end of each fault; a fault without an end lasts until the end of the run.
    let mut intervals: Vec<(f64, f64, &str)> = Vec::new();
    for (at, what) in &report.faults {
        if let Some(what) = what.strip_prefix("begins: ") {
            intervals.push((at / 1e3, duration_s(report), what));
        } else if let Some(what) = what.strip_prefix("is over: ") {
            if let Some(interval) =
                intervals.iter_mut().find(|(_, to, name)| *name == what && *to == duration_s(report))
            {
                interval.1 = at / 1e3;
            }
        } else {
            intervals.push((at / 1e3, at / 1e3 + 0.1, what));
        }
    }
    let rows = (intervals.len() + report.violations.len().min(5)).max(1);
    let mut chart = ChartBuilder::on(area)
        .caption("Faults, and broken rules (red)", (FONT, 16))
        .margin(8)
        .x_label_area_size(22)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..duration_s(report), 0.0..rows as f64)?;
    chart.configure_mesh().disable_mesh().y_labels(0).x_desc("seconds").draw()?;
    let color = RGBColor(190, 170, 120);
    for (row, (from, to, what)) in intervals.iter().enumerate() {
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
