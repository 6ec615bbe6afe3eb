//! The addresses of other VMs, whether or not they have been heard.

use std::net::SocketAddr;

use super::heartbeat::VmDescriptor;
use super::summary::DomainSummary;
use super::unheard_domains::UnheardDomains;
use crate::hash::{Map, Set};

/// The time for which a VM found in the store counts as possibly starting until it is heard, in
/// milliseconds: VMs that start together hear each other within two heartbeats.
const STARTING_MS: u64 = 1_000;

/// The failure domain and region of a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Locality {
    pub(super) domain: Box<str>,
    pub(super) region: Box<str>,
}

impl Locality {
    pub(super) fn of(descriptor: &VmDescriptor) -> Self {
        Self { domain: descriptor.domain.clone(), region: descriptor.region.clone() }
    }
}

/// An address at which a VM runs or may run.
#[derive(Debug, Default)]
struct KnownVm {
    locality: Option<Locality>,
    /// Until when messages are sent to the address without hearing from its VM, in milliseconds.
    tried_until_ms: u64,
    /// Until when the VM counts as heard, in milliseconds; 0 if it never was heard.
    heard_until_ms: u64,
    /// Until when the VM counts as possibly starting, in milliseconds.
    starting_until_ms: u64,
}

/// The known addresses of other VMs.
#[derive(Debug, Default)]
pub(super) struct KnownVms {
    by_address: Map<SocketAddr, KnownVm>,
    unheard_domains: UnheardDomains,
    max_heard: usize,
    max_known: usize,
}

impl KnownVms {
    /// Sets the failure domains that are expected to have VMs.
    pub(super) fn set_expected_domains(&mut self, expected: UnheardDomains) {
        self.unheard_domains = expected;
    }

    /// Returns the expected failure domains of which no VM has been heard.
    pub(super) fn unheard_domains(&self) -> &UnheardDomains {
        &self.unheard_domains
    }

    /// Adds an address at which a VM may run.
    pub(super) fn add(
        &mut self,
        address: SocketAddr,
        locality: Option<Locality>,
        tried_until_ms: u64,
        now_ms: u64,
    ) {
        let starting_until_ms = if locality.is_some() { now_ms + STARTING_MS } else { 0 };
        let is_new = !self.by_address.contains_key(&address);
        let new_vm = || KnownVm { tried_until_ms, starting_until_ms, ..KnownVm::default() };
        let vm = self.by_address.entry(address).or_insert_with(new_vm);
        vm.locality = vm.locality.take().or(locality);
        if is_new {
            self.update_maxima(now_ms);
        }
    }

    /// Records that a VM was heard directly or listed in a summary.
    pub(super) fn record_heard(
        &mut self,
        address: SocketAddr,
        locality: &Locality,
        until_ms: u64,
        now_ms: u64,
    ) {
        if self.extend_heard(address, locality, until_ms, now_ms) {
            self.update_maxima(now_ms);
        }
    }

    /// Records that the VMs of a summary are heard by its sender.
    pub(super) fn record_members(&mut self, summary: &DomainSummary, until_ms: u64, now_ms: u64) {
        let locality = Locality { domain: summary.domain.clone(), region: summary.region.clone() };
        let mut any_new = false;
        for member in &summary.members {
            let address = SocketAddr::new(member.ip, summary.peer_port);
            any_new |= self.extend_heard(address, &locality, until_ms, now_ms);
        }
        if any_new {
            self.update_maxima(now_ms);
        }
    }

    /// Extends the time until which a VM counts as heard, and returns whether it didn't before.
    fn extend_heard(
        &mut self,
        address: SocketAddr,
        locality: &Locality,
        until_ms: u64,
        now_ms: u64,
    ) -> bool {
        let vm = self.by_address.entry(address).or_default();
        let is_new = vm.heard_until_ms <= now_ms;
        if vm.locality.as_ref() != Some(locality) {
            vm.locality = Some(locality.clone());
        }
        vm.tried_until_ms = vm.tried_until_ms.max(until_ms);
        vm.heard_until_ms = vm.heard_until_ms.max(until_ms);
        if is_new {
            self.unheard_domains.record_heard(&locality.domain);
        }
        is_new
    }

    /// Removes VMs that have been silent for too long.
    ///
    /// If all VMs of a failure domain have been silent for too long, they are kept, so that the domain
    /// is found again after a long partition.
    pub(super) fn remove_silent(&mut self, now_ms: u64) {
        let is_tried = |vm: &KnownVm| now_ms < vm.tried_until_ms;
        let tried_domains: Set<Box<str>> = self
            .by_address
            .values()
            .filter(|vm| is_tried(vm))
            .filter_map(|vm| Some(vm.locality.as_ref()?.domain.clone()))
            .collect();
        self.by_address.retain(|_, vm| {
            let domain_is_silent = vm
                .locality
                .as_ref()
                .is_some_and(|locality| !tried_domains.contains(&locality.domain));
            is_tried(vm) || domain_is_silent
        });
    }

