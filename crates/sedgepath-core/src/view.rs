//! Where a request could go, as this node sees it.

use std::net::SocketAddr;

use crate::catalogue::Catalogue;
use crate::identity::Identity;
use crate::key::{DomainKey, OriginKey, ServiceKey, UpstreamKey, VmKey};
use crate::membership::{self, Membership};
use crate::message::ServiceLoad;
use crate::rendezvous;
use crate::steering::CandidateDomain;

/// The owner of an upstream and where it takes frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamOwner {
    /// The VM.
    pub vm: VmKey,
    /// Where it takes frames.
    pub address: SocketAddr,
    /// The slots of the service's upstreams that it may use.
    pub slots: u32,
    /// Its last report on the service.
    pub load: Option<ServiceLoad>,
}

/// What a node knows of the system at one moment.
#[derive(Debug, Clone, Copy)]
pub struct SystemView<'a> {
    /// The time in milliseconds.
    pub now_ms: u64,
    /// The node itself.
    pub identity: &'a Identity,
    /// The configuration in force.
    pub catalogue: &'a Catalogue,
    /// Its revision; 0 before there is one.
    pub revision: u64,
    /// Whether the node may serve by it.
    pub configuration_ready: bool,
    /// The other members.
    pub membership: &'a Membership,
    /// The load of the upstreams that this node owns.
    pub own_loads: &'a [ServiceLoad],
}

impl SystemView<'_> {
    /// Returns what is known of failure domains, with the record's shares for an origin group.
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
        let serving = self.serving_vms_in(domain);
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
            accepts_work: !serving.is_empty(),
            leaving: self.is_drained(domain) || serving.iter().all(|vm| self.is_leaving(*vm)),
            region: self.catalogue.domains.get(&domain).map(|entry| entry.region),
        };
        for vm in serving {
            if let Some((load, age_ms)) = self.load_of(vm, service) {
                candidate.slots += load.slots;
                candidate.in_flight += load.in_flight;
                candidate.has_report = true;
                candidate.report_age_ms = candidate.report_age_ms.max(age_ms);
            }
        }
        candidate
    }

    /// Whether a drain takes a failure domain out of service. Its owners serve on what the cap does not
    /// yet let move; taken for gone, its callers would be refused for as long.
    fn is_drained(&self, domain: DomainKey) -> bool {
        self.catalogue.domains.get(&domain).is_some_and(|entry| entry.draining)
    }

    fn is_leaving(&self, vm: VmKey) -> bool {
        if vm == self.identity.vm {
            return self.identity.card.leaving;
        }
        self.membership.member(vm).is_some_and(|member| member.card.leaving)
    }

    /// Returns the last report of an owner on a service, and its age in milliseconds.
    fn load_of(&self, vm: VmKey, service: ServiceKey) -> Option<(ServiceLoad, u64)> {
        let (loads, age_ms) = if vm == self.identity.vm {
            (self.own_loads, 0)
        } else {
            let member = self.membership.member(vm)?;
            (member.loads.as_slice(), self.now_ms.saturating_sub(member.last_heard_at_ms))
        };
        Some((*loads.iter().find(|load| load.service == service)?, age_ms))
    }

    /// Returns the VMs of a failure domain that have told of slots of a service's upstreams: the
    /// owners, and where a member can't be told dead from cut off, all that use their parts.
    ///
    /// Where none has told of any, those that own upstreams by the members known here are returned.
    pub fn upstream_owners(&self, domain: DomainKey, service: ServiceKey) -> Vec<UpstreamOwner> {
        let serving = self.serving_vms_in(domain);
        let told: Vec<_> = serving.iter().filter_map(|vm| self.told_owner(*vm, service)).collect();
        if told.is_empty() { self.presumed_owners(domain, service, &serving) } else { told }
    }

    fn told_owner(&self, vm: VmKey, service: ServiceKey) -> Option<UpstreamOwner> {
        let (load, _) = self.load_of(vm, service).filter(|(load, _)| load.slots > 0)?;
        Some(UpstreamOwner {
            vm,
            address: self.peer_address(vm)?,
            slots: load.slots,
            load: Some(load),
        })
    }

    fn presumed_owners(
        &self,
        domain: DomainKey,
        service: ServiceKey,
        serving: &[VmKey],
    ) -> Vec<UpstreamOwner> {
        let mut owners: Vec<UpstreamOwner> = Vec::new();
        for upstream in self.upstreams_in(domain, service) {
            let Some(vm) = rendezvous::owner(u64::from(upstream.0), serving) else { continue };
            let slots = self.catalogue.upstreams[&upstream].slots;
            if let Some(owner) = owners.iter_mut().find(|owner| owner.vm == vm) {
                owner.slots += slots;
            } else if let Some(address) = self.peer_address(vm) {
                let load = self.load_of(vm, service).map(|(load, _)| load);
                owners.push(UpstreamOwner { vm, address, slots, load });
            }
        }
        owners
    }

    /// Returns the VMs that serve in a failure domain, this node among them.
    pub fn serving_vms_in(&self, domain: DomainKey) -> Vec<VmKey> {
        let mut alive = self.membership.alive_in(domain);
        if self.identity.card.domain == domain {
            alive.push((self.identity.vm, self.identity.card.leaving));
        }
        membership::serving_among(&alive)
    }

    fn upstreams_in(
        &self,
        domain: DomainKey,
        service: ServiceKey,
    ) -> impl Iterator<Item = UpstreamKey> {
        let upstreams = self.catalogue.services.get(&service).map(|entry| &entry.upstreams);
        let here = upstreams.into_iter().flatten().copied();
        here.filter(move |upstream| {
            let entry = self.catalogue.upstreams.get(upstream);
            entry.is_some_and(|entry| entry.domain == domain)
                && !self.catalogue.has_own_drain(*upstream)
        })
    }

    fn peer_address(&self, vm: VmKey) -> Option<SocketAddr> {
        if vm == self.identity.vm {
            return Some(self.identity.card.peer_address);
        }
        self.membership.member(vm).map(|member| member.card.peer_address)
    }
}
