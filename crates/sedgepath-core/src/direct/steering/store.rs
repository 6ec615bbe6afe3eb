//! The availability of the store, as observed by this VM and reported by other VMs.

use super::Steering;
use crate::direct::vms::StoreHealth;

/// The observed availability of the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct StoreAvailability {
    /// When the store last responded to this VM or another one, in milliseconds.
    pub(super) last_reachable_at_ms: u64,
    /// When the last outage began, in milliseconds; `None` once removals after it are confirmed.
    pub(super) outage_since_ms: Option<u64>,
    pub(super) unavailable: bool,
}

impl Steering {
    /// Updates the store's availability from this VM's view of it.
    ///
    /// The store counts as unavailable only if calls of a VM fail and no VM that this one hears can
    /// reach it. If another VM could reach it throughout, only this VM was cut off: the entries that
    /// are missing now were removed rather than lapsed.
    pub fn update_store_health(&mut self, own: StoreHealth, now_ms: u64) {
        let reachable_for_ms = match self.vms.store_health(own, now_ms) {
            StoreHealth::Reachable { for_ms } => for_ms,
            StoreHealth::Unknown => return,
            StoreHealth::Failing => {
                if !self.store.unavailable {
                    self.store.unavailable = true;
                    self.store.outage_since_ms = Some(self.store.last_reachable_at_ms);
                    self.upstreams.set_store_unavailable(true, now_ms);
                }
                return;
            }
        };
        self.store.last_reachable_at_ms = now_ms;
        if self.store.unavailable {
            self.store.unavailable = false;
            self.upstreams.set_store_unavailable(false, now_ms);
        }
        let reachable_since_ms = now_ms.saturating_sub(reachable_for_ms);
        if self
            .store
            .outage_since_ms
            .is_some_and(|outage_since_ms| reachable_since_ms <= outage_since_ms)
        {
            self.store.outage_since_ms = None;
            self.upstreams.confirm_removals(now_ms);
        }
    }
}
