//! At-most-once execution under tickets, which does not depend on the table.

#[path = "once_support/callers.rs"]
mod once_callers;
mod once_support;

use once_callers::{kill_in_turn, pause_two, run_actions};
use once_support::{Verdict, assert_holds, bed, head, is_not_run, judge, settle};
use sedgepath_core::deduplication::tickets::{MAX_VALID_TICKETS, TICKET_VALIDITY_MS};
use sedgepath_core::hash::Digest;
use sedgepath_core::request::{Deduplication, Outcome, RejectionReason};
use sedgepath_test_support::bed::{Bed, NodeIndex, Seen};

fn ticket(bed: &mut Bed, node: NodeIndex) -> Deduplication {
    let tickets = bed.mint(node, "deposit", 1);
    Deduplication::Ticket(*tickets.first().expect("a ticket"))
}

/// Mints a ticket at the first node, in turn, that gives one; nodes that are down give none.
fn ticket_of(bed: &mut Bed, number: usize) -> Deduplication {
    let nodes = bed.node_count();
    let mut minted =
        (1..=nodes).flat_map(|step| bed.mint((number / 2 + step) % nodes, "deposit", 1));
    Deduplication::Ticket(minted.next().expect("a node that mints"))
}

fn seen_of(bed: &mut Bed, node: NodeIndex, once: Deduplication, attempt: u32) -> Seen {
    let head = head(bed, once, attempt);
    let call = bed.call(node, head);
    bed.run_for(500);
    bed.calls()[call].seen.clone()
}

fn is_refused(seen: &Seen, reason: RejectionReason) -> bool {
    matches!(seen, Seen::Concluded(Outcome::NotRun { refusal, .. }) if refusal.reason == reason)
}

/// While the platform is down, tickets must still be minted, forwarded to their homes, run once and
/// answered on repeats.
#[test]
fn platform_down_from_start_to_end() {
    let mut bed = bed(1);
    bed.faults.platform_down = true;
    let commits = bed.table_commits;
    run_actions(&mut bed, 200, 10, ticket_of, |_, _| {});
    for number in 0..200 {
        let once = bed.calls()[number].head.deduplication;
        let seen = seen_of(&mut bed, number % 4, once, 0);
        assert!(matches!(seen, Seen::Concluded(Outcome::Repeated(_))), "{seen:?}");
    }
    assert_eq!(judge(&bed), Verdict { answered: 200, ..Verdict::default() });
    assert_eq!(bed.table_commits, commits);
}

/// A ticket that is reused with another request must be rejected at its home and elsewhere.
#[test]
fn a_ticket_with_another_request_is_refused() {
    let mut bed = bed(2);
    let once = ticket(&mut bed, 0);
    assert!(matches!(seen_of(&mut bed, 2, once, 1), Seen::Answered { .. }));
    for node in 0..4 {
        let mut other = head(&bed, once, 2);
        other.digest = Digest::of(&[b"another request"]);
        let call = bed.call(node, other);
        bed.run_for(100);
        assert_eq!(bed.calls()[call].seen, Seen::Concluded(Outcome::KeyReused));
    }
    assert_eq!(judge(&bed).ran_twice, 0);
}

/// Homes are killed and restart without their tickets' state. No ticket may run twice.
#[test]
fn killed_homes() {
    let mut bed = bed(3);
    run_actions(&mut bed, 200, 10, ticket_of, kill_in_turn);
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert!(verdict.answered > 120, "{verdict:?}");
}

/// A new boot mints the same ticket numbers as the last one. A ticket of the last boot must stay
/// unknown on every node and not run.
#[test]
fn a_restarted_home_does_not_run_the_tickets_of_its_last_boot() {
    let mut bed = bed(10);
    let once = ticket(&mut bed, 0);
    bed.upstreams.get("d1").loses_answers = true;
    bed.upstreams.get("d2").loses_answers = true;
    let unknown = Seen::Concluded(Outcome::Unknown { retry_after_ms: 500 });
    assert_eq!(seen_of(&mut bed, 0, once, 1), unknown);
    bed.kill(0);
    bed.start(0);
    bed.run_for(5_000);
    assert_eq!(bed.mint(0, "deposit", 5).len(), 5);
    for node in 0..4 {
        assert_eq!(seen_of(&mut bed, node, once, 2), unknown);
    }
    assert_holds(&judge(&bed));
}

/// Paused homes resume with delayed requests after callers have repeated through other nodes. No
/// ticket may run twice.
#[test]
fn paused_homes() {
    let mut bed = bed(4);
    run_actions(&mut bed, 200, 10, ticket_of, pause_two);
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert!(verdict.answered > 150, "{verdict:?}");
}

