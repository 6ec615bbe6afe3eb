//! Claims and tickets: what holds, and what each safeguard is there for.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::expect;
use sedgepath_model::claim::{
    AtUpstream, ClaimModel, KeyKind, Record, Safeguard, State, Told, Violation,
};
use sedgepath_model::search::reach;

fn without(removed: Safeguard) -> ClaimModel {
    ClaimModel::new().with_removed(removed)
}

fn is_answered_after_not_run(state: &State) -> bool {
    state.requests[0].told == Told::NotRun && state.requests[1].told == Told::Answered
}

// Callers repeat through two nodes, writes land late and repeatedly, nodes crash twice. In no order
// of events does the key run twice, or run after the caller was told that it did not, because no
// node sends without a row or a memory that only it can hold.
#[test]
fn all_safeguards() {
    check(&ClaimModel::new(), &expect!["511122 states, holds"]);
}

// The caller hears that its first request was not run, asks again with the same key and is
// answered. The property would be empty if a refused key could never be run.
#[test]
fn refused_key_can_run_later() {
    for kind in [KeyKind::Chosen, KeyKind::Ticket] {
        let exploration = reach(&ClaimModel::new().with_kind(kind), is_answered_after_not_run);
        assert!(exploration.counterexample().is_some(), "{kind:?}: {exploration}");
    }
}

// The caller's first request is lost with its node after the upstream ran it and the answer was
// stored. The repeat through the other node is answered from the row and runs nothing.
#[test]
fn repeat_is_answered_from_the_row() {
    let exploration = reach(&ClaimModel::new(), |state| {
        state.row == Record::Done
            && state.requests[0].told == Told::Nothing
            && state.requests[1].told == Told::Answered
            && state.requests[1].at_upstream == AtUpstream::Nothing
    });
    assert!(exploration.counterexample().is_some(), "{exploration}");
}

// The home of a ticket hands it over and its VM is replaced. The peer answers a repeat of a used
// ticket and says *not run* of an unused one; without such runs the list would be of no use.
#[test]
fn peer_answers_for_a_stopped_home() {
    for told in [Told::Answered, Told::NotRun] {
        let model = ClaimModel::new().with_kind(KeyKind::Ticket);
        let exploration = reach(&model, |state| {
            let stopped = state.received.is_some() && state.boots[0] > 0;
            stopped && state.issued == 2 && state.requests[1].told == told
        });
        assert!(exploration.counterexample().is_some(), "{told:?}: {exploration}");
    }
}

