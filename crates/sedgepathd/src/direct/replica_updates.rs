//! Merges rows of the store or of other VMs into this VM's replicas, and applies what changed to the
//! steering state.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use sedgepath_adapter::rows::{self, OperatorRowKey, ParsedConfiguration};
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::crashes::quarantine::QuarantineRow;
use sedgepath_core::direct::replicas::{
    LostWrite, OpenDifference, Table, TableUpdate, VersionedRow,
};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::upstreams::{EntryChange, Upstream};
use sedgepath_core::hash::Digest;

use super::clock;
use super::shared::SharedState;

/// Merges rows of the store or of a peer into a replica, applies the changes to the steering state
/// and returns whether there were any.
pub fn apply_update(shared: &SharedState, table: Table, update: TableUpdate) -> bool {
    let (changes, begins_era) = {
        let mut replicas = shared.replicas.borrow_mut();
        let replica = replicas.get_mut(table);
        let earlier_era = replica.is_complete().then(|| replica.position().era());
        let changes = replica.merge(update);
        for key in replica.take_late_writes() {
            log::info!("event=late_write_ignored table={} key={key}", table.name());
        }
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
        begin_era(shared, table);
    }
    applied_any || begins_era
}

/// Logs a snapshot of a table, and the versions that tell which removals it may hide.
pub fn log_snapshot(table: Table, source: impl Display, update: &TableUpdate) {
    let newest_row = update.rows.iter().map(|row| row.version).max().unwrap_or_default();
    log::info!(
        "event=table_read table={} from={source} rows={} newest_row={} newest={} position={}",
        table.name(),
        update.rows.len(),
        newest_row.to_u64(),
        update.newest_version.to_u64(),
        update.position.to_u64(),
    );
}

/// Applies changes of a replica to the steering state and returns whether there are any.
pub fn apply_changes(shared: &SharedState, table: Table, changes: &[VersionedRow]) -> bool {
    match table {
        Table::Operators => apply_operator_rows(shared, changes),
        Table::Quarantine => apply_quarantine_rows(shared, changes),
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

/// What was known of an upstream before a change of its entry, for logs.
#[derive(Debug)]
struct KnownEntry {
    sequence: u64,
    started_at_ms: Option<u64>,
    is_leaving: bool,
}

impl KnownEntry {
    fn of(upstream: &Upstream) -> Self {
        Self {
            sequence: upstream.entry.sequence,
            started_at_ms: upstream.entry.started_at_ms,
            is_leaving: upstream.is_leaving(),
        }
    }
}

impl Display for KnownEntry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { sequence, started_at_ms, is_leaving } = self;
        write!(
            f,
            "known_sequence={sequence} known_born={started_at_ms:?} known_leaving={is_leaving}"
        )
    }
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
            let known = steering.upstreams().by_name(&entry.name).map(KnownEntry::of);
            let change = steering.upstreams_mut().upsert(entry.clone(), &region, now_ms);
            if change != EntryChange::None {
                log::info!(
                    "event=upstream upstream={} service={} domain={} change={change:?} cold_ms={} \
                     sequence={} born={:?} {}",
                    entry.name,
                    entry.service,
                    entry.domain,
                    entry.cold_remaining_ms,
                    entry.sequence,
                    entry.started_at_ms,
                    known.map_or_else(|| "known=none".into(), |known| known.to_string()),
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

fn apply_quarantine_rows(shared: &SharedState, rows: &[VersionedRow]) {
    let clocks = clock::clocks();
    let mut steering = shared.steering.borrow_mut();
    for row in rows {
        let Some(fingerprint) = Digest::from_hex(&row.key) else {
            log::warn!("event=quarantine_unreadable key={:?}", row.key);
            continue;
        };
        let value = match &row.value {
            None => None,
            Some(value) => match serde_json::from_slice::<QuarantineRow>(value) {
                Ok(value) => Some(value),
                Err(error) => {
                    let error = error.to_string();
                    log::warn!("event=quarantine_unreadable key={} error={error:?}", row.key);
                    None
                }
            },
        };
        log::info!(
            "event=quarantine fingerprint={} in_force={} probes={}",
            row.key,
            value.is_some(),
            value.map_or(0, |value| value.probes),
        );
        steering.crashes_mut().apply_quarantine_row(fingerprint, row.version, value, clocks);
    }
}

/// Records that a replica has begun an era of the store.
fn begin_era(shared: &SharedState, table: Table) {
    let now_ms = clock::now_ms();
    let (lost_writes, era) = {
        let mut replicas = shared.replicas.borrow_mut();
        let replica = replicas.get_mut(table);
        (replica.take_lost_writes(), replica.position().era())
    };
    log::warn!(
        "event=store_restored table={} era={era} lost_writes={}",
        table.name(),
        lost_writes.len(),
    );
    for difference in OpenDifference::ALL {
        let settles_at_ms = now_ms + table.restore_grace_ms(difference);
        shared.settles_at_ms.borrow_mut().insert((table, difference), settles_at_ms);
    }
    shared.store_restored.notify_waiters();
    if table == Table::Quarantine {
        repeat_quarantine_writes(shared, &lost_writes, now_ms);
    }
}

fn repeat_quarantine_writes(shared: &SharedState, lost_writes: &[LostWrite], now_ms: u64) {
    let mut steering = shared.steering.borrow_mut();
    for lost in lost_writes {
        let Some(fingerprint) = Digest::from_hex(&lost.key) else { continue };
        let row = match &lost.value {
            None => None,
            Some(value) => match serde_json::from_slice::<QuarantineRow>(value) {
                Ok(row) => Some(row),
                Err(_unreadable) => continue,
            },
        };
        let crashes = steering.crashes_mut();
        crashes.repeat_quarantine_write(fingerprint, row, lost.restored_version, now_ms);
    }
}
