//! Tests of daemons that tell each other of the load at their upstreams.

mod platform;

use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

use platform::upstream::{Behaviour, UpstreamStandIn};
use platform::{TestCluster, Vm, WAIT_TIMEOUT, caller, configure, wait_for};
use sedgepath_test_support::store::StoreStandIn;

/// The time that the upstream works for a request, in milliseconds: several times the interval of the messages,
/// so that they tell of requests in flight.
const WORK_MS: u64 = 300;

fn metrics(vm: &Vm) -> String {
    caller::get(vm.metrics_address, "/metrics").expect("metrics").text()
}

/// Returns a metric's value; 0 if there is none.
fn metric(vm: &Vm, name: &str) -> u64 {
    let text = metrics(vm);
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.map_or(0, |value| value.parse().expect("an integer"))
}

/// Guards against load that isn't sent, that is sent by VMs without requests, or that VMs of an earlier
/// version, which can't decode it, take for an attack.
#[test]
fn vms_with_requests_tell_each_other_of_the_load() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    let upstream = UpstreamStandIn::new("u0");
    upstream.register(&store, "north-a", "ready", 1);
    let cluster = TestCluster::new(store.address);
    let vms = [1, 2, 3].map(|number| cluster.start(number, "north-a"));
    wait_for("readiness", || vms.iter().all(Vm::is_ready));

    upstream.set_behaviour(Behaviour::DelayedByMs(WORK_MS));
    let (loaded, stop) = (&vms[..2], AtomicBool::new(false));
    let until = Instant::now() + WAIT_TIMEOUT;
    thread::scope(|scope| {
        for vm in loaded {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) && Instant::now() < until {
                    caller::request(vm.caller_address, "GET", "/reads/1", "a");
                }
            });
        }
        wait_for("load of both VMs with requests", || {
            loaded.iter().all(|vm| metric(vm, "sedgepath_shared_load_upstreams") == 1)
        });
        stop.store(true, Ordering::Relaxed);
    });
    let sent = |vm| metric(vm, "sedgepath_peer_bytes_total{kind=\"load\"}");
    assert!(loaded.iter().all(|vm| sent(vm) > 0));
    assert_eq!(sent(&vms[2]), 0, "a VM without requests");

    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let unknown = [100, 1, 2, 3];
    socket.send_to(&unknown, cluster.peer_address(1)).expect("a datagram");
    wait_for("the end of the load", || {
        let before = sent(&vms[0]);
        std::thread::sleep(std::time::Duration::from_millis(500));
        sent(&vms[0]) == before && metric(&vms[0], "sedgepath_shared_load_upstreams") == 0
    });
    assert!(!metrics(&vms[0]).contains("sedgepath_peer_messages_rejected_total"));
    assert!(cluster.log(1).contains("event=load_shared vms=1"), "{}", cluster.log(1));
}
