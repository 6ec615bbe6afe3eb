//! How many VMs there are, for the limits that all of them share.

use std::net::SocketAddr;

use super::VmTable;
use super::heartbeat::key_of_address;
use crate::key::VmKey;

impl VmTable {
    /// Returns the number of VMs that divide the limits for all VMs, including this one.
    ///
    /// VMs known only by their addresses are counted, so that a VM that has just started doesn't use
    /// the whole limit. A VM that is no longer heard keeps its share, since it may still serve on the
    /// other side of a partition.
    pub fn sharing_vm_count(&self, now_ms: u64) -> usize {
        1 + self.known_vms.max_heard().max(self.known_vms.count(now_ms))
    }

    /// Returns the largest number of VMs ever known at a time, heard or not, including this one and those
    /// that are assumed in failure domains from which nothing has been heard yet.
    ///
    /// This may count VMs that no longer exist but are still in the store, so it suits limits where a
    /// share that is too small does little harm.
    pub fn max_known_vm_count(&self, now_ms: u64) -> usize {
        let assumed = self.known_vms.count_assumed(|_| true, now_ms);
        1 + self.known_vms.max_heard().max(self.known_vms.max_known() + assumed)
    }

    /// Returns the number of VMs of a region that this one knows of and hasn't forgotten, heard or not,
    /// including this one.
    pub fn known_in_region(&self, region: &str, now_ms: u64) -> usize {
        let own = usize::from(*self.own.descriptor.region == *region);
        own + self.known_vms.count_in_region(region, now_ms)
    }

    /// Returns whether all VMs that this one knows of, and hasn't forgotten, serve.
    pub fn hears_all_known(&self, now_ms: u64) -> bool {
        self.serving_vms(now_ms).len() > self.known_vms.count(now_ms)
    }

    /// Returns the VMs of this VM's failure domain that run or are about to start, with itself. VMs that start
    /// together thus agree before they are ready and have heard each other.
    pub fn running_or_starting_in_domain(&self, now_ms: u64) -> Vec<VmKey> {
        let domain = &self.own.descriptor.domain;
        let vms = self.running_or_starting(|other, _| *other == **domain, now_ms);
        vms.into_iter().map(|(key, _)| key).collect()
    }

    /// As [`running_or_starting_in_domain`](Self::running_or_starting_in_domain) for a region, with their peer
    /// addresses, sorted by address.
    pub fn running_or_starting_in_region(
        &self,
        region: &str,
        now_ms: u64,
    ) -> Vec<(VmKey, SocketAddr)> {
        self.running_or_starting(|_, other| *other == *region, now_ms)
    }

    /// Returns the VMs that run or are about to start and whose failure domain and region match, with their peer
    /// addresses, sorted by address.
    fn running_or_starting(
        &self,
        matches: impl Fn(&str, &str) -> bool,
        now_ms: u64,
    ) -> Vec<(VmKey, SocketAddr)> {
        let heard = self.live_peers(now_ms).map(|peer| &peer.descriptor);
        let listed = self.remote_domains.live_vms(self.timing, now_ms).map(|vm| &vm.descriptor);
        let own = (!self.own.state.leaving).then_some(&self.own.descriptor);
        let running = heard.chain(listed).chain(own);
        let running = running.filter(|vm| matches(&vm.domain, &vm.region));
        let starting = self.known_vms.starting(now_ms);
        let starting = starting.filter(|(_, locality)| matches(&locality.domain, &locality.region));
        let mut addresses: Vec<_> =
            running.map(|vm| vm.peer_address).chain(starting.map(|(address, _)| address)).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.into_iter().map(|address| (key_of_address(address), address)).collect()
    }
}
