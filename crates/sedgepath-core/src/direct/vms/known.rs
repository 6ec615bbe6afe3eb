//! The addresses of other VMs, heard or only told of.

use std::net::SocketAddr;

use super::heartbeat::VmDescriptor;
use super::summary::DomainSummary;
use crate::hash::{Map, Set};

/// How long a VM that the store tells of counts as one that may be running before it is heard, in
/// milliseconds: VMs that start together are heard within two heartbeats.
const EXPECTED_MS: u64 = 1_000;

/// Where a VM stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Standing {
    pub(super) domain: Box<str>,
    pub(super) region: Box<str>,
}

impl Standing {
    pub(super) fn of(card: &VmDescriptor) -> Self {
        Self { domain: card.domain.clone(), region: card.region.clone() }
    }
}

#[derive(Debug, Default)]
struct KnownVm {
    standing: Option<Standing>,
    /// Up to when it is tried although it is not heard, in milliseconds.
    tried_until_ms: u64,
    /// Up to when it counts as heard, in milliseconds; 0 if it never was.
    heard_until_ms: u64,
    /// Up to when it may be one that starts too and is not heard yet, in milliseconds.
    expected_until_ms: u64,
}

/// All VMs that are known by address.
#[derive(Debug, Default)]
pub(super) struct KnownVms {
    by_address: Map<SocketAddr, KnownVm>,
    most_heard: usize,
    most_known: usize,
}

impl KnownVms {
    /// Takes in that a VM may be at an address.
    pub(super) fn add(
        &mut self,
        address: SocketAddr,
        standing: Option<Standing>,
        until_ms: u64,
        now_ms: u64,
    ) {
        let expected_until_ms = if standing.is_some() { now_ms + EXPECTED_MS } else { 0 };
        let new = || KnownVm { tried_until_ms: until_ms, expected_until_ms, ..KnownVm::default() };
        let known = self.by_address.entry(address).or_insert_with(new);
        known.standing = known.standing.take().or(standing);
    }

    /// Takes in that a VM is heard, or that those who hear it say so.
    pub(super) fn heard(&mut self, address: SocketAddr, standing: &Standing, until_ms: u64) {
        let known = self.by_address.entry(address).or_default();
        if known.standing.as_ref() != Some(standing) {
            known.standing = Some(standing.clone());
        }
        known.tried_until_ms = known.tried_until_ms.max(until_ms);
        known.heard_until_ms = known.heard_until_ms.max(until_ms);
    }

    /// Takes in that the VMs that a summary lists are heard by its sender.
    pub(super) fn listed(&mut self, summary: &DomainSummary, until_ms: u64) {
        let standing = Standing { domain: summary.domain.clone(), region: summary.region.clone() };
        for member in &summary.members {
            let address = SocketAddr::new(member.ip, summary.peers_port);
            self.heard(address, &standing, until_ms);
        }
    }

    /// Forgets VMs that have been silent for long.
    ///
    /// Those of a failure domain none of which is heard stay: after a cut that lasts longer than any
    /// memory nobody else would find the way back.
    pub(super) fn forget(&mut self, now_ms: u64) {
        let live = |known: &KnownVm| now_ms < known.tried_until_ms;
        let found: Set<Box<str>> = self
            .by_address
            .values()
            .filter(|known| live(known))
            .filter_map(|known| Some(known.standing.as_ref()?.domain.clone()))
            .collect();
        self.by_address.retain(|_, known| {
            let lost = known.standing.as_ref().is_some_and(|at| !found.contains(&at.domain));
            live(known) || lost
        });
    }

    /// Returns the VMs of a failure domain.
    pub(super) fn of_domain(&self, domain: &str) -> impl Iterator<Item = SocketAddr> {
        let there = move |known: &KnownVm| {
            known.standing.as_ref().is_some_and(|standing| *standing.domain == *domain)
        };
        self.by_address.iter().filter(move |(_, known)| there(known)).map(|(address, _)| *address)
    }

    /// Returns the VMs of a failure domain that were heard.
    ///
    /// Only these are named to others: told of VMs that never answer, each would go on telling the others.
    pub(super) fn heard_in(&self, domain: &str) -> impl Iterator<Item = SocketAddr> {
        let heard = |address: &SocketAddr| {
            self.by_address.get(address).is_some_and(|known| known.heard_until_ms > 0)
        };
        self.of_domain(domain).filter(heard)
    }

    /// Returns the addresses of which nobody knows yet who is there.
    pub(super) fn unplaced(&self) -> impl Iterator<Item = SocketAddr> {
        self.by_address
            .iter()
            .filter(|(_, known)| known.standing.is_none())
            .map(|(address, _)| *address)
    }

    /// Returns the VMs that may be starting now and are not heard yet.
    pub(super) fn expected(&self, now_ms: u64) -> impl Iterator<Item = (SocketAddr, &Standing)> {
        self.by_address
            .iter()
            .filter(move |(_, known)| known.heard_until_ms == 0 && now_ms < known.expected_until_ms)
            .filter_map(|(address, known)| Some((*address, known.standing.as_ref()?)))
    }

    /// Returns the failure domains of which a VM is known, with their regions, in order.
    pub(super) fn domains(&self) -> Vec<&Standing> {
        let mut standings: Vec<_> =
            self.by_address.values().filter_map(|known| known.standing.as_ref()).collect();
        standings.sort_unstable_by(|one, other| one.domain.cmp(&other.domain));
        standings.dedup_by(|one, other| one.domain == other.domain);
        standings
    }

    /// Returns how many VMs are tried or heard.
    pub(super) fn count(&self, now_ms: u64) -> usize {
        self.by_address.values().filter(|known| now_ms < known.tried_until_ms).count()
    }

    /// Returns the most VMs that were ever heard at a time.
    pub(super) fn most_heard(&self) -> usize {
        self.most_heard
    }

    /// Returns the most VMs that were ever tried or heard at a time.
    pub(super) fn most_known(&self) -> usize {
        self.most_known
    }

    /// Notes how many are heard and known now.
    pub(super) fn note(&mut self, now_ms: u64) {
        let heard = self.by_address.values().filter(|known| now_ms < known.heard_until_ms);
        self.most_heard = self.most_heard.max(heard.count());
        self.most_known = self.most_known.max(self.count(now_ms));
    }
}
