//! Fetches the tables from VMs of the same failure domain at a start.

use std::rc::Rc;
use std::time::Duration;

use super::shared::SharedState;
use super::{clock, fetch};

/// How often a VM without the tables checks whether to request them, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;

/// Requests the tables from VMs of the same failure domain until the replicas are complete.
pub async fn fetch_initial_tables(shared: Rc<SharedState>) {
    let started_at_ms = clock::now_ms();
    let mut rng = fastrand::Rng::new();
    while !shared.replicas.borrow().is_complete() {
        let now_ms = clock::now_ms();
        let domain = shared.steering.borrow().vms().domain_at_start(now_ms);
        let peer = shared.bootstrap.borrow_mut().next_peer(&domain, &mut rng, now_ms);
        let Some(address) = peer else {
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            continue;
        };
        let got_tables = fetch::fetch_missing_tables(&shared, address).await;
        shared.bootstrap.borrow_mut().record_response(got_tables, &mut rng, clock::now_ms());
    }
    let took_ms = clock::now_ms().saturating_sub(started_at_ms);
    log::info!("event=tables_complete took_ms={took_ms}");
}
