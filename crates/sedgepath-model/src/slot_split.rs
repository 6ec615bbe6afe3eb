//! The slots of an upstream, shared by the entry VMs of a failure domain that may not hear each
//! other.
//!
//! # Problem
//!
//! An upstream has a few slots and several entry VMs that could fill them. One of them, the owner,
//! should use all slots; yet when links are cut, a member is paused, or one has crashed, the others
//! cannot tell which of these it is, and must go on with what surely belongs to them. At no moment
//! may more requests be in flight at the upstream than it has slots. No clock is compared between
//! nodes; each only measures intervals of its own.
//!
//! # The rules
//!
//! Each upstream has one owner by the roster of members, and each member a fixed part of its slots;
//! the parts add up to the slots.
//!
//! - The owner may use all slots while every other member of its roster has granted it. A grant is
//!   the answer to a heartbeat. It counts until T after the heartbeat was *sent*, and only if it
//!   names the roster that the owner has.
//! - With its grant a member promises not to touch the upstream until 2T + D after it received the
//!   heartbeat, D being the longest deadline of a request. The grant names what the member still
//!   has in flight there; the owner leaves these slots free.
//! - A member without a promise outstanding, and an owner without the grants, use their part.
//! - A boot knows neither promises nor requests of the last one. It touches nothing of another
//!   owner until boot + 2T + D. Until boot + D it uses nothing of its own, and names its whole part
//!   as in flight; where the roster changes, all slots.
//! - Where the roster changes, it lists members with their boots. A boot takes it from a
//!   long-standing member, directly or through others. It uses its part only once every other
//!   member of its roster has named the same roster to it, and D has passed since. A member that
//!   learns of a larger roster goes down to its smaller part at once.
//! - A member that the platform's list confirms gone is taken off the roster after another 2T + D,
//!   by boots whose roster was confirmed; the others hear it from these.
//! - An owner that has no more in flight than its part, and has been up for D, may give its right
//!   up, with all grants for heartbeats that it sent before. A member that hears of it is free of
//!   its promise, unless it has received a later heartbeat since. (Explored on a fixed roster.)
//!
//! (On a changing roster the wait for 2T + D is implied by the confirmation: without it the search
//! found no violation in four sizes. It is kept, and shown to be needed on a fixed roster.)
//!
//! What the rules for the roster keep up: every node that uses a slot is on the roster of every
//! other one that does, and no part is larger by a larger roster. So the parts in use never add up
//! to more than the slots, even while rosters differ.
//!
//! # Ways weighed
//!
//! - *The right counted from the receipt of the grant*: a grant that is late on its way gives a
//!   right that outlives the promise ([`Safeguard::RightFromSent`]).
//! - *A rebooted member names its own part only*: enough while the roster stays as it is, not when
//!   the last boot had a larger part or was the owner ([`Safeguard::AllSlotsNamedAtBoot`]).
//! - *A roster from whoever answers first*: two boots that know only each other agree on a roster
//!   of two ([`Safeguard::RosterFromMember`]).
//! - *A newcomer takes its part as soon as it knows the roster*: the others may still use theirs of
//!   the smaller roster ([`Safeguard::RosterConfirmed`]).
//! - *A roster without boots*: what the last boot of a member has confirmed would be held to bind
//!   the next one, which may know an older roster ([`Safeguard::RosterNamesBoots`]).
//! - *Anyone takes a gone member off*: two newcomers who had the roster from that member, each
//!   before it knew of the other, would both go on alone ([`Safeguard::RemovalByConfirmed`]).
//!
//! # Property
//!
//! Requests in flight at the upstream, those of boots that have ended included, never exceed its
//! slots ([`Violation::Overload`]).
//!
//! # How it is modelled
//!
//! One upstream; time in ticks, with T = 1 and D = 2. Any number of other steps happens between two
//! ticks. D is longer than T, or the promise would cover the last request by chance. All counters
//! are what is left, so the state space is finite without an end of time. Between an owner and a
//! member one heartbeat or grant is under way at a time; it is lost or comes up to T late. (A
//! heartbeat that is older only makes its member promise more, and its grant gives no right; the
//! variant in which it would is explored with later ones.) Requests hold their slot until their
//! deadline; one that ends earlier holds less. The order that decides who gets which part is the
//! least lucky one that rendezvous hashing can give: the newcomer comes first and takes the
//! upstream over.
//!
//! With a fixed roster every boot knows it, and uses its part once its wait is over. Where
//! newcomers join, every boot, also a restarted one, has to learn the roster and to have it
//! confirmed.
//!
//! # Left out
//!
//! Several upstreams (each is shared out on its own; heartbeats only couple their timing); clocks
//! that run at different rates (the second T of the promise is for them: with equal rates, as here,
//! a promise of T + D showed no violation either); more than one member that leaves; an upstream
//! that reports none in flight; statements of the roster that come late other than in grants; a
//! domain all of whose members restart at once, which has to take the roster from the platform's
//! list (of newcomers whose only source of the roster is gone, too); a list that calls a member
//! gone which is not. A restart takes no time, the worst case for what the last boot left. The
//! upstream is taken to end a request at its deadline, which was fixed before the check; a deadline
//! that the upstream counts from its receipt would be [`Safeguard::DeadlineFixedAtCheck`] left out.

