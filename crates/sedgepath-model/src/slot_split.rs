//! Model of the slots of an upstream, shared by the entry VMs of a failure domain.
//!
//! Links may be cut, and members may be paused or crash. At no time may more requests be in flight
//! than the upstream has slots. Nodes compare no clocks; each only measures its own intervals.
//!
//! # Rules
//!
//! T is how long a grant is valid, and D is the longest deadline of a request. By the roster of
//! members, each upstream has one owner and each member a fixed share of its slots; the shares add
//! up to the slots.
//!
//! - The owner may use all slots while it holds a grant of every other member of its roster.
//! - A grant is the response to a heartbeat, is valid until T after the heartbeat was *sent*, and
//!   counts only if it names the same roster as the owner has.
//! - With its grant, a member promises not to use the upstream until 2T + D after it received the
//!   heartbeat.
//! - The grant reports what the member still has in flight, and the owner leaves these slots free.
//! - A member without an outstanding promise, and an owner without the grants, use their shares.
//! - A boot does not know the promises and requests of the previous boot, so it uses no upstream of
//!   another owner until boot + 2T + D, and no upstream of its own until boot + D.
//! - Until boot + D, a boot reports its whole share as in flight, or all slots where the roster
//!   changes.
//! - Where the roster changes, it lists the members with their boots.
//! - A boot takes its roster from an established member, directly or through others.
//! - A boot uses its share only once every other member of its roster has named the same roster to
//!   it, and D has passed since.
//! - A member that learns of a larger roster reduces its use to its smaller share at once.
//! - A member that the platform's list confirms as gone is removed from the roster after another 2T
//!   + D, by boots with a confirmed roster; the others learn of it from these boots.
//! - An owner that has been up for D and has no more in flight than its share may release its
//!   lease, along with all grants for heartbeats that it sent before.
//! - A member that receives a release is free of its promise, unless it has received a later
//!   heartbeat.
//!
//! Every node that uses a slot is thus on the roster of every other node that does, and no share
//! grows with the roster, so shares in use never exceed the slots while rosters differ.
//!
//! # Property
//!
//! Requests in flight at the upstream, including those of ended boots, never exceed its slots
//! ([`Violation::Overload`]).
//!
//! # Scope
//!
//! One upstream; T is one tick, and D is longer, so that a promise does not cover the last request
//! by chance. One message is in flight between an owner and a member at a time. Requests hold their
//! slot until their deadline, and restarts take no time. A newcomer always becomes the owner, which
//! is the worst case of rendezvous hashing. Not modeled: clocks of different rates, several failed
//! members, reports of no request in flight, and the restart of a whole domain.

mod state;

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

pub use state::{Grant, InFlightRequests, Link, NodeState, ReleaseMessage, Roster, State};

type ModelSteps = Steps<Action, State>;

const MAX_NODES: usize = 4;
/// T: how long a grant is valid after its heartbeat was sent.
const LEASE_TICKS: u8 = 1;
/// D: the longest deadline of a request.
const DEADLINE_TICKS: u8 = 2;
/// 2T + D: how long a grant binds the member, and how long a boot is bound by the grants of its
/// predecessor.
const PROMISE_TICKS: u8 = 2 * LEASE_TICKS + DEADLINE_TICKS;

/// The boot number of a permanently failed member. It is the highest, so that it wins when rosters
/// are merged.
const REMOVED_BOOT: u8 = u8::MAX;

/// A node, by index.
pub type Node = usize;

