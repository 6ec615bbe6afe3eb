//! Worker threads that execute the node's table requests.

use std::sync::Arc;

use crossbeam::channel::Receiver;
use sedgepath_core::event::Event;
use sedgepath_core::key::OperationKey;
use sedgepath_core::table::{TableRequest, TableResult, TableService};

use crate::driver::NodeHandle;

/// The number of worker threads, and so the maximum number of table requests in flight.
pub const WORKER_THREADS: usize = 4;

/// A table request that waits for a worker thread.
#[derive(Debug)]
pub struct TableJob {
    /// Identifies the request in its result.
    pub operation: OperationKey,
    /// The request to execute.
    pub request: TableRequest,
}

/// Starts the worker threads, which run until the sender of the jobs is dropped.
pub fn start_workers(
    table: &Arc<dyn TableService>,
    jobs: &Receiver<TableJob>,
    handle: &NodeHandle,
) {
    for _ in 0..WORKER_THREADS {
        let table = Arc::clone(table);
        let jobs = jobs.clone();
        let handle = handle.clone();
        std::thread::spawn(move || {
            for job in jobs {
                let result = table.execute(&job.request);
                log_unreadable_rows(&result);
                handle.send_event(Event::Table { operation: job.operation, result });
            }
        });
    }
}

/// Logs the rows whose value isn't text, which the table's client returns as an empty one.
fn log_unreadable_rows(result: &TableResult) {
    let TableResult::Rows(rows) = result else { return };
    for row in rows.iter().filter(|row| row.value.is_empty()) {
        log::warn!("event=row_unreadable key={}", row.key);
    }
}
