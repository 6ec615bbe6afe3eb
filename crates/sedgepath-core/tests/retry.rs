//! Tests of the ingress: retries, the retry budget, and the outcomes of requests.

use sedgepath_core::request::{Outcome, RejectionReason, RequestHead};
use sedgepath_test_support::bed::upstreams::FakeUpstream;
use sedgepath_test_support::bed::{CallIndex, CallResult, TestBed};
use sedgepath_test_support::records::{self, UpstreamSpec};

const DOMAINS: [&str; 3] = ["north-a", "north-b", "south-a"];

/// Returns a test bed of three failure domains with one upstream and two nodes each.
fn bed(seed: u64) -> TestBed {
    bed_with_slots(seed, 8)
}

fn bed_with_slots(seed: u64, slots: u32) -> TestBed {
    let mut bed = TestBed::new(seed);
    let upstreams: Vec<_> = DOMAINS
        .iter()
        .map(|domain| UpstreamSpec::new(&format!("up-{domain}"), domain, slots))
        .collect();
    let shares: Vec<_> = DOMAINS.iter().map(|domain| (*domain, 1.0)).collect();
    bed.write_records(&[
        records::places(&[("north", &["north-a", "north-b"]), ("south", &["south-a"])]),
        records::service("browse", 5_000, &upstreams),
        records::steering("browse", &shares, 100.0, 10_000),
    ]);
    for upstream in &upstreams {
        bed.upstreams.add(&upstream.name, FakeUpstream::new(slots, 10));
    }
    for domain in DOMAINS {
        bed.add_node(&format!("{domain}-1"), domain);
        bed.add_node(&format!("{domain}-2"), domain);
    }
    bed.settle(5_000);
    bed
}

fn head(bed: &TestBed, idempotent: bool) -> RequestHead {
    RequestHead { idempotent, ..bed.request_head("browse") }
}

/// Sends requests one after another and waits for their outcomes.
fn send(bed: &mut TestBed, count: usize, idempotent: bool) -> Vec<CallIndex> {
    let calls = (0..count)
        .map(|number| {
            let head = head(bed, idempotent);
            let call = bed.call(number % 6, head);
            bed.run_for(20);
            call
        })
        .collect();
    bed.run_for(3_000);
    calls
}

fn count(bed: &TestBed, calls: &[CallIndex], matches_seen: impl Fn(&CallResult) -> bool) -> usize {
    calls.iter().filter(|call| matches_seen(&bed.calls()[**call].result)).count()
}

fn is_answered(seen: &CallResult) -> bool {
    matches!(seen, CallResult::Answered { .. })
}

fn is_not_run(seen: &CallResult) -> bool {
    matches!(seen, CallResult::Concluded(Outcome::NotRun { .. }))
}

/// Guards against not retrying a rejected request elsewhere, although the rejection proves that it
/// was not run.
#[test]
fn rejected_request_is_retried_elsewhere() {
    let mut bed = bed(1);
    send(&mut bed, 30, true);
    bed.upstreams.get("up-north-b").rejects_requests = true;
    let calls = send(&mut bed, 12, false);
    assert_eq!(count(&bed, &calls, is_answered), 12);
    assert!(calls.iter().all(|call| bed.upstreams.run_count(*call) == 1));
}

/// Guards against retrying a non-idempotent request whose response was lost, not retrying an
/// idempotent one, and reporting a request as not run that may have run.
#[test]
fn request_with_lost_response_is_retried_only_if_idempotent() {
    let mut bed = bed(2);
    send(&mut bed, 60, true);
    bed.upstreams.get("up-north-b").loses_responses = true;
    let idempotent = send(&mut bed, 12, true);
    let others = send(&mut bed, 30, false);
    assert_eq!(count(&bed, &idempotent, is_answered), 12);
    let unknown =
        count(&bed, &others, |seen| matches!(seen, CallResult::Concluded(Outcome::Unknown { .. })));
    assert_eq!(count(&bed, &others, is_answered) + unknown, 30);
    assert!(unknown > 3, "{unknown}");
    assert!(others.iter().all(|call| bed.upstreams.run_count(*call) == 1));
}

