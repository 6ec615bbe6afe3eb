//! Heartbeats between all pairs of members of a failure domain.
//!
//! Each heartbeat acknowledges the peer's last one. The card goes along until the peer has
//! acknowledged it, since it is the largest part and changes once in a member's life.

use std::net::SocketAddr;

use super::{LocalState, Membership, probe};
use crate::hash::Map;
use crate::key::{BootId, DomainKey, VmKey};
use crate::lease::{HeardBeat, UpstreamLease};
use crate::message::{Acknowledgement, Envelope, Heartbeat, LeaseClaim, Message, ServiceLoad};
use crate::outbox::Outbox;

/// The most services whose load a heartbeat tells, so that it fits a datagram; those with the
/// fewest slots are left out.
pub(super) const MAX_LOADS: usize = 48;

/// The heartbeats in a row that must name another roster before this node shares its own.
///
/// After a join all members hear of the newcomer directly within one period, so rosters differ for a
/// moment only; they go on differing where a link is cut.
const SHARE_AFTER_BEATS: u32 = 3;

/// What is known of a peer from its own heartbeats.
#[derive(Debug)]
struct Contact {
    beat: HeardBeat,
    sequence: u64,
    /// The heartbeats since the peer last named the roster of this node.
    other_roster_beats: u32,
    /// What the peer's last acknowledgement says of this node's card, and when it came.
    card_leaving: Option<bool>,
    acknowledged_at_ms: u64,
}

/// A member as heard of directly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Heard {
    /// Its boot.
    pub boot: BootId,
    /// When, in milliseconds by this node's clock.
    pub at_ms: u64,
}

/// The exchange of heartbeats with the members of the own failure domain.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    contacts: Map<VmKey, Contact>,
    next_at_ms: u64,
    told: Option<(bool, LeaseClaim)>,
}

impl Heartbeats {
    /// Takes in a heartbeat; returns false if a later one has arrived before. One of an earlier boot
    /// counts only if the later boot has been silent for `valid_ms`.
    pub fn take(
        &mut self,
        envelope: &Envelope,
        heartbeat: &Heartbeat,
        valid_ms: u64,
        out: &Outbox,
    ) -> bool {
        let beat = HeardBeat {
            boot: envelope.boot,
            sent_at_ms: heartbeat.sent_at_ms,
            heard_at_ms: out.now_ms(),
            claim: heartbeat.claim,
            longest_deadline_ms: heartbeat.longest_deadline_ms,
        };
        let contact = self.contacts.entry(envelope.from).or_insert(Contact::new(beat));
        let silent = contact.beat.heard_at_ms + valid_ms <= out.now_ms();
        if envelope.boot < contact.beat.boot && !silent {
            return false;
        }
        if contact.beat.boot != envelope.boot {
            *contact = Contact::new(beat);
        }
        if envelope.sequence <= contact.sequence {
            return false;
        }
        contact.sequence = envelope.sequence;
        contact.beat = beat;
        let acknowledgement = heartbeat.acknowledgement.as_ref();
        if let Some(acknowledgement) =
            acknowledgement.filter(|entry| entry.boot == out.identity().boot)
        {
            contact.card_leaving = acknowledgement.descriptor_leaving;
            contact.acknowledged_at_ms = out.now_ms();
        }
        true
    }

    /// Returns when a member was last heard of directly.
    pub fn heard(&self, vm: VmKey) -> Option<Heard> {
        let contact = self.contacts.get(&vm)?;
        Some(Heard { boot: contact.beat.boot, at_ms: contact.beat.heard_at_ms })
    }

    /// Forgets a member.
    pub fn forget(&mut self, vm: VmKey) {
        self.contacts.remove(&vm);
    }

    /// Whether a peer still needs this node's card: it has not acknowledged it as it stands, or not
    /// for so long that it may have been restarted since.
    fn needs_card(&self, vm: VmKey, valid_ms: u64, out: &Outbox) -> bool {
        let Some(contact) = self.contacts.get(&vm) else {
            return true;
        };
        let stale = contact.acknowledged_at_ms + valid_ms < out.now_ms();
        stale || contact.card_leaving != Some(out.identity().card.leaving)
    }
}

impl Contact {
    fn new(beat: HeardBeat) -> Self {
        Self { beat, sequence: 0, other_roster_beats: 0, card_leaving: None, acknowledged_at_ms: 0 }
    }
}

