//! What a VM does when the store was restored from an older copy.

use std::rc::Rc;
use std::time::Duration;

use sedgepath_core::direct::crashes::quarantine::QuarantineRow;
use sedgepath_core::direct::replicas::{LostWrite, Table};
use sedgepath_core::hash::Digest;

use super::shared::SharedState;
use super::{clock, discovery, gossip, store_feed};

/// The time over which VMs write their own rows again, in milliseconds: those of a large fleet together
/// keep to a part of the store's rate.
const OWN_ROW_SPREAD_MS: u64 = 10_000;

/// Records that a replica has begun an era of the store.
pub fn begin_era(shared: &SharedState, table: Table) {
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
    let settles_at_ms = now_ms + table.restore_grace_ms();
    shared.settles_at_ms.borrow_mut().insert(table, settles_at_ms);
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

/// Takes over the store's word on what replicas left open, once operators and upstreams have had the
/// time to write again, until the process ends.
pub async fn settle_replicas(shared: Rc<SharedState>) {
    loop {
        let next =
            shared.settles_at_ms.borrow().iter().map(|(table, at_ms)| (*at_ms, *table)).min();
        let Some((at_ms, table)) = next else {
            shared.store_restored.notified().await;
            continue;
        };
        if clock::now_ms() < at_ms {
            // Another table may settle sooner.
            let restored = shared.store_restored.notified();
            drop(tokio::time::timeout_at(clock::instant_at(at_ms), restored).await);
            continue;
        }
        shared.settles_at_ms.borrow_mut().remove(&table);
        let changes = shared.replicas.borrow_mut().get_mut(table).settle();
        log::info!("event=restore_settled table={} changes={}", table.name(), changes.len());
        if store_feed::apply_changes(&shared, table, &changes) {
            gossip::announce_changes(&shared).await;
        }
    }
}

/// Writes this VM's row again after each restore, until the process ends: VMs that start later find
/// others by these rows.
pub async fn keep_own_row(shared: Rc<SharedState>) {
    loop {
        shared.store_restored.notified().await;
        // The tables begin the era one after the other; one write does for all.
        let delay_ms = fastrand::u64(OWN_ROW_SPREAD_MS / 10..OWN_ROW_SPREAD_MS);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        discovery::publish_row_with_retries(&shared).await;
    }
}
