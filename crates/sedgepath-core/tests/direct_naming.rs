//! Which VMs of a failure domain look-ups name.

use std::net::SocketAddr;

use sedgepath_core::direct::vms::naming::{LoadMeter, NamingCandidate, VmResources, choose_named};

const LARGE: VmResources = VmResources { cores: 0.5, link_mbps: 200.0 };
const SMALL: VmResources = VmResources { cores: 0.1, link_mbps: 10.0 };

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 80))
}

fn candidates(resources: &[VmResources], load_percent: u8) -> Vec<NamingCandidate> {
    let numbered = resources.iter().enumerate();
    let candidates = numbered.map(|(number, resources)| NamingCandidate {
        address: address(number),
        capacity_per_s: resources.capacity_per_s(),
        load_percent,
    });
    candidates.collect()
}

fn small_and_large() -> Vec<VmResources> {
    let mut resources = vec![SMALL; 13];
    resources.insert(4, LARGE);
    resources.insert(9, LARGE);
    resources
}

/// Guards against requests that wait behind large responses on the links of small VMs.
#[test]
fn the_largest_vms_are_named_while_they_carry_the_load() {
    assert_eq!(choose_named(candidates(&small_and_large(), 0)), [address(4), address(9)]);
}

/// Guards against named VMs that are overloaded while others are idle.
#[test]
fn more_vms_are_named_under_load() {
    let mut candidates = candidates(&[LARGE; 6], 0);
    let mut named = choose_named(candidates.clone()).len();
    assert_eq!(named, 2);
    for load_percent in [30, 60, 90] {
        for vm in candidates.iter_mut().take(2) {
            vm.load_percent = load_percent;
        }
        let more = choose_named(candidates.clone()).len();
        assert!(more > named, "{more} at {load_percent}%, {named} before");
        named = more;
    }
    assert_eq!(named, 6, "an overloaded domain names all of its VMs");
}

/// Guards against small VMs that are named beside large ones and get as many requests.
#[test]
fn small_vms_are_named_only_where_they_carry_their_part() {
    let mut candidates = candidates(&small_and_large(), 0);
    for vm in &mut candidates {
        let is_large = vm.capacity_per_s == LARGE.capacity_per_s();
        vm.load_percent = if is_large { 40 } else { 0 };
    }
    assert_eq!(choose_named(candidates.clone()), [address(4), address(9)]);
    candidates.retain(|vm| vm.address != address(4));
    assert_eq!(choose_named(candidates).len(), 14, "one large VM can't be named alone");
}

/// Guards against a burst, or the loss of one VM, that the named VMs can't carry.
#[test]
fn alike_vms_are_named_with_room_to_spare() {
    assert_eq!(choose_named(candidates(&[SMALL; 2], 0)).len(), 2);
    assert_eq!(choose_named(candidates(&[SMALL; 13], 0)).len(), 4);
    assert_eq!(choose_named(candidates(&[SMALL; 13], 20)).len(), 11);
    assert_eq!(choose_named(candidates(&[SMALL; 1], 0)).len(), 1);
    assert_eq!(choose_named(Vec::new()), []);
}

/// Guards against a load that hides a narrow link, or changes the named VMs every second.
#[test]
fn load_is_the_recent_peak_of_the_scarcest_resource() {
    let mut meter = LoadMeter::new(SMALL);
    for now_ms in (0..5_000).step_by(100) {
        meter.record_request(now_ms);
        meter.record_body(90_000, now_ms);
    }
    let loaded = meter.percent(5_000);
    assert!((60..=85).contains(&loaded), "{loaded}%");
    assert!(meter.percent(7_000) > loaded / 2, "forgotten after 2 s");
    assert!(meter.percent(60_000) <= 1, "remembered after a minute");
}
