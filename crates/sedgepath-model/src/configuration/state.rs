//! State of the configuration model.

use super::{MAX_NODES, MAX_OPERATORS, MAX_REVISION, Operator, Revision};

/// The outcome of an operator's change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChangeOutcome {
    /// The change became this revision.
    Accepted(Revision),
    /// Another change became the next revision first.
    Conflict,
    /// The change may have been accepted, or may still be.
    Unknown,
}

/// The progress of an operator's change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OperatorState {
    /// Nothing was sent.
    Idle,
    /// A transaction that expects this head was sent, and its response is outstanding.
    Submitted(Revision),
    /// The response to a transaction that expects this head was lost.
    ResponseLost(Revision),
    /// The log row of this revision is written and the record is not.
    RecordPending(Revision),
    /// The outcome was reported to the operator.
    Concluded(ChangeOutcome),
}

/// A revision of the record, as stored or sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HeldRevision {
    /// The revision number under which the record is held.
    pub revision: Revision,
    /// The change that wrote the record, if there is a record.
    pub change: Option<Operator>,
}

impl HeldRevision {
    pub(super) const NONE: Self = Self { revision: 0, change: None };

    /// Returns the bit of this revision in [`State::message_bits`].
    pub(super) fn bit(self) -> u32 {
        let change = self.change.map_or(0, |operator| operator + 1);
        1 << (self.revision * (MAX_OPERATORS + 1) + change)
    }
}

/// The rows of the platform's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Table {
    /// The head revision.
    pub head: Revision,
    /// The change of each revision.
    pub log: [Option<Operator>; MAX_REVISION + 1],
    /// The record with its revision number.
    pub record: HeldRevision,
}

/// A boot of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct NodeState {
    /// The revision that the node holds.
    pub held: HeldRevision,
    /// The highest revision that this boot has heard of.
    pub max_heard_revision: Revision,
    /// Whether the node serves.
    pub is_serving: bool,
    /// The highest revision that this boot has served.
    pub max_served_revision: Revision,
    /// Whether this boot began to serve below a revision that it had heard of.
    pub started_serving_stale: bool,
    /// The head that the node has read, until it reads the record.
    pub pending_head: Option<Revision>,
}

impl NodeState {
    pub(super) const AFTER_BOOT: Self = Self {
        held: HeldRevision::NONE,
        max_heard_revision: 0,
        is_serving: false,
        max_served_revision: 0,
        started_serving_stale: false,
        pending_head: None,
    };

    pub(super) fn has_reverted(&self) -> bool {
        self.is_serving && self.held.revision < self.max_served_revision
    }

    pub(super) fn observe_revision(&mut self, revision: Revision) {
        self.max_heard_revision = self.max_heard_revision.max(revision);
    }

    pub(super) fn update_max_served(&mut self) {
        if self.is_serving {
            self.max_served_revision = self.max_served_revision.max(self.held.revision);
        }
    }
}

/// The state of the table, the operators, the nodes and the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// The platform's table.
    pub table: Table,
    /// The progress of each operator's change.
    pub operators: [OperatorState; MAX_OPERATORS],
    /// The transactions sent so far, as bits; each may be applied at any time.
    pub transaction_bits: u16,
    /// The nodes.
    pub nodes: [NodeState; MAX_NODES],
    /// The number of restarts.
    pub restarts: u8,
    /// The revisions that nodes have read from the table, as bits; each may reach any node at any
    /// time.
    pub message_bits: u32,
    /// The highest revision that the caller has seen.
    pub caller_revision: Revision,
    /// Whether the caller was served by a lower revision than it had seen.
    pub caller_saw_older: bool,
}

impl State {
    pub(super) const INITIAL: Self = Self {
        table: Table { head: 0, log: [None; MAX_REVISION + 1], record: HeldRevision::NONE },
        operators: [OperatorState::Idle; MAX_OPERATORS],
        transaction_bits: 0,
        nodes: [NodeState::AFTER_BOOT; MAX_NODES],
        restarts: 0,
        message_bits: 0,
        caller_revision: 0,
        caller_saw_older: false,
    };

    pub(super) fn log_row_count(&self, operator: Operator) -> usize {
        self.table.log.iter().filter(|change| **change == Some(operator)).count()
    }

    pub(super) fn accepted_revision(&self, operator: Operator) -> Option<Revision> {
        match self.operators[operator] {
            OperatorState::Concluded(ChangeOutcome::Accepted(revision)) => Some(revision),
            _ => None,
        }
    }

    pub(super) fn shares_accepted_revision(&self, operator: Operator) -> bool {
        let revision = self.accepted_revision(operator);
        let other_operators = operator + 1..MAX_OPERATORS;
        revision.is_some()
            && other_operators.into_iter().any(|other| self.accepted_revision(other) == revision)
    }

    pub(super) fn has_lost_accepted_change(&self, operator: Operator) -> bool {
        let accepted = self.accepted_revision(operator);
        accepted.is_some_and(|revision| {
            self.table.log[revision] != Some(operator) || self.table.record.revision < revision
        })
    }

    pub(super) fn contradicts_log(&self, held: HeldRevision) -> bool {
        self.table.log[held.revision] != held.change
    }

    pub(super) fn submit(&mut self, operator: Operator, expected: Revision) {
        self.transaction_bits |= transaction_bit(operator, expected);
        self.operators[operator] = OperatorState::Submitted(expected);
    }

    /// Returns every revision that was ever sent, in a fixed order.
    pub(super) fn messages(&self) -> impl Iterator<Item = HeldRevision> {
        let message_bits = self.message_bits;
        let changes = move |revision| {
            (0..MAX_OPERATORS)
                .map(Some)
                .chain([None])
                .map(move |change| HeldRevision { revision, change })
        };
        (1..=MAX_REVISION).flat_map(changes).filter(move |held| message_bits & held.bit() != 0)
    }
}

/// Returns the bit of a transaction in [`State::transaction_bits`].
pub(super) fn transaction_bit(operator: Operator, expected: Revision) -> u16 {
    1 << (operator * MAX_REVISION + expected)
}
