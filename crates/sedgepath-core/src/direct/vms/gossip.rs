//! The messages that a VM sends to other VMs, periodically and after changes.
//!
//! # Tiers
//!
//! - Heartbeats go only to the VM's own failure domain and to addresses in an unknown one, since
//!   heartbeats between all VMs would grow with the square of their number.
//! - For each other domain, a few VMs chosen by rendezvous hashing send summaries of their own domain
//!   to random VMs of the other one. The receiver relays the summary within its domain with its next
//!   periodic messages.
//! - There is no election: VMs that disagree on the senders send additional summaries.
//! - Unchanged content is mostly omitted: most heartbeats have no descriptor, and most summaries
//!   are relayed as a digest.
//! - A summary lists only VMs that its sender hears, and is relayed once. A VM therefore counts as
//!   running only if a VM that hears it reports it.

use std::net::{IpAddr, SocketAddr};

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use super::heartbeat::{VmDescriptor, VmHeartbeat, VmState};
use super::known_vms::Locality;
use super::remote_domains::{SummaryChange, SummaryKey};
use super::summary::{DomainMember, DomainSummary, RelayedSummary, SummaryPart};
use super::{Peer, VmTable};
use crate::clock::HybridTimestamp;
use crate::direct::load_sharing::LoadMessage;
use crate::direct::quotas::QuotaMessage;
use crate::direct::reports::Reports;
use crate::hash::{Digest, Map};
use crate::key::VmKey;
use crate::rendezvous;

/// The number of VMs of a failure domain that send its summaries to each other domain.
const SENDERS_PER_DOMAIN: usize = 2;

/// The number of random VMs of another failure domain that get a summary.
const RECEIVERS_PER_SUMMARY: usize = 1;

/// The number of random VMs that get a summary after a change, since some of them may have failed
/// too.
const RECEIVERS_AFTER_CHANGE: usize = 3;

/// The time for which a summary counts as changed, in milliseconds.
const CHANGED_SUMMARY_MS: u64 = 1_500;

/// The size of a failure domain up to which all its VMs get each summary directly.
const SMALL_DOMAIN_VMS: usize = 2;

/// The number of periods from one full heartbeat to the next.
const PERIODS_PER_FULL_HEARTBEAT: u64 = 4;

/// The time for which all summaries are relayed in full after a VM joined, in milliseconds: several
/// periods of the other domains.
const FULL_RELAY_MS: u64 = 2_000;

/// The share of unchanged summaries that are relayed in full, for VMs that lost an earlier one.
const FULL_RELAY_SHARE: f64 = 0.125;

/// The number of other VMs' addresses in a full heartbeat, in rotation. They are for VMs that can't
/// reach the store, and few to limit the heartbeat's size.
const ADDRESSES_PER_HEARTBEAT: usize = 4;

/// The number of VMs of the receiver's failure domain in a summary.
const RECEIVER_VMS_PER_SUMMARY: usize = 2;

/// The number of VMs of the receiver's failure domain in the reply to a VM that joins.
const RECEIVER_VMS_PER_JOIN_REPLY: usize = 32;

/// A heartbeat in one of its two forms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Heartbeat {
    /// The full heartbeat.
    Full(VmHeartbeat),
    /// The variable part only, for VMs that know the sender's descriptor.
    StateOnly(VmState),
}

/// A message between VMs, sent as a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The state of the sender.
    Heartbeat(Heartbeat),
    /// The summary of the sender's failure domain.
    Summary(DomainSummary),
    /// Summaries of other failure domains, relayed by the sender.
    RelayedSummary(Vec<RelayedSummary>),
    /// What the sender and others have observed at upstreams.
    Reports(Reports),
    /// Tokens of client accounts' quotas.
    Quota(QuotaMessage),
    /// The sender's load at upstreams and the demand of its callers.
    Load(LoadMessage),
    /// One of several parts of the summary of the sender's failure domain.
    SummaryPart(SummaryPart, DomainSummary),
}

impl PeerMessage {
    fn of_summary(summary: DomainSummary) -> Self {
        if summary.part == SummaryPart::WHOLE {
            Self::Summary(summary)
        } else {
            Self::SummaryPart(summary.part, summary)
        }
    }

    /// Returns the name used in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Summary(_) | Self::SummaryPart(..) => "summary",
            Self::RelayedSummary(_) => "passed_on",
            Self::Reports(_) => "reports",
            Self::Quota(_) => "quotas",
            Self::Load(_) => "load",
        }
    }
}

