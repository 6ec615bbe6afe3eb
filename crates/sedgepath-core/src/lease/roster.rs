//! The roster: the members of the failure domain whose consent the owner's right needs.
//!
//! A member enters when it is heard of, directly or from others, or when the platform lists it. It
//! leaves when it says farewell, or when the platform's list lacks it and it has been silent for so
//! long that every promise made to it, and every request that it may have left running, has ended.
//! Silence alone never removes a member: a dead one can't be told from one that is cut off.

use std::collections::BTreeMap;

use crate::hash::{Digest, Map};
use crate::key::{BootId, VmKey};
use crate::membership::Member;

/// A member of the roster.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// Its boot; none if it was never heard of.
    pub boot: Option<BootId>,
    /// Whether it has begun to leave.
    pub leaving: bool,
    /// Whether it has no earlier boot that could have left requests running: it was first heard of
    /// while this node was established, before any list named it.
    pub newcomer: bool,
    /// When it entered, by this node's clock.
    pub entered_at_ms: u64,
    heard_at_ms: u64,
    unlisted_since_ms: Option<u64>,
    was_listed: bool,
}

/// The times by which members leave the roster.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waits {
    /// How long a member that the list has dropped must have been silent, in milliseconds: 2T + D.
    pub gone_after_ms: u64,
    /// The same for one that the list has never named, since the list lags.
    pub never_listed_ms: u64,
}

/// The other members of the own failure domain.
#[derive(Debug, Default)]
pub(super) struct Roster {
    entries: BTreeMap<VmKey, Entry>,
    /// Those that left, with the time of their last sign of life, so that old hearsay and a lagging
    /// list don't bring them back.
    left: Map<VmKey, u64>,
    list_seen: bool,
}

impl Roster {
    /// Returns the members in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (VmKey, &Entry)> {
        self.entries.iter().map(|(vm, entry)| (*vm, entry))
    }

    /// Returns a member.
    pub fn get(&self, vm: VmKey) -> Option<&Entry> {
        self.entries.get(&vm)
    }

    /// Whether there is no other member.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the platform's list was read.
    pub fn list_seen(&self) -> bool {
        self.list_seen
    }

    /// Takes in the members of the own failure domain that are known.
    pub fn take_members(&mut self, members: &[(VmKey, &Member)], established: bool, now_ms: u64) {
        for (vm, member) in members {
            if self.left.get(vm).is_some_and(|heard_at_ms| member.last_heard_at_ms <= *heard_at_ms)
            {
                continue;
            }
            self.left.remove(vm);
            let entry = self.entries.entry(*vm).or_insert_with(|| Entry::new(established, now_ms));
            entry.newcomer &= entry.boot.is_none_or(|boot| boot == member.boot);
            entry.boot = Some(member.boot);
            entry.leaving = member.card.leaving;
            entry.heard_at_ms = entry.heard_at_ms.max(member.last_heard_at_ms);
        }
    }

    /// Takes in the other VMs of the own failure domain that the platform lists.
    pub fn take_list(&mut self, listed: &[VmKey], now_ms: u64, waits: Waits) {
        self.list_seen = true;
        self.left.retain(|_, heard_at_ms| *heard_at_ms + waits.never_listed_ms > now_ms);
        for vm in listed.iter().filter(|vm| !self.left.contains_key(vm)) {
            let entry = self.entries.entry(*vm).or_insert_with(|| Entry::new(false, now_ms));
            entry.was_listed = true;
        }
        for (vm, entry) in &mut self.entries {
            if listed.contains(vm) {
                entry.unlisted_since_ms = None;
            } else {
                entry.unlisted_since_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Removes the members that are gone and returns them.
    pub fn remove_gone(&mut self, now_ms: u64, waits: Waits) -> Vec<VmKey> {
        let gone: Vec<VmKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_gone(now_ms, waits))
            .map(|(vm, _)| *vm)
            .collect();
        for vm in &gone {
            self.remove(*vm);
        }
        gone
    }

    /// Removes a member that has said farewell.
    pub fn remove(&mut self, vm: VmKey) {
        if let Some(entry) = self.entries.remove(&vm) {
            self.left.insert(vm, entry.heard_at_ms);
        }
    }

    /// Returns a digest of the members, their boots and whether they leave, with those of the node
    /// itself; equal digests stand for the same roster.
    pub fn digest(&self, own: VmKey, own_boot: BootId, own_leaving: bool) -> u64 {
        let mut lines: Vec<_> = self
            .entries
            .iter()
            .map(|(vm, entry)| (*vm, entry.boot, entry.leaving))
            .chain([(own, Some(own_boot), own_leaving)])
            .collect();
        lines.sort_unstable();
        let mut bytes = Vec::with_capacity(lines.len() * 18);
        for (vm, boot, leaving) in lines {
            bytes.extend_from_slice(&vm.0.to_le_bytes());
            bytes.extend_from_slice(&boot.map_or(0, |boot| boot.0).to_le_bytes());
            bytes.extend_from_slice(&[u8::from(boot.is_some()), u8::from(leaving)]);
        }
        Digest::of(&[&bytes]).to_u64()
    }
}

impl Entry {
    fn new(newcomer: bool, entered_at_ms: u64) -> Self {
        Self {
            boot: None,
            leaving: false,
            newcomer,
            entered_at_ms,
            heard_at_ms: 0,
            unlisted_since_ms: None,
            was_listed: false,
        }
    }

    fn is_gone(&self, now_ms: u64, waits: Waits) -> bool {
        let wait_ms = if self.was_listed { waits.gone_after_ms } else { waits.never_listed_ms };
        let Some(unlisted_since_ms) = self.unlisted_since_ms else {
            return false;
        };
        // One that was never heard of is timed from the list's word alone.
        let silent_since_ms =
            if self.boot.is_some() { self.heard_at_ms } else { unlisted_since_ms };
        silent_since_ms + wait_ms <= now_ms
    }
}
