//! Upstream leases: how many slots of each upstream this node may use, despite partitions, pauses
//! and crashes.
//!
//! An upstream must never run more requests than its slots. Members may disagree on its owner while
//! one of them is partitioned, clocks are not synchronized, no store is on the request path, and a
//! process may be paused at any instruction.
//!
//! # Rules
//!
//! T is `suspect_after_ms`. D is the longest deadline of the services with upstreams in the domain.
//! The model `slot_split` of the package `sedgepath-model` checks the same rules.
//!
//! - Each upstream has an owner, computed from the roster ([`crate::rendezvous`]).
//! - Each member has a fixed share of an upstream's slots; the shares add up to the slots, and no
//!   share grows when the roster does.
//! - The owner may use all slots while it holds the lease: every other member of its roster has
//!   granted it.
//! - A grant is the acknowledgement of a heartbeat that claims the lease.
//! - A grant expires T after the heartbeat was *sent*, by the holder's clock.
//! - A grant counts only while granter and holder report the same roster, with the boots of its
//!   members.
//! - The lease is checked at each send, so a paused holder resumes without it.
//! - With a grant a member promises not to use the owner's upstreams until 2T + D after it received
//!   the heartbeat; the second T allows for clocks of different rates.
//! - With a grant a member also lists its requests in flight at the owner's upstreams, and the
//!   owner leaves those slots free.
//! - Without the lease a member uses its share of an upstream, unless it has promised not to.
//! - An owner that lacks a grant under its roster for a heartbeat of the last 2T gives up its claim,
//!   and reports [`LeaseClaim::Released`] once it has no more in flight than its share.
//! - `Released` voids the promises to that owner and all grants for heartbeats sent before.
//!   Otherwise, while one member is dead, the live ones would keep each other from their shares.
//! - A new boot does not know what the previous boot promised or started.
//! - A boot uses its share only after boot + 2T + D, and only D after every other member that it
//!   has heard of has reported the same roster, since they may have admitted requests under a
//!   smaller one.
//! - The wait for a listed member that was never heard of is at most `forget_after_ms`.
//! - A boot that was paused for `forget_after_ms` must be confirmed by the other members again.
//! - Until boot + D a boot uses none of the upstreams that it owns.
//! - Until boot + D the owners of other upstreams leave all slots free for a new boot, or only its
//!   share if the roster has been stable long enough that the previous boot cannot have had more.
//! - An upstream's report of no requests in flight that is newer than the boot ends the owner's
//!   wait for that upstream.
//! - These waits until boot + D are skipped for a newcomer if every granter reports that it knows
//!   of no earlier boot: each was established before the newcomer joined, so an earlier boot would
//!   have needed its grant.
//! - A node alone in its roster may use all slots after boot + 2T + D if it has the VM list and the
//!   list contains no other VM of the domain; the model gives such a node nothing.
//!
//! # Limitations
//!
//! The rules don't protect an upstream's slots in these cases:
//!
//! - Two VMs never heard of each other, neither directly, nor through another member, nor by the
//!   list.
//! - A VM is partitioned for longer than `forget_after_ms` and uses its share throughout, while all
//!   other members are replaced by VMs that never hear of it.
//! - A machine's monotonic clock stops while it is suspended, so it resumes with its lease.
//! - A VM is alive, partitioned, and wrongly missing from the platform's list for longer than 2T +
//!   D.

use crate::catalogue::Catalogue;
use crate::event::{ListedVm, UpstreamReport};
use crate::hash::{Map, Set};
use crate::identity::{Identity, NodeSettings};
use crate::key::{BootId, DomainKey, UpstreamKey, VmKey};
use crate::membership::Membership;
use crate::message::{Acknowledgement, Envelope, Heartbeat, LeaseClaim, UpstreamInFlight};
use crate::outbox::Outbox;
use crate::rendezvous;
use crate::timeline::Topic;

mod allowances;
mod promise;
mod roster;

use allowances::share_of;
use promise::{LeaseHolder, Promises};
use roster::{RemovalDelays, Roster};

/// The maximum number of upstreams in an acknowledgement, so that it fits in a datagram. With more
/// upstreams in use, no acknowledgement is sent.
const MAX_ACKNOWLEDGED_UPSTREAMS: usize = 40;

