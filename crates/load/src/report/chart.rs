//! SVG chart of a report: times to first token by length and by class.

use plotters::coord::Shift;
use plotters::prelude::*;
use thiserror::Error;

use super::Report;
use crate::times::Quantiles;

/// Size of the chart, in pixels.
const CHART_SIZE: (u32, u32) = (1000, 900);

/// Height of the upper panel, in pixels.
const UPPER_PANEL_HEIGHT: u32 = 450;

/// Width of one bar, relative to the width of a group.
const BAR_WIDTH: f64 = 0.25;

/// Quantiles shown, with their colours.
const BARS: [(&str, RGBColor); 3] = [
    ("p50", RGBColor(120, 170, 220)),
    ("p95", RGBColor(40, 100, 170)),
    ("p99", RGBColor(15, 45, 90)),
];

/// Colour of the line at a class's target.
const TARGET_COLOUR: RGBColor = RGBColor(200, 60, 40);

/// Failure to draw a chart.
#[derive(Debug, Error)]
#[error("chart could not be drawn: {0}")]
pub struct ChartError(String);

/// One group of bars.
struct Group {
    name: String,
    times: Quantiles,
    target_ms: Option<f64>,
}

/// Draws the times to first token by length and class as SVG text.
///
/// # Errors
/// [`ChartError`] when the drawing library fails.
pub fn write_chart(report: &Report) -> Result<String, ChartError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let (upper, lower) = area.split_vertically(UPPER_PANEL_HEIGHT);
        let title = format!(
            "{} seed {}: time to first token by prompt length, ms",
            report.run.scenario, report.run.seed
        );
        draw(&upper, &title, &length_groups(report))?;
        draw(&lower, "by class, with its target", &class_groups(report))?;
        area.present().map_err(failed)?;
    }
    Ok(svg)
}

fn length_groups(report: &Report) -> Vec<Group> {
    let groups = report.by_length.iter().map(|(bucket, length)| Group {
        name: bucket.name().to_owned(),
        times: length.time_to_first_token,
        target_ms: None,
    });
    groups.filter(|group| group.times.count > 0).collect()
}

fn class_groups(report: &Report) -> Vec<Group> {
    let groups = report.by_class.iter().map(|(class, class_report)| Group {
        name: class.clone(),
        times: class_report.time_to_first_token,
        target_ms: Some(class_report.target_ms),
    });
    groups.filter(|group| group.times.count > 0).collect()
}

fn draw<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    title: &str,
    groups: &[Group],
) -> Result<(), ChartError> {
    let (low, high) = bounds(groups);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 20))
        .margin(15)
        .x_label_area_size(35)
        .y_label_area_size(70)
        .build_cartesian_2d(-0.5..groups.len() as f64 - 0.5, (low..high).log_scale())
        .map_err(failed)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(0)
        .y_desc("ms, logarithmic")
        .y_label_formatter(&|ms| format!("{ms}"))
        .draw()
        .map_err(failed)?;
    for (bar, (name, colour)) in BARS.into_iter().enumerate() {
        let bars = groups.iter().enumerate().map(|(index, group)| {
            let left = index as f64 + (bar as f64 - 1.5) * BAR_WIDTH;
            let top = quantile_ms(&group.times, bar).max(low);
            Rectangle::new([(left, low), (left + BAR_WIDTH, top)], colour.filled())
        });
        chart
            .draw_series(bars)
            .map_err(failed)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    let targets = groups.iter().enumerate().filter_map(|(index, group)| {
        let target_ms = group.target_ms?;
        let x_range = [index as f64 - 0.45, index as f64 + 0.45];
        Some(PathElement::new(
            x_range.map(|x| (x, target_ms)),
            TARGET_COLOUR.stroke_width(3),
        ))
    });
    chart.draw_series(targets).map_err(failed)?;
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(failed)?;
    label_groups(area, &chart, groups, low)
}

/// Draws each group's name below it, as the axis labels only numbers.
fn label_groups<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    chart: &ChartContext<
        '_,
        DB,
        Cartesian2d<plotters::coord::types::RangedCoordf64, LogCoord<f64>>,
    >,
    groups: &[Group],
    low: f64,
) -> Result<(), ChartError> {
    use plotters::style::text_anchor::{HPos, Pos, VPos};
    let style =
        TextStyle::from(("sans-serif", 14).into_font()).pos(Pos::new(HPos::Center, VPos::Top));
    let (left, top) = area.get_base_pixel();
    for (index, group) in groups.iter().enumerate() {
        let (x, y) = chart.backend_coord(&(index as f64, low));
        let text = format!("{} ({})", group.name, group.times.count);
        let at = (x - left, y - top + 8);
        area.draw_text(&text, &style, at).map_err(failed)?;
    }
    Ok(())
}

fn bounds(groups: &[Group]) -> (f64, f64) {
    let values = groups
        .iter()
        .flat_map(|group| (0..BARS.len()).map(|bar| quantile_ms(&group.times, bar)));
    let targets = groups.iter().filter_map(|group| group.target_ms);
    let high = values.clone().chain(targets).fold(1.0, f64::max);
    let low = values.filter(|ms| *ms > 0.0).fold(high, f64::min);
    (low / 2.0, high * 2.0)
}

const fn quantile_ms(times: &Quantiles, bar: usize) -> f64 {
    match bar {
        0 => times.p50_ms,
        1 => times.p95_ms,
        _ => times.p99_ms,
    }
}

fn failed(error: impl std::fmt::Display) -> ChartError {
    ChartError(error.to_string())
}
