//! Follows the store's tables and applies their rows to the steering state.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sedgepath_adapter::rows::{self, OperatorRowKey, ParsedConfiguration, store_table_name};
use sedgepath_adapter::store::StoreError;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::replicas::{Table, TableUpdate, VersionedRow};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::upstreams::EntryChange;
use sedgepath_core::direct::vms::StoreHealth;

use super::shared::{SharedState, StoreCallState};
use super::{clock, gossip, quarantine, restored_store};

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

/// Merges rows of the store or of a peer into a replica, applies the changes to the steering state
/// and returns whether there were any.
pub fn apply_update(shared: &SharedState, table: Table, update: TableUpdate) -> bool {
    let (changes, begins_era) = {
        let mut replicas = shared.replicas.borrow_mut();
        let replica = replicas.get_mut(table);
        let earlier_era = replica.is_complete().then(|| replica.position().era());
        let changes = replica.merge(update);
        let begins_era = earlier_era.is_some_and(|era| era != replica.position().era());
        if begins_era && table == Table::Quarantine {
            // Claims and removals name the rows' versions, all of which have changed.
            (replica.changes_since(StoreVersion::default()).rows, begins_era)
        } else {
            (changes, begins_era)
        }
    };
    let applied_any = apply_changes(shared, table, &changes);
    if begins_era {
        restored_store::begin_era(shared, table);
    }
    applied_any || begins_era
}

/// Applies changes of a replica to the steering state and returns whether there are any.
pub fn apply_changes(shared: &SharedState, table: Table, changes: &[VersionedRow]) -> bool {
    match table {
        Table::Operators => apply_operator_rows(shared, changes),
        Table::Quarantine => quarantine::apply_rows(shared, changes),
        Table::Upstreams => {
            let now_ms = clock::now_ms();
            let mut steering = shared.steering.borrow_mut();
            for row in changes {
                apply_upstream_row(&mut steering, row, now_ms);
            }
        }
    }
    !changes.is_empty()
}

fn apply_operator_rows(shared: &SharedState, rows: &[VersionedRow]) {
    let now_ms = clock::now_ms();
    let mut steering = shared.steering.borrow_mut();
    let mut evacuated = steering.evacuated_domains().clone();
    for row in rows {
        match OperatorRowKey::parse(&row.key) {
            OperatorRowKey::Configuration => {
                let Some(value) = &row.value else { continue };
                match rows::parse_configuration(value) {
                    Ok(ParsedConfiguration { configuration, account_errors }) => {
                        let version = configuration.version;
                        for error in account_errors {
                            log::warn!("event=account_unreadable error={:?}", error.to_string());
                        }
                        let applied = steering.apply_configuration(Arc::new(configuration));
                        log::info!("event=configuration version={version} in_force={applied}");
                    }
                    Err(error) => {
                        log::error!("event=configuration_unreadable error={:?}", error.to_string());
                    }
                }
            }
            OperatorRowKey::Evacuation(domain) => {
                let evacuating = row.value.is_some();
                log::info!("event=evacuation domain={domain} emptied={evacuating}");
                if evacuating {
                    evacuated.insert(domain.into());
                } else {
                    evacuated.remove(domain);
                }
            }
            OperatorRowKey::Unknown => {}
        }
    }
    steering.set_evacuated_domains(evacuated, now_ms);
    steering.update_quotas(now_ms);
}

fn apply_upstream_row(steering: &mut Steering, row: &VersionedRow, now_ms: u64) {
    let Some(value) = &row.value else {
        log::info!("event=upstream_removed upstream={}", row.key);
        steering.upstreams_mut().remove(&row.key, now_ms);
        return;
    };
    match rows::parse_upstream(&row.key, value) {
        Ok(entry) => {
            let region = steering.region_of(&entry.domain);
            let change = steering.upstreams_mut().upsert(entry.clone(), &region, now_ms);
            if change != EntryChange::None {
                log::info!(
                    "event=upstream upstream={} service={} domain={} change={change:?} cold_ms={} \
                     sequence={} born={:?}",
                    entry.name,
                    entry.service,
                    entry.domain,
                    entry.cold_remaining_ms,
                    entry.sequence,
                    entry.started_at_ms,
                );
            }
        }
        Err(error) => {
            // An unreadable entry replaces any earlier entry of the upstream.
            log::warn!("event=entry_unreadable upstream={} error={:?}", row.key, error.to_string());
            steering.upstreams_mut().remove(&row.key, now_ms);
        }
    }
}
