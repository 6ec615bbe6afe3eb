//! Tests of the claim model: the properties hold, and each safeguard prevents a violation.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::expect;
use sedgepath_model::claim::{
    ClaimModel, KeyKind, KeyRecord, ReportedOutcome, Safeguard, State, UpstreamState, Violation,
};
use sedgepath_model::search::find_reachable_state;

fn without(removed: Safeguard) -> ClaimModel {
    ClaimModel::new().without_safeguard(removed)
}

fn retry_answered_after_not_run(state: &State) -> bool {
    state.requests[0].reported == ReportedOutcome::NotRun
        && state.requests[1].reported == ReportedOutcome::Answered
}

// Guards against any order of retries, late writes and crashes that breaks a property.
#[test]
fn no_violation_with_all_safeguards() {
    check(&ClaimModel::new(), &expect!["511122 states, holds"]);
}

// Guards against a model in which a rejected key could never run.
#[test]
fn rejected_key_can_run_later() {
    for kind in [KeyKind::Chosen, KeyKind::Ticket] {
        let exploration = find_reachable_state(
            &ClaimModel::new().with_key_kind(kind),
            retry_answered_after_not_run,
        );
        assert!(exploration.counterexample().is_some(), "{kind:?}: {exploration}");
    }
}

// Guards against a model in which a stored response is never returned for a retry.
#[test]
fn retry_is_answered_from_the_row() {
    let exploration = find_reachable_state(&ClaimModel::new(), |state| {
        state.row == KeyRecord::Completed
            && state.requests[0].reported == ReportedOutcome::Pending
            && state.requests[1].reported == ReportedOutcome::Answered
            && state.requests[1].upstream_state == UpstreamState::NotSent
    });
    assert!(exploration.counterexample().is_some(), "{exploration}");
}

// Guards against a model in which the peer never reports an outcome for a stopped home.
#[test]
fn peer_reports_outcome_after_home_stops() {
    for told in [ReportedOutcome::Answered, ReportedOutcome::NotRun] {
        let model = ClaimModel::new().with_key_kind(KeyKind::Ticket);
        let exploration = find_reachable_state(&model, |state| {
            let stopped = state.received_handover.is_some() && state.boots[0] > 0;
            stopped && state.issued_requests == 2 && state.requests[1].reported == told
        });
        assert!(exploration.counterexample().is_some(), "{told:?}: {exploration}");
    }
}

