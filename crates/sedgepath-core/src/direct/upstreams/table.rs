//! The table of all upstreams, updated from the store's entries.
//!
//! # Leaving and lapsed upstreams
//!
//! An upstream that is leaving, by its entry or by its own word, or whose entry is removed, gets no new
//! requests. Its own word holds for its process, whatever its entry says later. During or shortly
//! after a store outage, entries may lapse although their upstreams are running. Such an entry stays
//! in use until [`LAPSED_ENTRY_GRACE_MS`] after the outage; a running upstream registers again
//! within that time.

use super::entry_order::{EntryOrder, ReplacedProcess, UnclearEntry};
use super::stated::{StatedByProcess, StatedConditions};
use super::{IncarnationKey, Upstream, UpstreamEntry, UpstreamKey};
use crate::direct::load_sharing::ShortIncarnationKey;
use crate::direct::routing::ServiceSettings;
use crate::hash::Map;

/// The time after the end of a store outage for which a lapsed entry stays in use, in milliseconds.
/// A running upstream registers again within about two seconds of the store's return, as the
/// platform states.
pub const LAPSED_ENTRY_GRACE_MS: u64 = 2_000;

/// The time after a store outage for which removals count as lapses, in milliseconds. It covers the
/// first read after the outage.
const OUTAGE_REMOVAL_WINDOW_MS: u64 = 2_000;

/// The known upstreams, by key, name and service.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    by_key: Map<UpstreamKey, Upstream>,
    by_name: Map<Box<str>, UpstreamKey>,
    by_service: Map<Box<str>, Vec<UpstreamKey>>,
    by_incarnation: Map<IncarnationKey, UpstreamKey>,
    by_short_key: Map<ShortIncarnationKey, UpstreamKey>,
    stated: StatedByProcess,
    next_key: u32,
    outage_ended_at_ms: Option<u64>,
    store_unavailable: bool,
}

