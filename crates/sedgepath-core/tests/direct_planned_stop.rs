//! What a VM still sends once it has been asked to stop.

use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{
    AttemptOutcome, NextStep, Rejection, RejectionReason, RequestState,
};
use sedgepath_core::direct::planned_stop::PlannedStop;
use sedgepath_test_support::direct::{begin_request, serving_vm, vm_with_retry_budget};

/// The grace period of the stops, in milliseconds.
const GRACE_MS: u64 = 6_000;

/// The time limit of the requests, in milliseconds.
const TIME_LIMIT_MS: u64 = 3_000;

const REJECTED: NextStep =
    NextStep::Reject { reason: RejectionReason::Stopping, retry_after_ms: 0 };

fn stopping_vm() -> (Steering, PlannedStop) {
    let mut vm = serving_vm("a1", "north-a", 1, 2);
    let stop = PlannedStop::new(0, GRACE_MS);
    vm.begin_stop(stop);
    (vm, stop)
}

/// Returns the first step of a request that arrives at a time in milliseconds.
fn first_step(vm: &mut Steering, path: &str, now_ms: u64) -> NextStep {
    let mut request = begin_request(vm, path, "x", now_ms);
    let next = vm.next_step(&mut request, 1, now_ms);
    vm.cancel_request(&mut request, now_ms);
    next
}

fn fail_to_connect(vm: &mut Steering, request: &mut RequestState, now_ms: u64) {
    let NextStep::Send(attempt) = vm.next_step(request, 1, now_ms) else {
        panic!("an upstream should be free");
    };
    vm.record_outcome(request, attempt.upstream, AttemptOutcome::Unreachable, now_ms);
}

/// Guards against times of a stop that aren't in order, also for short grace periods.
#[test]
fn a_stop_accepts_then_answers_then_ends() {
    for grace_ms in [0, 100, 400, 1_000, 3_000, 6_000, 10_000, 600_000] {
        let stop = PlannedStop::new(1_000, grace_ms);
        assert!(1_000 <= stop.accepts_until_ms, "{stop:?}");
        assert!(stop.accepts_until_ms <= stop.requests_end_at_ms, "{stop:?}");
        assert!(stop.requests_end_at_ms <= stop.ends_at_ms, "{stop:?}");
        assert!(stop.ends_at_ms <= 1_000 + grace_ms, "{stop:?}");
    }
}

/// Guards against requests that the end of a stop ends while an upstream works on them, and against rejecting
/// those that it can't end.
#[test]
fn a_request_is_sent_only_if_its_deadline_is_in_time() {
    let (mut vm, stop) = stopping_vm();
    let last_ms = stop.requests_end_at_ms - TIME_LIMIT_MS;
    for path in ["/charges/1", "/reads/1"] {
        for now_ms in [0, last_ms] {
            let next = first_step(&mut vm, path, now_ms);
            assert!(matches!(next, NextStep::Send(_)), "{path} at {now_ms}: {next:?}");
        }
        for now_ms in [last_ms + 1, stop.accepts_until_ms, stop.ends_at_ms - 1] {
            assert_eq!(first_step(&mut vm, path, now_ms), REJECTED, "{path} at {now_ms}");
        }
    }
}

/// Guards against reads that a stop ends since they take longer than they, or any lately, were expected to.
#[test]
fn a_read_is_not_sent_by_its_expected_time() {
    let mut vm = serving_vm("a1", "north-a", 1, 2);
    let mut fast = begin_request(&mut vm, "/reads/1", "x", 0);
    let NextStep::Send(attempt) = vm.next_step(&mut fast, 1, 0) else {
        panic!("an upstream should be free");
    };
    let answered = AttemptOutcome::Answered { failed: false, report: None, body_bytes: 100 };
    vm.record_outcome(&mut fast, attempt.upstream, answered, 20);
    let stop = PlannedStop::new(20, GRACE_MS);
    vm.begin_stop(stop);
    let late_ms = stop.requests_end_at_ms - TIME_LIMIT_MS + 1;
    assert_eq!(first_step(&mut vm, "/reads/1", late_ms), REJECTED);
}

/// Guards against a stop that leaves a read, sent before it, to an upstream that has become silent.
#[test]
fn a_read_in_flight_is_hedged_while_that_is_expected_in_time() {
    for (grace_ms, is_hedged) in [(GRACE_MS, true), (1_714, false)] {
        let mut vm = vm_with_retry_budget("a1", "north-a", 1, 2);
        let mut request = begin_request(&mut vm, "/reads/1", "x", 0);
        let first = vm.next_step(&mut request, 1, 0);
        assert!(matches!(first, NextStep::Send(_)), "{first:?}");
        let overdue_at_ms = vm.hedge_at_ms(&request).expect("a hedge");
        let stop = PlannedStop::new(0, grace_ms);
        vm.begin_stop(stop);
        let hedge = vm.hedge(&mut request, 1, overdue_at_ms);
        assert_eq!(hedge.is_some(), is_hedged, "at {overdue_at_ms}, {stop:?}: {hedge:?}");
    }
}

