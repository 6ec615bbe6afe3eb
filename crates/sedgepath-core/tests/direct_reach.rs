//! Tests of VMs that reach no upstream.

use std::net::SocketAddr;

use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::accounts::PresentedCredential;
use sedgepath_core::direct::attempts::{
    AttemptOutcome, ForwardOutcome, ForwardedRequest, Forwarding, NextStep, Rejection,
    RejectionReason, RequestState,
};
use sedgepath_core::direct::reach::ReachChange;
use sedgepath_core::direct::routing::RouteKind;
use sedgepath_core::direct::steering::IncomingRequest;
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::upstreams::UpstreamKey;
use sedgepath_core::direct::vms::{ReportedLoad, StoreHealth, VmState};
use sedgepath_test_support::direct::{
    HOST, SERVICE, begin_request, configuration, heartbeat, route, serving_vm, upstream_entry, vm,
    vm_with_retry_budget,
};
use serde::{Deserialize, Serialize};

/// The time limit of a connection, in milliseconds.
const CONNECT_MS: u64 = 250;

/// The longest time after the first failed connection, or after the first request without a response, until
/// a VM knows that it is cut off, in milliseconds.
const MAX_NOTICE_MS: u64 = 1_000;

const SUCCESS: AttemptOutcome =
    AttemptOutcome::Answered { failed: false, report: None, body_bytes: 1 };

/// Runs a check if one is due, with upstreams that accept connections or don't.
fn check(
    vm: &mut Steering,
    accepts: impl Fn(UpstreamKey) -> bool,
    now_ms: u64,
) -> Option<ReachChange> {
    let checks = vm.begin_check(&mut fastrand::Rng::with_seed(now_ms), now_ms);
    if checks.is_empty() {
        return None;
    }
    let results: Vec<_> = checks.iter().map(|one| (one.upstream, accepts(one.upstream))).collect();
    vm.record_check(&results, now_ms + CONNECT_MS)
}

/// Cuts a VM off by failed connections.
fn cut_off(vm: &mut Steering, now_ms: u64) {
    let keys: Vec<_> = vm.upstreams().iter().map(|(key, _)| key).take(2).collect();
    for key in keys {
        vm.record_connection(key, false, now_ms);
    }
    assert_eq!(check(vm, |_| false, now_ms), Some(ReachChange::CutOff));
    assert!(vm.is_cut_off());
}

fn hear(vm: &mut Steering, name: &str, domain: &str, number: u8, cut_off: bool) -> SocketAddr {
    let mut heard = heartbeat(name, domain, number);
    heard.state.load = heard.state.load.with_cut_off(cut_off);
    let address = heard.descriptor.peer_address;
    vm.vms_mut().record_heartbeat(heard, 0);
    address
}

fn forwarded_to(step: &NextStep) -> Option<SocketAddr> {
    match step {
        NextStep::Forward(Forwarding { peer_address, .. }) => Some(*peer_address),
        _ => None,
    }
}

fn begin_forwarded(vm: &mut Steering, path: &str, forwarded: ForwardedRequest) -> RequestState {
    let incoming = IncomingRequest {
        host: HOST,
        path,
        time_left_ms: Some(3_000),
        object: Some("7"),
        caller: None,
        credential: PresentedCredential::None,
        forwarded: Some(forwarded),
    };
    vm.begin_request(incoming, 0).expect("the VM should accept the request")
}

const FIRST_FORWARDING: ForwardedRequest =
    ForwardedRequest { delivered: 0, possible_runs: 0, is_probe: false };

// Guards against taking upstreams that crash together for a VM that is cut off.
#[test]
fn a_vm_whose_upstreams_of_one_domain_fail_is_not_cut_off() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    let domain_of =
        |vm: &Steering, key| vm.upstreams().get(key).map(|known| known.entry.domain.clone());
    let failing: Vec<_> = vm
        .upstreams()
        .iter()
        .map(|(key, _)| key)
        .filter(|key| domain_of(&vm, *key).as_deref() == Some("north-b"))
        .collect();
    for now_ms in (0..20_000).step_by(50) {
        vm.record_connection(failing[(now_ms / 50) as usize % failing.len()], false, now_ms);
        check(&mut vm, |key| !failing.contains(&key), now_ms);
        assert!(!vm.is_cut_off(), "cut off at {now_ms} ms");
    }
}

