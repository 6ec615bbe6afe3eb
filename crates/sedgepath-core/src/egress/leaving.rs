//! The upstreams that are about to leave, and the notices about them to peers.
//!
//! An upstream's responses and the platform's list report it as leaving only to its current owner;
//! a drain record reaches all nodes. So the owner notifies the peers of its failure domain: three
//! times all of them, each peer that joins later, and once a second a single peer in turn, which
//! covers lost datagrams at a constant rate in domains of any size.
//!
//! Only a report of the upstream or the platform (a first-hand report) sets the expiry; a notice
//! carries the remaining time. Otherwise peers would renew each other's entries for ever, and an
//! upstream that comes back under its name would never be used again.

use crate::catalogue::Catalogue;
use crate::hash::Map;
use crate::key::UpstreamKey;
use crate::message::{LeavingUpstream, LeavingUpstreams};

/// The time for which an upstream counts as leaving after the last first-hand report, in
/// milliseconds. An upstream that is still configured afterwards is used again.
const LEAVING_TTL_MS: u64 = 15 * 60_000;

/// The time between two notices, in milliseconds.
const NOTICE_INTERVAL_MS: u64 = 1_000;

/// The number of notices to all peers after an upstream was newly marked as leaving.
const BROADCAST_COUNT: u32 = 3;

/// The minimum difference by which the expiry in a notice must exceed the known one to replace it,
/// in milliseconds. A smaller difference may be due to the delay of the notice.
const NOTICE_DELAY_TOLERANCE_MS: u64 = 5_000;

/// A notice to peers about leaving upstreams.
#[derive(Debug)]
pub struct LeavingNotice {
    /// Whether to send the notice to all peers of the failure domain; otherwise `number` selects
    /// one.
    pub broadcast: bool,
    /// The sequence number of the notice within the boot.
    pub number: u64,
    /// The content of the notice.
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
    /// Marks an upstream as leaving after a first-hand report; returns whether it wasn't marked
    /// before.
    pub fn mark(&mut self, upstream: UpstreamKey, now_ms: u64) -> bool {
        let is_new = self.expires_at_ms.insert(upstream, now_ms + LEAVING_TTL_MS).is_none();
        if is_new {
            self.broadcasts_left = BROADCAST_COUNT;
            self.next_notice_at_ms = now_ms;
        }
        is_new
    }

    /// Merges an entry of a peer's notice; returns whether the upstream wasn't marked before.
    pub fn merge(&mut self, entry: LeavingUpstream, now_ms: u64) -> bool {
        let expires_at_ms = now_ms + entry.remaining_ms.min(LEAVING_TTL_MS);
        let known_expiry_ms = self.expires_at_ms.get(&entry.upstream).copied();
        if known_expiry_ms.is_none_or(|known_expiry_ms| {
            expires_at_ms > known_expiry_ms + NOTICE_DELAY_TOLERANCE_MS
        }) {
            self.expires_at_ms.insert(entry.upstream, expires_at_ms);
        }
        known_expiry_ms.is_none()
    }

    /// Returns whether an upstream is marked as leaving.
    pub fn contains(&self, upstream: UpstreamKey) -> bool {
        self.expires_at_ms.contains_key(&upstream)
    }

    /// Removes expired upstreams and those with a drain record, which all nodes have.
    ///
    /// Upstreams without any record stay: a node that has just started gets notices before it has
    /// the records of those upstreams.
    pub fn expire(&mut self, catalogue: &Catalogue, now_ms: u64) {
        self.expires_at_ms.retain(|upstream, expires_at_ms| {
            now_ms < *expires_at_ms && !catalogue.has_own_drain(*upstream)
        });
    }

    /// Returns the notice that is due, if any.
    pub fn due_notice(&mut self, now_ms: u64) -> Option<LeavingNotice> {
        if self.expires_at_ms.is_empty() || now_ms < self.next_notice_at_ms {
            return None;
        }
        self.next_notice_at_ms = now_ms + NOTICE_INTERVAL_MS;
        self.notice_count += 1;
        let broadcast = self.broadcasts_left > 0;
        self.broadcasts_left = self.broadcasts_left.saturating_sub(1);
        Some(LeavingNotice { broadcast, number: self.notice_count, leaving: self.snapshot(now_ms) })
    }

    /// Returns the leaving upstreams with the remaining time of each, up to the limit of a
    /// datagram.
    pub fn snapshot(&self, now_ms: u64) -> LeavingUpstreams {
        let leaving = self.expires_at_ms.iter().map(|(upstream, expires_at_ms)| LeavingUpstream {
            upstream: *upstream,
            remaining_ms: expires_at_ms.saturating_sub(now_ms),
        });
        let mut upstreams: Vec<_> = leaving.collect();
        upstreams.sort_unstable_by_key(|leaving| leaving.upstream);
        upstreams.truncate(LeavingUpstreams::MAX_UPSTREAMS);
        LeavingUpstreams { upstreams }
    }
}
