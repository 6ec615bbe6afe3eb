//! Follows the store's tables, while this VM is one of the store's readers.

use std::rc::Rc;
use std::time::Duration;

use sedgepath_adapter::rows::store_table_name;
use sedgepath_adapter::store::StoreError;
use sedgepath_core::direct::replicas::{Table, TableUpdate};
use sedgepath_core::direct::vms::StoreHealth;

use super::replica_updates::apply_update;
use super::shared::{SharedState, StoreCallState};
use super::{clock, gossip};

/// How long the store may hold a call open until something changes, in milliseconds. With the
/// call's timeout it bounds how long a dead connection stays unnoticed: another VM must take over
/// reading within the 2.5 s that a leaving upstream may get requests.
const LONG_POLL_MS: u64 = 1_000;

/// As [`LONG_POLL_MS`], for the quarantine, whose writers tell the other VMs of its changes.
const QUARANTINE_LONG_POLL_MS: u64 = 10_000;

/// As [`RETRY_PERIOD_MS`], for the quarantine.
const QUARANTINE_RETRY_PERIOD_MS: u64 = 5_000;

/// The pause after a response with changes, in milliseconds, so that changes in quick succession
/// cost one call.
const BATCH_DELAY_MS: u64 = 200;

/// The time from the start of a failed call to the next call, in milliseconds. It is short because
/// the bounds on leaving upstreams hold again some seconds after the store is back.
const RETRY_PERIOD_MS: u64 = 600;

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

/// Follows a table, while this VM is one of the store's readers, until the process ends.
pub async fn follow_table(shared: Rc<SharedState>, table: Table) {
    let mut read_whole = false;
    let mut history_losses = 0;
    let mut failures = 0;
    let start = ReaderStart { at_ms: clock::now_ms(), random_draw: fastrand::f64() };
    loop {
        if !should_read(&shared, table, start) {
            if table == Table::Upstreams {
                shared.store_call_state.set(StoreCallState::Unknown);
            }
            let complete = shared.replicas.borrow().get(table).is_complete();
            let pause_ms = match table {
                _ if !complete => START_CHECK_INTERVAL_MS,
                Table::Quarantine => QUARANTINE_ROLE_CHECK_INTERVAL_MS,
                Table::Operators | Table::Upstreams => ROLE_CHECK_INTERVAL_MS,
            };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            continue;
        }
        let started_at_ms = clock::now_ms();
        match read_store(&shared, table, read_whole).await {
            Ok(update) => {
                if !std::mem::take(&mut read_whole) {
                    history_losses = 0;
                }
                failures = 0;
                record_store_success(&shared, table, started_at_ms);
                if apply_update(&shared, table, update) {
                    gossip::announce_changes(&shared).await;
                    tokio::time::sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
                } else if !shared.store_call_state.get().is_reachable() {
                    // The poll didn't wait for changes, as calls for another table still fail.
                    tokio::time::sleep(Duration::from_millis(MIN_RETRY_PAUSE_MS)).await;
                }
            }
            Err(error @ (StoreError::HistoryUnavailable | StoreError::Restored)) => {
                let (name, era) = (table.name(), shared.store.era());
                log::info!(
                    "event=store_history_lost table={name} era={era} error={:?}",
                    error.to_string()
                );
                // The first whole read is made at once. If there is no history after that either, the
                // next ones wait, as after failures.
                if history_losses > 0 {
                    let pause_ms = pause_after_failure_ms(&shared, table, history_losses, 0);
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
                history_losses += 1;
                read_whole = true;
            }
            Err(error) => {
                if record_store_failure(&shared, table, &error) {
                    gossip::announce_changes(&shared).await;
                }
                failures += 1;
                let took_ms = clock::now_ms().saturating_sub(started_at_ms);
                let pause_ms = pause_after_failure_ms(&shared, table, failures, took_ms);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

/// When following a table started, and a random number in `0..1` that spreads the first reads of
/// VMs.
#[derive(Debug, Clone, Copy)]
struct ReaderStart {
    at_ms: u64,
    random_draw: f64,
}

/// Returns whether this VM should read a table from the store now.
fn should_read(shared: &SharedState, table: Table, start: ReaderStart) -> bool {
    let now_ms = clock::now_ms();
    let mut steering = shared.steering.borrow_mut();
    if shared.replicas.borrow().get(table).is_complete() {
        return steering.vms_mut().should_read_store(now_ms);
    }
    let waited_ms = now_ms.saturating_sub(start.at_ms);
    shared.discovery_attempted.get()
        && steering.vms().should_read_store_at_start(waited_ms, start.random_draw, now_ms)
}

/// Returns the pause after a failed call, in milliseconds.
///
/// A VM without the table retries less and less often. It gets the table from peers, and many VMs
/// that start together would otherwise be most of the store's load when it is back.
fn pause_after_failure_ms(shared: &SharedState, table: Table, failures: u32, took_ms: u64) -> u64 {
    let complete = shared.replicas.borrow().get(table).is_complete();
    let doublings = if complete { 0 } else { (failures - 1).min(MAX_RETRY_DOUBLINGS) };
    let period_ms = match table {
        Table::Quarantine => QUARANTINE_RETRY_PERIOD_MS,
        Table::Operators | Table::Upstreams => RETRY_PERIOD_MS << doublings,
    };
    let jitter_ms = MIN_RETRY_PAUSE_MS << doublings;
    period_ms.saturating_sub(took_ms).max(MIN_RETRY_PAUSE_MS) + fastrand::u64(0..jitter_ms)
}

async fn read_store(
    shared: &SharedState,
    table: Table,
    read_whole: bool,
) -> Result<TableUpdate, StoreError> {
    let name = store_table_name(table);
    let (complete, position) = {
        let replicas = shared.replicas.borrow();
        let replica = replicas.get(table);
        (replica.is_complete(), replica.position())
    };
    if read_whole || !complete {
        return shared.store.read_table(name).await;
    }
    // While the store is unreachable, a long poll would delay noticing that it is back.
    let wait_ms = match table {
        _ if !shared.store_call_state.get().is_reachable() => 0,
        Table::Quarantine => QUARANTINE_LONG_POLL_MS,
        Table::Operators | Table::Upstreams => LONG_POLL_MS,
    };
    shared.store.poll_changes(name, position, wait_ms).await
}

fn record_store_success(shared: &SharedState, table: Table, since_ms: u64) {
    if table != Table::Upstreams {
        return;
    }
    if !shared.store_call_state.get().is_reachable() {
        log::info!("event=store_back");
        shared.store_call_state.set(StoreCallState::Succeeding { since_ms });
    }
    let now_ms = clock::now_ms();
    shared
        .steering
        .borrow_mut()
        .update_store_health(shared.store_call_state.get().health(now_ms), now_ms);
}

/// Records a failed call and returns whether the store was reachable before.
fn record_store_failure(shared: &SharedState, table: Table, error: &StoreError) -> bool {
    if table != Table::Upstreams {
        return false;
    }
    let was_reachable = shared.store_call_state.replace(StoreCallState::Failing).is_reachable();
    if was_reachable {
        log::warn!("event=store_away error={:?}", error.to_string());
    }
    shared.steering.borrow_mut().update_store_health(StoreHealth::Failing, clock::now_ms());
    was_reachable
}
