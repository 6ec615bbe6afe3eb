//! What the reports of other VMs cost a VM.

use sedgepath_core::direct::Steering;
use sedgepath_core::direct::reports::Report;
use sedgepath_core::direct::upstreams::IncarnationKey;
use sedgepath_test_support::direct::{
    DOMAINS, configuration_of_all_kinds, heartbeat, upstream_entry, vm,
};
use sedgepath_test_support::vm_network::VmNetwork;

/// The upstreams of a service that all state a rate limit.
const LIMITED_UPSTREAMS: u64 = 276;

/// The VMs that get a response with a limit before others tell them of it.
const OBSERVERS_PER_LIMIT: usize = 2;

/// The most times that a VM is told of a limit: three times by each observer, or twice by each VM of its
/// domain that hears of the limit from another domain.
const MAX_RECEPTIONS: u64 = 8;

/// The time between two updates of a VM's parts of the limits, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 250;

/// Returns a VM that hears 67 others of its region and knows the upstreams of a service.
fn vm_of_a_large_region() -> (Steering, Vec<IncarnationKey>) {
    let mut vm = vm("v0", DOMAINS[0].0, 0);
    vm.apply_configuration(configuration_of_all_kinds(1));
    for number in 1..68 {
        let other = heartbeat(&format!("v{number}"), DOMAINS[0].0, number);
        vm.vms_mut().record_heartbeat(other, 0);
    }
    let entries = (0..LIMITED_UPSTREAMS)
        .map(|number| upstream_entry(&format!("b{number}"), DOMAINS[0].0, (number % 250) as u8));
    let keys = entries.map(|entry| {
        vm.upstreams_mut().upsert(entry.clone(), DOMAINS[0].1, 0);
        IncarnationKey::of(&entry)
    });
    let keys = keys.collect();
    (vm, keys)
}

/// Guards against reports that each cost as much as all limits together: small VMs fall seconds behind.
#[test]
fn a_report_of_a_limit_costs_the_parts_of_that_limit_only() {
    let (mut vm, upstreams) = vm_of_a_large_region();
    let mut reports = 0;
    for now_ms in (0..2_000).step_by(10) {
        for upstream in upstreams.iter().skip(now_ms as usize / 10 % 4).step_by(4) {
            let report = Report::RateLimit { upstream: *upstream, per_s: Some(2.7), age_ms: 0 };
            vm.receive_report(&report, false, now_ms);
            reports += 1;
        }
        if now_ms % UPDATE_INTERVAL_MS == 0 {
            vm.update_rate_limits(now_ms);
        }
    }
    let computed = vm.rate_limits().parts_computed();
    assert!(
        computed <= reports,
        "{computed} parts for {reports} reports of {LIMITED_UPSTREAMS} limits"
    );
    assert_eq!(vm.rate_limits().len(), upstreams.len());
}

/// Guards against reports whose number grows with the number of VMs that learn of a limit.
#[test]
fn the_reports_of_a_limited_service_stay_few_at_any_number_of_vms() {
    for per_domain in [7, 33] {
        let mut net = VmNetwork::running(9, per_domain, 7);
        let before = net.received_reports_by_vm.clone();
        for upstream in 0..LIMITED_UPSTREAMS {
            for observer in 0..OBSERVERS_PER_LIMIT {
                let vm = (upstream as usize * 5 + observer * 17) % net.count();
                net.state_limit(vm, IncarnationKey(upstream), 2.7);
            }
        }
        net.run_for(2_000);
        let received =
            net.received_reports_by_vm.iter().zip(&before).map(|(now, before)| now - before);
        let most = received.max().expect("there are VMs");
        let case = format!("{most} reports at one of {} VMs", net.count());
        assert!(most <= MAX_RECEPTIONS * LIMITED_UPSTREAMS, "{case}");
        let knows_all = |vm| {
            (0..LIMITED_UPSTREAMS).all(|key| net.limit_per_s(vm, IncarnationKey(key)).is_some())
        };
        assert!((0..net.count()).all(knows_all), "a VM lacks a limit: {case}");
    }
}
