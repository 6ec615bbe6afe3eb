//! The right to upstreams: how much of each this node may use, although links are cut, members are
//! paused and processes die.
//!
//! # Problem
//!
//! No upstream may ever run more requests than its slots. One owner per upstream that counts exactly
//! is enough while all members of a failure domain agree on the owner. They don't while a member is
//! cut off: it still counts itself the owner while the others have chosen the next one. No clock is
//! shared, no store is on the path, and a process may be paused at any instruction.
//!
//! # The rules
//!
//! With T = `suspect_after_ms` and D the longest deadline of the services with upstreams in the
//! domain; the model `slot_split` of the package `sedgepath-model` explores the same rules.
//!
//! - Each upstream has an owner by the roster ([`crate::rendezvous`]), and each member a fixed part of
//!   its slots; the parts add up to the slots, and no part grows when the roster does.
//! - The owner may use all slots while every other member of its roster has granted it. A grant is the
//!   acknowledgement of a heartbeat that claims the right. It ends T after the heartbeat was *sent*,
//!   by the holder's clock, and counts only while granter and holder name the same roster, with the
//!   boots of its members. It is checked at each send, so a paused holder wakes without it.
//! - With its grant a member promises not to touch the owner's upstreams until 2T + D after it
//!   received the heartbeat (the second T is for clocks of different rates), and names what it still
//!   has in flight there; the owner leaves these slots free.
//! - Without the right a member uses its part of an upstream, except while it has promised not to.
//! - An owner that lacks a grant for long gives its claim up, and says so once it has no more in flight
//!   than its part ([`LeaseClaim::Released`]); promises to it are void then, and all grants for heartbeats
//!   sent before. Without this rule the members that are alive would keep each other from the parts of
//!   their upstreams for as long as one of them is dead: of 42, each upstream would lose 41 parts.
//! - A boot forgets what the last one promised and started. It uses its part only after boot + 2T + D,
//!   only once every other member that it has heard of has named the same roster to it, and D after
//!   that, since they may have admitted requests by a smaller roster before. A member that is listed
//!   but was never heard of is waited for no longer than `forget_after_ms`, or one VM that fails to
//!   start would keep a fresh domain from serving; a boot that was paused for so long asks anew.
//!   Until boot + D it uses
//!   nothing of its own upstreams, and the owners of others leave all slots of theirs free for it, or
//!   only its part if the roster had stood long enough that it can't have had more. A report of none
//!   in flight that is newer than the boot ends the wait for the own upstream.
//! - A newcomer is spared these waits if every granter says that it heard of no earlier boot: each was
//!   established before the newcomer entered, so an earlier boot would have needed its consent.
//! - A node alone in its roster may use all after boot + 2T + D, if it has read the VM list since its
//!   boot and that names no other VM of the domain. The model gives such a node nothing, as it has no
//!   list; a failure domain with one VM could then serve nothing.
//!
//! # What it costs
//!
//! - A fresh domain serves after D plus three heartbeats where members hear each other, a lone VM
//!   after 2T + D. The last wait can't be cut by the table telling that no other boot was ever
//!   registered in the domain without a registration that each boot must finish before it serves;
//!   with the table down no VM could then start to serve.
//! - While one of `n` members is dead and listed, its part of each upstream is idle: 1/n. For 2T + D
//!   after its death its own upstreams are idle altogether.
//! - While a link between two members is cut, no member that lacks a grant has whole upstreams, which
//!   costs nothing where work is spread by the parts: these add up to the slots.
//!
//! # What is not covered
//!
//! - Two VMs that never heard of each other, neither directly, nor by another member, nor by the list.
//! - A VM that is cut off for longer than `forget_after_ms`, while all others of its domain are
//!   replaced by VMs that never hear of it, and which uses its part all the while.
//! - A machine whose monotonic clock stands still while it is suspended: it wakes with its right.
//! - A VM that is alive, cut off, and wrongly off the platform's list for longer than 2T + D.

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

mod promise;
mod roster;
mod usable;

