//! Back-off from an upstream that can't be reached or refuses requests.
//!
//! The back-off doubles with each failure; after it a single request probes the upstream. Without it,
//! an upstream that fails at once would attract every request, since it has the most free slots.

use super::interpolation::linear_rise;

/// The back-off after the first failure.
const INITIAL_BACKOFF_MS: u64 = 200;

/// The upper bound of the back-off.
const MAX_BACKOFF_MS: u64 = 20_000;

/// The consecutive refusals after which an upstream counts as failed.
const MAX_CONSECUTIVE_REFUSALS: u32 = 3;

/// How long the slots stay reduced after a refusal, before they rise again.
const REFUSAL_HOLD_MS: u64 = 500;

/// The time over which reduced slots rise linearly back to the full number.
const REFUSAL_RECOVERY_MS: u64 = 2_000;

/// The recent failures and refusals of an upstream.
#[derive(Debug, Default)]
pub struct Health {
    failures: u32,
    backoff_until_ms: u64,
    probing: bool,
    refusals: u32,
    reduced: Option<ReducedSlots>,
}

#[derive(Debug)]
struct ReducedSlots {
    slots: u32,
    until_ms: u64,
}

impl Health {
    /// Returns how many of `slots` may be used now.
    pub fn slots(&self, slots: u32, now_ms: u64) -> u32 {
        if self.failures > 0 {
            return if now_ms < self.backoff_until_ms { 0 } else { slots.min(1) };
        }
        match &self.reduced {
            Some(lowered) if lowered.slots < slots => {
                let elapsed_ms = now_ms.saturating_sub(lowered.until_ms);
                linear_rise(lowered.slots, slots, elapsed_ms, REFUSAL_RECOVERY_MS)
            }
            _ => slots,
        }
    }

    /// Returns whether one more request may be sent.
    pub fn may_send(&self, now_ms: u64) -> bool {
        self.failures == 0 || (now_ms >= self.backoff_until_ms && !self.probing)
    }

    /// Returns when the next request may probe the upstream, in milliseconds, if it is backed off.
    pub fn retry_at_ms(&self) -> Option<u64> {
        (self.failures > 0).then_some(self.backoff_until_ms)
    }

    /// Records that a request was sent; after a failure it is the probe.
    pub fn record_sent(&mut self) {
        self.probing = self.failures > 0;
    }

    /// Records a response, which ends the back-off.
    pub fn record_response(&mut self) {
        self.failures = 0;
        self.probing = false;
        self.refusals = 0;
    }

    /// Records that the upstream could not be reached; returns whether it was reachable before.
    pub fn record_failure(&mut self, now_ms: u64) -> bool {
        self.probing = false;
        // Requests in flight at the same time fail together and count as one failure.
        if now_ms < self.backoff_until_ms {
            return false;
        }
        let pause_ms = INITIAL_BACKOFF_MS << self.failures.min(16);
        self.backoff_until_ms = now_ms + pause_ms.min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.failures == 1
    }

    /// Records a refusal while `in_flight` requests were in flight; returns whether the upstream
    /// counts as failed from now on.
    pub fn record_refusal(&mut self, in_flight: u32, now_ms: u64) -> bool {
        self.refusals += 1;
        self.reduced = Some(ReducedSlots {
            slots: (in_flight / 2).max(1),
            until_ms: now_ms + REFUSAL_HOLD_MS,
        });
        let fails = self.failures > 0 || self.refusals >= MAX_CONSECUTIVE_REFUSALS;
        fails && self.record_failure(now_ms)
    }

    /// Records the end of a call that doesn't show whether the upstream is healthy.
    pub fn record_inconclusive(&mut self) {
        self.probing = false;
    }
}
