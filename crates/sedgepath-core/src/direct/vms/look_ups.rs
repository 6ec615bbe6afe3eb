//! Which VMs serve, and which of them a look-up names.

use std::net::SocketAddr;

use super::naming::{self, MIN_NAMED, NamingCandidate};
use super::{VmDescriptor, VmTable};

/// The most addresses in the result of a look-up.
const MAX_LOOK_UP_ADDRESSES: usize = 64;

impl VmTable {
    /// Returns the addresses of entry VMs for a caller in a failure domain and region.
    ///
    /// Only VMs of the caller's failure domain are returned if there are at least [`MIN_NAMED`], which
    /// avoids the cost of traffic between domains, and of these the ones that [`naming`] chooses;
    /// otherwise those of its region, or all if there are none. VMs that reach
    /// no upstream are left out if another VM reaches some. The result is empty only if this VM is
    /// leaving and knows no other that serves.
    pub fn look_up(&self, domain: &str, region: &str, now_ms: u64) -> Vec<SocketAddr> {
        let some_reach = self.some_vm_reaches_upstreams(now_ms);
        let named_where = |matches: &dyn Fn(&VmDescriptor) -> bool| -> Vec<&VmDescriptor> {
            let serving = self.serving_where(now_ms, matches).into_iter();
            serving.filter(|vm| !vm.cut_off || !some_reach).map(|vm| vm.descriptor).collect()
        };
        let in_domain = named_where(&|vm| &*vm.domain == domain);
        let mut named: Vec<SocketAddr> = if in_domain.len() >= MIN_NAMED {
            naming::choose_named(
                in_domain.into_iter().map(|vm| self.naming_candidate(vm)).collect(),
            )
        } else {
            let in_region = named_where(&|vm| &*vm.region == region);
            let serving = if in_region.is_empty() { named_where(&|_| true) } else { in_region };
            serving.into_iter().map(|vm| vm.caller_address).collect()
        };
        named.truncate(MAX_LOOK_UP_ADDRESSES);
        named
    }

    /// Returns how many VMs of a failure domain look-ups name for its callers.
    pub fn named_in_domain(&self, domain: &str, region: &str, now_ms: u64) -> usize {
        let in_domain = self.serving_where(now_ms, &|vm| &*vm.domain == domain).len();
        self.look_up(domain, region, now_ms).len().min(in_domain)
    }

    /// Returns the VMs that serve, including this one unless it is leaving, sorted by address.
    pub fn serving_vms(&self, now_ms: u64) -> Vec<&VmDescriptor> {
        self.serving_where(now_ms, &|_| true).into_iter().map(|vm| vm.descriptor).collect()
    }

    fn naming_candidate(&self, vm: &VmDescriptor) -> NamingCandidate {
        NamingCandidate {
            address: vm.caller_address,
            capacity_per_s: vm.capacity_per_s,
            load_percent: self.load_percent(vm),
        }
    }

    /// Returns the load of a VM; 0 for those of other failure domains, which don't tell it.
    pub(super) fn load_percent(&self, descriptor: &VmDescriptor) -> u8 {
        if descriptor.peer_address == self.own.descriptor.peer_address {
            return self.own.state.load.percent();
        }
        self.peers.get(&descriptor.name).map_or(0, |peer| peer.state.load.percent())
    }
}
