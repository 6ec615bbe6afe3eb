//! Tests of the planned stop of daemons that send to upstreams themselves, against stand-ins of the
//! users' platform.

mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::caller::Connection;
use platform::upstream::{Behaviour, EndlessPart, UpstreamStandIn};
use platform::{TestCluster, Vm, configure, wait_for};
use sedgepath_test_support::store::StoreStandIn;

const READ_PATH: &str = "/reads/1";

/// The time between two connections that are opened during the stop.
const OPENING_INTERVAL: Duration = Duration::from_millis(10);

/// The time from the end of acceptance to the requests: a link's delay and a caller's own.
const CALLER_DELAY: Duration = Duration::from_millis(200);

/// The requests that are sent at once, within what the upstream takes: the VM waits for first requests for a
/// second only.
const BATCH_SIZE: usize = 8;

/// The deadline of the requests, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Guards against connections that a stopping VM accepts and then closes before their first request.
#[test]
fn every_connection_that_a_stopping_vm_accepts_is_answered() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    let upstream = UpstreamStandIn::new("u0");
    upstream.register(&store, "north-a", "ready", 1);
    let site = TestCluster::new(store.address);
    let mut vm = site.start_ready(1, "north-a");

    vm.terminate();
    let mut opened = Vec::new();
    while let Some(connection) = Connection::new(vm.caller_address) {
        opened.push(connection);
        thread::sleep(OPENING_INTERVAL);
    }
    thread::sleep(CALLER_DELAY);
    let mut unanswered = Vec::new();
    for (batch, connections) in opened.chunks_mut(BATCH_SIZE).enumerate() {
        let first = batch * BATCH_SIZE;
        for (number, connection) in (first..).zip(&mut *connections) {
            // A closed connection has no response.
            let _sent = connection.send("GET", READ_PATH, &format!("a{number}"), DEADLINE_MS);
        }
        for (number, connection) in (first..).zip(connections) {
            let status = connection.receive().map(|response| response.status);
            unanswered.extend((status != Some(200)).then_some((number, status)));
        }
    }

    assert!(opened.len() > 50, "only {} connections were opened", opened.len());
    assert!(unanswered.is_empty(), "of {}: {unanswered:?}", opened.len());
    let all_answered_at = Instant::now();
    wait_for("the end", || vm.exit_status().is_some());
    assert!(all_answered_at.elapsed() < Duration::from_secs(2));
    assert!(vm.exit_status().is_some_and(|status| status.success()));
}

/// One VM and its upstreams.
struct Fixture {
    upstreams: Vec<UpstreamStandIn>,
    vm: Vm,
    site: TestCluster,
    _store: StoreStandIn,
}

impl Fixture {
    fn new(timeout: &str, behaviour: Behaviour) -> Self {
        let store = StoreStandIn::new().expect("a store");
        configure(&store, "0000000c", timeout);
        let upstreams: Vec<_> =
            (0..8).map(|number| UpstreamStandIn::new(&format!("u{number}"))).collect();
        for upstream in &upstreams {
            upstream.set_behaviour(behaviour);
            upstream.register(&store, "north-a", "ready", 1);
        }
        let site = TestCluster::new(store.address);
        let vm = site.start_ready(1, "north-a");
        Self { upstreams, vm, site, _store: store }
    }

    fn runs(&self) -> usize {
        self.upstreams.iter().map(|upstream| upstream.runs().len()).sum()
    }
}

/// Guards against a response that a stop cuts in its body without a log line.
#[test]
fn a_response_that_a_stop_cuts_has_its_log_line() {
    let mut fixture = Fixture::new("12000ms", Behaviour::Endless(EndlessPart::Body));
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
    connection.send("GET", READ_PATH, "endless", 12_000).expect("a request");
    wait_for("the run", || fixture.runs() == 1);

    fixture.vm.terminate();
    let body = connection.receive().map(|response| response.body);
    wait_for("the end", || fixture.vm.exit_status().is_some());

    assert_eq!(body, Some(None));
    assert!(fixture.site.log(1).contains("event=response_cut request=endless"));
}
