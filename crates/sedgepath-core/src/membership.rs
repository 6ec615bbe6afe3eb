//! The members that this node has heard of, and which of them serve.
//!
//! # Problem
//!
//! Every node needs to know who serves where, soon after a change, while datagrams are lost, links
//! are cut and processes pause; and the owner's right ([`crate::lease`]) needs each member of the
//! own failure domain to acknowledge this node's heartbeats. What a node sends may not grow with the
//! number of all nodes.
//!
//! # What was weighed
//!
//! - *SWIM alone* (Das et al., 2002): each node pings a few random peers a second, whatever the size
//!   of the domain. It finds dead members cheaply, but the owner's right needs an answer of every
//!   member within each period, which random pings don't bring.
//! - *A collector per domain* that gathers heartbeats and broadcasts who was heard: constant cost at
//!   members, but the right would hang on the collector's life and three hops instead of one.
//! - *Heartbeats between all pairs of a domain, each of which acknowledges the peer's last one*
//!   (chosen): one datagram per pair and direction and period serves as ping and acknowledgement.
//!   A domain is bounded (about 42 entry VMs in the largest system planned), so the cost is too.
//!
//! SWIM's indirect probes are kept: a member that falls silent is suspected only if the peers asked
//! have not heard of it directly either (module `probe`).
//!
//! Between domains two relays exchange summaries and pass them on inside their domains (module `relay`).
//!
//! # Cost
//!
//! With `n` members in a domain, a period `h` between heartbeats and datagrams of `b` bytes, a node
//! sends and receives `(n - 1) * b / h` bytes a second each. The card is left out of a heartbeat once
//! the peer has acknowledged it, and only owners have loads to tell. Measured by the example
//! `control_slopes` with five domains of 40 members, nine upstreams each and no requests: at periods of
//! 1 s for heartbeats and 5 s for summaries a node sends 40 datagrams and 4.6 KB a second and receives
//! as much, 114 bytes a datagram; the busiest relay sends and receives 16.2 KB together. At 1.5 s and
//! 10 s it is 3.0 KB each way and 8.3 KB for the busiest. The defaults of 250 ms and 500 ms are meant
//! for domains of a few members: two in each of five domains cost a node 1.8 KB each way.
//!
//! The right lasts `suspect_after_ms` from the heartbeat's sending and the acknowledgement rides on the
//! peer's next one, so `suspect_after_ms` should be at least three periods.
//!
//! # Invariants
//!
//! - What is heard directly counts more than what is heard from others, and a live heartbeat more
//!   than the platform's list: the list adds addresses to ping and allows that a silent member is
//!   forgotten, nothing else.
//! - [`Member::last_heard_at_ms`] is never later than the member's last sign of life by more than the
//!   transit of the datagrams that carried it: an age is measured where the sign arrived and carried
//!   along. Hearsay of hearsay can't keep a dead member alive, since ages only grow.
//!   The transit includes the time that a datagram waits while its receiver is paused.
//! - Of two boots of a member the later one counts. Boots are numbered by the time of their start, so
//!   datagrams of an earlier boot that waited at a paused node are told apart; should a VM's clock
//!   have been set back, its new boot counts once the old one is suspected.

use std::net::SocketAddr;

use crate::event::ListedVm;
use crate::hash::Map;
use crate::identity::NodeSettings;
use crate::key::{BootId, DomainKey, VmKey};
use crate::lease::UpstreamLease;
use crate::message::{
    ConfigurationStatus, Envelope, Heartbeat, MemberDescriptor, MembershipSummary, Message, Probe,
    ProbeAnswer, ServiceLoad,
};
use crate::outbox::Outbox;
use crate::rendezvous;
use crate::timeline::Topic;

mod heartbeat;
mod probe;
mod relay;

use heartbeat::Heartbeats;
use relay::Relay;

/// The rounds of summaries that may be lost before a member of another failure domain is suspected.
const LOST_ROUNDS: u64 = 4;

/// A member as last heard of.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its boot.
    pub boot: BootId,
    /// Its name, failure domain and addresses.
    pub card: MemberDescriptor,
    /// The configuration revision that it has in force.
    pub revision: u64,
    /// Its load by service.
    pub loads: Vec<ServiceLoad>,
    /// When it gave its last sign of life, in milliseconds by this node's clock. For a member that
    /// a relay told of, this is the arrival of the summary less the age that it gave.
    pub last_heard_at_ms: u64,
    /// Whether it has been silent for too long.
    pub suspected: bool,
}

