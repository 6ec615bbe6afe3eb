//! Schedules the removal of expired claim rows by the boot that wrote them.
//!
//! Nodes don't remove the rows of other boots.

use std::collections::VecDeque;

use crate::hash::Digest;
use crate::key::RequestKey;

/// The maximum number of rows in the queue; beyond it the oldest are dropped and stay in the table.
const MAX_ROWS: usize = 50_000;

/// The maximum number of rows whose removal starts in one tick.
const MAX_REMOVALS_PER_TICK: usize = 16;

/// A row in the queue.
#[derive(Debug, Clone, Copy)]
pub struct ExpiringRow {
    /// The digest of the caller's key.
    pub key: Digest,
    /// The request that wrote the row.
    pub request: RequestKey,
    expires_at_ms: u64,
}

/// The rows to remove, sorted by expiry time.
#[derive(Debug, Default)]
pub struct ExpiryQueue {
    rows: VecDeque<ExpiringRow>,
}

impl ExpiryQueue {
    /// Adds a row; `expires_at_ms` must not be earlier than that of the row added before.
    pub fn push(&mut self, expires_at_ms: u64, key: Digest, request: RequestKey) {
        if self.rows.len() == MAX_ROWS {
            self.rows.pop_front();
        }
        self.rows.push_back(ExpiringRow { key, request, expires_at_ms });
    }

    /// Removes and returns at most [`MAX_REMOVALS_PER_TICK`] expired rows.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<ExpiringRow> {
        let expired = self
            .rows
            .iter()
            .take(MAX_REMOVALS_PER_TICK)
            .take_while(|row| row.expires_at_ms <= now_ms);
        let count = expired.count();
        self.rows.drain(..count).collect()
    }
}
