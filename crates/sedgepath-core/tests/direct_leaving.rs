//! Upstreams that state with their responses that they are about to stop.

use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, NextStep, RejectionReason};
use sedgepath_core::direct::statements::{StatedLeaving, StatedPause, Statements};
use sedgepath_core::direct::upstreams::UpstreamEntry;
use sedgepath_core::direct::vms::StoreHealth;
use sedgepath_test_support::direct::{
    DOMAINS, begin_request, second_upstreams, serving_vm, upstream_entry, vm_with_retry_budget,
};

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
        NextStep::Forward(to) => panic!("forwarded to {to:?}"),
    }
}

/// Returns the upstreams that get the requests for many objects.
fn receivers(vm: &mut Steering, now_ms: u64) -> Vec<Box<str>> {
    let objects = (0..200).map(|number| number.to_string());
    objects.map(|object| send(vm, &object, now_ms).expect("an upstream").name).collect()
}

/// Returns the entry of an upstream that [`serving_vm`] knows.
fn entry_of(vm: &Steering, attempt: &Attempt) -> UpstreamEntry {
    vm.upstreams().get(attempt.upstream).expect("a known upstream").entry.clone()
}

/// Guards against requests to an upstream that has said that it leaves, while the store doesn't say so.
#[test]
fn an_upstream_that_says_it_leaves_gets_no_more_requests() {
    let mut vm = serving_vm("v0", "north-a", 0, 2);
    let attempt = send(&mut vm, "a", 10).expect("an upstream");
    vm.record_statements(&attempt, LEAVING, 20);
    assert!(!receivers(&mut vm, 30).contains(&attempt.name));
}

/// Guards against an entry that still says that the upstream serves, or an outage that hides its end.
#[test]
fn the_store_does_not_take_back_what_a_leaving_upstream_says() {
    let mut vm = serving_vm("v0", "north-a", 0, 2);
    let attempt = send(&mut vm, "a", 10).expect("an upstream");
    let mut entry = entry_of(&vm, &attempt);
    let region = DOMAINS.iter().find(|(domain, _)| *domain == &*entry.domain).expect("a domain").1;
    vm.record_statements(&attempt, LEAVING, 20);
    entry.sequence += 1;
    vm.upstreams_mut().upsert(entry.clone(), region, 30);
    assert!(!receivers(&mut vm, 40).contains(&attempt.name), "after a heartbeat");
    vm.update_store_health(StoreHealth::Reachable { for_ms: 1_000 }, 50);
    vm.update_store_health(StoreHealth::Failing, 60);
    vm.upstreams_mut().remove(&entry.name, 70);
    entry.sequence += 1;
    vm.upstreams_mut().upsert(entry.clone(), region, 80);
    assert!(!receivers(&mut vm, 90).contains(&attempt.name), "after its entry lapsed");
    entry.started_at_ms = Some(1);
    vm.upstreams_mut().upsert(entry, region, 100);
    assert!(receivers(&mut vm, 110).contains(&attempt.name), "another process");
}

/// Guards against second sends of requests that wait at another upstream.
#[test]
fn a_leaving_upstream_gets_no_retries_or_hedges() {
    let mut vm = vm_with_retry_budget("v0", "north-a", 0, 1);
    let leaving = send(&mut vm, "a", 10).expect("an upstream");
    vm.record_statements(&leaving, LEAVING, 20);
    let names = second_upstreams(&mut vm, 30);
    assert!(!names.is_empty());
    assert!(!names.contains(&leaving.name));
}

/// Guards against requests that wait for their deadline once all upstreams leave.
#[test]
fn a_service_whose_upstreams_all_leave_rejects_at_once() {
    let mut vm = serving_vm("v0", "north-a", 0, 1);
    for now_ms in 0..4 {
        let attempt = send(&mut vm, "a", now_ms).expect("an upstream");
        vm.record_statements(&attempt, LEAVING, now_ms);
    }
    assert_eq!(send(&mut vm, "a", 10), Err(RejectionReason::NoUpstream));
    let joined = upstream_entry("new", "north-a", 99);
    vm.upstreams_mut().upsert(joined, "north", 20);
    assert_eq!(send(&mut vm, "a", 30).map(|attempt| attempt.name), Ok("new".into()));
}
