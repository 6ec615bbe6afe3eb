//! The choice of the VMs that read the store.
//!
//! Each region has its own readers, so that it stays up to date during a partition. If there are few
//! regions, each has several readers, so that one may fail. There is no election: the first VMs of a
//! region in the order of failure domains and addresses read the store, and a VM that hears no other
//! VM of its region is the first.

use std::net::SocketAddr;

use super::remote_domains::RemoteVm;
use super::{Peer, VmTable};
use crate::hash::Set;

/// The least number of readers in all regions together, since one may fail and another be cut off
/// before the silence of either is noticed.
const MIN_READERS: usize = 3;

/// The interval at which the next VM of a region starts to read while the store responds to no VM of
/// the region, in milliseconds: about the time of a successful call.
pub const READER_TAKEOVER_INTERVAL_MS: u64 = 250;

/// The number of intervals for which a VM that takes over keeps reading: enough for a call that starts
/// late in the first interval.
const TAKEOVER_INTERVALS: usize = 3;

/// A VM that may read the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ReaderCandidate<'a> {
    domain: &'a str,
    address: SocketAddr,
    store_reachable: bool,
}

/// The other VMs of this VM's region that may read the store, and the other regions with such VMs.
#[derive(Debug)]
struct RegionCandidates<'a> {
    region: &'a str,
    candidates: Vec<ReaderCandidate<'a>>,
    other_regions: Set<&'a str>,
}

impl<'a> RegionCandidates<'a> {
    fn add(&mut self, region: &'a str, candidate: ReaderCandidate<'a>) {
        if *region == *self.region {
            self.candidates.push(candidate);
        } else {
            self.other_regions.insert(region);
        }
    }

    /// Keeps one entry per VM, preferring one whose store is reachable.
    fn merge(&mut self) {
        self.candidates.sort_unstable();
        self.candidates.reverse();
        self.candidates.dedup_by(|one, other| one.address == other.address);
    }

    /// Returns the number of VMs that precede a VM in the order of failure domains and addresses.
    fn count_before(&self, vm: (&str, SocketAddr)) -> usize {
        let precedes =
            |candidate: &&ReaderCandidate<'_>| (candidate.domain, candidate.address) < vm;
        self.candidates.iter().filter(precedes).count()
    }

    fn count_store_reachable(&self) -> usize {
        self.candidates.iter().filter(|candidate| candidate.store_reachable).count()
    }
}

impl VmTable {
    /// Returns whether this VM reads the store.
    ///
    /// While the store responds to no VM of the region, the VMs that aren't readers try in turn, the
    /// next one every [`READER_TAKEOVER_INTERVAL_MS`], so that the calls don't overload a recovering
    /// store.
    pub fn should_read_store(&mut self, now_ms: u64) -> bool {
        let region = self.region_candidates(now_ms);
        let reader_count = MIN_READERS.div_ceil(1 + region.other_regions.len());
        let rank =
            region.count_before((&self.own.descriptor.domain, self.own.descriptor.peer_address));
        let (others_reaching_store, others) =
            (region.count_store_reachable(), region.candidates.len());
        let reaches_store = self.own.state.store_health.is_reachable();
        if others_reaching_store > 0 || reaches_store {
            self.store_unreachable_since_ms = None;
        } else {
            self.store_unreachable_since_ms.get_or_insert(now_ms);
        }
        // A VM that took over keeps reading until enough other VMs can reach the store.
        let stands_in = others_reaching_store < reader_count && reaches_store;
        rank < reader_count
            || stands_in
            || self.takes_over(rank - reader_count, 1 + others - reader_count, now_ms)
    }

    /// Returns whether it is this VM's turn to try the store, as the VM with index `rank` of the
    /// `vm_count` VMs of its region that aren't readers.
    fn takes_over(&self, rank: usize, vm_count: usize, now_ms: u64) -> bool {
        let Some(since_ms) = self.store_unreachable_since_ms else {
            return false;
        };
        let step =
            (now_ms.saturating_sub(since_ms) / READER_TAKEOVER_INTERVAL_MS) as usize % vm_count;
        let steps_since = (step + vm_count - rank) % vm_count;
        steps_since < TAKEOVER_INTERVALS
    }

    /// Returns the VMs heard, and not leaving, within the shorter limit for VMs that may read the store.
    pub(super) fn reader_peers(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |Peer { state, heard_at_ms, .. }| {
            let silent_after_ms = self.timing.reader_silent_after_ms(state.period_ms);
            now_ms < heard_at_ms + silent_after_ms && !state.leaving
        })
    }

    fn region_candidates(&self, now_ms: u64) -> RegionCandidates<'_> {
        let own = &self.own.descriptor;
        let mut region = RegionCandidates {
            region: &own.region,
            candidates: Vec::new(),
            other_regions: Set::default(),
        };
        for Peer { descriptor, state, .. } in self.reader_peers(now_ms) {
            let (address, store_reachable) =
                (descriptor.peer_address, state.store_health.is_reachable());
            region.add(
                &descriptor.region,
                ReaderCandidate { domain: &descriptor.domain, address, store_reachable },
            );
        }
        for RemoteVm { descriptor, member } in
            self.remote_domains.reader_candidates(self.timing, now_ms)
        {
            let (address, store_reachable) = (descriptor.peer_address, member.store_reachable);
            region.add(
                &descriptor.region,
                ReaderCandidate { domain: &descriptor.domain, address, store_reachable },
            );
        }
        let unheard_regions =
            self.known_vms.unheard_domains().assumed(now_ms).map(|locality| &*locality.region);
        region.other_regions.extend(unheard_regions.filter(|other| **other != *own.region));
        for (address, locality) in self.known_vms.starting(now_ms) {
            let candidate =
                ReaderCandidate { domain: &locality.domain, address, store_reachable: false };
            region.add(&locality.region, candidate);
        }
        region.merge();
        region
    }
}
