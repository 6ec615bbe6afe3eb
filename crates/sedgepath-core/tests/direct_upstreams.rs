//! Upstreams that join, leave, lapse, restart and turn cold, as the store and requests tell.

use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{AttemptOutcome, NextStep};
use sedgepath_core::direct::upstreams::{EntryChange, LAPSED_GRACE_MS};
use sedgepath_core::direct::vms::StoreHealth;
use sedgepath_core::hash::Set;
use sedgepath_test_support::direct::{
    COLD_START_MS, all_kinds, begin, entry, heartbeat, serving_vm, vm,
};

/// A VM with one upstream, `b0`.
fn with_one() -> Steering {
    let mut vm = vm("a1", "north-a", 1);
    vm.apply_configuration(all_kinds(1));
    vm.upstreams_mut().upsert(entry("b0", "north-a", 0), "north", 0);
    vm
}

/// Returns the upstream that a request of an object would be sent to.
fn goes_to(vm: &mut Steering, object: &str, now_ms: u64) -> Option<Box<str>> {
    let mut attempts = begin(vm, "/reads/1", object, now_ms);
    let step = vm.next_step(&mut attempts, 1, now_ms);
    vm.cancel_request(&mut attempts, now_ms);
    match step {
        NextStep::Send(to) => Some(to.name),
        NextStep::Reject { .. } | NextStep::GiveUp { .. } => None,
    }
}

/// An upstream says that it leaves. It gets no new request from then on.
#[test]
fn a_leaving_upstream_gets_nothing_new() {
    let mut vm = with_one();
    let mut leaving = entry("b0", "north-a", 0);
    leaving.leaving = true;
    leaving.sequence = 2;

    let change = vm.upstreams_mut().upsert(leaving, "north", 100);

    assert!(matches!(change, EntryChange::Leaving(_)));
    assert_eq!(goes_to(&mut vm, "x", 100), None);
}

/// An upstream leaves; a write of its that was delayed on its way reaches the store afterwards and
/// says that it is ready. Requests sent there would be lost with it.
#[test]
fn a_delayed_entry_does_not_bring_back_a_leaving_upstream() {
    let mut vm = with_one();
    let mut leaving = entry("b0", "north-a", 0);
    leaving.leaving = true;
    leaving.sequence = 9;
    vm.upstreams_mut().upsert(leaving, "north", 100);
    let mut delayed = entry("b0", "north-a", 0);
    delayed.sequence = 8;

    vm.upstreams_mut().upsert(delayed, "north", 200);

    assert_eq!(goes_to(&mut vm, "x", 200), None);
}

/// An upstream crashes and starts again under its name: the count of its entries begins anew, and it
/// knows nothing of before. The new start is taken in and is cold.
#[test]
fn a_restart_under_the_same_name_is_a_new_upstream() {
    let mut vm = vm("a1", "north-a", 1);
    vm.apply_configuration(all_kinds(1));
    let mut first = entry("b0", "north-a", 0);
    first.sequence = 40;
    first.started_at_ms = Some(1_000);
    vm.upstreams_mut().upsert(first, "north", 0);
    let mut second = entry("b0", "north-a", 0);
    second.started_at_ms = Some(9_000);
    second.cold_remaining_ms = COLD_START_MS;

    let change = vm.upstreams_mut().upsert(second, "north", 8_000);

    let EntryChange::Joined(key) = change else {
        panic!("the new start was taken for {change:?}");
    };
    assert!(vm.upstreams().get(key).is_some_and(|upstream| upstream.is_cold(8_100)));
}

/// The store is away for all; entries lapse meanwhile though the upstreams live. All would be gone at
/// once. They are used for two more seconds, in which living ones register again.
#[test]
fn entries_that_lapse_with_the_store_away_are_used_until_they_are_due_back() {
    let mut vm = with_one();
    vm.update_store_health(StoreHealth::Reachable { for_ms: 5_000 }, 5_000);
    vm.update_store_health(StoreHealth::Failing, 9_000);
    vm.update_store_health(StoreHealth::Reachable { for_ms: 0 }, 14_000);
    vm.upstreams_mut().remove("b0", 14_010);

    assert_eq!(goes_to(&mut vm, "x", 14_100).as_deref(), Some("b0"));
    let gone = vm.upstreams_mut().remove_lapsed(14_000 + LAPSED_GRACE_MS);
    assert_eq!(gone, vec!["b0".into()]);
    assert_eq!(goes_to(&mut vm, "x", 16_100), None);
}

/// This VM alone was cut off, and an upstream left meanwhile. Another VM says that the store has
/// answered it all the time: the entry has not lapsed, its upstream is gone.
#[test]
fn an_entry_removed_while_others_had_the_store_is_gone_at_once() {
    let mut vm = with_one();
    vm.update_store_health(StoreHealth::Reachable { for_ms: 5_000 }, 5_000);
    vm.update_store_health(StoreHealth::Failing, 9_000);
    vm.update_store_health(StoreHealth::Reachable { for_ms: 0 }, 14_000);
    vm.upstreams_mut().remove("b0", 14_010);
    let mut peer = heartbeat("a2", "north-a", 2);
    peer.state.store_health = StoreHealth::Reachable { for_ms: 14_000 };
    vm.vms_mut().record_heartbeat(peer, 14_100);

    vm.update_store_health(StoreHealth::Reachable { for_ms: 100 }, 14_100);

    assert_eq!(vm.upstreams_mut().remove_lapsed(14_100), vec!["b0".into()]);
}

