//! The users' store, as the owned way uses it: one table of rows, and one in which VMs are listed.

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

use crate::driver::Handle;
use crate::settings::Settings;

/// The table in which entry VMs of the owned way are listed.
pub const VM_TABLE: &str = "sedgepath-members";

/// The time between two readings of the list of VMs.
const LIST_EVERY: Duration = Duration::from_secs(2);

/// The table of records, claims and tickets, for threads that wait for its answers.
#[derive(Debug)]
pub struct StoreTable {
    store: Arc<HttpStore>,
    runtime: Runtime,
}

impl StoreTable {
    /// Creates a table whose calls are made by a runtime; only threads outside it may wait for them.
    pub fn new(store: Arc<HttpStore>, runtime: Runtime) -> Self {
        Self { store, runtime }
    }
}

impl TableService for StoreTable {
    fn execute(&self, request: &TableRequest) -> TableResult {
        let (answer, answers) = bounded(1);
        let store = Arc::clone(&self.store);
        let request = request.clone();
        self.runtime.spawn(async move {
            let _nobody_waits = answer.send(store.execute(RECORD_TABLE, &request).await);
        });
        // The runtime ends only with the process; a call that ends with it may have been sent.
        answers.recv().unwrap_or(TableResult::Unknown)
    }
}

/// The row by which a VM is listed.
#[derive(Debug, Serialize, Deserialize)]
struct VmRow {
    domain: Box<str>,
    peers: SocketAddr,
    /// Whether it is about to be taken away.
    #[serde(default)]
    leaving: bool,
}

/// Lists this VM, and reads the list until the process stops.
///
/// A planned stop takes the row away. It stays after a VM that ends in any other way: whether a silent VM is gone or cut off is not known here, and a VM taken
/// for gone while it serves would have its upstreams owned twice.
pub async fn follow_list(
    store: Arc<HttpStore>,
    name: Box<str>,
    row: Vec<u8>,
    handle: Handle,
    stopping: Arc<AtomicBool>,
) {
    let mut listed = false;
    while !stopping.load(Ordering::Relaxed) {
        if !listed {
            listed = store.put(VM_TABLE, &name, &row).await.is_ok();
        }
        match store.read_table(VM_TABLE).await {
            Ok(page) => handle.event(Event::VmList(page.rows.iter().filter_map(read_vm).collect())),
            Err(error) => log::debug!("event=vm_list_unread error={:?}", error.to_string()),
        }
        tokio::time::sleep(LIST_EVERY).await;
    }
}

/// Returns the row by which a VM of these settings is listed.
pub fn vm_row(settings: &Settings) -> Vec<u8> {
    let row = VmRow { domain: settings.domain.clone(), peers: settings.peers, leaving: false };
    serde_json::to_vec(&row).unwrap_or_default()
}

fn read_vm(row: &VersionedRow) -> Option<ListedVm> {
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