/// A message and its receivers.
#[derive(Debug)]
pub struct OutgoingMessage {
    /// The message to send.
    pub message: PeerMessage,
    /// The peer addresses of the receivers.
    pub to: Vec<SocketAddr>,
}

/// The state of a VM's outgoing messages.
#[derive(Debug, Default)]
pub(super) struct OutgoingState {
    /// The index of the next address to include in a heartbeat, modulo their number.
    next_address_index: usize,
    /// The number of periods since a VM last joined.
    periods_since_join: u64,
    /// A digest of the last summary of the VM's failure domain.
    summary_digest: u64,
    /// Until when that summary counts as changed, in milliseconds.
    changed_until_ms: u64,
    /// The summaries received since the last periodic messages, by their source.
    pending_relays: Map<SummaryKey, PendingRelay>,
    /// Until when all summaries are relayed in full, in milliseconds.
    full_relay_until_ms: u64,
}

/// A summary received since the last periodic messages.
#[derive(Debug, Clone, Copy)]
struct PendingRelay {
    received_at_ms: u64,
    /// Whether the content differs from that of the previous summary.
    changed: bool,
}

impl OutgoingState {
    /// Records that a VM joined, which needs a full heartbeat and full summaries.
    pub(super) fn record_join(&mut self, now_ms: u64) {
        self.periods_since_join = 0;
        self.full_relay_until_ms = now_ms + FULL_RELAY_MS;
    }

    /// Records a received summary to be relayed.
    pub(super) fn queue_relay(&mut self, key: SummaryKey, change: SummaryChange, now_ms: u64) {
        // Only a sender's last summary of a period is relayed, as changed if an earlier one was.
        let changed = change == SummaryChange::Changed
            || self.pending_relays.get(&key).is_some_and(|pending| pending.changed);
        self.pending_relays.insert(key, PendingRelay { received_at_ms: now_ms, changed });
    }
}