impl Membership {
    /// Sends the heartbeats that are due; at once to all if this node has begun to leave or has
    /// changed its claim.
    pub(super) fn send_heartbeats(
        &mut self,
        own: LocalState<'_>,
        right: &mut UpstreamLease,
        out: &mut Outbox,
    ) {
        let news = Some((out.identity().card.leaving, right.claim()));
        if out.now_ms() < self.heartbeats.next_at_ms && self.heartbeats.told == news {
            return;
        }
        self.heartbeats.told = news;
        self.heartbeats.next_at_ms = out.now_ms() + self.settings.heartbeat_every_ms;
        let domain = out.identity().card.domain;
        let peers: Vec<(VmKey, SocketAddr)> = self
            .members_in(domain)
            .into_iter()
            .map(|(vm, member)| (vm, member.card.peer_address))
            .collect();
        for (vm, address) in &peers {
            let heartbeat = self.heartbeat(Some(*vm), own, right, out);
            out.send(*address, Message::Heartbeat(Box::new(heartbeat)));
        }
        for address in self.unheard_addresses(domain, &peers, out) {
            let heartbeat = self.heartbeat(None, own, right, out);
            out.send(address, Message::Heartbeat(Box::new(heartbeat)));
        }
        self.probe_silent(out);
    }

    fn heartbeat(
        &self,
        to: Option<VmKey>,
        own: LocalState<'_>,
        right: &mut UpstreamLease,
        out: &Outbox,
    ) -> Heartbeat {
        let valid_ms = self.settings.suspect_after_ms;
        let needs_card = to.is_none_or(|vm| self.heartbeats.needs_card(vm, valid_ms, out));
        Heartbeat {
            sent_at_ms: out.now_ms(),
            descriptor: needs_card.then(|| out.identity().card.clone()),
            configuration: own.news,
            loads: largest_loads(own.loads),
            roster_digest: right.roster_digest(),
            claim: right.claim(),
            longest_deadline_ms: right.longest_deadline_ms(),
            acknowledgement: to.and_then(|vm| self.acknowledgement(vm, right, out)),
        }
    }

    fn acknowledgement(
        &self,
        vm: VmKey,
        right: &mut UpstreamLease,
        out: &Outbox,
    ) -> Option<Acknowledgement> {
        let beat = self.heartbeats.contacts.get(&vm)?.beat;
        let member = self.members.get(&vm).filter(|member| member.boot == beat.boot);
        right.acknowledge(vm, beat, member.map(|member| member.card.leaving), out.now_ms())
    }

    /// Tells a member that goes on naming another roster of the members that this node knows.
    ///
    /// Two members that can't hear each other hear of each other's restarts in this way; else one
    /// would name an old boot for good, and no member that hears both would have a whole upstream.
    pub fn reconcile_roster(&mut self, vm: VmKey, named: u64, own: u64, out: &mut Outbox) {
        let Some(contact) = self.heartbeats.contacts.get_mut(&vm) else {
            return;
        };
        contact.other_roster_beats = if named == own { 0 } else { contact.other_roster_beats + 1 };
        if contact.other_roster_beats >= SHARE_AFTER_BEATS {
            contact.other_roster_beats = 0;
            self.share_roster(vm, out);
        }
    }

    /// Returns the addresses of the failure domain that only the platform's list names.
    fn unheard_addresses(
        &self,
        domain: DomainKey,
        peers: &[(VmKey, SocketAddr)],
        out: &Outbox,
    ) -> Vec<SocketAddr> {
        let own = out.identity().card.peer_address;
        let listed = self.listed_keys.iter().filter(|vm| vm.domain == domain);
        let mut addresses: Vec<_> = listed.map(|vm| vm.peers).collect();
        addresses.retain(|address| *address != own && peers.iter().all(|peer| peer.1 != *address));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Asks others about members that are silent but not yet suspected.
    fn probe_silent(&self, out: &mut Outbox) {
        let domain = out.identity().card.domain;
        let silent_after_ms = self.settings.suspect_after_ms / 2;
        let members = self.members_in(domain);
        for (vm, member) in &members {
            let silent = member.last_heard_at_ms + silent_after_ms <= out.now_ms();
            if silent && !member.suspected {
                let others =
                    members.iter().filter(|(other, entry)| other != vm && entry.accepts_work());
                let others =
                    others.map(|(other, entry)| (*other, entry.card.peer_address)).collect();
                probe::ask(*vm, others, out);
            }
        }
    }
}

/// Returns the loads with the most slots, in the order of their services.
pub(super) fn largest_loads(loads: &[ServiceLoad]) -> Vec<ServiceLoad> {
    let mut largest = loads.to_vec();
    largest.sort_unstable_by_key(|load| (std::cmp::Reverse(load.slots), load.service));
    largest.truncate(MAX_LOADS);
    largest.sort_unstable_by_key(|load| load.service);
    largest
}
