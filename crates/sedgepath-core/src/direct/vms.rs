//! The entry VMs that this one has heard of, and the answers to look-ups.
//!
//! Every VM sends every other a small heartbeat, the more rarely the more there are, and says how
//! often. One that falls silent is no longer named after some of its periods; one that says that it
//! leaves, at once. What VMs pass on of others is only how to reach them, never that they live: hearsay
//! can't keep a dead VM named.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::status::OtherVm;
use crate::clock::Stamp;
use crate::hash::{Map, Set};

/// How to reach an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmCard {
    /// The VM's name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Its region.
    pub region: Box<str>,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Where it takes other VMs' datagrams.
    pub peers: SocketAddr,
}

/// What a VM can tell of the store from its own calls.
///
/// A VM that makes no calls knows nothing of the store. Taken for one that gets no answer, it made an
/// outage of the moment in which all VMs that follow the store were suspended: the removal of an
/// upstream, read right after, counted as a lapse, and the upstream got requests for 2 s more.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreView {
    /// It makes no calls, or has had the end of none yet.
    #[default]
    Unasked,
    /// It has been answered.
    Answers {
        /// For how long without a break, in milliseconds.
        for_ms: u64,
    },
    /// Its last call failed.
    Fails,
}

impl StoreView {
    /// Returns for how long the store has answered without a break, in milliseconds.
    pub fn contact_ms(self) -> Option<u64> {
        match self {
            Self::Answers { for_ms } => Some(for_ms),
            Self::Unasked | Self::Fails => None,
        }
    }

    /// Whether the store answers.
    pub fn answers(self) -> bool {
        matches!(self, Self::Answers { .. })
    }
}

/// What a VM tells the others of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmHeartbeat {
    /// When it was sent, in the order of events over all VMs.
    pub stamp: Stamp,
    /// The time until its next one, in milliseconds.
    pub period_ms: u64,
    /// How to reach it.
    pub card: VmCard,
    /// When its process started, in milliseconds since the Unix epoch; the later of two counts.
    pub boot: u64,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// How new its copies of the store's tables are, by the store's versions.
    pub changed_at: [u64; 2],
    /// What it can tell of the store.
    pub store: StoreView,
    /// Where it sends datagrams to: addresses that the receiver may not know yet.
    pub known: Vec<SocketAddr>,
}

/// When a VM counts as silent and as forgotten.
#[derive(Debug, Clone, Copy)]
pub struct VmTiming {
    /// The time between two heartbeats in milliseconds, while there are few VMs.
    pub heartbeat_ms: u64,
    /// The most heartbeats that a VM sends in a second. With more VMs than fit, the time between
    /// two grows.
    pub heartbeats_per_s: u64,
    /// The longest silence after which a VM is no longer named, in milliseconds.
    pub max_silence_ms: u64,
    /// The silence after which a VM no longer shares the limits that hold for all, in milliseconds.
    pub forgotten_after_ms: u64,
}

#[derive(Debug)]
struct Peer {
    heartbeat: VmHeartbeat,
    heard_at_ms: u64,
}

impl VmTiming {
    /// Returns the silence after which a VM is no longer named, in milliseconds, by its own period.
    fn silent_after_ms(&self, peer: &Peer) -> u64 {
        let silence_ms = (peer.heartbeat.period_ms as f64 * SILENT_PERIODS) as u64;
        silence_ms.min(self.max_silence_ms)
    }

    /// Returns the silence after which others stop relying on a VM to follow the store, in
    /// milliseconds.
    fn reader_silent_after_ms(&self, peer: &Peer) -> u64 {
        let silence_ms = (peer.heartbeat.period_ms as f64 * READER_SILENT_PERIODS) as u64;
        silence_ms.min(self.max_silence_ms)
    }
}

/// The periods of silence after which a VM is no longer named: three heartbeats may be lost.
const SILENT_PERIODS: f64 = 4.4;

