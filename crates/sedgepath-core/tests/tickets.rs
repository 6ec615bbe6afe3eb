//! At-most-once execution under tickets, which does not depend on the table.

#[path = "once_support/callers.rs"]
mod once_callers;
mod once_support;

use once_callers::{kill_nodes_in_turn, pause_two_nodes, run_actions};
use once_support::{Verdict, assert_holds, bed, evaluate, head, is_not_run, settle};
use sedgepath_core::deduplication::tickets::{MAX_VALID_TICKETS, TICKET_VALIDITY_MS};
use sedgepath_core::hash::Digest;
use sedgepath_core::request::{Deduplication, Outcome, RejectionReason};
use sedgepath_test_support::bed::{CallResult, NodeIndex, TestBed};

fn mint_ticket(bed: &mut TestBed, node: NodeIndex) -> Deduplication {
    let tickets = bed.mint_tickets(node, "deposit", 1);
    Deduplication::Ticket(*tickets.first().expect("the node should mint a ticket"))
}

/// Mints a ticket at the first node, in turn, that returns one.
fn new_ticket(bed: &mut TestBed, number: usize) -> Deduplication {
    let nodes = bed.node_count();
    let mut minted =
        (1..=nodes).flat_map(|step| bed.mint_tickets((number / 2 + step) % nodes, "deposit", 1));
    Deduplication::Ticket(minted.next().expect("a node should mint a ticket"))
}

/// Sends a request and returns what its caller saw after 500 ms.
fn send(bed: &mut TestBed, node: NodeIndex, ticket: Deduplication, attempt: u32) -> CallResult {
    let head = head(bed, ticket, attempt);
    let call = bed.call(node, head);
    bed.run_for(500);
    bed.calls()[call].result.clone()
}

fn is_rejected(seen: &CallResult, reason: RejectionReason) -> bool {
    matches!(seen, CallResult::Concluded(Outcome::NotRun { refusal, .. }) if refusal.reason == reason)
}

/// While the platform is down, tickets must still be minted, forwarded to their homes and run once,
/// and retries must get the stored response.
#[test]
fn tickets_work_while_the_platform_is_down() {
    let mut bed = bed(1);
    bed.faults.platform_down = true;
    let commits = bed.table_commits;
    run_actions(&mut bed, 200, 10, new_ticket, |_, _| {});
    for number in 0..200 {
        let ticket = bed.calls()[number].head.deduplication;
        let seen = send(&mut bed, number % 4, ticket, 0);
        assert!(matches!(seen, CallResult::Concluded(Outcome::Repeated(_))), "{seen:?}");
    }
    assert_eq!(evaluate(&bed), Verdict { answered: 200, ..Verdict::default() });
    assert_eq!(bed.table_commits, commits);
}

/// A ticket that is reused for another request must be rejected at its home and elsewhere.
#[test]
fn a_ticket_reused_for_another_request_is_rejected() {
    let mut bed = bed(2);
    let ticket = mint_ticket(&mut bed, 0);
    assert!(matches!(send(&mut bed, 2, ticket, 1), CallResult::Answered { .. }));
    for node in 0..4 {
        let mut other = head(&bed, ticket, 2);
        other.digest = Digest::of(&[b"another request"]);
        let call = bed.call(node, other);
        bed.run_for(100);
        assert_eq!(bed.calls()[call].result, CallResult::Concluded(Outcome::KeyReused));
    }
    assert_eq!(evaluate(&bed).ran_twice, 0);
}

/// Homes are killed and restart without their tickets' state. No ticket may run twice.
#[test]
fn tickets_of_killed_homes_run_at_most_once() {
    let mut bed = bed(3);
    run_actions(&mut bed, 200, 10, new_ticket, kill_nodes_in_turn);
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert!(verdict.answered > 120, "{verdict:?}");
}

/// A new boot mints the same ticket numbers as the last one. A ticket of the last boot must stay
/// unknown on every node and not run.
#[test]
fn a_restarted_home_does_not_run_the_tickets_of_its_last_boot() {
    let mut bed = bed(10);
    let ticket = mint_ticket(&mut bed, 0);
    bed.upstreams.get("d1").loses_responses = true;
    bed.upstreams.get("d2").loses_responses = true;
    let unknown = CallResult::Concluded(Outcome::Unknown { retry_after_ms: 500 });
    assert_eq!(send(&mut bed, 0, ticket, 1), unknown);
    bed.kill(0);
    bed.start(0);
    bed.run_for(5_000);
    assert_eq!(bed.mint_tickets(0, "deposit", 5).len(), 5);
    for node in 0..4 {
        assert_eq!(send(&mut bed, node, ticket, 2), unknown);
    }
    assert_holds(&evaluate(&bed));
}

/// Paused homes resume with delayed requests after callers have retried through other nodes. No
/// ticket may run twice.
#[test]
fn tickets_of_paused_homes_run_at_most_once() {
    let mut bed = bed(4);
    run_actions(&mut bed, 200, 10, new_ticket, pause_two_nodes);
    let verdict = settle(&mut bed);
    assert_holds(&verdict);
    assert!(verdict.answered > 150, "{verdict:?}");
}

