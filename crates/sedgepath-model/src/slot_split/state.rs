//! State of the slot split model.

use super::{DEADLINE_TICKS, MAX_NODES, Node, PROMISE_TICKS, REMOVED_BOOT};

/// The members that a node knows, each with the number of its latest known boot, or 0 if the member
/// is unknown. A removed member keeps an entry with a boot number of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Roster([u8; MAX_NODES]);

impl Roster {
    pub(super) fn from_members(members: impl IntoIterator<Item = Node>) -> Self {
        let mut boots = [0; MAX_NODES];
        for member in members {
            boots[member] = 1;
        }
        Self(boots)
    }

    pub(super) fn boot_number(self, node: Node) -> u8 {
        self.0[node]
    }

    pub(super) fn contains(self, node: Node) -> bool {
        self.0[node] > 0 && self.0[node] != REMOVED_BOOT
    }

    pub(super) fn members(self) -> impl Iterator<Item = Node> {
        (0..MAX_NODES).filter(move |&node| self.contains(node))
    }

    pub(super) fn other_members(self, node: Node) -> impl Iterator<Item = Node> {
        self.members().filter(move |&member| member != node)
    }

    pub(super) fn len(self) -> usize {
        self.members().count()
    }

    pub(super) fn without(mut self, removed: Node) -> Self {
        self.0[removed] = REMOVED_BOOT;
        self
    }

    pub(super) fn merged_with(self, other: Self) -> Self {
        let mut boots = self.0;
        for (known, heard) in boots.iter_mut().zip(other.0) {
            *known = (*known).max(heard);
        }
        Self(boots)
    }
}

/// Requests in flight, counted by their remaining ticks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct InFlightRequests([u8; DEADLINE_TICKS as usize]);

impl InFlightRequests {
    pub(super) const NONE: Self = Self([0; DEADLINE_TICKS as usize]);

    /// Returns the number of requests.
    pub fn count(self) -> u8 {
        self.0.iter().sum()
    }

    pub(super) fn add(&mut self, ticks_left: u8) {
        self.0[usize::from(ticks_left) - 1] += 1;
    }

    pub(super) fn add_all(&mut self, other: Self) {
        for (count, more) in self.0.iter_mut().zip(other.0) {
            *count += more;
        }
    }

    pub(super) fn tick(&mut self) {
        self.0.rotate_left(1);
        self.0[usize::from(DEADLINE_TICKS) - 1] = 0;
    }
}

/// A grant as held by the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Grant {
    /// The ticks for which the grant remains valid.
    pub ticks_left: u8,
    /// The slots that the member reported as in flight.
    pub in_flight_slots: u8,
}

/// A message in flight between an owner and a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Link {
    /// No message.
    Idle,
    /// A heartbeat of the owner.
    Heartbeat {
        /// The time since the heartbeat was sent.
        age_ticks: u8,
        /// The owner's roster.
        roster: Roster,
    },
    /// The member's grant.
    Grant {
        /// The time since the heartbeat was sent.
        age_ticks: u8,
        /// The member's roster.
        roster: Roster,
        /// The slots that the member reports as in flight.
        in_flight_slots: u8,
    },
}

/// An owner's release of its lease, in flight to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReleaseMessage {
    /// No release is in flight.
    Idle,
    /// The release is in flight.
    InFlight,
    /// The owner has sent a heartbeat after the release.
    HeartbeatSent,
    /// The member has received that later heartbeat.
    Superseded,
}

/// A boot of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct NodeState {
    /// The members that the node knows.
    pub roster: Roster,
    /// Whether the roster comes from an established member, directly or through other nodes.
    pub roster_from_member: bool,
    /// The time since the boot, up to the length of a promise.
    pub uptime_ticks: u8,
    /// The other members that have confirmed the roster, as bits.
    pub confirmed_by: u8,
    /// The ticks until the node may use its share, or `None` until its roster is confirmed.
    pub share_usable_in_ticks: Option<u8>,
    /// The ticks for which the node has promised not to use the upstream.
    pub promise_ticks_left: u8,
    /// The requests in flight.
    pub in_flight: InFlightRequests,
    /// The requests that were admitted and not yet sent; the node is paused while there are any.
    pub checked_requests: InFlightRequests,
    /// The grants that the node holds, by member.
    pub grants: [Option<Grant>; MAX_NODES],
}