/// The fields of another member's heartbeat that an acknowledgement needs.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedHeartbeat {
    /// The boot that sent the heartbeat.
    pub boot: BootId,
    /// The time of sending, in milliseconds by the sender's clock.
    pub sent_at_ms: u64,
    /// The time of arrival, in milliseconds by this node's clock.
    pub received_at_ms: u64,
    /// The sender's claim to the lease.
    pub claim: LeaseClaim,
    /// The longest deadline with which the sender admits requests, in milliseconds.
    pub longest_deadline_ms: u64,
}

/// A grant of the lease: a member's last acknowledgement.
#[derive(Debug)]
struct Grant {
    sent_at_ms: u64,
    roster_digest: u64,
    longest_deadline_ms: u64,
    in_flight: Vec<UpstreamInFlight>,
    predecessor_may_run: bool,
    receiver_has_no_predecessor: bool,
}

/// An upstream of the own failure domain, with its limits and its owner.
#[derive(Debug)]
struct DomainUpstream {
    upstream: UpstreamKey,
    slots: u32,
    connections: u32,
    new_connections_per_s: u32,
    /// The members of the roster, including this node, by descending rendezvous score.
    ranked_members: Vec<VmKey>,
    owner: VmKey,
    in_flight: u32,
}

/// This node's lease on the upstreams that it owns, and its share of all upstreams of its failure
/// domain.
#[derive(Debug)]
pub struct UpstreamLease {
    settings: NodeSettings,
    own_vm: VmKey,
    boot: BootId,
    domain: DomainKey,
    booted_at_ms: Option<u64>,
    longest_deadline_ms: u64,
    revision: u64,
    upstreams: Vec<DomainUpstream>,
    roster: Roster,
    roster_digest: u64,
    /// The members of the roster, including this node, each with its leaving flag.
    members: Vec<(VmKey, bool)>,
    members_changed_at_ms: u64,
    grants: Map<VmKey, Grant>,
    promises: Promises,
    /// The members that have reported the current roster.
    confirmed_by: Set<VmKey>,
    share_usable_at_ms: Option<u64>,
    claim: LeaseClaim,
    claimed_at_ms: u64,
    lease_since_ms: Option<u64>,
    reported_idle: Set<UpstreamKey>,
    refreshed_at_ms: u64,
    relinquished: bool,
}

impl UpstreamLease {
    /// Creates the state of a new boot, which may not use any upstream yet.
    pub fn new(settings: NodeSettings, identity: &Identity) -> Self {
        Self {
            settings,
            own_vm: identity.vm,
            boot: identity.boot,
            domain: identity.descriptor.domain,
            booted_at_ms: None,
            longest_deadline_ms: 0,
            revision: 0,
            upstreams: Vec::new(),
            roster: Roster::default(),
            roster_digest: 0,
            members: Vec::new(),
            members_changed_at_ms: 0,
            grants: Map::default(),
            promises: Promises::default(),
            confirmed_by: Set::default(),
            share_usable_at_ms: None,
            claim: LeaseClaim::Released,
            claimed_at_ms: 0,
            lease_since_ms: None,
            reported_idle: Set::default(),
            refreshed_at_ms: 0,
            relinquished: false,
        }
    }

    /// Returns the digest of the current roster, for heartbeats.
    pub fn roster_digest(&self) -> u64 {
        self.roster_digest
    }

    /// Returns this node's claim to the lease, for heartbeats.
    pub fn claim(&self) -> LeaseClaim {
        self.claim
    }

    /// Returns the longest deadline with which this node admits requests, in milliseconds.
    pub fn longest_deadline_ms(&self) -> u64 {
        self.longest_deadline_ms
    }

    /// Adds VMs of the platform's list to the roster.
    pub fn apply_vm_list(&mut self, listed: &[ListedVm], now_ms: u64) {
        let in_domain = listed.iter().filter(|vm| DomainKey::of(&vm.domain) == self.domain);
        let others: Vec<_> =
            in_domain.map(|vm| VmKey::of(&vm.name)).filter(|vm| *vm != self.own_vm).collect();
        let delays = self.removal_delays();
        self.roster.apply_vm_list(&others, now_ms, delays);
    }

