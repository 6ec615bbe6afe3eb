//! The keys of the VMs that send to upstreams, by failure domain and region.

use crate::direct::vms::VmTable;
use crate::hash::Map;
use crate::key::VmKey;

/// The keys of the VMs that serve and reach upstreams at a time.
///
/// A key is a hash of the VM's name, so the keys are computed once for all upstreams that VMs share.
#[derive(Debug, PartialEq)]
pub(super) struct ServingKeys {
    /// Whether all VMs that this one knows of serve.
    pub(super) hears_all: bool,
    by_domain: Map<Box<str>, Vec<VmKey>>,
    by_region: Map<Box<str>, Vec<VmKey>>,
    all: Vec<VmKey>,
}

impl ServingKeys {
    /// Returns the keys of the VMs that serve and reach upstreams now.
    pub(super) fn new(vms: &VmTable, now_ms: u64) -> Self {
        let mut by_domain: Map<Box<str>, Vec<VmKey>> = Map::default();
        let mut by_region: Map<Box<str>, Vec<VmKey>> = Map::default();
        let mut all = Vec::new();
        for descriptor in vms.sending_vms(now_ms) {
            let key = descriptor.key();
            by_domain.entry(descriptor.domain.clone()).or_default().push(key);
            by_region.entry(descriptor.region.clone()).or_default().push(key);
            all.push(key);
        }
        Self { hears_all: vms.hears_all_known(now_ms), by_domain, by_region, all }
    }

    /// Returns the VMs of a failure domain; if none serves there, those of its region, or all.
    pub(super) fn nearest_to(&self, domain: &str, region: &str) -> &[VmKey] {
        self.by_domain.get(domain).map_or_else(|| self.of_region(region), Vec::as_slice)
    }

    /// Returns the VMs of a region, or all VMs if none serves there.
    pub(super) fn of_region(&self, region: &str) -> &[VmKey] {
        self.by_region.get(region).unwrap_or(&self.all)
    }
}
