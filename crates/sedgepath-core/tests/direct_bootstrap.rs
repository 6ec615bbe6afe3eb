//! The start of VMs: how they find each other and get the tables, and what that asks of the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fastrand::Rng;
use sedgepath_core::direct::bootstrap::Bootstrap;
use sedgepath_core::direct::vms::DomainAtStart;
use sedgepath_test_support::vm_network::{TableSize, VmIndex, VmNetwork};

/// The time in which all VMs of a fleet that starts at once must have the tables and know each other, in
/// milliseconds: less than operators allow until most requests are served again.
const MAX_START_MS: u64 = 15_000;

/// The most store calls for each VM of a fleet that starts at once, beside those of the failure domains.
const MAX_CALLS_PER_VM: u64 = 3;

/// The number of VMs of a failure domain that may read the tables from the store at a time.
const MAX_READERS_PER_DOMAIN: u64 = 4;

/// The time after which no look-up may name a VM that was killed, in milliseconds: what operators allow with
/// the timing of tests.
const MAX_NAMED_DEAD_MS: u64 = 6_000;

/// Tables of as many rows as ten thousand upstreams have, at VMs with slow links.
const LARGE_TABLES: TableSize = TableSize { rows: 10_000, page_ms: 60, transfer_ms: 500 };

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// Returns a domain in which `rank` of the other VMs precede the starting one; in a large domain they are
/// heard.
fn domain(rank: usize, others: u8, holders: u8) -> DomainAtStart {
    DomainAtStart {
        rank,
        hears_preceding: rank > 0 && others > 1,
        holders: (0..holders).map(|number| (address(number), 100)).collect(),
        readers: 0,
        others: (0..others).map(address).collect(),
    }
}

fn all_agree(net: &VmNetwork) -> bool {
    let live = net.running_vms();
    live.iter().all(|vm| net.serving(*vm) == live)
}

/// Starts all VMs at once and returns the network, after the time in which all must have started.
fn start_all(domains: usize, per_domain: usize, tables: TableSize, seed: u64) -> VmNetwork {
    let mut net = VmNetwork::new(domains, per_domain, seed);
    net.set_table_size(tables);
    let all: Vec<VmIndex> = (0..net.count()).collect();
    net.start_from_store(&all);
    let started = net.run_until(MAX_START_MS, |net| net.all_have_tables() && all_agree(net));
    assert!(started.is_some(), "{domains} x {per_domain} VMs haven't started");
    net
}

/// Guards against a starting VM that delays callers by waiting for tables from a VM that is down.
#[test]
fn a_starting_vm_with_few_others_soon_reads_the_store() {
    let mut second = Bootstrap::new(0);
    assert!(!second.reads_store(&domain(1, 1, 0), 0), "the VM doesn't wait for the first one");
    assert!(second.reads_store(&domain(1, 1, 0), 100), "the VM waits for one that may be down");
    let mut first = Bootstrap::new(0);
    assert!(first.reads_store(&domain(0, 1, 0), 100), "the first VM waits for another one");
    assert!(Bootstrap::new(0).reads_store(&domain(0, 0, 0), 0), "the VM waits for nobody");
}

/// Guards against all VMs of a large domain reading the store when they start together.
#[test]
fn vms_that_start_together_let_the_first_read_the_store() {
    let readers = |at_ms: u64| {
        let reads = |rank| Bootstrap::new(0).reads_store(&domain(rank, 109, 0), at_ms);
        (0..110).filter(|rank| reads(*rank)).count()
    };
    assert_eq!(readers(500), 1);
    assert_eq!([1_000, 2_000, 3_000, 20_000].map(readers), [2, 4, 4, 4]);
    let reads_at = |rank| {
        let mut vm = Bootstrap::new(0);
        (0..40_u64).find(|second| vm.reads_store(&domain(rank, 109, 0), second * 1_000))
    };
    assert!((0..110).all(|rank| reads_at(rank).is_some()), "a VM never has its turn");
}

/// Guards against VMs that give up on a hand-over that goes well, and all read the store.
#[test]
fn a_vm_waits_as_long_as_others_get_the_tables() {
    let mut last = Bootstrap::new(0);
    for second in 0..20_u8 {
        let now_ms = u64::from(second) * 900;
        assert!(!last.reads_store(&domain(100, 109, second + 1), now_ms), "at {now_ms} ms");
    }
    last.record_rows(18_500);
    assert!(!last.reads_store(&domain(0, 109, 20), 19_400), "rows arrive");
    assert!(last.reads_store(&domain(0, 109, 20), 19_500), "the VMs with the tables don't respond");
}

/// Guards against a restarted VM that reads all of the store's rows although its neighbours have them.
#[test]
fn a_restarted_vm_gets_the_tables_from_its_neighbours() {
    let mut net = start_all(2, 12, LARGE_TABLES, 3);
    let reads_before = net.store_load().reads;
    net.kill(&[0]);
    net.run_for(5_000);
    net.start_from_store(&[0]);
    assert!(net.run_until(MAX_START_MS, VmNetwork::all_have_tables).is_some());
    net.run_for(5_000);
    let reads = net.store_load().reads - reads_before;
    assert!(reads <= MAX_CALLS_PER_VM, "{reads} reads");
}

/// Guards against store calls and rows that grow faster than the fleet when all VMs start at once.
#[test]
fn calls_of_a_start_grow_with_the_fleet() {
    for per_domain in [8, 24, 48] {
        let net = start_all(3, per_domain, LARGE_TABLES, 1);
        let (vms, load) = (net.count() as u64, net.store_load());
        let table_reads = 3 * MAX_READERS_PER_DOMAIN * 20;
        let calls = load.reads + load.writes;
        assert!(calls <= MAX_CALLS_PER_VM * vms + table_reads, "{vms} VMs: {load:?}");
        let own_domain_rows = vms * per_domain as u64;
        let table_rows = 3 * MAX_READERS_PER_DOMAIN * 10_000;
        assert!(load.rows <= 2 * own_domain_rows + table_rows, "{vms} VMs: {load:?}");
    }
}

