//! Reads log lines collected from VMs, in one order, and picks those that explain a request.

use std::fs;
use std::path::{Path, PathBuf};

use sedgepath_core::clock::HybridTimestamp;
use serde::Serialize;

use crate::error::CliError;

/// A line of a VM's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// Its place in the order over all VMs.
    pub stamp: HybridTimestamp,
    /// The VM that wrote it.
    pub vm: Box<str>,
    /// The kind of event.
    pub event: Box<str>,
    /// The line without its stamp.
    pub text: Box<str>,
}

/// Returns the value of a field of a line of `key=value` pairs.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

impl LogLine {
    /// Reads a line; what a collector put before its stamp is left out.
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

    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.text, name)
    }
}

/// Reads all files of a directory and merges their lines in one order.
///
/// # Errors
///
/// Fails if the directory or a file can't be read.
pub fn read(dir: &Path) -> Result<Vec<LogLine>, CliError> {
    let mut lines = Vec::new();
    for path in files(dir)? {
        let bytes =
            fs::read(&path).map_err(|source| CliError::ReadLogs { path: path.clone(), source })?;
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(LogLine::parse));
    }
    lines.sort_by(|one, other| one.stamp.cmp(&other.stamp).then_with(|| one.vm.cmp(&other.vm)));
    Ok(lines)
}

fn files(dir: &Path) -> Result<Vec<PathBuf>, CliError> {
    let failed = |source| CliError::ReadLogs { path: dir.into(), source };
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path.is_file() {
            files.push(path);
        }
    }
    Ok(files)
}

/// Returns the lines that explain a request: its own, and what the VM that took it believed of the
/// upstreams it was sent to, of the configuration and of the store.
pub fn about<'a>(lines: &'a [LogLine], request: &str) -> Vec<&'a LogLine> {
    let own: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("request") == Some(request)).collect();
    let Some(last) = own.last() else {
        return Vec::new();
    };
    let upstreams: Vec<&str> = own.iter().filter_map(|line| line.field("upstream")).collect();
    let mut picked: Vec<&LogLine> = Vec::new();
    let before = || lines.iter().filter(|line| line.vm == last.vm && line.stamp <= last.stamp);
    for event in ["configuration", "store_back", "store_away", "evacuation", "started"] {
        picked.extend(before().rfind(|line| *line.event == *event));
    }
    for upstream in upstreams {
        let of_upstream = before().filter(|line| {
            line.field("upstream") == Some(upstream) && line.field("request").is_none()
        });
        picked.extend(of_upstream);
    }
    picked.extend(own);
    picked.sort_by_key(|line| line.stamp);
    picked.dedup_by(|one, other| std::ptr::eq(*one, *other));
    picked
}
