//! Back-off from an upstream that can't be reached or rejects requests.
//!
//! The back-off doubles with each failure; after it a single request probes the upstream. Without
//! it, an upstream that fails at once would attract every request, since it has the most free
//! slots.

use super::interpolation::linear_rise;

/// The back-off after the first failure, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 200;

/// The maximum back-off, in milliseconds.
const MAX_BACKOFF_MS: u64 = 20_000;

/// The number of consecutive rejections after which an upstream counts as failed.
const REJECTIONS_UNTIL_FAILURE: u32 = 3;

/// The time for which the slots stay reduced after a rejection before they rise again, in
/// milliseconds.
const REDUCTION_HOLD_MS: u64 = 500;

/// The time over which reduced slots rise linearly back to the full number, in milliseconds.
const REDUCTION_RECOVERY_MS: u64 = 2_000;

/// The recent failures and rejections of an upstream.
#[derive(Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    backoff_until_ms: u64,
    probing: bool,
    consecutive_rejections: u32,
    reduced: Option<ReducedSlots>,
}

#[derive(Debug)]
struct ReducedSlots {
    slots: u32,
    held_until_ms: u64,
}

impl Health {
    /// Returns how many of `slots` may be used now.
    pub fn slots(&self, slots: u32, now_ms: u64) -> u32 {
        if self.consecutive_failures > 0 {
            return if now_ms < self.backoff_until_ms { 0 } else { slots.min(1) };
        }
        match &self.reduced {
            Some(reduced) if reduced.slots < slots => {
                let elapsed_ms = now_ms.saturating_sub(reduced.held_until_ms);
                linear_rise(reduced.slots, slots, elapsed_ms, REDUCTION_RECOVERY_MS)
            }
            _ => slots,
        }
    }

    /// Returns whether one more request may be sent.
    pub fn may_send(&self, now_ms: u64) -> bool {
        self.consecutive_failures == 0 || (now_ms >= self.backoff_until_ms && !self.probing)
    }

    /// Returns when a request may probe the upstream, in milliseconds, if it is backed off.
    pub fn retry_at_ms(&self) -> Option<u64> {
        (self.consecutive_failures > 0).then_some(self.backoff_until_ms)
    }

    /// Records that a request was sent, which is the probe if the upstream has failed.
    pub fn record_sent(&mut self) {
        self.probing = self.consecutive_failures > 0;
    }

    /// Records a response, which ends the back-off.
    pub fn record_response(&mut self) {
        self.consecutive_failures = 0;
        self.probing = false;
        self.consecutive_rejections = 0;
    }

    /// Records that the upstream could not be reached; returns whether it was reachable before.
    pub fn record_failure(&mut self, now_ms: u64) -> bool {
        self.probing = false;
        // Requests in flight at the same time fail together and count as one failure.
        if now_ms < self.backoff_until_ms {
            return false;
        }
        let backoff_ms = INITIAL_BACKOFF_MS << self.consecutive_failures.min(16);
        self.backoff_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
        self.consecutive_failures += 1;
        self.consecutive_failures == 1
    }

    /// Records a rejection while `in_flight` requests were in flight; returns whether the upstream
    /// was reachable before and counts as failed from now on.
    pub fn record_rejection(&mut self, in_flight: u32, now_ms: u64) -> bool {
        self.consecutive_rejections += 1;
        self.reduced = Some(ReducedSlots {
            slots: (in_flight / 2).max(1),
            held_until_ms: now_ms + REDUCTION_HOLD_MS,
        });
        let counts_as_failure = self.consecutive_failures > 0
            || self.consecutive_rejections >= REJECTIONS_UNTIL_FAILURE;
        counts_as_failure && self.record_failure(now_ms)
    }

    /// Records the end of a call that doesn't show whether the upstream is healthy.
    pub fn record_inconclusive(&mut self) {
        self.probing = false;
    }
}
