use std::path::Path;
use std::time::Duration;

use getopts::Options;
use sedgepath_wire::time::unix_ms;

use super::{Command, add_data_options};
use crate::cli::Context;
use crate::error::CliError;
use crate::operations::logs;
use crate::operations::timeline::{MergedTimeline, TimelineReader};
use crate::time;

/// How far back the timeline goes without `--since`: ten minutes.
const DEFAULT_SINCE_MS: u64 = 600_000;

/// The interval between two reads with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// The command `sedgepath timeline`.
pub const COMMAND: Command = Command {
    name: "timeline",
    arguments: "[OPTIONS]",
    about: "Show what all nodes did, merged in one order\n\nAsks every member that the first node \
            knows, and says which did not answer. The order is that of\nhybrid logical clocks: \
            nothing stands before what it depends on, also where clocks differ.",
    options,
    exec,
};

fn options(options: &mut Options) {
    add_data_options(options);
    options.optopt(
        "s",
        "since",
        "begin so long ago (90s, 15m, 2h) or at a time (2026-12-02T21:30:00Z); 10m unless given",
        "TIME",
    );
    options.optopt("l", "logs", "read the collected log files of this directory instead", "DIR");
    options.optflag("f", "follow", "go on with what happens, until interrupted");
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    context.expect_no_arguments()?;
    let now_ms = unix_ms();
    let since_ms = match context.matches.opt_str("since") {
        None => now_ms.saturating_sub(DEFAULT_SINCE_MS),
        Some(text) => time::parse_duration_ms(&text)
            .map(|duration_ms| now_ms.saturating_sub(duration_ms))
            .or_else(|| time::parse_utc_ms(&text))
            .ok_or_else(|| {
                context.usage_error(format!(
                    "invalid value `{text}` for `--since`: expected a duration or a UTC time"
                ))
            })?,
    };
    if let Some(dir) = context.matches.opt_str("logs") {
        return write_logs(context, Path::new(&dir), since_ms);
    }
    let client = context.client()?;
    let mut reader = TimelineReader::new(since_ms);
    loop {
        let timeline = reader.read(&client)?;
        write_timeline(context, &timeline)?;
        if !context.matches.opt_present("follow") {
            return Ok(());
        }
        std::thread::sleep(FOLLOW_INTERVAL);
    }
}

/// Writes the collected log lines since a time, or all of them without `--since`.
fn write_logs(context: &mut Context<'_>, dir: &Path, since_ms: u64) -> Result<(), CliError> {
    let since_ms = if context.matches.opt_present("since") { since_ms } else { 0 };
    let mut lines = logs::read(dir)?;
    lines.retain(|line| line.stamp.time_ms >= since_ms);
    context.write_lines(&lines)
}

fn write_timeline(context: &mut Context<'_>, timeline: &MergedTimeline) -> Result<(), CliError> {
    if context.wants_json() {
        return context.write_json(timeline);
    }
    for event in &timeline.events {
        writeln!(context.out, "{}", event.entry.line(&event.node))?;
    }
    for node in &timeline.unresponsive {
        writeln!(context.out, "no answer from {} at {}: {}", node.node, node.address, node.reason)?;
    }
    Ok(())
}
