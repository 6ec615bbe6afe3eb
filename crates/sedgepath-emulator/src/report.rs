//! Tables and plots of several policies over the same seeds.

use std::path::Path;

use plotters::prelude::*;

use crate::policy::Named;
use crate::run::{BIN_MS, Figures};
use crate::scenario::Scenario;

/// The size of a plot in pixels.
const SIZE: (u32, u32) = (960, 420);

/// The seconds over which a curve is smoothed, so that single requests don't show.
const SMOOTHED_BINS: usize = 3;

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("can't draw the plot: {0}")]
pub struct PlotError(Box<str>);

/// What a policy did with a scenario, over seeds.
#[derive(Debug, Clone)]
pub struct Row {
    /// The policy.
    pub policy: Named,
    /// The figures of each seed.
    pub runs: Vec<Figures>,
}

impl Row {
    /// Returns the mean, the least and the greatest of a figure over the seeds.
    pub fn spread(&self, figure: impl Fn(&Figures) -> f64) -> (f64, f64, f64) {
        let values = || self.runs.iter().map(&figure);
        let mean = values().sum::<f64>() / self.runs.len().max(1) as f64;
        (mean, values().fold(f64::INFINITY, f64::min), values().fold(f64::NEG_INFINITY, f64::max))
    }

    fn mean(&self, figure: impl Fn(&Figures) -> f64) -> f64 {
        self.spread(figure).0
    }

    /// Returns what a request of each second was worth on average.
    fn worth_by_second(&self) -> Vec<f64> {
        let bins = self.runs.iter().map(|run| run.bins.len()).min().unwrap_or(0);
        let sum_of = |from: usize, to: usize| {
            let mut sum = (0.0, 0);
            for run in &self.runs {
                for (worth, asked) in &run.bins[from..to] {
                    sum = (sum.0 + worth, sum.1 + asked);
                }
            }
            sum
        };
        let smoothed = |bin: usize| {
            let (worth, asked) = sum_of(
                bin.saturating_sub(SMOOTHED_BINS / 2),
                (bin + SMOOTHED_BINS / 2 + 1).min(bins),
            );
            worth / asked.max(1) as f64
        };
        (0..bins).map(smoothed).collect()
    }
}

/// Returns a table with a row for each policy.
pub fn table(scenario: &Scenario, rows: &[Row]) -> String {
    let mut text = format!(
        "## {}\n\n| Policy | worth (least to most) | in time | refused | failed | p50 ms | p99 ms | \
         sendings | warm | far | connections | crashes |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        scenario.name
    );
    for row in rows {
        let (worth, least, most) = row.spread(Figures::mean_worth);
        let percent = |part: fn(&Figures) -> usize, of: fn(&Figures) -> usize| {
            100.0 * row.mean(|run| part(run) as f64 / of(run).max(1) as f64)
        };
        let asked: fn(&Figures) -> usize = |run| run.asked;
        let line = format!(
            "| {} | {worth:.3} ({least:.3} to {most:.3}) | {:.1}% | {:.1}% | {:.1}% | {:.0} | {:.0} | \
             {:.2} | {:.0}% | {:.0}% | {:.3} | {:.1} |\n",
            row.policy.name,
            percent(|run| run.in_time, asked),
            percent(|run| run.refused, asked),
            percent(|run| run.failed, asked),
            row.mean(|run| run.latency_ms(0.5) as f64),
            row.mean(|run| run.latency_ms(0.99) as f64),
            row.mean(|run| run.sendings as f64 / run.asked.max(1) as f64),
            percent(|run| run.warm_runs, |run| run.runs),
            percent(|run| run.far, |run| run.sendings),
            row.mean(|run| run.connections as f64 / run.asked.max(1) as f64),
            row.mean(|run| run.crashes as f64),
        );
        text.push_str(&line);
    }
    text
}

/// Draws what requests were worth over time, a curve for each policy.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn plot(scenario: &Scenario, rows: &[Row], path: &Path) -> Result<(), PlotError> {
    draw(scenario, rows, path).map_err(|error| PlotError(error.to_string().into()))
}

fn draw(scenario: &Scenario, rows: &[Row], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = scenario.duration_ms as f64 / 1_000.0;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}: worth of a request", scenario.name), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..seconds, 0.0..1.0)?;
    chart.configure_mesh().x_desc("time asked, s").y_desc("worth").draw()?;
    for (number, row) in rows.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = row.worth_by_second().into_iter().enumerate();
        let points =
            points.map(|(bin, worth)| ((bin as f64 + 0.5) * BIN_MS as f64 / 1_000.0, worth));
        let width = if number == 0 { 3 } else { 1 };
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(width)))?
            .label(row.policy.name)
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
