//! Heartbeats between all pairs of members of a failure domain.
//!
//! Each heartbeat acknowledges the last one received from the peer. The member descriptor, the
//! largest part, is included only until the peer has acknowledged it.

use std::net::SocketAddr;

use super::{LocalState, Membership, probe};
use crate::hash::Map;
use crate::key::{BootId, DomainKey, VmKey};
use crate::lease::{ReceivedHeartbeat, UpstreamLease};
use crate::message::{Acknowledgement, Envelope, Heartbeat, LeaseClaim, Message, ServiceLoad};
use crate::outbox::Outbox;

/// The maximum number of service loads in a heartbeat, so that it fits in a datagram; services with
/// the fewest slots are omitted.
pub(super) const MAX_LOADS_PER_MEMBER: usize = 48;

/// The number of consecutive heartbeats with a different roster before this node sends its own.
///
/// After a join, rosters differ for about one heartbeat interval; a lasting difference indicates a
/// broken link.
const ROSTER_MISMATCHES_BEFORE_SHARING: u32 = 3;

/// The state of a peer as reported by its own heartbeats.
#[derive(Debug)]
struct PeerState {
    heartbeat: ReceivedHeartbeat,
    sequence: u64,
    /// The number of heartbeats since the peer last had the same roster as this node.
    roster_mismatches: u32,
    /// The leaving flag of this node's descriptor in the peer's last acknowledgement.
    descriptor_leaving: Option<bool>,
    acknowledged_at_ms: u64,
}

/// When, and from which boot, a member's last heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LastHeartbeat {
    /// The boot that sent the heartbeat.
    pub boot: BootId,
    /// The arrival time, in milliseconds by this node's clock.
    pub received_at_ms: u64,
}

/// The state of the heartbeat exchange with the members of the own failure domain.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    peers: Map<VmKey, PeerState>,
    next_at_ms: u64,
    /// The leaving flag and the lease claim in the last heartbeats sent.
    announced: Option<(bool, LeaseClaim)>,
}

impl Heartbeats {
    /// Records a heartbeat; returns false if it is stale. A heartbeat from an earlier boot is
    /// accepted only if the later boot has been silent for `suspect_after_ms`.
    pub fn record(
        &mut self,
        envelope: &Envelope,
        heartbeat: &Heartbeat,
        suspect_after_ms: u64,
        out: &Outbox,
    ) -> bool {
        let received = ReceivedHeartbeat {
            boot: envelope.boot,
            sent_at_ms: heartbeat.sent_at_ms,
            received_at_ms: out.now_ms(),
            claim: heartbeat.claim,
            longest_deadline_ms: heartbeat.longest_deadline_ms,
        };
        let peer = self.peers.entry(envelope.from).or_insert(PeerState::new(received));
        let is_silent = peer.heartbeat.received_at_ms + suspect_after_ms <= out.now_ms();
        if envelope.boot < peer.heartbeat.boot && !is_silent {
            return false;
        }
        if peer.heartbeat.boot != envelope.boot {
            *peer = PeerState::new(received);
        }
        if envelope.sequence <= peer.sequence {
            return false;
        }
        peer.sequence = envelope.sequence;
        peer.heartbeat = received;
        let acknowledgement = heartbeat.acknowledgement.as_ref();
        if let Some(acknowledgement) =
            acknowledgement.filter(|entry| entry.boot == out.identity().boot)
        {
            peer.descriptor_leaving = acknowledgement.descriptor_leaving;
            peer.acknowledged_at_ms = out.now_ms();
        }
        true
    }

    /// Returns when a member's last heartbeat arrived.
    pub fn last_received(&self, vm: VmKey) -> Option<LastHeartbeat> {
        let peer = self.peers.get(&vm)?;
        Some(LastHeartbeat {
            boot: peer.heartbeat.boot,
            received_at_ms: peer.heartbeat.received_at_ms,
        })
    }

    /// Discards the state of a member.
    pub fn forget(&mut self, vm: VmKey) {
        self.peers.remove(&vm);
    }

    /// Returns whether a peer needs this node's descriptor: it has not acknowledged the current
    /// one, or its acknowledgement is old enough that the peer may have restarted since.
    fn needs_descriptor(&self, vm: VmKey, suspect_after_ms: u64, out: &Outbox) -> bool {
        let Some(peer) = self.peers.get(&vm) else {
            return true;
        };
        let is_stale = peer.acknowledged_at_ms + suspect_after_ms < out.now_ms();
        is_stale || peer.descriptor_leaving != Some(out.identity().descriptor.leaving)
    }
}

impl PeerState {
    fn new(received: ReceivedHeartbeat) -> Self {
        Self {
            heartbeat: received,
            sequence: 0,
            roster_mismatches: 0,
            descriptor_leaving: None,
            acknowledged_at_ms: 0,
        }
    }
}

