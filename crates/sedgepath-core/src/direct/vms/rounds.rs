//! What a VM sends to whom, each period.
//!
//! # Problem
//!
//! Heartbeats between all VMs grow with the square of their number, and so does what they cost on the
//! ways between failure domains; sent more rarely instead, silence shows too late.
//!
//! # Tiers
//!
//! Heartbeats go to the own failure domain only. For each other domain, two of the VMs that are
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

use super::heartbeat::{ShortHeartbeat, VmHeartbeat};
use super::known::Standing;
use super::summary::{DomainSummary, MAX_LISTED, Member, PassedOn};
use super::{Peer, ToPassOn, Vms};
use crate::clock::Stamp;
use crate::hash::Digest;
use crate::key::VmKey;
use crate::ownership;

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
    Whole(VmHeartbeat),
    /// What changes.
    Short(ShortHeartbeat),
}

/// A datagram between VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What the sender says of itself.
    Heartbeat(Heartbeat),
    /// What it says of its failure domain.
    Summary(DomainSummary),
    /// What others have told it of theirs.
    PassedOn(Vec<PassedOn>),
}

impl PeerMessage {
    /// Returns the name for counters.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Summary(_) => "summary",
            Self::PassedOn(_) => "passed_on",
        }
    }
}

/// What a VM sends in a round.
#[derive(Debug)]
pub struct Round {
    /// What it says of itself.
    pub heartbeat: Heartbeat,
    /// To whom.
    pub heartbeat_to: Vec<SocketAddr>,
    /// What it says of its failure domain, and to whom.
    pub summaries: Vec<(SocketAddr, DomainSummary)>,
    /// What others have said to it of their failure domains since its last round.
    pub passed_on: Vec<PassedOn>,
    /// To whom it passes that on.
    pub passed_on_to: Vec<SocketAddr>,
}

impl Vms {
    /// Returns what this VM sends now, as it does each period.
    pub fn round(&mut self, stamp: Stamp, rng: &mut Rng, now_ms: u64) -> Round {
        let heartbeat_to = self.addresses(now_ms);
        let unplaced = self.known.unplaced().next().is_some();
        self.rounds += 1;
        let heartbeat = if unplaced || self.rounds % ROUNDS_PER_CARD == 1 {
            Heartbeat::Whole(self.heartbeat(stamp))
        } else {
            Heartbeat::Short(self.own_now(stamp).short())
        };
        let passed_on_to = self.known.of_domain(&self.own.card.domain).collect();
        let passed_on = self.passed_on(rng, now_ms);
        let said = self.summary(stamp, now_ms).digest();
        if said != self.said {
            self.said = said;
            self.news_until_ms = now_ms + NEWS_MS;
        }
        let domains = self.other_domains();
        let spoken_to = domains.iter().filter(|to| self.speaks_to(&to.domain, now_ms));
        let summaries =
            spoken_to.flat_map(|to| self.summaries(&to.domain, stamp, rng, now_ms)).collect();
        Round { heartbeat, heartbeat_to, summaries, passed_on, passed_on_to }
    }

    /// Returns what this VM sends at once when its copies of the store's tables have changed: to its own
    /// failure domain, and to the others of its region, whoever speaks for it.
    pub fn announce(&mut self, stamp: Stamp, rng: &mut Rng, now_ms: u64) -> Round {
        let heartbeat = Heartbeat::Whole(self.heartbeat(stamp));
        let heartbeat_to = self.addresses(now_ms);
        let domains = self.other_domains();
        let near = domains.iter().filter(|to| to.region == self.own.card.region);
        let summaries =
            near.flat_map(|to| self.summaries(&to.domain, stamp, rng, now_ms)).collect();
        let (passed_on, passed_on_to) = (Vec::new(), Vec::new());
        Round { heartbeat, heartbeat_to, summaries, passed_on, passed_on_to }
    }

    /// Returns the answer to a VM of another failure domain that has made itself known.
    pub fn welcome(&self, domain: &str, stamp: Stamp, rng: &mut Rng, now_ms: u64) -> DomainSummary {
        let mut summary = self.summary(stamp, now_ms);
        summary.yours = self.named_to(domain, YOURS_AT_START, rng);
        summary
    }

