//! The choice of the upstream that runs a request.

use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{AttemptOutcome, NextStep, RequestState};
use sedgepath_core::direct::upstreams::{LoadReport, UpstreamEntry};
use sedgepath_core::hash::{Map, Set};
use sedgepath_test_support::direct::{all_kinds, begin, entry, serving_vm, vm};

const OBJECTS: usize = 60;

fn send(vm: &mut Steering, path: &str, object: usize, now_ms: u64) -> (RequestState, Box<str>) {
    let mut request = begin(vm, path, &format!("object {object}"), now_ms);
    match vm.next_step(&mut request, 1, now_ms) {
        NextStep::Send(to) => (request, to.name),
        other => panic!("not sent: {other:?}"),
    }
}

/// Returns the first-ranked upstream of each object on an idle VM.
fn first_ranked(vm: &mut Steering, path: &str) -> Vec<Box<str>> {
    let each = 0..OBJECTS;
    each.map(|object| {
        let (mut request, name) = send(vm, path, object, 0);
        vm.cancel_request(&mut request, 0);
        name
    })
    .collect()
}

/// Guards against VMs of a region ranking an object's upstreams differently, which makes it cold at
/// several.
#[test]
fn vms_of_a_region_agree_on_each_objects_upstream() {
    let mut one = serving_vm("a1", "north-a", 1, 3);
    let mut other = serving_vm("b1", "north-b", 2, 3);
    assert_eq!(first_ranked(&mut one, "/reads/1"), first_ranked(&mut other, "/reads/1"));
}

/// Guards against moving objects of other upstreams when one leaves.
#[test]
fn a_leaving_upstream_moves_only_its_own_objects() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let before = first_ranked(&mut vm, "/reads/1");
    let mut leaving = entry("b4", "north-b", 4);
    leaving.leaving = true;
    leaving.sequence = 2;
    vm.upstreams_mut().upsert(leaving, "north", 0);

    let after = first_ranked(&mut vm, "/reads/1");

    let moved = before.iter().zip(&after).filter(|(before, after)| before != after);
    assert!(moved.clone().all(|(before, _)| **before == *"b4"), "{:?}", moved.collect::<Vec<_>>());
}

/// Guards against sending most requests to another region, or none.
#[test]
fn near_upstreams_get_most_objects() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let north = ["b0", "b1", "b2", "b3", "b4", "b5"];
    let first_ranked = first_ranked(&mut vm, "/reads/1");
    let near = first_ranked.iter().filter(|name| north.contains(&&***name)).count();
    assert!(near > OBJECTS * 6 / 10, "{near} of {OBJECTS}");
    assert!(near < OBJECTS, "the other region runs nothing");
}

/// Guards against a hot object spilling to more than one other upstream, at each of which it starts
/// cold.
#[test]
fn a_busy_object_spills_to_one_more_upstream_only() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let mut counts: Map<Box<str>, usize> = Map::default();
    let mut under_way = Vec::new();
    // More requests than these would be rejected.
    for now_ms in 0..12 {
        let (request, name) = send(&mut vm, "/reads/1", 7, now_ms);
        *counts.entry(name).or_default() += 1;
        under_way.push(request);
    }
    assert_eq!(counts.len(), 2, "{counts:?}");
    assert!(counts.values().all(|count| *count >= 3), "{counts:?}");
}

/// Guards against sending requests to an unreachable upstream during its ejection.
#[test]
fn an_unreachable_upstream_is_ejected() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let (mut request, home) = send(&mut vm, "/reads/1", 7, 0);
    let key = request.tried_upstreams[0];
    vm.record_outcome(&mut request, key, AttemptOutcome::Unreachable, 10);

    let (_, soon) = send(&mut vm, "/reads/1", 7, 100);

    assert_ne!(home, soon);
}

/// Guards against sending requests to an upstream that lost its power and fails no connection.
#[test]
fn an_unresponsive_upstream_gets_no_new_requests() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let (_first, home) = send(&mut vm, "/reads/1", 7, 0);
    let (_second, again) = send(&mut vm, "/reads/1", 7, 50);
    assert_eq!(home, again);

    let (_, later) = send(&mut vm, "/reads/1", 7, 3_000);

    assert_ne!(home, later);
}

