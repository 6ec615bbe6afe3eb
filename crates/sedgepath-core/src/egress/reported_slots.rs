//! The limit on an upstream's slots that follows from its load reports.
//!
//! Reports lag and may be wrong, so a report only lowers the usable slots, never below one, and its
//! effect decays with age. Otherwise an upstream that once reported no free slots would get no
//! requests, and could never report anything else.

use super::interpolation::linear_rise;
use crate::event::UpstreamReport;

/// The age up to which a report has its full effect, in milliseconds.
const FULL_EFFECT_MS: u64 = 1_000;

/// The time over which the effect of a report then decays to nothing, in milliseconds.
const DECAY_MS: u64 = 4_000;

/// The slots of an upstream that are available to this node according to the upstream's last
/// report.
#[derive(Debug)]
pub struct ReportedSlots {
    slots: u32,
    made_at_ms: u64,
}

impl ReportedSlots {
    /// Evaluates a report; `in_flight` is the number of requests that this node may have had in
    /// flight when the report was made. Any further requests in flight are from other nodes and
    /// reduce the slots.
    pub fn new(report: &UpstreamReport, in_flight: u32) -> Self {
        let others_in_flight = report.in_flight.unwrap_or(0).saturating_sub(in_flight);
        let slots = report.slots.unwrap_or(u32::MAX).saturating_sub(others_in_flight);
        Self { slots, made_at_ms: report.made_at_ms }
    }

    /// Returns whether `report` is newer than this one.
    pub fn is_older_than(&self, report: &UpstreamReport) -> bool {
        self.made_at_ms < report.made_at_ms
    }

    /// Returns how many of `slots` may be used now.
    pub fn slots(&self, slots: u32, now_ms: u64) -> u32 {
        let age_ms = now_ms.saturating_sub(self.made_at_ms);
        linear_rise(
            self.slots.clamp(1, slots.max(1)),
            slots,
            age_ms.saturating_sub(FULL_EFFECT_MS),
            DECAY_MS,
        )
    }
}
