//! Discovery of other VMs at a start, by rows of the store.
//!
//! A VM's row is in a partition of its failure domain. A start reads that partition only; the other failure
//! domains are found through [`contacts`](super::contacts).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sedgepath_adapter::store::{StoreError, TablePartition};
use sedgepath_core::direct::replicas::TableUpdate;
use sedgepath_wire::peer_keys::VM_TABLE;
use serde::{Deserialize, Serialize};

use super::shared::SharedState;
use super::{clock, gossip, peer_authentication};

/// The first backoff after the store could not be read, in milliseconds; it doubles after each
/// failure.
const INITIAL_DISCOVERY_BACKOFF_MS: u64 = 500;

/// The longest backoff, in milliseconds.
const MAX_DISCOVERY_BACKOFF_MS: u64 = 4_000;

/// The status codes with which the store rejects writes that it has no room for.
const TOO_MANY_REQUESTS: u16 = 429;
const INSUFFICIENT_STORAGE: u16 = 507;

/// The value of a VM's row in the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct VmRow {
    /// The address for other VMs' messages.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: Box<str>,
    /// The region of the failure domain.
    pub region: Box<str>,
}

impl VmRow {
    /// Returns the row of this VM.
    fn of(shared: &SharedState) -> Self {
        Self {
            address: SocketAddr::new(shared.settings.ip, shared.settings.peer_ports.0),
            domain: shared.settings.domain.clone(),
            region: shared.settings.region.clone(),
        }
    }
}

/// Publishes this VM's row and reads those of its failure domain, with retries until the store responds;
/// then introduces this VM to the others.
pub async fn discover_vms(shared: Rc<SharedState>) {
    let mut backoff_ms = INITIAL_DISCOVERY_BACKOFF_MS;
    loop {
        let result = publish_and_read_rows(&shared).await;
        let Err(error) = result else { break };
        log::info!("event=vms_not_found error={:?}", error.to_string());
        backoff_ms = pause(backoff_ms).await;
    }
    let now_ms = clock::now_ms();
    shared.bootstrap.borrow_mut().record_discovery(now_ms);
    shared.steering.borrow_mut().vms_mut().record_discovery(now_ms);
    shared.domain_discovered.send_replace(true);
    gossip::send_periodic_messages(&shared).await;
}

/// Writes this VM's row again, with retries until the store responds.
pub async fn publish_row_with_retries(shared: &SharedState) {
    let mut backoff_ms = INITIAL_DISCOVERY_BACKOFF_MS;
    while let Err(error) = publish_row(shared, domain_partition(shared)).await {
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

/// Writes this VM's row and then reads all rows of its failure domain: of two VMs that start together, at
/// least one finds the other.
///
/// A store that accepts no more writes at the moment doesn't keep the VM from reading.
async fn publish_and_read_rows(shared: &Rc<SharedState>) -> Result<(), StoreError> {
    let partition = domain_partition(shared);
    let published = publish_row(shared, partition).await;
    let has_room =
        !matches!(published, Err(StoreError::Rejected(TOO_MANY_REQUESTS | INSUFFICIENT_STORAGE)));
    if has_room {
        published?;
    }
    let update = shared.store.read_table(partition).await?;
    peer_authentication::read_keys(shared).await?;
    if !has_room {
        let shared = Rc::clone(shared);
        tokio::task::spawn_local(async move { publish_row_with_retries(&shared).await });
    }
    let now_ms = clock::now_ms();
    let mut steering = shared.steering.borrow_mut();
    for VmRow { address, domain, region } in decode_vm_rows(&update) {
        steering.vms_mut().add_vm(address, &domain, &region, now_ms);
    }
    Ok(())
}

fn domain_partition(shared: &SharedState) -> TablePartition<'_> {
    TablePartition::new(VM_TABLE, &shared.settings.domain)
}

/// Writes this VM's row to a partition.
///
/// # Errors
///
/// Fails if the call fails.
pub async fn publish_row(
    shared: &SharedState,
    partition: TablePartition<'_>,
) -> Result<(), StoreError> {
    let value = serde_json::to_vec(&VmRow::of(shared))?;
    shared.store.put(partition, &shared.settings.vm_name, &value).await
}

/// Decodes the rows of VMs, and logs those that can't be decoded.
pub fn decode_vm_rows(update: &TableUpdate) -> impl Iterator<Item = VmRow> {
    update.rows.iter().filter_map(|row| {
        let decoded = serde_json::from_slice(row.value.as_deref()?);
        decoded
            .inspect_err(|error| {
                log::warn!("event=vm_row_unreadable vm={} error={:?}", row.key, error.to_string());
            })
            .ok()
    })
}
