//! The entry VMs that look-ups return, and those that read the store.

use std::net::SocketAddr;

use sedgepath_core::direct::vms::{StoreHealth, VmHeartbeat, VmTable};
use sedgepath_test_support::direct::{DOMAINS, heartbeat, vm_table};

/// Returns the address of a VM for callers' requests.
fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

/// Returns a VM of `north-a` that hears four others.
fn vm_hearing_four_others() -> VmTable {
    let mut vm = vm_table("a1", "north-a", 1);
    for heartbeat in heartbeats_of_others() {
        vm.record_heartbeat(heartbeat, 0);
    }
    vm
}

fn heartbeats_of_others() -> [VmHeartbeat; 4] {
    [
        heartbeat("a2", "north-a", 2),
        heartbeat("b1", "north-b", 3),
        heartbeat("c1", "south-a", 4),
        heartbeat("c2", "south-a", 5),
    ]
}

/// Guards against naming VMs of other failure domains without need.
#[test]
fn the_callers_own_domain_comes_first() {
    assert_eq!(
        vm_hearing_four_others().look_up("south-a", "south", 100),
        vec![address(4), address(5)]
    );
    assert_eq!(
        vm_hearing_four_others().look_up("north-a", "north", 100),
        vec![address(1), address(2)]
    );
}

/// Guards against naming a single VM, whose failure would cut off its callers.
#[test]
fn the_only_vm_of_a_domain_is_named_with_others_of_its_region() {
    assert_eq!(
        vm_hearing_four_others().look_up("north-b", "north", 100),
        vec![address(1), address(2), address(3)]
    );
}

/// Guards against naming a silent VM because other VMs still list its address.
#[test]
fn a_silent_vm_is_no_longer_named() {
    let mut vm = vm_hearing_four_others();
    let mut later = heartbeat("c2", "south-a", 5);
    later.known_addresses = vec![SocketAddr::from(([10, 0, 0, 4], 7_000))];
    vm.record_heartbeat(later, 2_000);

    let named = vm.look_up("south-a", "south", 2_300);

    assert!(!named.contains(&address(4)), "a VM that has been silent for 2.3 s is named");
    assert!(named.contains(&address(5)));
}

/// Guards against a delayed heartbeat restoring a leaving VM, and against ignoring its restart.
#[test]
fn a_delayed_heartbeat_does_not_restore_a_leaving_vm() {
    let mut vm = vm_hearing_four_others();
    let mut leaving = heartbeat("c1", "south-a", 4);
    leaving.state.leaving = true;
    vm.record_heartbeat(leaving, 100);
    vm.record_heartbeat(heartbeat("c1", "south-a", 4), 110);

    assert!(!vm.look_up("south-a", "south", 200).contains(&address(4)));

    let mut restarted = heartbeat("c1", "south-a", 4);
    restarted.state.boot_at_ms = 2;
    vm.record_heartbeat(restarted, 300);
    assert!(vm.look_up("south-a", "south", 400).contains(&address(4)));
}

/// Guards against a look-up without a result.
#[test]
fn a_vm_that_hears_no_other_names_itself() {
    let vm = vm_table("a1", "north-a", 1);
    assert_eq!(vm.look_up("south-b", "south", 0), vec![address(1)]);
}

/// Guards against too few or too many readers of the store in a region.
#[test]
fn the_first_vms_of_a_region_read_the_store() {
    let mut first = vm_hearing_four_others();
    assert!(first.should_read_store(100));

    let mut third = vm_table("b1", "north-b", 3);
    let mut heartbeats = heartbeats_of_others();
    heartbeats[0].state.store_health = StoreHealth::Reachable { for_ms: 5_000 };
    for heartbeat in heartbeats {
        third.record_heartbeat(heartbeat, 0);
    }
    third.record_heartbeat(heartbeat("a1", "north-a", 1), 0);
    assert!(!third.should_read_store(100), "a third VM of the region reads the store");
}

/// Guards against no VM reading the store when it fails its regular readers.
#[test]
fn another_vm_takes_over_while_the_store_fails_the_readers() {
    let mut third = vm_table("b1", "north-b", 3);
    for heartbeat in [heartbeat("a1", "north-a", 1), heartbeat("a2", "north-a", 2)] {
        third.record_heartbeat(heartbeat, 0);
    }
    third.record_heartbeat(heartbeat("c1", "south-a", 4), 0);

    assert!(third.should_read_store(100), "the next VM waits although the store fails all readers");
}

