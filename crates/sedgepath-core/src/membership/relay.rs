//! Relays: two members per pair of failure domains exchange summaries and pass them on.
//!
//! # Which nodes relay
//!
//! For each other failure domain the two live members that rank first by rendezvous hashing over
//! that domain's key are its relays, so the work of relaying to 47 domains spreads over all members
//! of a domain. They take turns: each sends every second round, to one of two receivers in turn.
//! Any node that receives a summary from another domain passes it on to its own domain, so the two
//! sides need not agree on who relays, and the death of a relay costs every second round until the
//! others suspect it.
//!
//! # What a summary holds
//!
//! All members of a small domain; of a large one those that own upstreams and a few more for
//! look-ups. Rendezvous hashing over a subset that holds the owner finds the owner, so leaving out
//! members that own nothing changes no decision. Cards go along every `CARD_EVERY_ROUNDS` rounds;
//! a new member gets all of them at once from the peer that introduces it.
//!
//! # Cost
//!
//! Every node receives one summary per other domain and period and, on average, passes on as much:
//! with `d` domains, `m` members named of each and a period `r`, about `d * (75 + 35 * m) / r` bytes
//! a second each way. The example `control_slopes` measures it.

use std::net::SocketAddr;

use super::heartbeat::largest_loads;
use super::{LocalState, Membership};
use crate::key::{DomainKey, VmKey};
use crate::message::{MemberSummary, MembershipSummary, Message};
use crate::outbox::Outbox;
use crate::rendezvous;

/// The relays of a failure domain towards another.
const RELAYS: usize = 2;

/// The rounds of summaries between two that carry cards.
const CARD_EVERY_ROUNDS: u64 = 8;

/// The members of a failure domain that a summary names although they own nothing.
const NAMED_WITHOUT_LOAD: usize = 6;

/// The most bytes of lines in one datagram: 1,432 less the code of 16, an envelope of at most 47 and
/// a summary's heading of at most 8, with room to spare.
const MAX_LINES_BYTES: usize = 1_300;

/// The state of this node's part in relaying.
#[derive(Debug, Default)]
pub(super) struct Relay {
    round: u64,
    next_at_ms: u64,
    told_leaving: bool,
}

impl Membership {
    /// Sends the summaries of the own failure domain that are due.
    pub(super) fn send_summaries(&mut self, own: LocalState<'_>, out: &mut Outbox) {
        self.tell_leaving(own, out);
        if out.now_ms() < self.relay.next_at_ms {
            return;
        }
        self.relay.next_at_ms = out.now_ms() + self.settings.relay_every_ms;
        self.relay.round += 1;
        for domain in self.other_domains(out) {
            if let Some(turn) = self.turn(domain, out)
                && let Some(address) = self.receiver(domain, turn, out)
            {
                let with_cards = turn % CARD_EVERY_ROUNDS < 2;
                let lines = self.own_lines(own, with_cards, out);
                send_lines(address, out.identity().card.domain, true, lines, out);
            }
        }
    }

    /// Tells all other failure domains at once that this node has begun to leave.
    ///
    /// Without it their look-ups would name this node until its next summary, which matters for a
    /// process that stops within that time.
    fn tell_leaving(&mut self, own: LocalState<'_>, out: &mut Outbox) {
        if !out.identity().card.leaving || self.relay.told_leaving {
            return;
        }
        self.relay.told_leaving = true;
        for domain in self.other_domains(out) {
            if let Some(address) = self.receiver(domain, self.relay.round, out) {
                let line = own_line(own, true, out);
                send_lines(address, out.identity().card.domain, true, vec![line], out);
            }
        }
    }

    /// Tells a new member of the own failure domain of all others.
    pub(super) fn introduce(&self, newcomer: VmKey, out: &mut Outbox) {
        let Some(address) = self.members.get(&newcomer).map(|member| member.card.peer_address)
        else {
            return;
        };
        for domain in self.other_domains(out) {
            let live = self.members_in(domain).into_iter().filter(|(_, member)| !member.suspected);
            let lines: Vec<_> = live.map(|(vm, _)| self.line(vm, true, out)).collect();
            send_lines(address, domain, false, lines, out);
        }
        self.share_roster(newcomer, out);
    }

    /// Tells a member of the own failure domain of all others there, suspected ones too.
    pub(super) fn share_roster(&self, with: VmKey, out: &mut Outbox) {
        let Some(address) = self.members.get(&with).map(|member| member.card.peer_address) else {
            return;
        };
        let domain = out.identity().card.domain;
        let others = self.members_in(domain).into_iter().filter(|(vm, _)| *vm != with);
        let lines: Vec<_> = others.map(|(vm, _)| self.line(vm, true, out)).collect();
        send_lines(address, domain, false, lines, out);
    }

