//! A hybrid logical clock, which gives the events of all processes one causal order.
//!
//! See Kulkarni et al., "Logical Physical Clocks" (2014). A timestamp is the largest physical time
//! seen so far and a counter for events within the same millisecond. A received message's
//! timestamp is merged into the clock, so an event never precedes one that it depends on, whatever
//! the clock skew.

use serde::{Deserialize, Serialize};

/// A hybrid logical timestamp.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// The largest physical time seen, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The counter that orders events within the millisecond.
    pub count: u32,
}

/// The maximum lead of a received timestamp over the local clock, in milliseconds.
///
/// Without this bound one node whose clock is years ahead would advance the clocks of all nodes
/// permanently.
pub const MAX_CLOCK_LEAD_MS: u64 = 60_000;

/// A node's hybrid logical clock.
#[derive(Debug, Default)]
pub struct HybridLogicalClock {
    last: HybridTimestamp,
}

impl HybridLogicalClock {
    /// Advances the clock and returns the timestamp of a local event or an outgoing message.
    pub fn tick(&mut self, now_ms: u64) -> HybridTimestamp {
        self.last = if now_ms > self.last.time_ms {
            HybridTimestamp { time_ms: now_ms, count: 0 }
        } else {
            HybridTimestamp { time_ms: self.last.time_ms, count: self.last.count + 1 }
        };
        self.last
    }

    /// Merges the timestamp of a received message, unless it leads by more than
    /// [`MAX_CLOCK_LEAD_MS`].
    pub fn merge(&mut self, now_ms: u64, received: HybridTimestamp) {
        if received.time_ms <= now_ms.saturating_add(MAX_CLOCK_LEAD_MS) {
            self.last = self.last.max(received);
        }
    }
}
