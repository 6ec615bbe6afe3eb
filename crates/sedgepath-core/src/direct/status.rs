//! The state that an entry VM reports to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Steering;

/// The state of a VM, as reported to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM's name.
    pub name: Box<str>,
    /// The VM's failure domain.
    pub domain: Box<str>,
    /// The VM's region.
    pub region: Box<str>,
    /// Whether the VM knows a configuration and an upstream.
    pub can_serve: bool,
    /// Whether the VM is about to stop.
    pub leaving: bool,
    /// The version of the active configuration; 0 before there is one.
    pub configuration_version: u64,
    /// The evacuated failure domains, sorted by name.
    pub evacuated: Vec<Box<str>>,
    /// The number of VMs that the limits for all VMs are divided by, including this one.
    #[serde(rename = "sharing")]
    pub sharing_vm_count: usize,
    /// The services that have upstreams, by name.
    pub services: BTreeMap<Box<str>, ServiceStatus>,
    /// The other known VMs, sorted by name.
    #[serde(rename = "others")]
    pub other_vms: Vec<OtherVmStatus>,
}

/// A VM's view of a service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The number of upstreams.
    pub upstreams: usize,
    /// The number of upstreams that are about to stop.
    pub leaving: usize,
    /// The number of cold upstreams.
    pub cold: usize,
    /// The number of upstreams ejected after failures or because they are unreachable.
    #[serde(rename = "left_out")]
    pub ejected: usize,
    /// The sum of the upstreams' slots.
    pub slots: u32,
    /// The number of this VM's requests in flight.
    pub in_flight: u32,
    /// The estimated load of all upstreams, in requests.
    pub load: f64,
    /// The number of callers' requests in the last window of the retry budget.
    pub requests: u32,
    /// The number of retries in the last window of the retry budget.
    pub repeats: u32,
}

/// A VM's view of another VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherVmStatus {
    /// The other VM's name, or the text of its address if only that is known.
    pub name: Box<str>,
    /// The other VM's failure domain.
    pub domain: Box<str>,
    /// The time since the VM's last heartbeat, in milliseconds; 0 for a VM known from summaries only.
    pub silent_ms: u64,
    /// Whether the VM reports that it accepts new requests.
    pub ready: bool,
    /// Whether the VM is about to stop.
    pub leaving: bool,
    /// Whether the VM reports that the store responds to it.
    #[serde(rename = "has_store")]
    pub store_reachable: bool,
}

impl Steering {
    /// Returns the VM's state for operators.
    pub fn status(&self, now_ms: u64) -> VmStatus {
        let location = self.location();
        let mut evacuated: Vec<_> = self.evacuated_domains().iter().cloned().collect();
        evacuated.sort_unstable();
        let mut services: BTreeMap<Box<str>, ServiceStatus> = BTreeMap::new();
        for (_, upstream) in self.upstreams().iter() {
            let service = services.entry(upstream.entry.service.clone()).or_default();
            service.upstreams += 1;
            service.leaving += usize::from(upstream.entry.leaving);
            service.cold += usize::from(upstream.is_cold(now_ms));
            service.ejected += usize::from(now_ms < upstream.ejected_until_ms);
            service.slots += upstream.entry.slots;
            service.in_flight += upstream.in_flight;
            service.load += upstream.load(now_ms);
        }
        for (name, service) in &mut services {
            (service.requests, service.repeats) = self.budget().counts(name, now_ms);
        }
        VmStatus {
            name: location.name.clone(),
            domain: location.domain.clone(),
            region: location.region.clone(),
            can_serve: self.can_serve(),
            leaving: self.vms().is_leaving(),
            configuration_version: self
                .configuration()
                .map_or(0, |configuration| configuration.version),
            evacuated,
            sharing_vm_count: self.vms().sharing_vm_count(now_ms),
            services,
            other_vms: self.vms().other_vms(now_ms),
        }
    }
}
