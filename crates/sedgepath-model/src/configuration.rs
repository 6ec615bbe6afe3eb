//! Model of configuration changes: their acceptance by the table and their distribution to nodes.
//!
//! Operators change records concurrently through any node, and the table may commit a change late
//! while its response is lost. Nodes learn revisions from the table and from each other in any
//! order, late and repeatedly, and boot with an empty memory. [`Safeguard`] lists the rules that
//! keep the properties.
//!
//! # Properties
//!
//! 1. No two operators are told that their changes became the same revision
//!    ([`Violation::DuplicateRevision`]).
//! 2. A change reported as accepted stays in the log, and the record is not older
//!    ([`Violation::AcceptedChangeLost`]).
//! 3. A change reported as a conflict is never in the log ([`Violation::FalseConflict`]).
//! 4. No change is in the log twice ([`Violation::AppliedTwice`]).
//! 5. A revision is the same change wherever it is held ([`Violation::Diverged`]).
//! 6. A serving node never returns to a lower revision ([`Violation::Reverted`]).
//! 7. A node does not begin to serve below a revision that it has heard of
//!    ([`Violation::ServedStale`]).
//! 8. A caller is never served by a lower revision than before, by any node
//!    ([`Violation::CallerSawOlder`]).
//!
//! # Scope
//!
//! One record, one change per operator, two restarts, one caller. A sent transaction may be applied
//! at any later time and any number of times. A revision that any node has read may reach any node
//! at any later time, which covers pushes, anti-entropy and late responses. Not modeled: time,
//! several records, and unknown schemas. A new boot that reaches only a lagging peer serves that
//! peer's revision, so only callers that carry a revision are protected from an older one.

mod state;

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

use state::transaction_bit;
pub use state::{ChangeOutcome, HeldRevision, NodeState, OperatorState, State, Table};

type ModelSteps = Steps<Action, State>;

const MAX_OPERATORS: usize = 3;
const MAX_NODES: usize = 3;
const MAX_RESTARTS: u8 = 2;
/// The highest revision that the model reaches.
const MAX_REVISION: usize = 4;

/// An operator, by index, which is also the id of the operator's change.
pub type Operator = usize;
/// A node, by index.
pub type Node = usize;
/// A revision; the table begins with revision 0, which has no record.
pub type Revision = usize;

/// A rule of the protocol that a model can omit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A transaction commits only if the head is the one that its operator read.
    HeadCondition,
    /// The log row holds the change id, which settles a lost response.
    ChangeId,
    /// A change missing from the log is reported as a conflict only if the head has moved.
    AbsenceIsInconclusive,
    /// Head, log row and record are written in one transaction.
    SingleTransaction,
    /// The record holds its own revision number.
    RecordNamesRevision,
    /// A node applies only revisions higher than its own.
    LowerRevisionIgnored,
    /// A new boot does not serve below any revision that it has heard of.
    CaughtUpBeforeServing,
    /// A caller carries the highest revision that it has seen.
    CallerCarriesRevision,
}

impl Safeguard {
    /// All safeguards, in the order of the report.
    pub const ALL: [Self; 8] = [
        Self::HeadCondition,
        Self::ChangeId,
        Self::AbsenceIsInconclusive,
        Self::SingleTransaction,
        Self::RecordNamesRevision,
        Self::LowerRevisionIgnored,
        Self::CaughtUpBeforeServing,
        Self::CallerCarriesRevision,
    ];
}

/// A broken property.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// Two operators were told that their changes became the same revision.
    DuplicateRevision,
    /// A change reported as accepted is not in the log, or the record is older.
    AcceptedChangeLost,
    /// A change is in the log twice.
    AppliedTwice,
    /// A change reported as a conflict is in the log.
    FalseConflict,
    /// A node holds a revision with another change than the log.
    Diverged,
    /// A node serves a lower revision than it did before.
    Reverted,
    /// A node began to serve below a revision that it had heard of.
    ServedStale,
    /// A caller was served by a lower revision than before.
    CallerSawOlder,
}

