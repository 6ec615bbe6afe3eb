//! Membership: which nodes are alive, and which of them accept work.
//!
//! Within a failure domain every pair of members exchanges heartbeats that acknowledge each other
//! (`heartbeat`), which upstream leases ([`crate::lease`]) also rely on. A silent member is
//! suspected only if indirect probes fail as well (`probe`). Between domains, relays exchange
//! summaries (`relay`). Heartbeats between all pairs are affordable because a failure domain is
//! bounded, at about 42 VMs in the largest system planned; pings of a few random members would not
//! bring a lease the acknowledgement of every member in each interval.
//!
//! A lease lasts `suspect_after_ms` from the sending of a heartbeat, and the acknowledgement
//! arrives with the peer's next heartbeat, so `suspect_after_ms` should be at least three heartbeat
//! intervals.
//!
//! # Invariants
//!
//! - A direct sign of life outranks an indirect one, and a live heartbeat outranks the platform's
//!   list.
//! - The platform's list only adds addresses to contact and permits the removal of silent members.
//! - [`Member::last_heard_at_ms`] exceeds the time of the member's last sign of life by at most the
//!   transit time of the datagrams that carried it, including the wait at a paused receiver.
//! - Indirect reports carry an age that only grows, so forwarding them again cannot keep a dead
//!   member alive.
//! - Of two boots of a member the later counts; an earlier boot ID, as after a VM's clock was set
//!   back, is accepted once the later boot is suspected.

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

/// The number of lost summary rounds after which a member of another failure domain is suspected.
const LOST_ROUNDS_BEFORE_SUSPICION: u64 = 4;

/// The last known state of a member.
#[derive(Debug, Clone)]
pub struct Member {
    /// The boot ID of the member's process.
    pub boot: BootId,
    /// The member's name, failure domain and addresses.
    pub descriptor: MemberDescriptor,
    /// The configuration revision in force at the member.
    pub revision: u64,
    /// The member's load by service.
    pub loads: Vec<ServiceLoad>,
    /// The time of the member's last sign of life, in milliseconds by this node's clock. For an
    /// indirect report this is the report's arrival time less the age that it states.
    pub last_heard_at_ms: u64,
    /// Whether the member has been silent for too long.
    pub suspected: bool,
}

impl Member {
    /// Returns whether new work may be sent to the member.
    pub fn accepts_work(&self) -> bool {
        !self.suspected && !self.descriptor.leaving
    }
}

/// The state that a node reports to other members.
#[derive(Debug, Clone, Copy)]
pub struct LocalState<'a> {
    /// The node's configuration revision and the age of its last read of the head revision.
    pub configuration: ConfigurationStatus,
    /// The node's load by service.
    pub loads: &'a [ServiceLoad],
}

/// A direct or indirect sign of life of a member.
#[derive(Debug)]
struct LivenessReport {
    vm: VmKey,
    boot: BootId,
    last_heard_at_ms: u64,
    revision: u64,
    leaving: bool,
    loads: Vec<ServiceLoad>,
    descriptor: Option<MemberDescriptor>,
}

/// An entry of the platform's VM list, with names hashed to keys.
#[derive(Debug, Clone, Copy)]
struct ListedVmKeys {
    vm: VmKey,
    domain: DomainKey,
    peers: SocketAddr,
}

/// All members of the system except this node.
#[derive(Debug)]
pub struct Membership {
    settings: NodeSettings,
    members: Map<VmKey, Member>,
    /// The boots that have announced that they ended, so that indirect reports don't add them again.
    departed: Map<VmKey, BootId>,
    listed_vms: Vec<ListedVm>,
    listed_keys: Vec<ListedVmKeys>,
    heartbeats: Heartbeats,
    relay: Relay,
}

impl Membership {
    /// Creates an empty membership table.
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

    /// Returns the last known state of a member.
    pub fn member(&self, vm: VmKey) -> Option<&Member> {
        self.members.get(&vm)
    }