mod state;

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

pub use state::{Grant, InFlight, Link, NodeState, Release, Roster, State};

type ModelSteps = Steps<Action, State>;

/// Nodes at most.
const NODES: usize = 4;
/// T: how long a grant counts after its heartbeat was sent.
const RIGHT_TICKS: u8 = 1;
/// D: the longest deadline of a request.
const DEADLINE_TICKS: u8 = 2;
/// How long a grant binds the member, and a boot all that its last one may have promised.
const PROMISE_TICKS: u8 = 2 * RIGHT_TICKS + DEADLINE_TICKS;

/// The boot number of a member that is gone for good. It is the highest, so that it prevails
/// wherever rosters are joined.
const GONE: u8 = u8::MAX;

/// A node, by index.
pub type Node = usize;

/// A rule that the protocol relies on; the model can leave one out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// The promise lasts for the longest deadline beyond 2T.
    DeadlineInPromise,
    /// The right counts from the time the heartbeat was sent.
    RightFromSent,
    /// A grant names what its member has in flight.
    InFlightNamed,
    /// A boot uses its part only when all that the last one left running is over.
    MemberWaitsAtBoot,
    /// It waits longer, until all that the last one may have promised is over too.
    PromiseInWaitAtBoot,
    /// A boot counts what the last one may have left running as owner.
    OwnerWaitsAtBoot,
    /// A boot names at least its part as in flight until D has passed.
    PartNamedAtBoot,
    /// Where the roster changes, a boot names all slots instead of its part.
    AllSlotsNamedAtBoot,
    /// Grants that name another roster do not count.
    SameRoster,
    /// A boot learns the roster only from nodes that have it from a long-standing member.
    RosterFromMember,
    /// A boot uses its part only once all others have named its roster.
    RosterConfirmed,
    /// It then waits for requests that were admitted before.
    WaitAfterConfirmed,
    /// A roster tells the boots of its members apart.
    RosterNamesBoots,
    /// A member that is confirmed gone stays on the roster until what it left running is over.
    WaitBeforeRemoval,
    /// Only a boot whose roster was confirmed takes a member off it.
    RemovalByConfirmed,
    /// An owner gives its right up only when it has no more in flight than its part.
    DrainedBeforeRelease,
    /// A boot gives no right up before what the last one left running is over.
    WaitBeforeRelease,
    /// Grants for heartbeats sent before a release do not count after it.
    ReleaseVoidsGrants,
    /// A release that a later heartbeat has overtaken is ignored.
    OldReleaseIgnored,
    /// The deadline is fixed before the check, so that a pause before the send shortens the
    /// request.
    DeadlineFixedAtCheck,
}

impl Safeguard {
    /// All safeguards, in the order in which they are reported.
    pub const ALL: [Self; 20] = [
        Self::DeadlineInPromise,
        Self::RightFromSent,
        Self::InFlightNamed,
        Self::MemberWaitsAtBoot,
        Self::PromiseInWaitAtBoot,
        Self::OwnerWaitsAtBoot,
        Self::PartNamedAtBoot,
        Self::AllSlotsNamedAtBoot,
        Self::SameRoster,
        Self::RosterFromMember,
        Self::RosterConfirmed,
        Self::WaitAfterConfirmed,
        Self::RosterNamesBoots,
        Self::WaitBeforeRemoval,
        Self::RemovalByConfirmed,
        Self::DrainedBeforeRelease,
        Self::WaitBeforeRelease,
        Self::ReleaseVoidsGrants,
        Self::OldReleaseIgnored,
        Self::DeadlineFixedAtCheck,
    ];
}

