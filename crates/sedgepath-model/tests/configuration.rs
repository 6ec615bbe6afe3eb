//! Tests of the configuration model: the properties hold, and each safeguard prevents a violation.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::expect;
use sedgepath_model::configuration::{
    ChangeOutcome, ConfigurationModel, OperatorState, Safeguard, State, Violation,
};
use sedgepath_model::search::find_reachable_state;

fn two_by_two() -> ConfigurationModel {
    ConfigurationModel::new(2, 2)
}

fn without(removed: Safeguard) -> ConfigurationModel {
    two_by_two().without_safeguard(removed)
}

// Guards against a wrong outcome for one of three operators with lost responses and late
// transactions.
#[test]
fn acceptance_with_all_safeguards() {
    check(&ConfigurationModel::new(3, 0), &expect!["2368 states, holds"]);
}

// Guards against a node that reverts, or a caller that sees an older revision, while nodes restart.
#[test]
fn two_operators_and_two_nodes_with_all_safeguards() {
    check(&two_by_two(), &expect!["63200 states, holds"]);
}

// Guards against violations that need a third revision or a third node. Responses are not lost
// here, which keeps the search small.
#[test]
fn more_revisions_or_nodes_with_all_safeguards() {
    check(
        &ConfigurationModel::new(3, 1).with_reliable_responses(),
        &expect!["77328 states, holds"],
    );
    check(
        &ConfigurationModel::new(2, 3).with_reliable_responses(),
        &expect!["116344 states, holds"],
    );
}

// Guards against a model in which the log never settles a lost response.
#[test]
fn lost_response_is_settled_by_the_log() {
    let exploration = find_reachable_state(&ConfigurationModel::new(2, 0), |state| {
        state.operators[0] == OperatorState::Concluded(ChangeOutcome::Accepted(1))
            && state.operators[1] == OperatorState::Concluded(ChangeOutcome::Accepted(2))
    });
    assert!(exploration.counterexample().is_some(), "{exploration}");
}

// Guards against a model in which a restarted node never serves.
#[test]
fn restarted_nodes_serve_the_head() {
    let serves_head = |state: &State| {
        let nodes = &state.nodes[..2];
        state.restarts == 2 && nodes.iter().all(|node| node.is_serving && node.held.revision == 2)
    };
    let exploration = find_reachable_state(&two_by_two(), serves_head);
    assert!(exploration.counterexample().is_some(), "{exploration}");
}

// Two operators that read the same head both write the next revision, and one change is lost.
#[test]
fn no_condition_on_the_head() {
    check(
        &without(Safeguard::HeadCondition),
        &expect![[r#"
            27 states, violated: DuplicateRevision after 4 steps
            Submit(0), Submit(1), TableResponds(0), TableResponds(1)"#]],
    );
    check(
        &without(Safeguard::HeadCondition).with_target_violation(Violation::AcceptedChangeLost),
        &expect![[r#"
            27 states, violated: AcceptedChangeLost after 4 steps
            Submit(0), Submit(1), TableResponds(0), TableResponds(1)"#]],
    );
}

// After a lost response, an accepted change is reported as a conflict, or applied a second time.
#[test]
fn no_change_id() {
    check(
        &without(Safeguard::ChangeId),
        &expect![[r#"
            9 states, violated: FalseConflict after 3 steps
            Submit(0), ApplyLate(0, 0), TableResponds(0)"#]],
    );
    check(
        &without(Safeguard::ChangeId).with_target_violation(Violation::AppliedTwice),
        &expect![[r#"
            79 states, violated: AppliedTwice after 5 steps
            Submit(0), TableTimeout(0), ApplyLate(0, 0), Resubmit(0)
            TableResponds(0)"#]],
    );
}

// A transaction is applied after its operator was told of a conflict.
#[test]
fn absence_reported_as_conflict() {
    check(
        &without(Safeguard::AbsenceIsInconclusive),
        &expect![[r#"
            22 states, violated: FalseConflict after 4 steps
            Submit(0), TableTimeout(0), ReadLog(0), ApplyLate(0, 0)"#]],
    );
}

// A late record replaces the newer record of an accepted change.
#[test]
fn record_written_separately() {
    check(
        &without(Safeguard::SingleTransaction),
        &expect![[r#"
            148 states, violated: AcceptedChangeLost after 6 steps
            Submit(0), TableResponds(0), Submit(1), TableResponds(1)
            WriteRecord(1), WriteRecord(0)"#]],
    );
}

// A node that reads head and record separately holds the second change as the first revision.
#[test]
fn record_does_not_name_its_revision() {
    check(
        &without(Safeguard::RecordNamesRevision),
        &expect![[r#"
            741 states, violated: Diverged after 7 steps
            Submit(0), TableResponds(0), Submit(1), ReadHead(0)
            TableResponds(1), ReadRecord(0), Deliver(0, HeldRevision { revision: 1, change: Some(1) })"#]],
    );
}

// A late message takes a serving node back to a replaced revision.
#[test]
fn lower_revision_applied() {
    check(
        &without(Safeguard::LowerRevisionIgnored),
        &expect![[r#"
            2626 states, violated: Reverted after 9 steps
            Submit(0), TableResponds(0), Submit(1), ReadRecord(0)
            TableResponds(1), ReadRecord(0), Deliver(0, HeldRevision { revision: 2, change: Some(1) }), StartServing(0)
            Deliver(0, HeldRevision { revision: 1, change: Some(0) })"#]],
    );
}

// A new boot serves the first revision although a peer has told it of the second.
#[test]
fn served_before_catching_up() {
    check(
        &without(Safeguard::CaughtUpBeforeServing),
        &expect![[r#"
            2614 states, violated: ServedStale after 9 steps
            Submit(0), TableResponds(0), Submit(1), ReadRecord(0)
            TableResponds(1), ReadRecord(0), Deliver(0, HeldRevision { revision: 1, change: Some(0) }), HearRevision(0, 2)
            StartServing(0)"#]],
    );
}

// A caller moves to a node that is behind, which cannot know that it is.
#[test]
fn caller_does_not_carry_its_revision() {
    check(
        &without(Safeguard::CallerCarriesRevision),
        &expect![[r#"
            15900 states, violated: CallerSawOlder after 12 steps
            Submit(0), TableResponds(0), Submit(1), ReadRecord(0)
            TableResponds(1), ReadRecord(0), Deliver(0, HeldRevision { revision: 1, change: Some(0) }), StartServing(0)
            Deliver(1, HeldRevision { revision: 2, change: Some(1) }), StartServing(1), Call(1), Call(0)"#]],
    );
}
