//! Plot of latency and goodput over time, by rank.

use std::error::Error;
use std::path::Path;

use medlarstair::state::id::Rank;
use plotters::prelude::*;

use super::error::LoadError;
use super::report::{RunReport, SecondReport};

const SIZE: (u32, u32) = (900, 640);
/// Line colours by rank, distinguishable with common forms of colour blindness.
const COLOURS: [RGBColor; 3] = [RGBColor(213, 94, 0), RGBColor(0, 114, 178), RGBColor(120, 120, 120)];

/// Writes the plot of a run as SVG.
///
/// # Errors
///
/// The plot cannot be drawn or written.
pub fn write(report: &RunReport, path: &Path) -> Result<(), LoadError> {
    draw(report, path).map_err(|e| LoadError::invalid(format!("cannot draw plot: {e}")))
}

fn draw(report: &RunReport, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(SIZE.1 / 2);
    let title = format!("{}, {}: p99 latency (ms) by rank", report.deployment, report.policy);
    chart(&upper, &title, report, |second| second.p99_ms)?;
    chart(&lower, "goodput (% of the slot time of the fleet) by rank", report, |s| s.goodput * 100.0)?;
    root.present()?;
    Ok(())
}

fn chart(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    report: &RunReport,
    value: impl Fn(&SecondReport) -> f64,
) -> Result<(), Box<dyn Error>> {
    let length = report.seconds.first().map_or(0, Vec::len).max(1);
    let highest = report.seconds.iter().flatten().map(&value).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..length as f64, 0.0..highest * 1.1)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (rank, seconds) in Rank::ALL.into_iter().zip(&report.seconds) {
        let colour = COLOURS[rank.index()];
        let points = seconds.iter().enumerate().map(|(i, second)| (i as f64 + 0.5, value(second)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(rank.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    Ok(())
}