// Guards against asking upstreams that are known to fail, or the one in question, whether others accept
// connections.
#[test]
fn upstreams_that_have_failed_are_not_asked_for_comparison() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    let keys: Vec<_> = vm.upstreams().iter().map(|(key, _)| key).collect();
    let (refusing, failed) = (keys[0], &keys[1..3]);
    for key in failed {
        vm.record_connection(*key, false, 0);
    }
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let others = vm.other_upstreams(refusing, keys.len(), &mut rng);
        let mut asked: Vec<_> = others.iter().map(|other| other.upstream).collect();
        asked.sort_unstable();
        let mut expected = keys[3..].to_vec();
        expected.sort_unstable();
        assert_eq!(asked, expected, "each once");
    }
}

// Guards against a VM that goes on for seconds before it knows that it is cut off.
#[test]
fn failed_connections_show_a_cut_within_a_second() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    let keys: Vec<_> = vm.upstreams().iter().map(|(key, _)| key).collect();
    for now_ms in (CONNECT_MS..MAX_NOTICE_MS).step_by(50) {
        vm.record_connection(keys[(now_ms / 50) as usize % keys.len()], false, now_ms);
        if check(&mut vm, |_| false, now_ms) == Some(ReachChange::CutOff) {
            return;
        }
    }
    panic!("no cut was noticed");
}

// Guards against a deployment with a single upstream whose cut VMs never know.
#[test]
fn a_vm_that_knows_one_upstream_notices_a_cut() {
    let mut vm = vm("a1", "north-a", 1);
    vm.upstreams_mut().upsert(upstream_entry("b0", "north-a", 0), "north", 0);
    let (key, _) = vm.upstreams().iter().next().expect("an upstream");
    vm.record_connection(key, false, 0);
    assert_eq!(check(&mut vm, |_| false, 0), Some(ReachChange::CutOff));
    assert_eq!(check(&mut vm, |_| true, 1_000), Some(ReachChange::Recovered));
}

// Guards against a VM with one request in flight that waits for its deadline to notice a cut.
#[test]
fn one_request_without_a_response_shows_a_cut_within_a_second() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    let mut request = begin_request(&mut vm, "/charges/1", "7", 0);
    assert!(matches!(vm.next_step(&mut request, 7, 0), NextStep::Send(_)));
    for now_ms in (0..MAX_NOTICE_MS).step_by(100) {
        if check(&mut vm, |_| false, now_ms) == Some(ReachChange::CutOff) {
            assert!(now_ms + CONNECT_MS <= MAX_NOTICE_MS + 200, "noticed at {now_ms} ms");
            return;
        }
    }
    panic!("no cut was noticed");
}

// Guards against connections opened for nothing while few requests are in flight.
#[test]
fn slow_responses_of_few_requests_cause_few_checks() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    let mut checks = 0;
    for second in 0..20 {
        let now_ms = second * 1_000;
        let mut request = begin_request(&mut vm, "/reads/1", "7", now_ms);
        let NextStep::Send(attempt) = vm.next_step(&mut request, 7, now_ms) else {
            panic!("not sent");
        };
        for now_ms in (now_ms..now_ms + 800).step_by(100) {
            let due = vm.begin_check(&mut fastrand::Rng::with_seed(1), now_ms);
            checks += due.len();
            if !due.is_empty() {
                let results: Vec<_> = due.iter().map(|one| (one.upstream, true)).collect();
                assert_eq!(vm.record_check(&results, now_ms), None);
            }
        }
        vm.record_outcome(&mut request, attempt.upstream, SUCCESS, now_ms + 800);
    }
    assert!(checks <= 10, "{checks} connections in 20 s");
}

// Guards against a VM that keeps to other VMs when upstreams can be reached again, or to cold ones.
#[test]
fn after_a_cut_upstreams_get_requests_as_before() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    let mut request = begin_request(&mut vm, "/reads/1", "7", 0);
    while request.unreachable < 2 {
        let NextStep::Send(attempt) = vm.next_step(&mut request, 7, 0) else { panic!("not sent") };
        vm.record_connection(attempt.upstream, false, 0);
        let outcome = AttemptOutcome::Unreachable;
        vm.record_outcome(&mut request, attempt.upstream, outcome, 0);
    }
    assert_eq!(check(&mut vm, |_| false, 0), Some(ReachChange::CutOff));
    let mut recovered_at_ms = None;
    for now_ms in (300..3_000).step_by(50) {
        if check(&mut vm, |_| now_ms >= 1_000, now_ms) == Some(ReachChange::Recovered) {
            recovered_at_ms = Some(now_ms);
            break;
        }
    }
    let now_ms = recovered_at_ms.expect("the end of the cut was not noticed");
    assert!(now_ms <= 2_000, "noticed at {now_ms} ms");
    for (_, upstream) in vm.upstreams().iter() {
        assert!(upstream.ejected_until_ms <= now_ms && !upstream.is_cold(now_ms + 1));
    }
    for object in 0..16 {
        let mut request = begin_request(&mut vm, "/reads/1", &object.to_string(), now_ms);
        let NextStep::Send(attempt) = vm.next_step(&mut request, 7, now_ms) else {
            panic!("not sent");
        };
        vm.record_outcome(&mut request, attempt.upstream, SUCCESS, now_ms + 50);
    }
    let is_cold = vm.upstreams().iter().any(|(_, upstream)| upstream.is_cold(now_ms + 100));
    assert!(!is_cold, "an upstream is taken for restarted");
}

