//! The membership table of entry VMs, and the answers to look-ups.
//!
//! Every VM sends heartbeats to the VMs of its failure domain and announces their period. A silent
//! VM is dropped from look-ups after several periods, a leaving one immediately. VMs of other
//! domains are known from summaries ([`gossip`]). An address learned from another VM is only tried:
//! it doesn't count as a sign that its VM is running.

pub mod gossip;
mod heartbeat;
mod known_vms;
mod readers;
mod remote_domains;
mod summary;

use std::net::SocketAddr;

use self::gossip::OutgoingState;
use self::known_vms::{KnownVms, Locality};
use self::remote_domains::{RemoteDomains, SummaryChange};
use super::status::OtherVmStatus;
use crate::hash::{Map, Set};
use crate::key::VmKey;

pub use heartbeat::{StoreHealth, VmDescriptor, VmHeartbeat, VmState, VmTiming};
pub use readers::READER_TAKEOVER_INTERVAL_MS;
pub use summary::{DomainMember, DomainSummary, RelayedSummary, SummaryUpdate};

/// A VM that sends heartbeats to this one.
#[derive(Debug)]
struct Peer {
    descriptor: VmDescriptor,
    state: VmState,
    heard_at_ms: u64,
}

/// The number of VMs of the caller's failure domain from which a look-up names no others. A single
/// address would be a single point of failure while callers cache the answer.
pub const MIN_NAMED_IN_DOMAIN: usize = 2;

/// The most addresses in the answer to a look-up.
const MAX_LOOK_UP_ADDRESSES: usize = 64;

/// One VM's view of all entry VMs.
#[derive(Debug)]
pub struct VmTable {
    own: VmHeartbeat,
    timing: VmTiming,
    /// The VMs that send heartbeats to this one: those of its failure domain, and others while
    /// their failure domain is unknown.
    peers: Map<Box<str>, Peer>,
    remote_domains: RemoteDomains,
    known: KnownVms,
    outgoing_state: OutgoingState,
    /// Since when the store has responded to no VM of the region, in milliseconds.
    store_unreachable_since_ms: Option<u64>,
}

impl VmTable {
    /// Creates a table that holds only this VM.
    pub fn new(own: VmHeartbeat, timing: VmTiming) -> Self {
        Self {
            own,
            timing,
            peers: Map::default(),
            remote_domains: RemoteDomains::default(),
            known: KnownVms::default(),
            outgoing_state: OutgoingState::default(),
            store_unreachable_since_ms: None,
        }
    }

    /// Returns the time between two heartbeats, in milliseconds, which grows with their receivers.
    pub fn period_ms(&self) -> u64 {
        let near = self.known.domain_addresses(&self.own.descriptor.domain).count();
        let targets = near + self.known.unlocated_addresses().count();
        let round_ms = targets as u64 * 1_000 / self.timing.max_heartbeats_per_s.max(1);
        round_ms.max(self.timing.heartbeat_interval_ms)
    }

    /// Returns this VM's key for rendezvous hashing.
    pub fn key(&self) -> VmKey {
        self.own.descriptor.key()
    }

    /// Sets the versions of this VM's replicas and its view of the store.
    pub fn set_replica_state(&mut self, newest_version: [u64; 2], store: StoreHealth) {
        self.own.state.newest_version = newest_version;
        self.own.state.store_health = store;
    }

    /// Sets whether this VM accepts new requests.
    pub fn set_ready(&mut self, ready: bool) {
        self.own.state.ready = ready;
    }

    /// Marks this VM as about to stop and no longer ready.
    pub fn begin_leaving(&mut self) {
        self.own.state.leaving = true;
        self.own.state.ready = false;
    }