/// All VMs that follow the store are suspended at once, and an upstream leaves meanwhile. Others notice
/// their silence, read for themselves and find the entry removed. The store was there all the time, only
/// nobody asked it: callers must not be sent to the upstream for two more seconds.
#[test]
fn an_entry_removed_while_nobody_read_the_store_is_gone_at_once() {
    let mut vm = with_one();
    let mut reader = heartbeat("a0", "north-a", 2);
    reader.state.store_health = StoreHealth::Reachable { for_ms: 5_000 };
    vm.vms_mut().record_heartbeat(reader, 5_000);
    vm.update_store_health(StoreHealth::Unknown, 5_100);

    vm.update_store_health(StoreHealth::Unknown, 7_300);
    vm.update_store_health(StoreHealth::Reachable { for_ms: 0 }, 7_400);
    vm.upstreams_mut().remove("b0", 7_400);

    assert_eq!(goes_to(&mut vm, "x", 7_410), None);
}

/// The VMs that follow the store say that it fails them, and this one makes no calls itself. What they
/// read first when it is back has lapsed rather than left, here as well as there.
#[test]
fn an_outage_that_others_tell_of_is_an_outage() {
    let mut vm = with_one();
    let mut reader = heartbeat("a0", "north-a", 2);
    reader.state.store_health = StoreHealth::Reachable { for_ms: 5_000 };
    vm.vms_mut().record_heartbeat(reader.clone(), 5_000);
    vm.update_store_health(StoreHealth::Unknown, 5_100);
    reader.state.store_health = StoreHealth::Failing;
    vm.vms_mut().record_heartbeat(reader.clone(), 6_000);
    vm.update_store_health(StoreHealth::Unknown, 6_100);

    reader.state.store_health = StoreHealth::Reachable { for_ms: 0 };
    vm.vms_mut().record_heartbeat(reader, 9_000);
    vm.upstreams_mut().remove("b0", 9_010);

    assert_eq!(goes_to(&mut vm, "x", 9_020).as_deref(), Some("b0"));
}

/// With the store there, a removed entry is a gone upstream.
#[test]
fn a_removed_upstream_gets_nothing_new() {
    let mut vm = with_one();
    vm.update_store_health(StoreHealth::Reachable { for_ms: 60_000 }, 60_000);
    vm.upstreams_mut().remove("b0", 60_100);
    assert_eq!(goes_to(&mut vm, "x", 60_100), None);
}

/// The address of a gone upstream answers for another one. It is never asked again.
#[test]
fn an_address_that_another_upstream_has_taken_is_left() {
    let mut vm = with_one();
    let mut attempts = begin(&mut vm, "/charges/1", "x", 0);
    let NextStep::Send(to) = vm.next_step(&mut attempts, 1, 0) else { panic!("not sent") };

    vm.record_outcome(&mut attempts, to.upstream, AttemptOutcome::Misdirected, 10);

    assert_eq!(attempts.possible_runs, 0, "a misdirected request counts as run");
    assert_eq!(goes_to(&mut vm, "x", 20), None);
}

/// A failure domain is being emptied: its upstreams get nothing. Afterwards they are cold, so they
/// are spared at first.
#[test]
fn an_evacuated_domain_gets_nothing_and_is_cold_afterwards() {
    let mut vm = serving_vm("a1", "north-a", 1, 2);
    let emptied: Set<Box<str>> = [Box::from("north-a")].into_iter().collect();
    vm.set_evacuated_domains(emptied, 0);
    let in_domain = |name: Option<Box<str>>| matches!(name.as_deref(), Some("b0" | "b1"));
    for object in 0..50 {
        assert!(!in_domain(goes_to(&mut vm, &object.to_string(), 100)), "object {object}");
    }

    vm.set_evacuated_domains(Set::default(), 1_000);

    for object in 0..50 {
        assert!(!in_domain(goes_to(&mut vm, &object.to_string(), 1_100)), "object {object}");
    }
    let later_ms = 1_000 + COLD_START_MS;
    let again = (0..50).filter(|object| in_domain(goes_to(&mut vm, &object.to_string(), later_ms)));
    assert!(again.count() > 0, "the domain is never used again");
}

/// Connections to an upstream fail, then it answers again: it may have restarted without this VM
/// having read so, and a cold upstream crashes under the usual rate.
#[test]
fn an_upstream_that_comes_back_is_taken_as_cold() {
    let mut vm = with_one();
    let mut attempts = begin(&mut vm, "/reads/1", "x", 0);
    let NextStep::Send(to) = vm.next_step(&mut attempts, 1, 0) else { panic!("not sent") };
    vm.record_outcome(&mut attempts, to.upstream, AttemptOutcome::Unreachable, 10);
    let mut attempts = begin(&mut vm, "/reads/1", "x", 2_000);
    let NextStep::Send(to) = vm.next_step(&mut attempts, 1, 2_000) else { panic!("not sent") };
    let answer = AttemptOutcome::Answered { failed: false, report: None, body_bytes: 1 };
    vm.record_outcome(&mut attempts, to.upstream, answer, 2_100);

    assert!(vm.upstreams().get(to.upstream).is_some_and(|upstream| upstream.is_cold(2_200)));
}
