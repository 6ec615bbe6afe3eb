//! Messages between VMs about the load at upstreams.

use std::net::SocketAddr;
use std::rc::Rc;

use sedgepath_core::direct::load_sharing::LoadMessage;

use super::shared::SharedState;
use super::{clock, gossip};

/// Tells other VMs of this VM's load when that is due, until the process ends.
pub async fn send_load(shared: Rc<SharedState>) {
    let mut told_by = 0;
    loop {
        let now_ms = clock::now_ms();
        let messages = shared.steering.borrow_mut().take_load_messages(now_ms);
        gossip::send_messages(&shared, messages).await;
        let due_at_ms = shared.steering.borrow().load_sharing().next_send_at_ms(now_ms);
        log_senders(&shared, &mut told_by, now_ms);
        tokio::time::sleep_until(clock::instant_at(due_at_ms)).await;
    }
}

/// Logs when other VMs begin or cease to tell this one of their load.
fn log_senders(shared: &SharedState, told_by: &mut usize, now_ms: u64) {
    let vms = shared.steering.borrow().load_sharing().active_vms(now_ms);
    if (vms == 0) != (*told_by == 0) {
        log::info!("event=load_shared vms={vms}");
    }
    *told_by = vms;
}

/// Handles what another VM tells of its load.
pub fn handle_message(shared: &SharedState, from: SocketAddr, message: &LoadMessage) {
    shared.steering.borrow_mut().receive_load(from, message, clock::now_ms());
}