/// The periods of silence after which others stop relying on a VM to follow the store: one heartbeat
/// may be lost. All that follow it may be suspended at once, and a leaving upstream may get requests
/// for 2.5 s only; one more VM that reads for a moment costs some calls.
const READER_SILENT_PERIODS: f64 = 2.6;

/// How many VMs follow the store at the least, over all regions, if there are as many: with two, one
/// may die and another be cut off before the silence of either shows.
const MIN_READERS: usize = 3;

/// How many VMs of the caller's failure domain are named without others: one is a single point of
/// failure for as long as callers keep the answer.
pub const ENOUGH_NAMED: usize = 2;

/// The time after which one more VM tries the store while none of the region has an answer, in
/// milliseconds: about a call to a store that is there.
pub const STEP_IN_MS: u64 = 250;

/// The most addresses that a look-up names.
const MAX_NAMED: usize = 64;

/// The addresses of others that a heartbeat carries, other ones each time. A VM learns of all others from
/// the store; these are for one that can't reach it, and many would be most of a heartbeat's bytes.
const KNOWN_PER_HEARTBEAT: usize = 4;

/// The entry VMs as this one sees them.
#[derive(Debug)]
pub struct Vms {
    own: VmHeartbeat,
    timing: VmTiming,
    peers: Map<Box<str>, Peer>,
    /// Since when no VM of the region has had an answer of the store, in milliseconds.
    without_contact_since_ms: Option<u64>,
    /// How many addresses have been told in heartbeats.
    told: usize,
    /// Addresses to send heartbeats to, with the moment up to which they are tried unanswered.
    addresses: Map<SocketAddr, u64>,
    /// The most other VMs that were ever heard at a time.
    most_heard: usize,
    /// The most other VMs that were ever known by address at a time.
    most_known: usize,
}

impl Vms {
    /// Creates a table in which only this VM stands.
    pub fn new(own: VmHeartbeat, timing: VmTiming) -> Self {
        Self {
            own,
            timing,
            peers: Map::default(),
            without_contact_since_ms: None,
            told: 0,
            addresses: Map::default(),
            most_heard: 0,
            most_known: 0,
        }
    }

    /// Returns what this VM tells the others, sent now.
    pub fn heartbeat(&mut self, stamp: Stamp) -> VmHeartbeat {
        let mut heartbeat = self.own.clone();
        heartbeat.stamp = stamp;
        heartbeat.period_ms = self.period_ms();
        let next = self.told;
        self.told = next.wrapping_add(KNOWN_PER_HEARTBEAT);
        let from = next % self.addresses.len().max(1);
        let known = self.addresses.keys().copied().cycle().skip(from);
        heartbeat.known = known.take(KNOWN_PER_HEARTBEAT.min(self.addresses.len())).collect();
        heartbeat
    }

    /// Returns the time between two heartbeats in milliseconds.
    pub fn period_ms(&self) -> u64 {
        let round_ms = self.addresses.len() as u64 * 1_000 / self.timing.heartbeats_per_s.max(1);
        round_ms.max(self.timing.heartbeat_ms)
    }

    /// Sets how new this VM's copies are, and what it can tell of the store.
    pub fn set_copies(&mut self, changed_at: [u64; 2], store: StoreView) {
        self.own.changed_at = changed_at;
        self.own.store = store;
    }

    /// Sets whether this VM takes new requests.
    pub fn set_ready(&mut self, ready: bool) {
        self.own.ready = ready;
    }

    /// Notes that this VM is about to stop.
    pub fn leave(&mut self) {
        self.own.leaving = true;
        self.own.ready = false;
    }

    /// Whether this VM is about to stop.
    pub fn leaving(&self) -> bool {
        self.own.leaving
    }

    /// Adds an address to send heartbeats to.
    pub fn add_address(&mut self, address: SocketAddr, now_ms: u64) {
        if address != self.own.card.peers {
            let until_ms = now_ms + self.timing.forgotten_after_ms;
            self.addresses.entry(address).or_insert(until_ms);
            self.note_known(now_ms);
        }
    }

