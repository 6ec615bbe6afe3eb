//! Membership of VMs in several failure domains and regions.

use std::collections::BTreeSet;

use sedgepath_test_support::vm_network::VmNetwork;

/// The time within which all VMs must know of a change of the running VMs, in milliseconds.
const STABILITY_MS: u64 = 4_000;

/// The most control traffic that a VM may send, in bytes per second.
const CONTROL_BYTES_PER_S: u64 = 11_000;

/// Returns whether each running VM knows exactly the running VMs.
fn all_agree(net: &VmNetwork) -> bool {
    let live = net.running_vms();
    live.iter().all(|vm| net.serving(*vm) == live)
}

/// Guards against serving VMs that look-ups never name.
#[test]
fn vms_that_start_together_know_each_other() {
    let net = VmNetwork::running(9, 8, 1);
    assert!(all_agree(&net));
}

/// Guards against other failure domains naming a dead VM.
#[test]
fn all_vms_drop_a_silent_vm_in_time() {
    for seed in 1..=5 {
        let mut net = VmNetwork::running(9, 6, seed);
        net.kill(&[7, 20, 33]);
        let took_ms = net.run_until(10_000, all_agree).expect("a VM still names silent VMs");
        assert!(took_ms <= STABILITY_MS, "seed {seed}: {took_ms} ms");
    }
}

/// Guards against naming VMs of a failure domain that lost its power.
#[test]
fn all_vms_drop_a_domain_without_power_in_time() {
    for seed in 1..=5 {
        let mut net = VmNetwork::running(9, 6, seed);
        net.kill(&net.vms_in_domain(4));
        let took_ms = net.run_until(10_000, all_agree).expect("a VM still names silent VMs");
        assert!(took_ms <= STABILITY_MS, "seed {seed}: {took_ms} ms");
    }
}

/// Guards against a cut-off VM's summary removing the other VMs of its domain.
#[test]
fn a_cut_off_vm_does_not_remove_the_others_of_its_domain() {
    let mut net = VmNetwork::running(6, 6, 3);
    let all: Vec<_> = (0..net.count()).collect();
    net.cut_one_way(&all, &[0]);
    for _ in 0..100 {
        net.run_for(100);
        let others = net.running_vms().into_iter().filter(|vm| *vm != 0);
        for vm in others {
            assert!(net.serving(vm).is_superset(&(1..36).collect()), "{vm} at {}", net.now_ms());
        }
    }
}

/// Guards against removing VMs because datagrams are lost.
#[test]
fn lost_datagrams_remove_no_vm() {
    let mut net = VmNetwork::running(6, 6, 4);
    net.loss_rate = 0.1;
    let live = net.running_vms();
    let mut missing = 0;
    for _ in 0..200 {
        net.run_for(100);
        missing += live.iter().map(|vm| live.difference(&net.serving(*vm)).count()).sum::<usize>();
    }
    // The loss of four heartbeats in a row removes a VM until the next one.
    let views = 200 * live.len() * live.len();
    assert!(missing * 1_000 < views, "{missing} of {views} views lack a VM that serves");
}

/// Guards against regions that stay apart after a partition that outlasts the memory of silent VMs.
#[test]
fn regions_find_each_other_after_a_long_partition() {
    let mut net = VmNetwork::running(6, 4, 5);
    net.cut(&net.vms_in_region(0), &net.vms_in_region(1));
    net.run_for(60_000);
    assert_eq!(net.serving(0), net.vms_in_region(0).into_iter().collect::<BTreeSet<_>>());
    net.heal_all();
    assert!(net.run_until(5_000, all_agree).is_some(), "they don't know each other again");
}

/// Guards against halves of a failure domain that stay apart after a long partition.
#[test]
fn halves_of_a_domain_find_each_other_after_a_long_partition() {
    let mut net = VmNetwork::running(3, 6, 6);
    net.cut(&[0, 1, 2], &[3, 4, 5]);
    net.run_for(60_000);
    net.heal_all();
    assert!(net.run_until(5_000, all_agree).is_some(), "they don't know each other again");
}

/// Guards against relaying a domain's summary to a third domain, which could keep dead VMs named.
#[test]
fn summaries_are_not_relayed_to_a_third_domain() {
    let mut net = VmNetwork::running(3, 4, 7);
    net.cut(&net.vms_in_domain(0), &net.vms_in_domain(1));
    net.run_for(STABILITY_MS);
    assert!(net.serving(0).is_disjoint(&net.vms_in_domain(1).into_iter().collect()));
    assert_eq!(net.serving(8), net.running_vms());
}

