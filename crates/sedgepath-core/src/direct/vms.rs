//! The membership table of entry VMs, and look-ups of their addresses (`look_ups`).
//!
//! Every VM sends heartbeats to the VMs of its failure domain and announces their period. A silent
//! VM is dropped from look-ups after several periods, a leaving one immediately. VMs of other
//! domains are known from summaries ([`gossip`]). Messages are sent to an address learned from
//! another VM, but it isn't evidence that a VM is running there.

mod contacts;
mod counts;
pub mod gossip;
mod heartbeat;
mod known_vms;
mod load_receivers;
mod look_ups;
pub mod naming;
mod neighbours;
mod readers;
mod remote_domains;
mod report_messages;
mod start;
mod summary;
mod unheard_domains;

use std::net::SocketAddr;

use self::gossip::OutgoingState;
use self::known_vms::{KnownVms, Locality};
use self::remote_domains::{RemoteDomains, Renewal, SummaryChange};
use self::unheard_domains::UnheardDomains;
use super::status::{OtherVmStatus, ReportedReach};
use super::store_version::StoreVersion;
use crate::hash::Map;
use crate::key::VmKey;

pub use contacts::{ContactRole, ContactStep};
pub use heartbeat::{ReportedLoad, StoreHealth, VmDescriptor, VmHeartbeat, VmState, VmTiming};
pub use load_receivers::MAX_LOAD_RECEIVERS;
pub use readers::READER_TAKEOVER_INTERVAL_MS;
pub use start::DomainAtStart;
pub use summary::{DomainMember, DomainSummary, RelayedSummary, SummaryPart, SummaryUpdate};

/// The time within which a VM that starts hears those that serve, in milliseconds: two heartbeats of a large
/// failure domain, since summaries of other domains are relayed with the second.
const JOINING_MS: u64 = 2_000;

/// A VM that sends heartbeats to this one.
#[derive(Debug)]
struct Peer {
    descriptor: VmDescriptor,
    state: VmState,
    heard_at_ms: u64,
}

