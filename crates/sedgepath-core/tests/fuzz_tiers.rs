//! Fuzz test of VM membership under random faults.
//!
//! Some seconds after the last fault, each running VM knows exactly the running VMs. At no time does a
//! VM name one that has been dead for long.
//!
//! CI runs a fixed seed; the environment variables `FUZZ_CASES` and `FUZZ_SEED` set longer runs.

mod fuzz_support;

use std::collections::BTreeSet;

use fuzz_support::config;
use proptest::prelude::*;
use sedgepath_test_support::vm_network::VmNetwork;

/// The time after the last fault within which all VMs must agree, in milliseconds: the limit on
/// silence plus the relay of a summary.
const CONVERGENCE_MS: u64 = 4_000;

/// The longest time for which a dead VM may be named during faults, in milliseconds.
const MAX_NAMED_DEAD_MS: u64 = 7_000;

const DOMAINS: usize = 6;
const VMS_PER_DOMAIN: usize = 4;
const VMS: usize = DOMAINS * VMS_PER_DOMAIN;

#[derive(Debug, Clone)]
enum Fault {
    Kill(BTreeSet<usize>),
    KillDomain(usize),
    Start(usize),
    StartWithoutStore(usize),
    StartWithClockSetBack(usize),
    Suspend(BTreeSet<usize>, u64),
    CutVm(usize),
    CutVmOneWay(usize),
    CutDomains(usize, usize),
    CutRegions,
    Mend,
    Lose(f64),
    Wait(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    let vm = 0..VMS;
    let vms = prop::collection::btree_set(0..VMS, 1..12);
    prop_oneof![
        2 => vms.clone().prop_map(Fault::Kill),
        1 => (0..DOMAINS).prop_map(Fault::KillDomain),
        3 => vm.clone().prop_map(Fault::Start),
        1 => vm.clone().prop_map(Fault::StartWithoutStore),
        1 => vm.clone().prop_map(Fault::StartWithClockSetBack),
        2 => (vms, 500..12_000_u64).prop_map(|(vms, for_ms)| Fault::Suspend(vms, for_ms)),
        1 => vm.clone().prop_map(Fault::CutVm),
        1 => vm.prop_map(Fault::CutVmOneWay),
        1 => (0..DOMAINS, 0..DOMAINS).prop_map(|(one, other)| Fault::CutDomains(one, other)),
        1 => Just(Fault::CutRegions),
        2 => Just(Fault::Mend),
        1 => (0.0..0.2).prop_map(Fault::Lose),
        5 => (100..30_000_u64).prop_map(Fault::Wait),
    ]
}

/// Applies a fault and returns the time for which it suspends VMs, in milliseconds.
fn apply(net: &mut VmNetwork, fault: &Fault) -> u64 {
    let all: Vec<usize> = (0..VMS).collect();
    let is_stopped = |net: &VmNetwork, vm: usize| !net.running_vms().contains(&vm);
    match fault {
        Fault::Kill(vms) => net.kill(&vms.iter().copied().collect::<Vec<_>>()),
        Fault::KillDomain(domain) => net.kill(&net.vms_in_domain(*domain)),
        Fault::Start(vm) if is_stopped(net, *vm) => net.start(*vm, &all),
        Fault::StartWithoutStore(vm) if is_stopped(net, *vm) => {
            let seeds: Vec<_> = net.running_vms().into_iter().take(3).collect();
            net.start_with_seeds(*vm, &seeds);
        }
        Fault::StartWithClockSetBack(vm) if is_stopped(net, *vm) => {
            net.start_with_clock_set_back(*vm, &all);
        }
        Fault::Suspend(vms, for_ms) => {
            net.suspend(&vms.iter().copied().collect::<Vec<_>>(), *for_ms);
            return *for_ms;
        }
        Fault::CutVm(vm) => net.cut(&[*vm], &all),
        Fault::CutVmOneWay(vm) => net.cut_one_way(&all, &[*vm]),
        Fault::CutDomains(one, other) => {
            net.cut(&net.vms_in_domain(*one), &net.vms_in_domain(*other));
        }
        Fault::CutRegions => net.cut(&net.vms_in_region(0), &net.vms_in_region(1)),
        Fault::Mend => net.heal_all(),
        Fault::Lose(share) => net.loss_rate = *share,
        Fault::Wait(for_ms) => net.run_for(*for_ms),
        Fault::Start(_) | Fault::StartWithoutStore(_) | Fault::StartWithClockSetBack(_) => {}
    }
    0
}

/// Applies faults to running VMs, and checks which VMs they name during and after the faults.
fn run(seed: u64, faults: &[Fault]) -> Result<(), TestCaseError> {
    let mut net = VmNetwork::running(DOMAINS, VMS_PER_DOMAIN, seed);
    let mut dead_since_ms = [u64::MAX; VMS];
    let mut suspended_until_ms = 0;
    for fault in faults {
        let suspended_for_ms = apply(&mut net, fault);
        suspended_until_ms = suspended_until_ms.max(net.now_ms() + suspended_for_ms);
        let live = net.running_vms();
        for (vm, since_ms) in dead_since_ms.iter_mut().enumerate() {
            *since_ms = if live.contains(&vm) { u64::MAX } else { (*since_ms).min(net.now_ms()) };
        }
        // A resumed VM first processes the messages that it received while suspended.
        if net.now_ms() > suspended_until_ms + CONVERGENCE_MS {
            for vm in &live {
                for named in net.serving(*vm) {
                    let dead_ms = net.now_ms().saturating_sub(dead_since_ms[named]);
                    prop_assert!(dead_ms < MAX_NAMED_DEAD_MS, "{vm} names {named}");
                }
            }
        }
    }
    net.heal_all();
    net.loss_rate = 0.0;
    net.run_for(suspended_until_ms.saturating_sub(net.now_ms()));
    net.run_for(CONVERGENCE_MS);
    let live = net.running_vms();
    for vm in &live {
        prop_assert_eq!(net.serving(*vm), live.clone(), "the VMs known to {}", vm);
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(24))]

    /// Guards against running VMs that stay unknown, or dead ones that stay named, after faults end.
    #[test]
    fn all_vms_agree_after_faults_end(
        seed in 0..1_000_u64,
        faults in prop::collection::vec(fault(), 1..20),
    ) {
        run(seed, &faults)?;
    }
}

fn assert_converges(seed: u64, faults: &[Fault]) {
    if let Err(error) = run(seed, faults) {
        panic!("{error}");
    }
}

/// Guards against losing a change because its sender sends another summary before the relay.
#[test]
fn a_change_is_relayed_although_its_sender_sends_another_summary() {
    assert_converges(811, &[Fault::Wait(16_062), Fault::Kill([0, 7, 14, 16, 20].into())]);
}

/// Guards against a VM that knows only some of the domains for seconds after a long partition.
#[test]
fn a_vm_knows_all_domains_after_a_long_partition() {
    assert_converges(432, &[Fault::CutVm(3), Fault::Wait(37_576)]);
}

/// Guards against a failure that stays unknown because the VMs that were notified fail too.
#[test]
fn a_failure_is_known_although_some_notified_vms_fail_too() {
    assert_converges(890, &[Fault::Wait(13_094), Fault::Kill([0, 2, 7, 17, 21].into())]);
}
