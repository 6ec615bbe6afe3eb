//! Follows the store's tables and hands their rows to the decisions.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sedgepath_adapter::rows::{self, OperatorRowKey, store_table_name};
use sedgepath_adapter::store::StoreError;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::replicas::{Table, TableUpdate, VersionedRow};
use sedgepath_core::direct::upstreams::EntryChange;
use sedgepath_core::direct::vms::StoreHealth;

use super::shell::{Shell, StoreCalls};
use super::{clock, peers};

/// How long the store may hold back a call until something changes, in milliseconds. A connection
/// may go silent for good; this and the call's own time-out bound how long that stays unnoticed, and
/// another VM must have stepped in within the 2.5 s that a leaving upstream may get requests.
const WAIT_MS: u64 = 1_000;

/// The pause between two answers of a feed, in milliseconds: changes that come in quick succession
/// cost one call instead of one each.
const BATCH_MS: u64 = 200;

/// The time from one failed call to the next, in milliseconds, the call's own time included. Short,
/// since the bounds on leaving upstreams hold again some seconds after the store is back.
const RETRY_MS: u64 = 600;

/// The least pause after a failed call, in milliseconds.
const MIN_PAUSE_MS: u64 = 100;

/// How many times the period of failed calls is doubled while a VM doesn't have the table.
const MAX_START_DOUBLINGS: u32 = 2;

/// How often a VM without the table looks whether it should read it, in milliseconds: callers may wait.
const START_CHECK_MS: u64 = 10;

/// How often a VM that doesn't follow the store looks whether it should, in milliseconds.
const ROLE_CHECK_MS: u64 = 100;

