//! How a VM reads a table of the store, while it is one of the store's readers.

use fastrand::Rng;

use super::Table;

/// How long the store may hold a call open until something changes, in milliseconds. With the
/// call's timeout it bounds how long a dead connection stays unnoticed: another VM must take over
/// reading within the 2.5 s that a leaving upstream may get requests.
const LONG_POLL_MS: u64 = 1_000;

/// As [`LONG_POLL_MS`], for the quarantine, whose writers tell the other VMs of its changes.
const QUARANTINE_LONG_POLL_MS: u64 = 10_000;

/// The pause after a response with changes, in milliseconds, so that changes in quick succession
/// cost one call.
const BATCH_DELAY_MS: u64 = 200;

/// The time from the start of a failed call to the next call, in milliseconds. It is short because
/// the bounds on leaving upstreams hold again some seconds after the store is back.
const RETRY_PERIOD_MS: u64 = 600;

/// As [`RETRY_PERIOD_MS`], for the quarantine.
const QUARANTINE_RETRY_PERIOD_MS: u64 = 5_000;

/// The minimum pause after a failed call, in milliseconds.
const MIN_RETRY_PAUSE_MS: u64 = 100;

/// How many times the retry period is doubled while a VM lacks the table.
const MAX_RETRY_DOUBLINGS: u32 = 2;

/// How often a VM without the table checks whether it should read the store, in milliseconds;
/// requests may be waiting.
const START_CHECK_INTERVAL_MS: u64 = 10;

/// How often a VM with the table checks whether it should read the store, in milliseconds.
const ROLE_CHECK_INTERVAL_MS: u64 = 100;

/// How often a VM checks whether it should read the quarantine, in milliseconds.
const QUARANTINE_ROLE_CHECK_INTERVAL_MS: u64 = 1_000;

/// A call of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// The whole table.
    ReadWhole,
    /// The changes since the replica's position.
    PollChanges {
        /// How long the store may wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

/// The reading of one table. The pauses that it returns pass before the next call.
#[derive(Debug)]
pub struct StoreFeed {
    table: Table,
    /// Whether the next call reads the whole table.
    reads_whole: bool,
    history_losses: u32,
    failures: u32,
}

impl StoreFeed {
    /// Creates the reading of a table, before the first call.
    pub fn new(table: Table) -> Self {
        Self { table, reads_whole: false, history_losses: 0, failures: 0 }
    }

    /// Returns how often a VM checks whether it should read the store, in milliseconds.
    pub fn role_check_interval_ms(&self, is_complete: bool) -> u64 {
        match self.table {
            _ if !is_complete => START_CHECK_INTERVAL_MS,
            Table::Quarantine => QUARANTINE_ROLE_CHECK_INTERVAL_MS,
            Table::Operators | Table::Upstreams => ROLE_CHECK_INTERVAL_MS,
        }
    }

    /// Returns the next call, given whether the replica is complete and whether calls succeed.
    pub fn next_call(&self, is_complete: bool, reaches_store: bool) -> StoreCall {
        if self.reads_whole || !is_complete {
            return StoreCall::ReadWhole;
        }
        // While the store is unreachable, a long poll would delay noticing that it is back.
        let wait_ms = match self.table {
            _ if !reaches_store => 0,
            Table::Quarantine => QUARANTINE_LONG_POLL_MS,
            Table::Operators | Table::Upstreams => LONG_POLL_MS,
        };
        StoreCall::PollChanges { wait_ms }
    }

    /// Records that a call succeeded, and returns the pause in milliseconds, given whether it brought
    /// changes and whether calls succeed.
    pub fn record_success(&mut self, has_changes: bool, reaches_store: bool) -> u64 {
        if !std::mem::take(&mut self.reads_whole) {
            self.history_losses = 0;
        }
        self.failures = 0;
        if has_changes {
            BATCH_DELAY_MS
        } else if reaches_store {
            0
        } else {
            // The poll didn't wait for changes, as calls for another table still fail.
            MIN_RETRY_PAUSE_MS
        }
    }

    /// Records that the store lacks the changes since the replica's position, and returns the pause in
    /// milliseconds.
    ///
    /// The first whole read is made at once. If there is no history after that either, the next ones
    /// wait, as after failures.
    pub fn record_history_loss(&mut self, is_complete: bool, rng: &mut Rng) -> u64 {
        let losses = self.history_losses;
        self.history_losses += 1;
        self.reads_whole = true;
        if losses == 0 { 0 } else { self.pause_ms(is_complete, losses, 0, rng) }
    }

    /// Records that a call failed after a time in milliseconds, and returns the pause in milliseconds.
    pub fn record_failure(&mut self, took_ms: u64, is_complete: bool, rng: &mut Rng) -> u64 {
        self.failures += 1;
        self.pause_ms(is_complete, self.failures, took_ms, rng)
    }

    /// Returns the pause after a failed call, in milliseconds.
    ///
    /// A VM without the table retries less and less often. It gets the table from peers, and many VMs
    /// that start together would otherwise be most of the store's load when it is back.
    fn pause_ms(&self, is_complete: bool, failures: u32, took_ms: u64, rng: &mut Rng) -> u64 {
        let doublings = if is_complete { 0 } else { (failures - 1).min(MAX_RETRY_DOUBLINGS) };
        let period_ms = match self.table {
            Table::Quarantine => QUARANTINE_RETRY_PERIOD_MS,
            Table::Operators | Table::Upstreams => RETRY_PERIOD_MS << doublings,
        };
        let jitter_ms = MIN_RETRY_PAUSE_MS << doublings;
        period_ms.saturating_sub(took_ms).max(MIN_RETRY_PAUSE_MS) + rng.u64(0..jitter_ms)
    }
}