/// Stops a home with used, rejected and unused tickets, and asserts that other nodes conclude the
/// requests of all of them and run none.
fn assert_planned_stop_hands_over(mut bed: TestBed, platform_down: bool) {
    let tickets: Vec<_> = (0..60).map(|_| mint_ticket(&mut bed, 1)).collect();
    for ticket in &tickets[..20] {
        assert!(matches!(send(&mut bed, 2, *ticket, 1), CallResult::Answered { .. }));
    }
    bed.upstreams.get("d1").rejects_requests = true;
    bed.upstreams.get("d2").rejects_requests = true;
    for ticket in &tickets[20..40] {
        assert!(is_not_run(&send(&mut bed, 1, *ticket, 1)));
    }
    bed.upstreams.get("d1").rejects_requests = false;
    bed.upstreams.get("d2").rejects_requests = false;
    bed.faults.platform_down = platform_down;
    bed.stop(1);
    bed.run_for(30_000);
    assert!(bed.has_stopped(1));
    for restarted in [false, true] {
        if restarted {
            bed.start(1);
            bed.run_for(2_000);
        }
        for (number, ticket) in tickets.iter().enumerate() {
            // A node that starts while the platform is down has no configuration yet.
            let include_restarted_node = restarted && !platform_down;
            let node = if include_restarted_node { number % 4 } else { [0, 2, 3][number % 3] };
            let seen = send(&mut bed, node, *ticket, 2);
            let is_expected = if number < 20 {
                matches!(seen, CallResult::Concluded(Outcome::Repeated(_)))
            } else {
                is_rejected(&seen, RejectionReason::TicketVoid)
            };
            assert!(is_expected, "ticket {number} through {node}: {seen:?}");
        }
    }
    let verdict = evaluate(&bed);
    assert_eq!(verdict, Verdict { answered: 20, not_run: 40, ..Verdict::default() });
}

/// A planned stop must leave no outcome of the node's tickets unknown.
#[test]
fn a_planned_stop_hands_tickets_over() {
    assert_planned_stop_hands_over(bed(5), false);
}

/// After a planned stop without the platform, the outcomes of tickets must be taken from the
/// successors' copies.
#[test]
fn a_planned_stop_hands_tickets_over_to_successors_while_the_platform_is_down() {
    assert_planned_stop_hands_over(bed(6), true);
}

/// The outcome of an expired unused ticket must be *not run*, that of an expired used one its stored
/// response.
#[test]
fn an_expired_ticket_is_not_run() {
    let mut bed = bed(7);
    let unused = mint_ticket(&mut bed, 0);
    let used = mint_ticket(&mut bed, 0);
    assert!(matches!(send(&mut bed, 0, used, 1), CallResult::Answered { .. }));
    bed.run_for(TICKET_VALIDITY_MS);
    assert!(is_rejected(&send(&mut bed, 3, unused, 1), RejectionReason::TicketVoid));
    let retry = send(&mut bed, 3, used, 2);
    assert!(matches!(retry, CallResult::Concluded(Outcome::Repeated(_))), "{retry:?}");
    assert_holds(&evaluate(&bed));
}

/// Minting must stop at the maximum number of valid tickets, which bounds the node's memory, and
/// continue when tickets expire.
#[test]
fn minting_stops_at_the_maximum_number_of_valid_tickets() {
    let mut bed = bed(8);
    let minted: usize = (0..300).map(|_| bed.mint_tickets(0, "deposit", 100).len()).sum();
    assert_eq!(minted, MAX_VALID_TICKETS);
    bed.run_for(TICKET_VALIDITY_MS);
    assert_eq!(bed.mint_tickets(0, "deposit", 100).len(), 100);
    assert!(bed.mint_tickets(0, "deposit", 101).is_empty());
    assert!(bed.mint_tickets(0, "no such service", 1).is_empty());
}

/// An earlier attempt, delayed at a paused node, is forwarded after the caller was told *not
/// run* for a later attempt. It must not run.
#[test]
fn a_delayed_attempt_does_not_run_after_a_later_one_was_told_not_run() {
    let mut bed = bed(9);
    let ticket = mint_ticket(&mut bed, 2);
    bed.pause(0);
    let first = head(&bed, ticket, 1);
    bed.call(0, first);
    bed.upstreams.get("d1").rejects_requests = true;
    bed.upstreams.get("d2").rejects_requests = true;
    assert!(is_not_run(&send(&mut bed, 2, ticket, 2)));
    bed.upstreams.get("d1").rejects_requests = false;
    bed.upstreams.get("d2").rejects_requests = false;
    bed.resume(0);
    bed.run_for(1_000);
    assert!(bed.upstreams.runs_by_key().is_empty());
    assert_holds(&evaluate(&bed));
}
