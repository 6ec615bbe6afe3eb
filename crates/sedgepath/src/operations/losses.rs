//! Counts the requests that were not answered in time, by reason, from collected logs.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use plotters::prelude::*;

use super::logs::LogLine;

/// The size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (960, 420);

/// The time that one point of a plot counts, in milliseconds.
const POINT_MS: u64 = 1_000;

/// Why a request was not answered in time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossReason {
    /// It was told that it was not run.
    Refused(Box<str>),
    /// It was given up.
    GaveUp(Box<str>),
    /// Late: it was sent more than once.
    Repeated,
    /// Late: its upstream had not lately run a request for its object, as far as the VM knew.
    FirstRun,
    /// Late: it was sent although it was expected to be late, mostly for a wait.
    Waited,
    /// Late: its upstream took longer than expected.
    Slow,
}

impl fmt::Display for LossReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::GaveUp(reason) => write!(f, "given up: {reason}"),
            Self::Repeated => f.write_str("late: sent again"),
            Self::FirstRun => f.write_str("late: first run of an object"),
            Self::Waited => f.write_str("late: waited"),
            Self::Slow => f.write_str("late: slower than expected"),
        }
    }
}

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the plot can't be drawn: {0}")]
pub struct PlotError(Box<str>);

/// A request that was not answered in time.
#[derive(Debug)]
pub struct Loss {
    /// When its VM ended it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The VM.
    pub vm: Box<str>,
    /// Its service, if its VM got that far.
    pub service: Box<str>,
    /// Why.
    pub reason: LossReason,
}

/// The losses of some logs.
#[derive(Debug, Default)]
pub struct Losses {
    /// All of them, in order.
    pub losses: Vec<Loss>,
    /// The requests that were answered in time, as far as lines tell.
    pub in_time: usize,
    /// The lines that VMs left out, most of them of requests answered in time.
    pub left_out: u64,
    /// The failure domain of each VM that said where it stands.
    domains: BTreeMap<Box<str>, Box<str>>,
}

/// By what losses are counted.
#[derive(Debug, Clone, Copy)]
pub enum Grouping {
    /// The service.
    Service,
    /// The failure domain of the VM.
    Domain,
    /// The second, from the first line on.
    Second,
}

impl Losses {
    /// Counts the losses in lines, in order; an answer is late after a time in milliseconds.
    pub fn new(lines: &[LogLine], late_after_ms: u64) -> Self {
        let mut found = Self::default();
        for line in lines {
            found.take(line, late_after_ms);
        }
        found
    }

    fn take(&mut self, line: &LogLine, late_after_ms: u64) {
        let text = |name| Box::from(line.field(name).unwrap_or("unknown"));
        let number = |name| line.field(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let reason = match &*line.event {
            "refused" => LossReason::Refused(text("reason")),
            "gave_up" => LossReason::GaveUp(text("reason")),
            "served" if number("took_ms") <= late_after_ms => {
                self.in_time += 1;
                return;
            }
            "served" if number("sendings") > 1 => LossReason::Repeated,
            "served" if number("expected_ms") > late_after_ms => LossReason::Waited,
            "served" if line.field("warm") == Some("false") => LossReason::FirstRun,
            "served" => LossReason::Slow,
            "lines_left_out" => {
                self.left_out += number("calm") + number("urgent");
                return;
            }
            "started" => {
                self.domains.insert(line.vm.clone(), text("domain"));
                return;
            }
            _ => return,
        };
        let service = text("service");
        self.losses.push(Loss { at_ms: line.stamp.time_ms, vm: line.vm.clone(), service, reason });
    }

    /// Counts losses by reason, the most frequent first.
    pub fn by_reason(&self) -> Vec<(LossReason, usize)> {
        let mut counts: BTreeMap<&LossReason, usize> = BTreeMap::new();
        for loss in &self.losses {
            *counts.entry(&loss.reason).or_default() += 1;
        }
        let mut counts: Vec<_> =
            counts.into_iter().map(|(why, count)| (why.clone(), count)).collect();
        counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        counts
    }

    /// Counts losses of each group by reason.
    pub fn by_group(&self, grouping: Grouping) -> BTreeMap<Box<str>, BTreeMap<LossReason, usize>> {
        let mut groups: BTreeMap<Box<str>, BTreeMap<LossReason, usize>> = BTreeMap::new();
        for loss in &self.losses {
            let group = groups.entry(self.group(loss, grouping)).or_default();
            *group.entry(loss.reason.clone()).or_default() += 1;
        }
        groups
    }

    fn group(&self, loss: &Loss, grouping: Grouping) -> Box<str> {
        match grouping {
            Grouping::Service => loss.service.clone(),
            Grouping::Domain => {
                self.domains.get(&loss.vm).cloned().unwrap_or_else(|| "unknown".into())
            }
            Grouping::Second => format!("{:>5}", self.point(loss)).into(),
        }
    }

    /// Returns the point of a plot that counts a loss.
    fn point(&self, loss: &Loss) -> u64 {
        let first_ms = self.losses.first().map_or(0, |first| first.at_ms);
        loss.at_ms.saturating_sub(first_ms) / POINT_MS
    }

    /// Draws the losses of each second as SVG, a curve for each of the most frequent reasons.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn plot(&self, path: &Path, curves: usize) -> Result<(), PlotError> {
        self.draw(path, curves).map_err(|error| PlotError(error.to_string().into()))
    }

    fn draw(&self, path: &Path, curves: usize) -> Result<(), Box<dyn std::error::Error>> {
        let reasons = self.by_reason().into_iter().take(curves);
        let last = self.losses.last().map_or(0, |loss| self.point(loss));
        let series: Vec<_> = reasons.map(|(reason, _)| self.curve(&reason, last)).collect();
        let most = series.iter().flat_map(|(_, points)| points).max().copied().unwrap_or(0);
        let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0..last.max(1), 0..most.max(1))?;
        chart.configure_mesh().x_desc("seconds").y_desc("requests not in time").draw()?;
        for (index, (name, points)) in series.into_iter().enumerate() {
            let colour = Palette99::pick(index).stroke_width(2);
            let points = points.into_iter().enumerate().map(|(at, count)| (at as u64, count));
            chart
                .draw_series(LineSeries::new(points, colour))?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    }

    fn curve(&self, reason: &LossReason, last: u64) -> (String, Vec<u64>) {
        let mut points = vec![0; last as usize + 1];
        for loss in self.losses.iter().filter(|loss| loss.reason == *reason) {
            points[self.point(loss) as usize] += 1;
        }
        (reason.to_string(), points)
    }
}