impl NodeState {
    pub(super) fn after_boot(node: Node, boot: u8) -> Self {
        let mut roster = [0; MAX_NODES];
        roster[node] = boot;
        Self {
            roster: Roster(roster),
            roster_from_member: false,
            uptime_ticks: 0,
            confirmed_by: 0,
            share_usable_in_ticks: None,
            promise_ticks_left: 0,
            in_flight: InFlightRequests::NONE,
            checked_requests: InFlightRequests::NONE,
            grants: [None; MAX_NODES],
        }
    }

    pub(super) fn established_member(node: Node, roster: Roster) -> Self {
        let confirmed_by = roster.other_members(node).map(|other| 1 << other).sum();
        let share_usable_in_ticks = Some(0);
        Self {
            roster,
            roster_from_member: true,
            uptime_ticks: PROMISE_TICKS,
            confirmed_by,
            share_usable_in_ticks,
            ..Self::after_boot(node, 1)
        }
    }

    pub(super) fn is_paused(&self) -> bool {
        self.checked_requests != InFlightRequests::NONE
    }

    /// Returns the slots of requests in flight and of admitted ones.
    pub(super) fn occupied_slots(&self) -> u8 {
        self.in_flight.count() + self.checked_requests.count()
    }

    /// Merges another roster into that of the node. A change voids all grants and confirmations.
    pub(super) fn merge_roster(&mut self, roster: Roster) {
        let merged = self.roster.merged_with(roster);
        if merged != self.roster {
            self.roster = merged;
            self.grants = [None; MAX_NODES];
            self.confirmed_by = 0;
        }
    }

    pub(super) fn record_confirmation(&mut self, node: Node, other: Node) {
        self.confirmed_by |= 1 << other;
        let all_confirmed =
            self.roster.other_members(node).all(|other| self.confirmed_by & (1 << other) != 0);
        if all_confirmed && self.share_usable_in_ticks.is_none() {
            self.share_usable_in_ticks = Some(DEADLINE_TICKS);
        }
    }
}

/// The state of all nodes and of the messages in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// The nodes.
    pub nodes: [NodeState; MAX_NODES],
    /// The message in flight between each owner and each other node.
    pub links: [[Link; MAX_NODES]; MAX_NODES],
    /// The requests in flight of boots that have ended.
    pub orphaned_requests: InFlightRequests,
    /// The release in flight between each owner and each other node.
    pub releases: [[ReleaseMessage; MAX_NODES]; MAX_NODES],
    /// The restarts that may still happen.
    pub remaining_restarts: u8,
    /// The node that has failed permanently, and the time since, up to the length of a promise.
    pub failed_node: Option<(Node, u8)>,
}

impl State {
    /// Returns the number of requests in flight at the upstream.
    pub fn total_in_flight(&self) -> u8 {
        let nodes: u8 = self.nodes.iter().map(|node| node.in_flight.count()).sum();
        nodes + self.orphaned_requests.count()
    }

    pub(super) fn tick(&mut self, deadline_fixed: bool, message_ticks: u8) {
        for node in &mut self.nodes {
            node.uptime_ticks = (node.uptime_ticks + 1).min(PROMISE_TICKS);
            node.promise_ticks_left = node.promise_ticks_left.saturating_sub(1);
            node.share_usable_in_ticks =
                node.share_usable_in_ticks.map(|ticks| ticks.saturating_sub(1));
            node.in_flight.tick();
            if deadline_fixed {
                node.checked_requests.tick();
            }
            for grant in &mut node.grants {
                *grant = grant.and_then(Grant::after_tick);
            }
        }
        for link in self.links.as_flattened_mut() {
            link.tick(message_ticks);
        }
        self.orphaned_requests.tick();
        if let Some((_, age_ticks)) = &mut self.failed_node {
            *age_ticks = (*age_ticks + 1).min(PROMISE_TICKS);
        }
    }
}

impl Grant {
    pub(super) fn after_tick(self) -> Option<Self> {
        let ticks_left = self.ticks_left.checked_sub(1)?;
        Some(Self { ticks_left, ..self })
    }
}

impl Link {
    pub(super) fn tick(&mut self, message_ticks: u8) {
        let age_ticks = match self {
            Self::Idle => return,
            Self::Heartbeat { age_ticks, .. } | Self::Grant { age_ticks, .. } => age_ticks,
        };
        *age_ticks += 1;
        if *age_ticks > message_ticks {
            *self = Self::Idle;
        }
    }
}
