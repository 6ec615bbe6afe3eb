//! Threads that carry requests to the table and its answers back.

use std::sync::Arc;

use crossbeam::channel::Receiver;
use sedgepath_core::event::Event;
use sedgepath_core::key::OperationKey;
use sedgepath_core::table::{TableRequest, TableService};

use crate::driver::Handle;

/// The requests to the table that may be on their way at once.
pub const WORKERS: usize = 4;

/// A request to the table.
#[derive(Debug)]
pub struct TableJob {
    /// Names the request in its result.
    pub operation: OperationKey,
    /// The request.
    pub request: TableRequest,
}

/// Starts the threads that execute requests to the table.
pub fn start_workers(table: &Arc<dyn TableService>, jobs: &Receiver<TableJob>, handle: &Handle) {
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