// The answer to a claim is lost and the node sends all the same. Another node's claim stood in the
// table first, or a tombstone did; the caller sees the action run twice, or after *not run*.
#[test]
fn no_read_back() {
    check(
        &without(Safeguard::ReadBack),
        &expect![[r#"
            29403 states, violated: RanAfterNotRun after 9 steps
            Issue(0), Issue(0), TakeUp(0), TableTimeout(0)
            AssumeClaimed(0), Send(0), Start(0), Refuse(1)
            TableAnswers(1)"#]],
    );
    check(
        &without(Safeguard::ReadBack).with_searched(Violation::RanTwice),
        &expect![[r#"
            107683 states, violated: RanTwice after 11 steps
            Issue(0), Issue(0), TakeUp(0), TableAnswers(0)
            Send(0), Start(0), TakeUp(1), TableTimeout(1)
            AssumeClaimed(1), Send(1), Start(1)"#]],
    );
}

// The first request has its insert under way. The repeat through another node finds no row and is
// told *not run*. The insert lands, its node gets the answer and runs the action.
#[test]
fn no_tombstone_for_a_late_insert() {
    check(
        &without(Safeguard::TombstoneBeforeNotRun),
        &expect![[r#"
            4855 states, violated: RanAfterNotRun after 7 steps
            Issue(0), Issue(0), TakeUp(0), Refuse(1)
            TableAnswers(0), Send(0), Start(0)"#]],
    );
}

// A node gives up its insert, says *not run* and leaves nothing behind. The insert lands later: the
// claim stands for good, and whoever asks again hears *unknown* although nothing ever ran. Nothing
// runs twice here; the action is lost.
#[test]
fn no_tombstone_for_its_own_insert() {
    check(
        &without(Safeguard::TombstoneAfterOwnInsert),
        &expect![[r#"
            586 states, violated: OrphanedClaim after 5 steps
            Issue(0), TakeUp(0), TableTimeout(0), ReadBack(0)
            ApplyLate(Claim(0))"#]],
    );
    check(
        &without(Safeguard::TombstoneAfterOwnInsert).with_searched(Violation::RanTwice),
        &expect!["337682 states, holds"],
    );
}

// The first request holds the claim; its node is paused or its answer late. The node that has the
// repeat takes the claim for lapsed and takes it over. Either it gives up and says *not run* of an
// action that ran, or it sends and the action runs twice.
#[test]
fn lapsed_claim_taken_over() {
    check(
        &without(Safeguard::ClaimNeverTakenOver),
        &expect![[r#"
            28514 states, violated: RanAfterNotRun after 9 steps
            Issue(0), Issue(0), TakeUp(0), TableAnswers(0)
            Send(0), Start(0), TakeUp(1), TableAnswers(1)
            GiveUp(1)"#]],
    );
    check(
        &without(Safeguard::ClaimNeverTakenOver).with_searched(Violation::RanTwice),
        &expect![[r#"
            55888 states, violated: RanTwice after 10 steps
            Issue(0), Issue(0), TakeUp(0), TableAnswers(0)
            Send(0), Start(0), TakeUp(1), TableAnswers(1)
            Send(1), Start(1)"#]],
    );
}

// A holder gives its claim back; the answer is lost and the write is repeated. In between, a retry
// has claimed the key and runs. The repeated release wipes out that claim, and a third request
// runs.
#[test]
fn release_without_holder() {
    check(
        &without(Safeguard::ReleaseNamesHolder),
        &expect![[r#"
            201163 states, violated: OrphanedClaim after 13 steps
            Issue(0), Issue(0), Issue(0), TakeUp(0)
            TableAnswers(0), GiveUp(0), TakeUp(1), Refuse(2)
            ApplyLate(Release(0)), TableAnswers(2), TableAnswers(1), ApplyLate(Release(0))
            ApplyLate(Claim(1))"#]],
    );
    check(
        &without(Safeguard::ReleaseNamesHolder).with_searched(Violation::RanTwice),
        &expect![[r#"
            400015 states, violated: RanTwice after 16 steps
            Issue(0), Issue(0), Issue(0), TakeUp(0)
            TableAnswers(0), GiveUp(0), TakeUp(1), TakeUp(2)
            ApplyLate(Release(0)), TableAnswers(1), Send(1), Start(1)
            ApplyLate(Release(0)), TableAnswers(2), Send(2), Start(2)"#]],
    );
}

// The first request waits at a paused node. The caller gives it up, asks through the other node and
// hears *not run*. The paused node wakes, takes up the first request, finds a row (or a memory)
// that says not run, claims it anew and runs the action.
#[test]
fn no_attempt_number() {
    let model = without(Safeguard::AttemptNumber);
    check(
        &model.clone().with_kind(KeyKind::Chosen),
        &expect![[r#"
            4567 states, violated: RanAfterNotRun after 8 steps
            Issue(0), Issue(0), TakeUp(0), Refuse(1)
            TableAnswers(1), TableAnswers(0), Send(0), Start(0)"#]],
    );
    check(
        &model.with_kind(KeyKind::Ticket),
        &expect![[r#"
            164 states, violated: RanAfterNotRun after 5 steps
            Issue(0), Issue(0), Refuse(1), TakeUp(0)
            Start(0)"#]],
    );
}

// The first request runs, but the caller does not hear of it. Its repeat reaches a node that cannot
// write to the table; that node has sent nothing and says *not run*, which the caller takes to mean
// that the action did not run.
#[test]
fn repeat_not_settled_by_the_table() {
    check(
        &without(Safeguard::RepeatSettledByTable),
        &expect![[r#"
            4766 states, violated: RanAfterNotRun after 7 steps
            Issue(0), Issue(0), TakeUp(0), TableAnswers(0)
            Send(0), Start(0), Refuse(1)"#]],
    );
}

// The upstream (or the ticket's home) is slow. The node stops waiting and says *not run*; the
// request is still on its way and is started afterwards.
#[test]
fn timeout_taken_as_proof() {
    let model = without(Safeguard::TimeoutIsNoProof);
    check(
        &model.clone().with_kind(KeyKind::Chosen),
        &expect![[r#"
            609 states, violated: RanAfterNotRun after 6 steps
            Issue(0), TakeUp(0), TableAnswers(0), Send(0)
            UpstreamTimeout(0), Start(0)"#]],
    );
    check(
        &model.with_kind(KeyKind::Ticket),
        &expect![[r#"
            53 states, violated: RanAfterNotRun after 4 steps
            Issue(0), TakeUp(0), UpstreamTimeout(0), Start(0)"#]],
    );
}

// The node sends a cancellation and says *not run* at once. The upstream had started the request
// before the cancellation arrived.
#[test]
fn cancellation_not_confirmed() {
    let model = without(Safeguard::CancellationConfirmed);
    check(
        &model.clone().with_kind(KeyKind::Chosen),
        &expect![[r#"
            608 states, violated: RanAfterNotRun after 6 steps
            Issue(0), TakeUp(0), TableAnswers(0), Send(0)
            Cancel(0), Start(0)"#]],
    );
    check(
        &model.with_kind(KeyKind::Ticket),
        &expect![[r#"
            52 states, violated: RanAfterNotRun after 4 steps
            Issue(0), TakeUp(0), Cancel(0), Start(0)"#]],
    );
}

// A ticket is used, its home crashes and boots with an empty memory. The repeat arrives, the new
// boot takes the ticket for unused and runs it again.
#[test]
fn ticket_run_by_another_boot() {
    check(
        &without(Safeguard::TicketBoundToBoot),
        &expect![[r#"
            838 states, violated: RanAfterNotRun after 6 steps
            Issue(0), Issue(0), TakeUp(0), Start(0)
            Crash(0), Refuse(1)"#]],
    );
    check(
        &without(Safeguard::TicketBoundToBoot).with_searched(Violation::RanTwice),
        &expect![[r#"
            2899 states, violated: RanTwice after 7 steps
            Issue(0), Issue(0), TakeUp(0), Start(0)
            Crash(0), TakeUp(1), Start(1)"#]],
    );
}

// The home of a ticket runs it and keeps no note. The caller repeats the request, directly or
// through another node that forwards it, and the home runs it again.
#[test]
fn used_tickets_forgotten() {
    check(
        &without(Safeguard::UsedTicketsRemembered),
        &expect![[r#"
            235 states, violated: RanAfterNotRun after 5 steps
            Issue(0), Issue(0), Refuse(1), TakeUp(0)
            Start(0)"#]],
    );
    check(
        &without(Safeguard::UsedTicketsRemembered).with_searched(Violation::RanTwice),
        &expect![[r#"
            825 states, violated: RanTwice after 6 steps
            Issue(0), Issue(0), TakeUp(0), Start(0)
            TakeUp(1), Start(1)"#]],
    );
}

// A used ticket expires and its home forgets it. The caller repeats the request with it; the home
// does not look at the expiry and takes the ticket for unused.
#[test]
fn expired_ticket_run() {
    let model = without(Safeguard::ExpiredTicketsRefused);
    check(
        &model.clone(),
        &expect![[r#"
            910 states, violated: RanAfterNotRun after 6 steps
            Issue(0), Issue(0), Refuse(1), Expire
            TakeUp(0), Start(0)"#]],
    );
    check(
        &model.with_searched(Violation::RanTwice),
        &expect![[r#"
            8447 states, violated: RanTwice after 8 steps
            Issue(0), Issue(0), TakeUp(0), Start(0)
            UpstreamAnswers(0), Expire, TakeUp(1), Start(1)"#]],
    );
}

// Before its stop the home lists the ticket as unused for its peer and then runs it all the same.
// The repeat reaches the peer, which says *not run*.
#[test]
fn ticket_run_after_the_hand_over() {
    check(
        &without(Safeguard::HandOverIsFinal),
        &expect![[r#"
            3733 states, violated: RanAfterNotRun after 7 steps
            Issue(0), Issue(1), HandOver, TakeUp(0)
            Start(0), ReceiveHandOver, TakeUp(1)"#]],
    );
}

// A used ticket expires, its home forgets it and prepares its stop. The repeat reaches the peer,
// which does not find the ticket on the list and says *not run* of an action that ran.
#[test]
fn unlisted_ticket_told_not_run() {
    check(
        &without(Safeguard::UnlistedIsUnknown),
        &expect![[r#"
            21186 states, violated: RanAfterNotRun after 9 steps
            Issue(0), Issue(1), TakeUp(0), Start(0)
            UpstreamAnswers(0), Expire, HandOver, ReceiveHandOver
            TakeUp(1)"#]],
    );
}

// A ticket reaches a node that cannot get through to its home and claims it in the table instead;
// or a node that cannot reach the table runs a chosen key from its memory. The two paths do not see
// each other, so each runs the action once.
#[test]
fn key_passed_between_paths() {
    check(
        &without(Safeguard::PathsKeptApart),
        &expect![[r#"
            4 states, violated: PathChanged after 2 steps
            Issue(1), ChangePath(0)"#]],
    );
    let twice = without(Safeguard::PathsKeptApart).with_searched(Violation::RanTwice);
    check(
        &twice.clone().with_kind(KeyKind::Chosen),
        &expect![[r#"
            1040 states, violated: RanTwice after 6 steps
            Issue(0), Issue(1), ChangePath(0), Start(0)
            ChangePath(1), Start(1)"#]],
    );
    check(
        &twice.with_kind(KeyKind::Ticket),
        &expect![[r#"
            9789 states, violated: RanTwice after 8 steps
            Issue(0), Issue(1), TakeUp(0), Start(0)
            ChangePath(1), TableAnswers(1), Send(1), Start(1)"#]],
    );
}
