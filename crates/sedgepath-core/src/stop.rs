//! A planned stop of this node.
//!
//! The node says at once that it is leaving, so that no look-up names it and no owner is chosen
//! among its upstreams any more. Callers whose cached look-up still names it are served until the
//! last such answer has lapsed. Then it refuses new work, which proves that it was not run, lets what
//! is in flight end by itself, and stops after a last while in which nothing was in flight: a
//! dispatch that crosses the end of the process would end unknown. A second request to stop ends it
//! at once.

use crate::request::{Rejection, RejectionReason};

/// The answer to a dispatch that comes too late; another owner takes over meanwhile.
pub const REFUSAL: Rejection =
    Rejection { reason: RejectionReason::NotReady, retry_after_ms: 1_000 };

/// The time of refusing new work with nothing in flight, in milliseconds.
const LAST_WHILE_MS: u64 = 1_000;

/// The times of a planned stop.
#[derive(Debug, Default)]
pub struct PlannedStop {
    serve_until_ms: Option<u64>,
    idle_since_ms: Option<u64>,
}

impl PlannedStop {
    /// Begins the stop; returns false if it has begun before.
    ///
    /// `look_up_valid_ms` is how long an answer that names this node may be used, and `heard_by_ms`
    /// the time by which every reachable node has heard that it is leaving.
    pub fn begin(&mut self, heard_by_ms: u64, look_up_valid_ms: u64) -> bool {
        if self.serve_until_ms.is_some() {
            return false;
        }
        self.serve_until_ms = Some(heard_by_ms + look_up_valid_ms);
        true
    }

    /// Whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.serve_until_ms.is_some()
    }

    /// Whether the node refuses new work.
    pub fn refuses(&self, now_ms: u64) -> bool {
        self.serve_until_ms.is_some_and(|until_ms| until_ms <= now_ms)
    }

    /// Whether the node may stop, given the requests and dispatches that it still has in flight; to
    /// be asked each tick.
    pub fn may_end(&mut self, now_ms: u64, in_flight: usize) -> bool {
        if in_flight > 0 || !self.refuses(now_ms) {
            self.idle_since_ms = None;
            return false;
        }
        let since_ms = *self.idle_since_ms.get_or_insert(now_ms);
        since_ms + LAST_WHILE_MS <= now_ms
    }
}