use promise::{Holder, Promises};
use roster::{Roster, Waits};
use usable::part_of;

/// The most upstreams whose requests in flight an acknowledgement names; with more to name none is
/// given, since a datagram could not hold them.
const MAX_NAMED: usize = 40;

/// A heartbeat of another member, as far as this node acknowledges it.
#[derive(Debug, Clone, Copy)]
pub struct HeardBeat {
    /// The boot that sent it.
    pub boot: BootId,
    /// When it was sent, by the sender's clock.
    pub sent_at_ms: u64,
    /// When it arrived, by this node's clock.
    pub heard_at_ms: u64,
    /// What it claims.
    pub claim: LeaseClaim,
    /// The longest deadline by which its sender admits, in milliseconds.
    pub longest_deadline_ms: u64,
}

/// A member's last acknowledgement.
#[derive(Debug)]
struct Grant {
    sent_at_ms: u64,
    roster: u64,
    longest_deadline_ms: u64,
    in_flight: Vec<UpstreamInFlight>,
    young: bool,
    newcomer: bool,
}

/// An upstream of the own failure domain.
#[derive(Debug)]
struct Share {
    upstream: UpstreamKey,
    slots: u32,
    connections: u32,
    new_connections_per_s: u32,
    /// The members of the roster, the node itself among them, in the order of their ranks.
    ranked: Vec<VmKey>,
    owner: VmKey,
    in_flight: u32,
}

/// The node's right to the upstreams of its failure domain.
#[derive(Debug)]
pub struct UpstreamLease {
    settings: NodeSettings,
    own: VmKey,
    boot: BootId,
    domain: DomainKey,
    booted_at_ms: Option<u64>,
    longest_deadline_ms: u64,
    revision: u64,
    shares: Vec<Share>,
    roster: Roster,
    digest: u64,
    names: Vec<(VmKey, bool)>,
    names_changed_at_ms: u64,
    grants: Map<VmKey, Grant>,
    promises: Promises,
    confirmed: Set<VmKey>,
    part_from_ms: Option<u64>,
    claim: LeaseClaim,
    claimed_at_ms: u64,
    whole_since_ms: Option<u64>,
    reported_idle: Set<UpstreamKey>,
    refreshed_at_ms: u64,
    ended: bool,
}

impl UpstreamLease {
    /// Creates the right of a boot, which has nothing yet.
    pub fn new(settings: NodeSettings, identity: &Identity) -> Self {
        Self {
            settings,
            own: identity.vm,
            boot: identity.boot,
            domain: identity.card.domain,
            booted_at_ms: None,
            longest_deadline_ms: 0,
            revision: 0,
            shares: Vec::new(),
            roster: Roster::default(),
            digest: 0,
            names: Vec::new(),
            names_changed_at_ms: 0,
            grants: Map::default(),
            promises: Promises::default(),
            confirmed: Set::default(),
            part_from_ms: None,
            claim: LeaseClaim::Released,
            claimed_at_ms: 0,
            whole_since_ms: None,
            reported_idle: Set::default(),
            refreshed_at_ms: 0,
            ended: false,
        }
    }

    /// Returns the digest of the roster.
    pub fn roster_digest(&self) -> u64 {
        self.digest
    }

    /// Returns what this node does about its right to whole upstreams.
    pub fn claim(&self) -> LeaseClaim {
        self.claim
    }

    /// Returns the longest deadline by which this node admits and promises, in milliseconds.
    pub fn longest_deadline_ms(&self) -> u64 {
        self.longest_deadline_ms
    }

    /// Takes in the platform's list of VMs.
    pub fn apply_vm_list(&mut self, listed: &[ListedVm], now_ms: u64) {
        let here = listed.iter().filter(|vm| DomainKey::of(&vm.domain) == self.domain);
        let others: Vec<_> =
            here.map(|vm| VmKey::of(&vm.name)).filter(|vm| *vm != self.own).collect();
        let waits = self.waits();
        self.roster.take_list(&others, now_ms, waits);
    }

