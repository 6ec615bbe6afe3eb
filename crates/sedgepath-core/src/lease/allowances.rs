//! Computes this node's allowances from the lease and the slot shares.

use super::{DomainUpstream, UpstreamLease};
use crate::allowance::Allowance;
use crate::key::{UpstreamKey, VmKey};

/// The time after acquiring the lease in which the owner keeps to its share of the connection rate,
/// since other members' connections still count within the same second.
const CONNECTION_RATE_WINDOW_MS: u64 = 1_000;

impl UpstreamLease {
    /// Returns the current limits on this node's use of the upstreams of its failure domain.
    pub fn allowances(&self, now_ms: u64) -> Vec<Allowance> {
        if self.relinquished {
            return Vec::new();
        }
        let lease_expires_at_ms = self.lease_expires_at_ms(now_ms);
        let upstreams = self.upstreams.iter();
        upstreams.filter_map(|entry| self.allowance(entry, lease_expires_at_ms, now_ms)).collect()
    }

    fn allowance(
        &self,
        entry: &DomainUpstream,
        lease_expires_at_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<Allowance> {
        let share_slots = self.usable_share(entry, now_ms);
        let leased_slots = lease_expires_at_ms.map_or(0, |_| self.leased_slots(entry, now_ms));
        if share_slots.max(leased_slots) == 0 {
            return None;
        }
        let own_share = |total: u32| share_of(total, &entry.ranked_members, self.own_vm);
        let uses_lease = leased_slots > share_slots;
        let has_full_rate = self
            .lease_since_ms
            .is_some_and(|since_ms| since_ms + CONNECTION_RATE_WINDOW_MS <= now_ms);
        // An allowance from the slot share expires after T, so that a paused process does not act on
        // outdated information when it resumes.
        let share_expires_at_ms = now_ms + self.settings.suspect_after_ms;
        Some(Allowance {
            upstream: entry.upstream,
            slots: share_slots.max(leased_slots),
            connections: if uses_lease { entry.connections } else { own_share(entry.connections) },
            new_connections_per_s: if uses_lease && has_full_rate {
                entry.new_connections_per_s
            } else {
                own_share(entry.new_connections_per_s)
            },
            send_by_ms: if uses_lease { lease_expires_at_ms? } else { share_expires_at_ms },
        })
    }

    /// Returns the slots that the lease allows this node at an upstream; 0 if it is not the owner.
    fn leased_slots(&self, entry: &DomainUpstream, now_ms: u64) -> u32 {
        let granted_at_ms = |vm: VmKey| self.grants.get(&vm).map(|grant| grant.sent_at_ms);
        if entry.owner != self.own_vm || self.promises.forbid(entry.upstream, now_ms, granted_at_ms)
        {
            return 0;
        }
        if self.predecessor_may_use(entry.upstream, now_ms) {
            return 0;
        }
        let occupied: u32 =
            self.roster.iter().map(|(vm, _)| self.slots_occupied_by(vm, entry, now_ms)).sum();
        entry.slots.saturating_sub(occupied)
    }

    /// Returns the slots of an owned upstream that another member may still occupy.
    fn slots_occupied_by(&self, vm: VmKey, entry: &DomainUpstream, now_ms: u64) -> u32 {
        let Some(grant) = self.grants.get(&vm) else {
            return entry.slots;
        };
        let newcomer = self.roster.get(vm).is_some_and(|entry| entry.newcomer);
        if !grant.predecessor_may_run || newcomer {
            let acknowledged =
                grant.in_flight.iter().find(|in_flight| in_flight.upstream == entry.upstream);
            return acknowledged.map_or(0, |acknowledged| acknowledged.in_flight);
        }
        // The member's previous boot used at most its share if the roster has been stable long
        // enough that all leases and requests under an earlier roster ended before that boot did.
        let wait_ms = 2 * (self.settings.suspect_after_ms + self.longest_deadline_ms);
        let is_roster_stable =
            self.is_established(now_ms) && self.members_changed_at_ms + wait_ms <= now_ms;
        if is_roster_stable {
            share_of(entry.slots, &entry.ranked_members, vm)
        } else {
            entry.slots
        }
    }

    /// Returns whether requests of this node's previous boot may still run at an owned upstream.
    fn predecessor_may_use(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        let no_predecessor = !self.roster.is_empty()
            && self.roster.iter().all(|(vm, _)| {
                self.grants.get(&vm).is_some_and(|grant| grant.receiver_has_no_predecessor)
            });
        self.predecessor_may_run(now_ms)
            && !no_predecessor
            && !self.reported_idle.contains(&upstream)
    }

    /// Returns the slots of an upstream that this node may use without the lease.
    fn usable_share(&self, entry: &DomainUpstream, now_ms: u64) -> u32 {
        let is_forbidden = self.promises.forbid(entry.upstream, now_ms, |_| None);
        if is_forbidden || !self.is_established(now_ms) {
            return 0;
        }
        share_of(entry.slots, &entry.ranked_members, self.own_vm)
    }
}

/// Returns a member's share of a total.
///
/// The shares of all members add up to the total, the first-ranked members receive the remainder of
/// the division, and no share grows when members are added.
pub(super) fn share_of(total: u32, ranked: &[VmKey], vm: VmKey) -> u32 {
    let Some(rank) = ranked.iter().position(|member| *member == vm) else {
        return 0;
    };
    total.saturating_sub(rank as u32).div_ceil(ranked.len() as u32)
}