impl VmTable {
    /// Returns the messages to send in each period: a heartbeat, summaries of this VM's failure domain
    /// for other domains, and relayed summaries of other domains.
    pub fn periodic_messages(
        &mut self,
        stamp: HybridTimestamp,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Vec<OutgoingMessage> {
        let mut outgoing = vec![self.periodic_heartbeat(stamp, now_ms)];
        let relayed = self.relayed_summaries(|_| true, rng, now_ms);
        let summary = self.domain_summary(stamp, now_ms);
        self.record_summary_change(&summary, now_ms);
        outgoing.extend(self.summaries_of_sender(summary, rng, now_ms));
        outgoing.extend(relayed);
        outgoing
    }

    /// Returns the messages about VMs that have joined or gone since the last messages: summaries of this
    /// VM's failure domain if they have changed, and changed ones of other domains to be relayed.
    ///
    /// In a large failure domain heartbeats are rare. Other domains would go on naming VMs that are gone if
    /// they heard of them with the next heartbeats only.
    pub fn membership_change_messages(
        &mut self,
        stamp: HybridTimestamp,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Vec<OutgoingMessage> {
        let relayed = self.relayed_summaries(|pending| pending.changed, rng, now_ms);
        let mut outgoing: Vec<_> = relayed.into_iter().collect();
        let summary = self.domain_summary(stamp, now_ms);
        if self.record_summary_change(&summary, now_ms) {
            outgoing.extend(self.summaries_of_sender(summary, rng, now_ms));
        }
        outgoing
    }

    /// Records whether the summary of this VM's failure domain differs from the last one, and returns it.
    fn record_summary_change(&mut self, summary: &DomainSummary, now_ms: u64) -> bool {
        let digest = summary.digest();
        let has_changed = digest != self.outgoing_state.summary_digest;
        if has_changed {
            self.outgoing_state.summary_digest = digest;
            self.outgoing_state.changed_until_ms = now_ms + CHANGED_SUMMARY_MS;
        }
        has_changed
    }

    /// Returns the messages with a summary to the domains to which this VM sends summaries.
    fn summaries_of_sender(
        &self,
        summary: DomainSummary,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Vec<OutgoingMessage> {
        let parts = summary.into_parts();
        let domains = self.other_domains();
        let receivers = domains.iter().filter(|to| self.sends_summaries_to(&to.domain, now_ms));
        receivers.flat_map(|to| self.summary_messages(&parts, &to.domain, rng, now_ms)).collect()
    }

    /// Returns the messages to send after a change of the table replicas: a heartbeat to this VM's
    /// failure domain, and a summary to each other domain of its region, even if other VMs send the
    /// periodic summaries.
    pub fn change_messages(
        &mut self,
        stamp: HybridTimestamp,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Vec<OutgoingMessage> {
        let mut outgoing = vec![self.full_heartbeat(stamp, now_ms)];
        let parts = self.domain_summary(stamp, now_ms).into_parts();
        let domains = self.other_domains();
        let region_domains = domains.iter().filter(|to| to.region == self.own.descriptor.region);
        outgoing.extend(
            region_domains.flat_map(|to| self.summary_messages(&parts, &to.domain, rng, now_ms)),
        );
        outgoing
    }

    /// Returns a full heartbeat for all receivers of heartbeats.
    pub fn full_heartbeat(&mut self, stamp: HybridTimestamp, now_ms: u64) -> OutgoingMessage {
        let to = self.heartbeat_targets(now_ms);
        OutgoingMessage {
            message: PeerMessage::Heartbeat(Heartbeat::Full(self.heartbeat(stamp))),
            to,
        }
    }

    /// Returns the messages of the reply to a VM of another failure domain that has joined.
    pub fn join_reply(
        &self,
        domain: &str,
        stamp: HybridTimestamp,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Vec<PeerMessage> {
        let parts = self.domain_summary(stamp, now_ms).into_parts();
        let domain_vms = self.sample_domain_ips(domain, RECEIVER_VMS_PER_JOIN_REPLY, rng);
        addressed_parts(&parts, domain_vms).collect()
    }

    /// Returns this VM's full heartbeat with the next of the known addresses of its failure domain.
    pub fn heartbeat(&mut self, stamp: HybridTimestamp) -> VmHeartbeat {
        let heard: Vec<_> =
            self.known_vms.heard_domain_addresses(&self.own.descriptor.domain).collect();
        let index = self.outgoing_state.next_address_index;
        self.outgoing_state.next_address_index = index.wrapping_add(ADDRESSES_PER_HEARTBEAT);
        let start = index % heard.len().max(1);
        let count = ADDRESSES_PER_HEARTBEAT.min(heard.len());
        let known_addresses = heard.iter().copied().cycle().skip(start).take(count).collect();
        VmHeartbeat {
            descriptor: self.own.descriptor.clone(),
            state: self.state_at(stamp),
            known_addresses,
        }
    }

    fn periodic_heartbeat(&mut self, stamp: HybridTimestamp, now_ms: u64) -> OutgoingMessage {
        let to = self.heartbeat_targets(now_ms);
        self.outgoing_state.periods_since_join += 1;
        let has_unlocated = self.known_vms.unlocated_addresses().next().is_some();
        let heartbeat = if has_unlocated
            || self.outgoing_state.periods_since_join % PERIODS_PER_FULL_HEARTBEAT == 1
        {
            Heartbeat::Full(self.heartbeat(stamp))
        } else {
            Heartbeat::StateOnly(self.state_at(stamp))
        };
        OutgoingMessage { message: PeerMessage::Heartbeat(heartbeat), to }
    }

    fn state_at(&self, stamp: HybridTimestamp) -> VmState {
        VmState { stamp, period_ms: self.period_ms(), ..self.own.state }
    }

    /// Returns this VM's summary of its failure domain, without addresses for the receiver.
    fn domain_summary(&self, stamp: HybridTimestamp, now_ms: u64) -> DomainSummary {
        let VmHeartbeat { descriptor, state, .. } = &self.own;
        let member = |descriptor: &VmDescriptor, state: &VmState| DomainMember {
            ip: descriptor.peer_address.ip(),
            ready: state.ready && !state.load.is_cut_off(),
            store_reachable: state.store_health.is_reachable(),
            capacity_per_s: descriptor.capacity_per_s,
        };
        let mut store = state.store_health;
        let mut members = Vec::new();
        members.extend((!state.leaving).then(|| member(descriptor, state)));
        for peer in self.live_domain_peers(now_ms) {
            store = store.combine(peer.state.store_health.extrapolate(now_ms - peer.heard_at_ms));
            members.push(member(&peer.descriptor, &peer.state));
        }
        members.sort_unstable_by_key(|member| member.ip);
        DomainSummary {
            stamp,
            period_ms: self.period_ms(),
            boot_at_ms: state.boot_at_ms,
            domain: descriptor.domain.clone(),
            region: descriptor.region.clone(),
            sender: descriptor.peer_address.ip(),
            caller_port: descriptor.caller_address.port(),
            peer_port: descriptor.peer_address.port(),
            members,
            changed_at: state.newest_version,
            store_health: store,
            receiver_domain_vms: Vec::new(),
            part: SummaryPart::WHOLE,
        }
    }

    /// Returns the parts of a summary, addressed to some VMs of another failure domain.
    fn summary_messages(
        &self,
        parts: &[DomainSummary],
        domain: &str,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Vec<OutgoingMessage> {
        let domain_vms = self.sample_domain_ips(domain, RECEIVER_VMS_PER_SUMMARY, rng);
        let to = self.summary_receivers(domain, rng, now_ms);
        let messages = addressed_parts(parts, domain_vms);
        messages.map(|message| OutgoingMessage { message, to: to.clone() }).collect()
    }

    /// Returns whether this VM is one of those that send their failure domain's summaries to another
    /// domain.
    fn sends_summaries_to(&self, domain: &str, now_ms: u64) -> bool {
        if self.own.state.leaving {
            return false;
        }
        let domain_digest = Digest::of(&[domain.as_bytes()]).to_u64();
        let score = |key: VmKey| (rendezvous::score(domain_digest, key.0), key.0);
        let own_score = score(self.own.descriptor.key());
        let is_recently_heard = |peer: &&Peer| {
            let silent_after_ms = self.timing.sender_silent_after_ms(peer.state.period_ms);
            now_ms < peer.heard_at_ms + silent_after_ms
        };
        let others = self.live_domain_peers(now_ms).filter(is_recently_heard);
        let other_scores = others.map(|peer| score(peer.descriptor.key()));
        other_scores.filter(|other| *other > own_score).count() < SENDERS_PER_DOMAIN
    }

    /// Returns the addresses of random VMs of another failure domain that get a summary, chosen from
    /// the VMs that recent summaries list, or else from all known addresses of the domain.
    fn summary_receivers(&self, domain: &str, rng: &mut Rng, now_ms: u64) -> Vec<SocketAddr> {
        let addresses = self.remote_domains.domain_addresses(domain, self.timing, now_ms);
        let mut addresses: Vec<_> = if addresses.is_empty() {
            self.known_vms.domain_addresses(domain).collect()
        } else {
            addresses.into_iter().collect()
        };
        addresses.sort_unstable();
        let count = match addresses.len() {
            _ if now_ms < self.outgoing_state.changed_until_ms => RECEIVERS_AFTER_CHANGE,
            0..=SMALL_DOMAIN_VMS => SMALL_DOMAIN_VMS,
            _ => RECEIVERS_PER_SUMMARY,
        };
        rng.choose_multiple(addresses, count)
    }

    fn sample_domain_ips(&self, domain: &str, max_count: usize, rng: &mut Rng) -> Vec<IpAddr> {
        let heard = self.known_vms.heard_domain_addresses(domain);
        rng.choose_multiple(heard, max_count).into_iter().map(|address| address.ip()).collect()
    }

    pub(super) fn other_domains(&self) -> Vec<Locality> {
        let others = self.known_vms.domains().into_iter();
        others.filter(|locality| locality.domain != self.own.descriptor.domain).cloned().collect()
    }

    /// Takes the pending relays that match, and returns them as a message.
    fn relayed_summaries(
        &mut self,
        is_due: impl Fn(&PendingRelay) -> bool,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Option<OutgoingMessage> {
        let relay_all_in_full = now_ms < self.outgoing_state.full_relay_until_ms;
        let mut relayed = Vec::new();
        let due = self.outgoing_state.pending_relays.extract_if(|_, pending| is_due(pending));
        for (key, PendingRelay { received_at_ms, changed }) in due {
            let in_full = changed || relay_all_in_full || rng.f64() < FULL_RELAY_SHARE;
            let age_ms = now_ms.saturating_sub(received_at_ms);
            let update = self.remote_domains.relayed_update(key, in_full);
            relayed.extend(update.map(|update| RelayedSummary { age_ms, update }));
        }
        (!relayed.is_empty()).then(|| {
            let message = PeerMessage::RelayedSummary(relayed);
            OutgoingMessage { message, to: self.domain_addresses() }
        })
    }
}

/// Returns the messages with the parts of a summary, the first one with VMs of the receiver's failure
/// domain.
fn addressed_parts(
    parts: &[DomainSummary],
    domain_vms: Vec<IpAddr>,
) -> impl Iterator<Item = PeerMessage> {
    let mut domain_vms = Some(domain_vms);
    parts.iter().map(move |part| {
        let receiver_domain_vms = domain_vms.take().unwrap_or_default();
        PeerMessage::of_summary(DomainSummary { receiver_domain_vms, ..part.clone() })
    })
}
