//! The VMs of the region that a VM tells of the load at upstreams.

use std::cmp::Reverse;
use std::net::SocketAddr;

use super::heartbeat::key_of_address;
use super::{VmDescriptor, VmTable};
use crate::hash::Map;
use crate::key::VmKey;

/// The most VMs that one VM tells of its load, and that it introduces itself to.
pub const MAX_LOAD_RECEIVERS: usize = 8;

/// The most VMs of each other failure domain of the region that a VM introduces itself to: about as many
/// as look-ups of a region's callers name.
const MAX_INTRODUCTIONS_PER_DOMAIN: usize = 4;

impl VmTable {
    /// Returns the key for rendezvous hashing of the VM with a peer address.
    pub fn key_of(peer_address: SocketAddr) -> VmKey {
        key_of_address(peer_address)
    }

    /// Returns whether a VM is known to be in this VM's region.
    pub fn is_in_own_region(&self, address: SocketAddr) -> bool {
        let locality = self.known_vms.locality(address);
        locality.is_some_and(|locality| locality.region == self.own.descriptor.region)
    }

    /// Returns which of the active VMs are told of this VM's load: all, or those that follow this one in
    /// the order of keys, so that each active VM is told by as many others.
    pub fn load_receivers(
        &self,
        active: impl Iterator<Item = (VmKey, SocketAddr)>,
    ) -> Vec<SocketAddr> {
        let own = self.key().0;
        let distances = active.map(|(key, address)| (key.0.wrapping_sub(own), address));
        let mut receivers: Vec<_> = distances.collect();
        receivers.sort_unstable();
        receivers.truncate(MAX_LOAD_RECEIVERS);
        receivers.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns VMs of the region that may be active, apart from those that are known to be: the most
    /// capable ones of each other failure domain, whose load isn't known, and the most loaded ones of this
    /// VM's own.
    pub fn load_introductions(
        &self,
        is_active: &dyn Fn(SocketAddr) -> bool,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let mut chosen = self.most_capable_elsewhere(now_ms);
        let mut loaded: Vec<_> = self
            .live_domain_peers(now_ms)
            .filter(|peer| peer.state.load.percent() > 0)
            .map(|peer| (Reverse(peer.state.load.percent()), peer.descriptor.peer_address))
            .collect();
        loaded.sort_unstable();
        chosen.extend(loaded.into_iter().map(|(_, address)| address));
        chosen.retain(|address| !is_active(*address));
        chosen.truncate(MAX_LOAD_RECEIVERS);
        chosen
    }

    fn most_capable_elsewhere(&self, now_ms: u64) -> Vec<SocketAddr> {
        let own = &self.own.descriptor;
        let is_candidate = |vm: &VmDescriptor| vm.region == own.region && vm.domain != own.domain;
        let serving = self.serving_where(now_ms, &is_candidate).into_iter().map(|vm| vm.descriptor);
        let mut candidates: Vec<_> = serving.collect();
        candidates.sort_by_key(|vm| (Reverse(vm.capacity_per_s), vm.peer_address));
        let mut count_by_domain: Map<&str, usize> = Map::default();
        candidates.retain(|vm| {
            let count = count_by_domain.entry(&vm.domain).or_default();
            *count += 1;
            *count <= MAX_INTRODUCTIONS_PER_DOMAIN
        });
        candidates.into_iter().map(|vm| vm.peer_address).collect()
    }
}