    /// Takes in a heartbeat of a member of the own failure domain.
    pub fn handle_heartbeat(&mut self, envelope: &Envelope, heartbeat: &Heartbeat) {
        if heartbeat.claim == LeaseClaim::Released {
            self.promises.release(Holder { vm: envelope.from, boot: envelope.boot });
        }
        let acknowledgement = heartbeat.acknowledgement.as_ref();
        if let Some(acknowledgement) = acknowledgement.filter(|entry| entry.boot == self.boot) {
            let grant = Grant {
                sent_at_ms: acknowledgement.sent_at_ms,
                roster: heartbeat.roster_digest,
                longest_deadline_ms: heartbeat.longest_deadline_ms,
                in_flight: acknowledgement.in_flight.clone(),
                young: acknowledgement.predecessor_may_run,
                newcomer: acknowledgement.receiver_has_no_predecessor,
            };
            self.grants.insert(envelope.from, grant);
        }
    }

    /// Takes in that a boot has ended its work for good.
    pub fn handle_boot_ended(&mut self, vm: VmKey, boot: BootId) {
        self.roster.remove(vm);
        self.promises.release(Holder { vm, boot });
        self.grants.remove(&vm);
    }

    /// Gives up everything: the process is about to end as planned.
    pub fn relinquish(&mut self) {
        self.ended = true;
    }

    /// Whether this node had nothing in flight at any upstream of its failure domain at the last tick.
    pub fn is_idle(&self) -> bool {
        self.shares.iter().all(|share| share.in_flight == 0)
    }

    /// Takes in an upstream's word on its load.
    pub fn handle_upstream_report(&mut self, upstream: UpstreamKey, report: &UpstreamReport) {
        let newer = self.booted_at_ms.is_some_and(|booted_at_ms| report.made_at_ms > booted_at_ms);
        if report.in_flight == Some(0) && newer {
            self.reported_idle.insert(upstream);
        }
    }

