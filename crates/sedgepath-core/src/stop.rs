//! The planned stop of a node.
//!
//! The node is marked as leaving at once, so that look-ups no longer name it and its upstreams get
//! other owners. It serves callers until the last look-up answer that names it has expired. Then it
//! rejects new work as not run, lets requests in flight end, and stops once none has been in flight
//! for `IDLE_BEFORE_EXIT_MS`: a dispatch that is received by an exiting process gets the outcome
//! unknown. A second request to stop ends the process at once.

use crate::request::{Rejection, RejectionReason};

/// The rejection of a dispatch that arrives at a stopping node. Another node takes its upstreams
/// over in the meantime.
pub const STOPPING_REJECTION: Rejection =
    Rejection { reason: RejectionReason::NotReady, retry_after_ms: 1_000 };

/// The minimum time without requests in flight before the process may end, in milliseconds.
const IDLE_BEFORE_EXIT_MS: u64 = 1_000;

/// The progress of a planned stop.
#[derive(Debug, Default)]
pub struct PlannedStop {
    serve_until_ms: Option<u64>,
    idle_since_ms: Option<u64>,
}

impl PlannedStop {
    /// Begins the stop; returns false if it had begun before.
    ///
    /// `known_by_ms` is the time by which every reachable node knows that this node is leaving, and
    /// `look_up_valid_ms` is how long a look-up answer is valid.
    pub fn start(&mut self, known_by_ms: u64, look_up_valid_ms: u64) -> bool {
        if self.serve_until_ms.is_some() {
            return false;
        }
        self.serve_until_ms = Some(known_by_ms + look_up_valid_ms);
        true
    }

    /// Returns whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.serve_until_ms.is_some()
    }

    /// Returns whether the node rejects new work.
    pub fn rejects_work(&self, now_ms: u64) -> bool {
        self.serve_until_ms.is_some_and(|serve_until_ms| serve_until_ms <= now_ms)
    }

    /// Returns whether the process may end, given the requests and dispatches in flight. Must be
    /// called on each tick.
    pub fn may_end(&mut self, now_ms: u64, in_flight: usize) -> bool {
        if in_flight > 0 || !self.rejects_work(now_ms) {
            self.idle_since_ms = None;
            return false;
        }
        let idle_since_ms = *self.idle_since_ms.get_or_insert(now_ms);
        idle_since_ms + IDLE_BEFORE_EXIT_MS <= now_ms
    }
}
