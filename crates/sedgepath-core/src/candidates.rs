//! Where a request could go, as this node sees it.

use std::net::SocketAddr;

use crate::catalogue::Catalogue;
use crate::identity::Identity;
use crate::key::{DomainKey, OriginKey, ServiceKey, UpstreamKey, VmKey};
use crate::membership::{self, Membership};
use crate::message::ServiceLoad;
use crate::ownership;
use crate::steering::Candidate;

/// The owner of an upstream and where it takes frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owner {
    /// The VM.
    pub vm: VmKey,
    /// Where it takes frames.
    pub address: SocketAddr,
}

/// What a node knows of the system at one moment.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The time in milliseconds.
    pub now_ms: u64,
    /// The node itself.
    pub identity: &'a Identity,
    /// The configuration in force.
    pub catalogue: &'a Catalogue,
    /// Its revision; 0 before there is one.
    pub revision: u64,
    /// The other members.
    pub membership: &'a Membership,
    /// The load of the upstreams that this node owns.
    pub own_loads: &'a [ServiceLoad],
}

impl View<'_> {
    /// Returns the failure domains that the record's shares name for callers of an origin group.
    pub fn candidates(&self, service: ServiceKey, origin: OriginKey) -> Vec<Candidate> {
        let shares = self.catalogue.shares(service, origin).unwrap_or_default();
        shares.iter().map(|(domain, share)| self.candidate(service, *domain, *share)).collect()
    }

    fn candidate(&self, service: ServiceKey, domain: DomainKey, share: f64) -> Candidate {
        let mut candidate = Candidate {
            domain,
            share,
            slots: 0,
            in_flight: 0,
            report_age_ms: 0,
            declared_slots: self.declared_slots(service, domain),
            serves: self.serves(domain),
            same_region: self.region(domain) == self.region(self.identity.card.domain),
            same_domain: domain == self.identity.card.domain,
        };
        if candidate.same_domain {
            candidate.add_loads(service, self.own_loads);
        }
        for vm in self.membership.serving_in(domain) {
            let Some(member) = self.membership.member(vm) else {
                continue;
            };
            candidate.add_loads(service, &member.loads);
            let age_ms = self.now_ms.saturating_sub(member.heard_at_ms);
            candidate.report_age_ms = candidate.report_age_ms.max(age_ms);
        }
        candidate
    }

    /// Returns an owner in a failure domain, drawn by the number of the service's upstreams that it
    /// owns and that no drain takes out of service; `failed` ones are left out.
    pub fn owner_in(
        &self,
        domain: DomainKey,
        service: ServiceKey,
        failed: &[VmKey],
        random: &mut fastrand::Rng,
    ) -> Option<Owner> {
        let serving = self.serving_in(domain);
        let owners: Vec<VmKey> = self
            .upstreams_in(domain, service)
            .filter_map(|upstream| ownership::owner(u64::from(upstream.0), &serving))
            .filter(|vm| !failed.contains(vm))
            .collect();
        let vm = *random.choice(&owners)?;
        Some(Owner { vm, address: self.peer_address(vm)? })
    }

    /// Returns the VMs that serve in a failure domain, this node among them.
    pub fn serving_in(&self, domain: DomainKey) -> Vec<VmKey> {
        let mut alive = self.membership.alive_in(domain);
        if self.identity.card.domain == domain {
            alive.push((self.identity.vm, self.identity.card.leaving));
        }
        membership::serving_among(&alive)
    }

    fn serves(&self, domain: DomainKey) -> bool {
        !self.serving_in(domain).is_empty()
    }

    fn declared_slots(&self, service: ServiceKey, domain: DomainKey) -> u32 {
        self.upstreams_in(domain, service)
            .map(|upstream| self.catalogue.upstreams[&upstream].slots)
            .sum()
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
                && !self.catalogue.is_draining(*upstream)
        })
    }

    fn region(&self, domain: DomainKey) -> Option<crate::key::RegionKey> {
        self.catalogue.domains.get(&domain).map(|entry| entry.region)
    }

    fn peer_address(&self, vm: VmKey) -> Option<SocketAddr> {
        if vm == self.identity.vm {
            return Some(self.identity.card.peers);
        }
        self.membership.member(vm).map(|member| member.card.peers)
    }
}

impl Candidate {
    fn add_loads(&mut self, service: ServiceKey, loads: &[ServiceLoad]) {
        for load in loads.iter().filter(|load| load.service == service) {
            self.slots += load.slots;
            self.in_flight += load.in_flight;
        }
    }
}