    /// Returns the addresses to send heartbeats to, without those that have been silent for long.
    pub fn addresses(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        self.addresses.retain(|_, until_ms| *until_ms > now_ms);
        self.addresses.keys().copied().collect()
    }

    /// Takes in a heartbeat of another VM.
    pub fn heard(&mut self, heartbeat: VmHeartbeat, now_ms: u64) {
        if heartbeat.card.name == self.own.card.name {
            return;
        }
        let forgotten_at_ms = now_ms + self.timing.forgotten_after_ms;
        self.addresses.insert(heartbeat.card.peers, forgotten_at_ms);
        for address in &heartbeat.known {
            self.add_address(*address, now_ms);
        }
        // A delayed datagram of an earlier process must not undo what the later one says.
        let later = self
            .peers
            .get(&heartbeat.card.name)
            .is_none_or(|peer| peer.heartbeat.boot <= heartbeat.boot);
        // A heartbeat that was overtaken by the farewell: once a process leaves it doesn't come back.
        let left = self.peers.get(&heartbeat.card.name).is_some_and(|peer| {
            peer.heartbeat.boot == heartbeat.boot && peer.heartbeat.leaving && !heartbeat.leaving
        });
        if later && !left {
            let name = heartbeat.card.name.clone();
            self.peers.insert(name, Peer { heartbeat, heard_at_ms: now_ms });
        }
        self.note_known(now_ms);
    }

    /// Returns the number of VMs that share what holds for all of them, this one among them.
    ///
    /// Those known by address only count too: a VM that has just started has heard of none, and would
    /// take the limits of all for its own. One that is no longer heard may serve on behind a cut, so its
    /// part is not taken over: VMs that don't hear each other would each have all of it.
    pub fn sharing(&self, now_ms: u64) -> usize {
        1 + self.most_heard.max(self.known(now_ms))
    }

    /// Returns the most VMs, this one among them, that were ever known at a time, heard or not.
    ///
    /// Among them are VMs that are gone for good and whose rows the store still has: for limits of which a
    /// part too small costs little.
    pub fn most_known(&self) -> usize {
        1 + self.most_heard.max(self.most_known)
    }

    /// Returns how many other VMs are known by address and are tried or heard.
    fn known(&self, now_ms: u64) -> usize {
        self.addresses.values().filter(|until_ms| now_ms < **until_ms).count()
    }

    /// Notes how many VMs are heard and known now.
    fn note_known(&mut self, now_ms: u64) {
        let forgotten_after_ms = self.timing.forgotten_after_ms;
        let heard = |peer: &&Peer| now_ms < peer.heard_at_ms + forgotten_after_ms;
        self.most_heard = self.most_heard.max(self.peers.values().filter(heard).count());
        self.most_known = self.most_known.max(self.known(now_ms));
    }

    /// Returns what is known of the other VMs, in the order of names.
    pub fn others(&self, now_ms: u64) -> Vec<OtherVm> {
        let mut others: Vec<_> = self
            .peers
            .values()
            .map(|Peer { heartbeat, heard_at_ms }| OtherVm {
                name: heartbeat.card.name.clone(),
                domain: heartbeat.card.domain.clone(),
                silent_ms: now_ms.saturating_sub(*heard_at_ms),
                ready: heartbeat.ready,
                leaving: heartbeat.leaving,
                has_store: heartbeat.store.answers(),
            })
            .collect();
        others.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        others
    }

    /// Returns the VMs that serve, this one among them unless it leaves, in the order of names.
    pub fn serving(&self, now_ms: u64) -> Vec<&VmCard> {
        let mut cards: Vec<_> = self
            .peers
            .values()
            .filter(|peer| now_ms < peer.heard_at_ms + self.timing.silent_after_ms(peer))
            .filter(|peer| peer.heartbeat.ready && !peer.heartbeat.leaving)
            .map(|peer| &peer.heartbeat.card)
            .collect();
        if !self.own.leaving {
            cards.push(&self.own.card);
        }
        cards.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        cards
    }

