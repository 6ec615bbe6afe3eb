//! How much of each upstream the right and the parts leave to this node at a moment.

use super::{Share, UpstreamLease};
use crate::allowance::Allowance;
use crate::key::{UpstreamKey, VmKey};

/// The time in which an owner that has got the right opens connections at the rate of its part only:
/// what others opened just before counts within the same second.
const RATE_WINDOW_MS: u64 = 1_000;

impl UpstreamLease {
    /// Returns what this node may use of the upstreams of its failure domain at this moment.
    pub fn allowances(&self, now_ms: u64) -> Vec<Allowance> {
        if self.ended {
            return Vec::new();
        }
        let whole_until_ms = self.whole_until_ms(now_ms);
        let shares = self.shares.iter();
        shares.filter_map(|share| self.allowance(share, whole_until_ms, now_ms)).collect()
    }

    fn allowance(
        &self,
        share: &Share,
        whole_until_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<Allowance> {
        let part = self.usable_part(share, now_ms);
        let whole = whole_until_ms.map_or(0, |_| self.usable_whole(share, now_ms));
        if part.max(whole) == 0 {
            return None;
        }
        let by_part = |total: u32| part_of(total, &share.ranked, self.own);
        let by_right = whole > part;
        let whole_rate =
            self.whole_since_ms.is_some_and(|since_ms| since_ms + RATE_WINDOW_MS <= now_ms);
        // A decision by a part is void after T, so that one that a pause held up for longer than
        // anything heard of was true is not carried out.
        let part_until_ms = now_ms + self.settings.suspect_after_ms;
        Some(Allowance {
            upstream: share.upstream,
            slots: part.max(whole),
            connections: if by_right { share.connections } else { by_part(share.connections) },
            new_connections_per_s: if by_right && whole_rate {
                share.new_connections_per_s
            } else {
                by_part(share.new_connections_per_s)
            },
            send_by_ms: if by_right { whole_until_ms? } else { part_until_ms },
        })
    }

    /// Returns the slots of an owned upstream that the grants leave to this node.
    fn usable_whole(&self, share: &Share, now_ms: u64) -> u32 {
        let granted_at_ms = |vm: VmKey| self.grants.get(&vm).map(|grant| grant.sent_at_ms);
        if share.owner != self.own || self.promises.bind(share.upstream, now_ms, granted_at_ms) {
            return 0;
        }
        if self.may_have_left(share.upstream, now_ms) {
            return 0;
        }
        let named: u32 = self.roster.iter().map(|(vm, _)| self.named(vm, share, now_ms)).sum();
        share.slots.saturating_sub(named)
    }

    /// Returns the slots of an owned upstream that a member may still hold.
    fn named(&self, vm: VmKey, share: &Share, now_ms: u64) -> u32 {
        let Some(grant) = self.grants.get(&vm) else {
            return share.slots;
        };
        let newcomer = self.roster.get(vm).is_some_and(|entry| entry.newcomer);
        if !grant.young || newcomer {
            let named = grant.in_flight.iter().find(|named| named.upstream == share.upstream);
            return named.map_or(0, |named| named.in_flight);
        }
        // The member's last boot used its part at most if the roster has stood for so long that
        // all rights and requests by an earlier one had ended before that boot did.
        let wait_ms = 2 * (self.settings.suspect_after_ms + self.longest_deadline_ms);
        let stood = self.is_established(now_ms) && self.names_changed_at_ms + wait_ms <= now_ms;
        if stood { part_of(share.slots, &share.ranked, vm) } else { share.slots }
    }

    /// Whether the last boot of this node may have left requests running at an owned upstream.
    fn may_have_left(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        let known_new = !self.roster.is_empty()
            && self
                .roster
                .iter()
                .all(|(vm, _)| self.grants.get(&vm).is_some_and(|grant| grant.newcomer));
        self.is_young(now_ms) && !known_new && !self.reported_idle.contains(&upstream)
    }

    /// Returns the part of an upstream's slots that this node may use without any grant.
    fn usable_part(&self, share: &Share, now_ms: u64) -> u32 {
        let bound = self.promises.bind(share.upstream, now_ms, |_| None);
        if bound || !self.is_established(now_ms) {
            return 0;
        }
        part_of(share.slots, &share.ranked, self.own)
    }
}

/// Returns a member's part of a total: the parts of all members add up to it, those that rank first
/// have one more where it can't be divided evenly, and no part grows when members are added.
pub(super) fn part_of(total: u32, ranked: &[VmKey], vm: VmKey) -> u32 {
    let Some(place) = ranked.iter().position(|member| *member == vm) else {
        return 0;
    };
    total.saturating_sub(place as u32).div_ceil(ranked.len() as u32)
}
