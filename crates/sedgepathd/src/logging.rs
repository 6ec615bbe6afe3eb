//! Logs: one line of `key=value` pairs for each event, on standard error.

use sedgepath_core::timeline::TimelineEntry;

/// Starts logging at a level such as `info`.
///
/// # Errors
///
/// Fails if a logger is in place already.
pub fn start(level: &str) -> Result<(), log::SetLoggerError> {
    let level = level.parse().unwrap_or(log::LevelFilter::Info);
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("sedgepathd", level)
        .format(|out, message, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("level={level} {message}"));
        })
        .chain(std::io::stderr())
        .apply()
}

/// Logs an entry of the time line.
pub fn entry(node: &str, entry: &TimelineEntry) {
    log::info!("{}", entry.line(node));
}
