//! The entry VMs that this one has heard of, and the answers to look-ups.
//!
//! Every VM sends those of its failure domain a small heartbeat, and says how often. One that falls silent
//! is no longer named after some of its periods; one that says that it leaves, at once. Of other domains a
//! VM hears summaries ([`rounds`]). Addresses that VMs hand on of others are only how to reach them, never
//! that they live: hearsay can't keep a dead VM named.

mod elsewhere;
pub mod gossip;
mod heartbeat;
mod known;
mod readers;
mod summary;

use std::net::SocketAddr;

use self::elsewhere::{Elsewhere, Newer};
use self::gossip::Telling;
use self::known::{KnownVms, Standing};
use super::status::OtherVmStatus;
use crate::hash::{Map, Set};
use crate::key::VmKey;

pub use heartbeat::{StoreHealth, VmDescriptor, VmHeartbeat, VmState, VmTiming};
pub use readers::STEP_IN_MS;
pub use summary::{DomainSummary, Member, RelayedSummary, SummaryUpdate};

/// A VM that is heard itself.
#[derive(Debug)]
struct Peer {
    card: VmDescriptor,
    state: VmState,
    heard_at_ms: u64,
}

/// How many VMs of the caller's failure domain are named without others: one is a single point of
/// failure for as long as callers keep the answer.
pub const ENOUGH_NAMED: usize = 2;

/// The most addresses that a look-up names.
const MAX_NAMED: usize = 64;

/// The entry VMs as this one sees them.
#[derive(Debug)]
pub struct VmTable {
    own: VmHeartbeat,
    timing: VmTiming,
    /// Those that are heard themselves: the own failure domain, and others before they are known.
    peers: Map<Box<str>, Peer>,
    elsewhere: Elsewhere,
    known: KnownVms,
    telling: Telling,
    /// Since when no VM of the region has had an answer of the store, in milliseconds.
    without_contact_since_ms: Option<u64>,
}

impl VmTable {
    /// Creates a table in which only this VM stands.
    pub fn new(own: VmHeartbeat, timing: VmTiming) -> Self {
        Self {
            own,
            timing,
            peers: Map::default(),
            elsewhere: Elsewhere::default(),
            known: KnownVms::default(),
            telling: Telling::default(),
            without_contact_since_ms: None,
        }
    }

    /// Returns the time between two heartbeats in milliseconds.
    pub fn period_ms(&self) -> u64 {
        let near = self.known.of_domain(&self.own.descriptor.domain).count();
        let targets = near + self.known.unplaced().count();
        let round_ms = targets as u64 * 1_000 / self.timing.max_heartbeats_per_s.max(1);
        round_ms.max(self.timing.heartbeat_interval_ms)
    }

    /// Returns this VM's key for rendezvous hashing.
    pub fn key(&self) -> VmKey {
        self.own.descriptor.key()
    }

    /// Sets how new this VM's copies are, and what it can tell of the store.
    pub fn set_replica_state(&mut self, changed_at: [u64; 2], store: StoreHealth) {
        self.own.state.newest_version = changed_at;
        self.own.state.store_health = store;
    }

    /// Sets whether this VM takes new requests.
    pub fn set_ready(&mut self, ready: bool) {
        self.own.state.ready = ready;
    }

    /// Notes that this VM is about to stop.
    pub fn begin_leaving(&mut self) {
        self.own.state.leaving = true;
        self.own.state.ready = false;
    }

