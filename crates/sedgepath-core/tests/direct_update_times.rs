//! Times from a write to the store until all VMs have it, with one fault at a time, on one clock.

use fastrand::Rng;
use sedgepath_test_support::vm_network::{StoreAccess, VmNetwork};

/// The time from the acknowledgement of a write until every VM must have it, in milliseconds: the
/// platform's bound of 2,500 ms less a fifth.
const MAX_UPDATE_MS: u64 = 2_000;

/// The longest time before the write at which a fault begins, in milliseconds.
const MAX_FAULT_LEAD_MS: u64 = 2_500;

/// The longest time after the write at which a fault begins, in milliseconds.
const MAX_FAULT_LAG_MS: u64 = 200;

/// The longest time between two writes, in milliseconds: the second may come while readers pause after the
/// first.
const MAX_WRITE_INTERVAL_MS: u64 = 300;

/// The time that a message takes to the store, and from one region to another, in milliseconds.
const FAR_MS: u64 = 25;

/// The calls of each reader in the second after a restore: a failed one, one that tells of the restore, a
/// whole read and polls, and as many of the VMs that stand in for it.
const MAX_CALLS_AFTER_RESTORE: u64 = 10;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    ReaderKilled,
    ReaderSuspended,
    ReaderTurnedAway,
    ReaderSilent,
    DatagramsLost,
    StoreRestored,
}

impl Fault {
    const ALL: [Self; 7] = [
        Self::None,
        Self::ReaderKilled,
        Self::ReaderSuspended,
        Self::ReaderTurnedAway,
        Self::ReaderSilent,
        Self::DatagramsLost,
        Self::StoreRestored,
    ];

    fn begin(self, net: &mut VmNetwork, rng: &mut Rng) {
        while net.store_readers().is_empty() {
            net.run_for(1);
        }
        let reader = rng.choice(net.store_readers()).expect("a reader");
        match self {
            Self::None => {}
            Self::ReaderKilled => net.kill(&[reader]),
            Self::ReaderSuspended => net.suspend(&[reader], 60_000),
            Self::ReaderTurnedAway => net.set_store_access(reader, StoreAccess::TurnedAway),
            Self::ReaderSilent => net.set_store_access(reader, StoreAccess::Silent),
            Self::DatagramsLost => net.loss_rate = 0.1,
            Self::StoreRestored => net.restore_store(rng.u64(0..50)),
        }
    }
}

/// Returns the time until all running VMs but suspended ones have a write, in milliseconds.
fn update_ms(domains: usize, per_domain: usize, fault: Fault, seed: u64) -> u64 {
    let mut rng = Rng::with_seed(seed);
    let mut net = VmNetwork::running(domains, per_domain, seed);
    (net.in_region_ms, net.between_regions_ms) = (2, FAR_MS);
    net.follow_store(FAR_MS);
    net.run_for(2_000 + rng.u64(0..1_000));
    let is_before = fault == Fault::StoreRestored || rng.bool();
    if is_before {
        fault.begin(&mut net, &mut rng);
        net.run_for(rng.u64(0..MAX_FAULT_LEAD_MS));
    }
    net.write_to_store();
    net.run_for(rng.u64(0..MAX_WRITE_INTERVAL_MS));
    let version = net.write_to_store();
    let written_at_ms = net.now_ms();
    if !is_before {
        net.run_for(rng.u64(0..MAX_FAULT_LAG_MS));
        fault.begin(&mut net, &mut rng);
    }
    let acknowledged_at_ms = written_at_ms + FAR_MS;
    while !net.all_have(version) {
        net.run_for(5);
        assert!(net.now_ms() < acknowledged_at_ms + 20_000, "{fault:?}, seed {seed}: never");
    }
    net.now_ms().saturating_sub(acknowledged_at_ms)
}

/// Plays faults with a few seeds, or all faults with as many seeds as the environment asks for.
fn check(domains: usize, per_domain: usize, faults: &[Fault], seeds: u64) {
    let by_hand = std::env::var("UPDATE_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let (faults, seeds) = by_hand.map_or((faults, seeds), |seeds| (&Fault::ALL[..], seeds));
    let mut too_late = Vec::new();
    for fault in faults.iter().copied() {
        let mut times: Vec<_> =
            (0..seeds).map(|seed| (update_ms(domains, per_domain, fault, seed), seed)).collect();
        times.sort_unstable();
        let (worst_ms, seed) = *times.last().expect("a time");
        let median_ms = times[times.len() / 2].0;
        println!("{fault:?}: median {median_ms} ms, longest {worst_ms} ms (seed {seed})");
        if worst_ms > MAX_UPDATE_MS {
            too_late.push((fault, worst_ms, seed));
        }
    }
    assert!(too_late.is_empty(), "{too_late:?}");
}

/// Guards against a write that is in force too late with few VMs, all of which may be readers.
#[test]
fn four_vms_have_a_write_in_time() {
    check(2, 2, &Fault::ALL, 20);
}

/// Guards against a write that is in force too late with two regions.
#[test]
fn ten_vms_have_a_write_in_time() {
    check(5, 2, &Fault::ALL, 10);
}

/// Guards against a write that is in force too late where each region has one reader for many VMs.
#[test]
fn three_hundred_vms_have_a_write_in_time() {
    check(12, 25, &[Fault::ReaderKilled, Fault::ReaderSilent], 1);
}

/// Guards against calls without a pause by the readers of a large deployment after a restore.
#[test]
fn a_restore_costs_three_hundred_vms_few_calls() {
    let mut net = VmNetwork::running(12, 25, 1);
    net.follow_store(FAR_MS);
    net.run_for(2_000);
    let calls_in_a_second = |net: &mut VmNetwork| {
        let before = net.store_call_count();
        net.run_for(1_000);
        net.store_call_count() - before
    };
    let calm = calls_in_a_second(&mut net);
    let readers = net.store_readers().len() as u64;
    net.restore_store(10);
    let after = [calls_in_a_second(&mut net), calls_in_a_second(&mut net)];
    println!("{readers} readers: {calm} calls in a calm second, {after:?} in the first two after");
    assert!(after[0] <= MAX_CALLS_AFTER_RESTORE * readers, "{after:?} calls of {readers} readers");
    assert!(after[1] <= calm + readers, "{after:?} calls in place of {calm}");
}