    /// Returns the failure domains that this node knows of, without its own.
    fn other_domains(&self, out: &Outbox) -> Vec<DomainKey> {
        let own = out.identity().card.domain;
        let heard = self.members.values().map(|member| member.card.domain);
        let listed = self.listed_keys.iter().map(|vm| vm.domain);
        let mut domains: Vec<_> = heard.chain(listed).filter(|domain| *domain != own).collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// Returns the number of this node's turn as a relay to a failure domain, if it has one now.
    fn turn(&self, domain: DomainKey, out: &Outbox) -> Option<u64> {
        let identity = out.identity();
        let mut candidates = self.serving_vms_in(identity.card.domain);
        if !identity.card.leaving || candidates.is_empty() {
            candidates.push(identity.vm);
        }
        let relays = first_ranked(domain, candidates);
        let place = relays.iter().position(|vm| *vm == identity.vm)? as u64;
        let period = relays.len() as u64;
        (self.relay.round % period == place).then(|| self.relay.round / period)
    }

    /// Returns where a failure domain takes the summary of a turn.
    ///
    /// With no live member known, everything that was ever heard or is listed is tried in turn.
    fn receiver(&self, domain: DomainKey, turn: u64, out: &Outbox) -> Option<SocketAddr> {
        let live = first_ranked(out.identity().card.domain, self.serving_vms_in(domain));
        let mut addresses: Vec<_> = live
            .iter()
            .filter_map(|vm| self.members.get(vm))
            .map(|entry| entry.card.peer_address)
            .collect();
        if addresses.is_empty() {
            let heard =
                self.members_in(domain).into_iter().map(|(_, member)| member.card.peer_address);
            let listed = self.listed_keys.iter().filter(|vm| vm.domain == domain);
            addresses = heard.chain(listed.map(|vm| vm.peers)).collect();
            addresses.sort_unstable();
            addresses.dedup();
        }
        let count = addresses.len().max(1) as u64;
        addresses.get((turn % count) as usize).copied()
    }

    /// Returns the lines of the own failure domain, this node among them.
    fn own_lines(&self, own: LocalState<'_>, with_cards: bool, out: &Outbox) -> Vec<MemberSummary> {
        let domain = out.identity().card.domain;
        let live = self.members_in(domain).into_iter().filter(|(_, member)| !member.suspected);
        let mut lines: Vec<_> = live.map(|(vm, _)| self.line(vm, with_cards, out)).collect();
        lines.push(own_line(own, with_cards, out));
        lines.sort_unstable_by_key(|line| rendezvous::score(u64::from(domain.0), line.vm.0));
        let mut idle = 0;
        lines.retain(|line| {
            idle += usize::from(line.loads.is_empty());
            !line.loads.is_empty() || idle <= NAMED_WITHOUT_LOAD
        });
        lines
    }

    fn line(&self, vm: VmKey, with_card: bool, out: &Outbox) -> MemberSummary {
        let member = &self.members[&vm];
        MemberSummary {
            vm,
            boot: member.boot,
            age_ms: out.now_ms().saturating_sub(member.last_heard_at_ms),
            revision: member.revision,
            leaving: member.card.leaving,
            loads: member.loads.clone(),
            descriptor: with_card.then(|| member.card.clone()),
        }
    }
}

/// Passes a summary on to a member of the own failure domain.
pub(super) fn pass_on(to: SocketAddr, summary: &MembershipSummary, out: &mut Outbox) {
    out.send(
        to,
        Message::Summary(MembershipSummary { forward_in_domain: false, ..summary.clone() }),
    );
}

fn own_line(own: LocalState<'_>, with_card: bool, out: &Outbox) -> MemberSummary {
    let identity = out.identity();
    MemberSummary {
        vm: identity.vm,
        boot: identity.boot,
        age_ms: 0,
        revision: own.news.revision,
        leaving: identity.card.leaving,
        loads: largest_loads(own.loads),
        descriptor: with_card.then(|| identity.card.clone()),
    }
}

/// Returns the candidates that rank first for a failure domain.
fn first_ranked(domain: DomainKey, mut candidates: Vec<VmKey>) -> Vec<VmKey> {
    candidates.sort_unstable_by_key(|vm| rendezvous::score(u64::from(domain.0), vm.0));
    candidates.truncate(RELAYS);
    candidates
}

/// Sends lines in as many datagrams as they need.
fn send_lines(
    to: SocketAddr,
    domain: DomainKey,
    pass_on: bool,
    lines: Vec<MemberSummary>,
    out: &mut Outbox,
) {
    let mut part = Vec::new();
    let mut part_bytes = 0;
    for line in lines {
        let line_bytes = most_bytes(&line);
        if part_bytes + line_bytes > MAX_LINES_BYTES && !part.is_empty() {
            let lines = std::mem::take(&mut part);
            out.send(
                to,
                Message::Summary(MembershipSummary {
                    domain,
                    forward_in_domain: pass_on,
                    members: lines,
                }),
            );
            part_bytes = 0;
        }
        part_bytes += line_bytes;
        part.push(line);
    }
    if !part.is_empty() {
        out.send(
            to,
            Message::Summary(MembershipSummary {
                domain,
                forward_in_domain: pass_on,
                members: part,
            }),
        );
    }
}

/// Returns the most bytes that a line takes on the wire, by the codec's variable-length integers.
fn most_bytes(line: &MemberSummary) -> usize {
    const FIXED_BYTES: usize = 40;
    const LOAD_BYTES: usize = 15;
    const CARD_BYTES: usize = 70;
    let card_bytes = line.descriptor.as_ref().map_or(0, |card| card.name.len() + CARD_BYTES);
    FIXED_BYTES + line.loads.len() * LOAD_BYTES + card_bytes
}
