//! How a VM that starts finds the others: by rows of the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sedgepath_adapter::store::StoreError;
use sedgepath_core::direct::replicas::TableUpdate;
use serde::{Deserialize, Serialize};

use super::shell::Shell;
use super::{clock, fetch, peers};

/// The table in which entry VMs find each other.
const VM_TABLE: &str = "sedgepath-vms";

/// The first pause after the store could not be asked for other VMs, in milliseconds; each later one is twice
/// as long.
const FIND_PAUSE_MS: u64 = 500;

/// The longest of these pauses, in milliseconds.
const MAX_FIND_PAUSE_MS: u64 = 4_000;

/// What the store's row of a VM says.
#[derive(Debug, Serialize, Deserialize)]
struct VmRow {
    address: SocketAddr,
    domain: Box<str>,
    region: Box<str>,
}

/// Tells other VMs of this one, learns of theirs, and gets the tables from those near it.
pub async fn find_vms(shell: Rc<Shell>) {
    let mut pause_ms = FIND_PAUSE_MS;
    loop {
        let rows = exchange_rows(&shell).await;
        if let Ok(page) = &rows {
            take_in(&shell, page);
        }
        shell.looked_for_vms.set(true);
        let Err(error) = rows else { break };
        log::info!("event=vms_not_found error={:?}", error.to_string());
        let jitter_ms = fastrand::u64(0..pause_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
        pause_ms = (pause_ms * 2).min(MAX_FIND_PAUSE_MS);
    }
    peers::send_round(&shell).await;
    fetch::fill(&shell).await;
}

/// Writes this VM's row, and then reads all: of two VMs that start together one at least finds the other.
async fn exchange_rows(shell: &Shell) -> Result<TableUpdate, StoreError> {
    let own = VmRow {
        address: SocketAddr::new(shell.settings.ip, shell.settings.peer_ports.0),
        domain: shell.settings.domain.clone(),
        region: shell.settings.region.clone(),
    };
    shell.store.put(VM_TABLE, &shell.settings.vm_name, &serde_json::to_vec(&own)?).await?;
    shell.store.read_table(VM_TABLE).await
}

fn take_in(shell: &Shell, page: &TableUpdate) {
    let now_ms = clock::now_ms();
    let mut steering = shell.steering.borrow_mut();
    let vms = steering.vms_mut();
    for row in &page.rows {
        let Some(value) = &row.value else { continue };
        match serde_json::from_slice::<VmRow>(value) {
            Ok(VmRow { address, domain, region }) => vms.add_vm(address, &domain, &region, now_ms),
            Err(error) => {
                log::warn!("event=vm_row_unreadable vm={} error={:?}", row.key, error.to_string());
            }
        }
    }
}
