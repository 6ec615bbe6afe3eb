//! A node's view of the system: its configuration, the members and their load.

use std::net::SocketAddr;

use crate::catalogue::Catalogue;
use crate::identity::Identity;
use crate::key::{DomainKey, OriginKey, ServiceKey, UpstreamKey, VmKey};
use crate::membership::{self, Membership};
use crate::message::ServiceLoad;
use crate::rendezvous;
use crate::steering::CandidateDomain;

/// A VM that may use upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamOwner {
    /// The key of the VM.
    pub vm: VmKey,
    /// The address where the VM accepts frames.
    pub address: SocketAddr,
    /// The number of slots of the service's upstreams that the VM may use.
    pub slots: u32,
    /// The VM's last load report on the service.
    pub load: Option<ServiceLoad>,
}

/// A node's view of the system at one point in time.
#[derive(Debug, Clone, Copy)]
pub struct SystemView<'a> {
    /// The current time in milliseconds.
    pub now_ms: u64,
    /// The identity of this node.
    pub identity: &'a Identity,
    /// The configuration in force.
    pub catalogue: &'a Catalogue,
    /// The revision of the configuration; 0 if there is none yet.
    pub revision: u64,
    /// Whether the node may serve with this configuration.
    pub configuration_ready: bool,
    /// The other members.
    pub membership: &'a Membership,
    /// This node's own load by service.
    pub own_loads: &'a [ServiceLoad],
}

impl SystemView<'_> {
    /// Returns the state of failure domains for a service, with the configured shares of an origin
    /// group.
    pub fn candidates(
        &self,
        service: ServiceKey,
        origin: OriginKey,
        domains: &[DomainKey],
    ) -> Vec<CandidateDomain> {
        let shares = self.catalogue.shares(service, origin).unwrap_or_default();
        let share_of = |domain: DomainKey| {
            shares.iter().find(|share| share.0 == domain).map_or(0.0, |share| share.1)
        };
        domains.iter().map(|domain| self.candidate(service, *domain, share_of(*domain))).collect()
    }

    fn candidate(&self, service: ServiceKey, domain: DomainKey, share: f64) -> CandidateDomain {
        let serving_vms = self.serving_vms_in(domain);
        let mut candidate = CandidateDomain {
            domain,
            share,
            slots: 0,
            in_flight: 0,
            has_report: false,
            report_age_ms: 0,
            declared_slots: self
                .upstreams_in(domain, service)
                .map(|upstream| self.catalogue.upstreams[&upstream].slots)
                .sum(),
            accepts_work: !serving_vms.is_empty(),
            leaving: self.is_drained(domain) || serving_vms.iter().all(|vm| self.is_leaving(*vm)),
            region: self.catalogue.domains.get(&domain).map(|entry| entry.region),
        };
        for vm in serving_vms {
            if let Some((load, age_ms)) = self.reported_load(vm, service) {
                candidate.slots += load.slots;
                candidate.in_flight += load.in_flight;
                candidate.has_report = true;
                candidate.report_age_ms = candidate.report_age_ms.max(age_ms);
            }
        }
        candidate
    }

    /// Returns whether a record drains a failure domain. The domain's owners keep serving the traffic
    /// that the cap does not yet allow to move.
    fn is_drained(&self, domain: DomainKey) -> bool {
        self.catalogue.domains.get(&domain).is_some_and(|entry| entry.draining)
    }

    fn is_leaving(&self, vm: VmKey) -> bool {
        if vm == self.identity.vm {
            return self.identity.descriptor.leaving;
        }
        self.membership.member(vm).is_some_and(|member| member.descriptor.leaving)
    }

    /// Returns a VM's last load report on a service and the report's age in milliseconds.
    fn reported_load(&self, vm: VmKey, service: ServiceKey) -> Option<(ServiceLoad, u64)> {
        let (loads, age_ms) = if vm == self.identity.vm {
            (self.own_loads, 0)
        } else {
            let member = self.membership.member(vm)?;
            (member.loads.as_slice(), self.now_ms.saturating_sub(member.last_heard_at_ms))
        };
        Some((*loads.iter().find(|load| load.service == service)?, age_ms))
    }

    /// Returns the VMs of a failure domain that report slots of a service's upstreams: the owners,
    /// or, while a member may be dead or partitioned, all VMs that use their slot shares.
    ///
    /// If no VM reports slots, returns the owners computed from the members known here.
    pub fn upstream_owners(&self, domain: DomainKey, service: ServiceKey) -> Vec<UpstreamOwner> {
        let serving_vms = self.serving_vms_in(domain);
        let reported_owners: Vec<_> =
            serving_vms.iter().filter_map(|vm| self.reported_owner(*vm, service)).collect();
        if reported_owners.is_empty() {
            self.computed_owners(domain, service, &serving_vms)
        } else {
            reported_owners
        }
    }

    fn reported_owner(&self, vm: VmKey, service: ServiceKey) -> Option<UpstreamOwner> {
        let (load, _) = self.reported_load(vm, service).filter(|(load, _)| load.slots > 0)?;
        Some(UpstreamOwner {
            vm,
            address: self.peer_address(vm)?,
            slots: load.slots,
            load: Some(load),
        })
    }

    fn computed_owners(
        &self,
        domain: DomainKey,
        service: ServiceKey,
        serving_vms: &[VmKey],
    ) -> Vec<UpstreamOwner> {
        let mut owners: Vec<UpstreamOwner> = Vec::new();
        for upstream in self.upstreams_in(domain, service) {
            let Some(vm) = rendezvous::owner(u64::from(upstream.0), serving_vms) else { continue };
            let slots = self.catalogue.upstreams[&upstream].slots;
            if let Some(owner) = owners.iter_mut().find(|owner| owner.vm == vm) {
                owner.slots += slots;
            } else if let Some(address) = self.peer_address(vm) {
                let load = self.reported_load(vm, service).map(|(load, _)| load);
                owners.push(UpstreamOwner { vm, address, slots, load });
            }
        }
        owners
    }

    /// Returns the serving VMs of a failure domain, including this node.
    pub fn serving_vms_in(&self, domain: DomainKey) -> Vec<VmKey> {
        let mut live_vms = self.membership.unsuspected_in(domain);
        if self.identity.descriptor.domain == domain {
            live_vms.push((self.identity.vm, self.identity.descriptor.leaving));
        }
        membership::serving_vms(&live_vms)
    }

    fn upstreams_in(
        &self,
        domain: DomainKey,
        service: ServiceKey,
    ) -> impl Iterator<Item = UpstreamKey> {
        let upstreams = self.catalogue.services.get(&service).map(|entry| &entry.upstreams);
        let upstreams_of_service = upstreams.into_iter().flatten().copied();
        upstreams_of_service.filter(move |upstream| {
            let entry = self.catalogue.upstreams.get(upstream);
            entry.is_some_and(|entry| entry.domain == domain)
                && !self.catalogue.has_own_drain(*upstream)
        })
    }

    fn peer_address(&self, vm: VmKey) -> Option<SocketAddr> {
        if vm == self.identity.vm {
            return Some(self.identity.descriptor.peer_address);
        }
        self.membership.member(vm).map(|member| member.descriptor.peer_address)
    }
}