impl Membership {
    /// Sends heartbeats if they are due, or immediately if this node's leaving flag or claim has
    /// changed.
    pub(super) fn send_heartbeats(
        &mut self,
        local_state: LocalState<'_>,
        lease: &mut UpstreamLease,
        out: &mut Outbox,
    ) {
        let announcement = Some((out.identity().descriptor.leaving, lease.claim()));
        if out.now_ms() < self.heartbeats.next_at_ms && self.heartbeats.announced == announcement {
            return;
        }
        self.heartbeats.announced = announcement;
        self.heartbeats.next_at_ms = out.now_ms() + self.settings.heartbeat_every_ms;
        let domain = out.identity().descriptor.domain;
        let peers: Vec<(VmKey, SocketAddr)> = self
            .members_in(domain)
            .into_iter()
            .map(|(vm, member)| (vm, member.descriptor.peer_address))
            .collect();
        for (vm, address) in &peers {
            let heartbeat = self.heartbeat(Some(*vm), local_state, lease, out);
            out.send(*address, Message::Heartbeat(Box::new(heartbeat)));
        }
        for address in self.listed_only_addresses(domain, &peers, out) {
            let heartbeat = self.heartbeat(None, local_state, lease, out);
            out.send(address, Message::Heartbeat(Box::new(heartbeat)));
        }
        self.probe_silent(out);
    }

    fn heartbeat(
        &self,
        to: Option<VmKey>,
        local_state: LocalState<'_>,
        lease: &mut UpstreamLease,
        out: &Outbox,
    ) -> Heartbeat {
        let suspect_after_ms = self.settings.suspect_after_ms;
        let needs_descriptor =
            to.is_none_or(|vm| self.heartbeats.needs_descriptor(vm, suspect_after_ms, out));
        Heartbeat {
            sent_at_ms: out.now_ms(),
            descriptor: needs_descriptor.then(|| out.identity().descriptor.clone()),
            configuration: local_state.configuration,
            loads: largest_loads(local_state.loads),
            roster_digest: lease.roster_digest(),
            claim: lease.claim(),
            longest_deadline_ms: lease.longest_deadline_ms(),
            acknowledgement: to.and_then(|vm| self.acknowledgement(vm, lease, out)),
        }
    }

    fn acknowledgement(
        &self,
        vm: VmKey,
        lease: &mut UpstreamLease,
        out: &Outbox,
    ) -> Option<Acknowledgement> {
        let received = self.heartbeats.peers.get(&vm)?.heartbeat;
        let member = self.members.get(&vm).filter(|member| member.boot == received.boot);
        lease.acknowledge(
            vm,
            received,
            member.map(|member| member.descriptor.leaving),
            out.now_ms(),
        )
    }

    /// Sends this node's roster to a member whose roster differs persistently.
    ///
    /// This informs two members that cannot reach each other of each other's restarts. Otherwise
    /// one would keep an outdated boot in its roster, and no member that reaches both could hold a
    /// lease.
    pub fn reconcile_roster(
        &mut self,
        vm: VmKey,
        peer_digest: u64,
        own_digest: u64,
        out: &mut Outbox,
    ) {
        let Some(peer) = self.heartbeats.peers.get_mut(&vm) else {
            return;
        };
        peer.roster_mismatches =
            if peer_digest == own_digest { 0 } else { peer.roster_mismatches + 1 };
        if peer.roster_mismatches >= ROSTER_MISMATCHES_BEFORE_SHARING {
            peer.roster_mismatches = 0;
            self.share_roster(vm, out);
        }
    }

    /// Returns the addresses in the failure domain that are known only from the platform's VM list.
    fn listed_only_addresses(
        &self,
        domain: DomainKey,
        peers: &[(VmKey, SocketAddr)],
        out: &Outbox,
    ) -> Vec<SocketAddr> {
        let own_address = out.identity().descriptor.peer_address;
        let listed = self.listed_keys.iter().filter(|vm| vm.domain == domain);
        let mut addresses: Vec<_> = listed.map(|vm| vm.peers).collect();
        addresses.retain(|address| {
            *address != own_address && peers.iter().all(|peer| peer.1 != *address)
        });
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Probes members that are silent but not yet suspected.
    fn probe_silent(&self, out: &mut Outbox) {
        let domain = out.identity().descriptor.domain;
        let silent_after_ms = self.settings.suspect_after_ms / 2;
        let members = self.members_in(domain);
        for (vm, member) in &members {
            let is_silent = member.last_heard_at_ms + silent_after_ms <= out.now_ms();
            if is_silent && !member.suspected {
                let others =
                    members.iter().filter(|(other, entry)| other != vm && entry.accepts_work());
                let others =
                    others.map(|(other, entry)| (*other, entry.descriptor.peer_address)).collect();
                probe::send_probes(*vm, others, out);
            }
        }
    }
}

/// Returns the loads with the most slots, in the order of their services.
pub(super) fn largest_loads(loads: &[ServiceLoad]) -> Vec<ServiceLoad> {
    let mut largest = loads.to_vec();
    largest.sort_unstable_by_key(|load| (std::cmp::Reverse(load.slots), load.service));
    largest.truncate(MAX_LOADS_PER_MEMBER);
    largest.sort_unstable_by_key(|load| load.service);
    largest
}