/// Guards against a long time until look-ups name an added VM.
#[test]
fn a_vm_that_joins_is_known_to_all_in_time() {
    let mut net = VmNetwork::new(6, 4, 15);
    let all: Vec<_> = (0..net.count()).collect();
    for vm in &all[1..] {
        net.start(*vm, &all[1..]);
    }
    net.run_for(5_000);
    net.start(0, &all);
    let took_ms = net.run_until(10_000, all_agree).expect("the VM stays unknown");
    assert!(took_ms <= STABILITY_MS, "{took_ms} ms");
}

/// Guards against a VM that starts without the store and stays unknown.
#[test]
fn a_vm_that_starts_without_the_store_is_known_to_all() {
    let mut net = VmNetwork::running(6, 4, 8);
    net.kill(&[2]);
    net.run_for(5_000);
    net.start_with_seeds(2, &[9, 14, 20]);
    let took_ms = net.run_until(10_000, all_agree).expect("the VM stays unknown");
    assert!(took_ms <= STABILITY_MS, "{took_ms} ms");
}

/// Guards against ignoring a VM that restarts after its clock was set back.
#[test]
fn a_vm_whose_clock_was_set_back_is_known_again() {
    let mut net = VmNetwork::running(3, 4, 9);
    net.kill(&[2]);
    net.run_for(300);
    net.start_with_clock_set_back(2, &[1, 5]);
    assert!(net.run_until(10_000, all_agree).is_some(), "the restarted VM is ignored");
}

/// Guards against removing a domain's other VMs when all senders of its summaries fail at once.
#[test]
fn the_failure_of_half_a_domain_removes_no_other_vm() {
    let mut net = VmNetwork::running(4, 8, 10);
    net.kill(&[0, 1, 2, 3]);
    let rest: BTreeSet<_> = (4..32).collect();
    for _ in 0..60 {
        net.run_for(100);
        for vm in &rest {
            assert!(net.serving(*vm).is_superset(&rest), "{vm} at {} ms", net.now_ms());
        }
    }
    assert!(all_agree(&net));
}

/// Guards against a resumed VM that stays unknown for a long time.
#[test]
fn suspended_vms_are_known_again() {
    let mut net = VmNetwork::running(4, 5, 11);
    net.suspend(&[0, 1, 7, 12], 8_000);
    net.run_for(5_000);
    assert!(!net.serving(3).contains(&0));
    net.run_for(3_000);
    let took_ms = net.run_until(5_000, all_agree).expect("a resumed VM stays unknown");
    assert!(took_ms <= 2_000, "{took_ms} ms");
}

/// Guards against control traffic that grows with the square of the number of VMs.
#[test]
fn traffic_between_domains_grows_slower_than_their_vms() {
    let bytes = |per_domain| {
        let mut net = VmNetwork::running(9, per_domain, 12);
        let before = net.sent_bytes;
        net.run_for(10_000);
        (net.sent_bytes.in_region + net.sent_bytes.between_regions
            - before.in_region
            - before.between_regions)
            / 10
    };
    let (few, many) = (bytes(4), bytes(32));
    // The size of summaries grows with the number of VMs, their rate doesn't.
    assert!(many < few * 4, "{few} bytes per second with 36 VMs, {many} with 288");
}

/// Guards against one VM sending most of its domain's control traffic.
#[test]
fn no_vm_exceeds_the_limit_on_control_traffic() {
    let mut net = VmNetwork::running(9, 22, 13);
    let before = net.sent_bytes_by_vm.clone();
    net.run_for(10_000);
    let bytes_per_s =
        net.sent_bytes_by_vm.iter().zip(before).map(|(after, before)| (after - before) / 10);
    let max_bytes_per_s = bytes_per_s.max().expect("there is at least one VM");
    assert!(max_bytes_per_s <= CONTROL_BYTES_PER_S, "{max_bytes_per_s} bytes per second");
}

/// Guards against VMs that circulate the addresses of removed VMs and try them forever.
#[test]
fn vms_that_never_respond_are_removed_by_all() {
    let mut net = VmNetwork::new(3, 4, 14);
    let all: Vec<_> = (0..net.count()).collect();
    let live: Vec<_> = all.iter().copied().filter(|vm| ![3, 7].contains(vm)).collect();
    for vm in &live {
        net.start(*vm, &all);
        net.run_for(4_000);
    }
    net.run_for(90_000);

    let now_ms = net.now_ms();
    let table = net.table(0).expect("the VM is running");
    assert_eq!(
        table.domain_addresses().len(),
        2,
        "a VM of the domain that never ran is still tried"
    );
    assert_eq!(table.sharing_vm_count(now_ms), live.len());
}
