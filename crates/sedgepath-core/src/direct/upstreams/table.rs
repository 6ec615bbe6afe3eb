//! The table of all upstreams, and what changes of the store's entries do to it.
//!
//! # Leaving and lapsed upstreams
//!
//! An upstream that says that it leaves, or whose entry is removed, gets nothing new at once. The one
//! exception are entries removed around an outage of the store: there they lapse although the
//! upstreams live, and all of a service's at once would leave nothing to send to. Such an entry is
//! used on for [`LAPSED_GRACE_MS`], within which a living upstream has registered itself again.

use super::{Upstream, UpstreamEntry, UpstreamKey};
use crate::direct::routing::ServiceSettings;
use crate::hash::Map;

/// How long an entry that lapsed around an outage of the store is used on, in milliseconds.
///
/// Living upstreams are back within about two seconds of the store's return (the users' letter).
pub const LAPSED_GRACE_MS: u64 = 2_000;

/// How long after an outage of the store removals count as lapses, in milliseconds: the time in which
/// a first read after the outage shows what happened during it.
const OUTAGE_ECHO_MS: u64 = 2_000;

/// All upstreams.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    by_key: Map<UpstreamKey, Upstream>,
    by_name: Map<Box<str>, UpstreamKey>,
    by_service: Map<Box<str>, Vec<UpstreamKey>>,
    next: u32,
    store_back_at_ms: Option<u64>,
    store_away: bool,
}

/// What a change of an entry did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// A new upstream, or a new start of one.
    Joined(UpstreamKey),
    /// An upstream is about to stop.
    Leaving(UpstreamKey),
    /// Nothing that matters to steering.
    None,
}

impl UpstreamTable {
    /// Returns an upstream.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.by_key.get(&key)
    }

    /// Returns an upstream to be changed.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.by_key.get_mut(&key)
    }

    /// Returns the upstreams of a service.
    pub fn of_service(&self, service: &str) -> &[UpstreamKey] {
        self.by_service.get(service).map_or(&[], |keys| keys)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.by_key.iter().map(|(key, upstream)| (*key, upstream))
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Notes that the store has stopped answering this VM, or answers again.
    pub fn set_store_away(&mut self, away: bool, now_ms: u64) {
        if self.store_away && !away {
            self.store_back_at_ms = Some(now_ms);
        }
        self.store_away = away;
    }

    /// Takes in an entry as the store has it now.
    pub fn upsert(&mut self, entry: UpstreamEntry, region: &str, now_ms: u64) -> EntryChange {
        if let Some(key) = self.by_name.get(&entry.name).copied()
            && let Some(known) = self.by_key.get_mut(&key)
        {
            if entry.older_than(&known.entry) {
                return EntryChange::None;
            }
            if entry.same_start(&known.entry) {
                let leaves = entry.leaving && !known.entry.leaving;
                if entry.sequence > known.entry.sequence || known.lapses_at_ms.is_some() {
                    known.take_cold(entry.cold_remaining_ms, now_ms);
                }
                known.lapses_at_ms = None;
                known.entry = entry;
                return if leaves { EntryChange::Leaving(key) } else { EntryChange::None };
            }
            self.forget(key);
        }
        let key = UpstreamKey(self.next);
        self.next += 1;
        self.by_name.insert(entry.name.clone(), key);
        self.by_service.entry(entry.service.clone()).or_default().push(key);
        self.by_key.insert(key, Upstream::new(entry, region.into(), now_ms));
        EntryChange::Joined(key)
    }

    /// Takes in that the store no longer has an entry.
    pub fn remove(&mut self, name: &str, now_ms: u64) {
        let Some(key) = self.by_name.get(name).copied() else {
            return;
        };
        let echo = self.store_back_at_ms.is_some_and(|at_ms| now_ms < at_ms + OUTAGE_ECHO_MS);
        if let Some(upstream) = self.by_key.get_mut(&key)
            && (echo || self.store_away)
            && !upstream.entry.leaving
        {
            let back_at_ms = self.store_back_at_ms.unwrap_or(now_ms);
            upstream.lapses_at_ms.get_or_insert(back_at_ms + LAPSED_GRACE_MS);
            return;
        }
        self.forget(key);
    }

    /// Notes that the store was there all the time for others: what it lacks is gone.
    pub fn confirm_removals(&mut self, now_ms: u64) {
        self.store_back_at_ms = None;
        for upstream in self.by_key.values_mut().filter(|up| up.lapses_at_ms.is_some()) {
            upstream.lapses_at_ms = Some(now_ms);
        }
    }

    /// Forgets the entries whose grace after an outage is over, and returns their names.
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
                self.forget(key);
                name
            })
            .collect()
    }

    /// Takes in that an upstream's address answers for another one: it is gone.
    pub fn misdirected(&mut self, key: UpstreamKey) {
        self.forget(key);
    }

    /// Notes that an upstream that could not be reached answers again: it may have restarted, cold.
    pub fn note_return(&mut self, key: UpstreamKey, service: &ServiceSettings, now_ms: u64) {
        if let Some(upstream) = self.by_key.get_mut(&key)
            && std::mem::take(&mut upstream.unreached)
        {
            let until_ms = now_ms + service.cold_start_ms;
            upstream.cold_until_ms = upstream.cold_until_ms.max(until_ms);
        }
    }

    /// Notes that all upstreams of a failure domain may be cold for a time.
    pub fn mark_domain_cold(&mut self, domain: &str, until_ms: u64) {
        let there = self.by_key.values_mut().filter(|up| &*up.entry.domain == domain);
        for upstream in there {
            upstream.cold_until_ms = upstream.cold_until_ms.max(until_ms);
            upstream.warm.clear();
        }
    }

    fn forget(&mut self, key: UpstreamKey) {
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
