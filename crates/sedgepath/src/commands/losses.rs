use std::path::{Path, PathBuf};

use getopts::Options;

use super::Command;
use crate::cli::Context;
use crate::error::CliError;
use crate::operations::logs;
use crate::operations::losses::{Grouping, LossReport};

/// The response time above which a response is late without `--late-after`.
const DEFAULT_LATE_AFTER_MS: u64 = 500;

/// The most curves in a plot, so that they can be told apart.
const MAX_PLOT_CURVES: usize = 6;

/// The command `sedgepath losses`.
pub const COMMAND: Command = Command {
    name: "losses",
    arguments: "--logs DIR [OPTIONS]",
    about: "Show why requests were not answered in time, from collected log files\n\nCounts refusals, \
            requests given up, and late answers by their most likely reason. VMs log a sample \
            of\nwhat they serve under load; how many lines they left out is shown.",
    options,
    exec,
};

fn options(options: &mut Options) {
    options.optopt("l", "logs", "read the collected log files of this directory", "DIR");
    options.optopt("", "late-after", "an answer is late after this time; 500 unless given", "MS");
    options.optopt("b", "by", "count by service, account, domain or second as well", "WHAT");
    options.optopt("p", "plot", "draw the losses of each second as SVG", "FILE");
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    context.expect_no_arguments()?;
    let grouping = match context.matches.opt_str("by").as_deref() {
        None => None,
        Some("service") => Some(Grouping::Service),
        Some("account") => Some(Grouping::Account),
        Some("domain") => Some(Grouping::Domain),
        Some("second") => Some(Grouping::Second),
        Some(text) => {
            return Err(context.usage_error(format!(
                "invalid value `{text}` for `--by`: expected service, account, domain or second"
            )));
        }
    };
    let late_after_ms = context.number_option("late-after")?.unwrap_or(DEFAULT_LATE_AFTER_MS);
    let dir = context
        .matches
        .opt_str("logs")
        .ok_or_else(|| context.usage_error("missing option `--logs`"))?;
    let losses = LossReport::new(&logs::read(Path::new(&dir))?, late_after_ms);
    write_text(context, &losses, grouping)?;
    if let Some(path) = context.matches.opt_str("plot").map(PathBuf::from) {
        let drawn = losses.plot(&path, MAX_PLOT_CURVES);
        drawn.map_err(|source| CliError::WritePlot { path, source })?;
    }
    Ok(())
}

fn write_text(
    context: &mut Context<'_>,
    losses: &LossReport,
    grouping: Option<Grouping>,
) -> Result<(), CliError> {
    let out = &mut *context.out;
    let (lost, in_time) = (losses.losses.len(), losses.on_time);
    writeln!(
        out,
        "{lost} not in time, {in_time} in time, {} lines left out",
        losses.omitted_lines
    )?;
    for (reason, count) in losses.counts_by_reason() {
        writeln!(out, "{count:>8}  {reason}")?;
    }
    for (group, reasons) in grouping.map(|by| losses.counts_by_group(by)).unwrap_or_default() {
        writeln!(out, "{group}")?;
        for (reason, count) in reasons {
            writeln!(out, "{count:>8}  {reason}")?;
        }
    }
    Ok(())
}