// Guards against requests of a cut VM that go further than to the nearest VMs, or past their homes.
#[test]
fn a_cut_vm_forwards_to_the_nearest_vm_that_reaches_upstreams() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    hear(&mut vm, "a2", "north-a", 2, true);
    let region = hear(&mut vm, "b1", "north-b", 3, false);
    let elsewhere = hear(&mut vm, "c1", "south-a", 4, false);
    cut_off(&mut vm, 0);
    let mut request = begin_request(&mut vm, "/charges/1", "7", 0);
    assert_eq!(forwarded_to(&vm.next_step(&mut request, 7, 0)), Some(region));
    let own = hear(&mut vm, "a3", "north-a", 5, false);
    let mut request = begin_request(&mut vm, "/charges/1", "7", 0);
    assert_eq!(forwarded_to(&vm.next_step(&mut request, 7, 0)), Some(own));

    let mut at_home = route(RouteKind::NonIdempotent);
    at_home.home_regions = vec!["south".into()];
    vm.apply_configuration(configuration(2, vec![at_home]));
    let mut request = begin_request(&mut vm, "/charges/1", "7", 0);
    assert_eq!(forwarded_to(&vm.next_step(&mut request, 7, 0)), Some(elsewhere));
}

// Guards against requests that VMs which are cut off hand to each other.
#[test]
fn a_forwarded_request_is_never_forwarded_again() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    hear(&mut vm, "a2", "north-a", 2, false);
    cut_off(&mut vm, 0);
    let mut request = begin_forwarded(&mut vm, "/charges/1", FIRST_FORWARDING);
    let step = vm.next_step(&mut request, 7, 0);
    assert!(matches!(step, NextStep::Reject { reason: RejectionReason::CutOff, .. }), "{step:?}");
}

// Guards against callers that wait while all upstreams are gone and no VM reaches any.
#[test]
fn a_request_is_rejected_at_once_if_no_vm_reaches_upstreams() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    hear(&mut vm, "a2", "north-a", 2, true);
    cut_off(&mut vm, 0);
    let mut request = begin_request(&mut vm, "/charges/1", "7", 0);
    let mut now_ms = 0;
    loop {
        match vm.next_step(&mut request, 7, now_ms) {
            NextStep::Send(attempt) => {
                now_ms += CONNECT_MS;
                let outcome = AttemptOutcome::Unreachable;
                vm.record_outcome(&mut request, attempt.upstream, outcome, now_ms);
            }
            NextStep::Reject { reason, retry_after_ms } => {
                assert_eq!((reason, retry_after_ms), (RejectionReason::NoUpstream, 1_000));
                break;
            }
            step => panic!("{step:?}"),
        }
    }
    assert!(now_ms <= CONNECT_MS, "held for {now_ms} ms");
}

// Guards against a rejection that comes with the deadline, after one connection after the other failed.
#[test]
fn a_request_that_reaches_no_upstream_is_not_held_until_its_deadline() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    let mut request = begin_request(&mut vm, "/charges/1", "7", 0);
    let mut now_ms = 0;
    while let NextStep::Send(attempt) = vm.next_step(&mut request, 7, now_ms) {
        now_ms += CONNECT_MS;
        vm.record_outcome(&mut request, attempt.upstream, AttemptOutcome::Unreachable, now_ms);
    }
    assert!(now_ms <= 3 * CONNECT_MS, "held for {now_ms} ms");
}

// Guards against sending a request whose deadline has passed.
#[test]
fn a_request_is_not_sent_after_its_deadline() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    let mut request = begin_request(&mut vm, "/charges/1", "7", 0);
    let deadline_at_ms = request.deadline_at_ms;
    let step = vm.next_step(&mut request, 7, deadline_at_ms);
    let reason = RejectionReason::DeadlineExceeded;
    assert!(matches!(step, NextStep::Reject { reason: told, .. } if told == reason), "{step:?}");
}

