//! At-most-once execution under keys that callers choose.

#[path = "once_support/callers.rs"]
mod once_callers;
mod once_support;

use once_callers::{kill_in_turn, pause_two, run_actions};
use once_support::{Verdict, assert_holds, bed, head, judge, settle};
use sedgepath_core::hash::Digest;
use sedgepath_core::request::{Deduplication, Outcome};
use sedgepath_test_support::bed::{Bed, Seen};

/// Returns the key that a caller chose for an action.
fn key(number: usize) -> Deduplication {
    Deduplication::Key(Digest::of(&[b"key", &number.to_le_bytes()]))
}

fn key_of(_bed: &mut Bed, number: usize) -> Deduplication {
    key(number)
}

/// A caller whose answer was lost repeats its request through another node. It must get the answer
/// stored in the table, and the action must not run again.
#[test]
fn a_repeat_through_another_node_gets_the_stored_answer() {
    let mut bed = bed(1);
    for number in 0..20 {
        let first = head(&bed, key(number), 1);
        bed.call(number % 4, first);
        bed.run_for(200);
        let second = head(&bed, key(number), 0);
        let repeat = bed.call((number + 1) % 4, second);
        bed.run_for(200);
        let seen = &bed.calls()[repeat].seen;
        assert!(matches!(seen, Seen::Concluded(Outcome::Repeated(_))), "{seen:?}");
    }
    let verdict = judge(&bed);
    assert_eq!(verdict, Verdict { answered: 20, ..Verdict::default() });
}

/// A request to a once-only service without a key or ticket can't be told from its repeat and must
/// be rejected.
#[test]
fn a_once_only_service_takes_no_request_without_a_key() {
    let mut bed = bed(14);
    let head = head(&bed, Deduplication::Repeatable, 0);
    let call = bed.call(0, head);
    assert_eq!(bed.calls()[call].seen, Seen::Concluded(Outcome::KeyRequired));
}

/// A key that is reused with another request must be rejected on every node, before and after the
/// first request has ended.
#[test]
fn a_key_with_another_request_is_refused() {
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
        assert_eq!(bed.calls()[call].seen, Seen::Concluded(Outcome::KeyReused));
    }
    assert_eq!(judge(&bed).ran_twice, 0);
}

/// Results of writes are lost, so nodes must read the row to learn whether they hold a claim. Every
/// repeated action must end with an answer, and none may run twice.
#[test]
fn lost_write_answers() {
    let mut bed = bed(3);
    bed.faults.lost_answers_percent = 40;
    run_actions(&mut bed, 200, 10, key_of, |_, _| {});
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert_eq!(verdict.answered, 200, "{verdict:?}");
}

/// Writes are applied late with their results lost. An action would run twice if a node took a lost
/// result for a claim while the caller repeats its request through another node.
#[test]
fn late_writes() {
    let mut bed = bed(4);
    bed.faults.late_by_ms = 3_000;
    bed.upstreams.get("d1").loses_answers = true;
    run_actions(&mut bed, 200, 10, key_of, |bed, number| {
        bed.faults.late_writes = u32::from(number % 5 == 0);
    });
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert!(verdict.unknown > 0 && verdict.answered > 50, "{verdict:?}");
}

/// A claim is applied after its caller was told *not run*, while the platform is down. The node must
/// release it when the platform is back, so that the caller's repeat can run.
#[test]
fn a_late_claim_of_a_denied_request_is_released() {
    let mut bed = bed(12);
    bed.faults.late_writes = 1;
    bed.faults.late_by_ms = 300;
    let first = head(&bed, key(0), 1);
    let first = bed.call(0, first);
    bed.run_for(1);
    bed.faults.platform_down = true;
    bed.run_for(500);
    let seen = &bed.calls()[first].seen;
    assert!(matches!(seen, Seen::Concluded(Outcome::NotRun { .. })), "{seen:?}");
    bed.faults.platform_down = false;
    bed.run_for(1_000);
    let second = head(&bed, key(0), 2);
    bed.call(2, second);
    bed.run_for(500);
    let verdict = judge(&bed);
    assert_eq!(verdict, Verdict { answered: 1, ..Verdict::default() });
}

/// Claims are applied after they were given up, while rows can't be read. No action may run after
/// *not run*, and every caller that repeats must get its answer in the end.
#[test]
fn late_writes_while_the_table_cannot_be_read() {
    let mut bed = bed(13);
    bed.faults.late_by_ms = 3_000;
    run_actions(&mut bed, 200, 10, key_of, |bed, number| {
        bed.faults.platform_down = number % 20 >= 10;
        if number % 20 == 9 {
            bed.faults.late_writes = 4;
        }
    });
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert_eq!(verdict.answered, 200, "{verdict:?}");
}

/// Nodes are killed while they hold claims. No other node may take these claims over, since the
/// actions may have run.
#[test]
fn killed_holders() {
    let mut bed = bed(5);
    run_actions(&mut bed, 200, 10, key_of, kill_in_turn);
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert!(verdict.answered > 150, "{verdict:?}");
}

/// Paused nodes resume with claims and delayed requests after callers have repeated through other
/// nodes. Nothing may run a second time.
#[test]
fn paused_holders() {
    let mut bed = bed(6);
    run_actions(&mut bed, 200, 10, key_of, pause_two);
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert!(verdict.answered > 150, "{verdict:?}");
}

/// Upstreams reject requests before they start them. The claims must be released, so that a repeat
/// through another node can run.
#[test]
fn refused_requests_release_their_claims() {
    let mut bed = bed(7);
    run_actions(&mut bed, 100, 20, key_of, |bed, number| {
        bed.upstreams.get("d1").refuses = number < 100 && number % 4 < 2;
        bed.upstreams.get("d2").refuses = number < 100 && number % 4 < 2;
    });
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert_eq!(verdict.answered, 100, "{verdict:?}");
}

