//! The slowest response of a service over the current window and the one before it.

/// The length of a window, in milliseconds. A response counts for one to two windows.
const WINDOW_MS: u64 = 10_000;

/// The longest time that a response of a service has taken lately.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlowestResponse {
    window: u64,
    longest_ms: u64,
    previous_longest_ms: u64,
}

impl SlowestResponse {
    /// Records the time that a response took, in milliseconds.
    pub(super) fn record(&mut self, took_ms: u64, now_ms: u64) {
        *self = self.advanced_to(now_ms);
        self.longest_ms = self.longest_ms.max(took_ms);
    }

    /// Returns the longest time lately, in milliseconds; 0 without responses.
    pub(super) fn longest_ms(&self, now_ms: u64) -> u64 {
        let now = self.advanced_to(now_ms);
        now.longest_ms.max(now.previous_longest_ms)
    }

    fn advanced_to(self, now_ms: u64) -> Self {
        let window = now_ms / WINDOW_MS;
        let previous_longest_ms = match window.saturating_sub(self.window) {
            0 => return self,
            1 => self.longest_ms,
            _ => 0,
        };
        Self { window, longest_ms: 0, previous_longest_ms }
    }
}
