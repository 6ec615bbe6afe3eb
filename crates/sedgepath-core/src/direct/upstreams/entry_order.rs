//! The order of an upstream's entries.
//!
//! The store may perform a write seconds late, so that the entry that it holds isn't always the one that was
//! written last. Within a process the sequence number tells. The start times of two processes tell only if no
//! clock was set back between: an entry with an earlier start time is a late write of an earlier process, or the
//! first one of a process whose clock is behind. A late write isn't followed by others, but a running process
//! writes again.

use std::cmp::Ordering;

use super::UpstreamEntry;

/// The time after which an entry whose order is unclear is taken over if no other one has been written, in
/// milliseconds: longer than the store performs a write late.
const MAX_UNCLEAR_MS: u64 = 10_000;

/// How an entry relates to the newest known one of the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryOrder {
    /// The same process has written it, not before the known one.
    Continues,
    /// The same process has written it before the known one.
    Outdated,
    /// A process that started later has written it.
    Restarted,
    /// Another process has written it, and the start times don't tell which one runs.
    Unclear,
}

impl UpstreamEntry {
    /// Returns how this entry relates to a known one of the same name.
    ///
    /// Without start times a name belongs to one process.
    pub fn order_after(&self, known: &Self) -> EntryOrder {
        match (self.started_at_ms, known.started_at_ms) {
            (own_start, known_start) if own_start == known_start => {
                if self.sequence < known.sequence {
                    EntryOrder::Outdated
                } else {
                    EntryOrder::Continues
                }
            }
            (Some(own_start_ms), Some(known_start_ms)) if own_start_ms < known_start_ms => {
                EntryOrder::Unclear
            }
            // Upstreams of a service begin to state their start with a new program.
            (Some(_), _) => EntryOrder::Restarted,
            (None, _) => EntryOrder::Unclear,
        }
    }
}

/// The newest known entry of a process that another one has replaced.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplacedProcess {
    started_at_ms: Option<u64>,
    sequence: u64,
}

impl ReplacedProcess {
    pub(super) fn of(entry: &UpstreamEntry) -> Self {
        Self { started_at_ms: entry.started_at_ms, sequence: entry.sequence }
    }

    /// Returns how an entry relates to those of the process that runs now, if the replaced one has written it.
    pub(super) fn order_of(self, entry: &UpstreamEntry) -> Option<EntryOrder> {
        if entry.started_at_ms != self.started_at_ms {
            return None;
        }
        let is_known = entry.sequence <= self.sequence;
        Some(if is_known { EntryOrder::Outdated } else { EntryOrder::Unclear })
    }
}

/// An entry whose order is unclear.
#[derive(Debug)]
pub(super) struct UnclearEntry {
    pub(super) entry: UpstreamEntry,
    pub(super) region: Box<str>,
    /// When the entry is taken over unless the known process writes again, in milliseconds.
    pub(super) accepted_at_ms: u64,
}

impl UnclearEntry {
    pub(super) fn new(entry: UpstreamEntry, region: &str, now_ms: u64) -> Self {
        Self { entry, region: region.into(), accepted_at_ms: now_ms + MAX_UNCLEAR_MS }
    }

    /// Returns how another entry relates to this one, if the same process has written both.
    pub(super) fn order_of(&self, other: &UpstreamEntry) -> Option<Ordering> {
        let is_same_process = self.entry.started_at_ms == other.started_at_ms;
        is_same_process.then(|| other.sequence.cmp(&self.entry.sequence))
    }
}
