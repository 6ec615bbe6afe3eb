//! The exchange of the load at upstreams with other VMs.

use std::net::SocketAddr;

use super::Steering;
use crate::direct::load_sharing::{LoadMessage, LoadSharing};
use crate::direct::vms::gossip::OutgoingMessage;

impl Steering {
    /// Returns what VMs tell each other of the load at upstreams.
    pub fn load_sharing(&self) -> &LoadSharing {
        &self.load_sharing
    }

    /// Returns the messages that tell other VMs of this VM's load, if they are due.
    pub fn take_load_messages(&mut self, now_ms: u64) -> Vec<OutgoingMessage> {
        if !self.config.shared_load {
            return Vec::new();
        }
        let demand = || self.capacity.demand.report(now_ms);
        self.load_sharing.take_due(&self.upstreams, &self.vms, &demand, now_ms)
    }

    /// Records the load that another VM of the region tells, as much as is handled of one VM.
    pub fn receive_load(&mut self, from: SocketAddr, message: &LoadMessage, now_ms: u64) {
        if !self.config.shared_load
            || !self.vms.is_in_own_region(from)
            || !self.sender_limits.admit_load_message(from, now_ms)
        {
            return;
        }
        let is_news = self.load_sharing.receive(from, message, &mut self.upstreams, now_ms);
        if is_news && let Some(demand) = &message.demand {
            self.demand_mut().receive(from, demand, now_ms);
        }
    }

    /// Records that a process runs at the address of a VM, and forgets the load of an earlier one.
    pub fn record_vm_process(&mut self, address: SocketAddr, boot_at_ms: u64) {
        self.load_sharing.record_process(address, boot_at_ms, &mut self.upstreams);
    }
}