    /// Records the grant and the claim in a heartbeat of a member of the own failure domain.
    pub fn handle_heartbeat(&mut self, envelope: &Envelope, heartbeat: &Heartbeat) {
        if heartbeat.claim == LeaseClaim::Released {
            self.promises.release(LeaseHolder { vm: envelope.from, boot: envelope.boot });
        }
        let acknowledgement = heartbeat.acknowledgement.as_ref();
        if let Some(acknowledgement) = acknowledgement.filter(|entry| entry.boot == self.boot) {
            let grant = Grant {
                sent_at_ms: acknowledgement.sent_at_ms,
                roster_digest: heartbeat.roster_digest,
                longest_deadline_ms: heartbeat.longest_deadline_ms,
                in_flight: acknowledgement.in_flight.clone(),
                predecessor_may_run: acknowledgement.predecessor_may_run,
                receiver_has_no_predecessor: acknowledgement.receiver_has_no_predecessor,
            };
            self.grants.insert(envelope.from, grant);
        }
    }

    /// Removes a member whose boot has ended its work.
    pub fn handle_boot_ended(&mut self, vm: VmKey, boot: BootId) {
        self.roster.remove(vm);
        self.promises.release(LeaseHolder { vm, boot });
        self.grants.remove(&vm);
    }

    /// Gives up all allowances before a planned stop.
    pub fn relinquish(&mut self) {
        self.relinquished = true;
    }

    /// Returns whether this node had no requests in flight at any upstream of its failure domain at
    /// the last update.
    pub fn is_idle(&self) -> bool {
        self.upstreams.iter().all(|entry| entry.in_flight == 0)
    }

    /// Records an upstream's load report.
    pub fn handle_upstream_report(&mut self, upstream: UpstreamKey, report: &UpstreamReport) {
        let is_newer =
            self.booted_at_ms.is_some_and(|booted_at_ms| report.made_at_ms > booted_at_ms);
        if report.in_flight == Some(0) && is_newer {
            self.reported_idle.insert(upstream);
        }
    }

    /// Updates roster, upstreams and claim. Must be called at each tick before messages are sent.
    pub fn refresh(
        &mut self,
        membership: &Membership,
        catalogue: &Catalogue,
        revision: u64,
        in_flight: impl Fn(UpstreamKey) -> u32,
        out: &mut Outbox,
    ) {
        let now_ms = out.now_ms();
        self.booted_at_ms.get_or_insert(now_ms);
        if !self.has_run_recently(now_ms) {
            self.share_usable_at_ms = None;
            self.confirmed_by.clear();
        }
        self.refreshed_at_ms = now_ms;
        self.promises.expire(now_ms);
        self.update_roster(membership, out);
        if revision != self.revision {
            self.revision = revision;
            self.apply_catalogue(catalogue);
            self.rank_members();
        }
        self.update_in_flight(in_flight);
        self.update_confirmations(now_ms);
        self.update_claim(now_ms);
        self.log_lease_change(out);
    }

    /// Updates this node's requests in flight. Must be called after requests were sent and before
    /// [`Self::acknowledge`].
    pub fn update_in_flight(&mut self, in_flight: impl Fn(UpstreamKey) -> u32) {
        for entry in &mut self.upstreams {
            entry.in_flight = in_flight(entry.upstream);
        }
    }

    /// Acknowledges the last heartbeat of a member and records the promise that a grant implies.
    ///
    /// Returns `None` if the heartbeat is too old to extend the lease, or if too many upstreams of
    /// the member are in use to list them.
    pub fn acknowledge(
        &mut self,
        vm: VmKey,
        heartbeat: ReceivedHeartbeat,
        descriptor_leaving: Option<bool>,
        now_ms: u64,
    ) -> Option<Acknowledgement> {
        if heartbeat.received_at_ms + self.settings.suspect_after_ms <= now_ms {
            return None;
        }
        let owned = || self.upstreams.iter().filter(|entry| entry.owner == vm);
        let in_flight: Vec<_> = owned()
            .filter(|entry| entry.in_flight > 0)
            .map(|entry| UpstreamInFlight { upstream: entry.upstream, in_flight: entry.in_flight })
            .collect();
        if in_flight.len() > MAX_ACKNOWLEDGED_UPSTREAMS {
            return None;
        }
        if heartbeat.claim == LeaseClaim::Requested {
            let longest_deadline_ms = self.longest_deadline_ms.max(heartbeat.longest_deadline_ms);
            let until_ms =
                heartbeat.received_at_ms + 2 * self.settings.suspect_after_ms + longest_deadline_ms;
            let upstreams: Vec<_> = owned().map(|entry| entry.upstream).collect();
            for upstream in upstreams {
                let holder = LeaseHolder { vm, boot: heartbeat.boot };
                self.promises.extend(upstream, holder, now_ms, until_ms);
            }
        }
        Some(Acknowledgement {
            boot: heartbeat.boot,
            sent_at_ms: heartbeat.sent_at_ms,
            descriptor_leaving,
            in_flight,
            predecessor_may_run: self.predecessor_may_run(now_ms),
            receiver_has_no_predecessor: self.roster.get(vm).is_some_and(|entry| entry.newcomer),
        })
    }

