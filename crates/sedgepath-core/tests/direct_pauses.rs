//! Upstreams that ask for a pause with their responses.

use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, NextStep, RejectionReason};
use sedgepath_core::direct::statements::{StatedLeaving, StatedPause, Statements};
use sedgepath_test_support::direct::{
    DOMAINS, begin_request, second_upstreams, serving_vm, vm_with_retry_budget,
};

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
        NextStep::Forward(to) => panic!("forwarded to {to:?}"),
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

/// Guards against a shorter pause, or a success that was under way, that ends a longer one.
#[test]
fn the_longest_pause_holds() {
    let mut vm = serving_vm("v0", "north-a", 0, 2);
    let paused = send(&mut vm, "a", 100).expect("an upstream");
    vm.record_statements(&paused, pause(PAUSE_MS), 100);
    vm.record_statements(&paused, pause(500), 200);
    let none = Statements { pause: StatedPause::None, ..pause(0) };
    vm.record_statements(&paused, none, 300);
    assert_eq!(share_of(&mut vm, &paused, 3_000), 0);
    vm.record_statements(&paused, pause(PAUSE_MS), 3_050);
    assert_eq!(share_of(&mut vm, &paused, 6_000), 0, "a second one extends the pause");
}

/// Guards against a pause that ends with the upstream's entry, or holds for another process.
#[test]
fn a_pause_is_of_one_process() {
    let mut vm = serving_vm("v0", "north-a", 0, 2);
    let paused = send(&mut vm, "a", 100).expect("an upstream");
    let mut entry = vm.upstreams().get(paused.upstream).expect("a known upstream").entry.clone();
    let region = DOMAINS.iter().find(|(domain, _)| *domain == &*entry.domain).expect("a domain").1;
    vm.record_statements(&paused, pause(PAUSE_MS), 100);
    vm.upstreams_mut().remove(&entry.name, 200);
    entry.sequence += 1;
    vm.upstreams_mut().upsert(entry.clone(), region, 300);
    let names = |vm: &mut Steering, now_ms| -> Vec<Box<str>> {
        let objects = (0..200).map(|number| number.to_string());
        objects.map(|object| send(vm, &object, now_ms).expect("an upstream").name).collect()
    };
    assert!(!names(&mut vm, 400).contains(&paused.name), "its entry came back");
    entry.started_at_ms = Some(1);
    vm.upstreams_mut().upsert(entry, region, 500);
    assert!(names(&mut vm, 600).contains(&paused.name), "another process");
}

/// Guards against retries and hedges that reach an upstream in its pause.
#[test]
fn a_paused_upstream_gets_no_retries_or_hedges() {
    let mut vm = vm_with_retry_budget("v0", "north-a", 0, 1);
    let paused = send(&mut vm, "a", 10).expect("an upstream");
    vm.record_statements(&paused, pause(60_000), 20);
    let names = second_upstreams(&mut vm, 30);
    assert!(!names.is_empty());
    assert!(!names.contains(&paused.name));
}

/// Guards against callers that wait, or return too early or all at once, while all upstreams pause.
#[test]
fn callers_are_told_when_the_first_pause_ends() {
    let mut vm = serving_vm("v0", "north-a", 0, 1);
    for (number, for_ms) in [4_000, 1_500, 3_000, 5_000].into_iter().enumerate() {
        let attempt = send(&mut vm, "a", number as u64).expect("an upstream");
        vm.record_statements(&attempt, pause(for_ms), 100);
    }
    let mut delays = Vec::new();
    for random in 0..50_u64 {
        let mut request = begin_request(&mut vm, "/reads/1", "a", 600);
        let draw = random.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let NextStep::Reject { reason, retry_after_ms } = vm.next_step(&mut request, draw, 600)
        else {
            panic!("all upstreams pause");
        };
        assert_eq!(reason, RejectionReason::UpstreamsPaused);
        assert!((1_000..=1_500).contains(&retry_after_ms), "{retry_after_ms} ms");
        delays.push(retry_after_ms);
    }
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 10, "{} different delays", delays.len());
}