    /// Returns all that this VM tells others of itself, sent now.
    pub fn heartbeat(&mut self, stamp: Stamp) -> VmHeartbeat {
        let mut heartbeat = self.own_now(stamp);
        let known: Vec<_> = self.known.heard_in(&self.own.card.domain).collect();
        let next = self.addresses_told;
        self.addresses_told = next.wrapping_add(KNOWN_PER_HEARTBEAT);
        let from = next % known.len().max(1);
        let count = KNOWN_PER_HEARTBEAT.min(known.len());
        heartbeat.known = known.iter().copied().cycle().skip(from).take(count).collect();
        heartbeat
    }

    fn own_now(&self, stamp: Stamp) -> VmHeartbeat {
        VmHeartbeat { stamp, period_ms: self.period_ms(), ..self.own.clone() }
    }

    /// Returns what this VM can say of its failure domain.
    fn summary(&self, stamp: Stamp, now_ms: u64) -> DomainSummary {
        let own = &self.own;
        let mut store = own.store;
        let mut members = Vec::new();
        if !own.leaving {
            members.push(Member {
                ip: own.card.peers.ip(),
                ready: own.ready,
                has_store: own.store.answers(),
            });
        }
        for peer in self.domain_peers(now_ms) {
            store = store.with(peer.heartbeat.store.aged(now_ms - peer.heard_at_ms));
            members.push(Member {
                ip: peer.heartbeat.card.peers.ip(),
                ready: peer.heartbeat.ready,
                has_store: peer.heartbeat.store.answers(),
            });
        }
        members.sort_unstable_by_key(|member| member.ip);
        members.truncate(MAX_LISTED);
        DomainSummary {
            stamp,
            period_ms: self.period_ms(),
            boot: own.boot,
            domain: own.card.domain.clone(),
            region: own.card.region.clone(),
            sender: own.card.peers.ip(),
            callers_port: own.card.callers.port(),
            peers_port: own.card.peers.port(),
            members,
            changed_at: own.changed_at,
            store,
            yours: Vec::new(),
        }
    }

    fn summaries(
        &self,
        domain: &str,
        stamp: Stamp,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Vec<(SocketAddr, DomainSummary)> {
        let mut summary = self.summary(stamp, now_ms);
        summary.yours = self.named_to(domain, YOURS_PER_SUMMARY, rng);
        let listeners = self.listeners(domain, rng, now_ms);
        listeners.into_iter().map(|to| (to, summary.clone())).collect()
    }

    /// Whether this VM is one of those that speak for its failure domain to another.
    fn speaks_to(&self, domain: &str, now_ms: u64) -> bool {
        if self.own.leaving {
            return false;
        }
        let item = Digest::of(&[domain.as_bytes()]).to_u64();
        let rank = |key: VmKey| (ownership::rank(item, key.0), key.0);
        let own = rank(self.own.card.key());
        let speaks = |peer: &&Peer| {
            let silent_after_ms = self.timing.speaker_silent_after_ms(peer.heartbeat.period_ms);
            now_ms < peer.heard_at_ms + silent_after_ms
        };
        let others = self.domain_peers(now_ms).filter(speaks);
        let others = others.map(|peer| rank(peer.heartbeat.card.key()));
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
            _ if now_ms < self.news_until_ms => NEWS_LISTENERS,
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
        others.filter(|standing| standing.domain != self.own.card.domain).cloned().collect()
    }

    fn passed_on(&mut self, rng: &mut Rng, now_ms: u64) -> Vec<PassedOn> {
        let all_whole = now_ms < self.whole_until_ms;
        let mut passed_on = Vec::new();
        for (sender, ToPassOn { received_at_ms, changed }) in std::mem::take(&mut self.to_pass_on) {
            let whole = changed || all_whole || rng.f64() < WHOLE_SHARE;
            let age_ms = now_ms.saturating_sub(received_at_ms);
            let news = self.elsewhere.news(sender, whole);
            passed_on.extend(news.map(|news| PassedOn { age_ms, news }));
        }
        passed_on
    }
}
