//! What a VM still begins once it has been asked to stop.
//!
//! The end of the process cuts whatever is in flight, and a non-idempotent request that was cut can't be
//! repeated: its caller never learns whether it ran. So a stopping VM sends on only what ends before its
//! process does. It rejects the rest, which didn't run and can go to another VM.

use super::attempts::RequestState;

/// How long a stopping VM accepts connections, in milliseconds: callers may use the addresses of a look-up
/// for 3 s, and other VMs name this one until they have heard of its stop.
const ACCEPT_MS: u64 = 3_100;

/// How long before the end of the grace period the process ends at the latest, in milliseconds.
const EXIT_MARGIN_MS: u64 = 150;

/// The time for writing those responses, in milliseconds.
const WRITE_MARGIN_MS: u64 = 350;

/// The multiple of its expected time that an idempotent request must have left.
const EXPECTED_TIME_FACTOR: u64 = 2;

/// The share of the service's slowest recent response time that such a request must have left, in percent.
const SLOWEST_TIME_PERCENT: u64 = 125;

/// The times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStop {
    /// Until when connections are accepted, in milliseconds.
    pub accepts_until_ms: u64,
    /// When the requests still in flight are ended by responses of this VM, in milliseconds.
    pub requests_end_at_ms: u64,
    /// When the process ends at the latest, in milliseconds.
    pub ends_at_ms: u64,
}

impl PlannedStop {
    /// Creates the times of a stop that begins now and whose process is killed after a grace period in
    /// milliseconds.
    pub fn new(now_ms: u64, grace_ms: u64) -> Self {
        let ends_at_ms = now_ms + grace_ms.saturating_sub(EXIT_MARGIN_MS);
        let requests_end_at_ms = ends_at_ms.saturating_sub(WRITE_MARGIN_MS).max(now_ms);
        let accepts_until_ms = requests_end_at_ms.min(now_ms + ACCEPT_MS);
        Self { accepts_until_ms, requests_end_at_ms, ends_at_ms }
    }

    /// Returns whether a request may be sent now: its deadline is in time, whatever its upstream does, or its
    /// caller may repeat it and it is expected in time. `expected_ms` is the time that it is expected to take,
    /// `slowest_ms` that of its service's slowest recent response.
    pub fn may_send_now(
        self,
        request: &RequestState,
        expected_ms: u64,
        slowest_ms: u64,
        now_ms: u64,
    ) -> bool {
        let needed_ms = expected_ms
            .saturating_mul(EXPECTED_TIME_FACTOR)
            .max(slowest_ms.saturating_mul(SLOWEST_TIME_PERCENT) / 100);
        let is_expected_in_time = now_ms.saturating_add(needed_ms) <= self.requests_end_at_ms;
        request.deadline_at_ms <= self.requests_end_at_ms
            || (request.route.kind.may_retry() && is_expected_in_time)
    }
}