/// A rule of the protocol that a model can omit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// The promise covers the longest deadline beyond 2T.
    DeadlineInPromise,
    /// The lease is measured from the time at which the heartbeat was sent.
    LeaseFromSendTime,
    /// A grant reports the slots that its member has in flight.
    InFlightReported,
    /// A boot uses its share only after all requests of the previous boot have ended.
    MemberWaitsAtBoot,
    /// That wait also covers every promise of the previous boot.
    BootWaitCoversPromise,
    /// An owner uses no slot until the requests of its previous boot have ended.
    OwnerWaitsAtBoot,
    /// Until D after its boot, a member reports its whole share as in flight.
    ShareReportedAtBoot,
    /// Where the roster changes, a member reports all slots instead of its share.
    AllSlotsReportedAtBoot,
    /// A grant that names another roster is ignored.
    SameRoster,
    /// A boot learns the roster only from nodes that have it from an established member.
    RosterFromMember,
    /// A boot uses its share only after all other members have confirmed its roster.
    RosterConfirmed,
    /// After that confirmation, a boot waits for the requests admitted by a smaller roster.
    WaitAfterConfirmation,
    /// A roster distinguishes the boots of its members.
    RosterNamesBoots,
    /// A failed member stays on the roster until its requests have ended.
    WaitBeforeRemoval,
    /// Only a boot with a confirmed roster removes a member.
    RemovalByConfirmedBoot,
    /// An owner releases its lease only when it has no more in flight than its share.
    DrainedBeforeRelease,
    /// A boot releases no lease until the requests of the previous boot have ended.
    WaitBeforeRelease,
    /// A release voids all grants for heartbeats sent before it.
    ReleaseVoidsGrants,
    /// A release is ignored if the member has received a later heartbeat.
    LateReleaseIgnored,
    /// The deadline is fixed when a request is admitted, so that a pause before the send shortens
    /// it.
    DeadlineFixedAtCheck,
}

impl Safeguard {
    /// All safeguards, in the order of the report.
    pub const ALL: [Self; 20] = [
        Self::DeadlineInPromise,
        Self::LeaseFromSendTime,
        Self::InFlightReported,
        Self::MemberWaitsAtBoot,
        Self::BootWaitCoversPromise,
        Self::OwnerWaitsAtBoot,
        Self::ShareReportedAtBoot,
        Self::AllSlotsReportedAtBoot,
        Self::SameRoster,
        Self::RosterFromMember,
        Self::RosterConfirmed,
        Self::WaitAfterConfirmation,
        Self::RosterNamesBoots,
        Self::WaitBeforeRemoval,
        Self::RemovalByConfirmedBoot,
        Self::DrainedBeforeRelease,
        Self::WaitBeforeRelease,
        Self::ReleaseVoidsGrants,
        Self::LateReleaseIgnored,
        Self::DeadlineFixedAtCheck,
    ];
}

/// A broken property.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// More requests are in flight at the upstream than it has slots.
    Overload,
}

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Time advances by one tick.
    Tick,
    /// The owner sends a heartbeat to the member.
    SendHeartbeat(Node, Node),
    /// The owner's heartbeat reaches the member, which sends a grant.
    ReceiveHeartbeat(Node, Node),
    /// The member's grant reaches the owner.
    ReceiveGrant(Node, Node),
    /// The owner's heartbeat and the member's grant are exchanged in one step.
    ExchangeHeartbeat(Node, Node),
    /// The first node receives the roster of the second.
    ReceiveRoster(Node, Node),
    /// The node admits a request and sends it.
    CheckAndSend(Node),
    /// The node admits a request and is paused before it sends the request.
    Check(Node),
    /// The node resumes and sends all admitted requests.
    Send(Node),
    /// The owner releases its lease and notifies the members.
    ReleaseLease(Node),
    /// The owner's release reaches the member.
    ReceiveRelease(Node, Node),
    /// The node fails permanently.
    FailPermanently(Node),
    /// The first node removes the failed second node from its roster.
    RemoveFromRoster(Node, Node),
    /// The node crashes and boots again.
    Restart(Node),
}

/// Delivery of heartbeats and grants that are not lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// Up to this many ticks after the heartbeat was sent.
    Within(u8),
    /// The heartbeat and its grant in one step.
    Atomic,
}

/// A model of the slot split.
#[derive(Debug, Clone)]
pub struct SlotSplitModel {
    members: usize,
    newcomers: usize,
    slots: u8,
    restarts: u8,
    allows_removal: bool,
    allows_releases: bool,
    allows_pauses: bool,
    delivery: Delivery,
    variant: Variant<Safeguard, Violation>,
}

impl SlotSplitModel {
    /// Creates a model of one to three members that share an upstream of `slots` slots, with all
    /// safeguards. The roster is fixed and nothing restarts.
    pub fn new(members: usize, slots: u8) -> Self {
        Self {
            members: members.clamp(1, MAX_NODES - 1),
            newcomers: 0,
            slots,
            restarts: 0,
            allows_removal: false,
            allows_releases: false,
            allows_pauses: false,
            delivery: Delivery::Within(LEASE_TICKS),
            variant: Variant::new(),
        }
    }