/// Follows a table while this VM is one of those that do, until the process ends.
pub async fn follow(shell: Rc<Shell>, table: Table) {
    let mut lost = false;
    let mut failures = 0;
    let started = Started { at_ms: clock::now_ms(), draw: fastrand::f64() };
    loop {
        if !reads(&shell, table, started) {
            if table == Table::Upstreams {
                shell.store_calls.set(StoreCalls::Unasked);
            }
            let known = shell.copies.borrow().get(table).is_complete();
            let pause_ms = if known { ROLE_CHECK_MS } else { START_CHECK_MS };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            continue;
        }
        let begun_at_ms = clock::now_ms();
        match read(&shell, table, lost).await {
            Ok(page) => {
                lost = false;
                failures = 0;
                note_contact(&shell, table, begun_at_ms);
                if take_in(&shell, table, page) {
                    peers::announce(&shell).await;
                    tokio::time::sleep(Duration::from_millis(BATCH_MS)).await;
                }
            }
            Err(StoreError::HistoryUnavailable) => {
                log::info!("event=store_history_lost table={}", table.name());
                lost = true;
            }
            Err(error) => {
                if note_loss(&shell, table, &error) {
                    peers::announce(&shell).await;
                }
                failures += 1;
                let took_ms = clock::now_ms().saturating_sub(begun_at_ms);
                let pause_ms = pause_after_failure_ms(&shell, table, failures, took_ms);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

/// The start of the process, and what of it is left to chance.
#[derive(Debug, Clone, Copy)]
struct Started {
    at_ms: u64,
    draw: f64,
}

/// Whether this VM reads a table from the store now.
fn reads(shell: &Shell, table: Table, started: Started) -> bool {
    let now_ms = clock::now_ms();
    let mut steering = shell.steering.borrow_mut();
    if shell.copies.borrow().get(table).is_complete() {
        return steering.vms_mut().should_read_store(now_ms);
    }
    let waited_ms = now_ms.saturating_sub(started.at_ms);
    shell.looked_for_vms.get()
        && steering.vms().should_read_store_at_start(waited_ms, started.draw, now_ms)
}

/// Returns the pause after a failed call, in milliseconds.
///
/// A VM without the table asks ever more rarely: one that starts while the store is away gets the table
/// from others, and many that start together would be most of the store's load when it comes back.
fn pause_after_failure_ms(shell: &Shell, table: Table, failures: u32, took_ms: u64) -> u64 {
    let known = shell.copies.borrow().get(table).is_complete();
    let doublings = if known { 0 } else { (failures - 1).min(MAX_START_DOUBLINGS) };
    let period_ms = RETRY_MS << doublings;
    let jitter_ms = MIN_PAUSE_MS << doublings;
    period_ms.saturating_sub(took_ms).max(MIN_PAUSE_MS) + fastrand::u64(0..jitter_ms)
}

async fn read(shell: &Shell, table: Table, lost: bool) -> Result<TableUpdate, StoreError> {
    let name = store_table_name(table);
    let (known, position) = {
        let copies = shell.copies.borrow();
        let copy = copies.get(table);
        (copy.is_complete(), copy.position())
    };
    if lost || !known {
        return shell.store.read_table(name).await;
    }
    // While the store is away a call that waits would hide for longer that it is back.
    let wait_ms = if shell.store_calls.get().answers() { WAIT_MS } else { 0 };
    shell.store.poll_changes(name, position, wait_ms).await
}

fn note_contact(shell: &Shell, table: Table, since_ms: u64) {
    if table != Table::Upstreams {
        return;
    }
    if !shell.store_calls.get().answers() {
        log::info!("event=store_back");
        shell.store_calls.set(StoreCalls::Since { at_ms: since_ms });
    }
    let now_ms = clock::now_ms();
    shell.steering.borrow_mut().update_store_health(shell.store_calls.get().view(now_ms), now_ms);
}

/// Notes that the store gave no answer, and returns whether it had given one before.
fn note_loss(shell: &Shell, table: Table, error: &StoreError) -> bool {
    if table != Table::Upstreams {
        return false;
    }
    let lost = shell.store_calls.replace(StoreCalls::Lost).answers();
    if lost {
        log::warn!("event=store_away error={:?}", error.to_string());
    }
    shell.steering.borrow_mut().update_store_health(StoreHealth::Failing, clock::now_ms());
    lost
}

/// Takes in rows of the store or of another VM, and returns whether any was new.
pub fn take_in(shell: &Shell, table: Table, page: TableUpdate) -> bool {
    let changes = shell.copies.borrow_mut().get_mut(table).merge(page);
    match table {
        Table::Operators => take_in_operators(shell, &changes),
        Table::Upstreams => {
            let now_ms = clock::now_ms();
            let mut steering = shell.steering.borrow_mut();
            for row in &changes {
                take_in_upstream(&mut steering, row, now_ms);
            }
        }
    }
    !changes.is_empty()
}

fn take_in_operators(shell: &Shell, rows: &[VersionedRow]) {
    let now_ms = clock::now_ms();
    let mut steering = shell.steering.borrow_mut();
    let mut evacuated = steering.evacuated_domains().clone();
    for row in rows {
        match OperatorRowKey::parse(&row.key) {
            OperatorRowKey::Configuration => {
                let Some(value) = &row.value else { continue };
                match rows::parse_configuration(value) {
                    Ok(configuration) => {
                        let version = configuration.version;
                        let taken = steering.apply_configuration(Arc::new(configuration));
                        log::info!("event=configuration version={version} in_force={taken}");
                    }
                    Err(error) => {
                        log::error!("event=configuration_unreadable error={:?}", error.to_string());
                    }
                }
            }
            OperatorRowKey::Evacuation(domain) => {
                let emptied = row.value.is_some();
                log::info!("event=evacuation domain={domain} emptied={emptied}");
                if emptied {
                    evacuated.insert(domain.into());
                } else {
                    evacuated.remove(domain);
                }
            }
            OperatorRowKey::Unknown => {}
        }
    }
    steering.set_evacuated_domains(evacuated, now_ms);
}

fn take_in_upstream(steering: &mut Steering, row: &VersionedRow, now_ms: u64) {
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
            // It names no upstream to use: should it have named one before, that one is gone.
            log::warn!("event=entry_unreadable upstream={} error={:?}", row.key, error.to_string());
            steering.upstreams_mut().remove(&row.key, now_ms);
        }
    }
}
