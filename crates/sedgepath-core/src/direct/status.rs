//! What a VM that sends to upstreams itself says of its state, for operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Steering;

/// The state of a VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    /// Its name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Its region.
    pub region: Box<str>,
    /// Whether it knows enough to serve.
    pub can_serve: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The version of the configuration in force; 0 before there is one.
    pub configuration_version: u64,
    /// The failure domains that are being emptied, in order.
    pub evacuated: Vec<Box<str>>,
    /// The VMs among which it splits what holds for all of them, itself among them.
    pub sharing_vm_count: usize,
    /// The services by their names.
    pub services: BTreeMap<Box<str>, ServiceStatus>,
    /// The other VMs, in the order of their names.
    pub other_vms: Vec<OtherVmStatus>,
}

/// What a VM knows of a service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Its upstreams.
    pub upstreams: usize,
    /// Those that are about to stop.
    pub leaving: usize,
    /// Those that are cold.
    pub cold: usize,
    /// Those that are left out because they failed or can't be reached.
    pub ejected: usize,
    /// The requests that all of them run at a time.
    pub slots: u32,
    /// The requests of this VM that they have not answered.
    pub in_flight: u32,
    /// The load of all of them, by their last reports and what was sent since.
    pub load: f64,
    /// The callers' requests in the window of the retry budget.
    pub requests: u32,
    /// The repeats in that window.
    pub repeats: u32,
}

/// What a VM knows of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherVmStatus {
    /// Its name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// The age of its last heartbeat, in milliseconds.
    pub silent_ms: u64,
    /// Whether it serves, as it says.
    pub ready: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether the store answers it.
    pub store_reachable: bool,
}

impl Steering {
    /// Returns the VM's state.
    pub fn status(&self, now_ms: u64) -> VmStatus {
        let place = self.location();
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
            name: place.name.clone(),
            domain: place.domain.clone(),
            region: place.region.clone(),
            can_serve: self.can_serve(),
            leaving: self.vms().is_leaving(),
            configuration_version: self.configuration().map_or(0, |in_force| in_force.version),
            evacuated,
            sharing_vm_count: self.vms().sharing_vm_count(now_ms),
            services,
            other_vms: self.vms().other_vms(now_ms),
        }
    }
}