/// Guards against ignoring the load of other VMs in a load report.
#[test]
fn a_load_report_includes_the_load_of_other_vms() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let (mut request, home) = send(&mut vm, "/reads/1", 7, 0);
    let key = request.tried_upstreams[0];
    let report = Some(LoadReport { running: 3, waiting: 9, slots: 3 });
    let answer = AttemptOutcome::Answered { failed: false, report, body_bytes: 10 };
    vm.record_outcome(&mut request, key, answer, 200);

    let (_, next) = send(&mut vm, "/reads/1", 7, 210);

    assert_ne!(home, next);
}

/// Guards against large responses from another failure domain.
#[test]
fn large_responses_come_from_the_vms_own_domain() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let (mut request, _) = send(&mut vm, "/packs/1", 0, 0);
    let key = request.tried_upstreams[0];
    let answer = AttemptOutcome::Answered { failed: false, report: None, body_bytes: 90_000 };
    vm.record_outcome(&mut request, key, answer, 200);

    let first_ranked = first_ranked(&mut vm, "/packs/1");

    let own = first_ranked.iter().filter(|name| ["b0", "b1", "b2"].contains(&&***name)).count();
    assert!(own > OBJECTS * 8 / 10, "{own} of {OBJECTS}");
}

/// Guards against running a route's requests outside its home regions, even if these have no upstream.
#[test]
fn requests_stay_in_their_home_regions() {
    use sedgepath_core::direct::routing::RouteKind;
    let mut vm = serving_vm("a1", "north-a", 1, 2);
    let mut route = sedgepath_test_support::direct::route(RouteKind::Idempotent);
    route.home_regions = vec!["south".into()];
    vm.apply_configuration(sedgepath_test_support::direct::configuration(2, vec![route]));
    let first_ranked = first_ranked(&mut vm, "/reads/1");
    assert!(
        first_ranked.iter().all(|name| ["b4", "b5", "b6", "b7"].contains(&&**name)),
        "{first_ranked:?}"
    );

    let emptied: Set<Box<str>> = [Box::from("south-a"), Box::from("south-b")].into_iter().collect();
    vm.set_evacuated_domains(emptied, 0);
    let mut request = begin(&mut vm, "/reads/1", "x", 10);
    assert!(matches!(vm.next_step(&mut request, 1, 10), NextStep::Reject { .. }));
}

/// Guards against VMs that together exceed an upstream's connection limit.
#[test]
fn vms_share_the_connections_of_an_upstream() {
    use sedgepath_test_support::direct::heartbeat;
    let mut vm = serving_vm("a1", "north-a", 1, 0);
    for number in 0..4 {
        let large = UpstreamEntry { slots: 50, ..entry(&format!("b{number}"), "north-a", number) };
        vm.upstreams_mut().upsert(large, "north", 0);
    }
    for number in 2..=10 {
        vm.vms_mut().record_heartbeat(heartbeat(&format!("a{number}"), "north-a", number), 0);
    }
    let mut under_way = Vec::new();
    for object in 0..200 {
        let mut request = begin(&mut vm, "/reads/1", &object.to_string(), 0);
        if matches!(vm.next_step(&mut request, object, 0), NextStep::Send(_)) {
            under_way.push(request);
        }
    }
    let most = vm.upstreams().iter().map(|(_, upstream)| upstream.in_flight).max();
    assert!(most.is_some_and(|most| most <= 10), "{most:?}");
}

