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
const LEAVING_TTL_MS: u64 = 15 * 60_000;

/// The time between two notices.
const NOTICE_INTERVAL_MS: u64 = 1_000;

/// The number of notices to all peers after a new upstream was marked.
const BROADCAST_COUNT: u32 = 3;

/// The delay of a notice up to which a later expiry doesn't count as a newer first-hand report.
const MAX_NOTICE_TRANSIT_MS: u64 = 5_000;

/// A notice of leaving upstreams for peers.
#[derive(Debug)]
pub struct LeavingNotice {
    /// Whether to send the notice to all peers; otherwise one peer is chosen by `number`.
    pub broadcast: bool,
    /// The sequence number of the notice, which selects the peer.
    pub number: u64,
    /// The leaving upstreams.
    pub leaving: LeavingUpstreams,
}

/// The upstreams known to be leaving, with the expiry of each entry.
#[derive(Debug, Default)]
pub struct LeavingSet {
    expires_at_ms: Map<UpstreamKey, u64>,
    broadcasts_left: u32,
    notice_count: u64,
    next_notice_at_ms: u64,
}

impl LeavingSet {
    /// Marks an upstream as leaving from a first-hand report; returns whether it is new.
    pub fn mark(&mut self, upstream: UpstreamKey, now_ms: u64) -> bool {
        let news = self.expires_at_ms.insert(upstream, now_ms + LEAVING_TTL_MS).is_none();
        if news {
            self.broadcasts_left = BROADCAST_COUNT;
            self.next_notice_at_ms = now_ms;
        }
        news
    }

    /// Merges an entry of a peer's notice; returns whether the upstream is new.
    pub fn merge(&mut self, entry: LeavingUpstream, now_ms: u64) -> bool {
        let until_ms = now_ms + entry.remaining_ms.min(LEAVING_TTL_MS);
        let known_ms = self.expires_at_ms.get(&entry.upstream).copied();
        if known_ms.is_none_or(|known_ms| until_ms > known_ms + MAX_NOTICE_TRANSIT_MS) {
            self.expires_at_ms.insert(entry.upstream, until_ms);
        }
        known_ms.is_none()
    }

    /// Returns whether an upstream is leaving.
    pub fn contains(&self, upstream: UpstreamKey) -> bool {
        self.expires_at_ms.contains_key(&upstream)
    }

    /// Removes expired upstreams and those with a drain record, which all nodes have.
    ///
    /// Upstreams without any record stay: a node that has just started gets notices before it has
    /// the records of those upstreams.
    pub fn expire(&mut self, catalogue: &Catalogue, now_ms: u64) {
        self.expires_at_ms
            .retain(|upstream, until_ms| now_ms < *until_ms && !catalogue.has_own_drain(*upstream));
    }

    /// Returns the notice that is due, if any.
    pub fn due_notice(&mut self, now_ms: u64) -> Option<LeavingNotice> {
        if self.expires_at_ms.is_empty() || now_ms < self.next_notice_at_ms {
            return None;
        }
        self.next_notice_at_ms = now_ms + NOTICE_INTERVAL_MS;
        self.notice_count += 1;
        let to_all = self.broadcasts_left > 0;
        self.broadcasts_left = self.broadcasts_left.saturating_sub(1);
        Some(LeavingNotice {
            broadcast: to_all,
            number: self.notice_count,
            leaving: self.snapshot(now_ms),
        })
    }

    /// Returns the leaving upstreams with the remaining time of each, up to the limit of a datagram.
    pub fn snapshot(&self, now_ms: u64) -> LeavingUpstreams {
        let leaving = self.expires_at_ms.iter().map(|(upstream, until_ms)| LeavingUpstream {
            upstream: *upstream,
            remaining_ms: until_ms.saturating_sub(now_ms),
        });
        let mut upstreams: Vec<_> = leaving.collect();
        upstreams.sort_unstable_by_key(|leaving| leaving.upstream);
        upstreams.truncate(LeavingUpstreams::MAX_UPSTREAMS);
        LeavingUpstreams { upstreams }
    }
}