    /// Returns whether this VM is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.own.state.leaving
    }

    /// Adds an address at which a VM may run, in an unknown failure domain.
    pub fn add_address(&mut self, address: SocketAddr, now_ms: u64) {
        self.add_known_address(address, None, now_ms);
        self.known.update_maxima(now_ms);
    }

    /// Adds an address at which a VM of a failure domain and region may run.
    pub fn add_vm(&mut self, address: SocketAddr, domain: &str, region: &str, now_ms: u64) {
        let locality = Locality { domain: domain.into(), region: region.into() };
        self.add_known_address(address, Some(locality), now_ms);
        self.known.update_maxima(now_ms);
    }

    fn add_known_address(&mut self, address: SocketAddr, locality: Option<Locality>, now_ms: u64) {
        if address != self.own.descriptor.peer_address {
            let until_ms = now_ms + self.timing.forget_after_ms;
            self.known.add(address, locality, until_ms, now_ms);
        }
    }

    /// Returns the addresses that get heartbeats: those of this VM's failure domain, and those in an
    /// unknown one. VMs that have been silent for too long are removed first.
    pub fn heartbeat_targets(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        self.known.remove_silent(now_ms);
        self.remote_domains.remove_silent(self.timing.forget_after_ms, now_ms);
        let near = self.known.domain_addresses(&self.own.descriptor.domain);
        near.chain(self.known.unlocated_addresses()).collect()
    }

    /// Returns the addresses of the other VMs of this VM's failure domain, heard or not.
    pub fn domain_addresses(&self) -> Vec<SocketAddr> {
        self.known.domain_addresses(&self.own.descriptor.domain).collect()
    }

    /// Records the full heartbeat of another VM.
    pub fn record_heartbeat(&mut self, heartbeat: VmHeartbeat, now_ms: u64) {
        let VmHeartbeat { descriptor, state, known } = heartbeat;
        if descriptor.name == self.own.descriptor.name {
            return;
        }
        let locality = Locality::of(&descriptor);
        for address in known {
            self.add_known_address(address, Some(locality.clone()), now_ms);
        }
        self.apply_state(descriptor, state, now_ms);
    }

    /// Records a heartbeat without a descriptor, and returns whether its sender is known.
    ///
    /// The heartbeat of an unknown process is ignored until its first full one.
    pub fn record_state(&mut self, from: SocketAddr, state: VmState, now_ms: u64) -> bool {
        let of_process = |peer: &&Peer| {
            peer.descriptor.peer_address == from && peer.state.boot_at_ms == state.boot_at_ms
        };
        let Some(descriptor) =
            self.peers.values().find(of_process).map(|peer| peer.descriptor.clone())
        else {
            return false;
        };
        self.apply_state(descriptor, state, now_ms);
        true
    }

    fn apply_state(&mut self, descriptor: VmDescriptor, state: VmState, now_ms: u64) {
        let forgotten_at_ms = now_ms + self.timing.forget_after_ms;
        self.known.record_heard(
            descriptor.peer_address,
            &Locality::of(&descriptor),
            forgotten_at_ms,
        );
        self.known.update_maxima(now_ms);
        let last = self.peers.get(&descriptor.name);
        if last.is_some_and(|last| !self.is_current_state(last, &state, now_ms)) {
            return;
        }
        if last.is_none_or(|last| {
            last.state.boot_at_ms != state.boot_at_ms || self.is_silent(last, now_ms)
        }) {
            self.outgoing_state.record_join(now_ms);
        }
        self.peers.insert(descriptor.name.clone(), Peer { descriptor, state, heard_at_ms: now_ms });
    }

    /// Returns whether a state isn't older than the last one of its VM.
    fn is_current_state(&self, last: &Peer, state: &VmState, now_ms: u64) -> bool {
        if state.boot_at_ms != last.state.boot_at_ms {
            // A delayed datagram of an earlier process is ignored. A process whose clock was set
            // back reports an earlier start too, but after a silence.
            return state.boot_at_ms > last.state.boot_at_ms || self.is_silent(last, now_ms);
        }
        // A process that is leaving doesn't become ready again, so this would be a delayed state.
        state.stamp >= last.state.stamp && (state.leaving || !last.state.leaving)
    }

    /// Records the summary of another failure domain, received from its sender.
    pub fn record_summary(&mut self, summary: DomainSummary, now_ms: u64) {
        let sender = summary.sender();
        if let Some(change) = self.apply_summary(summary, now_ms, now_ms) {
            self.outgoing_state.queue_relay(sender, change, now_ms);
        }
    }

    /// Records the summary of another failure domain, relayed by a VM of this one.
    pub fn record_relayed_summary(&mut self, relayed: RelayedSummary, now_ms: u64) {
        let heard_at_ms = now_ms.saturating_sub(relayed.age_ms);
        match relayed.update {
            SummaryUpdate::Changed(summary) => {
                self.apply_summary(summary, heard_at_ms, now_ms);
            }
            SummaryUpdate::Unchanged { sender, boot_at_ms, stamp, digest } => {
                let same =
                    self.remote_domains.renew(sender, (boot_at_ms, stamp), digest, heard_at_ms);
                if let Some(summary) = same {
                    let forgotten_at_ms = heard_at_ms + self.timing.forget_after_ms;
                    self.known.record_members(summary, forgotten_at_ms);
                }
            }
        }
    }

    fn apply_summary(
        &mut self,
        summary: DomainSummary,
        heard_at_ms: u64,
        now_ms: u64,
    ) -> Option<SummaryChange> {
        if summary.domain == self.own.descriptor.domain {
            return None;
        }
        let own = Locality::of(&self.own.descriptor);
        for ip in &summary.receiver_domain_vms {
            let address = SocketAddr::new(*ip, self.own.descriptor.peer_address.port());
            self.add_known_address(address, Some(own.clone()), now_ms);
        }
        self.known.record_members(&summary, heard_at_ms + self.timing.forget_after_ms);
        let change = self.remote_domains.apply_summary(summary, heard_at_ms, &self.timing, now_ms);
        self.known.update_maxima(now_ms);
        change
    }

    /// Returns the number of VMs that divide the limits for all VMs, including this one.
    ///
    /// VMs known by address only are counted, so that a VM that has just started doesn't use the whole
    /// limit. A VM that is no longer heard may still serve behind a partition and keeps its share.
    pub fn sharing_vm_count(&self, now_ms: u64) -> usize {
        1 + self.known.max_heard().max(self.known.count(now_ms))
    }

    /// Returns the largest number of VMs ever known at a time, including this one, heard or not.
    ///
    /// This may count VMs that no longer exist but are still in the store, so it suits limits where a
    /// share that is too small does little harm.
    pub fn max_known_vm_count(&self) -> usize {
        1 + self.known.max_heard().max(self.known.max_known())
    }

    /// Returns the state of the other VMs, sorted by name.
    pub fn other_vms(&self, now_ms: u64) -> Vec<OtherVmStatus> {
        let heard =
            self.peers.values().map(|Peer { descriptor, state, heard_at_ms }| OtherVmStatus {
                name: descriptor.name.clone(),
                domain: descriptor.domain.clone(),
                silent_ms: now_ms.saturating_sub(*heard_at_ms),
                ready: state.ready,
                leaving: state.leaving,
                store_reachable: state.store_health.is_reachable(),
            });
        let listed =
            self.remote_domains.live_vms(self.timing, now_ms).map(|listed| OtherVmStatus {
                name: listed.descriptor.name.clone(),
                domain: listed.descriptor.domain.clone(),
                silent_ms: 0,
                ready: listed.member.ready,
                leaving: false,
                store_reachable: listed.member.store_reachable,
            });
        let mut others: Vec<_> = heard.chain(listed).collect();
        others.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        others.dedup_by(|one, other| one.name == other.name);
        others
    }

    /// Returns the VMs that serve, including this one unless it is leaving, sorted by address.
    pub fn serving_vms(&self, now_ms: u64) -> Vec<&VmDescriptor> {
        self.serving_where(now_ms, &|_| true)
    }

    fn serving_where(
        &self,
        now_ms: u64,
        fits: &dyn Fn(&VmDescriptor) -> bool,
    ) -> Vec<&VmDescriptor> {
        let heard = self.live_peers(now_ms).filter(|peer| peer.state.ready);
        let heard = heard.map(|peer| &peer.descriptor);
        // A VM's own heartbeat takes precedence over summaries that list it.
        let left: Set<SocketAddr> = self
            .peers
            .values()
            .filter(|peer| peer.state.leaving && !self.is_silent(peer, now_ms))
            .map(|peer| peer.descriptor.peer_address)
            .collect();
        let listed = self.remote_domains.live_vms(self.timing, now_ms);
        let listed = listed.filter(|listed| listed.member.ready).map(|listed| &listed.descriptor);
        let listed = listed.filter(|descriptor| !left.contains(&descriptor.peer_address));
        let own = (!self.own.state.leaving).then_some(&self.own.descriptor);
        let all = heard.chain(listed).chain(own);
        let mut descriptors: Vec<_> = all.filter(|descriptor| fits(descriptor)).collect();
        descriptors.sort_by_key(|descriptor| descriptor.peer_address);
        descriptors.dedup_by(|one, other| one.peer_address == other.peer_address);
        descriptors
    }

    /// Returns the VMs that are heard and aren't leaving.
    fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        let heard = self.peers.values().filter(move |peer| !self.is_silent(peer, now_ms));
        heard.filter(|peer| !peer.state.leaving)
    }

    /// Returns the VMs of this VM's failure domain that are heard and aren't leaving.
    fn live_domain_peers(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        let own = &self.own.descriptor.domain;
        self.live_peers(now_ms).filter(move |peer| peer.descriptor.domain == *own)
    }

    fn is_silent(&self, peer: &Peer, now_ms: u64) -> bool {
        now_ms >= peer.heard_at_ms + self.timing.silent_after_ms(peer.state.period_ms)
    }

    /// Returns the combined view of the store of this VM and all VMs that are heard: the longest time
    /// for which it has been reachable from one of them, or else whether it fails one.
    pub fn store_health(&self, own: StoreHealth, now_ms: u64) -> StoreHealth {
        let heard = self.peers.values().filter(|peer| !self.is_silent(peer, now_ms));
        let others = heard.map(|peer| {
            peer.state.store_health.extrapolate(now_ms.saturating_sub(peer.heard_at_ms))
        });
        let near = others.fold(own, StoreHealth::combine);
        near.combine(self.remote_domains.store(&self.timing, now_ms))
    }

    /// Returns the addresses of entry VMs for a caller in a failure domain and region.
    ///
    /// Only VMs of the caller's failure domain are returned if there are [`MIN_NAMED_IN_DOMAIN`],
    /// which avoids the cost of traffic between domains; otherwise those of its region, or all. The
    /// result is empty only if this VM is leaving and knows no other.
    pub fn look_up(&self, domain: &str, region: &str, now_ms: u64) -> Vec<SocketAddr> {
        let near = |fits: &dyn Fn(&VmDescriptor) -> bool| -> Vec<SocketAddr> {
            let serving = self.serving_where(now_ms, fits);
            serving
                .into_iter()
                .map(|descriptor| descriptor.caller_address)
                .take(MAX_LOOK_UP_ADDRESSES)
                .collect()
        };
        let in_domain = near(&|descriptor| &*descriptor.domain == domain);
        if in_domain.len() >= MIN_NAMED_IN_DOMAIN {
            return in_domain;
        }
        let in_region = near(&|descriptor| &*descriptor.region == region);
        if in_region.is_empty() { near(&|_| true) } else { in_region }
    }
}
