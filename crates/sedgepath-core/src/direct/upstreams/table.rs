//! The table of all upstreams, updated from the store's entries.
//!
//! # Leaving and lapsed upstreams
//!
//! An upstream that is leaving, or whose entry is removed, gets no new requests. Around a store
//! outage, entries lapse although their upstreams are running. Such an entry stays in use for
//! [`LAPSED_ENTRY_GRACE_MS`], within which a running upstream registers again.

use super::{Upstream, UpstreamEntry, UpstreamKey};
use crate::direct::routing::ServiceSettings;
use crate::hash::Map;

/// The time after the end of a store outage for which a lapsed entry stays in use, in milliseconds.
/// A running upstream registers again within that time.
pub const LAPSED_ENTRY_GRACE_MS: u64 = 2_000;

/// The time after a store outage for which removals count as lapses, in milliseconds: the first read
/// after the outage happens within it.
const OUTAGE_REMOVAL_WINDOW_MS: u64 = 2_000;

/// The known upstreams, by key, name and service.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    by_key: Map<UpstreamKey, Upstream>,
    by_name: Map<Box<str>, UpstreamKey>,
    by_service: Map<Box<str>, Vec<UpstreamKey>>,
    next_key: u32,
    outage_ended_at_ms: Option<u64>,
    store_unavailable: bool,
}

/// The effect of a change of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// A new upstream, or a new start of a known one.
    Joined(UpstreamKey),
    /// An upstream announced that it is about to stop.
    Leaving(UpstreamKey),
    /// No effect on the set of usable upstreams.
    None,
}

impl UpstreamTable {
    /// Returns an upstream by its key.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.by_key.get(&key)
    }

    /// Returns a mutable reference to an upstream.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.by_key.get_mut(&key)
    }

    /// Returns the keys of a service's upstreams.
    pub fn of_service(&self, service: &str) -> &[UpstreamKey] {
        self.by_service.get(service).map_or(&[], |keys| keys)
    }

    /// Returns an iterator over all upstreams, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.by_key.iter().map(|(key, upstream)| (*key, upstream))
    }

    /// Returns the number of known upstreams.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Sets whether the store is unavailable, and records when an outage ends.
    pub fn set_store_unavailable(&mut self, away: bool, now_ms: u64) {
        if self.store_unavailable && !away {
            self.outage_ended_at_ms = Some(now_ms);
        }
        self.store_unavailable = away;
    }

    /// Inserts or updates an upstream from its current entry in the store.
    pub fn upsert(&mut self, entry: UpstreamEntry, region: &str, now_ms: u64) -> EntryChange {
        if let Some(key) = self.by_name.get(&entry.name).copied()
            && let Some(known) = self.by_key.get_mut(&key)
        {
            if entry.is_older_than(&known.entry) {
                return EntryChange::None;
            }
            if entry.continues_start(&known.entry) {
                let leaves = entry.leaving && !known.entry.leaving;
                if entry.sequence > known.entry.sequence || known.lapses_at_ms.is_some() {
                    known.update_cold_phase(entry.cold_remaining_ms, now_ms);
                }
                known.lapses_at_ms = None;
                known.entry = entry;
                return if leaves { EntryChange::Leaving(key) } else { EntryChange::None };
            }
            self.remove_key(key);
        }
        let key = UpstreamKey(self.next_key);
        self.next_key += 1;
        self.by_name.insert(entry.name.clone(), key);
        self.by_service.entry(entry.service.clone()).or_default().push(key);
        self.by_key.insert(key, Upstream::new(entry, region.into(), now_ms));
        EntryChange::Joined(key)
    }

    /// Removes an upstream whose entry was removed, or marks it as lapsed around a store outage.
    pub fn remove(&mut self, name: &str, now_ms: u64) {
        let Some(key) = self.by_name.get(name).copied() else {
            return;
        };
        let echo =
            self.outage_ended_at_ms.is_some_and(|at_ms| now_ms < at_ms + OUTAGE_REMOVAL_WINDOW_MS);
        if let Some(upstream) = self.by_key.get_mut(&key)
            && (echo || self.store_unavailable)
            && !upstream.entry.leaving
        {
            let back_at_ms = self.outage_ended_at_ms.unwrap_or(now_ms);
            upstream.lapses_at_ms.get_or_insert(back_at_ms + LAPSED_ENTRY_GRACE_MS);
            return;
        }
        self.remove_key(key);
    }

    /// Confirms that lapsed entries were removed, because the store was available to other VMs.
    pub fn confirm_removals(&mut self, now_ms: u64) {
        self.outage_ended_at_ms = None;
        for upstream in self.by_key.values_mut().filter(|up| up.lapses_at_ms.is_some()) {
            upstream.lapses_at_ms = Some(now_ms);
        }
    }

    /// Removes the lapsed upstreams whose grace period is over, and returns their names.
    pub fn remove_lapsed(&mut self, now_ms: u64) -> Vec<Box<str>> {
        let over = |upstream: &Upstream| upstream.lapses_at_ms.is_some_and(|at| at <= now_ms);
        let gone: Vec<_> = self
            .by_key
            .iter()
            .filter(|(_, upstream)| over(upstream))
            .map(|(key, upstream)| (*key, upstream.entry.name.clone()))
            .collect();
        gone.into_iter()
            .map(|(key, name)| {
                self.remove_key(key);
                name
            })
            .collect()
    }

    /// Removes an upstream whose address another one has taken over.
    pub fn remove_misdirected(&mut self, key: UpstreamKey) {
        self.remove_key(key);
    }

    /// Marks an upstream as cold if it was unreachable before this response: it may have restarted.
    pub fn record_reachable_again(
        &mut self,
        key: UpstreamKey,
        service: &ServiceSettings,
        now_ms: u64,
    ) {
        if let Some(upstream) = self.by_key.get_mut(&key)
            && std::mem::take(&mut upstream.was_unreachable)
        {
            let until_ms = now_ms + service.cold_start_ms;
            upstream.cold_until_ms = upstream.cold_until_ms.max(until_ms);
        }
    }

    /// Marks all upstreams of a failure domain as cold until a given time.
    pub fn mark_domain_cold(&mut self, domain: &str, until_ms: u64) {
        let there = self.by_key.values_mut().filter(|up| &*up.entry.domain == domain);
        for upstream in there {
            upstream.cold_until_ms = upstream.cold_until_ms.max(until_ms);
            upstream.warm_objects.clear();
        }
    }

    fn remove_key(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.by_key.remove(&key) else {
            return;
        };
        if self.by_name.get(&upstream.entry.name) == Some(&key) {
            self.by_name.remove(&upstream.entry.name);
        }
        if let Some(keys) = self.by_service.get_mut(&upstream.entry.service) {
            keys.retain(|other| *other != key);
        }
    }
}
