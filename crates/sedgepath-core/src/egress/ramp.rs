//! The warm-up of a cold upstream.
//!
//! An upstream is cold to this boot until its first use, and again after [`COLD_AFTER_IDLE_MS`]
//! without use, after no connection to it could be made, and when it is listed anew. From the next
//! use on, its slots rise in a straight line from the declared cold ones to all, over the declared
//! time. A node that takes an upstream over can't know how warm it is and starts from cold as well.

use super::rise::risen;
use crate::allowance::Allowance;
use crate::catalogue::UpstreamEntry;

/// After which time without use an upstream counts as cold, in milliseconds.
pub const COLD_AFTER_IDLE_MS: u64 = 60_000;

/// How warm an upstream is.
#[derive(Debug, Default)]
pub struct Ramp {
    warm_from_ms: Option<u64>,
    used_at_ms: u64,
}

impl Ramp {
    /// Returns the slots that may be used now.
    pub fn slots(&self, allowance: &Allowance, entry: &UpstreamEntry, now_ms: u64) -> u32 {
        let cold = cold_part(allowance, entry);
        match self.warm_from(now_ms) {
            _ if entry.warm_up_ms == 0 => allowance.slots,
            None => cold,
            Some(from_ms) => {
                risen(cold, allowance.slots, now_ms.saturating_sub(from_ms), entry.warm_up_ms)
            }
        }
    }

    /// Takes in that the upstream is used now.
    pub fn used(&mut self, now_ms: u64) {
        self.warm_from_ms = Some(self.warm_from(now_ms).unwrap_or(now_ms));
        self.used_at_ms = now_ms;
    }

    /// Takes in that the upstream has to start from cold.
    pub fn restart(&mut self) {
        self.warm_from_ms = None;
    }

    fn warm_from(&self, now_ms: u64) -> Option<u64> {
        self.warm_from_ms.filter(|_| now_ms < self.used_at_ms + COLD_AFTER_IDLE_MS)
    }
}

/// Returns this node's part of the cold slots: all owners' parts together stay within them, but for
/// the one slot that each needs to use the upstream at all.
fn cold_part(allowance: &Allowance, entry: &UpstreamEntry) -> u32 {
    let cold = u64::from(entry.cold_slots.min(entry.slots));
    let part = cold * u64::from(allowance.slots) / u64::from(entry.slots.max(1));
    (part as u32).max(1).min(allowance.slots)
}