/// Guards against counting the network time to another region twice, as network time and as work.
#[test]
fn network_time_is_not_counted_as_work() {
    let mut vm = vm("a1", "north-a", 1);
    vm.apply_configuration(all_kinds(1));
    vm.upstreams_mut().upsert(entry("b0", "south-a", 0), "south", 0);
    let key = vm.upstreams().of_service("browse")[0];
    for _ in 0..100 {
        vm.record_connect_time(key, 100);
    }
    let mut expected_ms = 0;
    for round in 0..300 {
        let now_ms = round * 1_000;
        let mut request = begin(&mut vm, "/reads/1", "object", now_ms);
        let NextStep::Send(to) = vm.next_step(&mut request, 1, now_ms) else { panic!("not sent") };
        expected_ms = to.decision.expected_ms;
        let report = Some(LoadReport { running: 0, waiting: 0, slots: 3 });
        let answer = AttemptOutcome::Answered { failed: false, report, body_bytes: 100 };
        vm.record_outcome(&mut request, key, answer, now_ms + 250);
    }
    assert!((240..=260).contains(&expected_ms), "expected {expected_ms} ms");
}

/// Sends a request for one of thirty objects every `pause_ms` to upstreams that cache `memory` objects
/// each and respond faster to cached ones. Returns the mean number of upstreams per object over the
/// last 300 requests.
fn upstreams_per_object(memory: usize, pause_ms: u64) -> f64 {
    const KNOWN_MS: u64 = 100;
    const OTHER_MS: u64 = 400;
    const REQUESTS: u64 = 3_000;
    let mut draws = fastrand::Rng::with_seed(1);
    let mut vm = serving_vm("a1", "north-a", 1, 1);
    let mut memories: Map<Box<str>, Vec<u64>> = Map::default();
    let mut under_way: Vec<(u64, RequestState)> = Vec::new();
    let mut places: Map<u64, Set<Box<str>>> = Map::default();
    for number in 0..REQUESTS {
        let now_ms = number * pause_ms;
        let due = under_way.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect::<Vec<_>>();
        for (_, mut request) in due {
            let key = *request.tried_upstreams.last().expect("sent");
            let running = vm.upstreams().get(key).map_or(0, |upstream| upstream.in_flight - 1);
            let report = Some(LoadReport { running, waiting: 0, slots: 3 });
            let answer = AttemptOutcome::Answered { failed: false, report, body_bytes: 100 };
            vm.record_outcome(&mut request, key, answer, now_ms);
        }
        let object = draws.u64(..30);
        let mut request = begin(&mut vm, "/reads/1", &object.to_string(), now_ms);
        let NextStep::Send(to) = vm.next_step(&mut request, 1, now_ms) else { continue };
        let known = memories.entry(to.name.clone()).or_default();
        let took_ms = if known.contains(&object) { KNOWN_MS } else { OTHER_MS };
        known.retain(|other| *other != object);
        known.push(object);
        let excess = known.len().saturating_sub(memory);
        known.drain(..excess);
        if number >= REQUESTS - 300 {
            places.entry(object).or_default().insert(to.name);
        }
        under_way.push((now_ms + took_ms, request));
    }
    places.values().map(Set::len).sum::<usize>() as f64 / places.len() as f64
}

/// Guards against spills between upstreams with small caches, where each spill evicts another object
/// and causes further spills.
#[test]
fn objects_stay_at_one_upstream_where_caches_are_small() {
    let places = upstreams_per_object(6, 28);
    assert!(places < 1.2, "an object is at {places:.2} upstreams on average");
}

/// Guards against sending more requests to an upstream whose responses are all lost or too late.
#[test]
fn an_upstream_with_timeouts_gets_few_more_requests() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let (mut lost, mut others) = (0, 0);
    let (mut request, slow) = send(&mut vm, "/charges/1", 7, 0);
    vm.cancel_request(&mut request, 0);
    for round in 0..20 {
        let now_ms = 1_000 + round * 300;
        let (mut request, name) = send(&mut vm, "/charges/1", 7, now_ms);
        let key = request.tried_upstreams[0];
        if name == slow {
            lost += 1;
            vm.record_outcome(&mut request, key, AttemptOutcome::TimedOut, now_ms + 250);
        } else {
            others += 1;
            let answer = AttemptOutcome::Answered { failed: false, report: None, body_bytes: 100 };
            vm.record_outcome(&mut request, key, answer, now_ms + 250);
        }
    }
    assert!(lost <= 4, "{lost} requests timed out, {others} were served");
}
