//! Finds the VMs of other failure domains, through rows that a few VMs of each domain publish.
//!
//! The rows are in the default partition of the table of VMs, where VMs of earlier versions keep theirs.

use std::rc::Rc;
use std::time::Duration;

use sedgepath_adapter::store::StoreError;
use sedgepath_core::direct::vms::gossip::{Heartbeat, PeerMessage};
use sedgepath_core::direct::vms::{ContactRole, ContactStep};
use sedgepath_wire::peer_keys::{PEER_KEY_ROW, VM_TABLE};

use super::discovery::{self, VmRow};
use super::shared::SharedState;
use super::{clock, gossip};

/// How often a VM checks whether a call is due, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;

/// Publishes this VM as a contact while it is one, and introduces it to unheard failure domains, until the
/// process ends.
pub async fn follow_contacts(shared: Rc<SharedState>) {
    // Before it knows the VMs of its domain, each VM would take itself for the first one.
    let mut discovered = shared.domain_discovered.subscribe();
    if discovered.wait_for(|discovered| *discovered).await.is_err() {
        return;
    }
    let mut role = ContactRole::default();
    loop {
        let era = shared.store.era().max(shared.replicas.borrow().era());
        let step = role.next_step(shared.steering.borrow().vms(), era, clock::now_ms());
        let result = match step {
            ContactStep::None => {
                tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
                continue;
            }
            ContactStep::Publish => {
                let result = discovery::publish_row(&shared, VM_TABLE.into()).await;
                if result.is_ok() {
                    role.record_published(era);
                    continue;
                }
                result
            }
            ContactStep::Read => introduce_to_contacts(&shared).await,
        };
        role.record_call(clock::now_ms());
        if let Err(error) = result {
            log::info!("event=contacts_call_failed step={step:?} error={:?}", error.to_string());
        }
    }
}

async fn introduce_to_contacts(shared: &SharedState) -> Result<(), StoreError> {
    let mut update = shared.store.read_table(VM_TABLE).await?;
    update.rows.retain(|row| &*row.key != PEER_KEY_ROW);
    let rows: Vec<VmRow> = discovery::decode_vm_rows(&update).collect();
    let (addresses, heartbeat) = {
        let mut steering = shared.steering.borrow_mut();
        let vms = steering.vms_mut();
        let contacts = rows.iter().map(|row| (row.address, &*row.domain));
        let addresses = vms.choose_introductions(contacts, &mut fastrand::Rng::new());
        (addresses, vms.heartbeat(shared.log_clock.tick()))
    };
    log::info!("event=contacts_read introduced_to={}", addresses.len());
    let message = PeerMessage::Heartbeat(Heartbeat::Full(heartbeat));
    gossip::send_to_all(shared, &message, &addresses).await;
    Ok(())
}
