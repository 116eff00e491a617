use std::path::Path;

use error_stack::{Report as Failure, ResultExt};
use plotters::prelude::*;

use crate::options::{Deployment, Fault, Strategy};
use crate::report::{Report, Row};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Width of a bar, as a share of the width for a fault.
const BAR_WIDTH: f64 = 0.25;

/// Error for a plot that could not be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the plot can not be written")]
pub struct PlotError;

/// Writes two plots for each deployment into a directory: the p95 time to first token and the share of
/// recomputed prompt tokens, by fault, for the policy, the oracle and affinity with stores.
///
/// # Errors
/// Returns [`PlotError`] if a file can not be written.
pub fn write_plots(report: &Report, directory: &Path) -> Result<(), Failure<PlotError>> {
    for (deployment, name) in [
        (Deployment::PermisosVerdes, "permisos-verdes"),
        (Deployment::Cadwaladr, "cadwaladr"),
    ] {
        let p95 = directory.join(format!("{name}-p95.svg"));
        write_plot(report, deployment, "p95 time to first token, ms", &p95, |row| {
            row.p95_ms
        })?;
        let recomputed = directory.join(format!("{name}-recomputed.svg"));
        write_plot(
            report,
            deployment,
            "prompt tokens computed again, %",
            &recomputed,
            |row| row.recomputed_share() * 100.0,
        )?;
    }
    Ok(())
}

fn write_plot(
    report: &Report,
    deployment: Deployment,
    caption: &str,
    path: &Path,
    measure: impl Fn(&Row) -> f64,
) -> Result<(), Failure<PlotError>> {
    let shown = [Strategy::CacheAware, Strategy::Oracle, Strategy::AffinityStore];
    let colors = [BLUE, BLACK, RGBColor(200, 120, 0)];
    let rows = report
        .rows
        .iter()
        .filter(|r| r.deployment == deployment && shown.contains(&r.strategy));
    let y_max = rows.clone().map(&measure).fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).change_context(PlotError)?;
    let label = |x: &f64| {
        Fault::ALL
            .get(x.round() as usize)
            .map_or(String::new(), |fault| format!("{fault:?}"))
    };
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{deployment:?}: {caption}"), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(55)
        .build_cartesian_2d(-0.5..Fault::ALL.len() as f64 - 0.5, 0.0..y_max)
        .change_context(PlotError)?;
    let mut mesh = chart.configure_mesh();
    mesh.disable_x_mesh()
        .x_labels(Fault::ALL.len())
        .x_label_formatter(&label)
        .draw()
        .change_context(PlotError)?;
    for (index, strategy) in shown.into_iter().enumerate() {
        let left = index as f64 * BAR_WIDTH - 1.5 * BAR_WIDTH;
        let bars = rows.clone().filter(|r| r.strategy == strategy).filter_map(|row| {
            let fault = Fault::ALL.iter().position(|f| *f == row.fault)? as f64;
            let corners = [(fault + left, 0.0), (fault + left + BAR_WIDTH, measure(row))];
            Some(Rectangle::new(corners, colors[index].filled()))
        });
        let series = chart.draw_series(bars).change_context(PlotError)?;
        let color = colors[index];
        series
            .label(format!("{strategy:?}"))
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 10, y + 4)], color.filled()));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .change_context(PlotError)?;
    area.present().change_context(PlotError)
}