    /// Whether this VM is one of those that follow the store.
    ///
    /// Each region has its own, so that one behind a cut goes on by itself; with few regions there
    /// are more of each, so that the death of one is never a gap. A VM that hears no other of its
    /// region ranks first and follows the store by itself.
    ///
    /// The store may turn away just those that follow it. While none of the region has an answer of
    /// it, one more VM in the order of names tries every [`STEP_IN_MS`]; were all to try at once, a
    /// store that is down for all would get calls of every VM.
    pub fn reads_store(&mut self, now_ms: u64) -> bool {
        let alive: Vec<&VmHeartbeat> = self
            .peers
            .values()
            .filter(|peer| now_ms < peer.heard_at_ms + self.timing.reader_silent_after_ms(peer))
            .map(|peer| &peer.heartbeat)
            .filter(|heartbeat| !heartbeat.leaving)
            .collect();
        let regions: Set<&str> = alive.iter().map(|peer| &*peer.card.region).collect();
        let own_region = &self.own.card.region;
        let others = regions.iter().filter(|region| **region != &**own_region).count();
        let readers = MIN_READERS.div_ceil(1 + others);
        let near = || alive.iter().filter(|peer| peer.card.region == *own_region);
        let before = near().filter(|peer| peer.card.name < self.own.card.name).count();
        let contact = near().any(|peer| peer.store.answers()) || self.own.store.answers();
        let since_ms = *self.without_contact_since_ms.get_or_insert(now_ms);
        if contact {
            self.without_contact_since_ms = None;
        }
        let stepping_in = match self.without_contact_since_ms {
            Some(_) => 1 + (now_ms.saturating_sub(since_ms) / STEP_IN_MS) as usize,
            None => 0,
        };
        // One that follows the store without being of the first goes on until these have an answer.
        let needed = near().filter(|peer| peer.store.answers()).count() < readers
            && self.own.store.answers();
        before < readers + stepping_in || needed
    }

    /// Returns what all VMs that are heard, this one among them, can tell of the store by now: the
    /// longest for which it has answered one of them, else whether it fails one.
    pub fn store(&self, own: StoreView, now_ms: u64) -> StoreView {
        let alive = self
            .peers
            .values()
            .filter(|peer| now_ms < peer.heard_at_ms + self.timing.silent_after_ms(peer));
        let others = alive.map(|peer| match peer.heartbeat.store {
            StoreView::Answers { for_ms } => {
                StoreView::Answers { for_ms: for_ms + now_ms.saturating_sub(peer.heard_at_ms) }
            }
            view => view,
        });
        let (mut answered_ms, mut fails) = (None, false);
        for view in others.chain([own]) {
            answered_ms = answered_ms.max(view.contact_ms());
            fails |= view == StoreView::Fails;
        }
        match answered_ms {
            Some(for_ms) => StoreView::Answers { for_ms },
            None if fails => StoreView::Fails,
            None => StoreView::Unasked,
        }
    }

    /// Answers a look-up from a failure domain and region with the addresses of entry VMs.
    ///
    /// VMs of the caller's own failure domain come alone if there are [`ENOUGH_NAMED`], since a byte
    /// that crosses to another costs; else those of its region, or all. Never empty unless this VM
    /// leaves and knows no other.
    pub fn look_up(&self, domain: &str, region: &str, now_ms: u64) -> Vec<SocketAddr> {
        let serving = self.serving(now_ms);
        let near = |fits: &dyn Fn(&VmCard) -> bool| -> Vec<SocketAddr> {
            let fitting = serving.iter().filter(|card| fits(card));
            fitting.map(|card| card.callers).take(MAX_NAMED).collect()
        };
        let in_domain = near(&|card| &*card.domain == domain);
        if in_domain.len() >= ENOUGH_NAMED {
            return in_domain;
        }
        let in_region = near(&|card| &*card.region == region);
        if in_region.is_empty() { near(&|_| true) } else { in_region }
    }
}
