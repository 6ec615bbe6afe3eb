use std::path::{Path, PathBuf};

use getopts::Options;

use super::Command;
use crate::cli::Context;
use crate::error::CliError;
use crate::operations::logs;
use crate::operations::losses::{Grouping, Losses};

/// The time after which an answer counts as late unless the operator says so, in milliseconds.
const LATE_AFTER_MS: u64 = 500;

/// The curves of a plot: more can't be told apart.
const CURVES: usize = 6;

/// `sedgepath losses`
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
    options.optopt("b", "by", "count by service, domain or second as well", "WHAT");
    options.optopt("p", "plot", "draw the losses of each second as SVG", "FILE");
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    context.no_arguments()?;
    let grouping = match context.matches.opt_str("by").as_deref() {
        None => None,
        Some("service") => Some(Grouping::Service),
        Some("domain") => Some(Grouping::Domain),
        Some("second") => Some(Grouping::Second),
        Some(text) => {
            return Err(context.usage(format!("`--by {text}` is none of service, domain, second")));
        }
    };
    let late_after_ms = context.number("late-after")?.unwrap_or(LATE_AFTER_MS);
    let dir =
        context.matches.opt_str("logs").ok_or_else(|| context.usage("`--logs` is missing"))?;
    let losses = Losses::new(&logs::read(Path::new(&dir))?, late_after_ms);
    write(context, &losses, grouping)?;
    if let Some(path) = context.matches.opt_str("plot").map(PathBuf::from) {
        let drawn = losses.plot(&path, CURVES);
        drawn.map_err(|source| CliError::Plot { path, source })?;
    }
    Ok(())
}

fn write(
    context: &mut Context<'_>,
    losses: &Losses,
    grouping: Option<Grouping>,
) -> Result<(), CliError> {
    let out = &mut *context.out;
    let (lost, in_time) = (losses.losses.len(), losses.in_time);
    writeln!(out, "{lost} not in time, {in_time} in time, {} lines left out", losses.left_out)?;
    for (reason, count) in losses.by_reason() {
        writeln!(out, "{count:>8}  {reason}")?;
    }
    for (group, reasons) in grouping.map(|by| losses.by_group(by)).unwrap_or_default() {
        writeln!(out, "{group}")?;
        for (reason, count) in reasons {
            writeln!(out, "{count:>8}  {reason}")?;
        }
    }
    Ok(())
}