/// Guards against 502 for a read that was in flight at SIGTERM, whose sending has failed and which a repeat would
/// serve in time, and against repeats of what arrives later or can't be in time.
#[test]
fn a_read_from_before_a_stop_is_repeated_while_that_is_expected_in_time() {
    let grace_ms = 2_000;
    let stop = PlannedStop::new(100, grace_ms);
    let given_up = NextStep::GiveUp { reason: RejectionReason::Stopping };
    for (failed_at_ms, is_repeated) in [(200, true), (stop.requests_end_at_ms - 1, false)] {
        let mut vm = vm_with_retry_budget("a1", "north-a", 1, 2);
        let mut request = begin_request(&mut vm, "/reads/1", "x", 0);
        let NextStep::Send(attempt) = vm.next_step(&mut request, 1, 0) else {
            panic!("an upstream should be free");
        };
        vm.begin_stop(stop);
        vm.record_outcome(&mut request, attempt.upstream, AttemptOutcome::Failed, failed_at_ms);
        let next = vm.next_step(&mut request, 1, failed_at_ms);
        assert_eq!(matches!(next, NextStep::Send(_)), is_repeated, "at {failed_at_ms}: {next:?}");
        assert!(is_repeated || next == given_up, "{next:?}");
    }
    for arrived_at_ms in [0, 101] {
        let mut vm = vm_with_retry_budget("a1", "north-a", 1, 2);
        vm.begin_stop(stop);
        let mut request = begin_request(&mut vm, "/reads/1", "x", 200)
            .with_arrival(arrived_at_ms)
            .with_early_start(true);
        let next = vm.next_step(&mut request, 1, 200);
        let is_repeated = arrived_at_ms == 0;
        assert_eq!(matches!(next, NextStep::Send(_)), is_repeated, "{arrived_at_ms}: {next:?}");
        assert!(is_repeated || next == given_up, "{next:?}");
    }
}

/// Guards against short grace periods most of which pass without requests, and against an end of requests so
/// late that their responses are cut.
#[test]
fn the_margins_of_a_stop_are_a_share_of_a_short_grace() {
    for grace_ms in [100, 200, 500, 1_000, 2_000, 2_999, 3_000, 4_000, 6_000, 60_000, 600_000] {
        let stop = PlannedStop::new(1_000, grace_ms);
        let margin_ms = 1_000 + grace_ms - stop.requests_end_at_ms;
        let exit_margin_ms = 1_000 + grace_ms - stop.ends_at_ms;
        // What is at work in the last sixth may be ended.
        assert!(margin_ms * 6 < grace_ms, "{grace_ms}: {stop:?}");
        assert!(margin_ms * 12 >= grace_ms.min(6_000), "{grace_ms}: {stop:?}");
        assert!(exit_margin_ms * 40 >= grace_ms.min(6_000), "{grace_ms}: {stop:?}");
        assert!(stop.requests_end_at_ms < stop.ends_at_ms, "{grace_ms}: {stop:?}");
    }
    let stop = PlannedStop::new(0, 6_000);
    assert_eq!((stop.requests_end_at_ms, stop.ends_at_ms), (5_500, 5_850));
}

/// Guards against a decision at the arrival of a request that is sent only after the stop has begun.
#[test]
fn a_charge_that_waits_when_the_stop_begins_is_not_sent_late() {
    let mut vm = serving_vm("a1", "north-a", 1, 2);
    let mut request = begin_request(&mut vm, "/charges/1", "x", 0);
    fail_to_connect(&mut vm, &mut request, 0);
    vm.begin_stop(PlannedStop::new(10, 2_000));
    assert_eq!(vm.next_step(&mut request, 1, 20), REJECTED);
}

/// Guards against a stopping VM that reports a request as not run that may have run.
#[test]
fn a_request_that_may_have_run_is_given_up() {
    let mut vm = vm_with_retry_budget("a1", "north-a", 1, 2);
    let mut request = begin_request(&mut vm, "/reads/1", "x", 0);
    let NextStep::Send(attempt) = vm.next_step(&mut request, 1, 0) else {
        panic!("an upstream should be free");
    };
    let stop = PlannedStop::new(0, 2_000);
    vm.begin_stop(stop);
    vm.record_outcome(&mut request, attempt.upstream, AttemptOutcome::Failed, 1_400);
    let next = vm.next_step(&mut request, 1, stop.requests_end_at_ms);
    assert_eq!(next, NextStep::GiveUp { reason: RejectionReason::Stopping });
}

/// Guards against a VM that passes on the rejection of a stopping VM instead of asking another one.
#[test]
fn the_rejection_of_a_stopping_vm_holds_for_that_vm_only() {
    let rejection = Rejection { reason: RejectionReason::Stopping, retry_after_ms: 0 };
    assert!(rejection.reason.is_of_one_vm());
    assert_eq!(RejectionReason::from_name("stopping"), Some(rejection.reason));
}