// A node that assumes a claim without a read runs the operation next to another holder, or after a
// tombstone.
#[test]
fn no_read_back() {
    check(
        &without(Safeguard::ReadBack),
        &expect![[r#"
            29403 states, violated: RanAfterNotRun after 9 steps
            Issue(0), Issue(0), Accept(0), TableTimeout(0)
            AssumeClaimed(0), Send(0), Start(0), Reject(1)
            TableResponds(1)"#]],
    );
    check(
        &without(Safeguard::ReadBack).with_target_violation(Violation::RanTwice),
        &expect![[r#"
            107683 states, violated: RanTwice after 11 steps
            Issue(0), Issue(0), Accept(0), TableResponds(0)
            Send(0), Start(0), Accept(1), TableTimeout(1)
            AssumeClaimed(1), Send(1), Start(1)"#]],
    );
}

// The insert of the first request is applied after its retry was reported *not run*.
#[test]
fn no_tombstone_for_a_late_insert() {
    check(
        &without(Safeguard::TombstoneBeforeNotRun),
        &expect![[r#"
            4855 states, violated: RanAfterNotRun after 7 steps
            Issue(0), Issue(0), Accept(0), Reject(1)
            TableResponds(0), Send(0), Start(0)"#]],
    );
}

// The node's own late insert leaves a claim that nobody releases. Every retry would then be
// reported *unknown*, although the operation never ran.
#[test]
fn no_tombstone_after_own_insert() {
    check(
        &without(Safeguard::TombstoneAfterOwnInsert),
        &expect![[r#"
            586 states, violated: OrphanedClaim after 5 steps
            Issue(0), Accept(0), TableTimeout(0), ReadBack(0)
            ApplyLate(Claim(0))"#]],
    );
    check(
        &without(Safeguard::TombstoneAfterOwnInsert).with_target_violation(Violation::RanTwice),
        &expect!["337682 states, holds"],
    );
}

// The holder is paused or its response late, so a takeover runs the operation twice or reports *not
// run* for an operation that ran.
#[test]
fn claim_taken_over() {
    check(
        &without(Safeguard::ClaimNeverTakenOver),
        &expect![[r#"
            28514 states, violated: RanAfterNotRun after 9 steps
            Issue(0), Issue(0), Accept(0), TableResponds(0)
            Send(0), Start(0), Accept(1), TableResponds(1)
            CancelBeforeSend(1)"#]],
    );
    check(
        &without(Safeguard::ClaimNeverTakenOver).with_target_violation(Violation::RanTwice),
        &expect![[r#"
            55888 states, violated: RanTwice after 10 steps
            Issue(0), Issue(0), Accept(0), TableResponds(0)
            Send(0), Start(0), Accept(1), TableResponds(1)
            Send(1), Start(1)"#]],
    );
}

// A release that is sent again deletes the claim of a newer request, and a third request runs.
#[test]
fn release_does_not_name_holder() {
    check(
        &without(Safeguard::ReleaseNamesHolder),
        &expect![[r#"
            201163 states, violated: OrphanedClaim after 13 steps
            Issue(0), Issue(0), Issue(0), Accept(0)
            TableResponds(0), CancelBeforeSend(0), Accept(1), Reject(2)
            ApplyLate(Release(0)), TableResponds(2), TableResponds(1), ApplyLate(Release(0))
            ApplyLate(Claim(1))"#]],
    );
    check(
        &without(Safeguard::ReleaseNamesHolder).with_target_violation(Violation::RanTwice),
        &expect![[r#"
            400015 states, violated: RanTwice after 16 steps
            Issue(0), Issue(0), Issue(0), Accept(0)
            TableResponds(0), CancelBeforeSend(0), Accept(1), Accept(2)
            ApplyLate(Release(0)), TableResponds(1), Send(1), Start(1)
            ApplyLate(Release(0)), TableResponds(2), Send(2), Start(2)"#]],
    );
}

// A request delayed at a paused node claims the record that says not run, after the caller got *not
// run*.
#[test]
fn no_attempt_number() {
    let model = without(Safeguard::AttemptNumber);
    check(
        &model.clone().with_key_kind(KeyKind::Chosen),
        &expect![[r#"
            4567 states, violated: RanAfterNotRun after 8 steps
            Issue(0), Issue(0), Accept(0), Reject(1)
            TableResponds(1), TableResponds(0), Send(0), Start(0)"#]],
    );
    check(
        &model.with_key_kind(KeyKind::Ticket),
        &expect![[r#"
            164 states, violated: RanAfterNotRun after 5 steps
            Issue(0), Issue(0), Reject(1), Accept(0)
            Start(0)"#]],
    );
}

// A node without the table reports *not run* for a retry, although the first request ran elsewhere.
#[test]
fn retry_not_settled_by_the_table() {
    check(
        &without(Safeguard::RetrySettledByTable),
        &expect![[r#"
            4766 states, violated: RanAfterNotRun after 7 steps
            Issue(0), Issue(0), Accept(0), TableResponds(0)
            Send(0), Start(0), Reject(1)"#]],
    );
}

// A request that is still in flight starts after the timeout.
#[test]
fn timeout_reported_as_not_run() {
    let model = without(Safeguard::TimeoutIsUnknown);
    check(
        &model.clone().with_key_kind(KeyKind::Chosen),
        &expect![[r#"
            609 states, violated: RanAfterNotRun after 6 steps
            Issue(0), Accept(0), TableResponds(0), Send(0)
            UpstreamTimeout(0), Start(0)"#]],
    );
    check(
        &model.with_key_kind(KeyKind::Ticket),
        &expect![[r#"
            53 states, violated: RanAfterNotRun after 4 steps
            Issue(0), Accept(0), UpstreamTimeout(0), Start(0)"#]],
    );
}

// The upstream starts the request before the cancellation arrives.
#[test]
fn cancellation_not_confirmed() {
    let model = without(Safeguard::CancellationConfirmed);
    check(
        &model.clone().with_key_kind(KeyKind::Chosen),
        &expect![[r#"
            608 states, violated: RanAfterNotRun after 6 steps
            Issue(0), Accept(0), TableResponds(0), Send(0)
            Cancel(0), Start(0)"#]],
    );
    check(
        &model.with_key_kind(KeyKind::Ticket),
        &expect![[r#"
            52 states, violated: RanAfterNotRun after 4 steps
            Issue(0), Accept(0), Cancel(0), Start(0)"#]],
    );
}

// The home's new boot does not know that the ticket was used, and runs it again.
#[test]
fn ticket_run_by_another_boot() {
    check(
        &without(Safeguard::TicketBoundToBoot),
        &expect![[r#"
            838 states, violated: RanAfterNotRun after 6 steps
            Issue(0), Issue(0), Accept(0), Start(0)
            Crash(0), Reject(1)"#]],
    );
    check(
        &without(Safeguard::TicketBoundToBoot).with_target_violation(Violation::RanTwice),
        &expect![[r#"
            2899 states, violated: RanTwice after 7 steps
            Issue(0), Issue(0), Accept(0), Start(0)
            Crash(0), Accept(1), Start(1)"#]],
    );
}

// The home has no record of a used ticket and runs its retry.
#[test]
fn used_tickets_not_recorded() {
    check(
        &without(Safeguard::UsedTicketsRecorded),
        &expect![[r#"
            235 states, violated: RanAfterNotRun after 5 steps
            Issue(0), Issue(0), Reject(1), Accept(0)
            Start(0)"#]],
    );
    check(
        &without(Safeguard::UsedTicketsRecorded).with_target_violation(Violation::RanTwice),
        &expect![[r#"
            825 states, violated: RanTwice after 6 steps
            Issue(0), Issue(0), Accept(0), Start(0)
            Accept(1), Start(1)"#]],
    );
}

// The home drops the record of a used ticket that expired, and runs its retry.
#[test]
fn expired_ticket_accepted() {
    let model = without(Safeguard::ExpiredTicketsRejected);
    check(
        &model.clone(),
        &expect![[r#"
            910 states, violated: RanAfterNotRun after 6 steps
            Issue(0), Issue(0), Reject(1), Expire
            Accept(0), Start(0)"#]],
    );
    check(
        &model.with_target_violation(Violation::RanTwice),
        &expect![[r#"
            8447 states, violated: RanTwice after 8 steps
            Issue(0), Issue(0), Accept(0), Start(0)
            UpstreamResponds(0), Expire, Accept(1), Start(1)"#]],
    );
}

// The home runs a ticket after it was listed as unused, and the peer reports *not run*.
#[test]
fn ticket_run_after_handover() {
    check(
        &without(Safeguard::NoRunsAfterHandover),
        &expect![[r#"
            3733 states, violated: RanAfterNotRun after 7 steps
            Issue(0), Issue(1), HandOverTickets, Accept(0)
            Start(0), ReceiveTickets, Accept(1)"#]],
    );
}

// A used ticket expires and is missing from the list, and the peer reports *not run*.
#[test]
fn unlisted_ticket_reported_not_run() {
    check(
        &without(Safeguard::UnlistedTicketIsUnknown),
        &expect![[r#"
            21186 states, violated: RanAfterNotRun after 9 steps
            Issue(0), Issue(1), Accept(0), Start(0)
            UpstreamResponds(0), Expire, HandOverTickets, ReceiveTickets
            Accept(1)"#]],
    );
}

// The table and the memory of a node do not see each other, so each path runs the operation once.
#[test]
fn key_run_on_both_paths() {
    check(
        &without(Safeguard::SeparatePaths),
        &expect![[r#"
            4 states, violated: PathChanged after 2 steps
            Issue(1), ChangePath(0)"#]],
    );
    let same_key_on_both_paths =
        without(Safeguard::SeparatePaths).with_target_violation(Violation::RanTwice);
    check(
        &same_key_on_both_paths.clone().with_key_kind(KeyKind::Chosen),
        &expect![[r#"
            1040 states, violated: RanTwice after 6 steps
            Issue(0), Issue(1), ChangePath(0), Start(0)
            ChangePath(1), Start(1)"#]],
    );
    check(
        &same_key_on_both_paths.with_key_kind(KeyKind::Ticket),
        &expect![[r#"
            9789 states, violated: RanTwice after 8 steps
            Issue(0), Issue(1), Accept(0), Start(0)
            ChangePath(1), TableResponds(1), Send(1), Start(1)"#]],
    );
}