impl Violation {
    /// All violations, in the order in which a state is checked for them.
    pub const ALL: [Self; 8] = [
        Self::DuplicateRevision,
        Self::AcceptedChangeLost,
        Self::AppliedTwice,
        Self::FalseConflict,
        Self::Diverged,
        Self::Reverted,
        Self::ServedStale,
        Self::CallerSawOlder,
    ];

    fn is_in(self, state: &State) -> bool {
        let mut operators = 0..MAX_OPERATORS;
        match self {
            Self::DuplicateRevision => {
                operators.any(|operator| state.shares_accepted_revision(operator))
            }
            Self::AcceptedChangeLost => {
                operators.any(|operator| state.has_lost_accepted_change(operator))
            }
            Self::AppliedTwice => operators.any(|operator| state.log_row_count(operator) > 1),
            Self::FalseConflict => operators.any(|operator| {
                state.operators[operator] == OperatorState::Concluded(ChangeOutcome::Conflict)
                    && state.log_row_count(operator) > 0
            }),
            Self::Diverged => state.nodes.iter().any(|node| state.contradicts_log(node.held)),
            Self::Reverted => state.nodes.iter().any(NodeState::has_reverted),
            Self::ServedStale => state.nodes.iter().any(|node| node.started_serving_stale),
            Self::CallerSawOlder => state.caller_saw_older,
        }
    }
}

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The operator reads the head and sends its transaction.
    Submit(Operator),
    /// The table applies the operator's transaction, and the response arrives.
    TableResponds(Operator),
    /// The operator's node stops waiting for the table.
    TableTimeout(Operator),
    /// The operator's node sends the transaction again.
    Resubmit(Operator),
    /// The operator's node reads the log after a lost response.
    ReadLog(Operator),
    /// The operator's node reports an unknown outcome.
    ReportUnknown(Operator),
    /// The table applies a transaction whose response is lost.
    ApplyLate(Operator, Revision),
    /// The record is written after its log row, in a separate write.
    WriteRecord(Operator),
    /// The node reads the head.
    ReadHead(Node),
    /// The node reads the record and sends it to its peers.
    ReadRecord(Node),
    /// A message with a revision reaches the node.
    Deliver(Node, HeldRevision),
    /// The node hears a revision number.
    HearRevision(Node, Revision),
    /// The node begins to serve.
    StartServing(Node),
    /// The node restarts with an empty memory.
    Restart(Node),
    /// The caller sends a request to the node.
    Call(Node),
}

/// A model of configuration changes.
#[derive(Debug, Clone)]
pub struct ConfigurationModel {
    operators: usize,
    nodes: usize,
    responses_reliable: bool,
    variant: Variant<Safeguard, Violation>,
}

impl ConfigurationModel {
    /// Creates a model of at most three operators and three nodes, with all safeguards, checked for
    /// every violation.
    pub fn new(operators: usize, nodes: usize) -> Self {
        Self {
            operators: operators.min(MAX_OPERATORS),
            nodes: nodes.min(MAX_NODES),
            responses_reliable: false,
            variant: Variant::new(),
        }
    }

    /// Loses no response to an operator, so that more revisions and nodes can be explored.
    pub fn with_reliable_responses(self) -> Self {
        Self { responses_reliable: true, ..self }
    }

