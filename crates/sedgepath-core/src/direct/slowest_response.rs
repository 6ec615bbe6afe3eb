//! How long responses may take, by those that came lately.

/// The length of a window, in milliseconds. A response counts for one to two windows.
const WINDOW_MS: u64 = 10_000;

/// The longest time that a response of a service has taken lately.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlowestResponse {
    window: u64,
    longest_ms: u64,
    longest_before_ms: u64,
}

impl SlowestResponse {
    /// Records the time that a response took, in milliseconds.
    pub(super) fn record(&mut self, took_ms: u64, now_ms: u64) {
        *self = self.at(now_ms);
        self.longest_ms = self.longest_ms.max(took_ms);
    }

    /// Returns the longest time lately, in milliseconds; 0 without responses.
    pub(super) fn longest_ms(&self, now_ms: u64) -> u64 {
        let now = self.at(now_ms);
        now.longest_ms.max(now.longest_before_ms)
    }

    fn at(self, now_ms: u64) -> Self {
        let window = now_ms / WINDOW_MS;
        let longest_before_ms = match window.saturating_sub(self.window) {
            0 => return self,
            1 => self.longest_ms,
            _ => 0,
        };
        Self { window, longest_ms: 0, longest_before_ms }
    }
}
