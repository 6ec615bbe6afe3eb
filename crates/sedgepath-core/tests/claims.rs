//! At-most-once execution under keys that callers choose.

#[path = "once_support/callers.rs"]
mod once_callers;
mod once_support;

use once_callers::{kill_nodes_in_turn, pause_two_nodes, run_actions};
use once_support::{Verdict, assert_holds, bed, evaluate, head, settle};
use sedgepath_core::deduplication;
use sedgepath_core::hash::Digest;
use sedgepath_core::request::{Deduplication, Outcome};
use sedgepath_test_support::bed::{CallResult, TestBed};

/// Returns the key that a caller chose for an action.
fn key(number: usize) -> Deduplication {
    Deduplication::Key(Digest::of(&[b"key", &number.to_le_bytes()]))
}

fn new_key(_bed: &mut TestBed, number: usize) -> Deduplication {
    key(number)
}

/// A caller retries an action through another node. It must get the response stored in the table,
/// and the action must not run again.
#[test]
fn a_retry_through_another_node_gets_the_stored_response() {
    let mut bed = bed(1);
    for number in 0..20 {
        let first = head(&bed, key(number), 1);
        bed.call(number % 4, first);
        bed.run_for(200);
        let second = head(&bed, key(number), 0);
        let retry = bed.call((number + 1) % 4, second);
        bed.run_for(200);
        let seen = &bed.calls()[retry].result;
        assert!(matches!(seen, CallResult::Concluded(Outcome::Repeated(_))), "{seen:?}");
    }
    let verdict = evaluate(&bed);
    assert_eq!(verdict, Verdict { answered: 20, ..Verdict::default() });
}

/// A request to a once-only service without a key or ticket can't be told from its retry and must
/// be rejected.
#[test]
fn a_once_only_service_rejects_requests_without_a_key() {
    let mut bed = bed(14);
    let head = head(&bed, Deduplication::Repeatable, 0);
    let call = bed.call(0, head);
    assert_eq!(bed.calls()[call].result, CallResult::Concluded(Outcome::KeyRequired));
}

/// A key that is reused for another request must be rejected on every node, before and after the
/// first request has ended.
#[test]
fn a_key_reused_for_another_request_is_rejected() {
    let mut bed = bed(2);
    let first = head(&bed, key(0), 1);
    bed.call(0, first.clone());
    bed.run_for(10);
    let mut calls = Vec::new();
    for node in 0..4 {
        let mut other = first.clone();
        other.digest = Digest::of(&[b"another request"]);
        calls.push(bed.call(node, other));
        bed.run_for(200);
    }
    for call in calls {
        assert_eq!(bed.calls()[call].result, CallResult::Concluded(Outcome::KeyReused));
    }
    assert_eq!(evaluate(&bed).ran_twice, 0);
}

/// Results of writes are lost, so nodes must read the row to learn whether they hold a claim. Every
/// action must end with a response, and none may run twice.
#[test]
fn lost_write_results_cause_no_second_run() {
    let mut bed = bed(3);
    bed.faults.lost_commit_result_percent = 40;
    run_actions(&mut bed, 200, 10, new_key, |_, _| {});
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert_eq!(verdict.answered, 200, "{verdict:?}");
}

/// Writes are applied late and their results are lost. An action would run twice if a node took a
/// lost result for a granted claim while the caller retries through another node.
#[test]
fn late_writes_cause_no_second_run() {
    let mut bed = bed(4);
    bed.faults.commit_delay_ms = 3_000;
    bed.upstreams.get("d1").loses_responses = true;
    run_actions(&mut bed, 200, 10, new_key, |bed, number| {
        bed.faults.delayed_commits = u32::from(number % 5 == 0);
    });
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert!(verdict.unknown > 0 && verdict.answered > 50, "{verdict:?}");
}

/// A claim is applied after its caller was told *not run*, while the platform is down. The node must
/// release it when the platform is back, so that the caller's retry can run.
#[test]
fn a_late_claim_of_a_request_told_not_run_is_released() {
    let mut bed = bed(12);
    bed.faults.delayed_commits = 1;
    bed.faults.commit_delay_ms = 300;
    let first = head(&bed, key(0), 1);
    let first = bed.call(0, first);
    bed.run_for(1);
    bed.faults.platform_down = true;
    bed.run_for(500);
    let seen = &bed.calls()[first].result;
    assert!(matches!(seen, CallResult::Concluded(Outcome::NotRun { .. })), "{seen:?}");
    bed.faults.platform_down = false;
    bed.run_for(1_000);
    let second = head(&bed, key(0), 2);
    bed.call(2, second);
    bed.run_for(500);
    let verdict = evaluate(&bed);
    assert_eq!(verdict, Verdict { answered: 1, ..Verdict::default() });
}

