//! Counts the requests of collected logs that were not answered in time, by reason.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use plotters::prelude::*;

use super::logs::LogLine;

/// The width and height of a plot.
const PLOT_SIZE_PIXELS: (u32, u32) = (960, 420);

/// The width of a bin of a plot and of [`Grouping::Second`].
const PLOT_BIN_WIDTH_MS: u64 = 1_000;

/// Why a request was not answered in time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossReason {
    /// The VM rejected the request, for the reason in its log.
    Rejected(Box<str>),
    /// The VM gave up on the request, for the reason in its log.
    GivenUp(Box<str>),
    /// Late, after more than one attempt.
    Retried,
    /// Late, at an upstream that had not recently run a request for the object, as far as the VM knew.
    ColdObject,
    /// Late as expected when the request was sent, mostly because of a queue.
    Queued,
    /// Late although the VM expected the upstream to respond in time.
    SlowUpstream,
}

impl fmt::Display for LossReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rejected(reason) => write!(f, "refused: {reason}"),
            Self::GivenUp(reason) => write!(f, "given up: {reason}"),
            Self::Retried => f.write_str("late: sent again"),
            Self::ColdObject => f.write_str("late: first run of an object"),
            Self::Queued => f.write_str("late: waited"),
            Self::SlowUpstream => f.write_str("late: slower than expected"),
        }
    }
}

/// An error from drawing a plot.
#[derive(Debug, thiserror::Error)]
#[error("failed to draw plot: {0}")]
pub struct PlotError(Box<str>);

/// A request that was not answered in time.
#[derive(Debug)]
pub struct Loss {
    /// When the VM ended the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The name of the VM that ended the request.
    pub vm: Box<str>,
    /// The service, or `unknown` if the VM had not determined it.
    pub service: Box<str>,
    /// The client account, or `unknown` if the VM had not determined it.
    pub account: Box<str>,
    /// The most likely reason.
    pub reason: LossReason,
}

/// The losses found in logs.
#[derive(Debug, Default)]
pub struct LossReport {
    /// All losses, in the order of the log lines.
    pub losses: Vec<Loss>,
    /// The logged requests that were answered in time.
    pub on_time: usize,
    /// The lines that VMs omitted, mostly about requests answered in time.
    pub omitted_lines: u64,
    /// The failure domain of each VM whose start is logged.
    domain_by_vm: BTreeMap<Box<str>, Box<str>>,
}

/// The key by which losses are grouped.
#[derive(Debug, Clone, Copy)]
pub enum Grouping {
    /// The service of the request.
    Service,
    /// The client account of the request.
    Account,
    /// The failure domain of the VM.
    Domain,
    /// The second, counted from the first loss.
    Second,
}

impl LossReport {
    /// Collects the losses in lines; a response that took longer than `late_after_ms` is late.
    pub fn new(lines: &[LogLine], late_after_ms: u64) -> Self {
        let mut report = Self::default();
        for line in lines {
            report.add_line(line, late_after_ms);
        }
        report
    }

    fn add_line(&mut self, line: &LogLine, late_after_ms: u64) {
        let text = |name| Box::from(line.field(name).unwrap_or("unknown"));
        let number = |name| line.field(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let reason = match &*line.event {
            "refused" => LossReason::Rejected(text("reason")),
            "gave_up" => LossReason::GivenUp(text("reason")),
            "served" if number("took_ms") <= late_after_ms => {
                self.on_time += 1;
                return;
            }
            "served" if number("sendings") > 1 => LossReason::Retried,
            "served" if number("expected_ms") > late_after_ms => LossReason::Queued,
            "served" if line.field("warm") == Some("false") => LossReason::ColdObject,
            "served" => LossReason::SlowUpstream,
            "lines_left_out" => {
                self.omitted_lines += number("calm") + number("urgent");
                return;
            }
            "started" => {
                self.domain_by_vm.insert(line.vm.clone(), text("domain"));
                return;
            }
            _ => return,
        };
        let service = text("service");
        let account = text("account");
        let (at_ms, vm) = (line.stamp.time_ms, line.vm.clone());
        self.losses.push(Loss { at_ms, vm, service, account, reason });
    }

    /// Returns the number of losses by reason, the most frequent first.
    pub fn counts_by_reason(&self) -> Vec<(LossReason, usize)> {
        let mut counts: BTreeMap<&LossReason, usize> = BTreeMap::new();
        for loss in &self.losses {
            *counts.entry(&loss.reason).or_default() += 1;
        }
        let mut counts: Vec<_> =
            counts.into_iter().map(|(reason, count)| (reason.clone(), count)).collect();
        counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        counts
    }

    /// Returns the number of losses by reason for each group.
    pub fn counts_by_group(
        &self,
        grouping: Grouping,
    ) -> BTreeMap<Box<str>, BTreeMap<LossReason, usize>> {
        let mut groups: BTreeMap<Box<str>, BTreeMap<LossReason, usize>> = BTreeMap::new();
        for loss in &self.losses {
            let group = groups.entry(self.group_name(loss, grouping)).or_default();
            *group.entry(loss.reason.clone()).or_default() += 1;
        }
        groups
    }

    fn group_name(&self, loss: &Loss, grouping: Grouping) -> Box<str> {
        match grouping {
            Grouping::Service => loss.service.clone(),
            Grouping::Account => loss.account.clone(),
            Grouping::Domain => {
                self.domain_by_vm.get(&loss.vm).cloned().unwrap_or_else(|| "unknown".into())
            }
            Grouping::Second => format!("{:>5}", self.bin_index(loss)).into(),
        }
    }

    /// Returns the index of the bin that counts a loss.
    fn bin_index(&self, loss: &Loss) -> u64 {
        let first_ms = self.losses.first().map_or(0, |first| first.at_ms);
        loss.at_ms.saturating_sub(first_ms) / PLOT_BIN_WIDTH_MS
    }

    /// Draws the losses of each second as SVG, with the `curves` most frequent reasons as curves.
    ///
    /// # Errors
    ///
    /// Fails if the plot can't be drawn or the file can't be written.
    pub fn plot(&self, path: &Path, curves: usize) -> Result<(), PlotError> {
        self.draw(path, curves).map_err(|error| PlotError(error.to_string().into()))
    }

    fn draw(&self, path: &Path, curves: usize) -> Result<(), Box<dyn std::error::Error>> {
        let reasons = self.counts_by_reason().into_iter().take(curves);
        let last_bin = self.losses.last().map_or(0, |loss| self.bin_index(loss));
        let series: Vec<_> = reasons.map(|(reason, _)| self.curve(&reason, last_bin)).collect();
        let max_count = series.iter().flat_map(|(_, points)| points).max().copied().unwrap_or(0);
        let area = SVGBackend::new(path, PLOT_SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0..last_bin.max(1), 0..max_count.max(1))?;
        chart.configure_mesh().x_desc("seconds").y_desc("requests not in time").draw()?;
        for (index, (name, points)) in series.into_iter().enumerate() {
            let colour = Palette99::pick(index).stroke_width(2);
            let points = points.into_iter().enumerate().map(|(bin, count)| (bin as u64, count));
            chart
                .draw_series(LineSeries::new(points, colour))?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    }

    fn curve(&self, reason: &LossReason, last_bin: u64) -> (String, Vec<u64>) {
        let mut points = vec![0; last_bin as usize + 1];
        for loss in self.losses.iter().filter(|loss| loss.reason == *reason) {
            points[self.bin_index(loss) as usize] += 1;
        }
        (reason.to_string(), points)
    }
}