impl Member {
    /// Whether new work may be sent to it.
    pub fn accepts_work(&self) -> bool {
        !self.suspected && !self.card.leaving
    }
}

/// What a node tells the members about itself.
#[derive(Debug, Clone, Copy)]
pub struct LocalState<'a> {
    /// What the node knows of the configuration.
    pub news: ConfigurationStatus,
    /// The load by service.
    pub loads: &'a [ServiceLoad],
}

/// A sign of life of a member, heard directly or from others.
#[derive(Debug)]
struct Sighting {
    vm: VmKey,
    boot: BootId,
    heard_at_ms: u64,
    revision: u64,
    leaving: bool,
    loads: Vec<ServiceLoad>,
    card: Option<MemberDescriptor>,
}

/// A VM of the platform's list, with its names reduced to keys.
#[derive(Debug, Clone, Copy)]
struct Listed {
    vm: VmKey,
    domain: DomainKey,
    peers: SocketAddr,
}

/// The members of the whole system, this node not among them.
#[derive(Debug)]
pub struct Membership {
    settings: NodeSettings,
    members: Map<VmKey, Member>,
    /// The boots that have said farewell, so that hearsay doesn't bring them back.
    departed: Map<VmKey, BootId>,
    listed_vms: Vec<ListedVm>,
    listed_keys: Vec<Listed>,
    heartbeats: Heartbeats,
    relay: Relay,
}