    /// Brings roster, shares and claim up to date; to be called at each tick before anything is told
    /// to others.
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
        if !self.was_awake(now_ms) {
            self.part_from_ms = None;
            self.confirmed.clear();
        }
        self.refreshed_at_ms = now_ms;
        self.promises.expire(now_ms);
        self.take_roster(membership, out);
        if revision != self.revision {
            self.revision = revision;
            self.take_catalogue(catalogue);
            self.rank();
        }
        self.update_in_flight(in_flight);
        self.confirm(now_ms);
        self.decide_claim(now_ms);
        self.note_whole(out);
    }

    /// Takes in the requests that this node has in flight; to be called after anything was sent and
    /// before [`Self::acknowledge`].
    pub fn update_in_flight(&mut self, in_flight: impl Fn(UpstreamKey) -> u32) {
        for share in &mut self.shares {
            share.in_flight = in_flight(share.upstream);
        }
    }

    /// Acknowledges the last heartbeat of a member, and promises what goes with it.
    ///
    /// No acknowledgement is given where the heartbeat is too old for a right to follow from it.
    pub fn acknowledge(
        &mut self,
        vm: VmKey,
        beat: HeardBeat,
        card_leaving: Option<bool>,
        now_ms: u64,
    ) -> Option<Acknowledgement> {
        if beat.heard_at_ms + self.settings.suspect_after_ms <= now_ms {
            return None;
        }
        let owned = || self.shares.iter().filter(|share| share.owner == vm);
        let in_flight: Vec<_> = owned()
            .filter(|share| share.in_flight > 0)
            .map(|share| UpstreamInFlight { upstream: share.upstream, in_flight: share.in_flight })
            .collect();
        if in_flight.len() > MAX_NAMED {
            return None;
        }
        if beat.claim == LeaseClaim::Requested {
            let longest_ms = self.longest_deadline_ms.max(beat.longest_deadline_ms);
            let until_ms = beat.heard_at_ms + 2 * self.settings.suspect_after_ms + longest_ms;
            let upstreams: Vec<_> = owned().map(|share| share.upstream).collect();
            for upstream in upstreams {
                let holder = Holder { vm, boot: beat.boot };
                self.promises.make(upstream, holder, now_ms, until_ms);
            }
        }
        Some(Acknowledgement {
            boot: beat.boot,
            sent_at_ms: beat.sent_at_ms,
            descriptor_leaving: card_leaving,
            in_flight,
            predecessor_may_run: self.is_young(now_ms),
            receiver_has_no_predecessor: self.roster.get(vm).is_some_and(|entry| entry.newcomer),
        })
    }

    /// Whether this boot may use its parts.
    fn is_established(&self, now_ms: u64) -> bool {
        let Some(booted_at_ms) = self.booted_at_ms else {
            return false;
        };
        let waited = booted_at_ms + self.promise_ms() <= now_ms;
        waited
            && self.was_awake(now_ms)
            && self.part_from_ms.is_some_and(|from_ms| from_ms <= now_ms)
    }

    /// Whether this node has run lately.
    ///
    /// One that was paused for very long may wake to find all members replaced by others that never
    /// heard of it and no longer leave its part free, so it asks for confirmation as a boot does.
    fn was_awake(&self, now_ms: u64) -> bool {
        self.refreshed_at_ms + self.settings.forget_after_ms > now_ms
    }

    /// Whether requests of the last boot may still run.
    fn is_young(&self, now_ms: u64) -> bool {
        let young_until_ms = self.booted_at_ms.map(|at_ms| at_ms + self.longest_deadline_ms);
        // Without a configuration D is not known yet.
        self.revision == 0 || young_until_ms.is_none_or(|until_ms| until_ms > now_ms)
    }

    /// Returns the time until which all others have granted the right, if they have.
    fn whole_until_ms(&self, now_ms: u64) -> Option<u64> {
        if self.roster.is_empty() {
            let alone = self.is_established(now_ms);
            return alone.then(|| now_ms + self.settings.suspect_after_ms);
        }
        // Two boots that know only each other, a restarted VM and a newcomer, would grant each other
        // whole upstreams while a third member that both can't hear uses its part. The platform's
        // list, read here or by a peer, names that one, and it then has to grant too.
        if !self.roster.list_seen() {
            return None;
        }
        let mut until_ms = u64::MAX;
        for (vm, _) in self.roster.iter() {
            let grant = self.grants.get(&vm)?;
            let counts = grant.roster == self.digest
                && grant.sent_at_ms >= self.claimed_at_ms
                && grant.longest_deadline_ms >= self.longest_deadline_ms;
            if !counts || self.claim != LeaseClaim::Requested {
                return None;
            }
            until_ms = until_ms.min(grant.sent_at_ms + self.settings.suspect_after_ms);
        }
        (until_ms > now_ms).then_some(until_ms)
    }

    fn take_roster(&mut self, membership: &Membership, out: &mut Outbox) {
        let now_ms = out.now_ms();
        let members = membership.members_in(self.domain);
        let established = self.is_established(now_ms);
        self.roster.take_members(&members, established, now_ms);
        let waits = self.waits();
        for vm in self.roster.remove_gone(now_ms, waits) {
            self.grants.remove(&vm);
            out.log(Topic::Membership, "member_off_roster", &[("vm", &vm.0)]);
        }
        let leaving = out.identity().card.leaving;
        let mut names: Vec<_> = self.roster.iter().map(|(vm, entry)| (vm, entry.leaving)).collect();
        names.push((self.own, leaving));
        names.sort_unstable();
        if names != self.names {
            self.names = names;
            self.names_changed_at_ms = now_ms;
            self.rank();
        }
        let digest = self.roster.digest(self.own, self.boot, leaving);
        if digest != self.digest {
            self.digest = digest;
            self.confirmed.clear();
        }
    }

    fn take_catalogue(&mut self, catalogue: &Catalogue) {
        let here = catalogue.upstreams.iter().filter(|(_, entry)| entry.domain == self.domain);
        self.shares = here
            .map(|(upstream, entry)| Share {
                upstream: *upstream,
                slots: entry.slots,
                connections: entry.connections,
                new_connections_per_s: entry.new_connections_per_s,
                ranked: Vec::new(),
                owner: self.own,
                in_flight: 0,
            })
            .collect();
        self.shares.sort_unstable_by_key(|share| share.upstream);
        let services = self.shares.iter().map(|share| catalogue.upstreams[&share.upstream].service);
        let deadlines = services.filter_map(|service| catalogue.services.get(&service));
        let longest_ms = deadlines.map(|entry| entry.longest_deadline_ms).max().unwrap_or(0);
        // Never lowered in a boot: requests admitted by a longer deadline may still run.
        self.longest_deadline_ms = self.longest_deadline_ms.max(longest_ms);
    }

    /// Ranks the members of the roster for each upstream.
    fn rank(&mut self) {
        let staying: Vec<_> = self.names.iter().filter(|name| !name.1).map(|name| name.0).collect();
        let all: Vec<_> = self.names.iter().map(|name| name.0).collect();
        let candidates = if staying.is_empty() { &all } else { &staying };
        for share in &mut self.shares {
            let item = u64::from(share.upstream.0);
            share.owner = rendezvous::owner(item, candidates).unwrap_or(self.own);
            share.ranked.clone_from(&all);
            share
                .ranked
                .sort_unstable_by_key(|vm| std::cmp::Reverse((rendezvous::score(item, vm.0), *vm)));
        }
    }

    /// Notes which members have named the same roster; once all have, the part may be used D later.
    fn confirm(&mut self, now_ms: u64) {
        if self.part_from_ms.is_some() || self.revision == 0 {
            return;
        }
        for (vm, grant) in &self.grants {
            if grant.roster == self.digest {
                self.confirmed.insert(*vm);
            }
        }
        // A VM that is listed and was never heard of may never start, so it is not waited for for
        // ever; its part stays free. Should it be paused, it does not use its part on waking.
        let mut awaited = self.roster.iter().filter(|(_, entry)| {
            entry.boot.is_some() || entry.entered_at_ms + self.settings.forget_after_ms > now_ms
        });
        if self.roster.list_seen() && awaited.all(|(vm, _)| self.confirmed.contains(&vm)) {
            self.part_from_ms = Some(now_ms + self.longest_deadline_ms);
        }
    }

    /// Claims the right while each member has lately acknowledged this node under the same roster.
    fn decide_claim(&mut self, now_ms: u64) {
        let lately_ms = now_ms.saturating_sub(2 * self.settings.suspect_after_ms);
        let reachable = self.roster.iter().all(|(vm, _)| {
            let grant = self.grants.get(&vm);
            grant.is_some_and(|grant| grant.sent_at_ms >= lately_ms && grant.roster == self.digest)
        });
        if reachable && self.claim != LeaseClaim::Requested {
            self.claim = LeaseClaim::Requested;
            self.claimed_at_ms = now_ms;
        }
        if !reachable {
            // At upstreams that it owned by an earlier roster, too: whoever it promised nothing to,
            // or has been released by this word, may take its own part there.
            let over = self
                .shares
                .iter()
                .any(|share| share.in_flight > part_of(share.slots, &share.ranked, self.own));
            self.claim = if over { LeaseClaim::Releasing } else { LeaseClaim::Released };
        }
    }

    fn note_whole(&mut self, out: &mut Outbox) {
        let now_ms = out.now_ms();
        let whole = self.whole_until_ms(now_ms).is_some();
        if whole != self.whole_since_ms.is_some() {
            self.whole_since_ms = whole.then_some(now_ms);
            let event = if whole { "right_whole" } else { "right_part" };
            out.log(Topic::Admission, event, &[("members", &self.names.len())]);
        }
    }

    /// Returns how long a promise outlasts the heartbeat, in milliseconds: 2T + D.
    fn promise_ms(&self) -> u64 {
        2 * self.settings.suspect_after_ms + self.longest_deadline_ms
    }

    fn waits(&self) -> Waits {
        let gone_after_ms = self.promise_ms();
        Waits { gone_after_ms, never_listed_ms: gone_after_ms.max(self.settings.forget_after_ms) }
    }
}
