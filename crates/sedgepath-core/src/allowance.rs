//! How much of each upstream this node may use.
//!
//! The border between the node's right to upstreams and their admission: the one says how much and
//! until when, the other never sends more or later.

use crate::key::UpstreamKey;

/// What a node may use of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The requests that the node may have in flight there.
    pub slots: u32,
    /// The connections that it may hold.
    pub connections: u32,
    /// The new connections that it may open in a second.
    pub new_connections_per_s: u32,
    /// The moment after which it may send nothing there, in milliseconds by its own clock.
    pub send_by_ms: u64,
}
