//! Acceptance of configuration changes, and the way from the table to the nodes.
//!
//! # Problem
//!
//! Operators change steering records at the same time and through any node. The table may commit a
//! change late while its answer is lost. Nodes learn revisions from the table and from each other
//! in any order, late and repeatedly, and boot with an empty memory. An operator must know whether
//! its change is in force, and what is in force must not be undone by an old message.
//!
//! # Ways weighed
//!
//! - *The last writer wins*: two operators are told that they made the same revision, and the
//!   change of one is lost ([`Safeguard::HeadCondition`]).
//! - *Trying again against the new head after a lost answer*: applies the change twice if the first
//!   write landed ([`Safeguard::ChangeId`]).
//! - *Taking an empty log for a refusal*: the write may still land; only a head that has moved past
//!   the expected one excludes it ([`Safeguard::AbsenceIsNoProof`]).
//! - *Writing head and record one after the other*: a record that comes late replaces a newer one
//!   ([`Safeguard::OneTransaction`]).
//! - *Reading head and record one after the other*: a node then holds one revision's number with
//!   another one's record ([`Safeguard::RecordNamesRevision`]).
//!
//! # Properties
//!
//! 1. Two operators are never told that they made the same revision ([`Violation::TwoWinners`]),
//!    and a change that its operator was told is accepted stays in the log, with a record that is
//!    not older ([`Violation::AcceptedLost`]).
//! 2. A change whose operator was told of a conflict is never in the log
//!    ([`Violation::FalseConflict`]), and none is there twice ([`Violation::AppliedTwice`]).
//! 3. A revision is the same change wherever it is held ([`Violation::Diverged`]).
//! 4. A node that serves never goes to a lower revision ([`Violation::Reverted`]), does not begin
//!    to serve below a revision that it has heard of ([`Violation::ServedBehind`]), and a caller is
//!    never served by a lower revision than before, by whichever node
//!    ([`Violation::CallerSawOlder`]).
//!
//! # How it is modelled
//!
//! One record, up to three operators with a change each, up to three nodes, two restarts, one
//! caller; the tests say which sizes were explored. A transaction, once sent, may be applied at any
//! later time and any number of times. What any node has read from the table may reach any node at
//! any later time and any number of times; that covers pushes between peers, anti-entropy, and late
//! answers of the table. A node may also hear only the number of a revision, from a heartbeat or a
//! caller.
//!
//! # Left out
//!
//! That an accepted revision arrives at all, and how soon: the model has no clock. Several records
//! (a scan over many rows is not one read; a node must apply them in the order of the log), records
//! of an unknown schema, and who reads the table. A new boot that can reach only a peer which is
//! itself behind serves what that peer has, although an earlier boot on the same VM may have served
//! a higher revision: nothing it can reach knows better. Only callers that carry the revision they
//! saw are protected then, and the model shows that they are.

mod state;

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

use state::write_bit;
pub use state::{Held, NodeState, OperatorState, Outcome, State, Table};

type ModelSteps = Steps<Action, State>;

/// Operators at most, each with one change.
const OPERATORS: usize = 3;
/// Nodes at most.
const NODES: usize = 3;
/// Restarts that happen at most.
const RESTARTS: u8 = 2;
/// The highest revision that the model follows.
const LAST_REVISION: usize = 4;

/// An operator, by index, and so its change: the index is the change id.
pub type Operator = usize;
/// A node, by index.
pub type Node = usize;
/// A revision; the table begins with revision 0, which has no record.
pub type Revision = usize;

/// A rule that the protocol relies on; the model can leave one out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A transaction commits only on the head that its operator saw.
    HeadCondition,
    /// The log row names the change, so that a lost answer can be settled.
    ChangeId,
    /// A log without the change proves nothing while the head has not moved.
    AbsenceIsNoProof,
    /// Head, log row and record change together.
    OneTransaction,
    /// The record carries its own revision.
    RecordNamesRevision,
    /// A node never applies a revision that is not higher than its own.
    LowerIgnored,
    /// A new boot serves only what is not older than anything it has heard of.
    CaughtUpBeforeServing,
    /// A caller carries the highest revision that it has seen.
    CallerCarriesRevision,
}

