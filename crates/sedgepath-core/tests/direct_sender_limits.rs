//! Tests what a VM handles of another one that is trusted but sends without end.

use std::net::SocketAddr;

use sedgepath_core::direct::Steering;
use sedgepath_core::direct::reports::{Report, Reports};
use sedgepath_core::direct::sender_limits::SenderLimits;
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::upstreams::IncarnationKey;
use sedgepath_core::hash::Digest;
use sedgepath_test_support::direct::vm;

/// The other VMs of a failure domain in the largest deployment.
const OTHERS_IN_DOMAIN: usize = 41;

/// The bytes that a node's control may send each second, in the long run.
const CONTROL_BYTES_PER_S: usize = 11_000;

fn sender(number: u32) -> SocketAddr {
    SocketAddr::from(((0x0a00_0000 + number).to_be_bytes(), 7_000))
}

/// Returns reports of crashes that nobody has heard of.
fn news(number: u64, count: u64) -> Reports {
    let crash = |index: u64| Report::Crashed {
        fingerprint: Digest::of(&[&(number * 1_000 + index).to_le_bytes()]),
        incarnation: IncarnationKey(index),
    };
    Reports {
        relay: true,
        quarantine_version: StoreVersion::default(),
        reports: (0..count).map(crash).collect(),
    }
}

/// Returns the bytes of reports that a VM sends to its failure domain at a time.
fn relayed_bytes(vm: &mut Steering, now_ms: u64) -> usize {
    let due = vm.reports_mut().take_due(now_ms);
    let bytes = |batch: &Vec<Report>| postcard::to_stdvec(batch).expect("reports").len();
    OTHERS_IN_DOMAIN * due.in_domain.iter().map(bytes).sum::<usize>()
}

/// Guards against a broken VM whose reports fill the links of all that relay them.
#[test]
fn reports_without_end_are_relayed_for_a_moment_only() {
    let mut vm = vm("a1", "north-a", 1);
    let mut bytes_by_second = vec![0; 60];
    for step in 0..600 {
        let now_ms = step * 100;
        for datagram in 0..10 {
            let reports = news(step * 10 + datagram, 32);
            vm.receive_reports(sender(2), &reports, now_ms);
        }
        bytes_by_second[step as usize / 10] += relayed_bytes(&mut vm, now_ms);
    }
    let late: usize = bytes_by_second[30..].iter().sum();
    let limit = 30 * CONTROL_BYTES_PER_S;
    assert!(late < limit, "{late} bytes in 30 s, {limit} allowed");
}

/// Guards against a VM that is no longer heard because another one sends without end.
#[test]
fn a_sender_without_end_doesnt_take_the_others_limit() {
    let mut limits = SenderLimits::default();
    let admitted = (0..100_000).filter(|_| limits.admit_datagram(sender(2), 0)).count();
    assert!(admitted < 5_000, "{admitted} of one sender at once");
    assert!(limits.admit_datagram(sender(3), 0));
    assert_eq!(limits.admit_reports(sender(3), 32, 0), 32);
    assert!(limits.admit_datagram(sender(2), 1_000), "it stays unheard");
}

/// Guards against reports that are dropped when a VM has lost a failure domain of upstreams: some
/// hundred requests in flight, each reported three times.
#[test]
fn the_reports_after_the_loss_of_a_failure_domain_are_handled() {
    let mut limits = SenderLimits::default();
    for repetition in 0..3 {
        for _ in 0..10 {
            assert_eq!(limits.admit_reports(sender(2), 32, repetition * 400), 32);
        }
    }
}

/// Guards against memory that grows with the addresses that somebody makes up.
#[test]
fn the_limits_of_made_up_senders_take_bounded_memory() {
    let mut limits = SenderLimits::default();
    for number in 0..100_000 {
        limits.admit_datagram(sender(number), u64::from(number) / 100);
    }
    assert!(limits.remembered_count() <= 8_192, "{} senders", limits.remembered_count());
}
