//! Reads the collected logs of VMs in one order and selects the lines that explain a request.

use std::fs;
use std::path::{Path, PathBuf};

use sedgepath_core::clock::HybridTimestamp;
use serde::Serialize;

use crate::error::CliError;

/// A parsed line of a VM's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// The hybrid timestamp, which orders lines of all VMs.
    pub stamp: HybridTimestamp,
    /// The name of the VM that wrote the line.
    pub vm: Box<str>,
    /// The value of the `event` key.
    pub event: Box<str>,
    /// The line without its timestamp.
    pub text: Box<str>,
}

/// Returns the value of a key in a line of `key=value` pairs.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

impl LogLine {
    /// Parses a line and ignores a collector's prefix; none if it is not a line of a VM's log.
    pub fn parse(line: &str) -> Option<Self> {
        let line = &line[line.find("at=")?..];
        let (at, text) = line.split_once(' ')?;
        let (time_ms, count) = at.strip_prefix("at=")?.split_once('.')?;
        let stamp = HybridTimestamp { time_ms: time_ms.parse().ok()?, count: count.parse().ok()? };
        Some(Self {
            stamp,
            vm: field(text, "vm")?.into(),
            event: field(text, "event")?.into(),
            text: text.into(),
        })
    }

    /// Returns the value of a key, if the line has it.
    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.text, name)
    }
}

/// Reads all files of a directory and merges their lines in the order of their timestamps.
///
/// # Errors
///
/// Fails if the directory or a file can't be read.
pub fn read(dir: &Path) -> Result<Vec<LogLine>, CliError> {
    let mut lines = Vec::new();
    for path in log_files(dir)? {
        let bytes =
            fs::read(&path).map_err(|source| CliError::ReadLogs { path: path.clone(), source })?;
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(LogLine::parse));
    }
    lines.sort_by(|a, b| a.stamp.cmp(&b.stamp).then_with(|| a.vm.cmp(&b.vm)));
    Ok(lines)
}

fn log_files(dir: &Path) -> Result<Vec<PathBuf>, CliError> {
    let read_error = |source| CliError::ReadLogs { path: dir.into(), source };
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).map_err(read_error)? {
        let path = entry.map_err(read_error)?.path();
        if path.is_file() {
            files.push(path);
        }
    }
    Ok(files)
}

/// Returns whether the requests of two lines have a fingerprint in common.
fn shares_fingerprint(one: &LogLine, other: &LogLine) -> bool {
    let fingerprints = |line: &'_ LogLine| -> Vec<String> {
        let text = line.field("fingerprint").unwrap_or_default();
        text.split('/').filter(|digest| !digest.is_empty()).map(str::to_owned).collect()
    };
    let others = fingerprints(other);
    fingerprints(one).iter().any(|digest| others.contains(digest))
}

/// Returns the lines that explain a request, in order.
///
/// These are its own lines and earlier lines of the VM that ended it: those about the upstreams of its
/// attempts, and the latest about the configuration, the store, evacuations and the VM's start. If the
/// request was rejected because its repeats crash upstreams, the crashes on all VMs are added.
pub fn lines_explaining<'a>(lines: &'a [LogLine], request: &str) -> Vec<&'a LogLine> {
    let own: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("request") == Some(request)).collect();
    let Some(last) = own.last() else {
        return Vec::new();
    };
    let upstreams: Vec<&str> = own.iter().filter_map(|line| line.field("upstream")).collect();
    let mut selected: Vec<&LogLine> = Vec::new();
    let before = || lines.iter().filter(|line| line.vm == last.vm && line.stamp <= last.stamp);
    for event in ["configuration", "store_back", "store_away", "evacuation", "started"] {
        selected.extend(before().rfind(|line| *line.event == *event));
    }
    for upstream in upstreams {
        let of_upstream = before().filter(|line| {
            line.field("upstream") == Some(upstream) && line.field("request").is_none()
        });
        selected.extend(of_upstream);
    }
    if last.field("reason") == Some("crashes_upstreams") {
        selected.extend(
            before().filter(|line| {
                line.event.starts_with("quarantine") && shares_fingerprint(line, last)
            }),
        );
        selected.extend(lines.iter().filter(|line| {
            line.field("outcome") == Some("crashed") && shares_fingerprint(line, last)
        }));
    }
    selected.extend(own);
    selected.sort_by_key(|line| line.stamp);
    selected.dedup_by(|a, b| std::ptr::eq(*a, *b));
    selected
}
