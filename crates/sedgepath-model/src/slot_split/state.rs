//! What the nodes know of each other, and what is under way and in flight.

use super::{DEADLINE_TICKS, GONE, NODES, Node, PROMISE_TICKS};

/// The members that a node knows, each with the number of its latest boot known; 0 if unknown. A
/// member that is gone keeps its place with a number of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Roster([u8; NODES]);

impl Roster {
    pub(super) fn of(members: impl IntoIterator<Item = Node>) -> Self {
        let mut boots = [0; NODES];
        for member in members {
            boots[member] = 1;
        }
        Self(boots)
    }

    pub(super) fn boot(self, node: Node) -> u8 {
        self.0[node]
    }

    pub(super) fn contains(self, node: Node) -> bool {
        self.0[node] > 0 && self.0[node] != GONE
    }

    pub(super) fn members(self) -> impl Iterator<Item = Node> {
        (0..NODES).filter(move |&node| self.contains(node))
    }

    pub(super) fn others(self, node: Node) -> impl Iterator<Item = Node> {
        self.members().filter(move |&member| member != node)
    }

    pub(super) fn len(self) -> usize {
        self.members().count()
    }

    pub(super) fn without(mut self, gone: Node) -> Self {
        self.0[gone] = GONE;
        self
    }

    pub(super) fn joined(self, other: Self) -> Self {
        let mut boots = self.0;
        for (known, heard) in boots.iter_mut().zip(other.0) {
            *known = (*known).max(heard);
        }
        Self(boots)
    }
}

/// Requests in flight, counted by the ticks that they have left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct InFlight([u8; DEADLINE_TICKS as usize]);

impl InFlight {
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

/// A grant as its holder keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Grant {
    /// The ticks for which it still counts.
    pub ticks_left: u8,
    /// The slots that the member has in flight.
    pub named: u8,
}

/// What is under way between an owner and a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Link {
    /// Nothing.
    Idle,
    /// A heartbeat of the owner.
    Heartbeat {
        /// The ticks since it was sent.
        age: u8,
        /// The owner's roster.
        roster: Roster,
    },
    /// The member's grant.
    Grant {
        /// The ticks since the heartbeat was sent.
        age: u8,
        /// The member's roster.
        roster: Roster,
        /// The slots that the member has in flight.
        named: u8,
    },
}

/// The word of an owner that it has given its right up, on its way to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Release {
    /// None is under way.
    Idle,
    /// It is under way.
    UnderWay,
    /// The owner has sent a heartbeat since.
    Older,
    /// The member has received that heartbeat.
    Overtaken,
}

/// One boot of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct NodeState {
    /// The members that it knows.
    pub roster: Roster,
    /// Whether it has its roster from a long-standing member, directly or through others.
    pub rooted: bool,
    /// The ticks since its boot, up to the length of a promise.
    pub age: u8,
    /// The others that have named the same roster to it, as bits.
    pub confirmed: u8,
    /// The ticks until it may use its part; `None` before its roster is confirmed.
    pub part_in: Option<u8>,
    /// The ticks for which it has promised not to touch the upstream.
    pub promised: u8,
    /// What it has in flight.
    pub in_flight: InFlight,
    /// What it has checked and not yet sent; it is paused while there is any.
    pub checked: InFlight,
    /// The grants that it holds.
    pub grants: [Option<Grant>; NODES],
}

impl NodeState {
    pub(super) fn booted(node: Node, boot: u8) -> Self {
        let mut roster = [0; NODES];
        roster[node] = boot;
        Self {
            roster: Roster(roster),
            rooted: false,
            age: 0,
            confirmed: 0,
            part_in: None,
            promised: 0,
            in_flight: InFlight::NONE,
            checked: InFlight::NONE,
            grants: [None; NODES],
        }
    }

    pub(super) fn long_member(node: Node, roster: Roster) -> Self {
        let confirmed = roster.others(node).map(|other| 1 << other).sum();
        let part_in = Some(0);
        Self {
            roster,
            rooted: true,
            age: PROMISE_TICKS,
            confirmed,
            part_in,
            ..Self::booted(node, 1)
        }
    }

    pub(super) fn is_paused(&self) -> bool {
        self.checked != InFlight::NONE
    }

    /// The slots that its requests hold or are about to hold.
    pub(super) fn used(&self) -> u8 {
        self.in_flight.count() + self.checked.count()
    }

    /// Takes over what another roster knows. Grants and confirmations of a smaller one are void.
    pub(super) fn learn(&mut self, roster: Roster) {
        let joined = self.roster.joined(roster);
        if joined != self.roster {
            self.roster = joined;
            self.grants = [None; NODES];
            self.confirmed = 0;
        }
    }

    pub(super) fn confirm(&mut self, node: Node, other: Node) {
        self.confirmed |= 1 << other;
        let all = self.roster.others(node).all(|other| self.confirmed & (1 << other) != 0);
        if all && self.part_in.is_none() {
            self.part_in = Some(DEADLINE_TICKS);
        }
    }
}

/// The state of all parties.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// The nodes.
    pub nodes: [NodeState; NODES],
    /// What is under way between each node, as owner, and each other one.
    pub links: [[Link; NODES]; NODES],
    /// What boots that have ended left in flight.
    pub left_behind: InFlight,
    /// The releases under way between each node, as owner, and each other one.
    pub releases: [[Release; NODES]; NODES],
    /// The restarts that may still happen.
    pub restarts_left: u8,
    /// The node that is gone for good, and the ticks since, up to the length of a promise.
    pub gone: Option<(Node, u8)>,
}

impl State {
    /// All requests in flight at the upstream.
    pub fn in_flight(&self) -> u8 {
        let nodes: u8 = self.nodes.iter().map(|node| node.in_flight.count()).sum();
        nodes + self.left_behind.count()
    }

    pub(super) fn tick(&mut self, deadline_fixed: bool, message_ticks: u8) {
        for node in &mut self.nodes {
            node.age = (node.age + 1).min(PROMISE_TICKS);
            node.promised = node.promised.saturating_sub(1);
            node.part_in = node.part_in.map(|ticks| ticks.saturating_sub(1));
            node.in_flight.tick();
            if deadline_fixed {
                node.checked.tick();
            }
            for grant in &mut node.grants {
                *grant = grant.and_then(Grant::after_tick);
            }
        }
        for link in self.links.as_flattened_mut() {
            link.tick(message_ticks);
        }
        self.left_behind.tick();
        if let Some((_, age)) = &mut self.gone {
            *age = (*age + 1).min(PROMISE_TICKS);
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
        let age = match self {
            Self::Idle => return,
            Self::Heartbeat { age, .. } | Self::Grant { age, .. } => age,
        };
        *age += 1;
        if *age > message_ticks {
            *self = Self::Idle;
        }
    }
}
