//! Logging to standard error, one line of `key=value` pairs per event.

use sedgepath_core::timeline::TimelineEntry;

/// Installs the logger with a level such as `info`; an unknown level means `info`.
///
/// # Errors
///
/// Fails if a logger is already installed.
pub fn init(level: &str) -> Result<(), log::SetLoggerError> {
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

/// Logs an entry of the node's timeline at level `info`.
pub fn log_timeline_entry(node: &str, entry: &TimelineEntry) {
    log::info!("{}", entry.line(node));
}
