//! Limits on this node's use of each upstream.
//!
//! The upstream lease computes the limits and when they expire; admission enforces them.

use crate::key::UpstreamKey;

/// The limits on a node's use of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// The upstream that the limits apply to.
    pub upstream: UpstreamKey,
    /// The maximum number of requests that the node may have in flight.
    pub slots: u32,
    /// The maximum number of connections that the node may hold.
    pub connections: u32,
    /// The maximum number of connections that the node may open per second.
    pub new_connections_per_s: u32,
    /// The time after which the node may send nothing to the upstream, in milliseconds by its own
    /// clock.
    pub send_by_ms: u64,
}
