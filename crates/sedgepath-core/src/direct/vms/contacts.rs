//! Contacts: the VMs of a failure domain through which other domains find it.
//!
//! A few VMs of each failure domain publish their addresses for all domains, read those of the others, and
//! introduce themselves to domains from which they have heard nothing. What they learn is relayed within
//! their own domain, so that the calls of the store don't grow with the square of the number of VMs.
//!
//! There is no election. VMs that disagree on the contacts publish some more addresses.

use std::net::SocketAddr;

use fastrand::Rng;

use super::VmTable;
use crate::hash::Map;

/// The number of contacts of a failure domain, since some may have failed.
const CONTACTS_PER_DOMAIN: usize = 3;

/// The first pause between two reads of the contacts while a failure domain is unheard, in milliseconds;
/// it doubles after each.
const INITIAL_READ_BACKOFF_MS: u64 = 1_000;

/// The longest pause between two reads, in milliseconds: a failure domain may have no VM for long.
const MAX_READ_BACKOFF_MS: u64 = 32_000;

/// The number of contacts of an unheard failure domain to which a VM introduces itself, since one may have
/// failed.
const INTRODUCTIONS_PER_DOMAIN: usize = 2;

/// What a VM does as a contact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactStep {
    /// Nothing is due.
    None,
    /// Publish the VM's address.
    Publish,
    /// Read the addresses of the contacts, and introduce this VM to those of unheard failure domains.
    Read,
}

/// A VM's work as a contact of its failure domain.
#[derive(Debug, Default)]
pub struct ContactRole {
    /// The store's era in which the address was published.
    published_in_era: Option<u32>,
    next_call_at_ms: u64,
    backoff_ms: u64,
}

impl ContactRole {
    /// Returns what is due.
    ///
    /// A VM publishes its address before it reads those of others: of two contacts that start together,
    /// at least one finds the other.
    pub fn next_step(&self, vms: &VmTable, era: u32, now_ms: u64) -> ContactStep {
        if now_ms < self.next_call_at_ms || vms.is_leaving() || !vms.is_contact(now_ms) {
            ContactStep::None
        } else if self.published_in_era.is_none_or(|published| published < era) {
            ContactStep::Publish
        } else if vms.has_unheard_domain() {
            ContactStep::Read
        } else {
            ContactStep::None
        }
    }

    /// Records that the address was published in an era of the store.
    pub fn record_published(&mut self, era: u32) {
        self.published_in_era = Some(era);
        self.backoff_ms = 0;
    }

    /// Records that the contacts were read, or that a call failed. The next call waits, longer after each.
    pub fn record_call(&mut self, now_ms: u64) {
        let doubled_ms = (self.backoff_ms * 2).clamp(INITIAL_READ_BACKOFF_MS, MAX_READ_BACKOFF_MS);
        self.backoff_ms = doubled_ms;
        self.next_call_at_ms = now_ms + doubled_ms;
    }
}

impl VmTable {
    /// Returns whether this VM is one of its failure domain's contacts: of the VMs that run there or may be
    /// starting, one of the first by address.
    pub fn is_contact(&self, now_ms: u64) -> bool {
        self.domain_rank(now_ms) < CONTACTS_PER_DOMAIN
    }

    /// Returns whether no VM of an expected failure domain has been heard since the start.
    pub fn has_unheard_domain(&self) -> bool {
        !self.known_vms.unheard_domains().localities().is_empty()
    }

    /// Returns the contacts to which this VM introduces itself, given the addresses and failure domains of all:
    /// random ones of each unheard domain, as some may be gone for good.
    pub fn choose_introductions<'a>(
        &self,
        contacts: impl Iterator<Item = (SocketAddr, &'a str)>,
        rng: &mut Rng,
    ) -> Vec<SocketAddr> {
        let unheard = self.known_vms.unheard_domains().localities();
        let mut by_domain: Map<&str, Vec<SocketAddr>> = Map::default();
        for (address, domain) in contacts {
            if unheard.iter().any(|locality| *locality.domain == *domain) {
                by_domain.entry(domain).or_default().push(address);
            }
        }
        let chosen = by_domain.into_values();
        chosen.flat_map(|vms| rng.choose_multiple(vms, INTRODUCTIONS_PER_DOMAIN)).collect()
    }
}
