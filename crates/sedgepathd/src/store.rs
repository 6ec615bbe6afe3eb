//! The users' store as it is used without `--direct`: a table of records, and a table that lists VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam::channel::bounded;
use sedgepath_adapter::store::HttpStore;
use sedgepath_core::direct::replicas::VersionedRow;
use sedgepath_core::event::{Event, ListedVm};
use sedgepath_core::table::{RECORD_TABLE, TableRequest, TableResult, TableService};
use serde::{Deserialize, Serialize};
use tokio::runtime::Handle as Runtime;

use crate::driver::NodeHandle;
use crate::settings::Settings;

/// The table that lists the entry VMs that run without `--direct`.
pub const VM_TABLE: &str = "sedgepath-members";

/// The interval between two reads of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// The table of records, claims and tickets, with calls that block the calling thread.
#[derive(Debug)]
pub struct BlockingStoreTable {
    store: Arc<HttpStore>,
    runtime: Runtime,
}

impl BlockingStoreTable {
    /// Creates a table whose calls run on a runtime; it must not be used by the runtime's own threads.
    pub fn new(store: Arc<HttpStore>, runtime: Runtime) -> Self {
        Self { store, runtime }
    }
}

impl TableService for BlockingStoreTable {
    fn execute(&self, request: &TableRequest) -> TableResult {
        let (sender, receiver) = bounded(1);
        let store = Arc::clone(&self.store);
        let request = request.clone();
        self.runtime.spawn(async move {
            let _receiver_gone = sender.send(store.execute(RECORD_TABLE, &request).await);
        });
        // The runtime ends only with the process; a call that it dropped may have been sent.
        receiver.recv().unwrap_or(TableResult::Unknown)
    }
}

/// A row of the VM list.
#[derive(Debug, Serialize, Deserialize)]
struct VmRow {
    domain: Box<str>,
    peers: SocketAddr,
    /// Whether the VM is about to be removed.
    #[serde(default)]
    leaving: bool,
}

/// Adds this VM to the VM list and reads the list periodically until the process stops.
///
/// Only a planned stop removes the row. A VM that ends in any other way stays listed, as it can't be
/// told from one that is only cut off: if a VM that still serves were removed, its upstreams would
/// have two owners.
pub async fn maintain_vm_list(
    store: Arc<HttpStore>,
    name: Box<str>,
    row: Vec<u8>,
    handle: NodeHandle,
    stopping: Arc<AtomicBool>,
) {
    let mut listed = false;
    while !stopping.load(Ordering::Relaxed) {
        if !listed {
            listed = store.put(VM_TABLE, &name, &row).await.is_ok();
        }
        match store.read_table(VM_TABLE).await {
            Ok(page) => {
                handle
                    .send_event(Event::VmList(page.rows.iter().filter_map(parse_vm_row).collect()));
            }
            Err(error) => log::debug!("event=vm_list_unread error={:?}", error.to_string()),
        }
        tokio::time::sleep(VM_LIST_INTERVAL).await;
    }
}

/// Returns the VM list's row for a VM with these settings, encoded as JSON.
pub fn encode_vm_row(settings: &Settings) -> Vec<u8> {
    let row = VmRow { domain: settings.domain.clone(), peers: settings.peers, leaving: false };
    serde_json::to_vec(&row).unwrap_or_default()
}

fn parse_vm_row(row: &VersionedRow) -> Option<ListedVm> {
    match serde_json::from_slice::<VmRow>(row.value.as_ref()?) {
        Ok(VmRow { domain, peers, leaving }) => {
            Some(ListedVm { name: row.key.clone(), domain, peer_address: peers, leaving })
        }
        Err(error) => {
            log::warn!("event=vm_row_unread vm={:?} error={:?}", row.key, error.to_string());
            None
        }
    }
}
