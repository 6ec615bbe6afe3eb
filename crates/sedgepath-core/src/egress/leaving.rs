//! The upstreams that are about to leave, and how the next owner hears of them.
//!
//! An upstream says that it leaves with its answers, the platform in its list, an operator in a drain
//! record. The first two reach only who owns the upstream then, so what was heard is told to the
//! peers of the failure domain: to all at once and twice again, to each that joins later, and to one peer
//! each second in turn, for those that missed all of these. A node in a domain of any size thus sends and hears about
//! one such datagram a second, while an upstream leaves.
//!
//! Only what a node hears first-hand sets the time until which it is remembered; a notice carries the
//! rest of that time. Were each notice to set it anew, peers would remind each other for ever and an
//! upstream that has come back under its name would never be used again.

use crate::catalogue::Catalogue;
use crate::hash::Map;
use crate::key::UpstreamKey;
use crate::message::{LeavingUpstream, LeavingUpstreams};

/// How long a sign that an upstream leaves is remembered, in milliseconds. An upstream that is still
/// there after it is used again, and says again if it leaves.
const REMEMBERED_MS: u64 = 15 * 60_000;

/// The time between two notices, in milliseconds.
const NOTICE_EVERY_MS: u64 = 1_000;

/// How often news is told to all peers.
const NOTICES_TO_ALL: u32 = 3;

/// The transit of a notice that is not taken for a later sign, in milliseconds.
const TRANSIT_MS: u64 = 5_000;

/// What to tell the peers.
#[derive(Debug)]
pub struct Notice {
    /// Whether to tell all of them; else one, by the number of the notice.
    pub to_all: bool,
    /// The number of the notice.
    pub number: u64,
    /// What to tell.
    pub leaving: LeavingUpstreams,
}

/// The upstreams that were heard to leave.
#[derive(Debug, Default)]
pub struct Leaving {
    until_ms: Map<UpstreamKey, u64>,
    to_all: u32,
    notices: u64,
    next_notice_at_ms: u64,
}

impl Leaving {
    /// Takes in first-hand that an upstream leaves; returns whether that is news.
    pub fn mark(&mut self, upstream: UpstreamKey, now_ms: u64) -> bool {
        let news = self.until_ms.insert(upstream, now_ms + REMEMBERED_MS).is_none();
        if news {
            self.to_all = NOTICES_TO_ALL;
            self.next_notice_at_ms = now_ms;
        }
        news
    }

    /// Takes in what a peer has heard; returns whether that is news.
    pub fn take(&mut self, told: LeavingUpstream, now_ms: u64) -> bool {
        let until_ms = now_ms + told.remaining_ms.min(REMEMBERED_MS);
        let known_ms = self.until_ms.get(&told.upstream).copied();
        if known_ms.is_none_or(|known_ms| until_ms > known_ms + TRANSIT_MS) {
            self.until_ms.insert(told.upstream, until_ms);
        }
        known_ms.is_none()
    }

    /// Whether an upstream leaves.
    pub fn contains(&self, upstream: UpstreamKey) -> bool {
        self.until_ms.contains_key(&upstream)
    }

    /// Forgets those whose time is over and those that a drain record names, since all nodes have
    /// that.
    ///
    /// Upstreams that no record names are kept: a node that has just started is told of them before
    /// it has any records, and would send them work once it has.
    pub fn expire(&mut self, catalogue: &Catalogue, now_ms: u64) {
        self.until_ms
            .retain(|upstream, until_ms| now_ms < *until_ms && !catalogue.has_own_drain(*upstream));
    }

    /// Returns the notice that is due, if there is one.
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

    /// Returns what a peer has to know; nothing in most cases.
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
