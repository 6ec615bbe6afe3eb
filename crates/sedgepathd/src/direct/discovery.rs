//! Discovery of other VMs at a start, by rows of the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sedgepath_adapter::store::StoreError;
use sedgepath_core::direct::replicas::TableUpdate;
use sedgepath_wire::peer_keys::{PEER_KEY_ROW, VM_TABLE};
use serde::{Deserialize, Serialize};

use super::shared::SharedState;
use super::{clock, fetch, gossip, peer_authentication};

/// The first backoff after the store could not be read, in milliseconds; it doubles after each
/// failure.
const INITIAL_DISCOVERY_BACKOFF_MS: u64 = 500;

/// The longest backoff, in milliseconds.
const MAX_DISCOVERY_BACKOFF_MS: u64 = 4_000;

/// The value of a VM's row in the store.
#[derive(Debug, Serialize, Deserialize)]
struct VmRow {
    address: SocketAddr,
    domain: Box<str>,
    region: Box<str>,
}

/// Publishes this VM's row and reads those of the others, with retries until the store responds;
/// then contacts the others and fetches the tables from VMs of the same failure domain.
pub async fn discover_vms(shared: Rc<SharedState>) {
    let mut backoff_ms = INITIAL_DISCOVERY_BACKOFF_MS;
    loop {
        let result = publish_and_read_rows(&shared).await;
        if let Ok(update) = &result {
            peer_authentication::apply_keys(&shared, update);
            add_discovered_vms(&shared, update);
        }
        shared.discovery_attempted.set(true);
        let Err(error) = result else { break };
        log::info!("event=vms_not_found error={:?}", error.to_string());
        backoff_ms = pause(backoff_ms).await;
    }
    gossip::send_periodic_messages(&shared).await;
    fetch::fetch_initial_tables(&shared).await;
}

/// Writes this VM's row again, with retries until the store responds.
pub async fn publish_row_with_retries(shared: &SharedState) {
    let mut backoff_ms = INITIAL_DISCOVERY_BACKOFF_MS;
    while let Err(error) = publish_row(shared).await {
        log::info!("event=own_row_not_written error={:?}", error.to_string());
        backoff_ms = pause(backoff_ms).await;
    }
}

/// Pauses after a failure and returns the backoff of the next one.
async fn pause(backoff_ms: u64) -> u64 {
    let jitter_ms = fastrand::u64(0..backoff_ms);
    tokio::time::sleep(Duration::from_millis(backoff_ms + jitter_ms)).await;
    (backoff_ms * 2).min(MAX_DISCOVERY_BACKOFF_MS)
}

/// Writes this VM's row and then reads all rows: of two VMs that start together, at least one finds
/// the other.
async fn publish_and_read_rows(shared: &SharedState) -> Result<TableUpdate, StoreError> {
    publish_row(shared).await?;
    shared.store.read_table(VM_TABLE).await
}

async fn publish_row(shared: &SharedState) -> Result<(), StoreError> {
    let own_row = VmRow {
        address: SocketAddr::new(shared.settings.ip, shared.settings.peer_ports.0),
        domain: shared.settings.domain.clone(),
        region: shared.settings.region.clone(),
    };
    shared.store.put(VM_TABLE, &shared.settings.vm_name, &serde_json::to_vec(&own_row)?).await
}

fn add_discovered_vms(shared: &SharedState, update: &TableUpdate) {
    let now_ms = clock::now_ms();
    let mut steering = shared.steering.borrow_mut();
    let vms = steering.vms_mut();
    for row in update.rows.iter().filter(|row| &*row.key != PEER_KEY_ROW) {
        let Some(value) = &row.value else { continue };
        match serde_json::from_slice::<VmRow>(value) {
            Ok(VmRow { address, domain, region }) => vms.add_vm(address, &domain, &region, now_ms),
            Err(error) => {
                log::warn!("event=vm_row_unreadable vm={} error={:?}", row.key, error.to_string());
            }
        }
    }
}