    /// Returns the failure domain and region of a VM, if they are known.
    pub(super) fn locality(&self, address: SocketAddr) -> Option<&Locality> {
        self.by_address.get(&address)?.locality.as_ref()
    }

    /// Returns the known addresses in a failure domain.
    pub(super) fn domain_addresses(&self, domain: &str) -> impl Iterator<Item = SocketAddr> {
        let is_in_domain = move |vm: &KnownVm| {
            vm.locality.as_ref().is_some_and(|locality| *locality.domain == *domain)
        };
        self.by_address.iter().filter(move |(_, vm)| is_in_domain(vm)).map(|(address, _)| *address)
    }

    /// Returns the addresses in a failure domain whose VMs have been heard.
    ///
    /// Only these are sent to other VMs; otherwise addresses that never respond would circulate
    /// forever.
    pub(super) fn heard_domain_addresses(&self, domain: &str) -> impl Iterator<Item = SocketAddr> {
        let was_heard = |address: &SocketAddr| {
            self.by_address.get(address).is_some_and(|vm| vm.heard_until_ms > 0)
        };
        self.domain_addresses(domain).filter(was_heard)
    }

    /// Returns the addresses whose failure domain is unknown.
    pub(super) fn unlocated_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.by_address.iter().filter(|(_, vm)| vm.locality.is_none()).map(|(address, _)| *address)
    }

    /// Returns the VMs that may be starting and haven't been heard yet.
    pub(super) fn starting(&self, now_ms: u64) -> impl Iterator<Item = (SocketAddr, &Locality)> {
        self.by_address
            .iter()
            .filter(move |(_, vm)| vm.heard_until_ms == 0 && now_ms < vm.starting_until_ms)
            .filter_map(|(address, vm)| Some((*address, vm.locality.as_ref()?)))
    }

    /// Returns the failure domains with a known VM and their regions, sorted by domain.
    pub(super) fn domains(&self) -> Vec<&Locality> {
        let mut localities: Vec<_> =
            self.by_address.values().filter_map(|vm| vm.locality.as_ref()).collect();
        localities.sort_unstable_by(|one, other| one.domain.cmp(&other.domain));
        localities.dedup_by(|one, other| one.domain == other.domain);
        localities
    }

    /// Returns the number of VMs that are tried or heard, and of those that are assumed in failure
    /// domains from which nothing has been heard.
    pub(super) fn count(&self, now_ms: u64) -> usize {
        self.count_tried(now_ms) + self.count_assumed(|_| true, now_ms)
    }

    fn count_tried(&self, now_ms: u64) -> usize {
        self.by_address.values().filter(|vm| now_ms < vm.tried_until_ms).count()
    }

    /// As [`Self::count`], for a region.
    pub(super) fn count_in_region(&self, region: &str, now_ms: u64) -> usize {
        let is_in_region =
            |vm: &KnownVm| vm.locality.as_ref().is_some_and(|locality| *locality.region == *region);
        let tried = self.by_address.values().filter(|vm| now_ms < vm.tried_until_ms);
        let assumed = self.count_assumed(|locality| *locality.region == *region, now_ms);
        tried.filter(|vm| is_in_region(vm)).count() + assumed
    }

    /// Returns the number of VMs that aren't known but assumed, in the failure domains that match.
    pub(super) fn count_assumed(&self, matches: impl Fn(&Locality) -> bool, now_ms: u64) -> usize {
        let unheard = &self.unheard_domains;
        let mut assumed = unheard.assumed(now_ms).filter(|locality| matches(locality)).peekable();
        if assumed.peek().is_none() {
            return 0;
        }
        let own_size = 1 + self.domain_addresses(unheard.own_domain()).count();
        let unknown = |locality: &Locality| {
            own_size.saturating_sub(self.domain_addresses(&locality.domain).count())
        };
        assumed.map(unknown).sum()
    }

    /// Returns the largest number of VMs ever heard at a time.
    pub(super) fn max_heard(&self) -> usize {
        self.max_heard
    }

    /// Returns the largest number of VMs ever tried or heard at a time.
    pub(super) fn max_known(&self) -> usize {
        self.max_known
    }

    /// Updates the largest numbers of heard and known VMs, which only a further VM can exceed.
    fn update_maxima(&mut self, now_ms: u64) {
        let heard = self.by_address.values().filter(|vm| now_ms < vm.heard_until_ms);
        self.max_heard = self.max_heard.max(heard.count());
        self.max_known = self.max_known.max(self.count_tried(now_ms));
    }
}
