//! Which VMs reach upstreams, and which of them serves a request for a VM that reaches none.

use super::{VmDescriptor, VmTable};
use crate::hash::Set;
use crate::weighted::choose_weighted;
use std::net::SocketAddr;

/// A VM that serves.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServingVm<'a> {
    pub(super) descriptor: &'a VmDescriptor,
    /// Whether it says that it reaches no upstream.
    pub(super) cut_off: bool,
}

impl VmTable {
    /// Sets whether this VM reaches no upstream.
    pub fn set_cut_off(&mut self, cut_off: bool) {
        self.own.state.load = self.own.state.load.with_cut_off(cut_off);
    }

    /// Returns whether this VM reaches no upstream.
    pub fn is_cut_off(&self) -> bool {
        self.own.state.load.is_cut_off()
    }

    /// Returns the VMs that serve and reach upstreams, or all that serve if none does, sorted by
    /// address.
    pub fn sending_vms(&self, now_ms: u64) -> Vec<&VmDescriptor> {
        let serving = self.serving_where(now_ms, &|_| true);
        let some_reach = serving.iter().any(|vm| !vm.cut_off);
        let sending = serving.into_iter().filter(|vm| !vm.cut_off || !some_reach);
        sending.map(|vm| vm.descriptor).collect()
    }

    /// Returns whether a VM that serves, this one among them, reaches upstreams.
    pub(super) fn some_vm_reaches_upstreams(&self, now_ms: u64) -> bool {
        let own_reaches = !self.own.state.leaving && !self.is_cut_off();
        own_reaches || self.serving_where(now_ms, &|_| true).iter().any(|vm| !vm.cut_off)
    }

    /// Chooses another VM that serves and reaches upstreams: one of this VM's failure domain if there is
    /// one, else of its region, else any one, at random by the capacity that is free.
    pub fn choose_neighbour(
        &self,
        may_serve: &dyn Fn(&VmDescriptor) -> bool,
        random: u64,
        now_ms: u64,
    ) -> Option<&VmDescriptor> {
        let own = &self.own.descriptor;
        let candidates: Vec<&VmDescriptor> = self
            .serving_where(now_ms, &|vm| vm.peer_address != own.peer_address && may_serve(vm))
            .into_iter()
            .filter(|vm| !vm.cut_off)
            .map(|vm| vm.descriptor)
            .collect();
        let in_domain = |vm: &&VmDescriptor| vm.domain == own.domain;
        let in_region = |vm: &&VmDescriptor| vm.region == own.region;
        let nearest: Vec<&VmDescriptor> = if candidates.iter().any(in_domain) {
            candidates.into_iter().filter(in_domain).collect()
        } else if candidates.iter().any(in_region) {
            candidates.into_iter().filter(in_region).collect()
        } else {
            candidates
        };
        let by_free: Vec<_> = nearest.into_iter().map(|vm| (vm, self.free_per_s(vm))).collect();
        choose_weighted(&by_free, random)
    }

    /// Returns the number of typical requests that a VM can serve in a second beyond its load, at least
    /// one.
    fn free_per_s(&self, vm: &VmDescriptor) -> u64 {
        let free_percent = 100_u64.saturating_sub(self.load_percent(vm).into());
        (u64::from(vm.capacity_per_s) * free_percent / 100).max(1)
    }

    /// Returns the VMs that serve and match, including this one unless it is leaving, sorted by address.
    pub(super) fn serving_where(
        &self,
        now_ms: u64,
        matches: &dyn Fn(&VmDescriptor) -> bool,
    ) -> Vec<ServingVm<'_>> {
        let heard = self.live_peers(now_ms).filter(|peer| peer.state.ready);
        let heard = heard.map(|peer| ServingVm {
            descriptor: &peer.descriptor,
            cut_off: peer.state.load.is_cut_off(),
        });
        // A VM's own heartbeat takes precedence over summaries that list it.
        let leaving: Set<SocketAddr> = self
            .peers
            .values()
            .filter(|peer| peer.state.leaving && !self.is_silent(peer, now_ms))
            .map(|peer| peer.descriptor.peer_address)
            .collect();
        let listed = self.remote_domains.live_vms(self.timing, now_ms);
        let listed = listed.filter(|listed| listed.member.ready);
        let listed = listed.map(|listed| ServingVm {
            descriptor: &listed.descriptor,
            // A VM that reaches no upstream is listed as not ready.
            cut_off: false,
        });
        let listed = listed.filter(|vm| !leaving.contains(&vm.descriptor.peer_address));
        let own = ServingVm { descriptor: &self.own.descriptor, cut_off: self.is_cut_off() };
        let own = (!self.own.state.leaving).then_some(own);
        let all = heard.chain(listed).chain(own);
        let mut serving: Vec<_> = all.filter(|vm| matches(vm.descriptor)).collect();
        serving.sort_by_key(|vm| vm.descriptor.peer_address);
        serving.dedup_by_key(|vm| vm.descriptor.peer_address);
        serving
    }
}
