//! Rows of the store for requests that crash upstreams.

use std::rc::Rc;

use sedgepath_adapter::rows::store_table_name;
use sedgepath_core::direct::crashes::quarantine::{QuarantineRow, QuarantineWrite};
use sedgepath_core::direct::replicas::Table;
use sedgepath_core::table::{TableRequest, TableResult, Transaction};

use super::in_flight_request::InFlightRequest;
use super::shared::SharedState;
use super::{clock, gossip, replica_updates, store_feed};

/// Starts writing the rows that are due, unless some are being written.
pub fn write_due_rows(shared: &Rc<SharedState>) {
    if shared.writing_quarantine.get() {
        return;
    }
    let writes = shared.steering.borrow_mut().crashes_mut().take_due_writes(clock::clocks());
    if writes.is_empty() {
        return;
    }
    shared.writing_quarantine.set(true);
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        for write in &writes {
            commit(&shared, std::slice::from_ref(write)).await;
        }
        refresh_replica(&shared).await;
        shared.writing_quarantine.set(false);
    });
}

/// Claims the probe of a quarantined request, if one is due. The request is sent only if the store
/// confirms the claim, so that one VM sends it.
pub async fn claim_probe(request: &mut InFlightRequest) {
    let shared = Rc::clone(&request.shared);
    let claim = shared.steering.borrow().probe_claim(&request.state, clock::clocks());
    if claim.is_empty() {
        return;
    }
    request.state.is_probe = commit(&shared, &claim).await == TableResult::Committed;
    log::info!(
        "event=quarantine_probe fingerprint={} claimed={}",
        request.state.fingerprint_text(),
        request.state.is_probe,
    );
    tokio::task::spawn_local(async move { refresh_replica(&shared).await });
}

async fn commit(shared: &SharedState, writes: &[QuarantineWrite]) -> TableResult {
    let encode = |row: &QuarantineRow| serde_json::json!(row).to_string().into();
    let writes = writes.iter().map(|write| write.to_row_write(encode)).collect();
    let request = TableRequest::Commit(Transaction { writes });
    shared.store.execute(store_table_name(Table::Quarantine), &request).await
}

/// Reads the table, so that this VM and those that it tells have the rows just written.
async fn refresh_replica(shared: &Rc<SharedState>) {
    match store_feed::read_table(shared, Table::Quarantine).await {
        Ok(update) => {
            if replica_updates::apply_update(shared, Table::Quarantine, update) {
                gossip::announce_quarantine_change(shared).await;
            }
        }
        Err(error) => {
            log::info!("event=quarantine_not_read error={:?}", error.to_string());
        }
    }
}
