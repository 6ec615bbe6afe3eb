//! Relays, which exchange member summaries between failure domains.
//!
//! - For each other failure domain, the first two serving members by rendezvous hashing over that
//!   domain's key are the relays. They send in alternate rounds, each to two receivers in turn.
//! - Any node that receives a summary from another domain forwards it to its own domain, so the two
//!   sides need not agree on the relays.
//! - A summary lists the members that report load and a few others for look-ups. Rendezvous hashing
//!   over a subset that contains the owner finds the owner, so the omission changes no decision.
//! - Descriptors are included in the first two of every `DESCRIPTOR_INTERVAL_TURNS` turns of a
//!   relay, one turn for each receiver.
//! - A new member receives all descriptors at once from the peer that introduces it.

use std::net::SocketAddr;

use super::heartbeat::largest_loads;
use super::{LocalState, Membership};
use crate::key::{DomainKey, VmKey};
use crate::message::{MemberSummary, MembershipSummary, Message};
use crate::outbox::Outbox;
use crate::rendezvous;

/// The number of relays from one failure domain to another.
const RELAYS_PER_DOMAIN: usize = 2;

/// The turns of a relay in one cycle; the first two turns, one per receiver, include descriptors.
const DESCRIPTOR_INTERVAL_TURNS: u64 = 8;

/// The maximum number of members without load in a summary.
const MAX_IDLE_MEMBERS: usize = 6;

/// The maximum size of a datagram's summary lines in bytes: 1,432 less a 16-byte authentication
/// code, an envelope of at most 47 and a summary header of at most 8, with a margin.
const MAX_LINES_BYTES: usize = 1_300;

/// The state of this node as a relay.
#[derive(Debug, Default)]
pub(super) struct Relay {
    round: u64,
    next_at_ms: u64,
    announced_leaving: bool,
}

impl Membership {
    /// Sends the summaries of the own failure domain that are due.
    pub(super) fn send_summaries(&mut self, local_state: LocalState<'_>, out: &mut Outbox) {
        self.announce_leaving(local_state, out);
        if out.now_ms() < self.relay.next_at_ms {
            return;
        }
        self.relay.next_at_ms = out.now_ms() + self.settings.relay_every_ms;
        self.relay.round += 1;
        for domain in self.other_domains(out) {
            if let Some(turn) = self.relay_turn(domain, out)
                && let Some(address) = self.summary_receiver(domain, turn, out)
            {
                let with_descriptors = turn % DESCRIPTOR_INTERVAL_TURNS < 2;
                let lines = self.own_domain_lines(local_state, with_descriptors, out);
                send_lines(address, out.identity().descriptor.domain, true, lines, out);
            }
        }
    }

    /// Announces once to all other failure domains that this node is leaving.
    ///
    /// Otherwise their look-ups would return this node until the next summary, by which time the
    /// process may have stopped.
    fn announce_leaving(&mut self, local_state: LocalState<'_>, out: &mut Outbox) {
        if !out.identity().descriptor.leaving || self.relay.announced_leaving {
            return;
        }
        self.relay.announced_leaving = true;
        for domain in self.other_domains(out) {
            if let Some(address) = self.summary_receiver(domain, self.relay.round, out) {
                let line = own_line(local_state, true, out);
                send_lines(address, out.identity().descriptor.domain, true, vec![line], out);
            }
        }
    }

    /// Sends the known members of all failure domains to a new member of the own failure domain.
    pub(super) fn introduce(&self, newcomer: VmKey, out: &mut Outbox) {
        let Some(address) =
            self.members.get(&newcomer).map(|member| member.descriptor.peer_address)
        else {
            return;
        };
        for domain in self.other_domains(out) {
            let live = self.members_in(domain).into_iter().filter(|(_, member)| !member.suspected);
            let lines: Vec<_> = live.map(|(vm, _)| self.member_line(vm, true, out)).collect();
            send_lines(address, domain, false, lines, out);
        }
        self.share_roster(newcomer, out);
    }

    /// Sends a member of the own failure domain all other members there, including suspected ones.
    pub(super) fn share_roster(&self, with: VmKey, out: &mut Outbox) {
        let Some(address) = self.members.get(&with).map(|member| member.descriptor.peer_address)
        else {
            return;
        };
        let domain = out.identity().descriptor.domain;
        let others = self.members_in(domain).into_iter().filter(|(vm, _)| *vm != with);
        let lines: Vec<_> = others.map(|(vm, _)| self.member_line(vm, true, out)).collect();
        send_lines(address, domain, false, lines, out);
    }