    /// Returns whether this boot may use its slot shares.
    fn is_established(&self, now_ms: u64) -> bool {
        let Some(booted_at_ms) = self.booted_at_ms else {
            return false;
        };
        let has_waited = booted_at_ms + self.promise_duration_ms() <= now_ms;
        has_waited
            && self.has_run_recently(now_ms)
            && self.share_usable_at_ms.is_some_and(|from_ms| from_ms <= now_ms)
    }

    /// Returns whether this node has run recently.
    ///
    /// During a long pause all members may have been replaced by VMs that don't know this node and
    /// don't leave its share free, so it must be confirmed again like a new boot.
    fn has_run_recently(&self, now_ms: u64) -> bool {
        self.refreshed_at_ms + self.settings.forget_after_ms > now_ms
    }

    /// Returns whether requests of the previous boot may still be running.
    fn predecessor_may_run(&self, now_ms: u64) -> bool {
        let uncertain_until_ms = self.booted_at_ms.map(|at_ms| at_ms + self.longest_deadline_ms);
        // Without a configuration D is unknown.
        self.revision == 0 || uncertain_until_ms.is_none_or(|until_ms| until_ms > now_ms)
    }

    /// Returns when the lease expires, if all other members have granted it.
    fn lease_expires_at_ms(&self, now_ms: u64) -> Option<u64> {
        if self.roster.is_empty() {
            let is_established = self.is_established(now_ms);
            return is_established.then(|| now_ms + self.settings.suspect_after_ms);
        }
        // Without the VM list, a restarted VM and a newcomer that know only each other could grant
        // each other the lease while a third member, unreachable for both, uses its share.
        if !self.roster.has_vm_list() {
            return None;
        }
        let mut expires_at_ms = u64::MAX;
        for (vm, _) in self.roster.iter() {
            let grant = self.grants.get(&vm)?;
            let is_valid = grant.roster_digest == self.roster_digest
                && grant.sent_at_ms >= self.claimed_at_ms
                && grant.longest_deadline_ms >= self.longest_deadline_ms;
            if !is_valid || self.claim != LeaseClaim::Requested {
                return None;
            }
            expires_at_ms = expires_at_ms.min(grant.sent_at_ms + self.settings.suspect_after_ms);
        }
        (expires_at_ms > now_ms).then_some(expires_at_ms)
    }

    fn update_roster(&mut self, membership: &Membership, out: &mut Outbox) {
        let now_ms = out.now_ms();
        let members = membership.members_in(self.domain);
        let is_established = self.is_established(now_ms);
        self.roster.update_members(&members, is_established, now_ms);
        let delays = self.removal_delays();
        for vm in self.roster.remove_gone(now_ms, delays) {
            self.grants.remove(&vm);
            out.log(Topic::Membership, "member_off_roster", &[("vm", &vm.0)]);
        }
        let leaving = out.identity().descriptor.leaving;
        let mut members: Vec<_> =
            self.roster.iter().map(|(vm, entry)| (vm, entry.leaving)).collect();
        members.push((self.own_vm, leaving));
        members.sort_unstable();
        if members != self.members {
            self.members = members;
            self.members_changed_at_ms = now_ms;
            self.rank_members();
        }
        let digest = self.roster.digest(self.own_vm, self.boot, leaving);
        if digest != self.roster_digest {
            self.roster_digest = digest;
            self.confirmed_by.clear();
        }
    }

