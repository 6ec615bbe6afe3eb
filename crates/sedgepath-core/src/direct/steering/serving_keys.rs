//! The keys of the VMs that send to upstreams, by failure domain and region.

use crate::direct::vms::VmTable;
use crate::hash::Map;
use crate::key::VmKey;

/// What a VM that is joining knows of the others.
#[derive(Debug, PartialEq)]
struct JoiningView {
    /// The VMs of its failure domain that run or may be starting, with itself.
    domain: Vec<VmKey>,
    /// The number of VMs that it knows of or assumes, with itself.
    max_vms: usize,
}

/// The keys of the VMs that serve and reach upstreams at a time.
///
/// A key is a hash of the VM's name, so the keys are computed once for all upstreams that VMs share.
#[derive(Debug, PartialEq)]
pub(super) struct ServingKeys {
    /// Whether all VMs that this one knows of serve.
    pub(super) hears_all: bool,
    /// What this VM knows while it is joining, so that others may serve which it hasn't heard yet.
    joining: Option<JoiningView>,
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
        let hears_all = vms.hears_all_known(now_ms);
        let joining = (!hears_all && vms.is_joining(now_ms)).then(|| JoiningView {
            domain: vms.running_or_starting_in_domain(now_ms),
            max_vms: vms.sharing_vm_count(now_ms),
        });
        Self { hears_all, joining, by_domain, by_region, all }
    }

    /// Returns how many VMs there are at the most, while this one is joining and can't tell which of them serve.
    pub(super) fn max_vms_while_joining(&self) -> Option<usize> {
        self.joining.as_ref().map(|joining| joining.max_vms)
    }

    /// Returns the VMs one of which sends to an upstream of a failure domain and region while it is cold.
    ///
    /// While this VM is joining, it knows the VMs of its own failure domain by the store, but those of others
    /// only once it has heard them. It leaves their upstreams to them.
    pub(super) fn senders_to_cold(&self, domain: &str, region: &str, own_domain: &str) -> &[VmKey] {
        match &self.joining {
            Some(joining) if *domain == *own_domain => &joining.domain,
            Some(_) => &[],
            None => self.nearest_to(domain, region),
        }
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
