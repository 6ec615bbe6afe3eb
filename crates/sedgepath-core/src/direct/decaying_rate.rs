//! The rate of events, estimated by a counter that decays.

/// A rate that decays exponentially without events.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingRate {
    per_s: f64,
    last_at_ms: u64,
}

impl DecayingRate {
    /// Returns the rate per second at a time, for a time constant in milliseconds.
    pub(super) fn per_s_at(&self, memory_ms: f64, now_ms: u64) -> f64 {
        self.per_s * (-(now_ms.saturating_sub(self.last_at_ms) as f64) / memory_ms).exp()
    }

    /// Records an event.
    pub(super) fn record(&mut self, memory_ms: f64, now_ms: u64) {
        self.per_s = self.per_s_at(memory_ms, now_ms) + 1_000.0 / memory_ms;
        self.last_at_ms = now_ms;
    }

    /// Returns when the last event was recorded, in milliseconds.
    pub(super) fn last_at_ms(&self) -> u64 {
        self.last_at_ms
    }
}
