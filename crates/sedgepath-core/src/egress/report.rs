//! What an upstream's own word on its load is worth.
//!
//! Reports lag and may mislead, so they only lower what a node may use, never to nothing, and count
//! less as they age. Without the last an upstream that once reported itself full would get no
//! request, and so could never report that it is not.

use super::rise::risen;
use crate::event::UpstreamReport;

/// Until which age a report counts in full, in milliseconds.
const FRESH_MS: u64 = 1_000;

/// The time after that in which it fades, in milliseconds.
const FADE_MS: u64 = 4_000;

/// The last report of an upstream.
#[derive(Debug)]
pub struct Heard {
    slots: u32,
    made_at_ms: u64,
}

impl Heard {
    /// Reads a report, given what this node may have had in flight there. What the upstream runs besides is
    /// another's and takes its slots.
    pub fn new(report: &UpstreamReport, in_flight: u32) -> Self {
        let others = report.in_flight.unwrap_or(0).saturating_sub(in_flight);
        let slots = report.slots.unwrap_or(u32::MAX).saturating_sub(others);
        Self { slots, made_at_ms: report.made_at_ms }
    }

    /// Whether a report is newer.
    pub fn is_older_than(&self, report: &UpstreamReport) -> bool {
        self.made_at_ms < report.made_at_ms
    }

    /// Returns the slots that may be used now.
    pub fn slots(&self, slots: u32, now_ms: u64) -> u32 {
        let age_ms = now_ms.saturating_sub(self.made_at_ms);
        risen(self.slots.clamp(1, slots.max(1)), slots, age_ms.saturating_sub(FRESH_MS), FADE_MS)
    }
}
