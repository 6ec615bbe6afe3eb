//! What VMs tell each other of themselves in calm, in bytes a second on the wire.
//!
//! `cargo run --release -p sedgepath-core --example membership_bytes` plays nine failure domains of three
//! regions on one clock, with more VMs in each from row to row.

use sedgepath_test_support::vm_net::VmNet;

const DOMAINS: usize = 9;

const VMS_PER_DOMAIN: [usize; 4] = [4, 12, 22, 34];

/// How long VMs get used to each other before they are measured, in milliseconds.
const SETTLE_MS: u64 = 5_000;

/// How long they are measured, in seconds.
const MEASURED_S: u64 = 10;

fn main() {
    println!("| VMs | in domains | in regions | between regions | a VM, mean / busiest |");
    println!("| --- | --- | --- | --- | --- |");
    for vms in VMS_PER_DOMAIN {
        let mut net = VmNet::running(DOMAINS, vms, 13);
        net.run_for(SETTLE_MS);
        let (before, by_before) = (net.sent, net.sent_by.clone());
        net.run_for(MEASURED_S * 1_000);
        let per_s = |after: u64, before: u64| (after - before) / MEASURED_S;
        let by_vm: Vec<u64> = net
            .sent_by
            .iter()
            .zip(by_before)
            .map(|(after, before)| per_s(*after, before))
            .collect();
        println!(
            "| {DOMAINS} × {vms} | {} | {} | {} | {} / {} |",
            per_s(net.sent.in_domain, before.in_domain),
            per_s(net.sent.in_region, before.in_region),
            per_s(net.sent.far, before.far),
            by_vm.iter().sum::<u64>() / by_vm.len() as u64,
            by_vm.iter().max().copied().unwrap_or(0),
        );
    }
}
