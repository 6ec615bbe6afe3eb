//! Follows the store's rows and hands them to the decisions.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sedgepath_adapter::entries::{self, OPERATOR_TABLE, OperatorKey, UPSTREAM_TABLE};
use sedgepath_adapter::store::{Row, Rows, Store, StoreError};
use sedgepath_core::direct::upstreams::EntryChange;
use sedgepath_core::hash::Set;

use super::clock;
use super::shell::Shell;

/// How long the store may hold back a call until something changes, in milliseconds. A connection
/// may go silent for good; this and the call's own time-out bound how long that stays unnoticed.
const WAIT_MS: u64 = 1_200;

/// The pause between two answers of a feed, in milliseconds: changes that come in quick succession
/// cost one call instead of one each.
const BATCH_MS: u64 = 250;

/// The first pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 150;

/// The longest pause after failed calls, in milliseconds.
const MAX_RETRY_MS: u64 = 800;

/// Follows a table until the process ends.
pub async fn follow(shell: Rc<Shell>, store: Rc<Store>, table: &'static str) {
    let mut after = None;
    let mut retry_ms = RETRY_MS;
    let mut away = true;
    loop {
        let read = match after {
            None => store.rows(table).await,
            Some(version) => store.changes(table, version, WAIT_MS).await,
        };
        match read {
            Ok(rows) => {
                if away {
                    away = false;
                    log::info!("event=store_back table={table} version={}", rows.version);
                    if table == UPSTREAM_TABLE {
                        set_away(&shell, false);
                    }
                }
                retry_ms = RETRY_MS;
                let changed = !rows.rows.is_empty();
                let whole = after.is_none();
                after = Some(rows.version.max(after.unwrap_or(0)));
                take_in(&shell, table, &rows, whole);
                if changed {
                    tokio::time::sleep(Duration::from_millis(BATCH_MS)).await;
                }
            }
            Err(StoreError::Forgotten) => {
                log::info!("event=store_history_lost table={table}");
                after = None;
            }
            Err(error) => {
                if !away {
                    away = true;
                    log::warn!("event=store_away table={table} error={:?}", error.to_string());
                    if table == UPSTREAM_TABLE {
                        set_away(&shell, true);
                    }
                }
                let jitter_ms = fastrand::u64(0..retry_ms);
                tokio::time::sleep(Duration::from_millis(retry_ms / 2 + jitter_ms)).await;
                retry_ms = (retry_ms * 2).min(MAX_RETRY_MS);
            }
        }
    }
}

fn set_away(shell: &Shell, away: bool) {
    shell.steering.borrow_mut().upstreams_mut().set_store_away(away, clock::now_ms());
}

fn take_in(shell: &Shell, table: &str, rows: &Rows, whole: bool) {
    if table == OPERATOR_TABLE {
        take_in_operators(shell, rows, whole);
    } else {
        take_in_upstreams(shell, rows, whole);
    }
}

fn take_in_operators(shell: &Shell, rows: &Rows, whole: bool) {
    let now_ms = clock::now_ms();
    let mut steering = shell.steering.borrow_mut();
    let mut evacuated = if whole { Set::default() } else { steering.evacuated().clone() };
    for row in &rows.rows {
        match OperatorKey::read(&row.key) {
            OperatorKey::Configuration => {
                let Some(value) = &row.value else { continue };
                match entries::configuration(value) {
                    Ok(configuration) => {
                        let version = configuration.version;
                        let taken = steering.configure(Arc::new(configuration));
                        log::info!("event=configuration version={version} in_force={taken}");
                    }
                    Err(error) => {
                        log::error!("event=configuration_unreadable error={:?}", error.to_string());
                    }
                }
            }
            OperatorKey::Evacuation(domain) => {
                let emptied = row.value.is_some();
                log::info!("event=evacuation domain={domain} emptied={emptied}");
                if emptied {
                    evacuated.insert(domain.into());
                } else {
                    evacuated.remove(domain);
                }
            }
            OperatorKey::Other => {}
        }
    }
    steering.evacuate(evacuated, now_ms);
}

fn take_in_upstreams(shell: &Shell, rows: &Rows, whole: bool) {
    let now_ms = clock::now_ms();
    let mut steering = shell.steering.borrow_mut();
    for row in &rows.rows {
        take_in_upstream(&mut steering, row, now_ms);
    }
    if whole {
        let names = rows.rows.iter().map(|row| row.key.clone()).collect();
        steering.upstreams_mut().retain(&names, now_ms);
    }
}

fn take_in_upstream(steering: &mut sedgepath_core::direct::Steering, row: &Row, now_ms: u64) {
    let Some(value) = &row.value else {
        log::info!("event=upstream_removed upstream={}", row.key);
        steering.upstreams_mut().remove(&row.key, now_ms);
        return;
    };
    match entries::upstream(&row.key, value) {
        Ok(entry) => {
            let region = steering.region_of(&entry.domain);
            let change = steering.upstreams_mut().put(entry.clone(), &region, now_ms);
            if change != EntryChange::None {
                log::info!(
                    "event=upstream upstream={} service={} domain={} change={change:?} cold_ms={} \
                     sequence={} born={:?}",
                    entry.name,
                    entry.service,
                    entry.domain,
                    entry.cold_for_ms,
                    entry.sequence,
                    entry.born_at_ms,
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