/// Guards against a domain that doesn't start because its first VMs can't read the store.
#[test]
fn a_domain_starts_although_the_store_turns_its_first_vms_away() {
    let mut net = VmNetwork::new(3, 24, 5);
    net.set_table_size(LARGE_TABLES);
    let all: Vec<VmIndex> = (0..net.count()).collect();
    let turned_away: Vec<VmIndex> = all.iter().copied().filter(|vm| vm % 24 < 8).collect();
    net.turn_away(&turned_away);
    net.start_from_store(&all);
    net.run_for(MAX_START_MS);
    let without: BTreeSet<_> =
        all.iter().filter(|vm| net.had_tables_at_ms(**vm).is_none()).collect();
    // Without its own row in the store a VM is found by nobody, and doesn't know whom to ask.
    assert!(without.iter().all(|vm| turned_away.contains(vm)), "{without:?}");
    net.turn_away(&[]);
    let started = net.run_until(MAX_START_MS, |net| net.all_have_tables() && all_agree(net));
    assert!(started.is_some(), "not all VMs start after the store turns none away any more");
}

/// Guards against a domain that waits for a first VM which is suspended or killed while it reads the store.
#[test]
fn a_domain_starts_although_its_first_vm_is_lost_while_it_reads() {
    let suspend = |net: &mut VmNetwork| net.suspend(&[0], 60_000);
    let kill = |net: &mut VmNetwork| net.kill(&[0]);
    for lose_first in [suspend as fn(&mut VmNetwork), kill] {
        let mut net = VmNetwork::new(2, 24, 6);
        net.set_table_size(LARGE_TABLES);
        let all: Vec<VmIndex> = (0..net.count()).collect();
        net.start_from_store(&all);
        net.run_for(500);
        lose_first(&mut net);
        net.run_for(MAX_START_MS);
        let without: Vec<_> =
            all.iter().filter(|vm| net.had_tables_at_ms(**vm).is_none()).collect();
        assert_eq!(without, [&0]);
    }
}

/// Guards against a store that is read by all VMs at once when it responds again.
#[test]
fn a_store_that_comes_back_is_not_read_by_all_vms() {
    let mut net = VmNetwork::new(3, 24, 7);
    net.set_table_size(LARGE_TABLES);
    let all: Vec<VmIndex> = (0..net.count()).collect();
    net.turn_away(&all);
    net.start_from_store(&all);
    net.run_for(10_000);
    net.turn_away(&[]);
    let before = net.store_load();
    assert!(net.run_until(MAX_START_MS, |net| net.all_have_tables() && all_agree(net)).is_some());
    let calls = net.store_load().reads + net.store_load().writes - before.reads - before.writes;
    let table_reads = 3 * MAX_READERS_PER_DOMAIN * 20;
    assert!(calls <= MAX_CALLS_PER_VM * 72 + table_reads, "{calls} calls");
}

/// Guards against a new domain that finds no other one, as the VMs of most published addresses are gone.
#[test]
fn a_domain_that_starts_late_finds_the_others_among_addresses_of_lost_vms() {
    let mut net = VmNetwork::new(3, 6, 8);
    net.start_from_store(&net.vms_in_domain(0));
    net.start_from_store(&net.vms_in_domain(1));
    net.run_for(8_000);
    // The first VMs by address are the contacts.
    net.kill(&[0, 1, 2, 6, 7, 8]);
    net.run_for(8_000);
    net.start_from_store(&net.vms_in_domain(2));
    let took_ms = net.run_until(MAX_START_MS, all_agree);
    assert!(took_ms.is_some(), "the domains don't know each other");
}

/// Guards against VMs that other domains never hear of, since a summary of all VMs exceeds a datagram.
#[test]
fn all_vms_of_a_domain_of_hundreds_are_known_elsewhere() {
    let mut net = VmNetwork::running(2, 240, 9);
    assert!(all_agree(&net));
    // Fewer VMs need fewer parts; the former last one names VMs that are gone.
    net.kill(&(180..240).collect::<Vec<_>>());
    assert!(net.run_until(MAX_START_MS, all_agree).is_some(), "a VM still names silent VMs");
}

/// Guards against look-ups that name killed VMs for too long, since heartbeats in a large domain are rare.
#[test]
fn killed_vms_of_a_domain_of_hundreds_are_soon_named_nowhere() {
    for per_domain in [60, 120, 240] {
        let mut net = VmNetwork::running(2, per_domain, 9);
        net.kill(&(0..per_domain / 4).collect::<Vec<_>>());
        let took_ms = net.run_until(MAX_START_MS, all_agree).expect("a VM still names silent VMs");
        assert!(took_ms <= MAX_NAMED_DEAD_MS, "{per_domain} VMs: {took_ms} ms");
    }
}

/// Guards against VMs without the tables that all ask the same other VM.
#[test]
fn requests_for_the_tables_go_to_vms_by_their_capacity() {
    let mut rng = Rng::with_seed(1);
    let mut domain = domain(50, 109, 0);
    domain.holders = vec![(address(1), 100), (address(2), 900)];
    let mut bootstrap = Bootstrap::new(0);
    let asked = (0..1_000).filter_map(|_| bootstrap.next_peer(&domain, &mut rng, 0));
    let to_large = asked.filter(|peer| *peer == address(2)).count();
    assert!((850..950).contains(&to_large), "{to_large}");
}
