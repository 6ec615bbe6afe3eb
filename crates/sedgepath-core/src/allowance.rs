//! How much of each upstream this node may use.
//!
//! The border between the node's right to upstreams and their admission: the one says how much and
//! until when, the other never sends more or later.

use crate::catalogue::Catalogue;
use crate::key::{DomainKey, UpstreamKey, VmKey};
use crate::ownership;

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

/// Returns whole upstreams of a failure domain to their owner, without end.
pub fn whole(
    vm: VmKey,
    domain: DomainKey,
    serving: &[VmKey],
    catalogue: &Catalogue,
) -> Vec<Allowance> {
    let mut allowances: Vec<_> = catalogue
        .upstreams
        .iter()
        .filter(|(_, entry)| entry.domain == domain)
        .filter(|(upstream, _)| ownership::owner(u64::from(upstream.0), serving) == Some(vm))
        .map(|(upstream, entry)| Allowance {
            upstream: *upstream,
            slots: entry.slots,
            connections: entry.connections,
            new_connections_per_s: entry.new_connections_per_s,
            send_by_ms: u64::MAX,
        })
        .collect();
    allowances.sort_unstable_by_key(|allowance| allowance.upstream);
    allowances
}
