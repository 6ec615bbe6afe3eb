//! Follows the store's tables, while this VM is one of the store's readers.

use std::rc::Rc;
use std::time::Duration;

use sedgepath_adapter::rows::store_table_name;
use sedgepath_adapter::store::StoreError;
use sedgepath_core::direct::replicas::{StoreCall, StoreFeed, Table, TableUpdate};
use sedgepath_core::direct::vms::StoreHealth;

use super::replica_updates::apply_update;
use super::shared::{SharedState, StoreCallState};
use super::{clock, gossip, replica_updates};

/// Follows a table, while this VM is one of the store's readers, until the process ends.
pub async fn follow_table(shared: Rc<SharedState>, table: Table) {
    let mut feed = StoreFeed::new(table);
    let mut rng = fastrand::Rng::new();
    loop {
        let is_complete = shared.replicas.borrow().get(table).is_complete();
        if !should_read(&shared, table) {
            if table == Table::Upstreams {
                shared.store_call_state.set(StoreCallState::Unknown);
            }
            pause(feed.role_check_interval_ms(is_complete)).await;
            continue;
        }
        let started_at_ms = clock::now_ms();
        if !is_complete {
            announce_first_read(&shared, table, started_at_ms).await;
        }
        let call = feed.next_call(is_complete, shared.store_call_state.get().is_reachable());
        let result = call_store(&shared, table, call).await;
        let is_complete = shared.replicas.borrow().get(table).is_complete();
        match result {
            Ok(update) => {
                record_store_success(&shared, table, started_at_ms);
                let has_changes = apply_update(&shared, table, update);
                if has_changes {
                    gossip::announce_changes(&shared).await;
                }
                let reaches_store = shared.store_call_state.get().is_reachable();
                pause(feed.record_success(has_changes, reaches_store)).await;
            }
            Err(error @ (StoreError::HistoryUnavailable | StoreError::Restored)) => {
                let (name, era) = (table.name(), shared.store.era());
                log::info!(
                    "event=store_history_lost table={name} era={era} error={:?}",
                    error.to_string()
                );
                pause(feed.record_history_loss(is_complete, &mut rng)).await;
            }
            Err(error) => {
                if record_store_failure(&shared, table, &error) {
                    gossip::announce_changes(&shared).await;
                }
                let took_ms = clock::now_ms().saturating_sub(started_at_ms);
                pause(feed.record_failure(took_ms, is_complete, &mut rng)).await;
            }
        }
    }
}

async fn pause(pause_ms: u64) {
    if pause_ms > 0 {
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Returns whether this VM should read a table from the store now.
fn should_read(shared: &SharedState, table: Table) -> bool {
    let now_ms = clock::now_ms();
    let mut steering = shared.steering.borrow_mut();
    if shared.replicas.borrow().get(table).is_complete() {
        return steering.vms_mut().should_read_store(now_ms);
    }
    // A VM that doesn't know its failure domain would take itself for the first one.
    *shared.domain_discovered.borrow() && {
        let domain = steering.vms().domain_at_start(now_ms);
        shared.bootstrap.borrow_mut().reads_store(&domain, now_ms)
    }
}

/// Tells the other VMs of the failure domain that this one reads the upstreams for them.
async fn announce_first_read(shared: &SharedState, table: Table, now_ms: u64) {
    let is_first = matches!(shared.store_call_state.get(), StoreCallState::Unknown);
    if table == Table::Upstreams && is_first {
        // The calls of the discovery succeeded.
        shared.store_call_state.set(StoreCallState::Succeeding { since_ms: now_ms });
        gossip::send_heartbeat(shared).await;
    }
}

/// Reads a whole table from the store.
///
/// # Errors
///
/// Fails if a call fails, or the store is restored meanwhile.
pub async fn read_table(shared: &SharedState, table: Table) -> Result<TableUpdate, StoreError> {
    let update = shared.store.read_table(store_table_name(table)).await?.with_unlisted_removals();
    replica_updates::log_snapshot(table, "store", &update);
    Ok(update)
}

async fn call_store(
    shared: &SharedState,
    table: Table,
    call: StoreCall,
) -> Result<TableUpdate, StoreError> {
    match call {
        StoreCall::ReadWhole => read_table(shared, table).await,
        StoreCall::PollChanges { wait_ms } => {
            let position = shared.replicas.borrow().get(table).position();
            shared.store.poll_changes(store_table_name(table), position, wait_ms).await
        }
    }
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