/// Guards against retries beyond the budget when all responses are lost. There are slots for all
/// requests, so that none is rejected for lack of one.
#[test]
fn retries_stay_within_the_budget() {
    let mut bed = bed_with_slots(3, 200);
    for domain in DOMAINS {
        bed.upstreams.get(&format!("up-{domain}")).loses_responses = true;
    }
    let calls = send(&mut bed, 300, true);
    let runs: usize = bed.upstreams.iter().map(|(_, upstream)| upstream.runs.len()).sum();
    assert!(runs >= 300, "{runs}");
    // Six nodes, each with an initial budget of five retries and a tenth of its 50 first attempts.
    assert!(runs <= 300 + 6 * (5 + 5), "{runs}");
    assert_eq!(count(&bed, &calls, is_not_run), 0);
}

/// Guards against rejections that are late, or lack a retry delay or other entry VMs.
#[test]
fn rejection_is_returned_at_once() {
    let mut bed = bed(4);
    for domain in DOMAINS {
        bed.upstreams.get(&format!("up-{domain}")).rejects_requests = true;
    }
    let calls = send(&mut bed, 30, true);
    for call in calls {
        let seen = &bed.calls()[call];
        assert!(seen.ended_at_ms - seen.sent_at_ms < 100, "{seen:?}");
        let CallResult::Concluded(Outcome::NotRun { refusal, others }) = &seen.result else {
            panic!("{seen:?}");
        };
        assert!(refusal.retry_after_ms > 0 && refusal.retry_after_ms <= 500, "{refusal:?}");
        assert!(!others.is_empty());
        assert_eq!(bed.upstreams.run_count(call), 0);
    }
}

/// Guards against sending a request that arrives after its deadline.
#[test]
fn request_past_its_deadline_is_not_sent() {
    let mut bed = bed(5);
    let late = RequestHead { deadline_at_ms: bed.now_ms() - 1, ..head(&bed, true) };
    let call = bed.call(0, late);
    bed.run_for(1_000);
    let CallResult::Concluded(Outcome::NotRun { refusal, .. }) = &bed.calls()[call].result else {
        panic!("{:?}", bed.calls()[call].result);
    };
    assert_eq!(refusal.reason, RejectionReason::Deadline);
    assert_eq!(bed.upstreams.run_count(call), 0);
}

/// Guards against not retrying requests that were never sent because their owner failed.
#[test]
fn request_to_failed_owner_is_retried_elsewhere() {
    let mut bed = bed(6);
    send(&mut bed, 60, true);
    bed.kill(1);
    let heads: Vec<_> = (0..8).map(|_| head(&bed, false)).collect();
    let calls: Vec<_> = heads.into_iter().map(|head| bed.call(2, head)).collect();
    bed.run_for(3_000);
    assert_eq!(count(&bed, &calls, is_answered), 8);
    assert!(calls.iter().all(|call| bed.upstreams.run_count(*call) == 1));
}

/// Guards against rejected guest requests that use up the retry budget of paying requests.
#[test]
fn rejected_guest_requests_do_not_spend_paying_retries() {
    let mut bed = bed_with_slots(8, 2);
    bed.write_records(&[records::organisations(&[("member", "paying", "paying-key")])]);
    bed.run_for(3_000);
    for number in 0..600 {
        let guest = head(&bed, false);
        bed.call(number % 6, guest);
        bed.run_for(1);
    }
    bed.kill(1);
    let key_digest = Some(records::key_digest("paying-key"));
    let calls: Vec<_> = (0..5)
        .map(|_| {
            let paying = RequestHead { key_digest, ..head(&bed, false) };
            let call = bed.call(2, paying);
            bed.run_for(20);
            call
        })
        .collect();
    bed.run_for(3_000);
    assert_eq!(count(&bed, &calls, is_answered), 5);
}

/// Guards against routing requests of a service with a record of an unknown schema.
#[test]
fn service_of_unknown_schema_is_rejected() {
    let mut bed = bed(7);
    bed.write_records(&[records::record(9, "steering", "browse", &serde_json::json!({}))]);
    bed.run_for(3_000);
    let calls = send(&mut bed, 6, true);
    for call in calls {
        let CallResult::Concluded(Outcome::NotRun { refusal, .. }) = &bed.calls()[call].result
        else {
            panic!("{:?}", bed.calls()[call].result);
        };
        assert_eq!(refusal.reason, RejectionReason::Configuration);
    }
}
