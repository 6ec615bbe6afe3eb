//! When a VM fetches rows from other VMs.

use super::Table;
use crate::hash::Map;

/// How long a VM that reads the store itself waits for newer rows before it asks a peer, in
/// milliseconds.
const FETCH_DELAY_MS: u64 = 150;

/// The time after which another VM is asked for the same table, in milliseconds: twice a connection
/// and a response between the most distant regions.
const NEXT_PEER_DELAY_MS: u64 = 350;

/// How long a response in progress keeps other VMs from being asked, in milliseconds; after that,
/// one with a free link may have the rows.
const SLOW_FETCH_AFTER_MS: u64 = 1_000;

/// Returns the pause before rows that another VM has announced are fetched, in milliseconds, given
/// whether this VM's own calls of the store succeed.
pub fn fetch_delay_ms(reaches_store: bool) -> u64 {
    if reaches_store { FETCH_DELAY_MS } else { 0 }
}

/// The fetches under way.
///
/// A peer may be stopping or unreachable. Waiting for the timeout of one after the other would
/// exceed the time that a leaving upstream may get requests.
#[derive(Debug, Default)]
pub struct FetchPace {
    /// When rows of a table were last requested, or part of them arrived, in milliseconds.
    active_at_ms: Map<Table, u64>,
}

impl FetchPace {
    /// Returns whether rows of a table may be requested now, and records the request if so.
    pub fn try_begin(&mut self, table: Table, now_ms: u64) -> bool {
        let active_at_ms = self.active_at_ms.get(&table);
        let allowed = active_at_ms.is_none_or(|at_ms| now_ms >= at_ms + NEXT_PEER_DELAY_MS);
        if allowed {
            self.active_at_ms.insert(table, now_ms);
        }
        allowed
    }

    /// Records that part of the response to a request arrives that was sent at a time in milliseconds.
    pub fn record_progress(&mut self, table: Table, requested_at_ms: u64, now_ms: u64) {
        if now_ms < requested_at_ms + SLOW_FETCH_AFTER_MS {
            self.active_at_ms.insert(table, now_ms);
        }
    }

    /// Records that a request has ended.
    pub fn end(&mut self, table: Table) {
        self.active_at_ms.remove(&table);
    }
}
