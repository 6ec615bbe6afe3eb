//! What a starting VM knows of its failure domain.

use std::net::SocketAddr;

use fastrand::Rng;

use super::heartbeat::{StoreHealth, VmState};
use super::{Peer, VmTable};
use crate::direct::store_version::StoreVersion;

/// The number of VMs with the tables that introduce themselves to a VM that joins.
const INTRODUCED_HOLDERS: usize = 4;

/// A VM's failure domain while the VM lacks the tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainAtStart {
    /// The number of VMs that precede this one in reading the store for the domain.
    pub rank: usize,
    /// Whether one of these has been heard.
    pub hears_preceding: bool,
    /// The other VMs that have rows of the tables, with their capacities in requests per second.
    pub holders: Vec<(SocketAddr, u64)>,
    /// The number of other VMs that read the store.
    pub readers: usize,
    /// All other VMs that run, or may be starting.
    pub others: Vec<SocketAddr>,
}

impl VmTable {
    /// Returns what this VM knows of its failure domain.
    pub fn domain_at_start(&self, now_ms: u64) -> DomainAtStart {
        let holders = self.live_domain_peers(now_ms).filter(|peer| has_rows(&peer.state));
        let describe = |peer: &Peer| {
            (peer.descriptor.peer_address, u64::from(peer.descriptor.capacity_per_s).max(1))
        };
        let heard = self.heard_preceding(now_ms);
        let live = self.live_domain_peers(now_ms);
        DomainAtStart {
            rank: heard + self.starting_preceding(now_ms),
            hears_preceding: heard > 0,
            holders: holders.map(describe).collect(),
            readers: live.filter(|peer| peer.state.store_health.is_reachable()).count(),
            others: self.known_vms.domain_addresses(&self.own.descriptor.domain).collect(),
        }
    }

    /// Returns whether this VM introduces itself at once to one of its failure domain that has joined, which
    /// may be about to read the store: it reads the store itself, or is one of a few VMs with the tables.
    pub fn introduces_itself(&self, rng: &mut Rng) -> bool {
        let state = &self.own.state;
        let is_chosen = rng.usize(0..self.peers.len().max(1)) < INTRODUCED_HOLDERS;
        state.store_health.is_reachable() || has_rows(state) && is_chosen
    }

    /// Returns the number of VMs of this VM's failure domain that precede it and run or may be starting.
    pub(super) fn domain_rank(&self, now_ms: u64) -> usize {
        self.heard_preceding(now_ms) + self.starting_preceding(now_ms)
    }

    /// Returns the number of VMs heard in this VM's failure domain that precede it: by address, but those
    /// whose calls of the store fail come last.
    fn heard_preceding(&self, now_ms: u64) -> usize {
        let order = |store_health, address| (store_health == StoreHealth::Failing, address);
        let own = order(self.own.state.store_health, self.own.descriptor.peer_address);
        let heard = self.reader_peers(now_ms);
        let heard = heard.filter(|peer| peer.descriptor.domain == self.own.descriptor.domain);
        let heard = heard.map(|peer| order(peer.state.store_health, peer.descriptor.peer_address));
        heard.filter(|other| *other < own).count()
    }

    /// Returns the number of VMs that precede this one by address, and may be starting.
    fn starting_preceding(&self, now_ms: u64) -> usize {
        let own = &self.own.descriptor;
        let starting = self.known_vms.starting(now_ms);
        let in_domain = starting.filter(|(_, locality)| locality.domain == own.domain);
        in_domain.filter(|(address, _)| *address < own.peer_address).count()
    }
}

fn has_rows(state: &VmState) -> bool {
    state.newest_version.iter().any(|version| *version > StoreVersion::default())
}