/// Claims are applied after they were given up, while rows can't be read. No action may run after
/// *not run*, and every caller that retries must get its response in the end.
#[test]
fn late_writes_while_the_table_cannot_be_read_cause_no_second_run() {
    let mut bed = bed(13);
    bed.faults.commit_delay_ms = 3_000;
    run_actions(&mut bed, 200, 10, new_key, |bed, number| {
        bed.faults.platform_down = number % 20 >= 10;
        if number % 20 == 9 {
            bed.faults.delayed_commits = 4;
        }
    });
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert_eq!(verdict.answered, 200, "{verdict:?}");
}

/// Nodes are killed while they hold claims. No other node may take these claims over, since the
/// actions may have run.
#[test]
fn claims_of_killed_nodes_are_not_taken_over() {
    let mut bed = bed(5);
    run_actions(&mut bed, 200, 10, new_key, kill_nodes_in_turn);
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert!(verdict.answered > 150, "{verdict:?}");
}

/// Paused nodes resume with claims and delayed requests after callers have retried through other
/// nodes. Nothing may run a second time.
#[test]
fn claims_of_paused_nodes_cause_no_second_run() {
    let mut bed = bed(6);
    run_actions(&mut bed, 200, 10, new_key, pause_two_nodes);
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert!(verdict.answered > 150, "{verdict:?}");
}

/// Upstreams reject requests before they start them. The claims must be released, so that a retry
/// through another node can run.
#[test]
fn rejected_requests_release_their_claims() {
    let mut bed = bed(7);
    run_actions(&mut bed, 100, 20, new_key, |bed, number| {
        bed.upstreams.get("d1").rejects_requests = number < 100 && number % 4 < 2;
        bed.upstreams.get("d2").rejects_requests = number < 100 && number % 4 < 2;
    });
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert_eq!(verdict.answered, 100, "{verdict:?}");
}

/// An earlier attempt, delayed at a paused node, arrives after the caller was told *not run*
/// for a later attempt. It must not run.
#[test]
fn a_delayed_attempt_does_not_run_after_a_later_one_was_told_not_run() {
    let mut bed = bed(11);
    bed.pause(0);
    let first = head(&bed, key(0), 1);
    bed.call(0, first);
    bed.upstreams.get("d1").rejects_requests = true;
    bed.upstreams.get("d2").rejects_requests = true;
    let second = head(&bed, key(0), 2);
    let second = bed.call(2, second);
    bed.run_for(500);
    let seen = &bed.calls()[second].result;
    assert!(matches!(seen, CallResult::Concluded(Outcome::NotRun { .. })), "{seen:?}");
    bed.upstreams.get("d1").rejects_requests = false;
    bed.upstreams.get("d2").rejects_requests = false;
    bed.resume(0);
    bed.run_for(1_000);
    assert!(bed.upstreams.runs_by_key().is_empty());
    assert_holds(&evaluate(&bed));
}

/// A duplicate of an attempt that was told *not run* reaches another node. It must not run, but the
/// caller's next attempt must.
#[test]
fn a_duplicate_of_an_attempt_told_not_run_does_not_run() {
    let mut bed = bed(12);
    let seen: Vec<_> = [(0, 1, true), (2, 1, false), (2, 2, false)]
        .map(|(node, attempt, refuses)| {
            bed.upstreams.get("d1").rejects_requests = refuses;
            bed.upstreams.get("d2").rejects_requests = refuses;
            let head = head(&bed, key(0), attempt);
            let call = bed.call(node, head);
            bed.run_for(500);
            matches!(bed.calls()[call].result, CallResult::Concluded(Outcome::NotRun { .. }))
        })
        .to_vec();
    assert_eq!(seen, [true, true, false]);
    assert_holds(&evaluate(&bed));
}

