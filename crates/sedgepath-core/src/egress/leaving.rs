//! The upstreams that are about to leave, and the notices that tell peers of them.
//!
//! An upstream's responses and the platform's list say that it is leaving only to its current owner;
//! a drain record reaches all nodes. So an owner sends what it learns to the peers of its failure
//! domain: three times to all of them, to each peer that joins later, and once a second to a single
//! peer in turn, which covers lost datagrams at a constant rate in domains of any size.
//!
//! Only first-hand knowledge sets the expiry; a notice carries the remaining time. Otherwise peers
//! would renew each other's entries for ever, and an upstream that comes back under its name would
//! never be used again.

use crate::catalogue::Catalogue;
use crate::hash::Map;
use crate::key::UpstreamKey;
use crate::message::{LeavingUpstream, LeavingUpstreams};

/// How long an upstream counts as leaving after the last first-hand report. An upstream that is still
/// there afterwards is used again.
const REMEMBERED_MS: u64 = 15 * 60_000;

/// The time between two notices.
const NOTICE_EVERY_MS: u64 = 1_000;

/// The number of notices to all peers after a new upstream was marked.
const NOTICES_TO_ALL: u32 = 3;

/// The delay of a notice up to which a later expiry doesn't count as a newer first-hand report.
const TRANSIT_MS: u64 = 5_000;

/// A notice of leaving upstreams for peers.
#[derive(Debug)]
pub struct Notice {
    /// Whether to send the notice to all peers; otherwise one peer is chosen by `number`.
    pub to_all: bool,
    /// The sequence number of the notice, which selects the peer.
    pub number: u64,
    /// The leaving upstreams.
    pub leaving: LeavingUpstreams,
}

/// The upstreams known to be leaving, with the expiry of each entry.
#[derive(Debug, Default)]
pub struct Leaving {
    until_ms: Map<UpstreamKey, u64>,
    to_all: u32,
    notices: u64,
    next_notice_at_ms: u64,
}

impl Leaving {
    /// Marks an upstream as leaving from a first-hand report; returns whether it is new.
    pub fn mark(&mut self, upstream: UpstreamKey, now_ms: u64) -> bool {
        let news = self.until_ms.insert(upstream, now_ms + REMEMBERED_MS).is_none();
        if news {
            self.to_all = NOTICES_TO_ALL;
            self.next_notice_at_ms = now_ms;
        }
        news
    }

    /// Merges an entry of a peer's notice; returns whether the upstream is new.
    pub fn take(&mut self, told: LeavingUpstream, now_ms: u64) -> bool {
        let until_ms = now_ms + told.remaining_ms.min(REMEMBERED_MS);
        let known_ms = self.until_ms.get(&told.upstream).copied();
        if known_ms.is_none_or(|known_ms| until_ms > known_ms + TRANSIT_MS) {
            self.until_ms.insert(told.upstream, until_ms);
        }
        known_ms.is_none()
    }

    /// Returns whether an upstream is leaving.
    pub fn contains(&self, upstream: UpstreamKey) -> bool {
        self.until_ms.contains_key(&upstream)
    }

    /// Removes expired upstreams and those with a drain record, which all nodes have.
    ///
    /// Upstreams without any record stay: a node that has just started gets notices before it has
    /// the records of those upstreams.
    pub fn expire(&mut self, catalogue: &Catalogue, now_ms: u64) {
        self.until_ms
            .retain(|upstream, until_ms| now_ms < *until_ms && !catalogue.has_own_drain(*upstream));
    }

    /// Returns the notice that is due, if any.
    pub fn notice(&mut self, now_ms: u64) -> Option<Notice> {
        if self.until_ms.is_empty() || now_ms < self.next_notice_at_ms {
            return None;
        }
        self.next_notice_at_ms = now_ms + NOTICE_EVERY_MS;
        self.notices += 1;
        let to_all = self.to_all > 0;
        self.to_all = self.to_all.saturating_sub(1);
        Some(Notice { to_all, number: self.notices, leaving: self.told(now_ms) })
    }

    /// Returns the leaving upstreams with the remaining time of each, up to the limit of a datagram.
    pub fn told(&self, now_ms: u64) -> LeavingUpstreams {
        let leaving = self.until_ms.iter().map(|(upstream, until_ms)| LeavingUpstream {
            upstream: *upstream,
            remaining_ms: until_ms.saturating_sub(now_ms),
        });
        let mut upstreams: Vec<_> = leaving.collect();
        upstreams.sort_unstable_by_key(|leaving| leaving.upstream);
        upstreams.truncate(LeavingUpstreams::MAX_UPSTREAMS);
        LeavingUpstreams { upstreams }
    }
}
