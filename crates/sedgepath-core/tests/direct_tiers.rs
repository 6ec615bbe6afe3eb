//! How VMs of many failure domains come to know which of them serve.

use std::collections::BTreeSet;

use sedgepath_test_support::vm_net::VmNet;

/// The time within which operators expect a silent VM to be unknown everywhere, in milliseconds.
const STABILITY_MS: u64 = 4_000;

/// The control traffic that a VM may send, in bytes a second, as the users' first letter has it.
const CONTROL_BYTES_PER_S: u64 = 11_000;

fn agree(net: &VmNet) -> bool {
    let live = net.live();
    live.iter().all(|vm| net.serving(*vm) == live)
}

/// Guards against VMs that serve and that callers are never sent to.
#[test]
fn vms_that_start_together_know_each_other() {
    let net = VmNet::running(9, 8, 1);
    assert!(agree(&net));
}

/// Guards against callers being sent to a dead VM by another failure domain.
#[test]
fn a_silent_vm_is_unknown_everywhere_in_time() {
    for seed in 1..=5 {
        let mut net = VmNet::running(9, 6, seed);
        net.kill(&[7, 20, 33]);
        let took_ms = net.run_until(10_000, agree).expect("all notice");
        assert!(took_ms <= STABILITY_MS, "seed {seed}: {took_ms} ms");
    }
}

/// Guards against callers being sent to a failure domain that has lost its power.
#[test]
fn a_domain_without_power_is_unknown_everywhere_in_time() {
    for seed in 1..=5 {
        let mut net = VmNet::running(9, 6, seed);
        net.kill(&net.of_domain(4));
        let took_ms = net.run_until(10_000, agree).expect("all notice");
        assert!(took_ms <= STABILITY_MS, "seed {seed}: {took_ms} ms");
    }
}

/// Guards against a VM that hears nobody, and says so, taking its whole domain away from callers.
#[test]
fn a_vm_that_hears_nobody_takes_nobody_away() {
    let mut net = VmNet::running(6, 6, 3);
    let all: Vec<_> = (0..net.count()).collect();
    net.cut_one_way(&all, &[0]);
    for _ in 0..100 {
        net.run_for(100);
        let others = net.live().into_iter().filter(|vm| *vm != 0);
        for vm in others {
            assert!(net.serving(vm).is_superset(&(1..36).collect()), "{vm} at {}", net.now_ms());
        }
    }
}

/// Guards against a VM being taken for gone because datagrams are lost.
#[test]
fn lost_datagrams_take_nobody_away() {
    let mut net = VmNet::running(6, 6, 4);
    net.loss = 0.1;
    let live = net.live();
    let mut missing = 0;
    for _ in 0..200 {
        net.run_for(100);
        missing += live.iter().map(|vm| live.difference(&net.serving(*vm)).count()).sum::<usize>();
    }
    // Four in a row of one VM's heartbeats to another, one in 10,000, take it away for a moment.
    let views = 200 * live.len() * live.len();
    assert!(missing * 1_000 < views, "{missing} of {views} views lack a VM that serves");
}

/// Guards against regions that were cut off from each other for longer than any VM remembers another, and that
/// then never find each other again.
#[test]
fn regions_find_each_other_again_after_a_long_cut() {
    let mut net = VmNet::running(6, 4, 5);
    net.cut(&net.of_region(0), &net.of_region(1));
    net.run_for(60_000);
    assert_eq!(net.serving(0), net.of_region(0).into_iter().collect::<BTreeSet<_>>());
    net.mend();
    assert!(net.run_until(5_000, agree).is_some(), "they don't know each other again");
}

/// Guards against halves of a failure domain that were cut off from each other for long staying apart.
#[test]
fn halves_of_a_domain_find_each_other_again_after_a_long_cut() {
    let mut net = VmNet::running(3, 6, 6);
    net.cut(&[0, 1, 2], &[3, 4, 5]);
    net.run_for(60_000);
    net.mend();
    assert!(net.run_until(5_000, agree).is_some(), "they don't know each other again");
}

/// Guards against domains that hear each other only through a third vouching for each other's dead.
#[test]
fn what_a_domain_says_is_not_passed_on_to_a_third() {
    let mut net = VmNet::running(3, 4, 7);
    net.cut(&net.of_domain(0), &net.of_domain(1));
    net.run_for(STABILITY_MS);
    assert!(net.serving(0).is_disjoint(&net.of_domain(1).into_iter().collect()));
    assert_eq!(net.serving(8), net.live());
}