    /// Returns all members, sorted by key.
    pub fn members(&self) -> Vec<(VmKey, &Member)> {
        self.members_with(|_| true)
    }

    /// Returns the keys of the members of a failure domain that are not suspected, sorted, each
    /// with its leaving flag.
    pub fn unsuspected_in(&self, domain: DomainKey) -> Vec<(VmKey, bool)> {
        let members = self.members_in(domain).into_iter().filter(|(_, member)| !member.suspected);
        members.map(|(vm, member)| (vm, member.descriptor.leaving)).collect()
    }

    /// Returns the keys of the serving members of a failure domain, sorted.
    pub fn serving_vms_in(&self, domain: DomainKey) -> Vec<VmKey> {
        serving_vms(&self.unsuspected_in(domain))
    }

    /// Returns the members of a failure domain, including suspected ones, sorted by key.
    pub fn members_in(&self, domain: DomainKey) -> Vec<(VmKey, &Member)> {
        self.members_with(|member| member.descriptor.domain == domain)
    }

    fn members_with(&self, condition: impl Fn(&Member) -> bool) -> Vec<(VmKey, &Member)> {
        let members = self.members.iter().filter(|(_, member)| condition(member));
        let mut members: Vec<_> = members.map(|(vm, member)| (*vm, member)).collect();
        members.sort_unstable_by_key(|(vm, _)| *vm);
        members
    }

    /// Returns the platform's VM list as last applied.
    pub fn listed_vms(&self) -> &[ListedVm] {
        &self.listed_vms
    }

    /// Replaces the platform's VM list.
    pub fn apply_vm_list(&mut self, listed: Vec<ListedVm>) {
        let keys = listed.iter().map(|entry| ListedVmKeys {
            vm: VmKey::of(&entry.name),
            domain: DomainKey::of(&entry.domain),
            peers: entry.peer_address,
        });
        self.listed_keys = keys.collect();
        self.listed_vms = listed;
    }

    /// Applies a peer's copy of the platform's VM list and returns true, unless this node already
    /// has a list.
    pub fn apply_peer_vm_list(&mut self, listed: &[ListedVm]) -> bool {
        let has_no_list = self.listed_vms.is_empty();
        if has_no_list {
            self.apply_vm_list(listed.to_vec());
        }
        has_no_list
    }

    /// Handles a heartbeat from a member of the own failure domain; returns false if the heartbeat
    /// is stale or its boot has departed.
    pub fn handle_heartbeat(
        &mut self,
        envelope: &Envelope,
        heartbeat: &Heartbeat,
        out: &mut Outbox,
    ) -> bool {
        let suspect_after_ms = self.settings.suspect_after_ms;
        if self.has_departed(envelope.from, envelope.boot)
            || !self.heartbeats.record(envelope, heartbeat, suspect_after_ms, out)
        {
            return false;
        }
        let previous_boot = self.members.get(&envelope.from).map(|member| member.boot);
        let was_leaving =
            self.members.get(&envelope.from).is_some_and(|member| member.descriptor.leaving);
        let report = LivenessReport {
            vm: envelope.from,
            boot: envelope.boot,
            last_heard_at_ms: out.now_ms(),
            revision: heartbeat.configuration.revision,
            leaving: heartbeat
                .descriptor
                .as_ref()
                .map_or(was_leaving, |descriptor| descriptor.leaving),
            loads: heartbeat.loads.clone(),
            descriptor: heartbeat.descriptor.clone(),
        };
        self.apply_report(report, out);
        let has_joined = previous_boot != Some(envelope.boot)
            && self.members.get(&envelope.from).is_some_and(|member| member.boot == envelope.boot);
        if has_joined && self.is_introducer_of(envelope.from, out) {
            self.introduce(envelope.from, out);
        }
        true
    }