/// One VM's view of all entry VMs.
#[derive(Debug)]
pub struct VmTable {
    own: VmHeartbeat,
    timing: VmTiming,
    /// The VMs that send heartbeats to this one: those of its failure domain, and others while
    /// their failure domain is unknown.
    peers: Map<Box<str>, Peer>,
    remote_domains: RemoteDomains,
    known_vms: KnownVms,
    outgoing_state: OutgoingState,
    /// Until when VMs that serve may not have been heard yet, in milliseconds.
    joining_until_ms: u64,
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
            known_vms: KnownVms::default(),
            outgoing_state: OutgoingState::default(),
            joining_until_ms: 0,
            store_unreachable_since_ms: None,
        }
    }

    /// Sets the failure domains, each with its region, in which VMs are expected at a start.
    #[must_use]
    pub fn with_failure_domains(
        mut self,
        region_by_domain: &Map<Box<str>, Box<str>>,
        now_ms: u64,
    ) -> Self {
        let localities = region_by_domain
            .iter()
            .map(|(domain, region)| Locality { domain: domain.clone(), region: region.clone() });
        let assumed_until_ms = now_ms + self.timing.forget_after_ms;
        let own_domain = &self.own.descriptor.domain;
        let expected = UnheardDomains::new(own_domain, localities, assumed_until_ms);
        self.known_vms.set_expected_domains(expected);
        self.joining_until_ms = now_ms + JOINING_MS;
        self
    }

    /// Records that this VM has read the addresses of those of its failure domain. Its next heartbeat
    /// introduces it to them.
    pub fn record_discovery(&mut self, now_ms: u64) {
        self.joining_until_ms = now_ms + JOINING_MS;
        self.outgoing_state.record_join(now_ms);
    }

    /// Returns whether this VM has started so lately that it may not have heard all VMs that serve. That it
    /// [hears all known ones](Self::hears_all_known) can end this sooner, which callers check first.
    pub fn is_joining(&self, now_ms: u64) -> bool {
        now_ms < self.joining_until_ms
    }

    /// Returns the time between two heartbeats, in milliseconds, which grows with the number of their
    /// receivers.
    pub fn period_ms(&self) -> u64 {
        let in_domain = self.known_vms.domain_addresses(&self.own.descriptor.domain).count();
        let receivers = in_domain + self.known_vms.unlocated_addresses().count();
        let rate_limited_ms = receivers as u64 * 1_000 / self.timing.max_heartbeats_per_s.max(1);
        rate_limited_ms.max(self.timing.heartbeat_interval_ms)
    }

    /// Returns this VM's key for rendezvous hashing.
    pub fn key(&self) -> VmKey {
        self.own.descriptor.key()
    }

    /// Sets the versions of this VM's replicas and its view of the store.
    pub fn set_replica_state(&mut self, newest_version: [StoreVersion; 2], store: StoreHealth) {
        self.own.state.newest_version = newest_version;
        self.own.state.store_health = store;
    }

    /// Sets whether this VM accepts new requests.
    pub fn set_ready(&mut self, ready: bool) {
        self.own.state.ready = ready;
    }

    /// Sets the share of its capacity that this VM uses, in percent.
    pub fn set_load(&mut self, load_percent: u8) {
        self.own.state.load = self.own.state.load.with_percent(load_percent);
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
    }

    /// Adds an address at which a VM of a failure domain and region may run.
    pub fn add_vm(&mut self, address: SocketAddr, domain: &str, region: &str, now_ms: u64) {
        let locality = Locality { domain: domain.into(), region: region.into() };
        self.add_known_address(address, Some(locality), now_ms);
    }

    fn add_known_address(&mut self, address: SocketAddr, locality: Option<Locality>, now_ms: u64) {
        if address != self.own.descriptor.peer_address {
            let until_ms = now_ms + self.timing.forget_after_ms;
            self.known_vms.add(address, locality, until_ms, now_ms);
        }
    }

    /// Removes VMs that have been silent for too long, and returns the addresses that get heartbeats:
    /// those of this VM's failure domain, and those in an unknown one.
    pub fn heartbeat_targets(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        self.known_vms.remove_silent(now_ms);
        self.remote_domains.remove_silent(self.timing.forget_after_ms, now_ms);
        let in_domain = self.known_vms.domain_addresses(&self.own.descriptor.domain);
        in_domain.chain(self.known_vms.unlocated_addresses()).collect()
    }

    /// Returns the addresses of the other VMs of this VM's failure domain, heard or not.
    pub fn domain_addresses(&self) -> Vec<SocketAddr> {
        self.known_vms.domain_addresses(&self.own.descriptor.domain).collect()
    }

    /// Records the full heartbeat of another VM, and returns whether the VM has joined with it.
    pub fn record_heartbeat(&mut self, heartbeat: VmHeartbeat, now_ms: u64) -> bool {
        let VmHeartbeat { descriptor, state, known_addresses } = heartbeat;
        if descriptor.name == self.own.descriptor.name {
            return false;
        }
        let locality = Locality::of(&descriptor);
        for address in known_addresses {
            self.add_known_address(address, Some(locality.clone()), now_ms);
        }
        self.apply_state(descriptor, state, now_ms)
    }

    /// Records a heartbeat without a descriptor, and returns whether its sender is known.
    ///
    /// The heartbeats of an unknown process are ignored until its first full one.
    pub fn record_state(&mut self, from: SocketAddr, state: VmState, now_ms: u64) -> bool {
        let is_sender = |peer: &&Peer| {
            peer.descriptor.peer_address == from && peer.state.boot_at_ms == state.boot_at_ms
        };
        let Some(descriptor) =
            self.peers.values().find(is_sender).map(|peer| peer.descriptor.clone())
        else {
            return false;
        };
        self.apply_state(descriptor, state, now_ms);
        true
    }

    /// Applies the state of another VM, and returns whether the VM has joined with it.
    fn apply_state(&mut self, descriptor: VmDescriptor, state: VmState, now_ms: u64) -> bool {
        let forget_at_ms = now_ms + self.timing.forget_after_ms;
        self.known_vms.record_heard(
            descriptor.peer_address,
            &Locality::of(&descriptor),
            forget_at_ms,
            now_ms,
        );
        let previous = self.peers.get(&descriptor.name);
        if previous.is_some_and(|previous| !self.is_current_state(previous, &state, now_ms)) {
            return false;
        }
        let has_joined = previous.is_none_or(|previous| {
            previous.state.boot_at_ms != state.boot_at_ms || self.is_silent(previous, now_ms)
        });
        if has_joined {
            self.outgoing_state.record_join(now_ms);
        }
        self.peers.insert(descriptor.name.clone(), Peer { descriptor, state, heard_at_ms: now_ms });
        has_joined
    }

    /// Returns whether a state isn't older than the previous one of its VM.
    fn is_current_state(&self, previous: &Peer, state: &VmState, now_ms: u64) -> bool {
        if state.boot_at_ms != previous.state.boot_at_ms {
            // A delayed datagram of an earlier process is ignored. A process whose clock was set
            // back reports an earlier start too, but after a silence.
            return state.boot_at_ms > previous.state.boot_at_ms
                || self.is_silent(previous, now_ms);
        }
        // A leaving process never stops leaving, so a state that isn't leaving was delayed.
        state.stamp >= previous.state.stamp && (state.leaving || !previous.state.leaving)
    }

    /// Records the summary of another failure domain, received from its sender.
    pub fn record_summary(&mut self, summary: DomainSummary, now_ms: u64) {
        let key = (summary.sender(), summary.part.index);
        if let Some(change) = self.apply_summary(summary, now_ms, now_ms) {
            self.outgoing_state.queue_relay(key, change, now_ms);
        }
    }

    /// Records the summary of another failure domain, relayed by a VM of this one.
    pub fn record_relayed_summary(&mut self, relayed: RelayedSummary, now_ms: u64) {
        let heard_at_ms = now_ms.saturating_sub(relayed.age_ms);
        match relayed.update {
            SummaryUpdate::Changed(summary) => {
                self.apply_summary(summary, heard_at_ms, now_ms);
            }
            SummaryUpdate::ChangedPart(part, summary) => {
                self.apply_summary(summary.with_part(part), heard_at_ms, now_ms);
            }
            SummaryUpdate::Unchanged { sender, boot_at_ms, stamp, digest } => {
                let part = SummaryPart::WHOLE;
                let renewal = Renewal { sender, part, boot_at_ms, stamp, digest };
                self.renew_summary(renewal, heard_at_ms, now_ms);
            }
            SummaryUpdate::UnchangedPart { part, sender, boot_at_ms, stamp, digest } => {
                let renewal = Renewal { sender, part, boot_at_ms, stamp, digest };
                self.renew_summary(renewal, heard_at_ms, now_ms);
            }
        }
    }

    fn renew_summary(&mut self, renewal: Renewal, heard_at_ms: u64, now_ms: u64) {
        if let Some(summary) = self.remote_domains.renew(renewal, heard_at_ms) {
            let forget_at_ms = heard_at_ms + self.timing.forget_after_ms;
            self.known_vms.record_members(summary, forget_at_ms, now_ms);
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
        let forget_at_ms = heard_at_ms + self.timing.forget_after_ms;
        self.known_vms.record_members(&summary, forget_at_ms, now_ms);
        self.remote_domains.apply_summary(summary, heard_at_ms, &self.timing, now_ms)
    }

    /// Returns when this VM's process started, in milliseconds since the Unix epoch.
    pub fn boot_at_ms(&self) -> u64 {
        self.own.state.boot_at_ms
    }

    /// Returns this VM's address for messages between VMs.
    pub fn peer_address(&self) -> SocketAddr {
        self.own.descriptor.peer_address
    }

    /// Returns the failure domain and region of the VM at an address for messages between VMs, if they
    /// are known.
    pub fn locality_of(&self, peer_address: SocketAddr) -> Option<(&str, &str)> {
        let locality = self.known_vms.locality(peer_address)?;
        Some((&locality.domain, &locality.region))
    }

    /// Returns this VM's region.
    pub fn own_region(&self) -> &str {
        &self.own.descriptor.region
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
                reach: ReportedReach::of(state.load.is_cut_off()),
                store_reachable: state.store_health.is_reachable(),
            });
        let listed =
            self.remote_domains.live_vms(self.timing, now_ms).map(|listed| OtherVmStatus {
                name: listed.descriptor.name.clone(),
                domain: listed.descriptor.domain.clone(),
                silent_ms: 0,
                ready: listed.member.ready,
                leaving: false,
                reach: ReportedReach::default(),
                store_reachable: listed.member.store_reachable,
            });
        let mut others: Vec<_> = heard.chain(listed).collect();
        others.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        others.dedup_by(|one, other| one.name == other.name);
        others
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

    /// Combines the views of the store of this VM, of all VMs that are heard and of the other failure
    /// domains: the longest time for which one of them could reach it, or else whether calls of one
    /// fail.
    pub fn store_health(&self, own: StoreHealth, now_ms: u64) -> StoreHealth {
        let heard = self.peers.values().filter(|peer| !self.is_silent(peer, now_ms));
        let others = heard.map(|peer| {
            peer.state.store_health.extrapolate(now_ms.saturating_sub(peer.heard_at_ms))
        });
        let direct = others.fold(own, StoreHealth::combine);
        direct.combine(self.remote_domains.store_health(&self.timing, now_ms))
    }
}
