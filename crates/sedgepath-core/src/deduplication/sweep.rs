//! Rows that their writer removes once they have been kept for long enough.
//!
//! Rows of a boot that is gone are not removed by anybody; their expiry is written in them.

use std::collections::VecDeque;

use crate::hash::Digest;
use crate::key::RequestKey;

/// The most rows that a node remembers to remove; the rest stay until somebody else removes them.
const MAX_ROWS: usize = 50_000;

/// The most rows that are taken up for removal in one tick.
const MAX_PER_TICK: usize = 16;

/// A row to be removed.
#[derive(Debug, Clone, Copy)]
pub struct Due {
    /// The key of the claim.
    pub key: Digest,
    /// The request that wrote the row.
    pub request: RequestKey,
    at_ms: u64,
}

/// The rows to be removed, the earliest first.
#[derive(Debug, Default)]
pub struct Sweep {
    rows: VecDeque<Due>,
}

impl Sweep {
    /// Adds a row; rows are added in the order of their times.
    pub fn push(&mut self, at_ms: u64, key: Digest, request: RequestKey) {
        if self.rows.len() == MAX_ROWS {
            self.rows.pop_front();
        }
        self.rows.push_back(Due { key, request, at_ms });
    }

    /// Takes the rows whose time has come, a bounded number at once.
    pub fn due(&mut self, now_ms: u64) -> Vec<Due> {
        let ready = self.rows.iter().take(MAX_PER_TICK).take_while(|row| row.at_ms <= now_ms);
        let count = ready.count();
        self.rows.drain(..count).collect()
    }
}
