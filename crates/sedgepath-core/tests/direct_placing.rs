//! Which upstream runs a request.

use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{AttemptOutcome, NextStep, RequestState};
use sedgepath_core::direct::upstreams::{LoadReport, UpstreamEntry};
use sedgepath_core::hash::{Map, Set};
use sedgepath_test_support::direct::{all_kinds, begin, entry, serving_vm, vm};

const OBJECTS: usize = 60;

fn send(vm: &mut Steering, path: &str, object: usize, now_ms: u64) -> (RequestState, Box<str>) {
    let mut attempts = begin(vm, path, &format!("object {object}"), now_ms);
    match vm.next_step(&mut attempts, 1, now_ms) {
        NextStep::Send(to) => (attempts, to.name),
        other => panic!("not sent: {other:?}"),
    }
}

/// Returns the upstream of each object on an idle VM.
fn homes(vm: &mut Steering, path: &str) -> Vec<Box<str>> {
    let each = 0..OBJECTS;
    each.map(|object| {
        let (mut attempts, name) = send(vm, path, object, 0);
        vm.cancel_request(&mut attempts, 0);
        name
    })
    .collect()
}

/// Callers of both failure domains of a region ask for the same objects, through VMs that exchange
/// nothing about them. An object must have one upstream, or each runs it slowly for the first time.
#[test]
fn vms_of_a_region_agree_on_each_objects_upstream() {
    let mut one = serving_vm("a1", "north-a", 1, 3);
    let mut other = serving_vm("b1", "north-b", 2, 3);
    assert_eq!(homes(&mut one, "/reads/1"), homes(&mut other, "/reads/1"));
}

/// An upstream leaves. Only its own objects move; the others stay warm where they are.
#[test]
fn a_leaving_upstream_moves_only_its_own_objects() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let before = homes(&mut vm, "/reads/1");
    let mut leaving = entry("b4", "north-b", 4);
    leaving.leaving = true;
    leaving.sequence = 2;
    vm.upstreams_mut().upsert(leaving, "north", 0);

    let after = homes(&mut vm, "/reads/1");

    let moved = before.iter().zip(&after).filter(|(before, after)| before != after);
    assert!(moved.clone().all(|(before, _)| **before == *"b4"), "{:?}", moved.collect::<Vec<_>>());
}

/// Most objects have their upstream in the VM's own region.
#[test]
fn near_upstreams_get_most_objects() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let north = ["b0", "b1", "b2", "b3", "b4", "b5"];
    let homes = homes(&mut vm, "/reads/1");
    let near = homes.iter().filter(|name| north.contains(&&***name)).count();
    assert!(near > OBJECTS * 6 / 10, "{near} of {OBJECTS}");
    assert!(near < OBJECTS, "the other region runs nothing");
}

/// One object is asked for so often that its upstream is full. It spills to a second upstream and to
/// no third one: each more is one more place at which it must become fast.
#[test]
fn a_busy_object_spills_to_one_more_upstream_only() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let mut counts: Map<Box<str>, usize> = Map::default();
    let mut under_way = Vec::new();
    // As many as find a slot or a short wait; more are refused (tests of overload).
    for now_ms in 0..12 {
        let (attempts, name) = send(&mut vm, "/reads/1", 7, now_ms);
        *counts.entry(name).or_default() += 1;
        under_way.push(attempts);
    }
    assert_eq!(counts.len(), 2, "{counts:?}");
    assert!(counts.values().all(|count| *count >= 3), "{counts:?}");
}

/// An upstream can't be reached; after its time left out it is tried with a request, not with all.
#[test]
fn an_unreachable_upstream_is_left_out_for_a_time() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let (mut attempts, home) = send(&mut vm, "/reads/1", 7, 0);
    let key = attempts.tried_upstreams[0];
    vm.record_outcome(&mut attempts, key, AttemptOutcome::Unreachable, 10);

    let (_, soon) = send(&mut vm, "/reads/1", 7, 100);

    assert_ne!(home, soon);
}

/// An upstream has lost its power: it holds requests and answers none. New ones go elsewhere though
/// no connection has failed yet.
#[test]
fn an_upstream_that_answers_nothing_is_left() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let (_first, home) = send(&mut vm, "/reads/1", 7, 0);
    let (_second, again) = send(&mut vm, "/reads/1", 7, 50);
    assert_eq!(home, again);

    let (_, later) = send(&mut vm, "/reads/1", 7, 3_000);

    assert_ne!(home, later);
}

/// Other VMs fill the object's upstream; its report says so. The next request goes to the second.
#[test]
fn a_load_report_tells_what_other_vms_send() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let (mut attempts, home) = send(&mut vm, "/reads/1", 7, 0);
    let key = attempts.tried_upstreams[0];
    let report = Some(LoadReport { running: 3, waiting: 9, slots: 3 });
    let answer = AttemptOutcome::Answered { failed: false, report, body_bytes: 10 };
    vm.record_outcome(&mut attempts, key, answer, 200);

    let (_, next) = send(&mut vm, "/reads/1", 7, 210);

    assert_ne!(home, next);
}

/// Large answers cost more on the way than a wait: they come from the VM's own failure domain.
#[test]
fn large_answers_come_from_the_own_domain() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let (mut attempts, _) = send(&mut vm, "/packs/1", 0, 0);
    let key = attempts.tried_upstreams[0];
    let answer = AttemptOutcome::Answered { failed: false, report: None, body_bytes: 90_000 };
    vm.record_outcome(&mut attempts, key, answer, 200);

    let homes = homes(&mut vm, "/packs/1");

    let own = homes.iter().filter(|name| ["b0", "b1", "b2"].contains(&&***name)).count();
    assert!(own > OBJECTS * 8 / 10, "{own} of {OBJECTS}");
}