/// Stops a home with used, rejected and unused tickets, and asserts that other nodes answer for all
/// of them and run none.
fn planned_stop(mut bed: Bed, platform_down: bool) {
    let tickets: Vec<_> = (0..60).map(|_| ticket(&mut bed, 1)).collect();
    for once in &tickets[..20] {
        assert!(matches!(seen_of(&mut bed, 2, *once, 1), Seen::Answered { .. }));
    }
    bed.upstreams.get("d1").refuses = true;
    bed.upstreams.get("d2").refuses = true;
    for once in &tickets[20..40] {
        assert!(is_not_run(&seen_of(&mut bed, 1, *once, 1)));
    }
    bed.upstreams.get("d1").refuses = false;
    bed.upstreams.get("d2").refuses = false;
    bed.faults.platform_down = platform_down;
    bed.stop(1);
    bed.run_for(30_000);
    assert!(bed.has_stopped(1));
    for restarted in [false, true] {
        if restarted {
            bed.start(1);
            bed.run_for(2_000);
        }
        for (number, once) in tickets.iter().enumerate() {
            // A node that starts while the platform is down has no configuration yet.
            let own = restarted && !platform_down;
            let node = if own { number % 4 } else { [0, 2, 3][number % 3] };
            let seen = seen_of(&mut bed, node, *once, 2);
            let holds = if number < 20 {
                matches!(seen, Seen::Concluded(Outcome::Repeated(_)))
            } else {
                is_refused(&seen, RejectionReason::TicketVoid)
            };
            assert!(holds, "ticket {number} through {node}: {seen:?}");
        }
    }
    let verdict = judge(&bed);
    assert_eq!(verdict, Verdict { answered: 20, not_run: 40, ..Verdict::default() });
}

/// After a planned stop, tickets must be answered from their rows in the table.
#[test]
fn a_planned_stop_leaves_nothing_unknown() {
    planned_stop(bed(5), false);
}

/// After a planned stop without the platform, tickets must be answered from the successors' copies.
#[test]
fn a_planned_stop_leaves_nothing_unknown_while_the_platform_is_down() {
    planned_stop(bed(6), true);
}

/// An expired unused ticket must be answered *not run*, and an expired used one with its answer.
#[test]
fn a_lapsed_ticket_is_not_run() {
    let mut bed = bed(7);
    let unused = ticket(&mut bed, 0);
    let used = ticket(&mut bed, 0);
    assert!(matches!(seen_of(&mut bed, 0, used, 1), Seen::Answered { .. }));
    bed.run_for(TICKET_VALIDITY_MS);
    assert!(is_refused(&seen_of(&mut bed, 3, unused, 1), RejectionReason::TicketVoid));
    let repeat = seen_of(&mut bed, 3, used, 2);
    assert!(matches!(repeat, Seen::Concluded(Outcome::Repeated(_))), "{repeat:?}");
    assert_holds(&judge(&bed));
}

/// Minting must stop at the maximum number of valid tickets, which bounds the node's memory, and
/// continue when tickets expire.
#[test]
fn minting_is_bounded() {
    let mut bed = bed(8);
    let minted: usize = (0..300).map(|_| bed.mint(0, "deposit", 100).len()).sum();
    assert_eq!(minted, MAX_VALID_TICKETS);
    bed.run_for(TICKET_VALIDITY_MS);
    assert_eq!(bed.mint(0, "deposit", 100).len(), 100);
    assert!(bed.mint(0, "deposit", 101).is_empty());
    assert!(bed.mint(0, "no such service", 1).is_empty());
}

/// An earlier attempt, delayed at a paused node, is forwarded after a later attempt was answered
/// *not run*. It must not run.
#[test]
fn a_delayed_request_does_not_run_after_a_later_one_was_denied() {
    let mut bed = bed(9);
    let once = ticket(&mut bed, 2);
    bed.pause(0);
    let first = head(&bed, once, 1);
    bed.call(0, first);
    bed.upstreams.get("d1").refuses = true;
    bed.upstreams.get("d2").refuses = true;
    assert!(is_not_run(&seen_of(&mut bed, 2, once, 2)));
    bed.upstreams.get("d1").refuses = false;
    bed.upstreams.get("d2").refuses = false;
    bed.wake(0);
    bed.run_for(1_000);
    assert!(bed.upstreams.runs_by_key().is_empty());
    assert_holds(&judge(&bed));
}