    /// Adds newcomers, up to four nodes in all. The members do not know them at first, and every
    /// boot has to learn the roster.
    pub fn with_newcomers(self, newcomers: usize) -> Self {
        let newcomers = newcomers.min(MAX_NODES - self.members);
        Self { newcomers, ..self }
    }

    /// Sets the number of restarts of all nodes together.
    pub fn with_restarts(self, restarts: u8) -> Self {
        Self { restarts, ..self }
    }

    /// Lets one node fail permanently, which the platform's VM list confirms to other nodes at any
    /// later time.
    pub fn with_removal(self) -> Self {
        Self { allows_removal: true, ..self }
    }

    /// Lets the owner release its lease. Explored on a fixed roster only.
    pub fn with_releases(self) -> Self {
        Self { allows_releases: true, ..self }
    }

    /// Lets nodes be paused between the admission of a request and its send.
    pub fn with_pauses(self) -> Self {
        Self { allows_pauses: true, ..self }
    }

    /// Sets how long after a heartbeat was sent it or its grant may arrive, instead of T.
    pub fn with_message_ticks(self, message_ticks: u8) -> Self {
        Self { delivery: Delivery::Within(message_ticks), ..self }
    }

    /// Exchanges each heartbeat and its grant in one step or loses both, so that more nodes can be
    /// explored.
    pub fn with_atomic_heartbeats(self) -> Self {
        Self { delivery: Delivery::Atomic, ..self }
    }