    /// Removes the member whose boot has ended its work; returns false if the boot is not the
    /// member's current one.
    pub fn handle_boot_ended(&mut self, envelope: &Envelope, out: &mut Outbox) -> bool {
        let member = self.members.get(&envelope.from);
        let Some(member) = member.filter(|member| member.boot == envelope.boot) else {
            return false;
        };
        out.log(Topic::Membership, "member_farewell", &[("member", &member.descriptor.name)]);
        self.members.remove(&envelope.from);
        self.heartbeats.forget(envelope.from);
        self.departed.insert(envelope.from, envelope.boot);
        true
    }

    /// Announces to the own failure domain that this boot has ended its work.
    ///
    /// The message is sent twice against datagram loss: a member that receives neither copy keeps
    /// this node in its roster, and its slot share idle, until the platform's VM list omits it.
    pub fn send_boot_ended(&self, out: &mut Outbox) {
        for (_, member) in self.members_in(out.identity().descriptor.domain) {
            out.send(member.descriptor.peer_address, Message::BootEnded);
            out.send(member.descriptor.peer_address, Message::BootEnded);
        }
    }

    /// Answers a probe if this node has received a heartbeat of the probed member.
    pub fn handle_probe(&self, envelope: &Envelope, probe: &Probe, out: &mut Outbox) {
        if let Some(sender) = self.members.get(&envelope.from) {
            let last_heartbeat = self.heartbeats.last_received(probe.member);
            probe::send_answer(sender.descriptor.peer_address, probe.member, last_heartbeat, out);
        }
    }

    /// Updates the probed member from a peer's answer.
    pub fn handle_probe_answer(&mut self, answer: &ProbeAnswer, out: &mut Outbox) {
        let Some(member) = self.members.get(&answer.member) else {
            return;
        };
        let report = LivenessReport {
            vm: answer.member,
            boot: answer.boot,
            last_heard_at_ms: out.now_ms().saturating_sub(answer.age_ms),
            revision: member.revision,
            leaving: member.descriptor.leaving,
            loads: member.loads.clone(),
            descriptor: None,
        };
        self.apply_report(report, out);
    }

    /// Updates members from a summary, and forwards the summary within the own failure domain if it
    /// requests that.
    pub fn handle_summary(&mut self, summary: &MembershipSummary, out: &mut Outbox) {
        for line in &summary.members {
            let report = LivenessReport {
                vm: line.vm,
                boot: line.boot,
                last_heard_at_ms: out.now_ms().saturating_sub(line.age_ms),
                revision: line.revision,
                leaving: line.leaving,
                loads: line.loads.clone(),
                descriptor: line.descriptor.clone(),
            };
            self.apply_report(report, out);
        }
        if summary.forward_in_domain {
            let own_domain = out.identity().descriptor.domain;
            for (_, member) in self.members_in(own_domain) {
                if !member.suspected {
                    relay::forward(member.descriptor.peer_address, summary, out);
                }
            }
        }
    }

    /// Suspects members that have become silent, removes members that are gone, and sends the
    /// heartbeats, probes and summaries that are due.
    pub fn tick(
        &mut self,
        local_state: LocalState<'_>,
        lease: &mut UpstreamLease,
        out: &mut Outbox,
    ) {
        self.suspect_silent(out);
        self.remove_gone(out);
        self.send_heartbeats(local_state, lease, out);
        self.send_summaries(local_state, out);
    }

