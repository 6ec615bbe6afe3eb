//! Logs: one line of `key=value` pairs for each event, on standard error.

use sedgepath_core::timeline::Entry;

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
pub fn entry(node: &str, entry: &Entry) {
    log::info!("{}", line(node, entry));
}

/// Writes an entry of the time line as `key=value` pairs.
pub fn line(node: &str, entry: &Entry) -> String {
    let mut line = format!(
        "time_ms={} count={} node={} topic={} event={}",
        entry.stamp.time_ms,
        entry.stamp.count,
        quoted(node),
        entry.topic.name(),
        entry.event
    );
    for (key, value) in &entry.fields {
        line.push(' ');
        line.push_str(key);
        line.push('=');
        line.push_str(&quoted(value));
    }
    line
}

/// Quotes a value that holds blanks, quotes or line ends, so that one event stays one line.
pub fn quoted(value: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=');
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}
