//! Measures the steady-state traffic of membership between VMs, in bytes per second on the wire.
//!
//! Simulates nine failure domains in three regions, with an increasing number of VMs per domain.
//!
//! `cargo run --release -p sedgepath-core --example membership_bytes`

use sedgepath_test_support::vm_network::VmNetwork;

const DOMAINS: usize = 9;

const VMS_PER_DOMAIN: [usize; 4] = [4, 12, 22, 34];

/// The settling time before the measurement, in milliseconds.
const SETTLE_MS: u64 = 5_000;

/// The duration of the measurement, in seconds.
const MEASURED_S: u64 = 10;

fn main() {
    println!("| VMs | in domains | in regions | between regions | a VM, mean / busiest |");
    println!("| --- | --- | --- | --- | --- |");
    for vms in VMS_PER_DOMAIN {
        let mut net = VmNetwork::running(DOMAINS, vms, 13);
        net.run_for(SETTLE_MS);
        let (before, by_vm_before) = (net.sent_bytes, net.sent_bytes_by_vm.clone());
        net.run_for(MEASURED_S * 1_000);
        let per_s = |after: u64, before: u64| (after - before) / MEASURED_S;
        let by_vm: Vec<u64> = net
            .sent_bytes_by_vm
            .iter()
            .zip(by_vm_before)
            .map(|(after, before)| per_s(*after, before))
            .collect();
        println!(
            "| {DOMAINS} × {vms} | {} | {} | {} | {} / {} |",
            per_s(net.sent_bytes.in_domain, before.in_domain),
            per_s(net.sent_bytes.in_region, before.in_region),
            per_s(net.sent_bytes.between_regions, before.between_regions),
            by_vm.iter().sum::<u64>() / by_vm.len() as u64,
            by_vm.iter().max().copied().unwrap_or(0),
        );
    }
}
