//! What a VM does when the store was restored from an older copy.

use std::rc::Rc;
use std::time::Duration;

use super::shared::SharedState;
use super::{clock, discovery, gossip, replica_updates};

/// The time over which VMs write their own rows again, in milliseconds: those of a large fleet together
/// keep to a part of the store's rate.
const OWN_ROW_SPREAD_MS: u64 = 10_000;

/// Takes over the store's word on what replicas left open, once operators and upstreams have had the
/// time to write again, until the process ends.
pub async fn settle_replicas(shared: Rc<SharedState>) {
    loop {
        let next = shared.settles_at_ms.borrow().iter().map(|(open, at_ms)| (*at_ms, *open)).min();
        let Some((at_ms, (table, difference))) = next else {
            shared.store_restored.notified().await;
            continue;
        };
        if clock::now_ms() < at_ms {
            // Another table may settle sooner.
            let restored = shared.store_restored.notified();
            drop(tokio::time::timeout_at(clock::instant_at(at_ms), restored).await);
            continue;
        }
        shared.settles_at_ms.borrow_mut().remove(&(table, difference));
        let changes = shared.replicas.borrow_mut().get_mut(table).settle(difference);
        let (name, kind) = (table.name(), difference.name());
        log::info!(
            "event=restore_settled table={name} difference={kind} changes={}",
            changes.len()
        );
        if replica_updates::apply_changes(&shared, table, &changes) {
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
