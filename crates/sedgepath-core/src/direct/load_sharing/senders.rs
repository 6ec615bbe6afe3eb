//! The VMs that tell this one of their load.

use std::net::SocketAddr;

use crate::direct::upstreams::UpstreamKey;
use crate::hash::{Map, Set};
use crate::key::VmKey;

use super::message::LoadMessage;

/// The time for which a VM counts as active after its last message, in milliseconds: several messages
/// or introductions may be lost.
const ACTIVE_MS: u64 = 5_000;

/// The silence after which a process that started earlier replaces a later one, in milliseconds, since the
/// VM's clock may have been set back.
const RESUME_AFTER_MS: u64 = 1_000;

/// The most VMs whose messages are handled: several times as many as send to one VM.
const MAX_SENDERS: usize = 64;

/// A VM that has sent its load.
#[derive(Debug)]
struct Sender {
    key: VmKey,
    boot_at_ms: u64,
    number: u32,
    received_at_ms: u64,
    /// The upstreams at which it has stated to have requests in flight.
    stated_at: Set<UpstreamKey>,
}

/// A message that is newer than the last one of its sender.
#[derive(Debug)]
pub(super) struct AcceptedMessage {
    /// The key of the sender.
    pub(super) sender: VmKey,
    /// The upstreams at which an earlier process of the sender had requests in flight.
    pub(super) ended_at: Set<UpstreamKey>,
}

/// The VMs that tell this one of their load.
#[derive(Debug, Default)]
pub(super) struct Senders {
    by_address: Map<SocketAddr, Sender>,
}

impl Senders {
    /// Records a message, or returns `None` if it isn't newer than the last one of its sender, or there
    /// are too many senders.
    pub(super) fn accept(
        &mut self,
        from: SocketAddr,
        key: VmKey,
        message: &LoadMessage,
        now_ms: u64,
    ) -> Option<AcceptedMessage> {
        if self.by_address.len() >= MAX_SENDERS && !self.by_address.contains_key(&from) {
            self.by_address.retain(|_, sender| now_ms < sender.received_at_ms + ACTIVE_MS);
            if self.by_address.len() >= MAX_SENDERS {
                return None;
            }
        }
        let LoadMessage { boot_at_ms, number, .. } = *message;
        let mut ended_at = Set::default();
        if let Some(last) = self.by_address.get_mut(&from) {
            let is_newer = if boot_at_ms == last.boot_at_ms {
                number > last.number
            } else {
                boot_at_ms > last.boot_at_ms || now_ms >= last.received_at_ms + RESUME_AFTER_MS
            };
            if !is_newer {
                return None;
            }
            if boot_at_ms != last.boot_at_ms {
                ended_at = std::mem::take(&mut last.stated_at);
            }
            (last.boot_at_ms, last.number, last.received_at_ms) = (boot_at_ms, number, now_ms);
        } else {
            let stated_at = Set::default();
            let sender = Sender { key, boot_at_ms, number, received_at_ms: now_ms, stated_at };
            self.by_address.insert(from, sender);
        }
        Some(AcceptedMessage { sender: key, ended_at })
    }

    /// Records whether a VM states to have requests in flight at an upstream.
    pub(super) fn record_stated(&mut self, from: SocketAddr, key: UpstreamKey, in_flight: u16) {
        if let Some(sender) = self.by_address.get_mut(&from) {
            if in_flight > 0 {
                sender.stated_at.insert(key);
            } else {
                sender.stated_at.remove(&key);
            }
        }
    }

    /// Returns the key of a VM whose process has ended, since a later one runs there, and the upstreams at
    /// which it had requests in flight.
    pub(super) fn end_earlier_process(
        &mut self,
        address: SocketAddr,
        boot_at_ms: u64,
    ) -> Option<(VmKey, Set<UpstreamKey>)> {
        let sender = self.by_address.get_mut(&address)?;
        if boot_at_ms <= sender.boot_at_ms {
            return None;
        }
        Some((sender.key, std::mem::take(&mut sender.stated_at)))
    }

    /// Returns the VMs that have sent their load lately.
    pub(super) fn active(&self, now_ms: u64) -> impl Iterator<Item = (VmKey, SocketAddr)> {
        let is_active = move |sender: &Sender| now_ms < sender.received_at_ms + ACTIVE_MS;
        let active = self.by_address.iter().filter(move |(_, sender)| is_active(sender));
        active.map(|(address, sender)| (sender.key, *address))
    }

    /// Returns whether a VM has sent its load lately.
    pub(super) fn is_active(&self, address: SocketAddr, now_ms: u64) -> bool {
        let sender = self.by_address.get(&address);
        sender.is_some_and(|sender| now_ms < sender.received_at_ms + ACTIVE_MS)
    }
}