/// Guards against changes that stay unknown for too long when all readers of the store are suspended.
#[test]
fn suspended_readers_are_replaced_within_a_second_and_a_half() {
    let mut third = vm_table("b1", "north-b", 3);
    for mut reader in [heartbeat("a1", "north-a", 1), heartbeat("a2", "north-a", 2)] {
        reader.state.store_health = StoreHealth::Reachable { for_ms: 5_000 };
        third.record_heartbeat(reader, 10_000);
    }
    third.record_heartbeat(heartbeat("c1", "south-a", 4), 10_000);

    assert!(!third.should_read_store(10_500), "a third VM reads the store beside its readers");
    assert!(
        third.should_read_store(11_500),
        "no VM reads the store 1.5 s after its readers fell silent"
    );
}

/// Guards against a partitioned VM that relies on readers it can't hear.
#[test]
fn a_vm_that_hears_no_other_of_its_region_reads_the_store() {
    let mut last = vm_table("z9", "north-b", 3);
    for heartbeat in heartbeats_of_others() {
        last.record_heartbeat(heartbeat, 0);
    }
    assert!(last.should_read_store(10_000));
}

/// Guards against too many heartbeats between many VMs, and against VMs with a longer period counting
/// as silent.
#[test]
fn the_heartbeat_period_grows_with_the_vms_and_scales_the_silence_limit() {
    let mut vm = vm_table("a1", "north-a", 1);
    assert_eq!(vm.period_ms(), 500);
    for number in 0..200 {
        vm.add_address(SocketAddr::from(([10, 1, 0, number], 7_000)), 0);
    }
    assert_eq!(vm.period_ms(), 2_000);
    let mut heartbeat = heartbeat("a2", "north-a", 2);
    heartbeat.state.period_ms = 2_000;
    vm.record_heartbeat(heartbeat, 0);
    assert_eq!(vm.look_up("north-a", "north", 4_800), vec![address(1), address(2)]);
    assert_eq!(vm.look_up("north-a", "north", 5_000), vec![address(1)]);
}

/// Guards against partitioned VMs that each use the others' connections to an upstream.
#[test]
fn silent_vms_keep_their_share_of_the_limits_for_all_vms() {
    let mut vm = vm_table("a1", "north-a", 1);
    vm.record_heartbeat(heartbeat("a2", "north-a", 2), 0);
    vm.record_heartbeat(heartbeat("b1", "north-b", 3), 0);
    assert_eq!((vm.sharing_vm_count(0), vm.max_known_vm_count(0)), (3, 3));
    assert_eq!(vm.serving_vms(60_000).len(), 1, "the silent VMs are still named");
    assert_eq!((vm.sharing_vm_count(60_000), vm.max_known_vm_count(60_000)), (3, 3));
}

/// Guards against reserving connections forever for VMs that no longer exist but are still in the store.
#[test]
fn vms_that_were_never_heard_keep_no_connections_to_upstreams() {
    let mut vm = vm_table("a1", "north-a", 1);
    vm.record_heartbeat(heartbeat("a2", "north-a", 2), 0);
    for number in 10..30 {
        vm.add_address(SocketAddr::from(([10, 0, 0, number], 7_000)), 0);
    }
    assert_eq!(vm.sharing_vm_count(1_000), 22);
    assert_eq!((vm.sharing_vm_count(60_000), vm.max_known_vm_count(60_000)), (2, 22));
}

/// Guards against a starting VM that uses far more than its share of the limits for all VMs, as it has read
/// the rows of its own failure domain only.
#[test]
fn a_starting_vm_assumes_vms_in_domains_that_it_has_not_heard() {
    let regions = DOMAINS.map(|(domain, region)| (domain.into(), region.into()));
    let regions = regions.into_iter().collect();
    let mut vm = vm_table("a1", "north-a", 1).with_failure_domains(&regions, 0);
    vm.add_vm(SocketAddr::from(([10, 0, 0, 2], 7_000)), "north-a", "north", 0);
    assert_eq!((vm.sharing_vm_count(0), vm.max_known_vm_count(0)), (8, 8));
    assert_eq!(vm.known_in_region("south", 0), 4);

    vm.record_heartbeat(heartbeat("b1", "north-b", 3), 100);
    assert_eq!((vm.sharing_vm_count(100), vm.max_known_vm_count(100)), (7, 7));
    let much_later_ms = 100_000;
    assert_eq!(vm.max_known_vm_count(much_later_ms), 3, "VMs are assumed in domains without any");
}