// Guards against a non-idempotent request that is sent again although another VM may have run it.
#[test]
fn a_request_that_another_vm_may_have_run_is_given_up() {
    for outcome in [ForwardOutcome::Failed, ForwardOutcome::TimedOut] {
        for path in ["/charges/1", "/reads/1"] {
            let mut vm = vm_with_retry_budget("a1", "north-a", 1, 4);
            hear(&mut vm, "a2", "north-a", 2, false);
            hear(&mut vm, "a3", "north-a", 3, false);
            cut_off(&mut vm, 0);
            let mut request = begin_request(&mut vm, path, "7", 0);
            assert!(forwarded_to(&vm.next_step(&mut request, 7, 0)).is_some());
            request.record_forward_outcome(outcome);
            let step = vm.next_step(&mut request, 7, 10);
            assert!(matches!(step, NextStep::GiveUp { .. }), "{path} {outcome:?}: {step:?}");
        }
    }
}

// Guards against an untrue rejection, and against giving up while a VM can still serve the request.
#[test]
fn a_rejection_of_one_vm_leads_to_another_and_one_of_all_to_the_caller() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    for number in 2..=6 {
        hear(&mut vm, &format!("a{number}"), "north-a", number, false);
    }
    cut_off(&mut vm, 0);
    let mut request = begin_request(&mut vm, "/charges/1", "7", 0);
    let mut asked = Vec::new();
    let last = loop {
        let step = vm.next_step(&mut request, asked.len() as u64, 0);
        let Some(address) = forwarded_to(&step) else { break step };
        asked.push(address);
        request.record_forward_outcome(ForwardOutcome::NotRun { rejection: None });
    };
    assert!(matches!(last, NextStep::Reject { reason: RejectionReason::CutOff, .. }), "{last:?}");
    asked.dedup();
    assert_eq!(asked.len(), 3, "{asked:?}");

    let mut request = begin_request(&mut vm, "/charges/1", "7", 0);
    assert!(forwarded_to(&vm.next_step(&mut request, 7, 0)).is_some());
    let rejection = Rejection { reason: RejectionReason::UpstreamsBusy, retry_after_ms: 321 };
    request.record_forward_outcome(ForwardOutcome::NotRun { rejection: Some(rejection) });
    let expected = NextStep::Reject { reason: rejection.reason, retry_after_ms: 321 };
    assert_eq!(vm.next_step(&mut request, 7, 0), expected);
}

/// Guards against an untrue rejection of a read that an upstream may have run, after other VMs have said that it
/// didn't run there.
#[test]
fn a_read_that_may_have_run_asks_further_vms_and_is_given_up() {
    let mut vm = vm_with_retry_budget("a1", "north-a", 1, 4);
    hear(&mut vm, "a2", "north-a", 2, false);
    hear(&mut vm, "a3", "north-a", 3, false);
    let mut request = begin_request(&mut vm, "/reads/1", "7", 0);
    let NextStep::Send(attempt) = vm.next_step(&mut request, 7, 0) else { panic!("not sent") };
    cut_off(&mut vm, 0);
    vm.record_outcome(&mut request, attempt.upstream, AttemptOutcome::Failed, 10);
    let mut asked = Vec::new();
    let last = loop {
        let step = vm.next_step(&mut request, asked.len() as u64, 20);
        let Some(address) = forwarded_to(&step) else { break step };
        asked.push(address);
        request.record_forward_outcome(ForwardOutcome::NotRun { rejection: None });
    };
    assert_eq!(asked.len(), 2, "{asked:?}");
    assert!(matches!(last, NextStep::GiveUp { .. }), "{last:?}");
}

// Guards against retries that both VMs pay for, and against more runs than the route allows.
#[test]
fn the_attempts_and_the_budget_of_a_forwarded_request_are_counted_once() {
    let mut vm = vm_with_retry_budget("a1", "north-a", 1, 4);
    let (before, _) = vm.budget().counts(SERVICE, 0);
    let told = ForwardedRequest { delivered: 1, possible_runs: 1, is_probe: false };
    let mut request = begin_forwarded(&mut vm, "/reads/1", told);
    assert_eq!(vm.budget().counts(SERVICE, 0).0, before, "the request was counted twice");
    let NextStep::Send(attempt) = vm.next_step(&mut request, 7, 0) else { panic!("not sent") };
    assert_eq!(vm.budget().counts(SERVICE, 0).1, 1, "the repeat was not counted");
    vm.record_outcome(&mut request, attempt.upstream, AttemptOutcome::Failed, 10);
    assert!(matches!(vm.next_step(&mut request, 7, 10), NextStep::GiveUp { .. }));
}