/// The release of a claim is applied late, after a retry has claimed the key and may have run. It
/// must not release the new claim.
#[test]
fn a_late_release_does_not_free_a_later_claim() {
    let mut bed = bed(15);
    bed.upstreams.get("d1").rejects_requests = true;
    bed.upstreams.get("d2").rejects_requests = true;
    let first = head(&bed, key(0), 1);
    let first = bed.call(0, first);
    bed.run_for(12);
    bed.faults.delayed_commits = 1;
    bed.faults.commit_delay_ms = 2_000;
    bed.run_for(300);
    let seen = &bed.calls()[first].result;
    assert!(matches!(seen, CallResult::Concluded(Outcome::NotRun { .. })), "{seen:?}");
    assert_eq!(bed.faults.delayed_commits, 0);
    for upstream in ["d1", "d2"] {
        bed.upstreams.get(upstream).rejects_requests = false;
        bed.upstreams.get(upstream).loses_responses = true;
    }
    for attempt in 2..6 {
        let retry = head(&bed, key(0), attempt);
        bed.call(2, retry);
        bed.run_for(1_000);
    }
    assert_eq!(evaluate(&bed), Verdict { unknown: 1, ..Verdict::default() });
    assert_eq!(bed.upstreams.runs_by_key().values().sum::<u32>(), 1);
}

/// Responses of an upstream are lost after requests were sent. The outcomes of the requests must
/// stay unknown, since they may have run.
#[test]
fn requests_with_lost_upstream_responses_stay_unknown() {
    let mut bed = bed(8);
    bed.upstreams.get("d1").loses_responses = true;
    run_actions(&mut bed, 100, 20, new_key, |_, _| {});
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert!(verdict.unknown > 0 && verdict.answered > 0, "{verdict:?}");
}

/// While the platform is down, first attempts must be told *not run* and later ones *unknown*, both
/// within 50 ms, and nothing may run.
#[test]
fn requests_are_concluded_at_once_while_the_platform_is_down() {
    let mut bed = bed(9);
    bed.faults.platform_down = true;
    for number in 0..40 {
        let first = head(&bed, key(number), 1 + (number % 2) as u32);
        bed.call(number % 4, first);
        bed.run_for(10);
    }
    bed.run_for(100);
    for (number, call) in bed.calls().iter().enumerate() {
        let not_run = matches!(call.result, CallResult::Concluded(Outcome::NotRun { .. }));
        let unknown = matches!(call.result, CallResult::Concluded(Outcome::Unknown { .. }));
        assert!(if number % 2 == 0 { not_run } else { unknown }, "{:?}", call.result);
        assert!(call.ended_at_ms - call.sent_at_ms <= 50, "{call:?}");
    }
    assert_holds(&settle(&mut bed));
    assert!(bed.upstreams.runs_by_key().is_empty());
}

/// A retry's conflict fails its whole transaction. The other requests of the transaction must not
/// be rejected, and the number of transactions must stay small.
#[test]
fn a_conflict_does_not_reject_the_other_requests_of_its_transaction() {
    let mut bed = bed(10);
    let commits_before = bed.table_commits;
    for number in 0..100 {
        let first = head(&bed, key(number), 0);
        bed.call(number % 4, first);
    }
    for number in 0..60 {
        let retry = head(&bed, key(number), 0);
        bed.call((number + 1) % 4, retry);
    }
    bed.run_for(3_000);
    let verdict = evaluate(&bed);
    assert_holds(&verdict);
    let first_attempts = &bed.calls()[..100];
    let is_accepted =
        |seen: &CallResult| !matches!(seen, CallResult::Concluded(Outcome::NotRun { .. }));
    assert!(first_attempts.iter().all(|call| is_accepted(&call.result)), "{verdict:?}");
    let commits = bed.table_commits - commits_before;
    assert!(commits <= 40, "{commits} transactions");
}

/// Guards against a caller that is told *not run* by a node that has ended, although an earlier attempt
/// may have run.
#[test]
fn a_node_that_ends_says_not_run_only_of_first_attempts() {
    let bed = bed(15);
    let is_not_run = |key, attempt| {
        matches!(deduplication::node_ended(&head(&bed, key, attempt)), Outcome::NotRun { .. })
    };
    assert!(is_not_run(key(0), 1));
    assert!(!is_not_run(key(0), 0));
    assert!(!is_not_run(key(0), 2));
    assert!(is_not_run(Deduplication::Repeatable, 0));
}