/// An earlier attempt, delayed at a paused node, arrives after a later attempt was answered
/// *not run*. It must not run.
#[test]
fn a_delayed_request_does_not_run_after_a_later_one_was_denied() {
    let mut bed = bed(11);
    bed.pause(0);
    let first = head(&bed, key(0), 1);
    bed.call(0, first);
    bed.upstreams.get("d1").refuses = true;
    bed.upstreams.get("d2").refuses = true;
    let second = head(&bed, key(0), 2);
    let second = bed.call(2, second);
    bed.run_for(500);
    let seen = &bed.calls()[second].seen;
    assert!(matches!(seen, Seen::Concluded(Outcome::NotRun { .. })), "{seen:?}");
    bed.upstreams.get("d1").refuses = false;
    bed.upstreams.get("d2").refuses = false;
    bed.wake(0);
    bed.run_for(1_000);
    assert!(bed.upstreams.runs_by_key().is_empty());
    assert_holds(&judge(&bed));
}

/// A duplicate of an attempt that was answered *not run* reaches another node. It must not run, but
/// the caller's next attempt must.
#[test]
fn an_attempt_that_was_denied_does_not_run_when_it_is_sent_again() {
    let mut bed = bed(12);
    let seen: Vec<_> = [(0, 1, true), (2, 1, false), (2, 2, false)]
        .map(|(node, attempt, refuses)| {
            bed.upstreams.get("d1").refuses = refuses;
            bed.upstreams.get("d2").refuses = refuses;
            let head = head(&bed, key(0), attempt);
            let call = bed.call(node, head);
            bed.run_for(500);
            matches!(bed.calls()[call].seen, Seen::Concluded(Outcome::NotRun { .. }))
        })
        .to_vec();
    assert_eq!(seen, [true, true, false]);
    assert_holds(&judge(&bed));
}

/// The release of a claim is applied late, after a repeat has claimed the key and may have run. It
/// must not release the new claim.
#[test]
fn a_late_release_does_not_free_a_later_claim() {
    let mut bed = bed(15);
    bed.upstreams.get("d1").refuses = true;
    bed.upstreams.get("d2").refuses = true;
    let first = head(&bed, key(0), 1);
    let first = bed.call(0, first);
    bed.run_for(12);
    bed.faults.late_writes = 1;
    bed.faults.late_by_ms = 2_000;
    bed.run_for(300);
    let seen = &bed.calls()[first].seen;
    assert!(matches!(seen, Seen::Concluded(Outcome::NotRun { .. })), "{seen:?}");
    assert_eq!(bed.faults.late_writes, 0);
    for upstream in ["d1", "d2"] {
        bed.upstreams.get(upstream).refuses = false;
        bed.upstreams.get(upstream).loses_answers = true;
    }
    for attempt in 2..6 {
        let repeat = head(&bed, key(0), attempt);
        bed.call(2, repeat);
        bed.run_for(1_000);
    }
    assert_eq!(judge(&bed), Verdict { unknown: 1, ..Verdict::default() });
    assert_eq!(bed.upstreams.runs_by_key().values().sum::<u32>(), 1);
}

/// Answers of an upstream are lost after requests were sent. Their outcomes must stay unknown, since
/// they may have run.
#[test]
fn lost_answers_of_upstreams() {
    let mut bed = bed(8);
    bed.upstreams.get("d1").loses_answers = true;
    run_actions(&mut bed, 100, 20, key_of, |_, _| {});
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert!(verdict.unknown > 0 && verdict.answered > 0, "{verdict:?}");
}

/// While the platform is down, first attempts must be answered *not run* and repeats *unknown*, both
/// at once, and nothing may run.
#[test]
fn platform_down() {
    let mut bed = bed(9);
    bed.faults.platform_down = true;
    for number in 0..40 {
        let first = head(&bed, key(number), 1 + (number % 2) as u32);
        bed.call(number % 4, first);
        bed.run_for(10);
    }
    bed.run_for(100);
    for (number, call) in bed.calls().iter().enumerate() {
        let denied = matches!(call.seen, Seen::Concluded(Outcome::NotRun { .. }));
        let unknown = matches!(call.seen, Seen::Concluded(Outcome::Unknown { .. }));
        assert!(if number % 2 == 0 { denied } else { unknown }, "{:?}", call.seen);
        assert!(call.seen_at_ms - call.asked_at_ms <= 50, "{call:?}");
    }
    assert_holds(&settle(&mut bed));
    assert!(bed.upstreams.runs_by_key().is_empty());
}

/// A repeat's conflict fails its whole transaction. The other requests of the transaction must not
/// be rejected, and the number of transactions must stay small.
#[test]
fn a_conflict_does_not_fail_the_others_of_its_transaction() {
    let mut bed = bed(10);
    let before = bed.table_commits;
    for number in 0..100 {
        let first = head(&bed, key(number), 0);
        bed.call(number % 4, first);
    }
    for number in 0..60 {
        let repeat = head(&bed, key(number), 0);
        bed.call((number + 1) % 4, repeat);
    }
    bed.run_for(3_000);
    let verdict = judge(&bed);
    assert_holds(&verdict);
    let firsts = &bed.calls()[..100];
    let ended = |seen: &Seen| !matches!(seen, Seen::Concluded(Outcome::NotRun { .. }));
    assert!(firsts.iter().all(|call| ended(&call.seen)), "{verdict:?}");
    assert!(bed.table_commits - before <= 40, "{}", bed.table_commits - before);
}
