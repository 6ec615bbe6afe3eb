//! The upstreams that are about to leave.

use crate::hash::Map;
use crate::key::UpstreamKey;

/// How long a sign that an upstream leaves is remembered, in milliseconds. An upstream that is still
/// there after it is used again, and says again if it leaves.
const REMEMBERED_MS: u64 = 15 * 60_000;

/// The upstreams that were heard to leave.
#[derive(Debug, Default)]
pub struct Leaving {
    until_ms: Map<UpstreamKey, u64>,
}

impl Leaving {
    /// Takes in that an upstream leaves; returns whether that is news.
    pub fn mark(&mut self, upstream: UpstreamKey, now_ms: u64) -> bool {
        self.until_ms.insert(upstream, now_ms + REMEMBERED_MS).is_none()
    }

    /// Whether an upstream leaves.
    pub fn contains(&self, upstream: UpstreamKey) -> bool {
        self.until_ms.contains_key(&upstream)
    }

    /// Forgets those whose time is over.
    pub fn expire(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }
}
