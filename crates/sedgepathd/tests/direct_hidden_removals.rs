//! Tests of rows that are removed while no VM reads the store.

mod platform;

use std::time::{Duration, Instant, SystemTime};

use platform::upstream::UpstreamStandIn;
use platform::{TestCluster, Vm, caller, configure, wait_for};
use sedgepath_core::direct::crashes::quarantine::QuarantineRow;
use sedgepath_test_support::link::{Cut, CuttableLink};
use sedgepath_test_support::store::StoreStandIn;

/// The time within which a change is in force on all VMs after the store has acknowledged it.
const CHANGE_BOUND: Duration = Duration::from_millis(2_500);

/// Removes a row while the only VM that reads the store is down, and returns the time from that VM's return
/// until the row is no longer in force on another one, which can't reach the store.
///
/// The other VM is suspended meanwhile, so that the restarted one reads the whole table from the store.
fn time_until_removal_is_known(
    write: impl Fn(&StoreStandIn),
    (table, key): (&str, &str),
    is_in_force: impl Fn(&Vm) -> bool,
) -> Duration {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    UpstreamStandIn::new("u1").register(&store, "north-a", "ready", 1);
    let site = TestCluster::new(store.address);
    let link = CuttableLink::new(store.address).expect("a link");
    let reader = site.start_ready(1, "north-a");
    let other = site.start_with_store(2, "north-b", link.addr());
    for vm in [&reader, &other] {
        wait_for("knowing the other VM", || page(vm, "/metrics").contains("sedgepath_vms 2\n"));
    }
    link.set_cut(Cut::Both);
    write(&store);
    wait_for("the row on the other VM", || is_in_force(&other));

    other.signal("-STOP");
    reader.kill();
    store.remove(table, key);
    let _reader = site.start_ready(1, "north-a");
    other.signal("-CONT");
    let since = Instant::now();
    wait_for("the removal on the other VM", || !is_in_force(&other));
    since.elapsed()
}

fn page(vm: &Vm, path: &str) -> String {
    caller::get(vm.metrics_address, path).map_or_else(String::new, |page| page.text())
}

/// Guards against requests to a removed upstream by VMs that hear only of VMs that have restarted since.
#[test]
fn vms_in_touch_learn_that_an_upstream_was_removed() {
    let upstream = UpstreamStandIn::new("u2");
    let took = time_until_removal_is_known(
        |store| upstream.register(store, "north-b", "ready", 1),
        ("servers", "u2"),
        |vm| page(vm, "/metrics").contains("sedgepath_upstreams{state=\"known\"} 2\n"),
    );
    assert!(took < CHANGE_BOUND, "it took {took:?}");
}

/// Guards against an evacuation that goes on at VMs that hear only of VMs that have restarted since its end.
#[test]
fn vms_in_touch_learn_that_an_evacuation_has_ended() {
    let took = time_until_removal_is_known(
        |store| store.put("op", "evacuate/north-b", b"{}"),
        ("op", "evacuate/north-b"),
        |vm| page(vm, "/status").contains("\"evacuated\":[\"north-b\"]"),
    );
    assert!(took < CHANGE_BOUND, "it took {took:?}");
}

/// Guards against requests that stay quarantined at VMs that hear only of VMs that have restarted since the end.
#[test]
fn vms_in_touch_learn_that_a_quarantine_was_lifted() {
    let unix_ms = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a time");
    let until_unix_ms = unix_ms.as_millis() as u64 + 600_000;
    let row = QuarantineRow { probes: 0, probe_at_unix_ms: until_unix_ms, until_unix_ms };
    let value = serde_json::to_vec(&row).expect("a row");
    let key = "0123456789abcdef0123456789abcdef";
    time_until_removal_is_known(
        |store| store.put("sedgepath-quarantine", key, &value),
        ("sedgepath-quarantine", key),
        |vm| page(vm, "/metrics").contains("sedgepath_quarantined_fingerprints 1\n"),
    );
}
