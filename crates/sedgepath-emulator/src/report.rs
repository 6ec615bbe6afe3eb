//! Tables and plots that compare policies over the same seeds.

use std::path::Path;

use plotters::prelude::*;

use crate::policy::NamedPolicy;
use crate::run::{BIN_WIDTH_MS, RunMetrics};
use crate::scenario::Scenario;

/// The width and height of a plot.
const PLOT_SIZE_PIXELS: (u32, u32) = (960, 420);

/// The window of the moving average over a curve, so that single requests don't dominate it.
const SMOOTHING_WINDOW_BINS: usize = 3;

/// An error from drawing a plot.
#[derive(Debug, thiserror::Error)]
#[error("failed to draw plot: {0}")]
pub struct PlotError(Box<str>);

/// The runs of one policy on a scenario.
#[derive(Debug, Clone)]
pub struct PolicyResults {
    /// The policy that all runs used.
    pub policy: NamedPolicy,
    /// The metrics of the run with each seed.
    pub runs: Vec<RunMetrics>,
}

impl PolicyResults {
    /// Returns the mean, the minimum and the maximum of a metric over the seeds.
    pub fn mean_min_max(&self, metric: impl Fn(&RunMetrics) -> f64) -> (f64, f64, f64) {
        let values = || self.runs.iter().map(&metric);
        let mean = values().sum::<f64>() / self.runs.len().max(1) as f64;
        (mean, values().fold(f64::INFINITY, f64::min), values().fold(f64::NEG_INFINITY, f64::max))
    }

    fn mean(&self, metric: impl Fn(&RunMetrics) -> f64) -> f64 {
        self.mean_min_max(metric).0
    }

    /// Returns the mean utility of the requests in each bin, as a moving average.
    fn utility_by_bin(&self) -> Vec<f64> {
        let bins = self.runs.iter().map(|run| run.bins.len()).min().unwrap_or(0);
        let sums_of = |from: usize, to: usize| {
            let mut sums = (0.0, 0);
            for run in &self.runs {
                for (utility, requests) in &run.bins[from..to] {
                    sums = (sums.0 + utility, sums.1 + requests);
                }
            }
            sums
        };
        let smoothed = |bin: usize| {
            let (utility, requests) = sums_of(
                bin.saturating_sub(SMOOTHING_WINDOW_BINS / 2),
                (bin + SMOOTHING_WINDOW_BINS / 2 + 1).min(bins),
            );
            utility / requests.max(1) as f64
        };
        (0..bins).map(smoothed).collect()
    }
}

/// Returns a Markdown table with a row for each policy.
pub fn markdown_table(scenario: &Scenario, results: &[PolicyResults]) -> String {
    let mut text = format!(
        "## {}\n\n| Policy | utility (min to max) | on time | rejected | failed | p50 ms | p99 ms | \
         attempts | warm | cross-region | connections | crashes |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        scenario.name
    );
    for result in results {
        let (utility, min, max) = result.mean_min_max(RunMetrics::mean_utility);
        let percent = |part: fn(&RunMetrics) -> usize, of: fn(&RunMetrics) -> usize| {
            100.0 * result.mean(|run| part(run) as f64 / of(run).max(1) as f64)
        };
        let requests: fn(&RunMetrics) -> usize = |run| run.requests;
        let line = format!(
            "| {} | {utility:.3} ({min:.3} to {max:.3}) | {:.1}% | {:.1}% | {:.1}% | {:.0} | {:.0} | \
             {:.2} | {:.0}% | {:.0}% | {:.3} | {:.1} |\n",
            result.policy.name,
            percent(|run| run.on_time, requests),
            percent(|run| run.rejected, requests),
            percent(|run| run.failed, requests),
            result.mean(|run| run.latency_quantile_ms(0.5) as f64),
            result.mean(|run| run.latency_quantile_ms(0.99) as f64),
            result.mean(|run| run.attempts as f64 / run.requests.max(1) as f64),
            percent(|run| run.warm_runs, |run| run.runs),
            percent(|run| run.cross_region_attempts, |run| run.attempts),
            result.mean(|run| run.opened_connections as f64 / run.requests.max(1) as f64),
            result.mean(|run| run.crashes as f64),
        );
        text.push_str(&line);
    }
    text
}

/// Draws the mean utility of requests over time as SVG, with a curve for each policy.
///
/// # Errors
///
/// Fails if the plot can't be drawn or the file can't be written.
pub fn plot(scenario: &Scenario, results: &[PolicyResults], path: &Path) -> Result<(), PlotError> {
    draw(scenario, results, path).map_err(|error| PlotError(error.to_string().into()))
}

fn draw(
    scenario: &Scenario,
    results: &[PolicyResults],
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = scenario.duration_ms as f64 / 1_000.0;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}: mean utility of a request", scenario.name), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..seconds, 0.0..1.0)?;
    chart.configure_mesh().x_desc("arrival time, s").y_desc("utility").draw()?;
    for (number, result) in results.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = result.utility_by_bin().into_iter().enumerate();
        let points = points
            .map(|(bin, utility)| ((bin as f64 + 0.5) * BIN_WIDTH_MS as f64 / 1_000.0, utility));
        let width = if number == 0 { 3 } else { 1 };
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(width)))?
            .label(result.policy.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .position(SeriesLabelPosition::LowerLeft)
        .draw()?;
    area.present()?;
    Ok(())
}