/// What the search looks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// More requests are in flight at the upstream than it has slots.
    Overload,
}

/// What can happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Time passes.
    Tick,
    /// The owner sends a heartbeat to the member.
    SendHeartbeat(Node, Node),
    /// The owner's heartbeat reaches the member, which grants.
    GetHeartbeat(Node, Node),
    /// The grant reaches the owner from the member.
    GetGrant(Node, Node),
    /// The owner's heartbeat and the member's grant are exchanged at once.
    ExchangeHeartbeat(Node, Node),
    /// The first node hears the roster of the second.
    HearRoster(Node, Node),
    /// The node finds that it may send a request, and sends it.
    CheckAndSend(Node),
    /// The node finds that it may send a request, and is paused before it does.
    Check(Node),
    /// The node wakes and sends what it has checked.
    Send(Node),
    /// The owner gives its right up and tells the members.
    GiveUpRight(Node),
    /// The owner's release reaches the member.
    GetRelease(Node, Node),
    /// The node is gone for good.
    Vanish(Node),
    /// The first node is told that the second is gone, and takes it off its roster.
    Remove(Node, Node),
    /// The node crashes and boots.
    Restart(Node),
}

/// How heartbeats and grants arrive, if they do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// Up to so many ticks after the heartbeat was sent.
    Within(u8),
    /// A heartbeat and its grant in one step.
    Atomic,
}

/// The model of the slot split.
#[derive(Debug, Clone)]
pub struct SlotSplitModel {
    members: usize,
    newcomers: usize,
    slots: u8,
    restarts: u8,
    removal: bool,
    releases: bool,
    pauses: bool,
    delivery: Delivery,
    variant: Variant<Safeguard, Violation>,
}

impl SlotSplitModel {
    /// Creates the model of one to three members that share an upstream of `slots` slots, with all
    /// safeguards. Nobody restarts, and the roster is fixed: every boot knows it.
    pub fn new(members: usize, slots: u8) -> Self {
        Self {
            members: members.clamp(1, NODES - 1),
            newcomers: 0,
            slots,
            restarts: 0,
            removal: false,
            releases: false,
            pauses: false,
            delivery: Delivery::Within(RIGHT_TICKS),
            variant: Variant::new(),
        }
    }

    /// Adds newcomers, whom the members do not know at first; four nodes in all at most. Every boot
    /// then has to learn the roster.
    pub fn with_newcomers(self, newcomers: usize) -> Self {
        let newcomers = newcomers.min(NODES - self.members);
        Self { newcomers, ..self }
    }

    /// Lets nodes restart so many times in all.
    pub fn with_restarts(self, restarts: u8) -> Self {
        Self { restarts, ..self }
    }

    /// Lets one node be gone for good, which the platform's list confirms to the others at some
    /// time.
    pub fn with_removal(self) -> Self {
        Self { removal: true, ..self }
    }

    /// Lets the owner give its right up. Explored on a fixed roster only.
    pub fn with_releases(self) -> Self {
        Self { releases: true, ..self }
    }

    /// Lets nodes be paused between the check and the send.
    pub fn with_pauses(self) -> Self {
        Self { pauses: true, ..self }
    }

    /// Lets heartbeats and grants arrive up to so many ticks after the heartbeat was sent, not only
    /// up to T.
    pub fn with_message_ticks(self, message_ticks: u8) -> Self {
        Self { delivery: Delivery::Within(message_ticks), ..self }
    }

    /// Lets a heartbeat and its grant be exchanged in one step or not at all, so that more nodes
    /// can be explored.
    pub fn with_atomic_heartbeats(self) -> Self {
        Self { delivery: Delivery::Atomic, ..self }
    }

