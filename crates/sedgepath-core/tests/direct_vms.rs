//! Which entry VMs look-ups name, and which of them follow the store.

use std::net::SocketAddr;

use sedgepath_core::direct::vms::{StoreHealth, VmHeartbeat, VmTable};
use sedgepath_test_support::direct::{heartbeat, vms};

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

/// A VM of `north-a` that hears four others.
fn five() -> VmTable {
    let mut own = vms("a1", "north-a", 1);
    for peer in others() {
        own.record_heartbeat(peer, 0);
    }
    own
}

fn others() -> [VmHeartbeat; 4] {
    [
        heartbeat("a2", "north-a", 2),
        heartbeat("b1", "north-b", 3),
        heartbeat("c1", "south-a", 4),
        heartbeat("c2", "south-a", 5),
    ]
}

/// Callers get the VMs of their own failure domain.
#[test]
fn the_callers_own_domain_comes_first() {
    assert_eq!(five().look_up("south-a", "south", 100), vec![address(4), address(5)]);
    assert_eq!(five().look_up("north-a", "north", 100), vec![address(1), address(2)]);
}

/// A failure domain has one VM left. Were it named alone, its end would leave its callers without
/// any until their answer lapses; the region's others are named with it.
#[test]
fn a_lone_vm_is_named_with_others_of_its_region() {
    assert_eq!(five().look_up("north-b", "north", 100), vec![address(1), address(2), address(3)]);
}

/// A VM is killed and says nothing. Callers go on being sent there until its silence shows; it must
/// not be named for longer, even if others still mention its address.
#[test]
fn a_silent_vm_is_no_longer_named() {
    let mut own = five();
    let mut living = heartbeat("c2", "south-a", 5);
    living.known = vec![SocketAddr::from(([10, 0, 0, 4], 7_000))];
    own.record_heartbeat(living, 2_000);

    let named = own.look_up("south-a", "south", 2_300);

    assert!(!named.contains(&address(4)), "a VM that has been silent for 2.3 s is named");
    assert!(named.contains(&address(5)));
}

/// A VM says that it leaves; a heartbeat that it sent before arrives later. It must not be named
/// again, or callers would be sent to a closing listener.
#[test]
fn a_delayed_heartbeat_does_not_bring_back_a_leaving_vm() {
    let mut own = five();
    let mut leaving = heartbeat("c1", "south-a", 4);
    leaving.state.leaving = true;
    own.record_heartbeat(leaving, 100);
    own.record_heartbeat(heartbeat("c1", "south-a", 4), 110);

    assert!(!own.look_up("south-a", "south", 200).contains(&address(4)));

    let mut restarted = heartbeat("c1", "south-a", 4);
    restarted.state.boot_at_ms = 2;
    own.record_heartbeat(restarted, 300);
    assert!(own.look_up("south-a", "south", 400).contains(&address(4)));
}

/// A look-up is never answered with nothing.
#[test]
fn a_vm_that_hears_nobody_names_itself() {
    let own = vms("a1", "north-a", 1);
    assert_eq!(own.look_up("south-b", "south", 0), vec![address(1)]);
}

/// With two regions two VMs of each follow the store.
#[test]
fn the_first_vms_of_a_region_follow_the_store() {
    let mut first = five();
    assert!(first.should_read_store(100));

    let mut third = vms("b1", "north-b", 3);
    let mut readers = others();
    readers[0].state.store_health = StoreHealth::Reachable { for_ms: 5_000 };
    for peer in readers {
        third.record_heartbeat(peer, 0);
    }
    third.record_heartbeat(heartbeat("a1", "north-a", 1), 0);
    assert!(!third.should_read_store(100), "a third VM of the region follows the store");
}

/// The store turns away just the VMs that follow it, and they say so. Others must step in, or nobody
/// learns that an upstream leaves.
#[test]
fn another_vm_steps_in_while_the_readers_have_no_answer() {
    let mut third = vms("b1", "north-b", 3);
    for peer in [heartbeat("a1", "north-a", 1), heartbeat("a2", "north-a", 2)] {
        third.record_heartbeat(peer, 0);
    }
    third.record_heartbeat(heartbeat("c1", "south-a", 4), 0);

    assert!(third.should_read_store(100), "the next VM waits although no reader has an answer");
}

