//! Which requests a VM still sends once it has been asked to stop.
//!
//! The end of the process cuts whatever is in flight. A non-idempotent request that was cut can't be
//! repeated, since its caller never learns whether it ran, and an idempotent one has kept its caller waiting
//! for nothing. So a stopping VM sends only what ends before its process does, whatever its upstream does, and
//! rejects the rest at once: it didn't run and can go to another VM. An expected time is no such bound.

/// How long a stopping VM accepts connections, in milliseconds: callers may use the addresses of a look-up
/// for 3 s, and other VMs name this one until they have heard of its stop.
const ACCEPT_MS: u64 = 3_100;

/// How long before the end of the grace period the process ends at the latest, in milliseconds.
const EXIT_MARGIN_MS: u64 = 150;

/// The time for writing the responses to the requests that the stop ends, in milliseconds.
const WRITE_MARGIN_MS: u64 = 350;

/// The divisor of a grace period that gives the most that both margins take of it: what is at work in its last
/// sixth may be ended, and the rest of that covers late timers.
const MARGIN_DIVISOR: u64 = 8;

/// The times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStop {
    /// When the stop began, in milliseconds.
    pub began_at_ms: u64,
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
        let margin_ms = (grace_ms / MARGIN_DIVISOR).min(EXIT_MARGIN_MS + WRITE_MARGIN_MS);
        let exit_margin_ms = margin_ms * EXIT_MARGIN_MS / (EXIT_MARGIN_MS + WRITE_MARGIN_MS);
        let ends_at_ms = now_ms + grace_ms - exit_margin_ms;
        let requests_end_at_ms = now_ms + grace_ms - margin_ms;
        let accepts_until_ms = requests_end_at_ms.min(now_ms + ACCEPT_MS);
        Self { began_at_ms: now_ms, accepts_until_ms, requests_end_at_ms, ends_at_ms }
    }

    /// Returns whether a request with a deadline in milliseconds ends in time, whatever its upstream does.
    pub fn is_in_time(self, deadline_at_ms: u64) -> bool {
        deadline_at_ms <= self.requests_end_at_ms
    }

    /// Returns whether a request that has been sent may be sent again, if that is expected to take a time in
    /// milliseconds: a hedge, or a repeat of a request from before the stop.
    ///
    /// The caller has waited for this VM, which has no other end for it than 502. A sending that takes longer than
    /// expected leads to no worse one.
    pub fn may_send_again(self, expected_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_add(expected_ms) <= self.requests_end_at_ms
    }
}