impl Membership {
    /// Creates an empty table.
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            settings,
            members: Map::default(),
            departed: Map::default(),
            listed_vms: Vec::new(),
            listed_keys: Vec::new(),
            heartbeats: Heartbeats::default(),
            relay: Relay::default(),
        }
    }

    /// Returns a member.
    pub fn member(&self, vm: VmKey) -> Option<&Member> {
        self.members.get(&vm)
    }

    /// Returns all members in the order of their keys.
    pub fn members(&self) -> Vec<(VmKey, &Member)> {
        self.members_with(|_| true)
    }

    /// Returns the members of a failure domain that are not suspected, in the order of their keys,
    /// each with whether it is leaving.
    pub fn alive_in(&self, domain: DomainKey) -> Vec<(VmKey, bool)> {
        let members = self.members_in(domain).into_iter().filter(|(_, member)| !member.suspected);
        members.map(|(vm, member)| (vm, member.card.leaving)).collect()
    }

    /// Returns the members of a failure domain that serve, in the order of their keys.
    pub fn serving_vms_in(&self, domain: DomainKey) -> Vec<VmKey> {
        serving_among(&self.alive_in(domain))
    }

    /// Returns the members of a failure domain in the order of their keys.
    pub fn members_in(&self, domain: DomainKey) -> Vec<(VmKey, &Member)> {
        self.members_with(|member| member.card.domain == domain)
    }

    fn members_with(&self, condition: impl Fn(&Member) -> bool) -> Vec<(VmKey, &Member)> {
        let members = self.members.iter().filter(|(_, member)| condition(member));
        let mut members: Vec<_> = members.map(|(vm, member)| (*vm, member)).collect();
        members.sort_unstable_by_key(|(vm, _)| *vm);
        members
    }

    /// Returns the platform's list of VMs as last read.
    pub fn listed_vms(&self) -> &[ListedVm] {
        &self.listed_vms
    }

    /// Takes in the platform's list of VMs.
    pub fn apply_vm_list(&mut self, listed: Vec<ListedVm>) {
        let keys = listed.iter().map(|entry| Listed {
            vm: VmKey::of(&entry.name),
            domain: DomainKey::of(&entry.domain),
            peers: entry.peer_address,
        });
        self.listed_keys = keys.collect();
        self.listed_vms = listed;
    }

    /// Takes in a peer's copy of the platform's list, if this node has not read the list itself;
    /// returns false if it has.
    pub fn apply_peer_vm_list(&mut self, listed: &[ListedVm]) -> bool {
        let unread = self.listed_vms.is_empty();
        if unread {
            self.apply_vm_list(listed.to_vec());
        }
        unread
    }

    /// Takes in a heartbeat of a member of the own failure domain; returns false if it is out of
    /// date because a later one has arrived before.
    pub fn handle_heartbeat(
        &mut self,
        envelope: &Envelope,
        heartbeat: &Heartbeat,
        out: &mut Outbox,
    ) -> bool {
        let valid_ms = self.settings.suspect_after_ms;
        if self.has_departed(envelope.from, envelope.boot)
            || !self.heartbeats.take(envelope, heartbeat, valid_ms, out)
        {
            return false;
        }
        let known = self.members.get(&envelope.from).map(|member| member.boot);
        let known_leaving =
            self.members.get(&envelope.from).is_some_and(|member| member.card.leaving);
        let sighting = Sighting {
            vm: envelope.from,
            boot: envelope.boot,
            heard_at_ms: out.now_ms(),
            revision: heartbeat.configuration.revision,
            leaving: heartbeat.descriptor.as_ref().map_or(known_leaving, |card| card.leaving),
            loads: heartbeat.loads.clone(),
            card: heartbeat.descriptor.clone(),
        };
        self.learn(sighting, out);
        let joined = known != Some(envelope.boot)
            && self.members.get(&envelope.from).is_some_and(|member| member.boot == envelope.boot);
        if joined && self.introduces(envelope.from, out) {
            self.introduce(envelope.from, out);
        }
        true
    }

    /// Takes in that a boot has ended its work for good; returns false if it is a former one.
    pub fn handle_boot_ended(&mut self, envelope: &Envelope, out: &mut Outbox) -> bool {
        let known = self.members.get(&envelope.from);
        let Some(member) = known.filter(|member| member.boot == envelope.boot) else {
            return false;
        };
        out.log(Topic::Membership, "member_farewell", &[("member", &member.card.name)]);
        self.members.remove(&envelope.from);
        self.heartbeats.forget(envelope.from);
        self.departed.insert(envelope.from, envelope.boot);
        true
    }

    /// Tells the own failure domain that this boot has ended its work for good.
    ///
    /// Sent twice: a member that hears neither counts this one among its roster until the platform's
    /// list lacks it, and leaves its part of the upstreams idle for so long.
    pub fn send_boot_ended(&self, out: &mut Outbox) {
        for (_, member) in self.members_in(out.identity().card.domain) {
            out.send(member.card.peer_address, Message::BootEnded);
            out.send(member.card.peer_address, Message::BootEnded);
        }
    }

    /// Answers a probe if the member asked about was heard of.
    pub fn handle_probe(&self, envelope: &Envelope, probe: &Probe, out: &mut Outbox) {
        if let Some(asker) = self.members.get(&envelope.from) {
            let direct = self.heartbeats.heard(probe.member);
            probe::answer(asker.card.peer_address, probe.member, direct, out);
        }
    }

    /// Takes in the answer to a probe.
    pub fn handle_probe_answer(&mut self, answer: &ProbeAnswer, out: &mut Outbox) {
        let Some(member) = self.members.get(&answer.member) else {
            return;
        };
        let sighting = Sighting {
            vm: answer.member,
            boot: answer.boot,
            heard_at_ms: out.now_ms().saturating_sub(answer.age_ms),
            revision: member.revision,
            leaving: member.card.leaving,
            loads: member.loads.clone(),
            card: None,
        };
        self.learn(sighting, out);
    }

    /// Takes in a summary, and passes it on if it came from another failure domain.
    pub fn handle_summary(&mut self, summary: &MembershipSummary, out: &mut Outbox) {
        for line in &summary.members {
            let sighting = Sighting {
                vm: line.vm,
                boot: line.boot,
                heard_at_ms: out.now_ms().saturating_sub(line.age_ms),
                revision: line.revision,
                leaving: line.leaving,
                loads: line.loads.clone(),
                card: line.descriptor.clone(),
            };
            self.learn(sighting, out);
        }
        if summary.forward_in_domain {
            let own_domain = out.identity().card.domain;
            for (_, member) in self.members_in(own_domain) {
                if !member.suspected {
                    relay::pass_on(member.card.peer_address, summary, out);
                }
            }
        }
    }

    /// Suspects silent members and sends the heartbeats, probes and summaries that are due.
    pub fn tick(&mut self, own: LocalState<'_>, right: &mut UpstreamLease, out: &mut Outbox) {
        self.suspect_silent(out);
        self.forget_gone(out);
        self.send_heartbeats(own, right, out);
        self.send_summaries(own, out);
    }

    /// Takes in a sign of life unless a later one is known.
    fn learn(&mut self, sighting: Sighting, out: &mut Outbox) {
        let own = sighting.vm == out.identity().vm;
        if own || self.has_departed(sighting.vm, sighting.boot) {
            return;
        }
        match self.members.get_mut(&sighting.vm) {
            Some(member) if member.boot == sighting.boot => {
                // A boot that has begun to leave never takes it back, so the word may be old.
                member.card.leaving |= sighting.leaving;
                if sighting.heard_at_ms >= member.last_heard_at_ms {
                    member.last_heard_at_ms = sighting.heard_at_ms;
                    member.revision = member.revision.max(sighting.revision);
                    member.loads = sighting.loads;
                }
                let silent_ms = out.now_ms().saturating_sub(member.last_heard_at_ms);
                if member.suspected && silent_ms < self.settings.suspect_after_ms {
                    member.suspected = false;
                    log_alive(member, out);
                }
            }
            Some(member) if sighting.boot < member.boot && !member.suspected => {}
            // A member that has been forgotten is not brought back by those that still remember it.
            None if sighting.heard_at_ms + self.settings.forget_after_ms <= out.now_ms() => {}
            _ => {
                let Some(mut card) = sighting.card else {
                    return;
                };
                card.leaving |= sighting.leaving;
                let member = Member {
                    boot: sighting.boot,
                    card,
                    revision: sighting.revision,
                    loads: sighting.loads,
                    last_heard_at_ms: sighting.heard_at_ms,
                    suspected: false,
                };
                log_alive(&member, out);
                self.members.insert(sighting.vm, member);
            }
        }
    }

    fn has_departed(&self, vm: VmKey, boot: BootId) -> bool {
        self.departed.get(&vm) == Some(&boot)
    }

    /// Returns the silence after which a member is suspected, in milliseconds.
    fn suspect_after_ms(&self, member: &Member, own_domain: DomainKey) -> u64 {
        if member.card.domain == own_domain {
            return self.settings.suspect_after_ms;
        }
        self.settings.suspect_after_ms + LOST_ROUNDS * self.settings.relay_every_ms
    }

    fn suspect_silent(&mut self, out: &mut Outbox) {
        let own_domain = out.identity().card.domain;
        let silent: Vec<VmKey> = self
            .members_with(|member| {
                let after_ms = self.suspect_after_ms(member, own_domain);
                !member.suspected && member.last_heard_at_ms + after_ms <= out.now_ms()
            })
            .into_iter()
            .map(|(vm, _)| vm)
            .collect();
        for vm in silent {
            if let Some(member) = self.members.get_mut(&vm) {
                member.suspected = true;
                out.log(Topic::Membership, "member_suspect", &[("member", &member.card.name)]);
            }
        }
    }

    /// Forgets members that have been silent for long and that the platform no longer lists.
    fn forget_gone(&mut self, out: &mut Outbox) {
        if self.listed_vms.is_empty() {
            return;
        }
        let silent_since_ms = out.now_ms().saturating_sub(self.settings.forget_after_ms);
        let gone: Vec<VmKey> = self
            .members_with(|member| member.last_heard_at_ms <= silent_since_ms)
            .into_iter()
            .map(|(vm, _)| vm)
            .filter(|vm| self.listed_keys.iter().all(|listed| listed.vm != *vm))
            .collect();
        for vm in gone {
            if let Some(member) = self.members.remove(&vm) {
                self.departed.remove(&vm);
                self.heartbeats.forget(vm);
                out.log(Topic::Membership, "member_gone", &[("member", &member.card.name)]);
            }
        }
    }

    /// Whether this node is the one that tells a new member of all others.
    fn introduces(&self, newcomer: VmKey, out: &Outbox) -> bool {
        let identity = out.identity();
        let mut candidates = self.serving_vms_in(identity.card.domain);
        candidates.retain(|vm| *vm != newcomer);
        candidates.push(identity.vm);
        rendezvous::owner(newcomer.0, &candidates) == Some(identity.vm)
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

fn log_alive(member: &Member, out: &mut Outbox) {
    let fields: [(&str, &dyn std::fmt::Display); 2] =
        [("member", &member.card.name), ("boot", &member.boot.0)];
    out.log(Topic::Membership, "member_alive", &fields);
}
