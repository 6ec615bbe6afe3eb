//! Upstreams that state with their responses that they are about to stop.

use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, NextStep, RejectionReason};
use sedgepath_core::direct::statements::{StatedLeaving, StatedPause, Statements};
use sedgepath_test_support::direct::{begin_request, serving_vm};

const LEAVING: Statements =
    Statements { rate_limit: None, leaving: StatedLeaving::Yes, pause: StatedPause::None };

const SUCCESS: AttemptOutcome =
    AttemptOutcome::Answered { failed: false, report: None, body_bytes: 1 };

/// Runs a request for an object, and returns the attempt, or why there was none.
fn send(vm: &mut Steering, object: &str, now_ms: u64) -> Result<Attempt, RejectionReason> {
    let mut request = begin_request(vm, "/reads/1", object, now_ms);
    match vm.next_step(&mut request, 7, now_ms) {
        NextStep::Send(attempt) => {
            vm.record_outcome(&mut request, attempt.upstream, SUCCESS, now_ms);
            Ok(attempt)
        }
        NextStep::Reject { reason, .. } | NextStep::GiveUp { reason } => Err(reason),
    }
}

/// Returns the upstreams that get the requests for many objects.
fn receivers(vm: &mut Steering, now_ms: u64) -> Vec<Box<str>> {
    let objects = (0..200).map(|number| number.to_string());
    objects.map(|object| send(vm, &object, now_ms).expect("an upstream").name).collect()
}

/// Guards against requests to an upstream that has said that it leaves, while the store doesn't say so.
#[test]
fn an_upstream_that_says_it_leaves_gets_no_more_requests() {
    let mut vm = serving_vm("v0", "north-a", 0, 2);
    let attempt = send(&mut vm, "a", 10).expect("an upstream");
    vm.record_statements(&attempt, LEAVING, 20);
    assert!(!receivers(&mut vm, 30).contains(&attempt.name));
}