    /// Updates the member table from a sign of life unless a later one is known.
    fn apply_report(&mut self, report: LivenessReport, out: &mut Outbox) {
        let is_own = report.vm == out.identity().vm;
        if is_own || self.has_departed(report.vm, report.boot) {
            return;
        }
        match self.members.get_mut(&report.vm) {
            Some(member) if member.boot == report.boot => {
                // Leaving is irreversible within a boot, so the flag counts even in a stale report.
                member.descriptor.leaving |= report.leaving;
                if report.last_heard_at_ms >= member.last_heard_at_ms {
                    member.last_heard_at_ms = report.last_heard_at_ms;
                    member.revision = member.revision.max(report.revision);
                    member.loads = report.loads;
                }
                let silent_ms = out.now_ms().saturating_sub(member.last_heard_at_ms);
                if member.suspected && silent_ms < self.settings.suspect_after_ms {
                    member.suspected = false;
                    log_alive(member, out);
                }
            }
            Some(member) if report.boot < member.boot && !member.suspected => {}
            // Outdated indirect reports don't add a removed member again.
            None if report.last_heard_at_ms + self.settings.forget_after_ms <= out.now_ms() => {}
            _ => {
                let Some(mut descriptor) = report.descriptor else {
                    return;
                };
                descriptor.leaving |= report.leaving;
                let member = Member {
                    boot: report.boot,
                    descriptor,
                    revision: report.revision,
                    loads: report.loads,
                    last_heard_at_ms: report.last_heard_at_ms,
                    suspected: false,
                };
                log_alive(&member, out);
                self.members.insert(report.vm, member);
            }
        }
    }

    fn has_departed(&self, vm: VmKey, boot: BootId) -> bool {
        self.departed.get(&vm) == Some(&boot)
    }

    /// Returns the suspicion timeout of a member in milliseconds.
    fn suspect_after_ms(&self, member: &Member, own_domain: DomainKey) -> u64 {
        if member.descriptor.domain == own_domain {
            return self.settings.suspect_after_ms;
        }
        self.settings.suspect_after_ms + LOST_ROUNDS_BEFORE_SUSPICION * self.settings.relay_every_ms
    }

    fn suspect_silent(&mut self, out: &mut Outbox) {
        let own_domain = out.identity().descriptor.domain;
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
                out.log(
                    Topic::Membership,
                    "member_suspect",
                    &[("member", &member.descriptor.name)],
                );
            }
        }
    }

    /// Removes members that have been silent for `forget_after_ms` and are not on the platform's
    /// list.
    fn remove_gone(&mut self, out: &mut Outbox) {
        if self.listed_vms.is_empty() {
            return;
        }
        let heard_before_ms = out.now_ms().saturating_sub(self.settings.forget_after_ms);
        let gone: Vec<VmKey> = self
            .members_with(|member| member.last_heard_at_ms <= heard_before_ms)
            .into_iter()
            .map(|(vm, _)| vm)
            .filter(|vm| self.listed_keys.iter().all(|listed| listed.vm != *vm))
            .collect();
        for vm in gone {
            if let Some(member) = self.members.remove(&vm) {
                self.departed.remove(&vm);
                self.heartbeats.forget(vm);
                out.log(Topic::Membership, "member_gone", &[("member", &member.descriptor.name)]);
            }
        }
    }

    /// Returns whether this node is the member that introduces a newcomer to all others.
    fn is_introducer_of(&self, newcomer: VmKey, out: &Outbox) -> bool {
        let identity = out.identity();
        let mut candidates = self.serving_vms_in(identity.descriptor.domain);
        candidates.retain(|vm| *vm != newcomer);
        candidates.push(identity.vm);
        rendezvous::owner(newcomer.0, &candidates) == Some(identity.vm)
    }
}

/// Returns the serving VMs among the live VMs of a failure domain, given each VM's leaving flag.
///
/// If all are leaving, all keep serving until they stop, since callers with a cached look-up may
/// still send requests.
pub fn serving_vms(alive: &[(VmKey, bool)]) -> Vec<VmKey> {
    let all_leaving = alive.iter().all(|(_, leaving)| *leaving);
    alive.iter().filter(|(_, leaving)| all_leaving || !leaving).map(|(vm, _)| *vm).collect()
}

fn log_alive(member: &Member, out: &mut Outbox) {
    let fields: [(&str, &dyn std::fmt::Display); 2] =
        [("member", &member.descriptor.name), ("boot", &member.boot.0)];
    out.log(Topic::Membership, "member_alive", &fields);
}
