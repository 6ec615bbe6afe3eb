//! Tests of the precedence of paying requests and of the queue.

use sedgepath_core::key::{OriginKey, ServiceKey, UpstreamKey};
use sedgepath_core::record::RawRecord;
use sedgepath_core::request::{CallOutcome, Class, Dispatch, RejectionReason};
use sedgepath_test_support::load::{self, Load, LoadStats};
use sedgepath_test_support::owner::{Decision, OwnerHarness};
use sedgepath_test_support::records;
use serde_json::json;

/// The maximum increase of the 99th percentile of paying requests through trial traffic: the time
/// of one trial request of 80 to 120 ms that holds a slot.
const MAX_ADDED_LATENCY_MS: u64 = 120;

fn one_upstream(slots: u32) -> Vec<RawRecord> {
    let upstream = json!({ "name": "u", "domain": "a", "address": "127.0.0.1:9", "slots": slots });
    let body = json!({ "longest_deadline_ms": 60_000, "upstreams": [upstream] });
    vec![records::places(&[("r", &["a"])]), records::record(1, "service", "s", &body)]
}

/// Returns an owner whose two slots are in use and whose estimated service time is 100 ms.
fn busy_owner() -> OwnerHarness {
    let mut owner = OwnerHarness::new(&one_upstream(2));
    for _ in 0..20 {
        for exchange in owner.dispatch_many(1, Class::Paying, 5_000) {
            owner.advance_ms(100);
            owner.end_call(exchange, CallOutcome::Completed);
        }
    }
    owner.dispatch_many(2, Class::Paying, 5_000);
    owner
}

/// Runs 30 paying requests per second, and `trial_per_s` trial requests, against a capacity of 80
/// per second.
fn run(seed: u64, trial_per_s: u64) -> LoadStats {
    let mut bed = load::single_service_bed(seed, 1, &[("u1", 4, 100), ("u2", 4, 100)]);
    let load = Load { seed, paying_per_s: 30, paying_burst: 1, trial_per_s, deadline_ms: 1_000 };
    load::run(&mut bed, load, 20_000)
}

/// Guards against trial traffic that makes paying requests late, or slower than the bound allows.
#[test]
fn trial_load_does_not_delay_paying_requests() {
    for seed in 1..=3 {
        let alone = run(seed, 0);
        let with_trial = run(seed, 800);
        let paying = &with_trial.paying;
        assert_eq!(alone.paying.in_time, alone.paying.sent, "seed {seed}");
        assert_eq!(
            paying.in_time, paying.sent,
            "seed {seed}: {} of {} paying in time",
            paying.in_time, paying.sent
        );
        let (before_ms, after_ms) = (alone.paying.percentile_ms(99), paying.percentile_ms(99));
        assert!(
            after_ms <= before_ms + MAX_ADDED_LATENCY_MS,
            "seed {seed}: {before_ms} ms to {after_ms} ms"
        );
    }
}

/// Guards against trial requests that can't use the free capacity or aren't rejected at once.
#[test]
fn trial_requests_use_the_remaining_capacity() {
    let with_trial = run(4, 800);
    let trial = &with_trial.trial;
    // The capacity is 80 requests per second; paying requests use 30, and the reserve covers their
    // peaks.
    assert!(trial.answered >= 20 * 10, "{} of {} trial", trial.answered, trial.sent);
    assert_eq!(with_trial.pending, 0);
    assert!(with_trial.slowest_rejection_ms <= 500, "{} ms", with_trial.slowest_rejection_ms);
}

/// Guards against a reserve other than one slot without paying traffic, or none for a single slot.
#[test]
fn one_slot_is_reserved_without_paying_traffic() {
    let mut owner = OwnerHarness::new(&one_upstream(6));
    assert_eq!(owner.dispatch_many(10, Class::Trial, 1_000).len(), 5);
    assert_eq!(owner.dispatch_many(10, Class::Paying, 1_000).len(), 1);
    let mut owner = OwnerHarness::new(&one_upstream(1));
    assert_eq!(owner.dispatch_many(10, Class::Guest, 1_000).len(), 1);
}

