//! Upstreams that ask for a pause with their responses.

use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, NextStep, RejectionReason};
use sedgepath_core::direct::statements::{StatedLeaving, StatedPause, Statements};
use sedgepath_test_support::direct::{begin_request, serving_vm};

/// The pause that upstreams ask for, in milliseconds.
const PAUSE_MS: u64 = 3_000;

const SUCCESS: AttemptOutcome =
    AttemptOutcome::Answered { failed: false, report: None, body_bytes: 1 };

fn pause(for_ms: u64) -> Statements {
    Statements { rate_limit: None, leaving: StatedLeaving::No, pause: StatedPause::ForMs(for_ms) }
}

/// Sends a request; returns the attempt, which succeeds, or the rejection.
fn send(vm: &mut Steering, object: &str, now_ms: u64) -> Result<Attempt, (RejectionReason, u64)> {
    let mut request = begin_request(vm, "/reads/1", object, now_ms);
    match vm.next_step(&mut request, 7, now_ms) {
        NextStep::Send(attempt) => {
            vm.record_outcome(&mut request, attempt.upstream, SUCCESS, now_ms);
            Ok(attempt)
        }
        NextStep::Reject { reason, retry_after_ms } => Err((reason, retry_after_ms)),
        NextStep::GiveUp { reason } => panic!("given up: {reason:?}"),
    }
}

/// Returns how many of the requests for many objects an upstream gets at a time.
fn share_of(vm: &mut Steering, upstream: &Attempt, now_ms: u64) -> usize {
    let objects = (0..200).map(|number| number.to_string());
    let receivers = objects.map(|object| send(vm, &object, now_ms).expect("an upstream").upstream);
    receivers.filter(|receiver| *receiver == upstream.upstream).count()
}

/// Guards against requests to an upstream that has asked for a pause, which it rejects as well.
#[test]
fn an_upstream_that_asks_for_a_pause_gets_nothing_until_its_end() {
    let mut vm = serving_vm("v0", "north-a", 0, 2);
    let paused = send(&mut vm, "a", 100).expect("an upstream");
    vm.record_statements(&paused, pause(PAUSE_MS), 100);
    for now_ms in (110..3_100).step_by(130) {
        assert_eq!(share_of(&mut vm, &paused, now_ms), 0, "at {now_ms} ms");
    }
    assert!(share_of(&mut vm, &paused, 3_100) > 0, "the pause has ended");
}