    fn apply_catalogue(&mut self, catalogue: &Catalogue) {
        let in_domain = catalogue.upstreams.iter().filter(|(_, entry)| entry.domain == self.domain);
        self.upstreams = in_domain
            .map(|(upstream, entry)| DomainUpstream {
                upstream: *upstream,
                slots: entry.slots,
                connections: entry.connections,
                new_connections_per_s: entry.new_connections_per_s,
                ranked_members: Vec::new(),
                owner: self.own_vm,
                in_flight: 0,
            })
            .collect();
        self.upstreams.sort_unstable_by_key(|entry| entry.upstream);
        let service_keys =
            self.upstreams.iter().map(|entry| catalogue.upstreams[&entry.upstream].service);
        let services = service_keys.filter_map(|service| catalogue.services.get(&service));
        let longest_deadline_ms =
            services.map(|entry| entry.longest_deadline_ms).max().unwrap_or(0);
        // Never reduced within a boot: requests with a longer deadline may still be running.
        self.longest_deadline_ms = self.longest_deadline_ms.max(longest_deadline_ms);
    }

    /// Computes the owner and the member order of each upstream.
    fn rank_members(&mut self) {
        let not_leaving: Vec<_> =
            self.members.iter().filter(|member| !member.1).map(|member| member.0).collect();
        let all: Vec<_> = self.members.iter().map(|member| member.0).collect();
        let candidates = if not_leaving.is_empty() { &all } else { &not_leaving };
        for entry in &mut self.upstreams {
            let item = u64::from(entry.upstream.0);
            entry.owner = rendezvous::owner(item, candidates).unwrap_or(self.own_vm);
            entry.ranked_members.clone_from(&all);
            entry
                .ranked_members
                .sort_unstable_by_key(|vm| std::cmp::Reverse((rendezvous::score(item, vm.0), *vm)));
        }
    }

    /// Records the members that have reported this node's roster; D after all have, the slot shares
    /// may be used.
    fn update_confirmations(&mut self, now_ms: u64) {
        if self.share_usable_at_ms.is_some() || self.revision == 0 {
            return;
        }
        for (vm, grant) in &self.grants {
            if grant.roster_digest == self.roster_digest {
                self.confirmed_by.insert(*vm);
            }
        }
        // A listed VM that was never heard of may never start, so the wait for it is bounded. Its
        // share stays free, and if it was only paused, it must be confirmed again on resuming.
        let mut awaited = self.roster.iter().filter(|(_, entry)| {
            entry.boot.is_some() || entry.added_at_ms + self.settings.forget_after_ms > now_ms
        });
        if self.roster.has_vm_list() && awaited.all(|(vm, _)| self.confirmed_by.contains(&vm)) {
            self.share_usable_at_ms = Some(now_ms + self.longest_deadline_ms);
        }
    }

    /// Claims the lease while every member has recently acknowledged this node with the same
    /// roster.
    fn update_claim(&mut self, now_ms: u64) {
        let recent_since_ms = now_ms.saturating_sub(2 * self.settings.suspect_after_ms);
        let is_acknowledged = self.roster.iter().all(|(vm, _)| {
            let grant = self.grants.get(&vm);
            grant.is_some_and(|grant| {
                grant.sent_at_ms >= recent_since_ms && grant.roster_digest == self.roster_digest
            })
        });
        if is_acknowledged && self.claim != LeaseClaim::Requested {
            self.claim = LeaseClaim::Requested;
            self.claimed_at_ms = now_ms;
        }
        if !is_acknowledged {
            // Includes upstreams owned under an earlier roster: members whose promises end with the
            // release may use their shares there.
            let exceeds_share = self.upstreams.iter().any(|entry| {
                entry.in_flight > share_of(entry.slots, &entry.ranked_members, self.own_vm)
            });
            self.claim = if exceeds_share { LeaseClaim::Releasing } else { LeaseClaim::Released };
        }
    }

    fn log_lease_change(&mut self, out: &mut Outbox) {
        let now_ms = out.now_ms();
        let holds_lease = self.lease_expires_at_ms(now_ms).is_some();
        if holds_lease != self.lease_since_ms.is_some() {
            self.lease_since_ms = holds_lease.then_some(now_ms);
            let event = if holds_lease { "right_whole" } else { "right_part" };
            out.log(Topic::Admission, event, &[("members", &self.members.len())]);
        }
    }

    /// Returns how long a promise lasts after the heartbeat's arrival, in milliseconds: 2T + D.
    fn promise_duration_ms(&self) -> u64 {
        2 * self.settings.suspect_after_ms + self.longest_deadline_ms
    }

    fn removal_delays(&self) -> RemovalDelays {
        let promise_duration_ms = self.promise_duration_ms();
        RemovalDelays {
            delisted_ms: promise_duration_ms,
            never_listed_ms: promise_duration_ms.max(self.settings.forget_after_ms),
        }
    }
}