/// The effect of a change of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// A new upstream, or a new incarnation of a known one.
    Joined(UpstreamKey),
    /// An upstream announced that it is about to stop.
    Leaving(UpstreamKey),
    /// An entry that was written before the known one, and is ignored.
    Outdated,
    /// An entry of another process that may run in place of the known one. Until that is clear, only its word
    /// that the upstream leaves counts.
    Unclear(UpstreamKey),
    /// An entry by which no upstream joins or starts to leave.
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

    /// Returns an upstream by its name.
    pub fn by_name(&self, name: &str) -> Option<&Upstream> {
        self.by_key.get(self.by_name.get(name)?)
    }

    /// Returns an upstream by the run of its process.
    pub fn by_incarnation(&self, incarnation: IncarnationKey) -> Option<&Upstream> {
        self.by_key.get(self.by_incarnation.get(&incarnation)?)
    }

    /// Returns a mutable reference to an upstream by the short form of its run, and its key.
    pub fn by_short_key_mut(
        &mut self,
        short_key: ShortIncarnationKey,
    ) -> Option<(UpstreamKey, &mut Upstream)> {
        let key = *self.by_short_key.get(&short_key)?;
        Some((key, self.by_key.get_mut(&key)?))
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
    pub fn set_store_unavailable(&mut self, unavailable: bool, now_ms: u64) {
        if self.store_unavailable && !unavailable {
            self.outage_ended_at_ms = Some(now_ms);
        }
        self.store_unavailable = unavailable;
    }

    /// Inserts or updates an upstream from its current entry in the store, unless that was written late.
    pub fn upsert(&mut self, entry: UpstreamEntry, region: &str, now_ms: u64) -> EntryChange {
        let Some(key) = self.by_name.get(&entry.name).copied() else {
            return self.insert(entry, region, now_ms);
        };
        let Some(upstream) = self.by_key.get_mut(&key) else {
            return self.insert(entry, region, now_ms);
        };
        match upstream.order_of(&entry) {
            EntryOrder::Outdated => EntryChange::Outdated,
            EntryOrder::Continues if entry.has_place_of(&upstream.entry) => {
                let starts_leaving = upstream.renew(entry, now_ms);
                if starts_leaving { EntryChange::Leaving(key) } else { EntryChange::None }
            }
            EntryOrder::Unclear => {
                upstream.unclear = Some(UnclearEntry::new(entry, region, now_ms));
                EntryChange::Unclear(key)
            }
            EntryOrder::Continues | EntryOrder::Restarted => {
                self.replace(key, entry, region, now_ms)
            }
        }
    }

    fn insert(&mut self, entry: UpstreamEntry, region: &str, now_ms: u64) -> EntryChange {
        let key = UpstreamKey(self.next_key);
        self.next_key += 1;
        self.by_name.insert(entry.name.clone(), key);
        self.by_service.entry(entry.service.clone()).or_default().push(key);
        let mut upstream = Upstream::new(entry, region.into(), now_ms);
        upstream.stated = self.stated.of(upstream.incarnation);
        self.by_incarnation.insert(upstream.incarnation, key);
        self.by_short_key.insert(ShortIncarnationKey::of(upstream.incarnation), key);
        self.by_key.insert(key, upstream);
        EntryChange::Joined(key)
    }

    /// Replaces an upstream by another process of its name, or by the same one at another place.
    fn replace(
        &mut self,
        key: UpstreamKey,
        entry: UpstreamEntry,
        region: &str,
        now_ms: u64,
    ) -> EntryChange {
        let replaced = self.by_key.get(&key).map(|upstream| ReplacedProcess::of(&upstream.entry));
        self.remove_key(key);
        let change = self.insert(entry, region, now_ms);
        if let EntryChange::Joined(key) = change
            && let Some(upstream) = self.by_key.get_mut(&key)
        {
            upstream.replaced = replaced;
        }
        change
    }

    /// Takes over the unclear entries that no other one has followed in time, and returns the upstreams' names.
    ///
    /// That of a leaving upstream isn't taken over: a late write would make it usable again.
    pub fn accept_unclear_entries(&mut self, now_ms: u64) -> Vec<Box<str>> {
        let is_due = |upstream: &Upstream| {
            let unclear = upstream.unclear.as_ref();
            !upstream.is_leaving() && unclear.is_some_and(|it| it.accepted_at_ms <= now_ms)
        };
        let due = self.by_key.iter().filter(|(_, upstream)| is_due(upstream));
        let due: Vec<_> = due.map(|(key, _)| *key).collect();
        due.into_iter()
            .filter_map(|key| {
                let UnclearEntry { entry, region, .. } =
                    self.by_key.get_mut(&key)?.unclear.take()?;
                let name = entry.name.clone();
                self.replace(key, entry, &region, now_ms);
                Some(name)
            })
            .collect()
    }

    /// Records that the process of an upstream states that it is about to stop; returns whether that is
    /// new.
    pub fn record_leaving(&mut self, incarnation: IncarnationKey) -> bool {
        let mut stated = self.stated.of(incarnation);
        if stated.leaving {
            return false;
        }
        stated.leaving = true;
        self.set_stated(incarnation, stated);
        true
    }

    /// Records that the process of an upstream asks this VM for a pause; returns whether that extends an
    /// earlier one. A shorter pause, or a later response without one, doesn't take back a longer one.
    pub fn record_pause(&mut self, incarnation: IncarnationKey, until_ms: u64) -> bool {
        let mut stated = self.stated.of(incarnation);
        if until_ms <= stated.paused_until_ms {
            return false;
        }
        stated.paused_until_ms = until_ms;
        self.set_stated(incarnation, stated);
        true
    }

    fn set_stated(&mut self, incarnation: IncarnationKey, stated: StatedConditions) {
        let keys = &self.by_incarnation;
        self.stated.set(incarnation, stated, |incarnation| keys.contains_key(&incarnation));
        if let Some(upstream) = keys.get(&incarnation).and_then(|key| self.by_key.get_mut(key)) {
            upstream.stated = stated;
        }
    }

    /// Removes an upstream whose entry was removed. During or shortly after a store outage, marks it
    /// as lapsed instead, unless it is leaving.
    pub fn remove(&mut self, name: &str, now_ms: u64) {
        let Some(key) = self.by_name.get(name).copied() else {
            return;
        };
        let outage_ended_recently =
            self.outage_ended_at_ms.is_some_and(|at_ms| now_ms < at_ms + OUTAGE_REMOVAL_WINDOW_MS);
        if let Some(upstream) = self.by_key.get_mut(&key)
            && (outage_ended_recently || self.store_unavailable)
            && !upstream.is_leaving()
        {
            let grace_from_ms = self.outage_ended_at_ms.unwrap_or(now_ms);
            upstream.lapses_at_ms.get_or_insert(grace_from_ms + LAPSED_ENTRY_GRACE_MS);
            return;
        }
        self.remove_key(key);
    }

    /// Ends the grace period of all lapsed entries. Called when the store turns out to have been
    /// available to other VMs, so that the entries were removed rather than lapsed.
    pub fn confirm_removals(&mut self, now_ms: u64) {
        self.outage_ended_at_ms = None;
        let lapsed = self.by_key.values_mut().filter(|upstream| upstream.lapses_at_ms.is_some());
        for upstream in lapsed {
            upstream.lapses_at_ms = Some(now_ms);
        }
    }

    /// Removes the lapsed upstreams whose grace period is over, and returns their names.
    pub fn remove_lapsed(&mut self, now_ms: u64) -> Vec<Box<str>> {
        let is_expired =
            |upstream: &Upstream| upstream.lapses_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        let expired: Vec<_> = self
            .by_key
            .iter()
            .filter(|(_, upstream)| is_expired(upstream))
            .map(|(key, upstream)| (*key, upstream.entry.name.clone()))
            .collect();
        expired
            .into_iter()
            .map(|(key, name)| {
                self.remove_key(key);
                name
            })
            .collect()
    }

    /// Removes an upstream whose address another one has taken over.
    pub fn remove_misdirected(&mut self, key: UpstreamKey, now_ms: u64) {
        let unclear = self.by_key.get_mut(&key).and_then(|upstream| upstream.unclear.take());
        self.remove_key(key);
        if let Some(UnclearEntry { entry, region, .. }) = unclear {
            self.insert(entry, &region, now_ms);
        }
    }

    /// Marks an upstream that responded as cold if it was unreachable before, since it may have
    /// restarted.
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

    /// Marks all upstreams of a failure domain as cold until a given time, with empty caches.
    pub fn mark_domain_cold(&mut self, domain: &str, until_ms: u64) {
        let in_domain =
            self.by_key.values_mut().filter(|upstream| &*upstream.entry.domain == domain);
        for upstream in in_domain {
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
        if self.by_incarnation.get(&upstream.incarnation) == Some(&key) {
            self.by_incarnation.remove(&upstream.incarnation);
        }
        let short_key = ShortIncarnationKey::of(upstream.incarnation);
        if self.by_short_key.get(&short_key) == Some(&key) {
            self.by_short_key.remove(&short_key);
        }
        if let Some(keys) = self.by_service.get_mut(&upstream.entry.service) {
            keys.retain(|other| *other != key);
        }
    }
}
