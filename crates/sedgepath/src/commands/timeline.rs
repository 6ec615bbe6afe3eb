use std::path::Path;
use std::time::Duration;

use getopts::Options;
use sedgepath_wire::time::unix_ms;

use super::{Command, data_options};
use crate::cli::Context;
use crate::error::CliError;
use crate::operations::logs;
use crate::operations::timeline::{Reader, Reading};
use crate::time;

/// How far back the time line goes unless the operator says so: ten minutes.
const DEFAULT_SINCE_MS: u64 = 600_000;

/// The time between two readings of a time line that is followed.
const FOLLOW_EVERY: Duration = Duration::from_secs(1);

/// `sedgepath timeline`
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
    data_options(options);
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
    context.no_arguments()?;
    let now_ms = unix_ms();
    let since_ms = match context.matches.opt_str("since") {
        None => now_ms.saturating_sub(DEFAULT_SINCE_MS),
        Some(text) => time::parse_length(&text)
            .map(|length_ms| now_ms.saturating_sub(length_ms))
            .or_else(|| time::parse(&text))
            .ok_or_else(|| context.usage(format!("`--since {text}` is no time")))?,
    };
    if let Some(dir) = context.matches.opt_str("logs") {
        return write_logs(context, Path::new(&dir), since_ms);
    }
    let client = context.client()?;
    let mut reader = Reader::new(since_ms);
    loop {
        let reading = reader.read(&client)?;
        write(context, &reading)?;
        if !context.matches.opt_present("follow") {
            return Ok(());
        }
        std::thread::sleep(FOLLOW_EVERY);
    }
}

/// Writes collected lines; without `--since` all of them.
fn write_logs(context: &mut Context<'_>, dir: &Path, since_ms: u64) -> Result<(), CliError> {
    let since_ms = if context.matches.opt_present("since") { since_ms } else { 0 };
    let mut lines = logs::read(dir)?;
    lines.retain(|line| line.stamp.time_ms >= since_ms);
    context.write_lines(&lines)
}

fn write(context: &mut Context<'_>, reading: &Reading) -> Result<(), CliError> {
    if context.json() {
        return context.write_json(reading);
    }
    for event in &reading.events {
        writeln!(context.out, "{}", event.entry.line(&event.node))?;
    }
    for silent in &reading.silent {
        writeln!(
            context.out,
            "no answer from {} at {}: {}",
            silent.node, silent.address, silent.reason
        )?;
    }
    Ok(())
}