/// Guards against a reserve that doesn't follow the recent peak of paying demand, exceeds half of
/// the slots beyond those in use, or doesn't decay.
#[test]
fn reserve_follows_the_recent_peak_of_paying_demand() {
    let mut owner = OwnerHarness::new(&one_upstream(6));
    for (paying_requests, free_for_trial) in [(2, 4), (4, 3), (6, 3)] {
        let paying = owner.dispatch_many(paying_requests, Class::Paying, 1_000);
        for exchange in paying {
            owner.end_call(exchange, CallOutcome::Completed);
        }
        assert_eq!(owner.count_admitted(Class::Trial), free_for_trial);
    }
    owner.dispatch_many(3, Class::Paying, 1_000);
    assert_eq!(owner.count_admitted(Class::Trial), 1);
    owner.advance_ms(120_000);
    assert_eq!(owner.count_admitted(Class::Trial), 5);
}

/// Guards against a queue that doesn't serve by class first and then by deadline.
#[test]
fn queue_serves_by_class_and_then_by_deadline() {
    let mut owner = OwnerHarness::new(&one_upstream(2));
    let running = owner.dispatch_many(2, Class::Paying, 5_000);
    let trial = owner.dispatch("s", Class::Trial, 2_000);
    let late = owner.dispatch("s", Class::Paying, 4_000);
    let soon = owner.dispatch("s", Class::Paying, 3_000);
    owner.end_call(running[0], CallOutcome::Completed);
    let sent: Vec<_> = [soon, late, trial].map(|exchange| owner.is_sent(exchange)).into();
    assert_eq!(sent, [true, false, false]);
    owner.end_call(running[1], CallOutcome::Completed);
    assert!(owner.is_sent(late));
    assert!(!owner.is_sent(trial));
}

/// Guards against queueing requests that can't be served before their deadline.
#[test]
fn request_that_the_queue_cannot_serve_in_time_is_rejected_at_once() {
    let mut owner = busy_owner();
    let queued: Vec<_> = (0..20).map(|_| owner.dispatch("s", Class::Paying, 300)).collect();
    let rejected: Vec<_> = queued.iter().filter_map(|key| owner.rejection(*key)).collect();
    // Two slots, 100 ms a request: the fifth in the queue would start after 250 ms.
    assert!((14..=18).contains(&rejected.len()), "{} rejected", rejected.len());
    assert!(rejected.iter().all(|refusal| refusal.reason == RejectionReason::Full));
    assert!(rejected.iter().all(|refusal| (50..=1_000).contains(&refusal.retry_after_ms)));
}

/// Guards against queued requests that wait until their deadline for an upstream that has stalled.
#[test]
fn queued_request_is_rejected_once_it_is_too_late() {
    let mut owner = busy_owner();
    let queued = owner.dispatch("s", Class::Paying, 1_000);
    assert_eq!(owner.decision(queued), Decision::Queued);
    owner.advance_ms(900);
    assert_eq!(owner.rejection(queued).map(|refusal| refusal.reason), Some(RejectionReason::Full));
}

/// Guards against cancelled requests that stay in the queue, and against cancelled calls that free
/// their slot before the cancellation is confirmed.
#[test]
fn cancelled_dispatch_leaves_the_queue() {
    let mut owner = OwnerHarness::new(&one_upstream(1));
    let running = owner.dispatch("s", Class::Paying, 5_000);
    let queued = owner.dispatch("s", Class::Paying, 5_000);
    owner.cancel_dispatch(queued);
    owner.cancel_dispatch(running);
    assert_eq!(
        owner.rejection(queued).map(|refusal| refusal.reason),
        Some(RejectionReason::Cancelled)
    );
    assert_eq!(owner.cancelled(), [running]);
    assert_eq!(owner.reported_load().1, 1);
}

/// Guards against queueing a request whose only upstream it avoids, or whose deadline has passed.
#[test]
fn request_that_no_upstream_may_run_is_rejected_at_once() {
    let mut owner = OwnerHarness::new(&one_upstream(2));
    let dispatch = Dispatch {
        service: ServiceKey::of("s"),
        class: Class::Paying,
        origin: OriginKey::of("any"),
        remaining_ms: 5_000,
        once_only: false,
        avoid_upstream: Some(UpstreamKey::of("u")),
        revision: 1,
    };
    let avoiding = owner.dispatch_request(&dispatch);
    assert_eq!(
        owner.rejection(avoiding).map(|refusal| refusal.reason),
        Some(RejectionReason::NoUpstream)
    );
    let late =
        owner.dispatch_request(&Dispatch { remaining_ms: 0, avoid_upstream: None, ..dispatch });
    assert_eq!(
        owner.rejection(late).map(|refusal| refusal.reason),
        Some(RejectionReason::Deadline)
    );
}
