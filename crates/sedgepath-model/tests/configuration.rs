//! Configuration changes: what holds, and what each safeguard is there for.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::expect;
use sedgepath_model::configuration::{
    ConfigurationModel, OperatorState, Outcome, Safeguard, State, Violation,
};
use sedgepath_model::search::reach;

fn two_by_two() -> ConfigurationModel {
    ConfigurationModel::new(2, 2)
}

fn without(removed: Safeguard) -> ConfigurationModel {
    two_by_two().with_removed(removed)
}

// Three operators race; answers are lost, transactions land late and repeatedly. No two are told
// that they made the same revision, and nobody is told of a conflict whose change comes into force,
// because the log names the change and the head never returns to what a transaction expects.
#[test]
fn acceptance_with_all_safeguards() {
    check(&ConfigurationModel::new(3, 0), &expect!["2368 states, holds"]);
}

// Two operators race while two nodes read, push, hear, serve and restart twice, and a caller moves
// between them. No node goes back and the caller never sees an older revision.
#[test]
fn two_operators_and_two_nodes_with_all_safeguards() {
    check(&two_by_two(), &expect!["63200 states, holds"]);
}

// The same with a third revision, and with a third node. So that the search stays small, operators
// always get their answers here; transactions still land late and repeatedly.
#[test]
fn more_revisions_or_nodes_with_all_safeguards() {
    check(&ConfigurationModel::new(3, 1).with_answers_kept(), &expect!["77328 states, holds"]);
    check(&ConfigurationModel::new(2, 3).with_answers_kept(), &expect!["116344 states, holds"]);
}

// An operator's answer is lost, another operator moves the head on, and the log tells the first
// that its change was accepted all the same. Without such runs the properties would be empty.
#[test]
fn lost_answer_is_settled_by_the_log() {
    let exploration = reach(&ConfigurationModel::new(2, 0), |state| {
        state.operators[0] == OperatorState::Told(Outcome::Accepted(1))
            && state.operators[1] == OperatorState::Told(Outcome::Accepted(2))
    });
    assert!(exploration.counterexample().is_some(), "{exploration}");
}

// Both nodes restart with empty memories after the second revision was accepted, and both serve it
// again. The properties would be empty if a restarted node never served.
#[test]
fn restarted_nodes_serve_the_head() {
    let serves_head = |state: &State| {
        let nodes = &state.nodes[..2];
        state.restarts == 2 && nodes.iter().all(|node| node.serves && node.held.revision == 2)
    };
    let exploration = reach(&two_by_two(), serves_head);
    assert!(exploration.counterexample().is_some(), "{exploration}");
}

// Two operators see the same head and both write the next revision. The second write replaces the
// first; both operators are told that they made the revision, and the change of one is gone.
#[test]
fn no_condition_on_the_head() {
    check(
        &without(Safeguard::HeadCondition),
        &expect![[r#"
            27 states, violated: TwoWinners after 4 steps
            Submit(0), Submit(1), TableAnswers(0), TableAnswers(1)"#]],
    );
    check(
        &without(Safeguard::HeadCondition).with_searched(Violation::AcceptedLost),
        &expect![[r#"
            27 states, violated: AcceptedLost after 4 steps
            Submit(0), Submit(1), TableAnswers(0), TableAnswers(1)"#]],
    );
}

// The answer to an accepted change is lost. Its node sends it again: against the old head it looks
// like a conflict with someone else, against the new head it is applied a second time.
#[test]
fn no_change_id() {
    check(
        &without(Safeguard::ChangeId),
        &expect![[r#"
            9 states, violated: FalseConflict after 3 steps
            Submit(0), ApplyLate(0, 0), TableAnswers(0)"#]],
    );
    check(
        &without(Safeguard::ChangeId).with_searched(Violation::AppliedTwice),
        &expect![[r#"
            79 states, violated: AppliedTwice after 5 steps
            Submit(0), TableTimeout(0), ApplyLate(0, 0), Resubmit(0)
            TableAnswers(0)"#]],
    );
}

// The answer is lost and the log does not show the change. The operator is told of a conflict; then
// the transaction lands, because no other one has moved the head.
#[test]
fn absence_taken_as_proof() {
    check(
        &without(Safeguard::AbsenceIsNoProof),
        &expect![[r#"
            22 states, violated: FalseConflict after 4 steps
            Submit(0), TableTimeout(0), ReadLog(0), ApplyLate(0, 0)"#]],
    );
}

// The first operator's node writes head and log row and is paused before it writes the record. The
// second operator's change is accepted whole. Then the first record lands and replaces it: whoever
// reads the table now gets the first revision, although the head and an operator say the second.
#[test]
fn record_written_on_its_own() {
    check(
        &without(Safeguard::OneTransaction),
        &expect![[r#"
            148 states, violated: AcceptedLost after 6 steps
            Submit(0), TableAnswers(0), Submit(1), TableAnswers(1)
            WriteRecord(1), WriteRecord(0)"#]],
    );
}

// A node reads the head, another change is accepted, and the node reads the record. It holds the
// second change as the first revision; beside it another node holds the first.
#[test]
fn record_does_not_name_its_revision() {
    check(
        &without(Safeguard::RecordNamesRevision),
        &expect![[r#"
            741 states, violated: Diverged after 7 steps
            Submit(0), TableAnswers(0), Submit(1), ReadHead(0)
            TableAnswers(1), ReadRecord(0), Deliver(0, Held { revision: 1, change: Some(1) })"#]],
    );
}

// A node serves the second revision when a late push of the first one arrives. It applies it, and
// what was accepted is undone there.
#[test]
fn lower_revision_applied() {
    check(
        &without(Safeguard::LowerIgnored),
        &expect![[r#"
            2626 states, violated: Reverted after 9 steps
            Submit(0), TableAnswers(0), Submit(1), ReadRecord(0)
            TableAnswers(1), ReadRecord(0), Deliver(0, Held { revision: 2, change: Some(1) }), Serve(0)
            Deliver(0, Held { revision: 1, change: Some(0) })"#]],
    );
}

// A new boot hears from one peer that there is a second revision and gets the first one from
// another that lags. It serves at once, by rules that it could know are replaced.
#[test]
fn served_before_catching_up() {
    check(
        &without(Safeguard::CaughtUpBeforeServing),
        &expect![[r#"
            2614 states, violated: ServedBehind after 9 steps
            Submit(0), TableAnswers(0), Submit(1), ReadRecord(0)
            TableAnswers(1), ReadRecord(0), Deliver(0, Held { revision: 1, change: Some(0) }), Hear(0, 2)
            Serve(0)"#]],
    );
}

// A caller is served by a node with the second revision and then by one that still has the first.
// It does not carry what it saw, so the second node cannot know that it is behind.
#[test]
fn caller_does_not_carry_its_revision() {
    check(
        &without(Safeguard::CallerCarriesRevision),
        &expect![[r#"
            15900 states, violated: CallerSawOlder after 12 steps
            Submit(0), TableAnswers(0), Submit(1), ReadRecord(0)
            TableAnswers(1), ReadRecord(0), Deliver(0, Held { revision: 1, change: Some(0) }), Serve(0)
            Deliver(1, Held { revision: 2, change: Some(1) }), Serve(1), Call(1), Call(0)"#]],
    );
}
