//! The roster: the members of the failure domain whose grants a lease requires.
//!
//! A member is added when a direct or indirect sign of life arrives, or when the platform lists it.
//! It is removed when it announces that it has ended its work, or when it is missing from the
//! platform's list and has been silent for so long that every promise to it and every request of it
//! has ended. Silence alone never removes a member, since a dead member cannot be distinguished from
//! a partitioned one.

use std::collections::BTreeMap;

use crate::hash::{Digest, Map};
use crate::key::{BootId, VmKey};
use crate::membership::Member;

/// The state of a roster member.
#[derive(Debug, Clone)]
pub(super) struct RosterEntry {
    /// The member's boot ID; `None` before the first sign of life.
    pub boot: Option<BootId>,
    /// Whether the member is about to stop.
    pub leaving: bool,
    /// Whether the member has no earlier boot with requests that may still run: its first sign of
    /// life came while this node was established and before any list contained it.
    pub newcomer: bool,
    /// When the member was added, in milliseconds by this node's clock.
    pub added_at_ms: u64,
    last_heard_at_ms: u64,
    unlisted_since_ms: Option<u64>,
    was_listed: bool,
}

/// The silence after which members missing from the VM list are removed.
#[derive(Debug, Clone, Copy)]
pub(super) struct RemovalDelays {
    /// The silence required of a member that the list once contained, in milliseconds: 2T + D.
    pub delisted_ms: u64,
    /// The silence required of a member that the list never contained, in milliseconds; longer,
    /// since the list lags.
    pub never_listed_ms: u64,
}

/// The other members of the own failure domain.
#[derive(Debug, Default)]
pub(super) struct Roster {
    entries: BTreeMap<VmKey, RosterEntry>,
    /// Removed members with the time of their last sign of life, so that outdated reports and a
    /// lagging list don't add them again.
    departed: Map<VmKey, u64>,
    has_vm_list: bool,
}

impl Roster {
    /// Returns the members, sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = (VmKey, &RosterEntry)> {
        self.entries.iter().map(|(vm, entry)| (*vm, entry))
    }

    /// Returns the state of a member.
    pub fn get(&self, vm: VmKey) -> Option<&RosterEntry> {
        self.entries.get(&vm)
    }

    /// Returns whether there is no other member.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a VM list of the platform has been applied.
    pub fn has_vm_list(&self) -> bool {
        self.has_vm_list
    }

    /// Adds or updates the members of the own failure domain; new ones are newcomers if this node is
    /// established.
    pub fn update_members(
        &mut self,
        members: &[(VmKey, &Member)],
        is_established: bool,
        now_ms: u64,
    ) {
        for (vm, member) in members {
            if self
                .departed
                .get(vm)
                .is_some_and(|heard_at_ms| member.last_heard_at_ms <= *heard_at_ms)
            {
                continue;
            }
            self.departed.remove(vm);
            let entry =
                self.entries.entry(*vm).or_insert_with(|| RosterEntry::new(is_established, now_ms));
            entry.newcomer &= entry.boot.is_none_or(|boot| boot == member.boot);
            entry.boot = Some(member.boot);
            entry.leaving = member.descriptor.leaving;
            entry.last_heard_at_ms = entry.last_heard_at_ms.max(member.last_heard_at_ms);
        }
    }

    /// Applies the platform's list of other VMs in the own failure domain.
    pub fn apply_vm_list(&mut self, listed: &[VmKey], now_ms: u64, delays: RemovalDelays) {
        self.has_vm_list = true;
        self.departed.retain(|_, heard_at_ms| *heard_at_ms + delays.never_listed_ms > now_ms);
        for vm in listed.iter().filter(|vm| !self.departed.contains_key(vm)) {
            let entry = self.entries.entry(*vm).or_insert_with(|| RosterEntry::new(false, now_ms));
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

    /// Removes the members that are gone and returns their keys.
    pub fn remove_gone(&mut self, now_ms: u64, delays: RemovalDelays) -> Vec<VmKey> {
        let gone: Vec<VmKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_gone(now_ms, delays))
            .map(|(vm, _)| *vm)
            .collect();
        for vm in &gone {
            self.remove(*vm);
        }
        gone
    }

    /// Removes a member and remembers its last sign of life.
    pub fn remove(&mut self, vm: VmKey) {
        if let Some(entry) = self.entries.remove(&vm) {
            self.departed.insert(vm, entry.last_heard_at_ms);
        }
    }

    /// Returns a digest of all members including this node, with their boots and leaving flags;
    /// equal digests mean equal rosters.
    pub fn digest(&self, own_vm: VmKey, own_boot: BootId, own_leaving: bool) -> u64 {
        let mut entries: Vec<_> = self
            .entries
            .iter()
            .map(|(vm, entry)| (*vm, entry.boot, entry.leaving))
            .chain([(own_vm, Some(own_boot), own_leaving)])
            .collect();
        entries.sort_unstable();
        let mut bytes = Vec::with_capacity(entries.len() * 18);
        for (vm, boot, leaving) in entries {
            bytes.extend_from_slice(&vm.0.to_le_bytes());
            bytes.extend_from_slice(&boot.map_or(0, |boot| boot.0).to_le_bytes());
            bytes.extend_from_slice(&[u8::from(boot.is_some()), u8::from(leaving)]);
        }
        Digest::of(&[&bytes]).to_u64()
    }
}

impl RosterEntry {
    fn new(newcomer: bool, added_at_ms: u64) -> Self {
        Self {
            boot: None,
            leaving: false,
            newcomer,
            added_at_ms,
            last_heard_at_ms: 0,
            unlisted_since_ms: None,
            was_listed: false,
        }
    }

    fn is_gone(&self, now_ms: u64, delays: RemovalDelays) -> bool {
        let wait_ms = if self.was_listed { delays.delisted_ms } else { delays.never_listed_ms };
        let Some(unlisted_since_ms) = self.unlisted_since_ms else {
            return false;
        };
        // A member without any sign of life counts as silent since the list omitted it.
        let silent_since_ms =
            if self.boot.is_some() { self.last_heard_at_ms } else { unlisted_since_ms };
        silent_since_ms + wait_ms <= now_ms
    }
}
