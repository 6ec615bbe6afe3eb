//! Whether the store is there, as far as this VM and those that it hears can tell.

use super::Steering;
use crate::direct::vms::StoreHealth;

/// What is known of the store's being there.
#[derive(Debug, Clone, Copy)]
pub(super) struct StoreContact {
    /// When this VM or another last had an answer of it, in milliseconds.
    pub(super) last_at_ms: u64,
    /// When the last time without an answer began, in milliseconds.
    pub(super) away_since_ms: Option<u64>,
    pub(super) away: bool,
}

impl Steering {
    /// Takes in what this VM can tell of the store.
    ///
    /// The store is away only if it fails a VM and answers none that this one hears. If it answered
    /// another one all the time, only this VM was cut off, and what the store now lacks has not lapsed
    /// but left.
    pub fn update_store_health(&mut self, own: StoreHealth, now_ms: u64) {
        let contact_ms = match self.vms.store_health(own, now_ms) {
            StoreHealth::Reachable { for_ms } => for_ms,
            StoreHealth::Unknown => return,
            StoreHealth::Failing => {
                if !self.store.away {
                    self.store.away = true;
                    self.store.away_since_ms = Some(self.store.last_at_ms);
                    self.upstreams.set_store_away(true, now_ms);
                }
                return;
            }
        };
        self.store.last_at_ms = now_ms;
        if self.store.away {
            self.store.away = false;
            self.upstreams.set_store_away(false, now_ms);
        }
        let since_ms = now_ms.saturating_sub(contact_ms);
        if self.store.away_since_ms.is_some_and(|away_since_ms| since_ms <= away_since_ms) {
            self.store.away_since_ms = None;
            self.upstreams.confirm_removals(now_ms);
        }
    }
}
