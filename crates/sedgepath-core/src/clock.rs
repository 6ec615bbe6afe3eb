//! Hybrid logical clock: orders the events of all processes in one time line.
//!
//! Kulkarni et al., "Logical Physical Clocks" (2014): a stamp is the largest physical time heard of,
//! with a counter for events within the same millisecond. A message's stamp is merged on receipt, so
//! an event never stands before one that it depends on, whatever the skew between the nodes.

use serde::{Deserialize, Serialize};

/// A point of the time line.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// The largest physical time heard of, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The number of the event within that millisecond.
    pub count: u32,
}

/// The furthest that a stamp from elsewhere may lead the own clock, in milliseconds.
///
/// One node with a clock years ahead would otherwise drag the time line of all along for good.
pub const MAX_LEAD_MS: u64 = 60_000;

/// A node's hybrid logical clock.
#[derive(Debug, Default)]
pub struct HybridLogicalClock {
    last: HybridTimestamp,
}

impl HybridLogicalClock {
    /// Returns the stamp of a local event or of a message about to be sent.
    pub fn tick(&mut self, now_ms: u64) -> HybridTimestamp {
        self.last = if now_ms > self.last.time_ms {
            HybridTimestamp { time_ms: now_ms, count: 0 }
        } else {
            HybridTimestamp { time_ms: self.last.time_ms, count: self.last.count + 1 }
        };
        self.last
    }

    /// Merges the stamp of a message received; one that leads by over [`MAX_LEAD_MS`] is ignored.
    pub fn merge(&mut self, now_ms: u64, heard: HybridTimestamp) {
        if heard.time_ms <= now_ms.saturating_add(MAX_LEAD_MS) {
            self.last = self.last.max(heard);
        }
    }
}
