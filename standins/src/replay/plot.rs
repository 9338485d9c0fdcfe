//! Curves of tail against idle hours, as SVG.

use std::path::Path;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, Color, GREEN, IntoDrawingArea, IntoLogRange, LineSeries,
    PathElement, PointSeries, RED, RGBColor, SVGBackend, WHITE,
};

use super::report::points;
use super::scheme::{Keep, Scheme};
use super::site::Site;
use super::study::Row;

/// Width and height, in pixels.
const SIZE: (u32, u32) = (800, 500);

/// Why a plot could not be written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("plot could not be written: {0}")]
pub struct PlotError(pub String);

/// One family of schemes in a plot.
struct Curve {
    name: &'static str,
    color: RGBColor,
    joined: bool,
    wanted: fn(&Scheme) -> bool,
}

const CURVES: [Curve; 4] = [
    Curve {
        name: "policy, by idle weight",
        color: BLUE,
        joined: true,
        wanted: |s| {
            let Keep::Policy { idle, .. } = s.keep else {
                return false;
            };
            *s == Scheme::policy(idle)
        },
    },
    Curve {
        name: "fixed 1, 10, 60 min",
        color: RED,
        joined: true,
        wanted: |s| matches!(s.keep, Keep::Fixed(_)) && *s == Scheme::keep(s.keep),
    },
    Curve {
        name: "clairvoyant, on demand",
        color: GREEN,
        joined: false,
        wanted: |s| matches!(s.keep, Keep::Clairvoyant { .. }),
    },
    Curve {
        name: "always on; clairvoyant, just in time",
        color: BLACK,
        joined: false,
        wanted: |s| matches!(s.keep, Keep::Always | Keep::JustInTime),
    },
];

/// Writes the curves of a study to a file.
///
/// # Errors
///
/// [`PlotError`] where the file cannot be written.
pub fn write(path: &Path, site: &Site, rows: &[Row]) -> Result<(), PlotError> {
    draw(path, site, rows).map_err(|e| PlotError(e.to_string()))
}

fn draw(path: &Path, site: &Site, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let tail = rows
        .iter()
        .map(|r| r.outcome.wait(990).as_secs_f64())
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{}: cold start and idle hours", site.name),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((0.3f64..400.0).log_scale(), 0.0..tail * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("idle accelerator hours a day")
        .y_desc("cold start p99, seconds")
        .draw()?;
    for curve in &CURVES {
        let mut points: Vec<(f64, f64)> = points(rows, curve.wanted)
            .into_iter()
            .map(|(tail, idle)| (idle.max(0.3), tail))
            .collect();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        if curve.joined {
            chart.draw_series(LineSeries::new(points.iter().copied(), curve.color))?;
        }
        let color = curve.color;
        chart
            .draw_series(PointSeries::of_element(
                points,
                3,
                color.filled(),
                &|c, s, st| Circle::new(c, s, st),
            ))?
            .label(curve.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
