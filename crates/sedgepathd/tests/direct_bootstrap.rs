//! Tests of daemons that start, and of their calls of the store, against stand-ins of the users' platform.

mod platform;

use platform::slow_peer::{SlowPeer, VERSION_COUNTER};
use platform::upstream::UpstreamStandIn;
use platform::{TestCluster, Vm, configure, wait_for};
use sedgepath_test_support::store::StoreStandIn;
use sedgepath_wire::peer_keys::VM_TABLE;

/// The number of VMs in the domain that starts at once.
const VMS: u8 = 12;

/// The number of upstreams, more than fit in two pages of the store.
const UPSTREAMS: usize = 1_200;

/// The most reads of a VM that gets the tables from others: of its domain's rows, and of the contacts, twice
/// if a domain without VMs is still unheard.
const MAX_READS_PER_START: usize = 3;

/// The most reads of tables by a whole domain: of three pages and two short tables by four VMs.
const MAX_TABLE_READS: usize = 4 * 5;

fn register_upstreams(store: &StoreStandIn) -> UpstreamStandIn {
    let upstream = UpstreamStandIn::new("u0");
    upstream.register(store, "north-a", "ready", 1);
    let row = store.rows("servers").remove(0);
    for number in 1..UPSTREAMS {
        store.put("servers", &format!("u{number}"), &row.value);
    }
    upstream
}

/// Returns the number of calls that read rows, other than polls for changes.
fn page_reads(store: &StoreStandIn) -> usize {
    let counts = store.counts();
    counts.reads - counts.polls
}

/// Guards against VMs that start together and each read all rows of the store.
#[test]
fn most_vms_of_a_domain_that_starts_at_once_do_not_read_the_tables_from_the_store() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    let _upstream = register_upstreams(&store);
    let site = TestCluster::new(store.address);
    let vms: Vec<Vm> = (1..=VMS).map(|number| site.start(number, "north-a")).collect();
    wait_for("readiness of all VMs", || vms.iter().all(Vm::is_ready));
    let reads = page_reads(&store);
    let max_reads = MAX_READS_PER_START * usize::from(VMS) + MAX_TABLE_READS;
    assert!(reads <= max_reads, "{reads} reads");
}

/// Guards against a restarted VM that reads the tables from the store although its neighbours have them.
#[test]
fn a_restarted_vm_reads_no_table_from_the_store() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    let _upstream = register_upstreams(&store);
    let site = TestCluster::new(store.address);
    let _others: Vec<Vm> = (2..=4).map(|number| site.start_ready(number, "north-a")).collect();
    // Of the VMs that run, the first and the last by address.
    for number in [1, 5] {
        let reads_before = page_reads(&store);
        let vm = site.start_ready(number, "north-a");
        let reads = page_reads(&store) - reads_before;
        assert!(reads <= MAX_READS_PER_START, "VM {number} made {reads} reads");
        vm.kill();
    }
}

/// Guards against a VM that gives up on a neighbour whose rows come slowly, and reads the store itself.
#[test]
fn a_vm_waits_for_rows_that_come_slowly_from_a_neighbour() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    UpstreamStandIn::new("u0").register(&store, "north-a", "ready", 1);
    let site = TestCluster::new(store.address);
    let peer = SlowPeer::new(site.peer_address(1), &store);
    // The store is not behind the position that the peer tells.
    for _ in 0..VERSION_COUNTER {
        store.put("unused", "row", b"");
    }
    let address = site.peer_address(1);
    let row = format!(r#"{{"address":"{address}","domain":"north-a","region":"north"}}"#);
    store.put_in(VM_TABLE, "north-a", "slow", row.as_bytes());
    store.put(VM_TABLE, "slow", row.as_bytes());

    let vm = site.start(2, "north-a");
    wait_for("readiness by slow rows", || {
        peer.announce_rows(site.peer_address(2));
        vm.is_ready()
    });
    let reads = page_reads(&store);
    assert!(reads <= MAX_READS_PER_START, "{reads} reads");
}

/// Guards against failure domains that never hear of each other, since a VM reads the rows of its own only.
#[test]
fn failure_domains_find_each_other_by_their_contacts() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    let upstream = UpstreamStandIn::new("u0");
    upstream.register(&store, "north-a", "ready", 1);
    let site = TestCluster::new(store.address);
    // The seed of all VMs, number 1, doesn't run.
    let vms = [(2, "north-a"), (3, "north-b"), (4, "south-a"), (5, "south-a")]
        .map(|(number, domain)| (domain, site.start(number, domain)));
    for (domain, vm) in &vms {
        wait_for("all VMs in look-ups", || {
            vms.iter().all(|(other_domain, other)| {
                let path = format!("/-/resolve?name=shop.example&region=x&zone={other_domain}");
                let response = platform::caller::get(vm.look_up_address, &path);
                let named = response.map(|response| response.text()).unwrap_or_default();
                named.contains(&other.caller_address.to_string())
            })
        });
        let partitions = store.rows(VM_TABLE).into_iter().map(|row| row.partition);
        assert!(partitions.filter(|partition| partition == domain).count() >= 1);
    }
}