/// The VMs that follow the store are suspended, all at the same moment, just as an upstream leaves. It
/// may get requests for 2.5 s more: another VM reads the store within a second and a half of that, which
/// leaves a second for the read, the way to the others and what is already on its way to the upstream.
#[test]
fn suspended_readers_are_replaced_within_a_second_and_a_half() {
    let mut third = vms("b1", "north-b", 3);
    for mut reader in [heartbeat("a1", "north-a", 1), heartbeat("a2", "north-a", 2)] {
        reader.state.store_health = StoreHealth::Reachable { for_ms: 5_000 };
        third.record_heartbeat(reader, 10_000);
    }
    third.record_heartbeat(heartbeat("c1", "south-a", 4), 10_000);

    assert!(!third.should_read_store(10_500), "it reads beside those that do");
    assert!(
        third.should_read_store(11_500),
        "nobody reads the store 1.5 s after its readers fell silent"
    );
}

/// A VM behind a cut hears no other of its region: it follows the store itself.
#[test]
fn a_vm_that_hears_nobody_follows_the_store() {
    let mut last = vms("z9", "north-b", 3);
    for peer in others() {
        last.record_heartbeat(peer, 0);
    }
    assert!(last.should_read_store(10_000));
}

/// Two hundred VMs would each send four hundred heartbeats a second. They send fewer and say so, so
/// that a VM that hears one only each two seconds is not taken as gone between two.
#[test]
fn heartbeats_grow_rarer_with_more_vms_and_silence_is_judged_by_them() {
    let mut own = vms("a1", "north-a", 1);
    assert_eq!(own.period_ms(), 500);
    for number in 0..200 {
        own.add_address(SocketAddr::from(([10, 1, 0, number], 7_000)), 0);
    }
    assert_eq!(own.period_ms(), 2_000);
    let mut rare = heartbeat("a2", "north-a", 2);
    rare.state.period_ms = 2_000;
    own.record_heartbeat(rare, 0);
    assert_eq!(own.look_up("north-a", "north", 5_000), vec![address(1), address(2)]);
    assert_eq!(own.look_up("north-a", "north", 5_600), vec![address(1)]);
}

/// Guards against VMs that are cut off from each other each taking the others' connections to an upstream, which resets them.
#[test]
fn vms_that_are_taken_for_gone_keep_their_part_of_what_holds_for_all() {
    let mut vm = vms("a1", "north-a", 1);
    vm.record_heartbeat(heartbeat("a2", "north-a", 2), 0);
    vm.record_heartbeat(heartbeat("b1", "north-b", 3), 0);
    assert_eq!((vm.sharing_vm_count(0), vm.max_known_vm_count()), (3, 3));
    assert_eq!(vm.serving_vms(60_000).len(), 1, "the others are not taken for gone");
    assert_eq!((vm.sharing_vm_count(60_000), vm.max_known_vm_count()), (3, 3));
}

/// Guards against connections to upstreams being kept for ever for VMs that are gone and whose rows the store still has.
#[test]
fn vms_that_never_answer_keep_no_connections_to_upstreams() {
    let mut vm = vms("a1", "north-a", 1);
    vm.record_heartbeat(heartbeat("a2", "north-a", 2), 0);
    for gone in 10..30 {
        vm.add_address(SocketAddr::from(([10, 0, 0, gone], 7_000)), 0);
    }
    assert_eq!(vm.sharing_vm_count(1_000), 22);
    assert_eq!((vm.sharing_vm_count(60_000), vm.max_known_vm_count()), (2, 22));
}

/// Guards against a VM that starts and keeps callers waiting for tables from another one, which is gone.
#[test]
fn a_vm_with_few_others_reads_the_store_while_its_callers_wait() {
    let mut vm = vms("a2", "north-a", 2);
    vm.add_vm(SocketAddr::from(([10, 0, 0, 1], 7_000)), "north-a", "north", 0);

    assert!(!vm.should_read_store_at_start(0, 1.0, 0), "it doesn't let the other one read");
    assert!(vm.should_read_store_at_start(100, 1.0, 100), "it waits for one that may be gone");
}

/// Guards against all VMs of a large domain reading the store when they start together.
#[test]
fn vms_that_start_together_let_the_first_read_the_store() {
    let mut vm = vms("a9", "north-a", 29);
    for number in 1..25 {
        let address = SocketAddr::from(([10, 0, 0, number], 7_000));
        vm.add_vm(address, "north-a", "north", 0);
    }
    assert!(!vm.should_read_store_at_start(500, 0.0, 500));
    assert!(vm.should_read_store_at_start(1_200, 1.0, 1_200), "it waits for ever");

    let mut first = vms("a0", "north-a", 0);
    first.add_vm(SocketAddr::from(([10, 0, 0, 1], 7_000)), "north-a", "north", 0);
    assert!(first.should_read_store_at_start(0, 1.0, 0), "the first waits too");
}
