//! Tests of daemons whose store is restored from an older copy while they run.

mod platform;

use std::time::{Duration, Instant};

use platform::caller::Connection;
use platform::upstream::UpstreamStandIn;
use platform::{TestCluster, Vm, caller, configuration, route, wait_for};
use sedgepath::operations::peer_keys;
use sedgepath_test_support::link::{Cut, CuttableLink};
use sedgepath_test_support::store::{StoreCopy, StoreMode, StoreStandIn, StoredRow};
use sedgepath_wire::peer_keys::{PEER_KEY_ROW, PeerKeyring, VM_TABLE};

const DOMAINS: [&str; 4] = ["north-a", "north-a", "north-b", "south-a"];

/// The time within which a change is in force after the store has acknowledged it.
const CHANGE_BOUND: Duration = Duration::from_millis(2_500);

/// How long the store is away in an outage.
const OUTAGE: Duration = Duration::from_millis(300);

/// The most calls of four VMs in the second after a restore and in any later one: each reads each table
/// once, and the VMs that keep reading do so at their usual rate.
const MAX_CALLS_PER_S: usize = 60;

struct Site {
    store: StoreStandIn,
    upstreams: Vec<UpstreamStandIn>,
    cluster: TestCluster,
    vms: Vec<Vm>,
}

impl Site {
    fn new() -> Self {
        Self::with_policy("off")
    }

    /// Starts VMs with a policy of peer authentication.
    fn with_policy(policy: &str) -> Self {
        let store = StoreStandIn::new().expect("a store");
        for _ in 0..2 {
            peer_keys::rotate(store.address).expect("a key");
        }
        configure(&store, 12, &["reads"]);
        let upstreams: Vec<_> =
            (0..3).map(|number| UpstreamStandIn::new(&format!("u{number}"))).collect();
        for upstream in &upstreams {
            upstream.register(&store, "north-a", "ready", 1);
        }
        let cluster = TestCluster::new(store.address);
        let numbers = (1..).zip(DOMAINS);
        let vms: Vec<_> =
            numbers.map(|(number, domain)| cluster.start_unready(number, domain, policy)).collect();
        for vm in &vms {
            wait_for("readiness", || vm.is_ready());
        }
        for vm in &vms {
            wait_for("knowing the other VMs", || metrics(vm).contains("sedgepath_vms 4"));
        }
        Self { store, upstreams, cluster, vms }
    }

    /// Makes the store write often enough that its next versions are far above those of a copy.
    fn write_on(&self) {
        for sequence in 2..40 {
            for upstream in &self.upstreams {
                upstream.register(&self.store, "north-a", "ready", sequence);
            }
        }
    }

    /// Takes the store away for a moment, after which it is restored.
    fn restore_after_outage(&self, copy: StoreCopy) {
        self.store.set_mode(StoreMode::ClosingConnections);
        std::thread::sleep(OUTAGE);
        self.store.restore(copy);
        self.store.set_mode(StoreMode::Normal);
    }

    fn wait_for_version(&self, version: u64) {
        let line = format!("sedgepath_configuration_version {version}\n");
        for vm in &self.vms {
            wait_for("the configuration", || metrics(vm).contains(&line));
        }
    }

    fn statuses(&self, path: &str) -> Vec<u16> {
        self.vms.iter().map(|vm| status(vm, path)).collect()
    }

    /// Returns how long it takes until all VMs respond to a path with a status.
    fn time_until(&self, path: &str, expected: u16) -> Duration {
        let since = Instant::now();
        wait_for("the change", || self.statuses(path).iter().all(|status| *status == expected));
        since.elapsed()
    }
}

fn configure(store: &StoreStandIn, version: u64, routes: &[&str]) {
    let routes: Vec<_> = routes.iter().map(|name| route(name, "safe", "3000ms")).collect();
    let value = configuration(&format!("{version:08x}"), &routes);
    store.put("op", "config", value.to_string().as_bytes());
}

fn metrics(vm: &Vm) -> String {
    caller::get(vm.metrics_address, "/metrics").map_or_else(String::new, |page| page.text())
}

/// Returns the status of a request for an object of its own.
fn status(vm: &Vm, path: &str) -> u16 {
    let cookie = format!("Cookie: X-Sedgepath-Affinity-Key={path}\r\n");
    let connection = Connection::new(vm.caller_address);
    let response =
        connection.and_then(|mut connection| connection.request_with("GET", path, "a", &cookie));
    response.map_or(0, |response| response.status)
}

/// Guards against a configuration that is never in force because the versions of a restored store are
/// lower than those before.
#[test]
fn a_configuration_written_after_a_restore_is_in_force_in_time() {
    let site = Site::new();
    let copy = site.store.copy();
    site.write_on();
    configure(&site.store, 14, &["reads"]);
    site.wait_for_version(14);
    site.restore_after_outage(copy);
    configure(&site.store, 14, &["reads"]);
    configure(&site.store, 15, &["reads", "added"]);

    let elapsed = site.time_until("/added/1", 200);

    assert!(elapsed < CHANGE_BOUND, "{elapsed:?}");
}

