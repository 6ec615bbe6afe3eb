//! Threads that carry requests to the platform and its answers back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam::channel::Receiver;
use sedgepath_core::event::{Event, ListedVm};
use sedgepath_core::key::OperationKey;
use sedgepath_core::table::TableRequest;
use sedgepath_platform::{TableService, VmList, VmState};

use crate::driver::Handle;

/// The requests to the table that may be on their way at once.
pub const WORKERS: usize = 4;

/// The time between two readings of the VM list.
const LIST_EVERY: Duration = Duration::from_secs(2);

/// A request to the table.
#[derive(Debug)]
pub struct PlatformJob {
    /// Names the request in its result.
    pub operation: OperationKey,
    /// The request.
    pub request: TableRequest,
}

/// Starts the threads that execute requests to the table.
pub fn start_workers(table: &Arc<dyn TableService>, jobs: &Receiver<PlatformJob>, handle: &Handle) {
    for _ in 0..WORKERS {
        let table = Arc::clone(table);
        let jobs = jobs.clone();
        let handle = handle.clone();
        std::thread::spawn(move || {
            for job in jobs {
                let result = table.execute(&job.request);
                handle.event(Event::Table { operation: job.operation, result });
            }
        });
    }
}

/// Starts the thread that reads the VM list until the process stops.
pub fn start_list(list: Arc<dyn VmList>, handle: Handle, stopping: Arc<AtomicBool>) {
    std::thread::spawn(move || {
        while !stopping.load(Ordering::Relaxed) {
            match list.list() {
                Ok(snapshot) => {
                    let listed = snapshot
                        .vms
                        .into_iter()
                        .map(|vm| ListedVm {
                            name: vm.name,
                            domain: vm.domain,
                            peers: vm.peers,
                            leaving: vm.state == VmState::Leaving,
                        })
                        .collect();
                    handle.event(Event::VmList(listed));
                }
                Err(error) => log::debug!("event=vm_list_unread error={:?}", error.to_string()),
            }
            std::thread::sleep(LIST_EVERY);
        }
    });
}
