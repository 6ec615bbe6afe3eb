//! When an upstream that fails or refuses is tried again.
//!
//! An upstream that can't be reached is left alone for a pause that doubles with each failure; then one
//! request tries it. Without the pause every request would go there first, since an upstream that
//! fails at once has always the most free slots.

use super::rise::risen;

/// The pause after the first failure, in milliseconds.
const FIRST_PAUSE_MS: u64 = 200;

/// The longest pause, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 20_000;

/// The refusals in a row after which an upstream counts as failed.
const REFUSALS_TO_FAIL: u32 = 3;

/// How long the slots stay lowered after a refusal, in milliseconds.
const LOWERED_FOR_MS: u64 = 500;

/// The time over which they rise to all again, in milliseconds.
const RISE_OVER_MS: u64 = 2_000;

/// How an upstream has fared lately.
#[derive(Debug, Default)]
pub struct Health {
    failures: u32,
    paused_until_ms: u64,
    probing: bool,
    refusals: u32,
    lowered: Option<Lowered>,
}

#[derive(Debug)]
struct Lowered {
    slots: u32,
    until_ms: u64,
}

impl Health {
    /// Returns the slots that may be used now.
    pub fn slots(&self, slots: u32, now_ms: u64) -> u32 {
        if self.failures > 0 {
            return if now_ms < self.paused_until_ms { 0 } else { slots.min(1) };
        }
        match &self.lowered {
            Some(lowered) if lowered.slots < slots => {
                let elapsed_ms = now_ms.saturating_sub(lowered.until_ms);
                risen(lowered.slots, slots, elapsed_ms, RISE_OVER_MS)
            }
            _ => slots,
        }
    }

    /// Whether a request may be sent besides those that run.
    pub fn may_send(&self, now_ms: u64) -> bool {
        self.failures == 0 || (now_ms >= self.paused_until_ms && !self.probing)
    }

    /// Returns when the next request may try the upstream, in milliseconds, if it is left alone.
    pub fn retry_at_ms(&self) -> Option<u64> {
        (self.failures > 0).then_some(self.paused_until_ms)
    }

    /// Takes in that a request was sent.
    pub fn sent(&mut self) {
        self.probing = self.failures > 0;
    }

    /// Takes in that the upstream has answered.
    pub fn answered(&mut self) {
        self.failures = 0;
        self.probing = false;
        self.refusals = 0;
    }

    /// Takes in that the upstream could not be reached; returns whether that is news.
    pub fn failed(&mut self, now_ms: u64) -> bool {
        self.probing = false;
        // Requests that were on their way together fail together, and count as one failure.
        if now_ms < self.paused_until_ms {
            return false;
        }
        let pause_ms = FIRST_PAUSE_MS << self.failures.min(16);
        self.paused_until_ms = now_ms + pause_ms.min(LONGEST_PAUSE_MS);
        self.failures += 1;
        self.failures == 1
    }

    /// Takes in that the upstream refused while so many requests were in flight there; returns
    /// whether it counts as failed from now on.
    pub fn refused(&mut self, in_flight: u32, now_ms: u64) -> bool {
        self.refusals += 1;
        self.lowered =
            Some(Lowered { slots: (in_flight / 2).max(1), until_ms: now_ms + LOWERED_FOR_MS });
        let fails = self.failures > 0 || self.refusals >= REFUSALS_TO_FAIL;
        fails && self.failed(now_ms)
    }

    /// Takes in that a call has ended that tells nothing.
    pub fn ended(&mut self) {
        self.probing = false;
    }
}
