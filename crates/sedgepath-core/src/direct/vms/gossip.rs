//! What a VM sends to whom, each period.
//!
//! # Problem
//!
//! Heartbeats between all VMs grow with the square of their number, and so does what they cost on the
//! ways between failure domains; sent more rarely instead, silence shows too late.
//!
//! # Tiers
//!
//! Heartbeats go to the own failure domain only, and to addresses of which nobody knows yet who is there. For each other domain, two of the VMs that are
//! heard, by rendezvous hashing, send a summary to one of its VMs, another one each time, which passes
//! it on in its own domain with its next heartbeats. Nobody is elected: two VMs that disagree on who
//! is heard send one summary more, and a speaker or a listener that dies is one of several. What has not
//! changed is not said again in full: heartbeats mostly leave out how to reach their VM, and a summary is
//! mostly passed on as a digest.
//!
//! A summary tells what its sender hears itself, and is passed on once. So a VM counts as there only on
//! the word of one that hears it.

use std::net::{IpAddr, SocketAddr};

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use super::elsewhere::Newer;
use super::heartbeat::{VmDescriptor, VmHeartbeat, VmState};
use super::known::Standing;
use super::summary::{DomainSummary, MAX_LISTED, Member, RelayedSummary};
use super::{Peer, VmTable};
use crate::clock::HybridTimestamp;
use crate::hash::{Digest, Map};
use crate::key::VmKey;
use crate::rendezvous;

/// How many VMs of a failure domain speak for it to each other one.
const SPEAKERS: usize = 2;

/// How many VMs of another failure domain each of them tells, other ones each time.
const LISTENERS: usize = 1;

/// How many it tells while it has news: some of them may have died with those that the news is of.
const NEWS_LISTENERS: usize = 3;

/// For how long it has news after something has changed, in milliseconds: some rounds.
const NEWS_MS: u64 = 1_500;

/// How many it tells of a domain with at most as many, all of which thus hear it without delay.
const FEW_LISTENERS: usize = 2;

/// Each how many rounds a heartbeat says how to reach its VM.
const ROUNDS_PER_CARD: u64 = 4;

/// How long summaries are passed on whole after another VM of the failure domain came, in milliseconds: some
/// rounds of all other domains.
const WHOLE_MS: u64 = 2_000;

/// The part of the unchanged summaries that are passed on whole all the same, for those that have lost one.
const WHOLE_SHARE: f64 = 0.125;

/// The addresses of others that a heartbeat carries, other ones each time. A VM learns of all others from
/// the store; these are for one that can't reach it, and many would be most of a heartbeat's bytes.
const KNOWN_PER_HEARTBEAT: usize = 4;

/// The VMs of the receiver's domain that a summary names.
const YOURS_PER_SUMMARY: usize = 2;

/// The VMs of the receiver's domain that are named to one that makes itself known.
const YOURS_AT_START: usize = 32;

/// What a VM says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Heartbeat {
    /// All of it.
    Full(VmHeartbeat),
    /// What changes, to those that know how to reach it.
    StateOnly(VmState),
}

/// A datagram between VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What the sender says of itself.
    Heartbeat(Heartbeat),
    /// What it says of its failure domain.
    Summary(DomainSummary),
    /// What others have told it of theirs.
    RelayedSummary(Vec<RelayedSummary>),
}

impl PeerMessage {
    /// Returns the name for counters.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Summary(_) => "summary",
            Self::RelayedSummary(_) => "passed_on",
        }
    }
}

/// A message to be sent.
#[derive(Debug)]
pub struct OutgoingMessage {
    /// The message.
    pub message: PeerMessage,
    /// To whom.
    pub to: Vec<SocketAddr>,
}

/// What a VM has told others, and has to tell them.
#[derive(Debug, Default)]
pub(super) struct Telling {
    /// How many addresses it has told in heartbeats.
    addresses: usize,
    /// How many rounds there have been since another VM came.
    rounds: u64,
    /// A digest of what it last said of its failure domain.
    digest: u64,
    /// Up to when that is news, in milliseconds.
    news_until_ms: u64,
    /// The senders of the summaries that came since the last round.
    to_pass_on: Map<SocketAddr, ToPassOn>,
    /// Up to when summaries are passed on whole, in milliseconds.
    whole_until_ms: u64,
}

/// A summary that came since the last round.
#[derive(Debug, Clone, Copy)]
struct ToPassOn {
    received_at_ms: u64,
    /// Whether it says something else than the one before.
    changed: bool,
}