/// Guards against changes that are lost if the store is restored again while VMs still follow the first
/// restore, one of them without the store.
#[test]
fn changes_are_in_force_in_time_after_two_restores() {
    let site = Site::new();
    let copy = site.store.copy();
    site.write_on();
    configure(&site.store, 14, &["reads"]);
    site.wait_for_version(14);
    let link = CuttableLink::new(site.store.address).expect("a link");
    let apart = site.cluster.start_with_store(5, "south-a", link.addr());
    wait_for("readiness", || apart.is_ready());
    link.set_cut(Cut::Both);

    site.restore_after_outage(copy.clone());
    configure(&site.store, 15, &["reads", "first"]);
    site.restore_after_outage(copy);
    configure(&site.store, 16, &["reads", "second"]);

    let elapsed = site.time_until("/second/1", 200);
    assert!(elapsed < CHANGE_BOUND, "{elapsed:?}");
    wait_for("the change at the VM without the store", || status(&apart, "/second/1") == 200);
    assert_eq!(status(&apart, "/first/1"), 404);
}

/// Guards against requests to an upstream that says that it leaves just after a restore.
#[test]
fn an_upstream_that_leaves_after_a_restore_gets_no_requests() {
    let site = Site::new();
    let copy = site.store.copy();
    site.write_on();
    std::thread::sleep(CHANGE_BOUND / 2);
    site.restore_after_outage(copy);
    site.upstreams[0].register(&site.store, "north-a", "draining", 41);
    std::thread::sleep(CHANGE_BOUND);
    let runs_before = site.upstreams[0].runs().len();

    for number in 0..40 {
        assert!(site.statuses(&format!("/reads/{number}")).iter().all(|status| *status == 200));
    }

    assert_eq!(site.upstreams[0].runs().len(), runs_before, "it got requests");
}

/// Guards against calls of the store without a pause after a restore.
#[test]
fn a_restore_costs_few_calls() {
    let site = Site::new();
    let copy = site.store.copy();
    site.write_on();
    std::thread::sleep(CHANGE_BOUND / 2);
    site.restore_after_outage(copy);
    for second in 0..4 {
        let before = site.store.counts();
        std::thread::sleep(Duration::from_secs(1));
        let after = site.store.counts();
        let calls = after.reads + after.writes - before.reads - before.writes;
        assert!(calls <= MAX_CALLS_PER_S, "{calls} calls in second {second}");
    }
}

/// Guards against VMs that start after a restore and find no others, or only older keys of theirs.
#[test]
fn vms_write_their_rows_and_keys_again() {
    let site = Site::with_policy("require");
    let lost_rows = site.store.rows(VM_TABLE);
    let other_store = StoreStandIn::new().expect("a store");
    let empty_copy = other_store.copy();
    let older = PeerKeyring::default().rotated("older".into(), 0).to_row().expect("a row");
    other_store.put(VM_TABLE, PEER_KEY_ROW, older.as_bytes());
    let keys_of = |rows: &[StoredRow]| {
        rows.iter().find(|row| row.key == PEER_KEY_ROW).map(|row| row.value.clone())
    };
    for copy in [empty_copy, other_store.copy()] {
        site.restore_after_outage(copy);
        wait_for("the rows", || {
            let rows = site.store.rows(VM_TABLE);
            rows.len() == lost_rows.len() && keys_of(&rows) == keys_of(&lost_rows)
        });
    }
}

/// Guards against a restored copy that brings back an older configuration, an upstream that has left, or
/// one that leaves.
#[test]
fn a_restored_copy_brings_nothing_back() {
    let site = Site::new();
    site.upstreams[2].register(&site.store, "south-a", "ready", 1);
    let copy = site.store.copy();
    site.write_on();
    site.upstreams[2].register(&site.store, "south-a", "ready", 41);
    site.upstreams[0].register(&site.store, "north-a", "draining", 41);
    site.upstreams[1].register(&site.store, "north-a", "draining", 41);
    site.store.remove("servers", "u1");
    configure(&site.store, 15, &["reads", "added"]);
    site.wait_for_version(15);
    std::thread::sleep(CHANGE_BOUND / 2);
    let runs_before: Vec<_> = site.upstreams.iter().map(|upstream| upstream.runs().len()).collect();

    site.restore_after_outage(copy);
    let until = Instant::now() + CHANGE_BOUND * 2;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        assert_eq!(site.statuses(&format!("/added/{number}")), [200; 4], "the route went back");
    }

    assert_eq!(site.upstreams[0].runs().len(), runs_before[0], "it leaves");
    assert_eq!(site.upstreams[1].runs().len(), runs_before[1], "it is gone");
    assert!(site.upstreams[2].runs().len() > runs_before[2]);
    let late = site.cluster.start_ready(5, "north-a");
    assert_eq!(status(&late, "/added/1"), 200, "a VM that starts has an older configuration");
}