impl Safeguard {
    /// All safeguards, in the order in which they are reported.
    pub const ALL: [Self; 8] = [
        Self::HeadCondition,
        Self::ChangeId,
        Self::AbsenceIsNoProof,
        Self::OneTransaction,
        Self::RecordNamesRevision,
        Self::LowerIgnored,
        Self::CaughtUpBeforeServing,
        Self::CallerCarriesRevision,
    ];
}

/// What the search looks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// Two operators were told that they made the same revision.
    TwoWinners,
    /// A change that its operator was told is accepted is not in the log, or the record is older.
    AcceptedLost,
    /// A change is in the log twice.
    AppliedTwice,
    /// An operator was told of a conflict and its change is in the log.
    FalseConflict,
    /// A node holds a revision with another change than the log.
    Diverged,
    /// A node serves a lower revision than it did.
    Reverted,
    /// A node began to serve below a revision that it had heard of.
    ServedBehind,
    /// A caller was served by a lower revision than before.
    CallerSawOlder,
}

impl Violation {
    /// All violations, the gravest first.
    pub const ALL: [Self; 8] = [
        Self::TwoWinners,
        Self::AcceptedLost,
        Self::AppliedTwice,
        Self::FalseConflict,
        Self::Diverged,
        Self::Reverted,
        Self::ServedBehind,
        Self::CallerSawOlder,
    ];

    fn is_in(self, state: &State) -> bool {
        let mut operators = 0..OPERATORS;
        match self {
            Self::TwoWinners => operators.any(|operator| state.has_rival(operator)),
            Self::AcceptedLost => operators.any(|operator| state.is_lost(operator)),
            Self::AppliedTwice => operators.any(|operator| state.log_rows(operator) > 1),
            Self::FalseConflict => operators.any(|operator| {
                state.operators[operator] == OperatorState::Told(Outcome::Conflict)
                    && state.log_rows(operator) > 0
            }),
            Self::Diverged => state.nodes.iter().any(|node| state.differs(node.held)),
            Self::Reverted => state.nodes.iter().any(NodeState::has_reverted),
            Self::ServedBehind => state.nodes.iter().any(|node| node.began_behind),
            Self::CallerSawOlder => state.caller_saw_older,
        }
    }
}

/// What can happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The operator reads the head and sends its transaction.
    Submit(Operator),
    /// The table applies the operator's transaction and its answer arrives.
    TableAnswers(Operator),
    /// The operator's node stops waiting for the table.
    TableTimeout(Operator),
    /// The operator's node sends the transaction again against the head of now.
    Resubmit(Operator),
    /// The operator's node reads the log after a lost answer.
    ReadLog(Operator),
    /// The operator's node cannot reach the table and says that it does not know.
    TellUnknown(Operator),
    /// The table applies a transaction whose answer nobody gets.
    ApplyLate(Operator, Revision),
    /// The operator's record follows its log row in a write of its own.
    WriteRecord(Operator),
    /// The node reads the head.
    ReadHead(Node),
    /// The node reads the record, and pushes it to its peers.
    ReadRecord(Node),
    /// A message with a revision reaches the node.
    Deliver(Node, Held),
    /// The node hears the number of a revision.
    Hear(Node, Revision),
    /// The node begins to serve.
    Serve(Node),
    /// The node restarts with an empty memory.
    Restart(Node),
    /// The caller sends a request to the node.
    Call(Node),
}

/// The model of configuration changes.
#[derive(Debug, Clone)]
pub struct ConfigurationModel {
    operators: usize,
    nodes: usize,
    answers_kept: bool,
    variant: Variant<Safeguard, Violation>,
}

impl ConfigurationModel {
    /// Creates the model of so many operators and nodes, at most three of each, with all
    /// safeguards, searched for every violation.
    pub fn new(operators: usize, nodes: usize) -> Self {
        Self {
            operators: operators.min(OPERATORS),
            nodes: nodes.min(NODES),
            answers_kept: false,
            variant: Variant::new(),
        }
    }

    /// Lets no answer to an operator be lost, so that more revisions and nodes can be explored.
    pub fn with_answers_kept(self) -> Self {
        Self { answers_kept: true, ..self }
    }