// Guards against an idempotent request that waits at an upstream which can't be reached any more.
#[test]
fn an_idempotent_request_in_flight_at_the_cut_is_forwarded_once() {
    for (path, forwardings) in [("/reads/1", 1), ("/charges/1", 0)] {
        let mut vm = vm_with_retry_budget("a1", "north-a", 1, 4);
        hear(&mut vm, "a2", "north-a", 2, false);
        let mut request = begin_request(&mut vm, path, "7", 0);
        assert!(matches!(vm.next_step(&mut request, 7, 0), NextStep::Send(_)));
        cut_off(&mut vm, 0);
        let mut count = 0;
        while vm.hedge_at_ms(&request).is_some_and(|at_ms| at_ms == 0)
            && vm.hedge_by_neighbour(&mut request, 7, 300).is_some()
        {
            count += 1;
        }
        assert_eq!(count, forwardings, "{path}");
    }
}

// Guards against callers that are led to a VM which reaches no upstream.
#[test]
fn look_ups_leave_out_vms_that_reach_no_upstream() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    let caller = |number: u8| SocketAddr::from(([10, 0, 0, number], 80));
    hear(&mut vm, "a2", "north-a", 2, true);
    hear(&mut vm, "a3", "north-a", 3, false);
    hear(&mut vm, "b1", "north-b", 4, false);
    assert_eq!(vm.vms().look_up("north-a", "north", 0), [caller(1), caller(3)]);
    cut_off(&mut vm, 0);
    assert_eq!(vm.vms().look_up("north-a", "north", 0), [caller(3), caller(4)]);
    hear(&mut vm, "a3", "north-a", 3, true);
    assert_eq!(vm.vms().look_up("north-a", "north", 0), [caller(4)]);
}

// Guards against empty look-ups when no VM reaches upstreams.
#[test]
fn look_ups_name_vms_as_before_if_none_reaches_upstreams() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    hear(&mut vm, "a2", "north-a", 2, true);
    cut_off(&mut vm, 0);
    assert_eq!(vm.vms().look_up("north-a", "north", 0).len(), 2);
}

// Guards against a cold upstream that nobody warms up, since the VM chosen for that is cut off.
#[test]
fn a_cold_upstream_gets_requests_while_one_vm_is_cut_off() {
    let names = [("a1", 1), ("a2", 2)];
    let senders = |cut: Option<u8>| {
        let sends = |(name, number): &(&str, u8)| {
            let mut vm = serving_vm(name, "north-a", *number, 1);
            let keys: Vec<_> = vm.upstreams().iter().map(|(key, _)| key).collect();
            for key in keys {
                vm.upstreams_mut().get_mut(key).expect("known").cold_until_ms = 10_000;
            }
            for (other, other_number) in names.iter().filter(|(other, _)| other != name) {
                hear(&mut vm, other, "north-a", *other_number, cut == Some(*other_number));
            }
            if cut == Some(*number) {
                cut_off(&mut vm, 0);
            }
            let mut request = begin_request(&mut vm, "/reads/1", "7", 0);
            matches!(vm.next_step(&mut request, 7, 0), NextStep::Send(_))
        };
        names.iter().filter(|vm| sends(vm)).count()
    };
    assert!(senders(Some(1)) >= 1 && senders(Some(2)) >= 1);
}

/// The variable part of a heartbeat as earlier versions have it.
#[derive(Debug, Serialize, Deserialize)]
struct EarlierState {
    stamp: HybridTimestamp,
    period_ms: u64,
    boot_at_ms: u64,
    ready: bool,
    leaving: bool,
    load_percent: u8,
    newest_version: [u64; 2],
    store_health: StoreHealth,
}

// Guards against VMs of two versions that don't hear each other while they are replaced in turn.
#[test]
fn heartbeats_of_this_version_and_of_earlier_ones_can_be_read_by_both() {
    let mut state = heartbeat("a1", "north-a", 1).state;
    state.newest_version = [700, 800].map(StoreVersion::from_u64);
    state.store_health = StoreHealth::Reachable { for_ms: 900 };
    for cut_off in [false, true] {
        state.load = ReportedLoad::default().with_percent(37).with_cut_off(cut_off);
        let bytes = postcard::to_stdvec(&state).expect("bytes");
        let earlier: EarlierState = postcard::from_bytes(&bytes).expect("an earlier state");
        assert_eq!((earlier.ready, earlier.newest_version), (true, [700, 800]));
        assert_eq!(earlier.load_percent == 37, !cut_off);
        let bytes = postcard::to_stdvec(&earlier).expect("bytes");
        assert_eq!(postcard::from_bytes::<VmState>(&bytes).expect("a state"), state);
    }
}
