//! What the table, the operators, the nodes and the caller know of the configuration.

use super::{LAST_REVISION, NODES, OPERATORS, Operator, Revision};

/// What an operator is told of its change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It made this revision.
    Accepted(Revision),
    /// Another change came first.
    Conflict,
    /// It may have been accepted or may yet be.
    Unknown,
}

/// How far an operator's change has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OperatorState {
    /// Nothing was sent.
    Idle,
    /// A transaction that expects this head was sent; its answer is awaited.
    Submitted(Revision),
    /// The answer to a transaction that expects this head did not come.
    Uncertain(Revision),
    /// The log row is written and the record of this revision is not.
    RecordDue(Revision),
    /// The operator was told.
    Told(Outcome),
}

/// A revision of the record as it is held or sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Held {
    /// The revision that the holder takes it for.
    pub revision: Revision,
    /// The change that the record stems from, if there is a record.
    pub change: Option<Operator>,
}

impl Held {
    pub(super) const NOTHING: Self = Self { revision: 0, change: None };

    /// The bit of this message in [`State::messages`].
    pub(super) fn bit(self) -> u32 {
        let change = self.change.map_or(0, |operator| operator + 1);
        1 << (self.revision * (OPERATORS + 1) + change)
    }
}

/// The rows in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Table {
    /// The head revision.
    pub head: Revision,
    /// The change of each revision.
    pub log: [Option<Operator>; LAST_REVISION + 1],
    /// The record with the revision that it names.
    pub record: Held,
}

/// One node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct NodeState {
    /// What it holds.
    pub held: Held,
    /// The highest revision that this boot has heard of.
    pub heard: Revision,
    /// Whether it serves.
    pub serves: bool,
    /// The highest revision that this boot has served.
    pub served: Revision,
    /// Whether this boot began to serve below a revision that it had heard of.
    pub began_behind: bool,
    /// The head that it has read without having read the record yet.
    pub head_read: Option<Revision>,
}

impl NodeState {
    pub(super) const BOOTED: Self = Self {
        held: Held::NOTHING,
        heard: 0,
        serves: false,
        served: 0,
        began_behind: false,
        head_read: None,
    };

    pub(super) fn has_reverted(&self) -> bool {
        self.serves && self.held.revision < self.served
    }

    pub(super) fn hear(&mut self, revision: Revision) {
        self.heard = self.heard.max(revision);
    }

    pub(super) fn note_served(&mut self) {
        if self.serves {
            self.served = self.served.max(self.held.revision);
        }
    }
}

/// The state of all parties.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// The platform's table.
    pub table: Table,
    /// The operators.
    pub operators: [OperatorState; OPERATORS],
    /// The transactions sent so far, as bits; each may be applied at any time.
    pub writes: u16,
    /// The nodes.
    pub nodes: [NodeState; NODES],
    /// The number of restarts.
    pub restarts: u8,
    /// What nodes have read from the table, as bits; each may reach any node at any time.
    pub messages: u32,
    /// The highest revision that the caller has seen.
    pub seen: Revision,
    /// Whether the caller was served by a lower revision than it had seen.
    pub caller_saw_older: bool,
}

impl State {
    pub(super) const INITIAL: Self = Self {
        table: Table { head: 0, log: [None; LAST_REVISION + 1], record: Held::NOTHING },
        operators: [OperatorState::Idle; OPERATORS],
        writes: 0,
        nodes: [NodeState::BOOTED; NODES],
        restarts: 0,
        messages: 0,
        seen: 0,
        caller_saw_older: false,
    };

    pub(super) fn log_rows(&self, operator: Operator) -> usize {
        self.table.log.iter().filter(|change| **change == Some(operator)).count()
    }

    pub(super) fn accepted(&self, operator: Operator) -> Option<Revision> {
        match self.operators[operator] {
            OperatorState::Told(Outcome::Accepted(revision)) => Some(revision),
            _ => None,
        }
    }

    pub(super) fn has_rival(&self, operator: Operator) -> bool {
        let revision = self.accepted(operator);
        let rivals = operator + 1..OPERATORS;
        revision.is_some() && rivals.into_iter().any(|rival| self.accepted(rival) == revision)
    }

    pub(super) fn is_lost(&self, operator: Operator) -> bool {
        let accepted = self.accepted(operator);
        accepted.is_some_and(|revision| {
            self.table.log[revision] != Some(operator) || self.table.record.revision < revision
        })
    }

    pub(super) fn differs(&self, held: Held) -> bool {
        self.table.log[held.revision] != held.change
    }

    pub(super) fn send(&mut self, operator: Operator, expected: Revision) {
        self.writes |= write_bit(operator, expected);
        self.operators[operator] = OperatorState::Submitted(expected);
    }

    /// Every message that was ever sent, in a fixed order.
    pub(super) fn messages(&self) -> impl Iterator<Item = Held> {
        let messages = self.messages;
        let changes = move |revision| {
            (0..OPERATORS).map(Some).chain([None]).map(move |change| Held { revision, change })
        };
        (1..=LAST_REVISION).flat_map(changes).filter(move |held| messages & held.bit() != 0)
    }
}

/// The bit of a transaction in [`State::writes`].
pub(super) fn write_bit(operator: Operator, expected: Revision) -> u16 {
    1 << (operator * LAST_REVISION + expected)
}