/// Guards against a VM that is added and that callers are not sent to for long.
#[test]
fn a_vm_that_joins_is_known_to_all_in_time() {
    let mut net = VmNet::new(6, 4, 15);
    let all: Vec<_> = (0..net.count()).collect();
    for vm in &all[1..] {
        net.start(*vm, &all[1..]);
    }
    net.run_for(5_000);
    net.start(0, &all);
    let took_ms = net.run_until(10_000, agree).expect("it is known");
    assert!(took_ms <= STABILITY_MS, "{took_ms} ms");
}

/// Guards against a VM that can't reach the store when it starts staying alone.
#[test]
fn a_vm_that_starts_without_the_store_is_known_to_all() {
    let mut net = VmNet::running(6, 4, 8);
    net.kill(&[2]);
    net.run_for(5_000);
    net.start_with_seeds(2, &[9, 14, 20]);
    let took_ms = net.run_until(10_000, agree).expect("it is known");
    assert!(took_ms <= STABILITY_MS, "{took_ms} ms");
}

/// Guards against a VM that starts again after its clock was set back being ignored for good.
#[test]
fn a_vm_whose_clock_was_set_back_is_known_again() {
    let mut net = VmNet::running(3, 4, 9);
    net.kill(&[2]);
    net.run_for(300);
    net.start_with_clock_set_back(2, &[1, 5]);
    assert!(net.run_until(10_000, agree).is_some(), "it is ignored");
}

/// Guards against all speakers of a domain dying at once taking the others of the domain away.
#[test]
fn the_death_of_half_a_domain_takes_nobody_else_away() {
    let mut net = VmNet::running(4, 8, 10);
    net.kill(&[0, 1, 2, 3]);
    let rest: BTreeSet<_> = (4..32).collect();
    for _ in 0..60 {
        net.run_for(100);
        for vm in &rest {
            assert!(net.serving(*vm).is_superset(&rest), "{vm} at {} ms", net.now_ms());
        }
    }
    assert!(agree(&net));
}

/// Guards against a VM that was suspended being taken for gone for long after it goes on.
#[test]
fn suspended_vms_are_known_again() {
    let mut net = VmNet::running(4, 5, 11);
    net.suspend(&[0, 1, 7, 12], 8_000);
    net.run_for(5_000);
    assert!(!net.serving(3).contains(&0));
    net.run_for(3_000);
    let took_ms = net.run_until(5_000, agree).expect("they are known");
    assert!(took_ms <= 2_000, "{took_ms} ms");
}

/// Guards against control traffic that grows with the square of the VMs.
#[test]
fn what_crosses_domains_does_not_grow_with_their_vms() {
    let bytes = |per_domain| {
        let mut net = VmNet::running(9, per_domain, 12);
        let before = net.sent;
        net.run_for(10_000);
        (net.sent.in_region + net.sent.far - before.in_region - before.far) / 10
    };
    let (few, many) = (bytes(4), bytes(32));
    // What is said of each VM grows with their number, not how often it is said.
    assert!(many < few * 4, "{few} bytes a second with 36 VMs, {many} with 288");
}

/// Guards against one VM carrying the control traffic of its domain.
#[test]
fn no_vm_sends_more_control_traffic_than_it_may() {
    let mut net = VmNet::running(9, 22, 13);
    let before = net.sent_by.clone();
    net.run_for(10_000);
    let per_s = net.sent_by.iter().zip(before).map(|(after, before)| (after - before) / 10);
    let busiest = per_s.max().expect("there are VMs");
    assert!(busiest <= CONTROL_BYTES_PER_S, "{busiest} bytes a second");
}

/// Guards against VMs that are gone for good being tried for ever, because each tells the others of them.
#[test]
fn vms_that_never_answer_are_forgotten_by_all() {
    let mut net = VmNet::new(3, 4, 14);
    let all: Vec<_> = (0..net.count()).collect();
    let live: Vec<_> = all.iter().copied().filter(|vm| ![3, 7].contains(vm)).collect();
    for vm in &live {
        net.start(*vm, &all);
        net.run_for(4_000);
    }
    net.run_for(90_000);

    let now_ms = net.now_ms();
    let table = net.table(0).expect("it runs");
    assert_eq!(
        table.domain_addresses().len(),
        2,
        "a VM of its domain that never ran is still tried"
    );
    assert_eq!(table.sharing_vm_count(now_ms), live.len());
}