    /// Returns the known failure domains other than the node's own.
    fn other_domains(&self, out: &Outbox) -> Vec<DomainKey> {
        let own_domain = out.identity().descriptor.domain;
        let member_domains = self.members.values().map(|member| member.descriptor.domain);
        let listed_domains = self.listed_keys.iter().map(|vm| vm.domain);
        let mut domains: Vec<_> =
            member_domains.chain(listed_domains).filter(|domain| *domain != own_domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// Returns the number of this node's turn as a relay to a failure domain, if it is its turn
    /// now.
    fn relay_turn(&self, domain: DomainKey, out: &Outbox) -> Option<u64> {
        let identity = out.identity();
        let mut candidates = self.serving_vms_in(identity.descriptor.domain);
        if !identity.descriptor.leaving || candidates.is_empty() {
            candidates.push(identity.vm);
        }
        let relays = select_relays(domain, candidates);
        let position = relays.iter().position(|vm| *vm == identity.vm)? as u64;
        let period = relays.len() as u64;
        (self.relay.round % period == position).then(|| self.relay.round / period)
    }

    /// Returns the address in a failure domain that receives the summary of a turn.
    ///
    /// If no serving member is known, suspected members and the VMs of the platform's list are
    /// tried in turn.
    fn summary_receiver(&self, domain: DomainKey, turn: u64, out: &Outbox) -> Option<SocketAddr> {
        let live = select_relays(out.identity().descriptor.domain, self.serving_vms_in(domain));
        let mut addresses: Vec<_> = live
            .iter()
            .filter_map(|vm| self.members.get(vm))
            .map(|entry| entry.descriptor.peer_address)
            .collect();
        if addresses.is_empty() {
            let members = self
                .members_in(domain)
                .into_iter()
                .map(|(_, member)| member.descriptor.peer_address);
            let listed = self.listed_keys.iter().filter(|vm| vm.domain == domain);
            addresses = members.chain(listed.map(|vm| vm.peers)).collect();
            addresses.sort_unstable();
            addresses.dedup();
        }
        let count = addresses.len().max(1) as u64;
        addresses.get((turn % count) as usize).copied()
    }

    /// Returns the summary lines of the own failure domain, including this node's.
    fn own_domain_lines(
        &self,
        local_state: LocalState<'_>,
        with_descriptors: bool,
        out: &Outbox,
    ) -> Vec<MemberSummary> {
        let domain = out.identity().descriptor.domain;
        let live = self.members_in(domain).into_iter().filter(|(_, member)| !member.suspected);
        let mut lines: Vec<_> =
            live.map(|(vm, _)| self.member_line(vm, with_descriptors, out)).collect();
        lines.push(own_line(local_state, with_descriptors, out));
        lines.sort_unstable_by_key(|line| rendezvous::score(u64::from(domain.0), line.vm.0));
        let mut idle_count = 0;
        lines.retain(|line| {
            idle_count += usize::from(line.loads.is_empty());
            !line.loads.is_empty() || idle_count <= MAX_IDLE_MEMBERS
        });
        lines
    }

    fn member_line(&self, vm: VmKey, with_descriptor: bool, out: &Outbox) -> MemberSummary {
        let member = &self.members[&vm];
        MemberSummary {
            vm,
            boot: member.boot,
            age_ms: out.now_ms().saturating_sub(member.last_heard_at_ms),
            revision: member.revision,
            leaving: member.descriptor.leaving,
            loads: member.loads.clone(),
            descriptor: with_descriptor.then(|| member.descriptor.clone()),
        }
    }
}

/// Forwards a summary to a member of the own failure domain.
pub(super) fn forward(to: SocketAddr, summary: &MembershipSummary, out: &mut Outbox) {
    out.send(
        to,
        Message::Summary(MembershipSummary { forward_in_domain: false, ..summary.clone() }),
    );
}

fn own_line(local_state: LocalState<'_>, with_descriptor: bool, out: &Outbox) -> MemberSummary {
    let identity = out.identity();
    MemberSummary {
        vm: identity.vm,
        boot: identity.boot,
        age_ms: 0,
        revision: local_state.configuration.revision,
        leaving: identity.descriptor.leaving,
        loads: largest_loads(local_state.loads),
        descriptor: with_descriptor.then(|| identity.descriptor.clone()),
    }
}

/// Returns the relay candidates with the lowest rendezvous scores for a failure domain.
fn select_relays(domain: DomainKey, mut candidates: Vec<VmKey>) -> Vec<VmKey> {
    candidates.sort_unstable_by_key(|vm| rendezvous::score(u64::from(domain.0), vm.0));
    candidates.truncate(RELAYS_PER_DOMAIN);
    candidates
}

/// Sends summary lines in as many datagrams as needed.
fn send_lines(
    to: SocketAddr,
    domain: DomainKey,
    forward_in_domain: bool,
    lines: Vec<MemberSummary>,
    out: &mut Outbox,
) {
    let mut batch = Vec::new();
    let mut batch_bytes = 0;
    for line in lines {
        let line_bytes = max_encoded_bytes(&line);
        if batch_bytes + line_bytes > MAX_LINES_BYTES && !batch.is_empty() {
            let lines = std::mem::take(&mut batch);
            out.send(
                to,
                Message::Summary(MembershipSummary { domain, forward_in_domain, members: lines }),
            );
            batch_bytes = 0;
        }
        batch_bytes += line_bytes;
        batch.push(line);
    }
    if !batch.is_empty() {
        out.send(
            to,
            Message::Summary(MembershipSummary { domain, forward_in_domain, members: batch }),
        );
    }
}

/// Returns the maximum encoded size of a line in bytes, given variable-length integers.
fn max_encoded_bytes(line: &MemberSummary) -> usize {
    const FIXED_BYTES: usize = 40;
    const LOAD_BYTES: usize = 15;
    const DESCRIPTOR_BYTES: usize = 70;
    let descriptor_bytes =
        line.descriptor.as_ref().map_or(0, |descriptor| descriptor.name.len() + DESCRIPTOR_BYTES);
    FIXED_BYTES + line.loads.len() * LOAD_BYTES + descriptor_bytes
}