    /// Leaves out one safeguard.
    pub fn with_removed(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.with_removed(removed), ..self }
    }

    /// Searches for this violation only, also past states that show another.
    pub fn with_searched(self, searched: Violation) -> Self {
        Self { variant: self.variant.with_searched(searched), ..self }
    }

    fn keeps(&self, safeguard: Safeguard) -> bool {
        self.variant.keeps(safeguard)
    }

    /// Applies a transaction if its condition holds; says whether it did.
    fn apply(&self, state: &mut State, operator: Operator, expected: Revision) -> bool {
        // Two operators who saw the same head both write the next revision. Without the condition
        // the second one overwrites the first, and both are told that they made it.
        let fits = state.table.head == expected || !self.keeps(Safeguard::HeadCondition);
        if !fits || expected >= LAST_REVISION {
            return false;
        }
        let revision = expected + 1;
        state.table.head = revision;
        state.table.log[revision] = Some(operator);
        if self.keeps(Safeguard::OneTransaction) {
            state.table.record = Held { revision, change: Some(operator) };
        }
        true
    }

    fn operator_steps(&self, state: &State, operator: Operator, steps: &mut ModelSteps) {
        match state.operators[operator] {
            OperatorState::Idle => steps.add(Action::Submit(operator), |s| {
                s.send(operator, s.table.head);
            }),
            OperatorState::Submitted(expected) => {
                steps.add(Action::TableAnswers(operator), |s| {
                    let outcome = self.answer(s, operator, expected);
                    s.operators[operator] = self.concluded(outcome);
                });
                if !self.answers_kept {
                    steps.add(Action::TableTimeout(operator), |s| {
                        s.operators[operator] = OperatorState::Uncertain(expected);
                    });
                }
            }
            OperatorState::Uncertain(expected) => {
                self.uncertain(state, operator, expected, steps);
            }
            OperatorState::RecordDue(revision) => {
                steps.add(Action::WriteRecord(operator), |s| {
                    s.table.record = Held { revision, change: Some(operator) };
                    s.operators[operator] = OperatorState::Told(Outcome::Accepted(revision));
                });
            }
            OperatorState::Told(_) => {}
        }
    }

    /// Applies a transaction, perhaps not for the first time, and says what its operator is told.
    fn answer(&self, state: &mut State, operator: Operator, expected: Revision) -> Outcome {
        if self.apply(state, operator, expected) {
            return Outcome::Accepted(expected + 1);
        }
        self.settle(state, operator, expected).unwrap_or(Outcome::Unknown)
    }

    /// The state of an operator whose transaction came to `outcome`.
    ///
    /// If the record followed in a write of its own, another operator could be accepted in between,
    /// and the late record would replace the newer one in the table: new boots would read what was
    /// undone. In one transaction the record is never older than the head.
    fn concluded(&self, outcome: Outcome) -> OperatorState {
        match outcome {
            Outcome::Accepted(revision) if !self.keeps(Safeguard::OneTransaction) => {
                OperatorState::RecordDue(revision)
            }
            _ => OperatorState::Told(outcome),
        }
    }

    /// Settles a transaction by the log; `None` if it may still be applied.
    ///
    /// After a lost answer the repeated transaction collides with itself. Without the change id in
    /// the log row that looks like a conflict with someone else, and the operator is told that a
    /// change which is in force was refused.
    fn settle(&self, state: &State, operator: Operator, expected: Revision) -> Option<Outcome> {
        let revision = expected + 1;
        let own = state.table.log[revision] == Some(operator);
        if own && self.keeps(Safeguard::ChangeId) {
            return Some(Outcome::Accepted(revision));
        }
        // A transaction under way finds the head that it expects until another one has moved it.
        // An operator who is told of a conflict before that may see its change come into force.
        let passed = state.table.head > expected;
        (passed || !self.keeps(Safeguard::AbsenceIsNoProof)).then_some(Outcome::Conflict)
    }

    /// Lists what an operator's node does that got no answer.
    fn uncertain(
        &self,
        state: &State,
        operator: Operator,
        expected: Revision,
        steps: &mut ModelSteps,
    ) {
        if let Some(outcome) = self.settle(state, operator, expected) {
            steps.add(Action::ReadLog(operator), |s| {
                s.operators[operator] = self.concluded(outcome);
            });
        }
        steps.add(Action::TellUnknown(operator), |s| {
            s.operators[operator] = OperatorState::Told(Outcome::Unknown);
        });
        // With the change id the same transaction is sent again, which is a late answer to it.
        // Without, the only way on is a new one.
        let again = if self.keeps(Safeguard::ChangeId) { expected } else { state.table.head };
        if again < LAST_REVISION {
            steps.add(Action::Resubmit(operator), |s| {
                s.send(operator, again);
            });
        }
    }

    fn table_steps(&self, state: &State, steps: &mut ModelSteps) {
        for operator in 0..self.operators {
            for expected in 0..LAST_REVISION {
                if state.writes & write_bit(operator, expected) != 0 {
                    steps.add(Action::ApplyLate(operator, expected), |s| {
                        self.apply(s, operator, expected);
                    });
                }
            }
        }
    }

    fn node_steps(&self, state: &State, node: Node, steps: &mut ModelSteps) {
        self.read_steps(state, node, steps);
        for held in state.messages() {
            steps.add(Action::Deliver(node, held), |s| {
                self.deliver(&mut s.nodes[node], held);
            });
            steps.add(Action::Hear(node, held.revision), |s| {
                s.nodes[node].hear(held.revision);
            });
        }
        self.serve_step(state, node, steps);
        if state.restarts < RESTARTS {
            steps.add(Action::Restart(node), |s| {
                s.restarts += 1;
                s.nodes[node] = NodeState::BOOTED;
            });
        }
    }

    fn read_steps(&self, state: &State, node: Node, steps: &mut ModelSteps) {
        // Head and record are two rows. If the record changes between the two reads, a node that
        // puts them together holds the later record under the earlier number and refuses the later.
        if self.keeps(Safeguard::RecordNamesRevision) {
            steps.add(Action::ReadRecord(node), |s| {
                s.messages |= s.table.record.bit();
            });
            return;
        }
        steps.add(Action::ReadHead(node), |s| {
            s.nodes[node].head_read = Some(s.table.head);
        });
        if let Some(revision) = state.nodes[node].head_read {
            steps.add(Action::ReadRecord(node), |s| {
                s.nodes[node].head_read = None;
                s.messages |= Held { revision, change: s.table.record.change }.bit();
            });
        }
    }

    /// Gives a revision to a node.
    ///
    /// Pushes overtake each other and are repeated. A node that applied each as it came would go
    /// back to a revision that was replaced.
    fn deliver(&self, node: &mut NodeState, held: Held) {
        node.hear(held.revision);
        let higher = held.revision > node.held.revision;
        if higher || !self.keeps(Safeguard::LowerIgnored) {
            node.held = held;
            node.note_served();
        }
    }

    fn serve_step(&self, state: &State, node: Node, steps: &mut ModelSteps) {
        let current = &state.nodes[node];
        // The first peer to answer a new boot may be the one that lags. Heartbeats of the others
        // show that there is a higher revision; until it arrives, the new boot would steer by rules
        // that were replaced.
        let caught_up =
            current.held.revision >= current.heard || !self.keeps(Safeguard::CaughtUpBeforeServing);
        if !current.serves && current.held != Held::NOTHING && caught_up {
            steps.add(Action::Serve(node), |s| {
                let node = &mut s.nodes[node];
                node.serves = true;
                node.began_behind = node.held.revision < node.heard;
                node.note_served();
            });
        }
    }

    /// Lists the calls. Nodes learn revisions at different times; a caller that moves between them
    /// would see the configuration go back and forth if the one behind did not refuse it.
    fn call_steps(&self, state: &State, steps: &mut ModelSteps) {
        for node in 0..self.nodes {
            if !state.nodes[node].serves {
                continue;
            }
            steps.add(Action::Call(node), |s| {
                let revision = s.nodes[node].held.revision;
                let behind = revision < s.seen;
                if behind && self.keeps(Safeguard::CallerCarriesRevision) {
                    s.nodes[node].hear(s.seen);
                } else {
                    s.caller_saw_older |= behind;
                    s.seen = revision;
                }
            });
        }
    }
}

impl Model for ConfigurationModel {
    type State = State;
    type Action = Action;
    type Violation = Violation;

    fn initial_states(&self) -> Vec<State> {
        vec![State::INITIAL]
    }

    fn steps(&self, state: &State) -> Vec<Step<Action, State>> {
        let mut steps = Steps::new(state);
        for operator in 0..self.operators {
            self.operator_steps(state, operator, &mut steps);
        }
        self.table_steps(state, &mut steps);
        for node in 0..self.nodes {
            self.node_steps(state, node, &mut steps);
        }
        self.call_steps(state, &mut steps);
        steps.into_vec()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        self.variant.first_violation(Violation::ALL, |violation| violation.is_in(state))
    }
}
