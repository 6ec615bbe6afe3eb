//! A planned stop of this node.
//!
//! The node says at once that it is leaving, so that no look-up names it and no owner is chosen
//! among its upstreams any more. Callers whose cached look-up still names it are served until the
//! last such answer has lapsed; what is in flight then ends by itself, and only after that the node
//! stops. A second request to stop ends it at once.

/// The times of a planned stop.
#[derive(Debug, Default)]
pub struct PlannedStop {
    serve_until_ms: Option<u64>,
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

    /// Whether the node may stop, given the requests and dispatches that it still has in flight.
    pub fn may_end(&self, now_ms: u64, in_flight: usize) -> bool {
        in_flight == 0 && self.serve_until_ms.is_some_and(|until_ms| until_ms <= now_ms)
    }
}
