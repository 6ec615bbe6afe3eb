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

/// Guards against charges that the end of the process cuts, and against rejecting those that it can't cut.
#[test]
fn a_charge_is_sent_only_if_its_deadline_is_in_time() {
    let (mut vm, stop) = stopping_vm();
    let last_ms = stop.requests_end_at_ms - TIME_LIMIT_MS;
    for now_ms in [0, last_ms] {
        let next = first_step(&mut vm, "/charges/1", now_ms);
        assert!(matches!(next, NextStep::Send(_)), "at {now_ms}: {next:?}");
    }
    for now_ms in [last_ms + 1, stop.ends_at_ms - 1] {
        assert_eq!(first_step(&mut vm, "/charges/1", now_ms), REJECTED, "at {now_ms}");
    }
}

/// Guards against a stop that rejects all reads although most take a fraction of their time limit, and against
/// one that sends them up to its end.
#[test]
fn a_read_is_sent_while_it_is_expected_in_time() {
    let (mut vm, stop) = stopping_vm();
    let next = first_step(&mut vm, "/reads/1", stop.accepts_until_ms);
    assert!(matches!(next, NextStep::Send(_)), "{next:?}");
    assert_eq!(first_step(&mut vm, "/reads/1", stop.requests_end_at_ms - 1), REJECTED);
}

/// Guards against reads that are sent late because most responses are fast, although some take longer than the
/// stop lasts.
#[test]
fn a_read_is_not_sent_if_the_slowest_response_took_longer_than_is_left() {
    let mut vm = serving_vm("a1", "north-a", 1, 2);
    let mut slow = begin_request(&mut vm, "/reads/1", "x", 0);
    let NextStep::Send(attempt) = vm.next_step(&mut slow, 1, 0) else {
        panic!("an upstream should be free");
    };
    let answered = AttemptOutcome::Answered { failed: false, report: None, body_bytes: 100 };
    vm.record_outcome(&mut slow, attempt.upstream, answered, 2_500);
    let stop = PlannedStop::new(2_500, GRACE_MS);
    vm.begin_stop(stop);
    assert_eq!(first_step(&mut vm, "/reads/1", stop.accepts_until_ms), REJECTED);
    let next = first_step(&mut vm, "/reads/1", 2_501);
    assert!(matches!(next, NextStep::Send(_)), "{next:?}");
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