    /// Omits one safeguard.
    pub fn without_safeguard(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.without_safeguard(removed), ..self }
    }

    /// Checks for one violation only and continues past states with another.
    pub fn with_target_violation(self, target: Violation) -> Self {
        Self { variant: self.variant.with_target_violation(target), ..self }
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.variant.enforces(safeguard)
    }

    /// Applies a transaction if its condition holds. Returns whether it was applied.
    fn apply_transaction(&self, state: &mut State, operator: Operator, expected: Revision) -> bool {
        // Without the condition, two operators that read the same head would both write the next
        // revision.
        let head_matches = state.table.head == expected || !self.enforces(Safeguard::HeadCondition);
        if !head_matches || expected >= MAX_REVISION {
            return false;
        }
        let revision = expected + 1;
        state.table.head = revision;
        state.table.log[revision] = Some(operator);
        if self.enforces(Safeguard::SingleTransaction) {
            state.table.record = HeldRevision { revision, change: Some(operator) };
        }
        true
    }

    fn operator_steps(&self, state: &State, operator: Operator, steps: &mut ModelSteps) {
        match state.operators[operator] {
            OperatorState::Idle => steps.add(Action::Submit(operator), |s| {
                s.submit(operator, s.table.head);
            }),
            OperatorState::Submitted(expected) => {
                steps.add(Action::TableResponds(operator), |s| {
                    let outcome = self.apply_and_settle(s, operator, expected);
                    s.operators[operator] = self.state_after_outcome(outcome);
                });
                if !self.responses_reliable {
                    steps.add(Action::TableTimeout(operator), |s| {
                        s.operators[operator] = OperatorState::ResponseLost(expected);
                    });
                }
            }
            OperatorState::ResponseLost(expected) => {
                self.lost_response_steps(state, operator, expected, steps);
            }
            OperatorState::RecordPending(revision) => {
                steps.add(Action::WriteRecord(operator), |s| {
                    s.table.record = HeldRevision { revision, change: Some(operator) };
                    s.operators[operator] =
                        OperatorState::Concluded(ChangeOutcome::Accepted(revision));
                });
            }
            OperatorState::Concluded(_) => {}
        }
    }

    /// Applies a transaction, possibly not for the first time, and returns its operator's outcome.
    fn apply_and_settle(
        &self,
        state: &mut State,
        operator: Operator,
        expected: Revision,
    ) -> ChangeOutcome {
        if self.apply_transaction(state, operator, expected) {
            return ChangeOutcome::Accepted(expected + 1);
        }
        self.outcome_from_log(state, operator, expected).unwrap_or(ChangeOutcome::Unknown)
    }

    /// Returns the operator's state after `outcome`.
    ///
    /// A record written separately from its log row could replace a newer record.
    fn state_after_outcome(&self, outcome: ChangeOutcome) -> OperatorState {
        match outcome {
            ChangeOutcome::Accepted(revision) if !self.enforces(Safeguard::SingleTransaction) => {
                OperatorState::RecordPending(revision)
            }
            _ => OperatorState::Concluded(outcome),
        }
    }

    /// Returns the outcome of a transaction by the log, or `None` if the transaction may still be
    /// applied.
    ///
    /// A transaction that is sent again conflicts with itself. The change id tells that apart from
    /// a conflict with another change.
    fn outcome_from_log(
        &self,
        state: &State,
        operator: Operator,
        expected: Revision,
    ) -> Option<ChangeOutcome> {
        let revision = expected + 1;
        let is_own_change = state.table.log[revision] == Some(operator);
        if is_own_change && self.enforces(Safeguard::ChangeId) {
            return Some(ChangeOutcome::Accepted(revision));
        }
        // Until the head moves, a transaction in flight can still be applied.
        let head_moved = state.table.head > expected;
        (head_moved || !self.enforces(Safeguard::AbsenceIsInconclusive))
            .then_some(ChangeOutcome::Conflict)
    }

    /// Adds the steps of an operator's node after a lost response.
    fn lost_response_steps(
        &self,
        state: &State,
        operator: Operator,
        expected: Revision,
        steps: &mut ModelSteps,
    ) {
        if let Some(outcome) = self.outcome_from_log(state, operator, expected) {
            steps.add(Action::ReadLog(operator), |s| {
                s.operators[operator] = self.state_after_outcome(outcome);
            });
        }
        steps.add(Action::ReportUnknown(operator), |s| {
            s.operators[operator] = OperatorState::Concluded(ChangeOutcome::Unknown);
        });
        // With the change id, the same transaction is sent again. Without it, only a new
        // transaction can be sent.
        let resubmit_head =
            if self.enforces(Safeguard::ChangeId) { expected } else { state.table.head };
        if resubmit_head < MAX_REVISION {
            steps.add(Action::Resubmit(operator), |s| {
                s.submit(operator, resubmit_head);
            });
        }
    }

    fn table_steps(&self, state: &State, steps: &mut ModelSteps) {
        for operator in 0..self.operators {
            for expected in 0..MAX_REVISION {
                if state.transaction_bits & transaction_bit(operator, expected) != 0 {
                    steps.add(Action::ApplyLate(operator, expected), |s| {
                        self.apply_transaction(s, operator, expected);
                    });
                }
            }
        }
    }

    fn node_steps(&self, state: &State, node: Node, steps: &mut ModelSteps) {
        self.read_steps(state, node, steps);
        for held in state.messages() {
            steps.add(Action::Deliver(node, held), |s| {
                self.deliver_revision(&mut s.nodes[node], held);
            });
            steps.add(Action::HearRevision(node, held.revision), |s| {
                s.nodes[node].observe_revision(held.revision);
            });
        }
        self.serve_step(state, node, steps);
        if state.restarts < MAX_RESTARTS {
            steps.add(Action::Restart(node), |s| {
                s.restarts += 1;
                s.nodes[node] = NodeState::AFTER_BOOT;
            });
        }
    }

    fn read_steps(&self, state: &State, node: Node, steps: &mut ModelSteps) {
        // Head and record are separate rows. If the record changes between the two reads, a node
        // without the record's own revision number would hold the newer record under the older
        // number.
        if self.enforces(Safeguard::RecordNamesRevision) {
            steps.add(Action::ReadRecord(node), |s| {
                s.message_bits |= s.table.record.bit();
            });
            return;
        }
        steps.add(Action::ReadHead(node), |s| {
            s.nodes[node].pending_head = Some(s.table.head);
        });
        if let Some(revision) = state.nodes[node].pending_head {
            steps.add(Action::ReadRecord(node), |s| {
                s.nodes[node].pending_head = None;
                s.message_bits |= HeldRevision { revision, change: s.table.record.change }.bit();
            });
        }
    }

    /// Applies a received revision to a node.
    ///
    /// Messages may be reordered and repeated, so a lower revision would restore a replaced record.
    fn deliver_revision(&self, node: &mut NodeState, held: HeldRevision) {
        node.observe_revision(held.revision);
        let higher = held.revision > node.held.revision;
        if higher || !self.enforces(Safeguard::LowerRevisionIgnored) {
            node.held = held;
            node.update_max_served();
        }
    }

    fn serve_step(&self, state: &State, node: Node, steps: &mut ModelSteps) {
        let current = &state.nodes[node];
        // The first peer to respond may lag behind. Heartbeats of other peers show that there is a
        // higher revision.
        let caught_up = current.held.revision >= current.max_heard_revision
            || !self.enforces(Safeguard::CaughtUpBeforeServing);
        if !current.is_serving && current.held != HeldRevision::NONE && caught_up {
            steps.add(Action::StartServing(node), |s| {
                let node = &mut s.nodes[node];
                node.is_serving = true;
                node.started_serving_stale = node.held.revision < node.max_heard_revision;
                node.update_max_served();
            });
        }
    }

    /// Adds the calls to all serving nodes.
    ///
    /// Nodes learn revisions at different times, so a node behind the caller has to reject the
    /// call.
    fn call_steps(&self, state: &State, steps: &mut ModelSteps) {
        for node in 0..self.nodes {
            if !state.nodes[node].is_serving {
                continue;
            }
            steps.add(Action::Call(node), |s| {
                let revision = s.nodes[node].held.revision;
                let behind = revision < s.caller_revision;
                if behind && self.enforces(Safeguard::CallerCarriesRevision) {
                    s.nodes[node].observe_revision(s.caller_revision);
                } else {
                    s.caller_saw_older |= behind;
                    s.caller_revision = revision;
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