    /// Omits one safeguard.
    pub fn without_safeguard(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.without_safeguard(removed), ..self }
    }

    /// Creates a small model in which omitting `removed` causes a violation.
    pub fn smallest_without(removed: Safeguard) -> Self {
        let changing_roster = |members, newcomers, restarts| {
            let model = Self::new(members, 2).with_newcomers(newcomers).with_restarts(restarts);
            model.with_atomic_heartbeats()
        };
        let model = match removed {
            Safeguard::AllSlotsReportedAtBoot => changing_roster(1, 1, 1),
            Safeguard::SameRoster => changing_roster(1, 2, 0),
            Safeguard::RosterFromMember
            | Safeguard::RosterConfirmed
            | Safeguard::WaitAfterConfirmation => changing_roster(2, 1, 0),
            Safeguard::RosterNamesBoots => changing_roster(2, 1, 1),
            Safeguard::DrainedBeforeRelease
            | Safeguard::ReleaseVoidsGrants
            | Safeguard::LateReleaseIgnored => Self::new(2, 2).with_releases(),
            Safeguard::WaitBeforeRelease => Self::new(2, 2).with_releases().with_restarts(1),
            Safeguard::RemovalByConfirmedBoot => changing_roster(1, 2, 0).with_removal(),
            Safeguard::WaitBeforeRemoval => Self::new(2, 2).with_removal(),
            _ => {
                let fixed = Self::new(2, 2).with_restarts(1).with_pauses();
                fixed.with_message_ticks(2 * LEASE_TICKS)
            }
        };
        model.without_safeguard(removed)
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.variant.enforces(safeguard)
    }

    fn roster_is_fixed(&self) -> bool {
        self.newcomers == 0
    }

    fn nodes(&self) -> usize {
        self.members + self.newcomers
    }

    /// Returns the owner of the upstream by a roster.
    fn owner(&self, roster: Roster) -> Node {
        let newest = roster.members().last().filter(|&newest| newest >= self.members);
        newest.or_else(|| roster.members().next()).unwrap_or_default()
    }

    /// Returns a member's share of the slots by a roster. The owner ranks first, then the others in
    /// order. No share grows when the roster does.
    fn share(&self, node: Node, roster: Roster) -> u8 {
        let owner = self.owner(roster);
        let before = roster.other_members(owner).filter(|&other| other < node).count() as u8;
        let rank = if node == owner { 0 } else { before + 1 };
        self.slots.saturating_sub(rank).div_ceil(roster.len() as u8)
    }

    /// Returns whether a node may rely on its roster.
    ///
    /// Two boots that know only each other would agree on a roster of two while the established
    /// members use theirs.
    fn trusts_roster(&self, current: &NodeState) -> bool {
        current.roster_from_member || !self.enforces(Safeguard::RosterFromMember)
    }

    /// Returns the number of slots that a node may use now.
    fn allowance(&self, state: &State, node: Node) -> u8 {
        let current = &state.nodes[node];
        if !self.trusts_roster(current) {
            return 0;
        }
        if current.promise_ticks_left > 0 {
            return 0;
        }
        if self.owner(current.roster) == node {
            self.owner_allowance(current, node)
        } else {
            self.member_allowance(current, node)
        }
    }

    fn owner_allowance(&self, current: &NodeState, node: Node) -> u8 {
        // The previous boot may have filled the upstream just before it ended.
        if current.uptime_ticks < DEADLINE_TICKS && self.enforces(Safeguard::OwnerWaitsAtBoot) {
            return 0;
        }
        let reported_slots: Option<u8> = current
            .roster
            .other_members(node)
            .map(|other| current.grants[other].map(|grant| grant.in_flight_slots))
            .sum();
        let leased_slots = reported_slots.map_or(0, |reported| self.slots.saturating_sub(reported));
        leased_slots.max(self.usable_share(current, node))
    }

    fn member_allowance(&self, current: &NodeState, node: Node) -> u8 {
        // The previous boot may have sent a grant, or requests, just before it ended.
        let wait_ticks = if !self.enforces(Safeguard::MemberWaitsAtBoot) {
            0
        } else if self.enforces(Safeguard::BootWaitCoversPromise) {
            PROMISE_TICKS
        } else {
            DEADLINE_TICKS
        };
        if current.uptime_ticks < wait_ticks {
            return 0;
        }
        self.usable_share(current, node)
    }

    /// Returns the share that a node may use without a grant.
    ///
    /// Shares add up to the slots only if all nodes compute them from the same roster.
    fn usable_share(&self, current: &NodeState, node: Node) -> u8 {
        let confirmed = match current.share_usable_in_ticks {
            // Members may have admitted requests by the smaller roster before.
            Some(ticks) => ticks == 0 || !self.enforces(Safeguard::WaitAfterConfirmation),
            None => !self.enforces(Safeguard::RosterConfirmed),
        };
        if confirmed { self.share(node, current.roster) } else { 0 }
    }

    /// Returns the slots that a member reports as in flight in its grant.
    fn reported_in_flight(&self, current: &NodeState, node: Node) -> u8 {
        // A promise does not end requests that are in flight already.
        if !self.enforces(Safeguard::InFlightReported) {
            return 0;
        }
        // The requests of the previous boot are unknown. On a fixed roster, they are at most the
        // share; otherwise, that boot may have had a larger share or the lease.
        if current.uptime_ticks >= DEADLINE_TICKS || !self.enforces(Safeguard::ShareReportedAtBoot)
        {
            current.occupied_slots()
        } else if self.roster_is_fixed() || !self.enforces(Safeguard::AllSlotsReportedAtBoot) {
            self.share(node, current.roster)
        } else {
            self.slots
        }
    }

    /// Adds the heartbeats and grants between an owner and a member.
    fn link_steps(&self, state: &State, owner: Node, member: Node, steps: &mut ModelSteps) {
        let holder = &state.nodes[owner];
        let is_owner = self.owner(holder.roster) == owner && holder.roster.contains(member);
        let sends = is_owner && self.trusts_roster(holder) && !holder.is_paused();
        if self.delivery == Delivery::Atomic {
            if sends && !state.nodes[member].is_paused() {
                steps.add(Action::ExchangeHeartbeat(owner, member), |s| {
                    self.exchange_heartbeat(s, owner, member);
                });
            }
            return;
        }
        if sends {
            steps.add(Action::SendHeartbeat(owner, member), |s| {
                let roster = s.nodes[owner].roster;
                s.links[owner][member] = Link::Heartbeat { age_ticks: 0, roster };
                mark_heartbeat_sent(&mut s.releases[owner][member]);
            });
        }
        match state.links[owner][member] {
            Link::Heartbeat { age_ticks, roster } if !state.nodes[member].is_paused() => {
                steps.add(Action::ReceiveHeartbeat(owner, member), |s| {
                    s.links[owner][member] =
                        self.handle_heartbeat(s, owner, member, age_ticks, roster);
                });
            }
            Link::Grant { age_ticks, roster, in_flight_slots } if !holder.is_paused() => {
                steps.add(Action::ReceiveGrant(owner, member), |s| {
                    s.links[owner][member] = Link::Idle;
                    self.handle_grant(
                        &mut s.nodes[owner],
                        (owner, member),
                        age_ticks,
                        roster,
                        in_flight_slots,
                    );
                });
            }
            Link::Idle | Link::Heartbeat { .. } | Link::Grant { .. } => {}
        }
    }

    /// Delivers a heartbeat and its grant in one step.
    fn exchange_heartbeat(&self, state: &mut State, owner: Node, member: Node) {
        let roster = state.nodes[owner].roster;
        mark_heartbeat_sent(&mut state.releases[owner][member]);
        let response = self.handle_heartbeat(state, owner, member, 0, roster);
        if let Link::Grant { age_ticks, roster, in_flight_slots } = response {
            self.handle_grant(
                &mut state.nodes[owner],
                (owner, member),
                age_ticks,
                roster,
                in_flight_slots,
            );
        }
    }

    /// Handles a heartbeat and returns the member's grant, if any.
    fn handle_heartbeat(
        &self,
        state: &mut State,
        owner: Node,
        member: Node,
        age_ticks: u8,
        roster: Roster,
    ) -> Link {
        if state.releases[owner][member] == ReleaseMessage::HeartbeatSent {
            state.releases[owner][member] = ReleaseMessage::Superseded;
        }
        let current = &mut state.nodes[member];
        current.roster_from_member = true;
        current.merge_roster(roster);
        if self.owner(current.roster) != owner {
            return Link::Idle;
        }
        // A request admitted at the end of the lease holds its slot for its whole deadline.
        let ticks = if self.enforces(Safeguard::DeadlineInPromise) {
            PROMISE_TICKS
        } else {
            PROMISE_TICKS - DEADLINE_TICKS
        };
        current.promise_ticks_left = current.promise_ticks_left.max(ticks);
        let in_flight_slots = self.reported_in_flight(current, member);
        Link::Grant { age_ticks, roster: current.roster, in_flight_slots }
    }

    /// Handles a grant.
    ///
    /// A grant counts only for the same roster: a newcomer that knows only some members would
    /// otherwise hold every grant that it needs while unknown members use their shares.
    fn handle_grant(
        &self,
        holder: &mut NodeState,
        (owner, member): (Node, Node),
        age_ticks: u8,
        roster: Roster,
        in_flight_slots: u8,
    ) {
        if self.enforces(Safeguard::SameRoster) {
            holder.merge_roster(roster);
            if holder.roster != roster {
                return;
            }
        }
        holder.record_confirmation(owner, member);
        // The member's promise starts when it receives the heartbeat, so the grant's time in flight
        // shortens the lease.
        let counted_age_ticks =
            if self.enforces(Safeguard::LeaseFromSendTime) { age_ticks } else { 0 };
        if let Some(ticks_left) = LEASE_TICKS.checked_sub(counted_age_ticks) {
            holder.grants[member] = Some(Grant { ticks_left, in_flight_slots });
        }
    }

    /// Adds the steps by which a node learns the rosters of others without a grant.
    fn roster_steps(&self, state: &State, node: Node, other: Node, steps: &mut ModelSteps) {
        let current = &state.nodes[node];
        if current.is_paused() || self.roster_is_fixed() {
            return;
        }
        let sender = &state.nodes[other];
        if !self.trusts_roster(sender) {
            return;
        }
        steps.add(Action::ReceiveRoster(node, other), |s| {
            let current = &mut s.nodes[node];
            current.roster_from_member = true;
            current.merge_roster(sender.roster);
            if current.share_usable_in_ticks.is_none() && current.roster == sender.roster {
                current.record_confirmation(node, other);
            }
        });
    }

    fn request_steps(&self, state: &State, node: Node, steps: &mut ModelSteps) {
        let current = &state.nodes[node];
        if current.is_paused() {
            steps.add(Action::Send(node), |s| {
                self.send_checked(&mut s.nodes[node]);
            });
        }
        if current.occupied_slots() >= self.allowance(state, node) {
            return;
        }
        if self.allows_pauses {
            steps.add(Action::Check(node), |s| {
                s.nodes[node].checked_requests.add(DEADLINE_TICKS);
            });
        }
        if !current.is_paused() {
            steps.add(Action::CheckAndSend(node), |s| {
                s.nodes[node].in_flight.add(DEADLINE_TICKS);
            });
        }
    }

    /// Sends the requests admitted before a pause.
    ///
    /// The pause may outlast the lease, so the requests have to end as if there had been no pause.
    fn send_checked(&self, current: &mut NodeState) {
        let checked = std::mem::replace(&mut current.checked_requests, InFlightRequests::NONE);
        if self.enforces(Safeguard::DeadlineFixedAtCheck) {
            current.in_flight.add_all(checked);
        } else {
            for _ in 0..checked.count() {
                current.in_flight.add(DEADLINE_TICKS);
            }
        }
    }

    /// Clears state that no longer has any effect, so that equivalent states are equal.
    fn normalize(&self, state: &mut State) {
        for node in 0..self.nodes() {
            let current = &mut state.nodes[node];
            let is_owner = self.owner(current.roster) == node;
            if current.share_usable_in_ticks.is_some() {
                current.confirmed_by = 0;
            }
            // The heartbeat that superseded the release has renewed the promise.
            if self.enforces(Safeguard::LateReleaseIgnored) {
                for release in &mut state.releases[node] {
                    if *release == ReleaseMessage::Superseded {
                        *release = ReleaseMessage::Idle;
                    }
                }
            }
            // Shares never grow unless a member is removed, so a promise not to use a share of zero
            // has no effect.
            if !is_owner && !self.allows_removal && self.share(node, current.roster) == 0 {
                current.promise_ticks_left = 0;
            }
            // Grants for a node that is not the owner have no effect. Losing its heartbeats only
            // omits promises.
            if !is_owner {
                state.links[node] = [Link::Idle; MAX_NODES];
            }
        }
    }

    /// Adds the steps by which an owner releases its lease and members receive the release.
    ///
    /// While a member is dead, the lease cannot be renewed, and promises to the owner would leave
    /// slots idle.
    fn release_steps(&self, state: &State, owner: Node, steps: &mut ModelSteps) {
        let current = &state.nodes[owner];
        if !self.allows_releases || self.owner(current.roster) != owner {
            return;
        }
        // Members use their shares as soon as they receive the release.
        let drained = current.occupied_slots() <= self.share(owner, current.roster)
            || !self.enforces(Safeguard::DrainedBeforeRelease);
        // The previous boot may have filled the upstream, guarded only by the members' promises.
        let waited =
            current.uptime_ticks >= DEADLINE_TICKS || !self.enforces(Safeguard::WaitBeforeRelease);
        if drained && waited && !current.is_paused() {
            steps.add(Action::ReleaseLease(owner), |s| self.release_lease(s, owner));
        }
        for member in current.roster.other_members(owner) {
            let release = state.releases[owner][member];
            if release != ReleaseMessage::Idle && !state.nodes[member].is_paused() {
                steps.add(Action::ReceiveRelease(owner, member), |s| {
                    s.releases[owner][member] = ReleaseMessage::Idle;
                    s.nodes[member].promise_ticks_left = 0;
                });
            }
        }
    }

    /// Releases the lease. A grant in flight must not restore it, as its member is about to drop
    /// the promise.
    fn release_lease(&self, state: &mut State, owner: Node) {
        if self.enforces(Safeguard::ReleaseVoidsGrants) {
            state.nodes[owner].grants = [None; MAX_NODES];
            state.links[owner] = [Link::Idle; MAX_NODES];
        }
        for member in state.nodes[owner].roster.other_members(owner) {
            state.releases[owner][member] = ReleaseMessage::InFlight;
        }
    }

    /// Adds the permanent failure of a node and its removal from the rosters of others.
    fn removal_steps(&self, state: &State, node: Node, steps: &mut ModelSteps) {
        let Some((failed, failed_ticks)) = state.failed_node else {
            if self.allows_removal {
                steps.add(Action::FailPermanently(node), |s| {
                    s.orphaned_requests.add_all(s.nodes[node].in_flight);
                    s.nodes[node] = NodeState::after_boot(node, REMOVED_BOOT);
                    s.links[node] = [Link::Idle; MAX_NODES];
                    s.failed_node = Some((node, 0));
                });
            }
            return;
        };
        // Requests of the failed node still hold slots, and nobody would report them after its
        // removal.
        let waited = failed_ticks == PROMISE_TICKS || !self.enforces(Safeguard::WaitBeforeRemoval);
        let current = &state.nodes[node];
        // An unconfirmed boot may hold an old roster, and the failed member may be the only one
        // that could have updated it.
        let may_remove = current.share_usable_in_ticks.is_some()
            || !self.enforces(Safeguard::RemovalByConfirmedBoot);
        if waited && may_remove && current.roster.contains(failed) && !current.is_paused() {
            steps.add(Action::RemoveFromRoster(node, failed), |s| {
                let current = &mut s.nodes[node];
                current.merge_roster(current.roster.without(failed));
            });
        }
    }

    /// Returns the state of the boot after one that held the roster `last`.
    fn node_after_restart(&self, node: Node, last: Roster) -> NodeState {
        if self.roster_is_fixed() {
            return NodeState { uptime_ticks: 0, ..NodeState::established_member(node, last) };
        }
        // The new boot may learn an older roster than the previous boot confirmed. Without boot
        // numbers, others would take that confirmation for one of the new boot.
        let boot = last.boot_number(node) + u8::from(self.enforces(Safeguard::RosterNamesBoots));
        NodeState::after_boot(node, boot)
    }

    fn restart_step(&self, state: &State, node: Node, steps: &mut ModelSteps) {
        if state.remaining_restarts == 0 {
            return;
        }
        steps.add(Action::Restart(node), |s| {
            s.remaining_restarts -= 1;
            s.orphaned_requests.add_all(s.nodes[node].in_flight);
            s.nodes[node] = self.node_after_restart(node, s.nodes[node].roster);
        });
    }
}

