//! The warm-up of a cold upstream.
//!
//! An upstream is cold until this boot first uses it, and again after [`COLD_AFTER_IDLE_MS`]
//! without use, after a failed connection, and when it is configured anew. From its next use on,
//! its slots rise linearly from the configured cold slots to all of them over the configured
//! warm-up time. A node that takes an upstream over can't know how warm it is and treats it as cold
//! too.

use super::interpolation::linear_rise;
use crate::allowance::Allowance;
use crate::catalogue::UpstreamEntry;

/// The time without use after which an upstream counts as cold, in milliseconds.
pub const COLD_AFTER_IDLE_MS: u64 = 60_000;

/// The warm-up state of an upstream.
#[derive(Debug, Default)]
pub struct WarmUp {
    started_at_ms: Option<u64>,
    last_used_at_ms: u64,
}

impl WarmUp {
    /// Returns how many slots of the allowance may be used now.
    pub fn slots(&self, allowance: &Allowance, entry: &UpstreamEntry, now_ms: u64) -> u32 {
        let cold_slots = own_cold_slots(allowance, entry);
        match self.started_at(now_ms) {
            _ if entry.warm_up_ms == 0 => allowance.slots,
            None => cold_slots,
            Some(from_ms) => linear_rise(
                cold_slots,
                allowance.slots,
                now_ms.saturating_sub(from_ms),
                entry.warm_up_ms,
            ),
        }
    }

    /// Records a use of the upstream, which starts the warm-up if it is cold.
    pub fn record_use(&mut self, now_ms: u64) {
        self.started_at_ms = Some(self.started_at(now_ms).unwrap_or(now_ms));
        self.last_used_at_ms = now_ms;
    }

    /// Makes the upstream cold again.
    pub fn reset(&mut self) {
        self.started_at_ms = None;
    }

    fn started_at(&self, now_ms: u64) -> Option<u64> {
        self.started_at_ms.filter(|_| now_ms < self.last_used_at_ms + COLD_AFTER_IDLE_MS)
    }
}

/// Returns this node's share of the cold slots, at least one so that the upstream can be used at
/// all.
///
/// Apart from that minimum, the shares of all nodes together stay within the configured cold slots.
fn own_cold_slots(allowance: &Allowance, entry: &UpstreamEntry) -> u32 {
    let cold_slots = u64::from(entry.cold_slots.min(entry.slots));
    let share = cold_slots * u64::from(allowance.slots) / u64::from(entry.slots.max(1));
    (share as u32).max(1).min(allowance.slots)
}