impl Telling {
    /// Notes that a VM of the failure domain came, which may lack what this VM and other domains have said.
    pub(super) fn note_newcomer(&mut self, now_ms: u64) {
        self.rounds = 0;
        self.whole_until_ms = now_ms + WHOLE_MS;
    }

    /// Notes that a summary came that is to be passed on.
    pub(super) fn note_summary(&mut self, sender: SocketAddr, newer: Newer, now_ms: u64) {
        // Two may come in one round: the second doesn't make the first one's change known.
        let changed = newer == Newer::Changed
            || self.to_pass_on.get(&sender).is_some_and(|earlier| earlier.changed);
        self.to_pass_on.insert(sender, ToPassOn { received_at_ms: now_ms, changed });
    }
}

impl VmTable {
    /// Returns what this VM sends now, as it does each period.
    pub fn periodic_messages(
        &mut self,
        stamp: HybridTimestamp,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Vec<OutgoingMessage> {
        let mut outgoing = vec![self.heartbeat_of_round(stamp, now_ms)];
        let passed_on = self.passed_on(rng, now_ms);
        let summary = self.summary(stamp, now_ms);
        let digest = summary.digest();
        if digest != self.telling.digest {
            self.telling.digest = digest;
            self.telling.news_until_ms = now_ms + NEWS_MS;
        }
        let domains = self.other_domains();
        let spoken_to = domains.iter().filter(|to| self.speaks_to(&to.domain, now_ms));
        outgoing.extend(spoken_to.map(|to| self.tell(&summary, &to.domain, rng, now_ms)));
        if !passed_on.is_empty() {
            let message = PeerMessage::RelayedSummary(passed_on);
            outgoing.push(OutgoingMessage { message, to: self.domain_addresses() });
        }
        outgoing
    }

    /// Returns what this VM sends at once when its copies of the store's tables have changed: to its own
    /// failure domain, and to the others of its region, whoever speaks for it.
    pub fn change_messages(
        &mut self,
        stamp: HybridTimestamp,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Vec<OutgoingMessage> {
        let mut outgoing = vec![self.full_heartbeat(stamp, now_ms)];
        let summary = self.summary(stamp, now_ms);
        let domains = self.other_domains();
        let near = domains.iter().filter(|to| to.region == self.own.descriptor.region);
        outgoing.extend(near.map(|to| self.tell(&summary, &to.domain, rng, now_ms)));
        outgoing
    }

    /// Returns all that this VM says of itself, to those that get its heartbeats.
    pub fn full_heartbeat(&mut self, stamp: HybridTimestamp, now_ms: u64) -> OutgoingMessage {
        let to = self.heartbeat_targets(now_ms);
        OutgoingMessage {
            message: PeerMessage::Heartbeat(Heartbeat::Full(self.heartbeat(stamp))),
            to,
        }
    }

    /// Returns the answer to a VM of another failure domain that has made itself known.
    pub fn join_reply(
        &self,
        domain: &str,
        stamp: HybridTimestamp,
        rng: &mut Rng,
        now_ms: u64,
    ) -> PeerMessage {
        let mut summary = self.summary(stamp, now_ms);
        summary.yours = self.named_to(domain, YOURS_AT_START, rng);
        PeerMessage::Summary(summary)
    }

    /// Returns all that this VM says of itself, sent now.
    pub fn heartbeat(&mut self, stamp: HybridTimestamp) -> VmHeartbeat {
        let heard: Vec<_> = self.known.heard_in(&self.own.descriptor.domain).collect();
        let next = self.telling.addresses;
        self.telling.addresses = next.wrapping_add(KNOWN_PER_HEARTBEAT);
        let from = next % heard.len().max(1);
        let count = KNOWN_PER_HEARTBEAT.min(heard.len());
        let known = heard.iter().copied().cycle().skip(from).take(count).collect();
        VmHeartbeat { descriptor: self.own.descriptor.clone(), state: self.state(stamp), known }
    }

    fn heartbeat_of_round(&mut self, stamp: HybridTimestamp, now_ms: u64) -> OutgoingMessage {
        let to = self.heartbeat_targets(now_ms);
        self.telling.rounds += 1;
        let unplaced = self.known.unplaced().next().is_some();
        let heartbeat = if unplaced || self.telling.rounds % ROUNDS_PER_CARD == 1 {
            Heartbeat::Full(self.heartbeat(stamp))
        } else {
            Heartbeat::StateOnly(self.state(stamp))
        };
        OutgoingMessage { message: PeerMessage::Heartbeat(heartbeat), to }
    }

    fn state(&self, stamp: HybridTimestamp) -> VmState {
        VmState { stamp, period_ms: self.period_ms(), ..self.own.state }
    }

    /// Returns what this VM can say of its failure domain.
    fn summary(&self, stamp: HybridTimestamp, now_ms: u64) -> DomainSummary {
        let VmHeartbeat { descriptor: card, state, .. } = &self.own;
        let member = |card: &VmDescriptor, state: &VmState| Member {
            ip: card.peer_address.ip(),
            ready: state.ready,
            has_store: state.store_health.is_reachable(),
        };
        let mut store = state.store_health;
        let mut members = Vec::new();
        members.extend((!state.leaving).then(|| member(card, state)));
        for peer in self.domain_peers(now_ms) {
            store = store.with(peer.state.store_health.aged(now_ms - peer.heard_at_ms));
            members.push(member(&peer.card, &peer.state));
        }
        members.sort_unstable_by_key(|member| member.ip);
        members.truncate(MAX_LISTED);
        DomainSummary {
            stamp,
            period_ms: self.period_ms(),
            boot: state.boot_at_ms,
            domain: card.domain.clone(),
            region: card.region.clone(),
            sender: card.peer_address.ip(),
            callers_port: card.caller_address.port(),
            peers_port: card.peer_address.port(),
            members,
            changed_at: state.newest_version,
            store,
            yours: Vec::new(),
        }
    }

    /// Returns a summary to some VMs of another failure domain.
    fn tell(
        &self,
        summary: &DomainSummary,
        domain: &str,
        rng: &mut Rng,
        now_ms: u64,
    ) -> OutgoingMessage {
        let yours = self.named_to(domain, YOURS_PER_SUMMARY, rng);
        let message = PeerMessage::Summary(DomainSummary { yours, ..summary.clone() });
        OutgoingMessage { message, to: self.listeners(domain, rng, now_ms) }
    }

    /// Whether this VM is one of those that speak for its failure domain to another.
    fn speaks_to(&self, domain: &str, now_ms: u64) -> bool {
        if self.own.state.leaving {
            return false;
        }
        let item = Digest::of(&[domain.as_bytes()]).to_u64();
        let rank = |key: VmKey| (rendezvous::score(item, key.0), key.0);
        let own = rank(self.own.descriptor.key());
        let speaks = |peer: &&Peer| {
            let silent_after_ms = self.timing.speaker_silent_after_ms(peer.state.period_ms);
            now_ms < peer.heard_at_ms + silent_after_ms
        };
        let others = self.domain_peers(now_ms).filter(speaks);
        let others = others.map(|peer| rank(peer.card.key()));
        others.filter(|other| *other > own).count() < SPEAKERS
    }

    /// Returns VMs of a failure domain to be told something: such as are there, else any.
    fn listeners(&self, domain: &str, rng: &mut Rng, now_ms: u64) -> Vec<SocketAddr> {
        let there = self.elsewhere.of_domain(domain, self.timing, now_ms);
        let mut there: Vec<_> = if there.is_empty() {
            self.known.of_domain(domain).collect()
        } else {
            there.into_iter().collect()
        };
        there.sort_unstable();
        let count = match there.len() {
            _ if now_ms < self.telling.news_until_ms => NEWS_LISTENERS,
            0..=FEW_LISTENERS => FEW_LISTENERS,
            _ => LISTENERS,
        };
        rng.choose_multiple(there, count)
    }

    fn named_to(&self, domain: &str, most: usize, rng: &mut Rng) -> Vec<IpAddr> {
        let known = self.known.heard_in(domain);
        rng.choose_multiple(known, most).into_iter().map(|address| address.ip()).collect()
    }

    fn other_domains(&self) -> Vec<Standing> {
        let others = self.known.domains().into_iter();
        others.filter(|standing| standing.domain != self.own.descriptor.domain).cloned().collect()
    }

    fn passed_on(&mut self, rng: &mut Rng, now_ms: u64) -> Vec<RelayedSummary> {
        let all_whole = now_ms < self.telling.whole_until_ms;
        let mut passed_on = Vec::new();
        for (sender, summary) in std::mem::take(&mut self.telling.to_pass_on) {
            let ToPassOn { received_at_ms, changed } = summary;
            let whole = changed || all_whole || rng.f64() < WHOLE_SHARE;
            let age_ms = now_ms.saturating_sub(received_at_ms);
            let news = self.elsewhere.news(sender, whole);
            passed_on.extend(news.map(|news| RelayedSummary { age_ms, news }));
        }
        passed_on
    }
}
