//! The members that this node has heard of, and which of them serve.

use std::net::SocketAddr;

use crate::event::ListedVm;
use crate::hash::Map;
use crate::identity::NodeSettings;
use crate::key::{BootId, DomainKey, VmKey};
use crate::message::{Envelope, Heartbeat, MemberCard, Message, ServiceLoad};
use crate::outbox::Outbox;
use crate::timeline::Topic;

/// A member as last heard of.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its boot.
    pub boot: BootId,
    /// Its name, failure domain and addresses.
    pub card: MemberCard,
    /// The configuration revision that it has in force.
    pub revision: u64,
    /// Its load by service.
    pub loads: Vec<ServiceLoad>,
    /// When its last sign of life arrived, in milliseconds by this node's clock.
    pub heard_at_ms: u64,
    /// Whether it has been silent for too long.
    pub suspect: bool,
}

impl Member {
    /// Whether new work may be sent to it.
    pub fn serves(&self) -> bool {
        !self.suspect && !self.card.leaving
    }
}

/// The members of the whole system, this node not among them.
#[derive(Debug)]
pub struct Membership {
    settings: NodeSettings,
    members: Map<VmKey, Member>,
    listed: Vec<ListedVm>,
    next_heartbeat_at_ms: u64,
}

impl Membership {
    /// Creates an empty table.
    pub fn new(settings: NodeSettings) -> Self {
        Self { settings, members: Map::default(), listed: Vec::new(), next_heartbeat_at_ms: 0 }
    }

    /// Returns a member.
    pub fn member(&self, vm: VmKey) -> Option<&Member> {
        self.members.get(&vm)
    }

    /// Returns all members in the order of their keys.
    pub fn members(&self) -> Vec<(VmKey, &Member)> {
        let mut members: Vec<_> = self.members.iter().map(|(vm, member)| (*vm, member)).collect();
        members.sort_unstable_by_key(|(vm, _)| *vm);
        members
    }

    /// Returns the members of a failure domain that are not suspected, in the order of their keys,
    /// each with whether it is leaving.
    pub fn alive_in(&self, domain: DomainKey) -> Vec<(VmKey, bool)> {
        let mut alive: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.card.domain == domain && !member.suspect)
            .map(|(vm, member)| (*vm, member.card.leaving))
            .collect();
        alive.sort_unstable();
        alive
    }

    /// Takes in the platform's list of VMs.
    pub fn take_list(&mut self, listed: Vec<ListedVm>) {
        self.listed = listed;
    }

    /// Takes in a heartbeat.
    pub fn take_heartbeat(&mut self, envelope: &Envelope, heartbeat: &Heartbeat, out: &mut Outbox) {
        let known = self.members.get(&envelope.from).map(|member| (member.boot, member.suspect));
        if known != Some((envelope.boot, false)) {
            let fields: [(&str, &dyn std::fmt::Display); 2] =
                [("member", &heartbeat.member.name), ("boot", &envelope.boot.0)];
            out.log(Topic::Membership, "member_alive", &fields);
        }
        let member = Member {
            boot: envelope.boot,
            card: heartbeat.member.clone(),
            revision: heartbeat.revision,
            loads: heartbeat.loads.clone(),
            heard_at_ms: out.now_ms(),
            suspect: false,
        };
        self.members.insert(envelope.from, member);
    }

    /// Suspects silent members and sends this node's heartbeat when it is due.
    pub fn tick(&mut self, revision: u64, loads: &[ServiceLoad], out: &mut Outbox) {
        self.suspect_silent(out);
        if out.now_ms() < self.next_heartbeat_at_ms {
            return;
        }
        self.next_heartbeat_at_ms = out.now_ms() + self.settings.heartbeat_every_ms;
        for address in self.addresses(out.identity().card.peers) {
            let member = out.identity().card.clone();
            let heartbeat = Heartbeat { member, revision, loads: loads.to_vec() };
            out.send(address, Message::Heartbeat(heartbeat));
        }
    }

    fn suspect_silent(&mut self, out: &mut Outbox) {
        for member in self.members.values_mut() {
            let silent_since_ms = member.heard_at_ms + self.settings.suspect_after_ms;
            if !member.suspect && silent_since_ms <= out.now_ms() {
                member.suspect = true;
                out.log(Topic::Membership, "member_suspect", &[("member", &member.card.name)]);
            }
        }
    }

    fn addresses(&self, own: SocketAddr) -> Vec<SocketAddr> {
        let listed = self.listed.iter().map(|vm| vm.peers);
        let mut addresses: Vec<_> =
            listed.chain(self.members.values().map(|member| member.card.peers)).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != own);
        addresses
    }
}

/// Returns those that serve among the live VMs of a failure domain, given whether each is leaving.
///
/// Where all are leaving they go on serving until they end: without that, requests of callers who
/// may still use a cached look-up would find no owner.
pub fn serving_among(alive: &[(VmKey, bool)]) -> Vec<VmKey> {
    let all_leaving = alive.iter().all(|(_, leaving)| *leaving);
    alive.iter().filter(|(_, leaving)| all_leaving || !leaving).map(|(vm, _)| *vm).collect()
}
