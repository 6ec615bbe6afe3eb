//! Which VMs serve, and which of them a look-up names.

use std::net::SocketAddr;

use super::naming::{self, MIN_NAMED, NamingCandidate};
use super::{VmDescriptor, VmTable};
use crate::hash::Set;

/// The most addresses in the result of a look-up.
const MAX_LOOK_UP_ADDRESSES: usize = 64;

impl VmTable {
    /// Returns the addresses of entry VMs for a caller in a failure domain and region.
    ///
    /// Only VMs of the caller's failure domain are returned if there are at least [`MIN_NAMED`], which
    /// avoids the cost of traffic between domains, and of these the ones that [`naming`] chooses;
    /// otherwise those of its region, or all if there are none. The result is empty only if this VM is
    /// leaving and knows no other that serves.
    pub fn look_up(&self, domain: &str, region: &str, now_ms: u64) -> Vec<SocketAddr> {
        let in_domain = self.serving_where(now_ms, &|vm: &VmDescriptor| &*vm.domain == domain);
        let mut named: Vec<SocketAddr> = if in_domain.len() >= MIN_NAMED {
            naming::choose_named(
                in_domain.into_iter().map(|vm| self.naming_candidate(vm)).collect(),
            )
        } else {
            let in_region = self.serving_where(now_ms, &|vm: &VmDescriptor| &*vm.region == region);
            let serving = if in_region.is_empty() {
                self.serving_where(now_ms, &|_| true)
            } else {
                in_region
            };
            serving.into_iter().map(|vm| vm.caller_address).collect()
        };
        named.truncate(MAX_LOOK_UP_ADDRESSES);
        named
    }

    /// Returns the VMs that serve, including this one unless it is leaving, sorted by address.
    pub fn serving_vms(&self, now_ms: u64) -> Vec<&VmDescriptor> {
        self.serving_where(now_ms, &|_| true)
    }

    fn serving_where(
        &self,
        now_ms: u64,
        matches: &dyn Fn(&VmDescriptor) -> bool,
    ) -> Vec<&VmDescriptor> {
        let heard = self.live_peers(now_ms).filter(|peer| peer.state.ready);
        let heard = heard.map(|peer| &peer.descriptor);
        // A VM's own heartbeat takes precedence over summaries that list it.
        let leaving: Set<SocketAddr> = self
            .peers
            .values()
            .filter(|peer| peer.state.leaving && !self.is_silent(peer, now_ms))
            .map(|peer| peer.descriptor.peer_address)
            .collect();
        let listed = self.remote_domains.live_vms(self.timing, now_ms);
        let listed = listed.filter(|listed| listed.member.ready).map(|listed| &listed.descriptor);
        let listed = listed.filter(|descriptor| !leaving.contains(&descriptor.peer_address));
        let own = (!self.own.state.leaving).then_some(&self.own.descriptor);
        let all = heard.chain(listed).chain(own);
        let mut descriptors: Vec<_> = all.filter(|descriptor| matches(descriptor)).collect();
        descriptors.sort_by_key(|descriptor| descriptor.peer_address);
        descriptors.dedup_by(|one, other| one.peer_address == other.peer_address);
        descriptors
    }

    fn naming_candidate(&self, vm: &VmDescriptor) -> NamingCandidate {
        NamingCandidate {
            address: vm.caller_address,
            capacity_per_s: vm.capacity_per_s,
            load_percent: self.load_percent(vm),
        }
    }

    /// Returns the load of a VM; 0 for those of other failure domains, which don't tell it.
    fn load_percent(&self, descriptor: &VmDescriptor) -> u8 {
        if descriptor.peer_address == self.own.descriptor.peer_address {
            return self.own.state.load_percent;
        }
        self.peers.get(&descriptor.name).map_or(0, |peer| peer.state.load_percent)
    }
}