/// Marks a release in flight as followed by a heartbeat.
fn mark_heartbeat_sent(release: &mut ReleaseMessage) {
    if *release == ReleaseMessage::InFlight {
        *release = ReleaseMessage::HeartbeatSent;
    }
}

impl Model for SlotSplitModel {
    type State = State;
    type Action = Action;
    type Violation = Violation;

    fn initial_states(&self) -> Vec<State> {
        let roster = Roster::from_members(0..self.members);
        let mut nodes = [NodeState::after_boot(0, 0); MAX_NODES];
        for (node, state) in nodes.iter_mut().enumerate().take(self.members) {
            *state = NodeState::established_member(node, roster);
        }
        for (node, state) in nodes.iter_mut().enumerate().skip(self.members) {
            *state = NodeState::after_boot(node, 1);
        }
        vec![State {
            nodes,
            links: [[Link::Idle; MAX_NODES]; MAX_NODES],
            orphaned_requests: InFlightRequests::NONE,
            releases: [[ReleaseMessage::Idle; MAX_NODES]; MAX_NODES],
            remaining_restarts: self.restarts,
            failed_node: None,
        }]
    }

    fn steps(&self, state: &State) -> Vec<Step<Action, State>> {
        let mut steps = Steps::new(state);
        let deadline_fixed = self.enforces(Safeguard::DeadlineFixedAtCheck);
        let message_ticks = match self.delivery {
            Delivery::Within(ticks) => ticks,
            Delivery::Atomic => 0,
        };
        steps.add(Action::Tick, |s| s.tick(deadline_fixed, message_ticks));
        let has_failed = |node| state.failed_node.is_some_and(|(failed, _)| failed == node);
        for node in (0..self.nodes()).filter(|&node| !has_failed(node)) {
            for other in (0..self.nodes()).filter(|&other| other != node && !has_failed(other)) {
                self.link_steps(state, node, other, &mut steps);
                self.roster_steps(state, node, other, &mut steps);
            }
            self.request_steps(state, node, &mut steps);
            self.restart_step(state, node, &mut steps);
            self.release_steps(state, node, &mut steps);
            self.removal_steps(state, node, &mut steps);
        }
        let mut steps = steps.into_vec();
        for step in &mut steps {
            self.normalize(&mut step.next);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        self.variant
            .first_violation([Violation::Overload], |_| state.total_in_flight() > self.slots)
    }
}
