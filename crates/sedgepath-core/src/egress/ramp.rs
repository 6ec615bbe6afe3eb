//! The warm-up of a cold upstream.
//!
//! An upstream is cold until this boot first uses it, and again after [`COLD_AFTER_IDLE_MS`] without
//! use, after a failed connection, and when it is configured anew. From its next use on, its slots
//! rise linearly from the declared cold slots to all of them over the declared warm-up time. A node
//! that takes an upstream over can't know how warm it is and starts from cold too.

use super::rise::risen;
use crate::allowance::Allowance;
use crate::catalogue::UpstreamEntry;

/// The time without use after which an upstream counts as cold.
pub const COLD_AFTER_IDLE_MS: u64 = 60_000;

/// The warm-up state of an upstream.
#[derive(Debug, Default)]
pub struct Ramp {
    warm_from_ms: Option<u64>,
    used_at_ms: u64,
}

impl Ramp {
    /// Returns how many slots of the allowance may be used now.
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

    /// Records a use of the upstream, which starts the warm-up if it is cold.
    pub fn used(&mut self, now_ms: u64) {
        self.warm_from_ms = Some(self.warm_from(now_ms).unwrap_or(now_ms));
        self.used_at_ms = now_ms;
    }

    /// Makes the upstream cold again.
    pub fn restart(&mut self) {
        self.warm_from_ms = None;
    }

    fn warm_from(&self, now_ms: u64) -> Option<u64> {
        self.warm_from_ms.filter(|_| now_ms < self.used_at_ms + COLD_AFTER_IDLE_MS)
    }
}

/// Returns this node's part of the cold slots, at least one so that the upstream can be used at all.
///
/// Apart from that minimum, the parts of all owners together stay within the declared cold slots.
fn cold_part(allowance: &Allowance, entry: &UpstreamEntry) -> u32 {
    let cold = u64::from(entry.cold_slots.min(entry.slots));
    let part = cold * u64::from(allowance.slots) / u64::from(entry.slots.max(1));
    (part as u32).max(1).min(allowance.slots)
}