    /// Leaves out one safeguard.
    pub fn with_removed(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.with_removed(removed), ..self }
    }

    /// Creates the smallest model in which leaving out `removed` shows: with a fixed roster, or
    /// with the members, newcomers and restarts that the rule is about.
    pub fn smallest_without(removed: Safeguard) -> Self {
        let changing = |members, newcomers, restarts| {
            let model = Self::new(members, 2).with_newcomers(newcomers).with_restarts(restarts);
            model.with_atomic_heartbeats()
        };
        let model = match removed {
            Safeguard::AllSlotsNamedAtBoot => changing(1, 1, 1),
            Safeguard::SameRoster => changing(1, 2, 0),
            Safeguard::RosterFromMember
            | Safeguard::RosterConfirmed
            | Safeguard::WaitAfterConfirmed => changing(2, 1, 0),
            Safeguard::RosterNamesBoots => changing(2, 1, 1),
            Safeguard::DrainedBeforeRelease
            | Safeguard::ReleaseVoidsGrants
            | Safeguard::OldReleaseIgnored => Self::new(2, 2).with_releases(),
            Safeguard::WaitBeforeRelease => Self::new(2, 2).with_releases().with_restarts(1),
            Safeguard::RemovalByConfirmed => changing(1, 2, 0).with_removal(),
            Safeguard::WaitBeforeRemoval => Self::new(2, 2).with_removal(),
            _ => {
                let fixed = Self::new(2, 2).with_restarts(1).with_pauses();
                fixed.with_message_ticks(2 * RIGHT_TICKS)
            }
        };
        model.with_removed(removed)
    }

    fn keeps(&self, safeguard: Safeguard) -> bool {
        self.variant.keeps(safeguard)
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

    /// Returns a node's part of the slots by a roster that it is on. The owner ranks first, then
    /// the others in order. No part grows when the roster does.
    fn part(&self, node: Node, roster: Roster) -> u8 {
        let owner = self.owner(roster);
        let before = roster.others(owner).filter(|&other| other < node).count() as u8;
        let rank = if node == owner { 0 } else { before + 1 };
        self.slots.saturating_sub(rank).div_ceil(roster.len() as u8)
    }

    /// Says whether a node may rely on its roster.
    ///
    /// A node that knows of no other would need nobody's grant, and two boots that know only each
    /// other would agree on a roster of two, while the long-standing members go on with theirs.
    fn trusts_roster(&self, current: &NodeState) -> bool {
        current.rooted || !self.keeps(Safeguard::RosterFromMember)
    }

    /// Returns the slots that a node may use in all at this moment.
    fn allowance(&self, state: &State, node: Node) -> u8 {
        let current = &state.nodes[node];
        if !self.trusts_roster(current) {
            return 0;
        }
        if current.promised > 0 {
            return 0;
        }
        if self.owner(current.roster) == node {
            self.owner_allowance(current, node)
        } else {
            self.member_allowance(current, node)
        }
    }

    fn owner_allowance(&self, current: &NodeState, node: Node) -> u8 {
        // The last boot may have filled the upstream just before it ended. Until those requests are
        // over the new boot would add its own to them.
        if current.age < DEADLINE_TICKS && self.keeps(Safeguard::OwnerWaitsAtBoot) {
            return 0;
        }
        let named: Option<u8> = current
            .roster
            .others(node)
            .map(|other| current.grants[other].map(|grant| grant.named))
            .sum();
        let by_right = named.map_or(0, |named| self.slots.saturating_sub(named));
        by_right.max(self.usable_part(current, node))
    }

    fn member_allowance(&self, current: &NodeState, node: Node) -> u8 {
        // The last boot may have granted the owner just before it ended, and the owner relies on
        // it. It may also have left requests of its own, which a new boot would not count.
        let wait_ticks = if !self.keeps(Safeguard::MemberWaitsAtBoot) {
            0
        } else if self.keeps(Safeguard::PromiseInWaitAtBoot) {
            PROMISE_TICKS
        } else {
            DEADLINE_TICKS
        };
        if current.age < wait_ticks {
            return 0;
        }
        self.usable_part(current, node)
    }

    /// Returns the part that a node may use without any grant.
    ///
    /// Parts add up to the slots only if all nodes take them from the same roster. A newcomer, or a
    /// boot that has just learnt the roster, could hold one that others have not heard of; each
    /// would use its part of another whole.
    fn usable_part(&self, current: &NodeState, node: Node) -> u8 {
        let confirmed = match current.part_in {
            // Before a member heard of the larger roster it may have admitted requests by the
            // smaller.
            Some(ticks) => ticks == 0 || !self.keeps(Safeguard::WaitAfterConfirmed),
            None => !self.keeps(Safeguard::RosterConfirmed),
        };
        if confirmed { self.part(node, current.roster) } else { 0 }
    }

    /// Returns the slots that a member names in its grant.
    fn named(&self, current: &NodeState, node: Node) -> u8 {
        // What a member has in flight when it promises is not ended by its promise. Unnamed, the
        // owner would fill these slots too.
        if !self.keeps(Safeguard::InFlightNamed) {
            return 0;
        }
        // A boot does not know what the last one left running: at most its part, as long as the
        // roster is fixed. Otherwise that one may have had a larger part or been the owner.
        if current.age >= DEADLINE_TICKS || !self.keeps(Safeguard::PartNamedAtBoot) {
            current.used()
        } else if self.roster_is_fixed() || !self.keeps(Safeguard::AllSlotsNamedAtBoot) {
            self.part(node, current.roster)
        } else {
            self.slots
        }
    }

    /// Lists the heartbeats and grants between an owner and a member.
    fn link_steps(&self, state: &State, owner: Node, member: Node, steps: &mut ModelSteps) {
        let holder = &state.nodes[owner];
        let owns = self.owner(holder.roster) == owner && holder.roster.contains(member);
        let sends = owns && self.trusts_roster(holder) && !holder.is_paused();
        if self.delivery == Delivery::Atomic {
            if sends && !state.nodes[member].is_paused() {
                steps.add(Action::ExchangeHeartbeat(owner, member), |s| {
                    self.exchange(s, owner, member);
                });
            }
            return;
        }
        if sends {
            steps.add(Action::SendHeartbeat(owner, member), |s| {
                let roster = s.nodes[owner].roster;
                s.links[owner][member] = Link::Heartbeat { age: 0, roster };
                mark_older(&mut s.releases[owner][member]);
            });
        }
        match state.links[owner][member] {
            Link::Heartbeat { age, roster } if !state.nodes[member].is_paused() => {
                steps.add(Action::GetHeartbeat(owner, member), |s| {
                    s.links[owner][member] = self.granted(s, owner, member, age, roster);
                });
            }
            Link::Grant { age, roster, named } if !holder.is_paused() => {
                steps.add(Action::GetGrant(owner, member), |s| {
                    s.links[owner][member] = Link::Idle;
                    self.get_grant(&mut s.nodes[owner], (owner, member), age, roster, named);
                });
            }
            Link::Idle | Link::Heartbeat { .. } | Link::Grant { .. } => {}
        }
    }

    /// Sends a heartbeat and its grant without delay.
    fn exchange(&self, state: &mut State, owner: Node, member: Node) {
        let roster = state.nodes[owner].roster;
        mark_older(&mut state.releases[owner][member]);
        let answer = self.granted(state, owner, member, 0, roster);
        if let Link::Grant { age, roster, named } = answer {
            self.get_grant(&mut state.nodes[owner], (owner, member), age, roster, named);
        }
    }

    /// Lets a member answer a heartbeat.
    fn granted(
        &self,
        state: &mut State,
        owner: Node,
        member: Node,
        age: u8,
        roster: Roster,
    ) -> Link {
        if state.releases[owner][member] == Release::Older {
            state.releases[owner][member] = Release::Overtaken;
        }
        let current = &mut state.nodes[member];
        current.rooted = true;
        current.learn(roster);
        if self.owner(current.roster) != owner {
            return Link::Idle;
        }
        // The owner may admit a request at the end of its right, and that request holds its slot
        // for its whole deadline. A promise that ended before would give the slot away under it.
        let ticks = if self.keeps(Safeguard::DeadlineInPromise) {
            PROMISE_TICKS
        } else {
            PROMISE_TICKS - DEADLINE_TICKS
        };
        current.promised = current.promised.max(ticks);
        let named = self.named(current, member);
        Link::Grant { age, roster: current.roster, named }
    }

    /// Lets an owner take a grant.
    ///
    /// A newcomer that has heard of some members only would otherwise have all the grants it knows
    /// to ask for, and use slots that a member it has not heard of is using.
    fn get_grant(
        &self,
        holder: &mut NodeState,
        (owner, member): (Node, Node),
        age: u8,
        roster: Roster,
        named: u8,
    ) {
        if self.keeps(Safeguard::SameRoster) {
            holder.learn(roster);
            if holder.roster != roster {
                return;
            }
        }
        holder.confirm(owner, member);
        // The member's promise runs from its receipt of the heartbeat. Time that the grant spends
        // on its way must therefore be taken off the right.
        let counted_age = if self.keeps(Safeguard::RightFromSent) { age } else { 0 };
        if let Some(ticks_left) = RIGHT_TICKS.checked_sub(counted_age) {
            holder.grants[member] = Some(Grant { ticks_left, named });
        }
    }

    /// Lists how a node hears the rosters of others without a grant.
    fn roster_steps(&self, state: &State, node: Node, other: Node, steps: &mut ModelSteps) {
        let current = &state.nodes[node];
        if current.is_paused() || self.roster_is_fixed() {
            return;
        }
        let told = &state.nodes[other];
        if !self.trusts_roster(told) {
            return;
        }
        steps.add(Action::HearRoster(node, other), |s| {
            let current = &mut s.nodes[node];
            current.rooted = true;
            current.learn(told.roster);
            if current.part_in.is_none() && current.roster == told.roster {
                current.confirm(node, other);
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
        if current.used() >= self.allowance(state, node) {
            return;
        }
        if self.pauses {
            steps.add(Action::Check(node), |s| {
                s.nodes[node].checked.add(DEADLINE_TICKS);
            });
        }
        if !current.is_paused() {
            steps.add(Action::CheckAndSend(node), |s| {
                s.nodes[node].in_flight.add(DEADLINE_TICKS);
            });
        }
    }

    /// Sends what was checked before a pause.
    ///
    /// A node may be paused after its checks until the right is long gone. The requests that it
    /// sends on waking must end when they would have ended without the pause.
    fn send_checked(&self, current: &mut NodeState) {
        let checked = std::mem::replace(&mut current.checked, InFlight::NONE);
        if self.keeps(Safeguard::DeadlineFixedAtCheck) {
            current.in_flight.add_all(checked);
        } else {
            for _ in 0..checked.count() {
                current.in_flight.add(DEADLINE_TICKS);
            }
        }
    }

    /// Drops what can no longer matter, so that states which differ only in it count as one.
    fn normalise(&self, state: &mut State) {
        for node in 0..self.nodes() {
            let current = &mut state.nodes[node];
            let owns = self.owner(current.roster) == node;
            if current.part_in.is_some() {
                current.confirmed = 0;
            }
            // The heartbeat that overtook a release has renewed the promise that it would void.
            if self.keeps(Safeguard::OldReleaseIgnored) {
                for release in &mut state.releases[node] {
                    if *release == Release::Overtaken {
                        *release = Release::Idle;
                    }
                }
            }
            // Parts never grow unless a member leaves, so a promise to leave alone what the node
            // has no part of is idle.
            if !owns && !self.removal && self.part(node, current.roster) == 0 {
                current.promised = 0;
            }
            // A grant can no longer count; a lost heartbeat only spares the member a promise.
            if !owns {
                state.links[node] = [Link::Idle; NODES];
            }
        }
    }

    /// Lists how an owner gives its right up, and how the members take it in.
    ///
    /// While one member is dead, the others would otherwise keep their promises to an owner that
    /// can't get the right back, and its slots but for its own part would lie idle.
    fn release_steps(&self, state: &State, owner: Node, steps: &mut ModelSteps) {
        let current = &state.nodes[owner];
        if !self.releases || self.owner(current.roster) != owner {
            return;
        }
        // Members use their parts as soon as they hear of the release. What the owner has in flight
        // beyond its own part would come on top.
        let drained = current.used() <= self.part(owner, current.roster)
            || !self.keeps(Safeguard::DrainedBeforeRelease);
        // The last boot may have filled the upstream, and the members' promises still guard that.
        let waited = current.age >= DEADLINE_TICKS || !self.keeps(Safeguard::WaitBeforeRelease);
        if drained && waited && !current.is_paused() {
            steps.add(Action::GiveUpRight(owner), |s| self.give_up_right(s, owner));
        }
        for member in current.roster.others(owner) {
            let release = state.releases[owner][member];
            if release != Release::Idle && !state.nodes[member].is_paused() {
                steps.add(Action::GetRelease(owner, member), |s| {
                    s.releases[owner][member] = Release::Idle;
                    s.nodes[member].promised = 0;
                });
            }
        }
    }

    /// Gives the owner's right up. A grant that is still on its way was given by a member which is
    /// about to forget its promise, so it must not bring the right back.
    fn give_up_right(&self, state: &mut State, owner: Node) {
        if self.keeps(Safeguard::ReleaseVoidsGrants) {
            state.nodes[owner].grants = [None; NODES];
            state.links[owner] = [Link::Idle; NODES];
        }
        for member in state.nodes[owner].roster.others(owner) {
            state.releases[owner][member] = Release::UnderWay;
        }
    }

    /// Lists how a node leaves for good, and how the others take it off their rosters.
    fn removal_steps(&self, state: &State, node: Node, steps: &mut ModelSteps) {
        let Some((gone, age)) = state.gone else {
            if self.removal {
                steps.add(Action::Vanish(node), |s| {
                    s.left_behind.add_all(s.nodes[node].in_flight);
                    s.nodes[node] = NodeState::booted(node, GONE);
                    s.links[node] = [Link::Idle; NODES];
                    s.gone = Some((node, 0));
                });
            }
            return;
        };
        // Its requests hold their slots after it is gone. Taken off at once, it would no longer be
        // asked what it has in flight, and the others would share out its part.
        let waited = age == PROMISE_TICKS || !self.keeps(Safeguard::WaitBeforeRemoval);
        let current = &state.nodes[node];
        // A boot that has not been confirmed may hold an old roster. Without the gone member, the
        // only one that could have told it of others, it would go on alone next to those others.
        let entitled = current.part_in.is_some() || !self.keeps(Safeguard::RemovalByConfirmed);
        if waited && entitled && current.roster.contains(gone) && !current.is_paused() {
            steps.add(Action::Remove(node, gone), |s| {
                let current = &mut s.nodes[node];
                current.learn(current.roster.without(gone));
            });
        }
    }

    /// Creates the boot that follows one with this roster.
    fn rebooted(&self, node: Node, last: Roster) -> NodeState {
        if self.roster_is_fixed() {
            return NodeState { age: 0, ..NodeState::long_member(node, last) };
        }
        // What the last boot has confirmed does not bind the new one, which may come to know an
        // older roster. If both went by one name, a newcomer would take its part by the last boot's
        // word while the new boot uses the larger part that the older roster gives it.
        let boot = last.boot(node) + u8::from(self.keeps(Safeguard::RosterNamesBoots));
        NodeState::booted(node, boot)
    }

    fn restart_step(&self, state: &State, node: Node, steps: &mut ModelSteps) {
        if state.restarts_left == 0 {
            return;
        }
        steps.add(Action::Restart(node), |s| {
            s.restarts_left -= 1;
            s.left_behind.add_all(s.nodes[node].in_flight);
            s.nodes[node] = self.rebooted(node, s.nodes[node].roster);
        });
    }
}

/// Notes that a heartbeat was sent after a release.
fn mark_older(release: &mut Release) {
    if *release == Release::UnderWay {
        *release = Release::Older;
    }
}

impl Model for SlotSplitModel {
    type State = State;
    type Action = Action;
    type Violation = Violation;

    fn initial_states(&self) -> Vec<State> {
        let roster = Roster::of(0..self.members);
        let mut nodes = [NodeState::booted(0, 0); NODES];
        for (node, state) in nodes.iter_mut().enumerate().take(self.members) {
            *state = NodeState::long_member(node, roster);
        }
        for (node, state) in nodes.iter_mut().enumerate().skip(self.members) {
            *state = NodeState::booted(node, 1);
        }
        vec![State {
            nodes,
            links: [[Link::Idle; NODES]; NODES],
            left_behind: InFlight::NONE,
            releases: [[Release::Idle; NODES]; NODES],
            restarts_left: self.restarts,
            gone: None,
        }]
    }

    fn steps(&self, state: &State) -> Vec<Step<Action, State>> {
        let mut steps = Steps::new(state);
        let deadline_fixed = self.keeps(Safeguard::DeadlineFixedAtCheck);
        let message_ticks = match self.delivery {
            Delivery::Within(ticks) => ticks,
            Delivery::Atomic => 0,
        };
        steps.add(Action::Tick, |s| s.tick(deadline_fixed, message_ticks));
        let is_gone = |node| state.gone.is_some_and(|(gone, _)| gone == node);
        for node in (0..self.nodes()).filter(|&node| !is_gone(node)) {
            for other in (0..self.nodes()).filter(|&other| other != node && !is_gone(other)) {
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
            self.normalise(&mut step.next);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        self.variant.first_violation([Violation::Overload], |_| state.in_flight() > self.slots)
    }
}