/// A route may run in one region only: no other gets its requests, even if nothing is left there.
#[test]
fn home_regions_bind() {
    use sedgepath_core::direct::routing::RouteKind;
    let mut vm = serving_vm("a1", "north-a", 1, 2);
    let mut route = sedgepath_test_support::direct::route(RouteKind::Idempotent);
    route.home_regions = vec!["south".into()];
    vm.apply_configuration(sedgepath_test_support::direct::configuration(2, vec![route]));
    let homes = homes(&mut vm, "/reads/1");
    assert!(homes.iter().all(|name| ["b4", "b5", "b6", "b7"].contains(&&**name)), "{homes:?}");

    let emptied: Set<Box<str>> = [Box::from("south-a"), Box::from("south-b")].into_iter().collect();
    vm.set_evacuated_domains(emptied, 0);
    let mut attempts = begin(&mut vm, "/reads/1", "x", 10);
    assert!(matches!(vm.next_step(&mut attempts, 1, 10), NextStep::Reject { .. }));
}

/// An upstream takes 100 connections of all VMs and resets those beyond. Ten VMs that each fill it
/// as far as they see would exceed that.
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
        let mut attempts = begin(&mut vm, "/reads/1", &object.to_string(), 0);
        if matches!(vm.next_step(&mut attempts, object, 0), NextStep::Send(_)) {
            under_way.push(attempts);
        }
    }
    let most = vm.upstreams().iter().map(|(_, upstream)| upstream.in_flight).max();
    assert!(most.is_some_and(|most| most <= 10), "{most:?}");
}

/// All upstreams are in the other region, 100 ms there and back, and take 150 ms for an object they
/// know. Once that has been learnt an answer is expected after 250 ms: were the way counted as work as
/// well, 350 ms would be expected, and callers refused who can be served in time.
#[test]
fn the_way_to_another_region_is_not_taken_for_work() {
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
        let mut attempts = begin(&mut vm, "/reads/1", "object", now_ms);
        let NextStep::Send(to) = vm.next_step(&mut attempts, 1, now_ms) else { panic!("not sent") };
        expected_ms = to.decision.expected_ms;
        let report = Some(LoadReport { running: 0, waiting: 0, slots: 3 });
        let answer = AttemptOutcome::Answered { failed: false, report, body_bytes: 100 };
        vm.record_outcome(&mut attempts, key, answer, now_ms + 250);
    }
    assert!((240..=260).contains(&expected_ms), "{expected_ms} ms are expected");
}

/// Requests for thirty objects, one every `pause_ms`, each answered 100 ms after it was sent if its upstream
/// remembers the object, else after 400 ms. The upstreams remember `memory` objects each. Returns at how
/// many upstreams each of the last three hundred requests' objects were, on average.
fn places_per_object(memory: usize, pause_ms: u64) -> f64 {
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
        for (_, mut attempts) in due {
            let key = *attempts.tried_upstreams.last().expect("sent");
            let running = vm.upstreams().get(key).map_or(0, |upstream| upstream.in_flight - 1);
            let report = Some(LoadReport { running, waiting: 0, slots: 3 });
            let answer = AttemptOutcome::Answered { failed: false, report, body_bytes: 100 };
            vm.record_outcome(&mut attempts, key, answer, now_ms);
        }
        let object = draws.u64(..30);
        let mut attempts = begin(&mut vm, "/reads/1", &object.to_string(), now_ms);
        let NextStep::Send(to) = vm.next_step(&mut attempts, 1, now_ms) else { continue };
        let known = memories.entry(to.name.clone()).or_default();
        let took_ms = if known.contains(&object) { KNOWN_MS } else { OTHER_MS };
        known.retain(|other| *other != object);
        known.push(object);
        let excess = known.len().saturating_sub(memory);
        known.drain(..excess);
        if number >= REQUESTS - 300 {
            places.entry(object).or_default().insert(to.name);
        }
        under_way.push((now_ms + took_ms, attempts));
    }
    places.values().map(Set::len).sum::<usize>() as f64 / places.len() as f64
}

/// Upstreams remember fewer objects than they are sent. Each request that spills to a second upstream
/// makes that one forget another object, whose next request runs long and spills in turn. Callers are
/// better served if objects stay where they are: spills become rarer, not more frequent.
#[test]
fn where_upstreams_forget_objects_stay_at_one_place() {
    let places = places_per_object(6, 28);
    assert!(places < 1.2, "each object is at {places:.2} upstreams");
}

/// No answer of an upstream arrives in time: they are lost, or it has become too slow. Nothing comes from
/// which that could be learnt. After the first requests are lost, callers of its objects are sent elsewhere.
#[test]
fn an_upstream_at_which_time_runs_out_gets_few_more_requests() {
    let mut vm = serving_vm("a1", "north-a", 1, 3);
    let (mut lost, mut others) = (0, 0);
    let (mut attempts, slow) = send(&mut vm, "/charges/1", 7, 0);
    vm.cancel_request(&mut attempts, 0);
    for round in 0..20 {
        let now_ms = 1_000 + round * 300;
        let (mut attempts, name) = send(&mut vm, "/charges/1", 7, now_ms);
        let key = attempts.tried_upstreams[0];
        if name == slow {
            lost += 1;
            vm.record_outcome(&mut attempts, key, AttemptOutcome::TimedOut, now_ms + 250);
        } else {
            others += 1;
            let answer = AttemptOutcome::Answered { failed: false, report: None, body_bytes: 100 };
            vm.record_outcome(&mut attempts, key, answer, now_ms + 250);
        }
    }
    assert!(lost <= 4, "{lost} requests are lost, {others} served");
}
