//! Plots the latencies by class.

use std::{collections, path};

use plotters::prelude as draw;
use plotters::style::{Color as _, Palette as _};
use smol_str::SmolStr;

use super::{Outcome, Sample};

/// Width and height of the image in pixels.
const IMAGE_SIZE: (u32, u32) = (800, 480);
const MARGIN_PX: u32 = 12;
const LABEL_AREA_PX: u32 = 56;
/// Intervals on each line.
const INTERVALS_PER_LINE: usize = 200;

/// Writes an SVG file with the time to the complete answer of the served requests by percentile, a line for each
/// class.
///
/// # Errors
/// When the file can't be written.
pub fn write_plot(file: &path::Path, samples: &[Sample]) -> anyhow::Result<()> {
    let lines = sort_latencies(samples);
    let longest = lines
        .values()
        .filter_map(|times| times.last())
        .fold(1.0, |longest: f64, time| longest.max(*time));
    let area = {
        use draw::IntoDrawingArea as _;
        draw::SVGBackend::new(file, IMAGE_SIZE).into_drawing_area()
    };
    area.fill(&draw::WHITE)?;
    let mut chart = draw::ChartBuilder::on(&area)
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..100.0, 0.0..longest)?;
    chart
        .configure_mesh()
        .x_desc("percentile of the served requests")
        .y_desc("whole answer, ms")
        .draw()?;
    for (number, (class, times)) in lines.iter().enumerate() {
        let color = draw::Palette99::pick(number).to_rgba();
        chart
            .draw_series(draw::LineSeries::new(percentile_points(times), &color))?
            .label(class.as_str())
            .legend(move |(x, y)| draw::PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(draw::BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Returns the sorted latencies of the served requests by class, in milliseconds.
fn sort_latencies(samples: &[Sample]) -> collections::BTreeMap<SmolStr, Vec<f64>> {
    let mut lines: collections::BTreeMap<SmolStr, Vec<f64>> = collections::BTreeMap::new();
    for sample in samples {
        if sample.outcome == Outcome::Served {
            lines
                .entry(sample.class.clone())
                .or_default()
                .push(sample.whole.as_secs_f64() * 1000.0);
        }
    }
    for times in lines.values_mut() {
        times.sort_by(f64::total_cmp);
    }
    lines
}

/// Returns points of a percentile and its latency; `times` is sorted.
fn percentile_points(times: &[f64]) -> Vec<(f64, f64)> {
    let last = times.len() - 1;
    (0..=INTERVALS_PER_LINE)
        .map(|point| {
            let quantile = point as f64 / INTERVALS_PER_LINE as f64;
            let index = (quantile * last as f64).round() as usize;
            (quantile * 100.0, times[index])
        })
        .collect()
}