    /// Whether this VM is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.own.state.leaving
    }

    /// Takes in that a VM may be at an address, of which nothing else is known.
    pub fn add_address(&mut self, address: SocketAddr, now_ms: u64) {
        self.add_known(address, None, now_ms);
        self.known.note(now_ms);
    }

    /// Takes in that a VM of a failure domain and region may be at an address.
    pub fn add_vm(&mut self, address: SocketAddr, domain: &str, region: &str, now_ms: u64) {
        let standing = Standing { domain: domain.into(), region: region.into() };
        self.add_known(address, Some(standing), now_ms);
        self.known.note(now_ms);
    }

    fn add_known(&mut self, address: SocketAddr, standing: Option<Standing>, now_ms: u64) {
        if address != self.own.descriptor.peer_address {
            let until_ms = now_ms + self.timing.forget_after_ms;
            self.known.add(address, standing, until_ms, now_ms);
        }
    }

    /// Returns the addresses to send heartbeats to, without those that have been silent for long: the own
    /// failure domain, and those of which nobody knows yet who is there.
    pub fn heartbeat_targets(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        self.known.forget(now_ms);
        self.elsewhere.forget(self.timing.forget_after_ms, now_ms);
        let near = self.known.of_domain(&self.own.descriptor.domain);
        near.chain(self.known.unplaced()).collect()
    }

    /// Returns the other VMs of the own failure domain, heard or not.
    pub fn domain_addresses(&self) -> Vec<SocketAddr> {
        self.known.of_domain(&self.own.descriptor.domain).collect()
    }

    /// Takes in a heartbeat of another VM.
    pub fn record_heartbeat(&mut self, heartbeat: VmHeartbeat, now_ms: u64) {
        let VmHeartbeat { descriptor: card, state, known } = heartbeat;
        if card.name == self.own.descriptor.name {
            return;
        }
        let standing = Standing::of(&card);
        for address in known {
            self.add_known(address, Some(standing.clone()), now_ms);
        }
        self.take_state(card, state, now_ms);
    }

    /// Takes in what a VM says of itself without how to reach it, and returns whether it is known who that is.
    ///
    /// Of a process that has not said yet how to reach it nothing is taken; it says so soon.
    pub fn record_state(&mut self, from: SocketAddr, state: VmState, now_ms: u64) -> bool {
        let of_process = |peer: &&Peer| {
            peer.card.peer_address == from && peer.state.boot_at_ms == state.boot_at_ms
        };
        let Some(card) = self.peers.values().find(of_process).map(|peer| peer.card.clone()) else {
            return false;
        };
        self.take_state(card, state, now_ms);
        true
    }

    fn take_state(&mut self, card: VmDescriptor, state: VmState, now_ms: u64) {
        let forgotten_at_ms = now_ms + self.timing.forget_after_ms;
        self.known.heard(card.peer_address, &Standing::of(&card), forgotten_at_ms);
        self.known.note(now_ms);
        let last = self.peers.get(&card.name);
        if last.is_some_and(|last| !self.follows(last, &state, now_ms)) {
            return;
        }
        if last.is_none_or(|last| {
            last.state.boot_at_ms != state.boot_at_ms || self.is_silent(last, now_ms)
        }) {
            self.telling.note_newcomer(now_ms);
        }
        self.peers.insert(card.name.clone(), Peer { card, state, heard_at_ms: now_ms });
    }

    /// Whether what a VM says is not of a time before what was last heard of it.
    fn follows(&self, last: &Peer, state: &VmState, now_ms: u64) -> bool {
        if state.boot_at_ms != last.state.boot_at_ms {
            // A delayed datagram of an earlier process must not undo what the later one says. A process
            // that starts after its clock was set back tells of an earlier start too, after a silence.
            return state.boot_at_ms > last.state.boot_at_ms || self.is_silent(last, now_ms);
        }
        // One that was overtaken by the farewell: once a process leaves it doesn't come back.
        state.stamp >= last.state.stamp && (state.leaving || !last.state.leaving)
    }

    /// Takes in what another failure domain says of its VMs, as its sender told this VM.
    pub fn record_summary(&mut self, summary: DomainSummary, now_ms: u64) {
        let sender = summary.sender();
        if let Some(newer) = self.take(summary, now_ms, now_ms) {
            self.telling.note_summary(sender, newer, now_ms);
        }
    }

    /// Takes in what another failure domain says of its VMs, as a VM of this one passes it on.
    pub fn record_relayed_summary(&mut self, passed_on: RelayedSummary, now_ms: u64) {
        let heard_at_ms = now_ms.saturating_sub(passed_on.age_ms);
        match passed_on.news {
            SummaryUpdate::Changed(summary) => {
                self.take(summary, heard_at_ms, now_ms);
            }
            SummaryUpdate::Unchanged { sender, boot, stamp, digest } => {
                let same = self.elsewhere.repeat(sender, (boot, stamp), digest, heard_at_ms);
                if let Some(summary) = same {
                    let forgotten_at_ms = heard_at_ms + self.timing.forget_after_ms;
                    self.known.listed(summary, forgotten_at_ms);
                }
            }
        }
    }

    fn take(&mut self, summary: DomainSummary, heard_at_ms: u64, now_ms: u64) -> Option<Newer> {
        if summary.domain == self.own.descriptor.domain {
            return None;
        }
        let own = Standing::of(&self.own.descriptor);
        for ip in &summary.yours {
            let address = SocketAddr::new(*ip, self.own.descriptor.peer_address.port());
            self.add_known(address, Some(own.clone()), now_ms);
        }
        self.known.listed(&summary, heard_at_ms + self.timing.forget_after_ms);
        let newer = self.elsewhere.take(summary, heard_at_ms, &self.timing, now_ms);
        self.known.note(now_ms);
        newer
    }

    /// Returns the number of VMs that share what holds for all of them, this one among them.
    ///
    /// Those known by address only count too: a VM that has just started has heard of none, and would
    /// take the limits of all for its own. One that is no longer heard may serve on behind a cut, so its
    /// part is not taken over: VMs that don't hear each other would each have all of it.
    pub fn sharing_vm_count(&self, now_ms: u64) -> usize {
        1 + self.known.most_heard().max(self.known.count(now_ms))
    }

    /// Returns the most VMs, this one among them, that were ever known at a time, heard or not.
    ///
    /// Among them are VMs that are gone for good and whose rows the store still has: for limits of which a
    /// part too small costs little.
    pub fn max_known_vm_count(&self) -> usize {
        1 + self.known.most_heard().max(self.known.most_known())
    }

    /// Returns what is known of the other VMs, in the order of names.
    pub fn other_vms(&self, now_ms: u64) -> Vec<OtherVmStatus> {
        let heard = self.peers.values().map(|Peer { card, state, heard_at_ms }| OtherVmStatus {
            name: card.name.clone(),
            domain: card.domain.clone(),
            silent_ms: now_ms.saturating_sub(*heard_at_ms),
            ready: state.ready,
            leaving: state.leaving,
            store_reachable: state.store_health.is_reachable(),
        });
        let listed = self.elsewhere.listed(self.timing, now_ms).map(|listed| OtherVmStatus {
            name: listed.card.name.clone(),
            domain: listed.card.domain.clone(),
            silent_ms: 0,
            ready: listed.member.ready,
            leaving: false,
            store_reachable: listed.member.has_store,
        });
        let mut others: Vec<_> = heard.chain(listed).collect();
        others.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        others.dedup_by(|one, other| one.name == other.name);
        others
    }

    /// Returns the VMs that serve, this one among them unless it leaves, in the order of addresses.
    pub fn serving_vms(&self, now_ms: u64) -> Vec<&VmDescriptor> {
        self.serving_where(now_ms, &|_| true)
    }

    fn serving_where(
        &self,
        now_ms: u64,
        fits: &dyn Fn(&VmDescriptor) -> bool,
    ) -> Vec<&VmDescriptor> {
        let heard = self.heard_now(now_ms).filter(|peer| peer.state.ready);
        let heard = heard.map(|peer| &peer.card);
        // What a VM says itself counts more than what others say of it.
        let left: Set<SocketAddr> = self
            .peers
            .values()
            .filter(|peer| peer.state.leaving && !self.is_silent(peer, now_ms))
            .map(|peer| peer.card.peer_address)
            .collect();
        let listed = self.elsewhere.listed(self.timing, now_ms);
        let listed = listed.filter(|listed| listed.member.ready).map(|listed| &listed.card);
        let listed = listed.filter(|card| !left.contains(&card.peer_address));
        let own = (!self.own.state.leaving).then_some(&self.own.descriptor);
        let all = heard.chain(listed).chain(own);
        let mut cards: Vec<_> = all.filter(|card| fits(card)).collect();
        cards.sort_by_key(|card| card.peer_address);
        cards.dedup_by(|one, other| one.peer_address == other.peer_address);
        cards
    }

    /// Returns the VMs that are heard and don't leave.
    fn heard_now(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        let heard = self.peers.values().filter(move |peer| !self.is_silent(peer, now_ms));
        heard.filter(|peer| !peer.state.leaving)
    }

    /// Returns those of them of the own failure domain.
    fn domain_peers(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        let own = &self.own.descriptor.domain;
        self.heard_now(now_ms).filter(move |peer| peer.card.domain == *own)
    }

    fn is_silent(&self, peer: &Peer, now_ms: u64) -> bool {
        now_ms >= peer.heard_at_ms + self.timing.silent_after_ms(peer.state.period_ms)
    }

    /// Returns what all VMs that are heard, this one among them, can tell of the store by now: the
    /// longest for which it has answered one of them, else whether it fails one.
    pub fn store_health(&self, own: StoreHealth, now_ms: u64) -> StoreHealth {
        let heard = self.peers.values().filter(|peer| !self.is_silent(peer, now_ms));
        let others =
            heard.map(|peer| peer.state.store_health.aged(now_ms.saturating_sub(peer.heard_at_ms)));
        let near = others.fold(own, StoreHealth::with);
        near.with(self.elsewhere.store(&self.timing, now_ms))
    }

    /// Answers a look-up from a failure domain and region with the addresses of entry VMs.
    ///
    /// VMs of the caller's own failure domain come alone if there are [`ENOUGH_NAMED`], since a byte
    /// that crosses to another costs; else those of its region, or all. Never empty unless this VM
    /// leaves and knows no other.
    pub fn look_up(&self, domain: &str, region: &str, now_ms: u64) -> Vec<SocketAddr> {
        let near = |fits: &dyn Fn(&VmDescriptor) -> bool| -> Vec<SocketAddr> {
            let serving = self.serving_where(now_ms, fits);
            serving.into_iter().map(|card| card.caller_address).take(MAX_NAMED).collect()
        };
        let in_domain = near(&|card| &*card.domain == domain);
        if in_domain.len() >= ENOUGH_NAMED {
            return in_domain;
        }
        let in_region = near(&|card| &*card.region == region);
        if in_region.is_empty() { near(&|_| true) } else { in_region }
    }
}
